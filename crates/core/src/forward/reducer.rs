//! The reducer of the forwarding path: events, deadlines and state.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::{
    ForwardEffect, ForwardEvent, ForwardOptions, Outcome, Reason, Response,
    attempts::{Attempt, Attempts},
    budget::Budget,
    delegate::{Peer, ZonePlan},
    directory::{DirectoryEffect, DirectoryReader},
    latency::Latencies,
    request::{Progress, Request, Unadmitted},
    table::CompiledTable,
    targets::{Failure, TargetTable},
    versions::Versions,
};
use crate::{
    event::{EventKind, LogEvent, forward as kinds},
    id::{
        AttemptId, ConfigVersion, InstanceId, RouteId, ServiceId, TargetId,
        Token, ZoneId,
    },
    time::Time,
    verdict::Verdict,
};

/// Typical latency that is assumed for a route without measurements.
const DEFAULT_LATENCY: Duration = Duration::from_millis(20);

/// Age from which the target list counts as outdated: a leaving target is to
/// get no new work after this time.
const OUTDATED_LIST_AGE: Duration = Duration::from_secs(3);

/// The state of the forwarding path.
#[derive(Clone, Debug)]
pub struct Forwarder {
    pub(super) options: ForwardOptions,
    pub(super) rng: Pcg32,
    /// Version of the configuration in force.
    pub(super) version: ConfigVersion,
    pub(super) table: Arc<CompiledTable>,
    pub(super) targets: TargetTable,
    pub(super) versions: Versions,
    reader: DirectoryReader,
    /// Whether the target list in use counts as outdated.
    list_is_outdated: bool,
    /// Requests in flight, sorted by token.
    pub(super) requests: Vec<Request>,
    /// Requests that need a token of the limit of their team, sorted by
    /// token.
    pub(super) unadmitted: Vec<Unadmitted>,
    pub(super) attempts: Attempts,
    /// Budgets for extra requests, sorted by service.
    budgets: Vec<(ServiceId, Budget)>,
    /// Recent latencies, sorted by route.
    pub(super) latencies: Vec<(RouteId, Latencies)>,
    /// Weighted round-robin credits of split routes, sorted by route.
    pub(super) split_credits: Vec<(RouteId, Vec<f64>)>,
    /// The other live entry instances, sorted by identifier.
    pub(super) peers: Vec<Peer>,
    /// Delegates that did not acknowledge a task, and the time until which
    /// they receive no new tasks.
    pub(super) avoided_delegates: Vec<(InstanceId, Time)>,
    /// Cached assignments of shards to zones, sorted by route.
    pub(super) zone_plans: Vec<(RouteId, ZonePlan)>,
    pub(super) own_id: InstanceId,
    pub(super) zone: ZoneId,
    /// Number of the last token from `allocate_task_token`.
    pub(super) last_task: u64,
    /// Random number added to the tokens of requests in the numbers of their
    /// tasks. Tokens start anew in each process, so that a delegate's answer
    /// to a request from before a restart would match one after it.
    task_offset: u64,
    serving: bool,
    /// Whether this instance holds its lease. While it shuts down, it still
    /// completes requests that it has accepted.
    pub(super) leased: bool,
    /// Time of the request that a control quorum last confirmed.
    pub(super) confirmed_at: Option<Time>,
    /// Whether requests with a key were refused for lack of a confirmation
    /// since the last one.
    pub(super) refuses_keys: bool,
    /// Effects of the current step.
    pub(super) out: Vec<ForwardEffect>,
}

impl Forwarder {
    /// Creates the state for the instance `own_id` in `zone`.
    pub fn new(
        own_id: InstanceId,
        zone: ZoneId,
        options: ForwardOptions,
        seed: u64,
    ) -> Forwarder {
        let lag = options.directory.lag;
        let mut rng = Pcg32::seed_from_u64(seed);
        let task_offset = rng.random();
        let first_request = rng.random::<u32>().into();
        Forwarder {
            rng,
            version: ConfigVersion(0),
            table: Arc::default(),
            targets: TargetTable::new(options.selection.clone(), zone, lag),
            versions: Versions::default(),
            reader: DirectoryReader::new(own_id, options.directory.clone())
                .with_first_request(first_request),
            list_is_outdated: false,
            requests: Vec::new(),
            unadmitted: Vec::new(),
            attempts: Attempts::default(),
            budgets: Vec::new(),
            latencies: Vec::new(),
            split_credits: Vec::new(),
            peers: Vec::new(),
            avoided_delegates: Vec::new(),
            zone_plans: Vec::new(),
            own_id,
            zone,
            last_task: 0,
            task_offset,
            serving: false,
            leased: false,
            confirmed_at: None,
            refuses_keys: false,
            out: Vec::new(),
            options,
        }
    }

