//! Tests of the forwarding path: routes, targets, refusals, hedges and
//! delegates.

mod forward_support;

use std::sync::Arc;

use bytes::Bytes;
use forward_support::*;
use primrosemast_core::{
    forward::{
        ForwardEffect, ForwardEvent, ForwardOptions, Outcome, Reason,
        Response, directory,
        shared::{IncomingMessage, Message, PartialResult, Task},
        table::{
            CompiledTable, Destination, Forwarding, KeyDigest, RateLimit, Team,
        },
    },
    id::{ConfigVersion, InstanceId, RouteId, TeamId, Token, ZoneId},
    verdict::Verdict,
};

fn single_service() -> Destination {
    Destination::Service("one".into())
}

fn rejection(response: &Response) -> (Reason, Verdict) {
    match response {
        Response::Reject { reason, verdict, .. } => (*reason, *verdict),
        other => panic!("not a rejection: {other:?}"),
    }
}

// Guards against matching the route of a shorter prefix, of another host, or
// of a prefix that does not end at a path segment.
#[test]
fn the_longest_prefix_of_the_host_is_taken() {
    let mut routes =
        vec![route("a", single_service()), route("a/b", single_service())];
    routes.push(route("a/b/c", single_service()));
    routes[2].host = "other.example".into();
    let table = CompiledTable::new(&table(routes));
    let find =
        |host, path| table.find(host, path).map(|r| r.route.name.as_str());
    assert_eq!(find("site.example", "/a/x"), Some("a"));
    assert_eq!(find("SITE.example:80", "/a/b/c/x"), Some("a/b"));
    assert_eq!(find("other.example", "/a/b/c/"), Some("a/b/c"));
    assert_eq!(find("other.example", "/a/b/x"), None);
    assert_eq!(find("site.example", "/ab"), None);
    assert_eq!(find("site.example", ""), None);
}

// Guards against putting a table in force whose requests cannot be served.
#[test]
fn problems_of_a_table_are_found() {
    let cases: Vec<(&str, Destination, u32, &str)> = vec![
        ("unknown", Destination::Service("no".into()), 1, "unknown service"),
        ("weights", split(&[("one", 0.0)]), 1, "add up to 0"),
        ("timeout", single_service(), 0, "timeout of 0"),
        ("empty", shards(0, 0.5), 1, "at least one"),
    ];
    for (name, destination, timeout_ms, expected) in cases {
        let mut broken = table(vec![route("good", single_service())]);
        let mut bad = route(name, destination);
        bad.timeout_ms = timeout_ms;
        broken.routes.push(bad);
        let problems = broken.problems();
        assert_eq!(problems.len(), 1, "{name}: {problems:?}");
        assert!(problems[0].contains(expected), "{name}: {problems:?}");
    }
    let twice = table(vec![
        route("a", single_service()),
        route("a", single_service()),
    ]);
    assert!(twice.problems()[0].contains("share host"));
    for host in ["SITE.example", "site.example:80", "Site.Example:8104"] {
        let mut twice = twice.clone();
        twice.routes[1].host = host.into();
        let problems = twice.problems();
        assert_eq!(problems.len(), 1, "{host}: {problems:?}");
        assert!(problems[0].contains("share host"), "{host}: {problems:?}");
    }
}

// Guards against a route that is never found, because its host has a port.
#[test]
fn a_port_in_the_host_of_a_route_is_ignored() {
    let mut with_port = route("a", single_service());
    with_port.host = "Site.example:8104".into();
    let table = CompiledTable::new(&table(vec![with_port]));
    for host in ["site.example", "SITE.EXAMPLE:8104", "site.example:80"] {
        assert!(table.find(host, "/a/x").is_some(), "{host}");
    }
    assert!(table.find("site.example.net:80", "/a/x").is_none());
}

// Guards against handling a split route like a sharded one, which once
// crashed the process, and against traffic shares that drift from the weights.
#[test]
fn a_split_sends_each_part_its_share() {
    let parts = split(&[("one", 3.0), ("two", 1.0), ("none", 0.0)]);
    let mut harness = Harness::new(&table(vec![route("s", parts)]), 4);
    harness.set_peers(&[5, 6]);
    let mut counts = [0, 0, 0];
    for _ in 0..400 {
        harness.submit("s");
        let sent = harness.take_sent();
        assert_eq!(sent.len(), 1);
        let service = sent[0].name.split('/').next().expect("a name");
        let services = ["one", "two", "none"];
        let i = services.iter().position(|s| *s == service).expect(service);
        counts[i] += 1;
        harness.end_attempt(sent[0].attempt, Outcome::Success);
        harness.advance(ms(5));
    }
    assert_eq!(counts[2], 0);
    assert!((298..=302).contains(&counts[0]), "{counts:?}");
}

// Guards against running a non-repeatable request twice, and against the
// verdict "not run" for a request that may have run.
#[test]
fn a_request_that_must_not_repeat_is_sent_again_only_if_it_did_not_run() {
    let mut once = route("once", single_service());
    once.repeatable = false;
    let table = table(vec![once]);
    let cases = [
        (Outcome::Refused, true),
        (Outcome::Replaced, true),
        (Outcome::Unreachable, true),
        (Outcome::Broken, false),
        (Outcome::Failure, false),
    ];
    for (outcome, repeated) in cases {
        let mut harness = Harness::new(&table, 3);
        harness.submit("once");
        let first = harness.take_sent();
        harness.end_attempt(first[0].attempt, outcome);
        assert_eq!(
            harness.take_sent().len(),
            usize::from(repeated),
            "{outcome:?}"
        );
        if outcome == Outcome::Broken {
            let responses = harness.take_responses();
            let expected = (Reason::TargetFailed, Verdict::MayHaveRun);
            assert_eq!(rejection(&responses[0].1), expected);
        }
    }
}

