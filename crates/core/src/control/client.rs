//! Client of the control leader: redirects, retries and timeouts.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::{
    ControlReply, ControlRequest, Message, Settle, service::CLAIM_UNAVAILABLE,
};
use crate::{
    event::{LogEvent, control as kinds},
    id::{InstanceId, Token},
    time::Time,
    verdict::Verdict,
};

/// Largest number of pending requests at one instance.
const MAX_PENDING_REQUESTS: usize = 10_000;

/// Shortest and longest time to wait for one replica before the request is
/// sent to the next one. A healthy leader answers within a round trip and a
/// sync.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(20);
const ATTEMPT_TIMEOUT_MAX: Duration = Duration::from_millis(500);

/// Delay before the next attempt when no leader is known or ready.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay while the leader is not ready. The delay doubles.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Bytes that a busy link between two instances is assumed to carry within a
/// second: 32 Mbit/s. A large change is not sent again before it may have
/// arrived.
const LINK_BYTES_PER_S: u64 = 4_000_000;

/// The attempt after every so many redirects is delayed. During an election
/// two replicas may redirect to each other.
const MAX_REDIRECTS: u32 = 3;

/// Time budget of the request that releases an abandoned claim.
const RELEASE_BUDGET: Duration = Duration::from_secs(5);

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// Sends a request; answered with `Done` within the budget.
    Submit {
        /// Matches `Done` to the request.
        token: Token,
        /// The request.
        request: ControlRequest,
        /// Time limit for the reply, in microseconds.
        budget_us: u64,
    },
    /// The instances that run a control replica.
    Replicas(Vec<InstanceId>),
    /// A reply arrived.
    Reply {
        /// The instance that sent it.
        from: InstanceId,
        /// Sequence number of the attempt.
        sequence: u64,
        /// The reply.
        reply: ControlReply,
    },
    /// A timer may be due.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEffect {
    /// Sends a message, possibly to this instance itself.
    Send(InstanceId, Message),
    /// A request has ended. `Refused` means that nothing was proposed,
    /// `Unknown` that the request may still take effect.
    Done(Token, ControlReply),
    /// Logs an event.
    Log(LogEvent),
}

struct PendingRequest {
    /// Number of the request; rises with each one.
    number: u64,
    /// Token of the submitter; `None` for a request of the client itself
    /// that releases a claim.
    token: Option<Token>,
    request: ControlRequest,
    deadline: Time,
    attempt_timeout: Duration,
    /// Delay after the next reply that the leader is not ready.
    retry_delay: Duration,
    /// The replica and sequence number of the latest attempt; `None` while
    /// the next attempt is delayed.
    current_attempt: Option<(InstanceId, u64)>,
    /// Number of attempts that reached a replica other than the leader.
    redirects: u32,
    /// When the next attempt is due.
    retry_at: Time,
    /// Sequence numbers of the attempts that may have led to a proposal,
    /// because no reply has excluded that. Each attempt has its own number, so
    /// that a duplicate reply to one does not close another.
    open_attempts: Vec<u64>,
    /// The reason in the last `NotReady` reply.
    not_ready: Option<String>,
}

/// Sends requests to the control leader and retries them.
pub struct Client {
    rng: Pcg32,
    replicas: Vec<InstanceId>,
    leader: Option<InstanceId>,
    /// Counter that selects the replica to try while the leader is not known.
    replica_counter: usize,
    next_sequence: u64,
    next_number: u64,
    /// Sorted by number.
    pending: Vec<PendingRequest>,
    /// Sequence number and request number of each open attempt, sorted by
    /// sequence number.
    attempts: Vec<(u64, u64)>,
}

impl Client {
    /// Creates the reducer. Sequence numbers start at a random value, so that
    /// a late reply to a request from before a restart matches no attempt.
    pub fn new(seed: u64) -> Client {
        let mut rng = Pcg32::seed_from_u64(seed);
        Client {
            next_sequence: rng.random::<u64>() >> 1,
            replica_counter: rng.random::<u16>().into(),
            rng,
            replicas: Vec::new(),
            leader: None,
            next_number: 0,
            pending: Vec::new(),
            attempts: Vec::new(),
        }
    }

