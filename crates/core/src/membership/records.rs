//! Records of members: what is believed, defended and passed on.

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

/// Tables up to this size are sampled by a shuffle, larger ones by drawing.
const SHUFFLED_MEMBERS: usize = 64;

impl Membership {
    pub(super) fn merge(
        &mut self,
        now: Time,
        from: InstanceId,
        records: Vec<Member>,
    ) {
        let returned = |x: Option<&Member>| {
            x.is_none_or(|x| x.state == MemberState::Dead)
        };
        let was_gone = returned(self.table.get(from));
        // A bulk exchange repairs this instance; it is no news to others.
        let is_news = records.len() <= self.options.max_updates + 2;
        for record in records {
            if record.id == self.me {
                self.defend(now, from, record);
            } else {
                self.accept(now, record, is_news);
            }
        }
        if was_gone && !returned(self.table.get(from)) {
            // The other side of a healed partition differs in more than its
            // own record.
            self.send_digest(from);
        }
    }

    /// Answers a record of this instance that is wrong.
    pub(super) fn defend(
        &mut self,
        now: Time,
        from: InstanceId,
        claim: Member,
    ) {
        let own = self.own();
        let wrong = supersedes(&claim, &own)
            || (claim.incarnation == own.incarnation
                && claim.state == own.state
                && claim != own);
        if !wrong {
            return;
        }
        let mut me = own;
        me.incarnation = claim.incarnation.saturating_add(1);
        self.log(
            &log::SUSPICION_REFUTED,
            format!(
                "claim={:?} from={from} incarnation={}",
                claim.state, me.incarnation
            ),
        );
        self.put_own(now, me.clone());
        let members = vec![me];
        self.send(from, Message::Full { members, reply: false });
    }

    /// Takes over a record of another member if it is newer.
    pub(super) fn accept(
        &mut self,
        now: Time,
        record: Member,
        is_news: bool,
    ) -> bool {
        let old = self.table.get(record.id);
        let old_state = old.map(|x| x.state);
        match old {
            Some(old) if !supersedes(&record, old) => return false,
            Some(_) => {}
            // A dead member that this instance has forgotten or never knew
            // would otherwise be passed around forever.
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
                nudge: None,
            });
        }
        if let Some(detail) = self.table.detail(id)
            && record.state == MemberState::Alive
            && detail.hinted.take().is_some()
        {
            detail.hints_held_until = now + self.options.platform_hold;
        }
        if is_news {
            self.gossip.push(id);
            self.news.push(id);
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

    /// Changes the state of a member on this instance's own judgement.
    pub(super) fn judge(
        &mut self,
        now: Time,
        id: InstanceId,
        state: MemberState,
    ) {
        if let Some(member) = self.table.get(id) {
            let record = Member { state, ..member.clone() };
            self.accept(now, record, true);
        }
    }

    /// Tells a few members at once of what changed in this step.
    pub(super) fn push_news(&mut self, now: Time, sender: Option<InstanceId>) {
        if self.news.is_empty() {
            return;
        }
        let mut news = std::mem::take(&mut self.news);
        news.sort_unstable();
        news.dedup();
        if now >= self.push_refill {
            self.push_tokens = self.options.pushes_per_second;
            self.push_refill = now + Duration::from_secs(1);
        }
        if self.push_tokens == 0 {
            return;
        }
        self.push_tokens -= 1;
        let members: Vec<Member> = news
            .iter()
            .filter_map(|&id| self.table.get(id))
            .take(self.options.max_updates)
            .cloned()
            .collect();
        for id in self.some_others(self.options.push_fan_out, sender) {
            let members = members.clone();
            self.send(id, Message::Full { members, reply: false });
        }
    }

    /// Draws up to `count` members that are not dead.
    pub(super) fn some_others(
        &mut self,
        count: usize,
        except: Option<InstanceId>,
    ) -> Vec<InstanceId> {
        let members = self.table.members();
        let usable = |x: &Member| {
            x.id != self.me
                && Some(x.id) != except
                && x.state != MemberState::Dead
        };
        if members.len() <= SHUFFLED_MEMBERS {
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
