/*!
Durable storage of a control replica.

The data folder holds an identity, the segments of a write-ahead log, and a
lock file. A record is a checksummed batch of writes of the replicated log:
term and vote, entries, or a snapshot. Recovery replays the records in order.
A write is reported only after it is synced. After the first failure no write
is reported any more, and the daemon stops. The only exception is a full disk:
the write is undone and repeated until there is space.
*/

mod error;
mod record;
mod segment;
mod thread;

use std::{
    fs::{self, File, OpenOptions},
    io::{Read, Write as _},
    path::{Path, PathBuf},
};

use primrosemast_core::{
    consensus::{Recovered, Write},
    id::ReplicaId,
};

pub use self::{
    error::{StorageError, StorageErrorKind},
    thread::StorageThread,
};
use self::{record::encode, segment::Segment};

/// Size in bytes above which a new segment is started, so that space can be
/// freed after a snapshot.
const SEGMENT_BYTES: u64 = 4 << 20;

/// An open data folder.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    /// The lock on the folder, held while the file is open.
    _lock: File,
    segment: Segment,
    /// The last hard state. It is repeated at the start of each segment,
    /// because older segments are removed.
    hard_state: Option<Write>,
    failed: bool,
}

impl Storage {
    /// Opens a data folder, creating it if it does not exist. Returns the
    /// identity of the replica and its recovered state as well.
    ///
    /// # Errors
    ///
    /// Fails if another process uses the folder, if it cannot be read or
    /// written, or if a record other than the last one is damaged.
    pub fn open(
        folder: &Path,
    ) -> Result<(Storage, ReplicaId, Recovered), StorageError> {
        fs::create_dir_all(folder)
            .map_err(|e| StorageError::io("create", folder, e))?;
        let lock = lock(folder)?;
        let numbers = segment::list(folder)?;
        let mut recovered = Recovered::default();
        let mut hard_state = None;
        let last = numbers.last().copied();
        for &number in &numbers {
            let is_last = Some(number) == last;
            for write in segment::read(folder, number, is_last)? {
                if matches!(write, Write::HardState { .. }) {
                    hard_state = Some(write.clone());
                }
                if !is_contiguous(&recovered, &write) {
                    return Err(StorageError::new(
                        StorageErrorKind::Damaged,
                        folder,
                        format!(
                            "entries are missing in segment {number}: {}",
                            describe(&write)
                        ),
                    ));
                }
                recovered.apply_write(write);
            }
        }
        let identity_path = folder.join("identity");
        if last.is_none() && identity_path.exists() {
            // With its old identity and no record of its votes, the replica
            // could vote a second time in the same term.
            return Err(StorageError::new(
                StorageErrorKind::Damaged,
                folder,
                "the log is missing; remove the folder, so that the \
                 instance joins as a new replica"
                    .into(),
            ));
        }
        let segment = match last {
            Some(number) => Segment::append_to(folder, number)?,
            None => Segment::create(folder, 1)?,
        };
        // The identity is written after the first segment, so that a crash
        // in between leaves only an empty, unused segment.
        let replica = read_or_create_identity(
            &identity_path,
            recovered == Recovered::default(),
        )?;
        let storage = Storage {
            folder: folder.to_owned(),
            _lock: lock,
            segment,
            hard_state,
            failed: false,
        };
        Ok((storage, replica, recovered))
    }

