/*!
I/O of the forwarding path: callers, targets and the platform's target list.

The reducer makes all decisions. This module stores the complete requests and
answers, whose bodies the reducer never handles, and executes the reducer's
effects. Everything specific to one protocol is behind [`Protocol`].
*/

mod connections;
mod ingress;
mod native;
mod protocol;
mod shared;
mod teams;

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

use self::connections::{AttemptResult, Connections};
pub use self::protocol::{
    AnswerHead, CallerHead, CallerRequest, CallerResponse, Malformed,
    Protocol, Rejection, TargetAnswer, TeamHeaders, end_to_end_headers,
    failure_outcome, forwarded_request, key_rejection_status,
    read_caller_head,
};
pub(crate) use self::{ingress::serve, native::Native};
use crate::daemon::{Clock, ForwardMetrics, Handle, Input};

/// A forwarded request that has no response yet.
struct PendingRequest {
    token: Token,
    req: Arc<CallerRequest>,
    /// `None` for a task that another instance has delegated to this one.
    caller: Option<Caller>,
}

/// The caller that waits for a response, and what its metrics need.
struct Caller {
    route: String,
    since: Instant,
    response: oneshot::Sender<CallerResponse>,
}

/// An attempt at a target that has not ended.
struct RunningAttempt {
    attempt: AttemptId,
    token: Token,
    since: Instant,
}

/// Requests in flight, the answers of targets to them, and the connections
/// to targets.
pub(crate) struct ForwardDriver<P> {
    protocol: P,
    handle: Handle,
    connections: Connections<P>,
    /// Sorted by token.
    requests: Vec<PendingRequest>,
    /// Answers by attempt, with the token of their request; sorted by
    /// attempt.
    answers: Vec<(AttemptId, Token, TargetAnswer)>,
    /// Sorted by attempt.
    running: Vec<RunningAttempt>,
    metrics: ForwardMetrics,
}

impl<P: Protocol> ForwardDriver<P> {
    pub(crate) fn new(
        protocol: P,
        handle: Handle,
        metrics: &ForwardMetrics,
        clock: Clock,
    ) -> ForwardDriver<P> {
        ForwardDriver {
            connections: Connections::new(
                protocol.clone(),
                handle.account().clone(),
                clock,
            ),
            protocol,
            handle,
            requests: Vec::new(),
            answers: Vec::new(),
            running: Vec::new(),
            metrics: metrics.clone(),
        }
    }

    /// Stores a caller's request until it is answered.
    pub(crate) fn add_caller(
        &mut self,
        token: Token,
        route: &str,
        req: Arc<CallerRequest>,
        response: oneshot::Sender<CallerResponse>,
    ) {
        let route = route.to_owned();
        let caller = Caller { route, since: Instant::now(), response };
        self.insert_request(PendingRequest {
            token,
            req,
            caller: Some(caller),
        });
    }

    fn insert_request(&mut self, request: PendingRequest) {
        // A caller takes its token before its request is queued, so
        // requests may arrive here out of token order.
        let i = self.requests.partition_point(|r| r.token < request.token);
        self.requests.insert(i, request);
    }

    /// Drops the request of a caller that has disconnected.
    pub(crate) fn remove_caller(&mut self, token: Token) {
        self.remove_request(token);
    }

    /// Stores the answer of an ended attempt and returns its outcome.
    pub(crate) fn finish_attempt(
        &mut self,
        id: AttemptId,
        result: AttemptResult,
    ) -> Outcome {
        self.connections.finish(id);
        let (outcome, answer) = result;
        let Some(running) = self.remove_running(id) else { return outcome };
        self.metrics.record_attempt(outcome, running.since.elapsed());
        let token = running.token;
        if let Some(answer) = answer
            && self.position(token).is_ok()
        {
            self.store_answer(id, token, answer);
        }
        outcome
    }

    fn store_answer(
        &mut self,
        id: AttemptId,
        token: Token,
        answer: TargetAnswer,
    ) {
        let i = self.answers.partition_point(|a| a.0 < id);
        self.answers.insert(i, (id, token, answer));
    }

