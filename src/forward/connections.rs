/*!
Connections to listed targets.

Each attempt is a task that takes an idle connection or opens one, sends the
request and reads the complete answer. A connection goes back to the pool only
after a whole answer to its own request; in every other case it is closed.
*/

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use primrosemast_core::{
    forward::{Outcome, TargetRequest},
    id::AttemptId,
};
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::timeout,
};

use super::protocol::{CallerRequest, Protocol, TargetAnswer};

/// Time to open a connection: a few round trips, and the 150 ms for which a
/// target may pause.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest body that is accepted from a target, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Idle time after which a connection is closed if the target does not say
/// how long it keeps one.
const IDLE_MAX: Duration = Duration::from_secs(10);

/// Part of the time that a target keeps an idle connection in which it is
/// used again. The rest covers a request on its way.
const IDLE_PART: f64 = 0.7;

/// Idle time after which a connection is not used for a request that must
/// not run twice: the target may have dropped it without notice.
const IDLE_MAX_ONCE: Duration = Duration::from_secs(1);

/// A connection; closed when it is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    keep: Duration,
}

/// Idle connections, sorted by address.
type Pool = Rc<RefCell<Vec<(SocketAddr, Vec<Idle>)>>>;

/// Running attempts and idle connections.
#[derive(Debug)]
pub(crate) struct Connections<P> {
    protocol: P,
    pool: Pool,
    /// Sorted by attempt, which only grows.
    running: Vec<(AttemptId, AbortHandle)>,
}

/// How an attempt has ended, with the answer if there was one.
pub(crate) type Ended = (Outcome, Option<TargetAnswer>);

impl<P: Protocol> Connections<P> {
    pub(crate) fn new(protocol: P) -> Connections<P> {
        Connections { protocol, pool: Pool::default(), running: Vec::new() }
    }

    /// Starts an attempt; `report` gets its result unless it is cancelled.
    pub(crate) fn send(
        &mut self,
        send: TargetRequest,
        req: Arc<CallerRequest>,
        report: impl FnOnce(AttemptId, Ended) + 'static,
    ) {
        let id = send.attempt;
        let protocol = self.protocol.clone();
        let pool = Rc::clone(&self.pool);
        let task = spawn_local(async move {
            let ended = attempt(&protocol, &pool, &send, &req).await;
            report(send.attempt, ended);
        });
        self.running.push((id, task.abort_handle()));
    }

    /// Forgets an attempt that has reported its end.
    pub(crate) fn ended(&mut self, id: AttemptId) {
        self.remove(id);
    }

    /// Ends an attempt and closes its connection.
    pub(crate) fn cancel(&mut self, id: AttemptId) {
        if let Some(task) = self.remove(id) {
            task.abort();
        }
    }

    fn remove(&mut self, id: AttemptId) -> Option<AbortHandle> {
        let i = self.running.binary_search_by_key(&id, |r| r.0).ok()?;
        Some(self.running.remove(i).1)
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        let mut pool = self.pool.borrow_mut();
        for (_, idle) in pool.iter_mut() {
            idle.retain(|i| {
                i.since.elapsed() < i.keep && !i.connection.sender.is_closed()
            });
        }
        pool.retain(|p| !p.1.is_empty());
    }
}

/// Takes the idle connection that was used last.
fn take_idle(
    pool: &Pool,
    address: SocketAddr,
    repeatable: bool,
) -> Option<Connection> {
    let mut pool = pool.borrow_mut();
    let i = pool.binary_search_by_key(&address, |p| p.0).ok()?;
    while let Some(idle) = pool[i].1.pop() {
        let mut keep = idle.keep;
        if !repeatable {
            keep = keep.min(IDLE_MAX_ONCE);
        }
        let usable =
            idle.since.elapsed() < keep && idle.connection.sender.is_ready();
        if usable {
            return Some(idle.connection);
        }
    }
    None
}

fn put_idle(
    pool: &Pool,
    address: SocketAddr,
    connection: Connection,
    keep: Option<Duration>,
) {
    let keep = keep.map_or(IDLE_MAX, |k| k.mul_f64(IDLE_PART)).min(IDLE_MAX);
    let idle = Idle { connection, since: Instant::now(), keep };
    let mut pool = pool.borrow_mut();
    match pool.binary_search_by_key(&address, |p| p.0) {
        Ok(i) => pool[i].1.push(idle),
        Err(i) => pool.insert(i, (address, vec![idle])),
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    // Without it, a request may wait for the acknowledgement of the last.
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = spawn_local(async move {
        // The attempt learns of an error from its own future.
        let _ = connection.await;
    });
    Some(Connection { sender, driver: driver.abort_handle() })
}

async fn attempt(
    protocol: &impl Protocol,
    pool: &Pool,
    send: &TargetRequest,
    req: &CallerRequest,
) -> Ended {
    let mut reused = take_idle(pool, send.address, send.repeatable);
    loop {
        let fresh = reused.is_none();
        let connection = match reused.take() {
            Some(connection) => Some(connection),
            None => connect(send.address).await,
        };
        let Some(mut connection) = connection else {
            return (Outcome::Unreachable, None);
        };
        if connection.sender.ready().await.is_err() {
            // The target closed it before anything was sent.
            if fresh {
                return (Outcome::Unreachable, None);
            }
            continue;
        }
        let outgoing = protocol.target_request(req, send);
        let response = match connection.sender.send_request(outgoing).await {
            Ok(response) => response,
            // hyper reports `canceled` only if it never took the request.
            Err(e) if e.is_canceled() && !fresh => continue,
            Err(e) if e.is_canceled() => return (Outcome::Unreachable, None),
            Err(_) => return (Outcome::Broken, None),
        };
        return answer(protocol, pool, send, req, connection, response).await;
    }
}

/// Reads an answer and keeps the connection if it is at a clean end.
async fn answer(
    protocol: &impl Protocol,
    pool: &Pool,
    send: &TargetRequest,
    req: &CallerRequest,
    connection: Connection,
    response: Response<Incoming>,
) -> Ended {
    let (parts, body) = response.into_parts();
    let id = &req.head.request_id;
    let head = protocol.answer_head(id, parts.status, &parts.headers);
    // The answer to another request: the connection is out of step.
    let Some(head) = head else { return (Outcome::Broken, None) };
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let Ok(body) = body else { return (Outcome::Broken, None) };
    if keeps_connection(&parts.headers) {
        put_idle(pool, send.address, connection, head.keep_alive);
    }
    let answer = TargetAnswer {
        status: parts.status,
        headers: parts.headers,
        signatures: head.signature.into_iter().collect(),
        body: body.to_bytes(),
    };
    (head.outcome, Some(answer))
}

fn keeps_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    let closes = values
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .any(|v| v.trim().eq_ignore_ascii_case("close"));
    !closes
}
