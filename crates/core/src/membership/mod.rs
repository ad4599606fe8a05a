/*!
Who is in the fleet: failure detection and dissemination.

Every instance runs this reducer. The cost for a node is constant whatever
the size of the fleet. See section 8 of the design page.
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

/// An instance as the fleet knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Its name, for logs and operators.
    pub name: String,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its operator address.
    pub operator_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it serves callers.
    pub entry: bool,
    /// Its control replica, if it has one.
    pub replica: Option<ReplicaId>,
    /// The control group that the replica is in; 0 if none.
    #[serde(default)]
    pub control_group: u64,
    /// Raised by the instance itself, at each start and each refutation.
    pub incarnation: u64,
    /// Its state.
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
    /// Did not answer; dead unless it refutes in time.
    Suspect,
    /// Has announced that it stops; no longer a home.
    Leaving,
    /// Gone.
    Dead,
}

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Are you there?
    Ping {
        /// Correlates the answer.
        sequence: u64,
        /// The sender itself and recent changes.
        updates: Vec<Member>,
    },
    /// Yes.
    Ack {
        /// Of the ping.
        sequence: u64,
        /// The sender itself and recent changes.
        updates: Vec<Member>,
    },
    /// Please ping `target` for me.
    PingRequest {
        /// Correlates the answer.
        sequence: u64,
        /// Whom to ping.
        target: InstanceId,
        /// Recent changes.
        updates: Vec<Member>,
    },
    /// A digest of all members, to find differences.
    Digest {
        /// Hash over the members.
        hash: u64,
        /// Number of members.
        count: u32,
    },
    /// Members that the receiver may lack.
    Full {
        /// The members.
        members: Vec<Member>,
        /// Whether the receiver should answer with its own.
        reply: bool,
    },
    /// Answer to a `Digest` that differs: hashes of parts of the table, so
    /// that only the parts that differ are sent whatever the fleet's size.
    Buckets {
        /// Hash of each bucket; their number is a power of two.
        hashes: Vec<u32>,
    },
    /// The members of the buckets that differ.
    Difference {
        /// The buckets.
        buckets: Vec<u16>,
        /// Number of buckets in all.
        count: u16,
        /// The sender's members in these buckets; in an answer, those that
        /// the receiver lacks.
        members: Vec<Member>,
        /// Whether the receiver should answer with its own.
        reply: bool,
    },
}

/// Whom a message is for.
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
    /// Addresses at which members may be found.
    SeedAddresses(Vec<SocketAddr>),
    /// The platform's list names the instance at this address as leaving.
    PlatformLeaving(SocketAddr),
    /// This instance's record has changed, for example its replica.
    UpdateSelf {
        /// Its control replica.
        replica: Option<ReplicaId>,
        /// Its control group.
        control_group: u64,
    },
    /// This instance stops.
    Leave,
    /// Time has passed.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Send a message.
    Send(Recipient, Message),
    /// A member appeared or changed its state or record.
    Changed(Member),
    /// A line for the log.
    Log(LogEvent),
}
