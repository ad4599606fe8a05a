//! Tests of the distribution of the configuration and of the operators' tool,
//! with real processes.

mod recovery_support;

use std::{
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use http::Method;
use primrosemast_standin::{
    client,
    fleet::{FleetOptions, InstanceOptions, wait_for},
};
use recovery_support::{
    TestCluster, ZONES, answers_completely, change_body, submit_until_decided,
};
use serde_json::{Value, json};

/// Guards against an instance that needs its own connections to the control
/// replicas. An instance that is cut off from them must get new configurations
/// and renew its lease through the other entry instances.
#[tokio::test(flavor = "multi_thread")]
async fn instance_cut_off_from_control_follows_its_fellows() {
    let cluster = TestCluster::start(5, 3).await;
    let monitor = cluster.monitor_versions().await;
    cluster.wait_complete_answer(4).await;
    for control in 0..3 {
        cluster.fleet.cut(4, control, true);
    }
    let operator = cluster.operator_addresses()[0];
    for base in 1..=3 {
        let body = change_body(
            &format!("change-{base}"),
            base,
            &cluster.variant(base),
        );
        let reply = client::post(operator, "/v1/changes", &body).await;
        assert_eq!(reply.expect("a reply").body["outcome"], "accepted");
        cluster
            .wait_status(4, "the new version", |s| s["version"] == base + 1)
            .await;
        // Together the three rounds last longer than the lease of 2 s.
        for _ in 0..20 {
            let status = cluster.fleet.status(4).await.expect("status");
            assert_eq!(status["serving"], true, "{status}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    cluster.wait_complete_answer(4).await;
    for control in 0..3 {
        cluster.fleet.cut(4, control, false);
    }
    cluster.wait_version(4).await;
    monitor.check(&cluster).await;
}

/// Returns options for two instances that run only a control replica, and
/// three that only serve callers.
fn dedicated_control() -> FleetOptions {
    let mut options = FleetOptions::spread(3, 0, &ZONES);
    for zone in ZONES {
        options.instances.push(InstanceOptions {
            zone: zone.into(),
            entry: false,
            control: true,
        });
    }
    options
}

/// Guards against query failures while all control replicas are down, and
/// against a change that is accepted without them.
#[tokio::test(flavor = "multi_thread")]
async fn queries_go_on_without_control_replicas() {
    let mut cluster = TestCluster::with_options(dedicated_control()).await;
    let monitor = cluster.monitor_versions().await;
    for i in 0..3 {
        cluster.wait_complete_answer(i).await;
    }
    cluster.fleet.kill(3);
    cluster.fleet.kill(4);
    // Longer than the lease (2 s) and the suspicion time (3 s), so that the
    // others have declared the control instances dead.
    let mut complete = 0;
    for n in 0..60 {
        complete += u32::from(answers_completely(&cluster.fleet, n % 3).await);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(complete, 60, "{}", cluster.fleet.instances()[0].log());
    let body = change_body("without-control", 1, &cluster.variant(1));
    let reply =
        client::post(cluster.operator_addresses()[0], "/v1/changes", &body)
            .await;
    let reply = reply.expect("a reply");
    assert_eq!(reply.body["outcome"], "no_quorum", "{reply:?}");
    assert_eq!(reply.status, 503);
    cluster.fleet.restart(3).expect("restart");
    cluster.fleet.restart(4).expect("restart");
    cluster.wait_version(1).await;
    cluster.expect_accepted(0, "with-control", 1).await;
    cluster.wait_version(2).await;
    monitor.check(&cluster).await;
}

/// Callers that send sequential queries to an instance until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU32>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    fn start(cluster: &TestCluster, i: usize, callers: u32) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU32::new(0));
        let address = cluster.fleet.instances()[i].addresses().caller;
        let tasks = (0..callers).map(|_| {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let path = "/v1/routes/search/query";
                    let reply = client::request(
                        address,
                        Method::POST,
                        path,
                        &[],
                        r#"{"q":1}"#,
                    );
                    if reply.await.is_ok_and(|r| r.status == 200) {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        });
        let tasks = tasks.collect();
        Load { stop, answered, tasks }
    }

    fn answered(&self) -> u32 {
        self.answered.load(Ordering::Relaxed)
    }

    async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("the task");
        }
    }
}

/// Guards against an instance that resumes after a long pause and sends
/// requests according to the configuration from before the pause.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_instance_sends_nothing_to_a_zone_that_is_out() {
    let cluster = TestCluster::start(4, 3).await;
    let monitor = cluster.monitor_versions().await;
    for i in 0..4 {
        cluster.wait_complete_answer(i).await;
    }
    let suspended = cluster.fleet.instances()[3].name().to_owned();
    let state = |status: &Value, name: &str| {
        recovery_support::member(status, name)
            .map_or(Value::Null, |m| m["state"].clone())
    };
    // While the instance is suspended, requests of these callers wait in the
    // process and in its listen queue. They run when it resumes.
    let load = Load::start(&cluster, 3, 8);
    wait_for("load", || async { (load.answered() > 20).then_some(()) })
        .await
        .expect("load");
    cluster.fleet.suspend(3);
    for i in 0..3 {
        let is_dead = |s: &Value| state(s, &suspended) == "dead";
        cluster
            .wait_status(i, "the suspended instance is dead", is_dead)
            .await;
    }
    let out = cluster.site.with_zones_out(&["az-a"]);
    let body = change_body("out", 1, &out);
    let operator = cluster.operator_addresses()[0];
    let reply = submit_until_decided(operator, &body).await;
    assert_eq!(reply.body["outcome"], "accepted");
    for i in 0..3 {
        cluster.wait_status(i, "version 2", |s| s["version"] == 2).await;
        cluster.wait_complete_answer(i).await;
    }
    let in_zone = || cluster.site.targets.iter().filter(|t| t.zone == "az-a");
    wait_for("the zone is quiet", || async {
        let is_quiet = |t: &primrosemast_standin::site::Target| {
            t.searcher.stats().last_request_ms.is_none_or(|ms| ms > 500)
        };
        in_zone().all(is_quiet).then_some(())
    })
    .await
    .expect("a quiet zone");
    in_zone().for_each(|t| t.searcher.reset_stats());
    let before = load.answered();
    cluster.fleet.resume(3);
    for i in 0..4 {
        let is_alive = |s: &Value| state(s, &suspended) == "alive";
        cluster
            .wait_status(i, "the instance is a member again", is_alive)
            .await;
    }
    cluster.wait_version(2).await;
    wait_for("answers after the pause", || async {
        (load.answered() > before + 20).then_some(())
    })
    .await
    .expect("answers");
    load.stop().await;
    let sent: u64 = in_zone().map(|t| t.searcher.stats().requests).sum();
    assert_eq!(sent, 0, "{}", cluster.fleet.instances()[3].log());
    monitor.check(&cluster).await;
}

/// Runs the operators' tool.
async fn run_tool(cluster: &TestCluster, args: &[&str]) -> Output {
    let operators: Vec<String> =
        cluster.operator_addresses().iter().map(ToString::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosemast"));
    command.env("PRIMROSEMAST_OPERATOR", operators.join(",")).args(args);
    tokio::task::spawn_blocking(move || command.output().expect("the tool"))
        .await
        .expect("the tool")
}

/// Runs the tool and expects an exit code; returns its output as JSON.
async fn run_tool_json(
    cluster: &TestCluster,
    args: &[&str],
    code: i32,
) -> Value {
    let mut json_args = vec!["--json"];
    json_args.extend(args);
    let out = run_tool(cluster, &json_args).await;
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    let errors = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(code), "{args:?}: {text} {errors}");
    serde_json::from_str(&text)
        .unwrap_or_else(|e| panic!("{args:?}: {e}: {text} {errors}"))
}

fn write_base(folder: &Path, name: &str, document: &Value) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, document.to_string()).expect("written");
    path
}

