//! The account and its decisions.

use std::{cmp::Reverse, time::Duration};

use super::{
    BodyId, ConnectionId, HeldOptions, Holder, Listener, Phase, Share,
};
use crate::{
    event::{LogEvent, daemon},
    time::Time,
};

/// Decision on bytes for a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The bytes are granted. These bodies are given up for them and hold
    /// nothing any more; their readers have to release them at once.
    Granted(Vec<BodyId>),
    /// There is no room.
    Refused,
}

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is admitted.
    Admitted(ConnectionId),
    /// The first connection is admitted and the second one, which is no
    /// longer counted, has to be closed.
    Replaces(ConnectionId, ConnectionId),
    /// The connection has to be closed.
    Refused,
}

/// State of the account for metrics, by the number of holder or listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Bytes held.
    pub bytes: [usize; Holder::ALL.len()],
    /// Bodies refused or given up for lack of room, since the start.
    pub refused_bodies: [u64; Holder::ALL.len()],
    /// Open connections.
    pub connections: [usize; Listener::ALL.len()],
    /// Connections refused or closed for lack of room, since the start.
    pub closed_connections: [u64; Listener::ALL.len()],
    /// Whether something was refused recently.
    pub short: bool,
}

/// A body that is being read.
#[derive(Clone, Copy, Debug)]
struct Body {
    id: BodyId,
    holder: Holder,
    bytes: usize,
    /// When bytes of it last arrived.
    progress_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    id: ConnectionId,
    listener: Listener,
    phase: Phase,
    /// When its phase changed or bytes passed last.
    progress_at: Time,
}

impl Connection {
    /// Whether it may be closed for another one.
    fn is_replaceable(&self, stalled_before: Time) -> bool {
        match self.phase {
            Phase::Waiting => true,
            Phase::Running => false,
            Phase::Reading | Phase::Responding => {
                self.progress_at <= stalled_before
            }
        }
    }
}

/// The account of held bytes and connections.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    options: HeldOptions,
    next_id: u64,
    /// Sorted by identifier, because identifiers only grow.
    bodies: Vec<Body>,
    /// Sorted by identifier.
    connections: Vec<Connection>,
    gauges: Gauges,
    short_at: Time,
    events: Vec<LogEvent>,
}

impl Ledger {
    /// Creates an empty account.
    pub fn new(options: HeldOptions) -> Ledger {
        Ledger { options, ..Ledger::default() }
    }

    /// Returns the state for metrics.
    pub fn gauges(&self) -> Gauges {
        self.gauges
    }

    /// Returns the most bytes that one body of a holder may have.
    pub fn max_bytes(&self, holder: Holder) -> usize {
        self.options.shares[holder as usize].max
    }

    /// Returns the bytes that a holder could get now without taking any from
    /// a body.
    pub fn free(&self, holder: Holder) -> usize {
        if holder == Holder::Peers {
            return usize::MAX;
        }
        let kept: usize = Holder::ALL
            .iter()
            .map(|&h| {
                let used = self.gauges.bytes[h as usize];
                let reserved = self.options.shares[h as usize].reserved;
                if h == holder { used } else { used.max(reserved) }
            })
            .fold(0, usize::saturating_add);
        let own = self.gauges.bytes[holder as usize];
        let Share { reserved, max } = self.options.shares[holder as usize];
        // What peers send is not limited, and must not take the reserves.
        let free = self.options.bytes.saturating_sub(kept);
        free.max(reserved.saturating_sub(own)).min(max.saturating_sub(own))
    }

    /// Counts bytes that are complete when they arrive. Returns false, and
    /// counts nothing, if there is no room.
    pub fn take(&mut self, now: Time, holder: Holder, bytes: usize) -> bool {
        if self.free(holder) < bytes {
            self.refuse_body(now, holder);
            return false;
        }
        self.gauges.bytes[holder as usize] += bytes;
        true
    }

