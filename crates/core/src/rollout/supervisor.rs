/*!
The supervisor of the roll-outs at a control replica.

Every replica keeps the reports and the clock of each running roll-out, so that
a new leader can go on at once. Only the leader proposes moves. A move names the
order and the stage that it leaves, so one that is repeated or late has no
effect.
*/

use std::{collections::VecDeque, time::Duration};

use super::{
    Rollout, RolloutClock, RolloutMove, Stage,
    judge::{Finding, JudgeOptions, Tally, judge},
    report::{Report, Row},
};
use crate::{
    event::{LogEvent, control as kinds},
    id::{InstanceId, TargetId},
    time::Time,
};

/// Interval between two looks at the evidence of a running roll-out.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the leader records the time since each order.
const MARK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a move that has had no effect is proposed again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest interval between two snapshots of the totals.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);

/// Windows over which the versions are compared, besides the whole time, so
/// that a version that turns bad late is not hidden by its good answers.
const WINDOWS: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(2), Duration::from_secs(4)];

/// Largest number of merged rows; targets beyond it are not compared.
const MAX_MERGED_ROWS: usize = 512;

/// Largest number of instances whose reports are kept for a roll-out.
const MAX_REPORTERS: usize = 8_192;

/// Options of the supervisor. The times of the stages are fractions of the
/// duration of the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SupervisorOptions {
    /// Limits of the judgement.
    pub judge: JudgeOptions,
    /// When the canary stage ends.
    pub canary_until: f64,
    /// When the trial stage ends.
    pub trial_until: f64,
    /// When the trial stage ends if the version is suspicious.
    pub suspect_until: f64,
    /// When the roll-out is completed if the old targets have no open request.
    pub complete_from: f64,
    /// When the roll-out is decided in any case.
    pub decide_at: f64,
    /// Time after the first answer of the new version within which its slow
    /// answers are not counted.
    pub cold: Duration,
    /// Number of attempts at the service below which a lack of answers by the
    /// new version has no meaning.
    pub little_traffic: u64,
    /// Shortest time of the full stage, if the deadline allows it.
    pub full_min: Duration,
}

impl Default for SupervisorOptions {
    fn default() -> SupervisorOptions {
        SupervisorOptions {
            judge: JudgeOptions::default(),
            canary_until: 0.5,
            trial_until: 0.65,
            suspect_until: 0.75,
            complete_from: 0.8,
            decide_at: 0.9,
            cold: Duration::from_millis(1_500),
            // At half of a share of 0.1, the canary has sent two.
            little_traffic: 40,
            full_min: Duration::from_secs(1),
        }
    }
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum SupervisorEvent {
    /// The records and clocks of the replicated state.
    Records(Vec<Rollout>, Vec<RolloutClock>),
    /// A report arrived.
    Report(InstanceId, Report),
    /// Whether this replica leads the group.
    Leading(bool),
    /// The time of `next_deadline` has been reached.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum SupervisorEffect {
    /// Propose a change of a stage.
    Move(RolloutMove),
    /// Propose to record the time since each order.
    Mark(Vec<RolloutClock>),
    /// Write a line to the log.
    Log(LogEvent),
}

/// Totals of all instances at one time.
#[derive(Clone, Debug, Default)]
struct Totals {
    /// Sorted by route and target.
    rows: Vec<Row>,
    attempts: u64,
    exposed: u64,
}

impl Totals {
    fn add(&mut self, report: &Report) {
        self.attempts += report.attempts;
        self.exposed += report.exposed;
        for row in &report.rows {
            let key = (row.route, row.target);
            match self.rows.binary_search_by_key(&key, |r| (r.route, r.target))
            {
                Ok(i) => self.rows[i].tally.add(row.tally),
                Err(i) if self.rows.len() < MAX_MERGED_ROWS => {
                    self.rows.insert(i, *row);
                }
                Err(_) => {}
            }
        }
    }

    /// Returns the rows that were added since `earlier`.
    fn since(&self, earlier: &Totals) -> Vec<Row> {
        let base = |row: &Row| {
            let key = (row.route, row.target);
            earlier
                .rows
                .binary_search_by_key(&key, |r| (r.route, r.target))
                .map_or(Tally::default(), |i| earlier.rows[i].tally)
        };
        self.rows
            .iter()
            .map(|row| Row { tally: row.tally.since(base(row)), ..*row })
            .collect()
    }

