//! A control replica and its storage in a data folder with a capacity.

use std::{
    fs::{self, File},
    io::{self, ErrorKind, Write as _},
    path::{Path, PathBuf},
};

use bytes::Bytes;
use primrosemast::storage::{Disk, Storage, StorageErrorKind};
use primrosemast_core::{
    consensus::*,
    control::{Change, Command, ControlState},
    id::{InstanceId, ReplicaId, Token},
    time::Time,
};

const CAPACITY: u64 = 4_000_000;

/// A disk that refuses what would make a folder larger than the capacity.
#[derive(Clone, Debug)]
struct SmallDisk(PathBuf);

impl Disk for SmallDisk {
    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let room = CAPACITY.saturating_sub(folder_bytes(&self.0)) as usize;
        file.write_all(&bytes[..bytes.len().min(room)])?;
        match bytes.len() > room {
            true => Err(ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("folder");
    files.map(|f| f.and_then(|f| f.metadata()).expect("file").len()).sum()
}

fn append(after: u64, term: u64, size: usize) -> Write {
    let entry = Entry {
        index: after + 1,
        term,
        payload: Payload::Command(Bytes::from(vec![7; size])),
    };
    Write::Append { after, entries: vec![entry] }
}

/// The only voter of a group, with its state machine and folder.
struct Replica {
    consensus: Consensus,
    state: ControlState,
    storage: Storage<SmallDisk>,
    now: Time,
    outcomes: Vec<Result<u64, ProposeError>>,
}

impl Replica {
    fn step(&mut self, event: ConsensusEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.consensus.step(self.now, event, &mut out);
            for effect in out {
                match effect {
                    ConsensusEffect::Persist { ticket, write } => {
                        self.storage.write(&[write]).expect("it has room");
                        events.insert(0, ConsensusEvent::Persisted(ticket));
                    }
                    ConsensusEffect::Apply { index, command } => {
                        self.state.apply(index, &command);
                    }
                    ConsensusEffect::TakeSnapshot => {
                        let index = self.state.index();
                        let data = self.state.snapshot();
                        let event = ConsensusEvent::Snapshot { index, data };
                        events.insert(0, event);
                    }
                    ConsensusEffect::Outcome(_, outcome) => {
                        self.outcomes.push(outcome);
                    }
                    _ => {}
                }
            }
        }
    }
}

// Guards against a replica whose own log fills its data folder: nothing is
// written any more after the 9th document of 400 KB in a folder of 4 MB.
#[test]
fn the_log_of_a_replica_never_fills_its_folder() {
    for size in [2_000, 60_000, 400_000, 900_000] {
        let dir = tempfile::tempdir().expect("folder");
        let disk = SmallDisk(dir.path().to_owned());
        let (storage, id, recovered) =
            Storage::open_on(disk.clone(), dir.path()).expect("open");
        let options = ConsensusOptions {
            folder_bytes: Some(CAPACITY),
            ..ConsensusOptions::default()
        };
        let mut replica = Replica {
            consensus: Consensus::new(id, options, recovered, 1),
            state: ControlState::default(),
            storage: storage.with_capacity(Some(CAPACITY)),
            now: Time::from_millis(10_000),
            outcomes: Vec::new(),
        };
        let own = primrosemast_core::consensus::Replica {
            id,
            instance: InstanceId(1),
            name: "instance-1".into(),
            address: ([127, 0, 0, 1], 7_402).into(),
            voter: true,
        };
        let start = ConsensusEvent::Bootstrap { group: 9, replica: own };
        replica.step(start);
        let mut sent = 0;
        while sent < 3 * CAPACITY {
            let change = Change {
                change_id: format!("change-{sent}"),
                expected_version: replica.state.version(),
                document: Bytes::from(vec![1; size]),
            };
            let command = Command::Change(change).encode();
            let event = ConsensusEvent::Propose(Token(sent), command);
            replica.step(event);
            sent += size as u64;
        }
        assert!(replica.outcomes.iter().all(Result::is_ok), "{size}");
        let index = replica.state.index();
        drop(replica);
        let (_, _, found) =
            Storage::open_on(disk, dir.path()).expect("it opens again");
        let snapshot = found.snapshot.expect("a snapshot").index;
        assert_eq!(snapshot + found.entries.len() as u64, index, "{size}");
    }
}

// Guards against a folder that entries of lost leaders fill: they stay in the
// files after they are truncated.
#[test]
fn entries_that_are_truncated_again_and_again_never_fill_the_folder() {
    let dir = tempfile::tempdir().expect("folder");
    let disk = SmallDisk(dir.path().to_owned());
    let (storage, ..) =
        Storage::open_on(disk.clone(), dir.path()).expect("open");
    let mut storage = storage.with_capacity(Some(CAPACITY));
    let snapshot = Write::Snapshot(StoredSnapshot {
        index: 5,
        term: 1,
        members: Vec::new(),
        members_index: 1,
        data: Bytes::from(vec![3; 900_000]),
    });
    let mut expected = Recovered::default();
    let mut write = |batch: &[Write]| {
        storage.write(batch).expect("it has room");
        batch.iter().for_each(|w| expected.apply_write(w.clone()));
    };
    write(&[append(0, 1, 50_000), append(1, 1, 50_000)]);
    write(&[snapshot]);
    for term in 2..40 {
        let vote = Some(ReplicaId(term));
        write(&[Write::HardState { group: 9, term, vote }]);
        write(&[append(5, term, 10), append(6, term, 700_000)]);
    }
    drop(storage);
    let (_, _, found) =
        Storage::open_on(disk, dir.path()).expect("it opens again");
    assert!(found == expected, "another content");
}

// Guards against a folder that is over half full, as one of an earlier release
// may be, and waits for the room of a compaction that does not fit while an
// append does.
#[test]
fn a_folder_without_room_for_compaction_takes_what_fits() {
    let dir = tempfile::tempdir().expect("folder");
    let disk = SmallDisk(dir.path().to_owned());
    let (storage, ..) = Storage::open_on(disk, dir.path()).expect("open");
    let mut storage = storage.with_capacity(Some(CAPACITY));
    for index in 0..6 {
        storage.write(&[append(index, 1, 500_000)]).expect("it has room");
    }
    // One entry after another is replaced, so that little can be freed.
    for term in 2..8 {
        storage.write(&[append(6, term, 100_000)]).expect("it has room");
    }
    let error = storage.write(&[append(7, 9, 900_000)]).expect_err("full");
    assert_eq!(error.kind(), StorageErrorKind::Full);
}
