/*!
Latency and coverage of typical workloads under faults, compared with direct
dispatch.

Nine entry instances in four zones serve the workloads of section 1.4 of the
design, once through homes and once with `dispatch: direct` as the baseline,
at the same fixed arrival rate. Latency is measured from the intended start of
a query. The bounds are the goals of the project, as ratios and counts within
one run; the program exits with an error if one is exceeded.
*/

mod support;

use std::{
    collections::BTreeMap,
    io,
    process::ExitCode,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use primrosemast_standin::{
    client,
    fleet::{Fleet, FleetOptions},
    searcher::Behaviour,
    site::{SearcherGroup, Site},
};
use serde_json::{Value, json};
use support::{Callers, Load, Sample};

const ZONES: [&str; 4] = ["az-a", "az-b", "az-c", "az-d"];

/// Routes with the number of shards of each. The bounds with stragglers and
/// under overload apply only to the first two.
const ROUTES: [(&str, u64); 4] = [
    ("crew-finder", 20),
    ("dispatch-desk", 20),
    ("tool-ledger", 1),
    ("route-notes", 1),
];

/// Service time of a searcher, in microseconds; so long that the load which
/// fills all slots stays well below what one process of simulated searchers
/// can serve.
const SERVICE_US: u64 = 20_000;

/// Queries per second that fill every slot of a route with 20 services of 2
/// searchers with 2 slots.
const SATURATION_RATE: f64 = 4.0 * 1e6 / SERVICE_US as f64;

/// Queries per second under light load. With a zone out, half of the shards
/// have one replica left, which is then used to 50%.
const QUIET_RATE: f64 = SATURATION_RATE / 4.0;

/// Queries per second to each small route.
const SMALL_RATE: f64 = 20.0;

/// Factor on the service time of a straggling replica.
const STRAGGLE_FACTOR: u64 = 20;

/// One replica in this many straggles.
const STRAGGLE_EVERY: usize = 20;

/// Initial extra-load budget of a route at each entry instance, in requests
/// (`QueryOptions::extra_load_burst`).
const BURST: f64 = 10.0;

const ENTRIES: usize = 9;

/// Width of the intervals by which the recovery time is determined.
const BIN_WIDTH: Duration = Duration::from_millis(250);

fn main() -> ExitCode {
    if let Some(code) = support::run_daemon_if_requested() {
        return code;
    }
    let runtime =
        tokio::runtime::Runtime::new().expect("the runtime can be started");
    match runtime.block_on(run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("failed: {e}");
            ExitCode::FAILURE
        }
    }
}

/// A fleet with its own searchers in one mode of dispatch.
struct Deployment {
    name: &'static str,
    site: Site,
    fleet: Fleet,
    callers: Callers,
    version: u64,
}

/// Replaces the addresses of proxies in a configuration by those of the
/// searchers. No network faults are injected here, and a proxy in front of
/// each searcher would triple the open files of this process.
fn without_proxies(site: &Site, mut configuration: Value) -> Value {
    let services = configuration["services"].as_array_mut();
    for service in services.into_iter().flatten() {
        let searchers = service["searchers"].as_array_mut();
        for searcher in searchers.into_iter().flatten() {
            let target = site
                .targets
                .iter()
                .find(|t| searcher["name"].as_str() == Some(t.name.as_str()));
            if let Some(t) = target {
                let address = t.searcher.address().to_string();
                searcher["address"] = Value::from(address);
            }
        }
    }
    configuration
}

/// Measurements of a route in a phase.
struct Figures {
    latency: Histogram<u64>,
    queries: usize,
    complete: usize,
    asked: u64,
    /// Shards asked in a later phase whose requests are counted here.
    asked_later: f64,
    answered: u64,
    requests: u64,
    shed: u64,
    overruns: u64,
    failures: BTreeMap<String, u32>,
    samples: Vec<Sample>,
}

