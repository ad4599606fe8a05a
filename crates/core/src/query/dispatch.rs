/*!
Planning a query and sending its requests.
*/

use std::{mem, time::Duration};

use crate::{
    config::AnswerPolicy,
    event::query as events,
    id::InstanceId,
    query::{
        active::{
            ActiveQuery, Dispatch, NEVER, NO_POSITION, Plan, PlannedShard,
            Try, TryKind, TryState,
        },
        api::{FailureReason, Message, QueryEffect, ShardRequest},
        choose::{Choice, Purpose, ReplicaChooser},
        index::{NO_HOLDERS, ShardSet, shard_of},
        options::DispatchMode,
        root::{Queries, micros},
    },
    snapshot::Snapshot,
    time::Time,
    verdict::Verdict,
};

/// Minimum time between two log lines about last-resort replicas of a route.
const LAST_RESORT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A shard request to be sent: the instance that gets it, the index of the
/// shard in the plan, and the index of the target in the routing table.
pub(super) type PlannedRequest = (InstanceId, u32, u32);

impl Queries {
    /// Returns the position and the coverage of the best snapshot to ask.
    pub(super) fn best_snapshot(
        &self,
        query: &ActiveQuery,
        route: usize,
        exclude: Option<(Snapshot, u32)>,
    ) -> Option<(usize, (u32, u32))> {
        let index = &self.table.routes[route].index;
        index.best(query.shard_set(), exclude)
    }

    /// Returns the shards that a query asks for in a snapshot.
    fn planned_shards(
        &self,
        query: &ActiveQuery,
        shard_count: u32,
    ) -> Vec<PlannedShard> {
        let shard = |shard| PlannedShard {
            shard,
            newest_try: NO_POSITION,
            answered: false,
            abandoned: false,
            hedged: false,
            allowance_used: false,
        };
        match query.shard_set() {
            ShardSet::All => (0..shard_count).map(shard).collect(),
            ShardSet::List(list) => list.iter().copied().map(shard).collect(),
            ShardSet::One(hash) => vec![shard(shard_of(hash, shard_count))],
        }
    }

    /// Returns whether too few shards would be answered within `budget` even
    /// if the fastest replica of each were asked.
    pub(super) fn is_infeasible(
        &self,
        query: &ActiveQuery,
        route: usize,
        index: usize,
        budget: Duration,
    ) -> bool {
        let index = &self.table.routes[route].index.snapshots[index];
        let too_slow = |&shard: &u32| {
            let holders = &index.holders(shard).targets;
            let in_time = |slot: u32| {
                let target = &self.table.targets[slot as usize];
                target.time_to_answer() <= budget
            };
            !holders.is_empty() && !holders.slots().any(in_time)
        };
        let (late, asked) = match query.shard_set() {
            ShardSet::All => {
                let shards = 0..index.shard_count;
                (shards.filter(too_slow).count(), index.shard_count as usize)
            }
            ShardSet::List(list) => {
                (list.iter().copied().filter(too_slow).count(), list.len())
            }
            ShardSet::One(hash) => {
                let shard = shard_of(hash, index.shard_count);
                (usize::from(too_slow(&shard)), 1)
            }
        };
        match query.policy {
            AnswerPolicy::Coverage => late > 0,
            AnswerPolicy::Latency { enough_percent } => {
                (asked - late) * 100 < asked * enough_percent as usize
            }
        }
    }

    /// Plans a query that is admitted and, if necessary, claimed, and sends
    /// its first requests.
    pub(super) fn start(&mut self, now: Time, mut query: Box<ActiveQuery>) {
        if self.plan(now, &mut query, None) {
            self.put_back(query);
            return;
        }
        if query.claim.is_some() {
            self.settle(&query, Verdict::NotRun);
        }
        let reason = FailureReason::NoReplica;
        self.fail(now, query, reason, Verdict::NotRun);
    }

