/*!
Rerouting of requests whose home does not acknowledge them or has left.
*/

use std::time::Duration;

use crate::{
    event::query as events,
    id::InstanceId,
    query::{
        active::{
            ActiveQuery, MAX_TRIES, NEVER, NO_POSITION, TryKind, TryState,
        },
        api::{Message, QueryEffect},
        dispatch::PlannedRequest,
        root::Queries,
    },
    time::Time,
};

/// If a timer fires this much too late, this instance itself is assumed to
/// have stalled. Acknowledgements may then have arrived without being read,
/// and asking the standbys would send a second request to targets whose homes
/// work.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(5);

/// Time without a message from a home after which its reports are taken for
/// outdated.
const HOME_SILENCE: Duration = Duration::from_secs(1);

impl Queries {
    /// Moves requests to the standby if their home has not acknowledged them
    /// in time.
    pub(super) fn check_acks(&mut self, now: Time, query: &mut ActiveQuery) {
        query.ack_at = NEVER;
        for attempt in 0..query.dispatches.len() {
            let d = query.dispatches[attempt];
            if d.acked || d.open_requests == 0 {
                continue;
            }
            if now.since(d.ack_due) >= LATE_TIMER_THRESHOLD {
                query.dispatches[attempt].ack_due =
                    now + self.options.min_ack_timeout;
            }
            let due = query.dispatches[attempt].ack_due;
            if due > now {
                query.ack_at = query.ack_at.min(due);
            } else {
                self.reroute(now, query, attempt as u32);
            }
        }
    }

    /// Moves requests to the new home or the standby if their home has left.
    pub(super) fn reroute_from_lost_homes(&mut self, now: Time) {
        for id in self.active_ids() {
            let Some(mut query) = self.take(id) else { continue };
            for attempt in 0..query.dispatches.len() {
                let d = query.dispatches[attempt];
                if d.open_requests > 0
                    && !self.table.is_candidate(d.home)
                    && d.home != self.own_id
                {
                    self.reroute(now, &mut query, attempt as u32);
                }
            }
            self.put_back_or_finish(now, query);
        }
    }

    /// Updates the indices of the targets of all tries in present plans after
    /// the routing table was rebuilt.
    pub(super) fn refresh_target_slots(&mut self) {
        for id in self.active_ids() {
            let Some(mut query) = self.take(id) else { continue };
            if let Some(plan) = &mut query.plan {
                for t in &mut plan.tries {
                    t.slot = self.table.find(t.target).unwrap_or(NO_POSITION);
                }
            }
            self.put_back(query);
        }
    }

    /// Cancels the open requests of a message and sends them to another
    /// instance. Requests that may not be repeated are not moved, because the
    /// target may have received them already.
    fn reroute(&mut self, now: Time, query: &mut ActiveQuery, attempt: u32) {
        let d = query.dispatches[attempt as usize];
        if !query.repeatable || (d.standby && self.table.is_candidate(d.home))
        {
            return;
        }
        let Some(plan) = &query.plan else { return };
        let open: Vec<usize> = (0..plan.tries.len())
            .filter(|&i| {
                let t = &plan.tries[i];
                t.attempt == attempt && t.state == TryState::Open
            })
            .collect();
        let mut requests: Vec<PlannedRequest> = Vec::with_capacity(open.len());
        let mut cancelled = Vec::with_capacity(open.len());
        let mut blocked = Vec::new();
        for i in open {
            let Some(plan) = &query.plan else { return };
            let t = plan.tries[i];
            let (home, standby) = self.table.homes(t.slot);
            let other = if home == Some(d.home) { standby } else { home };
            let Some(other) = other.filter(|&x| x != d.home) else {
                continue;
            };
            if Some(other) == standby
                && !self.table.is_shared(t.slot)
                && self.was_heard(now, d.home)
            {
                // The standby would refuse, and the home is only late. A
                // hedge asks another replica meanwhile.
                continue;
            }
            let position = t.shard as usize;
            if plan.tries_of(position).count() >= MAX_TRIES {
                continue;
            }
            if !self.is_send_allowed(now, t.slot) {
                // The zone of the target is out or its grace period is over,
                // so another replica is asked.
                self.table.release(t.slot);
                blocked.push(position);
                cancelled.push(i);
            } else if self.take_extra_request(query, position, true) {
                requests.push((other, t.shard, t.slot));
                cancelled.push(i);
            }
        }
        if cancelled.is_empty() {
            return;
        }
        let elapsed_us = query.elapsed_us(now);
        let Some(plan) = &mut query.plan else { return };
        let mut shards = Vec::with_capacity(cancelled.len());
        for i in cancelled {
            // The load of the target does not change here: the new request
            // replaces this one, or `release` was called above.
            let t = &mut plan.tries[i];
            t.state = TryState::Cancelled;
            t.ended_us = elapsed_us;
            shards.push((attempt, plan.shards[t.shard as usize].shard));
        }
        let old = &mut query.dispatches[attempt as usize];
        old.open_requests -= shards.len() as u32;
        let id = query.id;
        let count = shards.len();
        let cancel = Message::CancelShards { query: id, shards };
        self.out.push(QueryEffect::Send(d.home, cancel));
        self.log(&events::STANDBY_ASKED, || {
            format!("query={id} home={} shards={count}", d.home)
        });
        self.send(now, query, requests, TryKind::Standby);
        let plan_count = query.dropped_plans.len();
        for position in blocked {
            let replanned = query.dropped_plans.len() != plan_count;
            if replanned {
                // The positions are those of the previous plan.
                break;
            }
            self.shard_failed(now, query, position);
        }
    }

    /// Returns whether a message from an instance arrived recently, so that
    /// what it reported of its targets is up to date.
    fn was_heard(&self, now: Time, from: InstanceId) -> bool {
        let found = self.heard.binary_search_by_key(&from, |h| h.0);
        found.is_ok_and(|i| now.since(self.heard[i].1) < HOME_SILENCE)
    }

    /// Returns whether a target that was chosen before may still get new
    /// requests: its zone is in, and it has not been leaving for
    /// `leaving_grace` or longer.
    fn is_send_allowed(&self, now: Time, slot: u32) -> bool {
        let past_grace = || {
            self.table.targets[slot as usize].leaving_since().is_some_and(
                |since| now.since(since) >= self.options.leaving_grace,
            )
        };
        self.table.is_zone_in(slot) && !past_grace()
    }
}
