/*!
What a root does when a home does not answer or has left.
*/

use std::time::Duration;

use crate::{
    event::query as events,
    query::{
        active::{Active, MAX_TRIES, NEVER, NONE, TryKind, TryState},
        api::{Message, QueryEffect},
        dispatch::Order,
        root::Queries,
    },
    time::Time,
};

/// A timer this late shows that this instance itself did not run, so that
/// acknowledgements may wait to be read. Asking the standbys then would put
/// a second request on targets whose homes are well.
const LATE_TIMER: Duration = Duration::from_millis(5);

impl Queries {
    /// Turns to the standby where a home has not acknowledged in time.
    pub(super) fn check_acks(&mut self, now: Time, query: &mut Active) {
        query.ack_at = NEVER;
        for attempt in 0..query.dispatches.len() {
            let d = query.dispatches[attempt];
            if d.acked || d.open == 0 {
                continue;
            }
            if now.since(d.due) >= LATE_TIMER {
                query.dispatches[attempt].due =
                    now + self.options.home_timeout;
            }
            let due = query.dispatches[attempt].due;
            if due > now {
                query.ack_at = query.ack_at.min(due);
            } else {
                self.use_standby(now, query, attempt as u32);
            }
        }
    }

    /// Turns to the new home or the standby where a home has left.
    pub(super) fn leave_lost_homes(&mut self, now: Time) {
        for id in self.active_ids() {
            let Some(mut query) = self.take(id) else { continue };
            for attempt in 0..query.dispatches.len() {
                let d = query.dispatches[attempt];
                if d.open > 0
                    && !self.table.is_candidate(d.home)
                    && d.home != self.me
                {
                    self.use_standby(now, &mut query, attempt as u32);
                }
            }
            self.put_back_or_finish(now, query);
        }
    }

    /// Finds the targets of outstanding requests in a new table.
    pub(super) fn relocate(&mut self) {
        for id in self.active_ids() {
            let Some(mut query) = self.take(id) else { continue };
            if let Some(plan) = &mut query.plan {
                for t in &mut plan.tries {
                    t.slot = self.table.find(t.target).unwrap_or(NONE);
                }
            }
            self.put_back(query);
        }
    }

    /// Moves the open requests of a message to another instance, after
    /// cancelling them where they are. A request that may not be repeated
    /// stays, as it may have been sent.
    fn use_standby(&mut self, now: Time, query: &mut Active, attempt: u32) {
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
        let mut orders: Vec<Order> = Vec::with_capacity(open.len());
        let mut moved = Vec::with_capacity(open.len());
        let mut lost = Vec::new();
        for i in open {
            let Some(plan) = &query.plan else { return };
            let t = plan.tries[i];
            let (home, standby) = self.table.homes(t.slot);
            let other = if home == Some(d.home) { standby } else { home };
            let Some(other) = other.filter(|&x| x != d.home) else {
                continue;
            };
            let position = t.shard as usize;
            if plan.tries_of(position).count() >= MAX_TRIES {
                continue;
            }
            if !self.may_send(now, t.slot) {
                // The operators' word counts: another replica is asked.
                self.table.release(t.slot);
                lost.push(position);
                moved.push(i);
            } else if self.take_extra(query, position, true) {
                orders.push((other, t.shard, t.slot));
                moved.push(i);
            }
        }
        if moved.is_empty() {
            return;
        }
        let offset = query.offset(now);
        let Some(plan) = &mut query.plan else { return };
        let mut shards = Vec::with_capacity(moved.len());
        for i in moved {
            // The new request takes the place of this one in the load.
            let t = &mut plan.tries[i];
            t.state = TryState::Cancelled;
            t.ended = offset;
            shards.push((attempt, plan.shards[t.shard as usize].shard));
        }
        let old = &mut query.dispatches[attempt as usize];
        old.open -= shards.len() as u32;
        let id = query.id;
        let count = shards.len();
        let cancel = Message::CancelShards { query: id, shards };
        self.out.push(QueryEffect::Send(d.home, cancel));
        self.log(&events::STANDBY_ASKED, || {
            format!("query={id} home={} shards={count}", d.home)
        });
        self.send(now, query, orders, TryKind::Standby);
        let plans = query.dropped.len();
        for position in lost {
            let planned_again = query.dropped.len() != plans;
            if planned_again {
                // The positions belong to the former plan.
                break;
            }
            self.shard_failed(now, query, position);
        }
    }

    /// Whether a target that was chosen before may still get a request.
    fn may_send(&self, now: Time, slot: u32) -> bool {
        let leaving = || {
            self.table.targets[slot as usize].leaving_since().is_some_and(
                |since| now.since(since) >= self.options.leaving_grace,
            )
        };
        self.table.is_in(slot) && !leaving()
    }
}
