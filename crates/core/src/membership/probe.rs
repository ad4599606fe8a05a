/*!
Probes in flight and the order in which members are probed.
*/

use rand::seq::SliceRandom;
use rand_pcg::Pcg32;

use crate::{
    id::InstanceId,
    membership::{Member, MemberState},
    time::Time,
};

/// A probe that awaits its answer.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: InstanceId,
    pub(crate) sequence: u64,
    pub(crate) deadline: Time,
    /// Members that were asked to probe indirectly; empty during the direct
    /// phase.
    pub(crate) helpers: Vec<InstanceId>,
    pub(crate) indirect: bool,
}

/// A probe on behalf of another instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    pub(crate) requester: InstanceId,
    pub(crate) requester_sequence: u64,
    pub(crate) target: InstanceId,
    pub(crate) sequence: u64,
    pub(crate) expires: Time,
}

/// Round-robin over the members in a random order, which is shuffled again
/// after each round. This bounds the time until each member is probed, and
/// keeps instances from probing the same members at the same time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeOrder {
    /// Members not yet probed in this round; the last one is next.
    remaining: Vec<InstanceId>,
}

impl ProbeOrder {
    /// Returns the next member to probe.
    pub(crate) fn next(
        &mut self,
        own_id: InstanceId,
        members: &[Member],
        rng: &mut Pcg32,
    ) -> Option<InstanceId> {
        let live = |id: InstanceId| {
            members
                .binary_search_by_key(&id, |x| x.id)
                .is_ok_and(|at| members[at].state != MemberState::Dead)
        };
        for _ in 0..2 {
            while let Some(id) = self.remaining.pop() {
                if live(id) {
                    return Some(id);
                }
            }
            let others = members
                .iter()
                .filter(|x| x.id != own_id && x.state != MemberState::Dead);
            self.remaining.extend(others.map(|x| x.id));
            self.remaining.shuffle(rng);
        }
        None
    }
}
