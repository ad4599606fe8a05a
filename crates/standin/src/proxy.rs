/*!
A TCP proxy that injects faults.

In front of an instance or a target, it delays bytes, discards them in one or
both directions, silences the connections that are already open while new ones
work, and refuses or closes connections. Bytes can also be discarded only on
connections from one source address, which partitions one pair of instances,
or held back until the path heals, as TCP does across a link that loses packets.
*/

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// Receive buffer of a narrow connection, in bytes.
const NARROW_BUFFER_BYTES: u32 = 16 * 1024;

/// Faults to inject.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Delay of the bytes, in each direction.
    pub delay: Duration,
    /// Bandwidth in bytes per second, in each direction, for all connections
    /// from one source address together.
    pub bandwidth: Option<u32>,
    /// Discards bytes from the client to the server.
    pub drop_to_server: bool,
    /// Discards bytes from the server to the client.
    pub drop_to_client: bool,
    /// Closes new connections at once.
    pub refuse: bool,
    /// Discards all bytes of connections from these source addresses.
    pub cut_sources: Vec<IpAddr>,
    /// Holds bytes from these source addresses back while they are listed.
    pub hold_from: Vec<IpAddr>,
    /// Holds bytes to these source addresses back while they are listed.
    pub hold_to: Vec<IpAddr>,
    /// Discards all bytes of connections with a number below this one.
    pub silent_before: u64,
    /// Closes connections with a number below this one.
    pub closed_before: u64,
    /// Address to forward to; new connections wait until it is set.
    pub server: Option<SocketAddr>,
}

/// A link of limited bandwidth, in one direction.
#[derive(Debug)]
struct Line {
    /// When the bytes that were sent so far have crossed.
    free_at: Instant,
    /// Number of these bytes.
    bytes: u64,
}

/// The links of limited bandwidth, by source address and whether they lead to
/// the server.
type Lines = Arc<Mutex<BTreeMap<(IpAddr, bool), Line>>>;

/// A running proxy; stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    faults: watch::Sender<Faults>,
    accepted: Arc<Mutex<u64>>,
    lines: Lines,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on `listen` in front of `server`, which can also be
    /// set later.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        listen: SocketAddr,
        server: Option<SocketAddr>,
    ) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen).await?;
        Proxy::with_listener(listener, server)
    }

    /// Starts a proxy whose connections buffer few bytes, as a link of a low
    /// bandwidth makes them do: what does not fit waits at the sender.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start_narrow(
        listen: SocketAddr,
        server: Option<SocketAddr>,
    ) -> std::io::Result<Proxy> {
        let socket = match listen {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_recv_buffer_size(NARROW_BUFFER_BYTES)?;
        socket.bind(listen)?;
        Proxy::with_listener(socket.listen(1_024)?, server)
    }

    fn with_listener(
        listener: TcpListener,
        server: Option<SocketAddr>,
    ) -> std::io::Result<Proxy> {
        let address = listener.local_addr()?;
        let (faults, watch) =
            watch::channel(Faults { server, ..Faults::default() });
        let accepted = Arc::new(Mutex::new(0));
        let lines = Lines::default();
        let task = tokio::spawn(run(
            listener,
            watch,
            Arc::clone(&accepted),
            Arc::clone(&lines),
        ));
        Ok(Proxy { address, faults, accepted, lines, task })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that the proxy forwards to, if it is set.
    pub fn server(&self) -> Option<SocketAddr> {
        self.faults.borrow().server
    }

    /// Updates the faults.
    pub fn update(&self, update: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(update);
    }

    /// Returns the number of bytes from each source address to the server
    /// since the bandwidth is limited.
    pub fn limited_bytes(&self) -> Vec<(IpAddr, u64)> {
        let lines = self.lines.lock().expect("not poisoned");
        let to_server = lines.iter().filter(|((_, to_server), _)| *to_server);
        to_server.map(|((source, _), line)| (*source, line.bytes)).collect()
    }

    /// Silences every open connection permanently; new ones work.
    pub fn silence_open_connections(&self) {
        let accepted = *self.accepted.lock().expect("not poisoned");
        self.update(|f| f.silent_before = accepted);
    }

    /// Closes every open connection; new ones work.
    pub fn close_open_connections(&self) {
        let accepted = *self.accepted.lock().expect("not poisoned");
        self.update(|f| f.closed_before = accepted);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    listener: TcpListener,
    faults: watch::Receiver<Faults>,
    accepted: Arc<Mutex<u64>>,
    lines: Lines,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, source)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        if faults.borrow().refuse {
            continue;
        }
        let number = {
            let mut accepted = accepted.lock().expect("not poisoned");
            *accepted += 1;
            *accepted - 1
        };
        let connection = Connection {
            number,
            source: source.ip(),
            faults: faults.clone(),
            lines: lines.clone(),
        };
        connections.spawn(connection.forward(client));
    }
}

