//! Connects the control replica of an instance, if it has one, to the node.

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
        Message, Read,
        client::ClientEvent,
        repair::{
            Repair, RepairEffect, RepairEvent, RepairOptions, tolerates_losses,
        },
        roster::{RosterOptions, RosterUpkeep},
        service::{Origin, Service, ServiceEffect, ServiceEvent},
    },
    event::{LogEvent, control as kinds},
    id::{ConfigVersion, InstanceId, ReplicaId, Token},
    membership::{Member, MembershipEvent},
    message::PeerMessage,
    rollout::{
        Stage,
        supervisor::{Supervisor, SupervisorEvent, SupervisorOptions},
    },
    shares::ShareEvent,
    time::Time,
};

/// Interval at which a replica without a control group requests to join one.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a leader after which a replica requests to join again. The
/// group may have removed it while it was unreachable, and a removed replica
/// receives no messages from which it could learn that.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(3);

/// First token of the repair policy. Tokens of the control service start at
/// 1, so the two ranges do not overlap and each proposal outcome can be
/// passed to the component that made the proposal.
const FIRST_REPAIR_TOKEN: u64 = 1 << 62;

/// First token of the upkeep of the roster, between those of the control
/// service and of the repair.
const FIRST_ROSTER_TOKEN: u64 = 1 << 61;

/// The consensus replica, its state machine and the reducers that use them.
pub(super) struct ControlReplica {
    pub(super) id: ReplicaId,
    pub(super) consensus: Consensus,
    pub(super) state: ControlState,
    pub(super) service: Service,
    pub(super) repair: Repair,
    pub(super) roster: RosterUpkeep,
    pub(super) supervisor: Supervisor,
    pub(super) status: Status,
    /// When the next request to join a group may be sent.
    pub(super) join_at: Time,
    /// Time at which the leader was lost, while none is known.
    pub(super) leaderless_since: Option<Time>,
    /// Last values sent to the configuration sync: whether this replica
    /// votes, the number of voters, the logged version, and the log indexes of
    /// the member list and of the newest logged roster.
    pub(super) last_notified: Option<(bool, u32, ConfigVersion, u64, u64)>,
    /// Sender and receiver of the last message for another replica, so that
    /// repeated ones are not logged again.
    pub(super) last_stray: Option<(ReplicaId, ReplicaId)>,
}

