//! Connects the forwarding path to the node.

use std::{sync::Arc, time::Duration};

use super::{Effect, Internal, Node};
use crate::{
    config::{Configuration, ZoneState},
    event::{
        LogEvent,
        forward::{TABLE_INSTALLED, TABLE_REJECTED, ZONES_OUT_CHANGED},
    },
    forward::{
        ForwardEffect, ForwardEvent,
        delegate::Peer,
        shared::{IncomingMessage, Message, TaskWithContent},
        table::CompiledTable,
    },
    id::{ConfigVersion, InstanceId, ZoneId},
    membership::{Member, MemberState},
    message::PeerMessage,
    placement::Candidate,
    shares::ShareEvent,
    time::Time,
};

/// Time for which an entry instance that was lost still counts as one of those
/// that share the limits of the targets. It may still be running and sending
/// requests, separated from this instance by a partition, and the windows of
/// the shared limits include the requests that it sent before.
const LOST_ENTRY_RETENTION: Duration = Duration::from_secs(10);

/// The entry instances that share the limits of the targets, and the
/// forwarding table in force.
#[derive(Debug, Default)]
pub(super) struct ForwardFleet {
    /// Entry instances, sorted, each with the time at which it was lost, or
    /// `None` while it is present.
    entries: Vec<(InstanceId, Option<Time>)>,
    /// When the next lost instance is removed from `entries`.
    shrink_at: Option<Time>,
    /// Revision of `table`.
    revision: u64,
    table: Arc<CompiledTable>,
    /// Zones that are out of service.
    zones_out: Vec<ZoneId>,
}

impl ForwardFleet {
    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.shrink_at
    }
}

