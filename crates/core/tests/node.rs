//! Tests of the node's reducer: how its subsystems act together.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use primrosemast_core::{
    config::{
        AnswerPolicy, AvailabilityZone, Configuration, Priority, Route,
        Searcher, Service, ZoneShare, ZoneState,
    },
    config_sync::{ConfigRecord, Message},
    consensus::Recovered,
    control::{Change, ControlReply, TableRevision, ZoneStateChange},
    forward::{
        ForwardEffect, ForwardEvent, Reason, Response, Submission,
        directory::{Directory, ListedTarget},
        table::{
            Destination, ForwardRoute, ForwardService, Forwarding, KeyDigest,
            RateLimit, Team,
        },
    },
    id::{
        ConfigVersion, InstanceId, ReplicaId, TargetId, TeamId, Token, ZoneId,
    },
    membership::{Member, MemberState},
    message::PeerMessage,
    node::{Effect, Event, Node, NodeOptions, OperatorReply, OperatorRequest},
    snapshot::{Holding, Snapshot},
    target::{HealthReport, HealthStatus, TargetEffect, TargetEvent},
    time::Time,
    verdict::Verdict,
};

fn node() -> Node {
    let address: SocketAddr = ([10, 0, 0, 1], 7_000).into();
    let member = Member {
        id: InstanceId(1),
        name: "instance-1".into(),
        address,
        operator_address: address,
        zone: ZoneId::from_name("a"),
        entry: true,
        replica: None,
        control_group: 0,
        incarnation: 1,
        state: MemberState::Alive,
    };
    Node::new(member, NodeOptions::default(), 7)
}

/// A configuration with one route, to `service`, and zone `a` in this state.
fn configuration(
    revision: u64,
    service: &str,
    state: ZoneState,
) -> Configuration {
    let route = ForwardRoute {
        name: "one".into(),
        host: "site.example".into(),
        path_prefix: "/one/".into(),
        repeatable: true,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 1,
        max_attempts: 2,
        destination: Destination::Service(service.into()),
        public: false,
    };
    Configuration {
        availability_zones: vec![AvailabilityZone { name: "a".into(), state }],
        forwarding: Forwarding {
            revision,
            routes: vec![route],
            services: vec![ForwardService {
                name: "known".into(),
                connections: 20,
            }],
            ..Forwarding::default()
        },
        ..Configuration::default()
    }
}

/// Gives the node a version that another instance has pushed, and returns the
/// numbers of the events that it logs.
fn push(node: &mut Node, version: u64, cfg: &Configuration) -> Vec<u16> {
    let document = rmp_serde::to_vec_named(cfg).expect("encoded").into();
    let version = ConfigVersion(version);
    let record = ConfigRecord { version, hash: version.0, document };
    let message = PeerMessage::Sync(Message::Push(Arc::new(record)));
    let now = Time::from_millis(1_000 + version.0);
    let mut effects = Vec::new();
    node.step(now, Event::Peer(InstanceId(2), message), &mut effects);
    let code = |effect| match effect {
        Effect::Log(event) => Some(event.kind.code),
        _ => None,
    };
    effects.into_iter().filter_map(code).collect()
}

/// A list with one target of the service `known`.
fn directory() -> Directory {
    let target = ListedTarget {
        name: "known/1".into(),
        service: "known".into(),
        address: ([10, 0, 0, 9], 80).into(),
        availability_zone: "a".into(),
        slots: 2,
        leaving: false,
        cold_ms: 0,
        version: String::new(),
    };
    Directory { targets: vec![target] }
}

/// Steps a node that is alone in its control group for a second, and completes
/// its writes at once.
fn run_alone(node: &mut Node, from_ms: u64, event: Event) {
    run_alone_with(node, from_ms, event, |_| None);
}

/// Like `run_alone`, with the answers of `answer` to further effects.
fn run_alone_with(
    node: &mut Node,
    from_ms: u64,
    event: Event,
    mut answer: impl FnMut(&Effect) -> Option<Event>,
) {
    let mut events = vec![event];
    for ms in from_ms..from_ms + 1_000 {
        let now = Time::from_millis(ms);
        events.push(Event::Tick);
        while let Some(event) = events.pop() {
            let mut effects = Vec::new();
            node.step(now, event, &mut effects);
            events.extend(effects.into_iter().filter_map(|e| match e {
                Effect::Persist { ticket, .. } => {
                    Some(Event::Persisted(ticket))
                }
                Effect::Forward(ForwardEffect::ReadDirectory) => {
                    let event = ForwardEvent::DirectoryRead(Ok(directory()));
                    Some(Event::Forward(event))
                }
                effect => answer(&effect),
            }));
        }
    }
}

