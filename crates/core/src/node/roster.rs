//! Majorities of the fleet at the control leader: the upkeep of the roster,
//! and replies that wait until a majority holds the version they acknowledge.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Effect, Internal, Node, replica::is_guarded};
use crate::{
    config_sync::SyncEvent,
    consensus::{ConsensusEvent, Role},
    control::{
        ChangeOutcome, Command, ControlReply, ControlRequest, Message,
        roster::{RosterStep, RosterView},
    },
    event::{LogEvent, control as kinds},
    id::{ConfigVersion, InstanceId},
    membership::MembershipEvent,
    message::PeerMessage,
    time::Time,
};

/// Time after a reply was held at which the fleet is asked for what it holds.
/// The new version is usually there by then.
const FIRST_POLL: Duration = Duration::from_millis(10);

/// Longest interval between two such questions; it doubles from the first.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(320);

/// Time after which a held reply is logged.
const HELD_LOG_AFTER: Duration = Duration::from_secs(1);

/// Time after which a held reply is dropped. Its receiver no longer waits.
const HELD_LIMIT: Duration = Duration::from_secs(30);

/// Interval at which refusals of an isolated leader are logged.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Most addresses of the roster that a replica seeks the fleet at.
const MAX_ROSTER_SEEDS: usize = 32;

/// A reply that acknowledges a version.
#[derive(Clone, Debug)]
struct HeldReply {
    version: ConfigVersion,
    to: InstanceId,
    message: Message,
    since: Time,
    logged: bool,
}

/// Replies that wait for the fleet, oldest first.
#[derive(Debug, Default)]
pub(super) struct HeldReplies {
    replies: Vec<HeldReply>,
    next_poll: Option<Time>,
    poll_interval: Duration,
    /// When a refusal of an isolated leader may be logged again.
    next_refusal_log: Time,
}

impl HeldReplies {
    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.next_poll
    }
}

impl Node {
    /// Returns whether to refuse a change because this instance leads the
    /// control group but cannot reach a majority of the roster.
    ///
    /// No majority could hold the change, and the instances that are not
    /// reached may renew their lease for the version that they hold.
    pub(super) fn refuses_as_isolated_leader(
        &mut self,
        now: Time,
        request: &ControlRequest,
        out: &mut impl Extend<Effect>,
    ) -> bool {
        let Some(replica) = &self.replica else { return false };
        let rosters = replica.state.rosters();
        if replica.status.role != Role::Leader
            || !is_guarded(request)
            || self.sync.reaches_majority(now, rosters)
        {
            return false;
        }
        let (reached, of) = self.sync.contact(now, rosters);
        if now >= self.held_replies.next_refusal_log {
            self.held_replies.next_refusal_log = now + REFUSAL_LOG_INTERVAL;
            let members = self.members().len();
            let detail =
                format!("reached={reached} of={of} members={members}");
            let event = LogEvent::new(&kinds::FLEET_NOT_REACHED, detail);
            out.extend([Effect::Log(event)]);
        }
        true
    }

    /// Proposes a new roster if the members of the fleet have changed.
    pub(super) fn roster_tick(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        if replica.roster_deadline().is_none_or(|at| now < at) {
            return;
        }
        let rosters = replica.state.rosters();
        let view = RosterView {
            members: self.membership.members(),
            rosters,
            previous_ended: self.sync.has_ended(rosters),
            reaches_majority: self.sync.reaches_majority(now, rosters),
        };
        // A leader may not have applied the roster yet that is in its log.
        let unapplied = replica.consensus.unapplied();
        let is_newest =
            replica.state.logged_roster(unapplied) == rosters.current.index;
        match replica.roster.check(now, &view) {
            RosterStep::Propose(command) if is_newest => {
                self.propose_roster(now, &command, out);
            }
            RosterStep::Poll if is_newest => {
                self.poll_rosters(ConfigVersion(0), out);
            }
            _ => {}
        }
    }

    fn propose_roster(
        &mut self,
        now: Time,
        command: &Command,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        let token = replica.roster.start_change();
        if let Command::SetRoster(change) = command {
            let detail = format!(
                "after={} instances={} abandons_previous={}",
                change.after,
                change.entries.len(),
                change.abandons_previous
            );
            let event = LogEvent::new(&kinds::ROSTER_PROPOSED, detail);
            out.extend([Effect::Log(event)]);
        }
        let command = command.encode();
        self.step_consensus(now, ConsensusEvent::Propose(token, command), out);
    }

