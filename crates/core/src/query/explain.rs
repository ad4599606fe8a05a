/*!
How a query was served, for operators.
*/

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    id::{InstanceId, QueryId, RouteId, TargetId},
    query::{
        active::{Active, Plan, TryKind, TryState},
        api::FailureReason,
        options::QueryOptions,
        table::Table,
    },
    snapshot::Snapshot,
    verdict::Verdict,
};

/// How a query was served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The caller's request id, or the query id in hex.
    pub request_id: String,
    /// The query.
    pub query: QueryId,
    /// Its route.
    pub route: RouteId,
    /// Time from the request to the response, in microseconds; absent while
    /// the query runs.
    pub took_us: Option<u64>,
    /// Snapshot of the answer.
    pub snapshot: Option<Snapshot>,
    /// Snapshots whose answers were dropped, oldest first.
    pub dropped_snapshots: Vec<Snapshot>,
    /// Shards with an answer.
    pub answered: u32,
    /// Reason of a failure.
    pub reason: Option<FailureReason>,
    /// Verdict of a failure.
    pub verdict: Option<Verdict>,
    /// The shards, first those of the dropped snapshots.
    pub shards: Vec<ShardExplanation>,
}

/// How a shard was served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardExplanation {
    /// Snapshot that was asked.
    pub snapshot: Snapshot,
    /// The shard.
    pub shard: u32,
    /// Whether its result is in the answer.
    pub answered: bool,
    /// Requests to targets, oldest first.
    pub attempts: Vec<AttemptExplanation>,
}

/// One request to one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptExplanation {
    /// Number of the message within the query.
    pub attempt: u32,
    /// `first`, `hedge`, `retry` or `standby`.
    pub kind: String,
    /// The target.
    pub target: TargetId,
    /// Its name, if it is still configured.
    pub target_name: Option<String>,
    /// The instance that was asked.
    pub home: InstanceId,
    /// When it was sent, in microseconds after the caller's request.
    pub sent_us: u64,
    /// When it ended.
    pub ended_us: Option<u64>,
    /// `open`, `answered`, `not_held`, `shed`, `expired`, `failed` or
    /// `cancelled`.
    pub outcome: String,
}

/// The last queries.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    queries: VecDeque<Box<Active>>,
    requests: usize,
}

impl Recent {
    pub(crate) fn push(&mut self, query: Box<Active>, opt: &QueryOptions) {
        self.requests += query.requests();
        self.queries.push_back(query);
        while self.queries.len() > opt.explained_queries
            || self.requests > opt.explained_requests
        {
            let Some(first) = self.queries.pop_front() else { break };
            self.requests -= first.requests();
        }
    }

    pub(crate) fn find(&self, request_id: &str) -> Option<&Active> {
        let mut newest_first = self.queries.iter().rev();
        newest_first.find(|q| q.request_id == request_id).map(|q| &**q)
    }
}

/// Describes a query for operators.
pub(crate) fn explain(query: &Active, table: &Table) -> Explanation {
    let mut shards = Vec::new();
    for plan in query.dropped.iter().chain(&query.plan) {
        for position in 0..plan.shards.len() {
            shards.push(explain_shard(query, plan, position, table));
        }
    }
    Explanation {
        request_id: query.request_id.clone(),
        query: query.id,
        route: query.route,
        took_us: query
            .ended
            .map(|t| t.as_micros() - query.started.as_micros()),
        snapshot: query.plan.as_ref().map(|p| p.snapshot),
        dropped_snapshots: query.dropped.iter().map(|p| p.snapshot).collect(),
        answered: query.plan.as_ref().map_or(0, |p| p.answered),
        reason: query.failed.map(|x| x.0),
        verdict: query.failed.map(|x| x.1),
        shards,
    }
}

fn explain_shard(
    query: &Active,
    plan: &Plan,
    position: usize,
    table: &Table,
) -> ShardExplanation {
    let shard = plan.shards[position];
    let mut attempts: Vec<AttemptExplanation> = plan
        .tries_of(position)
        .map(|i| {
            let t = &plan.tries[i];
            let is_open = t.state == TryState::Open;
            AttemptExplanation {
                attempt: t.attempt,
                kind: kind_name(t.kind).to_owned(),
                target: t.target,
                target_name: table.name(t.target).map(str::to_owned),
                home: query.dispatches[t.attempt as usize].home,
                sent_us: t.sent.into(),
                ended_us: (!is_open).then_some(t.ended.into()),
                outcome: state_name(t.state).to_owned(),
            }
        })
        .collect();
    attempts.reverse();
    ShardExplanation {
        snapshot: plan.snapshot,
        shard: shard.shard,
        answered: shard.answered,
        attempts,
    }
}

pub(crate) fn kind_name(kind: TryKind) -> &'static str {
    match kind {
        TryKind::First => "first",
        TryKind::Hedge => "hedge",
        TryKind::Retry => "retry",
        TryKind::Standby => "standby",
    }
}

fn state_name(state: TryState) -> &'static str {
    match state {
        TryState::Open => "open",
        TryState::Answered => "answered",
        TryState::NotHeld => "not_held",
        TryState::Shed => "shed",
        TryState::Expired => "expired",
        TryState::Failed(_) => "failed",
        TryState::Cancelled => "cancelled",
    }
}
