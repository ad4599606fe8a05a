//! A simulated fleet that plays one roll-out: instances with traffic, targets
//! of two versions, three control replicas, and messages that are lost,
//! repeated and late.

use primrosemast_core::{
    config::Configuration,
    control::{Applied, Change, Command, ControlState, RolloutReply},
    forward::table::{ForwardService, Forwarding},
    id::{ConfigVersion, InstanceId, RouteId, TargetId},
    rollout::{
        Rollout, RolloutOrder, Stage,
        brake::{BRAKE_TIME, Brake},
        exposure::{Exposure, Pick},
        judge::Tally,
        report::{Report, Rows},
        supervisor::{
            Supervisor, SupervisorEffect, SupervisorEvent, SupervisorOptions,
        },
    },
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

pub const SERVICE: &str = "desk";
pub const SHARE: f64 = 0.1;
pub const SLACK: f64 = 50.0;

const STEP_MS: u64 = 10;
const REPORT_EVERY_MS: u64 = 250;
const TARGETS: u64 = 3;
const ROUTES: u64 = 2;

/// How the new version differs from the old one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    Good,
    /// One of its targets is 5 times slower and fails a third.
    OneBadTarget,
    /// It is 5 times slower for a second after its first request.
    Cold,
    /// Both versions fail a third and are slow for 2 s.
    BothInTrouble,
    /// A fraction of its answers are failures.
    Failing(f64),
    /// A fraction of its answers are 5 times slower.
    Slow(f64),
    /// Half of its answers are failures, from this fraction of the duration.
    Late(f64),
    /// Half of its answers are failures on one route.
    OneRoute,
    /// Half of its answers are failures while it gets over a third of the
    /// requests.
    UnderLoad,
}

impl Pattern {
    pub fn is_good(self) -> bool {
        matches!(
            self,
            Pattern::Good
                | Pattern::OneBadTarget
                | Pattern::Cold
                | Pattern::BothInTrouble
        )
    }
}

/// Size and faults of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub instances: usize,
    pub per_second: f64,
    pub duration_ms: u64,
    /// Probability that a report or a command is lost, and that a report is
    /// repeated.
    pub loss: f64,
    pub leader_changes: usize,
    /// Whether instances keep the bound; without it, all requests go to the
    /// new version.
    pub bounded: bool,
    /// Whether the supervisor sees the reports.
    pub judged: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            instances: 10,
            per_second: 60.0,
            duration_ms: 12_000,
            loss: 0.1,
            leader_changes: 1,
            bounded: true,
            judged: true,
        }
    }
}

struct Instance {
    known: Rollout,
    known_version: ConfigVersion,
    exposure: Exposure,
    rows: Rows,
    epoch: u64,
    sequence: u64,
    next_report: u64,
    brake: Brake,
    braked_until: u64,
}

/// What happened in a roll-out.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub stage: Stage,
    pub reason: String,
    /// When it ended, in milliseconds after the order.
    pub ended_ms: Option<u64>,
    /// Requests between the order and its deadline.
    pub requests: u64,
    /// Requests at the new version in that time.
    pub exposed: u64,
    /// When the first and the fiftieth bad answer of the new version arrived,
    /// and when the last request was sent to it.
    pub first_bad_ms: Option<u64>,
    pub fiftieth_bad_ms: Option<u64>,
    pub last_new_ms: u64,
    /// Stages in the order in which they were committed.
    pub stages: Vec<Stage>,
}

/// Returns a state with the service in its forwarding table.
pub fn state() -> ControlState {
    let mut state = ControlState::default();
    let service = ForwardService { name: SERVICE.into(), connections: 20 };
    let configuration = Configuration {
        forwarding: Forwarding {
            revision: 1,
            services: vec![service],
            ..Forwarding::default()
        },
        ..Configuration::default()
    };
    let change = Change {
        change_id: "first".into(),
        expected_version: ConfigVersion(0),
        document: rmp_serde::to_vec_named(&configuration)
            .expect("encodes")
            .into(),
    };
    state.apply(1, &Command::Change(change).encode());
    state
}

