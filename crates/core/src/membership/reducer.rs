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
        probe::{Probe, ProbeOrder, Relay},
        table::Table,
    },
    time::Time,
};

/// Greatest number of members in one message of a full exchange (about 25
/// KB).
const MAX_FULL: usize = 256;

/// A suspicion that ends with the death of the member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub(super) id: InstanceId,
    pub(super) deadline: Time,
    /// Next direct probe of the suspect; only where the suspicion began.
    pub(super) nudge: Option<Time>,
}

/// Failure detection and dissemination on one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) me: InstanceId,
    pub(super) options: MembershipOptions,
    pub(super) rng: Pcg32,
    pub(super) table: Table,
    pub(super) gossip: Gossip,
    pub(super) order: ProbeOrder,
    pub(super) probe: Option<Probe>,
    pub(super) relays: VecDeque<Relay>,
    pub(super) suspicions: Vec<Suspicion>,
    pub(super) hints: Vec<SocketAddr>,
    pub(super) sequence: u64,
    pub(super) last_step: Option<Time>,
    pub(super) next_probe: Time,
    pub(super) next_digest: Time,
    pub(super) next_rejoin: Time,
    pub(super) push_tokens: u32,
    pub(super) push_refill: Time,
    pub(super) news: Vec<InstanceId>,
    pub(super) effects: Vec<MembershipEffect>,
}

impl Membership {
    /// Creates the reducer for the instance that `me` describes.
    pub fn new(
        me: Member,
        options: MembershipOptions,
        seed: u64,
    ) -> Membership {
        let mut rng = Pcg32::seed_from_u64(seed);
        let id = me.id;
        let mut table = Table::default();
        table.put(Time::ZERO, me);
        Membership {
            me: id,
            table,
            gossip: Gossip::default(),
            order: ProbeOrder::default(),
            probe: None,
            relays: VecDeque::new(),
            suspicions: Vec::new(),
            hints: Vec::new(),
            // A random start keeps answers to an earlier life of this
            // instance from matching.
            sequence: rng.random::<u32>().into(),
            last_step: None,
            next_probe: Time::ZERO,
            next_digest: Time::ZERO,
            next_rejoin: Time::ZERO,
            push_tokens: options.pushes_per_second,
            push_refill: Time::ZERO,
            news: Vec::new(),
            effects: Vec::new(),
            rng,
            options,
        }
    }

    /// All members in every state, sorted by identifier, with this instance.
    pub fn members(&self) -> &[Member] {
        self.table.members()
    }

    /// When the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let timers = [self.next_probe, self.next_digest, self.next_rejoin];
        let probe = self.probe.as_ref().map(|x| x.deadline);
        let suspicions = self
            .suspicions
            .iter()
            .flat_map(|x| [Some(x.deadline), x.nudge].into_iter().flatten());
        timers.into_iter().chain(probe).chain(suspicions).min()
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: Time,
        event: MembershipEvent,
        out: &mut impl Extend<MembershipEffect>,
    ) {
        self.notice_gap(now);
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
                let mut me = self.own();
                if (me.replica, me.control_group) != (replica, control_group) {
                    me.replica = replica;
                    me.control_group = control_group;
                    me.incarnation += 1;
                    self.put_own(now, me);
                }
            }
            MembershipEvent::Leave => self.on_leave(now),
            MembershipEvent::Tick => self.on_tick(now),
        }
        self.push_news(now, sender);
        out.extend(self.effects.drain(..));
    }

    pub(super) fn own(&self) -> Member {
        self.table.get(self.me).expect("own record is always kept").clone()
    }

    pub(super) fn put_own(&mut self, now: Time, me: Member) {
        self.table.put(now, me.clone());
        self.news.push(self.me);
        self.effects.push(MembershipEffect::Changed(me));
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

    /// The sender's record, the receiver's if others must not see it as
    /// alive, and queued updates.
    pub(super) fn updates_for(
        &mut self,
        receiver: Option<InstanceId>,
    ) -> Vec<Member> {
        let mut updates = vec![self.own()];
        let known = receiver.and_then(|id| self.table.get(id));
        // A receiver that is not told of its suspicion cannot refute it.
        updates
            .extend(known.filter(|x| x.state != MemberState::Alive).cloned());
        let count = self.table.members().len();
        let rounds = usize::BITS - count.leading_zeros();
        let except = [self.me, receiver.unwrap_or(self.me)];
        self.gossip.take(
            &self.table,
            self.options.max_updates,
            self.options.retransmit_factor * rounds,
            &except,
            &mut updates,
        );
        updates
    }

    pub(super) fn ping(&mut self, target: InstanceId, sequence: u64) {
        let updates = self.updates_for(Some(target));
        self.send(target, Message::Ping { sequence, updates });
    }

    pub(super) fn start(&mut self, now: Time) {
        // Random offsets keep instances that start together out of step.
        let mut offset = |span: Duration| {
            span.mul_f64(f64::from(self.rng.random::<u32>()) / 4_294_967_296.0)
        };
        self.next_probe = now + offset(self.options.probe_interval);
        self.next_digest = now + offset(self.options.digest_interval);
        self.next_rejoin = now + self.options.join_interval;
        self.push_refill = now;
    }

    // Messages.

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
                self.on_ack(from, sequence);
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
                    let all = self.table.members();
                    let live: Vec<Member> = all
                        .iter()
                        .filter(|x| x.state != MemberState::Dead)
                        .cloned()
                        .collect();
                    for part in live.chunks(MAX_FULL) {
                        let members = part.to_vec();
                        let full = Message::Full { members, reply: false };
                        self.send(from, full);
                    }
                }
            }
        }
    }

    // Records.

    // Hints and announcements.

    pub(super) fn on_leave(&mut self, now: Time) {
        let mut me = self.own();
        if me.state == MemberState::Leaving {
            return;
        }
        me.state = MemberState::Leaving;
        self.log(&log::LEAVING, format!("incarnation={}", me.incarnation));
        self.put_own(now, me);
        for id in self.some_others(self.options.leave_fan_out, None) {
            let sequence = self.next_sequence();
            self.ping(id, sequence);
        }
    }

    // Timers.

    pub(super) fn on_tick(&mut self, now: Time) {
        while self.relays.front().is_some_and(|x| x.expires <= now) {
            self.relays.pop_front();
        }
        self.check_suspicions(now);
        self.check_probe(now);
        if now >= self.next_probe {
            self.next_probe = now + self.options.probe_interval;
            self.start_probe(now);
        }
        if now >= self.next_digest {
            self.next_digest = now + self.options.digest_interval;
            self.forget(now);
            if let Some(&id) = self.some_others(1, None).first() {
                self.send_digest(id);
            }
        }
        if now >= self.next_rejoin {
            if self.is_alone() {
                self.join();
                self.next_rejoin = now + self.options.join_interval;
            } else {
                self.rejoin();
                self.next_rejoin = now + self.options.rejoin_interval;
            }
        }
    }

    pub(super) fn forget(&mut self, now: Time) {
        for member in self.table.forget(now - self.options.forget_after) {
            self.log(
                &log::MEMBER_FORGOTTEN,
                format!("member={} name={}", member.id, member.name),
            );
        }
    }
}