    /// Returns the number of requests and tasks in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.unadmitted.len()
    }

    /// Returns the number of attempts that have not ended.
    pub fn open_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the targets and their observed state.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Returns whether any target list has been fetched.
    pub fn has_directory(&self) -> bool {
        self.reader.has_directory()
    }

    /// Returns the age of the target list in use or, if there is none, the
    /// time since one has been needed.
    pub fn list_wait(&self, now: Time) -> Option<Duration> {
        self.reader.wait(now)
    }

    /// Allocates a token under which the content of a task is stored.
    pub fn next_task_token(&mut self) -> Token {
        self.allocate_task_token()
    }

    /// Returns the number of the tasks of a request.
    pub fn task_number(&self, token: Token) -> u64 {
        token.0.wrapping_add(self.task_offset)
    }

    /// Returns the token of the request whose tasks have this number.
    pub(super) fn task_request(&self, number: u64) -> Token {
        Token(number.wrapping_sub(self.task_offset))
    }

    /// Handles one event and appends its effects to `out`.
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
                self.attempt_ended(now, attempt, outcome);
            }
            ForwardEvent::Configure { version, table, zones_out } => {
                self.version = version;
                self.targets.set_zones_out(now, zones_out);
                self.table = table;
                self.end_withdrawn(now);
            }
            ForwardEvent::Rollouts(rollouts) => {
                self.set_rollouts(now, rollouts);
            }
            ForwardEvent::Serving(serving) => self.serving = serving,
            ForwardEvent::Lease(leased) => self.leased = leased,
            ForwardEvent::Confirmed(at) => self.record_confirmation(now, at),
            ForwardEvent::EndRequests => self.end_requests(now),
            ForwardEvent::Peers(peers, instances) => {
                let in_zone = peers.iter().filter(|p| p.zone == self.zone);
                self.reader.set_peers(
                    peers.iter().map(|p| p.id).collect(),
                    in_zone.map(|p| p.id).collect(),
                );
                self.peers = peers;
                self.targets.set_instances(instances);
            }
            ForwardEvent::DirectoryRead(result) => {
                self.directory_read(now, result);
            }
            ForwardEvent::Shared(from, message) => {
                self.handle_delegate_message(now, from, message);
            }
            ForwardEvent::Unreachable(id) => {
                self.delegate_unreachable(now, id);
            }
            ForwardEvent::Directory(from, message) => {
                let mut effects = Vec::new();
                self.reader.handle_message(now, from, message, &mut effects);
                self.directory_effects(now, effects);
            }
            ForwardEvent::ShareTaken(token) => self.share_taken(now, token),
            ForwardEvent::ShareRefused(token, retry_after) => {
                self.share_refused(token, retry_after);
            }
            ForwardEvent::Tick => {}
        }
        self.tick(now);
        out.extend(self.out.drain(..));
    }

    /// Returns the time at which the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let check = self.requests.iter().map(|r| r.next_check).min();
        // The target list is not needed before a forwarding table is in force.
        let reader = (self.table.revision > 0)
            .then(|| self.reader.next_deadline())
            .flatten();
        let report = self.versions.next_report();
        [check, reader, report, self.attempts.next_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    fn tick(&mut self, now: Time) {
        if self.table.revision > 0 {
            let mut effects = Vec::new();
            self.reader.tick(now, &mut effects);
            self.directory_effects(now, effects);
            self.check_list_age(now);
        }
        self.report_rollouts(now);
        for id in self.attempts.overdue(now) {
            self.cancel(now, id);
        }
        let due: Vec<Token> = self
            .requests
            .iter()
            .filter(|r| r.next_check <= now)
            .map(|r| r.token)
            .collect();
        for token in due {
            self.check_request(now, token);
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
        self.reader.read_finished(now, result.ok(), &mut effects);
        self.directory_effects(now, effects);
    }

    /// Logs when the target list becomes outdated, and when that has ended.
    fn check_list_age(&mut self, now: Time) {
        let Some(age) = self.reader.wait(now) else { return };
        let is_outdated = age >= OUTDATED_LIST_AGE;
        if is_outdated != self.list_is_outdated {
            self.list_is_outdated = is_outdated;
            let detail = format!(
                "outdated={is_outdated} age_ms={} targets={}",
                age.as_millis(),
                self.targets.targets().len()
            );
            self.log(&kinds::DIRECTORY_OUTDATED, detail);
        }
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

    /// Returns the reason for rejecting a new request, if there is one.
    pub(super) fn check_admission(&self) -> Result<(), Reason> {
        if !self.serving {
            Err(Reason::NotServing)
        } else if self.in_flight() >= self.options.max_in_flight {
            Err(Reason::Overload)
        } else {
            Ok(())
        }
    }

    /// Drops a request whose caller has disconnected and cancels its attempts.
    pub(super) fn caller_gone(&mut self, token: Token) {
        if self.remove_unadmitted(token).is_some() {
            self.out.push(ForwardEffect::DropShare(token));
            return;
        }
        let Some(index) = self.position(token) else { return };
        let request = self.requests.remove(index);
        self.cancel_delegations(&request, true);
        let open: Vec<AttemptId> =
            self.attempts.of_request(token).map(|a| a.id).collect();
        for id in open {
            if let Some(attempt) = self.attempts.remove(id) {
                self.targets.attempt_ended(attempt.target, id);
            }
            self.out.push(ForwardEffect::Cancel(id));
        }
    }

    /// Cancels a superseded attempt and records the latency that it showed.
    pub(super) fn cancel(&mut self, now: Time, id: AttemptId) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        let silent_after =
            self.targets.silent_after(self.typical_latency(attempt.route));
        if now.since(attempt.sent_at) >= silent_after {
            // The attempt is superseded, but the target had enough time to
            // answer it.
            self.record_failure(now, attempt.target, Failure::Silent);
        }
        self.record_slowness(now, &attempt);
        self.record_version_cancelled(now, &attempt);
        self.targets.attempt_ended(attempt.target, id);
        self.out.push(ForwardEffect::Cancel(id));
    }

    /// Records the age of an unanswered attempt as a lower bound of the
    /// target's latency.
    fn record_slowness(&mut self, now: Time, attempt: &Attempt) {
        let typical = self.typical_latency(attempt.route);
        let age = now.since(attempt.sent_at);
        let relative = age.as_secs_f64() / typical.as_secs_f64();
        if relative > 1.0 {
            self.targets.record_latency(now, attempt.target, relative);
        }
    }

    fn attempt_ended(&mut self, now: Time, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        self.targets.attempt_ended(attempt.target, id);
        if self.options.log_debug {
            self.log_ended(now, &attempt, outcome);
        }
        self.record_outcome(now, &attempt, outcome);
        let Some(index) = self.position(attempt.token) else { return };
        let request = &mut self.requests[index];
        let shard = &mut request.shards[attempt.shard];
        shard.open = shard.open.saturating_sub(1);
        match outcome {
            Outcome::Refused | Outcome::Replaced => shard.refused += 1,
            Outcome::Unreachable | Outcome::Withheld => {
                shard.refused += 1;
                if attempt.extra {
                    let service = shard.service;
                    self.budget_mut(service).refund();
                }
            }
            Outcome::Success | Outcome::Failure | Outcome::Broken => {
                shard.may_have_run = true;
            }
        }
        let shard = &mut self.requests[index].shards[attempt.shard];
        if outcome == Outcome::Failure {
            shard.failure = Some(id);
        }
        if !shard.is_pending() {
            return;
        }
        if outcome == Outcome::Success {
            shard.progress = Progress::Answered(id);
            self.cancel_shard_later(now, attempt.token, attempt.shard);
        } else {
            self.retry(now, attempt.token, attempt.shard);
        }
        self.try_complete(now, attempt.token);
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

    /// Updates the statistics of a target with the outcome of an attempt.
    fn record_outcome(
        &mut self,
        now: Time,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        let target = attempt.target;
        self.record_version_outcome(now, attempt, outcome);
        match outcome {
            Outcome::Success => {
                let latency = now.since(attempt.sent_at);
                let typical =
                    self.typical_latency(attempt.route).as_secs_f64();
                let relative = latency.as_secs_f64() / typical;
                self.targets.record_latency(now, target, relative);
                self.latencies_mut(attempt.route).add(latency);
                self.targets.record_success(now, target);
            }
            Outcome::Replaced => {
                self.targets.mark_replaced(target);
                self.log_target(&kinds::TARGET_REPLACED, target, "");
            }
            Outcome::Unreachable => {
                self.targets.record_connection_refused(now, target);
                self.log_target(&kinds::TARGET_UNREACHABLE, target, "");
            }
            Outcome::Refused => {
                self.record_failure(now, target, Failure::Refused);
            }
            Outcome::Failure | Outcome::Broken => {
                self.record_failure(now, target, Failure::Answered);
            }
            Outcome::Withheld => {}
        }
    }

    fn record_failure(
        &mut self,
        now: Time,
        target: TargetId,
        failure: Failure,
    ) {
        if let Some(pause) = self.targets.record_failure(now, target, failure)
        {
            let detail =
                format!(" pause_ms={} failure={failure:?}", pause.as_millis());
            self.log_target(&kinds::TARGET_PAUSED, target, &detail);
        }
    }

    /// Schedules the cancellation of the other attempts of an answered shard.
    /// The delay lets them finish, because a cancellation closes the
    /// connection.
    pub(super) fn cancel_shard_later(
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

    /// Returns the median latency of the route's shard requests, or a default
    /// if it is unknown.
    pub(super) fn typical_latency(&self, route: RouteId) -> Duration {
        self.latencies_of(route)
            .and_then(Latencies::median)
            .unwrap_or(DEFAULT_LATENCY)
    }

    pub(super) fn latencies_of(&self, route: RouteId) -> Option<&Latencies> {
        let i = self.latencies.binary_search_by_key(&route, |l| l.0).ok()?;
        Some(&self.latencies[i].1)
    }

    pub(super) fn latencies_mut(&mut self, route: RouteId) -> &mut Latencies {
        entry_or_default(&mut self.latencies, route)
    }

    pub(super) fn budget_mut(&mut self, service: ServiceId) -> &mut Budget {
        entry_or_default(&mut self.budgets, service)
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
        let index = self.position(token)?;
        Some(&mut self.requests[index])
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

/// Returns the value of `key` in a sorted vector, inserting the default if it
/// is missing.
fn entry_or_default<K: Ord + Copy, V: Default>(
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
