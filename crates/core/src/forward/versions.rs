//! Versions of targets: which requests they may get during a roll-out, and
//! what is counted of their answers.

use std::{sync::Arc, time::Duration};

use rand::RngExt;

use super::{
    ForwardEffect, Forwarder, Outcome, attempts::Attempt, latency::Latencies,
    targets::Target,
};
use crate::{
    event::forward as kinds,
    id::{RouteId, ServiceId, TargetId},
    rollout::{
        Rollout, Stage,
        brake::{BRAKE_TIME, Brake},
        exposure::{Exposure, Pick},
        judge::Tally,
        report::{Report, Rows},
    },
    time::Time,
};

/// Interval between two reports of a running roll-out.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Multiple of the old version's median latency above which an answer is slow.
const SLOW_FACTOR: f64 = 3.0;

/// Which requests a target's version may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Side {
    /// All requests.
    #[default]
    Open,
    /// Only the requests that the bound of the roll-out allows.
    Probe,
    /// Requests for which no other target is usable.
    Reserve,
    /// None.
    Barred,
}

/// The version of a service without a running roll-out.
#[derive(Clone, Debug)]
struct Base {
    service: ServiceId,
    version: Arc<str>,
    /// Number of its targets while no other version was listed.
    targets: usize,
}

/// The rules for the versions of targets.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionRules {
    /// Last roll-out of each service, sorted by service.
    rollouts: Vec<(ServiceId, Rollout)>,
    /// Sorted by service.
    bases: Vec<Base>,
    /// Services whose new version this instance has braked, and until when.
    braked: Vec<(ServiceId, Time)>,
}

impl VersionRules {
    /// Returns the last roll-out of a service.
    pub(super) fn rollout(&self, service: ServiceId) -> Option<&Rollout> {
        let i = self.rollouts.binary_search_by_key(&service, |r| r.0).ok()?;
        Some(&self.rollouts[i].1)
    }

    fn running(&self, service: ServiceId) -> Option<&Rollout> {
        self.rollout(service).filter(|r| !r.stage.is_final())
    }

    /// Returns whether this instance sends nothing to the new version.
    pub(super) fn is_braked(&self, now: Time, service: ServiceId) -> bool {
        self.braked.iter().any(|b| b.0 == service && b.1 > now)
    }

    fn set_rollouts(&mut self, rollouts: Vec<Rollout>) {
        self.rollouts = rollouts
            .into_iter()
            .map(|r| (ServiceId::from_name(&r.service), r))
            .collect();
        self.rollouts.sort_by_key(|r| r.0);
    }

    /// Returns which requests each target of a service may get.
    pub(super) fn sides(
        &mut self,
        service: ServiceId,
        targets: &[&Target],
    ) -> Vec<(TargetId, Side)> {
        let rollout = self.rollout(service).cloned();
        let withdrawn = |version: &str| {
            rollout.as_ref().is_some_and(|r| {
                let replaced = r.stage == Stage::Completed
                    && version != r.version
                    && (r.replaces.is_empty()
                        || r.replaces.iter().any(|v| v == version));
                replaced || r.withdrawn.iter().any(|v| v == version)
            })
        };
        if let Some(r) = rollout.as_ref().filter(|r| !r.stage.is_final()) {
            let full = r.stage == Stage::Full;
            let side = |t: &&Target| match (*t.version == *r.version, full) {
                (true, true) => Side::Open,
                (true, false) => Side::Probe,
                _ if withdrawn(&t.version) => Side::Barred,
                (false, true) => Side::Reserve,
                (false, false) => Side::Open,
            };
            return targets.iter().map(|t| (t.id, side(t))).collect();
        }
        let base = rollout.as_ref().and_then(|r| match r.stage {
            Stage::Completed => Some(r.version.as_str()),
            _ => r.base.as_deref(),
        });
        let allowed: Vec<&Target> = targets
            .iter()
            .copied()
            .filter(|t| !withdrawn(&t.version))
            .collect();
        let waiting = self.waiting_versions(service, base, &allowed);
        let side = |t: &&Target| {
            let barred = withdrawn(&t.version) || waiting(&t.version);
            if barred { Side::Barred } else { Side::Open }
        };
        targets.iter().map(|t| (t.id, side(t))).collect()
    }

