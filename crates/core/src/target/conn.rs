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

/// Bits of a connection identifier that number the connections; the others
/// hold the position of the target, which saves a table of connections.
const NUMBER_BITS: u32 = 40;

/// Builds the identifier of a connection of the target at `slot`.
pub(crate) fn conn_id(slot: u32, number: u64) -> ConnId {
    ConnId(u64::from(slot) << NUMBER_BITS | number & ((1 << NUMBER_BITS) - 1))
}

/// The position of the target that a connection belongs to.
pub(crate) fn slot_of(conn: ConnId) -> usize {
    (conn.0 >> NUMBER_BITS) as usize
}

/// A connection that was opened and not yet closed.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) id: ConnId,
    pub(crate) state: ConnState,
    /// Whether it has carried an answer.
    pub(crate) proven: bool,
}

/// What a connection does.
#[derive(Debug)]
pub(crate) enum ConnState {
    Connecting { since: Time },
    Idle { since: Time },
    Busy(Sent),
}

/// The request on a busy connection.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) job: JobId,
    pub(crate) query: QueryId,
    pub(crate) attempt: u32,
    pub(crate) shard: u32,
    pub(crate) snapshot: Snapshot,
    pub(crate) deadline: Time,
    pub(crate) repeatable: bool,
    pub(crate) at: Time,
    /// Since when nothing was received.
    pub(crate) quiet_since: Time,
    /// When the connection was suspected to be silent.
    pub(crate) suspected: Option<Time>,
}

impl Sent {
    pub(crate) fn new(job: &Job, now: Time) -> Sent {
        Sent {
            job: job.id,
            query: job.query,
            attempt: job.attempt,
            shard: job.shard,
            snapshot: job.snapshot,
            deadline: job.deadline,
            repeatable: job.repeatable,
            at: now,
            quiet_since: now,
            suspected: None,
        }
    }
}

impl Conn {
    pub(crate) fn sent(&self) -> Option<&Sent> {
        match &self.state {
            ConnState::Busy(sent) => Some(sent),
            _ => None,
        }
    }

    pub(crate) fn sent_mut(&mut self) -> Option<&mut Sent> {
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

    /// When the connection needs attention next.
    pub(crate) fn due(
        &self,
        options: &TargetOptions,
        silent_after: Duration,
    ) -> Time {
        match &self.state {
            ConnState::Connecting { since } => {
                *since + options.connect_timeout
            }
            ConnState::Idle { since } => *since + options.idle_max,
            ConnState::Busy(sent) if sent.suspected.is_some() => sent.deadline,
            ConnState::Busy(sent) => {
                let time = sent.deadline.since(sent.at);
                let part = time * options.silent_percent / 100;
                let suspect_at = sent.quiet_since + silent_after;
                sent.deadline.min(suspect_at.max(sent.at + part))
            }
        }
    }
}
