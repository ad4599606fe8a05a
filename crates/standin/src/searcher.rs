/*!
Simulated searcher, a target of the query tier.

It counts the requests that it runs, so that tests can compare them with the
verdicts that callers got. It injects faults on request: slow service, load
shedding, cold starts, answers lost after the request ran, answers that are
damaged or belong to another request, and misleading health reports.
*/

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::Notify, task::JoinHandle};

use crate::http::{HandlerError, Reply, json, read_json, serve, status};

/// One shard of one snapshot that the searcher serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldShard {
    /// Version of the index.
    pub index_version: u64,
    /// Version of the partition map.
    pub partition_map: u64,
    /// Number of the shard.
    pub shard: u32,
    /// Number of shards in the snapshot.
    pub shard_count: u32,
}

/// Capacity and behaviour of a searcher; can be replaced while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Name, included in every answer.
    pub name: String,
    /// Shards that the searcher serves.
    pub holds: Vec<HeldShard>,
    /// Maximum number of concurrent requests; further ones are shed.
    pub slots: u32,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: u32,
    /// Service time of a request, in microseconds.
    pub latency_us: u64,
    /// Delay before a new connection is served, in microseconds.
    pub connect_cost_us: u64,
    /// Number of requests to serve until the searcher is warm; 0 if it is
    /// warm.
    pub cold_requests: u32,
    /// Factor on the service time while the searcher is cold.
    pub cold_factor: u32,
    /// Whether every request is shed.
    pub shed: bool,
    /// Whether the connection is closed without an answer after the request
    /// ran.
    pub lose_answers: bool,
    /// Damage to answers.
    pub damage: Damage,
    /// Status in the health report; `None` closes the connection instead.
    pub health: Option<String>,
    /// Identifier of the run of the process.
    pub boot_id: u64,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            name: String::from("searcher"),
            holds: Vec::new(),
            slots: 2,
            connections: 25,
            latency_us: 1_000,
            connect_cost_us: 0,
            cold_requests: 0,
            cold_factor: 10,
            shed: false,
            lose_answers: false,
            damage: Damage::None,
            health: Some(String::from("ok")),
            boot_id: 1,
        }
    }
}

/// Kind of damage to answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Damage {
    /// Answers are intact.
    None,
    /// Answers carry the id of another request.
    WrongId,
    /// The body does not match its checksum.
    WrongChecksum,
    /// The body is shorter than announced.
    Truncated,
    /// Answers name another snapshot.
    WrongSnapshot,
}

/// Counters of a searcher.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// Search requests received, shed ones included.
    pub requests: u64,
    /// Requests that ran to completion.
    pub completed: u64,
    /// Requests shed.
    pub shed: u64,
    /// Largest number of concurrently running requests.
    pub max_running: u32,
    /// Requests that arrived while all slots were in use.
    pub overruns: u64,
    /// Requests that arrived while the searcher was cold and another request
    /// ran.
    pub cold_overruns: u64,
    /// Largest number of open connections.
    pub max_connections: u32,
    /// Connections refused because too many were open.
    pub refused_connections: u64,
    /// Number of runs of each request body.
    pub runs: BTreeMap<String, u32>,
    /// Time since the last search request arrived, in milliseconds.
    pub last_request_ms: Option<u64>,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    stats: Stats,
    running: u32,
    connections: u32,
    last_request: Option<Instant>,
    /// Cancellation signals of the running requests, by request id.
    cancel_signals: BTreeMap<String, Arc<Notify>>,
}

/// A running searcher; stops when dropped.
#[derive(Debug)]
pub struct Searcher {
    address: SocketAddr,
    state: Shared,
    task: JoinHandle<()>,
}

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<State>>);

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Shared")
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic while locked")
    }
}

impl Searcher {
    /// Starts a searcher on `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        listen: SocketAddr,
        behaviour: Behaviour,
    ) -> std::io::Result<Searcher> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Shared::default();
        state.lock().behaviour = behaviour;
        let (on_connect, on_request) = (state.clone(), state.clone());
        let task = tokio::spawn(serve(
            listener,
            move || accept(on_connect.clone()),
            move |req| handle(on_request.clone(), req),
        ));
        Ok(Searcher { address, state, task })
    }

    /// Returns the address that the searcher listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Updates the behaviour.
    pub fn update(&self, update: impl FnOnce(&mut Behaviour)) {
        update(&mut self.state.lock().behaviour);
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        stats(&self.state)
    }

    /// Resets the counters.
    pub fn reset_stats(&self) {
        let mut state = self.state.lock();
        state.stats = Stats::default();
        state.last_request = None;
    }
}

