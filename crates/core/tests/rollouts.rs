//! Roll-outs without a network: orders, exposure, judgement, and whole
//! roll-outs of a simulated fleet.

mod rollout_support;

use std::time::Duration;

use primrosemast_core::{
    config::Configuration,
    control::{Change, Command, ControlState},
    rollout::{
        OrderResult, RolloutClock, RolloutMove, RolloutOrder, Stage,
        exposure::{Exposure, Pick},
        judge::{Fault, JudgeOptions, Tally, fisher_tail, judge},
    },
};
use proptest::prelude::*;
use rollout_support::{
    Options, Outcome, Pattern, SERVICE, SHARE, SLACK, apply, order, play,
    state,
};

/// Largest part of 200 good versions that may be rolled back. The tests of one
/// roll-out have an error probability of at most 0.024, see `JudgeOptions`.
const MAX_FALSE_ROLLBACKS: usize = 5;

/// Largest part of 200 bad versions that may be completed.
const MAX_MISSED: usize = 5;

/// Time over which answers are counted in decision tests.
const MINUTE: Duration = Duration::from_secs(60);

/// Time after the fiftieth bad answer within which the last request may be
/// sent to a bad version, in milliseconds.
const ROLLBACK_MS: u64 = 5_000;

fn change(to: Stage, from: Option<Stage>) -> RolloutMove {
    RolloutMove {
        service: SERVICE.into(),
        number: None,
        from,
        to,
        elapsed_ms: 0,
        reason: "test".into(),
    }
}

fn start(state: &mut ControlState, version: &str) -> OrderResult {
    apply(state, Command::StartRollout(order(version, 12_000))).result
}

fn advance(state: &mut ControlState, to: Stage) -> OrderResult {
    apply(state, Command::MoveRollout(change(to, None))).result
}

// Guards against a resent order that is refused or starts anew, and against
// a second order that displaces a running one.
#[test]
fn orders_have_one_result() {
    let mut state = state();
    assert_eq!(start(&mut state, "v2"), OrderResult::Started);
    let version = state.version();
    assert_eq!(start(&mut state, "v2"), OrderResult::Repeated);
    assert_eq!(start(&mut state, "v3"), OrderResult::Busy);
    assert_eq!(state.version(), version);
    advance(&mut state, Stage::Completed);
    assert_eq!(start(&mut state, "v2"), OrderResult::Repeated);
    let unknown = RolloutOrder { service: "other".into(), ..order("v2", 1) };
    let reply = apply(&mut state, Command::StartRollout(unknown));
    assert_eq!(reply.result, OrderResult::UnknownService);
}

// Guards against a version that was taken back and gets requests again by a
// late copy of its order, also after another roll-out.
#[test]
fn a_withdrawn_version_stays_withdrawn() {
    let mut state = state();
    start(&mut state, "v2");
    advance(&mut state, Stage::RolledBack);
    assert_eq!(start(&mut state, "v2"), OrderResult::Repeated);
    assert_eq!(start(&mut state, "v3"), OrderResult::Started);
    advance(&mut state, Stage::Completed);
    assert_eq!(start(&mut state, "v2"), OrderResult::Repeated);
    let (rollouts, _) = state.rollouts();
    assert_eq!(rollouts[0].version, "v3");
    assert_eq!(rollouts[0].stage, Stage::Completed);
    assert_eq!(rollouts[0].withdrawn, ["v2"]);
}

// Guards against orders without a version, with a bad duration or bad bounds.
#[test]
fn invalid_orders_are_named() {
    assert_eq!(order("v2", 1).problem(), None);
    let bad = [
        RolloutOrder { service: String::new(), ..order("v2", 1) },
        order("", 1),
        order(&"v".repeat(129), 1),
        order("v2", 0),
        order("v2", u64::MAX),
        RolloutOrder { share: 1.5, ..order("v2", 1) },
        RolloutOrder { slack: f64::NAN, ..order("v2", 1) },
    ];
    for order in bad {
        assert!(order.problem().is_some(), "{order:?}");
    }
}

