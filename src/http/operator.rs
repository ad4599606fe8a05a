//! The operators' API.

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http::{HeaderValue, StatusCode, header};
use primrosemast_core::{
    config::Configuration,
    control::{Change, ChangeOutcome, ControlReply},
    id::ConfigVersion,
    node::{OperatorReply, OperatorRequest},
};
use serde::de::DeserializeOwned;
use volo_http::{
    request::Request,
    response::Response,
    server::{
        param::PathParams,
        route::{Router, get, post},
    },
};

use super::{json, rollouts, text};
use crate::{
    api::{
        ChangeRequest, ChangeResponse, ErrorResponse, Outcome, ReplicaAction,
        ReplicaRequest, ReplicaResponse,
    },
    daemon::{Handle, OPERATOR_RETRY_AFTER_S, ViewReply, ViewRequest},
    held::ReadError,
    settings::{Problem, check_configuration},
};

/// Largest body of an operator's request that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Message for a request whose outcome could not be determined.
const OUTCOME_UNKNOWN: &str = "the outcome is not known; look at the status";

/// Returns the routes of the operators' API.
pub(crate) fn router(handle: &Handle) -> Router {
    let status = view_handler(handle, || ViewRequest::Status);
    let configuration = {
        let handle = handle.clone();
        move || {
            let handle = handle.clone();
            async move { configuration(&handle).await }
        }
    };
    let explain = {
        let handle = handle.clone();
        move |PathParams(id): PathParams<String>| {
            let handle = handle.clone();
            async move {
                view_response(handle.view(ViewRequest::Explain(id)).await)
            }
        }
    };
    let outcome = {
        let handle = handle.clone();
        move |PathParams(id): PathParams<String>| {
            let handle = handle.clone();
            async move { view_response(handle.view(ViewRequest::Change(id)).await) }
        }
    };
    let change = {
        let handle = handle.clone();
        move |req: Request| {
            let handle = handle.clone();
            async move { change(&handle, req).await }
        }
    };
    let replicas = {
        let handle = handle.clone();
        move |req: Request| {
            let handle = handle.clone();
            async move { replicas(&handle, req).await }
        }
    };
    let metrics = {
        let handle = handle.clone();
        move || {
            let page = handle.metrics();
            async move { text(StatusCode::OK, page) }
        }
    };
    Router::new()
        .merge(rollouts::router(handle))
        .route("/v1/status", get(status))
        .route("/v1/configuration", get(configuration))
        .route("/v1/changes", post(change))
        .route("/v1/changes/{id}", get(outcome))
        .route("/v1/explain/{id}", get(explain))
        .route("/v1/replicas", post(replicas))
        .route("/metrics", get(metrics))
        .route("/health", get(|| async { text(StatusCode::OK, "alive\n") }))
}

/// Returns a handler that responds with one view of the daemon's state.
fn view_handler(
    handle: &Handle,
    request: fn() -> ViewRequest,
) -> impl Fn() -> BoxFuture<'static, Response> + Clone + use<> {
    let handle = handle.clone();
    move || {
        let handle = handle.clone();
        async move { view_response(handle.view(request()).await) }.boxed()
    }
}

/// Responds with the newest configuration. Fails if this instance cannot be
/// sure that it has the newest one, because a later read must not return an
/// older configuration than an earlier read.
async fn configuration(handle: &Handle) -> Response {
    match handle.catch_up().await {
        Ok(()) => view_response(handle.view(ViewRequest::Configuration).await),
        Err(reason) => unavailable("not_sure", reason),
    }
}

/// Converts a view into a response.
fn view_response(view: Option<ViewReply>) -> Response {
    match view {
        Some(ViewReply::Found(value)) => json(StatusCode::OK, &value),
        Some(ViewReply::NotFound(message)) => {
            error(StatusCode::NOT_FOUND, "not_found", message)
        }
        None => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopped",
            "the instance stopped".into(),
        ),
    }
}