impl ControlReplica {
    pub(super) fn next_deadline(&self) -> Option<Time> {
        let may_join =
            self.status.role == Role::Idle || self.leaderless_since.is_some();
        let join = may_join.then_some(self.join_at);
        [
            self.consensus.next_deadline(),
            self.repair.next_deadline(),
            self.supervisor.next_deadline(),
            self.roster_deadline(),
            join,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns when the roster is checked next; `None` unless this replica
    /// leads.
    pub(super) fn roster_deadline(&self) -> Option<Time> {
        (self.status.role == Role::Leader).then(|| self.roster.next_deadline())
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
        let seed = id.0 ^ self.own_member.incarnation;
        let consensus = Consensus::new(id, options, recovered, seed);
        let repair = RepairOptions {
            group_size: self.options.control_group_size as usize,
            replace_after: self.options.replace_voter_after,
        };
        let roster = RosterOptions {
            abandon_after: self.options.sync.fallback_limit
                + 2 * self.options.sync.lease,
            ..RosterOptions::default()
        };
        self.replica = Some(ControlReplica {
            id,
            consensus,
            state: ControlState::default(),
            service: Service::new(1),
            repair: Repair::new(repair, FIRST_REPAIR_TOKEN),
            roster: RosterUpkeep::new(roster, FIRST_ROSTER_TOKEN),
            supervisor: Supervisor::new(SupervisorOptions::default()),
            status: Status::default(),
            join_at: now + JOIN_INTERVAL,
            leaderless_since: None,
            last_notified: None,
            last_stray: None,
        });
        let mut effects = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.consensus.start(now, &mut effects);
        }
        self.apply_consensus_effects(now, effects, out);
    }

    /// Returns the status of the control replica, if this instance has one.
    pub fn control_status(&self) -> Option<Status> {
        self.replica.as_ref().map(|r| r.consensus.status())
    }

    /// Returns the outcome of a change, if this instance has a replica that
    /// has applied the change.
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
            .is_some_and(|since| now.since(since) >= LEADERLESS_TIMEOUT);
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
            self.apply_repair_effects(now, effects, out);
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

    pub(super) fn handle_consensus_message(
        &mut self,
        now: Time,
        envelope: Envelope,
        out: &mut impl Extend<Effect>,
    ) {
        let for_this_replica =
            self.replica.as_ref().is_some_and(|r| r.id == envelope.to);
        // Messages may still be addressed to a former replica of this
        // instance whose disk was lost.
        if for_this_replica {
            self.step_consensus(now, ConsensusEvent::Message(envelope), out);
            return;
        }
        let Some(replica) = &mut self.replica else { return };
        let stray = (envelope.from, envelope.to);
        if replica.last_stray.replace(stray) != Some(stray) {
            let detail = format!(
                "from={} to={} own={}",
                envelope.from, envelope.to, replica.id
            );
            let event = LogEvent::new(&kinds::STRAY_MESSAGE, detail);
            out.extend([Effect::Log(event)]);
        }
    }

    /// Handles a request to the control leader or a reply from it.
    pub(super) fn handle_control_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
        out: &mut impl Extend<Effect>,
    ) {
        match message {
            Message::Request { sequence, request } => {
                if self.waits_for_repair(&request) {
                    let reply = ControlReply::NotReady(
                        "the control group is being repaired".into(),
                    );
                    let message = Message::Reply { sequence, reply };
                    self.send_control(now, from, message, out);
                    return;
                }
                if self.refuses_as_isolated_leader(now, &request, out) {
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
            Message::Report(report) => {
                let event = SupervisorEvent::Report(from, report);
                self.step_supervisor(now, event, out);
            }
        }
    }

    /// Returns whether a change has to wait until the control group has more
    /// voters, or no dead one.
    fn waits_for_repair(&self, request: &ControlRequest) -> bool {
        if !is_guarded(request) {
            return false;
        }
        let Some(replica) = &self.replica else { return false };
        let status = replica.consensus.status();
        let min_voters = self.options.min_voters as usize;
        let group_size = self.options.control_group_size as usize;
        status.role == Role::Leader
            && !tolerates_losses(&status, min_voters, group_size)
    }

    /// Sends a control message. One for this instance is handled directly.
    pub(super) fn send_control(
        &mut self,
        now: Time,
        to: InstanceId,
        message: Message,
        out: &mut impl Extend<Effect>,
    ) {
        if to == self.own_member.id {
            self.handle_control_message(now, to, message, out);
        } else {
            self.send(to, PeerMessage::Control(message), out);
        }
    }

    /// Updates the instances that may lead the control group.
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
        self.apply_consensus_effects(now, effects, out);
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
                ServiceEffect::Read(token) => {
                    self.step_consensus(now, ConsensusEvent::Read(token), out);
                }
                ServiceEffect::Answer(origin, read) => {
                    self.answer_read(now, origin, &read, out);
                }
                ServiceEffect::ChangeMembers(token, change) => {
                    let event = ConsensusEvent::ChangeMembers(token, change);
                    self.step_consensus(now, event, out);
                }
                ServiceEffect::Send(to, message) => {
                    self.send_reply(now, to, message, out);
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

    fn answer_read(
        &mut self,
        now: Time,
        origin: Origin,
        read: &Read,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &self.replica else { return };
        let reply = replica.state.read(read);
        match origin {
            Origin::Peer(instance, sequence) => {
                let message = Message::Reply { sequence, reply };
                self.send_control(now, instance, message, out);
            }
            Origin::Local(token) => {
                let reply = OperatorReply::Control(reply);
                out.extend([Effect::Reply(token, reply)]);
            }
        }
    }

    fn apply_repair_effects(
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

    fn apply_consensus_effects(
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
                    self.apply_command(now, index, &command, out);
                }
                ConsensusEffect::Restore { data, .. } => {
                    self.restore_snapshot(&data);
                    self.supervise_records(now, out);
                }
                ConsensusEffect::TakeSnapshot => {
                    self.take_snapshot(now, out);
                }
                ConsensusEffect::Outcome(token, result) => {
                    self.handle_proposal_outcome(now, token, result, out);
                }
                ConsensusEffect::Status(status) => {
                    self.handle_replica_status(now, status, out);
                }
                ConsensusEffect::Log(event) => {
                    out.extend([Effect::Log(event)]);
                }
            }
        }
        self.notify_sync();
    }

    fn handle_proposal_outcome(
        &mut self,
        now: Time,
        token: Token,
        result: Result<u64, crate::consensus::ProposeError>,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        if replica.roster.ends_change(token) {
            return;
        }
        if replica.repair.owns(token) {
            let mut effects = Vec::new();
            let event = RepairEvent::Outcome(token, result);
            replica.repair.step(now, event, &mut effects);
            self.apply_repair_effects(now, effects, out);
        } else {
            let event = ServiceEvent::Outcome(token, result);
            self.step_service(now, event, out);
        }
    }

    fn apply_command(
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
                | Applied::Zone { changed: true, .. }
                | Applied::Rollout { changed: true, .. }
        );
        let rollouts = matches!(
            applied,
            Applied::Rollout { changed: true, .. } | Applied::RolloutsMarked
        );
        if accepted {
            let record = replica.state.record();
            self.push(Internal::Sync(SyncEvent::Committed(record)));
        }
        let roster = applied == Applied::Roster { changed: true };
        let event = ServiceEvent::Applied { index, applied };
        self.step_service(now, event, out);
        if roster {
            self.rosters_changed();
        }
        if rollouts {
            self.supervise_records(now, out);
        }
    }

