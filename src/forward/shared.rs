//! Conversion of requests and answers that instances exchange when one
//! delegates shards of a request to another.

use std::{str::FromStr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use primrosemast_core::forward::shared::Content;

use super::{CallerHead, CallerRequest, TargetAnswer, end_to_end_headers};

/// Encodes a caller's request for a delegate.
pub(super) fn encode_request(req: &CallerRequest) -> Content {
    let headers = end_to_end_headers(&req.headers)
        .iter()
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect();
    Content {
        request_id: req.head.request_id.clone(),
        method: req.method.as_str().to_owned(),
        uri: req.uri.to_string(),
        headers,
        body: req.body.clone(),
    }
}

/// Decodes the request that a root has sent to this delegate.
///
/// # Errors
///
/// Fails if a method, URI or header is not valid here, which can happen if
/// the root runs another release.
pub(super) fn decode_request(
    content: Content,
) -> anyhow::Result<CallerRequest> {
    let mut headers = HeaderMap::with_capacity(content.headers.len());
    for (name, value) in content.headers {
        let name = HeaderName::from_str(&name)?;
        headers.append(name, HeaderValue::from_maybe_shared(value)?);
    }
    Ok(CallerRequest {
        head: CallerHead {
            request_id: content.request_id,
            remaining: None::<Duration>,
        },
        method: Method::from_str(&content.method)?,
        uri: Uri::from_str(&content.uri)?,
        headers,
        body: content.body,
    })
}

/// Converts the merged result of a delegate into the form of a target's
/// answer.
pub(super) fn delegate_answer(
    signatures: Vec<Bytes>,
    records: Bytes,
) -> TargetAnswer {
    let signatures = signatures
        .into_iter()
        .filter_map(|s| HeaderValue::from_maybe_shared(s).ok())
        .collect();
    TargetAnswer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        signatures,
        body: records,
    }
}
