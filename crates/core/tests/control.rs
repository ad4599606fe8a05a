//! Tests of the control group: changes, claims, requests and repair.

mod cluster;

use std::{cell::Cell, time::Duration};

use bytes::Bytes;
use cluster::*;
use primrosemast_core::{
    consensus::{ConsensusEvent, MemberChange},
    control::{client::*, repair::*, service::*, *},
    id::*,
    query::ClaimResult,
    time::Time,
    verdict::Verdict,
};

fn change(id: &str, expected: u64) -> Change {
    Change {
        change_id: id.into(),
        expected_version: ConfigVersion(expected),
        document: Bytes::from(id.as_bytes().to_vec()),
    }
}

fn claim(request_id: &str, query: u64, at_ms: u64) -> Claim {
    Claim { request_id: request_id.into(), query: QueryId(query), at_ms }
}

fn settle(request_id: &str, query: u64, verdict: Verdict) -> Command {
    Command::Settle(Settle {
        request_id: request_id.into(),
        query: QueryId(query),
        verdict,
    })
}

fn apply(state: &mut ControlState, command: &Command) -> Applied {
    state.apply(state.index() + 1, &command.encode())
}

fn try_claim(state: &mut ControlState, c: Claim) -> ClaimResult {
    match apply(state, &Command::Claim(c)) {
        Applied::Claim(result) => result,
        other => panic!("{other:?}"),
    }
}

/// Guards against two accepted changes based on one version, and against a
/// resend that gets another outcome than the first send, also after a restore.
#[test]
fn racing_and_resent_changes() {
    let mut state = ControlState::default();
    let outcome = |state: &mut ControlState, id: &str, expected| match apply(
        state,
        &Command::Change(change(id, expected)),
    ) {
        Applied::Change { outcome, .. } => outcome,
        other => panic!("{other:?}"),
    };
    let accepted = ChangeOutcome::Accepted(ConfigVersion(1));
    let conflict = ChangeOutcome::Conflict(ConfigVersion(1));
    assert_eq!(outcome(&mut state, "a", 0), accepted);
    assert_eq!(outcome(&mut state, "b", 0), conflict);
    let mut restored = ControlState::default();
    restored.restore(&state.snapshot()).expect("snapshot");
    assert_eq!(outcome(&mut restored, "a", 1), accepted);
    assert_eq!(outcome(&mut restored, "b", 1), conflict);
    assert_eq!(restored.version(), ConfigVersion(1));
    let unapplied = [
        Command::Change(change("c", 1)).encode(),
        Command::Claim(claim("r", 1, 0)).encode(),
    ];
    assert_eq!(restored.logged_version(unapplied.iter()), ConfigVersion(2));
}

/// Guards against two queries that hold a claim of one request id, and against
/// ids that stay claimed after a query that did not run.
#[test]
fn claims_are_exclusive_until_released() {
    let mut state = ControlState::default();
    let s = &mut state;
    assert_eq!(try_claim(s, claim("r", 1, 0)), ClaimResult::Granted);
    assert_eq!(try_claim(s, claim("r", 1, 0)), ClaimResult::Granted);
    assert_eq!(try_claim(s, claim("r", 2, 0)), ClaimResult::Taken(None));
    apply(s, &settle("r", 2, Verdict::NotRun));
    assert_eq!(try_claim(s, claim("r", 2, 0)), ClaimResult::Taken(None));
    apply(s, &settle("r", 1, Verdict::NotRun));
    assert_eq!(try_claim(s, claim("r", 2, 0)), ClaimResult::Granted);
    apply(s, &settle("r", 2, Verdict::Ran));
    apply(s, &settle("r", 2, Verdict::NotRun));
    let taken = ClaimResult::Taken(Some(Verdict::Ran));
    assert_eq!(try_claim(s, claim("r", 3, CLAIM_TTL_MS - 1)), taken);
    // A leader whose clock is behind does not turn back the time of expiry.
    assert_eq!(try_claim(s, claim("x", 4, 5)), ClaimResult::Granted);
    assert_eq!(
        try_claim(s, claim("r", 5, CLAIM_TTL_MS)),
        ClaimResult::Granted
    );
    assert_eq!(s.claim_count(), 2);
}

