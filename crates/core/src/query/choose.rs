/*!
Choice of a replica.

Replicas are preferred in this order: warm targets in a zone that has a share
of the route, cold targets below their limit, other usable targets, the same
in zones without a share, and last the least loaded of the targets that
reports advise against. Targets in zones that are out are not indexed, so they
are never chosen.
*/

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::{
    query::{
        index::{Holders, TargetsByZone, ZoneGroup},
        options::{DispatchMode, QueryOptions},
        table::{RoutingTable, TargetEntry},
    },
    time::Time,
};

/// A replica that is this many times slower than the fastest is an outlier.
const OUTLIER_FACTOR: u32 = 2;

/// Maximum number of holders of a shard whose latencies are compared.
const MAX_COMPARED_HOLDERS: usize = 8;

/// Added to the outlier threshold, so that the network latency between zones
/// (up to about 1 ms one way) does not make a replica an outlier.
const OUTLIER_MARGIN_US: u32 = 2_000;

/// A chosen replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) slot: u32,
    /// Whether the replica was chosen although its reports do not allow new
    /// work, because no replica whose reports allow it is left.
    pub(crate) is_last_resort: bool,
}

/// Purpose of the request that a replica is chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The only open request for the shard; any replica is better than none.
    Serve,
    /// A second request for a straggler; only replicas below their limit.
    Hedge,
}

/// Chooses a replica among the holders of a shard.
pub(crate) struct ReplicaChooser<'a> {
    pub(crate) table: &'a RoutingTable,
    /// Share of the route for each zone, by zone index.
    pub(crate) shares: &'a [u32],
    pub(crate) options: &'a QueryOptions,
    pub(crate) now: Time,
}

