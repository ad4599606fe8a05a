//! Explains a request from the log files of instances.

use std::{
    fs,
    io::{self, Read},
    path::Path,
};

use serde_json::{Map, Value, json};

use super::{CommandResult, Exit, Report};

/// Codes of the events that end a request at the instance that received it.
const END_CODES: [&str; 4] = ["PM0701", "PM0702", "PM0703", "PM0704"];

/// Fields that are not printed as `key=value`: they come first in the line or
/// are left out.
const SEPARATE_FIELDS: [&str; 5] =
    ["time", "level", "code", "event", "request"];

/// A log line about the request.
struct Line {
    /// RFC 3339 time with a fixed number of digits, which sorts as text.
    time: String,
    file: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("-")
    }

    fn render(&self) -> String {
        let details: Vec<String> = self
            .fields
            .iter()
            .filter(|f| !SEPARATE_FIELDS.contains(&f.0.as_str()))
            .map(|(key, value)| match value {
                Value::String(text) => format!("{key}={text}"),
                other => format!("{key}={other}"),
            })
            .collect();
        let (code, event) = (self.text("code"), self.text("event"));
        let details = details.join(" ");
        format!("{} {} {code} {event} {details}", self.time, self.file)
    }
}

/// Reports the log lines about a request in order of time, and the line with
/// its outcome.
pub(super) fn explain<'a>(
    id: &str,
    files: impl Iterator<Item = &'a Path>,
) -> CommandResult<Report> {
    let mut lines = Vec::new();
    for file in files {
        let log = read(file).map_err(|e| {
            let text = format!("{}: {e}", file.display());
            Report::failure(Exit::Usage, text)
        })?;
        let name = file.display().to_string();
        lines.extend(log.lines().filter_map(|line| parse(line, id, &name)));
    }
    if lines.is_empty() {
        let text = format!("no line of these files names the request {id}");
        return Err(Report::failure(Exit::Failed, text));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let end = lines.iter().rfind(|l| END_CODES.contains(&l.text("code")));
    let mut text: Vec<String> = lines.iter().map(Line::render).collect();
    text.push(match end {
        Some(end) => format!("ended by: {}", end.render()),
        None => "no line tells how it ended".to_owned(),
    });
    let entries: Vec<Value> = lines
        .iter()
        .map(|l| json!({"file": l.file, "line": l.fields}))
        .collect();
    Ok(Report::done(text.join("\n"), json!(entries)))
}

fn read(file: &Path) -> io::Result<String> {
    let mut buf = Vec::new();
    if file == Path::new("-") {
        io::stdin().read_to_end(&mut buf)?;
    } else {
        buf = fs::read(file)?;
    }
    // Invalid UTF-8, as in a line that a crash cut short, must not prevent
    // the reading of the other lines.
    Ok(String::from_utf8_lossy(&buf).into_owned())
}

/// Parses a line about the request; `None` for any other line.
fn parse(line: &str, id: &str, file: &str) -> Option<Line> {
    // Log collectors put a prefix before the object.
    let object = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let matches = fields.get("request").and_then(Value::as_str) == Some(id);
    let time = fields.get("time")?.as_str()?.to_owned();
    matches.then(|| Line { time, file: file.to_owned(), fields })
}
