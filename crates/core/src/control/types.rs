//! Commands, outcomes and messages of the control group.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    config::ZoneState,
    config_sync::RosterEntry,
    consensus::Replica,
    id::{ConfigVersion, InstanceId, QueryId},
    query::ClaimResult,
    rollout::{
        OrderResult, Rollout, RolloutClock, RolloutMove, RolloutOrder,
        report::Report,
    },
    verdict::Verdict,
};

/// A command of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration.
    Change(Change),
    /// Claims a caller's request id for one query.
    Claim(Claim),
    /// Records the verdict of a claimed request.
    Settle(Settle),
    /// Installs a forwarding table if its revision is higher than the
    /// present one.
    Revise(TableRevision),
    /// Takes an availability zone out of service or returns it to service.
    SetZone(ZoneStateChange),
    /// Changes nothing; its reply holds the version in force at its position
    /// in the log. Proposed by older releases.
    Barrier,
    /// Changes nothing; its reply holds the number of orders for this
    /// availability zone before its position in the log. Proposed by older
    /// releases.
    ReadZone(String),
    /// Starts a roll-out.
    StartRollout(RolloutOrder),
    /// Changes the stage of a roll-out.
    MoveRollout(RolloutMove),
    /// Records the time since the orders of running roll-outs.
    MarkRollouts(Vec<RolloutClock>),
    /// Replaces the roster.
    SetRoster(RosterChange),
    /// No majority counts any more by the roster before the one at this index
    /// of the log.
    EndPreviousRoster(u64),
}

/// A change of the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterChange {
    /// Index of the roster that it replaces. The command has no effect if
    /// another one is in force.
    pub after: u64,
    /// The new instances, sorted by identifier.
    pub entries: Vec<RosterEntry>,
    /// Whether no instance counts by the replaced roster any more, although
    /// its majority was not heard from.
    pub abandons_previous: bool,
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier chosen by the operator; a resend carries the same one.
    pub change_id: String,
    /// The version that the change is based on.
    pub expected_version: ConfigVersion,
    /// The new document, encoded as MessagePack and already validated.
    pub document: Bytes,
}

/// A forwarding table with the revision number chosen by the operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRevision {
    /// Revision number; the table with the highest one is in force.
    pub revision: u64,
    /// The `Forwarding`, encoded as MessagePack and already validated.
    pub table: Bytes,
}

/// A change of the state of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStateChange {
    /// Name of the availability zone.
    pub zone: String,
    /// The new state.
    pub state: ZoneState,
    /// Number of orders for the zone that came before this one. The order has
    /// no effect if another one came since, so that one that is late cannot
    /// undo it. `None` if a release without this field sent the order.
    #[serde(default)]
    pub after: Option<u64>,
}

/// A claim of a caller's request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's request id, prefixed by the route.
    pub request_id: String,
    /// The query that claims it.
    pub query: QueryId,
    /// Wall-clock time at the leader when the claim was proposed, in
    /// milliseconds since the Unix epoch; determines when claims expire.
    pub at_ms: u64,
}

/// The verdict of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The caller's request id, prefixed by the route.
    pub request_id: String,
    /// The query that owns the claim.
    pub query: QueryId,
    /// The verdict; `NotRun` releases the claim.
    pub verdict: Verdict,
}

/// A read of the state at the leader, which proposes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// The version in force.
    Version,
    /// The number of orders for an availability zone.
    ZoneOrders(String),
}

/// Outcome of a change. Each resend of a change gets the same one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change was accepted as this version.
    Accepted(ConfigVersion),
    /// The change was refused, because this version was in force instead of
    /// the expected one.
    Conflict(ConfigVersion),
}

/// Messages between instances and the control leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request for the leader.
    Request {
        /// Matches the reply to the request.
        sequence: u64,
        /// The request.
        request: ControlRequest,
    },
    /// The reply to a request.
    Reply {
        /// Sequence number of the request.
        sequence: u64,
        /// The reply.
        reply: ControlReply,
    },
    /// What an instance has counted in a running roll-out, for every replica.
    Report(Report),
}

/// A request for the control leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Changes the configuration.
    Change(Change),
    /// Claims a request id; the leader fills in the time.
    Claim(Claim),
    /// Records the verdict of a claimed request.
    Settle(Settle),
    /// Installs a forwarding table.
    Revise(TableRevision),
    /// Takes an availability zone out of service or returns it to service.
    SetZone(ZoneStateChange),
    /// Reads the newest version.
    Barrier,
    /// Reads the number of orders for an availability zone.
    ReadZone(String),
    /// Adds this replica to the group, as a learner first.
    Join(Replica),
    /// Removes a replica from the group.
    Remove(crate::id::ReplicaId),
    /// Starts a roll-out.
    StartRollout(RolloutOrder),
    /// Changes the stage of a roll-out.
    MoveRollout(RolloutMove),
    /// Records the time since the orders of running roll-outs.
    MarkRollouts(Vec<RolloutClock>),
}

/// A reply of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Outcome of a change.
    Change(ChangeOutcome),
    /// Result of a claim.
    Claim(ClaimResult),
    /// Version after the command. No change accepted before it has a higher
    /// version.
    Version(ConfigVersion),
    /// Number of orders for an availability zone.
    ZoneOrders(u64),
    /// The request took effect and has no other result.
    Done,
    /// The receiver is not the leader; holds the leader's instance if known.
    /// Nothing was proposed.
    NotLeader(Option<InstanceId>),
    /// The request was proposed, but its outcome is not known, because
    /// leadership was lost or a snapshot covered the command. It may still
    /// take effect.
    Unknown,
    /// The request was refused for this reason; nothing was proposed.
    Refused(String),
    /// The leader cannot propose the request at present, for this reason.
    /// Nothing was proposed; the request may be sent again.
    NotReady(String),
    /// Result of an order for a roll-out, or of a change of its stage.
    Rollout(Box<RolloutReply>),
    /// The request never fits into the data folder of the leader, for this
    /// reason. Nothing was proposed.
    TooLarge(String),
}

/// Result of an order for a roll-out, or of a change of its stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReply {
    /// Version of the configuration after the command.
    pub version: ConfigVersion,
    /// Result of an order; for a change of the stage, `Started` if it had an
    /// effect and `Repeated` otherwise.
    pub result: OrderResult,
    /// The last roll-out of the service, if there is one.
    pub rollout: Option<Rollout>,
}
