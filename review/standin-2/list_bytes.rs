//! The platform's list gets an entry of another writer with bytes that cannot
//! be read, while searchers drain and others take their place.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::call,
    site::{Record, Reply, Searcher, Site, ZONES},
};

const DRAIN: Duration = Duration::from_millis(3_000);

/// Time for which a searcher serves on after `DRAIN`.
const LONGER: Duration = Duration::from_millis(2_500);

/// Tolerance of the measurement.
const SLACK: Duration = Duration::from_millis(300);

/// An entry with bytes that cannot be read.
const UNREADABLE: &[u8] = b"{\"Id\":\"\x00\x01\x9f\xff\",\"Service\":\"ledger\",\
    \"Address\":\"\x07\x02\",\"State\":\"ready\"}";

struct Sent {
    at: Instant,
    status: u16,
    id: String,
}

pub fn run(record: Arc<Record>, trouble: bool) -> bool {
    let mut site = Site::start(record.clone());
    let mut searchers: Vec<Searcher> = Vec::new();
    for n in 0..5 {
        let work = |_: &_, _: &_| Reply::Run(Duration::from_millis(120));
        let id = format!("i-ledger-{n}");
        let zone = ZONES[n % ZONES.len()];
        searchers.push(site.searcher(&id, "ledger", zone, work));
    }
    let list = |states: &[(usize, &str)], odd: bool| {
        let mut entries: Vec<Vec<u8>> = states
            .iter()
            .map(|&(n, state)| searchers[n].entry(state).into_bytes())
            .collect();
        if odd {
            entries.insert(0, UNREADABLE.to_vec());
        }
        entries
    };
    site.set_list(list(&[(0, "ready"), (1, "ready"), (2, "ready")], false));
    let configuration = "{\"Version\":3,\"Routes\":[{\"Name\":\"checkout\",\
        \"Host\":\"ledger.example\",\"PathPrefix\":\"/checkout/\",\
        \"Type\":\"non_idempotent\",\"TimeoutMs\":3000,\"SloMs\":500,\
        \"Priority\":2,\"Service\":\"ledger\",\"MaxAttempts\":2}],\
        \"Services\":[{\"Name\":\"ledger\",\"HealthPath\":\"/health\",\
        \"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false,\
        \"WarmupS\":3.0,\"WarmupPerS\":0.0}],\
        \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
        \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    record.write(&format!("configuration: {configuration}"));
    if !site.configure(configuration) {
        crate::cannot_run("the configuration was refused");
    }
    site.wait_ready();
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let results: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let (stop, results) = (stop.clone(), results.clone());
            let (record, next) = (record.clone(), next.clone());
            let fronts: Vec<_> =
                site.machines.iter().map(|m| m.front()).collect();
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{client:04x}{n:012x}");
                    let headers = [
                        ("Host", "ledger.example"),
                        ("X-Request-Id", id.as_str()),
                        ("X-Deadline-Ms", "3000"),
                    ];
                    let at = Instant::now();
                    let answer = call(
                        fronts[n % fronts.len()],
                        "POST",
                        "/checkout/pick",
                        &headers,
                        b"one pick",
                        Duration::from_secs(4),
                    );
                    let status = answer.as_ref().map_or(0, |a| a.status());
                    record.write(&format!("client: {id} -> {status}"));
                    results.lock().expect("the results").push(Sent {
                        at,
                        status,
                        id,
                    });
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();

    let start = Instant::now();
    let wait_until = |ms| {
        let until = start + Duration::from_millis(ms);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    };
    wait_until(3_000);
    if trouble {
        record.say("the list gets an entry with bytes that cannot be read");
    }
    site.set_list(list(&[(0, "ready"), (1, "ready"), (2, "ready")], trouble));
    wait_until(5_000);
    record.say("the list shows i-ledger-0 as draining");
    let drained_0 = Instant::now();
    site.set_list(list(&[(0, "draining"), (1, "ready"), (2, "ready")], trouble));
    let end = |n: usize| {
        record.say(&format!("{} ends", searchers[n].id));
        searchers[n].ended.store(1, Ordering::SeqCst);
        // Its listener notices on the next connection.
        let _ = std::net::TcpStream::connect(searchers[n].address);
    };
    thread::sleep(DRAIN + LONGER);
    end(0);
    record.say(
        "the list shows i-ledger-3 and -4 as ready, -1 and -2 as draining",
    );
    let drained_1 = Instant::now();
    let states =
        [(1, "draining"), (2, "draining"), (3, "ready"), (4, "ready")];
    site.set_list(list(&states, trouble));
    thread::sleep(DRAIN + LONGER);
    end(1);
    end(2);
    site.set_list(list(&[(3, "ready"), (4, "ready")], trouble));
    thread::sleep(Duration::from_secs(2));
    let replaced = Instant::now();
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let runs = site.runs.lock().expect("the runs").clone();
    let mut late = 0;
    for run in &runs {
        let drained = match run.searcher.as_str() {
            "i-ledger-0" => drained_0,
            "i-ledger-1" | "i-ledger-2" => drained_1,
            _ => continue,
        };
        let after = run.at.saturating_duration_since(drained);
        if after > DRAIN + SLACK {
            late += 1;
            record.write(&format!(
                "DRAIN: {} reaches {} {} ms after the list showed it",
                run.request,
                run.searcher,
                after.as_millis()
            ));
        }
    }
    let results = results.lock().expect("the results");
    let cut = results
        .iter()
        .filter(|r| {
            r.status != 200 && runs.iter().any(|run| run.request == r.id)
        })
        .count();
    let last: Vec<&Sent> = results.iter().filter(|r| r.at >= replaced).collect();
    let served = last.iter().filter(|r| r.status == 200).count();
    let before = results.iter().filter(|r| r.at < drained_0);
    let served_before = before.filter(|r| r.status == 200).count();
    record.say(&format!(
        "{} requests; {late} reached a searcher later than {} ms after it was \
         listed as draining; {cut} ran and were lost with a searcher that \
         ended; in the last 5 s, with two searchers ready, {served} of {} \
         were served; calls to the list: {}",
        results.len(),
        DRAIN.as_millis(),
        last.len(),
        site.list_calls.load(Ordering::SeqCst)
    ));
    if served_before < 50 {
        crate::cannot_run("too few requests were served at the start");
    }
    late == 0
}
