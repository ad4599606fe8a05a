//! The forwarding table: the services to which callers' requests are
//! forwarded.

use std::{fmt, sync::Arc};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::{RouteId, ServiceId, TeamId};

/// Routes by host and path, and the services to which they refer.
#[derive(
    Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct Forwarding {
    /// Revision number assigned by the operator. The highest is in force.
    pub revision: u64,
    /// Routes, in any order.
    pub routes: Vec<ForwardRoute>,
    /// Services whose targets the platform lists.
    pub services: Vec<ForwardService>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// The operator's original document, if it was translated.
    pub source: String,
    /// Teams, in any order. If there are any, callers of routes that are not
    /// public identify their team by a key.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Team>,
}

/// A team whose callers identify themselves by a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name, which targets receive. Several teams may have the same one.
    pub name: String,
    /// Digests of the keys. The keys themselves are not kept.
    pub keys: Vec<KeyDigest>,
    /// Priority of the team's requests, which replaces that of the route;
    /// 0 is the most urgent.
    pub priority: Option<u32>,
    /// Limit on the team's requests at all instances together; `None` if
    /// there is none.
    pub limit: Option<RateLimit>,
}

/// SHA-256 digest of a key. Its `Debug` representation does not contain it,
/// because a short key could be found from its digest.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: impl AsRef<[u8]>) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_ref()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A limit on the rate of requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Further requests that may come at once.
    pub burst: f64,
}

/// A route to targets that the platform lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ForwardRoute {
    /// Name for logs and metrics. Several routes may have the same one.
    pub name: String,
    /// Host of the request. A port is ignored, and so is the case of letters.
    pub host: String,
    /// Prefix of the path, which starts and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Request timeout, in milliseconds.
    pub timeout_ms: u32,
    /// Latency objective, within which a response has its full value, in
    /// milliseconds.
    pub objective_ms: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of targets of each service on which one request may
    /// run.
    pub max_attempts: u32,
    /// Destination of the requests.
    pub destination: Destination,
    /// Whether callers need no key.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
}

/// Returns whether a field has its default and is left out.
fn is_false(value: &bool) -> bool {
    !value
}

/// The services to which the requests of a route are sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Destination {
    /// One target of the service.
    Service(String),
    /// One target of one service, which is selected by weight.
    Split(Vec<WeightedService>),
    /// One target of every service. The answers are merged.
    Shards {
        /// The services, each of which holds one shard.
        services: Vec<String>,
        /// Maximum number of records in a merged response.
        top: u32,
        /// Smallest fraction of the shards in a merged response, between 0
        /// and 1.
        min_coverage: f64,
    },
}

/// A service and its weight in a split route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the sum of all weights.
    pub weight: f64,
}

/// A service whose targets the platform lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ForwardService {
    /// Name, unique in the table.
    pub name: String,
    /// Number of connections that one target accepts from all instances
    /// together.
    pub connections: u32,
}

/// Limits on the size and duration of callers' requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: u32,
    /// Largest request body, in bytes.
    pub body_bytes: u32,
    /// Longest time to receive a request head, in milliseconds.
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
    /// Returns the names of all services to which requests may be sent.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let (single, split, shards): (_, &[WeightedService], &[String]) =
            match self {
                Destination::Service(name) => (Some(name), &[], &[]),
                Destination::Split(parts) => (None, parts, &[]),
                Destination::Shards { services, .. } => (None, &[], services),
            };
        single
            .into_iter()
            .map(String::as_str)
            .chain(split.iter().map(|p| p.service.as_str()))
            .chain(shards.iter().map(String::as_str))
    }
}