    fn new_answers(&self) -> u64 {
        let new = self.rows.iter().filter(|r| r.target.is_some());
        new.map(|r| r.tally.answers).sum()
    }
}

/// What is known of a running roll-out.
#[derive(Clone, Debug)]
struct Watch {
    rollout: Rollout,
    /// Time since the order, and when this replica has learnt it.
    clock: (Duration, Time),
    /// The last report of each instance, sorted by instance.
    reports: Vec<(InstanceId, Report)>,
    /// Totals of the former epochs of instances that have restarted.
    former: Totals,
    /// Totals at earlier times, oldest first.
    snapshots: VecDeque<(Time, Totals)>,
    /// When the new version answered first.
    first_answer: Option<Time>,
    /// Totals at the end of the cold time.
    cold_end: Option<(Time, Totals)>,
    /// When this replica saw the present stage, with the totals.
    stage_from: (Time, Totals),
    /// When the last move was proposed.
    proposed_at: Option<Time>,
}

impl Watch {
    fn new(now: Time, rollout: Rollout) -> Watch {
        Watch {
            rollout,
            clock: (Duration::ZERO, now),
            reports: Vec::new(),
            former: Totals::default(),
            snapshots: VecDeque::new(),
            first_answer: None,
            cold_end: None,
            stage_from: (now, Totals::default()),
            proposed_at: None,
        }
    }

    fn elapsed(&self, now: Time) -> Duration {
        self.clock.0 + now.since(self.clock.1)
    }

    fn totals(&self) -> Totals {
        let mut totals = self.former.clone();
        for (_, report) in &self.reports {
            totals.add(report);
        }
        totals
    }

    /// Keeps a report unless a later one of the same counts is known.
    fn add_report(&mut self, from: InstanceId, report: Report) -> bool {
        match self.reports.binary_search_by_key(&from, |r| r.0) {
            Ok(i) => {
                let known = &self.reports[i].1;
                if known.epoch == report.epoch {
                    if report.sequence <= known.sequence {
                        return false;
                    }
                } else {
                    self.former.add(known);
                }
                self.reports[i].1 = report;
            }
            Err(i) if self.reports.len() < MAX_REPORTERS => {
                self.reports.insert(i, (from, report));
            }
            Err(_) => return false,
        }
        true
    }

    /// Takes a snapshot of the totals if the last one is old enough.
    fn update(&mut self, now: Time, cold: Duration) {
        let recent = self
            .snapshots
            .back()
            .is_some_and(|s| now.since(s.0) < SNAPSHOT_INTERVAL);
        if recent {
            return;
        }
        let totals = self.totals();
        if self.first_answer.is_none() && totals.new_answers() > 0 {
            self.first_answer = Some(now);
        }
        if self.cold_end.is_none()
            && self.first_answer.is_some_and(|at| now.since(at) >= cold)
        {
            self.cold_end = Some((now, totals.clone()));
        }
        self.snapshots.push_back((now, totals));
        let longest = WINDOWS[WINDOWS.len() - 1] + SNAPSHOT_INTERVAL;
        while self.snapshots.len() > 1
            && now.since(self.snapshots[1].0) >= longest
        {
            self.snapshots.pop_front();
        }
    }