// Guards against hedging non-repeatable requests.
#[test]
fn a_request_that_must_not_repeat_is_never_hedged() {
    let mut once = route("once", single_service());
    once.repeatable = false;
    let mut harness = Harness::new(&table(vec![once]), 3);
    harness.submit("once");
    assert_eq!(harness.take_sent().len(), 1);
    harness.advance(ms(970));
    assert_eq!(harness.take_sent(), Vec::new());
    harness.advance(ms(30));
    let responses = harness.take_responses();
    let expected = (Reason::Deadline, Verdict::MayHaveRun);
    assert_eq!(rejection(&responses[0].1), expected);
}

// Guards against requests that wait although too many shards are down for a
// response. They must be rejected at once, without any attempt.
#[test]
fn all_searchers_of_too_many_shards_down_is_refused_at_once() {
    let forwarding = table(vec![route("q", shards(10, 0.9))]);
    let mut harness = Harness::new(&forwarding, 2);
    let down = |harness: &mut Harness, shard: &str| {
        let prefix = format!("{shard}/");
        harness.directory.targets.retain(|t| !t.name.starts_with(&prefix));
        harness.advance(directory_refresh());
    };
    down(&mut harness, "shard-3");
    harness.submit("q");
    assert_eq!(harness.take_sent().len(), 9, "one shard may be missing");
    down(&mut harness, "shard-4");
    harness.take_sent();
    harness.take_responses();
    harness.submit("q");
    assert_eq!(harness.take_sent(), Vec::new());
    let responses = harness.take_responses();
    let expected = (Reason::NoTarget, Verdict::NotRun);
    assert_eq!(rejection(&responses[0].1), expected);
}

// Guards against a merge margin that does not grow with the number of shards.
// Under high load answers of many shards arrive until the objective ends, and
// the time to merge them makes every response a few milliseconds late.
#[test]
fn a_response_of_many_shards_leaves_more_time_for_its_merge() {
    let margin = |count: usize| {
        let forwarding = table(vec![route("q", shards(count, 0.5))]);
        let mut harness = Harness::new(&forwarding, 1);
        let started = harness.now;
        harness.submit("q");
        let sent = harness.take_sent();
        for send in &sent[1..] {
            harness.end_attempt(send.attempt, Outcome::Success);
        }
        while harness.take_responses().is_empty() {
            harness.advance(ms(1));
        }
        ms(100).saturating_sub(harness.now.since(started))
    };
    // With an eighth of a core, a root takes about 6 ms from the start of the
    // merge to the last byte of a response of 90 shards. The network takes
    // another 6 ms.
    assert!(margin(10) >= ms(14) && margin(10) <= ms(17));
    assert!(margin(90) >= margin(10) + ms(6));
}

// Guards against a response that misses its objective because of one paused
// shard, and against a response with too few shards.
#[test]
fn a_paused_shard_is_left_out_when_the_objective_ends() {
    let forwarding = table(vec![route("q", shards(10, 0.9))]);
    let mut harness = Harness::new(&forwarding, 1);
    harness.submit("q");
    let sent = harness.take_sent();
    harness.advance(ms(10));
    for send in &sent[..8] {
        harness.end_attempt(send.attempt, Outcome::Success);
    }
    harness.advance(ms(85));
    assert_eq!(harness.take_responses(), Vec::new(), "8 of 10 are too few");
    harness.end_attempt(sent[8].attempt, Outcome::Success);
    let responses = harness.take_responses();
    let parts = sent[..9].iter().map(|s| s.attempt).collect();
    let expected = Response::Merge { parts, missing: 1, top: 5 };
    assert_eq!(responses[0].1, expected);
}

// Guards against a request that waits until a paused searcher resumes, and
// against sending new requests to a searcher that does not answer.
#[test]
fn a_searcher_that_pauses_is_hedged_and_passed_over() {
    let forwarding = table(vec![route("one", single_service())]);
    let mut harness = Harness::new(&forwarding, 2);
    for _ in 0..40 {
        harness.submit("one");
        let sent = harness.take_sent();
        harness.advance(ms(10));
        harness.end_attempt(sent[0].attempt, Outcome::Success);
    }
    harness.take_responses();
    harness.submit("one");
    let paused = harness.take_sent().remove(0);
    harness.advance(ms(20));
    let hedge = harness.take_sent();
    assert_eq!(hedge.len(), 1, "a second searcher is asked within 20 ms");
    assert_ne!(hedge[0].target, paused.target);
    harness.end_attempt(hedge[0].attempt, Outcome::Success);
    assert_eq!(harness.take_responses().len(), 1);
    harness.advance(ms(20));
    for _ in 0..3 {
        harness.submit("one");
        let sent = harness.take_sent();
        assert_ne!(sent[0].target, paused.target);
        harness.end_attempt(sent[0].attempt, Outcome::Success);
    }
}

