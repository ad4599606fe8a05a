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

/// Lines that may wait for the reader.
const QUEUE: usize = 4_096;

/// Sets the logger up. `filters` are in the syntax of `env_logger`; its
/// environment variable comes after them.
pub fn init(filters: &str, sink: impl Write + Send + 'static) {
    Builder::new()
        .parse_filters(filters)
        .parse_default_env()
        .format_timestamp_micros()
        .target(Target::Pipe(Box::new(Output::new(sink))))
        .init();
}

/// The writing end of the queue.
pub struct Output {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    pub fn new(sink: impl Write + Send + 'static) -> Output {
        let (lines, rx) = sync_channel(QUEUE);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&left_out);
        thread::spawn(move || write_lines(&rx, &counter, sink));
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
    mut sink: impl Write,
) {
    while let Ok(line) = lines.recv() {
        // There is nowhere to report a failure of the log itself.
        let _ = sink.write_all(&line);
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let _ = writeln!(sink, "{missing} log lines were left out");
        }
        let _ = sink.flush();
    }
}
