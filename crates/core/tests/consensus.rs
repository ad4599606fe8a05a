//! Guards the replicated log against lost, forked or stuck histories.

mod cluster;

use cluster::*;
use primrosemast_core::consensus::*;
use proptest::prelude::*;

/// Guards against a group that cannot be founded or grown.
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

fn action(count: usize) -> impl Strategy<Value = Action> {
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

/// Runs a schedule. A disk is lost only where the others that are known to
/// hold everything committed remain a majority, as the promise of the log
/// covers no more than that.
fn run(cluster: &mut Cluster, actions: &[Action]) {
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
                cluster.nodes[i].frozen =
                    cluster.now + std::time::Duration::from_millis(ms);
            }
            Action::Split(mask) => {
                for i in 0..count {
                    cluster.side[i] = (mask >> i) & 1;
                }
            }
            Action::Heal => cluster.side.fill(0),
            Action::Faults(drop, twice, delay) => {
                cluster.faults.drop_percent = drop;
                cluster.faults.duplicate_percent = twice;
                cluster.faults.delay_us = (200, delay);
                cluster.faults.sync_us = (200, delay);
            }
            Action::Propose(i, id) => {
                let id = format!("{i}-{id}-{}", cluster.committed.len());
                let change = cluster.next_change(i, &id);
                cluster.propose(i, &change);
            }
            Action::Resend(i, at) => {
                let ids: Vec<_> = cluster.first.keys().cloned().collect();
                if !ids.is_empty() {
                    let id = &ids[usize::from(at) % ids.len()];
                    let change = cluster.next_change(i, id);
                    cluster.propose(i, &change);
                }
            }
            Action::Promote(i) => {
                let id = cluster.nodes[i].replica.id;
                members(cluster, MemberChange::Promote(id));
            }
            Action::Add(i) => {
                let replica = cluster.nodes[i].replica.clone();
                members(cluster, MemberChange::AddLearner(replica));
            }
            Action::Remove(i, j) => {
                // Of a random replica, or one whose disk was lost.
                let id = cluster
                    .status(i)
                    .and_then(|s| s.members.get(j).map(|m| m.id));
                if let Some(id) = id {
                    members(cluster, MemberChange::Remove(id));
                }
            }
        }
    }
}

fn members(cluster: &mut Cluster, change: MemberChange) {
    if let Some(leader) = cluster.leader() {
        let token = cluster.token();
        let event = ConsensusEvent::ChangeMembers(token, change);
        cluster.step(leader, event);
    }
}

/// Loses a disk and has it replaced the way the repair does: learner first,
/// the old replica out, then the vote.
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
    cluster.change(MemberChange::AddLearner(replica));
    cluster.change(MemberChange::Remove(old));
    cluster.change(MemberChange::Promote(id));
}

fn small() -> ConsensusOptions {
    ConsensusOptions {
        snapshot_entries: 10,
        keep_entries: 3,
        snapshot_part: 64,
        append_bytes: 200,
        ..ConsensusOptions::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against forked, lost and reordered histories under crashes,
    /// restarts, lost disks, faulty networks, freezes, partitions and
    /// changes of the members, and against groups that stay stuck after.
    #[test]
    fn histories_agree(
        seed in any::<u64>(),
        (count, actions) in (3..=5usize).prop_flat_map(|n| {
            (Just(n), prop::collection::vec(action(n), 20..80))
        }),
    ) {
        let mut cluster = Cluster::with(count, seed, small());
        cluster.enlist();
        run(&mut cluster, &actions);
        cluster.settle();
        let leader = cluster.wait_leader();
        let change = cluster.next_change(leader, "last");
        cluster.commit(&change);
        cluster.settle();
    }
}
