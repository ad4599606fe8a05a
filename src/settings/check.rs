/*!
Checks of a site configuration that a schema cannot express.

They run on a view in which every field may be missing, so that the valid
parts of a document with schema errors are checked too.
*/

use std::{collections::BTreeMap, net::SocketAddr};

use primrosemast_core::{
    config::{AnswerPolicy, Configuration, ZoneState},
    forward::table::Forwarding,
};
use serde::Deserialize;
use serde_json::Value;

use super::{
    findings::{
        check_shards, check_unique_names, malformed_address, unknown_zone,
    },
    problem::{Finding, Problem, Segment, path_text, segments},
};

/// Checks the rules that the type of a configuration does not enforce.
///
/// Paths in the problems refer to `configuration`. Problems may be warnings;
/// see [`Problem::is_error`].
pub fn check_configuration(configuration: &Configuration) -> Vec<Problem> {
    let mut problems: Vec<Problem> = View::of(configuration)
        .check()
        .into_iter()
        .map(|finding| {
            let path = path_text(&finding.path);
            finding.into_problem(String::new(), 0, path)
        })
        .collect();
    problems.sort();
    problems
}

/// Checks a document that may also have schema errors.
pub(crate) fn check_value(document: &Value) -> Vec<Finding> {
    View::of_value(document).check()
}

/// The parts of a configuration that the checks read.
#[derive(Default)]
struct View<'a> {
    zones: Vec<ZoneView<'a>>,
    services: Vec<ServiceView<'a>>,
    routes: Vec<RouteView<'a>>,
    limits: Vec<(&'static str, u64)>,
    /// Problems of the forwarding table.
    forwarding: Vec<String>,
}

struct ZoneView<'a> {
    name: Option<&'a str>,
    out: bool,
}

struct ServiceView<'a> {
    name: Option<&'a str>,
    searchers: Vec<SearcherView<'a>>,
}

struct SearcherView<'a> {
    name: Option<&'a str>,
    address: Option<Address<'a>>,
    zone: Option<&'a str>,
    slots: Option<u64>,
    connections: Option<u64>,
}

enum Address<'a> {
    Parsed(SocketAddr),
    Malformed(&'a str),
}

struct RouteView<'a> {
    name: Option<&'a str>,
    services: Vec<Option<&'a str>>,
    shards: Option<Vec<Option<u64>>>,
    shares: Vec<(Option<&'a str>, Option<u64>)>,
    deadline_ms: Option<u64>,
    enough_percent: Option<u64>,
}

impl<'a> View<'a> {
    fn of(configuration: &'a Configuration) -> View<'a> {
        let limits = &configuration.limits;
        View {
            forwarding: configuration.forwarding.problems(),
            zones: configuration
                .availability_zones
                .iter()
                .map(|z| ZoneView {
                    name: Some(&z.name),
                    out: z.state == ZoneState::Out,
                })
                .collect(),
            services: configuration
                .services
                .iter()
                .map(|s| ServiceView {
                    name: Some(&s.name),
                    searchers: s
                        .searchers
                        .iter()
                        .map(|x| SearcherView {
                            name: Some(&x.name),
                            address: Some(Address::Parsed(x.address)),
                            zone: Some(&x.availability_zone),
                            slots: Some(x.slots.into()),
                            connections: Some(x.connections.into()),
                        })
                        .collect(),
                })
                .collect(),
            routes: configuration
                .routes
                .iter()
                .map(|r| RouteView {
                    name: Some(&r.name),
                    services: r
                        .services
                        .iter()
                        .map(|s| Some(s.as_str()))
                        .collect(),
                    shards: r.shards.as_ref().map(|shards| {
                        shards.iter().map(|s| Some(u64::from(*s))).collect()
                    }),
                    shares: r
                        .shares
                        .iter()
                        .map(|s| {
                            let zone = s.availability_zone.as_str();
                            (Some(zone), Some(s.percent.into()))
                        })
                        .collect(),
                    deadline_ms: Some(r.deadline_ms.into()),
                    enough_percent: match r.policy {
                        AnswerPolicy::Coverage => None,
                        AnswerPolicy::Latency { enough_percent } => {
                            Some(enough_percent.into())
                        }
                    },
                })
                .collect(),
            limits: vec![
                ("extra_load_percent", limits.extra_load_percent.into()),
                ("max_body_bytes", limits.max_body_bytes.into()),
                ("max_in_flight", limits.max_in_flight.into()),
                ("bundle_size", limits.bundle_size.into()),
            ],
        }
    }

    fn of_value(document: &'a Value) -> View<'a> {
        let searcher = |x: &'a Value| SearcherView {
            name: x["name"].as_str(),
            address: x["address"].as_str().map(|text| {
                text.parse().map_or(Address::Malformed(text), Address::Parsed)
            }),
            zone: x["availability_zone"].as_str(),
            slots: x["slots"].as_u64(),
            connections: x["connections"].as_u64(),
        };
        let route = |r: &'a Value| RouteView {
            name: r["name"].as_str(),
            services: items(r, "services").map(Value::as_str).collect(),
            shards: r["shards"]
                .as_array()
                .map(|shards| shards.iter().map(Value::as_u64).collect()),
            shares: items(r, "shares")
                .map(|s| {
                    (s["availability_zone"].as_str(), s["percent"].as_u64())
                })
                .collect(),
            deadline_ms: r["deadline_ms"].as_u64(),
            enough_percent: r["policy"]["latency"]["enough_percent"].as_u64(),
        };
        let limits = [
            "extra_load_percent",
            "max_body_bytes",
            "max_in_flight",
            "bundle_size",
        ];
        // A value that is not a forwarding table is reported by the schema.
        let table = Forwarding::deserialize(&document["forwarding"]);
        View {
            forwarding: table.map(|t| t.problems()).unwrap_or_default(),
            zones: items(document, "availability_zones")
                .map(|z| ZoneView {
                    name: z["name"].as_str(),
                    out: z["state"] == "out",
                })
                .collect(),
            services: items(document, "services")
                .map(|s| ServiceView {
                    name: s["name"].as_str(),
                    searchers: items(s, "searchers").map(searcher).collect(),
                })
                .collect(),
            routes: items(document, "routes").map(route).collect(),
            limits: limits
                .into_iter()
                .filter_map(|key| {
                    Some((key, document["limits"][key].as_u64()?))
                })
                .collect(),
        }
    }

