//! The storage of a control replica on a disk that is full for some time, and
//! that loses what was not synced.

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions},
    io::{self, ErrorKind, Write as _},
    os::fd::AsRawFd,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use bytes::Bytes;
use primrosemast::storage::{Disk, Storage, StorageErrorKind, StorageThread};
use primrosemast_core::{consensus::*, id::ReplicaId};

/// An operation on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Op {
    Create,
    Write,
    Truncate,
    Sync,
    SyncFolder,
    Rename,
    Remove,
}

/// Which operations a full disk refuses.
const REFUSALS: [&[Op]; 7] = [
    &[Op::Write],
    &[Op::Write, Op::Truncate],
    &[Op::Sync],
    &[Op::SyncFolder],
    &[Op::Create, Op::Rename],
    &[Op::Create, Op::Write, Op::Truncate, Op::Sync, Op::Rename],
    &[
        Op::Create,
        Op::Write,
        Op::Truncate,
        Op::Sync,
        Op::SyncFolder,
        Op::Rename,
        Op::Remove,
    ],
];

/// Largest part of a write that a full disk takes, in bytes.
const MAX_PART: usize = 64;

/// A disk that is full from some operation on, until it is told to have room.
#[derive(Clone, Debug, Default)]
struct FullDisk(Arc<Mutex<DiskState>>);

#[derive(Debug, Default)]
struct DiskState {
    operations: u64,
    /// Number of operations after which the disk is full, if it fills up.
    full_after: Option<u64>,
    refuses: &'static [Op],
    /// Whether to keep what is synced.
    keeps: bool,
    /// Synced content of each file.
    synced: BTreeMap<PathBuf, Vec<u8>>,
}

impl FullDisk {
    fn new(full_after: u64, refuses: &'static [Op]) -> FullDisk {
        let disk = FullDisk::default();
        disk.fill_up(full_after, refuses);
        disk
    }

    /// Fills the disk after a number of further operations.
    fn fill_up(&self, after: u64, refuses: &'static [Op]) {
        let mut state = self.0.lock().expect("state");
        state.full_after = Some(state.operations + after);
        state.refuses = refuses;
    }

    fn free(&self) {
        self.0.lock().expect("state").full_after = None;
    }

