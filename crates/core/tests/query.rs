//! Tests of the single rules of the query root.
#![allow(missing_docs)]

use std::time::Duration;

use primrosemast_core::{
    config::{AnswerPolicy, Configuration, Priority, ZoneState},
    id::{InstanceId, ZoneId},
    placement::{self, BundleKey, Candidate},
    query::{
        CallerResponse, ClaimResult, DispatchMode, FailureReason, Message,
        MissingReason, QueryEffect, QueryEvent, QueryOptions,
    },
    target::{JobOutcome, TargetState},
    verdict::Verdict,
};

mod query_support;
use query_support::*;

const MS: Duration = Duration::from_millis(1);

/// Returns a configuration with two shards, each with a replica in the zones a
/// and b.
fn two_zones() -> Configuration {
    config(
        &[("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")],
        &[("a", 50), ("b", 50)],
    )
}

fn root_with_reports(cfg: Configuration) -> Root {
    // The tests assume a hedge delay of 10 ms and an acknowledgement timeout
    // of 20 ms.
    let options = QueryOptions {
        initial_hedge_delay: Duration::from_millis(10),
        min_ack_timeout: Duration::from_millis(20),
        ..QueryOptions::default()
    };
    let mut root = Root::new(cfg, options, 7);
    for zone in ["a", "b"] {
        for shard in 0..2 {
            let name = format!("{zone}{shard}");
            root.report(report(&name, vec![holding(1, shard, 2)]));
        }
    }
    root
}

fn shed(_: &primrosemast_core::query::ShardRequest, _: u32) -> JobOutcome {
    JobOutcome::Shed
}

fn failure(response: CallerResponse) -> (FailureReason, Verdict) {
    match response {
        CallerResponse::Failure(f) => (f.reason, f.verdict),
        CallerResponse::Answer(a) => panic!("unexpected answer: {a:?}"),
    }
}

fn this_send(response: &CallerResponse) -> Verdict {
    match response {
        CallerResponse::Failure(f) => f.this_send,
        CallerResponse::Answer(a) => panic!("unexpected answer: {a:?}"),
    }
}

fn answered(response: CallerResponse) -> primrosemast_core::query::Answer {
    match response {
        CallerResponse::Answer(a) => a,
        CallerResponse::Failure(f) => panic!("unexpected failure: {f:?}"),
    }
}

fn settled(root: &Root) -> Vec<Verdict> {
    let verdict = |e: &QueryEffect| match e {
        QueryEffect::Settle { verdict, .. } => Some(*verdict),
        _ => None,
    };
    root.effects.iter().filter_map(verdict).collect()
}

/// Guards against an answer with missing or unsorted shards.
#[test]
fn full_answer() {
    let mut root = root_with_reports(two_zones());
    root.submit(Some("r1"));
    let sent = root.requests();
    root.reply_all(&sent, |req, s| answer(req, s, 2));
    let a = answered(root.response());
    assert_eq!((a.coverage.asked, a.coverage.answered), (2, 2));
    assert_eq!(a.results[1].body, "1/1");
    assert_eq!(root.queries.in_flight(), 0);
    assert_eq!(root.queries.next_deadline(), None);
    let x = root.queries.explain("r1").expect("explained");
    assert_eq!(x.shards.len(), 2);
    assert!(serde_json::to_string(&x).is_ok());
}

/// Guards against lower coverage because a newer snapshot is chosen before
/// every shard of it has a replica.
#[test]
fn newest_complete_snapshot() {
    let mut root = root_with_reports(two_zones());
    root.report(report("a0", vec![holding(1, 0, 2), holding(2, 0, 2)]));
    root.submit(None);
    assert!(root.requests().iter().all(|x| x.1.snapshot == snapshot(1)));
    root.report(report("b1", vec![holding(1, 1, 2), holding(2, 1, 2)]));
    root.submit(None);
    assert!(root.requests().iter().all(|x| x.1.snapshot == snapshot(2)));
}

