//! Tests that entries larger than a message are committed over slow links.
//!
//! All sizes are a sixteenth of the usual ones, and so is the bandwidth.

mod cluster;

use std::time::Duration;

use bytes::Bytes;
use cluster::{links::Links, *};
use primrosemast_core::{
    consensus::ConsensusOptions,
    control::{Change, Command},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Bytes of a frame: a sixteenth of 16 KiB.
const FRAME_BYTES: u64 = 1_024;

fn options() -> ConsensusOptions {
    ConsensusOptions {
        max_append_bytes: 16 * 1024,
        snapshot_chunk_bytes: 4 * 1024,
        ..ConsensusOptions::default()
    }
}

fn large_change(cluster: &Cluster, leader: usize, size: usize) -> Command {
    let version = cluster.nodes[leader].state.version();
    Command::Change(Change {
        change_id: format!("{version:?}-{size}"),
        expected_version: version,
        document: Bytes::from(vec![b'x'; size]),
    })
}

fn elections(cluster: &Cluster) -> usize {
    let started = |l: &&String| l.starts_with("ELECTION_STARTED");
    cluster.logs.iter().filter(started).count()
}

/// Commits changes of the given sizes one after another, and returns the
/// bytes on the links for each byte that a follower lacks.
fn commit_all(
    cluster: &mut Cluster,
    sizes: &[usize],
    disk: Duration,
    repeats: u32,
) -> f64 {
    let links = cluster.links.as_mut().expect("links");
    links.bytes = 0;
    let bandwidth = links.bandwidth;
    let mut least = 0;
    for &size in sizes {
        let leader = cluster.wait_leader();
        let change = large_change(cluster, leader, size);
        let start = cluster.now;
        let index = cluster.commit(&change);
        let crossing = Duration::from_secs_f64(size as f64 / bandwidth as f64);
        let bound = crossing * repeats + disk * 4 + Duration::from_secs(4);
        let taken = cluster.now.since(start);
        assert!(
            taken <= bound,
            "seed {}: {size} bytes at {bandwidth} bytes per second \
             took {taken:?}, allowed {bound:?}",
            cluster.seed()
        );
        // Every follower has it before the next one.
        cluster.wait("all have it", |c| {
            c.nodes.iter().all(|n| n.applied >= index)
        });
        least += size * (cluster.nodes.len() - 1);
    }
    let bytes = cluster.links.as_ref().expect("links").bytes;
    bytes as f64 / least as f64
}

/// Guards against an entry that is sent again whole, every 300 ms, while it
/// is still being received, so that it never arrives.
#[test]
fn a_large_entry_crosses_a_slow_link_once() {
    let mut cluster = Cluster::with_options(3, 1, options());
    cluster.add_all_voters();
    cluster.settle();
    cluster.links = Some(Links::new(128 * 1024, FRAME_BYTES));
    cluster.logs.clear();
    let ratio =
        commit_all(&mut cluster, &[1 << 20], Duration::from_millis(3), 1);
    assert!(ratio < 1.2, "{ratio} bytes are sent for each byte");
    assert_eq!(elections(&cluster), 0);
}

/// Guards against a follower that holds an entry, but waits for its disk, and
/// is sent the entry again all the time.
#[test]
fn an_entry_is_not_sent_again_to_a_slow_disk() {
    let mut cluster = Cluster::with_options(3, 2, options());
    cluster.add_all_voters();
    cluster.settle();
    cluster.links = Some(Links::new(2 << 20, FRAME_BYTES));
    for node in &mut cluster.nodes {
        node.slow_disk_us = 8_000_000;
    }
    cluster.logs.clear();
    let ratio =
        commit_all(&mut cluster, &[1 << 20], Duration::from_secs(8), 1);
    assert!(ratio < 1.2, "{ratio} bytes are sent for each byte");
    assert_eq!(elections(&cluster), 0);
}

/// Guards against entries of any size that are not committed, or only after
/// many times their bytes were sent, under random schedules.
#[test]
fn entries_of_all_sizes_commit_under_random_schedules() {
    for seed in 0..60 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let count = if rng.random_bool(0.3) { 5 } else { 3 };
        let mut cluster = Cluster::with_options(count, seed, options());
        cluster.add_all_voters();
        cluster.settle();
        let mut links =
            Links::new(rng.random_range(64..2_048) * 1024, FRAME_BYTES);
        links.lost_percent = rng.random_range(0..=10);
        links.cut_percent = rng.random_range(0..=20);
        cluster.links = Some(links);
        cluster.faults.drop_percent = rng.random_range(0..=3);
        cluster.faults.delay_us = (300, rng.random_range(1_500..60_000));
        let disk_us = rng.random_range(0..400_000);
        for node in &mut cluster.nodes {
            node.slow_disk_us = disk_us;
        }
        let sizes: Vec<usize> =
            (0..4).map(|_| 128 << rng.random_range(0..=13)).collect();
        cluster.logs.clear();
        let disk = Duration::from_micros(disk_us);
        let ratio = commit_all(&mut cluster, &sizes, disk, 4);
        let large = sizes.iter().any(|s| *s >= 128 * 1024);
        assert!(!large || ratio < 4.0, "seed {seed}: {ratio}, {sizes:?}");
        let elections = elections(&cluster);
        assert!(elections <= 2, "seed {seed}: {elections} elections");
    }
}
