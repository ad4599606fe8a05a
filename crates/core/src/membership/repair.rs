//! Anti-entropy: the periodic exchange that repairs differences between the
//! tables of two instances.

use rand::RngExt;

use super::reducer::Membership;
use crate::{
    id::InstanceId,
    membership::{
        Member, MemberState, Message,
        exchange::{bucket_hashes, bucket_of, digest},
        table::supersedes,
    },
    time::Time,
};

/// Maximum number of members in one answer to a `Difference` (about 25 KB).
const MAX_FULL_MEMBERS: usize = 256;

impl Membership {
    pub(super) fn on_buckets(&mut self, from: InstanceId, hashes: &[u32]) {
        let count = hashes.len();
        if !count.is_power_of_two() || count > usize::from(u16::MAX) {
            return;
        }
        let own = bucket_hashes(self.table.members(), count);
        // With a random start, later exchanges reach the remaining buckets
        // if more buckets differ than one exchange may repair.
        let first = self.rng.random_range(0..count);
        let buckets: Vec<u16> = (0..count)
            .map(|x| (first + x) % count)
            .filter(|&x| own[x] != hashes[x])
            .take(self.options.max_buckets)
            .map(|x| x as u16)
            .collect();
        if !buckets.is_empty() {
            let members = self.members_in_buckets(&buckets, count);
            let count = count as u16;
            let reply = true;
            self.send(
                from,
                Message::Difference { buckets, count, members, reply },
            );
        }
    }

    pub(super) fn members_in_buckets(
        &self,
        buckets: &[u16],
        count: usize,
    ) -> Vec<Member> {
        let in_bucket =
            |x: &&Member| buckets.contains(&(bucket_of(x.id, count) as u16));
        self.table.members().iter().filter(in_bucket).cloned().collect()
    }

    pub(super) fn on_difference(
        &mut self,
        now: Time,
        from: InstanceId,
        buckets: Vec<u16>,
        count: u16,
        members: Vec<Member>,
        reply: bool,
    ) {
        if reply && count.is_power_of_two() {
            let mut own = self.members_in_buckets(&buckets, count.into());
            own.retain(|x| match members.iter().find(|y| y.id == x.id) {
                Some(theirs) => supersedes(x, theirs),
                None => x.state != MemberState::Dead,
            });
            own.truncate(MAX_FULL_MEMBERS);
            self.merge(now, from, members);
            let reply = false;
            let members = own;
            self.send(
                from,
                Message::Difference { buckets, count, members, reply },
            );
        } else {
            self.merge(now, from, members);
        }
    }

    pub(super) fn send_digest(&mut self, id: InstanceId) {
        let (hash, count) = digest(self.table.members());
        self.send(id, Message::Digest { hash, count });
    }
}
