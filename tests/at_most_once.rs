/*!
Requests that are not repeatable run at most once, and a request that is
refused as not run did not run. The tests run daemon processes.
*/

use std::{collections::BTreeMap, io, path::Path, time::Duration};

use primrosemast_standin::{
    client::Reply,
    fleet::{Fleet, FleetOptions, wait_for},
    load::test_slot,
    searcher::Behaviour,
    site::{SearcherGroup, Site},
};
use serde_json::{Value, json};
use tokio::task::JoinSet;

const ZONES: [&str; 2] = ["az-a", "az-b"];

async fn start(latency_us: u64) -> io::Result<(Site, Fleet)> {
    let group = SearcherGroup {
        route: "refill".into(),
        shards: 1,
        behaviour: Behaviour {
            latency_us,
            slots: 4,
            connections: 100,
            ..Behaviour::default()
        },
        options: json!({"repeatable": false}),
        ..SearcherGroup::default()
    };
    let site = Site::start(&ZONES, &[group]).await?;
    let program = Path::new(env!("CARGO_BIN_EXE_primrosemastd"));
    let options = FleetOptions::spread(4, 3, &ZONES);
    let fleet = Fleet::start(&[program], options).await?;
    fleet.bootstrap(&site.configuration()).await?;
    for i in 0..4 {
        wait_for("a first answer", || async {
            let now = std::time::Instant::now();
            let id = format!("first-{i}-{now:?}");
            let reply = send_refill(&fleet, i, &id, &json!(id)).await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await?;
    }
    Ok((site, fleet))
}

async fn send_refill(
    fleet: &Fleet,
    i: usize,
    id: &str,
    body: &Value,
) -> io::Result<Reply> {
    let headers = [("x-request-id", id), ("x-deadline-ms", "1500")];
    fleet.query(i, "refill", &headers, body).await
}

/// Number of replies to a request by what they say about its runs.
#[derive(Debug, Default)]
struct Replies {
    answers: u32,
    not_run: u32,
    /// Replies and broken connections after which the request may have run.
    possibly_ran: u32,
}

impl Replies {
    fn record(&mut self, reply: &io::Result<Reply>) {
        let Ok(reply) = reply else {
            self.possibly_ran += 1;
            return;
        };
        match (reply.status, reply.body["verdict"].as_str()) {
            (200, _) => self.answers += 1,
            (_, Some("not_run")) => self.not_run += 1,
            (_, Some("may_have_run" | "ran")) => self.possibly_ran += 1,
            _ => panic!("neither an answer nor a verdict: {reply:?}"),
        }
    }
}

/// Returns whether a reply says that the claim was not decided in time, and
/// that this send did not run.
fn is_undecided(reply: Option<&Reply>) -> bool {
    reply.is_some_and(|r| {
        let reason = r.body["reason"].as_str();
        matches!(reason, Some("deadline_exceeded" | "no_quorum"))
            && r.body["this_send"] == "not_run"
            && r.body["verdict"] == "may_have_run"
    })
}

/// Checks that the runs of every request agree with the replies to it.
fn check_runs(site: &Site, replies: &BTreeMap<String, Replies>) {
    let mut ran = 0;
    for (body, replies) in replies {
        let runs = site.run_count("refill", body);
        ran += runs;
        assert!(runs <= 1, "{body} ran {runs} times: {replies:?}");
        assert!(replies.answers <= runs, "{body} never ran: {replies:?}");
        // If the request got neither an answer nor a reply after which it may
        // have run, every reply said that it did not run.
        if replies.answers + replies.possibly_ran == 0 {
            assert_eq!(runs, 0, "{body}: {replies:?}");
        }
    }
    println!("{ran} of {} requests ran", replies.len());
}

/// Guards against a second run when the entry instance is killed before,
/// while or after it sends the request, and the caller sends the same id
/// through other instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_entry_instance_repeats_nothing() {
    let _slot = test_slot().await;
    let (site, mut fleet) = start(20_000).await.unwrap();
    let mut replies: BTreeMap<String, Replies> = BTreeMap::new();
    for round in 0..6u64 {
        // Alternates between the instance without a control replica and
        // those with one, so that a leader is killed too.
        let entry = [3, 0, 3, 1, 3, 2][round as usize];
        let caller = fleet.instances()[entry].addresses().caller;
        let mut sends = JoinSet::new();
        for n in 0..30u64 {
            let id = format!("kill-{round}-{n}");
            sends.spawn(async move {
                // Spreads the sends over the time before and after the kill.
                tokio::time::sleep(Duration::from_millis(n * 2)).await;
                let body = json!(id).to_string();
                let headers =
                    [("x-request-id", id.as_str()), ("x-deadline-ms", "1500")];
                let reply = primrosemast_standin::client::request(
                    caller,
                    http::Method::POST,
                    "/v1/routes/refill/query",
                    &headers,
                    body.clone(),
                )
                .await;
                (id, body, reply)
            });
        }
        tokio::time::sleep(Duration::from_millis(15 + round * 5)).await;
        fleet.kill(entry);
        let mut broken = Vec::new();
        while let Some(sent) = sends.join_next().await {
            let (id, body, reply) = sent.unwrap();
            replies.entry(body).or_default().record(&reply);
            if reply.is_err() {
                broken.push(id);
            }
        }
        for (n, id) in broken.iter().enumerate() {
            let other = (entry + 1 + n % 3) % 4;
            let reply = send_refill(&fleet, other, id, &json!(id)).await;
            replies.entry(json!(id).to_string()).or_default().record(&reply);
        }
        fleet.restart(entry).unwrap();
        fleet.wait_version(1).await.unwrap();
    }
    check_runs(&site, &replies);
}

/// Guards against a second run when searchers lose their answers after the
/// request ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_repeats_nothing() {
    let _slot = test_slot().await;
    let (site, fleet) = start(2_000).await.unwrap();
    let mut replies: BTreeMap<String, Replies> = BTreeMap::new();
    site.targets.iter().for_each(|t| {
        t.searcher.update(|b| b.lose_answers = true);
    });
    for n in 0..40usize {
        let id = format!("lost-{n}");
        let body = json!(id);
        for send in 0..3 {
            let reply = send_refill(&fleet, (n + send) % 4, &id, &body).await;
            let reply = reply.unwrap();
            assert_ne!(reply.status, 200, "{reply:?}");
            if site.run_count("refill", &body.to_string()) > 0 {
                assert_ne!(reply.body["verdict"], "not_run", "{reply:?}");
            }
            replies.entry(body.to_string()).or_default().record(&Ok(reply));
        }
    }
    check_runs(&site, &replies);
    let ran: u32 =
        replies.keys().map(|body| site.run_count("refill", body)).sum();
    // Targets whose connections break get no requests during increasing
    // pauses, so many requests are refused as not run.
    assert!(ran >= 4, "only {ran} of 40 requests reached a searcher");
}