    /// Counts further bytes of an answer that has `held` bytes. An answer may
    /// hold at most as much as is left to the others.
    pub fn take_part(
        &mut self,
        now: Time,
        holder: Holder,
        held: usize,
        bytes: usize,
    ) -> bool {
        let rest = self.free(holder).checked_sub(bytes);
        if rest.is_none_or(|rest| held + bytes > rest) {
            self.refuse_body(now, holder);
            return false;
        }
        self.gauges.bytes[holder as usize] += bytes;
        true
    }

    /// Gives bytes back that were taken.
    pub fn give_back(&mut self, holder: Holder, bytes: usize) {
        let used = &mut self.gauges.bytes[holder as usize];
        debug_assert!(*used >= bytes, "more given back than taken");
        *used = used.saturating_sub(bytes);
    }

    /// Adds a body without bytes that is to be read.
    pub fn add_body(&mut self, now: Time, holder: Holder) -> BodyId {
        let id = BodyId(self.take_id());
        self.bodies.push(Body { id, holder, bytes: 0, progress_at: now });
        id
    }

    /// Records that bytes of a body have arrived for which it has room.
    pub fn body_progress(&mut self, now: Time, id: BodyId) {
        if let Ok(i) = self.body(id) {
            self.bodies[i].progress_at = now;
        }
    }

    /// Grants a body room for further bytes, or refuses them. Bodies of the
    /// same holder that have stalled or are larger are given up for it, but
    /// only if that makes enough room.
    pub fn grow_body(&mut self, now: Time, id: BodyId, more: usize) -> Grant {
        // A body that was given up gets nothing.
        let Ok(i) = self.body(id) else { return Grant::Refused };
        let Body { holder, bytes, .. } = self.bodies[i];
        let mut free = self.free(holder);
        let mut given_up = Vec::new();
        while free < more {
            let victim = self.victim(now, id, holder, bytes + more, &given_up);
            let Some(victim) = victim else {
                self.refuse_body(now, holder);
                return Grant::Refused;
            };
            given_up.push(victim.id);
            free += victim.bytes;
        }
        for &id in &given_up {
            self.drop_body(id);
            self.refuse_body(now, holder);
        }
        self.gauges.bytes[holder as usize] += more;
        if let Ok(i) = self.body(id) {
            self.bodies[i].bytes += more;
            self.bodies[i].progress_at = now;
        }
        Grant::Granted(given_up)
    }

    /// Returns the body that is given up next for one that will have `size`
    /// bytes.
    fn victim(
        &self,
        now: Time,
        id: BodyId,
        holder: Holder,
        size: usize,
        given_up: &[BodyId],
    ) -> Option<Body> {
        let others = || {
            self.bodies.iter().filter(|b| {
                b.id != id
                    && b.holder == holder
                    && b.bytes > 0
                    && !given_up.contains(&b.id)
            })
        };
        let stall = self.options.stall;
        others()
            .filter(|b| now.since(b.progress_at) >= stall)
            .min_by_key(|b| (b.progress_at, Reverse(b.bytes)))
            .or_else(|| {
                others().filter(|b| b.bytes > size).max_by_key(|b| b.bytes)
            })
            .copied()
    }

    /// Ends the reading of a complete body, and returns its bytes. They stay
    /// counted until they are given back. Returns `None` if it was given up.
    pub fn complete_body(&mut self, id: BodyId) -> Option<usize> {
        let i = self.body(id).ok()?;
        Some(self.bodies.remove(i).bytes)
    }

    /// Removes a body that is no longer read, with its bytes.
    pub fn drop_body(&mut self, id: BodyId) {
        if let Ok(i) = self.body(id) {
            let body = self.bodies.remove(i);
            self.give_back(body.holder, body.bytes);
        }
    }

