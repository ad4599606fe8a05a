//! Confirmation rounds, which renew the lease.

use std::time::Duration;

use rand::{RngExt, seq::SliceRandom};

use super::reducer::ConfigSync;
use crate::{
    config_sync::{
        Confirmation, Message, SyncOptions,
        lease::{Answer, Round},
        tree::ZoneTree,
    },
    event::config as kinds,
    id::{ConfigVersion, InstanceId},
    membership::MemberState,
    shares::VoterList,
    time::Time,
};

/// Number of rounds whose answers are still counted. A lease lasts for eight
/// rounds at the shortest interval, half of `renew_interval`.
const MAX_ROUNDS: usize = 8;

impl ConfigSync {
    /// Starts a round of confirmation requests. Returns the time until the
    /// next one.
    pub(super) fn start_round(&mut self, now: Time) -> Duration {
        let large = self.members.len() > self.options.max_direct_members;
        let mut targets = Vec::new();
        if large {
            let (own_id, members) = (self.own_id, &self.members);
            let tree = self
                .confirmation_tree
                .get_or_insert_with(|| ZoneTree::new(own_id, members));
            let fan_out = self.options.confirm_fan_out;
            let random = self.rng.random::<u32>() as usize;
            targets = tree.sources(fan_out, own_id, random);
            // The second source only covers the time until a dead parent is
            // detected. Always asking it would double the load on that level.
            if !self.rng.random_ratio(1, 4) {
                targets.truncate(1);
            }
        }
        // In a large fleet only a few instances ask the control replicas, so
        // that the load there does not grow with the fleet. Relayed
        // confirmations are up to half a lease old at the third level.
        let relays = !targets.is_empty();
        let interval = self.options.renew_interval;
        let limit = match relays {
            true => self.options.lease / 2 + interval / 4,
            false => interval * 3 / 2,
        };
        let is_overdue = match self.confirmation_age(now) {
            Some(age) => age > limit,
            None => !self.rounds.is_empty(),
        };
        let is_newly_overdue = is_overdue && now >= self.ask_control_until;
        if is_overdue {
            self.ask_control_until = now + self.options.lease;
        }
        // Only a quorum that is asked directly confirms the roster.
        let asks_for_roster = self.roster.index > 0 && !self.roster_confirmed;
        let relayed_only =
            relays && now >= self.ask_control_until && !asks_for_roster;
        if !relayed_only {
            let control = self.members.iter().filter(|x| {
                x.replica.is_some()
                    && self.group.is_none_or(|group| group == x.control_group)
            });
            targets.extend(control.map(|x| x.id));
        }
        let mut fleet_queried = 0;
        if is_overdue && self.may_fall_back(now) && self.fleet_query_due(now) {
            let sample = self.fleet_sample();
            fleet_queried = sample.len();
            targets.extend(sample);
            let jitter = self.rng.random_range(0.0..0.25);
            self.fleet_queried_at = Some(now + interval.mul_f64(jitter));
        }
        targets.sort_unstable();
        targets.dedup();
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let (version, roster) = (self.version(), self.roster_status());
        for id in targets {
            if id != self.own_id {
                self.send(id, Message::Compare { sequence, version, roster });
            }
        }
        // Answers to an older round no longer extend the lease.
        let lease = self.options.lease;
        self.rounds.retain(|x| x.started + lease > now);
        if self.rounds.len() >= MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round {
            sequence,
            started: now,
            answers: Vec::new(),
            fleet_queried,
            quorum_confirmed: false,
        });
        self.evaluate_round(now);
        // Each level of the tree adds the age of its request. Half the
        // interval leaves one second of the lease at the third level. It also
        // leaves time for a second query of the fleet.
        let is_short = relayed_only || relays && is_newly_overdue;
        match is_short || fleet_queried > 0 {
            true => interval / 2,
            false => interval,
        }
    }

    /// Whether a majority of the fleet may renew the lease.
    fn may_fall_back(&self, now: Time) -> bool {
        let limit = self.options.fallback_limit;
        self.roster_confirmed
            && self.confirmation_age(now).is_some_and(|age| age < limit)
    }

    /// Returns the instances that are asked in the fallback: all of the
    /// roster, or a sample of a large one. This instance, which counts as
    /// agreeing, is among them if it is part of the roster.
    fn fleet_sample(&mut self) -> Vec<InstanceId> {
        let mut sample: Vec<InstanceId> =
            self.roster.entries.iter().map(|x| x.id).collect();
        if sample.len() > self.options.max_direct_members {
            sample.shuffle(&mut self.rng);
            sample.truncate(self.options.fleet_sample_size);
            if self.roster.contains(self.own_id)
                && !sample.contains(&self.own_id)
            {
                sample.pop();
                sample.push(self.own_id);
            }
        }
        sample
    }

    /// Whether the fleet is to be asked to confirm an overdue lease.
    ///
    /// In a slow fleet confirmations are old when they arrive, but keep
    /// arriving. Its members would only add to the load, so they are asked
    /// when no confirmation arrived for longer than a round, or when the lease
    /// would end before another round is complete. They are asked once in a
    /// lease, or twice while that preserves it.
    fn fleet_query_due(&self, now: Time) -> bool {
        let SyncOptions { lease, renew_interval: interval, .. } = self.options;
        let small = self.members.len() <= self.options.max_direct_members;
        let pause = match (self.serving, small) {
            (false, _) => lease,
            (true, false) => lease / 2 - interval / 4,
            (true, true) => interval / 2,
        };
        if self.fleet_queried_at.is_some_and(|x| now < x + pause) {
            return false;
        }
        let Some((_, progress)) = self.progress else { return true };
        let stalled = now.since(progress);
        let ends_soon = self
            .confirmation_age(now)
            .is_none_or(|age| age + interval * 5 / 4 >= lease);
        stalled > interval * 3 / 2 || ends_soon && stalled > interval * 3 / 4
    }

    /// Renews the lease if a control quorum has confirmed, either to this
    /// instance or through a relay.
    pub(super) fn evaluate_round(&mut self, now: Time) {
        let Some(group) = self.group.or_else(|| self.announced_group()) else {
            return;
        };
        let version = self.version();
        if version == ConfigVersion(0) {
            return;
        }
        let own = Some(self.own_answer(now));
        let mut newest = None;
        let mut newest_direct = None;
        let roster = self.roster.index;
        let knows_roster = |x: &Answer| {
            x.logged <= Some(version) && x.roster.logged <= roster
        };
        for round in &mut self.rounds {
            if roster > 0 && !self.roster_confirmed {
                let voters = round.confirmed_voters(group, own, knows_roster);
                self.roster_confirmed = voters.is_some();
            }
            let voters = round.confirmed_voters(group, own, |_| true);
            if let Some((index, voters)) = voters {
                let confirmed_at = round.started;
                let list = VoterList { index, voters, confirmed_at };
                self.voter_list = Some(list);
            }
            if !round.quorum_confirmed {
                round.quorum_confirmed =
                    round.control_confirms(group, version, own);
            }
            let age = match round.quorum_confirmed {
                true => Some(Duration::ZERO),
                false => round.relayed_age(group, version),
            };
            newest = newest.max(age.map(|age| round.started - age));
            if round.quorum_confirmed {
                newest_direct = Some(round.started);
            }
        }
        let Some(confirmed_at) = newest else { return };
        if self.confirmed_at.is_some_and(|x| x >= confirmed_at)
            || confirmed_at + self.options.lease <= now
        {
            return;
        }
        self.confirmed_at = Some(confirmed_at);
        // The age of a confirmation that goes around among relays varies a
        // little with the delay of messages.
        let step = self.options.renew_interval / 4;
        // In a small fleet only queries of the fleet yield relayed ones, so
        // these don't replace the next query.
        let small = self.members.len() <= self.options.max_direct_members;
        let counts = !small || newest_direct == newest;
        if counts
            && self
                .progress
                .is_none_or(|(last, _)| last + step <= confirmed_at)
        {
            self.progress = Some((confirmed_at, now));
        }
        self.renew_lease(confirmed_at + self.options.lease, false);
        if self.group.is_none() {
            self.group = Some(group);
            self.log_event(
                &kinds::GROUP_CHOSEN,
                format!("group={group:016x}"),
            );
        }
    }

    /// Renews the lease by a majority of the fleet if the control group did
    /// not confirm.
    ///
    /// A confirmation that is still recent enough takes precedence: the
    /// fallback is used only if the lease would end before another round is
    /// complete.
    pub(super) fn finish_round(&mut self, now: Time) {
        let version = self.version();
        let ends_soon = self.options.renew_interval * 3 / 2;
        if self
            .confirmed_at
            .is_some_and(|x| x + self.options.lease > now + ends_soon)
        {
            return;
        }
        // A newer version is pulled, so this one needs no longer lease.
        if !self.may_fall_back(now)
            || self.rounds.iter().any(|x| x.denies(version))
        {
            return;
        }
        let fleet_confirms = |round: &&Round| {
            !round.quorum_confirmed && self.fleet_confirms(round, version)
        };
        let newest = self.rounds.iter().rev().find(fleet_confirms);
        if let Some(started) = newest.map(|x| x.started) {
            self.renew_lease(started + self.options.lease, true);
        }
    }

    /// Whether a majority of the roster agreed by the end of a round.
    ///
    /// In fleets above `max_direct_members` only a sample is asked, which
    /// keeps the cost constant. More than half of the sample must agree, and
    /// more than half of the roster must be among the members that are not
    /// dead. The second condition is exact once the failure detector has
    /// noticed a partition; until then the first one gives a statistical
    /// guarantee.
    fn fleet_confirms(&self, round: &Round, version: ConfigVersion) -> bool {
        if round.fleet_queried == 0 {
            return false;
        }
        let roster = &self.roster;
        let own = usize::from(roster.contains(self.own_id));
        let agreeing = own + round.fleet_agreeing(roster, version);
        if roster.entries.len() <= self.options.max_direct_members {
            return agreeing * 2 > roster.entries.len();
        }
        agreeing * 2 > round.fleet_queried
            && roster.has_majority(|id| self.member(id).is_some())
    }

    pub(super) fn renew_lease(&mut self, until: Time, fallback: bool) {
        self.lease_until = self.lease_until.max(until);
        if self.fallback != fallback {
            self.fallback = fallback;
            let entries = self.roster.entries.iter();
            let present =
                entries.filter(|x| self.member(x.id).is_some()).count();
            let roster = self.roster.entries.len();
            let index = self.roster.index;
            let detail = format!(
                "fallback={fallback} present={present} of={roster} \
                 roster={index}"
            );
            self.log_event(&kinds::FLEET_FALLBACK, detail);
        }
    }

    /// Returns the control group that the most members announce, unless there
    /// is a tie.
    ///
    /// A second group that was bootstrapped by mistake must not confirm an
    /// outdated configuration of the first one.
    pub(super) fn announced_group(&self) -> Option<u64> {
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

    /// Returns the confirmation that this instance relays to others.
    pub(super) fn confirmation(&self, now: Time) -> Option<Confirmation> {
        let age = now.since(self.confirmed_at?);
        (age < self.options.lease).then_some(Confirmation {
            group: self.group?,
            age_us: age.as_micros() as u64,
        })
    }

    pub(super) fn own_answer(&self, now: Time) -> Answer {
        let replica = self.own_replica.as_ref();
        let own_member = self.member(self.own_id);
        Answer {
            from: self.own_id,
            version: self.version(),
            logged: replica.filter(|x| x.voter).map(|x| x.logged),
            voters: replica.map_or(0, |x| x.voters),
            members_index: replica.map_or(0, |x| x.members_index),
            control_group: own_member.map_or(0, |x| x.control_group),
            confirmed: self.confirmation(now),
            roster: self.roster_status(),
        }
    }
}
