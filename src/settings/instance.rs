//! Settings that an instance reads once, when it starts.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{
    findings::{check_name, malformed_address},
    problem::{Finding, segments},
};

/// Least memory of a process, in megabytes. An idle one needs about a third
/// of it.
const MIN_MEMORY_MB: u64 = 32;

/// Most memory that can be named, in megabytes: a pebibyte.
const MAX_MEMORY_MB: u64 = 1 << 30;

/// Least capacity of a data folder, in megabytes. The largest configuration
/// that it takes has about a quarter of it.
const MIN_DISK_MB: u64 = 8;

/// Most that can be named, in megabytes: a pebibyte.
const MAX_DISK_MB: u64 = 1 << 30;

/// Bytes of a megabyte of a data folder.
const DISK_MB_BYTES: u64 = 1_000_000;

/// Least number of descriptors, so that each kind of connection has some.
const MIN_DESCRIPTORS: u64 = 64;

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Name of the availability zone that the instance runs in.
    pub availability_zone: String,
    /// Roles of the instance.
    pub roles: Vec<Role>,
    /// Addresses that the instance listens on.
    pub listen: Listen,
    /// Peer address that is announced to other instances, if it differs from
    /// the address of the peer listener.
    pub advertise_peer: Option<SocketAddr>,
    /// How shard requests reach their targets.
    pub dispatch: Dispatch,
    /// Folder of the control replica's files.
    pub data_folder: Option<PathBuf>,
    /// Peer addresses of other instances, through which this one joins the
    /// fleet.
    pub peers: Vec<SocketAddr>,
    /// Target number of voters in the control group, 3 or 5.
    pub control_group_size: u32,
    /// Number of voters that the control group needs before it accepts
    /// changes.
    pub min_voters: u32,
    /// Whether the first of `peers` that has a replica bootstraps the control
    /// group without an operator's request. Only for the first start of a
    /// new fleet.
    pub found_control_group: bool,
    /// Limits of the forwarding path.
    pub forwarding: ForwardingSettings,
    /// URL of the list of live and leaving instances that the platform
    /// serves.
    pub platform_list: Option<String>,
    /// Memory and file descriptors of the process.
    pub resources: Resources,
    /// Log filter in the syntax of `env_logger`.
    pub log: String,
    /// Intervals and timeouts that differ from the defaults.
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
            dispatch: Dispatch::default(),
            data_folder: None,
            peers: Vec::new(),
            control_group_size: 3,
            min_voters: 1,
            found_control_group: false,
            forwarding: ForwardingSettings::default(),
            platform_list: None,
            resources: Resources::default(),
            log: "info".into(),
            timing: Timing::default(),
        }
    }
}

impl InstanceSettings {
    /// Returns whether the instance has the role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

/// A role of an instance.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers' requests.
    Entry,
    /// Holds a replica of the durable state; needs a data folder.
    Control,
}

/// How shard requests reach their targets.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Dispatch {
    /// Requests are sent through the home of the target.
    #[default]
    Home,
    /// Every instance sends requests directly to every target, without
    /// hedging and without limits shared between instances. Only for
    /// comparison in benchmarks.
    Direct,
}

/// Addresses that an instance listens on. With port 0 the system chooses a
/// free port.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Listener for callers and the load balancer.
    pub caller: SocketAddr,
    /// Listener for operators and metrics.
    pub operator: SocketAddr,
    /// Listener for callers of forwarding routes, if there are any.
    pub forward: Option<SocketAddr>,
    /// Listener for other instances. Its IP address is announced to them, so
    /// it cannot be a wildcard.
    pub peer: SocketAddr,
}

impl Default for Listen {
    fn default() -> Listen {
        let localhost = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Listen {
            forward: None,
            caller: localhost(7400),
            operator: localhost(7401),
            peer: localhost(7402),
        }
    }
}

