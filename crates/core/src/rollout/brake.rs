//! The local brake: an instance stops sending to a new version that fails
//! there, before the control group has decided.

use std::{collections::VecDeque, time::Duration};

/// Number of answers of the new version that the brake looks at.
const ANSWERS: usize = 10;

/// Number of failures among them at which the brake acts.
const FAILURES: usize = 2;

/// Weight of an answer in the moving average of the old version's failures.
const OLD_FAILURE_WEIGHT: f64 = 0.05;

/// Time for which a braked instance sends nothing to the new version.
pub const BRAKE_TIME: Duration = Duration::from_secs(2);

/// The last answers of both versions at one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Brake {
    /// Whether each of the last answers of the new version failed.
    recent: VecDeque<bool>,
    /// Moving average of the old version's failures.
    old_failures: f64,
}

impl Brake {
    /// Adds an answer of the old version.
    pub fn add_old(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.old_failures += OLD_FAILURE_WEIGHT * (sample - self.old_failures);
    }

    /// Adds an answer of the new version. Returns the figures if the brake
    /// acts, and begins anew then.
    pub fn add_new(&mut self, failed: bool) -> Option<String> {
        self.recent.push_back(failed);
        if self.recent.len() > ANSWERS {
            self.recent.pop_front();
        }
        let answers = self.recent.len();
        let failures = self.recent.iter().filter(|f| **f).count();
        let rate = failures as f64 / answers as f64;
        if failures < FAILURES || self.old_failures >= rate / 2.0 {
            return None;
        }
        self.recent.clear();
        Some(format!(
            "new_failures={failures} new_answers={answers} old_rate={:.3}",
            self.old_failures
        ))
    }
}
