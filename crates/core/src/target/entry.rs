/*!
State of one target with its queue and connections, and the dispatch of its
jobs.
*/

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    HomeRole, Job, JobOutcome, RequestId, TargetEffect, TargetOptions,
    TargetReport, TargetSpec, TargetState,
    conn::{Conn, ConnState, SentRequest, conn_id},
    handover::Sharing,
    latency::Latency,
    queue::JobQueue,
};
use crate::{
    event::{self, EventKind, LogEvent},
    id::{ConnId, JobId},
    snapshot::{Holding, Snapshot},
    time::Time,
};

/// Context of one step: state that all targets share, and the output.
pub(crate) struct Cx<'a, O> {
    pub(crate) now: Time,
    pub(crate) options: &'a TargetOptions,
    pub(crate) rng: &'a mut Pcg64Mcg,
    /// Jobs that have not ended, with the slab key of their target.
    pub(crate) jobs: &'a mut BTreeMap<JobId, u32>,
    pub(crate) conn_counter: &'a mut u64,
    /// When the request was sent on the latest connection that was found
    /// silent in this step.
    pub(crate) silent_sent_at: Option<Time>,
    pub(crate) out: &'a mut O,
}

impl<O: Extend<TargetEffect>> Cx<'_, O> {
    pub(crate) fn emit(&mut self, effect: TargetEffect) {
        self.out.extend([effect]);
    }

    pub(crate) fn log(&mut self, kind: &'static EventKind, detail: String) {
        self.emit(TargetEffect::Log(LogEvent::new(kind, detail)));
    }

    /// Ends a job with its outcome.
    pub(crate) fn done(&mut self, job: JobId, outcome: JobOutcome) {
        self.jobs.remove(&job);
        self.emit(TargetEffect::Done(job, outcome));
    }

    /// Returns a random duration between half of `span` and `span`, so that
    /// instances and targets do not act at the same moment.
    pub(crate) fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.5..1.0))
    }
}

/// Fields of a report that change often.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Summary {
    pub(crate) state: TargetState,
    pub(crate) limit: u32,
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) latency_us: u32,
    pub(crate) shared: bool,
}

/// State that this instance keeps for one target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) slab_key: u32,
    pub(crate) spec: TargetSpec,
    /// Whether the configuration no longer lists the target.
    pub(crate) removed: bool,
    pub(crate) state: TargetState,
    /// Concurrency limit of the warm-up ramp.
    pub(crate) limit: u32,
    /// Good answers counted towards the next raise of the limit.
    pub(crate) good_answers: u32,
    /// Slow answers in a row.
    pub(crate) slow_answers: u32,
    pub(crate) cold_since: Time,
    pub(crate) limit_halved_at: Option<Time>,
    pub(crate) last_good_answer_at: Option<Time>,
    pub(crate) latency: Latency,
    /// Whether all connections were lost since the last answer. The process
    /// may have restarted, so it gets one request at a time until an answer
    /// arrives.
    pub(crate) maybe_restarted: bool,
    pub(crate) leaving_by_health: bool,
    pub(crate) leaving_by_platform: bool,
    /// End of the takeover hold of a new home.
    pub(crate) hold_until: Option<Time>,
    /// Agreement with the standby, or with the home, on who may send.
    pub(crate) sharing: Sharing,
    /// Boot identifier in the last answer that had one.
    pub(crate) answer_boot: Option<u64>,
    /// Boot identifier in the last health report.
    pub(crate) health_boot: Option<u64>,
    /// Boot identifier of health reports that answers have contradicted.
    pub(crate) refuted_boot: Option<u64>,
    pub(crate) last_uptime_ms: u64,
    pub(crate) holds: Vec<Holding>,
    /// Newest snapshot that any target of its routes holds.
    pub(crate) newest_snapshot: Option<Snapshot>,
    /// When an answer last listed what the target holds.
    pub(crate) holds_answered_at: Option<Time>,
    pub(crate) queue: JobQueue,
    pub(crate) conns: Vec<Conn>,
    /// Abandoned requests that may still run at the target.
    pub(crate) pending_cancels: Vec<PendingCancel>,
    /// How many times the silence timeout is doubled.
    pub(crate) silence_doublings: u32,
    /// Connection failures since the last answer, which set the pause.
    pub(crate) failures: u32,
    /// When connecting is allowed again after a failure.
    pub(crate) retry_at: Option<Time>,
    /// Connection cap after a 429 answer, and when it is raised by one.
    pub(crate) reduced_cap: Option<(usize, Time)>,
    /// When the health probe in flight was sent.
    pub(crate) probe_started_at: Option<Time>,
    /// When the last health probe ended.
    pub(crate) probed_at: Time,
    /// When the next health probe is due at the latest.
    pub(crate) next_probe: Time,
    pub(crate) missed_probes: u32,
    /// Summary in the last published report.
    pub(crate) last_report: Option<Summary>,
    pub(crate) last_report_at: Time,
    /// When a delayed report is to be published.
    pub(crate) report_due: Option<Time>,
    pub(crate) holds_changed: bool,
    pub(crate) logged_limit: u32,
    /// Time under which the target is listed in `Targets::timers`.
    pub(crate) scheduled_tick: Option<Time>,
}

