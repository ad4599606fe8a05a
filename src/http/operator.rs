//! The operators' API.

use futures::{FutureExt, future::BoxFuture};
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
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

use super::{json, text};
use crate::{
    api::{
        ChangeRequest, ChangeResponse, ErrorResponse, Outcome, ReplicaAction,
        ReplicaRequest, ReplicaResponse,
    },
    daemon::{Handle, Query, View},
    settings::{Problem, check_configuration},
};

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Routes of the operators' listener.
pub(crate) fn router(handle: &Handle) -> Router {
    let status = view(handle, || Query::Status);
    let configuration = view(handle, || Query::Configuration);
    let explain = {
        let handle = handle.clone();
        move |PathParams(id): PathParams<String>| {
            let handle = handle.clone();
            async move { show(handle.view(Query::Explain(id)).await) }
        }
    };
    let change_outcome = {
        let handle = handle.clone();
        move |PathParams(id): PathParams<String>| {
            let handle = handle.clone();
            async move { show(handle.view(Query::Change(id)).await) }
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
        .route("/v1/status", get(status))
        .route("/v1/configuration", get(configuration))
        .route("/v1/changes", post(change))
        .route("/v1/changes/{id}", get(change_outcome))
        .route("/v1/explain/{id}", get(explain))
        .route("/v1/replicas", post(replicas))
        .route("/metrics", get(metrics))
        .route("/health", get(|| async { text(StatusCode::OK, "alive\n") }))
}

/// A handler that shows something of the daemon's state.
fn view(
    handle: &Handle,
    query: fn() -> Query,
) -> impl Fn() -> BoxFuture<'static, Response> + Clone + use<> {
    let handle = handle.clone();
    move || {
        let handle = handle.clone();
        async move { show(handle.view(query()).await) }.boxed()
    }
}

fn show(view: Option<View>) -> Response {
    match view {
        Some(View::Found(value)) => json(StatusCode::OK, &value),
        Some(View::NotFound(message)) => {
            error(StatusCode::NOT_FOUND, "not_found", message)
        }
        None => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopped",
            "the instance stopped".into(),
        ),
    }
}

fn error(status: StatusCode, reason: &str, message: String) -> Response {
    json(status, &ErrorResponse { reason: reason.into(), message })
}

async fn read<T: DeserializeOwned>(req: Request) -> Result<T, Response> {
    let body = Limited::new(req.into_body(), MAX_BODY_BYTES).collect().await;
    let bad = |message| error(StatusCode::BAD_REQUEST, "bad_request", message);
    let body = body.map_err(|e| bad(e.to_string()))?.to_bytes();
    serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))
}

async fn change(handle: &Handle, req: Request) -> Response {
    let req: ChangeRequest = match read(req).await {
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
    let response = propose(handle, req).await;
    let status = match response.outcome {
        Outcome::Accepted => StatusCode::OK,
        Outcome::Conflict => StatusCode::CONFLICT,
        Outcome::NoQuorum => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Refused => StatusCode::UNPROCESSABLE_ENTITY,
    };
    json(status, &response)
}

/// Checks a change and has it committed.
async fn propose(handle: &Handle, req: ChangeRequest) -> ChangeResponse {
    let mut problems = check_configuration(&req.configuration);
    problems.retain(Problem::is_error);
    if !problems.is_empty() {
        let lines: Vec<String> =
            problems.iter().map(ToString::to_string).collect();
        return outcome(Outcome::Refused, None, lines.join("\n"));
    }
    let mut configuration = req.configuration;
    configuration.sort();
    let document = match rmp_serde::to_vec_named(&configuration) {
        Ok(document) => document.into(),
        Err(e) => return outcome(Outcome::Refused, None, e.to_string()),
    };
    let change = Change {
        change_id: req.change_id,
        expected_version: req.expected_version,
        document,
    };
    match handle.operate(OperatorRequest::Change(change)).await {
        Some(OperatorReply::Control(reply)) => control_outcome(reply),
        Some(OperatorReply::Refused(message)) => {
            outcome(Outcome::NoQuorum, None, message)
        }
        Some(OperatorReply::Bootstrapped) | None => {
            outcome(Outcome::Unknown, None, "the instance stopped".into())
        }
    }
}

fn control_outcome(reply: ControlReply) -> ChangeResponse {
    match reply {
        ControlReply::Change(ChangeOutcome::Accepted(version)) => outcome(
            Outcome::Accepted,
            Some(version),
            format!("accepted as version {version}"),
        ),
        ControlReply::Change(ChangeOutcome::Conflict(version)) => outcome(
            Outcome::Conflict,
            Some(version),
            format!("conflict: the current version is {version}"),
        ),
        ControlReply::NotLeader(_) => outcome(
            Outcome::NoQuorum,
            None,
            "no quorum: no control leader could be reached; nothing was \
             proposed"
                .into(),
        ),
        ControlReply::Refused(message) => {
            outcome(Outcome::NoQuorum, None, message)
        }
        ControlReply::Unknown
        | ControlReply::Claim(_)
        | ControlReply::Done => outcome(
            Outcome::Unknown,
            None,
            "no answer from the control leader; resend the same change id"
                .into(),
        ),
    }
}

fn outcome(
    outcome: Outcome,
    version: Option<ConfigVersion>,
    message: String,
) -> ChangeResponse {
    ChangeResponse { outcome, version, message }
}

async fn replicas(handle: &Handle, req: Request) -> Response {
    let req: ReplicaRequest = match read(req).await {
        Ok(req) => req,
        Err(response) => return response,
    };
    let request = match (req.action, req.replica) {
        (ReplicaAction::Bootstrap, _) => {
            OperatorRequest::Bootstrap { group: rand::random::<u64>().max(1) }
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
    let message = match handle.operate(request).await {
        Some(OperatorReply::Bootstrapped) => {
            return first_configuration(handle, req.configuration).await;
        }
        Some(OperatorReply::Control(ControlReply::Done)) => {
            return replica_response("done".into());
        }
        Some(OperatorReply::Control(ControlReply::Refused(message)))
        | Some(OperatorReply::Refused(message)) => message,
        Some(OperatorReply::Control(ControlReply::NotLeader(_))) => {
            "no control leader could be reached".into()
        }
        Some(OperatorReply::Control(_)) | None => {
            "the outcome is not known; look at the status".into()
        }
    };
    error(StatusCode::SERVICE_UNAVAILABLE, "refused", message)
}

/// Applies the first configuration of a new control group, if one was given.
async fn first_configuration(
    handle: &Handle,
    configuration: Option<Configuration>,
) -> Response {
    let founded = "the control group was founded";
    let Some(configuration) = configuration else {
        return replica_response(founded.into());
    };
    let change = ChangeRequest {
        change_id: format!("bootstrap-{:016x}", rand::random::<u64>()),
        expected_version: ConfigVersion(0),
        configuration,
    };
    let ChangeResponse { outcome, message, .. } =
        propose(handle, change).await;
    if outcome == Outcome::Accepted {
        return replica_response(format!("{founded}; {message}"));
    }
    error(
        StatusCode::SERVICE_UNAVAILABLE,
        "configuration_not_accepted",
        format!("{founded}, but not its configuration: {message}"),
    )
}

fn replica_response(message: String) -> Response {
    let response = ReplicaResponse { done: true, message, control: None };
    json(StatusCode::OK, &response)
}
