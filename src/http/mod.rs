/*!
HTTP APIs for callers and operators.

Handlers validate the form of a request, pass it to the daemon and convert the
result to an HTTP response. All other decisions are made elsewhere.
*/

mod caller;
mod operator;
mod rollouts;

pub(crate) use self::{
    caller::router as caller_router, operator::router as operator_router,
};

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use volo_http::{body::Body, response::Response};

/// Builds a JSON response.
fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => build_response(status, "application/json", body.into()),
        Err(_) => build_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            Bytes::from_static(b"response could not be encoded\n"),
        ),
    }
}

/// Builds a plain-text response.
fn text(status: StatusCode, body: impl Into<Bytes>) -> Response {
    build_response(status, "text/plain; charset=utf-8", body.into())
}

/// Builds a response with a content type.
fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
