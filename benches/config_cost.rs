//! Cost of the site configuration and of placement, by size.
//!
//! Run with `cargo bench --bench config_cost`. It fails if the cost of a
//! searcher at the largest size exceeds four times that at the smallest.

use std::{hint::black_box, process::ExitCode, time::Instant};

use primrosemast::settings::check_configuration;
use primrosemast_core::{
    config::{
        AvailabilityZone, Configuration, Route, Searcher, Service, ZoneShare,
        ZoneState,
    },
    id::{InstanceId, ZoneId},
    placement::{BundleKey, Candidate, rank},
};

/// Number of searchers of each service in the generated configuration.
const SEARCHERS_PER_SERVICE: usize = 16;

const ZONES: usize = 27;

/// Maximum ratio of the cost per searcher at the largest size to that at the
/// smallest size.
const MAX_GROWTH: f64 = 4.0;

fn main() -> ExitCode {
    println!(
        "searchers  bytes  bytes/searcher  encode ms  decode ms  check ms"
    );
    let mut costs = Vec::new();
    for count in [500, 5_000, 77_000] {
        costs.push(measure_document(count));
    }
    println!("\ncandidates  rank ns  ns/candidate");
    for count in [10, 100, 1_000, 5_100] {
        measure_placement(count);
    }
    let growth = costs[costs.len() - 1] / costs[0];
    println!("\ncost of a searcher, largest to smallest size: {growth:.2}");
    if growth > MAX_GROWTH {
        println!("exceeds the bound of {MAX_GROWTH}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Measures one size. Returns the time to decode and check the configuration,
/// in microseconds per searcher.
fn measure_document(searchers: usize) -> f64 {
    let configuration = configuration(searchers);
    let start = Instant::now();
    let bytes = rmp_serde::to_vec_named(&configuration).expect("plain data");
    let encode = start.elapsed();
    let start = Instant::now();
    let decoded: Configuration =
        rmp_serde::from_slice(&bytes).expect("just encoded");
    let decode = start.elapsed();
    let start = Instant::now();
    let problems = check_configuration(&decoded);
    let check = start.elapsed();
    assert!(problems.iter().all(|p| !p.is_error()), "{}", problems[0]);
    println!(
        "{searchers:9}  {:8}  {:5}  {:8.2}  {:8.2}  {:8.2}",
        bytes.len(),
        bytes.len() / searchers,
        encode.as_secs_f64() * 1e3,
        decode.as_secs_f64() * 1e3,
        check.as_secs_f64() * 1e3,
    );
    (decode + check).as_secs_f64() * 1e6 / searchers as f64
}

/// Measures the ranking of this many candidates.
fn measure_placement(candidates: usize) {
    let candidates: Vec<Candidate> = (0..candidates as u64)
        .map(|i| Candidate {
            instance: InstanceId(i),
            zone: ZoneId(i % ZONES as u64),
        })
        .collect();
    let rounds = 200;
    let start = Instant::now();
    for i in 0..rounds {
        let zone = ZoneId(i as u64 % ZONES as u64);
        let key = BundleKey::new("service", zone, i, 1);
        black_box(rank(key, zone, &candidates));
    }
    let ns = start.elapsed().as_nanos() as f64 / rounds as f64;
    let count = candidates.len();
    println!("{count:10}  {ns:9.0}  {:6.2}", ns / count as f64);
}

fn configuration(searchers: usize) -> Configuration {
    let zones: Vec<String> =
        (0..ZONES).map(|i| format!("region-{}-az-{i:02}", i / 3)).collect();
    let services: Vec<Service> = (0..searchers
        .div_ceil(SEARCHERS_PER_SERVICE))
        .map(|s| Service {
            name: format!("service-{s:05}"),
            searchers: (0..SEARCHERS_PER_SERVICE)
                .map(|i| s * SEARCHERS_PER_SERVICE + i)
                .take_while(|&n| n < searchers)
                .map(|n| searcher(n, &zones))
                .collect(),
        })
        .collect();
    let shares: Vec<ZoneShare> = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| ZoneShare {
            availability_zone: zone.clone(),
            percent: 100 / ZONES as u32 + u32::from(i < 100 % ZONES),
        })
        .collect();
    let route = Route {
        name: "search".into(),
        services: services.iter().map(|s| s.name.clone()).collect(),
        shards: None,
        shares,
        deadline_ms: 67,
        priority: Default::default(),
        policy: Default::default(),
        repeatable: true,
    };
    let mut configuration = Configuration {
        availability_zones: zones
            .into_iter()
            .map(|name| AvailabilityZone { name, state: ZoneState::In })
            .collect(),
        services,
        routes: vec![route],
        limits: Default::default(),
        ..Configuration::default()
    };
    configuration.sort();
    configuration
}

fn searcher(n: usize, zones: &[String]) -> Searcher {
    let [_, b, c, d] = (n as u32).to_be_bytes();
    Searcher {
        name: format!("searcher-{n:05}"),
        address: ([10, b, c, d], 8_080).into(),
        availability_zone: zones[n % zones.len()].clone(),
        slots: 4,
        connections: 100,
        connect_cost_ms: 1,
    }
}
