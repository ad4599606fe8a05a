/*!
Connections to listed targets.

Each attempt is a task that takes an idle connection or opens one, sends the
request and reads the complete answer. A connection returns to the pool only
after a complete answer to its own request; in every other case it is closed.

A target may send an answer a second time, where the next one is expected. The
request identifier tells answers to different requests apart, but not those to
two attempts of one request, so a connection carries each request only once.
*/

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, Response, header};
use hyper::body::Incoming;
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
use crate::{
    daemon::Clock,
    held::Account,
    http_exchange::{self, SendError, Sender},
};

/// Timeout for opening a connection. Covers a few round trips and a pause of
/// the target of 150 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest idle time of a connection, also if the target keeps it longer or
/// does not send how long it keeps it.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Fraction of a target's keep-alive time in which an idle connection is
/// reused. The remainder covers the time that a request takes to arrive.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Longest idle time of a connection that is reused for a request that must
/// not run twice: the target may have dropped the connection without notice.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_secs(1);

/// Number of unsuccessful requests after which a connection is closed, so that
/// their identifiers take little memory.
const MAX_UNSUCCESSFUL: usize = 16;

/// A connection; closed when it is dropped.
#[derive(Debug)]
struct Connection {
    sender: Sender,
    driver: AbortHandle,
    /// Identifiers of the requests that were answered without success and may
    /// be sent again.
    unsuccessful: Vec<Arc<str>>,
}

impl Connection {
    /// Returns whether an answer to this request may still arrive, although
    /// one has been read.
    fn has_carried(&self, request_id: &str) -> bool {
        self.unsuccessful.iter().any(|id| **id == *request_id)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An idle connection, and for how long it may be reused.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    max_idle: Duration,
}

/// Idle connections, sorted by address.
type Pool = Rc<RefCell<Vec<(SocketAddr, Vec<IdleConnection>)>>>;

/// What all attempts share.
struct Shared {
    pool: Pool,
    account: Account,
    /// Clock of the reducer.
    clock: Clock,
}

/// Running attempts and idle connections.
#[derive(Debug)]
pub(crate) struct Connections<P> {
    protocol: P,
    pool: Pool,
    account: Account,
    clock: Clock,
    /// Sorted by attempt: each new attempt has a higher identifier.
    running: Vec<(AttemptId, AbortHandle)>,
}

/// The outcome of an attempt, and the answer if there is one.
pub(crate) type AttemptResult = (Outcome, Option<TargetAnswer>);

impl<P: Protocol> Connections<P> {
    pub(crate) fn new(
        protocol: P,
        account: Account,
        clock: Clock,
    ) -> Connections<P> {
        Connections {
            protocol,
            pool: Pool::default(),
            account,
            clock,
            running: Vec::new(),
        }
    }

    /// Starts an attempt. `report` is called with its result, unless the
    /// attempt is cancelled.
    pub(crate) fn send(
        &mut self,
        target_request: TargetRequest,
        req: Arc<CallerRequest>,
        report: impl FnOnce(AttemptId, AttemptResult) + 'static,
    ) {
        let id = target_request.attempt;
        let protocol = self.protocol.clone();
        let cx = Shared {
            pool: Rc::clone(&self.pool),
            account: self.account.clone(),
            clock: self.clock,
        };
        let task = spawn_local(async move {
            let result =
                run_attempt(&protocol, &cx, &target_request, &req).await;
            report(target_request.attempt, result);
        });
        self.running.push((id, task.abort_handle()));
    }

    /// Removes an attempt that has reported its result.
    pub(crate) fn finish(&mut self, id: AttemptId) {
        self.remove(id);
    }

    /// Aborts an attempt and closes its connection.
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
                i.since.elapsed() < i.max_idle
                    && !i.connection.sender.is_closed()
            });
        }
        pool.retain(|p| !p.1.is_empty());
    }
}

/// Takes the most recently used idle connection to an address that has not
/// carried the request, and drops those that may no longer be reused until it
/// finds one that may.
fn take_idle(
    pool: &Pool,
    target_request: &TargetRequest,
    request_id: &str,
) -> Option<Connection> {
    let mut pool = pool.borrow_mut();
    let address = target_request.address;
    let i = pool.binary_search_by_key(&address, |p| p.0).ok()?;
    let connections = &mut pool[i].1;
    let unused =
        |idle: &IdleConnection| !idle.connection.has_carried(request_id);
    while let Some(last) = connections.iter().rposition(unused) {
        let idle = connections.remove(last);
        let mut max_idle = idle.max_idle;
        if !target_request.repeatable {
            max_idle = max_idle.min(MAX_IDLE_NON_REPEATABLE);
        }
        let usable = idle.since.elapsed() < max_idle
            && idle.connection.sender.is_ready();
        if usable {
            return Some(idle.connection);
        }
    }
    None
}

