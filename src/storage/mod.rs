/*!
Durable storage of a control replica.

The data folder holds an identity, the segments of a write-ahead log, and a
lock file. A record is a checksummed batch of writes of the replicated log:
term and vote, entries, or a snapshot. Recovery replays the records in order.
A write is reported only after it is synced. After the first failure no write
is reported any more, and the daemon stops. The only exception is a full disk:
the write is continued until there is space.

A batch with a snapshot is not appended. What the folder holds after it is
written to a new segment, and then the older ones are removed.
*/

mod disk;
mod error;
mod record;
mod segment;
mod thread;

use std::{
    fs::{File, OpenOptions},
    io::Read,
    path::{Path, PathBuf},
};

use primrosemast_core::{
    consensus::{Recovered, Write},
    id::ReplicaId,
};

pub use self::{
    disk::{Disk, OsDisk},
    error::{StorageError, StorageErrorKind},
    thread::{StorageState, StorageThread},
};
use self::{record::encode, segment::Segment};

/// Size in bytes above which a new segment is started, so that space can be
/// freed after a snapshot.
const SEGMENT_BYTES: u64 = 4 << 20;

/// Part of the capacity, as a divisor, that records which are out of date take
/// before they are compacted. Half of the reserve of the log.
const COMPACTION_DIVISOR: u64 = 128;

/// An open data folder.
#[derive(Debug)]
pub struct Storage<D = OsDisk> {
    disk: D,
    folder: PathBuf,
    /// The lock on the folder, held while the file is open.
    _lock: File,
    segment: Segment,
    /// Bytes of the segments before `segment`.
    older_bytes: u64,
    /// The last hard state. It is repeated at the start of each segment,
    /// because older segments are removed.
    hard_state: Option<Write>,
    /// Capacity of the folder in bytes, if it is limited.
    capacity: Option<u64>,
    /// Bytes appended since the last compaction, or since one was not due.
    written_bytes: u64,
    progress: Progress,
}

/// How far the last write has come.
#[derive(Debug)]
enum Progress {
    Complete,
    /// The disk was full before `stage` of writing `record` was complete.
    Interrupted {
        record: Vec<u8>,
        stage: Stage,
    },
    Failed,
}

/// A stage of a write.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// Appends the record to the segment, whose synced length is given.
    Append(u64),
    /// Starts the next segment if one is due. The record is synced, so it
    /// must stay: a crash may find the next segment after it.
    NextSegment,
    /// Writes what the folder holds after the batch to the next segment.
    Compact,
    /// Removes the segments that the new one replaces.
    Remove,
}

impl Storage {
    /// Opens a data folder, creating it if it does not exist. Returns the
    /// identity of the replica and its recovered state as well.
    ///
    /// # Errors
    ///
    /// Fails if another process uses the folder, if it cannot be read or
    /// written, or if a record other than the last one is damaged. If the
    /// disk was full, it can be opened again later.
    pub fn open(
        folder: &Path,
    ) -> Result<(Storage, ReplicaId, Recovered), StorageError> {
        Storage::open_on(OsDisk, folder)
    }
}

