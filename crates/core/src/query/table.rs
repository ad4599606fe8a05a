/*!
Targets and routes of the configuration, with the newest report of each target.
*/

use std::{sync::Arc, time::Duration};

use crate::{
    config::Configuration,
    id::{InstanceId, RouteId, TargetId, ZoneId},
    placement::{self, BundleKey, Candidate},
    query::{
        budget::{ExtraLoadBudget, Latencies},
        index::{Condition, RouteIndex},
        options::{DispatchMode, QueryOptions},
        route::{RouteEntry, configured_shards, zone_shares},
    },
    snapshot::{Holding, Snapshot},
    target::{TargetReport, TargetState},
    time::Time,
};

/// Maximum number of holdings that are kept for a target, so that a faulty
/// report cannot grow the state without bound.
const MAX_HOLDINGS: usize = 4_096;

/// A target and its newest report. Its holdings are stored separately, so
/// that the fields that every choice reads fit in a cache line.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub(crate) id: TargetId,
    /// Index of its zone in the configuration.
    pub(crate) zone: u16,
    /// Index of its service in the configuration.
    service: u32,
    /// Index of its searcher in the service.
    searcher: u32,
    /// Index of its bundle in the routing table.
    bundle: u32,
    /// `None` until the first report.
    pub(crate) state: Option<TargetState>,
    pub(crate) limit: u32,
    pub(crate) latency_us: u32,
    pub(crate) queued: u32,
    running: u32,
    /// Number of requests of this instance that have not ended.
    pending: u32,
    /// Value of `pending` when the newest report came. The report includes
    /// these requests.
    reported_pending: u32,
    /// Whether the standby may send to it.
    shared: bool,
    /// Time of the first report of the state `Leaving`.
    leaving_since: Option<Time>,
}

impl TargetEntry {
    /// Estimates the number of requests that run or wait: those of the newest
    /// report and those that this instance has sent since.
    pub(crate) fn load(&self) -> u32 {
        let total = self.running + self.queued + self.pending;
        total.saturating_sub(self.reported_pending)
    }

    /// Returns whether reports allow new work.
    pub(crate) fn is_usable(&self) -> bool {
        self.condition().usable
    }

    fn condition(&self) -> Condition {
        condition(self.state, self.limit)
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.state == Some(TargetState::Cold)
    }

    /// Returns whether the load is below the limit.
    pub(crate) fn has_room(&self) -> bool {
        self.load() < self.limit
    }

    /// Returns the time since which the target is reported as leaving.
    pub(crate) fn leaving_since(&self) -> Option<Time> {
        self.leaving_since
    }

    /// Estimates the time until one more request would be answered.
    pub(crate) fn time_to_answer(&self) -> Duration {
        let requests = u64::from(self.load()) + 1;
        let work = requests * u64::from(self.latency_us);
        Duration::from_micros(work / u64::from(self.limit.max(1)))
    }
}

fn condition(state: Option<TargetState>, limit: u32) -> Condition {
    use TargetState::{Cold, Ready, Warming};
    let usable = limit > 0 && matches!(state, Some(Cold | Warming | Ready));
    Condition { usable, cold: usable && state == Some(Cold) }
}

/// A bundle and its home and standby.
#[derive(Clone, Debug)]
struct Bundle {
    key: BundleKey,
    zone: ZoneId,
    home: Option<InstanceId>,
    standby: Option<InstanceId>,
}

/// Targets, homes and routes.
#[derive(Debug, Default)]
pub(crate) struct RoutingTable {
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// Sorted by identifier.
    pub(crate) targets: Vec<TargetEntry>,
    /// Holdings of each target, in the order of `targets`.
    holdings: Vec<Vec<Holding>>,
    /// Sorted by identifier.
    pub(crate) routes: Vec<RouteEntry>,
    /// Sorted by key.
    bundles: Vec<Bundle>,
    /// Whether operators have taken a zone out, by zone index.
    zones_out: Vec<bool>,
    /// Indices in `routes` of the routes over each service.
    service_routes: Vec<Vec<u32>>,
    /// Sorted by identifier.
    candidates: Vec<Candidate>,
    /// Zone of this instance.
    zone: ZoneId,
    /// Index of this instance's zone in the configuration.
    pub(crate) own_zone: Option<u16>,
}

impl RoutingTable {
    /// Creates an empty table for an instance in `zone`.
    pub(crate) fn new(zone: ZoneId) -> RoutingTable {
        RoutingTable { zone, ..RoutingTable::default() }
    }

