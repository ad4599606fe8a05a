//! Support for tests of the query root: a configuration, target reports, and a
//! root that collects its effects.
#![allow(dead_code, missing_docs)]

use std::{sync::Arc, time::Duration};

use primrosemast_core::{
    config::{
        AnswerPolicy, AvailabilityZone, Configuration, Limits, Priority,
        Route, Searcher, Service, ZoneShare, ZoneState,
    },
    id::{InstanceId, QueryId, TargetId, Token, ZoneId},
    placement::Candidate,
    query::{
        CallerRequest, CallerResponse, Message, Queries, QueryEffect,
        QueryEvent, QueryOptions, ShardReply, ShardRequest,
    },
    snapshot::{Holding, Snapshot},
    target::{JobOutcome, TargetReport, TargetState},
    time::Time,
};

pub const ROUTE: &str = "find";

pub fn snapshot(version: u64) -> Snapshot {
    Snapshot { index_version: version, partition_map: 1 }
}

pub fn holding(version: u64, shard: u32, shard_count: u32) -> Holding {
    Holding { snapshot: snapshot(version), shard, shard_count }
}

pub fn target(name: &str) -> TargetId {
    TargetId::from_name(name)
}

pub fn instance(n: u64) -> InstanceId {
    InstanceId(n)
}

pub fn report(name: &str, holds: Vec<Holding>) -> TargetReport {
    TargetReport {
        target: target(name),
        state: TargetState::Ready,
        limit: 2,
        running: 0,
        queued: 0,
        latency_us: 1_000,
        holds,
        shared: true,
    }
}

/// Returns a configuration with one service, one route and the zones a, b and
/// c.
pub fn config(
    searchers: &[(&str, &str)],
    shares: &[(&str, u32)],
) -> Configuration {
    let zone = |name: &str| AvailabilityZone {
        name: name.into(),
        state: ZoneState::In,
    };
    let searcher = |(i, &(name, zone)): (usize, &(&str, &str))| Searcher {
        name: name.into(),
        address: ([127, 0, 0, 1], 1_000 + i as u16).into(),
        availability_zone: zone.into(),
        slots: 2,
        connections: 25,
        connect_cost_ms: 1,
    };
    let share = |&(zone, percent): &(&str, u32)| ZoneShare {
        availability_zone: zone.into(),
        percent,
    };
    let mut cfg = Configuration {
        availability_zones: ["a", "b", "c"].map(zone).into(),
        services: vec![Service {
            name: "s".into(),
            searchers: searchers.iter().enumerate().map(searcher).collect(),
        }],
        routes: vec![Route {
            name: ROUTE.into(),
            services: vec!["s".into()],
            shards: None,
            shares: shares.iter().map(share).collect(),
            deadline_ms: 100,
            priority: Priority::Urgent,
            policy: AnswerPolicy::Coverage,
            repeatable: true,
        }],
        limits: Limits::default(),
        ..Configuration::default()
    };
    cfg.sort();
    cfg
}

/// A query root with its clock and the effects that were not yet taken.
pub struct Root {
    pub queries: Queries,
    pub now: Time,
    pub effects: Vec<QueryEffect>,
    pub cfg: Configuration,
    next_token: u64,
}

impl Root {
    pub fn new(cfg: Configuration, options: QueryOptions, seed: u64) -> Root {
        let zone = ZoneId::from_name("a");
        let queries = Queries::new(instance(1), zone, options, seed);
        let mut root = Root {
            queries,
            now: Time::from_millis(1_000),
            effects: Vec::new(),
            cfg: cfg.clone(),
            next_token: 0,
        };
        root.candidates(&[1, 2, 3]);
        root.configure(cfg);
        root.step(QueryEvent::Serving(true));
        root
    }

    pub fn step(&mut self, event: QueryEvent) {
        self.queries.step(self.now, event, &mut self.effects);
    }

    pub fn configure(&mut self, cfg: Configuration) {
        self.cfg = cfg.clone();
        self.step(QueryEvent::Configure(Arc::new(cfg)));
    }

    pub fn set_zone(&mut self, zone: &str, state: ZoneState) {
        let mut cfg = self.cfg.clone();
        for z in &mut cfg.availability_zones {
            if z.name == zone {
                z.state = state;
            }
        }
        self.configure(cfg);
    }

