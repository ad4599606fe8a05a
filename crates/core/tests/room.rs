//! Tests of control groups whose data folders have a capacity.

mod cluster;

use bytes::Bytes;
use cluster::Cluster;
use primrosemast_core::{
    consensus::*,
    control::{Change, Claim, Command},
    id::QueryId,
};

/// Simulated time within which a change has an outcome, and within which one
/// that was refused for lack of room is accepted, in milliseconds.
const OUTCOME_MS: u64 = 5_000;

const MB: u64 = 1_000_000;

fn options(capacity: u64) -> ConsensusOptions {
    ConsensusOptions {
        folder_bytes: Some(capacity),
        ..ConsensusOptions::default()
    }
}

fn group(voters: usize, seed: u64, capacity: u64) -> Cluster {
    let mut cluster = Cluster::with_options(voters, seed, options(capacity));
    for node in &mut cluster.nodes {
        node.capacity = Some(capacity);
    }
    cluster.add_all_voters();
    cluster
}

fn change(cluster: &Cluster, leader: usize, id: &str, size: u64) -> Command {
    Command::Change(Change {
        change_id: id.into(),
        expected_version: cluster.nodes[leader].state.version(),
        document: Bytes::from(vec![b'd'; size as usize]),
    })
}

/// Sends a change until it is accepted, or refused for good.
fn send(cluster: &mut Cluster, id: &str, size: u64) -> Result<(), String> {
    let end = cluster.now + std::time::Duration::from_millis(OUTCOME_MS);
    while cluster.now < end {
        let Some(leader) = cluster.leader() else {
            cluster.run(50);
            continue;
        };
        let command = change(cluster, leader, id, size);
        let token = cluster.propose(leader, &command);
        while cluster.now < end && !cluster.outcomes.contains_key(&token) {
            cluster.run(10);
        }
        match cluster.outcomes.get(&token) {
            Some(Ok(_)) => return Ok(()),
            Some(Err(ProposeError::TooLarge(text))) => {
                return Err(text.clone());
            }
            _ => cluster.run(50),
        }
    }
    let leader = cluster.leader();
    let folders: Vec<_> =
        cluster.nodes.iter().map(|n| n.folder_bytes).collect();
    let figures = leader.map(|i| cluster.figures(i));
    panic!("{id} of {size} bytes has no outcome: {folders:?}, {figures:?}");
}

/// Sends a read until it has an outcome.
fn read(cluster: &mut Cluster) {
    let end = cluster.now + std::time::Duration::from_millis(OUTCOME_MS);
    while cluster.now < end {
        let leader = cluster.wait_leader();
        let token = cluster.propose(leader, &Command::Barrier);
        cluster.run(100);
        if matches!(cluster.outcomes.get(&token), Some(Ok(_))) {
            return;
        }
    }
    panic!("no read: {:?}", cluster.leader().map(|i| cluster.figures(i)));
}

fn check_bytes(cluster: &Cluster, capacity: u64) {
    let trailing = cluster.options.trailing_bytes;
    for (i, node) in cluster.nodes.iter().enumerate() {
        assert!(node.max_folder_bytes <= capacity, "a folder of {i}");
        if node.consensus.is_some() {
            let bytes = cluster.figures(i).log_bytes;
            assert!(
                bytes <= trailing + capacity / 2,
                "memory of {i}: {bytes}"
            );
        }
    }
}

/// Sends documents of one size until they are several times the capacity.
fn run_one_size(voters: usize, size: u64, capacity: u64) {
    let seed = size + voters as u64;
    let mut cluster = group(voters, seed, capacity);
    let count = (3 * capacity / size).clamp(6, 600);
    for n in 0..count {
        send(&mut cluster, &format!("change-{n}"), size).expect("it fits");
        if n % 50 == 0 {
            read(&mut cluster);
        }
    }
    cluster.settle();
    check_bytes(&cluster, capacity);
}

// Guards against logs that fill the data folders of all voters, after which
// nothing commits for good: the change after the 20th of 200 KB in folders of
// 4 MB.
#[test]
fn documents_sent_again_and_again_never_fill_the_folders() {
    for voters in [3, 5] {
        for size in [2_000, 50_000, 200_000, 900_000] {
            run_one_size(voters, size, 4 * MB);
        }
    }
    run_one_size(3, 1_800_000, 8 * MB);
}

// Guards against folders that fill up with entries which no majority has, or
// which another leader replaced, and against a follower that lags and holds
// more than its leader.
#[test]
fn lost_leaders_and_slow_disks_never_fill_the_folders() {
    for seed in 0..24 {
        let voters = 3 + (seed as usize % 2) * 2;
        let mut cluster = group(voters, seed, 4 * MB);
        for round in 0..12u64 {
            let leader = cluster.wait_leader();
            let other =
                (leader + 1 + (seed + round) as usize % (voters - 1)) % voters;
            match (seed + round) % 4 {
                0 => {
                    cluster.partition[leader] = 1;
                    for n in 0..8 {
                        let size = [30_000, 300_000, 850_000][n % 3];
                        let id = format!("cut-off-{round}-{n}");
                        let command = change(&cluster, leader, &id, size);
                        cluster.propose(leader, &command);
                        cluster.run(200);
                    }
                    cluster.partition[leader] = 0;
                }
                1 => cluster.nodes[other].slow_disk_us = 400_000,
                2 => {
                    cluster.crash(leader);
                    cluster.run(1_500);
                    cluster.start(leader);
                }
                _ => cluster.nodes[other].slow_disk_us = 0,
            }
            for n in 0..4 {
                let size = [2_000, 850_000, 200_000, 850_000][n];
                let id = format!("change-{round}-{n}");
                send(&mut cluster, &id, size).expect("it fits");
            }
        }
        for node in &mut cluster.nodes {
            node.slow_disk_us = 0;
        }
        cluster.settle();
        send(&mut cluster, "last", 850_000).expect("it fits");
        check_bytes(&cluster, 4 * MB);
    }
}

