//! Log replication, commits and the leader's heartbeats.

use std::collections::VecDeque;

use super::{
    Consensus, Entry, Leader, Message, Payload, Peer, Replica, State,
    transfer::SnapshotTransfer,
};
use crate::{event::control as kinds, id::ReplicaId, time::Time};

/// Number of heartbeat intervals without progress after which an append or
/// snapshot chunk is sent again.
const RESEND_HEARTBEATS: u32 = 3;

/// The leader's view of the replication to one member.
pub(super) struct Progress {
    pub(super) id: ReplicaId,
    /// Last index known to match the leader's log and to be synced at the
    /// member.
    pub(super) match_index: u64,
    /// Index of the entry to send next.
    pub(super) next_index: u64,
    /// When the member's last reply arrived.
    pub(super) last_reply: Time,
    /// Whether the last index that matches is still unknown. While probing,
    /// one append is sent at a time.
    pub(super) probing: bool,
    /// Last index of each unanswered append.
    pub(super) in_flight: VecDeque<u64>,
    /// When a reply last made progress, or the first of the unanswered
    /// appends was sent.
    pub(super) last_progress: Time,
    /// Snapshot transfer in progress.
    pub(super) transfer: Option<SnapshotTransfer>,
}

impl Progress {
    pub(super) fn new(id: ReplicaId, next_index: u64, now: Time) -> Progress {
        Progress {
            id,
            match_index: 0,
            next_index,
            last_reply: now,
            probing: true,
            in_flight: VecDeque::new(),
            last_progress: now,
            transfer: None,
        }
    }

    /// Starts probing from `next_index`, but after the last index known to
    /// match.
    pub(super) fn probe(&mut self, next_index: u64) {
        self.probing = true;
        self.next_index = next_index.max(self.match_index + 1);
        self.in_flight.clear();
    }
}

impl Leader {
    pub(super) fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        let at = self.progress.binary_search_by_key(&id, |p| p.id).ok()?;
        Some(&self.progress[at])
    }

    pub(super) fn progress_mut(
        &mut self,
        id: ReplicaId,
    ) -> Option<&mut Progress> {
        let at = self.progress.binary_search_by_key(&id, |p| p.id).ok()?;
        Some(&mut self.progress[at])
    }

    /// Returns the start of the window in which a reply of a member must have
    /// arrived for it to count as active. The window ends at the last round, not at
    /// the current time, so that the result does not change between rounds.
    pub(super) fn active_since(&self, span: std::time::Duration) -> Time {
        self.last_round_at - span
    }
}

impl Consensus {
    /// Sends a heartbeat round; steps down instead if no majority of the
    /// voters answers any more.
    pub(super) fn heartbeat(&mut self, now: Time) {
        let resend = self.options.heartbeat_interval * RESEND_HEARTBEATS;
        let State::Leader(leader) = &mut self.state else { return };
        let heard = self
            .log
            .members()
            .iter()
            .filter(|m| m.voter)
            .filter(|m| match leader.progress(m.id) {
                // The time of the reply counts, not that of the round which
                // it answers. On a busy computer, every reply may be late.
                Some(p) => now.since(p.last_reply) < leader.silence_limit,
                None => m.id == self.id,
            })
            .count();
        let voters = self.log.members().iter().filter(|m| m.voter).count();
        if heard <= voters / 2 {
            self.step_down(now, "no majority answers");
            return;
        }
        self.watch_commits(now);
        let State::Leader(leader) = &mut self.state else { return };
        leader.round += 1;
        leader.last_round_at = now;
        leader.next_heartbeat = now + self.options.heartbeat_interval;
        for p in &mut leader.progress {
            if !p.in_flight.is_empty() && now.since(p.last_progress) >= resend
            {
                p.probe(p.match_index + 1);
                p.last_progress = now;
            }
            if let Some(transfer) = &mut p.transfer
                && now.since(p.last_progress) >= resend
            {
                transfer.awaiting_reply = false;
                p.last_progress = now;
            }
        }
        let round = leader.round;
        for member in &self.other_members() {
            self.send_heartbeat(member, round);
        }
        self.replicate_all(now);
    }

    /// Sends an append without entries that follows the last index known to
    /// match, so that the reply does not wait for the member's disk.
    fn send_heartbeat(&mut self, member: &Replica, round: u64) {
        let State::Leader(leader) = &self.state else { return };
        let Some(p) = leader.progress(member.id) else { return };
        let previous = p.match_index.max(self.log.base_index());
        let Some(previous_term) = self.log.term_at(previous) else {
            return;
        };
        let message = Message::Append {
            term: self.term,
            previous_index: previous,
            previous_term,
            entries: Vec::new(),
            commit: self.commit,
            round,
        };
        self.send(member, 0, message);
    }

    /// Sends the missing entries to each member, as far as its window allows.
    pub(super) fn replicate_all(&mut self, now: Time) {
        for member in &self.other_members() {
            self.replicate(member, now);
        }
    }

    pub(super) fn replicate_one(&mut self, id: ReplicaId, now: Time) {
        let member = self.log.members().iter().find(|m| m.id == id);
        if let Some(member) = member.cloned() {
            self.replicate(&member, now);
        }
    }

