//! The replicated log with daemon processes: concurrent changes, loss of the
//! leader, lost disks, silent partitions, restarts and damaged data.

mod recovery_support;

use std::{
    net::SocketAddr,
    process::{Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use http::Method;
use primrosemast_standin::{
    client::{self, Reply},
    fleet::wait_for,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use recovery_support::{
    TestCluster, VersionMonitor, change_body, join_all, member, replicas,
    segment_files, submit_until_decided, voters,
};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Interval between the changes of a race, so that some of them are sent after
/// the leader was killed.
const RACE_INTERVAL: Duration = Duration::from_millis(3);

/// Number of changes in a race.
const RACING_CHANGES: u64 = 8;

/// Sends changes that are based on the same version one after the other
/// without waiting for outcomes, each through another instance.
fn start_race(cluster: &TestCluster, base: u64) -> JoinHandle<Vec<Reply>> {
    let operators = cluster.operator_addresses();
    let changes: Vec<_> = (0..RACING_CHANGES)
        .map(|n| {
            let id = format!("race-{base}-{n}");
            let document = cluster.variant(base * 100 + n);
            let operator = operators[n as usize % operators.len()];
            (n, operator, change_body(&id, base, &document))
        })
        .collect();
    let sends = changes.into_iter().map(|(n, operator, body)| async move {
        tokio::time::sleep(RACE_INTERVAL * n as u32).await;
        submit_until_decided(operator, &body).await
    });
    tokio::spawn(join_all(sends))
}

fn check_race(replies: &[Reply], base: u64) {
    let accepted = replies.iter().filter(|r| r.body["outcome"] == "accepted");
    assert_eq!(accepted.count(), 1, "{replies:#?}");
    for reply in replies {
        assert_eq!(reply.body["version"], base + 1, "{reply:?}");
    }
}

/// Sends the changes of a race again, each through another instance.
async fn resend(cluster: &TestCluster, base: u64, first: &[Reply]) {
    let operators = cluster.operator_addresses();
    for (n, first) in first.iter().enumerate() {
        let id = format!("race-{base}-{n}");
        let document = cluster.variant(base * 100 + n as u64);
        let body = change_body(&id, base, &document);
        let other = operators[(n + 1) % operators.len()];
        let again = submit_until_decided(other, &body).await;
        assert_eq!(again.body["outcome"], first.body["outcome"], "{id}");
        assert_eq!(again.body["version"], first.body["version"], "{id}");
    }
}

/// Guards against two accepted changes of one version, a lost accepted
/// change, and a different outcome of a resent change, when the leader is
/// killed during concurrent changes and all replicas restart later.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_eight_racing_changes_is_accepted() {
    let mut cluster = TestCluster::start(4, 3).await;
    let monitor = cluster.monitor_versions().await;
    let mut outcomes = Vec::new();
    for base in 1..=3 {
        let leader = cluster.leader().await;
        let race = start_race(&cluster, base);
        // Kills the leader later in the race in each round.
        tokio::time::sleep(RACE_INTERVAL * 2 * base as u32).await;
        cluster.fleet.kill(leader);
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster.fleet.restart(leader).expect("restart");
        let replies = race.await.expect("the race");
        check_race(&replies, base);
        cluster.wait_version(base + 1).await;
        resend(&cluster, base, &replies).await;
        outcomes.push(replies);
    }
    for i in 0..3 {
        cluster.fleet.kill(i);
    }
    for i in 0..3 {
        cluster.fleet.restart(i).expect("restart");
    }
    cluster.wait_version(4).await;
    for (base, replies) in (1..).zip(&outcomes) {
        resend(&cluster, base, replies).await;
    }
    monitor.check(&cluster).await;
}

/// Guards against a replica that votes with the identity that it had before
/// its disk was lost, and against lost changes when a second instance fails
/// directly after the repair.
#[tokio::test(flavor = "multi_thread")]
async fn replica_with_a_lost_disk_returns_as_a_new_one() {
    let mut cluster = TestCluster::start(4, 3).await;
    let monitor = cluster.monitor_versions().await;
    let old = cluster.fleet.status(2).await.expect("status");
    let old_voters = voters(&old);
    let name = cluster.fleet.instances()[2].name().to_owned();
    let old_id = member(&old, &name).unwrap()["control"].as_u64().unwrap();
    for base in 1..=5 {
        cluster.expect_accepted(0, &format!("before-{base}"), base).await;
    }
    cluster.fleet.kill(2);
    std::fs::remove_dir_all(cluster.fleet.data_folder(2)).expect("removed");
    cluster.expect_accepted(1, "meanwhile", 6).await;
    monitor.reset(2);
    cluster.fleet.restart(2).expect("restart");
    let is_repaired = |s: &Value| {
        let now = voters(s);
        now.len() == 3 && !now.contains(&old_id)
    };
    let description = "the group has three voters without the old one";
    let repaired = cluster.wait_status(0, description, is_repaired).await;
    // The leader lists a voter before the others have the change. Until then,
    // two voters remain, and the loss of one of them stops the group.
    for i in [1, 2] {
        cluster.wait_status(i, description, is_repaired).await;
    }
    assert!(replicas(&repaired, false).is_empty());
    let kept = voters(&repaired);
    assert_eq!(kept.iter().filter(|v| old_voters.contains(v)).count(), 2);
    // A second instance fails directly after the repair.
    cluster.fleet.kill(0);
    cluster.expect_accepted(3, "after", 7).await;
    cluster.wait_version(8).await;
    for base in 1..=5 {
        let id = format!("before-{base}");
        let reply = cluster.submit_change(1, &id, base, base + 1).await;
        assert_eq!(reply.body["outcome"], "accepted", "{id}");
        assert_eq!(reply.body["version"], base + 1, "{id}");
    }
    monitor.check(&cluster).await;
}

/// Checks that an isolated instance accepts no change, is not ready and
/// refuses a query.
async fn check_isolated(cluster: &TestCluster, i: usize, base: u64) {
    let body = change_body("isolated", base, &cluster.variant(900));
    let change =
        client::post(cluster.operator_addresses()[i], "/v1/changes", &body)
            .await;
    let outcome = change.expect("a reply").body["outcome"].clone();
    assert!(outcome == "no_quorum" || outcome == "unknown", "{outcome}");
    cluster.wait_status(i, "not ready", |s| s["ready"] == false).await;
    let status = cluster.fleet.status(i).await.expect("status");
    assert_eq!(status["serving"], false);
    let caller = cluster.fleet.instances()[i].addresses().caller;
    let ready = client::get(caller, "/ready").await.expect("a reply");
    assert_eq!(ready.status, 503);
    let query = cluster.fleet.query(i, "search", &[], &json!({})).await;
    let query = query.expect("a reply");
    assert_eq!(query.status, 503, "{query:?}");
    assert_eq!(query.body["verdict"], "not_run", "{query:?}");
}

/// Isolates an instance, changes the configuration through the others, and
/// heals the partition.
async fn run_partition(cluster: &TestCluster, i: usize) {
    let monitor = cluster.monitor_versions().await;
    let other = (i + 1) % 3;
    cluster.fleet.isolate(i, true);
    tokio::join!(
        async {
            cluster.expect_accepted(other, "during-1", 1).await;
            cluster.expect_accepted(3, "during-2", 2).await;
        },
        check_isolated(cluster, i, 1),
    );
    let isolated = cluster.fleet.status(i).await.expect("status");
    assert_eq!(
        isolated["version"], 1,
        "an isolated instance received version 2"
    );
    cluster.fleet.isolate(i, false);
    cluster.wait_version(3).await;
    cluster.wait_complete_answer(i).await;
    // The change proposed by the isolated instance is not applied later.
    cluster.expect_accepted(i, "after", 3).await;
    cluster.wait_version(4).await;
    monitor.check(cluster).await;
}

/// Guards against a follower that continues to serve an old configuration
/// behind a silent partition, or reports it after the partition has healed.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_follower_refuses_and_returns_with_the_newest_version() {
    let cluster = TestCluster::start(4, 3).await;
    let follower = (cluster.leader().await + 1) % 3;
    run_partition(&cluster, follower).await;
}

/// Guards against a leader that accepts changes behind a silent partition.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_leader_accepts_nothing() {
    let cluster = TestCluster::start(4, 3).await;
    let leader = cluster.leader().await;
    run_partition(&cluster, leader).await;
}

