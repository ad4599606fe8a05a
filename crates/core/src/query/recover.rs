/*!
Replies, retries, hedges, and planning a second time.

Extra requests are bounded in three ways. Hedges and retries take a token of
the route. One request for each shard may do without a token: either a retry
of a request that was refused as not run, which puts no work on a target, or
a request to the standby of a home that has not answered. And a query is
planned at most `MAX_PLANS` times, with such an allowance only in the first
plan, and returns to a snapshot only with a token for each request. So a route
sends at most `first * (100 + extra_load_percent) / 100 + burst` requests
plus one allowance for each shard of a first plan.
*/

use std::time::Duration;

use crate::{
    event::query as events,
    id::InstanceId,
    query::{
        active::{Active, MAX_TRIES, NEVER, Phase, TryKind, TryState},
        api::{Message, QueryEffect, ShardReply, ShardResult},
        choose::Purpose,
        explain::kind_name,
        root::Queries,
    },
    target::JobOutcome,
    time::Time,
    verdict::Verdict,
};

/// Looks for stragglers within what remains of a deadline, after the first.
/// A replica without room often has room one service time later, so the looks
/// are not far apart.
const HEDGE_LOOKS: u32 = 32;

/// Plans of a query. What is known of a target that gets no requests is as
/// old as its last health report, so the second snapshot may be gone too.
/// The refusals bring fresh holdings, which the third plan then uses.
const MAX_PLANS: usize = 3;

impl Queries {
    /// Takes a reply, if it belongs to an outstanding request.
    pub(super) fn reply(
        &mut self,
        now: Time,
        from: InstanceId,
        reply: ShardReply,
    ) {
        let Some(mut query) = self.take(reply.query) else {
            return self.drop_reply(&reply, "no such query");
        };
        let Some(i) = outstanding(&query, from, &reply) else {
            self.drop_reply(&reply, "no such request");
            return self.put_back(query);
        };
        let offset = query.offset(now);
        let Some(plan) = &mut query.plan else {
            return self.put_back(query);
        };
        let t = &mut plan.tries[i];
        let (position, sent) = (t.shard as usize, t.sent);
        t.ended = offset;
        t.state = match reply.outcome {
            JobOutcome::Answered { .. } => TryState::Answered,
            JobOutcome::NotHeld => TryState::NotHeld,
            JobOutcome::Shed => TryState::Shed,
            JobOutcome::Expired => TryState::Expired,
            JobOutcome::Failed { verdict } => TryState::Failed(verdict),
        };
        let d = &mut query.dispatches[t.attempt as usize];
        d.acked = true;
        d.open -= 1;
        let slot = t.slot;
        if let JobOutcome::Answered { body, .. } = reply.outcome {
            plan.shards[position].answered = true;
            plan.answered += 1;
            let shard = plan.shards[position].shard;
            query.results.push(ShardResult { shard, body });
            if let Some(r) = self.table.route_position(query.route) {
                let latency = Duration::from_micros((offset - sent).into());
                self.table.routes[r].latencies.record(latency);
            }
            self.table.release(slot);
            self.cancel_losers(now, &mut query, position);
        } else {
            self.table.release(slot);
        }
        if let Some(report) = reply.report {
            self.table.report(now, from, report);
        }
        let plan = query.plan.as_ref();
        if plan.is_some_and(|p| !p.shards[position].answered) {
            self.shard_failed(now, &mut query, position);
        }
        self.put_back_or_finish(now, query);
    }

    fn drop_reply(&mut self, reply: &ShardReply, why: &str) {
        self.log(&events::REPLY_DROPPED, || {
            format!(
                "query={} attempt={} shard={} target={} why={why:?}",
                reply.query, reply.attempt, reply.shard, reply.target
            )
        });
    }

    pub(super) fn put_back_or_finish(
        &mut self,
        now: Time,
        query: Box<Active>,
    ) {
        if query.is_enough(now) {
            self.finish(now, query);
        } else {
            self.put_back(query);
        }
    }

