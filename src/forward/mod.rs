/*!
The forwarding path's edges: callers, targets and the platform's list.

The reducer decides; this module keeps what it never sees, the requests and
answers with their bodies, and carries its effects out. What is particular to
one protocol is behind [`Protocol`].
*/

mod connections;
mod ingress;
mod native;
mod protocol;
mod shared;

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use http::HeaderValue;
use http_body_util::Full;
use primrosemast_core::{
    forward::{
        ForwardEffect, ForwardEvent, Outcome, Reason, Response,
        merge::merge_top,
        shared::{Message, PartialResult, TaskWithContent},
    },
    id::{AttemptId, Token},
    node::Event,
    verdict::Verdict,
};
use tokio::{sync::oneshot, task::spawn_local};

use self::connections::{Connections, Ended};
pub use self::protocol::{
    AnswerHead, CallerHead, CallerRequest, CallerResponse, Malformed,
    Protocol, Rejection, TargetAnswer, forwarded_request, message_headers,
    read_caller_head,
};
pub(crate) use self::{ingress::serve, native::Native};
use crate::daemon::{ForwardMetrics, Handle, Input};

/// A caller that waits for its response.
struct Exchange {
    token: Token,
    req: Arc<CallerRequest>,
    /// `None` for a task of another instance.
    caller: Option<Caller>,
}

/// Who waits for a response.
struct Caller {
    route: String,
    since: Instant,
    response: oneshot::Sender<CallerResponse>,
}

/// A request to a target that has not ended.
struct Running {
    attempt: AttemptId,
    token: Token,
    since: Instant,
}

/// Callers in flight and what targets have answered them.
pub(crate) struct ForwardDriver<P> {
    protocol: P,
    handle: Handle,
    connections: Connections<P>,
    /// Sorted by token.
    exchanges: Vec<Exchange>,
    /// Sorted by attempt.
    answers: Vec<(AttemptId, Token, TargetAnswer)>,
    /// Sorted by attempt.
    running: Vec<Running>,
    metrics: ForwardMetrics,
}

impl<P: Protocol> ForwardDriver<P> {
    pub(crate) fn new(
        protocol: P,
        handle: Handle,
        metrics: &ForwardMetrics,
    ) -> ForwardDriver<P> {
        ForwardDriver {
            connections: Connections::new(protocol.clone()),
            protocol,
            handle,
            exchanges: Vec::new(),
            answers: Vec::new(),
            running: Vec::new(),
            metrics: metrics.clone(),
        }
    }

    /// Keeps a caller's request until it is answered.
    pub(crate) fn add_caller(
        &mut self,
        token: Token,
        route: &str,
        req: Arc<CallerRequest>,
        response: oneshot::Sender<CallerResponse>,
    ) {
        let route = route.to_owned();
        let caller = Caller { route, since: Instant::now(), response };
        self.insert(Exchange { token, req, caller: Some(caller) });
    }

    fn insert(&mut self, exchange: Exchange) {
        // Tokens are taken before they are queued, so two callers may
        // arrive here in the other order.
        let i = self.exchanges.partition_point(|e| e.token < exchange.token);
        self.exchanges.insert(i, exchange);
    }

    /// Forgets a caller that has left.
    pub(crate) fn remove_caller(&mut self, token: Token) {
        self.take(token);
    }

    /// Keeps what an attempt has brought, and says how it has ended.
    pub(crate) fn finish_attempt(
        &mut self,
        id: AttemptId,
        ended: Ended,
    ) -> Outcome {
        self.connections.ended(id);
        let (outcome, answer) = ended;
        let Some(running) = self.forget(id) else { return outcome };
        self.metrics.ended(outcome, running.since.elapsed());
        let token = running.token;
        if let Some(answer) = answer
            && self.position(token).is_ok()
        {
            self.keep(id, token, answer);
        }
        outcome
    }

    fn keep(&mut self, id: AttemptId, token: Token, answer: TargetAnswer) {
        let i = self.answers.partition_point(|a| a.0 < id);
        self.answers.insert(i, (id, token, answer));
    }

    /// Adds the content to a message of the reducer for another instance.
    pub(crate) fn build_message(
        &self,
        effect: ForwardEffect,
    ) -> Option<Message> {
        match effect {
            ForwardEffect::SendTask { token, task, .. } => {
                let i = self.position(token).ok()?;
                let content = shared::content(&self.exchanges[i].req);
                Some(Message::Ask(Box::new(TaskWithContent { task, content })))
            }
            ForwardEffect::SendPart {
                number,
                parts,
                shards,
                top,
                done,
                ..
            } => {
                let answers = self.answers(&parts)?;
                let (signatures, records) = merge(&answers, top);
                let signatures = signatures
                    .iter()
                    .map(|s| Bytes::copy_from_slice(s.as_bytes()))
                    .collect();
                let records = records.into();
                Some(Message::Part(PartialResult {
                    number,
                    shards,
                    signatures,
                    records,
                    done,
                }))
            }
            _ => None,
        }
    }

