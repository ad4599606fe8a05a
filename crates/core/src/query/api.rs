/*!
Messages, requests, responses, events and effects of the query root.
*/

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    config::{Configuration, Priority},
    event::LogEvent,
    id::{InstanceId, QueryId, RouteId, TargetId, Token},
    placement::Candidate,
    snapshot::Snapshot,
    target::{JobOutcome, SharingNotice, TargetReport},
    verdict::Verdict,
};

/// Messages between the root of a query and the homes of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Root to home: run these shard requests.
    Request(ShardRequest),
    /// Home to root: the request has arrived.
    Accepted {
        /// The query.
        query: QueryId,
        /// Number of the request within the query.
        attempt: u32,
    },
    /// Home to root: one shard request has ended.
    Reply(ShardReply),
    /// Root to home: the replies to whole attempts are no longer wanted.
    Cancel {
        /// The query.
        query: QueryId,
        /// The attempts; all of the query if empty.
        attempts: Vec<u32>,
    },
    /// Home to all entry instances: states of targets.
    Reports(Vec<TargetReport>),
    /// Root to home: the replies for single shards are no longer wanted. An
    /// attempt covers every shard that one message asked for, so `Cancel`
    /// would also stop the shards that are still needed.
    CancelShards {
        /// The query.
        query: QueryId,
        /// Attempt and shard of each request.
        shards: Vec<(u32, u32)>,
    },
    /// Home to standby: whether the standby may send to a target.
    SharingNotice(TargetId, SharingNotice),
    /// Standby to home: confirms a notice.
    SharingConfirmed(TargetId, SharingNotice),
}

/// A request for some shards of a query, all at one home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRequest {
    /// The query.
    pub query: QueryId,
    /// Number of this message within the query; its shards share it.
    pub attempt: u32,
    /// The shards and the target of each.
    pub shards: Vec<(u32, TargetId)>,
    /// The route, for logs and metrics.
    pub route: RouteId,
    /// Snapshot that the targets must serve.
    pub snapshot: Snapshot,
    /// Time left until the deadline, in microseconds.
    pub budget_us: u64,
    /// Priority in the queues of the targets.
    pub priority: Priority,
    /// Whether the requests may be sent to a target more than once.
    pub repeatable: bool,
    /// Whether the receiver is asked as the standby of the home.
    pub as_standby: bool,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Whether the requests need new connections, because an earlier request
    /// for one of the shards failed, possibly with its connection.
    #[serde(default)]
    pub fresh_connection: bool,
}

/// The reply to one shard request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardReply {
    /// The query.
    pub query: QueryId,
    /// Number of the request within the query.
    pub attempt: u32,
    /// The shard.
    pub shard: u32,
    /// The target.
    pub target: TargetId,
    /// Outcome of the request.
    pub outcome: JobOutcome,
    /// Present state of the target, if the sender is its home.
    pub report: Option<TargetReport>,
}

/// A caller's request, parsed but not yet admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Name of the route.
    pub route: String,
    /// The caller's request id; required if the route is not repeatable.
    pub request_id: Option<String>,
    /// Time that the caller allows, in microseconds; the deadline of the route
    /// if absent.
    pub deadline_us: Option<u64>,
    /// Key whose hash chooses the shard of a request that may not be repeated;
    /// the request id if absent.
    pub key: Option<String>,
    /// Body that is sent to the targets.
    pub body: Bytes,
}

/// Response to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerResponse {
    /// An answer from one snapshot.
    Answer(Answer),
    /// A failure with its verdict.
    Failure(Failure),
}

/// An answer from one snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The caller's request id, or the query id in hex.
    pub request_id: String,
    /// Snapshot of every result.
    pub snapshot: Snapshot,
    /// Shards that the answer covers and lacks.
    pub coverage: Coverage,
    /// One result for each shard that answered, sorted by shard.
    pub results: Vec<ShardResult>,
}

/// Shards asked, answered and missing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of shards that the query asked for.
    pub asked: u32,
    /// Number of shards whose results are in the answer.
    pub answered: u32,
    /// Shards without a result, sorted by shard.
    pub missing: Vec<MissingShard>,
}

/// A shard without a result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: u32,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No usable target holds the shard in the snapshot.
    NoReplica,
    /// A request for the shard was not answered in time.
    Late,
    /// Every target that was tried refused for lack of capacity.
    Shed,
    /// A target failed.
    Failed,
}

/// Result of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardResult {
    /// The shard.
    pub shard: u32,
    /// Body of the target's answer.
    pub body: Bytes,
}

/// A failure that is reported to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The caller's request id, or the query id in hex.
    pub request_id: String,
    /// Whether the request may have run. On a route that is not repeatable,
    /// every send of a request id is the same request, so this also covers
    /// earlier sends of the id.
    pub verdict: Verdict,
    /// Whether the request may have run because of this send.
    pub this_send: Verdict,
    /// Reason, as a code for programs.
    pub reason: FailureReason,
    /// Reason, as a text for people.
    pub message: String,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// No such route.
    UnknownRoute,
    /// The route needs a request id.
    MissingRequestId,
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The instance is draining or has no confirmed configuration.
    NotServing,
    /// Too many requests are in flight, the request cannot be served before
    /// its deadline, or the targets refused it for lack of capacity.
    Overloaded,
    /// No shard that the query asks for has a target that may be used.
    NoReplica,
    /// The request id was used before.
    DuplicateRequestId,
    /// The request id could not be claimed.
    NoQuorum,
    /// The deadline passed.
    DeadlineExceeded,
    /// Targets failed and no shard has an answer.
    TargetFailed,
}

/// Result of claiming a request id in the durable state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The id is claimed for this query.
    Granted,
    /// Another query claimed the id. Carries the verdict of that query, if
    /// known.
    Taken(Option<Verdict>),
    /// The id could not be claimed, for instance without a quorum.
    Unavailable,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryEvent {
    /// A configuration came into force.
    Configure(Arc<Configuration>),
    /// The live entry instances, sorted by identifier.
    Candidates(Vec<Candidate>),
    /// Whether new requests may be accepted.
    Serving(bool),
    /// A caller's request.
    Submit(Token, CallerRequest),
    /// The caller has disconnected.
    CallerGone(Token),
    /// A message from an instance.
    Message(InstanceId, Message),
    /// The result of a claim.
    Claimed(QueryId, ClaimResult),
    /// The time of `next_deadline` has come.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryEffect {
    /// Send a message to a home, which may be this instance.
    Send(InstanceId, Message),
    /// Claim a request id in the durable state.
    Claim {
        /// The query, which owns the claim.
        query: QueryId,
        /// The caller's id, prefixed by the route.
        request_id: String,
        /// Time left until the deadline, in microseconds.
        budget_us: u64,
    },
    /// Record the verdict of a claimed request in the durable state.
    Settle {
        /// The query that owns the claim.
        query: QueryId,
        /// The caller's id, prefixed by the route.
        request_id: String,
        /// Verdict of the request; `NotRun` releases the claim.
        verdict: Verdict,
    },
    /// Respond to the caller. Each submitted request gets exactly one response
    /// unless the caller has disconnected.
    Respond(Token, CallerResponse),
    /// The newest snapshot of a route has changed. Contains, for each target
    /// of the route, the newest one that any target of its routes holds.
    NewestSnapshots(Vec<(TargetId, Option<Snapshot>)>),
    /// Write a line to the log.
    Log(LogEvent),
}
