//! Messages that take longer to cross a link than a connection may be silent.

mod recovery_support;

use std::{
    fmt::Write,
    time::{Duration, Instant},
};

use primrosemast_standin::fleet::FleetOptions;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use recovery_support::{TestCluster, ZONES, voters};
use serde_json::{Value, json};

/// Bandwidth of each link, in bytes per second.
const BANDWIDTH: u32 = 100_000;

/// Number of routes in the large document, each with a name of 64 random
/// characters: about 0.4 MB after compression, 4 s on a link.
const ROUTES: usize = 6_000;

/// Longest time until the change is in force everywhere: four times the
/// crossing, for an election and a debug build on a busy machine.
const LONGEST_CHANGE: Duration = Duration::from_secs(16);

fn large_document(cluster: &TestCluster) -> Value {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut document = cluster.site.configuration();
    let first = document["routes"][0].clone();
    let more = (0..ROUTES).map(|_| {
        let mut name = String::new();
        for _ in 0..8 {
            let part: u32 = rng.random();
            write!(name, "{part:08x}").expect("a string");
        }
        let mut route = first.clone();
        route["name"] = json!(name);
        route
    });
    let routes = document["routes"].as_array_mut().expect("routes");
    routes.extend(more);
    document
}

/// Guards against an entry of the log that never arrives, because the
/// connection is taken for dead while it crosses, and against a leader that
/// loses its lead meanwhile because heartbeats wait behind it.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_change_crosses_slow_links() {
    let options = FleetOptions {
        narrow_links: true,
        ..FleetOptions::spread(3, 3, &ZONES)
    };
    let cluster = TestCluster::with_options(options).await;
    let leader = cluster.leader().await;
    cluster
        .wait_status(leader, "three voters", |s| voters(s).len() == 3)
        .await;
    let document = large_document(&cluster);
    let term = cluster.fleet.status(leader).await.expect("status");
    for instance in cluster.fleet.instances() {
        instance.proxy().update(|f| f.bandwidth = Some(BANDWIDTH));
    }
    let start = Instant::now();
    // The outcome may be unknown to the sender, who does not wait for so long.
    let sent = cluster.fleet.submit_change(leader, "large", 1, &document);
    let reply = sent.await.expect("a reply");
    let arrived = cluster.fleet.wait_version(2).await;
    let taken = start.elapsed();
    let status = cluster.fleet.status(leader).await.expect("status");
    println!("{taken:?} for {} bytes", document.to_string().len());
    arrived.unwrap_or_else(|e| panic!("{e}: {:?}", reply.body));
    assert!(taken <= LONGEST_CHANGE, "{taken:?}");
    assert_eq!(status["control"]["term"], term["control"]["term"]);
}
