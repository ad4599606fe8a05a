//! Admission, and sending requests to targets.

use std::time::Duration;

use rand::RngExt;

use super::{
    ForwardEffect, Forwarder, Reason, Submission, TargetRequest,
    attempts::Attempt,
    delegate::Assignment,
    request::{Origin, Progress, Request, Shard},
    table::{CompiledRoute, Destination},
    targets::{TargetTable, Unavailable},
};
use crate::{
    event::forward as kinds,
    id::{ServiceId, TargetId, Token},
    time::Time,
    verdict::Verdict,
};

/// Shortest and longest time after which callers are asked to come back.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(2));

/// Time after which a caller may come back to an instance that cannot serve:
/// the balancer has moved on by then.
const NOT_SERVING_RETRY: Duration = Duration::from_millis(100);

impl Forwarder {
    pub(super) fn submit(
        &mut self,
        now: Time,
        token: Token,
        submission: Submission,
    ) {
        let Submission { request_id, route, remaining } = submission;
        if let Err(reason) = self.admits() {
            let retry = Some(NOT_SERVING_RETRY);
            self.refuse(token, &request_id, &route, reason, retry);
            return;
        }
        let services = self.services(&route);
        if let Err(until) = self.enough_targets(now, &route, &services) {
            let (min, max) = RETRY_AFTER;
            let retry = until.since(now).clamp(min, max);
            let reason = Reason::NoTarget;
            self.refuse(token, &request_id, &route, reason, Some(retry));
            return;
        }
        let timeout = Duration::from_millis(route.route.timeout_ms.into());
        let limit = remaining.min(timeout);
        let hard_at = now + limit.saturating_sub(self.options.deadline_margin);
        let objective = Duration::from_millis(route.route.objective_ms.into());
        let shards = services.len() as u32;
        let delivery =
            self.options.delivery + self.options.delivery_by_shard * shards;
        let soft_at = now + objective.saturating_sub(delivery);
        let assignments = self.assign(now, &route);
        self.start(
            now,
            Request {
                token,
                id: request_id,
                origin: Origin::Caller,
                route,
                started: now,
                soft_at: soft_at.min(hard_at),
                hard_at,
                places: (0..services.len() as u16).collect(),
                shards: services.into_iter().map(Shard::new).collect(),
                delegations: Vec::new(),
                confirmed: true,
                check_at: now,
            },
            Some(assignments),
        );
    }

    /// Sends a request's shards to targets or, if others handle some of
    /// them, to these.
    pub(super) fn start(
        &mut self,
        now: Time,
        request: Request,
        assignments: Option<Vec<Assignment>>,
    ) {
        let token = request.token;
        let count = request.shards.len();
        // Tokens are taken before requests are queued, so two may arrive in
        // the other order.
        let at = self.requests.partition_point(|r| r.token < token);
        self.requests.insert(at, request);
        let assignments = assignments.unwrap_or_else(|| {
            let shards = (0..count).collect();
            vec![Assignment { to: None, shards }]
        });
        // Delegates work while this instance sends its own part.
        for assignment in &assignments {
            if let Some(to) = assignment.to {
                self.delegate(now, token, to, &assignment.shards);
            }
        }
        for assignment in assignments.iter().filter(|a| a.to.is_none()) {
            for &shard in &assignment.shards {
                self.count_request(now, token, shard);
                self.ask(now, token, shard, false);
            }
        }
        self.plan_check(now, token);
        self.settle(now, token);
    }

    /// Counts a request in the budget of a shard's service.
    fn count_request(&mut self, now: Time, token: Token, shard: usize) {
        let options = self.options.budget;
        let Some(request) = self.request(token) else { return };
        let service = request.shards[shard].service;
        self.budget(service).request(&options, now);
    }

    fn refuse(
        &mut self,
        token: Token,
        request_id: &str,
        route: &CompiledRoute,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let detail = format!(
            "request={request_id} route={} reason={} retry_after_ms={}",
            route.route.name,
            reason.as_str(),
            retry_after.unwrap_or_default().as_millis()
        );
        self.log(&kinds::REQUEST_REFUSED, detail);
        self.reject(token, reason, Verdict::NotRun, retry_after);
    }

    /// The services that a request of the route asks.
    fn services(&mut self, route: &CompiledRoute) -> Vec<ServiceId> {
        match &route.route.destination {
            Destination::Service(_) | Destination::Shards { .. } => {
                route.services.clone()
            }
            Destination::Split(parts) => {
                let weights: Vec<f64> =
                    parts.iter().map(|p| p.weight).collect();
                vec![route.services[self.turn(route, &weights)]]
            }
        }
    }

