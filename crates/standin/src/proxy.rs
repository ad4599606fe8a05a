/*!
A TCP proxy that injects faults.

Placed in front of an instance or a target it delays bytes, swallows them in
one or both directions, silences the connections that are open while new ones
work, refuses connections, or resets them. A fault can be limited to
connections from one source address, which cuts one pair of instances.
*/

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// What the proxy does to bytes and connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Delay of the bytes in each direction.
    pub delay: Duration,
    /// Swallows bytes from the client to the server.
    pub drop_to_server: bool,
    /// Swallows bytes from the server to the client.
    pub drop_to_client: bool,
    /// Closes new connections at once.
    pub refuse: bool,
    /// Swallows all bytes of connections from these addresses.
    pub cut_sources: Vec<IpAddr>,
    /// Connections opened before this count are silent for good.
    pub silent_before: u64,
    /// Connections opened before this count are closed.
    pub closed_before: u64,
    /// Where to forward to; new connections wait until it is known.
    pub server: Option<SocketAddr>,
}

/// A running proxy; stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    faults: watch::Sender<Faults>,
    opened: Arc<Mutex<u64>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on `listen` in front of `server`, which may become
    /// known later.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        listen: SocketAddr,
        server: Option<SocketAddr>,
    ) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (faults, watch) =
            watch::channel(Faults { server, ..Faults::default() });
        let opened = Arc::new(Mutex::new(0));
        let task = tokio::spawn(run(listener, watch, Arc::clone(&opened)));
        Ok(Proxy { address, faults, opened, task })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it forwards to, if that is known.
    pub fn server(&self) -> Option<SocketAddr> {
        self.faults.borrow().server
    }

    /// Changes the faults.
    pub fn update(&self, update: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(update);
    }

    /// Silences every open connection for good; new ones work.
    pub fn silence_open_connections(&self) {
        let opened = *self.opened.lock().expect("not poisoned");
        self.update(|f| f.silent_before = opened);
    }

    /// Closes every open connection; new ones work.
    pub fn close_open_connections(&self) {
        let opened = *self.opened.lock().expect("not poisoned");
        self.update(|f| f.closed_before = opened);
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
    opened: Arc<Mutex<u64>>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, source)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        if faults.borrow().refuse {
            continue;
        }
        let number = {
            let mut opened = opened.lock().expect("not poisoned");
            *opened += 1;
            *opened - 1
        };
        let connection =
            Connection { number, source: source.ip(), faults: faults.clone() };
        connections.spawn(connection.forward(client));
    }
}

struct Connection {
    number: u64,
    source: IpAddr,
    faults: watch::Receiver<Faults>,
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
        let up = Direction::new(&self, true);
        let down = Direction::new(&self, false);
        let number = self.number;
        // One direction may end before the other; both end when the
        // connection is to be closed.
        let pumps = async {
            tokio::join!(
                up.pump(client_read, server_write),
                down.pump(server_read, client_write),
            )
        };
        tokio::select! {
            _ = pumps => {}
            _ = self.faults.wait_for(|f| number < f.closed_before) => {}
        }
    }
}

struct Direction {
    number: u64,
    source: IpAddr,
    to_server: bool,
    faults: watch::Receiver<Faults>,
}

impl Direction {
    fn new(connection: &Connection, to_server: bool) -> Direction {
        Direction {
            number: connection.number,
            source: connection.source,
            to_server,
            faults: connection.faults.clone(),
        }
    }

    fn swallows(&self, faults: &Faults) -> bool {
        let dropped = if self.to_server {
            faults.drop_to_server
        } else {
            faults.drop_to_client
        };
        dropped
            || self.number < faults.silent_before
            || faults.cut_sources.contains(&self.source)
    }

    async fn pump(
        self,
        mut from: impl AsyncReadExt + Unpin,
        mut to: impl AsyncWriteExt + Unpin,
    ) {
        let mut buf = vec![0; 16 * 1024];
        loop {
            let n = match from.read(&mut buf).await {
                Ok(0) | Err(_) => break,
                Ok(n) => n,
            };
            let (delay, swallow) = {
                let faults = self.faults.borrow();
                (faults.delay, self.swallows(&faults))
            };
            if swallow {
                continue;
            }
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            if to.write_all(&buf[..n]).await.is_err() {
                break;
            }
        }
        let swallow = self.swallows(&self.faults.borrow());
        if swallow {
            // A silent partition also hides that the other end has closed.
            std::future::pending::<()>().await;
        }
        let _ = to.shutdown().await;
    }
}
