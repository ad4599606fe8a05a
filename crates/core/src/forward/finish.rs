//! Ending a request: with a response, a refusal or a failure.

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

/// Time after which a caller may come back whose request found no target.
const RETRY_AFTER: Duration = Duration::from_millis(100);

impl Forwarder {
    /// Ends a request that has what it needs, or that cannot get it.
    pub(super) fn settle(&mut self, now: Time, token: Token) {
        let Some(request) = self.request(token) else { return };
        if request.origin != Origin::Caller {
            self.settle_task(now, token);
            return;
        }
        let (answered, open) = (request.answered(), request.open());
        let needed = request.route.needed();
        if answered + open < needed {
            self.fail(now, token, Reason::TargetFailed);
        } else if open == 0 || (now >= request.soft_at && answered >= needed) {
            self.respond(now, token);
        }
    }

    /// The time of a request has passed.
    pub(super) fn expire(&mut self, now: Time, token: Token) {
        let Some(request) = self.request(token) else { return };
        if request.origin != Origin::Caller {
            self.settle_task(now, token);
            return;
        }
        if request.answered() >= request.route.needed() {
            self.respond(now, token);
        } else {
            self.fail(now, token, Reason::Deadline);
        }
    }

    fn respond(&mut self, now: Time, token: Token) {
        let Some(request) = self.end(now, token) else { return };
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
        // A delegate's answer stands for several shards.
        parts.sort_unstable();
        parts.dedup();
        let took = now.since(request.started);
        let objective = request.route.route.objective_ms;
        let late = took.as_millis() > objective.into();
        if missing > 0 || late {
            self.log_end(now, &kinds::REQUEST_DEGRADED, &request, "");
        } else {
            self.log_end(now, &kinds::REQUEST_SERVED, &request, "");
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
        let Some(request) = self.end(now, token) else { return };
        let extra = format!(" reason={}", reason.as_str());
        self.log_end(now, &kinds::REQUEST_FAILED, &request, &extra);
        let failure = request.shards[0].failure;
        if let Some(failure) = failure.filter(|_| !request.route.is_sharded())
        {
            // The target's own failure says more than one of ours.
            let response = Response::Relay(failure);
            self.out.push(ForwardEffect::Respond(token, response));
            return;
        }
        let verdict = if request.may_have_run() {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        self.reject(token, reason, verdict, Some(RETRY_AFTER));
    }

    /// Removes a request. Its attempts run on for a while if they may run
    /// twice, so that their connections can be kept.
    pub(super) fn end(&mut self, now: Time, token: Token) -> Option<Request> {
        let at = self.position(token)?;
        let mut request = self.requests.remove(at);
        self.end_delegations(&request, false);
        let until = now + self.options.linger;
        for attempt in self.attempts.of_request_mut(token) {
            let shard = &mut request.shards[attempt.shard];
            shard.may_have_run = true;
            attempt.cancel_at.get_or_insert(until);
        }
        Some(request)
    }

    /// One line on how a request has ended.
    fn log_end(
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
             answered={} sent={sent} refused={refused}{extra}",
            request.id,
            route.name,
            now.since(request.started).as_millis(),
            route.objective_ms,
            request.shards.len(),
            request.answered(),
        );
        let unanswered = request
            .shards
            .iter()
            .filter(|s| !matches!(s.progress, Progress::Answered(_)));
        // A few examples show the pattern.
        for part in unanswered.take(3) {
            let target = part.tried.last().and_then(|t| self.targets.get(*t));
            detail += &format!(
                " unanswered={:?}/{}",
                part.progress,
                target.map_or("-", |t| &t.name)
            );
        }
        self.log(kind, detail);
    }

    /// Median and straggler latency of a route, if they are known.
    pub(super) fn known_latency(
        &self,
        route: RouteId,
    ) -> Option<(Duration, Duration)> {
        let latencies = self.latencies_of(route)?;
        Some((latencies.median()?, latencies.straggler()?))
    }
}