pub(super) fn error(
    status: StatusCode,
    reason: &str,
    message: String,
) -> Response {
    json(status, &ErrorResponse { reason: reason.into(), message })
}

/// Responds that a request cannot be served at present, and when to come back.
pub(super) fn unavailable(reason: &str, message: String) -> Response {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    ask_back(error(status, reason, message))
}

/// Adds when to come back to a response.
fn ask_back(mut response: Response) -> Response {
    let after = HeaderValue::from(OPERATOR_RETRY_AFTER_S);
    response.headers_mut().insert(header::RETRY_AFTER, after);
    response
}

/// Reads a JSON body; fails with the response to send.
pub(super) async fn read_json<T: DeserializeOwned>(
    handle: &Handle,
    req: Request,
) -> Result<T, Response> {
    let bad = |message| error(StatusCode::BAD_REQUEST, "bad_request", message);
    let read = handle.read_operator_body(req.into_body(), MAX_BODY_BYTES);
    let body = match read.await {
        Ok(body) => body,
        Err(e @ ReadError::NoRoom) => {
            return Err(unavailable("no_room", e.to_string()));
        }
        Err(e) => return Err(bad(e.to_string())),
    };
    serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))
}

async fn change(handle: &Handle, req: Request) -> Response {
    let req: ChangeRequest = match read_json(handle, req).await {
        Ok(req) => req,
        Err(response) => return response,
    };
    if req.change_id.is_empty() || req.change_id.len() > 200 {
        return error(
            StatusCode::BAD_REQUEST,
            "bad_request",
            "change_id must have 1 to 200 characters".into(),
        );
    }
    let document = match encode_configuration(req.configuration) {
        Ok(document) => document,
        Err(message) => {
            return change_response(Outcome::Refused, None, message);
        }
    };
    let change = Change {
        change_id: req.change_id,
        expected_version: req.expected_version,
        document,
    };
    match handle.submit_operator_request(OperatorRequest::Change(change)).await
    {
        Some(OperatorReply::Control(reply)) => control_response(reply),
        Some(OperatorReply::Refused(message)) => {
            change_response(Outcome::NoQuorum, None, message)
        }
        Some(OperatorReply::Bootstrapped) | None => change_response(
            Outcome::Unknown,
            None,
            "the instance stopped".into(),
        ),
    }
}

/// Validates a configuration and encodes it for the replicated log.
///
/// # Errors
///
/// Fails with one line for each problem.
fn encode_configuration(
    mut configuration: Configuration,
) -> Result<Bytes, String> {
    let mut problems = check_configuration(&configuration);
    problems.retain(Problem::is_error);
    if !problems.is_empty() {
        let lines: Vec<String> =
            problems.iter().map(ToString::to_string).collect();
        return Err(lines.join("\n"));
    }
    // The control group keeps the roll-outs; a document that was read from an
    // instance may still hold former ones.
    configuration.rollouts.clear();
    configuration.sort();
    rmp_serde::to_vec_named(&configuration)
        .map(Bytes::from)
        .map_err(|e| e.to_string())
}

fn control_response(reply: ControlReply) -> Response {
    match reply {
        ControlReply::Change(ChangeOutcome::Accepted(version)) => {
            change_response(
                Outcome::Accepted,
                Some(version),
                format!("accepted as version {version}"),
            )
        }
        ControlReply::Change(ChangeOutcome::Conflict(version)) => {
            change_response(
                Outcome::Conflict,
                Some(version),
                format!("conflict: the current version is {version}"),
            )
        }
        ControlReply::NotLeader(_) => change_response(
            Outcome::NoQuorum,
            None,
            "no quorum: no control leader could be reached; nothing was \
             proposed"
                .into(),
        ),
        ControlReply::Refused(message) | ControlReply::NotReady(message) => {
            change_response(Outcome::NoQuorum, None, message)
        }
        ControlReply::TooLarge(message) => {
            change_response(Outcome::Refused, None, message)
        }
        ControlReply::Unknown
        | ControlReply::Claim(_)
        | ControlReply::Version(_)
        | ControlReply::ZoneOrders(_)
        | ControlReply::Rollout(_)
        | ControlReply::Done => change_response(
            Outcome::Unknown,
            None,
            "no answer from the control leader; resend the same change id"
                .into(),
        ),
    }
}