impl Forwarding {
    /// Returns a description of each problem of the table, one line each.
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
        let mut keys: Vec<(String, &str)> = self
            .routes
            .iter()
            .map(|r| (host_name(&r.host), r.path_prefix.as_str()))
            .collect();
        keys.sort_unstable();
        for pair in keys.windows(2).filter(|p| p[0] == p[1]) {
            let (host, prefix) = &pair[0];
            problems.push(format!(
                "two routes share host {host:?} and prefix {prefix:?}"
            ));
        }
        self.team_problems(&mut problems);
        problems
    }

    /// Adds the problems of the teams. None of them contains a key or its
    /// digest.
    fn team_problems(&self, problems: &mut Vec<String>) {
        for team in &self.teams {
            let name = &team.name;
            if !is_header_value(name) {
                problems.push(format!(
                    "the name of team {name:?} cannot be sent in a header"
                ));
            }
            if let Some(limit) = team.limit {
                let RateLimit { per_second, burst } = limit;
                if !(per_second > 0.0 && per_second.is_finite()) {
                    problems.push(format!(
                        "the limit of team {name:?} has a rate of {per_second}"
                    ));
                }
                if !(burst >= 0.0 && burst.is_finite()) {
                    problems.push(format!(
                        "the limit of team {name:?} has a burst of {burst}"
                    ));
                }
            }
        }
        let mut keys: Vec<(KeyDigest, usize)> = self
            .teams
            .iter()
            .enumerate()
            .flat_map(|(i, t)| t.keys.iter().map(move |k| (*k, i)))
            .collect();
        keys.sort_unstable();
        // A team may list a key twice.
        keys.dedup();
        for pair in keys.windows(2).filter(|p| p[0].0 == p[1].0) {
            let mut names =
                [pair[0].1, pair[1].1].map(|i| &self.teams[i].name);
            names.sort_unstable();
            let [first, second] = names;
            problems
                .push(format!("teams {first:?} and {second:?} share a key"));
        }
    }
}

/// Returns whether a text can be sent as the value of a header and is received
/// unchanged.
fn is_header_value(text: &str) -> bool {
    let visible = |b: u8| (b' '..=b'~').contains(&b);
    !text.is_empty() && text.trim() == text && text.bytes().all(visible)
}

/// A route with precomputed identifiers.
#[derive(Clone, Debug)]
pub struct CompiledRoute {
    /// The route as configured.
    pub route: ForwardRoute,
    /// Identifier of the route.
    pub id: RouteId,
    /// Name in logs and metrics, followed by the host and the prefix if other
    /// routes of the table have the same name.
    pub label: String,
    /// Revision of the table that the route belongs to.
    pub revision: u64,
    /// Identifiers of the services, in the order of the configuration.
    pub services: Vec<ServiceId>,
}

impl CompiledRoute {
    /// Returns whether the answers of several targets are merged.
    pub fn is_sharded(&self) -> bool {
        matches!(self.route.destination, Destination::Shards { .. })
    }

    /// Returns the maximum number of records in a merged response.
    pub fn top(&self) -> usize {
        match &self.route.destination {
            Destination::Shards { top, .. } => *top as usize,
            _ => 0,
        }
    }

    /// Returns the smallest number of answered shards that allows a response.
    pub fn required_shards(&self) -> usize {
        match &self.route.destination {
            Destination::Shards { services, min_coverage, .. } => {
                let total = services.len();
                // The subtraction tolerates floating-point error, which would
                // otherwise round a product such as 0.55 * 100 up to 56.
                let required = (min_coverage * total as f64 - 1e-9).ceil();
                (required.max(1.0) as usize).min(total)
            }
            _ => 1,
        }
    }
}

/// A team with its identifier.
#[derive(Clone, Debug)]
pub struct CompiledTeam {
    /// The team as configured.
    pub team: Team,
    /// Identifier of the team.
    pub id: TeamId,
}

/// A forwarding table with sorted routes and services for lookups.
#[derive(Clone, Debug, Default)]
pub struct CompiledTable {
    /// Revision number assigned by the operator.
    pub revision: u64,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Services, sorted by identifier.
    pub services: Vec<(ServiceId, ForwardService)>,
    /// Teams, sorted by identifier.
    pub teams: Vec<Arc<CompiledTeam>>,
    /// Keys and the identifiers of their teams, sorted by key.
    keys: Vec<(KeyDigest, TeamId)>,
    /// Routes, sorted by host and prefix.
    routes: Vec<Arc<CompiledRoute>>,
}

