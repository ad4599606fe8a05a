/*!
The daemon, which passes events to the reducer and carries out its effects.

Everything runs on one thread, because the state has a single owner and Cap'n
Proto RPC is not `Send`. Only writes to the data folder use a separate thread,
because syncing a file can block for a long time.
*/

mod clock;
mod effects;
mod forward_metrics;
mod handle;
mod metrics;
mod options;
mod platform;
mod replica_metrics;
mod rollouts;
mod views;

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use primrosemast_core::{
    event::{Level, LogEvent},
    forward::ForwardEvent,
    held::{Gauges, Listener},
    id::{ConfigVersion, InstanceId, Token, ZoneId},
    membership::{Member, MemberState},
    node::{Effect, Event, Node, OperatorReply},
    query::CallerResponse,
    shares::ShareCounts,
    target::TargetEvent,
    time::Time,
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot, watch},
    task::{LocalSet, spawn_local},
};

pub(crate) use self::clock::Clock;
pub(crate) use self::forward_metrics::ForwardMetrics;
pub(crate) use self::handle::{Input, ViewReply, ViewRequest};
use self::{
    handle::PublishedState, metrics::Metrics, options::options,
    views::LocalNames,
};
pub use self::{
    handle::{Decision, Handle, OPERATOR_RETRY_AFTER_S},
    rollouts::RolloutDecision,
};
pub use crate::held::ReadError;
use crate::{
    forward::{self, ForwardDriver, Native, Protocol},
    held::Account,
    http::{caller_router, operator_router},
    http_server,
    log_output::EVENT_TARGET,
    peer::{self, Peers, Received},
    settings::{InstanceSettings, Role},
    storage::{Storage, StorageErrorKind, StorageState, StorageThread},
    target_client::{self, Connections},
};

/// Maximum number of inputs that are handled before their effects are carried
/// out.
const MAX_INPUT_BATCH: usize = 256;

/// Interval at which idle connections of the forwarding path are closed and
/// its gauges are updated.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a write has waited when it is logged first.
const WRITE_LOG_AFTER: Duration = Duration::from_secs(1);

/// Longest interval at which it is logged again.
const MAX_WRITE_LOG_INTERVAL: Duration = Duration::from_secs(30);

/// Time for the HTTP servers to close their connections after the last
/// response.
const SERVER_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause before a data folder on a full disk is opened again.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(200);

/// Runs a daemon until it receives a stop signal and has drained.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, if the data folder cannot
/// be used or is corrupt, or if a write to it fails.
pub fn run(settings: &InstanceSettings) -> anyhow::Result<()> {
    let protocol = Native::new(settings.platform_list.as_deref());
    run_with(settings, protocol, |_| Ok(()))
}

/// Runs a daemon whose forwarding path uses the given protocol.
///
/// `start` is called within the daemon's runtime once the handle accepts
/// requests. It can start listeners of its own.
///
/// # Errors
///
/// Returns an error in the same cases as [`run`], and if `start` fails.
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
    let bind = |address: SocketAddr, name: &'static str| async move {
        TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot listen for {name} on {address}"))
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
    let (tx, mut rx) = mpsc::unbounded_channel();
    let account = Account::new(&settings.resources);
    let handle = Handle::new(tx, account.clone(), metrics.clone());
    let (drained_tx, drained) = watch::channel(false);
    let servers = [
        spawn_local(http_server::serve_router(
            callers,
            caller_router(&handle),
            account.clone(),
            Listener::Callers,
            drained.clone(),
        )),
        spawn_local(http_server::serve_router(
            operators,
            operator_router(&handle),
            account,
            Listener::Operators,
            drained.clone(),
        )),
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

    let Some(opened) = open_storage(settings, &handle, &mut rx).await? else {
        log_stopped(&settings.name);
        return Ok(());
    };
    let clock = Clock::start();
    let forwarding =
        ForwardDriver::new(protocol, handle.clone(), metrics.forward(), clock);
    let mut daemon = Daemon::new(
        settings, &addresses, handle, metrics, forwarding, opened, clock,
    );
    spawn_local(peer::serve(daemon.own_id, peers, daemon.handle.clone()));
    if let Some(url) = settings.platform_list.clone() {
        let interval =
            Duration::from_millis(settings.timing.platform_list_interval_ms);
        spawn_local(platform::poll(url, interval, daemon.handle.clone()));
    }
    addresses.announce(&settings.name);

    let result = daemon.run_loop(rx, &drained_tx).await;
    let _ = drained_tx.send(true);
    for server in servers {
        let _ = tokio::time::timeout(SERVER_SHUTDOWN_TIMEOUT, server).await;
    }
    log_stopped(&settings.name);
    result
}

