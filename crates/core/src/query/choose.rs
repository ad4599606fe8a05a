/*!
Choice of a replica.

The order is: warm targets in a zone that has a share of the route, cold ones
with room, other usable ones, the same in zones without a share, and then the
floor. Zones that are out are in no index and are never seen here.
*/

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::{
    query::{
        index::{ByZone, Group, Holders},
        options::{DispatchMode, QueryOptions},
        table::{Table, Target},
    },
    time::Time,
};

/// A replica this many times slower than the fastest is an outlier.
const OUTLIER_FACTOR: u32 = 2;

/// Holders of a shard up to which their latencies are compared.
const MAX_COMPARED: usize = 8;

/// Added to the bound, so that the distance between zones (up to about 1 ms
/// one way) makes no outlier.
const OUTLIER_MARGIN_US: u32 = 2_000;

/// A chosen replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) slot: u32,
    /// Whether reports advise against it and nothing better exists.
    pub(crate) floor: bool,
}

/// What the replica is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The shard has no other request; any replica is better than none.
    Serve,
    /// A second request for a straggler; only unsaturated replicas.
    Hedge,
}

/// Chooses among the holders of one shard.
pub(crate) struct Chooser<'a> {
    pub(crate) table: &'a Table,
    pub(crate) shares: &'a [u32],
    pub(crate) options: &'a QueryOptions,
    pub(crate) now: Time,
}

