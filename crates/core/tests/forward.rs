//! The forwarding path: routes, targets, refusals, hedges and delegates.

mod forward_support;

use std::sync::Arc;

use bytes::Bytes;
use forward_support::*;
use primrosemast_core::{
    forward::{
        ForwardEffect, ForwardEvent, Outcome, Reason, Response,
        shared::{IncomingMessage, Message, PartialResult, Task},
        table::{CompiledTable, Destination},
    },
    id::{InstanceId, RouteId, Token, ZoneId},
    verdict::Verdict,
};

fn one() -> Destination {
    Destination::Service("one".into())
}

fn rejected(response: &Response) -> (Reason, Verdict) {
    match response {
        Response::Reject { reason, verdict, .. } => (*reason, *verdict),
        other => panic!("not a rejection: {other:?}"),
    }
}

// Guards against requests that take the route of a shorter prefix, of
// another host, or of a prefix that only begins like the path.
#[test]
fn the_longest_prefix_of_the_host_is_taken() {
    let mut routes = vec![route("a", one()), route("a/b", one())];
    routes.push(route("a/b/c", one()));
    routes[2].host = "other.example".into();
    let table = CompiledTable::new(&table(routes));
    let find = |host, path| table.find(host, path).map(|r| r.id);
    let id = |name| Some(RouteId::from_name(name));
    assert_eq!(find("site.example", "/a/x"), id("a"));
    assert_eq!(find("SITE.example:80", "/a/b/c/x"), id("a/b"));
    assert_eq!(find("other.example", "/a/b/c/"), id("a/b/c"));
    assert_eq!(find("other.example", "/a/b/x"), None);
    assert_eq!(find("site.example", "/ab"), None);
    assert_eq!(find("site.example", ""), None);
}

// Guards against a table in force that sends requests nowhere.
#[test]
fn problems_of_a_table_are_found() {
    let cases: Vec<(&str, Destination, u32, &str)> = vec![
        ("unknown", Destination::Service("no".into()), 1, "unknown service"),
        ("weights", split(&[("one", 0.0)]), 1, "add up to 0"),
        ("timeout", one(), 0, "timeout of 0"),
        ("empty", shards(0, 0.5), 1, "at least one"),
    ];
    for (name, destination, timeout_ms, expected) in cases {
        let mut broken = table(vec![route("good", one())]);
        let mut bad = route(name, destination);
        bad.timeout_ms = timeout_ms;
        broken.routes.push(bad);
        let problems = broken.problems();
        assert_eq!(problems.len(), 1, "{name}: {problems:?}");
        assert!(problems[0].contains(expected), "{name}: {problems:?}");
    }
    let twice = table(vec![route("a", one()), route("a", one())]);
    assert!(twice.problems()[0].contains("share host"));
}

// Guards against a route by weights that is handled like one over shards,
// which once ended the process, and against shares that drift.
#[test]
fn a_split_sends_each_part_its_share() {
    let parts = split(&[("one", 3.0), ("two", 1.0), ("none", 0.0)]);
    let mut site = Site::new(&table(vec![route("s", parts)]), 4);
    site.set_fellows(&[5, 6]);
    let mut counts = [0, 0, 0];
    for _ in 0..400 {
        site.submit("s");
        let sent = site.sent();
        assert_eq!(sent.len(), 1);
        let service = sent[0].name.split('/').next().expect("a name");
        let services = ["one", "two", "none"];
        let i = services.iter().position(|s| *s == service).expect(service);
        counts[i] += 1;
        site.end(sent[0].attempt, Outcome::Success);
        site.pass(ms(5));
    }
    assert_eq!(counts[2], 0);
    assert!((298..=302).contains(&counts[0]), "{counts:?}");
}

// Guards against a request that runs twice although it must not, and
// against a refusal as not run of a request that may have run.
#[test]
fn a_request_that_must_not_repeat_is_sent_again_only_if_it_did_not_run() {
    let mut once = route("once", one());
    once.repeatable = false;
    let table = table(vec![once]);
    let cases = [
        (Outcome::Refused, true),
        (Outcome::Replaced, true),
        (Outcome::Unreachable, true),
        (Outcome::Broken, false),
        (Outcome::Failure, false),
    ];
    for (outcome, again) in cases {
        let mut site = Site::new(&table, 3);
        site.submit("once");
        let first = site.sent();
        site.end(first[0].attempt, outcome);
        assert_eq!(site.sent().len(), usize::from(again), "{outcome:?}");
        if outcome == Outcome::Broken {
            let responses = site.responses();
            let expected = (Reason::TargetFailed, Verdict::MayHaveRun);
            assert_eq!(rejected(&responses[0].1), expected);
        }
    }
}

