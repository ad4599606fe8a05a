/*!
The daemon: carries out what the reducer decides.

Everything runs on one thread, because the state has one owner and Cap'n
Proto RPC is not `Send`. Only file writes have a thread of their own, because
a sync can take long.
*/

mod clock;
mod effects;
mod forward_metrics;
mod handle;
mod metrics;
mod options;
mod platform;
mod views;

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use primrosemast_core::{
    event::{Level, LogEvent},
    forward::ForwardEvent,
    id::{ConfigVersion, InstanceId, Token, ZoneId},
    membership::{Member, MemberState},
    node::{Effect, Event, Node, OperatorReply},
    query::CallerResponse,
    target::TargetEvent,
    time::Time,
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot, watch},
    task::{LocalSet, spawn_local},
};
use volo_http::server::Server;

pub(crate) use self::forward_metrics::ForwardMetrics;
pub use self::handle::{Handle, Ordered};
pub(crate) use self::handle::{Input, Query, View};
use self::{
    clock::Clock, handle::Published, metrics::Metrics, options::options,
    views::Names,
};
use crate::{
    forward::{self, ForwardDriver, Native, Protocol},
    http::{caller_router, operator_router},
    log_output::EVENT_TARGET,
    peer::{self, Peers, Received},
    settings::{InstanceSettings, Role},
    storage::{Storage, StorageErrorKind, StorageThread},
    target_client::{self, Connections},
};

/// Events handled before the effects of a batch are carried out.
const MAX_BATCH: usize = 256;

/// How often idle connections to targets are looked at.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for the servers to finish their connections after the last response.
const SERVER_SHUTDOWN: Duration = Duration::from_secs(5);

/// Runs a daemon until it has been told to stop.
///
/// # Errors
///
/// Fails if an address cannot be bound, if the data folder cannot be used or
/// is damaged, or if a write to it fails.
pub fn run(settings: &InstanceSettings) -> anyhow::Result<()> {
    let protocol = Native::new(settings.platform_list.as_deref());
    run_with(settings, protocol, |_| Ok(()))
}

/// Runs a daemon whose forwarding path speaks the given protocol.
///
/// `start` is called once the daemon can be reached through its handle, for
/// listeners of its own. It runs within the daemon's runtime.
///
/// # Errors
///
/// As [`run`], and if `start` fails.
pub fn run_with(
    settings: &InstanceSettings,
    protocol: impl Protocol,
    start: impl FnOnce(&Handle) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(serve(settings, protocol, start)))
}

async fn serve<P: Protocol>(
    settings: &InstanceSettings,
    protocol: P,
    start: impl FnOnce(&Handle) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let bind = |address: SocketAddr, what: &'static str| async move {
        TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot listen for {what} on {address}"))
    };
    let callers = bind(settings.listen.caller, "callers").await?;
    let operators = bind(settings.listen.operator, "operators").await?;
    let peers = bind(settings.listen.peer, "peers").await?;
    let addresses = Addresses {
        caller: callers.local_addr()?,
        operator: operators.local_addr()?,
        peer: peers.local_addr()?,
    };

    let metrics = Metrics::new()?;
    let (tx, rx) = mpsc::unbounded_channel();
    let handle = Handle::new(tx, metrics.clone());
    let (drained_tx, drained) = watch::channel(false);
    let servers = [
        spawn_server(callers, caller_router(&handle), drained.clone()),
        spawn_server(operators, operator_router(&handle), drained.clone()),
    ];
    if let Some(address) = settings.listen.forward {
        let listener = bind(address, "forwarded requests").await?;
        spawn_local(forward::serve(
            listener,
            protocol.clone(),
            handle.clone(),
            drained.clone(),
        ));
    }
    start(&handle)?;

    let forwarding =
        ForwardDriver::new(protocol, handle.clone(), metrics.forward());
    let mut daemon =
        Daemon::new(settings, &addresses, handle, metrics, forwarding)?;
    spawn_local(peer::serve(daemon.me, peers, daemon.handle.clone()));
    if let Some(url) = settings.platform_list.clone() {
        let interval =
            Duration::from_millis(settings.timing.platform_list_interval_ms);
        spawn_local(platform::poll(url, interval, daemon.handle.clone()));
    }
    addresses.announce(&settings.name);

    let result = daemon.work(rx, &drained_tx).await;
    let _ = drained_tx.send(true);
    for server in servers {
        let _ = tokio::time::timeout(SERVER_SHUTDOWN, server).await;
    }
    log_event(&LogEvent::new(
        &primrosemast_core::event::daemon::STOPPED,
        format!("instance={}", settings.name),
    ));
    result
}