/// Guards against a leader that is not replaced although its messages reach no
/// other instance, or no message of another instance reaches it.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_is_cut_one_way_is_replaced() {
    let cluster = TestCluster::start(4, 3).await;
    let monitor = cluster.monitor_versions().await;
    for (round, outgoing) in [(0, true), (1, false)] {
        let leader = cluster.leader().await;
        let cut = |cut| {
            for other in (0..4).filter(|&o| o != leader) {
                let (from, to) =
                    if outgoing { (leader, other) } else { (other, leader) };
                cluster.fleet.cut_one_way(from, to, cut);
            }
        };
        cut(true);
        let base = 1 + 2 * round;
        let other = (leader + 1) % 3;
        cluster.expect_accepted(other, &format!("cut-{round}-1"), base).await;
        cluster.expect_accepted(3, &format!("cut-{round}-2"), base + 1).await;
        let changed = cluster.leader().await;
        assert_ne!(changed, leader, "outgoing {outgoing}");
        cut(false);
        cluster.wait_version(base + 2).await;
    }
    monitor.check(&cluster).await;
}

fn folder_bytes(folder: &std::path::Path) -> u64 {
    std::fs::read_dir(folder)
        .expect("the data folder")
        .map(|e| e.and_then(|e| e.metadata()).expect("an entry").len())
        .sum()
}

