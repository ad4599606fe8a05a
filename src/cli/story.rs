//! The story of a request from the log files of instances.

use std::{
    fs,
    io::{self, Read},
    path::Path,
};

use serde_json::{Map, Value, json};

use super::{Code, Report, Step};

/// Events that end a request at the instance that took it.
const ENDS: [&str; 4] = ["PM0701", "PM0702", "PM0703", "PM0704"];

/// Fields that every line of the story shows by itself.
const SHOWN: [&str; 5] = ["time", "level", "code", "event", "request"];

/// A line of a log.
struct Line {
    /// In the order of the log: RFC 3339 with a fixed number of digits.
    time: String,
    file: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("-")
    }

    fn render(&self) -> String {
        let rest: Vec<String> = self
            .fields
            .iter()
            .filter(|f| !SHOWN.contains(&f.0.as_str()))
            .map(|(key, value)| match value {
                Value::String(text) => format!("{key}={text}"),
                other => format!("{key}={other}"),
            })
            .collect();
        let (code, event) = (self.text("code"), self.text("event"));
        let rest = rest.join(" ");
        format!("{} {} {code} {event} {rest}", self.time, self.file)
    }
}

/// Prints what the files say of a request, in the order of time, and the
/// line that tells how it ended.
pub(super) fn explain<'a>(
    id: &str,
    files: impl Iterator<Item = &'a Path>,
) -> Step<Report> {
    let mut lines = Vec::new();
    for file in files {
        let log = read(file).map_err(|e| {
            let text = format!("{}: {e}", file.display());
            Report::failure(Code::Usage, text)
        })?;
        let name = file.display().to_string();
        lines.extend(log.lines().filter_map(|line| parse(line, id, &name)));
    }
    if lines.is_empty() {
        let text = format!("no line of these files names the request {id}");
        return Err(Report::failure(Code::Failed, text));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let end = lines.iter().rfind(|l| ENDS.contains(&l.text("code")));
    let mut text: Vec<String> = lines.iter().map(Line::render).collect();
    text.push(match end {
        Some(end) => format!("ended by: {}", end.render()),
        None => "no line tells how it ended".to_owned(),
    });
    let story: Vec<Value> = lines
        .iter()
        .map(|l| json!({"file": l.file, "line": l.fields}))
        .collect();
    Ok(Report::done(text.join("\n"), json!(story)))
}

fn read(file: &Path) -> io::Result<String> {
    let mut buf = Vec::new();
    if file == Path::new("-") {
        io::stdin().read_to_end(&mut buf)?;
    } else {
        buf = fs::read(file)?;
    }
    // A line that a crash has cut is passed over, not the whole file.
    Ok(String::from_utf8_lossy(&buf).into_owned())
}

/// Reads a line about the request; anything else is passed over.
fn parse(line: &str, id: &str, file: &str) -> Option<Line> {
    // Collectors put a prefix before the object.
    let object = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let names = fields.get("request").and_then(Value::as_str) == Some(id);
    let time = fields.get("time")?.as_str()?.to_owned();
    names.then(|| Line { time, file: file.to_owned(), fields })
}
