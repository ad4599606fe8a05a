//! Messages about requests that instances share.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{RouteId, Token};

/// The content of a caller's request, as delegates need it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// The caller's identifier of the request.
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

/// What a root wants of a delegate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The root's number of the request.
    pub number: u64,
    /// The caller's identifier of the request.
    pub request_id: Arc<str>,
    /// Revision of the table that the root uses.
    pub revision: u64,
    /// The route.
    pub route: RouteId,
    /// Places of the shards among the route's services.
    pub shards: Vec<u16>,
    /// Time until the response has to be complete, in microseconds.
    pub remaining_us: u64,
    /// Time until what there is must not be held back, in microseconds.
    pub soft_us: u64,
}

/// A task with the content that it needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskWithContent {
    /// What is wanted.
    pub task: Task,
    /// The caller's request.
    pub content: Content,
}

/// Messages between roots and delegates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Handle shards of a request.
    Ask(Box<TaskWithContent>),
    /// The task was taken over.
    Accepted(u64),
    /// The root knows that the task was taken over and will not take it
    /// back.
    Confirm(u64),
    /// The task was not taken over, and nothing was sent.
    Declined(u64),
    /// Some shards are answered.
    Part(PartialResult),
    /// The task is no longer needed.
    Cancel {
        /// Number of the task.
        number: u64,
        /// The caller has left, so running requests are to be ended too.
        caller_gone: bool,
    },
}

/// Answered shards of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialResult {
    /// Number of the task.
    pub number: u64,
    /// Places of the answered shards.
    pub shards: Vec<u16>,
    /// Signatures of their targets.
    pub signatures: Vec<Bytes>,
    /// Their greatest records.
    pub records: Bytes,
    /// Whether nothing more follows.
    pub done: bool,
}

/// A message with its content put aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IncomingMessage {
    /// Handle shards of a request whose content is kept under this token.
    Task(Token, Task),
    /// The task was taken over.
    Accepted(u64),
    /// The root will not take the task back.
    Confirm(u64),
    /// The task was not taken over, and nothing was sent.
    Declined(u64),
    /// Some shards are answered.
    Part(PartialResult),
    /// The task is no longer needed.
    Cancel {
        /// Number of the task.
        number: u64,
        /// The caller has left.
        caller_gone: bool,
    },
}
