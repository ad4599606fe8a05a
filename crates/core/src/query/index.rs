/*!
Index from snapshot and shard to the targets that hold it, for one route.

The index is updated when reports change, so that the cost of planning a query
grows with the number of shards that it asks for and not with the number of
targets.
*/

use std::cmp::Reverse;

use crate::snapshot::{Holding, Snapshot};

/// Largest shard count that is accepted, so that a faulty target cannot make
/// the index allocate without bound.
pub(crate) const MAX_SHARDS: u32 = 65_536;

/// The shards of a snapshot that a query asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ShardSet<'a> {
    /// All shards of the snapshot.
    All,
    /// The shards that the route lists.
    List(&'a [u32]),
    /// The shard that this hash of the caller's key selects.
    One(u64),
}

/// Returns the shard that the hash of a key selects.
pub(crate) fn shard_of(hash: u64, shard_count: u32) -> u32 {
    (hash % u64::from(shard_count.max(1))) as u32
}

/// Targets in one zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneGroup {
    /// Index of the zone in the configuration.
    pub(crate) zone: u16,
    /// Indices in the routing table, sorted.
    pub(crate) slots: Vec<u32>,
}

/// Targets grouped by zone, so that a zone can be drawn without reading its
/// targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetsByZone {
    /// Groups sorted by zone; no group is empty.
    pub(crate) groups: Vec<ZoneGroup>,
}

impl TargetsByZone {
    pub(crate) fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    pub(crate) fn slots(&self) -> impl Iterator<Item = u32> + '_ {
        self.groups.iter().flat_map(|g| g.slots.iter().copied())
    }

    /// Adds a target. Returns false if it was present already.
    fn insert(&mut self, (zone, slot): (u16, u32)) -> bool {
        let i = match self.groups.binary_search_by_key(&zone, |g| g.zone) {
            Ok(i) => i,
            Err(i) => {
                self.groups.insert(i, ZoneGroup { zone, slots: Vec::new() });
                i
            }
        };
        let slots = &mut self.groups[i].slots;
        let found = slots.binary_search(&slot);
        if let Err(j) = found {
            slots.insert(j, slot);
        }
        found.is_err()
    }

    /// Removes a target. Returns false if it was absent.
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
    pub(crate) targets: TargetsByZone,
    /// The holders that are usable and cold.
    pub(crate) cold: TargetsByZone,
    /// Number of usable holders.
    usable: u32,
}

/// The holders of a shard that no target holds.
pub(crate) static NO_HOLDERS: Holders =
    Holders { targets: NO_TARGETS, cold: NO_TARGETS, usable: 0 };

const NO_TARGETS: TargetsByZone = TargetsByZone { groups: Vec::new() };

/// The part of a target's reported state that the index depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Condition {
    pub(crate) usable: bool,
    /// Usable and cold.
    pub(crate) cold: bool,
}

/// Holders of the shards of one snapshot. Targets that report different shard
/// counts for a snapshot are indexed separately, because their shard numbers
/// mean different documents.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotIndex {
    pub(crate) snapshot: Snapshot,
    pub(crate) shard_count: u32,
    shards: Vec<Holders>,
    /// Number of pairs of a shard and a target that holds it.
    holder_count: usize,
    /// Number of shards with a usable target.
    usable: u32,
}

impl SnapshotIndex {
    /// Returns the sort key; the newest snapshot comes first.
    fn key(&self) -> Reverse<(Snapshot, u32)> {
        Reverse((self.snapshot, self.shard_count))
    }

    /// Returns the targets that hold a shard.
    pub(crate) fn holders(&self, shard: u32) -> &Holders {
        self.shards.get(shard as usize).unwrap_or(&NO_HOLDERS)
    }

    /// Returns the number of selected shards, and of those with a usable
    /// target.
    pub(crate) fn coverage(&self, set: ShardSet<'_>) -> (u32, u32) {
        let usable = |&shard: &u32| {
            self.shards.get(shard as usize).is_some_and(|x| x.usable > 0)
        };
        match set {
            ShardSet::All => (self.shard_count, self.usable),
            ShardSet::List(list) => {
                let count = list.iter().filter(|x| usable(x)).count();
                (list.len() as u32, count as u32)
            }
            ShardSet::One(hash) => {
                let shard = shard_of(hash, self.shard_count);
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
        target: (u16, u32),
        condition: Condition,
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
                    holder_count: 0,
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
        if holders.targets.insert(target) {
            index.holder_count += 1;
            if condition.cold {
                holders.cold.insert(target);
            }
            if condition.usable {
                holders.usable += 1;
                index.usable += u32::from(holders.usable == 1);
            }
        }
    }

    /// Removes a target from the holders of a shard.
    pub(crate) fn remove(
        &mut self,
        h: &Holding,
        target: (u16, u32),
        condition: Condition,
    ) {
        let key = Reverse((h.snapshot, h.shard_count));
        let found = self.snapshots.binary_search_by_key(&key, |x| x.key());
        let Ok(i) = found else { return };
        let index = &mut self.snapshots[i];
        let Some(holders) = index.shards.get_mut(h.shard as usize) else {
            return;
        };
        if holders.targets.remove(target) {
            index.holder_count -= 1;
            if condition.cold {
                holders.cold.remove(target);
            }
            if condition.usable {
                holders.usable -= 1;
                index.usable -= u32::from(holders.usable == 0);
            }
        }
        if index.holder_count == 0 {
            self.snapshots.remove(i);
        }
    }

    /// Returns the index of a snapshot.
    pub(crate) fn find(
        &self,
        snapshot: Snapshot,
        shard_count: u32,
    ) -> Option<&SnapshotIndex> {
        let key = Reverse((snapshot, shard_count));
        let found = self.snapshots.binary_search_by_key(&key, |x| x.key());
        Some(&self.snapshots[found.ok()?])
    }

    /// Returns the position and the coverage of the newest snapshot of which
    /// every selected shard has a usable target. If there is none, returns
    /// those of the snapshot in which the largest part of the selected shards
    /// has one, and the newest of several such. `exclude` is never returned.
    pub(crate) fn best(
        &self,
        set: ShardSet<'_>,
        exclude: Option<(Snapshot, u32)>,
    ) -> Option<(usize, (u32, u32))> {
        let mut best: Option<(usize, (u32, u32))> = None;
        for (i, x) in self.snapshots.iter().enumerate() {
            if exclude == Some((x.snapshot, x.shard_count)) {
                continue;
            }
            let (total, usable) = x.coverage(set);
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