/// Guards against unbounded memory for change outcomes and claims.
#[test]
fn outcomes_and_claims_are_bounded() {
    let mut state = ControlState::default();
    for i in 0..MAX_OUTCOMES as u64 + 50 {
        let id = format!("change-{i}");
        apply(&mut state, &Command::Change(change(&id, i)));
    }
    assert_eq!(state.outcome_count(), MAX_OUTCOMES);
    assert!(state.outcome("change-49").is_none());
    assert!(state.outcome("change-50").is_some());
    for i in 0..MAX_CLAIMS as u64 {
        let id = format!("{i:x}");
        let result = try_claim(&mut state, claim(&id, 1, i / 1_000));
        assert_eq!(result, ClaimResult::Granted);
    }
    let full = try_claim(&mut state, claim("one more", 1, 0));
    assert_eq!(full, ClaimResult::Unavailable);
    let later = claim("one more", 1, CLAIM_TTL_MS);
    assert_eq!(try_claim(&mut state, later), ClaimResult::Granted);
}

/// Guards against a stored log that grows without bound, and so against a slow
/// restart that reads more records with every change.
#[test]
fn ten_thousand_changes_leave_a_short_log() {
    let mut cluster = Cluster::voters(3, 7);
    for i in 0..10_000u64 {
        let leader = cluster.wait_leader();
        let id = format!("change-{i}");
        let command = cluster.next_change(leader, &id);
        cluster.commit(&command);
    }
    cluster.settle();
    for i in 0..3 {
        let held = cluster.nodes[i].disk.entries.len();
        assert!(held < 5_000, "replica {i} holds {held} entries");
        assert!(cluster.nodes[i].disk.snapshot.is_some());
    }
}

/// Guards against a restart that replays the whole history of changes.
#[test]
fn a_restart_reads_few_records() {
    let mut cluster = Cluster::voters(3, 8);
    for i in 0..1_500u64 {
        let leader = cluster.wait_leader();
        let id = format!("change-{i}");
        let command = cluster.next_change(leader, &id);
        cluster.commit(&command);
    }
    cluster.settle();
    for i in 0..3 {
        cluster.crash(i);
    }
    for i in 0..3 {
        cluster.start(i);
        assert!(cluster.nodes[i].records_read < 1_100);
    }
    cluster.settle();
    assert!(cluster.nodes.iter().all(|n| n.state.version().0 == 1_500));
}

/// Runs the repair at the leader for the given time.
fn run_repair(cluster: &mut Cluster, group_size: usize, millis: u64) {
    let mut repair = Repair::new(
        RepairOptions { group_size, ..RepairOptions::default() },
        1 << 40,
    );
    let end = cluster.now + Duration::from_millis(millis);
    while cluster.now < end {
        if let Some(leader) = cluster.leader() {
            let status = cluster.status(leader).expect("status");
            let event = RepairEvent::Status(status);
            let mut out = Vec::new();
            repair.step(cluster.now, event, &mut out);
            for effect in out {
                if let RepairEffect::ChangeMembers(token, change) = effect {
                    let event = ConsensusEvent::ChangeMembers(token, change);
                    cluster.step(leader, event);
                }
            }
        }
        cluster.run(20);
        let ended: Vec<_> = cluster
            .outcomes
            .iter()
            .filter(|(token, _)| repair.owns(**token))
            .map(|(token, result)| (*token, result.clone()))
            .collect();
        for (token, result) in ended {
            let event = RepairEvent::Outcome(token, result);
            repair.step(cluster.now, event, &mut Vec::new());
        }
    }
}

