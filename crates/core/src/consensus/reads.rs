//! Reads that need no entry in the log.
//!
//! A leader answers a read once it has applied everything that was committed
//! when the read arrived, and a majority of the voters has answered a
//! heartbeat round that began after that (section 6.4 of Ongaro's thesis). A
//! replica that followed this leader in such a round had not voted in a newer
//! term before the read arrived, so no newer leader can have acknowledged
//! anything by then. All reads that wait share a round.

use std::{collections::VecDeque, time::Duration};

use super::{Consensus, ConsensusEffect, Leader, ProposeError, State};
use crate::{
    id::{ReplicaId, Token},
    time::Time,
};

/// Shortest time between two heartbeat rounds, so that reads that come one
/// after another share rounds: at most 200 rounds a second.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time that a read waits, for example for the first commit of a new
/// leader. By default, an operator's request ends after as much time.
const MAX_READ_WAIT: Duration = Duration::from_secs(3);

/// A read without an outcome.
struct WaitingRead {
    token: Token,
    arrived: Time,
    /// The first round that began after the read arrived.
    round: u64,
    /// Index that has to be applied before the read is answered.
    index: u64,
}

/// The reads of a leader.
#[derive(Default)]
pub(super) struct Reads {
    /// In the order of arrival; `round` and `index` never fall.
    waiting: VecDeque<WaitingRead>,
    /// The newest round that each member has answered, sorted by identifier.
    answered: Vec<(ReplicaId, u64)>,
}

impl Reads {
    fn answered_round(&self, id: ReplicaId) -> u64 {
        let found = self.answered.binary_search_by_key(&id, |a| a.0);
        found.map_or(0, |at| self.answered[at].1)
    }
}

impl Consensus {
    pub(super) fn read(&mut self, now: Time, token: Token) {
        let State::Leader(leader) = &mut self.state else {
            let error = ProposeError::NotLeader(self.leader);
            self.effects.push(ConsensusEffect::Outcome(token, Err(error)));
            return;
        };
        // Before the first commit of its term, a leader does not know which
        // older entries are committed.
        let index = self.commit.max(leader.term_start_index);
        let round = leader.round + 1;
        let read = WaitingRead { token, arrived: now, round, index };
        leader.reads.waiting.push_back(read);
    }

    /// Records that a member has answered a round of this leader.
    pub(super) fn note_round(
        &mut self,
        from: ReplicaId,
        term: u64,
        round: u64,
    ) {
        let State::Leader(leader) = &mut self.state else { return };
        if term != self.term {
            return;
        }
        let answered = &mut leader.reads.answered;
        match answered.binary_search_by_key(&from, |a| a.0) {
            Ok(at) => answered[at].1 = answered[at].1.max(round),
            Err(at) => answered.insert(at, (from, round)),
        }
    }

    /// Answers the reads that are confirmed, and starts a round for those that
    /// wait for one.
    pub(super) fn answer_reads(&mut self, now: Time) {
        let confirmed = self.confirmed_round();
        let State::Leader(leader) = &mut self.state else { return };
        let waiting = &mut leader.reads.waiting;
        while let Some(read) = waiting.front() {
            let result =
                if read.round <= confirmed && read.index <= self.applied {
                    Ok(read.index)
                } else if now.since(read.arrived) >= MAX_READ_WAIT {
                    let text = "the leader could not confirm its role in time";
                    Err(ProposeError::Busy(text.into()))
                } else {
                    break;
                };
            let outcome = ConsensusEffect::Outcome(read.token, result);
            self.effects.push(outcome);
            waiting.pop_front();
        }
        let needs_round =
            waiting.front().is_some_and(|read| read.round > leader.round);
        if !needs_round {
            return;
        }
        let due = leader.last_round_at + MIN_ROUND_INTERVAL;
        leader.next_heartbeat = leader.next_heartbeat.min(due);
        if now >= due {
            self.heartbeat(now);
        }
    }

    /// Returns the newest round that a majority of the voters has answered.
    fn confirmed_round(&self) -> u64 {
        let State::Leader(leader) = &self.state else { return 0 };
        let mut rounds: Vec<u64> = self
            .voters()
            .map(|v| match v.id {
                id if id == self.id => u64::MAX,
                id => leader.reads.answered_round(id),
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        rounds.get(rounds.len() / 2).copied().unwrap_or(0)
    }

    /// Ends the reads of a former leader. A read proposes nothing, so it may
    /// always be repeated.
    pub(super) fn fail_reads(&mut self, leader: &Leader) {
        for read in &leader.reads.waiting {
            let error = ProposeError::NotLeader(None);
            let outcome = ConsensusEffect::Outcome(read.token, Err(error));
            self.effects.push(outcome);
        }
    }
}
