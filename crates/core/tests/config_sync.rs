//! Tests of configuration sync and the lease in a simulated fleet.

#[allow(dead_code)]
mod support;

use std::time::Duration;

use primrosemast_core::{
    config_sync::{
        ConfigSync, LEASE, Message, OUTDATED_BOUND, RosterStatus, SyncEffect,
        SyncEvent, SyncOptions,
    },
    id::{ConfigVersion, InstanceId},
    membership::{Member, MembershipOptions},
    message::PeerMessage,
    time::Time,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use support::{GROUP, Net, Replica, member, record, roster_of};

/// Tolerance for the simulation, which checks the nodes every 5 ms.
const POLL_MARGIN: Duration = Duration::from_millis(10);

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Proptest options; the fixed seed gives the same result in every run.
fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(9), ..Config::default() }
}

fn all_serve(net: &Net, version: u64) -> bool {
    let live = net.live();
    live.iter().all(|&x| net.serving(x) && net.version(x) == version)
}

/// Returns a fleet of ten instances, three of them with control replicas, that
/// serve version 1.
fn serving_fleet(seed: u64) -> Net {
    let mut net = Net::new(seed, 10, 3, true);
    net.run(secs(1));
    assert!(net.nodes.iter().all(|x| !x.sync.serving()));
    net.commit(1, 2_000, &[0, 1, 2]);
    assert!(net.run_until(secs(2), |x| all_serve(x, 1)));
    net.run(secs(5));
    net
}

proptest! {
    #![proptest_config(config(60))]

    /// Guards against an accepted change that is not in force in time.
    #[test]
    fn a_change_is_in_force_within_two_seconds(
        seed: u64, loss in 0.0..0.1, quorum in 0..3usize,
    ) {
        let mut net = serving_fleet(seed);
        net.loss = loss;
        let at: Vec<usize> = (0..3).filter(|x| *x != quorum).collect();
        net.commit(2, 2_000, &at);
        let in_force =
            |net: &Net| (0..10).all(|x| net.version(x) == 2);
        prop_assert!(net.run_until(secs(2), in_force));
    }

    /// Guards against a configuration that is replaced by an older one when
    /// messages are late or instances come and go.
    #[test]
    fn versions_never_revert(
        seed: u64, steps in prop::collection::vec((0..5u8, 0..10usize), 30),
    ) {
        let mut net = serving_fleet(seed);
        net.loss = 0.05;
        net.duplication = 0.2;
        net.delay_us = (500, 300_000);
        let mut version = 1;
        for (action, node) in steps {
            match action {
                0 => {
                    version += 1;
                    net.commit(version, 100, &[0, 1]);
                }
                1 if node > 2 => net.restart(node),
                2 => net
                    .partition(&[node], &[(node + 3) % 10, (node + 5) % 10]),
                3 => net.heal(),
                _ => net.inject(node, 0, Message::Push(record(1, 9).into())),
            }
            net.run(Duration::from_millis(200));
            for node in &net.nodes {
                prop_assert!(node.installed.is_sorted_by(|a, b| a < b));
            }
        }
    }

    /// Guards against use of an outdated configuration, for example of a
    /// zone that was taken out, in each partition that has a control
    /// quorum or no majority of the fleet.
    #[test]
    fn outdated_configurations_end_with_the_lease(
        seed: u64, isolated in prop::collection::btree_set(2..10usize, 1..5),
        one_way: bool, loss in 0.0..0.1,
    ) {
        let mut net = serving_fleet(seed);
        net.loss = loss;
        let isolated: Vec<usize> = isolated.into_iter().collect();
        let others: Vec<usize> =
            (0..10).filter(|x| !isolated.contains(x)).collect();
        if one_way {
            net.partition_one_way(&others, &isolated);
        } else {
            net.partition(&isolated, &others);
        }
        net.run(Duration::from_millis(seed % 700));
        net.commit(2, 2_000, &[0, 1]);
        net.run(OUTDATED_BOUND + POLL_MARGIN);
        let outdated = |net: &Net| {
            (0..10).any(|x| net.serving(x) && net.version(x) < 2)
        };
        prop_assert!(!net.run_until(secs(150), outdated));
    }
}

