/*!
State of one query.
*/

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    config::{AnswerPolicy, Priority},
    id::{InstanceId, QueryId, RouteId, TargetId, Token},
    query::{
        api::{FailureReason, MissingReason, ShardResult},
        index::ShardSet,
    },
    snapshot::Snapshot,
    time::Time,
    verdict::Verdict,
};

/// Marks an absent index into [`Plan::tries`] or the table of targets.
pub(crate) const NO_POSITION: u32 = u32::MAX;

/// Value of a timer that is not set.
pub(crate) const NEVER: Time = Time::from_micros(u64::MAX);

/// Maximum number of requests to targets for one shard within a plan.
pub(crate) const MAX_TRIES: usize = 4;

/// Reason for which a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TryKind {
    First,
    Hedge,
    Retry,
    Standby,
}

/// State of a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TryState {
    Open,
    Answered,
    NotHeld,
    Shed,
    Expired,
    Failed(Verdict),
    /// Cancelled by this instance; the target may still run it.
    Cancelled,
}

impl TryState {
    /// Returns whether a target may have run the request.
    pub(crate) fn verdict(self) -> Verdict {
        match self {
            TryState::Answered => Verdict::Ran,
            TryState::NotHeld | TryState::Shed | TryState::Expired => {
                Verdict::NotRun
            }
            TryState::Failed(verdict) => verdict,
            TryState::Open | TryState::Cancelled => Verdict::MayHaveRun,
        }
    }
}

/// One request for one shard to one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Try {
    pub(crate) target: TargetId,
    /// Index of the target in the routing table.
    pub(crate) slot: u32,
    /// Index of the shard in [`Plan::shards`].
    pub(crate) shard: u32,
    /// Index of the message in [`ActiveQuery::dispatches`].
    pub(crate) attempt: u32,
    /// Index of the previous try of the same shard.
    pub(crate) previous_try: u32,
    /// Microseconds from the arrival of the query to the send.
    pub(crate) sent_us: u32,
    /// Microseconds from the arrival of the query to the end of the request.
    pub(crate) ended_us: u32,
    pub(crate) kind: TryKind,
    pub(crate) state: TryState,
}

/// One of the shards that a plan asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedShard {
    pub(crate) shard: u32,
    /// Index of the newest try in [`Plan::tries`].
    pub(crate) newest_try: u32,
    pub(crate) answered: bool,
    /// Whether no further request is sent although there is no answer.
    pub(crate) abandoned: bool,
    pub(crate) hedged: bool,
    /// Whether the one extra request that needs no budget was used.
    pub(crate) allowance_used: bool,
}

/// A snapshot, the shards that are asked for in it, and every request for
/// them.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) snapshot: Snapshot,
    pub(crate) shard_count: u32,
    /// Sorted by shard.
    pub(crate) shards: Vec<PlannedShard>,
    pub(crate) tries: Vec<Try>,
    /// Number of answered shards.
    pub(crate) answered: u32,
    /// Number of abandoned shards.
    pub(crate) abandoned: u32,
}

impl Plan {
    /// Returns the index of a shard in `shards`.
    pub(crate) fn position(&self, shard: u32) -> Option<usize> {
        let i = shard as usize;
        if self.shards.get(i).is_some_and(|x| x.shard == shard) {
            return Some(i);
        }
        self.shards.binary_search_by_key(&shard, |x| x.shard).ok()
    }

    /// Returns the indices of the tries of a shard, newest first.
    pub(crate) fn tries_of(
        &self,
        position: usize,
    ) -> impl Iterator<Item = usize> + '_ {
        let mut next_try = self.shards[position].newest_try;
        std::iter::from_fn(move || {
            let i = (next_try != NO_POSITION).then_some(next_try as usize)?;
            next_try = self.tries[i].previous_try;
            Some(i)
        })
    }

    pub(crate) fn has_open(&self, position: usize) -> bool {
        self.tries_of(position).any(|i| self.tries[i].state == TryState::Open)
    }

    /// Returns whether every shard is answered or abandoned.
    pub(crate) fn is_complete(&self) -> bool {
        (self.answered + self.abandoned) as usize == self.shards.len()
    }

    /// Returns whether a target may have run any of the requests.
    pub(crate) fn verdict(&self) -> Verdict {
        let verdicts = self.tries.iter().map(|t| t.state.verdict());
        verdicts.max().unwrap_or(Verdict::NotRun)
    }

    /// Returns why a shard is missing from the answer.
    pub(crate) fn missing_reason(&self, position: usize) -> MissingReason {
        let mut reason = MissingReason::NoReplica;
        for i in self.tries_of(position) {
            match self.tries[i].state {
                TryState::Open => return MissingReason::Late,
                TryState::Cancelled | TryState::Expired => {
                    reason = MissingReason::Late;
                }
                TryState::Failed(_) => return MissingReason::Failed,
                TryState::Shed => reason = MissingReason::Shed,
                TryState::NotHeld | TryState::Answered => {}
            }
        }
        reason
    }
}

