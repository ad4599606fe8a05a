//! Joining the fleet at the start and again after a partition.

use std::net::SocketAddr;

use rand::{RngExt, seq::SliceRandom};

use super::reducer::Membership;
use crate::{
    event::membership as log,
    membership::{MemberState, MembershipEffect, Message, Recipient},
    time::Time,
};

/// Maximum number of addresses that one attempt to join contacts.
const MAX_JOIN_ADDRESSES: usize = 8;

impl Membership {
    pub(super) fn on_seeds(&mut self, now: Time, seeds: Vec<SocketAddr>) {
        for address in seeds {
            self.seed_addresses.retain(|x| *x != address);
            self.seed_addresses.push(address);
        }
        let excess = self
            .seed_addresses
            .len()
            .saturating_sub(self.options.max_seed_addresses);
        self.seed_addresses.drain(..excess);
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
        // Whether this instance leaves is decided by itself, not by the
        // platform's list.
        if id == self.own_id {
            return;
        }
        let Some(local_state) = self.table.local_state_mut(id) else { return };
        if now < local_state.ignore_hints_until {
            return;
        }
        local_state.hinted_incarnation = Some(incarnation);
        self.log(&log::PLATFORM_LEAVING, format!("member={id}"));
        self.set_state(now, id, MemberState::Leaving);
        // A member that is not leaving refutes the record as soon as it
        // receives it.
        let sequence = self.next_sequence();
        self.ping(id, sequence);
    }

    /// Returns whether this instance seeks the fleet at an address.
    pub fn is_seed_address(&self, address: SocketAddr) -> bool {
        self.seed_addresses.contains(&address)
    }

    /// Whether all other known members are dead.
    pub(super) fn is_alone(&self) -> bool {
        let mut members = self.table.members().iter();
        members.all(|x| x.id == self.own_id || x.state == MemberState::Dead)
    }

    /// Requests the member table from seed addresses and dead members.
    pub(super) fn join(&mut self) {
        let own = self.own_record();
        let mut addresses = self.rejoin_candidates();
        addresses.shuffle(&mut self.rng);
        addresses.truncate(MAX_JOIN_ADDRESSES);
        for address in addresses {
            let members = vec![own.clone()];
            self.effects.push(MembershipEffect::Send(
                Recipient::Address(address),
                Message::Full { members, reply: true },
            ));
        }
    }

    /// Probes a random address at which no live member is known.
    pub(super) fn rejoin(&mut self) {
        let addresses = self.rejoin_candidates();
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

    /// Returns the seed addresses and the addresses of dead members, without
    /// the addresses of members that are not dead.
    pub(super) fn rejoin_candidates(&self) -> Vec<SocketAddr> {
        let members = self.table.members();
        let dead = members.iter().filter(|x| x.state == MemberState::Dead);
        let mut addresses: Vec<SocketAddr> = self
            .seed_addresses
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