proptest! {
    #![proptest_config(config(60))]

    /// Guards against a confirmation that counts from after a version was
    /// accepted that the instance does not have. Requests with a key rely on
    /// it in every partition, also where the fleet renews the lease.
    #[test]
    fn a_confirmation_precedes_the_versions_that_are_missed(
        seed: u64, quorum_side in prop::collection::btree_set(2..10usize, 0..8),
        one_way: bool, loss in 0.0..0.2, frozen in 2..10usize,
    ) {
        let mut net = serving_fleet(seed);
        net.loss = loss;
        net.delay_us = (500, 300_000);
        let with_quorum: Vec<usize> = [0, 1].into_iter()
            .chain(quorum_side.iter().copied())
            .collect();
        let others: Vec<usize> =
            (0..10).filter(|x| !with_quorum.contains(x)).collect();
        if one_way {
            net.partition_one_way(&with_quorum, &others);
        } else {
            net.partition(&with_quorum, &others);
        }
        net.run(Duration::from_millis(seed % 700));
        net.freeze(frozen);
        net.run(Duration::from_millis(seed % 1_300));
        let accepted = net.now;
        net.commit(2, 2_000, &[0, 1]);
        let is_wrong = |net: &Net| net.nodes.iter().any(|node| {
            node.sync.version() < ConfigVersion(2)
                && node.sync.confirmed_at() > Some(accepted)
        });
        prop_assert!(!net.run_until(secs(10), is_wrong));
        net.resume(frozen);
        prop_assert!(!net.run_until(secs(10), is_wrong));
        net.heal();
        prop_assert!(!net.run_until(secs(10), is_wrong));
    }
}

/// Guards against a majority of the fleet that counts as a confirmation by a
/// control quorum: it renews the lease, but it may have missed a version.
#[test]
fn the_fallback_is_no_confirmation() {
    let mut net = serving_fleet(6);
    (0..3).for_each(|x| net.crash(x));
    let silent = net.now;
    net.run(secs(20));
    for node in &net.nodes[3..] {
        assert!(node.sync.serving());
        assert!(node.sync.confirmed_at() < Some(silent));
    }
}

/// Guards against instances that miss changes or stop serving when they reach
/// other instances but no control replica.
#[test]
fn changes_travel_around_a_cut_to_all_control_replicas() {
    let mut net = serving_fleet(1);
    net.partition(&[8, 9], &[0, 1, 2]);
    net.run(secs(10));
    net.commit(2, 2_000, &[0, 1, 2]);
    assert!(net.run_until(secs(2), |x| all_serve(x, 2)));
    assert!(!net.run_until(secs(60), |x| !all_serve(x, 2)));
}

/// Guards against an instance that keeps serving an outdated configuration
/// while it is partitioned from all others.
#[test]
fn an_isolated_instance_stops_within_the_lease() {
    let mut net = serving_fleet(2);
    let others: Vec<usize> = (0..9).collect();
    net.partition(&[9], &others);
    let stopped = |net: &Net| !net.serving(9);
    assert!(net.run_until(LEASE + POLL_MARGIN, stopped));
    assert!(!net.run_until(secs(300), |x| x.serving(9)));
    net.heal();
    assert!(net.run_until(secs(40), |x| all_serve(x, 1)));
}

/// Guards against a minority that considers itself the whole fleet once it has
/// dropped the other members.
#[test]
fn a_minority_does_not_shrink_the_fleet_to_itself() {
    let mut net = serving_fleet(3);
    net.partition(&[6, 7, 8, 9], &[0, 1, 2, 3, 4, 5]);
    net.run(LEASE + POLL_MARGIN);
    let minority = |net: &Net| (6..10).any(|x| net.serving(x));
    assert!(!net.run_until(secs(600), minority));
    assert!((0..6).all(|x| net.serving(x)));
}

/// Guards against an outage of queries when all control replicas are down, and
/// against a new instance that serves before a quorum has confirmed it.
#[test]
fn queries_go_on_without_control_replicas() {
    let mut net = serving_fleet(4);
    (0..3).for_each(|x| net.crash(x));
    assert!(!net.run_until(secs(180), |x| !all_serve(x, 1)));
    net.restart(9);
    net.run(secs(20));
    assert_eq!(net.version(9), 1);
    assert!(!net.serving(9));
    net.restart(0);
    net.restart(1);
    // Control replicas recover their log from disk.
    net.commit(1, 2_000, &[0, 1]);
    assert!(net.run_until(secs(20), |x| all_serve(x, 1)));
}

