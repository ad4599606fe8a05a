/*!
Connections to a target and the requests on them.
*/

use super::{Job, TargetOptions};
use crate::{
    id::{ConnId, JobId, QueryId},
    snapshot::Snapshot,
    time::Time,
};
use std::time::Duration;

/// Low bits of a connection identifier, which hold the connection number. The
/// other bits hold the slab key of the target, so that no map from connections
/// to targets is needed.
const CONN_NUMBER_BITS: u32 = 40;

/// Builds the identifier of a connection of the target under `slab_key`.
pub(crate) fn conn_id(slab_key: u32, number: u64) -> ConnId {
    ConnId(
        u64::from(slab_key) << CONN_NUMBER_BITS
            | number & ((1 << CONN_NUMBER_BITS) - 1),
    )
}

/// Returns the slab key of the target that a connection belongs to.
pub(crate) fn slab_key_of(conn: ConnId) -> usize {
    (conn.0 >> CONN_NUMBER_BITS) as usize
}

/// A connection that was opened and not yet closed.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) id: ConnId,
    pub(crate) state: ConnState,
    /// Whether the connection has carried an answer.
    pub(crate) carried_answer: bool,
    /// Whether a job that needs a new connection may use it: it has carried no
    /// answer and was established after the last such job arrived.
    pub(crate) is_new: bool,
}

/// State of a connection.
#[derive(Debug)]
pub(crate) enum ConnState {
    Connecting { since: Time },
    Idle { since: Time },
    Busy(SentRequest),
}

/// The request on a busy connection.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) job: JobId,
    pub(crate) query: QueryId,
    pub(crate) attempt: u32,
    pub(crate) shard: u32,
    pub(crate) snapshot: Snapshot,
    pub(crate) deadline: Time,
    pub(crate) repeatable: bool,
    pub(crate) sent_at: Time,
    /// Start of the silence timeout: when the request was sent, when bytes
    /// last arrived, or when a probe failed to settle a suspicion.
    pub(crate) silent_since: Time,
    /// When the connection became suspected to be silent; `None` if it is not
    /// suspected.
    pub(crate) suspected: Option<Time>,
}

impl SentRequest {
    pub(crate) fn new(job: &Job, now: Time) -> SentRequest {
        SentRequest {
            job: job.id,
            query: job.query,
            attempt: job.attempt,
            shard: job.shard,
            snapshot: job.snapshot,
            deadline: job.deadline,
            repeatable: job.repeatable,
            sent_at: now,
            silent_since: now,
            suspected: None,
        }
    }
}

impl Conn {
    pub(crate) fn request(&self) -> Option<&SentRequest> {
        match &self.state {
            ConnState::Busy(sent) => Some(sent),
            _ => None,
        }
    }

    pub(crate) fn request_mut(&mut self) -> Option<&mut SentRequest> {
        match &mut self.state {
            ConnState::Busy(sent) => Some(sent),
            _ => None,
        }
    }

    pub(crate) fn is_connecting(&self) -> bool {
        matches!(self.state, ConnState::Connecting { .. })
    }

    pub(crate) fn idle_since(&self) -> Option<Time> {
        match self.state {
            ConnState::Idle { since } => Some(since),
            _ => None,
        }
    }

    /// Returns when the next timeout of the connection expires.
    pub(crate) fn next_deadline(
        &self,
        options: &TargetOptions,
        silence_timeout: Duration,
    ) -> Time {
        match &self.state {
            ConnState::Connecting { since } => {
                *since + options.connect_timeout
            }
            ConnState::Idle { since } => *since + options.idle_max,
            ConnState::Busy(sent) if sent.suspected.is_some() => sent.deadline,
            ConnState::Busy(sent) => {
                let budget = sent.deadline.since(sent.sent_at);
                let min_wait = budget * options.silent_deadline_percent / 100;
                let suspect_at = sent.silent_since + silence_timeout;
                sent.deadline.min(suspect_at.max(sent.sent_at + min_wait))
            }
        }
    }
}