    /// Returns which versions wait for an order: those other than the base
    /// version, as long as none of its targets has left since it was the only
    /// one. Where targets are replaced one after the other by those of another
    /// version, without an order, both versions get requests.
    fn waiting_versions(
        &mut self,
        service: ServiceId,
        base: Option<&str>,
        allowed: &[&Target],
    ) -> impl Fn(&str) -> bool + use<> {
        let staying = |version: &str| {
            let of_version = |t: &&&Target| *t.version == *version;
            allowed.iter().filter(of_version).filter(|t| !t.leaving).count()
        };
        let found = self.bases.binary_search_by_key(&service, |b| b.service);
        let known = found.ok().map(|i| self.bases[i].version.clone());
        let present = base
            .map(Arc::from)
            .or(known.clone())
            .filter(|version| staying(version) > 0);
        let version = present.or_else(|| {
            // Names such as `v9` and `v10` are ordered by their length first.
            let by_size = |v: &&Arc<str>| {
                let name = std::cmp::Reverse((v.len(), (*v).clone()));
                (staying(v), name)
            };
            allowed.iter().map(|t| &t.version).max_by_key(by_size).cloned()
        });
        let mut shrunk = false;
        if let Some(version) = &version {
            let count = staying(version);
            let single = allowed.iter().all(|t| t.version == *version);
            let new =
                Base { service, version: version.clone(), targets: count };
            match found {
                Ok(i) if single || known.as_ref() != Some(version) => {
                    self.bases[i] = new;
                }
                Ok(i) => shrunk = count < self.bases[i].targets,
                Err(i) => self.bases.insert(i, new),
            }
        }
        move |other: &str| {
            !shrunk && version.as_ref().is_some_and(|v| **v != *other)
        }
    }
}

/// Counts of a running roll-out.
#[derive(Clone, Debug)]
struct Running {
    service: ServiceId,
    number: u64,
    exposure: Exposure,
    rows: Rows,
    /// Identifies the counts in reports.
    epoch: u64,
    sequence: u64,
    /// Whether anything was counted since the last report.
    changed: bool,
    /// Latencies of the old version by route.
    old_latencies: Vec<(RouteId, Latencies)>,
    brake: Brake,
}

impl Running {
    /// Returns the latency above which an answer is slow.
    fn slow_limit(&self, route: RouteId) -> Option<Duration> {
        let found =
            self.old_latencies.binary_search_by_key(&route, |l| l.0).ok()?;
        let median = self.old_latencies[found].1.median()?;
        Some(median.mul_f64(SLOW_FACTOR))
    }

    fn add_old_latency(&mut self, route: RouteId, latency: Duration) {
        let latencies = &mut self.old_latencies;
        match latencies.binary_search_by_key(&route, |l| l.0) {
            Ok(i) => latencies[i].1.add(latency),
            Err(i) => {
                let mut first = Latencies::default();
                first.add(latency);
                latencies.insert(i, (route, first));
            }
        }
    }
}

/// The running roll-outs at this instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    /// Sorted by service.
    running: Vec<Running>,
    report_at: Option<Time>,
}

impl Versions {
    /// Returns when the next report is due.
    pub(super) fn next_report(&self) -> Option<Time> {
        self.report_at
    }

    fn running(&mut self, service: ServiceId) -> Option<&mut Running> {
        let found = self.running.binary_search_by_key(&service, |r| r.service);
        found.ok().map(|i| &mut self.running[i])
    }
}