// Guards against a command that can never be stored and is refused as if it
// could be sent again later, and against large changes that leave no room for
// claims and reads.
#[test]
fn what_never_fits_is_refused_for_good_and_small_commands_have_room() {
    let mut cluster = group(3, 1, 4 * MB);
    let text = send(&mut cluster, "too large", MB).expect_err("too large");
    assert!(text.contains("does not fit"), "{text}");
    // Two voters stop, so that nothing is committed any more.
    let leader = cluster.wait_leader();
    send(&mut cluster, "first", 900_000).expect("it fits");
    for i in (0..3).filter(|&i| i != leader) {
        cluster.nodes[i].slow_disk_us = 30_000_000;
    }
    let mut refused = 0;
    for n in 0..6 {
        let id = format!("change-{n}");
        let command = change(&cluster, leader, &id, 600_000);
        let token = cluster.propose(leader, &command);
        if let Some(Err(error)) = cluster.outcomes.get(&token) {
            assert!(
                matches!(error, ProposeError::Busy(text)
                    if text.contains("no room")),
                "{error:?}"
            );
            refused += 1;
        }
    }
    assert!(refused > 0, "the folder has room for all");
    for _ in 0..50 {
        let token = cluster.propose(leader, &Command::Barrier);
        assert_eq!(cluster.outcomes.get(&token), None, "refused");
    }
    cluster.run(60_000);
    for node in &mut cluster.nodes {
        node.slow_disk_us = 0;
    }
    read(&mut cluster);
    send(&mut cluster, "second", 900_000).expect("it fits");
    check_bytes(&cluster, 4 * MB);
}

// Guards against the same for the largest documents, of which a folder holds
// few.
#[test]
fn documents_of_megabytes_never_fill_the_folders() {
    run_one_size(3, 213_000, 64 * MB);
    run_one_size(3, 14 * MB, 64 * MB);
    run_one_size(5, 8 * MB, 64 * MB);
}

// Guards against a group that never commits again after an upgrade or a
// smaller capacity, because its log already exceeds the bound and followers
// take no entry, not even the one that commits the others.
#[test]
fn a_log_above_the_bound_commits_again() {
    for (seed, lag) in [(1, 0), (2, 3)] {
        let unbounded = ConsensusOptions {
            snapshot_bytes: u64::MAX,
            ..ConsensusOptions::default()
        };
        let mut cluster = Cluster::with_options(3, seed, unbounded);
        cluster.add_all_voters();
        for n in 0..25 {
            if n == 25 - lag {
                // This follower lacks commands as well.
                let leader = cluster.wait_leader();
                cluster.crash((leader + 1) % 3);
            }
            let id = format!("change-{n}");
            send(&mut cluster, &id, 100_000).expect("there is no bound");
        }
        for i in 0..3 {
            cluster.crash(i);
        }
        cluster.options = options(4 * MB);
        for i in 0..3 {
            cluster.nodes[i].capacity = Some(4 * MB);
            cluster.start(i);
        }
        read(&mut cluster);
        send(&mut cluster, "last", 850_000).expect("it fits");
        cluster.settle();
        check_bytes(&cluster, 4 * MB);
    }
}

fn claim(number: u64, at_ms: u64) -> Command {
    let request_id = format!("{number:0200}");
    Command::Claim(Claim { request_id, query: QueryId(7), at_ms })
}

// Guards against claims that fill the folder and are refused for good, because
// only a claim that is taken moves the time at which older ones expire.
#[test]
fn claims_expire_although_they_fill_the_folder() {
    let mut cluster = group(3, 1, MB);
    let mut submit = |number, at_ms| {
        let leader = cluster.wait_leader();
        let token = cluster.propose(leader, &claim(number, at_ms));
        cluster.run(30);
        matches!(cluster.outcomes.get(&token), Some(Ok(_)))
    };
    // A refusal may be for the time until a snapshot.
    let refused = (0..5_000).filter(|&n| !submit(n, 1_000)).take(20).count();
    assert_eq!(refused, 20, "the folder holds all claims");
    let two_days_ms = 48 * 3_600_000;
    let taken = (5_000..5_200).filter(|&n| submit(n, two_days_ms)).count();
    assert!(taken > 0, "no claim is taken two days later");
}

// Guards against a document that was accepted beside other state and cannot be
// replaced by one of the same size.
#[test]
fn a_large_document_beside_claims_is_replaced() {
    let mut cluster = group(3, 1, 4 * MB);
    for number in 0..600 {
        cluster.commit(&claim(number, 1_000));
    }
    send(&mut cluster, "first", 900_000).expect("it fits");
    send(&mut cluster, "second", 900_000).expect("it fits");
}