/// Guards against lost entries when a replica fails right after another one
/// was replaced, that is, against a promotion of a learner without every
/// entry.
#[test]
fn a_second_loss_right_after_a_repair() {
    for seed in 0..10 {
        let mut cluster = Cluster::voters(3, seed);
        for i in 0..50 {
            let leader = cluster.wait_leader();
            let id = format!("change-{i}");
            let command = cluster.next_change(leader, &id);
            cluster.commit(&command);
        }
        for lost in [2, 1, 0] {
            cluster.lose_disk(lost);
            cluster.start(lost);
            let joined = cluster.nodes[lost].replica.clone();
            cluster.change_members(MemberChange::AddLearner(joined));
            run_repair(&mut cluster, 3, 8_000);
            let leader = cluster.wait_leader();
            let status = cluster.status(leader).expect("status");
            let voters = status.members.iter().filter(|m| m.voter).count();
            assert_eq!((voters, status.members.len()), (3, 3), "seed {seed}");
        }
        cluster.settle();
        assert!(cluster.nodes.iter().all(|n| n.state.version().0 == 50));
    }
}

/// Guards against a repair that promotes a dead learner, or removes a voter
/// in its favour, and so costs the group its majority.
#[test]
fn repair_waits_for_a_live_learner() {
    let mut cluster = Cluster::voters(3, 3);
    cluster.lose_disk(2);
    let joined = cluster.nodes[2].replica.clone();
    cluster.change_members(MemberChange::AddLearner(joined));
    run_repair(&mut cluster, 3, 5_000);
    let leader = cluster.wait_leader();
    let status = cluster.status(leader).expect("status");
    assert_eq!(status.members.iter().filter(|m| m.voter).count(), 3);
    assert_eq!(status.members.len(), 4);
}

fn sent_attempts(out: &[ClientEffect]) -> Vec<(InstanceId, u64)> {
    out.iter()
        .filter_map(|e| match e {
            ClientEffect::Send(to, Message::Request { sequence, .. }) => {
                Some((*to, *sequence))
            }
            _ => None,
        })
        .collect()
}

fn final_reply(out: &[ClientEffect]) -> Option<&ControlReply> {
    out.iter().find_map(|e| match e {
        ClientEffect::Done(_, reply) => Some(reply),
        _ => None,
    })
}

/// Submits a request and answers each attempt. Returns the reply, and whether
/// the client then sent a `Settle` request.
fn submit(
    request: ControlRequest,
    answer: impl Fn(InstanceId) -> Option<ControlReply>,
) -> (ControlReply, bool) {
    let mut client = Client::new(1);
    let mut out = Vec::new();
    let replicas = vec![InstanceId(1), InstanceId(2), InstanceId(3)];
    let mut now = Time::ZERO;
    client.step(now, ClientEvent::Replicas(replicas), &mut out);
    let token = Token(9);
    let event = ClientEvent::Submit { token, request, budget_us: 1_000_000 };
    client.step(now, event, &mut out);
    for _ in 0..1_000 {
        if let Some(reply) = final_reply(&out) {
            let settled = out.iter().any(|e| {
                matches!(
                    e,
                    ClientEffect::Send(
                        _,
                        Message::Request {
                            request: ControlRequest::Settle(_),
                            ..
                        }
                    )
                )
            });
            return (reply.clone(), settled);
        }
        let attempts = sent_attempts(&out);
        out.clear();
        for (from, sequence) in attempts {
            if let Some(reply) = answer(from) {
                let event = ClientEvent::Reply { from, sequence, reply };
                client.step(now, event, &mut out);
            }
        }
        if out.is_empty() {
            now = client.next_deadline().expect("deadline");
            client.step(now, ClientEvent::Tick, &mut out);
        }
    }
    panic!("no end");
}

/// Guards against `Refused`, which means that nothing was proposed, for a
/// request that may have been proposed, and against claims that are not
/// released.
#[test]
fn a_client_tells_unknown_from_refused() {
    let a_change = || ControlRequest::Change(change("a", 0));
    let a_claim = || ControlRequest::Claim(claim("r", 1, 0));
    let no_leader = |_| Some(ControlReply::NotLeader(None));
    let (reply, _) = submit(a_change(), no_leader);
    assert!(matches!(reply, ControlReply::Refused(_)), "{reply:?}");
    let (reply, _) = submit(a_change(), |_| None);
    assert_eq!(reply, ControlReply::Unknown);
    let unavailable = ControlReply::Claim(ClaimResult::Unavailable);
    assert_eq!(submit(a_claim(), no_leader), (unavailable.clone(), false));
    assert_eq!(submit(a_claim(), |_| None), (unavailable, true));
    // Replicas that redirect to each other must not cause endless attempts.
    let (reply, _) = submit(a_change(), |from| {
        let other = InstanceId(from.0 % 3 + 1);
        Some(ControlReply::NotLeader(Some(other)))
    });
    assert!(matches!(reply, ControlReply::Refused(_)), "{reply:?}");
    let outcome =
        ControlReply::Change(ChangeOutcome::Accepted(ConfigVersion(1)));
    let (reply, _) = submit(a_change(), |from| {
        Some(match from {
            InstanceId(2) => outcome.clone(),
            _ => ControlReply::NotLeader(Some(InstanceId(2))),
        })
    });
    assert_eq!(reply, outcome);
}

