/*!
Options of the reducer; the instance settings set some of them.
*/

use std::time::Duration;

/// Timeouts and limits for all targets of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOptions {
    /// Whether no other instance has been the home of any target before, so
    /// that the first configuration needs no takeover hold.
    pub fleet_is_new: bool,
    /// How long a new home is restricted to the limit of a standby, because
    /// the former home may not know of the change yet.
    pub takeover_hold: Duration,
    /// How long a home sends nothing to a cold target whose standby has not
    /// confirmed that it sends nothing either. At least the lease after which
    /// an instance that is cut off stops serving.
    pub revoke_timeout: Duration,
    /// Number of good answers that raise the limit by one.
    pub ramp_answers: u32,
    /// Multiple of the base latency up to which an answer is good.
    pub good_factor: u32,
    /// Multiple of the base latency above which an answer is slow.
    pub slow_factor: u32,
    /// Number of slow answers in a row after which a target is marked cold.
    pub slow_answers: u32,
    /// Lower bound of the base latency. With a smaller base, scheduling
    /// delays of the operating system would be mistaken for a cold target.
    pub latency_floor: Duration,
    /// Assumed latency of a target that has not answered yet.
    pub initial_latency: Duration,
    /// Multiple of the smoothed latency after which a connection without
    /// received bytes is suspected to be silent.
    pub silent_factor: u32,
    /// Lower bound of the time after which a connection is suspected to be
    /// silent.
    pub silent_min: Duration,
    /// Percentage of the time from sending a request to its deadline that
    /// must pass before its connection is suspected. Until then, a slow answer
    /// cannot be distinguished from a lost one, and abandoning it costs
    /// coverage once the retry budget is used up. The remaining time
    /// is left for another attempt.
    pub silent_deadline_percent: u32,
    /// Time after which an idle connection is closed.
    pub idle_max: Duration,
    /// Maximum idle time of a connection that may carry a request that must
    /// not be repeated.
    pub non_repeatable_idle_max: Duration,
    /// Time after which an attempt to connect fails.
    pub connect_timeout: Duration,
    /// Pause after the first failed connection, before jitter; it doubles with
    /// each further failure.
    pub backoff_min: Duration,
    /// Maximum pause after a failed connection, before jitter.
    pub backoff_max: Duration,
    /// Interval of health probes of a target that is ready and has answered
    /// recently.
    pub probe_interval_ready: Duration,
    /// Interval of health probes of any other target.
    pub probe_interval_other: Duration,
    /// Interval of health probes of a target that gets no requests and holds
    /// nothing of a snapshot that other targets of its routes hold.
    pub probe_interval_behind: Duration,
    /// Time after which a health probe without an answer fails.
    pub probe_timeout: Duration,
    /// Number of failed health probes in a row that mark a target cold, unless
    /// it has given a good answer recently.
    pub probe_failure_threshold: u32,
    /// How long an answer takes precedence over health reports: a good answer
    /// for the state of the target, and a list of holdings for its holdings,
    /// to which reports may only add newer snapshots.
    pub answer_ttl: Duration,
    /// How long an abandoned request occupies its slot if the target does not
    /// confirm the cancellation. Equals the time that the daemon waits for the
    /// confirmation.
    pub cancel_grace: Duration,
    /// Time after which the connection cap, reduced by a 429 answer, is raised
    /// by one.
    pub cap_recovery: Duration,
    /// Maximum length of the queue of a target.
    pub queue_max: usize,
    /// Minimum interval between reports on a target whose state, limit and
    /// holdings have not changed.
    pub report_interval: Duration,
}

impl Default for TargetOptions {
    fn default() -> TargetOptions {
        TargetOptions {
            fleet_is_new: false,
            takeover_hold: Duration::from_secs(1),
            revoke_timeout: Duration::from_secs(2),
            ramp_answers: 8,
            good_factor: 3,
            slow_factor: 8,
            slow_answers: 3,
            latency_floor: Duration::from_millis(1),
            initial_latency: Duration::from_millis(25),
            silent_factor: 4,
            silent_min: Duration::from_millis(20),
            silent_deadline_percent: 50,
            idle_max: Duration::from_secs(30),
            non_repeatable_idle_max: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            backoff_min: Duration::from_millis(100),
            backoff_max: Duration::from_secs(5),
            probe_interval_ready: Duration::from_secs(5),
            probe_interval_other: Duration::from_secs(1),
            probe_interval_behind: Duration::from_millis(200),
            probe_timeout: Duration::from_secs(1),
            probe_failure_threshold: 2,
            answer_ttl: Duration::from_secs(1),
            cancel_grace: Duration::from_secs(1),
            cap_recovery: Duration::from_secs(10),
            queue_max: 128,
            report_interval: Duration::from_millis(500),
        }
    }
}
