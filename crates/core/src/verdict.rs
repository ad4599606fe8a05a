/*!
Verdicts on whether a failed request may have run.

Every failure reported to a caller carries a [`Verdict`]. `NotRun` guarantees
that no target has run or will run the request, so the caller can send it
again without the risk of running it twice.
*/

use serde::{Deserialize, Serialize};

/// Knowledge about whether a failed request was executed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No target ran the request, and none will.
    NotRun,
    /// A target may have run the request or may still run it.
    MayHaveRun,
    /// A target ran the request, but its answer cannot be delivered.
    Ran,
}

impl Verdict {
    /// Returns the name used in response bodies and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }
}
