//! Elections: pre-vote, voting, and how a leader steps down.

use std::collections::VecDeque;

use super::{
    Consensus, Leader, Message, Payload, Peer, ProposeError, State,
    proposals::Account, reads::Reads, replication::Progress,
    watch::CommitWatch,
};
use crate::{
    consensus::{ConsensusEffect, Entry},
    event::control as kinds,
    id::ReplicaId,
    time::Time,
};

impl Consensus {
    /// Runs the timers that are due.
    pub(super) fn tick(&mut self, now: Time) {
        if let State::Leader(leader) = &self.state {
            if now >= leader.next_heartbeat {
                self.heartbeat(now);
            }
        } else if self.may_campaign() && now >= self.election_deadline {
            self.start_pre_vote(now);
        }
    }

    /// Asks the voters whether an election could be won, without raising the
    /// term, so that a replica that returns from a partition does not depose
    /// a live leader.
    fn start_pre_vote(&mut self, now: Time) {
        self.leader = None;
        self.state = State::Follower { pre_votes: Some(vec![self.id]) };
        // A pre-vote changes no state at the voters, so it is repeated after a
        // shorter time than an election.
        let pause = self.options.heartbeat_interval;
        self.election_deadline = now + self.random_duration(pause, pause * 2);
        if self.is_majority(&[self.id]) {
            self.campaign(now);
            return;
        }
        let message = Message::PreVote {
            term: self.term + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(0, &message);
    }

    /// Starts an election.
    pub(super) fn campaign(&mut self, now: Time) {
        self.term += 1;
        self.vote = Some(self.id);
        self.leader = None;
        self.incoming_snapshot = None;
        self.write_hard_state();
        let own_vote_ticket = self.hard_state_ticket;
        self.state = State::Candidate { votes: Vec::new(), own_vote_ticket };
        let min = self.options.election_timeout_min * self.election_backoff();
        self.election_deadline = now + self.random_duration(min / 2, min);
        self.log_event(
            &kinds::ELECTION_STARTED,
            format!("replica={} term={}", self.id, self.term),
        );
        let message = Message::Vote {
            term: self.term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(own_vote_ticket, &message);
    }

    fn send_to_voters(&mut self, ticket: u64, message: &Message) {
        for member in self.other_members().iter().filter(|m| m.voter) {
            self.send(member, ticket, message.clone());
        }
    }

    /// Whether this replica leads or has recently heard from a leader. The
    /// window is one heartbeat shorter than the shortest election timeout,
    /// because the candidate may have received the last heartbeat slightly
    /// earlier.
    fn has_live_leader(&self, now: Time) -> bool {
        if let State::Leader(_) = self.state {
            return true;
        }
        let span = self
            .options
            .election_timeout_min
            .saturating_sub(self.options.heartbeat_interval);
        self.leader.is_some()
            && self.last_leader_contact.is_some_and(|at| now.since(at) < span)
    }

    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index)
            >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: Time,
        peer: Peer,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        let granted = term > self.term
            && !self.has_live_leader(now)
            && self.is_up_to_date(last_index, last_term);
        let current = self.term;
        let reply = Message::PreVoteReply { term, granted, current };
        self.reply(&peer, 0, reply);
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        granted: bool,
        current: u64,
    ) {
        if current > self.term && !granted {
            self.become_follower(now, current);
            return;
        }
        if !granted || term != self.term + 1 || !self.has_voter(from) {
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

    pub(super) fn handle_vote(
        &mut self,
        now: Time,
        peer: Peer,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        // While the leader is live, a vote request with a newer term is
        // ignored and the term is not adopted, so that a removed replica
        // cannot depose the leader.
        if self.has_live_leader(now) && term > self.term {
            return;
        }
        if term > self.term {
            self.become_follower(now, term);
        }
        let may_vote = self.vote.is_none_or(|v| v == peer.id);
        let granted = term == self.term
            && may_vote
            && self.is_up_to_date(last_index, last_term);
        if granted && self.vote.is_none() {
            self.vote = Some(peer.id);
            self.write_hard_state();
            self.reset_election_timeout(now);
            self.log_event(
                &kinds::VOTE_GRANTED,
                format!("replica={} to={} term={term}", self.id, peer.id),
            );
        }
        // The reply is sent only once the vote is synced. A replica that
        // lost its vote in a crash could vote twice in one term and so help
        // to elect a second leader.
        let reply = Message::VoteReply { term: self.term, granted };
        self.reply(&peer, self.hard_state_ticket, reply);
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        granted: bool,
    ) {
        if term > self.term {
            self.become_follower(now, term);
            return;
        }
        let voting = self.has_voter(from);
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

    fn has_voter(&self, id: ReplicaId) -> bool {
        self.voters().any(|v| v.id == id)
    }

    pub(super) fn count_votes(&mut self, now: Time) {
        if let State::Candidate { votes, .. } = &self.state {
            // The own vote is required even with a majority of others,
            // because the new term must be synced before this replica acts
            // as its leader.
            if votes.contains(&self.id) && self.is_majority(votes) {
                self.become_leader(now);
            }
        }
    }

    fn become_leader(&mut self, now: Time) {
        self.leader = Some(self.id);
        let silence_limit =
            self.options.election_timeout_max * self.election_backoff();
        self.led_term = self.term;
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
            term_start_index: next,
            next_heartbeat: now,
            silence_limit,
            round: 0,
            last_round_at: now,
            proposals: VecDeque::new(),
            account: Account::default(),
            reads: Reads::default(),
            watch: CommitWatch::new(self.commit, now),
        });
        self.log_event(
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

    /// Steps down and adopts `term` if it is newer.
    pub(super) fn become_follower(&mut self, now: Time, term: u64) {
        self.step_down(now, "newer term");
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.leader = None;
            self.incoming_snapshot = None;
            self.write_hard_state();
        }
    }

    /// Ends the leadership or candidacy of this replica.
    pub(super) fn step_down(&mut self, now: Time, reason: &str) {
        let old = std::mem::replace(
            &mut self.state,
            State::Follower { pre_votes: None },
        );
        if let State::Leader(leader) = old {
            self.leader = None;
            self.log_event(
                &kinds::LEADER_STEPPED_DOWN,
                format!(
                    "replica={} term={} reason=\"{reason}\"",
                    self.id, self.term
                ),
            );
            self.fail_reads(&leader);
            for p in leader.proposals {
                self.effects.push(ConsensusEffect::Outcome(
                    p.token,
                    Err(ProposeError::Unknown),
                ));
            }
            // Entries that were not written yet are written now, so that the
            // disk holds the same log that the replica uses to decide on
            // votes.
            self.write_log();
            self.reset_election_timeout(now);
        }
    }

    /// Whether the sender of an append or snapshot is the current leader; if
    /// so, follows it.
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
            self.become_follower(now, term);
        } else if let State::Leader(_) = self.state {
            return false;
        }
        self.state = State::Follower { pre_votes: None };
        self.leader = Some(from);
        self.last_leader_contact = Some(now);
        self.led_term = term;
        self.reset_election_timeout(now);
        true
    }

    /// Informs the leader of an older term about the current one.
    pub(super) fn reject_stale_leader(
        &mut self,
        peer: Peer,
        message: &Message,
    ) {
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
        self.reply(&peer, 0, reply);
    }
}