    /// Compares the versions over the whole time and the last windows.
    fn find(
        &self,
        now: Time,
        options: &JudgeOptions,
        chance: f64,
    ) -> Option<(String, Finding)> {
        let totals = self.totals();
        let mut rows = totals.rows.clone();
        // Slow answers from before the end of the cold time do not count.
        for row in &mut rows {
            row.tally.slow = 0;
        }
        let order = self.elapsed(now);
        let mut found = find_in(options, &rows, order, chance);
        let Some((cold_at, cold_end)) = &self.cold_end else {
            return found;
        };
        let over = now.since(*cold_at);
        let whole = totals.since(cold_end);
        found = found.or_else(|| find_in(options, &whole, over, chance));
        let full = self.rollout.stage == Stage::Full;
        for window in WINDOWS {
            let earlier =
                self.snapshots.iter().rfind(|s| now.since(s.0) >= window);
            if let Some((_, earlier)) = earlier
                && earlier.attempts >= cold_end.attempts
            {
                let mut rows = totals.since(earlier);
                if full {
                    // The old version answers little now, so its answers of
                    // the whole time are the comparison.
                    rows.retain(|r| r.target.is_some());
                    let old = whole.iter().filter(|r| r.target.is_none());
                    rows.extend(old);
                    rows.sort_by_key(|r| (r.route, r.target));
                }
                found =
                    found.or_else(|| find_in(options, &rows, window, chance));
            }
        }
        found
    }
}

/// Compares the versions, counted `over` some time, for all routes together
/// and for each one. Returns the
/// name of what was compared with the finding.
fn find_in(
    options: &JudgeOptions,
    rows: &[Row],
    over: Duration,
    chance: f64,
) -> Option<(String, Finding)> {
    let mut targets: Vec<(TargetId, Tally)> = Vec::new();
    for row in rows {
        let Some(target) = row.target else { continue };
        match targets.binary_search_by_key(&target, |t| t.0) {
            Ok(i) => targets[i].1.add(row.tally),
            Err(i) => targets.insert(i, (target, row.tally)),
        }
    }
    let old = rows.iter().filter(|r| r.target.is_none()).map(|r| r.tally);
    let new: Vec<Tally> = targets.iter().map(|t| t.1).collect();
    let all = judge(options, Tally::sum(old), &new, over, chance);
    if let Some(finding) = all {
        return Some(("all routes".into(), finding));
    }
    // The rows are sorted by route.
    rows.chunk_by(|a, b| a.route == b.route).find_map(|rows| {
        let old = rows.iter().filter(|r| r.target.is_none()).map(|r| r.tally);
        let new: Vec<Tally> = rows
            .iter()
            .filter(|r| r.target.is_some())
            .map(|r| r.tally)
            .collect();
        judge(options, Tally::sum(old), &new, over, chance)
            .map(|finding| (format!("route {}", rows[0].route), finding))
    })
}

/// Follows the running roll-outs and proposes their moves.
#[derive(Clone, Debug, Default)]
pub struct Supervisor {
    options: SupervisorOptions,
    /// Running roll-outs, sorted by service.
    watches: Vec<Watch>,
    leading: bool,
    look_at: Time,
    mark_at: Time,
}

impl Supervisor {
    /// Creates the reducer.
    pub fn new(options: SupervisorOptions) -> Supervisor {
        Supervisor { options, ..Supervisor::default() }
    }

    /// Returns when the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let active = self.leading && !self.watches.is_empty();
        active.then_some(self.look_at.min(self.mark_at))
    }

    /// Returns the time since the running order for a service.
    pub fn elapsed(&self, now: Time, service: &str) -> Option<Duration> {
        let watch = self.watches.iter().find(|w| w.rollout.service == service);
        watch.map(|w| w.elapsed(now))
    }

    /// Handles an event.
    pub fn step(
        &mut self,
        now: Time,
        event: SupervisorEvent,
        out: &mut impl Extend<SupervisorEffect>,
    ) {
        match event {
            SupervisorEvent::Records(rollouts, clocks) => {
                self.set_records(now, rollouts, &clocks);
            }
            SupervisorEvent::Report(from, report) => {
                let cold = self.options.cold;
                let watch = self.watches.iter_mut().find(|w| {
                    w.rollout.service == report.service
                        && w.rollout.number == report.number
                });
                if let Some(watch) = watch
                    && watch.add_report(from, report)
                {
                    watch.update(now, cold);
                }
            }
            SupervisorEvent::Leading(leading) => {
                if leading && !self.leading {
                    (self.look_at, self.mark_at) = (now, now);
                }
                self.leading = leading;
            }
            SupervisorEvent::Tick => {}
        }
        if !self.leading || self.watches.is_empty() {
            return;
        }
        if now >= self.look_at {
            self.look_at = now + LOOK_INTERVAL;
            self.look(now, out);
        }
        if now >= self.mark_at {
            self.mark_at = now + MARK_INTERVAL;
            let clocks = self.watches.iter().map(|w| RolloutClock {
                service: w.rollout.service.clone(),
                number: w.rollout.number,
                elapsed_ms: w.elapsed(now).as_millis() as u64,
            });
            out.extend([SupervisorEffect::Mark(clocks.collect())]);
        }
    }

