/*!
Delegation of a request's shards to instances near their targets.

A root that sends many shards itself spends processor time on each of them, and
causes traffic between zones if the targets are in another zone. Therefore
shards are grouped into bundles, each handled by an instance in the zone of its
targets: the root's own zone if it has usable targets, otherwise as few other
zones as possible. Three instances of a zone handle the same bundle, so that
each of them handles enough requests to estimate the slowness and failure rate
of the targets. A delegate handles its shards like its own requests, including
hedges. It returns the greatest records of the answers so far, with the
signatures of the targets.

A delegate that does not acknowledge a task receives no tasks for a while. The
root reclaims its shards and sends one attempt for each, charged to the budget
for extra requests. Until the root confirms that it will not reclaim the
shards, the delegate sends one attempt for each shard, so that both together
stay within the attempts that the route allows. The shards of a delegate that
fails after its acknowledgement are abandoned.
*/

use std::{sync::Arc, time::Duration};

use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    ForwardEffect, Forwarder,
    request::{Origin, Progress, Request, Shard},
    shared::{IncomingMessage, Message, PartialResult, Task},
    table::CompiledRoute,
};
use crate::{
    event::forward as kinds,
    id::{AttemptId, InstanceId, ServiceId, Token, ZoneId},
    placement::{BundleKey, highest_ranked},
    time::Time,
};

/// Bit that is set in the tokens of tasks, so that they never collide with
/// the tokens of callers' requests.
const TASK_TOKEN_BIT: u64 = 1 << 62;

/// Time for which the zones of a route's shards are cached.
const ZONE_PLAN_TTL: Duration = Duration::from_millis(250);

/// An entry instance that may be a delegate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The instance.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Whether the instance can be reached and is not suspected to have
    /// failed.
    pub reachable: bool,
}

/// Options of delegation.
#[derive(Clone, Debug)]
pub struct DelegateOptions {
    /// Largest number of shards in a bundle. One instance handles all shards
    /// of a bundle.
    pub bundle_shards: usize,
    /// Number of instances of a zone that handle the same bundle.
    pub instances_per_bundle: usize,
    /// Smallest number of shards in another zone that are delegated. The root
    /// sends fewer shards itself.
    pub min_remote_shards: usize,
    /// Fraction of the objective within which a delegate must acknowledge.
    pub ack_timeout_fraction: f64,
    /// Lower bound of the time within which a delegate must acknowledge.
    pub ack_timeout_min: Duration,
    /// Time that a message from a delegate takes to reach the root.
    pub hop_latency: Duration,
    /// Time for which a delegate that did not acknowledge receives no tasks.
    pub avoid_for: Duration,
}

impl Default for DelegateOptions {
    fn default() -> DelegateOptions {
        DelegateOptions {
            // A shard request takes about 80 us of processor time, so this
            // many take 20 ms on an eighth of a core.
            bundle_shards: 32,
            // Two instances may fail at the same time on larger sites.
            instances_per_bundle: 3,
            // A task is about as large as two shard requests.
            min_remote_shards: 3,
            ack_timeout_fraction: 0.45,
            ack_timeout_min: Duration::from_millis(15),
            hop_latency: Duration::from_millis(5),
            avoid_for: Duration::from_secs(1),
        }
    }
}

/// A delegate that handles some shards of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delegation {
    pub(super) to: InstanceId,
    /// Time by which the delegate must acknowledge; `None` once it has.
    pub(super) ack_deadline: Option<Time>,
}

/// Cached assignment of a route's shards to the zones that handle them.
#[derive(Clone, Debug)]
pub(super) struct ZonePlan {
    /// The route whose services the indices in `zones` refer to. Another
    /// table may give the same route other services.
    route: Arc<CompiledRoute>,
    zones: Vec<(ZoneId, Vec<usize>)>,
    expires_at: Time,
}

impl ZonePlan {
    fn is_valid(&self, now: Time, route: &Arc<CompiledRoute>) -> bool {
        now < self.expires_at && Arc::ptr_eq(&self.route, route)
    }
}

/// Shards of a request and the instance that handles them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Assignment {
    /// `None` for this instance.
    pub(super) to: Option<InstanceId>,
    pub(super) shards: Vec<usize>,
}

