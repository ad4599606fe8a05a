/*!
Forwarding of callers' requests to targets that the platform lists.

This path serves platforms that publish their own target list and define their
own request format. A route is selected by host and path. Its requests go to
one target of a service, or to one target of each of several services, whose
records are then merged. Every instance sends requests to targets directly.
Limits that apply to the whole fleet, such as the connections of a target and
the budget for extra requests, are divided by the number of instances.

[`Forwarder`] is the reducer. It handles no bodies: the daemon stores the
answers of the targets, and the reducer decides which of them make up a
response.
*/

mod attempts;
pub mod budget;
pub mod delegate;
pub mod directory;
mod finish;
pub mod keys;
pub mod latency;
pub mod merge;
mod options;
mod reducer;
mod request;
mod send;
pub mod shared;
pub mod table;
pub mod targets;
mod versions;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;

use self::{
    delegate::Peer,
    directory::Directory,
    keys::KeyedCaller,
    shared::{Content, IncomingMessage, Task},
    table::{CompiledRoute, CompiledTable, KeyDigest},
};
pub use self::{options::ForwardOptions, reducer::Forwarder};
use crate::{
    event::LogEvent,
    id::{
        AttemptId, ConfigVersion, InstanceId, LimitId, TargetId, TeamId,
        Token, ZoneId,
    },
    rollout::{Rollout, report::Report},
    time::Time,
    verdict::Verdict,
};

/// A caller's request, without its headers and body.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Request identifier from the caller, for the log.
    pub request_id: Arc<str>,
    /// The route that the request matched.
    pub route: Arc<CompiledRoute>,
    /// Time until the caller stops waiting.
    pub remaining: Duration,
    /// Team of the caller; `None` on public routes and where no teams are
    /// configured.
    pub team: Option<TeamId>,
    /// Digest of the key by which the caller identified its team.
    pub key: Option<KeyDigest>,
}

impl Submission {
    fn caller(&self) -> Option<KeyedCaller> {
        let (key, team) = self.key.zip(self.team)?;
        Some(KeyedCaller { key, team })
    }

    /// Returns the time from the arrival of the request to its deadline.
    fn time_limit(&self) -> Duration {
        let timeout = self.route.route.timeout_ms;
        self.remaining.min(Duration::from_millis(timeout.into()))
    }
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target ran the request successfully.
    Success,
    /// The target ran the request and answered with an error that the caller
    /// may be given.
    Failure,
    /// The target refused the request without running it.
    Refused,
    /// Another incarnation answered at the target's address and did not run
    /// the request.
    Replaced,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection failed after the request was sent, or the answer says
    /// nothing that the caller may be given.
    Broken,
    /// The time by which the request had to be written had passed; nothing was
    /// sent.
    Withheld,
}

impl Outcome {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Success => "success",
            Outcome::Failure => "failure",
            Outcome::Refused => "refused",
            Outcome::Replaced => "replaced",
            Outcome::Unreachable => "unreachable",
            Outcome::Broken => "broken",
            Outcome::Withheld => "withheld",
        }
    }
}

/// Input of the reducer.
#[derive(Debug)]
pub enum ForwardEvent {
    /// A caller's request.
    Submit(Token, Submission),
    /// The caller has disconnected.
    CallerGone(Token),
    /// An attempt has ended.
    AttemptEnded(AttemptId, Outcome),
    /// The forwarding table or the set of zones that are out has changed.
    Configure {
        /// Version of the configuration that both come from.
        version: ConfigVersion,
        /// The forwarding table in force.
        table: Arc<CompiledTable>,
        /// Zones that receive no new requests.
        zones_out: Vec<ZoneId>,
    },
    /// The last roll-out of each service, from the configuration in force.
    Rollouts(Vec<Rollout>),
    /// Whether this instance accepts new requests.
    Serving(bool),
    /// Whether this instance holds its lease, without which its configuration
    /// may be outdated.
    Lease(bool),
    /// A control quorum has confirmed that no configuration newer than the one
    /// in force was accepted before this time.
    Confirmed(Time),
    /// The process is about to exit; every request gets its response now.
    EndRequests,
    /// The other live entry instances, and the number of instances that share
    /// the targets.
    Peers(Vec<Peer>, usize),
    /// A message from another instance about a delegated task.
    Shared(InstanceId, IncomingMessage),
    /// Another instance cannot be reached.
    Unreachable(InstanceId),
    /// The result of a call that fetches the platform's target list.
    DirectoryRead(Result<Directory, String>),
    /// A message from another instance about the target list.
    Directory(InstanceId, directory::Message),
    /// The time of [`Forwarder::next_deadline`] has been reached.
    Tick,
    /// A request has got a token of the limit of its team.
    ShareTaken(Token),
    /// A request gets no token of the limit of its team; one may be there
    /// after this time.
    ShareRefused(Token, Duration),
}

