//! Failure detection and dissemination in a simulated fleet.

#[allow(dead_code)]
mod support;

use std::time::Duration;

use primrosemast_core::membership::{MemberState, MembershipEvent};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use support::Net;

/// Stated bound from a crash to `Dead` at every instance, ten instances.
const DEAD_BOUND: Duration = Duration::from_secs(6);

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A fixed seed gives the same verdict in every run.
fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(8), ..Config::default() }
}

fn joined(seed: u64, size: usize) -> Net {
    let mut net = Net::new(seed, size, 0, true);
    net.run(secs(3));
    assert!(net.everyone_alive());
    net
}

/// Guards against instances that never find the fleet from three addresses.
#[test]
fn instances_join_through_seed_addresses() {
    for size in [2, 10, 40] {
        let mut net = Net::new(size as u64, size, 0, false);
        let all = |net: &Net| {
            net.everyone_alive()
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

    /// Guards against a crashed or frozen member that stays a home for
    /// longer than the stated bound.
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
        let dead = net
            .run_until(DEAD_BOUND, |x| x.all_see(victim, MemberState::Dead));
        prop_assert!(dead);
        prop_assert_eq!(net.live().len(), 9);
    }

    /// Guards against a stop announcement that reaches some instances only
    /// after requests have been sent to the stopped one.
    #[test]
    fn a_leaving_member_is_known_within_a_second(
        seed: u64, victim in 0..10usize, loss in 0.0..0.1,
    ) {
        let mut net = joined(seed, 10);
        net.loss = loss;
        net.duplicates = 0.05;
        net.step_membership(victim, MembershipEvent::Leave);
        let known = net
            .run_until(secs(1), |x| x.all_see(victim, MemberState::Leaving));
        prop_assert!(known);
    }
}
