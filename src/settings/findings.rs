//! Checks and findings that several modules use.

use std::collections::BTreeSet;

use serde_json::Value;

use super::{
    problem::{Finding, Segment, segments},
    schema::describe,
};

pub(super) fn check_shards(
    i: usize,
    shards: &[Option<u64>],
    out: &mut Vec<Finding>,
) {
    if shards.is_empty() {
        out.push(Finding::error(
            segments!["routes", i, "shards"],
            "no shards",
            "at least one shard, or no key \"shards\" to ask all",
        ));
    }
    for (j, shard) in shards.iter().enumerate() {
        let Some(shard) = shard else { continue };
        if shards[..j].contains(&Some(*shard)) {
            let path = segments!["routes", i, "shards", j];
            let found = format!("shard {shard} again");
            out.push(Finding::error(path, found, "each shard once"));
        }
    }
}

/// Checks that names are well formed and unique.
pub(super) fn check_unique_names<'a>(
    kind: &str,
    names: impl Iterator<Item = (Option<&'a str>, Vec<Segment>)>,
    out: &mut Vec<Finding>,
) {
    let mut seen = BTreeSet::new();
    for (name, path) in names {
        let Some(name) = name else { continue };
        if seen.insert(name) {
            out.extend(check_name(path, name));
        } else {
            let found = format!("{kind} \"{name}\" again");
            out.push(Finding::error(path, found, "a unique name"));
        }
    }
}

/// Checks that a name is well formed.
///
/// Names are part of URLs, log lines and command-line arguments, so they are
/// limited to characters that need no quoting there.
pub(crate) fn check_name(path: Vec<Segment>, name: &str) -> Option<Finding> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if !name.is_empty() && name.chars().all(is_allowed) {
        return None;
    }
    let found = describe(&Value::from(name));
    Some(Finding::error(
        path,
        found,
        "letters, digits, \".\", \"_\" and \"-\"",
    ))
}

pub(crate) fn malformed_address(path: Vec<Segment>, text: &str) -> Finding {
    let found = describe(&Value::from(text));
    Finding::error(path, found, "an IP address and port like 127.0.0.1:9000")
}

pub(super) fn unknown_zone(path: Vec<Segment>, zone: &str) -> Finding {
    let found = format!("unknown availability zone \"{zone}\"");
    Finding::error(path, found, "the name of an availability zone")
}
