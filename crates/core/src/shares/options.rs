//! Options of the shared limits.

use std::time::Duration;

use crate::{config_sync::LEASE, forward::table::RateLimit};

/// Fraction of the tolerance above a limit that is used. The remainder covers
/// clocks that run at different speeds.
const USED_TOLERANCE: f64 = 0.8;

/// Options of the shared limits.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareOptions {
    /// Whether the limits of the configuration are in force.
    pub enabled: bool,
    /// Length of the sliding window in which requests are counted.
    pub window: Duration,
    /// Tolerated excess in a window, as a fraction of what the limit allows.
    pub overage: f64,
    /// Tolerated excess in a window in addition, in requests.
    pub slack: f64,
    /// Time for which a token can be spent, counted from when the holder asked
    /// for it.
    pub validity: Duration,
    /// Time before the end of its tokens at which a holder gives them back, so
    /// that they arrive in time.
    pub return_margin: Duration,
    /// Time for which a confirmation of the list of voters permits to grant,
    /// counted from the request for it. Must be that of the configuration
    /// sync.
    pub lease: Duration,
    /// Time for which a new grantor waits, and for which a grantor uses no
    /// larger part after the list of voters has changed. Must be at least
    /// `lease + validity`.
    pub hold: Duration,
    /// Largest number of voters that the control group has at any time.
    pub max_voters: u32,
    /// Time after which another grantor is asked.
    pub ask_timeout: Duration,
    /// Time for which a grantor that did not answer is not asked.
    pub avoid_silent: Duration,
    /// Time for which an instance that is not a grantor is not asked.
    pub avoid_others: Duration,
    /// Longest time for which a request waits for a token.
    pub max_wait: Duration,
    /// Longest time for which a grantor counts as empty after its answer.
    pub max_empty: Duration,
    /// Time for which a grantor counts as less than half full after its
    /// answer.
    pub low_for: Duration,
}

impl Default for ShareOptions {
    fn default() -> ShareOptions {
        let validity = Duration::from_millis(500);
        ShareOptions {
            enabled: true,
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
            validity,
            return_margin: Duration::from_millis(150),
            lease: LEASE,
            hold: LEASE + validity,
            // Five voters, and one more while one is replaced.
            max_voters: 6,
            ask_timeout: Duration::from_millis(30),
            avoid_silent: Duration::from_millis(500),
            // A grantor that has lost its contact to the others for a moment
            // gives the same answer.
            avoid_others: Duration::from_secs(1),
            max_wait: Duration::from_millis(200),
            max_empty: Duration::from_millis(500),
            low_for: Duration::from_secs(1),
        }
    }
}

impl ShareOptions {
    /// Returns the number of requests that a limit allows in a window,
    /// with the tolerated excess.
    pub fn allowed(&self, limit: RateLimit) -> f64 {
        let plain = limit.per_second * self.window.as_secs_f64() + limit.burst;
        plain * (1.0 + self.overage) + self.slack
    }

    /// Returns the capacity of the bucket of a limit at all grantors together:
    /// the burst and a part of the tolerated excess.
    pub fn capacity(&self, limit: RateLimit) -> f64 {
        let plain = limit.per_second * self.window.as_secs_f64() + limit.burst;
        limit.burst + (self.allowed(limit) - plain) * USED_TOLERANCE
    }
}
