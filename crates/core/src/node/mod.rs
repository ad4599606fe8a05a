/*!
The top-level reducer of a daemon, composed of the reducers of its subsystems.

[`Node::step`] takes one event, delivers the internal events that it causes
between the subsystems, and returns the effects for the daemon to carry out.
Subsystems never call each other: all communication between them goes through
a queue of internal events, so that the same inputs always produce the same
order of events.
*/

mod auto_bootstrap;
mod claims;
mod forwarding;
mod group;
mod home;
mod lifecycle;
mod replica;
mod reports;
mod roles;
mod rollouts;
mod roster;
mod shared_limits;
mod types;
mod view;

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

pub use self::types::{
    Effect, Event, NodeOptions, OperatorReply, OperatorRequest, PlatformList,
    TargetHome,
};
use self::{
    auto_bootstrap::AutoBootstrap, forwarding::ForwardFleet, home::HomeJobs,
    lifecycle::Lifecycle, replica::ControlReplica, roster::HeldReplies,
    shared_limits::ShareInputs,
};
use crate::{
    config::Configuration,
    config_sync::{ConfigRecord, ConfigSync, SyncEffect, SyncEvent},
    consensus::ConsensusEvent,
    control::client::{Client, ClientEffect, ClientEvent},
    event::{LogEvent, config::CONFIG_REJECTED},
    forward::{ForwardEvent, Forwarder},
    id::{ConfigVersion, InstanceId, Token},
    membership::{Member, Membership, MembershipEffect, MembershipEvent},
    message::PeerMessage,
    placement::Placement,
    query::{self, Queries, QueryEffect, QueryEvent},
    shares::{ShareEvent, Shares},
    target::{TargetEffect, TargetEvent, TargetReport, Targets},
    time::Time,
};

/// An event that one subsystem raises for another.
#[derive(Debug)]
enum Internal {
    Membership(MembershipEvent),
    Sync(SyncEvent),
    Query(QueryEvent),
    Target(TargetEvent),
    Client(ClientEvent),
    Forward(ForwardEvent),
    Share(ShareEvent),
    /// A message of the query path and the instance that sent it, which may
    /// be this one.
    QueryMessage(InstanceId, query::Message),
}

/// The decision state of a daemon, with that of all its subsystems.
pub struct Node {
    own_member: Member,
    options: NodeOptions,
    membership: Membership,
    sync: ConfigSync,
    queries: Queries,
    targets: Targets,
    forwarder: Forwarder,
    shares: Shares,
    share_inputs: ShareInputs,
    forward_fleet: ForwardFleet,
    auto_bootstrap: AutoBootstrap,
    home_jobs: HomeJobs,
    client: Client,
    replica: Option<ControlReplica>,
    held_replies: HeldReplies,
    configuration: Option<(ConfigVersion, Arc<Configuration>)>,
    /// Home and standby of each bundle in the configuration.
    placement: Placement,
    /// Entry instances that can be homes: those neither leaving nor dead.
    candidates: Vec<crate::placement::Candidate>,
    /// Instances that could not be reached, sorted, and the time until which
    /// no requests are sent to them.
    unreachable: Vec<(InstanceId, Time)>,
    lifecycle: Lifecycle,
    /// Whether this instance holds its lease.
    leased: bool,
    /// Whether the newest configuration that this instance knows was applied
    /// as a whole. The lease does not cover an older one.
    applied: bool,
    /// Whether this instance holds its lease, for a configuration that was
    /// applied.
    serving: bool,
    /// Reports of targets that have not been sent yet, sorted by target.
    reports: Vec<TargetReport>,
    flush_reports_at: Option<Time>,
    refresh_reports_at: Time,
    last_internal_token: u64,
    /// Sorted by token, because tokens only grow.
    pending_claims: Vec<PendingClaim>,
    /// Internal events that have not been handled yet.
    queue: VecDeque<Internal>,
}

/// A claim that has been submitted to the control client and not answered yet.
#[derive(Debug)]
struct PendingClaim {
    token: Token,
    query: crate::id::QueryId,
}

/// Bit set in the tokens of the node's own control requests, so that they
/// never collide with the tokens of operators' requests.
const INTERNAL_TOKEN: u64 = 1 << 63;

