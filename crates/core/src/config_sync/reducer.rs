use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg32;

use crate::{
    config_sync::{
        ConfigRecord, Confirmation, Message, SyncEffect, SyncEvent,
        SyncOptions,
        lease::{Answer, Fleet, Round, fleet_confirms},
        tree,
    },
    event::{EventKind, LogEvent, config as log},
    id::{ConfigVersion, InstanceId},
    membership::{Member, MemberState},
    time::Time,
};

/// State of the control replica on this instance.
#[derive(Clone, Copy, Debug)]
struct OwnReplica {
    voter: bool,
    voters: u32,
    logged: ConfigVersion,
    members_index: u64,
}

/// Distribution of the configuration and the lease to serve.
///
/// The lease is confirmed by a majority of the voters of the control group.
/// An instance that does not reach one, and most instances of a large fleet,
/// use the confirmation of another instance, with the age that it has there.
/// Without any, the lease is renewed by a majority of the fleet, under these rules:
///
/// - The instance was confirmed by a control quorum before.
/// - No control replica that answers has logged anything newer.
/// - More than half of the last known fleet, this instance included, hold a
///   configuration and none newer than this one. Members that announced that
///   they leave do not count. Members that died do, for at least a minute
///   and for as long as this instance has no lease, so that a minority
///   cannot shrink the fleet to itself.
///
/// A minority of the fleet that has no control quorum therefore stops within
/// the lease. The fallback is not safe in one case: all members of a control
/// quorum are alive, but cut off together with a minority of the fleet, and
/// they accept a change. The majority cannot know of it and keeps its version
/// until the cut heals, without a bound. [`reaches_fleet`] lets a control
/// leader refuse changes in that position, which leaves only changes that are
/// accepted within one lease after the cut.
///
/// [`reaches_fleet`]: ConfigSync::reaches_fleet
#[derive(Clone, Debug)]
pub struct ConfigSync {
    me: InstanceId,
    options: SyncOptions,
    rng: Pcg32,
    members: Vec<Member>,
    fleet: Fleet,
    /// Tree along which confirmations are passed on, until the members
    /// change; sorting them for each question costs too much.
    confirm_order: Option<Vec<InstanceId>>,
    own_replica: Option<OwnReplica>,
    current: Option<Arc<ConfigRecord>>,
    /// The control group that confirmed first; no other counts.
    group: Option<u64>,
    /// Latest time at which a control quorum is known to have been asked and
    /// to have confirmed.
    confirmed_at: Option<Time>,
    round: Option<Round>,
    lease_until: Time,
    serving: bool,
    fallback: bool,
    sequence: u64,
    pulling_until: Time,
    last_step: Option<Time>,
    next_compare: Time,
    next_round: Time,
    /// Last time each fellow was heard from, sorted by identifier.
    heard: Vec<(InstanceId, Time)>,
    effects: Vec<SyncEffect>,
}

impl ConfigSync {
    /// Creates the reducer for the instance `me`.
    pub fn new(me: InstanceId, options: SyncOptions, seed: u64) -> ConfigSync {
        let mut rng = Pcg32::seed_from_u64(seed);
        ConfigSync {
            me,
            options,
            members: Vec::new(),
            fleet: Fleet::default(),
            confirm_order: None,
            own_replica: None,
            current: None,
            group: None,
            confirmed_at: None,
            round: None,
            lease_until: Time::ZERO,
            serving: false,
            fallback: false,
            // A random start keeps answers to an earlier life of this
            // instance from matching.
            sequence: rng.random::<u32>().into(),
            pulling_until: Time::ZERO,
            last_step: None,
            next_compare: Time::ZERO,
            next_round: Time::ZERO,
            heard: Vec::new(),
            effects: Vec::new(),
            rng,
        }
    }

