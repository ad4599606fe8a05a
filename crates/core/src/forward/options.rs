//! Options of the forwarding path.

use std::time::Duration;

use super::{
    budget::BudgetOptions, delegate::DelegateOptions,
    directory::DirectoryOptions, targets::TargetChoice,
};

/// Options of the forwarding path.
#[derive(Clone, Debug)]
pub struct ForwardOptions {
    /// Whether decisions on single attempts are logged.
    pub log_debug: bool,
    /// Of extra requests.
    pub budget: BudgetOptions,
    /// Of the platform's list.
    pub directory: DirectoryOptions,
    /// Of sharing requests with other instances.
    pub delegate: DelegateOptions,
    /// Of the choice of a target.
    pub choice: TargetChoice,
    /// Requests of callers that are served at the same time.
    pub max_in_flight: usize,
    /// Time that a response needs to the caller: merging it and the way
    /// back. A merged response leaves this much before the objective.
    pub delivery: Duration,
    /// What each shard of the route adds to that.
    pub delivery_by_shard: Duration,
    /// Part of the objective after which a second target is asked at the
    /// latest.
    pub hedge_latest: f64,
    /// A second target is asked after this part of a straggler's latency.
    pub hedge_factor: f64,
    /// Time after which an attempt that is no longer needed is cancelled.
    /// Until then its connection can be kept.
    pub linger: Duration,
    /// Pause before a request that found no free connection or was shed is
    /// tried again.
    pub retry_pause: Duration,
    /// Time before the deadline at which a request is given up, so that the
    /// response arrives in time.
    pub deadline_margin: Duration,
    /// Attempts of one shard that may be turned away, beyond those that run.
    pub max_refusals: u32,
}

impl Default for ForwardOptions {
    fn default() -> ForwardOptions {
        ForwardOptions {
            log_debug: false,
            budget: BudgetOptions::default(),
            directory: DirectoryOptions::default(),
            delegate: DelegateOptions::default(),
            choice: TargetChoice::default(),
            max_in_flight: 400,
            // 3 ms each way to a caller, and the merge on a quarter of a
            // core.
            delivery: Duration::from_millis(14),
            // A response of 90 shards reaches its caller 10 ms after the
            // decision on the grown sites; more leaves out more shards.
            delivery_by_shard: Duration::from_micros(100),
            hedge_latest: 0.3,
            hedge_factor: 1.2,
            // Longer than a pause of a target, which is 150 ms.
            linger: Duration::from_millis(250),
            retry_pause: Duration::from_millis(10),
            deadline_margin: Duration::from_millis(15),
            max_refusals: 3,
        }
    }
}
