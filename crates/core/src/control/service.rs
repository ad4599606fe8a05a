//! Handling of requests at a control replica: proposals and their outcomes.

use bytes::Bytes;

use super::{
    Applied, Command, ControlReply, ControlRequest, Message, Read,
    RolloutReply, ZoneStateChange,
    pending::{Pending, PendingRequest, ReplyKind},
};
use crate::{
    consensus::{MemberChange, ProposeError, Status},
    event::{EventKind, LogEvent, control as kinds},
    id::{InstanceId, ReplicaId, Token},
    query::ClaimResult,
    rollout::OrderResult,
};

/// Longest change id or request id, in bytes. Every snapshot holds the ids,
/// so this limit bounds its size.
pub const MAX_ID_BYTES: usize = 256;

/// Reply to an order for a zone that came too late.
const OUTDATED_ORDER: &str =
    "another order for this zone came first; nothing was changed";

/// Interval at which refusals for lack of room are logged, in milliseconds.
const REFUSAL_LOG_INTERVAL_MS: u64 = 1_000;

/// Sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Another instance, with the sequence number of its request.
    Peer(InstanceId, u64),
    /// The operator API of this instance.
    Local(Token),
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceEvent {
    /// A request arrived.
    Request {
        /// Sender of the request.
        origin: Origin,
        /// The request.
        request: ControlRequest,
        /// Wall-clock time in milliseconds since the Unix epoch;
        /// determines when claims expire.
        wall_ms: u64,
    },
    /// The state machine applied a command. Arrives before the `Outcome` of
    /// the same index.
    Applied {
        /// Index of the command.
        index: u64,
        /// Result of the command.
        applied: Applied,
    },
    /// A proposal of this reducer has ended.
    Outcome(Token, Result<u64, ProposeError>),
    /// The status of the replica has changed.
    Status(Status),
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceEffect {
    /// Proposes a command.
    Propose(Token, Bytes),
    /// Asks the replica to confirm that it leads; answered with `Outcome`.
    Read(Token),
    /// Reads the state machine now and sends the result to the origin.
    Answer(Origin, Read),
    /// Proposes a membership change.
    ChangeMembers(Token, MemberChange),
    /// Sends a reply to another instance.
    Send(InstanceId, Message),
    /// Replies to the operator API of this instance.
    Respond(Token, ControlReply),
    /// Logs an event.
    Log(LogEvent),
}

/// Turns requests into proposals, and outcomes into replies.
#[derive(Default)]
pub struct Service {
    status: Status,
    pending: Pending,
    /// When the last request arrived, in milliseconds.
    now_ms: u64,
    /// When the next refusal for lack of room may be logged, in milliseconds.
    next_refusal_log_ms: u64,
    /// Number of these refusals since the last that was logged.
    unlogged_refusals: u64,
    next_token: u64,
    /// Index and result of the last applied command. The outcome of its
    /// proposal follows before the next command is applied.
    last_applied: Option<(u64, Applied)>,
}

impl Service {
    /// Whether the `Outcome` with this token belongs to this reducer.
    pub fn owns(&self, token: Token) -> bool {
        self.pending.contains(token)
    }

    /// Creates the reducer. Its tokens rise from `first_token`, so that they
    /// differ from those of other users of the same replica.
    pub fn new(first_token: u64) -> Service {
        Service { next_token: first_token, ..Service::default() }
    }

    /// Handles an event.
    pub fn step(
        &mut self,
        event: ServiceEvent,
        out: &mut impl Extend<ServiceEffect>,
    ) {
        match event {
            ServiceEvent::Request { origin, request, wall_ms } => {
                self.handle_request(origin, request, wall_ms, out);
            }
            ServiceEvent::Applied { index, applied } => {
                self.handle_applied(&applied, out);
                self.last_applied = Some((index, applied));
            }
            ServiceEvent::Outcome(token, result) => {
                self.handle_outcome(token, result, out);
            }
            ServiceEvent::Status(status) => self.status = status,
        }
    }

    fn handle_request(
        &mut self,
        origin: Origin,
        request: ControlRequest,
        wall_ms: u64,
        out: &mut impl Extend<ServiceEffect>,
    ) {
        self.now_ms = wall_ms;
        self.pending.forget_senders(wall_ms);
        if self.pending.is_full(&request) {
            let text = "too many requests wait for an outcome";
            self.log_busy(text, out);
            send_reply(origin, ControlReply::NotReady(text.into()), out);
            return;
        }
        let refusal = match &request {
            ControlRequest::Change(c) if c.change_id.is_empty() => {
                Some("the change id is empty")
            }
            ControlRequest::Change(c) if c.change_id.len() > MAX_ID_BYTES => {
                Some("the change id is too long")
            }
            ControlRequest::Claim(c) if c.request_id.len() > MAX_ID_BYTES => {
                Some("the request id is too long")
            }
            _ => None,
        };
        let refusal = refusal.map(str::to_owned).or_else(|| match &request {
            ControlRequest::StartRollout(order) => order.problem(),
            _ => None,
        });
        if let Some(text) = refusal {
            log_refusal(&text, out);
            send_reply(origin, ControlReply::Refused(text), out);
            return;
        }
        if let ControlRequest::Join(replica) = &request
            && self.is_member(replica.id)
        {
            send_reply(origin, ControlReply::Done, out);
            return;
        }
        let joinable = matches!(
            request,
            ControlRequest::Change(_) | ControlRequest::Revise(_)
        );
        self.next_token += 1;
        let token = Token(self.next_token);
        let (kind, effect) = match request {
            ControlRequest::Change(change) => {
                (ReplyKind::Change, propose(token, &Command::Change(change)))
            }
            ControlRequest::Claim(mut claim) => {
                claim.at_ms = wall_ms;
                (ReplyKind::Claim, propose(token, &Command::Claim(claim)))
            }
            ControlRequest::Settle(settle) => {
                (ReplyKind::Done, propose(token, &Command::Settle(settle)))
            }
            ControlRequest::Revise(table) => {
                (ReplyKind::Version, propose(token, &Command::Revise(table)))
            }
            ControlRequest::SetZone(change) => {
                (ReplyKind::Version, propose(token, &Command::SetZone(change)))
            }
            ControlRequest::Barrier => {
                (ReplyKind::Read(Read::Version), ServiceEffect::Read(token))
            }
            ControlRequest::ReadZone(zone) => {
                let read = Read::ZoneOrders(zone);
                (ReplyKind::Read(read), ServiceEffect::Read(token))
            }
            ControlRequest::StartRollout(order) => {
                let command = Command::StartRollout(order);
                (ReplyKind::Version, propose(token, &command))
            }
            ControlRequest::MoveRollout(change) => {
                let command = Command::MoveRollout(change);
                (ReplyKind::Version, propose(token, &command))
            }
            ControlRequest::MarkRollouts(clocks) => {
                let command = Command::MarkRollouts(clocks);
                (ReplyKind::Done, propose(token, &command))
            }
            ControlRequest::Join(replica) => {
                let change = MemberChange::AddLearner(replica);
                (ReplyKind::Done, ServiceEffect::ChangeMembers(token, change))
            }
            ControlRequest::Remove(id) => {
                let change = MemberChange::Remove(id);
                (ReplyKind::Done, ServiceEffect::ChangeMembers(token, change))
            }
        };
        let command = match &effect {
            ServiceEffect::Propose(_, command) if joinable => {
                if self.pending.join((origin, wall_ms), command) {
                    return;
                }
                Some(command.clone())
            }
            _ => None,
        };
        let origins = vec![(origin, wall_ms)];
        let request = PendingRequest { token, origins, kind, command };
        self.pending.push(request);
        out.extend([effect]);
    }

    fn handle_applied(
        &self,
        applied: &Applied,
        out: &mut impl Extend<ServiceEffect>,
    ) {
        let (kind, detail) = match applied {
            Applied::Change { change_id, outcome, repeated } => (
                match outcome {
                    _ if *repeated => &kinds::CHANGE_REPEATED,
                    super::ChangeOutcome::Accepted(_) => {
                        &kinds::CHANGE_ACCEPTED
                    }
                    super::ChangeOutcome::Conflict(_) => {
                        &kinds::CHANGE_CONFLICT
                    }
                },
                format!("change_id={change_id:?} outcome={outcome:?}"),
            ),
            Applied::Version { version, changed: true } => {
                (&kinds::CHANGE_ACCEPTED, format!("version={version}"))
            }
            Applied::Zone { change, version, .. } => (
                &kinds::ZONE_ORDERED,
                format!("{} version={version}", describe(change)),
            ),
            Applied::OutdatedZone { change, orders } => (
                &kinds::ZONE_ORDER_OUTDATED,
                format!("{} orders={orders}", describe(change)),
            ),
            Applied::Version { changed: false, .. }
            | Applied::ZoneOrders(_) => return,
            Applied::Claim(result) => {
                (&kinds::CLAIM_DECIDED, format!("result={result:?}"))
            }
            Applied::Malformed => (&kinds::COMMAND_MALFORMED, String::new()),
            Applied::Rollout { reply, changed: true } => {
                (&kinds::ROLLOUT_MOVED, describe_rollout(reply))
            }
            Applied::Rollout { reply, changed: false } => {
                (&kinds::ROLLOUT_UNCHANGED, describe_rollout(reply))
            }
            Applied::Settled
            | Applied::RolloutsMarked
            | Applied::Roster { .. } => return,
        };
        log_event(kind, detail, out);
    }

    fn handle_outcome(
        &mut self,
        token: Token,
        result: Result<u64, ProposeError>,
        out: &mut impl Extend<ServiceEffect>,
    ) {
        let Some(request) = self.pending.take(token) else { return };
        let PendingRequest { origins, kind, .. } = request;
        let answer = match (result, kind) {
            (Ok(_), ReplyKind::Read(read)) => {
                let answer = |(o, _)| ServiceEffect::Answer(o, read.clone());
                out.extend(origins.into_iter().map(answer));
                return;
            }
            (Ok(_), ReplyKind::Done) => ControlReply::Done,
            (
                Ok(index),
                ReplyKind::Change | ReplyKind::Claim | ReplyKind::Version,
            ) => {
                match self.last_applied.take() {
                    Some((i, Applied::Change { outcome, .. }))
                        if i == index =>
                    {
                        ControlReply::Change(outcome)
                    }
                    Some((
                        i,
                        Applied::Version { version, .. }
                        | Applied::Zone { version, .. },
                    )) if i == index => ControlReply::Version(version),
                    Some((i, Applied::OutdatedZone { .. })) if i == index => {
                        ControlReply::Refused(OUTDATED_ORDER.into())
                    }
                    Some((i, Applied::Rollout { reply, .. }))
                        if i == index =>
                    {
                        ControlReply::Rollout(Box::new(reply))
                    }
                    Some((i, Applied::ZoneOrders(orders))) if i == index => {
                        ControlReply::ZoneOrders(orders)
                    }
                    Some((i, Applied::Claim(result))) if i == index => {
                        ControlReply::Claim(result)
                    }
                    // The command was applied as part of a snapshot, so its
                    // result is not known.
                    _ => ControlReply::Unknown,
                }
            }
            (Err(ProposeError::NotLeader(leader)), _) => {
                ControlReply::NotLeader(
                    leader.and_then(|id| self.instance_of(id)),
                )
            }
            (Err(ProposeError::Unknown), _) => ControlReply::Unknown,
            (Err(ProposeError::Rejected(text)), _) => {
                log_refusal(&text, out);
                ControlReply::Refused(text)
            }
            (Err(ProposeError::TooLarge(text)), _) => {
                log_refusal(&text, out);
                ControlReply::TooLarge(text)
            }
            (Err(ProposeError::Busy(text)), _) => {
                self.log_busy(&text, out);
                ControlReply::NotReady(text)
            }
        };
        for (origin, _) in origins {
            send_reply(origin, answer.clone(), out);
        }
    }

    /// Logs a refusal for lack of room, but not each of them: clients ask again.
    fn log_busy(&mut self, text: &str, out: &mut impl Extend<ServiceEffect>) {
        self.unlogged_refusals += 1;
        if self.now_ms < self.next_refusal_log_ms {
            return;
        }
        self.next_refusal_log_ms = self.now_ms + REFUSAL_LOG_INTERVAL_MS;
        let refused = std::mem::take(&mut self.unlogged_refusals);
        let detail = format!("reason={text:?} refused={refused}");
        log_event(&kinds::CONTROL_REFUSED, detail, out);
    }

    fn is_member(&self, id: ReplicaId) -> bool {
        self.status.members.iter().any(|m| m.id == id)
    }

    fn instance_of(&self, id: ReplicaId) -> Option<InstanceId> {
        let member = self.status.members.iter().find(|m| m.id == id)?;
        Some(member.instance)
    }
}

fn describe(change: &ZoneStateChange) -> String {
    let ZoneStateChange { zone, state, after } = change;
    let after = after.map_or(-1, |after| after as i64);
    format!("zone={zone:?} state={state:?} after={after}")
}

fn describe_rollout(reply: &RolloutReply) -> String {
    let result = match reply.result {
        OrderResult::Started => "changed",
        OrderResult::Repeated => "repeated",
        OrderResult::Busy => "busy",
        OrderResult::UnknownService => "unknown_service",
    };
    match &reply.rollout {
        Some(rollout) => format!(
            "result={result} service={:?} number={} version={:?} stage={} \
             config={} reason={:?}",
            rollout.service,
            rollout.number,
            rollout.version,
            rollout.stage.as_str(),
            reply.version,
            rollout.reason
        ),
        None => format!("result={result} config={}", reply.version),
    }
}

fn propose(token: Token, command: &Command) -> ServiceEffect {
    ServiceEffect::Propose(token, command.encode())
}

fn send_reply(
    origin: Origin,
    reply: ControlReply,
    out: &mut impl Extend<ServiceEffect>,
) {
    out.extend([match origin {
        Origin::Peer(instance, sequence) => {
            ServiceEffect::Send(instance, Message::Reply { sequence, reply })
        }
        Origin::Local(token) => ServiceEffect::Respond(token, reply),
    }]);
}

fn log_refusal(text: &str, out: &mut impl Extend<ServiceEffect>) {
    log_event(&kinds::CONTROL_REFUSED, format!("reason={text:?}"), out);
}

fn log_event(
    kind: &'static EventKind,
    detail: String,
    out: &mut impl Extend<ServiceEffect>,
) {
    out.extend([ServiceEffect::Log(LogEvent::new(kind, detail))]);
}

/// Reply to a claim that could not be decided.
pub(super) const CLAIM_UNAVAILABLE: ControlReply =
    ControlReply::Claim(ClaimResult::Unavailable);
