use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg32;

use crate::{
    event::{EventKind, LogEvent, membership as log},
    id::InstanceId,
    membership::{
        Member, MemberState, MembershipEffect, MembershipEvent,
        MembershipOptions, Message, Recipient,
        exchange::{bucket_count, bucket_hashes, bucket_of, digest},
        gossip::Gossip,
        probe::{Probe, ProbeOrder, Relay},
        table::{Table, supersedes},
    },
    time::Time,
};

/// Greatest number of members in one message of a full exchange (about 25
/// KB).
const MAX_FULL: usize = 256;

/// Greatest number of probes that run on behalf of others.
const MAX_RELAYS: usize = 64;

/// Greatest number of hinted addresses that one attempt to join tries.
const MAX_JOIN_ADDRESSES: usize = 8;

/// Tables up to this size are sampled by a shuffle, larger ones by drawing.
const SHUFFLED_MEMBERS: usize = 64;

/// A suspicion that ends with the death of the member.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    id: InstanceId,
    deadline: Time,
    /// Next direct probe of the suspect; only where the suspicion began.
    nudge: Option<Time>,
}

/// Failure detection and dissemination on one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    me: InstanceId,
    options: MembershipOptions,
    rng: Pcg32,
    table: Table,
    gossip: Gossip,
    order: ProbeOrder,
    probe: Option<Probe>,
    relays: VecDeque<Relay>,
    suspicions: Vec<Suspicion>,
    hints: Vec<SocketAddr>,
    sequence: u64,
    last_step: Option<Time>,
    next_probe: Time,
    next_digest: Time,
    next_rejoin: Time,
    push_tokens: u32,
    push_refill: Time,
    news: Vec<InstanceId>,
    effects: Vec<MembershipEffect>,
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
            MembershipEvent::Hint(addresses) => self.on_hint(now, addresses),
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

    fn own(&self) -> Member {
        self.table.get(self.me).expect("own record is always kept").clone()
    }

    fn put_own(&mut self, now: Time, me: Member) {
        self.table.put(now, me.clone());
        self.news.push(self.me);
        self.effects.push(MembershipEffect::Changed(me));
    }

    fn log(&mut self, kind: &'static EventKind, detail: String) {
        self.effects.push(MembershipEffect::Log(LogEvent::new(kind, detail)));
    }

    fn send(&mut self, id: InstanceId, message: Message) {
        if let Some(member) = self.table.get(id) {
            let to = Recipient::Member(id, member.address);
            self.effects.push(MembershipEffect::Send(to, message));
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// The sender's record, the receiver's if others must not see it as
    /// alive, and queued updates.
    fn updates_for(&mut self, receiver: Option<InstanceId>) -> Vec<Member> {
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

    fn ping(&mut self, target: InstanceId, sequence: u64) {
        let updates = self.updates_for(Some(target));
        self.send(target, Message::Ping { sequence, updates });
    }

    /// Discards what was measured across a time in which this instance did
    /// not run: the answers of that time were never read.
    fn notice_gap(&mut self, now: Time) {
        let Some(last) = self.last_step.replace(now) else {
            self.start(now);
            return;
        };
        let gap = now.since(last);
        let usual = self.options.probe_interval + self.options.direct_timeout;
        if gap <= usual {
            return;
        }
        self.probe = None;
        for suspicion in &mut self.suspicions {
            suspicion.deadline += gap;
        }
        if gap > self.options.suspicion_timeout {
            let mut me = self.own();
            me.incarnation += 1;
            self.log(
                &log::RESUMED_AFTER_GAP,
                format!(
                    "gap_ms={} incarnation={}",
                    gap.as_millis(),
                    me.incarnation
                ),
            );
            self.put_own(now, me);
        }
    }

    fn start(&mut self, now: Time) {
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

    fn on_message(&mut self, now: Time, from: InstanceId, message: Message) {
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

    fn on_ack(&mut self, from: InstanceId, sequence: u64) {
        if let Some(probe) = &self.probe
            && probe.sequence == sequence
            && (probe.target == from || probe.helpers.contains(&from))
        {
            let target = probe.target;
            self.probe = None;
            // A leaving member has no state `Suspect` to refute.
            let state = self.table.get(target).map(|x| x.state);
            if state == Some(MemberState::Leaving) {
                self.suspicions.retain(|x| x.id != target);
            }
        }
        let relay = self
            .relays
            .iter()
            .position(|x| x.sequence == sequence && x.target == from);
        if let Some(relay) = relay.and_then(|at| self.relays.remove(at)) {
            let sequence = relay.requester_sequence;
            let updates = self.updates_for(Some(relay.requester));
            self.send(relay.requester, Message::Ack { sequence, updates });
        }
    }

    fn on_ping_request(
        &mut self,
        now: Time,
        from: InstanceId,
        requester_sequence: u64,
        target: InstanceId,
    ) {
        if target == self.me {
            let updates = self.updates_for(Some(from));
            let sequence = requester_sequence;
            self.send(from, Message::Ack { sequence, updates });
            return;
        }
        if self.table.get(target).is_none() {
            return;
        }
        let sequence = self.next_sequence();
        if self.relays.len() >= MAX_RELAYS {
            self.relays.pop_front();
        }
        self.relays.push_back(Relay {
            requester: from,
            requester_sequence,
            target,
            sequence,
            expires: now + self.options.probe_interval,
        });
        self.ping(target, sequence);
    }

    fn on_buckets(&mut self, from: InstanceId, hashes: &[u32]) {
        let count = hashes.len();
        if !count.is_power_of_two() || count > usize::from(u16::MAX) {
            return;
        }
        let own = bucket_hashes(self.table.members(), count);
        // A random start lets later exchanges reach the other buckets when
        // there are more differences than one exchange may repair.
        let first = self.rng.random_range(0..count);
        let buckets: Vec<u16> = (0..count)
            .map(|x| (first + x) % count)
            .filter(|&x| own[x] != hashes[x])
            .take(self.options.max_buckets)
            .map(|x| x as u16)
            .collect();
        if !buckets.is_empty() {
            let members = self.in_buckets(&buckets, count);
            let count = count as u16;
            let reply = true;
            self.send(
                from,
                Message::Difference { buckets, count, members, reply },
            );
        }
    }

    fn in_buckets(&self, buckets: &[u16], count: usize) -> Vec<Member> {
        let inside =
            |x: &&Member| buckets.contains(&(bucket_of(x.id, count) as u16));
        self.table.members().iter().filter(inside).cloned().collect()
    }

    fn on_difference(
        &mut self,
        now: Time,
        from: InstanceId,
        buckets: Vec<u16>,
        count: u16,
        members: Vec<Member>,
        reply: bool,
    ) {
        if reply && count.is_power_of_two() {
            let mut own = self.in_buckets(&buckets, count.into());
            own.retain(|x| match members.iter().find(|y| y.id == x.id) {
                Some(theirs) => supersedes(x, theirs),
                None => x.state != MemberState::Dead,
            });
            own.truncate(MAX_FULL);
            self.merge(now, from, members);
            let reply = false;
            let members = own;
            self.send(
                from,
                Message::Difference { buckets, count, members, reply },
            );
        } else {
            self.merge(now, from, members);
        }
    }

    // Records.

    fn merge(&mut self, now: Time, from: InstanceId, records: Vec<Member>) {
        let returned = |x: Option<&Member>| {
            x.is_none_or(|x| x.state == MemberState::Dead)
        };
        let was_gone = returned(self.table.get(from));
        // A bulk exchange repairs this instance; it is no news to others.
        let is_news = records.len() <= self.options.max_updates + 2;
        for record in records {
            if record.id == self.me {
                self.defend(now, from, record);
            } else {
                self.accept(now, record, is_news);
            }
        }
        if was_gone && !returned(self.table.get(from)) {
            // The other side of a healed partition differs in more than its
            // own record.
            self.send_digest(from);
        }
    }

    /// Answers a record of this instance that is wrong.
    fn defend(&mut self, now: Time, from: InstanceId, claim: Member) {
        let own = self.own();
        let wrong = supersedes(&claim, &own)
            || (claim.incarnation == own.incarnation
                && claim.state == own.state
                && claim != own);
        if !wrong {
            return;
        }
        let mut me = own;
        me.incarnation = claim.incarnation.saturating_add(1);
        self.log(
            &log::SUSPICION_REFUTED,
            format!(
                "claim={:?} from={from} incarnation={}",
                claim.state, me.incarnation
            ),
        );
        self.put_own(now, me.clone());
        let members = vec![me];
        self.send(from, Message::Full { members, reply: false });
    }

    /// Takes over a record of another member if it is newer.
    fn accept(&mut self, now: Time, record: Member, is_news: bool) -> bool {
        let old = self.table.get(record.id);
        let old_state = old.map(|x| x.state);
        match old {
            Some(old) if !supersedes(&record, old) => return false,
            Some(_) => {}
            // A dead member that this instance has forgotten or never knew
            // would otherwise be passed around forever.
            None if record.state == MemberState::Dead => return false,
            None if self.table.members().len() >= self.options.max_members => {
                self.log(&log::MEMBER_LIMIT, format!("member={}", record.id));
                return false;
            }
            None => {}
        }
        let id = record.id;
        self.table.put(now, record.clone());
        self.suspicions.retain(|x| x.id != id);
        if record.state == MemberState::Suspect {
            self.suspicions.push(Suspicion {
                id,
                deadline: now + self.options.suspicion_timeout,
                nudge: None,
            });
        }
        if let Some(detail) = self.table.detail(id)
            && record.state == MemberState::Alive
            && detail.hinted.take().is_some()
        {
            detail.hints_held_until = now + self.options.platform_hold;
        }
        if is_news {
            self.gossip.push(id);
            self.news.push(id);
        }
        if old_state != Some(record.state) {
            self.log(
                &log::MEMBER_CHANGED,
                format!(
                    "member={id} name={} old={old_state:?} new={:?} \
                     incarnation={}",
                    record.name, record.state, record.incarnation
                ),
            );
        }
        self.effects.push(MembershipEffect::Changed(record));
        true
    }

    /// Changes the state of a member on this instance's own judgement.
    fn judge(&mut self, now: Time, id: InstanceId, state: MemberState) {
        if let Some(member) = self.table.get(id) {
            let record = Member { state, ..member.clone() };
            self.accept(now, record, true);
        }
    }

    /// Tells a few members at once of what changed in this step.
    fn push_news(&mut self, now: Time, sender: Option<InstanceId>) {
        if self.news.is_empty() {
            return;
        }
        let mut news = std::mem::take(&mut self.news);
        news.sort_unstable();
        news.dedup();
        if now >= self.push_refill {
            self.push_tokens = self.options.pushes_per_second;
            self.push_refill = now + Duration::from_secs(1);
        }
        if self.push_tokens == 0 {
            return;
        }
        self.push_tokens -= 1;
        let members: Vec<Member> = news
            .iter()
            .filter_map(|&id| self.table.get(id))
            .take(self.options.max_updates)
            .cloned()
            .collect();
        for id in self.some_others(self.options.push_fan_out, sender) {
            let members = members.clone();
            self.send(id, Message::Full { members, reply: false });
        }
    }

    /// Draws up to `count` members that are not dead.
    fn some_others(
        &mut self,
        count: usize,
        except: Option<InstanceId>,
    ) -> Vec<InstanceId> {
        let members = self.table.members();
        let usable = |x: &Member| {
            x.id != self.me
                && Some(x.id) != except
                && x.state != MemberState::Dead
        };
        if members.len() <= SHUFFLED_MEMBERS {
            let mut ids: Vec<InstanceId> =
                members.iter().filter(|x| usable(x)).map(|x| x.id).collect();
            ids.shuffle(&mut self.rng);
            ids.truncate(count);
            return ids;
        }
        let mut ids = Vec::with_capacity(count);
        for _ in 0..count * 8 {
            let member = &members[self.rng.random_range(0..members.len())];
            if ids.len() < count && usable(member) && !ids.contains(&member.id)
            {
                ids.push(member.id);
            }
        }
        ids
    }

    // Hints and announcements.

    fn on_hint(&mut self, now: Time, addresses: Vec<SocketAddr>) {
        for address in addresses {
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

    fn on_platform_leaving(&mut self, now: Time, address: SocketAddr) {
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

    fn on_leave(&mut self, now: Time) {
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

    fn on_tick(&mut self, now: Time) {
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

    fn check_suspicions(&mut self, now: Time) {
        let due: Vec<Suspicion> = self
            .suspicions
            .iter()
            .filter(|x| x.deadline <= now || x.nudge.is_some_and(|x| x <= now))
            .copied()
            .collect();
        for suspicion in due {
            let id = suspicion.id;
            if suspicion.deadline <= now {
                self.suspicions.retain(|x| x.id != id);
                self.judge(now, id, MemberState::Dead);
                continue;
            }
            // Gives a live suspect every chance to refute.
            let sequence = self.next_sequence();
            self.ping(id, sequence);
            let next = now + self.options.probe_interval;
            for x in self.suspicions.iter_mut().filter(|x| x.id == id) {
                x.nudge = Some(next).filter(|next| *next < x.deadline);
            }
        }
    }

    fn start_probe(&mut self, now: Time) {
        let members = self.table.members();
        let target = self.order.next(self.me, members, &mut self.rng);
        let Some(target) = target else { return };
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            target,
            sequence,
            deadline: now + self.options.direct_timeout,
            helpers: Vec::new(),
            indirect: false,
        });
        self.ping(target, sequence);
    }

    fn check_probe(&mut self, now: Time) {
        let due = self.probe.take_if(|x| x.deadline <= now);
        let Some(mut probe) = due else { return };
        if !probe.indirect {
            let count = self.options.indirect_probes;
            probe.helpers = self.some_others(count, Some(probe.target));
            for &id in &probe.helpers.clone() {
                let updates = self.updates_for(Some(id));
                let Probe { sequence, target, .. } = probe;
                self.send(
                    id,
                    Message::PingRequest { sequence, target, updates },
                );
            }
            probe.indirect = true;
            probe.deadline = now + self.options.indirect_timeout;
            self.probe = Some(probe);
            return;
        }
        let id = probe.target;
        match self.table.get(id).map(|x| x.state) {
            Some(MemberState::Alive) => {
                self.judge(now, id, MemberState::Suspect);
                let next = now + self.options.direct_timeout;
                for x in self.suspicions.iter_mut().filter(|x| x.id == id) {
                    x.nudge = Some(next);
                }
            }
            // The state of a leaving member does not change before it is
            // dead, so only the timer runs.
            Some(MemberState::Leaving)
                if self.suspicions.iter().all(|x| x.id != id) =>
            {
                let deadline = now + self.options.suspicion_timeout;
                let nudge = None;
                self.suspicions.push(Suspicion { id, deadline, nudge });
            }
            _ => {}
        }
    }

    fn send_digest(&mut self, id: InstanceId) {
        let (hash, count) = digest(self.table.members());
        self.send(id, Message::Digest { hash, count });
    }

    fn forget(&mut self, now: Time) {
        for member in self.table.forget(now - self.options.forget_after) {
            self.log(
                &log::MEMBER_FORGOTTEN,
                format!("member={} name={}", member.id, member.name),
            );
        }
    }

    fn is_alone(&self) -> bool {
        let mut members = self.table.members().iter();
        members.all(|x| x.id == self.me || x.state == MemberState::Dead)
    }

    /// Asks hinted addresses and dead members for the fleet.
    fn join(&mut self) {
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
    fn rejoin(&mut self) {
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
    fn lost_addresses(&self) -> Vec<SocketAddr> {
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
