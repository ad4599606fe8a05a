/*!
The membership reducer: its state, events, messages and timers.
*/

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    event::{EventKind, LogEvent, membership as log},
    id::InstanceId,
    membership::{
        Member, MemberState, MembershipEffect, MembershipEvent,
        MembershipOptions, Message, Recipient,
        exchange::{bucket_count, bucket_hashes, digest},
        gossip::Gossip,
        probe::{Doubt, Probe, ProbeOrder, Relay, RoundTrips},
        table::Table,
    },
    time::Time,
};

/// Maximum number of members in one `Full` message (about 25 KB).
const MAX_FULL_MEMBERS: usize = 256;

/// A suspicion: the member is declared dead at `deadline` unless it refutes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub(super) id: InstanceId,
    pub(super) deadline: Time,
    /// When the suspect is probed again; set only on the instance that raised
    /// the suspicion.
    pub(super) retry: Option<Time>,
    /// Time by which the deadline was moved because answers take long.
    pub(super) extension: Duration,
}

/// Failure detection and dissemination on one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) own_id: InstanceId,
    pub(super) options: MembershipOptions,
    pub(super) rng: Pcg32,
    pub(super) table: Table,
    pub(super) gossip: Gossip,
    pub(super) order: ProbeOrder,
    pub(super) probe: Option<Probe>,
    pub(super) round_trips: RoundTrips,
    pub(super) doubts: Vec<Doubt>,
    pub(super) relays: VecDeque<Relay>,
    pub(super) suspicions: Vec<Suspicion>,
    pub(super) seed_addresses: Vec<SocketAddr>,
    pub(super) sequence: u64,
    pub(super) last_step: Option<Time>,
    /// Usual time by which timers of this instance are late.
    pub(super) timer_lag: Duration,
    pub(super) next_probe: Time,
    pub(super) next_digest: Time,
    pub(super) next_rejoin: Time,
    /// Until when addresses without a known member are tried often.
    pub(super) eager_rejoin_until: Time,
    /// Immediate pushes that are still allowed until `push_refill`.
    pub(super) push_tokens: u32,
    pub(super) push_refill: Time,
    /// Members that changed in this step and are to be pushed.
    pub(super) changed_ids: Vec<InstanceId>,
    pub(super) effects: Vec<MembershipEffect>,
}

impl Membership {
    /// Creates the reducer for the instance with the record `own`.
    pub fn new(
        own: Member,
        options: MembershipOptions,
        seed: u64,
    ) -> Membership {
        let mut rng = Pcg32::seed_from_u64(seed);
        let id = own.id;
        let mut table = Table::default();
        table.put(Time::ZERO, own);
        Membership {
            own_id: id,
            table,
            gossip: Gossip::default(),
            order: ProbeOrder::default(),
            probe: None,
            round_trips: RoundTrips::default(),
            doubts: Vec::new(),
            relays: VecDeque::new(),
            suspicions: Vec::new(),
            seed_addresses: Vec::new(),
            // A random start prevents answers to requests from before a
            // restart of this instance from matching.
            sequence: rng.random::<u32>().into(),
            last_step: None,
            timer_lag: Duration::ZERO,
            next_probe: Time::ZERO,
            next_digest: Time::ZERO,
            next_rejoin: Time::ZERO,
            eager_rejoin_until: Time::ZERO,
            push_tokens: options.pushes_per_second,
            push_refill: Time::ZERO,
            changed_ids: Vec::new(),
            effects: Vec::new(),
            rng,
            options,
        }
    }

    /// Returns all members in any state, including this instance, sorted by
    /// identifier.
    pub fn members(&self) -> &[Member] {
        self.table.members()
    }

    /// Returns the time at which the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let timers = [self.next_probe, self.next_digest, self.next_rejoin];
        let probe = self.probe.as_ref().map(|x| x.deadline);
        let suspicions = self
            .suspicions
            .iter()
            .flat_map(|x| [Some(x.deadline), x.retry].into_iter().flatten());
        let doubts = self.doubts.iter().map(|x| x.expires);
        timers.into_iter().chain(probe).chain(suspicions).chain(doubts).min()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn step(
        &mut self,
        now: Time,
        event: MembershipEvent,
        out: &mut impl Extend<MembershipEffect>,
    ) {
        self.check_gap(now);
        let mut sender = None;
        match event {
            MembershipEvent::Message(from, message) => {
                sender = Some(from);
                self.on_message(now, from, message);
            }
            MembershipEvent::SeedAddresses(seeds) => self.on_seeds(now, seeds),
            MembershipEvent::PlatformLeaving(address) => {
                self.on_platform_leaving(now, address);
            }
            MembershipEvent::UpdateSelf { replica, control_group } => {
                let mut own = self.own_record();
                if (own.replica, own.control_group) != (replica, control_group)
                {
                    own.replica = replica;
                    own.control_group = control_group;
                    own.incarnation += 1;
                    self.set_own_record(now, own);
                }
            }
            MembershipEvent::Leave => self.on_leave(now),
            MembershipEvent::Tick => self.on_tick(now),
        }
        self.push_changes(now, sender);
        out.extend(self.effects.drain(..));
    }

    pub(super) fn own_record(&self) -> Member {
        self.table.get(self.own_id).expect("own record is always kept").clone()
    }

    pub(super) fn set_own_record(&mut self, now: Time, own: Member) {
        self.table.put(now, own.clone());
        self.changed_ids.push(self.own_id);
        self.effects.push(MembershipEffect::Changed(own));
    }

