/*!
Roll-outs: moving the traffic of a service from one version to another.

The replicated log holds one record for each service. It moves forward only:
through the stages in their order, or to the end by a roll-back. Every instance
holds the bound of the stage for its own requests ([`exposure`]) and reports
what both versions answered. A supervisor on each control replica compares the
versions ([`judge`]), and that of the leader proposes the moves ([`supervisor`]).
See `docs/design/rollouts.md`.
*/

pub mod brake;
pub mod exposure;
pub mod judge;
pub mod report;
pub mod supervisor;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Longest time that an order may give, in milliseconds.
pub const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Longest name of a version, in bytes. Every configuration holds the names.
pub const MAX_VERSION_BYTES: usize = 128;

/// Number of withdrawn versions that are kept for each service.
const MAX_WITHDRAWN: usize = 16;

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version that is to get the traffic.
    pub version: String,
    /// Time within which the roll-out has to end, in milliseconds.
    pub duration_ms: u64,
    /// Largest fraction of the requests that a bad version may get.
    pub share: f64,
    /// Requests that a bad version may get in addition.
    pub slack: f64,
    /// Other versions of the service's targets that were listed at the
    /// instance that received the order.
    #[serde(default)]
    pub replaces: Vec<String>,
}

/// Limits on the requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Largest fraction of a service's requests.
    pub share: f64,
    /// Requests that are allowed in addition.
    pub slack: f64,
}

impl RolloutOrder {
    /// Returns an order as an operator gives it. The instance that receives it
    /// adds its bounds and the versions that are replaced.
    pub fn new(
        service: impl Into<String>,
        version: impl Into<String>,
        duration_ms: u64,
    ) -> RolloutOrder {
        RolloutOrder {
            service: service.into(),
            version: version.into(),
            duration_ms,
            share: 0.0,
            slack: 0.0,
            replaces: Vec::new(),
        }
    }

    /// Returns what is wrong with the order, if anything.
    pub fn problem(&self) -> Option<String> {
        let RolloutOrder { service, version, duration_ms, .. } = self;
        if service.is_empty() {
            return Some("the service is empty".into());
        }
        if version.is_empty() || version.len() > MAX_VERSION_BYTES {
            return Some(format!(
                "found a version of {} bytes, expected 1 to \
                 {MAX_VERSION_BYTES}",
                version.len()
            ));
        }
        if !(1..=MAX_DURATION_MS).contains(duration_ms) {
            return Some(format!(
                "found a duration of {duration_ms} ms, expected 1 to \
                 {MAX_DURATION_MS}"
            ));
        }
        let share = (0.0..=1.0).contains(&self.share);
        if !share || !self.slack.is_finite() || self.slack < 0.0 {
            return Some(format!(
                "found a share of {} and a slack of {}, expected a share \
                 between 0 and 1 and a slack of 0 or more",
                self.share, self.slack
            ));
        }
        None
    }
}

/// A stage of a roll-out, in the order in which they follow.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A small share of the requests goes to the new version.
    #[default]
    Canary,
    /// A short time with more requests, up to the allowed share of all.
    Trial,
    /// All requests go to the new version; the old one is the reserve.
    Full,
    /// The old version gets no requests any more.
    Completed,
    /// The new version gets no requests any more.
    RolledBack,
}

impl Stage {
    /// Returns whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// Returns the name used in responses, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Canary => "canary",
            Stage::Trial => "trial",
            Stage::Full => "full",
            Stage::Completed => "completed",
            Stage::RolledBack => "rolled_back",
        }
    }
}

