//! Admission of requests, and attempts at targets: the first ones, retries and
//! hedges.

use std::time::Duration;

use rand::RngExt;

use super::{
    ForwardEffect, Forwarder, Reason, Submission, TargetRequest,
    attempts::Attempt,
    delegate::Assignment,
    request::{Origin, Progress, Request, Shard, Unadmitted},
    table::{CompiledRoute, Destination},
    targets::{TargetTable, Unavailable},
};
use crate::{
    event::forward as kinds,
    id::{LimitId, ServiceId, TargetId, Token},
    time::Time,
    verdict::Verdict,
};

/// Shortest and longest retry delay in rejections for lack of a target.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(2));

/// Retry delay in rejections by an instance that cannot serve or has too many
/// requests in flight. By then the load balancer sends the requests of an
/// instance that cannot serve to other instances.
const NOT_SERVING_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Forwarder {
    /// Starts a caller's request, or rejects it if it cannot be served.
    pub(super) fn submit(
        &mut self,
        now: Time,
        token: Token,
        submission: Submission,
    ) {
        let admissible = self
            .check_admission()
            .and(self.check_key(now, submission.caller()).map(|_| ()));
        if let Err(reason) = admissible {
            self.refuse_inadmissible(now, token, &submission, reason);
            return;
        }
        let Submission { request_id, route, .. } = &submission;
        let services = self.services(route);
        if let Err(until) = self.enough_targets(now, route, &services) {
            let (min, max) = RETRY_AFTER_RANGE;
            let retry_after = until.since(now).clamp(min, max);
            let reason = Reason::NoTarget;
            self.refuse(token, request_id, route, reason, Some(retry_after));
            return;
        }
        let limited = submission
            .team
            .and_then(|id| self.table.team(id))
            .filter(|t| t.team.limit.is_some());
        let limit = limited.map(|t| LimitId::from(t.id));
        let until = now + submission.time_limit();
        let request = Unadmitted { token, submission, services, started: now };
        let Some(limit) = limit else {
            self.admit(now, request, false);
            return;
        };
        // Tokens are allocated before requests are queued, so they may arrive
        // out of order.
        let at = self.unadmitted.partition_point(|u| u.token < token);
        self.unadmitted.insert(at, request);
        self.out.push(ForwardEffect::TakeShare { token, limit, until });
    }

    /// Refuses a request because of this instance or of its key.
    fn refuse_inadmissible(
        &mut self,
        now: Time,
        token: Token,
        submission: &Submission,
        reason: Reason,
    ) {
        if reason == Reason::KeyNotConfirmed {
            self.record_unconfirmed(now);
        }
        let retry_after =
            (reason != Reason::UnknownKey).then_some(NOT_SERVING_RETRY_AFTER);
        let Submission { request_id, route, .. } = submission;
        self.refuse(token, request_id, route, reason, retry_after);
    }

    /// Starts a request that has got a token of the limit of its team.
    pub(super) fn share_taken(&mut self, now: Time, token: Token) {
        let Some(request) = self.remove_unadmitted(token) else { return };
        // The lease may have ended, or the key have been withdrawn, while the
        // request waited.
        let submission = &request.submission;
        let admissible = match self.leased {
            true => self.check_key(now, submission.caller()).map(|_| ()),
            false => Err(Reason::NotServing),
        };
        match admissible {
            Ok(()) => self.admit(now, request, true),
            Err(reason) => {
                self.out.push(ForwardEffect::DropShare(token));
                self.refuse_inadmissible(now, token, submission, reason);
            }
        }
    }

    /// Rejects a request whose team has used up its limit.
    pub(super) fn share_refused(
        &mut self,
        token: Token,
        retry_after: Duration,
    ) {
        let Some(unadmitted) = self.remove_unadmitted(token) else { return };
        let Submission { request_id, route, .. } = &unadmitted.submission;
        let reason = Reason::OverLimit;
        self.refuse(token, request_id, route, reason, Some(retry_after));
    }

    pub(super) fn remove_unadmitted(
        &mut self,
        token: Token,
    ) -> Option<Unadmitted> {
        let found = self.unadmitted.binary_search_by_key(&token, |u| u.token);
        Some(self.unadmitted.remove(found.ok()?))
    }

    /// Starts a request that may be sent.
    fn admit(&mut self, now: Time, request: Unadmitted, has_share: bool) {
        let Unadmitted { token, submission, services, started } = request;
        let (limit, caller) = (submission.time_limit(), submission.caller());
        let Submission { request_id, route, team, .. } = submission;
        let hard_deadline =
            started + limit.saturating_sub(self.options.deadline_margin);
        let objective = Duration::from_millis(route.route.objective_ms.into());
        let shards = services.len() as u32;
        let delivery = self.options.delivery_time
            + self.options.delivery_time_per_shard * shards;
        let soft_deadline = started + objective.saturating_sub(delivery);
        let assignments = self.assign(now, &route);
        self.start(
            now,
            Request {
                token,
                id: request_id,
                origin: Origin::Caller,
                has_share,
                priority: self.table.priority(&route, team),
                caller,
                route,
                started,
                soft_deadline: soft_deadline.min(hard_deadline),
                hard_deadline,
                shard_indices: (0..services.len() as u16).collect(),
                shards: services.into_iter().map(Shard::new).collect(),
                delegations: Vec::new(),
                confirmed: true,
                next_check: now,
            },
            Some(assignments),
        );
    }

    /// Inserts a request and sends its shards to targets or delegates. Without
    /// `assignments`, this instance handles every shard.
    pub(super) fn start(
        &mut self,
        now: Time,
        request: Request,
        assignments: Option<Vec<Assignment>>,
    ) {
        let token = request.token;
        let count = request.shards.len();
        // Tokens are allocated before requests are queued, so they may arrive
        // out of order.
        let index = self.requests.partition_point(|r| r.token < token);
        self.requests.insert(index, request);
        let assignments = assignments.unwrap_or_else(|| {
            let shards = (0..count).collect();
            vec![Assignment { to: None, shards }]
        });
        // Delegates come first, so that they work while this instance sends
        // its own shards.
        for assignment in &assignments {
            if let Some(to) = assignment.to {
                self.delegate(now, token, to, &assignment.shards);
            }
        }
        for assignment in assignments.iter().filter(|a| a.to.is_none()) {
            for &shard in &assignment.shards {
                self.count_request(now, token, shard);
                self.send_attempt(now, token, shard, false);
            }
        }
        self.schedule_check(now, token);
        self.try_complete(now, token);
    }

    /// Adds a shard to the requests from which the budget of its service is
    /// computed.
    fn count_request(&mut self, now: Time, token: Token, shard: usize) {
        let options = self.options.budget;
        let Some(request) = self.request(token) else { return };
        let service = request.shards[shard].service;
        self.budget_mut(service).record_request(&options, now);
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
            route.label,
            reason.as_str(),
            retry_after.unwrap_or_default().as_millis()
        );
        self.log(&kinds::REQUEST_REFUSED, detail);
        self.reject(token, reason, Verdict::NotRun, retry_after);
    }

    /// Returns the services to which a request of the route is sent.
    fn services(&mut self, route: &CompiledRoute) -> Vec<ServiceId> {
        match &route.route.destination {
            Destination::Service(_) | Destination::Shards { .. } => {
                route.services.clone()
            }
            Destination::Split(parts) => {
                let weights: Vec<f64> =
                    parts.iter().map(|p| p.weight).collect();
                vec![route.services[self.pick_split(route, &weights)]]
            }
        }
    }

    /// Picks a service of a split route by smooth weighted round robin, which
    /// keeps to the weights over any number of consecutive requests. Returns
    /// its index.
    fn pick_split(&mut self, route: &CompiledRoute, weights: &[f64]) -> usize {
        let sum: f64 = weights.iter().sum();
        let found =
            self.split_credits.binary_search_by_key(&route.id, |t| t.0);
        let index = found.unwrap_or_else(|i| {
            self.split_credits.insert(i, (route.id, Vec::new()));
            i
        });
        let credits = &mut self.split_credits[index].1;
        if credits.len() != weights.len() {
            // Random credits make instances start at different positions.
            *credits =
                weights.iter().map(|w| w * self.rng.random::<f64>()).collect();
        }
        let mut best = 0;
        for (i, weight) in weights.iter().enumerate() {
            credits[i] += weight;
            let none_yet = weights[best] <= 0.0;
            if *weight > 0.0 && (none_yet || credits[i] > credits[best]) {
                best = i;
            }
        }
        credits[best] -= sum;
        best
    }

    /// Checks that enough services have a usable target for a response.
    /// Otherwise returns the time at which enough may have one.
    fn enough_targets(
        &mut self,
        now: Time,
        route: &CompiledRoute,
        services: &[ServiceId],
    ) -> Result<(), Time> {
        let typical = self.typical_latency(route.id);
        let mut usable = 0;
        let mut usable_at = Vec::new();
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
                Err(Unavailable::Until(at)) => usable_at.push(at),
            }
        }
        let required = route.required_shards();
        if usable >= required {
            return Ok(());
        }
        // A response becomes possible once this many more services are usable.
        usable_at.sort_unstable();
        Err(usable_at[(required - usable - 1).min(usable_at.len() - 1)])
    }

    /// Returns the connections that a target of the service accepts from all
    /// instances together.
    pub(super) fn connections(&self, service: ServiceId) -> u32 {
        let services = &self.table.services;
        services
            .binary_search_by_key(&service, |s| s.0)
            .map_or(1, |i| services[i].1.connections)
    }

    /// Sends a shard of a request to a target if one is available now. An
    /// extra attempt is also subject to the budget of the service. Returns
    /// whether an attempt was sent.
    ///
    /// The lease may have ended since the request was admitted. The zones and
    /// the table are then possibly outdated, so nothing is sent until it is
    /// renewed. The same holds for the key of the caller.
    pub(super) fn send_attempt(
        &mut self,
        now: Time,
        token: Token,
        shard: usize,
        extra: bool,
    ) -> bool {
        if !self.leased {
            return false;
        }
        let Some(index) = self.position(token) else { return false };
        let request = &self.requests[index];
        let Ok(permit) = self.check_key(now, request.caller) else {
            return false;
        };
        let state = &request.shards[shard];
        let (service, route) = (state.service, request.route.id);
        let tried = state.tried.clone();
        let typical = self.typical_latency(route);
        let random = self.rng.random::<f64>();
        let connections = self.connections(service);
        let choose = |targets: &TargetTable| {
            targets.choose(now, service, connections, typical, &tried, random)
        };
        let probe = self.choose_probe(now, index, shard, extra);
        let mut choice = match probe {
            Some(target) => Ok(target),
            None => choose(&self.targets),
        };
        if choice == Err(Unavailable::Busy)
            && self.free_connection(now, service)
        {
            choice = choose(&self.targets);
        }
        let Ok(target) = choice else { return false };
        if extra {
            let options = self.options.budget;
            let instances = self.targets.instances();
            if !self.budget_mut(service).try_take(&options, now, instances) {
                return false;
            }
        }
        let Some((name, address)) =
            self.targets.get(target).map(|t| (t.name.clone(), t.address))
        else {
            return false;
        };
        let attempt = self.attempts.next_id();
        let request = &mut self.requests[index];
        let state = &mut request.shards[shard];
        state.progress = Progress::Asked;
        state.open += 1;
        state.sent += 1;
        state.sent_at = now;
        state.tried.push(target);
        let budget = request.hard_deadline.since(now);
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
        self.targets.attempt_sent(now, target, attempt);
        self.record_version_sent(service, target);
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
            write_by: permit.write_by,
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
             after_ms={} version={}",
            request.id,
            request.shard_indices[shard],
            target.name,
            target.zone == self.zone,
            now.since(request.started).as_millis(),
            self.version
        );
        self.log(&kinds::ATTEMPT_SENT, detail);
    }

    /// Cancels a superseded attempt at a target of the service to free its
    /// connection. Returns whether there was one.
    fn free_connection(&mut self, now: Time, service: ServiceId) -> bool {
        let superseded = self
            .targets
            .of_service(service)
            .find_map(|t| self.attempts.oldest_superseded_at(t.id));
        let Some(id) = superseded else { return false };
        self.cancel(now, id);
        true
    }

    /// Sends a shard again after an attempt has ended without an answer, or
    /// marks it as failed if no further attempt is allowed.
    pub(super) fn retry(&mut self, now: Time, token: Token, shard: usize) {
        let Some(index) = self.position(token) else { return };
        let max_refusals = self.options.max_refusals;
        let withdrawn = self.is_withdrawn(self.requests[index].caller);
        let request = &mut self.requests[index];
        let repeatable = request.route.route.repeatable;
        let max_attempts = request.route.route.max_attempts.max(1);
        let max_attempts_now = request.max_attempts();
        let state = &mut request.shards[shard];
        if state.open > 0 {
            return;
        }
        let may_run = state.may_run();
        let allowed = (repeatable || !state.may_have_run)
            && may_run < max_attempts
            && state.refused <= max_refusals
            && !withdrawn;
        if !allowed {
            state.progress = Progress::Failed;
            return;
        }
        if may_run < max_attempts_now
            && self.send_attempt(now, token, shard, true)
        {
            return;
        }
        let request = &mut self.requests[index];
        let state = &mut request.shards[shard];
        // Every target may have been tried, so the next attempt may go to any
        // of them.
        state.tried.clear();
        state.progress = Progress::Waiting;
        request.next_check =
            request.next_check.min(now + self.options.retry_pause);
    }

    /// Handles the deadlines of a request, sends waiting shards and hedges
    /// slow ones.
    pub(super) fn check_request(&mut self, now: Time, token: Token) {
        let Some(index) = self.position(token) else { return };
        if now >= self.requests[index].hard_deadline {
            self.expire(now, token);
            return;
        }
        self.check_delegates(now, token);
        let Some(index) = self.position(token) else { return };
        let delay = self.hedge_delay(index);
        for shard in 0..self.requests[index].shards.len() {
            let request = &self.requests[index];
            let state = &request.shards[shard];
            match state.progress {
                Progress::Waiting => {
                    let extra = state.sent > 0 || state.delegate_may_have_sent;
                    if state.may_run() < request.max_attempts() {
                        self.send_attempt(now, token, shard, extra);
                    }
                }
                Progress::Asked
                    if request.route.route.repeatable
                        && now.since(state.sent_at) >= delay
                        && state.may_run() < request.max_attempts() =>
                {
                    self.send_attempt(now, token, shard, true);
                }
                _ => {}
            }
        }
        self.schedule_check(now, token);
        self.try_complete(now, token);
    }

    /// Returns the age of an attempt at which the shard is hedged.
    fn hedge_delay(&self, index: usize) -> Duration {
        let route = &self.requests[index].route;
        let objective = Duration::from_millis(route.route.objective_ms.into());
        let latest = objective.mul_f64(self.options.hedge_max_fraction);
        let quantiles = self.latency_quantiles(route.id);
        let Some((median, straggler)) = quantiles else { return latest };
        // If the median is a large fraction of the objective, an attempt that
        // takes 1.5 times the median is not a straggler yet.
        let latest = latest.max(median.mul_f64(1.6));
        straggler
            .mul_f64(self.options.hedge_factor)
            .max(median.mul_f64(1.5))
            .min(latest)
    }

    /// Sets the time of the next `check_request`.
    pub(super) fn schedule_check(&mut self, now: Time, token: Token) {
        let Some(index) = self.position(token) else { return };
        let delay = self.hedge_delay(index);
        let pause = self.options.retry_pause;
        let request = &mut self.requests[index];
        let max_attempts = request.max_attempts();
        let mut next = request.hard_deadline;
        if request.soft_deadline > now {
            next = next.min(request.soft_deadline);
        }
        for delegation in &request.delegations {
            if let Some(at) = delegation.ack_deadline {
                next = next.min(at);
            }
        }
        for state in &request.shards {
            match state.progress {
                Progress::Waiting => next = next.min(now + pause),
                Progress::Asked
                    if request.route.route.repeatable
                        && state.may_run() < max_attempts =>
                {
                    // A hedge that found no budget or target is retried after
                    // a pause.
                    let due = state.sent_at + delay;
                    next = next.min(if due > now { due } else { now + pause });
                }
                _ => {}
            }
        }
        request.next_check = next;
    }
}
