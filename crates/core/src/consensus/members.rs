//! Membership changes, one at a time.

use super::{
    Consensus, MemberChange, Payload, Proposal, ProposeError, Replica, State,
    replication::Progress,
};
use crate::{
    consensus::ConsensusEffect, event::control as kinds, id::Token, time::Time,
};

impl Consensus {
    pub(super) fn change_members(
        &mut self,
        now: Time,
        token: Token,
        change: MemberChange,
    ) {
        let State::Leader(_) = &self.state else {
            let error = ProposeError::NotLeader(self.leader);
            self.effects.push(ConsensusEffect::Outcome(token, Err(error)));
            return;
        };
        match self.next_members(&change) {
            Ok(members) => {
                self.log_event(
                    &kinds::MEMBERS_PROPOSED,
                    format!(
                        "change={} index={}",
                        describe(&change),
                        self.log.last_index() + 1
                    ),
                );
                self.append_members(now, token, members);
            }
            Err(text) => {
                self.log_event(
                    &kinds::MEMBERS_REFUSED,
                    format!("change={} reason=\"{text}\"", describe(&change)),
                );
                let error = ProposeError::Rejected(text);
                self.effects.push(ConsensusEffect::Outcome(token, Err(error)));
            }
        }
    }

    /// Returns the members after a change.
    ///
    /// # Errors
    ///
    /// Returns the reason if the change is not allowed at present.
    fn next_members(
        &self,
        change: &MemberChange,
    ) -> Result<Vec<Replica>, String> {
        let State::Leader(leader) = &self.state else {
            return Err("this replica does not lead".into());
        };
        if self.commit < leader.term_start_index {
            return Err("the leader has not committed yet".into());
        }
        if self.log.members_index() > self.commit {
            return Err("another change of the members is running".into());
        }
        let mut members = self.log.members().to_vec();
        let find = |id| {
            members
                .binary_search_by_key(&id, |m: &Replica| m.id)
                .map_err(|_| format!("replica {id} is not a member"))
        };
        let since = leader.active_since(self.options.election_timeout_min);
        let is_active = |id| match leader.progress(id) {
            Some(p) => p.last_reply >= since,
            None => id == self.id,
        };
        match change {
            MemberChange::AddLearner(replica) => {
                let Err(at) =
                    members.binary_search_by_key(&replica.id, |m| m.id)
                else {
                    return Err(format!(
                        "replica {} is a member already",
                        replica.id
                    ));
                };
                let learner = Replica { voter: false, ..replica.clone() };
                members.insert(at, learner);
            }
            MemberChange::Promote(id) => {
                let at = find(*id)?;
                let lacks = leader.progress(*id).map_or(0, |p| {
                    self.log.last_index().saturating_sub(p.match_index)
                });
                if lacks > self.options.max_learner_lag || !is_active(*id) {
                    return Err(format!(
                        "replica {id} lacks {lacks} entries or is silent"
                    ));
                }
                members[at].voter = true;
            }
            MemberChange::Remove(id) => {
                let at = find(*id)?;
                members.remove(at);
            }
        }
        let voters = members.iter().filter(|m| m.voter).count();
        let active =
            members.iter().filter(|m| m.voter && is_active(m.id)).count();
        if active <= voters / 2 {
            return Err(format!(
                "only {active} of {voters} voters would be active"
            ));
        }
        Ok(members)
    }

    fn append_members(
        &mut self,
        now: Time,
        token: Token,
        members: Vec<Replica>,
    ) {
        let next = self.log.last_index() + 1;
        let State::Leader(leader) = &mut self.state else { return };
        leader.proposals.push_back(Proposal { token, index: next, bytes: 0 });
        for member in members.iter().filter(|m| m.id != self.id) {
            let found =
                leader.progress.binary_search_by_key(&member.id, |p| p.id);
            if let Err(at) = found {
                // A new member does not count as active before its first
                // reply.
                let mut p = Progress::new(member.id, next, Time::ZERO);
                p.last_progress = now;
                leader.progress.insert(at, p);
            }
        }
        self.append_local(now, Payload::Members(members));
        let State::Leader(leader) = &mut self.state else { return };
        let members = self.log.members();
        leader.progress.retain(|p| members.iter().any(|m| m.id == p.id));
    }

    /// Logs a membership change that has just been committed.
    pub(super) fn members_committed(&mut self) {
        let index = self.log.members_index();
        if index <= self.commit
            && index > self.applied
            && matches!(self.state, State::Leader(_))
        {
            self.log_event(
                &kinds::MEMBERS_CHANGED,
                format!("index={index} members={}", self.log.members().len()),
            );
        }
    }
}

impl Consensus {
    /// Steps down once the removal of this replica is committed. Until then a
    /// removed leader keeps leading.
    pub(super) fn leave_if_removed(&mut self, now: Time) {
        let members = self.log.members();
        if self.log.members_index() <= self.commit
            && !members.iter().any(|m| m.id == self.id)
            && matches!(self.state, State::Leader(_))
        {
            self.step_down(now, "removed from the group");
        }
    }
}

fn describe(change: &MemberChange) -> String {
    match change {
        MemberChange::AddLearner(r) => {
            format!("add_learner replica={} instance={}", r.id, r.name)
        }
        MemberChange::Promote(id) => format!("promote replica={id}"),
        MemberChange::Remove(id) => format!("remove replica={id}"),
    }
}