impl Figures {
    /// Summarises the samples of a route.
    fn from_samples(samples: &[Sample]) -> Figures {
        let mut f = Figures {
            latency: Histogram::new(3).expect("3 digits are supported"),
            queries: samples.len(),
            complete: 0,
            asked: 0,
            asked_later: 0.0,
            answered: 0,
            requests: 0,
            shed: 0,
            overruns: 0,
            failures: BTreeMap::new(),
            samples: samples.to_vec(),
        };
        for s in samples {
            let took = s.took.as_micros() as u64;
            // `record` grows the histogram, unlike `saturating_record`.
            f.latency.record(took).expect("the histogram can grow");
            f.complete += usize::from(s.is_complete());
            f.asked += s.asked;
            f.answered += s.answered;
            if let Some((verdict, reason)) = &s.failure {
                let key = format!("{verdict}/{reason}");
                *f.failures.entry(key).or_default() += 1;
            }
        }
        f
    }

    fn quantile_ms(&self, q: f64) -> f64 {
        self.latency.value_at_quantile(q) as f64 / 1e3
    }

    fn p99(&self) -> f64 {
        self.quantile_ms(0.99)
    }

    /// Returns the number of shards asked, including those of failed queries
    /// that may have been sent.
    fn shards(&self, per_query: u64) -> f64 {
        let sent = self
            .samples
            .iter()
            .filter_map(|s| s.failure.as_ref())
            .filter(|f| f.0 != "not_run");
        let asked = self.asked + sent.count() as u64 * per_query;
        asked as f64 + self.asked_later
    }

    /// Returns the excess of requests at the searchers over the shards asked,
    /// in percent.
    fn extra_percent(&self, per_query: u64) -> f64 {
        let shards = self.shards(per_query).max(1.0);
        (self.requests as f64 / shards - 1.0) * 100.0
    }

    fn print(&self, mode: &str, route: &str, per_query: u64) {
        let percent = |a: u64, b: u64| a as f64 * 100.0 / b.max(1) as f64;
        let extra = self.extra_percent(per_query);
        println!(
            "  {mode:6} {route:13} {:6} {:8.1} {:8.1} {:8.1} {:8.2} {:8.2} \
             {:6} {:6}  {:?}",
            self.queries,
            self.quantile_ms(0.5),
            self.p99(),
            self.quantile_ms(0.999),
            percent(self.answered, self.asked),
            extra,
            self.shed,
            self.overruns,
            self.failures,
        );
    }
}

fn print_header(scenario: &str) {
    println!(
        "\n{scenario}\n  {:6} {:13} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} \
         {:>6} {:>6}  failures",
        "mode",
        "route",
        "count",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "cover %",
        "extra %",
        "shed",
        "over",
    );
}

impl Deployment {
    async fn start(name: &'static str) -> io::Result<Deployment> {
        let small = |connections| Behaviour {
            latency_us: SERVICE_US,
            slots: 4,
            connections,
            connect_cost_us: 1_000,
            ..Behaviour::default()
        };
        let large = Behaviour {
            latency_us: SERVICE_US,
            slots: 2,
            connections: 25,
            connect_cost_us: 5_000,
            ..Behaviour::default()
        };
        let group = |i: usize, replicas, behaviour: &Behaviour, options| {
            let (route, shards) = ROUTES[i];
            SearcherGroup {
                route: route.into(),
                shards: shards as u32,
                replicas,
                behaviour: behaviour.clone(),
                options,
            }
        };
        let latency = json!({"latency": {"enough_percent": 90}});
        let groups = [
            group(
                0,
                2,
                &large,
                json!({"policy": "coverage", "priority": "urgent",
                       "deadline_ms": 1_000}),
            ),
            group(
                1,
                2,
                &large,
                json!({"policy": latency, "deadline_ms": 1_000}),
            ),
            group(2, 7, &small(100), json!({"repeatable": false})),
            group(3, 4, &small(100), json!({})),
        ];
        let site = Site::start(&ZONES, &groups).await?;
        let mut options = FleetOptions::spread(ENTRIES, 3, &ZONES);
        options.settings = json!({"dispatch": name});
        options.log = "warn".into();
        let program = std::env::current_exe()?;
        let fleet = Fleet::start(&[&program], options).await?;
        fleet.bootstrap(&without_proxies(&site, site.configuration())).await?;
        let callers = Callers::new(&fleet);
        Ok(Deployment { name, site, fleet, callers, version: 1 })
    }

