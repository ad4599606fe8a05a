/*!
Sharing a request with instances near its targets.

A root that asks many shards itself pays for each of them in processor time,
and in bytes between zones if the targets are elsewhere. So shards are handled
in bundles, by an instance in the zone of their targets: the root's own zone
where it has one, otherwise as few further zones as possible. Three instances
of a zone handle the same bundle, so that each sees enough of its targets. A
delegate handles its shards like requests of its own, hedges included, and
sends back the greatest records of what has arrived, with the targets'
signatures.

A delegate that does not acknowledge is passed over for a while, and the root
asks its shards itself, with one attempt each from the budget for extra
requests. A delegate makes one attempt for each shard until the root confirms
that it will not do so, so that both together stay within the attempts that a
route allows. The shards of a delegate that fails later are given up.
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

/// Tokens of other roots' requests have this bit, so that they never collide
/// with those of callers.
const DELEGATED_TOKEN: u64 = 1 << 62;

/// How long the choice of zones for a route is kept.
const ZONES_KEPT_FOR: Duration = Duration::from_millis(250);

/// An entry instance that may be a delegate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it can be reached and is not suspected to have failed.
    pub reachable: bool,
}

/// Options of delegation.
#[derive(Clone, Debug)]
pub struct DelegateOptions {
    /// Shards that one instance handles, about.
    pub shards: usize,
    /// Instances of a zone that handle the same shards.
    pub handlers: usize,
    /// Shards below which another zone's targets are asked from here.
    pub least: usize,
    /// Part of the objective in which a delegate has to acknowledge.
    pub acknowledge_part: f64,
    /// Shortest such time.
    pub acknowledge_min: Duration,
    /// Time that a delegate's response takes to the root.
    pub hop: Duration,
    /// Time for which a silent delegate is passed over.
    pub avoid: Duration,
}

impl Default for DelegateOptions {
    fn default() -> DelegateOptions {
        DelegateOptions {
            // A shard request takes some 80 us, so this many take 20 ms on
            // an eighth of a core.
            shards: 32,
            // Two may be lost at the same time on the larger sites.
            handlers: 3,
            // A task takes about as many bytes as two shard requests.
            least: 3,
            acknowledge_part: 0.45,
            acknowledge_min: Duration::from_millis(15),
            hop: Duration::from_millis(5),
            avoid: Duration::from_secs(1),
        }
    }
}

/// A root's share of a request that a delegate handles.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delegation {
    pub(super) to: InstanceId,
    /// Until when it has to acknowledge; `None` once it has.
    pub(super) acknowledge_by: Option<Time>,
}

/// The shards of a route by the zone in which they are handled.
#[derive(Clone, Debug)]
pub(super) struct RouteZones {
    parts: Vec<(ZoneId, Vec<usize>)>,
    until: Time,
}

/// One part of a request's shards and who handles it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Assignment {
    /// `None` for this instance.
    pub(super) to: Option<InstanceId>,
    pub(super) shards: Vec<usize>,
}

impl Forwarder {
    /// Splits the shards of a request among this instance and delegates.
    /// A request without shards has one part, of whichever service it goes
    /// to.
    pub(super) fn assign(
        &mut self,
        now: Time,
        route: &CompiledRoute,
    ) -> Vec<Assignment> {
        if !route.is_sharded() {
            return vec![Assignment { to: None, shards: vec![0] }];
        }
        self.avoided.retain(|a| a.1 > now);
        let size = self.options.delegate.shards.max(1);
        let mut local = Vec::new();
        let mut assignments = Vec::new();
        for (zone, shards) in self.zone_parts(now, route) {
            let few = shards.len() < self.options.delegate.least;
            if few && zone != self.zone {
                local.extend(shards);
                continue;
            }
            for part in shards.chunk_by(|a, b| a / size == b / size) {
                let bundle = part[0] / size;
                let to = self.handler(route, zone, bundle);
                match to.filter(|&to| to != self.me) {
                    Some(to) => add(&mut assignments, to, part),
                    None => local.extend_from_slice(part),
                }
            }
        }
        if !local.is_empty() {
            assignments.push(Assignment { to: None, shards: local });
        }
        assignments
    }

    /// One of the few instances that handle a bundle of shards in a zone, so
    /// that each of them sees enough of its targets to know them.
    fn handler(
        &mut self,
        route: &CompiledRoute,
        zone: ZoneId,
        bundle: usize,
    ) -> Option<InstanceId> {
        let mut instances = self.delegates_in(zone);
        if zone == self.zone {
            instances.push(self.me);
        }
        let first = bundle * self.options.delegate.shards;
        let service = route.services.get(first)?;
        let key = BundleKey(service.0 ^ zone.0.rotate_left(1));
        let count = self.options.delegate.handlers;
        let ranked = highest_ranked(key, instances, count);
        if ranked.contains(&self.me) {
            return Some(self.me);
        }
        ranked.choose(&mut self.rng).copied()
    }

    /// Instances of a zone that can take tasks.
    fn delegates_in(&self, zone: ZoneId) -> Vec<InstanceId> {
        let avoided = |id| self.avoided.iter().any(|a| a.0 == id);
        self.fellows
            .iter()
            .filter(|f| f.zone == zone && f.reachable && !avoided(f.id))
            .map(|f| f.id)
            .collect()
    }

    /// The shards of a route by the zone in which they are handled: the own
    /// zone where it has a target, otherwise as few zones as possible.
    fn zone_parts(
        &mut self,
        now: Time,
        route: &CompiledRoute,
    ) -> Vec<(ZoneId, Vec<usize>)> {
        let found = self.zones.binary_search_by_key(&route.id, |z| z.0);
        if let Ok(i) = found
            && now < self.zones[i].1.until
        {
            return self.zones[i].1.parts.clone();
        }
        let parts = self.cover(now, route);
        let until = now + ZONES_KEPT_FOR;
        let kept = RouteZones { parts: parts.clone(), until };
        match found {
            Ok(i) => self.zones[i].1 = kept,
            Err(i) => self.zones.insert(i, (route.id, kept)),
        }
        parts
    }

    fn cover(
        &mut self,
        now: Time,
        route: &CompiledRoute,
    ) -> Vec<(ZoneId, Vec<usize>)> {
        let mut open: Vec<(usize, Vec<ZoneId>)> = route
            .services
            .iter()
            .map(|&service| self.targets.usable_zones(now, service))
            .enumerate()
            .collect();
        let mut zones: Vec<ZoneId> =
            open.iter().flat_map(|o| o.1.iter().copied()).collect();
        zones.sort_unstable();
        zones.dedup();
        // Zones that cover equally many shards take turns.
        zones.shuffle(&mut self.rng);
        if let Some(own) = zones.iter().position(|&z| z == self.zone) {
            zones.swap(0, own);
        }
        let mut parts = Vec::new();
        let mut next = zones.first().copied().filter(|&z| z == self.zone);
        loop {
            let covers = |zone: &ZoneId| {
                open.iter().filter(|o| o.1.contains(zone)).count()
            };
            let zone = match next.take() {
                Some(own) => own,
                None => match zones.iter().max_by_key(|&z| covers(z)) {
                    Some(&zone) if covers(&zone) > 0 => zone,
                    _ => break,
                },
            };
            let (covered, rest): (Vec<_>, Vec<_>) =
                open.into_iter().partition(|o| o.1.contains(&zone));
            open = rest;
            let shards = covered.into_iter().map(|o| o.0).collect();
            parts.push((zone, shards));
        }
        if !open.is_empty() {
            // No target is usable now; one may be soon.
            let shards = open.into_iter().map(|o| o.0).collect();
            parts.push((self.zone, shards));
        }
        parts
    }

    /// Hands shards of a request to a delegate.
    pub(super) fn delegate(
        &mut self,
        now: Time,
        token: Token,
        to: InstanceId,
        shards: &[usize],
    ) {
        let options = self.options.delegate.clone();
        let revision = self.table.revision;
        let Some(request) = self.request_mut(token) else { return };
        for &shard in shards {
            request.shards[shard].progress = Progress::Delegated(to);
        }
        let objective =
            Duration::from_millis(request.route.route.objective_ms.into());
        let wait = objective
            .mul_f64(options.acknowledge_part)
            .max(options.acknowledge_min);
        let acknowledge_by = Some(now + wait);
        request.delegations.push(Delegation { to, acknowledge_by });
        let until = |at: Time| {
            at.since(now).saturating_sub(options.hop).as_micros() as u64
        };
        let task = Task {
            number: token.0,
            request_id: Arc::clone(&request.id),
            revision,
            route: request.route.id,
            shards: shards.iter().map(|&s| s as u16).collect(),
            remaining_us: until(request.hard_at),
            soft_us: until(request.soft_at),
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

    /// Takes the shards of silent delegates back.
    pub(super) fn check_delegates(&mut self, now: Time, token: Token) {
        let Some(request) = self.request(token) else { return };
        let request_id = Arc::clone(&request.id);
        let silent: Vec<InstanceId> = request
            .delegations
            .iter()
            .filter(|d| d.acknowledge_by.is_some_and(|at| at <= now))
            .map(|d| d.to)
            .collect();
        for to in silent {
            let until = now + self.options.delegate.avoid;
            self.avoided.push((to, until));
            self.log(
                &kinds::DELEGATE_SILENT,
                format!("request={request_id} delegate={to}"),
            );
            // Its attempts are made again, so they must not run on.
            self.tell_cancel(token, to, true);
            self.take_back(now, token, to, true);
        }
    }

    /// Asks shards that a delegate does not handle.
    fn take_back(
        &mut self,
        now: Time,
        token: Token,
        from: InstanceId,
        may_have_sent: bool,
    ) {
        let Some(request) = self.request_mut(token) else { return };
        request.delegations.retain(|d| d.to != from);
        let mut taken = Vec::new();
        for (i, shard) in request.shards.iter_mut().enumerate() {
            if shard.progress == Progress::Delegated(from) {
                shard.progress = Progress::Waiting;
                shard.may_have_run |= may_have_sent;
                // Waiting shards that were sent before need extra budget.
                shard.sent_elsewhere |= may_have_sent;
                taken.push(i);
            }
        }
        for shard in taken {
            self.ask(now, token, shard, may_have_sent);
        }
        self.plan_check(now, token);
    }

    /// An instance cannot be reached: its tasks are handled here.
    pub(super) fn delegate_unreachable(&mut self, now: Time, id: InstanceId) {
        let tokens: Vec<Token> = self
            .requests
            .iter()
            .filter(|r| r.delegations.iter().any(|d| d.to == id))
            .map(|r| r.token)
            .collect();
        for token in tokens {
            let confirmed = self.request(token).is_some_and(|r| {
                r.delegations
                    .iter()
                    .any(|d| d.to == id && d.acknowledge_by.is_none())
            });
            if confirmed {
                self.give_up(token, id);
            } else {
                self.take_back(now, token, id, true);
            }
            self.settle(now, token);
        }
    }

    /// Gives the shards of a delegate up, which may have asked as many
    /// targets as the route allows.
    fn give_up(&mut self, token: Token, from: InstanceId) {
        let Some(request) = self.request_mut(token) else { return };
        request.delegations.retain(|d| d.to != from);
        for shard in &mut request.shards {
            if shard.progress == Progress::Delegated(from) {
                shard.progress = Progress::Failed;
                shard.may_have_run = true;
            }
        }
    }

    /// Ends the tasks of a request that is over.
    pub(super) fn end_delegations(
        &mut self,
        request: &Request,
        caller_gone: bool,
    ) {
        for delegation in &request.delegations {
            self.tell_cancel(request.token, delegation.to, caller_gone);
        }
    }

    fn tell_cancel(&mut self, token: Token, to: InstanceId, gone: bool) {
        let number = token.0;
        let message = Message::Cancel { number, caller_gone: gone };
        self.out.push(ForwardEffect::SendShared(to, message));
    }

    /// Handles a message of a root or a delegate. An `Ask` arrives without
    /// its content, which the daemon keeps under `adopted`.
    pub(super) fn delegate_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: IncomingMessage,
    ) {
        match message {
            IncomingMessage::Task(adopted, task) => {
                self.task(now, from, adopted, task);
            }
            IncomingMessage::Accepted(number) => {
                if self.acknowledged(Token(number), from) {
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
                    self.plan_check(now, token);
                }
            }
            IncomingMessage::Declined(number) => {
                self.take_back(now, Token(number), from, false);
                self.settle(now, Token(number));
            }
            IncomingMessage::Part(part) => self.part(now, from, part),
            IncomingMessage::Cancel { number, caller_gone } => {
                let found = self
                    .requests
                    .iter()
                    .find(|r| r.origin == Origin::Root { from, number });
                let Some(token) = found.map(|r| r.token) else { return };
                if caller_gone {
                    self.caller_gone(token);
                } else {
                    self.end(now, token);
                }
                self.out.push(ForwardEffect::DropTask(token));
            }
        }
    }

    /// Notes that a delegate has taken its task over. Returns whether it
    /// still has one.
    fn acknowledged(&mut self, token: Token, from: InstanceId) -> bool {
        let Some(request) = self.request_mut(token) else { return false };
        let found = request.delegations.iter_mut().find(|d| d.to == from);
        let Some(delegation) = found else { return false };
        delegation.acknowledge_by = None;
        true
    }

    /// The token under which the daemon keeps the content of a task.
    pub(super) fn adopted_token(&mut self) -> Token {
        self.last_adopted += 1;
        Token(DELEGATED_TOKEN | self.last_adopted)
    }

    /// Takes a task over from a root.
    fn task(&mut self, now: Time, from: InstanceId, token: Token, task: Task) {
        let number = task.number;
        let route = self
            .table
            .routes()
            .iter()
            .find(|r| {
                r.id == task.route && task.revision == self.table.revision
            })
            .cloned();
        let services = route.as_ref().and_then(|route| {
            let service =
                |&s: &u16| route.services.get(usize::from(s)).copied();
            task.shards.iter().map(service).collect::<Option<Vec<ServiceId>>>()
        });
        let (Ok(()), Some(route), Some(services)) =
            (self.admits(), route, services)
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
                started: now,
                soft_at: after(task.soft_us),
                hard_at: after(task.remaining_us),
                shards: services.into_iter().map(Shard::new).collect(),
                places: task.shards,
                delegations: Vec::new(),
                confirmed: false,
                check_at: now,
                route,
            },
            None,
        );
    }

    /// Sends a root what has been answered since the last time.
    pub(super) fn settle_task(&mut self, now: Time, token: Token) {
        let Some(request) = self.request_mut(token) else { return };
        let Origin::Root { from, number } = request.origin else { return };
        let done = request.open() == 0 || now >= request.hard_at;
        if !done && now < request.soft_at {
            return;
        }
        let mut parts: Vec<AttemptId> = Vec::new();
        let mut shards = Vec::new();
        for (shard, place) in request.shards.iter_mut().zip(&request.places) {
            if let Progress::Answered(id) = shard.progress
                && !shard.reported
            {
                shard.reported = true;
                parts.push(id);
                shards.push(*place);
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
            self.end(now, token);
            self.out.push(ForwardEffect::DropTask(token));
        }
    }

    /// Takes answered shards over from a delegate.
    fn part(&mut self, now: Time, from: InstanceId, part: PartialResult) {
        let token = Token(part.number);
        if self.position(token).is_none() {
            return;
        }
        self.acknowledged(token, from);
        let attempt = self.attempts.next_id();
        let Some(request) = self.request_mut(token) else { return };
        let mut taken = 0;
        for &place in &part.shards {
            let shard = request.shards.get_mut(usize::from(place));
            if let Some(shard) = shard
                && shard.progress == Progress::Delegated(from)
            {
                shard.progress = Progress::Answered(attempt);
                taken += 1;
            }
        }
        let used = taken == part.shards.len();
        if !used {
            // Some of its shards were taken back, and the merged records
            // cannot be told apart: none of them can be used.
            for shard in &mut request.shards {
                if shard.progress == Progress::Answered(attempt) {
                    shard.progress = Progress::Failed;
                }
            }
        }
        if part.done {
            self.give_up(token, from);
        }
        if used && taken > 0 {
            self.out.push(ForwardEffect::StoreAnswer {
                attempt,
                token,
                signatures: part.signatures,
                records: part.records,
            });
        }
        self.settle(now, token);
    }
}

/// Adds shards to the one task that an instance gets of a request.
fn add(assignments: &mut Vec<Assignment>, to: InstanceId, part: &[usize]) {
    match assignments.iter_mut().find(|a| a.to == Some(to)) {
        Some(assignment) => assignment.shards.extend_from_slice(part),
        None => assignments
            .push(Assignment { to: Some(to), shards: part.to_vec() }),
    }
}
