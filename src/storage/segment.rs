//! Segments of the log: files of records, numbered in ascending order.

use std::{
    fs::{self, File, OpenOptions},
    path::{Path, PathBuf},
};

use primrosemast_core::consensus::Write;

use super::{
    Disk, StorageError, StorageErrorKind,
    record::{Decoded, decode},
};

const SUFFIX: &str = ".segment";

/// The segment to which records are appended.
#[derive(Debug)]
pub(super) struct Segment {
    number: u64,
    path: PathBuf,
    file: File,
    len: u64,
}

impl Segment {
    /// Creates an empty segment.
    pub(super) fn create(
        disk: &impl Disk,
        folder: &Path,
        number: u64,
    ) -> Result<Segment, StorageError> {
        Segment::create_with(disk, folder, number, &[])
    }

    /// Creates a segment with the content `head` and syncs it. Replaces one
    /// with the same number.
    pub(super) fn create_with(
        disk: &impl Disk,
        folder: &Path,
        number: u64,
        head: &[u8],
    ) -> Result<Segment, StorageError> {
        let temporary = folder.join("segment.new");
        write_file(disk, &temporary, head)?;
        let path = path(folder, number);
        disk.rename(&temporary, &path)
            .map_err(|e| StorageError::io("rename", &path, e))?;
        sync_folder(disk, folder)?;
        Segment::append_to(disk, folder, number)
    }

    /// Opens a segment for appending.
    pub(super) fn append_to(
        disk: &impl Disk,
        folder: &Path,
        number: u64,
    ) -> Result<Segment, StorageError> {
        let path = path(folder, number);
        let file = disk
            .open(&path, OpenOptions::new().append(true))
            .map_err(|e| StorageError::io("open", &path, e))?;
        let len = file
            .metadata()
            .map_err(|e| StorageError::io("inspect", &path, e))?
            .len();
        Ok(Segment { number, path, file, len })
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }

    pub(super) fn len(&self) -> u64 {
        self.len
    }

    /// Appends a record and syncs it.
    pub(super) fn append(
        &mut self,
        disk: &impl Disk,
        record: &[u8],
    ) -> Result<(), StorageError> {
        self.len += record.len() as u64;
        disk.write(&mut self.file, record)
            .map_err(|e| StorageError::io("write", &self.path, e))?;
        self.sync(disk)
    }

    pub(super) fn sync(&self, disk: &impl Disk) -> Result<(), StorageError> {
        disk.sync_data(&self.file)
            .map_err(|e| StorageError::io("sync", &self.path, e))
    }

    /// Truncates the file to `len` bytes and syncs it.
    pub(super) fn truncate(
        &mut self,
        disk: &impl Disk,
        len: u64,
    ) -> Result<(), StorageError> {
        disk.truncate(&self.file, len)
            .and_then(|()| disk.sync_data(&self.file))
            .map_err(|e| StorageError::io("truncate", &self.path, e))?;
        self.len = len;
        Ok(())
    }
}

/// Creates a file with this content, or replaces its content, and syncs it.
pub(super) fn write_file(
    disk: &impl Disk,
    path: &Path,
    content: &[u8],
) -> Result<(), StorageError> {
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(true);
    let mut file = disk
        .open(path, &options)
        .map_err(|e| StorageError::io("create", path, e))?;
    disk.write(&mut file, content)
        .and_then(|()| disk.sync(&file))
        .map_err(|e| StorageError::io("write", path, e))
}

