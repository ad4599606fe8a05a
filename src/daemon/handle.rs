//! How HTTP handlers reach the daemon's reducer.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use primrosemast_core::{
    id::Token,
    node::{Event, OperatorReply, OperatorRequest},
    query::{CallerRequest, CallerResponse},
};
use tokio::sync::{mpsc, oneshot};

use super::metrics::Metrics;

/// Input of the daemon's loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A caller's request and where its response goes.
    Caller(Token, CallerRequest, oneshot::Sender<CallerResponse>),
    /// An operator's request and where its reply goes.
    Operator(Token, OperatorRequest, oneshot::Sender<OperatorReply>),
    /// A question about the state.
    View(Query, oneshot::Sender<View>),
    /// The storage thread has failed; the replica must not go on.
    StorageFailed(String),
}

/// What an operator wants to see.
#[derive(Debug)]
pub(crate) enum Query {
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
pub(crate) enum View {
    /// A JSON document.
    Found(serde_json::Value),
    /// Nothing, and why.
    NotFound(String),
}

/// Shared by all HTTP handlers.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
    next_token: Arc<AtomicU64>,
    ready: Arc<AtomicBool>,
    max_body_bytes: Arc<AtomicU32>,
    metrics: Metrics,
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
    pub(crate) fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
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
    pub(crate) async fn call(
        &self,
        req: CallerRequest,
    ) -> Option<CallerResponse> {
        let token = self.token();
        let (tx, rx) = oneshot::channel();
        self.input(Input::Caller(token, req, tx));
        let mut guard = CallGuard { handle: self, token, answered: false };
        let response = rx.await.ok();
        guard.answered = true;
        response
    }

    /// Carries out an operator's request.
    pub(crate) async fn operate(
        &self,
        req: OperatorRequest,
    ) -> Option<OperatorReply> {
        let (tx, rx) = oneshot::channel();
        self.input(Input::Operator(self.token(), req, tx));
        rx.await.ok()
    }

    /// Shows something of the state.
    pub(crate) async fn view(&self, query: Query) -> Option<View> {
        let (tx, rx) = oneshot::channel();
        self.input(Input::View(query, tx));
        rx.await.ok()
    }

    /// The metrics page in the Prometheus text format.
    pub(crate) fn metrics(&self) -> String {
        self.metrics.render()
    }

    fn token(&self) -> Token {
        Token(self.next_token.fetch_add(1, Ordering::Relaxed))
    }
}

/// Tells the reducer when a caller goes away without its answer.
struct CallGuard<'a> {
    handle: &'a Handle,
    token: Token,
    answered: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.event(Event::CallerGone(self.token));
        }
    }
}