// Guards against one pause that marks a healthy searcher as slow for seconds.
// This once moved a quarter of all requests to other zones.
#[test]
fn one_pause_does_not_move_work_to_another_zone() {
    let forwarding = table(vec![route("one", single_service())]);
    let mut harness = Harness::new(&forwarding, 2);
    let own_zone = ZoneId::from_name("a");
    let zone_of = |harness: &Harness, id| {
        harness.forwarder.targets().get(id).expect("a target").zone
    };
    for _ in 0..40 {
        harness.submit("one");
        let sent = harness.take_sent();
        harness.advance(ms(10));
        harness.end_attempt(sent[0].attempt, Outcome::Success);
    }
    // Two requests wait while the near searcher is paused.
    let mut waiting = Vec::new();
    for _ in 0..2 {
        harness.submit("one");
        waiting.extend(harness.take_sent());
    }
    harness.advance(ms(150));
    harness.take_sent();
    for send in &waiting {
        harness.end_attempt(send.attempt, Outcome::Success);
    }
    harness.advance(ms(300));
    harness.submit("one");
    let sent = harness.take_sent();
    assert_eq!(zone_of(&harness, sent[0].target), own_zone);
}

// Guards against requests to targets that are cold, leaving, in a zone that is
// out, or in a zone that has just returned, where they may be cold.
#[test]
fn targets_that_take_no_new_work_get_none() {
    let forwarding = table(vec![route("one", single_service())]);
    let refused = |harness: &mut Harness| {
        harness.take_responses();
        harness.submit("one");
        let sent = harness.take_sent().len();
        let none = harness.take_responses().iter().any(|r| {
            matches!(r.1, Response::Reject { reason: Reason::NoTarget, .. })
        });
        assert_eq!(none, sent == 0);
        none
    };
    let mut harness = Harness::new(&forwarding, 1);
    assert!(!refused(&mut harness));
    harness.directory.targets[0].cold_ms = 2_000;
    harness.advance(directory_refresh());
    assert!(refused(&mut harness), "cold");
    harness.directory.targets[0].cold_ms = 0;
    harness.advance(ms(3_000));
    assert!(!refused(&mut harness), "warm");
    let zones_out = vec![ZoneId::from_name("a")];
    let table = Arc::clone(&harness.table);
    harness.step(ForwardEvent::Configure {
        version: ConfigVersion(1),
        table,
        zones_out,
    });
    assert!(refused(&mut harness), "out");
    let table = Arc::clone(&harness.table);
    harness.step(ForwardEvent::Configure {
        version: ConfigVersion(1),
        table,
        zones_out: Vec::new(),
    });
    assert!(refused(&mut harness), "returned, but the list is older");
    harness.advance(ms(2_000));
    assert!(!refused(&mut harness), "returned and confirmed by a newer list");
    harness.directory.targets[0].leaving = true;
    harness.advance(directory_refresh());
    assert!(refused(&mut harness), "leaving");
}

// Guards against using a target as soon as it accepts connections again,
// although it may be cold.
#[test]
fn a_target_that_refused_a_connection_has_to_be_listed_again() {
    let forwarding = table(vec![route("one", single_service())]);
    let mut harness = Harness::new(&forwarding, 1);
    harness.submit("one");
    let sent = harness.take_sent();
    harness.end_attempt(sent[0].attempt, Outcome::Unreachable);
    harness.advance(ms(600));
    harness.submit("one");
    assert_eq!(harness.take_sent(), Vec::new());
    harness.advance(ms(2_000));
    harness.take_sent();
    harness.submit("one");
    assert_eq!(harness.take_sent().len(), 1);
}

// Guards against sending as many requests to a searcher that loses many of its
// answers (`answer_lost`, `srv_grey`) as to the other searchers of its shard.
#[test]
fn a_searcher_that_fails_often_is_asked_less() {
    let forwarding = table(vec![route("one", single_service())]);
    let mut harness = Harness::new(&forwarding, 3);
    let mut asked = [0; 3];
    for round in 0..60 {
        harness.submit("one");
        let send = harness.take_sent().remove(0);
        let target = usize::from(send.name.ends_with("/1"))
            + 2 * usize::from(send.name.ends_with("/2"));
        asked[target] += 1;
        // Target 0 fails every other time, so never twice in a row.
        let fails = target == 0 && asked[0] % 2 == 1;
        let outcome = if fails { Outcome::Failure } else { Outcome::Success };
        harness.advance(ms(10));
        harness.end_attempt(send.attempt, outcome);
        harness.advance(ms(20 + round % 3));
        for send in harness.take_sent() {
            harness.end_attempt(send.attempt, Outcome::Success);
        }
    }
    // Target 1 is in another zone.
    assert!(asked[0] * 3 < asked[2], "{asked:?}");
}

// Guards against rejecting requests when every searcher of a shard fails some
// of its requests, although each would serve most of them.
#[test]
fn a_shard_whose_searchers_all_fail_sometimes_is_still_asked() {
    let forwarding = table(vec![route("one", single_service())]);
    let mut harness = Harness::new(&forwarding, 2);
    for _ in 0..2 {
        harness.submit("one");
        for _ in 0..4 {
            for send in harness.take_sent() {
                harness.end_attempt(send.attempt, Outcome::Broken);
            }
            harness.advance(ms(10));
        }
    }
    harness.effects.clear();
    harness.submit("one");
    assert_eq!(harness.take_sent().len(), 1);
    assert_eq!(harness.take_responses(), Vec::new());
}

