/*!
Cost of membership and configuration sync by size of the fleet.

Runs both reducers of every node in one process with simulated time and
measures messages, bytes, processor time and delays. Exits with an error when
the bytes per node and second grow with the fleet or exceed the design limit.
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

const SIZES: [usize; 6] = [3, 10, 30, 100, 300, 1_000];

/// Limit of the design on control-plane bytes per node and second.
const MAX_BYTES: f64 = 8_192.0;

/// Bytes at 100 nodes may be at most this many times those at 10 nodes.
const MAX_GROWTH: f64 = 2.0;

/// Length of a document of today's sizes.
const DOCUMENT: usize = 20_000;

/// Simulated time over which the steady cost is measured.
const SPAN: Duration = Duration::from_secs(20);

/// Simulated time after which a delay counts as missing.
const PATIENCE: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: f64,
    bytes: f64,
    /// Bytes of the node that sends most.
    most: f64,
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
    let most = sent.iter().map(|x| x.1).max().unwrap_or(0);
    Traffic {
        messages: sum(|x| x.0),
        bytes: sum(|x| x.1),
        most: most as f64 / seconds,
    }
}

fn millis(from: primrosemast_core::time::Time, net: &Net) -> f64 {
    net.now.since(from).as_secs_f64() * 1e3
}

/// State of both reducers: the table in each of them and fixed parts. The
/// document is counted once.
fn memory(size: usize) -> usize {
    let name = member(size, None).name.len();
    let record = size_of::<Member>() + name;
    // Besides the records: details, probe order, queued updates, fleet and
    // the times of the last messages.
    let beside = 56 + 8 + 16 + 24 + 16;
    size_of::<Membership>()
        + size_of::<ConfigSync>()
        + size * (2 * record + beside)
        + DOCUMENT
}

fn run(size: usize) -> Row {
    let mut net = Net::new(size as u64, size, 3, true);
    net.commit(1, DOCUMENT, &[0, 1, 2]);
    net.run(Duration::from_secs(30));
    for node in &mut net.nodes {
        node.membership_sent = (0, 0);
        node.sync_sent = (0, 0);
    }
    net.message_len = Some(length);
    net.run(SPAN);
    let seconds = SPAN.as_secs_f64();
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
    net.commit(2, DOCUMENT, &[0, 1, 2]);
    let in_force = |net: &Net| (0..size).all(|x| net.version(x) == 2);
    let in_force_ms =
        net.run_until(PATIENCE, in_force).then(|| millis(start, &net));
    let after: u64 = bytes(&net);

    let start = net.now;
    net.crash(size - 1);
    let dead = |net: &Net| net.all_observe(size - 1, MemberState::Dead);
    let detected_ms =
        net.run_until(PATIENCE, dead).then(|| millis(start, &net));
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

/// Exponent `b` of the power law `a * size^b` that fits best.
fn slope(rows: &[Row], value: impl Fn(&Row) -> f64) -> f64 {
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
    let show = |x: Option<f64>| x.map_or("none".into(), |x| format!("{x:.0}"));
    let Row { membership, sync, .. } = row;
    println!(
        "{:>5} {:>7.2} {:>7.0} {:>7.0} {:>7.2} {:>7.0} {:>8.0} {:>7.1} \
         {:>7.1} {:>7} {:>8} {:>10.0} {:>9}",
        row.size,
        membership.messages,
        membership.bytes,
        membership.most,
        sync.messages,
        sync.bytes,
        sync.most,
        row.membership_us,
        row.sync_us,
        row.memory / 1_024,
        show(row.in_force_ms),
        row.push_bytes,
        show(row.detected_ms),
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
        slope(&rows, |x| x.membership.bytes),
        slope(&rows, |x| x.sync.bytes),
        slope(&rows, total),
        slope(&rows, |x| x.membership_us + x.sync_us),
        slope(&rows, |x| x.memory as f64),
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
