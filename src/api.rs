/*!
Requests and responses of the operator API.

The daemon serves them on its operator listener, and the command-line tool
reads and writes them. All are JSON. The outcome of a change is in the body;
the HTTP status only repeats it for programs that look no further.
*/

use std::net::SocketAddr;

use primrosemast_core::{
    config::Configuration,
    consensus,
    id::{ConfigVersion, InstanceId, ReplicaId},
    membership::MemberState,
    target::TargetReport,
};
use serde::{Deserialize, Serialize};

/// Response to `GET /v1/status`: the fleet as one instance sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The instance that responds.
    pub instance: InstanceId,
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Configuration version in force at this instance; 0 if none.
    pub version: ConfigVersion,
    /// Whether its lease allows it to serve.
    pub serving: bool,
    /// Whether `GET /ready` succeeds.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Its control replica, if it runs one.
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
    /// The instance.
    pub id: InstanceId,
    /// Its state.
    pub state: MemberState,
    /// Its availability zone; the identifier in hex if the name is unknown.
    pub availability_zone: String,
    /// Whether it serves callers.
    pub entry: bool,
    /// Its control replica, if it has one.
    #[serde(default)]
    pub control: Option<ReplicaId>,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its operator address.
    pub operator_address: SocketAddr,
    /// Version in force there. An instance knows only its own; the tool asks
    /// each member for the others.
    #[serde(default)]
    pub version: Option<ConfigVersion>,
}

/// A target with its home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetView {
    /// Name of the searcher.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Name of the instance that is its home.
    #[serde(default)]
    pub home: Option<String>,
    /// Name of the instance that is its standby.
    #[serde(default)]
    pub standby: Option<String>,
    /// The last report of its home.
    #[serde(default)]
    pub report: Option<TargetReport>,
}

/// Response to `GET /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationResponse {
    /// Version in force at this instance; 0 if none.
    pub version: ConfigVersion,
    /// Hash of the document, 16 hex digits. A string, because many JSON
    /// programs round integers above 2^53.
    pub hash: String,
    /// The document.
    pub configuration: Configuration,
}

/// Body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Chosen by the operator; a resend carries the same.
    pub change_id: String,
    /// The version that the change was made from.
    pub expected_version: ConfigVersion,
    /// The new document as a whole.
    pub configuration: Configuration,
}

/// Response to `POST /v1/changes` and `GET /v1/changes/{id}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// How the change ended.
    pub outcome: Outcome,
    /// The accepted version, or the current version after a conflict.
    #[serde(default)]
    pub version: Option<ConfigVersion>,
    /// For people.
    #[serde(default)]
    pub message: String,
}

/// How a change ended.
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

/// Body of `POST /v1/replicas`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaRequest {
    /// What to do.
    pub action: ReplicaAction,
    /// The replica to remove.
    #[serde(default)]
    pub replica: Option<ReplicaId>,
    /// First configuration of a new control group.
    #[serde(default)]
    pub configuration: Option<Configuration>,
}

/// What to do with control replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaAction {
    /// Found a control group with the replica of this instance.
    Bootstrap,
    /// Remove a replica from the group.
    Remove,
}

/// Response to `POST /v1/replicas`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaResponse {
    /// Whether it was done.
    pub done: bool,
    /// For people.
    #[serde(default)]
    pub message: String,
    /// State of the replica on the instance that responds.
    #[serde(default)]
    pub control: Option<consensus::Status>,
}

/// Response to `GET /v1/explain/{request_id}`: the decisions on a request in
/// the order in which they were made.
pub type ExplainResponse = serde_json::Value;

/// Any failure of the operator API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// A fixed word for programs, in snake case.
    pub reason: String,
    /// For people.
    pub message: String,
}