/// Addresses that the daemon is bound to.
struct Addresses {
    caller: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
}

impl Addresses {
    /// Prints the addresses for programs that chose port 0, and logs them.
    fn announce(&self, name: &str) {
        println!(
            "listening caller={} operator={} peer={}",
            self.caller, self.operator, self.peer
        );
        log_event(&LogEvent::new(
            &primrosemast_core::event::daemon::STARTED,
            format!(
                "instance={name} caller={} operator={} peer={}",
                self.caller, self.operator, self.peer
            ),
        ));
    }
}

/// Starts an HTTP server that stops once `drained` is true. The server itself
/// also reacts to signals, but waits for its shutdown hook first.
fn spawn_server(
    listener: TcpListener,
    router: volo_http::server::route::Router,
    mut drained: watch::Receiver<bool>,
) -> tokio::task::JoinHandle<()> {
    let server = Server::new(router).register_shutdown_hook(move || {
        Box::pin(async move {
            let _ = drained.wait_for(|drained| *drained).await;
        })
    });
    tokio::spawn(async move {
        let incoming = volo::net::DefaultIncoming::from(listener);
        if let Err(e) = server.run(incoming).await {
            log::error!("HTTP server failed: {e}");
        }
    })
}

impl target_client::EventSink for Handle {
    fn report(&self, event: TargetEvent) {
        self.event(Event::Target(event));
    }
}

impl peer::EventSink for Handle {
    fn received(&self, received: Received) {
        self.event(Event::Peer(received.from, received.message));
    }

    fn unreachable(&self, instance: InstanceId) {
        self.event(Event::Unreachable(instance));
    }
}

/// A caller that waits for its response.
struct Waiting<T> {
    token: Token,
    since: Instant,
    response: oneshot::Sender<T>,
}

struct Daemon<P> {
    me: InstanceId,
    names: Names,
    node: Node,
    handle: Handle,
    metrics: Metrics,
    /// Time zero of the reducer.
    epoch: Clock,
    peers: Peers<Handle>,
    /// Number of addresses at which members are looked for.
    seeds: usize,
    connections: Connections,
    forwarding: ForwardDriver<P>,
    close_idle_at: Instant,
    storage: Option<StorageThread>,
    /// Sorted by token, because tokens only grow.
    callers: Vec<Waiting<CallerResponse>>,
    operators: Vec<Waiting<OperatorReply>>,
    drained: bool,
}

