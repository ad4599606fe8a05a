/*!
Explanations for operators of how a query was served.
*/

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    id::{InstanceId, QueryId, RouteId, TargetId},
    query::{
        active::{ActiveQuery, Plan, TryKind, TryState},
        api::FailureReason,
        options::QueryOptions,
        table::RoutingTable,
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
    /// Route of the query.
    pub route: RouteId,
    /// Time from the request to the response, in microseconds; absent while
    /// the query runs.
    pub took_us: Option<u64>,
    /// Snapshot of the answer.
    pub snapshot: Option<Snapshot>,
    /// Snapshots whose answers were dropped, oldest first.
    pub dropped_snapshots: Vec<Snapshot>,
    /// Number of shards with an answer.
    pub answered: u32,
    /// Reason, if the query failed.
    pub reason: Option<FailureReason>,
    /// Verdict, if the query failed.
    pub verdict: Option<Verdict>,
    /// The shards; those of dropped snapshots come first.
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
    /// Number of the message with this request within the query.
    pub attempt: u32,
    /// `first`, `hedge`, `retry` or `standby`.
    pub kind: String,
    /// The target.
    pub target: TargetId,
    /// Name of the target, if it is still configured.
    pub target_name: Option<String>,
    /// The instance that was asked.
    pub home: InstanceId,
    /// Time of the send, in microseconds after the caller's request.
    pub sent_us: u64,
    /// Time of the end, in microseconds after the caller's request; absent
    /// while the request is open.
    pub ended_us: Option<u64>,
    /// `open`, `answered`, `not_held`, `shed`, `expired`, `failed` or
    /// `cancelled`.
    pub outcome: String,
}

/// The queries that ended last, kept to be explained.
#[derive(Debug, Default)]
pub(crate) struct RecentQueries {
    /// Oldest first.
    queries: VecDeque<Box<ActiveQuery>>,
    /// Number of shard requests in `queries`.
    request_count: usize,
}

impl RecentQueries {
    /// Adds a query and drops the oldest ones beyond the limits.
    pub(crate) fn push(
        &mut self,
        query: Box<ActiveQuery>,
        opt: &QueryOptions,
    ) {
        self.request_count += query.request_count();
        self.queries.push_back(query);
        while self.queries.len() > opt.max_explained_queries
            || self.request_count > opt.max_explained_requests
        {
            let Some(oldest) = self.queries.pop_front() else { break };
            self.request_count -= oldest.request_count();
        }
    }

    /// Returns the newest query with a request id.
    pub(crate) fn find(&self, request_id: &str) -> Option<&ActiveQuery> {
        let mut newest_first = self.queries.iter().rev();
        newest_first.find(|q| q.request_id == request_id).map(|q| &**q)
    }
}

/// Describes a query for operators.
pub(crate) fn explain(
    query: &ActiveQuery,
    table: &RoutingTable,
) -> Explanation {
    let mut shards = Vec::new();
    for plan in query.dropped_plans.iter().chain(&query.plan) {
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
        dropped_snapshots: query
            .dropped_plans
            .iter()
            .map(|p| p.snapshot)
            .collect(),
        answered: query.plan.as_ref().map_or(0, |p| p.answered),
        reason: query.failure.map(|x| x.0),
        verdict: query.failure.map(|x| x.1),
        shards,
    }
}

fn explain_shard(
    query: &ActiveQuery,
    plan: &Plan,
    position: usize,
    table: &RoutingTable,
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
                target_name: table.target_name(t.target).map(str::to_owned),
                home: query.dispatches[t.attempt as usize].home,
                sent_us: t.sent_us.into(),
                ended_us: (!is_open).then_some(t.ended_us.into()),
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

/// Returns the name of a kind in explanations and logs.
pub(crate) fn kind_name(kind: TryKind) -> &'static str {
    match kind {
        TryKind::First => "first",
        TryKind::Hedge => "hedge",
        TryKind::Retry => "retry",
        TryKind::Standby => "standby",
    }
}

/// Returns the name of a state in explanations.
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