impl Forwarder {
    /// Assigns the shards of a request to this instance and delegates. A
    /// request to a single service counts as one shard, which this instance
    /// handles.
    pub(super) fn assign(
        &mut self,
        now: Time,
        route: &Arc<CompiledRoute>,
    ) -> Vec<Assignment> {
        if !route.is_sharded() {
            return vec![Assignment { to: None, shards: vec![0] }];
        }
        self.avoided_delegates.retain(|a| a.1 > now);
        let size = self.options.delegate.bundle_shards.max(1);
        let mut local = Vec::new();
        let mut assignments = Vec::new();
        for (zone, shards) in self.zone_plan(now, route) {
            let few = shards.len() < self.options.delegate.min_remote_shards;
            if few && zone != self.zone {
                local.extend(shards);
                continue;
            }
            for chunk in shards.chunk_by(|a, b| a / size == b / size) {
                let bundle = chunk[0] / size;
                let to = self.choose_handler(route, zone, bundle);
                match to.filter(|&to| to != self.own_id) {
                    Some(to) => assign_to(&mut assignments, to, chunk),
                    None => local.extend_from_slice(chunk),
                }
            }
        }
        if !local.is_empty() {
            assignments.push(Assignment { to: None, shards: local });
        }
        assignments
    }

    /// Chooses one of the few instances that handle a bundle of shards in a
    /// zone. Their number is limited so that each of them handles
    /// enough requests to estimate the slowness and failure rate of the
    /// targets.
    fn choose_handler(
        &mut self,
        route: &CompiledRoute,
        zone: ZoneId,
        bundle: usize,
    ) -> Option<InstanceId> {
        let mut instances = self.delegates_in(zone);
        if zone == self.zone {
            instances.push(self.own_id);
        }
        let first = bundle * self.options.delegate.bundle_shards;
        let service = route.services.get(first)?;
        let key = BundleKey(service.0 ^ zone.0.rotate_left(1));
        let count = self.options.delegate.instances_per_bundle;
        let ranked = highest_ranked(key, instances, count);
        if ranked.contains(&self.own_id) {
            return Some(self.own_id);
        }
        ranked.choose(&mut self.rng).copied()
    }

    /// Returns the instances of a zone that can take tasks.
    fn delegates_in(&self, zone: ZoneId) -> Vec<InstanceId> {
        let avoided = |id| self.avoided_delegates.iter().any(|a| a.0 == id);
        self.peers
            .iter()
            .filter(|p| p.zone == zone && p.reachable && !avoided(p.id))
            .map(|p| p.id)
            .collect()
    }

    /// Returns the shards of a route by the zone that handles them, from the
    /// cache if possible.
    fn zone_plan(
        &mut self,
        now: Time,
        route: &Arc<CompiledRoute>,
    ) -> Vec<(ZoneId, Vec<usize>)> {
        let found = self.zone_plans.binary_search_by_key(&route.id, |z| z.0);
        if let Ok(i) = found
            && self.zone_plans[i].1.is_valid(now, route)
        {
            return self.zone_plans[i].1.zones.clone();
        }
        let zones = self.cover_zones(now, route);
        let plan = ZonePlan {
            route: Arc::clone(route),
            zones: zones.clone(),
            expires_at: now + ZONE_PLAN_TTL,
        };
        match found {
            Ok(i) => self.zone_plans[i].1 = plan,
            Err(i) => self.zone_plans.insert(i, (route.id, plan)),
        }
        zones
    }

    /// Assigns the shards of a route to zones with usable targets. The own
    /// zone comes first; a greedy set cover chooses the others, so that they
    /// are few.
    fn cover_zones(
        &mut self,
        now: Time,
        route: &CompiledRoute,
    ) -> Vec<(ZoneId, Vec<usize>)> {
        let mut uncovered: Vec<(usize, Vec<ZoneId>)> = route
            .services
            .iter()
            .map(|&service| self.targets.usable_zones(now, service))
            .enumerate()
            .collect();
        let mut zones: Vec<ZoneId> =
            uncovered.iter().flat_map(|o| o.1.iter().copied()).collect();
        zones.sort_unstable();
        zones.dedup();
        // The random order spreads the load over zones that cover equally
        // many shards.
        zones.shuffle(&mut self.rng);
        if let Some(own) = zones.iter().position(|&z| z == self.zone) {
            zones.swap(0, own);
        }
        let mut plan = Vec::new();
        let mut next = zones.first().copied().filter(|&z| z == self.zone);
        loop {
            let covers = |zone: &ZoneId| {
                uncovered.iter().filter(|o| o.1.contains(zone)).count()
            };
            let zone = match next.take() {
                Some(own) => own,
                None => match zones.iter().max_by_key(|&z| covers(z)) {
                    Some(&zone) if covers(&zone) > 0 => zone,
                    _ => break,
                },
            };
            let (covered, remaining): (Vec<_>, Vec<_>) =
                uncovered.into_iter().partition(|o| o.1.contains(&zone));
            uncovered = remaining;
            let shards = covered.into_iter().map(|o| o.0).collect();
            plan.push((zone, shards));
        }
        if !uncovered.is_empty() {
            // These shards have no usable target. One may become usable before
            // the deadline.
            let shards = uncovered.into_iter().map(|o| o.0).collect();
            plan.push((self.zone, shards));
        }
        plan
    }