/// Guards against merging a reply with another snapshot, shard count, target,
/// sender or attempt than the request.
#[test]
fn mismatched_replies_are_dropped() {
    let mut root = root_with_reports(two_zones());
    root.submit(None);
    let sent = root.requests();
    let (home, req) = sent[0].clone();
    let shard = req.shards[0].0;
    let mut other = req.clone();
    other.snapshot = snapshot(2);
    root.reply(home, &req, shard, answer(&other, shard, 2));
    root.reply(home, &req, shard, answer(&req, shard, 3));
    root.reply(instance(9), &req, shard, answer(&req, shard, 2));
    other = req.clone();
    other.shards[0].1 = target("other");
    root.reply(home, &other, shard, answer(&req, shard, 2));
    other = req.clone();
    other.attempt += 7;
    root.reply(home, &other, shard, answer(&req, shard, 2));
    root.advance(100 * MS);
    assert_eq!(
        failure(root.response()),
        (FailureReason::DeadlineExceeded, Verdict::MayHaveRun)
    );
}

/// Guards against more load in a zone than its share, and against load in a
/// zone without a share while other zones can serve.
#[test]
fn zone_shares() {
    let mut cfg = two_zones();
    cfg.routes[0].shares[0].percent = 80;
    cfg.routes[0].shares[1].percent = 20;
    cfg.limits.max_in_flight = 10_000;
    let in_b = |root: &mut Root| {
        let names = ["b0", "b1"].map(target);
        (0..1_000)
            .map(|_| {
                root.submit(None);
                let sent = root.requests();
                root.reply_all(&sent, |req, s| answer(req, s, 2));
                let all = sent.iter().flat_map(|x| &x.1.shards);
                all.filter(|x| names.contains(&x.1)).count()
            })
            .sum::<usize>()
    };
    let mut root = root_with_reports(cfg.clone());
    let count = in_b(&mut root);
    assert!((300..500).contains(&count), "{count} of 2,000");
    cfg.routes[0].shares[0].percent = 100;
    cfg.routes[0].shares[1].percent = 0;
    root.configure(cfg);
    assert_eq!(in_b(&mut root), 0);
    // The other replicas are in zone a, which is out.
    root.set_zone("a", ZoneState::Out);
    assert_eq!(in_b(&mut root), 2_000);
    root.set_zone("b", ZoneState::Out);
    root.effects.clear();
    root.submit(None);
    assert!(root.requests().is_empty());
    let expected = (FailureReason::NoReplica, Verdict::NotRun);
    assert_eq!(failure(root.response()), expected);
}

/// Guards against a shard that is not asked although it has replicas, because
/// reports advise against all of them, and against a last resort in a zone
/// that is out or at a target that has been leaving for too long.
#[test]
fn last_resort() {
    let mut root = root_with_reports(two_zones());
    for name in ["a0", "b0"] {
        let mut r = report(name, vec![holding(1, 0, 2)]);
        r.state = TargetState::Down;
        r.limit = 0;
        root.report(r);
    }
    root.set_zone("b", ZoneState::Out);
    root.submit(None);
    let sent = root.requests();
    let asked: Vec<_> = sent.iter().flat_map(|x| x.1.shards.clone()).collect();
    assert!(asked.contains(&(0, target("a0"))), "{asked:?}");
    assert_eq!(root.count_logged("FLOOR_USED"), 1);
    let mut r = report("a0", vec![holding(1, 0, 2)]);
    r.state = TargetState::Leaving;
    root.report(r.clone());
    root.submit(None);
    let count = |root: &mut Root| -> usize {
        root.requests().iter().map(|x| x.1.shards.len()).sum()
    };
    assert_eq!(count(&mut root), 2, "within the grace period");
    root.advance(2_000 * MS);
    root.report(r);
    root.submit(None);
    assert_eq!(count(&mut root), 1, "after the grace period");
}

/// Guards against a cold target that gets no requests, or more than its limit.
#[test]
fn cold_target_limit() {
    let mut root = root_with_reports(two_zones());
    let mut r = report("a0", vec![holding(1, 0, 2)]);
    r.state = TargetState::Cold;
    r.limit = 1;
    root.report(r);
    let mut open = 0;
    for _ in 0..100 {
        root.submit(None);
        let sent = root.requests();
        let all = sent.iter().flat_map(|x| &x.1.shards);
        open += all.filter(|x| x.1 == target("a0")).count();
    }
    assert_eq!(open, 1);
}

