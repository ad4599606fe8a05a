//! How HTTP handlers reach the daemon's reducer.

use std::{
    net::SocketAddr,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use primrosemast_core::{
    config::Configuration,
    control::{ControlReply, TableRevision, ZoneStateChange},
    forward::{
        Outcome, Submission,
        table::{CompiledTable, Forwarding},
    },
    id::{AttemptId, ConfigVersion, Token},
    node::{Event, OperatorReply, OperatorRequest},
    query,
};
use tokio::sync::{mpsc, oneshot};

use super::metrics::Metrics;
use crate::forward::{self, CallerRequest, TargetAnswer};

/// Input of the daemon's loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A caller's request and where its response goes.
    Caller(
        Token,
        query::CallerRequest,
        oneshot::Sender<query::CallerResponse>,
    ),
    /// An operator's request and where its reply goes.
    Operator(Token, OperatorRequest, oneshot::Sender<OperatorReply>),
    /// The configuration in force.
    Document(oneshot::Sender<Option<Arc<Configuration>>>),
    /// A question about the state.
    View(ViewRequest, oneshot::Sender<ViewReply>),
    /// A caller's request on the forwarding path, and where its response
    /// goes.
    Forward {
        /// Identifies the request.
        token: Token,
        /// What the reducer needs to know of it.
        submission: Submission,
        /// The request itself.
        req: Arc<CallerRequest>,
        /// Where the response goes.
        response: oneshot::Sender<forward::CallerResponse>,
    },
    /// The caller of a forwarded request has left.
    ForwardCallerGone(Token),
    /// An attempt of the forwarding path has ended.
    ForwardAttemptEnded(AttemptId, (Outcome, Option<TargetAnswer>)),
    /// The disk is full; the storage thread goes on when there is room.
    StorageFull(String),
    /// The storage thread has failed; the replica must not go on.
    StorageFailed(String),
}

/// What an operator wants to see.
#[derive(Debug)]
pub(crate) enum ViewRequest {
    /// The fleet and its targets.
    Status,
    /// The configuration in force.
    Configuration,
    /// The decisions on a request.
    Explain(String),
    /// The outcome of a change.
    Change(String),
}

/// What an operator gets to see.
#[derive(Debug)]
pub(crate) enum ViewReply {
    /// A JSON document.
    Found(serde_json::Value),
    /// Nothing, and why.
    NotFound(String),
}

/// How listeners reach the daemon's reducer.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
    next_token: Arc<AtomicU64>,
    ready: Arc<AtomicBool>,
    max_body_bytes: Arc<AtomicU32>,
    published: Arc<RwLock<Published>>,
    metrics: Metrics,
}

/// State that listeners read without asking the reducer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Published {
    pub(crate) serving: bool,
    pub(crate) draining: bool,
    pub(crate) version: ConfigVersion,
    pub(crate) table: Arc<CompiledTable>,
}

/// Time in which this instance learns of a version that was accepted.
const CATCH_UP: Duration = Duration::from_millis(800);

/// Pause before this instance looks for a version again.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(10);

/// What an order of an operator has led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Accepted; it is in force from this version on.
    Accepted(ConfigVersion),
    /// Not known, or not accepted now, and why; it may be sent again.
    NotNow(String),
}

impl Handle {
    pub(crate) fn new(
        inputs: mpsc::UnboundedSender<Input>,
        metrics: Metrics,
    ) -> Handle {
        Handle {
            inputs,
            next_token: Arc::new(AtomicU64::new(1)),
            ready: Arc::new(AtomicBool::new(false)),
            max_body_bytes: Arc::new(AtomicU32::new(1 << 20)),
            published: Arc::default(),
            metrics,
        }
    }

    /// Hands an event to the reducer.
    pub(crate) fn event(&self, event: Event) {
        self.input(Input::Event(event));
    }

    pub(crate) fn input(&self, input: Input) {
        // The receiver is gone only when the process is about to end.
        let _ = self.inputs.send(input);
    }

    /// Whether new requests should be sent to this instance.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Makes state visible to the listeners.
    pub(crate) fn publish(&self, published: Published) {
        if let Ok(mut current) = self.published.write() {
            *current = published;
        }
    }

    fn published<T>(&self, read: impl FnOnce(&Published) -> T) -> T {
        match self.published.read() {
            Ok(published) => read(&published),
            // A writer that panicked has replaced the value as a whole.
            Err(e) => read(&e.into_inner()),
        }
    }

    /// The table of forwarding routes in force.
    pub(crate) fn table(&self) -> Arc<CompiledTable> {
        self.published(|p| Arc::clone(&p.table))
    }

    /// Whether this instance may serve requests.
    pub(crate) fn serving(&self) -> bool {
        self.published(|p| p.serving)
    }