/// An abandoned request, which occupies a slot until the target confirms its
/// cancellation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCancel {
    pub(crate) request: RequestId,
    /// When the slot is freed without a confirmation.
    pub(crate) until: Time,
}

impl Target {
    pub(crate) fn new(slab_key: u32, spec: TargetSpec, now: Time) -> Target {
        Target {
            slab_key,
            spec,
            removed: false,
            state: TargetState::Cold,
            limit: 1,
            good_answers: 0,
            slow_answers: 0,
            cold_since: now,
            limit_halved_at: None,
            last_good_answer_at: None,
            latency: Latency::default(),
            maybe_restarted: false,
            leaving_by_health: false,
            leaving_by_platform: false,
            hold_until: None,
            sharing: Sharing::default(),
            answer_boot: None,
            health_boot: None,
            refuted_boot: None,
            last_uptime_ms: 0,
            holds: Vec::new(),
            newest_snapshot: None,
            holds_answered_at: None,
            queue: JobQueue::default(),
            conns: Vec::new(),
            pending_cancels: Vec::new(),
            silence_doublings: 0,
            failures: 0,
            retry_at: None,
            reduced_cap: None,
            probe_started_at: None,
            probed_at: now,
            next_probe: now,
            missed_probes: 0,
            last_report: None,
            last_report_at: now,
            report_due: None,
            holds_changed: false,
            logged_limit: 0,
            scheduled_tick: None,
        }
    }

    /// Returns the maximum number of open connections. Half of the
    /// connections that the target accepts are left to another instance that
    /// may use the target at the same time, such as a former home.
    pub(crate) fn conn_cap(&self) -> usize {
        let max = (self.spec.connections / 2)
            .min(self.slots().saturating_mul(2).saturating_add(2))
            .max(1) as usize;
        self.reduced_cap.map_or(max, |(cap, _)| max.min(cap))
    }

    /// Whether the state of the target is no longer needed.
    pub(crate) fn is_removable(&self) -> bool {
        self.removed
            && self.conns.is_empty()
            && self.pending_cancels.is_empty()
    }

    /// Returns the index of a connection in `conns`.
    pub(crate) fn conn_index(&self, id: ConnId) -> Option<usize> {
        self.conns.iter().position(|c| c.id == id)
    }