// Guards against hedges of requests that must not run twice.
#[test]
fn a_request_that_must_not_repeat_is_never_hedged() {
    let mut once = route("once", one());
    once.repeatable = false;
    let mut site = Site::new(&table(vec![once]), 3);
    site.submit("once");
    assert_eq!(site.sent().len(), 1);
    site.pass(ms(970));
    assert_eq!(site.sent(), Vec::new());
    site.pass(ms(30));
    let responses = site.responses();
    let expected = (Reason::Deadline, Verdict::MayHaveRun);
    assert_eq!(rejected(&responses[0].1), expected);
}

// Guards against requests that wait although they cannot be served: with
// too many shards down the caller learns it at once, and nothing is sent.
#[test]
fn all_searchers_of_too_many_shards_down_is_refused_at_once() {
    let forwarding = table(vec![route("q", shards(10, 0.9))]);
    let mut site = Site::new(&forwarding, 2);
    let down = |site: &mut Site, shard: &str| {
        let prefix = format!("{shard}/");
        site.directory.targets.retain(|t| !t.name.starts_with(&prefix));
        site.pass(next_reading());
    };
    down(&mut site, "shard-3");
    site.submit("q");
    assert_eq!(site.sent().len(), 9, "one shard may be missing");
    down(&mut site, "shard-4");
    site.sent();
    site.responses();
    site.submit("q");
    assert_eq!(site.sent(), Vec::new());
    let responses = site.responses();
    let expected = (Reason::NoTarget, Verdict::NotRun);
    assert_eq!(rejected(&responses[0].1), expected);
}

// The heaviest days: parts of many shards arrive until the objective ends, and
// every response is a few milliseconds late because they still have to be
// merged. Guards against a margin that does not grow with the shards.
#[test]
fn a_response_of_many_shards_leaves_more_time_for_its_merge() {
    let margin = |count: usize| {
        let forwarding = table(vec![route("q", shards(count, 0.5))]);
        let mut site = Site::new(&forwarding, 1);
        let started = site.now;
        site.submit("q");
        let sent = site.sent();
        for send in &sent[1..] {
            site.end(send.attempt, Outcome::Success);
        }
        while site.responses().is_empty() {
            site.pass(ms(1));
        }
        ms(100).saturating_sub(site.now.since(started))
    };
    // A root with an eighth of a core takes some 6 ms from its decision to
    // the last byte of a response of 90 shards, beside 6 ms on the way.
    assert!(margin(10) >= ms(14) && margin(10) <= ms(17));
    assert!(margin(90) >= margin(10) + ms(6));
}

// Guards against a response that misses its objective for one paused shard,
// and against one that is sent with too few shards.
#[test]
fn a_paused_shard_is_left_out_when_the_objective_ends() {
    let forwarding = table(vec![route("q", shards(10, 0.9))]);
    let mut site = Site::new(&forwarding, 1);
    site.submit("q");
    let sent = site.sent();
    site.pass(ms(10));
    for send in &sent[..8] {
        site.end(send.attempt, Outcome::Success);
    }
    site.pass(ms(85));
    assert_eq!(site.responses(), Vec::new(), "8 of 10 are too few");
    site.end(sent[8].attempt, Outcome::Success);
    let responses = site.responses();
    let parts = sent[..9].iter().map(|s| s.attempt).collect();
    let expected = Response::Merge { parts, missing: 1, top: 5 };
    assert_eq!(responses[0].1, expected);
}