    /// Whether this instance is shutting down.
    pub(crate) fn draining(&self) -> bool {
        self.published(|p| p.draining)
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> ConfigVersion {
        self.published(|p| p.version)
    }

    /// Serves a caller's request on the forwarding path. If the future is
    /// dropped, because the caller has closed its connection, the request
    /// is abandoned.
    pub(crate) async fn forward(
        &self,
        submission: Submission,
        req: Arc<CallerRequest>,
    ) -> Option<forward::CallerResponse> {
        let token = self.token();
        let (tx, rx) = oneshot::channel();
        self.input(Input::Forward { token, submission, req, response: tx });
        let gone = Input::ForwardCallerGone(token);
        let mut guard = CallGuard { handle: self, gone: Some(gone) };
        let response = rx.await.ok();
        guard.gone = None;
        response
    }

    /// Brings a forwarding table into force, unless a higher revision is.
    pub async fn revise(&self, table: &Forwarding) -> Decision {
        // Writing plain data to a vector cannot fail.
        let bytes = rmp_serde::to_vec_named(table).unwrap_or_default().into();
        let revision =
            TableRevision { revision: table.revision, table: bytes };
        self.order(OperatorRequest::Revise(revision)).await
    }

    /// Takes a zone out or in.
    pub async fn set_zone(&self, order: ZoneStateChange) -> Decision {
        self.order(OperatorRequest::SetZone(order)).await
    }

    /// Waits until this instance has everything that was accepted before
    /// this call.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the control group does not answer, or if
    /// this instance does not learn of the newest version in time.
    pub async fn catch_up(&self) -> Result<(), String> {
        let version = match self.order(OperatorRequest::Barrier).await {
            Decision::Accepted(version) => version,
            Decision::NotNow(reason) => return Err(reason),
        };
        let deadline = Instant::now() + CATCH_UP;
        while self.version() < version {
            if Instant::now() >= deadline {
                return Err(format!(
                    "this instance knows version {} of {version}",
                    self.version()
                ));
            }
            tokio::time::sleep(CATCH_UP_PAUSE).await;
        }
        Ok(())
    }

    /// The newest configuration, or why it cannot be told: it holds
    /// everything that was accepted before this call.
    ///
    /// # Errors
    ///
    /// As [`Handle::catch_up`].
    pub async fn newest_configuration(
        &self,
    ) -> Result<Option<Arc<Configuration>>, String> {
        self.catch_up().await?;
        let (tx, rx) = oneshot::channel();
        self.input(Input::Document(tx));
        rx.await.map_err(|_| "this instance is stopping".into())
    }

    async fn order(&self, req: OperatorRequest) -> Decision {
        match self.submit_operator_request(req).await {
            Some(OperatorReply::Control(ControlReply::Version(version))) => {
                Decision::Accepted(version)
            }
            Some(OperatorReply::Control(
                ControlReply::NotReady(reason) | ControlReply::Refused(reason),
            ))
            | Some(OperatorReply::Refused(reason)) => Decision::NotNow(reason),
            Some(_) => Decision::NotNow("the outcome is not known".into()),
            None => Decision::NotNow("this instance is stopping".into()),
        }
    }

    /// Sets the addresses at which other instances may be found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.event(Event::Seeds(seeds));
    }

    /// Largest body of a caller's request.
    pub(crate) fn max_body_bytes(&self) -> usize {
        self.max_body_bytes.load(Ordering::Relaxed) as usize
    }

    pub(crate) fn set_max_body_bytes(&self, bytes: u32) {
        self.max_body_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Serves a caller's request. If the future is dropped, because the
    /// caller has closed its connection, the request is abandoned.
    pub(crate) async fn submit_query(
        &self,
        req: query::CallerRequest,
    ) -> Option<query::CallerResponse> {
        let token = self.token();
        let (tx, rx) = oneshot::channel();
        self.input(Input::Caller(token, req, tx));
        let gone = Input::Event(Event::CallerGone(token));
        let mut guard = CallGuard { handle: self, gone: Some(gone) };
        let response = rx.await.ok();
        guard.gone = None;
        response
    }

    /// Carries out an operator's request.
    pub(crate) async fn submit_operator_request(
        &self,
        req: OperatorRequest,
    ) -> Option<OperatorReply> {
        let (tx, rx) = oneshot::channel();
        self.input(Input::Operator(self.token(), req, tx));
        rx.await.ok()
    }

    /// Shows something of the state.
    pub(crate) async fn view(&self, query: ViewRequest) -> Option<ViewReply> {
        let (tx, rx) = oneshot::channel();
        self.input(Input::View(query, tx));
        rx.await.ok()
    }

    /// The metrics page in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    fn token(&self) -> Token {
        Token(self.next_token.fetch_add(1, Ordering::Relaxed))
    }
}

/// Tells the reducer when a caller goes away without its answer.
struct CallGuard<'a> {
    handle: &'a Handle,
    /// What to say, until the answer is there.
    gone: Option<Input>,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if let Some(gone) = self.gone.take() {
            self.handle.input(gone);
        }
    }
}
