//! Tests of requests with a key: teams, withdrawn keys and confirmations.

mod forward_support;

use std::{sync::Arc, time::Duration};

use forward_support::*;
use primrosemast_core::{
    event::forward::KEYS_CONFIRMED,
    forward::{
        ForwardEffect, ForwardEvent, ForwardOptions, Outcome, Reason,
        Response,
        keys::KeyOptions,
        shared::{IncomingMessage, Message, Task},
        table::{
            CompiledTable, Destination, Forwarding, KeyDigest, RateLimit, Team,
        },
    },
    id::{ConfigVersion, InstanceId, RouteId, TeamId},
    time::Time,
    verdict::Verdict,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

/// Time after which a withdrawn key may no longer be used.
const BOUND: Duration = Duration::from_secs(5);

/// Time without a way to the control group for which requests with a key are
/// still served.
const SERVED_WITHOUT_CONTACT: Duration = Duration::from_secs(3);

fn team(name: &str, keys: &[&str]) -> Team {
    Team {
        name: name.into(),
        keys: keys.iter().map(KeyDigest::of).collect(),
        priority: None,
        limit: None,
    }
}

/// Returns a table with teams red (keys `r1`, `r2`) and blue (key `b1`), a
/// route `one` to a single service, a route `open` that is public, and a route
/// `q` to shards.
fn team_table() -> Forwarding {
    let single = || Destination::Service("one".into());
    let mut routes = vec![route("one", single()), route("open", single())];
    routes.push(route("q", shards(6, 0.5)));
    routes[1].public = true;
    for route in &mut routes {
        route.timeout_ms = 30_000;
    }
    let mut table = table(routes);
    table.teams = vec![team("red", &["r1", "r2"]), team("blue", &["b1"])];
    table
}

fn options(withdrawal_bound: Option<Duration>) -> ForwardOptions {
    let keys = KeyOptions { withdrawal_bound };
    ForwardOptions { keys, ..ForwardOptions::default() }
}

fn harness(bound: Option<Duration>) -> Harness {
    Harness::with_options(&team_table(), 2, options(bound))
}

fn confirm(harness: &mut Harness) {
    let now = harness.now;
    harness.step(ForwardEvent::Confirmed(now));
}

/// Installs a table with these teams.
fn install(harness: &mut Harness, revision: u64, teams: Vec<Team>) {
    let table = Forwarding { revision, teams, ..team_table() };
    let table = Arc::new(CompiledTable::new(&table));
    harness.table = Arc::clone(&table);
    let version = ConfigVersion(revision);
    let zones_out = Vec::new();
    harness.step(ForwardEvent::Configure { version, table, zones_out });
}

/// Returns the only response, which has to be a rejection.
fn take_rejection(harness: &mut Harness) -> (Reason, Verdict, bool) {
    let responses = harness.take_responses();
    assert_eq!(responses.len(), 1, "{responses:?}");
    match &responses[0].1 {
        Response::Reject { reason, verdict, retry_after } => {
            (*reason, *verdict, retry_after.is_some())
        }
        other => panic!("not a rejection: {other:?}"),
    }
}

fn confirmation_events(harness: &mut Harness) -> Vec<String> {
    let mut events = Vec::new();
    harness.effects.retain(|e| match e {
        ForwardEffect::Log(event) if event.kind == &KEYS_CONFIRMED => {
            events.push(event.detail.clone());
            false
        }
        _ => true,
    });
    events
}

// Guards against two teams with one key, names that cannot be sent, and limits
// without a meaning, and against a problem that shows a key.
#[test]
fn problems_of_teams_are_found() {
    let limit = |per_second, burst| Some(RateLimit { per_second, burst });
    let limited = |limit| Team { limit, ..team("red", &["r1"]) };
    let cases = [
        (vec![team("red", &["k"]), team("blue", &["k"])], "share a key"),
        (vec![team("red", &["k"]), team("red", &["k"])], "share a key"),
        (vec![team("", &[])], "cannot be sent in a header"),
        (vec![team("r\nd", &[])], "cannot be sent in a header"),
        (vec![limited(limit(0.0, 1.0))], "a rate of 0"),
        (vec![limited(limit(f64::NAN, 1.0))], "a rate of NaN"),
        (vec![limited(limit(1.0, -1.0))], "a burst of -1"),
    ];
    for (teams, expected) in cases {
        let table = Forwarding { teams, ..team_table() };
        let problems = table.problems();
        assert_eq!(problems.len(), 1, "{problems:?}");
        assert!(problems[0].contains(expected), "{problems:?}");
    }
    // A team may list a key twice, also beside another one of its name.
    let twice = |key| Forwarding {
        teams: vec![team("red", &["k", "k"]), team("red", &[key])],
        ..team_table()
    };
    assert_eq!(twice("l").problems(), Vec::<String>::new());
    assert_eq!(twice("k").problems().len(), 1);
    assert_eq!(team_table().problems(), Vec::<String>::new());
}

// Guards against a valid table with two teams of one name that is refused, and
// against one of them that gets the priority or the limit of the other.
#[test]
fn teams_of_one_name_are_told_apart() {
    let limit = |per_second| Some(RateLimit { per_second, burst: 1.0 });
    let named = |key, rate, priority| Team {
        limit: limit(rate),
        priority: Some(priority),
        ..team("red", &[key])
    };
    let teams = vec![named("k", 1.0, 3), named("l", 2.0, 4)];
    let forwarding = Forwarding { teams, ..team_table() };
    assert_eq!(forwarding.problems(), Vec::<String>::new());
    let table = CompiledTable::new(&forwarding);
    let route = table.find("site.example", "/one/x").expect("a route");
    let ids = ["k", "l"]
        .map(|key| table.team_of_key(&KeyDigest::of(key)).expect("a team"));
    assert_ne!(ids[0], ids[1]);
    assert_eq!(ids[0], TeamId::from_name("red"), "as in older releases");
    for (id, rate, priority) in [(ids[0], 1.0, 3), (ids[1], 2.0, 4)] {
        let team = &table.team(id).expect("a team").team;
        assert_eq!((team.name.as_str(), team.limit), ("red", limit(rate)));
        assert_eq!(table.priority(route, Some(id)), priority);
    }
}

// Guards against a priority of the route that hides that of the team.
#[test]
fn the_priority_of_a_team_takes_precedence() {
    let mut forwarding = team_table();
    forwarding.teams[0].priority = Some(0);
    let table = CompiledTable::new(&forwarding);
    let route = table.find("site.example", "/one/x").expect("a route");
    let priority = |name: Option<&str>| {
        table.priority(route, name.map(TeamId::from_name))
    };
    assert_eq!(priority(Some("red")), 0);
    assert_eq!(priority(Some("blue")), 1);
    assert_eq!(priority(None), 1);
}

// Guards against requests with a key that run without a recent confirmation,
// and against refusing them while the platform still counts on them, or
// refusing those that need no key.
#[test]
fn requests_with_a_key_need_a_recent_confirmation() {
    let mut harness = harness(Some(BOUND));
    harness.submit_with_key("one", "red", "r1");
    let refusal = (Reason::KeyNotConfirmed, Verdict::NotRun, true);
    assert_eq!(take_rejection(&mut harness), refusal);
    assert_eq!(harness.take_sent().len(), 0);
    confirm(&mut harness);
    let confirmed_at = harness.now;
    let events = confirmation_events(&mut harness);
    assert_eq!(events.len(), 2, "{events:?}");
    harness.advance(SERVED_WITHOUT_CONTACT);
    harness.submit_with_key("one", "red", "r1");
    let sent = harness.take_sent();
    assert_eq!(sent.len(), 1);
    let write_by = sent[0].write_by.expect("a limit");
    assert!(harness.now < write_by && write_by < confirmed_at + BOUND);
    harness.end_attempt(sent[0].attempt, Outcome::Success);
    harness.take_responses();
    harness.advance(BOUND - SERVED_WITHOUT_CONTACT);
    for _ in 0..3 {
        harness.submit_with_key("one", "red", "r1");
        assert_eq!(take_rejection(&mut harness), refusal);
    }
    assert_eq!(confirmation_events(&mut harness).len(), 1);
    harness.submit("open");
    let sent = harness.take_sent();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].write_by, None);
}

