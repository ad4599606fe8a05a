/*!
Membership of the fleet: failure detection and dissemination of changes.

Every instance runs this reducer. The cost per node does not depend on the
size of the fleet. See section 8 of the design page.
*/

mod detect;
mod exchange;
mod gossip;
mod join;
mod options;
mod probe;
mod records;
mod reducer;
mod repair;
mod table;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    event::LogEvent,
    id::{InstanceId, ReplicaId, ZoneId},
};

pub use options::MembershipOptions;
pub use reducer::Membership;

/// Membership record of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Name, for logs and operators.
    pub name: String,
    /// Address for messages from other instances.
    pub address: SocketAddr,
    /// Address of the operator interface.
    pub operator_address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether the instance serves callers.
    pub entry: bool,
    /// Control replica of the instance, if it has one.
    pub replica: Option<ReplicaId>,
    /// Control group of the replica; 0 if none.
    #[serde(default)]
    pub control_group: u64,
    /// Incarnation number, raised only by the instance itself, for example at
    /// a start or to refute a record.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
}

/// State of a member.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; becomes `Dead` unless it refutes the suspicion
    /// in time.
    Suspect,
    /// Is shutting down; no longer the home of any target.
    Leaving,
    /// Considered failed or stopped.
    Dead,
}

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Probe of the receiver.
    Ping {
        /// Sequence number, repeated in the `Ack`.
        sequence: u64,
        /// The sender's own record and recent changes.
        updates: Vec<Member>,
    },
    /// Answer to a `Ping` or `PingRequest`.
    Ack {
        /// Sequence number of the request.
        sequence: u64,
        /// The sender's own record and recent changes.
        updates: Vec<Member>,
    },
    /// Asks the receiver to probe `target` on behalf of the sender.
    PingRequest {
        /// Sequence number, repeated in the `Ack`.
        sequence: u64,
        /// Member to probe.
        target: InstanceId,
        /// The sender's own record and recent changes.
        updates: Vec<Member>,
    },
    /// Digest of the sender's table, to detect differences.
    Digest {
        /// Hash of the members that are not dead.
        hash: u64,
        /// Number of members that are not dead.
        count: u32,
    },
    /// Records that the receiver may lack.
    Full {
        /// Membership records.
        members: Vec<Member>,
        /// Whether the receiver should answer with its own records.
        reply: bool,
    },
    /// Answer to a `Digest` that differs: a hash of each bucket of the table,
    /// so that only the buckets that differ are sent, whatever the size of the
    /// fleet.
    Buckets {
        /// Hash of each bucket; the number of buckets is a power of two.
        hashes: Vec<u32>,
    },
    /// The members of the buckets that differ.
    Difference {
        /// Indices of the buckets.
        buckets: Vec<u16>,
        /// Total number of buckets.
        count: u16,
        /// The sender's members in these buckets; in an answer, only records
        /// that are new to the receiver.
        members: Vec<Member>,
        /// Whether the receiver should answer with its own records.
        reply: bool,
    },
}

/// Recipient of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// A known member.
    Member(InstanceId, SocketAddr),
    /// An address whose instance is not known yet.
    Address(SocketAddr),
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A message arrived. The sender's own record is among the updates.
    Message(InstanceId, Message),
    /// Addresses of instances that may be members.
    SeedAddresses(Vec<SocketAddr>),
    /// The platform's list names the instance at this address as leaving.
    PlatformLeaving(SocketAddr),
    /// The control replica or control group of this instance has changed.
    UpdateSelf {
        /// New control replica.
        replica: Option<ReplicaId>,
        /// New control group; 0 if none.
        control_group: u64,
    },
    /// This instance is shutting down.
    Leave,
    /// The deadline returned by `Membership::next_deadline` has passed.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Send a message.
    Send(Recipient, Message),
    /// A member was added, or its state or record changed.
    Changed(Member),
    /// Write a log line.
    Log(LogEvent),
}
