/*!
Latency estimates of a target.

The base latency is a running median: each answer moves it by a fixed
fraction towards the latency of that answer. Single stragglers and cached
answers hardly move it. A lasting slow-down of the whole back end becomes the
new base after some dozens of answers, so that the target is not marked cold
repeatedly.
*/

use std::time::Duration;

/// Number of samples from which on the base latency is used for decisions.
const MIN_BASE_SAMPLES: u32 = 8;
/// Number of samples during which the base latency moves in large steps. The
/// first answers of a cold target are slow and must soon lose their effect.
const COARSE_STEP_SAMPLES: u32 = 32;

/// Base latency and smoothed latency, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct Latency {
    samples: u32,
    base: u64,
    smoothed: u64,
}

impl Latency {
    /// Adds the latency of an answer.
    pub(crate) fn observe(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).max(1);
        if self.samples == 0 {
            self.base = us;
            self.smoothed = us;
        }
        let step = self.base
            / if self.samples < COARSE_STEP_SAMPLES { 8 } else { 32 };
        let step = step.max(1);
        self.base = if us > self.base {
            us.min(self.base + step)
        } else {
            us.max(self.base - step)
        };
        self.smoothed = (self.smoothed * 7 + us) / 8;
        self.samples = self.samples.saturating_add(1);
    }

    /// Adds a lower bound of the latency of an answer that was not awaited. A
    /// straggler whose requests always lose against a hedge would otherwise
    /// never appear slow.
    ///
    /// The remaining wait is unknown and assumed to be one base latency.
    /// Without this assumption, a straggler whose requests are cancelled early
    /// appears hardly slower than the others and keeps getting requests.
    pub(crate) fn observe_at_least(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if us > self.smoothed {
            let us = us.saturating_add(self.base);
            self.smoothed = (self.smoothed * 3 + us) / 4;
            self.samples = self.samples.max(1);
        }
    }

    /// Returns the typical latency of the target when it is warm, once there
    /// are enough samples.
    pub(crate) fn base(&self) -> Option<Duration> {
        (self.samples >= MIN_BASE_SAMPLES)
            .then(|| Duration::from_micros(self.base))
    }

    /// Returns the moving average of the observed latencies and lower bounds.
    pub(crate) fn smoothed(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.smoothed))
    }
}
