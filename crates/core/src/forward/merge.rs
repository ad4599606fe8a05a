//! Merging the records of several shards.

use std::cmp::Reverse;

/// Length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// The greatest `top` records of all parts, greatest first.
///
/// Records are compared byte by byte; equal ones all count. A rest at the
/// end of a part that is shorter than a record is left out.
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
