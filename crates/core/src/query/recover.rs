/*!
Replies, retries, hedges and replanning.

Extra requests are bounded in three ways:

- Each hedge or retry takes a token from the budget of the route.
- One extra request for each shard (its allowance) needs no token: either the
  retry of a request that was refused as not run, which put no work on a
  target, or a request to the standby of a home that has not answered.
- A query is planned at most `MAX_PLANS` times. Only the first plan has
  allowances, and a plan for a snapshot that was planned before takes a token
  for each of its requests.

So a route sends at most `first * (100 + extra_load_percent) / 100 + burst`
requests, and one more for each shard of a first plan.
*/

use std::time::Duration;

use crate::{
    event::query as events,
    id::InstanceId,
    query::{
        active::{ActiveQuery, MAX_TRIES, NEVER, Phase, TryKind, TryState},
        api::{Message, QueryEffect, ShardReply, ShardResult},
        choose::Purpose,
        explain::kind_name,
        root::Queries,
    },
    target::JobOutcome,
    time::Time,
    verdict::Verdict,
};

/// The interval between two checks for stragglers is at least the time left
/// until the deadline, divided by this number. A replica at its limit often
/// has capacity one service time later, so the checks are close together.
const HEDGE_CHECKS: u32 = 32;

/// Maximum number of plans of a query. The holdings of a target that gets no
/// requests are as old as its last health report, so the snapshot of the
/// second plan may be gone too. The refusals report current holdings, which
/// the third plan uses.
const MAX_PLANS: usize = 3;

impl Queries {
    /// Handles a reply, or drops it if it matches no open request.
    pub(super) fn handle_reply(
        &mut self,
        now: Time,
        from: InstanceId,
        reply: ShardReply,
    ) {
        let Some(mut query) = self.take(reply.query) else {
            return self.drop_reply(&reply, "no such query");
        };
        let Some(i) = find_open_try(&query, from, &reply) else {
            self.drop_reply(&reply, "no such request");
            return self.put_back(query);
        };
        let elapsed_us = query.elapsed_us(now);
        let Some(plan) = &mut query.plan else {
            return self.put_back(query);
        };
        let t = &mut plan.tries[i];
        let (position, sent_us) = (t.shard as usize, t.sent_us);
        t.ended_us = elapsed_us;
        t.state = match reply.outcome {
            JobOutcome::Answered { .. } => TryState::Answered,
            JobOutcome::NotHeld => TryState::NotHeld,
            JobOutcome::Shed => TryState::Shed,
            JobOutcome::Expired => TryState::Expired,
            JobOutcome::Failed { verdict } => TryState::Failed(verdict),
        };
        let d = &mut query.dispatches[t.attempt as usize];
        d.acked = true;
        d.open_requests -= 1;
        let slot = t.slot;
        if let JobOutcome::Answered { body, .. } = reply.outcome {
            plan.shards[position].answered = true;
            plan.answered += 1;
            let shard = plan.shards[position].shard;
            query.results.push(ShardResult { shard, body });
            if let Some(r) = self.table.route_position(query.route) {
                let latency =
                    Duration::from_micros((elapsed_us - sent_us).into());
                self.table.routes[r].latencies.record(latency);
            }
            self.table.release(slot);
            self.cancel_other_requests(now, &mut query, position);
        } else {
            self.table.release(slot);
        }
        if let Some(report) = reply.report {
            self.apply_report(now, from, report);
        }
        let plan = query.plan.as_ref();
        if plan.is_some_and(|p| !p.shards[position].answered) {
            self.shard_failed(now, &mut query, position);
        }
        self.put_back_or_finish(now, query);
    }

    fn drop_reply(&mut self, reply: &ShardReply, reason: &str) {
        self.log(&events::REPLY_DROPPED, || {
            format!(
                "query={} attempt={} shard={} target={} why={reason:?}",
                reply.query, reply.attempt, reply.shard, reply.target
            )
        });
    }

    /// Answers a query that was taken out if it can be answered now, otherwise
    /// puts it back.
    pub(super) fn put_back_or_finish(
        &mut self,
        now: Time,
        query: Box<ActiveQuery>,
    ) {
        if query.can_answer(now) {
            self.finish(now, query);
        } else {
            self.put_back(query);
        }
    }

    /// Cancels the other open requests for a shard that is answered.
    fn cancel_other_requests(
        &mut self,
        now: Time,
        query: &mut ActiveQuery,
        position: usize,
    ) {
        let elapsed_us = query.elapsed_us(now);
        let Some(plan) = &mut query.plan else { return };
        let open: Vec<usize> = plan
            .tries_of(position)
            .filter(|&i| plan.tries[i].state == TryState::Open)
            .collect();
        for i in open {
            let t = &mut plan.tries[i];
            t.state = TryState::Cancelled;
            t.ended_us = elapsed_us;
            let d = &mut query.dispatches[t.attempt as usize];
            d.open_requests -= 1;
            self.table.release(t.slot);
            let shard = plan.shards[position].shard;
            let message = Message::CancelShards {
                query: query.id,
                shards: vec![(t.attempt, shard)],
            };
            self.out.push(QueryEffect::Send(d.home, message));
        }
    }

