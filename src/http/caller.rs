//! The callers' API.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use primrosemast_core::{
    held::Holder,
    query::{Answer, CallerRequest, CallerResponse, Failure, FailureReason},
    verdict::Verdict,
};
use serde::{Serialize, de::IgnoredAny};
use serde_json::value::RawValue;
use tokio::time::timeout;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{
        param::PathParams,
        route::{Router, get, post},
    },
};

use super::{json, text};
use crate::{daemon::Handle, held::ReadError};

/// Longest request id or key that is accepted, in bytes. Request ids are
/// stored in the replicated state, so their size has to be bounded.
const MAX_ID_BYTES: usize = 200;

/// Time for the body of a request; no deadline is longer.
const BODY_TIMEOUT: Duration = Duration::from_millis(MAX_DEADLINE_MS);

/// Longest deadline that is accepted, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Returns the routes of the callers' API.
pub(crate) fn router(handle: &Handle) -> Router {
    let query = {
        let handle = handle.clone();
        move |PathParams(route): PathParams<String>, req: Request| {
            let handle = handle.clone();
            async move {
                let mut response = handle_query(&handle, route, req).await;
                if handle.draining() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                response
            }
        }
    };
    let ready = {
        let handle = handle.clone();
        move || {
            let ready = handle.ready();
            async move {
                if ready {
                    text(StatusCode::OK, "ready\n")
                } else {
                    text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
                }
            }
        }
    };
    Router::new()
        .route("/v1/routes/{route}/query", post(query))
        .route("/health", get(|| async { text(StatusCode::OK, "alive\n") }))
        .route("/ready", get(ready))
}

async fn handle_query(
    handle: &Handle,
    route: String,
    req: Request,
) -> Response {
    let (parts, body) = req.into_parts();
    let req = match parse_request(handle, route, &parts.headers, body).await {
        Ok(req) => req,
        Err(failure) => return failure_response(&failure),
    };
    match handle.submit_query(req).await {
        Some(CallerResponse::Answer(answer)) => answer_response(&answer),
        Some(CallerResponse::Failure(failure)) => failure_response(&failure),
        // The process is stopping and no longer runs its reducer.
        None => failure_response(&Failure {
            request_id: String::new(),
            verdict: Verdict::MayHaveRun,
            this_send: Verdict::MayHaveRun,
            reason: FailureReason::NotServing,
            message: "the instance stopped".into(),
        }),
    }
}

/// Validates the form of a request. Nothing has been sent to a target yet, so
/// this send did not run. An earlier send of the same id may have, if the
/// route is not known to be repeatable.
async fn parse_request(
    handle: &Handle,
    route: String,
    headers: &HeaderMap,
    body: Body,
) -> Result<CallerRequest, Failure> {
    let request_id = parse_id_header(headers, "x-request-id")?;
    let may_be_resend = request_id.is_some() && !handle.is_repeatable(&route);
    let fail = |reason, message: &str| Failure {
        request_id: request_id.clone().unwrap_or_default(),
        verdict: if may_be_resend {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        },
        this_send: Verdict::NotRun,
        reason,
        message: message.into(),
    };
    let key = parse_id_header(headers, "x-key")?;
    let deadline_us = match headers.get("x-deadline-ms") {
        None => None,
        Some(value) => {
            let ms = value.to_str().ok().and_then(|s| s.parse::<u64>().ok());
            match ms {
                Some(ms @ 1..=MAX_DEADLINE_MS) => Some(ms * 1_000),
                _ => {
                    return Err(fail(
                        FailureReason::BadRequest,
                        "x-deadline-ms must be a whole number of \
                         milliseconds from 1 to 600000",
                    ));
                }
            }
        }
    };
    let limit = handle.max_body_bytes();
    let read = handle.account().read(Holder::Callers, body, limit);
    let body = match timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(ReadError::TooLong(limit))) => {
            return Err(fail(
                FailureReason::BodyTooLarge,
                &format!("the body exceeds {limit} bytes"),
            ));
        }
        Ok(Err(ReadError::NoRoom)) => {
            return Err(fail(
                FailureReason::Overloaded,
                "there is no room for the body now",
            ));
        }
        Ok(Err(ReadError::Broken(_))) => {
            return Err(fail(
                FailureReason::BadRequest,
                "the body could not be read",
            ));
        }
        Err(_) => {
            return Err(fail(
                FailureReason::BadRequest,
                "the body did not arrive in time",
            ));
        }
    };
    if serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        return Err(fail(FailureReason::BadRequest, "the body is not JSON"));
    }
    Ok(CallerRequest { route, request_id, deadline_us, key, body })
}

/// Reads a header that holds a request id or a key.
fn parse_id_header(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<String>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(id) if (1..=MAX_ID_BYTES).contains(&id.len()) => {
            Ok(Some(id.to_owned()))
        }
        _ => Err(Failure {
            request_id: String::new(),
            verdict: Verdict::NotRun,
            this_send: Verdict::NotRun,
            reason: FailureReason::BadRequest,
            message: format!(
                "{name} must be 1 to {MAX_ID_BYTES} visible ASCII characters"
            ),
        }),
    }
}

fn answer_response(answer: &Answer) -> Response {
    #[derive(Serialize)]
    struct Body<'a> {
        request_id: &'a str,
        snapshot: primrosemast_core::snapshot::Snapshot,
        coverage: &'a primrosemast_core::query::Coverage,
        results: Vec<ResultBody<'a>>,
    }

    #[derive(Serialize)]
    struct ResultBody<'a> {
        shard: u32,
        body: EmbeddedBody<'a>,
    }

    let results = answer
        .results
        .iter()
        .map(|r| ResultBody {
            shard: r.shard,
            body: EmbeddedBody::new(&r.body),
        })
        .collect();
    json(
        StatusCode::OK,
        &Body {
            request_id: &answer.request_id,
            snapshot: answer.snapshot,
            coverage: &answer.coverage,
            results,
        },
    )
}

/// The body of a target's answer: embedded as JSON if it is valid JSON, as a
/// string otherwise.
#[derive(Serialize)]
#[serde(untagged)]
enum EmbeddedBody<'a> {
    Json(&'a RawValue),
    Text(std::borrow::Cow<'a, str>),
}

impl EmbeddedBody<'_> {
    fn new(body: &Bytes) -> EmbeddedBody<'_> {
        match serde_json::from_slice(body) {
            Ok(raw) => EmbeddedBody::Json(raw),
            Err(_) => EmbeddedBody::Text(String::from_utf8_lossy(body)),
        }
    }
}

fn failure_response(failure: &Failure) -> Response {
    let status = match failure.reason {
        FailureReason::UnknownRoute => StatusCode::NOT_FOUND,
        FailureReason::MissingRequestId | FailureReason::BadRequest => {
            StatusCode::BAD_REQUEST
        }
        FailureReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        FailureReason::DuplicateRequestId => StatusCode::CONFLICT,
        FailureReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        FailureReason::NotServing
        | FailureReason::NoReplica
        | FailureReason::NoQuorum => StatusCode::SERVICE_UNAVAILABLE,
        FailureReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        FailureReason::TargetFailed => StatusCode::BAD_GATEWAY,
    };
    json(status, failure)
}