    /// Returns when the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.pending.iter().map(|p| p.retry_at.min(p.deadline)).min()
    }

    /// Handles an event.
    pub fn step(
        &mut self,
        now: Time,
        event: ClientEvent,
        out: &mut impl Extend<ClientEffect>,
    ) {
        match event {
            ClientEvent::Submit { token, request, budget_us } => {
                if self.pending.len() >= MAX_PENDING_REQUESTS {
                    let reply = not_proposed(&request);
                    out.extend([ClientEffect::Done(token, reply)]);
                    return;
                }
                let budget = Duration::from_micros(budget_us);
                self.submit(now, Some(token), request, budget, out);
            }
            ClientEvent::Replicas(replicas) => {
                self.replicas = replicas;
                if self.leader.is_some_and(|l| !self.replicas.contains(&l)) {
                    self.leader = None;
                }
                // A new replica may be available to delayed requests.
                for p in &mut self.pending {
                    if p.current_attempt.is_none() {
                        p.retry_at = now;
                    }
                }
                self.tick(now, out);
            }
            ClientEvent::Reply { from, sequence, reply } => {
                self.handle_reply(now, from, sequence, reply, out);
            }
            ClientEvent::Tick => self.tick(now, out),
        }
    }

    fn submit(
        &mut self,
        now: Time,
        token: Option<Token>,
        request: ControlRequest,
        budget: Duration,
        out: &mut impl Extend<ClientEffect>,
    ) {
        let transfer_time = transfer_time(&request);
        self.next_number += 1;
        self.pending.push(PendingRequest {
            number: self.next_number,
            token,
            request,
            deadline: now + budget,
            attempt_timeout: (budget / 3)
                .clamp(ATTEMPT_TIMEOUT_MIN, ATTEMPT_TIMEOUT_MAX)
                + transfer_time,
            retry_delay: RETRY_DELAY,
            current_attempt: None,
            redirects: 0,
            retry_at: now,
            open_attempts: Vec::new(),
            not_ready: None,
        });
        let at = self.pending.len() - 1;
        self.send_attempt(now, at, out);
    }

    /// Sends the request to the leader if known, otherwise to the next
    /// replica.
    fn send_attempt(
        &mut self,
        now: Time,
        at: usize,
        out: &mut impl Extend<ClientEffect>,
    ) {
        let next = self.leader.or_else(|| {
            self.replica_counter = self.replica_counter.wrapping_add(1);
            let count = self.replicas.len().max(1);
            self.replicas.get(self.replica_counter % count).copied()
        });
        let p = &mut self.pending[at];
        p.current_attempt = None;
        let Some(to) = next else {
            p.retry_at = now + RETRY_DELAY;
            return;
        };
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        p.current_attempt = Some((to, sequence));
        p.open_attempts.push(sequence);
        p.retry_at = now + p.attempt_timeout;
        self.attempts.push((sequence, p.number));
        let request = p.request.clone();
        let message = Message::Request { sequence, request };
        out.extend([ClientEffect::Send(to, message)]);
    }

    fn handle_reply(
        &mut self,
        now: Time,
        from: InstanceId,
        sequence: u64,
        reply: ControlReply,
        out: &mut impl Extend<ClientEffect>,
    ) {
        let Some(at) = self.find_request(sequence) else { return };
        let is_current =
            self.pending[at].current_attempt == Some((from, sequence));
        match reply {
            ControlReply::NotLeader(hint) => {
                self.close_attempt(at, sequence);
                if !is_current {
                    return;
                }
                self.pending[at].current_attempt = None;
                if self.leader.is_none_or(|l| l == from) {
                    self.leader = hint.filter(|h| *h != from);
                }
                self.pending[at].redirects += 1;
                let redirects = self.pending[at].redirects;
                if self.leader.is_some()
                    && !redirects.is_multiple_of(MAX_REDIRECTS)
                {
                    self.send_attempt(now, at, out);
                } else {
                    let pause = RETRY_DELAY.as_micros() as u64;
                    let pause = self.rng.random_range(pause / 2..=pause);
                    self.pending[at].retry_at =
                        now + Duration::from_micros(pause);
                }
            }
            // All requests are idempotent, so the request is sent again.
            ControlReply::Unknown => {
                if is_current {
                    let p = &mut self.pending[at];
                    p.current_attempt = None;
                    p.retry_at = now + RETRY_DELAY;
                    if self.leader == Some(from) {
                        self.leader = None;
                    }
                }
            }
            // For example, a leader that has just started and has not heard
            // from the fleet yet.
            ControlReply::NotReady(text) => {
                self.close_attempt(at, sequence);
                let p = &mut self.pending[at];
                p.not_ready = Some(text);
                if !is_current {
                    return;
                }
                p.current_attempt = None;
                // The last attempts come closer, so that the budget is used.
                let left = p.deadline.since(now);
                let delay = p.retry_delay.min(left / 2).max(RETRY_DELAY);
                p.retry_delay = (p.retry_delay * 2).min(MAX_RETRY_DELAY);
                p.retry_at = now + delay + transfer_time(&p.request);
                // Another attempt could not be answered in time, and no
                // earlier one may still be.
                if p.retry_at >= p.deadline && p.open_attempts.is_empty() {
                    let mut p = self.remove(at);
                    let text = p.not_ready.take().unwrap_or_default();
                    let reply = ControlReply::Refused(text);
                    self.give_up(now, p, reply, out);
                }
            }
            reply @ (ControlReply::Refused(_) | ControlReply::TooLarge(_)) => {
                self.close_attempt(at, sequence);
                if !is_current {
                    return;
                }
                let p = self.remove(at);
                self.give_up(now, p, reply, out);
            }
            reply => {
                self.leader = Some(from);
                let p = self.remove(at);
                self.complete(p, reply, out);
            }
        }
    }

    /// Returns the position of the request that an attempt belongs to.
    fn find_request(&self, sequence: u64) -> Option<usize> {
        let key = |a: &(u64, u64)| a.0;
        let at = self.attempts.binary_search_by_key(&sequence, key).ok()?;
        let number = self.attempts[at].1;
        self.pending.binary_search_by_key(&number, |p| p.number).ok()
    }

    /// Records that an attempt has led to no proposal.
    fn close_attempt(&mut self, at: usize, sequence: u64) {
        self.pending[at].open_attempts.retain(|s| *s != sequence);
        self.attempts.retain(|(s, _)| *s != sequence);
    }

    fn remove(&mut self, at: usize) -> PendingRequest {
        let p = self.pending.remove(at);
        self.attempts.retain(|(_, number)| *number != p.number);
        p
    }

    fn tick(&mut self, now: Time, out: &mut impl Extend<ClientEffect>) {
        let mut at = 0;
        while at < self.pending.len() {
            let p = &self.pending[at];
            if now >= p.deadline {
                let mut p = self.remove(at);
                let text = p.not_ready.take();
                let text = text.unwrap_or("no leader answered".into());
                self.give_up(now, p, ControlReply::Refused(text), out);
                continue;
            }
            if now >= p.retry_at {
                // A leader that does not answer may be partitioned or
                // frozen.
                if p.current_attempt
                    .is_some_and(|(to, _)| self.leader == Some(to))
                {
                    self.leader = None;
                }
                self.send_attempt(now, at, out);
            }
            at += 1;
        }
    }

    /// Ends a request that got no definite result. `refused` is the reply if
    /// no attempt can have led to a proposal.
    fn give_up(
        &mut self,
        now: Time,
        p: PendingRequest,
        refused: ControlReply,
        out: &mut impl Extend<ClientEffect>,
    ) {
        let proposed = !p.open_attempts.is_empty();
        let detail =
            format!("request={} may_be_proposed={proposed}", p.number);
        let event = LogEvent::new(&kinds::CONTROL_GAVE_UP, detail);
        out.extend([ClientEffect::Log(event)]);
        let reply = match &p.request {
            ControlRequest::Claim(_) => CLAIM_UNAVAILABLE,
            // A read proposes nothing.
            ControlRequest::Barrier | ControlRequest::ReadZone(_) => refused,
            _ if proposed => ControlReply::Unknown,
            _ => refused,
        };
        if let ControlRequest::Claim(claim) = &p.request
            && proposed
        {
            // The query will not run without a claim. If the claim is granted
            // after all, it must be released, or it would block a resend of
            // the query.
            let settle = ControlRequest::Settle(Settle {
                request_id: claim.request_id.clone(),
                query: claim.query,
                verdict: Verdict::NotRun,
            });
            self.submit(now, None, settle, RELEASE_BUDGET, out);
        }
        self.complete(p, reply, out);
    }

    fn complete(
        &mut self,
        p: PendingRequest,
        reply: ControlReply,
        out: &mut impl Extend<ClientEffect>,
    ) {
        if let Some(token) = p.token {
            out.extend([ClientEffect::Done(token, reply)]);
        }
    }
}

/// Returns how long the content of a request takes over a busy link.
fn transfer_time(request: &ControlRequest) -> Duration {
    let bytes = match request {
        ControlRequest::Change(change) => change.document.len(),
        ControlRequest::Revise(revision) => revision.table.len(),
        _ => 0,
    };
    Duration::from_micros(bytes as u64 * 1_000_000 / LINK_BYTES_PER_S)
}

/// Returns the reply to a request that was not sent at all.
fn not_proposed(request: &ControlRequest) -> ControlReply {
    match request {
        ControlRequest::Claim(_) => CLAIM_UNAVAILABLE,
        _ => ControlReply::Refused("too many requests wait".into()),
    }
}