    /// Passes the rosters of the state machine on, and seeks the fleet at
    /// their addresses: a replica that starts may know no other.
    pub(super) fn rosters_changed(&mut self) {
        let Some(replica) = &self.replica else { return };
        let current = Arc::clone(replica.state.roster());
        let own_id = self.own_member.id;
        let step = current.entries.len().div_ceil(MAX_ROSTER_SEEDS).max(1);
        let addresses: Vec<SocketAddr> = current
            .entries
            .iter()
            .filter(|x| x.id != own_id)
            .step_by(step)
            .map(|x| x.address)
            .collect();
        self.push(Internal::Sync(SyncEvent::Roster(current)));
        self.push(Internal::Membership(MembershipEvent::SeedAddresses(
            addresses,
        )));
    }

    /// Sends a reply of the control service, or holds it until a majority of
    /// the fleet holds the version that it acknowledges.
    pub(super) fn send_reply(
        &mut self,
        now: Time,
        to: InstanceId,
        message: Message,
        out: &mut impl Extend<Effect>,
    ) {
        let held = acknowledged_version(&message)
            .filter(|version| !self.majority_holds(*version));
        let Some(version) = held else {
            self.send_control(now, to, message, out);
            return;
        };
        let reply =
            HeldReply { version, to, message, since: now, logged: false };
        let held = &mut self.held_replies;
        held.replies.push(reply);
        held.poll_interval = FIRST_POLL;
        held.next_poll = Some(now + FIRST_POLL);
    }

    /// Whether a majority of the fleet holds a version, so that no majority
    /// renews the lease for an older one.
    fn majority_holds(&self, version: ConfigVersion) -> bool {
        self.replica.as_ref().is_some_and(|r| {
            self.sync.majority_holds(version, r.state.rosters())
        })
    }

    /// Sends the held replies whose version a majority of the fleet holds.
    pub(super) fn release_replies(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        if self.held_replies.replies.is_empty() {
            return;
        }
        let held = std::mem::take(&mut self.held_replies.replies);
        for reply in held {
            if self.majority_holds(reply.version) {
                self.send_control(now, reply.to, reply.message, out);
            } else if now.since(reply.since) < HELD_LIMIT {
                self.held_replies.replies.push(reply);
            }
        }
        if self.held_replies.replies.is_empty() {
            self.held_replies.next_poll = None;
        }
    }

    /// Asks the fleet for what it holds while replies wait for it.
    pub(super) fn held_replies_tick(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        if self.held_replies.next_poll.is_none_or(|at| now < at) {
            return;
        }
        self.release_replies(now, out);
        let held = &mut self.held_replies;
        let Some(newest) = held.replies.iter().map(|x| x.version).max() else {
            return;
        };
        held.poll_interval = (held.poll_interval * 2).min(MAX_POLL_INTERVAL);
        held.next_poll = Some(now + held.poll_interval);
        let late = held
            .replies
            .iter_mut()
            .find(|x| !x.logged && now.since(x.since) >= HELD_LOG_AFTER);
        if let Some(reply) = late {
            reply.logged = true;
            let waited = now.since(reply.since).as_millis();
            let version = reply.version;
            let (reached, of) = self
                .replica
                .as_ref()
                .map_or((0, 0), |r| self.sync.contact(now, r.state.rosters()));
            let detail = format!(
                "version={version} waited_ms={waited} reached={reached} \
                 of={of}"
            );
            let event = LogEvent::new(&kinds::CHANGE_HELD, detail);
            out.extend([Effect::Log(event)]);
        }
        self.poll_rosters(newest, out);
    }

    fn poll_rosters(
        &mut self,
        version: ConfigVersion,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &self.replica else { return };
        let rosters = replica.state.rosters();
        for (to, message) in self.sync.poll_rosters(version, rosters) {
            self.send(to, PeerMessage::Sync(message), out);
        }
    }
}

/// Returns the version that a reply acknowledges to be in force.
fn acknowledged_version(message: &Message) -> Option<ConfigVersion> {
    let Message::Reply { reply, .. } = message else { return None };
    match reply {
        ControlReply::Change(ChangeOutcome::Accepted(version))
        | ControlReply::Version(version) => Some(*version),
        ControlReply::Rollout(reply) => Some(reply.version),
        _ => None,
    }
}