// Guards against a query that waits out the pause of a searcher, and
// against new work for a searcher that answers nobody.
#[test]
fn a_searcher_that_pauses_is_hedged_and_passed_over() {
    let forwarding = table(vec![route("one", one())]);
    let mut site = Site::new(&forwarding, 2);
    for _ in 0..40 {
        site.submit("one");
        let sent = site.sent();
        site.pass(ms(10));
        site.end(sent[0].attempt, Outcome::Success);
    }
    site.responses();
    site.submit("one");
    let paused = site.sent().remove(0);
    site.pass(ms(20));
    let hedge = site.sent();
    assert_eq!(hedge.len(), 1, "a second searcher is asked within 20 ms");
    assert_ne!(hedge[0].target, paused.target);
    site.end(hedge[0].attempt, Outcome::Success);
    assert_eq!(site.responses().len(), 1);
    site.pass(ms(20));
    for _ in 0..3 {
        site.submit("one");
        let sent = site.sent();
        assert_ne!(sent[0].target, paused.target);
        site.end(sent[0].attempt, Outcome::Success);
    }
}

// Guards against a pause that shows a sound searcher as slow for seconds,
// which moved a quarter of all work to other zones.
#[test]
fn one_pause_does_not_move_work_to_another_zone() {
    let forwarding = table(vec![route("one", one())]);
    let mut site = Site::new(&forwarding, 2);
    let near = ZoneId::from_name("a");
    let zone_of = |site: &Site, id| {
        site.forwarder.targets().get(id).expect("a target").zone
    };
    for _ in 0..40 {
        site.submit("one");
        let sent = site.sent();
        site.pass(ms(10));
        site.end(sent[0].attempt, Outcome::Success);
    }
    // Two requests wait for the pause of the near searcher.
    let mut waiting = Vec::new();
    for _ in 0..2 {
        site.submit("one");
        waiting.extend(site.sent());
    }
    site.pass(ms(150));
    site.sent();
    for send in &waiting {
        site.end(send.attempt, Outcome::Success);
    }
    site.pass(ms(300));
    site.submit("one");
    let sent = site.sent();
    assert_eq!(zone_of(&site, sent[0].target), near);
}

// Guards against work for targets that must not get any: cold, leaving, in
// a zone that is out, or in one that is back and may be cold.
#[test]
fn targets_that_take_no_new_work_get_none() {
    let forwarding = table(vec![route("one", one())]);
    let refused = |site: &mut Site| {
        site.responses();
        site.submit("one");
        let sent = site.sent().len();
        let none = site.responses().iter().any(|r| {
            matches!(r.1, Response::Reject { reason: Reason::NoTarget, .. })
        });
        assert_eq!(none, sent == 0);
        none
    };
    let mut site = Site::new(&forwarding, 1);
    assert!(!refused(&mut site));
    site.directory.targets[0].cold_ms = 2_000;
    site.pass(next_reading());
    assert!(refused(&mut site), "cold");
    site.directory.targets[0].cold_ms = 0;
    site.pass(ms(3_000));
    assert!(!refused(&mut site), "warm");
    let zones_out = vec![ZoneId::from_name("a")];
    let table = Arc::clone(&site.table);
    site.step(ForwardEvent::Configure { table, zones_out });
    assert!(refused(&mut site), "out");
    let table = Arc::clone(&site.table);
    site.step(ForwardEvent::Configure { table, zones_out: Vec::new() });
    assert!(refused(&mut site), "back, but the list is older");
    site.pass(ms(2_000));
    assert!(!refused(&mut site), "back and seen on the list since");
    site.directory.targets[0].leaving = true;
    site.pass(next_reading());
    assert!(refused(&mut site), "leaving");
}

// Guards against a target that is used again as soon as it accepts
// connections, although it may be cold.
#[test]
fn a_target_that_refused_a_connection_has_to_be_listed_again() {
    let forwarding = table(vec![route("one", one())]);
    let mut site = Site::new(&forwarding, 1);
    site.submit("one");
    let sent = site.sent();
    site.end(sent[0].attempt, Outcome::Unreachable);
    site.pass(ms(600));
    site.submit("one");
    assert_eq!(site.sent(), Vec::new());
    site.pass(ms(2_000));
    site.sent();
    site.submit("one");
    assert_eq!(site.sent().len(), 1);
}

