//! Tests of the homes and standbys of bundles.

use primrosemast_core::{
    id::{InstanceId, ZoneId},
    placement::{BundleKey, Candidate, Placement, rank},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn candidate(index: u64) -> Candidate {
    let zone = ZoneId(index % 4);
    Candidate { instance: InstanceId(index + 1), zone }
}

fn bundles(count: usize) -> Vec<(BundleKey, ZoneId)> {
    let zone = |x| ZoneId(x as u64 % 5);
    (0..count)
        .map(|x| (BundleKey::new("search", zone(x), x, 1), zone(x)))
        .collect()
}

/// Guards against a home outside the zone of the targets while the zone has a
/// live instance, and against a standby that is the home itself.
#[test]
fn the_zone_of_the_targets_ranks_first() {
    let candidates: Vec<Candidate> = (0..12).map(candidate).collect();
    for (bundle, zone) in bundles(400) {
        let (home, standby) = rank(bundle, zone, &candidates);
        assert_ne!(home, standby);
        if zone.0 < 4 {
            let of = |id: Option<InstanceId>| (id.unwrap().0 - 1) % 4;
            assert_eq!((of(home), of(standby)), (zone.0, zone.0));
        }
    }
}

/// Guards against an uneven distribution of homes over the instances.
#[test]
fn homes_are_spread_evenly() {
    let mut placement = Placement::default();
    placement.set_bundles(bundles(10_000));
    placement.set_candidates((0..12).map(candidate).collect());
    let mut counts = [0; 12];
    for placed in placement.placed() {
        counts[placed.home.unwrap().0 as usize - 1] += 1;
    }
    assert!(counts.iter().all(|x| (600..1_100).contains(x)), "{counts:?}");
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(10),
        ..Config::default()
    })]

    /// Guards against placements that depend on earlier candidates, on which
    /// instances would disagree, and against homes that move needlessly.
    #[test]
    fn placement_depends_only_on_the_candidates(
        fleets in prop::collection::vec(
            prop::collection::btree_set(0..14u64, 0..14), 1..6),
        count in 0..60usize,
    ) {
        let mut placement = Placement::default();
        let moved = placement.set_bundles(bundles(count));
        prop_assert!(moved.is_empty());
        for fleet in fleets {
            let fleet: Vec<Candidate> =
                fleet.into_iter().map(candidate).collect();
            let before = placement.clone();
            let moved = placement.set_candidates(fleet.clone());
            for placed in placement.placed() {
                let (home, standby) =
                    rank(placed.bundle, placed.zone, &fleet);
                prop_assert_eq!(placed.home, home);
                prop_assert_eq!(placed.standby, standby);
                let old = before.get(placed.bundle).unwrap().home;
                prop_assert_eq!(old != home, moved.contains(placed));
            }
        }
    }
}

/// Guards against a membership change that moves targets of other instances
/// than the one that left or joined.
#[test]
fn only_targets_of_the_changed_instance_move() {
    let all: Vec<Candidate> = (0..12).map(candidate).collect();
    let mut placement = Placement::default();
    placement.set_bundles(bundles(1_000));
    placement.set_candidates(all.clone());
    let before = placement.clone();
    let moved = placement.set_candidates(all[1..].to_vec());
    let left = Some(all[0].instance);
    for placed in &moved {
        let old = before.get(placed.bundle).unwrap();
        assert_eq!(old.home, left);
        assert_eq!(old.standby, placed.home);
    }
    let held = before.placed().iter().filter(|x| x.home == left).count();
    assert_eq!(moved.len(), held);
    placement.set_candidates(all);
    assert_eq!(placement.placed(), before.placed());
}
