/*!
Validation of an answer against the request that it must belong to.
*/

use std::fmt::{self, Write};

use super::{TargetAnswer, conn::SentRequest};
use crate::{id::QueryId, verdict::Verdict};

/// Value of the `x-request-id` header of a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId {
    /// Query of the request.
    pub query: QueryId,
    /// Attempt of the query.
    pub attempt: u32,
    /// Shard that is searched.
    pub shard: u32,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.query, self.attempt, self.shard)
    }
}

impl RequestId {
    /// Whether `text` is exactly the text form of this identifier.
    pub fn matches(&self, text: &str) -> bool {
        let mut unmatched = Unmatched(text);
        write!(unmatched, "{self}").is_ok() && unmatched.0.is_empty()
    }
}

/// The end of an expected text, after the part that the output has matched so
/// far. Compares a formatted value with a text without allocating a string.
struct Unmatched<'a>(&'a str);

impl Write for Unmatched<'_> {
    fn write_str(&mut self, part: &str) -> fmt::Result {
        self.0 = self.0.strip_prefix(part).ok_or(fmt::Error)?;
        Ok(())
    }
}

/// Classification of an answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    /// A complete and valid answer to this request.
    Answered,
    /// The target does not hold the snapshot or shard.
    NotHeld,
    /// The target has no capacity.
    Shed,
    /// The target has too many connections.
    TooManyConnections,
    /// The target failed or aborted the request.
    Failed(Verdict),
    /// The answer belongs to another request or is damaged.
    Rejected {
        reason: &'static str,
        verdict: Verdict,
        /// Whether the target no longer runs this request.
        finished: bool,
    },
}

/// Classifies an answer to the request that was sent.
pub(crate) fn classify(
    sent: &SentRequest,
    answer: &TargetAnswer,
) -> AnswerKind {
    let id = RequestId {
        query: sent.query,
        attempt: sent.attempt,
        shard: sent.shard,
    };
    let same_id = id.matches(&answer.request_id);
    // Only successful answers must carry the request identifier. A refusal
    // with the identifier of another request does not refer to this one.
    if !same_id && (answer.status == 200 || !answer.request_id.is_empty()) {
        return AnswerKind::Rejected {
            reason: "request_id",
            verdict: Verdict::MayHaveRun,
            finished: false,
        };
    }
    match answer.status {
        200 => {
            let reason = if answer.snapshot != Some(sent.snapshot) {
                "snapshot"
            } else if answer.shard != Some(sent.shard) {
                "shard"
            } else if answer.checksum != Some(answer.body_checksum) {
                "checksum"
            } else {
                return AnswerKind::Answered;
            };
            // The target states that it served this very request, so one
            // that must not be repeated has certainly run.
            let verdict = if sent.repeatable {
                Verdict::MayHaveRun
            } else {
                Verdict::Ran
            };
            AnswerKind::Rejected { reason, verdict, finished: true }
        }
        409 => AnswerKind::NotHeld,
        429 => AnswerKind::TooManyConnections,
        503 => AnswerKind::Shed,
        _ => AnswerKind::Failed(answer.verdict.unwrap_or(Verdict::MayHaveRun)),
    }
}