    /// Decides on a new connection.
    pub fn admit(&mut self, now: Time, listener: Listener) -> Admission {
        let n = listener as usize;
        let mut replaced = None;
        if self.gauges.connections[n] >= self.options.connections[n] {
            let before = now - self.options.stall;
            let oldest = self
                .connections
                .iter()
                .filter(|c| c.listener == listener)
                .filter(|c| c.is_replaceable(before))
                .min_by_key(|c| (c.progress_at, c.id));
            self.gauges.closed_connections[n] += 1;
            replaced = oldest.map(|c| c.id);
            self.note_shortage(now, "connections", listener.as_str());
            let Some(oldest) = replaced else { return Admission::Refused };
            self.close(oldest);
        }
        let id = ConnectionId(self.take_id());
        self.gauges.connections[n] += 1;
        self.connections.push(Connection {
            id,
            listener,
            phase: Phase::Waiting,
            progress_at: now,
        });
        match replaced {
            Some(oldest) => Admission::Replaces(id, oldest),
            None => Admission::Admitted(id),
        }
    }

    /// Records that a connection has entered a phase, or has made progress in
    /// the one it is in.
    pub fn set_phase(&mut self, now: Time, id: ConnectionId, phase: Phase) {
        if let Ok(i) = self.connection(id) {
            self.connections[i].phase = phase;
            self.connections[i].progress_at = now;
        }
    }

    /// Records that bytes have passed on a connection.
    pub fn connection_progress(&mut self, now: Time, id: ConnectionId) {
        if let Ok(i) = self.connection(id) {
            self.connections[i].progress_at = now;
        }
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        if let Ok(i) = self.connection(id) {
            let connection = self.connections.remove(i);
            self.gauges.connections[connection.listener as usize] -= 1;
        }
    }

    /// Removes the connection whose response has made no progress for the
    /// longest time, if that is at least `stall`, and returns it. It has to be
    /// closed.
    pub fn close_stalled_response(
        &mut self,
        now: Time,
        stall: Duration,
    ) -> Option<ConnectionId> {
        let stalled = self
            .connections
            .iter()
            .filter(|c| c.phase == Phase::Responding)
            .filter(|c| now.since(c.progress_at) >= stall)
            .min_by_key(|c| (c.progress_at, c.id))
            .copied()?;
        self.gauges.closed_connections[stalled.listener as usize] += 1;
        self.close(stalled.id);
        Some(stalled.id)
    }

    /// Returns the time after which a response has stalled.
    pub fn stall(&self) -> Duration {
        self.options.stall
    }

    /// Ends a shortage that is over, and returns the events to log.
    pub fn take_events(&mut self, now: Time) -> Vec<LogEvent> {
        let calm = now.since(self.short_at) >= self.options.calm;
        if self.gauges.short && calm {
            self.gauges.short = false;
            self.events.push(LogEvent::new(
                &daemon::HELD_ROOM,
                format!("held_bytes={}", self.held()),
            ));
        }
        std::mem::take(&mut self.events)
    }

    fn held(&self) -> usize {
        self.gauges.bytes.iter().sum()
    }

    fn refuse_body(&mut self, now: Time, holder: Holder) {
        self.gauges.refused_bodies[holder as usize] += 1;
        self.note_shortage(now, "bytes", holder.as_str());
    }

    /// Logs the start of a shortage.
    fn note_shortage(&mut self, now: Time, what: &str, holder: &str) {
        self.short_at = now;
        if !self.gauges.short {
            self.gauges.short = true;
            let connections: usize = self.gauges.connections.iter().sum();
            self.events.push(LogEvent::new(
                &daemon::HELD_SHORT,
                format!(
                    "of={what} holder={holder} held_bytes={} \
                     connections={connections}",
                    self.held()
                ),
            ));
        }
    }

    fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn body(&self, id: BodyId) -> Result<usize, usize> {
        self.bodies.binary_search_by_key(&id, |b| b.id)
    }

    fn connection(&self, id: ConnectionId) -> Result<usize, usize> {
        self.connections.binary_search_by_key(&id, |c| c.id)
    }
}
