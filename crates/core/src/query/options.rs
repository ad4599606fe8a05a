/*!
Options of the query root.
*/

use std::time::Duration;

/// How shard requests reach their targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DispatchMode {
    /// Requests are sent through the home of each target.
    #[default]
    Home,
    /// This instance sends requests directly to random replicas, without
    /// hedges and without limits shared between instances. The baseline of
    /// benchmarks.
    Direct,
}

/// Options of [`Queries`](super::Queries).
#[derive(Clone, Debug, PartialEq)]
pub struct QueryOptions {
    /// How shard requests reach their targets.
    pub mode: DispatchMode,
    /// Whether a second request is sent for stragglers.
    pub hedging: bool,
    /// Shortest wait for the acknowledgement of a home. The wait is longer
    /// while homes take longer to acknowledge, because a standby has half the
    /// limit and a request that is sent again may run twice. A quarter of the
    /// time left until the deadline applies if that is shorter.
    pub min_ack_timeout: Duration,
    /// Hedge delay of a route that has too few latencies for a percentile.
    pub initial_hedge_delay: Duration,
    /// Lower bound of the hedge delay.
    pub min_hedge_delay: Duration,
    /// Number of extra requests that a route may send before first requests
    /// have earned them.
    pub extra_load_burst: u32,
    /// Percentage of the choices that go to an idle cold target, so that it
    /// warms up although warm targets are preferred.
    pub cold_probe_percent: u32,
    /// Percentage of the choices in which a slow replica is treated like the
    /// others, so that its recovery is noticed.
    pub slow_probe_percent: u32,
    /// Time for which a target is still used after it was first reported as
    /// leaving, if every other holder of the shard is leaving too. Stays
    /// below the 3 s of requirement H8.
    pub leaving_grace: Duration,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Maximum number of ended queries that are kept to be explained.
    pub max_explained_queries: usize,
    /// Maximum number of shard requests in the queries that are kept. Bounds
    /// their memory, at about 45 bytes for each request.
    pub max_explained_requests: usize,
    /// Whether log events of the debug level are produced.
    pub log_debug: bool,
}

impl Default for QueryOptions {
    fn default() -> QueryOptions {
        QueryOptions {
            mode: DispatchMode::Home,
            hedging: true,
            min_ack_timeout: Duration::from_millis(50),
            initial_hedge_delay: Duration::from_millis(50),
            min_hedge_delay: Duration::from_millis(1),
            extra_load_burst: 10,
            cold_probe_percent: 10,
            slow_probe_percent: 2,
            leaving_grace: Duration::from_secs(2),
            max_deadline: Duration::from_secs(600),
            max_explained_queries: 1_000,
            max_explained_requests: 200_000,
            log_debug: false,
        }
    }
}
