//! Options of the reducers from the settings of the instance.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use primrosemast_core::{
    config_sync::SyncOptions,
    consensus::ConsensusOptions,
    membership::MembershipOptions,
    node::NodeOptions,
    query::{DispatchMode, QueryOptions},
    target::TargetOptions,
};

use super::EVENT_TARGET;
use crate::settings::{Dispatch, InstanceSettings};

pub(super) fn options(settings: &InstanceSettings) -> NodeOptions {
    let timing = &settings.timing;
    let ms = Duration::from_millis;
    let mode = match settings.dispatch {
        Dispatch::Home => DispatchMode::Home,
        Dispatch::Direct => DispatchMode::Direct,
    };
    NodeOptions {
        membership: MembershipOptions {
            probe_interval: ms(timing.probe_interval_ms),
            direct_timeout: ms(timing.probe_timeout_ms),
            suspicion_timeout: ms(timing.suspicion_ms),
            digest_interval: ms(timing.exchange_interval_ms),
            ..MembershipOptions::default()
        },
        sync: SyncOptions {
            lease: ms(timing.lease_ms),
            renew_interval: ms(timing.confirm_interval_ms),
            compare_interval: ms(timing.compare_interval_ms),
            ..SyncOptions::default()
        },
        query: QueryOptions {
            mode,
            hedging: mode == DispatchMode::Home,
            log_debug: log::log_enabled!(
                target: EVENT_TARGET,
                log::Level::Debug
            ),
            ..QueryOptions::default()
        },
        target: TargetOptions {
            takeover_hold: ms(timing.takeover_hold_ms),
            idle_max: ms(timing.idle_max_ms),
            ..TargetOptions::default()
        },
        consensus: ConsensusOptions {
            heartbeat: ms(timing.heartbeat_interval_ms),
            election_min: ms(timing.election_timeout_ms),
            election_max: ms(2 * timing.election_timeout_ms),
            ..ConsensusOptions::default()
        },
        seeds: settings.peers.clone(),
        control_group_size: settings.control_group_size,
        wall_epoch_ms: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64),
        drain_grace: ms(timing.drain_grace_ms),
        drain_limit: ms(timing.drain_limit_ms),
        ..NodeOptions::default()
    }
}