/// Returns the numbers of the segments in a folder, sorted; fails if one is
/// missing.
pub(super) fn list(folder: &Path) -> Result<Vec<u64>, StorageError> {
    let entries = fs::read_dir(folder)
        .map_err(|e| StorageError::io("list", folder, e))?;
    let mut numbers = Vec::new();
    for entry in entries {
        let entry = entry.map_err(|e| StorageError::io("list", folder, e))?;
        let name = entry.file_name();
        let number: Option<u64> = name
            .to_str()
            .and_then(|name| name.strip_suffix(SUFFIX))
            .and_then(|stem| stem.parse().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    let gap = numbers.windows(2).any(|pair| pair[1] != pair[0] + 1);
    if gap {
        return Err(StorageError::new(
            StorageErrorKind::Damaged,
            folder,
            "a segment is missing".into(),
        ));
    }
    Ok(numbers)
}

/// Returns the number of the newest segment that begins with all that the
/// older ones hold, or else of the first one. Compaction writes such a segment
/// as a whole.
pub(super) fn newest_complete(
    folder: &Path,
    numbers: &[u64],
) -> Result<u64, StorageError> {
    let first = numbers.first().copied().unwrap_or_default();
    for &number in numbers.iter().skip(1).rev() {
        let path = path(folder, number);
        let bytes =
            fs::read(&path).map_err(|e| StorageError::io("read", &path, e))?;
        let Decoded::Record(head, _) = decode(&bytes) else { continue };
        let replaces = |write: &Write| {
            matches!(
                write,
                Write::Snapshot(_) | Write::Append { after: 0, .. }
            )
        };
        if head.iter().any(replaces) {
            return Ok(number);
        }
    }
    Ok(first)
}

/// Returns the size of a segment in bytes.
pub(super) fn size(folder: &Path, number: u64) -> Result<u64, StorageError> {
    let path = path(folder, number);
    let metadata = fs::metadata(&path)
        .map_err(|e| StorageError::io("inspect", &path, e))?;
    Ok(metadata.len())
}

/// Reads the records of a segment. A torn record at the end of the last
/// segment is truncated, because it was never reported as written.
pub(super) fn read(
    disk: &impl Disk,
    folder: &Path,
    number: u64,
    is_last: bool,
) -> Result<Vec<Write>, StorageError> {
    let path = path(folder, number);
    let bytes =
        fs::read(&path).map_err(|e| StorageError::io("read", &path, e))?;
    let mut writes = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match decode(&bytes[at..]) {
            Decoded::Record(batch, length) => {
                writes.extend(batch);
                at += length;
            }
            // Only the last record can be torn. A damaged record that is
            // followed by complete records was synced before.
            Decoded::Incomplete | Decoded::Damaged
                if is_last && is_torn(&bytes[at..]) =>
            {
                truncate(disk, &path, at as u64)?;
                break;
            }
            Decoded::Incomplete | Decoded::Damaged => {
                return Err(StorageError::new(
                    StorageErrorKind::Damaged,
                    &path,
                    format!("damaged record at byte {at}"),
                ));
            }
        }
    }
    Ok(writes)
}

/// Returns whether no complete record starts anywhere after the first byte.
fn is_torn(bytes: &[u8]) -> bool {
    (1..bytes.len())
        .all(|at| !matches!(decode(&bytes[at..]), Decoded::Record(..)))
}

fn truncate(
    disk: &impl Disk,
    path: &Path,
    len: u64,
) -> Result<(), StorageError> {
    let file = disk
        .open(path, OpenOptions::new().write(true))
        .map_err(|e| StorageError::io("open", path, e))?;
    disk.truncate(&file, len)
        .and_then(|()| disk.sync(&file))
        .map_err(|e| StorageError::io("truncate", path, e))
}

/// Deletes a segment.
pub(super) fn remove(
    disk: &impl Disk,
    folder: &Path,
    number: u64,
) -> Result<(), StorageError> {
    let path = path(folder, number);
    disk.remove(&path).map_err(|e| StorageError::io("remove", &path, e))?;
    sync_folder(disk, folder)
}

/// Syncs a folder, which makes the creation, renaming and removal of its
/// files durable.
pub(super) fn sync_folder(
    disk: &impl Disk,
    folder: &Path,
) -> Result<(), StorageError> {
    File::open(folder)
        .and_then(|file| disk.sync(&file))
        .map_err(|e| StorageError::io("sync", folder, e))
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:020}{SUFFIX}"))
}
