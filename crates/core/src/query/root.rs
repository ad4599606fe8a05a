/*!
The reducer of the query root, with admission of requests.
*/

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    config::Priority,
    event::{EventKind, Level, LogEvent, query as events},
    id::{InstanceId, QueryId, TargetId, Token, ZoneId},
    query::{
        active::{ActiveQuery, NEVER, Phase},
        api::{
            CallerRequest, CallerResponse, ClaimResult, Failure,
            FailureReason, Message, QueryEffect, QueryEvent,
        },
        budget::AckTimeEstimator,
        explain::{self, Explanation, RecentQueries},
        finish::UNCLAIMED_VERDICT,
        options::{DispatchMode, QueryOptions},
        table::RoutingTable,
    },
    target::TargetReport,
    time::Time,
    verdict::Verdict,
};

/// Longest accepted request id, in bytes; bounds the size of the state.
const MAX_REQUEST_ID_BYTES: usize = 256;

/// Maximum number of outstanding claims whose query has ended. If a claim
/// beyond that is granted, it stays claimed until it expires: a request that
/// is sent again is then refused, but never runs twice.
const MAX_LATE_CLAIMS: usize = 10_000;

/// Returns the part of a query's time, in percent, that the estimated time for
/// the slowest shard may take at admission. Without a reserve, queues grow
/// until all answers come slightly too late and the work on them is wasted.
/// Reports get less, so that they leave capacity for urgent queries.
fn max_estimate_percent(priority: Priority) -> u32 {
    match priority {
        Priority::Urgent | Priority::Normal => 75,
        Priority::Report => 50,
    }
}

/// The queries whose root is this instance.
#[derive(Debug)]
pub struct Queries {
    pub(super) own_id: InstanceId,
    pub(super) options: QueryOptions,
    pub(super) rng: Pcg64Mcg,
    pub(super) table: RoutingTable,
    pub(super) ack_time: AckTimeEstimator,
    /// When a message from each instance arrived last, sorted by instance.
    pub(super) heard: Vec<(InstanceId, Time)>,
    serving: bool,
    /// Sorted by query; `None` while the query is taken out.
    active: Vec<(QueryId, Option<Box<ActiveQuery>>)>,
    /// Sorted by token.
    tokens: Vec<(Token, QueryId)>,
    timers: BTreeSet<(Time, QueryId)>,
    /// Outstanding claims whose query has ended, oldest first.
    late_claims: VecDeque<(QueryId, String)>,
    pub(super) recent: RecentQueries,
    pub(super) out: Vec<QueryEffect>,
}

impl Queries {
    /// Creates a root without a configuration, which refuses every request.
    pub fn new(
        own_id: InstanceId,
        zone: ZoneId,
        options: QueryOptions,
        seed: u64,
    ) -> Queries {
        Queries {
            own_id,
            options,
            rng: Pcg64Mcg::seed_from_u64(seed),
            table: RoutingTable::new(zone),
            ack_time: AckTimeEstimator::default(),
            heard: Vec::new(),
            serving: false,
            active: Vec::new(),
            tokens: Vec::new(),
            timers: BTreeSet::new(),
            late_claims: VecDeque::new(),
            recent: RecentQueries::default(),
            out: Vec::new(),
        }
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: Time,
        event: QueryEvent,
        out: &mut impl Extend<QueryEffect>,
    ) {
        // Timers that are overdue run before the event, so that a late tick
        // cannot extend a query. Timers that are due now run after it.
        self.run_timers(now - Duration::from_micros(1));
        match event {
            QueryEvent::Configure(cfg) => {
                self.table.configure(cfg, &self.options, self.own_id);
                self.refresh_target_slots();
            }
            QueryEvent::Candidates(candidates) => {
                self.heard
                    .retain(|h| candidates.iter().any(|c| c.instance == h.0));
                self.table.set_candidates(candidates, &self.options);
                self.reroute_from_lost_homes(now);
            }
            QueryEvent::Serving(serving) => self.serving = serving,
            QueryEvent::Submit(token, req) => self.submit(now, token, req),
            QueryEvent::CallerGone(token) => self.remove_caller(now, token),
            QueryEvent::Message(from, message) => {
                self.handle_message(now, from, message);
            }
            QueryEvent::Claimed(query, result) => {
                self.handle_claim_result(now, query, result);
            }
            QueryEvent::Tick => {}
        }
        self.run_timers(now);
        out.extend(self.out.drain(..));
    }