/// Guards against a change that fails because the leader has just started, and
/// against a refusal that does not state the leader's reason.
#[test]
fn a_client_asks_again_while_the_leader_is_not_ready() {
    let a_change = || ControlRequest::Change(change("a", 0));
    let not_ready = || ControlReply::NotReady("not heard".into());
    let outcome =
        ControlReply::Change(ChangeOutcome::Accepted(ConfigVersion(1)));
    let attempts = Cell::new(0);
    let (reply, _) = submit(a_change(), |_| {
        attempts.set(attempts.get() + 1);
        Some(if attempts.get() > 3 { outcome.clone() } else { not_ready() })
    });
    assert_eq!(reply, outcome);
    let (reply, _) = submit(a_change(), |_| Some(not_ready()));
    assert_eq!(reply, ControlReply::Refused("not heard".into()));
}

/// Guards against replies to the wrong request, and against a claim that is
/// granted before it is committed.
#[test]
fn a_service_replies_only_after_the_outcome() {
    let mut service = Service::new(100);
    let mut out = Vec::new();
    let event = ServiceEvent::Request {
        origin: Origin::Peer(InstanceId(4), 77),
        request: ControlRequest::Claim(claim("r", 1, 0)),
        wall_ms: 1_234,
    };
    service.step(event, &mut out);
    let [ServiceEffect::Propose(token, command)] = &out[..] else {
        panic!("{out:?}");
    };
    let Some(Command::Claim(proposed)) = Command::decode(command) else {
        panic!("no claim");
    };
    assert_eq!(proposed.at_ms, 1_234);
    let token = *token;
    out.clear();
    let applied = Applied::Claim(ClaimResult::Granted);
    service.step(ServiceEvent::Applied { index: 5, applied }, &mut out);
    out.clear();
    service.step(ServiceEvent::Outcome(token, Ok(5)), &mut out);
    let reply = ControlReply::Claim(ClaimResult::Granted);
    let expected = Message::Reply { sequence: 77, reply };
    assert_eq!(out, [ServiceEffect::Send(InstanceId(4), expected)]);
    assert!(!service.owns(token));
}

mod revisions {
    //! Forwarding tables and zone states in the replicated state.

    use primrosemast_core::{
        config::{Configuration, ZoneState},
        control::{
            Applied, Command, ControlState, TableRevision, ZoneStateChange,
        },
        forward::table::Forwarding,
    };

    fn revise(state: &mut ControlState, revision: u64, source: &str) -> bool {
        let table = Forwarding {
            revision,
            source: source.into(),
            ..Forwarding::default()
        };
        let table = rmp_serde::to_vec_named(&table).expect("a table").into();
        let command = Command::Revise(TableRevision { revision, table });
        changed(state, &command)
    }

    fn changed(state: &mut ControlState, command: &Command) -> bool {
        let index = state.index() + 1;
        match state.apply(index, &command.encode()) {
            Applied::Version { changed, .. }
            | Applied::Zone { changed, .. } => changed,
            other => panic!("{other:?}"),
        }
    }

    fn configuration(state: &ControlState) -> Configuration {
        let document = state.record().document;
        rmp_serde::from_slice(&document).expect("a configuration")
    }

    // Guards against a table of the same or a lower revision that replaces
    // the one in force, and against a resend that is refused.
    #[test]
    fn the_highest_revision_is_in_force() {
        let mut state = ControlState::default();
        assert!(revise(&mut state, 5, "five"));
        assert!(!revise(&mut state, 5, "another five"));
        assert!(!revise(&mut state, 3, "three"));
        assert!(revise(&mut state, 9, "nine"));
        assert_eq!(configuration(&state).forwarding.source, "nine");
        assert_eq!(state.version().0, 2);
    }

