//! Proposals: which commands a leader takes into its log.

use bytes::Bytes;

use super::{Consensus, ConsensusEffect, Payload, ProposeError, State};
use crate::{id::Token, time::Time};

/// A proposal whose entry has not committed yet.
pub(super) struct Proposal {
    pub(super) token: Token,
    pub(super) index: u64,
    pub(super) bytes: u64,
}

impl Consensus {
    pub(super) fn propose(&mut self, now: Time, token: Token, command: Bytes) {
        let State::Leader(leader) = &mut self.state else {
            let error = ProposeError::NotLeader(self.leader);
            self.effects.push(ConsensusEffect::Outcome(token, Err(error)));
            return;
        };
        if leader.uncommitted_bytes > self.options.max_uncommitted_bytes {
            let text = format!(
                "{} bytes wait to be committed, the limit is {}",
                leader.uncommitted_bytes, self.options.max_uncommitted_bytes
            );
            let error = ProposeError::Rejected(text);
            self.effects.push(ConsensusEffect::Outcome(token, Err(error)));
            return;
        }
        let index = self.log.last_index() + 1;
        let bytes = command.len() as u64;
        leader.uncommitted_bytes += bytes;
        leader.proposals.push_back(Proposal { token, index, bytes });
        self.append_local(now, Payload::Command(command));
    }
}
