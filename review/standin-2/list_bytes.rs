//! The platform's list cannot be read as a whole by the machines, while
//! searchers drain and others take their place: it gets an entry of another
//! writer with bytes that cannot be read, or its server closes each connection
//! after a response.

use std::{
    ops::Range,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    site::{Record, Reply, Searcher, Site, ZONES},
    traffic::{Sent, Traffic, configure, one_route},
};

const DRAIN: Duration = Duration::from_millis(3_000);

/// Time for which a searcher serves on after `DRAIN`.
const LONGER: Duration = Duration::from_millis(2_500);

/// Searchers of `ledger` at the start, as `tool-ledger` has.
const FIRST: usize = 7;

/// Searchers that are replaced at a time: a share of 0.43.
const REPLACED: usize = 3;

/// Tolerance of the measurement.
const SLACK: Duration = Duration::from_millis(300);

/// An entry with bytes that cannot be read.
const UNREADABLE: &[u8] = b"{\"Id\":\"\x00\x01\x9f\xff\",\"Service\":\"ledger\",\
    \"Address\":\"\x07\x02\",\"State\":\"ready\"}";

/// The list gets an entry with bytes that cannot be read.
pub fn unreadable_entry(record: Arc<Record>, trouble: bool) -> bool {
    run(record, trouble, 0, false)
}

/// The list has two pages, and its server closes the connection after each.
pub fn closed_connections(record: Arc<Record>, trouble: bool) -> bool {
    run(record, false, 50, trouble)
}

fn run(record: Arc<Record>, odd: bool, others: usize, closes: bool) -> bool {
    let mut site = Site::start(record.clone());
    let mut searchers: Vec<Searcher> = Vec::new();
    for n in 0..FIRST + 2 * REPLACED {
        let work = |_: &_, _: &_| Reply::Run(Duration::from_millis(120));
        let id = format!("i-ledger-{n}");
        let zone = ZONES[n % ZONES.len()];
        searchers.push(site.searcher(&id, "ledger", zone, work));
    }
    // Searchers of a service that gets no requests here.
    let mut further = Vec::new();
    for n in 0..others {
        let work = |_: &_, _: &_| Reply::Run(Duration::from_millis(5));
        let id = format!("i-notes-{n}");
        let zone = ZONES[n % ZONES.len()];
        further.push(site.searcher(&id, "notes", zone, work).entry("ready"));
    }
    // The list with these searchers of `ledger` as draining and as ready.
    let list = |draining: Range<usize>, ready: Range<usize>, odd: bool| {
        let draining = searchers[draining].iter().map(|s| s.entry("draining"));
        let ready = searchers[ready].iter().map(|s| s.entry("ready"));
        let mut entries: Vec<Vec<u8>> = draining
            .chain(ready)
            .chain(further.iter().cloned())
            .map(String::into_bytes)
            .collect();
        if odd {
            entries.insert(0, UNREADABLE.to_vec());
        }
        entries
    };
    site.set_list(list(0..0, 0..FIRST, false));
    configure(&site, &one_route(&["notes"]));
    let pause = Duration::from_millis(60);
    let traffic =
        Traffic::start(&site, 8, pause, "ledger.example", "/checkout/pick");

    let start = Instant::now();
    let wait_until = |ms| {
        let until = start + Duration::from_millis(ms);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    };
    wait_until(3_000);
    if odd {
        record.say("the list gets an entry with bytes that cannot be read");
    }
    if closes {
        record.say("the list's server closes connections after a response");
        site.list_closes.store(true, Ordering::SeqCst);
    }
    site.set_list(list(0..0, 0..FIRST, odd));
    wait_until(5_000);
    // The first leaves, then half of the others are replaced, then the rest;
    // the new ones start first.
    let mut drained_at = vec![None; searchers.len()];
    let mut leave = |leaving: Range<usize>, ready: Range<usize>| {
        record.say(&format!(
            "the list shows ledger {leaving:?} as draining, {ready:?} as ready"
        ));
        drained_at[leaving.clone()].fill(Some(Instant::now()));
        site.set_list(list(leaving.clone(), ready.clone(), odd));
        thread::sleep(DRAIN + LONGER);
        record.say(&format!("ledger {leaving:?} end"));
        searchers[leaving].iter().for_each(Searcher::end);
        site.set_list(list(0..0, ready, odd));
    };
    let middle = 1 + REPLACED;
    leave(0..1, 1..FIRST);
    leave(1..middle, middle..FIRST + REPLACED);
    leave(middle..FIRST, FIRST..FIRST + 2 * REPLACED);
    thread::sleep(Duration::from_secs(2));
    let replaced = Instant::now();
    thread::sleep(Duration::from_secs(5));
    let sent = traffic.stop();

    let runs = site.runs.lock().expect("the runs").clone();
    let mut late = 0;
    for run in &runs {
        let number = searchers.iter().position(|s| s.id == run.searcher);
        let Some(drained) = number.and_then(|n| drained_at[n]) else {
            continue;
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
    let cut = sent
        .iter()
        .filter(|s| {
            s.status() != 200 && runs.iter().any(|r| r.request == s.id)
        })
        .count();
    let last: Vec<&Sent> = sent.iter().filter(|s| s.at >= replaced).collect();
    let served = last.iter().filter(|s| s.status() == 200).count();
    let before = sent.iter().filter(|s| Some(s.at) < drained_at[0]);
    let served_before = before.filter(|s| s.status() == 200).count();
    record.say(&format!(
        "{} requests; {late} reached a searcher later than {} ms after it was \
         listed as draining; {cut} ran and were lost with a searcher that \
         ended; in the last 5 s, with six searchers ready, {served} of {} \
         were served; calls to the list: {}",
        sent.len(),
        DRAIN.as_millis(),
        last.len(),
        site.list_calls.load(Ordering::SeqCst)
    ));
    if served_before < 50 {
        crate::cannot_run("too few requests were served at the start");
    }
    late == 0
}
