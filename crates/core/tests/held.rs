//! Tests of the account of held bytes and connections.

use std::time::Duration;

use primrosemast_core::{
    event::daemon,
    held::{
        Admission, BodyId, ConnectionId, Grant, HeldOptions, Holder, Ledger,
        Listener, Phase,
    },
    time::Time,
};
use proptest::prelude::*;

const MS: fn(u64) -> Time = |ms| Time::from_micros(ms * 1_000);

fn ledger(bytes: usize) -> Ledger {
    Ledger::new(HeldOptions::default().with_bytes(bytes))
}

fn granted(grant: Grant) -> Vec<BodyId> {
    match grant {
        Grant::Granted(given_up) => given_up,
        Grant::Refused => panic!("refused"),
    }
}

// Guards against a full house of callers that leaves nothing to operators and
// targets.
#[test]
fn reserves_of_others_are_not_taken() {
    let mut ledger = ledger(800);
    assert!(!ledger.take(MS(0), Holder::Callers, 401));
    assert!(ledger.take(MS(0), Holder::Callers, 400));
    assert!(ledger.take(MS(0), Holder::Targets, 200));
    assert!(!ledger.take(MS(0), Holder::Targets, 1));
    assert!(ledger.take(MS(0), Holder::Operators, 200));
    assert!(!ledger.take(MS(0), Holder::Operators, 1));
}

// Guards against a stalled body that keeps one out that makes progress.
#[test]
fn a_stalled_body_is_given_up_first() {
    let mut ledger = ledger(800);
    let a = ledger.add_body(MS(0), Holder::Callers);
    let b = ledger.add_body(MS(0), Holder::Callers);
    granted(ledger.grow_body(MS(0), a, 200));
    granted(ledger.grow_body(MS(100), b, 200));
    let c = ledger.add_body(MS(400), Holder::Callers);
    assert_eq!(ledger.grow_body(MS(400), c, 200), Grant::Refused);
    ledger.body_progress(MS(450), a);
    assert_eq!(granted(ledger.grow_body(MS(600), c, 200)), [b]);
    assert_eq!(ledger.complete_body(b), None);
    assert_eq!(ledger.complete_body(a), Some(200));
}

// Guards against a crowd of large bodies that keeps a small one out, and
// against bodies given up for one that still finds no room.
#[test]
fn a_larger_body_is_given_up_for_a_small_one() {
    let mut ledger = ledger(800);
    let a = ledger.add_body(MS(0), Holder::Callers);
    let b = ledger.add_body(MS(0), Holder::Callers);
    granted(ledger.grow_body(MS(0), a, 250));
    granted(ledger.grow_body(MS(0), b, 150));
    let c = ledger.add_body(MS(1), Holder::Callers);
    assert_eq!(ledger.grow_body(MS(1), c, 250), Grant::Refused);
    assert_eq!(granted(ledger.grow_body(MS(1), c, 100)), [a]);
    assert_eq!(ledger.gauges().bytes[0], 250);
}

// Guards against a complete body, whose request may run, that is given up.
#[test]
fn a_complete_body_is_kept() {
    let mut ledger = ledger(800);
    let a = ledger.add_body(MS(0), Holder::Callers);
    granted(ledger.grow_body(MS(0), a, 400));
    assert_eq!(ledger.complete_body(a), Some(400));
    let b = ledger.add_body(MS(9_000), Holder::Callers);
    assert_eq!(ledger.grow_body(MS(9_000), b, 1), Grant::Refused);
    ledger.give_back(Holder::Callers, 400);
    granted(ledger.grow_body(MS(9_000), b, 1));
}

// Guards against a few long answers that displace all others.
#[test]
fn an_answer_takes_at_most_what_is_left() {
    let mut ledger = ledger(800);
    assert!(ledger.take_part(MS(0), Holder::Targets, 0, 200));
    assert!(!ledger.take_part(MS(0), Holder::Targets, 200, 1));
    assert!(ledger.take_part(MS(0), Holder::Targets, 0, 100));
}

