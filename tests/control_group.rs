//! The replicated log with real processes: races of operators, loss of the
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

/// Pause between the changes of a race, so that some of them are sent after
/// the leader was killed.
const RACE_STEP: Duration = Duration::from_millis(3);

/// Changes in a race.
const RACERS: u64 = 8;

/// Sends the changes of a race one after the other without waiting for
/// outcomes, each through another instance.
fn race(bench: &TestCluster, base: u64) -> JoinHandle<Vec<Reply>> {
    let operators = bench.operator_addresses();
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
        submit_until_decided(operator, &body).await
    });
    tokio::spawn(join_all(racers))
}

fn check_race(replies: &[Reply], base: u64) {
    let won = replies.iter().filter(|r| r.body["outcome"] == "accepted");
    assert_eq!(won.count(), 1, "{replies:#?}");
    for reply in replies {
        assert_eq!(reply.body["version"], base + 1, "{reply:?}");
    }
}

/// Sends the changes of a race again, each through another instance.
async fn resend(bench: &TestCluster, base: u64, first: &[Reply]) {
    let operators = bench.operator_addresses();
    for (n, first) in first.iter().enumerate() {
        let id = format!("race-{base}-{n}");
        let document = bench.variant(base * 100 + n as u64);
        let body = change_body(&id, base, &document);
        let other = operators[(n + 1) % operators.len()];
        let again = submit_until_decided(other, &body).await;
        assert_eq!(again.body["outcome"], first.body["outcome"], "{id}");
        assert_eq!(again.body["version"], first.body["version"], "{id}");
    }
}

/// Guards against two accepted changes of one version, a lost accepted
/// change, and a second outcome of a resent change, when the leader is
/// killed during the race and all replicas restart later.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_eight_racing_changes_is_accepted() {
    let mut bench = TestCluster::start(4, 3).await;
    let watch = bench.monitor_versions();
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
        bench.wait_version(base + 1).await;
        resend(&bench, base, &replies).await;
        outcomes.push(replies);
    }
    for i in 0..3 {
        bench.fleet.kill(i);
    }
    for i in 0..3 {
        bench.fleet.restart(i).expect("restart");
    }
    bench.wait_version(4).await;
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
    let mut bench = TestCluster::start(4, 3).await;
    let watch = bench.monitor_versions();
    let old = bench.fleet.status(2).await.expect("status");
    let old_voters = voters(&old);
    let name = bench.fleet.instances()[2].name().to_owned();
    let old_id = member(&old, &name).unwrap()["control"].as_u64().unwrap();
    for base in 1..=5 {
        bench.expect_accepted(0, &format!("before-{base}"), base).await;
    }
    bench.fleet.kill(2);
    std::fs::remove_dir_all(bench.fleet.data_folder(2)).expect("removed");
    bench.expect_accepted(1, "meanwhile", 6).await;
    watch.reset(2);
    bench.fleet.restart(2).expect("restart");
    let repaired = bench
        .wait_status(
            0,
            "the group has three voters without the old one",
            |s| {
                let now = voters(s);
                now.len() == 3 && !now.contains(&old_id)
            },
        )
        .await;
    assert!(replicas(&repaired, false).is_empty());
    let kept = voters(&repaired);
    assert_eq!(kept.iter().filter(|v| old_voters.contains(v)).count(), 2);
    // The second failure follows at once.
    bench.fleet.kill(0);
    bench.expect_accepted(3, "after", 7).await;
    bench.wait_version(8).await;
    for base in 1..=5 {
        let id = format!("before-{base}");
        let reply = bench.submit_change(1, &id, base, base + 1).await;
        assert_eq!(reply.body["outcome"], "accepted", "{id}");
        assert_eq!(reply.body["version"], base + 1, "{id}");
    }
    watch.check();
}

/// What an isolated instance is told to do during a partition, and what it
/// may respond.
async fn check_isolated(bench: &TestCluster, i: usize, base: u64) {
    let body = change_body("isolated", base, &bench.variant(900));
    let change =
        client::post(bench.operator_addresses()[i], "/v1/changes", &body)
            .await;
    let outcome = change.expect("a reply").body["outcome"].clone();
    assert!(outcome == "no_quorum" || outcome == "unknown", "{outcome}");
    bench.wait_status(i, "not ready", |s| s["ready"] == false).await;
    let status = bench.fleet.status(i).await.expect("status");
    assert_eq!(status["serving"], false);
    let caller = bench.fleet.instances()[i].addresses().caller;
    let ready = client::get(caller, "/ready").await.expect("a reply");
    assert_eq!(ready.status, 503);
    let query = bench.fleet.query(i, "search", &[], &json!({})).await;
    let query = query.expect("a reply");
    assert_eq!(query.status, 503, "{query:?}");
    assert_eq!(query.body["verdict"], "not_run", "{query:?}");
}

