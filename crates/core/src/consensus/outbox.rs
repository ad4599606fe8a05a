//! Writes to disk, and outgoing messages that are held until a write is
//! synced.

use std::net::SocketAddr;

use super::{Consensus, ConsensusEffect, Envelope, Message, Replica, Write};
use crate::id::{InstanceId, ReplicaId};

/// An outgoing message that is held until a write is synced.
pub(super) struct PendingMessage {
    pub(super) ticket: u64,
    pub(super) effect: ConsensusEffect,
}

/// The other replica of an exchange, with its return address.
pub(super) struct Peer {
    pub(super) id: ReplicaId,
    pub(super) answer_to: Option<(InstanceId, SocketAddr)>,
}

impl Consensus {
    pub(super) fn persist(&mut self, write: Write) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.effects.push(ConsensusEffect::Persist { ticket, write });
        ticket
    }

    pub(super) fn write_hard_state(&mut self) {
        let (group, term, vote) = (self.group, self.term, self.vote);
        self.hard_state_ticket =
            self.persist(Write::HardState { group, term, vote });
    }

    pub(super) fn write_log(&mut self) {
        if let Some(write) = self.log.take_write(self.last_ticket + 1) {
            self.persist(write);
        }
    }

    /// Sends a message to a member once the write `ticket` is synced.
    pub(super) fn send(
        &mut self,
        to: &Replica,
        ticket: u64,
        message: Message,
    ) {
        let own = self.log.members().iter().find(|m| m.id == self.id);
        let answer_to = own.map(|m| (m.instance, m.address));
        let peer =
            Peer { id: to.id, answer_to: Some((to.instance, to.address)) };
        self.enqueue(&peer, answer_to, ticket, message);
    }

    /// Replies to a message once the write `ticket` is synced.
    pub(super) fn reply(&mut self, to: &Peer, ticket: u64, message: Message) {
        self.enqueue(to, None, ticket, message);
    }

    fn enqueue(
        &mut self,
        to: &Peer,
        answer_to: Option<(InstanceId, SocketAddr)>,
        ticket: u64,
        message: Message,
    ) {
        let member_address = || {
            let members = self.log.members();
            let member = members.iter().find(|m| m.id == to.id)?;
            Some((member.instance, member.address))
        };
        let Some((instance, address)) = to.answer_to.or_else(member_address)
        else {
            return;
        };
        let envelope = Envelope {
            group: self.group,
            from: self.id,
            to: to.id,
            answer_to,
            message,
        };
        let effect = ConsensusEffect::Send { instance, address, envelope };
        // The term in the message must be synced as well.
        let ticket = ticket.max(self.hard_state_ticket);
        if ticket <= self.persisted_ticket {
            self.effects.push(effect);
        } else {
            // Sorted by ticket, so that the reply to a heartbeat does not
            // wait for an append that was queued before it.
            let at = self.pending.partition_point(|p| p.ticket <= ticket);
            self.pending.insert(at, PendingMessage { ticket, effect });
        }
    }
}
