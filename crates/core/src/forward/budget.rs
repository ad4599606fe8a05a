//! A budget for extra requests, in a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Parts that a window is counted in. One more part is kept, so that a sum
/// never covers less than a window.
const PARTS: usize = 20;

/// Limits of the extra requests to each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Length of the sliding window.
    pub window: Duration,
    /// Extra requests in a window for each request in it.
    pub ratio: f64,
    /// Extra requests in a window that all instances together may send
    /// besides.
    pub slack: f64,
    /// Part of both limits that is used. The rest covers requests that are
    /// counted in another window at the target than here.
    pub safety: f64,
}

impl Default for BudgetOptions {
    fn default() -> BudgetOptions {
        BudgetOptions {
            window: Duration::from_secs(10),
            ratio: 0.05,
            slack: 10.0,
            safety: 0.8,
        }
    }
}

/// Requests and extra requests to one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Parts of the window in which anything was sent, oldest first.
    parts: VecDeque<Part>,
}

/// What was sent in one part of the window.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Number of the part since the start of the process.
    number: u64,
    requests: u32,
    extra: u32,
}

impl Budget {
    /// Counts a request of a caller.
    pub fn request(&mut self, options: &BudgetOptions, now: Time) {
        self.part(options, now).requests += 1;
    }

    /// Takes one extra request from the budget, if any is left.
    ///
    /// `instances` is the number of instances that share the slack.
    pub fn take(
        &mut self,
        options: &BudgetOptions,
        now: Time,
        instances: usize,
    ) -> bool {
        let allowed = self.allowed(options, now, instances);
        let used: u32 = self.parts.iter().map(|p| p.extra).sum();
        let fits = f64::from(used) + 1.0 <= allowed;
        if fits {
            self.part(options, now).extra += 1;
        }
        fits
    }

    /// Gives an extra request back that never reached a target.
    pub fn refund(&mut self) {
        if let Some(part) = self.parts.iter_mut().rev().find(|p| p.extra > 0) {
            part.extra -= 1;
        }
    }

    fn allowed(
        &mut self,
        options: &BudgetOptions,
        now: Time,
        instances: usize,
    ) -> f64 {
        self.part(options, now);
        let requests: u32 = self.parts.iter().map(|p| p.requests).sum();
        let share = options.slack / instances.max(1) as f64;
        options.safety * (options.ratio * f64::from(requests) + share)
    }

    /// The present part; older ones than the window are dropped.
    fn part(&mut self, options: &BudgetOptions, now: Time) -> &mut Part {
        let length = (options.window.as_micros() as u64 / PARTS as u64).max(1);
        let number = now.as_micros() / length;
        let oldest = number.saturating_sub(PARTS as u64);
        while self.parts.front().is_some_and(|p| p.number < oldest) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| p.number < number) {
            self.parts.push_back(Part { number, requests: 0, extra: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
