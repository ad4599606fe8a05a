/*!
Runs the query tier on loopback, without any other software.

Starts three control replicas, four entry instances in two availability zones
and searcher stand-ins, sends queries, slows down a searcher, takes a zone out
and brings it back, changes the configuration, and sends a non-repeatable
request twice. Every step is checked; the exit code is 0 only if all checks
pass.

The daemons are processes of this same program: with `--settings FILE` it runs
a daemon.
*/

use std::{
    io,
    path::Path,
    process::ExitCode,
    time::{Duration, Instant},
};

use primrosemast_standin::{
    fleet::{Fleet, FleetOptions, wait_for},
    searcher::Behaviour,
    site::{SearcherGroup, Site},
};
use serde_json::{Value, json};

const ZONES: [&str; 2] = ["az-a", "az-b"];

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|arg| arg == "--settings") {
        return daemon(Path::new(&args[2]));
    }
    let runtime =
        tokio::runtime::Runtime::new().expect("the runtime can be started");
    let start = Instant::now();
    match runtime.block_on(demo()) {
        Ok(()) => {
            let seconds = start.elapsed().as_secs_f32();
            println!("\nall checks passed in {seconds:.1} s");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("\nfailed: {e}");
            ExitCode::FAILURE
        }
    }
}

fn daemon(settings: &Path) -> ExitCode {
    let settings = match primrosemast::settings::load_instance(settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    env_logger::Builder::new().parse_filters(&settings.log).init();
    match primrosemast::daemon::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn demo() -> io::Result<()> {
    let site = Site::start(
        &ZONES,
        &[
            SearcherGroup {
                route: "hazard-lookup".into(),
                behaviour: Behaviour {
                    latency_us: 5_000,
                    ..Behaviour::default()
                },
                ..SearcherGroup::default()
            },
            SearcherGroup {
                route: "tool-checkout".into(),
                shards: 1,
                options: json!({"repeatable": false}),
                ..SearcherGroup::default()
            },
        ],
    )
    .await?;
    let program = std::env::current_exe()?;
    let options = FleetOptions::spread(4, 3, &ZONES);
    let fleet = Fleet::start(&[&program], options).await?;
    println!("4 entry instances started, 3 of them with a control replica");
    fleet.bootstrap(&site.configuration()).await?;
    println!("control group founded; configuration 1 in force everywhere\n");
    complete_answers(&fleet).await?;
    straggler(&fleet, &site).await?;
    zone_out_and_back(&fleet, &site).await?;
    racing_operators(&fleet, &site).await?;
    at_most_once(&fleet, &site).await
}

/// Prints the result of a check. Returns an error if the check failed.
fn check(description: &str, passed: bool) -> io::Result<()> {
    let result = if passed { "ok  " } else { "FAIL" };
    println!("  {result} {description}");
    if passed { Ok(()) } else { Err(io::Error::other(description.to_owned())) }
}

async fn lookup(fleet: &Fleet, i: usize) -> io::Result<Value> {
    let body = json!({"trail": "north ridge"});
    let reply = fleet.query(i, "hazard-lookup", &[], &body).await?;
    Ok(reply.body)
}

fn is_complete(answer: &Value) -> bool {
    answer["coverage"]["asked"] == 4
        && answer["coverage"]["answered"] == 4
        && answer["coverage"]["missing"] == json!([])
}

async fn complete_answers(fleet: &Fleet) -> io::Result<()> {
    println!("one query through each entry instance");
    for i in 0..fleet.instances().len() {
        let answer = wait_for("a complete answer", || async {
            lookup(fleet, i).await.ok().filter(is_complete)
        })
        .await?;
        let name = fleet.instances()[i].name();
        let coverage = &answer["coverage"];
        let text = format!("{name}: coverage {coverage}");
        check(&text, is_complete(&answer))?;
    }
    Ok(())
}

async fn straggler(fleet: &Fleet, site: &Site) -> io::Result<()> {
    println!("one searcher becomes 300 times slower");
    let slow = &site.targets[0];
    slow.searcher.update(|b| b.latency_us = 1_500_000);
    let mut complete = 0;
    let mut slowest = Duration::ZERO;
    for n in 0..40 {
        let start = Instant::now();
        complete += u32::from(is_complete(&lookup(fleet, n % 4).await?));
        slowest = slowest.max(start.elapsed());
    }
    slow.searcher.update(|b| b.latency_us = 5_000);
    check(
        &format!("{complete} of 40 answers have full coverage"),
        complete == 40,
    )?;
    check(
        &format!("the slowest took {slowest:.0?}, the straggler 1.5s"),
        slowest < Duration::from_millis(1_500),
    )
}

async fn zone_out_and_back(fleet: &Fleet, site: &Site) -> io::Result<()> {
    println!("availability zone az-a is taken out and brought back");
    let out = site.with_zones_out(&["az-a"]);
    let reply = fleet.submit_change(1, "az-a-out", 1, &out).await?;
    check("accepted as version 2", reply.body["version"] == 2)?;
    fleet.wait_version(2).await?;
    let searchers =
        || site.targets_of_route("hazard-lookup").filter(|t| t.zone == "az-a");
    searchers().for_each(|t| t.searcher.reset_stats());
    for n in 0..20 {
        let answer = lookup(fleet, n % 4).await?;
        if !is_complete(&answer) {
            return check(&format!("complete answer: {answer}"), false);
        }
    }
    let requests: u64 = searchers().map(|t| t.searcher.stats().requests).sum();
    check("20 complete answers; no request went to az-a", requests == 0)?;
    let back = site.configuration();
    let reply = fleet.submit_change(2, "az-a-in", 2, &back).await?;
    check("brought back as version 3", reply.body["version"] == 3)?;
    fleet.wait_version(3).await?;
    wait_for("az-a gets requests again", || async {
        lookup(fleet, 0).await.ok()?;
        let served = searchers().map(|t| t.searcher.stats().completed);
        (served.sum::<u64>() > 0).then_some(())
    })
    .await?;
    check("az-a serves again", true)
}

async fn racing_operators(fleet: &Fleet, site: &Site) -> io::Result<()> {
    println!("two operators change version 3 at the same time");
    let document = site.configuration();
    let (first, second) = tokio::join!(
        fleet.submit_change(0, "operator-1", 3, &document),
        fleet.submit_change(3, "operator-2", 3, &document),
    );
    let (first, second) = (first?, second?);
    let mut outcomes = [&first.body["outcome"], &second.body["outcome"]];
    outcomes.sort_by_key(|o| o.to_string());
    check(
        "one is accepted, the other gets a conflict",
        outcomes == [&json!("accepted"), &json!("conflict")],
    )?;
    let again = fleet.submit_change(2, "operator-1", 3, &document).await?;
    check("a resend gets the first outcome", again.body == first.body)
}

async fn at_most_once(fleet: &Fleet, site: &Site) -> io::Result<()> {
    println!("a tool checkout is sent twice through different instances");
    let body = json!({"picks": 2, "crew": "ridge-7"});
    let id = [("x-request-id", "checkout-1")];
    let first = fleet.query(0, "tool-checkout", &id, &body).await?;
    check(&format!("first: status {}", first.status), first.status == 200)?;
    let second = fleet.query(1, "tool-checkout", &id, &body).await?;
    check(
        &format!(
            "second: status {}, verdict {}",
            second.status, second.body["verdict"]
        ),
        second.status == 409 && second.body["verdict"] != "not_run",
    )?;
    let runs = site.run_count("tool-checkout", &body.to_string());
    check(&format!("it ran {runs} time(s)"), runs == 1)
}