/// Guards against admitting requests that cannot be served in time, and
/// against refusing a request after shard requests were sent.
#[test]
fn admission() {
    let mut cfg = two_zones();
    cfg.limits.max_in_flight = 20;
    let mut expect = |priority, limit: usize| {
        cfg.routes[0].priority = priority;
        let mut root = root_with_reports(cfg.clone());
        for _ in 0..limit {
            root.submit(None);
        }
        assert!(root.responses().is_empty());
        root.requests();
        root.submit(None);
        assert!(root.requests().is_empty());
        let expected = (FailureReason::Overloaded, Verdict::NotRun);
        assert_eq!(failure(root.response()), expected);
    };
    expect(Priority::Report, 12);
    expect(Priority::Normal, 17);
    expect(Priority::Urgent, 20);
    let mut root = root_with_reports(two_zones());
    for name in ["a1", "b1"] {
        let mut r = report(name, vec![holding(1, 1, 2)]);
        r.queued = 250;
        root.report(r);
    }
    root.submit(None);
    assert_eq!(failure(root.response()).0, FailureReason::Overloaded);
    root.submit_with(None, |r| r.deadline_us = Some(200_000));
    assert_eq!(root.responses(), []);
    root.requests();
    root.submit_with(None, |r| r.route = "none".into());
    assert_eq!(failure(root.response()).0, FailureReason::UnknownRoute);
    root.submit_with(None, |r| r.deadline_us = Some(0));
    assert_eq!(failure(root.response()).0, FailureReason::BadRequest);
    root.step(QueryEvent::Serving(false));
    root.submit(None);
    let expected = (FailureReason::NotServing, Verdict::NotRun);
    assert_eq!(failure(root.response()), expected);
    assert!(root.requests().is_empty());
}

/// Guards against stragglers that are not hedged, hedges to saturated targets,
/// and slower requests that are not cancelled after the answer.
#[test]
fn hedging() {
    let mut root = root_with_reports(two_zones());
    root.submit(None);
    let sent = root.requests();
    for (home, req) in &sent {
        let message =
            Message::Accepted { query: req.query, attempt: req.attempt };
        root.step(QueryEvent::Message(*home, message));
    }
    for zone in ["a", "b"] {
        let mut r = report(&format!("{zone}1"), vec![holding(1, 1, 2)]);
        r.running = 2;
        root.report(r);
    }
    root.advance(10 * MS);
    let hedges = root.requests();
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].1.shards[0].0, 0, "shard 1 is saturated");
    root.reply_all(&hedges, |req, s| answer(req, s, 2));
    let cancelled = root.effects.iter().any(|e| {
        matches!(e, QueryEffect::Send(_, Message::CancelShards { shards, .. })
            if shards.len() == 1 && shards[0].1 == 0)
    });
    assert!(cancelled, "{:?}", root.effects);
}

/// Guards against more extra load than the budget and the allowances permit,
/// and against a budget that is not used, when every target sheds, fails or
/// does not answer.
#[test]
fn extra_load_is_bounded() {
    for outcome in [
        Some(JobOutcome::Shed),
        Some(JobOutcome::Failed { verdict: Verdict::MayHaveRun }),
        None,
    ] {
        let mut root = root_with_reports(two_zones());
        let (mut first, mut all) = (0, 0);
        for _ in 0..500 {
            root.submit(None);
            let mut sent = root.requests();
            let count = |sent: &[(InstanceId, _)]| -> usize {
                let shards =
                    |x: &(_, primrosemast_core::query::ShardRequest)| {
                        x.1.shards.len()
                    };
                sent.iter().map(shards).sum()
            };
            first += count(&sent);
            while !sent.is_empty() {
                all += count(&sent);
                for (home, req) in &sent {
                    let (query, attempt) = (req.query, req.attempt);
                    let message = Message::Accepted { query, attempt };
                    root.step(QueryEvent::Message(*home, message));
                }
                match &outcome {
                    Some(x) => root.reply_all(&sent, |_, _| x.clone()),
                    None => root.advance(25 * MS),
                }
                sent = root.requests();
            }
            root.advance(100 * MS);
            assert_eq!(root.responses().len(), 1);
        }
        let budget = first * 5 / 100 + 10;
        let allowance =
            if outcome == Some(JobOutcome::Shed) { first } else { 0 };
        let extra = all - first;
        assert!(extra <= budget + allowance, "{extra} for {outcome:?}");
        assert!(extra + 5 >= budget, "{extra} for {outcome:?}");
    }
}