fn change_response(
    outcome: Outcome,
    version: Option<ConfigVersion>,
    message: String,
) -> Response {
    let status = match outcome {
        Outcome::Accepted => StatusCode::OK,
        Outcome::Conflict => StatusCode::CONFLICT,
        Outcome::NoQuorum => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Refused => StatusCode::UNPROCESSABLE_ENTITY,
    };
    let response = json(status, &ChangeResponse { outcome, version, message });
    match outcome {
        Outcome::NoQuorum | Outcome::Unknown => ask_back(response),
        Outcome::Accepted | Outcome::Conflict | Outcome::Refused => response,
    }
}

async fn replicas(handle: &Handle, req: Request) -> Response {
    let req: ReplicaRequest = match read_json(handle, req).await {
        Ok(req) => req,
        Err(response) => return response,
    };
    let request = match (req.action, req.replica) {
        (ReplicaAction::Bootstrap, _) => {
            return bootstrap(handle, req.configuration).await;
        }
        (ReplicaAction::Remove, Some(replica)) => {
            OperatorRequest::Remove(replica)
        }
        (ReplicaAction::Remove, None) => {
            return error(
                StatusCode::BAD_REQUEST,
                "bad_request",
                "`replica` is missing".into(),
            );
        }
    };
    let (done, message) = match handle.submit_operator_request(request).await {
        Some(OperatorReply::Control(ControlReply::Done)) => {
            (true, "done".into())
        }
        Some(OperatorReply::Control(ControlReply::Refused(message)))
        | Some(OperatorReply::Refused(message)) => (false, message),
        Some(OperatorReply::Control(ControlReply::NotLeader(_))) => {
            (false, "no control leader could be reached".into())
        }
        Some(OperatorReply::Control(_) | OperatorReply::Bootstrapped)
        | None => (false, OUTCOME_UNKNOWN.into()),
    };
    replica_response(done, message)
}

/// Creates a control group, and applies its first configuration if there is
/// one.
async fn bootstrap(
    handle: &Handle,
    configuration: Option<Configuration>,
) -> Response {
    // Validated first, so that no group is created if the configuration is
    // not valid.
    let document = match configuration.map(encode_configuration).transpose() {
        Ok(document) => document,
        Err(message) => return replica_response(false, message),
    };
    let group = rand::random::<u64>().max(1);
    match handle
        .submit_operator_request(OperatorRequest::Bootstrap { group })
        .await
    {
        Some(OperatorReply::Bootstrapped) => {}
        Some(OperatorReply::Refused(message)) => {
            return replica_response(false, message);
        }
        Some(OperatorReply::Control(_)) | None => {
            return replica_response(false, OUTCOME_UNKNOWN.into());
        }
    }
    let founded = "the control group was founded";
    let Some(document) = document else {
        return replica_response(true, founded.into());
    };
    let change = Change {
        change_id: format!("bootstrap-{group:016x}"),
        expected_version: ConfigVersion(0),
        document,
    };
    match handle.submit_operator_request(OperatorRequest::Change(change)).await
    {
        Some(OperatorReply::Control(ControlReply::Change(
            ChangeOutcome::Accepted(version),
        ))) => replica_response(
            true,
            format!("{founded}; the configuration is version {version}"),
        ),
        _ => replica_response(
            false,
            format!(
                "{founded}, but its first configuration is not known to be \
                 accepted; apply it again"
            ),
        ),
    }
}

fn replica_response(done: bool, message: String) -> Response {
    let status =
        if done { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json(status, &ReplicaResponse { done, message, control: None })
}
