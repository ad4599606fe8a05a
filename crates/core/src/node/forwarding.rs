//! The forwarding path's place in the daemon.

use std::{sync::Arc, time::Duration};

use super::{Effect, Internal, Node};
use crate::{
    config::{Configuration, ZoneState},
    event::{
        LogEvent,
        forward::{TABLE_INSTALLED, TABLE_REJECTED},
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
    time::Time,
};

/// Time for which an instance that is gone still counts among those that
/// share the targets. It may only be cut off and go on sending, and the
/// windows of the shared limits cover what it sent before.
const COUNT_GONE_FOR: Duration = Duration::from_secs(10);

/// The entry instances that share the targets.
#[derive(Debug, Default)]
pub(super) struct ForwardFleet {
    /// Entry instances, sorted, and since when each is gone.
    seen: Vec<(InstanceId, Option<Time>)>,
    /// When the number of instances may shrink.
    shrink_at: Option<Time>,
    /// The last revision that was handed on.
    revision: u64,
    table: Arc<CompiledTable>,
}

impl ForwardFleet {
    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.shrink_at
    }
}

impl Node {
    pub(super) fn run_forward(
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
                    // The daemon adds the content, but does not know where
                    // the instance is.
                    if let Some(member) = self.member(to) {
                        let address = member.address;
                        out.extend([Effect::SendContent { address, effect }]);
                    }
                }
                ForwardEffect::Log(event) => out.extend([Effect::Log(event)]),
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

    /// Puts the content of a message aside, which the reducer never sees.
    pub(super) fn shared_message(
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

    /// Counts the instances that share the targets.
    pub(super) fn forward_members_changed(
        &mut self,
        now: Time,
        present: &[Member],
    ) {
        let seen = &mut self.forward_fleet.seen;
        let entries = || present.iter().filter(|m| m.entry);
        for (id, gone) in seen.iter_mut() {
            if !entries().any(|m| m.id == *id) {
                gone.get_or_insert(now);
            }
        }
        for member in entries() {
            match seen.binary_search_by_key(&member.id, |s| s.0) {
                Ok(i) => seen[i].1 = None,
                Err(i) => seen.insert(i, (member.id, None)),
            }
        }
        self.update_fellows(now);
    }

    pub(super) fn forward_fleet_tick(&mut self, now: Time) {
        if self.forward_fleet.shrink_at.is_some_and(|at| at <= now) {
            self.forward_fleet.shrink_at = None;
            self.update_fellows(now);
        }
    }

    pub(super) fn update_fellows(&mut self, now: Time) {
        let fellows = self.fellows();
        let seen = &mut self.forward_fleet.seen;
        seen.retain(|s| s.1.is_none_or(|at| now < at + COUNT_GONE_FOR));
        let instances = seen.len().max(1);
        self.forward_fleet.shrink_at = seen
            .iter()
            .filter_map(|s| s.1)
            .min()
            .map(|at| at + COUNT_GONE_FOR);
        self.push(Internal::Forward(ForwardEvent::Peers(fellows, instances)));
    }

    /// The other entry instances that live.
    fn fellows(&self) -> Vec<Peer> {
        let fellow = |c: &Candidate| {
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
        let others = |c: &&Candidate| c.instance != self.me.id;
        self.candidates.iter().filter(others).map(fellow).collect()
    }

    /// Hands a table on that has come into force, and the zones' states.
    pub(super) fn configure_forwarding(
        &mut self,
        version: ConfigVersion,
        configuration: &Configuration,
        out: &mut impl Extend<Effect>,
    ) {
        let forwarding = &configuration.forwarding;
        if forwarding.revision != self.forward_fleet.revision {
            let problems = forwarding.problems();
            if !problems.is_empty() {
                let problems = problems.join("; ");
                out.extend([Effect::Log(LogEvent::new(
                    &TABLE_REJECTED,
                    format!("version={version} problems={problems:?}"),
                ))]);
                return;
            }
            self.forward_fleet.revision = forwarding.revision;
            self.forward_fleet.table =
                Arc::new(CompiledTable::new(forwarding));
            out.extend([Effect::Log(LogEvent::new(
                &TABLE_INSTALLED,
                format!(
                    "version={version} revision={} routes={} services={}",
                    forwarding.revision,
                    forwarding.routes.len(),
                    forwarding.services.len()
                ),
            ))]);
        }
        let zones_out = configuration
            .availability_zones
            .iter()
            .filter(|z| z.state == ZoneState::Out)
            .map(|z| ZoneId::from_name(&z.name))
            .collect();
        let table = Arc::clone(&self.forward_fleet.table);
        self.push(Internal::Forward(ForwardEvent::Configure {
            table,
            zones_out,
        }));
    }

    /// The table of forwarding routes in force.
    pub fn forwarding_table(&self) -> &Arc<CompiledTable> {
        &self.forward_fleet.table
    }
}
