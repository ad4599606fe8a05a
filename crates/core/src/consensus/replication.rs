//! Log replication, commits and the leader's heartbeats.

use std::{collections::VecDeque, time::Duration};

use super::{
    Consensus, Entry, Leader, Message, Payload, Peer, Replica, State,
    transfer::SnapshotTransfer,
};
use crate::{
    event::control as kinds,
    id::{InstanceId, ReplicaId},
    time::Time,
};

/// Number of heartbeat intervals without progress after which a member is
/// asked what it has, or a snapshot chunk is sent again.
const RESEND_HEARTBEATS: u32 = 3;

/// Largest number of times that this interval doubles while there is no
/// progress: to 16 times 300 ms.
const MAX_RESEND_DOUBLINGS: u32 = 4;

/// An unanswered append.
pub(super) struct InFlight {
    /// Index of its last entry.
    last: u64,
    /// Bytes of its commands.
    bytes: u64,
}

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
    /// The unanswered appends.
    pub(super) in_flight: VecDeque<InFlight>,
    /// When a reply last made progress, the member last received a part of a
    /// message, or the first of the unanswered appends was sent.
    pub(super) last_progress: Time,
    /// Number of times that the member was asked what it has since then.
    asked: u32,
    /// Whether a reply to that question that the appends are missing is
    /// still due. Only that one has them sent again: the others may be
    /// older than the appends.
    may_resend: bool,
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
            asked: 0,
            may_resend: false,
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

    /// Records that the member has received something.
    pub(super) fn advance(&mut self, now: Time) {
        self.last_progress = now;
        self.asked = 0;
        self.may_resend = false;
    }

    /// Whether nothing was received for so long that it may be lost. The time
    /// doubles with each question.
    fn is_overdue(&self, now: Time, resend_after: Duration) -> bool {
        let doublings = self.asked.min(MAX_RESEND_DOUBLINGS);
        now.since(self.last_progress) >= resend_after * (1 << doublings)
    }

    /// Records that the member is asked, or a chunk is sent again.
    fn ask(&mut self, now: Time) {
        self.last_progress = now;
        self.asked += 1;
        self.may_resend = true;
    }

    /// Whether another append may be sent to the member.
    fn has_room(&self, max_appends: usize, max_append_bytes: u64) -> bool {
        let window = if self.probing { 1 } else { max_appends };
        let bytes: u64 = self.in_flight.iter().map(|a| a.bytes).sum();
        // Nothing waits behind an entry that is larger than the window.
        self.in_flight.len() < window
            && bytes < max_append_bytes * window as u64
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
    pub(super) fn active_since(&self, span: Duration) -> Time {
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
        let mut overdue = Vec::new();
        for p in &mut leader.progress {
            if !p.is_overdue(now, resend) {
                continue;
            }
            if let Some(last) = p.in_flight.back().map(|a| a.last) {
                p.ask(now);
                if last < self.log.base_index() {
                    // Only a snapshot has these entries.
                    p.probe(p.match_index + 1);
                } else {
                    overdue.push((p.id, last));
                }
            }
            if let Some(transfer) = &mut p.transfer {
                transfer.awaiting_reply = false;
                p.ask(now);
            }
        }
        let round = leader.round;
        for member in &self.other_members() {
            self.send_heartbeat(member, round);
            let last = overdue.iter().find(|(id, _)| *id == member.id);
            if let Some((_, last)) = last {
                self.send_empty_append(member, round, *last);
            }
        }
        self.replicate_all(now);
    }

    /// Sends an append without entries that follows the last index known to
    /// match, so that the reply does not wait for the member's disk.
    fn send_heartbeat(&mut self, member: &Replica, round: u64) {
        let State::Leader(leader) = &self.state else { return };
        let Some(p) = leader.progress(member.id) else { return };
        let previous = p.match_index.max(self.log.base_index());
        self.send_empty_append(member, round, previous);
    }

    /// Sends an append without entries after the index `previous`. The reply
    /// tells whether the member has the entries up to there, without sending
    /// them again.
    fn send_empty_append(
        &mut self,
        member: &Replica,
        round: u64,
        previous: u64,
    ) {
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
            let options = &self.options;
            if p.next_index > self.log.last_index()
                || !p.has_room(
                    options.max_in_flight_appends,
                    options.max_append_bytes,
                )
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
            let bytes = entries.iter().map(command_bytes).sum();
            p.in_flight.push_back(InFlight { last, bytes });
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

    /// Handles a report that a member receives a message piece by piece.
    pub(super) fn handle_receiving(&mut self, now: Time, to: InstanceId) {
        let State::Leader(leader) = &mut self.state else { return };
        for member in self.log.members().iter().filter(|m| m.instance == to) {
            if let Some(p) = leader.progress_mut(member.id) {
                p.advance(now);
            }
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
            let next = index.min(last + 1).max(p.match_index + 1);
            // The same entries were sent after the member had replied to an
            // earlier message, and may still be crossing.
            let crosses = p.probing
                && !p.in_flight.is_empty()
                && !p.may_resend
                && next == p.next_index;
            if index > p.match_index && p.transfer.is_none() && !crosses {
                p.probe(next);
                p.last_progress = now;
                p.may_resend = false;
            }
            self.replicate_one(from, now);
            return;
        }
        if index > p.match_index {
            p.match_index = index;
            p.advance(now);
        }
        while p.in_flight.front().is_some_and(|a| a.last <= index) {
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

/// Returns the bytes of the command of an entry.
fn command_bytes(entry: &Entry) -> u64 {
    match &entry.payload {
        Payload::Command(command) => command.len() as u64,
        Payload::Empty | Payload::Members(_) => 0,
    }
}