// Guards against an older confirmation that arrives late and permits requests
// for too long.
#[test]
fn a_confirmation_counts_from_its_request() {
    let mut harness = harness(Some(BOUND));
    let early = harness.now;
    harness.advance(BOUND);
    harness.step(ForwardEvent::Confirmed(early));
    harness.submit_with_key("one", "red", "r1");
    let (reason, ..) = take_rejection(&mut harness);
    assert_eq!(reason, Reason::KeyNotConfirmed);
}

// Guards against a request that waited, or is sent again or to a second
// target, after its confirmation has become too old.
#[test]
fn nothing_is_sent_again_without_a_recent_confirmation() {
    let mut harness = harness(Some(BOUND));
    confirm(&mut harness);
    harness.submit_with_key_for("one", "red", "r1", 2 * BOUND);
    let first = harness.take_sent();
    assert_eq!(first.len(), 1);
    // A process that was frozen finds many deadlines at once.
    harness.now += BOUND;
    harness.step(ForwardEvent::Tick);
    harness.end_attempt(first[0].attempt, Outcome::Refused);
    harness.advance(ms(500));
    assert_eq!(harness.take_sent().len(), 0);
    confirm(&mut harness);
    harness.advance(ms(20));
    assert_eq!(harness.take_sent().len(), 1);
}

