/*!
The replicated log of the control replicas.

The protocol follows Raft (Ongaro and Ousterhout, 2014) with pre-vote,
check-quorum and learners. A message that depends on state which is not yet
synced to disk waits in `pending` until the write with its ticket is synced.
Likewise, a leader counts its own entries towards a majority only once they
are synced. See section 6 of the design page.
*/

mod election;
mod log;
mod members;
mod outbox;
mod proposals;
mod reads;
mod receive;
mod replication;
mod room;
mod transfer;
mod types;
mod watch;

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

pub use types::*;
pub use watch::ReplicaFigures;

use self::{
    log::Log,
    outbox::{Peer, PendingMessage},
    proposals::{Account, Proposal},
    reads::Reads,
    replication::Progress,
    transfer::IncomingSnapshot,
    watch::CommitWatch,
};
use crate::{
    event::{EventKind, LogEvent, control as kinds},
    id::ReplicaId,
    time::Time,
};

/// Largest number of times that the election timeouts are doubled: elections
/// then succeed with round trips of a second.
const MAX_ELECTION_BACKOFF: u64 = 2;

/// Intervals and limits of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusOptions {
    /// Interval between the heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout: the time without contact from a leader
    /// after which a replica starts an election. Elections without a winner
    /// raise it.
    pub election_timeout_min: Duration,
    /// Longest election timeout. A leader that has not heard from a majority
    /// for this time steps down.
    pub election_timeout_max: Duration,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_threshold: u64,
    /// Size of the applied entries, in bytes, above which a snapshot is taken
    /// as well, unless the last one is larger.
    pub snapshot_bytes: u64,
    /// Number of entries covered by the snapshot that stay in memory, so
    /// that slow followers can catch up without a snapshot.
    pub trailing_entries: u64,
    /// Largest size of these entries, in bytes.
    pub trailing_bytes: u64,
    /// Capacity of the data folder, in bytes; `None` if it is not limited.
    pub folder_bytes: Option<u64>,
    /// Largest payload of one append message, in bytes, unless a single entry
    /// is larger.
    pub max_append_bytes: u64,
    /// Largest snapshot chunk in one message, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Largest number of unanswered append messages per follower.
    pub max_in_flight_appends: usize,
    /// Largest size of the large commands that wait to be committed, in bytes;
    /// a single one may be larger. 16 append messages of the largest size, as
    /// small commands commit after them.
    pub max_uncommitted_bytes: u64,
    /// Largest number of entries by which a learner may be behind the leader
    /// and still be promoted.
    pub max_learner_lag: u64,
}

impl Default for ConsensusOptions {
    fn default() -> ConsensusOptions {
        ConsensusOptions {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(500),
            election_timeout_max: Duration::from_millis(1_000),
            snapshot_threshold: 1_000,
            snapshot_bytes: 4 * 1024 * 1024,
            trailing_entries: 100,
            // The largest proposals that wait, so that a follower which lacks
            // the last of them needs no snapshot.
            trailing_bytes: 16 * 1024 * 1024,
            folder_bytes: None,
            max_append_bytes: 256 * 1024,
            snapshot_chunk_bytes: 64 * 1024,
            max_in_flight_appends: 4,
            max_uncommitted_bytes: 4 * 1024 * 1024,
            max_learner_lag: 100,
        }
    }
}

/// The role of a replica, with the state specific to it.
enum State {
    /// A follower, a learner, or a replica that is in no group.
    Follower {
        /// Replicas that granted a pre-vote; `None` unless a pre-vote is in
        /// progress.
        pre_votes: Option<Vec<ReplicaId>>,
    },
    Candidate {
        votes: Vec<ReplicaId>,
        /// Ticket of the write of the own vote, which counts only once that
        /// write is synced.
        own_vote_ticket: u64,
    },
    Leader(Leader),
}

