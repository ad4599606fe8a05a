/*!
Crowds of clients of the product's own protocol that send almost complete
requests and stay, or do not read their responses: the process lives, its
memory and descriptors stay below its limits, and ordinary requests are still
answered.

The tests run one at a time. Crowds and bounds were fixed before the limits
were built: each crowd would hold more than the memory or the descriptors that
the settings name.
*/

use std::{io, net::SocketAddr, path::Path, sync::LazyLock};

use primrosemast_standin::{
    client,
    crowd::{Crowd, Script, Usage, wait_read},
    fleet::{Fleet, FleetOptions, wait_for},
    site::{SearcherGroup, Site},
};
use serde_json::json;
use tokio::sync::{Mutex, MutexGuard};

/// Memory that the settings name, in megabytes; the bound of the peak.
const MEMORY_MB: u64 = 64;

/// Descriptors that the settings name; the bound of the open ones.
const DESCRIPTORS: usize = 400;

/// Length of a body, in bytes.
const BODY_BYTES: usize = 262_144;

/// Number of clients that send bodies: 100 MB of them.
const BODY_CLIENTS: usize = 400;

/// Number of clients that keep connections: more than there are descriptors.
const IDLE_CLIENTS: usize = 700;

/// Serialises the tests.
static SLOT: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

struct Test {
    _slot: MutexGuard<'static, ()>,
    _site: Site,
    fleet: Fleet,
}

async fn start() -> io::Result<Test> {
    let slot = SLOT.lock().await;
    let group =
        SearcherGroup { shards: 1, replicas: 1, ..SearcherGroup::default() };
    let site = Site::start(&["az-a"], &[group]).await?;
    let program = Path::new(env!("CARGO_BIN_EXE_primrosemastd"));
    let mut options = FleetOptions::spread(1, 1, &["az-a"]);
    options.settings = json!({
        "resources": { "memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS },
    });
    let fleet = Fleet::start(&[program], options).await?;
    fleet.bootstrap(&site.configuration()).await?;
    let test = Test { _slot: slot, _site: site, fleet };
    test.request().await?;
    Ok(test)
}

impl Test {
    fn callers(&self) -> SocketAddr {
        self.fleet.instances()[0].addresses().caller
    }

    fn operators(&self) -> SocketAddr {
        self.fleet.instances()[0].addresses().operator
    }

    /// Waits until an ordinary request is answered.
    async fn request(&self) -> io::Result<()> {
        wait_for("an ordinary request is answered", || async {
            let body = json!("ordinary");
            let reply =
                self.fleet.query(0, "search", &[], &body).await.ok()?;
            let answered = reply.body["coverage"]["answered"] == 1;
            (reply.status == 200 && answered).then_some(())
        })
        .await
    }

    /// Waits until a GET request is answered.
    async fn get(&self, address: SocketAddr, path: &str) -> io::Result<()> {
        wait_for("a GET request is answered", || async {
            let reply = client::get(address, path).await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await
    }

    fn usage(&self) -> io::Result<Usage> {
        let pid = self.fleet.instances()[0].pid();
        Usage::of(pid.ok_or_else(|| io::Error::other("it has ended"))?)
    }

    /// Plays a crowd against the instance and checks it during and after.
    async fn play(
        &self,
        address: SocketAddr,
        count: usize,
        script: &Script,
    ) -> io::Result<()> {
        let before = self.usage()?;
        let crowd = Crowd::open(address, count, script).await?;
        assert!(!crowd.is_empty());
        // What the process keeps, it has read by then.
        wait_read(address).await?;
        let during = self.usage()?;
        self.request().await?;
        self.get(self.callers(), "/ready").await?;
        self.get(self.operators(), "/v1/status").await?;
        let held = self.usage()?;
        let descriptors = during.descriptors.max(held.descriptors);
        drop(crowd);
        self.request().await?;
        let after = self.usage()?;
        println!("before {before:?}\nduring {during:?}\nafter {after:?}");
        assert!(
            after.peak_kb < MEMORY_MB << 10,
            "{} kB of memory",
            after.peak_kb
        );
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
        Ok(())
    }
}

/// Returns the head of a caller's request, with further headers.
fn head(headers: &str) -> String {
    format!(
        "POST /v1/routes/search/query HTTP/1.1\r\nHost: h\r\n{headers}\r\n"
    )
}

// Guards against memory for whole bodies that stop just short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_are_bounded() -> io::Result<()> {
    let test = start().await?;
    let script = Script {
        head: head(&format!("Content-Length: {BODY_BYTES}\r\n")),
        piece: vec![b'1'; BODY_BYTES - 1],
        count: 1,
        ..Script::default()
    };
    test.play(test.callers(), BODY_CLIENTS, &script).await
}

// Guards against memory for large chunks without a last one.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_without_end_are_bounded() -> io::Result<()> {
    let test = start().await?;
    let mut piece = b"10000\r\n".to_vec();
    piece.extend([b'1'; 0x1_0000]);
    piece.extend(b"\r\n");
    let script = Script {
        head: head("Transfer-Encoding: chunked\r\n"),
        piece,
        count: 4,
        ..Script::default()
    };
    test.play(test.callers(), BODY_CLIENTS, &script).await
}

// Guards against the memory that each of many small chunks costs beyond its
// own length.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_one_byte_are_bounded() -> io::Result<()> {
    let test = start().await?;
    let script = Script {
        head: head("Transfer-Encoding: chunked\r\n"),
        piece: b"1\r\n1\r\n".to_vec(),
        count: 20_000,
        pieces_per_write: 1_000,
        ..Script::default()
    };
    test.play(test.callers(), 200, &script).await
}

// Guards against idle connections and slow heads that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_bounded() -> io::Result<()> {
    let test = start().await?;
    test.play(test.callers(), IDLE_CLIENTS, &Script::default()).await?;
    let script = Script {
        head: head("X-Long: ").trim_end().into(),
        ..Script::default()
    };
    test.play(test.callers(), IDLE_CLIENTS, &script).await?;
    test.play(test.operators(), IDLE_CLIENTS, &Script::default()).await
}

// Guards against memory for operators' bodies that stop short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_operators_are_bounded() -> io::Result<()> {
    const DOCUMENT_BYTES: usize = 1 << 20;
    let test = start().await?;
    let script = Script {
        head: format!(
            "POST /v1/changes HTTP/1.1\r\nHost: operator\r\n\
             Content-Length: {DOCUMENT_BYTES}\r\n\r\n"
        ),
        piece: vec![b' '; DOCUMENT_BYTES - 1],
        count: 1,
        ..Script::default()
    };
    test.play(test.operators(), 120, &script).await
}

// Guards against limits that refuse a single request of the largest legal
// size.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_large_request_is_served() -> io::Result<()> {
    let test = start().await?;
    let body = json!("1".repeat((1 << 20) - 2));
    wait_for("a large request is answered", || async {
        let reply = test.fleet.query(0, "search", &[], &body).await.ok()?;
        let echo = &reply.body["results"][0]["body"]["echo"];
        (reply.status == 200 && echo.is_string()).then_some(())
    })
    .await
}
