//! Guards the control group: changes, claims, requests and repair.

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

/// Guards against two accepted changes from one version, and against a
/// resend with another outcome than the first, also after a restore.
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
    let waiting = [
        Command::Change(change("c", 1)).encode(),
        Command::Claim(claim("r", 1, 0)).encode(),
    ];
    assert_eq!(restored.logged_version(waiting.iter()), ConfigVersion(2));
}

/// Guards against a request that runs twice, and against ids that stay
/// blocked after a request that did not run.
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
    // An earlier clock of another leader does not bring time back.
    assert_eq!(try_claim(s, claim("x", 4, 5)), ClaimResult::Granted);
    assert_eq!(
        try_claim(s, claim("r", 5, CLAIM_TTL_MS)),
        ClaimResult::Granted
    );
    assert_eq!(s.claim_count(), 2);
}

/// Guards against memory that grows with the number of changes and claims.
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

/// Guards against a log that grows without bound, and against a slow
/// restart: few records are read, whatever the number of changes.
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

/// Guards against a restart that replays all changes ever made.
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

/// Lets the repair at the leader act until nothing is left to do.
fn repair(cluster: &mut Cluster, group_size: usize, millis: u64) {
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

/// Guards against a repair that only looks complete: a second replica is
/// lost right after the first was replaced, and nothing may be missing.
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
            cluster.change(MemberChange::AddLearner(joined));
            repair(&mut cluster, 3, 8_000);
            let leader = cluster.wait_leader();
            let status = cluster.status(leader).expect("status");
            let voters = status.members.iter().filter(|m| m.voter).count();
            assert_eq!((voters, status.members.len()), (3, 3), "seed {seed}");
        }
        cluster.settle();
        assert!(cluster.nodes.iter().all(|n| n.state.version().0 == 50));
    }
}

/// Guards against a repair that removes or promotes for the sake of a
/// learner which is dead, and so takes the majority away.
#[test]
fn repair_waits_for_a_live_learner() {
    let mut cluster = Cluster::voters(3, 3);
    cluster.lose_disk(2);
    let joined = cluster.nodes[2].replica.clone();
    cluster.change(MemberChange::AddLearner(joined));
    repair(&mut cluster, 3, 5_000);
    let leader = cluster.wait_leader();
    let status = cluster.status(leader).expect("status");
    assert_eq!(status.members.iter().filter(|m| m.voter).count(), 3);
    assert_eq!(status.members.len(), 4);
}

fn sent(out: &[ClientEffect]) -> Vec<(InstanceId, u64)> {
    out.iter()
        .filter_map(|e| match e {
            ClientEffect::Send(to, Message::Request { sequence, .. }) => {
                Some((*to, *sequence))
            }
            _ => None,
        })
        .collect()
}

fn done(out: &[ClientEffect]) -> Option<&ControlReply> {
    out.iter().find_map(|e| match e {
        ClientEffect::Done(_, reply) => Some(reply),
        _ => None,
    })
}

/// Submits a request, answers each attempt, and returns the reply and
/// whether a settlement was sent after it.
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
        if let Some(reply) = done(&out) {
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
        let attempts = sent(&out);
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

/// Guards against "nothing was proposed" for a request that may have been,
/// and against claims that stay behind.
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
    // Replicas that name each other as leader must not keep it busy.
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

/// Guards against a change that fails because the leader has only just
/// started, and against a refusal that does not say why.
#[test]
fn a_client_asks_again_while_the_leader_is_not_ready() {
    let a_change = || ControlRequest::Change(change("a", 0));
    let not_ready = || ControlReply::NotReady("not heard".into());
    let outcome =
        ControlReply::Change(ChangeOutcome::Accepted(ConfigVersion(1)));
    let asked = Cell::new(0);
    let (reply, _) = submit(a_change(), |_| {
        asked.set(asked.get() + 1);
        Some(if asked.get() > 3 { outcome.clone() } else { not_ready() })
    });
    assert_eq!(reply, outcome);
    let (reply, _) = submit(a_change(), |_| Some(not_ready()));
    assert_eq!(reply, ControlReply::Refused("not heard".into()));
}

/// Guards against replies that go to the wrong request, and against a claim
/// that is granted before it is committed.
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
    //! Forwarding tables and zone orders in the replicated state.

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
            Applied::Version { changed, .. } => changed,
            other => panic!("{other:?}"),
        }
    }

    fn configuration(state: &ControlState) -> Configuration {
        let document = state.record().document;
        rmp_serde::from_slice(&document).expect("a configuration")
    }

    // Guards against an older table, or another one of the same number, that
    // replaces the one in force, and against a resend that is refused.
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

    // Guards against a table that brings a zone back, and against orders
    // that are lost with a snapshot.
    #[test]
    fn zones_stay_out_while_tables_change() {
        let mut state = ControlState::default();
        let order = |zone: &str, state| {
            let zone = zone.into();
            Command::SetZone(ZoneStateChange { zone, state })
        };
        assert!(revise(&mut state, 1, "one"));
        assert!(changed(&mut state, &order("b", ZoneState::Out)));
        assert!(!changed(&mut state, &order("b", ZoneState::Out)));
        assert!(!changed(&mut state, &order("a", ZoneState::In)));
        assert!(revise(&mut state, 2, "two"));
        let mut restored = ControlState::default();
        restored.restore(&state.snapshot()).expect("a snapshot");
        assert!(configuration(&restored).zone_is_out("b"));
        assert_eq!(configuration(&restored).forwarding.source, "two");
        assert!(changed(&mut restored, &order("b", ZoneState::In)));
        assert!(!configuration(&restored).zone_is_out("b"));
    }

    // Guards against a barrier that reports less than what was accepted
    // before it, and against commands that count as no change to come.
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
            })
            .encode(),
        ];
        assert_eq!(state.logged_version(pending.iter()).0, version.0 + 1);
    }
}