/// Fleet-wide limits of the forwarding path.
#[derive(
    Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct ForwardingSettings {
    /// Extra requests allowed for each other request to the same service,
    /// within the window.
    pub extra_ratio: f64,
    /// Extra requests to a service allowed in addition, within the window.
    pub extra_slack: f64,
    /// Length of the sliding window for extra requests, in milliseconds.
    pub extra_window_ms: u64,
    /// Longest time by which the platform's list may lag behind the actual
    /// state, in milliseconds.
    pub list_lag_ms: u64,
    /// Whether the limits of teams are in force.
    pub team_limits: bool,
    /// Length of the sliding window in which the requests of a team are
    /// counted, in milliseconds.
    pub team_window_ms: u64,
    /// Tolerated excess of a team's requests in a window, as a fraction of
    /// what its limit allows.
    pub team_overage: f64,
    /// Tolerated excess in a window in addition, in requests.
    pub team_slack: f64,
    /// Time after the acceptance of a table that withdraws a key, after which
    /// no instance sends a request with that key to a target, in
    /// milliseconds. If it is not set, an instance that the table has not
    /// reached may use the key for as long as it holds its lease.
    pub key_withdrawal_ms: Option<u64>,
    /// Whether the versions of targets decide which requests they get, and
    /// operators may order roll-outs.
    pub rollouts: bool,
    /// Largest fraction of a service's requests that a bad version may get
    /// during a roll-out.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub rollout_share: f64,
    /// Requests that a bad version may get in addition.
    #[schemars(range(min = 0.0))]
    pub rollout_slack: f64,
}

impl Default for ForwardingSettings {
    fn default() -> ForwardingSettings {
        ForwardingSettings {
            extra_ratio: 0.05,
            extra_slack: 10.0,
            extra_window_ms: 10_000,
            list_lag_ms: 1_000,
            team_limits: true,
            team_window_ms: 5_000,
            team_overage: 0.1,
            team_slack: 20.0,
            key_withdrawal_ms: None,
            rollouts: false,
            rollout_share: 0.1,
            rollout_slack: 50.0,
        }
    }
}

/// Memory and file descriptors that the process may use, and the shares of
/// them that clients may take. What is not limited here is not limited for
/// clients either.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Memory of the process, in megabytes; not limited if it is missing.
    pub memory_mb: Option<u64>,
    /// Sockets and data files that the process may open; not limited if it
    /// is missing.
    pub descriptors: Option<u64>,
    /// Capacity of the data folder, in megabytes; not limited if it is
    /// missing.
    pub disk_mb: Option<u64>,
    /// Share of the memory for bodies that are held for others, in percent.
    pub held_percent: u64,
    /// Share of the descriptors for connections of callers and operators, in
    /// percent. The remainder is for other instances, targets and files.
    pub connection_percent: u64,
}

impl Default for Resources {
    fn default() -> Resources {
        Resources {
            memory_mb: None,
            descriptors: None,
            disk_mb: None,
            held_percent: 40,
            connection_percent: 60,
        }
    }
}

impl Resources {
    /// Returns the capacity of the data folder in bytes, if it is limited.
    pub fn folder_bytes(&self) -> Option<u64> {
        self.disk_mb.map(|mb| mb.saturating_mul(DISK_MB_BYTES))
    }
}

/// Intervals and timeouts, in milliseconds.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Interval between two membership probes.
    pub probe_interval_ms: u64,
    /// Timeout of a direct probe.
    pub probe_timeout_ms: u64,
    /// Time after which a suspected member is declared dead.
    pub suspicion_ms: u64,
    /// Interval between two full exchanges of the member list.
    pub exchange_interval_ms: u64,
    /// Interval between two comparisons of the configuration version.
    pub compare_interval_ms: u64,
    /// Interval between two renewals of the lease.
    pub confirm_interval_ms: u64,
    /// Duration of the lease. Shorter than `suspicion_ms`, so that an
    /// instance stops acting as home before another one takes over.
    pub lease_ms: u64,
    /// Interval between two heartbeats of the control leader.
    pub heartbeat_interval_ms: u64,
    /// Minimum election timeout.
    pub election_timeout_ms: u64,
    /// Time without contact after which a voter is replaced, if another
    /// replica is ready. While several voters are silent and the loss of one
    /// more would leave no majority, one is replaced at once.
    pub replace_voter_ms: u64,
    /// Time for which a new home of a target observes a reduced limit.
    pub takeover_hold_ms: u64,
    /// Idle time after which a connection to a target is closed.
    pub idle_max_ms: u64,
    /// Interval between two reads of the platform's list.
    pub platform_list_interval_ms: u64,
    /// Time for which an instance still accepts requests after announcing its
    /// shutdown.
    pub drain_grace_ms: u64,
    /// Longest time that a shutdown waits for running requests.
    pub drain_limit_ms: u64,
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
            // Longer than a restart, so that a restarted voter is not
            // replaced.
            replace_voter_ms: 10_000,
            takeover_hold_ms: 1_000,
            idle_max_ms: 30_000,
            platform_list_interval_ms: 2_000,
            drain_grace_ms: 3_000,
            drain_limit_ms: 25_000,
        }
    }
}