/// Guards against lost coverage when a home does not acknowledge requests, and
/// against requests that stay open at the home after they are sent to the
/// standby.
#[test]
fn standby_after_missing_acknowledgement() {
    let mut root = root_with_reports(two_zones());
    root.submit(None);
    let sent = root.requests();
    let silent_home = sent[0].0;
    root.advance(20 * MS);
    let resent: Vec<_> =
        root.requests().into_iter().filter(|x| x.1.as_standby).collect();
    let shards: usize = resent.iter().map(|x| x.1.shards.len()).sum();
    assert_eq!(shards, 2);
    assert!(resent.iter().all(|x| x.0 != silent_home || sent.len() > 1));
    let is_cancel = |e: &QueryEffect| {
        matches!(e, QueryEffect::Send(to, Message::CancelShards { .. })
            if *to == silent_home)
    };
    assert!(root.effects.iter().any(is_cancel));
    // Late answers from the previous homes are not used.
    root.reply_all(&sent, |req, s| answer(req, s, 2));
    assert!(root.responses().is_empty());
    root.reply_all(&resent, |req, s| answer(req, s, 2));
    assert_eq!(answered(root.response()).coverage.answered, 2);
}

/// Guards against a shard that is given up after the first refusal of its only
/// target, because the request through its silent home was cancelled before.
/// Pattern: a root that cannot reach a home for long, while both the home and
/// the standby send to the target.
#[test]
fn a_target_that_shed_a_standbys_request_is_asked_again() {
    let cfg = config(&[("a0", "a")], &[("a", 100)]);
    let options = QueryOptions {
        min_ack_timeout: Duration::from_millis(20),
        ..QueryOptions::default()
    };
    let mut root = Root::new(cfg, options, 7);
    root.report(report("a0", vec![holding(1, 0, 1)]));
    root.submit_with(None, |r| r.deadline_us = Some(500_000));
    let first = root.requests();
    root.advance(20 * MS);
    let second = root.requests();
    assert!(second[0].1.as_standby, "{second:?}");
    root.reply_all(&second, shed);
    let third = root.requests();
    assert_eq!((first.len(), third.len()), (1, 1), "{third:?}");
    root.reply_all(&third, |req, shard| answer(req, shard, 1));
    assert_eq!(answered(root.response()).coverage.answered, 1);
}

/// Guards against a standby that is asked for a target that only its home may
/// send to, and against waiting for a home that has fallen silent.
#[test]
fn the_standby_of_a_cold_target_is_asked_once_its_home_is_silent() {
    let mut root = root_with_reports(two_zones());
    for (name, shard) in [("a0", 0), ("a1", 1), ("b0", 0), ("b1", 1)] {
        let mut cold = report(name, vec![holding(1, shard, 2)]);
        cold.shared = false;
        root.report(cold);
    }
    let asked = |root: &mut Root| {
        root.submit_with(None, |r| r.deadline_us = Some(2_000_000));
        root.advance(25 * MS);
        let sent = root.requests();
        sent.iter().filter(|x| x.1.as_standby).count()
    };
    assert_eq!(asked(&mut root), 0);
    root.advance(1_000 * MS);
    assert!(asked(&mut root) > 0);
}

/// Guards against waiting for the acknowledgement of a home that has left the
/// membership.
#[test]
fn home_left() {
    let mut root = root_with_reports(two_zones());
    root.submit(None);
    let sent = root.requests();
    let lost = sent.iter().map(|x| x.0).find(|x| x.0 != 1);
    let lost = lost.expect("a home other than the root").0;
    let remaining: Vec<u64> =
        [1, 2, 3].into_iter().filter(|&n| n != lost).collect();
    root.candidates(&remaining);
    let resent = root.requests();
    assert!(!resent.is_empty());
    assert!(resent.iter().all(|x| x.0.0 != lost && x.1.as_standby));
}

/// Guards against a resend that is refused as not run although an earlier
/// send of its id, through another instance, has run: only a decided claim
/// tells whether the id was used.
#[test]
fn an_undecided_claim_says_nothing_about_earlier_sends() {
    let mut cfg = two_zones();
    cfg.routes[0].repeatable = false;
    let mut root = root_with_reports(cfg);
    let check = |response: CallerResponse, reason| {
        assert_eq!(this_send(&response), Verdict::NotRun);
        assert_eq!(failure(response), (reason, Verdict::MayHaveRun));
    };
    // The control group does not answer before the deadline.
    root.submit(Some("a"));
    root.advance(100 * MS);
    check(root.response(), FailureReason::DeadlineExceeded);
    root.effects.clear();
    // It has no quorum.
    root.submit(Some("b"));
    let query = root.claiming_query();
    root.step(QueryEvent::Claimed(query, ClaimResult::Unavailable));
    check(root.response(), FailureReason::NoQuorum);
    // The request is refused before its id is claimed.
    root.submit_with(Some("c"), |r| r.deadline_us = Some(0));
    check(root.response(), FailureReason::BadRequest);
    // The route may have existed, and not have been repeatable.
    root.submit_with(Some("d"), |r| r.route = "none".into());
    check(root.response(), FailureReason::UnknownRoute);
    root.step(QueryEvent::Serving(false));
    root.submit(Some("e"));
    check(root.response(), FailureReason::NotServing);
    // Without an id there is no earlier send.
    root.submit(None);
    let expected = (FailureReason::NotServing, Verdict::NotRun);
    assert_eq!(failure(root.response()), expected);
    assert!(root.requests().is_empty());
}

