//! Cost of commands of the replicated state machine by the size of its state.
//!
//! Run with `cargo bench -p primrosemast-core --bench control_cost`. It fails
//! if a claim at the largest size costs more than four times one at the
//! smallest.

use std::{process::ExitCode, time::Instant};

use bytes::Bytes;
use primrosemast_core::{
    control::{Change, Claim, Command, ControlState},
    id::{ConfigVersion, QueryId},
};

/// Largest accepted ratio of the cost of a claim at the largest size to that
/// at the smallest. The claims are kept in trees, so the cost grows slowly.
const MAX_GROWTH: f64 = 4.0;

/// Number of claims measured at each size.
const MEASURED_COMMANDS: u64 = 10_000;

fn main() -> ExitCode {
    println!(
        "claims kept  ns/claim  bytes/claim  snapshot bytes  snapshot ms"
    );
    let mut costs = Vec::new();
    for kept in [1_000, 10_000, 100_000] {
        costs.push(measure_claims(kept));
    }
    println!("\ndocument bytes  ns/change  command bytes");
    for size in [1_000, 100_000, 9_000_000] {
        measure_changes(size);
    }
    let growth = costs[costs.len() - 1] / costs[0];
    println!("\na claim, largest to smallest table: {growth:.2}");
    if growth > MAX_GROWTH {
        println!("exceeds the bound of {MAX_GROWTH}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn claim_command(n: u64) -> Bytes {
    Command::Claim(Claim {
        request_id: format!("tool-checkout/{n:016x}"),
        query: QueryId(n),
        at_ms: 1_000 + n,
    })
    .encode()
}

fn measure_claims(kept: u64) -> f64 {
    let mut state = ControlState::default();
    for n in 0..kept {
        state.apply(n + 1, &claim_command(n));
    }
    let commands: Vec<Bytes> =
        (kept..kept + MEASURED_COMMANDS).map(claim_command).collect();
    let start = Instant::now();
    for (i, command) in commands.iter().enumerate() {
        state.apply(kept + i as u64 + 1, command);
    }
    let ns = start.elapsed().as_nanos() as f64 / MEASURED_COMMANDS as f64;
    let start = Instant::now();
    let snapshot = state.snapshot();
    let took = start.elapsed().as_secs_f64() * 1e3;
    println!(
        "{kept:11}  {ns:8.0}  {:11}  {:14}  {took:11.2}",
        commands[0].len(),
        snapshot.len()
    );
    ns
}

fn measure_changes(size: usize) {
    let mut state = ControlState::default();
    let document = Bytes::from(vec![1; size]);
    let rounds = (20_000_000 / size as u64).clamp(3, 1_000);
    let commands: Vec<Bytes> = (0..rounds)
        .map(|n| {
            Command::Change(Change {
                change_id: format!("change-{n}"),
                expected_version: ConfigVersion(n),
                document: document.clone(),
            })
            .encode()
        })
        .collect();
    let start = Instant::now();
    for (i, command) in commands.iter().enumerate() {
        state.apply(i as u64 + 1, command);
    }
    let ns = start.elapsed().as_nanos() as f64 / rounds as f64;
    println!("{size:14}  {ns:9.0}  {:13}", commands[0].len());
}
