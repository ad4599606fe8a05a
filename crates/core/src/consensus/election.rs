//! Elections: pre-vote, votes, and how a leader gives up.

use std::collections::VecDeque;

use super::{
    Consensus, Leader, Message, Payload, Peer, ProposeError, State,
    replication::Progress,
};
use crate::{
    consensus::{ConsensusEffect, Entry},
    event::control as kinds,
    id::ReplicaId,
    time::Time,
};

impl Consensus {
    /// Does what is due.
    pub(super) fn tick(&mut self, now: Time) {
        if let State::Leader(leader) = &self.state {
            if now >= leader.heartbeat_at {
                self.heartbeat(now);
            }
        } else if self.may_campaign() && now >= self.election_at {
            self.ask_pre_votes(now);
        }
    }

    /// Asks whether an election could be won, without raising the term. A
    /// replica that was cut off therefore does not depose a working leader
    /// when it returns.
    fn ask_pre_votes(&mut self, now: Time) {
        self.leader = None;
        self.state = State::Follower { pre_votes: Some(vec![self.id]) };
        // Asking does no harm, so it is repeated sooner than an election.
        let pause = self.options.heartbeat_interval;
        self.election_at = now + self.random(pause, pause * 2);
        if self.is_majority(&[self.id]) {
            self.campaign(now);
            return;
        }
        let message = Message::PreVote {
            term: self.term + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_voters(0, &message);
    }

    /// Starts an election.
    pub(super) fn campaign(&mut self, now: Time) {
        self.term += 1;
        self.vote = Some(self.id);
        self.leader = None;
        self.incoming = None;
        self.write_hard_state();
        let own_vote = self.hard_ticket;
        self.state = State::Candidate { votes: Vec::new(), own_vote };
        let min = self.options.election_timeout_min;
        self.election_at = now + self.random(min / 2, min);
        self.log(
            &kinds::ELECTION_STARTED,
            format!("replica={} term={}", self.id, self.term),
        );
        let message = Message::Vote {
            term: self.term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_voters(own_vote, &message);
    }

    fn send_voters(&mut self, ticket: u64, message: &Message) {
        for member in self.others().iter().filter(|m| m.voter) {
            self.send(member, ticket, message.clone());
        }
    }

    /// Whether a working leader was heard a moment ago. The span is a
    /// heartbeat shorter than the shortest election timeout, because the
    /// candidate may have got the last heartbeat a little earlier.
    fn has_leader(&self, now: Time) -> bool {
        if let State::Leader(_) = self.state {
            return true;
        }
        let span = self
            .options
            .election_timeout_min
            .saturating_sub(self.options.heartbeat_interval);
        self.leader.is_some()
            && self.leader_heard.is_some_and(|at| now.since(at) < span)
    }

    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index)
            >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn pre_vote(
        &mut self,
        now: Time,
        peer: Peer,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        let granted = term > self.term
            && !self.has_leader(now)
            && self.is_up_to_date(last_index, last_term);
        let current = self.term;
        let reply = Message::PreVoteReply { term, granted, current };
        self.answer(&peer, 0, reply);
    }

    pub(super) fn pre_vote_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        granted: bool,
        current: u64,
    ) {
        if current > self.term && !granted {
            self.follow_term(now, current);
            return;
        }
        if !granted || term != self.term + 1 || !self.is_voting(from) {
            return;
        }
        let State::Follower { pre_votes: Some(votes) } = &mut self.state
        else {
            return;
        };
        if !votes.contains(&from) {
            votes.push(from);
        }
        let votes = votes.clone();
        if self.is_majority(&votes) {
            self.campaign(now);
        }
    }

