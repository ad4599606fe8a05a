/*!
Which targets hold which shard of which snapshot, for one route.

The index is kept up to date when reports change, so that planning a query
costs as much as the shards that it asks and not as much as the site.
*/

use std::cmp::Reverse;

use crate::snapshot::{Holding, Snapshot};

/// Largest shard count that is believed; a broken target must not make the
/// index allocate without bound.
pub(crate) const MAX_SHARDS: u32 = 65_536;

/// Which shards a query asks.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Asked<'a> {
    /// All of the snapshot.
    All,
    /// Those that the route names.
    List(&'a [u32]),
    /// The one that the hash of the key selects.
    One(u64),
}

/// The shard that the hash of a key selects.
pub(crate) fn one_shard(hash: u64, shard_count: u32) -> u32 {
    (hash % u64::from(shard_count.max(1))) as u32
}

/// Targets of one zone.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) zone: u16,
    /// Sorted.
    pub(crate) slots: Vec<u32>,
}

/// Targets grouped by zone, so that drawing a zone reads no target.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByZone {
    /// Sorted by zone; none is empty.
    pub(crate) groups: Vec<Group>,
}

impl ByZone {
    pub(crate) fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    pub(crate) fn slots(&self) -> impl Iterator<Item = u32> + '_ {
        self.groups.iter().flat_map(|g| g.slots.iter().copied())
    }

    /// Returns whether it was absent.
    fn insert(&mut self, (zone, slot): (u16, u32)) -> bool {
        let i = match self.groups.binary_search_by_key(&zone, |g| g.zone) {
            Ok(i) => i,
            Err(i) => {
                self.groups.insert(i, Group { zone, slots: Vec::new() });
                i
            }
        };
        let slots = &mut self.groups[i].slots;
        let place = slots.binary_search(&slot);
        if let Err(j) = place {
            slots.insert(j, slot);
        }
        place.is_err()
    }

    /// Returns whether it was present.
    fn remove(&mut self, (zone, slot): (u16, u32)) -> bool {
        let found = self.groups.binary_search_by_key(&zone, |g| g.zone);
        let Ok(i) = found else { return false };
        let slots = &mut self.groups[i].slots;
        let Ok(j) = slots.binary_search(&slot) else { return false };
        slots.remove(j);
        if slots.is_empty() {
            self.groups.remove(i);
        }
        true
    }
}

/// Targets that hold one shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holders {
    pub(crate) targets: ByZone,
    /// Those of them that are usable and cold.
    pub(crate) cold: ByZone,
    /// How many of them are usable.
    usable: u32,
}

/// Holders of a shard that nobody holds.
pub(crate) static NOBODY: Holders =
    Holders { targets: EMPTY, cold: EMPTY, usable: 0 };

const EMPTY: ByZone = ByZone { groups: Vec::new() };

/// What reports say about a target, as far as the index depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Condition {
    pub(crate) usable: bool,
    /// Usable and cold.
    pub(crate) cold: bool,
}

/// One snapshot as the targets of a route hold it. Targets that disagree on
/// the shard count are indexed apart, because their shard numbers mean
/// different documents.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotIndex {
    pub(crate) snapshot: Snapshot,
    pub(crate) shard_count: u32,
    shards: Vec<Holders>,
    holders: usize,
    /// Shards with a usable target.
    usable: u32,
}

impl SnapshotIndex {
    fn key(&self) -> Reverse<(Snapshot, u32)> {
        Reverse((self.snapshot, self.shard_count))
    }

    /// Targets that hold the shard.
    pub(crate) fn holders(&self, shard: u32) -> &Holders {
        self.shards.get(shard as usize).unwrap_or(&NOBODY)
    }

