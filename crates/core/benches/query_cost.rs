//! Benchmark of the query root: time and memory of a query, from the request
//! to the answer.
//!
//! Fails if the cost per shard grows with the number of shards asked, or if
//! the cost of a query grows with the number of targets configured. Both
//! limits are ratios within one run.
// Counting allocations needs an implementation of `GlobalAlloc`.
#![allow(unsafe_code)]

use std::{
    alloc::{GlobalAlloc, Layout, System},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use primrosemast_core::{
    config::{
        AnswerPolicy, AvailabilityZone, Configuration, Limits, Priority,
        Route, Searcher, Service, ZoneShare, ZoneState,
    },
    id::{InstanceId, Token, ZoneId},
    placement::Candidate,
    query::{
        CallerRequest, Message, Queries, QueryEffect, QueryEvent,
        QueryOptions, ShardReply,
    },
    snapshot::{Holding, Snapshot},
    target::{JobOutcome, TargetReport, TargetState},
    time::Time,
};

struct CountingAllocator;

static ALLOCATED: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size() as u64, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const INSTANCES: u64 = 20;
/// Number of measurements. The best one counts, because other processes may
/// slow down some of them.
const ROUNDS: usize = 7;

fn instance(n: u64) -> (InstanceId, ZoneId) {
    let zone = ZoneId::from_name(ZONES[n as usize % ZONES.len()]);
    (InstanceId(n + 1), zone)
}

/// Returns a configuration in which searcher `i` holds shard `i % shards` and
/// the replicas of a shard are in different zones.
fn configuration(shards: usize, targets: usize) -> Configuration {
    let searchers = (0..targets).map(|i| Searcher {
        name: format!("s{i:06}"),
        address: ([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 80).into(),
        availability_zone: ZONES[(i + i / shards) % ZONES.len()].into(),
        slots: 1_000,
        connections: 25,
        connect_cost_ms: 5,
    });
    let zone = |name: &str| AvailabilityZone {
        name: name.into(),
        state: ZoneState::In,
    };
    let share =
        |name: &str| ZoneShare { availability_zone: name.into(), percent: 25 };
    let mut cfg = Configuration {
        availability_zones: ZONES.map(zone).into(),
        services: vec![Service {
            name: "s".into(),
            searchers: searchers.collect(),
        }],
        routes: vec![Route {
            name: "find".into(),
            services: vec!["s".into()],
            shards: None,
            shares: ZONES.map(share).into(),
            deadline_ms: 1_000,
            priority: Priority::Urgent,
            policy: AnswerPolicy::Coverage,
            repeatable: true,
        }],
        limits: Limits { bundle_size: 16, ..Limits::default() },
        ..Configuration::default()
    };
    cfg.sort();
    cfg
}

fn root(shards: u32, targets: usize) -> Queries {
    let (own_id, zone) = instance(0);
    let mut queries = Queries::new(own_id, zone, QueryOptions::default(), 1);
    let mut out = Vec::new();
    let now = Time::ZERO;
    let candidates = (0..INSTANCES).map(|n| {
        let (instance, zone) = instance(n);
        Candidate { instance, zone }
    });
    let cfg = Arc::new(configuration(shards as usize, targets));
    let events = [
        QueryEvent::Candidates(candidates.collect()),
        QueryEvent::Configure(cfg.clone()),
        QueryEvent::Serving(true),
    ];
    for event in events {
        queries.step(now, event, &mut out);
    }
    let snapshot = Snapshot { index_version: 1, partition_map: 1 };
    let reports: Vec<TargetReport> = cfg.services[0]
        .searchers
        .iter()
        .enumerate()
        .map(|(i, s)| TargetReport {
            target: s.id(),
            state: TargetState::Ready,
            limit: 1_000,
            running: 0,
            queued: 0,
            latency_us: 1_000,
            holds: vec![Holding {
                snapshot,
                shard: i as u32 % shards,
                shard_count: shards,
            }],
            shared: true,
        })
        .collect();
    for n in 0..INSTANCES {
        let message = Message::Reports(reports.clone());
        let event = QueryEvent::Message(instance(n).0, message);
        queries.step(now, event, &mut out);
    }
    queries
}

/// Cost of one query: nanoseconds, allocated bytes and messages sent.
struct Cost {
    nanos: f64,
    bytes: f64,
    messages: usize,
}

fn measure(shards: u32, targets: usize) -> Cost {
    let mut queries = root(shards, targets);
    let count = (200_000 / shards as usize).clamp(20, 2_000);
    let mut best = Cost { nanos: f64::MAX, bytes: 0.0, messages: 0 };
    let mut now = Time::from_millis(1);
    let mut token = 0;
    for _ in 0..ROUNDS {
        let (mut elapsed, mut bytes) = (Duration::ZERO, 0);
        let mut messages = 0;
        for _ in 0..count {
            token += 1;
            now += Duration::from_micros(500);
            let req = CallerRequest {
                route: "find".into(),
                request_id: None,
                deadline_us: None,
                key: None,
                body: "query".into(),
            };
            let mut out = Vec::with_capacity(64);
            let event = QueryEvent::Submit(Token(token), req);
            let mut timed = |event, out: &mut Vec<QueryEffect>| {
                let (start, before) =
                    (Instant::now(), ALLOCATED.load(Relaxed));
                queries.step(now, event, out);
                elapsed += start.elapsed();
                bytes += ALLOCATED.load(Relaxed) - before;
            };
            timed(event, &mut out);
            let mut replies = Vec::new();
            for effect in &out {
                let QueryEffect::Send(home, Message::Request(req)) = effect
                else {
                    continue;
                };
                messages += 1;
                for &(shard, target) in &req.shards {
                    let holding = Holding {
                        snapshot: req.snapshot,
                        shard,
                        shard_count: shards,
                    };
                    let reply = ShardReply {
                        query: req.query,
                        attempt: req.attempt,
                        shard,
                        target,
                        outcome: JobOutcome::Answered {
                            body: "{}".into(),
                            holding,
                        },
                        report: None,
                    };
                    let message = Message::Reply(reply);
                    replies.push(QueryEvent::Message(*home, message));
                }
            }
            out.clear();
            // The clock is read once for all replies, so that the result does
            // not include the cost of reading it for each reply.
            let (start, before) = (Instant::now(), ALLOCATED.load(Relaxed));
            for event in replies {
                queries.step(now, event, &mut out);
            }
            elapsed += start.elapsed();
            bytes += ALLOCATED.load(Relaxed) - before;
            let answered =
                out.iter().any(|e| matches!(e, QueryEffect::Respond(..)));
            assert!(answered, "the query was not answered");
        }
        let nanos = elapsed.as_nanos() as f64 / count as f64;
        if nanos < best.nanos {
            best = Cost {
                nanos,
                bytes: bytes as f64 / count as f64,
                messages: messages / count,
            };
        }
    }
    best
}

fn print_row(shards: u32, targets: usize) -> Cost {
    let cost = measure(shards, targets);
    println!(
        "{shards:>7} {targets:>8} {:>10.0} {:>9.1} {:>10.0} {:>9.1} {:>9}",
        cost.nanos,
        cost.nanos / f64::from(shards),
        cost.bytes,
        cost.bytes / f64::from(shards),
        cost.messages
    );
    cost
}

fn main() -> ExitCode {
    println!(
        "{:>7} {:>8} {:>10} {:>9} {:>10} {:>9} {:>9}",
        "shards", "targets", "ns", "ns/shard", "bytes", "B/shard", "messages"
    );
    let by_shards: Vec<(u32, Cost)> = [10, 100, 260, 1_000, 5_000]
        .into_iter()
        .map(|n| (n, print_row(n, n as usize * 2)))
        .collect();
    let by_targets: Vec<Cost> =
        [500, 5_000, 77_000].into_iter().map(|n| print_row(260, n)).collect();
    let per_shard = |x: &(u32, Cost)| x.1.nanos / f64::from(x.0);
    let shard_ratio = per_shard(&by_shards[4]) / per_shard(&by_shards[0]);
    let target_ratio = by_targets[2].nanos / by_targets[0].nanos;
    let mut queries = root(260, 77_000);
    let cfg = Arc::new(configuration(260, 77_000));
    let start = Instant::now();
    queries.step(
        Time::from_millis(1),
        QueryEvent::Configure(cfg),
        &mut Vec::new(),
    );
    println!("a configuration of 77,000 targets: {:?}", start.elapsed());
    println!(
        "cost per shard, 5,000 against 10 shards: {shard_ratio:.2} (max 4)"
    );
    println!("cost, 77,000 against 500 targets: {target_ratio:.2} (max 3)");
    if shard_ratio > 4.0 || target_ratio > 3.0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