// Guards against an instance that goes on with an older table under a lease
// for the newest configuration, which it could not apply.
#[test]
fn an_instance_that_cannot_apply_the_newest_configuration_does_not_serve() {
    let mut node = node();
    let recovered = Some((ReplicaId(5), Recovered::default()));
    run_alone(&mut node, 0, Event::Start { recovered });
    let bootstrap = OperatorRequest::Bootstrap { group: 77 };
    run_alone(&mut node, 1_000, Event::Operator(Token(1), bootstrap));
    let mut serves = |revision, service| {
        let table = configuration(revision, service, ZoneState::In).forwarding;
        let table = rmp_serde::to_vec_named(&table).expect("encoded").into();
        let revise =
            OperatorRequest::Revise(TableRevision { revision, table });
        let event = Event::Operator(Token(revision + 1), revise);
        run_alone(&mut node, 1_000 + 1_000 * revision, event);
        node.serving()
    };
    assert!(serves(1, "known"));
    assert!(!serves(2, "unknown"));
    assert!(serves(3, "known"));
}

// Guards against a zone that stays in service, because the table of the same
// version cannot be used by this release.
#[test]
fn a_rejected_table_does_not_hold_back_the_zones() {
    let mut node = node();
    let valid = configuration(1, "known", ZoneState::In);
    assert!(push(&mut node, 1, &valid).contains(&730));
    let rejected = configuration(2, "unknown", ZoneState::Out);
    let codes = push(&mut node, 2, &rejected);
    assert!(codes.contains(&731), "{codes:?}");
    assert!(codes.contains(&732), "{codes:?}");
    assert_eq!(node.forwarding_table().revision, 1);
}

/// A configuration with a route over two searchers in zone `a`.
fn two_searchers() -> Configuration {
    let searcher = |n: u16| Searcher {
        name: format!("searcher-{n}"),
        address: ([10, 0, 0, 9], 80 + n).into(),
        availability_zone: "a".into(),
        slots: 2,
        connections: 20,
        connect_cost_ms: 0,
    };
    let share = ZoneShare { availability_zone: "a".into(), percent: 100 };
    Configuration {
        availability_zones: vec![AvailabilityZone {
            name: "a".into(),
            state: ZoneState::In,
        }],
        services: vec![Service {
            name: "index".into(),
            searchers: vec![searcher(0), searcher(1)],
        }],
        routes: vec![Route {
            name: "search".into(),
            services: vec!["index".into()],
            shards: None,
            shares: vec![share],
            deadline_ms: 1_000,
            priority: Priority::Normal,
            policy: AnswerPolicy::Coverage,
            repeatable: true,
        }],
        ..Configuration::default()
    }
}

/// Steps a node that is alone through a second, answers its health probes with
/// the index version that each searcher holds, and returns how often each one
/// was probed.
fn probes_in_a_second(
    node: &mut Node,
    from_ms: u64,
    held: [(TargetId, u64); 2],
) -> [usize; 2] {
    let mut counts = [0; 2];
    run_alone_with(node, from_ms, Event::Tick, |effect| {
        let Effect::Target(TargetEffect::ProbeHealth { target, .. }) = effect
        else {
            return None;
        };
        let i = held.iter().position(|h| h.0 == *target)?;
        counts[i] += 1;
        let snapshot = Snapshot { index_version: held[i].1, partition_map: 1 };
        let shard = i as u32;
        let report = HealthReport {
            status: HealthStatus::Ok,
            boot_id: 1,
            uptime_ms: from_ms,
            holds: vec![Holding { snapshot, shard, shard_count: 2 }],
        };
        Some(Event::Target(TargetEvent::Health(*target, Some(report))))
    });
    counts
}

// Guards against queries that lack a shard of a new snapshot, because the
// searcher that loaded it gets no requests and is found with its next probe.
#[test]
fn searchers_behind_a_new_snapshot_are_probed_more_often() {
    let mut node = node();
    let recovered = Some((ReplicaId(5), Recovered::default()));
    run_alone(&mut node, 0, Event::Start { recovered });
    let bootstrap = OperatorRequest::Bootstrap { group: 77 };
    run_alone(&mut node, 1_000, Event::Operator(Token(1), bootstrap));
    let cfg = two_searchers();
    let change = OperatorRequest::Change(Change {
        change_id: "searchers".into(),
        expected_version: ConfigVersion(0),
        document: rmp_serde::to_vec_named(&cfg).expect("encoded").into(),
    });
    run_alone(&mut node, 2_000, Event::Operator(Token(2), change));
    let [a, b] = [0, 1].map(|i| cfg.services[0].searchers[i].id());
    let mut probes = |from_ms, versions: [u64; 2]| {
        let held = [(a, versions[0]), (b, versions[1])];
        probes_in_a_second(&mut node, from_ms, held)
    };
    probes(3_000, [1, 1]);
    let steady = probes(4_000, [1, 1]);
    assert!(steady.iter().all(|n| (1..=2).contains(n)), "{steady:?}");
    probes(5_000, [2, 1]);
    let behind = probes(6_000, [2, 1]);
    assert!(behind[0] <= 2 && behind[1] >= 4, "{behind:?}");
    probes(7_000, [2, 2]);
    let steady = probes(8_000, [2, 2]);
    assert!(steady.iter().all(|n| (1..=2).contains(n)), "{steady:?}");
    // One takes the new snapshot back, then both do.
    probes(9_000, [1, 2]);
    let behind = probes(10_000, [1, 2]);
    assert!(behind[0] >= 4 && behind[1] <= 2, "{behind:?}");
    probes(11_000, [1, 1]);
    let steady = probes(12_000, [1, 1]);
    assert!(steady.iter().all(|n| (1..=2).contains(n)), "{steady:?}");
}

