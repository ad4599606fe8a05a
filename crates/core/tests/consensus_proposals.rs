//! Tests of what a leader takes into its log while nothing commits.

mod cluster;

use std::time::Duration;

use bytes::Bytes;
use cluster::*;
use primrosemast_core::{
    config::ZoneState,
    consensus::*,
    control::{Change, Claim, Command, Settle, ZoneStateChange},
    id::*,
    verdict::Verdict,
};

const KIB: usize = 1024;

/// Returns a group whose followers have full disks, with its leader.
fn stalled(seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::voters(3, seed);
    let leader = cluster.wait_leader();
    cluster.settle();
    let full_until = cluster.now + Duration::from_secs(3_600);
    for i in (0..3).filter(|&i| i != leader) {
        cluster.nodes[i].full_until = full_until;
    }
    (cluster, leader)
}

fn change(id: &str, bytes: usize) -> Command {
    Command::Change(Change {
        change_id: id.into(),
        expected_version: ConfigVersion(0),
        document: Bytes::from(vec![7; bytes]),
    })
}

/// Commands that must not wait for room behind changes.
fn small_commands(number: u64) -> [Command; 3] {
    let request_id = format!("{:0>256}", number);
    let query = QueryId(number);
    [
        Command::Claim(Claim {
            request_id: request_id.clone(),
            query,
            at_ms: 1,
        }),
        Command::Settle(Settle { request_id, query, verdict: Verdict::Ran }),
        Command::SetZone(ZoneStateChange {
            zone: format!("zone-{number}"),
            state: ZoneState::Out,
            after: Some(0),
        }),
    ]
}

/// Proposes a command; whether the leader has taken it.
fn takes(cluster: &mut Cluster, leader: usize, command: &Command) -> bool {
    let token = cluster.propose(leader, command);
    match cluster.outcomes.get(&token) {
        None => true,
        Some(Err(ProposeError::Busy(_))) => false,
        other => panic!("{other:?}"),
    }
}

// Guards against claims, settlements and orders for zones that are refused
// because changes wait to be committed, and against a change of the members
// that is.
#[test]
fn small_commands_pass_while_large_changes_wait() {
    for bytes in [120 * KIB, 900 * KIB, 17_000 * KIB] {
        let (mut cluster, leader) = stalled(1);
        let refused = (0..1_000).find(|n| {
            let id = format!("large-{n}");
            !takes(&mut cluster, leader, &change(&id, bytes))
        });
        assert!(refused.is_some(), "{bytes}");
        for command in small_commands(1) {
            assert!(takes(&mut cluster, leader, &command), "{command:?}");
        }
        let learner = replica(9, 9);
        let token = cluster.token();
        let add = MemberChange::AddLearner(learner);
        cluster.step(leader, ConsensusEvent::ChangeMembers(token, add));
        assert!(!cluster.outcomes.contains_key(&token), "{bytes}");
    }
}

// Guards against many large changes in front of a small command, and against
// a change that is never taken because it alone is larger than the limit.
#[test]
fn large_changes_are_bounded() {
    let limit = ConsensusOptions::default().max_uncommitted_bytes;
    assert!(limit <= 4 << 20);
    let (mut cluster, leader) = stalled(2);
    let mut sum = 0;
    for n in 0..1_000 {
        let command = change(&format!("large-{n}"), 300 * KIB);
        if takes(&mut cluster, leader, &command) {
            sum += command.encode().len() as u64;
        }
    }
    assert!(sum > limit / 2 && sum <= limit, "{sum}");
    let huge = change("huge", 17_000 * KIB);
    assert!(!takes(&mut cluster, leader, &huge));

    let (mut cluster, leader) = stalled(3);
    for command in small_commands(1) {
        assert!(takes(&mut cluster, leader, &command));
    }
    assert!(takes(&mut cluster, leader, &huge));
    assert!(!takes(&mut cluster, leader, &change("next", 300 * KIB)));
}

// Guards against memory that small commands fill without bound.
#[test]
fn small_commands_are_bounded() {
    let (mut cluster, leader) = stalled(4);
    let mut taken: u64 = 0;
    for n in 0..20_000 {
        for command in small_commands(n) {
            if takes(&mut cluster, leader, &command) {
                taken += command.encode().len() as u64;
            }
        }
    }
    assert!(taken > 900 << 10 && taken <= 1 << 20, "{taken}");
    // A change still passes.
    assert!(takes(&mut cluster, leader, &change("large", 300 * KIB)));
}

// Guards against an account that keeps bytes of what has committed.
#[test]
fn the_account_falls_when_commands_commit() {
    let mut cluster = Cluster::voters(3, 5);
    for n in 0..200 {
        let leader = cluster.wait_leader();
        for command in small_commands(n) {
            cluster.propose(leader, &command);
        }
        let id = format!("change-{n}");
        cluster.commit(&change(&id, 500 * KIB));
    }
    cluster.settle();
    let leader = cluster.wait_leader();
    let figures = cluster.figures(leader);
    assert_eq!(figures.uncommitted_bytes, 0);
    assert_eq!(figures.uncommitted_proposals, 0);
    for n in 0..3 {
        let command = change(&format!("again-{n}"), 1_200 * KIB);
        assert!(takes(&mut cluster, leader, &command));
    }
}
