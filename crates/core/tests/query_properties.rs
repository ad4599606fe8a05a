//! Property tests of the query root under random faults, against a model.
//!
//! The model simulates the homes and targets: it records which requests ran
//! and what each target holds. A failing case prints its seed and operations.
#![allow(missing_docs)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use primrosemast_core::{
    config::{AnswerPolicy, Configuration, ZoneState},
    id::{InstanceId, QueryId, TargetId, Token},
    query::{
        CallerResponse, ClaimResult, Message, QueryEffect, QueryEvent,
        QueryOptions, ShardReply, ShardRequest,
    },
    snapshot::Holding,
    target::{JobOutcome, TargetReport, TargetState},
    time::Time,
    verdict::Verdict,
};
use proptest::prelude::*;

mod query_support;
use query_support::*;

const TARGETS: [(&str, &str); 8] = [
    ("a0", "a"),
    ("a1", "a"),
    ("a2", "a"),
    ("b0", "b"),
    ("b1", "b"),
    ("b2", "b"),
    ("c0", "c"),
    ("c1", "c"),
];

/// Returns the shard count of an index version. Versions differ in it, as
/// after a repartition.
fn shard_count(version: u64) -> u32 {
    1 + (version % 3) as u32
}

#[derive(Clone, Debug)]
enum Op {
    Submit {
        /// Whether the route is not repeatable.
        once: bool,
        deadline_ms: u64,
    },
    /// Delivers a request to a home, whose targets run it or fail.
    Deliver {
        pick: usize,
        kind: u8,
        accept: bool,
    },
    DropRequest(usize),
    Reply {
        pick: usize,
        keep: bool,
    },
    CorruptReply {
        pick: usize,
        change: u8,
    },
    Claim {
        pick: usize,
        result: u8,
    },
    Advance(u64),
    LateTick(u64),
    Hold {
        target: usize,
        versions: u8,
    },
    /// Changes the holdings of all targets at once.
    Repartition(u8),
    State {
        target: usize,
        state: u8,
        load: u32,
    },
    Zone {
        zone: usize,
        out: bool,
    },
    Candidates(u8),
    CallerGone(usize),
    Serving(bool),
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0..64usize;
    prop_oneof![
        6 => (any::<bool>(), 1..80u64).prop_map(|(once, deadline_ms)| {
            Op::Submit { once, deadline_ms }
        }),
        9 => (index.clone(), 0..12u8, any::<bool>()).prop_map(
            |(pick, kind, accept)| Op::Deliver { pick, kind, accept }
        ),
        1 => index.clone().prop_map(Op::DropRequest),
        9 => (index.clone(), prop::bool::weighted(0.2))
            .prop_map(|(pick, keep)| Op::Reply { pick, keep }),
        2 => (index.clone(), 0..5u8)
            .prop_map(|(pick, change)| Op::CorruptReply { pick, change }),
        4 => (index.clone(), 0..8u8)
            .prop_map(|(pick, result)| Op::Claim { pick, result }),
        3 => (1..30_000u64).prop_map(Op::Advance),
        1 => (1..90_000u64).prop_map(Op::LateTick),
        2 => (0..8usize, 0..8u8)
            .prop_map(|(target, versions)| Op::Hold { target, versions }),
        2 => (0..8usize, 0..5u8, 0..4u32).prop_map(
            |(target, state, load)| Op::State { target, state, load }
        ),
        1 => (0..3usize, any::<bool>())
            .prop_map(|(zone, out)| Op::Zone { zone, out }),
        1 => (1..8u8).prop_map(Op::Repartition),
        1 => (0..16u8).prop_map(Op::Candidates),
        1 => index.prop_map(Op::CallerGone),
        1 => prop::bool::weighted(0.8).prop_map(Op::Serving),
    ]
}

/// State of one caller's request in the model.
#[derive(Debug, Default)]
struct Submission {
    /// Whether the route is not repeatable.
    once: bool,
    deadline: Time,
    disconnected: bool,
    /// `None` without a response, `Some(None)` after an answer.
    verdict: Option<Option<Verdict>>,
    granted: bool,
    send_count: usize,
    ran: bool,
    /// Snapshot version and shard of each request that was sent.
    sent_shards: BTreeSet<(u64, u32)>,
}

struct Model {
    root: Root,
    submissions: BTreeMap<Token, Submission>,
    in_flight: Vec<(InstanceId, ShardRequest)>,
    replies: Vec<(InstanceId, ShardReply)>,
    claims: Vec<(QueryId, Token)>,
    holds: [Vec<Holding>; 8],
    /// Token, version and shard of each request that a target answered.
    served: BTreeSet<(Token, u64, u32)>,
    first_requests: usize,
    first_plan_requests: usize,
    all_requests: usize,
}

