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
    target::{JobOutcome, TargetReport},
    verdict::Verdict,
};

/// Messages between a root and the homes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Root to home: run these.
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
    /// Root to home: the answers are no longer wanted.
    Cancel {
        /// The query.
        query: QueryId,
        /// The attempts; all if empty.
        attempts: Vec<u32>,
    },
    /// Home to all: conditions of targets.
    Reports(Vec<TargetReport>),
    /// Root to home: the answers of single shards are no longer wanted. An
    /// attempt covers every shard that one message asked of the home, so
    /// `Cancel` would also stop the shards that are still needed.
    CancelShards {
        /// The query.
        query: QueryId,
        /// Attempt and shard of each.
        shards: Vec<(u32, u32)>,
    },
}

/// A request for some shards of a query, all at one home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRequest {
    /// The query.
    pub query: QueryId,
    /// Number of this request within the query; shared by its shards.
    pub attempt: u32,
    /// The shards and the target of each.
    pub shards: Vec<(u32, TargetId)>,
    /// The route, for logs and metrics.
    pub route: RouteId,
    /// Snapshot to be served from.
    pub snapshot: Snapshot,
    /// Remaining time, in microseconds.
    pub budget_us: u64,
    /// Order in the queues.
    pub priority: Priority,
    /// Whether it may be sent to a target more than once.
    pub repeatable: bool,
    /// Whether the receiver is asked as the standby of the home.
    pub as_standby: bool,
    /// The caller's body.
    pub body: Bytes,
    /// Whether it goes out on new connections, because an earlier request
    /// for the shard was lost with its connection.
    #[serde(default)]
    pub fresh_connection: bool,
}

/// The end of one shard request.
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
    /// How it ended.
    pub outcome: JobOutcome,
    /// Condition of the target now, if this instance is its home.
    pub report: Option<TargetReport>,
}

/// A caller's request, checked for form.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Name of the route.
    pub route: String,
    /// The caller's request id; required if the route is not repeatable.
    pub request_id: Option<String>,
    /// Time the caller gives, in microseconds; the route's if absent.
    pub deadline_us: Option<u64>,
    /// Chooses the shard of a request that may not be repeated.
    pub key: Option<String>,
    /// Body for the targets.
    pub body: Bytes,
}

/// Answer or failure, for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerResponse {
    /// An answer of one snapshot.
    Answer(Answer),
    /// A failure with its verdict.
    Failure(Failure),
}

/// An answer of one snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The caller's request id, or the query id in hex.
    pub request_id: String,
    /// Snapshot of every result.
    pub snapshot: Snapshot,
    /// What the answer covers.
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
    /// The others, sorted by shard.
    pub missing: Vec<MissingShard>,
}

/// A shard without a result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: u32,
    /// Why.
    pub reason: MissingReason,
}

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No usable target holds the shard in the snapshot.
    NoReplica,
    /// No answer before the query was answered.
    Late,
    /// Every target that was tried refused for lack of capacity.
    Shed,
    /// Targets failed.
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

/// A failure towards a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The caller's request id, or the query id in hex.
    pub request_id: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Reason for programs.
    pub reason: FailureReason,
    /// Reason for people.
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
    /// It cannot be served before its deadline.
    Overloaded,
    /// No shard has a usable target.
    NoReplica,
    /// The request id was used before.
    DuplicateRequestId,
    /// The request id could not be claimed.
    NoQuorum,
    /// The deadline passed.
    DeadlineExceeded,
    /// A target failed.
    TargetFailed,
}

/// Result of claiming a request id in the durable state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The id is claimed for this query.
    Granted,
    /// Another query claimed it; the verdict is that query's, if known.
    Taken(Option<Verdict>),
    /// It could not be claimed.
    Unavailable,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryEvent {
    /// A configuration came into force.
    Configure(Arc<Configuration>),
    /// The live entry instances, sorted by identifier.
    Candidates(Vec<Candidate>),
    /// Whether new work may be accepted.
    Serving(bool),
    /// A caller's request.
    Submit(Token, CallerRequest),
    /// The caller has gone.
    CallerGone(Token),
    /// A message from a home.
    Message(InstanceId, Message),
    /// A claim has ended.
    Claimed(QueryId, ClaimResult),
    /// Time has passed.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryEffect {
    /// A message for a home, which may be this instance.
    Send(InstanceId, Message),
    /// Claim a request id by a quorum.
    Claim {
        /// The query, which owns the claim.
        query: QueryId,
        /// The caller's id, prefixed by the route.
        request_id: String,
        /// Remaining time, in microseconds.
        budget_us: u64,
    },
    /// Record how a claimed request ended.
    Settle {
        /// The query that owns the claim.
        query: QueryId,
        /// The caller's id, prefixed by the route.
        request_id: String,
        /// Its verdict; `NotRun` releases the claim.
        verdict: Verdict,
    },
    /// Answer the caller; each submitted request is answered exactly once
    /// unless the caller has gone.
    Respond(Token, CallerResponse),
    /// A line for the log.
    Log(LogEvent),
}
