//! Tests that log output never blocks, and that its JSON form can be parsed.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use primrosemast::log_output::{Format, QueueWriter, json_line};
use serde_json::json;

#[derive(Default)]
struct State {
    stopped: bool,
    received: Vec<u8>,
}

/// A log reader that can be stopped and records what it reads.
#[derive(Clone, Default)]
struct Reader {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Reader {
    fn set_stopped(&self, stopped: bool) {
        self.state.0.lock().expect("state").stopped = stopped;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        let state = self.state.0.lock().expect("state");
        String::from_utf8_lossy(&state.received).into_owned()
    }
}

impl Write for Reader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut state = self.state.0.lock().expect("state");
        while state.stopped {
            state = self.state.1.wait(state).expect("state");
        }
        state.received.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a daemon that blocks when the reader of its log stalls, and
/// against lines that are dropped without being counted.
#[test]
fn a_stopped_reader_does_not_block_writers() {
    let reader = Reader::default();
    reader.set_stopped(true);
    let mut writer = QueueWriter::new(Format::Text, reader.clone());
    // Far more lines than the queue holds; a blocked write never returns.
    for i in 0..20_000 {
        let line = format!("line {i}\n");
        writer.write_all(line.as_bytes()).expect("never fails");
    }
    reader.set_stopped(false);
    let start = Instant::now();
    while !reader.text().contains("log lines were left out") {
        assert!(start.elapsed() < Duration::from_secs(30), "no count");
        std::thread::sleep(Duration::from_millis(10));
    }
    // The lines that were queued first are kept. The count may appear
    // between them and later lines.
    assert!(reader.text().starts_with("line 0\n"));
    assert!(reader.text().contains("\nline 1\nline 2\n"));
}

/// Guards against lines that a program cannot parse, and against identifiers
/// that are converted to numbers.
#[test]
fn an_event_becomes_a_json_object() {
    let text = "PM0703 request_failed request=0123456789 route=r-1 \
                took_ms=17 error=\"no \\\"answer\\\" yet\" unanswered=Failed/a \
                unanswered=Waiting/- serving=true";
    let line = json_line("t", "INFO", "primrosemast::event", text);
    let expected = json!({
        "time": "t", "level": "info", "code": "PM0703",
        "event": "request_failed", "request": "0123456789", "route": "r-1",
        "took_ms": 17, "error": "no \"answer\" yet",
        "unanswered": ["Failed/a", "Waiting/-"], "serving": true,
    });
    assert_eq!(line, expected);
    let line =
        json_line("t", "WARN", "primrosemast::peer", "a text=1 of ours");
    let expected = json!({
        "time": "t", "level": "warn", "target": "primrosemast::peer",
        "message": "a text=1 of ours",
    });
    assert_eq!(line, expected);
}