    /// Smooth weighted round robin, so that each part has its share over any
    /// stretch of requests.
    fn turn(&mut self, route: &CompiledRoute, weights: &[f64]) -> usize {
        let sum: f64 = weights.iter().sum();
        let found = self.turns.binary_search_by_key(&route.id, |t| t.0);
        let at = found.unwrap_or_else(|i| {
            self.turns.insert(i, (route.id, Vec::new()));
            i
        });
        let credits = &mut self.turns[at].1;
        if credits.len() != weights.len() {
            // Instances start at different places of the turn.
            *credits =
                weights.iter().map(|w| w * self.rng.random::<f64>()).collect();
        }
        let mut best = 0;
        for (i, weight) in weights.iter().enumerate() {
            credits[i] += weight;
            let first = weights[best] <= 0.0;
            if *weight > 0.0 && (first || credits[i] > credits[best]) {
                best = i;
            }
        }
        credits[best] -= sum;
        best
    }

    /// Whether enough services have a target for a response; if not, when
    /// they may have.
    fn enough_targets(
        &mut self,
        now: Time,
        route: &CompiledRoute,
        services: &[ServiceId],
    ) -> Result<(), Time> {
        let typical = self.typical(route.id);
        let mut usable = 0;
        let mut times = Vec::new();
        for &service in services {
            let connections = self.connections(service);
            let chosen = self.targets.choose(
                now,
                service,
                connections,
                typical,
                &[],
                0.0,
            );
            match chosen {
                Ok(_) | Err(Unavailable::Busy) => usable += 1,
                Err(Unavailable::Until(at)) => times.push(at),
            }
        }
        let needed = route.needed();
        if usable >= needed {
            return Ok(());
        }
        // The response becomes possible once this many more are usable.
        times.sort_unstable();
        Err(times[(needed - usable - 1).min(times.len() - 1)])
    }

    fn connections(&self, service: ServiceId) -> u32 {
        let services = &self.table.services;
        services
            .binary_search_by_key(&service, |s| s.0)
            .map_or(1, |i| services[i].1.connections)
    }

    /// Sends a shard of a request to a target, if one can take it now. An
    /// extra attempt needs budget.
    pub(super) fn ask(
        &mut self,
        now: Time,
        token: Token,
        shard: usize,
        extra: bool,
    ) -> bool {
        let Some(at) = self.position(token) else { return false };
        let request = &self.requests[at];
        let part = &request.shards[shard];
        let (service, route) = (part.service, request.route.id);
        let tried = part.tried.clone();
        let typical = self.typical(route);
        let random = self.rng.random::<f64>();
        let connections = self.connections(service);
        let choose = |targets: &TargetTable| {
            targets.choose(now, service, connections, typical, &tried, random)
        };
        let mut choice = choose(&self.targets);
        if choice == Err(Unavailable::Busy)
            && self.free_connection(now, service)
        {
            choice = choose(&self.targets);
        }
        let Ok(target) = choice else { return false };
        if extra {
            let options = self.options.budget;
            let instances = self.targets.instances();
            if !self.budget(service).take(&options, now, instances) {
                return false;
            }
        }
        let Some((name, address)) =
            self.targets.get(target).map(|t| (t.name.clone(), t.address))
        else {
            return false;
        };
        let attempt = self.attempts.next_id();
        let request = &mut self.requests[at];
        let part = &mut request.shards[shard];
        part.progress = Progress::Asked;
        part.open += 1;
        part.sent += 1;
        part.sent_at = now;
        part.tried.push(target);
        let budget = request.hard_at.since(now);
        let repeatable = request.route.route.repeatable;
        self.attempts.add(Attempt {
            id: attempt,
            token,
            route,
            shard,
            target,
            sent_at: now,
            extra,
            cancel_at: None,
        });
        self.targets.sent(now, target, attempt);
        if self.options.log_debug {
            self.log_sent(now, token, shard, target, extra);
        }
        self.out.push(ForwardEffect::Send(TargetRequest {
            attempt,
            token,
            target,
            name,
            address,
            budget,
            repeatable,
            extra,
        }));
        true
    }

    fn log_sent(
        &mut self,
        now: Time,
        token: Token,
        shard: usize,
        target: TargetId,
        extra: bool,
    ) {
        let Some(request) = self.request(token) else { return };
        let Some(target) = self.targets.get(target) else { return };
        let detail = format!(
            "request={} shard={} target={} own_zone={} extra={extra} \
             after_ms={}",
            request.id,
            request.places[shard],
            target.name,
            target.zone == self.zone,
            now.since(request.started).as_millis()
        );
        self.log(&kinds::ATTEMPT_SENT, detail);
    }