    /// Retries a shard whose newest request has failed, or abandons it.
    pub(super) fn shard_failed(
        &mut self,
        now: Time,
        query: &mut ActiveQuery,
        position: usize,
    ) {
        let Some(plan) = &query.plan else { return };
        if plan.has_open(position) {
            return;
        }
        if query.repeatable && self.retry(now, query, position) {
            return;
        }
        let Some(plan) = &mut query.plan else { return };
        let shard = &mut plan.shards[position];
        shard.abandoned = true;
        plan.abandoned += 1;
        let state = plan.tries.get(shard.newest_try as usize).map(|t| t.state);
        if query.repeatable && state == Some(TryState::NotHeld) {
            self.replan(now, query);
        }
    }

    /// Sends another request for a shard. Returns false if none may be sent or
    /// there is no replica for it.
    fn retry(
        &mut self,
        now: Time,
        query: &mut ActiveQuery,
        position: usize,
    ) -> bool {
        if now >= query.deadline {
            return false;
        }
        let Some(plan) = &query.plan else { return false };
        let shard = plan.shards[position];
        let Some(newest) = plan.tries.get(shard.newest_try as usize).copied()
        else {
            return false;
        };
        if newest.state == TryState::Expired
            || plan.tries_of(position).count() >= MAX_TRIES
        {
            return false;
        }
        let not_run = newest.state.verdict() == Verdict::NotRun;
        let found =
            self.choose_other_replica(now, query, position, Purpose::Serve);
        let Some(request) = found else { return false };
        if !self.take_extra_request(query, position, not_run) {
            return false;
        }
        let id = query.id;
        self.log(&events::SHARD_RETRIED, || {
            format!(
                "query={id} shard={} after={} state={:?}",
                shard.shard,
                kind_name(newest.kind),
                newest.state
            )
        });
        self.table.acquire(request.2);
        self.send(now, query, vec![request], TryKind::Retry);
        true
    }

    /// Uses the allowance of a shard for an extra request, or takes a token.
    /// The allowance is used first, because tokens are shared with the other
    /// queries of the route. Returns false if neither is available.
    pub(super) fn take_extra_request(
        &mut self,
        query: &mut ActiveQuery,
        position: usize,
        may_use_allowance: bool,
    ) -> bool {
        let Some(r) = self.table.route_position(query.route) else {
            return false;
        };
        let is_first_plan = query.dropped_plans.is_empty();
        let Some(plan) = &mut query.plan else { return false };
        let shard = &mut plan.shards[position];
        let granted =
            may_use_allowance && is_first_plan && !shard.allowance_used;
        shard.allowance_used |= granted;
        granted || self.table.routes[r].extra_budget.take()
    }

    /// Plans the query again with another snapshot if that one covers a larger
    /// part of the shards than the present one can still reach. The answers so
    /// far are dropped.
    fn replan(&mut self, now: Time, query: &mut ActiveQuery) {
        if query.dropped_plans.len() + 1 >= MAX_PLANS || now >= query.deadline
        {
            return;
        }
        let Some(route) = self.table.route_position(query.route) else {
            return;
        };
        let Some(plan) = &query.plan else { return };
        let exclude = Some((plan.snapshot, plan.shard_count));
        let Some((i, (total, usable))) =
            self.best_snapshot(query, route, exclude)
        else {
            return;
        };
        let asked = plan.shards.len() as u64;
        let reachable = asked - u64::from(plan.abandoned);
        if u64::from(usable) * asked <= reachable * u64::from(total) {
            return;
        }
        let old = plan.snapshot;
        let new = self.table.routes[route].index.snapshots[i].snapshot;
        let planned_before =
            query.dropped_plans.iter().any(|p| p.snapshot == new);
        if planned_before
            && !self.table.routes[route].extra_budget.take_for_plan(usable)
        {
            return;
        }
        self.cancel_open(now, query);
        query.results.clear();
        query.dropped_plans.extend(query.plan.take());
        query.hedge_at = NEVER;
        query.ack_at = NEVER;
        if !self.plan(now, query, exclude) {
            query.plan = query.dropped_plans.pop();
            self.abandon_all(query);
            return;
        }
        let Some(plan) = &query.plan else { return };
        let (id, new) = (query.id, plan.snapshot);
        self.log(&events::QUERY_REPLANNED, || {
            format!(
                "query={id} from={}/{} to={}/{}",
                old.index_version,
                old.partition_map,
                new.index_version,
                new.partition_map
            )
        });
    }

