/*!
State of a target, its warm-up ramp and its concurrency limit.
*/

use std::time::Duration;

use super::{
    HomeRole, TargetEffect, TargetState,
    entry::{Cx, Target},
};
use crate::{event, time::Time};

impl Target {
    /// Returns the state for reports, in which an announced shutdown takes
    /// precedence.
    pub(crate) fn reported_state(&self) -> TargetState {
        if self.is_leaving() { TargetState::Leaving } else { self.state }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_by_health || self.leaving_by_platform
    }

    /// Whether the target may get jobs unless it is down.
    pub(crate) fn is_enabled(&self) -> bool {
        self.spec.role != HomeRole::None
            && !self.spec.zone_out
            && !self.is_leaving()
    }

    pub(crate) fn accepts_jobs(&self) -> bool {
        self.is_enabled() && self.state != TargetState::Down
    }

    pub(crate) fn slots(&self) -> u32 {
        self.spec.slots.max(1)
    }

    /// Returns the current limit on concurrent requests.
    pub(crate) fn effective_limit(&self) -> u32 {
        if !self.accepts_jobs() {
            return 0;
        }
        if self.state == TargetState::Cold || self.maybe_restarted {
            return 1;
        }
        let halved =
            self.spec.role == HomeRole::Standby || self.hold_until.is_some();
        let max = if halved { self.slots() / 2 } else { self.slots() };
        self.limit.min(max).max(1)
    }

    /// Returns the number of occupied slots: requests that are running, and
    /// abandoned requests that may still run.
    pub(crate) fn running(&self) -> u32 {
        let busy = self.conns.iter().filter(|c| c.request().is_some()).count();
        (busy + self.pending_cancels.len()) as u32
    }

    pub(crate) fn set_state<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        state: TargetState,
        reason: &str,
    ) {
        if state == TargetState::Cold {
            self.limit = 1;
            self.good_answers = 0;
            self.slow_answers = 0;
            self.cold_since = cx.now;
        }
        if self.state == state {
            return;
        }
        if state != TargetState::Ready {
            let latest = cx.now + cx.options.probe_interval_other;
            self.next_probe = self.next_probe.min(latest);
        }
        cx.log(
            &event::target::TARGET_STATE,
            format!(
                "target={} from={:?} to={:?} reason={}",
                self.spec.name, self.state, state, reason
            ),
        );
        self.state = state;
    }

    /// Updates the latency estimates and the warm-up ramp with a successful
    /// answer.
    pub(crate) fn record_latency<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        sent_at: Time,
    ) {
        let latency = cx.now.since(sent_at);
        let known = self.latency.base();
        self.latency.observe(latency);
        let base = known
            .or(self.latency.smoothed())
            .unwrap_or_default()
            .max(cx.options.latency_floor);
        if latency > base * cx.options.slow_factor {
            self.record_slow(cx);
            return;
        }
        self.slow_answers = 0;
        if latency > base * cx.options.good_factor {
            return;
        }
        self.last_good_answer_at = Some(cx.now);
        // A request that was sent before the target became cold does not
        // show that it is warm.
        if sent_at < self.cold_since || self.state == TargetState::Ready {
            return;
        }
        self.good_answers += 1;
        if self.good_answers >= cx.options.ramp_answers {
            self.good_answers = 0;
            self.limit = (self.limit + 1).min(self.slots());
            let state = if self.limit >= self.slots() {
                TargetState::Ready
            } else {
                TargetState::Warming
            };
            self.set_state(cx, state, "good_answers");
        }
    }

    /// Counts a request that ended without an answer as slow if it had waited
    /// so long that its answer would have been slow.
    pub(crate) fn record_unanswered<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        sent_at: Time,
    ) {
        let Some(base) = self.latency.base() else { return };
        let base = base.max(cx.options.latency_floor);
        if cx.now.since(sent_at) > base * cx.options.slow_factor {
            self.record_slow(cx);
        }
    }

    fn record_slow<O: Extend<TargetEffect>>(&mut self, cx: &mut Cx<'_, O>) {
        self.slow_answers += 1;
        if self.slow_answers >= cx.options.slow_answers
            && matches!(self.state, TargetState::Warming | TargetState::Ready)
        {
            self.set_state(cx, TargetState::Cold, "slow_answers");
        }
    }

    /// Halves the limit after a shed answer.
    pub(crate) fn record_shed<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        sent_at: Time,
    ) {
        self.good_answers = 0;
        // Requests that were sent under the former limit are shed for the
        // same reason and must not halve the limit again.
        if self.limit_halved_at.is_some_and(|at| sent_at < at) {
            return;
        }
        self.limit_halved_at = Some(cx.now);
        self.limit = (self.limit / 2).max(1);
        if self.state == TargetState::Ready && self.limit < self.slots() {
            self.set_state(cx, TargetState::Warming, "shed_answer");
        }
    }

    /// Stores the boot identifier of an answer and marks the target cold if
    /// it shows a restart.
    pub(crate) fn record_boot_id<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        boot: u64,
    ) {
        let known = self.answer_boot.or(self.health_boot);
        self.answer_boot = Some(boot);
        if known.is_some_and(|known| known != boot)
            && self.health_boot != Some(boot)
        {
            self.last_uptime_ms = 0;
            self.set_state(cx, TargetState::Cold, "boot_id");
        }
        // Answers take precedence over health reports: a boot identifier
        // that only the health endpoint reports is out of date.
        if self.health_boot.is_some_and(|health| health != boot) {
            self.refuted_boot = self.health_boot;
        } else if self.refuted_boot == Some(boot) {
            self.refuted_boot = None;
        }
    }

    /// Whether a good answer arrived within `max_age`, so that it takes
    /// precedence over health reports.
    pub(crate) fn has_recent_good_answer(
        &self,
        now: Time,
        max_age: Duration,
    ) -> bool {
        self.last_good_answer_at.is_some_and(|at| now.since(at) <= max_age)
    }
}