    /// Sends a task for shards of a request to a delegate.
    pub(super) fn delegate(
        &mut self,
        now: Time,
        token: Token,
        to: InstanceId,
        shards: &[usize],
    ) {
        let options = self.options.delegate.clone();
        let number = self.task_number(token);
        let key = self.request(token).and_then(|r| self.key_position(r));
        let Some(request) = self.request_mut(token) else { return };
        for &shard in shards {
            request.shards[shard].progress = Progress::Delegated(to);
        }
        let objective =
            Duration::from_millis(request.route.route.objective_ms.into());
        let wait = objective
            .mul_f64(options.ack_timeout_fraction)
            .max(options.ack_timeout_min);
        let ack_deadline = Some(now + wait);
        request.delegations.push(Delegation { to, ack_deadline });
        let remaining_us = |deadline: Time| {
            deadline.since(now).saturating_sub(options.hop_latency).as_micros()
                as u64
        };
        let task = Task {
            number,
            request_id: Arc::clone(&request.id),
            revision: request.route.revision,
            route: request.route.id,
            shards: shards.iter().map(|&s| s as u16).collect(),
            remaining_us: remaining_us(request.hard_deadline),
            soft_us: remaining_us(request.soft_deadline),
            key,
        };
        if self.options.log_debug {
            let detail = format!(
                "request={} delegate={to} shards={}",
                task.request_id,
                task.shards.len()
            );
            self.log(&kinds::DELEGATED, detail);
        }
        self.out.push(ForwardEffect::SendTask { token, to, task });
    }

    /// Returns the position of the key of a request for a delegate that has
    /// the revision of its route. Without it the delegate declines the task.
    fn key_position(&self, request: &Request) -> Option<u32> {
        let same_table = self.table.revision == request.route.revision;
        let caller = request.caller.filter(|_| same_table)?;
        self.table.position_of_key(&caller.key)
    }

    /// Reclaims the shards of delegates that have not acknowledged in time.
    pub(super) fn check_delegates(&mut self, now: Time, token: Token) {
        let Some(request) = self.request(token) else { return };
        let request_id = Arc::clone(&request.id);
        let silent: Vec<InstanceId> = request
            .delegations
            .iter()
            .filter(|d| d.ack_deadline.is_some_and(|at| at <= now))
            .map(|d| d.to)
            .collect();
        for to in silent {
            let until = now + self.options.delegate.avoid_for;
            self.avoided_delegates.push((to, until));
            self.log(
                &kinds::DELEGATE_SILENT,
                format!("request={request_id} delegate={to}"),
            );
            // If the route allows no second attempt, the shards are left to
            // the delegate, whose acknowledgement may only be late.
            let Some(request) = self.request_mut(token) else { return };
            if request.route.route.max_attempts <= 1 {
                for delegation in &mut request.delegations {
                    if delegation.to == to {
                        delegation.ack_deadline = None;
                    }
                }
                continue;
            }
            // This instance sends the shards again, so the delegate must
            // abort its attempts.
            self.send_cancel(token, to, true);
            self.reclaim_shards(now, token, to, true);
        }
    }

    /// Takes the shards of a delegate back and sends them to targets, unless
    /// the attempt of the delegate may be the last that the route allows.
    fn reclaim_shards(
        &mut self,
        now: Time,
        token: Token,
        from: InstanceId,
        may_have_sent: bool,
    ) {
        let Some(request) = self.request_mut(token) else { return };
        request.delegations.retain(|d| d.to != from);
        let max_attempts = request.route.route.max_attempts.max(1);
        let mut reclaimed = Vec::new();
        for (i, shard) in request.shards.iter_mut().enumerate() {
            if shard.progress == Progress::Delegated(from) {
                shard.progress = Progress::Waiting;
                shard.may_have_run |= may_have_sent;
                // If the delegate may have sent the shard, further attempts
                // are charged to the budget for extra requests.
                shard.delegate_may_have_sent |= may_have_sent;
                if shard.may_run() < max_attempts {
                    reclaimed.push(i);
                } else {
                    shard.progress = Progress::Failed;
                }
            }
        }
        for shard in reclaimed {
            self.send_attempt(now, token, shard, may_have_sent);
        }
        self.schedule_check(now, token);
    }

