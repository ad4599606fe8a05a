//! A caller's request in flight.

use std::sync::Arc;

use super::{delegate::Delegation, table::CompiledRoute};
use crate::{
    id::{AttemptId, InstanceId, ServiceId, TargetId, Token},
    time::Time,
};

/// Where a shard of a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Has no attempt and waits for a target or a connection.
    Waiting,
    /// Has at least one attempt.
    Asked,
    /// Is handled by this instance.
    Delegated(InstanceId),
    /// This attempt has brought the answer.
    Answered(AttemptId),
    /// Cannot be answered any more.
    Failed,
}

/// One service that a request asks.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    pub(super) service: ServiceId,
    pub(super) progress: Progress,
    /// Targets that were asked and did not refuse.
    pub(super) tried: Vec<TargetId>,
    /// Attempts that have not ended.
    pub(super) open: u32,
    /// Attempts that were sent.
    pub(super) sent: u32,
    /// Attempts that targets turned away.
    pub(super) refused: u32,
    /// Whether a target may have run the request.
    pub(super) may_have_run: bool,
    /// The last answer that was a failure, for requests without shards.
    pub(super) failure: Option<AttemptId>,
    /// Whether a delegate may have sent an attempt.
    pub(super) sent_elsewhere: bool,
    /// Whether the answer was sent to the root.
    pub(super) reported: bool,
    /// When the last attempt was sent.
    pub(super) sent_at: Time,
}

impl Shard {
    pub(super) fn new(service: ServiceId) -> Shard {
        Shard {
            service,
            progress: Progress::Waiting,
            tried: Vec::new(),
            open: 0,
            sent: 0,
            refused: 0,
            may_have_run: false,
            failure: None,
            sent_elsewhere: false,
            reported: false,
            sent_at: Time::ZERO,
        }
    }

    /// Attempts that targets may have run or may still run.
    pub(super) fn may_run(&self) -> u32 {
        self.sent - self.refused + u32::from(self.sent_elsewhere)
    }

    /// Whether an answer may still come.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.progress, Progress::Answered(_) | Progress::Failed)
    }
}

/// Who waits for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller of this instance.
    Caller,
    /// Another instance that has given it a task.
    Root {
        from: InstanceId,
        /// The root's number of the task.
        number: u64,
    },
}

/// A caller's request in flight.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) token: Token,
    pub(super) id: Arc<str>,
    pub(super) origin: Origin,
    pub(super) route: Arc<CompiledRoute>,
    pub(super) started: Time,
    /// From here on a response with enough shards is not held back.
    pub(super) soft_at: Time,
    /// The caller gets its final response at this time.
    pub(super) hard_at: Time,
    pub(super) shards: Vec<Shard>,
    /// Places of the shards among the route's services.
    pub(super) places: Vec<u16>,
    /// Delegates that handle some of the shards.
    pub(super) delegations: Vec<Delegation>,
    /// Whether nobody else will ask the same shards.
    pub(super) confirmed: bool,
    /// When the request is looked at next.
    pub(super) check_at: Time,
}

impl Request {
    pub(super) fn answered(&self) -> usize {
        let answered =
            |s: &&Shard| matches!(s.progress, Progress::Answered(_));
        self.shards.iter().filter(answered).count()
    }

    /// Targets that may run each shard.
    pub(super) fn max_attempts(&self) -> u32 {
        let allowed = self.route.route.max_attempts.max(1);
        if self.confirmed { allowed } else { 1 }
    }

    pub(super) fn open(&self) -> usize {
        self.shards.iter().filter(|s| s.is_open()).count()
    }

    /// Whether a target may have run a part of it, or may still do so. What
    /// a delegate has not declined, it may have sent.
    pub(super) fn may_have_run(&self) -> bool {
        self.shards.iter().any(|s| {
            let elsewhere = matches!(
                s.progress,
                Progress::Delegated(_) | Progress::Answered(_)
            );
            s.may_have_run || elsewhere
        })
    }
}
