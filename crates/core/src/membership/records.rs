//! Membership records: applying, refuting and disseminating them.

use std::time::Duration;

use rand::{RngExt, seq::SliceRandom};

use super::reducer::{Membership, Suspicion};
use crate::{
    event::membership as log,
    id::InstanceId,
    membership::{
        Member, MemberState, MembershipEffect, Message, table::supersedes,
    },
    time::Time,
};

/// Largest table whose members are sampled by a shuffle. Larger tables are
/// sampled by random draws.
const MAX_SHUFFLED_MEMBERS: usize = 64;

impl Membership {
    /// Applies the records in a message from `from`.
    pub(super) fn merge(
        &mut self,
        now: Time,
        from: InstanceId,
        records: Vec<Member>,
    ) {
        let absent_or_dead = |x: Option<&Member>| {
            x.is_none_or(|x| x.state == MemberState::Dead)
        };
        let was_dead = absent_or_dead(self.table.get(from));
        // Records of a bulk exchange are new to this instance only, so they
        // are not disseminated further.
        let propagate = records.len() <= self.options.max_updates + 2;
        for record in records {
            if record.id == self.own_id {
                self.refute(now, from, record);
            } else {
                self.apply_record(now, record, propagate);
            }
        }
        if was_dead && !absent_or_dead(self.table.get(from)) {
            // After a partition has healed, the other side differs in more
            // than its own record.
            self.send_digest(from);
        }
    }

    /// Refutes a record of this instance if it is wrong, by a record with a
    /// higher incarnation.
    pub(super) fn refute(
        &mut self,
        now: Time,
        from: InstanceId,
        incoming: Member,
    ) {
        let own = self.own_record();
        let wrong = supersedes(&incoming, &own)
            || (incoming.incarnation == own.incarnation
                && incoming.state == own.state
                && incoming != own);
        if !wrong {
            return;
        }
        let mut record = own;
        record.incarnation = incoming.incarnation.saturating_add(1);
        self.log(
            &log::SUSPICION_REFUTED,
            format!(
                "claim={:?} from={from} incarnation={}",
                incoming.state, record.incarnation
            ),
        );
        self.set_own_record(now, record.clone());
        let members = vec![record];
        self.send(from, Message::Full { members, reply: false });
    }

    /// Stores the record of another member if it is newer. Returns whether it
    /// was stored.
    pub(super) fn apply_record(
        &mut self,
        now: Time,
        record: Member,
        propagate: bool,
    ) -> bool {
        let old = self.table.get(record.id);
        let old_state = old.map(|x| x.state);
        match old {
            Some(old) if !supersedes(&record, old) => return false,
            Some(_) => {}
            // A dead member that this instance has forgotten or never knew
            // would otherwise be disseminated forever.
            None if record.state == MemberState::Dead => return false,
            None if self.table.members().len() >= self.options.max_members => {
                self.log(&log::MEMBER_LIMIT, format!("member={}", record.id));
                return false;
            }
            None => {}
        }
        let id = record.id;
        self.table.put(now, record.clone());
        self.suspicions.retain(|x| x.id != id);
        if record.state == MemberState::Suspect {
            self.suspicions.push(Suspicion {
                id,
                deadline: now + self.options.suspicion_timeout,
                retry: None,
                extension: Duration::ZERO,
            });
        }
        if let Some(local_state) = self.table.local_state_mut(id)
            && record.state == MemberState::Alive
            && local_state.hinted_incarnation.take().is_some()
        {
            local_state.ignore_hints_until =
                now + self.options.platform_hint_hold_off;
        }
        if propagate {
            self.gossip.push(id);
            self.changed_ids.push(id);
        }
        if old_state != Some(record.state) {
            self.log(
                &log::MEMBER_CHANGED,
                format!(
                    "member={id} name={} old={old_state:?} new={:?} \
                     incarnation={}",
                    record.name, record.state, record.incarnation
                ),
            );
        }
        self.effects.push(MembershipEffect::Changed(record));
        true
    }

    /// Changes the state of a member because of a local observation.
    pub(super) fn set_state(
        &mut self,
        now: Time,
        id: InstanceId,
        state: MemberState,
    ) {
        if let Some(member) = self.table.get(id) {
            let record = Member { state, ..member.clone() };
            self.apply_record(now, record, true);
        }
    }

    /// Sends the records that changed in this step to a few members at once,
    /// within the rate limit. `sender` already knows them.
    pub(super) fn push_changes(
        &mut self,
        now: Time,
        sender: Option<InstanceId>,
    ) {
        if self.changed_ids.is_empty() {
            return;
        }
        let mut changed_ids = std::mem::take(&mut self.changed_ids);
        changed_ids.sort_unstable();
        changed_ids.dedup();
        if now >= self.push_refill {
            self.push_tokens = self.options.pushes_per_second;
            self.push_refill = now + Duration::from_secs(1);
        }
        if self.push_tokens == 0 {
            return;
        }
        self.push_tokens -= 1;
        let members: Vec<Member> = changed_ids
            .iter()
            .filter_map(|&id| self.table.get(id))
            .take(self.options.max_updates)
            .cloned()
            .collect();
        for id in self.random_members(self.options.push_fan_out, sender) {
            let members = members.clone();
            self.send(id, Message::Full { members, reply: false });
        }
    }

    /// Returns up to `count` random members that are not dead, without this
    /// instance and `exclude`.
    pub(super) fn random_members(
        &mut self,
        count: usize,
        exclude: Option<InstanceId>,
    ) -> Vec<InstanceId> {
        let members = self.table.members();
        let usable = |x: &Member| {
            x.id != self.own_id
                && Some(x.id) != exclude
                && x.state != MemberState::Dead
        };
        if members.len() <= MAX_SHUFFLED_MEMBERS {
            let mut ids: Vec<InstanceId> =
                members.iter().filter(|x| usable(x)).map(|x| x.id).collect();
            ids.shuffle(&mut self.rng);
            ids.truncate(count);
            return ids;
        }
        let mut ids = Vec::with_capacity(count);
        for _ in 0..count * 8 {
            let member = &members[self.rng.random_range(0..members.len())];
            if ids.len() < count && usable(member) && !ids.contains(&member.id)
            {
                ids.push(member.id);
            }
        }
        ids
    }
}