    pub fn candidates(&mut self, ids: &[u64]) {
        let candidates = ids.iter().map(|&n| Candidate {
            instance: instance(n),
            zone: ZoneId::from_name("a"),
        });
        let event = QueryEvent::Candidates(candidates.collect());
        self.step(event);
    }

    /// Delivers a report from every instance, as the root only accepts it from
    /// the home or standby of the target.
    pub fn report(&mut self, report: TargetReport) {
        for n in 1..=4 {
            let message = Message::Reports(vec![report.clone()]);
            self.step(QueryEvent::Message(instance(n), message));
        }
    }

    /// Advances the clock and delivers a tick.
    pub fn advance(&mut self, duration: Duration) {
        self.now += duration;
        self.step(QueryEvent::Tick);
    }

    pub fn submit(&mut self, id: Option<&str>) -> Token {
        self.submit_with(id, |_| ())
    }

    pub fn submit_with(
        &mut self,
        id: Option<&str>,
        change: impl FnOnce(&mut CallerRequest),
    ) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        let mut req = CallerRequest {
            route: ROUTE.into(),
            request_id: id.map(str::to_owned),
            deadline_us: None,
            key: None,
            body: "q".into(),
        };
        change(&mut req);
        self.step(QueryEvent::Submit(token, req));
        token
    }

    /// Removes the shard requests from the effects and returns them.
    pub fn requests(&mut self) -> Vec<(InstanceId, ShardRequest)> {
        let mut sent = Vec::new();
        self.effects.retain(|e| match e {
            QueryEffect::Send(to, Message::Request(req)) => {
                sent.push((*to, req.clone()));
                false
            }
            _ => true,
        });
        sent
    }

    /// Removes the responses from the effects and returns them.
    pub fn responses(&mut self) -> Vec<(Token, CallerResponse)> {
        let mut responses = Vec::new();
        self.effects.retain(|e| match e {
            QueryEffect::Respond(token, response) => {
                responses.push((*token, response.clone()));
                false
            }
            _ => true,
        });
        responses
    }

    /// Removes the only response from the effects and returns it.
    pub fn response(&mut self) -> CallerResponse {
        let mut responses = self.responses();
        assert_eq!(responses.len(), 1, "one response");
        responses.remove(0).1
    }

    /// Returns the query of the first claim among the effects.
    pub fn claiming_query(&mut self) -> QueryId {
        let claim = self.effects.iter().find_map(|e| match e {
            QueryEffect::Claim { query, .. } => Some(*query),
            _ => None,
        });
        claim.expect("a claim")
    }

    /// Returns how often a log event is among the effects.
    pub fn count_logged(&self, name: &str) -> usize {
        let is_event = |e: &&QueryEffect| matches!(e, QueryEffect::Log(x) if x.kind.name == name);
        self.effects.iter().filter(is_event).count()
    }

    /// Delivers a reply to one shard of a request.
    pub fn reply(
        &mut self,
        from: InstanceId,
        req: &ShardRequest,
        shard: u32,
        outcome: JobOutcome,
    ) {
        let found = req.shards.iter().find(|x| x.0 == shard);
        let reply = ShardReply {
            query: req.query,
            attempt: req.attempt,
            shard,
            target: found.expect("an asked shard").1,
            outcome,
            report: None,
        };
        let message = Message::Reply(reply);
        self.step(QueryEvent::Message(from, message));
    }

    /// Delivers a reply to every shard of the requests.
    pub fn reply_all(
        &mut self,
        sent: &[(InstanceId, ShardRequest)],
        outcome: impl Fn(&ShardRequest, u32) -> JobOutcome,
    ) {
        for (home, req) in sent {
            for &(shard, _) in &req.shards {
                self.reply(*home, req, shard, outcome(req, shard));
            }
        }
    }
}

/// Returns the answer of a correct target in a snapshot with `shard_count`
/// shards.
pub fn answer(req: &ShardRequest, shard: u32, shard_count: u32) -> JobOutcome {
    let holding = Holding { snapshot: req.snapshot, shard, shard_count };
    let version = req.snapshot.index_version;
    JobOutcome::Answered { body: format!("{version}/{shard}").into(), holding }
}