// Guards against exceeding this instance's share of a target's connections
// under any load.
#[test]
fn connections_of_a_target_are_shared_by_the_instances() {
    let forwarding = table(vec![route("one", single_service())]);
    let mut harness = Harness::new(&forwarding, 1);
    harness.set_peers(&[2, 3, 4, 5, 6, 7, 8]);
    for _ in 0..30 {
        harness.submit("one");
    }
    // 85% of 20 connections for 8 instances.
    assert_eq!(harness.take_sent().len(), 2);
}

// Guards against attempts that continue after the caller has disconnected.
#[test]
fn a_caller_that_leaves_ends_its_attempts() {
    let forwarding = table(vec![route("q", shards(4, 0.5))]);
    let mut harness = Harness::new(&forwarding, 2);
    let token = harness.submit("q");
    let sent = harness.take_sent();
    harness.step(ForwardEvent::CallerGone(token));
    let ids: Vec<_> = sent.iter().map(|s| s.attempt).collect();
    assert_eq!(harness.take_cancelled(), ids);
    assert_eq!(harness.forwarder.in_flight(), 0);
    assert_eq!(harness.forwarder.open_attempts(), 0);
}

/// Returns a harness in zone `a` whose shards 1, 3 and 5 have targets in zone
/// `b` only.
fn harness_with_remote_shards() -> Harness {
    add_remote_shards(|forwarding| Harness::new(forwarding, 2))
}

/// Gives the harness that `build` returns the shards of
/// `harness_with_remote_shards`.
fn add_remote_shards(build: impl FnOnce(&Forwarding) -> Harness) -> Harness {
    let forwarding = table(vec![route("q", shards(6, 0.5))]);
    let mut harness = build(&forwarding);
    let remote = ["shard-1/0", "shard-3/0", "shard-5/0"];
    harness.directory.targets.retain(|t| !remote.contains(&t.name.as_str()));
    harness.advance(directory_refresh());
    harness.set_peers(&[9]);
    harness.effects.clear();
    harness
}

fn take_tasks(harness: &mut Harness) -> Vec<(InstanceId, Task)> {
    let mut tasks = Vec::new();
    harness.effects.retain(|e| match e {
        ForwardEffect::SendTask { to, task, .. } => {
            tasks.push((*to, task.clone()));
            false
        }
        _ => true,
    });
    tasks
}

fn partial_result(number: u64, shards: &[u16], done: bool) -> IncomingMessage {
    IncomingMessage::Part(PartialResult {
        number,
        shards: shards.to_vec(),
        signatures: vec![Bytes::from_static(b"s"); shards.len()],
        records: Bytes::from_static(&[1; 16]),
        done,
    })
}

/// Returns the indices of the shards of a request that were sent to targets or
/// delegated, without hedges.
fn assigned_shards(harness: &mut Harness, token: Token) -> Vec<u16> {
    let sent = harness.take_sent();
    let mut shards: Vec<u16> = sent
        .iter()
        .filter(|s| s.token == token && !s.extra)
        .map(|s| {
            let service = s.name.split('/').next().expect("a service");
            let index = service.strip_prefix("shard-").expect("a shard");
            index.parse().expect("an index")
        })
        .collect();
    let number = harness.forwarder.task_number(token);
    let tasks = take_tasks(harness).into_iter().map(|t| t.1);
    shards.extend(tasks.filter(|t| t.number == number).flat_map(|t| t.shards));
    shards.sort_unstable();
    shards
}

// Guards against the cached zones of a route's shards that outlive the table
// they were made from: with fewer shards in the new table the process ended by
// an index out of bounds, and with more the new ones were not sent at once.
#[test]
fn a_new_set_of_shards_is_assigned_anew() {
    for (before, after) in [(6, 4), (4, 6), (6, 1)] {
        let tables = [before, after].map(|count| {
            Arc::new(CompiledTable::new(&table(vec![route(
                "q",
                shards(count, 0.5),
            )])))
        });
        let mut harness = harness_with_remote_shards();
        // Two requests of each table in turn: a request that took its route
        // before a change may be submitted after it.
        for (i, table) in tables.iter().cycle().take(4).enumerate() {
            harness.table = Arc::clone(table);
            if i < 2 {
                let table = Arc::clone(table);
                let zones_out = Vec::new();
                harness.step(ForwardEvent::Configure {
                    version: ConfigVersion(1),
                    table,
                    zones_out,
                });
            }
            harness.advance(ms(10));
            let token = harness.submit("q");
            let count = [before, after][i % 2] as u16;
            let expected: Vec<u16> = (0..count).collect();
            let assigned = assigned_shards(&mut harness, token);
            assert_eq!(assigned, expected, "{before} to {after}, {i}");
        }
    }
}