    fn check(&self) -> Vec<Finding> {
        let mut out = Vec::new();
        self.check_names(&mut out);
        self.check_searchers(&mut out);
        self.check_routes(&mut out);
        self.check_limits(&mut out);
        self.check_forwarding(&mut out);
        out
    }

    fn check_forwarding(&self, out: &mut Vec<Finding>) {
        out.extend(self.forwarding.iter().map(|problem| {
            let path = segments!["forwarding"];
            Finding::error(path, problem, "a table that can be in force")
        }));
    }

    fn check_names(&self, out: &mut Vec<Finding>) {
        let zones = self.zones.iter().enumerate().map(|(i, z)| {
            (z.name, segments!["availability_zones", i, "name"])
        });
        check_unique_names("availability zone", zones, out);
        let services = self
            .services
            .iter()
            .enumerate()
            .map(|(i, s)| (s.name, segments!["services", i, "name"]));
        check_unique_names("service", services, out);
        let searchers = self
            .searchers()
            .map(|(i, j, x)| (x.name, searcher_path(i, j, "name")));
        check_unique_names("searcher", searchers, out);
        let routes = self
            .routes
            .iter()
            .enumerate()
            .map(|(i, r)| (r.name, segments!["routes", i, "name"]));
        check_unique_names("route", routes, out);
        for (i, zone) in self.zones.iter().enumerate() {
            let Some(name) = zone.name else { continue };
            if !self.searchers().any(|(_, _, x)| x.zone == Some(name)) {
                out.push(Finding::warning(
                    segments!["availability_zones", i],
                    format!("availability zone \"{name}\" without searchers"),
                    "at least one searcher in it",
                ));
            }
        }
    }

    fn searchers(
        &self,
    ) -> impl Iterator<Item = (usize, usize, &SearcherView<'a>)> {
        self.services.iter().enumerate().flat_map(|(i, s)| {
            s.searchers.iter().enumerate().map(move |(j, x)| (i, j, x))
        })
    }

    fn check_searchers(&self, out: &mut Vec<Finding>) {
        let mut addresses: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for (i, j, searcher) in self.searchers() {
            let path = |key: &str| searcher_path(i, j, key);
            match searcher.address {
                Some(Address::Malformed(text)) => {
                    out.push(malformed_address(path("address"), text));
                }
                Some(Address::Parsed(address)) => {
                    if address.port() == 0 || address.ip().is_unspecified() {
                        out.push(Finding::error(
                            path("address"),
                            format!("\"{address}\""),
                            "an address and port to connect to",
                        ));
                    } else if let Some(other) = addresses.get(&address) {
                        out.push(Finding::error(
                            path("address"),
                            format!("\"{address}\", also of \"{other}\""),
                            "an address of its own",
                        ));
                    } else {
                        let name = searcher.name.unwrap_or_default();
                        addresses.insert(address, name);
                    }
                }
                None => {}
            }
            if let Some(zone) = searcher.zone
                && !self.has_zone(zone)
            {
                out.push(unknown_zone(path("availability_zone"), zone));
            }
            if searcher.slots == Some(0) {
                out.push(Finding::error(path("slots"), "0", "at least 1"));
            }
            if let Some(connections) = searcher.connections {
                // The home of a target uses half of its connections, so that
                // a second home can connect during a takeover.
                let least = searcher.slots.unwrap_or(0).max(2);
                if connections < least {
                    out.push(Finding::error(
                        path("connections"),
                        connections.to_string(),
                        format!(
                            "at least {least}: no fewer than slots, and two \
                             for a takeover"
                        ),
                    ));
                }
            }
        }
    }

