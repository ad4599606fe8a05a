/*!
Trust in a target: its state, the warm-up ramp and the concurrency limit.
*/

use std::time::Duration;

use super::{
    HomeRole, TargetEffect, TargetState,
    entry::{Cx, Target},
};
use crate::{event, time::Time};

impl Target {
    /// Condition for reports; announced leaving hides the rest.
    pub(crate) fn visible_state(&self) -> TargetState {
        if self.is_leaving() { TargetState::Leaving } else { self.state }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_by_health || self.leaving_by_platform
    }

    /// Whether the target may be given work, apart from being down.
    pub(crate) fn is_wanted(&self) -> bool {
        self.spec.role != HomeRole::None
            && !self.spec.zone_out
            && !self.is_leaving()
    }

    pub(crate) fn accepts(&self) -> bool {
        self.is_wanted() && self.state != TargetState::Down
    }

    pub(crate) fn slots(&self) -> u32 {
        self.spec.slots.max(1)
    }

    /// Requests that may run at the same time now.
    pub(crate) fn allowed(&self) -> u32 {
        if !self.accepts() {
            return 0;
        }
        if self.state == TargetState::Cold || self.unconfirmed {
            return 1;
        }
        let reduced =
            self.spec.role == HomeRole::Standby || self.hold_until.is_some();
        let most = if reduced { self.slots() / 2 } else { self.slots() };
        self.limit.min(most).max(1)
    }

    /// Requests that run, or that were given up and may still run.
    pub(crate) fn running(&self) -> u32 {
        let busy = self.conns.iter().filter(|c| c.sent().is_some()).count();
        (busy + self.lingering.len()) as u32
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
            let soon = cx.now + cx.options.probe_other;
            self.next_probe = self.next_probe.min(soon);
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

    /// Counts an answer with results towards the ramp and the latency.
    pub(crate) fn note_latency<O: Extend<TargetEffect>>(
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
            self.note_slow(cx);
            return;
        }
        self.slow_answers = 0;
        if latency > base * cx.options.good_factor {
            return;
        }
        self.good_at = Some(cx.now);
        // A request from before the target turned cold says nothing about
        // its warmth.
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

    /// Counts a request that ended without an answer, if it had waited so
    /// long that its answer would have been slow.
    pub(crate) fn note_unanswered<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        sent_at: Time,
    ) {
        let Some(base) = self.latency.base() else { return };
        let base = base.max(cx.options.latency_floor);
        if cx.now.since(sent_at) > base * cx.options.slow_factor {
            self.note_slow(cx);
        }
    }

    fn note_slow<O: Extend<TargetEffect>>(&mut self, cx: &mut Cx<'_, O>) {
        self.slow_answers += 1;
        if self.slow_answers >= cx.options.slow_answers
            && matches!(self.state, TargetState::Warming | TargetState::Ready)
        {
            self.set_state(cx, TargetState::Cold, "slow_answers");
        }
    }

    /// Halves the limit after a shed answer.
    pub(crate) fn note_shed<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        sent_at: Time,
    ) {
        self.good_answers = 0;
        // Requests that were sent under the former limit are shed for the
        // same cause and do not count again.
        if self.halved_at.is_some_and(|at| sent_at < at) {
            return;
        }
        self.halved_at = Some(cx.now);
        self.limit = (self.limit / 2).max(1);
        if self.state == TargetState::Ready && self.limit < self.slots() {
            self.set_state(cx, TargetState::Warming, "shed_answer");
        }
    }

    /// Compares the boot id of an answer with the one known so far.
    pub(crate) fn note_boot<O: Extend<TargetEffect>>(
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
        // Answers win over health reports: a boot id that only the health
        // endpoint states is out of date.
        if self.health_boot.is_some_and(|health| health != boot) {
            self.refuted_boot = self.health_boot;
        } else if self.refuted_boot == Some(boot) {
            self.refuted_boot = None;
        }
    }

    /// Whether a good answer arrived so recently that health reports do not
    /// matter.
    pub(crate) fn answers_well(&self, now: Time, trust: Duration) -> bool {
        self.good_at.is_some_and(|at| now.since(at) <= trust)
    }
}
