//! Keeps the roster, by whose majority leases are renewed and changes are
//! acknowledged, equal to the members of the fleet.

use std::time::Duration;

use super::{Command, RosterChange};
use crate::{
    config_sync::{RosterEntry, Rosters},
    id::{InstanceId, Token},
    membership::{Member, MemberState},
    time::Time,
};

/// Options of the upkeep of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterOptions {
    /// Interval between checks of the roster.
    pub check_interval: Duration,
    /// Time after which a member that announced that it leaves is left out.
    /// Longer than a planned restart takes, which must not change the roster
    /// twice.
    pub drop_leaving_after: Duration,
    /// Time after which a member that is dead or was not met is left out.
    pub drop_lost_after: Duration,
    /// Time without contact to a majority of the roster after which the
    /// instances that are not reached are left out. They no longer renew their
    /// lease by then; see `SyncOptions::fallback_limit`.
    pub abandon_after: Duration,
}

impl Default for RosterOptions {
    fn default() -> RosterOptions {
        RosterOptions {
            check_interval: Duration::from_millis(500),
            drop_leaving_after: Duration::from_secs(15),
            drop_lost_after: Duration::from_secs(60),
            abandon_after: Duration::from_secs(3_660),
        }
    }
}

/// What the leader knows of the fleet and the roster.
#[derive(Clone, Copy, Debug)]
pub struct RosterView<'a> {
    /// All members in any state, sorted by identifier.
    pub members: &'a [Member],
    /// The rosters that the replica has applied.
    pub rosters: Rosters<'a>,
    /// Whether a majority of the previous roster has adopted the current one.
    pub previous_ended: bool,
    /// Whether a majority of the roster was heard from.
    pub reaches_majority: bool,
}

/// What the leader does about the roster.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterStep {
    /// Nothing.
    Wait,
    /// Ask the instances of both rosters which one they have adopted. The
    /// roster has to change, but the previous one has not ended.
    Poll,
    /// Propose this command.
    Propose(Command),
}

/// Decides at the leader when the roster has to change.
pub struct RosterUpkeep {
    options: RosterOptions,
    /// Instances of the roster that are not active members, sorted by
    /// identifier, and since when.
    absent: Vec<(InstanceId, Time)>,
    /// Since when no majority of the roster was heard from.
    unreached_since: Option<Time>,
    next_check: Time,
    running_change: Option<Token>,
    next_token: u64,
}

impl RosterUpkeep {
    /// Creates the upkeep. Its tokens rise from `first_token`.
    pub fn new(options: RosterOptions, first_token: u64) -> RosterUpkeep {
        RosterUpkeep {
            options,
            absent: Vec::new(),
            unreached_since: None,
            next_check: Time::ZERO,
            running_change: None,
            next_token: first_token,
        }
    }

    /// Returns when the next check is due.
    pub fn next_deadline(&self) -> Time {
        self.next_check
    }

    /// Whether the outcome with this token belongs to a proposal of this
    /// upkeep, which has ended then.
    pub fn ends_change(&mut self, token: Token) -> bool {
        self.running_change.take_if(|x| *x == token).is_some()
    }

    /// Forgets what only a leader knows. The next check is due at once.
    pub fn reset(&mut self) {
        self.absent.clear();
        self.unreached_since = None;
        self.running_change = None;
        self.next_check = Time::ZERO;
    }

    /// Postpones the next check, and returns what is to be done now.
    pub fn check(&mut self, now: Time, view: &RosterView<'_>) -> RosterStep {
        self.next_check = now + self.options.check_interval;
        self.track_absent(now, view);
        self.unreached_since = match view.reaches_majority {
            true => None,
            false => self.unreached_since.or(Some(now)),
        };
        let Rosters { current, previous } = view.rosters;
        if self.running_change.is_some() {
            return RosterStep::Wait;
        }
        if view.previous_ended && !previous.entries.is_empty() {
            let command = Command::EndPreviousRoster(current.index);
            return RosterStep::Propose(command);
        }
        let abandons_previous = self
            .unreached_since
            .is_some_and(|x| now.since(x) >= self.options.abandon_after);
        let keeps = |id: InstanceId| {
            let absent = self.absent.binary_search_by_key(&id, |x| x.0);
            match absent {
                Ok(_) if abandons_previous => false,
                Ok(at) => {
                    now.since(self.absent[at].1) < self.drop_after(view, id)
                }
                Err(_) => true,
            }
        };
        let mut entries: Vec<RosterEntry> = current
            .entries
            .iter()
            .filter(|x| keeps(x.id) && !is_active(view.members, x.id))
            .copied()
            .collect();
        let active = view.members.iter().filter(|x| is_active_member(x));
        entries.extend(
            active.map(|x| RosterEntry { id: x.id, address: x.address }),
        );
        entries.sort_unstable_by_key(|x| x.id);
        if entries == current.entries {
            return RosterStep::Wait;
        }
        if !view.previous_ended && !abandons_previous {
            return RosterStep::Poll;
        }
        let after = current.index;
        RosterStep::Propose(Command::SetRoster(RosterChange {
            after,
            entries,
            abandons_previous,
        }))
    }

    /// Returns the token under which to propose a change.
    pub fn start_change(&mut self) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.running_change = Some(token);
        token
    }

    fn track_absent(&mut self, now: Time, view: &RosterView<'_>) {
        self.absent.retain(|x| {
            view.rosters.current.contains(x.0) && !is_active(view.members, x.0)
        });
        for entry in &view.rosters.current.entries {
            let found = self.absent.binary_search_by_key(&entry.id, |x| x.0);
            if let Err(at) = found
                && !is_active(view.members, entry.id)
            {
                self.absent.insert(at, (entry.id, now));
            }
        }
    }

    fn drop_after(&self, view: &RosterView<'_>, id: InstanceId) -> Duration {
        let found = find(view.members, id);
        match found.is_some_and(|x| x.state == MemberState::Leaving) {
            true => self.options.drop_leaving_after,
            false => self.options.drop_lost_after,
        }
    }
}

fn find(members: &[Member], id: InstanceId) -> Option<&Member> {
    let at = members.binary_search_by_key(&id, |x| x.id).ok()?;
    Some(&members[at])
}

fn is_active_member(member: &Member) -> bool {
    member.state < MemberState::Leaving
}

fn is_active(members: &[Member], id: InstanceId) -> bool {
    find(members, id).is_some_and(is_active_member)
}
