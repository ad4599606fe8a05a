//! The handle through which listeners use the daemon.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::body::Body;
use primrosemast_core::{
    config::{Configuration, ZoneState},
    control::{ControlReply, TableRevision, ZoneStateChange},
    forward::{
        Outcome, Submission,
        table::{CompiledTable, Forwarding},
    },
    held::{Holder, Listener},
    id::{AttemptId, ConfigVersion, Token},
    node::{Event, OperatorReply, OperatorRequest},
    query,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::spawn_local,
    time::timeout,
};
use volo_http::server::route::Router;

use super::metrics::Metrics;
use crate::{
    forward::{self, CallerRequest, TargetAnswer},
    held::{Account, ReadError},
    http_server,
};

/// Input of the daemon's loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A caller's request, and the channel for its response.
    Caller(
        Token,
        query::CallerRequest,
        oneshot::Sender<query::CallerResponse>,
    ),
    /// An operator's request, and the channel for its reply.
    Operator(Token, OperatorRequest, oneshot::Sender<OperatorReply>),
    /// A request for the configuration in force.
    Configuration(oneshot::Sender<Option<Arc<Configuration>>>),
    /// A request for a view of the state.
    View(ViewRequest, oneshot::Sender<ViewReply>),
    /// A caller's request on the forwarding path.
    Forward {
        /// Identifies the request.
        token: Token,
        /// The properties of the request that the reducer uses.
        submission: Submission,
        /// The request with its content.
        req: Arc<CallerRequest>,
        /// Channel for the response.
        response: oneshot::Sender<forward::CallerResponse>,
    },
    /// The caller of a forwarded request has closed its connection.
    ForwardCallerGone(Token),
    /// An attempt of the forwarding path has ended.
    ForwardAttemptEnded(AttemptId, (Outcome, Option<TargetAnswer>)),
    /// The disk is full. The storage thread continues once there is space.
    StorageFull(String),
    /// The storage thread has failed. The replica must not continue.
    StorageFailed(String),
}

/// Time after which an operator whose request cannot be served may come back,
/// in seconds: the shortest that the header holds. The control group replaces
/// a lost leader in 1.5 s.
pub const OPERATOR_RETRY_AFTER_S: u16 = 1;

/// An operator's request for a view of the state.
#[derive(Debug)]
pub(crate) enum ViewRequest {
    /// The status of the fleet and its targets.
    Status,
    /// The configuration in force.
    Configuration,
    /// The decisions on the request with this identifier.
    Explain(String),
    /// The outcome of the change with this identifier.
    Change(String),
}

/// Reply to a [`ViewRequest`].
#[derive(Debug)]
pub(crate) enum ViewReply {
    /// The view, as a JSON document.
    Found(serde_json::Value),
    /// There is no such view, for this reason.
    NotFound(String),
}

/// Handle through which listeners send requests to the daemon and read its
/// state.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
    next_token: Arc<AtomicU64>,
    ready: Arc<AtomicBool>,
    max_body_bytes: Arc<AtomicU32>,
    published: Arc<RwLock<PublishedState>>,
    /// Number of requests that wait because their key is unknown.
    key_waits: Arc<AtomicUsize>,
    account: Account,
    metrics: Metrics,
}

/// State that listeners read without a request to the daemon's loop.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublishedState {
    pub(crate) serving: bool,
    pub(crate) draining: bool,
    pub(crate) version: ConfigVersion,
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) table: Arc<CompiledTable>,
    /// Time before which no configuration newer than this one was accepted,
    /// as a control quorum has confirmed.
    pub(crate) confirmed_at: Option<Instant>,
}

/// Largest number of requests that wait because their key is unknown.
const MAX_KEY_WAITS: usize = 256;

