//! Tests of failure detection and dissemination in a simulated fleet.

#[allow(dead_code)]
mod support;

use std::time::Duration;

use primrosemast_core::{
    config_sync::SyncOptions,
    membership::{
        Member, MemberState, Membership, MembershipEffect, MembershipEvent,
        MembershipOptions, Message,
    },
    message::PeerMessage,
    time::Time,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use support::{Net, address, member};

/// Documented bound on the time from a crash until all ten instances consider
/// the member dead.
const DEAD_BOUND: Duration = Duration::from_secs(6);

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns a configuration with a fixed seed, so that runs are reproducible.
fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(8), ..Config::default() }
}

fn joined(seed: u64, size: usize) -> Net {
    let mut net = Net::new(seed, size, 0, true);
    net.run(secs(3));
    assert!(net.all_alive());
    net
}

/// Guards against instances that cannot join the fleet through three seed
/// addresses.
#[test]
fn instances_join_through_seed_addresses() {
    for size in [2, 10, 40] {
        let mut net = Net::new(size as u64, size, 0, false);
        let all = |net: &Net| {
            net.all_alive()
                && net
                    .nodes
                    .iter()
                    .all(|x| x.membership.members().len() == size)
        };
        assert!(net.run_until(secs(15), all), "size {size}");
    }
}

proptest! {
    #![proptest_config(config(150))]

    /// Guards against a crashed or frozen member that remains a home for
    /// longer than the documented bound.
    #[test]
    fn a_lost_member_is_dead_everywhere_in_time(
        seed: u64, victim in 0..10usize, freeze: bool, wait in 0..5_000u64,
    ) {
        let mut net = joined(seed, 10);
        net.run(Duration::from_millis(wait));
        if freeze {
            net.freeze(victim);
        } else {
            net.crash(victim);
        }
        let dead = net.run_until(
            DEAD_BOUND, |x| x.all_observe(victim, MemberState::Dead),
        );
        prop_assert!(dead);
        prop_assert_eq!(net.live().len(), 9);
    }

    /// Guards against a leave announcement that reaches some instances so late
    /// that they still send requests to the stopped one.
    #[test]
    fn a_leaving_member_is_known_within_a_second(
        seed: u64, victim in 0..10usize, loss in 0.0..0.1,
    ) {
        let mut net = joined(seed, 10);
        net.loss = loss;
        net.duplication = 0.05;
        net.step_membership(victim, MembershipEvent::Leave);
        let known = net.run_until(
            secs(1), |x| x.all_observe(victim, MemberState::Leaving),
        );
        prop_assert!(known);
    }
}

proptest! {
    #![proptest_config(config(20))]

    /// Guards against live members that are declared dead because messages are
    /// lost, duplicated and reordered.
    #[test]
    fn no_live_member_is_removed_under_loss(seed: u64) {
        let mut net = joined(seed, 10);
        net.loss = 0.1;
        net.duplication = 0.1;
        net.delay_us = (500, 20_000);
        let removed = net.run_until(secs(60), any_dead);
        prop_assert!(!removed);
    }

    /// Guards against a fleet that remains partitioned after the network has
    /// recovered, also if only one direction was interrupted.
    #[test]
    fn a_partition_heals(seed: u64, left in 1..6usize, one_way: bool) {
        let mut net = joined(seed, 10);
        let (a, b): (Vec<_>, Vec<_>) = (0..10).partition(|x| *x < left);
        if one_way {
            net.partition_one_way(&a, &b);
        } else {
            net.partition(&a, &b);
        }
        net.run(secs(20));
        if !one_way {
            prop_assert_eq!(net.state(0, 9), Some(MemberState::Dead));
            prop_assert_eq!(net.state(9, 0), Some(MemberState::Dead));
        }
        net.heal();
        prop_assert!(net.run_until(secs(30), Net::all_alive));
    }

    /// Guards against a resumed instance that declares other members dead
    /// because its timers expired while it was frozen.
    #[test]
    fn a_resumed_instance_declares_none_dead(seed: u64, frozen_ms in 200..60_000u64) {
        let mut net = joined(seed, 10);
        suspect(&mut net, 4, 7);
        net.freeze(4);
        net.run(Duration::from_millis(frozen_ms));
        net.resume(4);
        net.run(secs(15));
        prop_assert!(net.nodes[4].observed_dead.is_empty());
        prop_assert!(net.all_alive());
        if frozen_ms > 4_000 {
            prop_assert!(incarnation(&net, 4, 4) > 1);
        }
    }
}