impl Drop for Searcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn stats(state: &Shared) -> Stats {
    let state = state.lock();
    let mut stats = state.stats.clone();
    stats.last_request_ms =
        state.last_request.map(|at| at.elapsed().as_millis() as u64);
    stats
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Shared);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.lock().connections -= 1;
    }
}

async fn accept(shared: Shared) -> Option<ConnectionGuard> {
    let cost = {
        let mut state = shared.lock();
        if state.connections >= state.behaviour.connections {
            state.stats.refused_connections += 1;
            return None;
        }
        state.connections += 1;
        let open = state.connections;
        let max = &mut state.stats.max_connections;
        *max = open.max(*max);
        state.behaviour.connect_cost_us
    };
    let guard = ConnectionGuard(shared);
    if cost > 0 {
        tokio::time::sleep(Duration::from_micros(cost)).await;
    }
    Some(guard)
}

/// Occupies a slot for a request until it is dropped.
struct RunGuard(Shared, String);

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.running -= 1;
        state.cancel_signals.remove(&self.1);
    }
}

/// Cancels a request and responds once it no longer runs.
async fn cancel(shared: Shared, headers: &HeaderMap) -> Reply {
    let id = headers.get("x-request-id").and_then(|v| v.to_str().ok());
    let id = id.unwrap_or("").to_owned();
    let find_running = || shared.lock().cancel_signals.get(&id).cloned();
    while let Some(signal) = find_running() {
        signal.notify_one();
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    status(StatusCode::OK)
}

async fn handle(
    shared: Shared,
    req: Request<Incoming>,
) -> Result<Reply, HandlerError> {
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/search") => search(shared, req).await,
        (&Method::POST, "/cancel") => Ok(cancel(shared, req.headers()).await),
        (&Method::GET, "/health") => health(&shared),
        (&Method::GET, "/load") => {
            let running = shared.lock().running;
            Ok(json(&serde_json::json!({"running": running, "queued": 0})))
        }
        (&Method::GET, "/record") => Ok(json(&stats(&shared))),
        (&Method::POST, "/behaviour") => match read_json(req).await {
            Some(behaviour) => {
                shared.lock().behaviour = behaviour;
                Ok(status(StatusCode::OK))
            }
            None => Ok(status(StatusCode::BAD_REQUEST)),
        },
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

fn health(shared: &Shared) -> Result<Reply, HandlerError> {
    let state = shared.lock();
    let Some(health) = &state.behaviour.health else {
        return Err(HandlerError::Disconnect);
    };
    Ok(json(&serde_json::json!({
        "status": health,
        "boot_id": state.behaviour.boot_id,
        "uptime_ms": 1_000,
        "holds": holds_header(&state.behaviour.holds),
    })))
}

fn holds_header(holds: &[HeldShard]) -> String {
    let items: Vec<String> = holds
        .iter()
        .map(|h| {
            format!(
                "{}/{}/{}/{}",
                h.index_version, h.partition_map, h.shard, h.shard_count
            )
        })
        .collect();
    items.join(",")
}

/// A search request, parsed from its headers.
struct Search {
    id: String,
    held: HeldShard,
    deadline: Duration,
}

impl Search {
    /// Returns the request as an error if the searcher does not hold its
    /// shard.
    fn parse(
        headers: &HeaderMap,
        holds: &[HeldShard],
    ) -> Result<Search, Search> {
        let header = |name: &str| {
            headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
        };
        let number = |name: &str| header(name).parse().unwrap_or(u64::MAX);
        let requested = HeldShard {
            index_version: number("x-index-version"),
            partition_map: number("x-partition-map"),
            shard: number("x-shard") as u32,
            shard_count: 0,
        };
        let found = holds
            .iter()
            .find(|h| HeldShard { shard_count: 0, ..**h } == requested);
        let search = Search {
            id: header("x-request-id").to_owned(),
            held: found.copied().unwrap_or(requested),
            deadline: Duration::from_millis(
                number("x-deadline-ms").min(60_000),
            ),
        };
        if found.is_some() { Ok(search) } else { Err(search) }
    }
}

async fn search(
    shared: Shared,
    req: Request<Incoming>,
) -> Result<Reply, HandlerError> {
    let (parts, body) = req.into_parts();
    let Ok(body) = body.collect().await else {
        return Err(HandlerError::Disconnect);
    };
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let cancelled = Arc::new(Notify::new());
    let (search, behaviour, cold, _guard) = {
        let mut state = shared.lock();
        state.stats.requests += 1;
        state.last_request = Some(Instant::now());
        let behaviour = state.behaviour.clone();
        let cold = behaviour.cold_requests > 0;
        let search = match Search::parse(&parts.headers, &behaviour.holds) {
            Ok(search) => search,
            Err(search) => {
                return Ok(answer(
                    StatusCode::CONFLICT,
                    &search,
                    &behaviour,
                    String::new(),
                ));
            }
        };
        if cold && state.running >= 1 {
            state.stats.cold_overruns += 1;
        }
        let full = state.running >= behaviour.slots;
        if full {
            state.stats.overruns += 1;
        }
        if full || behaviour.shed {
            state.stats.shed += 1;
            return Ok(answer(
                StatusCode::SERVICE_UNAVAILABLE,
                &search,
                &behaviour,
                String::new(),
            ));
        }
        state.running += 1;
        let running = state.running;
        let max = &mut state.stats.max_running;
        *max = running.max(*max);
        *state.stats.runs.entry(body.clone()).or_default() += 1;
        let id = search.id.clone();
        state.cancel_signals.insert(id.clone(), Arc::clone(&cancelled));
        (search, behaviour, cold, RunGuard(shared.clone(), id))
    };
    let factor = if cold { u64::from(behaviour.cold_factor) } else { 1 };
    let service_time = Duration::from_micros(behaviour.latency_us * factor);
    tokio::select! {
        () = tokio::time::sleep(service_time.min(search.deadline)) => {}
        () = cancelled.notified() => return Err(HandlerError::Disconnect),
    }
    if service_time > search.deadline {
        return Ok(answer(
            StatusCode::GATEWAY_TIMEOUT,
            &search,
            &behaviour,
            String::new(),
        ));
    }
    {
        let mut state = shared.lock();
        state.stats.completed += 1;
        let remaining = state.behaviour.cold_requests.saturating_sub(1);
        state.behaviour.cold_requests = remaining;
    }
    if behaviour.lose_answers {
        return Err(HandlerError::Disconnect);
    }
    let result = serde_json::json!({
        "searcher": behaviour.name,
        "shard": search.held.shard,
        "index_version": search.held.index_version,
        "echo": body,
    });
    Ok(answer(StatusCode::OK, &search, &behaviour, result.to_string()))
}

fn answer(
    code: StatusCode,
    search: &Search,
    behaviour: &Behaviour,
    body: String,
) -> Reply {
    let damage = behaviour.damage;
    let mut checksum = crc32fast::hash(body.as_bytes());
    if damage == Damage::WrongChecksum {
        checksum ^= 1;
    }
    let mut body = body;
    if damage == Damage::Truncated {
        body.truncate(body.len() / 2);
    }
    let id = match damage {
        Damage::WrongId => "0000000000000000-0-0",
        _ => &search.id,
    };
    let version = match damage {
        Damage::WrongSnapshot => search.held.index_version + 1,
        _ => search.held.index_version,
    };
    let verdict = match code {
        StatusCode::OK => "ran",
        StatusCode::GATEWAY_TIMEOUT => "may_have_run",
        _ => "not_run",
    };
    Response::builder()
        .status(code)
        .header("content-type", "application/json")
        .header("x-request-id", id)
        .header("x-index-version", version)
        .header("x-partition-map", search.held.partition_map)
        .header("x-shard", search.held.shard)
        .header("x-boot-id", behaviour.boot_id)
        .header("x-checksum", format!("{checksum:08x}"))
        .header("x-holds", holds_header(&behaviour.holds))
        .header("x-verdict", verdict)
        .body(Full::new(Bytes::from(body)))
        .expect("valid response")
}