    /// Builds the message of an effect for another instance, with the
    /// content that the reducer does not hold. Returns `None` if that
    /// content is gone or the effect sends no such message.
    pub(crate) fn build_message(
        &self,
        effect: ForwardEffect,
    ) -> Option<Message> {
        match effect {
            ForwardEffect::SendTask { token, task, .. } => {
                let i = self.position(token).ok()?;
                let content = shared::encode_request(&self.requests[i].req);
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
                let (signatures, records) = merge_answers(&answers, top);
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

    /// Executes an effect of the reducer.
    pub(crate) fn execute(&mut self, effect: ForwardEffect) {
        match effect {
            ForwardEffect::Send(request) => {
                let Ok(i) = self.position(request.token) else { return };
                let req = Arc::clone(&self.requests[i].req);
                self.metrics.record_sent(request.extra);
                self.running.push(RunningAttempt {
                    attempt: request.attempt,
                    token: request.token,
                    since: Instant::now(),
                });
                let handle = self.handle.clone();
                self.connections.send(request, req, move |id, result| {
                    handle.input(Input::ForwardAttemptEnded(id, result));
                });
            }
            ForwardEffect::Cancel(id) => {
                if self.remove_running(id).is_some() {
                    self.metrics.record_cancelled();
                }
                self.connections.cancel(id);
            }
            ForwardEffect::Respond(token, response) => {
                self.respond(token, response);
            }
            ForwardEffect::ReadDirectory => self.read_directory(),
            ForwardEffect::StoreContent(token, mut content) => {
                let account = self.handle.account();
                content.body = account.hold_for_peer(content.body);
                match shared::decode_request(content) {
                    Ok(req) => {
                        let req = Arc::new(req);
                        self.insert_request(PendingRequest {
                            token,
                            req,
                            caller: None,
                        });
                    }
                    Err(e) => log::warn!("invalid delegated task: {e:#}"),
                }
            }
            ForwardEffect::DropTask(token) => {
                self.remove_request(token);
            }
            ForwardEffect::StoreAnswer {
                attempt,
                token,
                signatures,
                records,
            } => {
                if self.position(token).is_ok() {
                    let records = self.handle.account().hold_for_peer(records);
                    let answer = shared::delegate_answer(signatures, records);
                    self.store_answer(attempt, token, answer);
                }
            }
            ForwardEffect::SendTask { .. }
            | ForwardEffect::SendPart { .. }
            | ForwardEffect::SendShared(..)
            | ForwardEffect::SendDirectory(..)
            | ForwardEffect::TakeShare { .. }
            | ForwardEffect::DropShare(_)
            | ForwardEffect::Report(_)
            | ForwardEffect::Log(_) => {
                unreachable!(
                    "handled by the node, never sent to the forward driver"
                )
            }
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        self.connections.close_idle();
    }

    fn read_directory(&self) {
        let read = self.protocol.read_directory();
        let handle = self.handle.clone();
        spawn_local(async move {
            let result = read.await.map_err(|e| format!("{e:#}"));
            let event = ForwardEvent::DirectoryRead(result);
            handle.event(Event::Forward(event));
        });
    }

    fn respond(&mut self, token: Token, response: Response) {
        let built = self.build_response(&response);
        let Some(caller) = self.remove_request(token).and_then(|r| r.caller)
        else {
            return;
        };
        let took = caller.since.elapsed();
        self.metrics.record_response(&caller.route, &response, took);
        // Fails only if the caller has just disconnected.
        let _ = caller.response.send(built);
    }

    fn build_response(&self, response: &Response) -> CallerResponse {
        match response {
            Response::Relay(id) => match self.answer(*id) {
                Some(answer) => relayed_response(answer),
                None => self.reject_missing_answer(),
            },
            Response::Merge { parts, missing, top } => {
                let Some(answers) = self.answers(parts) else {
                    return self.reject_missing_answer();
                };
                let (signatures, records) = merge_answers(&answers, *top);
                self.protocol.merged_response(&signatures, *missing, records)
            }
            &Response::Reject { reason, verdict, retry_after } => {
                let rejection = Rejection { reason, verdict, retry_after };
                self.protocol.rejection_response(rejection)
            }
        }
    }

    /// Builds the response for a request whose answer should be stored but is
    /// missing, which is an internal error.
    fn reject_missing_answer(&self) -> CallerResponse {
        log::error!(
            "the stored answer of a target is missing; the request is rejected"
        );
        self.protocol.rejection_response(Rejection {
            reason: Reason::TargetFailed,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        })
    }

    /// Returns the answers of these attempts, or `None` if any is missing.
    fn answers(&self, ids: &[AttemptId]) -> Option<Vec<&TargetAnswer>> {
        ids.iter().map(|id| self.answer(*id)).collect()
    }

    fn answer(&self, id: AttemptId) -> Option<&TargetAnswer> {
        let i = self.answers.binary_search_by_key(&id, |a| a.0).ok()?;
        Some(&self.answers[i].2)
    }

    fn position(&self, token: Token) -> Result<usize, usize> {
        self.requests.binary_search_by_key(&token, |r| r.token)
    }

    fn remove_request(&mut self, token: Token) -> Option<PendingRequest> {
        let i = self.position(token).ok()?;
        self.answers.retain(|a| a.1 != token);
        Some(self.requests.remove(i))
    }

    fn remove_running(&mut self, id: AttemptId) -> Option<RunningAttempt> {
        let i = self.running.binary_search_by_key(&id, |r| r.attempt).ok()?;
        Some(self.running.remove(i))
    }
}

/// Returns the signatures of all answers and their `top` greatest records.
fn merge_answers(
    answers: &[&TargetAnswer],
    top: usize,
) -> (Vec<HeaderValue>, Vec<u8>) {
    let signatures =
        answers.iter().flat_map(|a| a.signatures.iter().cloned()).collect();
    let records = merge_top(answers.iter().map(|a| a.body.as_ref()), top);
    (signatures, records)
}

/// Converts a target's answer into a response, without the headers that
/// concern only the connection to the target.
fn relayed_response(answer: &TargetAnswer) -> CallerResponse {
    let body: Bytes = answer.body.clone();
    let mut response = CallerResponse::new(Full::new(body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = end_to_end_headers(&answer.headers);
    response
}