// Guards against a new connection that is refused while idle ones stay, and
// against the close of one whose request has been passed on.
#[test]
fn the_oldest_idle_connection_is_replaced() {
    let options = HeldOptions::default().with_connections(8);
    let mut ledger = Ledger::new(options);
    let admit = |ledger: &mut Ledger, at| match ledger
        .admit(MS(at), Listener::Callers)
    {
        Admission::Admitted(id) => (id, None),
        Admission::Replaces(id, old) => (id, Some(old)),
        Admission::Refused => (ConnectionId(0), None),
    };
    let ids: Vec<_> = (0..6).map(|i| admit(&mut ledger, i).0).collect();
    ledger.set_phase(MS(10), ids[0], Phase::Running);
    let (new, old) = admit(&mut ledger, 20);
    assert_eq!(old, Some(ids[1]));
    for &id in ids[2..].iter().chain([&new]) {
        ledger.set_phase(MS(30), id, Phase::Running);
    }
    assert_eq!(ledger.admit(MS(9_000), Listener::Callers), Admission::Refused);
    // The other listeners have connections of their own.
    let checks = ledger.admit(MS(9_000), Listener::Checks);
    assert!(matches!(checks, Admission::Admitted(_)));
    ledger.set_phase(MS(9_000), new, Phase::Responding);
    let stall = Duration::from_secs(1);
    assert_eq!(ledger.close_stalled_response(MS(9_500), stall), None);
    assert_eq!(ledger.close_stalled_response(MS(10_000), stall), Some(new));
}

// Guards against a log that fills while room is short.
#[test]
fn a_shortage_is_logged_once() {
    let mut ledger = ledger(800);
    for at in 0..100 {
        assert!(!ledger.take(MS(at), Holder::Callers, 401));
    }
    let kinds = |ledger: &mut Ledger, at| {
        let events = ledger.take_events(MS(at));
        events.iter().map(|e| e.kind).collect::<Vec<_>>()
    };
    assert_eq!(kinds(&mut ledger, 5_000), [&daemon::HELD_SHORT]);
    assert!(kinds(&mut ledger, 10_098).is_empty());
    assert_eq!(kinds(&mut ledger, 10_099), [&daemon::HELD_ROOM]);
    assert_eq!(ledger.gauges().refused_bodies[0], 100);
}

#[derive(Clone, Debug)]
enum Step {
    Take(usize, usize),
    GiveBack(usize),
    Add(usize),
    Grow(usize, usize),
    Progress(usize),
    Complete(usize),
    Drop(usize),
    Admit(usize),
    Phase(usize, usize),
    Close(usize),
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let (i, bytes) = (0_usize..64, 0_usize..600);
    let step = prop_oneof![
        (0_usize..4, bytes.clone()).prop_map(|(h, n)| Step::Take(h, n)),
        i.clone().prop_map(Step::GiveBack),
        (0_usize..4).prop_map(Step::Add),
        (i.clone(), bytes).prop_map(|(i, n)| Step::Grow(i, n)),
        i.clone().prop_map(Step::Progress),
        i.clone().prop_map(Step::Complete),
        i.clone().prop_map(Step::Drop),
        (0_usize..3).prop_map(Step::Admit),
        (i.clone(), 0_usize..4).prop_map(|(i, p)| Step::Phase(i, p)),
        i.prop_map(Step::Close),
    ];
    proptest::collection::vec((0_u64..400, step), 0..200)
}

/// Removes an element by a number that may exceed the length.
fn pick<T>(list: &mut Vec<T>, i: usize) -> Option<T> {
    (!list.is_empty()).then(|| list.swap_remove(i % list.len()))
}

