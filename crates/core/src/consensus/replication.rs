//! Appends, commits and the leader's heartbeats.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{
    Consensus, Entry, Leader, Message, Payload, Peer, Proposal, ProposeError,
    Replica, State, transfer::Transfer,
};
use crate::{
    consensus::ConsensusEffect,
    event::control as kinds,
    id::{ReplicaId, Token},
    time::Time,
};

/// Rounds of heartbeats whose times a leader keeps. Together they must span
/// an election timeout.
const ROUNDS: usize = 64;

/// Heartbeats after which an unanswered append is sent again.
const RESEND_HEARTBEATS: u32 = 3;

/// What a leader knows about a member.
pub(super) struct Progress {
    pub(super) id: ReplicaId,
    /// Last entry known to be the same, and synced there.
    pub(super) matched: u64,
    /// The entry to send next.
    pub(super) next: u64,
    /// When the newest round was sent that the member has answered.
    pub(super) heard: Time,
    /// Whether it is known where the logs meet. Until then one append at a
    /// time is sent.
    pub(super) probing: bool,
    /// Last index of each unanswered append.
    pub(super) in_flight: VecDeque<u64>,
    /// When an answer last made progress, or an append was first sent.
    pub(super) moved: Time,
    /// A snapshot on its way.
    pub(super) transfer: Option<Transfer>,
}

impl Progress {
    pub(super) fn new(id: ReplicaId, next: u64, now: Time) -> Progress {
        Progress {
            id,
            matched: 0,
            next,
            heard: now,
            probing: true,
            in_flight: VecDeque::new(),
            moved: now,
            transfer: None,
        }
    }

    /// Starts again behind the last entry known to match.
    pub(super) fn probe(&mut self, next: u64) {
        self.probing = true;
        self.next = next.max(self.matched + 1);
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

    /// When the given round was sent, if that is still known.
    fn sent_at(&self, round: u64) -> Option<Time> {
        let age = usize::try_from(self.round.checked_sub(round)?).ok()?;
        let at = self.rounds.len().checked_sub(age + 1)?;
        self.rounds.get(at).copied()
    }

    /// A member is active if it has answered a round sent since this time.
    /// It is counted from the last round and not from now, so that a look
    /// at the status between two rounds gives the same answer.
    pub(super) fn active_since(&self, span: std::time::Duration) -> Time {
        self.rounds.back().copied().unwrap_or_default() - span
    }
}

impl Consensus {
    /// Checks that a majority still answers, then sends a round.
    pub(super) fn heartbeat(&mut self, now: Time) {
        let span = self.options.election_timeout_min;
        let resend = self.options.heartbeat_interval * RESEND_HEARTBEATS;
        let State::Leader(leader) = &mut self.state else { return };
        let heard = self
            .log
            .members()
            .iter()
            .filter(|m| m.voter)
            .filter(|m| match leader.progress(m.id) {
                Some(p) => now.since(p.heard) < span,
                None => m.id == self.id,
            })
            .count();
        let voters = self.log.members().iter().filter(|m| m.voter).count();
        if heard <= voters / 2 {
            self.step_down(now, "no majority answers");
            return;
        }
        leader.round += 1;
        leader.rounds.push_back(now);
        if leader.rounds.len() > ROUNDS {
            leader.rounds.pop_front();
        }
        leader.heartbeat_at = now + self.options.heartbeat_interval;
        for p in &mut leader.progress {
            if !p.in_flight.is_empty() && now.since(p.moved) >= resend {
                p.probe(p.matched + 1);
                p.moved = now;
            }
            if let Some(transfer) = &mut p.transfer
                && now.since(p.moved) >= resend
            {
                transfer.waiting = false;
                p.moved = now;
            }
        }
        let round = leader.round;
        for member in &self.others() {
            self.send_heartbeat(member, round);
        }
        self.replicate_all(now);
    }

