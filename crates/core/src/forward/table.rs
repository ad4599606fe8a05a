//! Forwarding routes: which requests of callers go to which services.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{RouteId, ServiceId};

/// Routes by host and path, and the services that they name.
#[derive(
    Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct Forwarding {
    /// Number that the operators gave this table; the highest is in force.
    pub revision: u64,
    /// Routes; sorted by host and path prefix once compiled.
    pub routes: Vec<ForwardRoute>,
    /// Services whose targets the platform lists.
    pub services: Vec<ForwardService>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The document as the operator sent it, where it was translated.
    pub source: String,
}

/// A route to targets that the platform lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ForwardRoute {
    /// Name, unique in the table.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Beginning of the path, from slash to slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time that a caller waits, in milliseconds.
    pub timeout_ms: u32,
    /// Time within which a response is worth its full value, in milliseconds.
    pub objective_ms: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Targets, for each service, that one request may run on.
    pub max_attempts: u32,
    /// Where requests go.
    pub destination: Destination,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Destination {
    /// To one target of the service.
    Service(String),
    /// To one target of one of the services, by weight.
    Split(Vec<WeightedService>),
    /// To one target of every service; the responses are merged.
    Shards {
        /// The services, each of which holds one shard.
        services: Vec<String>,
        /// Records in a merged response.
        top: u32,
        /// Least share of the shards, 0 to 1, in a merged response.
        min_coverage: f64,
    },
}

/// A service and its part of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Part of the requests, relative to the sum of all weights.
    pub weight: f64,
}

/// A service whose targets the platform lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ForwardService {
    /// Name, unique in the table.
    pub name: String,
    /// Connections that one target accepts from all instances together.
    pub connections: u32,
}

/// What callers may send, and how long they may take.
#[derive(
    Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: u32,
    /// Largest body of a request, in bytes.
    pub body_bytes: u32,
    /// Longest time to send a head, in milliseconds.
    pub header_timeout_ms: u32,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u32,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Destination {
    /// Names of all services that requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let (one, split, shards): (_, &[WeightedService], &[String]) =
            match self {
                Destination::Service(name) => (Some(name), &[], &[]),
                Destination::Split(parts) => (None, parts, &[]),
                Destination::Shards { services, .. } => (None, &[], services),
            };
        one.into_iter()
            .map(String::as_str)
            .chain(split.iter().map(|p| p.service.as_str()))
            .chain(shards.iter().map(String::as_str))
    }
}

impl Forwarding {
    /// Says what is wrong with the table, one line for each problem.
    pub fn problems(&self) -> Vec<String> {
        let mut names: Vec<&str> =
            self.services.iter().map(|s| s.name.as_str()).collect();
        names.sort_unstable();
        let mut problems = Vec::new();
        for route in &self.routes {
            let name = &route.name;
            for service in route.destination.services() {
                if names.binary_search(&service).is_err() {
                    problems.push(format!(
                        "route {name:?} names the unknown service {service:?}"
                    ));
                }
            }
            if route.timeout_ms == 0 {
                problems.push(format!("route {name:?} has a timeout of 0"));
            }
            if let Destination::Split(parts) = &route.destination {
                let sum: f64 = parts.iter().map(|p| p.weight).sum();
                let negative = parts.iter().any(|p| p.weight < 0.0);
                if negative || !(sum > 0.0 && sum.is_finite()) {
                    problems.push(format!(
                        "the weights of route {name:?} add up to {sum}"
                    ));
                }
            }
            if let Destination::Shards { services, .. } = &route.destination
                && (services.is_empty() || !route.repeatable)
            {
                problems.push(format!(
                    "route {name:?} asks shards, so it needs at least one \
                     and must be repeatable"
                ));
            }
        }
        let mut places: Vec<(String, &str)> = self
            .routes
            .iter()
            .map(|r| (r.host.to_ascii_lowercase(), r.path_prefix.as_str()))
            .collect();
        places.sort_unstable();
        for pair in places.windows(2).filter(|p| p[0] == p[1]) {
            let (host, prefix) = &pair[0];
            problems.push(format!(
                "two routes share host {host:?} and prefix {prefix:?}"
            ));
        }
        problems
    }
}

/// A route with the lookups that serving it needs.
#[derive(Clone, Debug)]
pub struct CompiledRoute {
    /// The route as configured.
    pub route: ForwardRoute,
    /// Identifier of the route.
    pub id: RouteId,
    /// Identifiers of its services, in the order of the configuration.
    pub services: Vec<ServiceId>,
}

impl CompiledRoute {
    /// Whether responses of several targets are merged.
    pub fn is_sharded(&self) -> bool {
        matches!(self.route.destination, Destination::Shards { .. })
    }

    /// Records in a merged response.
    pub fn top(&self) -> usize {
        match &self.route.destination {
            Destination::Shards { top, .. } => *top as usize,
            _ => 0,
        }
    }

    /// Number of shards that a response needs at least.
    pub fn needed(&self) -> usize {
        match &self.route.destination {
            Destination::Shards { services, min_coverage, .. } => {
                let total = services.len();
                // The small term keeps 0.9 * 10 from being rounded up to 10.
                let least = (min_coverage * total as f64 - 1e-9).ceil();
                (least.max(1.0) as usize).min(total)
            }
            _ => 1,
        }
    }
}

/// A table that is ready to serve.
#[derive(Clone, Debug, Default)]
pub struct CompiledTable {
    /// Number that the operators gave the table.
    pub revision: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Services, sorted by identifier.
    pub services: Vec<(ServiceId, ForwardService)>,
    /// Routes, sorted by host and prefix.
    routes: Vec<Arc<CompiledRoute>>,
}

impl CompiledTable {
    /// Prepares a table that has no problems.
    pub fn new(table: &Forwarding) -> CompiledTable {
        let mut routes: Vec<_> = table
            .routes
            .iter()
            .map(|route| {
                let mut route = route.clone();
                route.host.make_ascii_lowercase();
                let services = route
                    .destination
                    .services()
                    .map(ServiceId::from_name)
                    .collect();
                let id = RouteId::from_name(&route.name);
                Arc::new(CompiledRoute { route, id, services })
            })
            .collect();
        routes.sort_by(|a, b| place(a).cmp(&place(b)));
        let mut services: Vec<_> = table
            .services
            .iter()
            .map(|s| (ServiceId::from_name(&s.name), s.clone()))
            .collect();
        services.sort_by_key(|s| s.0);
        let (revision, limits) = (table.revision, table.limits);
        CompiledTable { revision, limits, services, routes }
    }

    /// The route of the host whose prefix is the longest that begins the
    /// path. The host may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CompiledRoute>> {
        let host = match host.rsplit_once(':') {
            Some((name, port)) if port.parse::<u16>().is_ok() => name,
            _ => host,
        };
        let host = host.to_ascii_lowercase();
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            let prefix = &path[..=slash];
            let found = self
                .routes
                .binary_search_by(|r| place(r).cmp(&(&host, prefix)));
            if let Ok(i) = found {
                return Some(&self.routes[i]);
            }
            rest = &path[..slash];
        }
        None
    }

    /// All routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Arc<CompiledRoute>] {
        &self.routes
    }
}

fn place(route: &CompiledRoute) -> (&str, &str) {
    (&route.route.host, &route.route.path_prefix)
}