/// Guards against a log that grows without bound, and against instances that
/// fail to restart after hundreds of changes.
#[tokio::test(flavor = "multi_thread")]
async fn instances_restart_after_hundreds_of_changes() {
    let mut cluster = TestCluster::start(4, 3).await;
    let monitor = cluster.monitor_versions().await;
    let operator = cluster.operator_addresses()[cluster.leader().await];
    let mut client = client::Client::connect(operator).await.expect("client");
    for base in 1..=300 {
        let id = format!("change-{base}");
        let body = change_body(&id, base, &cluster.variant(base % 7));
        let headers = [("content-type", "application/json")];
        let reply = client
            .send(Method::POST, "/v1/changes", &headers, body.to_string())
            .await
            .expect("a reply");
        // The reply asks for a resend if the disks take too long to sync.
        let reply = match reply.body["outcome"] == "unknown" {
            true => submit_until_decided(operator, &body).await,
            false => reply,
        };
        assert_eq!(reply.body["version"], base + 1, "{reply:?}");
    }
    cluster.wait_version(301).await;
    for i in 0..3 {
        let folder = cluster.fleet.data_folder(i);
        let files = segment_files(&folder).len();
        let bytes = folder_bytes(&folder);
        assert!(files <= 2, "{files} segments");
        assert!(bytes <= 5 << 20, "{bytes} bytes");
    }
    cluster.fleet.kill(1);
    cluster.fleet.restart(1).expect("restart");
    cluster.wait_version(301).await;
    cluster.wait_complete_answer(1).await;
    for i in 0..4 {
        cluster.fleet.kill(i);
    }
    // Instance 3 has no data folder, so it restarts without a configuration.
    monitor.reset(3);
    for i in 0..4 {
        cluster.fleet.restart(i).expect("restart");
    }
    cluster.wait_version(301).await;
    for i in 0..4 {
        cluster.wait_complete_answer(i).await;
    }
    let again = cluster.submit_change(2, "change-17", 17, 17 % 7).await;
    assert_eq!(again.body["outcome"], "accepted");
    assert_eq!(again.body["version"], 18);
    monitor.check(&cluster).await;
}

