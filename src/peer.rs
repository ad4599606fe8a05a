/*!
Messages between instances, over Cap'n Proto RPC.

A peer is identified by its peer address. There is one outgoing connection to
each peer, opened on demand. Its queue is bounded, and messages that do not fit
are dropped: every protocol above the transport has its own timeouts and
retries, and late messages are worth less than new ones.
*/

mod frames;

use std::{
    borrow::Cow,
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::{StreamExt, stream::FuturesUnordered};
use primrosemast_core::{
    config_sync, consensus, id::InstanceId, message::PeerMessage, query,
};
use primrosemast_wire::peer_capnp::{Class, peer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc,
    task::{AbortHandle, spawn_local},
    time::{Instant, sleep_until, timeout},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use self::frames::{Assembly, Frame, SentFrame, Transfers};

/// Version of the message encoding.
const PROTOCOL_VERSION: u16 = 1;

/// Version of an envelope whose body is a frame of a message. A peer that does
/// not know it refuses the envelope, and is sent the message whole.
const FRAME_VERSION: u16 = 2;

/// Beginning of the reason with which an unknown version is refused.
const UNKNOWN_VERSION: &str = "unknown protocol version";

/// Bytes of the queued messages for one peer above which long ones are
/// dropped. Twice the largest configuration, compressed or not.
const MAX_QUEUED_BYTES: usize = 64 << 20;

/// Shortest interval between two reports of a long message that crosses. Half
/// of a heartbeat interval.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Length of the queue of messages for one peer; further ones are dropped.
const QUEUE_LENGTH: usize = 4_096;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without any acknowledgement, while one is due, after which a
/// connection is considered dead; it is closed and opened again. Far above a
/// round trip of 2 ms, and short enough for a query that lost messages to be
/// answered before a deadline of a second or two.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);

/// Upper limit of that time at a peer that was silent before. It doubles each
/// time, as the timer of TCP does (RFC 6298, 5.5), because the peer may only
/// be slow. Two doublings cover a round trip of 1.6 s, most of a lease.
const MAX_ACK_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Delay of a timer from which on this process is taken to have been paused;
/// a quarter of the shortest timeout.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);

/// Pause after a connection could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Length from which on a body is compressed, in bytes.
const MIN_COMPRESSED_BYTES: usize = 2_048;

/// Longest body after decompression, in bytes.
const MAX_DECOMPRESSED_BYTES: usize = 64 << 20;

/// First byte of a compressed body. No MessagePack value starts with it.
const COMPRESSED_MARKER: u8 = 0xc1;

/// Largest number of unacknowledged deliveries on one connection.
const MAX_UNACKNOWLEDGED: usize = 1_024;

/// A message from a peer.
#[derive(Debug)]
pub(crate) struct Received {
    /// The sender.
    pub(crate) from: InstanceId,
    /// The message.
    pub(crate) message: PeerMessage,
}

/// A message to a peer.
#[derive(Debug)]
struct Outgoing {
    to: InstanceId,
    class: Class,
    body: Vec<u8>,
    /// Whether the message is sent once more if its connection fails.
    resend: bool,
    /// Whether it must not pass a long message of its class.
    ordered: bool,
    _queued: QueuedBytes,
}

/// The share of a message in the queued bytes for its peer, until it is
/// dropped.
#[derive(Debug)]
struct QueuedBytes {
    all: Rc<Cell<usize>>,
    own: usize,
}

impl QueuedBytes {
    fn new(all: &Rc<Cell<usize>>, own: usize) -> QueuedBytes {
        all.set(all.get() + own);
        QueuedBytes { all: all.clone(), own }
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.own);
    }
}

/// Receiver of the transport's events.
pub(crate) trait EventSink: Clone + 'static {
    /// Handles a message from a peer.
    fn received(&self, received: Received);

    /// Handles the failure to open or reopen a connection to this instance.
    fn unreachable(&self, instance: InstanceId);

    /// Handles a report that this instance receives a long message of the
    /// replicated log.
    fn receiving(&self, instance: InstanceId);
}

/// The sending side: one connection to each peer.
#[derive(Debug)]
pub(crate) struct Peers<E> {
    own_id: InstanceId,
    source: IpAddr,
    events: E,
    connections: Vec<Connection>,
}

