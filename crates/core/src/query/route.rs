/*!
A route as the root of queries sees it.
*/

use std::{sync::Arc, time::Duration};

use crate::{
    config::{AnswerPolicy, Configuration, Priority, Route},
    id::RouteId,
    query::{
        budget::{ExtraLoad, Latencies},
        index::RouteIndex,
    },
    time::Time,
};

/// A route with its index, budget and latencies.
#[derive(Debug)]
pub(crate) struct RouteEntry {
    pub(crate) id: RouteId,
    pub(crate) shards: Option<Arc<[u32]>>,
    /// Share of each zone, by its position.
    pub(crate) shares: Vec<u32>,
    pub(crate) deadline: Duration,
    pub(crate) priority: Priority,
    pub(crate) policy: AnswerPolicy,
    pub(crate) repeatable: bool,
    pub(crate) index: RouteIndex,
    pub(crate) extra: ExtraLoad,
    pub(crate) latencies: Latencies,
    /// When the use of a floor was last logged.
    pub(crate) floor_logged: Option<Time>,
}

/// Shards that a route names, sorted.
pub(crate) fn asked_shards(route: &Route) -> Option<Arc<[u32]>> {
    let mut shards = route.shards.clone()?;
    shards.sort_unstable();
    shards.dedup();
    Some(shards.into())
}

/// Share of each zone of the configuration, in its order.
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