// Guards against parts of a request from before a restart that pass as parts of
// one after it, because both processes number their tasks alike.
#[test]
fn a_part_from_before_a_restart_is_not_used() {
    let mut numbers: Vec<u64> = Vec::new();
    for seed in [7, 8] {
        let options = ForwardOptions::default();
        let mut harness = add_remote_shards(|forwarding| {
            Harness::with_seed(forwarding, 2, options, seed)
        });
        harness.submit("q");
        let tasks = take_tasks(&mut harness);
        let number = tasks[0].1.number;
        for &earlier in &numbers {
            harness.effects.clear();
            harness.receive_shared(9, partial_result(earlier, &[1, 3], true));
            harness.receive_shared(9, IncomingMessage::Accepted(earlier));
            assert_eq!(harness.effects, Vec::new());
        }
        numbers.push(number);
    }
    assert!(numbers[0].abs_diff(numbers[1]) > 1 << 20, "{numbers:?}");
}

// Guards against a reply with the target list to a request from before a
// restart that is matched to one after it and gives the list a wrong age.
#[test]
fn requests_for_the_list_are_numbered_from_a_random_start() {
    let forwarding = table(vec![route("q", shards(6, 0.5))]);
    let mut numbers = Vec::new();
    for seed in [7, 8] {
        let options = ForwardOptions::default();
        let mut harness = Harness::with_seed(&forwarding, 2, options, seed);
        // The instance with the smallest identifier fetches the list.
        harness.set_peers(&[0]);
        harness.advance(directory_refresh());
        let number = harness.effects.iter().find_map(|e| match e {
            ForwardEffect::SendDirectory(
                _,
                directory::Message::Wanted { number, .. },
            ) => Some(*number),
            _ => None,
        });
        numbers.push(number.expect("a request for the list"));
    }
    assert!(numbers[0].abs_diff(numbers[1]) > 1 << 10, "{numbers:?}");
}

// Guards against the indices of one set of shards that a delegate looks up in
// another: a request that took its route before a change and is submitted
// after it got parts of two versions.
#[test]
fn a_task_names_the_table_of_its_request() {
    let mut harness = harness_with_remote_shards();
    let mut newer = table(vec![route("q", shards(6, 0.6))]);
    newer.revision = 2;
    let newer = Arc::new(CompiledTable::new(&newer));
    let zones_out = Vec::new();
    let configure = ForwardEvent::Configure {
        version: ConfigVersion(2),
        table: Arc::clone(&newer),
        zones_out,
    };
    harness.step(configure);
    harness.submit("q");
    let tasks = take_tasks(&mut harness);
    assert_eq!(tasks[0].1.revision, 1, "{tasks:?}");
    // A delegate that has the newer table declines the task.
    let task = tasks[0].1.clone();
    let token = harness.forwarder.next_task_token();
    harness.receive_shared(9, IncomingMessage::Task(token, task));
    let declined = |e: &ForwardEffect| {
        matches!(e, ForwardEffect::SendShared(_, Message::Declined(_)))
    };
    assert!(harness.effects.iter().any(declined), "{:?}", harness.effects);
    harness.table = newer;
    harness.submit("q");
    let tasks = take_tasks(&mut harness);
    assert_eq!(tasks[0].1.revision, 2, "{tasks:?}");
}

// Guards against sending the answers of remote shards between zones one by
// one.
#[test]
fn shards_of_another_zone_go_to_one_instance_there() {
    let mut harness = harness_with_remote_shards();
    let token = harness.submit("q");
    let number = harness.forwarder.task_number(token);
    let sent = harness.take_sent();
    assert_eq!(sent.len(), 3);
    let tasks = take_tasks(&mut harness);
    assert_eq!(tasks.len(), 1);
    assert_eq!(tasks[0].0, InstanceId(9));
    assert_eq!(tasks[0].1.shards, [1, 3, 5]);
    for send in &sent {
        harness.end_attempt(send.attempt, Outcome::Success);
    }
    assert_eq!(harness.take_responses(), Vec::new());
    harness.receive_shared(9, IncomingMessage::Accepted(number));
    harness.receive_shared(9, partial_result(number, &[1, 3], true));
    let responses = harness.take_responses();
    let Response::Merge { parts, missing, .. } = &responses[0].1 else {
        panic!("{responses:?}");
    };
    // Three answers from targets, and one from the delegate for two shards.
    assert_eq!((parts.len(), *missing), (4, 1));
}

// Guards against the verdict "not run" for a request whose shards a delegate
// has sent to targets. The soak test with seed 1 showed this fault.
#[test]
fn a_request_that_a_delegate_has_taken_over_may_have_run() {
    let mut harness = harness_with_remote_shards();
    let token = harness.submit_with_timeout("q", ms(300));
    let number = harness.forwarder.task_number(token);
    harness.receive_shared(9, IncomingMessage::Accepted(number));
    let mut responses = Vec::new();
    while responses.is_empty() {
        for send in harness.take_sent() {
            harness.end_attempt(send.attempt, Outcome::Refused);
        }
        harness.advance(ms(5));
        responses = harness.take_responses();
    }
    assert_eq!(rejection(&responses[0].1).1, Verdict::MayHaveRun);
}

