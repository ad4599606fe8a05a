//! Proposals: which commands a leader takes into its log.
//!
//! An entry cannot be withdrawn once it is in the log, and a command commits
//! only after everything in front of it. So the bytes of large commands that
//! wait are bounded, and small ones (claims, settlements, orders for zones and
//! roll-outs) have an account of their own, which large ones cannot fill.
//! Changes of the members are bounded by their number: one at a time.

use bytes::Bytes;

use super::{Consensus, ConsensusEffect, Payload, ProposeError, State};
use crate::{id::Token, time::Time};

/// Largest size of a small command, in bytes. Claims, settlements and orders
/// hold a few names and ids of up to 256 bytes each.
const MAX_SMALL_COMMAND_BYTES: u64 = 4 * 1024;

/// Largest total size of the small commands that wait, in bytes: more than
/// 3,000 claims with the longest ids.
const MAX_SMALL_UNCOMMITTED_BYTES: u64 = 1024 * 1024;

/// A proposal whose entry has not committed yet.
pub(super) struct Proposal {
    pub(super) token: Token,
    pub(super) index: u64,
    pub(super) bytes: u64,
}

/// The bytes of the proposals that wait to be committed.
#[derive(Default)]
pub(super) struct Account {
    small: u64,
    large: u64,
}

impl Account {
    pub(super) fn total(&self) -> u64 {
        self.small + self.large
    }

    fn counter(&mut self, bytes: u64) -> &mut u64 {
        if bytes <= MAX_SMALL_COMMAND_BYTES {
            &mut self.small
        } else {
            &mut self.large
        }
    }

    fn add(&mut self, bytes: u64) {
        *self.counter(bytes) += bytes;
    }

    /// Removes a proposal that has committed.
    pub(super) fn release(&mut self, bytes: u64) {
        *self.counter(bytes) -= bytes;
    }

    /// Returns why there is no room for a command, if there is none. A command
    /// above the limit needs to be the only large one.
    fn refusal(&self, bytes: u64, max_large: u64) -> Option<String> {
        let (kind, waiting, limit) = if bytes <= MAX_SMALL_COMMAND_BYTES {
            ("small", self.small, MAX_SMALL_UNCOMMITTED_BYTES)
        } else {
            ("large", self.large, max_large)
        };
        (waiting > 0 && waiting + bytes > limit).then(|| {
            format!(
                "{waiting} bytes of {kind} commands wait to be committed, \
                 the limit is {limit}"
            )
        })
    }
}

impl Consensus {
    pub(super) fn propose(&mut self, now: Time, token: Token, command: Bytes) {
        let State::Leader(leader) = &mut self.state else {
            let error = ProposeError::NotLeader(self.leader);
            self.effects.push(ConsensusEffect::Outcome(token, Err(error)));
            return;
        };
        let bytes = command.len() as u64;
        let max_large = self.options.max_uncommitted_bytes;
        let refusal = leader.account.refusal(bytes, max_large);
        let refusal = refusal.map(ProposeError::Busy);
        if let Some(error) = self.room_refusal(bytes).or(refusal) {
            self.effects.push(ConsensusEffect::Outcome(token, Err(error)));
            return;
        }
        let State::Leader(leader) = &mut self.state else { return };
        let index = self.log.last_index() + 1;
        leader.account.add(bytes);
        leader.proposals.push_back(Proposal { token, index, bytes });
        self.append_local(now, Payload::Command(command));
    }
}