    // Guards against a new table that brings a zone back into service, and
    // against zone states that a snapshot loses.
    #[test]
    fn zones_stay_out_while_tables_change() {
        let mut state = ControlState::default();
        let set_zone = |zone: &str, state| {
            let zone = zone.into();
            Command::SetZone(ZoneStateChange { zone, state, after: None })
        };
        assert!(revise(&mut state, 1, "one"));
        assert!(changed(&mut state, &set_zone("b", ZoneState::Out)));
        assert!(!changed(&mut state, &set_zone("b", ZoneState::Out)));
        assert!(!changed(&mut state, &set_zone("a", ZoneState::In)));
        assert!(revise(&mut state, 2, "two"));
        let mut restored = ControlState::default();
        restored.restore(&state.snapshot()).expect("a snapshot");
        assert!(configuration(&restored).zone_is_out("b"));
        assert_eq!(configuration(&restored).forwarding.source, "two");
        assert!(changed(&mut restored, &set_zone("b", ZoneState::In)));
        assert!(!configuration(&restored).zone_is_out("b"));
    }

    // Guards against an order for a zone that is late, or that is sent twice,
    // and undoes one that came after it; also once the state was restored.
    #[test]
    fn a_late_order_does_not_undo_a_newer_one() {
        let mut state = ControlState::default();
        let order = |zone_state, after| ZoneStateChange {
            zone: "b".into(),
            state: zone_state,
            after: Some(after),
        };
        let apply = |state: &mut ControlState, command: Command| {
            let index = state.index() + 1;
            state.apply(index, &command.encode())
        };
        let read = |state: &mut ControlState| match apply(
            state,
            Command::ReadZone("b".into()),
        ) {
            Applied::ZoneOrders(orders) => orders,
            other => panic!("{other:?}"),
        };
        assert!(revise(&mut state, 1, "one"));
        // Two instances get the same order, and one of them is slow.
        let (first, late) = (read(&mut state), read(&mut state));
        let late = order(ZoneState::In, late);
        for (zone_state, after) in
            [(ZoneState::In, first), (ZoneState::Out, first + 1)]
        {
            let change = order(zone_state, after);
            let applied = apply(&mut state, Command::SetZone(change));
            assert!(matches!(applied, Applied::Zone { .. }), "{applied:?}");
        }
        let mut restored = ControlState::default();
        restored.restore(&state.snapshot()).expect("a snapshot");
        for state in [&mut state, &mut restored] {
            let applied = apply(state, Command::SetZone(late.clone()));
            let change = late.clone();
            assert_eq!(applied, Applied::OutdatedZone { change, orders: 2 });
            assert!(configuration(state).zone_is_out("b"));
            // The last order may be sent again, and changes nothing.
            let resent = order(ZoneState::Out, first + 1);
            let applied = apply(state, Command::SetZone(resent));
            assert!(
                matches!(applied, Applied::Zone { changed: false, .. }),
                "{applied:?}"
            );
            assert_eq!(read(state), 2);
        }
    }

    // Guards against a barrier that reports a version lower than those
    // accepted before it, and against unapplied commands that are left out of
    // `logged_version`.
    #[test]
    fn a_barrier_tells_the_version_at_its_place() {
        let mut state = ControlState::default();
        assert!(revise(&mut state, 4, "four"));
        let index = state.index() + 1;
        let applied = state.apply(index, &Command::Barrier.encode());
        let version = state.version();
        assert_eq!(applied, Applied::Version { version, changed: false });
        let pending = [
            Command::Barrier.encode(),
            Command::SetZone(ZoneStateChange {
                zone: "c".into(),
                state: ZoneState::Out,
                after: None,
            })
            .encode(),
        ];
        assert_eq!(state.logged_version(pending.iter()).0, version.0 + 1);
    }
}

mod replacement {
    //! Replacement of a voter that stays inactive.

    use std::time::Duration;

