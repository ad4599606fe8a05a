//! Tests of reads that need no entry in the log: they come while changes wait
//! to be committed, and never return an older value.

mod cluster;

use std::time::Duration;

use bytes::Bytes;
use cluster::*;
use primrosemast_core::{
    consensus::*, control::service::*, control::*, id::*,
};
use proptest::prelude::*;

/// A change that counts as large.
fn large_change(id: &str) -> Command {
    Command::Change(Change {
        change_id: id.into(),
        expected_version: ConfigVersion(0),
        document: Bytes::from(vec![7; 200 * 1024]),
    })
}

/// Fills the disks of all followers, or of all replicas, and proposes large
/// changes until the leader refuses one.
fn stall(cluster: &mut Cluster, leader: usize, all: bool) {
    let full_until = cluster.now + Duration::from_secs(3_600);
    for i in (0..cluster.nodes.len()).filter(|&i| all || i != leader) {
        cluster.nodes[i].full_until = full_until;
    }
    for n in 0..200 {
        let change = large_change(&format!("large-{n}"));
        let token = cluster.propose(leader, &change);
        if cluster.outcomes.contains_key(&token) {
            return;
        }
    }
    panic!("the leader refuses nothing");
}

/// Asks the service of a replica. Returns the reply, if it comes within a
/// second.
fn ask(
    cluster: &mut Cluster,
    i: usize,
    request: ControlRequest,
) -> Option<ControlReply> {
    let first = cluster.token();
    let mut service = Service::new(first.0 << 20);
    let origin = Origin::Local(Token(1));
    let event = ServiceEvent::Request { origin, request, wall_ms: 0 };
    let mut effects = Vec::new();
    service.step(event, &mut effects);
    for _ in 0..100 {
        for effect in std::mem::take(&mut effects) {
            match effect {
                ServiceEffect::Propose(token, command) => {
                    let event = ConsensusEvent::Propose(token, command);
                    cluster.step(i, event);
                }
                ServiceEffect::Read(token) => {
                    cluster.step(i, ConsensusEvent::Read(token));
                }
                ServiceEffect::Answer(_, read) => {
                    return Some(cluster.nodes[i].state.read(&read));
                }
                ServiceEffect::Respond(_, reply) => return Some(reply),
                _ => {}
            }
        }
        let ended = cluster.outcomes.iter().find(|(t, _)| service.owns(**t));
        if let Some((&token, result)) = ended {
            let event = ServiceEvent::Outcome(token, result.clone());
            service.step(event, &mut effects);
        } else {
            cluster.run(10);
        }
    }
    None
}

// Guards against a configuration that nobody can read, because changes wait
// to be committed on full disks.
#[test]
fn a_read_comes_while_large_changes_wait() {
    for seed in 0..20 {
        let mut cluster = Cluster::voters(3, seed);
        let leader = cluster.wait_leader();
        let change = cluster.next_change(leader, "first");
        cluster.commit(&change);
        stall(&mut cluster, leader, seed % 2 == 1);
        cluster.run(10_000);
        let reply = ask(&mut cluster, leader, ControlRequest::Barrier);
        let version = ControlReply::Version(ConfigVersion(1));
        assert_eq!(reply, Some(version), "seed {seed}");
        let read = ControlRequest::ReadZone("b".into());
        let reply = ask(&mut cluster, leader, read);
        assert_eq!(reply, Some(ControlReply::ZoneOrders(0)), "seed {seed}");
    }
}

// Guards against reads that start a round each: many that come together share
// one, and those that come one after another at most 200 rounds a second.
#[test]
fn reads_share_rounds() {
    let mut cluster = Cluster::voters(3, 1);
    let leader = cluster.wait_leader();
    cluster.settle();
    let before = cluster.messages;
    let tokens: Vec<Token> =
        (0..1_000).map(|_| cluster.read(leader)).collect();
    cluster.run(50);
    assert!(tokens.iter().all(|t| cluster.outcomes[t].is_ok()));
    // At most three rounds of two heartbeats and two replies.
    let messages = cluster.messages - before;
    assert!(messages <= 12, "{messages} messages");

    let before = cluster.messages;
    for _ in 0..1_000 {
        cluster.read(leader);
        cluster.run(1);
    }
    cluster.run(50);
    let messages = cluster.messages - before;
    assert!(messages <= 4 * 211, "{messages} messages");
}

// Guards against a leader on the minority side of a partition, or one that
// was frozen while another was elected, that answers with an older value.
#[test]
fn a_former_leader_answers_no_read() {
    for seed in 0..40 {
        let mut cluster = Cluster::voters(3, seed);
        let old = cluster.wait_leader();
        if seed % 2 == 0 {
            cluster.partition[old] = 1;
        } else {
            cluster.nodes[old].frozen_until =
                cluster.now + Duration::from_secs(4);
        }
        cluster.wait("another leader", |c| {
            c.leader().is_some_and(|leader| leader != old)
        });
        let change = cluster.next_change(cluster.leader().unwrap(), "new");
        cluster.commit(&change);
        cluster.partition.fill(0);
        cluster.run(seed * 7);
        let token = cluster.read(old);
        cluster.run(8_000);
        // It may have heard of the new leader, or have returned and won.
        assert!(
            !matches!(cluster.outcomes.get(&token), Some(Ok(_)))
                || cluster.nodes[old].state.version().0 == 1,
            "seed {seed}"
        );
        assert!(cluster.outcomes.contains_key(&token), "seed {seed}");
    }
}