// Guards against a limit that is not passed to the shared limits, tokens that
// are not passed to the requests, and a voter that grants without waiting.
#[test]
fn a_voter_admits_the_requests_of_a_team_up_to_its_limit() {
    let mut node = node();
    let recovered = Some((ReplicaId(5), Recovered::default()));
    run_alone(&mut node, 0, Event::Start { recovered });
    let bootstrap = OperatorRequest::Bootstrap { group: 77 };
    run_alone(&mut node, 1_000, Event::Operator(Token(1), bootstrap));
    let mut forwarding = configuration(1, "known", ZoneState::In).forwarding;
    forwarding.teams.push(Team {
        name: "team".into(),
        keys: vec![KeyDigest([1; 32])],
        priority: None,
        limit: Some(RateLimit { per_second: 1.0, burst: 4.0 }),
    });
    let table = rmp_serde::to_vec_named(&forwarding).expect("encoded").into();
    let revise = OperatorRequest::Revise(TableRevision { revision: 1, table });
    run_alone(&mut node, 2_000, Event::Operator(Token(2), revise));
    let route = node.forwarding_table().find("site.example", "/one/");
    let route = Arc::clone(route.expect("a route"));
    // The requests that are refused for the limit, and those that are not.
    let mut submit = |ms: u64| {
        run_alone(&mut node, ms, Event::Tick);
        let now = Time::from_millis(ms + 1_000);
        let mut refused = 0;
        let mut sent = 0;
        for i in 0..60 {
            let submission = Submission {
                request_id: "r".into(),
                route: Arc::clone(&route),
                remaining: Duration::from_secs(1),
                team: Some(TeamId::from_name("team")),
                key: Some(KeyDigest([1; 32])),
            };
            let token = Token(ms * 100 + i);
            let event = ForwardEvent::Submit(token, submission);
            let mut effects = Vec::new();
            node.step(now, Event::Forward(event), &mut effects);
            for effect in effects {
                match effect {
                    Effect::Forward(ForwardEffect::Respond(
                        _,
                        Response::Reject { reason, verdict, .. },
                    )) => {
                        assert_eq!(reason, Reason::OverLimit);
                        assert_eq!(verdict, Verdict::NotRun);
                        refused += 1;
                    }
                    Effect::Forward(ForwardEffect::Send(_)) => sent += 1,
                    _ => {}
                }
            }
        }
        (refused, node.forwarder().in_flight(), sent)
    };
    // No grantor yet: the requests wait for one.
    assert_eq!(submit(3_000), (0, 60, 0));
    let (refused, admitted, sent) = submit(20_000);
    assert_eq!(refused + admitted, 60, "all are answered at once");
    assert!(sent > 0);
    // The burst and the tolerated excess: (1 * 5 + 4) * 0.1 + 20.
    assert!((4..=24).contains(&admitted), "{admitted}");
}

// Guards against a read that waits behind changes which the disk does not
// take, or whose reply does not hold what was acknowledged.
#[test]
fn reads_are_answered_while_a_change_waits_for_the_disk() {
    let mut node = node();
    let recovered = Some((ReplicaId(5), Recovered::default()));
    run_alone(&mut node, 0, Event::Start { recovered });
    let bootstrap = OperatorRequest::Bootstrap { group: 77 };
    run_alone(&mut node, 1_000, Event::Operator(Token(1), bootstrap));
    let revise = |revision| {
        let table = configuration(revision, "known", ZoneState::In).forwarding;
        let table = rmp_serde::to_vec_named(&table).expect("encoded").into();
        OperatorRequest::Revise(TableRevision { revision, table })
    };
    run_alone(&mut node, 2_000, Event::Operator(Token(2), revise(1)));
    let order = ZoneStateChange {
        zone: "a".into(),
        state: ZoneState::Out,
        after: Some(0),
    };
    let order = OperatorRequest::SetZone(order);
    run_alone(&mut node, 3_000, Event::Operator(Token(3), order));

    // The disk completes no write from here on.
    let mut ask = |ms, token, request| {
        let mut effects = Vec::new();
        let event = Event::Operator(Token(token), request);
        node.step(Time::from_millis(ms), event, &mut effects);
        effects.into_iter().find_map(|e| match e {
            Effect::Reply(to, OperatorReply::Control(reply)) => {
                Some((to, reply))
            }
            _ => None,
        })
    };
    assert_eq!(ask(4_000, 4, revise(2)), None);
    let version = ControlReply::Version(ConfigVersion(2));
    let reply = ask(4_010, 5, OperatorRequest::Barrier);
    assert_eq!(reply, Some((Token(5), version)));
    let reply = ask(4_020, 6, OperatorRequest::ReadZone("a".into()));
    assert_eq!(reply, Some((Token(6), ControlReply::ZoneOrders(1))));
}