    pub(super) fn log(&mut self, kind: &'static EventKind, detail: String) {
        self.effects.push(MembershipEffect::Log(LogEvent::new(kind, detail)));
    }

    pub(super) fn send(&mut self, id: InstanceId, message: Message) {
        if let Some(member) = self.table.get(id) {
            let to = Recipient::Member(id, member.address);
            self.effects.push(MembershipEffect::Send(to, message));
        }
    }

    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the updates for a message to `receiver`: this instance's own
    /// record, the receiver's record if it is not alive, and queued updates.
    pub(super) fn updates_for(
        &mut self,
        receiver: Option<InstanceId>,
    ) -> Vec<Member> {
        let mut updates = vec![self.own_record()];
        let known = receiver.and_then(|id| self.table.get(id));
        // A receiver that does not learn of a suspicion cannot refute it.
        updates
            .extend(known.filter(|x| x.state != MemberState::Alive).cloned());
        let count = self.table.members().len();
        let rounds = usize::BITS - count.leading_zeros();
        let exclude = [self.own_id, receiver.unwrap_or(self.own_id)];
        self.gossip.take(
            &self.table,
            self.options.max_updates,
            self.options.retransmit_factor * rounds,
            &exclude,
            &mut updates,
        );
        updates
    }

    pub(super) fn ping(&mut self, target: InstanceId, sequence: u64) {
        let updates = self.updates_for(Some(target));
        self.send(target, Message::Ping { sequence, updates });
    }

    pub(super) fn start_timers(&mut self, now: Time) {
        // Random offsets spread the timers of instances that start together.
        let mut offset = |span: Duration| {
            span.mul_f64(f64::from(self.rng.random::<u32>()) / 4_294_967_296.0)
        };
        self.next_probe = now + offset(self.options.probe_interval);
        self.next_digest = now + offset(self.options.digest_interval);
        self.next_rejoin = now + self.options.join_interval;
        self.eager_rejoin_until = now + self.options.eager_rejoin;
        self.push_refill = now;
    }

    pub(super) fn on_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
    ) {
        match message {
            Message::Ping { sequence, updates } => {
                self.merge(now, from, updates);
                let updates = self.updates_for(Some(from));
                self.send(from, Message::Ack { sequence, updates });
            }
            Message::Ack { sequence, updates } => {
                self.merge(now, from, updates);
                self.on_ack(now, from, sequence);
            }
            Message::PingRequest { sequence, target, updates } => {
                self.merge(now, from, updates);
                self.on_ping_request(now, from, sequence, target);
            }
            Message::Digest { hash, count } => {
                let (own, own_count) = digest(self.table.members());
                if (own, own_count) != (hash, count) {
                    let larger = own_count.max(count) as usize;
                    let count = bucket_count(larger);
                    let hashes = bucket_hashes(self.table.members(), count);
                    self.send(from, Message::Buckets { hashes });
                }
            }
            Message::Buckets { hashes } => self.on_buckets(from, &hashes),
            Message::Difference { buckets, count, members, reply } => {
                self.on_difference(now, from, buckets, count, members, reply);
            }
            Message::Full { members, reply } => {
                self.merge(now, from, members);
                if reply {
                    let known = self.table.members();
                    let live: Vec<Member> = known
                        .iter()
                        .filter(|x| x.state != MemberState::Dead)
                        .cloned()
                        .collect();
                    for chunk in live.chunks(MAX_FULL_MEMBERS) {
                        let members = chunk.to_vec();
                        let full = Message::Full { members, reply: false };
                        self.send(from, full);
                    }
                }
            }
        }
    }

    /// Announces that this instance is shutting down.
    pub(super) fn on_leave(&mut self, now: Time) {
        let mut own = self.own_record();
        if own.state == MemberState::Leaving {
            return;
        }
        own.state = MemberState::Leaving;
        self.log(&log::LEAVING, format!("incarnation={}", own.incarnation));
        self.set_own_record(now, own);
        for id in self.random_members(self.options.leave_fan_out, None) {
            let sequence = self.next_sequence();
            self.ping(id, sequence);
        }
    }

    pub(super) fn on_tick(&mut self, now: Time) {
        while self.relays.front().is_some_and(|x| x.expires <= now) {
            self.relays.pop_front();
        }
        self.check_suspicions(now);
        self.check_probe(now);
        self.confirm_doubts(now, |x| x.expires <= now);
        if now >= self.next_probe {
            self.next_probe = now + self.options.probe_interval;
            // A stretched timeout stretches the interval as well.
            if self.probe.is_none() {
                self.start_probe(now);
            }
        }
        if now >= self.next_digest {
            self.next_digest = now + self.options.digest_interval;
            self.forget(now);
            if let Some(&id) = self.random_members(1, None).first() {
                self.send_digest(id);
            }
        }
        if now >= self.next_rejoin {
            if self.is_alone() || now < self.eager_rejoin_until {
                self.join();
                self.next_rejoin = now + self.options.join_interval;
            } else {
                self.rejoin();
                self.next_rejoin = now + self.options.rejoin_interval;
            }
        }
    }

    /// Removes members that have been dead for `forget_after`.
    pub(super) fn forget(&mut self, now: Time) {
        for member in self.table.forget(now - self.options.forget_after) {
            self.log(
                &log::MEMBER_FORGOTTEN,
                format!("member={} name={}", member.id, member.name),
            );
        }
    }
}
