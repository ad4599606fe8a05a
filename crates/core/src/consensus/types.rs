//! Messages, events, effects and stored forms of the replicated log.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    event::LogEvent,
    id::{InstanceId, ReplicaId, Token},
};

/// A control replica as a member of the group.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Replica {
    /// The replica.
    pub id: ReplicaId,
    /// The instance that runs it.
    pub instance: InstanceId,
    /// Name of the instance.
    pub name: String,
    /// Peer address of the instance.
    pub address: SocketAddr,
    /// Whether it votes; a learner does not.
    pub voter: bool,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position, from 1.
    pub index: u64,
    /// Term in which it was proposed.
    pub term: u64,
    /// What it does.
    pub payload: Payload,
}

/// What an entry does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; the first entry of a leader.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// The members from here on, sorted by identifier.
    Members(Vec<Replica>),
}

/// A message with the group and the replicas that it is between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The control group, made at random when it was founded.
    pub group: u64,
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Where the sender is, in messages that ask for an answer. A replica
    /// with an empty log knows no members and could not answer otherwise.
    pub answer_to: Option<(InstanceId, SocketAddr)>,
    /// The message.
    pub message: Message,
}

/// Messages of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me?
    PreVote {
        /// Term that the sender would start.
        term: u64,
        /// Index of its last entry.
        last_index: u64,
        /// Term of its last entry.
        last_term: u64,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// Term of the question.
        term: u64,
        /// Whether it would.
        granted: bool,
        /// The sender's own term.
        current: u64,
    },
    /// Vote for me.
    Vote {
        /// Term of the sender.
        term: u64,
        /// Index of its last entry.
        last_index: u64,
        /// Term of its last entry.
        last_term: u64,
    },
    /// Answer to `Vote`, synced before it leaves.
    VoteReply {
        /// Term of the sender.
        term: u64,
        /// Whether it voted for the receiver.
        granted: bool,
    },
    /// Append entries, or a heartbeat if there are none.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        previous_index: u64,
        /// Term of that entry.
        previous_term: u64,
        /// Entries.
        entries: Vec<Entry>,
        /// Committed at the leader.
        commit: u64,
        /// Raised with each heartbeat round, to confirm leadership.
        round: u64,
    },
    /// Answer to `Append`, synced before it leaves.
    AppendReply {
        /// Term of the sender.
        term: u64,
        /// Whether the entries follow on the sender's log.
        success: bool,
        /// Last index known to match, or where to try next.
        index: u64,
        /// Round of the question.
        round: u64,
    },
    /// A snapshot for a replica that is far behind, in parts.
    Snapshot {
        /// Term of the leader.
        term: u64,
        /// Last index that it covers.
        index: u64,
        /// Term of that entry.
        index_term: u64,
        /// Members at that index.
        members: Vec<Replica>,
        /// Offset of this part.
        offset: u64,
        /// Part of the state.
        data: Bytes,
        /// Whether this is the last part.
        done: bool,
    },
    /// Answer to `Snapshot`.
    SnapshotReply {
        /// Term of the sender.
        term: u64,
        /// Last index of the snapshot.
        index: u64,
        /// Bytes received so far.
        offset: u64,
    },
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusEvent {
    /// Found a new group with this replica as its only voter.
    Bootstrap {
        /// Random identifier of the group.
        group: u64,
        /// This replica.
        replica: Replica,
    },
    /// A message arrived.
    Message(Envelope),
    /// Everything up to and including this write is synced.
    Persisted(u64),
    /// Append a command; answered with `Outcome`.
    Propose(Token, Bytes),
    /// Change the members; one change at a time; answered with `Outcome`.
    ChangeMembers(Token, MemberChange),
    /// The state machine's snapshot that `TakeSnapshot` asked for.
    Snapshot {
        /// Last index that it covers.
        index: u64,
        /// The state.
        data: Bytes,
    },
    /// Time has passed.
    Tick,
}

