/*!
Requests and responses of the operator API.

The daemon serves them on its operator listener, and the command-line tool
sends requests and reads responses. All are JSON. The outcome of a change is
in the body; the HTTP status repeats it for programs that do not parse the
body.
*/

use std::net::SocketAddr;

use primrosemast_core::{
    config::Configuration,
    consensus,
    id::{ConfigVersion, InstanceId, ReplicaId},
    membership::MemberState,
    rollout::Rollout,
    target::TargetReport,
};
use serde::{Deserialize, Serialize};

/// Response to `GET /v1/status`: the fleet as one instance sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Identifier of the instance that responds.
    pub instance: InstanceId,
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub availability_zone: String,
    /// Configuration version in force at this instance; 0 if none.
    pub version: ConfigVersion,
    /// Whether the lease of the instance allows it to serve.
    pub serving: bool,
    /// Whether `GET /ready` succeeds.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// Status of the control replica, if the instance runs one.
    #[serde(default)]
    pub control: Option<consensus::Status>,
    /// All known members, sorted by name.
    #[serde(default)]
    pub members: Vec<MemberView>,
    /// All configured targets, sorted by name.
    #[serde(default)]
    pub targets: Vec<TargetView>,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the instance.
    pub name: String,
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Membership state of the instance.
    pub state: MemberState,
    /// Availability zone of the instance; its identifier in hex if the name is
    /// unknown.
    pub availability_zone: String,
    /// Whether the instance serves callers.
    pub entry: bool,
    /// Identifier of the control replica, if the instance runs one.
    #[serde(default)]
    pub control: Option<ReplicaId>,
    /// Peer address of the instance.
    pub address: SocketAddr,
    /// Operator address of the instance.
    pub operator_address: SocketAddr,
    /// Configuration version in force at the instance. An instance knows only
    /// its own version, so the tool requests the others from each member.
    #[serde(default)]
    pub version: Option<ConfigVersion>,
}

/// A target, its home and its standby.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetView {
    /// Name of the searcher.
    pub name: String,
    /// Availability zone of the searcher.
    pub availability_zone: String,
    /// Name of the instance that is the home of the target.
    #[serde(default)]
    pub home: Option<String>,
    /// Name of the instance that is the standby of the target.
    #[serde(default)]
    pub standby: Option<String>,
    /// Last report of the home.
    #[serde(default)]
    pub report: Option<TargetReport>,
}

/// Response to `GET /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationResponse {
    /// Version in force at this instance; 0 if none.
    pub version: ConfigVersion,
    /// Hash of the document, as 16 hex digits. A string, because many JSON
    /// parsers round integers above 2^53.
    pub hash: String,
    /// The configuration document.
    pub configuration: Configuration,
}

/// Body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Identifier chosen by the operator. A resend of the change has the same
    /// one.
    pub change_id: String,
    /// The version that the change is based on.
    pub expected_version: ConfigVersion,
    /// The complete new document.
    pub configuration: Configuration,
}

/// Response to `POST /v1/changes` and `GET /v1/changes/{id}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Outcome of the change.
    pub outcome: Outcome,
    /// The accepted version or, after a conflict, the current version.
    #[serde(default)]
    pub version: Option<ConfigVersion>,
    /// Human-readable message.
    #[serde(default)]
    pub message: String,
}

/// Outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Committed as `version`; HTTP 200.
    Accepted,
    /// Another change was accepted first; HTTP 409.
    Conflict,
    /// No leader or no majority; nothing was proposed; HTTP 503.
    NoQuorum,
    /// Proposed, but the result is not known; HTTP 504. Resend the same id.
    Unknown,
    /// The configuration is not valid; HTTP 422.
    Refused,
}

/// Body of `POST /v1/rollouts`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRequest {
    /// Name of the service.
    pub service: String,
    /// Version that is to get the traffic.
    pub version: String,
    /// Time within which the roll-out has to end, in milliseconds.
    pub duration_ms: u64,
}

/// Response to `POST /v1/rollouts`, `GET /v1/rollouts/{service}` and
/// `POST /v1/rollouts/{service}/abort`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutResponse {
    /// The last roll-out of the service.
    pub rollout: Rollout,
}

/// Body of `POST /v1/replicas`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaRequest {
    /// The action to take.
    pub action: ReplicaAction,
    /// The replica to remove.
    #[serde(default)]
    pub replica: Option<ReplicaId>,
    /// First configuration of a new control group.
    #[serde(default)]
    pub configuration: Option<Configuration>,
}

/// An action on control replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaAction {
    /// Bootstrap a control group with the replica of this instance.
    Bootstrap,
    /// Remove a replica from the group.
    Remove,
}

/// Response to `POST /v1/replicas`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaResponse {
    /// Whether the action succeeded.
    pub done: bool,
    /// Human-readable message.
    #[serde(default)]
    pub message: String,
    /// State of the replica on the instance that responds.
    #[serde(default)]
    pub control: Option<consensus::Status>,
}

/// Response to `GET /v1/explain/{request_id}`: the decisions on a request in
/// the order in which they were made.
pub type ExplainResponse = serde_json::Value;

/// Response to a request that the operator API cannot serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Reason code for programs, in snake case.
    pub reason: String,
    /// Human-readable message.
    pub message: String,
}
