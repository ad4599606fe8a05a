//! Conversion of the instance's settings to the options of the reducers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use primrosemast_core::{
    config_sync::SyncOptions,
    consensus::ConsensusOptions,
    forward::{
        ForwardOptions, budget::BudgetOptions, directory::DirectoryOptions,
        keys::KeyOptions,
    },
    membership::MembershipOptions,
    node::NodeOptions,
    query::{DispatchMode, QueryOptions},
    rollout::Bounds,
    shares::ShareOptions,
    target::TargetOptions,
};

use crate::{
    log_output::EVENT_TARGET,
    settings::{Dispatch, InstanceSettings},
};

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
            heartbeat_interval: ms(timing.heartbeat_interval_ms),
            election_timeout_min: ms(timing.election_timeout_ms),
            election_timeout_max: ms(2 * timing.election_timeout_ms),
            folder_bytes: settings.resources.folder_bytes(),
            ..ConsensusOptions::default()
        },
        forward: forward_options(settings),
        shares: share_options(settings),
        seeds: settings.peers.clone(),
        min_voters: settings.min_voters,
        replace_voter_after: ms(timing.replace_voter_ms),
        auto_bootstrap: settings.found_control_group,
        control_group_size: settings.control_group_size,
        wall_epoch_ms: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64),
        drain_grace: ms(timing.drain_grace_ms),
        drain_limit: ms(timing.drain_limit_ms),
        ..NodeOptions::default()
    }
}

fn share_options(settings: &InstanceSettings) -> ShareOptions {
    let forwarding = &settings.forwarding;
    let lease = Duration::from_millis(settings.timing.lease_ms);
    let defaults = ShareOptions::default();
    ShareOptions {
        enabled: forwarding.team_limits,
        window: Duration::from_millis(forwarding.team_window_ms),
        overage: forwarding.team_overage,
        slack: forwarding.team_slack,
        lease,
        hold: lease + defaults.validity,
        // One more while a voter is replaced.
        max_voters: settings.control_group_size + 1,
        ..defaults
    }
}

fn forward_options(settings: &InstanceSettings) -> ForwardOptions {
    let forwarding = &settings.forwarding;
    let ms = Duration::from_millis;
    ForwardOptions {
        log_debug: log::log_enabled!(
            target: EVENT_TARGET,
            log::Level::Debug
        ),
        budget: BudgetOptions {
            window: ms(forwarding.extra_window_ms),
            ratio: forwarding.extra_ratio,
            slack: forwarding.extra_slack,
            ..BudgetOptions::default()
        },
        directory: DirectoryOptions {
            lag: ms(forwarding.list_lag_ms),
            ..DirectoryOptions::default()
        },
        keys: KeyOptions {
            withdrawal_bound: forwarding.key_withdrawal_ms.map(ms),
        },
        rollouts: forwarding.rollouts.then_some(Bounds {
            share: forwarding.rollout_share,
            slack: forwarding.rollout_slack,
        }),
        ..ForwardOptions::default()
    }
}
