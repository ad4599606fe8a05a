//! Tests of the storage of a control replica: crashes, damage and full disks.

use std::{
    fs::{self, OpenOptions},
    io::Write as _,
    path::{Path, PathBuf},
    sync::mpsc,
    time::Duration,
};

use bytes::Bytes;
use primrosemast::storage::{Storage, StorageErrorKind, StorageThread};
use primrosemast_core::{consensus::*, id::ReplicaId};

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

fn snapshot(index: u64, term: u64) -> Write {
    Write::Snapshot(StoredSnapshot {
        index,
        term,
        members: Vec::new(),
        members_index: 1,
        data: Bytes::from_static(b"state"),
    })
}

fn hard_state(term: u64) -> Write {
    Write::HardState { group: 5, term, vote: Some(ReplicaId(3)) }
}

/// Returns the size of all files in a folder, in bytes.
fn folder_size(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("folder");
    files.map(|f| f.expect("file").metadata().expect("file").len()).sum()
}

/// Returns the segment of a folder that has only one: its largest file.
fn segment(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder).expect("folder");
    files
        .map(|f| f.expect("file").path())
        .max_by_key(|p| fs::metadata(p).expect("file").len())
        .expect("a file")
}

/// Guards against a replica that loses its identity, votes or entries in a
/// restart.
#[test]
fn a_restart_recovers_everything() {
    let dir = tempfile::tempdir().expect("folder");
    let folder = dir.path().join("data");
    let writes = [hard_state(4), append(1, 10), append(2, 10)];
    let mut expected = Recovered::default();
    let (mut storage, id, recovered) = Storage::open(&folder).expect("open");
    assert_eq!(recovered, Recovered::default());
    storage.write(&writes).expect("write");
    for write in writes {
        expected.apply_write(write);
    }
    drop(storage);
    let (_, again, recovered) = Storage::open(&folder).expect("open");
    assert_eq!((again, recovered), (id, expected));
}

/// Guards against two processes that vote with the same identity.
#[test]
fn a_second_open_is_refused() {
    let dir = tempfile::tempdir().expect("folder");
    let _open = Storage::open(dir.path()).expect("open");
    let error = Storage::open(dir.path()).expect_err("locked");
    assert_eq!(error.kind(), StorageErrorKind::Locked);
}

/// Guards against a replica that cannot start after a crash during a write, at
/// whatever byte the write ended, and against one that loses synced records.
#[test]
fn a_torn_record_is_truncated() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut storage, _, _) = Storage::open(dir.path()).expect("open");
    storage.write(&[append(1, 10), append(2, 10)]).expect("write");
    let path = segment(dir.path());
    let synced = fs::read(&path).expect("read").len();
    storage.write(&[append(3, 20), append(4, 20)]).expect("write");
    drop(storage);
    let whole = fs::read(&path).expect("read");
    for cut in synced + 1..whole.len() {
        fs::write(&path, &whole[..cut]).expect("cut");
        let (mut storage, _, recovered) =
            Storage::open(dir.path()).expect("open");
        let kept = recovered.entries.len() as u64;
        assert!(kept >= 2, "cut at {cut}");
        let next = append(kept + 1, 5);
        storage.write(&[next]).expect("write");
        drop(storage);
        let (_, _, recovered) = Storage::open(dir.path()).expect("open");
        assert_eq!(recovered.entries.len() as u64, kept + 1);
    }
}

/// Guards against a replica that cannot start after a crash because the pages
/// of its last batch reached the disk out of order.
#[test]
fn a_batch_without_its_first_bytes_is_truncated() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut storage, _, _) = Storage::open(dir.path()).expect("open");
    storage.write(&[append(1, 10)]).expect("write");
    let path = segment(dir.path());
    let synced = fs::read(&path).expect("read").len();
    storage.write(&[append(2, 5_000), append(3, 20)]).expect("write");
    drop(storage);
    let mut bytes = fs::read(&path).expect("read");
    bytes[synced..synced + 4_096].fill(0);
    fs::write(&path, &bytes).expect("write");
    let (_, _, recovered) = Storage::open(dir.path()).expect("open");
    assert_eq!(recovered.entries.len(), 1);
}

