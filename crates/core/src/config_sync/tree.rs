use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::{ConfigVersion, InstanceId, ZoneId},
    membership::Member,
};

/// Order of the instances in the tree for one version.
///
/// One head of each zone comes first, so that a document crosses to a zone
/// early. The version is part of the hash, so that the inner nodes differ
/// from version to version and no instance always carries the load. Control
/// replicas are the roots and are left out. Instances that know different
/// members compute different trees; who is missed pulls the document.
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

/// Those to whom the root with number `root` of `roots` pushes: its share of
/// the first level.
pub(crate) fn root_children(
    order: &[InstanceId],
    fan_out: usize,
    root: usize,
    roots: usize,
) -> Vec<InstanceId> {
    let first = order.iter().take(fan_out);
    first.skip(root).step_by(roots.max(1)).copied().collect()
}

/// Those to whom the instance `me` pushes on.
pub(crate) fn children(
    order: &[InstanceId],
    fan_out: usize,
    me: InstanceId,
) -> &[InstanceId] {
    let Some(at) = order.iter().position(|x| *x == me) else { return &[] };
    let first = ((at + 1) * fan_out).min(order.len());
    &order[first..(first + fan_out).min(order.len())]
}

/// Those whom `me` asks for confirmation besides the control replicas: its
/// parent, and another one of the parent's level in case the parent is gone.
/// Empty for the instances that ask the control replicas themselves.
pub(crate) fn confirmers(
    order: &[InstanceId],
    fan_out: usize,
    me: InstanceId,
    draw: usize,
) -> Vec<InstanceId> {
    let Some(at) = order.iter().position(|x| *x == me) else {
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
    let other = first + draw % (end - first);
    vec![order[parent], order[other]]
}
