//! The reducer: its state, and the dispatch of events, messages and timers.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    config_sync::{
        ConfigRecord, Message, SyncEffect, SyncEvent, SyncOptions,
        lease::{Answer, Round},
        roster::{Report, Roster},
        tree::ZoneTree,
    },
    event::{EventKind, LogEvent, config as kinds},
    id::{ConfigVersion, InstanceId},
    membership::Member,
    shares::VoterList,
    time::Time,
};

/// Factor by which the interval between comparisons grows above
/// `max_direct_members`. Most changes arrive by push, and in a large fleet
/// the comparisons of a single instance contribute little.
const LARGE_FLEET_COMPARE_FACTOR: u32 = 4;

/// State of the control replica on this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnReplica {
    pub(super) voter: bool,
    pub(super) voters: u32,
    pub(super) logged: ConfigVersion,
    pub(super) members_index: u64,
    pub(super) logged_roster: u64,
}

/// Distribution of the configuration, and the lease to serve.
///
/// The lease is confirmed by a majority of the voters of the control group.
/// An instance that does not reach such a majority, and most instances of a
/// large fleet, use a confirmation relayed by another instance, which carries
/// its age. If there is none, the lease falls back to a majority of the
/// [roster](super::Roster) under these conditions:
///
/// - A control quorum has confirmed, since this process started, that the
///   instance knows the newest roster and version.
/// - No control replica that answers has logged a newer version, and no member
///   that answers holds one.
/// - More than half of the roster, this instance included if it is part of it,
///   hold a configuration that is not newer, have adopted the same roster and
///   fulfil the first condition as well. Members that are dead or leave count
///   until the control group removes them from the roster.
/// - The last confirmation is younger than
///   [`fallback_limit`](SyncOptions::fallback_limit).
///
/// A change is acknowledged only once a majority of the roster holds it; see
/// the module `roster` for why the two majorities exclude each other.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    pub(super) own_id: InstanceId,
    pub(super) options: SyncOptions,
    pub(super) rng: Pcg32,
    pub(super) members: Vec<Member>,
    /// The newest roster that this instance has adopted.
    pub(super) roster: Arc<Roster>,
    /// The roster that the control replica on this instance has applied last.
    pub(super) committed_roster: Arc<Roster>,
    /// Whether a control quorum has confirmed, since the start, that this
    /// instance knows the newest roster and version.
    pub(super) roster_confirmed: bool,
    pub(super) roster_pull_deadline: Time,
    /// Cached tree along which confirmations are relayed; reset when the
    /// members change. Sorting the members for each request costs too much.
    pub(super) confirmation_tree: Option<ZoneTree>,
    pub(super) own_replica: Option<OwnReplica>,
    pub(super) current: Option<Arc<ConfigRecord>>,
    /// The first control group that confirmed. Other groups are ignored from
    /// then on.
    pub(super) group: Option<u64>,
    /// Latest time at which a request was sent that a control quorum
    /// confirmed. The lease counts from here.
    pub(super) confirmed_at: Option<Time>,
    /// The last confirmation that was clearly newer than the one before it,
    /// and when it arrived.
    pub(super) progress: Option<(Time, Time)>,
    /// When the fleet was last asked to confirm, and a random delay.
    pub(super) fleet_queried_at: Option<Time>,
    /// Time until which the control replicas are asked directly, because
    /// relayed confirmations were too old.
    pub(super) ask_control_until: Time,
    /// Rounds whose answers could still renew the lease, newest last.
    pub(super) rounds: VecDeque<Round>,
    /// The newest list of voters that a majority of them confirmed.
    pub(super) voter_list: Option<VoterList>,
    pub(super) lease_until: Time,
    pub(super) serving: bool,
    pub(super) fallback: bool,
    pub(super) last_sequence: u64,
    pub(super) pull_deadline: Time,
    pub(super) last_step: Option<Time>,
    pub(super) next_compare: Time,
    pub(super) next_round: Time,
    /// What the other members last reported, sorted by identifier.
    pub(super) reports: Vec<Report>,
    pub(super) effects: Vec<SyncEffect>,
}

impl ConfigSync {
    /// Creates the reducer for the instance `own_id`.
    pub fn new(
        own_id: InstanceId,
        options: SyncOptions,
        seed: u64,
    ) -> ConfigSync {
        let mut rng = Pcg32::seed_from_u64(seed);
        ConfigSync {
            own_id,
            options,
            members: Vec::new(),
            roster: Arc::default(),
            committed_roster: Arc::default(),
            roster_confirmed: false,
            roster_pull_deadline: Time::ZERO,
            confirmation_tree: None,
            own_replica: None,
            current: None,
            group: None,
            confirmed_at: None,
            progress: None,
            fleet_queried_at: None,
            ask_control_until: Time::ZERO,
            rounds: VecDeque::new(),
            voter_list: None,
            lease_until: Time::ZERO,
            serving: false,
            fallback: false,
            // A random start keeps replies to requests from before a restart
            // from matching.
            last_sequence: rng.random::<u32>().into(),
            pull_deadline: Time::ZERO,
            last_step: None,
            next_compare: Time::ZERO,
            next_round: Time::ZERO,
            reports: Vec::new(),
            effects: Vec::new(),
            rng,
        }
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.current.as_ref().map_or(ConfigVersion(0), |x| x.version)
    }

