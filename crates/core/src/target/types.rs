/*!
Input and output types of the reducer.
*/

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{RequestId, SharingNotice};
use crate::{
    config::Priority,
    event::LogEvent,
    id::{ConnId, InstanceId, JobId, QueryId, TargetId, ZoneId},
    snapshot::{Holding, Snapshot},
    time::Time,
    verdict::Verdict,
};

/// A target as the configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// The target.
    pub id: TargetId,
    /// Name used in logs.
    pub name: String,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Whether operators have taken the zone out of service.
    pub zone_out: bool,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Role of this instance for the target.
    pub role: HomeRole,
    /// The instance with the other role: the standby if this one is the home,
    /// the home if it is the standby.
    pub peer: Option<InstanceId>,
}

impl TargetSpec {
    /// Returns the same target without a role of this instance.
    pub(crate) fn without_role(&self) -> TargetSpec {
        TargetSpec { role: HomeRole::None, peer: None, ..self.clone() }
    }
}

/// Role of an instance for a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HomeRole {
    /// Another instance is the home; this instance sends no requests.
    #[default]
    None,
    /// Takes requests that the home did not acknowledge, under a reduced
    /// concurrency limit.
    Standby,
    /// Owns the target; uses its full concurrency limit once the takeover
    /// hold has ended.
    Home,
}

/// A request for one shard, to be run on one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identifier, unique on this instance.
    pub id: JobId,
    /// Target that runs the job.
    pub target: TargetId,
    /// Query that the job belongs to.
    pub query: QueryId,
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// Snapshot to serve from.
    pub snapshot: Snapshot,
    /// Shard of the snapshot.
    pub shard: u32,
    /// Time after which the answer is no longer needed.
    pub deadline: Time,
    /// Priority in the queue.
    pub priority: Priority,
    /// Whether the request may be sent more than once.
    pub repeatable: bool,
    /// Whether the job must not use a connection that has carried an answer.
    pub fresh_connection: bool,
    /// Request body of the caller.
    pub body: Bytes,
}

/// State of a target as seen by its home.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Not known to be warm; limited to one request at a time.
    #[default]
    Cold,
    /// Warming up; the limit grows with good answers.
    Warming,
    /// Warm; runs as many requests as it has slots.
    Ready,
    /// Shutting down: running requests finish, no new ones are sent.
    Leaving,
    /// Unreachable: connections are refused, or break before an answer.
    Down,
}

/// State of a target, published by its home to the other instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetId,
    /// State of the target.
    pub state: TargetState,
    /// Current limit on concurrent requests.
    pub limit: u32,
    /// Requests that are running.
    pub running: u32,
    /// Requests queued at the home.
    pub queued: u32,
    /// Smoothed latency of its answers, in microseconds; 0 if unknown.
    pub latency_us: u32,
    /// Snapshots and shards that it can serve.
    pub holds: Vec<Holding>,
    /// Whether the standby may send to it.
    #[serde(default)]
    pub shared: bool,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// A validated answer.
    Answered {
        /// Body of the answer.
        body: Bytes,
        /// Snapshot and shard that it was served from.
        holding: Holding,
    },
    /// The target does not hold the snapshot or shard; not run.
    NotHeld,
    /// Neither the target nor its home had capacity; not run.
    Shed,
    /// The deadline passed before the request was sent; not run.
    Expired,
    /// The request failed for another reason.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
    },
}

/// An HTTP response of a target, parsed by the daemon but not yet
/// validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetAnswer {
    /// HTTP status code.
    pub status: u16,
    /// The `x-request-id` header; empty if absent.
    pub request_id: String,
    /// The `x-index-version` and `x-partition-map` headers.
    pub snapshot: Option<Snapshot>,
    /// The `x-shard` header.
    pub shard: Option<u32>,
    /// The `x-boot-id` header.
    pub boot_id: Option<u64>,
    /// The `x-checksum` header, as sent by the target.
    pub checksum: Option<u32>,
    /// CRC-32 of the received body.
    pub body_checksum: u32,
    /// The `x-holds` header; `None` if absent or malformed.
    pub holds: Option<Vec<Holding>>,
    /// The `x-verdict` header.
    pub verdict: Option<Verdict>,
    /// Response body.
    pub body: Bytes,
}

