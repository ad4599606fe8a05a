//! Records of the log: length, checksum, and a batch of writes in MessagePack.
//!
//! A batch is one record, so that a crash can tear only the last record, in
//! whatever order the pages of the file reach the disk.

use std::path::Path;

use primrosemast_core::consensus::Write;

use super::{StorageError, StorageErrorKind};

/// Size of the length and checksum before each batch, in bytes.
const HEADER_BYTES: usize = 8;

/// Encodes a batch as a record and appends it to `buf`.
pub(super) fn encode(
    batch: &[Write],
    buf: &mut Vec<u8>,
) -> Result<(), StorageError> {
    let encode_error = |message: String| {
        StorageError::new(
            StorageErrorKind::Failed,
            Path::new("record"),
            message,
        )
    };
    let body = rmp_serde::to_vec(batch)
        .map_err(|e| encode_error(format!("cannot encode: {e}")))?;
    let length = u32::try_from(body.len())
        .map_err(|_| encode_error("larger than 4 GiB".into()))?;
    buf.extend(length.to_le_bytes());
    buf.extend(checksum(length, &body).to_le_bytes());
    buf.extend(body);
    Ok(())
}

/// Computes the checksum of a record. It covers the length too, so that a
/// damaged length is not mistaken for a torn record.
fn checksum(length: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Result of decoding a record.
pub(super) enum Decoded {
    /// The batch of a record, and the size of the record in bytes.
    Record(Vec<Write>, usize),
    /// The bytes end before the end of the record.
    Incomplete,
    /// The bytes are not a valid record.
    Damaged,
}

/// Decodes the record at the start of `bytes`.
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
    let (length, expected) = (word(0), word(4));
    let Some(body) = rest.get(..length as usize) else {
        return Decoded::Incomplete;
    };
    if checksum(length, body) != expected {
        return Decoded::Damaged;
    }
    match rmp_serde::from_slice(body) {
        Ok(batch) => Decoded::Record(batch, HEADER_BYTES + body.len()),
        Err(_) => Decoded::Damaged,
    }
}
