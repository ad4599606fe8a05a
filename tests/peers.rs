//! Connections between instances, with a stand-in for a peer that
//! acknowledges late or not at all.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use primrosemast_standin::fleet::{Fleet, FleetOptions};
use primrosemast_wire::peer_capnp::peer;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Time without any acknowledgement after which a connection is replaced, as
/// stated in `src/peer.rs`.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which an instance without a fleet contacts its seeds.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// A peer that waits before each acknowledgement.
struct LatePeer {
    /// Range of the wait in milliseconds; `None` for no acknowledgement.
    wait_ms: Option<(u64, u64)>,
    rng: Rc<RefCell<StdRng>>,
}

impl peer::Server for LatePeer {
    fn deliver(
        self: Rc<Self>,
        _: peer::DeliverParams,
        _: peer::DeliverResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let wait = self.wait_ms.map(|(low, high)| {
            let ms = self.rng.borrow_mut().random_range(low..=high);
            Duration::from_millis(ms)
        });
        async move {
            match wait {
                Some(wait) => sleep(wait).await,
                None => std::future::pending().await,
            }
            Ok(())
        }
    }
}

/// Starts an instance whose only seed is a late peer, and returns when it
/// opened connections in `duration`, counted from the first one.
async fn connections(
    seed: u64,
    wait_ms: Option<(u64, u64)>,
    duration: Duration,
) -> Vec<Duration> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address: SocketAddr = listener.local_addr().expect("address");
    let options = FleetOptions {
        settings: json!({ "peers": [address.to_string()] }),
        ..FleetOptions::spread(1, 0, &["a"])
    };
    let program = Path::new(env!("CARGO_BIN_EXE_primrosemastd"));
    let _fleet = Fleet::start(&[program], options).await.expect("start");
    let rng = Rc::new(RefCell::new(StdRng::seed_from_u64(seed)));
    let mut opened: Vec<Instant> = Vec::new();
    loop {
        let left = opened.first().map_or(Duration::from_secs(10), |first| {
            duration.saturating_sub(first.elapsed())
        });
        let Ok(accepted) = timeout(left, listener.accept()).await else {
            break;
        };
        let (reader, writer) = accepted.expect("accept").0.into_split();
        opened.push(Instant::now());
        let network = twoparty::VatNetwork::new(
            futures::io::BufReader::new(reader.compat()),
            futures::io::BufWriter::new(writer.compat_write()),
            Side::Server,
            Default::default(),
        );
        let peer = LatePeer { wait_ms, rng: rng.clone() };
        let client: peer::Client = capnp_rpc::new_client(peer);
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        spawn_local(async move {
            let _ = system.await;
        });
    }
    let first = opened.first().copied().expect("a connection");
    opened.into_iter().map(|at| at - first).collect()
}

/// Guards against a connection that is replaced, with all that waits on it,
/// although its peer is only slow, as on a busy computer.
#[tokio::test]
async fn a_slow_peer_keeps_its_connection() {
    let duration = Duration::from_secs(15);
    let opened = LocalSet::new()
        .run_until(connections(1, Some((600, 1_500)), duration))
        .await;
    // The first timeouts double until they cover the peer's delay.
    let late = opened.iter().filter(|x| **x > duration / 2).count();
    assert!(opened.len() <= 4 && late == 0, "{opened:?}");
}

/// Guards against a silent peer, behind a device that dropped the connection,
/// that is noticed later than before.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let opened = LocalSet::new()
        .run_until(connections(2, None, Duration::from_secs(10)))
        .await;
    let margin = Duration::from_millis(300);
    assert!(opened[1] <= ACK_TIMEOUT + margin, "{opened:?}");
    // Four times the timeout and the wait for the next message at most.
    let longest = 4 * ACK_TIMEOUT + JOIN_INTERVAL + margin;
    assert!(opened.is_sorted_by(|a, b| *b - *a <= longest), "{opened:?}");
}

/// Envelope version of a frame of a message, as stated in `src/peer.rs`.
const FRAME_VERSION: u16 = 2;

/// Delivers a body in an envelope of the given version. Returns the reason if
/// it is refused.
async fn deliver(
    client: &peer::Client,
    version: u16,
    body: &[u8],
) -> Result<(), String> {
    let mut request = client.deliver_request();
    let mut envelope = request.get().init_envelope();
    envelope.set_protocol(version);
    envelope.set_sender(77);
    envelope.set_body(body);
    request.send().promise.await.map(drop).map_err(|e| e.extra)
}

/// Returns the frame with the part of a body from `offset` on.
fn frame(id: u64, offset: usize, total: usize, part: &[u8]) -> Vec<u8> {
    let numbers = [id, offset as u64, total as u64];
    let mut bytes: Vec<u8> =
        numbers.iter().flat_map(|n| n.to_le_bytes()).collect();
    bytes.extend_from_slice(part);
    bytes
}

async fn connect(address: SocketAddr) -> peer::Client {
    let stream = TcpStream::connect(address).await.expect("connect");
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        Side::Client,
        Default::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    spawn_local(async move {
        let _ = system.await;
    });
    client
}

async fn receive_frames() {
    let program = Path::new(env!("CARGO_BIN_EXE_primrosemastd"));
    let options = FleetOptions::spread(1, 0, &["a"]);
    let fleet = Fleet::start(&[program], options).await.expect("start");
    let address = fleet.instances()[0].addresses().peer;
    let client = connect(address).await;
    // No message begins with this byte, so a complete body is refused for its
    // content, and an incomplete one is not.
    let body = [0xc1; 3_000];
    let missing = |r: Result<(), String>| {
        r.is_err_and(|e| e.contains("the frames before are missing"))
    };
    let part = |id, from: usize, to: usize| {
        frame(id, from, body.len(), &body[from..to])
    };
    let whole = deliver(&client, 1, &body).await.expect_err("no message");
    assert!(missing(deliver(&client, FRAME_VERSION, &part(1, 9, 20)).await));
    let sent = deliver(&client, FRAME_VERSION, &part(1, 0, 1_000)).await;
    assert_eq!(sent, Ok(()));
    let gap = deliver(&client, FRAME_VERSION, &part(1, 1_001, 2_000)).await;
    assert!(missing(gap));

    // Another connection goes on, with frames that arrive twice.
    let client = connect(address).await;
    for (from, to) in [(0, 1_000), (500, 2_000), (2_000, 2_999)] {
        let sent = deliver(&client, FRAME_VERSION, &part(1, from, to)).await;
        assert_eq!(sent, Ok(()), "{from} to {to}");
    }
    let last = deliver(&client, FRAME_VERSION, &part(1, 2_999, 3_000)).await;
    assert_eq!(last.expect_err("complete"), whole);
    // It is not handled twice.
    let again = deliver(&client, FRAME_VERSION, &part(1, 2_999, 3_000)).await;
    assert_eq!(again, Ok(()));

    let too_long = frame(2, 0, 65 << 20, &body);
    deliver(&client, FRAME_VERSION, &too_long).await.expect_err("length");
    let beyond = frame(3, 0, 2_999, &body);
    deliver(&client, FRAME_VERSION, &beyond).await.expect_err("end");
    let short = &too_long[..20];
    deliver(&client, FRAME_VERSION, short).await.expect_err("header");
    let unknown = deliver(&client, 3, &body).await.expect_err("version");
    assert!(unknown.contains("unknown protocol version 3"), "{unknown}");
}

/// Guards against a message in frames that is put together wrongly, handled
/// twice, or lost with a connection although its frames arrived.
#[tokio::test]
async fn a_message_in_frames_survives_its_connection() {
    LocalSet::new().run_until(receive_frames()).await;
}
