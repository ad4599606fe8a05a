//! A forwarding reducer with made-up time, targets and routes.
#![allow(dead_code, reason = "Each test file uses a part of it.")]

use std::{sync::Arc, time::Duration};

use primrosemast_core::{
    forward::{
        ForwardEffect, ForwardEvent, ForwardOptions, Forwarder, Outcome,
        Response, Submission, TargetRequest,
        budget::BudgetOptions,
        delegate::Peer,
        directory::{Directory, DirectoryOptions, ListedTarget},
        shared::IncomingMessage,
        table::{
            CompiledTable, Destination, ForwardRoute, ForwardService,
            Forwarding, WeightedService,
        },
    },
    id::{AttemptId, InstanceId, Token, ZoneId},
    time::Time,
};

pub const ME: InstanceId = InstanceId(1);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time after which the platform's list has been read again.
pub fn next_reading() -> Duration {
    DirectoryOptions::default().interval + ms(100)
}

pub fn route(path: &str, destination: Destination) -> ForwardRoute {
    ForwardRoute {
        name: path.into(),
        host: "site.example".into(),
        path_prefix: format!("/{path}/"),
        repeatable: true,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 1,
        max_attempts: 2,
        destination,
    }
}

pub fn shards(count: usize, min_coverage: f64) -> Destination {
    let services = (0..count).map(|i| format!("shard-{i}")).collect();
    Destination::Shards { services, top: 5, min_coverage }
}

pub fn split(weights: &[(&str, f64)]) -> Destination {
    let part = |&(service, weight): &(&str, f64)| WeightedService {
        service: service.into(),
        weight,
    };
    Destination::Split(weights.iter().map(part).collect())
}

/// A table with the routes and every service that they name.
pub fn table(routes: Vec<ForwardRoute>) -> Forwarding {
    let mut names: Vec<String> = routes
        .iter()
        .flat_map(|r| r.destination.services().map(str::to_owned))
        .collect();
    names.sort();
    names.dedup();
    let service = |name| ForwardService { name, connections: 20 };
    Forwarding {
        revision: 1,
        routes,
        services: names.into_iter().map(service).collect(),
        ..Forwarding::default()
    }
}

/// Target `number` of a service, in zone `a` if even and in `b` if odd.
pub fn target(service: &str, number: u8) -> ListedTarget {
    let last = service.bytes().fold(number, u8::wrapping_add);
    ListedTarget {
        name: format!("{service}/{number}"),
        service: service.into(),
        address: ([10, 0, last, number], 80).into(),
        availability_zone: if number.is_multiple_of(2) { "a" } else { "b" }
            .into(),
        slots: 2,
        leaving: false,
        cold_ms: 0,
    }
}

pub struct Site {
    pub forwarder: Forwarder,
    pub now: Time,
    pub table: Arc<CompiledTable>,
    pub effects: Vec<ForwardEffect>,
    pub directory: Directory,
    last_token: u64,
}

impl Site {
    /// A site in zone `a` with `replicas` targets of every service.
    pub fn new(forwarding: &Forwarding, replicas: u8) -> Site {
        let options = ForwardOptions {
            budget: BudgetOptions {
                ratio: 0.2,
                slack: 100.0,
                ..BudgetOptions::default()
            },
            ..ForwardOptions::default()
        };
        Site::with_options(forwarding, replicas, options)
    }

    pub fn with_options(
        forwarding: &Forwarding,
        replicas: u8,
        options: ForwardOptions,
    ) -> Site {
        assert_eq!(forwarding.problems(), Vec::<String>::new());
        let table = Arc::new(CompiledTable::new(forwarding));
        let zone = ZoneId::from_name("a");
        let targets = forwarding
            .services
            .iter()
            .flat_map(|s| (0..replicas).map(|i| target(&s.name, i)))
            .collect();
        let mut site = Site {
            forwarder: Forwarder::new(ME, zone, options, 7),
            now: Time::from_millis(20_000),
            table: Arc::clone(&table),
            effects: Vec::new(),
            directory: Directory { targets },
            last_token: 0,
        };
        site.step(ForwardEvent::Configure { table, zones_out: Vec::new() });
        site.step(ForwardEvent::Serving(true));
        site.read_directory();
        site.effects.clear();
        site
    }

    pub fn step(&mut self, event: ForwardEvent) {
        self.forwarder.step(self.now, event, &mut self.effects);
    }

    /// Lets the site read the platform's list, if it asks for it.
    pub fn read_directory(&mut self) {
        let asked = self
            .effects
            .iter()
            .any(|e| matches!(e, ForwardEffect::ReadDirectory));
        if asked {
            self.effects
                .retain(|e| !matches!(e, ForwardEffect::ReadDirectory));
            let directory = self.directory.clone();
            self.step(ForwardEvent::DirectoryRead(Ok(directory)));
        }
    }

    /// Passes time, with every tick that is due and readings of the list.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.forwarder.next_deadline() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            self.step(ForwardEvent::Tick);
            self.read_directory();
        }
        self.now = end;
        self.step(ForwardEvent::Tick);
        self.read_directory();
    }

    pub fn submit(&mut self, path: &str) -> Token {
        self.submit_for(path, ms(1_000))
    }

    pub fn submit_for(&mut self, path: &str, remaining: Duration) -> Token {
        self.last_token += 1;
        let token = Token(self.last_token);
        let path = format!("/{path}/x");
        let route = self.table.find("site.example", &path);
        let submission = Submission {
            request_id: format!("r{}", self.last_token).into(),
            route: Arc::clone(route.expect("a route")),
            remaining,
        };
        self.step(ForwardEvent::Submit(token, submission));
        token
    }

    pub fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.step(ForwardEvent::AttemptEnded(attempt, outcome));
    }

    /// Takes the attempts that were sent.
    pub fn sent(&mut self) -> Vec<TargetRequest> {
        let mut sent = Vec::new();
        self.effects.retain(|e| match e {
            ForwardEffect::Send(send) => {
                sent.push(send.clone());
                false
            }
            _ => true,
        });
        sent
    }

    /// Takes the responses.
    pub fn responses(&mut self) -> Vec<(Token, Response)> {
        let mut responses = Vec::new();
        self.effects.retain(|e| match e {
            ForwardEffect::Respond(token, response) => {
                responses.push((*token, response.clone()));
                false
            }
            _ => true,
        });
        responses
    }

    /// Takes the attempts that were cancelled.
    pub fn cancelled(&mut self) -> Vec<AttemptId> {
        let mut cancelled = Vec::new();
        self.effects.retain(|e| match e {
            ForwardEffect::Cancel(id) => {
                cancelled.push(*id);
                false
            }
            _ => true,
        });
        cancelled
    }

    /// Other entry instances, in zone `b`.
    pub fn set_fellows(&mut self, ids: &[u64]) {
        let zone = ZoneId::from_name("b");
        let fellow = |&id| Peer { id: InstanceId(id), zone, reachable: true };
        let fellows: Vec<Peer> = ids.iter().map(fellow).collect();
        let instances = fellows.len() + 1;
        self.step(ForwardEvent::Peers(fellows, instances));
    }

    pub fn shared(&mut self, from: u64, message: IncomingMessage) {
        self.step(ForwardEvent::Shared(InstanceId(from), message));
    }
}