/// The last roll-out of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Name of the service.
    pub service: String,
    /// Number of the order for this service, from 1.
    pub number: u64,
    /// Version that is to get the traffic.
    pub version: String,
    /// Time within which the roll-out has to end, in milliseconds.
    pub duration_ms: u64,
    /// Largest fraction of the requests that a bad version may get.
    pub share: f64,
    /// Requests that a bad version may get in addition.
    pub slack: f64,
    /// Versions that the roll-out replaces. Empty if they are not known; then
    /// completion ends the service of every other version.
    #[serde(default)]
    pub replaces: Vec<String>,
    /// The present stage.
    pub stage: Stage,
    /// Reason for the last change of the stage.
    #[serde(default)]
    pub reason: String,
    /// Version of the last roll-out before this one that was completed.
    #[serde(default)]
    pub base: Option<String>,
    /// Versions that were taken back; they get no requests again.
    #[serde(default)]
    pub withdrawn: Vec<String>,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// The roll-out has started.
    Started,
    /// The same order was accepted before; nothing has changed.
    Repeated,
    /// A roll-out to another version is running; nothing has changed.
    Busy,
    /// There is no such service; nothing has changed.
    UnknownService,
}

/// A change of the stage of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutMove {
    /// Name of the service.
    pub service: String,
    /// Number of the order; `None` for the one that is running.
    pub number: Option<u64>,
    /// Stage that the roll-out has to be in; `None` for any but the final ones.
    pub from: Option<Stage>,
    /// The next stage.
    pub to: Stage,
    /// Time since the order, as the leader has measured it, in milliseconds.
    pub elapsed_ms: u64,
    /// The reason with the figures that decided it.
    pub reason: String,
}

/// Time since an order, as the leader has measured it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutClock {
    /// Name of the service.
    pub service: String,
    /// Number of the order.
    pub number: u64,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
}

/// Finds the record of a service in records that are sorted by service.
pub fn find<'a>(
    rollouts: &'a [Rollout],
    service: &str,
) -> Option<&'a Rollout> {
    position(rollouts, service).ok().map(|i| &rollouts[i])
}

fn position(rollouts: &[Rollout], service: &str) -> Result<usize, usize> {
    rollouts.binary_search_by(|r| r.service.as_str().cmp(service))
}

/// Applies an order to the records, which are sorted by service.
pub fn start(
    rollouts: &mut Vec<Rollout>,
    order: &RolloutOrder,
) -> OrderResult {
    let found = position(rollouts, &order.service);
    let last = found.ok().map(|i| &rollouts[i]);
    if let Some(last) = last {
        if last.version == order.version
            || last.withdrawn.contains(&order.version)
        {
            return OrderResult::Repeated;
        }
        if !last.stage.is_final() {
            return OrderResult::Busy;
        }
    }
    let base = last.and_then(|last| match last.stage {
        Stage::Completed => Some(last.version.clone()),
        _ => last.base.clone(),
    });
    let rollout = Rollout {
        service: order.service.clone(),
        number: last.map_or(1, |last| last.number + 1),
        version: order.version.clone(),
        duration_ms: order.duration_ms,
        share: order.share,
        slack: order.slack,
        replaces: order.replaces.clone(),
        stage: Stage::Canary,
        reason: "ordered".into(),
        base,
        withdrawn: last.map(|l| l.withdrawn.clone()).unwrap_or_default(),
    };
    match found {
        Ok(i) => rollouts[i] = rollout,
        Err(i) => rollouts.insert(i, rollout),
    }
    OrderResult::Started
}

/// Applies a change of a stage to the records, which are sorted by service.
/// Returns the record if it has changed.
pub fn advance<'a>(
    rollouts: &'a mut [Rollout],
    change: &RolloutMove,
) -> Option<&'a Rollout> {
    let i = position(rollouts, &change.service).ok()?;
    let rollout = &mut rollouts[i];
    let allowed = !rollout.stage.is_final()
        && change.number.is_none_or(|n| n == rollout.number)
        && change.from.is_none_or(|from| from == rollout.stage)
        && change.to > rollout.stage;
    if !allowed {
        return None;
    }
    rollout.stage = change.to;
    rollout.reason.clone_from(&change.reason);
    if change.to == Stage::RolledBack {
        rollout.withdrawn.push(rollout.version.clone());
        let excess = rollout.withdrawn.len().saturating_sub(MAX_WITHDRAWN);
        rollout.withdrawn.drain(..excess);
    }
    Some(&rollouts[i])
}