// Guards against a request that fails together with its delegate, and against
// shards that run on three targets.
#[test]
fn a_silent_delegate_loses_its_shards() {
    let mut harness = harness_with_remote_shards();
    let token = harness.submit("q");
    let number = harness.forwarder.task_number(token);
    harness.take_sent();
    take_tasks(&mut harness);
    harness.advance(ms(50));
    let reclaimed: Vec<String> = harness
        .take_sent()
        .iter()
        .map(|s| s.name.to_string())
        .filter(|n| n.ends_with("/1"))
        .collect();
    for shard in ["shard-1/1", "shard-3/1", "shard-5/1"] {
        assert!(reclaimed.contains(&shard.to_owned()), "{reclaimed:?}");
    }
    let cancel = Message::Cancel { number, caller_gone: true };
    let expected = ForwardEffect::SendShared(InstanceId(9), cancel);
    assert!(harness.effects.contains(&expected));
    // The delegate receives no further task for a while.
    harness.submit("q");
    assert_eq!(take_tasks(&mut harness), Vec::new());
}

// Guards against shards that run on more targets than the route allows: on one
// of a delegate whose acknowledgement is late, and on one of the root.
#[test]
fn shards_of_a_silent_delegate_are_not_sent_again_beyond_the_limit() {
    let harness = || {
        add_remote_shards(|forwarding| {
            let mut forwarding = forwarding.clone();
            forwarding.routes[0].max_attempts = 1;
            Harness::new(&forwarding, 2)
        })
    };
    let remote = |harness: &mut Harness| {
        let sent = harness.take_sent();
        sent.iter().filter(|s| s.name.ends_with("/1")).count()
    };
    // The acknowledgement is late, and the answer is used.
    let mut late = harness();
    let token = late.submit("q");
    let number = late.forwarder.task_number(token);
    late.take_sent();
    take_tasks(&mut late);
    late.advance(ms(60));
    assert_eq!(remote(&mut late), 0);
    late.effects.clear();
    late.receive_shared(9, IncomingMessage::Accepted(number));
    late.receive_shared(9, partial_result(number, &[1, 3, 5], true));
    let stored =
        |e: &ForwardEffect| matches!(e, ForwardEffect::StoreAnswer { .. });
    assert!(late.effects.iter().any(stored));
    // The connection breaks before or after the time for the acknowledgement.
    for wait in [10, 60] {
        let mut broken = harness();
        broken.submit("q");
        broken.take_sent();
        broken.advance(ms(wait));
        broken.step(ForwardEvent::Unreachable(InstanceId(9)));
        broken.advance(ms(60));
        assert_eq!(remote(&mut broken), 0, "after {wait} ms");
    }
}

// Guards against using the records of shards that two instances have answered.
// Merged records cannot be separated by shard.
#[test]
fn a_late_part_of_shards_that_were_taken_back_is_not_used() {
    let mut harness = harness_with_remote_shards();
    let token = harness.submit("q");
    let number = harness.forwarder.task_number(token);
    harness.take_sent();
    take_tasks(&mut harness);
    harness.advance(ms(50));
    harness.effects.clear();
    harness.receive_shared(9, partial_result(number, &[1, 3], true));
    let stored =
        |e: &ForwardEffect| matches!(e, ForwardEffect::StoreAnswer { .. });
    assert!(!harness.effects.iter().any(stored));
}

// Guards against a delegate that reports no answers before it has all of them.
#[test]
fn a_delegate_sends_what_it_has_when_the_root_needs_it() {
    let forwarding = table(vec![route("q", shards(6, 0.5))]);
    let mut harness = Harness::new(&forwarding, 1);
    let task = Task {
        number: 77,
        request_id: "r".into(),
        revision: 1,
        route: RouteId::from_host_and_prefix("site.example", "/q/"),
        shards: vec![2, 4, 5],
        remaining_us: 900_000,
        soft_us: 60_000,
        key: None,
    };
    let token = harness.forwarder.next_task_token();
    harness.receive_shared(3, IncomingMessage::Task(token, task.clone()));
    let accepted =
        ForwardEffect::SendShared(InstanceId(3), Message::Accepted(77));
    assert!(harness.effects.contains(&accepted));
    let sent = harness.take_sent();
    assert_eq!(sent.len(), 3);
    harness.advance(ms(20));
    harness.end_attempt(sent[0].attempt, Outcome::Success);
    let parts = |harness: &mut Harness| {
        let mut parts = Vec::new();
        harness.effects.retain(|e| match e {
            ForwardEffect::SendPart { shards, done, .. } => {
                parts.push((shards.clone(), *done));
                false
            }
            _ => true,
        });
        parts
    };
    assert_eq!(parts(&mut harness), []);
    harness.advance(ms(41));
    assert_eq!(parts(&mut harness), [(vec![2], false)]);
    harness.end_attempt(sent[1].attempt, Outcome::Success);
    assert_eq!(parts(&mut harness), [(vec![4], false)]);
    harness.end_attempt(sent[2].attempt, Outcome::Success);
    assert_eq!(parts(&mut harness), [(vec![5], true)]);
    // A task for another table revision is declined before any request is
    // sent.
    let other = Task { revision: 2, ..task };
    let token = harness.forwarder.next_task_token();
    harness.receive_shared(3, IncomingMessage::Task(token, other));
    let declined =
        ForwardEffect::SendShared(InstanceId(3), Message::Declined(77));
    assert!(harness.effects.contains(&declined));
    assert_eq!(harness.take_sent(), Vec::new());
}

