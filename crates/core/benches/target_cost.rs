//! Elapsed time and allocated bytes per job (submit, send, answer) by number
//! of targets. Exits with 1 if a job at 5,000 targets costs more than 4 times
//! as much as at 10 targets, because the cost must not grow with the fleet.
#![allow(unsafe_code, reason = "An allocator is needed to count bytes.")]

use std::{
    alloc::{GlobalAlloc, Layout, System},
    process::ExitCode,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use primrosemast_core::{
    config::Priority,
    id::{ConnId, JobId, QueryId, TargetId, ZoneId},
    snapshot::{Holding, Snapshot},
    target::*,
    time::Time,
};

/// Numbers of targets.
const SIZES: [u64; 4] = [10, 100, 1_000, 5_000];
/// Measurements per size, of which the median counts.
const ROUNDS: usize = 9;
/// Jobs per measurement.
const JOBS: u64 = 20_000;
/// Maximum ratio of the cost at the largest size to that at the smallest.
const MAX_RATIO: f64 = 4.0;
const SNAPSHOT: Snapshot = Snapshot { index_version: 1, partition_map: 1 };

static ALLOCATED: AtomicU64 = AtomicU64::new(0);

/// The system allocator, which also counts the allocated bytes.
struct Counting;

// SAFETY: Every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size() as u64, Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// A reducer whose targets have open connections.
struct Fleet {
    targets: Targets,
    size: u64,
    now: Time,
    next_job: u64,
    effects: Vec<TargetEffect>,
}

impl Fleet {
    fn new(size: u64) -> Fleet {
        let options =
            TargetOptions { fleet_is_new: true, ..TargetOptions::default() };
        let mut fleet = Fleet {
            targets: Targets::new(options, 1),
            size,
            now: Time::from_millis(1),
            next_job: 0,
            effects: Vec::new(),
        };
        let specs = (0..size)
            .map(|id| TargetSpec {
                id: TargetId(id),
                name: format!("t{id}"),
                address: ([127, 0, 0, 1], 9).into(),
                zone: ZoneId(1),
                zone_out: false,
                slots: 2,
                connections: 25,
                role: HomeRole::Home,
                peer: None,
            })
            .collect();
        fleet.step(TargetEvent::Configure(specs));
        // Three rounds over all targets open the connections.
        for _ in 0..3 * size {
            fleet.run_job();
        }
        fleet
    }

    fn step(&mut self, event: TargetEvent) {
        self.effects.clear();
        self.targets.step(self.now, event, &mut self.effects);
    }

    fn sent(&self) -> Option<(ConnId, JobId)> {
        self.effects.iter().find_map(|effect| match effect {
            TargetEffect::Send { conn, job } => Some((*conn, job.id)),
            _ => None,
        })
    }

    /// Submits a job, opens a connection if there is none, and answers the
    /// job.
    fn run_job(&mut self) {
        self.next_job += 1;
        self.now += Duration::from_micros(10);
        let id = self.next_job;
        self.step(TargetEvent::Submit(Job {
            id: JobId(id),
            target: TargetId(id % self.size),
            query: QueryId(id),
            attempt: 0,
            snapshot: SNAPSHOT,
            shard: 0,
            deadline: self.now + Duration::from_millis(100),
            priority: Priority::Normal,
            repeatable: true,
            fresh_connection: false,
            body: Bytes::from_static(b"{}"),
        }));
        let opened = self.effects.iter().find_map(|effect| match effect {
            TargetEffect::Connect { conn, .. } => Some(*conn),
            _ => None,
        });
        if let Some(conn) = opened {
            self.step(TargetEvent::Connected(conn));
        }
        let (conn, job) = self.sent().expect("the job is sent at once");
        let holding = Holding { snapshot: SNAPSHOT, shard: 0, shard_count: 1 };
        let answer = TargetAnswer {
            status: 200,
            request_id: format!("{}-0-0", QueryId(id)),
            snapshot: Some(SNAPSHOT),
            shard: Some(0),
            boot_id: Some(1),
            checksum: Some(7),
            body_checksum: 7,
            holds: Some(vec![holding]),
            verdict: None,
            body: Bytes::from_static(b"{}"),
        };
        self.step(TargetEvent::Answer(conn, job, answer));
    }

    /// Returns the nanoseconds and the allocated bytes per job.
    fn measure(&mut self) -> (f64, f64) {
        let bytes = ALLOCATED.load(Ordering::Relaxed);
        let start = Instant::now();
        for _ in 0..JOBS {
            self.run_job();
        }
        let time = start.elapsed().as_nanos() as f64 / JOBS as f64;
        let bytes = ALLOCATED.load(Ordering::Relaxed) - bytes;
        (time, bytes as f64 / JOBS as f64)
    }
}

fn main() -> ExitCode {
    let mut fleets: Vec<Fleet> = SIZES.into_iter().map(Fleet::new).collect();
    let mut results = vec![Vec::new(); SIZES.len()];
    // The sizes are measured in turn, so that other load on the machine
    // affects all of them.
    for _ in 0..ROUNDS {
        for (fleet, results) in fleets.iter_mut().zip(&mut results) {
            results.push(fleet.measure());
        }
    }
    println!("{:>8} {:>12} {:>12}", "targets", "ns per job", "bytes");
    let mut medians = Vec::new();
    for (size, results) in SIZES.iter().zip(&mut results) {
        results.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (time, bytes) = results[ROUNDS / 2];
        println!("{size:>8} {time:>12.0} {bytes:>12.0}");
        medians.push((time, bytes));
    }
    let (first, last) = (medians[0], medians[SIZES.len() - 1]);
    let (time, bytes) = (last.0 / first.0, last.1 / first.1);
    println!(
        "ratio of {} to {}: time {time:.2}, bytes {bytes:.2}",
        SIZES[SIZES.len() - 1],
        SIZES[0]
    );
    if time > MAX_RATIO || bytes > MAX_RATIO {
        eprintln!("the ratio must not exceed {MAX_RATIO}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