    /// Carries an effect of the reducer out.
    pub(crate) fn execute(&mut self, effect: ForwardEffect) {
        match effect {
            ForwardEffect::Send(send) => {
                let Ok(i) = self.position(send.token) else { return };
                let req = Arc::clone(&self.exchanges[i].req);
                self.metrics.sent(send.extra);
                self.running.push(Running {
                    attempt: send.attempt,
                    token: send.token,
                    since: Instant::now(),
                });
                let handle = self.handle.clone();
                self.connections.send(send, req, move |id, ended| {
                    handle.input(Input::ForwardEnded(id, ended));
                });
            }
            ForwardEffect::Cancel(id) => {
                if self.forget(id).is_some() {
                    self.metrics.cancelled();
                }
                self.connections.cancel(id);
            }
            ForwardEffect::Respond(token, response) => {
                self.respond(token, response);
            }
            ForwardEffect::ReadDirectory => self.read_directory(),
            ForwardEffect::StoreContent(token, content) => {
                match shared::request(content) {
                    Ok(req) => {
                        let req = Arc::new(req);
                        self.insert(Exchange { token, req, caller: None });
                    }
                    Err(e) => log::warn!("a task cannot be read: {e:#}"),
                }
            }
            ForwardEffect::DropTask(token) => {
                self.take(token);
            }
            ForwardEffect::StoreAnswer {
                attempt,
                token,
                signatures,
                records,
            } => {
                if self.position(token).is_ok() {
                    let answer = shared::answer(signatures, records);
                    self.keep(attempt, token, answer);
                }
            }
            ForwardEffect::SendTask { .. }
            | ForwardEffect::SendPart { .. }
            | ForwardEffect::SendShared(..)
            | ForwardEffect::SendDirectory(..)
            | ForwardEffect::Log(_) => {
                unreachable!("the node handles these itself")
            }
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        self.connections.close_idle();
    }

    fn read_directory(&self) {
        let reading = self.protocol.read_directory();
        let handle = self.handle.clone();
        spawn_local(async move {
            let result = reading.await.map_err(|e| format!("{e:#}"));
            let event = ForwardEvent::DirectoryRead(result);
            handle.event(Event::Forward(event));
        });
    }

    fn respond(&mut self, token: Token, response: Response) {
        let built = self.build(&response);
        let Some(caller) = self.take(token).and_then(|e| e.caller) else {
            return;
        };
        let took = caller.since.elapsed();
        self.metrics.responded(&caller.route, &response, took);
        // A caller that has just left needs no response.
        let _ = caller.response.send(built);
    }

    fn build(&self, response: &Response) -> CallerResponse {
        match response {
            Response::Relay(id) => match self.answer(*id) {
                Some(answer) => relay(answer),
                None => self.reject_lost(),
            },
            Response::Merge { parts, missing, top } => {
                let Some(answers) = self.answers(parts) else {
                    return self.reject_lost();
                };
                let (signatures, records) = merge(&answers, *top);
                self.protocol.merged(&signatures, *missing, records)
            }
            &Response::Reject { reason, verdict, retry_after } => {
                let rejection = Rejection { reason, verdict, retry_after };
                self.protocol.rejection(rejection)
            }
        }
    }

    /// An answer that the reducer counts on is not here.
    fn reject_lost(&self) -> CallerResponse {
        log::error!("an answer of a target was lost before its response");
        self.protocol.rejection(Rejection {
            reason: Reason::TargetFailed,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        })
    }

    /// The answers of these attempts, if all of them are here.
    fn answers(&self, ids: &[AttemptId]) -> Option<Vec<&TargetAnswer>> {
        ids.iter().map(|id| self.answer(*id)).collect()
    }

    fn answer(&self, id: AttemptId) -> Option<&TargetAnswer> {
        let i = self.answers.binary_search_by_key(&id, |a| a.0).ok()?;
        Some(&self.answers[i].2)
    }

    fn position(&self, token: Token) -> Result<usize, usize> {
        self.exchanges.binary_search_by_key(&token, |e| e.token)
    }

    fn take(&mut self, token: Token) -> Option<Exchange> {
        let i = self.position(token).ok()?;
        self.answers.retain(|a| a.1 != token);
        Some(self.exchanges.remove(i))
    }

    fn forget(&mut self, id: AttemptId) -> Option<Running> {
        let i = self.running.binary_search_by_key(&id, |r| r.attempt).ok()?;
        Some(self.running.remove(i))
    }
}

/// The signatures of all answers, and their greatest records.
fn merge(
    answers: &[&TargetAnswer],
    top: usize,
) -> (Vec<HeaderValue>, Vec<u8>) {
    let signatures =
        answers.iter().flat_map(|a| a.signatures.iter().cloned()).collect();
    let records = merge_top(answers.iter().map(|a| a.body.as_ref()), top);
    (signatures, records)
}

/// A target's answer, unchanged but for what concerns its connection.
fn relay(answer: &TargetAnswer) -> CallerResponse {
    let body: Bytes = answer.body.clone();
    let mut response = CallerResponse::new(Full::new(body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = message_headers(&answer.headers);
    response
}
