//! A small fleet with its searchers, and helpers that observe it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    future::Future,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use primrosemast_standin::{
    client::{self, Reply},
    fleet::{Fleet, FleetOptions, Instance, wait_for},
    site::{SearcherGroup, Site},
};
use serde_json::{Value, json};
use tokio::{sync::Semaphore, task::JoinHandle};

pub const ZONES: [&str; 2] = ["az-a", "az-b"];

/// Limits how many fleets of a test program run at the same time. Each has up
/// to five processes that sync files, and the machine may have few cores.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(3);

/// A running fleet with the searchers of one route, `search`.
pub struct TestCluster {
    pub fleet: Fleet,
    pub site: Site,
    _permit: tokio::sync::SemaphorePermit<'static>,
}

impl TestCluster {
    /// Starts `entries` entry instances, the first `control` of them with a
    /// control replica, and applies the first configuration.
    pub async fn start(entries: usize, control: usize) -> TestCluster {
        let options = FleetOptions::spread(entries, control, &ZONES);
        TestCluster::with_options(options).await
    }

    pub async fn with_options(options: FleetOptions) -> TestCluster {
        let cluster = TestCluster::without_control_group(options).await;
        let configuration = cluster.site.configuration();
        cluster.fleet.bootstrap(&configuration).await.expect("bootstrap");
        cluster
    }

    /// Starts a fleet whose control group is not bootstrapped yet.
    pub async fn without_control_group(options: FleetOptions) -> TestCluster {
        let permit = FLEET_PERMITS.acquire().await.expect("never closed");
        let groups = [SearcherGroup { shards: 2, ..SearcherGroup::default() }];
        let site = Site::start(&ZONES, &groups).await.expect("searchers");
        let program = Path::new(env!("CARGO_BIN_EXE_primrosemastd"));
        let fleet = Fleet::start(&[program], options).await.expect("fleet");
        TestCluster { fleet, site, _permit: permit }
    }

    /// Returns the configuration of the site with a deadline that depends on
    /// `n`.
    pub fn variant(&self, n: u64) -> Value {
        let mut document = self.site.configuration();
        document["routes"][0]["deadline_ms"] = json!(2_000 + n);
        document
    }

    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.fleet.instances().iter().map(|i| i.addresses().operator).collect()
    }

    /// Sends a configuration change until its outcome is known, as operators
    /// do.
    pub async fn submit_change(
        &self,
        i: usize,
        id: &str,
        base: u64,
        n: u64,
    ) -> Reply {
        let body = change_body(id, base, &self.variant(n));
        submit_until_decided(self.operator_addresses()[i], &body).await
    }

    /// Sends a configuration change and expects that it is accepted.
    pub async fn expect_accepted(&self, i: usize, id: &str, base: u64) {
        let reply = self.submit_change(i, id, base, base + 1).await;
        assert_eq!(reply.body["outcome"], "accepted", "{:?}", reply.body);
        assert_eq!(reply.body["version"], base + 1);
    }

    /// Returns the instance whose control replica leads in the highest term.
    pub async fn leader(&self) -> usize {
        let found = wait_for("a control leader", || async {
            let mut leaders = Vec::new();
            for i in 0..self.fleet.instances().len() {
                let Ok(status) = self.fleet.status(i).await else { continue };
                if status["control"]["role"] == "leader" {
                    leaders.push((status["control"]["term"].as_u64()?, i));
                }
            }
            leaders.into_iter().max().map(|(_, i)| i)
        });
        match found.await {
            Ok(leader) => leader,
            Err(e) => {
                for (i, instance) in self.fleet.instances().iter().enumerate()
                {
                    let status = self.fleet.status(i).await;
                    let status = status.map(|s| s["control"].clone());
                    eprintln!("{status:?}\n{}", instance.log());
                }
                panic!("{e}")
            }
        }
    }

    /// Waits until the status of an instance satisfies a condition.
    pub async fn wait_status(
        &self,
        i: usize,
        description: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Value {
        let found = wait_for(description, || async {
            let status = self.fleet.status(i).await.ok()?;
            condition(&status).then_some(status)
        })
        .await;
        match found {
            Ok(status) => status,
            Err(e) => panic!(
                "{e}; status {:?}; log of instance {i}:\n{}",
                self.fleet.status(i).await,
                self.fleet.instances()[i].log()
            ),
        }
    }

    /// Waits until every running instance is ready and has this or a later
    /// version in force.
    pub async fn wait_version(&self, version: u64) {
        self.fleet.wait_version(version).await.expect("the version");
    }

    /// Waits until an instance answers a query with full coverage.
    pub async fn wait_complete_answer(&self, i: usize) {
        let found = wait_for("an answer with full coverage", || async {
            answers_completely(&self.fleet, i).await.then_some(())
        });
        found.await.unwrap_or_else(|e| {
            panic!("{e}:\n{}", self.fleet.instances()[i].log())
        });
    }

    /// Starts a monitor, which has read every running instance when this
    /// returns.
    pub async fn monitor_versions(&self) -> VersionMonitor {
        let monitor = VersionMonitor::start(self.operator_addresses());
        monitor.wait_reads(&self.fleet).await;
        monitor
    }
}

/// Returns whether an instance answers a query with full coverage.
pub async fn answers_completely(fleet: &Fleet, i: usize) -> bool {
    let reply = fleet.query(i, "search", &[], &json!({"q": 1})).await;
    reply.is_ok_and(|r| r.status == 200 && r.body["coverage"]["answered"] == 2)
}

