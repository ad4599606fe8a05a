/*!
State of a route at the root of its queries.
*/

use std::{sync::Arc, time::Duration};

use crate::{
    config::{AnswerPolicy, Configuration, Priority, Route},
    id::RouteId,
    query::{
        budget::{ExtraLoadBudget, Latencies},
        index::RouteIndex,
    },
    snapshot::Snapshot,
    time::Time,
};

/// A route with its index, extra-load budget and latencies.
#[derive(Debug)]
pub(crate) struct RouteEntry {
    pub(crate) id: RouteId,
    /// Shards that queries are limited to, sorted; `None` for all.
    pub(crate) shards: Option<Arc<[u32]>>,
    /// Share of each zone in percent, by zone index.
    pub(crate) shares: Vec<u32>,
    pub(crate) deadline: Duration,
    pub(crate) priority: Priority,
    pub(crate) policy: AnswerPolicy,
    pub(crate) repeatable: bool,
    pub(crate) index: RouteIndex,
    /// Newest snapshot in `index` after the last report.
    pub(crate) newest_snapshot: Option<Snapshot>,
    pub(crate) extra_budget: ExtraLoadBudget,
    pub(crate) latencies: Latencies,
    /// Time of the last log line about a last-resort replica (`FLOOR_USED`).
    pub(crate) last_resort_logged: Option<Time>,
}

/// Returns the shards that a route lists, sorted and without duplicates.
pub(crate) fn configured_shards(route: &Route) -> Option<Arc<[u32]>> {
    let mut shards = route.shards.clone()?;
    shards.sort_unstable();
    shards.dedup();
    Some(shards.into())
}

/// Returns the share of each zone, in the order of the configuration.
pub(crate) fn zone_shares(cfg: &Configuration, route: &Route) -> Vec<u32> {
    cfg.availability_zones
        .iter()
        .map(|z| {
            route
                .shares
                .iter()
                .filter(|s| s.availability_zone == z.name)
                .map(|s| s.percent)
                .sum()
        })
        .collect()
}
