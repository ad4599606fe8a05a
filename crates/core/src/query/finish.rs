/*!
The end of a query: answers, failures and settled claims.
*/

use std::mem;

use bytes::Bytes;

use crate::{
    event::query as events,
    query::{
        active::{ActiveQuery, Phase, Plan, TryState},
        api::{
            Answer, CallerResponse, Coverage, Failure, FailureReason,
            MissingShard, QueryEffect,
        },
        root::Queries,
    },
    time::Time,
    verdict::Verdict,
};

/// Verdict of a request id whose claim is not decided: an earlier send of the
/// id, also through another instance, may have claimed it and run.
pub(super) const UNCLAIMED_VERDICT: Verdict = Verdict::MayHaveRun;

impl Queries {
    /// Answers a query with the results so far, or fails it if there are none.
    pub(super) fn finish(&mut self, now: Time, mut query: Box<ActiveQuery>) {
        let answered = query.plan.as_ref().map_or(0, |p| p.answered);
        if answered == 0 {
            let reason = failure_reason(&query, now);
            let verdict = query.verdict();
            if query.claim.is_some() {
                self.settle(&query, verdict);
            }
            return self.fail(now, query, reason, verdict);
        }
        if query.claim.is_some() {
            self.settle(&query, Verdict::Ran);
        }
        if let Some(token) = query.token
            && let Some(plan) = &query.plan
        {
            let coverage = coverage(plan);
            let snapshot = plan.snapshot;
            let mut results = mem::take(&mut query.results);
            results.sort_unstable_by_key(|r| r.shard);
            let id = query.id;
            let (asked, answered) = (coverage.asked, coverage.answered);
            self.log(&events::QUERY_ANSWERED, || {
                format!(
                    "query={id} snapshot={}/{} asked={asked} \
                     answered={answered}",
                    snapshot.index_version, snapshot.partition_map
                )
            });
            let answer = Answer {
                request_id: query.request_id.clone(),
                snapshot,
                coverage,
                results,
            };
            let response = CallerResponse::Answer(answer);
            self.out.push(QueryEffect::Respond(token, response));
        }
        self.end(now, query);
    }

    /// Ends a query at its deadline.
    pub(super) fn expire(&mut self, now: Time, query: Box<ActiveQuery>) {
        if query.phase == Phase::Claiming {
            // Nothing was sent. If the claim is granted later, it is released.
            self.expect_late_claim(&query);
            let reason = FailureReason::DeadlineExceeded;
            return self.fail(now, query, reason, UNCLAIMED_VERDICT);
        }
        self.finish(now, query);
    }

    /// Ends a query with a failure and reports it to the caller. `verdict` is
    /// that of the request id.
    pub(super) fn fail(
        &mut self,
        now: Time,
        mut query: Box<ActiveQuery>,
        reason: FailureReason,
        verdict: Verdict,
    ) {
        query.failure = Some((reason, verdict));
        let this_send = query.verdict();
        if let Some(token) = query.token {
            let request_id = query.request_id.clone();
            self.log(&events::QUERY_REFUSED, || {
                format!(
                    "request={request_id:?} reason={reason:?} verdict={} \
                     this_send={}",
                    verdict.as_str(),
                    this_send.as_str()
                )
            });
            let failure = Failure {
                request_id,
                verdict,
                this_send,
                reason,
                message: message(reason, verdict, this_send),
            };
            let response = CallerResponse::Failure(failure);
            self.out.push(QueryEffect::Respond(token, response));
        }
        self.end(now, query);
    }

    /// Records the verdict of a claimed request in the durable state.
    pub(super) fn settle(&mut self, query: &ActiveQuery, verdict: Verdict) {
        if let Some(claim) = &query.claim {
            self.out.push(QueryEffect::Settle {
                query: query.id,
                request_id: claim.clone(),
                verdict,
            });
        }
    }

    /// Cancels the open requests of a query, removes it, and keeps it for
    /// `explain`.
    pub(super) fn end(&mut self, now: Time, mut query: Box<ActiveQuery>) {
        self.cancel_open(now, &mut query);
        self.remove(&query);
        query.ended = Some(now);
        query.body = Bytes::new();
        query.results = Vec::new();
        self.recent.push(query, &self.options);
    }
}

/// Returns the coverage of an answer from a plan.
fn coverage(plan: &Plan) -> Coverage {
    let missing = plan
        .shards
        .iter()
        .enumerate()
        .filter(|(_, shard)| !shard.answered)
        .map(|(i, shard)| MissingShard {
            shard: shard.shard,
            reason: plan.missing_reason(i),
        })
        .collect();
    Coverage {
        asked: plan.shards.len() as u32,
        answered: plan.answered,
        missing,
    }
}

/// Returns the reason for which a query without any result fails.
fn failure_reason(query: &ActiveQuery, now: Time) -> FailureReason {
    if now >= query.deadline {
        return FailureReason::DeadlineExceeded;
    }
    let plans = query.dropped_plans.iter().chain(&query.plan);
    let states = || plans.clone().flat_map(|p| &p.tries).map(|t| t.state);
    if states().any(|s| matches!(s, TryState::Failed(_))) {
        FailureReason::TargetFailed
    } else if states().any(|s| s == TryState::Shed) {
        FailureReason::Overloaded
    } else if states().any(|s| s == TryState::Expired) {
        FailureReason::DeadlineExceeded
    } else {
        FailureReason::NoReplica
    }
}

/// Returns the message to the caller.
fn message(
    reason: FailureReason,
    verdict: Verdict,
    this_send: Verdict,
) -> String {
    let text = reason_text(reason);
    if this_send == Verdict::NotRun && verdict == UNCLAIMED_VERDICT {
        format!("{text}; an earlier send of the request id may have run")
    } else {
        text.to_owned()
    }
}

/// Returns the text for a reason.
fn reason_text(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::UnknownRoute => "no such route",
        FailureReason::MissingRequestId => "the route needs a request id",
        FailureReason::BadRequest => "the request is malformed",
        FailureReason::BodyTooLarge => "the body is too large",
        FailureReason::NotServing => "not accepting new requests",
        FailureReason::Overloaded => "every target refused for lack of room",
        FailureReason::NoReplica => "no usable target holds the index",
        FailureReason::DuplicateRequestId => "the request id was used before",
        FailureReason::NoQuorum => "the request id could not be claimed",
        FailureReason::DeadlineExceeded => "the deadline passed",
        FailureReason::TargetFailed => "the targets failed",
    }
}
