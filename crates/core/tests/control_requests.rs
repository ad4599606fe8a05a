//! Tests of requests that are sent again, or that wait for a leader which has
//! no room for them.

use bytes::Bytes;
use primrosemast_core::{
    consensus::ProposeError,
    control::{service::*, *},
    id::*,
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
