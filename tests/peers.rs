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
    net::TcpListener,
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
