//! The bound on the requests that one instance sends to a new version.

use super::{Rollout, Stage};

/// Fraction of the allowed share that the canary stage uses. The rest is left
/// for the trial and for the time until a roll-back reaches every instance.
const CANARY_FRACTION: f64 = 0.5;

/// Fraction of the allowed share that the trial stage uses. The rest is for the
/// full stage until a version that is bad only then is taken back.
const TRIAL_FRACTION: f64 = 0.7;

/// Fraction of the slack that the instances divide. The rest is for the full
/// stage, for instances that are not known yet and for those that restart.
const SLACK_FRACTION: f64 = 0.5;

/// Number of eligible requests of which one goes to the new version in the
/// trial stage.
const TRIAL_INTERVAL: u64 = 2;

/// The version to which an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// The version that takes the service's traffic at present.
    Ordinary,
    /// The new version, within its bound.
    Probe,
}

/// Counts of the attempts of one instance at a service since an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Exposure {
    /// All attempts at the service.
    attempts: u64,
    /// Attempts at the new version.
    exposed: u64,
    /// Requests of the trial stage that could have gone to the new version.
    eligible: u64,
    /// Position in the cycle of the canary, between 0 and 1.
    start: f64,
}

impl Exposure {
    /// Starts the counts for an order. `random` is a number between 0 and 1.
    /// It makes instances with little traffic send their first probe at
    /// different times, so that their sum follows the share.
    pub fn new(random: f64) -> Exposure {
        Exposure { attempts: 0, exposed: 0, eligible: 0, start: random }
    }

    /// Returns the number of attempts at the service.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// Returns the number of attempts at the new version.
    pub fn exposed(&self) -> u64 {
        self.exposed
    }

    /// Chooses the version for an attempt. Only the first attempt of a request
    /// that may run more than once is a probe.
    pub fn pick(
        &mut self,
        rollout: &Rollout,
        instances: usize,
        may_probe: bool,
    ) -> Pick {
        if !may_probe {
            return Pick::Ordinary;
        }
        let probe = match rollout.stage {
            Stage::Canary => self.is_within(rollout, instances),
            Stage::Trial => {
                self.eligible += 1;
                self.eligible.is_multiple_of(TRIAL_INTERVAL)
                    && self.is_within(rollout, instances)
            }
            Stage::Full | Stage::Completed | Stage::RolledBack => false,
        };
        if probe { Pick::Probe } else { Pick::Ordinary }
    }

    /// Counts an attempt that was sent.
    pub fn record(&mut self, exposed: bool) {
        self.attempts += 1;
        self.exposed += u64::from(exposed);
    }

    /// Returns whether one more attempt at the new version keeps the bound.
    fn is_within(&self, rollout: &Rollout, instances: usize) -> bool {
        let slack = SLACK_FRACTION * rollout.slack / instances.max(1) as f64;
        let attempts = (self.attempts + 1) as f64;
        let bound = match rollout.stage {
            Stage::Canary => {
                CANARY_FRACTION * rollout.share * attempts
                    + self.start * slack.min(1.0)
            }
            _ => TRIAL_FRACTION * rollout.share * attempts + slack,
        };
        (self.exposed + 1) as f64 <= bound
    }
}
