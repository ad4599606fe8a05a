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
            Active, Dispatch, NEVER, NONE, Plan, Shard, Try, TryKind, TryState,
        },
        api::{FailureReason, Message, QueryEffect, ShardRequest},
        choose::{Choice, Chooser, Purpose},
        index::{Asked, NOBODY, one_shard},
        options::DispatchMode,
        root::{Queries, micros},
    },
    snapshot::Snapshot,
    time::Time,
    verdict::Verdict,
};

/// Time between two log lines about the floor of a route.
const FLOOR_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A request to be sent: instance, shard position and target slot.
pub(super) type Order = (InstanceId, u32, u32);

impl Queries {
    /// Position and coverage of the snapshot to ask.
    pub(super) fn best_snapshot(
        &self,
        query: &Active,
        route: usize,
        not: Option<(Snapshot, u32)>,
    ) -> Option<(usize, (u32, u32))> {
        let index = &self.table.routes[route].index;
        index.best(query.asked(), not)
    }

    /// Shards to ask of a snapshot.
    fn asked_shards(&self, query: &Active, shard_count: u32) -> Vec<Shard> {
        let shard = |shard| Shard {
            shard,
            last: NONE,
            answered: false,
            closed: false,
            hedged: false,
            allowance_used: false,
        };
        match query.asked() {
            Asked::All => (0..shard_count).map(shard).collect(),
            Asked::List(asked) => asked.iter().copied().map(shard).collect(),
            Asked::One(hash) => vec![shard(one_shard(hash, shard_count))],
        }
    }

    /// Whether too few shards would be answered within `budget` even by the
    /// best replica of each.
    pub(super) fn is_hopeless(
        &self,
        query: &Active,
        route: usize,
        index: usize,
        budget: Duration,
    ) -> bool {
        let index = &self.table.routes[route].index.snapshots[index];
        let hopeless = |&shard: &u32| {
            let holders = &index.holders(shard).targets;
            let in_time = |slot: u32| {
                let target = &self.table.targets[slot as usize];
                target.time_to_answer() <= budget
            };
            !holders.is_empty() && !holders.slots().any(in_time)
        };
        let (late, asked) = match query.asked() {
            Asked::All => {
                let all = 0..index.shard_count;
                (all.filter(hopeless).count(), index.shard_count as usize)
            }
            Asked::List(asked) => {
                (asked.iter().copied().filter(hopeless).count(), asked.len())
            }
            Asked::One(hash) => {
                let shard = one_shard(hash, index.shard_count);
                (usize::from(hopeless(&shard)), 1)
            }
        };
        match query.policy {
            AnswerPolicy::Coverage => late > 0,
            AnswerPolicy::Latency { enough_percent } => {
                (asked - late) * 100 < asked * enough_percent as usize
            }
        }
    }

