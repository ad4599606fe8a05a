//! Latencies of the shard requests of a route.

use std::time::Duration;

/// Latencies that the quantiles are computed from.
const SAMPLES: usize = 128;

/// New latencies after which the quantiles are computed again.
const REFRESH: usize = 16;

/// Quantile after which a request counts as a straggler.
const STRAGGLER: f64 = 0.92;

/// Recent latencies and their quantiles.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    recent: Vec<u32>,
    next: usize,
    fresh: usize,
    median_us: u32,
    straggler_us: u32,
}

impl Latencies {
    /// Adds the latency of an answer.
    pub fn add(&mut self, latency: Duration) {
        let us = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        if self.recent.len() < SAMPLES {
            self.recent.push(us);
        } else {
            self.recent[self.next] = us;
        }
        self.next = (self.next + 1) % SAMPLES;
        self.fresh += 1;
        if self.fresh >= REFRESH {
            self.fresh = 0;
            self.refresh();
        }
    }

    /// The median, once enough latencies are known.
    pub fn median(&self) -> Option<Duration> {
        (self.median_us > 0)
            .then(|| Duration::from_micros(self.median_us.into()))
    }

    /// The latency that a straggler exceeds, once enough are known.
    pub fn straggler(&self) -> Option<Duration> {
        (self.median_us > 0)
            .then(|| Duration::from_micros(self.straggler_us.into()))
    }

    fn refresh(&mut self) {
        let mut sorted = self.recent.clone();
        sorted.sort_unstable();
        let at = |q: f64| sorted[((sorted.len() - 1) as f64 * q) as usize];
        self.median_us = at(0.5).max(1);
        self.straggler_us = at(STRAGGLER).max(1);
    }
}
