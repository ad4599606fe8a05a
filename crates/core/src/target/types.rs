/*!
Input, output and vocabulary of the reducer.
*/

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::RequestId;
use crate::{
    config::Priority,
    event::LogEvent,
    id::{ConnId, JobId, QueryId, TargetId, ZoneId},
    snapshot::{Holding, Snapshot},
    time::Time,
    verdict::Verdict,
};

/// A target as the configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// The target.
    pub id: TargetId,
    /// Its name, for logs.
    pub name: String,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether operators have taken that zone out.
    pub zone_out: bool,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts in total.
    pub connections: u32,
    /// This instance's part in serving the target.
    pub role: HomeRole,
}

/// The part of an instance in serving a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HomeRole {
    /// Another instance is the home; nothing is sent from here.
    #[default]
    None,
    /// Takes requests that the home did not acknowledge, with a reduced
    /// limit.
    Standby,
    /// Owns the target.
    Home,
}

/// A request for one shard, to be run on one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Unique on this instance.
    pub id: JobId,
    /// The target.
    pub target: TargetId,
    /// The query that it belongs to.
    pub query: QueryId,
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// Snapshot to be served from.
    pub snapshot: Snapshot,
    /// Shard of the snapshot.
    pub shard: u32,
    /// When the answer is no longer of use.
    pub deadline: Time,
    /// Order in the queue.
    pub priority: Priority,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
    /// Whether it needs a connection that was opened after it came.
    pub fresh_connection: bool,
    /// The caller's request body.
    pub body: Bytes,
}

/// Condition of a target as its home sees it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Not known to be warm; gets one request at a time.
    #[default]
    Cold,
    /// Its limit grows with good answers.
    Warming,
    /// Serves up to its slots.
    Ready,
    /// Finishes what it runs and gets no new work.
    Leaving,
    /// Refuses connections.
    Down,
}

/// What a home tells the fleet about a target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetId,
    /// Its condition.
    pub state: TargetState,
    /// Requests that it may run at the same time now.
    pub limit: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the home.
    pub queued: u32,
    /// Smoothed latency of its answers, in microseconds; 0 if unknown.
    pub latency_us: u32,
    /// What it can serve.
    pub holds: Vec<Holding>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// A checked answer.
    Answered {
        /// Body of the answer.
        body: Bytes,
        /// Snapshot and shard that it was served from.
        holding: Holding,
    },
    /// The target does not hold the snapshot or shard; not run.
    NotHeld,
    /// No capacity at the target or its home; not run.
    Shed,
    /// The deadline passed before it was sent; not run.
    Expired,
    /// It failed otherwise.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
    },
}

/// An HTTP answer of a target, parsed by the daemon but not yet checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetAnswer {
    /// HTTP status.
    pub status: u16,
    /// `x-request-id`.
    pub request_id: String,
    /// `x-index-version` and `x-partition-map`.
    pub snapshot: Option<Snapshot>,
    /// `x-shard`.
    pub shard: Option<u32>,
    /// `x-boot-id`.
    pub boot_id: Option<u64>,
    /// `x-checksum`, as sent.
    pub checksum: Option<u32>,
    /// CRC-32 of the body as received.
    pub body_checksum: u32,
    /// `x-holds`; `None` if absent or malformed.
    pub holds: Option<Vec<Holding>>,
    /// `x-verdict`.
    pub verdict: Option<Verdict>,
    /// Body.
    pub body: Bytes,
}

/// What a health endpoint said, or that it said nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthReport {
    /// Status word.
    pub status: HealthStatus,
    /// Identifies a run of the target's process.
    pub boot_id: u64,
    /// Time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// What it can serve.
    pub holds: Vec<Holding>,
}

/// Status word of a health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthStatus {
    /// Claims to be well.
    Ok,
    /// Says that it is cold.
    Cold,
    /// Says that it is leaving.
    Leaving,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetEvent {
    /// The targets that this instance is home or standby of, sorted by
    /// identifier. A target that is missing is given up: queued jobs end as
    /// `Shed`, running ones finish.
    Configure(Vec<TargetSpec>),
    /// A request to run.
    Submit(Job),
    /// The answer is no longer wanted.
    Cancel(JobId),
    /// A connection is open.
    Connected(ConnId),
    /// A connection could not be opened.
    ConnectFailed(ConnId),
    /// Bytes of an answer arrived on a connection, but not yet the whole of
    /// it; postpones the check for silence.
    Received(ConnId),
    /// A whole answer arrived on a connection.
    Answer(ConnId, JobId, TargetAnswer),
    /// A connection broke or was closed by the target.
    ConnClosed(ConnId, CloseReason),
    /// A health probe ended; `None` if it got no answer.
    Health(TargetId, Option<HealthReport>),
    /// The platform's list names the target as leaving, or no longer.
    PlatformLeaving(TargetId, bool),
    /// The target has confirmed that it no longer runs a request.
    Cancelled(TargetId, RequestId),
    /// Time has passed.
    Tick,
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// No byte of the current request was written.
    NothingSent,
    /// The request may have been sent, in part or whole.
    MayHaveSent,
    /// The connection was idle.
    Idle,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetEffect {
    /// Open a connection.
    Connect {
        /// For the log and metrics.
        target: TargetId,
        /// Where to.
        address: SocketAddr,
        /// The new connection.
        conn: ConnId,
    },
    /// Send a request on an idle connection. `Job::deadline` bounds the wait.
    Send {
        /// The connection.
        conn: ConnId,
        /// The request.
        job: Job,
    },
    /// Close a connection.
    Close(ConnId),
    /// Ask the target to stop working on a request.
    CancelRemote {
        /// The target.
        target: TargetId,
        /// Where to.
        address: SocketAddr,
        /// The request.
        query: QueryId,
        /// Its attempt.
        attempt: u32,
        /// Its shard.
        shard: u32,
    },
    /// Ask the health endpoint on a connection of its own.
    ProbeHealth {
        /// The target.
        target: TargetId,
        /// Where to.
        address: SocketAddr,
    },
    /// A job has ended; each submitted job ends exactly once.
    Done(JobId, JobOutcome),
    /// The fleet should know this.
    Report(TargetReport),
    /// A line for the log.
    Log(LogEvent),
}
