//! Bootstrapping, joining and changing the control group.

use std::time::Duration;

use super::{
    Effect, INTERNAL_TOKEN, Internal, Node, OperatorReply, OperatorRequest,
};
use crate::{
    consensus::{ConsensusEvent, Replica},
    control::{ControlRequest, client::ClientEvent},
    id::Token,
    time::Time,
};

/// Time within which a request to join has to be answered.
const JOIN_BUDGET: Duration = Duration::from_secs(1);

impl Node {
    /// Requests that the leader of an existing group adds this replica.
    pub(super) fn join_group(&mut self) {
        let group_exists = self.members().iter().any(|m| {
            m.id != self.own_member.id
                && m.replica.is_some()
                && m.control_group != 0
        });
        let Some(replica) = self.this_replica().filter(|_| group_exists)
        else {
            return;
        };
        let token = self.internal_token();
        self.push(Internal::Client(ClientEvent::Submit {
            token,
            request: ControlRequest::Join(replica),
            budget_us: JOIN_BUDGET.as_micros() as u64,
        }));
    }

    /// Returns this instance's replica as a non-voting member of a group.
    pub(super) fn this_replica(&self) -> Option<Replica> {
        Some(Replica {
            id: self.replica.as_ref()?.id,
            instance: self.own_member.id,
            name: self.own_member.name.clone(),
            address: self.own_member.address,
            voter: false,
        })
    }

    pub(super) fn handle_operator_request(
        &mut self,
        now: Time,
        token: Token,
        req: OperatorRequest,
        out: &mut impl Extend<Effect>,
    ) {
        let request = match req {
            OperatorRequest::Bootstrap { group } => {
                let reply = self.bootstrap(now, group, out);
                out.extend([Effect::Reply(token, reply)]);
                return;
            }
            OperatorRequest::Change(change) => ControlRequest::Change(change),
            OperatorRequest::Revise(revision) => {
                ControlRequest::Revise(revision)
            }
            OperatorRequest::SetZone(order) => ControlRequest::SetZone(order),
            OperatorRequest::ReadZone(zone) => ControlRequest::ReadZone(zone),
            OperatorRequest::Barrier => ControlRequest::Barrier,
            OperatorRequest::Remove(id) => ControlRequest::Remove(id),
            OperatorRequest::StartRollout(order) => {
                let Some(order) = self.complete_order(order) else {
                    let text = "the settings do not enable roll-outs";
                    let reply = OperatorReply::Refused(text.into());
                    out.extend([Effect::Reply(token, reply)]);
                    return;
                };
                ControlRequest::StartRollout(order)
            }
            OperatorRequest::MoveRollout(change) => {
                ControlRequest::MoveRollout(change)
            }
        };
        debug_assert_eq!(token.0 & INTERNAL_TOKEN, 0);
        self.push(Internal::Client(ClientEvent::Submit {
            token,
            request,
            budget_us: self.options.change_budget.as_micros() as u64,
        }));
    }

    /// Bootstraps a control group with this replica as its only voter, unless
    /// a member is in a control group already.
    pub(super) fn bootstrap(
        &mut self,
        now: Time,
        group: u64,
        out: &mut impl Extend<Effect>,
    ) -> OperatorReply {
        let existing = self.members().iter().find(|m| m.control_group != 0);
        if let Some(member) = existing {
            return OperatorReply::Refused(format!(
                "{} is in control group {:016x} already",
                member.name, member.control_group
            ));
        }
        let Some(replica) = self.this_replica() else {
            return OperatorReply::Refused(
                "this instance has no control replica".into(),
            );
        };
        let replica = Replica { voter: true, ..replica };
        let event = ConsensusEvent::Bootstrap { group, replica };
        self.step_consensus(now, event, out);
        OperatorReply::Bootstrapped
    }
}