    /// Returns the index of a target.
    pub(crate) fn find(&self, id: TargetId) -> Option<u32> {
        let i = self.targets.binary_search_by_key(&id, |t| t.id).ok()?;
        Some(i as u32)
    }

    /// Returns whether the newest report says that the standby of a target
    /// may send to it.
    pub(crate) fn is_shared(&self, slot: u32) -> bool {
        self.targets[slot as usize].shared
    }

    /// Returns the newest report of a target, if there is one.
    pub(crate) fn newest_report(&self, id: TargetId) -> Option<TargetReport> {
        let slot = self.find(id)? as usize;
        let t = &self.targets[slot];
        Some(TargetReport {
            target: id,
            state: t.state?,
            limit: t.limit,
            running: t.running,
            queued: t.queued,
            latency_us: t.latency_us,
            holds: self.holdings[slot].clone(),
            shared: t.shared,
        })
    }

    /// Returns the index of a route.
    pub(crate) fn route_position(&self, id: RouteId) -> Option<usize> {
        self.routes.binary_search_by_key(&id, |r| r.id).ok()
    }

    /// Returns the home and the standby of a target.
    pub(crate) fn homes(
        &self,
        slot: u32,
    ) -> (Option<InstanceId>, Option<InstanceId>) {
        match self.targets.get(slot as usize) {
            Some(t) => {
                let bundle = &self.bundles[t.bundle as usize];
                (bundle.home, bundle.standby)
            }
            None => (None, None),
        }
    }

    /// Returns whether the zone of a target is in, so that operators allow new
    /// work for the target.
    pub(crate) fn is_zone_in(&self, slot: u32) -> bool {
        self.targets
            .get(slot as usize)
            .is_some_and(|t| !self.zones_out[usize::from(t.zone)])
    }

    /// Returns whether an instance is among the live entry instances.
    pub(crate) fn is_candidate(&self, id: InstanceId) -> bool {
        self.candidates.binary_search_by_key(&id, |c| c.instance).is_ok()
    }

    /// Returns the configured name of a target.
    pub(crate) fn target_name(&self, id: TargetId) -> Option<&str> {
        let t = &self.targets[self.find(id)? as usize];
        let cfg = self.configuration.as_ref()?;
        let service = &cfg.services[t.service as usize];
        Some(&service.searchers[t.searcher as usize].name)
    }

    /// Records that a request to a target is pending.
    pub(crate) fn acquire(&mut self, slot: u32) {
        if let Some(t) = self.targets.get_mut(slot as usize) {
            t.pending += 1;
        }
    }

    /// Records that a request to a target has ended.
    pub(crate) fn release(&mut self, slot: u32) {
        if let Some(t) = self.targets.get_mut(slot as usize) {
            t.pending = t.pending.saturating_sub(1);
        }
    }

    /// Rebuilds the table for a configuration. Targets that stay keep their
    /// reports, and routes that stay keep their budgets and latencies.
    pub(crate) fn configure(
        &mut self,
        cfg: Arc<Configuration>,
        options: &QueryOptions,
        own_id: InstanceId,
    ) {
        let zone_index = |name: &str| {
            cfg.availability_zones
                .binary_search_by(|z| z.name.as_str().cmp(name))
                .ok()
        };
        let old = std::mem::take(&mut self.targets);
        let mut old_holdings = std::mem::take(&mut self.holdings);
        let ranked = std::mem::take(&mut self.bundles);
        let mut targets = Vec::with_capacity(old.len());
        let mut keys: Vec<(BundleKey, u32)> = Vec::new();
        for b in placement::bundled_searchers(&cfg) {
            let Some(zone) = zone_index(&b.searcher.availability_zone) else {
                continue;
            };
            keys.push((b.bundle, targets.len() as u32));
            targets.push(TargetEntry {
                id: b.searcher.id(),
                zone: zone as u16,
                service: b.service as u32,
                searcher: b.position as u32,
                bundle: 0,
                state: None,
                limit: 0,
                latency_us: 0,
                queued: 0,
                running: 0,
                pending: 0,
                reported_pending: 0,
                shared: false,
                leaving_since: None,
            });
        }
        keys.sort_unstable();
        for (key, i) in keys {
            if self.bundles.last().is_none_or(|b| b.key != key) {
                let zone = &cfg.availability_zones
                    [usize::from(targets[i as usize].zone)];
                self.bundles.push(Bundle {
                    key,
                    zone: ZoneId::from_name(&zone.name),
                    home: None,
                    standby: None,
                });
            }
            targets[i as usize].bundle = self.bundles.len() as u32 - 1;
        }
        targets.sort_unstable_by_key(|t| t.id);
        self.holdings.resize_with(targets.len(), Vec::new);
        for (t, holds) in targets.iter_mut().zip(&mut self.holdings) {
            if let Ok(i) = old.binary_search_by_key(&t.id, |x| x.id) {
                let x = &old[i];
                t.state = x.state;
                t.limit = x.limit;
                t.latency_us = x.latency_us;
                t.queued = x.queued;
                t.running = x.running;
                *holds = std::mem::take(&mut old_holdings[i]);
                t.pending = x.pending;
                t.reported_pending = x.reported_pending;
                t.shared = x.shared;
                t.leaving_since = x.leaving_since;
            }
        }
        self.targets = targets;
        self.zones_out = cfg
            .availability_zones
            .iter()
            .map(|z| cfg.zone_is_out(&z.name))
            .collect();
        self.own_zone = cfg
            .availability_zones
            .iter()
            .position(|z| ZoneId::from_name(&z.name) == self.zone)
            .map(|i| i as u16);
        self.configure_routes(&cfg, options);
        self.configuration = Some(cfg);
        self.rank_bundles(&ranked, options, own_id);
        for slot in 0..self.targets.len() {
            self.index_target(slot as u32, true);
        }
    }

