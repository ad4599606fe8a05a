/*!
The reducer of a daemon, composed of the reducers of its parts.

[`Node::step`] takes one event, lets the parts exchange what they have to
tell each other, and returns the effects for the daemon to carry out. Parts
never call each other: everything between them goes through the queue of
internal events, so the order is the same on every run.
*/

mod claims;
mod forwarding;
mod founding;
mod group;
mod home;
mod lifecycle;
mod replica;
mod reports;
mod roles;
mod types;
mod view;

use std::{collections::VecDeque, sync::Arc};

pub use self::types::{
    Effect, Event, NodeOptions, OperatorReply, OperatorRequest, PlatformList,
    TargetHome,
};
use self::{
    forwarding::ForwardFleet, founding::Founding, home::Homes,
    lifecycle::Lifecycle, replica::ReplicaNode,
};
use crate::{
    config::Configuration,
    config_sync::{ConfigRecord, ConfigSync, SyncEffect, SyncEvent},
    control::client::{Client, ClientEffect, ClientEvent},
    event::{LogEvent, config::CONFIG_REJECTED},
    forward::{ForwardEvent, Forwarder},
    id::{ConfigVersion, InstanceId, Token},
    membership::{Member, Membership, MembershipEffect, MembershipEvent},
    message::PeerMessage,
    placement::Placement,
    query::{self, Queries, QueryEffect, QueryEvent},
    target::{TargetEffect, TargetEvent, TargetReport, Targets},
    time::Time,
};

/// An event between the parts.
#[derive(Debug)]
enum Internal {
    Membership(MembershipEvent),
    Sync(SyncEvent),
    Query(QueryEvent),
    Target(TargetEvent),
    Client(ClientEvent),
    Forward(ForwardEvent),
    /// Messages of roots for the homes on this instance.
    Home(InstanceId, query::Message),
}

/// The state of a daemon.
pub struct Node {
    me: Member,
    options: NodeOptions,
    membership: Membership,
    sync: ConfigSync,
    queries: Queries,
    targets: Targets,
    forwarder: Forwarder,
    forward_fleet: ForwardFleet,
    founding: Founding,
    homes: Homes,
    client: Client,
    replica: Option<ReplicaNode>,
    configuration: Option<(ConfigVersion, Arc<Configuration>)>,
    /// Homes of the configuration's bundles.
    placement: Placement,
    candidates: Vec<crate::placement::Candidate>,
    /// Instances that could not be reached, and until when they are passed
    /// over; sorted.
    unreachable: Vec<(InstanceId, Time)>,
    lifecycle: Lifecycle,
    serving: bool,
    reports: Vec<TargetReport>,
    flush_reports_at: Option<Time>,
    refresh_reports_at: Time,
    next_claim: u64,
    claims: Vec<PendingClaim>,
    queue: VecDeque<Internal>,
}

/// A claim that the control client works on.
#[derive(Debug)]
struct PendingClaim {
    token: Token,
    query: crate::id::QueryId,
}

/// Tokens of the node's own control requests have this bit, so that they
/// never collide with those of operators.
const INTERNAL_TOKEN: u64 = 1 << 63;

impl Node {
    /// Creates the state of a daemon.
    pub fn new(me: Member, options: NodeOptions, seed: u64) -> Node {
        let queries =
            Queries::new(me.id, me.zone, options.query.clone(), seed ^ 1);
        Node {
            membership: Membership::new(
                me.clone(),
                options.membership.clone(),
                seed ^ 2,
            ),
            sync: ConfigSync::new(me.id, options.sync.clone(), seed ^ 3),
            queries,
            targets: Targets::new(options.target.clone(), seed ^ 4),
            forwarder: Forwarder::new(
                me.id,
                me.zone,
                options.forward.clone(),
                seed ^ 6,
            ),
            forward_fleet: ForwardFleet::default(),
            founding: Founding::default(),
            homes: Homes::default(),
            client: Client::new(seed ^ 5),
            replica: None,
            configuration: None,
            placement: Placement::default(),
            candidates: Vec::new(),
            unreachable: Vec::new(),
            lifecycle: Lifecycle::default(),
            serving: false,
            reports: Vec::new(),
            flush_reports_at: None,
            refresh_reports_at: Time::ZERO,
            next_claim: 0,
            claims: Vec::new(),
            queue: VecDeque::new(),
            me,
            options,
        }
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: Time,
        event: Event,
        out: &mut impl Extend<Effect>,
    ) {
        // Deadlines that have passed come first. After a freeze the lease
        // must end before a query or a shard request is handled.
        self.tick(now, out);
        self.run(now, out);
        match event {
            Event::Start { recovered } => {
                self.start_replica(now, recovered, out);
                self.push(Internal::Membership(
                    MembershipEvent::SeedAddresses(self.options.seeds.clone()),
                ));
            }
            Event::Caller(token, req) => {
                self.push(Internal::Query(QueryEvent::Submit(token, req)));
            }
            Event::CallerGone(token) => {
                self.push(Internal::Query(QueryEvent::CallerGone(token)));
            }
            Event::Operator(token, req) => {
                self.operator(now, token, req, out);
            }
            Event::Peer(from, message) => {
                self.peer_message(now, from, message, out);
            }
            Event::Unreachable(id) => self.mark_unreachable(now, id),
            Event::Target(event) => self.push(Internal::Target(event)),
            Event::Forward(event) => self.push(Internal::Forward(event)),
            Event::Seeds(seeds) => {
                self.options.seeds.clone_from(&seeds);
                self.push(Internal::Membership(
                    MembershipEvent::SeedAddresses(seeds),
                ));
            }
            Event::Persisted(ticket) => {
                self.replica_persisted(now, ticket, out);
            }
            Event::Platform(list) => self.platform_list(&list),
            Event::Shutdown => self.shut_down(now, out),
            Event::Tick => {}
        }
        self.run(now, out);
        self.finish_shutdown(now, out);
    }