/// Guards against a resumed instance that serves on a lease from before it was
/// frozen.
#[test]
fn a_resumed_instance_serves_only_once_confirmed() {
    let mut net = serving_fleet(5);
    let others: Vec<usize> = (0..9).collect();
    net.freeze(9);
    net.run(secs(1));
    net.commit(2, 2_000, &[0, 1, 2]);
    net.run(secs(20));
    net.partition(&[9], &others);
    assert!(net.serving(9));
    let mut out = Vec::new();
    let event = SyncEvent::Members(Vec::new());
    net.nodes[9].sync.step(net.now, event, &mut out);
    assert!(out.contains(&SyncEffect::Serving(false)));
    net.resume(9);
    assert!(!net.run_until(secs(20), |x| x.serving(9)));
    net.heal();
    assert!(net.run_until(secs(40), |x| all_serve(x, 2)));
}

/// Returns a reducer that holds a configuration and has sent confirmation
/// requests to the members, with the sequence number of the requests.
fn sync_with_open_round(members: Vec<Member>) -> (ConfigSync, u64) {
    let mut sync = ConfigSync::new(InstanceId(10), SyncOptions::default(), 3);
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    sync.step(now, SyncEvent::Members(members), &mut out);
    let push = Message::Push(record(5, 9).into());
    sync.step(now, SyncEvent::Message(InstanceId(1), push), &mut out);
    out.clear();
    sync.step(now, SyncEvent::Tick, &mut out);
    let sequence = out.iter().find_map(|x| match x {
        SyncEffect::Send(_, Message::Compare { sequence, .. }) => {
            Some(*sequence)
        }
        _ => None,
    });
    (sync, sequence.expect("a confirmation is asked for"))
}

fn replica(group: u64) -> Option<Replica> {
    Some(Replica { group, voters: 3, logged: ConfigVersion(5) })
}

/// Guards against confirmation by less than a majority of the voters, by
/// replicas that have logged a newer version, by the same replica twice, by
/// replicas of a second group, and by replies to an earlier request.
#[test]
fn only_a_majority_of_one_group_confirms() {
    let answer = |sequence, logged, voters, control_group| Message::Compared {
        sequence,
        version: ConfigVersion(5),
        logged: Some(ConfigVersion(logged)),
        voters,
        control_group,
        confirmed: None,
        members_index: 1,
        roster: RosterStatus::default(),
    };
    // Sender, newest logged version, voters, group, and the difference of the
    // answer's sequence number from that of the open round.
    type AnswerCase = (u64, u64, u32, u64, u64);
    let cases: [(&[AnswerCase], bool); 7] = [
        (&[(1, 5, 3, GROUP, 0), (2, 5, 3, GROUP, 0)], true),
        (&[(1, 5, 3, GROUP, 0), (2, 6, 3, GROUP, 0)], false),
        (&[(1, 5, 3, GROUP, 0), (1, 5, 3, GROUP, 0)], false),
        (&[(1, 5, 3, GROUP, 0), (4, 0, 1, 99, 0)], false),
        (&[(4, 0, 1, 99, 0)], false),
        (&[(1, 5, 3, GROUP, 0), (2, 5, 3, GROUP, 1)], false),
        // A replica that knows fewer voters has an outdated list of members.
        (&[(2, 6, 3, GROUP, 0), (1, 5, 1, GROUP, 0)], false),
    ];
    for (answers, expected) in cases {
        let mut members: Vec<Member> =
            (0..3).map(|x| member(x, replica(GROUP))).collect();
        members.push(member(3, replica(99)));
        members.push(member(9, None));
        let (mut sync, sequence) = sync_with_open_round(members);
        for &(from, logged, voters, group, age) in answers {
            let message = answer(sequence - age, logged, voters, group);
            let event = SyncEvent::Message(InstanceId(from), message);
            sync.step(Time::from_millis(3), event, &mut Vec::new());
        }
        assert_eq!(sync.serving(), expected, "{answers:?}");
    }
}

