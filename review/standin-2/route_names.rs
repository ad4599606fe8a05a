//! Two routes of different hosts have the same name.

use std::{
    collections::BTreeSet,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::call,
    site::{Record, Reply, Site, ZONES},
};

/// Shards of each route.
const SHARDS: usize = 6;

/// Time for which clients send requests.
const TRAFFIC: Duration = Duration::from_secs(12);

pub fn run(record: Arc<Record>, trouble: bool) -> bool {
    let mut site = Site::start(record.clone());
    let mut entries = Vec::new();
    let mut services = Vec::new();
    for index in ["north", "south"] {
        for shard in 0..SHARDS {
            let service = format!("{index}{shard}");
            for zone in &ZONES[..2] {
                let id = format!("i-{service}-{zone}");
                let run = |_: &_, _: &_| Reply::Run(Duration::from_millis(5));
                let searcher = site.searcher(&id, &service, zone, run);
                entries.push(searcher.entry("ready").into_bytes());
            }
            services.push(service);
        }
    }
    site.set_list(entries);
    // Without the disruption the names of the routes differ.
    let names = match trouble {
        true => ["roster", "roster"],
        false => ["roster-north", "roster-south"],
    };
    let route = |name: &str, index: &str| {
        let gather: Vec<String> =
            (0..SHARDS).map(|s| format!("\"{index}{s}\"")).collect();
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{index}.example\",\
             \"PathPrefix\":\"/roster/\",\"Type\":\"safe\",\
             \"TimeoutMs\":1000,\"SloMs\":120,\"Priority\":1,\
             \"Gather\":[{}],\"MaxAttempts\":2,\"TopK\":50,\
             \"MinCoverage\":0.75}}",
            gather.join(",")
        )
    };
    let listed: Vec<String> = services
        .iter()
        .map(|s| {
            format!(
                "{{\"Name\":\"{s}\",\"HealthPath\":\"/health\",\
                 \"MaxConns\":26,\"Protocol\":\"h1\",\"Tls\":false,\
                 \"WarmupS\":3.0,\"WarmupPerS\":0.0}}"
            )
        })
        .collect();
    let configuration = format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        route(names[0], "north"),
        route(names[1], "south"),
        listed.join(",")
    );
    record.write(&format!("configuration: {configuration}"));
    if !site.configure(&configuration) {
        record.say("the configuration was refused");
        return true;
    }
    site.wait_ready();
    // The whole bound of a configuration, and time to read the list.
    thread::sleep(Duration::from_secs(4));

    let start = Instant::now();
    let (mut sent, mut served, mut foreign_routes, mut mixed) = (0, 0, 0, 0);
    let mut requests = Vec::new();
    while start.elapsed() < TRAFFIC {
        for machine in &site.machines {
            for index in ["north", "south"] {
                let id = site.request_id();
                let host = format!("{index}.example");
                let headers = [
                    ("Host", host.as_str()),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "1000"),
                ];
                let wait = Duration::from_millis(1500);
                let path = "/roster/leader";
                let answer =
                    call(machine.front(), "GET", path, &headers, b"", wait);
                sent += 1;
                let text = match &answer {
                    Ok(answer) => format!(
                        "{} {:?} {:?}",
                        answer.status(),
                        answer.header("x-part-stamps"),
                        answer.header("x-missing-parts")
                    ),
                    Err(e) => e.to_string(),
                };
                record.write(&format!(
                    "client: {id} {host}{path} to {} -> {text}",
                    machine.name
                ));
                requests.push((id, index, answer.ok()));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(500));

    let runs = site.runs_by_request();
    let stamps = site.runs.lock().expect("the runs").clone();
    for (id, index, answer) in &requests {
        let runs = runs.get(id).map_or(&[][..], Vec::as_slice);
        let foreign: BTreeSet<&str> = runs
            .iter()
            .map(|r| r.service.as_str())
            .filter(|s| !s.starts_with(index))
            .collect();
        if !foreign.is_empty() {
            foreign_routes += 1;
            record.write(&format!(
                "ROUTE: {id} of {index}.example was run by {foreign:?}"
            ));
        }
        let Some(answer) = answer else { continue };
        if answer.status() != 200 {
            continue;
        }
        served += 1;
        let parts = answer.header("x-part-stamps").unwrap_or("");
        let of_others = parts
            .split(',')
            .filter_map(|p| stamps.iter().find(|r| r.stamp == p.trim()))
            .any(|r| !r.service.starts_with(index));
        if of_others {
            mixed += 1;
            record.write(&format!(
                "MIXED: {id} of {index}.example has parts {parts:?}"
            ));
        }
    }
    record.say(&format!(
        "{sent} requests, {served} served; {foreign_routes} were run by \
         services of the other route, {mixed} answers hold its parts"
    ));
    if served * 2 < sent {
        crate::cannot_run("less than half of the requests were served");
    }
    foreign_routes == 0 && mixed == 0
}
