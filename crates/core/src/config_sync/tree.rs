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

/// Returns the instances that `own_id` asks for a relayed confirmation: its
/// parent, and another instance of the parent's level, drawn with `random`, in
/// case the parent has failed. Empty for the instances that ask the control
/// replicas themselves.
pub(crate) fn confirmation_sources(
    order: &[InstanceId],
    fan_out: usize,
    own_id: InstanceId,
    random: usize,
) -> Vec<InstanceId> {
    let Some(at) = order.iter().position(|x| *x == own_id) else {
        return Vec::new();
    };
    if at < fan_out {
        return Vec::new();
    }
    // The parent of position `p` is at `p / fan_out - 1`.
    let parent = at / fan_out - 1;
    let (mut first, mut end) = (0, fan_out);
    while end <= parent {
        (first, end) = (end, (end + 1) * fan_out);
    }
    let alternate = first + random % (end - first);
    vec![order[parent], order[alternate]]
}
