use std::time::Duration;

/// Settings of failure detection and dissemination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Wait for a direct answer before others are asked to probe.
    pub direct_timeout: Duration,
    /// Wait for an indirect answer before the target becomes suspect.
    pub indirect_timeout: Duration,
    /// Number of members that are asked to probe indirectly.
    pub indirect_probes: usize,
    /// Time that a suspect has to refute; longer than the lease to serve, so
    /// that an instance gives up its homes before others take them over.
    pub suspicion_timeout: Duration,
    /// Greatest number of updates in one message besides the sender's.
    pub max_updates: usize,
    /// Each update is sent this many times the binary logarithm of the
    /// number of members.
    pub retransmit_factor: u32,
    /// Number of members that are told of a change at once.
    pub push_fan_out: usize,
    /// Number of members that a leaving instance tells at once.
    pub leave_fan_out: usize,
    /// Immediate pushes allowed per second; the rest is piggybacked.
    pub pushes_per_second: u32,
    /// Time between two exchanges by digest.
    pub digest_interval: Duration,
    /// Greatest number of buckets that one exchange repairs.
    pub max_buckets: usize,
    /// Time between two attempts to join while this instance is alone.
    pub join_interval: Duration,
    /// Time between two probes of an address or dead member that may have
    /// come back.
    pub rejoin_interval: Duration,
    /// Dead members are forgotten after this time.
    pub forget_after: Duration,
    /// A hint of the platform's list that a member refuted is ignored for
    /// this time, because the list repeats the same mistake.
    pub platform_hold: Duration,
    /// Greatest number of members, dead ones included.
    pub max_members: usize,
    /// Greatest number of addresses kept from hints.
    pub max_hints: usize,
}

impl Default for MembershipOptions {
    fn default() -> MembershipOptions {
        MembershipOptions {
            probe_interval: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(200),
            indirect_timeout: Duration::from_millis(200),
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
            forget_after: Duration::from_secs(3600),
            platform_hold: Duration::from_secs(600),
            max_members: 16_384,
            max_hints: 64,
        }
    }
}
