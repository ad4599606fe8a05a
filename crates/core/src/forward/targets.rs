//! What an instance knows of the listed targets, and the choice among them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::directory::{Directory, ListedTarget};
use crate::{
    id::{AttemptId, ServiceId, TargetId, ZoneId},
    time::Time,
};

/// Limits and weights of the choice of a target.
#[derive(Clone, Debug)]
pub struct TargetChoice {
    /// Part of a target's connections that all instances together use. The
    /// rest is left for instances that this one does not know of yet.
    pub connection_part: f64,
    /// Weight of a new latency in the slowness of a target, 0 to 1.
    pub sample_weight: f64,
    /// Targets may pause for this long now and then, which does not make
    /// them slow.
    pub usual_pause: Duration,
    /// Time in which half of what is known of a target's slowness is
    /// forgotten.
    pub forget_half: Duration,
    /// An attempt that is unanswered for this many typical latencies shows a
    /// target that is paused or silent.
    pub stall_factor: u32,
    /// Shortest time after which an unanswered attempt shows that.
    pub stall_min: Duration,
    /// An attempt that is unanswered for this many typical latencies shows a
    /// target that does not answer at all.
    pub silent_factor: u32,
    /// Shortest time after which an unanswered attempt shows that.
    pub silent_min: Duration,
    /// First pause after a failure of a target; doubles with each further
    /// one.
    pub pause_first: Duration,
    /// Longest pause after failures.
    pub pause_max: Duration,
    /// Added to the score of a target in another zone, as slowness.
    pub other_zone: f64,
    /// Weight of a new outcome in the failure rate of a target, 0 to 1.
    pub failure_sample: f64,
    /// Added to the score of a target that always fails, as slowness.
    pub failure_weight: f64,
}

impl Default for TargetChoice {
    fn default() -> TargetChoice {
        TargetChoice {
            connection_part: 0.85,
            sample_weight: 0.3,
            usual_pause: Duration::from_millis(200),
            forget_half: Duration::from_secs(2),
            stall_factor: 3,
            stall_min: Duration::from_millis(25),
            silent_factor: 8,
            // Three usual pauses of a target.
            silent_min: Duration::from_millis(450),
            pause_first: Duration::from_millis(100),
            pause_max: Duration::from_secs(2),
            // Above the spread of the latencies of equal targets, so that
            // only a slow or busy target is passed over for one in another
            // zone.
            other_zone: 0.8,
            // The same as of a latency.
            failure_sample: 0.3,
            // One recent failure weighs more than another zone.
            failure_weight: 4.0,
        }
    }
}

/// A latency above this many typical ones is that of a slow or paused
/// target.
const SLOW_SAMPLE: f64 = 1.5;

/// How a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It answered with a failure, or its answer broke off. Other requests
    /// may still succeed.
    Answered,
    /// It turned a request away.
    Refused,
    /// It did not answer.
    Silent,
}

/// An incarnation of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Identifier, by its name.
    pub id: TargetId,
    /// Name of the incarnation.
    pub name: Arc<str>,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    leaving: bool,
    warm_at: Time,
    /// Another incarnation answers at its address.
    replaced: bool,
    /// Unanswered attempts and when they were sent, oldest first.
    open: Vec<(AttemptId, Time)>,
    /// Latency relative to the typical one of its service.
    slowness: f64,
    sampled_at: Time,
    /// When a slow answer last counted.
    slow_at: Option<Time>,
    failures: u32,
    /// Part of the recent requests that failed at it.
    failure_rate: f64,
    failure_at: Time,
    paused_until: Time,
    /// What the pause is for.
    paused_for: Failure,
    /// It refused a connection: a reading of the list that began after this
    /// has to confirm it, because it may come back cold.
    confirm_after: Option<Time>,
}

impl Target {
    /// Whether an attempt is unanswered for longer than this.
    fn waits_longer(&self, now: Time, limit: Duration) -> bool {
        self.open.first().is_some_and(|o| now.since(o.1) > limit)
    }
}

/// How a target can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Candidate {
    /// It can take the request.
    Usable,
    /// It is paused because it fails a part of its requests.
    Failing,
    /// All connections to it are taken.
    Full,
    /// It must not be asked before this time.
    Excluded(Time),
}

/// Why no target can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// Targets are usable, but all connections to them are taken.
    Busy,
    /// No target is usable; one may be at this time.
    Until(Time),
}