    /// Whether this instance held the lease to serve after the last step.
    pub fn serving(&self) -> bool {
        self.serving
    }

    /// Returns the last confirmation of the list of voters, if this instance
    /// is one of them.
    pub(crate) fn voter_list(&self) -> Option<VoterList> {
        let replica = self.own_replica.filter(|x| x.voter)?;
        self.voter_list.filter(|x| x.index == replica.members_index)
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Arc<ConfigRecord>> {
        self.current.as_ref()
    }

    /// Returns when the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let lease = self.serving.then_some(self.lease_until);
        [self.next_compare, self.next_round].into_iter().chain(lease).min()
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
        self.check_gap(now);
        self.update_serving(now);
        match event {
            SyncEvent::Members(members) => {
                let known = |id: InstanceId| {
                    members.binary_search_by_key(&id, |x| x.id).is_ok()
                };
                self.reports.retain(|x| known(x.id));
                self.members = members;
                self.confirmation_tree = None;
            }
            SyncEvent::Message(from, message) => {
                self.on_message(now, from, message);
            }
            SyncEvent::Committed(record) => {
                self.install(now, Arc::new(record), None);
            }
            SyncEvent::Replica {
                voter,
                voters,
                logged,
                members_index,
                logged_roster,
            } => {
                self.own_replica = Some(OwnReplica {
                    voter,
                    voters,
                    logged,
                    members_index,
                    logged_roster,
                });
                self.evaluate_round(now);
            }
            SyncEvent::Roster(roster) => {
                self.committed_roster = roster;
                self.adopt_committed_roster(now);
            }
            SyncEvent::Tick => self.on_tick(now),
        }
        self.update_serving(now);
        out.extend(self.effects.drain(..));
    }

    /// Returns how long ago the request was sent that a control quorum last
    /// confirmed, in milliseconds, for the log; -1 if none was confirmed.
    pub(super) fn confirmed_ms(&self, now: Time) -> i64 {
        let age = self.confirmation_age(now);
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Returns how long ago the request was sent that a control quorum last
    /// confirmed. A configuration newer than the one in force was accepted
    /// after that, if there is one.
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns the time of the request that a control quorum last confirmed.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    pub(super) fn log_event(
        &mut self,
        kind: &'static EventKind,
        detail: String,
    ) {
        self.effects.push(SyncEffect::Log(LogEvent::new(kind, detail)));
    }

    pub(super) fn send(&mut self, to: InstanceId, message: Message) {
        self.effects.push(SyncEffect::Send(to, message));
    }

    pub(super) fn member(&self, id: InstanceId) -> Option<&Member> {
        let at = self.members.binary_search_by_key(&id, |x| x.id).ok()?;
        Some(&self.members[at])
    }

    pub(super) fn check_gap(&mut self, now: Time) {
        let Some(last) = self.last_step.replace(now) else {
            // A random offset spreads the timers of instances that start at
            // the same time.
            let micros = self.options.compare_interval.as_micros() as u64;
            let offset = self.rng.random_range(0..micros.max(1));
            self.next_compare = Time::from_micros(now.as_micros() + offset);
            self.next_round = self.next_compare;
            return;
        };
        if now.since(last) > self.options.lease {
            self.rounds.clear();
            self.lease_until = Time::ZERO;
            self.next_round = now;
            let gap = now.since(last).as_millis();
            self.log_event(&kinds::LEASE_GAP, format!("gap_ms={gap}"));
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
        self.log_event(
            &kinds::LEASE_CHANGED,
            format!(
                "serving={serving} version={version} fleet={fallback} \
                 confirmed_ms={}",
                self.confirmed_ms(now)
            ),
        );
    }

    // Messages.

    pub(super) fn on_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
    ) {
        self.record_report(now, from, &message);
        match message {
            Message::Compare { sequence, version, roster } => {
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
                        roster: answer.roster,
                    },
                );
                self.pull_if_newer(now, from, version);
                self.pull_roster_if_newer(now, from, roster);
            }
            Message::Compared {
                sequence,
                version,
                logged,
                voters,
                control_group,
                confirmed,
                members_index,
                roster,
            } => {
                let found = self
                    .rounds
                    .binary_search_by_key(&sequence, |x| x.sequence);
                if let Ok(at) = found {
                    self.rounds[at].add_answer(Answer {
                        roster,
                        members_index,
                        from,
                        version,
                        logged,
                        voters,
                        control_group,
                        confirmed,
                    });
                    self.evaluate_round(now);
                }
                self.pull_if_newer(now, from, version);
                self.pull_roster_if_newer(now, from, roster);
            }
            Message::PullRoster { index } => {
                if self.roster.index > index {
                    let roster = Message::Roster(Arc::clone(&self.roster));
                    self.send(from, roster);
                }
            }
            Message::Roster(roster) => {
                if self.adopt_roster(&roster) {
                    self.evaluate_round(now);
                }
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
            let wait = if large {
                LARGE_FLEET_COMPARE_FACTOR * interval
            } else {
                interval
            };
            self.next_compare = now + wait;
            self.send_compare();
        }
        if now >= self.next_round {
            self.finish_round(now);
            self.next_round = now + self.start_round(now);
        }
    }
}