    /// Stops the other requests for a shard that has its answer.
    fn cancel_losers(
        &mut self,
        now: Time,
        query: &mut Active,
        position: usize,
    ) {
        let offset = query.offset(now);
        let Some(plan) = &mut query.plan else { return };
        let losers: Vec<usize> = plan
            .tries_of(position)
            .filter(|&i| plan.tries[i].state == TryState::Open)
            .collect();
        for i in losers {
            let t = &mut plan.tries[i];
            t.state = TryState::Cancelled;
            t.ended = offset;
            let d = &mut query.dispatches[t.attempt as usize];
            d.open -= 1;
            self.table.release(t.slot);
            let shard = plan.shards[position].shard;
            let message = Message::CancelShards {
                query: query.id,
                shards: vec![(t.attempt, shard)],
            };
            self.out.push(QueryEffect::Send(d.home, message));
        }
    }

    /// Retries a shard whose newest request has failed, or gives it up.
    pub(super) fn shard_failed(
        &mut self,
        now: Time,
        query: &mut Active,
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
        shard.closed = true;
        plan.closed += 1;
        let last = plan.tries.get(shard.last as usize).map(|t| t.state);
        if query.repeatable && last == Some(TryState::NotHeld) {
            self.replan(now, query);
        }
    }

    fn retry(
        &mut self,
        now: Time,
        query: &mut Active,
        position: usize,
    ) -> bool {
        if now >= query.deadline {
            return false;
        }
        let Some(plan) = &query.plan else { return false };
        let shard = plan.shards[position];
        let Some(last) = plan.tries.get(shard.last as usize).copied() else {
            return false;
        };
        if last.state == TryState::Expired
            || plan.tries_of(position).count() >= MAX_TRIES
        {
            return false;
        }
        let not_run = last.state.verdict() == Verdict::NotRun;
        let found = self.choose_again(now, query, position, Purpose::Serve);
        let Some(order) = found else { return false };
        if !self.take_extra(query, position, not_run) {
            return false;
        }
        let id = query.id;
        self.log(&events::SHARD_RETRIED, || {
            format!(
                "query={id} shard={} after={} state={:?}",
                shard.shard,
                kind_name(last.kind),
                last.state
            )
        });
        self.table.acquire(order.2);
        self.send(now, query, vec![order], TryKind::Retry);
        true
    }

    /// Uses the shard's allowance for an extra request, or takes a token.
    /// The allowance comes first, as tokens also serve other requests.
    pub(super) fn take_extra(
        &mut self,
        query: &mut Active,
        position: usize,
        allowance: bool,
    ) -> bool {
        let Some(r) = self.table.route_position(query.route) else {
            return false;
        };
        let is_first_plan = query.dropped.is_empty();
        let Some(plan) = &mut query.plan else { return false };
        let shard = &mut plan.shards[position];
        let granted = allowance && is_first_plan && !shard.allowance_used;
        shard.allowance_used |= granted;
        granted || self.table.routes[r].extra.take()
    }

