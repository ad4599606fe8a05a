use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    config_sync::{
        ConfigRecord, Message, SyncEffect, SyncEvent, SyncOptions,
        lease::{Answer, Fleet, Round},
    },
    event::{EventKind, LogEvent, config as log},
    id::{ConfigVersion, InstanceId},
    membership::Member,
    time::Time,
};

/// Comparisons are this many times less frequent above `max_direct_members`
/// members. Pushes bring most changes, and one instance in a large fleet
/// adds little to what the others find.
const LARGE_FLEET: u32 = 4;

/// State of the control replica on this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnReplica {
    pub(super) voter: bool,
    pub(super) voters: u32,
    pub(super) logged: ConfigVersion,
    pub(super) members_index: u64,
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
/// until the cut heals, without a bound. [`reaches_fleet_majority`] lets a control
/// leader refuse changes in that position, which leaves only changes that are
/// accepted within one lease after the cut.
///
/// [`reaches_fleet_majority`]: ConfigSync::reaches_fleet_majority
#[derive(Clone, Debug)]
pub struct ConfigSync {
    pub(super) me: InstanceId,
    pub(super) options: SyncOptions,
    pub(super) rng: Pcg32,
    pub(super) members: Vec<Member>,
    pub(super) fleet: Fleet,
    /// Tree along which confirmations are passed on, until the members
    /// change; sorting them for each question costs too much.
    pub(super) confirm_order: Option<Vec<InstanceId>>,
    pub(super) own_replica: Option<OwnReplica>,
    pub(super) current: Option<Arc<ConfigRecord>>,
    /// The control group that confirmed first; no other counts.
    pub(super) group: Option<u64>,
    /// Latest time at which a control quorum is known to have been asked and
    /// to have confirmed.
    pub(super) confirmed_at: Option<Time>,
    pub(super) round: Option<Round>,
    pub(super) lease_until: Time,
    pub(super) serving: bool,
    pub(super) fallback: bool,
    pub(super) sequence: u64,
    pub(super) pulling_until: Time,
    pub(super) last_step: Option<Time>,
    pub(super) next_compare: Time,
    pub(super) next_round: Time,
    /// Last time each fellow was heard from, sorted by identifier.
    pub(super) heard: Vec<(InstanceId, Time)>,
    pub(super) effects: Vec<SyncEffect>,
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
    pub fn reaches_fleet_majority(&self, now: Time) -> bool {
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

    pub(super) fn log(&mut self, kind: &'static EventKind, detail: String) {
        self.effects.push(SyncEffect::Log(LogEvent::new(kind, detail)));
    }

    pub(super) fn send(&mut self, to: InstanceId, message: Message) {
        self.effects.push(SyncEffect::Send(to, message));
    }

    pub(super) fn record_of(&self, id: InstanceId) -> Option<&Member> {
        let at = self.members.binary_search_by_key(&id, |x| x.id).ok()?;
        Some(&self.members[at])
    }

    pub(super) fn notice_gap(&mut self, now: Time) {
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

    pub(super) fn update_serving(&mut self, now: Time) {
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

    pub(super) fn on_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
    ) {
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

    // Timers.

    pub(super) fn on_tick(&mut self, now: Time) {
        if now >= self.next_compare {
            let large = self.members.len() > self.options.max_direct_members;
            let interval = self.options.compare_interval;
            let wait = if large { LARGE_FLEET * interval } else { interval };
            self.next_compare = now + wait;
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
}