fn configuration() -> Configuration {
    let mut cfg = config(&TARGETS, &[("a", 60), ("b", 40), ("c", 0)]);
    cfg.limits.max_in_flight = 20;
    let mut non_repeatable = cfg.routes[0].clone();
    non_repeatable.name = "book".into();
    non_repeatable.repeatable = false;
    cfg.routes[0].policy = AnswerPolicy::Latency { enough_percent: 50 };
    cfg.routes.push(non_repeatable);
    cfg.sort();
    cfg
}

impl Model {
    fn new(seed: u64) -> Model {
        let options = QueryOptions {
            log_debug: seed.is_multiple_of(2),
            ..QueryOptions::default()
        };
        let mut model = Model {
            root: Root::new(configuration(), options, seed),
            submissions: BTreeMap::new(),
            in_flight: Vec::new(),
            replies: Vec::new(),
            claims: Vec::new(),
            holds: Default::default(),
            served: BTreeSet::new(),
            first_requests: 0,
            first_plan_requests: 0,
            all_requests: 0,
        };
        for i in 0..8 {
            model.hold(i, 0b10);
        }
        model
    }

    fn hold(&mut self, i: usize, versions: u8) {
        let list = (0..3u64).filter(|v| versions >> v & 1 == 1);
        self.holds[i] = list
            .map(|v| {
                let n = shard_count(v);
                holding(v, i as u32 % n, n)
            })
            .collect();
        self.send_report(i, TargetState::Ready, 0);
    }

    fn send_report(&mut self, i: usize, state: TargetState, load: u32) {
        let r = report(TARGETS[i].0, self.holds[i].clone());
        let limit = match state {
            TargetState::Ready => 2,
            TargetState::Cold | TargetState::Warming => 1,
            TargetState::Leaving | TargetState::Down => 0,
        };
        self.root.report(TargetReport {
            state,
            limit,
            running: load,
            queued: load,
            ..r
        });
    }

    fn token(req: &ShardRequest) -> Token {
        let text = std::str::from_utf8(&req.body).expect("a token");
        Token(text.parse().expect("a token"))
    }

    fn apply(&mut self, op: &Op) {
        let nth = |pick: usize, n: usize| (n > 0).then(|| pick % n);
        match *op {
            Op::Submit { once, deadline_ms } => self.submit(once, deadline_ms),
            Op::Deliver { pick, kind, accept } => {
                if let Some(i) = nth(pick, self.in_flight.len()) {
                    let (home, req) = self.in_flight.swap_remove(i);
                    self.deliver(home, &req, kind, accept);
                }
            }
            Op::DropRequest(pick) => {
                if let Some(i) = nth(pick, self.in_flight.len()) {
                    self.in_flight.swap_remove(i);
                }
            }
            Op::Reply { pick, keep } => {
                if let Some(i) = nth(pick, self.replies.len()) {
                    let (from, reply) = self.replies[i].clone();
                    if !keep {
                        self.replies.swap_remove(i);
                    }
                    self.message(from, Message::Reply(reply));
                }
            }
            Op::CorruptReply { pick, change } => {
                if let Some(i) = nth(pick, self.replies.len()) {
                    let (mut from, mut reply) = self.replies[i].clone();
                    match change {
                        0 => from.0 += 1,
                        1 => reply.attempt += 1,
                        3 => {
                            if let JobOutcome::Answered { holding, body } =
                                &mut reply.outcome
                            {
                                holding.snapshot.index_version += 1;
                                *body = "crossed".into();
                            } else {
                                reply.shard += 1;
                            }
                        }
                        2 => reply.target = TargetId(reply.target.0 + 1),
                        _ => reply.query = QueryId(reply.query.0 + 1),
                    }
                    self.message(from, Message::Reply(reply));
                }
            }
            Op::Claim { pick, result } => {
                if let Some(i) = nth(pick, self.claims.len()) {
                    let (query, token) = self.claims.swap_remove(i);
                    let result = match result {
                        0 => ClaimResult::Unavailable,
                        1 => ClaimResult::Taken(None),
                        _ => ClaimResult::Granted,
                    };
                    let entry = self.submissions.get_mut(&token);
                    entry.expect("a submitted token").granted =
                        result == ClaimResult::Granted;
                    self.step(QueryEvent::Claimed(query, result));
                }
            }
            Op::Advance(us) => {
                let end = self.root.now + Duration::from_micros(us);
                while let Some(t) = self.root.queries.next_deadline()
                    && t <= end
                {
                    self.root.now = t;
                    self.step(QueryEvent::Tick);
                }
                self.root.now = end;
                self.step(QueryEvent::Tick);
            }
            Op::LateTick(us) => {
                self.root.now += Duration::from_micros(us);
                self.step(QueryEvent::Tick);
            }
            Op::Hold { target, versions } => self.hold(target, versions),
            Op::Repartition(versions) => {
                (0..8).for_each(|i| self.hold(i, versions));
            }
            Op::State { target, state, load } => {
                let state = [
                    TargetState::Cold,
                    TargetState::Warming,
                    TargetState::Ready,
                    TargetState::Leaving,
                    TargetState::Down,
                ][usize::from(state)];
                self.send_report(target, state, load);
            }
            Op::Zone { zone, out } => {
                let state = if out { ZoneState::Out } else { ZoneState::In };
                self.root.set_zone(["a", "b", "c"][zone], state);
            }
            Op::Candidates(mask) => {
                let ids: Vec<u64> =
                    (1..=4).filter(|n| mask >> (n - 1) & 1 == 1).collect();
                self.root.candidates(&ids);
            }
            Op::CallerGone(pick) => {
                if let Some(i) = nth(pick, self.submissions.len()) {
                    let token =
                        *self.submissions.keys().nth(i).expect("in range");
                    let entry = self.submissions.get_mut(&token);
                    entry.expect("just found").disconnected = true;
                    self.step(QueryEvent::CallerGone(token));
                }
            }
            Op::Serving(on) => self.step(QueryEvent::Serving(on)),
        }
        self.check();
    }

