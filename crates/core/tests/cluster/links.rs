//! Links of a limited bandwidth, as the transport between instances uses
//! them.
//!
//! A long message crosses in frames, one message behind the other, and each
//! acknowledged frame is reported to its sender. Short messages without
//! entries pass between the frames. A connection that fails may lose the
//! message, or delay it until it goes on over the next one.

use std::{collections::BTreeMap, time::Duration};

use primrosemast_core::{
    consensus::{Envelope, Message, Payload},
    time::Time,
};
use rand::RngExt;

use super::{Cluster, Event};

/// Interval of the reports about a long message, in milliseconds.
const REPORT_MS: u64 = 50;

/// Pause until a failed connection is open again, in milliseconds.
const RECONNECT_MS: u64 = 400;

/// Settings and state of the links.
pub struct Links {
    /// Bytes per second in each direction.
    pub bandwidth: u64,
    /// Length of a frame in bytes.
    pub frame_bytes: u64,
    /// Long messages of which a failing connection loses all, in percent.
    pub lost_percent: u32,
    /// Long messages that go on over another connection, in percent.
    pub cut_percent: u32,
    /// Bytes sent on all links.
    pub bytes: u64,
    /// When the long messages on each link have crossed.
    free_at: BTreeMap<(usize, usize), Time>,
}

impl Links {
    pub fn new(bandwidth: u64, frame_bytes: u64) -> Links {
        Links {
            bandwidth,
            frame_bytes,
            lost_percent: 0,
            cut_percent: 0,
            bytes: 0,
            free_at: BTreeMap::new(),
        }
    }

    fn time_for(&self, bytes: u64) -> Duration {
        Duration::from_micros(bytes * 1_000_000 / self.bandwidth)
    }
}

/// Returns the bytes of a message, and whether it must not pass others.
fn size_of(message: &Message) -> (u64, bool) {
    match message {
        Message::Append { entries, .. } => {
            let payload = entries.iter().map(|e| match &e.payload {
                Payload::Command(command) => command.len() as u64 + 32,
                _ => 64,
            });
            (64 + payload.sum::<u64>(), !entries.is_empty())
        }
        Message::Snapshot { data, .. } => (64 + data.len() as u64, true),
        _ => (64, false),
    }
}

impl Cluster {
    pub fn seed(&self) -> u64 {
        self.seed
    }

    pub(super) fn send_over_link(
        &mut self,
        from: usize,
        to: usize,
        envelope: Envelope,
    ) {
        let (min, max) = self.faults.delay_us;
        let delay = Duration::from_micros(self.rng.random_range(min..=max));
        let (lost, cut, share) = (
            self.rng.random_range(0..100),
            self.rng.random_range(0..100),
            self.rng.random_range(0..100),
        );
        let Some(links) = &mut self.links else { return };
        let (bytes, ordered) = size_of(&envelope.message);
        links.bytes += bytes;
        let free = links.free_at.get(&(from, to)).copied();
        let free = free.filter(|at| *at > self.now).unwrap_or(self.now);
        if !ordered {
            let ahead = if free > self.now { links.frame_bytes } else { 0 };
            let arrives = delay + links.time_for(bytes + ahead);
            let wait = arrives.as_micros() as u64;
            self.schedule(to, wait, Event::Deliver(envelope));
            return;
        }
        let long = bytes > links.frame_bytes;
        let mut crossing = links.time_for(bytes);
        let is_lost = long && lost < links.lost_percent;
        if is_lost {
            crossing = crossing * share / 100;
        } else if long && cut < links.cut_percent {
            crossing += Duration::from_millis(RECONNECT_MS);
        }
        let end = free + crossing;
        links.free_at.insert((from, to), end);
        let first_frame = links.time_for(bytes.min(links.frame_bytes));
        let start = (free + first_frame).since(self.now).as_millis() as u64;
        let until = end.since(self.now).as_millis() as u64;
        let instance = self.nodes[to].replica.instance;
        if long {
            for at in (start..until).step_by(REPORT_MS as usize) {
                let wait = at * 1_000 + 2 * delay.as_micros() as u64;
                self.schedule(from, wait, Event::Receiving(instance));
            }
        }
        if !is_lost {
            let wait = (end.since(self.now) + delay).as_micros() as u64;
            self.schedule(to, wait, Event::Deliver(envelope));
        }
    }
}
