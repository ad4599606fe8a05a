/*!
Probes in flight and the order in which members are probed.
*/

use std::{collections::VecDeque, time::Duration};

use rand::seq::SliceRandom;
use rand_pcg::Pcg32;

use crate::{
    id::InstanceId,
    membership::{Member, MemberState},
    time::Time,
};

/// A probe that awaits its answer.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: InstanceId,
    pub(crate) sequence: u64,
    pub(crate) started: Time,
    pub(crate) deadline: Time,
    /// Members that were asked to probe indirectly; empty during the direct
    /// phase.
    pub(crate) helpers: Vec<InstanceId>,
    pub(crate) indirect: bool,
}

/// Number of probes whose late answers are still measured. At the shortest
/// interval between probes they cover 16 seconds.
const MAX_MEASURED: usize = 32;

/// Number of the last answers whose median is taken. Up to two members that
/// were suspended do not change it.
const RECENT_ANSWERS: usize = 5;

/// Smallest number of answers whose median is taken, after the start. One
/// member that was suspended does not change it.
const MIN_RECENT_ANSWERS: usize = 3;

/// Share of the difference, as a divisor, by which a shorter round trip lowers
/// the estimate (the gain of RFC 6298). A longer one raises it at once.
const DECAY_DIVISOR: u32 = 8;

/// A direct probe without an answer.
#[derive(Clone, Copy, Debug)]
struct Sent {
    sequence: u64,
    target: InstanceId,
    at: Time,
    /// Whether this instance paused meanwhile, so that the answer may have
    /// waited unread.
    interrupted: bool,
}

/// Estimate of the longest usual round trip of a probe, late ones included.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoundTrips {
    /// Oldest first.
    sent: VecDeque<Sent>,
    estimate: Duration,
    /// Round trips of the last answers, oldest first.
    recent: VecDeque<Duration>,
}

impl RoundTrips {
    /// Notes a direct probe.
    pub(crate) fn sent(
        &mut self,
        at: Time,
        sequence: u64,
        target: InstanceId,
    ) {
        if self.sent.len() >= MAX_MEASURED {
            self.sent.pop_front();
        }
        let interrupted = false;
        self.sent.push_back(Sent { sequence, target, at, interrupted });
    }

    /// Notes the answer to a direct probe, however late it is, and returns its
    /// round trip, which is taken to be `limit` at most. If this instance
    /// paused meanwhile, the round trip is not that of the member, and counts
    /// for the median only.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        sequence: u64,
        from: InstanceId,
        limit: Duration,
    ) -> Option<Duration> {
        let is_this = |x: &Sent| (x.sequence, x.target) == (sequence, from);
        let position = self.sent.iter().position(is_this)?;
        let Sent { at, interrupted, .. } = self.sent.remove(position)?;
        let sample = now.since(at);
        if self.recent.len() >= RECENT_ANSWERS {
            self.recent.pop_front();
        }
        self.recent.push_back(sample);
        if interrupted {
            return None;
        }
        let sample = sample.min(limit);
        let above = self.estimate.saturating_sub(sample);
        self.estimate = sample.max(self.estimate - above / DECAY_DIVISOR);
        Some(sample)
    }

    /// Notes that this instance paused.
    pub(crate) fn interrupt(&mut self) {
        self.sent.iter_mut().for_each(|x| x.interrupted = true);
    }

    pub(crate) fn estimate(&self) -> Duration {
        self.estimate
    }

    /// Returns the median of the last round trips, which is long only if most
    /// members answer late.
    pub(crate) fn median(&self) -> Duration {
        if self.recent.len() < MIN_RECENT_ANSWERS {
            return Duration::ZERO;
        }
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        sorted[sorted.len() / 2]
    }
}

/// A failed probe that does not yet count: this instance may be the slow one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Doubt {
    pub(crate) target: InstanceId,
    pub(crate) sequence: u64,
    /// When the failure counts although no later probe was answered in time.
    pub(crate) expires: Time,
}

/// A probe on behalf of another instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    pub(crate) requester: InstanceId,
    pub(crate) requester_sequence: u64,
    pub(crate) target: InstanceId,
    pub(crate) sequence: u64,
    pub(crate) expires: Time,
}

/// Order in which members are probed.
///
/// Members are probed round-robin in a random order, which is shuffled again
/// after each round. This bounds the time until each member is probed, and
/// keeps instances from probing the same members at the same time. In a large
/// fleet, the members of the own zone and those of other zones have a round
/// each, and most probes stay in the zone: its members watch each other, and
/// the others only have to notice that the zone as a whole is gone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeOrder {
    /// Members not yet probed in this round; the last one is next.
    near: Vec<InstanceId>,
    /// The same for members of other zones, where they have a round of their
    /// own.
    far: Vec<InstanceId>,
}

impl ProbeOrder {
    /// Returns the next member to probe. `across` is `Some` if the zones have
    /// rounds of their own, and says whether this probe goes to another zone.
    pub(crate) fn next(
        &mut self,
        own: &Member,
        members: &[Member],
        across: Option<bool>,
        rng: &mut Pcg32,
    ) -> Option<InstanceId> {
        let live = |id: InstanceId| {
            members
                .binary_search_by_key(&id, |x| x.id)
                .is_ok_and(|at| members[at].state != MemberState::Dead)
        };
        let others = || {
            members
                .iter()
                .filter(|x| x.id != own.id && x.state != MemberState::Dead)
        };
        // Without live members elsewhere, every probe stays in the zone.
        let across =
            across.map(|far| far && others().any(|x| x.zone != own.zone));
        let in_round = |x: &&Member| match across {
            Some(across) => (x.zone != own.zone) == across,
            None => true,
        };
        let remaining = match across {
            Some(true) => &mut self.far,
            _ => &mut self.near,
        };
        for _ in 0..2 {
            while let Some(id) = remaining.pop() {
                if live(id) {
                    return Some(id);
                }
            }
            remaining.extend(others().filter(in_round).map(|x| x.id));
            remaining.shuffle(rng);
        }
        None
    }
}
