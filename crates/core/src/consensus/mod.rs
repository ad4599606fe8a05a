/*!
A replicated log among the control replicas.

The protocol follows Raft (Ongaro and Ousterhout, 2014) with pre-vote,
check-quorum and learners. Nothing leaves the reducer that depends on state
which is not yet synced to disk: such messages wait in `pending` for the
ticket of their write. A leader counts its own entries towards a majority
only once they are synced, too. See section 6 of the design page.
*/

mod election;
mod log;
mod members;
mod outbox;
mod receive;
mod replication;
mod transfer;
mod types;

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

pub use types::*;

use self::{
    log::Log,
    outbox::{Peer, Pending},
    replication::Progress,
    transfer::Incoming,
};
use crate::{
    event::{EventKind, LogEvent, control as kinds},
    id::{ReplicaId, Token},
    time::Time,
};

/// Times and limits of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusOptions {
    /// Time between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader after which a replica stands for
    /// election. A leader that has not heard a majority for this time steps
    /// down.
    pub election_timeout_min: Duration,
    /// Longest such time.
    pub election_timeout_max: Duration,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_threshold: u64,
    /// Entries before a snapshot that stay in memory for slow followers.
    pub trailing_entries: u64,
    /// Largest payload of one append message, in bytes.
    pub max_append_bytes: u64,
    /// Largest part of a snapshot in one message, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Append messages to one follower that may be unanswered.
    pub max_in_flight_appends: usize,
    /// Uncommitted bytes at which a leader refuses proposals.
    pub max_uncommitted_bytes: u64,
    /// Entries that a learner may lack and still count as caught up.
    pub max_learner_lag: u64,
}

impl Default for ConsensusOptions {
    fn default() -> ConsensusOptions {
        ConsensusOptions {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(500),
            election_timeout_max: Duration::from_millis(1_000),
            snapshot_threshold: 1_000,
            trailing_entries: 100,
            max_append_bytes: 256 * 1024,
            snapshot_chunk_bytes: 64 * 1024,
            max_in_flight_appends: 4,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            max_learner_lag: 100,
        }
    }
}

/// A proposal that waits for its entry to commit.
struct Proposal {
    token: Token,
    index: u64,
    bytes: u64,
}

/// What a replica does, with the state that only this role has.
enum State {
    /// Follower, learner, or in no group.
    Follower {
        /// Replicas that would vote for this one, while it asks them.
        pre_votes: Option<Vec<ReplicaId>>,
    },
    Candidate {
        votes: Vec<ReplicaId>,
        /// The own vote counts once this write is synced.
        own_vote: u64,
    },
    Leader(Leader),
}

/// State of a leader.
struct Leader {
    /// Sorted by identifier; has every member but this replica.
    progress: Vec<Progress>,
    /// First index of its term; changes of the members wait for it.
    first_index: u64,
    heartbeat_at: Time,
    round: u64,
    /// When recent rounds were sent, the last one at the back.
    rounds: VecDeque<Time>,
    /// Sorted by index.
    proposals: VecDeque<Proposal>,
    /// Bytes of the proposals.
    uncommitted: u64,
}

/// A control replica.
pub struct Consensus {
    id: ReplicaId,
    options: ConsensusOptions,
    rng: Pcg32,
    group: u64,
    term: u64,
    vote: Option<ReplicaId>,
    log: Log,
    commit: u64,
    applied: u64,
    state: State,
    leader: Option<ReplicaId>,
    /// When a message of the current leader last arrived.
    leader_heard: Option<Time>,
    election_at: Time,
    last_ticket: u64,
    persisted: u64,
    /// Ticket of the last write of term and vote.
    hard_ticket: u64,
    pending: VecDeque<Pending>,
    incoming: Option<Incoming>,
    /// Whether a snapshot of the state machine has been asked for.
    snapshot_asked: bool,
    /// The last foreign group that was logged, to log each only once.
    foreign_group: u64,
    reported: Option<Status>,
    out: Vec<ConsensusEffect>,
}