impl CompiledTable {
    /// Compiles a table without problems.
    pub fn new(table: &Forwarding) -> CompiledTable {
        let mut names: Vec<&str> =
            table.routes.iter().map(|r| r.name.as_str()).collect();
        names.sort_unstable();
        let mut routes: Vec<_> = table
            .routes
            .iter()
            .map(|route| {
                let mut route = route.clone();
                route.host = host_name(&route.host);
                let label = label(&route, &names);
                let services = route
                    .destination
                    .services()
                    .map(ServiceId::from_name)
                    .collect();
                let id = RouteId::from_host_and_prefix(
                    &route.host,
                    &route.path_prefix,
                );
                let revision = table.revision;
                Arc::new(CompiledRoute {
                    route,
                    id,
                    label,
                    revision,
                    services,
                })
            })
            .collect();
        routes.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        let mut services: Vec<_> = table
            .services
            .iter()
            .map(|s| (ServiceId::from_name(&s.name), s.clone()))
            .collect();
        services.sort_by_key(|s| s.0);
        let earlier = teams_of_name_before(&table.teams);
        let mut teams: Vec<_> = table
            .teams
            .iter()
            .enumerate()
            .map(|(i, team)| {
                let id = TeamId::from_name_after(&team.name, earlier[i]);
                Arc::new(CompiledTeam { team: team.clone(), id })
            })
            .collect();
        teams.sort_by_key(|t| t.id);
        let mut keys: Vec<_> = teams
            .iter()
            .flat_map(|t| t.team.keys.iter().map(|k| (*k, t.id)))
            .collect();
        keys.sort_unstable();
        keys.dedup();
        let (revision, limits) = (table.revision, table.limits);
        CompiledTable { revision, limits, services, teams, keys, routes }
    }

    /// Returns whether callers of a route identify their team by a key.
    pub fn needs_key(&self, route: &CompiledRoute) -> bool {
        !self.teams.is_empty() && !route.route.public
    }

    /// Returns the priority of the requests of a team on a route.
    pub fn priority(
        &self,
        route: &CompiledRoute,
        team: Option<TeamId>,
    ) -> u32 {
        let team = team.and_then(|id| self.team(id));
        team.and_then(|t| t.team.priority).unwrap_or(route.route.priority)
    }

    /// Returns the team to which a key belongs.
    pub fn team_of_key(&self, key: &KeyDigest) -> Option<TeamId> {
        let found = self.keys.binary_search_by_key(key, |k| k.0);
        found.ok().map(|i| self.keys[i].1)
    }

    /// Returns the position of a key among the keys of the table. It names the
    /// key to an instance that has the same revision.
    pub fn position_of_key(&self, key: &KeyDigest) -> Option<u32> {
        let found = self.keys.binary_search_by_key(key, |k| k.0);
        found.ok().map(|i| i as u32)
    }

    /// Returns the key at a position.
    pub fn key_at(&self, position: u32) -> Option<KeyDigest> {
        self.keys.get(position as usize).map(|k| k.0)
    }

    /// Returns the team with this identifier.
    pub fn team(&self, id: TeamId) -> Option<&Arc<CompiledTeam>> {
        let found = self.teams.binary_search_by_key(&id, |t| t.id);
        found.ok().map(|i| &self.teams[i])
    }

    /// Returns the route of the host whose prefix is the longest that matches
    /// the path. The host may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CompiledRoute>> {
        let host = host_name(host);
        let mut remaining = path;
        while let Some(slash) = remaining.rfind('/') {
            let prefix = &path[..=slash];
            let found = self
                .routes
                .binary_search_by(|r| sort_key(r).cmp(&(&host, prefix)));
            if let Ok(i) = found {
                return Some(&self.routes[i]);
            }
            remaining = &path[..slash];
        }
        None
    }

    /// Returns all routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Arc<CompiledRoute>] {
        &self.routes
    }
}

/// Returns the name by which a host is compared: without its port, and in
/// lower case.
fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.parse::<u16>().is_ok() => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Returns, for each team, the number of teams with its name before it.
fn teams_of_name_before(teams: &[Team]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..teams.len()).collect();
    order.sort_by_key(|&i| &teams[i].name);
    let mut before = vec![0; teams.len()];
    for pair in order.windows(2) {
        if teams[pair[0]].name == teams[pair[1]].name {
            before[pair[1]] = before[pair[0]] + 1;
        }
    }
    before
}

/// Returns the name of a route in logs and metrics; `names` holds the names of
/// all routes, sorted.
fn label(route: &ForwardRoute, names: &[&str]) -> String {
    let ForwardRoute { name, host, path_prefix, .. } = route;
    let first = names.partition_point(|n| *n < name.as_str());
    if names.get(first + 1) == Some(&name.as_str()) {
        format!("{name} ({host}{path_prefix})")
    } else {
        name.clone()
    }
}

/// Returns the host and the prefix by which routes are sorted.
fn sort_key(route: &CompiledRoute) -> (&str, &str) {
    (&route.route.host, &route.route.path_prefix)
}
