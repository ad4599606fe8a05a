//! The reducer of the forwarding path: events, deadlines and state.

use std::{sync::Arc, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::{
    ForwardEffect, ForwardEvent, ForwardOptions, Outcome, Reason, Response,
    attempts::{Attempt, Attempts},
    budget::Budget,
    delegate::{Peer, RouteZones},
    directory::{DirectoryEffect, Reader},
    latency::Latencies,
    request::{Progress, Request},
    table::CompiledTable,
    targets::{Failure, TargetTable},
};
use crate::{
    event::{EventKind, LogEvent, forward as kinds},
    id::{AttemptId, InstanceId, RouteId, ServiceId, TargetId, Token, ZoneId},
    time::Time,
    verdict::Verdict,
};

/// Latency that is expected of a route's targets before any is known.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(20);

/// The state of the forwarding path.
#[derive(Clone, Debug)]
pub struct Forwarder {
    pub(super) options: ForwardOptions,
    pub(super) rng: Pcg32,
    pub(super) table: Arc<CompiledTable>,
    pub(super) targets: TargetTable,
    reader: Reader,
    /// Sorted by token, which only grows.
    pub(super) requests: Vec<Request>,
    pub(super) attempts: Attempts,
    /// Sorted by service.
    budgets: Vec<(ServiceId, Budget)>,
    /// Sorted by route.
    latencies: Vec<(RouteId, Latencies)>,
    /// Progress of the weighted turns of each route, sorted by route.
    pub(super) turns: Vec<(RouteId, Vec<f64>)>,
    /// Sorted by identifier.
    pub(super) fellows: Vec<Peer>,
    /// Delegates that were silent, and until when they are passed over.
    pub(super) avoided: Vec<(InstanceId, Time)>,
    /// Zones for each route, sorted by route.
    pub(super) zones: Vec<(RouteId, RouteZones)>,
    pub(super) me: InstanceId,
    pub(super) zone: ZoneId,
    pub(super) last_adopted: u64,
    serving: bool,
    pub(super) out: Vec<ForwardEffect>,
}

impl Forwarder {
    /// Creates the state for the instance `me` in `zone`.
    pub fn new(
        me: InstanceId,
        zone: ZoneId,
        options: ForwardOptions,
        seed: u64,
    ) -> Forwarder {
        let lag = options.directory.lag;
        Forwarder {
            rng: Pcg32::seed_from_u64(seed),
            table: Arc::default(),
            targets: TargetTable::new(options.choice.clone(), zone, lag),
            reader: Reader::new(me, options.directory.clone()),
            requests: Vec::new(),
            attempts: Attempts::default(),
            budgets: Vec::new(),
            latencies: Vec::new(),
            turns: Vec::new(),
            fellows: Vec::new(),
            avoided: Vec::new(),
            zones: Vec::new(),
            me,
            zone,
            last_adopted: 0,
            serving: false,
            out: Vec::new(),
            options,
        }
    }

    /// Requests that wait for their response.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Requests to targets that have not ended.
    pub fn open_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// What is known of the targets.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Whether the platform's list has been read at all.
    pub fn has_directory(&self) -> bool {
        self.reader.has_reading()
    }

    /// Age of the reading of the platform's list that is in use.
    pub fn directory_age(&self, now: Time) -> Option<Duration> {
        self.reader.age(now)
    }

    /// A token under which the content of a task is kept.
    pub fn next_task_token(&mut self) -> Token {
        self.adopted_token()
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: Time,
        event: ForwardEvent,
        out: &mut impl Extend<ForwardEffect>,
    ) {
        match event {
            ForwardEvent::Submit(token, submission) => {
                self.submit(now, token, submission);
            }
            ForwardEvent::CallerGone(token) => self.caller_gone(token),
            ForwardEvent::AttemptEnded(attempt, outcome) => {
                self.ended(now, attempt, outcome);
            }
            ForwardEvent::Configure { table, zones_out } => {
                self.targets.set_zones_out(now, zones_out);
                self.table = table;
            }
            ForwardEvent::Serving(serving) => self.serving = serving,
            ForwardEvent::Peers(fellows, instances) => {
                self.reader
                    .set_fellows(fellows.iter().map(|f| f.id).collect());
                self.fellows = fellows;
                self.targets.set_instances(instances);
            }
            ForwardEvent::DirectoryRead(result) => {
                self.directory_read(now, result);
            }
            ForwardEvent::Shared(from, message) => {
                self.delegate_message(now, from, message);
            }
            ForwardEvent::Unreachable(id) => {
                self.delegate_unreachable(now, id);
            }
            ForwardEvent::Directory(from, message) => {
                let mut effects = Vec::new();
                self.reader.message(now, from, message, &mut effects);
                self.directory_effects(now, effects);
            }
            ForwardEvent::Tick => {}
        }
        self.tick(now);
        out.extend(self.out.drain(..));
    }

    /// When the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let check = self.requests.iter().map(|r| r.check_at).min();
        // The list is of no use before there is a table.
        let reader = (self.table.revision > 0)
            .then(|| self.reader.next_deadline())
            .flatten();
        [check, reader, self.attempts.next_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    fn tick(&mut self, now: Time) {
        if self.table.revision > 0 {
            let mut effects = Vec::new();
            self.reader.tick(now, &mut effects);
            self.directory_effects(now, effects);
        }
        for id in self.attempts.overdue(now) {
            self.cancel(now, id);
        }
        let due: Vec<Token> = self
            .requests
            .iter()
            .filter(|r| r.check_at <= now)
            .map(|r| r.token)
            .collect();
        for token in due {
            self.check(now, token);
        }
    }

    fn directory_read(
        &mut self,
        now: Time,
        result: Result<super::directory::Directory, String>,
    ) {
        if let Err(error) = &result {
            let age =
                self.reader.age(now).map_or(-1, |a| a.as_millis() as i64);
            let detail = format!("error={error:?} age_ms={age}");
            self.log(&kinds::DIRECTORY_FAILED, detail);
        }
        let mut effects = Vec::new();
        self.reader.read(now, result.ok(), &mut effects);
        self.directory_effects(now, effects);
    }

    fn directory_effects(&mut self, now: Time, effects: Vec<DirectoryEffect>) {
        for effect in effects {
            match effect {
                DirectoryEffect::Read => {
                    self.out.push(ForwardEffect::ReadDirectory);
                }
                DirectoryEffect::Send(to, message) => {
                    let effect = ForwardEffect::SendDirectory(to, message);
                    self.out.push(effect);
                }
                DirectoryEffect::Install { read_at, directory } => {
                    self.targets.install(read_at, directory.as_deref());
                    if directory.is_some() {
                        let detail = format!(
                            "targets={} age_ms={}",
                            self.targets.targets().len(),
                            now.since(read_at).as_millis()
                        );
                        self.log(&kinds::DIRECTORY_INSTALLED, detail);
                    }
                }
            }
        }
    }

    /// Whether new requests are taken, or why not.
    pub(super) fn admits(&self) -> Result<(), Reason> {
        if !self.serving {
            Err(Reason::NotServing)
        } else if self.requests.len() >= self.options.max_in_flight {
            Err(Reason::Overload)
        } else {
            Ok(())
        }
    }

    /// The caller has left: nobody needs its attempts.
    pub(super) fn caller_gone(&mut self, token: Token) {
        let Some(at) = self.position(token) else { return };
        let request = self.requests.remove(at);
        self.end_delegations(&request, true);
        let open: Vec<AttemptId> =
            self.attempts.of_request(token).map(|a| a.id).collect();
        for id in open {
            if let Some(attempt) = self.attempts.take(id) {
                self.targets.ended(attempt.target, id);
            }
            self.out.push(ForwardEffect::Cancel(id));
        }
    }

    /// Cancels an attempt that has taken too long.
    pub(super) fn cancel(&mut self, now: Time, id: AttemptId) {
        let Some(attempt) = self.attempts.take(id) else { return };
        let silent_after =
            self.targets.silent_after(self.typical(attempt.route));
        if now.since(attempt.sent_at) >= silent_after {
            // Nobody waits for it any more, but it was given its time.
            self.note_failure(now, attempt.target, Failure::Silent);
        }
        self.note_slow(now, &attempt);
        self.targets.ended(attempt.target, id);
        self.out.push(ForwardEffect::Cancel(id));
    }

    /// An attempt that has not ended is at least as slow as its age.
    fn note_slow(&mut self, now: Time, attempt: &Attempt) {
        let typical = self.typical(attempt.route);
        let age = now.since(attempt.sent_at);
        let relative = age.as_secs_f64() / typical.as_secs_f64();
        if relative > 1.0 {
            self.targets.sample(now, attempt.target, relative);
        }
    }

    fn ended(&mut self, now: Time, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.take(id) else { return };
        self.targets.ended(attempt.target, id);
        if self.options.log_debug {
            self.log_ended(now, &attempt, outcome);
        }
        self.learn(now, &attempt, outcome);
        let Some(at) = self.position(attempt.token) else { return };
        let request = &mut self.requests[at];
        let shard = &mut request.shards[attempt.shard];
        shard.open = shard.open.saturating_sub(1);
        match outcome {
            Outcome::Refused | Outcome::Replaced => shard.refused += 1,
            Outcome::Unreachable => {
                shard.refused += 1;
                if attempt.extra {
                    let service = shard.service;
                    self.budget(service).refund();
                }
            }
            Outcome::Success | Outcome::Failure | Outcome::Broken => {
                shard.may_have_run = true;
            }
        }
        let shard = &mut self.requests[at].shards[attempt.shard];
        if outcome == Outcome::Failure {
            shard.failure = Some(id);
        }
        if !shard.is_open() {
            return;
        }
        if outcome == Outcome::Success {
            shard.progress = Progress::Answered(id);
            self.release_shard(now, attempt.token, attempt.shard);
        } else {
            self.retry(now, attempt.token, attempt.shard);
        }
        self.settle(now, attempt.token);
    }

    fn log_ended(&mut self, now: Time, attempt: &Attempt, outcome: Outcome) {
        let request = self.request(attempt.token);
        let target = self.targets.get(attempt.target);
        let detail = format!(
            "request={} target={} outcome={outcome:?} took_ms={}",
            request.map_or("-", |r| &r.id),
            target.map_or("-", |t| &t.name),
            now.since(attempt.sent_at).as_millis()
        );
        self.log(&kinds::ATTEMPT_ENDED, detail);
    }

    /// Takes what an attempt shows of its target into account.
    fn learn(&mut self, now: Time, attempt: &Attempt, outcome: Outcome) {
        let target = attempt.target;
        match outcome {
            Outcome::Success => {
                let latency = now.since(attempt.sent_at);
                let typical = self.typical(attempt.route).as_secs_f64();
                let relative = latency.as_secs_f64() / typical;
                self.targets.sample(now, target, relative);
                self.latency(attempt.route).add(latency);
                self.targets.succeeded(now, target);
            }
            Outcome::Replaced => {
                self.targets.replaced(target);
                self.log_target(&kinds::TARGET_REPLACED, target, "");
            }
            Outcome::Unreachable => {
                self.targets.refused_connection(now, target);
                self.log_target(&kinds::TARGET_UNREACHABLE, target, "");
            }
            Outcome::Refused => {
                self.note_failure(now, target, Failure::Refused);
            }
            Outcome::Failure | Outcome::Broken => {
                self.note_failure(now, target, Failure::Answered);
            }
        }
    }

    fn note_failure(&mut self, now: Time, target: TargetId, what: Failure) {
        if let Some(pause) = self.targets.failed(now, target, what) {
            let detail =
                format!(" pause_ms={} failure={what:?}", pause.as_millis());
            self.log_target(&kinds::TARGET_PAUSED, target, &detail);
        }
    }

    /// Lets the other attempts of an answered shard run on for a while, so
    /// that their connections can be kept.
    pub(super) fn release_shard(
        &mut self,
        now: Time,
        token: Token,
        shard: usize,
    ) {
        let until = now + self.options.linger;
        for attempt in self.attempts.of_request_mut(token) {
            if attempt.shard == shard {
                attempt.cancel_at = Some(until);
            }
        }
    }

    /// The usual latency of a shard request of the route.
    pub(super) fn typical(&self, route: RouteId) -> Duration {
        self.latencies_of(route)
            .and_then(Latencies::median)
            .unwrap_or(UNKNOWN_LATENCY)
    }

    pub(super) fn latencies_of(&self, route: RouteId) -> Option<&Latencies> {
        let i = self.latencies.binary_search_by_key(&route, |l| l.0).ok()?;
        Some(&self.latencies[i].1)
    }

    pub(super) fn latency(&mut self, route: RouteId) -> &mut Latencies {
        entry(&mut self.latencies, route)
    }

    pub(super) fn budget(&mut self, service: ServiceId) -> &mut Budget {
        entry(&mut self.budgets, service)
    }

    pub(super) fn position(&self, token: Token) -> Option<usize> {
        self.requests.binary_search_by_key(&token, |r| r.token).ok()
    }

    pub(super) fn request(&self, token: Token) -> Option<&Request> {
        Some(&self.requests[self.position(token)?])
    }

    pub(super) fn request_mut(
        &mut self,
        token: Token,
    ) -> Option<&mut Request> {
        let at = self.position(token)?;
        Some(&mut self.requests[at])
    }

    pub(super) fn reject(
        &mut self,
        token: Token,
        reason: Reason,
        verdict: Verdict,
        retry_after: Option<Duration>,
    ) {
        let response = Response::Reject { reason, verdict, retry_after };
        self.out.push(ForwardEffect::Respond(token, response));
    }

    pub(super) fn log(&mut self, kind: &'static EventKind, detail: String) {
        self.out.push(ForwardEffect::Log(LogEvent::new(kind, detail)));
    }

    fn log_target(
        &mut self,
        kind: &'static EventKind,
        target: TargetId,
        detail: &str,
    ) {
        if let Some(target) = self.targets.get(target) {
            let detail = format!(
                "target={} address={}{detail}",
                target.name, target.address
            );
            self.log(kind, detail);
        }
    }
}

/// The value of `key` in a sorted vector, which is added if it is missing.
fn entry<K: Ord + Copy, V: Default>(
    sorted: &mut Vec<(K, V)>,
    key: K,
) -> &mut V {
    let i = match sorted.binary_search_by_key(&key, |e| e.0) {
        Ok(i) => i,
        Err(i) => {
            sorted.insert(i, (key, V::default()));
            i
        }
    };
    &mut sorted[i].1
}
