//! Rules of the query root, one by one.
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

/// Two shards with a replica each in zones a and b.
fn two_by_two() -> Configuration {
    config(
        &[("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")],
        &[("a", 50), ("b", 50)],
    )
}

fn root_of(cfg: Configuration) -> Root {
    // The times in these tests are those of a hedge delay of 10 ms and an
    // acknowledgement within 20 ms.
    let options = QueryOptions {
        initial_hedge_delay: Duration::from_millis(10),
        min_ack_timeout: Duration::from_millis(20),
        ..QueryOptions::default()
    };
    let mut root = Root::new(cfg, options, 7);
    for zone in ["a", "b"] {
        for shard in 0..2 {
            let name = format!("{zone}{shard}");
            root.report(report(&name, vec![hold(1, shard, 2)]));
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
        CallerResponse::Answer(a) => panic!("an answer: {a:?}"),
    }
}

fn answered(response: CallerResponse) -> primrosemast_core::query::Answer {
    match response {
        CallerResponse::Answer(a) => a,
        CallerResponse::Failure(f) => panic!("a failure: {f:?}"),
    }
}

fn settled(root: &Root) -> Vec<Verdict> {
    let verdict = |e: &QueryEffect| match e {
        QueryEffect::Settle { verdict, .. } => Some(*verdict),
        _ => None,
    };
    root.effects.iter().filter_map(verdict).collect()
}

/// Guards against an answer that lacks shards or merges them out of order.
#[test]
fn full_answer() {
    let mut root = root_of(two_by_two());
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

/// Guards against a newer, incomplete snapshot that costs coverage.
#[test]
fn newest_complete_snapshot() {
    let mut root = root_of(two_by_two());
    root.report(report("a0", vec![hold(1, 0, 2), hold(2, 0, 2)]));
    root.submit(None);
    assert!(root.requests().iter().all(|x| x.1.snapshot == snap(1)));
    root.report(report("b1", vec![hold(1, 1, 2), hold(2, 1, 2)]));
    root.submit(None);
    assert!(root.requests().iter().all(|x| x.1.snapshot == snap(2)));
}

/// Guards against merging an answer of another snapshot, target or sender.
#[test]
fn foreign_replies_are_dropped() {
    let mut root = root_of(two_by_two());
    root.submit(None);
    let sent = root.requests();
    let (home, req) = sent[0].clone();
    let shard = req.shards[0].0;
    let mut other = req.clone();
    other.snapshot = snap(2);
    root.reply(home, &req, shard, answer(&other, shard, 2));
    root.reply(home, &req, shard, answer(&req, shard, 3));
    root.reply(instance(9), &req, shard, answer(&req, shard, 2));
    other = req.clone();
    other.shards[0].1 = target("other");
    root.reply(home, &other, shard, answer(&req, shard, 2));
    other = req.clone();
    other.attempt += 7;
    root.reply(home, &other, shard, answer(&req, shard, 2));
    root.pass(100 * MS);
    assert_eq!(
        failure(root.response()),
        (FailureReason::DeadlineExceeded, Verdict::MayHaveRun)
    );
}

/// Guards against load in a zone beyond its share, or in one without any.
#[test]
fn zone_shares() {
    let mut cfg = two_by_two();
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
    let mut root = root_of(cfg.clone());
    let count = in_b(&mut root);
    assert!((300..500).contains(&count), "{count} of 2,000");
    cfg.routes[0].shares[0].percent = 100;
    cfg.routes[0].shares[1].percent = 0;
    root.configure(cfg);
    assert_eq!(in_b(&mut root), 0);
    // Shard 0 has no other replica now.
    root.set_zone("a", ZoneState::Out);
    assert_eq!(in_b(&mut root), 2_000);
    root.set_zone("b", ZoneState::Out);
    root.effects.clear();
    root.submit(None);
    assert!(root.requests().is_empty());
    let expected = (FailureReason::NoReplica, Verdict::NotRun);
    assert_eq!(failure(root.response()), expected);
}

/// Guards against reports that reject every replica of a shard, and against
/// a floor that ignores the operators or a target that has to leave.
#[test]
fn floor() {
    let mut root = root_of(two_by_two());
    for name in ["a0", "b0"] {
        let mut r = report(name, vec![hold(1, 0, 2)]);
        r.state = TargetState::Down;
        r.limit = 0;
        root.report(r);
    }
    root.set_zone("b", ZoneState::Out);
    root.submit(None);
    let sent = root.requests();
    let asked: Vec<_> = sent.iter().flat_map(|x| x.1.shards.clone()).collect();
    assert!(asked.contains(&(0, target("a0"))), "{asked:?}");
    assert_eq!(root.logged("FLOOR_USED"), 1);
    let mut r = report("a0", vec![hold(1, 0, 2)]);
    r.state = TargetState::Leaving;
    root.report(r.clone());
    root.submit(None);
    let count = |root: &mut Root| -> usize {
        root.requests().iter().map(|x| x.1.shards.len()).sum()
    };
    assert_eq!(count(&mut root), 2, "in grace");
    root.pass(2_000 * MS);
    root.report(r);
    root.submit(None);
    assert_eq!(count(&mut root), 1, "after the grace");
}

/// Guards against a cold target that gets more than its limit or nothing.
#[test]
fn cold_targets() {
    let mut root = root_of(two_by_two());
    let mut r = report("a0", vec![hold(1, 0, 2)]);
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

/// Guards against work that is accepted although it cannot be served, and
/// against a refusal after something was sent.
#[test]
fn admission() {
    let mut cfg = two_by_two();
    cfg.limits.max_in_flight = 20;
    let mut expect = |priority, limit: usize| {
        cfg.routes[0].priority = priority;
        let mut root = root_of(cfg.clone());
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
    let mut root = root_of(two_by_two());
    for name in ["a1", "b1"] {
        let mut r = report(name, vec![hold(1, 1, 2)]);
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

/// Guards against stragglers that are not hedged, hedges into saturated
/// targets, and losers that keep running.
#[test]
fn hedging() {
    let mut root = root_of(two_by_two());
    root.submit(None);
    let sent = root.requests();
    for (home, req) in &sent {
        let message =
            Message::Accepted { query: req.query, attempt: req.attempt };
        root.step(QueryEvent::Message(*home, message));
    }
    for zone in ["a", "b"] {
        let mut r = report(&format!("{zone}1"), vec![hold(1, 1, 2)]);
        r.running = 2;
        root.report(r);
    }
    root.pass(10 * MS);
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

/// Guards against extra load beyond the budget and the stated allowance
/// when every target fails or is slow.
#[test]
fn extra_load_is_bounded() {
    for outcome in [
        Some(JobOutcome::Shed),
        Some(JobOutcome::Failed { verdict: Verdict::MayHaveRun }),
        None,
    ] {
        let mut root = root_of(two_by_two());
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
                    None => root.pass(25 * MS),
                }
                sent = root.requests();
            }
            root.pass(100 * MS);
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

/// Guards against a dead home that costs coverage, and against two homes
/// that both run a request.
#[test]
fn standby() {
    let mut root = root_of(two_by_two());
    root.submit(None);
    let sent = root.requests();
    let dead = sent[0].0;
    root.pass(20 * MS);
    let again: Vec<_> =
        root.requests().into_iter().filter(|x| x.1.as_standby).collect();
    let shards: usize = again.iter().map(|x| x.1.shards.len()).sum();
    assert_eq!(shards, 2);
    assert!(again.iter().all(|x| x.0 != dead || sent.len() > 1));
    let is_cancel = |e: &QueryEffect| {
        matches!(e, QueryEffect::Send(to, Message::CancelShards { .. })
            if *to == dead)
    };
    assert!(root.effects.iter().any(is_cancel));
    // A late answer of the former home is not used.
    root.reply_all(&sent, |req, s| answer(req, s, 2));
    assert!(root.responses().is_empty());
    root.reply_all(&again, |req, s| answer(req, s, 2));
    assert_eq!(answered(root.response()).coverage.answered, 2);
}

/// Guards against waiting for a home that membership knows to be gone.
#[test]
fn lost_home() {
    let mut root = root_of(two_by_two());
    root.submit(None);
    let sent = root.requests();
    let lost = sent.iter().map(|x| x.0).find(|x| x.0 != 1);
    let lost = lost.expect("a home other than the root").0;
    let left: Vec<u64> =
        [1, 2, 3].into_iter().filter(|&n| n != lost).collect();
    root.candidates(&left);
    let again = root.requests();
    assert!(!again.is_empty());
    assert!(again.iter().all(|x| x.0.0 != lost && x.1.as_standby));
}

/// Guards against a request that must not run twice and is sent without a
/// claim, sent again, or sent after its caller was told that it did not run.
#[test]
fn claims() {
    let mut cfg = two_by_two();
    cfg.routes[0].repeatable = false;
    let mut root = root_of(cfg);
    root.submit(None);
    assert_eq!(failure(root.response()).0, FailureReason::MissingRequestId);
    root.submit(Some("late"));
    assert!(root.requests().is_empty(), "claim before send");
    let late = root.claimed();
    root.pass(100 * MS);
    let expected = (FailureReason::DeadlineExceeded, Verdict::NotRun);
    assert_eq!(failure(root.response()), expected);
    root.step(QueryEvent::Claimed(late, ClaimResult::Granted));
    assert!(root.requests().is_empty());
    assert_eq!(settled(&root), [Verdict::NotRun]);
    root.effects.clear();
    let token = root.submit(Some("gone"));
    let gone = root.claimed();
    root.step(QueryEvent::CallerGone(token));
    root.step(QueryEvent::Claimed(gone, ClaimResult::Granted));
    assert!(root.requests().is_empty());
    assert_eq!(settled(&root), [Verdict::NotRun]);
    let mut end = |result, events: &[JobOutcome]| {
        root.effects.clear();
        root.submit(Some("x"));
        let query = root.claimed();
        root.step(QueryEvent::Claimed(query, result));
        let sent = root.requests();
        let count: usize = sent.iter().map(|x| x.1.shards.len()).sum();
        for outcome in events {
            root.reply_all(&sent, |_, _| outcome.clone());
        }
        root.candidates(&[4]);
        root.pass(100 * MS);
        root.candidates(&[1, 2, 3]);
        assert!(root.requests().is_empty(), "sent again");
        let (reason, verdict) = failure(root.response());
        (count, reason, verdict, settled(&root))
    };
    use FailureReason as R;
    use Verdict::{MayHaveRun, NotRun, Ran};
    let granted = ClaimResult::Granted;
    assert_eq!(
        end(granted, &[]),
        (1, R::DeadlineExceeded, MayHaveRun, vec![MayHaveRun])
    );
    assert_eq!(
        end(granted, &[JobOutcome::Shed]),
        (1, R::Overloaded, NotRun, vec![NotRun])
    );
    assert_eq!(
        end(granted, &[JobOutcome::Failed { verdict: Ran }]),
        (1, R::TargetFailed, Ran, vec![Ran])
    );
    assert_eq!(
        end(ClaimResult::Taken(Some(Ran)), &[]),
        (0, R::DuplicateRequestId, Ran, vec![])
    );
    assert_eq!(
        end(ClaimResult::Taken(None), &[]),
        (0, R::DuplicateRequestId, MayHaveRun, vec![])
    );
    assert_eq!(
        end(ClaimResult::Unavailable, &[]),
        (0, R::NoQuorum, NotRun, vec![])
    );
}

/// Guards against an answer from two snapshots after a repartition.
#[test]
fn second_plan() {
    let mut root = root_of(two_by_two());
    root.submit(None);
    let mut sent = root.requests();
    let (home, req) = sent[0].clone();
    let shard = req.shards[0].0;
    // Snapshot 2 appears, and snapshot 1 is dropped under the query.
    for name in ["a0", "a1", "b0", "b1"] {
        let shard = u32::from(name.ends_with('1'));
        root.report(report(name, vec![hold(2, shard, 2)]));
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
    assert!(sent.iter().all(|x| x.1.snapshot == snap(2)));
    root.reply_all(&sent, |req, s| answer(req, s, 2));
    let a = answered(root.response());
    assert_eq!((a.snapshot, a.coverage.answered), (snap(2), 2));
    assert!(a.results.iter().all(|r| r.body.starts_with(b"2/")));
}

/// Guards against a partial answer that hides what is missing, and against
/// one that comes before the hedges had a chance.
#[test]
fn partial_answers() {
    let mut cfg = two_by_two();
    let mut root = root_of(cfg.clone());
    root.submit(None);
    let sent = root.requests();
    let (home, req) = sent[0].clone();
    let shard = req.shards[0].0;
    root.reply(home, &req, shard, answer(&req, shard, 2));
    root.pass(99 * MS);
    assert!(root.responses().is_empty());
    root.pass(MS);
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
    root.pass(10 * MS);
    assert_eq!(answered(root.response()).coverage.answered, 1);
    // All shed: known as not run.
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

/// Guards against homes that differ between instances, because one of them
/// saw the fleet change step by step and the other all at once.
#[test]
fn homes_follow_the_fleet() {
    let mut root = root_of(two_by_two());
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

/// Guards against a baseline that borrows the mechanisms it is compared to,
/// and against explanations that grow without bound.
#[test]
fn direct_mode() {
    let mut cfg = two_by_two();
    cfg.limits.max_in_flight = 1;
    let options = QueryOptions {
        mode: DispatchMode::Direct,
        max_explained_queries: 3,
        ..QueryOptions::default()
    };
    let mut root = Root::new(cfg, options, 7);
    for (name, shard) in [("a0", 0), ("b0", 0), ("a1", 1), ("b1", 1)] {
        root.report(report(name, vec![hold(1, shard, 2)]));
    }
    for i in 0..5 {
        root.submit(Some(&format!("r{i}")));
    }
    let sent = root.requests();
    assert!(sent.iter().all(|x| x.0 == instance(1)));
    let shards: usize = sent.iter().map(|x| x.1.shards.len()).sum();
    assert_eq!(shards, 10);
    root.pass(50 * MS);
    assert!(root.requests().is_empty(), "hedges or a standby");
    root.pass(50 * MS);
    assert_eq!(root.responses().len(), 5);
    assert!(root.queries.explain("r1").is_none());
    assert!(root.queries.explain("r4").is_some());
}
