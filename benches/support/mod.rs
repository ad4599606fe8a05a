//! Open-loop load generator and process statistics shared by the benchmarks.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::Method;
use primrosemast_standin::{
    client::{self, Client},
    fleet::Fleet,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};

/// Time after which a query without a response counts as lost, longer than the
/// deadline of every route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Clock ticks per second in `/proc/<pid>/stat`, a fixed value on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Runs a daemon if the program was started with `--settings FILE`.
pub fn run_daemon_if_requested() -> Option<ExitCode> {
    let mut args = std::env::args().skip(1);
    if args.next().as_deref() != Some("--settings") {
        return None;
    }
    let path = args.next().unwrap_or_default();
    let settings =
        match primrosemast::settings::load_instance(Path::new(&path)) {
            Ok(settings) => settings,
            Err(e) => {
                eprintln!("{e}");
                return Some(ExitCode::from(2));
            }
        };
    env_logger::Builder::new().parse_filters(&settings.log).init();
    Some(match primrosemast::daemon::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    })
}

/// Queries to one route at a fixed rate, in queries per second.
#[derive(Clone, Debug)]
pub struct Load {
    pub route: &'static str,
    pub per_second: f64,
}

/// A query and its result. Not every benchmark reads every field.
#[allow(dead_code)]
#[derive(Clone, Debug)]
pub struct Sample {
    pub id: String,
    /// Index of the entry instance that received the query.
    pub instance: usize,
    /// Intended start, relative to the start of the load.
    pub at: Duration,
    /// Time from the intended start to the response.
    pub took: Duration,
    pub asked: u64,
    pub answered: u64,
    /// Verdict and reason of a failure.
    pub failure: Option<(String, String)>,
}

impl Sample {
    /// Returns whether every shard is in the answer.
    pub fn is_complete(&self) -> bool {
        self.failure.is_none() && self.answered == self.asked
    }
}

type Pool = Arc<Mutex<Vec<Client>>>;

/// Callers of a fleet; their connections are reused between loads.
pub struct Callers {
    instances: Vec<(SocketAddr, Pool)>,
}

impl Callers {
    pub fn new(fleet: &Fleet) -> Callers {
        let instances = fleet
            .instances()
            .iter()
            .map(|i| (i.addresses().caller, Pool::default()))
            .collect();
        Callers { instances }
    }

    /// Sends queries at their intended times, whether or not earlier ones
    /// were answered, to the instances in turn.
    pub async fn run(
        &self,
        label: &str,
        loads: &[Load],
        span: Duration,
    ) -> Vec<Vec<Sample>> {
        let start = Instant::now() + Duration::from_millis(20);
        let mut generators = JoinSet::new();
        for (index, load) in loads.iter().cloned().enumerate() {
            let instances = self.instances.clone();
            let label = label.to_owned();
            generators.spawn(async move {
                let samples = generate(instances, label, load, start, span);
                (index, samples.await)
            });
        }
        let mut results = generators.join_all().await;
        results.sort_by_key(|x| x.0);
        results.into_iter().map(|x| x.1).collect()
    }
}

async fn generate(
    instances: Vec<(SocketAddr, Pool)>,
    label: String,
    load: Load,
    start: Instant,
    span: Duration,
) -> Vec<Sample> {
    let count = (load.per_second * span.as_secs_f64()) as usize;
    let mut queries = JoinSet::new();
    for n in 0..count {
        let at = Duration::from_secs_f64(n as f64 / load.per_second);
        sleep_until(start + at).await;
        let instance = n % instances.len();
        let (address, pool) = instances[instance].clone();
        let id = format!("{label}-{}-{n}", load.route);
        let path = format!("/v1/routes/{}/query", load.route);
        queries.spawn(async move {
            let sent = query(address, &pool, &path, &id);
            let result = timeout(RESPONSE_TIMEOUT, sent).await;
            let took = (start + at).elapsed();
            let lost = |reason: &str| Some(("lost".into(), reason.to_owned()));
            let mut sample = Sample {
                id,
                instance,
                at,
                took,
                asked: 0,
                answered: 0,
                failure: None,
            };
            match result {
                Err(_) => sample.failure = lost("no response"),
                Ok(Err(e)) => sample.failure = lost(&e.to_string()),
                Ok(Ok(reply)) if reply.status == 200 => {
                    let coverage = &reply.body["coverage"];
                    let number = |key: &str| coverage[key].as_u64();
                    sample.asked = number("asked").unwrap_or(0);
                    sample.answered = number("answered").unwrap_or(0);
                }
                Ok(Ok(reply)) => {
                    let text = |key: &str| {
                        reply.body[key].as_str().unwrap_or("?").to_owned()
                    };
                    sample.failure = Some((text("verdict"), text("reason")));
                }
            }
            sample
        });
    }
    let mut samples = queries.join_all().await;
    samples.sort_by_key(|s| s.at);
    samples
}

async fn query(
    address: SocketAddr,
    pool: &Pool,
    path: &str,
    id: &str,
) -> io::Result<client::Reply> {
    let pooled = pool.lock().expect("not poisoned").pop();
    let mut client = match pooled {
        Some(client) => client,
        None => Client::connect(address).await?,
    };
    let body = "{\"trail\":\"north ridge\"}";
    let headers = [("x-request-id", id)];
    let reply = client.send(Method::POST, path, &headers, body).await?;
    pool.lock().expect("not poisoned").push(client);
    Ok(reply)
}

/// Returns the processor seconds used so far by the daemons of a fleet.
#[allow(dead_code)]
pub fn processor_seconds(fleet: &Fleet) -> f64 {
    let pids = fleet.instances().iter().filter_map(|i| i.pid());
    pids.map(|pid| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))
            .unwrap_or_default();
        // The second field, the name of the command, may contain spaces and
        // ends with a parenthesis.
        let fields = stat.rsplit(')').next().unwrap_or("");
        let field = |n: usize| {
            fields
                .split_whitespace()
                .nth(n)
                .and_then(|s| s.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        (field(11) + field(12)) / TICKS_PER_SECOND
    })
    .sum()
}

/// Returns the resident memory of each daemon of a fleet, in MB.
#[allow(dead_code)]
pub fn resident_mb(fleet: &Fleet) -> Vec<f64> {
    let pids = fleet.instances().iter().filter_map(|i| i.pid());
    pids.map(|pid| {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))
            .unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().nth(1));
        kb.and_then(|s| s.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    })
    .collect()
}
