//! The end of requests: responses, failures and expiry.

use std::time::Duration;

use super::{
    ForwardEffect, Forwarder, Reason, Response,
    request::{Origin, Progress, Request},
    table::Destination,
};
use crate::{
    event::{EventKind, forward as kinds},
    id::{AttemptId, RouteId, Token},
    time::Time,
    verdict::Verdict,
};

/// Retry delay in the rejection of a failed request.
const RETRY_AFTER: Duration = Duration::from_millis(100);

impl Forwarder {
    /// Ends a request that has enough answers, or that can no longer get
    /// enough.
    pub(super) fn try_complete(&mut self, now: Time, token: Token) {
        let Some(request) = self.request(token) else { return };
        if request.origin != Origin::Caller {
            self.report_task_progress(now, token);
            return;
        }
        let (answered, pending) =
            (request.answered_shards(), request.pending_shards());
        let required = request.route.required_shards();
        if answered + pending < required {
            let reason = if self.is_withdrawn(request.caller) {
                Reason::UnknownKey
            } else {
                Reason::TargetFailed
            };
            self.fail(now, token, reason);
        } else if pending == 0
            || (now >= request.soft_deadline && answered >= required)
        {
            self.respond(now, token);
        }
    }

    /// Ends every request with the answers that it has. A request that a
    /// target may be working on is not reported as not run.
    pub(super) fn end_requests(&mut self, now: Time) {
        for unadmitted in std::mem::take(&mut self.unadmitted) {
            let token = unadmitted.token;
            self.out.push(ForwardEffect::DropShare(token));
            let reason = Reason::ShuttingDown;
            self.reject(token, reason, Verdict::NotRun, Some(RETRY_AFTER));
        }
        let tokens: Vec<Token> =
            self.requests.iter().map(|r| r.token).collect();
        for token in tokens {
            if let Some(request) = self.request_mut(token) {
                request.hard_deadline = now;
            }
            self.end(now, token, Reason::ShuttingDown);
        }
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn expire(&mut self, now: Time, token: Token) {
        self.end(now, token, Reason::Deadline);
    }

    /// Responds with the answers of a request, or rejects it for `reason` if
    /// they are too few.
    fn end(&mut self, now: Time, token: Token, reason: Reason) {
        let Some(request) = self.request(token) else { return };
        if request.origin != Origin::Caller {
            self.report_task_progress(now, token);
            return;
        }
        if request.answered_shards() >= request.route.required_shards() {
            self.respond(now, token);
        } else {
            self.fail(now, token, reason);
        }
    }

    fn respond(&mut self, now: Time, token: Token) {
        let Some(request) = self.remove_request(now, token) else { return };
        let parts: Vec<AttemptId> = request
            .shards
            .iter()
            .filter_map(|s| match s.progress {
                Progress::Answered(id) => Some(id),
                _ => None,
            })
            .collect();
        let missing = request.shards.len() - parts.len();
        let mut parts = parts;
        // The answer of a delegate covers several shards under one attempt.
        parts.sort_unstable();
        parts.dedup();
        let took = now.since(request.started);
        let objective = request.route.route.objective_ms;
        let late = took.as_millis() > objective.into();
        if missing > 0 || late {
            self.log_result(now, &kinds::REQUEST_DEGRADED, &request, "");
        } else {
            self.log_result(now, &kinds::REQUEST_SERVED, &request, "");
        }
        let response = match &request.route.route.destination {
            Destination::Shards { top, .. } => {
                Response::Merge { parts, missing, top: *top as usize }
            }
            _ => Response::Relay(parts[0]),
        };
        self.out.push(ForwardEffect::Respond(token, response));
    }

    fn fail(&mut self, now: Time, token: Token, reason: Reason) {
        let Some(request) = self.remove_request(now, token) else { return };
        let extra = format!(" reason={}", reason.as_str());
        self.log_result(now, &kinds::REQUEST_FAILED, &request, &extra);
        let failure = request.shards[0].failure;
        if let Some(failure) = failure.filter(|_| !request.route.is_sharded())
        {
            // The target's error response tells the caller more than a
            // rejection by this instance.
            let response = Response::Relay(failure);
            self.out.push(ForwardEffect::Respond(token, response));
            return;
        }
        let verdict = if request.may_have_run() {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let retry_after =
            (reason != Reason::UnknownKey).then_some(RETRY_AFTER);
        if request.has_share && verdict == Verdict::NotRun {
            self.out.push(ForwardEffect::DropShare(token));
        }
        self.reject(token, reason, verdict, retry_after);
    }

    /// Removes a request and schedules the cancellation of its attempts. The
    /// delay lets them finish, because a cancellation closes the connection.
    pub(super) fn remove_request(
        &mut self,
        now: Time,
        token: Token,
    ) -> Option<Request> {
        let index = self.position(token)?;
        let mut request = self.requests.remove(index);
        self.cancel_delegations(&request, false);
        let until = now + self.options.linger;
        for attempt in self.attempts.of_request_mut(token) {
            let shard = &mut request.shards[attempt.shard];
            shard.may_have_run = true;
            attempt.cancel_at.get_or_insert(until);
        }
        Some(request)
    }

    /// Logs the result of a request in one line.
    fn log_result(
        &mut self,
        now: Time,
        kind: &'static EventKind,
        request: &Request,
        extra: &str,
    ) {
        let route = &request.route.route;
        let sent: u32 = request.shards.iter().map(|s| s.sent).sum();
        let refused: u32 = request.shards.iter().map(|s| s.refused).sum();
        let mut detail = format!(
            "request={} route={} took_ms={} objective_ms={} shards={} \
             answered={} sent={sent} refused={refused} version={} \
             priority={}{extra}",
            request.id,
            request.route.label,
            now.since(request.started).as_millis(),
            route.objective_ms,
            request.shards.len(),
            request.answered_shards(),
            self.version,
            request.priority,
        );
        let unanswered = request
            .shards
            .iter()
            .filter(|s| !matches!(s.progress, Progress::Answered(_)));
        // Three examples are enough to show a pattern in the log.
        for shard in unanswered.take(3) {
            let target = shard.tried.last().and_then(|t| self.targets.get(*t));
            detail += &format!(
                " unanswered={:?}/{}",
                shard.progress,
                target.map_or("-", |t| &t.name)
            );
        }
        self.log(kind, detail);
    }

    /// Returns the median and the straggler latency of a route, if they are
    /// known.
    pub(super) fn latency_quantiles(
        &self,
        route: RouteId,
    ) -> Option<(Duration, Duration)> {
        let latencies = self.latencies_of(route)?;
        Some((latencies.median()?, latencies.straggler()?))
    }
}