/// Guards against a tool that works only with mock servers of the operator
/// API.
#[tokio::test(flavor = "multi_thread")]
async fn operators_tool_works_against_real_daemons() {
    let options = FleetOptions::spread(3, 3, &ZONES);
    let cluster = TestCluster::without_control_group(options).await;
    let folder = cluster.fleet.folder();
    let base = write_base(folder, "base.jsonc", &cluster.site.configuration());
    let base = base.to_str().expect("UTF-8");
    let next = write_base(folder, "next.jsonc", &cluster.variant(1));
    let next = next.to_str().expect("UTF-8");
    let first = cluster.operator_addresses()[0].to_string();

    // An invalid configuration must not create a group.
    let mut invalid = cluster.site.configuration();
    invalid["routes"][0]["shares"][0]["percent"] = json!(99);
    let req = json!({"action": "bootstrap", "configuration": invalid});
    let operator = cluster.operator_addresses()[0];
    let reply = client::post(operator, "/v1/replicas", &req).await;
    assert_eq!(reply.expect("a reply").body["done"], false);

    let args = ["replica", "bootstrap", base, "--operator", &first];
    run_tool_json(&cluster, &args, 0).await;
    cluster.wait_version(1).await;
    // The group exists, so a second one must not be bootstrapped anywhere.
    let third = cluster.operator_addresses()[2].to_string();
    let args = ["replica", "bootstrap", "--operator", &third];
    let refused = run_tool(&cluster, &args).await;
    assert_eq!(refused.status.code(), Some(1), "{refused:?}");

    run_tool_json(&cluster, &["apply", next, "--wait"], 0).await;
    for i in 0..3 {
        let status = cluster.fleet.status(i).await.expect("status");
        assert_eq!(status["version"], 2, "--wait returned too early");
    }
    let args = ["apply", base, "--expected-version", "1"];
    run_tool_json(&cluster, &args, 3).await;

    run_tool_json(&cluster, &["zone", "out", "az-a", "--wait"], 0).await;
    let operator = cluster.operator_addresses()[1];
    let page = client::get(operator, "/v1/configuration").await;
    let page = page.expect("a reply").body;
    assert_eq!(page["version"], 3);
    let zones = &page["configuration"]["availability_zones"];
    assert_eq!(zones[0], json!({"name": "az-a", "state": "out"}));

    let status = run_tool_json(&cluster, &["status"], 0).await;
    let text = status.to_string();
    for instance in cluster.fleet.instances() {
        assert!(text.contains(instance.name()), "{text}");
    }

    cluster.wait_complete_answer(1).await;
    let caller = cluster.fleet.instances()[1].addresses().caller.to_string();
    let args = [
        "query",
        "search",
        "--caller",
        &caller,
        "--request-id",
        "lookup-1",
        "--body",
        r#"{"q":1}"#,
    ];
    let answer = run_tool_json(&cluster, &args, 0).await;
    assert!(answer.to_string().contains("\"answered\":2"), "{answer}");
    let explained = run_tool_json(&cluster, &["explain", "lookup-1"], 0).await;
    assert!(explained.to_string().contains("lookup-1"), "{explained}");
    let unknown = run_tool(&cluster, &["explain", "never-sent"]).await;
    assert_eq!(unknown.status.code(), Some(1), "{unknown:?}");
}
