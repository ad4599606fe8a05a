/*!
Log output that never blocks the code that logs.

Lines pass through a bounded queue to a writer thread. If the reader of the
log stalls, the queue fills up, and further lines are dropped and counted. The
count is written once the reader resumes. A request never waits for a log
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

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 4_096;

/// Log target of the events with codes.
pub(crate) const EVENT_TARGET: &str = "primrosemast::event";

/// Fields that stay strings in JSON even if they look like a number.
const TEXT_FIELDS: [&str; 7] = [
    "delegate", "group", "instance", "member", "replica", "request", "target",
];

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Installs the logger. `filters` are in the syntax of `env_logger`; filters
/// in its environment variable are applied after them.
pub fn init(filters: &str, format: Format, sink: impl Write + Send + 'static) {
    let mut builder = Builder::new();
    builder
        .parse_filters(filters)
        .parse_default_env()
        .format_timestamp_micros()
        .target(Target::Pipe(Box::new(QueueWriter::new(format, sink))));
    if format == Format::Json {
        builder.format(|f, record| {
            let time = f.timestamp_micros().to_string();
            let level = record.level().as_str();
            let text = record.args().to_string();
            writeln!(f, "{}", json_line(&time, level, record.target(), &text))
        });
    }
    builder.init();
}

/// Converts a log line to a JSON object. The details of an event with a code
/// become fields; a repeated key becomes an array.
pub fn json_line(time: &str, level: &str, target: &str, text: &str) -> Value {
    let mut line = Map::new();
    line.insert("time".into(), time.into());
    line.insert("level".into(), level.to_ascii_lowercase().into());
    let mut parts = text.splitn(3, ' ');
    let head = (parts.next(), parts.next());
    let (EVENT_TARGET, (Some(code), Some(name))) = (target, head) else {
        line.insert("target".into(), target.into());
        line.insert("message".into(), text.into());
        return Value::Object(line);
    };
    line.insert("code".into(), code.into());
    line.insert("event".into(), name.into());
    for (key, value) in event::fields(parts.next().unwrap_or("")) {
        let value = field_value(key, value);
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

fn field_value(key: &str, value: &str) -> Value {
    if !TEXT_FIELDS.contains(&key) {
        if let Ok(number) = value.parse::<i64>() {
            return number.into();
        }
        if let Ok(flag) = value.parse::<bool>() {
            return flag.into();
        }
    }
    // Quoted values are escaped like Rust string literals.
    value.replace("\\\"", "\"").replace("\\\\", "\\").into()
}

/// A writer that puts lines into the queue.
pub struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl QueueWriter {
    /// Starts the thread that writes to `sink`.
    pub fn new(
        format: Format,
        sink: impl Write + Send + 'static,
    ) -> QueueWriter {
        let (lines, rx) = sync_channel(QUEUE_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&left_out);
        thread::spawn(move || write_lines(&rx, &counter, format, sink));
        QueueWriter { lines, left_out }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // A failure to log must not fail the code that logs.
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
        // There is no other place to report a failure to write the log.
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
