//! Tests of requests that are sent again, or that wait for a leader which has
//! no room for them.

use bytes::Bytes;
use primrosemast_core::{
    consensus::ProposeError,
    control::{client::*, service::*, *},
    id::*,
    time::Time,
};

fn change(id: &str, content: u8) -> ControlRequest {
    ControlRequest::Change(Change {
        change_id: id.into(),
        expected_version: ConfigVersion(0),
        document: Bytes::from(vec![content; 100_000]),
    })
}

fn revise(revision: u64, content: u8) -> ControlRequest {
    let table = Bytes::from(vec![content; 100_000]);
    ControlRequest::Revise(TableRevision { revision, table })
}

/// A service and what it has proposed and replied.
#[derive(Default)]
struct Harness {
    service: Service,
    /// Wall-clock time of the requests, in milliseconds.
    wall_ms: u64,
    proposed: Vec<Token>,
    replies: Vec<(InstanceId, u64, ControlReply)>,
    logs: Vec<String>,
}

impl Harness {
    fn step(&mut self, event: ServiceEvent) {
        let mut effects = Vec::new();
        self.service.step(event, &mut effects);
        for effect in effects {
            match effect {
                ServiceEffect::Propose(token, _) => self.proposed.push(token),
                ServiceEffect::Send(
                    to,
                    Message::Reply { sequence, reply },
                ) => self.replies.push((to, sequence, reply)),
                ServiceEffect::Log(event) => self.logs.push(event.detail),
                _ => {}
            }
        }
    }

    fn request(&mut self, from: u64, sequence: u64, request: ControlRequest) {
        let origin = Origin::Peer(InstanceId(from), sequence);
        let wall_ms = self.wall_ms;
        self.step(ServiceEvent::Request { origin, request, wall_ms });
    }

    /// Ends a proposal and returns the replies, sorted.
    fn end(
        &mut self,
        at: usize,
        result: Result<u64, ProposeError>,
    ) -> Vec<(u64, u64, ControlReply)> {
        self.step(ServiceEvent::Outcome(self.proposed[at], result));
        let replies = std::mem::take(&mut self.replies).into_iter();
        let mut replies: Vec<_> =
            replies.map(|(to, seq, reply)| (to.0, seq, reply)).collect();
        replies.sort_by_key(|r| (r.0, r.1));
        replies
    }
}

// Guards against a change that is proposed again in full size each time that
// it is sent while it waits, and against a sender without a reply.
#[test]
fn a_change_that_is_sent_again_is_one_proposal() {
    for request in [change("a", 1), revise(7, 1)] {
        let mut harness = Harness::default();
        for (from, sequence) in [(1, 10), (1, 11), (2, 5), (3, 10)] {
            harness.request(from, sequence, request.clone());
        }
        assert_eq!(harness.proposed.len(), 1);
        let version = ConfigVersion(4);
        let applied = match request {
            ControlRequest::Change(_) => Applied::Change {
                change_id: "a".into(),
                outcome: ChangeOutcome::Accepted(version),
                repeated: false,
            },
            _ => Applied::Version { version, changed: true },
        };
        let reply = match request {
            ControlRequest::Change(_) => {
                ControlReply::Change(ChangeOutcome::Accepted(version))
            }
            _ => ControlReply::Version(version),
        };
        harness.step(ServiceEvent::Applied { index: 9, applied });
        let replies = harness.end(0, Ok(9));
        let expected: Vec<_> = [(1, 10), (1, 11), (2, 5), (3, 10)]
            .map(|(to, sequence)| (to, sequence, reply.clone()))
            .into();
        assert_eq!(replies, expected);
        assert!(!harness.service.owns(harness.proposed[0]));

        // It has ended, so it is proposed once more.
        harness.request(1, 12, request.clone());
        assert_eq!(harness.proposed.len(), 2);
        harness.request(2, 6, request);
        let replies = harness.end(1, Err(ProposeError::Unknown));
        let unknown = ControlReply::Unknown;
        assert_eq!(
            replies,
            [(1, 12, unknown.clone()), (2, 6, unknown)],
            "every sender learns that the outcome is not known"
        );
    }
}

