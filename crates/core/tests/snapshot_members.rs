//! Tests that replicas agree on when their list of members began.

mod cluster;

use cluster::*;
use primrosemast_core::consensus::*;

/// Guards against instances that never get their lease again after a restart:
/// only voters with the newest list of members confirm it, and a replica that
/// started from a snapshot took its list for newer than that of the others.
#[test]
fn a_restart_from_a_snapshot_keeps_the_index_of_the_members() {
    let options = ConsensusOptions {
        snapshot_threshold: 10,
        trailing_entries: 2,
        ..ConsensusOptions::default()
    };
    let mut cluster = Cluster::with_options(4, 1, options);
    cluster.add_voters(3);
    let index = cluster.status(0).expect("status").members_index;
    let expect = |cluster: &Cluster, count: usize, index: u64| {
        let found: Vec<_> = (0..count)
            .map(|i| cluster.status(i).expect("status").members_index)
            .collect();
        assert_eq!(found, vec![index; count]);
    };
    for round in 0..6 {
        let i = round % 3;
        for n in 0..12 {
            let leader = cluster.wait_leader();
            let change = cluster.next_change(leader, &format!("{round}-{n}"));
            cluster.commit(&change);
        }
        cluster.settle();
        cluster.crash(i);
        cluster.start(i);
        cluster.wait_leader();
        cluster.settle();
        expect(&cluster, 3, index);
    }
    // A new replica that is far behind gets the list with a snapshot.
    let learner = cluster.nodes[3].replica.clone();
    cluster.change_members(MemberChange::AddLearner(learner));
    cluster.settle();
    let leader = cluster.leader().expect("a leader");
    let index = cluster.status(leader).expect("status").members_index;
    for n in 0..24 {
        let leader = cluster.wait_leader();
        let change = cluster.next_change(leader, &format!("late-{n}"));
        if n == 2 {
            cluster.crash(3);
        }
        cluster.commit(&change);
    }
    cluster.start(3);
    cluster.settle();
    assert!(cluster.nodes[3].restores > 0, "no snapshot was installed");
    expect(&cluster, 4, index);
}

/// Guards against data folders and chunks of older releases, without the index
/// of the members, that cannot be read.
#[test]
fn a_snapshot_of_an_older_release_is_read() {
    let members = vec![replica(1, 1)];
    let data = bytes::Bytes::from_static(b"state");
    let old = (7_u64, 2_u64, &members, &data);
    let old = rmp_serde::to_vec(&old).expect("encoded");
    let read: StoredSnapshot = rmp_serde::from_slice(&old).expect("decoded");
    let expected =
        StoredSnapshot { index: 7, term: 2, members, data, members_index: 0 };
    assert_eq!(read, expected);
}
