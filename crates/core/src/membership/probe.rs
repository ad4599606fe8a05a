use rand::seq::SliceRandom;
use rand_pcg::Pcg32;

use crate::{
    id::InstanceId,
    membership::{Member, MemberState},
    time::Time,
};

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: InstanceId,
    pub(crate) sequence: u64,
    pub(crate) deadline: Time,
    /// Members that were asked to probe; empty during the direct phase.
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

/// Round-robin over a random order, shuffled again after each round, so that
/// the time until a member is probed is bounded and no two instances probe
/// in step.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeOrder {
    /// The rest of this round; the last one is next.
    rest: Vec<InstanceId>,
}

impl ProbeOrder {
    /// Returns the next member to probe.
    pub(crate) fn next(
        &mut self,
        me: InstanceId,
        members: &[Member],
        rng: &mut Pcg32,
    ) -> Option<InstanceId> {
        let live = |id: InstanceId| {
            members
                .binary_search_by_key(&id, |x| x.id)
                .is_ok_and(|at| members[at].state != MemberState::Dead)
        };
        for _ in 0..2 {
            while let Some(id) = self.rest.pop() {
                if live(id) {
                    return Some(id);
                }
            }
            let others = members
                .iter()
                .filter(|x| x.id != me && x.state != MemberState::Dead);
            self.rest.extend(others.map(|x| x.id));
            self.rest.shuffle(rng);
        }
        None
    }
}
