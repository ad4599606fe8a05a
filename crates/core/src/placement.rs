/*!
Placement of targets on home instances by rendezvous hashing.

Every entry instance computes the same ranking from the same members, so the
instances need no agreed placement table. A membership change moves only the
targets of the instance that joined or left. The algorithm is highest random
weight hashing (Thaler and Ravishankar, 1998).
*/

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    config::{Configuration, Searcher},
    id::{InstanceId, ZoneId},
    membership::{Member, MemberState},
};

/// An instance that can be the home of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
}

/// Identifies a bundle of targets of one service and zone, the unit of
/// placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BundleKey(pub u64);

impl BundleKey {
    /// Returns the key of the bundle with the searcher at `position` among
    /// the searchers of `service` in `zone`.
    pub fn new(
        service: &str,
        zone: ZoneId,
        position: usize,
        bundle_size: u32,
    ) -> BundleKey {
        let bundle = position as u64 / u64::from(bundle_size.max(1));
        let seed = zone.0 ^ bundle.rotate_left(32);
        BundleKey(xxh3_64_with_seed(service.as_bytes(), seed))
    }
}

/// A searcher of the configuration and its bundle.
#[derive(Clone, Copy, Debug)]
pub struct BundledSearcher<'a> {
    /// The searcher.
    pub searcher: &'a Searcher,
    /// Position of the service in the configuration.
    pub service: usize,
    /// Position of the searcher in the service.
    pub position: usize,
    /// Availability zone of the searcher.
    pub zone: ZoneId,
    /// Bundle of the searcher.
    pub bundle: BundleKey,
}

/// Returns every searcher of a configuration with its bundle.
///
/// Roots and homes must agree on the homes of targets, so both must use this
/// function.
pub fn bundled_searchers(
    configuration: &Configuration,
) -> impl Iterator<Item = BundledSearcher<'_>> {
    let bundle_size = configuration.limits.bundle_size;
    configuration.services.iter().enumerate().flat_map(move |(i, service)| {
        let mut counts: Vec<(ZoneId, usize)> = Vec::new();
        let searchers = service.searchers.iter().enumerate();
        searchers.map(move |(position, searcher)| {
            let zone = searcher.zone();
            let in_zone = increment_count(&mut counts, zone);
            let bundle =
                BundleKey::new(&service.name, zone, in_zone, bundle_size);
            BundledSearcher { searcher, service: i, position, zone, bundle }
        })
    })
}

/// Increments the count of `zone` and returns its previous value.
fn increment_count(counts: &mut Vec<(ZoneId, usize)>, zone: ZoneId) -> usize {
    match counts.binary_search_by_key(&zone, |c| c.0) {
        Ok(i) => {
            counts[i].1 += 1;
            counts[i].1 - 1
        }
        Err(i) => {
            counts.insert(i, (zone, 1));
            0
        }
    }
}

/// Returns the home and the standby of a bundle.
///
/// Candidates in the bundle's own zone rank before all others, which avoids a
/// hop between zones.
pub fn rank(
    bundle: BundleKey,
    zone: ZoneId,
    candidates: &[Candidate],
) -> (Option<InstanceId>, Option<InstanceId>) {
    let mut first: Option<(bool, u64, InstanceId)> = None;
    let mut second = None;
    for candidate in candidates {
        let id = candidate.instance;
        let weight = weight(bundle, id);
        let entry = Some((candidate.zone == zone, weight, id));
        if entry > first {
            second = first;
            first = entry;
        } else if entry > second {
            second = entry;
        }
    }
    (first.map(|e| e.2), second.map(|e| e.2))
}

/// Returns the `count` instances with the highest rank for a bundle, highest
/// first.
pub fn highest_ranked(
    bundle: BundleKey,
    mut instances: Vec<InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    instances.sort_by_key(|&id| std::cmp::Reverse(weight(bundle, id)));
    instances.truncate(count);
    instances
}

fn weight(bundle: BundleKey, id: InstanceId) -> u64 {
    xxh3_64_with_seed(&id.0.to_le_bytes(), bundle.0)
}