    /// Ends the delegations to an unreachable instance. The shards of an
    /// acknowledged task are abandoned, the others reclaimed.
    pub(super) fn delegate_unreachable(&mut self, now: Time, id: InstanceId) {
        let tokens: Vec<Token> = self
            .requests
            .iter()
            .filter(|r| r.delegations.iter().any(|d| d.to == id))
            .map(|r| r.token)
            .collect();
        for token in tokens {
            let acknowledged = self.request(token).is_some_and(|r| {
                r.delegations
                    .iter()
                    .any(|d| d.to == id && d.ack_deadline.is_none())
            });
            if acknowledged {
                self.abandon_shards(token, id);
            } else {
                self.reclaim_shards(now, token, id, true);
            }
            self.try_complete(now, token);
        }
    }

    /// Marks the shards of a delegate as failed. They are not sent again,
    /// because the delegate may have used all attempts that the route allows.
    fn abandon_shards(&mut self, token: Token, from: InstanceId) {
        let Some(request) = self.request_mut(token) else { return };
        request.delegations.retain(|d| d.to != from);
        for shard in &mut request.shards {
            if shard.progress == Progress::Delegated(from) {
                shard.progress = Progress::Failed;
                shard.may_have_run = true;
            }
        }
    }

    /// Cancels the delegated tasks of a request that has ended.
    pub(super) fn cancel_delegations(
        &mut self,
        request: &Request,
        caller_gone: bool,
    ) {
        for delegation in &request.delegations {
            self.send_cancel(request.token, delegation.to, caller_gone);
        }
    }

    /// Sends a delegate the cancellation of its task.
    fn send_cancel(&mut self, token: Token, to: InstanceId, gone: bool) {
        let number = self.task_number(token);
        let message = Message::Cancel { number, caller_gone: gone };
        self.out.push(ForwardEffect::SendShared(to, message));
    }

