//! Finding the fleet at the start and again after a partition.

use std::net::SocketAddr;

use rand::{RngExt, seq::SliceRandom};

use super::reducer::Membership;
use crate::{
    event::membership as log,
    membership::{MemberState, MembershipEffect, Message, Recipient},
    time::Time,
};

/// Greatest number of hinted addresses that one attempt to join tries.
const MAX_JOIN_ADDRESSES: usize = 8;

impl Membership {
    pub(super) fn on_seeds(&mut self, now: Time, seeds: Vec<SocketAddr>) {
        for address in seeds {
            self.hints.retain(|x| *x != address);
            self.hints.push(address);
        }
        let excess = self.hints.len().saturating_sub(self.options.max_hints);
        self.hints.drain(..excess);
        if self.is_alone() {
            self.join();
            self.next_rejoin = now + self.options.join_interval;
        }
    }

    pub(super) fn on_platform_leaving(
        &mut self,
        now: Time,
        address: SocketAddr,
    ) {
        let found =
            self.table.members().iter().find(|x| {
                x.address == address && x.state < MemberState::Leaving
            });
        let Some((id, incarnation)) = found.map(|x| (x.id, x.incarnation))
        else {
            return;
        };
        // This instance knows better than the platform whether it leaves.
        if id == self.me {
            return;
        }
        let Some(detail) = self.table.detail(id) else { return };
        if now < detail.hints_held_until {
            return;
        }
        detail.hinted = Some(incarnation);
        self.log(&log::PLATFORM_LEAVING, format!("member={id}"));
        self.judge(now, id, MemberState::Leaving);
        // A wrong hint is refuted by the member as soon as it hears of it.
        let sequence = self.next_sequence();
        self.ping(id, sequence);
    }

    pub(super) fn is_alone(&self) -> bool {
        let mut members = self.table.members().iter();
        members.all(|x| x.id == self.me || x.state == MemberState::Dead)
    }

    /// Asks hinted addresses and dead members for the fleet.
    pub(super) fn join(&mut self) {
        let me = self.own();
        let mut addresses = self.lost_addresses();
        addresses.shuffle(&mut self.rng);
        addresses.truncate(MAX_JOIN_ADDRESSES);
        for address in addresses {
            let members = vec![me.clone()];
            self.effects.push(MembershipEffect::Send(
                Recipient::Address(address),
                Message::Full { members, reply: true },
            ));
        }
    }

    /// Probes one address whose instance is not known to be alive.
    pub(super) fn rejoin(&mut self) {
        let addresses = self.lost_addresses();
        if addresses.is_empty() {
            return;
        }
        let address = addresses[self.rng.random_range(0..addresses.len())];
        let dead = self
            .table
            .members()
            .iter()
            .find(|x| x.address == address && x.state == MemberState::Dead)
            .map(|x| x.id);
        let sequence = self.next_sequence();
        let updates = self.updates_for(dead);
        let to = match dead {
            Some(id) => Recipient::Member(id, address),
            None => Recipient::Address(address),
        };
        let ping = Message::Ping { sequence, updates };
        self.effects.push(MembershipEffect::Send(to, ping));
    }

    /// Hinted addresses and those of dead members, without the addresses of
    /// members that are not dead.
    pub(super) fn lost_addresses(&self) -> Vec<SocketAddr> {
        let members = self.table.members();
        let dead = members.iter().filter(|x| x.state == MemberState::Dead);
        let mut addresses: Vec<SocketAddr> = self
            .hints
            .iter()
            .copied()
            .chain(dead.map(|x| x.address))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        for member in members.iter().filter(|x| x.state != MemberState::Dead) {
            if let Ok(at) = addresses.binary_search(&member.address) {
                addresses.remove(at);
            }
        }
        addresses
    }
}