/// Checks the rules that the schema cannot express. Skips values of the wrong
/// type, because the schema check reports them. A missing `name` or
/// `availability_zone` is an error; other missing values have defaults.
pub(crate) fn check_value(document: &Value) -> Vec<Finding> {
    let mut out = Vec::new();
    for key in ["name", "availability_zone"] {
        match &document[key] {
            Value::String(name) => {
                out.extend(check_name(segments![key], name))
            }
            Value::Null => out.push(Finding::error(
                segments![],
                format!("no key \"{key}\""),
                format!("the required key \"{key}\""),
            )),
            _ => {}
        }
    }
    check_roles(document, &mut out);
    check_addresses(document, &mut out);
    if let Some(size) = document["control_group_size"].as_u64()
        && ![3, 5].contains(&size)
    {
        let path = segments!["control_group_size"];
        out.push(Finding::error(path, size.to_string(), "3 or 5"));
    }
    if let Some(url) = document["platform_list"].as_str()
        && !url.starts_with("http://")
    {
        let path = segments!["platform_list"];
        let found = format!("\"{url}\"");
        out.push(Finding::error(path, found, "a URL that starts http://"));
    }
    check_resources(&document["resources"], &mut out);
    check_timing(&document["timing"], &mut out);
    check_team_limits(&document["forwarding"], &mut out);
    check_key_withdrawal(document, &mut out);
    out
}

/// A window without length counts nothing, and a negative excess would lower
/// the limits.
fn check_team_limits(forwarding: &Value, out: &mut Vec<Finding>) {
    if forwarding["team_window_ms"] == 0 {
        let path = segments!["forwarding", "team_window_ms"];
        out.push(Finding::error(path, "0", "at least 1"));
    }
    for key in ["team_overage", "team_slack"] {
        if let Some(value) = forwarding[key].as_f64()
            && value < 0.0
        {
            let path = segments!["forwarding", key];
            out.push(Finding::error(path, value.to_string(), "at least 0"));
        }
    }
}

/// Checks that instances do not refuse requests with a key while they hold
/// their lease and confirmations are merely late.
fn check_key_withdrawal(document: &Value, out: &mut Vec<Finding>) {
    let bound = &document["forwarding"]["key_withdrawal_ms"];
    let lease = match &document["timing"]["lease_ms"] {
        Value::Null => Some(Timing::default().lease_ms),
        configured => configured.as_u64(),
    };
    if let (Some(bound), Some(lease)) = (bound.as_u64(), lease)
        && bound < 2 * lease
    {
        out.push(Finding::error(
            segments!["forwarding", "key_withdrawal_ms"],
            bound.to_string(),
            format!("at least twice lease_ms, which is {lease}"),
        ));
    }
}

