/*!
Extra load and latencies of a route.
*/

use std::time::Duration;

use hdrhistogram::Histogram;

/// Token bucket for hedges and retries, filled in proportion to first
/// requests.
#[derive(Clone, Debug)]
pub(crate) struct ExtraLoadBudget {
    /// Available tokens, in hundredths of a request.
    level: u64,
    /// Hundredths of a request credited for each first request.
    percent: u64,
    /// Maximum of `level`, unless a single credit is larger.
    capacity: u64,
}

impl ExtraLoadBudget {
    pub(crate) fn new(percent: u32, burst: u32) -> ExtraLoadBudget {
        let burst = if percent == 0 { 0 } else { burst };
        let capacity = u64::from(burst) * 100;
        ExtraLoadBudget { level: capacity, percent: percent.into(), capacity }
    }

    /// Applies a new percentage and burst, and keeps the tokens that fit.
    pub(crate) fn configure(&mut self, percent: u32, burst: u32) {
        let level = self.level;
        *self = ExtraLoadBudget::new(percent, burst);
        self.level = level.min(self.capacity);
    }

    /// Credits the tokens for a number of first requests.
    pub(crate) fn credit(&mut self, requests: usize) {
        let earned = requests as u64 * self.percent;
        self.level = (self.level + earned).min(self.capacity.max(earned));
    }

    /// Takes the tokens for one extra request; returns false if there are too
    /// few.
    pub(crate) fn take(&mut self) -> bool {
        let enough = self.level >= 100;
        if enough {
            self.level -= 100;
        }
        enough
    }

    /// Takes the tokens for a hedge if two fifths of the burst remain. A hedge
    /// only improves latency while a retry improves coverage, so hedges must
    /// leave tokens for retries.
    pub(crate) fn take_for_hedge(&mut self) -> bool {
        self.level >= self.capacity * 2 / 5 + 100 && self.take()
    }

    /// Takes the tokens for all requests of another plan, or none. The cost
    /// includes the credit that these requests get as first requests.
    pub(crate) fn take_for_plan(&mut self, requests: u32) -> bool {
        let cost = u64::from(requests) * (100 + self.percent);
        let enough = self.level >= cost;
        if enough {
            self.level -= cost;
        }
        enough
    }
}

/// Number of latencies in a window; the histogram is then reset.
const WINDOW_SAMPLES: u64 = 4_096;
/// Number of latencies that are needed to compute a percentile.
const MIN_SAMPLES: u64 = 64;
/// Number of latencies between two computations of the hedge delay, because
/// reading a percentile walks the histogram.
const REFRESH_SAMPLES: u64 = 64;

/// Upper bound of the hedge delay, in multiples of the median. When more than
/// one request in twenty straggles, the 95th percentile is itself the latency
/// of a straggler and hedges would be sent too late.
const MAX_HEDGE_MEDIANS: u64 = 3;

/// Lower bound of the hedge delay, in percent of the median. When latencies
/// hardly differ, one shard in twenty is just above the 95th percentile, and
/// hedges for these would use up the budget before a real straggler occurs.
const MIN_HEDGE_PERCENT: u64 = 150;

/// Recent shard latencies of a route.
#[derive(Clone, Debug)]
pub(crate) struct Latencies {
    histogram: Histogram<u16>,
    hedge_us: u64,
}

impl Latencies {
    pub(crate) fn new() -> Latencies {
        // Two significant digits limit the error of the delay to 1% and the
        // size to about 6 KB.
        let histogram = Histogram::new_with_bounds(1, 60_000_000, 2)
            .expect("the bounds of the histogram are valid");
        Latencies { histogram, hedge_us: 0 }
    }

    pub(crate) fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros);
        let n = self.histogram.len();
        if n >= MIN_SAMPLES && n.is_multiple_of(REFRESH_SAMPLES) {
            let p95 = self.histogram.value_at_quantile(0.95);
            let median = self.histogram.value_at_quantile(0.5);
            let min_us = median * MIN_HEDGE_PERCENT / 100;
            self.hedge_us = p95.clamp(min_us, median * MAX_HEDGE_MEDIANS);
        }
        if n >= WINDOW_SAMPLES {
            self.histogram.reset();
        }
    }

    /// Returns the time after which a request counts as a straggler, or
    /// `None` before there are `MIN_SAMPLES` latencies.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        (self.hedge_us > 0).then(|| Duration::from_micros(self.hedge_us))
    }
}

/// Estimator of the time that homes take to acknowledge a message, as TCP
/// estimates the round-trip time (RFC 6298). One estimate covers all homes,
/// so that a home that has stopped does not change it.
#[derive(Clone, Debug, Default)]
pub(crate) struct AckTimeEstimator {
    smoothed: Duration,
    variation: Duration,
}

impl AckTimeEstimator {
    pub(crate) fn record(&mut self, sample: Duration) {
        if self.smoothed.is_zero() {
            self.smoothed = sample;
            self.variation = sample / 2;
            return;
        }
        let error = self.smoothed.abs_diff(sample);
        self.variation = (self.variation * 3 + error) / 4;
        self.smoothed = (self.smoothed * 7 + sample) / 8;
    }

    /// Returns the time after which an acknowledgement is overdue.
    pub(crate) fn timeout(&self) -> Duration {
        self.smoothed + self.variation * 4
    }
}