#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    queue: mpsc::Sender<Outgoing>,
    queued_bytes: Rc<Cell<usize>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<E: EventSink> Peers<E> {
    /// Creates the sending side of the instance `own_id`. Connections are
    /// opened from the address `source`.
    pub(crate) fn new(
        own_id: InstanceId,
        source: IpAddr,
        events: E,
    ) -> Peers<E> {
        Peers { own_id, source, events, connections: Vec::new() }
    }

    /// Queues a message. Returns the size of its body in bytes, or `None` if
    /// it was dropped.
    pub(crate) fn send(
        &mut self,
        to: InstanceId,
        address: SocketAddr,
        message: &PeerMessage,
    ) -> Option<usize> {
        let class = match message {
            PeerMessage::Membership(_) => Class::Membership,
            PeerMessage::Consensus(_) => Class::Consensus,
            PeerMessage::Sync(_) => Class::Sync,
            PeerMessage::Query(_) => Class::Query,
            PeerMessage::Control(_) => Class::Control,
            PeerMessage::Directory(_)
            | PeerMessage::Shared(_)
            | PeerMessage::Shares(_) => Class::Query,
        };
        let resend = is_resendable(message);
        let ordered = is_ordered(message);
        let body = compress_body(rmp_serde::to_vec(message).ok()?);
        let size = body.len();
        let connection = self.connection(address);
        let queued = &connection.queued_bytes;
        if size > frames::FRAME_BYTES && queued.get() > MAX_QUEUED_BYTES {
            return None;
        }
        let _queued = QueuedBytes::new(queued, size);
        connection
            .queue
            .try_send(Outgoing { to, class, body, resend, ordered, _queued })
            .ok()?;
        Some(size)
    }

    /// Returns the number of peers with a connection, open or not yet open.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Closes the connections to all addresses that `keep` rejects.
    pub(crate) fn retain(&mut self, keep: impl Fn(SocketAddr) -> bool) {
        self.connections.retain(|c| keep(c.address));
    }

    fn connection(&mut self, address: SocketAddr) -> &Connection {
        let found =
            self.connections.binary_search_by_key(&address, |c| c.address);
        let i = found.unwrap_or_else(|i| {
            let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
            let task = spawn_local(run_connection(
                self.own_id,
                self.source,
                address,
                rx,
                self.events.clone(),
            ));
            let task = task.abort_handle();
            let queued_bytes = Rc::new(Cell::new(0));
            self.connections.insert(
                i,
                Connection { address, queue: tx, queued_bytes, task },
            );
            i
        });
        &self.connections[i]
    }
}

/// Compresses a long body. Configurations and lists repeat the same names, so
/// they compress to a fraction of their size.
fn compress_body(body: Vec<u8>) -> Vec<u8> {
    if body.len() < MIN_COMPRESSED_BYTES {
        return body;
    }
    let compressed = lz4_flex::block::compress_prepend_size(&body);
    let mut framed = Vec::with_capacity(compressed.len() + 1);
    framed.push(COMPRESSED_MARKER);
    framed.extend_from_slice(&compressed);
    framed
}

/// Decompresses a body if it is compressed.
fn decompress_body(body: &[u8]) -> Result<Cow<'_, [u8]>, capnp::Error> {
    let Some((&COMPRESSED_MARKER, compressed)) = body.split_first() else {
        return Ok(Cow::Borrowed(body));
    };
    let (size, block) = lz4_flex::block::uncompressed_size(compressed)
        .map_err(|e| capnp::Error::failed(e.to_string()))?;
    if size > MAX_DECOMPRESSED_BYTES {
        return Err(capnp::Error::failed(format!(
            "a message of {size} bytes is too long"
        )));
    }
    lz4_flex::block::decompress(block, size)
        .map(Cow::Owned)
        .map_err(|e| capnp::Error::failed(e.to_string()))
}

/// Returns whether a message that may already have arrived can be sent again.
/// True for replies and shard requests, because the layers above notice their
/// loss only by a timeout. A duplicate is harmless: a root drops the second of
/// two replies, and a home the second of two requests while the first one
/// runs. Requests that must not be repeated are never resent.
fn is_resendable(message: &PeerMessage) -> bool {
    match message {
        PeerMessage::Query(query::Message::Reply(_)) => true,
        PeerMessage::Query(query::Message::Request(req)) => req.repeatable,
        _ => false,
    }
}

/// Returns whether a message must not pass a long one of its class. Those
/// which keep a leader or a member alive may.
fn is_ordered(message: &PeerMessage) -> bool {
    match message {
        PeerMessage::Membership(_) => false,
        PeerMessage::Consensus(envelope) => match &envelope.message {
            consensus::Message::Append { entries, .. } => !entries.is_empty(),
            consensus::Message::Snapshot { .. } => true,
            _ => false,
        },
        // The others renew leases.
        PeerMessage::Sync(message) => {
            matches!(message, config_sync::Message::Push(_))
        }
        _ => true,
    }
}

