/*!
The site configuration, which operators change at run time.

The replicated log stores each version as one complete document. Documents are
validated before they are committed, so the reducers rely on their invariants:
names are unique, references resolve, and the shares of a route add up to 100
percent. The forwarding table is also checked before it is installed. Vectors
are sorted by name, so that lookups can use binary search.
*/

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    forward::table::Forwarding,
    id::{RouteId, TargetId, ZoneId},
    rollout::{self, Rollout},
};

/// The whole configuration of a site.
#[derive(
    Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Availability zones, sorted by name.
    pub availability_zones: Vec<AvailabilityZone>,
    /// Services and their searchers, sorted by name.
    pub services: Vec<Service>,
    /// Query routes, sorted by name.
    pub routes: Vec<Route>,
    /// Limits that apply to all routes.
    #[serde(default)]
    pub limits: Limits,
    /// Forwarding routes, to targets on the platform's list.
    #[serde(default)]
    pub forwarding: Forwarding,
    /// Last roll-out of each service that had one, sorted by service. The
    /// control group keeps them; operators do not write them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[schemars(skip)]
    pub rollouts: Vec<Rollout>,
}

/// An availability zone and whether its targets get new requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Unique name.
    pub name: String,
    /// Whether targets in the zone get new requests.
    #[serde(default)]
    pub state: ZoneState,
}

/// Whether the targets of an availability zone get new requests: its searchers
/// and the targets of forwarding routes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Targets in the zone get requests.
    #[default]
    In,
    /// Targets in the zone get no new requests.
    Out,
}

/// A named group of searchers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Searchers, sorted by name.
    pub searchers: Vec<Searcher>,
}

/// A target that serves shards of the index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Searcher {
    /// Unique name across all services.
    pub name: String,
    /// Address of the searcher's HTTP server.
    pub address: SocketAddr,
    /// Name of its availability zone.
    pub availability_zone: String,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that it accepts from all instances.
    pub connections: u32,
    /// Cost to the searcher of a new connection, in milliseconds.
    #[serde(default)]
    pub connect_cost_ms: u32,
}

/// A query route: the services that answer it and the share of the load that
/// each availability zone takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name, which callers give in the URL.
    pub name: String,
    /// Names of the services that hold the route's index.
    pub services: Vec<String>,
    /// Shards to query; all shards of the snapshot if absent.
    #[serde(default)]
    pub shards: Option<Vec<u32>>,
    /// Share of the load for each availability zone. The shares add up to 100.
    pub shares: Vec<ZoneShare>,
    /// Deadline of queries that do not set one, in milliseconds.
    pub deadline_ms: u32,
    /// Priority of the route's queries under overload.
    #[serde(default)]
    pub priority: Priority,
    /// Condition under which the route's queries are answered.
    #[serde(default)]
    pub policy: AnswerPolicy,
    /// Whether a request may be sent to a target more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

fn default_repeatable() -> bool {
    true
}

/// The share of a route's load that an availability zone takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ZoneShare {
    /// Name of the availability zone.
    pub availability_zone: String,
    /// Share in percent.
    pub percent: u32,
}

/// Priority of requests under overload. Those of the lowest priority are
/// refused first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served first.
    Urgent,
    /// Served after urgent requests.
    #[default]
    Normal,
    /// Served last and refused first.
    Report,
}

/// Condition under which a query is answered.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum AnswerPolicy {
    /// Answers once every shard has answered or can no longer be answered, or
    /// at the deadline.
    #[default]
    Coverage,
    /// Also answers before that, once enough shards have answered and hedges
    /// for the others have had time to answer.
    Latency {
        /// Percentage of the queried shards that has to answer.
        enough_percent: u32,
    },
}

/// Limits that apply to all routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of hedges and retries, in percent of the first requests
    /// to targets.
    pub extra_load_percent: u32,
    /// Largest body of a caller's request, in bytes.
    pub max_body_bytes: u32,
    /// Maximum number of queries that an entry instance serves at the same
    /// time.
    pub max_in_flight: u32,
    /// Number of searchers of a service and zone that share one home
    /// instance.
    pub bundle_size: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            extra_load_percent: 5,
            max_body_bytes: 1 << 20,
            max_in_flight: 1_000,
            bundle_size: 1,
        }
    }
}

impl Configuration {
    /// Sorts every vector that is searched by name.
    pub fn sort(&mut self) {
        self.availability_zones.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.rollouts.sort_by(|a, b| a.service.cmp(&b.service));
        for service in &mut self.services {
            service.searchers.sort_by(|a, b| a.name.cmp(&b.name));
        }
        for route in &mut self.routes {
            route
                .shares
                .sort_by(|a, b| a.availability_zone.cmp(&b.availability_zone));
        }
    }

    /// Finds a route by name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        let i = self
            .routes
            .binary_search_by(|r| r.name.as_str().cmp(name))
            .ok()?;
        Some(&self.routes[i])
    }

    /// Returns whether a route is known and its requests may run more than
    /// once.
    pub fn is_repeatable(&self, route: &str) -> bool {
        self.route(route).is_some_and(|r| r.repeatable)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let i = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name))
            .ok()?;
        Some(&self.services[i])
    }

    /// Finds the last roll-out of a service.
    pub fn rollout(&self, service: &str) -> Option<&Rollout> {
        rollout::find(&self.rollouts, service)
    }

    /// Returns whether operators have taken the zone out of service.
    pub fn zone_is_out(&self, name: &str) -> bool {
        self.availability_zones
            .binary_search_by(|z| z.name.as_str().cmp(name))
            .is_ok_and(|i| self.availability_zones[i].state == ZoneState::Out)
    }

    /// Returns all searchers, each with the service that it belongs to.
    pub fn searchers(&self) -> impl Iterator<Item = (&Service, &Searcher)> {
        self.services
            .iter()
            .flat_map(|s| s.searchers.iter().map(move |x| (s, x)))
    }
}

impl Route {
    /// Returns the identifier of the route.
    pub fn id(&self) -> RouteId {
        RouteId::from_name(&self.name)
    }
}

impl Searcher {
    /// Returns the identifier of the searcher as a target.
    pub fn id(&self) -> TargetId {
        TargetId::from_name(&self.name)
    }

    /// Returns the identifier of its availability zone.
    pub fn zone(&self) -> ZoneId {
        ZoneId::from_name(&self.availability_zone)
    }
}
