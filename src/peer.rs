/*!
Messages between instances, over Cap'n Proto RPC.

A peer is addressed by its peer address. There is one outgoing connection to
each, opened on demand. The transport drops messages rather than queue them
without bound: every protocol above it has timeouts and retries of its own,
and late messages are worth less than new ones.
*/

use std::{
    borrow::Cow,
    collections::VecDeque,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::{StreamExt, stream::FuturesUnordered};
use primrosemast_core::{id::InstanceId, message::PeerMessage, query};
use primrosemast_wire::peer_capnp::{Class, peer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc,
    task::{AbortHandle, spawn_local},
    time::timeout,
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Version of the message encoding.
const PROTOCOL: u16 = 1;

/// Messages that wait for a connection; further ones are dropped.
const QUEUE: usize = 4_096;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A delivery without an acknowledgement for this long means that the
/// connection is silent; it is closed and opened again. Far above a round
/// trip of 2 ms and the pauses of a busy machine, and short enough for a query
/// that lost messages to be answered before a deadline of a second or two.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after a failed connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Bodies are compressed from this length on, in bytes.
const COMPRESS_FROM: usize = 2_048;

/// Longest body after decompression, in bytes.
const MAX_UNPACKED_BYTES: usize = 64 << 20;

/// First byte of a compressed body; no MessagePack value begins with it.
const COMPRESSED: u8 = 0xc1;

/// Deliveries without an acknowledgement on one connection.
const MAX_UNACKNOWLEDGED: usize = 1_024;

/// A message from a peer.
#[derive(Debug)]
pub(crate) struct Received {
    /// The sender.
    pub(crate) from: InstanceId,
    /// The message.
    pub(crate) message: PeerMessage,
}

/// A message for a peer.
#[derive(Clone, Debug)]
struct Outgoing {
    to: InstanceId,
    class: Class,
    body: Vec<u8>,
    /// Whether it is sent once more if its connection fails.
    resend: bool,
}

/// What the transport tells the daemon.
pub(crate) trait EventSink: Clone + 'static {
    /// A message arrived.
    fn received(&self, received: Received);

    /// A connection to this instance could not be opened or has failed.
    fn unreachable(&self, instance: InstanceId);
}

/// The sending side: one connection to each peer.
#[derive(Debug)]
pub(crate) struct Peers<E> {
    me: InstanceId,
    source: IpAddr,
    events: E,
    links: Vec<Link>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Outgoing>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<E: EventSink> Peers<E> {
    /// Creates the sending side of the instance `me`. Connections leave from
    /// the address `source`.
    pub(crate) fn new(me: InstanceId, source: IpAddr, events: E) -> Peers<E> {
        Peers { me, source, events, links: Vec::new() }
    }

    /// Queues a message; returns its size in bytes, or `None` if it was
    /// dropped.
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
            PeerMessage::Directory(_) | PeerMessage::Shared(_) => Class::Query,
        };
        let resend = may_be_repeated(message);
        let body = pack(rmp_serde::to_vec(message).ok()?);
        let size = body.len();
        let link = self.link(address);
        link.queue.try_send(Outgoing { to, class, body, resend }).ok()?;
        Some(size)
    }

    /// Number of connections, open or about to be opened.
    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }

    /// Closes connections to addresses that `keep` does not name.
    pub(crate) fn retain(&mut self, keep: impl Fn(SocketAddr) -> bool) {
        self.links.retain(|link| keep(link.address));
    }

    fn link(&mut self, address: SocketAddr) -> &Link {
        let found = self.links.binary_search_by_key(&address, |l| l.address);
        let i = found.unwrap_or_else(|i| {
            let (tx, rx) = mpsc::channel(QUEUE);
            let task = spawn_local(run(
                self.me,
                self.source,
                address,
                rx,
                self.events.clone(),
            ));
            let task = task.abort_handle();
            self.links.insert(i, Link { address, queue: tx, task });
            i
        });
        &self.links[i]
    }
}

/// Compresses a long body. Configurations and lists repeat the same names, so
/// they shrink to a fraction.
fn pack(body: Vec<u8>) -> Vec<u8> {
    if body.len() < COMPRESS_FROM {
        return body;
    }
    let compressed = lz4_flex::block::compress_prepend_size(&body);
    let mut packed = Vec::with_capacity(compressed.len() + 1);
    packed.push(COMPRESSED);
    packed.extend_from_slice(&compressed);
    packed
}

fn unpack(body: &[u8]) -> Result<Cow<'_, [u8]>, capnp::Error> {
    let Some((&COMPRESSED, compressed)) = body.split_first() else {
        return Ok(Cow::Borrowed(body));
    };
    let (size, block) = lz4_flex::block::uncompressed_size(compressed)
        .map_err(|e| capnp::Error::failed(e.to_string()))?;
    if size > MAX_UNPACKED_BYTES {
        return Err(capnp::Error::failed(format!(
            "a message of {size} bytes is too long"
        )));
    }
    lz4_flex::block::decompress(block, size)
        .map(Cow::Owned)
        .map_err(|e| capnp::Error::failed(e.to_string()))
}