    /// The version in force; 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.current.as_ref().map_or(ConfigVersion(0), |x| x.version)
    }

    /// Whether this instance had the right to serve after the last step.
    pub fn serving(&self) -> bool {
        self.serving
    }

    /// The configuration in force.
    pub fn current(&self) -> Option<&Arc<ConfigRecord>> {
        self.current.as_ref()
    }

    /// When the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let lease = self.serving.then_some(self.lease_until);
        [self.next_compare, self.next_round].into_iter().chain(lease).min()
    }

    /// Whether a majority of the last known fleet was heard from within the
    /// lease, for a control leader that must not accept changes alone.
    pub fn reaches_fleet(&self, now: Time) -> bool {
        let fresh = |id: &InstanceId| {
            let at = self.heard.binary_search_by_key(id, |x| x.0);
            at.is_ok_and(|at| {
                now.since(self.heard[at].1) <= self.options.lease
            })
        };
        let others = self.fleet.ids().filter(|x| *x != self.me);
        let heard = 1 + others.filter(fresh).count();
        heard * 2 > self.fleet.len()
    }

    /// Handles one event.
    ///
    /// The lease is checked against `now` before the event is handled, so a
    /// resumed instance emits `Serving(false)` in its first step.
    pub fn step(
        &mut self,
        now: Time,
        event: SyncEvent,
        out: &mut impl Extend<SyncEffect>,
    ) {
        self.notice_gap(now);
        self.update_serving(now);
        match event {
            SyncEvent::Members(members) => {
                self.fleet.update(now, &members);
                let known = |id: InstanceId| {
                    members.binary_search_by_key(&id, |x| x.id).is_ok()
                };
                self.heard.retain(|x| known(x.0));
                self.members = members;
                self.confirm_order = None;
            }
            SyncEvent::Message(from, message) => {
                self.on_message(now, from, message);
            }
            SyncEvent::Committed(record) => {
                self.install(now, Arc::new(record), None);
            }
            SyncEvent::Replica { voter, voters, logged, members_index } => {
                self.own_replica =
                    Some(OwnReplica { voter, voters, logged, members_index });
                self.evaluate(now);
            }
            SyncEvent::Tick => self.on_tick(now),
        }
        self.update_serving(now);
        out.extend(self.effects.drain(..));
    }

    fn log(&mut self, kind: &'static EventKind, detail: String) {
        self.effects.push(SyncEffect::Log(LogEvent::new(kind, detail)));
    }

    fn send(&mut self, to: InstanceId, message: Message) {
        self.effects.push(SyncEffect::Send(to, message));
    }

    fn record_of(&self, id: InstanceId) -> Option<&Member> {
        let at = self.members.binary_search_by_key(&id, |x| x.id).ok()?;
        Some(&self.members[at])
    }

    fn notice_gap(&mut self, now: Time) {
        let Some(last) = self.last_step.replace(now) else {
            // A random offset keeps instances that start together out of
            // step.
            let micros = self.options.compare_interval.as_micros() as u64;
            let offset = self.rng.random_range(0..micros.max(1));
            self.next_compare = Time::from_micros(now.as_micros() + offset);
            self.next_round = self.next_compare;
            return;
        };
        if now.since(last) > self.options.lease {
            self.round = None;
            self.lease_until = Time::ZERO;
            self.next_round = now;
            let gap = now.since(last).as_millis();
            self.log(&log::LEASE_GAP, format!("gap_ms={gap}"));
        }
    }

    fn update_serving(&mut self, now: Time) {
        let serving = self.current.is_some() && now < self.lease_until;
        if serving == self.serving {
            return;
        }
        self.serving = serving;
        self.effects.push(SyncEffect::Serving(serving));
        let version = self.version();
        let fallback = self.fallback;
        self.log(
            &log::LEASE_CHANGED,
            format!("serving={serving} version={version} fleet={fallback}"),
        );
    }

    // Messages.

    fn on_message(&mut self, now: Time, from: InstanceId, message: Message) {
        match self.heard.binary_search_by_key(&from, |x| x.0) {
            Ok(at) => self.heard[at].1 = now,
            Err(at) if self.record_of(from).is_some() => {
                self.heard.insert(at, (from, now));
            }
            Err(_) => {}
        }
        match message {
            Message::Compare { sequence, version } => {
                let answer = self.own_answer(now);
                self.send(
                    from,
                    Message::Compared {
                        sequence,
                        version: answer.version,
                        logged: answer.logged,
                        voters: answer.voters,
                        control_group: answer.control_group,
                        confirmed: answer.confirmed,
                        members_index: answer.members_index,
                    },
                );
                self.pull_if_newer(now, from, version);
            }
            Message::Compared {
                sequence,
                version,
                logged,
                voters,
                control_group,
                confirmed,
                members_index,
            } => {
                if let Some(round) = &mut self.round
                    && round.sequence == sequence
                {
                    round.record(Answer {
                        members_index,
                        from,
                        version,
                        logged,
                        voters,
                        control_group,
                        confirmed,
                    });
                    self.evaluate(now);
                }
                self.pull_if_newer(now, from, version);
            }
            Message::Pull { version } => {
                if let Some(record) = &self.current
                    && record.version > version
                {
                    let push = Message::Push(record.clone());
                    self.send(from, push);
                }
            }
            Message::Push(record) => self.install(now, record, Some(from)),
        }
    }

    fn own_answer(&self, now: Time) -> Answer {
        let replica = self.own_replica.as_ref();
        let me = self.record_of(self.me);
        Answer {
            from: self.me,
            version: self.version(),
            logged: replica.filter(|x| x.voter).map(|x| x.logged),
            voters: replica.map_or(0, |x| x.voters),
            members_index: replica.map_or(0, |x| x.members_index),
            control_group: me.map_or(0, |x| x.control_group),
            confirmed: self.confirmation(now),
        }
    }

    /// What this instance passes on to others.
    fn confirmation(&self, now: Time) -> Option<Confirmation> {
        let age = now.since(self.confirmed_at?);
        (age < self.options.lease).then_some(Confirmation {
            group: self.group?,
            age_us: age.as_micros() as u64,
        })
    }

    fn pull_if_newer(
        &mut self,
        now: Time,
        from: InstanceId,
        version: ConfigVersion,
    ) {
        // Asking one instance at a time keeps a large document from being
        // sent by every fellow that has it.
        if version > self.version() && now >= self.pulling_until {
            self.pulling_until = now + self.options.pull_timeout;
            let version = self.version();
            self.send(from, Message::Pull { version });
        }
    }

    fn install(
        &mut self,
        now: Time,
        record: Arc<ConfigRecord>,
        from: Option<InstanceId>,
    ) {
        let source =
            from.map_or("replica".to_owned(), |from| from.to_string());
        if let Some(current) = self.current.clone()
            && record.version <= current.version
        {
            if current.version == record.version && current.hash != record.hash
            {
                self.log(
                    &log::CONFIG_CONFLICT,
                    format!(
                        "version={} hash={:016x} other={:016x} from={source}",
                        record.version, current.hash, record.hash
                    ),
                );
            }
            return;
        }
        if record.version == ConfigVersion(0) {
            return;
        }
        self.pulling_until = now;
        self.current = Some(record.clone());
        self.effects.push(SyncEffect::Install(record.clone()));
        self.log(
            &log::CONFIG_IN_FORCE,
            format!(
                "version={} hash={:016x} from={source}",
                record.version, record.hash
            ),
        );
        self.push_on(&record, from);
        self.evaluate(now);
        if !self.serving && now >= self.lease_until {
            self.next_round = now;
        }
    }

    /// Pushes a new record to those for whom this instance is responsible.
    fn push_on(
        &mut self,
        record: &Arc<ConfigRecord>,
        from: Option<InstanceId>,
    ) {
        let direct = self.members.len() <= self.options.direct_limit;
        let group = self.record_of(self.me).map_or(0, |x| x.control_group);
        let is_root =
            |x: &&Member| x.replica.is_some() && x.control_group == group;
        let roots = self.members.iter().filter(is_root);
        let root = roots.clone().position(|x| x.id == self.me);
        let targets = match root {
            // The replicas share the work. The share of one that is down or
            // late is covered by comparison.
            Some(root) if from.is_none() => {
                let order = tree::order(record.version, &self.members);
                let width =
                    if direct { order.len() } else { self.options.fan_out };
                tree::root_children(&order, width, root, roots.count())
            }
            None if !direct => {
                let order = tree::order(record.version, &self.members);
                tree::children(&order, self.options.fan_out, self.me).to_vec()
            }
            _ => Vec::new(),
        };
        for id in targets {
            if id != self.me && Some(id) != from {
                self.send(id, Message::Push(record.clone()));
            }
        }
    }

    // Timers.

    fn on_tick(&mut self, now: Time) {
        if now >= self.next_compare {
            self.next_compare = now + self.options.compare_interval;
            self.compare();
        }
        if now >= self.next_round {
            self.finish_round(now);
            let passed_on = self.start_round(now);
            // Each level of a large fleet adds the age of its question; half
            // the interval leaves a second of the lease at the third level.
            let interval = self.options.renew_interval;
            let wait = if passed_on { interval / 2 } else { interval };
            self.next_round = now + wait;
        }
    }

    fn compare(&mut self) {
        let others = self.members.len().saturating_sub(1);
        if others == 0 {
            return;
        }
        let at = self.rng.random_range(0..self.members.len());
        // Drawing oneself is answered by the next in order.
        let at = match &self.members[at] {
            x if x.id == self.me => (at + 1) % self.members.len(),
            _ => at,
        };
        let to = self.members[at].id;
        self.sequence += 1;
        let sequence = self.sequence;
        let version = self.version();
        self.send(to, Message::Compare { sequence, version });
    }

    /// Asks for a confirmation; returns whether only those were asked who
    /// pass one on.
    fn start_round(&mut self, now: Time) -> bool {
        let large = self.members.len() > self.options.direct_limit;
        // In a large fleet few instances ask the control replicas, so that
        // the load there does not grow with the fleet.
        // Confirmations that are passed on are up to half a lease old at the
        // third level.
        let limit = self.options.lease / 2 + self.options.renew_interval / 4;
        let missed = match (&self.round, self.confirmed_at) {
            (Some(_), Some(at)) if large => now.since(at) > limit,
            (Some(round), _) => !round.direct,
            (None, _) => false,
        };
        let mut asked = Vec::new();
        if large {
            let members = &self.members;
            let order = self
                .confirm_order
                .get_or_insert_with(|| tree::order(ConfigVersion(0), members));
            let fan_out = self.options.confirm_fan_out;
            let draw = self.rng.random::<u32>() as usize;
            asked = tree::confirmers(order, fan_out, self.me, draw);
            // The other one only covers the time until a dead parent is
            // noticed; asking it always doubles the load of that level.
            if !self.rng.random_ratio(1, 4) {
                asked.truncate(1);
            }
        }
        let passed_on = !missed && !asked.is_empty();
        if !passed_on {
            let control = self.members.iter().filter(|x| {
                x.replica.is_some()
                    && self.group.is_none_or(|group| group == x.control_group)
            });
            asked.extend(control.map(|x| x.id));
        }
        let mut fleet_asked = 0;
        if missed && self.group.is_some() {
            let mut sample: Vec<InstanceId> = self.fleet.ids().collect();
            if sample.len() > self.options.direct_limit {
                sample.shuffle(&mut self.rng);
                sample.truncate(self.options.fleet_sample);
                // This instance always counts once.
                if !sample.contains(&self.me) {
                    sample.pop();
                    sample.push(self.me);
                }
            }
            fleet_asked = sample.len();
            asked.extend(sample);
        }
        asked.sort_unstable();
        asked.dedup();
        self.sequence += 1;
        let sequence = self.sequence;
        let version = self.version();
        for id in asked {
            if id != self.me {
                self.send(id, Message::Compare { sequence, version });
            }
        }
        self.round = Some(Round {
            sequence,
            started: now,
            answers: Vec::new(),
            fleet_asked,
            direct: false,
            confirmed: false,
        });
        self.evaluate(now);
        passed_on
    }

    /// Renews the lease when a control quorum has confirmed.
    fn evaluate(&mut self, now: Time) {
        let Some(group) = self.group.or_else(|| self.announced_group()) else {
            return;
        };
        let version = self.version();
        let own = Some(self.own_answer(now));
        let Some(round) = &mut self.round else { return };
        if version == ConfigVersion(0) || round.direct {
            return;
        }
        round.direct = round.control_confirms(group, version, own);
        let age = match round.direct {
            true => Some(Duration::ZERO),
            false => round.passed_on(group, version),
        };
        let Some(age) = age else { return };
        let confirmed_at = round.started - age;
        if self.confirmed_at.is_some_and(|x| x >= confirmed_at)
            || confirmed_at + self.options.lease <= now
        {
            return;
        }
        round.confirmed = true;
        self.confirmed_at = Some(confirmed_at);
        self.renew(now, confirmed_at + self.options.lease, false);
        if self.group.is_none() {
            self.group = Some(group);
            self.log(&log::GROUP_CHOSEN, format!("group={group:016x}"));
        }
    }

    /// Renews the lease by the fleet if the control group did not answer.
    ///
    /// While anyone in reach passes on a young confirmation, this instance
    /// relies on that one. The fallback waits until the lease would not
    /// survive another round.
    fn finish_round(&mut self, now: Time) {
        let version = self.version();
        let ends_soon = self.options.renew_interval * 3 / 2;
        if self
            .confirmed_at
            .is_some_and(|x| x + self.options.lease > now + ends_soon)
        {
            return;
        }
        let fleet_confirms = self.round.as_ref().is_some_and(|round| {
            !round.direct
                && fleet_confirms(round, &self.fleet, version, &self.options)
        });
        if let Some(round) = &self.round
            && fleet_confirms
        {
            let until = round.started + self.options.lease;
            self.renew(now, until, true);
        }
    }

    fn renew(&mut self, now: Time, until: Time, fallback: bool) {
        self.lease_until = self.lease_until.max(until);
        if now < self.lease_until {
            self.fleet.drop_lost(now - self.options.gone_memory);
        }
        if self.fallback != fallback {
            self.fallback = fallback;
            let present = self.fleet.present();
            let fleet = self.fleet.len();
            self.log(
                &log::FLEET_FALLBACK,
                format!("fallback={fallback} present={present} of={fleet}"),
            );
        }
    }

    /// The control group that most members announce, if it is unique.
    ///
    /// A second group, founded by mistake, must not confirm the outdated
    /// configuration of the first one.
    fn announced_group(&self) -> Option<u64> {
        let announced = self.members.iter().filter(|x| {
            x.replica.is_some()
                && x.control_group != 0
                && x.state != MemberState::Leaving
        });
        let mut counts: Vec<(u64, u32)> = Vec::new();
        for member in announced {
            match counts.iter_mut().find(|x| x.0 == member.control_group) {
                Some(entry) => entry.1 += 1,
                None => counts.push((member.control_group, 1)),
            }
        }
        let most = counts.iter().map(|x| x.1).max()?;
        let mut leading = counts.iter().filter(|x| x.1 == most);
        let group = leading.next()?.0;
        leading.next().is_none().then_some(group)
    }
}
