//! Formatting of human-readable output.

use std::collections::BTreeMap;

use primrosemast_core::config::Configuration;
use serde::Serialize;
use serde_json::Value;

/// Formats rows in aligned columns; the first row is the heading.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|i| {
            let cells = rows.iter().filter_map(|row| row.get(i));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Converts cells to a row.
pub(crate) fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(str::to_owned).to_vec()
}

/// A value that differs between two configurations.
#[derive(Debug, Serialize)]
pub(crate) struct Difference {
    /// Path of the value, with names in place of array indexes.
    pub(crate) path: String,
    /// Value before, if there was one.
    pub(crate) from: Option<Value>,
    /// Value after, if there is one.
    pub(crate) to: Option<Value>,
}

/// Returns all values that differ, sorted by path.
pub(crate) fn differences(
    from: &Configuration,
    to: &Configuration,
) -> Vec<Difference> {
    let mut before = leaf_values(from);
    let after = leaf_values(to);
    let mut out = Vec::new();
    for (path, to) in after {
        let from = before.remove(&path);
        if from.as_ref() != Some(&to) {
            out.push(Difference { path, from, to: Some(to) });
        }
    }
    for (path, from) in before {
        out.push(Difference { path, from: Some(from), to: None });
    }
    out.sort_by(|a, b| a.path.cmp(&b.path));
    out
}

/// Formats one line for each difference.
pub(crate) fn difference_lines(differences: &[Difference]) -> String {
    let mut text = String::new();
    for d in differences {
        let line = match (&d.from, &d.to) {
            (Some(from), Some(to)) => format!("~ {}: {from} -> {to}", d.path),
            (None, Some(to)) => format!("+ {}: {to}", d.path),
            (Some(from), None) => format!("- {}: {from}", d.path),
            (None, None) => continue,
        };
        text.push_str(&line);
        text.push('\n');
    }
    text
}

fn leaf_values(configuration: &Configuration) -> BTreeMap<String, Value> {
    let value = serde_json::to_value(configuration)
        .expect("a configuration is representable in JSON");
    let mut out = BTreeMap::new();
    collect_leaves(String::new(), value, &mut out);
    out
}

fn collect_leaves(
    path: String,
    value: Value,
    out: &mut BTreeMap<String, Value>,
) {
    match value {
        Value::Object(members) => {
            for (key, value) in members {
                let dot = if path.is_empty() { "" } else { "." };
                collect_leaves(format!("{path}{dot}{key}"), value, out);
            }
        }
        Value::Array(items) if items.iter().all(Value::is_object) => {
            for item in items {
                let name = item["name"].as_str();
                let name = name.or(item["availability_zone"].as_str());
                let path = format!("{path}[{}]", name.unwrap_or("?"));
                collect_leaves(path, item, out);
            }
        }
        Value::Null => {}
        scalar => {
            out.insert(path, scalar);
        }
    }
}