struct Connection {
    number: u64,
    source: IpAddr,
    faults: watch::Receiver<Faults>,
    lines: Lines,
}

impl Connection {
    async fn forward(mut self, client: TcpStream) {
        let Ok(server) = self
            .faults
            .wait_for(|f| f.server.is_some())
            .await
            .map(|f| f.server)
        else {
            return;
        };
        let Some(server) = server else { return };
        let Ok(server) = TcpStream::connect(server).await else { return };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let upstream = Direction::new(&self, true);
        let downstream = Direction::new(&self, false);
        let number = self.number;
        // One direction may end before the other; `closed_before` ends both.
        let relays = async {
            tokio::join!(
                upstream.relay(client_read, server_write),
                downstream.relay(server_read, client_write),
            )
        };
        tokio::select! {
            _ = relays => {}
            _ = self.faults.wait_for(|f| number < f.closed_before) => {}
        }
    }
}

struct Direction {
    number: u64,
    source: IpAddr,
    to_server: bool,
    faults: watch::Receiver<Faults>,
    lines: Lines,
}

impl Direction {
    fn new(connection: &Connection, to_server: bool) -> Direction {
        Direction {
            number: connection.number,
            source: connection.source,
            to_server,
            faults: connection.faults.clone(),
            lines: connection.lines.clone(),
        }
    }

    fn discards(&self, faults: &Faults) -> bool {
        let dropped = if self.to_server {
            faults.drop_to_server
        } else {
            faults.drop_to_client
        };
        dropped
            || self.number < faults.silent_before
            || faults.cut_sources.contains(&self.source)
    }

    /// Returns the time until some more bytes have crossed.
    fn reserve(&self, bytes: u64, bandwidth: u64) -> Duration {
        let mut lines = self.lines.lock().expect("not poisoned");
        let now = Instant::now();
        let line = lines
            .entry((self.source, self.to_server))
            .or_insert(Line { free_at: now, bytes: 0 });
        let crossing = Duration::from_micros(bytes * 1_000_000 / bandwidth);
        line.free_at = now.max(line.free_at) + crossing;
        line.bytes += bytes;
        line.free_at - now
    }

    /// Waits while the bytes of this direction are held back.
    async fn wait_held(&mut self) {
        let (to_server, source) = (self.to_server, self.source);
        let passes = |f: &Faults| {
            let held = if to_server { &f.hold_from } else { &f.hold_to };
            !held.contains(&source)
        };
        // Fails only if the proxy has stopped.
        let _ = self.faults.wait_for(passes).await;
    }

    async fn relay(
        mut self,
        mut from: impl AsyncReadExt + Unpin,
        mut to: impl AsyncWriteExt + Unpin,
    ) {
        let mut buf = vec![0; 16 * 1024];
        loop {
            let n = match from.read(&mut buf).await {
                Ok(0) | Err(_) => break,
                Ok(n) => n,
            };
            let (delay, discard) = {
                let faults = self.faults.borrow();
                let crossing =
                    faults.bandwidth.map_or(Duration::ZERO, |bandwidth| {
                        self.reserve(n as u64, u64::from(bandwidth))
                    });
                (faults.delay + crossing, self.discards(&faults))
            };
            if discard {
                continue;
            }
            self.wait_held().await;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            if to.write_all(&buf[..n]).await.is_err() {
                break;
            }
        }
        let discard = self.discards(&self.faults.borrow());
        if discard {
            // A silent partition also hides the close from the receiver.
            std::future::pending::<()>().await;
        }
        self.wait_held().await;
        let _ = to.shutdown().await;
    }
}