fn log_stopped(name: &str) {
    log_event(&LogEvent::new(
        &primrosemast_core::event::daemon::STOPPED,
        format!("instance={name}"),
    ));
}

/// Addresses that the daemon is bound to.
struct Addresses {
    caller: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
}

impl Addresses {
    /// Prints the addresses, for programs that start the daemon with port 0,
    /// and logs them.
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

    fn receiving(&self, instance: InstanceId) {
        self.event(Event::Receiving(instance));
    }
}

/// A caller's or operator's request that has not been answered.
struct Pending<T> {
    token: Token,
    since: Instant,
    response: oneshot::Sender<T>,
}

/// The state of the daemon's loop.
struct Daemon<P> {
    own_id: InstanceId,
    local_names: LocalNames,
    node: Node,
    handle: Handle,
    metrics: Metrics,
    /// Clock of the reducer.
    clock: Clock,
    peers: Peers<Handle>,
    /// Number of seed addresses in the settings.
    seed_count: usize,
    connections: Connections,
    forwarding: ForwardDriver<P>,
    close_idle_at: Instant,
    /// Counts of the shared limits that the metrics contain.
    share_counts: ShareCounts,
    /// What was held for others when it was last recorded.
    held: Gauges,
    storage: Option<StorageThread>,
    write_watch: WriteWatch,
    /// Sorted by token, because tokens only grow.
    callers: Vec<Pending<CallerResponse>>,
    operators: Vec<Pending<OperatorReply>>,
    drained: bool,
}

impl<P: Protocol> Daemon<P> {
    fn new(
        settings: &InstanceSettings,
        addresses: &Addresses,
        handle: Handle,
        metrics: Metrics,
        forwarding: ForwardDriver<P>,
        opened: OpenedStorage,
        clock: Clock,
    ) -> Daemon<P> {
        let own_id = InstanceId::from_name(&settings.name);
        let OpenedStorage { storage, recovered } = opened;
        // The incarnation is taken from the wall clock, so that it is larger
        // after a restart.
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |d| d.as_millis() as u64);
        let member = Member {
            id: own_id,
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
        let account = handle.account().clone();
        Daemon {
            own_id,
            local_names: LocalNames {
                instance: settings.name.clone(),
                zone: settings.availability_zone.clone(),
            },
            node,
            peers: Peers::new(
                own_id,
                settings.listen.peer.ip(),
                handle.clone(),
            ),
            seed_count: settings.peers.len(),
            handle,
            metrics,
            clock,
            connections: Connections::new(account),
            forwarding,
            close_idle_at: Instant::now(),
            share_counts: ShareCounts::default(),
            held: Gauges::default(),
            storage,
            write_watch: WriteWatch::default(),
            callers: Vec::new(),
            operators: Vec::new(),
            drained: false,
        }
    }

