/*!
Homes of targets by rendezvous hashing.

Every entry instance computes the same ranking from the same members, so no
table has to be agreed on, and a change of the fleet moves only the targets
of the instance that changed. The algorithm is highest random weight hashing
(Thaler and Ravishankar, 1998).
*/

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{InstanceId, ZoneId};

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
        let weight = xxh3_64_with_seed(&id.0.to_le_bytes(), bundle.0);
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