impl ReplicaChooser<'_> {
    /// Chooses one of the holders for which `is_excluded` returns false.
    pub(crate) fn choose(
        &self,
        rng: &mut Pcg64Mcg,
        holders: &Holders,
        purpose: Purpose,
        is_excluded: impl Fn(u32) -> bool,
    ) -> Option<Choice> {
        let targets = &holders.targets;
        let allowed = |slot| (!is_excluded(slot)).then(|| self.target(slot));
        if self.options.mode == DispatchMode::Direct {
            return self.choose_random(rng, targets, &is_excluded);
        }
        let warm = |slot| {
            allowed(slot).is_some_and(|t| {
                t.is_usable()
                    && !t.is_cold()
                    && (purpose == Purpose::Serve || t.has_room())
            })
        };
        let cold = |slot| {
            allowed(slot)
                .is_some_and(|t| t.is_usable() && t.is_cold() && t.has_room())
        };
        let idle_cold = |slot| cold(slot) && self.target(slot).load() == 0;
        let usable = |slot| allowed(slot).is_some_and(TargetEntry::is_usable);
        let chosen = |slot| Some(Choice { slot, is_last_resort: false });
        let lowest_us = self.lowest_latency_us(targets);
        // A small part of the requests may go to a slow replica, so that its
        // recovery is noticed.
        let include_slow =
            rng.random_range(0..100) < self.options.slow_probe_percent;
        let fast = |slot| {
            warm(slot)
                && (include_slow || !is_outlier(self.target(slot), lowest_us))
        };
        for has_share in [true, false] {
            if has_share
                && purpose == Purpose::Serve
                && !holders.cold.is_empty()
                && rng.random_range(0..100) < self.options.cold_probe_percent
                && let Some(slot) =
                    self.pick(rng, &holders.cold, has_share, idle_cold)
            {
                return chosen(slot);
            }
            if let Some(slot) = self
                .pick(rng, targets, has_share, fast)
                .or_else(|| self.pick(rng, targets, has_share, warm))
                .or_else(|| self.pick(rng, &holders.cold, has_share, cold))
            {
                return chosen(slot);
            }
            if purpose == Purpose::Serve
                && let Some(slot) = self.pick(rng, targets, has_share, usable)
            {
                return chosen(slot);
            }
        }
        if purpose == Purpose::Hedge {
            return None;
        }
        self.last_resort(targets, is_excluded)
            .map(|slot| Choice { slot, is_last_resort: true })
    }

    /// Returns the lowest latency among the usable holders of a shard, or 0
    /// if there are too many to compare. With many holders, the choice of the
    /// better of two avoids a slow one at a cost that does not depend on their
    /// number.
    fn lowest_latency_us(&self, holders: &TargetsByZone) -> u32 {
        let count: usize = holders.groups.iter().map(|g| g.slots.len()).sum();
        if count > MAX_COMPARED_HOLDERS {
            return 0;
        }
        holders
            .slots()
            .map(|slot| self.target(slot))
            .filter(|t| t.is_usable() && t.latency_us > 0)
            .map(|t| t.latency_us)
            .min()
            .unwrap_or(0)
    }

    /// Chooses among the replicas that reports advise against: the least
    /// loaded one that is not leaving, or, if all holders are leaving, one
    /// that was first reported as leaving within `leaving_grace`.
    fn last_resort(
        &self,
        holders: &TargetsByZone,
        is_excluded: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        // With equal load, a replica in this zone is preferred, because it
        // avoids a hop between zones.
        let by_load = |&slot: &u32| {
            let t = self.target(slot);
            (t.load(), Some(t.zone) != self.table.own_zone)
        };
        let remaining = || holders.slots().filter(|&s| !is_excluded(s));
        let is_staying =
            |&slot: &u32| self.target(slot).leaving_since().is_none();
        let within_grace = |&slot: &u32| {
            self.target(slot).leaving_since().is_some_and(|since| {
                self.now.since(since) < self.options.leaving_grace
            })
        };
        remaining().filter(is_staying).min_by_key(by_load).or_else(|| {
            // A leaving target is used only if no other holds the shard.
            let all_leaving = holders.slots().all(|slot| !is_staying(&slot));
            remaining()
                .filter(within_grace)
                .min_by_key(by_load)
                .filter(|_| all_leaving)
        })
    }

    /// Chooses for `DispatchMode::Direct`: by zone share and at random,
    /// without regard to load and latency.
    fn choose_random(
        &self,
        rng: &mut Pcg64Mcg,
        holders: &TargetsByZone,
        is_excluded: &impl Fn(u32) -> bool,
    ) -> Option<Choice> {
        let is_eligible = |slot: u32| {
            !is_excluded(slot) && self.target(slot).leaving_since().is_none()
        };
        let slot = self
            .pick(rng, holders, true, is_eligible)
            .or_else(|| self.pick(rng, holders, false, is_eligible))?;
        Some(Choice { slot, is_last_resort: false })
    }

    /// Draws a zone by share among those with an eligible target, and then
    /// takes the better of two random targets in it.
    ///
    /// Whether a zone has an eligible target is only checked after it is
    /// drawn; a zone without one is excluded and the draw repeated. This gives
    /// the same distribution as checking every target of every zone and costs
    /// far less.
    fn pick(
        &self,
        rng: &mut Pcg64Mcg,
        holders: &TargetsByZone,
        has_share: bool,
        is_eligible: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        let mut excluded_zones = 0u128;
        loop {
            let (bit, group) =
                self.draw_zone(rng, holders, has_share, excluded_zones)?;
            if let Some((a, b)) = sample_two(rng, group, &is_eligible) {
                return Some(self.lower_cost(a, b));
            }
            excluded_zones |= bit;
        }
    }

    /// Draws a zone by share; returns its bit in `excluded_zones` and its
    /// targets. If `has_share` is false, only zones without a share take part,
    /// with equal weights.
    fn draw_zone<'h>(
        &self,
        rng: &mut Pcg64Mcg,
        holders: &'h TargetsByZone,
        has_share: bool,
        excluded_zones: u128,
    ) -> Option<(u128, &'h [u32])> {
        let mut drawn = None;
        let mut total = 0;
        let mut bit = 1u128;
        for ZoneGroup { zone, slots } in &holders.groups {
            if bit == 0 {
                break;
            }
            let share = self.shares.get(usize::from(*zone)).copied();
            let share = share.unwrap_or(0);
            if (share > 0) == has_share && excluded_zones & bit == 0 {
                let weight = share.max(1);
                total += weight;
                if total == weight || rng.random_range(0..total) < weight {
                    drawn = Some((bit, slots.as_slice()));
                }
            }
            bit <<= 1;
        }
        drawn
    }

    /// Returns the target with the lower expected cost.
    fn lower_cost(&self, a: u32, b: u32) -> u32 {
        if a == b || self.options.mode == DispatchMode::Direct {
            return a;
        }
        let (x, y) = (self.target(a), self.target(b));
        let known = x.latency_us > 0 && y.latency_us > 0;
        let cost = |t: &TargetEntry, other: &TargetEntry| {
            let latency = if known { t.latency_us } else { 1 };
            // Compares (load + 1) / limit * latency without a division.
            (u128::from(t.load()) + 1)
                * u128::from(latency)
                * u128::from(other.limit.max(1))
        };
        if cost(y, x) < cost(x, y) { b } else { a }
    }

    fn target(&self, slot: u32) -> &TargetEntry {
        &self.table.targets[slot as usize]
    }
}

/// Returns whether a target is so much slower than another holder of the
/// shard that requests should go elsewhere. This has priority over zone
/// shares, because a slow replica would make every query of the shard slow.
fn is_outlier(t: &TargetEntry, lowest_us: u32) -> bool {
    lowest_us > 0
        && t.latency_us
            > lowest_us
                .saturating_mul(OUTLIER_FACTOR)
                .saturating_add(OUTLIER_MARGIN_US)
}

/// Returns two random eligible members of a group, or the same one twice if
/// there is only one.
fn sample_two(
    rng: &mut Pcg64Mcg,
    group: &[u32],
    is_eligible: &impl Fn(u32) -> bool,
) -> Option<(u32, u32)> {
    let n = group.len();
    if n == 1 {
        let slot = group[0];
        return is_eligible(slot).then_some((slot, slot));
    }
    let next_from =
        |at: usize| (at..n).chain(0..at).find(|&i| is_eligible(group[i]));
    let i = next_from(rng.random_range(0..n))?;
    let j = next_from((i + rng.random_range(1..n)) % n)?;
    Some((group[i], group[j]))
}
