/*!
The reducer: events in, effects out, and admission.
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
        active::{Active, NEVER, Phase},
        api::{
            CallerRequest, CallerResponse, ClaimResult, Failure,
            FailureReason, Message, QueryEffect, QueryEvent,
        },
        budget::AckTime,
        explain::{self, Explanation, Recent},
        options::{DispatchMode, QueryOptions},
        table::Table,
    },
    target::TargetReport,
    time::Time,
    verdict::Verdict,
};

/// Longest accepted request id, in bytes; bounds the state.
const MAX_REQUEST_ID: usize = 256;

/// Claims that are outstanding although their query has ended. A claim that
/// is forgotten stays claimed, which refuses a resend but never repeats it.
const MAX_LATE_CLAIMS: usize = 10_000;

/// Part of a query's time, in percent, that waiting for the slowest shard may
/// take by the estimate at admission. Without a reserve, queues grow until
/// answers come just too late and the work on all of them is lost; reports
/// leave the room that urgent queries need.
fn usable_percent(priority: Priority) -> u32 {
    match priority {
        Priority::Urgent | Priority::Normal => 75,
        Priority::Report => 50,
    }
}

/// The queries whose root is this instance.
#[derive(Debug)]
pub struct Queries {
    pub(super) me: InstanceId,
    pub(super) options: QueryOptions,
    pub(super) rng: Pcg64Mcg,
    pub(super) table: Table,
    pub(super) ack_time: AckTime,
    serving: bool,
    /// Sorted by query.
    active: Vec<(QueryId, Option<Box<Active>>)>,
    /// Sorted by token.
    tokens: Vec<(Token, QueryId)>,
    timers: BTreeSet<(Time, QueryId)>,
    /// Oldest first.
    late_claims: VecDeque<(QueryId, String)>,
    pub(super) recent: Recent,
    pub(super) out: Vec<QueryEffect>,
}

impl Queries {
    /// A root without configuration, which refuses every request.
    pub fn new(
        me: InstanceId,
        zone: ZoneId,
        options: QueryOptions,
        seed: u64,
    ) -> Queries {
        Queries {
            me,
            options,
            rng: Pcg64Mcg::seed_from_u64(seed),
            table: Table::new(zone),
            ack_time: AckTime::default(),
            serving: false,
            active: Vec::new(),
            tokens: Vec::new(),
            timers: BTreeSet::new(),
            late_claims: VecDeque::new(),
            recent: Recent::default(),
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
        // Deadlines that have passed come before the event, so that a late
        // tick cannot extend a query. Those of this moment come after it.
        self.run_timers(now - Duration::from_micros(1));
        match event {
            QueryEvent::Configure(cfg) => {
                self.table.configure(cfg, &self.options, self.me);
                self.relocate();
            }
            QueryEvent::Candidates(candidates) => {
                self.table.set_candidates(candidates, &self.options);
                self.leave_lost_homes(now);
            }
            QueryEvent::Serving(serving) => self.serving = serving,
            QueryEvent::Submit(token, req) => self.submit(now, token, req),
            QueryEvent::CallerGone(token) => self.caller_gone(now, token),
            QueryEvent::Message(from, message) => {
                self.message(now, from, message);
            }
            QueryEvent::Claimed(query, result) => {
                self.claimed(now, query, result);
            }
            QueryEvent::Tick => {}
        }
        self.run_timers(now);
        out.extend(self.out.drain(..));
    }

    /// When the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first().map(|x| x.0)
    }

    /// Number of queries that run.
    pub fn in_flight(&self) -> usize {
        self.active.len()
    }

    /// The newest report of a target, if there is one.
    pub fn report(&self, target: TargetId) -> Option<TargetReport> {
        self.table.known_report(target)
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
        let query = match self.admit(now, id, token, &request_id, req) {
            Ok(query) => query,
            Err((reason, message)) => {
                return self.refuse(token, request_id, reason, message);
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

    /// Checks a request and the load.
    fn admit(
        &mut self,
        now: Time,
        id: QueryId,
        token: Token,
        request_id: &str,
        req: CallerRequest,
    ) -> Result<Active, (FailureReason, &'static str)> {
        use FailureReason as Reason;
        let Some(cfg) = self.table.configuration.clone() else {
            return Err((Reason::NotServing, "no configuration yet"));
        };
        if !self.serving {
            return Err((Reason::NotServing, "not accepting new requests"));
        }
        let route = cfg.route(&req.route).map(|r| r.id());
        let position = route.and_then(|id| self.table.route_position(id));
        let Some(position) = position else {
            return Err((Reason::UnknownRoute, "no such route"));
        };
        let route = &self.table.routes[position];
        if req.body.len() > cfg.limits.max_body_bytes as usize {
            return Err((Reason::BodyTooLarge, "the body is too large"));
        }
        let id_len = req.request_id.as_ref().map(String::len);
        if id_len.is_some_and(|n| n == 0 || n > MAX_REQUEST_ID) {
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
        let is_home = self.options.mode == DispatchMode::Home;
        let part = match route.priority {
            Priority::Urgent => 100,
            Priority::Normal => 85,
            Priority::Report => 60,
        };
        let room = u64::from(cfg.limits.max_in_flight) * part;
        if is_home && self.active.len() as u64 * 100 >= room {
            return Err((Reason::Overloaded, "too many requests in flight"));
        }
        let key = req.key.as_deref().unwrap_or(request_id);
        let query = Active {
            id,
            token: Some(token),
            request_id: request_id.to_owned(),
            claim: (!route.repeatable)
                .then(|| format!("{}/{}", req.route, request_id)),
            key_hash: xxh3_64(key.as_bytes()),
            route: route.id,
            asked: route.shards.clone(),
            priority: route.priority,
            policy: route.policy,
            repeatable: route.repeatable,
            body: req.body,
            started: now,
            deadline: now + budget,
            phase: Phase::Running,
            plan: None,
            dropped: Vec::new(),
            dispatches: Vec::new(),
            results: Vec::new(),
            hedge_at: NEVER,
            enough_at: NEVER,
            enough_seen: false,
            ack_at: NEVER,
            wake: NEVER,
            ended: None,
            failed: None,
        };
        let Some((index, _)) = self.best_snapshot(&query, position, None)
        else {
            return Err((Reason::NoReplica, "no target holds the index"));
        };
        let usable = budget * usable_percent(query.priority) / 100;
        if is_home && self.is_hopeless(&query, position, index, usable) {
            return Err((
                Reason::Overloaded,
                "the estimated wait exceeds the deadline",
            ));
        }
        Ok(query)
    }

    fn refuse(
        &mut self,
        token: Token,
        request_id: String,
        reason: FailureReason,
        message: &str,
    ) {
        self.log(&events::QUERY_REFUSED, || {
            format!(
                "request={request_id:?} reason={reason:?} verdict=not_run \
                 message={message:?}"
            )
        });
        let failure = Failure {
            request_id,
            verdict: Verdict::NotRun,
            reason,
            message: message.to_owned(),
        };
        let response = CallerResponse::Failure(failure);
        self.out.push(QueryEffect::Respond(token, response));
    }

    fn claimed(&mut self, now: Time, id: QueryId, result: ClaimResult) {
        let claiming = self
            .get(id)
            .is_some_and(|q| q.phase == Phase::Claiming && q.claim.is_some());
        let query = if claiming { self.take(id) } else { None };
        let Some(mut query) = query else {
            return self.late_claim(id, result);
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
                self.fail(now, query, reason, Verdict::NotRun);
            }
        }
    }

    /// Keeps the id of a claim whose query ends before the claim does.
    pub(super) fn expect_late_claim(&mut self, query: &Active) {
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

    fn late_claim(&mut self, id: QueryId, result: ClaimResult) {
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

    fn caller_gone(&mut self, now: Time, token: Token) {
        let Ok(i) = self.tokens.binary_search_by_key(&token, |x| x.0) else {
            return;
        };
        let Some(mut query) = self.take(self.tokens[i].1) else { return };
        self.tokens.remove(i);
        query.token = None;
        if query.claim.is_some() && query.phase == Phase::Running {
            // It was sent and may run, so its outcome is still recorded.
            self.put_back(query);
        } else {
            if query.phase == Phase::Claiming {
                self.expect_late_claim(&query);
            }
            self.end(now, query);
        }
    }

    fn message(&mut self, now: Time, from: InstanceId, message: Message) {
        match message {
            Message::Reports(reports) => {
                for report in reports {
                    self.table.report(now, from, report);
                }
            }
            Message::Accepted { query, attempt } => {
                let Some(q) = self.get_mut(query) else { return };
                let found = q.dispatches.get_mut(attempt as usize);
                let found = found.filter(|d| d.home == from && !d.acked);
                let Some(d) = found else { return };
                d.acked = true;
                let took = now.since(d.sent);
                // A message to this instance itself crosses no network.
                if from != self.me {
                    self.ack_time.record(took);
                }
            }
            Message::Reply(reply) => self.reply(now, from, reply),
            // These are for homes.
            Message::Request(_)
            | Message::Cancel { .. }
            | Message::CancelShards { .. } => {}
        }
    }

    fn run_timers(&mut self, until: Time) {
        while let Some(&(time, id)) = self.timers.first()
            && time <= until
        {
            match self.take(id) {
                Some(query) => self.wake(until, query),
                None => {
                    self.timers.remove(&(time, id));
                }
            }
        }
    }

    fn find(&self, id: QueryId) -> Option<usize> {
        self.active.binary_search_by_key(&id, |x| x.0).ok()
    }

    fn get(&self, id: QueryId) -> Option<&Active> {
        self.active[self.find(id)?].1.as_deref()
    }

    fn get_mut(&mut self, id: QueryId) -> Option<&mut Active> {
        let i = self.find(id)?;
        self.active[i].1.as_deref_mut()
    }

    /// Takes a query out to work on it; `put_back` or `end` must follow.
    pub(super) fn take(&mut self, id: QueryId) -> Option<Box<Active>> {
        let i = self.find(id)?;
        self.active[i].1.take()
    }

    pub(super) fn put_back(&mut self, mut query: Box<Active>) {
        let wake = query.next_wake();
        if wake != query.wake {
            self.timers.remove(&(query.wake, query.id));
            self.timers.insert((wake, query.id));
            query.wake = wake;
        }
        if let Some(i) = self.find(query.id) {
            self.active[i].1 = Some(query);
        }
    }

    /// Forgets a query that was taken out.
    pub(super) fn remove(&mut self, query: &Active) {
        self.timers.remove(&(query.wake, query.id));
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

    /// Logs an event; the detail is built only if it is wanted.
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

/// A span in microseconds, for messages.
pub(super) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
