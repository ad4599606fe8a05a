use std::time::Duration;

/// Time for which one confirmation entitles to serve, counted from the
/// moment the question was sent.
pub const LEASE: Duration = Duration::from_secs(2);

/// Bound on the use of an outdated configuration.
///
/// An instance sends no new work under a configuration for longer than this
/// after a newer one was accepted, as long as its lease comes from a control
/// quorum, and so in every partition in which it reaches a control quorum or
/// no majority of the fleet, directly or through others. A confirmation asks a majority of the voters
/// after the moment from which the lease counts, and an acceptance needs a
/// majority that logged the change before; the two share a voter, which
/// denies the confirmation. The one exception is the fallback on a majority
/// of the fleet, see [`ConfigSync`](super::ConfigSync).
pub const OUTDATED_BOUND: Duration = LEASE;

/// Settings of the distribution of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncOptions {
    /// Time for which one confirmation entitles to serve.
    pub lease: Duration,
    /// Time between two confirmations.
    pub renew_interval: Duration,
    /// Time between two comparisons with a random fellow.
    pub compare_interval: Duration,
    /// Wait for a document before another instance is asked for it.
    pub pull_timeout: Duration,
    /// Up to this many members, control replicas push to each directly.
    pub max_direct_members: usize,
    /// Children of each instance in the tree that larger fleets use.
    pub fan_out: usize,
    /// In fleets above `max_direct_members`, so many instances ask the control
    /// replicas for confirmation, and so many ask each instance that passes
    /// confirmations on. Three levels are enough for 33,000 instances; each
    /// one shortens the lease by up to `renew_interval`.
    pub confirm_fan_out: usize,
    /// A member that died still counts in the fleet for this time.
    pub dead_member_retention: Duration,
    /// Number of members asked in one round of the fallback in fleets above
    /// `max_direct_members`, which keeps its cost constant.
    pub fleet_sample_size: usize,
}

impl Default for SyncOptions {
    fn default() -> SyncOptions {
        SyncOptions {
            lease: LEASE,
            renew_interval: Duration::from_millis(500),
            compare_interval: Duration::from_millis(250),
            pull_timeout: Duration::from_millis(200),
            max_direct_members: 32,
            fan_out: 16,
            confirm_fan_out: 32,
            dead_member_retention: Duration::from_secs(60),
            fleet_sample_size: 32,
        }
    }
}