    fn loads(&self, large: f64) -> Vec<Load> {
        ROUTES
            .iter()
            .map(|&(route, shards)| Load {
                route,
                per_second: if shards > 1 { large } else { SMALL_RATE },
            })
            .collect()
    }

    /// Runs a load and counts the requests at the searchers.
    async fn phase(
        &self,
        label: &str,
        rate: f64,
        span: Duration,
    ) -> Vec<Figures> {
        self.site.targets.iter().for_each(|t| t.searcher.reset_stats());
        let loads = self.loads(rate);
        let samples = self.callers.run(label, &loads, span).await;
        // Requests that were slower than their hedge may still be in flight.
        tokio::time::sleep(Duration::from_millis(100)).await;
        self.figures(&samples)
    }

    fn figures(&self, samples: &[Vec<Sample>]) -> Vec<Figures> {
        let mut figures = Vec::new();
        for (samples, (route, _)) in samples.iter().zip(ROUTES) {
            let mut f = Figures::from_samples(samples);
            for t in self.site.targets_of_route(route) {
                let stats = t.searcher.stats();
                f.requests += stats.requests;
                f.shed += stats.shed;
                f.overruns += stats.overruns;
            }
            figures.push(f);
        }
        figures
    }

    fn print(&self, figures: &[Figures]) {
        for (f, (route, shards)) in figures.iter().zip(ROUTES) {
            f.print(self.name, route, shards);
        }
    }

    /// Multiplies the service time of one replica in twenty of the large
    /// routes, each the first replica of its shard.
    fn straggle(&self, factor: u64) {
        for (route, _) in &ROUTES[..2] {
            let targets: Vec<_> = self.site.targets_of_route(route).collect();
            for t in targets.iter().step_by(STRAGGLE_EVERY) {
                t.searcher.update(|b| b.latency_us = SERVICE_US * factor);
            }
        }
    }

    /// Runs light load while some replicas straggle.
    async fn run_straggling(&self) -> Vec<Figures> {
        self.straggle(STRAGGLE_FACTOR);
        let span = Duration::from_secs(10);
        let figures = self.phase("straggler", QUIET_RATE, span).await;
        self.straggle(1);
        figures
    }

    /// Runs light load, takes a zone out after 2 s and brings it back 4 s
    /// later.
    async fn zone_out_and_back(&mut self) -> io::Result<Vec<Figures>> {
        let span = Duration::from_secs(10);
        let load = self.phase("zone", QUIET_RATE, span);
        let version = self.version;
        let changes = async {
            tokio::time::sleep(Duration::from_secs(2)).await;
            let out = self.site.with_zones_out(&["az-b"]);
            let out = without_proxies(&self.site, out);
            self.fleet.submit_change(0, "zone-out", version, &out).await?;
            tokio::time::sleep(Duration::from_secs(4)).await;
            let back = without_proxies(&self.site, self.site.configuration());
            let reply = self
                .fleet
                .submit_change(1, "zone-in", version + 1, &back)
                .await?;
            if reply.status != 200 {
                return Err(io::Error::other(reply.body.to_string()));
            }
            Ok(())
        };
        let (figures, changed) = tokio::join!(load, changes);
        changed?;
        self.version += 2;
        Ok(figures)
    }