    fn has_zone(&self, name: &str) -> bool {
        self.zones.iter().any(|z| z.name == Some(name))
    }

    fn zone_is_out(&self, name: &str) -> bool {
        self.zones.iter().any(|z| z.name == Some(name) && z.out)
    }

    fn check_routes(&self, out: &mut Vec<Finding>) {
        for (i, route) in self.routes.iter().enumerate() {
            self.check_services(i, route, out);
            self.check_shares(i, route, out);
            if route.deadline_ms == Some(0) {
                let path = segments!["routes", i, "deadline_ms"];
                out.push(Finding::error(path, "0", "at least 1"));
            }
            if let Some(percent) = route.enough_percent
                && !(1..=100).contains(&percent)
            {
                let path = segments![
                    "routes",
                    i,
                    "policy",
                    "latency",
                    "enough_percent"
                ];
                let found = percent.to_string();
                out.push(Finding::error(path, found, "1 to 100"));
            }
            if let Some(shards) = &route.shards {
                check_shards(i, shards, out);
            }
        }
    }

    fn check_services(
        &self,
        i: usize,
        route: &RouteView<'_>,
        out: &mut Vec<Finding>,
    ) {
        if route.services.is_empty() {
            out.push(Finding::error(
                segments!["routes", i, "services"],
                "no services",
                "at least one service",
            ));
        }
        for (j, name) in route.services.iter().enumerate() {
            let Some(name) = name else { continue };
            let path = || segments!["routes", i, "services", j];
            if route.services[..j].contains(&Some(name)) {
                let found = format!("service \"{name}\" again");
                out.push(Finding::error(path(), found, "each service once"));
            }
            if !self.services.iter().any(|s| s.name == Some(name)) {
                let found = format!("unknown service \"{name}\"");
                let expected = "the name of a service";
                out.push(Finding::error(path(), found, expected));
            }
        }
    }

    fn check_shares(
        &self,
        i: usize,
        route: &RouteView<'_>,
        out: &mut Vec<Finding>,
    ) {
        let shares_path = || segments!["routes", i, "shares"];
        let percents: Option<Vec<u64>> =
            route.shares.iter().map(|(_, percent)| *percent).collect();
        if let Some(percents) = percents {
            let sum =
                percents.iter().fold(0, |a: u64, b| a.saturating_add(*b));
            if sum != 100 {
                out.push(Finding::error(
                    shares_path(),
                    format!("shares that add up to {sum}"),
                    "a sum of 100",
                ));
            }
        }
        // If a service is missing or unknown, each share would add an error
        // with the same cause.
        let services_known = !route.services.is_empty()
            && route.services.iter().all(|name| {
                name.is_some() && self.services.iter().any(|s| s.name == *name)
            });
        let mut has_active_share = false;
        for (j, (zone, percent)) in route.shares.iter().enumerate() {
            let Some(zone) = zone else { continue };
            let path =
                || segments!["routes", i, "shares", j, "availability_zone"];
            if route.shares[..j].iter().any(|(z, _)| *z == Some(*zone)) {
                let found = format!("availability zone \"{zone}\" again");
                let expected = "one share for each availability zone";
                out.push(Finding::error(path(), found, expected));
            }
            if !self.has_zone(zone) {
                out.push(unknown_zone(path(), zone));
                continue;
            }
            let Some(percent) = percent else { continue };
            if *percent == 0 {
                continue;
            }
            has_active_share |= !self.zone_is_out(zone);
            if services_known && !self.route_searches_zone(route, zone) {
                out.push(Finding::error(
                    segments!["routes", i, "shares", j, "percent"],
                    format!("{percent} for a zone without searchers"),
                    format!("0, or a searcher in \"{zone}\" for the route"),
                ));
            }
        }
        // Not an error, because taking zones out has to work at short notice
        // and the operators may intend to stop the route.
        if !has_active_share && !route.shares.is_empty() {
            out.push(Finding::warning(
                shares_path(),
                "shares only in availability zones that are out",
                "a share in an availability zone that is in",
            ));
        }
    }

    fn route_searches_zone(&self, route: &RouteView<'_>, zone: &str) -> bool {
        self.services
            .iter()
            .filter(|s| s.name.is_some() && route.services.contains(&s.name))
            .flat_map(|s| &s.searchers)
            .any(|x| x.zone == Some(zone))
    }

    fn check_limits(&self, out: &mut Vec<Finding>) {
        for (key, value) in &self.limits {
            let path = segments!["limits", *key];
            match (*key, *value) {
                ("extra_load_percent", 101..) => {
                    out.push(Finding::error(
                        path,
                        value.to_string(),
                        "0 to 100",
                    ));
                }
                ("extra_load_percent", _) => {}
                (_, 0) => out.push(Finding::error(path, "0", "at least 1")),
                _ => {}
            }
        }
    }
}

fn items<'a>(value: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    value[key].as_array().into_iter().flatten()
}

fn searcher_path(i: usize, j: usize, key: &str) -> Vec<Segment> {
    segments!["services", i, "searchers", j, key]
}
