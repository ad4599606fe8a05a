use crate::{
    id::InstanceId,
    membership::{Member, MemberState},
    time::Time,
};

/// What this instance knows about a member besides its record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Detail {
    /// When the state last changed here.
    pub(crate) since: Time,
    /// Incarnation that was marked as leaving on the platform's word.
    pub(crate) hinted: Option<u64>,
    /// Hints of the platform are ignored until then.
    pub(crate) hints_held_until: Time,
}

impl Detail {
    fn new(now: Time) -> Detail {
        Detail { since: now, hinted: None, hints_held_until: Time::ZERO }
    }
}

/// All known members, sorted by identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    members: Vec<Member>,
    details: Vec<Detail>,
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

    pub(crate) fn detail(&mut self, id: InstanceId) -> Option<&mut Detail> {
        self.position(id).ok().map(|at| &mut self.details[at])
    }

    /// Stores a record in place of any older one.
    pub(crate) fn put(&mut self, now: Time, member: Member) {
        match self.position(member.id) {
            Ok(at) => {
                if self.members[at].state != member.state {
                    self.details[at].since = now;
                }
                self.members[at] = member;
            }
            Err(at) => {
                self.members.insert(at, member);
                self.details.insert(at, Detail::new(now));
            }
        }
    }

    /// Removes members that have been dead since before `limit`.
    pub(crate) fn forget(&mut self, limit: Time) -> Vec<Member> {
        let expired = |member: &Member, detail: &Detail| {
            member.state == MemberState::Dead && detail.since < limit
        };
        let pairs = self.members.iter().zip(&self.details);
        let gone: Vec<Member> = pairs
            .filter(|(member, detail)| expired(member, detail))
            .map(|(member, _)| member.clone())
            .collect();
        if !gone.is_empty() {
            let keep = |id| gone.binary_search_by_key(&id, |x| x.id).is_err();
            let mut ids = self.members.iter().map(|x| x.id);
            self.details.retain(|_| ids.next().is_none_or(keep));
            self.members.retain(|x| keep(x.id));
        }
        gone
    }
}

/// Whether `new` replaces `old`: the higher incarnation wins, and within an
/// incarnation the state that is further from alive.
pub(crate) fn supersedes(new: &Member, old: &Member) -> bool {
    (new.incarnation, new.state) > (old.incarnation, old.state)
}