// Guards against a change of the configuration that removes a roll-out, and
// against one that is lost in a snapshot.
#[test]
fn changes_and_snapshots_keep_rollouts() {
    let mut state = state();
    start(&mut state, "v2");
    let clock =
        RolloutClock { service: SERVICE.into(), number: 1, elapsed_ms: 700 };
    let mark = Command::MarkRollouts(vec![clock.clone()]);
    state.apply(state.index() + 1, &mark.encode());
    let document = rmp_serde::to_vec_named(&Configuration::default());
    let replace = Command::Change(Change {
        change_id: "second".into(),
        expected_version: state.version(),
        document: document.expect("encodes").into(),
    });
    state.apply(state.index() + 1, &replace.encode());
    let mut restored = ControlState::default();
    restored.restore(&state.snapshot()).expect("restores");
    for state in [&state, &restored] {
        let document = state.record().document;
        let configuration: Configuration =
            rmp_serde::from_slice(&document).expect("decodes");
        let rollout = configuration.rollout(SERVICE).expect("a roll-out");
        assert_eq!(rollout.version, "v2");
        assert_eq!(state.rollouts().0, std::slice::from_ref(rollout));
        assert_eq!(state.rollouts().1, std::slice::from_ref(&clock));
    }
}

// Guards against a snapshot of a release without roll-outs that cannot be
// restored.
#[test]
fn a_snapshot_without_rollouts_is_restored() {
    // The fields of the state before roll-outs, by position.
    let former = (
        7_u64,
        primrosemast_core::config_sync::ConfigRecord::default(),
        std::collections::BTreeMap::<String, u8>::new(),
        Vec::<String>::new(),
        std::collections::BTreeMap::<String, u8>::new(),
        std::collections::BTreeMap::<(u64, u64), String>::new(),
        0_u64,
        0_u64,
    );
    let bytes = rmp_serde::to_vec(&former).expect("encodes");
    let mut state = ControlState::default();
    state.restore(&bytes).expect("restores");
    assert_eq!(state.index(), 7);
    assert!(state.rollouts().0.is_empty());
}

proptest! {
    // Guards against a roll-out that goes back: a late or repeated move, of
    // any order, must not leave a final stage or reach an earlier one.
    #[test]
    fn stages_only_move_forward(
        moves in prop::collection::vec(
            (0_usize..5, 0_usize..6, 0_u64..4, 0_u8..5),
            1..60,
        )
    ) {
        let stages = [
            Stage::Canary,
            Stage::Trial,
            Stage::Full,
            Stage::Completed,
            Stage::RolledBack,
        ];
        let mut state = state();
        let mut withdrawn: Vec<String> = Vec::new();
        for (to, from, number, kind) in moves {
            let before = state.rollouts().0.first().cloned();
            let command = if kind == 0 {
                let version = format!("v{}", to + 2);
                Command::StartRollout(order(&version, 1_000))
            } else {
                Command::MoveRollout(RolloutMove {
                    number: Some(number),
                    ..change(stages[to], stages.get(from).copied())
                })
            };
            apply(&mut state, command);
            let Some(after) = state.rollouts().0.first().cloned() else {
                continue;
            };
            if let Some(before) = before {
                if before.number == after.number {
                    prop_assert!(after.stage >= before.stage);
                    prop_assert!(
                        !before.stage.is_final() || before == after
                    );
                } else {
                    prop_assert!(before.stage.is_final());
                    prop_assert_eq!(after.number, before.number + 1);
                }
            }
            if after.stage == Stage::RolledBack {
                withdrawn.push(after.version.clone());
            } else {
                prop_assert!(!withdrawn.contains(&after.version));
            }
        }
    }

    // Guards against a fleet whose instances together send more to a new
    // version than the order allows, at any distribution of the traffic.
    #[test]
    fn the_sum_over_instances_keeps_the_bound(
        traffic in prop::collection::vec((0.0..1.0_f64, 0_u64..300), 1..80),
        trial_from in 0_u64..300,
    ) {
        let mut state = state();
        start(&mut state, "v2");
        let mut rollout = state.rollouts().0[0].clone();
        let (mut attempts, mut exposed) = (0, 0);
        for (random, requests) in &traffic {
            let mut exposure = Exposure::new(*random);
            for request in 0..*requests {
                rollout.stage = if request < trial_from {
                    Stage::Canary
                } else {
                    Stage::Trial
                };
                let pick = exposure.pick(&rollout, traffic.len(), true);
                exposure.record(pick == Pick::Probe);
            }
            attempts += exposure.attempts();
            exposed += exposure.exposed();
        }
        prop_assert!(exposed as f64 <= SHARE * attempts as f64 + SLACK);
    }
}

// Guards against requests that may run once, retries and hedges at a version
// that is not judged yet.
#[test]
fn only_requests_that_may_probe_are_probes() {
    let mut state = state();
    start(&mut state, "v2");
    let mut rollout = state.rollouts().0[0].clone();
    for stage in [Stage::Canary, Stage::Trial] {
        rollout.stage = stage;
        let mut exposure = Exposure::new(1.0);
        for _ in 0..1_000 {
            let pick = exposure.pick(&rollout, 1, false);
            assert_eq!(pick, Pick::Ordinary);
            exposure.record(false);
        }
    }
}