    fn set_records(
        &mut self,
        now: Time,
        rollouts: Vec<Rollout>,
        clocks: &[RolloutClock],
    ) {
        let mut former = std::mem::take(&mut self.watches);
        for rollout in rollouts.into_iter().filter(|r| !r.stage.is_final()) {
            let known = former.iter().position(|w| {
                w.rollout.service == rollout.service
                    && w.rollout.number == rollout.number
            });
            let mut watch = match known {
                Some(i) => former.swap_remove(i),
                None => Watch::new(now, rollout.clone()),
            };
            if watch.rollout.stage != rollout.stage {
                watch.stage_from = (now, watch.totals());
                watch.proposed_at = None;
            }
            let clock = clocks.iter().find(|c| {
                c.service == rollout.service && c.number == rollout.number
            });
            let marked =
                Duration::from_millis(clock.map_or(0, |c| c.elapsed_ms));
            if marked > watch.elapsed(now) {
                watch.clock = (marked, now);
            }
            watch.rollout = rollout;
            self.watches.push(watch);
        }
        self.watches.sort_by(|a, b| a.rollout.service.cmp(&b.rollout.service));
    }

    fn look(&mut self, now: Time, out: &mut impl Extend<SupervisorEffect>) {
        let options = self.options;
        for watch in &mut self.watches {
            watch.update(now, options.cold);
            let waits = watch
                .proposed_at
                .is_some_and(|at| now.since(at) < PROPOSAL_TIMEOUT);
            if waits {
                continue;
            }
            let Some((to, reason)) = decide(&options, watch, now) else {
                continue;
            };
            watch.proposed_at = Some(now);
            let rollout = &watch.rollout;
            let elapsed_ms = watch.elapsed(now).as_millis() as u64;
            let totals = watch.totals();
            let reason = format!(
                "{reason}; {} of {} attempts at the new version",
                totals.exposed, totals.attempts
            );
            let detail = format!(
                "service={:?} number={} version={:?} from={} to={} \
                 elapsed_ms={elapsed_ms} duration_ms={} reason={reason:?}",
                rollout.service,
                rollout.number,
                rollout.version,
                rollout.stage.as_str(),
                to.as_str(),
                rollout.duration_ms
            );
            let event = LogEvent::new(&kinds::ROLLOUT_DECIDED, detail);
            out.extend([
                SupervisorEffect::Log(event),
                SupervisorEffect::Move(RolloutMove {
                    service: rollout.service.clone(),
                    number: Some(rollout.number),
                    from: Some(rollout.stage),
                    to,
                    elapsed_ms,
                    reason,
                }),
            ]);
        }
    }
}

/// Returns the next stage with its reason, if the time for it has come.
fn decide(
    options: &SupervisorOptions,
    watch: &Watch,
    now: Time,
) -> Option<(Stage, String)> {
    let judge = &options.judge;
    let roll_back = |(what, finding): (String, Finding)| {
        let text = format!("{} ({what})", finding.describe());
        (Stage::RolledBack, text)
    };
    if let Some(found) = watch.find(now, judge, judge.look_chance) {
        return Some(roll_back(found));
    }
    let duration = Duration::from_millis(watch.rollout.duration_ms);
    let passed = watch.elapsed(now).as_secs_f64() / duration.as_secs_f64();
    let stage = watch.rollout.stage;
    let totals = watch.totals();
    let (attempts, answers) = match stage {
        Stage::Full => {
            let before = &watch.stage_from.1;
            (
                totals.attempts.saturating_sub(before.attempts),
                totals.new_answers().saturating_sub(before.new_answers()),
            )
        }
        _ => (totals.attempts, totals.new_answers()),
    };
    let little = attempts < options.little_traffic;
    let answered = answers > 0 || little;
    let late = passed >= options.decide_at;
    if late && !answered {
        let text = format!(
            "the new version has answered none of {attempts} attempts"
        );
        return Some((Stage::RolledBack, text));
    }
    let gate = |to| {
        Some(match watch.find(now, judge, judge.gate_chance) {
            Some(found) => roll_back(found),
            None if little => (to, "little traffic, nothing found".into()),
            None => (to, "nothing found".into()),
        })
    };
    let in_stage = now.since(watch.stage_from.0);
    match stage {
        Stage::Canary if passed >= options.canary_until && answered => {
            Some((Stage::Trial, "nothing found".into()))
        }
        Stage::Trial if passed >= options.trial_until && answered => {
            let suspicion = judge.suspicion();
            let waits = passed < options.suspect_until
                && watch.find(now, &suspicion, judge.suspect_chance).is_some();
            if waits { None } else { gate(Stage::Full) }
        }
        Stage::Full
            if passed >= options.complete_from
                && in_stage >= options.full_min.min(duration / 10)
                && answered =>
        {
            let open: u64 = watch.reports.iter().map(|r| r.1.old_open).sum();
            if open == 0 || late { gate(Stage::Completed) } else { None }
        }
        _ => None,
    }
}