/// The reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This instance has no confirmed configuration.
    NotServing,
    /// This instance is shutting down.
    ShuttingDown,
    /// The caller's key is missing or belongs to no team.
    UnknownKey,
    /// The control group has not confirmed recently enough that the caller's
    /// key is still in use.
    KeyNotConfirmed,
    /// This instance has too many requests in flight.
    Overload,
    /// The caller's team has used up its limit.
    OverLimit,
    /// Too few shards have a target that accepts requests.
    NoTarget,
    /// A target refused the request and the budget for extra requests is
    /// exhausted.
    NoBudget,
    /// Too many targets failed.
    TargetFailed,
    /// The deadline of the request has passed.
    Deadline,
}

impl Reason {
    /// Returns the name used in responses and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NotServing => "not_serving",
            Reason::ShuttingDown => "shutting_down",
            Reason::UnknownKey => "unknown_key",
            Reason::KeyNotConfirmed => "key_not_confirmed",
            Reason::Overload => "overload",
            Reason::OverLimit => "over_limit",
            Reason::NoTarget => "no_target",
            Reason::NoBudget => "no_budget",
            Reason::TargetFailed => "target_failed",
            Reason::Deadline => "deadline",
        }
    }
}

/// The response to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Passes on the answer of this attempt unchanged.
    Relay(AttemptId),
    /// Merges the greatest records of several answers.
    Merge {
        /// Attempts whose answers are merged. The answer of a delegate covers
        /// several shards under one attempt.
        parts: Vec<AttemptId>,
        /// Number of shards without an answer.
        missing: usize,
        /// Maximum number of records in the response.
        top: usize,
    },
    /// Rejects the request.
    Reject {
        /// The reason for the rejection.
        reason: Reason,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Time after which a retry may succeed, if known.
        retry_after: Option<Duration>,
    },
}

/// A request to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRequest {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Token of the caller's request.
    pub token: Token,
    /// The target.
    pub target: TargetId,
    /// Name of the target's incarnation.
    pub name: Arc<str>,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Time until the deadline of the request.
    pub budget: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request was charged to the budget for extra requests, as a
    /// retry, a hedge, or an attempt after a delegate may have sent the shard.
    pub extra: bool,
    /// Time by which the request must be written to its connection, if there
    /// is a limit.
    pub write_by: Option<Time>,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardEffect {
    /// Send a request to a target and report its end with `AttemptEnded`.
    Send(TargetRequest),
    /// Abort an attempt and close its connection. No `AttemptEnded` follows.
    Cancel(AttemptId),
    /// Respond to the caller and drop the request with all its answers.
    Respond(Token, Response),
    /// Send a task to a delegate, with the content of the request.
    SendTask {
        /// Token of the request.
        token: Token,
        /// The delegate.
        to: InstanceId,
        /// The shards to handle and the deadlines.
        task: Task,
    },
    /// Send the merged answers of some shards to the root of a task.
    SendPart {
        /// Token under which this instance stores the task.
        token: Token,
        /// The root.
        to: InstanceId,
        /// Task number assigned by the root.
        number: u64,
        /// Attempts whose answers are merged.
        parts: Vec<AttemptId>,
        /// Indices of the answered shards in the services of the route.
        shards: Vec<u16>,
        /// Maximum number of records in the merged answer.
        top: usize,
        /// Whether this is the last message for the task.
        done: bool,
    },
    /// Store the content of a task.
    StoreContent(Token, Content),
    /// Drop a finished or declined task with its content and answers.
    DropTask(Token),
    /// Store the merged answer of a delegate as the answer of an attempt.
    StoreAnswer {
        /// Attempt that represents all shards in the answer.
        attempt: AttemptId,
        /// Token of the request.
        token: Token,
        /// Signatures of the targets.
        signatures: Vec<Bytes>,
        /// The greatest records of these targets.
        records: Bytes,
    },
    /// Send a message about a delegated task to another instance.
    SendShared(InstanceId, shared::Message),
    /// Send a message about the target list to another instance.
    SendDirectory(InstanceId, directory::Message),
    /// Send what was counted in a running roll-out to the control replicas.
    Report(Report),
    /// Fetch the platform's target list and report it with `DirectoryRead`.
    ReadDirectory,
    /// Write a line to the log.
    Log(LogEvent),
    /// Take a token of a limit for a request and report the result with
    /// `ShareTaken` or `ShareRefused`.
    TakeShare {
        /// The request.
        token: Token,
        /// The limit of its team.
        limit: LimitId,
        /// Deadline of the request.
        until: Time,
    },
    /// A request that needs a token, or has got one, is not run.
    DropShare(Token),
}