    /// Sends an append without entries that follows what the member is known
    /// to hold, so that its answer never waits for the member's disk.
    fn send_heartbeat(&mut self, member: &Replica, round: u64) {
        let State::Leader(leader) = &self.state else { return };
        let Some(p) = leader.progress(member.id) else { return };
        let previous = p.matched.max(self.log.base_index());
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

    /// Sends each member what it lacks, as far as its window allows.
    pub(super) fn replicate_all(&mut self, now: Time) {
        for member in &self.others() {
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
            if p.transfer.is_some() || p.next <= self.log.base_index() {
                self.transfer(member, now);
                return;
            }
            let window =
                if p.probing { 1 } else { self.options.max_in_flight_appends };
            if p.next > self.log.last_index() || p.in_flight.len() >= window {
                return;
            }
            let previous = p.next - 1;
            let Some(previous_term) = self.log.term_at(previous) else {
                return;
            };
            let entries =
                self.log.slice(p.next, self.options.max_append_bytes);
            if p.in_flight.is_empty() {
                p.moved = now;
            }
            let last = previous + entries.len() as u64;
            p.in_flight.push_back(last);
            if !p.probing {
                p.next = last + 1;
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

    pub(super) fn propose(&mut self, now: Time, token: Token, command: Bytes) {
        let State::Leader(leader) = &mut self.state else {
            let error = ProposeError::NotLeader(self.leader);
            self.out.push(ConsensusEffect::Outcome(token, Err(error)));
            return;
        };
        if leader.uncommitted > self.options.max_uncommitted_bytes {
            let text = format!(
                "{} bytes wait to be committed, the limit is {}",
                leader.uncommitted, self.options.max_uncommitted_bytes
            );
            let error = ProposeError::Rejected(text);
            self.out.push(ConsensusEffect::Outcome(token, Err(error)));
            return;
        }
        let index = self.log.last_index() + 1;
        let bytes = command.len() as u64;
        leader.uncommitted += bytes;
        leader.proposals.push_back(Proposal { token, index, bytes });
        self.push(now, Payload::Command(command));
    }

    /// Appends an entry at the leader. While a write is on its way, further
    /// entries gather and go to the disk in one write.
    pub(super) fn push(&mut self, now: Time, payload: Payload) {
        let index = self.log.last_index() + 1;
        self.log.push(Entry { index, term: self.term, payload });
        if !self.log.is_writing() {
            self.write_log();
        }
        self.replicate_all(now);
    }

    /// Raises the commit to what a majority of the voters has synced.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let mut matched: Vec<u64> = self
            .log
            .members()
            .iter()
            .filter(|m| m.voter)
            .map(|m| match leader.progress(m.id) {
                Some(p) => p.matched,
                None => self.log.synced(),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(matched.len() / 2) else { return };
        // Entries of older terms are committed only by one of the own term
        // behind them (section 5.4.2 of the Raft paper).
        if index > self.commit && index >= leader.first_index {
            self.commit = index;
            self.members_committed();
        }
    }

    /// Handles an append of the accepted leader.
    pub(super) fn append(
        &mut self,
        peer: Peer,
        previous: (u64, u64),
        mut entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let (mut previous_index, previous_term) = previous;
        let term = self.term;
        let last_sent = previous_index + entries.len() as u64;
        let base = self.log.base_index();
        if previous_index < base {
            // What lies at or before the base is committed and the same.
            entries.retain(|e| e.index > base);
            previous_index = base;
        } else if self.log.term_at(previous_index) != Some(previous_term) {
            let index = self.hint(previous_index);
            let message =
                Message::AppendReply { term, success: false, index, round };
            self.answer(&peer, 0, message);
            return;
        }
        let last_sent = last_sent.max(previous_index);
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(t) if t == entry.term => continue,
                Some(_) if entry.index <= self.commit => {
                    self.log(
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
        let ticket = if last_sent > self.log.synced() {
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
        self.answer(&peer, ticket, message);
    }

    /// Where the leader should try next: the start of the term that does not
    /// match, so that one message is enough for each such term.
    fn hint(&self, previous_index: u64) -> u64 {
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

    pub(super) fn append_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        success: bool,
        index: u64,
        round: u64,
    ) {
        let member = self.log.members().iter().any(|m| m.id == from);
        if term > self.term && member {
            self.follow_term(now, term);
            return;
        }
        let last = self.log.last_index();
        let State::Leader(leader) = &mut self.state else { return };
        if term != self.term {
            return;
        }
        let sent = leader.sent_at(round);
        let Some(p) = leader.progress_mut(from) else { return };
        if let Some(sent) = sent {
            p.heard = p.heard.max(sent);
        }
        if !success {
            // An older answer must not undo what is known to match.
            if index > p.matched && p.transfer.is_none() {
                p.probe(index.min(last + 1));
                p.moved = now;
            }
            self.replicate_one(from, now);
            return;
        }
        if index > p.matched {
            p.matched = index;
            p.moved = now;
        }
        while p.in_flight.front().is_some_and(|last| *last <= index) {
            p.in_flight.pop_front();
            // The append that was probed with has matched.
            p.probing = false;
        }
        p.next = p.next.max(p.matched + 1);
        if p.transfer.as_ref().is_some_and(|t| t.index() <= p.matched) {
            p.transfer = None;
            p.probing = false;
        }
        self.advance_commit();
        self.replicate_one(from, now);
    }
}
