//! Connects the roll-outs to the node.

use std::time::Duration;

use super::{Effect, Internal, Node};
use crate::{
    control::{ControlRequest, Message, client::ClientEvent},
    id::{InstanceId, ServiceId},
    membership::MemberState,
    rollout::{
        Bounds, RolloutOrder,
        report::Report,
        supervisor::{SupervisorEffect, SupervisorEvent},
    },
    time::Time,
};

/// Time within which the leader's own requests have to be committed. It makes
/// new ones after that.
const SUPERVISOR_BUDGET: Duration = Duration::from_secs(1);

impl Node {
    /// Adds to an order the bounds in the settings and the versions that it
    /// replaces, as far as this instance knows them. Returns `None` if the
    /// settings do not enable roll-outs.
    pub(super) fn complete_order(
        &self,
        order: RolloutOrder,
    ) -> Option<RolloutOrder> {
        let Bounds { share, slack } = self.options.forward.rollouts?;
        let service = ServiceId::from_name(&order.service);
        let mut replaces: Vec<String> = self
            .forwarder
            .targets()
            .of_service(service)
            .filter(|t| *t.version != *order.version)
            .map(|t| t.version.to_string())
            .collect();
        replaces.sort();
        replaces.dedup();
        Some(RolloutOrder { share, slack, replaces, ..order })
    }

    /// Sends a report to every control replica.
    pub(super) fn send_report(
        &mut self,
        now: Time,
        report: &Report,
        out: &mut impl Extend<Effect>,
    ) {
        let replicas: Vec<InstanceId> = self
            .members()
            .iter()
            .filter(|m| m.replica.is_some() && m.control_group != 0)
            .filter(|m| m.state != MemberState::Dead)
            .map(|m| m.id)
            .collect();
        for to in replicas {
            let message = Message::Report(report.clone());
            self.send_control(now, to, message, out);
        }
    }

    pub(super) fn supervisor_tick(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        let due = self
            .replica
            .as_ref()
            .and_then(|r| r.supervisor.next_deadline())
            .is_some_and(|at| at <= now);
        if due {
            self.step_supervisor(now, SupervisorEvent::Tick, out);
        }
    }

    /// Passes the roll-outs of the replicated state to the supervisor.
    pub(super) fn supervise_records(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &self.replica else { return };
        let (rollouts, clocks) = replica.state.rollouts();
        let event =
            SupervisorEvent::Records(rollouts.to_vec(), clocks.to_vec());
        self.step_supervisor(now, event, out);
    }

    pub(super) fn step_supervisor(
        &mut self,
        now: Time,
        event: SupervisorEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        let mut effects = Vec::new();
        replica.supervisor.step(now, event, &mut effects);
        for effect in effects {
            let request = match effect {
                SupervisorEffect::Move(change) => {
                    ControlRequest::MoveRollout(change)
                }
                SupervisorEffect::Mark(clocks) => {
                    ControlRequest::MarkRollouts(clocks)
                }
                SupervisorEffect::Log(event) => {
                    out.extend([Effect::Log(event)]);
                    continue;
                }
            };
            let token = self.internal_token();
            self.push(Internal::Client(ClientEvent::Submit {
                token,
                request,
                budget_us: SUPERVISOR_BUDGET.as_micros() as u64,
            }));
        }
    }
}