/// Guards against a replica that fails to restart after a crash during a
/// write, which leaves an incomplete record at the end of the log.
#[tokio::test(flavor = "multi_thread")]
async fn torn_tail_is_truncated() {
    let mut cluster = TestCluster::start(4, 3).await;
    let monitor = cluster.monitor_versions().await;
    let random: Vec<u8> = (0..97u32).map(|n| (n * 89 + 7) as u8).collect();
    for (base, appended) in [(1, true), (2, false)] {
        cluster.expect_accepted(0, &format!("before-{base}"), base).await;
        cluster.wait_version(base + 1).await;
        cluster.fleet.kill(2);
        let path = segment_files(&cluster.fleet.data_folder(2)).pop().unwrap();
        let mut bytes = std::fs::read(&path).expect("the segment");
        if appended {
            bytes.extend(&random);
        } else {
            // Cuts within the last record, whose header is longer.
            bytes.truncate(bytes.len() - 5);
        }
        std::fs::write(&path, &bytes).expect("written");
        // Without the truncated record, the version is older until the
        // leader sends the record again.
        monitor.reset(2);
        cluster.fleet.restart(2).expect("restart");
        cluster.wait_version(base + 1).await;
        let recovered = std::fs::read(&path).expect("the segment");
        assert!(
            !appended || recovered[..] != bytes[..],
            "nothing was truncated"
        );
    }
    // The replica votes again: it forms a majority with one other.
    cluster.fleet.kill(0);
    cluster.expect_accepted(2, "after", 3).await;
    monitor.check(&cluster).await;
}

/// Guards against a replica that serves from a damaged log, and against an
/// error message that does not name the damaged file.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_record_stops_the_daemon() {
    let mut cluster = TestCluster::start(4, 3).await;
    for base in 1..=3 {
        cluster.expect_accepted(0, &format!("change-{base}"), base).await;
    }
    cluster.wait_version(4).await;
    cluster.fleet.kill(2);
    let path = segment_files(&cluster.fleet.data_folder(2)).pop().unwrap();
    let mut bytes = std::fs::read(&path).expect("the segment");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    std::fs::write(&path, &bytes).expect("written");
    let (code, log) = run_daemon(&cluster, 2);
    assert_eq!(code, Some(1), "{log}");
    let file = path.file_name().unwrap().to_str().unwrap();
    assert!(log.contains(file), "{log}");
    assert!(log.contains("damaged record at byte"), "{log}");
    assert_eq!(std::fs::read(&path).expect("the segment"), bytes);
    cluster.expect_accepted(0, "without-it", 4).await;
}

/// Guards against two processes that write to one log.
#[tokio::test(flavor = "multi_thread")]
async fn data_folder_serves_one_daemon() {
    let cluster = TestCluster::start(4, 3).await;
    let (code, log) = run_daemon(&cluster, 1);
    assert_eq!(code, Some(1), "{log}");
    assert!(log.contains("another process uses the data folder"), "{log}");
    cluster.expect_accepted(1, "still-there", 1).await;
}