/// Cuts an instance off, changes the configuration through the others, and
/// heals the partition.
async fn partition(bench: &TestCluster, i: usize) {
    let watch = bench.monitor_versions();
    let other = (i + 1) % 3;
    bench.fleet.isolate(i, true);
    tokio::join!(
        async {
            bench.expect_accepted(other, "during-1", 1).await;
            bench.expect_accepted(3, "during-2", 2).await;
        },
        check_isolated(bench, i, 1),
    );
    let alone = bench.fleet.status(i).await.expect("status");
    assert_eq!(alone["version"], 1, "an isolated instance learned of 2");
    bench.fleet.isolate(i, false);
    bench.wait_version(3).await;
    bench.wait_complete_answer(i).await;
    // What was proposed on the wrong side does not come back.
    bench.expect_accepted(i, "after", 3).await;
    bench.wait_version(4).await;
    watch.check();
}

/// Guards against a follower that goes on serving an old configuration
/// behind a silent partition, or shows it after the partition healed.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_follower_refuses_and_returns_with_the_newest_version() {
    let bench = TestCluster::start(4, 3).await;
    let follower = (bench.leader().await + 1) % 3;
    partition(&bench, follower).await;
}

/// Guards against a leader that accepts changes behind a silent partition.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_leader_accepts_nothing() {
    let bench = TestCluster::start(4, 3).await;
    let leader = bench.leader().await;
    partition(&bench, leader).await;
}

/// Guards against a leader that keeps its office, although its messages
/// reach nobody or no reply reaches it.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_is_cut_one_way_is_replaced() {
    let bench = TestCluster::start(4, 3).await;
    let watch = bench.monitor_versions();
    for (round, outgoing) in [(0, true), (1, false)] {
        let leader = bench.leader().await;
        let cut = |cut| {
            for other in (0..4).filter(|&o| o != leader) {
                let (from, to) =
                    if outgoing { (leader, other) } else { (other, leader) };
                bench.fleet.cut_one_way(from, to, cut);
            }
        };
        cut(true);
        let base = 1 + 2 * round;
        let other = (leader + 1) % 3;
        bench.expect_accepted(other, &format!("cut-{round}-1"), base).await;
        bench.expect_accepted(3, &format!("cut-{round}-2"), base + 1).await;
        let changed = bench.leader().await;
        assert_ne!(changed, leader, "outgoing {outgoing}");
        cut(false);
        bench.wait_version(base + 2).await;
    }
    watch.check();
}

fn folder_bytes(folder: &std::path::Path) -> u64 {
    std::fs::read_dir(folder)
        .expect("the data folder")
        .map(|e| e.and_then(|e| e.metadata()).expect("an entry").len())
        .sum()
}

/// Guards against a log that grows without bound, and against instances that
/// do not come back after hundreds of changes.
#[tokio::test(flavor = "multi_thread")]
async fn instances_restart_after_hundreds_of_changes() {
    let mut bench = TestCluster::start(4, 3).await;
    let watch = bench.monitor_versions();
    let operator = bench.operator_addresses()[bench.leader().await];
    let mut client = client::Client::connect(operator).await.expect("client");
    for base in 1..=300 {
        let id = format!("change-{base}");
        let body = change_body(&id, base, &bench.variant(base % 7));
        let headers = [("content-type", "application/json")];
        let reply = client
            .send(Method::POST, "/v1/changes", &headers, body.to_string())
            .await
            .expect("a reply");
        assert_eq!(reply.body["version"], base + 1, "{reply:?}");
    }
    bench.wait_version(301).await;
    for i in 0..3 {
        let folder = bench.fleet.data_folder(i);
        let files = segment_files(&folder).len();
        let bytes = folder_bytes(&folder);
        assert!(files <= 2, "{files} segments");
        assert!(bytes <= 5 << 20, "{bytes} bytes");
    }
    bench.fleet.kill(1);
    bench.fleet.restart(1).expect("restart");
    bench.wait_version(301).await;
    bench.wait_complete_answer(1).await;
    for i in 0..4 {
        bench.fleet.kill(i);
    }
    // Instance 3 has no disk, so it starts with nothing.
    watch.reset(3);
    for i in 0..4 {
        bench.fleet.restart(i).expect("restart");
    }
    bench.wait_version(301).await;
    for i in 0..4 {
        bench.wait_complete_answer(i).await;
    }
    let again = bench.submit_change(2, "change-17", 17, 17 % 7).await;
    assert_eq!(again.body["outcome"], "accepted");
    assert_eq!(again.body["version"], 18);
    watch.check();
}