mod replacement {
    //! Replacing a voter that stays silent.

    use std::time::Duration;

    use primrosemast_core::{
        consensus::{MemberChange, Replica, Role, Status},
        control::repair::{Repair, RepairEffect, RepairEvent, RepairOptions},
        id::{InstanceId, ReplicaId},
        time::Time,
    };

    const START: Time = Time::from_millis(1_000);

    /// Replicas 1, 2 and so on; `voters` and `silent` name some of them.
    fn status(count: u64, voters: &[u64], silent: &[u64]) -> Status {
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
            active: (1..=count).map(|id| !silent.contains(&id)).collect(),
            ..Status::default()
        }
    }

    /// Shows the repair a status for some seconds; returns its first change.
    fn watch(
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

    // Guards against a group that loses its majority one replaced instance
    // after the other, and against one that replaces a voter that only
    // restarts, or before there is another with every entry.
    #[test]
    fn a_voter_that_stays_silent_is_replaced() {
        let (mut repair, mut now) =
            (Repair::new(RepairOptions::default(), 1 << 40), START);
        let sound = status(4, &[1, 2, 3], &[]);
        let silent = status(4, &[1, 2, 3], &[2]);
        assert_eq!(watch(&mut repair, &mut now, 30, &sound), None);
        assert_eq!(watch(&mut repair, &mut now, 8, &silent), None);
        assert_eq!(watch(&mut repair, &mut now, 8, &sound), None);
        let promote = MemberChange::Promote(ReplicaId(4));
        assert_eq!(watch(&mut repair, &mut now, 30, &silent), Some(promote));
        let promoted = status(4, &[1, 2, 3, 4], &[2]);
        let remove = MemberChange::Remove(ReplicaId(2));
        assert_eq!(watch(&mut repair, &mut now, 30, &promoted), Some(remove));
        let alone = status(3, &[1, 2, 3], &[2]);
        assert_eq!(watch(&mut repair, &mut now, 30, &alone), None);
    }
    // Guards against a group that keeps a voter that is gone for longer than
    // its site allows: the next loss then stops all changes for good.
    #[test]
    fn a_lost_voter_is_replaced_before_the_next_may_be_lost() {
        let options = RepairOptions {
            replace_after: Duration::from_secs(2),
            ..RepairOptions::default()
        };
        let (mut repair, mut now) = (Repair::new(options, 1 << 40), START);
        let sound = status(4, &[1, 2, 3], &[]);
        let silent = status(4, &[1, 2, 3], &[2]);
        assert_eq!(watch(&mut repair, &mut now, 30, &sound), None);
        // A voter that misses a few heartbeats is not replaced.
        assert_eq!(watch(&mut repair, &mut now, 1, &silent), None);
        let promote = MemberChange::Promote(ReplicaId(4));
        assert_eq!(watch(&mut repair, &mut now, 2, &silent), Some(promote));
        let promoted = status(4, &[1, 2, 3, 4], &[2]);
        let remove = MemberChange::Remove(ReplicaId(2));
        assert_eq!(watch(&mut repair, &mut now, 1, &promoted), Some(remove));
    }
}
