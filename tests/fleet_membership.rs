//! Membership with real processes: crashes, announced departures and a
//! misleading platform list.

mod recovery_support;

use primrosemast_standin::{
    fleet::{FleetOptions, wait_for},
    platform::{List, ListEntry, Platform},
};
use recovery_support::{TestCluster, ZONES, member};
use serde_json::{Value, json};

/// Whether a status shows a member in a state.
fn shows(status: &Value, name: &str, state: &str) -> bool {
    member(status, name).is_some_and(|m| m["state"] == state)
}

/// Whether every target has a home, and none has the named one.
fn homes_without(status: &Value, name: &str) -> bool {
    let targets = status["targets"].as_array().expect("targets");
    !targets.is_empty()
        && targets.iter().all(|t| t["home"].is_string() && t["home"] != name)
}

/// How many targets have a home.
fn homes_at(status: &Value, name: &str) -> usize {
    let targets = status["targets"].as_array().expect("targets");
    targets.iter().filter(|t| t["home"] == name).count()
}

/// An instance that is the home of a target.
async fn some_home(bench: &TestCluster) -> usize {
    let instances = bench.fleet.instances();
    let status = bench.fleet.status(0).await.expect("status");
    (0..instances.len())
        .rev()
        .find(|&i| homes_at(&status, instances[i].name()) > 0)
        .expect("a home")
}

/// Guards against targets that nobody serves after a crash of their home.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_instance_is_dead_and_its_targets_get_new_homes() {
    let mut bench = TestCluster::start(4, 3).await;
    for i in 0..4 {
        bench.wait_complete_answer(i).await;
    }
    let crashed = some_home(&bench).await;
    let name = bench.fleet.instances()[crashed].name().to_owned();
    bench.fleet.kill(crashed);
    for i in (0..4).filter(|&i| i != crashed) {
        bench
            .wait_status(i, "dead, with its targets elsewhere", |s| {
                shows(s, &name, "dead") && homes_without(s, &name)
            })
            .await;
        bench.wait_complete_answer(i).await;
    }
    bench.fleet.restart(crashed).expect("restart");
    for i in 0..4 {
        bench
            .wait_status(i, "alive again, and a home", |s| {
                shows(s, &name, "alive") && homes_at(s, &name) > 0
            })
            .await;
        bench.wait_complete_answer(i).await;
    }
}

/// Guards against a departure that the others only notice after the
/// suspicion timeout.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_instance_announces_that_it_leaves() {
    let mut bench = TestCluster::start(4, 3).await;
    for i in 0..4 {
        bench.wait_complete_answer(i).await;
    }
    let leaving = some_home(&bench).await;
    let name = bench.fleet.instances()[leaving].name().to_owned();
    bench.fleet.terminate(leaving);
    for i in (0..4).filter(|&i| i != leaving) {
        // It never is suspect or dead before it is known to leave.
        bench
            .wait_status(i, "leaving, with its targets elsewhere", |s| {
                let state = &member(s, &name).expect("a member")["state"];
                assert!(state != "suspect" && state != "dead", "{state}");
                shows(s, &name, "leaving") && homes_without(s, &name)
            })
            .await;
    }
    let code = bench.fleet.wait_exit(leaving).await.expect("it ends");
    assert_eq!(code, Some(0));
    for i in (0..4).filter(|&i| i != leaving) {
        bench.wait_complete_answer(i).await;
    }
}

/// Guards against trust in the platform's list: an instance that the list
/// omits, or wrongly calls leaving, goes on as a member and serves.
#[tokio::test(flavor = "multi_thread")]
async fn platform_list_removes_no_live_instance() {
    let platform = Platform::start(List::default()).await.expect("platform");
    let mut options = FleetOptions::spread(4, 3, &ZONES);
    options.settings = json!({
        "platform_list": format!("http://{}/list", platform.address()),
        "timing": {"platform_list_interval_ms": 100},
    });
    let bench = TestCluster::with_options(options).await;
    let instances = bench.fleet.instances();
    let listed = |i: usize, leaving| ListEntry {
        address: instances[i].addresses().peer,
        leaving,
    };
    let name = instances[3].name().to_owned();
    // Omits instance 3.
    let omitting = (0..3).map(|i| listed(i, false)).collect();
    // Calls it leaving.
    let mut naming: Vec<ListEntry> =
        (0..3).map(|i| listed(i, false)).collect();
    naming.push(listed(3, true));
    for list in [omitting, naming] {
        platform.set(List { instances: list, targets: Vec::new() });
        // 30 readings of the list by each instance.
        for _ in 0..30 {
            for i in 0..4 {
                let status = bench.fleet.status(i).await.expect("status");
                let state = &member(&status, &name).expect("known")["state"];
                assert!(state != "dead", "at {i}: {status}");
            }
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
        let status = bench.fleet.status(3).await.expect("status");
        assert_eq!(status["ready"], true, "{status}");
        assert_eq!(status["draining"], false, "{status}");
        for i in 0..4 {
            bench.wait_complete_answer(i).await;
        }
    }
    let healthy = (0..4).map(|i| listed(i, false)).collect();
    platform.set(List { instances: healthy, targets: Vec::new() });
    wait_for("all are alive", || async {
        for i in 0..4 {
            let status = bench.fleet.status(i).await.ok()?;
            shows(&status, &name, "alive").then_some(())?;
        }
        Some(())
    })
    .await
    .expect("all are alive");
}
