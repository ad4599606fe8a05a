//! Tests that a leader under which nothing commits shows it, and why.

mod cluster;

use std::time::Duration;

use cluster::*;

/// Guards against a control group that stops to commit without a line in the
/// log that tells what it waits for.
#[test]
fn a_leader_logs_that_nothing_commits() {
    let mut cluster = Cluster::voters(3, 1);
    let leader = cluster.wait_leader();
    cluster.settle();
    let full_until = cluster.now + Duration::from_secs(20);
    for i in (0..3).filter(|&i| i != leader) {
        cluster.nodes[i].full_until = full_until;
    }
    let change = cluster.next_change(leader, "waits");
    cluster.propose(leader, &change);
    cluster.logs.clear();
    cluster.run(15_000);

    let stalls: Vec<_> = cluster
        .logs
        .iter()
        .filter(|l| l.starts_with("COMMITS_STALLED"))
        .cloned()
        .collect();
    // After 1, 2, 4 and 8 seconds.
    assert_eq!(stalls.len(), 4, "{stalls:#?}");
    let figures = cluster.figures(leader);
    assert_eq!(figures.last_index, figures.commit + 1);
    assert_eq!(figures.uncommitted_proposals, 1);
    assert!(figures.stalled >= Duration::from_secs(14), "{figures:?}");
    assert!(figures.lags.iter().all(|(_, lag)| *lag == 1), "{figures:?}");
    for part in
        ["proposals=1", "in_flight=", "instance-2", "instance-3", "match="]
    {
        assert!(stalls[3].contains(part), "{part}: {}", stalls[3]);
    }

    cluster.run(10_000);
    let resumed = |l: &&String| l.starts_with("COMMITS_RESUMED");
    assert_eq!(cluster.logs.iter().filter(resumed).count(), 1);
    assert_eq!(cluster.figures(leader).stalled, Duration::ZERO);
}