impl<D: Disk> Storage<D> {
    /// Opens a data folder on the given disk; see [`Storage::open`].
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`Storage::open`].
    pub fn open_on(
        disk: D,
        folder: &Path,
    ) -> Result<(Storage<D>, ReplicaId, Recovered), StorageError> {
        disk.create_folder(folder)
            .map_err(|e| StorageError::io("create", folder, e))?;
        let lock = lock(&disk, folder)?;
        let numbers = segment::list(folder)?;
        let mut recovered = Recovered::default();
        let mut hard_state = None;
        let last = numbers.last().copied();
        let mut older_bytes = 0;
        let first = segment::newest_complete(folder, &numbers)?;
        for &number in &numbers {
            let is_last = Some(number) == last;
            if !is_last {
                older_bytes += segment::size(folder, number)?;
            }
            // The removal of the segments that `first` replaces was
            // interrupted.
            if number < first {
                continue;
            }
            for write in segment::read(&disk, folder, number, is_last)? {
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
            Some(number) => {
                let segment = Segment::append_to(&disk, folder, number)?;
                // A process that was killed may not have synced its last
                // record, which counts as synced from now on.
                segment.sync(&disk)?;
                segment
            }
            None => Segment::create(&disk, folder, 1)?,
        };
        // The identity is written after the first segment, so that a crash
        // in between leaves only an empty, unused segment.
        let replica = read_or_create_identity(
            &disk,
            &identity_path,
            recovered == Recovered::default(),
        )?;
        let storage = Storage {
            disk,
            folder: folder.to_owned(),
            _lock: lock,
            segment,
            older_bytes,
            hard_state,
            capacity: None,
            written_bytes: u64::MAX,
            progress: Progress::Complete,
        };
        Ok((storage, replica, recovered))
    }

    /// Sets the capacity of the folder in bytes. It is compacted when records
    /// that are out of date take room in the half that compaction needs.
    #[must_use]
    pub fn with_capacity(self, capacity: Option<u64>) -> Storage<D> {
        Storage { capacity, ..self }
    }

    /// Returns the size of the log in the folder, in bytes.
    pub fn folder_bytes(&self) -> u64 {
        self.older_bytes + self.segment.len()
    }

    /// Appends a batch as one record and syncs it. If the disk was full, the
    /// call has to be repeated with the same batch, and continues the write.
    ///
    /// # Errors
    ///
    /// Fails if the batch may not be on disk. Unless the disk was full, every
    /// later call fails too, because the content of the file is then unknown.
    pub fn write(&mut self, batch: &[Write]) -> Result<(), StorageError> {
        let mut record = Vec::new();
        encode(batch, &mut record)?;
        let mut stage = Stage::Append(self.segment.len());
        let progress = std::mem::replace(&mut self.progress, Progress::Failed);
        match progress {
            Progress::Complete => {
                if self.is_compaction_due(batch, &record)? {
                    stage = Stage::Compact;
                }
            }
            Progress::Interrupted { record: begun, stage: at }
                if begun == record =>
            {
                stage = at;
            }
            Progress::Interrupted { .. } | Progress::Failed => {
                return Err(StorageError::new(
                    StorageErrorKind::Failed,
                    &self.folder,
                    "an earlier write failed".into(),
                ));
            }
        }
        let result = self.try_write(batch, &record, &mut stage);
        match &result {
            Ok(()) => self.progress = Progress::Complete,
            Err(e) if e.kind() == StorageErrorKind::Full => {
                self.progress = Progress::Interrupted { record, stage };
            }
            Err(_) => {}
        }
        result
    }

    /// Runs the remaining stages of a write.
    fn try_write(
        &mut self,
        batch: &[Write],
        record: &[u8],
        stage: &mut Stage,
    ) -> Result<(), StorageError> {
        if let Stage::Append(synced_len) = *stage {
            if self.segment.len() > synced_len {
                self.segment.truncate(&self.disk, synced_len)?;
            }
            self.segment.append(&self.disk, record)?;
            let len = record.len() as u64;
            self.written_bytes = self.written_bytes.saturating_add(len);
            self.keep_hard_state(batch);
            *stage = Stage::NextSegment;
        }
        match *stage {
            Stage::Append(_) | Stage::NextSegment => {
                if self.segment.len() > SEGMENT_BYTES {
                    self.start_segment(&[])?;
                }
            }
            Stage::Compact => {
                let head = head_of(self.content_after(batch)?);
                self.keep_hard_state(batch);
                self.start_segment(&head)?;
                self.written_bytes = 0;
                *stage = Stage::Remove;
            }
            // The last removal may not be synced.
            Stage::Remove => segment::sync_folder(&self.disk, &self.folder)?,
        }
        if let Stage::Remove = *stage {
            for number in segment::list(&self.folder)? {
                if number < self.segment.number() {
                    segment::remove(&self.disk, &self.folder, number)?;
                }
            }
            self.older_bytes = 0;
        }
        Ok(())
    }

    fn keep_hard_state(&mut self, batch: &[Write]) {
        let last =
            batch.iter().rfind(|w| matches!(w, Write::HardState { .. }));
        if let Some(write) = last {
            self.hard_state = Some(write.clone());
        }
    }

    /// Returns whether a batch is written by compacting the folder.
    fn is_compaction_due(
        &mut self,
        batch: &[Write],
        record: &[u8],
    ) -> Result<bool, StorageError> {
        if batch.iter().any(|w| matches!(w, Write::Snapshot(_))) {
            return Ok(true);
        }
        let Some(capacity) = self.capacity else { return Ok(false) };
        let step = capacity / COMPACTION_DIVISOR;
        let used = self.folder_bytes();
        if self.written_bytes < step
            || used + record.len() as u64 <= capacity / 2 - step
        {
            return Ok(false);
        }
        self.written_bytes = 0;
        let mut buf = Vec::new();
        encode(&head_of(self.content_after(batch)?), &mut buf)?;
        let needed = buf.len() as u64;
        Ok(used >= needed + step && used + needed <= capacity)
    }

    /// Returns the content of the folder after a batch.
    fn content_after(
        &self,
        batch: &[Write],
    ) -> Result<Recovered, StorageError> {
        let mut content = Recovered::default();
        for number in segment::list(&self.folder)? {
            if number > self.segment.number() {
                // Left by an attempt that could not sync the folder.
                break;
            }
            for write in
                segment::read(&self.disk, &self.folder, number, false)?
            {
                content.apply_write(write);
            }
        }
        batch.iter().for_each(|w| content.apply_write(w.clone()));
        Ok(content)
    }

    fn start_segment(&mut self, head: &[Write]) -> Result<(), StorageError> {
        let next = self.next_segment(head)?;
        self.older_bytes += self.segment.len();
        self.segment = next;
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
        let number = self.segment.number() + 1;
        Segment::create_with(&self.disk, &self.folder, number, &buf)
    }
}

/// Returns the writes, after the hard state, that restore a content whatever
/// the older segments hold.
fn head_of(content: Recovered) -> Vec<Write> {
    let after = content.snapshot.as_ref().map_or(0, |s| s.index);
    let snapshot = content.snapshot.map(Write::Snapshot);
    let entries = Write::Append { after, entries: content.entries };
    snapshot.into_iter().chain([entries]).collect()
}

/// Locks a folder against other processes.
fn lock(disk: &impl Disk, folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let mut options = OpenOptions::new();
    options.create(true).truncate(false).write(true);
    let file = disk
        .open(&path, &options)
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
    disk: &impl Disk,
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
            let text = format!("{id}\n");
            segment::write_file(disk, &temporary, text.as_bytes())?;
            disk.rename(&temporary, path)
                .map_err(|e| StorageError::io("rename", path, e))?;
            segment::sync_folder(disk, path.parent().unwrap_or(path))?;
            Ok(id)
        }
        // Records without an identity may hold the votes of another replica.
        Err(e) => Err(StorageError::io("read", path, e)),
    }
}
