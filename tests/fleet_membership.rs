//! Membership with daemon processes: crashes, announced departures and a
//! misleading platform list.

mod recovery_support;

use primrosemast_standin::{
    fleet::{FleetOptions, wait_for},
    platform::{List, ListEntry, Platform},
};
use recovery_support::{TestCluster, ZONES, member};
use serde_json::{Value, json};

/// Returns whether a member has this state in a status.
fn has_state(status: &Value, name: &str, state: &str) -> bool {
    member(status, name).is_some_and(|m| m["state"] == state)
}

/// Returns whether every target has a home other than this instance.
fn all_homes_elsewhere(status: &Value, name: &str) -> bool {
    let targets = status["targets"].as_array().expect("targets");
    !targets.is_empty()
        && targets.iter().all(|t| t["home"].is_string() && t["home"] != name)
}

/// Returns how many targets have this instance as their home.
fn home_count(status: &Value, name: &str) -> usize {
    let targets = status["targets"].as_array().expect("targets");
    targets.iter().filter(|t| t["home"] == name).count()
}

/// Returns an instance that is the home of a target.
async fn find_home(cluster: &TestCluster) -> usize {
    let instances = cluster.fleet.instances();
    let status = cluster.fleet.status(0).await.expect("status");
    (0..instances.len())
        .rev()
        .find(|&i| home_count(&status, instances[i].name()) > 0)
        .expect("a home")
}

/// Starts a fleet that reads an empty list of the platform.
async fn start_with_list() -> (Platform, TestCluster) {
    let platform = Platform::start(List::default()).await.expect("platform");
    let mut options = FleetOptions::spread(4, 3, &ZONES);
    options.settings = json!({
        "platform_list": format!("http://{}/list", platform.address()),
        "timing": {"platform_list_interval_ms": 100},
    });
    let cluster = TestCluster::with_options(options).await;
    (platform, cluster)
}

/// Guards against targets that stay without a home after their home crashed.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_instance_is_dead_and_its_targets_get_new_homes() {
    let mut cluster = TestCluster::start(4, 3).await;
    for i in 0..4 {
        cluster.wait_complete_answer(i).await;
    }
    let crashed = find_home(&cluster).await;
    let name = cluster.fleet.instances()[crashed].name().to_owned();
    cluster.fleet.kill(crashed);
    for i in (0..4).filter(|&i| i != crashed) {
        cluster
            .wait_status(i, "dead, with its targets elsewhere", |s| {
                has_state(s, &name, "dead") && all_homes_elsewhere(s, &name)
            })
            .await;
        cluster.wait_complete_answer(i).await;
    }
    cluster.fleet.restart(crashed).expect("restart");
    for i in 0..4 {
        cluster
            .wait_status(i, "alive again, and a home", |s| {
                has_state(s, &name, "alive") && home_count(s, &name) > 0
            })
            .await;
        cluster.wait_complete_answer(i).await;
    }
}

/// Guards against a departure that the others only notice after the
/// suspicion timeout.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_instance_announces_that_it_leaves() {
    let mut cluster = TestCluster::start(4, 3).await;
    for i in 0..4 {
        cluster.wait_complete_answer(i).await;
    }
    let leaving = find_home(&cluster).await;
    let name = cluster.fleet.instances()[leaving].name().to_owned();
    cluster.fleet.terminate(leaving);
    for i in (0..4).filter(|&i| i != leaving) {
        // The instance is not suspect or dead before it is known to leave.
        cluster
            .wait_status(i, "leaving, with its targets elsewhere", |s| {
                let state = &member(s, &name).expect("a member")["state"];
                assert!(state != "suspect" && state != "dead", "{state}");
                has_state(s, &name, "leaving") && all_homes_elsewhere(s, &name)
            })
            .await;
    }
    let code = cluster.fleet.wait_exit(leaving).await.expect("it exits");
    assert_eq!(code, Some(0));
    for i in (0..4).filter(|&i| i != leaving) {
        cluster.wait_complete_answer(i).await;
    }
}

/// Guards against an instance that stops serving or is removed as a member
/// because the platform list omits it or wrongly shows it as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn platform_list_removes_no_live_instance() {
    let (platform, cluster) = start_with_list().await;
    let instances = cluster.fleet.instances();
    let entry = |i: usize, leaving| ListEntry {
        address: instances[i].addresses().peer,
        leaving,
    };
    let name = instances[3].name().to_owned();
    // Without instance 3.
    let incomplete = (0..3).map(|i| entry(i, false)).collect();
    // With instance 3 as leaving.
    let mut misleading: Vec<ListEntry> =
        (0..3).map(|i| entry(i, false)).collect();
    misleading.push(entry(3, true));
    for list in [incomplete, misleading] {
        platform.set(List { instances: list, targets: Vec::new() });
        // Each instance reads the list 30 times meanwhile.
        for _ in 0..30 {
            for i in 0..4 {
                let status = cluster.fleet.status(i).await.expect("status");
                let state = &member(&status, &name).expect("known")["state"];
                assert!(state != "dead", "at {i}: {status}");
            }
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
        let status = cluster.fleet.status(3).await.expect("status");
        assert_eq!(status["ready"], true, "{status}");
        assert_eq!(status["draining"], false, "{status}");
        for i in 0..4 {
            cluster.wait_complete_answer(i).await;
        }
    }
    let healthy = (0..4).map(|i| entry(i, false)).collect();
    platform.set(List { instances: healthy, targets: Vec::new() });
    wait_for("all are alive", || async {
        for i in 0..4 {
            let status = cluster.fleet.status(i).await.ok()?;
            has_state(&status, &name, "alive").then_some(())?;
        }
        Some(())
    })
    .await
    .expect("all are alive");
}

/// Guards against a failure of the platform that is read as an empty list, so
/// that a leaving target gets new work again.
#[tokio::test(flavor = "multi_thread")]
async fn a_failing_platform_list_takes_nothing_back() {
    let (platform, cluster) = start_with_list().await;
    for i in 0..4 {
        cluster.wait_complete_answer(i).await;
    }
    let address = cluster.site.targets[0].proxy.address();
    let leaving = ListEntry { address, leaving: true };
    platform.set(List { instances: Vec::new(), targets: vec![leaving] });
    let is_leaving = |status: &Value| {
        let targets = status["targets"].as_array().expect("targets");
        targets.iter().any(|t| t["report"]["state"] == "leaving")
    };
    let known = wait_for("a leaving target", || async {
        for i in 0..4 {
            let status = cluster.fleet.status(i).await.ok()?;
            if is_leaving(&status) {
                return Some(i);
            }
        }
        None
    });
    let home = known.await.expect("a home that knows it");
    platform.set_failing(true);
    // The instance reads the list 10 times meanwhile.
    for _ in 0..10 {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        let status = cluster.fleet.status(home).await.expect("status");
        assert!(is_leaving(&status), "{status}");
    }
}