    /// Returns the time at which the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first().map(|x| x.0)
    }

    /// Returns the number of queries in progress.
    pub fn in_flight(&self) -> usize {
        self.active.len()
    }

    /// Returns the newest report of a target, if there is one.
    pub fn report(&self, target: TargetId) -> Option<TargetReport> {
        self.table.newest_report(target)
    }

    /// Describes how a running or recent query was served.
    pub fn explain(&self, request_id: &str) -> Option<Explanation> {
        let query = self
            .active
            .iter()
            .filter_map(|x| x.1.as_deref())
            .find(|q| q.request_id == request_id)
            .or_else(|| self.recent.find(request_id))?;
        Some(explain::explain(query, &self.table))
    }

    fn submit(&mut self, now: Time, token: Token, req: CallerRequest) {
        let id = self.new_id();
        let request_id =
            req.request_id.clone().unwrap_or_else(|| id.to_string());
        let verdict = self.refusal_verdict(&req);
        let query = match self.admit(now, id, token, &request_id, req) {
            Ok(query) => query,
            Err((reason, message)) => {
                let failure = Failure {
                    request_id,
                    verdict,
                    this_send: Verdict::NotRun,
                    reason,
                    message: message.to_owned(),
                };
                return self.refuse(token, failure);
            }
        };
        let mut query = Box::new(query);
        let i = self.tokens.partition_point(|x| x.0 < token);
        self.tokens.insert(i, (token, id));
        let i = self.active.partition_point(|x| x.0 < id);
        self.active.insert(i, (id, None));
        if let Some(claim) = &query.claim {
            query.phase = Phase::Claiming;
            self.out.push(QueryEffect::Claim {
                query: id,
                request_id: claim.clone(),
                budget_us: micros(query.remaining(now)),
            });
            self.put_back(query);
        } else {
            self.start(now, query);
        }
    }

    /// Checks a request and the load, and creates the query.
    fn admit(
        &mut self,
        now: Time,
        id: QueryId,
        token: Token,
        request_id: &str,
        req: CallerRequest,
    ) -> Result<ActiveQuery, (FailureReason, &'static str)> {
        use FailureReason as Reason;
        let Some(cfg) = self.table.configuration.clone() else {
            return Err((Reason::NotServing, "no configuration yet"));
        };
        if !self.serving {
            return Err((Reason::NotServing, "not accepting new requests"));
        }
        let route = cfg.route(&req.route).map(|r| r.id());
        let route_index = route.and_then(|id| self.table.route_position(id));
        let Some(route_index) = route_index else {
            return Err((Reason::UnknownRoute, "no such route"));
        };
        let route = &self.table.routes[route_index];
        if req.body.len() > cfg.limits.max_body_bytes as usize {
            return Err((Reason::BodyTooLarge, "the body is too large"));
        }
        let id_len = req.request_id.as_ref().map(String::len);
        if id_len.is_some_and(|n| n == 0 || n > MAX_REQUEST_ID_BYTES) {
            return Err((Reason::BadRequest, "bad length of request id"));
        }
        if !route.repeatable && id_len.is_none() {
            return Err((
                Reason::MissingRequestId,
                "the route needs a request id",
            ));
        }
        let budget =
            req.deadline_us.map_or(route.deadline, Duration::from_micros);
        if budget.is_zero() || budget > self.options.max_deadline {
            return Err((Reason::BadRequest, "deadline out of range"));
        }
        let via_homes = self.options.mode == DispatchMode::Home;
        let percent = match route.priority {
            Priority::Urgent => 100,
            Priority::Normal => 85,
            Priority::Report => 60,
        };
        let limit = u64::from(cfg.limits.max_in_flight) * percent;
        if via_homes && self.active.len() as u64 * 100 >= limit {
            return Err((Reason::Overloaded, "too many requests in flight"));
        }
        let key = req.key.as_deref().unwrap_or(request_id);
        let query = ActiveQuery {
            id,
            token: Some(token),
            request_id: request_id.to_owned(),
            claim: (!route.repeatable)
                .then(|| format!("{}/{}", req.route, request_id)),
            key_hash: xxh3_64(key.as_bytes()),
            route: route.id,
            route_shards: route.shards.clone(),
            priority: route.priority,
            policy: route.policy,
            repeatable: route.repeatable,
            body: req.body,
            started: now,
            deadline: now + budget,
            phase: Phase::Running,
            plan: None,
            dropped_plans: Vec::new(),
            dispatches: Vec::new(),
            results: Vec::new(),
            hedge_at: NEVER,
            partial_answer_at: NEVER,
            partial_answer_allowed: false,
            ack_at: NEVER,
            timer_at: NEVER,
            ended: None,
            failure: None,
        };
        let Some((index, _)) = self.best_snapshot(&query, route_index, None)
        else {
            return Err((Reason::NoReplica, "no target holds the index"));
        };
        let max_estimate = budget * max_estimate_percent(query.priority) / 100;
        if via_homes
            && self.is_infeasible(&query, route_index, index, max_estimate)
        {
            return Err((
                Reason::Overloaded,
                "the estimated wait exceeds the deadline",
            ));
        }
        Ok(query)
    }

    /// Returns the verdict of a request that is refused before its id is
    /// claimed.
    fn refusal_verdict(&self, req: &CallerRequest) -> Verdict {
        let cfg = self.table.configuration.as_deref();
        match &req.request_id {
            Some(_) if !cfg.is_some_and(|c| c.is_repeatable(&req.route)) => {
                UNCLAIMED_VERDICT
            }
            _ => Verdict::NotRun,
        }
    }

    /// Answers a request that is not admitted.
    fn refuse(&mut self, token: Token, failure: Failure) {
        self.log(&events::QUERY_REFUSED, || {
            format!(
                "request={:?} reason={:?} verdict={} this_send={} \
                 message={:?}",
                failure.request_id,
                failure.reason,
                failure.verdict.as_str(),
                failure.this_send.as_str(),
                failure.message
            )
        });
        let response = CallerResponse::Failure(failure);
        self.out.push(QueryEffect::Respond(token, response));
    }

    fn handle_claim_result(
        &mut self,
        now: Time,
        id: QueryId,
        result: ClaimResult,
    ) {
        let is_claiming = self
            .get(id)
            .is_some_and(|q| q.phase == Phase::Claiming && q.claim.is_some());
        let query = if is_claiming { self.take(id) } else { None };
        let Some(mut query) = query else {
            return self.handle_late_claim(id, result);
        };
        query.phase = Phase::Running;
        match result {
            ClaimResult::Granted if now >= query.deadline => {
                self.settle(&query, Verdict::NotRun);
                let reason = FailureReason::DeadlineExceeded;
                self.fail(now, query, reason, Verdict::NotRun);
            }
            ClaimResult::Granted => self.start(now, query),
            ClaimResult::Taken(verdict) => {
                let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
                let reason = FailureReason::DuplicateRequestId;
                self.fail(now, query, reason, verdict);
            }
            ClaimResult::Unavailable => {
                let reason = FailureReason::NoQuorum;
                self.fail(now, query, reason, UNCLAIMED_VERDICT);
            }
        }
    }

    /// Records a claim whose query ends before the result of the claim is
    /// known.
    pub(super) fn expect_late_claim(&mut self, query: &ActiveQuery) {
        let Some(claim) = &query.claim else { return };
        self.late_claims.push_back((query.id, claim.clone()));
        if self.late_claims.len() > MAX_LATE_CLAIMS
            && let Some((id, claim)) = self.late_claims.pop_front()
        {
            self.log(&events::CLAIM_FORGOTTEN, || {
                format!("query={id} claim={claim:?}")
            });
        }
    }

    /// Releases a claim that was granted after the end of its query.
    fn handle_late_claim(&mut self, id: QueryId, result: ClaimResult) {
        let found = self.late_claims.iter().position(|x| x.0 == id);
        let Some((id, claim)) = found.and_then(|i| self.late_claims.remove(i))
        else {
            return;
        };
        if result == ClaimResult::Granted {
            self.log(&events::CLAIM_RELEASED, || {
                format!("query={id} claim={claim:?}")
            });
            self.out.push(QueryEffect::Settle {
                query: id,
                request_id: claim,
                verdict: Verdict::NotRun,
            });
        }
    }

    /// Handles the disconnect of a caller. Ends its query, unless a claimed
    /// request was sent.
    fn remove_caller(&mut self, now: Time, token: Token) {
        let Ok(i) = self.tokens.binary_search_by_key(&token, |x| x.0) else {
            return;
        };
        let Some(mut query) = self.take(self.tokens[i].1) else { return };
        self.tokens.remove(i);
        query.token = None;
        if query.claim.is_some() && query.phase == Phase::Running {
            // The request was sent and may run, so the query continues and
            // records its verdict.
            self.put_back(query);
        } else {
            if query.phase == Phase::Claiming {
                self.expect_late_claim(&query);
            }
            self.end(now, query);
        }
    }

    pub(super) fn apply_report(
        &mut self,
        now: Time,
        from: InstanceId,
        report: TargetReport,
    ) {
        let newest = self.table.report(now, from, report);
        if !newest.is_empty() {
            self.out.push(QueryEffect::NewestSnapshots(newest));
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
    ) {
        match self.heard.binary_search_by_key(&from, |h| h.0) {
            Ok(i) => self.heard[i].1 = now,
            Err(i) => self.heard.insert(i, (from, now)),
        }
        match message {
            Message::Reports(reports) => {
                for report in reports {
                    self.apply_report(now, from, report);
                }
            }
            Message::Accepted { query, attempt } => {
                let Some(q) = self.get_mut(query) else { return };
                let found = q.dispatches.get_mut(attempt as usize);
                let found = found.filter(|d| d.home == from && !d.acked);
                let Some(d) = found else { return };
                d.acked = true;
                let ack_time = now.since(d.sent);
                // Messages from this instance to itself do not cross the
                // network.
                if from != self.own_id {
                    self.ack_time.record(ack_time);
                }
            }
            Message::Reply(reply) => self.handle_reply(now, from, reply),
            // These messages are handled by homes.
            Message::Request(_)
            | Message::Cancel { .. }
            | Message::CancelShards { .. }
            | Message::SharingNotice(..)
            | Message::SharingConfirmed(..) => {}
        }
    }

    fn run_timers(&mut self, until: Time) {
        while let Some(&(time, id)) = self.timers.first()
            && time <= until
        {
            match self.take(id) {
                Some(query) => self.handle_timer(until, query),
                None => {
                    self.timers.remove(&(time, id));
                }
            }
        }
    }

    fn find(&self, id: QueryId) -> Option<usize> {
        self.active.binary_search_by_key(&id, |x| x.0).ok()
    }

    fn get(&self, id: QueryId) -> Option<&ActiveQuery> {
        self.active[self.find(id)?].1.as_deref()
    }

    fn get_mut(&mut self, id: QueryId) -> Option<&mut ActiveQuery> {
        let i = self.find(id)?;
        self.active[i].1.as_deref_mut()
    }

    /// Takes a query out of `active` to change it. `put_back` or `end` must
    /// follow.
    pub(super) fn take(&mut self, id: QueryId) -> Option<Box<ActiveQuery>> {
        let i = self.find(id)?;
        self.active[i].1.take()
    }

    /// Puts back a query that was taken out and updates its timer.
    pub(super) fn put_back(&mut self, mut query: Box<ActiveQuery>) {
        let timer_at = query.next_timer();
        if timer_at != query.timer_at {
            self.timers.remove(&(query.timer_at, query.id));
            self.timers.insert((timer_at, query.id));
            query.timer_at = timer_at;
        }
        if let Some(i) = self.find(query.id) {
            self.active[i].1 = Some(query);
        }
    }

    /// Removes a query that was taken out, with its timer and token.
    pub(super) fn remove(&mut self, query: &ActiveQuery) {
        self.timers.remove(&(query.timer_at, query.id));
        if let Some(token) = query.token
            && let Ok(i) = self.tokens.binary_search_by_key(&token, |x| x.0)
        {
            self.tokens.remove(i);
        }
        if let Some(i) = self.find(query.id) {
            self.active.remove(i);
        }
    }

    pub(super) fn active_ids(&self) -> Vec<QueryId> {
        self.active.iter().map(|x| x.0).collect()
    }

    fn new_id(&mut self) -> QueryId {
        loop {
            let id = QueryId(self.rng.random_range(1..u64::MAX));
            if self.find(id).is_none() {
                return id;
            }
        }
    }

    /// Logs an event. The detail is built only if the event's level is
    /// enabled.
    pub(super) fn log(
        &mut self,
        kind: &'static EventKind,
        detail: impl FnOnce() -> String,
    ) {
        if kind.level < Level::Debug || self.options.log_debug {
            let event = LogEvent::new(kind, detail());
            self.out.push(QueryEffect::Log(event));
        }
    }
}

/// Returns a duration in microseconds.
pub(super) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
