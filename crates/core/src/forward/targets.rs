//! The state of the listed targets as an instance observes it, and the
//! selection of a target for a request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    directory::{Directory, ListedTarget},
    versions::{Side, VersionRules},
};
use crate::{
    id::{AttemptId, ServiceId, TargetId, ZoneId},
    time::Time,
};

/// Options of the selection of targets.
#[derive(Clone, Debug)]
pub struct SelectionOptions {
    /// Fraction of a target's connections that all instances together use.
    /// The remainder is reserved for instances that this one does not know of
    /// yet.
    pub connection_fraction: f64,
    /// Weight of a new latency in the moving average of a target's slowness,
    /// between 0 and 1.
    pub latency_weight: f64,
    /// Time within which only one slow latency of a target is recorded, so
    /// that an occasional pause of this length does not count as slowness.
    pub expected_pause: Duration,
    /// Half-life of the slowness and the failure rate of a target.
    pub half_life: Duration,
    /// Multiple of the typical latency after which an unanswered attempt
    /// marks its target as stalled. The target may be paused or silent, so
    /// others are preferred.
    pub stall_factor: u32,
    /// Lower bound of the time after which a target is stalled.
    pub stall_min: Duration,
    /// Multiple of the typical latency after which an unanswered attempt
    /// marks its target as silent. The target does not answer at all, so it is
    /// not used.
    pub silent_factor: u32,
    /// Lower bound of the time after which a target is silent.
    pub silent_min: Duration,
    /// First pause of a target after repeated failures. Each further failure
    /// doubles it.
    pub pause_initial: Duration,
    /// Longest pause of a target after failures.
    pub pause_max: Duration,
    /// Score penalty for a target in another zone, in units of slowness.
    pub other_zone_penalty: f64,
    /// Weight of a new outcome in the moving average of a target's failure
    /// rate, between 0 and 1.
    pub failure_rate_weight: f64,
    /// Score penalty for a target with a failure rate of 1, in units of
    /// slowness.
    pub failure_penalty: f64,
}

impl Default for SelectionOptions {
    fn default() -> SelectionOptions {
        SelectionOptions {
            connection_fraction: 0.85,
            latency_weight: 0.3,
            expected_pause: Duration::from_millis(200),
            half_life: Duration::from_secs(2),
            stall_factor: 3,
            stall_min: Duration::from_millis(25),
            silent_factor: 8,
            // Three times the usual pause of a target.
            silent_min: Duration::from_millis(450),
            pause_initial: Duration::from_millis(100),
            pause_max: Duration::from_secs(2),
            // More than the latency spread of equal targets, so that another
            // zone is preferred only to a slow or busy target.
            other_zone_penalty: 0.8,
            // The same as `latency_weight`.
            failure_rate_weight: 0.3,
            // One recent failure costs more than the other-zone penalty.
            failure_penalty: 4.0,
        }
    }
}

/// Latency, relative to the typical one, above which a target counts as slow
/// or paused.
const SLOW_RELATIVE_LATENCY: f64 = 1.5;

/// The kind of a target's failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target answered with an error, or the connection failed after the
    /// request was sent. Other requests may still succeed.
    Answered,
    /// The target refused a request.
    Refused,
    /// The target did not answer.
    Silent,
}

/// An incarnation of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Identifier, derived from the name.
    pub id: TargetId,
    /// Name of the incarnation.
    pub name: Arc<str>,
    /// Service to which the target belongs.
    pub service: ServiceId,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Version of the target's software; empty if the list has none.
    pub version: Arc<str>,
    /// Which requests the target's version may get.
    pub(super) side: Side,
    pub(super) leaving: bool,
    warm_at: Time,
    /// Whether another incarnation answers at the target's address.
    replaced: bool,
    /// Unanswered attempts with the time at which each was sent, oldest
    /// first.
    open: Vec<(AttemptId, Time)>,
    /// Moving average of the latency relative to the typical one of the
    /// route.
    slowness: f64,
    /// Time of the last update of `slowness`.
    slowness_at: Time,
    /// Time at which a slow latency was last recorded.
    slow_sample_at: Option<Time>,
    /// Number of failures since the last success.
    failures: u32,
    /// Moving average of the fraction of failed requests.
    failure_rate: f64,
    /// Time of the last update of `failure_rate`.
    failure_rate_at: Time,
    paused_until: Time,
    /// The failure that caused the last pause.
    pause_cause: Failure,
    /// Set after a refused connection. The target may return cold, so it is
    /// not used before it is on a target list whose call began at this time or
    /// later.
    confirm_after: Option<Time>,
}

