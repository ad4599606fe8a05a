//! A fleet of `Shares` reducers on a simulated network, with a control group
//! whose list of voters changes.

#![allow(dead_code)]

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use primrosemast_core::{
    forward::table::RateLimit,
    id::{InstanceId, LimitId, Token, ZoneId},
    message::PeerMessage,
    placement::Candidate,
    shares::{
        Message, ShareEffect, ShareEvent, ShareOptions, Shares, VoterList,
    },
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

pub const ZONES: usize = 3;
pub const LIMIT: LimitId = LimitId(7);

/// Interval between the requests of a voter for a confirmation.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// A message reaches the process that is there when it arrives.
const ANY_PROCESS: u32 = u32::MAX;

/// How messages and confirmations travel.
#[derive(Clone, Debug)]
pub struct Network {
    pub loss: f64,
    pub duplicates: f64,
    pub min_delay: Duration,
    /// Most messages arrive within twice `min_delay`; this share takes up to
    /// `max_delay`.
    pub slow: f64,
    pub max_delay: Duration,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            loss: 0.0,
            duplicates: 0.0,
            min_delay: Duration::from_millis(1),
            slow: 0.0,
            max_delay: Duration::from_millis(1),
        }
    }
}

#[derive(Debug)]
enum Delivery {
    Event(ShareEvent),
    /// A voter asks for a confirmation.
    AskConfirmation,
    /// The answer to a request from this time, which shows the list of voters
    /// at the other time.
    Confirmation(Time, Time),
    Tick,
}

#[derive(Debug)]
pub struct Instance {
    pub shares: Shares,
    started: Time,
    /// Number of the process, which changes when it restarts.
    process: u32,
    pub up: bool,
    frozen_until: Time,
    /// Index of the list that was last confirmed to this process.
    confirmed: Option<usize>,
    /// Messages in one or both directions are lost.
    pub cut: (bool, bool),
    /// Whether it gets no confirmations.
    pub unconfirmed: bool,
}

/// A request that was offered, and its result.
#[derive(Clone, Copy, Debug)]
pub struct Offered {
    pub at: Time,
    pub instance: usize,
    pub limit: LimitId,
    pub admitted_at: Option<Time>,
    pub refused_at: Option<Time>,
    pub retry_after: Option<Duration>,
}

pub struct Fleet {
    pub now: Time,
    pub rng: Pcg32,
    pub network: Network,
    pub options: ShareOptions,
    pub instances: Vec<Instance>,
    pub limits: Vec<(LimitId, RateLimit)>,
    /// Voters, with the time at which each list was committed.
    pub lists: Vec<(Time, Vec<usize>)>,
    /// Indexed by token.
    pub offered: Vec<Offered>,
    /// Bucket of callers that keep to the limit, and when it was filled.
    pub caller: Option<(f64, Time)>,
    pub messages: u64,
    pub bytes: u64,
    /// If set, holders use tokens for this time, and tell the grantors what
    /// these account for.
    pub later_expiry: Option<Duration>,
    queue: BinaryHeap<Reverse<(Time, u64, usize, u32)>>,
    deliveries: Vec<Option<Delivery>>,
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn limit(per_second: f64, burst: f64) -> RateLimit {
    RateLimit { per_second, burst }
}

impl Fleet {
    /// Creates a fleet whose first instances are the voters.
    pub fn new(
        instances: usize,
        voters: usize,
        options: ShareOptions,
        seed: u64,
    ) -> Fleet {
        let mut fleet = Fleet {
            now: Time::ZERO,
            rng: Pcg32::seed_from_u64(seed),
            network: Network::default(),
            options,
            instances: Vec::new(),
            limits: vec![(LIMIT, limit(17.0, 17.0))],
            lists: vec![(Time::ZERO, (0..voters).collect())],
            offered: Vec::new(),
            caller: None,
            messages: 0,
            bytes: 0,
            later_expiry: None,
            queue: BinaryHeap::new(),
            deliveries: Vec::new(),
        };
        for i in 0..instances {
            fleet.instances.push(fleet.process(i, 0));
        }
        for i in 0..instances {
            fleet.start(i);
        }
        fleet
    }