    /// Handles a message from a root or a delegate. A task arrives without
    /// its content, which the daemon stores under the task's token.
    pub(super) fn handle_delegate_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: IncomingMessage,
    ) {
        match message {
            IncomingMessage::Task(token, task) => {
                self.accept_task(now, from, token, task);
            }
            IncomingMessage::Accepted(number) => {
                let token = self.task_request(number);
                if self.record_acknowledgement(token, from) {
                    let message = Message::Confirm(number);
                    self.out.push(ForwardEffect::SendShared(from, message));
                }
            }
            IncomingMessage::Confirm(number) => {
                let origin = Origin::Root { from, number };
                let found =
                    self.requests.iter_mut().find(|r| r.origin == origin);
                if let Some(request) = found {
                    request.confirmed = true;
                    let token = request.token;
                    self.schedule_check(now, token);
                }
            }
            IncomingMessage::Declined(number) => {
                let token = self.task_request(number);
                self.reclaim_shards(now, token, from, false);
                self.try_complete(now, token);
            }
            IncomingMessage::Part(part) => self.handle_part(now, from, part),
            IncomingMessage::Cancel { number, caller_gone } => {
                let found = self
                    .requests
                    .iter()
                    .find(|r| r.origin == Origin::Root { from, number });
                let Some(token) = found.map(|r| r.token) else { return };
                if caller_gone {
                    self.caller_gone(token);
                } else {
                    self.remove_request(now, token);
                }
                self.out.push(ForwardEffect::DropTask(token));
            }
        }
    }

    /// Records that a delegate has acknowledged its task. Returns whether the
    /// task is still delegated to it.
    fn record_acknowledgement(
        &mut self,
        token: Token,
        from: InstanceId,
    ) -> bool {
        let Some(request) = self.request_mut(token) else { return false };
        let found = request.delegations.iter_mut().find(|d| d.to == from);
        let Some(delegation) = found else { return false };
        delegation.ack_deadline = None;
        true
    }

    /// Allocates a token under which the daemon stores the content of a task.
    pub(super) fn allocate_task_token(&mut self) -> Token {
        self.last_task += 1;
        Token(TASK_TOKEN_BIT | self.last_task)
    }

    /// Accepts a task from a root, or declines it.
    fn accept_task(
        &mut self,
        now: Time,
        from: InstanceId,
        token: Token,
        task: Task,
    ) {
        let number = task.number;
        let route = self
            .table
            .routes()
            .iter()
            .find(|r| r.id == task.route && r.revision == task.revision)
            .cloned();
        let services = route.as_ref().and_then(|route| {
            let service =
                |&s: &u16| route.services.get(usize::from(s)).copied();
            task.shards.iter().map(service).collect::<Option<Vec<ServiceId>>>()
        });
        let caller = task.key.and_then(|at| self.keyed_caller(at));
        let needs_key =
            route.as_ref().is_some_and(|r| self.table.needs_key(r));
        let may_send = needs_key == caller.is_some()
            && self.check_key(now, caller).is_ok();
        let (Ok(()), true, Some(route), Some(services)) =
            (self.check_admission(), may_send, route, services)
        else {
            let message = Message::Declined(number);
            self.out.push(ForwardEffect::SendShared(from, message));
            self.out.push(ForwardEffect::DropTask(token));
            return;
        };
        let message = Message::Accepted(number);
        self.out.push(ForwardEffect::SendShared(from, message));
        let after = |us: u64| now + Duration::from_micros(us);
        self.start(
            now,
            Request {
                token,
                id: task.request_id,
                origin: Origin::Root { from, number },
                has_share: false,
                started: now,
                soft_deadline: after(task.soft_us),
                hard_deadline: after(task.remaining_us),
                shards: services.into_iter().map(Shard::new).collect(),
                shard_indices: task.shards,
                delegations: Vec::new(),
                confirmed: false,
                next_check: now,
                priority: self.table.priority(&route, caller.map(|c| c.team)),
                caller,
                route,
            },
            None,
        );
    }

    /// Sends the root the shards that were answered since the last report,
    /// once the soft deadline has passed or all shards are done.
    pub(super) fn report_task_progress(&mut self, now: Time, token: Token) {
        let Some(request) = self.request_mut(token) else { return };
        let Origin::Root { from, number } = request.origin else { return };
        let done =
            request.pending_shards() == 0 || now >= request.hard_deadline;
        if !done && now < request.soft_deadline {
            return;
        }
        let mut parts: Vec<AttemptId> = Vec::new();
        let mut shards = Vec::new();
        for (shard, index) in
            request.shards.iter_mut().zip(&request.shard_indices)
        {
            if let Progress::Answered(id) = shard.progress
                && !shard.reported
            {
                shard.reported = true;
                parts.push(id);
                shards.push(*index);
            }
        }
        if parts.is_empty() && !done {
            return;
        }
        let top = request.route.top();
        self.out.push(ForwardEffect::SendPart {
            token,
            to: from,
            number,
            parts,
            shards,
            top,
            done,
        });
        if done {
            self.remove_request(now, token);
            self.out.push(ForwardEffect::DropTask(token));
        }
    }

    /// Stores the merged answer of a delegate for its shards.
    fn handle_part(
        &mut self,
        now: Time,
        from: InstanceId,
        part: PartialResult,
    ) {
        let token = self.task_request(part.number);
        if self.position(token).is_none() {
            return;
        }
        self.record_acknowledgement(token, from);
        let attempt = self.attempts.next_id();
        let Some(request) = self.request_mut(token) else { return };
        let mut accepted = 0;
        for &index in &part.shards {
            let shard = request.shards.get_mut(usize::from(index));
            if let Some(shard) = shard
                && shard.progress == Progress::Delegated(from)
            {
                shard.progress = Progress::Answered(attempt);
                accepted += 1;
            }
        }
        let used = accepted == part.shards.len();
        if !used {
            // Some of the shards were reclaimed. The merged records cannot be
            // separated by shard, so none of them can be used.
            for shard in &mut request.shards {
                if shard.progress == Progress::Answered(attempt) {
                    shard.progress = Progress::Failed;
                }
            }
        }
        if part.done {
            self.abandon_shards(token, from);
        }
        if used && accepted > 0 {
            self.out.push(ForwardEffect::StoreAnswer {
                attempt,
                token,
                signatures: part.signatures,
                records: part.records,
            });
        }
        self.try_complete(now, token);
    }
}

/// Adds shards to the task of an instance, which gets at most one task per
/// request.
fn assign_to(
    assignments: &mut Vec<Assignment>,
    to: InstanceId,
    shards: &[usize],
) {
    match assignments.iter_mut().find(|a| a.to == Some(to)) {
        Some(assignment) => assignment.shards.extend_from_slice(shards),
        None => assignments
            .push(Assignment { to: Some(to), shards: shards.to_vec() }),
    }
}