impl Consensus {
    /// Builds a replica from what its data folder held.
    pub fn new(
        id: ReplicaId,
        options: ConsensusOptions,
        recovered: Recovered,
        seed: u64,
    ) -> Consensus {
        let (group, term, vote) =
            (recovered.group, recovered.term, recovered.vote);
        let log = Log::new(recovered);
        let commit = log.snapshot_index();
        Consensus {
            id,
            options,
            rng: Pcg32::seed_from_u64(seed),
            group,
            term,
            vote,
            log,
            commit,
            applied: commit,
            state: State::Follower { pre_votes: None },
            leader: None,
            leader_heard: None,
            election_at: Time::ZERO,
            last_ticket: 0,
            persisted: 0,
            hard_ticket: 0,
            pending: VecDeque::new(),
            incoming: None,
            snapshot_asked: false,
            foreign_group: 0,
            reported: None,
            out: Vec::new(),
        }
    }

    /// Starts the replica: restores the state machine from the recovered
    /// snapshot and reports the status.
    pub fn start(
        &mut self,
        now: Time,
        out: &mut impl Extend<ConsensusEffect>,
    ) {
        if let Some(s) = &self.log.snapshot {
            self.out.push(ConsensusEffect::Restore {
                index: s.index,
                data: s.data.clone(),
            });
        }
        self.log(
            &kinds::REPLICA_RECOVERED,
            format!(
                "replica={} group={:016x} term={} snapshot={} last={}",
                self.id,
                self.group,
                self.term,
                self.log.snapshot_index(),
                self.log.last_index()
            ),
        );
        self.reset_election(now);
        self.finish(out);
    }

    /// Handles an event.
    pub fn step(
        &mut self,
        now: Time,
        event: ConsensusEvent,
        out: &mut impl Extend<ConsensusEffect>,
    ) {
        // A message that arrived first may remove the reason for a timeout.
        // Anything else must not be handled by a leader whose time is over.
        if !matches!(event, ConsensusEvent::Message(_)) {
            self.tick(now);
        }
        match event {
            ConsensusEvent::Bootstrap { group, replica } => {
                self.bootstrap(now, group, replica);
            }
            ConsensusEvent::Message(envelope) => {
                self.receive(now, envelope);
                self.tick(now);
            }
            ConsensusEvent::Persisted(ticket) => {
                self.persisted(now, ticket);
            }
            ConsensusEvent::Propose(token, command) => {
                self.propose(now, token, command);
            }
            ConsensusEvent::ChangeMembers(token, change) => {
                self.change_members(now, token, change);
            }
            ConsensusEvent::Snapshot { index, data } => {
                self.take_snapshot(index, data);
            }
            ConsensusEvent::Tick => {}
        }
        self.apply();
        self.leave_if_removed(now);
        self.finish(out);
    }

