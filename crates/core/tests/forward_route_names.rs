//! Tests of the forwarding path with several routes of one name. Only the host
//! and the prefix of a route are unique in a table.

#[path = "forward_support/mod.rs"]
mod support;

use std::sync::Arc;

use primrosemast_core::{
    forward::{
        ForwardEffect, ForwardEvent, Outcome, Submission, TargetRequest,
        shared::{IncomingMessage, Task},
        table::{CompiledRoute, Destination, ForwardRoute, Forwarding},
    },
    id::Token,
    time::Time,
};
use support::{Harness, ms, route, split, table};

/// Returns shards whose services start with `prefix`.
fn shards_of(prefix: &str, count: usize) -> Destination {
    let services = (0..count).map(|i| format!("{prefix}-{i}")).collect();
    Destination::Shards { services, top: 5, min_coverage: 0.5 }
}

/// Returns a route with another name than that of its path.
fn named(name: &str, path: &str, destination: Destination) -> ForwardRoute {
    ForwardRoute { name: name.into(), ..route(path, destination) }
}

/// Returns two routes of the same name and path on different hosts.
fn routes_of_two_hosts() -> Forwarding {
    let mut south = route("q", shards_of("south", 6));
    south.host = "south.example".into();
    table(vec![route("q", shards_of("north", 6)), south])
}

fn submit_to(harness: &mut Harness, token: u64, host: &str) {
    let route = harness.table.find(host, "/q/x").expect("a route");
    let submission = Submission {
        request_id: format!("r{token}").into(),
        route: Arc::clone(route),
        remaining: ms(1_000),
        team: None,
        key: None,
    };
    harness.step(ForwardEvent::Submit(Token(token), submission));
}

fn take_tasks(harness: &mut Harness) -> Vec<Task> {
    let mut tasks = Vec::new();
    harness.effects.retain(|e| match e {
        ForwardEffect::SendTask { task, .. } => {
            tasks.push(task.clone());
            false
        }
        _ => true,
    });
    tasks
}

// Guards against a delegate that sends the shards of a task to the services of
// another route which has the same name.
#[test]
fn a_delegate_tells_routes_of_one_name_apart() {
    let forwarding = routes_of_two_hosts();
    for host in ["site.example", "south.example"] {
        let mut root = Harness::new(&forwarding, 2);
        // Odd targets are in the zone of the other instance.
        root.directory.targets.retain(|t| t.name.ends_with("/1"));
        root.advance(support::directory_refresh());
        root.set_peers(&[9]);
        root.effects.clear();
        submit_to(&mut root, 1, host);
        let tasks = take_tasks(&mut root);
        assert_eq!(tasks.len(), 1, "{host}");
        let expected = if host == "site.example" { "north" } else { "south" };

        let mut delegate = Harness::new(&forwarding, 2);
        let token = delegate.forwarder.next_task_token();
        let message = IncomingMessage::Task(token, tasks[0].clone());
        delegate.receive_shared(1, message);
        let sent = delegate.take_sent();
        assert_eq!(sent.len(), 6, "{host}");
        for target in sent {
            let name = &target.name;
            assert!(name.starts_with(expected), "{host} sent to {name}");
        }
    }
}

// Guards against traffic shares that depend on the requests of another split
// route which has the same name.
#[test]
fn split_routes_of_one_name_keep_their_own_weights() {
    let forwarding = table(vec![
        named("s", "mostly-one", split(&[("one", 3.0), ("two", 1.0)])),
        named("s", "mostly-two", split(&[("one", 1.0), ("two", 3.0)])),
    ]);
    let mut harness = Harness::new(&forwarding, 4);
    for (path, expected) in [("mostly-one", 300), ("mostly-two", 100)] {
        let mut to_one = 0;
        for _ in 0..400 {
            // One request of each route in turn.
            for turn in ["mostly-one", "mostly-two"] {
                harness.submit(turn);
                let sent = harness.take_sent();
                let is_one = sent[0].name.starts_with("one/");
                to_one += usize::from(is_one && turn == path);
                harness.end_attempt(sent[0].attempt, Outcome::Success);
                harness.advance(ms(5));
            }
        }
        let difference = to_one.abs_diff(expected);
        assert!(difference <= 2, "{path}: {to_one} of 400 to the first");
    }
}

/// Sends requests on a slow and a fast route with these names. Returns the
/// times and targets of all requests that were sent.
fn sends_with_names(slow: &str, fast: &str) -> Vec<(Time, String, bool)> {
    let forwarding = table(vec![
        named(slow, "slow", shards_of("slow", 4)),
        named(fast, "fast", shards_of("fast", 4)),
    ]);
    let mut harness = Harness::new(&forwarding, 3);
    let mut sends = Vec::new();
    for round in 0..60 {
        for (path, took) in [("slow", ms(90)), ("fast", ms(5))] {
            harness.submit(path);
            let first = harness.take_sent();
            harness.advance(took);
            // One shard of each tenth request straggles, so that it is sent
            // again once its route's usual latency has passed.
            let answered = if round % 10 == 9 { 3 } else { 4 };
            for sent in &first[..answered] {
                harness.end_attempt(sent.attempt, Outcome::Success);
            }
            harness.advance(ms(200) - took);
            for sent in &first[answered..] {
                harness.end_attempt(sent.attempt, Outcome::Success);
            }
            let later = harness.take_sent();
            harness.advance(ms(50));
            let now = harness.now;
            let record = |s: TargetRequest| (now, s.name.to_string(), s.extra);
            sends.extend(first.into_iter().chain(later).map(record));
            harness.effects.clear();
        }
    }
    sends
}

// Guards against latencies of one route that decide when requests of another
// with the same name are sent again.
#[test]
fn names_of_routes_do_not_change_what_is_sent() {
    let apart = sends_with_names("slow", "fast");
    assert!(apart.iter().any(|s| s.2), "nothing was sent again");
    let same = sends_with_names("same", "same");
    let difference = apart.iter().zip(&same).find(|(a, b)| a != b);
    assert_eq!((difference, same.len()), (None, apart.len()));
}

// Guards against routes of one name that share their statistics, and against
// log lines and metrics that do not tell them apart.
#[test]
fn routes_of_one_name_have_their_own_identifier_and_label() {
    let harness = Harness::new(&routes_of_two_hosts(), 1);
    let find = |host| harness.table.find(host, "/q/x").expect("a route");
    let [north, south] = ["site.example", "south.example"].map(find);
    assert_ne!(north.id, south.id);
    assert_eq!(north.label, "q (site.example/q/)");
    assert_eq!(south.label, "q (south.example/q/)");

    let unique = table(vec![route("q", shards_of("north", 2))]);
    let harness = Harness::new(&unique, 1);
    let renamed = table(vec![named("other", "q", shards_of("north", 2))]);
    let other = Harness::new(&renamed, 1);
    let of = |harness: &Harness| -> CompiledRoute {
        let found = harness.table.find("site.example", "/q/x");
        CompiledRoute::clone(found.expect("a route"))
    };
    assert_eq!(of(&harness).label, "q");
    assert_eq!(of(&harness).id, of(&other).id);
}