/// All listed targets.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    choice: TargetChoice,
    zone: ZoneId,
    instances: usize,
    /// Sorted by identifier.
    targets: Vec<Target>,
    /// Targets of each service, sorted.
    by_service: Vec<(ServiceId, TargetId)>,
    read_at: Time,
    lag: Duration,
    /// Zones that take no new work, sorted.
    zones_out: Vec<ZoneId>,
    /// Zones that came back, and when; their targets may be cold.
    zones_back: Vec<(ZoneId, Time)>,
}

impl TargetTable {
    /// Builds an empty table for an instance in `zone`. The platform's list
    /// lags behind by up to `lag`.
    pub fn new(
        choice: TargetChoice,
        zone: ZoneId,
        lag: Duration,
    ) -> TargetTable {
        TargetTable {
            choice,
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

    /// Number of instances that share the targets.
    pub fn instances(&self) -> usize {
        self.instances
    }

    /// Sets the zones that take no new work.
    pub fn set_zones_out(&mut self, now: Time, mut out: Vec<ZoneId>) {
        out.sort_unstable();
        for &zone in &self.zones_out {
            if out.binary_search(&zone).is_err() {
                self.zones_back.retain(|z| z.0 != zone);
                self.zones_back.push((zone, now));
            }
        }
        self.zones_out = out;
    }

    /// Takes over a reading of the list whose call began at `read_at`.
    pub fn install(&mut self, read_at: Time, directory: Option<&Directory>) {
        self.read_at = self.read_at.max(read_at);
        if let Some(directory) = directory {
            let before = std::mem::take(&mut self.targets);
            for listed in &directory.targets {
                self.add(read_at, listed, &before);
            }
            self.by_service =
                self.targets.iter().map(|t| (t.service, t.id)).collect();
            self.by_service.sort_unstable();
        }
        let (read_at, lag) = (self.read_at, self.lag);
        self.zones_back.retain(|z| read_at < z.1 + lag);
        for target in &mut self.targets {
            let confirmed =
                target.confirm_after.is_some_and(|at| at <= read_at);
            if confirmed {
                target.confirm_after = None;
            }
        }
    }

    fn add(&mut self, read_at: Time, listed: &ListedTarget, old: &[Target]) {
        let id = TargetId::from_name(&listed.name);
        let known = old
            .binary_search_by_key(&id, |t| t.id)
            .ok()
            .map(|i| &old[i])
            .filter(|t| t.address == listed.address);
        let mut target = known.cloned().unwrap_or_else(|| Target {
            id,
            name: listed.name.as_str().into(),
            service: ServiceId::from_name(&listed.service),
            address: listed.address,
            zone: ZoneId::from_name(&listed.availability_zone),
            slots: listed.slots.max(1),
            leaving: false,
            warm_at: Time::ZERO,
            replaced: false,
            open: Vec::new(),
            slowness: 1.0,
            sampled_at: Time::ZERO,
            slow_at: None,
            failures: 0,
            failure_rate: 0.0,
            failure_at: Time::ZERO,
            paused_until: Time::ZERO,
            paused_for: Failure::Answered,
            confirm_after: None,
        });
        target.leaving = listed.leaving;
        if listed.cold_ms > 0 {
            let cold = Duration::from_millis(listed.cold_ms.into());
            target.warm_at = target.warm_at.max(read_at + cold);
        }
        match self.targets.binary_search_by_key(&id, |t| t.id) {
            Ok(i) => self.targets[i] = target,
            Err(i) => self.targets.insert(i, target),
        }
    }

    /// The target with this identifier.
    pub fn get(&self, id: TargetId) -> Option<&Target> {
        let i = self.targets.binary_search_by_key(&id, |t| t.id).ok()?;
        Some(&self.targets[i])
    }

    fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        let i = self.targets.binary_search_by_key(&id, |t| t.id).ok()?;
        Some(&mut self.targets[i])
    }

    /// All targets, sorted by identifier.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Targets of a service.
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

    /// Zones in which the service has a usable target, sorted.
    pub fn usable_zones(&self, now: Time, service: ServiceId) -> Vec<ZoneId> {
        let mut zones: Vec<ZoneId> = self
            .of_service(service)
            .filter(|t| self.unusable_until(now, t).is_none())
            .map(|t| t.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Requests that this instance may have at one target at a time.
    fn share(&self, target: &Target, connections: u32) -> usize {
        let all = f64::from(connections) * self.choice.connection_part;
        let share = all / self.instances as f64;
        (share as usize).clamp(1, 2 * target.slots as usize)
    }

    /// Chooses a target for a request to `service`, other than `tried`. One
    /// that fails a part of its requests is better than none: where nothing
    /// else is left, it is asked in spite of its pause.
    ///
    /// `typical` is the usual latency of such a request, `random` a number
    /// from 0 to 1 that decides between equals.
    pub fn choose(
        &self,
        now: Time,
        service: ServiceId,
        connections: u32,
        typical: Duration,
        tried: &[TargetId],
        random: f64,
    ) -> Result<TargetId, Unavailable> {
        let mut best: Option<(f64, TargetId)> = None;
        let mut failing: Option<(Time, TargetId)> = None;
        let mut busy = false;
        let mut until = now + self.choice.pause_max;
        let mut turn = random;
        let targets = self.of_service(service);
        for target in targets.filter(|t| !tried.contains(&t.id)) {
            match self.candidate(now, target, connections, typical) {
                Candidate::Usable => {
                    // A different small number for each target.
                    turn = (turn + 0.618) % 1.0;
                    let score = self.score(now, target, typical) + 0.2 * turn;
                    if best.is_none_or(|(s, _)| score < s) {
                        best = Some((score, target.id));
                    }
                }
                Candidate::Failing => {
                    let pause = (target.paused_until, target.id);
                    failing = failing.min(Some(pause)).or(Some(pause));
                }
                Candidate::Full => busy = true,
                Candidate::Excluded(at) => until = until.min(at),
            }
        }
        match best {
            Some((_, id)) => Ok(id),
            None if busy => Err(Unavailable::Busy),
            None => failing.map(|f| f.1).ok_or(Unavailable::Until(until)),
        }
    }

    /// How a target can serve a request now.
    fn candidate(
        &self,
        now: Time,
        target: &Target,
        connections: u32,
        typical: Duration,
    ) -> Candidate {
        if let Some(at) = self.excluded_until(now, target) {
            return Candidate::Excluded(at);
        }
        if self.is_silent(now, target, typical) {
            return Candidate::Excluded(now + self.choice.pause_first);
        }
        let full = target.open.len() >= self.share(target, connections);
        let paused = target.paused_until > now;
        match (paused, full) {
            (false, false) => Candidate::Usable,
            (false, true) => Candidate::Full,
            (true, false) if target.paused_for == Failure::Answered => {
                Candidate::Failing
            }
            (true, _) => Candidate::Excluded(target.paused_until),
        }
    }

    /// When a target that is not used now may be used again.
    fn unusable_until(&self, now: Time, target: &Target) -> Option<Time> {
        let paused = target.paused_until > now;
        self.excluded_until(now, target)
            .or(paused.then_some(target.paused_until))
    }

    /// When a target that must not be used now may be usable again.
    fn excluded_until(&self, now: Time, target: &Target) -> Option<Time> {
        let never = now + self.choice.pause_max;
        let out = self.zones_out.binary_search(&target.zone).is_ok();
        if target.leaving || target.replaced || out {
            return Some(never);
        }
        if target.warm_at > now {
            return Some(target.warm_at);
        }
        let back = self.zones_back.iter().any(|z| z.0 == target.zone);
        (back || target.confirm_after.is_some()).then_some(never)
    }

    /// The lower, the sooner an answer is expected.
    fn score(&self, now: Time, target: &Target, typical: Duration) -> f64 {
        let queue = target.open.len() as f64 / f64::from(target.slots);
        let mut score = self.slowness(now, target) * (1.0 + queue);
        if target.zone != self.zone {
            score += self.choice.other_zone;
        }
        score += self.choice.failure_weight * self.failure_rate(now, target);
        if self.is_stalled(now, target, typical) {
            score += 10.0;
        }
        score
    }

    /// Slowness that fades while nothing new is known, so that a target that
    /// was slow is tried again.
    fn slowness(&self, now: Time, target: &Target) -> f64 {
        1.0 + (target.slowness - 1.0) * self.fade(now, target.sampled_at)
    }

    /// Failure rate that fades in the same way.
    fn failure_rate(&self, now: Time, target: &Target) -> f64 {
        target.failure_rate * self.fade(now, target.failure_at)
    }

    /// What is left of something that was learned at this time, 0 to 1.
    fn fade(&self, now: Time, learned_at: Time) -> f64 {
        let age = now.since(learned_at).as_secs_f64();
        0.5_f64.powf(age / self.choice.forget_half.as_secs_f64())
    }

    fn sample_failure(&mut self, now: Time, id: TargetId, failed: bool) {
        let weight = self.choice.failure_sample;
        let Some(target) = self.get(id) else { return };
        let before = self.failure_rate(now, target);
        let sample = if failed { 1.0 } else { 0.0 };
        let Some(target) = self.get_mut(id) else { return };
        target.failure_rate = before + weight * (sample - before);
        target.failure_at = now;
    }

    fn is_stalled(
        &self,
        now: Time,
        target: &Target,
        typical: Duration,
    ) -> bool {
        let limit =
            (typical * self.choice.stall_factor).max(self.choice.stall_min);
        target.waits_longer(now, limit)
    }

    fn is_silent(
        &self,
        now: Time,
        target: &Target,
        typical: Duration,
    ) -> bool {
        target.waits_longer(now, self.silent_after(typical))
    }

    /// Time after which a target that has not answered counts as silent.
    pub fn silent_after(&self, typical: Duration) -> Duration {
        (typical * self.choice.silent_factor).max(self.choice.silent_min)
    }

    /// Notes that an attempt was sent.
    pub fn sent(&mut self, now: Time, id: TargetId, attempt: AttemptId) {
        if let Some(target) = self.get_mut(id) {
            target.open.push((attempt, now));
        }
    }

    /// Notes that an attempt has ended, however.
    pub fn ended(&mut self, id: TargetId, attempt: AttemptId) {
        if let Some(target) = self.get_mut(id) {
            target.open.retain(|o| o.0 != attempt);
        }
    }

    /// Takes a latency, relative to the typical one, into account.
    pub fn sample(&mut self, now: Time, id: TargetId, relative: f64) {
        let weight = self.choice.sample_weight;
        let pause = self.choice.usual_pause;
        let Some(target) = self.get(id) else { return };
        let before = self.slowness(now, target);
        let slow = relative > SLOW_SAMPLE;
        // Every request that waits during one pause is slow, but only the
        // first of them says something new.
        let again = target.slow_at.is_some_and(|at| now.since(at) < pause);
        if slow && again {
            return;
        }
        let highest = 2.0 * before.max(SLOW_SAMPLE);
        let relative = relative.clamp(0.2, highest);
        let Some(target) = self.get_mut(id) else { return };
        target.slowness = before + weight * (relative - before);
        target.sampled_at = now;
        if slow {
            target.slow_at = Some(now);
        }
    }

    /// Notes a good answer.
    pub fn succeeded(&mut self, now: Time, id: TargetId) {
        self.sample_failure(now, id, false);
        if let Some(target) = self.get_mut(id) {
            target.failures = 0;
            target.paused_until = Time::ZERO;
        }
    }

    /// Notes a failed or refused request. Returns the pause if the target is
    /// passed over for a while.
    pub fn failed(
        &mut self,
        now: Time,
        id: TargetId,
        failure: Failure,
    ) -> Option<Duration> {
        if failure == Failure::Answered {
            self.sample_failure(now, id, true);
        }
        let (first, max) = (self.choice.pause_first, self.choice.pause_max);
        let target = self.get_mut(id)?;
        target.failures += 1;
        // A single failure says little of a target.
        let doubled = target.failures.checked_sub(2)?;
        let pause = (first * 2_u32.pow(doubled.min(8))).min(max);
        target.paused_until = now + pause;
        target.paused_for = failure;
        Some(pause)
    }

    /// Notes that a target accepts no connection. It may come back cold, so
    /// a later reading of the list has to confirm it.
    pub fn refused_connection(&mut self, now: Time, id: TargetId) {
        let confirm = now + self.lag;
        if let Some(target) = self.get_mut(id) {
            target.failures += 1;
            target.confirm_after = Some(confirm);
        }
    }

    /// Notes that another incarnation answers at the target's address.
    pub fn replaced(&mut self, id: TargetId) {
        if let Some(target) = self.get_mut(id) {
            target.replaced = true;
        }
    }
}