/// Guards against a non-repeatable request that is sent without a claim, sent
/// twice, or sent after the caller got the verdict that it did not run.
#[test]
fn claims() {
    let mut cfg = two_zones();
    cfg.routes[0].repeatable = false;
    let mut root = root_with_reports(cfg);
    root.submit(None);
    assert_eq!(failure(root.response()).0, FailureReason::MissingRequestId);
    root.submit(Some("late"));
    assert!(root.requests().is_empty(), "sent before the claim");
    let late = root.claiming_query();
    root.advance(100 * MS);
    let expected = (FailureReason::DeadlineExceeded, Verdict::MayHaveRun);
    let response = root.response();
    assert_eq!(this_send(&response), Verdict::NotRun);
    assert_eq!(failure(response), expected);
    root.step(QueryEvent::Claimed(late, ClaimResult::Granted));
    assert!(root.requests().is_empty());
    assert_eq!(settled(&root), [Verdict::NotRun]);
    root.effects.clear();
    let token = root.submit(Some("gone"));
    let gone = root.claiming_query();
    root.step(QueryEvent::CallerGone(token));
    root.step(QueryEvent::Claimed(gone, ClaimResult::Granted));
    assert!(root.requests().is_empty());
    assert_eq!(settled(&root), [Verdict::NotRun]);
    let mut run = |result, outcomes: &[JobOutcome]| {
        root.effects.clear();
        root.submit(Some("x"));
        let query = root.claiming_query();
        root.step(QueryEvent::Claimed(query, result));
        let sent = root.requests();
        let count: usize = sent.iter().map(|x| x.1.shards.len()).sum();
        for outcome in outcomes {
            root.reply_all(&sent, |_, _| outcome.clone());
        }
        root.candidates(&[4]);
        root.advance(100 * MS);
        root.candidates(&[1, 2, 3]);
        assert!(root.requests().is_empty(), "sent again");
        let (reason, verdict) = failure(root.response());
        (count, reason, verdict, settled(&root))
    };
    use FailureReason as R;
    use Verdict::{MayHaveRun, NotRun, Ran};
    let granted = ClaimResult::Granted;
    assert_eq!(
        run(granted, &[]),
        (1, R::DeadlineExceeded, MayHaveRun, vec![MayHaveRun])
    );
    assert_eq!(
        run(granted, &[JobOutcome::Shed]),
        (1, R::Overloaded, NotRun, vec![NotRun])
    );
    assert_eq!(
        run(granted, &[JobOutcome::Failed { verdict: Ran }]),
        (1, R::TargetFailed, Ran, vec![Ran])
    );
    assert_eq!(
        run(ClaimResult::Taken(Some(Ran)), &[]),
        (0, R::DuplicateRequestId, Ran, vec![])
    );
    assert_eq!(
        run(ClaimResult::Taken(None), &[]),
        (0, R::DuplicateRequestId, MayHaveRun, vec![])
    );
    assert_eq!(
        run(ClaimResult::Unavailable, &[]),
        (0, R::NoQuorum, MayHaveRun, vec![])
    );
}

/// Guards against an answer with results from two snapshots when targets
/// switch to another snapshot during a query.
#[test]
fn replan_with_another_snapshot() {
    let mut root = root_with_reports(two_zones());
    root.submit(None);
    let mut sent = root.requests();
    let (home, req) = sent[0].clone();
    let shard = req.shards[0].0;
    // All targets replace snapshot 1 by snapshot 2 while the query runs.
    for name in ["a0", "a1", "b0", "b1"] {
        let shard = u32::from(name.ends_with('1'));
        root.report(report(name, vec![holding(2, shard, 2)]));
    }
    for (h, r) in &sent {
        for &(s, _) in &r.shards {
            if s != shard {
                root.reply(*h, r, s, answer(r, s, 2));
            }
        }
    }
    root.reply(home, &req, shard, JobOutcome::NotHeld);
    sent = root.requests();
    assert!(sent.iter().all(|x| x.1.snapshot == snapshot(2)));
    root.reply_all(&sent, |req, s| answer(req, s, 2));
    let a = answered(root.response());
    assert_eq!((a.snapshot, a.coverage.answered), (snapshot(2), 2));
    assert!(a.results.iter().all(|r| r.body.starts_with(b"2/")));
}

