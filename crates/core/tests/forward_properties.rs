//! The forwarding path under random events.

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
    Pass(u64),
    /// Ends an open attempt, chosen by the number.
    End(usize, Outcome),
    CallerGone(usize),
    Fellows(usize),
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
        4 => (0_u64..60).prop_map(Step::Pass),
        12 => (any::<prop::sample::Index>(), outcome)
            .prop_map(|(i, o)| Step::End(i.index(1 << 16), o)),
        1 => (0_usize..1 << 16).prop_map(Step::CallerGone),
        1 => (0_usize..4).prop_map(Step::Fellows),
        1 => prop::bool::weighted(0.9).prop_map(Step::Serving),
    ]
}

/// What a caller has seen of its request.
#[derive(Default)]
struct Call {
    repeatable: bool,
    /// Attempts of each service and how they have ended.
    sent: BTreeMap<String, Vec<AttemptId>>,
    gone: bool,
    responses: u32,
    not_run: bool,
}

struct World {
    site: Site,
    calls: BTreeMap<Token, Call>,
    open: Vec<TargetRequest>,
    outcomes: BTreeMap<AttemptId, Outcome>,
}

impl World {
    /// Takes the effects over and checks what must hold at all times.
    fn observe(&mut self) {
        for effect in std::mem::take(&mut self.site.effects) {
            match effect {
                ForwardEffect::Send(send) => {
                    let call = self.calls.get_mut(&send.token).expect("known");
                    assert_eq!(call.responses, 0, "sent after the response");
                    assert!(!call.gone, "sent for a caller that has left");
                    let service = send.name.split('/').next().expect("name");
                    let sent = call.sent.entry(service.into()).or_default();
                    sent.push(send.attempt);
                    self.open.push(send);
                }
                ForwardEffect::Cancel(id) => {
                    self.open.retain(|s| s.attempt != id);
                }
                ForwardEffect::Respond(token, response) => {
                    let call = self.calls.get_mut(&token).expect("known");
                    call.responses += 1;
                    assert!(!call.gone);
                    assert_eq!(call.responses, 1, "two responses");
                    if let Response::Reject { verdict, .. } = response {
                        call.not_run = verdict == Verdict::NotRun;
                    }
                }
                _ => {}
            }
        }
        for call in self.calls.values() {
            self.check(call);
        }
    }

    fn check(&self, call: &Call) {
        for attempts in call.sent.values() {
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
            assert!(may_run <= if call.repeatable { 2 } else { 1 });
            assert!(!call.not_run || may_run == 0, "a refusal is not true");
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Submit(i) => {
                let path = ["q", "one", "once"][i];
                let token = self.site.submit(path);
                let repeatable = path != "once";
                let call = Call { repeatable, ..Call::default() };
                self.calls.insert(token, call);
            }
            Step::Pass(span) => self.site.pass(ms(span)),
            Step::End(i, outcome) => {
                if !self.open.is_empty() {
                    let send = self.open.remove(i % self.open.len());
                    self.outcomes.insert(send.attempt, outcome);
                    self.site.end(send.attempt, outcome);
                }
            }
            Step::CallerGone(i) => {
                let count = self.calls.len().max(1);
                let call = self.calls.iter_mut().nth(i % count);
                if let Some((&token, call)) = call
                    && call.responses == 0
                {
                    call.gone = true;
                    self.site.step(ForwardEvent::CallerGone(token));
                }
            }
            Step::Fellows(count) => {
                let ids: Vec<u64> = (2..2 + count as u64).collect();
                self.site.set_fellows(&ids);
            }
            Step::Serving(on) => {
                self.site.step(ForwardEvent::Serving(on));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    // Guards against two responses or none, requests that run on more
    // targets than allowed, and refusals as not run of what may have run.
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
        // Three targets of each service, so that the limit of two attempts
        // is not kept by chance.
        let mut world = World {
            site: Site::new(&forwarding, 3),
            calls: BTreeMap::new(),
            open: Vec::new(),
            outcomes: BTreeMap::new(),
        };
        for step in steps {
            world.play(step);
            world.observe();
        }
        // Every request ends by its deadline.
        world.site.pass(ms(1_500));
        world.observe();
        for call in world.calls.values() {
            assert!(call.gone || call.responses == 1);
        }
        assert_eq!(world.site.forwarder.in_flight(), 0);
        assert_eq!(world.site.forwarder.open_attempts(), 0);
    }
}
