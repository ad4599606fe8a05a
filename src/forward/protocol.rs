//! The interface of a wire protocol of the forwarding path, and helpers that
//! its implementations share.

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

/// Metadata that a caller sends in the headers of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// Identifier of this request.
    pub request_id: Arc<str>,
    /// Time that the caller still waits for the response; `None` if it does
    /// not send one.
    pub remaining: Option<Duration>,
}

/// A caller's complete request, to be forwarded to targets.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Metadata from the headers.
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

/// Metadata from the status and headers of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// The target's signature under its answer.
    pub signature: Option<HeaderValue>,
    /// Time for which the target keeps the connection open when it is idle;
    /// `None` if it does not send one.
    pub keep_alive: Option<Duration>,
    /// Whether the answer carries the identifier of its request. One that
    /// does not may belong to an earlier request on its connection.
    pub names_request: bool,
}

/// A target's complete answer.
#[derive(Clone, Debug)]
pub struct TargetAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Signatures of the targets whose records are in the body: the target's
    /// own, or those of the answers that a delegate has merged.
    pub signatures: Vec<HeaderValue>,
    /// The complete body.
    pub body: Bytes,
}

/// The rejection of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request is rejected.
    pub reason: Reason,
    /// Whether the request may have run on a target.
    pub verdict: Verdict,
    /// Time after which the caller may try again.
    pub retry_after: Option<Duration>,
}

/// Headers by which callers and targets learn about teams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamHeaders {
    /// Whether they are removed from requests while the forwarding table has
    /// no teams, because a table with teams may be on its way.
    pub reserved: bool,
    /// Header with a caller's key.
    pub key: HeaderName,
    /// Header with the name of the caller's team, sent to targets.
    pub team: HeaderName,
}

/// A caller's request with invalid headers, and what is wrong with them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

/// A wire protocol of the forwarding path, towards callers and targets.
pub trait Protocol: Clone + std::marker::Send + Sync + 'static {
    /// Parses the metadata in a caller's headers.
    ///
    /// # Errors
    ///
    /// Fails if a required header is missing or one is invalid.
    fn caller_head(
        &self,
        headers: &HeaderMap,
    ) -> Result<CallerHead, Malformed>;

    /// Returns the headers by which callers and targets learn about teams.
    fn team_headers(&self) -> TeamHeaders;

    /// Builds the HTTP request for an attempt at a target.
    fn target_request(
        &self,
        req: &CallerRequest,
        target_request: &TargetRequest,
    ) -> http::Request<Full<Bytes>>;

    /// Parses the metadata of a target's answer. Returns `None` if the answer
    /// carries another request identifier.
    fn answer_head(
        &self,
        request_id: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Option<AnswerHead>;

    /// Builds the response from the merged records of several answers;
    /// `missing` is the number of shards without an answer.
    fn merged_response(
        &self,
        signatures: &[HeaderValue],
        missing: usize,
        records: Vec<u8>,
    ) -> CallerResponse;

    /// Builds the response to a rejected request.
    fn rejection_response(&self, rejection: Rejection) -> CallerResponse;

    /// Fetches the platform's list of targets.
    fn read_directory(
        &self,
    ) -> impl Future<Output = anyhow::Result<Directory>> + 'static;
}

/// Parses the request identifier from header `id`, and the remaining time in
/// milliseconds from header `deadline_ms` if it is present.
///
/// # Errors
///
/// Fails if the identifier is missing, empty or not text, or if the time is
/// not a number.
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

/// Status of the rejection of a caller whose key is missing or unknown.
/// Returns `None` for other rejections.
pub fn key_rejection_status(rejection: Rejection) -> Option<StatusCode> {
    (rejection.reason == Reason::UnknownKey
        && rejection.verdict == Verdict::NotRun)
        .then_some(StatusCode::UNAUTHORIZED)
}

/// Statuses by which callers are told that their request has not run.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Returns the outcome of an answer that is neither a signed success nor a
/// refusal. The caller is not given a status that means either: the request
/// may have run, and its answer may be damaged.
pub fn failure_outcome(status: StatusCode) -> Outcome {
    if status.is_success() || NOT_RUN_STATUSES.contains(&status) {
        Outcome::Broken
    } else {
        Outcome::Failure
    }
}

/// Hop-by-hop headers, which concern one connection only; sorted.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// Returns the end-to-end headers: all but the hop-by-hop ones and those
/// that the `Connection` header names.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop_by_hop =
            HOP_BY_HOP_HEADERS.binary_search(&name.as_str()).is_ok()
                || connection_options.iter().any(|n| n == name.as_str());
        if !hop_by_hop {
            kept.append(name, value.clone());
        }
    }
    kept
}

/// Builds the request to a target from the caller's. Header `deadline` gets
/// the remaining time in milliseconds, and header `target` the name of the
/// incarnation that is to run the request.
pub fn forwarded_request(
    req: &CallerRequest,
    request: &TargetRequest,
    deadline: HeaderName,
    target: HeaderName,
) -> http::Request<Full<Bytes>> {
    let mut headers = end_to_end_headers(&req.headers);
    // The body has been received in full, so `Expect` no longer applies, and
    // hyper sets the length again when it sends the request.
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let remaining_ms = request.budget.as_millis() as u64;
    headers.insert(deadline, HeaderValue::from(remaining_ms));
    match HeaderValue::from_str(&request.name) {
        Ok(name) => {
            headers.insert(target, name);
        }
        Err(e) => log::error!("invalid target name {:?}: {e}", request.name),
    }
    let mut outgoing = http::Request::new(Full::new(req.body.clone()));
    *outgoing.method_mut() = req.method.clone();
    *outgoing.uri_mut() = req.uri.clone();
    *outgoing.headers_mut() = headers;
    outgoing
}
