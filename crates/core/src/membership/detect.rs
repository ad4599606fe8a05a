//! Failure detection: direct and indirect probes, suspicion and the timeout
//! after which a member is declared dead.

use std::time::Duration;

use rand::RngExt;

use super::reducer::{Membership, Suspicion};
use crate::{
    event::membership as log,
    id::InstanceId,
    membership::{
        Member, MemberState, Message,
        probe::{Doubt, Probe, Relay},
    },
    time::Time,
};

/// Share of the estimate, as a divisor, by which the estimated lateness of
/// this instance's timers falls with each probe.
const TIMER_LAG_DECAY_DIVISOR: u32 = 4;

/// Maximum number of probes in flight on behalf of other instances.
const MAX_RELAYS: usize = 64;

impl Membership {
    pub(super) fn on_ack(
        &mut self,
        now: Time,
        from: InstanceId,
        sequence: u64,
    ) {
        // A single member that was suspended must not stretch the timeouts
        // for longer than their limit takes to decay.
        let limit = self.options.max_probe_timeout;
        let round_trip = self.round_trips.answered(now, sequence, from, limit);
        self.doubts.retain(|x| x.target != from && x.sequence != sequence);
        if round_trip.is_some_and(|x| x <= self.options.direct_timeout) {
            self.confirm_doubts(now, |x| x.sequence < sequence);
        }
        if let Some(probe) = &self.probe
            && probe.sequence == sequence
            && (probe.target == from || probe.helpers.contains(&from))
        {
            let target = probe.target;
            self.probe = None;
            // A leaving member is never in the state `Suspect`, so it has
            // nothing to refute and its answer alone ends the suspicion.
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

    pub(super) fn on_ping_request(
        &mut self,
        now: Time,
        from: InstanceId,
        requester_sequence: u64,
        target: InstanceId,
    ) {
        if target == self.own_id {
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

    pub(super) fn check_suspicions(&mut self, now: Time) {
        let due: Vec<Suspicion> = self
            .suspicions
            .iter()
            .filter(|x| x.deadline <= now || x.retry.is_some_and(|x| x <= now))
            .copied()
            .collect();
        for suspicion in due {
            let id = suspicion.id;
            // The suspicion and its refutation each take as long as a probe.
            let late = 2 * self.stretched(Duration::ZERO);
            if suspicion.deadline <= now && suspicion.extension < late {
                for x in self.suspicions.iter_mut().filter(|x| x.id == id) {
                    x.deadline += late - suspicion.extension;
                    x.extension = late;
                }
            }
            let due = |x: &Suspicion| x.id == id && x.deadline <= now;
            if self.suspicions.iter().any(due) {
                self.suspicions.retain(|x| x.id != id);
                self.set_state(now, id, MemberState::Dead);
                continue;
            }
            // Another probe gives a live suspect a further opportunity to
            // refute.
            let sequence = self.next_sequence();
            self.ping(id, sequence);
            let next = now + self.options.probe_interval;
            for x in self.suspicions.iter_mut().filter(|x| x.id == id) {
                x.retry = Some(next).filter(|next| *next < x.deadline);
            }
        }
    }

    /// Returns `base`, or a longer timeout if answers usually take longer.
    fn stretched(&self, base: Duration) -> Duration {
        let usual =
            self.round_trips.estimate().min(self.options.max_probe_timeout);
        // The other instances lack processor time as well, and a probe waits
        // at both ends.
        let starved = self.round_trips.median().max(2 * self.timer_lag);
        base.max(usual).max(starved.min(self.options.max_starved_timeout))
    }

    pub(super) fn start_probe(&mut self, now: Time) {
        let own = self.own_record();
        let across = self.probes_across(&own);
        let members = self.table.members();
        let target = self.order.next(&own, members, across, &mut self.rng);
        let Some(target) = target else { return };
        self.timer_lag -= self.timer_lag / TIMER_LAG_DECAY_DIVISOR;
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            target,
            sequence,
            started: now,
            deadline: now + self.stretched(self.options.direct_timeout),
            helpers: Vec::new(),
            indirect: false,
        });
        self.round_trips.sent(now, sequence, target);
        self.ping(target, sequence);
    }

    /// Returns whether the next probe goes to another zone; `None` if the zones
    /// have no rounds of their own, because the fleet is small or too few
    /// members of the own zone would watch each other.
    fn probes_across(&mut self, own: &Member) -> Option<bool> {
        let members = self.table.members();
        let near = members
            .iter()
            .filter(|x| x.zone == own.zone && x.state != MemberState::Dead);
        if members.len() <= self.options.max_uniform_members
            || near.count() < self.options.min_zone_members
        {
            return None;
        }
        // A zone whose members are suspected may be gone as a whole, so its
        // members are probed as often as in a small fleet.
        let is_far =
            |id| self.table.get(id).is_some_and(|x| x.zone != own.zone);
        let doubted = self.suspicions.iter().any(|x| is_far(x.id))
            || self.doubts.iter().any(|x| is_far(x.target));
        let across = self.options.probe_across.max(2);
        let far = self.rng.random_ratio(1, across);
        // The own zone is probed at least as often as otherwise the others.
        Some(far != doubted)
    }

    pub(super) fn check_probe(&mut self, now: Time) {
        let due = self.probe.take_if(|x| x.deadline <= now);
        let Some(mut probe) = due else { return };
        if !probe.indirect {
            let count = self.options.indirect_probes;
            probe.helpers = self.random_members(count, Some(probe.target));
            for &id in &probe.helpers.clone() {
                let updates = self.updates_for(Some(id));
                let Probe { sequence, target, .. } = probe;
                self.send(
                    id,
                    Message::PingRequest { sequence, target, updates },
                );
            }
            probe.indirect = true;
            probe.deadline =
                now + self.stretched(self.options.indirect_timeout);
            self.probe = Some(probe);
            return;
        }
        let id = probe.target;
        match self.table.get(id).map(|x| x.state) {
            Some(MemberState::Alive) => self.doubts.push(Doubt {
                target: id,
                sequence: probe.sequence,
                expires: probe.started + self.options.max_probe_timeout,
            }),
            // A leaving member keeps its state until it is dead, so only the
            // suspicion timer is started.
            Some(MemberState::Leaving)
                if self.suspicions.iter().all(|x| x.id != id) =>
            {
                let deadline = now + self.options.suspicion_timeout;
                let retry = None;
                self.suspicions.push(Suspicion {
                    id,
                    deadline,
                    retry,
                    extension: Duration::ZERO,
                });
            }
            _ => {}
        }
    }

    /// Suspects the targets of failed probes that `is_confirmed` selects.
    pub(super) fn confirm_doubts(
        &mut self,
        now: Time,
        is_confirmed: impl Fn(&Doubt) -> bool,
    ) {
        let confirmed: Vec<Doubt> =
            self.doubts.extract_if(.., |x| is_confirmed(x)).collect();
        for id in confirmed.into_iter().map(|x| x.target) {
            let state = self.table.get(id).map(|x| x.state);
            if state != Some(MemberState::Alive) {
                continue;
            }
            self.set_state(now, id, MemberState::Suspect);
            let next = now + self.options.direct_timeout;
            for x in self.suspicions.iter_mut().filter(|x| x.id == id) {
                x.retry = Some(next);
            }
        }
    }

    /// Notes by how much the timer that is due next is late. The estimate
    /// rises at once, and falls with each probe.
    fn note_timer_lag(&mut self, now: Time) {
        if self.last_step.is_none() {
            return;
        }
        let due = self.next_deadline().unwrap_or(now);
        let lag = now.since(due).min(self.options.suspicion_timeout);
        self.timer_lag = self.timer_lag.max(lag);
    }

    /// Discards the probe in flight and extends suspicions if this instance
    /// did not run for longer than a probe interval and the direct timeout:
    /// answers that arrived in the meantime were not read. After a pause that
    /// exceeds the suspicion timeout, other instances may consider this one
    /// dead, so its incarnation is raised.
    pub(super) fn check_gap(&mut self, now: Time) {
        self.note_timer_lag(now);
        let Some(last) = self.last_step.replace(now) else {
            self.start_timers(now);
            return;
        };
        let gap = now.since(last);
        let max_gap =
            self.options.probe_interval + self.options.direct_timeout;
        if gap <= max_gap {
            return;
        }
        self.probe = None;
        self.doubts.clear();
        self.round_trips.interrupt();
        for suspicion in &mut self.suspicions {
            suspicion.deadline += gap;
        }
        if gap > self.options.suspicion_timeout {
            let mut own = self.own_record();
            own.incarnation += 1;
            self.log(
                &log::RESUMED_AFTER_GAP,
                format!(
                    "gap_ms={} incarnation={}",
                    gap.as_millis(),
                    own.incarnation
                ),
            );
            self.set_own_record(now, own);
        }
    }
}