    /// When the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        [
            self.membership.next_deadline(),
            self.sync.next_deadline(),
            self.queries.next_deadline(),
            self.targets.next_deadline(),
            self.forwarder.next_deadline(),
            self.forward_fleet.next_deadline(),
            self.founding_deadline(),
            self.client.next_deadline(),
            self.replica.as_ref().and_then(ReplicaNode::next_deadline),
            self.flush_reports_at,
            Some(self.refresh_reports_at),
            self.lifecycle.next_deadline(),
            self.unreachable.iter().map(|&(_, until)| until).min(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn push(&mut self, event: Internal) {
        self.queue.push_back(event);
    }

    /// Gives every part its tick and does the node's own periodic work.
    fn tick(&mut self, now: Time, out: &mut impl Extend<Effect>) {
        let due = |at: Option<Time>| at.is_some_and(|at| at <= now);
        if due(self.membership.next_deadline()) {
            self.push(Internal::Membership(MembershipEvent::Tick));
        }
        if due(self.sync.next_deadline()) {
            self.push(Internal::Sync(SyncEvent::Tick));
        }
        if due(self.client.next_deadline()) {
            self.push(Internal::Client(ClientEvent::Tick));
        }
        if due(self.queries.next_deadline()) {
            self.push(Internal::Query(QueryEvent::Tick));
        }
        if due(self.targets.next_deadline()) {
            self.push(Internal::Target(TargetEvent::Tick));
        }
        if due(self.forwarder.next_deadline()) {
            self.push(Internal::Forward(ForwardEvent::Tick));
        }
        self.forward_fleet_tick(now);
        self.found_group(now, out);
        self.replica_tick(now, out);
        self.forget_unreachable(now);
        self.flush_reports(now, out);
    }

    /// Runs the parts until they have nothing more to tell each other.
    fn run(&mut self, now: Time, out: &mut impl Extend<Effect>) {
        while let Some(event) = self.queue.pop_front() {
            match event {
                Internal::Membership(event) => {
                    self.run_membership(now, event, out);
                }
                Internal::Sync(event) => self.run_sync(now, event, out),
                Internal::Query(event) => self.run_query(now, event, out),
                Internal::Target(event) => self.run_target(now, event, out),
                Internal::Client(event) => self.run_client(now, event, out),
                Internal::Forward(event) => {
                    self.run_forward(now, event, out);
                }
                Internal::Home(from, message) => {
                    self.run_home(now, from, message, out);
                }
            }
        }
    }

    fn run_membership(
        &mut self,
        now: Time,
        event: MembershipEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let mut effects = Vec::new();
        self.membership.step(now, event, &mut effects);
        let mut changed = false;
        for effect in effects {
            match effect {
                MembershipEffect::Send(to, message) => {
                    out.extend([Effect::send_to(
                        to,
                        PeerMessage::Membership(message),
                    )]);
                }
                MembershipEffect::Changed(member) => {
                    changed = true;
                    self.member_changed(&member);
                }
                MembershipEffect::Log(event) => {
                    out.extend([Effect::Log(event)]);
                }
            }
        }
        if changed {
            self.members_changed(now, out);
        }
    }

    fn run_sync(
        &mut self,
        now: Time,
        event: SyncEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let mut effects = Vec::new();
        self.sync.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                SyncEffect::Send(to, message) => {
                    self.send(to, PeerMessage::Sync(message), out);
                }
                SyncEffect::Install(record) => {
                    self.install(now, &record, out);
                }
                SyncEffect::Serving(serving) => {
                    self.serving = serving;
                    self.serving_changed(now, out);
                }
                SyncEffect::Log(event) => out.extend([Effect::Log(event)]),
            }
        }
    }

    fn run_query(
        &mut self,
        now: Time,
        event: QueryEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let mut effects = Vec::new();
        self.queries.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                QueryEffect::Send(to, message) if to == self.me.id => {
                    self.push(Internal::Home(to, message));
                }
                QueryEffect::Send(to, message) => {
                    self.send(to, PeerMessage::Query(message), out);
                }
                QueryEffect::Claim { query, request_id, budget_us } => {
                    self.claim(query, request_id, budget_us);
                }
                QueryEffect::Settle { query, request_id, verdict } => {
                    self.settle(query, request_id, verdict);
                }
                QueryEffect::Respond(token, response) => {
                    out.extend([Effect::Respond(token, response)]);
                }
                QueryEffect::Log(event) => out.extend([Effect::Log(event)]),
            }
        }
    }

    fn run_target(
        &mut self,
        now: Time,
        event: TargetEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let mut effects = Vec::new();
        self.targets.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                TargetEffect::Done(job, outcome) => {
                    let targets = &self.targets;
                    let reply = self
                        .homes
                        .complete(job, outcome, |t| targets.report(t));
                    if let Some((root, message)) = reply {
                        self.send_query(root, message, out);
                    }
                }
                TargetEffect::Report(report) => self.report(now, report),
                TargetEffect::Log(event) => out.extend([Effect::Log(event)]),
                effect => out.extend([Effect::Target(effect)]),
            }
        }
    }

    fn run_home(
        &mut self,
        now: Time,
        from: InstanceId,
        message: query::Message,
        out: &mut impl Extend<Effect>,
    ) {
        match message {
            query::Message::Request(req) => {
                let accepted = query::Message::Accepted {
                    query: req.query,
                    attempt: req.attempt,
                };
                self.send_query(from, accepted, out);
                for job in self.homes.accept(now, from, req) {
                    self.push(Internal::Target(TargetEvent::Submit(job)));
                }
            }
            query::Message::Cancel { query, attempts } => {
                for job in self.homes.jobs_of(from, query, &attempts) {
                    self.push(Internal::Target(TargetEvent::Cancel(job)));
                }
            }
            query::Message::CancelShards { query, shards } => {
                for job in self.homes.jobs_of_shards(from, query, &shards) {
                    self.push(Internal::Target(TargetEvent::Cancel(job)));
                }
            }
            query::Message::Accepted { .. }
            | query::Message::Reply(_)
            | query::Message::Reports(_) => {
                self.push(Internal::Query(QueryEvent::Message(from, message)));
            }
        }
    }

    fn run_client(
        &mut self,
        now: Time,
        event: ClientEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let mut effects = Vec::new();
        self.client.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                ClientEffect::Send(to, message) => {
                    self.send_control(now, to, message, out);
                }
                ClientEffect::Done(token, reply) => {
                    self.control_reply(token, reply, out);
                }
                ClientEffect::Log(event) => out.extend([Effect::Log(event)]),
            }
        }
    }

    fn peer_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: PeerMessage,
        out: &mut impl Extend<Effect>,
    ) {
        self.mark_reachable(now, from);
        match message {
            PeerMessage::Membership(message) => self.push(
                Internal::Membership(MembershipEvent::Message(from, message)),
            ),
            PeerMessage::Sync(message) => {
                self.push(Internal::Sync(SyncEvent::Message(from, message)));
            }
            PeerMessage::Query(message) => {
                self.push(Internal::Home(from, message));
            }
            PeerMessage::Directory(message) => {
                let event = ForwardEvent::Directory(from, message);
                self.push(Internal::Forward(event));
            }
            PeerMessage::Shared(message) => {
                self.shared_message(from, message, out);
            }
            PeerMessage::Consensus(envelope) => {
                self.consensus_message(now, envelope, out);
            }
            PeerMessage::Control(message) => {
                self.control_message(now, from, message, out);
            }
        }
    }

    /// Brings a configuration into force.
    fn install(
        &mut self,
        now: Time,
        record: &ConfigRecord,
        out: &mut impl Extend<Effect>,
    ) {
        let Ok(mut configuration) =
            rmp_serde::from_slice::<Configuration>(&record.document)
        else {
            // The leader has checked the document, so this instance runs an
            // older version of the daemon that does not know all of it.
            out.extend([Effect::Log(LogEvent::new(
                &CONFIG_REJECTED,
                format!("version={}", record.version),
            ))]);
            return;
        };
        configuration.sort();
        let configuration = Arc::new(configuration);
        self.configuration =
            Some((record.version, Arc::clone(&configuration)));
        self.set_bundles(&configuration, out);
        self.configure_forwarding(record.version, &configuration, out);
        self.push(Internal::Query(QueryEvent::Configure(configuration)));
        self.place(now, out);
    }

    /// Sends a message of the query path, which may be for this instance.
    fn send_query(
        &mut self,
        to: InstanceId,
        message: query::Message,
        out: &mut impl Extend<Effect>,
    ) {
        if to == self.me.id {
            self.push(Internal::Home(to, message));
        } else {
            self.send(to, PeerMessage::Query(message), out);
        }
    }

    /// Sends a message to a member; messages to unknown members are dropped.
    fn send(
        &self,
        to: InstanceId,
        message: PeerMessage,
        out: &mut impl Extend<Effect>,
    ) {
        if let Some(member) = self.member(to) {
            let address = member.address;
            out.extend([Effect::Send { to, address, message }]);
        }
    }

    fn member(&self, id: InstanceId) -> Option<&Member> {
        let members = self.membership.members();
        let i = members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(&members[i])
    }
}
