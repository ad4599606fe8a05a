/*!
Log lines that never wait for their reader.

Lines pass through a bounded queue to a thread of their own. A reader that
stops reading fills the queue, and then lines are left out and counted; the
count is written once the reader goes on. A request never waits for a log
line.
*/

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use env_logger::{Builder, Target};
use primrosemast_core::event;
use serde_json::{Map, Value};

/// Lines that may wait for the reader.
const QUEUE: usize = 4_096;

/// Target of the numbered events.
pub(crate) const EVENT_TARGET: &str = "primrosemast::event";

/// Fields that stay text even if they look like a number.
const TEXT_FIELDS: [&str; 7] = [
    "delegate", "group", "instance", "member", "replica", "request", "target",
];

/// How lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Sets the logger up. `filters` are in the syntax of `env_logger`; its
/// environment variable comes after them.
pub fn init(filters: &str, format: Format, sink: impl Write + Send + 'static) {
    let mut builder = Builder::new();
    builder
        .parse_filters(filters)
        .parse_default_env()
        .format_timestamp_micros()
        .target(Target::Pipe(Box::new(Output::new(format, sink))));
    if format == Format::Json {
        builder.format(|f, record| {
            let time = f.timestamp_micros().to_string();
            let level = record.level().as_str();
            let text = record.args().to_string();
            writeln!(f, "{}", json(&time, level, record.target(), &text))
        });
    }
    builder.init();
}

/// A line as a JSON object. The particulars of a numbered event become
/// fields; one that is repeated becomes an array.
pub fn json(time: &str, level: &str, target: &str, text: &str) -> Value {
    let mut line = Map::new();
    line.insert("time".into(), time.into());
    line.insert("level".into(), level.to_ascii_lowercase().into());
    let mut words = text.splitn(3, ' ');
    let head = (words.next(), words.next());
    let (EVENT_TARGET, (Some(code), Some(name))) = (target, head) else {
        line.insert("target".into(), target.into());
        line.insert("message".into(), text.into());
        return Value::Object(line);
    };
    line.insert("code".into(), code.into());
    line.insert("event".into(), name.into());
    for (key, value) in event::fields(words.next().unwrap_or("")) {
        let value = field(key, value);
        match line.get_mut(key) {
            None => {
                line.insert(key.into(), value);
            }
            Some(Value::Array(values)) => values.push(value),
            Some(first) => *first = Value::Array(vec![first.take(), value]),
        }
    }
    Value::Object(line)
}

fn field(key: &str, value: &str) -> Value {
    if !TEXT_FIELDS.contains(&key) {
        if let Ok(number) = value.parse::<i64>() {
            return number.into();
        }
        if let Ok(flag) = value.parse::<bool>() {
            return flag.into();
        }
    }
    // Quoted values are escaped in the way of Rust.
    value.replace("\\\"", "\"").replace("\\\\", "\\").into()
}

/// The writing end of the queue.
pub struct Output {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    pub fn new(format: Format, sink: impl Write + Send + 'static) -> Output {
        let (lines, rx) = sync_channel(QUEUE);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&left_out);
        thread::spawn(move || write_lines(&rx, &counter, format, sink));
        Output { lines, left_out }
    }
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // A failure to log must not fail what is logged.
        if self.lines.try_send(buf.to_vec()).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(
    lines: &Receiver<Vec<u8>>,
    left_out: &AtomicU64,
    format: Format,
    mut sink: impl Write,
) {
    while let Ok(line) = lines.recv() {
        // There is nowhere to report a failure of the log itself.
        let _ = sink.write_all(&line);
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let _ = match format {
                Format::Text => {
                    writeln!(sink, "{missing} log lines were left out")
                }
                Format::Json => writeln!(sink, "{{\"left_out\":{missing}}}"),
            };
        }
        let _ = sink.flush();
    }
}
