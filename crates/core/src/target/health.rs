/*!
Health reports, which can only lower the trust in a target.
*/

use super::{
    HealthReport, HealthStatus, TargetEffect, TargetState,
    entry::{Cx, Target},
};
use crate::snapshot::Holding;

impl Target {
    /// Asks the health endpoint unless a question is under way.
    pub(crate) fn probe_now<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
    ) {
        if self.probe.is_some() {
            return;
        }
        self.probe = Some(cx.now);
        cx.emit(TargetEffect::ProbeHealth {
            target: self.spec.id,
            address: self.spec.address,
        });
    }

    /// Handles a health report, or that there was none.
    pub(crate) fn health<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        report: Option<HealthReport>,
    ) {
        let answered = self
            .holds_at
            .is_some_and(|at| cx.now.since(at) <= cx.options.answer_trust);
        // What a target without requests holds is known from its health
        // reports alone, and a new index version may be on its way.
        let span = if self.state == TargetState::Ready && answered {
            cx.options.probe_ready
        } else {
            cx.options.probe_other
        };
        let started = self.probe.take();
        // Probes of targets that were configured together drift apart.
        let spread = cx.jitter(span / 10);
        self.next_probe = cx.now + (span - spread);
        if let Some(started) = started {
            self.judge_silence(cx, started, report.is_some());
        }
        match report {
            Some(report) => {
                self.missed_probes = 0;
                self.heed(cx, report);
            }
            None => {
                self.missed_probes = self.missed_probes.saturating_add(1);
                if self.missed_probes >= cx.options.probe_misses {
                    self.doubt(cx, "no_health_report");
                }
            }
        }
        // The probe that ended was begun before the suspicion.
        let waiting = |s: &super::conn::Sent| s.suspected.is_some();
        if self.conns.iter().filter_map(|c| c.sent()).any(waiting) {
            self.probe_now(cx);
        }
    }

    fn heed<O: Extend<TargetEffect>>(
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
        let set_back = self.health_boot == boot
            && report.uptime_ms < self.last_uptime_ms
            && !self.answers_well(cx.now, cx.options.answer_trust);
        if (restarted || set_back) && self.state != TargetState::Down {
            let reason = if restarted { "health_boot_id" } else { "uptime" };
            self.set_state(cx, TargetState::Cold, reason);
        }
        self.health_boot = boot;
        self.last_uptime_ms = report.uptime_ms;
        if report.status == HealthStatus::Cold {
            self.doubt(cx, "health_cold");
        }
        let leaving = report.status == HealthStatus::Leaving;
        self.set_leaving(cx, leaving, self.leaving_by_platform, "health");
        let answered = self
            .holds_at
            .is_some_and(|at| cx.now.since(at) <= cx.options.answer_trust);
        if !answered {
            self.set_holds(report.holds);
        }
    }

    /// Lowers the trust in a target that does not show by its answers that
    /// the health report is wrong.
    fn doubt<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        reason: &str,
    ) {
        if !self.answers_well(cx.now, cx.options.answer_trust) {
            self.turn_cold(cx, reason);
        }
    }

    fn turn_cold<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        reason: &str,
    ) {
        // A target that is cold already keeps the answers it has gathered.
        if matches!(self.state, TargetState::Warming | TargetState::Ready) {
            self.set_state(cx, TargetState::Cold, reason);
        }
    }

    /// Takes over what the health endpoint and the platform say on leaving.
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
            self.turn_cold(cx, reason);
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

    /// Takes over what the target holds.
    pub(crate) fn set_holds(&mut self, mut holds: Vec<Holding>) {
        holds.sort_unstable();
        holds.dedup();
        if self.holds != holds {
            self.holds = holds;
            self.holds_changed = true;
        }
    }
}