// Guards against instances with little traffic that never send a probe, or
// all at the same time: 78 of them with 40 requests each.
#[test]
fn a_large_fleet_follows_the_share() {
    let mut state = state();
    start(&mut state, "v2");
    let rollout = state.rollouts().0[0].clone();
    let mut exposed = 0;
    for i in 0..78 {
        let mut exposure = Exposure::new((f64::from(i) + 0.5) / 78.0);
        for _ in 0..40 {
            let pick = exposure.pick(&rollout, 78, true);
            exposure.record(pick == Pick::Probe);
        }
        exposed += exposure.exposed();
    }
    // Half of the share of 3,120 requests is 156.
    assert!((78..=312).contains(&exposed), "{exposed}");
}

// Guards against a wrong test: values from tables, and those of large counts
// against sums of the point probabilities.
#[test]
fn fisher_tail_has_the_known_values() {
    let close = |a: f64, b: f64| (a - b).abs() <= 1e-9 * b;
    assert!(close(fisher_tail(4, 4, 0, 4), 1.0 / 70.0));
    assert!(close(fisher_tail(3, 4, 1, 4), 17.0 / 70.0));
    assert!(close(fisher_tail(0, 10, 5, 10), 1.0));
    assert!(close(fisher_tail(3, 3, 0, 3), 1.0 / 20.0));
    // The whole distribution sums to 1: P(X >= k) + P(X <= k - 1) = 1.
    for k in 1..=40 {
        let upper = fisher_tail(k, 50, 100 - k, 5_000);
        let lower = fisher_tail(100 - k + 1, 5_000, k - 1, 50);
        assert!((upper + lower - 1.0).abs() < 1e-6, "{k}: {upper} {lower}");
    }
}

fn tally(answers: u64, failures: u64, slow: u64) -> Tally {
    Tally { answers, failures, slow }
}

// Guards against a good version that is taken back for one bad target, and
// against a bad version that is spared because one target looks worst.
#[test]
fn one_bad_target_is_not_the_version() {
    let options = JudgeOptions::default();
    let old = tally(500, 2, 5);
    let one = [tally(20, 12, 0), tally(20, 0, 0), tally(20, 0, 0)];
    assert_eq!(judge(&options, old, &one, MINUTE, 1e-5), None);
    let all = [tally(20, 6, 0), tally(20, 5, 0), tally(20, 7, 0)];
    let finding = judge(&options, old, &all, MINUTE, 1e-5).expect("a finding");
    assert_eq!(finding.fault, Fault::Failures);
    assert_eq!((finding.new, finding.old), ((18, 60), (2, 500)));
}

// Guards against a verdict from trouble that both versions have, or from a
// handful of answers.
#[test]
fn trouble_of_both_versions_and_few_answers_show_nothing() {
    let options = JudgeOptions::default();
    let both = tally(500, 150, 200);
    assert_eq!(
        judge(&options, both, &[tally(50, 17, 22)], MINUTE, 1e-5),
        None
    );
    let old = tally(500, 0, 0);
    assert_eq!(judge(&options, old, &[tally(2, 2, 0)], MINUTE, 1e-5), None);
    assert_eq!(
        judge(&options, tally(0, 0, 0), &[tally(9, 9, 0)], MINUTE, 1e-5),
        None
    );
    assert!(
        judge(&options, old, &[tally(5, 4, 0); 2], MINUTE, 1e-5).is_some()
    );
    let one = |bad| judge(&options, old, &[tally(20, bad, 0)], MINUTE, 1e-5);
    assert_eq!(one(8), None);
    assert!(one(9).is_some());
    assert!(
        judge(&options, old, &[tally(20, 0, 9); 2], MINUTE, 1e-5).is_some()
    );
}

/// Checks what holds for every roll-out, whatever the verdict.
fn check(pattern: Pattern, options: Options, seed: u64, outcome: &Outcome) {
    let context = format!("{pattern:?} seed {seed}: {outcome:?}");
    assert!(outcome.stages.is_sorted(), "{context}");
    if !pattern.is_good() && outcome.stage == Stage::RolledBack {
        let bound = SHARE * outcome.requests as f64 + SLACK;
        assert!(outcome.exposed as f64 <= bound, "{context}");
        if let Some(at) = outcome.fiftieth_bad_ms {
            assert!(outcome.last_new_ms <= at + ROLLBACK_MS, "{context}");
        }
    }
    if outcome.stage == Stage::Completed {
        let ended = outcome.ended_ms.unwrap_or(u64::MAX);
        assert!(ended <= options.duration_ms, "{context}");
    }
}

