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
        index::Asked,
    },
    snapshot::Snapshot,
    time::Time,
    verdict::Verdict,
};

/// No position.
pub(crate) const NONE: u32 = u32::MAX;

/// A time that never comes.
pub(crate) const NEVER: Time = Time::from_micros(u64::MAX);

/// Requests to targets for one shard within a plan.
pub(crate) const MAX_TRIES: usize = 4;

/// Why a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TryKind {
    First,
    Hedge,
    Retry,
    Standby,
}

/// Where a request to a target stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TryState {
    Open,
    Answered,
    NotHeld,
    Shed,
    Expired,
    Failed(Verdict),
    /// No longer wanted; it may run all the same.
    Cancelled,
}

impl TryState {
    /// Whether a target may have run the request.
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
    /// Position of the target in the table.
    pub(crate) slot: u32,
    /// Position of the shard in the plan.
    pub(crate) shard: u32,
    pub(crate) attempt: u32,
    /// The previous try of the same shard.
    pub(crate) prev: u32,
    /// Microseconds since the query came.
    pub(crate) sent: u32,
    pub(crate) ended: u32,
    pub(crate) kind: TryKind,
    pub(crate) state: TryState,
}

/// One asked shard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shard {
    pub(crate) shard: u32,
    /// The newest try.
    pub(crate) last: u32,
    pub(crate) answered: bool,
    /// Given up without an answer.
    pub(crate) closed: bool,
    pub(crate) hedged: bool,
    /// Whether the request that may exceed the budget was used.
    pub(crate) allowance_used: bool,
}

/// A snapshot, the shards asked of it, and every request for them.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) snapshot: Snapshot,
    pub(crate) shard_count: u32,
    /// Sorted by shard.
    pub(crate) shards: Vec<Shard>,
    pub(crate) tries: Vec<Try>,
    pub(crate) answered: u32,
    pub(crate) closed: u32,
}

impl Plan {
    pub(crate) fn position(&self, shard: u32) -> Option<usize> {
        let i = shard as usize;
        if self.shards.get(i).is_some_and(|x| x.shard == shard) {
            return Some(i);
        }
        self.shards.binary_search_by_key(&shard, |x| x.shard).ok()
    }

    /// Positions of the tries of a shard, newest first.
    pub(crate) fn tries_of(
        &self,
        position: usize,
    ) -> impl Iterator<Item = usize> + '_ {
        let mut next = self.shards[position].last;
        std::iter::from_fn(move || {
            let i = (next != NONE).then_some(next as usize)?;
            next = self.tries[i].prev;
            Some(i)
        })
    }

    pub(crate) fn has_open(&self, position: usize) -> bool {
        self.tries_of(position).any(|i| self.tries[i].state == TryState::Open)
    }

    pub(crate) fn is_settled(&self) -> bool {
        (self.answered + self.closed) as usize == self.shards.len()
    }

    /// Whether a target may have run any of the requests.
    pub(crate) fn verdict(&self) -> Verdict {
        let verdicts = self.tries.iter().map(|t| t.state.verdict());
        verdicts.max().unwrap_or(Verdict::NotRun)
    }

    /// Why a shard is missing.
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
    /// When the acknowledgement is overdue.
    pub(crate) due: Time,
    pub(crate) acked: bool,
    pub(crate) standby: bool,
    /// Requests that have not ended.
    pub(crate) open: u32,
}

/// Where a query stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Claiming,
    Running,
}

/// One query.
#[derive(Clone, Debug)]
pub(crate) struct Active {
    pub(crate) id: QueryId,
    /// `None` once the caller has gone.
    pub(crate) token: Option<Token>,
    pub(crate) request_id: String,
    /// The claimed id, if the request may not be repeated.
    pub(crate) claim: Option<String>,
    pub(crate) key_hash: u64,
    pub(crate) route: RouteId,
    pub(crate) asked: Option<Arc<[u32]>>,
    pub(crate) priority: Priority,
    pub(crate) policy: AnswerPolicy,
    pub(crate) repeatable: bool,
    pub(crate) body: Bytes,
    pub(crate) started: Time,
    pub(crate) deadline: Time,
    pub(crate) phase: Phase,
    pub(crate) plan: Option<Plan>,
    /// Plans whose answers were dropped, oldest first.
    pub(crate) dropped: Vec<Plan>,
    pub(crate) dispatches: Vec<Dispatch>,
    pub(crate) results: Vec<ShardResult>,
    /// Next look for stragglers.
    pub(crate) hedge_at: Time,
    /// From when on `enough_percent` is enough.
    pub(crate) enough_at: Time,
    /// Whether that time has passed; every reply checks from then on.
    pub(crate) enough_seen: bool,
    /// Next look for missing acknowledgements.
    pub(crate) ack_at: Time,
    /// The timer that is set.
    pub(crate) wake: Time,
    pub(crate) ended: Option<Time>,
    pub(crate) failed: Option<(FailureReason, Verdict)>,
}

impl Active {
    pub(crate) fn next_wake(&self) -> Time {
        if self.phase == Phase::Claiming {
            return self.deadline;
        }
        let first = self.deadline.min(self.hedge_at).min(self.ack_at);
        if self.enough_seen { first } else { first.min(self.enough_at) }
    }

    /// Which shards the query asks of a snapshot.
    pub(crate) fn asked(&self) -> Asked<'_> {
        if self.claim.is_some() {
            // The list of the route does not apply: which shard is asked
            // depends on the shard count of the snapshot.
            return Asked::One(self.key_hash);
        }
        self.asked.as_deref().map_or(Asked::All, Asked::List)
    }

    pub(crate) fn remaining(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Microseconds since the query came; deadlines fit by
    /// `QueryOptions::max_deadline`.
    pub(crate) fn offset(&self, now: Time) -> u32 {
        let micros = now.since(self.started).as_micros();
        u32::try_from(micros).unwrap_or(u32::MAX)
    }

    /// Whether a target may have run the request.
    pub(crate) fn verdict(&self) -> Verdict {
        let plans = self.dropped.iter().chain(&self.plan);
        plans.map(Plan::verdict).max().unwrap_or(Verdict::NotRun)
    }

    /// Number of shard requests that were sent.
    pub(crate) fn requests(&self) -> usize {
        let plans = self.dropped.iter().chain(&self.plan);
        plans.map(|p| p.tries.len()).sum()
    }

    /// Whether the answer can be given before every shard has ended.
    pub(crate) fn is_enough(&self, now: Time) -> bool {
        let Some(plan) = &self.plan else { return false };
        if plan.is_settled() {
            return true;
        }
        let AnswerPolicy::Latency { enough_percent } = self.policy else {
            return false;
        };
        let answered = u64::from(plan.answered);
        let asked = plan.shards.len() as u64;
        answered > 0
            && now >= self.enough_at
            && answered * 100 >= u64::from(enough_percent) * asked
    }
}
