/*!
Closed-loop load generator that records every reply.
*/

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use http::Method;
use serde_json::{Value, json};
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    task::JoinSet,
};

use crate::client::{self, Client, Reply};

/// Limits how many tests of this process run a fleet at the same time.
static TEST_SLOTS: Semaphore = Semaphore::const_new(2);

/// Waits until fewer than two other tests of this process hold a permit.
pub async fn test_slot() -> SemaphorePermit<'static> {
    TEST_SLOTS.acquire().await.expect("never closed")
}

/// Queries to send.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Route of the queries.
    pub route: String,
    /// Number of callers, each with one query at a time.
    pub callers: u32,
    /// Deadline of each query, in milliseconds.
    pub deadline_ms: u64,
    /// Pause of a caller between two queries.
    pub pause: Duration,
    /// Whether instances whose `GET /ready` fails receive no queries, as
    /// behind a load balancer.
    pub skip_unready: bool,
    /// Whether each query carries a unique `x-request-id`.
    pub with_request_id: bool,
}

impl Default for LoadOptions {
    fn default() -> LoadOptions {
        LoadOptions {
            route: "search".into(),
            callers: 4,
            deadline_ms: 2_000,
            pause: Duration::from_millis(5),
            skip_unready: false,
            with_request_id: false,
        }
    }
}

/// A query and its reply.
#[derive(Debug)]
pub struct Exchange {
    /// Index of the instance in the list of addresses.
    pub instance: usize,
    /// Request body.
    pub body: String,
    /// Time at which the query was sent.
    pub started: Instant,
    /// Time at which the reply was complete.
    pub ended: Instant,
    /// The reply, or the error if the connection broke.
    pub reply: io::Result<Reply>,
}

impl Exchange {
    /// Returns the body of a successful reply.
    pub fn answer(&self) -> Option<&Value> {
        let reply = self.reply.as_ref().ok()?;
        (reply.status == 200).then_some(&reply.body)
    }

    /// Returns whether the reply was successful and had full coverage.
    pub fn is_complete(&self) -> bool {
        self.answer().is_some_and(|a| {
            let coverage = &a["coverage"];
            coverage["asked"].as_u64() > Some(0)
                && coverage["asked"] == coverage["answered"]
                && coverage["missing"] == json!([])
        })
    }
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    replies: Arc<AtomicU64>,
    callers: JoinSet<Vec<Exchange>>,
    readiness_probes: JoinSet<()>,
}

struct Caller {
    number: u32,
    addresses: Vec<SocketAddr>,
    ready: Arc<Vec<AtomicBool>>,
    stop: Arc<AtomicBool>,
    replies: Arc<AtomicU64>,
    options: LoadOptions,
}

impl Load {
    /// Starts callers that distribute their queries over the addresses.
    pub fn start(addresses: &[SocketAddr], options: LoadOptions) -> Load {
        let ready = addresses.iter().map(|_| AtomicBool::new(true));
        let ready: Arc<Vec<AtomicBool>> = Arc::new(ready.collect());
        let mut load = Load {
            stop: Arc::default(),
            replies: Arc::default(),
            callers: JoinSet::new(),
            readiness_probes: JoinSet::new(),
        };
        if options.skip_unready {
            for (i, &address) in addresses.iter().enumerate() {
                load.readiness_probes.spawn(probe_readiness(
                    address,
                    ready.clone(),
                    i,
                ));
            }
        }
        for number in 0..options.callers {
            let caller = Caller {
                number,
                addresses: addresses.to_vec(),
                ready: Arc::clone(&ready),
                stop: Arc::clone(&load.stop),
                replies: Arc::clone(&load.replies),
                options: options.clone(),
            };
            load.callers.spawn(caller.run());
        }
        load
    }

    /// Returns the number of replies so far, broken connections included.
    pub fn reply_count(&self) -> u64 {
        self.replies.load(Ordering::Relaxed)
    }

    /// Waits until `count` further replies have arrived.
    ///
    /// # Errors
    ///
    /// Fails if it takes too long.
    pub async fn wait_replies(&self, count: u64) -> io::Result<()> {
        let goal = self.reply_count() + count;
        crate::fleet::wait_for("more replies", || async {
            (self.reply_count() >= goal).then_some(())
        })
        .await
    }

    /// Stops the callers after their current queries. Returns all queries in
    /// the order in which they were sent.
    pub async fn stop(mut self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        let mut exchanges = Vec::new();
        while let Some(sent) = self.callers.join_next().await {
            exchanges.extend(sent.expect("a caller does not panic"));
        }
        exchanges.sort_by_key(|x| x.started);
        exchanges
    }
}

async fn probe_readiness(
    address: SocketAddr,
    ready: Arc<Vec<AtomicBool>>,
    i: usize,
) {
    loop {
        let reply = client::get(address, "/ready").await;
        let ok = reply.is_ok_and(|r| r.status == 200);
        ready[i].store(ok, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

impl Caller {
    async fn run(self) -> Vec<Exchange> {
        let mut connections: Vec<Option<Client>> =
            self.addresses.iter().map(|_| None).collect();
        let path = format!("/v1/routes/{}/query", self.options.route);
        let deadline = self.options.deadline_ms.to_string();
        let mut exchanges = Vec::new();
        let mut next = self.number as usize;
        for n in 0u64.. {
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            let count = self.addresses.len();
            let usable = (next..next + count)
                .map(|i| i % count)
                .find(|&i| self.ready[i].load(Ordering::Relaxed));
            let Some(i) = usable else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            next = i + 1;
            let body = json!({"caller": self.number, "query": n}).to_string();
            let id = format!("load-{}-{n}", self.number);
            let mut headers = vec![("x-deadline-ms", deadline.as_str())];
            if self.options.with_request_id {
                headers.push(("x-request-id", id.as_str()));
            }
            let started = Instant::now();
            let reply = async {
                if connections[i].is_none() {
                    let client = Client::connect(self.addresses[i]).await?;
                    connections[i] = Some(client);
                }
                let client = connections[i].as_mut().expect("just opened");
                client.send(Method::POST, &path, &headers, body.clone()).await
            }
            .await;
            if reply.is_err() {
                connections[i] = None;
            }
            let ended = Instant::now();
            exchanges.push(Exchange {
                instance: i,
                body,
                started,
                ended,
                reply,
            });
            self.replies.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(self.options.pause).await;
        }
        exchanges
    }
}