/// Runs a daemon with the settings of an instance until it exits. Returns its
/// exit code and log.
fn run_daemon(cluster: &TestCluster, i: usize) -> (Option<i32>, String) {
    let name = cluster.fleet.instances()[i].name();
    let settings = cluster.fleet.folder().join(format!("{name}.jsonc"));
    let log = cluster.fleet.folder().join("second.log");
    let mut child = Command::new(env!("CARGO_BIN_EXE_primrosemastd"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(std::fs::File::create(&log).expect("a log file"))
        .spawn()
        .expect("the daemon starts");
    let start = Instant::now();
    let status = loop {
        let status = child.try_wait().expect("the status");
        if status.is_some() || start.elapsed() > Duration::from_secs(30) {
            break status;
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    let _ = child.kill();
    let _ = child.wait();
    let status = status.expect("the daemon exits by itself");
    (status.code(), std::fs::read_to_string(log).expect("the log"))
}

/// Starts a second daemon with the settings of an instance that does not run,
/// and waits until its log holds a text.
async fn start_daemon(
    cluster: &TestCluster,
    i: usize,
    text: &str,
) -> (std::process::Child, std::path::PathBuf) {
    let name = cluster.fleet.instances()[i].name();
    let settings = cluster.fleet.folder().join(format!("{name}.jsonc"));
    let log = cluster.fleet.folder().join("second.log");
    let mut child = Command::new(env!("CARGO_BIN_EXE_primrosemastd"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(std::fs::File::create(&log).expect("a log file"))
        .spawn()
        .expect("the daemon starts");
    let found = wait_for("the text in the log", || async {
        let found = std::fs::read_to_string(&log).expect("the log");
        found.contains(text).then_some(())
    });
    if let Err(e) = found.await {
        let _ = child.kill();
        let _ = child.wait();
        panic!("{e}: {text}: {:?}", std::fs::read_to_string(&log));
    }
    (child, log)
}

/// Guards against a daemon that exits at its start because its disk is full,
/// does not start once there is room, or cannot be stopped while it waits.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_waits_while_the_disk_is_full() {
    let mut cluster = TestCluster::start(4, 3).await;
    let name = cluster.fleet.instances()[2].name().to_owned();
    let own = |status: &Value| {
        member(status, &name).and_then(|m| m["control"].as_u64())
    };
    let status = cluster
        .wait_status(0, "three voters", |status| voters(status).len() == 3)
        .await;
    let lost = own(&status).expect("a replica");
    cluster.fleet.kill(2);
    let folder = cluster.fleet.data_folder(2);
    std::fs::remove_dir_all(&folder).expect("removed");
    std::fs::create_dir(&folder).expect("a folder");
    // The identity is written to a device that is always full.
    let identity = folder.join("identity.new");
    std::os::unix::fs::symlink("/dev/full", &identity).expect("a link");
    let (mut child, log) = start_daemon(&cluster, 2, "PM0429").await;
    // Several more attempts fail meanwhile.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(child.try_wait().expect("the status").is_none());
    let pid = child.id().to_string();
    let killed = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(killed.expect("kill").success());
    let status = child.wait().expect("the status");
    let log = std::fs::read_to_string(log).expect("the log");
    assert_eq!(status.code(), Some(0), "{log}");
    assert_eq!(log.matches("PM0429").count(), 1, "{log}");
    let (mut child, log) = start_daemon(&cluster, 2, "PM0429").await;
    std::fs::remove_file(&identity).expect("removed");
    let started = wait_for("the start of the waiting daemon", || async {
        let log = std::fs::read_to_string(&log).expect("the log");
        log.contains("PM0601").then_some(())
    });
    started.await.expect("a start");
    assert!(child.try_wait().expect("the status").is_none());
    child.kill().expect("the process");
    child.wait().expect("the process");
    // The fleet reaches a daemon only at the addresses that it was given.
    cluster.fleet.restart(2).expect("restart");
    cluster
        .wait_status(0, "a new replica that votes", |status| {
            let id = own(status).unwrap_or(lost);
            let voters = voters(status);
            id != lost && voters.contains(&id) && voters.len() == 3
        })
        .await;
    cluster.expect_accepted(0, "after", 1).await;
}

/// Seed of the random faults, which the environment variable `FAULT_SEED`
/// overrides.
const FAULT_SEED: u64 = 7;

/// Number of faults in a run.
const FAULT_ROUNDS: u32 = 4;

/// Submits changes to the version that an instance reports, each until its
/// outcome is known. Returns the changes and their outcomes.
async fn submit_changes(
    operators: Vec<SocketAddr>,
    document: Value,
    writer: u64,
    stop: Arc<AtomicBool>,
) -> Vec<(Value, Value)> {
    let limit = Duration::from_secs(6);
    let mut decided = Vec::new();
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let first = writer as usize;
        let read = client::get(
            operators[first % operators.len()],
            "/v1/configuration",
        );
        let Ok(Ok(current)) = tokio::time::timeout(limit, read).await else {
            continue;
        };
        let Some(base) = current.body["version"].as_u64() else { continue };
        let mut next = document.clone();
        next["routes"][0]["deadline_ms"] = json!(1_000 * writer + n % 1_000);
        let body = change_body(&format!("{writer}-{n}"), base, &next);
        for attempt in 0.. {
            let operator = operators[(first + attempt) % operators.len()];
            let sent = client::post(operator, "/v1/changes", &body);
            if let Ok(Ok(reply)) = tokio::time::timeout(limit, sent).await
                && (reply.body["outcome"] == "accepted"
                    || reply.body["outcome"] == "conflict")
            {
                decided.push((body, reply.body));
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    decided
}

async fn inject_fault(
    cluster: &mut TestCluster,
    monitor: &VersionMonitor,
    rng: &mut Pcg32,
) {
    let i = rng.random_range(0..3);
    let fault = rng.random_range(0..6);
    let pause = Duration::from_millis(rng.random_range(100..1_500));
    println!("instance {i}, fault {fault}, {pause:?}");
    match fault {
        0 | 1 => {
            cluster.fleet.kill(i);
            if fault == 1 {
                let folder = cluster.fleet.data_folder(i);
                std::fs::remove_dir_all(folder).expect("removed");
                monitor.reset(i);
            }
            tokio::time::sleep(pause).await;
            cluster.fleet.restart(i).expect("restart");
        }
        2 => {
            cluster.fleet.isolate(i, true);
            tokio::time::sleep(pause * 2).await;
            cluster.fleet.isolate(i, false);
        }
        3 => {
            cluster.fleet.suspend(i);
            tokio::time::sleep(pause * 2).await;
            cluster.fleet.resume(i);
        }
        _ => {
            let cut = |cut| {
                for other in (0..4).filter(|&o| o != i) {
                    let pair =
                        if fault == 4 { (i, other) } else { (other, i) };
                    cluster.fleet.cut_one_way(pair.0, pair.1, cut);
                }
            };
            cut(true);
            tokio::time::sleep(pause).await;
            cut(false);
        }
    }
}

/// Waits until the voters are the replicas that the instances run now. A
/// group of three survives one lost disk at a time, so the next one must not
/// be lost before the repair.
async fn wait_repaired(cluster: &TestCluster) {
    wait_for("three voters that run", || async {
        let mut running = Vec::new();
        for i in 0..3 {
            let status = cluster.fleet.status(i).await.ok()?;
            let name = cluster.fleet.instances()[i].name();
            running.push(member(&status, name)?["control"].as_u64()?);
        }
        running.sort_unstable();
        for i in 0..3 {
            let status = cluster.fleet.status(i).await.ok()?;
            let complete = voters(&status) == running
                && replicas(&status, false).is_empty();
            if status["control"]["role"] == "leader" && complete {
                return Some(());
            }
        }
        None
    })
    .await
    .expect("a repaired group");
}

/// Guards against accepted changes that are lost, two accepted changes of a
/// version, and a different outcome of a resent change, under random faults.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_lose_no_accepted_change() {
    let seed = std::env::var("FAULT_SEED")
        .map_or(FAULT_SEED, |s| s.parse().expect("a number"));
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut cluster = TestCluster::start(4, 3).await;
    let monitor = cluster.monitor_versions().await;
    let stop = Arc::new(AtomicBool::new(false));
    // One writer for each instance; the writer of a suspended or isolated
    // instance waits.
    let writers: Vec<_> = (1..=4)
        .map(|writer| {
            tokio::spawn(submit_changes(
                cluster.operator_addresses(),
                cluster.site.configuration(),
                writer,
                Arc::clone(&stop),
            ))
        })
        .collect();
    for _ in 0..FAULT_ROUNDS {
        inject_fault(&mut cluster, &monitor, &mut rng).await;
        wait_repaired(&cluster).await;
    }
    stop.store(true, Ordering::Relaxed);
    let mut decided = Vec::new();
    for writer in writers {
        decided.extend(writer.await.expect("the writer"));
    }
    let mut accepted: Vec<u64> = decided
        .iter()
        .filter(|(_, reply)| reply["outcome"] == "accepted")
        .map(|(_, reply)| reply["version"].as_u64().expect("a version"))
        .collect();
    accepted.sort_unstable();
    let expected: Vec<u64> = (2..accepted.len() as u64 + 2).collect();
    assert_eq!(accepted, expected, "seed {seed}");
    cluster.wait_version(accepted.len() as u64 + 1).await;
    // Resends every ninth change; all of them would take longer than the
    // faults.
    let operators = cluster.operator_addresses();
    for (n, (body, reply)) in decided.iter().enumerate().step_by(9) {
        let operator = operators[n % operators.len()];
        let again = submit_until_decided(operator, body).await;
        assert_eq!(again.body["outcome"], reply["outcome"], "seed {seed}");
        assert_eq!(again.body["version"], reply["version"], "seed {seed}");
    }
    println!("{} changes, {} accepted", decided.len(), accepted.len());
    monitor.check(&cluster).await;
}
