/*!
Options of failure detection and dissemination.
*/

use std::time::Duration;

/// Timeouts and limits of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Interval between probes.
    pub probe_interval: Duration,
    /// Time to wait for the answer to a direct probe before other members are
    /// asked to probe.
    pub direct_timeout: Duration,
    /// Time to wait for the answer to an indirect probe before the member
    /// becomes suspect.
    pub indirect_timeout: Duration,
    /// Upper limit of both timeouts where answers take longer. Nine times the
    /// direct timeout, the longest of Lifeguard (section 8 of the design page).
    pub max_probe_timeout: Duration,
    /// Upper limit of both timeouts while most answers, or the timers of this
    /// instance, are late: then the fleet lacks processor time.
    pub max_starved_timeout: Duration,
    /// Largest fleet, in members, in which all members are probed alike. In
    /// larger ones most probes stay in the zone.
    pub max_uniform_members: usize,
    /// Smallest number of members of a zone, this instance included, that
    /// watch each other.
    pub min_zone_members: usize,
    /// In larger fleets, one in so many probes goes to another zone, unless a
    /// member of another zone is suspected.
    pub probe_across: u32,
    /// Number of members that are asked to probe indirectly.
    pub indirect_probes: usize,
    /// Time in which a suspect can refute before it is declared dead. Must be
    /// longer than the lease to serve, so that an instance stops serving as a
    /// home before other instances take over.
    pub suspicion_timeout: Duration,
    /// Maximum number of queued updates in one message, which also holds the
    /// sender's own record.
    pub max_updates: usize,
    /// Number of transmissions of each update, as a multiple of the binary
    /// logarithm of the number of members.
    pub retransmit_factor: u32,
    /// Number of members to which a change is pushed immediately.
    pub push_fan_out: usize,
    /// Number of members that a leaving instance notifies immediately.
    pub leave_fan_out: usize,
    /// Maximum number of immediate pushes per second; further changes are only
    /// piggybacked.
    pub pushes_per_second: u32,
    /// Interval between digest exchanges.
    pub digest_interval: Duration,
    /// Maximum number of buckets that one digest exchange repairs.
    pub max_buckets: usize,
    /// Interval between attempts to join while no other live member is known.
    pub join_interval: Duration,
    /// Interval between probes of seed addresses and dead members that may be
    /// reachable again.
    pub rejoin_interval: Duration,
    /// Time after the start in which all of these addresses are tried as often
    /// as while no other live member is known. The instances that restart
    /// together find each other first, and the rest of the fleet may not seek
    /// them for a whole `rejoin_interval`.
    pub eager_rejoin: Duration,
    /// Time after which a dead member is removed from the table.
    pub forget_after: Duration,
    /// How long the platform's list is ignored for a member that has refuted
    /// being listed as leaving, because the list repeats the same error.
    pub platform_hint_hold_off: Duration,
    /// Maximum number of members, including dead ones.
    pub max_members: usize,
    /// Maximum number of stored seed addresses.
    pub max_seed_addresses: usize,
}

impl Default for MembershipOptions {
    fn default() -> MembershipOptions {
        MembershipOptions {
            probe_interval: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(200),
            indirect_timeout: Duration::from_millis(200),
            max_probe_timeout: Duration::from_millis(1_800),
            max_starved_timeout: Duration::from_secs(20),
            max_uniform_members: 32,
            // Fewer may be lost together and leave nobody to notice it.
            min_zone_members: 6,
            // Each member is probed from other zones every second or two.
            probe_across: 4,
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(3),
            max_updates: 8,
            retransmit_factor: 3,
            push_fan_out: 3,
            leave_fan_out: 16,
            pushes_per_second: 10,
            digest_interval: Duration::from_secs(10),
            max_buckets: 4,
            join_interval: Duration::from_millis(500),
            rejoin_interval: Duration::from_secs(5),
            eager_rejoin: Duration::from_secs(10),
            forget_after: Duration::from_secs(3600),
            platform_hint_hold_off: Duration::from_secs(600),
            max_members: 16_384,
            max_seed_addresses: 64,
        }
    }
}