impl Forwarder {
    /// Puts the roll-outs of the configuration into force.
    pub(super) fn set_rollouts(&mut self, now: Time, rollouts: Vec<Rollout>) {
        if self.options.rollouts.is_none() {
            return;
        }
        let mut rules =
            self.targets.version_rules().cloned().unwrap_or_default();
        let mut running = Vec::new();
        for rollout in &rollouts {
            let service = ServiceId::from_name(&rollout.service);
            let stage = rules.rollout(service).map(|r| (r.number, r.stage));
            if stage != Some((rollout.number, rollout.stage)) {
                let detail = format!(
                    "service={:?} number={} version={:?} stage={} reason={:?}",
                    rollout.service,
                    rollout.number,
                    rollout.version,
                    rollout.stage.as_str(),
                    rollout.reason
                );
                self.log(&kinds::ROLLOUT_STAGE, detail);
            }
            if rollout.stage.is_final() {
                continue;
            }
            let known = self
                .versions
                .running(service)
                .filter(|r| r.number == rollout.number)
                .map(|r| r.clone());
            running.push(known.unwrap_or_else(|| Running {
                service,
                number: rollout.number,
                exposure: Exposure::new(self.rng.random()),
                rows: Rows::default(),
                epoch: self.rng.random(),
                sequence: 0,
                changed: false,
                // Until now the old version has given all answers.
                old_latencies: self.latencies.clone(),
                brake: Brake::default(),
            }));
        }
        running.sort_by_key(|r| r.service);
        rules.set_rollouts(rollouts);
        rules.braked.retain(|b| rules.rollouts.iter().any(|r| r.0 == b.0));
        self.versions.report_at =
            match (running.is_empty(), self.versions.report_at) {
                (true, _) => None,
                (false, at) => at.or(Some(now + REPORT_INTERVAL)),
            };
        self.versions.running = running;
        self.targets.set_version_rules(rules);
    }

    /// Returns a target of the version that is rolled out, if the attempt may
    /// go to it.
    pub(super) fn choose_probe(
        &mut self,
        now: Time,
        request: usize,
        shard: usize,
        extra: bool,
    ) -> Option<TargetId> {
        let request = &self.requests[request];
        let state = &request.shards[shard];
        let (service, route) = (state.service, request.route.id);
        let first = !extra && state.sent == 0;
        let may_probe = first && request.route.route.repeatable;
        let rules = self.targets.version_rules()?;
        let rollout = rules.running(service)?;
        let may_probe = may_probe && !rules.is_braked(now, service);
        let instances = self.targets.instances();
        let running = self.versions.running(service)?;
        if running.exposure.pick(rollout, instances, may_probe) != Pick::Probe
        {
            return None;
        }
        let connections = self.connections(service);
        let typical = self.typical_latency(route);
        let random = self.rng.random::<f64>();
        let chosen = self.targets.choose_probe(
            now,
            service,
            connections,
            typical,
            random,
        );
        chosen.ok()
    }

    /// Counts an attempt that was sent.
    pub(super) fn record_version_sent(
        &mut self,
        service: ServiceId,
        target: TargetId,
    ) {
        let is_new = self.is_new_version(service, target);
        if let (Some(is_new), Some(running)) =
            (is_new, self.versions.running(service))
        {
            running.exposure.record(is_new);
            running.changed = true;
        }
    }

    /// Returns whether a target is of the version that is rolled out, if there
    /// is a roll-out and the target is listed.
    fn is_new_version(
        &self,
        service: ServiceId,
        target: TargetId,
    ) -> Option<bool> {
        let rollout = self.targets.version_rules()?.running(service)?;
        let target = self.targets.get(target)?;
        Some(*target.version == *rollout.version)
    }

    /// Counts the end of an attempt for its version.
    pub(super) fn record_version_outcome(
        &mut self,
        now: Time,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        let failed = match outcome {
            Outcome::Success => false,
            Outcome::Failure | Outcome::Broken => true,
            // Nothing was run, which says nothing about the answers.
            Outcome::Refused
            | Outcome::Replaced
            | Outcome::Unreachable
            | Outcome::Withheld => return,
        };
        let latency = now.since(attempt.sent_at);
        self.record_version_answer(now, attempt, failed, latency);
    }