    /// Abandons every shard of a plan whose answers were dropped and that
    /// could not be replaced.
    fn abandon_all(&mut self, query: &mut ActiveQuery) {
        let Some(plan) = &mut query.plan else { return };
        for shard in &mut plan.shards {
            shard.answered = false;
            shard.abandoned = true;
        }
        plan.answered = 0;
        plan.abandoned = plan.shards.len() as u32;
    }

    /// Handles the timer of a query.
    pub(super) fn handle_timer(
        &mut self,
        now: Time,
        mut query: Box<ActiveQuery>,
    ) {
        if now >= query.deadline {
            return self.expire(now, query);
        }
        if query.phase == Phase::Running {
            if now >= query.ack_at {
                self.check_acks(now, &mut query);
            }
            if now >= query.hedge_at {
                self.hedge(now, &mut query);
            }
            if query.can_answer(now) {
                return self.finish(now, query);
            }
            query.partial_answer_allowed |= now >= query.partial_answer_at;
        }
        self.put_back(query);
    }

    /// Sends second requests for stragglers and sets the time of the next
    /// check.
    fn hedge(&mut self, now: Time, query: &mut ActiveQuery) {
        query.hedge_at = NEVER;
        let Some(route) = self.table.route_position(query.route) else {
            return;
        };
        let delay = self.hedge_delay(route);
        let latest_send_us = query.elapsed_us(now).saturating_sub(
            u32::try_from(delay.as_micros()).unwrap_or(u32::MAX),
        );
        let Some(plan) = &query.plan else { return };
        let mut has_unhedged = false;
        let mut stragglers: Vec<usize> = Vec::new();
        for (i, shard) in plan.shards.iter().enumerate() {
            if shard.answered || shard.abandoned || shard.hedged {
                continue;
            }
            has_unhedged = true;
            let newest = plan.tries.get(shard.newest_try as usize);
            if newest.is_some_and(|t| t.sent_us <= latest_send_us)
                && plan.tries_of(i).count() < MAX_TRIES
            {
                stragglers.push(i);
            }
        }
        for position in stragglers {
            if !self.hedge_shard(now, query, route, position) {
                break;
            }
        }
        if has_unhedged {
            let interval = query.remaining(now) / HEDGE_CHECKS;
            query.hedge_at = now + delay.max(interval);
        }
    }

    /// Sends a second request for one shard if there is a suitable replica.
    /// Returns false if the budget is used up.
    fn hedge_shard(
        &mut self,
        now: Time,
        query: &mut ActiveQuery,
        route: usize,
        position: usize,
    ) -> bool {
        let found =
            self.choose_other_replica(now, query, position, Purpose::Hedge);
        let Some(request) = found else { return true };
        if !self.table.routes[route].extra_budget.take_for_hedge() {
            return false;
        }
        let Some(plan) = &mut query.plan else { return false };
        plan.shards[position].hedged = true;
        let (id, shard) = (query.id, plan.shards[position].shard);
        let target = self.table.targets[request.2 as usize].id;
        self.log(&events::SHARD_HEDGED, || {
            format!("query={id} shard={shard} target={target}")
        });
        self.table.acquire(request.2);
        self.send(now, query, vec![request], TryKind::Hedge);
        true
    }

    /// Cancels every open request of the present plan.
    pub(super) fn cancel_open(&mut self, now: Time, query: &mut ActiveQuery) {
        let elapsed_us = query.elapsed_us(now);
        let Some(plan) = &mut query.plan else { return };
        for t in &mut plan.tries {
            if t.state == TryState::Open {
                t.state = TryState::Cancelled;
                t.ended_us = elapsed_us;
                self.table.release(t.slot);
            }
        }
        for (attempt, d) in query.dispatches.iter_mut().enumerate() {
            if d.open_requests > 0 {
                d.open_requests = 0;
                let message = Message::Cancel {
                    query: query.id,
                    attempts: vec![attempt as u32],
                };
                self.out.push(QueryEffect::Send(d.home, message));
            }
        }
    }
}

/// Returns the try that a reply ends. It must be open and the reply must come
/// from the instance that was asked; an answer must be from the snapshot and
/// shard that were asked for.
fn find_open_try(
    query: &ActiveQuery,
    from: InstanceId,
    reply: &ShardReply,
) -> Option<usize> {
    let plan = query.plan.as_ref()?;
    let d = query.dispatches.get(reply.attempt as usize)?;
    if d.home != from {
        return None;
    }
    if let JobOutcome::Answered { holding, .. } = &reply.outcome {
        let matches = holding.snapshot == plan.snapshot
            && holding.shard == reply.shard
            && holding.shard_count == plan.shard_count;
        if !matches {
            return None;
        }
    }
    let position = plan.position(reply.shard)?;
    plan.tries_of(position).find(|&i| {
        let t = &plan.tries[i];
        t.attempt == reply.attempt
            && t.target == reply.target
            && t.state == TryState::Open
    })
}