// Many searchers lose a part of their answers (`answer_lost`, `srv_grey`).
// Guards against a shard that asks the one that fails most as often as the
// others.
#[test]
fn a_searcher_that_fails_often_is_asked_less() {
    let forwarding = table(vec![route("one", one())]);
    let mut site = Site::new(&forwarding, 3);
    let mut asked = [0; 3];
    for round in 0..60 {
        site.submit("one");
        let send = site.sent().remove(0);
        let target = usize::from(send.name.ends_with("/1"))
            + 2 * usize::from(send.name.ends_with("/2"));
        asked[target] += 1;
        // Target 0 fails every other time, so never twice in a row.
        let fails = target == 0 && asked[0] % 2 == 1;
        let outcome = if fails { Outcome::Failure } else { Outcome::Success };
        site.pass(ms(10));
        site.end(send.attempt, outcome);
        site.pass(ms(20 + round % 3));
        for send in site.sent() {
            site.end(send.attempt, Outcome::Success);
        }
    }
    // Target 1 is in another zone.
    assert!(asked[0] * 3 < asked[2], "{asked:?}");
}

// Every searcher of a shard fails a part of its requests. Guards against
// requests that are refused although each searcher would serve most of them.
#[test]
fn a_shard_whose_searchers_all_fail_sometimes_is_still_asked() {
    let forwarding = table(vec![route("one", one())]);
    let mut site = Site::new(&forwarding, 2);
    for _ in 0..2 {
        site.submit("one");
        for _ in 0..4 {
            for send in site.sent() {
                site.end(send.attempt, Outcome::Broken);
            }
            site.pass(ms(10));
        }
    }
    site.effects.clear();
    site.submit("one");
    assert_eq!(site.sent().len(), 1);
    assert_eq!(site.responses(), Vec::new());
}

// Guards against more connections to a target than its part for this
// instance, whatever the load.
#[test]
fn connections_of_a_target_are_shared_by_the_instances() {
    let forwarding = table(vec![route("one", one())]);
    let mut site = Site::new(&forwarding, 1);
    site.set_fellows(&[2, 3, 4, 5, 6, 7, 8]);
    for _ in 0..30 {
        site.submit("one");
    }
    // 85% of 20 connections for 8 instances.
    assert_eq!(site.sent().len(), 2);
}

// Guards against work that goes on for a caller that has left.
#[test]
fn a_caller_that_leaves_ends_its_attempts() {
    let forwarding = table(vec![route("q", shards(4, 0.5))]);
    let mut site = Site::new(&forwarding, 2);
    let token = site.submit("q");
    let sent = site.sent();
    site.step(ForwardEvent::CallerGone(token));
    let ids: Vec<_> = sent.iter().map(|s| s.attempt).collect();
    assert_eq!(site.cancelled(), ids);
    assert_eq!(site.forwarder.in_flight(), 0);
    assert_eq!(site.forwarder.open_attempts(), 0);
}

/// A site in zone `a` whose shards 1 and 3 have targets in zone `b` only.
fn site_with_far_shards() -> Site {
    let forwarding = table(vec![route("q", shards(6, 0.5))]);
    let mut site = Site::new(&forwarding, 2);
    let far = ["shard-1/0", "shard-3/0", "shard-5/0"];
    site.directory.targets.retain(|t| !far.contains(&t.name.as_str()));
    site.pass(next_reading());
    site.set_fellows(&[9]);
    site.effects.clear();
    site
}

fn asked(site: &mut Site) -> Vec<(InstanceId, Task)> {
    let mut asked = Vec::new();
    site.effects.retain(|e| match e {
        ForwardEffect::SendTask { to, task, .. } => {
            asked.push((*to, task.clone()));
            false
        }
        _ => true,
    });
    asked
}

fn part(number: u64, shards: &[u16], done: bool) -> IncomingMessage {
    IncomingMessage::Part(PartialResult {
        number,
        shards: shards.to_vec(),
        signatures: vec![Bytes::from_static(b"s"); shards.len()],
        records: Bytes::from_static(&[1; 16]),
        done,
    })
}