/// Sends node `at` a record in which node `of` is suspect.
fn suspect(net: &mut Net, at: usize, of: usize) {
    let state = MemberState::Suspect;
    let members = vec![Member { state, ..member(of, None) }];
    let message = Message::Full { members, reply: false };
    let from = net.nodes[1].id;
    net.step_membership(at, MembershipEvent::Message(from, message));
}

fn any_dead(net: &Net) -> bool {
    let live = net.live();
    live.iter().any(|&at| {
        live.iter().any(|&of| net.state(at, of) == Some(MemberState::Dead))
    })
}

fn incarnation(net: &Net, at: usize, of: usize) -> u64 {
    let id = net.nodes[of].id;
    let members = net.nodes[at].membership.members();
    members.iter().find(|x| x.id == id).map_or(0, |x| x.incarnation)
}

/// Guards against a live member that is declared dead because one instance
/// suspects it.
#[test]
fn a_false_suspicion_is_refuted() {
    let mut net = joined(5, 10);
    suspect(&mut net, 2, 7);
    assert_eq!(net.state(2, 7), Some(MemberState::Suspect));
    assert!(!net.run_until(secs(10), any_dead));
    assert!((0..10).all(|x| incarnation(&net, x, 7) == 2));
    assert!(net.all_alive());
}

/// Guards against suspicion of a member that only one other member cannot
/// reach.
#[test]
fn indirect_probes_tolerate_a_broken_link() {
    let mut net = joined(6, 10);
    net.partition(&[1], &[7]);
    net.run(secs(60));
    assert!(net.all_alive());
    // A suspicion, even if refuted, would have raised the incarnation.
    assert!((0..10).all(|x| incarnation(&net, x, 7) == 1));
}

/// Guards against a restarted instance that is mistaken for its previous run.
#[test]
fn a_restarted_instance_replaces_its_record() {
    let mut net = joined(7, 10);
    net.crash(3);
    net.run(Duration::from_millis(100));
    net.restart(3);
    net.run(secs(10));
    assert!(net.all_alive());
    assert!((0..10).all(|x| incarnation(&net, x, 3) > 1_000_000));
}

/// Guards against a wrong entry in the platform's list that moves homes on
/// each poll of the list.
#[test]
fn a_wrong_platform_hint_is_refuted_once() {
    let mut net = joined(8, 10);
    let hint = MembershipEvent::PlatformLeaving(address(6));
    net.step_membership(0, hint.clone());
    assert_eq!(net.state(0, 6), Some(MemberState::Leaving));
    net.run(secs(5));
    assert!(net.all_alive());
    net.step_membership(0, hint);
    assert_eq!(net.state(0, 6), Some(MemberState::Alive));
}

/// Guards against a table that keeps every former member, and against dead
/// records that instances exchange forever.
#[test]
fn dead_members_are_forgotten() {
    let forget_after = secs(60);
    let options =
        MembershipOptions { forget_after, ..MembershipOptions::default() };
    let options = (options, SyncOptions::default());
    let mut net = Net::with_options(9, 10, 0, true, options);
    net.run(secs(1));
    net.crash(9);
    net.run(secs(30));
    assert!(net.all_observe(9, MemberState::Dead));
    net.run(secs(60));
    let live = net.live();
    assert!(live.iter().all(|&x| net.state(x, 9).is_none()));
    net.run(secs(60));
    assert!(live.iter().all(|&x| net.state(x, 9).is_none()));
}

