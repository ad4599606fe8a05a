//! Keeps the control group at its target size without operator action.

use std::time::Duration;

use crate::{
    consensus::{MemberChange, ProposeError, Replica, Role, Status},
    event::{LogEvent, control as kinds},
    id::{ReplicaId, Token},
    time::Time,
};

/// Interval between checks of the group.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a reply after which a voter is removed from a group that has
/// more voters than its size. Such a group tolerates one loss less, also after
/// a change of leader, which starts the times of inactive voters anew.
const SURPLUS_REMOVE_AFTER: Duration = Duration::from_millis(1_000);

/// Largest number of entries by which a learner may be behind and still
/// count as caught up.
const MAX_LEARNER_LAG: u64 = 100;

/// Options of the repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairOptions {
    /// Target number of voters.
    pub group_size: usize,
    /// Time without a reply after which a voter is replaced, if a learner is
    /// ready. Until then the group tolerates one failure less. While it
    /// tolerates none, an inactive voter is replaced at once.
    pub replace_after: Duration,
}

impl Default for RepairOptions {
    fn default() -> RepairOptions {
        RepairOptions {
            group_size: 3,
            // Longer than a restart takes, because a voter that restarts
            // need not be replaced.
            replace_after: Duration::from_secs(10),
        }
    }
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum RepairEvent {
    /// The status of the replica, sent at each tick.
    Status(Status),
    /// A change proposed by this reducer has ended.
    Outcome(Token, Result<u64, ProposeError>),
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum RepairEffect {
    /// Changes the members.
    ChangeMembers(Token, MemberChange),
    /// Logs an event.
    Log(LogEvent),
}

/// Promotes learners, and removes voters that stay inactive and replicas that
/// have lost their disk.
///
/// It need not check that a change is safe: the consensus reducer refuses a
/// change that would leave no majority of active voters, and any change
/// while another one is in progress.
pub struct Repair {
    options: RepairOptions,
    /// Inactive voters, sorted by identifier, with the time of the last reply.
    inactive: Vec<(ReplicaId, Time)>,
    next_check: Time,
    running_change: Option<Token>,
    next_token: u64,
}

impl Repair {
    /// Creates the reducer. Its tokens rise from `first_token`.
    pub fn new(options: RepairOptions, first_token: u64) -> Repair {
        Repair {
            options,
            inactive: Vec::new(),
            next_check: Time::ZERO,
            running_change: None,
            next_token: first_token,
        }
    }

    /// Returns when the next `Status` event is due.
    pub fn next_deadline(&self) -> Option<Time> {
        Some(self.next_check)
    }

    /// Whether the `Outcome` with this token belongs to this reducer.
    pub fn owns(&self, token: Token) -> bool {
        self.running_change == Some(token)
    }

    /// Handles an event.
    pub fn step(
        &mut self,
        now: Time,
        event: RepairEvent,
        out: &mut impl Extend<RepairEffect>,
    ) {
        match event {
            RepairEvent::Status(status) => {
                if now < self.next_check {
                    return;
                }
                self.next_check = now + CHECK_INTERVAL;
                self.track_inactive(now, &status);
                if self.running_change.is_some() || status.role != Role::Leader
                {
                    return;
                }
                if let Some(change) = self.next_step(now, &status) {
                    self.next_token += 1;
                    let token = Token(self.next_token);
                    self.running_change = Some(token);
                    log_event(
                        &kinds::REPAIR_STEP,
                        format!("change={change}"),
                        out,
                    );
                    out.extend([RepairEffect::ChangeMembers(token, change)]);
                }
            }
            RepairEvent::Outcome(token, result) => {
                if self.running_change != Some(token) {
                    return;
                }
                self.running_change = None;
                match result {
                    // The next step may follow at once.
                    Ok(_) => self.next_check = now,
                    Err(error) => {
                        log_event(
                            &kinds::REPAIR_FAILED,
                            format!("error={error:?}"),
                            out,
                        );
                    }
                }
            }
        }
    }

    /// Records when each inactive voter last replied. The times are not shared
    /// between replicas, so a change of leader starts them anew.
    fn track_inactive(&mut self, now: Time, status: &Status) {
        if status.role != Role::Leader {
            self.inactive.clear();
            return;
        }
        let is_inactive_voter = |id: ReplicaId| {
            let at = status.members.iter().position(|m| m.id == id);
            at.is_some_and(|at| {
                let active = status.active.get(at).copied().unwrap_or(true);
                status.members[at].voter && !active
            })
        };
        self.inactive.retain(|x| is_inactive_voter(x.0));
        for (i, member) in status.members.iter().enumerate() {
            let found =
                self.inactive.binary_search_by_key(&member.id, |x| x.0);
            if let Err(at) = found
                && is_inactive_voter(member.id)
            {
                let since = status.last_reply.get(i).copied().unwrap_or(now);
                self.inactive.insert(at, (member.id, since));
            }
        }
    }

    /// Returns the next change that brings the group closer to its target
    /// size.
    ///
    /// If an instance has two replicas, the older one has lost its disk and is
    /// removed before the newer one, which must have caught up, is promoted.
    /// Any other voter that has been inactive for `replace_after` is replaced,
    /// or at once if the group tolerates no further loss: a learner is
    /// promoted first and then the voter is removed, so that the number of
    /// voters with every entry never falls.
    fn next_step(&self, now: Time, status: &Status) -> Option<MemberChange> {
        let voters = status.members.iter().filter(|m| m.voter).count();
        let longest = self.inactive.iter().min_by_key(|x| x.1).copied();
        if let Some((lost, since)) = longest
            && voters > self.options.group_size
            && now.since(since) >= SURPLUS_REMOVE_AFTER
        {
            return Some(MemberChange::Remove(lost));
        }
        let is_urgent = self.tolerates_no_loss(voters);
        let lost = longest.filter(|x| {
            is_urgent || now.since(x.1) >= self.options.replace_after
        });
        let learner = ready_learner(status)?;
        let superseded = status
            .members
            .iter()
            .find(|m| m.instance == learner.instance && m.id != learner.id);
        if let Some(old) = superseded {
            return Some(MemberChange::Remove(old.id));
        }
        let size = self.options.group_size;
        let can_promote = voters < size || (lost.is_some() && voters == size);
        can_promote.then_some(MemberChange::Promote(learner.id))
    }

    /// Whether several voters are inactive, and the loss of one more would
    /// leave no majority. A single inactive voter of three may be restarting,
    /// and has the whole time to come back.
    fn tolerates_no_loss(&self, voters: usize) -> bool {
        let inactive = self.inactive.len();
        inactive > 1 && voters.saturating_sub(inactive) <= voters / 2 + 1
    }
}

/// Whether a command that the group commits now survives the losses for which
/// it has its size.
///
/// While a voter is being replaced, the group has one voter too many, and the
/// dead one makes the majority larger. The loss of another disk could then
/// leave no majority, although the replacement has caught up.
pub fn tolerates_losses(
    status: &Status,
    min_voters: usize,
    group_size: usize,
) -> bool {
    let voters = status.members.iter().filter(|m| m.voter).count();
    // A leader that was just elected takes each voter for active, but knows
    // no match index of one that has not answered it.
    let is_present = |i: usize| {
        status.active.get(i).copied().unwrap_or(false)
            && status.progress.get(i).is_some_and(|&matched| matched > 0)
    };
    let mut members = status.members.iter().enumerate();
    voters >= min_voters
        && (voters <= group_size
            || members.all(|(i, m)| !m.voter || is_present(i)))
}

/// Returns the first learner that is active and has caught up. A learner that
/// replaces a replica of the same instance takes precedence.
fn ready_learner(status: &Status) -> Option<&Replica> {
    let ready = |(i, m): (usize, &Replica)| {
        let matched = status.progress.get(i).copied().unwrap_or(0);
        let active = status.active.get(i).copied().unwrap_or(false);
        // The match index of a learner that was just added is still 0, since
        // its log is unknown. It must not count as caught up, however short
        // the log is.
        !m.voter
            && active
            && matched > 0
            && matched + MAX_LEARNER_LAG >= status.last_index
    };
    let replaces_other = |m: &Replica, id: ReplicaId| {
        status.members.iter().any(|o| o.instance == m.instance && o.id != id)
    };
    let mut learners = status.members.iter().enumerate().filter(|&e| ready(e));
    let first = learners.clone().next();
    learners.find(|(_, m)| replaces_other(m, m.id)).or(first).map(|(_, m)| m)
}

fn log_event(
    kind: &'static crate::event::EventKind,
    detail: String,
    out: &mut impl Extend<RepairEffect>,
) {
    out.extend([RepairEffect::Log(LogEvent::new(kind, detail))]);
}