// Guards against an attempt that was not written in time and counts as a
// failure of its target, or is not sent again.
#[test]
fn a_withheld_attempt_is_sent_again() {
    let mut harness = harness(Some(BOUND));
    confirm(&mut harness);
    harness.submit_with_key("one", "red", "r1");
    let first = harness.take_sent();
    harness.end_attempt(first[0].attempt, Outcome::Withheld);
    assert_eq!(harness.take_sent().len(), 1);
    harness.submit("open");
    harness.submit("open");
    let targets: Vec<_> =
        harness.take_sent().iter().map(|s| s.target).collect();
    assert!(targets.contains(&first[0].target), "{targets:?}");
}

// Guards against a key that is still accepted although the table in force
// withdraws it or gives it to another team.
#[test]
fn a_withdrawn_key_is_refused_at_once() {
    let withdrawn = vec![team("red", &["r2"]), team("blue", &["b1"])];
    let moved = vec![team("red", &["r2"]), team("blue", &["b1", "r1"])];
    for teams in [withdrawn, moved] {
        for bound in [None, Some(BOUND)] {
            let mut harness = harness(bound);
            confirm(&mut harness);
            install(&mut harness, 2, teams.clone());
            harness.submit_with_key("one", "red", "r1");
            assert_eq!(
                take_rejection(&mut harness),
                (Reason::UnknownKey, Verdict::NotRun, false)
            );
            assert_eq!(harness.take_sent().len(), 0);
            harness.submit_with_key("one", "red", "r2");
            assert_eq!(harness.take_sent().len(), 1);
        }
    }
}

// Guards against requests that wait or are repeated with a key that has been
// withdrawn meanwhile, and against cutting off those that run.
#[test]
fn requests_in_flight_are_not_sent_with_a_withdrawn_key() {
    let teams = || vec![team("red", &["r2"]), team("blue", &["b1"])];
    let mut harness = harness(Some(BOUND));
    confirm(&mut harness);
    harness.submit_with_key("one", "red", "r1");
    let running = harness.take_sent();
    harness.submit_with_key("one", "red", "r1");
    let refused = harness.take_sent();
    // Without the lease nothing is sent, so the refused request waits.
    harness.step(ForwardEvent::Lease(false));
    harness.end_attempt(refused[0].attempt, Outcome::Refused);
    assert_eq!(harness.take_responses().len(), 0);
    install(&mut harness, 2, teams());
    assert_eq!(
        take_rejection(&mut harness),
        (Reason::UnknownKey, Verdict::NotRun, false)
    );
    harness.step(ForwardEvent::Lease(true));
    harness.advance(ms(200));
    assert_eq!(harness.take_sent().len(), 0);
    harness.end_attempt(running[0].attempt, Outcome::Success);
    let responses = harness.take_responses();
    assert!(
        matches!(&responses[..], [(_, Response::Relay(_))]),
        "{responses:?}"
    );
}

fn task(key: Option<u32>) -> Task {
    Task {
        number: 77,
        request_id: "r".into(),
        revision: 1,
        route: RouteId::from_host_and_prefix("site.example", "/q/"),
        shards: vec![2, 4],
        remaining_us: 900_000,
        soft_us: 60_000,
        key,
    }
}

/// Returns the number of shards that a delegate sends for a task.
fn sent_for_task(harness: &mut Harness, task: Task) -> usize {
    let token = harness.forwarder.next_task_token();
    harness.effects.clear();
    harness.receive_shared(3, IncomingMessage::Task(token, task));
    let declined =
        ForwardEffect::SendShared(InstanceId(3), Message::Declined(77));
    let sent = harness.take_sent();
    assert_eq!(harness.effects.contains(&declined), sent.is_empty());
    for request in &sent {
        harness.end_attempt(request.attempt, Outcome::Success);
    }
    sent.len()
}

// Guards against a delegate that trusts its root: it needs a confirmation of
// its own, and a key that its table has.
#[test]
fn a_delegate_checks_the_key_itself() {
    let mut harness = harness(Some(BOUND));
    let key = KeyDigest::of("r1");
    let position = harness.table.position_of_key(&key);
    assert!(position.is_some());
    assert_eq!(sent_for_task(&mut harness, task(position)), 0);
    confirm(&mut harness);
    assert_eq!(sent_for_task(&mut harness, task(position)), 2);
    assert_eq!(sent_for_task(&mut harness, task(None)), 0);
    assert_eq!(sent_for_task(&mut harness, task(Some(99))), 0);
    harness.advance(BOUND);
    assert_eq!(sent_for_task(&mut harness, task(position)), 0);
}