/// Plays 200 seeds of a pattern. Returns the number of wrong verdicts.
fn wrong_verdicts(pattern: Pattern, options: Options) -> usize {
    let mut wrong = 0;
    let mut after_first_bad = Vec::new();
    let mut shares = Vec::new();
    for seed in 0..200 {
        let outcome = play(pattern, options, seed);
        check(pattern, options, seed, &outcome);
        let expected = match pattern.is_good() {
            true => Stage::Completed,
            false => Stage::RolledBack,
        };
        if outcome.stage != expected {
            wrong += 1;
            println!("{pattern:?} seed {seed}: {outcome:?}");
        } else if let Some(first) = outcome.first_bad_ms {
            after_first_bad.push(outcome.last_new_ms.saturating_sub(first));
            let share = outcome.exposed as f64 / outcome.requests as f64;
            shares.push(share);
        }
    }
    after_first_bad.sort_unstable();
    shares.sort_by(f64::total_cmp);
    let n = after_first_bad.len();
    println!(
        "{pattern:?} at {} instances, {}/s: wrong {wrong} of 200; last \
         request after the first bad answer: median {:?} ms, worst {:?} ms; \
         share of the requests: median {:.3}, worst {:.3}",
        options.instances,
        options.per_second,
        after_first_bad.get(n / 2),
        after_first_bad.last(),
        shares.get(n / 2).unwrap_or(&0.0),
        shares.last().unwrap_or(&0.0),
    );
    wrong
}

const LARGE: Options = Options {
    instances: 78,
    per_second: 200.0,
    duration_ms: 30_000,
    loss: 0.1,
    leader_changes: 2,
    bounded: true,
    judged: true,
};

// Guards against good versions that are taken back: plain, with one bad
// target, cold at first, and beside trouble of both versions.
#[test]
fn good_versions_are_completed() {
    for pattern in [
        Pattern::Good,
        Pattern::OneBadTarget,
        Pattern::Cold,
        Pattern::BothInTrouble,
    ] {
        let wrong = wrong_verdicts(pattern, Options::default());
        assert!(wrong <= MAX_FALSE_ROLLBACKS, "{pattern:?}: {wrong}");
    }
}

// Guards against bad versions that are completed: bad at once, slow, late, on
// one route and under load.
#[test]
fn bad_versions_are_rolled_back() {
    for pattern in [
        Pattern::Failing(0.5),
        Pattern::Failing(0.25),
        Pattern::Slow(0.5),
        Pattern::Late(0.3),
        Pattern::Late(0.6),
        Pattern::OneRoute,
        Pattern::UnderLoad,
    ] {
        let wrong = wrong_verdicts(pattern, Options::default());
        assert!(wrong <= MAX_MISSED, "{pattern:?}: {wrong}");
    }
}

// Guards against a judgement that only works in a small fleet.
#[test]
fn a_large_fleet_judges_as_well() {
    let wrong = wrong_verdicts(Pattern::Good, LARGE);
    assert!(wrong <= MAX_FALSE_ROLLBACKS, "{wrong}");
    let wrong = wrong_verdicts(Pattern::Failing(0.5), LARGE);
    assert!(wrong <= MAX_MISSED, "{wrong}");
}

// Guards against a service with hardly any traffic whose roll-out never ends.
#[test]
fn little_traffic_is_decided() {
    for per_second in [0.0, 0.5] {
        let options = Options { per_second, ..Options::default() };
        let outcome = play(Pattern::Good, options, 1);
        check(Pattern::Good, options, 1, &outcome);
        assert_eq!(outcome.stage, Stage::Completed, "{outcome:?}");
        assert!(outcome.reason.contains("little traffic"), "{outcome:?}");
    }
}

// Shows that the simulated fleet notices a missing bound.
#[test]
fn without_the_bound_the_exposure_breaks() {
    let options = Options { bounded: false, ..Options::default() };
    let broken = (0..20).any(|seed| {
        let outcome = play(Pattern::Late(0.3), options, seed);
        outcome.exposed as f64 > SHARE * outcome.requests as f64 + SLACK
    });
    assert!(broken);
}

// Shows that the simulated fleet notices a missing judgement. Without reports,
// the roll-out is taken for one without traffic and completed.
#[test]
fn without_the_judgement_bad_versions_are_completed() {
    let options = Options { judged: false, ..Options::default() };
    let outcome = play(Pattern::Failing(0.5), options, 1);
    assert_eq!(outcome.stage, Stage::Completed, "{outcome:?}");
}