/// A change of the members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Add a replica that does not vote yet.
    AddLearner(Replica),
    /// Let a learner that has caught up vote.
    Promote(ReplicaId),
    /// Remove a replica.
    Remove(ReplicaId),
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusEffect {
    /// Send a message to the instance at `address`.
    Send {
        /// The instance.
        instance: InstanceId,
        /// Its peer address.
        address: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Write and sync, then answer with `Persisted(ticket)`. Writes are done
    /// in order; one sync may cover several.
    Persist {
        /// Rises by one with each write.
        ticket: u64,
        /// What to write.
        write: Write,
    },
    /// Apply a committed command to the state machine.
    Apply {
        /// Its index.
        index: u64,
        /// The command.
        command: Bytes,
    },
    /// Replace the state machine.
    Restore {
        /// Last index that it covers.
        index: u64,
        /// The state.
        data: Bytes,
    },
    /// Take a snapshot of the state machine now.
    TakeSnapshot,
    /// A proposal has ended. The index is applied before this effect.
    Outcome(Token, Result<u64, ProposeError>),
    /// Role, term, leader or members have changed.
    Status(Status),
    /// A line for the log.
    Log(LogEvent),
}

/// A write to the data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Term and vote.
    HardState {
        /// The control group.
        group: u64,
        /// Current term.
        term: u64,
        /// Vote in that term.
        vote: Option<ReplicaId>,
    },
    /// Entries to append, after cutting the log behind `after`.
    Append {
        /// Index that the entries follow.
        after: u64,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A snapshot; entries up to its index may be dropped.
    Snapshot(StoredSnapshot),
}

/// A snapshot of the state machine with its place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Last index that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members at that index.
    pub members: Vec<Replica>,
    /// The state.
    pub data: Bytes,
}

/// What the data folder held at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The control group; 0 if the replica is in none.
    pub group: u64,
    /// Current term.
    pub term: u64,
    /// Vote in that term.
    pub vote: Option<ReplicaId>,
    /// The last snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// Entries behind the snapshot.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Follows a write, as the data folder does.
    ///
    /// A snapshot whose last entry differs from the stored one drops the
    /// whole log, because the entries behind it belong to another history.
    pub fn apply_write(&mut self, write: Write) {
        match write {
            Write::HardState { group, term, vote } => {
                self.group = group;
                self.term = term;
                self.vote = vote;
            }
            Write::Append { after, entries } => {
                let keep = self.entries.partition_point(|e| e.index <= after);
                self.entries.truncate(keep);
                self.entries.extend(entries);
            }
            Write::Snapshot(snapshot) => {
                let at =
                    self.entries.partition_point(|e| e.index < snapshot.index);
                match self.entries.get(at) {
                    Some(e)
                        if e.index == snapshot.index
                            && e.term == snapshot.term =>
                    {
                        self.entries.drain(..=at);
                    }
                    _ => self.entries.clear(),
                }
                self.snapshot = Some(snapshot);
            }
        }
    }
}

/// Why a proposal failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposeError {
    /// Another replica leads, if known; nothing was appended.
    NotLeader(Option<ReplicaId>),
    /// Leadership was lost after the entry was appended: it may yet commit.
    Unknown,
    /// The change of members is not allowed now; nothing was appended.
    Rejected(String),
}

/// Role of a replica.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// In no group yet.
    #[default]
    Idle,
    /// Does not vote yet.
    Learner,
    /// Follows a leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a replica tells operators and the rest of its daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The control group; 0 if none.
    pub group: u64,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Last index in its log.
    pub last_index: u64,
    /// Committed index.
    pub commit: u64,
    /// Members, sorted by identifier.
    pub members: Vec<Replica>,
    /// At the leader: last matching index of each member, in their order.
    pub progress: Vec<u64>,
    /// At the leader: whether each member has answered within an election
    /// timeout, in their order.
    #[serde(default)]
    pub active: Vec<bool>,
    /// Index of the last change of the members.
    #[serde(default)]
    pub members_index: u64,
}

impl fmt::Display for MemberChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MemberChange::AddLearner(replica) => {
                write!(f, "add_learner:{}", replica.id)
            }
            MemberChange::Promote(id) => write!(f, "promote:{id}"),
            MemberChange::Remove(id) => write!(f, "remove:{id}"),
        }
    }
}
