/*!
Graceful shutdown of daemon processes under load.
*/

use std::{io, net::SocketAddr, path::Path};

use primrosemast_standin::{
    fleet::{Fleet, FleetOptions, wait_for},
    load::{Load, LoadOptions, test_slot},
    searcher::Behaviour,
    site::{SearcherGroup, Site},
};
use serde_json::json;

const ZONES: [&str; 2] = ["az-a", "az-b"];

async fn start() -> io::Result<(Site, Fleet)> {
    let group = |route: &str, latency_us| SearcherGroup {
        route: route.into(),
        behaviour: Behaviour { latency_us, ..Behaviour::default() },
        ..SearcherGroup::default()
    };
    let groups = [group("search", 5_000), group("report", 4_000_000)];
    let site = Site::start(&ZONES, &groups).await?;
    let program = Path::new(env!("CARGO_BIN_EXE_primrosemastd"));
    let fleet =
        Fleet::start(&[program], FleetOptions::spread(4, 3, &ZONES)).await?;
    fleet.bootstrap(&site.configuration()).await?;
    Ok((site, fleet))
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.instances().iter().map(|i| i.addresses().caller).collect()
}

/// Guards against requests that a graceful shutdown interrupts, with and
/// without a control replica on the instance, and against targets whose home
/// stays on an instance that has announced that it leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_interrupts_no_request() {
    let _slot = test_slot().await;
    let (site, mut fleet) = start().await.unwrap();
    let options = LoadOptions {
        callers: 8,
        skip_unready: true,
        ..LoadOptions::default()
    };
    let load = Load::start(&callers(&fleet), options);
    load.wait_replies(50).await.unwrap();
    for leaving in [3, 0] {
        let name = fleet.instances()[leaving].name().to_owned();
        // This query runs longer than the grace period of the shutdown.
        let headers = [("x-deadline-ms", "20000")];
        let body = json!({"leaving": leaving});
        let long_query = fleet.query(leaving, "report", &headers, &body);
        let shutdown = async {
            wait_for("the long query runs", || async {
                let runs = site.run_count("report", &body.to_string());
                (runs > 0).then_some(())
            })
            .await
            .unwrap();
            fleet.terminate(leaving);
            wait_for("the targets have another home", || async {
                let status = fleet.status(1).await.ok()?;
                let targets = status["targets"].as_array()?.clone();
                let moved = |t: &serde_json::Value| t["home"] != name.as_str();
                targets.iter().all(moved).then_some(())
            })
            .await
            .unwrap();
        };
        let (reply, ()) = tokio::join!(long_query, shutdown);
        let reply = reply.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(reply.body["coverage"]["answered"], 4, "{reply:?}");
        let code = fleet.wait_exit(leaving).await.unwrap();
        assert_eq!(code, Some(0), "{}", fleet.instances()[leaving].log());
        load.wait_replies(50).await.unwrap();
    }
    let sent = load.stop().await;
    for s in &sent {
        assert!(s.answer().is_some(), "{}: {:?}", s.instance, s.reply);
    }
    let complete = sent.iter().filter(|s| s.is_complete()).count();
    println!("{complete} of {} answers are complete", sent.len());
    assert!(complete * 100 >= sent.len() * 98, "{complete} of {}", sent.len());
}
