/*!
Answers, broken connections, timeouts and silent connections.
*/

use std::time::Duration;

use super::{
    CloseReason, JobOutcome, RequestId, TargetAnswer, TargetEffect,
    TargetOptions, TargetState,
    answer::{Meaning, check},
    conn::{Conn, ConnState, Sent},
    entry::Lingering,
    entry::{Cx, Target},
};
use crate::{
    event,
    id::{ConnId, JobId},
    snapshot::Holding,
    time::Time,
    verdict::Verdict,
};

/// Most doublings of the time until a connection is suspected.
const MAX_DOUBLINGS: u32 = 6;

impl Target {
    /// Time without a byte after which a connection is suspected.
    pub(crate) fn silent_after(&self, options: &TargetOptions) -> Duration {
        let latency =
            self.latency.smoothed().unwrap_or(options.unknown_latency);
        let plain = (latency * options.silent_factor).max(options.silent_min);
        plain * (1 << self.silent_doublings)
    }

    pub(crate) fn connected<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        id: ConnId,
    ) {
        let Some(i) = self.conn(id) else {
            // It was given up while it was being opened.
            cx.emit(TargetEffect::Close(id));
            return;
        };
        if !self.conns[i].is_connecting() {
            return;
        }
        self.conns[i].state = ConnState::Idle { since: cx.now };
        if self.state == TargetState::Down {
            self.retry_at = None;
            self.set_state(cx, TargetState::Cold, "connected");
        }
    }

    pub(crate) fn connect_failed<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        id: ConnId,
    ) {
        let Some(i) = self.conn(id) else { return };
        if !self.conns[i].is_connecting() {
            return;
        }
        self.conns.swap_remove(i);
        self.back_off(cx);
        self.go_down_if_alone(cx, "connect_failed");
    }

    fn back_off<O: Extend<TargetEffect>>(&mut self, cx: &mut Cx<'_, O>) {
        let span = cx
            .options
            .backoff_min
            .saturating_mul(1 << self.failures.min(16))
            .min(cx.options.backoff_max);
        let span = cx.jitter(span);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(cx.now + span);
        cx.log(
            &event::target::CONNECT_FAILED,
            format!(
                "target={} failures={} pause_ms={}",
                self.spec.name,
                self.failures,
                span.as_millis()
            ),
        );
    }

    /// A target without any open connection that refuses new ones is down.
    fn go_down_if_alone<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        reason: &str,
    ) {
        if self.conns.iter().all(Conn::is_connecting) {
            self.close_unused(cx, |_| true);
            self.set_state(cx, TargetState::Down, reason);
        }
    }

    pub(crate) fn closed<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        id: ConnId,
        reason: CloseReason,
    ) {
        let Some(i) = self.conn(id) else { return };
        if self.conns[i].is_connecting() {
            self.connect_failed(cx, id);
            return;
        }
        let conn = self.conns.swap_remove(i);
        if let Some(sent) = conn.sent() {
            if reason == CloseReason::NothingSent {
                let verdict = Verdict::NotRun;
                cx.done(sent.job, JobOutcome::Failed { verdict });
            } else {
                self.give_up(cx, sent);
            }
            if !conn.proven {
                self.back_off(cx);
                if self.failures > 1 {
                    self.go_down_if_alone(cx, "connections_break");
                }
            }
            self.probe_now(cx);
        }
        if self.conns.iter().all(Conn::is_connecting) {
            self.unconfirmed = true;
        }
    }

    /// Ends a request whose answer will not be used. It may still run, so it
    /// is cancelled at the target and counts for a while.
    fn give_up<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        sent: &Sent,
    ) {
        cx.emit(TargetEffect::CancelRemote {
            target: self.spec.id,
            address: self.spec.address,
            query: sent.query,
            attempt: sent.attempt,
            shard: sent.shard,
        });
        let request = RequestId {
            query: sent.query,
            attempt: sent.attempt,
            shard: sent.shard,
        };
        let until = cx.now + cx.options.cancel_grace;
        self.lingering.push(Lingering { request, until });
        let verdict = Verdict::MayHaveRun;
        cx.done(sent.job, JobOutcome::Failed { verdict });
        self.note_unanswered(cx, sent.at);
    }

    /// Closes a connection and ends the request on it, if there is one.
    fn drop_conn<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        i: usize,
    ) -> Conn {
        let conn = self.conns.swap_remove(i);
        cx.emit(TargetEffect::Close(conn.id));
        if let Some(sent) = conn.sent() {
            self.give_up(cx, sent);
        }
        conn
    }

    pub(crate) fn cancel<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        job: JobId,
    ) {
        if self.queue.remove(job).is_some() {
            let verdict = Verdict::NotRun;
            cx.done(job, JobOutcome::Failed { verdict });
            return;
        }
        let running = |c: &Conn| c.sent().is_some_and(|s| s.job == job);
        if let Some(i) = self.conns.iter().position(running) {
            if let Some(sent) = self.conns[i].sent() {
                let waited = cx.now.since(sent.at);
                self.latency.observe_at_least(waited);
            }
            self.drop_conn(cx, i);
        }
    }

    /// The target has confirmed that it no longer runs a request.
    pub(crate) fn cancelled(&mut self, request: RequestId) {
        self.lingering.retain(|l| l.request != request);
    }

    pub(crate) fn received(&mut self, now: Time, id: ConnId) {
        let conn = self.conn(id).and_then(|i| self.conns[i].sent_mut());
        if let Some(sent) = conn {
            sent.quiet_since = now;
            sent.suspected = None;
        }
    }

    pub(crate) fn answer<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        id: ConnId,
        job: JobId,
        answer: TargetAnswer,
    ) {
        let Some(i) = self.conn(id) else { return };
        let sent = match self.conns[i].sent() {
            Some(sent) if sent.job == job => sent.clone(),
            _ => {
                self.reject(cx, job, "not_outstanding");
                self.drop_conn(cx, i);
                return;
            }
        };
        let meaning = check(&sent, &answer);
        if let Meaning::Rejected { reason, verdict, finished } = meaning {
            self.reject(cx, job, reason);
            if finished {
                let conn = self.conns.swap_remove(i);
                cx.emit(TargetEffect::Close(conn.id));
                cx.done(job, JobOutcome::Failed { verdict });
            } else {
                self.drop_conn(cx, i);
            }
            return;
        }
        self.failures = 0;
        self.retry_at = None;
        self.unconfirmed = false;
        if let Some(boot) = answer.boot_id {
            self.note_boot(cx, boot);
        }
        let of_job = |h: &&Holding| {
            h.snapshot == sent.snapshot && h.shard == sent.shard
        };
        let holding =
            answer.holds.iter().flatten().chain(&self.holds).find(of_job);
        // A target that dropped the snapshot while it answered no longer
        // lists it; the count of shards is then unknown.
        let holding = holding.copied().unwrap_or(Holding {
            snapshot: sent.snapshot,
            shard: sent.shard,
            shard_count: 0,
        });
        if let Some(holds) = answer.holds {
            self.holds_at = Some(cx.now);
            self.set_holds(holds);
        }
        let (outcome, keep) = match meaning {
            Meaning::Answered => {
                (JobOutcome::Answered { body: answer.body, holding }, true)
            }
            Meaning::NotHeld => (JobOutcome::NotHeld, true),
            Meaning::Shed => (JobOutcome::Shed, true),
            Meaning::TooManyConnections => (JobOutcome::Shed, false),
            Meaning::Failed(verdict) | Meaning::Rejected { verdict, .. } => {
                (JobOutcome::Failed { verdict }, false)
            }
        };
        cx.done(job, outcome);
        if keep {
            self.conns[i].state = ConnState::Idle { since: cx.now };
            self.conns[i].proven = true;
        } else {
            self.conns.swap_remove(i);
            cx.emit(TargetEffect::Close(id));
        }
        match meaning {
            Meaning::Answered => {
                let plain = self.silent_after(cx.options)
                    / (1 << self.silent_doublings);
                if cx.now.since(sent.at) <= plain {
                    self.silent_doublings = 0;
                }
                self.note_latency(cx, sent.at);
            }
            Meaning::Shed => self.note_shed(cx, sent.at),
            Meaning::TooManyConnections => self.reduce_cap(cx),
            _ => {}
        }
    }

    fn reject<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        job: JobId,
        reason: &str,
    ) {
        cx.log(
            &event::target::ANSWER_REJECTED,
            format!("target={} job={job} reason={reason}", self.spec.name),
        );
    }

    /// Keeps to the connections that are left after one was refused.
    fn reduce_cap<O: Extend<TargetEffect>>(&mut self, cx: &mut Cx<'_, O>) {
        let cap = self.conns.len().max(1);
        self.reduced_cap = Some((cap, cx.now + cx.options.cap_recovery));
        let pause = cx.jitter(cx.options.backoff_min);
        self.retry_at = Some(cx.now + pause);
        cx.log(
            &event::target::CONNECTION_CAP,
            format!("target={} connections={cap}", self.spec.name),
        );
    }

    /// Handles everything whose time has come on the connections.
    pub(crate) fn check_conns<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
    ) {
        let silent_after = self.silent_after(cx.options);
        let mut suspect = false;
        let mut i = 0;
        while i < self.conns.len() {
            let conn = &mut self.conns[i];
            if cx.now < conn.due(cx.options, silent_after) {
                i += 1;
                continue;
            }
            match &mut conn.state {
                ConnState::Connecting { .. } => {
                    let id = conn.id;
                    cx.emit(TargetEffect::Close(id));
                    self.connect_failed(cx, id);
                }
                ConnState::Busy(sent) if cx.now < sent.deadline => {
                    sent.suspected = Some(cx.now);
                    suspect = true;
                    i += 1;
                }
                _ => {
                    self.drop_conn(cx, i);
                    // Without connections a restart goes unnoticed.
                    self.unconfirmed |= self.conns.is_empty();
                }
            }
        }
        if suspect {
            self.probe_now(cx);
        }
    }

    /// Concludes from a probe, begun at `started`, which of the suspected
    /// connections are silent.
    pub(crate) fn judge_silence<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        started: Time,
        target_answers: bool,
    ) {
        let mut i = 0;
        while i < self.conns.len() {
            let judged = self.conns[i]
                .sent_mut()
                .filter(|s| s.suspected.is_some_and(|at| at <= started));
            let Some(sent) = judged else {
                i += 1;
                continue;
            };
            if !target_answers {
                // The target does not answer elsewhere either, so nothing is
                // known about this connection yet.
                sent.suspected = None;
                sent.quiet_since = cx.now;
                i += 1;
                continue;
            }
            let conn = self.drop_conn(cx, i);
            let Some(sent) = conn.sent() else { continue };
            cx.log(
                &event::target::CONNECTION_SILENT,
                format!(
                    "target={} connection={} job={} waited_ms={}",
                    self.spec.name,
                    conn.id,
                    sent.job,
                    cx.now.since(sent.at).as_millis()
                ),
            );
            // A target that is only slow must be left more time, or none of
            // its answers would ever arrive.
            self.silent_doublings =
                (self.silent_doublings + 1).min(MAX_DOUBLINGS);
            // What lost track of this connection has probably lost track of
            // those that were idle for as long.
            let at = sent.at;
            self.close_unused(cx, |c| c.idle_since().is_some_and(|s| s <= at));
            i = 0;
        }
    }
}