    /// Rebuilds the routes and their relation to services.
    fn configure_routes(&mut self, cfg: &Configuration, opt: &QueryOptions) {
        let percent = cfg.limits.extra_load_percent;
        let mut old = std::mem::take(&mut self.routes);
        for route in &cfg.routes {
            let id = route.id();
            let known = old.iter().position(|r| r.id == id);
            let (mut extra_budget, latencies, last_resort_logged) = match known
            {
                Some(i) => {
                    let r = old.swap_remove(i);
                    (r.extra_budget, r.latencies, r.last_resort_logged)
                }
                None => (
                    ExtraLoadBudget::new(percent, opt.extra_load_burst),
                    Latencies::new(),
                    None,
                ),
            };
            extra_budget.configure(percent, opt.extra_load_burst);
            self.routes.push(RouteEntry {
                id,
                shards: configured_shards(route),
                shares: zone_shares(cfg, route),
                deadline: Duration::from_millis(route.deadline_ms.into()),
                priority: route.priority,
                policy: route.policy,
                repeatable: route.repeatable,
                index: RouteIndex::default(),
                newest_snapshot: None,
                extra_budget,
                latencies,
                last_resort_logged,
            });
        }
        self.routes.sort_unstable_by_key(|r| r.id);
        self.service_routes = vec![Vec::new(); cfg.services.len()];
        for route in &cfg.routes {
            let Some(r) = self.route_position(route.id()) else { continue };
            for name in &route.services {
                let found = cfg
                    .services
                    .binary_search_by(|s| s.name.as_str().cmp(name));
                if let Ok(s) = found
                    && !self.service_routes[s].contains(&(r as u32))
                {
                    self.service_routes[s].push(r as u32);
                }
            }
        }
    }

    /// Replaces the live entry instances and updates the homes and standbys of
    /// all bundles.
    pub(crate) fn set_candidates(
        &mut self,
        candidates: Vec<Candidate>,
        options: &QueryOptions,
    ) {
        let old = std::mem::replace(&mut self.candidates, candidates);
        if options.mode == DispatchMode::Direct {
            return;
        }
        let is_absent = |list: &[Candidate], c: &Candidate| {
            list.binary_search_by_key(&c.instance, |x| x.instance)
                .ok()
                .is_none_or(|i| list[i].zone != c.zone)
        };
        let added: Vec<Candidate> = self
            .candidates
            .iter()
            .filter(|c| is_absent(&old, c))
            .copied()
            .collect();
        // An instance that changed its zone counts as removed, so that the
        // bundles that it served are ranked again.
        let unchanged = |id: Option<InstanceId>| {
            let id = id?;
            let find = |list: &[Candidate]| {
                list.binary_search_by_key(&id, |c| c.instance)
                    .ok()
                    .map(|i| list[i])
            };
            let now = find(&self.candidates)?;
            (find(&old) == Some(now)).then_some(now)
        };
        let mut shortlist = Vec::with_capacity(added.len() + 2);
        for bundle in &mut self.bundles {
            let (home, standby) =
                (unchanged(bundle.home), unchanged(bundle.standby));
            // The first two of a ranking are also the first two of every
            // subset that contains them, so only added instances can displace
            // them.
            let ranked = match (home, standby) {
                (Some(home), Some(standby)) => {
                    shortlist.clear();
                    shortlist.extend([home, standby]);
                    shortlist.extend_from_slice(&added);
                    placement::rank(bundle.key, bundle.zone, &shortlist)
                }
                _ => {
                    placement::rank(bundle.key, bundle.zone, &self.candidates)
                }
            };
            (bundle.home, bundle.standby) = ranked;
        }
    }

