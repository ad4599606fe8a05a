//! Test rig with a target reducer under simulated time, and builders of
//! targets, jobs and answers.
#![allow(dead_code, reason = "Each test file uses a part of it.")]

use std::time::Duration;

use bytes::Bytes;
use primrosemast_core::{
    config::Priority,
    id::{ConnId, JobId, QueryId, TargetId, ZoneId},
    snapshot::{Holding, Snapshot},
    target::*,
    time::Time,
};

pub const SNAPSHOT: Snapshot = Snapshot { index_version: 7, partition_map: 2 };
pub const BOOT: u64 = 1;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn spec(id: u64, slots: u32) -> TargetSpec {
    TargetSpec {
        id: TargetId(id),
        name: format!("t{id}"),
        address: ([127, 0, 0, 1], 1_000 + id as u16).into(),
        zone: ZoneId(1),
        zone_out: false,
        slots,
        connections: 25,
        role: HomeRole::Home,
        peer: None,
    }
}

pub fn job(id: u64, target: u64, deadline: Time) -> Job {
    Job {
        id: JobId(id),
        target: TargetId(target),
        query: QueryId(id * 10),
        attempt: 1,
        snapshot: SNAPSHOT,
        shard: 3,
        deadline,
        priority: Priority::Normal,
        repeatable: true,
        fresh_connection: false,
        body: Bytes::from_static(b"q"),
    }
}

pub fn holding() -> Holding {
    Holding { snapshot: SNAPSHOT, shard: 3, shard_count: 4 }
}

/// Returns the answer of a target that serves the job.
pub fn answer_to(job: &Job) -> TargetAnswer {
    TargetAnswer {
        status: 200,
        request_id: format!("{}-{}-{}", job.query, job.attempt, job.shard),
        snapshot: Some(job.snapshot),
        shard: Some(job.shard),
        boot_id: Some(BOOT),
        checksum: Some(job.id.0 as u32),
        body_checksum: job.id.0 as u32,
        holds: Some(vec![holding()]),
        verdict: None,
        body: Bytes::from(job.id.0.to_string()),
    }
}

pub fn refusal(status: u16) -> TargetAnswer {
    TargetAnswer { status, ..TargetAnswer::default() }
}

pub fn health(status: HealthStatus, boot_id: u64) -> HealthReport {
    HealthReport { status, boot_id, uptime_ms: 5_000, holds: vec![holding()] }
}

/// The reducer, its simulated time and the effects of the last step.
pub struct Rig {
    pub targets: Targets,
    pub now: Time,
    pub effects: Vec<TargetEffect>,
    pub next_job: u64,
}

impl Rig {
    pub fn new(options: TargetOptions) -> Rig {
        let targets = Targets::new(options, 1);
        let now = Time::from_millis(1_000);
        Rig { targets, now, effects: Vec::new(), next_job: 1 }
    }

    /// Creates a rig for a new fleet with one target whose first health probe
    /// has been answered.
    pub fn with_target(slots: u32) -> Rig {
        // With 0 percent, suspicion depends on the latency alone. The share of
        // the time until the deadline is tested separately.
        let options = TargetOptions {
            fleet_is_new: true,
            silent_deadline_percent: 0,
            cancel_grace: ms(25),
            ..TargetOptions::default()
        };
        let mut rig = Rig::new(options);
        rig.step(TargetEvent::Configure(vec![spec(1, slots)]));
        rig.health(Some(health(HealthStatus::Ok, BOOT)));
        rig
    }

    /// Creates a rig with one target that has answered until it was ready.
    pub fn ready(slots: u32) -> Rig {
        let mut rig = Rig::with_target(slots);
        rig.warm_up();
        rig
    }

    pub fn warm_up(&mut self) {
        for _ in 0..8 * 16 {
            self.serve(ms(5));
        }
        assert_eq!(self.state(), TargetState::Ready);
    }

    pub fn step(&mut self, event: TargetEvent) -> &[TargetEffect] {
        self.effects.clear();
        self.targets.step(self.now, event, &mut self.effects);
        &self.effects
    }

    pub fn health(&mut self, report: Option<HealthReport>) {
        self.step(TargetEvent::Health(TargetId(1), report));
    }