/// Guards against a replica that serves without records that it has
/// acknowledged: a damaged byte anywhere before the last batch is an error.
#[test]
fn damage_before_the_last_batch_is_an_error() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut storage, _, _) = Storage::open(dir.path()).expect("open");
    storage.write(&[hard_state(2)]).expect("write");
    storage.write(&[append(1, 30)]).expect("write");
    let path = segment(dir.path());
    let middle = fs::read(&path).expect("read").len();
    storage.write(&[append(2, 30)]).expect("write");
    drop(storage);
    let whole = fs::read(&path).expect("read");
    for at in 0..middle {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x40;
        fs::write(&path, &bytes).expect("write");
        let error = Storage::open(dir.path()).expect_err("damaged");
        assert_eq!(error.kind(), StorageErrorKind::Damaged, "byte {at}");
        let text = error.to_string();
        let name = path.file_name().expect("name").to_string_lossy();
        assert!(text.contains(&*name), "{text}");
    }
}

/// Guards against a replica that starts with its old identity but without its
/// votes, and could vote twice in a term.
#[test]
fn an_identity_without_a_log_is_an_error() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut storage, _, _) = Storage::open(dir.path()).expect("open");
    storage.write(&[hard_state(2)]).expect("write");
    drop(storage);
    fs::remove_file(segment(dir.path())).expect("remove");
    let error = Storage::open(dir.path()).expect_err("no log");
    assert_eq!(error.kind(), StorageErrorKind::Damaged);
}

/// Guards against files that grow without bound, and against a snapshot that
/// loses the entries after it or keeps entries of a conflicting log.
#[test]
fn a_snapshot_frees_space_and_keeps_later_entries() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut storage, id, mut expected) =
        Storage::open(dir.path()).expect("open");
    let mut largest = 0;
    for i in 1..=10_000 {
        let mut writes = vec![append(i, 100)];
        if i % 1_000 == 0 {
            // A leader's snapshot may lag behind its log.
            writes.push(hard_state(i));
            writes.push(snapshot(i - 10, 1));
        }
        for write in &writes {
            expected.apply_write(write.clone());
        }
        // One sync for several entries keeps the test short.
        storage.write(&writes).expect("write");
        largest = largest.max(folder_size(dir.path()));
    }
    assert!(largest < 400_000, "{largest} bytes");
    drop(storage);
    let (mut storage, again, recovered) =
        Storage::open(dir.path()).expect("open");
    assert_eq!((again, &recovered), (id, &expected));
    let other = snapshot(10_000, 9);
    expected.apply_write(other.clone());
    storage.write(&[other, append(10_001, 1)]).expect("write");
    expected.apply_write(append(10_001, 1));
    drop(storage);
    let (_, _, recovered) = Storage::open(dir.path()).expect("open");
    assert_eq!(recovered, expected);
}

/// Guards against data that is lost or unreadable after a crash during a
/// compaction.
#[test]
fn an_unfinished_compaction_is_repeated_or_complete() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut storage, _, _) = Storage::open(dir.path()).expect("open");
    storage.write(&[append(1, 9), append(2, 9)]).expect("write");
    let old = segment(dir.path());
    let content = fs::read(&old).expect("read");
    storage.write(&[snapshot(1, 1)]).expect("write");
    drop(storage);
    // The old segment has not been removed, and a new one is incomplete.
    fs::write(&old, &content).expect("write");
    let unfinished = dir.path().join("segment.new");
    fs::write(unfinished, b"torn").expect("write");
    let (_, _, recovered) = Storage::open(dir.path()).expect("open");
    assert_eq!(recovered.snapshot.map(|s| s.index), Some(1));
    assert_eq!(recovered.entries.len(), 1);
}

/// Guards against writes that are acknowledged after a failed one.
#[test]
fn nothing_is_reported_after_a_failure() {
    let dir = tempfile::tempdir().expect("folder");
    let folder = dir.path().join("data");
    let (storage, _, _) = Storage::open(&folder).expect("open");
    let (tx, rx) = mpsc::channel();
    let thread = StorageThread::spawn(storage, move |result| {
        let _ = tx.send(result.map_err(|e| e.kind()));
    });
    let limit = Duration::from_secs(30);
    thread.write(1, append(1, 10));
    assert_eq!(rx.recv_timeout(limit), Ok(Ok(1)));
    // A snapshot needs a new segment, which can no longer be created.
    fs::remove_dir_all(&folder).expect("remove");
    thread.write(2, snapshot(1, 1));
    assert_eq!(rx.recv_timeout(limit), Ok(Err(StorageErrorKind::Io)));
    thread.write(3, append(2, 10));
    drop(thread);
    assert!(rx.recv_timeout(limit).is_err(), "reported after an error");
}

