//! Carries out the effects of the reducer.

use std::net::SocketAddr;

use primrosemast_core::{
    forward::ForwardEffect,
    id::InstanceId,
    message::PeerMessage,
    node::Effect,
    target::{RequestId, TargetEffect},
};

use super::{Daemon, log_event, take_pending};
use crate::{
    forward::Protocol,
    target_client::{self, Outgoing},
};

impl<P: Protocol> Daemon<P> {
    pub(super) fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, address, message } => {
                self.send_peer(to, address, &message);
            }
            Effect::Target(effect) => self.target_effect(effect),
            Effect::Forward(effect) => self.forwarding.execute(effect),
            Effect::SendContent { address, effect } => {
                let to = match &effect {
                    ForwardEffect::SendTask { to, .. }
                    | ForwardEffect::SendPart { to, .. } => *to,
                    _ => return,
                };
                if let Some(message) = self.forwarding.build_message(effect) {
                    let message = PeerMessage::Shared(message);
                    self.send_peer(to, address, &message);
                }
            }
            Effect::Persist { ticket, write } => {
                if let Some(storage) = &self.storage {
                    storage.write(ticket, write);
                }
            }
            Effect::Respond(token, response) => {
                if let Some(caller) = take_pending(&mut self.callers, token) {
                    self.metrics
                        .record_response(&response, caller.since.elapsed());
                    let _ = caller.response.send(response);
                }
            }
            Effect::Reply(token, reply) => {
                if let Some(operator) =
                    take_pending(&mut self.operators, token)
                {
                    let _ = operator.response.send(reply);
                }
            }
            Effect::Log(event) => {
                self.metrics.record_log_event(&event);
                log_event(&event);
            }
            Effect::Drained => self.drained = true,
        }
    }

    fn send_peer(
        &mut self,
        to: InstanceId,
        address: SocketAddr,
        message: &PeerMessage,
    ) {
        if let Some(size) = self.peers.send(to, address, message) {
            self.metrics.record_peer_message(class_name(message), size);
        }
    }

    pub(super) fn target_effect(&mut self, effect: TargetEffect) {
        match effect {
            TargetEffect::Connect { address, conn, .. } => {
                self.metrics.record_target_connection();
                self.connections.open(conn, address, self.handle.clone());
            }
            TargetEffect::Send { conn, job } => {
                self.metrics.record_target_request();
                let budget = job.deadline.since(self.now());
                self.connections.send(conn, Outgoing { job, budget });
            }
            TargetEffect::Close(conn) => self.connections.close(conn),
            TargetEffect::CancelRemote {
                target,
                address,
                query,
                attempt,
                shard,
            } => {
                let id = RequestId { query, attempt, shard };
                let events = self.handle.clone();
                target_client::cancel(target, address, id, events);
            }
            TargetEffect::ProbeHealth { target, address } => {
                let events = self.handle.clone();
                target_client::probe_health(target, address, events);
            }
            TargetEffect::Done(..)
            | TargetEffect::Report(_)
            | TargetEffect::NotifyStandby { .. }
            | TargetEffect::ConfirmSharing { .. }
            | TargetEffect::Log(_) => {
                unreachable!("the node handles these itself")
            }
        }
    }
}

/// Returns the class of a message, a label of the peer metrics.
fn class_name(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Membership(_) => "membership",
        PeerMessage::Consensus(_) => "consensus",
        PeerMessage::Sync(_) => "sync",
        PeerMessage::Query(_) => "query",
        PeerMessage::Control(_) => "control",
        PeerMessage::Directory(_) => "directory",
        PeerMessage::Shared(_) => "shared",
        PeerMessage::Shares(_) => "shares",
    }
}