    /// Counts an attempt that was cancelled, if it was slow by then.
    pub(super) fn record_version_cancelled(
        &mut self,
        now: Time,
        attempt: &Attempt,
    ) {
        let Some(target) = self.targets.get(attempt.target) else { return };
        let service = target.service;
        let limit = self
            .versions
            .running(service)
            .and_then(|r| r.slow_limit(attempt.route));
        let age = now.since(attempt.sent_at);
        if limit.is_some_and(|limit| age > limit) {
            self.record_version_answer(now, attempt, false, age);
        }
    }

    fn record_version_answer(
        &mut self,
        now: Time,
        attempt: &Attempt,
        failed: bool,
        latency: Duration,
    ) {
        let Some(target) = self.targets.get(attempt.target) else { return };
        let service = target.service;
        let Some(is_new) = self.is_new_version(service, attempt.target) else {
            return;
        };
        let Some(running) = self.versions.running(service) else { return };
        let limit = running.slow_limit(attempt.route);
        let slow = !failed && limit.is_some_and(|limit| latency > limit);
        let tally = Tally {
            answers: 1,
            failures: u64::from(failed),
            slow: u64::from(slow),
        };
        running.changed = true;
        let target = is_new.then_some(attempt.target);
        running.rows.add(attempt.route, target, tally);
        if !is_new {
            if !failed {
                running.add_old_latency(attempt.route, latency);
            }
            running.brake.add_old(failed);
            return;
        }
        let Some(figures) = running.brake.add_new(failed) else { return };
        let number = running.number;
        // The control leader learns of it without delay.
        self.versions.report_at = Some(now);
        let Some(rules) = self.targets.version_rules() else { return };
        let mut rules = rules.clone();
        let detail = rules.rollout(service).map(|r| {
            format!(
                "service={:?} number={number} version={:?} {figures} \
                 brake_ms={}",
                r.service,
                r.version,
                BRAKE_TIME.as_millis()
            )
        });
        rules.braked.retain(|b| b.0 != service);
        rules.braked.push((service, now + BRAKE_TIME));
        self.targets.set_version_rules(rules);
        self.log(&kinds::ROLLOUT_BRAKE, detail.unwrap_or_default());
    }

    /// Reports the counts of the running roll-outs that have changed.
    pub(super) fn report_rollouts(&mut self, now: Time) {
        if self.versions.report_at.is_none_or(|at| at > now) {
            return;
        }
        self.versions.report_at = Some(now + REPORT_INTERVAL);
        let Some(rules) = self.targets.version_rules() else { return };
        for running in &mut self.versions.running {
            if !running.changed {
                continue;
            }
            let Some(rollout) = rules.running(running.service) else {
                continue;
            };
            running.changed = false;
            running.sequence += 1;
            let old_open = self
                .targets
                .of_service(running.service)
                .filter(|t| *t.version != *rollout.version)
                .map(Target::open_attempts)
                .sum();
            self.out.push(ForwardEffect::Report(Report {
                service: rollout.service.clone(),
                number: running.number,
                epoch: running.epoch,
                sequence: running.sequence,
                attempts: running.exposure.attempts(),
                exposed: running.exposure.exposed(),
                old_open,
                rows: running.rows.as_slice().to_vec(),
            }));
        }
    }

    /// Returns the stage of each service's last roll-out, for metrics.
    pub fn rollout_stages(&self) -> impl Iterator<Item = (&str, Stage)> {
        let rules = self.targets.version_rules().into_iter();
        rules
            .flat_map(|r| &r.rollouts)
            .map(|(_, r)| (r.service.as_str(), r.stage))
    }

    /// Returns the attempts at the services with a running roll-out and those
    /// of them at the new version, for metrics.
    pub fn rollout_exposure(&self) -> impl Iterator<Item = (&str, u64, u64)> {
        self.versions.running.iter().filter_map(|running| {
            let rollout =
                self.targets.version_rules()?.running(running.service)?;
            let exposure = &running.exposure;
            let service = rollout.service.as_str();
            Some((service, exposure.attempts(), exposure.exposed()))
        })
    }
}