/// Guards against two runs when the same id arrives through all instances
/// at the same time, and against refusals of ids that were never used.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_sends_of_one_id_run_once() {
    let _slot = test_slot().await;
    let (site, fleet) = start(2_000).await.unwrap();
    let mut replies: BTreeMap<String, Replies> = BTreeMap::new();
    for n in 0..40 {
        let id = format!("race-{n}");
        let body = json!(id);
        let (a, b, c, d) = tokio::join!(
            send_refill(&fleet, 0, &id, &body),
            send_refill(&fleet, 1, &id, &body),
            send_refill(&fleet, 2, &id, &body),
            send_refill(&fleet, 3, &id, &body),
        );
        let entry = replies.entry(body.to_string()).or_default();
        let sends = [a, b, c, d];
        sends.iter().for_each(|reply| entry.record(reply));
        if sends.iter().all(|reply| is_undecided(reply.as_ref().ok())) {
            // The disks of the control group took too long to sync. No send
            // ran, and the id can still be used.
            assert_eq!(site.run_count("refill", &body.to_string()), 0);
            let answered = wait_for("an answer to a later send", || async {
                let reply = send_refill(&fleet, 0, &id, &body).await;
                let answered = reply.as_ref().is_ok_and(|r| r.status == 200);
                answered.then_some(reply)
            });
            entry.record(&answered.await.unwrap());
        }
        assert_eq!(entry.answers, 1, "{id}: {entry:?}");
    }
    check_runs(&site, &replies);
}

/// Guards against requests that run without a claim: without a quorum of
/// control replicas, a request is refused, does not run, and its id stays
/// unclaimed. The refusal says that this send did not run; about the id, it
/// says no more than the instance can know without the claims.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_quorum_nothing_runs() {
    let _slot = test_slot().await;
    let (site, mut fleet) = start(2_000).await.unwrap();
    fleet.kill(1);
    fleet.kill(2);
    for n in 0..5 {
        let id = format!("minority-{n}");
        let body = json!(id);
        let reply = send_refill(&fleet, 3, &id, &body).await.unwrap();
        assert_eq!(reply.body["this_send"], "not_run", "{reply:?}");
        assert_eq!(reply.body["verdict"], "may_have_run", "{reply:?}");
        assert_eq!(site.run_count("refill", &body.to_string()), 0);
    }
    fleet.restart(1).unwrap();
    fleet.restart(2).unwrap();
    fleet.wait_version(1).await.unwrap();
    for n in 0..5 {
        let id = format!("minority-{n}");
        let body = json!(id);
        wait_for("the id can be used", || async {
            let reply = send_refill(&fleet, 3, &id, &body).await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await
        .unwrap();
        assert_eq!(site.run_count("refill", &body.to_string()), 1);
    }
}