    use primrosemast_core::{
        consensus::{MemberChange, Replica, Role, Status},
        control::repair::{Repair, RepairEffect, RepairEvent, RepairOptions},
        id::{InstanceId, ReplicaId},
        time::Time,
    };

    const START: Time = Time::from_millis(1_000);

    /// Returns the status of a leader with replicas 1 to `count`, of which
    /// some are voters and some are inactive.
    fn status(count: u64, voters: &[u64], inactive: &[u64]) -> Status {
        let member = |id: u64| Replica {
            id: ReplicaId(id),
            instance: InstanceId(id),
            name: format!("i{id}"),
            address: ([127, 0, 0, 1], id as u16).into(),
            voter: voters.contains(&id),
        };
        Status {
            group: 1,
            role: Role::Leader,
            last_index: 10,
            members: (1..=count).map(member).collect(),
            progress: vec![10; count as usize],
            active: (1..=count).map(|id| !inactive.contains(&id)).collect(),
            ..Status::default()
        }
    }

    /// Sends the repair the same status for some seconds, until it makes a
    /// change; returns the change.
    fn tick(
        repair: &mut Repair,
        now: &mut Time,
        seconds: u64,
        status: &Status,
    ) -> Option<MemberChange> {
        for _ in 0..2 * seconds {
            *now += Duration::from_millis(500);
            let mut effects = Vec::new();
            let event = RepairEvent::Status(status.clone());
            repair.step(*now, event, &mut effects);
            for effect in effects {
                if let RepairEffect::ChangeMembers(token, change) = effect {
                    repair.step(
                        *now,
                        RepairEvent::Outcome(token, Ok(1)),
                        &mut Vec::new(),
                    );
                    return Some(change);
                }
            }
        }
        None
    }

    // Guards against a group that loses its majority because lost voters are
    // never replaced, and against replacing a voter that only restarts, or
    // before another voter has every entry.
    #[test]
    fn a_voter_that_stays_silent_is_replaced() {
        let (mut repair, mut now) =
            (Repair::new(RepairOptions::default(), 1 << 40), START);
        let healthy = status(4, &[1, 2, 3], &[]);
        let inactive = status(4, &[1, 2, 3], &[2]);
        assert_eq!(tick(&mut repair, &mut now, 30, &healthy), None);
        assert_eq!(tick(&mut repair, &mut now, 8, &inactive), None);
        assert_eq!(tick(&mut repair, &mut now, 8, &healthy), None);
        let promote = MemberChange::Promote(ReplicaId(4));
        assert_eq!(tick(&mut repair, &mut now, 30, &inactive), Some(promote));
        let promoted = status(4, &[1, 2, 3, 4], &[2]);
        let remove = MemberChange::Remove(ReplicaId(2));
        assert_eq!(tick(&mut repair, &mut now, 30, &promoted), Some(remove));
        let alone = status(3, &[1, 2, 3], &[2]);
        assert_eq!(tick(&mut repair, &mut now, 30, &alone), None);
    }
    // Guards against a group that keeps a lost voter for longer than
    // `replace_after`: the loss of another voter would then stop all changes
    // for good.
    #[test]
    fn a_lost_voter_is_replaced_before_the_next_may_be_lost() {
        let options = RepairOptions {
            replace_after: Duration::from_secs(2),
            ..RepairOptions::default()
        };
        let (mut repair, mut now) = (Repair::new(options, 1 << 40), START);
        let healthy = status(4, &[1, 2, 3], &[]);
        let inactive = status(4, &[1, 2, 3], &[2]);
        assert_eq!(tick(&mut repair, &mut now, 30, &healthy), None);
        // A voter that misses a few heartbeats is not replaced.
        assert_eq!(tick(&mut repair, &mut now, 1, &inactive), None);
        let promote = MemberChange::Promote(ReplicaId(4));
        assert_eq!(tick(&mut repair, &mut now, 2, &inactive), Some(promote));
        let promoted = status(4, &[1, 2, 3, 4], &[2]);
        let remove = MemberChange::Remove(ReplicaId(2));
        assert_eq!(tick(&mut repair, &mut now, 1, &promoted), Some(remove));
    }
}