/// Whether a message that may have arrived can be sent again. Nothing above
/// sends replies and shard requests again before a timeout; a root drops the
/// second of two replies, and a home the second of two requests while the
/// first one runs. A request that must not be repeated is never among them.
fn may_be_repeated(message: &PeerMessage) -> bool {
    match message {
        PeerMessage::Query(query::Message::Reply(_)) => true,
        PeerMessage::Query(query::Message::Request(req)) => req.repeatable,
        _ => false,
    }
}

/// Keeps a connection to one peer while there are messages for it.
async fn run(
    me: InstanceId,
    source: IpAddr,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Outgoing>,
    events: impl EventSink,
) {
    let mut first: VecDeque<Outgoing> = VecDeque::new();
    let mut to = InstanceId(0);
    let mut was_open = false;
    loop {
        // A connection that has ended is opened again at once. Only if that
        // fails is the instance unreachable: something between the two may
        // have lost track of the connection while new ones work.
        if first.is_empty() && !was_open {
            let Some(message) = queue.recv().await else { return };
            first.push_back(message);
        }
        to = first.front().map_or(to, |message| message.to);
        match timeout(CONNECT_TIMEOUT, connect(source, address)).await {
            Ok(Ok(stream)) => {
                let Some(unacknowledged) =
                    converse(me, stream, first, &mut queue).await
                else {
                    return;
                };
                first = unacknowledged;
                was_open = true;
            }
            Ok(Err(_)) | Err(_) => {
                events.unreachable(to);
                // What was queued in the meantime is as late as the message
                // that could not be sent.
                first.clear();
                while queue.try_recv().is_ok() {}
                was_open = false;
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

/// Delivers messages on one connection until it fails or falls silent.
/// Returns those that are to be sent again, or `None` if no more will come.
async fn converse(
    me: InstanceId,
    stream: TcpStream,
    mut first: VecDeque<Outgoing>,
    queue: &mut mpsc::Receiver<Outgoing>,
) -> Option<VecDeque<Outgoing>> {
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client: peer::Client = system.bootstrap(Side::Server);
    let driver = AbortOnDrop(spawn_local(system).abort_handle());
    let mut unacknowledged = FuturesUnordered::new();
    // Messages to send again, sorted by number.
    let mut kept: VecDeque<(u64, Outgoing)> = VecDeque::new();
    let mut number = 0;
    loop {
        while let Some(mut outgoing) = first.pop_front() {
            number += 1;
            let delivery = deliver(me, &client, &outgoing);
            let delivery = timeout(ACK_TIMEOUT, delivery);
            unacknowledged.push(async move { (number, delivery.await) });
            if std::mem::take(&mut outgoing.resend) {
                kept.push_back((number, outgoing));
            }
        }
        tokio::select! {
            Some((number, ack)) = unacknowledged.next() => {
                if !matches!(ack, Ok(Ok(()))) {
                    break;
                }
                if let Ok(i) = kept.binary_search_by_key(&number, |k| k.0) {
                    kept.remove(i);
                }
            }
            message = queue.recv(),
                if unacknowledged.len() < MAX_UNACKNOWLEDGED =>
            {
                match message {
                    Some(message) => first.push_back(message),
                    None => return None,
                }
            }
        }
    }
    drop(driver);
    Some(kept.into_iter().map(|(_, outgoing)| outgoing).collect())
}

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn deliver(
    me: InstanceId,
    client: &peer::Client,
    outgoing: &Outgoing,
) -> impl Future<Output = Result<(), capnp::Error>> + use<> {
    let mut request = client.deliver_request();
    let mut envelope = request.get().init_envelope();
    envelope.set_protocol(PROTOCOL);
    envelope.set_sender(me.0);
    envelope.set_recipient(outgoing.to.0);
    envelope.set_class(outgoing.class);
    envelope.set_body(&outgoing.body);
    let promise = request.send().promise;
    async move { promise.await.map(drop) }
}

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
    me: InstanceId,
    listener: TcpListener,
    events: impl EventSink,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let service = Service { me, events: events.clone() };
        let client: peer::Client = capnp_rpc::new_client(service);
        let network = network(stream, Side::Server);
        let system = RpcSystem::new(network, Some(client.client));
        spawn_local(async move {
            let _ = system.await;
        });
    }
}

struct Service<E> {
    me: InstanceId,
    events: E,
}

impl<E: EventSink> peer::Server for Service<E> {
    fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _results: peer::DeliverResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let result = self.accept(&params);
        std::future::ready(result)
    }
}

impl<E: EventSink> Service<E> {
    fn accept(
        &self,
        params: &peer::DeliverParams,
    ) -> Result<(), capnp::Error> {
        let envelope = params.get()?.get_envelope()?;
        if envelope.get_protocol() != PROTOCOL {
            let version = envelope.get_protocol();
            return Err(capnp::Error::failed(format!(
                "unknown protocol version {version}"
            )));
        }
        let recipient = envelope.get_recipient();
        // A message for the former owner of this address is not for us.
        if recipient != 0 && recipient != self.me.0 {
            return Ok(());
        }
        let body = unpack(envelope.get_body()?)?;
        let message = rmp_serde::from_slice(&body)
            .map_err(|e| capnp::Error::failed(e.to_string()))?;
        let from = InstanceId(envelope.get_sender());
        self.events.received(Received { from, message });
        Ok(())
    }
}