/// Time for the body of an operator's request.
const OPERATOR_BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Time within which this instance has to receive a version that was accepted.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which the version of this instance is checked while it catches
/// up.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Result of an operator's request to the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request was accepted and is in force from this version on.
    Accepted(ConfigVersion),
    /// The request was not accepted, or its outcome is not known, for this
    /// reason. It may be sent again.
    NotNow(String),
    /// The request was not accepted and never will be, because it is too
    /// large for the data folder of the control leader, for this reason.
    TooLarge(String),
}

impl Handle {
    pub(crate) fn new(
        inputs: mpsc::UnboundedSender<Input>,
        account: Account,
        metrics: Metrics,
    ) -> Handle {
        Handle {
            inputs,
            next_token: Arc::new(AtomicU64::new(1)),
            ready: Arc::new(AtomicBool::new(false)),
            max_body_bytes: Arc::new(AtomicU32::new(1 << 20)),
            published: Arc::default(),
            key_waits: Arc::default(),
            account,
            metrics,
        }
    }

    /// Returns the account of what the process holds for others.
    pub(crate) fn account(&self) -> &Account {
        &self.account
    }

    /// Reads the complete body of an operator's request.
    ///
    /// # Errors
    ///
    /// Fails if the body is longer than `limit` bytes, if there is no room
    /// for it, and if the connection breaks.
    pub async fn read_operator_body<B>(
        &self,
        body: B,
        limit: usize,
    ) -> Result<Bytes, ReadError>
    where
        B: Body<Data = Bytes>,
        B::Error: fmt::Display,
    {
        let read = self.account.read(Holder::Operators, body, limit);
        match timeout(OPERATOR_BODY_TIMEOUT, read).await {
            Ok(read) => read,
            Err(_) => {
                Err(ReadError::Broken("it did not arrive in time".into()))
            }
        }
    }

    /// Starts a server for an API of the adapter. It runs until the process
    /// ends, on the thread of the daemon.
    pub fn serve_api(
        &self,
        listener: TcpListener,
        router: Router,
        kind: Listener,
    ) {
        let account = self.account.clone();
        spawn_local(async move {
            // It has no shutdown of its own, so the channel stays open.
            let (_open, never) = watch::channel(false);
            http_server::serve_router(listener, router, account, kind, never)
                .await;
        });
    }

    /// Queues an event for the reducer.
    pub(crate) fn event(&self, event: Event) {
        self.input(Input::Event(event));
    }

    pub(crate) fn input(&self, input: Input) {
        // The receiver is dropped only when the process is about to exit.
        let _ = self.inputs.send(input);
    }

    /// Returns whether load balancers should send new requests to this
    /// instance.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Replaces the state that listeners read.
    pub(crate) fn publish(&self, state: PublishedState) {
        if let Ok(mut current) = self.published.write() {
            *current = state;
        }
    }

    fn read_published<T>(&self, read: impl FnOnce(&PublishedState) -> T) -> T {
        match self.published.read() {
            Ok(state) => read(&state),
            // The value is replaced as a whole, so it is valid even after a
            // writer has panicked.
            Err(e) => read(&e.into_inner()),
        }
    }

    /// Returns the forwarding table in force.
    pub(crate) fn table(&self) -> Arc<CompiledTable> {
        self.read_published(|p| Arc::clone(&p.table))
    }

    /// Returns the forwarding table in force, and the time before which no
    /// newer configuration was accepted, as a control quorum has confirmed.
    pub(crate) fn confirmed_table(
        &self,
    ) -> (Option<Instant>, Arc<CompiledTable>) {
        self.read_published(|p| (p.confirmed_at, Arc::clone(&p.table)))
    }

    /// Counts a request that waits because its key is unknown, until the
    /// guard is dropped. Returns `None` if too many wait.
    pub(crate) fn wait_for_key(&self) -> Option<KeyWait> {
        let waits = self.key_waits.fetch_add(1, Ordering::Relaxed);
        let wait = KeyWait(Arc::clone(&self.key_waits));
        (waits < MAX_KEY_WAITS).then_some(wait)
    }

