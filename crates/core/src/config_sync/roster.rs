//! The roster: the instances whose majority decides.
//!
//! Two decisions depend on a majority of the fleet. Without the control group,
//! an instance renews its lease if a majority holds nothing newer than its
//! version. The control group acknowledges a change once a majority holds the
//! new version. Both count the same instances, because both take them from a
//! roster that is kept in the replicated log. So the two majorities share an
//! instance, and that instance holds the new version and denies the lease:
//!
//! - A version in force at an instance only grows while its process runs. A
//!   process that was restarted is counted only after a control quorum, asked
//!   since its start, has logged neither a newer version nor a newer roster
//!   than it has. A quorum logged each committed version, so it denies an
//!   older one.
//! - An answer that was given before the instance got the new version renews
//!   a lease that counts from before the acknowledgement.
//! - While rosters change, an instance may still count by the previous one. A
//!   change therefore needs a majority of both, until a majority of the
//!   previous roster has adopted the current one. Only then may the next
//!   roster be proposed. An instance is counted only by those that have
//!   adopted the same roster.
//! - A roster is adopted together with the version that was in force when it
//!   was committed, so a roster that is newer than a change implies it.
//!
//! Fleets above `max_direct_members` renew the lease by a sample of the
//! roster, for which the first statement holds only statistically.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::reducer::ConfigSync;
use crate::{
    config_sync::Message,
    event::config as kinds,
    id::{ConfigVersion, InstanceId},
    time::Time,
};

/// Interval between requests for a roster.
const PULL_INTERVAL: Duration = Duration::from_millis(200);

/// An instance of a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Its peer address, by which restarted replicas find the fleet.
    pub address: SocketAddr,
}

/// The instances whose majority renews leases and accepts changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Index of the command in the log; 0 if there is no roster yet.
    pub index: u64,
    /// Version in force when the roster was committed.
    pub version: ConfigVersion,
    /// The instances, sorted by identifier.
    pub entries: Vec<RosterEntry>,
}

impl Roster {
    /// Whether the roster holds this instance.
    pub fn contains(&self, id: InstanceId) -> bool {
        self.entries.binary_search_by_key(&id, |x| x.id).is_ok()
    }

    /// Whether more than half of the instances fulfil a condition.
    pub fn has_majority(&self, holds: impl Fn(InstanceId) -> bool) -> bool {
        let count = self.entries.iter().filter(|x| holds(x.id)).count();
        count * 2 > self.entries.len()
    }
}

/// The rosters that a control replica has applied.
#[derive(Clone, Copy, Debug)]
pub struct Rosters<'a> {
    /// The roster in force.
    pub current: &'a Roster,
    /// The one before it, by which instances may still count.
    pub previous: &'a Roster,
}

/// What an instance tells others of the roster it knows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct RosterStatus {
    /// Log index of the roster that the sender has adopted; 0 if none.
    pub index: u64,
    /// Whether a control quorum has confirmed, since the sender started, that
    /// it knows the newest roster and version.
    pub confirmed: bool,
    /// At a voter of the control group: log index of the newest roster in its
    /// log, committed or not.
    pub logged: u64,
}

/// What another member last reported of itself, and when.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) id: InstanceId,
    pub(super) at: Time,
    pub(super) version: ConfigVersion,
    pub(super) roster: u64,
}

impl ConfigSync {
    pub(super) fn roster_status(&self) -> RosterStatus {
        let replica = self.own_replica.filter(|x| x.voter);
        RosterStatus {
            index: self.roster.index,
            confirmed: self.roster_confirmed,
            logged: replica.map_or(0, |x| x.logged_roster),
        }
    }

    fn report(&self, id: InstanceId) -> Option<&Report> {
        let at = self.reports.binary_search_by_key(&id, |x| x.id).ok()?;
        Some(&self.reports[at])
    }

    /// Records that a member was heard from, and what it says of itself.
    pub(super) fn record_report(
        &mut self,
        now: Time,
        from: InstanceId,
        message: &Message,
    ) {
        let at = match self.reports.binary_search_by_key(&from, |x| x.id) {
            Ok(at) => at,
            Err(_) if self.member(from).is_none() => return,
            Err(at) => {
                let report = Report {
                    id: from,
                    at: now,
                    version: ConfigVersion(0),
                    roster: 0,
                };
                self.reports.insert(at, report);
                at
            }
        };
        let report = &mut self.reports[at];
        report.at = now;
        if let Message::Compare { version, roster, .. }
        | Message::Compared { version, roster, .. } = message
        {
            report.version = *version;
            report.roster = roster.index;
        }
    }

