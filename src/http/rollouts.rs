//! The operators' API for roll-outs.

use std::time::Duration;

use http::StatusCode;
use primrosemast_core::rollout::Rollout;
use volo_http::{
    request::Request,
    response::Response,
    server::{
        param::PathParams,
        route::{Router, get, post},
    },
};

use super::{
    json,
    operator::{error, read_json, unavailable},
};
use crate::{
    api::{RolloutRequest, RolloutResponse},
    daemon::{Handle, RolloutDecision},
};

/// Returns the routes for roll-outs.
pub(super) fn router(handle: &Handle) -> Router {
    let start = {
        let handle = handle.clone();
        move |req: Request| {
            let handle = handle.clone();
            async move { start(&handle, req).await }
        }
    };
    let read = {
        let handle = handle.clone();
        move |PathParams(service): PathParams<String>| {
            let handle = handle.clone();
            async move { read(&handle, &service).await }
        }
    };
    let abort = {
        let handle = handle.clone();
        move |PathParams(service): PathParams<String>| {
            let handle = handle.clone();
            async move {
                let decision = handle.abort_rollout(&service).await;
                decision_response(&service, decision)
            }
        }
    };
    Router::new()
        .route("/v1/rollouts", post(start))
        .route("/v1/rollouts/{service}", get(read))
        .route("/v1/rollouts/{service}/abort", post(abort))
}

async fn start(handle: &Handle, req: Request) -> Response {
    let req: RolloutRequest = match read_json(handle, req).await {
        Ok(req) => req,
        Err(response) => return response,
    };
    let RolloutRequest { service, version, duration_ms } = req;
    let duration = Duration::from_millis(duration_ms);
    let decision = handle.start_rollout(&service, &version, duration).await;
    match decision {
        RolloutDecision::Done(rollout) if rollout.version != version => error(
            StatusCode::CONFLICT,
            "withdrawn",
            format!("version {version:?} was taken back"),
        ),
        decision => decision_response(&service, decision),
    }
}

async fn read(handle: &Handle, service: &str) -> Response {
    match handle.rollout(service).await {
        Ok(Some(rollout)) => found(rollout),
        Ok(None) => error(
            StatusCode::NOT_FOUND,
            "not_found",
            format!("no roll-out of {service:?} was ordered"),
        ),
        Err(reason) => unavailable("not_sure", reason),
    }
}

fn found(rollout: Rollout) -> Response {
    json(StatusCode::OK, &RolloutResponse { rollout })
}

/// Converts the result of a request into a response.
fn decision_response(service: &str, decision: RolloutDecision) -> Response {
    match decision {
        RolloutDecision::Done(rollout) => found(rollout),
        RolloutDecision::Conflict(Some(rollout)) => error(
            StatusCode::CONFLICT,
            "conflict",
            format!(
                "the roll-out of {service:?} to {:?} is {}",
                rollout.version,
                rollout.stage.as_str()
            ),
        ),
        RolloutDecision::Conflict(None) => error(
            StatusCode::NOT_FOUND,
            "not_found",
            format!("no roll-out of {service:?} was ordered"),
        ),
        RolloutDecision::UnknownService => error(
            StatusCode::NOT_FOUND,
            "unknown_service",
            format!("there is no service {service:?}"),
        ),
        RolloutDecision::Invalid(reason) => {
            error(StatusCode::BAD_REQUEST, "bad_request", reason)
        }
        RolloutDecision::NotNow(reason) => {
            error(StatusCode::SERVICE_UNAVAILABLE, "not_now", reason)
        }
    }
}