/// Parsed response of a health endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthReport {
    /// Reported status.
    pub status: HealthStatus,
    /// Identifier of this run of the target's process.
    pub boot_id: u64,
    /// Time since the process started, in milliseconds.
    pub uptime_ms: u64,
    /// Snapshots and shards that the target can serve.
    pub holds: Vec<Holding>,
}

/// Status reported by a health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthStatus {
    /// The target reports no problem.
    Ok,
    /// The target reports that it is cold.
    Cold,
    /// The target reports that it is shutting down.
    Leaving,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetEvent {
    /// The targets that this instance is home or standby of, sorted by
    /// identifier. A target that is no longer listed is removed: its queued
    /// jobs end as `Shed`, its running jobs finish.
    Configure(Vec<TargetSpec>),
    /// Runs a job.
    Submit(Job),
    /// Cancels a job whose answer is no longer needed.
    Cancel(JobId),
    /// A connection was established.
    Connected(ConnId),
    /// A connection could not be established.
    ConnectFailed(ConnId),
    /// Part of an answer arrived on a connection; restarts the silence
    /// timeout.
    Received(ConnId),
    /// A complete answer arrived on a connection.
    Answer(ConnId, JobId, TargetAnswer),
    /// A connection broke or was closed by the target.
    ConnClosed(ConnId, CloseReason),
    /// A health probe ended; `None` if it got no valid answer.
    Health(TargetId, Option<HealthReport>),
    /// The newest snapshot that any target of the same routes holds, for
    /// targets of which some may be unknown here.
    NewestSnapshots(Vec<(TargetId, Option<Snapshot>)>),
    /// Whether the platform's list names the target as leaving.
    PlatformLeaving(TargetId, bool),
    /// The home of a target allows this instance to send to it, or no longer.
    SharingNoticed(TargetId, InstanceId, SharingNotice),
    /// The standby of a target confirmed a notice.
    SharingConfirmed(TargetId, InstanceId, SharingNotice),
    /// The target confirmed that it no longer runs a cancelled request.
    Cancelled(TargetId, RequestId),
    /// The deadline returned by `Targets::next_deadline` has passed.
    Tick,
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The connection broke before any byte of the current request was
    /// written.
    NothingSent,
    /// The current request may have been sent, in part or in whole.
    MayHaveSent,
    /// The connection carried no request.
    Idle,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetEffect {
    /// Open a connection.
    Connect {
        /// Target, for logs and metrics.
        target: TargetId,
        /// Address to connect to.
        address: SocketAddr,
        /// Identifier of the new connection.
        conn: ConnId,
    },
    /// Send a request on an idle connection and wait for the answer until
    /// `Job::deadline`.
    Send {
        /// Connection to send on.
        conn: ConnId,
        /// Request to send.
        job: Job,
    },
    /// Close a connection.
    Close(ConnId),
    /// Ask the target to stop working on a request.
    CancelRemote {
        /// The target.
        target: TargetId,
        /// Address of its HTTP server.
        address: SocketAddr,
        /// Query of the request.
        query: QueryId,
        /// Attempt of the request.
        attempt: u32,
        /// Shard of the request.
        shard: u32,
    },
    /// Query the health endpoint on a separate connection.
    ProbeHealth {
        /// The target.
        target: TargetId,
        /// Address of its HTTP server.
        address: SocketAddr,
    },
    /// Tell the standby whether it may send to a target.
    NotifyStandby {
        /// The standby.
        to: InstanceId,
        /// The target.
        target: TargetId,
        /// The notice.
        notice: SharingNotice,
    },
    /// Confirm a notice to the home of a target.
    ConfirmSharing {
        /// The home.
        to: InstanceId,
        /// The target.
        target: TargetId,
        /// What is confirmed.
        notice: SharingNotice,
    },
    /// Report the outcome of a job; each submitted job ends exactly once.
    Done(JobId, JobOutcome),
    /// Publish a report to the other instances.
    Report(TargetReport),
    /// Write a log line.
    Log(LogEvent),
}
