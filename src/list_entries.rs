/*!
Lists that several writers fill.

An entry that cannot be decoded is left out and logged, and the others are
used: the entries are decoded one by one, from the text that each of them has
in the list. Entries may be nested to any depth and hold numbers of any size.
Bytes that are no UTF-8 are replaced, and an entry that held some is left out.
*/

use std::borrow::Cow;

use anyhow::{Context, ensure};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Longest part of an invalid entry's error that is logged, in bytes.
const MAX_LOGGED_BYTES: usize = 200;

/// Returns the text of a list, with the replacement character in place of
/// bytes that are no UTF-8.
pub fn list_text(list: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(list)
}

/// Decodes the entries of a list that [`list_text`] returned. The invalid ones
/// are left out, with one line in the log for all of them.
pub fn decode_entries<'a, T, U>(
    entries: &[&'a RawValue],
    convert: impl Fn(T) -> anyhow::Result<U>,
) -> Vec<U>
where
    T: Deserialize<'a>,
{
    let mut decoded = Vec::with_capacity(entries.len());
    let mut first_error = None;
    for entry in entries {
        match decode_entry(entry.get()).and_then(&convert) {
            Ok(entry) => decoded.push(entry),
            Err(e) => {
                first_error.get_or_insert(e);
            }
        }
    }
    if let Some(e) = first_error {
        let mut reason = format!("{e:#}");
        reason.truncate(reason.floor_char_boundary(MAX_LOGGED_BYTES));
        log::warn!(
            "left out {} of {} list entries, the first because: {reason}",
            entries.len() - decoded.len(),
            entries.len()
        );
    }
    decoded
}

fn decode_entry<'a, T: Deserialize<'a>>(text: &'a str) -> anyhow::Result<T> {
    ensure!(
        !text.contains(char::REPLACEMENT_CHARACTER),
        "the entry is not valid UTF-8"
    );
    // The fields may otherwise come as an array without their names.
    ensure!(text.trim_start().starts_with('{'), "the entry is not an object");
    serde_json::from_str(text).context("the entry is not valid")
}