/// Guards against a replica that stays away after a crash in the middle of a
/// write.
#[tokio::test(flavor = "multi_thread")]
async fn torn_tail_is_truncated() {
    let mut bench = TestCluster::start(4, 3).await;
    let watch = bench.monitor_versions();
    let random: Vec<u8> = (0..97u32).map(|n| (n * 89 + 7) as u8).collect();
    for (base, appended) in [(1, true), (2, false)] {
        bench.expect_accepted(0, &format!("before-{base}"), base).await;
        bench.wait_version(base + 1).await;
        bench.fleet.kill(2);
        let path = segment_files(&bench.fleet.data_folder(2)).pop().unwrap();
        let mut bytes = std::fs::read(&path).expect("the segment");
        if appended {
            bytes.extend(&random);
        } else {
            // Within the last record, which has a longer head.
            bytes.truncate(bytes.len() - 5);
        }
        std::fs::write(&path, &bytes).expect("written");
        // The cut record comes back from the leader.
        watch.reset(2);
        bench.fleet.restart(2).expect("restart");
        bench.wait_version(base + 1).await;
        let known = std::fs::read(&path).expect("the segment");
        assert!(!appended || known[..] != bytes[..], "nothing was cut");
    }
    // The replica counts again: with it and one other there is a majority.
    bench.fleet.kill(0);
    bench.expect_accepted(2, "after", 3).await;
    watch.check();
}

/// Guards against a replica that serves from a damaged log, and against an
/// error that does not say which file is damaged.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_record_stops_the_daemon() {
    let mut bench = TestCluster::start(4, 3).await;
    for base in 1..=3 {
        bench.expect_accepted(0, &format!("change-{base}"), base).await;
    }
    bench.wait_version(4).await;
    bench.fleet.kill(2);
    let path = segment_files(&bench.fleet.data_folder(2)).pop().unwrap();
    let mut bytes = std::fs::read(&path).expect("the segment");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    std::fs::write(&path, &bytes).expect("written");
    let (code, log) = run_daemon(&bench, 2);
    assert_eq!(code, Some(1), "{log}");
    let file = path.file_name().unwrap().to_str().unwrap();
    assert!(log.contains(file), "{log}");
    assert!(log.contains("damaged record at byte"), "{log}");
    assert_eq!(std::fs::read(&path).expect("the segment"), bytes);
    bench.expect_accepted(0, "without-it", 4).await;
}

/// Guards against two processes that write to one log.
#[tokio::test(flavor = "multi_thread")]
async fn data_folder_serves_one_daemon() {
    let bench = TestCluster::start(4, 3).await;
    let (code, log) = run_daemon(&bench, 1);
    assert_eq!(code, Some(1), "{log}");
    assert!(log.contains("another process uses the data folder"), "{log}");
    bench.expect_accepted(1, "still-there", 1).await;
}

/// Runs a daemon with the settings of an instance until it ends.
fn run_daemon(bench: &TestCluster, i: usize) -> (Option<i32>, String) {
    let name = bench.fleet.instances()[i].name();
    let settings = bench.fleet.folder().join(format!("{name}.jsonc"));
    let log = bench.fleet.folder().join("second.log");
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
    let status = status.expect("the daemon ends by itself");
    (status.code(), std::fs::read_to_string(log).expect("the log"))
}

/// Seed of the random faults; others can be tried with the environment
/// variable `FAULT_SEED`.
const FAULT_SEED: u64 = 7;

/// Faults that one run injects.
const FAULT_ROUNDS: u32 = 4;

