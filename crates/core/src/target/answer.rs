/*!
Checks of an answer against the request that it should belong to.
*/

use std::fmt::{self, Write};

use super::{TargetAnswer, conn::Sent};
use crate::{id::QueryId, verdict::Verdict};

/// The `x-request-id` of a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId {
    /// The query.
    pub query: QueryId,
    /// Its attempt.
    pub attempt: u32,
    /// The shard.
    pub shard: u32,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.query, self.attempt, self.shard)
    }
}

impl RequestId {
    /// Whether `text` is exactly this identifier.
    pub fn matches(&self, text: &str) -> bool {
        let mut rest = Rest(text);
        write!(rest, "{self}").is_ok() && rest.0.is_empty()
    }
}

/// Text that is left to compare, so that no string has to be built.
struct Rest<'a>(&'a str);

impl Write for Rest<'_> {
    fn write_str(&mut self, part: &str) -> fmt::Result {
        self.0 = self.0.strip_prefix(part).ok_or(fmt::Error)?;
        Ok(())
    }
}

/// What an answer means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Meaning {
    /// A complete answer to this request.
    Answered,
    /// The target does not hold the snapshot or shard.
    NotHeld,
    /// The target has no capacity.
    Shed,
    /// The target has too many connections.
    TooManyConnections,
    /// The target gave up or failed.
    Failed(Verdict),
    /// The answer belongs to another request or is damaged.
    Rejected {
        reason: &'static str,
        verdict: Verdict,
        /// Whether the target has finished this request.
        finished: bool,
    },
}

/// Decides what an answer means for the request that was sent.
pub(crate) fn check(sent: &Sent, answer: &TargetAnswer) -> Meaning {
    let id = RequestId {
        query: sent.query,
        attempt: sent.attempt,
        shard: sent.shard,
    };
    let same_id = id.matches(&answer.request_id);
    // Only successful answers have to name the request. A refusal that names
    // another request says nothing about this one.
    if !same_id && (answer.status == 200 || !answer.request_id.is_empty()) {
        return Meaning::Rejected {
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
                return Meaning::Answered;
            };
            // The target says that it served this very request, which
            // settles the matter for one that must not be repeated.
            let verdict = if sent.repeatable {
                Verdict::MayHaveRun
            } else {
                Verdict::Ran
            };
            Meaning::Rejected { reason, verdict, finished: true }
        }
        409 => Meaning::NotHeld,
        429 => Meaning::TooManyConnections,
        503 => Meaning::Shed,
        _ => Meaning::Failed(answer.verdict.unwrap_or(Verdict::MayHaveRun)),
    }
}