impl Node {
    pub(super) fn step_forwarder(
        &mut self,
        now: Time,
        event: ForwardEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let mut effects = Vec::new();
        self.forwarder.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                ForwardEffect::SendShared(to, message) => {
                    self.send(to, PeerMessage::Shared(message), out);
                }
                ForwardEffect::SendDirectory(to, message) => {
                    self.send(to, PeerMessage::Directory(message), out);
                }
                ForwardEffect::SendTask { to, .. }
                | ForwardEffect::SendPart { to, .. } => {
                    // The daemon adds the content, but does not know the
                    // address of the instance.
                    if let Some(member) = self.member(to) {
                        let address = member.address;
                        out.extend([Effect::SendContent { address, effect }]);
                    }
                }
                ForwardEffect::Report(report) => {
                    self.send_report(now, &report, out);
                }
                ForwardEffect::Log(event) => out.extend([Effect::Log(event)]),
                ForwardEffect::TakeShare { token, limit, until } => {
                    let event = ShareEvent::Take(token, limit, until);
                    self.push(Internal::Share(event));
                }
                ForwardEffect::DropShare(token) => {
                    self.push(Internal::Share(ShareEvent::Drop(token)));
                }
                ForwardEffect::Send(_)
                | ForwardEffect::Cancel(_)
                | ForwardEffect::Respond(..)
                | ForwardEffect::ReadDirectory
                | ForwardEffect::StoreContent(..)
                | ForwardEffect::DropTask(_)
                | ForwardEffect::StoreAnswer { .. } => {
                    out.extend([Effect::Forward(effect)]);
                }
            }
        }
    }

    /// Passes a message of the forwarding path to the reducer. The content of
    /// a task is given to the daemon to store, because reducers handle no
    /// content.
    pub(super) fn handle_shared_message(
        &mut self,
        from: InstanceId,
        message: Message,
        out: &mut impl Extend<Effect>,
    ) {
        let message = match message {
            Message::Ask(ask) => {
                let TaskWithContent { task, content } = *ask;
                let token = self.forwarder.next_task_token();
                let effect = ForwardEffect::StoreContent(token, content);
                out.extend([Effect::Forward(effect)]);
                IncomingMessage::Task(token, task)
            }
            Message::Accepted(number) => IncomingMessage::Accepted(number),
            Message::Confirm(number) => IncomingMessage::Confirm(number),
            Message::Declined(number) => IncomingMessage::Declined(number),
            Message::Part(part) => IncomingMessage::Part(part),
            Message::Cancel { number, caller_gone } => {
                IncomingMessage::Cancel { number, caller_gone }
            }
        };
        self.push(Internal::Forward(ForwardEvent::Shared(from, message)));
    }

    /// Updates the entry instances that share the limits of the targets.
    pub(super) fn forward_members_changed(
        &mut self,
        now: Time,
        present: &[Member],
    ) {
        let entries = &mut self.forward_fleet.entries;
        let present_entries = || present.iter().filter(|m| m.entry);
        for (id, lost_at) in entries.iter_mut() {
            if !present_entries().any(|m| m.id == *id) {
                lost_at.get_or_insert(now);
            }
        }
        for member in present_entries() {
            match entries.binary_search_by_key(&member.id, |e| e.0) {
                Ok(i) => entries[i].1 = None,
                Err(i) => entries.insert(i, (member.id, None)),
            }
        }
        self.update_entry_peers(now);
    }

    pub(super) fn forward_fleet_tick(&mut self, now: Time) {
        if self.forward_fleet.shrink_at.is_some_and(|at| at <= now) {
            self.forward_fleet.shrink_at = None;
            self.update_entry_peers(now);
        }
    }

    /// Sends the other entry instances, and the number of instances that share
    /// the limits, to the forwarding path.
    pub(super) fn update_entry_peers(&mut self, now: Time) {
        let peers = self.entry_peers();
        let entries = &mut self.forward_fleet.entries;
        entries
            .retain(|e| e.1.is_none_or(|at| now < at + LOST_ENTRY_RETENTION));
        let instances = entries.len().max(1);
        self.forward_fleet.shrink_at = entries
            .iter()
            .filter_map(|e| e.1)
            .min()
            .map(|at| at + LOST_ENTRY_RETENTION);
        self.push(Internal::Forward(ForwardEvent::Peers(peers, instances)));
    }

    /// Returns the other entry instances that are neither leaving nor dead,
    /// and whether each can be reached.
    fn entry_peers(&self) -> Vec<Peer> {
        let peer = |c: &Candidate| {
            let suspect = self
                .member(c.instance)
                .is_none_or(|m| m.state != MemberState::Alive);
            let unreachable = self
                .unreachable
                .binary_search_by_key(&c.instance, |u| u.0)
                .is_ok();
            Peer {
                id: c.instance,
                zone: c.zone,
                reachable: !suspect && !unreachable,
            }
        };
        let others = |c: &&Candidate| c.instance != self.own_member.id;
        self.candidates.iter().filter(others).map(peer).collect()
    }

    /// Passes the forwarding table and the zones that are out of service to
    /// the forwarding path. Returns whether the table is in force; one with
    /// problems is not, but the zones are in any case.
    pub(super) fn configure_forwarding(
        &mut self,
        version: ConfigVersion,
        configuration: &Configuration,
        out: &mut impl Extend<Effect>,
    ) -> bool {
        let forwarding = &configuration.forwarding;
        let changed = forwarding.revision != self.forward_fleet.revision;
        let problems =
            if changed { forwarding.problems() } else { Vec::new() };
        let valid = problems.is_empty();
        if !valid {
            let problems = problems.join("; ");
            out.extend([Effect::Log(LogEvent::new(
                &TABLE_REJECTED,
                format!("version={version} problems={problems:?}"),
            ))]);
        } else if changed {
            self.forward_fleet.revision = forwarding.revision;
            self.forward_fleet.table =
                Arc::new(CompiledTable::new(forwarding));
            out.extend([Effect::Log(LogEvent::new(
                &TABLE_INSTALLED,
                format!(
                    "version={version} revision={} routes={} services={} \
                     teams={}",
                    forwarding.revision,
                    forwarding.routes.len(),
                    forwarding.services.len(),
                    forwarding.teams.len()
                ),
            ))]);
        }
        let zones = configuration.availability_zones.iter();
        let names: Vec<&str> = zones
            .filter(|z| z.state == ZoneState::Out)
            .map(|z| z.name.as_str())
            .collect();
        let zones_out: Vec<ZoneId> =
            names.iter().map(|name| ZoneId::from_name(name)).collect();
        if zones_out != self.forward_fleet.zones_out {
            self.forward_fleet.zones_out.clone_from(&zones_out);
            out.extend([Effect::Log(LogEvent::new(
                &ZONES_OUT_CHANGED,
                format!("version={version} out={:?}", names.join(",")),
            ))]);
        }
        if valid && changed {
            self.share_limits_changed();
        }
        let table = Arc::clone(&self.forward_fleet.table);
        let rollouts = configuration.rollouts.clone();
        self.push(Internal::Forward(ForwardEvent::Rollouts(rollouts)));
        self.push(Internal::Forward(ForwardEvent::Configure {
            version,
            table,
            zones_out,
        }));
        valid
    }

    /// Returns the forwarding table in force.
    pub fn forwarding_table(&self) -> &Arc<CompiledTable> {
        &self.forward_fleet.table
    }
}