impl Node {
    /// Creates the state of a daemon.
    pub fn new(own_member: Member, options: NodeOptions, seed: u64) -> Node {
        let queries = Queries::new(
            own_member.id,
            own_member.zone,
            options.query.clone(),
            seed ^ 1,
        );
        Node {
            membership: Membership::new(
                own_member.clone(),
                options.membership.clone(),
                seed ^ 2,
            ),
            sync: ConfigSync::new(
                own_member.id,
                options.sync.clone(),
                seed ^ 3,
            ),
            queries,
            targets: Targets::new(options.target.clone(), seed ^ 4),
            forwarder: Forwarder::new(
                own_member.id,
                own_member.zone,
                options.forward.clone(),
                seed ^ 6,
            ),
            shares: Shares::new(
                own_member.id,
                own_member.zone,
                options.shares.clone(),
                seed ^ 7,
            ),
            share_inputs: ShareInputs::default(),
            forward_fleet: ForwardFleet::default(),
            auto_bootstrap: AutoBootstrap::default(),
            home_jobs: HomeJobs::default(),
            client: Client::new(seed ^ 5),
            replica: None,
            held_replies: HeldReplies::default(),
            configuration: None,
            placement: Placement::default(),
            candidates: Vec::new(),
            unreachable: Vec::new(),
            lifecycle: Lifecycle::default(),
            leased: false,
            applied: false,
            serving: false,
            reports: Vec::new(),
            flush_reports_at: None,
            refresh_reports_at: Time::ZERO,
            last_internal_token: 0,
            pending_claims: Vec::new(),
            queue: VecDeque::new(),
            own_member,
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
        // Expired deadlines are handled before the event. After the process
        // was suspended, an expired lease must end before a query or a shard
        // request is handled.
        self.tick(now, out);
        self.process_queue(now, out);
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
                self.handle_operator_request(now, token, req, out);
            }
            Event::Peer(from, message) => {
                self.handle_peer_message(now, from, message, out);
            }
            Event::Unreachable(id) => self.mark_unreachable(now, id),
            Event::Receiving(id) => {
                let event = ConsensusEvent::Receiving(id);
                self.step_consensus(now, event, out);
            }
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
            Event::Platform(list) => self.handle_platform_list(&list),
            Event::Shutdown => self.begin_shutdown(now, out),
            Event::Tick => {}
        }
        self.process_queue(now, out);
        self.advance_shutdown(now, out);
    }

    /// Returns whether a connection to an address serves this instance: that
    /// of a member, or one at which it seeks the fleet.
    pub fn is_peer_address(&self, address: SocketAddr) -> bool {
        self.members().iter().any(|m| m.address == address)
            || self.membership.is_seed_address(address)
    }

    /// Returns the time at which the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        [
            self.membership.next_deadline(),
            self.sync.next_deadline(),
            self.queries.next_deadline(),
            self.targets.next_deadline(),
            self.forwarder.next_deadline(),
            self.shares.next_deadline(),
            self.forward_fleet.next_deadline(),
            self.auto_bootstrap_deadline(),
            self.client.next_deadline(),
            self.replica.as_ref().and_then(ControlReplica::next_deadline),
            self.held_replies.next_deadline(),
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

    /// Sends a tick to each subsystem whose deadline has passed and does the
    /// node's own periodic work.
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
        if due(self.shares.next_deadline()) {
            self.push(Internal::Share(ShareEvent::Tick));
        }
        self.forward_fleet_tick(now);
        self.auto_bootstrap_tick(now, out);
        self.replica_tick(now, out);
        self.roster_tick(now, out);
        self.held_replies_tick(now, out);
        self.supervisor_tick(now, out);
        self.expire_unreachable(now);
        self.flush_reports(now, out);
    }

    /// Handles queued internal events until none is left.
    fn process_queue(&mut self, now: Time, out: &mut impl Extend<Effect>) {
        while let Some(event) = self.queue.pop_front() {
            match event {
                Internal::Membership(event) => {
                    self.step_membership(now, event, out);
                }
                Internal::Sync(event) => self.step_sync(now, event, out),
                Internal::Query(event) => self.step_query(now, event, out),
                Internal::Target(event) => self.step_target(now, event, out),
                Internal::Client(event) => self.step_client(now, event, out),
                Internal::Forward(event) => {
                    self.step_forwarder(now, event, out);
                }
                Internal::Share(event) => self.step_shares(now, event, out),
                Internal::QueryMessage(from, message) => {
                    self.handle_query_message(now, from, message, out);
                }
            }
        }
    }

    fn step_membership(
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

    fn step_sync(
        &mut self,
        now: Time,
        event: SyncEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let mut effects = Vec::new();
        let confirmed = self.sync.confirmed_at();
        self.sync.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                SyncEffect::Send(to, message) => {
                    self.send(to, PeerMessage::Sync(message), out);
                }
                SyncEffect::Install(record) => {
                    self.install(now, &record, out);
                }
                SyncEffect::Serving(leased) => {
                    self.leased = leased;
                    self.update_serving(now, out);
                }
                SyncEffect::Log(event) => out.extend([Effect::Log(event)]),
            }
        }
        self.voter_list_changed();
        self.release_replies(now, out);
        // Queued after the configuration that was confirmed.
        let confirmed_at = self.sync.confirmed_at();
        if let Some(at) = confirmed_at.filter(|_| confirmed_at != confirmed) {
            self.push(Internal::Forward(ForwardEvent::Confirmed(at)));
        }
    }

    fn step_query(
        &mut self,
        now: Time,
        event: QueryEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let mut effects = Vec::new();
        self.queries.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                QueryEffect::Send(to, message) if to == self.own_member.id => {
                    self.push(Internal::QueryMessage(to, message));
                }
                QueryEffect::Send(to, message) => {
                    self.send(to, PeerMessage::Query(message), out);
                }
                QueryEffect::Claim { query, request_id, budget_us } => {
                    self.submit_claim(query, request_id, budget_us);
                }
                QueryEffect::Settle { query, request_id, verdict } => {
                    self.submit_settle(query, request_id, verdict);
                }
                QueryEffect::Respond(token, response) => {
                    out.extend([Effect::Respond(token, response)]);
                }
                QueryEffect::NewestSnapshots(newest) => {
                    let event = TargetEvent::NewestSnapshots(newest);
                    self.push(Internal::Target(event));
                }
                QueryEffect::Log(event) => out.extend([Effect::Log(event)]),
            }
        }
    }

    fn step_target(
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
                        .home_jobs
                        .complete(job, outcome, |t| targets.report(t));
                    if let Some((root, message)) = reply {
                        self.send_query(root, message, out);
                    }
                }
                TargetEffect::Report(report) => self.queue_report(now, report),
                TargetEffect::NotifyStandby { to, target, notice } => {
                    let message =
                        query::Message::SharingNotice(target, notice);
                    self.send_query(to, message, out);
                }
                TargetEffect::ConfirmSharing { to, target, notice } => {
                    let message =
                        query::Message::SharingConfirmed(target, notice);
                    self.send_query(to, message, out);
                }
                TargetEffect::Log(event) => out.extend([Effect::Log(event)]),
                effect => out.extend([Effect::Target(effect)]),
            }
        }
    }

    fn handle_query_message(
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
                for job in self.home_jobs.accept(now, from, req) {
                    self.push(Internal::Target(TargetEvent::Submit(job)));
                }
            }
            query::Message::Cancel { query, attempts } => {
                for job in self.home_jobs.jobs_of(from, query, &attempts) {
                    self.push(Internal::Target(TargetEvent::Cancel(job)));
                }
            }
            query::Message::CancelShards { query, shards } => {
                for job in self.home_jobs.jobs_of_shards(from, query, &shards)
                {
                    self.push(Internal::Target(TargetEvent::Cancel(job)));
                }
            }
            query::Message::SharingNotice(target, notice) => {
                let event = TargetEvent::SharingNoticed(target, from, notice);
                self.push(Internal::Target(event));
            }
            query::Message::SharingConfirmed(target, notice) => {
                let event =
                    TargetEvent::SharingConfirmed(target, from, notice);
                self.push(Internal::Target(event));
            }
            query::Message::Accepted { .. }
            | query::Message::Reply(_)
            | query::Message::Reports(_) => {
                self.push(Internal::Query(QueryEvent::Message(from, message)));
            }
        }
    }

    fn step_client(
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
                    self.handle_control_reply(token, reply, out);
                }
                ClientEffect::Log(event) => out.extend([Effect::Log(event)]),
            }
        }
    }

    fn handle_peer_message(
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
                self.push(Internal::QueryMessage(from, message));
            }
            PeerMessage::Directory(message) => {
                let event = ForwardEvent::Directory(from, message);
                self.push(Internal::Forward(event));
            }
            PeerMessage::Shared(message) => {
                self.handle_shared_message(from, message, out);
            }
            PeerMessage::Shares(message) => {
                self.push(Internal::Share(ShareEvent::Message(from, message)));
            }
            PeerMessage::Consensus(envelope) => {
                self.handle_consensus_message(now, envelope, out);
            }
            PeerMessage::Control(message) => {
                self.handle_control_message(now, from, message, out);
            }
        }
    }

    /// Decodes a committed configuration and applies it to all subsystems.
    fn install(
        &mut self,
        now: Time,
        record: &ConfigRecord,
        out: &mut impl Extend<Effect>,
    ) {
        let Ok(mut configuration) =
            rmp_serde::from_slice::<Configuration>(&record.document)
        else {
            // The document was validated and encoded by the instance that
            // received the operator's request, so decoding fails only if this
            // instance runs an older release that lacks a field or variant
            // used in it.
            out.extend([Effect::Log(LogEvent::new(
                &CONFIG_REJECTED,
                format!("version={}", record.version),
            ))]);
            self.applied = false;
            self.update_serving(now, out);
            return;
        };
        configuration.sort();
        let configuration = Arc::new(configuration);
        self.configuration =
            Some((record.version, Arc::clone(&configuration)));
        self.set_bundles(&configuration, out);
        self.applied =
            self.configure_forwarding(record.version, &configuration, out);
        self.push(Internal::Query(QueryEvent::Configure(configuration)));
        self.configure_targets(now, out);
        self.update_serving(now, out);
    }

    /// Sends a message of the query path. One for this instance is queued
    /// instead.
    fn send_query(
        &mut self,
        to: InstanceId,
        message: query::Message,
        out: &mut impl Extend<Effect>,
    ) {
        if to == self.own_member.id {
            self.push(Internal::QueryMessage(to, message));
        } else {
            self.send(to, PeerMessage::Query(message), out);
        }
    }

    /// Sends a message to a member. Drops it if the member is not known.
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

    /// Returns whether a member is in the availability zone of this instance.
    pub fn is_in_own_zone(&self, id: InstanceId) -> bool {
        self.member(id).is_some_and(|m| m.zone == self.own_member.zone)
    }

    fn member(&self, id: InstanceId) -> Option<&Member> {
        let members = self.membership.members();
        let i = members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(&members[i])
    }
}
