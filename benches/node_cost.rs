/*!
Processor time, memory and messages of an entry instance.

Measures idle fleets of several sizes, and then one fleet at several loads
and shard counts. The daemons are processes; the measurements come from `/proc`
and from their metrics. Only the cost of an idle instance has bounds.
*/

mod support;

use std::{collections::BTreeMap, io, process::ExitCode, time::Duration};

use primrosemast_standin::{
    client,
    fleet::{Fleet, FleetOptions},
    searcher::Behaviour,
    site::{SearcherGroup, Site},
};
use support::{Callers, Load, processor_seconds, resident_mb};

const ZONES: [&str; 4] = ["az-a", "az-b", "az-c", "az-d"];

const FLEET_SIZES: [usize; 3] = [3, 6, 9];

/// Routes with the number of their shards.
const ROUTES: [(&str, u32); 3] = [("few", 5), ("some", 20), ("many", 40)];

/// Queries per second to the whole fleet.
const RATES: [f64; 3] = [20.0, 50.0, 80.0];

const IDLE_SPAN: Duration = Duration::from_secs(5);
const LOAD_SPAN: Duration = Duration::from_secs(4);

/// Service time of a searcher, in microseconds; so short that the slots do not
/// limit the load.
const SERVICE_US: u64 = 5_000;

/// Control-plane budget of an idle instance: percent of a core.
const MAX_CORE_PERCENT: f64 = 5.0;
/// Control-plane budget of an idle instance: bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 8_192.0;
/// Control-plane budget of an idle instance: resident memory in MB.
const MAX_RESIDENT_MB: f64 = 64.0;

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

/// Messages and bytes between instances, by class of message.
type Traffic = BTreeMap<String, (f64, f64)>;

async fn read_traffic(fleet: &Fleet) -> io::Result<Traffic> {
    let mut traffic = Traffic::new();
    for instance in fleet.instances() {
        let operator = instance.addresses().operator;
        let metrics = client::get(operator, "/metrics").await?.body;
        for line in metrics.as_str().unwrap_or_default().lines() {
            let is_messages = line.starts_with("primrosemast_peer_messages");
            let is_bytes = line.starts_with("primrosemast_peer_bytes");
            if !is_messages && !is_bytes {
                continue;
            }
            let class = line.split('"').nth(1).unwrap_or("?").to_owned();
            let value = line.rsplit(' ').next().unwrap_or("");
            let value: f64 = value.parse().unwrap_or(0.0);
            let entry = traffic.entry(class).or_default();
            if is_messages {
                entry.0 += value;
            } else {
                entry.1 += value;
            }
        }
    }
    Ok(traffic)
}

/// Resources used during some work.
struct Cost {
    processor_s: f64,
    traffic: Traffic,
}

impl Cost {
    async fn measure<T>(
        fleet: &Fleet,
        work: impl Future<Output = T>,
    ) -> io::Result<(Cost, T)> {
        let before = read_traffic(fleet).await?;
        let start = processor_seconds(fleet);
        let result = work.await;
        let processor_s = processor_seconds(fleet) - start;
        let mut traffic = read_traffic(fleet).await?;
        for (class, (messages, bytes)) in &mut traffic {
            let start = before.get(class).copied().unwrap_or_default();
            *messages -= start.0;
            *bytes -= start.1;
        }
        Ok((Cost { processor_s, traffic }, result))
    }

