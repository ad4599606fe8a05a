//! Clients that send requests to all machines in turn, each on a connection
//! of its own.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http::{Message, call},
    site::Site,
};

/// A request of a client, and its answer.
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub answer: Option<Message>,
}

impl Sent {
    /// Returns the status of the answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

/// Running clients.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts clients that send a request each `pause` and wait 3 s for the
    /// answer.
    pub fn start(
        site: &Site,
        clients: usize,
        pause: Duration,
        host: &'static str,
        path: &'static str,
    ) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let next = Arc::new(AtomicUsize::new(0));
        let start = |client: usize| {
            let (stop, sent) = (stop.clone(), sent.clone());
            let (record, next) = (site.record.clone(), next.clone());
            let fronts: Vec<_> =
                site.machines.iter().map(|m| m.front()).collect();
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{client:04x}{n:012x}");
                    let headers = [
                        ("Host", host),
                        ("X-Request-Id", id.as_str()),
                        ("X-Deadline-Ms", "3000"),
                    ];
                    let at = Instant::now();
                    let answer = call(
                        fronts[n % fronts.len()],
                        "POST",
                        path,
                        &headers,
                        b"one pick",
                        Duration::from_secs(4),
                    );
                    let text = match &answer {
                        Ok(a) => format!(
                            "{} stamp={:?}",
                            a.status(),
                            a.header("x-response-stamp")
                        ),
                        Err(e) => e.to_string(),
                    };
                    record.write(&format!("client: {id} POST {path} -> {text}"));
                    let answer = answer.ok();
                    let mut sent = sent.lock().expect("what was sent");
                    sent.push(Sent { id, at, answer });
                    drop(sent);
                    thread::sleep(pause);
                }
            })
        };
        let clients = (0..clients).map(start).collect();
        Traffic { stop, sent, clients }
    }

    /// Stops the clients and returns what they sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            let _ = client.join();
        }
        let mut sent = self.sent.lock().expect("what was sent");
        std::mem::take(&mut sent)
    }
}

/// Returns a configuration with one route that may not be repeated, to the
/// service `ledger`, and services without a route.
pub fn one_route(others: &[&str]) -> String {
    let services: Vec<String> = ["ledger"]
        .iter()
        .chain(others)
        .map(|name| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\
                 \"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false,\
                 \"WarmupS\":3.0,\"WarmupPerS\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"checkout\",\
         \"Host\":\"ledger.example\",\"PathPrefix\":\"/checkout/\",\
         \"Type\":\"non_idempotent\",\"TimeoutMs\":3000,\"SloMs\":500,\
         \"Priority\":2,\"Service\":\"ledger\",\"MaxAttempts\":2}}],\
         \"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        services.join(",")
    )
}

/// Sends a configuration and waits until it is due everywhere.
pub fn configure(site: &Site, configuration: &str) {
    site.record.write(&format!("configuration: {configuration}"));
    if !site.configure(configuration) {
        crate::cannot_run("the configuration was refused");
    }
    site.wait_ready();
    thread::sleep(Duration::from_secs(4));
}
