/*!
Cost of membership and configuration sync by size of the fleet.

Runs both reducers of every node in one process under simulated time and
measures messages, bytes, processor time and delays. Exits with 1 if the bytes
per node and second at 100 nodes exceed the design limit or are more than
`MAX_GROWTH` times those at 10 nodes, or if a delay exceeds `MAX_DELAY`.
*/

#[allow(dead_code)]
#[path = "../tests/support/mod.rs"]
mod support;

use std::{mem::size_of, process::ExitCode, time::Duration};

use primrosemast_core::{
    config_sync::ConfigSync,
    membership::{Member, MemberState, Membership},
    message::PeerMessage,
};
use support::{Net, member};

/// Numbers of nodes.
const SIZES: [usize; 6] = [3, 10, 30, 100, 300, 1_000];

/// Design limit on control-plane bytes per node and second.
const MAX_BYTES: f64 = 8_192.0;

/// Maximum ratio of the bytes per node at 100 nodes to those at 10 nodes.
const MAX_GROWTH: f64 = 2.0;

/// Typical size of a configuration document, in bytes.
const DOCUMENT_BYTES: usize = 20_000;

/// Simulated time over which the steady-state cost is measured.
const MEASURED_TIME: Duration = Duration::from_secs(20);

/// Simulated time after which an awaited change counts as missing.
const MAX_DELAY: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: f64,
    bytes: f64,
    /// Bytes of the node that sends the most.
    max_bytes: f64,
}

struct Row {
    size: usize,
    membership: Traffic,
    sync: Traffic,
    membership_us: f64,
    sync_us: f64,
    memory: usize,
    in_force_ms: Option<f64>,
    push_bytes: f64,
    detected_ms: Option<f64>,
}

fn length(message: &PeerMessage) -> usize {
    rmp_serde::to_vec(message).expect("messages can be encoded").len()
}

fn traffic(sent: impl Iterator<Item = (u64, u64)>, seconds: f64) -> Traffic {
    let sent: Vec<(u64, u64)> = sent.collect();
    let nodes = sent.len() as f64;
    let sum = |values: fn(&(u64, u64)) -> u64| {
        sent.iter().map(values).sum::<u64>() as f64 / nodes / seconds
    };
    let max_bytes = sent.iter().map(|x| x.1).max().unwrap_or(0);
    Traffic {
        messages: sum(|x| x.0),
        bytes: sum(|x| x.1),
        max_bytes: max_bytes as f64 / seconds,
    }
}

fn elapsed_ms(from: primrosemast_core::time::Time, net: &Net) -> f64 {
    net.now.since(from).as_secs_f64() * 1e3
}

/// Returns the bytes of state in both reducers: fixed parts, one table in each
/// of them and one configuration document.
fn memory(size: usize) -> usize {
    let name = member(size, None).name.len();
    let record = size_of::<Member>() + name;
    // Per member, besides the records: local state, probe order, queued
    // updates, the fleet list of the sync reducer and the times of the last
    // messages.
    let per_member = 56 + 8 + 16 + 24 + 16;
    size_of::<Membership>()
        + size_of::<ConfigSync>()
        + size * (2 * record + per_member)
        + DOCUMENT_BYTES
}

fn run(size: usize) -> Row {
    let mut net = Net::new(size as u64, size, 3, true);
    net.commit(1, DOCUMENT_BYTES, &[0, 1, 2]);
    net.run(Duration::from_secs(30));
    for node in &mut net.nodes {
        node.membership_sent = (0, 0);
        node.sync_sent = (0, 0);
    }
    net.message_len = Some(length);
    net.run(MEASURED_TIME);
    let seconds = MEASURED_TIME.as_secs_f64();
    let node_seconds = seconds * size as f64;
    let membership =
        traffic(net.nodes.iter().map(|x| x.membership_sent), seconds);
    let sync = traffic(net.nodes.iter().map(|x| x.sync_sent), seconds);
    let per_node = |x: Duration| x.as_secs_f64() * 1e6 / node_seconds;
    let membership_us = per_node(net.membership_time);
    let sync_us = per_node(net.sync_time);

    let bytes = |net: &Net| net.nodes.iter().map(|x| x.sync_sent.1).sum();
    let before: u64 = bytes(&net);
    let start = net.now;
    net.commit(2, DOCUMENT_BYTES, &[0, 1, 2]);
    let in_force = |net: &Net| (0..size).all(|x| net.version(x) == 2);
    let in_force_ms =
        net.run_until(MAX_DELAY, in_force).then(|| elapsed_ms(start, &net));
    let after: u64 = bytes(&net);

    let start = net.now;
    net.crash(size - 1);
    let dead = |net: &Net| net.all_observe(size - 1, MemberState::Dead);
    let detected_ms =
        net.run_until(MAX_DELAY, dead).then(|| elapsed_ms(start, &net));
    Row {
        size,
        membership,
        sync,
        membership_us,
        sync_us,
        memory: memory(size),
        in_force_ms,
        push_bytes: (after - before) as f64 / size as f64,
        detected_ms,
    }
}

