//! An instance's side of requests to the control leader.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::{
    ControlReply, ControlRequest, Message, Settle, service::UNAVAILABLE,
};
use crate::{
    event::{LogEvent, control as kinds},
    id::{InstanceId, Token},
    time::Time,
    verdict::Verdict,
};

/// Requests that may wait at one instance.
const MAX_WAITING: usize = 10_000;

/// Shortest and longest wait for one replica before the next is asked. A
/// healthy leader answers within a round trip and a sync.
const ATTEMPT_MIN: Duration = Duration::from_millis(20);
const ATTEMPT_MAX: Duration = Duration::from_millis(500);

/// Wait before the next attempt when no replica knows a leader.
const ELECTION_PAUSE: Duration = Duration::from_millis(50);

/// Hints that are followed without a pause. During an election two replicas
/// may name each other.
const MAX_HOPS: u32 = 3;

/// Time for a settlement that releases an abandoned claim.
const RELEASE_BUDGET: Duration = Duration::from_secs(5);

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// Send a request; answered with `Done` within the budget.
    Submit {
        /// Correlates the reply.
        token: Token,
        /// The request.
        request: ControlRequest,
        /// Time for an answer, in microseconds.
        budget_us: u64,
    },
    /// The instances that run a control replica.
    Replicas(Vec<InstanceId>),
    /// A reply arrived.
    Reply {
        /// The instance that sent it.
        from: InstanceId,
        /// Of the request.
        sequence: u64,
        /// The reply.
        reply: ControlReply,
    },
    /// Time has passed.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEffect {
    /// Send a message, possibly to this instance itself.
    Send(InstanceId, Message),
    /// A request has ended. `Refused` says that nothing was proposed,
    /// `Unknown` that the request may yet take effect.
    Done(Token, ControlReply),
    /// A line for the log.
    Log(LogEvent),
}

struct Waiting {
    /// Rises with each request.
    number: u64,
    /// None for a settlement that nobody waits for.
    token: Option<Token>,
    request: ControlRequest,
    deadline: Time,
    attempt: Duration,
    /// The replica that was asked last and the sequence number of that
    /// attempt; none during a pause.
    asked: Option<(InstanceId, u64)>,
    /// Number of replicas that did not lead.
    hops: u32,
    /// When to ask again.
    retry_at: Time,
    /// Sequence numbers of the attempts that may have led to a proposal:
    /// those without an answer that rules it out. Each attempt has its own,
    /// so that a repeated answer to one says nothing about another.
    open: Vec<u64>,
    /// Why the leader was not ready when it was last asked.
    not_ready: Option<String>,
}

/// Sends requests to the control leader.
pub struct Client {
    rng: Pcg32,
    replicas: Vec<InstanceId>,
    leader: Option<InstanceId>,
    /// Next replica to ask when the leader is not known.
    turn: usize,
    next_sequence: u64,
    next_number: u64,
    /// Sorted by number.
    waiting: Vec<Waiting>,
    /// The request of each open attempt, sorted by sequence number.
    attempts: Vec<(u64, u64)>,
}

impl Client {
    /// Builds the reducer. Sequence numbers start at random, so that a late
    /// reply to an earlier life of the instance matches nothing.
    pub fn new(seed: u64) -> Client {
        let mut rng = Pcg32::seed_from_u64(seed);
        Client {
            next_sequence: rng.random::<u64>() >> 1,
            turn: rng.random::<u16>().into(),
            rng,
            replicas: Vec::new(),
            leader: None,
            next_number: 0,
            waiting: Vec::new(),
            attempts: Vec::new(),
        }
    }

    /// When `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.waiting.iter().map(|w| w.retry_at.min(w.deadline)).min()
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
                if self.waiting.len() >= MAX_WAITING {
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
                // Requests that found no replica need not wait longer.
                for w in &mut self.waiting {
                    if w.asked.is_none() {
                        w.retry_at = now;
                    }
                }
                self.tick(now, out);
            }
            ClientEvent::Reply { from, sequence, reply } => {
                self.reply(now, from, sequence, reply, out);
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
        self.next_number += 1;
        self.waiting.push(Waiting {
            number: self.next_number,
            token,
            request,
            deadline: now + budget,
            attempt: (budget / 3).clamp(ATTEMPT_MIN, ATTEMPT_MAX),
            asked: None,
            hops: 0,
            retry_at: now,
            open: Vec::new(),
            not_ready: None,
        });
        let at = self.waiting.len() - 1;
        self.ask(now, at, out);
    }

    /// Asks the leader, or else the next replica.
    fn ask(
        &mut self,
        now: Time,
        at: usize,
        out: &mut impl Extend<ClientEffect>,
    ) {
        let next = self.leader.or_else(|| {
            self.turn = self.turn.wrapping_add(1);
            let count = self.replicas.len().max(1);
            self.replicas.get(self.turn % count).copied()
        });
        let w = &mut self.waiting[at];
        w.asked = None;
        let Some(to) = next else {
            w.retry_at = now + ELECTION_PAUSE;
            return;
        };
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        w.asked = Some((to, sequence));
        w.open.push(sequence);
        w.retry_at = now + w.attempt;
        self.attempts.push((sequence, w.number));
        let request = w.request.clone();
        let message = Message::Request { sequence, request };
        out.extend([ClientEffect::Send(to, message)]);
    }

