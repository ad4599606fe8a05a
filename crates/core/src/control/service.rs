//! The control replica's side of requests: proposals and their outcomes.

use bytes::Bytes;

use super::{Applied, Command, ControlReply, ControlRequest, Message};
use crate::{
    consensus::{MemberChange, ProposeError, Status},
    event::{EventKind, LogEvent, control as kinds},
    id::{InstanceId, ReplicaId, Token},
    query::ClaimResult,
};

/// Longest change id or request id, in bytes. Ids are kept in every
/// snapshot, so their length bounds its size.
pub const MAX_ID_BYTES: usize = 256;

/// Requests that may wait for an outcome at one replica.
const MAX_WAITING: usize = 10_000;

/// Who made a request.
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
        /// Who made it.
        origin: Origin,
        /// The request.
        request: ControlRequest,
        /// Wall-clock time, in milliseconds since the Unix epoch; claims
        /// expire by it.
        wall_ms: u64,
    },
    /// The state machine applied a command. Comes before `Outcome`.
    Applied {
        /// Its index.
        index: u64,
        /// What it did.
        applied: Applied,
    },
    /// A proposal of this reducer has ended.
    Outcome(Token, Result<u64, ProposeError>),
    /// The replica's status has changed.
    Status(Status),
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceEffect {
    /// Propose a command.
    Propose(Token, Bytes),
    /// Propose a change of the members.
    ChangeMembers(Token, MemberChange),
    /// Send a reply to another instance.
    Send(InstanceId, Message),
    /// Reply to the operator API of this instance.
    Respond(Token, ControlReply),
    /// A line for the log.
    Log(LogEvent),
}

/// What kind of proposal waits.
#[derive(Clone, Copy)]
enum Kind {
    Change,
    Claim,
    Version,
    Other,
}

struct Waiting {
    token: Token,
    origin: Origin,
    kind: Kind,
}

/// Turns requests into proposals, and outcomes into replies.
#[derive(Default)]
pub struct Service {
    status: Status,
    /// Sorted by token.
    waiting: Vec<Waiting>,
    next_token: u64,
    /// The command applied last. The outcome of a proposal follows right
    /// behind it.
    last: Option<(u64, Applied)>,
}

impl Service {
    /// Whether `Outcome` of this token belongs to this reducer.
    pub fn owns(&self, token: Token) -> bool {
        self.waiting.binary_search_by_key(&token, |w| w.token).is_ok()
    }

    /// Builds the reducer. Its tokens rise from `first_token`, so that they
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
                self.request(origin, request, wall_ms, out);
            }
            ServiceEvent::Applied { index, applied } => {
                self.applied(&applied, out);
                self.last = Some((index, applied));
            }
            ServiceEvent::Outcome(token, result) => {
                self.outcome(token, result, out);
            }
            ServiceEvent::Status(status) => self.status = status,
        }
    }

    fn request(
        &mut self,
        origin: Origin,
        request: ControlRequest,
        wall_ms: u64,
        out: &mut impl Extend<ServiceEffect>,
    ) {
        let refusal = match &request {
            _ if self.waiting.len() >= MAX_WAITING => {
                Some("too many requests wait for an outcome")
            }
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
        if let Some(text) = refusal {
            refuse(text, out);
            reply(origin, ControlReply::Refused(text.into()), out);
            return;
        }
        if let ControlRequest::Join(replica) = &request
            && self.is_member(replica.id)
        {
            reply(origin, ControlReply::Done, out);
            return;
        }
        self.next_token += 1;
        let token = Token(self.next_token);
        let (kind, effect) = match request {
            ControlRequest::Change(change) => {
                (Kind::Change, propose(token, &Command::Change(change)))
            }
            ControlRequest::Claim(mut claim) => {
                claim.at_ms = wall_ms;
                (Kind::Claim, propose(token, &Command::Claim(claim)))
            }
            ControlRequest::Settle(settle) => {
                (Kind::Other, propose(token, &Command::Settle(settle)))
            }
            ControlRequest::Revise(revision) => {
                (Kind::Version, propose(token, &Command::Revise(revision)))
            }
            ControlRequest::SetZone(order) => {
                (Kind::Version, propose(token, &Command::SetZone(order)))
            }
            ControlRequest::Barrier => {
                (Kind::Version, propose(token, &Command::Barrier))
            }
            ControlRequest::Join(replica) => {
                let change = MemberChange::AddLearner(replica);
                (Kind::Other, ServiceEffect::ChangeMembers(token, change))
            }
            ControlRequest::Remove(id) => {
                let change = MemberChange::Remove(id);
                (Kind::Other, ServiceEffect::ChangeMembers(token, change))
            }
        };
        self.waiting.push(Waiting { token, origin, kind });
        out.extend([effect]);
    }

    fn applied(
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
            Applied::Version { changed: false, .. } => return,
            Applied::Claim(result) => {
                (&kinds::CLAIM_DECIDED, format!("result={result:?}"))
            }
            Applied::Malformed => (&kinds::COMMAND_MALFORMED, String::new()),
            Applied::Settled => return,
        };
        log(kind, detail, out);
    }

    fn outcome(
        &mut self,
        token: Token,
        result: Result<u64, ProposeError>,
        out: &mut impl Extend<ServiceEffect>,
    ) {
        let found = self.waiting.binary_search_by_key(&token, |w| w.token);
        let Ok(at) = found else { return };
        let Waiting { origin, kind, .. } = self.waiting.remove(at);
        let answer = match (result, kind) {
            (Ok(_), Kind::Other) => ControlReply::Done,
            (Ok(index), Kind::Change | Kind::Claim | Kind::Version) => {
                match self.last.take() {
                    Some((i, Applied::Change { outcome, .. }))
                        if i == index =>
                    {
                        ControlReply::Change(outcome)
                    }
                    Some((i, Applied::Version { version, .. }))
                        if i == index =>
                    {
                        ControlReply::Version(version)
                    }
                    Some((i, Applied::Claim(result))) if i == index => {
                        ControlReply::Claim(result)
                    }
                    // A snapshot has covered the command.
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
                refuse(&text, out);
                ControlReply::Refused(text)
            }
        };
        reply(origin, answer, out);
    }

    fn is_member(&self, id: ReplicaId) -> bool {
        self.status.members.iter().any(|m| m.id == id)
    }

    fn instance_of(&self, id: ReplicaId) -> Option<InstanceId> {
        let member = self.status.members.iter().find(|m| m.id == id)?;
        Some(member.instance)
    }
}

fn propose(token: Token, command: &Command) -> ServiceEffect {
    ServiceEffect::Propose(token, command.encode())
}

fn reply(
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

fn refuse(text: &str, out: &mut impl Extend<ServiceEffect>) {
    log(&kinds::CONTROL_REFUSED, format!("reason={text:?}"), out);
}

fn log(
    kind: &'static EventKind,
    detail: String,
    out: &mut impl Extend<ServiceEffect>,
) {
    out.extend([ServiceEffect::Log(LogEvent::new(kind, detail))]);
}

/// A claim that could not be decided.
pub(super) const UNAVAILABLE: ControlReply =
    ControlReply::Claim(ClaimResult::Unavailable);