// Guards against the outcome of one change as the reply to another one.
#[test]
fn different_changes_are_different_proposals() {
    let mut harness = Harness::default();
    let requests = [
        change("a", 1),
        change("a", 2),
        change("b", 1),
        revise(1, 1),
        revise(1, 2),
        revise(2, 1),
    ];
    for (sequence, request) in (0..).zip(requests) {
        harness.request(1, sequence, request);
    }
    assert_eq!(harness.proposed.len(), 6);
    let replies = harness.end(1, Err(ProposeError::Unknown));
    assert_eq!(replies, [(1, 1, ControlReply::Unknown)]);
}

fn claim(number: u64) -> ControlRequest {
    ControlRequest::Claim(Claim {
        request_id: format!("request-{number}"),
        query: QueryId(number),
        at_ms: 0,
    })
}

// Guards against a leader that refuses everything for ever, because requests
// whose senders have given up long ago still count while nothing commits; and
// against reads and changes of the members that are refused because of them.
#[test]
fn requests_without_a_waiting_sender_take_no_room() {
    let mut harness = Harness::default();
    let mut taken = 0;
    for number in 0..20_000 {
        harness.request(1, number, claim(number));
        taken += usize::from(harness.replies.is_empty());
        for (_, _, reply) in harness.replies.drain(..) {
            assert!(matches!(reply, ControlReply::NotReady(_)), "{reply:?}");
        }
    }
    assert_eq!(taken, 10_000);
    harness.request(1, 30_000, ControlRequest::Barrier);
    harness.request(1, 30_001, ControlRequest::ReadZone("b".into()));
    harness.request(1, 30_002, ControlRequest::Remove(ReplicaId(3)));
    assert_eq!(harness.replies, []);

    // No sender waits for a minute.
    harness.wall_ms = 60_000;
    harness.request(2, 1, claim(50_000));
    assert_eq!(harness.replies, []);
    assert_eq!(harness.proposed.len(), 10_001);
    // What was proposed may still end. Nobody waits for it.
    let replies = harness.end(5, Ok(6));
    assert_eq!(replies, []);
    let replies = harness.end(10_000, Err(ProposeError::Unknown));
    assert_eq!(replies, [(2, 1, ControlReply::Unknown)]);
}

// Guards against a log file that fills with one line for each refused request,
// while a leader has no room and every client asks again.
#[test]
fn refusals_for_lack_of_room_are_logged_once_a_second() {
    let mut harness = Harness::default();
    let mut refused = 0;
    for number in 0..1_000 {
        harness.wall_ms = number * 10;
        harness.request(1, number, claim(number));
        let busy = ProposeError::Busy("no room".into());
        let last = harness.proposed.len() - 1;
        refused += harness.end(last, Err(busy)).len();
    }
    assert_eq!(refused, 1_000);
    assert_eq!(harness.logs.len(), 10, "{:?}", harness.logs);
    assert!(harness.logs[1].contains("refused=100"), "{:?}", harness.logs);
}

// Guards against a change that is proposed again, because its first sender has
// given up while it waits.
#[test]
fn a_change_stays_one_proposal_after_its_sender_has_given_up() {
    let mut harness = Harness::default();
    harness.request(1, 1, revise(7, 1));
    harness.wall_ms = 60_000;
    harness.request(2, 1, revise(7, 1));
    harness.wall_ms = 70_000;
    harness.request(2, 2, revise(7, 1));
    assert_eq!(harness.proposed.len(), 1);
    let version = ConfigVersion(4);
    let applied = Applied::Version { version, changed: true };
    harness.step(ServiceEvent::Applied { index: 9, applied });
    let reply = ControlReply::Version(version);
    let replies = harness.end(0, Ok(9));
    assert_eq!(replies, [(2, 1, reply.clone()), (2, 2, reply)]);
}