pub fn order(version: &str, duration_ms: u64) -> RolloutOrder {
    RolloutOrder {
        share: SHARE,
        slack: SLACK,
        replaces: vec!["v1".into()],
        ..RolloutOrder::new(SERVICE, version, duration_ms)
    }
}

/// Applies a command about a roll-out and returns its result.
pub fn apply(state: &mut ControlState, command: Command) -> RolloutReply {
    match state.apply(state.index() + 1, &command.encode()) {
        Applied::Rollout { reply, .. } => reply,
        applied => panic!("{applied:?}"),
    }
}

/// Plays a roll-out to twice its duration.
pub fn play(pattern: Pattern, options: Options, seed: u64) -> Outcome {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut state = state();
    let command = Command::StartRollout(order("v2", options.duration_ms));
    let first = apply(&mut state, command).rollout.expect("a roll-out");
    let mut supervisors =
        vec![Supervisor::new(SupervisorOptions::default()); 3];
    let mut leader = 0;
    let start = Time::from_millis(1_000);
    let at = |ms: u64| Time::from_millis(1_000 + ms);
    for (i, supervisor) in supervisors.iter_mut().enumerate() {
        let (rollouts, clocks) = state.rollouts();
        let event =
            SupervisorEvent::Records(rollouts.to_vec(), clocks.to_vec());
        supervisor.step(start, event, &mut Vec::new());
        let leading = SupervisorEvent::Leading(i == leader);
        supervisor.step(start, leading, &mut Vec::new());
    }
    let mut instances: Vec<Instance> = (0..options.instances)
        .map(|_| Instance {
            known: first.clone(),
            known_version: ConfigVersion(0),
            exposure: Exposure::new(rng.random()),
            rows: Rows::default(),
            epoch: rng.random(),
            sequence: 0,
            next_report: rng.random_range(0..REPORT_EVERY_MS),
            brake: Brake::default(),
            braked_until: 0,
        })
        .collect();
    let weights: Vec<f64> =
        instances.iter().map(|_| rng.random_range(0.2..2.0)).collect();
    let weight_sum: f64 = weights.iter().sum();
    let changes: Vec<(u64, u64)> = (0..options.leader_changes)
        .map(|_| {
            let at = rng.random_range(0..options.duration_ms * 3 / 4);
            (at, at + rng.random_range(300..1_200))
        })
        .collect();
    // The new version shares the phases of the old one's pauses.
    let phases: Vec<u64> =
        (0..2 * TARGETS).map(|_| rng.random_range(0..6_000)).collect();
    let mut reports: Vec<(u64, usize, InstanceId, Report)> = Vec::new();
    let mut commands: Vec<(u64, Command)> = Vec::new();
    let mut records: Vec<(u64, usize, ConfigVersion, Rollout)> = Vec::new();
    let mut answers: Vec<(u64, usize, RouteId, Option<TargetId>, Tally)> =
        Vec::new();
    let mut outcome = Outcome {
        stage: Stage::Canary,
        reason: String::new(),
        ended_ms: None,
        requests: 0,
        exposed: 0,
        first_bad_ms: None,
        fiftieth_bad_ms: None,
        last_new_ms: 0,
        stages: vec![Stage::Canary],
    };
    let mut bad = 0;
    let mut first_new = None;
    let mut recent_new = 0.0;
    for now in (0..2 * options.duration_ms).step_by(STEP_MS as usize) {
        // Requests.
        let mean = options.per_second * STEP_MS as f64 / 1_000.0;
        let mut count = mean.floor() as u64;
        count += u64::from(rng.random::<f64>() < mean.fract());
        for _ in 0..count {
            let mut pick = rng.random::<f64>() * weight_sum;
            let i = weights
                .iter()
                .position(|w| {
                    pick -= w;
                    pick <= 0.0
                })
                .unwrap_or(0);
            let fleet = options.instances;
            let instance = &mut instances[i];
            let stage = instance.known.stage;
            let is_new = match stage {
                // The old targets are the reserve until the completion.
                Stage::Canary | Stage::Trial | Stage::Full
                    if now < instance.braked_until =>
                {
                    false
                }
                Stage::Full | Stage::Completed => true,
                Stage::RolledBack => false,
                _ if !options.bounded => true,
                _ => {
                    instance.exposure.pick(&instance.known, fleet, true)
                        == Pick::Probe
                }
            };
            instance.exposure.record(is_new);
            let route = rng.random_range(0..ROUTES);
            let target = rng.random_range(0..TARGETS);
            let phase =
                phases[(target + if is_new { TARGETS } else { 0 }) as usize];
            let in_pause = (now + phase) % 6_000;
            let pause = 250_u64.saturating_sub(in_pause);
            let passed = now as f64 / options.duration_ms as f64;
            recent_new = 0.98 * recent_new + 0.02 * f64::from(is_new);
            let (factor, failing) = if is_new {
                let since = now - *first_new.get_or_insert(now);
                match pattern {
                    Pattern::OneBadTarget if target == 0 => (5.0, 0.33),
                    Pattern::Cold if since < 1_000 => (5.0, 0.0),
                    Pattern::Failing(rate) => (1.0, rate),
                    Pattern::Slow(rate) if rng.random::<f64>() < rate => {
                        (5.0, 0.0)
                    }
                    Pattern::Late(from) if passed >= from => (1.0, 0.5),
                    Pattern::OneRoute if route == 1 => (1.0, 0.5),
                    Pattern::UnderLoad if recent_new > 0.33 => (1.0, 0.5),
                    _ => (1.0, 0.0),
                }
            } else {
                (1.0, 0.0)
            };
            let trouble = pattern == Pattern::BothInTrouble
                && (0.2..0.4).contains(&passed);
            let (factor, failing) =
                if trouble { (5.0, 0.33) } else { (factor, failing) };
            let work = 10.0 - 10.0 * rng.random_range(f64::EPSILON..1.0).ln();
            let latency = work * factor + pause as f64;
            let failed = rng.random::<f64>() < failing;
            // Three times the median of 17 ms.
            let slow = !failed && latency > 51.0;
            let is_bad =
                is_new && !pattern.is_good() && (failed || factor > 1.0);
            if now <= options.duration_ms {
                outcome.requests += 1;
                outcome.exposed += u64::from(is_new);
            }
            if is_new {
                outcome.last_new_ms = now;
            }
            let arrives = now + latency as u64;
            if is_bad {
                bad += 1;
                outcome.first_bad_ms.get_or_insert(arrives);
                if bad == 50 {
                    outcome.fiftieth_bad_ms = Some(arrives);
                }
            }
            let tally = Tally {
                answers: 1,
                failures: failed.into(),
                slow: slow.into(),
            };
            let target = is_new.then_some(TargetId(100 + target));
            answers.push((arrives, i, RouteId(route), target, tally));
        }
        answers.retain(|&(due, i, route, target, tally)| {
            if due > now {
                return true;
            }
            let instance = &mut instances[i];
            instance.rows.add(route, target, tally);
            let failed = tally.failures > 0;
            if target.is_none() {
                instance.brake.add_old(failed);
            } else if instance.brake.add_new(failed).is_some()
                && options.bounded
            {
                instance.braked_until = now + BRAKE_TIME.as_millis() as u64;
                instance.next_report = now;
            }
            false
        });
        // Reports.
        for (i, instance) in instances.iter_mut().enumerate() {
            if now < instance.next_report {
                continue;
            }
            instance.next_report = now + REPORT_EVERY_MS;
            instance.sequence += 1;
            let report = Report {
                service: SERVICE.into(),
                number: instance.known.number,
                epoch: instance.epoch,
                sequence: instance.sequence,
                attempts: instance.exposure.attempts(),
                exposed: instance.exposure.exposed(),
                old_open: 0,
                rows: instance.rows.as_slice().to_vec(),
            };
            for replica in 0..supervisors.len() {
                let mut send = || {
                    let due = now + rng.random_range(5..200);
                    let from = InstanceId(i as u64 + 1);
                    reports.push((due, replica, from, report.clone()));
                };
                send();
                if rng_chance(seed, now, i, options.loss) {
                    send();
                }
            }
        }
        let mut due_reports = Vec::new();
        reports.retain(|r| {
            if r.0 <= now {
                due_reports.push(r.clone());
            }
            r.0 > now
        });
        for (_, replica, from, report) in due_reports {
            let lost = rng.random::<f64>() < options.loss;
            if !lost && options.judged {
                let event = SupervisorEvent::Report(from, report);
                let mut out = Vec::new();
                supervisors[replica].step(at(now), event, &mut out);
                push_commands(now, out, &mut commands, options, &mut rng);
            }
        }
        // The leader.
        for &(lost, elected) in &changes {
            for (when, leading) in [(lost, false), (elected, true)] {
                if now <= when && when < now + STEP_MS {
                    if leading {
                        leader = (leader + 1) % supervisors.len();
                    }
                    let event = SupervisorEvent::Leading(leading);
                    let mut out = Vec::new();
                    supervisors[leader].step(at(now), event, &mut out);
                    push_commands(now, out, &mut commands, options, &mut rng);
                }
            }
        }
        for supervisor in &mut supervisors {
            if supervisor.next_deadline().is_some_and(|d| d <= at(now)) {
                let mut out = Vec::new();
                supervisor.step(at(now), SupervisorEvent::Tick, &mut out);
                push_commands(now, out, &mut commands, options, &mut rng);
            }
        }
        // Commits.
        let mut due_commands = Vec::new();
        commands.retain(|c| {
            if c.0 <= now {
                due_commands.push(c.1.clone());
            }
            c.0 > now
        });
        for command in due_commands {
            let applied = state.apply(state.index() + 1, &command.encode());
            let (rollouts, clocks) = state.rollouts();
            for supervisor in &mut supervisors {
                let event = SupervisorEvent::Records(
                    rollouts.to_vec(),
                    clocks.to_vec(),
                );
                supervisor.step(at(now), event, &mut Vec::new());
            }
            let Applied::Rollout { reply, changed: true } = applied else {
                continue;
            };
            let rollout = reply.rollout.expect("a roll-out");
            outcome.stages.push(rollout.stage);
            outcome.stage = rollout.stage;
            outcome.reason.clone_from(&rollout.reason);
            if rollout.stage.is_final() {
                outcome.ended_ms.get_or_insert(now);
            }
            for i in 0..instances.len() {
                let due = now + rng.random_range(20..500);
                records.push((due, i, reply.version, rollout.clone()));
            }
        }
        records.retain(|(due, i, version, rollout)| {
            let instance = &mut instances[*i];
            if *due <= now && instance.known_version < *version {
                instance.known_version = *version;
                instance.known = rollout.clone();
            }
            *due > now
        });
    }
    outcome
}

/// Returns whether something that has this probability happens.
fn rng_chance(seed: u64, now: u64, i: usize, chance: f64) -> bool {
    let mut rng = Pcg32::seed_from_u64(seed ^ (now << 20) ^ i as u64);
    rng.random::<f64>() < chance
}

fn push_commands(
    now: u64,
    effects: Vec<SupervisorEffect>,
    commands: &mut Vec<(u64, Command)>,
    options: Options,
    rng: &mut Pcg32,
) {
    for effect in effects {
        let command = match effect {
            SupervisorEffect::Move(change) => Command::MoveRollout(change),
            SupervisorEffect::Mark(clocks) => Command::MarkRollouts(clocks),
            SupervisorEffect::Log(_) => continue,
        };
        if rng.random::<f64>() >= options.loss {
            commands.push((now + rng.random_range(10..60), command));
        }
    }
}
