/*!
Limits on the requests of all instances together.

A limit is a token bucket that is divided among the voters of the control
group. A voter grants tokens from its part of the bucket to the instances that
ask for them; these spend one for each request. A granted token ends a short
time after the instance has asked for it, so that what an instance holds that
fails, freezes or is cut off is not lost for long.

[`Shares`] is the reducer. Each instance holds tokens ([`holder`]); a voter is
also a grantor ([`grantor`]), while a majority of the voters confirms the list
of voters to it ([`authority`]). The page `docs/design/fleet-limits.md` has the
reasons and the proof of the bound.
*/

pub mod authority;
pub mod bucket;
pub mod grantor;
pub mod holder;
mod options;
mod reducer;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::{options::ShareOptions, reducer::Shares};
use crate::{
    event::LogEvent,
    forward::table::RateLimit,
    id::{InstanceId, LimitId, Token},
    placement::Candidate,
    time::Time,
};

/// Tokens in messages, in thousandths. Grantors whose part of a limit is less
/// than one token grant fractions, which the holder adds up.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Millitokens(pub u32);

impl Millitokens {
    /// One token.
    pub const ONE: Millitokens = Millitokens(1_000);

    /// Returns the greatest number of millitokens that is not above `tokens`.
    pub fn floor(tokens: f64) -> Millitokens {
        // The addition tolerates floating-point error in sums of fractions,
        // which stays far below a millionth of a token.
        Millitokens((tokens * 1_000.0 + 1e-6) as u32)
    }

    /// Returns the number of tokens.
    pub fn tokens(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// Tokens of one limit that an instance asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The limit.
    pub limit: LimitId,
    /// Number of tokens.
    pub tokens: Millitokens,
}

/// Tokens of one limit that a grantor grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The limit.
    pub limit: LimitId,
    /// Number of tokens.
    pub tokens: Millitokens,
    /// If these are fewer than wanted: time until the grantor probably has
    /// another one, in microseconds.
    pub empty_us: u32,
    /// Whether the grantor has less than half of its tokens left.
    pub low: bool,
}

/// Tokens that a holder gives back because it will not spend them before they
/// end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Returned {
    /// Sequence number of the request to which they were granted.
    pub sequence: u64,
    /// The limit.
    pub limit: LimitId,
    /// Number of tokens.
    pub tokens: Millitokens,
}

/// A message between a holder and a grantor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for tokens.
    Ask {
        /// Matches the reply to the request. Starts at random in each process.
        sequence: u64,
        /// Time for which the sender uses the tokens, counted from when it
        /// sent this message, in microseconds.
        validity_us: u32,
        /// The tokens, at most one entry for each limit.
        wants: Vec<Want>,
    },
    /// Reply of a grantor.
    Granted {
        /// Sequence number of the request.
        sequence: u64,
        /// The tokens, in the order of the request.
        grants: Vec<Grant>,
    },
    /// Reply of an instance that may not grant at present.
    NotGrantor {
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Gives tokens back. They count once for each grant, however often the
    /// message arrives.
    Return(Vec<Returned>),
}

/// A confirmation of the list of voters by a majority of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterList {
    /// Log index of the list, which contains this instance.
    pub index: u64,
    /// Number of voters.
    pub voters: u32,
    /// When the request was sent that was confirmed. No newer list was
    /// committed before.
    pub confirmed_at: Time,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareEvent {
    /// The limits in force, sorted by identifier.
    Limits(Vec<(LimitId, RateLimit)>),
    /// The instances that may be grantors.
    Grantors(Vec<Candidate>),
    /// A majority of the voters has confirmed the list that this instance
    /// knows.
    Confirmed(VoterList),
    /// This instance is not a voter.
    NotVoter,
    /// Whether this instance has a configuration that is confirmed.
    Serving(bool),
    /// A request needs a token of a limit. It waits until this time at the
    /// latest.
    Take(Token, LimitId, Time),
    /// A request no longer waits for a token, or was not run after it had got
    /// one.
    Drop(Token),
    /// A message from another instance.
    Message(InstanceId, Message),
    /// Another instance cannot be reached.
    Unreachable(InstanceId),
    /// The time of [`Shares::next_deadline`] has been reached.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareEffect {
    /// Send a message to another instance.
    Send(InstanceId, Message),
    /// The request has got its token.
    Admit(Token),
    /// The request gets no token.
    Refuse {
        /// The request.
        token: Token,
        /// Time after which it may get one.
        retry_after: Duration,
    },
    /// Write a line to the log.
    Log(LogEvent),
}

/// Number of tokens by what became of them, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareCounts {
    /// Requests that got a token.
    pub spent: u64,
    /// Tokens taken back from requests that were not run.
    pub taken_back: u64,
    /// Requests refused because the grantors had no token left.
    pub refused_empty: u64,
    /// Requests refused because no grantor answered in time.
    pub refused_silent: u64,
    /// Tokens that ended before they were spent or given back.
    pub expired: f64,
    /// Tokens that were given back.
    pub returned: f64,
    /// Tokens that this instance granted.
    pub granted: f64,
    /// Requests for tokens that were sent to grantors.
    pub asked: u64,
}
