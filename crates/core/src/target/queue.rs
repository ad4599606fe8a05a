/*!
Queue of the jobs of a target.

There is one list for each priority, sorted by deadline, so that the next job
to serve, to expire or to shed is always at an end of a list.
*/

use std::collections::VecDeque;

use super::Job;
use crate::{id::JobId, time::Time};

/// Jobs ordered by priority, then deadline, then arrival.
#[derive(Debug, Default)]
pub(crate) struct JobQueue {
    by_priority: [VecDeque<Job>; 3],
}

impl JobQueue {
    pub(crate) fn len(&self) -> usize {
        self.by_priority.iter().map(VecDeque::len).sum()
    }

    pub(crate) fn push(&mut self, job: Job) {
        let list = &mut self.by_priority[job.priority as usize];
        let i = list.partition_point(|x| x.deadline <= job.deadline);
        list.insert(i, job);
    }

    /// Returns the job to serve next.
    pub(crate) fn front(&self) -> Option<&Job> {
        self.by_priority.iter().find_map(VecDeque::front)
    }

    pub(crate) fn pop_front(&mut self) -> Option<Job> {
        self.by_priority.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Returns the job to shed first: lowest priority, latest deadline.
    pub(crate) fn back(&self) -> Option<&Job> {
        self.by_priority.iter().rev().find_map(VecDeque::back)
    }

    pub(crate) fn pop_back(&mut self) -> Option<Job> {
        self.by_priority.iter_mut().rev().find_map(VecDeque::pop_back)
    }

    /// Removes and returns a job whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Job> {
        self.by_priority
            .iter_mut()
            .find_map(|list| list.pop_front_if(|job| job.deadline <= now))
    }

    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.by_priority
            .iter()
            .filter_map(|list| list.front().map(|job| job.deadline))
            .min()
    }

    pub(crate) fn remove(&mut self, id: JobId) -> Option<Job> {
        self.by_priority.iter_mut().find_map(|list| {
            let i = list.iter().position(|job| job.id == id)?;
            list.remove(i)
        })
    }
}
