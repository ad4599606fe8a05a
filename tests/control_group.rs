//! The replicated log with real processes: races of operators, loss of the
//! leader, lost disks, silent partitions, restarts and damaged data.

mod recovery_support;

use std::time::Duration;

use primrosemast_standin::client::Reply;
use recovery_support::{
    Bench, all, change_body, change_until_known, member, replicas, voters,
};
use tokio::task::JoinHandle;

/// Pause between the changes of a race, so that some of them are sent after
/// the leader was killed.
const RACE_STEP: Duration = Duration::from_millis(3);

/// Changes in a race.
const RACERS: u64 = 8;

/// Sends the changes of a race one after the other without waiting for
/// outcomes, each through another instance.
fn race(bench: &Bench, base: u64) -> JoinHandle<Vec<Reply>> {
    let operators = bench.operators();
    let changes: Vec<_> = (0..RACERS)
        .map(|n| {
            let id = format!("race-{base}-{n}");
            let document = bench.variant(base * 100 + n);
            let operator = operators[n as usize % operators.len()];
            (n, operator, change_body(&id, base, &document))
        })
        .collect();
    let racers = changes.into_iter().map(|(n, operator, body)| async move {
        tokio::time::sleep(RACE_STEP * n as u32).await;
        change_until_known(operator, &body).await
    });
    tokio::spawn(all(racers))
}

fn check_race(replies: &[Reply], base: u64) {
    let won = replies.iter().filter(|r| r.body["outcome"] == "accepted");
    assert_eq!(won.count(), 1, "{replies:#?}");
    for reply in replies {
        assert_eq!(reply.body["version"], base + 1, "{reply:?}");
    }
}

/// Sends the changes of a race again, each through another instance.
async fn resend(bench: &Bench, base: u64, first: &[Reply]) {
    let operators = bench.operators();
    for (n, first) in first.iter().enumerate() {
        let id = format!("race-{base}-{n}");
        let document = bench.variant(base * 100 + n as u64);
        let body = change_body(&id, base, &document);
        let other = operators[(n + 1) % operators.len()];
        let again = change_until_known(other, &body).await;
        assert_eq!(again.body["outcome"], first.body["outcome"], "{id}");
        assert_eq!(again.body["version"], first.body["version"], "{id}");
    }
}

/// Guards against two accepted changes of one version, a lost accepted
/// change, and a second outcome of a resent change, when the leader is
/// killed during the race and all replicas restart later.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_eight_racing_changes_is_accepted() {
    let mut bench = Bench::start(4, 3).await;
    let watch = bench.watch();
    let mut outcomes = Vec::new();
    for base in 1..=3 {
        let leader = bench.leader().await;
        let racing = race(&bench, base);
        // Another moment of the race in each round.
        tokio::time::sleep(RACE_STEP * 2 * base as u32).await;
        bench.fleet.kill(leader);
        tokio::time::sleep(Duration::from_millis(500)).await;
        bench.fleet.restart(leader).expect("restart");
        let replies = racing.await.expect("the race");
        check_race(&replies, base);
        bench.version(base + 1).await;
        resend(&bench, base, &replies).await;
        outcomes.push(replies);
    }
    for i in 0..3 {
        bench.fleet.kill(i);
    }
    for i in 0..3 {
        bench.fleet.restart(i).expect("restart");
    }
    bench.version(4).await;
    for (base, replies) in (1..).zip(&outcomes) {
        resend(&bench, base, replies).await;
    }
    watch.check();
}

/// Guards against a replica that votes with the identity that it had before
/// its disk was lost, and against lost changes when a second instance fails
/// right after the repair.
#[tokio::test(flavor = "multi_thread")]
async fn replica_with_a_lost_disk_returns_as_a_new_one() {
    let mut bench = Bench::start(4, 3).await;
    let watch = bench.watch();
    let old = bench.fleet.status(2).await.expect("status");
    let old_voters = voters(&old);
    let name = bench.fleet.instances()[2].name().to_owned();
    let old_id = member(&old, &name).unwrap()["control"].as_u64().unwrap();
    for base in 1..=5 {
        bench.accept(0, &format!("before-{base}"), base).await;
    }
    bench.fleet.kill(2);
    std::fs::remove_dir_all(bench.fleet.data_folder(2)).expect("removed");
    bench.accept(1, "meanwhile", 6).await;
    watch.forget(2);
    bench.fleet.restart(2).expect("restart");
    let repaired = bench
        .until(0, "the group has three voters without the old one", |s| {
            let now = voters(s);
            now.len() == 3 && !now.contains(&old_id)
        })
        .await;
    assert!(replicas(&repaired, false).is_empty());
    let kept = voters(&repaired);
    assert_eq!(kept.iter().filter(|v| old_voters.contains(v)).count(), 2);
    // The second failure follows at once.
    bench.fleet.kill(0);
    bench.accept(3, "after", 7).await;
    bench.version(8).await;
    for base in 1..=5 {
        let id = format!("before-{base}");
        let reply = bench.change(1, &id, base, base + 1).await;
        assert_eq!(reply.body["outcome"], "accepted", "{id}");
        assert_eq!(reply.body["version"], base + 1, "{id}");
    }
    watch.check();
}
