/*!
The home's side of a query: from shard requests of roots to jobs and back.
*/

use std::time::Duration;

use crate::{
    id::{InstanceId, JobId, QueryId, TargetId},
    query::{Message, ShardReply, ShardRequest},
    target::{Job, JobOutcome, TargetReport},
    time::Time,
};

/// Where the outcome of a job goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Origin {
    job: JobId,
    root: InstanceId,
    query: QueryId,
    attempt: u32,
    shard: u32,
    target: TargetId,
}

/// Jobs in progress and the roots that wait for them.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    next: u64,
    /// Sorted by job, because identifiers only grow.
    origins: Vec<Origin>,
}

impl Homes {
    /// Turns a shard request into jobs. A second copy of one whose jobs are
    /// still in progress gives none: the transport sends a request again when
    /// its connection has failed.
    pub(crate) fn accept(
        &mut self,
        now: Time,
        root: InstanceId,
        req: ShardRequest,
    ) -> Vec<Job> {
        let is_copy = self.origins.iter().any(|o| {
            o.root == root && o.query == req.query && o.attempt == req.attempt
        });
        if is_copy {
            return Vec::new();
        }
        let deadline = now + Duration::from_micros(req.budget_us);
        let mut jobs = Vec::with_capacity(req.shards.len());
        for &(shard, target) in &req.shards {
            self.next += 1;
            let id = JobId(self.next);
            self.origins.push(Origin {
                job: id,
                root,
                query: req.query,
                attempt: req.attempt,
                shard,
                target,
            });
            jobs.push(Job {
                id,
                target,
                query: req.query,
                attempt: req.attempt,
                snapshot: req.snapshot,
                shard,
                deadline,
                priority: req.priority,
                repeatable: req.repeatable,
                fresh_connection: req.fresh_connection,
                body: req.body.clone(),
            });
        }
        jobs
    }

    /// Ends a job; returns the root that waits for it and the reply.
    pub(crate) fn complete(
        &mut self,
        job: JobId,
        outcome: JobOutcome,
        report: impl FnOnce(TargetId) -> Option<TargetReport>,
    ) -> Option<(InstanceId, Message)> {
        let i = self.origins.binary_search_by_key(&job, |o| o.job).ok()?;
        let origin = self.origins.remove(i);
        let reply = ShardReply {
            query: origin.query,
            attempt: origin.attempt,
            shard: origin.shard,
            target: origin.target,
            outcome,
            report: report(origin.target),
        };
        Some((origin.root, Message::Reply(reply)))
    }

    /// The jobs of a query at one root; all attempts if `attempts` is empty.
    pub(crate) fn jobs_of(
        &self,
        root: InstanceId,
        query: QueryId,
        attempts: &[u32],
    ) -> Vec<JobId> {
        self.origins
            .iter()
            .filter(|o| o.root == root && o.query == query)
            .filter(|o| attempts.is_empty() || attempts.contains(&o.attempt))
            .map(|o| o.job)
            .collect()
    }

    /// The jobs of single attempts and shards of a query at one root.
    pub(crate) fn jobs_of_shards(
        &self,
        root: InstanceId,
        query: QueryId,
        shards: &[(u32, u32)],
    ) -> Vec<JobId> {
        self.origins
            .iter()
            .filter(|o| o.root == root && o.query == query)
            .filter(|o| shards.contains(&(o.attempt, o.shard)))
            .map(|o| o.job)
            .collect()
    }

    /// The jobs of a root that has died.
    pub(crate) fn jobs_of_root(&self, root: InstanceId) -> Vec<JobId> {
        self.origins.iter().filter(|o| o.root == root).map(|o| o.job).collect()
    }

    /// Number of jobs in progress.
    pub(crate) fn len(&self) -> usize {
        self.origins.len()
    }
}
