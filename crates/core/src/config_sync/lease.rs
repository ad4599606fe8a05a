//! Confirmation of the lease by a control quorum or by the fleet.

use std::time::Duration;

use crate::{
    config_sync::{Confirmation, Roster, RosterStatus},
    id::{ConfigVersion, InstanceId},
    time::Time,
};

/// The reply of one instance to a confirmation request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    pub(crate) from: InstanceId,
    pub(crate) version: ConfigVersion,
    pub(crate) logged: Option<ConfigVersion>,
    pub(crate) voters: u32,
    pub(crate) members_index: u64,
    pub(crate) control_group: u64,
    pub(crate) confirmed: Option<Confirmation>,
    pub(crate) roster: RosterStatus,
}

/// One round of confirmation requests.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub(crate) sequence: u64,
    /// When the requests were sent; the lease counts from here.
    pub(crate) started: Time,
    pub(crate) answers: Vec<Answer>,
    /// Number of fleet members asked for the fallback, this instance
    /// included; 0 if the fleet was not asked.
    pub(crate) fleet_queried: usize,
    /// Whether a control quorum has confirmed to this instance directly.
    pub(crate) quorum_confirmed: bool,
}

impl Round {
    /// Adds an answer; it replaces an earlier one of the same instance.
    pub(crate) fn add_answer(&mut self, answer: Answer) {
        self.answers.retain(|x| x.from != answer.from);
        self.answers.push(answer);
    }

    /// Whether a majority of the voters of `group` has logged nothing newer
    /// than `version`.
    pub(crate) fn control_confirms(
        &self,
        group: u64,
        version: ConfigVersion,
        own: Option<Answer>,
    ) -> bool {
        let logged = |x: &Answer| x.logged <= Some(version);
        self.confirmed_voters(group, own, logged).is_some()
    }

    /// Returns the log index of the newest list of voters of `group` and their
    /// number, if a majority of them knows it and answers as `agrees` asks.
    pub(crate) fn confirmed_voters(
        &self,
        group: u64,
        own: Option<Answer>,
        agrees: impl Fn(&Answer) -> bool,
    ) -> Option<(u64, u32)> {
        let answers = self.answers.iter().chain(&own);
        let of_group =
            answers.filter(|x| x.control_group == group && x.logged.is_some());
        // Only replicas with the newest list of members count. A replica
        // that was removed while it was down still considers itself a voter.
        // Majorities of successive lists overlap, so a majority of an older
        // list always includes a replica that knows the newer list.
        let newest = of_group.clone().map(|x| x.members_index).max();
        let current = of_group.filter(|x| Some(x.members_index) == newest);
        let voters = current.clone().map(|x| x.voters).max().unwrap_or(0);
        let agreeing = current.filter(|x| agrees(x)).count() as u64;
        (voters > 0 && agreeing * 2 > u64::from(voters))
            .then_some((newest?, voters))
    }

    /// Returns the age of the youngest confirmation by `group` that another
    /// instance relayed for a version that is not newer than `version`.
    pub(crate) fn relayed_age(
        &self,
        group: u64,
        version: ConfigVersion,
    ) -> Option<Duration> {
        let usable = self.answers.iter().filter(|x| x.version <= version);
        usable
            .filter_map(|x| x.confirmed)
            .filter(|x| x.group == group)
            .map(|x| Duration::from_micros(x.age_us))
            .min()
    }

    /// Whether any control replica has logged a version newer than `version`,
    /// or any member holds one.
    pub(crate) fn denies(&self, version: ConfigVersion) -> bool {
        let newer =
            |x: &Answer| x.logged > Some(version) || x.version > version;
        self.answers.iter().any(newer)
    }

    /// Returns the number of instances of the roster that have adopted it and
    /// answered with a configuration not newer than `version`.
    pub(crate) fn fleet_agreeing(
        &self,
        roster: &Roster,
        version: ConfigVersion,
    ) -> usize {
        let agrees = |x: &&Answer| {
            x.version > ConfigVersion(0)
                && x.version <= version
                && x.roster.confirmed
                && x.roster.index == roster.index
                && roster.contains(x.from)
        };
        self.answers.iter().filter(agrees).count()
    }
}
