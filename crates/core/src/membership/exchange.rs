use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::InstanceId,
    membership::{Member, MemberState},
};

/// Members in one bucket on average.
const BUCKET_MEMBERS: usize = 16;

/// Greatest number of buckets; their hashes take about 1 KB.
const MAX_BUCKETS: usize = 256;

/// Number of buckets into which a table of `count` members is split.
pub(crate) fn bucket_count(count: usize) -> usize {
    let wanted = count.div_ceil(BUCKET_MEMBERS).max(1);
    wanted.next_power_of_two().min(MAX_BUCKETS)
}

/// The bucket of a member among `count` buckets, a power of two.
pub(crate) fn bucket_of(id: InstanceId, count: usize) -> usize {
    (id.0 as usize) & (count - 1)
}

/// Hash of one record. Dead members hash to zero: instances forget them at
/// different times, and that must not look like a difference.
fn record_hash(member: &Member) -> u64 {
    if member.state == MemberState::Dead {
        return 0;
    }
    let seed = member.incarnation.rotate_left(8) ^ member.state as u64;
    xxh3_64_with_seed(&member.id.0.to_le_bytes(), seed)
}

/// Hash and number of the members that are not dead.
pub(crate) fn digest(members: &[Member]) -> (u64, u32) {
    let hash = members.iter().fold(0, |hash, x| hash ^ record_hash(x));
    let live = members.iter().filter(|x| x.state != MemberState::Dead);
    (hash, live.count() as u32)
}

/// Hash of each bucket.
pub(crate) fn bucket_hashes(members: &[Member], count: usize) -> Vec<u32> {
    let mut hashes = vec![0; count];
    for member in members {
        hashes[bucket_of(member.id, count)] ^= record_hash(member) as u32;
    }
    hashes
}