    /// Appends a batch as one record and syncs it.
    ///
    /// # Errors
    ///
    /// Fails if the batch may not be on disk. Every later call fails too,
    /// because the content of the file is then unknown, unless the disk was
    /// full and the write could be undone.
    pub fn write(&mut self, batch: &[Write]) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::new(
                StorageErrorKind::Failed,
                &self.folder,
                "an earlier write failed".into(),
            ));
        }
        let synced = (self.segment.number(), self.segment.len());
        let result = self.try_write(batch);
        if let Err(e) = &result {
            let full = e.kind() == StorageErrorKind::Full;
            self.failed = !(full && self.truncate_to_synced(synced));
        }
        result
    }

    /// Truncates the segment to its synced length after a failed write, so
    /// that the write can be repeated. Returns whether that was possible.
    fn truncate_to_synced(&mut self, (number, len): (u64, u64)) -> bool {
        self.segment.number() == number && self.segment.truncate(len).is_ok()
    }

    fn try_write(&mut self, batch: &[Write]) -> Result<(), StorageError> {
        let mut buf = Vec::new();
        let mut snapshot = false;
        for write in batch {
            match write {
                Write::HardState { .. } => {
                    self.hard_state = Some(write.clone());
                }
                Write::Snapshot(_) => snapshot = true,
                Write::Append { .. } => {}
            }
        }
        encode(batch, &mut buf)?;
        self.segment.write(&buf)?;
        self.segment.sync()?;
        if snapshot {
            self.compact(batch)?;
        } else if self.segment.len() > SEGMENT_BYTES {
            self.segment = self.next_segment(&[])?;
        }
        Ok(())
    }

    /// Starts a segment that holds everything that recovery needs, and removes
    /// the older segments.
    fn compact(&mut self, batch: &[Write]) -> Result<(), StorageError> {
        let Some(at) =
            batch.iter().rposition(|w| matches!(w, Write::Snapshot(_)))
        else {
            return Ok(());
        };
        let Write::Snapshot(snapshot) = &batch[at] else { return Ok(()) };
        // Entries after the snapshot's index may have been written before
        // the snapshot, so they are read back from the old segments.
        let mut recovered = Recovered::default();
        for number in segment::list(&self.folder)? {
            for write in segment::read(&self.folder, number, false)? {
                recovered.apply_write(write);
            }
        }
        let mut head = vec![Write::Snapshot(snapshot.clone())];
        if !recovered.entries.is_empty() {
            head.push(Write::Append {
                after: snapshot.index,
                entries: recovered.entries,
            });
        }
        let next = self.next_segment(&head)?;
        let keep = next.number();
        self.segment = next;
        for number in segment::list(&self.folder)? {
            if number < keep {
                segment::remove(&self.folder, number)?;
            }
        }
        Ok(())
    }

    /// Creates the next segment, which starts with the hard state and `head`.
    fn next_segment(&self, head: &[Write]) -> Result<Segment, StorageError> {
        let mut buf = Vec::new();
        let writes: Vec<Write> =
            self.hard_state.iter().chain(head).cloned().collect();
        encode(&writes, &mut buf)?;
        // The new segment is written and synced under a temporary name, so
        // that a crash leaves either no new segment or a complete one.
        Segment::create_with(&self.folder, self.segment.number() + 1, &buf)
    }
}

/// Locks a folder against other processes.
fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(|e| StorageError::io("open", &path, e))?;
    file.try_lock().map_err(|e| {
        StorageError::new(
            StorageErrorKind::Locked,
            &path,
            format!("another process uses the data folder: {e}"),
        )
    })?;
    Ok(file)
}

/// Returns whether the entries of a write continue the recovered log without
/// a gap.
fn is_contiguous(recovered: &Recovered, write: &Write) -> bool {
    let Write::Append { after, entries } = write else { return true };
    let base = recovered.snapshot.as_ref().map_or(0, |s| s.index);
    let last = base + recovered.entries.len() as u64;
    (base..=last).contains(after)
        && entries.iter().zip(after + 1..).all(|(e, i)| e.index == i)
}

fn describe(write: &Write) -> String {
    match write {
        Write::Append { after, .. } => format!("append after {after}"),
        Write::Snapshot(s) => format!("snapshot at {}", s.index),
        Write::HardState { term, .. } => format!("term {term}"),
    }
}

/// Reads the replica's identity, or creates one if the folder has no records.
fn read_or_create_identity(
    path: &Path,
    is_empty: bool,
) -> Result<ReplicaId, StorageError> {
    match File::open(path) {
        Ok(mut file) => {
            let mut text = String::new();
            file.read_to_string(&mut text)
                .map_err(|e| StorageError::io("read", path, e))?;
            u64::from_str_radix(text.trim(), 16).map(ReplicaId).map_err(|_| {
                StorageError::new(
                    StorageErrorKind::Damaged,
                    path,
                    "the identity is not a hexadecimal number".into(),
                )
            })
        }
        Err(e) if e.kind() == std::io::ErrorKind::NotFound && is_empty => {
            let id = ReplicaId(rand::random::<u64>().max(1));
            let temporary = path.with_extension("new");
            let mut file = File::create(&temporary)
                .map_err(|e| StorageError::io("create", &temporary, e))?;
            writeln!(file, "{id}")
                .and_then(|()| file.sync_all())
                .map_err(|e| StorageError::io("write", &temporary, e))?;
            fs::rename(&temporary, path)
                .map_err(|e| StorageError::io("rename", path, e))?;
            segment::sync_folder(path.parent().unwrap_or(path))?;
            Ok(id)
        }
        // Records without an identity may hold the votes of another replica.
        Err(e) => Err(StorageError::io("read", path, e)),
    }
}
