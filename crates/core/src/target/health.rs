/*!
Health probes and reports. A report can mark a target cold or leaving, but
only answers to requests warm it up.
*/

use super::{
    HealthReport, HealthStatus, HomeRole, TargetEffect, TargetOptions,
    TargetState,
    entry::{Cx, Target},
};
use crate::{snapshot::Holding, time::Time};

impl Target {
    /// Starts a health probe unless one is in flight.
    pub(crate) fn start_probe<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
    ) {
        if self.probe_started_at.is_some() {
            return;
        }
        self.probe_started_at = Some(cx.now);
        cx.emit(TargetEffect::ProbeHealth {
            target: self.spec.id,
            address: self.spec.address,
        });
    }

    /// Handles the end of a health probe, with its report if there was one.
    pub(crate) fn health<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        report: Option<HealthReport>,
    ) {
        let holds_recent = self
            .holds_answered_at
            .is_some_and(|at| cx.now.since(at) <= cx.options.answer_ttl);
        // Without recent answers, health reports are the only source for
        // what the target holds, and a new index version may appear soon.
        let interval = if self.state == TargetState::Ready && holds_recent {
            cx.options.probe_interval_ready
        } else {
            cx.options.probe_interval_other
        };
        let started = self.probe_started_at.take();
        // Jitter spreads the probes of targets that were configured
        // together.
        let jitter = cx.jitter(interval / 10);
        self.probed_at = cx.now;
        self.next_probe = cx.now + (interval - jitter);
        if let Some(started) = started {
            self.resolve_suspicions(cx, started, report.is_some());
        }
        match report {
            Some(report) => {
                self.missed_probes = 0;
                self.apply_health_report(cx, report);
            }
            None => {
                self.missed_probes = self.missed_probes.saturating_add(1);
                if self.missed_probes >= cx.options.probe_failure_threshold {
                    self.demote(cx, "no_health_report");
                }
            }
        }
        // Connections suspected after this probe began need another one.
        let suspected = |s: &super::conn::SentRequest| s.suspected.is_some();
        if self.conns.iter().filter_map(|c| c.request()).any(suspected) {
            self.start_probe(cx);
        }
    }

    /// Updates the state of the target from a health report.
    fn apply_health_report<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        report: HealthReport,
    ) {
        let boot = Some(report.boot_id);
        let known = self.health_boot.or(self.answer_boot);
        let restarted = known.is_some()
            && known != boot
            && self.answer_boot != boot
            && self.refuted_boot != boot;
        let uptime_decreased = self.health_boot == boot
            && report.uptime_ms < self.last_uptime_ms
            && !self.has_recent_good_answer(cx.now, cx.options.answer_ttl);
        if (restarted || uptime_decreased) && self.state != TargetState::Down {
            let reason = if restarted { "health_boot_id" } else { "uptime" };
            self.set_state(cx, TargetState::Cold, reason);
        }
        self.health_boot = boot;
        self.last_uptime_ms = report.uptime_ms;
        if report.status == HealthStatus::Cold {
            self.demote(cx, "health_cold");
        }
        let leaving = report.status == HealthStatus::Leaving;
        self.set_leaving(cx, leaving, self.leaving_by_platform, "health");
        let holds_recent = self
            .holds_answered_at
            .is_some_and(|at| cx.now.since(at) <= cx.options.answer_ttl);
        if holds_recent {
            self.add_newer_holds(report.holds);
        } else {
            self.set_holds(report.holds);
        }
    }

    /// Returns when the next health probe is due. Of a target that gets no
    /// requests, only probes tell which shards it has loaded.
    pub(crate) fn probe_due(&self, options: &TargetOptions) -> Time {
        let newest_held = self.holds.last().map(|h| h.snapshot);
        let is_behind = self.spec.role == HomeRole::Home
            && self.accepts_jobs()
            && newest_held < self.newest_snapshot;
        let interval = if is_behind {
            options.probe_interval_behind
        } else {
            options.probe_interval_other
        };
        let answered_at = self.holds_answered_at.unwrap_or(self.probed_at);
        self.next_probe.min(answered_at.max(self.probed_at) + interval)
    }

    /// Marks the target cold unless recent good answers contradict the health
    /// report.
    fn demote<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        reason: &str,
    ) {
        if !self.has_recent_good_answer(cx.now, cx.options.answer_ttl) {
            self.mark_cold(cx, reason);
        }
    }

    fn mark_cold<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        reason: &str,
    ) {
        // A target that is already cold keeps its count of good answers.
        if matches!(self.state, TargetState::Warming | TargetState::Ready) {
            self.set_state(cx, TargetState::Cold, reason);
        }
    }

    /// Updates whether the health endpoint or the platform reports the target
    /// as leaving.
    pub(crate) fn set_leaving<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        by_health: bool,
        by_platform: bool,
        reason: &str,
    ) {
        let before = self.is_leaving();
        self.leaving_by_health = by_health;
        self.leaving_by_platform = by_platform;
        if before == self.is_leaving() {
            return;
        }
        if before {
            self.mark_cold(cx, reason);
        }
        cx.log(
            &crate::event::target::TARGET_STATE,
            format!(
                "target={} leaving={} reason={reason}",
                self.spec.name,
                self.is_leaving()
            ),
        );
    }

    /// Adds the holdings of snapshots that are newer than all that the target
    /// is known to hold. Other differences from recent answers are ignored,
    /// because health reports may be out of date.
    fn add_newer_holds(&mut self, holds: Vec<Holding>) {
        let newest_held = self.holds.last().map(|h| h.snapshot);
        let is_newer = |h: &Holding| Some(h.snapshot) > newest_held;
        let mut all = self.holds.clone();
        all.extend(holds.into_iter().filter(is_newer));
        self.set_holds(all);
    }

    /// Replaces the list of snapshots and shards that the target holds.
    pub(crate) fn set_holds(&mut self, mut holds: Vec<Holding>) {
        holds.sort_unstable();
        holds.dedup();
        if self.holds != holds {
            self.holds = holds;
            self.holds_changed = true;
        }
    }
}