    fn process(&self, i: usize, process: u32) -> Instance {
        let seed = i as u64 + 1_000 * u64::from(process);
        let zone = ZoneId((i % ZONES) as u64);
        let plain = self.options.validity;
        let validity = match i < self.lists[0].1.len() {
            true => plain,
            false => self.later_expiry.unwrap_or(plain),
        };
        let options = ShareOptions { validity, ..self.options.clone() };
        Instance {
            shares: Shares::new(Self::id(i), zone, options, seed),
            started: self.now,
            process,
            up: true,
            frozen_until: Time::ZERO,
            confirmed: None,
            cut: (false, false),
            unconfirmed: false,
        }
    }

    fn id(i: usize) -> InstanceId {
        InstanceId(i as u64 + 1)
    }

    /// The instances that announce a replica: all that were ever voters.
    fn grantors(&self) -> Vec<Candidate> {
        let mut ids: Vec<usize> =
            self.lists.iter().flat_map(|l| l.1.clone()).collect();
        ids.sort_unstable();
        ids.dedup();
        let candidate = |i: usize| Candidate {
            instance: Self::id(i),
            zone: ZoneId((i % ZONES) as u64),
        };
        ids.into_iter().map(candidate).collect()
    }

    fn start(&mut self, i: usize) {
        let limits = self.limits.clone();
        self.step(i, ShareEvent::Limits(limits));
        let grantors = self.grantors();
        self.step(i, ShareEvent::Grantors(grantors));
        self.step(i, ShareEvent::Serving(true));
        let at = self.now + ms(self.rng.random_range(0..100));
        self.schedule(at, i, Delivery::AskConfirmation);
    }

    fn schedule(&mut self, at: Time, i: usize, delivery: Delivery) {
        let process = self.instances[i].process;
        self.schedule_for(at, i, process, delivery);
    }

    fn schedule_for(
        &mut self,
        at: Time,
        i: usize,
        process: u32,
        delivery: Delivery,
    ) {
        let number = self.deliveries.len() as u64;
        self.deliveries.push(Some(delivery));
        self.queue.push(Reverse((at, number, i, process)));
    }

    /// Changes the list of voters.
    pub fn set_voters(&mut self, voters: Vec<usize>) {
        self.lists.push((self.now, voters));
        for i in 0..self.instances.len() {
            let grantors = self.grantors();
            self.step(i, ShareEvent::Grantors(grantors));
        }
    }

    /// Gives an instance a random part of the instances that may be grantors,
    /// as if it knew other members than the rest.
    pub fn change_view(&mut self, i: usize) {
        let mut grantors = self.grantors();
        grantors.retain(|_| self.rng.random_bool(0.7));
        self.step(i, ShareEvent::Grantors(grantors));
    }

    pub fn voters(&self) -> &[usize] {
        &self.lists[self.lists.len() - 1].1
    }

    pub fn set_limits(&mut self, limits: Vec<(LimitId, RateLimit)>) {
        self.limits = limits;
        for i in 0..self.instances.len() {
            let limits = self.limits.clone();
            self.step(i, ShareEvent::Limits(limits));
        }
    }

    pub fn stop(&mut self, i: usize) {
        self.instances[i].up = false;
        self.instances[i].process += 1;
    }

    /// Starts an instance anew, as after a crash.
    pub fn restart(&mut self, i: usize) {
        let cut = self.instances[i].cut;
        let process = self.instances[i].process + 1;
        self.instances[i] = self.process(i, process);
        self.instances[i].cut = cut;
        self.start(i);
    }

    pub fn freeze(&mut self, i: usize, duration: Duration) {
        let until = self.now + duration;
        let frozen = &mut self.instances[i].frozen_until;
        *frozen = until.max(*frozen);
    }

    /// Offers a request to an instance.
    pub fn offer(&mut self, i: usize, limit: LimitId) {
        let token = Token(self.offered.len() as u64);
        self.offered.push(Offered {
            at: self.now,
            instance: i,
            limit,
            admitted_at: None,
            refused_at: None,
            retry_after: None,
        });
        let at = self.now.max(self.instances[i].frozen_until);
        let until = self.local(i, at + ms(1_000));
        let take = ShareEvent::Take(token, limit, until);
        self.schedule(at, i, Delivery::Event(take));
    }

    /// Reports that an admitted request was not run, so that it no longer
    /// counts.
    pub fn not_run(&mut self, token: Token) {
        let offered = &mut self.offered[token.0 as usize];
        let i = offered.instance;
        if offered.admitted_at.is_some()
            && self.now >= self.instances[i].frozen_until
        {
            offered.admitted_at = None;
            offered.refused_at = Some(self.now);
            self.step(i, ShareEvent::Drop(token));
        }
    }

    fn local(&self, i: usize, at: Time) -> Time {
        Time::ZERO + at.since(self.instances[i].started)
    }

