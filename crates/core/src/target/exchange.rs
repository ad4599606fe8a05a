/*!
Answers, broken connections, timeouts and silent connections.
*/

use std::time::Duration;

use super::{
    CloseReason, JobOutcome, RequestId, TargetAnswer, TargetEffect,
    TargetOptions, TargetState,
    answer::{AnswerKind, classify},
    conn::{Conn, ConnState, SentRequest},
    entry::PendingCancel,
    entry::{Cx, Target},
};
use crate::{
    event,
    id::{ConnId, JobId},
    snapshot::Holding,
    time::Time,
    verdict::Verdict,
};

/// Maximum number of doublings of the silence timeout.
const MAX_SILENCE_DOUBLINGS: u32 = 6;

impl Target {
    /// Returns the time without received bytes after which a connection is
    /// suspected to be silent.
    pub(crate) fn silence_timeout(&self, options: &TargetOptions) -> Duration {
        let latency =
            self.latency.smoothed().unwrap_or(options.initial_latency);
        let base = (latency * options.silent_factor).max(options.silent_min);
        base * (1 << self.silence_doublings)
    }

    pub(crate) fn connected<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        id: ConnId,
    ) {
        let Some(i) = self.conn_index(id) else {
            // The connection was closed while it was being established.
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
        let Some(i) = self.conn_index(id) else { return };
        if !self.conns[i].is_connecting() {
            return;
        }
        self.conns.swap_remove(i);
        self.back_off(cx);
        self.mark_down_if_unreachable(cx, "connect_failed");
    }

    /// Delays the next attempt to connect by an exponential backoff.
    fn back_off<O: Extend<TargetEffect>>(&mut self, cx: &mut Cx<'_, O>) {
        let pause = cx
            .options
            .backoff_min
            .saturating_mul(1 << self.failures.min(16))
            .min(cx.options.backoff_max);
        let pause = cx.jitter(pause);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(cx.now + pause);
        cx.log(
            &event::target::CONNECT_FAILED,
            format!(
                "target={} failures={} pause_ms={}",
                self.spec.name,
                self.failures,
                pause.as_millis()
            ),
        );
    }

    /// Marks the target down if it has no established connection; called when
    /// connections fail before they have carried an answer.
    fn mark_down_if_unreachable<O: Extend<TargetEffect>>(
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
        let Some(i) = self.conn_index(id) else { return };
        if self.conns[i].is_connecting() {
            self.connect_failed(cx, id);
            return;
        }
        let conn = self.conns.swap_remove(i);
        if let Some(sent) = conn.request() {
            if reason == CloseReason::NothingSent {
                let verdict = Verdict::NotRun;
                cx.done(sent.job, JobOutcome::Failed { verdict });
            } else {
                self.abandon_request(cx, sent);
            }
            if !conn.carried_answer {
                self.back_off(cx);
                if self.failures > 1 {
                    self.mark_down_if_unreachable(cx, "connections_break");
                }
            }
            self.start_probe(cx);
        }
        if self.conns.iter().all(Conn::is_connecting) {
            self.maybe_restarted = true;
        }
    }

    /// Ends a request whose answer will not be used. It may still run, so it
    /// is cancelled at the target and occupies its slot for a while.
    fn abandon_request<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        sent: &SentRequest,
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
        self.pending_cancels.push(PendingCancel { request, until });
        let verdict = Verdict::MayHaveRun;
        cx.done(sent.job, JobOutcome::Failed { verdict });
        self.record_unanswered(cx, sent.sent_at);
    }

    /// Closes a connection and ends the request on it, if there is one.
    fn close_conn<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        i: usize,
    ) -> Conn {
        let conn = self.conns.swap_remove(i);
        cx.emit(TargetEffect::Close(conn.id));
        if let Some(sent) = conn.request() {
            self.abandon_request(cx, sent);
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
        let running = |c: &Conn| c.request().is_some_and(|s| s.job == job);
        if let Some(i) = self.conns.iter().position(running) {
            if let Some(sent) = self.conns[i].request() {
                let waited = cx.now.since(sent.sent_at);
                self.latency.observe_at_least(waited);
            }
            self.close_conn(cx, i);
        }
    }

    /// Frees the slot of an abandoned request whose cancellation the target
    /// has confirmed.
    pub(crate) fn cancelled(&mut self, request: RequestId) {
        self.pending_cancels.retain(|c| c.request != request);
    }

    pub(crate) fn received(&mut self, now: Time, id: ConnId) {
        let sent =
            self.conn_index(id).and_then(|i| self.conns[i].request_mut());
        if let Some(sent) = sent {
            sent.silent_since = now;
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
        let Some(i) = self.conn_index(id) else { return };
        let sent = match self.conns[i].request() {
            Some(sent) if sent.job == job => sent.clone(),
            _ => {
                self.reject(cx, job, "not_outstanding");
                self.close_conn(cx, i);
                return;
            }
        };
        let kind = classify(&sent, &answer);
        if let AnswerKind::Rejected { reason, verdict, finished } = kind {
            self.reject(cx, job, reason);
            if finished {
                let conn = self.conns.swap_remove(i);
                cx.emit(TargetEffect::Close(conn.id));
                cx.done(job, JobOutcome::Failed { verdict });
            } else {
                self.close_conn(cx, i);
            }
            return;
        }
        self.failures = 0;
        self.retry_at = None;
        self.maybe_restarted = false;
        if let Some(boot) = answer.boot_id {
            self.record_boot_id(cx, boot);
        }
        let serves_job = |h: &&Holding| {
            h.snapshot == sent.snapshot && h.shard == sent.shard
        };
        let holding =
            answer.holds.iter().flatten().chain(&self.holds).find(serves_job);
        // A target that dropped the snapshot while it answered no longer
        // lists it, so the number of its shards is unknown.
        let holding = holding.copied().unwrap_or(Holding {
            snapshot: sent.snapshot,
            shard: sent.shard,
            shard_count: 0,
        });
        if let Some(holds) = answer.holds {
            self.holds_answered_at = Some(cx.now);
            self.set_holds(holds);
        }
        let (outcome, keep) = match kind {
            AnswerKind::Answered => {
                (JobOutcome::Answered { body: answer.body, holding }, true)
            }
            AnswerKind::NotHeld => (JobOutcome::NotHeld, true),
            AnswerKind::Shed => (JobOutcome::Shed, true),
            AnswerKind::TooManyConnections => (JobOutcome::Shed, false),
            AnswerKind::Failed(verdict)
            | AnswerKind::Rejected { verdict, .. } => {
                (JobOutcome::Failed { verdict }, false)
            }
        };
        cx.done(job, outcome);
        if keep {
            self.conns[i].state = ConnState::Idle { since: cx.now };
            self.conns[i].carried_answer = true;
            self.conns[i].is_new = false;
        } else {
            self.conns.swap_remove(i);
            cx.emit(TargetEffect::Close(id));
        }
        match kind {
            AnswerKind::Answered => {
                let base = self.silence_timeout(cx.options)
                    / (1 << self.silence_doublings);
                if cx.now.since(sent.sent_at) <= base {
                    self.silence_doublings = 0;
                }
                self.record_latency(cx, sent.sent_at);
            }
            AnswerKind::Shed => self.record_shed(cx, sent.sent_at),
            AnswerKind::TooManyConnections => self.reduce_cap(cx),
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

    /// Caps the number of connections at those that remain after the target
    /// refused one.
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

    /// Handles the timeouts of all connections: failed connects, suspected
    /// silence, deadlines and idle connections.
    pub(crate) fn check_conns<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
    ) {
        let silence_timeout = self.silence_timeout(cx.options);
        let mut suspect = false;
        let mut i = 0;
        while i < self.conns.len() {
            let conn = &mut self.conns[i];
            if cx.now < conn.next_deadline(cx.options, silence_timeout) {
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
                    self.close_conn(cx, i);
                    // Without a connection, a restart would go unnoticed.
                    self.maybe_restarted |= self.conns.is_empty();
                }
            }
        }
        if suspect {
            self.start_probe(cx);
        }
    }

    /// Decides on suspected connections after a health probe that began at
    /// `started`: if the target answered it, the connections are silent and
    /// are closed.
    pub(crate) fn resolve_suspicions<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        started: Time,
        target_answers: bool,
    ) {
        let mut i = 0;
        while i < self.conns.len() {
            let suspect = self.conns[i]
                .request_mut()
                .filter(|s| s.suspected.is_some_and(|at| at <= started));
            let Some(sent) = suspect else {
                i += 1;
                continue;
            };
            if !target_answers {
                // The target did not answer the probe either, so the
                // connection itself is not known to be at fault.
                sent.suspected = None;
                sent.silent_since = cx.now;
                i += 1;
                continue;
            }
            let conn = self.close_conn(cx, i);
            let Some(sent) = conn.request() else { continue };
            cx.log(
                &event::target::CONNECTION_SILENT,
                format!(
                    "target={} connection={} job={} waited_ms={}",
                    self.spec.name,
                    conn.id,
                    sent.job,
                    cx.now.since(sent.sent_at).as_millis()
                ),
            );
            // A target that is only slow needs more time, or none of its
            // answers would ever arrive.
            self.silence_doublings =
                (self.silence_doublings + 1).min(MAX_SILENCE_DOUBLINGS);
            // Whatever dropped the state of this connection has probably
            // dropped that of connections that were idle for as long.
            cx.silent_sent_at = Some(sent.sent_at);
            self.close_idle_since(cx, sent.sent_at);
            i = 0;
        }
    }
}
