/*!
Options of the query root.
*/

use std::time::Duration;

/// How shard requests reach their targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DispatchMode {
    /// Through the home of each target.
    #[default]
    Home,
    /// From this instance, with random replicas, without hedges and shared
    /// limits. The baseline of the benchmarks.
    Direct,
}

/// Options of [`Queries`](super::Queries).
#[derive(Clone, Debug, PartialEq)]
pub struct QueryOptions {
    /// How shard requests reach their targets.
    pub mode: DispatchMode,
    /// Whether stragglers are hedged.
    pub hedging: bool,
    /// Shortest wait for the acknowledgement of a home. It is longer while
    /// homes take longer, because a standby has half the limit and the
    /// request then runs twice. A quarter of the remaining deadline applies
    /// if it is shorter.
    pub home_timeout: Duration,
    /// Hedge delay of a route that has too few latencies for a percentile.
    pub initial_hedge_delay: Duration,
    /// Shortest hedge delay.
    pub min_hedge_delay: Duration,
    /// Extra requests that a route may send before it has earned them.
    pub extra_load_burst: u32,
    /// Percentage of the choices that goes to an idle cold target, so that
    /// it warms up although warm targets are preferred.
    pub cold_percent: u32,
    /// Percentage of the choices in which a slow replica counts like the
    /// others, so that its recovery is seen.
    pub slow_percent: u32,
    /// Time for which the only holder of a shard is still used after it was
    /// first reported as leaving. Below the goal of 3 s of requirement H8.
    pub leaving_grace: Duration,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Queries that can be explained.
    pub explained_queries: usize,
    /// Bounds the memory of the explained queries: their shard requests in
    /// total, at about 45 bytes each.
    pub explained_requests: usize,
    /// Whether log events of the debug level are produced.
    pub log_debug: bool,
}

impl Default for QueryOptions {
    fn default() -> QueryOptions {
        QueryOptions {
            mode: DispatchMode::Home,
            hedging: true,
            home_timeout: Duration::from_millis(50),
            initial_hedge_delay: Duration::from_millis(50),
            min_hedge_delay: Duration::from_millis(1),
            extra_load_burst: 10,
            cold_percent: 10,
            slow_percent: 2,
            leaving_grace: Duration::from_secs(2),
            max_deadline: Duration::from_secs(600),
            explained_queries: 1_000,
            explained_requests: 200_000,
            log_debug: false,
        }
    }
}
