//! Property tests of the limits that all instances share: whatever happens,
//! the requests of all instances in each window keep to the bound.

mod shares_support;

use std::time::Duration;

use primrosemast_core::{
    forward::table::RateLimit, id::Token, shares::ShareOptions,
};
use proptest::prelude::*;
use rand::RngExt;
use shares_support::*;

const INSTANCES: usize = 14;

/// What is changed about the mechanism in a trial.
#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    /// New grantors do not wait.
    no_hold: bool,
    /// Holders use tokens for this much longer than grantors count them.
    longer_validity: Option<Duration>,
}

/// Creates a fleet without the mechanism that a trial leaves out.
fn fleet(instances: usize, rate: RateLimit, seed: u64, trial: Trial) -> Fleet {
    let plain = ShareOptions::default();
    let hold = if trial.no_hold { Duration::ZERO } else { plain.hold };
    let options = ShareOptions { hold, ..plain };
    let mut fleet = Fleet::new(instances, 5, options, seed);
    fleet.later_expiry = trial.longer_validity;
    (5..instances).for_each(|i| fleet.restart(i));
    fleet.set_limits(vec![(LIMIT, rate)]);
    fleet
}

/// Plays a random schedule of failures under several times the load that the
/// limit allows. Returns the most requests in a window and the bound.
fn play(seed: u64, rate: RateLimit) -> (usize, f64) {
    let mut fleet = fleet(INSTANCES, rate, seed, Trial::default());
    fleet.network = Network {
        loss: fleet.rng.random_range(0.0..0.3),
        duplicates: fleet.rng.random_range(0.0..0.2),
        min_delay: ms(1),
        slow: fleet.rng.random_range(0.0..0.3),
        max_delay: ms(fleet.rng.random_range(10..3_000)),
    };
    fleet.run(Duration::from_secs(6));
    let load = rate.per_second * 6.0 + 20.0;
    // The list changes at most this often; an instance returns to it only
    // after it has seen that it was removed.
    let churn = fleet.rng.random_range(0.0..0.5);
    for _ in 0..100 {
        let i = fleet.rng.random_range(0..INSTANCES);
        match fleet.rng.random_range(0..9) {
            0 => fleet.restart(i),
            1 => {
                let duration = ms(fleet.rng.random_range(10..6_000));
                fleet.freeze(i, duration);
            }
            2 => {
                let (a, b) = (fleet.rng.random(), fleet.rng.random());
                fleet.instances[i].cut = (a, b);
            }
            3 => fleet.instances[i].cut = (false, false),
            4 => {
                let unconfirmed = fleet.rng.random();
                fleet.instances[i].unconfirmed = unconfirmed;
            }
            5 => fleet.change_view(i),
            _ => {}
        }
        if fleet.rng.random_bool(churn) {
            let mut voters = fleet.voters().to_vec();
            match voters.len() {
                6 => {
                    let at = fleet.rng.random_range(0..6);
                    voters.remove(at);
                }
                3..=5 if !voters.contains(&i) => voters.push(i),
                _ => {}
            }
            fleet.set_voters(voters);
        }
        // Some of the last requests were not run.
        let count = fleet.offered.len() as u64;
        for _ in 0..fleet.rng.random_range(0..20).min(count) {
            let token =
                Token(count - fleet.rng.random_range(1..=count.min(60)));
            fleet.not_run(token);
        }
        let duration = ms(fleet.rng.random_range(1..400));
        let hot = fleet.rng.random_range(0..INSTANCES);
        fleet.load(LIMIT, load, duration, |rng| match rng.random_bool(0.5) {
            true => hot,
            false => rng.random_range(0..INSTANCES),
        });
    }
    (fleet.worst_window(LIMIT), fleet.options.allowed(rate))
}

fn rates() -> impl Strategy<Value = RateLimit> {
    let per_second = prop_oneof![Just(1.0), Just(17.0), 2.0..200.0_f64];
    (per_second, 0.0..3.0_f64)
        .prop_map(|(per_second, burst)| limit(per_second, per_second * burst))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against more requests than the bound in any window, under loss,
    // delay, duplication, freezes, restarts, one-way cuts, members that differ
    // between instances and changes of the grantors.
    #[test]
    fn every_window_keeps_the_bound(seed in any::<u64>(), rate in rates()) {
        let (worst, allowed) = play(seed, rate);
        prop_assert!(worst as f64 <= allowed, "{worst} of {allowed}");
    }
}

/// A schedule that replaces a voter each half second. Those that were removed
/// do not learn of it. Returns the most requests in a window and the bound.
fn churn(trial: Trial) -> (usize, f64) {
    let rate = limit(60.0, 30.0);
    let mut fleet = fleet(60, rate, 1, trial);
    fleet.run(Duration::from_secs(10));
    for added in 5..45 {
        let mut voters = fleet.voters().to_vec();
        voters.push(added);
        fleet.set_voters(voters.clone());
        fleet.load(LIMIT, 400.0, ms(250), |rng| rng.random_range(45..60));
        let removed = voters.remove(0);
        fleet.instances[removed].unconfirmed = true;
        fleet.set_voters(voters);
        fleet.load(LIMIT, 400.0, ms(250), |rng| rng.random_range(45..60));
    }
    (fleet.worst_window(LIMIT), fleet.options.allowed(rate))
}

/// A schedule in which instances get tokens in advance and spend them in a
/// burst.
fn hoard(trial: Trial) -> (usize, f64) {
    let rate = limit(60.0, 30.0);
    let mut fleet = fleet(INSTANCES, rate, 2, trial);
    fleet.run(Duration::from_secs(10));
    for i in 6..INSTANCES {
        fleet.load(LIMIT, 50.0, Duration::from_secs(2), |_| i);
    }
    fleet.run(Duration::from_secs(1));
    for i in 6..INSTANCES {
        (0..200).for_each(|_| fleet.offer(i, LIMIT));
    }
    fleet.load(LIMIT, 500.0, Duration::from_secs(5), |_| 7);
    (fleet.worst_window(LIMIT), fleet.options.allowed(rate))
}

// Guards against schedules that would not show a missing mechanism: without
// the wait of new grantors, or with tokens that are used for longer than they
// count, the bound breaks.
#[test]
fn the_bound_breaks_without_the_mechanism() {
    let no_hold = Trial { no_hold: true, ..Trial::default() };
    let longer = Some(Duration::from_secs(10));
    let longer = Trial { longer_validity: longer, ..Trial::default() };
    type Schedule = fn(Trial) -> (usize, f64);
    let schedules: [(&str, Schedule, Trial); 2] =
        [("no hold", churn, no_hold), ("longer validity", hoard, longer)];
    for (name, schedule, trial) in schedules {
        let (worst, allowed) = schedule(Trial::default());
        let (without, _) = schedule(trial);
        println!("{name}: {worst} of {allowed}, without it {without}");
        assert!(worst as f64 <= allowed, "{worst} of {allowed}");
        assert!(without as f64 > allowed, "{name}: {without} of {allowed}");
    }
}