    /// Prints the traffic divided by a number of units.
    fn print_traffic(&self, units: f64) {
        for (class, (messages, bytes)) in &self.traffic {
            println!(
                "      {class:12} {:8.2} messages {:10.1} bytes",
                messages / units,
                bytes / units
            );
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the slope and the intercept of a least-squares fit.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, y - slope * x)
}

async fn run() -> io::Result<bool> {
    let groups = ROUTES.map(|(route, shards)| SearcherGroup {
        route: route.into(),
        shards,
        behaviour: Behaviour {
            latency_us: SERVICE_US,
            slots: 4,
            connections: 100,
            ..Behaviour::default()
        },
        ..SearcherGroup::default()
    });
    let site = Site::start(&ZONES, &groups).await?;
    let program = std::env::current_exe()?;
    let mut held = true;
    for size in FLEET_SIZES {
        let mut options = FleetOptions::spread(size, 3, &ZONES);
        options.log = "warn".into();
        let fleet = Fleet::start(&[&program], options).await?;
        fleet.bootstrap(&site.configuration()).await?;
        held &= measure_idle(&fleet).await?;
        if size == FLEET_SIZES[FLEET_SIZES.len() - 1] {
            measure_load(&fleet).await?;
        }
    }
    Ok(held)
}

async fn measure_idle(fleet: &Fleet) -> io::Result<bool> {
    // The first exchanges after the start are not part of the steady cost.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (cost, ()) =
        Cost::measure(fleet, tokio::time::sleep(IDLE_SPAN)).await?;
    let instance_seconds =
        fleet.instances().len() as f64 * IDLE_SPAN.as_secs_f64();
    let memory = resident_mb(fleet);
    let core_percent = cost.processor_s * 100.0 / instance_seconds;
    let bytes: f64 =
        cost.traffic.values().map(|x| x.1).sum::<f64>() / instance_seconds;
    println!(
        "idle fleet of {}: {core_percent:.2}% of a core and {:.1} MB on each \
         node; by node and second:",
        fleet.instances().len(),
        mean(&memory),
    );
    cost.print_traffic(instance_seconds);
    let mut held = true;
    for (name, value, bound) in [
        ("percent of a core", core_percent, MAX_CORE_PERCENT),
        ("bytes per node and second", bytes, MAX_BYTES_PER_SECOND),
        (
            "MB of a node",
            memory.into_iter().fold(0.0, f64::max),
            MAX_RESIDENT_MB,
        ),
    ] {
        let result = if value <= bound { "ok  " } else { "FAIL" };
        println!("  {result} idle {name}: {value:.2}, at most {bound}");
        held &= value <= bound;
    }
    Ok(held)
}

async fn measure_load(fleet: &Fleet) -> io::Result<()> {
    let callers = Callers::new(fleet);
    let load = |route, per_second| [Load { route, per_second }];
    println!("\nloaded fleet of {}", fleet.instances().len());
    let mut by_shards = Vec::new();
    for (route, shards) in ROUTES {
        let warm_up = Duration::from_secs(2);
        callers.run("warm", &load(route, RATES[0]), warm_up).await;
        let mut points = Vec::new();
        for rate in RATES {
            let label = format!("cost-{rate}");
            let loads = load(route, rate);
            let work = callers.run(&label, &loads, LOAD_SPAN);
            let (cost, samples) = Cost::measure(fleet, work).await?;
            let count = samples[0].len() as f64;
            let complete =
                samples[0].iter().filter(|s| s.is_complete()).count();
            println!(
                "  {shards} shards, {rate} queries/s: {:.2} s of processor \
                 time for {count} queries ({complete} whole), {:.1} MB on \
                 each node",
                cost.processor_s,
                mean(&resident_mb(fleet)),
            );
            if rate == RATES[RATES.len() - 1] {
                println!("    messages by query, control included:");
                cost.print_traffic(count);
            }
            points.push((count, cost.processor_s * 1e6));
        }
        let (slope, intercept) = fit_line(&points);
        println!(
            "  {shards} shards: {slope:.0} us of processor time by query, \
             {:.0} us by second of a node besides",
            intercept
                / LOAD_SPAN.as_secs_f64()
                / fleet.instances().len() as f64,
        );
        by_shards.push((f64::from(shards), slope));
    }
    let (slope, intercept) = fit_line(&by_shards);
    println!(
        "  {slope:.0} us of processor time by shard request, \
         {intercept:.0} us by query besides"
    );
    Ok(())
}
