/*!
Crowds of clients that hold memory and connections of a process.

Each client of a crowd sends what its script says and then keeps its
connection open without reading. The process may refuse it or close its
connection at any time.
*/

use std::{
    fs, io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::timeout,
};

/// Receive buffer of a client, in bytes, so that the system does not take a
/// whole response on behalf of a client that does not read.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// Longest time for a script. A client that cannot send everything by then
/// keeps its connection open as it is.
const SCRIPT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without progress after which a process hangs.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two looks at what a process has read.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a client sends before it stalls.
#[derive(Clone, Debug)]
pub struct Script {
    /// Sent at once: the head of the request.
    pub head: String,
    /// Sent `count` times.
    pub piece: Vec<u8>,
    /// Number of pieces.
    pub count: usize,
    /// Number of pieces in one write.
    pub pieces_per_write: usize,
    /// Whether the client waits until its response begins.
    pub awaits_response: bool,
}

impl Default for Script {
    fn default() -> Script {
        Script {
            head: String::new(),
            piece: Vec::new(),
            count: 0,
            pieces_per_write: 1,
            awaits_response: false,
        }
    }
}

impl Script {
    async fn run(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(self.head.as_bytes()).await?;
        let mut left = self.count;
        while left > 0 {
            let count = left.min(self.pieces_per_write);
            stream.write_all(&self.piece.repeat(count)).await?;
            left -= count;
            // The clients take turns.
            tokio::task::yield_now().await;
        }
        if self.awaits_response {
            stream.readable().await?;
        }
        Ok(())
    }
}

/// Connections of clients whose scripts have ended. Closed when it is
/// dropped.
#[derive(Debug)]
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `count` connections and runs the script on each.
    ///
    /// # Errors
    ///
    /// Fails if this process cannot open a socket. Connections that the
    /// server refuses are left out.
    pub async fn open(
        address: SocketAddr,
        count: usize,
        script: &Script,
    ) -> io::Result<Crowd> {
        let mut clients = JoinSet::new();
        for _ in 0..count {
            let socket = TcpSocket::new_v4()?;
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
            let script = script.clone();
            clients.spawn(async move {
                let connected =
                    timeout(SCRIPT_TIMEOUT, socket.connect(address)).await;
                let mut stream = connected.ok()?.ok()?;
                // Fails if the server refuses the client, which it may.
                let _ = timeout(SCRIPT_TIMEOUT, script.run(&mut stream)).await;
                Some(stream)
            });
        }
        let streams = clients.join_all().await;
        Ok(Crowd { streams: streams.into_iter().flatten().collect() })
    }

    /// Number of clients that were connected.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no client was connected.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

/// Waits until a listener's process has accepted all connections and read what
/// has arrived on them.
///
/// # Errors
///
/// Fails if it stops reading for [`HANG_TIMEOUT`] before.
pub async fn wait_read(address: SocketAddr) -> io::Result<()> {
    let (mut last, mut since) = (unread(address)?, Instant::now());
    while last > 0 {
        if since.elapsed() > HANG_TIMEOUT {
            return Err(io::Error::other(format!("{last} are not read")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = unread(address)?;
        if now != last {
            (last, since) = (now, Instant::now());
        }
    }
    Ok(())
}

/// Returns the bytes that have arrived at a listener's connections and that
/// the process has not read, and the number of connections that it has not
/// accepted, as one sum.
fn unread(address: SocketAddr) -> io::Result<u64> {
    let SocketAddr::V4(v4) = address else { return Ok(0) };
    let ip = u32::from_ne_bytes(v4.ip().octets());
    let local = format!("{ip:08X}:{:04X}", v4.port());
    let table = fs::read_to_string("/proc/net/tcp")?;
    let unread = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        if fields.next()? != local {
            return None;
        }
        // The queue of a listener counts connections.
        let received = fields.nth(2)?.split(':').nth(1)?;
        u64::from_str_radix(received, 16).ok()
    });
    Ok(unread.sum())
}

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
    /// Peak of the resident memory, in kilobytes.
    pub peak_kb: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exist.
    pub fn of(pid: u32) -> io::Result<Usage> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let value = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name));
            let kb = line.and_then(|v| v.trim().strip_suffix("kB"));
            kb.and_then(|v| v.trim().parse().ok())
                .ok_or_else(|| io::Error::other(format!("no {name}")))
        };
        Ok(Usage {
            memory_kb: value("VmRSS:")?,
            peak_kb: value("VmHWM:")?,
            descriptors: fs::read_dir(format!("/proc/{pid}/fd"))?.count(),
        })
    }
}
