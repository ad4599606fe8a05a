//! Guards the replicated log against lost, forked or stuck histories.

mod cluster;

use cluster::*;
use primrosemast_core::consensus::*;

/// Guards against a group that cannot be founded or grown.
#[test]
fn a_group_grows_to_five() {
    let mut cluster = Cluster::voters(5, 1);
    let leader = cluster.wait_leader();
    let change = cluster.next_change(leader, "a");
    cluster.commit(&change);
    cluster.settle();
    let status = cluster.status(leader).expect("status");
    assert_eq!(status.members.iter().filter(|m| m.voter).count(), 5);
    assert!(cluster.nodes.iter().all(|n| n.state.version().0 == 1));
    assert_eq!(status.role, Role::Leader);
}
