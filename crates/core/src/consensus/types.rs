//! Messages, events, effects and stored records of the replicated log.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    event::LogEvent,
    id::{InstanceId, ReplicaId, Token},
    time::Time,
};

/// A control replica as a member of the group.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Replica {
    /// Identifier of the replica.
    pub id: ReplicaId,
    /// The instance that runs it.
    pub instance: InstanceId,
    /// Name of the instance.
    pub name: String,
    /// Peer address of the instance.
    pub address: SocketAddr,
    /// Whether it is a voter; otherwise it is a learner.
    pub voter: bool,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term in which it was proposed.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command: the entry that a new leader appends to commit the entries
    /// of older terms.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// The members from this entry on, sorted by identifier.
    Members(Vec<Replica>),
}

/// A message with its group, sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Identifier of the control group, set when it is bootstrapped.
    pub group: u64,
    /// Sending replica.
    pub from: ReplicaId,
    /// Receiving replica.
    pub to: ReplicaId,
    /// Return address, in messages that expect a reply. A replica with an
    /// empty log knows no members and could not reply without it.
    pub answer_to: Option<(InstanceId, SocketAddr)>,
    /// The message.
    pub message: Message,
}

/// Messages of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender.
    PreVote {
        /// Term that the sender would start.
        term: u64,
        /// Index of its last entry.
        last_index: u64,
        /// Term of its last entry.
        last_term: u64,
    },
    /// Reply to `PreVote`.
    PreVoteReply {
        /// Term of the request.
        term: u64,
        /// Whether the pre-vote is granted.
        granted: bool,
        /// Current term of the sender.
        current: u64,
    },
    /// Requests a vote.
    Vote {
        /// Term of the sender.
        term: u64,
        /// Index of its last entry.
        last_index: u64,
        /// Term of its last entry.
        last_term: u64,
    },
    /// Reply to `Vote`, sent once the vote is synced.
    VoteReply {
        /// Term of the sender.
        term: u64,
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// Appends entries; a heartbeat if there are none.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        previous_index: u64,
        /// Term of that entry.
        previous_term: u64,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Number of the last heartbeat round. A reply repeats it and so
        /// confirms to the leader that the member followed it after that
        /// round began.
        round: u64,
    },
    /// Reply to `Append`, sent once the entries are synced. Also the reply,
    /// with round 0, to a `Snapshot` that is installed, not needed, or from a
    /// leader of an older term.
    AppendReply {
        /// Term of the sender.
        term: u64,
        /// Whether the entry before the appended ones matched the sender's
        /// log.
        success: bool,
        /// On success the last index known to match, otherwise the index
        /// from which the leader should try again.
        index: u64,
        /// Round of the `Append`.
        round: u64,
    },
    /// A chunk of a snapshot for a replica that is far behind.
    Snapshot {
        /// Term of the leader.
        term: u64,
        /// Last index that the snapshot covers.
        index: u64,
        /// Term of the entry at that index.
        index_term: u64,
        /// Members at that index.
        members: Vec<Replica>,
        /// Offset of this chunk in bytes.
        offset: u64,
        /// Content of this chunk.
        data: Bytes,
        /// Whether this is the last chunk.
        done: bool,
        /// Index of the change that made these the members; 0 if a release
        /// without this field sent the chunk.
        #[serde(default)]
        members_index: u64,
    },
    /// Reply to `Snapshot`.
    SnapshotReply {
        /// Term of the sender.
        term: u64,
        /// Last index that the snapshot covers.
        index: u64,
        /// Bytes received so far.
        offset: u64,
    },
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusEvent {
    /// Creates a new group with this replica as its only voter.
    Bootstrap {
        /// Identifier of the group; not 0, and different from that of any
        /// other group.
        group: u64,
        /// This replica.
        replica: Replica,
    },
    /// A message arrived.
    Message(Envelope),
    /// A message to this instance is still crossing: the instance has
    /// received more of it, but not yet all.
    Receiving(InstanceId),
    /// The write with this ticket and all earlier writes are synced.
    Persisted(u64),
    /// Proposes a command; answered with `Outcome`.
    Propose(Token, Bytes),
    /// Reads the state machine; answered with `Outcome` once this replica is
    /// confirmed as the leader and has applied everything that was committed
    /// when the read arrived.
    Read(Token),
    /// Changes the members, one change at a time; answered with `Outcome`.
    ChangeMembers(Token, MemberChange),
    /// The snapshot of the state machine that `TakeSnapshot` requested.
    Snapshot {
        /// Last index that the snapshot covers.
        index: u64,
        /// Encoded state of the state machine.
        data: Bytes,
    },
    /// A timer may be due.
    Tick,
}

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica as a learner.
    AddLearner(Replica),
    /// Makes a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusEffect {
    /// Sends a message to the instance at `address`.
    Send {
        /// The instance.
        instance: InstanceId,
        /// Its peer address.
        address: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Writes and syncs a record, then answers with `Persisted(ticket)`.
    /// Writes are done in order; one sync may cover several.
    Persist {
        /// Number of the write; rises by one with each.
        ticket: u64,
        /// The record to write.
        write: Write,
    },
    /// Applies a committed command to the state machine.
    Apply {
        /// Index of the command.
        index: u64,
        /// The command.
        command: Bytes,
    },
    /// Replaces the state of the state machine by a snapshot.
    Restore {
        /// Last index that the snapshot covers.
        index: u64,
        /// Encoded state of the state machine.
        data: Bytes,
    },
    /// Takes a snapshot of the state machine; answered with `Snapshot`.
    TakeSnapshot,
    /// A proposal or a read has ended. The index is applied before this
    /// effect.
    Outcome(Token, Result<u64, ProposeError>),
    /// The role, term, leader or members have changed.
    Status(Status),
    /// Logs an event.
    Log(LogEvent),
}

