//! Versions of targets on the forwarding path: which requests each version
//! gets before, during and after a roll-out, and what is reported.

mod forward_support;

use forward_support::{Harness, directory_refresh, ms, route, table, target};
use primrosemast_core::{
    forward::{
        ForwardEffect, ForwardEvent, ForwardOptions, Outcome, TargetRequest,
        directory::ListedTarget, table::Destination,
    },
    rollout::{Bounds, Rollout, Stage, report::Report},
};

const BOUNDS: Bounds = Bounds { share: 0.1, slack: 50.0 };

fn single(repeatable: bool) -> primrosemast_core::forward::table::Forwarding {
    let mut route = route("r", Destination::Service("desk".into()));
    route.repeatable = repeatable;
    table(vec![route])
}

fn versioned(version: &str, number: u8) -> ListedTarget {
    ListedTarget {
        name: format!("{version}/{number}"),
        version: version.into(),
        slots: 100,
        ..target("desk", number)
    }
}

fn rollout(stage: Stage) -> Rollout {
    Rollout {
        service: "desk".into(),
        number: 1,
        version: "v2".into(),
        duration_ms: 10_000,
        share: BOUNDS.share,
        slack: BOUNDS.slack,
        replaces: vec!["v1".into()],
        stage,
        reason: String::new(),
        base: None,
        withdrawn: match stage {
            Stage::RolledBack => vec!["v2".into()],
            _ => Vec::new(),
        },
    }
}

/// Returns a harness whose list first has three targets of `v1` and then also
/// three of `v2`.
fn harness(repeatable: bool, rollouts: Option<Bounds>) -> Harness {
    let options = ForwardOptions { rollouts, ..ForwardOptions::default() };
    let mut harness = Harness::with_options(&single(repeatable), 0, options);
    harness.step(ForwardEvent::Rollouts(Vec::new()));
    harness.directory.targets = (0..3).map(|i| versioned("v1", i)).collect();
    refresh(&mut harness);
    let new = (0..3).map(|i| ListedTarget {
        address: ([10, 0, 99, i], 80).into(),
        ..versioned("v2", i)
    });
    harness.directory.targets.extend(new);
    refresh(&mut harness);
    harness
}

fn refresh(harness: &mut Harness) {
    harness.advance(directory_refresh());
    harness.advance(directory_refresh());
    harness.effects.clear();
}

fn set_stage(harness: &mut Harness, stage: Stage) {
    harness.step(ForwardEvent::Rollouts(vec![rollout(stage)]));
}

/// Submits a request and returns its first attempt.
fn attempt(harness: &mut Harness) -> TargetRequest {
    harness.submit("r");
    let mut sent = harness.take_sent();
    assert_eq!(sent.len(), 1);
    sent.remove(0)
}

/// Serves requests, all successfully, and returns how many of them went to
/// `v2`.
fn serve(harness: &mut Harness, count: usize) -> usize {
    let mut new = 0;
    for _ in 0..count {
        let sent = attempt(harness);
        new += usize::from(sent.name.starts_with("v2"));
        harness.advance(ms(5));
        harness.end_attempt(sent.attempt, Outcome::Success);
    }
    new
}

fn reports(harness: &mut Harness) -> Vec<Report> {
    let reports = harness.effects.iter().filter_map(|e| match e {
        ForwardEffect::Report(report) => Some(report.clone()),
        _ => None,
    });
    reports.collect()
}

// Guards against requests at a version that waits for its order, against more
// than the bound of a stage, and against a version that is over and gets more.
#[test]
fn each_stage_has_its_traffic() {
    let mut harness = harness(true, Some(BOUNDS));
    assert_eq!(serve(&mut harness, 200), 0, "before the order");
    set_stage(&mut harness, Stage::Canary);
    let canary = serve(&mut harness, 400);
    assert!((1..=40).contains(&canary), "{canary}");
    set_stage(&mut harness, Stage::Trial);
    let trial = serve(&mut harness, 100);
    assert!(trial > canary / 4, "{trial}");
    assert!(canary + trial <= 100, "{canary} {trial}");
    set_stage(&mut harness, Stage::Full);
    assert_eq!(serve(&mut harness, 100), 100);
    set_stage(&mut harness, Stage::Completed);
    assert_eq!(serve(&mut harness, 100), 100);
}

// Guards against a withdrawn version that gets requests again, also after the
// old targets have left.
#[test]
fn a_withdrawn_version_gets_nothing() {
    let mut harness = harness(true, Some(BOUNDS));
    set_stage(&mut harness, Stage::Canary);
    serve(&mut harness, 100);
    set_stage(&mut harness, Stage::RolledBack);
    assert_eq!(serve(&mut harness, 200), 0);
    harness.directory.targets.retain(|t| t.version == "v2");
    refresh(&mut harness);
    harness.submit("r");
    assert!(harness.take_sent().is_empty());
}

