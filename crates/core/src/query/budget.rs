/*!
Extra load and latencies of a route.
*/

use std::time::Duration;

use hdrhistogram::Histogram;

/// Token bucket for hedges and retries, filled by first requests.
#[derive(Clone, Debug)]
pub(crate) struct ExtraLoad {
    /// Hundredths of a request.
    level: u64,
    percent: u64,
    cap: u64,
}

impl ExtraLoad {
    pub(crate) fn new(percent: u32, burst: u32) -> ExtraLoad {
        let burst = if percent == 0 { 0 } else { burst };
        let cap = u64::from(burst) * 100;
        ExtraLoad { level: cap, percent: percent.into(), cap }
    }

    /// Applies a new percentage and keeps what was earned.
    pub(crate) fn configure(&mut self, percent: u32, burst: u32) {
        let level = self.level;
        *self = ExtraLoad::new(percent, burst);
        self.level = level.min(self.cap);
    }

    /// Credits first requests.
    pub(crate) fn earn(&mut self, requests: usize) {
        let earned = requests as u64 * self.percent;
        self.level = (self.level + earned).min(self.cap.max(earned));
    }

    /// Takes one extra request, if there is one.
    pub(crate) fn take(&mut self) -> bool {
        let enough = self.level >= 100;
        if enough {
            self.level -= 100;
        }
        enough
    }

    /// Takes one extra request for a hedge, if that leaves two fifths of the burst.
    /// A hedge saves time, but a retry saves coverage, so that hedges must
    /// not use up what retries need.
    pub(crate) fn take_for_hedge(&mut self) -> bool {
        self.level >= self.cap * 2 / 5 + 100 && self.take()
    }

    /// Takes the requests of a whole plan, and what they will be credited as
    /// first requests, or nothing.
    pub(crate) fn take_many(&mut self, requests: u32) -> bool {
        let cost = u64::from(requests) * (100 + self.percent);
        let enough = self.level >= cost;
        if enough {
            self.level -= cost;
        }
        enough
    }
}

/// Latencies per window; older ones are forgotten.
const WINDOW: u64 = 4_096;
/// Latencies before a percentile is used.
const ENOUGH: u64 = 64;
/// Latencies between two computations of the percentile, because reading it
/// walks the histogram.
const REFRESH: u64 = 64;

/// Bounds the hedge delay in medians. When more than one request in twenty
/// straggles, the 95th percentile is the straggler itself and hedges would
/// come too late.
const MAX_HEDGE_MEDIANS: u64 = 3;

/// Bounds the hedge delay from below, in percent of the median. Where
/// latencies hardly differ, one shard in twenty is just above the 95th
/// percentile, and hedges for these would use up the whole budget before a
/// real straggler comes.
const MIN_HEDGE_PERCENT: u64 = 150;

/// Recent shard latencies of a route.
#[derive(Clone, Debug)]
pub(crate) struct Latencies {
    histogram: Histogram<u16>,
    hedge_us: u64,
}

impl Latencies {
    pub(crate) fn new() -> Latencies {
        // Two digits bound the error of the delay by 1% and the size by
        // about 6 KB.
        let histogram = Histogram::new_with_bounds(1, 60_000_000, 2)
            .expect("the bounds of the histogram are valid");
        Latencies { histogram, hedge_us: 0 }
    }

    pub(crate) fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros);
        let n = self.histogram.len();
        if n >= ENOUGH && n.is_multiple_of(REFRESH) {
            let p95 = self.histogram.value_at_quantile(0.95);
            let median = self.histogram.value_at_quantile(0.5);
            let least = median * MIN_HEDGE_PERCENT / 100;
            self.hedge_us = p95.clamp(least, median * MAX_HEDGE_MEDIANS);
        }
        if n >= WINDOW {
            self.histogram.reset();
        }
    }

    /// When a request counts as a straggler, once there are enough
    /// latencies.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        (self.hedge_us > 0).then(|| Duration::from_micros(self.hedge_us))
    }
}

/// Time that homes take to acknowledge, as TCP estimates round trips
/// (RFC 6298). One estimate covers all homes, so that a home that has stopped
/// does not change it.
#[derive(Clone, Debug, Default)]
pub(crate) struct AckTime {
    smoothed: Duration,
    variation: Duration,
}

impl AckTime {
    pub(crate) fn record(&mut self, took: Duration) {
        if self.smoothed.is_zero() {
            self.smoothed = took;
            self.variation = took / 2;
            return;
        }
        let error = self.smoothed.abs_diff(took);
        self.variation = (self.variation * 3 + error) / 4;
        self.smoothed = (self.smoothed * 7 + took) / 8;
    }

    /// When an acknowledgement is overdue.
    pub(crate) fn timeout(&self) -> Duration {
        self.smoothed + self.variation * 4
    }
}
