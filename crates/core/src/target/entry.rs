/*!
One target: its queue and its connections.
*/

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    HomeRole, Job, JobOutcome, RequestId, TargetEffect, TargetOptions,
    TargetReport, TargetSpec, TargetState,
    conn::{Conn, ConnState, Sent, conn_id},
    latency::Latency,
    queue::JobQueue,
};
use crate::{
    event::{self, EventKind, LogEvent},
    id::{ConnId, JobId},
    snapshot::Holding,
    time::Time,
};

/// What a step needs besides the target itself.
pub(crate) struct Cx<'a, O> {
    pub(crate) now: Time,
    pub(crate) options: &'a TargetOptions,
    pub(crate) rng: &'a mut Pcg64Mcg,
    /// Jobs that have not ended, with the position of their target.
    pub(crate) jobs: &'a mut BTreeMap<JobId, u32>,
    pub(crate) next_conn: &'a mut u64,
    pub(crate) out: &'a mut O,
}

impl<O: Extend<TargetEffect>> Cx<'_, O> {
    pub(crate) fn emit(&mut self, effect: TargetEffect) {
        self.out.extend([effect]);
    }

    pub(crate) fn log(&mut self, kind: &'static EventKind, detail: String) {
        self.emit(TargetEffect::Log(LogEvent::new(kind, detail)));
    }

    pub(crate) fn done(&mut self, job: JobId, outcome: JobOutcome) {
        self.jobs.remove(&job);
        self.emit(TargetEffect::Done(job, outcome));
    }

    /// A span between half and the whole of `span`, so that instances and
    /// targets do not act in step.
    pub(crate) fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.5..1.0))
    }
}

/// The parts of a report that change often.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Summary {
    pub(crate) state: TargetState,
    pub(crate) limit: u32,
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) latency_us: u32,
}

/// Everything known about one target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) slot: u32,
    pub(crate) spec: TargetSpec,
    /// Whether the configuration no longer lists it.
    pub(crate) gone: bool,
    pub(crate) state: TargetState,
    pub(crate) limit: u32,
    pub(crate) good_answers: u32,
    pub(crate) slow_answers: u32,
    pub(crate) cold_since: Time,
    pub(crate) halved_at: Option<Time>,
    pub(crate) good_at: Option<Time>,
    pub(crate) latency: Latency,
    /// Whether every connection was lost since the last answer. The process
    /// may have restarted, so it gets one request until an answer arrives.
    pub(crate) unconfirmed: bool,
    pub(crate) leaving_by_health: bool,
    pub(crate) leaving_by_platform: bool,
    pub(crate) hold_until: Option<Time>,
    pub(crate) answer_boot: Option<u64>,
    pub(crate) health_boot: Option<u64>,
    pub(crate) refuted_boot: Option<u64>,
    pub(crate) last_uptime_ms: u64,
    pub(crate) holds: Vec<Holding>,
    pub(crate) holds_at: Option<Time>,
    pub(crate) queue: JobQueue,
    pub(crate) conns: Vec<Conn>,
    /// Requests that were given up and may still run at the target.
    pub(crate) lingering: Vec<Lingering>,
    /// Doublings of the time until a connection is suspected.
    pub(crate) silent_doublings: u32,
    pub(crate) failures: u32,
    pub(crate) retry_at: Option<Time>,
    /// Connections that a 429 answer left, and when one more is tried.
    pub(crate) reduced_cap: Option<(usize, Time)>,
    /// When the running health probe was sent.
    pub(crate) probe: Option<Time>,
    pub(crate) next_probe: Time,
    pub(crate) missed_probes: u32,
    pub(crate) reported: Option<Summary>,
    pub(crate) reported_at: Time,
    pub(crate) report_due: Option<Time>,
    pub(crate) holds_changed: bool,
    pub(crate) logged_limit: u32,
    /// Entry in the table of timers.
    pub(crate) scheduled: Option<Time>,
}

/// A request that was given up and counts until the target has confirmed its
/// cancellation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lingering {
    pub(crate) request: RequestId,
    /// When it stops counting without a confirmation.
    pub(crate) until: Time,
}

impl Target {
    pub(crate) fn new(slot: u32, spec: TargetSpec, now: Time) -> Target {
        Target {
            slot,
            spec,
            gone: false,
            state: TargetState::Cold,
            limit: 1,
            good_answers: 0,
            slow_answers: 0,
            cold_since: now,
            halved_at: None,
            good_at: None,
            latency: Latency::default(),
            unconfirmed: false,
            leaving_by_health: false,
            leaving_by_platform: false,
            hold_until: None,
            answer_boot: None,
            health_boot: None,
            refuted_boot: None,
            last_uptime_ms: 0,
            holds: Vec::new(),
            holds_at: None,
            queue: JobQueue::default(),
            conns: Vec::new(),
            lingering: Vec::new(),
            silent_doublings: 0,
            failures: 0,
            retry_at: None,
            reduced_cap: None,
            probe: None,
            next_probe: now,
            missed_probes: 0,
            reported: None,
            reported_at: now,
            report_due: None,
            holds_changed: false,
            logged_limit: 0,
            scheduled: None,
        }
    }