    fn submit(&mut self, once: bool, deadline_ms: u64) {
        let token = self.submissions.len() as u64 + 1;
        let entry = Submission {
            once,
            deadline: self.root.now + Duration::from_millis(deadline_ms),
            ..Submission::default()
        };
        self.submissions.insert(Token(token), entry);
        let id = format!("r{token}");
        let sent = self.root.submit_with(Some(&id), |req| {
            req.body = token.to_string().into();
            req.deadline_us = Some(deadline_ms * 1_000);
            req.key = Some(format!("k{}", token % 5));
            if once {
                req.route = "book".into();
            }
        });
        assert_eq!(sent, Token(token));
    }

    fn deliver(
        &mut self,
        home: InstanceId,
        req: &ShardRequest,
        kind: u8,
        accept: bool,
    ) {
        let token = Model::token(req);
        if accept {
            let (query, attempt) = (req.query, req.attempt);
            self.message(home, Message::Accepted { query, attempt });
        }
        let version = req.snapshot.index_version;
        for &(shard, target) in &req.shards {
            let i = TARGETS
                .iter()
                .position(|t| TargetId::from_name(t.0) == target);
            let i = i.expect("a configured target");
            let wanted = holding(version, shard, shard_count(version));
            let entry = self.submissions.get_mut(&token).expect("submitted");
            let outcome = if !self.holds[i].contains(&wanted) {
                JobOutcome::NotHeld
            } else {
                match kind {
                    0 => JobOutcome::Shed,
                    1 => JobOutcome::Expired,
                    2 => JobOutcome::Failed { verdict: Verdict::NotRun },
                    _ => {
                        let not_run =
                            entry.verdict == Some(Some(Verdict::NotRun));
                        assert!(!not_run, "{token:?} ran after NotRun");
                        entry.ran = true;
                        if kind == 3 {
                            let verdict = Verdict::MayHaveRun;
                            JobOutcome::Failed { verdict }
                        } else {
                            self.served.insert((token, version, shard));
                            let body = format!("{token:?}/{version}/{shard}");
                            let holding = wanted;
                            JobOutcome::Answered { body: body.into(), holding }
                        }
                    }
                }
            };
            let new_report = matches!(outcome, JobOutcome::NotHeld)
                .then(|| report(TARGETS[i].0, self.holds[i].clone()));
            self.replies.push((
                home,
                ShardReply {
                    query: req.query,
                    attempt: req.attempt,
                    shard,
                    target,
                    outcome,
                    report: new_report,
                },
            ));
        }
    }

    fn message(&mut self, from: InstanceId, message: Message) {
        self.step(QueryEvent::Message(from, message));
    }

    fn step(&mut self, event: QueryEvent) {
        self.root.step(event);
    }