/// Writes changes from the version that an instance shows, each until its
/// outcome is known, and gives their outcomes.
async fn write(
    operators: Vec<SocketAddr>,
    document: Value,
    writer: u64,
    stop: Arc<AtomicBool>,
) -> Vec<(Value, Value)> {
    let limit = Duration::from_secs(6);
    let mut done = Vec::new();
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let turn = writer as usize;
        let read = client::get(
            operators[turn % operators.len()],
            "/v1/configuration",
        );
        let Ok(Ok(page)) = tokio::time::timeout(limit, read).await else {
            continue;
        };
        let Some(base) = page.body["version"].as_u64() else { continue };
        let mut next = document.clone();
        next["routes"][0]["deadline_ms"] = json!(1_000 * writer + n % 1_000);
        let body = change_body(&format!("{writer}-{n}"), base, &next);
        for attempt in 0.. {
            let operator = operators[(turn + attempt) % operators.len()];
            let sent = client::post(operator, "/v1/changes", &body);
            if let Ok(Ok(reply)) = tokio::time::timeout(limit, sent).await
                && (reply.body["outcome"] == "accepted"
                    || reply.body["outcome"] == "conflict")
            {
                done.push((body, reply.body));
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    done
}

async fn inject(
    bench: &mut TestCluster,
    watch: &VersionMonitor,
    rng: &mut Pcg32,
) {
    let i = rng.random_range(0..3);
    let fault = rng.random_range(0..6);
    let pause = Duration::from_millis(rng.random_range(100..1_500));
    println!("instance {i}, fault {fault}, {pause:?}");
    match fault {
        0 | 1 => {
            bench.fleet.kill(i);
            if fault == 1 {
                let folder = bench.fleet.data_folder(i);
                std::fs::remove_dir_all(folder).expect("removed");
                watch.reset(i);
            }
            tokio::time::sleep(pause).await;
            bench.fleet.restart(i).expect("restart");
        }
        2 => {
            bench.fleet.isolate(i, true);
            tokio::time::sleep(pause * 2).await;
            bench.fleet.isolate(i, false);
        }
        3 => {
            bench.fleet.suspend(i);
            tokio::time::sleep(pause * 2).await;
            bench.fleet.resume(i);
        }
        _ => {
            let cut = |cut| {
                for other in (0..4).filter(|&o| o != i) {
                    let pair =
                        if fault == 4 { (i, other) } else { (other, i) };
                    bench.fleet.cut_one_way(pair.0, pair.1, cut);
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
async fn repaired(bench: &TestCluster) {
    wait_for("three voters that run", || async {
        let mut running = Vec::new();
        for i in 0..3 {
            let status = bench.fleet.status(i).await.ok()?;
            let name = bench.fleet.instances()[i].name();
            running.push(member(&status, name)?["control"].as_u64()?);
        }
        running.sort_unstable();
        for i in 0..3 {
            let status = bench.fleet.status(i).await.ok()?;
            let whole = voters(&status) == running
                && replicas(&status, false).is_empty();
            if status["control"]["role"] == "leader" && whole {
                return Some(());
            }
        }
        None
    })
    .await
    .expect("a repaired group");
}

/// Guards against accepted changes that are lost, two accepted changes of a
/// version, and a second outcome of a change, under random faults.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_lose_no_accepted_change() {
    let seed = std::env::var("FAULT_SEED")
        .map_or(FAULT_SEED, |s| s.parse().expect("a number"));
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut bench = TestCluster::start(4, 3).await;
    let watch = bench.monitor_versions();
    let stop = Arc::new(AtomicBool::new(false));
    // One for each instance: those of a frozen or isolated one wait.
    let writers: Vec<_> = (1..=4)
        .map(|writer| {
            tokio::spawn(write(
                bench.operator_addresses(),
                bench.site.configuration(),
                writer,
                Arc::clone(&stop),
            ))
        })
        .collect();
    for _ in 0..FAULT_ROUNDS {
        inject(&mut bench, &watch, &mut rng).await;
        repaired(&bench).await;
    }
    stop.store(true, Ordering::Relaxed);
    let mut done = Vec::new();
    for writer in writers {
        done.extend(writer.await.expect("the writer"));
    }
    let mut accepted: Vec<u64> = done
        .iter()
        .filter(|(_, reply)| reply["outcome"] == "accepted")
        .map(|(_, reply)| reply["version"].as_u64().expect("a version"))
        .collect();
    accepted.sort_unstable();
    let all: Vec<u64> = (2..accepted.len() as u64 + 2).collect();
    assert_eq!(accepted, all, "seed {seed}");
    bench.wait_version(accepted.len() as u64 + 1).await;
    // A sample; the whole would take longer than the faults.
    let operators = bench.operator_addresses();
    for (n, (body, reply)) in done.iter().enumerate().step_by(9) {
        let operator = operators[n % operators.len()];
        let again = submit_until_decided(operator, body).await;
        assert_eq!(again.body["outcome"], reply["outcome"], "seed {seed}");
        assert_eq!(again.body["version"], reply["version"], "seed {seed}");
    }
    println!("{} changes, {} accepted", done.len(), accepted.len());
    watch.check();
}