/// Maintains the connection to one peer and sends the queued messages.
async fn run_connection(
    own_id: InstanceId,
    source: IpAddr,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Outgoing>,
    events: impl EventSink,
) {
    let mut pending: VecDeque<Outgoing> = VecDeque::new();
    let mut transfers = Transfers::new();
    let mut to = InstanceId(0);
    let mut was_open = false;
    let mut ack_timeout = ACK_TIMEOUT;
    loop {
        // A connection that has failed is opened again at once, and the
        // instance is reported as unreachable only if that fails: a device
        // in between may have dropped the state of the old connection while
        // new connections work.
        if pending.is_empty() && transfers.is_empty() && !was_open {
            let Some(message) = queue.recv().await else { return };
            pending.push_back(message);
        }
        let next = pending.front().or_else(|| transfers.next_outgoing());
        to = next.map_or(to, |message| message.to);
        match timeout(CONNECT_TIMEOUT, connect(source, address)).await {
            Ok(Ok(stream)) => {
                let delivered = deliver_all(
                    own_id,
                    stream,
                    pending,
                    &mut transfers,
                    &mut queue,
                    &mut ack_timeout,
                    &events,
                );
                let Some(unacknowledged) = delivered.await else { return };
                pending = unacknowledged;
                transfers.reconnect();
                was_open = true;
            }
            Ok(Err(_)) | Err(_) => {
                events.unreachable(to);
                // Messages that were queued in the meantime are as late as
                // the one that could not be sent, so all are dropped.
                pending.clear();
                transfers = Transfers::new();
                while queue.try_recv().is_ok() {}
                was_open = false;
                ack_timeout = ACK_TIMEOUT;
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }
}

async fn connect(
    source: IpAddr,
    address: SocketAddr,
) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if !source.is_unspecified() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Delivers messages on one connection until a delivery fails or no
/// acknowledgement arrived for `ack_timeout`, which adapts to the peer.
/// Returns the messages to send again, or `None` if the queue is closed.
async fn deliver_all(
    own_id: InstanceId,
    stream: TcpStream,
    mut pending: VecDeque<Outgoing>,
    transfers: &mut Transfers,
    queue: &mut mpsc::Receiver<Outgoing>,
    ack_timeout: &mut Duration,
    events: &impl EventSink,
) -> Option<VecDeque<Outgoing>> {
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client: peer::Client = system.bootstrap(Side::Server);
    let driver = AbortOnDrop(spawn_local(system).abort_handle());
    let mut unacknowledged = FuturesUnordered::new();
    // Unacknowledged messages that are sent again if the connection fails,
    // sorted by number.
    let mut resends: VecDeque<(u64, Outgoing)> = VecDeque::new();
    let mut number = 0;
    // The last acknowledgement, or the first message sent after all were
    // acknowledged.
    let mut silent_since = Instant::now();
    let mut takes_frames = true;
    let mut last_report: Option<Instant> = None;
    loop {
        if unacknowledged.is_empty() {
            silent_since = Instant::now();
        }
        while let Some(mut outgoing) = pending.pop_front() {
            if takes_frames && transfers.must_queue(&outgoing) {
                transfers.push(outgoing);
                continue;
            }
            number += 1;
            let ack = deliver(
                own_id,
                &client,
                &outgoing,
                PROTOCOL_VERSION,
                &outgoing.body,
            );
            unacknowledged.push(acknowledged(Delivery::Whole(number), ack));
            if std::mem::take(&mut outgoing.resend) {
                resends.push_back((number, outgoing));
            }
        }
        while let Some((frame, body, outgoing)) = transfers.next_frame() {
            let ack = deliver(own_id, &client, outgoing, FRAME_VERSION, &body);
            unacknowledged.push(acknowledged(Delivery::Frame(frame), ack));
        }
        tokio::select! {
            biased;
            Some((delivery, sent, ack)) = unacknowledged.next() => {
                match (delivery, ack) {
                    (Delivery::Frame(_), Err(e))
                        if e.extra.contains(UNKNOWN_VERSION) =>
                    {
                        takes_frames = false;
                        pending.extend(transfers.take_all());
                    }
                    (Delivery::Frame(frame), Err(e))
                        if e.kind == capnp::ErrorKind::Failed =>
                    {
                        transfers.refuse(frame, &e.extra);
                    }
                    (_, Err(_)) => break,
                    (Delivery::Frame(frame), Ok(())) => {
                        transfers.acknowledge(frame, sent.elapsed());
                        let is_due = last_report
                            .is_none_or(|at| at.elapsed() >= REPORT_INTERVAL);
                        if frame.class() == Class::Consensus && is_due {
                            last_report = Some(Instant::now());
                            events.receiving(frame.to());
                        }
                    }
                    (Delivery::Whole(number), Ok(())) => {
                        let at =
                            resends.binary_search_by_key(&number, |r| r.0);
                        if let Ok(i) = at {
                            resends.remove(i);
                        }
                    }
                }
                silent_since = Instant::now();
                if sent.elapsed() < ACK_TIMEOUT {
                    *ack_timeout = ACK_TIMEOUT;
                }
            }
            () = sleep_until(silent_since + *ack_timeout),
                if !unacknowledged.is_empty() =>
            {
                // A timer that fires late shows that this process did not
                // run; acknowledgements may wait unread.
                let late = silent_since.elapsed().saturating_sub(*ack_timeout);
                if late > MAX_TIMER_DELAY {
                    silent_since = Instant::now();
                    continue;
                }
                *ack_timeout = MAX_ACK_TIMEOUT.min(*ack_timeout * 2);
                break;
            }
            message = queue.recv(),
                if unacknowledged.len() < MAX_UNACKNOWLEDGED =>
            {
                match message {
                    Some(message) => pending.push_back(message),
                    None => return None,
                }
            }
        }
    }
    drop(driver);
    Some(resends.into_iter().map(|(_, outgoing)| outgoing).collect())
}

/// What an acknowledgement is for.
enum Delivery {
    /// A whole message, by its number.
    Whole(u64),
    /// A frame of a message.
    Frame(SentFrame),
}

/// Waits for an acknowledgement, and returns it with the time of sending.
fn acknowledged(
    delivery: Delivery,
    ack: impl Future<Output = Result<(), capnp::Error>>,
) -> impl Future<Output = (Delivery, Instant, Result<(), capnp::Error>)> {
    let sent = Instant::now();
    async move { (delivery, sent, ack.await) }
}

/// Aborts a task when it is dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends one message, or a frame of it; the future resolves when it is
/// acknowledged.
fn deliver(
    own_id: InstanceId,
    client: &peer::Client,
    outgoing: &Outgoing,
    version: u16,
    body: &[u8],
) -> impl Future<Output = Result<(), capnp::Error>> + use<> {
    let mut request = client.deliver_request();
    let mut envelope = request.get().init_envelope();
    envelope.set_protocol(version);
    envelope.set_sender(own_id.0);
    envelope.set_recipient(outgoing.to.0);
    envelope.set_class(outgoing.class);
    envelope.set_body(body);
    let promise = request.send().promise;
    async move { promise.await.map(drop) }
}

/// Wraps a stream for the RPC system.
fn network(
    stream: TcpStream,
    side: Side,
) -> Box<twoparty::VatNetwork<impl futures::AsyncRead + Unpin + 'static>> {
    let (reader, writer) = stream.into_split();
    Box::new(twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        side,
        Default::default(),
    ))
}