/// State of a leader.
struct Leader {
    /// Replication progress of every member except this replica, sorted by
    /// identifier.
    progress: Vec<Progress>,
    /// Index of the first entry of its term. Membership changes are refused
    /// until this entry is committed.
    term_start_index: u64,
    next_heartbeat: Time,
    /// Time without a reply from a majority after which it steps down.
    silence_limit: Duration,
    round: u64,
    /// When the last heartbeat round was sent.
    last_round_at: Time,
    /// Uncommitted proposals, sorted by index.
    proposals: VecDeque<Proposal>,
    /// The bytes of `proposals`.
    account: Account,
    reads: Reads,
    watch: CommitWatch,
}

/// The consensus state machine of one control replica.
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
    last_leader_contact: Option<Time>,
    /// The newest term whose leader is known, or the one recovered.
    led_term: u64,
    election_deadline: Time,
    last_ticket: u64,
    persisted_ticket: u64,
    /// Ticket of the last write of the term and the vote.
    hard_state_ticket: u64,
    pending: VecDeque<PendingMessage>,
    incoming_snapshot: Option<IncomingSnapshot>,
    /// Whether `TakeSnapshot` was emitted and not answered yet.
    snapshot_requested: bool,
    /// Bytes that a snapshot has to free for what was refused last.
    room_needed: u64,
    /// The last foreign group that was logged. Repeated messages from the
    /// same group are not logged again.
    last_foreign_group: u64,
    last_status: Option<Status>,
    effects: Vec<ConsensusEffect>,
}