/// Submits a request with a budget of three seconds. The leader gives each
/// attempt the reply for its time. Returns the number of attempts, the final
/// reply and its time in milliseconds.
fn submit(
    request: ControlRequest,
    answer: impl Fn(u64) -> Option<ControlReply>,
) -> (usize, ControlReply, u64) {
    let leader = InstanceId(1);
    let mut client = Client::new(3);
    let mut out = Vec::new();
    let event = ClientEvent::Replicas(vec![leader]);
    client.step(Time::ZERO, event, &mut out);
    let (token, budget_us) = (Token(9), 3_000_000);
    let event = ClientEvent::Submit { token, request, budget_us };
    client.step(Time::ZERO, event, &mut out);
    let (mut now, mut attempts) = (Time::ZERO, 0);
    loop {
        for effect in std::mem::take(&mut out) {
            let ms = now.as_micros() / 1_000;
            match effect {
                ClientEffect::Send(
                    from,
                    Message::Request { sequence, .. },
                ) => {
                    attempts += 1;
                    if let Some(reply) = answer(ms) {
                        let event =
                            ClientEvent::Reply { from, sequence, reply };
                        client.step(now, event, &mut out);
                    }
                }
                ClientEffect::Done(_, reply) => return (attempts, reply, ms),
                _ => {}
            }
        }
        if out.is_empty() {
            now = client.next_deadline().expect("a deadline");
            client.step(now, ClientEvent::Tick, &mut out);
        }
    }
}

// Guards against a client that floods a leader which has no room, or gives up
// although the leader has room again within the budget.
#[test]
fn a_client_waits_longer_each_time_that_the_leader_is_not_ready() {
    let not_ready = || ControlReply::NotReady("no room".into());
    let refused = ControlReply::Refused("no room".into());
    let (attempts, reply, _) = submit(claim(1), |_| Some(not_ready()));
    assert!((10..=20).contains(&attempts), "{attempts} attempts");
    assert!(matches!(reply, ControlReply::Claim(_)), "{reply:?}");
    let (attempts, reply, _) = submit(revise(1, 1), |_| Some(not_ready()));
    assert!((8..=20).contains(&attempts), "{attempts} attempts");
    assert_eq!(reply, refused);
    for ready_at in [10, 400, 1_000, 2_500] {
        let version = ControlReply::Version(ConfigVersion(1));
        let (_, reply, ms) = submit(revise(1, 1), |ms| {
            Some(if ms < ready_at { not_ready() } else { version.clone() })
        });
        assert_eq!(reply, version, "{ready_at}");
        assert!(ms <= ready_at + 300, "{ready_at}: {ms}");
    }
}

// Guards against a large change that is sent again and again within one
// request, and so keeps the links busy that it needs itself.
#[test]
fn a_large_change_is_sent_again_only_after_it_may_have_arrived() {
    let table = Bytes::from(vec![1; 17_000_000]);
    let large = ControlRequest::Revise(TableRevision { revision: 1, table });
    let (attempts, reply, ms) = submit(large.clone(), |_| None);
    assert_eq!((attempts, reply, ms), (1, ControlReply::Unknown, 3_000));
    // The next attempt could not arrive within the budget.
    let (attempts, reply, ms) =
        submit(large, |_| Some(ControlReply::NotReady("no room".into())));
    let refused = ControlReply::Refused("no room".into());
    assert_eq!((attempts, reply, ms), (1, refused, 0));
    let (attempts, _, _) = submit(revise(1, 1), |_| None);
    assert!((4..=6).contains(&attempts), "{attempts} attempts");
}

// Guards against a change that is refused for good although an earlier attempt
// is open, which another leader may have taken.
#[test]
fn a_change_with_an_open_attempt_is_not_refused_for_good() {
    let too_large = ControlReply::TooLarge("does not fit".into());
    let later = |ms| (ms > 0).then(|| too_large.clone());
    let (_, reply, _) = submit(revise(1, 1), later);
    assert_eq!(reply, ControlReply::Unknown);
    let (_, reply, _) = submit(revise(1, 1), |_| Some(too_large.clone()));
    assert_eq!(reply, too_large);
}