/// Accepts connections from peers until the task ends.
pub(crate) async fn serve(
    own_id: InstanceId,
    listener: TcpListener,
    events: impl EventSink,
) {
    let assembly = Rc::new(RefCell::new(Assembly::default()));
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let service = Service {
            own_id,
            events: events.clone(),
            assembly: assembly.clone(),
        };
        let client: peer::Client = capnp_rpc::new_client(service);
        let network = network(stream, Side::Server);
        let system = RpcSystem::new(network, Some(client.client));
        spawn_local(async move {
            let _ = system.await;
        });
    }
}

/// The receiving side of one connection.
struct Service<E> {
    own_id: InstanceId,
    events: E,
    /// Incomplete messages, shared by all connections.
    assembly: Rc<RefCell<Assembly>>,
}

impl<E: EventSink> peer::Server for Service<E> {
    fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _results: peer::DeliverResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let result = self.receive(&params);
        std::future::ready(result)
    }
}

impl<E: EventSink> Service<E> {
    fn receive(
        &self,
        params: &peer::DeliverParams,
    ) -> Result<(), capnp::Error> {
        let envelope = params.get()?.get_envelope()?;
        let version = envelope.get_protocol();
        if !matches!(version, PROTOCOL_VERSION | FRAME_VERSION) {
            return Err(capnp::Error::failed(format!(
                "{UNKNOWN_VERSION} {version}"
            )));
        }
        let recipient = envelope.get_recipient();
        // The message is for an instance that had this address before.
        if recipient != 0 && recipient != self.own_id.0 {
            return Ok(());
        }
        let mut body = Cow::Borrowed(envelope.get_body()?);
        if version == FRAME_VERSION {
            let frame = Frame::decode(&body).ok_or_else(|| {
                capnp::Error::failed("a frame is too short".into())
            })?;
            let complete = self.assembly.borrow_mut().add(
                envelope.get_sender(),
                envelope.get_class()?,
                frame,
                MAX_DECOMPRESSED_BYTES,
                std::time::Instant::now(),
            );
            let Some(complete) = complete.map_err(capnp::Error::failed)?
            else {
                return Ok(());
            };
            body = Cow::Owned(complete);
        }
        let body = decompress_body(&body)?;
        let message = rmp_serde::from_slice(&body)
            .map_err(|e| capnp::Error::failed(e.to_string()))?;
        let from = InstanceId(envelope.get_sender());
        self.events.received(Received { from, message });
        Ok(())
    }
}
