/*!
The member table of an instance.
*/

use crate::{
    id::InstanceId,
    membership::{Member, MemberState},
    time::Time,
};

/// Local state of a member, which is not sent to other instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalState {
    /// When this instance last saw the state of the member change.
    pub(crate) state_since: Time,
    /// Incarnation that was marked as leaving because of the platform's list.
    pub(crate) hinted_incarnation: Option<u64>,
    /// Time until which the platform's list is ignored for this member.
    pub(crate) ignore_hints_until: Time,
}

impl LocalState {
    fn new(now: Time) -> LocalState {
        LocalState {
            state_since: now,
            hinted_incarnation: None,
            ignore_hints_until: Time::ZERO,
        }
    }
}

/// All known members, sorted by identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    members: Vec<Member>,
    /// Local states, in the order of `members`.
    local_states: Vec<LocalState>,
}

impl Table {
    pub(crate) fn members(&self) -> &[Member] {
        &self.members
    }

    fn position(&self, id: InstanceId) -> Result<usize, usize> {
        self.members.binary_search_by_key(&id, |x| x.id)
    }

    pub(crate) fn get(&self, id: InstanceId) -> Option<&Member> {
        self.position(id).ok().map(|at| &self.members[at])
    }

    pub(crate) fn local_state_mut(
        &mut self,
        id: InstanceId,
    ) -> Option<&mut LocalState> {
        self.position(id).ok().map(|at| &mut self.local_states[at])
    }

    /// Inserts a record or replaces the record of the same member.
    pub(crate) fn put(&mut self, now: Time, member: Member) {
        match self.position(member.id) {
            Ok(at) => {
                if self.members[at].state != member.state {
                    self.local_states[at].state_since = now;
                }
                self.members[at] = member;
            }
            Err(at) => {
                self.members.insert(at, member);
                self.local_states.insert(at, LocalState::new(now));
            }
        }
    }

    /// Removes and returns members that have been dead since before `limit`.
    pub(crate) fn forget(&mut self, limit: Time) -> Vec<Member> {
        let expired = |member: &Member, local_state: &LocalState| {
            member.state == MemberState::Dead
                && local_state.state_since < limit
        };
        let pairs = self.members.iter().zip(&self.local_states);
        let removed: Vec<Member> = pairs
            .filter(|(member, local_state)| expired(member, local_state))
            .map(|(member, _)| member.clone())
            .collect();
        if !removed.is_empty() {
            let keep =
                |id| removed.binary_search_by_key(&id, |x| x.id).is_err();
            let mut ids = self.members.iter().map(|x| x.id);
            self.local_states.retain(|_| ids.next().is_none_or(keep));
            self.members.retain(|x| keep(x.id));
        }
        removed
    }
}

/// Whether `new` replaces `old`: the higher incarnation takes precedence, and
/// within an incarnation the state that is further from alive, in the order of
/// `MemberState`.
pub(crate) fn supersedes(new: &Member, old: &Member) -> bool {
    (new.incarnation, new.state) > (old.incarnation, old.state)
}
