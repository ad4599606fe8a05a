//! The platform's list gets an entry of another writer with missing fields.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    site::{Record, Reply, Site, ZONES},
    traffic::{Traffic, configure, one_route},
};

pub fn run(record: Arc<Record>, trouble: bool) -> bool {
    let mut site = Site::start(record.clone());
    let work = |_: &_, _: &_| Reply::Run(Duration::from_millis(120));
    let mut entries: Vec<Vec<u8>> = Vec::new();
    for n in 0..2 {
        let id = format!("i-ledger-{n}");
        let searcher = site.searcher(&id, "ledger", ZONES[n], work);
        entries.push(searcher.entry("ready").into_bytes());
    }
    // Another server, which serves `notes` and isn't on the list.
    let other = site.searcher("i-notes-0", "notes", ZONES[2], work);
    site.set_list(entries.clone());
    configure(&site, &one_route(&["notes"]));
    let pause = Duration::from_millis(60);
    let traffic =
        Traffic::start(&site, 8, pause, "ledger.example", "/checkout/pick");
    thread::sleep(Duration::from_secs(3));
    if trouble {
        let odd = format!(
            "{{\"Id\":\"{}\",\"Service\":\"ledger\",\"Address\":\"{}\",\
             \"Zone\":\"{}\",\"State\":\"ready\"}}",
            other.id, other.address, other.zone
        );
        record.say(&format!("the list gets an entry of another writer: {odd}"));
        entries.push(odd.into_bytes());
        site.set_list(entries);
    }
    thread::sleep(Duration::from_secs(8));
    let sent = traffic.stop();

    let runs = site.runs.lock().expect("the runs").clone();
    let foreign: Vec<_> =
        runs.iter().filter(|r| r.service != "ledger").collect();
    for run in &foreign {
        record.write(&format!(
            "ROUTE: {} {} is run by {} of the service {}",
            run.request, run.path, run.searcher, run.service
        ));
    }
    let served = sent.iter().filter(|s| s.status() == 200).count();
    record.say(&format!(
        "{} requests, {served} served; {} were run by a service to which no \
         configuration lets them go",
        sent.len(),
        foreign.len()
    ));
    if served * 2 < sent.len() {
        crate::cannot_run("less than half of the requests were served");
    }
    foreign.is_empty()
}