/// Returns a connection to the pool.
fn put_idle(
    pool: &Pool,
    address: SocketAddr,
    connection: Connection,
    keep_alive: Option<Duration>,
) {
    let max_idle = keep_alive
        .map_or(MAX_IDLE, |k| k.mul_f64(KEEP_ALIVE_FRACTION))
        .min(MAX_IDLE);
    let idle = IdleConnection { connection, since: Instant::now(), max_idle };
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
    // Without it, Nagle's algorithm may delay a request until the previous
    // one is acknowledged.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http_exchange::handshake(stream).await.ok()?;
    let driver = spawn_local(async move {
        // The attempt receives the error from its own request.
        let _ = connection.await;
    });
    let driver = driver.abort_handle();
    Some(Connection { sender, driver, unsuccessful: Vec::new() })
}

async fn run_attempt(
    protocol: &impl Protocol,
    cx: &Shared,
    target_request: &TargetRequest,
    req: &CallerRequest,
) -> AttemptResult {
    let mut reused = take_idle(&cx.pool, target_request, &req.head.request_id);
    loop {
        let fresh = reused.is_none();
        let connection = match reused.take() {
            Some(connection) => Some(connection),
            None => connect(target_request.address).await,
        };
        let Some(mut connection) = connection else {
            return (Outcome::Unreachable, None);
        };
        if connection.sender.ready().await.is_err() {
            // The target closed the connection before anything was sent.
            if fresh {
                return (Outcome::Unreachable, None);
            }
            continue;
        }
        // The process may have been suspended since the attempt was started.
        let too_late =
            target_request.write_by.is_some_and(|at| cx.clock.now() >= at);
        if too_late {
            return (Outcome::Withheld, None);
        }
        let http_req = protocol.target_request(req, target_request);
        let response = match connection.sender.send(http_req).await {
            Ok(response) => response,
            Err(SendError::NotSent) if !fresh => continue,
            Err(SendError::NotSent) => return (Outcome::Unreachable, None),
            Err(SendError::Broken) => return (Outcome::Broken, None),
        };
        return read_answer(
            protocol,
            cx,
            target_request,
            req,
            Exchange { connection, fresh, response },
        )
        .await;
    }
}

/// A request that was sent, and the head of its answer.
struct Exchange {
    connection: Connection,
    /// Whether the connection has carried no other request.
    fresh: bool,
    response: Response<Incoming>,
}

/// Reads an answer, and returns the connection to the pool if it can be
/// reused.
async fn read_answer(
    protocol: &impl Protocol,
    cx: &Shared,
    target_request: &TargetRequest,
    req: &CallerRequest,
    exchange: Exchange,
) -> AttemptResult {
    let Exchange { mut connection, fresh, response } = exchange;
    let (parts, body) = response.into_parts();
    let id = &req.head.request_id;
    let head = protocol.answer_head(id, parts.status, &parts.headers);
    // Otherwise this is, or may be, the answer to another request, so requests
    // and answers on the connection no longer match.
    let Some(head) = head.filter(|h| h.names_request || fresh) else {
        return (Outcome::Broken, None);
    };
    let Some(body) = cx.account.read_answer(body).await else {
        return (Outcome::Broken, None);
    };
    if head.outcome != Outcome::Success {
        connection.unsuccessful.push(Arc::clone(id));
    }
    let full = connection.unsuccessful.len() >= MAX_UNSUCCESSFUL;
    if is_reusable(&parts.headers) && !full {
        let address = target_request.address;
        put_idle(&cx.pool, address, connection, head.keep_alive);
    }
    let answer = TargetAnswer {
        status: parts.status,
        headers: parts.headers,
        signatures: head.signature.into_iter().collect(),
        body,
    };
    (head.outcome, Some(answer))
}

fn is_reusable(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    let closes = values
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .any(|v| v.trim().eq_ignore_ascii_case("close"));
    !closes
}