    /// Adopts a roster if it is newer and this instance holds the version that
    /// was in force when the roster was committed.
    pub(super) fn adopt_roster(&mut self, roster: &Arc<Roster>) -> bool {
        if roster.index <= self.roster.index || roster.version > self.version()
        {
            return false;
        }
        self.roster = Arc::clone(roster);
        let detail = format!(
            "index={} instances={}",
            roster.index,
            roster.entries.len()
        );
        self.log_event(&kinds::ROSTER_ADOPTED, detail);
        true
    }

    /// Adopts the roster of the control replica on this instance, once the
    /// version that it needs is in force.
    pub(super) fn adopt_committed_roster(&mut self, now: Time) {
        let committed = Arc::clone(&self.committed_roster);
        if self.adopt_roster(&committed) {
            self.evaluate_round(now);
        }
    }

    pub(super) fn pull_roster_if_newer(
        &mut self,
        now: Time,
        from: InstanceId,
        status: RosterStatus,
    ) {
        let index = self.roster.index;
        if status.index > index && now >= self.roster_pull_deadline {
            self.roster_pull_deadline = now + PULL_INTERVAL;
            self.send(from, Message::PullRoster { index });
        }
    }

    /// Whether a majority of the roster was heard from within one lease. A
    /// control leader without such contact must not propose changes: no
    /// majority could hold them.
    ///
    /// In fleets above `max_direct_members` an instance does not hear from all
    /// others, so the members that are not dead count.
    pub fn reaches_majority(&self, now: Time, rosters: Rosters<'_>) -> bool {
        self.has_majorities(rosters, |id| self.reaches(now, id))
    }

    fn reaches(&self, now: Time, id: InstanceId) -> bool {
        let large = self.members.len() > self.options.max_direct_members;
        let heard = |x: &Report| now.since(x.at) <= self.options.lease;
        id == self.own_id
            || match large {
                true => self.member(id).is_some(),
                false => self.report(id).is_some_and(heard),
            }
    }

    /// Returns how many instances of the roster were heard from within one
    /// lease, this one included, and how many it has.
    pub fn contact(&self, now: Time, rosters: Rosters<'_>) -> (usize, usize) {
        let entries = &rosters.current.entries;
        let reached = entries.iter().filter(|x| self.reaches(now, x.id));
        (reached.count(), entries.len())
    }

    /// Whether a majority of the roster holds this version, so that no
    /// majority renews the lease for an older one.
    pub fn majority_holds(
        &self,
        version: ConfigVersion,
        rosters: Rosters<'_>,
    ) -> bool {
        self.has_majorities(rosters, |id| match id == self.own_id {
            true => self.version() >= version,
            false => self.report(id).is_some_and(|x| x.version >= version),
        })
    }

    /// Whether a condition holds for a majority of the current roster and, as
    /// long as instances may count by it, of the previous one.
    fn has_majorities(
        &self,
        rosters: Rosters<'_>,
        holds: impl Fn(InstanceId) -> bool,
    ) -> bool {
        rosters.current.index == 0
            || rosters.current.has_majority(&holds)
                && (self.has_ended(rosters)
                    || rosters.previous.has_majority(&holds))
    }

    /// Whether a majority of the previous roster has adopted the current one,
    /// so that no majority counts by the previous one any more.
    pub fn has_ended(&self, rosters: Rosters<'_>) -> bool {
        let Rosters { current, previous } = rosters;
        previous.entries.is_empty()
            || previous.has_majority(|id| match id == self.own_id {
                true => self.roster.index >= current.index,
                false => {
                    self.report(id).is_some_and(|x| x.roster >= current.index)
                }
            })
    }

    /// Asks the members of the rosters that have not reported this version, or
    /// have not adopted the current roster, for what they hold.
    pub(crate) fn poll_rosters(
        &mut self,
        version: ConfigVersion,
        rosters: Rosters<'_>,
    ) -> Vec<(InstanceId, Message)> {
        let Rosters { current, previous } = rosters;
        let entries = current.entries.iter().chain(&previous.entries);
        let mut ids: Vec<InstanceId> = entries.map(|x| x.id).collect();
        ids.sort_unstable();
        ids.dedup();
        let lacks = |id: &InstanceId| {
            *id != self.own_id
                && self.report(*id).is_none_or(|x| {
                    x.version < version || x.roster < current.index
                })
        };
        ids.retain(lacks);
        self.last_sequence += 1;
        let (sequence, roster) = (self.last_sequence, self.roster_status());
        // Without a version, so that nobody pulls it because of the question.
        // All instances would otherwise bring each version of a series into
        // force at the same moment, and with it targets that are still cold.
        let version = ConfigVersion(0);
        let message = Message::Compare { sequence, version, roster };
        ids.into_iter().map(|id| (id, message.clone())).collect()
    }
}