    /// Runs twice the load that fills the slots of the large routes, and then
    /// light load.
    async fn overload(&self) -> (Vec<Figures>, Vec<Figures>) {
        let span = Duration::from_secs(5);
        self.site.targets.iter().for_each(|t| t.searcher.reset_stats());
        let heavy = self.loads(2.0 * SATURATION_RATE);
        let quiet = self.loads(QUIET_RATE);
        let both = async {
            tokio::join!(self.callers.run("overload", &heavy, span), async {
                tokio::time::sleep(span).await;
                self.callers.run("recovery", &quiet, span).await
            })
        };
        let (over, after) = both.await;
        let over = self.figures(&over);
        // The counters of the searchers cover both phases and are shown with
        // the first.
        let after = after.iter().map(|s| Figures::from_samples(s)).collect();
        (over, after)
    }

    /// Prints how the slowest queries of a phase were served.
    async fn explain(&self, figures: &Figures) {
        let mut slowest: Vec<&Sample> = figures.samples.iter().collect();
        slowest.sort_by_key(|s| (s.is_complete(), std::cmp::Reverse(s.took)));
        for s in slowest.iter().take(3) {
            let instance = &self.fleet.instances()[s.instance];
            let path = format!("/v1/explain/{}", s.id);
            let operator = instance.addresses().operator;
            let Ok(reply) = client::get(operator, &path).await else {
                continue;
            };
            println!("  {} at {:?} took {:?}:", s.id, s.at, s.took);
            let shards = reply.body["shards"].as_array();
            for shard in shards.into_iter().flatten() {
                let attempts = &shard["attempts"];
                let several = attempts.as_array().map_or(0, Vec::len) > 1;
                let late = attempts[0]["ended_us"]
                    .as_u64()
                    .is_none_or(|t| t > 4 * SERVICE_US);
                if several || late || shard["answered"] != true {
                    println!("    {shard}");
                }
            }
        }
    }
}

/// Prints bounds and records whether all of them held.
struct Bounds {
    held: bool,
}

impl Bounds {
    fn at_most(&mut self, name: &str, value: f64, bound: f64) -> bool {
        let holds = value <= bound;
        let result = if holds { "ok  " } else { "FAIL" };
        println!("  {result} {name}: {value:.2}, at most {bound:.2}");
        self.held &= holds;
        holds
    }

    /// Checks that no query failed or lacks a shard.
    fn all_complete(&mut self, route: &str, f: &Figures) -> bool {
        let partial = (f.queries - f.complete) as f64;
        self.at_most(&format!("{route} queries not whole"), partial, 0.0)
    }
}

/// Returns the recovery time: the end of the last interval in which more than
/// one query in ten failed or took over twice the quiet p99.
fn recovery_time(after: &Figures, quiet_p99_ms: f64) -> Duration {
    let mut bins: BTreeMap<u128, (u32, u32)> = BTreeMap::new();
    for s in &after.samples {
        let bin =
            bins.entry(s.at.as_millis() / BIN_WIDTH.as_millis()).or_default();
        let slow = s.took.as_secs_f64() * 1e3 > 2.0 * quiet_p99_ms;
        bin.0 += u32::from(slow || s.failure.is_some());
        bin.1 += 1;
    }
    let last = bins.iter().rfind(|(_, bin)| bin.0 * 10 > bin.1);
    last.map_or(Duration::ZERO, |(bin, _)| BIN_WIDTH * (*bin as u32 + 1))
}