    /// Connections that may be open at the same time.
    pub(crate) fn cap(&self) -> usize {
        let most = (self.spec.connections / 2)
            .min(self.slots().saturating_mul(2).saturating_add(2))
            .max(1) as usize;
        self.reduced_cap.map_or(most, |(cap, _)| most.min(cap))
    }

    /// Whether the target may be forgotten.
    pub(crate) fn is_finished(&self) -> bool {
        self.gone && self.conns.is_empty() && self.lingering.is_empty()
    }

    pub(crate) fn conn(&self, id: ConnId) -> Option<usize> {
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
        if !self.accepts() {
            self.shed(cx, job.id, "no_new_work");
            return;
        }
        // What can be served until the deadline of the last in the queue.
        let horizon = self
            .queue
            .back()
            .map_or(job.deadline, |last| last.deadline.max(job.deadline));
        let latency = self
            .latency
            .smoothed()
            .unwrap_or(cx.options.unknown_latency)
            .as_micros()
            .max(1);
        let allowed = self.allowed() as usize;
        let rounds = horizon.since(cx.now).as_micros() / latency;
        let bound = usize::try_from(rounds)
            .unwrap_or(usize::MAX)
            .saturating_mul(allowed)
            .clamp(allowed, cx.options.queue_max.max(allowed));
        self.queue.push(job);
        if self.queue.len() > bound
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

    /// Sends what may be sent and opens connections for the rest.
    pub(crate) fn pump<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
    ) {
        while let Some(job) = self.queue.pop_expired(cx.now) {
            cx.done(job.id, JobOutcome::Expired);
        }
        if !self.accepts() {
            while let Some(job) = self.queue.pop_front() {
                self.shed(cx, job.id, "no_new_work");
            }
        }
        let allowed = self.allowed();
        loop {
            let room = allowed.saturating_sub(self.running()) as usize;
            let Some(job) = self.queue.front() else { break };
            if room == 0 {
                break;
            }
            let Some(i) = self.pick(cx, job) else {
                self.open(cx, room.min(self.queue.len()));
                break;
            };
            if let Some(job) = self.queue.pop_front() {
                let conn = &mut self.conns[i];
                conn.state = ConnState::Busy(Sent::new(&job, cx.now));
                cx.emit(TargetEffect::Send { conn: conn.id, job });
            }
        }
    }

    /// Chooses the idle connection that was used last, so that the others
    /// grow old and are closed.
    fn pick<O>(&self, cx: &Cx<'_, O>, job: &Job) -> Option<usize> {
        self.conns
            .iter()
            .enumerate()
            // A connection that has carried an answer may have been lost
            // together with the one that the earlier request was on.
            .filter(|(_, conn)| !(job.fresh_connection && conn.proven))
            .filter_map(|(i, conn)| Some((conn.idle_since()?, i)))
            // A health probe runs on a connection of its own and shows
            // nothing about this one. A request that must not be repeated
            // gets a fresh connection instead.
            .filter(|(since, _)| {
                job.repeatable || cx.now.since(*since) <= cx.options.idle_trust
            })
            .max()
            .map(|(_, i)| i)
    }

    /// Opens connections until `wanted` are being opened.
    pub(crate) fn open<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        wanted: usize,
    ) {
        if self.retry_at.is_some_and(|at| cx.now < at) {
            return;
        }
        let wanted = if self.failures > 0 { 1 } else { wanted };
        loop {
            let connecting =
                self.conns.iter().filter(|c| c.is_connecting()).count();
            if connecting >= wanted {
                break;
            }
            if self.conns.len() >= self.cap() {
                // Only connections that were idle for too long are left
                // idle here; the oldest makes room.
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
            *cx.next_conn += 1;
            let id = conn_id(self.slot, *cx.next_conn);
            self.conns.push(Conn {
                id,
                state: ConnState::Connecting { since: cx.now },
                proven: false,
            });
            cx.emit(TargetEffect::Connect {
                target: self.spec.id,
                address: self.spec.address,
                conn: id,
            });
        }
    }

    /// Closes connections that carry no request.
    pub(crate) fn close_unused<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        which: impl Fn(&Conn) -> bool,
    ) {
        self.conns.retain(|conn| {
            let close = conn.sent().is_none() && which(conn);
            if close {
                cx.emit(TargetEffect::Close(conn.id));
            }
            !close
        });
    }

    fn summary(&self) -> Summary {
        let latency = self.latency.smoothed().unwrap_or_default();
        Summary {
            state: self.visible_state(),
            limit: self.allowed(),
            running: self.running(),
            queued: self.queue.len() as u32,
            latency_us: u32::try_from(latency.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// The report on the target, if this instance is its home.
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
        })
    }

    /// Emits a report if something changed, but not too often.
    pub(crate) fn publish<O: Extend<TargetEffect>>(
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
            self.reported = None;
            return;
        }
        if self.reported == Some(summary) && !self.holds_changed {
            return;
        }
        let at_once = self.holds_changed
            || self.reported.is_none_or(|last| {
                last.state != summary.state || last.limit != summary.limit
            });
        let due = self.reported_at + cx.options.report_interval;
        if !at_once && cx.now < due {
            self.report_due = Some(due);
            return;
        }
        self.reported = Some(summary);
        self.reported_at = cx.now;
        self.holds_changed = false;
        if let Some(report) = self.report() {
            cx.emit(TargetEffect::Report(report));
        }
    }
}