// Guards against mishandling requests that arrive in another order than their
// tokens were allocated.
#[test]
fn tokens_may_arrive_out_of_order() {
    let forwarding = table(vec![route("one", single_service())]);
    let mut harness = Harness::new(&forwarding, 2);
    let route = harness.table.find("site.example", "/one/").cloned();
    let route = route.expect("a route");
    for token in [5, 3, 4] {
        let submission = primrosemast_core::forward::Submission {
            request_id: format!("r{token}").into(),
            route: Arc::clone(&route),
            remaining: ms(500),
            team: None,
            key: None,
        };
        harness.step(ForwardEvent::Submit(Token(token), submission));
    }
    for send in harness.take_sent() {
        harness.end_attempt(send.attempt, Outcome::Success);
    }
    assert_eq!(harness.take_responses().len(), 3);
}

// Guards against two tasks of one request for the same instance. The end of
// the first task marked the shards of the second as failed.
#[test]
fn an_instance_gets_one_task_of_a_request() {
    let forwarding = table(vec![route("q", shards(100, 0.5))]);
    let mut harness = Harness::new(&forwarding, 2);
    harness.directory.targets.retain(|t| t.name.ends_with("/1"));
    harness.advance(directory_refresh());
    harness.set_peers(&[9]);
    harness.effects.clear();
    harness.submit("q");
    let tasks = take_tasks(&mut harness);
    assert_eq!(tasks.len(), 1);
    assert_eq!(tasks[0].1.shards.len(), 100);
}

// Guards against requests that wait until their deadline for targets that are
// known not to answer.
#[test]
fn silent_targets_are_not_waited_for() {
    let forwarding = table(vec![route("one", single_service())]);
    let mut harness = Harness::new(&forwarding, 2);
    harness.submit("one");
    assert_eq!(harness.take_sent().len(), 1);
    harness.advance(ms(40));
    assert_eq!(harness.take_sent().len(), 1, "the hedge");
    harness.advance(ms(500));
    harness.submit("one");
    assert_eq!(harness.take_sent(), Vec::new());
    let responses = harness.take_responses();
    let expected = (Reason::NoTarget, Verdict::NotRun);
    assert_eq!(rejection(&responses[0].1), expected);
}

// Guards against a shard that runs on three targets. A delegate sends one
// attempt for each shard while the root may still reclaim them.
#[test]
fn a_delegate_hedges_only_once_the_root_has_confirmed() {
    let forwarding = table(vec![route("q", shards(4, 0.5))]);
    let mut harness = Harness::new(&forwarding, 3);
    let task = Task {
        number: 5,
        request_id: "r".into(),
        revision: 1,
        route: RouteId::from_host_and_prefix("site.example", "/q/"),
        shards: vec![0, 1],
        remaining_us: 900_000,
        soft_us: 90_000,
        key: None,
    };
    let token = harness.forwarder.next_task_token();
    harness.receive_shared(3, IncomingMessage::Task(token, task));
    let first = harness.take_sent();
    assert_eq!(first.len(), 2);
    harness.advance(ms(50));
    assert_eq!(harness.take_sent(), Vec::new());
    harness.receive_shared(3, IncomingMessage::Confirm(5));
    // The root needs the answers 40 ms after the confirmation.
    harness.advance(ms(15));
    assert_eq!(harness.take_sent().len(), 2);
}

// Guards against a root that sends shards again although a confirmed delegate
// may already have sent them to two targets.
#[test]
fn shards_of_a_confirmed_delegate_are_not_asked_again() {
    let mut harness = harness_with_remote_shards();
    let token = harness.submit("q");
    let number = harness.forwarder.task_number(token);
    harness.take_sent();
    take_tasks(&mut harness);
    harness.receive_shared(9, IncomingMessage::Accepted(number));
    let confirm = Message::Confirm(number);
    let expected = ForwardEffect::SendShared(InstanceId(9), confirm);
    assert!(harness.effects.contains(&expected));
    harness.step(ForwardEvent::Unreachable(InstanceId(9)));
    let repeated: Vec<_> = harness
        .take_sent()
        .into_iter()
        .filter(|s| s.name.ends_with("/1"))
        .collect();
    assert_eq!(repeated, Vec::new());
}

// Guards against requests that are sent to a target again after the lease of
// their instance has ended. The zone of that target may be out by then.
#[test]
fn nothing_is_sent_again_without_a_lease() {
    let mut harness =
        Harness::new(&table(vec![route("a", single_service())]), 4);
    harness.submit_with_timeout("a", ms(8_000));
    let first = harness.take_sent();
    assert_eq!(first.len(), 1);
    harness.step(ForwardEvent::Lease(false));
    harness.end_attempt(first[0].attempt, Outcome::Unreachable);
    harness.advance(ms(500));
    assert_eq!(harness.take_sent(), []);
    harness.step(ForwardEvent::Lease(true));
    harness.advance(ms(20));
    assert_eq!(harness.take_sent().len(), 1);
}

// Guards against hedges by an instance whose lease has ended.
#[test]
fn nothing_is_hedged_without_a_lease() {
    let mut harness =
        Harness::new(&table(vec![route("q", shards(4, 0.5))]), 2);
    harness.submit("q");
    assert_eq!(harness.take_sent().len(), 4);
    harness.step(ForwardEvent::Lease(false));
    harness.advance(ms(400));
    assert_eq!(harness.take_sent(), []);
}

