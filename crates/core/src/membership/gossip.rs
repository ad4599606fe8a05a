use std::collections::VecDeque;

use crate::{
    id::InstanceId,
    membership::{Member, table::Table},
};

/// Greatest number of updates that wait to be sent. What is dropped reaches
/// the others through the exchange by digest.
const MAX_QUEUED: usize = 1_024;

/// Updates that are piggybacked on messages, fewest transmissions first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    queue: VecDeque<(InstanceId, u32)>,
}

impl Gossip {
    /// Queues a changed record, in place of an older one of this member.
    pub(crate) fn push(&mut self, id: InstanceId) {
        self.queue.retain(|x| x.0 != id);
        self.queue.truncate(MAX_QUEUED - 1);
        self.queue.push_front((id, 0));
    }

    /// Takes up to `max` updates for one message, without those of `except`.
    pub(crate) fn take(
        &mut self,
        table: &Table,
        max: usize,
        limit: u32,
        except: &[InstanceId],
        updates: &mut Vec<Member>,
    ) {
        let mut taken = Vec::with_capacity(max);
        let mut at = 0;
        while taken.len() < max && at < self.queue.len() {
            if except.contains(&self.queue[at].0) {
                at += 1;
            } else if let Some(entry) = self.queue.remove(at) {
                taken.push(entry);
            }
        }
        for (id, sent) in taken {
            // A member that was forgotten in the meantime drops out here.
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
