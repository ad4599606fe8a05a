/*!
Constants of the reducer that tests and the instance settings may change.
*/

use std::time::Duration;

/// Timing and bounds for all targets of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOptions {
    /// Whether no other instance has been the home of any target before.
    /// The first configuration then needs no takeover hold.
    pub fleet_is_new: bool,
    /// How long a new home keeps to the limit of a standby, because the
    /// former home may not know of the change yet.
    pub takeover_hold: Duration,
    /// Good answers that raise the limit by one.
    pub ramp_answers: u32,
    /// An answer is good up to this multiple of the base latency.
    pub good_factor: u32,
    /// An answer is slow above this multiple of the base latency.
    pub slow_factor: u32,
    /// Slow answers in a row after which a target is considered cold.
    pub slow_answers: u32,
    /// Lower bound of the base latency. Below it, delays of the operating
    /// system would be mistaken for a cold target.
    pub latency_floor: Duration,
    /// Expected latency of a target that has not answered yet.
    pub unknown_latency: Duration,
    /// A connection is suspected after this multiple of the latency.
    pub silent_factor: u32,
    /// Lower bound of the time after which a connection is suspected.
    pub silent_min: Duration,
    /// Part of a request's time, in percent, that passes before its
    /// connection is suspected. Before that, a slow answer cannot be told
    /// from a lost one; giving it up costs coverage once the retry budget is
    /// used up. What is left is the time for another attempt.
    pub silent_percent: u32,
    /// Idle connections are closed after this time.
    pub idle_max: Duration,
    /// Connections that were idle for longer carry no request that must not
    /// be repeated.
    pub idle_trust: Duration,
    /// An attempt to connect fails after this time.
    pub connect_timeout: Duration,
    /// First pause after a failed connection.
    pub backoff_min: Duration,
    /// Longest pause after a failed connection.
    pub backoff_max: Duration,
    /// Time between health probes of a target that is ready and answers.
    pub probe_ready: Duration,
    /// Time between health probes of any other target.
    pub probe_other: Duration,
    /// A health probe without an answer has failed after this time.
    pub probe_timeout: Duration,
    /// Missed health reports in a row that lower the trust in a target.
    pub probe_misses: u32,
    /// How long a good answer outweighs health reports.
    pub answer_trust: Duration,
    /// How long a request that was given up counts against the slots if the
    /// target does not confirm its cancellation. As long as the daemon waits
    /// for the confirmation.
    pub cancel_grace: Duration,
    /// Time after a 429 answer until one more connection is tried.
    pub cap_recovery: Duration,
    /// Upper bound of the queue of a target.
    pub queue_max: usize,
    /// Least time between reports of a target, unless its state, limit or
    /// holdings change.
    pub report_interval: Duration,
}

impl Default for TargetOptions {
    fn default() -> TargetOptions {
        TargetOptions {
            fleet_is_new: false,
            takeover_hold: Duration::from_secs(1),
            ramp_answers: 8,
            good_factor: 3,
            slow_factor: 8,
            slow_answers: 3,
            latency_floor: Duration::from_millis(1),
            unknown_latency: Duration::from_millis(25),
            silent_factor: 4,
            silent_min: Duration::from_millis(20),
            silent_percent: 50,
            idle_max: Duration::from_secs(30),
            idle_trust: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            backoff_min: Duration::from_millis(100),
            backoff_max: Duration::from_secs(5),
            probe_ready: Duration::from_secs(5),
            probe_other: Duration::from_secs(1),
            probe_timeout: Duration::from_secs(1),
            probe_misses: 2,
            answer_trust: Duration::from_secs(1),
            cancel_grace: Duration::from_secs(1),
            cap_recovery: Duration::from_secs(10),
            queue_max: 128,
            report_interval: Duration::from_millis(500),
        }
    }
}
