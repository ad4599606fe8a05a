//! Traffic between availability zones of a fleet that serves no requests.

#[allow(dead_code)]
mod support;

use std::time::Duration;

use primrosemast_core::message::PeerMessage;
use support::Net;

/// Bytes that the transport adds to a message, computed from the layout of the
/// call (200), its return (80) and its end (44) in Cap'n Proto RPC.
const FRAMING_BYTES: u64 = 324;

/// Most bytes that an instance sends to other zones in a second.
const MAX_BYTES: f64 = 1_024.0;

fn length(message: &PeerMessage) -> usize {
    rmp_serde::to_vec(message).expect("messages can be encoded").len()
}

/// Returns the messages and bytes that an instance sends to other zones in a
/// second, on average.
fn across(size: usize) -> (f64, f64) {
    let mut net = Net::new(size as u64, size, 5, true);
    net.commit(1, 20_000, &[0, 1, 2, 3, 4]);
    net.run(Duration::from_secs(30));
    for node in &mut net.nodes {
        node.across_sent = (0, 0);
        node.membership_sent = (0, 0);
        node.sync_sent = (0, 0);
    }
    net.message_len = Some(length);
    let measured = Duration::from_secs(20);
    net.run(measured);
    let node_seconds = size as f64 * measured.as_secs_f64();
    let sum = |f: fn(&support::Node) -> (u64, u64)| {
        let all = net.nodes.iter().map(f);
        all.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    };
    let (messages, bytes) = sum(|n| n.across_sent);
    let bytes = bytes + messages * FRAMING_BYTES;
    for (name, (m, b)) in [
        ("membership", sum(|n| n.membership_sent)),
        ("sync", sum(|n| n.sync_sent)),
    ] {
        println!(
            "{size} instances, {name}: {:.2} messages, {:.0} bytes a second",
            m as f64 / node_seconds,
            b as f64 / node_seconds
        );
    }
    (messages as f64 / node_seconds, bytes as f64 / node_seconds)
}

// The bytes between zones grew with the rate of comparisons and probes, which
// went to all zones alike.
#[test]
fn an_idle_fleet_sends_little_between_zones() {
    for size in [94, 139, 300] {
        let (messages, bytes) = across(size);
        println!("{size} instances: {messages:.2} messages, {bytes:.0} bytes");
        assert!(
            bytes < MAX_BYTES,
            "{size} instances send {bytes:.0} bytes a second each"
        );
    }
}