impl Target {
    /// Returns the number of unanswered attempts of this instance.
    pub(super) fn open_attempts(&self) -> u64 {
        self.open.len() as u64
    }

    /// Returns whether an attempt has been unanswered for longer than `limit`.
    fn has_waited_longer(&self, now: Time, limit: Duration) -> bool {
        self.open.first().is_some_and(|o| now.since(o.1) > limit)
    }
}

/// The availability of a target for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Availability {
    /// The target can take the request.
    Usable,
    /// The target is paused because some of its requests fail.
    Failing,
    /// This instance uses its full share of the target's connections.
    Full,
    /// The target must not be used before this time.
    Excluded(Time),
}

/// The reason why no target can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// Some targets are usable, but no connection to them is free.
    Busy,
    /// No target is usable. One may become usable at this time.
    Until(Time),
}

/// All listed targets, with their observed state.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    options: SelectionOptions,
    zone: ZoneId,
    /// Number of instances that share the targets.
    instances: usize,
    /// Sorted by identifier.
    targets: Vec<Target>,
    /// Targets of each service, sorted.
    by_service: Vec<(ServiceId, TargetId)>,
    /// Time at which the call that fetched the last target list began.
    read_at: Time,
    /// Time by which the target list may lag behind the platform's state.
    lag: Duration,
    /// Zones that receive no new requests, sorted.
    zones_out: Vec<ZoneId>,
    /// Zones that receive new requests again, and since when. Their targets
    /// may be cold until a target list confirms them.
    returned_zones: Vec<(ZoneId, Time)>,
    /// Rules for the versions of targets; `None` if versions decide nothing.
    version_rules: Option<VersionRules>,
}

impl TargetTable {
    /// Builds an empty table for an instance in `zone`. The target list lags
    /// behind the platform's state by up to `lag`.
    pub fn new(
        options: SelectionOptions,
        zone: ZoneId,
        lag: Duration,
    ) -> TargetTable {
        TargetTable {
            options,
            zone,
            lag,
            instances: 1,
            ..TargetTable::default()
        }
    }

    /// Sets the number of instances that share the targets' connections.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Returns the number of instances that share the targets.
    pub fn instances(&self) -> usize {
        self.instances
    }

    /// Sets the zones that receive no new requests.
    pub fn set_zones_out(&mut self, now: Time, mut out: Vec<ZoneId>) {
        out.sort_unstable();
        for &zone in &self.zones_out {
            if out.binary_search(&zone).is_err() {
                self.returned_zones.retain(|z| z.0 != zone);
                self.returned_zones.push((zone, now));
            }
        }
        self.zones_out = out;
    }

    /// Installs the target list that a call begun at `read_at` fetched;
    /// `None` if the list is unchanged.
    pub fn install(&mut self, read_at: Time, directory: Option<&Directory>) {
        self.read_at = self.read_at.max(read_at);
        if let Some(directory) = directory {
            let previous = std::mem::take(&mut self.targets);
            for listed in &directory.targets {
                self.add_listed(read_at, listed, &previous);
            }
            self.by_service =
                self.targets.iter().map(|t| (t.service, t.id)).collect();
            self.by_service.sort_unstable();
            self.apply_version_rules();
        }
        let (read_at, lag) = (self.read_at, self.lag);
        self.returned_zones.retain(|z| read_at < z.1 + lag);
        for target in &mut self.targets {
            let confirmed =
                target.confirm_after.is_some_and(|at| at <= read_at);
            if confirmed {
                target.confirm_after = None;
            }
        }
    }

    fn add_listed(
        &mut self,
        read_at: Time,
        listed: &ListedTarget,
        previous: &[Target],
    ) {
        let id = TargetId::from_name(&listed.name);
        let known = previous
            .binary_search_by_key(&id, |t| t.id)
            .ok()
            .map(|i| &previous[i])
            .filter(|t| t.address == listed.address);
        let mut target = known.cloned().unwrap_or_else(|| Target {
            id,
            name: listed.name.as_str().into(),
            service: ServiceId::from_name(&listed.service),
            address: listed.address,
            zone: ZoneId::from_name(&listed.availability_zone),
            slots: listed.slots.max(1),
            version: listed.version.as_str().into(),
            side: Side::Open,
            leaving: false,
            warm_at: Time::ZERO,
            replaced: false,
            open: Vec::new(),
            slowness: 1.0,
            slowness_at: Time::ZERO,
            slow_sample_at: None,
            failures: 0,
            failure_rate: 0.0,
            failure_rate_at: Time::ZERO,
            paused_until: Time::ZERO,
            pause_cause: Failure::Answered,
            confirm_after: None,
        });
        target.leaving = listed.leaving;
        if *target.version != *listed.version {
            target.version = listed.version.as_str().into();
        }
        if listed.cold_ms > 0 {
            let cold = Duration::from_millis(listed.cold_ms.into());
            target.warm_at = target.warm_at.max(read_at + cold);
        }
        match self.targets.binary_search_by_key(&id, |t| t.id) {
            Ok(i) => self.targets[i] = target,
            Err(i) => self.targets.insert(i, target),
        }
    }

