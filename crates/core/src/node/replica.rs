//! The control replica of an instance, if it has one.

use std::time::Duration;

use super::{Effect, Internal, Node, OperatorReply};
use crate::{
    config_sync::SyncEvent,
    consensus::{
        Consensus, ConsensusEffect, ConsensusEvent, Envelope, Recovered, Role,
        Status,
    },
    control::{
        Applied, ChangeOutcome, ControlReply, ControlRequest, ControlState,
        Message,
        client::ClientEvent,
        repair::{Repair, RepairEffect, RepairEvent, RepairOptions},
        service::{Origin, Service, ServiceEffect, ServiceEvent},
    },
    id::{ConfigVersion, InstanceId, ReplicaId, Token},
    membership::{Member, MembershipEvent},
    message::PeerMessage,
    time::Time,
};

/// How often a replica without a group asks to join one.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a leader after which a replica asks to join again. The group
/// may have replaced it while it was away, and nobody tells it.
const LEADERLESS_MAX: Duration = Duration::from_secs(3);

/// Tokens of the repair policy start here, those of the service at 1, so
/// that an outcome finds its owner.
const FIRST_REPAIR_TOKEN: u64 = 1 << 62;

/// The replica and the reducers around it.
pub(super) struct ReplicaNode {
    pub(super) id: ReplicaId,
    pub(super) consensus: Consensus,
    pub(super) state: ControlState,
    pub(super) service: Service,
    pub(super) repair: Repair,
    pub(super) status: Status,
    pub(super) join_at: Time,
    /// Since when no leader is known.
    pub(super) leaderless_since: Option<Time>,
    /// What was last told to the configuration sync.
    pub(super) told: Option<(bool, u32, ConfigVersion, u64)>,
}

impl ReplicaNode {
    pub(super) fn next_deadline(&self) -> Option<Time> {
        let asks =
            self.status.role == Role::Idle || self.leaderless_since.is_some();
        let join = asks.then_some(self.join_at);
        [self.consensus.next_deadline(), self.repair.next_deadline(), join]
            .into_iter()
            .flatten()
            .min()
    }
}