// Guards against old targets that get requests after completion because the
// new ones are gone.
#[test]
fn a_replaced_version_gets_nothing() {
    let mut harness = harness(true, Some(BOUNDS));
    set_stage(&mut harness, Stage::Completed);
    harness.directory.targets.retain(|t| t.version == "v1");
    refresh(&mut harness);
    harness.submit("r");
    assert!(harness.take_sent().is_empty());
}

// Guards against a request that may run once as a probe, and against retries
// of a probe at the new version.
#[test]
fn probes_are_first_attempts_that_may_repeat() {
    let mut once = harness(false, Some(BOUNDS));
    set_stage(&mut once, Stage::Canary);
    assert_eq!(serve(&mut once, 300), 0);
    set_stage(&mut once, Stage::Full);
    assert_eq!(serve(&mut once, 10), 10);

    let mut harness = harness(true, Some(BOUNDS));
    set_stage(&mut harness, Stage::Canary);
    for _ in 0..300 {
        let first = attempt(&mut harness);
        harness.advance(ms(5));
        if first.name.starts_with("v1") {
            harness.end_attempt(first.attempt, Outcome::Success);
            continue;
        }
        harness.end_attempt(first.attempt, Outcome::Failure);
        let retry = harness.take_sent();
        assert_eq!(retry.len(), 1);
        assert!(retry[0].name.starts_with("v1"), "{}", retry[0].name);
        harness.end_attempt(retry[0].attempt, Outcome::Success);
        return;
    }
    panic!("no probe was sent");
}

// Guards against deployments without roll-outs whose requests depend on
// versions.
#[test]
fn versions_decide_nothing_unless_enabled() {
    let mut harness = harness(true, None);
    set_stage(&mut harness, Stage::RolledBack);
    assert!(serve(&mut harness, 100) > 0);
    assert!(reports(&mut harness).is_empty());
}

// Guards against a service that is starved because its targets are replaced
// one after the other by those of another version, without an order.
#[test]
fn plain_replacement_needs_no_order() {
    let mut harness = harness(true, Some(BOUNDS));
    assert_eq!(serve(&mut harness, 50), 0);
    harness.directory.targets[0].leaving = true;
    refresh(&mut harness);
    assert!(serve(&mut harness, 50) > 0);
    harness.directory.targets.retain(|t| t.version == "v2");
    refresh(&mut harness);
    assert_eq!(serve(&mut harness, 50), 50);
}

// Guards against an instance that keeps sending to a version that fails there
// until the control group has decided, and against a report that waits.
#[test]
fn the_brake_stops_a_failing_version() {
    let mut harness = harness(true, Some(BOUNDS));
    set_stage(&mut harness, Stage::Canary);
    serve(&mut harness, 50);
    set_stage(&mut harness, Stage::Full);
    let mut failed = 0;
    for _ in 0..20 {
        let first = attempt(&mut harness);
        if first.name.starts_with("v1") {
            harness.end_attempt(first.attempt, Outcome::Success);
            continue;
        }
        harness.effects.clear();
        failed += 1;
        harness.end_attempt(first.attempt, Outcome::Failure);
        for retry in harness.take_sent() {
            harness.end_attempt(retry.attempt, Outcome::Success);
        }
    }
    assert_eq!(failed, 2);
    assert_eq!(serve(&mut harness, 100), 0);
    // The pause ends, so that the version can show whether it still fails.
    harness.advance(ms(3_000));
    assert!(serve(&mut harness, 50) > 0);
}

// Guards against reports with other counts than the attempts and answers of
// the instance, and against reports after the end.
#[test]
fn reports_hold_the_totals() {
    let mut harness = harness(true, Some(BOUNDS));
    set_stage(&mut harness, Stage::Canary);
    let new = serve(&mut harness, 300) as u64;
    harness.advance(ms(300));
    let reports = reports(&mut harness);
    let last = reports.last().expect("a report");
    assert!(reports.is_sorted_by(|a, b| a.sequence < b.sequence));
    assert_eq!((last.service.as_str(), last.number), ("desk", 1));
    assert_eq!((last.attempts, last.exposed), (300, new));
    let answers = |is_new: bool| -> u64 {
        let rows = last.rows.iter().filter(|r| r.target.is_some() == is_new);
        rows.map(|r| r.tally.answers).sum()
    };
    assert_eq!((answers(true), answers(false)), (new, 300 - new));
    assert_eq!(last.old_open, 0);
    set_stage(&mut harness, Stage::RolledBack);
    harness.effects.clear();
    serve(&mut harness, 100);
    harness.advance(ms(1_000));
    assert!(self::reports(&mut harness).is_empty());
}
