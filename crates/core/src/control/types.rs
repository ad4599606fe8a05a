//! Commands, outcomes and messages of the control group.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    config::ZoneState,
    consensus::Replica,
    id::{ConfigVersion, InstanceId, QueryId},
    query::ClaimResult,
    verdict::Verdict,
};

/// A command of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replace the configuration.
    Change(Change),
    /// Claim a caller's request id for one query.
    Claim(Claim),
    /// Record how a claimed request ended.
    Settle(Settle),
    /// Bring a forwarding table into force if its revision is the highest.
    Revise(TableRevision),
    /// Take a zone out or in.
    SetZone(ZoneStateChange),
    /// Changes nothing; its reply tells the version in force at its place in
    /// the log.
    Barrier,
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by the operator; a resend carries the same.
    pub change_id: String,
    /// The version that the change was made from.
    pub expected_version: ConfigVersion,
    /// The new document, in MessagePack, already checked.
    pub document: Bytes,
}

/// A forwarding table under a number that the operators chose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRevision {
    /// The highest number is in force.
    pub revision: u64,
    /// The `Forwarding`, in MessagePack, already checked.
    pub table: Bytes,
}

/// An order to take a zone out or in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStateChange {
    /// Name of the availability zone.
    pub zone: String,
    /// Whether it takes work.
    pub state: ZoneState,
}

/// A claim of a caller's request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's id, prefixed by the route.
    pub request_id: String,
    /// The query that claims it.
    pub query: QueryId,
    /// Wall-clock time at the leader when it was proposed, in milliseconds
    /// since the Unix epoch; claims expire by it.
    pub at_ms: u64,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The caller's id, prefixed by the route.
    pub request_id: String,
    /// The query that owns the claim.
    pub query: QueryId,
    /// `NotRun` releases the claim.
    pub verdict: Verdict,
}

/// Outcome of a change, the same for each resend of its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// Accepted as this version.
    Accepted(ConfigVersion),
    /// Refused, because this version was current.
    Conflict(ConfigVersion),
}

/// Messages between instances and the control leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request for the leader.
    Request {
        /// Correlates the reply.
        sequence: u64,
        /// The request.
        request: ControlRequest,
    },
    /// Its reply.
    Reply {
        /// Of the request.
        sequence: u64,
        /// The reply.
        reply: ControlReply,
    },
}

/// A request for the control leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Change the configuration.
    Change(Change),
    /// Claim a request id; the leader fills in the time.
    Claim(Claim),
    /// Settle a claim.
    Settle(Settle),
    /// Bring a forwarding table into force.
    Revise(TableRevision),
    /// Take a zone out or in.
    SetZone(ZoneStateChange),
    /// Learn the newest version.
    Barrier,
    /// Add this replica to the group, as a learner first.
    Join(Replica),
    /// Remove a replica from the group.
    Remove(crate::id::ReplicaId),
}

/// A reply of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The change has an outcome.
    Change(ChangeOutcome),
    /// The claim has a result.
    Claim(ClaimResult),
    /// Everything accepted before has at most this version.
    Version(ConfigVersion),
    /// Done.
    Done,
    /// The receiver does not lead; ask this instance, if known. Nothing was
    /// proposed.
    NotLeader(Option<InstanceId>),
    /// Proposed, but leadership was lost: it may yet take effect.
    Unknown,
    /// Refused; nothing was proposed.
    Refused(String),
    /// The leader cannot propose it at present, and says why. Nothing was
    /// proposed; the request may be sent again.
    NotReady(String),
}
