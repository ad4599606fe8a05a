//! Keeps the control group at its size without operators.

use std::time::Duration;

use crate::{
    consensus::{MemberChange, ProposeError, Replica, Role, Status},
    event::{LogEvent, control as kinds},
    id::{ReplicaId, Token},
    time::Time,
};

/// Time between looks at the group.
const INTERVAL: Duration = Duration::from_millis(500);

/// Entries that a learner may lack and still count as caught up.
const CAUGHT_UP: u64 = 100;

/// Options of the repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairOptions {
    /// Voters that the group aims for.
    pub group_size: usize,
    /// Time after which a silent voter is replaced, if a learner is ready.
    /// The group bears one loss less until then.
    pub replace_after: Duration,
}

impl Default for RepairOptions {
    fn default() -> RepairOptions {
        RepairOptions {
            group_size: 3,
            // Longer than a restart takes, because a voter that comes back
            // needs no repair.
            replace_after: Duration::from_secs(10),
        }
    }
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum RepairEvent {
    /// The present status of the replica, at each `Tick`.
    Status(Status),
    /// A change of this reducer has ended.
    Outcome(Token, Result<u64, ProposeError>),
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum RepairEffect {
    /// Change the members.
    ChangeMembers(Token, MemberChange),
    /// A line for the log.
    Log(LogEvent),
}

/// Promotes learners and removes replicas whose disk was lost.
///
/// The consensus reducer itself refuses a change that would leave no
/// majority of active voters, or while another change is running.
pub struct Repair {
    options: RepairOptions,
    /// Voters that do not answer, sorted, and since when.
    silent: Vec<(ReplicaId, Time)>,
    next_at: Time,
    running: Option<Token>,
    next_token: u64,
}

impl Repair {
    /// Builds the reducer. Its tokens rise from `first_token`.
    pub fn new(options: RepairOptions, first_token: u64) -> Repair {
        Repair {
            options,
            silent: Vec::new(),
            next_at: Time::ZERO,
            running: None,
            next_token: first_token,
        }
    }

    /// When a `Status` event is due.
    pub fn next_deadline(&self) -> Option<Time> {
        Some(self.next_at)
    }

    /// Whether `Outcome` of this token belongs to this reducer.
    pub fn owns(&self, token: Token) -> bool {
        self.running == Some(token)
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
                if now < self.next_at {
                    return;
                }
                self.next_at = now + INTERVAL;
                self.watch(now, &status);
                if self.running.is_some() || status.role != Role::Leader {
                    return;
                }
                if let Some(change) = self.next_step(now, &status) {
                    self.next_token += 1;
                    let token = Token(self.next_token);
                    self.running = Some(token);
                    log(&kinds::REPAIR_STEP, format!("change={change}"), out);
                    out.extend([RepairEffect::ChangeMembers(token, change)]);
                }
            }
            RepairEvent::Outcome(token, result) => {
                if self.running != Some(token) {
                    return;
                }
                self.running = None;
                match result {
                    // The next step follows without a wait.
                    Ok(_) => self.next_at = now,
                    Err(error) => {
                        log(
                            &kinds::REPAIR_FAILED,
                            format!("error={error:?}"),
                            out,
                        );
                    }
                }
            }
        }
    }

    /// Notes since when each voter is silent. Another leader does not know,
    /// so a change of the leader starts the count again.
    fn watch(&mut self, now: Time, status: &Status) {
        if status.role != Role::Leader {
            self.silent.clear();
            return;
        }
        let is_silent = |id: ReplicaId| {
            let at = status.members.iter().position(|m| m.id == id);
            at.is_some_and(|at| {
                let active = status.active.get(at).copied().unwrap_or(true);
                status.members[at].voter && !active
            })
        };
        self.silent.retain(|s| is_silent(s.0));
        for member in &status.members {
            let found = self.silent.binary_search_by_key(&member.id, |s| s.0);
            if let Err(at) = found
                && is_silent(member.id)
            {
                self.silent.insert(at, (member.id, now));
            }
        }
    }

    /// The next change that brings the group closer to its size.
    ///
    /// A replica of an instance that has a newer one goes first: its disk is
    /// lost. A voter that has been silent for long is replaced: a learner is
    /// promoted beside it, and then it is removed, so that the number of
    /// voters with every entry never falls.
    fn next_step(&self, now: Time, status: &Status) -> Option<MemberChange> {
        let voters = status.members.iter().filter(|m| m.voter).count();
        let lost = self
            .silent
            .iter()
            .find(|s| now.since(s.1) >= self.options.replace_after)
            .map(|s| s.0);
        if let Some(lost) = lost
            && voters > self.options.group_size
        {
            return Some(MemberChange::Remove(lost));
        }
        let learner = ready_learner(status)?;
        let others = status
            .members
            .iter()
            .find(|m| m.instance == learner.instance && m.id != learner.id);
        if let Some(old) = others {
            return Some(MemberChange::Remove(old.id));
        }
        let size = self.options.group_size;
        let room = voters < size || (lost.is_some() && voters == size);
        room.then_some(MemberChange::Promote(learner.id))
    }
}

/// The first learner that is active and has caught up. A learner that
/// replaces a replica of the same instance comes before others.
fn ready_learner(status: &Status) -> Option<&Replica> {
    let ready = |(i, m): (usize, &Replica)| {
        let matched = status.progress.get(i).copied().unwrap_or(0);
        let active = status.active.get(i).copied().unwrap_or(false);
        // A learner that has just been added has matched nothing yet.
        !m.voter
            && active
            && matched > 0
            && matched + CAUGHT_UP >= status.last_index
    };
    let is_new = |m: &Replica, id: ReplicaId| {
        status.members.iter().any(|o| o.instance == m.instance && o.id != id)
    };
    let mut learners = status.members.iter().enumerate().filter(|&e| ready(e));
    let first = learners.clone().next();
    learners.find(|(_, m)| is_new(m, m.id)).or(first).map(|(_, m)| m)
}

fn log(
    kind: &'static crate::event::EventKind,
    detail: String,
    out: &mut impl Extend<RepairEffect>,
) {
    out.extend([RepairEffect::Log(LogEvent::new(kind, detail))]);
}
