//! What differs between the protocols that the forwarding path speaks.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header,
};
use http_body_util::Full;
use primrosemast_core::{
    forward::{Outcome, Reason, TargetRequest, directory::Directory},
    verdict::Verdict,
};

/// A response to a caller.
pub type CallerResponse = http::Response<Full<Bytes>>;

/// What a caller says of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// Identifier of this request.
    pub request_id: Arc<str>,
    /// Time that the caller waits; `None` if it does not say.
    pub remaining: Option<Duration>,
}

/// A caller's request as it goes on to targets.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// What the caller says of it.
    pub head: CallerHead,
    /// Method, unchanged.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// What a target's answer says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// How the attempt has ended.
    pub outcome: Outcome,
    /// The target's signature under its answer.
    pub signature: Option<HeaderValue>,
    /// Time for which the target keeps the connection when it is idle;
    /// `None` if it does not say.
    pub keep_alive: Option<Duration>,
}

/// A target's complete answer.
#[derive(Clone, Debug)]
pub struct TargetAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Signatures of the targets whose records are in the body: the target's
    /// own, or those that a delegate has merged.
    pub signatures: Vec<HeaderValue>,
    /// Its complete body.
    pub body: Bytes,
}

/// A request that is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

/// Why a caller's request cannot be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

/// Translates between the forwarding path and the bytes of one protocol.
pub trait Protocol: Clone + std::marker::Send + Sync + 'static {
    /// Reads what the caller says of its request.
    ///
    /// # Errors
    ///
    /// Fails if the headers cannot be understood.
    fn caller_head(
        &self,
        headers: &HeaderMap,
    ) -> Result<CallerHead, Malformed>;

    /// Builds the request to a target.
    fn target_request(
        &self,
        req: &CallerRequest,
        send: &TargetRequest,
    ) -> http::Request<Full<Bytes>>;

    /// Reads what a target's answer to the request says of itself; `None`
    /// if it is the answer to another request.
    fn answer_head(
        &self,
        request_id: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Option<AnswerHead>;

    /// The response that merges records of several answers.
    fn merged(
        &self,
        signatures: &[HeaderValue],
        missing: usize,
        records: Vec<u8>,
    ) -> CallerResponse;

    /// The response to a request that is not served.
    fn rejection(&self, rejection: Rejection) -> CallerResponse;

    /// Reads the platform's list of targets.
    fn read_directory(
        &self,
    ) -> impl Future<Output = anyhow::Result<Directory>> + 'static;
}

/// Reads the identifier and the remaining time, in milliseconds, from headers
/// of these names.
///
/// # Errors
///
/// Fails if there is no identifier, or if the time is not a number.
pub fn read_caller_head(
    headers: &HeaderMap,
    id: &HeaderName,
    deadline_ms: &HeaderName,
) -> Result<CallerHead, Malformed> {
    let request_id = headers.get(id).and_then(|v| v.to_str().ok());
    let Some(request_id) = request_id.filter(|id| !id.is_empty()) else {
        return Err(Malformed(format!("{id} is missing")));
    };
    let remaining = match headers.get(deadline_ms) {
        Some(value) => Some(read_ms(value).ok_or_else(|| {
            Malformed(format!(
                "{deadline_ms} is not a number of milliseconds: {value:?}"
            ))
        })?),
        None => None,
    };
    Ok(CallerHead { request_id: request_id.into(), remaining })
}

fn read_ms(value: &HeaderValue) -> Option<Duration> {
    let ms: u64 = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// Headers that concern one connection only, sorted.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers that concern the message and not only its connection.
pub fn message_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let of_connection =
            CONNECTION_HEADERS.binary_search(&name.as_str()).is_ok()
                || named.iter().any(|n| n == name.as_str());
        if !of_connection {
            kept.append(name, value.clone());
        }
    }
    kept
}

/// A caller's request as it goes on to a target, with the time that is left
/// in milliseconds and the name of the incarnation that is to run it.
pub fn forwarded_request(
    req: &CallerRequest,
    send: &TargetRequest,
    deadline: HeaderName,
    target: HeaderName,
) -> http::Request<Full<Bytes>> {
    let mut headers = message_headers(&req.headers);
    // The body is complete, and its length is set when it is sent.
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let left = send.budget.as_millis() as u64;
    headers.insert(deadline, HeaderValue::from(left));
    match HeaderValue::from_str(&send.name) {
        Ok(name) => {
            headers.insert(target, name);
        }
        Err(e) => log::error!("target name {:?}: {e}", send.name),
    }
    let mut outgoing = http::Request::new(Full::new(req.body.clone()));
    *outgoing.method_mut() = req.method.clone();
    *outgoing.uri_mut() = req.uri.clone();
    *outgoing.headers_mut() = headers;
    outgoing
}
