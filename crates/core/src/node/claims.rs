//! Claims of request ids, and replies of the control leader.

use super::{
    Effect, INTERNAL_TOKEN, Internal, Node, OperatorReply, PendingClaim,
};
use crate::{
    control::{
        Claim, ControlReply, ControlRequest, Settle, client::ClientEvent,
    },
    id::{QueryId, Token},
    query::{ClaimResult, QueryEvent},
    verdict::Verdict,
};

impl Node {
    pub(super) fn handle_control_reply(
        &mut self,
        token: Token,
        reply: ControlReply,
        out: &mut impl Extend<Effect>,
    ) {
        if token.0 & INTERNAL_TOKEN == 0 {
            let reply = OperatorReply::Control(reply);
            out.extend([Effect::Reply(token, reply)]);
            return;
        }
        let Ok(i) =
            self.pending_claims.binary_search_by_key(&token, |c| c.token)
        else {
            return;
        };
        let claim = self.pending_claims.remove(i);
        let result = match reply {
            ControlReply::Claim(result) => result,
            _ => ClaimResult::Unavailable,
        };
        self.push(Internal::Query(QueryEvent::Claimed(claim.query, result)));
    }

    pub(super) fn submit_claim(
        &mut self,
        query: QueryId,
        request_id: String,
        budget_us: u64,
    ) {
        let token = self.internal_token();
        self.pending_claims.push(PendingClaim { token, query });
        let request =
            ControlRequest::Claim(Claim { request_id, query, at_ms: 0 });
        self.push(Internal::Client(ClientEvent::Submit {
            token,
            request,
            budget_us,
        }));
    }

    pub(super) fn submit_settle(
        &mut self,
        query: QueryId,
        request_id: String,
        verdict: Verdict,
    ) {
        let token = self.internal_token();
        let settle = Settle { request_id, query, verdict };
        self.push(Internal::Client(ClientEvent::Submit {
            token,
            request: ControlRequest::Settle(settle),
            budget_us: self.options.settle_budget.as_micros() as u64,
        }));
    }

    pub(super) fn internal_token(&mut self) -> Token {
        self.last_internal_token += 1;
        Token(INTERNAL_TOKEN | self.last_internal_token)
    }
}
