//! Connects the limits that all instances share to the node.

use super::{Effect, Internal, Node};
use crate::{
    forward::ForwardEvent,
    id::LimitId,
    membership::{Member, MemberState},
    message::PeerMessage,
    placement::Candidate,
    shares::{ShareEffect, ShareEvent, Shares, VoterList},
    time::Time,
};

/// The last inputs of the shared limits.
#[derive(Debug, Default)]
pub(super) struct ShareInputs {
    grantors: Vec<Candidate>,
    voter_list: Option<VoterList>,
}

impl Node {
    pub(super) fn step_shares(
        &mut self,
        now: Time,
        event: ShareEvent,
        out: &mut impl Extend<Effect>,
    ) {
        let mut effects = Vec::new();
        self.shares.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                ShareEffect::Send(to, message) => {
                    self.send(to, PeerMessage::Shares(message), out);
                }
                ShareEffect::Admit(token) => {
                    let event = ForwardEvent::ShareTaken(token);
                    self.push(Internal::Forward(event));
                }
                ShareEffect::Refuse { token, retry_after } => {
                    let event = ForwardEvent::ShareRefused(token, retry_after);
                    self.push(Internal::Forward(event));
                }
                ShareEffect::Log(event) => out.extend([Effect::Log(event)]),
            }
        }
    }

    /// Passes the limits of the teams to the shared limits.
    pub(super) fn share_limits_changed(&mut self) {
        let enabled = self.options.shares.enabled;
        let teams = &self.forwarding_table().teams;
        let limits = teams
            .iter()
            .filter(|_| enabled)
            .filter_map(|t| Some((LimitId::from(t.id), t.team.limit?)))
            .collect();
        self.push(Internal::Share(ShareEvent::Limits(limits)));
    }

    /// Passes the instances that may be voters to the shared limits.
    pub(super) fn grantors_changed(&mut self) {
        let may_vote = |m: &&Member| {
            m.replica.is_some()
                && m.control_group != 0
                && m.state < MemberState::Leaving
        };
        let members = self.members().iter().filter(may_vote);
        let grantors: Vec<Candidate> = members
            .map(|m| Candidate { instance: m.id, zone: m.zone })
            .collect();
        if grantors != self.share_inputs.grantors {
            self.share_inputs.grantors.clone_from(&grantors);
            self.push(Internal::Share(ShareEvent::Grantors(grantors)));
        }
    }

    /// Passes a confirmation of the list of voters to the shared limits.
    pub(super) fn voter_list_changed(&mut self) {
        let list = self.sync.voter_list();
        if list == self.share_inputs.voter_list {
            return;
        }
        self.share_inputs.voter_list = list;
        if let Some(list) = list {
            self.push(Internal::Share(ShareEvent::Confirmed(list)));
        }
    }

    /// Returns the state of the limits that all instances share.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }
}
