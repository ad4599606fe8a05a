//! Operators' requests about roll-outs.

use std::time::Duration;

use primrosemast_core::{
    control::{ControlReply, RolloutReply},
    node::{OperatorReply, OperatorRequest},
    rollout::{OrderResult, Rollout, RolloutMove, RolloutOrder, Stage},
};

use super::Handle;

/// Result of an operator's request about a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutDecision {
    /// The roll-out is now as the operator has requested, by this request or
    /// an earlier one.
    Done(Rollout),
    /// The request has no effect, because the service's last roll-out, if
    /// there is one, is in another state.
    Conflict(Option<Rollout>),
    /// There is no such service.
    UnknownService,
    /// The request is not valid, for this reason.
    Invalid(String),
    /// The request was not accepted, or its outcome is not known, for this
    /// reason. It may be sent again.
    NotNow(String),
}

impl Handle {
    /// Orders that the traffic of a service moves to the targets of a version.
    /// The same order may be sent again.
    pub async fn start_rollout(
        &self,
        service: &str,
        version: &str,
        duration: Duration,
    ) -> RolloutDecision {
        let duration_ms =
            u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let order = RolloutOrder::new(service, version, duration_ms);
        if let Some(problem) = order.problem() {
            return RolloutDecision::Invalid(problem);
        }
        let request = OperatorRequest::StartRollout(order);
        let reply = match self.submit_rollout_request(request).await {
            Ok(reply) => reply,
            Err(reason) => return RolloutDecision::NotNow(reason),
        };
        match (reply.result, reply.rollout) {
            (OrderResult::UnknownService, _) => {
                RolloutDecision::UnknownService
            }
            (OrderResult::Started | OrderResult::Repeated, Some(rollout)) => {
                RolloutDecision::Done(rollout)
            }
            (_, rollout) => RolloutDecision::Conflict(rollout),
        }
    }

    /// Takes the running roll-out of a service back.
    pub async fn abort_rollout(&self, service: &str) -> RolloutDecision {
        let change = RolloutMove {
            service: service.to_owned(),
            number: None,
            from: None,
            to: Stage::RolledBack,
            elapsed_ms: 0,
            reason: "aborted by an operator".into(),
        };
        let request = OperatorRequest::MoveRollout(change);
        match self.submit_rollout_request(request).await {
            Ok(RolloutReply { rollout: Some(rollout), .. })
                if rollout.stage == Stage::RolledBack =>
            {
                RolloutDecision::Done(rollout)
            }
            Ok(reply) => RolloutDecision::Conflict(reply.rollout),
            Err(reason) => RolloutDecision::NotNow(reason),
        }
    }

    /// Returns the last roll-out of a service, not older than any order or
    /// change that was acknowledged before this call.
    ///
    /// # Errors
    ///
    /// Returns the reason in the same cases as
    /// [`Handle::newest_configuration`].
    pub async fn rollout(
        &self,
        service: &str,
    ) -> Result<Option<Rollout>, String> {
        let configuration = self.newest_configuration().await?;
        Ok(configuration.and_then(|c| c.rollout(service).cloned()))
    }

    async fn submit_rollout_request(
        &self,
        request: OperatorRequest,
    ) -> Result<RolloutReply, String> {
        match self.submit_operator_request(request).await {
            Some(OperatorReply::Control(ControlReply::Rollout(reply))) => {
                Ok(*reply)
            }
            Some(OperatorReply::Control(
                ControlReply::NotReady(reason) | ControlReply::Refused(reason),
            ))
            | Some(OperatorReply::Refused(reason)) => Err(reason),
            Some(_) => Err("the outcome is not known".into()),
            None => Err("this instance is stopping".into()),
        }
    }
}
