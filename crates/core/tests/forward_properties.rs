//! Property tests of the forwarding path under random events.

mod forward_support;

use std::collections::BTreeMap;

use forward_support::*;
use primrosemast_core::{
    forward::{ForwardEffect, ForwardEvent, Outcome, Response, TargetRequest},
    id::{AttemptId, Token},
    verdict::Verdict,
};
use proptest::{collection::vec, prelude::*};

/// One random step.
#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    Advance(u64),
    /// Ends an open attempt, chosen by the number.
    End(usize, Outcome),
    CallerGone(usize),
    Peers(usize),
    Serving(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        6 => Just(Outcome::Success),
        1 => Just(Outcome::Failure),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::Replaced),
        1 => Just(Outcome::Unreachable),
        1 => Just(Outcome::Broken),
    ];
    prop_oneof![
        4 => (0_usize..3).prop_map(Step::Submit),
        4 => (0_u64..60).prop_map(Step::Advance),
        12 => (any::<prop::sample::Index>(), outcome)
            .prop_map(|(i, o)| Step::End(i.index(1 << 16), o)),
        1 => (0_usize..1 << 16).prop_map(Step::CallerGone),
        1 => (0_usize..4).prop_map(Step::Peers),
        1 => prop::bool::weighted(0.9).prop_map(Step::Serving),
    ]
}

/// A caller's request and its observed progress.
#[derive(Default)]
struct CallerState {
    repeatable: bool,
    /// Attempts at the targets of each service.
    sent: BTreeMap<String, Vec<AttemptId>>,
    disconnected: bool,
    responses: u32,
    not_run: bool,
}

struct Simulation {
    harness: Harness,
    callers: BTreeMap<Token, CallerState>,
    open: Vec<TargetRequest>,
    outcomes: BTreeMap<AttemptId, Outcome>,
}

impl Simulation {
    /// Handles the effects and checks the invariants.
    fn handle_effects(&mut self) {
        for effect in std::mem::take(&mut self.harness.effects) {
            match effect {
                ForwardEffect::Send(send) => {
                    let caller =
                        self.callers.get_mut(&send.token).expect("known");
                    assert_eq!(caller.responses, 0, "sent after the response");
                    assert!(
                        !caller.disconnected,
                        "sent for a disconnected caller"
                    );
                    let service = send.name.split('/').next().expect("name");
                    let sent = caller.sent.entry(service.into()).or_default();
                    sent.push(send.attempt);
                    self.open.push(send);
                }
                ForwardEffect::Cancel(id) => {
                    self.open.retain(|s| s.attempt != id);
                }
                ForwardEffect::Respond(token, response) => {
                    let caller = self.callers.get_mut(&token).expect("known");
                    caller.responses += 1;
                    assert!(!caller.disconnected);
                    assert_eq!(caller.responses, 1, "two responses");
                    if let Response::Reject { verdict, .. } = response {
                        caller.not_run = verdict == Verdict::NotRun;
                    }
                }
                _ => {}
            }
        }
        for caller in self.callers.values() {
            self.check_caller(caller);
        }
    }

    fn check_caller(&self, caller: &CallerState) {
        for attempts in caller.sent.values() {
            let may_run = attempts
                .iter()
                .filter(|id| {
                    !matches!(
                        self.outcomes.get(id),
                        Some(
                            Outcome::Refused
                                | Outcome::Replaced
                                | Outcome::Unreachable
                        )
                    )
                })
                .count();
            assert!(may_run <= if caller.repeatable { 2 } else { 1 });
            assert!(
                !caller.not_run || may_run == 0,
                "rejected as not run, but it may have run"
            );
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Submit(i) => {
                let path = ["q", "one", "once"][i];
                let token = self.harness.submit(path);
                let repeatable = path != "once";
                let caller =
                    CallerState { repeatable, ..CallerState::default() };
                self.callers.insert(token, caller);
            }
            Step::Advance(span) => self.harness.advance(ms(span)),
            Step::End(i, outcome) => {
                if !self.open.is_empty() {
                    let send = self.open.remove(i % self.open.len());
                    self.outcomes.insert(send.attempt, outcome);
                    self.harness.end_attempt(send.attempt, outcome);
                }
            }
            Step::CallerGone(i) => {
                let count = self.callers.len().max(1);
                let caller = self.callers.iter_mut().nth(i % count);
                if let Some((&token, caller)) = caller
                    && caller.responses == 0
                {
                    caller.disconnected = true;
                    self.harness.step(ForwardEvent::CallerGone(token));
                }
            }
            Step::Peers(count) => {
                let ids: Vec<u64> = (2..2 + count as u64).collect();
                self.harness.set_peers(&ids);
            }
            Step::Serving(on) => {
                self.harness.step(ForwardEvent::Serving(on));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    // Guards against two responses or none, requests that run on more targets
    // than allowed, and the verdict "not run" for requests that may have run.
    #[test]
    fn promises_hold_under_random_events(steps in vec(step(), 1..250)) {
        let mut once = route("once", primrosemast_core::forward::table::
            Destination::Service("one".into()));
        once.repeatable = false;
        let mut one = once.clone();
        (one.name, one.path_prefix) = ("one".into(), "/one/".into());
        one.repeatable = true;
        let forwarding =
            table(vec![route("q", shards(5, 0.6)), one, once]);
        // With three targets of each service, the number of targets does not
        // already limit the attempts to two.
        let mut simulation = Simulation {
            harness: Harness::new(&forwarding, 3),
            callers: BTreeMap::new(),
            open: Vec::new(),
            outcomes: BTreeMap::new(),
        };
        for step in steps {
            simulation.apply(step);
            simulation.handle_effects();
        }
        // Every request ends by its deadline.
        simulation.harness.advance(ms(1_500));
        simulation.handle_effects();
        for caller in simulation.callers.values() {
            assert!(caller.disconnected || caller.responses == 1);
        }
        assert_eq!(simulation.harness.forwarder.in_flight(), 0);
        assert_eq!(simulation.harness.forwarder.open_attempts(), 0);
    }
}