/// Guards invariants H4 and H10: a replica that was removed while it was down
/// still considers itself a voter and must not help to confirm an old version.
#[test]
fn a_removed_replica_does_not_confirm() {
    let confirms = |indexes: [u64; 2], voters: [u32; 2]| {
        let members = (0..3).map(|x| member(x, replica(GROUP)));
        let (mut sync, sequence) =
            sync_with_open_round(members.chain([member(9, None)]).collect());
        for i in 0..2 {
            let message = Message::Compared {
                sequence,
                version: ConfigVersion(5),
                logged: Some(ConfigVersion(5)),
                voters: voters[i],
                control_group: GROUP,
                confirmed: None,
                members_index: indexes[i],
                roster: RosterStatus::default(),
            };
            let event = SyncEvent::Message(InstanceId(1 + i as u64), message);
            sync.step(Time::from_millis(3), event, &mut Vec::new());
        }
        sync.serving()
    };
    assert!(confirms([7, 7], [2, 2]));
    assert!(!confirms([7, 3], [2, 3]));
}

fn is_push(message: &Message) -> bool {
    matches!(message, Message::Push(_))
}

/// Guards against members that the tree leaves out or reaches twice.
#[test]
fn the_tree_reaches_each_member_once() {
    for size in [20, 33, 300, 1_000] {
        let mut net = Net::new(6, size, 3, true);
        net.drop_filter = |x| matches!(x, PeerMessage::Sync(x) if !is_push(x));
        net.message_len = Some(|message| {
            matches!(message, PeerMessage::Sync(x) if is_push(x)).into()
        });
        net.commit(1, 100, &[0, 1, 2]);
        net.run(Duration::from_millis(50));
        let reached = (0..size).filter(|x| net.version(*x) == 1).count();
        let pushes: u64 = net.nodes.iter().map(|x| x.sync_sent.1).sum();
        assert_eq!(reached, size);
        assert_eq!(pushes, size as u64 - 3);
        let most = net.nodes.iter().map(|x| x.sync_sent.1).max();
        assert!(most <= Some(16), "{most:?} pushes by one of {size}");
    }
}

/// Guards against leases that expire where confirmations are relayed, against
/// load on the control replicas that grows with the fleet, and against a fleet
/// that stops serving when the control replicas fail.
#[test]
fn a_large_fleet_keeps_its_lease() {
    // Small limits give a small fleet the three tree levels of a large one.
    let options = SyncOptions {
        max_direct_members: 4,
        confirm_fan_out: 4,
        ..SyncOptions::default()
    };
    let options = (MembershipOptions::default(), options);
    let mut net = Net::with_options(11, 70, 3, true, options);
    net.commit(1, 100, &[0, 1, 2]);
    assert!(net.run_until(secs(5), |x| all_serve(x, 1)));
    net.run(secs(5));
    net.nodes.iter_mut().for_each(|x| x.sync_sent = (0, 0));
    assert!(!net.run_until(secs(10), |x| !all_serve(x, 1)));
    // If all asked the control replicas, these would send 1,400 answers.
    let most = net.nodes.iter().map(|x| x.sync_sent.0).max();
    assert!(most <= Some(500), "{most:?} messages in ten seconds");
    (0..3).for_each(|x| net.crash(x));
    assert!(!net.run_until(secs(30), |x| !all_serve(x, 1)));
}

/// Guards against a confirmation that instances relay to each other without
/// end after the control group has become unreachable.
#[test]
fn confirmations_that_are_passed_on_grow_old() {
    let mut net = serving_fleet(12);
    net.partition(&[6, 7, 8, 9], &[0, 1, 2, 3, 4, 5]);
    net.run(LEASE + POLL_MARGIN);
    assert!((6..10).all(|x| !net.serving(x)));
}

/// Guards against a fleet on a busy computer, whose messages take longer than
/// a round of confirmations, that loses its lease although every message
/// arrives.
#[test]
fn late_answers_still_renew_the_lease() {
    let mut net = serving_fleet(13);
    net.delay_us = (300_000, 600_000);
    net.run(secs(3));
    assert!(!net.run_until(secs(20), |x| !all_serve(x, 1)));
}

/// Guards against the same in a fleet that relays its confirmations.
#[test]
fn late_answers_still_renew_the_lease_of_a_large_fleet() {
    let mut net = Net::new(14, 84, 3, true);
    net.commit(1, 2_000, &[0, 1, 2]);
    assert!(net.run_until(secs(5), |x| all_serve(x, 1)));
    net.delay_us = (300_000, 400_000);
    net.run(secs(3));
    assert!(!net.run_until(secs(20), |x| !all_serve(x, 1)));
}

