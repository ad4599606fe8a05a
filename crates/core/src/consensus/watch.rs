//! What a replica shows of its log, and the watch of a leader over commits.

use std::{fmt, time::Duration};

use super::{Consensus, Leader, Replica, State};
use crate::{event::control as kinds, time::Time};

/// Time without a commit, while entries wait for one, after which the leader
/// logs it. By then, members have been asked twice for what they have.
const STALL_LOG_AFTER: Duration = Duration::from_secs(1);

/// Longest interval at which it is logged again. The interval doubles.
const MAX_STALL_LOG_INTERVAL: Duration = Duration::from_secs(30);

/// How long a leader has waited for the next commit.
pub(super) struct CommitWatch {
    commit: u64,
    /// When the commit index last moved, or the first entry began to wait.
    since: Time,
    /// Time without a commit after which it is logged next.
    log_after: Duration,
}

impl CommitWatch {
    pub(super) fn new(commit: u64, now: Time) -> CommitWatch {
        CommitWatch { commit, since: now, log_after: STALL_LOG_AFTER }
    }
}

/// Figures of a replica for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaFigures {
    /// Committed index.
    pub commit: u64,
    /// Last index in the log.
    pub last_index: u64,
    /// Last index that is synced to disk.
    pub synced_index: u64,
    /// Last index that the snapshot covers.
    pub snapshot_index: u64,
    /// Bytes of the entries in memory.
    pub log_bytes: u64,
    /// At the leader: proposals without a commit, and their bytes.
    pub uncommitted_proposals: u64,
    /// Bytes of these proposals.
    pub uncommitted_bytes: u64,
    /// At the leader: time for which entries have waited without a commit.
    pub stalled: Duration,
    /// At the leader: name of each other member, and the entries of the log
    /// that it lacks.
    pub lags: Vec<(String, u64)>,
}

impl Consensus {
    /// Returns the figures of this replica.
    pub fn figures(&self, now: Time) -> ReplicaFigures {
        let figures = ReplicaFigures {
            commit: self.commit,
            last_index: self.log.last_index(),
            synced_index: self.log.synced_index(),
            snapshot_index: self.log.snapshot_index(),
            log_bytes: self.log.size_bytes(),
            ..ReplicaFigures::default()
        };
        let State::Leader(leader) = &self.state else { return figures };
        let waits = self.commit < self.log.last_index();
        let lags = self.log.members().iter().filter_map(|m| {
            let p = leader.progress(m.id)?;
            let lag = self.log.last_index().saturating_sub(p.match_index);
            Some((m.name.clone(), lag))
        });
        ReplicaFigures {
            uncommitted_proposals: leader.proposals.len() as u64,
            uncommitted_bytes: leader.account.total(),
            stalled: if waits {
                now.since(leader.watch.since)
            } else {
                Duration::ZERO
            },
            lags: lags.collect(),
            ..figures
        }
    }

    /// Logs that nothing commits, or that commits go on.
    pub(super) fn watch_commits(&mut self, now: Time) {
        let commit = self.commit;
        let waits = commit < self.log.last_index();
        let State::Leader(leader) = &mut self.state else { return };
        let watch = &mut leader.watch;
        let waited = now.since(watch.since);
        if !waits || commit > watch.commit {
            let logged = watch.log_after > STALL_LOG_AFTER;
            *watch = CommitWatch::new(commit, now);
            if logged {
                let detail = format!(
                    "replica={} term={} waited_ms={} commit={commit}",
                    self.id,
                    self.term,
                    waited.as_millis()
                );
                self.log_event(&kinds::COMMITS_RESUMED, detail);
            }
            return;
        }
        if waited < watch.log_after {
            return;
        }
        watch.log_after = waited + watch.log_after.min(MAX_STALL_LOG_INTERVAL);
        let detail = self.describe_stall(now, waited);
        self.log_event(&kinds::COMMITS_STALLED, detail);
    }

    fn describe_stall(&self, now: Time, waited: Duration) -> String {
        let State::Leader(leader) = &self.state else { return String::new() };
        let largest = leader.proposals.iter().map(|p| p.bytes).max();
        let mut text = format!(
            "replica={} term={} waited_ms={} commit={} last={} synced={} \
             proposals={} bytes={} largest={}",
            self.id,
            self.term,
            waited.as_millis(),
            self.commit,
            self.log.last_index(),
            self.log.synced_index(),
            leader.proposals.len(),
            leader.account.total(),
            largest.unwrap_or(0)
        );
        for member in self.log.members() {
            text += &MemberState { leader, member, now }.to_string();
        }
        text
    }
}

/// What a leader knows of the log of a member, as a part of a log line.
struct MemberState<'a> {
    leader: &'a Leader,
    member: &'a Replica,
    now: Time,
}

impl fmt::Display for MemberState<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MemberState { leader, member, now } = self;
        let Some(p) = leader.progress(member.id) else { return Ok(()) };
        let voter = if member.voter { "voter" } else { "learner" };
        write!(
            f,
            " {}={voter}:match={},next={},in_flight={},probing={},reply_ms={}",
            member.name,
            p.match_index,
            p.next_index,
            p.in_flight.len(),
            p.probing,
            now.since(p.last_reply).as_millis()
        )?;
        match &p.transfer {
            Some(t) => write!(f, ",snapshot={t}"),
            None => Ok(()),
        }
    }
}
