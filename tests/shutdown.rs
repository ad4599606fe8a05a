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
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};

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

/// Sends queries, each on a new connection, until one cannot be opened.
/// Returns how many were answered, refused and cut off.
async fn send_until_closed(address: SocketAddr) -> [u32; 3] {
    let mut results = [0; 3];
    while let Ok(mut stream) = TcpStream::connect(address).await {
        let req = "POST /v1/routes/search/query HTTP/1.1\r\nHost: h\r\n\
                   Content-Length: 2\r\nConnection: close\r\n\r\n{}";
        let mut response = Vec::new();
        let exchange = async {
            stream.write_all(req.as_bytes()).await?;
            stream.read_to_end(&mut response).await
        };
        let ended = exchange.await;
        let kind = if ended.is_err() {
            2
        } else if response.starts_with(b"HTTP/1.1 200 ") {
            0
        } else if response.starts_with(b"HTTP/1.1 ") {
            1
        } else {
            2
        };
        results[kind] += 1;
    }
    results
}

/// Guards against requests that were just accepted when an instance stops
/// under load, and whose connection is then closed without a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_under_load_answers_every_accepted_request() {
    let _slot = test_slot().await;
    let (_site, mut fleet) = start().await.unwrap();
    wait_for("an answer", || async {
        let reply = fleet.query(3, "search", &[], &json!({})).await.ok()?;
        (reply.status == 200).then_some(())
    })
    .await
    .unwrap();
    let address = callers(&fleet)[3];
    let mut senders = JoinSet::new();
    for _ in 0..16 {
        senders.spawn(send_until_closed(address));
    }
    fleet.terminate(3);
    assert_eq!(fleet.wait_exit(3).await.unwrap(), Some(0));
    let mut total = [0; 3];
    while let Some(results) = senders.join_next().await {
        let results = results.unwrap();
        total = std::array::from_fn(|i| total[i] + results[i]);
    }
    let [answered, refused, cut_off] = total;
    println!("{answered} answered, {refused} refused, {cut_off} cut off");
    assert!(answered > 50, "{answered} answered");
    assert_eq!(cut_off, 0, "cut off without an answer");
}