    /// Sets the rules for the versions of targets.
    pub(super) fn set_version_rules(&mut self, rules: VersionRules) {
        self.version_rules = Some(rules);
        self.apply_version_rules();
    }

    /// Returns the rules for the versions of targets, if they are in force.
    pub(super) fn version_rules(&self) -> Option<&VersionRules> {
        self.version_rules.as_ref()
    }

    fn apply_version_rules(&mut self) {
        let Some(mut rules) = self.version_rules.take() else { return };
        let services: Vec<ServiceId> = self
            .by_service
            .chunk_by(|a, b| a.0 == b.0)
            .map(|targets| targets[0].0)
            .collect();
        for service in services {
            let targets: Vec<&Target> = self.of_service(service).collect();
            let sides = rules.sides(service, &targets);
            for (id, side) in sides {
                if let Some(target) = self.get_mut(id) {
                    target.side = side;
                }
            }
        }
        self.version_rules = Some(rules);
    }

    /// Returns the target with this identifier.
    pub fn get(&self, id: TargetId) -> Option<&Target> {
        let i = self.targets.binary_search_by_key(&id, |t| t.id).ok()?;
        Some(&self.targets[i])
    }

    fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        let i = self.targets.binary_search_by_key(&id, |t| t.id).ok()?;
        Some(&mut self.targets[i])
    }

    /// Returns all targets, sorted by identifier.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns the targets of a service.
    pub fn of_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = &Target> {
        let start = self.by_service.partition_point(|s| s.0 < service);
        self.by_service[start..]
            .iter()
            .take_while(move |s| s.0 == service)
            .filter_map(|s| self.get(s.1))
    }

    /// Returns the zones in which the service has a usable target, sorted.
    pub fn usable_zones(&self, now: Time, service: ServiceId) -> Vec<ZoneId> {
        let mut zones: Vec<ZoneId> = self
            .of_service(service)
            .filter(|t| t.side != Side::Probe)
            .filter(|t| self.unavailable_until(now, t).is_none())
            .map(|t| t.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the number of requests that this instance may have open at the
    /// target.
    fn connection_limit(&self, target: &Target, connections: u32) -> usize {
        let total = f64::from(connections) * self.options.connection_fraction;
        let share = total / self.instances as f64;
        (share as usize).clamp(1, 2 * target.slots as usize)
    }

    /// Chooses a target for a request to `service`, except those in `tried`.
    /// Targets in reserve are used if no other is usable.
    ///
    /// `typical` is the typical latency of such a request, and `random` a
    /// number between 0 and 1 that breaks ties.
    pub fn choose(
        &self,
        now: Time,
        service: ServiceId,
        connections: u32,
        typical: Duration,
        tried: &[TargetId],
        random: f64,
    ) -> Result<TargetId, Unavailable> {
        let choose = |side| {
            let targets = self
                .of_service(service)
                .filter(|t| t.side == side && !tried.contains(&t.id));
            self.choose_among(now, targets, connections, typical, random)
        };
        let braked = self
            .version_rules
            .as_ref()
            .is_some_and(|r| r.is_braked(now, service));
        if braked && let Ok(id) = choose(Side::Reserve) {
            return Ok(id);
        }
        match choose(Side::Open) {
            Err(Unavailable::Until(at)) => match choose(Side::Reserve) {
                Err(Unavailable::Until(other)) => {
                    Err(Unavailable::Until(at.min(other)))
                }
                reserve => reserve,
            },
            open => open,
        }
    }

    /// Chooses a target of the version that is rolled out, for a request that
    /// may go to it.
    pub(super) fn choose_probe(
        &self,
        now: Time,
        service: ServiceId,
        connections: u32,
        typical: Duration,
        random: f64,
    ) -> Result<TargetId, Unavailable> {
        let targets =
            self.of_service(service).filter(|t| t.side == Side::Probe);
        self.choose_among(now, targets, connections, typical, random)
    }

    /// Chooses the target with the lowest score. If no target is usable or
    /// busy, a target that is paused because some of its requests fail is
    /// chosen nevertheless: it is better than none.
    fn choose_among<'a>(
        &self,
        now: Time,
        targets: impl Iterator<Item = &'a Target>,
        connections: u32,
        typical: Duration,
        random: f64,
    ) -> Result<TargetId, Unavailable> {
        let mut best: Option<(f64, TargetId)> = None;
        let mut failing: Option<(Time, TargetId)> = None;
        let mut busy = false;
        let mut until = now + self.options.pause_max;
        let mut jitter = random;
        for target in targets {
            match self.availability(now, target, connections, typical) {
                Availability::Usable => {
                    // Adds a different small number to the score of each
                    // target.
                    jitter = (jitter + 0.618) % 1.0;
                    let score =
                        self.score(now, target, typical) + 0.2 * jitter;
                    if best.is_none_or(|(s, _)| score < s) {
                        best = Some((score, target.id));
                    }
                }
                Availability::Failing => {
                    let pause = (target.paused_until, target.id);
                    failing = failing.min(Some(pause)).or(Some(pause));
                }
                Availability::Full => busy = true,
                Availability::Excluded(at) => until = until.min(at),
            }
        }
        match best {
            Some((_, id)) => Ok(id),
            None if busy => Err(Unavailable::Busy),
            None => failing.map(|f| f.1).ok_or(Unavailable::Until(until)),
        }
    }

    /// Returns the availability of a target for a request.
    fn availability(
        &self,
        now: Time,
        target: &Target,
        connections: u32,
        typical: Duration,
    ) -> Availability {
        if let Some(at) = self.excluded_until(now, target) {
            return Availability::Excluded(at);
        }
        if self.is_silent(now, target, typical) {
            return Availability::Excluded(now + self.options.pause_initial);
        }
        let full =
            target.open.len() >= self.connection_limit(target, connections);
        let paused = target.paused_until > now;
        match (paused, full) {
            (false, false) => Availability::Usable,
            (false, true) => Availability::Full,
            (true, false) if target.pause_cause == Failure::Answered => {
                Availability::Failing
            }
            (true, _) => Availability::Excluded(target.paused_until),
        }
    }

    /// Returns the time until which a target is excluded or paused, if it is.
    fn unavailable_until(&self, now: Time, target: &Target) -> Option<Time> {
        let paused = target.paused_until > now;
        self.excluded_until(now, target)
            .or(paused.then_some(target.paused_until))
    }

    /// Returns the time until which a target must not be used, if there is
    /// one. If that time is unknown, it is the longest pause.
    fn excluded_until(&self, now: Time, target: &Target) -> Option<Time> {
        let unknown = now + self.options.pause_max;
        let zone_out = self.zones_out.binary_search(&target.zone).is_ok();
        let barred = target.side == Side::Barred;
        if target.leaving || target.replaced || zone_out || barred {
            return Some(unknown);
        }
        if target.warm_at > now {
            return Some(target.warm_at);
        }
        let returned = self.returned_zones.iter().any(|z| z.0 == target.zone);
        (returned || target.confirm_after.is_some()).then_some(unknown)
    }

    /// Returns the score of a target. A lower score means an earlier expected
    /// answer.
    fn score(&self, now: Time, target: &Target, typical: Duration) -> f64 {
        let queue = target.open.len() as f64 / f64::from(target.slots);
        let mut score = self.slowness(now, target) * (1.0 + queue);
        if target.zone != self.zone {
            score += self.options.other_zone_penalty;
        }
        score += self.options.failure_penalty * self.failure_rate(now, target);
        if self.is_stalled(now, target, typical) {
            score += 10.0;
        }
        score
    }

    /// Returns the slowness of a target, which decays towards 1 without new
    /// latencies, so that a target that was slow is tried again.
    fn slowness(&self, now: Time, target: &Target) -> f64 {
        1.0 + (target.slowness - 1.0) * self.decay(now, target.slowness_at)
    }

    /// Returns the failure rate of a target, which decays towards 0 without
    /// new outcomes.
    fn failure_rate(&self, now: Time, target: &Target) -> f64 {
        target.failure_rate * self.decay(now, target.failure_rate_at)
    }

    /// Returns the decay factor for a value updated at `updated_at`, between
    /// 0 and 1.
    fn decay(&self, now: Time, updated_at: Time) -> f64 {
        let age = now.since(updated_at).as_secs_f64();
        0.5_f64.powf(age / self.options.half_life.as_secs_f64())
    }

    fn update_failure_rate(&mut self, now: Time, id: TargetId, failed: bool) {
        let weight = self.options.failure_rate_weight;
        let Some(target) = self.get(id) else { return };
        let before = self.failure_rate(now, target);
        let sample = if failed { 1.0 } else { 0.0 };
        let Some(target) = self.get_mut(id) else { return };
        target.failure_rate = before + weight * (sample - before);
        target.failure_rate_at = now;
    }

    fn is_stalled(
        &self,
        now: Time,
        target: &Target,
        typical: Duration,
    ) -> bool {
        let limit =
            (typical * self.options.stall_factor).max(self.options.stall_min);
        target.has_waited_longer(now, limit)
    }

    fn is_silent(
        &self,
        now: Time,
        target: &Target,
        typical: Duration,
    ) -> bool {
        target.has_waited_longer(now, self.silent_after(typical))
    }

    /// Returns the time after which a target with an unanswered attempt counts
    /// as silent.
    pub fn silent_after(&self, typical: Duration) -> Duration {
        (typical * self.options.silent_factor).max(self.options.silent_min)
    }

    /// Records that an attempt was sent.
    pub fn attempt_sent(
        &mut self,
        now: Time,
        id: TargetId,
        attempt: AttemptId,
    ) {
        if let Some(target) = self.get_mut(id) {
            target.open.push((attempt, now));
        }
    }

    /// Records that an attempt has ended or was cancelled.
    pub fn attempt_ended(&mut self, id: TargetId, attempt: AttemptId) {
        if let Some(target) = self.get_mut(id) {
            target.open.retain(|o| o.0 != attempt);
        }
    }

    /// Adds a latency, relative to the typical one, to the slowness of a
    /// target.
    pub fn record_latency(&mut self, now: Time, id: TargetId, relative: f64) {
        let weight = self.options.latency_weight;
        let pause = self.options.expected_pause;
        let Some(target) = self.get(id) else { return };
        let before = self.slowness(now, target);
        let slow = relative > SLOW_RELATIVE_LATENCY;
        // All requests that wait during the same pause are slow. Only the
        // first of them counts, so that a single pause does not mark a healthy
        // target as slow.
        let same_pause =
            target.slow_sample_at.is_some_and(|at| now.since(at) < pause);
        if slow && same_pause {
            return;
        }
        let max_relative = 2.0 * before.max(SLOW_RELATIVE_LATENCY);
        let relative = relative.clamp(0.2, max_relative);
        let Some(target) = self.get_mut(id) else { return };
        target.slowness = before + weight * (relative - before);
        target.slowness_at = now;
        if slow {
            target.slow_sample_at = Some(now);
        }
    }

    /// Records a success, which ends a pause.
    pub fn record_success(&mut self, now: Time, id: TargetId) {
        self.update_failure_rate(now, id, false);
        if let Some(target) = self.get_mut(id) {
            target.failures = 0;
            target.paused_until = Time::ZERO;
        }
    }

    /// Records a failed, refused or unanswered request. Returns the duration
    /// of the pause if this pauses the target.
    pub fn record_failure(
        &mut self,
        now: Time,
        id: TargetId,
        failure: Failure,
    ) -> Option<Duration> {
        if failure == Failure::Answered {
            self.update_failure_rate(now, id, true);
        }
        let (first, max) =
            (self.options.pause_initial, self.options.pause_max);
        let target = self.get_mut(id)?;
        target.failures += 1;
        // A single failure is not a reliable sign of a faulty target.
        let doublings = target.failures.checked_sub(2)?;
        let pause = (first * 2_u32.pow(doublings.min(8))).min(max);
        target.paused_until = now + pause;
        target.pause_cause = failure;
        Some(pause)
    }

    /// Records that a target has refused a connection. It may return cold, so
    /// it is not used before a later target list confirms it.
    pub fn record_connection_refused(&mut self, now: Time, id: TargetId) {
        let confirm = now + self.lag;
        if let Some(target) = self.get_mut(id) {
            target.failures += 1;
            target.confirm_after = Some(confirm);
        }
    }

    /// Records that another incarnation answers at the target's address.
    pub fn mark_replaced(&mut self, id: TargetId) {
        if let Some(target) = self.get_mut(id) {
            target.replaced = true;
        }
    }
}
