/*!
The forwarding path in the project's own protocol.

Headers of a request: `x-request-id` identifies it, `x-deadline-ms` holds the
remaining time, and `x-target` the incarnation that is to run it. A target
answers with its `x-signature`; `x-not-run: yes` means that it refused the
request, and `x-not-run: other` that it is another incarnation. A merged
response has `x-signatures` and `x-missing-shards`. If the forwarding table has
teams, callers send their key in `x-team-key`, and targets receive the name of
the team in `x-team`.
*/

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use http_body_util::Full;
use primrosemast_core::{
    forward::{Outcome, Reason, TargetRequest, directory::Directory},
    verdict::Verdict,
};

use super::{
    AnswerHead, CallerHead, CallerRequest, CallerResponse, Malformed,
    Protocol, Rejection, TeamHeaders,
    protocol::{
        failure_outcome, forwarded_request, key_rejection_status,
        read_caller_head,
    },
};
use crate::{
    http_client,
    list_entries::{ListDocument, decode_entries, list_text},
};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
const TARGET: HeaderName = HeaderName::from_static("x-target");
const SIGNATURE: HeaderName = HeaderName::from_static("x-signature");
const SIGNATURES: HeaderName = HeaderName::from_static("x-signatures");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const MISSING_SHARDS: HeaderName = HeaderName::from_static("x-missing-shards");
const TEAM_KEY: HeaderName = HeaderName::from_static("x-team-key");
const TEAM: HeaderName = HeaderName::from_static("x-team");

/// Timeout for connecting to the server of the platform's list, and another
/// one of the same length for reading the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list that is accepted, in bytes.
const MAX_LIST_BYTES: usize = 16 << 20;

/// The project's own protocol.
#[derive(Clone, Debug)]
pub(crate) struct Native {
    /// URL of the platform's list, if one is configured.
    list: Option<Arc<str>>,
}

impl Native {
    pub(crate) fn new(list: Option<&str>) -> Native {
        Native { list: list.map(Arc::from) }
    }
}

impl Protocol for Native {
    fn caller_head(
        &self,
        headers: &HeaderMap,
    ) -> Result<CallerHead, Malformed> {
        read_caller_head(headers, &REQUEST_ID, &DEADLINE_MS)
    }

    fn team_headers(&self) -> TeamHeaders {
        TeamHeaders { reserved: false, key: TEAM_KEY, team: TEAM }
    }

    fn target_request(
        &self,
        req: &CallerRequest,
        target_request: &TargetRequest,
    ) -> http::Request<Full<Bytes>> {
        forwarded_request(req, target_request, DEADLINE_MS, TARGET)
    }

    fn answer_head(
        &self,
        request_id: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Option<AnswerHead> {
        let id = headers.get(REQUEST_ID)?;
        if id.as_bytes() != request_id.as_bytes() {
            return None;
        }
        let signature = headers.get(SIGNATURE).cloned();
        let outcome = match headers.get(NOT_RUN).map(HeaderValue::as_bytes) {
            Some(b"other") => Outcome::Replaced,
            Some(_) => Outcome::Refused,
            None if status.is_success() && signature.is_some() => {
                Outcome::Success
            }
            None => failure_outcome(status),
        };
        Some(AnswerHead {
            outcome,
            signature,
            keep_alive: None,
            names_request: true,
        })
    }

    fn merged_response(
        &self,
        signatures: &[HeaderValue],
        missing: usize,
        records: Vec<u8>,
    ) -> CallerResponse {
        let mut response = CallerResponse::new(Full::new(records.into()));
        let headers = response.headers_mut();
        for signature in signatures {
            headers.append(SIGNATURES, signature.clone());
        }
        headers.insert(MISSING_SHARDS, HeaderValue::from(missing));
        response
    }

    fn rejection_response(&self, rejection: Rejection) -> CallerResponse {
        let Rejection { reason, verdict, retry_after } = rejection;
        let text = format!("{}: {}\n", verdict.as_str(), reason.as_str());
        let mut response = CallerResponse::new(Full::new(text.into()));
        let status = match verdict {
            Verdict::NotRun if reason == Reason::OverLimit => {
                StatusCode::TOO_MANY_REQUESTS
            }
            Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Verdict::MayHaveRun | Verdict::Ran => StatusCode::BAD_GATEWAY,
        };
        *response.status_mut() =
            key_rejection_status(rejection).unwrap_or(status);
        if let Some(after) = retry_after.filter(|_| verdict == Verdict::NotRun)
        {
            let seconds = after.as_secs_f64().ceil() as u64;
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    fn read_directory(
        &self,
    ) -> impl Future<Output = anyhow::Result<Directory>> + 'static {
        let list = self.list.clone();
        async move {
            let url = list.context("no platform list is configured")?;
            read_list(&url).await
        }
    }
}

/// Member of the platform's list that holds the targets.
const TARGETS: &str = "listed_targets";

async fn read_list(url: &str) -> anyhow::Result<Directory> {
    let body = http_client::get(url, READ_TIMEOUT, MAX_LIST_BYTES).await?;
    let text = list_text(&body);
    let list = ListDocument::split(&text, &[TARGETS], &[])?;
    let entries = list.entries(TARGETS).unwrap_or_default();
    Ok(Directory { targets: decode_entries(entries, Ok) })
}