    fn step(&mut self, i: usize, event: ShareEvent) {
        if !self.instances[i].up {
            return;
        }
        let now = self.local(i, self.now);
        let mut effects = Vec::new();
        self.instances[i].shares.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                ShareEffect::Send(to, message) => self.send(i, to, message),
                ShareEffect::Admit(token) => {
                    let offered = &mut self.offered[token.0 as usize];
                    assert!(offered.refused_at.is_none(), "both results");
                    assert!(offered.admitted_at.is_none(), "admitted twice");
                    offered.admitted_at = Some(self.now);
                }
                ShareEffect::Refuse { token, retry_after } => {
                    let offered = &mut self.offered[token.0 as usize];
                    assert!(offered.admitted_at.is_none(), "both results");
                    assert!(offered.refused_at.is_none(), "refused twice");
                    offered.refused_at = Some(self.now);
                    offered.retry_after = Some(retry_after);
                }
                ShareEffect::Log(_) => {}
            }
        }
        if let Some(due) = self.instances[i].shares.next_deadline() {
            let at = self.instances[i].started + due.since(Time::ZERO);
            let at = at.max(self.now + Duration::from_micros(1));
            self.schedule(at, i, Delivery::Tick);
        }
    }

    fn delay(&mut self) -> Duration {
        let Network { min_delay, slow, max_delay, .. } = self.network;
        if self.rng.random_bool(slow) {
            self.rng.random_range(min_delay..=max_delay.max(min_delay))
        } else {
            self.rng.random_range(min_delay..=min_delay * 2)
        }
    }

    fn send(&mut self, from: usize, to: InstanceId, mut message: Message) {
        let to = to.0 as usize - 1;
        self.messages += 1;
        let body = rmp_serde::to_vec(&PeerMessage::Shares(message.clone()));
        self.bytes += body.expect("encodes").len() as u64;
        if self.later_expiry.is_some()
            && let Message::Ask { validity_us, .. } = &mut message
        {
            *validity_us = self.options.validity.as_micros() as u32;
        }
        if self.instances[from].cut.0 || self.instances[to].cut.1 {
            return;
        }
        let copies =
            if self.rng.random_bool(self.network.duplicates) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let at = self.now + self.delay();
            let event = ShareEvent::Message(Self::id(from), message.clone());
            self.schedule_for(at, to, ANY_PROCESS, Delivery::Event(event));
        }
    }

    /// Returns the index of the list that was in force at a time.
    fn list_at(&self, at: Time) -> usize {
        self.lists.partition_point(|l| l.0 <= at) - 1
    }

    fn ask_confirmation(&mut self, i: usize) {
        let next = self.now + CONFIRM_INTERVAL;
        self.schedule(next, i, Delivery::AskConfirmation);
        let Instance { cut, unconfirmed, .. } = self.instances[i];
        let lost = self.rng.random_bool(self.network.loss);
        if cut.0 || cut.1 || unconfirmed || lost {
            return;
        }
        let there = self.now + self.delay();
        let back = there + self.delay();
        let answer = Delivery::Confirmation(self.now, there);
        self.schedule(back, i, answer);
    }

    fn confirmation(&mut self, i: usize, asked_at: Time, seen_at: Time) {
        let index = self.list_at(seen_at);
        let known = self.instances[i].confirmed;
        if known.is_some_and(|known| known > index) {
            return;
        }
        // A replica that was removed knows it before it is a voter again.
        let removed = known.is_some_and(|known| {
            self.lists[known..=index].iter().any(|l| !l.1.contains(&i))
        });
        if removed {
            self.instances[i].confirmed = None;
            self.step(i, ShareEvent::NotVoter);
        }
        let voters = &self.lists[index].1;
        if !voters.contains(&i) {
            return;
        }
        let list = VoterList {
            index: index as u64,
            voters: voters.len() as u32,
            confirmed_at: self.local(i, asked_at),
        };
        self.instances[i].confirmed = Some(index);
        self.step(i, ShareEvent::Confirmed(list));
    }

    /// Handles everything that is due until a time.
    pub fn run_until(&mut self, until: Time) {
        while let Some(&Reverse((at, number, i, process))) = self.queue.peek()
            && at <= until
        {
            self.queue.pop();
            let instance = &self.instances[i];
            self.now = self.now.max(at);
            let known = process == ANY_PROCESS || instance.process == process;
            if !known || !instance.up {
                continue;
            }
            if at < instance.frozen_until {
                // What arrives meanwhile waits, in the same order.
                let at = instance.frozen_until;
                self.queue.push(Reverse((at, number, i, process)));
                continue;
            }
            let delivery = self.deliveries[number as usize].take();
            match delivery {
                Some(Delivery::Event(event)) => self.step(i, event),
                Some(Delivery::AskConfirmation) => self.ask_confirmation(i),
                Some(Delivery::Confirmation(asked, seen)) => {
                    self.confirmation(i, asked, seen);
                }
                Some(Delivery::Tick) => {
                    let now = self.local(i, self.now);
                    let due = self.instances[i].shares.next_deadline();
                    if due.is_some_and(|due| due <= now) {
                        self.step(i, ShareEvent::Tick);
                    }
                }
                None => {}
            }
        }
        self.now = self.now.max(until);
    }

    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        self.run_until(until);
    }

    /// Offers requests like `load`, and leaves those out that a single bucket
    /// with the plain rate and burst would not admit.
    pub fn load_inside(
        &mut self,
        limit: LimitId,
        per_second: f64,
        duration: Duration,
        mut pick: impl FnMut(&mut Pcg32) -> usize,
    ) {
        let rate = self.limits.iter().find(|l| l.0 == limit).expect("limit").1;
        let mut bucket = self.caller.unwrap_or((rate.burst, self.now));
        self.poisson(per_second, duration, |fleet| {
            let elapsed = fleet.now.since(bucket.1).as_secs_f64();
            let level = bucket.0 + elapsed * rate.per_second;
            bucket = (level.min(rate.burst), fleet.now);
            if bucket.0 >= 1.0 {
                bucket.0 -= 1.0;
                let i = pick(&mut fleet.rng);
                fleet.offer(i, limit);
            }
        });
        self.caller = Some(bucket);
    }

    /// Offers `per_second` requests of a limit as a Poisson process for a
    /// time. `pick` chooses the instance of each.
    pub fn load(
        &mut self,
        limit: LimitId,
        per_second: f64,
        duration: Duration,
        mut pick: impl FnMut(&mut Pcg32) -> usize,
    ) {
        self.poisson(per_second, duration, |fleet| {
            let i = pick(&mut fleet.rng);
            fleet.offer(i, limit);
        });
    }

    fn poisson(
        &mut self,
        per_second: f64,
        duration: Duration,
        mut arrival: impl FnMut(&mut Fleet),
    ) {
        let end = self.now + duration;
        loop {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let gap = Duration::from_secs_f64(-uniform.ln() / per_second);
            let at = self.now + gap;
            if at >= end {
                break;
            }
            self.run_until(at);
            arrival(self);
        }
        self.run_until(end);
    }

    /// Returns the largest number of admitted requests of a limit in a window.
    pub fn worst_window(&self, limit: LimitId) -> usize {
        let mut times: Vec<Time> = self
            .offered
            .iter()
            .filter(|o| o.limit == limit)
            .filter_map(|o| o.admitted_at)
            .collect();
        times.sort_unstable();
        let window = self.options.window;
        let mut first = 0;
        let mut worst = 0;
        for (i, &at) in times.iter().enumerate() {
            while times[first] + window < at {
                first += 1;
            }
            worst = worst.max(i + 1 - first);
        }
        worst
    }

    /// Returns the requests that a single bucket with the plain rate and burst
    /// would admit, and how many of them were refused.
    pub fn inside(&self, limit: LimitId, from: Time) -> (usize, usize) {
        let rate = self.limits.iter().find(|l| l.0 == limit).expect("limit").1;
        let (mut level, mut filled_at) = (rate.burst, from);
        let (mut inside, mut refused) = (0, 0);
        let mut offered: Vec<&Offered> = self
            .offered
            .iter()
            .filter(|o| o.limit == limit && o.at >= from)
            .collect();
        offered.sort_by_key(|o| o.at);
        for request in offered {
            let elapsed = request.at.since(filled_at).as_secs_f64();
            level = (level + elapsed * rate.per_second).min(rate.burst);
            filled_at = request.at;
            if level >= 1.0 {
                level -= 1.0;
                inside += 1;
                refused += usize::from(request.refused_at.is_some());
            }
        }
        (inside, refused)
    }

    pub fn admitted(&self, limit: LimitId, from: Time) -> usize {
        self.offered
            .iter()
            .filter(|o| o.limit == limit && o.at >= from)
            .filter(|o| o.admitted_at.is_some())
            .count()
    }
}
