/*!
Homes of targets by rendezvous hashing.

Every entry instance computes the same ranking from the same members, so no
table has to be agreed on, and a change of the fleet moves only the targets
of the instance that changed. The algorithm is highest random weight hashing
(Thaler and Ravishankar, 1998).
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
    /// Its availability zone.
    pub zone: ZoneId,
}

/// What is placed: a bundle of targets of one service and zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BundleKey(pub u64);

impl BundleKey {
    /// The key of the bundle that holds the searcher at `position` among the
    /// searchers of `service` in `zone`.
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

/// A searcher of the configuration with the bundle that it is in.
#[derive(Clone, Copy, Debug)]
pub struct BundledSearcher<'a> {
    /// The searcher.
    pub searcher: &'a Searcher,
    /// Position of its service in the configuration.
    pub service: usize,
    /// Its position in the service.
    pub position: usize,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its bundle.
    pub bundle: BundleKey,
}

/// Assigns every searcher of a configuration to its bundle.
///
/// Roots and homes have to agree on the homes of targets, so both use this
/// and nothing else.
pub fn bundled_searchers(
    configuration: &Configuration,
) -> impl Iterator<Item = BundledSearcher<'_>> {
    let bundle_size = configuration.limits.bundle_size;
    configuration.services.iter().enumerate().flat_map(move |(i, service)| {
        let mut counts: Vec<(ZoneId, usize)> = Vec::new();
        let searchers = service.searchers.iter().enumerate();
        searchers.map(move |(position, searcher)| {
            let zone = searcher.zone();
            let earlier = count_one(&mut counts, zone);
            let bundle =
                BundleKey::new(&service.name, zone, earlier, bundle_size);
            BundledSearcher { searcher, service: i, position, zone, bundle }
        })
    })
}

/// Counts a searcher of `zone`; returns how many were counted before.
fn count_one(counts: &mut Vec<(ZoneId, usize)>, zone: ZoneId) -> usize {
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
/// Candidates in the bundle's own zone rank before all others, which saves
/// the hop between zones.
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
    (first.map(|x| x.2), second.map(|x| x.2))
}

/// The `count` instances that rank first for a bundle, in that order.
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

/// The instances that can be homes: entry instances that do not leave.
///
/// Suspects stay candidates, because most suspicions are refuted and a home
/// that moves there and back costs two warm-ups of its connections.
pub fn candidates(members: &[Member]) -> Vec<Candidate> {
    let can = |x: &&Member| x.entry && x.state < MemberState::Leaving;
    let usable = members.iter().filter(can);
    usable.map(|x| Candidate { instance: x.id, zone: x.zone }).collect()
}

/// Home and standby of one bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BundlePlacement {
    /// The bundle.
    pub bundle: BundleKey,
    /// The zone of its targets.
    pub zone: ZoneId,
    /// Where requests for its targets go.
    pub home: Option<InstanceId>,
    /// Where they go while the home does not answer.
    pub standby: Option<InstanceId>,
}

/// Homes and standbys of all bundles, kept up to date with the candidates.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    candidates: Vec<Candidate>,
    /// Sorted by bundle.
    placed: Vec<BundlePlacement>,
}

impl Placement {
    /// Replaces the bundles; returns those whose home differs from before.
    pub fn set_bundles(
        &mut self,
        bundles: impl IntoIterator<Item = (BundleKey, ZoneId)>,
    ) -> Vec<BundlePlacement> {
        let mut bundles: Vec<(BundleKey, ZoneId)> =
            bundles.into_iter().collect();
        bundles.sort_unstable();
        bundles.dedup_by_key(|x| x.0);
        let old = std::mem::take(&mut self.placed);
        let candidates = &self.candidates;
        self.placed = bundles
            .into_iter()
            .map(|(bundle, zone)| {
                let (home, standby) = rank(bundle, zone, candidates);
                BundlePlacement { bundle, zone, home, standby }
            })
            .collect();
        let before = |bundle| {
            let at = old.binary_search_by_key(&bundle, |x| x.bundle).ok();
            at.and_then(|at| old[at].home)
        };
        let moved = self.placed.iter().filter(|x| x.home != before(x.bundle));
        moved.copied().collect()
    }

    /// Replaces the candidates; returns the bundles whose home has moved.
    ///
    /// The cost for a bundle is the number of instances that came or went. A
    /// bundle is ranked anew among all candidates only if it has lost its
    /// home or standby.
    pub fn set_candidates(
        &mut self,
        mut candidates: Vec<Candidate>,
    ) -> Vec<BundlePlacement> {
        candidates.sort_unstable_by_key(|x| x.instance);
        let old = std::mem::replace(&mut self.candidates, candidates);
        let lost = difference(&old, &self.candidates);
        let new = difference(&self.candidates, &old);
        let mut moved = Vec::new();
        if lost.is_empty() && new.is_empty() {
            return moved;
        }
        let find = |id: InstanceId| {
            let at = old.binary_search_by_key(&id, |x| x.instance).ok();
            at.map(|at| old[at])
        };
        for placed in &mut self.placed {
            let held = [placed.home, placed.standby];
            let broken = lost.iter().any(|x| held.contains(&Some(x.instance)));
            let (home, standby) = if broken {
                rank(placed.bundle, placed.zone, &self.candidates)
            } else {
                let mut few = new.clone();
                few.extend(held.into_iter().flatten().filter_map(find));
                rank(placed.bundle, placed.zone, &few)
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
        let at = self.placed.binary_search_by_key(&bundle, |x| x.bundle);
        at.ok().map(|at| &self.placed[at])
    }

    /// All bundles, sorted.
    pub fn placed(&self) -> &[BundlePlacement] {
        &self.placed
    }
}

/// The candidates of `left` that are not in `right` in the same zone.
fn difference(left: &[Candidate], right: &[Candidate]) -> Vec<Candidate> {
    let absent = |x: &&Candidate| {
        let at = right.binary_search_by_key(&x.instance, |y| y.instance);
        at.is_err() || at.is_ok_and(|at| right[at].zone != x.zone)
    };
    left.iter().filter(absent).copied().collect()
}