/// One message with shard requests to one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub(crate) home: InstanceId,
    pub(crate) sent: Time,
    /// Time from which the acknowledgement is overdue.
    pub(crate) ack_due: Time,
    pub(crate) acked: bool,
    /// Whether the instance was asked as a standby.
    pub(crate) standby: bool,
    /// Number of its requests that have not ended.
    pub(crate) open_requests: u32,
}

/// Phase of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the claim on its request id; nothing has been sent.
    Claiming,
    Running,
}

/// State of one query, from its arrival until it is no longer explained.
#[derive(Clone, Debug)]
pub(crate) struct ActiveQuery {
    pub(crate) id: QueryId,
    /// `None` once the caller has disconnected.
    pub(crate) token: Option<Token>,
    pub(crate) request_id: String,
    /// Claimed name (route and request id), if the request may not be
    /// repeated.
    pub(crate) claim: Option<String>,
    /// Hash of the caller's key, or of the request id if there is no key.
    pub(crate) key_hash: u64,
    pub(crate) route: RouteId,
    /// Shards that the route is limited to; `None` for all.
    pub(crate) route_shards: Option<Arc<[u32]>>,
    pub(crate) priority: Priority,
    pub(crate) policy: AnswerPolicy,
    pub(crate) repeatable: bool,
    pub(crate) body: Bytes,
    pub(crate) started: Time,
    pub(crate) deadline: Time,
    pub(crate) phase: Phase,
    pub(crate) plan: Option<Plan>,
    /// Earlier plans whose answers were dropped, oldest first.
    pub(crate) dropped_plans: Vec<Plan>,
    pub(crate) dispatches: Vec<Dispatch>,
    pub(crate) results: Vec<ShardResult>,
    /// Time of the next check for stragglers.
    pub(crate) hedge_at: Time,
    /// Time from which `enough_percent` of the shards suffice for an answer.
    pub(crate) partial_answer_at: Time,
    /// Whether the timer for `partial_answer_at` has fired. Every reply then
    /// checks whether the answer can be given, so no timer is needed.
    pub(crate) partial_answer_allowed: bool,
    /// Time of the next check for missing acknowledgements.
    pub(crate) ack_at: Time,
    /// Time for which the timer of the query is set.
    pub(crate) timer_at: Time,
    pub(crate) ended: Option<Time>,
    pub(crate) failure: Option<(FailureReason, Verdict)>,
}

impl ActiveQuery {
    /// Returns the time at which the query needs its next timer event.
    pub(crate) fn next_timer(&self) -> Time {
        if self.phase == Phase::Claiming {
            return self.deadline;
        }
        let earliest = self.deadline.min(self.hedge_at).min(self.ack_at);
        if self.partial_answer_allowed {
            earliest
        } else {
            earliest.min(self.partial_answer_at)
        }
    }

    /// Returns which shards of a snapshot the query asks for.
    pub(crate) fn shard_set(&self) -> ShardSet<'_> {
        if self.claim.is_some() {
            // The shard list of the route does not apply, because the shard
            // for a key depends on the shard count of the snapshot.
            return ShardSet::One(self.key_hash);
        }
        self.route_shards.as_deref().map_or(ShardSet::All, ShardSet::List)
    }

    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the microseconds since the query arrived. They fit in 32 bits
    /// because `QueryOptions::max_deadline` limits the deadline.
    pub(crate) fn elapsed_us(&self, now: Time) -> u32 {
        let micros = now.since(self.started).as_micros();
        u32::try_from(micros).unwrap_or(u32::MAX)
    }

    /// Returns whether a target may have run the request.
    pub(crate) fn verdict(&self) -> Verdict {
        let plans = self.dropped_plans.iter().chain(&self.plan);
        plans.map(Plan::verdict).max().unwrap_or(Verdict::NotRun)
    }

    /// Returns the number of shard requests that were sent.
    pub(crate) fn request_count(&self) -> usize {
        let plans = self.dropped_plans.iter().chain(&self.plan);
        plans.map(|p| p.tries.len()).sum()
    }

    /// Returns whether the query can be answered now: every shard is answered
    /// or abandoned, or the answer policy accepts a partial answer.
    pub(crate) fn can_answer(&self, now: Time) -> bool {
        let Some(plan) = &self.plan else { return false };
        if plan.is_complete() {
            return true;
        }
        let AnswerPolicy::Latency { enough_percent } = self.policy else {
            return false;
        };
        let answered = u64::from(plan.answered);
        let asked = plan.shards.len() as u64;
        answered > 0
            && now >= self.partial_answer_at
            && answered * 100 >= u64::from(enough_percent) * asked
    }
}
