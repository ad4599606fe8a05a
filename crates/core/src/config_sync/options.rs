//! Options of the configuration sync.

use std::time::Duration;

/// Time for which one confirmation permits an instance to serve, counted from
/// the moment the request was sent.
pub const LEASE: Duration = Duration::from_secs(2);

/// Upper bound on the use of an outdated configuration.
///
/// An instance sends no new work under a configuration for longer than this
/// after a newer one was accepted, as long as its lease comes from a control
/// quorum, directly or through others.
///
/// The reason is that a confirmation asks a majority of the voters after the
/// moment from which the lease counts, whereas an acceptance needs a majority
/// that logged the change before. The two majorities share a voter, which
/// denies the confirmation. Where a majority of the fleet renews the lease, the
/// bound counts from the acknowledgement of the newer configuration; see
/// [`Roster`](super::Roster).
pub const OUTDATED_BOUND: Duration = LEASE;

/// Options of the configuration sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncOptions {
    /// Time for which one confirmation permits an instance to serve.
    pub lease: Duration,
    /// Interval between confirmation rounds.
    pub renew_interval: Duration,
    /// Interval between comparisons with a random member.
    pub compare_interval: Duration,
    /// Time to wait for a document before another instance is asked.
    pub pull_timeout: Duration,
    /// Largest fleet, in members, in which the control replicas push to each
    /// member directly. Larger ones use the tree.
    pub max_direct_members: usize,
    /// Number of children of each instance in the push tree.
    pub fan_out: usize,
    /// In fleets above `max_direct_members`, the largest number of instances
    /// that ask each one that relays confirmations. With a relay for 16 members
    /// of a zone two levels are enough; each level shortens the lease by up to
    /// `renew_interval`.
    pub confirm_fan_out: usize,
    /// In fleets above `max_direct_members`, one in so many comparisons is
    /// with a member of another zone.
    pub compare_across: u32,
    /// Time without a confirmation by a control quorum after which the fleet
    /// no longer renews the lease. After that, a leader that reaches no
    /// majority of the roster may leave out the instances it does not reach.
    pub fallback_limit: Duration,
    /// Number of members asked in one fallback round in fleets above
    /// `max_direct_members`, which keeps the cost constant.
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
            // Every zone still asks others several times a second.
            compare_across: 8,
            fallback_limit: Duration::from_secs(3_600),
            fleet_sample_size: 32,
        }
    }
}