/// Guards against records that differ permanently because updates were lost,
/// and against a digest exchange whose size grows with the fleet.
#[test]
fn an_exchange_by_digest_repairs_only_what_differs() {
    let all: Vec<Member> = (0..500).map(|x| member(x, None)).collect();
    let mut nodes = [0, 1].map(|x| {
        let options = MembershipOptions::default();
        Membership::new(member(x, None), options, x as u64)
    });
    let mut stale = all.clone();
    stale[300].incarnation = 0;
    stale.remove(400);
    let mut step = |to: usize, message| {
        let mut out = Vec::new();
        let from = member(1 - to, None).id;
        let event = MembershipEvent::Message(from, message);
        nodes[to].step(Time::from_millis(5), event, &mut out);
        let sent = out.into_iter().filter_map(|x| match x {
            MembershipEffect::Send(_, message) => Some(message),
            _ => None,
        });
        (sent.collect::<Vec<_>>(), nodes[to].members().to_vec())
    };
    step(0, Message::Full { members: stale, reply: false });
    step(1, Message::Full { members: all.clone(), reply: false });
    let mut message = Message::Digest { hash: 0, count: 0 };
    let mut sent_members = 0;
    for to in [1, 0, 1, 0] {
        let (sent, _) = step(to, message);
        message = sent
            .into_iter()
            .find(|x| !matches!(x, Message::Full { .. }))
            .unwrap_or(Message::Digest { hash: 0, count: 0 });
        if let Message::Difference { members, .. } = &message {
            sent_members += members.len();
        }
    }
    let (_, repaired) =
        step(0, Message::Full { members: vec![], reply: false });
    assert_eq!(repaired, all);
    assert!(sent_members <= 100, "{sent_members} of 500 members sent");
}

/// Guards against messages whose size grows with the number of changes.
#[test]
fn messages_stay_bounded_when_half_the_fleet_is_lost() {
    let mut net = joined(10, 100);
    net.message_len = Some(|message| match message {
        PeerMessage::Membership(Message::Ping { updates, .. })
        | PeerMessage::Membership(Message::Ack { updates, .. }) => {
            assert!(updates.len() <= 10, "{} updates", updates.len());
            1
        }
        _ => 1,
    });
    (0..50).for_each(|x| net.crash(x));
    let dead =
        |net: &Net| (0..50).all(|x| net.all_observe(x, MemberState::Dead));
    assert!(net.run_until(secs(30), dead));
}

/// Sums over the nodes the changes of members and the membership messages.
fn totals(net: &Net) -> (u64, u64) {
    let nodes = net.nodes.iter();
    nodes.fold((0, 0), |sum, x| {
        (sum.0 + x.member_changes, sum.1 + x.membership_sent.0)
    })
}

/// Guards against a storm of suspicions and refutations in a fleet on a busy
/// computer: it multiplies the load that made the answers late.
#[test]
fn late_answers_cause_no_storm_of_suspicions() {
    for (seed, delay_us) in [(1, (200_000, 1_000_000)), (2, (1_000, 800_000))]
    {
        let mut net = joined(seed, 84);
        let (_, before) = totals(&net);
        net.run(secs(10));
        let calm = totals(&net);
        net.delay_us = delay_us;
        let removed = net.run_until(secs(20), any_dead);
        assert!(!removed, "a live member is dead");
        let slow = totals(&net);
        // Two changes of each member at each node while the delays begin.
        let changes = slow.0 - calm.0;
        assert!(changes <= 2 * 84 * 84, "{changes} changes");
        // Twice the messages of the calm fleet, in twice the time.
        let (usual, sent) = (calm.1 - before, slow.1 - calm.1);
        assert!(sent <= 4 * usual, "{sent} messages, usually {usual}");
        net.delay_us = (500, 1_000);
        assert!(net.run_until(secs(3), Net::all_alive));
        let end = totals(&net);
        net.run(secs(10));
        assert!(totals(&net).0 - end.0 <= 84, "the storm goes on");
    }
}