    fn restore_snapshot(&mut self, data: &[u8]) {
        let Some(replica) = &mut self.replica else { return };
        // Storage and snapshot transfer verify the bytes, so decoding fails
        // only if a newer release wrote the snapshot.
        if replica.state.restore(data).is_ok()
            && replica.state.version() > ConfigVersion(0)
        {
            let record = replica.state.record();
            self.push(Internal::Sync(SyncEvent::Committed(record)));
        }
        self.rosters_changed();
    }

    fn take_snapshot(&mut self, now: Time, out: &mut impl Extend<Effect>) {
        let Some(replica) = &self.replica else { return };
        let event = ConsensusEvent::Snapshot {
            index: replica.state.index(),
            data: replica.state.snapshot(),
        };
        self.step_consensus(now, event, out);
    }

    fn handle_replica_status(
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
        let id = replica.id;
        // The seeds in the settings may name instances that are gone.
        let moved = status.members != replica.status.members;
        let addresses = moved.then(|| {
            let others = status.members.iter().filter(|m| m.id != id);
            others.map(|m| m.address).collect()
        });
        if status.role != replica.status.role {
            replica.roster.reset();
        }
        replica.status = status.clone();
        let leading = status.role == Role::Leader;
        if let Some(addresses) = addresses {
            self.push(Internal::Membership(MembershipEvent::SeedAddresses(
                addresses,
            )));
        }
        if joined {
            self.push(Internal::Membership(MembershipEvent::UpdateSelf {
                replica: Some(id),
                control_group: status.group,
            }));
        }
        self.step_service(now, ServiceEvent::Status(status), out);
        self.step_supervisor(now, SupervisorEvent::Leading(leading), out);
    }

    /// Notifies the configuration sync of changes to the replica's log and
    /// voting status.
    fn notify_sync(&mut self) {
        let Some(replica) = &mut self.replica else { return };
        let members = &replica.status.members;
        let voter = members.iter().any(|m| m.id == replica.id && m.voter);
        let voters = members.iter().filter(|m| m.voter).count() as u32;
        let logged =
            replica.state.logged_version(replica.consensus.unapplied());
        let members_index = replica.status.members_index;
        let logged_roster =
            replica.state.logged_roster(replica.consensus.unapplied());
        let current = (voter, voters, logged, members_index, logged_roster);
        if replica.last_notified != Some(current) {
            replica.last_notified = Some(current);
            if !voter {
                self.push(Internal::Share(ShareEvent::NotVoter));
            }
            self.push(Internal::Sync(SyncEvent::Replica {
                voter,
                voters,
                logged,
                members_index,
                logged_roster,
            }));
        }
    }
}

/// Returns whether a request changes the configuration, so that it must
/// survive losses and reach the fleet. Taking a roll-out back is not held up
/// by that, because it sends nothing where nothing may go.
pub(super) fn is_guarded(request: &ControlRequest) -> bool {
    match request {
        ControlRequest::Change(_)
        | ControlRequest::Revise(_)
        | ControlRequest::SetZone(_)
        | ControlRequest::StartRollout(_) => true,
        ControlRequest::MoveRollout(change) => change.to != Stage::RolledBack,
        _ => false,
    }
}