proptest! {
    // Guards against any order of grants, releases and refusals that exceeds
    // a limit, loses count, or does not return to zero.
    #[test]
    fn the_sum_stays_within_the_limits(steps in steps()) {
        let options =
            HeldOptions::default().with_bytes(4_000).with_connections(16);
        let mut ledger = Ledger::new(options);
        let mut taken: Vec<(Holder, usize)> = Vec::new();
        let mut bodies: Vec<(BodyId, Holder, usize)> = Vec::new();
        let mut open: Vec<(ConnectionId, Listener, Phase)> = Vec::new();
        let mut now = Time::ZERO;
        for (wait, step) in steps {
            now += Duration::from_millis(wait);
            match step {
                Step::Take(h, n) => {
                    let holder = Holder::ALL[h];
                    if ledger.take(now, holder, n) {
                        taken.push((holder, n));
                    }
                }
                Step::GiveBack(i) => {
                    if let Some((holder, n)) = pick(&mut taken, i) {
                        ledger.give_back(holder, n);
                    }
                }
                Step::Add(h) => {
                    let holder = Holder::ALL[h];
                    bodies.push((ledger.add_body(now, holder), holder, 0));
                }
                Step::Grow(i, n) if !bodies.is_empty() => {
                    let i = i % bodies.len();
                    let (id, holder, _) = bodies[i];
                    if let Grant::Granted(given_up) =
                        ledger.grow_body(now, id, n)
                    {
                        bodies[i].2 += n;
                        let before = bodies.len();
                        bodies.retain(|b| {
                            !given_up.contains(&b.0) || b.1 != holder
                        });
                        prop_assert_eq!(
                            before - bodies.len(), given_up.len());
                        prop_assert!(!given_up.contains(&id));
                    }
                }
                Step::Progress(i) if !bodies.is_empty() => {
                    ledger.body_progress(now, bodies[i % bodies.len()].0);
                }
                Step::Complete(i) => {
                    if let Some((id, holder, n)) = pick(&mut bodies, i) {
                        prop_assert_eq!(ledger.complete_body(id), Some(n));
                        taken.push((holder, n));
                    }
                }
                Step::Drop(i) => {
                    if let Some((id, ..)) = pick(&mut bodies, i) {
                        ledger.drop_body(id);
                        // A body that was given up holds nothing.
                        ledger.drop_body(id);
                    }
                }
                Step::Admit(l) => {
                    let listener = Listener::ALL[l];
                    let id = match ledger.admit(now, listener) {
                        Admission::Admitted(id) => Some(id),
                        Admission::Replaces(id, old) => {
                            let i = open.iter().position(|c| c.0 == old);
                            let (_, kind, phase) =
                                open.remove(i.expect("an open connection"));
                            prop_assert_eq!(kind, listener);
                            prop_assert_ne!(phase, Phase::Running);
                            Some(id)
                        }
                        Admission::Refused => None,
                    };
                    open.extend(id.map(|id| (id, listener, Phase::Waiting)));
                }
                Step::Phase(i, p) if !open.is_empty() => {
                    let i = i % open.len();
                    open[i].2 = [Phase::Waiting, Phase::Reading,
                        Phase::Running, Phase::Responding][p];
                    ledger.set_phase(now, open[i].0, open[i].2);
                }
                Step::Close(i) => {
                    if let Some((id, ..)) = pick(&mut open, i) {
                        ledger.close(id);
                    }
                }
                Step::Grow(..) | Step::Progress(_) | Step::Phase(..) => {}
            }
            let gauges = ledger.gauges();
            let mut limited = 0;
            for (n, holder) in Holder::ALL.into_iter().enumerate() {
                let complete: usize = taken.iter()
                    .filter(|t| t.0 == holder).map(|t| t.1).sum();
                let reading: usize = bodies.iter()
                    .filter(|b| b.1 == holder).map(|b| b.2).sum();
                prop_assert_eq!(gauges.bytes[n], complete + reading);
                prop_assert!(gauges.bytes[n] <= options.shares[n].max);
                if holder != Holder::Peers {
                    limited += gauges.bytes[n];
                }
            }
            prop_assert!(limited <= options.bytes);
            for (n, listener) in Listener::ALL.into_iter().enumerate() {
                let count = open.iter().filter(|c| c.1 == listener).count();
                prop_assert_eq!(gauges.connections[n], count);
                prop_assert!(count <= options.connections[n]);
            }
        }
        for (holder, n) in taken {
            ledger.give_back(holder, n);
        }
        for (id, ..) in bodies {
            ledger.drop_body(id);
        }
        for (id, ..) in open {
            ledger.close(id);
        }
        prop_assert_eq!(ledger.gauges().bytes, [0; 4]);
        prop_assert_eq!(ledger.gauges().connections, [0; 3]);
    }
}