/// A record written to the data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// The group, term and vote.
    HardState {
        /// The control group.
        group: u64,
        /// Current term.
        term: u64,
        /// Vote in that term.
        vote: Option<ReplicaId>,
    },
    /// Entries to append after the log was truncated after index `after`.
    Append {
        /// Index of the entry before the appended ones.
        after: u64,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A snapshot; entries up to its index may be dropped.
    Snapshot(StoredSnapshot),
}

/// A snapshot of the state machine with its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Last index that the snapshot covers.
    pub index: u64,
    /// Term of the entry at that index.
    pub term: u64,
    /// Members at that index.
    pub members: Vec<Replica>,
    /// Encoded state of the state machine.
    pub data: Bytes,
    /// Index of the change that made these the members; 0 in a snapshot of a
    /// release that did not store it.
    #[serde(default)]
    pub members_index: u64,
}

impl StoredSnapshot {
    /// Returns the index from which the members apply, as far as it is known.
    pub(crate) fn members_since(&self) -> u64 {
        match self.members_index {
            0 => self.index,
            index => index,
        }
    }
}

/// The state read from the data folder at startup.
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
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Applies a write in the same way as the data folder does.
    ///
    /// If the stored entry at the index of a snapshot is missing or has
    /// another term, the whole log is dropped, because its entries may belong
    /// to a divergent history.
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
    /// This replica is not the leader; holds the leader if known. Nothing was
    /// appended.
    NotLeader(Option<ReplicaId>),
    /// Leadership was lost after the entry was appended; it may still commit.
    Unknown,
    /// The proposal is not allowed at present, for the given reason. Nothing
    /// was appended.
    Rejected(String),
    /// The replica cannot take the proposal or read at the moment, for the
    /// given reason. Nothing was appended; it may be sent again.
    Busy(String),
    /// The command never fits into the data folder, for the given reason.
    /// Nothing was appended.
    TooLarge(String),
}

/// Role of a replica.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Not in a group yet.
    #[default]
    Idle,
    /// Receives the log but does not vote yet.
    Learner,
    /// Follows a leader.
    Follower,
    /// Requests votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Status of a replica, for operators and the other parts of the daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The control group; 0 if none.
    pub group: u64,
    /// Role of the replica.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Last index in its log.
    pub last_index: u64,
    /// Committed index.
    pub commit: u64,
    /// Members, sorted by identifier.
    pub members: Vec<Replica>,
    /// At the leader: last matching index of each member, in the order of
    /// `members`.
    pub progress: Vec<u64>,
    /// At the leader: whether each member has answered within an election
    /// timeout, in the order of `members`.
    #[serde(default)]
    pub active: Vec<bool>,
    /// At the leader: when each member last answered, or else when the leader
    /// was elected, in the order of `members`. Each process has its own clock.
    #[serde(skip)]
    pub last_reply: Vec<Time>,
    /// Index of the last membership change.
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