async fn run() -> io::Result<bool> {
    let start = Instant::now();
    let mut home = Deployment::start("home").await?;
    let mut direct = Deployment::start("direct").await?;
    println!(
        "{ENTRIES} entry instances for each mode; {QUIET_RATE} queries/s to \
         each large route, {SMALL_RATE} to each small one"
    );
    let mut bounds = Bounds { held: true };

    for deployment in [&home, &direct] {
        deployment.phase("warm-up", QUIET_RATE, Duration::from_secs(4)).await;
    }
    let span = Duration::from_secs(8);
    let quiet = home.phase("quiet", QUIET_RATE, span).await;
    let base = direct.phase("quiet", QUIET_RATE, span).await;
    print_header("quiet");
    home.print(&quiet);
    direct.print(&base);
    for (i, (route, _)) in ROUTES.iter().enumerate() {
        // A latency-first route may answer without the last shards.
        let broken = if i == 1 {
            let lost = quiet[i].failures.values().sum::<u32>();
            !bounds.at_most(&format!("{route} lost"), f64::from(lost), 0.0)
        } else {
            !bounds.all_complete(route, &quiet[i])
        };
        if broken {
            home.explain(&quiet[i]).await;
        }
    }

    let slow = home.run_straggling().await;
    let base = direct.run_straggling().await;
    print_header("one replica in twenty is 20 times slower");
    home.print(&slow);
    direct.print(&base);
    for (i, (route, shards)) in ROUTES[..2].iter().enumerate() {
        let name = format!("{route} p99 over the baseline's");
        let ratio = slow[i].p99() / base[i].p99();
        let mut held = bounds.at_most(&name, ratio, 1.0 / 3.0);
        let asked = slow[i].shards(*shards);
        let burst = BURST * ENTRIES as f64 * 100.0 / asked;
        let extra = slow[i].extra_percent(*shards);
        let name = format!("{route} extra load in percent");
        held &= bounds.at_most(&name, extra, 5.0 + burst);
        if i == 0 {
            held &= bounds.all_complete(route, &slow[i]);
        }
        if !held {
            home.explain(&slow[i]).await;
        }
    }

    // Lets the latency estimates of the replicas that straggled recover.
    for deployment in [&home, &direct] {
        deployment.phase("settle", QUIET_RATE, Duration::from_secs(2)).await;
    }
    let zone = home.zone_out_and_back().await?;
    let base = direct.zone_out_and_back().await?;
    print_header("a zone leaves and returns");
    home.print(&zone);
    direct.print(&base);
    for (i, (route, _)) in ROUTES.iter().enumerate() {
        let name = format!("{route} p99 over the quiet one");
        let ratio = zone[i].p99() / quiet[i].p99();
        let mut held = bounds.at_most(&name, ratio, 2.0);
        let lost = f64::from(zone[i].failures.values().sum::<u32>());
        held &= bounds.at_most(&format!("{route} lost"), lost, 0.0);
        if i != 1 {
            held &= bounds.all_complete(route, &zone[i]);
        }
        if !held {
            home.explain(&zone[i]).await;
        }
    }

    let (mut over, after) = home.overload().await;
    let (mut base_over, base_after) = direct.overload().await;
    // The counters of the searchers in the first phase include the second.
    for (i, (_, shards)) in ROUTES.iter().enumerate() {
        over[i].asked_later = after[i].shards(*shards);
        base_over[i].asked_later = base_after[i].shards(*shards);
    }
    print_header("twice the bearable load for 5 s");
    home.print(&over);
    direct.print(&base_over);
    print_header(
        "5 s after the overload (searchers' counts are included above)",
    );
    home.print(&after);
    direct.print(&base_after);
    for (i, (route, shards)) in ROUTES[..2].iter().enumerate() {
        let burst = BURST * ENTRIES as f64 * 100.0 / over[i].shards(*shards);
        let extra = over[i].extra_percent(*shards);
        let name = format!("{route} extra load in percent");
        bounds.at_most(&name, extra, 5.0 + burst);
        let p99 = quiet[i].p99();
        let base = recovery_time(&base_after[i], p99);
        println!("  direct {route} recovers in {:.2} s", base.as_secs_f64());
        let took = recovery_time(&after[i], p99).as_secs_f64();
        let name = format!("{route} seconds until recovery");
        if !bounds.at_most(&name, took, 2.0) {
            home.explain(&after[i]).await;
        }
    }
    println!("\n{:.0} s in total", start.elapsed().as_secs_f64());
    Ok(bounds.held)
}
