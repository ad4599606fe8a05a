/*!
Latency estimates of a target.

The base latency is a running median: each answer moves it by a fixed
fraction towards itself. Single stragglers and cached answers hardly move it,
and a lasting slow-down of the whole back end becomes the new base after some
dozens of answers, so that the target is not considered cold over and over.
*/

use std::time::Duration;

/// Samples after which the base latency is used for decisions.
const SETTLED: u32 = 8;
/// Samples during which the base latency moves in large steps. The first
/// answers of a cold target are slow and should be forgotten soon.
const COARSE: u32 = 32;

/// Base latency and smoothed latency, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct Latency {
    samples: u32,
    base: u64,
    smoothed: u64,
}

impl Latency {
    pub(crate) fn observe(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).max(1);
        if self.samples == 0 {
            self.base = us;
            self.smoothed = us;
        }
        let step = self.base / if self.samples < COARSE { 8 } else { 32 };
        let step = step.max(1);
        self.base = if us > self.base {
            us.min(self.base + step)
        } else {
            us.max(self.base - step)
        };
        self.smoothed = (self.smoothed * 7 + us) / 8;
        self.samples = self.samples.saturating_add(1);
    }

    /// Notes that an answer would have taken longer than this. A straggler
    /// whose requests always lose against a hedge would otherwise never look
    /// slow.
    ///
    /// The rest of the wait is unknown; one base latency is assumed. Without
    /// it, a straggler that roots give up early looks hardly slower than the
    /// others and is asked again and again.
    pub(crate) fn observe_at_least(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if us > self.smoothed {
            let us = us.saturating_add(self.base);
            self.smoothed = (self.smoothed * 3 + us) / 4;
            self.samples = self.samples.max(1);
        }
    }

    /// Typical latency of the target when it is warm.
    pub(crate) fn base(&self) -> Option<Duration> {
        (self.samples >= SETTLED).then(|| Duration::from_micros(self.base))
    }

    /// Moving average of all answers.
    pub(crate) fn smoothed(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.smoothed))
    }
}
