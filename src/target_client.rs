/*!
Connections to targets.

Each connection is identified by a [`ConnId`] that the reducer has assigned,
carries one request at a time, and has its own task. The tasks only report
events; the reducer decides on timeouts, reuse and retries.
*/

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use primrosemast_core::{
    id::{ConnId, TargetId},
    snapshot::{Holding, Snapshot},
    target::{
        CloseReason, HealthReport, HealthStatus, Job, RequestId, TargetAnswer,
        TargetEvent,
    },
    verdict::Verdict,
};
use serde::Deserialize;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    task::{AbortHandle, spawn_local},
    time::timeout,
};

use crate::{
    held::Account,
    http_exchange::{self, SendError, Sender},
};

/// Timeout for opening a connection. A target that takes longer is treated
/// like one that refuses connections.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for a complete health probe, including its connection.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for delivering a cancellation, which is best effort.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of a health report, in bytes. It lists every shard that the
/// target holds, of at most 4,096.
const MAX_HEALTH_BYTES: usize = 256 << 10;

/// Receiver of the events of connection tasks.
pub(crate) trait EventSink: Clone + 'static {
    /// Reports an event to the reducer.
    fn report(&self, event: TargetEvent);
}

/// A request to a target, with its remaining time.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// The request.
    pub(crate) job: Job,
    /// Time until the deadline of the request.
    pub(crate) budget: Duration,
}

/// All open connections, sorted by identifier.
#[derive(Debug)]
pub(crate) struct Connections {
    open: Vec<Connection>,
    account: Account,
}

#[derive(Debug)]
struct Connection {
    id: ConnId,
    requests: mpsc::UnboundedSender<Outgoing>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connections {
    pub(crate) fn new(account: Account) -> Connections {
        Connections { open: Vec::new(), account }
    }

    /// Opens a connection in the background.
    pub(crate) fn open(
        &mut self,
        id: ConnId,
        address: SocketAddr,
        events: impl EventSink,
    ) {
        let (tx, rx) = mpsc::unbounded_channel();
        let account = self.account.clone();
        let task =
            spawn_local(run_connection(id, address, rx, account, events))
                .abort_handle();
        let connection = Connection { id, requests: tx, task };
        match self.position(id) {
            Ok(i) => self.open[i] = connection,
            Err(i) => self.open.insert(i, connection),
        }
    }

    /// Sends a request on a connection.
    pub(crate) fn send(&self, id: ConnId, outgoing: Outgoing) {
        if let Ok(i) = self.position(id) {
            // The channel is closed only if the task has already reported
            // the end of the connection to the reducer.
            let _ = self.open[i].requests.send(outgoing);
        }
    }

    /// Closes a connection in any state.
    pub(crate) fn close(&mut self, id: ConnId) {
        if let Ok(i) = self.position(id) {
            self.open.remove(i);
        }
    }

    fn position(&self, id: ConnId) -> Result<usize, usize> {
        self.open.binary_search_by_key(&id, |c| c.id)
    }
}

/// Opens a connection and sends its requests, one at a time, until it ends.
async fn run_connection(
    id: ConnId,
    address: SocketAddr,
    mut requests: mpsc::UnboundedReceiver<Outgoing>,
    account: Account,
    events: impl EventSink,
) {
    let Some((mut sender, mut closed)) = connect(address).await else {
        events.report(TargetEvent::ConnectFailed(id));
        return;
    };
    events.report(TargetEvent::Connected(id));
    loop {
        let outgoing = tokio::select! {
            biased;
            outgoing = requests.recv() => outgoing,
            _ = &mut closed => {
                events.report(TargetEvent::ConnClosed(id, CloseReason::Idle));
                return;
            }
        };
        let Some(Outgoing { job, budget }) = outgoing else { return };
        let job_id = job.id;
        let req = build_request(address, job, budget);
        let result = exchange(id, &mut sender, &account, req, &events).await;
        match result {
            Ok(answer) => {
                events.report(TargetEvent::Answer(id, job_id, answer));
            }
            Err(reason) => {
                events.report(TargetEvent::ConnClosed(id, reason));
                return;
            }
        }
    }
}

/// Opens a connection. The receiver resolves when the connection has closed.
async fn connect(
    address: SocketAddr,
) -> Option<(Sender, oneshot::Receiver<()>)> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http_exchange::handshake(stream).await.ok()?;
    let (tx, rx) = oneshot::channel();
    // The connection task ends when the sender is dropped.
    spawn_local(async move {
        let _ = connection.await;
        let _ = tx.send(());
    });
    Some((sender, rx))
}

/// Sends a request and reads its answer. Fails with the reason for which the
/// connection can no longer be used.
async fn exchange(
    id: ConnId,
    sender: &mut Sender,
    account: &Account,
    req: Request<Full<Bytes>>,
    events: &impl EventSink,
) -> Result<TargetAnswer, CloseReason> {
    if sender.ready().await.is_err() {
        return Err(CloseReason::NothingSent);
    }
    let response = sender.send(req).await.map_err(|e| match e {
        SendError::NotSent => CloseReason::NothingSent,
        SendError::Broken => CloseReason::MayHaveSent,
    })?;
    events.report(TargetEvent::Received(id));
    let (parts, body) = response.into_parts();
    let body = account.read_answer(body).await;
    let body = body.ok_or(CloseReason::MayHaveSent)?;
    Ok(parse_answer(parts.status.as_u16(), &parts.headers, body))
}

