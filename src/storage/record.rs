//! Records: length, checksum, and a batch of writes in MessagePack.
//!
//! A batch is one record, so that a crash can tear no more than the last
//! record, in whatever order the pages reach the disk.

use std::path::Path;

use primrosemast_core::consensus::Write;

use super::{StorageError, StorageErrorKind};

/// Length and checksum in front of each record, in bytes.
const HEADER_BYTES: usize = 8;

/// Appends a record to `buf`.
pub(super) fn encode(
    batch: &[Write],
    buf: &mut Vec<u8>,
) -> Result<(), StorageError> {
    let unencodable = |message: String| {
        StorageError::new(
            StorageErrorKind::Failed,
            Path::new("record"),
            message,
        )
    };
    let body = rmp_serde::to_vec(batch)
        .map_err(|e| unencodable(format!("cannot encode: {e}")))?;
    let length = u32::try_from(body.len())
        .map_err(|_| unencodable("larger than 4 GiB".into()))?;
    buf.extend(length.to_le_bytes());
    buf.extend(checksum(length, &body).to_le_bytes());
    buf.extend(body);
    Ok(())
}

/// The checksum covers the length too, so that a damaged length is not
/// mistaken for a torn tail.
fn checksum(length: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// What stands at the head of some bytes.
pub(super) enum Decoded {
    /// A record and the bytes that it takes.
    Record(Vec<Write>, usize),
    /// Fewer bytes than a record takes.
    Incomplete,
    /// Bytes that are no record.
    Damaged,
}

/// Decodes the record at the head of `bytes`.
pub(super) fn decode(bytes: &[u8]) -> Decoded {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Decoded::Incomplete;
    };
    let word = |at: usize| {
        u32::from_le_bytes([
            header[at],
            header[at + 1],
            header[at + 2],
            header[at + 3],
        ])
    };
    let (length, sum) = (word(0), word(4));
    let Some(body) = rest.get(..length as usize) else {
        return Decoded::Incomplete;
    };
    if checksum(length, body) != sum {
        return Decoded::Damaged;
    }
    match rmp_serde::from_slice(body) {
        Ok(batch) => Decoded::Record(batch, HEADER_BYTES + body.len()),
        Err(_) => Decoded::Damaged,
    }
}