impl Consensus {
    /// Creates a replica from the state recovered from its data folder.
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
            last_leader_contact: None,
            led_term: term,
            election_deadline: Time::ZERO,
            last_ticket: 0,
            persisted_ticket: 0,
            hard_state_ticket: 0,
            pending: VecDeque::new(),
            incoming_snapshot: None,
            snapshot_requested: false,
            room_needed: 0,
            last_foreign_group: 0,
            last_status: None,
            effects: Vec::new(),
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
            self.effects.push(ConsensusEffect::Restore {
                index: s.index,
                data: s.data.clone(),
            });
        }
        self.log_event(
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
        self.reset_election_timeout(now);
        self.flush_effects(out);
    }

    /// Handles an event.
    pub fn step(
        &mut self,
        now: Time,
        event: ConsensusEvent,
        out: &mut impl Extend<ConsensusEffect>,
    ) {
        // A message is handled before the timers, because it may cancel a
        // timeout that is due. Before any other event, due timers are
        // handled, so that a leader that has lost its majority does not
        // handle the event.
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
            ConsensusEvent::Receiving(instance) => {
                self.handle_receiving(now, instance);
            }
            ConsensusEvent::Persisted(ticket) => {
                self.handle_persisted(now, ticket);
            }
            ConsensusEvent::Propose(token, command) => {
                self.propose(now, token, command);
            }
            ConsensusEvent::Read(token) => self.read(now, token),
            ConsensusEvent::ChangeMembers(token, change) => {
                self.change_members(now, token, change);
            }
            ConsensusEvent::Snapshot { index, data } => {
                self.store_snapshot(index, data);
            }
            ConsensusEvent::Tick => {}
        }
        self.apply_committed();
        self.answer_reads(now);
        self.leave_if_removed(now);
        self.flush_effects(out);
    }

    /// Returns when the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        match &self.state {
            State::Leader(leader) => Some(leader.next_heartbeat),
            _ if self.may_campaign() => Some(self.election_deadline),
            _ => None,
        }
    }

    /// Returns the current status.
    pub fn status(&self) -> Status {
        let members = self.log.members().to_vec();
        let (mut progress, mut active) = (Vec::new(), Vec::new());
        let mut last_reply = Vec::new();
        if let State::Leader(leader) = &self.state {
            let since = leader.active_since(self.options.election_timeout_min);
            for member in &members {
                let p = leader.progress(member.id);
                progress.push(match p {
                    Some(p) => p.match_index,
                    None => self.log.synced_index(),
                });
                active.push(p.is_none_or(|p| p.last_reply >= since));
                last_reply
                    .push(p.map_or(leader.last_round_at, |p| p.last_reply));
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
            last_reply,
            members_index: self.log.members_index(),
        }
    }

    /// Returns the commands in the log that are not applied yet.
    pub fn unapplied(&self) -> impl Iterator<Item = &Bytes> {
        self.log.entries_after(self.applied).filter_map(|e| match &e.payload {
            Payload::Command(command) => Some(command),
            _ => None,
        })
    }

    fn handle_persisted(&mut self, now: Time, ticket: u64) {
        self.persisted_ticket = self.persisted_ticket.max(ticket);
        self.log.mark_synced(self.persisted_ticket);
        while let Some(p) = self.pending.front() {
            if p.ticket > self.persisted_ticket {
                break;
            }
            if let Some(p) = self.pending.pop_front() {
                self.effects.push(p.effect);
            }
        }
        match &mut self.state {
            State::Candidate { votes, own_vote_ticket }
                if *own_vote_ticket <= self.persisted_ticket
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

    /// Applies the committed entries and reports the outcome of their
    /// proposals.
    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.entry(index) else { break };
            if let Payload::Command(command) = &entry.payload {
                let command = command.clone();
                self.effects.push(ConsensusEffect::Apply { index, command });
            }
            self.applied = index;
            if let State::Leader(leader) = &mut self.state {
                while let Some(p) = leader.proposals.front() {
                    if p.index > index {
                        break;
                    }
                    leader.account.release(p.bytes);
                    self.effects
                        .push(ConsensusEffect::Outcome(p.token, Ok(index)));
                    leader.proposals.pop_front();
                }
            }
        }
        self.request_snapshot();
    }

    fn is_voter(&self) -> bool {
        self.log.members().iter().any(|m| m.id == self.id && m.voter)
    }

    /// Whether this replica may start an election: it is a voter, or its
    /// removal is not known to be committed. Without the second case, a
    /// leader that crashes while it removes itself could be the only replica
    /// with the longest log, and no other candidate could win.
    fn may_campaign(&self) -> bool {
        self.log
            .possible_members(self.commit)
            .any(|m| m.id == self.id && m.voter)
    }

    fn voters(&self) -> impl Iterator<Item = &Replica> {
        self.log.members().iter().filter(|m| m.voter)
    }

    /// Returns the members except this replica.
    fn other_members(&self) -> Vec<Replica> {
        let mut members = self.log.members().to_vec();
        members.retain(|m| m.id != self.id);
        members
    }

    /// Whether these replicas include a majority of the current voters.
    fn is_majority(&self, votes: &[ReplicaId]) -> bool {
        let count = self.voters().filter(|v| votes.contains(&v.id)).count();
        count > self.voters().count() / 2
    }

    fn random_duration(&mut self, min: Duration, max: Duration) -> Duration {
        let (min, max) = (min.as_micros() as u64, max.as_micros() as u64);
        Duration::from_micros(self.rng.random_range(min..=max.max(min)))
    }

    fn reset_election_timeout(&mut self, now: Time) {
        let backoff = self.election_backoff();
        let (min, max) = (
            self.options.election_timeout_min * backoff,
            self.options.election_timeout_max * backoff,
        );
        self.election_deadline = now + self.random_duration(min, max);
    }

    /// Returns the factor of election timeouts. It doubles with each election
    /// without a winner after the first, because messages may take longer than
    /// an election lasts.
    fn election_backoff(&self) -> u32 {
        let failed = self.term.saturating_sub(self.led_term + 1);
        1 << failed.min(MAX_ELECTION_BACKOFF)
    }

    fn log_event(&mut self, kind: &'static EventKind, detail: String) {
        self.effects.push(ConsensusEffect::Log(LogEvent::new(kind, detail)));
    }

    /// Moves the collected effects to `out`, with the status if it has
    /// changed.
    fn flush_effects(&mut self, out: &mut impl Extend<ConsensusEffect>) {
        let status = self.status();
        let unchanged = self.last_status.as_ref().is_some_and(|r| {
            r.group == status.group
                && r.role == status.role
                && r.term == status.term
                && r.leader == status.leader
                && r.members == status.members
        });
        if !unchanged {
            self.log_event(
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
            self.effects.push(ConsensusEffect::Status(status.clone()));
            self.last_status = Some(status);
        }
        out.extend(self.effects.drain(..));
    }
}
