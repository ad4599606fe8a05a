//! A test harness that runs a forwarding reducer with simulated time, targets
//! and routes.
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
            Forwarding, KeyDigest, WeightedService,
        },
    },
    id::{AttemptId, ConfigVersion, InstanceId, TeamId, Token, ZoneId},
    time::Time,
};

pub const OWN_ID: InstanceId = InstanceId(1);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time after which the target list has been fetched again.
pub fn directory_refresh() -> Duration {
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
        public: false,
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

/// Returns a table with the routes and every service to which they refer.
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

/// Returns target `number` of a service, in zone `a` if the number is even and
/// in `b` if it is odd.
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
        version: String::new(),
    }
}

pub struct Harness {
    pub forwarder: Forwarder,
    pub now: Time,
    pub table: Arc<CompiledTable>,
    pub effects: Vec<ForwardEffect>,
    pub directory: Directory,
    /// Team of the callers.
    pub team: Option<TeamId>,
    last_token: u64,
}

impl Harness {
    /// Builds a harness in zone `a` with `replicas` targets of every service.
    pub fn new(forwarding: &Forwarding, replicas: u8) -> Harness {
        let options = ForwardOptions {
            budget: BudgetOptions {
                ratio: 0.2,
                slack: 100.0,
                ..BudgetOptions::default()
            },
            ..ForwardOptions::default()
        };
        Harness::with_options(forwarding, replicas, options)
    }

    pub fn with_options(
        forwarding: &Forwarding,
        replicas: u8,
        options: ForwardOptions,
    ) -> Harness {
        Harness::with_seed(forwarding, replicas, options, 7)
    }

    pub fn with_seed(
        forwarding: &Forwarding,
        replicas: u8,
        options: ForwardOptions,
        seed: u64,
    ) -> Harness {
        assert_eq!(forwarding.problems(), Vec::<String>::new());
        let table = Arc::new(CompiledTable::new(forwarding));
        let zone = ZoneId::from_name("a");
        let targets = forwarding
            .services
            .iter()
            .flat_map(|s| (0..replicas).map(|i| target(&s.name, i)))
            .collect();
        let mut harness = Harness {
            forwarder: Forwarder::new(OWN_ID, zone, options, seed),
            now: Time::from_millis(20_000),
            table: Arc::clone(&table),
            effects: Vec::new(),
            directory: Directory { targets },
            team: None,
            last_token: 0,
        };
        harness.step(ForwardEvent::Configure {
            version: ConfigVersion(1),
            table,
            zones_out: Vec::new(),
        });
        harness.step(ForwardEvent::Lease(true));
        harness.step(ForwardEvent::Serving(true));
        harness.read_directory();
        harness.effects.clear();
        harness
    }

    pub fn step(&mut self, event: ForwardEvent) {
        self.forwarder.step(self.now, event, &mut self.effects);
    }

    /// Passes the target list to the reducer if it has requested it.
    pub fn read_directory(&mut self) {
        let requested = self
            .effects
            .iter()
            .any(|e| matches!(e, ForwardEffect::ReadDirectory));
        if requested {
            self.effects
                .retain(|e| !matches!(e, ForwardEffect::ReadDirectory));
            let directory = self.directory.clone();
            self.step(ForwardEvent::DirectoryRead(Ok(directory)));
        }
    }

    /// Advances the time by `span`, with every tick that is due and fetches of
    /// the target list.
    pub fn advance(&mut self, span: Duration) {
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
        self.submit_with_timeout(path, ms(1_000))
    }

    pub fn submit_with_timeout(
        &mut self,
        path: &str,
        remaining: Duration,
    ) -> Token {
        self.submit_as(path, None, remaining)
    }

    /// Submits the request of a team with one of its keys.
    pub fn submit_with_key(
        &mut self,
        path: &str,
        team: &str,
        key: &str,
    ) -> Token {
        self.submit_with_key_for(path, team, key, ms(1_000))
    }

    pub fn submit_with_key_for(
        &mut self,
        path: &str,
        team: &str,
        key: &str,
        remaining: Duration,
    ) -> Token {
        let caller = (TeamId::from_name(team), KeyDigest::of(key));
        self.submit_as(path, Some(caller), remaining)
    }

    fn submit_as(
        &mut self,
        path: &str,
        caller: Option<(TeamId, KeyDigest)>,
        remaining: Duration,
    ) -> Token {
        self.last_token += 1;
        let token = Token(self.last_token);
        let path = format!("/{path}/x");
        let route = self.table.find("site.example", &path);
        let submission = Submission {
            request_id: format!("r{}", self.last_token).into(),
            route: Arc::clone(route.expect("a route")),
            remaining,
            team: caller.map(|c| c.0).or(self.team),
            key: caller.map(|c| c.1),
        };
        self.step(ForwardEvent::Submit(token, submission));
        token
    }

    pub fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.step(ForwardEvent::AttemptEnded(attempt, outcome));
    }

    /// Removes and returns the requests sent to targets.
    pub fn take_sent(&mut self) -> Vec<TargetRequest> {
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

    /// Removes and returns the responses to callers.
    pub fn take_responses(&mut self) -> Vec<(Token, Response)> {
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

    /// Removes and returns the cancelled attempts.
    pub fn take_cancelled(&mut self) -> Vec<AttemptId> {
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

    /// Sets the other entry instances, all in zone `b`.
    pub fn set_peers(&mut self, ids: &[u64]) {
        let zone = ZoneId::from_name("b");
        let peer = |&id| Peer { id: InstanceId(id), zone, reachable: true };
        let peers: Vec<Peer> = ids.iter().map(peer).collect();
        let instances = peers.len() + 1;
        self.step(ForwardEvent::Peers(peers, instances));
    }

    pub fn receive_shared(&mut self, from: u64, message: IncomingMessage) {
        self.step(ForwardEvent::Shared(InstanceId(from), message));
    }
}
