/*!
HTTP towards callers and operators.

Handlers check the form of a request, hand it to the daemon, and turn the
response into HTTP. They decide nothing else.
*/

mod caller;
mod operator;

pub(crate) use self::{
    caller::router as caller_router, operator::router as operator_router,
};

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use volo_http::{body::Body, response::Response};

/// A JSON response.
fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => respond(status, "application/json", body.into()),
        Err(_) => respond(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            Bytes::from_static(b"response could not be encoded\n"),
        ),
    }
}

/// A response in plain text.
fn text(status: StatusCode, body: impl Into<Bytes>) -> Response {
    respond(status, "text/plain; charset=utf-8", body.into())
}

fn respond(
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