/// Guards against a crashed member that a fleet on a busy computer keeps as
/// the home of its targets for longer than the bound on recovery.
#[test]
fn a_lost_member_is_noticed_although_answers_are_late() {
    let mut net = joined(3, 84);
    net.delay_us = (100_000, 300_000);
    net.run(secs(10));
    net.crash(83);
    let dead = |net: &Net| net.all_observe(83, MemberState::Dead);
    assert!(net.run_until(secs(12), dead));
}

/// Guards against lost members that are noticed late, because one member that
/// was suspended for seconds has answered a probe.
#[test]
fn lost_members_are_noticed_after_another_was_suspended() {
    let mut net = joined(5, 10);
    net.run(secs(3));
    net.freeze(9);
    net.run(secs(3));
    net.resume(9);
    net.run(secs(1));
    net.crash(7);
    net.crash(8);
    let dead = |net: &Net| {
        [7, 8].iter().all(|&x| net.all_observe(x, MemberState::Dead))
    };
    assert!(net.run_until(secs(12), dead));
}

/// Guards against a storm of suspicions and refutations in a fleet whose
/// processes wait seconds for a processor, so that timers and messages are
/// late: the storm takes the processor time that the processes lack.
#[test]
fn a_starved_fleet_keeps_up_no_storm() {
    const SIZE: u64 = 84;
    const LATE: (u64, u64) = (500_000, 8_000_000);
    for (seed, timer_delay_us) in
        [(1, (0, 2_000_000)), (2, (0, 2_000_000)), (3, LATE), (4, LATE)]
    {
        let mut net = joined(seed, SIZE as usize);
        let (_, before) = totals(&net);
        net.run(secs(10));
        let calm = totals(&net);
        net.delay_us = LATE;
        net.timer_delay_us = timer_delay_us;
        net.run(secs(60));
        let starved = totals(&net);
        // No member changes. One suspicion of each member and its refutation
        // are allowed, which every instance sees.
        let changes = starved.0 - calm.0;
        let (usual, sent) = (6 * (calm.1 - before), starved.1 - calm.1);
        println!("seed {seed}: {changes} changes, {sent} messages");
        assert!(changes <= 2 * SIZE * SIZE, "{changes} changes");
        // The intervals between probes do not depend on the delays. Some are
        // repeated through other members.
        assert!(sent <= 2 * usual, "{sent} messages, usually {usual}");
        let dead = net.nodes.iter().map(|x| x.observed_dead.len());
        assert_eq!(dead.sum::<usize>(), 0, "live members are dead");
        net.delay_us = (500, 1_000);
        net.timer_delay_us = (0, 0);
        // The last late messages arrive.
        net.run(secs(10));
        assert!(net.run_until(secs(12), Net::all_alive));
        let end = totals(&net);
        net.run(secs(10));
        assert!(totals(&net).0 - end.0 <= SIZE, "the storm goes on");
    }
}

/// Guards against a member that crashed while the fleet lacked processor time,
/// or right after, and that stays a home for longer than the bound on recovery
/// once messages are on time.
#[test]
fn a_lost_member_is_noticed_once_a_starved_fleet_has_recovered() {
    for seed in 1..=4 {
        let mut net = joined(seed, 84);
        net.delay_us = (500_000, 8_000_000);
        net.timer_delay_us = (0, 2_000_000);
        net.run(secs(30));
        net.crash(82);
        net.run(secs(5));
        net.delay_us = (500, 1_000);
        net.timer_delay_us = (0, 0);
        // The last late messages arrive.
        net.run(secs(8));
        net.crash(83);
        let dead = |net: &Net| {
            [82, 83].iter().all(|&x| net.all_observe(x, MemberState::Dead))
        };
        assert!(net.run_until(secs(12), dead), "seed {seed}");
    }
}
