//! Requests to targets that have not ended.

use crate::{
    id::{AttemptId, RouteId, TargetId, Token},
    time::Time,
};

/// A request to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) token: Token,
    pub(super) route: RouteId,
    /// Place among the request's shards.
    pub(super) shard: usize,
    pub(super) target: TargetId,
    pub(super) sent_at: Time,
    /// Whether it took an extra request from the budget.
    pub(super) extra: bool,
    /// Nobody waits for it; it is cancelled at this time.
    pub(super) cancel_at: Option<Time>,
}

/// All attempts, sorted by identifier, which only grows.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    all: Vec<Attempt>,
    last: u64,
}

impl Attempts {
    pub(super) fn next_id(&mut self) -> AttemptId {
        self.last += 1;
        AttemptId(self.last)
    }

    pub(super) fn add(&mut self, attempt: Attempt) {
        self.all.push(attempt);
    }

    pub(super) fn take(&mut self, id: AttemptId) -> Option<Attempt> {
        let i = self.all.binary_search_by_key(&id, |a| a.id).ok()?;
        Some(self.all.remove(i))
    }

    pub(super) fn of_request(
        &self,
        token: Token,
    ) -> impl Iterator<Item = &Attempt> {
        self.all.iter().filter(move |a| a.token == token)
    }

    pub(super) fn of_request_mut(
        &mut self,
        token: Token,
    ) -> impl Iterator<Item = &mut Attempt> {
        self.all.iter_mut().filter(move |a| a.token == token)
    }

    /// The oldest attempt at the target that nobody waits for.
    pub(super) fn unneeded_at(&self, target: TargetId) -> Option<AttemptId> {
        self.all
            .iter()
            .find(|a| a.target == target && a.cancel_at.is_some())
            .map(|a| a.id)
    }

    /// Attempts that nobody waits for and whose time is over.
    pub(super) fn overdue(&self, now: Time) -> Vec<AttemptId> {
        self.all
            .iter()
            .filter(|a| a.cancel_at.is_some_and(|at| at <= now))
            .map(|a| a.id)
            .collect()
    }

    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.all.iter().filter_map(|a| a.cancel_at).min()
    }

    pub(super) fn len(&self) -> usize {
        self.all.len()
    }
}