// Guards against requests that an instance has accepted and cannot complete,
// because it accepts no new ones while it shuts down.
#[test]
fn a_request_is_sent_again_while_new_ones_are_refused() {
    let forwarding = table(vec![route("a", single_service())]);
    let mut harness = Harness::new(&forwarding, 4);
    harness.submit("a");
    let first = harness.take_sent();
    harness.step(ForwardEvent::Serving(false));
    harness.end_attempt(first[0].attempt, Outcome::Unreachable);
    assert_eq!(harness.take_sent().len(), 1);
}

/// A harness whose callers belong to a team, with a limit or without.
fn team_harness(limit: Option<RateLimit>) -> Harness {
    let mut forwarding = table(vec![route("a", single_service())]);
    forwarding.teams.push(Team {
        name: "team".into(),
        keys: vec![KeyDigest([1; 32])],
        priority: None,
        limit,
    });
    let mut harness = Harness::new(&forwarding, 2);
    harness.team = Some(TeamId::from_name("team"));
    harness
}

const LIMIT: RateLimit = RateLimit { per_second: 1.0, burst: 1.0 };

// Guards against a request of a limited team that is sent before it has a
// token, and against one of another team that waits for one.
#[test]
fn a_request_of_a_limited_team_is_sent_once_it_has_a_token() {
    let mut harness = team_harness(Some(LIMIT));
    let token = harness.submit("a");
    assert!(harness.take_sent().is_empty());
    assert_eq!(harness.forwarder.in_flight(), 1);
    let taken = harness.effects.iter().any(|e| {
        matches!(e, ForwardEffect::TakeShare { token: t, .. } if *t == token)
    });
    assert!(taken, "{:?}", harness.effects);
    harness.advance(ms(50));
    harness.step(ForwardEvent::ShareTaken(token));
    let sent = harness.take_sent();
    assert_eq!(sent.len(), 1);
    // The wait counts against the deadline.
    assert!(sent[0].budget <= ms(950), "{:?}", sent[0].budget);
    harness.step(ForwardEvent::ShareTaken(token));
    assert!(harness.take_sent().is_empty(), "sent twice");

    let mut harness = team_harness(None);
    harness.submit("a");
    assert_eq!(harness.take_sent().len(), 1);
}

// Guards against a refusal for the limit that does not say that the request
// was not run, or when a repeat may succeed.
#[test]
fn a_request_without_a_token_is_refused_as_not_run() {
    let mut harness = team_harness(Some(LIMIT));
    let token = harness.submit("a");
    harness.effects.clear();
    harness.step(ForwardEvent::ShareRefused(token, ms(300)));
    let rejected = ForwardEffect::Respond(
        token,
        Response::Reject {
            reason: Reason::OverLimit,
            verdict: Verdict::NotRun,
            retry_after: Some(ms(300)),
        },
    );
    assert!(harness.effects.contains(&rejected), "{:?}", harness.effects);
    assert_eq!(harness.forwarder.in_flight(), 0);
}

// Guards against requests that are sent, or never answered, because their
// caller left, the lease ended or the process stopped while they waited.
#[test]
fn waiting_for_a_token_ends_with_the_caller_the_lease_and_the_process() {
    let mut harness = team_harness(Some(LIMIT));
    let token = harness.submit("a");
    harness.step(ForwardEvent::CallerGone(token));
    assert!(harness.effects.contains(&ForwardEffect::DropShare(token)));
    harness.step(ForwardEvent::ShareTaken(token));
    assert!(harness.take_sent().is_empty());
    assert_eq!(harness.forwarder.in_flight(), 0);

    let mut reason = |event: ForwardEvent, then: Option<ForwardEvent>| {
        let token = harness.submit("a");
        harness.effects.clear();
        harness.step(event);
        if let Some(ForwardEvent::ShareTaken(_)) = then {
            harness.step(ForwardEvent::ShareTaken(token));
        }
        assert!(harness.take_sent().is_empty());
        let response = harness.effects.iter().find_map(|e| match e {
            ForwardEffect::Respond(t, response) if *t == token => {
                Some(response.clone())
            }
            _ => None,
        });
        rejection(&response.expect("answered"))
    };
    let taken = Some(ForwardEvent::ShareTaken(Token(0)));
    let lease_lost = reason(ForwardEvent::Lease(false), taken);
    assert_eq!(lease_lost, (Reason::NotServing, Verdict::NotRun));
    let ended = reason(ForwardEvent::EndRequests, None);
    assert_eq!(ended, (Reason::ShuttingDown, Verdict::NotRun));
}

// Guards against a token that is lost with a request that no target has run,
// and against one that is used again although a target may have run it.
#[test]
fn the_token_of_a_request_is_given_up_only_if_it_was_not_run() {
    for (outcome, given_up) in
        [(Outcome::Refused, true), (Outcome::Broken, false)]
    {
        let mut harness = team_harness(Some(LIMIT));
        let token = harness.submit("a");
        harness.step(ForwardEvent::ShareTaken(token));
        harness.effects.retain(|e| matches!(e, ForwardEffect::Send(_)));
        for _ in 0..200 {
            for sent in harness.take_sent() {
                harness.end_attempt(sent.attempt, outcome);
            }
            harness.advance(ms(10));
        }
        let drop = ForwardEffect::DropShare(token);
        assert_eq!(harness.effects.contains(&drop), given_up, "{outcome:?}");
        assert_eq!(harness.forwarder.in_flight(), 0);
    }
}
