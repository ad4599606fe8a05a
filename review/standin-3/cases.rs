//! The cases.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    client,
    machines::Fleet,
    searcher::Platform,
    world::{Net, Random, Record},
};

const LAYOUT: [(&str, bool); 8] = [
    ("simien-a", true),
    ("gondar-b", true),
    ("bahir-c", true),
    ("debark-d", true),
    ("simien-a", false),
    ("gondar-b", false),
    ("bahir-c", false),
    ("debark-d", false),
];

const SHARDS: usize = 20;

/// Clients, each of which sends about 4 requests a second.
const CLIENTS: usize = 24;

/// Spells in which links lose packets, and the length of each.
const SPELLS: usize = 3;
const LOSSY_FOR: Duration = Duration::from_millis(5_500);

pub fn play(case: &str, folder: &str) -> i32 {
    let record = Record::new(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(format!("case {case}, trouble {trouble}"));
    match case {
        "attempts" => attempts(&record, trouble),
        "list" => list(&record, trouble),
        _ => {
            record.say("there is no such case");
            2
        }
    }
}

/// The configuration: a route over all shards, with the given `MaxAttempts`.
fn gather(version: u64, attempts: u32) -> String {
    let names: Vec<String> =
        (0..SHARDS).map(|n| format!("\"crew{n}\"")).collect();
    let names = names.join(",");
    let services: Vec<String> = (0..SHARDS)
        .map(|n| {
            format!(
                "{{\"Name\":\"crew{n}\",\"HealthPath\":\"/health\",\
                 \"MaxConns\":26,\"Protocol\":\"h1\",\"Tls\":false,\
                 \"WarmupS\":3.0,\"WarmupPerS\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-sweep\",\
         \"Host\":\"pupu76.example\",\"PathPrefix\":\"/sweep/\",\
         \"Type\":\"safe\",\"TimeoutMs\":800,\"SloMs\":300,\"Priority\":1,\
         \"Gather\":[{names}],\"MaxAttempts\":{attempts},\"TopK\":50,\
         \"MinCoverage\":0.89}}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        services.join(",")
    )
}

/// BUDGET: a client attempt runs on no more searchers of a shard than
/// `MaxAttempts`, while links between machines lose packets.
fn attempts(record: &Record, trouble: bool) -> i32 {
    let mut random = Random::new();
    let platform = Platform::start(Net::pick(&mut random), record.clone());
    for n in 0..SHARDS {
        for (copy, zone) in ["simien-a", "gondar-b"].iter().enumerate() {
            let work = Duration::from_millis(15);
            let (id, service) = (format!("i-{n}-{copy}"), format!("crew{n}"));
            platform.add_searcher(&id, &service, zone, work);
        }
    }
    let fleet = Fleet::start(&platform, &LAYOUT, true);
    if !fleet.configure(&gather(7, 1), Duration::from_secs(20))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        record.say("the system did not start");
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    let served = Arc::new(AtomicU64::new(0));
    let sent = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let at = fleet.front(n % fleet.machines.len());
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            let (served, sent) = (Arc::clone(&served), Arc::clone(&sent));
            thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("c{n}-{count}");
                    let head = format!(
                        "GET /sweep/{n} HTTP/1.1\r\n\
                         Host: pupu76.example\r\nX-Request-Id: {id}\r\n\
                         X-Deadline-Ms: 800\r\n\
                         Connection: close\r\n"
                    );
                    record.line(format!("sent {id} to {at}"));
                    sent.fetch_add(1, Ordering::Relaxed);
                    let wait = Duration::from_millis(1_500);
                    let answer = client::exchange(at, &head, &[], wait);
                    let status = answer.map_or(0, |a| a.status);
                    record.line(format!("answer {id} {status}"));
                    if status == 200 {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    for spell in 1..=SPELLS {
        if trouble {
            record.line(format!("links lose packets, spell {spell}"));
            fleet.lossy.store(true, Ordering::Relaxed);
        }
        thread::sleep(LOSSY_FOR);
        fleet.lossy.store(false, Ordering::Relaxed);
        record.line("links are sound");
        thread::sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(fleet);
    let mut seen: BTreeMap<(String, String), Vec<String>> = BTreeMap::new();
    for run in platform.runs.lock().expect("runs").iter() {
        let key = (run.id.clone(), run.service.clone());
        let instances = seen.entry(key).or_default();
        if !instances.contains(&run.instance) {
            instances.push(run.instance.clone());
        }
    }
    let mut over: Vec<&str> = seen
        .iter()
        .filter(|(_, instances)| instances.len() > 1)
        .map(|((id, _), _)| id.as_str())
        .collect();
    let shards = over.len();
    over.dedup();
    record.say(format!(
        "{} client attempts, {} served; {} of them ran on two searchers of one \
         service although MaxAttempts is 1 ({shards} times, more than 3 \
         attempts break the rule)",
        sent.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        over.len()
    ));
    i32::from(over.len() > 3)
}

/// A configuration with one route whose requests must not run twice.
fn checkout(version: u64) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-check\",\
         \"Host\":\"pupu76.example\",\"PathPrefix\":\"/check/\",\
         \"Type\":\"non_idempotent\",\"TimeoutMs\":3000,\"SloMs\":500,\
         \"Priority\":2,\"Service\":\"ledger\",\"MaxAttempts\":2}}],\
         \"Services\":[{{\"Name\":\"ledger\",\"HealthPath\":\"/health\",\
         \"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false,\
         \"WarmupS\":3.0,\"WarmupPerS\":0.0}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}

/// An entry of another writer, of which only the beginning can be read.
const OTHER_ENTRY: &str = "[\"i-7f3a91c2\",\"huvo11a\"";

/// The searcher that leaves, and the bound on requests that still reach it.
const LEAVES: &str = "i-0";
const DRAIN_MS: u64 = 3_000;

/// DRAIN: no request reaches a searcher later than `DrainMs` after the list
/// shows it as draining, while the list has an entry of another writer.
fn list(record: &Record, trouble: bool) -> i32 {
    let mut random = Random::new();
    let platform = Platform::start(Net::pick(&mut random), record.clone());
    for n in 0..7 {
        let zone = LAYOUT[n % 4].0;
        let (id, work) = (format!("i-{n}"), Duration::from_millis(300));
        platform.add_searcher(&id, "ledger", zone, work);
    }
    let fleet = Fleet::start(&platform, &LAYOUT, false);
    if !fleet.configure(&checkout(7), Duration::from_secs(20))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        record.say("the system did not start");
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    let served = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..24)
        .map(|n| {
            let at = fleet.front(n % fleet.machines.len());
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
            thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("c{n}-{count}");
                    let head = format!(
                        "POST /check/{n} HTTP/1.1\r\nHost: pupu76.example\r\n\
                         X-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
                         Connection: close\r\n"
                    );
                    record.line(format!("sent {id} to {at}"));
                    let wait = Duration::from_secs(4);
                    let answer = client::exchange(at, &head, b"checkout", wait);
                    let status = answer.map_or(0, |a| a.status);
                    record.line(format!("answer {id} {status}"));
                    let counter = if status == 200 { &served } else { &failed };
                    counter.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble {
        record.say(format!("the list has the entry {OTHER_ENTRY} from now on"));
        *platform.other_entry.lock().expect("the list") = OTHER_ENTRY.into();
    }
    thread::sleep(Duration::from_secs(2));
    platform.relist(LEAVES, |l| l.state = "draining");
    let draining_at = record.now();
    record.say(format!("the list shows {LEAVES} as draining"));
    // It serves on for `DrainMs` and a little longer.
    thread::sleep(Duration::from_millis(DRAIN_MS + 3_000));
    let failed_before = failed.load(Ordering::Relaxed);
    platform.end_searcher(LEAVES);
    record.say(format!("{LEAVES} has ended and is no longer listed"));
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(fleet);
    let late = platform
        .runs
        .lock()
        .expect("runs")
        .iter()
        .filter(|r| r.instance == LEAVES)
        .filter(|r| r.at_ms > draining_at + DRAIN_MS)
        .count();
    record.say(format!(
        "{} requests served, {failed_before} not served before the searcher \
         ended and {} then; {late} reached it later than {DRAIN_MS} ms after \
         the list showed it as draining",
        served.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed) - failed_before,
    ));
    i32::from(late > 0)
}