    /// Copies the homes of bundles in `ranked` and ranks only the others,
    /// because ranking all bundles at the design size takes millions of
    /// hashes.
    fn rank_bundles(
        &mut self,
        ranked: &[Bundle],
        options: &QueryOptions,
        own_id: InstanceId,
    ) {
        for bundle in &mut self.bundles {
            if let Ok(i) = ranked.binary_search_by_key(&bundle.key, |b| b.key)
                && ranked[i].zone == bundle.zone
            {
                bundle.home = ranked[i].home;
                bundle.standby = ranked[i].standby;
                continue;
            }
            (bundle.home, bundle.standby) = match options.mode {
                DispatchMode::Direct => (Some(own_id), None),
                DispatchMode::Home => {
                    placement::rank(bundle.key, bundle.zone, &self.candidates)
                }
            };
        }
    }

    /// Applies a report, if it comes from the target's home or standby. If it
    /// changes the newest snapshot of a route, returns the targets of the route
    /// with the newest snapshot of all of their routes.
    pub(crate) fn report(
        &mut self,
        now: Time,
        from: InstanceId,
        report: TargetReport,
    ) -> Vec<(TargetId, Option<Snapshot>)> {
        let Some(slot) = self.find(report.target) else { return Vec::new() };
        let (home, standby) = self.homes(slot);
        if home != Some(from) && standby != Some(from) {
            return Vec::new();
        }
        let t = &mut self.targets[slot as usize];
        let TargetReport { state, limit, running, queued, mut holds, .. } =
            report;
        holds.truncate(MAX_HOLDINGS);
        let reindex = t.condition() != condition(Some(state), limit)
            || self.holdings[slot as usize] != holds;
        if reindex {
            self.index_target(slot, false);
        }
        let t = &mut self.targets[slot as usize];
        t.state = Some(state);
        t.limit = limit;
        t.latency_us = report.latency_us;
        t.shared = report.shared;
        t.running = running.min(1 << 20);
        t.queued = queued.min(1 << 20);
        t.reported_pending = t.pending;
        t.leaving_since = match state {
            TargetState::Leaving => t.leaving_since.or(Some(now)),
            _ => None,
        };
        if !reindex {
            return Vec::new();
        }
        self.holdings[slot as usize] = holds;
        self.index_target(slot, true);
        self.update_newest_snapshots(slot)
    }

    /// Updates the newest snapshots of a target's routes, and returns what
    /// `report` does.
    fn update_newest_snapshots(
        &mut self,
        slot: u32,
    ) -> Vec<(TargetId, Option<Snapshot>)> {
        let service = self.targets[slot as usize].service;
        let mut changed = Vec::new();
        for &r in &self.service_routes[service as usize] {
            let route = &mut self.routes[r as usize];
            let newest = route.index.snapshots.first().map(|x| x.snapshot);
            if route.newest_snapshot != newest {
                route.newest_snapshot = newest;
                changed.push(r);
            }
        }
        if changed.is_empty() {
            return Vec::new();
        }
        let newest_for = |t: &TargetEntry| {
            let routes = &self.service_routes[t.service as usize];
            let newest = |r: &u32| self.routes[*r as usize].newest_snapshot;
            let is_affected = routes.iter().any(|r| changed.contains(r));
            is_affected.then(|| (t.id, routes.iter().filter_map(newest).max()))
        };
        self.targets.iter().filter_map(newest_for).collect()
    }

    /// Adds a target to the indexes of its routes or removes it. Targets in a
    /// zone that is out are not indexed, so that they cannot be chosen.
    fn index_target(&mut self, slot: u32, add: bool) {
        let t = &self.targets[slot as usize];
        if self.zones_out[usize::from(t.zone)] {
            return;
        }
        let condition = t.condition();
        let target = (t.zone, slot);
        for &r in &self.service_routes[t.service as usize] {
            let index = &mut self.routes[r as usize].index;
            for h in &self.holdings[slot as usize] {
                if add {
                    index.insert(h, target, condition);
                } else {
                    index.remove(h, target, condition);
                }
            }
        }
    }
}
