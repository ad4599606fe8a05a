//! Attempts that have not ended.

use crate::{
    id::{AttemptId, RouteId, TargetId, Token},
    time::Time,
};

/// A request that was sent to a target and has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) token: Token,
    pub(super) route: RouteId,
    /// Index of the shard in the shards of the request.
    pub(super) shard: usize,
    pub(super) target: TargetId,
    pub(super) sent_at: Time,
    /// Whether the attempt was charged to the budget for extra requests.
    pub(super) extra: bool,
    /// Time at which the attempt is cancelled; set once it is superseded,
    /// which means that its answer is no longer needed.
    pub(super) cancel_at: Option<Time>,
}

/// Attempts that have not ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    /// Sorted by identifier; identifiers increase.
    open: Vec<Attempt>,
    last_id: u64,
}

impl Attempts {
    pub(super) fn next_id(&mut self) -> AttemptId {
        self.last_id += 1;
        AttemptId(self.last_id)
    }

    pub(super) fn add(&mut self, attempt: Attempt) {
        self.open.push(attempt);
    }

    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        let i = self.open.binary_search_by_key(&id, |a| a.id).ok()?;
        Some(self.open.remove(i))
    }

    pub(super) fn of_request(
        &self,
        token: Token,
    ) -> impl Iterator<Item = &Attempt> {
        self.open.iter().filter(move |a| a.token == token)
    }

    pub(super) fn of_request_mut(
        &mut self,
        token: Token,
    ) -> impl Iterator<Item = &mut Attempt> {
        self.open.iter_mut().filter(move |a| a.token == token)
    }

    /// Returns the oldest superseded attempt at the target.
    pub(super) fn oldest_superseded_at(
        &self,
        target: TargetId,
    ) -> Option<AttemptId> {
        self.open
            .iter()
            .find(|a| a.target == target && a.cancel_at.is_some())
            .map(|a| a.id)
    }

    /// Returns the superseded attempts that are due to be cancelled.
    pub(super) fn overdue(&self, now: Time) -> Vec<AttemptId> {
        self.open
            .iter()
            .filter(|a| a.cancel_at.is_some_and(|at| at <= now))
            .map(|a| a.id)
            .collect()
    }

    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.open.iter().filter_map(|a| a.cancel_at).min()
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }
}