    /// Cancels an attempt at a target of the service that nobody waits for.
    fn free_connection(&mut self, now: Time, service: ServiceId) -> bool {
        let unneeded = self
            .targets
            .of_service(service)
            .find_map(|t| self.attempts.unneeded_at(t.id));
        let Some(id) = unneeded else { return false };
        self.cancel(now, id);
        true
    }

    /// Tries a shard again whose attempt has ended without an answer.
    pub(super) fn retry(&mut self, now: Time, token: Token, shard: usize) {
        let Some(at) = self.position(token) else { return };
        let max_refusals = self.options.max_refusals;
        let request = &mut self.requests[at];
        let repeatable = request.route.route.repeatable;
        let max_attempts = request.route.route.max_attempts.max(1);
        let allowed_now = request.max_attempts();
        let part = &mut request.shards[shard];
        if part.open > 0 {
            return;
        }
        let ran = part.may_run();
        let allowed = (repeatable || !part.may_have_run)
            && ran < max_attempts
            && part.refused <= max_refusals;
        if !allowed {
            part.progress = Progress::Failed;
            return;
        }
        if ran < allowed_now && self.ask(now, token, shard, true) {
            return;
        }
        let request = &mut self.requests[at];
        let part = &mut request.shards[shard];
        // Every target was tried; the next attempt may go to any of them.
        part.tried.clear();
        part.progress = Progress::Waiting;
        request.check_at =
            request.check_at.min(now + self.options.retry_pause);
    }

    /// Looks at a request whose time has come: the deadline, stragglers and
    /// shards without an attempt.
    pub(super) fn check(&mut self, now: Time, token: Token) {
        let Some(at) = self.position(token) else { return };
        if now >= self.requests[at].hard_at {
            self.expire(now, token);
            return;
        }
        self.check_delegates(now, token);
        let Some(at) = self.position(token) else { return };
        let delay = self.hedge_delay(at);
        for shard in 0..self.requests[at].shards.len() {
            let request = &self.requests[at];
            let part = &request.shards[shard];
            match part.progress {
                Progress::Waiting => {
                    let extra = part.sent > 0 || part.sent_elsewhere;
                    if part.may_run() < request.max_attempts() {
                        self.ask(now, token, shard, extra);
                    }
                }
                Progress::Asked
                    if request.route.route.repeatable
                        && now.since(part.sent_at) >= delay
                        && part.may_run() < request.max_attempts() =>
                {
                    self.ask(now, token, shard, true);
                }
                _ => {}
            }
        }
        self.plan_check(now, token);
        self.settle(now, token);
    }

    /// Time after which a second target is asked.
    fn hedge_delay(&self, at: usize) -> Duration {
        let route = &self.requests[at].route;
        let objective = Duration::from_millis(route.route.objective_ms.into());
        let latest = objective.mul_f64(self.options.hedge_latest);
        let known = self.known_latency(route.id);
        let Some((median, straggler)) = known else { return latest };
        // Where the usual work takes a large part of the objective, half as
        // much again is not a straggler yet.
        let latest = latest.max(median.mul_f64(1.6));
        straggler
            .mul_f64(self.options.hedge_factor)
            .max(median.mul_f64(1.5))
            .min(latest)
    }

    /// Sets when the request is looked at next.
    pub(super) fn plan_check(&mut self, now: Time, token: Token) {
        let Some(at) = self.position(token) else { return };
        let delay = self.hedge_delay(at);
        let pause = self.options.retry_pause;
        let request = &mut self.requests[at];
        let max_attempts = request.max_attempts();
        let mut next = request.hard_at;
        if request.soft_at > now {
            next = next.min(request.soft_at);
        }
        for delegation in &request.delegations {
            if let Some(at) = delegation.acknowledge_by {
                next = next.min(at);
            }
        }
        for part in &request.shards {
            match part.progress {
                Progress::Waiting => next = next.min(now + pause),
                Progress::Asked
                    if request.route.route.repeatable
                        && part.may_run() < max_attempts =>
                {
                    // A hedge that found no budget or target is tried again.
                    let due = part.sent_at + delay;
                    next = next.min(if due > now { due } else { now + pause });
                }
                _ => {}
            }
        }
        request.check_at = next;
    }
}