/// Returns whether a reducer still serves three seconds after the control
/// replicas fell silent, when of the nine other members five hold its version
/// and one, that answers too, holds `other`.
fn serves_by_fallback(other: u64) -> bool {
    let mut members: Vec<Member> =
        (0..3).map(|x| member(x, replica(GROUP))).collect();
    members.extend((3..10).map(|x| member(x, None)));
    let roster = roster_of(10);
    let (mut sync, _) = sync_with_open_round(members);
    let event = SyncEvent::Message(InstanceId(4), Message::Roster(roster));
    sync.step(Time::from_millis(2), event, &mut Vec::new());
    let mut messages = Vec::new();
    for ms in 2..5_000 {
        let now = Time::from_millis(ms);
        let mut out = Vec::new();
        for (from, message) in messages.drain(..) {
            let event = SyncEvent::Message(from, message);
            sync.step(now, event, &mut out);
        }
        sync.step(now, SyncEvent::Tick, &mut out);
        for effect in out {
            let SyncEffect::Send(to, Message::Compare { sequence, .. }) =
                effect
            else {
                continue;
            };
            let is_replica = to.0 <= 3;
            let version = match to.0 {
                1..=3 if ms > 2_000 => continue,
                9 if ms > 2_000 => other,
                _ => 5,
            };
            let answer = Message::Compared {
                sequence,
                version: ConfigVersion(version),
                logged: is_replica.then_some(ConfigVersion(version)),
                voters: if is_replica { 3 } else { 0 },
                control_group: if is_replica { GROUP } else { 0 },
                confirmed: None,
                members_index: 1,
                roster: RosterStatus {
                    index: 1,
                    confirmed: true,
                    logged: u64::from(is_replica),
                },
            };
            messages.push((to, answer));
        }
    }
    sync.serving()
}

/// Guards against a majority of the fleet that renews the lease although a
/// member that answered holds a newer version, such as one with a zone out.
#[test]
fn a_newer_version_at_one_member_denies_the_fallback() {
    assert!(serves_by_fallback(5));
    assert!(!serves_by_fallback(6));
}

/// Returns the messages of the configuration sync in ten seconds.
fn sync_messages(net: &mut Net) -> u64 {
    net.nodes.iter_mut().for_each(|x| x.sync_sent = (0, 0));
    net.run(secs(10));
    net.nodes.iter().map(|x| x.sync_sent.0).sum()
}

/// Most messages that an instance of a slow fleet sends in a second: four times
/// those of a calm fleet of 84 instances in which no zone has relays, 12.7.
const MAX_SLOW_MESSAGES: f64 = 50.0;

/// Guards against a fleet on a busy computer that is kept busy by the
/// fallback on the fleet, although all control replicas answer late.
#[test]
fn a_slow_fleet_sends_a_small_multiple_of_a_calm_one() {
    for (size, delay_us) in [
        (30, (1_000, 800_000)),
        (84, (1_000, 800_000)),
        (84, (200_000, 1_000_000)),
    ] {
        let mut net = Net::new(15, size, 3, true);
        net.commit(1, 2_000, &[0, 1, 2]);
        net.run(secs(10));
        net.delay_us = delay_us;
        net.run(secs(5));
        let slow = sync_messages(&mut net) as f64 / (10 * size) as f64;
        assert!(slow <= MAX_SLOW_MESSAGES, "{slow} at {size} instances");
    }
}

/// Guards against a lease that ends for a moment when the control replicas
/// fail, because the fleet is asked too late.
#[test]
fn the_fallback_begins_before_the_lease_ends() {
    for size in [20, 84] {
        let mut net = Net::new(16, size, 3, true);
        net.commit(1, 2_000, &[0, 1, 2]);
        net.run(secs(10));
        let since: Vec<_> =
            net.nodes.iter().map(|x| x.serving_since).collect();
        (0..3).for_each(|x| net.crash(x));
        net.run(secs(30));
        for (node, since) in net.nodes.iter().zip(since).skip(3) {
            assert_eq!(node.serving_since, since, "{} of {size}", node.id);
        }
    }
}
