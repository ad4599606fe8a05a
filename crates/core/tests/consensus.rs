//! Tests that the replicated log loses no committed entry, that replicas never
//! diverge, and that the group makes progress again after faults.

mod cluster;

use cluster::*;
use primrosemast_core::consensus::*;
use proptest::prelude::*;
use std::time::Duration;

/// Guards against a group that cannot be bootstrapped or grown.
#[test]
fn a_group_grows_to_five() {
    let mut cluster = Cluster::voters(5, 1);
    let leader = cluster.wait_leader();
    let change = cluster.next_change(leader, "a");
    cluster.commit(&change);
    cluster.settle();
    let status = cluster.status(leader).expect("status");
    assert_eq!(status.members.iter().filter(|m| m.voter).count(), 5);
    assert!(cluster.nodes.iter().all(|n| n.state.version().0 == 1));
    assert_eq!(status.role, Role::Leader);
}

/// A step of a random schedule.
#[derive(Clone, Debug)]
enum Action {
    Run(u64),
    Crash(usize),
    Restart(usize),
    LoseDisk(usize),
    Freeze(usize, u64),
    Split(u8),
    Heal,
    Faults(u32, u32, u64),
    Propose(usize, u8),
    Resend(usize, u8),
    Promote(usize),
    Add(usize),
    Remove(usize, usize),
}

fn any_action(count: usize) -> impl Strategy<Value = Action> {
    let node = 0..count;
    prop_oneof![
        8 => (1..1_500u64).prop_map(Action::Run),
        2 => node.clone().prop_map(Action::Crash),
        3 => node.clone().prop_map(Action::Restart),
        1 => node.clone().prop_map(Action::LoseDisk),
        1 => (node.clone(), 100..4_000u64)
            .prop_map(|(i, ms)| Action::Freeze(i, ms)),
        1 => any::<u8>().prop_map(Action::Split),
        1 => Just(Action::Heal),
        1 => (0..30u32, 0..20u32, 1_000..200_000u64)
            .prop_map(|(a, b, c)| Action::Faults(a, b, c)),
        8 => (node.clone(), any::<u8>())
            .prop_map(|(i, id)| Action::Propose(i, id)),
        2 => (node.clone(), any::<u8>())
            .prop_map(|(i, id)| Action::Resend(i, id)),
        1 => node.clone().prop_map(Action::Promote),
        1 => node.clone().prop_map(Action::Add),
        1 => (node.clone(), node).prop_map(|(i, j)| Action::Remove(i, j)),
    ]
}

/// Runs a schedule. A disk is lost only if a majority of voters that hold
/// everything committed remains, because the log guarantees no more than that.
fn run_schedule(cluster: &mut Cluster, actions: &[Action]) {
    let count = cluster.nodes.len();
    for action in actions {
        match *action {
            Action::Run(ms) => cluster.run(ms),
            Action::Crash(i) => cluster.crash(i),
            Action::Restart(i) => {
                if cluster.nodes[i].consensus.is_none() {
                    cluster.start(i);
                }
            }
            Action::LoseDisk(i) => lose_disk(cluster, i),
            Action::Freeze(i, ms) => {
                cluster.nodes[i].frozen_until =
                    cluster.now + Duration::from_millis(ms);
            }
            Action::Split(mask) => {
                for i in 0..count {
                    cluster.partition[i] = (mask >> i) & 1;
                }
            }
            Action::Heal => cluster.partition.fill(0),
            Action::Faults(drop, duplicate, delay) => {
                cluster.faults.drop_percent = drop;
                cluster.faults.duplicate_percent = duplicate;
                cluster.faults.delay_us = (200, delay);
                cluster.faults.sync_us = (200, delay);
            }
            Action::Propose(i, id) => {
                let id = format!("{i}-{id}-{}", cluster.committed.len());
                let change = cluster.next_change(i, &id);
                cluster.propose(i, &change);
            }
            Action::Resend(i, at) => {
                let ids: Vec<_> =
                    cluster.first_outcomes.keys().cloned().collect();
                if !ids.is_empty() {
                    let id = &ids[usize::from(at) % ids.len()];
                    let change = cluster.next_change(i, id);
                    cluster.propose(i, &change);
                }
            }
            Action::Promote(i) => {
                let id = cluster.nodes[i].replica.id;
                propose_member_change(cluster, MemberChange::Promote(id));
            }
            Action::Add(i) => {
                let replica = cluster.nodes[i].replica.clone();
                propose_member_change(
                    cluster,
                    MemberChange::AddLearner(replica),
                );
            }
            Action::Remove(i, j) => {
                // May also remove a replica whose disk was lost.
                let id = cluster
                    .status(i)
                    .and_then(|s| s.members.get(j).map(|m| m.id));
                if let Some(id) = id {
                    propose_member_change(cluster, MemberChange::Remove(id));
                }
            }
        }
    }
}

