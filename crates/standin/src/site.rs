/*!
Simulated searchers and the configuration that describes them.
*/

use std::io;

use serde_json::{Value, json};

use crate::{
    proxy::Proxy,
    searcher::{Behaviour, HeldShard, Searcher},
};

/// The searchers of one route.
#[derive(Clone, Debug)]
pub struct SearcherGroup {
    /// Name of the route and prefix of the names of its services.
    pub route: String,
    /// Number of shards of the index.
    pub shards: u32,
    /// Number of searchers of each shard, spread over the zones.
    pub replicas: u32,
    /// Behaviour of every searcher.
    pub behaviour: Behaviour,
    /// Fields merged into the configuration of the route.
    pub options: Value,
}

impl Default for SearcherGroup {
    fn default() -> SearcherGroup {
        SearcherGroup {
            route: "search".into(),
            shards: 4,
            replicas: 2,
            behaviour: Behaviour::default(),
            options: json!({}),
        }
    }
}

/// A searcher behind a proxy.
#[derive(Debug)]
pub struct Target {
    /// Name of the searcher.
    pub name: String,
    /// Name of the route that it serves.
    pub route: String,
    /// Availability zone.
    pub zone: String,
    /// Number of the shard that it holds.
    pub shard: u32,
    /// The searcher.
    pub searcher: Searcher,
    /// The proxy in front of it.
    pub proxy: Proxy,
}

/// Running searchers and their configuration; they stop when dropped.
#[derive(Debug)]
pub struct Site {
    zones: Vec<String>,
    groups: Vec<SearcherGroup>,
    /// The searchers with their proxies.
    pub targets: Vec<Target>,
}

impl Site {
    /// Starts the searchers of the groups, each behind a proxy.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub async fn start(
        zones: &[&str],
        groups: &[SearcherGroup],
    ) -> io::Result<Site> {
        let any_port = ([127, 0, 0, 1], 0).into();
        let mut targets = Vec::new();
        for group in groups {
            for shard in 0..group.shards {
                for replica in 0..group.replicas {
                    let zone = zones[(shard + replica) as usize % zones.len()];
                    let name = format!("{}-{shard}-{replica}", group.route);
                    let behaviour = Behaviour {
                        name: name.clone(),
                        holds: vec![HeldShard {
                            index_version: 1,
                            partition_map: 1,
                            shard,
                            shard_count: group.shards,
                        }],
                        ..group.behaviour.clone()
                    };
                    let searcher =
                        Searcher::start(any_port, behaviour).await?;
                    let proxy =
                        Proxy::start(any_port, Some(searcher.address()))
                            .await?;
                    targets.push(Target {
                        name,
                        route: group.route.clone(),
                        zone: zone.to_owned(),
                        shard,
                        searcher,
                        proxy,
                    });
                }
            }
        }
        Ok(Site {
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
            groups: groups.to_vec(),
            targets,
        })
    }

    /// Returns the configuration of the site with all zones in.
    pub fn configuration(&self) -> Value {
        let zones: Vec<Value> =
            self.zones.iter().map(|z| json!({"name": z})).collect();
        let mut services = Vec::new();
        let mut routes = Vec::new();
        for group in &self.groups {
            let mut names = Vec::new();
            for shard in 0..group.shards {
                let name = format!("{}-{shard}", group.route);
                services.push(json!({
                    "name": name,
                    "searchers": self.searchers(group, shard),
                }));
                names.push(name);
            }
            routes.push(self.route(group, &names));
        }
        json!({
            "availability_zones": zones,
            "services": services,
            "routes": routes,
        })
    }

    fn searchers(&self, group: &SearcherGroup, shard: u32) -> Vec<Value> {
        self.targets
            .iter()
            .filter(|t| t.route == group.route && t.shard == shard)
            .map(|t| {
                json!({
                    "name": t.name,
                    "address": t.proxy.address().to_string(),
                    "availability_zone": t.zone,
                    "slots": group.behaviour.slots,
                    "connections": group.behaviour.connections,
                })
            })
            .collect()
    }

    fn route(&self, group: &SearcherGroup, services: &[String]) -> Value {
        let count = self.zones.len() as u32;
        let shares: Vec<Value> = (0..count)
            .map(|i| {
                // The first zones take the remainder.
                let percent = 100 / count + u32::from(i < 100 % count);
                let zone = &self.zones[i as usize];
                json!({"availability_zone": zone, "percent": percent})
            })
            .collect();
        let mut route = json!({
            "name": group.route,
            "services": services,
            "shares": shares,
            "deadline_ms": 2_000,
        });
        if let (Some(fields), Some(options)) =
            (route.as_object_mut(), group.options.as_object())
        {
            fields.extend(options.clone());
        }
        route
    }

    /// Returns the configuration with the given zones out.
    pub fn with_zones_out(&self, out: &[&str]) -> Value {
        let mut configuration = self.configuration();
        if let Some(zones) = configuration["availability_zones"].as_array_mut()
        {
            for zone in zones {
                let name = zone["name"].as_str().unwrap_or_default();
                if out.contains(&name) {
                    zone["state"] = json!("out");
                }
            }
        }
        configuration
    }

    /// Returns the targets of a route.
    pub fn targets_of_route(
        &self,
        route: &str,
    ) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(move |t| t.route == route)
    }

    /// Returns how often the searchers of a route ran a request body, in
    /// total.
    pub fn run_count(&self, route: &str, body: &str) -> u32 {
        self.targets_of_route(route)
            .filter_map(|t| t.searcher.stats().runs.get(body).copied())
            .sum()
    }
}
