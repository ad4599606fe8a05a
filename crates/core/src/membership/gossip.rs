/*!
Queue of updates that are piggybacked on other messages.
*/

use std::collections::VecDeque;

use crate::{
    id::InstanceId,
    membership::{Member, table::Table},
};

/// Maximum number of queued updates. Dropped updates reach the other members
/// through the periodic digest exchange.
const MAX_QUEUED_UPDATES: usize = 1_024;

/// Members whose records are to be sent, with the number of transmissions,
/// fewest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    queue: VecDeque<(InstanceId, u32)>,
}

impl Gossip {
    /// Queues the changed record of a member and resets its transmissions.
    pub(crate) fn push(&mut self, id: InstanceId) {
        self.queue.retain(|x| x.0 != id);
        self.queue.truncate(MAX_QUEUED_UPDATES - 1);
        self.queue.push_front((id, 0));
    }

    /// Appends up to `max` queued records to `updates`, except those of the
    /// members in `exclude`. A record is dropped after `limit` transmissions.
    pub(crate) fn take(
        &mut self,
        table: &Table,
        max: usize,
        limit: u32,
        exclude: &[InstanceId],
        updates: &mut Vec<Member>,
    ) {
        let mut taken = Vec::with_capacity(max);
        let mut at = 0;
        while taken.len() < max && at < self.queue.len() {
            if exclude.contains(&self.queue[at].0) {
                at += 1;
            } else if let Some(entry) = self.queue.remove(at) {
                taken.push(entry);
            }
        }
        for (id, sent) in taken {
            // Members that were forgotten in the meantime are dropped.
            let Some(member) = table.get(id) else { continue };
            updates.push(member.clone());
            let sent = sent + 1;
            if sent < limit {
                let after = self.queue.partition_point(|x| x.1 <= sent);
                self.queue.insert(after, (id, sent));
            }
        }
    }
}
