//! Merging of the records of several shards.

use std::cmp::Reverse;

/// Length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of all parts, greatest first.
///
/// Records are compared bytewise, and duplicates are kept. Trailing bytes of a
/// part that are shorter than a record are ignored.
pub fn merge_top<'a>(
    parts: impl IntoIterator<Item = &'a [u8]>,
    top: usize,
) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .into_iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by_key(top - 1, |r| Reverse(*r));
    }
    records.truncate(top);
    records.sort_unstable_by_key(|r| Reverse(*r));
    records.concat()
}