/// Builds the HTTP request of a job.
fn build_request(
    address: SocketAddr,
    job: Job,
    budget: Duration,
) -> Request<Full<Bytes>> {
    let id =
        RequestId { query: job.query, attempt: job.attempt, shard: job.shard };
    let repeatable = if job.repeatable { "yes" } else { "no" };
    // Rounded up, so that the target does not refuse a request with less
    // than a millisecond left as expired.
    let deadline_ms = budget.as_micros().div_ceil(1_000) as u64;
    Request::post("/search")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", id.to_string())
        .header("x-index-version", job.snapshot.index_version)
        .header("x-partition-map", job.snapshot.partition_map)
        .header("x-shard", job.shard)
        .header("x-deadline-ms", deadline_ms)
        .header("x-repeatable", repeatable)
        .body(Full::new(job.body))
        .expect("header values are numbers and fixed words")
}

/// Parses a target's answer. Headers that are missing or invalid leave their
/// fields empty.
fn parse_answer(
    status: u16,
    headers: &HeaderMap,
    body: Bytes,
) -> TargetAnswer {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let number = |name| text(name).and_then(|s| s.parse::<u64>().ok());
    let snapshot = number("x-index-version")
        .zip(number("x-partition-map"))
        .map(|(index_version, partition_map)| Snapshot {
            index_version,
            partition_map,
        });
    TargetAnswer {
        status,
        request_id: text("x-request-id").unwrap_or("").to_owned(),
        snapshot,
        shard: number("x-shard").and_then(|n| u32::try_from(n).ok()),
        boot_id: number("x-boot-id"),
        checksum: text("x-checksum")
            .and_then(|s| u32::from_str_radix(s, 16).ok()),
        body_checksum: crc32fast::hash(&body),
        holds: text("x-holds").and_then(parse_holds),
        verdict: text("x-verdict").and_then(parse_verdict),
        body,
    }
}

fn parse_verdict(text: &str) -> Option<Verdict> {
    match text {
        "not-run" | "not_run" => Some(Verdict::NotRun),
        "may-have-run" | "may_have_run" => Some(Verdict::MayHaveRun),
        "ran" => Some(Verdict::Ran),
        _ => None,
    }
}

/// Parses a list of `index_version/partition_map/shard/shard_count`, separated
/// by commas. Returns `None` if any item is invalid.
fn parse_holds(text: &str) -> Option<Vec<Holding>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    let mut holds = text
        .split(',')
        .map(|item| {
            let mut parts = item.trim().split('/');
            let mut next = || parts.next()?.parse::<u64>().ok();
            let snapshot =
                Snapshot { index_version: next()?, partition_map: next()? };
            let shard = u32::try_from(next()?).ok()?;
            let shard_count = u32::try_from(next()?).ok()?;
            let holding = Holding { snapshot, shard, shard_count };
            (parts.next().is_none() && shard < shard_count).then_some(holding)
        })
        .collect::<Option<Vec<Holding>>>()?;
    holds.sort_unstable();
    holds.dedup();
    Some(holds)
}

/// Sends a health probe on a separate connection and reports the result.
pub(crate) fn probe_health(
    target: TargetId,
    address: SocketAddr,
    events: impl EventSink,
) {
    spawn_local(async move {
        let probe = timeout(PROBE_TIMEOUT, health(address));
        let report = probe.await.ok().flatten();
        events.report(TargetEvent::Health(target, report));
    });
}

async fn health(address: SocketAddr) -> Option<HealthReport> {
    #[derive(Deserialize)]
    struct Health {
        status: HealthStatus,
        boot_id: u64,
        #[serde(default)]
        uptime_ms: u64,
        #[serde(default)]
        holds: String,
    }

    let req = Request::get("/health")
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .body(Full::new(Bytes::new()))
        .expect("valid request");
    let response = send_once(address, req).await?;
    let body = Limited::new(response.into_body(), MAX_HEALTH_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    let health: Health = serde_json::from_slice(&body).ok()?;
    Some(HealthReport {
        status: health.status,
        boot_id: health.boot_id,
        uptime_ms: health.uptime_ms,
        holds: parse_holds(&health.holds)?,
    })
}

/// Sends a cancellation to a target, and reports an event once the target has
/// confirmed that it no longer runs the request.
pub(crate) fn cancel(
    target: TargetId,
    address: SocketAddr,
    id: RequestId,
    events: impl EventSink,
) {
    spawn_local(timeout(CANCEL_TIMEOUT, async move {
        let req = Request::post("/cancel")
            .header(header::HOST, address.to_string())
            .header(header::CONNECTION, "close")
            .header("x-request-id", id.to_string())
            .body(Full::new(Bytes::new()))
            .expect("valid request");
        let response = send_once(address, req).await;
        if response.is_some_and(|r| r.status().is_success()) {
            events.report(TargetEvent::Cancelled(target, id));
        }
    }));
}

/// Sends one request on a separate connection that is closed afterwards.
async fn send_once(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Option<Response<Incoming>> {
    let (mut sender, _closed) = connect(address).await?;
    sender.send(req).await.ok()
}
