//! Rounds of confirmation, which renew the lease.

use std::time::Duration;

use rand::{RngExt, seq::SliceRandom};

use super::reducer::ConfigSync;
use crate::{
    config_sync::{
        Confirmation, Message,
        lease::{Answer, Round, fleet_confirms},
        tree,
    },
    event::config as log,
    id::{ConfigVersion, InstanceId},
    membership::MemberState,
    time::Time,
};

impl ConfigSync {
    /// Asks for a confirmation; returns whether only those were asked who
    /// pass one on.
    pub(super) fn start_round(&mut self, now: Time) -> bool {
        let large = self.members.len() > self.options.max_direct_members;
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
            if sample.len() > self.options.max_direct_members {
                sample.shuffle(&mut self.rng);
                sample.truncate(self.options.fleet_sample_size);
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
    pub(super) fn evaluate(&mut self, now: Time) {
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
    pub(super) fn finish_round(&mut self, now: Time) {
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

    pub(super) fn renew(&mut self, now: Time, until: Time, fallback: bool) {
        self.lease_until = self.lease_until.max(until);
        if now < self.lease_until {
            self.fleet.drop_lost(now - self.options.dead_member_retention);
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

    /// What this instance passes on to others.
    pub(super) fn confirmation(&self, now: Time) -> Option<Confirmation> {
        let age = now.since(self.confirmed_at?);
        (age < self.options.lease).then_some(Confirmation {
            group: self.group?,
            age_us: age.as_micros() as u64,
        })
    }

    pub(super) fn own_answer(&self, now: Time) -> Answer {
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
}