    /// Chooses a snapshot and a replica for each shard, and sends the
    /// requests. Returns false without sending if no shard has a replica.
    pub(super) fn plan(
        &mut self,
        now: Time,
        query: &mut ActiveQuery,
        exclude: Option<(Snapshot, u32)>,
    ) -> bool {
        let Some(route) = self.table.route_position(query.route) else {
            return false;
        };
        let Some((index, _)) = self.best_snapshot(query, route, exclude)
        else {
            return false;
        };
        let index = &self.table.routes[route].index.snapshots[index];
        let (snapshot, shard_count) = (index.snapshot, index.shard_count);
        let mut shards = self.planned_shards(query, shard_count);
        let mut requests: Vec<PlannedRequest> =
            Vec::with_capacity(shards.len());
        let mut last_resort = None;
        let mut abandoned = 0;
        for (i, shard) in shards.iter_mut().enumerate() {
            let route = &self.table.routes[route];
            // Planning does not change the index, so the snapshot is found.
            let holders = match route.index.find(snapshot, shard_count) {
                Some(x) => x.holders(shard.shard),
                None => &NO_HOLDERS,
            };
            let chooser = ReplicaChooser {
                table: &self.table,
                shares: &route.shares,
                options: &self.options,
                now,
            };
            let choice =
                chooser
                    .choose(&mut self.rng, holders, Purpose::Serve, |_| false);
            let home = choice.and_then(|c| self.table.homes(c.slot).0);
            let (Some(choice), Some(home)) = (choice, home) else {
                shard.abandoned = true;
                abandoned += 1;
                continue;
            };
            if choice.is_last_resort {
                last_resort = Some((shard.shard, choice));
            }
            // Counted before the send, so that the choices for the next
            // shards take this request into account.
            self.table.acquire(choice.slot);
            requests.push((home, i as u32, choice.slot));
        }
        if requests.is_empty() {
            return false;
        }
        if let Some((shard, choice)) = last_resort {
            self.log_last_resort(now, route, shard, choice);
        }
        let count = requests.len();
        query.results.reserve(count);
        query.plan = Some(Plan {
            snapshot,
            shard_count,
            tries: Vec::with_capacity(count + count / 16),
            shards,
            answered: 0,
            abandoned,
        });
        if self.options.log_debug {
            let destinations: Vec<String> = requests
                .iter()
                .map(|&(home, shard, slot)| {
                    let target = self.table.targets[slot as usize].id;
                    format!("{shard}:{target}@{home}")
                })
                .collect();
            let destinations = destinations.join(",");
            let (version, map) =
                (snapshot.index_version, snapshot.partition_map);
            let id = query.id;
            self.log(&events::QUERY_PLANNED, || {
                format!(
                    "query={id} snapshot={version}/{map} shards={count} \
                     unserved={abandoned} to={destinations}"
                )
            });
        }
        self.send(now, query, requests, TryKind::First);
        let entry = &mut self.table.routes[route];
        entry.extra_budget.credit(count);
        let delay = self.hedge_delay(route);
        if self.is_hedging_enabled() && query.repeatable {
            query.hedge_at = now + delay;
        }
        query.partial_answer_allowed = false;
        query.partial_answer_at = match query.policy {
            AnswerPolicy::Latency { .. } => now + delay,
            AnswerPolicy::Coverage => NEVER,
        };
        true
    }

    /// Returns whether stragglers are hedged.
    pub(super) fn is_hedging_enabled(&self) -> bool {
        self.options.hedging && self.options.mode == DispatchMode::Home
    }

    /// Returns the time after which a shard counts as a straggler.
    pub(super) fn hedge_delay(&self, route: usize) -> Duration {
        let delay = self.table.routes[route].latencies.hedge_delay();
        delay
            .unwrap_or(self.options.initial_hedge_delay)
            .max(self.options.min_hedge_delay)
    }