    fn reply(
        &mut self,
        now: Time,
        from: InstanceId,
        sequence: u64,
        reply: ControlReply,
        out: &mut impl Extend<ClientEffect>,
    ) {
        let Some(at) = self.find(sequence) else { return };
        let current = self.waiting[at].asked == Some((from, sequence));
        match reply {
            ControlReply::NotLeader(hint) => {
                self.close(at, sequence);
                if !current {
                    return;
                }
                self.waiting[at].asked = None;
                if self.leader.is_none_or(|l| l == from) {
                    self.leader = hint.filter(|h| *h != from);
                }
                self.waiting[at].hops += 1;
                let hops = self.waiting[at].hops;
                if self.leader.is_some() && !hops.is_multiple_of(MAX_HOPS) {
                    self.ask(now, at, out);
                } else {
                    let pause = ELECTION_PAUSE.as_micros() as u64;
                    let pause = self.rng.random_range(pause / 2..=pause);
                    self.waiting[at].retry_at =
                        now + Duration::from_micros(pause);
                }
            }
            // Every request may be sent again: it has the same effect.
            ControlReply::Unknown => {
                if current {
                    let w = &mut self.waiting[at];
                    w.asked = None;
                    w.retry_at = now + ELECTION_PAUSE;
                    if self.leader == Some(from) {
                        self.leader = None;
                    }
                }
            }
            // A leader that has just started has not heard from the fleet
            // yet.
            ControlReply::NotReady(text) => {
                self.close(at, sequence);
                let w = &mut self.waiting[at];
                w.not_ready = Some(text);
                if current {
                    w.asked = None;
                    w.retry_at = now + ELECTION_PAUSE;
                }
            }
            ControlReply::Refused(text) => {
                self.close(at, sequence);
                if !current {
                    return;
                }
                let w = self.remove(at);
                let reply = ControlReply::Refused(text);
                self.end(now, w, reply, out);
            }
            reply => {
                self.leader = Some(from);
                let w = self.remove(at);
                self.finish(w, reply, out);
            }
        }
    }

    /// The request that an attempt belongs to.
    fn find(&self, sequence: u64) -> Option<usize> {
        let key = |a: &(u64, u64)| a.0;
        let at = self.attempts.binary_search_by_key(&sequence, key).ok()?;
        let number = self.attempts[at].1;
        self.waiting.binary_search_by_key(&number, |w| w.number).ok()
    }

    /// Notes that an attempt has led to no proposal.
    fn close(&mut self, at: usize, sequence: u64) {
        self.waiting[at].open.retain(|s| *s != sequence);
        self.attempts.retain(|(s, _)| *s != sequence);
    }

    fn remove(&mut self, at: usize) -> Waiting {
        let w = self.waiting.remove(at);
        self.attempts.retain(|(_, number)| *number != w.number);
        w
    }

    fn tick(&mut self, now: Time, out: &mut impl Extend<ClientEffect>) {
        let mut at = 0;
        while at < self.waiting.len() {
            let w = &self.waiting[at];
            if now >= w.deadline {
                let mut w = self.remove(at);
                let text = w.not_ready.take();
                let text = text.unwrap_or("no leader answered".into());
                self.end(now, w, ControlReply::Refused(text), out);
                continue;
            }
            if now >= w.retry_at {
                // A leader that does not answer may be cut off or frozen.
                if w.asked.is_some_and(|(to, _)| self.leader == Some(to)) {
                    self.leader = None;
                }
                self.ask(now, at, out);
            }
            at += 1;
        }
    }

    /// Ends a request without a definite answer. `refused` is the reply if
    /// no attempt can have led to a proposal.
    fn end(
        &mut self,
        now: Time,
        w: Waiting,
        refused: ControlReply,
        out: &mut impl Extend<ClientEffect>,
    ) {
        let proposed = !w.open.is_empty();
        let detail =
            format!("request={} may_be_proposed={proposed}", w.number);
        let event = LogEvent::new(&kinds::CONTROL_GAVE_UP, detail);
        out.extend([ClientEffect::Log(event)]);
        let reply = match &w.request {
            ControlRequest::Claim(_) => UNAVAILABLE,
            _ if proposed => ControlReply::Unknown,
            _ => refused,
        };
        if let ControlRequest::Claim(claim) = &w.request
            && proposed
        {
            // The query goes on without the claim and will not run, so its
            // claim must not refuse a resend.
            let settle = ControlRequest::Settle(Settle {
                request_id: claim.request_id.clone(),
                query: claim.query,
                verdict: Verdict::NotRun,
            });
            self.submit(now, None, settle, RELEASE_BUDGET, out);
        }
        self.finish(w, reply, out);
    }

    fn finish(
        &mut self,
        w: Waiting,
        reply: ControlReply,
        out: &mut impl Extend<ClientEffect>,
    ) {
        if let Some(token) = w.token {
            out.extend([ClientEffect::Done(token, reply)]);
        }
    }
}

/// The reply to a request that was not sent at all.
fn not_proposed(request: &ControlRequest) -> ControlReply {
    match request {
        ControlRequest::Claim(_) => UNAVAILABLE,
        _ => ControlReply::Refused("too many requests wait".into()),
    }
}