impl<P: Protocol> Daemon<P> {
    fn new(
        settings: &InstanceSettings,
        addresses: &Addresses,
        handle: Handle,
        metrics: Metrics,
        forwarding: ForwardDriver<P>,
    ) -> anyhow::Result<Daemon<P>> {
        let me = InstanceId::from_name(&settings.name);
        let (storage, recovered) = open_storage(settings, &handle)?;
        // Wall-clock time makes the incarnation of a restarted instance
        // larger than that of its former run.
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |d| d.as_millis() as u64);
        let member = Member {
            id: me,
            name: settings.name.clone(),
            address: settings.advertise_peer.unwrap_or(addresses.peer),
            operator_address: addresses.operator,
            zone: ZoneId::from_name(&settings.availability_zone),
            entry: settings.has_role(Role::Entry),
            replica: recovered.as_ref().map(|r| r.0),
            control_group: 0,
            incarnation,
            state: MemberState::Alive,
        };
        let node = Node::new(member, options(settings), rand::random());
        handle.event(Event::Start { recovered });
        Ok(Daemon {
            me,
            names: Names {
                instance: settings.name.clone(),
                zone: settings.availability_zone.clone(),
            },
            node,
            peers: Peers::new(me, settings.listen.peer.ip(), handle.clone()),
            seeds: settings.peers.len(),
            handle,
            metrics,
            epoch: Clock::start(),
            connections: Connections::default(),
            forwarding,
            close_idle_at: Instant::now(),
            storage,
            callers: Vec::new(),
            operators: Vec::new(),
            drained: false,
        })
    }

    /// Handles inputs until the node has drained.
    async fn work(
        &mut self,
        mut inputs: mpsc::UnboundedReceiver<Input>,
        drained: &watch::Sender<bool>,
    ) -> anyhow::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut effects = Vec::new();
        loop {
            let wake = self.next_wake();
            tokio::select! {
                biased;
                _ = terminate.recv() => {
                    self.step(Event::Shutdown, &mut effects);
                }
                _ = interrupt.recv() => {
                    self.step(Event::Shutdown, &mut effects);
                }
                input = inputs.recv() => {
                    let Some(input) = input else { return Ok(()) };
                    self.input(input, &mut effects)?;
                    for _ in 1..MAX_BATCH {
                        match inputs.try_recv() {
                            Ok(input) => self.input(input, &mut effects)?,
                            Err(_) => break,
                        }
                    }
                }
                () = tokio::time::sleep_until(wake.into()) => {
                    self.step(Event::Tick, &mut effects);
                }
            }
            for effect in effects.drain(..) {
                self.carry_out(effect);
            }
            self.publish();
            if self.drained {
                let _ = drained.send(true);
                // Requests on open connections still get a refusal while the
                // servers close them.
                self.refuse_rest(&mut inputs, &mut effects).await;
                return Ok(());
            }
        }
    }

    /// Serves refusals for a moment after the last request was answered.
    async fn refuse_rest(
        &mut self,
        inputs: &mut mpsc::UnboundedReceiver<Input>,
        effects: &mut Vec<Effect>,
    ) {
        let end = tokio::time::sleep(Duration::from_millis(2_500));
        tokio::pin!(end);
        loop {
            tokio::select! {
                () = &mut end => return,
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    if self.input(input, effects).is_err() {
                        return;
                    }
                    for effect in effects.drain(..) {
                        self.carry_out(effect);
                    }
                }
            }
        }
    }

    fn next_wake(&self) -> Instant {
        let wait = match self.node.next_deadline() {
            Some(at) => at.since(self.now()),
            None => Duration::from_secs(1),
        };
        Instant::now() + wait
    }

    fn now(&self) -> Time {
        self.epoch.now()
    }

    fn step(&mut self, event: Event, effects: &mut Vec<Effect>) {
        let now = self.now();
        self.node.step(now, event, effects);
    }

    fn input(
        &mut self,
        input: Input,
        effects: &mut Vec<Effect>,
    ) -> anyhow::Result<()> {
        match input {
            Input::Event(event) => {
                if let Event::CallerGone(token) = &event {
                    take(&mut self.callers, *token);
                }
                self.step(event, effects);
            }
            Input::Caller(token, req, response) => {
                let since = Instant::now();
                add(&mut self.callers, Waiting { token, since, response });
                self.step(Event::Caller(token, req), effects);
            }
            Input::Operator(token, req, response) => {
                let since = Instant::now();
                add(&mut self.operators, Waiting { token, since, response });
                self.step(Event::Operator(token, req), effects);
            }
            Input::View(query, response) => {
                let view = views::view(&self.node, &self.names, &query);
                let _ = response.send(view);
            }
            Input::Document(response) => {
                let configuration = self.node.configuration();
                let _ = response.send(configuration.map(|c| c.1.clone()));
            }
            Input::Forward { token, submission, req, response } => {
                let route = &submission.route.route.name;
                self.forwarding.add_caller(token, route, req, response);
                let event = ForwardEvent::Submit(token, submission);
                self.step(Event::Forward(event), effects);
            }
            Input::ForwardCallerGone(token) => {
                self.forwarding.remove_caller(token);
                let event = ForwardEvent::CallerGone(token);
                self.step(Event::Forward(event), effects);
            }
            Input::ForwardEnded(id, ended) => {
                let outcome = self.forwarding.finish_attempt(id, ended);
                let event = ForwardEvent::AttemptEnded(id, outcome);
                self.step(Event::Forward(event), effects);
            }
            Input::StorageFull(message) => {
                effects.push(Effect::Log(LogEvent::new(
                    &primrosemast_core::event::control::STORAGE_FULL,
                    format!("error={message:?}"),
                )))
            }
            Input::StorageFailed(message) => {
                anyhow::bail!("the data folder failed: {message}");
            }
        }
        Ok(())
    }

    /// Shows the state to the HTTP handlers and in the metrics.
    fn publish(&mut self) {
        self.handle.set_ready(self.node.ready());
        let mut version = 0;
        if let Some((v, configuration)) = self.node.configuration() {
            version = v.0;
            self.handle
                .set_max_body_bytes(configuration.limits.max_body_bytes);
        }
        self.handle.publish(Published {
            serving: self.node.serving(),
            draining: self.node.draining(),
            version: ConfigVersion(version),
            table: self.node.forwarding_table().clone(),
        });
        let now = Instant::now();
        if now >= self.close_idle_at {
            self.close_idle_at = now + CLOSE_IDLE_INTERVAL;
            self.forwarding.close_idle();
            let forwarder = self.node.forwarder();
            self.metrics.forward().state(self.now(), forwarder);
        }
        // Members that were replaced leave connections behind.
        let members = self.node.members();
        if self.peers.len() > members.len() + self.seeds {
            self.peers.retain(|a| members.iter().any(|m| m.address == a));
        }
        self.metrics.state(version, self.node.serving(), self.callers.len());
    }
}