    /// Chooses a replica for another request for a shard of a running query.
    pub(super) fn choose_other_replica(
        &mut self,
        now: Time,
        query: &ActiveQuery,
        position: usize,
        purpose: Purpose,
    ) -> Option<PlannedRequest> {
        let route = self.table.route_position(query.route)?;
        let plan = query.plan.as_ref()?;
        let entry = &self.table.routes[route];
        let index = entry.index.find(plan.snapshot, plan.shard_count)?;
        let chooser = ReplicaChooser {
            table: &self.table,
            shares: &entry.shares,
            options: &self.options,
            now,
        };
        let tried = |slot: u32| {
            plan.tries_of(position).any(|i| plan.tries[i].slot == slot)
        };
        let shard = plan.shards[position].shard;
        let holders = index.holders(shard);
        let untried = chooser.choose(&mut self.rng, holders, purpose, tried);
        // When every replica was tried, one that failed or shed is tried
        // again: the failure may be that of its connection, and all replicas
        // can lose their connections at the same moment. A target that shed
        // gets a lower limit, so that the next request waits in its queue.
        // Requests that were cancelled because their home was silent do not
        // count once another instance has asked the same target.
        let not_retryable = |slot: u32| {
            let newest =
                plan.tries_of(position).find(|&i| plan.tries[i].slot == slot);
            newest.is_some_and(|i| {
                !matches!(
                    plan.tries[i].state,
                    TryState::Failed(_) | TryState::Shed
                )
            })
        };
        let choice = match purpose {
            Purpose::Serve => untried.or_else(|| {
                chooser.choose(&mut self.rng, holders, purpose, not_retryable)
            }),
            Purpose::Hedge => untried,
        }?;
        if choice.is_last_resort {
            self.log_last_resort(now, route, shard, choice);
        }
        let home = self.table.homes(choice.slot).0?;
        Some((home, position as u32, choice.slot))
    }

    /// Logs the use of a last-resort replica, at most once per route and
    /// `LAST_RESORT_LOG_INTERVAL`.
    fn log_last_resort(
        &mut self,
        now: Time,
        route: usize,
        shard: u32,
        choice: Choice,
    ) {
        let entry = &mut self.table.routes[route];
        let recent = entry
            .last_resort_logged
            .is_some_and(|t| now.since(t) < LAST_RESORT_LOG_INTERVAL);
        if recent {
            return;
        }
        entry.last_resort_logged = Some(now);
        let id = entry.id;
        let target = self.table.targets[choice.slot as usize].id;
        self.log(&events::FLOOR_USED, || {
            format!("route={id} shard={shard} target={target}")
        });
    }

    /// Sends requests that `acquire` has counted, in one message to each
    /// instance.
    pub(super) fn send(
        &mut self,
        now: Time,
        query: &mut ActiveQuery,
        mut requests: Vec<PlannedRequest>,
        kind: TryKind,
    ) {
        requests.sort_unstable();
        let sent_us = query.elapsed_us(now);
        let budget = query.remaining(now);
        let timeout =
            self.options.min_ack_timeout.max(self.ack_time.timeout());
        let ack_timeout = timeout.min(budget / 4);
        let mut unsent = requests.as_slice();
        while let Some(&(home, ..)) = unsent.first() {
            let len = unsent.partition_point(|x| x.0 == home);
            let (batch, tail) = unsent.split_at(len);
            unsent = tail;
            let attempt = query.dispatches.len() as u32;
            query.dispatches.push(Dispatch {
                home,
                sent: now,
                ack_due: now + ack_timeout,
                acked: false,
                standby: kind == TryKind::Standby,
                open_requests: batch.len() as u32,
            });
            query.ack_at = query.ack_at.min(now + ack_timeout);
            let Some(plan) = &mut query.plan else { return };
            let mut shards = Vec::with_capacity(batch.len());
            let fresh_connection = kind == TryKind::Retry
                && batch.iter().any(|&(_, position, _)| {
                    plan.tries_of(position as usize).any(|i| {
                        matches!(plan.tries[i].state, TryState::Failed(_))
                    })
                });
            for &(_, position, slot) in batch {
                let target = self.table.targets[slot as usize].id;
                let shard = &mut plan.shards[position as usize];
                let newest_try = plan.tries.len() as u32;
                let previous_try =
                    mem::replace(&mut shard.newest_try, newest_try);
                shards.push((shard.shard, target));
                plan.tries.push(Try {
                    target,
                    slot,
                    shard: position,
                    attempt,
                    previous_try,
                    sent_us,
                    ended_us: 0,
                    kind,
                    state: TryState::Open,
                });
            }
            let req = ShardRequest {
                query: query.id,
                attempt,
                shards,
                route: query.route,
                snapshot: plan.snapshot,
                budget_us: micros(budget),
                priority: query.priority,
                repeatable: query.repeatable,
                as_standby: kind == TryKind::Standby,
                body: query.body.clone(),
                fresh_connection,
            };
            let effect = QueryEffect::Send(home, Message::Request(req));
            self.out.push(effect);
        }
    }
}