/// Guards against writes to a folder in which a write has failed: the kernel
/// may report success for a sync that follows a failed one.
#[test]
fn a_failed_folder_refuses_writes() {
    let dir = tempfile::tempdir().expect("folder");
    let folder = dir.path().join("data");
    let (mut storage, _, _) = Storage::open(&folder).expect("open");
    fs::remove_dir_all(&folder).expect("remove");
    let error = storage.write(&[snapshot(1, 1)]).expect_err("no folder");
    assert_eq!(error.kind(), StorageErrorKind::Io);
    let error = storage.write(&[hard_state(1)]).expect_err("failed");
    assert_eq!(error.kind(), StorageErrorKind::Failed);
}

/// Guards against a log with a gap: a record that does not continue the one
/// before it is damage.
#[test]
fn a_gap_is_an_error() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut storage, _, _) = Storage::open(dir.path()).expect("open");
    storage.write(&[append(1, 10)]).expect("write");
    drop(storage);
    let other = tempfile::tempdir().expect("folder");
    let (mut storage, _, _) = Storage::open(other.path()).expect("open");
    storage.write(&[append(3, 10)]).expect("write");
    drop(storage);
    let tail = fs::read(segment(other.path())).expect("read");
    OpenOptions::new()
        .append(true)
        .open(segment(dir.path()))
        .and_then(|mut file| file.write_all(&tail))
        .expect("append");
    let error = Storage::open(dir.path()).expect_err("gap");
    assert_eq!(error.kind(), StorageErrorKind::Damaged);
}

/// Guards against a replica that stops because its disk is full for some time,
/// and against one that loses writes from before or after that time.
#[test]
fn a_full_disk_is_waited_out() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut storage, _, _) = Storage::open(dir.path()).expect("open");
    storage.write(&[append(1, 10), append(2, 10)]).expect("write");
    // Makes compaction write its new segment to a device that is always full.
    let next = dir.path().join("segment.new");
    std::os::unix::fs::symlink("/dev/full", &next).expect("link");
    let (tx, rx) = mpsc::channel();
    let thread = StorageThread::spawn(storage, move |result| {
        let _ = tx.send(result);
    });
    thread.write(7, snapshot(2, 1));
    let wait = Duration::from_secs(10);
    let error = rx.recv_timeout(wait).expect("a report").expect_err("full");
    assert_eq!(error.kind(), StorageErrorKind::Full);
    fs::remove_file(&next).expect("remove");
    let synced = rx.recv_timeout(wait).expect("a report");
    assert_eq!(synced.expect("written"), 7);
    thread.write(8, append(3, 10));
    let synced = rx.recv_timeout(wait).expect("a report");
    assert_eq!(synced.expect("written"), 8);
    drop(thread);
    // The lock is released when the thread ends.
    let start = std::time::Instant::now();
    let (_, _, recovered) = loop {
        match Storage::open(dir.path()) {
            Ok(opened) => break opened,
            Err(e) => assert!(start.elapsed() < wait, "{e}"),
        }
    };
    let index = recovered.snapshot.expect("a snapshot").index;
    assert_eq!((index, recovered.entries.len()), (2, 1));
}

/// Guards against a data folder that cannot be opened any more after a kill
/// between the removals of the segments that compaction has replaced.
#[test]
fn a_kill_between_removals_loses_nothing() {
    let dir = tempfile::tempdir().expect("folder");
    let copy = tempfile::tempdir().expect("folder");
    let copy_files = || {
        for file in fs::read_dir(dir.path()).expect("the folder") {
            let file = file.expect("a file");
            let to = copy.path().join(file.file_name());
            fs::copy(file.path(), to).expect("a copy");
        }
    };
    let (mut storage, ..) = Storage::open(dir.path()).expect("open");
    let mut expected = Recovered::default();
    let mut write = |write: Write| {
        storage.write(std::slice::from_ref(&write)).expect("it is written");
        expected.apply_write(write);
    };
    write(hard_state(1));
    for index in 1..=6 {
        write(append(index, 2 << 20));
    }
    copy_files();
    write(snapshot(5, 1));
    drop(storage);
    copy_files();

    let mut segments: Vec<PathBuf> = fs::read_dir(copy.path())
        .expect("the folder")
        .map(|file| file.expect("a file").path())
        .filter(|path| path.extension().is_some_and(|e| e == "segment"))
        .collect();
    segments.sort();
    assert!(segments.len() > 2, "{segments:?}");
    for removed in &segments[..segments.len() - 1] {
        let (_, _, recovered) = Storage::open(copy.path()).expect("open");
        assert_eq!(recovered, expected, "before {removed:?} is removed");
        fs::remove_file(removed).expect("removed");
    }
    let (_, _, recovered) = Storage::open(copy.path()).expect("open");
    assert_eq!(recovered, expected);
}