    /// Handles inputs, signals and deadlines until the node has drained.
    async fn run_loop(
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
                    self.handle_input(input, &mut effects)?;
                    for _ in 1..MAX_INPUT_BATCH {
                        match inputs.try_recv() {
                            Ok(input) => self.handle_input(input, &mut effects)?,
                            Err(_) => break,
                        }
                    }
                }
                () = tokio::time::sleep_until(wake.into()) => {
                    self.metrics.record_timer_lag(wake.elapsed());
                    self.step(Event::Tick, &mut effects);
                }
            }
            for effect in effects.drain(..) {
                self.carry_out(effect);
            }
            self.publish_state(inputs.len());
            if self.drained {
                let _ = drained.send(true);
                // Requests that arrive on open connections are still refused
                // while the servers close the connections.
                self.refuse_remaining(&mut inputs, &mut effects).await;
                return Ok(());
            }
        }
    }

    /// Refuses requests for a short time after the last request was answered.
    async fn refuse_remaining(
        &mut self,
        inputs: &mut mpsc::UnboundedReceiver<Input>,
        effects: &mut Vec<Effect>,
    ) {
        let timeout = tokio::time::sleep(Duration::from_millis(2_500));
        tokio::pin!(timeout);
        loop {
            tokio::select! {
                () = &mut timeout => return,
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    if self.handle_input(input, effects).is_err() {
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
        self.clock.now()
    }

    fn step(&mut self, event: Event, effects: &mut Vec<Effect>) {
        let now = self.now();
        self.node.step(now, event, effects);
    }

    fn handle_input(
        &mut self,
        input: Input,
        effects: &mut Vec<Effect>,
    ) -> anyhow::Result<()> {
        match input {
            Input::Event(event) => {
                if let Event::CallerGone(token) = &event {
                    take_pending(&mut self.callers, *token);
                }
                self.step(event, effects);
            }
            Input::Caller(token, req, response) => {
                let since = Instant::now();
                insert_pending(
                    &mut self.callers,
                    Pending { token, since, response },
                );
                self.step(Event::Caller(token, req), effects);
            }
            Input::Operator(token, req, response) => {
                let since = Instant::now();
                insert_pending(
                    &mut self.operators,
                    Pending { token, since, response },
                );
                self.step(Event::Operator(token, req), effects);
            }
            Input::View(request, response) => {
                let view =
                    views::view(&self.node, &self.local_names, &request);
                let _ = response.send(view);
            }
            Input::Configuration(response) => {
                let configuration = self.node.configuration();
                let _ = response.send(configuration.map(|c| c.1.clone()));
            }
            Input::Forward { token, submission, req, response } => {
                let route = &submission.route.label;
                self.forwarding.add_caller(token, route, req, response);
                let event = ForwardEvent::Submit(token, submission);
                self.step(Event::Forward(event), effects);
            }
            Input::ForwardCallerGone(token) => {
                self.forwarding.remove_caller(token);
                let event = ForwardEvent::CallerGone(token);
                self.step(Event::Forward(event), effects);
            }
            Input::ForwardAttemptEnded(id, ended) => {
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
                anyhow::bail!("writing to the data folder failed: {message}");
            }
        }
        Ok(())
    }

    /// Records the state of the control replica and of its data folder.
    fn record_replica(&mut self) {
        let Some(figures) = self.node.replica_figures(self.now()) else {
            return;
        };
        let Some(storage) = &self.storage else { return };
        let state = storage.state();
        self.metrics.record_replica(&figures, &state);
        if let Some(waited) = self.write_watch.check(&state) {
            let event = LogEvent::new(
                &primrosemast_core::event::control::WRITE_WAITS,
                format!(
                    "waited_ms={} full={} folder_bytes={} last={} synced={}",
                    waited.as_millis(),
                    state.full,
                    state.folder_bytes,
                    figures.last_index,
                    figures.synced_index
                ),
            );
            self.metrics.record_log_event(&event);
            log_event(&event);
        }
    }

    /// Publishes the state for the HTTP handlers and in the metrics.
    fn publish_state(&mut self, queued_inputs: usize) {
        self.handle.set_ready(self.node.ready());
        let mut version = 0;
        if let Some((v, configuration)) = self.node.configuration() {
            version = v.0;
            self.handle
                .set_max_body_bytes(configuration.limits.max_body_bytes);
        }
        // Read before the age, so that a pause in between makes the
        // confirmation older, not newer.
        let now = Instant::now();
        let confirmation_age = self.node.confirmation_age(self.now());
        self.handle.publish(PublishedState {
            serving: self.node.serving(),
            draining: self.node.draining(),
            version: ConfigVersion(version),
            configuration: self.node.configuration().map(|c| c.1.clone()),
            table: self.node.forwarding_table().clone(),
            confirmed_at: confirmation_age
                .and_then(|age| now.checked_sub(age)),
        });
        if now >= self.close_idle_at {
            self.close_idle_at = now + CLOSE_IDLE_INTERVAL;
            self.forwarding.close_idle();
            self.metrics.record_backlog(confirmation_age, queued_inputs);
            let account = self.handle.account();
            let limits = self.node.forwarding_table().limits;
            let idle = Duration::from_millis(limits.idle_timeout_ms.into());
            for event in account.sweep(idle) {
                self.metrics.record_log_event(&event);
                log_event(&event);
            }
            let held = account.gauges();
            self.metrics.record_held(&self.held, &held);
            self.held = held;
            let forwarder = self.node.forwarder();
            self.metrics.forward().record_state(self.now(), forwarder);
            let shares = self.node.shares();
            let counts = shares.counts();
            self.metrics.forward().record_shares(
                self.share_counts,
                counts,
                shares.grants(self.now()),
            );
            self.share_counts = counts;
            self.record_replica();
        }
        // Closes the connections to members that were replaced. An instance
        // that knows no member yet needs those at which it seeks the fleet.
        let members = self.node.members().len();
        if self.peers.len() > members + self.seed_count {
            self.peers.retain(|a| self.node.is_peer_address(a));
        }
        self.metrics.record_state(
            version,
            self.node.serving(),
            self.callers.len(),
        );
    }
}

/// The watch over the write in progress.
#[derive(Default)]
struct WriteWatch {
    /// When the write began that was logged, and the time for which it had
    /// waited then.
    logged: Option<(Instant, Duration)>,
}

impl WriteWatch {
    /// Returns for how long the write has waited, if that is to be logged.
    /// The interval doubles while the same write waits.
    fn check(&mut self, state: &StorageState) -> Option<Duration> {
        let since = state.writing_since?;
        let waited = since.elapsed();
        let logged = self.logged.filter(|(at, _)| *at == since);
        let due = match logged {
            Some((_, before)) => before + before.min(MAX_WRITE_LOG_INTERVAL),
            None => WRITE_LOG_AFTER,
        };
        if waited < due {
            return None;
        }
        self.logged = Some((since, waited));
        Some(waited)
    }
}

type Recovered = (
    primrosemast_core::id::ReplicaId,
    primrosemast_core::consensus::Recovered,
);

/// The storage of the control replica; empty without the role.
#[derive(Default)]
struct OpenedStorage {
    storage: Option<StorageThread>,
    recovered: Option<Recovered>,
}

/// Opens the data folder, and waits while its disk is full. Returns `None` if
/// the process is to stop meanwhile.
async fn open_storage(
    settings: &InstanceSettings,
    handle: &Handle,
    inputs: &mut mpsc::UnboundedReceiver<Input>,
) -> anyhow::Result<Option<OpenedStorage>> {
    if !settings.has_role(Role::Control) {
        return Ok(Some(OpenedStorage::default()));
    }
    let folder = settings
        .data_folder
        .as_deref()
        .context("the role `control` needs `data_folder`")?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut waits = false;
    let (storage, replica, recovered) = loop {
        match Storage::open(folder) {
            Ok(opened) => break opened,
            Err(e) if e.kind() == StorageErrorKind::Full => {
                if !waits {
                    log_storage_full(&e.to_string());
                }
                waits = true;
            }
            Err(e) => {
                return Err(e).with_context(|| {
                    format!("cannot use the data folder {}", folder.display())
                });
            }
        }
        tokio::select! {
            () = tokio::time::sleep(DISK_FULL_PAUSE) => {}
            _ = terminate.recv() => return Ok(None),
            _ = interrupt.recv() => return Ok(None),
        }
        // A request that waits for the disk must not take effect later.
        while inputs.try_recv().is_ok() {}
    };
    let handle = handle.clone();
    let storage = storage.with_capacity(settings.resources.folder_bytes());
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
    Ok(Some(OpenedStorage {
        storage: Some(thread),
        recovered: Some((replica, recovered)),
    }))
}

fn log_storage_full(error: &str) {
    log_event(&LogEvent::new(
        &primrosemast_core::event::control::STORAGE_FULL,
        format!("error={error:?}"),
    ));
}

fn insert_pending<T>(pending: &mut Vec<Pending<T>>, entry: Pending<T>) {
    // Handlers take their tokens before they queue their inputs, so inputs
    // may arrive in a different order than their tokens.
    let i = pending.partition_point(|p| p.token < entry.token);
    pending.insert(i, entry);
}

fn take_pending<T>(
    pending: &mut Vec<Pending<T>>,
    token: Token,
) -> Option<Pending<T>> {
    let i = pending.binary_search_by_key(&token, |p| p.token).ok()?;
    Some(pending.remove(i))
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
