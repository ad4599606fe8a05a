//! The tree along which large fleets pass on documents and confirmations.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::{ConfigVersion, InstanceId, ZoneId},
    membership::Member,
};

/// Returns the order of the instances in the tree for one version.
///
/// One instance of each zone comes first, so that a document reaches each
/// zone early. The version is part of the hash, so that the inner nodes differ
/// between versions and the load is not always on the same instances. Control
/// replicas are the roots and are not part of the order. Instances that know
/// different members compute different trees; an instance that is left out
/// pulls the document instead.
pub(crate) fn order(
    version: ConfigVersion,
    members: &[Member],
) -> Vec<InstanceId> {
    let mut ranked: Vec<(bool, u64, InstanceId, ZoneId)> = members
        .iter()
        .filter(|x| x.replica.is_none())
        .map(|x| {
            let weight = xxh3_64_with_seed(&x.id.0.to_le_bytes(), version.0);
            (true, weight, x.id, x.zone)
        })
        .collect();
    ranked.sort_unstable_by_key(|x| (x.3, x.1, x.2));
    let mut last = None;
    for entry in &mut ranked {
        if last.replace(entry.3) != Some(entry.3) {
            entry.0 = false;
        }
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|x| x.2).collect()
}

/// Returns the instances to which root number `root` of `roots` pushes, which
/// is its share of the first level.
pub(crate) fn root_children(
    order: &[InstanceId],
    fan_out: usize,
    root: usize,
    roots: usize,
) -> Vec<InstanceId> {
    let first = order.iter().take(fan_out);
    first.skip(root).step_by(roots.max(1)).copied().collect()
}

/// Returns the instances to which the instance `own_id` pushes.
pub(crate) fn children(
    order: &[InstanceId],
    fan_out: usize,
    own_id: InstanceId,
) -> &[InstanceId] {
    let Some(at) = order.iter().position(|x| *x == own_id) else { return &[] };
    let first = ((at + 1) * fan_out).min(order.len());
    &order[first..(first + fan_out).min(order.len())]
}

/// Number of members of a zone for each root, which answers four requests a
/// second of each of them.
const MEMBERS_PER_ROOT: usize = 16;

/// Instances of one zone in the order in which they pass confirmations on.
///
/// The first ones, the roots, ask the control replicas themselves, so that
/// only their requests leave the zone. The replicas of the zone come first,
/// because they ask the others in any case.
#[derive(Clone, Debug)]
pub(crate) struct ZoneTree {
    order: Vec<InstanceId>,
    roots: usize,
}

impl ZoneTree {
    /// Builds the tree of the zone of `own_id`. An instance that is not a
    /// member is its only root.
    pub(crate) fn new(own_id: InstanceId, members: &[Member]) -> ZoneTree {
        let own = members.binary_search_by_key(&own_id, |x| x.id);
        let zone = own.ok().map(|at| members[at].zone);
        let mut ranked: Vec<(bool, u64, InstanceId)> = members
            .iter()
            .filter(|x| Some(x.zone) == zone)
            .map(|x| {
                let weight = xxh3_64_with_seed(&x.id.0.to_le_bytes(), 0);
                (x.replica.is_none(), weight, x.id)
            })
            .collect();
        ranked.sort_unstable();
        // Replicas are roots, since they have to know a majority themselves.
        let replicas = ranked.iter().filter(|x| !x.0).count();
        let roots = ranked.len().div_ceil(MEMBERS_PER_ROOT).max(replicas);
        ZoneTree { order: ranked.into_iter().map(|x| x.2).collect(), roots }
    }

    /// Returns the instances that `own_id` asks for a relayed confirmation: its
    /// parent, and another instance of the parent's level, drawn with `random`,
    /// in case the parent has failed. Empty for the roots.
    pub(crate) fn sources(
        &self,
        fan_out: usize,
        own_id: InstanceId,
        random: usize,
    ) -> Vec<InstanceId> {
        let at = self.order.iter().position(|x| *x == own_id);
        let Some(at) = at.filter(|at| *at >= self.roots) else {
            return Vec::new();
        };
        // Levels grow by `fan_out`; a level's instances share the one before.
        let (mut first, mut width) = (0, self.roots);
        while at >= first + width + width * fan_out {
            (first, width) = (first + width, width * fan_out);
        }
        let parent = first + (at - first - width) % width;
        let alternate = first + random % width;
        vec![self.order[parent], self.order[alternate]]
    }
}