/// Returns the instances that can be homes: the entry instances that are not
/// leaving.
///
/// Suspected members stay candidates, because most suspicions are refuted, and
/// moving a home away and back costs two warm-ups of its connections.
pub fn candidates(members: &[Member]) -> Vec<Candidate> {
    let eligible = |m: &&Member| m.entry && m.state < MemberState::Leaving;
    let eligible = members.iter().filter(eligible);
    eligible.map(|m| Candidate { instance: m.id, zone: m.zone }).collect()
}

/// Home and standby of one bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BundlePlacement {
    /// The bundle.
    pub bundle: BundleKey,
    /// Availability zone of the bundle's targets.
    pub zone: ZoneId,
    /// Instance to which requests for the bundle's targets are sent.
    pub home: Option<InstanceId>,
    /// Instance to which they are sent while the home does not answer.
    pub standby: Option<InstanceId>,
}

/// Homes and standbys of all bundles, updated incrementally when the
/// candidates change.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    candidates: Vec<Candidate>,
    /// Sorted by bundle.
    placed: Vec<BundlePlacement>,
}

impl Placement {
    /// Replaces the bundles and returns those whose home has changed.
    pub fn set_bundles(
        &mut self,
        bundles: impl IntoIterator<Item = (BundleKey, ZoneId)>,
    ) -> Vec<BundlePlacement> {
        let mut bundles: Vec<(BundleKey, ZoneId)> =
            bundles.into_iter().collect();
        bundles.sort_unstable();
        bundles.dedup_by_key(|b| b.0);
        let old = std::mem::take(&mut self.placed);
        let candidates = &self.candidates;
        self.placed = bundles
            .into_iter()
            .map(|(bundle, zone)| {
                let (home, standby) = rank(bundle, zone, candidates);
                BundlePlacement { bundle, zone, home, standby }
            })
            .collect();
        let old_home = |bundle| {
            let index = old.binary_search_by_key(&bundle, |p| p.bundle).ok();
            index.and_then(|index| old[index].home)
        };
        let moved =
            self.placed.iter().filter(|p| p.home != old_home(p.bundle));
        moved.copied().collect()
    }

    /// Replaces the candidates and returns the bundles whose home has changed.
    ///
    /// The cost for a bundle is proportional to the number of instances that
    /// were added or removed. All candidates are ranked again only for a
    /// bundle that has lost its home or standby.
    pub fn set_candidates(
        &mut self,
        mut candidates: Vec<Candidate>,
    ) -> Vec<BundlePlacement> {
        candidates.sort_unstable_by_key(|c| c.instance);
        let old = std::mem::replace(&mut self.candidates, candidates);
        let removed = difference(&old, &self.candidates);
        let added = difference(&self.candidates, &old);
        let mut moved = Vec::new();
        if removed.is_empty() && added.is_empty() {
            return moved;
        }
        let find = |id: InstanceId| {
            let index = old.binary_search_by_key(&id, |c| c.instance).ok();
            index.map(|index| old[index])
        };
        for placed in &mut self.placed {
            let ranked = [placed.home, placed.standby];
            let lost =
                removed.iter().any(|c| ranked.contains(&Some(c.instance)));
            let (home, standby) = if lost {
                rank(placed.bundle, placed.zone, &self.candidates)
            } else {
                let mut contenders = added.clone();
                contenders
                    .extend(ranked.into_iter().flatten().filter_map(find));
                rank(placed.bundle, placed.zone, &contenders)
            };
            placed.standby = standby;
            if placed.home != home {
                placed.home = home;
                moved.push(*placed);
            }
        }
        moved
    }

    /// Returns the home and standby of a bundle.
    pub fn get(&self, bundle: BundleKey) -> Option<&BundlePlacement> {
        let index = self.placed.binary_search_by_key(&bundle, |p| p.bundle);
        index.ok().map(|index| &self.placed[index])
    }

    /// Returns the placements of all bundles, sorted by bundle.
    pub fn placed(&self) -> &[BundlePlacement] {
        &self.placed
    }
}

/// Returns the candidates of `left` that `right` does not contain in the same
/// zone.
fn difference(left: &[Candidate], right: &[Candidate]) -> Vec<Candidate> {
    let absent = |l: &&Candidate| {
        let found = right.binary_search_by_key(&l.instance, |r| r.instance);
        found.is_err() || found.is_ok_and(|i| right[i].zone != l.zone)
    };
    left.iter().filter(absent).copied().collect()
}
