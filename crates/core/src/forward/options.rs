//! Options of the forwarding path.

use std::time::Duration;

use super::{
    budget::BudgetOptions, delegate::DelegateOptions,
    directory::DirectoryOptions, keys::KeyOptions, targets::SelectionOptions,
};
use crate::rollout::Bounds;

/// Options of the forwarding path.
#[derive(Clone, Debug)]
pub struct ForwardOptions {
    /// Whether each delegation and the start and end of each attempt are
    /// logged.
    pub log_debug: bool,
    /// Limits on extra requests.
    pub budget: BudgetOptions,
    /// Options of fetching the platform's target list.
    pub directory: DirectoryOptions,
    /// Options of delegation to other instances.
    pub delegate: DelegateOptions,
    /// Options of the selection of targets.
    pub selection: SelectionOptions,
    /// Options of requests with a key.
    pub keys: KeyOptions,
    /// Largest number of requests and tasks in flight.
    pub max_in_flight: usize,
    /// Time to merge a response and send it to the caller. From this long
    /// before the end of the objective, a response is merged as soon as enough
    /// shards are answered.
    pub delivery_time: Duration,
    /// Additional delivery time for each shard of the route.
    pub delivery_time_per_shard: Duration,
    /// Fraction of the objective after which a shard is hedged at the latest,
    /// unless the median latency takes a large part of the objective.
    pub hedge_max_fraction: f64,
    /// Multiple of the straggler latency after which a shard is hedged.
    pub hedge_factor: f64,
    /// Time after which a superseded attempt is cancelled. An attempt that
    /// ends before keeps its connection open.
    pub linger: Duration,
    /// Pause before another attempt for a shard for which no target,
    /// connection or budget was available.
    pub retry_pause: Duration,
    /// Time before the deadline at which a request ends, so that the response
    /// arrives in time.
    pub deadline_margin: Duration,
    /// Number of refused attempts of one shard that are sent again.
    pub max_refusals: u32,
    /// Bounds of roll-outs; `None` if the versions of targets decide nothing.
    pub rollouts: Option<Bounds>,
}

impl Default for ForwardOptions {
    fn default() -> ForwardOptions {
        ForwardOptions {
            log_debug: false,
            budget: BudgetOptions::default(),
            directory: DirectoryOptions::default(),
            delegate: DelegateOptions::default(),
            selection: SelectionOptions::default(),
            keys: KeyOptions::default(),
            max_in_flight: 400,
            // 3 ms each way to the caller, and the merge on a quarter of a
            // core.
            delivery_time: Duration::from_millis(14),
            // On large sites a response of 90 shards reaches its caller 10 ms
            // after the merge is started. A longer time leaves out more
            // shards.
            delivery_time_per_shard: Duration::from_micros(100),
            hedge_max_fraction: 0.3,
            hedge_factor: 1.2,
            // Longer than the usual pause of a target of 150 ms.
            linger: Duration::from_millis(250),
            retry_pause: Duration::from_millis(10),
            deadline_margin: Duration::from_millis(15),
            max_refusals: 3,
            rollouts: None,
        }
    }
}