    /// When `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        match &self.state {
            State::Leader(leader) => Some(leader.heartbeat_at),
            _ if self.may_campaign() => Some(self.election_at),
            _ => None,
        }
    }

    /// The present status.
    pub fn status(&self) -> Status {
        let members = self.log.members().to_vec();
        let (mut progress, mut active) = (Vec::new(), Vec::new());
        if let State::Leader(leader) = &self.state {
            let since = leader.active_since(self.options.election_timeout_min);
            for member in &members {
                let p = leader.progress(member.id);
                progress.push(match p {
                    Some(p) => p.matched,
                    None => self.log.synced(),
                });
                active.push(p.is_none_or(|p| p.heard >= since));
            }
        }
        let role = match &self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate { .. } => Role::Candidate,
            State::Follower { .. } if self.group == 0 => Role::Idle,
            State::Follower { .. } if self.is_voter() => Role::Follower,
            State::Follower { .. } => Role::Learner,
        };
        Status {
            group: self.group,
            role,
            term: self.term,
            leader: self.leader,
            last_index: self.log.last_index(),
            commit: self.commit,
            members,
            progress,
            active,
            members_index: self.log.members_index(),
        }
    }

    /// The commands in the log that are not applied yet.
    pub fn unapplied(&self) -> impl Iterator<Item = &Bytes> {
        self.log.after(self.applied).filter_map(|e| match &e.payload {
            Payload::Command(command) => Some(command),
            _ => None,
        })
    }

    fn persisted(&mut self, now: Time, ticket: u64) {
        self.persisted = self.persisted.max(ticket);
        self.log.persisted(self.persisted);
        while let Some(p) = self.pending.front() {
            if p.ticket > self.persisted {
                break;
            }
            if let Some(p) = self.pending.pop_front() {
                self.out.push(p.effect);
            }
        }
        match &mut self.state {
            State::Candidate { votes, own_vote }
                if *own_vote <= self.persisted
                    && !votes.contains(&self.id) =>
            {
                votes.push(self.id);
                self.count_votes(now);
            }
            State::Leader(_) => {
                if !self.log.is_writing() {
                    self.write_log();
                }
                self.advance_commit();
            }
            _ => {}
        }
    }

    /// Applies what is committed and ends the proposals.
    fn apply(&mut self) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.entry(index) else { break };
            if let Payload::Command(command) = &entry.payload {
                let command = command.clone();
                self.out.push(ConsensusEffect::Apply { index, command });
            }
            self.applied = index;
            if let State::Leader(leader) = &mut self.state {
                while let Some(p) = leader.proposals.front() {
                    if p.index > index {
                        break;
                    }
                    leader.uncommitted -= p.bytes;
                    self.out
                        .push(ConsensusEffect::Outcome(p.token, Ok(index)));
                    leader.proposals.pop_front();
                }
            }
        }
        self.ask_snapshot();
    }

    fn is_voter(&self) -> bool {
        self.log.members().iter().any(|m| m.id == self.id && m.voter)
    }

    /// Whether this replica stands for election: it votes, or its removal is
    /// not known to be committed. Without the latter, a leader that crashes
    /// while it removes itself could leave a log that is longer than all
    /// others and that no candidate has.
    fn may_campaign(&self) -> bool {
        self.log
            .possible_members(self.commit)
            .any(|m| m.id == self.id && m.voter)
    }

    fn voters(&self) -> impl Iterator<Item = &Replica> {
        self.log.members().iter().filter(|m| m.voter)
    }

    /// The other members.
    fn others(&self) -> Vec<Replica> {
        let mut members = self.log.members().to_vec();
        members.retain(|m| m.id != self.id);
        members
    }

    /// Whether these replicas include a majority of the voters now.
    fn is_majority(&self, votes: &[ReplicaId]) -> bool {
        let count = self.voters().filter(|v| votes.contains(&v.id)).count();
        count > self.voters().count() / 2
    }

    fn random(&mut self, min: Duration, max: Duration) -> Duration {
        let (min, max) = (min.as_micros() as u64, max.as_micros() as u64);
        Duration::from_micros(self.rng.random_range(min..=max.max(min)))
    }

    fn reset_election(&mut self, now: Time) {
        let (min, max) = (
            self.options.election_timeout_min,
            self.options.election_timeout_max,
        );
        self.election_at = now + self.random(min, max);
    }

    fn log(&mut self, kind: &'static EventKind, detail: String) {
        self.out.push(ConsensusEffect::Log(LogEvent::new(kind, detail)));
    }

    /// Hands out the effects, with the status if it has changed.
    fn finish(&mut self, out: &mut impl Extend<ConsensusEffect>) {
        let status = self.status();
        let same = self.reported.as_ref().is_some_and(|r| {
            r.group == status.group
                && r.role == status.role
                && r.term == status.term
                && r.leader == status.leader
                && r.members == status.members
        });
        if !same {
            self.log(
                &kinds::ROLE_CHANGED,
                format!(
                    "replica={} role={:?} term={} leader={} members={}",
                    self.id,
                    status.role,
                    status.term,
                    status.leader.map_or("-".into(), |l| l.to_string()),
                    status.members.len()
                ),
            );
            self.out.push(ConsensusEffect::Status(status.clone()));
            self.reported = Some(status);
        }
        out.extend(self.out.drain(..));
    }
}