pub fn change_body(id: &str, base: u64, configuration: &Value) -> Value {
    json!({
        "change_id": id,
        "expected_version": base,
        "configuration": configuration,
    })
}

/// Sends a change repeatedly until it is accepted or gets a conflict.
pub async fn submit_until_decided(
    operator: SocketAddr,
    body: &Value,
) -> Reply {
    let decided = wait_for("a known outcome", || async {
        let reply = client::post(operator, "/v1/changes", body).await.ok()?;
        let final_outcomes = ["accepted", "conflict"];
        final_outcomes
            .iter()
            .any(|&o| reply.body["outcome"] == o)
            .then_some(reply)
    });
    decided.await.expect("the outcome")
}

/// Returns the ids of the voters in a status.
pub fn voters(status: &Value) -> Vec<u64> {
    replicas(status, true)
}

/// Returns the ids of the voting or of the other replicas in a status.
pub fn replicas(status: &Value, voter: bool) -> Vec<u64> {
    status["control"]["members"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|m| m["voter"] == voter)
        .filter_map(|m| m["id"].as_u64())
        .collect()
}

/// Returns the member with this name from a status.
pub fn member<'a>(status: &'a Value, name: &str) -> Option<&'a Value> {
    status["members"].as_array()?.iter().find(|m| m["name"] == name)
}

/// Returns the segment files of a data folder, in order.
pub fn segment_files(folder: &Path) -> Vec<PathBuf> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .expect("the data folder")
        .map(|e| e.expect("an entry").path())
        .filter(|p| p.extension().is_some_and(|e| e == "segment"))
        .collect();
    files.sort();
    files
}

/// Time after which the monitor gives up a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the configuration of each instance. Records a violation if the
/// version of an instance goes back or a version has two documents.
pub struct VersionMonitor {
    observed: Arc<Mutex<Observations>>,
    /// One task for each instance, so that one that does not respond does
    /// not delay the reads of the others.
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Observations {
    /// Last version that each instance reported.
    latest: Vec<u64>,
    /// Number of reads of each instance.
    reads: Vec<u64>,
    violations: Vec<String>,
    /// Versions and the hashes of their documents.
    hashes: Vec<(u64, String)>,
}

impl VersionMonitor {
    fn start(operators: Vec<SocketAddr>) -> VersionMonitor {
        let observed = Arc::new(Mutex::new(Observations {
            latest: vec![0; operators.len()],
            reads: vec![0; operators.len()],
            ..Observations::default()
        }));
        let watch = |(i, operator)| {
            let observed = Arc::clone(&observed);
            tokio::spawn(async move {
                loop {
                    let read = client::get(operator, "/v1/configuration");
                    // An instance that does not run or is suspended does not
                    // respond.
                    if let Ok(Ok(reply)) =
                        tokio::time::timeout(READ_TIMEOUT, read).await
                    {
                        observed.lock().unwrap().record(i, &reply);
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            })
        };
        let tasks = operators.into_iter().enumerate().map(watch).collect();
        VersionMonitor { observed, tasks }
    }

    /// Waits until each running instance was read at least twice more, so
    /// that one of the reads began and ended after this call, on a machine of
    /// any speed.
    async fn wait_reads(&self, fleet: &Fleet) {
        let reads = || self.observed.lock().unwrap().reads.clone();
        let before = reads();
        let is_read = |(i, instance): (usize, &Instance)| {
            instance.pid().is_none() || reads()[i] >= before[i] + 2
        };
        let found = wait_for("a read of each instance", || async {
            let mut instances = fleet.instances().iter().enumerate();
            instances.all(is_read).then_some(())
        });
        found.await.expect("reads by the monitor");
    }

    /// Forgets the latest version of an instance, for one that restarts
    /// without its stored state.
    pub fn reset(&self, i: usize) {
        self.observed.lock().unwrap().latest[i] = 0;
    }

    /// Reads every running instance once more and stops the monitor. Panics
    /// if the version of an instance went back or two documents had the same
    /// version.
    pub async fn check(self, cluster: &TestCluster) {
        self.wait_reads(&cluster.fleet).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        let observed = self.observed.lock().unwrap();
        assert!(observed.violations.is_empty(), "{:#?}", observed.violations);
    }
}

impl Drop for VersionMonitor {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Observations {
    fn record(&mut self, i: usize, reply: &Reply) {
        let Some(version) = reply.body["version"].as_u64() else { return };
        self.reads[i] += 1;
        if version < self.latest[i] {
            let latest = self.latest[i];
            self.violations.push(format!(
                "instance {i}: version {version} after {latest}"
            ));
        }
        self.latest[i] = version;
        let hash = reply.body["hash"].to_string();
        match self.hashes.iter().find(|(v, _)| *v == version) {
            Some((_, other)) if *other != hash => self.violations.push(
                format!("instance {i}: two documents of version {version}"),
            ),
            Some(_) => {}
            None => self.hashes.push((version, hash)),
        }
    }
}

/// Runs futures concurrently and returns their results in order.
pub async fn join_all<T: Send + 'static>(
    futures: impl IntoIterator<Item = impl Future<Output = T> + Send + 'static>,
) -> Vec<T> {
    let tasks: Vec<_> = futures.into_iter().map(tokio::spawn).collect();
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await.expect("the task"));
    }
    results
}