    /// Number of shards asked, and of those with a usable target.
    pub(crate) fn coverage(&self, asked: Asked<'_>) -> (u32, u32) {
        let usable = |&shard: &u32| {
            self.shards.get(shard as usize).is_some_and(|x| x.usable > 0)
        };
        match asked {
            Asked::All => (self.shard_count, self.usable),
            Asked::List(list) => {
                let count = list.iter().filter(|x| usable(x)).count();
                (list.len() as u32, count as u32)
            }
            Asked::One(hash) => {
                let shard = one_shard(hash, self.shard_count);
                (1, u32::from(usable(&shard)))
            }
        }
    }
}

/// Snapshots of a route, newest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteIndex {
    pub(crate) snapshots: Vec<SnapshotIndex>,
}

impl RouteIndex {
    /// Adds a target to the holders of a shard.
    pub(crate) fn insert(
        &mut self,
        h: &Holding,
        at: (u16, u32),
        is: Condition,
    ) {
        if h.shard_count > MAX_SHARDS || h.shard >= h.shard_count {
            return;
        }
        let key = Reverse((h.snapshot, h.shard_count));
        let i = match self.snapshots.binary_search_by_key(&key, |x| x.key()) {
            Ok(i) => i,
            Err(i) => {
                let entry = SnapshotIndex {
                    snapshot: h.snapshot,
                    shard_count: h.shard_count,
                    shards: Vec::new(),
                    holders: 0,
                    usable: 0,
                };
                self.snapshots.insert(i, entry);
                i
            }
        };
        let index = &mut self.snapshots[i];
        let shard = h.shard as usize;
        if index.shards.len() <= shard {
            index.shards.resize_with(shard + 1, Holders::default);
        }
        let holders = &mut index.shards[shard];
        if holders.targets.insert(at) {
            index.holders += 1;
            if is.cold {
                holders.cold.insert(at);
            }
            if is.usable {
                holders.usable += 1;
                index.usable += u32::from(holders.usable == 1);
            }
        }
    }

    /// Removes a target from the holders of a shard.
    pub(crate) fn remove(
        &mut self,
        h: &Holding,
        at: (u16, u32),
        is: Condition,
    ) {
        let key = Reverse((h.snapshot, h.shard_count));
        let found = self.snapshots.binary_search_by_key(&key, |x| x.key());
        let Ok(i) = found else { return };
        let index = &mut self.snapshots[i];
        let Some(holders) = index.shards.get_mut(h.shard as usize) else {
            return;
        };
        if holders.targets.remove(at) {
            index.holders -= 1;
            if is.cold {
                holders.cold.remove(at);
            }
            if is.usable {
                holders.usable -= 1;
                index.usable -= u32::from(holders.usable == 0);
            }
        }
        if index.holders == 0 {
            self.snapshots.remove(i);
        }
    }

    /// The index of a snapshot.
    pub(crate) fn find(
        &self,
        snapshot: Snapshot,
        shard_count: u32,
    ) -> Option<&SnapshotIndex> {
        let key = Reverse((snapshot, shard_count));
        let found = self.snapshots.binary_search_by_key(&key, |x| x.key());
        Some(&self.snapshots[found.ok()?])
    }

    /// The newest snapshot of which every asked shard has a usable target;
    /// otherwise the one with the largest part of the asked shards, and of
    /// those the newest. Returns its position and the coverage.
    pub(crate) fn best(
        &self,
        asked: Asked<'_>,
        not: Option<(Snapshot, u32)>,
    ) -> Option<(usize, (u32, u32))> {
        let mut best: Option<(usize, (u32, u32))> = None;
        for (i, x) in self.snapshots.iter().enumerate() {
            if not == Some((x.snapshot, x.shard_count)) {
                continue;
            }
            let (total, usable) = x.coverage(asked);
            if usable == total {
                return Some((i, (total, usable)));
            }
            let better = best.is_none_or(|(_, (t, u))| {
                u64::from(usable) * u64::from(t)
                    > u64::from(u) * u64::from(total)
            });
            if better {
                best = Some((i, (total, usable)));
            }
        }
        best
    }
}
