/*!
Forwarding callers' requests to targets that the platform lists.

This path serves platforms that have their own list of targets and their own
notion of a request: a route is found by host and path, and the request goes
on to one target of a service, or to one target of each of many services
whose records are merged. Every instance sends to targets itself. Limits that
hold for all instances together, such as the connections of a target and the
budget for extra requests, are divided by the number of instances.

[`Forwarder`] is the reducer. It never sees a body: the daemon keeps what
targets answered, and the reducer says which answers make up a response.
*/

mod attempts;
pub mod budget;
pub mod delegate;
pub mod directory;
mod finish;
pub mod latency;
pub mod merge;
mod options;
mod reducer;
mod request;
mod send;
pub mod shared;
pub mod table;
pub mod targets;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;

use self::{
    delegate::Peer,
    directory::Directory,
    shared::{Content, IncomingMessage, Task},
    table::{CompiledRoute, CompiledTable},
};
pub use self::{options::ForwardOptions, reducer::Forwarder};
use crate::{
    event::LogEvent,
    id::{AttemptId, InstanceId, TargetId, Token, ZoneId},
    verdict::Verdict,
};

/// A caller's request, without its content.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The caller's identifier of the request, for the log.
    pub request_id: Arc<str>,
    /// The route that it takes.
    pub route: Arc<CompiledRoute>,
    /// Time that the caller still waits.
    pub remaining: Duration,
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered with a success.
    Success,
    /// The target ran the request and answered with a failure.
    Failure,
    /// The target refused the request without running it.
    Refused,
    /// Another incarnation answered at the target's address and did not run
    /// the request.
    Replaced,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection failed after the request was sent.
    Broken,
}

impl Outcome {
    /// The name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Success => "success",
            Outcome::Failure => "failure",
            Outcome::Refused => "refused",
            Outcome::Replaced => "replaced",
            Outcome::Unreachable => "unreachable",
            Outcome::Broken => "broken",
        }
    }
}

/// Input of the reducer.
#[derive(Debug)]
pub enum ForwardEvent {
    /// A caller's request.
    Submit(Token, Submission),
    /// The caller has left.
    CallerGone(Token),
    /// An attempt has ended.
    AttemptEnded(AttemptId, Outcome),
    /// A table came into force, with the zones that are out.
    Configure {
        /// The table.
        table: Arc<CompiledTable>,
        /// Zones that take no new work.
        zones_out: Vec<ZoneId>,
    },
    /// Whether this instance may serve.
    Serving(bool),
    /// The entry instances that are alive, this one not included, and the
    /// number of instances that share the targets.
    Peers(Vec<Peer>, usize),
    /// A message of another instance about a shared request.
    Shared(InstanceId, IncomingMessage),
    /// Another instance cannot be reached.
    Unreachable(InstanceId),
    /// The platform's list was read, or could not be.
    DirectoryRead(Result<Directory, String>),
    /// Another instance says something about the platform's list.
    Directory(InstanceId, directory::Message),
    /// A deadline has passed.
    Tick,
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This instance has no confirmed configuration.
    NotServing,
    /// This instance is shutting down.
    ShuttingDown,
    /// Too many requests are in flight here.
    Overload,
    /// Too few shards have a target that can take a request.
    NoTarget,
    /// The budget for extra requests is used up after a refusal.
    NoBudget,
    /// Targets failed.
    TargetFailed,
    /// The time of the request has passed.
    Deadline,
}

impl Reason {
    /// The name used in responses and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NotServing => "not_serving",
            Reason::ShuttingDown => "shutting_down",
            Reason::Overload => "overload",
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
    /// The answer of this attempt, unchanged.
    Relay(AttemptId),
    /// The greatest records of these attempts' answers.
    Merge {
        /// Attempts that have brought the included shards. One that a
        /// delegate has sent stands for several.
        parts: Vec<AttemptId>,
        /// Shards that are left out.
        missing: usize,
        /// Records in the response.
        top: usize,
    },
    /// No response can be given.
    Reject {
        /// Why.
        reason: Reason,
        /// Whether the request may have run.
        verdict: Verdict,
        /// When it may be served, if that is known.
        retry_after: Option<Duration>,
    },
}

/// A request to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRequest {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// The caller's request.
    pub token: Token,
    /// The target.
    pub target: TargetId,
    /// Name of the target's incarnation.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Time that is left.
    pub budget: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether another target was asked before.
    pub extra: bool,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardEffect {
    /// Send a request to a target and answer with `AttemptEnded`.
    Send(TargetRequest),
    /// End an attempt and close its connection; no `AttemptEnded` follows.
    Cancel(AttemptId),
    /// Answer the caller. Answers of the request that are not part of the
    /// response are no longer needed.
    Respond(Token, Response),
    /// Send a task to a delegate, with the content of the request.
    SendTask {
        /// The request.
        token: Token,
        /// The delegate.
        to: InstanceId,
        /// What is wanted of it.
        task: Task,
    },
    /// Send answered shards to the root of a task.
    SendPart {
        /// Under which the task is kept here.
        token: Token,
        /// The root.
        to: InstanceId,
        /// The root's number of the task.
        number: u64,
        /// Attempts that have brought the answers.
        parts: Vec<AttemptId>,
        /// Places of the answered shards.
        shards: Vec<u16>,
        /// Records in the response.
        top: usize,
        /// Whether nothing more follows.
        done: bool,
    },
    /// Keep the content of a task.
    StoreContent(Token, Content),
    /// A task is over; its content and answers are no longer needed.
    DropTask(Token),
    /// Keep what a delegate has sent as the answer of an attempt.
    StoreAnswer {
        /// Stands for all shards in it.
        attempt: AttemptId,
        /// The request.
        token: Token,
        /// Signatures of the targets.
        signatures: Vec<Bytes>,
        /// Their greatest records.
        records: Bytes,
    },
    /// Send a message to another instance.
    SendShared(InstanceId, shared::Message),
    /// Send another instance something about the platform's list.
    SendDirectory(InstanceId, directory::Message),
    /// Read the platform's list and answer with `DirectoryRead`.
    ReadDirectory,
    /// Write a line to the log.
    Log(LogEvent),
}