// Guards against a key or its digest in a message to another instance, and
// against a position that refers to another table.
#[test]
fn a_task_names_the_key_by_its_position() {
    let mut harness = harness(Some(BOUND));
    let remote = ["shard-1/0", "shard-3/0", "shard-5/0"];
    harness.directory.targets.retain(|t| !remote.contains(&t.name.as_str()));
    harness.advance(directory_refresh());
    harness.set_peers(&[9]);
    confirm(&mut harness);
    let tasks = |harness: &mut Harness| {
        let mut tasks = Vec::new();
        harness.effects.retain(|e| match e {
            ForwardEffect::SendTask { task, .. } => {
                tasks.push(task.clone());
                false
            }
            _ => true,
        });
        tasks
    };
    harness.effects.clear();
    harness.submit_with_key("q", "red", "r1");
    let sent = tasks(&mut harness);
    assert_eq!(sent.len(), 1);
    let key = sent[0].key.and_then(|at| harness.table.key_at(at));
    assert_eq!(key, Some(KeyDigest::of("r1")));
    // The route comes from the table before this one.
    let old = Arc::clone(&harness.table);
    let teams = vec![team("red", &["a", "r1", "z"])];
    install(&mut harness, 2, teams);
    harness.table = old;
    harness.effects.clear();
    harness.submit_with_key("q", "red", "r1");
    let sent = tasks(&mut harness);
    assert_eq!(sent.len(), 1);
    assert_eq!((sent[0].revision, sent[0].key), (1, None));
}

/// What happens to an instance next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes, with ticks.
    Run(u64),
    /// Time passes while the process is frozen.
    Freeze(u64),
    /// A confirmation arrives that was requested this long ago, unless the
    /// key was withdrawn before that.
    Confirm(u64),
    Submit,
    End(bool),
    /// The key is withdrawn by a table that does not reach the instance.
    Withdraw,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1_u64..2_000).prop_map(Step::Run),
        (1_u64..9_000).prop_map(Step::Freeze),
        (0_u64..3_000).prop_map(Step::Confirm),
        Just(Step::Submit),
        any::<bool>().prop_map(Step::End),
        Just(Step::Withdraw),
    ];
    proptest::collection::vec(step, 1..60)
}

/// Plays steps and returns whether a request with a withdrawn key could still
/// be written to a target after the bound.
fn exceeds_bound(steps: &[Step], bound: Option<Duration>) -> bool {
    let mut harness = harness(bound);
    let mut withdrawn: Option<Time> = None;
    let mut open = Vec::new();
    for step in steps {
        match *step {
            Step::Run(millis) => harness.advance(ms(millis)),
            Step::Freeze(millis) => {
                harness.now += ms(millis);
                harness.step(ForwardEvent::Tick);
            }
            Step::Confirm(age) => {
                let at = harness.now - ms(age);
                if withdrawn.is_none_or(|w| at <= w) {
                    harness.step(ForwardEvent::Confirmed(at));
                }
            }
            Step::Submit => {
                let limit = Duration::from_secs(25);
                harness.submit_with_key_for("one", "red", "r1", limit);
            }
            Step::End(success) => {
                if let Some(attempt) = open.pop() {
                    let outcome = match success {
                        true => Outcome::Success,
                        false => Outcome::Refused,
                    };
                    harness.end_attempt(attempt, outcome);
                }
            }
            Step::Withdraw => {
                withdrawn.get_or_insert(harness.now);
            }
        }
        for sent in harness.take_sent() {
            let last = sent.write_by.unwrap_or(harness.now);
            let late = |w: Time| harness.now.max(last) > w + BOUND;
            if withdrawn.is_some_and(late) {
                return true;
            }
            open.push(sent.attempt);
        }
    }
    false
}

// Guards against any order of waiting, freezing, late confirmations, retries
// and hedges in which a withdrawn key is used after the bound. Without the
// bound some order does, so the steps are able to show it.
#[test]
fn no_schedule_uses_a_withdrawn_key_after_the_bound() {
    let config = Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(5),
        ..Config::default()
    };
    let run = |bound| {
        TestRunner::new(config.clone()).run(&steps(), |steps| {
            prop_assert!(!exceeds_bound(&steps, bound));
            Ok(())
        })
    };
    let bounded = run(Some(BOUND));
    assert!(bounded.is_ok(), "{bounded:?}");
    assert!(run(None).is_err(), "the schedules never withdraw a key in use");
}