    pub(crate) fn submit<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        job: Job,
    ) {
        if job.deadline <= cx.now {
            cx.done(job.id, JobOutcome::Expired);
            return;
        }
        if !self.accepts_jobs() {
            self.shed(cx, job.id, "no_new_work");
            return;
        }
        if self.is_forbidden() {
            self.shed(cx, job.id, "home_only");
            return;
        }
        if job.fresh_connection {
            // All of these may have been lost together with the connection of
            // the earlier request.
            let idle = |c: &&mut Conn| c.idle_since().is_some();
            self.conns.iter_mut().filter(idle).for_each(|c| c.is_new = false);
        }
        // The queue is bounded by the number of jobs that can be served
        // before the latest deadline in it.
        let horizon = self
            .queue
            .back()
            .map_or(job.deadline, |last| last.deadline.max(job.deadline));
        let latency = self
            .latency
            .smoothed()
            .unwrap_or(cx.options.initial_latency)
            .as_micros()
            .max(1);
        let limit = self.effective_limit() as usize;
        let rounds = horizon.since(cx.now).as_micros() / latency;
        let max_queued = usize::try_from(rounds)
            .unwrap_or(usize::MAX)
            .saturating_mul(limit)
            .clamp(limit, cx.options.queue_max.max(limit));
        self.queue.push(job);
        if self.queue.len() > max_queued
            && let Some(last) = self.queue.pop_back()
        {
            self.shed(cx, last.id, "queue_full");
        }
    }

    pub(crate) fn shed<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        job: JobId,
        reason: &str,
    ) {
        cx.log(
            &event::target::JOB_SHED,
            format!("target={} job={job} reason={reason}", self.spec.name),
        );
        cx.done(job, JobOutcome::Shed);
    }

    /// Ends expired jobs, sends queued jobs up to the concurrency limit and
    /// opens connections for those that lack one.
    pub(crate) fn dispatch<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
    ) {
        while let Some(job) = self.queue.pop_expired(cx.now) {
            cx.done(job.id, JobOutcome::Expired);
        }
        if !self.accepts_jobs() {
            while let Some(job) = self.queue.pop_front() {
                self.shed(cx, job.id, "no_new_work");
            }
        }
        if self.awaits_handover() {
            return;
        }
        let limit = self.effective_limit();
        loop {
            let available = limit.saturating_sub(self.running()) as usize;
            let Some(job) = self.queue.front() else { break };
            if available == 0 {
                break;
            }
            let Some(i) = self.pick_conn(cx, job) else {
                self.open_conns(cx, available.min(self.queue.len()));
                break;
            };
            if let Some(job) = self.queue.pop_front() {
                let conn = &mut self.conns[i];
                conn.state = ConnState::Busy(SentRequest::new(&job, cx.now));
                cx.emit(TargetEffect::Send { conn: conn.id, job });
            }
        }
    }

    /// Returns the index of the most recently used idle connection, so that
    /// surplus connections reach the idle timeout and are closed.
    fn pick_conn<O>(&self, cx: &Cx<'_, O>, job: &Job) -> Option<usize> {
        self.conns
            .iter()
            .enumerate()
            .filter(|(_, conn)| conn.is_new || !job.fresh_connection)
            .filter_map(|(i, conn)| Some((conn.idle_since()?, i)))
            // A health probe uses a separate connection and proves nothing
            // about this one. A request that must not be repeated gets a
            // fresh connection instead of one that was idle for long.
            .filter(|(since, _)| {
                job.repeatable
                    || cx.now.since(*since)
                        <= cx.options.non_repeatable_idle_max
            })
            .max()
            .map(|(_, i)| i)
    }

    /// Opens connections until `count` are being established.
    pub(crate) fn open_conns<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        count: usize,
    ) {
        if self.retry_at.is_some_and(|at| cx.now < at) {
            return;
        }
        let count = if self.failures > 0 { 1 } else { count };
        loop {
            let connecting =
                self.conns.iter().filter(|c| c.is_connecting()).count();
            if connecting >= count {
                break;
            }
            if self.conns.len() >= self.conn_cap() {
                // The idle connections left here were idle for too long or
                // are unsuitable for the job; the oldest is replaced.
                let oldest = self
                    .conns
                    .iter()
                    .enumerate()
                    .filter_map(|(i, conn)| Some((conn.idle_since()?, i)))
                    .min();
                let Some((_, i)) = oldest else { break };
                let conn = self.conns.swap_remove(i);
                cx.emit(TargetEffect::Close(conn.id));
                continue;
            }
            *cx.conn_counter += 1;
            let id = conn_id(self.slab_key, *cx.conn_counter);
            self.conns.push(Conn {
                id,
                state: ConnState::Connecting { since: cx.now },
                carried_answer: false,
                is_new: true,
            });
            cx.emit(TargetEffect::Connect {
                target: self.spec.id,
                address: self.spec.address,
                conn: id,
            });
        }
    }

    /// Closes the connections that carry no request and match `predicate`.
    pub(crate) fn close_unused<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        predicate: impl Fn(&Conn) -> bool,
    ) {
        self.conns.retain(|conn| {
            let close = conn.request().is_none() && predicate(conn);
            if close {
                cx.emit(TargetEffect::Close(conn.id));
            }
            !close
        });
    }

    /// Closes the connections that have been idle since `at` or longer.
    pub(crate) fn close_idle_since<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        at: Time,
    ) {
        self.close_unused(cx, |c| c.idle_since().is_some_and(|s| s <= at));
    }

    fn summary(&self) -> Summary {
        let latency = self.latency.smoothed().unwrap_or_default();
        Summary {
            state: self.reported_state(),
            limit: self.effective_limit(),
            running: self.running(),
            queued: self.queue.len() as u32,
            latency_us: u32::try_from(latency.as_micros()).unwrap_or(u32::MAX),
            shared: self.is_shared(),
        }
    }

    /// Returns the report on the target if this instance is its home.
    pub(crate) fn report(&self) -> Option<TargetReport> {
        if self.spec.role != HomeRole::Home {
            return None;
        }
        let summary = self.summary();
        Some(TargetReport {
            target: self.spec.id,
            state: summary.state,
            limit: summary.limit,
            running: summary.running,
            queued: summary.queued,
            latency_us: summary.latency_us,
            holds: self.holds.clone(),
            shared: self.is_shared(),
        })
    }

    /// Publishes a report if it has changed: at once if the state, limit or
    /// holdings differ, else at most once per `report_interval`.
    pub(crate) fn publish_report<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
    ) {
        let summary = self.summary();
        if summary.limit != self.logged_limit {
            cx.log(
                &event::target::TARGET_LIMIT,
                format!(
                    "target={} from={} to={}",
                    self.spec.name, self.logged_limit, summary.limit
                ),
            );
            self.logged_limit = summary.limit;
        }
        self.report_due = None;
        if self.spec.role != HomeRole::Home {
            self.last_report = None;
            return;
        }
        if self.last_report == Some(summary) && !self.holds_changed {
            return;
        }
        let immediate = self.holds_changed
            || self.last_report.is_none_or(|last| {
                last.state != summary.state
                    || last.limit != summary.limit
                    || last.shared != summary.shared
            });
        let due = self.last_report_at + cx.options.report_interval;
        if !immediate && cx.now < due {
            self.report_due = Some(due);
            return;
        }
        self.last_report = Some(summary);
        self.last_report_at = cx.now;
        self.holds_changed = false;
        if let Some(report) = self.report() {
            cx.emit(TargetEffect::Report(report));
        }
    }
}
