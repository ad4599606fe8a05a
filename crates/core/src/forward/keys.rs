/*!
Requests of callers that identify themselves by a key.

A key is checked when its request arrives and again before each attempt,
because a request may wait for a target, for a delegate or for the end of a
pause of this process. If the deployment bounds the time for which a withdrawn
key stays in use, an attempt also needs a recent confirmation by a control
quorum: it proves that a table that withdraws the key was accepted after the
confirmation was requested, if there is one. The lease is not enough, because it
may come from a majority of the fleet.
*/

use std::time::Duration;

use super::{Forwarder, Reason, request::Progress, table::KeyDigest};
use crate::{
    event::forward as kinds,
    id::{TeamId, Token},
    time::Time,
};

/// Fraction of the withdrawal bound for which a confirmation permits
/// attempts. An instance that loses its way to the control group has a
/// confirmation that is up to a lease old, and is to serve for 0.6 of the
/// bound.
const ATTEMPT_FRACTION: f64 = 0.8;

/// Fraction of the withdrawal bound for which a confirmation permits an
/// attempt to be written to its connection. The remainder covers the way to
/// the target.
const WRITE_FRACTION: f64 = 0.9;

/// Options of requests with a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyOptions {
    /// Time after the acceptance of a table that withdraws a key, after which
    /// no request with that key is sent to a target; `None` if a withdrawal
    /// only has to reach the instances that receive new tables.
    pub withdrawal_bound: Option<Duration>,
}

/// The key and the team of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeyedCaller {
    pub(super) key: KeyDigest,
    pub(super) team: TeamId,
}

/// Permission to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SendPermit {
    /// Time by which the request must be written to its connection, if there
    /// is a limit.
    pub(super) write_by: Option<Time>,
}

impl Forwarder {
    /// Checks that a request may be sent with its key at this time.
    pub(super) fn check_key(
        &self,
        now: Time,
        caller: Option<KeyedCaller>,
    ) -> Result<SendPermit, Reason> {
        if self.is_withdrawn(caller) {
            return Err(Reason::UnknownKey);
        }
        let bound = self.options.keys.withdrawal_bound;
        let (Some(_), Some(bound)) = (caller, bound) else {
            return Ok(SendPermit { write_by: None });
        };
        match self.confirmed_at {
            Some(at) if now < at + bound.mul_f64(ATTEMPT_FRACTION) => {
                let write_by = Some(at + bound.mul_f64(WRITE_FRACTION));
                Ok(SendPermit { write_by })
            }
            _ => Err(Reason::KeyNotConfirmed),
        }
    }

    /// Returns whether the key of a request no longer belongs to its team.
    pub(super) fn is_withdrawn(&self, caller: Option<KeyedCaller>) -> bool {
        caller.is_some_and(|c| self.table.team_of_key(&c.key) != Some(c.team))
    }

    /// Returns the key at this position of the table in force, and its team.
    pub(super) fn keyed_caller(&self, position: u32) -> Option<KeyedCaller> {
        let key = self.table.key_at(position)?;
        let team = self.table.team_of_key(&key)?;
        Some(KeyedCaller { key, team })
    }

    /// Records a confirmation by a control quorum that was requested at `at`.
    pub(super) fn record_confirmation(&mut self, now: Time, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        let Some(bound) = self.options.keys.withdrawal_bound else { return };
        if self.refuses_keys && now < at + bound.mul_f64(ATTEMPT_FRACTION) {
            self.refuses_keys = false;
            let age = now.since(at).as_millis();
            self.log(
                &kinds::KEYS_CONFIRMED,
                format!("confirmed=true confirmed_ms={age}"),
            );
        }
    }

    /// Logs the first refusal for lack of a confirmation.
    pub(super) fn record_unconfirmed(&mut self, now: Time) {
        if self.refuses_keys {
            return;
        }
        self.refuses_keys = true;
        let age = self
            .confirmed_at
            .map_or(-1, |at| now.since(at).as_millis() as i64);
        self.log(
            &kinds::KEYS_CONFIRMED,
            format!("confirmed=false confirmed_ms={age}"),
        );
    }

    /// Ends the shards that wait with a key that the table in force no longer
    /// has. Attempts that are open may complete.
    pub(super) fn end_withdrawn(&mut self, now: Time) {
        let withdrawn: Vec<Token> = self
            .requests
            .iter()
            .filter(|r| self.is_withdrawn(r.caller))
            .filter(|r| {
                r.shards.iter().any(|s| s.progress == Progress::Waiting)
            })
            .map(|r| r.token)
            .collect();
        if withdrawn.is_empty() {
            return;
        }
        let detail =
            format!("version={} requests={}", self.version, withdrawn.len());
        self.log(&kinds::KEYS_WITHDRAWN, detail);
        for token in withdrawn {
            let Some(request) = self.request_mut(token) else { continue };
            for shard in &mut request.shards {
                if shard.progress == Progress::Waiting {
                    shard.progress = Progress::Failed;
                }
            }
            self.try_complete(now, token);
        }
    }
}
