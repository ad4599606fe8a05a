//! Requests without an outcome at a control replica, and their senders.

use bytes::Bytes;

use super::{ControlRequest, Read, service::Origin};
use crate::id::Token;

/// Largest number of senders that wait for proposals at one replica, and
/// for reads.
const MAX_PENDING_REQUESTS: usize = 10_000;

/// Time after which the sender of a request no longer waits, in milliseconds:
/// three times the longest default time budget, that of a settlement.
const MAX_SENDER_WAIT_MS: u64 = 30_000;

/// Interval at which such senders are looked for, in milliseconds.
const SENDER_CHECK_INTERVAL_MS: u64 = 1_000;

/// The reply that a successful request gets.
#[derive(Clone, Debug)]
pub(super) enum ReplyKind {
    Change,
    Claim,
    Version,
    Done,
    Read(Read),
}

pub(super) struct PendingRequest {
    pub(super) token: Token,
    /// The senders, each of which gets the reply, and when each request
    /// arrived, in milliseconds.
    pub(super) origins: Vec<(Origin, u64)>,
    pub(super) kind: ReplyKind,
    /// The command, if the same one may join this request.
    pub(super) command: Option<Bytes>,
}

/// The requests without an outcome.
#[derive(Default)]
pub(super) struct Pending {
    /// Sorted by token.
    requests: Vec<PendingRequest>,
    /// Number of senders that wait for a read.
    waiting_reads: usize,
    /// Number of senders that wait for any other request.
    waiting_proposals: usize,
    /// When to look for senders that no longer wait, in milliseconds.
    next_check_ms: u64,
}

impl Pending {
    pub(super) fn contains(&self, token: Token) -> bool {
        self.requests.binary_search_by_key(&token, |p| p.token).is_ok()
    }

    /// Adds a request. Its token is higher than those of all others.
    pub(super) fn push(&mut self, request: PendingRequest) {
        *self.waiting(&request.kind) += request.origins.len();
        self.requests.push(request);
    }

    /// Removes and returns a request.
    pub(super) fn take(&mut self, token: Token) -> Option<PendingRequest> {
        let found = self.requests.binary_search_by_key(&token, |p| p.token);
        let request = self.requests.remove(found.ok()?);
        *self.waiting(&request.kind) -= request.origins.len();
        Some(request)
    }

    /// Adds a sender to the request with the same command, if there is one.
    /// Sent again while it waits, a large change would otherwise be proposed
    /// again in its full size.
    pub(super) fn join(
        &mut self,
        origin: (Origin, u64),
        command: &Bytes,
    ) -> bool {
        let same =
            |p: &&mut PendingRequest| p.command.as_ref() == Some(command);
        let Some(request) = self.requests.iter_mut().find(same) else {
            return false;
        };
        request.origins.push(origin);
        self.waiting_proposals += 1;
        true
    }

    /// Returns the number of senders that wait for this kind of request.
    fn waiting(&mut self, kind: &ReplyKind) -> &mut usize {
        match kind {
            ReplyKind::Read(_) => &mut self.waiting_reads,
            _ => &mut self.waiting_proposals,
        }
    }

    /// Forgets the senders that no longer wait, so that what they proposed
    /// takes no room while nothing commits. What was proposed stays in the log
    /// and may still take effect, and an equal change may still join it.
    pub(super) fn forget_senders(&mut self, wall_ms: u64) {
        if wall_ms < self.next_check_ms {
            return;
        }
        self.next_check_ms = wall_ms + SENDER_CHECK_INTERVAL_MS;
        let oldest = wall_ms.saturating_sub(MAX_SENDER_WAIT_MS);
        let (mut reads, mut proposals) = (0, 0);
        self.requests.retain_mut(|p| {
            p.origins.retain(|(_, arrived)| *arrived >= oldest);
            match p.kind {
                ReplyKind::Read(_) => reads += p.origins.len(),
                _ => proposals += p.origins.len(),
            }
            !p.origins.is_empty() || p.command.is_some()
        });
        self.waiting_reads = reads;
        self.waiting_proposals = proposals;
    }

    /// Whether too many requests of the same kind wait. Reads end within
    /// seconds, and proposals perhaps only with the leadership, so neither may
    /// take the room of the other. The log takes one change of the members at
    /// a time.
    pub(super) fn is_full(&self, request: &ControlRequest) -> bool {
        let waiting = match request {
            ControlRequest::Barrier | ControlRequest::ReadZone(_) => {
                self.waiting_reads
            }
            ControlRequest::Join(_) | ControlRequest::Remove(_) => 0,
            _ => self.waiting_proposals,
        };
        waiting >= MAX_PENDING_REQUESTS
    }
}