// Guards against a read that is confirmed by answers to a round which began
// before it arrived: they may have been sent before another leader was elected.
#[test]
fn late_answers_to_an_earlier_round_confirm_no_read() {
    // Elections come before the next heartbeat, so that the earlier round is
    // the newest one.
    let options = ConsensusOptions {
        heartbeat_interval: Duration::from_millis(1_500),
        ..ConsensusOptions::default()
    };
    let mut tried = 0;
    for seed in 0..60 {
        let mut cluster = Cluster::with_options(3, seed, options.clone());
        cluster.add_all_voters();
        let change = cluster.next_change(0, "first");
        cluster.commit(&change);
        let old = cluster.wait_leader();
        cluster.run(10);
        // A first read starts a round. Only the answers to it are late.
        cluster.read(old);
        cluster.faults.delay_us = (850_000, 860_000);
        cluster.run(3);
        cluster.faults = Faults::default();
        cluster.partition[old] = 1;
        let leads = |c: &Cluster, i: usize| {
            c.status(i).is_some_and(|s| s.role == Role::Leader)
        };
        cluster.wait("another leader", |c| {
            (0..3).any(|i| i != old && leads(c, i))
        });
        let change = cluster.next_change((old + 1) % 3, "second");
        cluster.commit(&change);
        if leads(&cluster, old) {
            tried += 1;
            cluster.read(old);
            cluster.run(1_000);
        }
    }
    assert!(tried >= 10, "{tried} seeds");
}

/// A step of a random schedule.
#[derive(Clone, Debug)]
enum Action {
    Run(u64),
    Crash(usize),
    Restart(usize),
    Freeze(usize, u64),
    FullDisk(usize, u64),
    Split(u8),
    Heal,
    Faults(u32, u32, u64),
    Propose(usize),
    Read(usize),
}

fn any_action(count: usize) -> impl Strategy<Value = Action> {
    let node = 0..count;
    prop_oneof![
        8 => (1..400u64).prop_map(Action::Run),
        1 => node.clone().prop_map(Action::Crash),
        2 => node.clone().prop_map(Action::Restart),
        2 => (node.clone(), 100..4_000u64)
            .prop_map(|(i, ms)| Action::Freeze(i, ms)),
        1 => (node.clone(), 100..4_000u64)
            .prop_map(|(i, ms)| Action::FullDisk(i, ms)),
        3 => any::<u8>().prop_map(Action::Split),
        2 => Just(Action::Heal),
        1 => (0..30u32, 0..20u32, 1_000..200_000u64)
            .prop_map(|(a, b, c)| Action::Faults(a, b, c)),
        8 => node.clone().prop_map(Action::Propose),
        10 => node.prop_map(Action::Read),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a read that shows less than callers have seen before it
    /// was issued, from an acknowledged change or another read, under crashes,
    /// partitions, freezes, full disks and lost, duplicated and late messages;
    /// and against reads without an outcome.
    #[test]
    fn reads_are_linearizable(
        seed in any::<u64>(),
        (count, actions) in (1..=5usize).prop_flat_map(|n| {
            (Just(n), prop::collection::vec(any_action(n), 40..120))
        }),
    ) {
        let mut cluster = Cluster::voters(count, seed);
        cluster.wait_leader();
        let mut issued = Vec::new();
        for action in actions {
            match action {
                Action::Run(ms) => cluster.run(ms),
                Action::Crash(i) => cluster.crash(i),
                Action::Restart(i) => {
                    if cluster.nodes[i].consensus.is_none() {
                        cluster.start(i);
                    }
                }
                Action::Freeze(i, ms) => {
                    cluster.nodes[i].frozen_until =
                        cluster.now + Duration::from_millis(ms);
                }
                Action::FullDisk(i, ms) => {
                    cluster.nodes[i].full_until =
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
                Action::Propose(i) => {
                    let id = format!("{i}-{}", cluster.now.as_micros());
                    let change = cluster.next_change(i, &id);
                    cluster.propose(i, &change);
                }
                Action::Read(i) => {
                    let running = cluster.nodes[i].consensus.is_some()
                        && cluster.nodes[i].frozen_until <= cluster.now;
                    if running {
                        let token = cluster.read(i);
                        issued.push((i, cluster.nodes[i].generation, token));
                    }
                }
            }
        }
        let generations: Vec<u64> =
            cluster.nodes.iter().map(|n| n.generation).collect();
        let crashed: Vec<bool> =
            cluster.nodes.iter().map(|n| n.consensus.is_none()).collect();
        cluster.settle();
        cluster.run(10_000);
        for (i, generation, token) in issued {
            prop_assert!(
                crashed[i]
                    || generation != generations[i]
                    || cluster.outcomes.contains_key(&token),
                "no outcome of a read at {i}"
            );
        }
        let leader = cluster.wait_leader();
        let token = cluster.read(leader);
        cluster.run(50);
        prop_assert!(matches!(cluster.outcomes.get(&token), Some(Ok(_))));
    }
}
