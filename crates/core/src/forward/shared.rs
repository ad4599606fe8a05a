//! Messages between a root and the delegates that handle shards of its
//! requests.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{RouteId, Token};

/// The content of a caller's request, which delegates send on to targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Request identifier from the caller.
    pub request_id: Arc<str>,
    /// Method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// Headers.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
}

/// The shards of a request that a delegate handles for a root.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Task number assigned by the root, which identifies the request there.
    pub number: u64,
    /// Request identifier from the caller.
    pub request_id: Arc<str>,
    /// Revision of the forwarding table that the request's route belongs to,
    /// in which the root looked the shards up.
    pub revision: u64,
    /// The route.
    pub route: RouteId,
    /// Indices of the shards in the services of the route.
    pub shards: Vec<u16>,
    /// Time until the task must be complete, in microseconds.
    pub remaining_us: u64,
    /// Time until the delegate starts to report partial results, in
    /// microseconds.
    pub soft_us: u64,
    /// Position of the caller's key in the table of this revision; `None` if
    /// the route needs no key. The key itself stays at the root.
    #[serde(default)]
    pub key: Option<u32>,
}

/// A task with the content of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskWithContent {
    /// The task.
    pub task: Task,
    /// The caller's request.
    pub content: Content,
}

/// Messages between roots and delegates. The numbers are task numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the handling of a task.
    Ask(Box<TaskWithContent>),
    /// Acknowledges that the delegate handles the task.
    Accepted(u64),
    /// Confirms the acknowledgement: the root will not reclaim the task.
    Confirm(u64),
    /// Declines the task. The delegate has sent no requests for it.
    Declined(u64),
    /// Reports answered shards.
    Part(PartialResult),
    /// Cancels the task.
    Cancel {
        /// Number of the task.
        number: u64,
        /// Whether open attempts are aborted as well, because the caller has
        /// disconnected or the root has reclaimed the task.
        caller_gone: bool,
    },
}

/// The merged answer for some shards of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialResult {
    /// Number of the task.
    pub number: u64,
    /// Indices of the answered shards in the services of the route.
    pub shards: Vec<u16>,
    /// Signatures of the targets that answered.
    pub signatures: Vec<Bytes>,
    /// The greatest records of these targets.
    pub records: Bytes,
    /// Whether this is the last result of the task.
    pub done: bool,
}

/// A received message. The content of a task is stored separately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IncomingMessage {
    /// Requests the handling of a task, whose content is stored under the
    /// token.
    Task(Token, Task),
    /// Acknowledges that the delegate handles the task.
    Accepted(u64),
    /// Confirms the acknowledgement: the root will not reclaim the task.
    Confirm(u64),
    /// Declines the task. The delegate has sent no requests for it.
    Declined(u64),
    /// Reports answered shards.
    Part(PartialResult),
    /// Cancels the task.
    Cancel {
        /// Number of the task.
        number: u64,
        /// Whether open attempts are aborted as well.
        caller_gone: bool,
    },
}