fn check_roles(document: &Value, out: &mut Vec<Finding>) {
    let roles = match document.get("roles") {
        Some(Value::Array(roles)) => roles.clone(),
        Some(_) => return,
        None => vec![Value::from("entry")],
    };
    if roles.is_empty() {
        let expected = "\"entry\", \"control\" or both";
        out.push(Finding::error(segments!["roles"], "no roles", expected));
    }
    for (i, role) in roles.iter().enumerate() {
        if roles[..i].contains(role) {
            let found = format!("{role} again");
            out.push(Finding::error(
                segments!["roles", i],
                found,
                "each role once",
            ));
        }
    }
    let control = roles.iter().any(|r| r == "control");
    let folder = &document["data_folder"];
    if control && folder.is_null() {
        out.push(Finding::error(
            segments![],
            "no key \"data_folder\"",
            "a data folder, because the role \"control\" keeps files",
        ));
    }
    if !control && !folder.is_null() {
        out.push(Finding::error(
            segments!["data_folder"],
            "a data folder without the role \"control\"",
            "the role \"control\", or no data folder",
        ));
    }
}

fn check_addresses(document: &Value, out: &mut Vec<Finding>) {
    let defaults = Listen::default();
    let listen = [
        ("caller", defaults.caller),
        ("operator", defaults.operator),
        ("peer", defaults.peer),
    ];
    let mut seen: Vec<SocketAddr> = Vec::new();
    for (key, default) in listen {
        let path = || segments!["listen", key];
        let address = match &document["listen"][key] {
            Value::Null => default,
            Value::String(text) => match text.parse() {
                Ok(address) => address,
                Err(_) => {
                    out.push(malformed_address(path(), text));
                    continue;
                }
            },
            _ => continue,
        };
        if seen.contains(&address) && address.port() != 0 {
            let found = format!("\"{address}\" again");
            out.push(Finding::error(path(), found, "an address of its own"));
        }
        seen.push(address);
        if key != "caller" && address.ip().is_unspecified() {
            out.push(Finding::error(
                path(),
                format!("\"{address}\""),
                "an IP address that other instances can connect to",
            ));
        }
    }
    let peers = document["peers"].as_array().into_iter().flatten();
    for (i, peer) in peers.enumerate() {
        let Some(text) = peer.as_str() else { continue };
        match text.parse::<SocketAddr>() {
            Ok(a) if a.port() != 0 && !a.ip().is_unspecified() => {}
            _ => out.push(malformed_address(segments!["peers", i], text)),
        }
    }
}

fn check_resources(resources: &Value, out: &mut Vec<Finding>) {
    let ranges = [
        ("memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB),
        ("descriptors", MIN_DESCRIPTORS, u64::MAX),
        ("disk_mb", MIN_DISK_MB, MAX_DISK_MB),
        ("held_percent", 1, 80),
        ("connection_percent", 1, 90),
    ];
    for (key, min, max) in ranges {
        let Some(value) = resources[key].as_u64() else { continue };
        if !(min..=max).contains(&value) {
            let expected = if max == u64::MAX {
                format!("at least {min}")
            } else {
                format!("{min} to {max}")
            };
            let path = segments!["resources", key];
            out.push(Finding::error(path, value.to_string(), expected));
        }
    }
}

fn check_timing(timing: &Value, out: &mut Vec<Finding>) {
    let defaults = serde_json::to_value(Timing::default())
        .expect("the settings are representable in JSON");
    let value = |key: &str| match &timing[key] {
        Value::Null => defaults[key].as_u64(),
        configured => configured.as_u64(),
    };
    let keys = defaults.as_object().into_iter().flatten();
    for (key, _) in keys.filter(|(key, _)| timing[key.as_str()] == 0) {
        // A zero drain time skips the drain and is valid. A zero interval
        // would make a timer loop without pause.
        if !key.starts_with("drain") {
            let path = segments!["timing", key.as_str()];
            out.push(Finding::error(path, "0", "at least 1"));
        }
    }
    let strictly_less = [
        ("probe_timeout_ms", "probe_interval_ms"),
        ("confirm_interval_ms", "lease_ms"),
        ("lease_ms", "suspicion_ms"),
        ("heartbeat_interval_ms", "election_timeout_ms"),
    ];
    for (short, long) in strictly_less {
        let (Some(a), Some(b)) = (value(short), value(long)) else {
            continue;
        };
        if a >= b {
            out.push(Finding::error(
                segments!["timing", short],
                a.to_string(),
                format!("less than {long}, which is {b}"),
            ));
        }
    }
}
