//! Latency quantiles of the shard requests of a route.

use std::time::Duration;

/// Number of latencies from which the quantiles are computed.
const MAX_SAMPLES: usize = 128;

/// Number of new latencies after which the quantiles are recomputed.
const REFRESH_EVERY: usize = 16;

/// Quantile above which a latency counts as that of a straggler.
const STRAGGLER_QUANTILE: f64 = 0.92;

/// Recent latencies and their quantiles.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    /// Ring buffer of latencies, in microseconds.
    samples: Vec<u32>,
    next_slot: usize,
    /// Number of latencies since the quantiles were computed.
    added: usize,
    median_us: u32,
    straggler_us: u32,
}

impl Latencies {
    /// Adds the latency of a successful answer.
    pub fn add(&mut self, latency: Duration) {
        let us = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(us);
        } else {
            self.samples[self.next_slot] = us;
        }
        self.next_slot = (self.next_slot + 1) % MAX_SAMPLES;
        self.added += 1;
        if self.added >= REFRESH_EVERY {
            self.added = 0;
            self.refresh();
        }
    }

    /// Returns the median, once enough latencies are known.
    pub fn median(&self) -> Option<Duration> {
        (self.median_us > 0)
            .then(|| Duration::from_micros(self.median_us.into()))
    }

    /// Returns the latency that a straggler exceeds, once enough latencies are
    /// known.
    pub fn straggler(&self) -> Option<Duration> {
        (self.median_us > 0)
            .then(|| Duration::from_micros(self.straggler_us.into()))
    }

    fn refresh(&mut self) {
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let quantile =
            |q: f64| sorted[((sorted.len() - 1) as f64 * q) as usize];
        self.median_us = quantile(0.5).max(1);
        self.straggler_us = quantile(STRAGGLER_QUANTILE).max(1);
    }
}
