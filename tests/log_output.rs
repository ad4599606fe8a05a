//! Log output that must not hold requests up.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use primrosemast::log_output::{Format, Output, json};
use serde_json::json as value;

#[derive(Default)]
struct State {
    stopped: bool,
    read: Vec<u8>,
}

/// A reader that can be stopped, and what it has read.
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
        String::from_utf8_lossy(&state.read).into_owned()
    }
}

impl Write for Reader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut state = self.state.0.lock().expect("state");
        while state.stopped {
            state = self.state.1.wait(state).expect("state");
        }
        state.read.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a daemon that stops with the reader of its log, and
/// against lines that are left out without a word.
#[test]
fn a_stopped_reader_holds_nobody_up() {
    let reader = Reader::default();
    reader.set_stopped(true);
    let mut output = Output::new(Format::Text, reader.clone());
    // Far more lines than the queue holds; a blocked write never returns.
    for i in 0..20_000 {
        let line = format!("line {i}\n");
        output.write_all(line.as_bytes()).expect("never fails");
    }
    reader.set_stopped(false);
    let start = Instant::now();
    while !reader.text().contains("log lines were left out") {
        assert!(start.elapsed() < Duration::from_secs(30), "no count");
        std::thread::sleep(Duration::from_millis(10));
    }
    // What was queued first is kept; the count may come between.
    assert!(reader.text().starts_with("line 0\n"));
    assert!(reader.text().contains("\nline 1\nline 2\n"));
}

/// Guards against lines that a program cannot read, and against identifiers
/// that become numbers.
#[test]
fn an_event_becomes_a_json_object() {
    let text = "PM0703 request_failed request=0123456789 route=r-1 \
                took_ms=17 error=\"no \\\"answer\\\" yet\" unanswered=Failed/a \
                unanswered=Waiting/- serving=true";
    let line = json("t", "INFO", "primrosemast::event", text);
    let expected = value!({
        "time": "t", "level": "info", "code": "PM0703",
        "event": "request_failed", "request": "0123456789", "route": "r-1",
        "took_ms": 17, "error": "no \"answer\" yet",
        "unanswered": ["Failed/a", "Waiting/-"], "serving": true,
    });
    assert_eq!(line, expected);
    let line = json("t", "WARN", "primrosemast::peer", "a text=1 of ours");
    let expected = value!({
        "time": "t", "level": "warn", "target": "primrosemast::peer",
        "message": "a text=1 of ours",
    });
    assert_eq!(line, expected);
}