    fn check(&self, op: Op) -> io::Result<()> {
        let mut state = self.0.lock().expect("state");
        state.operations += 1;
        let full = state.full_after.is_some_and(|n| state.operations > n);
        if full && state.refuses.contains(&op) {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Creates a folder with what is left after a power loss.
    fn after_power_loss(&self) -> tempfile::TempDir {
        let dir = tempfile::tempdir().expect("folder");
        for (path, content) in &self.0.lock().expect("state").synced {
            let name = path.file_name().expect("a name");
            fs::write(dir.path().join(name), content).expect("write");
        }
        dir
    }
}

impl Disk for FullDisk {
    fn open(&self, path: &Path, options: &OpenOptions) -> io::Result<File> {
        if !path.exists() {
            self.check(Op::Create)?;
        }
        options.open(path)
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let room = self.check(Op::Write);
        let written = match room {
            Ok(()) => bytes,
            Err(_) => &bytes[..(bytes.len() / 2).min(MAX_PART)],
        };
        file.write_all(written)?;
        room
    }

    fn truncate(&self, file: &File, len: u64) -> io::Result<()> {
        self.check(Op::Truncate)?;
        file.set_len(len)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        if file.metadata()?.is_dir() {
            return self.check(Op::SyncFolder);
        }
        self.check(Op::Sync)?;
        let mut state = self.0.lock().expect("state");
        if state.keeps {
            let link = format!("/proc/self/fd/{}", file.as_raw_fd());
            let path = fs::read_link(link)?;
            let content = fs::read(&path)?;
            state.synced.insert(path, content);
        }
        Ok(())
    }

    fn sync_data(&self, file: &File) -> io::Result<()> {
        self.sync(file)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check(Op::Rename)?;
        let mut state = self.0.lock().expect("state");
        if let Some(content) = state.synced.remove(from) {
            state.synced.insert(to.to_owned(), content);
        }
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.check(Op::Remove)?;
        self.0.lock().expect("state").synced.remove(path);
        fs::remove_file(path)
    }
}

fn append(index: u64, size: usize) -> Write {
    Write::Append {
        after: index - 1,
        entries: vec![Entry {
            index,
            term: 1,
            payload: Payload::Command(Bytes::from(vec![7; size])),
        }],
    }
}

fn snapshot(index: u64) -> Write {
    Write::Snapshot(StoredSnapshot {
        index,
        term: 1,
        members: Vec::new(),
        members_index: 1,
        data: Bytes::from_static(b"state"),
    })
}

fn hard_state(term: u64) -> Write {
    Write::HardState { group: 5, term, vote: Some(ReplicaId(3)) }
}

/// Batches that append, compact and install a snapshot.
fn batches() -> Vec<Vec<Write>> {
    vec![
        vec![hard_state(1)],
        vec![append(1, 10), append(2, 10)],
        vec![append(3, 10), snapshot(1), append(4, 10)],
        vec![hard_state(3), append(5, 10)],
        // A snapshot of the leader, which replaces the log.
        vec![snapshot(20), hard_state(4)],
        vec![append(21, 10)],
    ]
}

/// Batches of which the second fills a segment.
fn large_batches() -> Vec<Vec<Write>> {
    vec![
        vec![hard_state(1)],
        vec![append(1, 4 << 20), hard_state(2)],
        vec![append(2, 10)],
    ]
}

fn after(state: &Recovered, batch: &[Write]) -> Recovered {
    let mut state = state.clone();
    batch.iter().for_each(|w| state.apply_write(w.clone()));
    state
}

/// Copies a folder and recovers the copy, as after a kill.
fn recover_copy(folder: &Path) -> Recovered {
    let copy = tempfile::tempdir().expect("folder");
    for file in fs::read_dir(folder).expect("folder") {
        let file = file.expect("file");
        let to = copy.path().join(file.file_name());
        fs::copy(file.path(), to).expect("copy");
    }
    let disk = FullDisk::default();
    Storage::open_on(disk, copy.path()).expect("the copy opens").2
}

/// Opens a folder on a disk that may be full, and frees it in that case.
fn open(
    disk: &FullDisk,
    folder: &Path,
    case: &str,
) -> (Storage<FullDisk>, ReplicaId, Recovered) {
    for _ in 0..2 {
        match Storage::open_on(disk.clone(), folder) {
            Ok(opened) => return opened,
            Err(e) => {
                assert_eq!(e.kind(), StorageErrorKind::Full, "{case}: {e}");
            }
        }
    }
    disk.free();
    Storage::open_on(disk.clone(), folder)
        .unwrap_or_else(|e| panic!("{case}: with room again: {e}"))
}

/// Writes all batches on a disk that is full after `full_after` operations.
/// Returns whether it has refused any.
fn run(
    batches: &[Vec<Write>],
    refuses: &'static [Op],
    full_after: u64,
    killed: bool,
) -> bool {
    let case = format!("{refuses:?} after {full_after}, killed {killed}");
    let dir = tempfile::tempdir().expect("folder");
    let folder = dir.path().join("data");
    let disk = FullDisk::new(full_after, refuses);
    let (mut storage, id, mut expected) = open(&disk, &folder, &case);
    let mut refused = disk.0.lock().expect("state").full_after.is_none();
    for batch in batches {
        let next = after(&expected, batch);
        let mut attempts = 0;
        while let Err(e) = storage.write(batch) {
            assert_eq!(e.kind(), StorageErrorKind::Full, "{case}: {e}");
            refused = true;
            attempts += 1;
            let found = recover_copy(&folder);
            assert!(found == expected || found == next, "{case}: a copy");
            if killed {
                drop(storage);
                let (opened, again, found) = open(&disk, &folder, &case);
                assert_eq!(again, id, "{case}");
                disk.free();
                storage = opened;
                if found == next {
                    break;
                }
                assert!(found == expected, "{case}: after a kill");
            } else if attempts == 3 {
                disk.free();
            }
            assert!(attempts < 9, "{case}: no write with room again");
        }
        expected = next;
    }
    drop(storage);
    let (_, again, found) = open(&disk, &folder, &case);
    assert_eq!(again, id, "{case}");
    assert!(found == expected, "{case}: at the end");
    refused
}

fn check_all(batches: &[Vec<Write>], killed: bool) {
    for refuses in REFUSALS {
        // Without a refusal, the script has ended before the disk was full.
        let mut full_after = 0;
        while run(batches, refuses, full_after, killed) {
            full_after += 1;
            assert!(full_after < 200, "the script has no end");
        }
        println!("{refuses:?}: {full_after} moments");
        assert!(full_after >= 3, "{refuses:?}: {full_after} moments");
    }
}

// Guards against a replica that stops, or loses or reports a write too early,
// because its disk is full at any operation of a write, whatever it refuses.
#[test]
fn a_disk_that_is_full_at_any_operation_is_waited_out() {
    check_all(&batches(), false);
    check_all(&large_batches(), false);
}

// Guards against a data folder that cannot be opened, or that has lost a write,
// after a kill while its disk was full.
#[test]
fn a_kill_while_the_disk_is_full_loses_nothing() {
    check_all(&batches(), true);
    check_all(&large_batches(), true);
}

// Guards against a replica that acts on a record which it has read after a kill
// but never synced, and which a power loss removes.
#[test]
fn a_record_that_is_read_at_the_start_is_synced() {
    let dir = tempfile::tempdir().expect("folder");
    let disk = FullDisk::default();
    disk.0.lock().expect("state").keeps = true;
    let (mut storage, ..) =
        Storage::open_on(disk.clone(), dir.path()).expect("open");
    storage.write(&[hard_state(1)]).expect("write");
    disk.fill_up(0, &[Op::Sync]);
    let error = storage.write(&[hard_state(2)]).expect_err("full");
    assert_eq!(error.kind(), StorageErrorKind::Full);
    drop(storage);
    disk.free();
    let (_storage, _, found) =
        Storage::open_on(disk.clone(), dir.path()).expect("open");
    assert_eq!(found.term, 2);
    let left = disk.after_power_loss();
    let (_, _, kept) = Storage::open(left.path()).expect("open");
    assert_eq!(kept.term, 2);
}

// Guards against a storage thread that ends, and so a daemon that exits, because
// a full disk refuses to truncate what it has taken of a record.
#[test]
fn the_thread_outlasts_a_disk_that_refuses_everything() {
    let dir = tempfile::tempdir().expect("folder");
    let disk = FullDisk::default();
    let (storage, ..) =
        Storage::open_on(disk.clone(), dir.path()).expect("open");
    let (tx, rx) = mpsc::channel();
    let thread = StorageThread::spawn(storage, move |result| {
        let _ = tx.send(result.map_err(|e| e.kind()));
    });
    let limit = Duration::from_secs(30);
    for (round, refuses) in REFUSALS.into_iter().enumerate() {
        let ticket = round as u64 + 1;
        disk.fill_up(0, refuses);
        thread.write(ticket, snapshot(ticket));
        let first = rx.recv_timeout(limit).expect("a report");
        assert_eq!(first, Err(StorageErrorKind::Full), "{refuses:?}");
        let state = thread.state();
        assert!(state.full && state.writing_since.is_some(), "{state:?}");
        disk.free();
        let second = rx.recv_timeout(limit).expect("a report");
        assert_eq!(second, Ok(ticket), "{refuses:?}");
        let state = thread.state();
        assert!(!state.full && state.writing_since.is_none(), "{state:?}");
        assert!(state.folder_bytes > 0, "{state:?}");
    }
}