type Recovered = (
    primrosemast_core::id::ReplicaId,
    primrosemast_core::consensus::Recovered,
);

fn open_storage(
    settings: &InstanceSettings,
    handle: &Handle,
) -> anyhow::Result<(Option<StorageThread>, Option<Recovered>)> {
    if !settings.has_role(Role::Control) {
        return Ok((None, None));
    }
    let folder = settings
        .data_folder
        .as_deref()
        .context("the role `control` needs `data_folder`")?;
    let (storage, replica, recovered) =
        Storage::open(folder).with_context(|| {
            format!("cannot use the data folder {}", folder.display())
        })?;
    let handle = handle.clone();
    let thread = StorageThread::spawn(storage, move |result| {
        let input = match result {
            Ok(ticket) => Input::Event(Event::Persisted(ticket)),
            Err(e) if e.kind() == StorageErrorKind::Full => {
                Input::StorageFull(e.to_string())
            }
            Err(e) => Input::StorageFailed(e.to_string()),
        };
        handle.input(input);
    });
    Ok((Some(thread), Some((replica, recovered))))
}

fn add<T>(waiting: &mut Vec<Waiting<T>>, entry: Waiting<T>) {
    // Tokens are taken before they are queued, so two handlers may arrive
    // here in the other order.
    let i = waiting.partition_point(|w| w.token < entry.token);
    waiting.insert(i, entry);
}

fn take<T>(waiting: &mut Vec<Waiting<T>>, token: Token) -> Option<Waiting<T>> {
    let i = waiting.binary_search_by_key(&token, |w| w.token).ok()?;
    Some(waiting.remove(i))
}

fn log_event(event: &LogEvent) {
    let level = match event.kind.level {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    };
    log::log!(
        target: EVENT_TARGET,
        level,
        "PM{:04} {} {}",
        event.kind.code,
        event.kind.name.to_ascii_lowercase(),
        event.detail
    );
}
