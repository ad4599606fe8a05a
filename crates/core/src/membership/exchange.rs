/*!
Digests of the member table, used to find differences between instances.
*/

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::InstanceId,
    membership::{Member, MemberState},
};

/// Average number of members in a bucket.
const MEMBERS_PER_BUCKET: usize = 16;

/// Maximum number of buckets; their hashes take about 1 KB.
const MAX_BUCKETS: usize = 256;

/// Returns the number of buckets for a table of `count` members, a power of
/// two.
pub(crate) fn bucket_count(count: usize) -> usize {
    let count = count.div_ceil(MEMBERS_PER_BUCKET).max(1);
    count.next_power_of_two().min(MAX_BUCKETS)
}

/// Returns the bucket of a member; `count`, the number of buckets, must be a
/// power of two.
pub(crate) fn bucket_of(id: InstanceId, count: usize) -> usize {
    (id.0 as usize) & (count - 1)
}

/// Returns the hash of a record. Dead members hash to zero, because instances
/// forget them at different times, which must not count as a difference.
fn record_hash(member: &Member) -> u64 {
    if member.state == MemberState::Dead {
        return 0;
    }
    let seed = member.incarnation.rotate_left(8) ^ member.state as u64;
    xxh3_64_with_seed(&member.id.0.to_le_bytes(), seed)
}

/// Returns the hash and the number of the members that are not dead.
pub(crate) fn digest(members: &[Member]) -> (u64, u32) {
    let hash = members.iter().fold(0, |hash, x| hash ^ record_hash(x));
    let live = members.iter().filter(|x| x.state != MemberState::Dead);
    (hash, live.count() as u32)
}

/// Returns the hash of each of `count` buckets.
pub(crate) fn bucket_hashes(members: &[Member], count: usize) -> Vec<u32> {
    let mut hashes = vec![0; count];
    for member in members {
        hashes[bucket_of(member.id, count)] ^= record_hash(member) as u32;
    }
    hashes
}