    pub fn report(&self) -> TargetReport {
        self.targets.report(TargetId(1)).expect("the target is served here")
    }

    pub fn state(&self) -> TargetState {
        self.report().state
    }

    /// Advances the time, with every tick that becomes due, and returns all
    /// effects. Health probes are answered with the status `Ok`.
    pub fn advance(&mut self, span: Duration) -> Vec<TargetEffect> {
        let end = self.now + span;
        let mut effects = Vec::new();
        while let Some(at) = self.targets.next_deadline()
            && at <= end
        {
            self.now = self.now.max(at);
            effects.extend_from_slice(self.step(TargetEvent::Tick));
            if !probes(&self.effects).is_empty() {
                self.health(Some(health(HealthStatus::Ok, BOOT)));
                effects.append(&mut self.effects);
            }
        }
        self.now = end;
        effects
    }

    /// Returns a new job with a deadline in one second.
    pub fn job(&mut self) -> Job {
        self.next_job += 1;
        job(self.next_job, 1, self.now + ms(1_000))
    }

    pub fn submit(&mut self) -> Job {
        let job = self.job();
        self.step(TargetEvent::Submit(job.clone()));
        job
    }

    /// Establishes all requested connections and returns the jobs sent.
    pub fn open_all(&mut self) -> Vec<(ConnId, Job)> {
        let mut sent = sends(&self.effects);
        for conn in connects(&self.effects) {
            self.step(TargetEvent::Connected(conn));
            sent.extend(sends(&self.effects));
        }
        sent
    }

    /// Submits a job, establishes its connection and returns both.
    pub fn send(&mut self) -> (ConnId, Job) {
        self.submit();
        self.open_all().pop().expect("the job is sent at once")
    }

    /// Like `send`, with a job for another target.
    pub fn send_to(&mut self, target: u64) -> (ConnId, Job) {
        let job = Job { target: TargetId(target), ..self.job() };
        self.step(TargetEvent::Submit(job));
        self.open_all().pop().expect("the job is sent at once")
    }

    pub fn answer(&mut self, conn: ConnId, job: &Job) -> &[TargetEffect] {
        let answer = answer_to(job);
        self.step(TargetEvent::Answer(conn, job.id, answer))
    }

    /// Runs one job to its answer, which arrives after `latency`.
    pub fn serve(&mut self, latency: Duration) {
        let (conn, job) = self.send();
        self.now += latency;
        let answered = matches!(
            self.answer(conn, &job),
            [TargetEffect::Done(_, JobOutcome::Answered { .. }), ..]
        );
        assert!(answered, "{:?}", self.effects);
    }
}

pub fn sends(effects: &[TargetEffect]) -> Vec<(ConnId, Job)> {
    let sent = |effect: &TargetEffect| match effect {
        TargetEffect::Send { conn, job } => Some((*conn, job.clone())),
        _ => None,
    };
    effects.iter().filter_map(sent).collect()
}

pub fn connects(effects: &[TargetEffect]) -> Vec<ConnId> {
    let opened = |effect: &TargetEffect| match effect {
        TargetEffect::Connect { conn, .. } => Some(*conn),
        _ => None,
    };
    effects.iter().filter_map(opened).collect()
}

pub fn closes(effects: &[TargetEffect]) -> Vec<ConnId> {
    let closed = |effect: &TargetEffect| match effect {
        TargetEffect::Close(conn) => Some(*conn),
        _ => None,
    };
    effects.iter().filter_map(closed).collect()
}

pub fn ended_jobs(effects: &[TargetEffect]) -> Vec<(JobId, JobOutcome)> {
    let done = |effect: &TargetEffect| match effect {
        TargetEffect::Done(job, outcome) => Some((*job, outcome.clone())),
        _ => None,
    };
    effects.iter().filter_map(done).collect()
}

pub fn probes(effects: &[TargetEffect]) -> Vec<TargetId> {
    let probed = |effect: &TargetEffect| match effect {
        TargetEffect::ProbeHealth { target, .. } => Some(*target),
        _ => None,
    };
    effects.iter().filter_map(probed).collect()
}
