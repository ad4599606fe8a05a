//! Tests that a majority of the fleet does not renew leases for a version
//! while the control group acknowledges a newer one, whatever the order of
//! faults. Each run checks at all times that no instance, cut off or not,
//! serves a version for longer than `OUTDATED_BOUND` after the acknowledgement
//! of a newer one.
//!
//! `PRIMROSEMAST_FLEET_SEEDS=1..1000` sets the seeds of the random orders.

mod fleet_support;

use std::time::Duration;

use fleet_support::{Fleet, version_of};
use primrosemast_core::{config_sync::SyncOptions, node::NodeOptions};
use rand::{RngExt, seq::SliceRandom};

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Time within which a change is acknowledged after the last fault; the
/// longest that the users allow for recovery.
const RECOVERY: Duration = secs(12);

/// Seeds of the random orders in CI.
const SEEDS: std::ops::Range<u64> = 0..24;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("PRIMROSEMAST_FLEET_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}

/// Starts the four replicas while the others stay cut off, and checks that no
/// change is acknowledged until the links are back.
fn assert_waits_for_the_rest(fleet: &mut Fleet, to: usize, changes: usize) {
    let rest: Vec<usize> = (4..fleet.machines.len()).collect();
    fleet.cut(&[0, 1, 2, 3], &rest);
    (0..4).for_each(|x| fleet.start(x));
    let count = fleet.acknowledged.len();
    for _ in 0..changes {
        fleet.send_change(to);
        fleet.run(Duration::from_millis(500));
    }
    assert_eq!(fleet.acknowledged.len(), count, "seed {}", fleet.seed);
    fleet.heal();
    fleet.accept_change(RECOVERY);
    fleet.run(secs(5));
}

/// Guards against instances that go on with an old version as a majority of
/// the fleet, while the control group, whose replicas were all restarted and
/// know only each other, accepts a newer one.
#[test]
fn restarted_replicas_wait_for_the_fleet() {
    for seed in 0..20 {
        let mut fleet = Fleet::serving(seed, 9, 4);
        (0..4).for_each(|x| fleet.kill(x));
        fleet.run(secs(5) + Duration::from_millis(seed * 37));
        assert_waits_for_the_rest(&mut fleet, (seed % 4) as usize, 20);
    }
}

/// Guards against a fleet that a restarted control group finds so late that
/// changes wait, although no link is cut.
#[test]
fn restarted_replicas_find_the_fleet() {
    for seed in 0..20 {
        let mut fleet = Fleet::serving(seed, 9, 4);
        (0..4).for_each(|x| fleet.kill(x));
        fleet.run(secs(5));
        (0..4).for_each(|x| fleet.start(x));
        fleet.accept_change(secs(4));
        fleet.run(secs(5));
    }
}

/// Guards against a change that is acknowledged in the first moments of a cut,
/// while the leader still counts instances that it no longer reaches.
#[test]
fn a_cut_right_after_the_change_keeps_it_from_being_acknowledged() {
    for seed in 0..40 {
        let mut fleet = Fleet::serving(seed, 9, 4);
        let apart: Vec<usize> = (4..9).collect();
        let core: Vec<usize> = (0..4).collect();
        let after = fleet.rng.random_range(0..3_000);
        fleet.send_change((seed % 4) as usize);
        fleet.run(Duration::from_micros(after));
        fleet.cut(&core, &apart);
        for _ in 0..10 {
            fleet.send_change((seed % 4) as usize);
            fleet.run(Duration::from_millis(400));
        }
        fleet.heal();
        fleet.accept_change(RECOVERY);
        fleet.run(secs(3));
    }
}

/// Guards against a control group that accepts no change for good, because the
/// majority of the fleet is gone, and against one that does so while these
/// instances may still serve.
#[test]
fn a_majority_that_is_gone_is_left_out_after_the_limit() {
    for is_cut in [false, true] {
        let sync =
            SyncOptions { fallback_limit: secs(30), ..SyncOptions::default() };
        let options = NodeOptions { sync, ..NodeOptions::default() };
        let mut fleet = Fleet::serving_with(5, 9, 4, options);
        match is_cut {
            true => fleet.cut(&[0, 1, 2, 3], &[4, 5, 6, 7, 8]),
            false => (4..9).for_each(|x| fleet.kill(x)),
        }
        fleet.run(secs(5));
        let count = fleet.acknowledged.len();
        for _ in 0..20 {
            fleet.send_change(0);
            fleet.run(secs(1));
        }
        assert_eq!(fleet.acknowledged.len(), count);
        fleet.run(secs(15));
        fleet.accept_change(RECOVERY);
        fleet.run(secs(10));
    }
}

/// Guards against the same as `restarted_replicas_wait_for_the_fleet` in fleets
/// in which the leader does not hear from all instances.
#[test]
fn restarted_replicas_wait_for_a_large_fleet() {
    for (seed, size) in [(1, 40), (2, 60)] {
        let mut fleet = Fleet::serving(seed, size, 4);
        (0..4).for_each(|x| fleet.kill(x));
        fleet.run(secs(5));
        assert_waits_for_the_rest(&mut fleet, 0, 10);
    }
}

/// Guards against changes that wait while instances are added, replaced and
/// restarted in turn, each of which changes the roster.
#[test]
fn changes_are_accepted_while_the_fleet_changes() {
    for seed in 0..6 {
        let mut fleet = Fleet::serving(seed, 12, 4);
        for x in [11, 4, 3, 10, 5, 0, 9] {
            fleet.kill(x);
            fleet.accept_change(secs(4));
            fleet.run(secs(3));
            fleet.start(x);
            fleet.run(secs(1));
            fleet.accept_change(secs(4));
        }
        // A third of the fleet goes for good, later another one.
        for gone in [[4, 5, 6], [7, 8, 9]] {
            gone.into_iter().for_each(|x| fleet.kill(x));
            fleet.run(secs(70));
            fleet.accept_change(secs(4));
        }
        (4..7).for_each(|x| fleet.start(x));
        fleet.run(secs(5));
        fleet.accept_change(secs(4));
    }
}

/// Plays faults in a random order.
fn play(seed: u64) -> Fleet {
    let (size, disks) = [(9, 4), (10, 4), (3, 3), (7, 3)][seed as usize % 4];
    let mut fleet = Fleet::serving(seed, size, disks);
    let mut down: Vec<usize> = Vec::new();
    let mut paused: Vec<usize> = Vec::new();
    let core: Vec<usize> = (0..disks).collect();
    let mut all: Vec<usize> = (0..size).collect();
    for _ in 0..60 {
        match fleet.rng.random_range(0..13) {
            0 => {
                for &x in &core {
                    fleet.kill(x);
                    down.push(x);
                }
            }
            1 | 2 => {
                all.shuffle(&mut fleet.rng);
                let count = fleet.rng.random_range(1..=size / 2);
                for &x in &all[..count] {
                    fleet.kill(x);
                    down.push(x);
                }
            }
            3..=5 => {
                for x in std::mem::take(&mut down) {
                    fleet.start(x);
                }
            }
            6 => {
                let between = fleet.rng.random_bool(0.5);
                let (left, right) = match between {
                    true => core.split_at(disks / 2),
                    false => {
                        all.shuffle(&mut fleet.rng);
                        all.split_at(fleet.rng.random_range(1..size))
                    }
                };
                match fleet.rng.random_bool(0.3) {
                    true => fleet.cut_one_way(left, right),
                    false => fleet.cut(left, right),
                }
            }
            7 => {
                let rest: Vec<usize> = (disks..size).collect();
                fleet.cut(&core, &rest);
            }
            8 | 9 => fleet.heal(),
            10 => {
                fleet.loss = fleet.rng.random_range(0.0..0.3);
                fleet.delay_us = (300, fleet.rng.random_range(1_000..400_000));
            }
            11 => {
                fleet.loss = 0.0;
                fleet.delay_us = (300, 2_000);
                for x in std::mem::take(&mut paused) {
                    fleet.resume(x);
                }
            }
            _ => {
                let x = fleet.rng.random_range(0..size);
                fleet.pause(x);
                paused.push(x);
            }
        }
        // A paused process may have been killed or started meanwhile.
        paused.retain(|&x| fleet.machines[x].paused);
        down.retain(|&x| !fleet.machines[x].up);
        for _ in 0..fleet.rng.random_range(1..6) {
            let to = fleet.rng.random_range(0..size);
            fleet.send_change(to);
            let wait = fleet.rng.random_range(10..500);
            fleet.run(Duration::from_millis(wait));
        }
    }
    fleet.heal();
    fleet.loss = 0.0;
    fleet.delay_us = (300, 2_000);
    paused.into_iter().for_each(|x| fleet.resume(x));
    down.into_iter().for_each(|x| fleet.start(x));
    fleet
}

/// Guards against any order of kills, restarts, cuts, pauses, lost and late
/// messages in which both majorities decide, and against a fleet that accepts
/// no change after it.
#[test]
fn no_order_of_faults_lets_both_majorities_decide() {
    for seed in seeds() {
        let mut fleet = play(seed);
        let version = fleet.accept_change(RECOVERY);
        let in_force = |x: &Fleet| {
            x.machines
                .iter()
                .all(|m| m.node.serving() && version_of(m) >= version)
        };
        assert!(fleet.run_until(secs(5), in_force), "seed {seed}");
    }
}