impl Chooser<'_> {
    /// Chooses one of the holders, but none that `tried` returns true for.
    pub(crate) fn choose(
        &self,
        rng: &mut Pcg64Mcg,
        all: &Holders,
        purpose: Purpose,
        tried: impl Fn(u32) -> bool,
    ) -> Option<Choice> {
        let holders = &all.targets;
        let usable = |slot| (!tried(slot)).then(|| self.target(slot));
        if self.options.mode == DispatchMode::Direct {
            return self.direct(rng, holders, &tried);
        }
        let warm = |slot| {
            usable(slot).is_some_and(|t| {
                t.is_usable()
                    && !t.is_cold()
                    && (purpose == Purpose::Serve || t.has_room())
            })
        };
        let cold = |slot| {
            usable(slot)
                .is_some_and(|t| t.is_usable() && t.is_cold() && t.has_room())
        };
        let idle = |slot| cold(slot) && self.target(slot).load() == 0;
        let any = |slot| usable(slot).is_some_and(Target::is_usable);
        let normal = |slot| Some(Choice { slot, floor: false });
        let best = self.best_latency(holders);
        // Now and then a slow replica gets a request all the same, so that
        // its recovery is seen.
        let retry_slow = rng.random_range(0..100) < self.options.slow_percent;
        let fast = |slot| {
            warm(slot) && (retry_slow || !is_outlier(self.target(slot), best))
        };
        for shared in [true, false] {
            if shared
                && purpose == Purpose::Serve
                && !all.cold.is_empty()
                && rng.random_range(0..100) < self.options.cold_percent
                && let Some(slot) = self.pick(rng, &all.cold, shared, idle)
            {
                return normal(slot);
            }
            if let Some(slot) = self
                .pick(rng, holders, shared, fast)
                .or_else(|| self.pick(rng, holders, shared, warm))
                .or_else(|| self.pick(rng, &all.cold, shared, cold))
            {
                return normal(slot);
            }
            if purpose == Purpose::Serve
                && let Some(slot) = self.pick(rng, holders, shared, any)
            {
                return normal(slot);
            }
        }
        if purpose == Purpose::Hedge {
            return None;
        }
        self.floor(holders, tried).map(|slot| Choice { slot, floor: true })
    }

    /// Lowest latency that a usable holder of the shard reports, or 0 if
    /// there are many holders: the choice of the better of two then avoids a
    /// slow one at a cost that does not depend on their number.
    fn best_latency(&self, holders: &ByZone) -> u32 {
        let count: usize = holders.groups.iter().map(|g| g.slots.len()).sum();
        if count > MAX_COMPARED {
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

    /// The least bad of the replicas that reports advise against: one that
    /// is not leaving and has the least load, otherwise one that was
    /// reported as leaving only a short time ago.
    fn floor(
        &self,
        holders: &ByZone,
        tried: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        // Of two equals, the one in this zone saves a hop between zones.
        let by_load = |&slot: &u32| {
            let t = self.target(slot);
            (t.load(), Some(t.zone) != self.table.own_zone)
        };
        let left = || holders.slots().filter(|&s| !tried(s));
        let staying =
            |&slot: &u32| self.target(slot).leaving_since().is_none();
        let in_grace = |&slot: &u32| {
            self.target(slot).leaving_since().is_some_and(|since| {
                self.now.since(since) < self.options.leaving_grace
            })
        };
        left().filter(staying).min_by_key(by_load).or_else(|| {
            // A leaving target is used only if nobody else holds the shard.
            let only = holders.slots().all(|slot| !staying(&slot));
            left().filter(in_grace).min_by_key(by_load).filter(|_| only)
        })
    }

    fn direct(
        &self,
        rng: &mut Pcg64Mcg,
        holders: &ByZone,
        tried: &impl Fn(u32) -> bool,
    ) -> Option<Choice> {
        let free = |slot: u32| {
            !tried(slot) && self.target(slot).leaving_since().is_none()
        };
        let slot = self
            .pick(rng, holders, true, free)
            .or_else(|| self.pick(rng, holders, false, free))?;
        Some(Choice { slot, floor: false })
    }

    /// Chooses a zone by share among those with a suitable member, and then
    /// the better of two random members.
    ///
    /// A zone without a suitable member is found out only when it is drawn,
    /// and then drawn no more. This gives the same distribution as looking
    /// at every member of every zone and costs far less.
    fn pick(
        &self,
        rng: &mut Pcg64Mcg,
        holders: &ByZone,
        shared: bool,
        suits: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        let mut excluded = 0u128;
        loop {
            let (bit, group) =
                self.draw_zone(rng, holders, shared, excluded)?;
            if let Some((a, b)) = two_of(rng, group, &suits) {
                return Some(self.better(a, b));
            }
            excluded |= bit;
        }
    }

    /// Draws one zone by share, and the members that it has.
    fn draw_zone<'h>(
        &self,
        rng: &mut Pcg64Mcg,
        holders: &'h ByZone,
        shared: bool,
        excluded: u128,
    ) -> Option<(u128, &'h [u32])> {
        let mut drawn = None;
        let mut total = 0;
        let mut bit = 1u128;
        for Group { zone, slots } in &holders.groups {
            if bit == 0 {
                break;
            }
            let share = self.shares.get(usize::from(*zone)).copied();
            let share = share.unwrap_or(0);
            if (share > 0) == shared && excluded & bit == 0 {
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

    fn better(&self, a: u32, b: u32) -> u32 {
        if a == b || self.options.mode == DispatchMode::Direct {
            return a;
        }
        let (x, y) = (self.target(a), self.target(b));
        let known = x.latency_us > 0 && y.latency_us > 0;
        let cost = |t: &Target, other: &Target| {
            let latency = if known { t.latency_us } else { 1 };
            // Compares (load + 1) / limit * latency without a division.
            (u128::from(t.load()) + 1)
                * u128::from(latency)
                * u128::from(other.limit.max(1))
        };
        if cost(y, x) < cost(x, y) { b } else { a }
    }

    fn target(&self, slot: u32) -> &Target {
        &self.table.targets[slot as usize]
    }
}

/// Whether a target is so much slower than another holder of the shard that
/// requests should go elsewhere. Zone shares yield to that, because a slow
/// replica in a zone would make every query with the shard slow.
fn is_outlier(t: &Target, best_us: u32) -> bool {
    best_us > 0
        && t.latency_us
            > best_us
                .saturating_mul(OUTLIER_FACTOR)
                .saturating_add(OUTLIER_MARGIN_US)
}

/// Two random members that suit, the same twice if there is only one.
fn two_of(
    rng: &mut Pcg64Mcg,
    group: &[u32],
    suits: &impl Fn(u32) -> bool,
) -> Option<(u32, u32)> {
    let n = group.len();
    if n == 1 {
        let slot = group[0];
        return suits(slot).then_some((slot, slot));
    }
    let from =
        |start: usize| (start..n).chain(0..start).find(|&i| suits(group[i]));
    let i = from(rng.random_range(0..n))?;
    let j = from((i + rng.random_range(1..n)) % n)?;
    Some((group[i], group[j]))
}