    /// Checks the effects since the last call against the model.
    fn check(&mut self) {
        for effect in std::mem::take(&mut self.root.effects) {
            match effect {
                QueryEffect::Send(home, Message::Request(req)) => {
                    self.check_send(home, req);
                }
                QueryEffect::Claim { query, request_id, .. } => {
                    let n = request_id.strip_prefix("book/r");
                    let n = n.expect("route and id").parse();
                    self.claims.push((query, Token(n.expect("a token"))));
                }
                QueryEffect::Respond(token, response) => {
                    self.check_response(token, response);
                }
                QueryEffect::Settle { request_id, verdict, .. } => {
                    let n = request_id.strip_prefix("book/r");
                    let n = n.expect("route and id").parse();
                    let token = Token(n.expect("a token"));
                    let entry = &self.submissions[&token];
                    assert!(entry.granted, "settled without a claim");
                    assert!(verdict > Verdict::NotRun || !entry.ran);
                }
                QueryEffect::Send(..)
                | QueryEffect::NewestSnapshots(_)
                | QueryEffect::Log(_) => {}
            }
        }
        let now = self.root.now;
        for (token, entry) in &self.submissions {
            let done = entry.disconnected || entry.verdict.is_some();
            assert!(done || now < entry.deadline, "{token:?} is overdue");
        }
        if let Some(next) = self.root.queries.next_deadline() {
            assert!(next > now, "a timer in the past");
        }
        let limit =
            self.first_requests * 5 / 100 + 2 * 10 + self.first_plan_requests;
        assert!(
            self.all_requests - self.first_requests <= limit,
            "extra load"
        );
    }

    fn check_send(&mut self, home: InstanceId, req: ShardRequest) {
        let token = Model::token(&req);
        let version = req.snapshot.index_version;
        let entry = self.submissions.get_mut(&token).expect("submitted");
        assert!(entry.verdict.is_none(), "{token:?} sent after its end");
        for &(shard, target) in &req.shards {
            let t =
                TARGETS.iter().find(|t| TargetId::from_name(t.0) == target);
            let zone = t.expect("a configured target").1;
            let out = self.root.cfg.zone_is_out(zone);
            assert!(!out, "a send to zone {zone}, which is out");
            entry.send_count += 1;
            self.all_requests += 1;
            let other = entry.sent_shards.iter().any(|x| x.0 != version);
            if entry.sent_shards.insert((version, shard)) {
                self.first_requests += 1;
                self.first_plan_requests += usize::from(!other);
            }
        }
        if entry.once {
            assert!(entry.granted && entry.send_count == 1, "{entry:?}");
        }
        self.in_flight.push((home, req));
    }

    fn check_response(&mut self, token: Token, response: CallerResponse) {
        let served = &self.served;
        let entry = self.submissions.get_mut(&token).expect("submitted");
        assert!(!entry.disconnected, "{token:?} answered after disconnect");
        assert_eq!(entry.verdict, None, "{token:?} answered twice");
        match response {
            CallerResponse::Failure(f) => {
                entry.verdict = Some(Some(f.verdict));
                if f.verdict == Verdict::NotRun {
                    assert!(!entry.ran, "{token:?} ran: {f:?}");
                }
            }
            CallerResponse::Answer(a) => {
                entry.verdict = Some(None);
                let version = a.snapshot.index_version;
                let count = if entry.once { 1 } else { shard_count(version) };
                assert_eq!(a.coverage.asked, count);
                assert_eq!(a.coverage.answered as usize, a.results.len());
                assert!(!a.results.is_empty());
                let mut shards: Vec<u32> =
                    a.coverage.missing.iter().map(|m| m.shard).collect();
                for r in &a.results {
                    let body = format!("{token:?}/{version}/{}", r.shard);
                    assert_eq!(r.body, body, "another request's answer");
                    assert!(served.contains(&(token, version, r.shard)));
                    shards.push(r.shard);
                }
                shards.sort_unstable();
                shards.dedup();
                assert_eq!(shards.len() as u32, count, "asked shards");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards invariants H1, H2, H4, H5, H6 and H7 and the extra-load bound
    /// against lost, late, duplicated and mismatched messages, changing
    /// holdings, zones that go out, and homes that leave.
    #[test]
    fn invariants(
        seed in any::<u64>(),
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut model = Model::new(seed);
        for op in &ops {
            model.apply(op);
        }
        model.apply(&Op::Advance(200_000));
        prop_assert_eq!(model.root.queries.in_flight(), 0);
        prop_assert_eq!(model.root.queries.next_deadline(), None);
    }
}
