//! Requests in flight and the state of their shards.

use std::sync::Arc;

use super::{
    Submission, delegate::Delegation, keys::KeyedCaller, table::CompiledRoute,
};
use crate::{
    id::{AttemptId, InstanceId, ServiceId, TargetId, Token},
    time::Time,
};

/// The progress of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// It has no open attempt and waits for a target, a connection or budget.
    Waiting,
    /// At least one attempt is open.
    Asked,
    /// The given instance handles it.
    Delegated(InstanceId),
    /// The given attempt has returned the answer.
    Answered(AttemptId),
    /// It can no longer be answered.
    Failed,
}

/// The state of a request's shard, which is sent to one service.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    pub(super) service: ServiceId,
    pub(super) progress: Progress,
    /// Targets to which the shard was sent since the list was last cleared.
    pub(super) tried: Vec<TargetId>,
    /// Number of attempts that have not ended.
    pub(super) open: u32,
    /// Number of attempts that were sent.
    pub(super) sent: u32,
    /// Number of attempts that were refused or that reached no target.
    pub(super) refused: u32,
    /// Whether a target may have run the request.
    pub(super) may_have_run: bool,
    /// The last attempt that a target answered with an error, which is the
    /// response to a failed request without shards.
    pub(super) failure: Option<AttemptId>,
    /// Whether a delegate may have sent an attempt.
    pub(super) delegate_may_have_sent: bool,
    /// Whether the answer was sent to the root.
    pub(super) reported: bool,
    /// Time at which the last attempt was sent.
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
            delegate_may_have_sent: false,
            reported: false,
            sent_at: Time::ZERO,
        }
    }

    /// Returns the number of attempts that targets may have run or may still
    /// run.
    pub(super) fn may_run(&self) -> u32 {
        self.sent - self.refused + u32::from(self.delegate_may_have_sent)
    }

    /// Returns whether the shard may still be answered.
    pub(super) fn is_pending(&self) -> bool {
        !matches!(self.progress, Progress::Answered(_) | Progress::Failed)
    }
}

/// A request for which nothing has been sent, such as one that needs a token
/// of the limit of its team.
#[derive(Clone, Debug)]
pub(super) struct Unadmitted {
    pub(super) token: Token,
    pub(super) submission: Submission,
    pub(super) services: Vec<ServiceId>,
    pub(super) started: Time,
}

/// The origin of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller of this instance.
    Caller,
    /// A task from another instance.
    Root {
        from: InstanceId,
        /// Task number assigned by the root.
        number: u64,
    },
}

/// A caller's request or a delegated task in flight.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) token: Token,
    pub(super) id: Arc<str>,
    pub(super) origin: Origin,
    /// Whether it has a token of the limit of its team.
    pub(super) has_share: bool,
    pub(super) route: Arc<CompiledRoute>,
    /// `None` if the route needs no key.
    pub(super) caller: Option<KeyedCaller>,
    /// Priority of the team or, if it sets none, of the route; 0 is the most
    /// urgent.
    pub(super) priority: u32,
    pub(super) started: Time,
    /// Time from which a response with enough shards is sent at once.
    pub(super) soft_deadline: Time,
    /// Time at which the request ends in any case.
    pub(super) hard_deadline: Time,
    pub(super) shards: Vec<Shard>,
    /// Indices of the shards in the services of the route.
    pub(super) shard_indices: Vec<u16>,
    /// Delegates that handle some of the shards.
    pub(super) delegations: Vec<Delegation>,
    /// Whether no other instance will send the same shards to targets.
    pub(super) confirmed: bool,
    /// Time at which `check_request` is due.
    pub(super) next_check: Time,
}

impl Request {
    pub(super) fn answered_shards(&self) -> usize {
        let answered =
            |s: &&Shard| matches!(s.progress, Progress::Answered(_));
        self.shards.iter().filter(answered).count()
    }

    /// Returns the number of attempts that may run for each shard.
    pub(super) fn max_attempts(&self) -> u32 {
        let allowed = self.route.route.max_attempts.max(1);
        if self.confirmed { allowed } else { 1 }
    }

    pub(super) fn pending_shards(&self) -> usize {
        self.shards.iter().filter(|s| s.is_pending()).count()
    }

    /// Returns whether a target may have run a shard or may still run it. A
    /// delegate may have sent any shard that it has not declined.
    pub(super) fn may_have_run(&self) -> bool {
        self.shards.iter().any(|s| {
            let delegated_or_answered = matches!(
                s.progress,
                Progress::Delegated(_) | Progress::Answered(_)
            );
            s.may_have_run || delegated_or_answered
        })
    }
}
