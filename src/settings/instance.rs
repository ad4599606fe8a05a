//! Settings that an instance reads once, when it starts.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceSettings {
    /// Unique name in the fleet.
    pub name: String,
    /// Name of the availability zone that it runs in.
    pub availability_zone: String,
    /// What it does.
    pub roles: Vec<Role>,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Peer address that is announced to other instances, if it differs from
    /// the one it listens on.
    pub advertise_peer: Option<SocketAddr>,
    /// Where the control replica keeps its files.
    pub data_folder: Option<PathBuf>,
    /// Peer addresses at which other instances may be found.
    pub peers: Vec<SocketAddr>,
    /// Voters that a control group aims for, 3 or 5.
    pub control_group_size: u32,
    /// URL of the platform's list of live and leaving instances.
    pub platform_list: Option<String>,
    /// Log filter in the syntax of `env_logger`.
    pub log: String,
    /// Overrides of timing.
    pub timing: Timing,
}

impl Default for InstanceSettings {
    fn default() -> InstanceSettings {
        InstanceSettings {
            name: String::new(),
            availability_zone: String::new(),
            roles: vec![Role::Entry],
            listen: Listen::default(),
            advertise_peer: None,
            data_folder: None,
            peers: Vec::new(),
            control_group_size: 3,
            platform_list: None,
            log: "info".into(),
            timing: Timing::default(),
        }
    }
}

impl InstanceSettings {
    /// Whether the instance has the role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

/// What an instance does.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Holds a replica of the durable state; needs a data folder.
    Control,
}

/// Addresses that an instance listens on. Port 0 chooses a free port.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// For callers and the load balancer.
    pub caller: SocketAddr,
    /// For operators and metrics.
    pub operator: SocketAddr,
    /// For other instances. Its IP address is announced to them, so it
    /// cannot be a wildcard.
    pub peer: SocketAddr,
}

impl Default for Listen {
    fn default() -> Listen {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Listen {
            caller: local(7400),
            operator: local(7401),
            peer: local(7402),
        }
    }
}

/// Intervals and timeouts, in milliseconds.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Between two membership probes.
    pub probe_interval_ms: u64,
    /// For the answer to a direct probe.
    pub probe_timeout_ms: u64,
    /// From suspicion to death of a member.
    pub suspicion_ms: u64,
    /// Between two full exchanges of the membership.
    pub exchange_interval_ms: u64,
    /// Between two comparisons of the configuration version.
    pub compare_interval_ms: u64,
    /// Between two confirmations of the right to serve.
    pub confirm_interval_ms: u64,
    /// How long a confirmation lasts; shorter than `suspicion_ms`, so that
    /// an instance gives up its homes before others take them over.
    pub lease_ms: u64,
    /// Between two heartbeats of the control leader.
    pub heartbeat_interval_ms: u64,
    /// Shortest time without a leader before an election.
    pub election_timeout_ms: u64,
    /// How long a new home keeps to the reduced limit.
    pub takeover_hold_ms: u64,
    /// How long an unused connection to a target is kept.
    pub idle_max_ms: u64,
    /// Between two reads of the platform's list.
    pub platform_list_interval_ms: u64,
    /// Service continues for this time after a shutdown was announced.
    pub drain_grace_ms: u64,
    /// Longest wait for running requests at shutdown.
    pub drain_limit_ms: u64,
    /// How long a claim of a request id is kept.
    pub claim_ttl_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe_interval_ms: 500,
            probe_timeout_ms: 200,
            suspicion_ms: 3_000,
            exchange_interval_ms: 10_000,
            compare_interval_ms: 250,
            confirm_interval_ms: 500,
            lease_ms: 2_000,
            heartbeat_interval_ms: 100,
            election_timeout_ms: 500,
            takeover_hold_ms: 1_000,
            idle_max_ms: 30_000,
            platform_list_interval_ms: 2_000,
            drain_grace_ms: 3_000,
            drain_limit_ms: 25_000,
            claim_ttl_ms: 24 * 60 * 60 * 1_000,
        }
    }
}