impl Node {
    pub(super) fn start_replica(
        &mut self,
        now: Time,
        recovered: Option<(ReplicaId, Recovered)>,
        out: &mut impl Extend<Effect>,
    ) {
        let Some((id, recovered)) = recovered else { return };
        let options = self.options.consensus.clone();
        let seed = id.0 ^ self.me.incarnation;
        let consensus = Consensus::new(id, options, recovered, seed);
        let repair = RepairOptions {
            group_size: self.options.control_group_size as usize,
            replace_after: self.options.replace_voter_after,
        };
        self.replica = Some(ReplicaNode {
            id,
            consensus,
            state: ControlState::default(),
            service: Service::new(1),
            repair: Repair::new(repair, FIRST_REPAIR_TOKEN),
            status: Status::default(),
            join_at: now + JOIN_INTERVAL,
            leaderless_since: None,
            told: None,
        });
        let mut effects = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.consensus.start(now, &mut effects);
        }
        self.consensus_effects(now, effects, out);
    }

    /// The control replica's status, if there is one.
    pub fn control_status(&self) -> Option<Status> {
        self.replica.as_ref().map(|r| r.consensus.status())
    }

    /// Outcome of a change, as far as this instance's replica knows it.
    pub fn change_outcome(&self, change_id: &str) -> Option<ChangeOutcome> {
        self.replica.as_ref()?.state.outcome(change_id).cloned()
    }

    pub(super) fn replica_tick(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        let due = |at: Option<Time>| at.is_some_and(|at| at <= now);
        let tick = due(replica.consensus.next_deadline());
        let leaderless = replica
            .leaderless_since
            .is_some_and(|since| now.since(since) >= LEADERLESS_MAX);
        let join = (replica.status.role == Role::Idle || leaderless)
            && replica.join_at <= now;
        if replica.join_at <= now {
            replica.join_at = now + JOIN_INTERVAL;
        }
        if due(replica.repair.next_deadline()) {
            let status = replica.consensus.status();
            let mut effects = Vec::new();
            let event = RepairEvent::Status(status);
            replica.repair.step(now, event, &mut effects);
            self.repair_effects(now, effects, out);
        }
        if tick {
            self.step_consensus(now, ConsensusEvent::Tick, out);
        }
        if join {
            self.join_group();
        }
    }

    pub(super) fn replica_persisted(
        &mut self,
        now: Time,
        ticket: u64,
        out: &mut impl Extend<Effect>,
    ) {
        self.step_consensus(now, ConsensusEvent::Persisted(ticket), out);
    }

    pub(super) fn consensus_message(
        &mut self,
        now: Time,
        envelope: Envelope,
        out: &mut impl Extend<Effect>,
    ) {
        let for_us =
            self.replica.as_ref().is_some_and(|r| r.id == envelope.to);
        // The address may have belonged to a replica whose disk is lost.
        if for_us {
            self.step_consensus(now, ConsensusEvent::Message(envelope), out);
        }
    }

    /// A message to or from the control leader.
    pub(super) fn control_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
        out: &mut impl Extend<Effect>,
    ) {
        match message {
            Message::Request { sequence, request } => {
                if self.too_few_voters(&request) {
                    let reply = ControlReply::NotReady(
                        "the control group has too few voters yet".into(),
                    );
                    let message = Message::Reply { sequence, reply };
                    self.send_control(now, from, message, out);
                    return;
                }
                if self.must_refuse(now, &request) {
                    let reply = ControlReply::NotReady(
                        "the control leader does not reach a majority of \
                         the fleet"
                            .into(),
                    );
                    let message = Message::Reply { sequence, reply };
                    self.send_control(now, from, message, out);
                    return;
                }
                let wall_ms =
                    self.options.wall_epoch_ms + now.as_micros() / 1_000;
                let origin = Origin::Peer(from, sequence);
                let event = ServiceEvent::Request { origin, request, wall_ms };
                self.step_service(now, event, out);
            }
            Message::Reply { sequence, reply } => {
                self.push(Internal::Client(ClientEvent::Reply {
                    from,
                    sequence,
                    reply,
                }));
            }
        }
    }

    /// Whether this instance leads, but is cut off from most of the fleet.
    ///
    /// The other side would keep its configuration until the cut heals,
    /// because it cannot tell that the control group lives. Above the size
    /// at which members compare directly, too few are heard from to judge.
    fn must_refuse(&self, now: Time, request: &ControlRequest) -> bool {
        let leads = self
            .replica
            .as_ref()
            .is_some_and(|r| r.status.role == Role::Leader);
        let changes = matches!(
            request,
            ControlRequest::Change(_)
                | ControlRequest::Revise(_)
                | ControlRequest::SetZone(_)
        );
        changes
            && leads
            && self.members().len() <= self.options.sync.max_direct_members
            && !self.sync.reaches_fleet_majority(now)
    }

    /// Whether a table or zone order must wait until the group has grown.
    fn too_few_voters(&self, request: &ControlRequest) -> bool {
        let waits = matches!(
            request,
            ControlRequest::Revise(_) | ControlRequest::SetZone(_)
        );
        let leader = self
            .replica
            .as_ref()
            .map(|r| &r.status)
            .filter(|s| s.role == Role::Leader);
        let voters =
            leader.map(|s| s.members.iter().filter(|m| m.voter).count());
        waits && voters.is_some_and(|v| v < self.options.min_voters as usize)
    }

    /// Sends a control message, which may be for this instance.
    pub(super) fn send_control(
        &mut self,
        now: Time,
        to: InstanceId,
        message: Message,
        out: &mut impl Extend<Effect>,
    ) {
        if to == self.me.id {
            self.control_message(now, to, message, out);
        } else {
            self.send(to, PeerMessage::Control(message), out);
        }
    }

    /// The instances that may lead the control group.
    pub(super) fn control_members_changed(&mut self, present: &[Member]) {
        let replicas = present
            .iter()
            .filter(|m| m.replica.is_some() && m.control_group != 0)
            .map(|m| m.id)
            .collect();
        self.push(Internal::Client(ClientEvent::Replicas(replicas)));
    }

    pub(super) fn step_consensus(
        &mut self,
        now: Time,
        event: ConsensusEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        let mut effects = Vec::new();
        replica.consensus.step(now, event, &mut effects);
        self.consensus_effects(now, effects, out);
    }

    pub(super) fn step_service(
        &mut self,
        now: Time,
        event: ServiceEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        let mut effects = Vec::new();
        replica.service.step(event, &mut effects);
        for effect in effects {
            match effect {
                ServiceEffect::Propose(token, command) => {
                    let event = ConsensusEvent::Propose(token, command);
                    self.step_consensus(now, event, out);
                }
                ServiceEffect::ChangeMembers(token, change) => {
                    let event = ConsensusEvent::ChangeMembers(token, change);
                    self.step_consensus(now, event, out);
                }
                ServiceEffect::Send(to, message) => {
                    self.send_control(now, to, message, out);
                }
                ServiceEffect::Respond(token, reply) => {
                    let reply = OperatorReply::Control(reply);
                    out.extend([Effect::Reply(token, reply)]);
                }
                ServiceEffect::Log(event) => {
                    out.extend([Effect::Log(event)]);
                }
            }
        }
    }

    fn repair_effects(
        &mut self,
        now: Time,
        effects: Vec<RepairEffect>,
        out: &mut impl Extend<Effect>,
    ) {
        for effect in effects {
            match effect {
                RepairEffect::ChangeMembers(token, change) => {
                    let event = ConsensusEvent::ChangeMembers(token, change);
                    self.step_consensus(now, event, out);
                }
                RepairEffect::Log(event) => out.extend([Effect::Log(event)]),
            }
        }
    }

    fn consensus_effects(
        &mut self,
        now: Time,
        effects: Vec<ConsensusEffect>,
        out: &mut impl Extend<Effect>,
    ) {
        for effect in effects {
            match effect {
                ConsensusEffect::Send { instance, address, envelope } => {
                    out.extend([Effect::Send {
                        to: instance,
                        address,
                        message: PeerMessage::Consensus(envelope),
                    }]);
                }
                ConsensusEffect::Persist { ticket, write } => {
                    out.extend([Effect::Persist { ticket, write }]);
                }
                ConsensusEffect::Apply { index, command } => {
                    self.apply(now, index, &command, out);
                }
                ConsensusEffect::Restore { data, .. } => {
                    self.restore(&data);
                }
                ConsensusEffect::TakeSnapshot => {
                    self.take_snapshot(now, out);
                }
                ConsensusEffect::Outcome(token, result) => {
                    self.proposal_outcome(now, token, result, out);
                }
                ConsensusEffect::Status(status) => {
                    self.replica_status(now, status, out);
                }
                ConsensusEffect::Log(event) => {
                    out.extend([Effect::Log(event)]);
                }
            }
        }
        self.tell_sync();
    }

    fn proposal_outcome(
        &mut self,
        now: Time,
        token: Token,
        result: Result<u64, crate::consensus::ProposeError>,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        if replica.repair.owns(token) {
            let mut effects = Vec::new();
            let event = RepairEvent::Outcome(token, result);
            replica.repair.step(now, event, &mut effects);
            self.repair_effects(now, effects, out);
        } else {
            let event = ServiceEvent::Outcome(token, result);
            self.step_service(now, event, out);
        }
    }

    fn apply(
        &mut self,
        now: Time,
        index: u64,
        command: &[u8],
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        let applied = replica.state.apply(index, command);
        let accepted = matches!(
            applied,
            Applied::Change {
                outcome: ChangeOutcome::Accepted(_),
                repeated: false,
                ..
            } | Applied::Version { changed: true, .. }
        );
        if accepted {
            let record = replica.state.record();
            self.push(Internal::Sync(SyncEvent::Committed(record)));
        }
        let event = ServiceEvent::Applied { index, applied };
        self.step_service(now, event, out);
    }

    fn restore(&mut self, data: &[u8]) {
        let Some(replica) = &mut self.replica else { return };
        // The data folder and the transfer have checked the bytes, so only a
        // newer release can have written what this one cannot read.
        if replica.state.restore(data).is_ok()
            && replica.state.version() > ConfigVersion(0)
        {
            let record = replica.state.record();
            self.push(Internal::Sync(SyncEvent::Committed(record)));
        }
    }

    fn take_snapshot(&mut self, now: Time, out: &mut impl Extend<Effect>) {
        let Some(replica) = &self.replica else { return };
        let event = ConsensusEvent::Snapshot {
            index: replica.state.index(),
            data: replica.state.snapshot(),
        };
        self.step_consensus(now, event, out);
    }

    fn replica_status(
        &mut self,
        now: Time,
        status: Status,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        let joined = status.group != replica.status.group;
        let has_leader = status.leader.is_some() || status.group == 0;
        replica.leaderless_since = if has_leader {
            None
        } else {
            replica.leaderless_since.or(Some(now))
        };
        replica.status = status.clone();
        let id = replica.id;
        if joined {
            self.push(Internal::Membership(MembershipEvent::UpdateSelf {
                replica: Some(id),
                control_group: status.group,
            }));
        }
        self.step_service(now, ServiceEvent::Status(status), out);
    }

    /// Keeps the configuration sync informed of the replica's log.
    fn tell_sync(&mut self) {
        let Some(replica) = &mut self.replica else { return };
        let members = &replica.status.members;
        let voter = members.iter().any(|m| m.id == replica.id && m.voter);
        let voters = members.iter().filter(|m| m.voter).count() as u32;
        let logged =
            replica.state.logged_version(replica.consensus.unapplied());
        let members_index = replica.status.members_index;
        let present = (voter, voters, logged, members_index);
        if replica.told != Some(present) {
            replica.told = Some(present);
            self.push(Internal::Sync(SyncEvent::Replica {
                voter,
                voters,
                logged,
                members_index,
            }));
        }
    }
}
