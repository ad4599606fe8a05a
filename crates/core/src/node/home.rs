/*!
Jobs that this instance runs as the home of targets.

A shard request of a root becomes one job per shard; the outcome of each job
is returned to the root as a reply.
*/

use std::time::Duration;

use crate::{
    id::{InstanceId, JobId, QueryId, TargetId},
    query::{Message, ShardReply, ShardRequest},
    target::{Job, JobOutcome, TargetReport},
    time::Time,
};

/// The shard request that a job belongs to, and its root.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Origin {
    job: JobId,
    root: InstanceId,
    query: QueryId,
    attempt: u32,
    shard: u32,
    target: TargetId,
}

/// Jobs in progress and the roots that requested them.
#[derive(Debug, Default)]
pub(crate) struct HomeJobs {
    /// Identifier of the job created last.
    last_id: u64,
    /// Sorted by job identifier, because identifiers only grow.
    origins: Vec<Origin>,
}

impl HomeJobs {
    /// Creates the jobs of a shard request. Returns none for a duplicate of a
    /// request whose jobs are still in progress: the transport sends a request
    /// again when its connection has failed.
    pub(crate) fn accept(
        &mut self,
        now: Time,
        root: InstanceId,
        req: ShardRequest,
    ) -> Vec<Job> {
        let is_duplicate = self.origins.iter().any(|o| {
            o.root == root && o.query == req.query && o.attempt == req.attempt
        });
        if is_duplicate {
            return Vec::new();
        }
        let deadline = now + Duration::from_micros(req.budget_us);
        let mut jobs = Vec::with_capacity(req.shards.len());
        for &(shard, target) in &req.shards {
            self.last_id += 1;
            let id = JobId(self.last_id);
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

    /// Removes a completed job and returns its root with the reply for it, or
    /// `None` if the job is not known.
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

    /// Returns the jobs of a root's query: those of the given attempts, or of
    /// all attempts if `attempts` is empty.
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

    /// Returns the jobs of a root's query for the given pairs of attempt and
    /// shard.
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

    /// Returns all jobs of a root.
    pub(crate) fn jobs_of_root(&self, root: InstanceId) -> Vec<JobId> {
        self.origins.iter().filter(|o| o.root == root).map(|o| o.job).collect()
    }

    /// Returns the number of jobs in progress.
    pub(crate) fn len(&self) -> usize {
        self.origins.len()
    }
}