/// Returns the exponent `b` of the power law `a * size^b` that fits best.
fn power_law_exponent(rows: &[Row], value: impl Fn(&Row) -> f64) -> f64 {
    let points: Vec<(f64, f64)> =
        rows.iter().map(|x| ((x.size as f64).ln(), value(x).ln())).collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|x| x.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|x| x.1).sum::<f64>() / count;
    let products = points.iter().map(|x| (x.0 - mean_x) * (x.1 - mean_y));
    let squares = points.iter().map(|x| (x.0 - mean_x).powi(2));
    products.sum::<f64>() / squares.sum::<f64>()
}

fn print(row: &Row) {
    let format_ms =
        |x: Option<f64>| x.map_or("none".into(), |x| format!("{x:.0}"));
    let Row { membership, sync, .. } = row;
    println!(
        "{:>5} {:>7.2} {:>7.0} {:>7.0} {:>7.2} {:>7.0} {:>8.0} {:>7.1} \
         {:>7.1} {:>7} {:>8} {:>10.0} {:>9}",
        row.size,
        membership.messages,
        membership.bytes,
        membership.max_bytes,
        sync.messages,
        sync.bytes,
        sync.max_bytes,
        row.membership_us,
        row.sync_us,
        row.memory / 1_024,
        format_ms(row.in_force_ms),
        row.push_bytes,
        format_ms(row.detected_ms),
    );
}

fn main() -> ExitCode {
    println!(
        "Per node and second: m = membership, s = configuration sync, msg = \
         messages, B = bytes, max = bytes of the busiest node, us = \
         processor time.\n\
         {:>5} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7} {:>7} {:>7} {:>8} \
         {:>10} {:>9}",
        "nodes",
        "m msg",
        "m B",
        "m max",
        "s msg",
        "s B",
        "s max",
        "m us",
        "s us",
        "KB",
        "force ms",
        "B/change",
        "detect ms"
    );
    let mut rows = Vec::new();
    for size in SIZES {
        let row = run(size);
        print(&row);
        rows.push(row);
    }
    let total = |x: &Row| x.membership.bytes + x.sync.bytes;
    println!(
        "exponents of the size: membership bytes {:.3}, sync bytes {:.3}, \
         all bytes {:.3}, processor time {:.3}, memory {:.3}",
        power_law_exponent(&rows, |x| x.membership.bytes),
        power_law_exponent(&rows, |x| x.sync.bytes),
        power_law_exponent(&rows, total),
        power_law_exponent(&rows, |x| x.membership_us + x.sync_us),
        power_law_exponent(&rows, |x| x.memory as f64),
    );
    let at = |size| rows.iter().find(|x| x.size == size).map_or(0.0, total);
    let growth = at(100) / at(10);
    println!(
        "100 nodes send {growth:.2} times the bytes of 10 nodes (limit \
         {MAX_GROWTH}), {:.0} bytes/s (limit {MAX_BYTES})",
        at(100)
    );
    let missing = rows
        .iter()
        .any(|x| x.in_force_ms.is_none() || x.detected_ms.is_none());
    if growth > MAX_GROWTH || at(100) > MAX_BYTES || missing {
        eprintln!("cost or delay exceeds its limit");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
