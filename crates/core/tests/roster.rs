//! Tests of the upkeep of the roster.

use std::time::Duration;

use primrosemast_core::{
    config_sync::{Roster, RosterEntry, Rosters},
    control::{
        Command, RosterChange,
        roster::{RosterOptions, RosterStep, RosterUpkeep, RosterView},
    },
    id::{ConfigVersion, InstanceId, ZoneId},
    membership::{Member, MemberState},
    time::Time,
};

fn member(id: u64, state: MemberState) -> Member {
    let address = ([10, 0, 0, id as u8], 7_000).into();
    Member {
        id: InstanceId(id),
        name: format!("instance-{id}"),
        address,
        operator_address: address,
        zone: ZoneId::from_name("a"),
        entry: true,
        replica: None,
        control_group: 0,
        incarnation: 1,
        state,
    }
}

fn roster(ids: &[u64]) -> Roster {
    let entry = |&id: &u64| RosterEntry {
        id: InstanceId(id),
        address: ([10, 0, 0, id as u8], 7_000).into(),
    };
    let entries = ids.iter().map(entry).collect();
    Roster { index: 4, version: ConfigVersion(1), entries }
}

/// Checks the roster every half second for `duration`, and returns the first
/// change with the time at which it is proposed.
fn first_change(
    members: &[Member],
    roster: &Roster,
    reaches_majority: bool,
    duration: Duration,
) -> Option<(Duration, RosterChange)> {
    let options = RosterOptions::default();
    let interval = options.check_interval;
    let mut upkeep = RosterUpkeep::new(options, 1);
    let start = Time::from_millis(1);
    let mut now = start;
    let rosters = Rosters { current: roster, previous: &Roster::default() };
    while now.since(start) <= duration {
        let view = RosterView {
            members,
            rosters,
            previous_ended: true,
            reaches_majority,
        };
        if let Some(change) = proposed(upkeep.check(now, &view)) {
            return Some((now.since(start), change));
        }
        now += interval;
    }
    None
}

fn proposed(step: RosterStep) -> Option<RosterChange> {
    match step {
        RosterStep::Propose(Command::SetRoster(change)) => Some(change),
        _ => None,
    }
}

fn ids(change: &RosterChange) -> Vec<u64> {
    change.entries.iter().map(|x| x.id.0).collect()
}

/// Guards against instances that never count, or that count although they are
/// gone, and against a restart that changes the roster twice.
#[test]
fn members_are_added_at_once_and_left_out_after_a_while() {
    use MemberState::{Alive, Dead, Leaving, Suspect};
    let minute = Duration::from_secs(61);
    let of = |states: &[MemberState], ids: &[u64]| {
        let members: Vec<Member> =
            (1..).zip(states).map(|(id, state)| member(id, *state)).collect();
        first_change(&members, &roster(ids), true, minute)
    };
    let (at, change) = of(&[Alive, Alive, Suspect], &[1, 2]).expect("added");
    assert_eq!((at, ids(&change)), (Duration::ZERO, vec![1, 2, 3]));
    assert_eq!((change.after, change.abandons_previous), (4, false));
    assert!(of(&[Alive, Suspect, Alive], &[1, 2, 3]).is_none());
    let (at, change) =
        of(&[Alive, Leaving, Alive], &[1, 2, 3]).expect("left out");
    assert_eq!((at, ids(&change)), (Duration::from_secs(15), vec![1, 3]));
    let (at, change) = of(&[Alive, Dead, Alive], &[1, 2, 3]).expect("dead");
    assert_eq!((at, ids(&change)), (Duration::from_secs(60), vec![1, 3]));
    // A leader that has just started may not have met it yet.
    let (at, _) = of(&[Alive, Alive], &[1, 2, 3]).expect("not met");
    assert_eq!(at, Duration::from_secs(60));
    // A leaving instance that was not in the roster is not added.
    assert!(of(&[Alive, Alive, Leaving], &[1, 2]).is_none());
}

/// Guards against a control group that never accepts a change again, because
/// the majority of its fleet is gone.
#[test]
fn an_unreachable_majority_is_abandoned_after_the_limit() {
    let members: Vec<Member> =
        [1, 2].map(|id| member(id, MemberState::Alive)).into();
    let roster = roster(&[1, 2, 3, 4, 5]);
    let limit = RosterOptions::default().abandon_after;
    let hours = 2 * limit;
    let mut upkeep = RosterUpkeep::new(RosterOptions::default(), 1);
    let mut changes = Vec::new();
    for seconds in 0..hours.as_secs() {
        let now = Time::from_millis(seconds * 1_000);
        let view = RosterView {
            members: &members,
            rosters: Rosters {
                current: &roster,
                previous: &Roster::default(),
            },
            previous_ended: true,
            reaches_majority: false,
        };
        if let Some(change) = proposed(upkeep.check(now, &view))
            && change.abandons_previous
        {
            changes.push((seconds, ids(&change)));
        }
    }
    assert_eq!(changes[0], (limit.as_secs(), vec![1, 2]));
    assert!(
        first_change(&members, &roster, true, hours)
            .is_some_and(|(_, change)| !change.abandons_previous)
    );
}

/// Guards against a roster that is replaced while a majority may still count
/// by the one before it, and against an end of the previous one that only the
/// present leader knows: its instances may be gone when the next one leads.
#[test]
fn the_next_roster_waits_for_the_end_of_the_previous_one() {
    let members: Vec<Member> =
        [1, 2, 3].map(|id| member(id, MemberState::Alive)).into();
    let (current, previous) = (roster(&[1, 2]), roster(&[1, 2, 4]));
    let step = |previous: &Roster, previous_ended| {
        let view = RosterView {
            members: &members,
            rosters: Rosters { current: &current, previous },
            previous_ended,
            reaches_majority: true,
        };
        RosterUpkeep::new(RosterOptions::default(), 1)
            .check(Time::from_millis(1), &view)
    };
    assert_eq!(step(&previous, false), RosterStep::Poll);
    let end = RosterStep::Propose(Command::EndPreviousRoster(current.index));
    assert_eq!(step(&previous, true), end);
    let change = proposed(step(&Roster::default(), true)).expect("a change");
    assert_eq!(ids(&change), [1, 2, 3]);
}