    fn replicate(&mut self, member: &Replica, now: Time) {
        loop {
            let State::Leader(leader) = &mut self.state else { return };
            let round = leader.round;
            let Some(p) = leader.progress_mut(member.id) else { return };
            if p.transfer.is_some() || p.next_index <= self.log.base_index() {
                self.send_snapshot(member, now);
                return;
            }
            let window =
                if p.probing { 1 } else { self.options.max_in_flight_appends };
            if p.next_index > self.log.last_index()
                || p.in_flight.len() >= window
            {
                return;
            }
            let previous = p.next_index - 1;
            let Some(previous_term) = self.log.term_at(previous) else {
                return;
            };
            let entries =
                self.log.slice(p.next_index, self.options.max_append_bytes);
            if p.in_flight.is_empty() {
                p.last_progress = now;
            }
            let last = previous + entries.len() as u64;
            p.in_flight.push_back(last);
            if !p.probing {
                p.next_index = last + 1;
            }
            let message = Message::Append {
                term: self.term,
                previous_index: previous,
                previous_term,
                entries,
                commit: self.commit,
                round,
            };
            self.send(member, 0, message);
        }
    }

    /// Appends an entry to the leader's log. Entries that arrive while a
    /// write is in progress are written together after it.
    pub(super) fn append_local(&mut self, now: Time, payload: Payload) {
        let index = self.log.last_index() + 1;
        self.log.push(Entry { index, term: self.term, payload });
        if !self.log.is_writing() {
            self.write_log();
        }
        self.replicate_all(now);
    }

    /// Advances the commit index to what a majority of the voters has synced.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let mut matched: Vec<u64> = self
            .log
            .members()
            .iter()
            .filter(|m| m.voter)
            .map(|m| match leader.progress(m.id) {
                Some(p) => p.match_index,
                None => self.log.synced_index(),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(matched.len() / 2) else { return };
        // Entries of older terms are committed only by a later entry of the
        // current term (section 5.4.2 of the Raft paper).
        if index > self.commit && index >= leader.term_start_index {
            self.commit = index;
            self.members_committed();
        }
    }

    /// Handles an append from the accepted leader.
    pub(super) fn handle_append(
        &mut self,
        peer: Peer,
        previous: (u64, u64),
        mut entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        self.cut_to_room(&mut entries);
        let (mut previous_index, previous_term) = previous;
        let term = self.term;
        let last_sent = previous_index + entries.len() as u64;
        let base = self.log.base_index();
        if previous_index < base {
            // Entries up to the base are committed and match the leader's.
            entries.retain(|e| e.index > base);
            previous_index = base;
        } else if self.log.term_at(previous_index) != Some(previous_term) {
            let index = self.conflict_hint(previous_index);
            let message =
                Message::AppendReply { term, success: false, index, round };
            self.reply(&peer, 0, message);
            return;
        }
        let last_sent = last_sent.max(previous_index);
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(t) if t == entry.term => continue,
                Some(_) if entry.index <= self.commit => {
                    self.log_event(
                        &kinds::LOG_CONFLICT,
                        format!("index={} term={term}", entry.index),
                    );
                    return;
                }
                Some(_) => self.log.truncate(entry.index - 1),
                None => {}
            }
            self.log.push(entry);
        }
        self.write_log();
        let commit = commit.min(last_sent);
        if commit > self.commit {
            self.commit = commit;
            self.members_committed();
        }
        // An entry is acknowledged only once it is synced.
        let ticket = if last_sent > self.log.synced_index() {
            self.log.last_ticket().unwrap_or(0)
        } else {
            0
        };
        let message = Message::AppendReply {
            term,
            success: true,
            index: last_sent,
            round,
        };
        self.reply(&peer, ticket, message);
    }

    /// Returns the index from which the leader should try next: the first
    /// entry of the term that does not match, so that each such term costs
    /// one message.
    fn conflict_hint(&self, previous_index: u64) -> u64 {
        let last = self.log.last_index();
        let Some(term) = self.log.term_at(previous_index) else {
            return last + 1;
        };
        let mut index = previous_index;
        while index > self.commit + 1
            && self.log.term_at(index - 1) == Some(term)
        {
            index -= 1;
        }
        index
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        success: bool,
        index: u64,
    ) {
        let member = self.log.members().iter().any(|m| m.id == from);
        if term > self.term && member {
            self.become_follower(now, term);
            return;
        }
        let last = self.log.last_index();
        let State::Leader(leader) = &mut self.state else { return };
        if term != self.term {
            return;
        }
        let Some(p) = leader.progress_mut(from) else { return };
        p.last_reply = now;
        if !success {
            // A delayed reply must not undo a known match.
            if index > p.match_index && p.transfer.is_none() {
                p.probe(index.min(last + 1));
                p.last_progress = now;
            }
            self.replicate_one(from, now);
            return;
        }
        if index > p.match_index {
            p.match_index = index;
            p.last_progress = now;
        }
        while p.in_flight.front().is_some_and(|last| *last <= index) {
            p.in_flight.pop_front();
            // The probing append has matched.
            p.probing = false;
        }
        p.next_index = p.next_index.max(p.match_index + 1);
        if p.transfer.as_ref().is_some_and(|t| t.index() <= p.match_index) {
            p.transfer = None;
            p.probing = false;
        }
        self.advance_commit();
        self.replicate_one(from, now);
    }
}