    /// Plans a query that may be sent and sends its first requests.
    pub(super) fn start(&mut self, now: Time, mut query: Box<Active>) {
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

    /// Chooses a snapshot and a replica for each shard, and sends. Returns
    /// false, with nothing sent, if no shard has a replica.
    pub(super) fn plan(
        &mut self,
        now: Time,
        query: &mut Active,
        not: Option<(Snapshot, u32)>,
    ) -> bool {
        let Some(route) = self.table.route_position(query.route) else {
            return false;
        };
        let Some((index, _)) = self.best_snapshot(query, route, not) else {
            return false;
        };
        let index = &self.table.routes[route].index.snapshots[index];
        let (snapshot, shard_count) = (index.snapshot, index.shard_count);
        let mut shards = self.asked_shards(query, shard_count);
        let mut orders: Vec<Order> = Vec::with_capacity(shards.len());
        let mut floor = None;
        let mut closed = 0;
        for (i, shard) in shards.iter_mut().enumerate() {
            let route = &self.table.routes[route];
            // The index does not change while requests are planned.
            let holders = match route.index.find(snapshot, shard_count) {
                Some(x) => x.holders(shard.shard),
                None => &NOBODY,
            };
            let chooser = Chooser {
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
                shard.closed = true;
                closed += 1;
                continue;
            };
            if choice.floor {
                floor = Some((shard.shard, choice));
            }
            // Counted at once, so that the next shards see the load.
            self.table.acquire(choice.slot);
            orders.push((home, i as u32, choice.slot));
        }
        if orders.is_empty() {
            return false;
        }
        if let Some((shard, choice)) = floor {
            self.log_floor(now, route, shard, choice);
        }
        let count = orders.len();
        query.results.reserve(count);
        query.plan = Some(Plan {
            snapshot,
            shard_count,
            tries: Vec::with_capacity(count + count / 16),
            shards,
            answered: 0,
            closed,
        });
        if self.options.log_debug {
            let to: Vec<String> = orders
                .iter()
                .map(|&(home, shard, slot)| {
                    let target = self.table.targets[slot as usize].id;
                    format!("{shard}:{target}@{home}")
                })
                .collect();
            let to = to.join(",");
            let (version, map) =
                (snapshot.index_version, snapshot.partition_map);
            let id = query.id;
            self.log(&events::QUERY_PLANNED, || {
                format!(
                    "query={id} snapshot={version}/{map} shards={count} \
                     unserved={closed} to={to}"
                )
            });
        }
        self.send(now, query, orders, TryKind::First);
        let entry = &mut self.table.routes[route];
        entry.extra.earn(count);
        let delay = self.hedge_delay(route);
        if self.hedges() && query.repeatable {
            query.hedge_at = now + delay;
        }
        query.enough_seen = false;
        query.enough_at = match query.policy {
            AnswerPolicy::Latency { .. } => now + delay,
            AnswerPolicy::Coverage => NEVER,
        };
        true
    }

    pub(super) fn hedges(&self) -> bool {
        self.options.hedging && self.options.mode == DispatchMode::Home
    }

    /// Time after which a shard is a straggler.
    pub(super) fn hedge_delay(&self, route: usize) -> Duration {
        let delay = self.table.routes[route].latencies.hedge_delay();
        delay
            .unwrap_or(self.options.initial_hedge_delay)
            .max(self.options.min_hedge_delay)
    }

    /// Chooses another replica for a shard of a running query.
    pub(super) fn choose_again(
        &mut self,
        now: Time,
        query: &Active,
        position: usize,
        purpose: Purpose,
    ) -> Option<Order> {
        let route = self.table.route_position(query.route)?;
        let plan = query.plan.as_ref()?;
        let entry = &self.table.routes[route];
        let index = entry.index.find(plan.snapshot, plan.shard_count)?;
        let chooser = Chooser {
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
        let fresh = chooser.choose(&mut self.rng, holders, purpose, tried);
        // When every replica was tried, one that failed or shed gets another
        // attempt: what broke may be the connection, and all replicas can
        // lose theirs at the same moment. A target that shed has a lower
        // limit from then on, so that the attempt waits in its queue.
        let refused = |slot: u32| {
            plan.tries_of(position).any(|i| {
                let t = &plan.tries[i];
                t.slot == slot
                    && !matches!(t.state, TryState::Failed(_) | TryState::Shed)
            })
        };
        let choice = match purpose {
            Purpose::Serve => fresh.or_else(|| {
                chooser.choose(&mut self.rng, holders, purpose, refused)
            }),
            Purpose::Hedge => fresh,
        }?;
        if choice.floor {
            self.log_floor(now, route, shard, choice);
        }
        let home = self.table.homes(choice.slot).0?;
        Some((home, position as u32, choice.slot))
    }

    fn log_floor(
        &mut self,
        now: Time,
        route: usize,
        shard: u32,
        choice: Choice,
    ) {
        let entry = &mut self.table.routes[route];
        let recent = entry
            .floor_logged
            .is_some_and(|t| now.since(t) < FLOOR_LOG_INTERVAL);
        if recent {
            return;
        }
        entry.floor_logged = Some(now);
        let id = entry.id;
        let target = self.table.targets[choice.slot as usize].id;
        self.log(&events::FLOOR_USED, || {
            format!("route={id} shard={shard} target={target}")
        });
    }

    /// Sends orders whose targets were acquired, one message to each home.
    pub(super) fn send(
        &mut self,
        now: Time,
        query: &mut Active,
        mut orders: Vec<Order>,
        kind: TryKind,
    ) {
        orders.sort_unstable();
        let sent = query.offset(now);
        let budget = query.remaining(now);
        let late = self.options.home_timeout.max(self.ack_time.timeout());
        let wait = late.min(budget / 4);
        let mut rest = orders.as_slice();
        while let Some(&(home, ..)) = rest.first() {
            let len = rest.partition_point(|x| x.0 == home);
            let (batch, tail) = rest.split_at(len);
            rest = tail;
            let attempt = query.dispatches.len() as u32;
            query.dispatches.push(Dispatch {
                home,
                sent: now,
                due: now + wait,
                acked: false,
                standby: kind == TryKind::Standby,
                open: batch.len() as u32,
            });
            query.ack_at = query.ack_at.min(now + wait);
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
                let last = plan.tries.len() as u32;
                let prev = mem::replace(&mut shard.last, last);
                shards.push((shard.shard, target));
                plan.tries.push(Try {
                    target,
                    slot,
                    shard: position,
                    attempt,
                    prev,
                    sent,
                    ended: 0,
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