    /// Plans again at another snapshot, if that covers more than what
    /// the present one can still give, and drops the answers so far.
    fn replan(&mut self, now: Time, query: &mut Active) {
        if query.dropped.len() + 1 >= MAX_PLANS || now >= query.deadline {
            return;
        }
        let Some(route) = self.table.route_position(query.route) else {
            return;
        };
        let Some(plan) = &query.plan else { return };
        let not = Some((plan.snapshot, plan.shard_count));
        let Some((i, (total, usable))) = self.best_snapshot(query, route, not)
        else {
            return;
        };
        let asked = plan.shards.len() as u64;
        let reachable = asked - u64::from(plan.closed);
        if u64::from(usable) * asked <= reachable * u64::from(total) {
            return;
        }
        let old = plan.snapshot;
        let new = self.table.routes[route].index.snapshots[i].snapshot;
        let again = query.dropped.iter().any(|p| p.snapshot == new);
        if again && !self.table.routes[route].extra.take_many(usable) {
            return;
        }
        self.cancel_open(now, query);
        query.results.clear();
        query.dropped.extend(query.plan.take());
        query.hedge_at = NEVER;
        query.ack_at = NEVER;
        if !self.plan(now, query, not) {
            query.plan = query.dropped.pop();
            self.close_all(query);
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

    /// Ends a plan whose answers are gone and that has no successor.
    fn close_all(&mut self, query: &mut Active) {
        let Some(plan) = &mut query.plan else { return };
        for shard in &mut plan.shards {
            shard.answered = false;
            shard.closed = true;
        }
        plan.answered = 0;
        plan.closed = plan.shards.len() as u32;
    }

    /// Handles the timer of a query.
    pub(super) fn wake(&mut self, now: Time, mut query: Box<Active>) {
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
            if query.is_enough(now) {
                return self.finish(now, query);
            }
            query.enough_seen |= now >= query.enough_at;
        }
        self.put_back(query);
    }

    /// Sends a second request for stragglers.
    fn hedge(&mut self, now: Time, query: &mut Active) {
        query.hedge_at = NEVER;
        let Some(route) = self.table.route_position(query.route) else {
            return;
        };
        let delay = self.hedge_delay(route);
        let limit = query.offset(now).saturating_sub(
            u32::try_from(delay.as_micros()).unwrap_or(u32::MAX),
        );
        let Some(plan) = &query.plan else { return };
        let mut waiting = false;
        let mut late: Vec<usize> = Vec::new();
        for (i, shard) in plan.shards.iter().enumerate() {
            if shard.answered || shard.closed || shard.hedged {
                continue;
            }
            waiting = true;
            let newest = plan.tries.get(shard.last as usize);
            if newest.is_some_and(|t| t.sent <= limit)
                && plan.tries_of(i).count() < MAX_TRIES
            {
                late.push(i);
            }
        }
        for position in late {
            if !self.hedge_shard(now, query, route, position) {
                break;
            }
        }
        if waiting {
            let again = query.remaining(now) / HEDGE_LOOKS;
            query.hedge_at = now + delay.max(again);
        }
    }

    /// Returns false if the budget is used up.
    fn hedge_shard(
        &mut self,
        now: Time,
        query: &mut Active,
        route: usize,
        position: usize,
    ) -> bool {
        let found = self.choose_again(now, query, position, Purpose::Hedge);
        let Some(order) = found else { return true };
        if !self.table.routes[route].extra.take_for_hedge() {
            return false;
        }
        let Some(plan) = &mut query.plan else { return false };
        plan.shards[position].hedged = true;
        let (id, shard) = (query.id, plan.shards[position].shard);
        let target = self.table.targets[order.2 as usize].id;
        self.log(&events::SHARD_HEDGED, || {
            format!("query={id} shard={shard} target={target}")
        });
        self.table.acquire(order.2);
        self.send(now, query, vec![order], TryKind::Hedge);
        true
    }

    /// Cancels every open request of the present plan.
    pub(super) fn cancel_open(&mut self, now: Time, query: &mut Active) {
        let offset = query.offset(now);
        let Some(plan) = &mut query.plan else { return };
        for t in &mut plan.tries {
            if t.state == TryState::Open {
                t.state = TryState::Cancelled;
                t.ended = offset;
                self.table.release(t.slot);
            }
        }
        for (attempt, d) in query.dispatches.iter_mut().enumerate() {
            if d.open > 0 {
                d.open = 0;
                let message = Message::Cancel {
                    query: query.id,
                    attempts: vec![attempt as u32],
                };
                self.out.push(QueryEffect::Send(d.home, message));
            }
        }
    }
}

/// The try that a reply ends: of the instance that was asked, still open,
/// and an answer only from the snapshot that was asked for.
fn outstanding(
    query: &Active,
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