    /// Records a request that was refused because of its key.
    pub(crate) fn record_key_refusal(&self, reason: &'static str) {
        self.metrics.forward().record_key_refusal(reason);
    }

    /// Returns whether this instance may serve requests.
    pub(crate) fn serving(&self) -> bool {
        self.read_published(|p| p.serving)
    }

    /// Returns whether this instance is shutting down.
    pub(crate) fn draining(&self) -> bool {
        self.read_published(|p| p.draining)
    }

    /// Returns whether a route is known and its requests may run more than
    /// once.
    pub(crate) fn is_repeatable(&self, route: &str) -> bool {
        self.read_published(|p| {
            let cfg = p.configuration.as_deref();
            cfg.is_some_and(|c| c.is_repeatable(route))
        })
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> ConfigVersion {
        self.read_published(|p| p.version)
    }

    /// Serves a caller's request on the forwarding path. If the future is
    /// dropped because the caller closed its connection, the request is
    /// cancelled. Returns `None` if the daemon is stopping.
    pub(crate) async fn forward(
        &self,
        submission: Submission,
        req: Arc<CallerRequest>,
    ) -> Option<forward::CallerResponse> {
        let token = self.token();
        let (tx, rx) = oneshot::channel();
        self.input(Input::Forward { token, submission, req, response: tx });
        let disconnect = Input::ForwardCallerGone(token);
        let mut guard =
            DisconnectGuard { handle: self, on_drop: Some(disconnect) };
        let response = rx.await.ok();
        guard.on_drop = None;
        response
    }

    /// Installs a forwarding table, unless a higher revision is in force.
    pub async fn revise(&self, table: &Forwarding) -> Decision {
        // Serialising plain data to memory cannot fail.
        let bytes = rmp_serde::to_vec_named(table).unwrap_or_default().into();
        let revision =
            TableRevision { revision: table.revision, table: bytes };
        self.submit_control_request(OperatorRequest::Revise(revision)).await
    }

    /// Returns the number of orders for a zone so far, which the next order
    /// for it has to carry.
    ///
    /// # Errors
    ///
    /// Returns the reason if the control group does not answer, or if the
    /// daemon is stopping.
    pub async fn zone_orders(&self, zone: &str) -> Result<u64, String> {
        let read = OperatorRequest::ReadZone(zone.to_owned());
        match self.submit_operator_request(read).await {
            Some(OperatorReply::Control(ControlReply::ZoneOrders(orders))) => {
                Ok(orders)
            }
            reply => match decision(reply) {
                Decision::NotNow(reason) | Decision::TooLarge(reason) => {
                    Err(reason)
                }
                Decision::Accepted(_) => {
                    Err("the outcome is not known".into())
                }
            },
        }
    }

    /// Takes a zone out of service or returns it to service, unless another
    /// order for the zone was accepted after `after` ones.
    ///
    /// The number has to be one that the operator has seen itself. With one
    /// that this instance reads on its behalf, an order that was delayed
    /// before the read could undo newer ones.
    pub async fn set_zone(
        &self,
        zone: &str,
        state: ZoneState,
        after: u64,
    ) -> Decision {
        let zone = zone.to_owned();
        let change = ZoneStateChange { zone, state, after: Some(after) };
        self.submit_control_request(OperatorRequest::SetZone(change)).await
    }

    /// Waits until this instance has received all changes that were accepted
    /// before this call.
    ///
    /// # Errors
    ///
    /// Returns the reason if the control group does not answer, or if this
    /// instance does not receive the newest version in time.
    pub async fn catch_up(&self) -> Result<(), String> {
        let version = match self
            .submit_control_request(OperatorRequest::Barrier)
            .await
        {
            Decision::Accepted(version) => version,
            Decision::NotNow(reason) | Decision::TooLarge(reason) => {
                return Err(reason);
            }
        };
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        while self.version() < version {
            if Instant::now() >= deadline {
                return Err(format!(
                    "this instance knows version {} of {version}",
                    self.version()
                ));
            }
            tokio::time::sleep(CATCH_UP_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns a configuration that contains all changes accepted before this
    /// call, or `None` if there is no configuration.
    ///
    /// # Errors
    ///
    /// Returns the reason in the same cases as [`Handle::catch_up`], and if
    /// the daemon is stopping.
    pub async fn newest_configuration(
        &self,
    ) -> Result<Option<Arc<Configuration>>, String> {
        self.catch_up().await?;
        let (tx, rx) = oneshot::channel();
        self.input(Input::Configuration(tx));
        rx.await.map_err(|_| "this instance is stopping".into())
    }

    async fn submit_control_request(&self, req: OperatorRequest) -> Decision {
        decision(self.submit_operator_request(req).await)
    }

    /// Sets the addresses that are contacted to join the fleet.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.event(Event::Seeds(seeds));
    }

    /// Returns the largest body of a caller's request, in bytes.
    pub(crate) fn max_body_bytes(&self) -> usize {
        self.max_body_bytes.load(Ordering::Relaxed) as usize
    }

    pub(crate) fn set_max_body_bytes(&self, bytes: u32) {
        self.max_body_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Serves a caller's query. If the future is dropped because the caller
    /// closed its connection, the query is cancelled. Returns `None` if the
    /// daemon is stopping.
    pub(crate) async fn submit_query(
        &self,
        req: query::CallerRequest,
    ) -> Option<query::CallerResponse> {
        let token = self.token();
        let (tx, rx) = oneshot::channel();
        self.input(Input::Caller(token, req, tx));
        let disconnect = Input::Event(Event::CallerGone(token));
        let mut guard =
            DisconnectGuard { handle: self, on_drop: Some(disconnect) };
        let response = rx.await.ok();
        guard.on_drop = None;
        response
    }

    /// Carries out an operator's request. Returns `None` if the daemon is
    /// stopping.
    pub(crate) async fn submit_operator_request(
        &self,
        req: OperatorRequest,
    ) -> Option<OperatorReply> {
        let (tx, rx) = oneshot::channel();
        self.input(Input::Operator(self.token(), req, tx));
        rx.await.ok()
    }

    /// Returns a view of the state, or `None` if the daemon is stopping.
    pub(crate) async fn view(
        &self,
        request: ViewRequest,
    ) -> Option<ViewReply> {
        let (tx, rx) = oneshot::channel();
        self.input(Input::View(request, tx));
        rx.await.ok()
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    fn token(&self) -> Token {
        Token(self.next_token.fetch_add(1, Ordering::Relaxed))
    }
}

/// Returns what the reply to an operator's request means for the operator.
fn decision(reply: Option<OperatorReply>) -> Decision {
    match reply {
        Some(OperatorReply::Control(ControlReply::Version(version))) => {
            Decision::Accepted(version)
        }
        Some(OperatorReply::Control(
            ControlReply::NotReady(reason) | ControlReply::Refused(reason),
        ))
        | Some(OperatorReply::Refused(reason)) => Decision::NotNow(reason),
        Some(OperatorReply::Control(ControlReply::TooLarge(reason))) => {
            Decision::TooLarge(reason)
        }
        Some(_) => Decision::NotNow("the outcome is not known".into()),
        None => Decision::NotNow("this instance is stopping".into()),
    }
}

/// Sends an input when a caller's future is dropped before its response.
struct DisconnectGuard<'a> {
    handle: &'a Handle,
    /// The input to send; `None` once the response has arrived.
    on_drop: Option<Input>,
}

/// A request that waits because its key is unknown.
#[derive(Debug)]
pub(crate) struct KeyWait(Arc<AtomicUsize>);

impl Drop for KeyWait {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(input) = self.on_drop.take() {
            self.handle.input(input);
        }
    }
}