// Guards against answers that cross zones one by one.
#[test]
fn shards_of_another_zone_go_to_one_instance_there() {
    let mut site = site_with_far_shards();
    let token = site.submit("q");
    let sent = site.sent();
    assert_eq!(sent.len(), 3);
    let tasks = asked(&mut site);
    assert_eq!(tasks.len(), 1);
    assert_eq!(tasks[0].0, InstanceId(9));
    assert_eq!(tasks[0].1.shards, [1, 3, 5]);
    for send in &sent {
        site.end(send.attempt, Outcome::Success);
    }
    assert_eq!(site.responses(), Vec::new());
    site.shared(9, IncomingMessage::Accepted(token.0));
    site.shared(9, part(token.0, &[1, 3], true));
    let responses = site.responses();
    let Response::Merge { parts, missing, .. } = &responses[0].1 else {
        panic!("{responses:?}");
    };
    // Three answers of targets, and one of the delegate for two shards.
    assert_eq!((parts.len(), *missing), (4, 1));
}

// Guards against "not run" for a request whose shards another instance has
// sent to their targets. Found by the soak, seed 1.
#[test]
fn a_request_that_a_delegate_has_taken_over_may_have_run() {
    let mut site = site_with_far_shards();
    let token = site.submit_for("q", ms(300));
    site.shared(9, IncomingMessage::Accepted(token.0));
    let mut responses = Vec::new();
    while responses.is_empty() {
        for send in site.sent() {
            site.end(send.attempt, Outcome::Refused);
        }
        site.pass(ms(5));
        responses = site.responses();
    }
    assert_eq!(rejected(&responses[0].1).1, Verdict::MayHaveRun);
}

// Guards against a query that fails with the instance that it was shared
// with, and against shards that run on three targets.
#[test]
fn a_silent_delegate_loses_its_shards() {
    let mut site = site_with_far_shards();
    let token = site.submit("q");
    site.sent();
    asked(&mut site);
    site.pass(ms(50));
    let taken_back: Vec<String> = site
        .sent()
        .iter()
        .map(|s| s.name.to_string())
        .filter(|n| n.ends_with("/1"))
        .collect();
    for shard in ["shard-1/1", "shard-3/1", "shard-5/1"] {
        assert!(taken_back.contains(&shard.to_owned()), "{taken_back:?}");
    }
    let cancel = Message::Cancel { number: token.0, caller_gone: true };
    let told = ForwardEffect::SendShared(InstanceId(9), cancel);
    assert!(site.effects.contains(&told));
    // It is not asked again at once.
    site.submit("q");
    assert_eq!(asked(&mut site), Vec::new());
}

// Guards against records of shards that two instances have answered: they
// cannot be told apart once they are merged.
#[test]
fn a_late_part_of_shards_that_were_taken_back_is_not_used() {
    let mut site = site_with_far_shards();
    let token = site.submit("q");
    site.sent();
    asked(&mut site);
    site.pass(ms(50));
    site.effects.clear();
    site.shared(9, part(token.0, &[1, 3], true));
    let kept =
        |e: &ForwardEffect| matches!(e, ForwardEffect::StoreAnswer { .. });
    assert!(!site.effects.iter().any(kept));
}

// Guards against a delegate that holds answers back until all are there.
#[test]
fn a_delegate_sends_what_it_has_when_the_root_needs_it() {
    let forwarding = table(vec![route("q", shards(6, 0.5))]);
    let mut site = Site::new(&forwarding, 1);
    let task = Task {
        number: 77,
        request_id: "r".into(),
        revision: 1,
        route: RouteId::from_name("q"),
        shards: vec![2, 4, 5],
        remaining_us: 900_000,
        soft_us: 60_000,
    };
    let token = site.forwarder.next_task_token();
    site.shared(3, IncomingMessage::Task(token, task.clone()));
    let accepted =
        ForwardEffect::SendShared(InstanceId(3), Message::Accepted(77));
    assert!(site.effects.contains(&accepted));
    let sent = site.sent();
    assert_eq!(sent.len(), 3);
    site.pass(ms(20));
    site.end(sent[0].attempt, Outcome::Success);
    let parts = |site: &mut Site| {
        let mut parts = Vec::new();
        site.effects.retain(|e| match e {
            ForwardEffect::SendPart { shards, done, .. } => {
                parts.push((shards.clone(), *done));
                false
            }
            _ => true,
        });
        parts
    };
    assert_eq!(parts(&mut site), []);
    site.pass(ms(41));
    assert_eq!(parts(&mut site), [(vec![2], false)]);
    site.end(sent[1].attempt, Outcome::Success);
    assert_eq!(parts(&mut site), [(vec![4], false)]);
    site.end(sent[2].attempt, Outcome::Success);
    assert_eq!(parts(&mut site), [(vec![5], true)]);
    // A task of another table is declined before anything is sent.
    let other = Task { revision: 2, ..task };
    let token = site.forwarder.next_task_token();
    site.shared(3, IncomingMessage::Task(token, other));
    let declined =
        ForwardEffect::SendShared(InstanceId(3), Message::Declined(77));
    assert!(site.effects.contains(&declined));
    assert_eq!(site.sent(), Vec::new());
}