/// Guards against a partial answer that does not list the missing shards, and
/// against one that is given before the hedge delay has passed.
#[test]
fn partial_answers() {
    let mut cfg = two_zones();
    let mut root = root_with_reports(cfg.clone());
    root.submit(None);
    let sent = root.requests();
    let (home, req) = sent[0].clone();
    let shard = req.shards[0].0;
    root.reply(home, &req, shard, answer(&req, shard, 2));
    root.advance(99 * MS);
    assert!(root.responses().is_empty());
    root.advance(MS);
    let a = answered(root.response());
    assert_eq!((a.coverage.asked, a.coverage.answered), (2, 1));
    assert_eq!(a.coverage.missing[0].reason, MissingReason::Late);
    root.effects.clear();
    cfg.routes[0].policy = AnswerPolicy::Latency { enough_percent: 50 };
    root.configure(cfg);
    root.submit(None);
    let sent = root.requests();
    let (home, req) = sent[0].clone();
    let shard = req.shards[0].0;
    root.reply(home, &req, shard, answer(&req, shard, 2));
    assert!(root.responses().is_empty());
    root.advance(10 * MS);
    assert_eq!(answered(root.response()).coverage.answered, 1);
    // If every target sheds, the request has not run.
    root.submit(None);
    loop {
        let sent = root.requests();
        if sent.is_empty() {
            break;
        }
        root.reply_all(&sent, shed);
    }
    let expected = (FailureReason::Overloaded, Verdict::NotRun);
    assert_eq!(failure(root.response()), expected);
}

/// Guards against instances that disagree on homes because they saw different
/// sequences of membership changes. Compares the incremental update of homes
/// with a full ranking.
#[test]
fn homes_are_independent_of_membership_history() {
    let mut root = root_with_reports(two_zones());
    for ids in [&[1, 2][..], &[2, 4, 5], &[1, 2, 3, 4, 5, 6], &[3, 6]] {
        root.candidates(ids);
        root.submit(None);
        let zone = ZoneId::from_name("a");
        let all: Vec<Candidate> = ids
            .iter()
            .map(|&n| Candidate { instance: InstanceId(n), zone })
            .collect();
        for (home, req) in root.requests().iter().filter(|x| !x.1.as_standby) {
            for &(_, id) in &req.shards {
                let names = ["a0", "a1", "b0", "b1"];
                let i = names.iter().position(|n| target(n) == id);
                let i = i.expect("a configured target");
                let zone = ZoneId::from_name(&names[i][..1]);
                let key = BundleKey::new("s", zone, i % 2, 1);
                let expected = placement::rank(key, zone, &all).0;
                assert_eq!(expected, Some(*home));
            }
        }
    }
}

/// Guards against hedges, standbys and admission limits in the direct mode,
/// which is the baseline that these mechanisms are compared to, and against
/// an unbounded number of explained queries.
#[test]
fn direct_mode_has_no_extra_requests() {
    let mut cfg = two_zones();
    cfg.limits.max_in_flight = 1;
    let options = QueryOptions {
        mode: DispatchMode::Direct,
        max_explained_queries: 3,
        ..QueryOptions::default()
    };
    let mut root = Root::new(cfg, options, 7);
    for (name, shard) in [("a0", 0), ("b0", 0), ("a1", 1), ("b1", 1)] {
        root.report(report(name, vec![holding(1, shard, 2)]));
    }
    for i in 0..5 {
        root.submit(Some(&format!("r{i}")));
    }
    let sent = root.requests();
    assert!(sent.iter().all(|x| x.0 == instance(1)));
    let shards: usize = sent.iter().map(|x| x.1.shards.len()).sum();
    assert_eq!(shards, 10);
    root.advance(50 * MS);
    assert!(root.requests().is_empty(), "hedged or sent to a standby");
    root.advance(50 * MS);
    assert_eq!(root.responses().len(), 5);
    assert!(root.queries.explain("r1").is_none());
    assert!(root.queries.explain("r4").is_some());
}
