//! A budget for extra requests in a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Number of buckets in a window. One more bucket is kept, so that the sum
/// over all buckets never covers less than a window.
const BUCKETS: usize = 20;

/// Limits on the extra requests to each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Length of the sliding window.
    pub window: Duration,
    /// Extra requests allowed for each request in the window.
    pub ratio: f64,
    /// Extra requests in a window that all instances together may send in
    /// addition.
    pub slack: f64,
    /// Fraction of both limits that is used. The remainder covers requests
    /// that the target counts in another window than this instance.
    pub safety_factor: f64,
}

impl Default for BudgetOptions {
    fn default() -> BudgetOptions {
        BudgetOptions {
            window: Duration::from_secs(10),
            ratio: 0.05,
            slack: 10.0,
            safety_factor: 0.8,
        }
    }
}

/// The recent requests and extra requests to one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Buckets of the window, oldest first; idle ones may be missing.
    buckets: VecDeque<Bucket>,
}

/// The requests that were counted in one bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Time divided by the length of a bucket.
    number: u64,
    requests: u32,
    extra: u32,
}

impl Budget {
    /// Counts a request that is not an extra one.
    pub fn record_request(&mut self, options: &BudgetOptions, now: Time) {
        self.current_bucket(options, now).requests += 1;
    }

    /// Takes one extra request from the budget if the limit allows it. Returns
    /// whether it does.
    ///
    /// `instances` is the number of instances that share the slack.
    pub fn try_take(
        &mut self,
        options: &BudgetOptions,
        now: Time,
        instances: usize,
    ) -> bool {
        let allowed = self.allowed(options, now, instances);
        let used: u32 = self.buckets.iter().map(|b| b.extra).sum();
        let within_limit = f64::from(used) + 1.0 <= allowed;
        if within_limit {
            self.current_bucket(options, now).extra += 1;
        }
        within_limit
    }

    /// Returns an extra request that reached no target to the budget.
    pub fn refund(&mut self) {
        if let Some(bucket) =
            self.buckets.iter_mut().rev().find(|b| b.extra > 0)
        {
            bucket.extra -= 1;
        }
    }

    /// Returns the number of extra requests allowed in the current window.
    fn allowed(
        &mut self,
        options: &BudgetOptions,
        now: Time,
        instances: usize,
    ) -> f64 {
        self.current_bucket(options, now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let share = options.slack / instances.max(1) as f64;
        options.safety_factor * (options.ratio * f64::from(requests) + share)
    }

    /// Returns the current bucket, after dropping those that are older than
    /// the window.
    fn current_bucket(
        &mut self,
        options: &BudgetOptions,
        now: Time,
    ) -> &mut Bucket {
        let length =
            (options.window.as_micros() as u64 / BUCKETS as u64).max(1);
        let number = now.as_micros() / length;
        let oldest = number.saturating_sub(BUCKETS as u64);
        while self.buckets.front().is_some_and(|b| b.number < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, requests: 0, extra: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