    pub(super) fn vote(
        &mut self,
        now: Time,
        peer: Peer,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        // While a leader works, a vote is refused without a look at its
        // term, so that a removed replica cannot depose the leader.
        if self.has_leader(now) && term > self.term {
            return;
        }
        if term > self.term {
            self.follow_term(now, term);
        }
        let free = self.vote.is_none_or(|v| v == peer.id);
        let granted = term == self.term
            && free
            && self.is_up_to_date(last_index, last_term);
        if granted && self.vote.is_none() {
            self.vote = Some(peer.id);
            self.write_hard_state();
            self.reset_election(now);
            self.log(
                &kinds::VOTE_GRANTED,
                format!("replica={} to={} term={term}", self.id, peer.id),
            );
        }
        // The answer leaves only once the vote is synced: a replica that
        // forgot a vote in a crash could help to elect a second leader.
        let reply = Message::VoteReply { term: self.term, granted };
        self.answer(&peer, self.hard_ticket, reply);
    }

    pub(super) fn vote_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        granted: bool,
    ) {
        if term > self.term {
            self.follow_term(now, term);
            return;
        }
        let voting = self.is_voting(from);
        if let State::Candidate { votes, .. } = &mut self.state
            && granted
            && term == self.term
            && voting
            && !votes.contains(&from)
        {
            votes.push(from);
            self.count_votes(now);
        }
    }

    fn is_voting(&self, id: ReplicaId) -> bool {
        self.voters().any(|v| v.id == id)
    }

    pub(super) fn count_votes(&mut self, now: Time) {
        if let State::Candidate { votes, .. } = &self.state {
            // The own vote is required, because it must be synced before
            // anything of this term is sent.
            if votes.contains(&self.id) && self.is_majority(votes) {
                self.lead(now);
            }
        }
    }

    fn lead(&mut self, now: Time) {
        self.leader = Some(self.id);
        let next = self.log.last_index() + 1;
        let mut progress: Vec<_> = self
            .log
            .members()
            .iter()
            .filter(|m| m.id != self.id)
            .map(|m| Progress::new(m.id, next, now))
            .collect();
        progress.sort_by_key(|p| p.id);
        self.state = State::Leader(Leader {
            progress,
            first_index: next,
            heartbeat_at: now,
            round: 0,
            rounds: VecDeque::new(),
            proposals: VecDeque::new(),
            uncommitted: 0,
        });
        self.log(
            &kinds::LEADER_ELECTED,
            format!("replica={} term={}", self.id, self.term),
        );
        self.log.push(Entry {
            index: next,
            term: self.term,
            payload: Payload::Empty,
        });
        self.write_log();
        self.heartbeat(now);
        self.replicate_all(now);
    }

    /// Follows a leader or a newer term.
    pub(super) fn follow_term(&mut self, now: Time, term: u64) {
        self.step_down(now, "newer term");
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.leader = None;
            self.incoming = None;
            self.write_hard_state();
        }
    }

    /// Gives up a leadership or candidacy.
    pub(super) fn step_down(&mut self, now: Time, reason: &str) {
        let old = std::mem::replace(
            &mut self.state,
            State::Follower { pre_votes: None },
        );
        if let State::Leader(leader) = old {
            self.leader = None;
            self.log(
                &kinds::LEADER_STEPPED_DOWN,
                format!(
                    "replica={} term={} reason=\"{reason}\"",
                    self.id, self.term
                ),
            );
            for p in leader.proposals {
                self.out.push(ConsensusEffect::Outcome(
                    p.token,
                    Err(ProposeError::Unknown),
                ));
            }
            // Entries not handed to the disk yet are written now, so that
            // the disk always holds the log that the replica votes with.
            self.write_log();
            self.reset_election(now);
        }
    }

    /// Whether the sender of an append or snapshot leads; if so, follows it.
    pub(super) fn accept_leader(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
    ) -> bool {
        if term < self.term {
            return false;
        }
        if term > self.term {
            self.follow_term(now, term);
        } else if let State::Leader(_) = self.state {
            return false;
        }
        self.state = State::Follower { pre_votes: None };
        self.leader = Some(from);
        self.leader_heard = Some(now);
        self.reset_election(now);
        true
    }

    /// Tells the leader of an older term about the newer one.
    pub(super) fn refuse_leader(&mut self, peer: Peer, message: &Message) {
        let round = match message {
            Message::Append { round, .. } => *round,
            _ => 0,
        };
        let reply = Message::AppendReply {
            term: self.term,
            success: false,
            index: 0,
            round,
        };
        self.answer(&peer, 0, reply);
    }
}