fn propose_member_change(cluster: &mut Cluster, change: MemberChange) {
    if let Some(leader) = cluster.leader() {
        let token = cluster.token();
        let event = ConsensusEvent::ChangeMembers(token, change);
        cluster.step(leader, event);
    }
}

/// Loses a disk and replaces the replica in the order that the repair uses:
/// add the learner, remove the old replica, promote the learner.
fn lose_disk(cluster: &mut Cluster, i: usize) {
    let old = cluster.nodes[i].replica.id;
    cluster.settle();
    let leader = cluster.wait_leader();
    let status = cluster.status(leader).expect("status");
    let voters = status.members.iter().filter(|m| m.voter).count();
    if voters < 3 || status.members.iter().all(|m| m.id != old) {
        return;
    }
    cluster.lose_disk(i);
    cluster.start(i);
    let replica = cluster.nodes[i].replica.clone();
    let id = replica.id;
    cluster.change_members(MemberChange::AddLearner(replica));
    cluster.change_members(MemberChange::Remove(old));
    cluster.change_members(MemberChange::Promote(id));
}

fn small_limits() -> ConsensusOptions {
    ConsensusOptions {
        snapshot_threshold: 10,
        trailing_entries: 3,
        snapshot_chunk_bytes: 64,
        max_append_bytes: 200,
        ..ConsensusOptions::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against diverged, lost or reordered entries under crashes,
    /// restarts, lost disks, network faults, freezes, partitions and
    /// membership changes, and against groups that make no progress after.
    #[test]
    fn histories_agree(
        seed in any::<u64>(),
        (count, actions) in (3..=5usize).prop_flat_map(|n| {
            (Just(n), prop::collection::vec(any_action(n), 20..80))
        }),
    ) {
        let mut cluster = Cluster::with_options(count, seed, small_limits());
        cluster.add_all_voters();
        run_schedule(&mut cluster, &actions);
        cluster.settle();
        let leader = cluster.wait_leader();
        let change = cluster.next_change(leader, "last");
        cluster.commit(&change);
        cluster.settle();
    }
}

/// Guards against a vote that is lost in a crash, which would let two replicas
/// lead in one term. Elections run with slow disks while replicas crash at
/// arbitrary times.
#[test]
fn a_vote_survives_a_crash() {
    for seed in 0..60 {
        // Nearly equal timeouts make two candidates in one term likely.
        let options = ConsensusOptions {
            election_timeout_max: Duration::from_millis(505),
            ..ConsensusOptions::default()
        };
        let mut cluster = Cluster::with_options(3, seed, options);
        cluster.add_all_voters();
        cluster.faults.delay_us = (200, 40_000);
        cluster.faults.sync_us = (1_000, 60_000);
        for round in 0..60u64 {
            if let Some(leader) = cluster.leader() {
                cluster.crash(leader);
                cluster.start(leader);
            }
            let i = (seed + round) as usize % 3;
            cluster.run(480 + (seed * 31 + round * 17) % 120);
            cluster.crash(i);
            cluster.start(i);
            cluster.run(10 + round % 40);
        }
        cluster.settle();
    }
}

/// Guards against a replica that deposes a live leader when it returns from
/// the other side of a partition or from a freeze.
#[test]
fn a_returning_replica_does_not_depose_the_leader() {
    for seed in 0..20 {
        let mut cluster = Cluster::voters(3, seed);
        let leader = cluster.wait_leader();
        let term = cluster.status(leader).expect("status").term;
        let isolated = (leader + 1) % 3;
        cluster.partition[isolated] = 1;
        cluster.run(20_000);
        cluster.partition[isolated] = 0;
        cluster.run(3_000);
        cluster.nodes[isolated].frozen_until =
            cluster.now + Duration::from_secs(5);
        cluster.run(8_000);
        let status = cluster.status(leader).expect("status");
        assert_eq!((status.role, status.term), (Role::Leader, term));
    }
}

/// Guards against a group that has no leader for longer than 1.5 s after its
/// leader crashed.
#[test]
fn a_lost_leader_is_replaced_in_time() {
    for seed in 0..200 {
        let count = 3 + (seed as usize % 2) * 2;
        let mut cluster = Cluster::voters(count, seed);
        let leader = cluster.wait_leader();
        cluster.run(seed % 100);
        cluster.crash(leader);
        let start = cluster.now;
        cluster.wait("a new leader", |c| c.leader().is_some());
        let span = cluster.now.since(start);
        assert!(span <= Duration::from_millis(1_500), "seed {seed}: {span:?}");
    }
}

/// Guards against a leader that is lost again and again on a busy computer,
// because it steps down although all followers answer, only late.
#[test]
fn a_leader_stays_while_followers_answer_late() {
    for seed in 0..20 {
        let mut cluster = Cluster::voters(3, seed);
        let leader = cluster.wait_leader();
        let term = cluster.status(leader).expect("a status").term;
        cluster.faults.delay_us = (270_000, 330_000);
        cluster.run(10_000);
        let status = cluster.status(leader).expect("a status");
        assert_eq!(status.term, term, "seed {seed}");
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
    }
}

// Guards against elections that nobody wins while messages are late.
#[test]
fn a_leader_is_elected_while_messages_are_late() {
    for seed in 0..20 {
        let mut cluster = Cluster::voters(3, seed);
        let leader = cluster.wait_leader();
        cluster.faults.delay_us = (270_000, 330_000);
        cluster.crash(leader);
        let leader = cluster.wait_leader();
        let change = cluster.next_change(leader, "late");
        cluster.commit(&change);
    }
}

// Guards against a leader that keeps its role on the minority side of a
/// partition, and against a second or missing outcome of its proposals.
#[test]
fn a_leader_without_a_majority_steps_down() {
    let mut cluster = Cluster::voters(5, 4);
    let old = cluster.wait_leader();
    cluster.partition[old] = 1;
    let change = cluster.next_change(old, "lost");
    let token = cluster.propose(old, &change);
    cluster.run(1_200);
    let status = cluster.status(old).expect("status");
    assert_ne!(status.role, Role::Leader);
    assert_eq!(cluster.outcomes[&token], Err(ProposeError::Unknown));
    let leader = cluster.wait_leader();
    let other = cluster.next_change(leader, "kept");
    cluster.commit(&other);
    cluster.settle();
    assert!(!cluster.first_outcomes.contains_key("lost"));
    assert!(cluster.nodes.iter().all(|n| n.state.version().0 == 1));
}

/// Guards against a removed replica that disrupts the group, and against
/// messages from another group.
#[test]
fn a_removed_replica_and_another_group_are_ignored() {
    let mut cluster = Cluster::voters(4, 5);
    let leader = cluster.wait_leader();
    let term = cluster.status(leader).expect("status").term;
    let removed = (leader + 1) % 4;
    let id = cluster.nodes[removed].replica.id;
    cluster.change_members(MemberChange::Remove(id));
    for _ in 0..5 {
        cluster.crash(removed);
        cluster.start(removed);
        cluster.run(3_000);
    }
    let to = cluster.nodes[leader].replica.id;
    let envelope = Envelope {
        group: 12,
        from: id,
        to,
        answer_to: None,
        message: Message::VoteReply { term: term + 9, granted: true },
    };
    cluster.step(leader, ConsensusEvent::Message(envelope));
    let status = cluster.status(leader).expect("status");
    assert_eq!((status.role, status.term), (Role::Leader, term));
    assert!(cluster.logs.iter().any(|l| l.starts_with("FOREIGN_GROUP")));
}

/// Guards against a leader that counts its own entry towards the majority
/// before it is synced: while one of two disks is slow, nothing may commit.
#[test]
fn an_unsynced_entry_does_not_count() {
    let mut cluster = Cluster::voters(2, 6);
    cluster.run(500);
    let leader = cluster.wait_leader();
    cluster.nodes[leader].slow_disk_us = 200_000;
    let change = cluster.next_change(leader, "a");
    let token = cluster.propose(leader, &change);
    cluster.run(150);
    assert!(!cluster.outcomes.contains_key(&token));
    cluster.wait("a commit", |c| c.outcomes.contains_key(&token));
}

/// Guards against a learner that is promoted before it has the log.
#[test]
fn a_learner_is_promoted_only_when_caught_up() {
    let mut cluster = Cluster::new(4, 9);
    cluster.add_voters(3);
    cluster.crash(3);
    for i in 0..500 {
        let leader = cluster.wait_leader();
        let id = format!("change-{i}");
        let change = cluster.next_change(leader, &id);
        cluster.commit(&change);
    }
    // Three of four voters would be active, so only the check that the
    // learner has caught up can refuse the promotion.
    let learner = cluster.nodes[3].replica.clone();
    cluster.change_members(MemberChange::AddLearner(learner.clone()));
    cluster.run(1_000);
    let token = cluster.token();
    let event = ConsensusEvent::ChangeMembers(
        token,
        MemberChange::Promote(learner.id),
    );
    let leader = cluster.wait_leader();
    cluster.step(leader, event);
    assert!(matches!(
        cluster.outcomes[&token],
        Err(ProposeError::Rejected(_))
    ));
    cluster.start(3);
    cluster.change_members(MemberChange::Promote(learner.id));
    assert_eq!(cluster.nodes[3].state.version().0, 500);
}

/// Guards against a group of two that stays without a leader after its leader
/// crashed while it removed itself. The crashed replica then has the longest
/// log, in which it is not a voter.
#[test]
fn a_leader_may_crash_while_it_removes_itself() {
    for millis in 0..10 {
        let mut cluster = Cluster::voters(2, 11);
        let leader = cluster.wait_leader();
        cluster.partition[1 - leader] = 1;
        let id = cluster.nodes[leader].replica.id;
        let token = cluster.token();
        let change = MemberChange::Remove(id);
        let event = ConsensusEvent::ChangeMembers(token, change);
        cluster.step(leader, event);
        cluster.run(millis);
        cluster.crash(leader);
        cluster.settle();
        let leader = cluster.wait_leader();
        let change = cluster.next_change(leader, "a");
        cluster.commit(&change);
    }
}

/// Time within which a change must be accepted once the disks have room.
const ACCEPT_LIMIT: Duration = Duration::from_secs(5);

/// Guards against a group that accepts no changes, or a replica that falls
/// behind for good, after the disks of its members were full one after another
/// while changes arrived; some replicas are killed while their disk is full.
#[test]
fn disks_that_are_full_one_after_another_stop_nothing_for_good() {
    for seed in 0..120u64 {
        let count = 3 + (seed as usize % 2) * 2;
        let options = match seed % 3 {
            0 => small_limits(),
            _ => ConsensusOptions::default(),
        };
        // One more replica stays a learner.
        let mut cluster = Cluster::with_options(count + 1, seed, options);
        cluster.add_voters(count);
        let learner = cluster.nodes[count].replica.clone();
        cluster.change_members(MemberChange::AddLearner(learner));
        let mut changes = 0;
        for round in 0..8 {
            let leader = cluster.wait_leader();
            let i = match (seed + round) % 3 {
                0 => leader,
                1 => (leader + 1 + round as usize % count) % (count + 1),
                _ => round as usize % (count + 1),
            };
            let span = Duration::from_millis(1_500 + (seed * 37) % 2_000);
            let room = cluster.now + span;
            cluster.nodes[i].full_until = room;
            let killed = (seed + round) % 4 == 0;
            while cluster.now < room {
                if let Some(leader) = cluster.leader() {
                    changes += 1;
                    let id = format!("change-{changes}");
                    let change = cluster.next_change(leader, &id);
                    cluster.propose(leader, &change);
                }
                cluster.run(300 + (seed * 13 + changes * 71) % 500);
                if killed && cluster.nodes[i].full_until > cluster.now {
                    cluster.crash(i);
                    cluster.run(40);
                    cluster.start(i);
                }
            }
        }
        let start = cluster.now;
        let leader = cluster.wait_leader();
        let change = cluster.next_change(leader, "last");
        cluster.commit(&change);
        let span = cluster.now.since(start);
        assert!(span <= ACCEPT_LIMIT, "seed {seed}: accepted after {span:?}");
        cluster.wait("every replica acknowledges the last entry", |c| {
            let status = c.leader().and_then(|l| c.status(l));
            status.is_some_and(|s| {
                s.progress.iter().all(|&p| p == s.last_index)
                    && s.members.iter().filter(|m| m.voter).count() == count
            })
        });
        let span = cluster.now.since(start);
        assert!(span <= ACCEPT_LIMIT, "seed {seed}: settled after {span:?}");
    }
}