// Guards against requests that come through in another order than their
// tokens were taken.
#[test]
fn tokens_may_arrive_out_of_order() {
    let forwarding = table(vec![route("one", one())]);
    let mut site = Site::new(&forwarding, 2);
    let route = site.table.find("site.example", "/one/").cloned();
    let route = route.expect("a route");
    for token in [5, 3, 4] {
        let submission = primrosemast_core::forward::Submission {
            request_id: format!("r{token}").into(),
            route: Arc::clone(&route),
            remaining: ms(500),
        };
        site.step(ForwardEvent::Submit(Token(token), submission));
    }
    for send in site.sent() {
        site.end(send.attempt, Outcome::Success);
    }
    assert_eq!(site.responses().len(), 3);
}

// Guards against two tasks of one request for the same instance: the end of
// the first took the shards of the second for failed.
#[test]
fn an_instance_gets_one_task_of_a_request() {
    let forwarding = table(vec![route("q", shards(100, 0.5))]);
    let mut site = Site::new(&forwarding, 2);
    site.directory.targets.retain(|t| t.name.ends_with("/1"));
    site.pass(next_reading());
    site.set_fellows(&[9]);
    site.effects.clear();
    site.submit("q");
    let tasks = asked(&mut site);
    assert_eq!(tasks.len(), 1);
    assert_eq!(tasks[0].1.shards.len(), 100);
}

// Guards against requests that wait until their deadline for targets that
// are known to answer nobody.
#[test]
fn silent_targets_are_not_waited_for() {
    let forwarding = table(vec![route("one", one())]);
    let mut site = Site::new(&forwarding, 2);
    site.submit("one");
    assert_eq!(site.sent().len(), 1);
    site.pass(ms(40));
    assert_eq!(site.sent().len(), 1, "the hedge");
    site.pass(ms(500));
    site.submit("one");
    assert_eq!(site.sent(), Vec::new());
    let responses = site.responses();
    let expected = (Reason::NoTarget, Verdict::NotRun);
    assert_eq!(rejected(&responses[0].1), expected);
}

// Guards against a shard that runs on three targets: a delegate that the
// root may take its task back from makes one attempt for each shard.
#[test]
fn a_delegate_hedges_only_once_the_root_has_confirmed() {
    let forwarding = table(vec![route("q", shards(4, 0.5))]);
    let mut site = Site::new(&forwarding, 3);
    let task = Task {
        number: 5,
        request_id: "r".into(),
        revision: 1,
        route: RouteId::from_name("q"),
        shards: vec![0, 1],
        remaining_us: 900_000,
        soft_us: 90_000,
    };
    let token = site.forwarder.next_task_token();
    site.shared(3, IncomingMessage::Task(token, task));
    let first = site.sent();
    assert_eq!(first.len(), 2);
    site.pass(ms(50));
    assert_eq!(site.sent(), Vec::new());
    site.shared(3, IncomingMessage::Confirm(5));
    // Before the root needs the answers, 40 ms later.
    site.pass(ms(15));
    assert_eq!(site.sent().len(), 2);
}

// Guards against a root that asks again what a confirmed delegate may have
// asked two targets already.
#[test]
fn shards_of_a_confirmed_delegate_are_not_asked_again() {
    let mut site = site_with_far_shards();
    let token = site.submit("q");
    site.sent();
    asked(&mut site);
    site.shared(9, IncomingMessage::Accepted(token.0));
    let confirm = Message::Confirm(token.0);
    let told = ForwardEffect::SendShared(InstanceId(9), confirm);
    assert!(site.effects.contains(&told));
    site.step(ForwardEvent::Unreachable(InstanceId(9)));
    let again: Vec<_> =
        site.sent().into_iter().filter(|s| s.name.ends_with("/1")).collect();
    assert_eq!(again, Vec::new());
}
