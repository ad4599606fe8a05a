//! Tests of single targets: limits, connections, answers and state changes.

mod target_support;

use std::time::Duration;

use primrosemast_core::{
    config::Priority,
    id::TargetId,
    snapshot::{Holding, Snapshot},
    target::*,
    time::Time,
    verdict::Verdict,
};
use target_support::*;

/// Guards against jobs that get lost between submission and answer.
#[test]
fn a_job_is_sent_on_a_new_connection_and_answered() {
    let mut rig = Rig::with_target(2);
    let (conn, job) = rig.send();
    rig.now += ms(5);
    let outcome = JobOutcome::Answered {
        body: answer_to(&job).body,
        holding: holding(),
    };
    let done = TargetEffect::Done(job.id, outcome);
    assert_eq!(rig.answer(conn, &job)[0], done);
}

/// Guards against jobs that are sent after their deadline, and against the
/// outcome "not run" for a job that was sent.
#[test]
fn deadlines_expire_queued_jobs_and_give_up_sent_ones() {
    let mut rig = Rig::with_target(1);
    let (conn, sent) = rig.send();
    let queued = rig.submit();
    let effects = rig.advance(ms(1_000));
    let failed = JobOutcome::Failed { verdict: Verdict::MayHaveRun };
    let ends = ended_jobs(&effects);
    assert!(ends.contains(&(queued.id, JobOutcome::Expired)), "{ends:?}");
    assert!(ends.contains(&(sent.id, failed)), "{ends:?}");
    assert!(closes(&effects).contains(&conn));
    let mut late = rig.job();
    late.deadline = Time::ZERO;
    let id = late.id;
    rig.step(TargetEvent::Submit(late));
    assert_eq!(ended_jobs(&rig.effects), [(id, JobOutcome::Expired)]);
}

/// Guards against more concurrent requests at a target than it has slots.
#[test]
fn a_ready_target_runs_as_many_jobs_as_it_has_slots() {
    let mut rig = Rig::ready(2);
    let (conn, first) = rig.send();
    rig.send();
    rig.submit();
    assert!(rig.open_all().is_empty());
    rig.answer(conn, &first);
    assert_eq!(sends(&rig.effects).len(), 1);
    assert_eq!(rig.report().running, 2);
}

fn failed(verdict: Verdict) -> JobOutcome {
    JobOutcome::Failed { verdict }
}

fn codes(effects: &[TargetEffect]) -> Vec<u16> {
    let code = |effect: &TargetEffect| match effect {
        TargetEffect::Log(event) => Some(event.kind.code),
        _ => None,
    };
    effects.iter().filter_map(code).collect()
}

/// Guards against a full queue that sheds urgent jobs before reports.
#[test]
fn a_full_queue_sheds_low_priority_and_late_deadlines_first() {
    let mut rig = Rig::ready(1);
    rig.send();
    // Four jobs of 5 ms each can be served within 20 ms.
    let mut shed = Vec::new();
    let mut submitted = Vec::new();
    for (priority, within) in [
        (Priority::Report, 18),
        (Priority::Normal, 20),
        (Priority::Normal, 19),
        (Priority::Urgent, 20),
        (Priority::Urgent, 20),
        (Priority::Urgent, 20),
    ] {
        let mut job = rig.job();
        (job.priority, job.deadline) = (priority, rig.now + ms(within));
        submitted.push(job.id);
        shed.extend(ended_jobs(rig.step(TargetEvent::Submit(job))));
    }
    let expected = [0, 1].map(|i| (submitted[i], JobOutcome::Shed));
    assert_eq!(shed, expected);
}

/// Guards against urgent jobs that are delayed by less urgent ones.
#[test]
fn the_queue_is_served_by_priority_then_deadline() {
    let mut rig = Rig::with_target(1);
    let (mut conn, mut current) = rig.send();
    let mut ids = Vec::new();
    for (priority, within) in [
        (Priority::Report, 100),
        (Priority::Normal, 300),
        (Priority::Normal, 200),
        (Priority::Urgent, 900),
    ] {
        let mut job = rig.job();
        (job.priority, job.deadline) = (priority, rig.now + ms(within));
        ids.push(job.id);
        rig.step(TargetEvent::Submit(job));
    }
    for i in [3, 2, 1, 0] {
        rig.answer(conn, &current);
        (conn, current) = sends(&rig.effects).remove(0);
        assert_eq!(current.id, ids[i]);
    }
}

/// Guards H3: a cold target must not get its full load immediately.
#[test]
fn the_limit_grows_by_one_for_eight_good_answers() {
    let mut rig = Rig::with_target(4);
    for limit in 1..4 {
        for _ in 0..8 {
            assert_eq!(rig.report().limit, limit);
            rig.serve(ms(5));
        }
    }
    assert_eq!((rig.report().limit, rig.state()), (4, TargetState::Ready));
}

/// Guards H3, against a target that became cold without a report and keeps
/// getting its full load.
#[test]
fn three_slow_answers_in_a_row_make_a_target_cold() {
    let mut rig = Rig::ready(2);
    for latency in [45, 45, 5, 45, 45] {
        rig.serve(ms(latency));
        assert_eq!(rig.state(), TargetState::Ready);
    }
    rig.serve(ms(45));
    assert_eq!((rig.state(), rig.report().limit), (TargetState::Cold, 1));
}

/// Guards against a target that is marked cold repeatedly or permanently
/// after the whole back end has become slower.
#[test]
fn a_lasting_slow_down_is_accepted_after_one_cold_phase() {
    let mut rig = Rig::ready(2);
    let mut before = rig.state();
    let mut cold_phases = 0;
    for _ in 0..300 {
        rig.serve(ms(60));
        let state = rig.state();
        cold_phases +=
            u32::from(state == TargetState::Cold && before != state);
        before = state;
    }
    assert_eq!((cold_phases, before), (1, TargetState::Ready));
}

/// Guards against shards that are not found for seconds, because the target
/// that loaded them has just been probed and gets no requests.
#[test]
fn a_target_without_requests_is_probed_a_second_after_its_last_answer() {
    let mut rig = Rig::ready(2);
    rig.health(Some(health(HealthStatus::Ok, BOOT)));
    for _ in 0..30 {
        assert_eq!(probes(&rig.advance(ms(95))), []);
        rig.serve(ms(5));
    }
    assert_eq!(probes(&rig.advance(ms(1_000))), [TargetId(1)]);
}

/// Guards against shards of a new snapshot that are not found, because the
/// health report that lists them follows an older answer too closely. Reports
/// that lag behind the answer must not undo it.
#[test]
fn a_health_report_adds_newer_snapshots_to_what_answers_list() {
    let mut rig = Rig::ready(2);
    let of_version = |index_version| Holding {
        snapshot: Snapshot { index_version, ..SNAPSHOT },
        ..holding()
    };
    let (older, newer) = (of_version(6), of_version(8));
    let report = health(HealthStatus::Ok, BOOT);
    let holds = vec![older, newer];
    rig.health(Some(HealthReport { holds, ..report.clone() }));
    assert_eq!(rig.report().holds, [holding(), newer]);
    rig.health(Some(HealthReport { holds: vec![older], ..report }));
    assert_eq!(rig.report().holds, [holding(), newer]);
    rig.serve(ms(5));
    assert_eq!(rig.report().holds, [holding()]);
}

/// Guards H3: a restarted process is cold, whether its answers or its health
/// reports show the restart.
#[test]
fn a_new_boot_id_or_uptime_makes_a_target_cold() {
    let mut rig = Rig::ready(2);
    let (conn, job) = rig.send();
    let answer = TargetAnswer { boot_id: Some(2), ..answer_to(&job) };
    rig.step(TargetEvent::Answer(conn, job.id, answer));
    assert_eq!(rig.state(), TargetState::Cold);

    let mut rig = Rig::ready(2);
    rig.health(Some(health(HealthStatus::Ok, 2)));
    assert_eq!(rig.state(), TargetState::Cold);

    let mut rig = Rig::ready(2);
    rig.now += ms(2_000);
    let report = health(HealthStatus::Ok, BOOT);
    rig.health(Some(HealthReport { uptime_ms: 10, ..report }));
    assert_eq!(rig.state(), TargetState::Cold);
}

/// Guards F12: health reports must neither stop a target that answers nor
/// warm up one that does not.
#[test]
fn answers_win_over_health_reports() {
    let mut rig = Rig::with_target(2);
    for _ in 0..20 {
        rig.health(Some(health(HealthStatus::Ok, BOOT)));
    }
    assert_eq!(rig.state(), TargetState::Cold);
    rig.warm_up();
    for _ in 0..5 {
        rig.health(None);
        rig.health(Some(health(HealthStatus::Cold, BOOT)));
        assert_eq!(rig.state(), TargetState::Ready);
    }
    // A boot identifier that answers have contradicted is ignored from then
    // on.
    rig.health(Some(health(HealthStatus::Ok, 9)));
    assert_eq!(rig.state(), TargetState::Cold);
    rig.warm_up();
    rig.health(Some(health(HealthStatus::Ok, BOOT)));
    rig.health(Some(health(HealthStatus::Ok, 9)));
    assert_eq!(rig.state(), TargetState::Ready);
    // Without answers, missing reports mark the target cold, but not down.
    rig.now += ms(2_000);
    rig.health(None);
    rig.health(None);
    assert_eq!((rig.state(), rig.report().limit), (TargetState::Cold, 1));
    rig.serve(ms(5));
}

/// Guards against an unchanged load for a target that sheds requests, and
/// against a limit that drops to one because the requests of one burst were
/// shed together.
#[test]
fn a_shed_answer_halves_the_limit_once_for_a_burst() {
    let mut rig = Rig::ready(8);
    let burst: Vec<_> = (0..4).map(|_| rig.send()).collect();
    rig.now += ms(1);
    for (conn, job) in burst {
        rig.step(TargetEvent::Answer(conn, job.id, refusal(503)));
        assert_eq!(ended_jobs(&rig.effects), [(job.id, JobOutcome::Shed)]);
        assert_eq!(rig.report().limit, 4);
    }
    let (conn, job) = rig.send();
    rig.step(TargetEvent::Answer(conn, job.id, refusal(503)));
    assert_eq!(rig.report().limit, 2);
}

/// Guards F10: fewer connections are opened to a target that refuses them.
#[test]
fn a_refused_connection_lowers_the_number_in_use() {
    let mut rig = Rig::ready(3);
    let burst: Vec<_> = (0..3).map(|_| rig.send()).collect();
    let (conn, job) = burst[2].clone();
    rig.step(TargetEvent::Answer(conn, job.id, refusal(429)));
    assert_eq!(ended_jobs(&rig.effects), [(job.id, JobOutcome::Shed)]);
    assert_eq!(closes(&rig.effects), [conn]);
    rig.submit();
    // This exceeds the pause of at most 100 ms after the refusal. Received
    // bytes prevent the busy connections from being suspected and closed.
    for _ in 0..20 {
        for (conn, _) in &burst[..2] {
            rig.step(TargetEvent::Received(*conn));
        }
        assert_eq!(connects(&rig.advance(ms(10))), []);
    }
}

/// Guards F3: the shards that a target holds change while queries run.
#[test]
fn a_target_without_the_shard_updates_what_it_holds() {
    let mut rig = Rig::with_target(1);
    let (conn, job) = rig.send();
    let held = Holding { shard: 1, ..holding() };
    let answer = TargetAnswer { holds: Some(vec![held]), ..refusal(409) };
    rig.step(TargetEvent::Answer(conn, job.id, answer));
    assert_eq!(ended_jobs(&rig.effects), [(job.id, JobOutcome::NotHeld)]);
    assert_eq!(rig.report().holds, [held]);
    let is_report = |e: &TargetEffect| matches!(e, TargetEffect::Report(_));
    assert!(rig.effects.iter().any(is_report), "{:?}", rig.effects);
}

/// Guards H5: an answer is delivered only if it belongs to the request.
#[test]
fn an_answer_that_does_not_match_closes_the_connection() {
    let damage: [fn(&mut TargetAnswer); 7] = [
        |a| a.request_id = a.request_id.replace("-1-", "-2-"),
        |a| a.request_id.push('0'),
        |a| a.request_id.clear(),
        |a| a.snapshot.as_mut().unwrap().partition_map += 1,
        |a| a.shard = Some(2),
        |a| a.checksum = None,
        |a| a.body_checksum ^= 1,
    ];
    for (i, damage) in damage.into_iter().enumerate() {
        for repeatable in [true, false] {
            let mut rig = Rig::with_target(1);
            let mut job = rig.job();
            job.repeatable = repeatable;
            rig.step(TargetEvent::Submit(job.clone()));
            let (conn, _) = rig.open_all().remove(0);
            let mut answer = answer_to(&job);
            damage(&mut answer);
            rig.step(TargetEvent::Answer(conn, job.id, answer));
            let ran = i > 2 && !repeatable;
            let verdict = if ran { Verdict::Ran } else { Verdict::MayHaveRun };
            assert_eq!(ended_jobs(&rig.effects), [(job.id, failed(verdict))]);
            assert_eq!(closes(&rig.effects), [conn], "damage {i}");
            assert!(codes(&rig.effects).contains(&205));
        }
    }
}

/// Guards H5: the answer to an abandoned request must not be delivered to the
/// next request on the same connection.
#[test]
fn a_connection_with_an_unanswered_request_is_not_used_again() {
    let mut rig = Rig::with_target(1);
    let (conn, job) = rig.send();
    rig.step(TargetEvent::Cancel(job.id));
    assert_eq!(
        ended_jobs(&rig.effects),
        [(job.id, failed(Verdict::MayHaveRun))]
    );
    assert_eq!(closes(&rig.effects), [conn]);
    rig.answer(conn, &job);
    assert_eq!(rig.effects, []);
    rig.submit();
    let opened = rig.advance(ms(25));
    assert!(!connects(&opened).contains(&conn), "{opened:?}");
    assert_eq!(connects(&opened).len(), 1);
}

/// Guards against more concurrent requests than slots: the target runs a
/// request until the cancellation arrives.
#[test]
fn a_cancelled_request_counts_against_the_slots_for_a_while() {
    let mut rig = Rig::with_target(1);
    let (_, job) = rig.send();
    rig.step(TargetEvent::Cancel(job.id));
    let is_cancel =
        |e: &TargetEffect| matches!(e, TargetEffect::CancelRemote { .. });
    assert!(rig.effects.iter().any(is_cancel));
    rig.submit();
    assert_eq!(rig.report().running, 1);
    assert_eq!(connects(&rig.advance(ms(24))), []);
    assert_eq!(connects(&rig.advance(ms(1))).len(), 1);
}

/// Guards against a cancel grace period that is too short for a busy target,
/// which exceeds its slots, or too long for the others, which lowers the
/// throughput.
#[test]
fn a_confirmed_cancellation_frees_its_slot_at_once() {
    let mut rig = Rig::with_target(1);
    let (_, job) = rig.send();
    rig.step(TargetEvent::Cancel(job.id));
    rig.submit();
    let Job { query, attempt, shard, .. } = job;
    let other = RequestId { query, attempt: attempt + 1, shard };
    rig.step(TargetEvent::Cancelled(TargetId(1), other));
    assert_eq!(connects(&rig.effects), []);
    let request = RequestId { query, attempt, shard };
    rig.step(TargetEvent::Cancelled(TargetId(1), request));
    assert_eq!(connects(&rig.effects).len(), 1);
}

/// Guards F9: requests must not wait on a connection that became silent.
#[test]
fn a_silent_connection_is_closed_when_the_target_answers_a_probe() {
    let mut rig = Rig::ready(2);
    // Both connections, the idle and the busy one, have become silent.
    let (first, a) = rig.send();
    let (second, b) = rig.send();
    rig.answer(first, &a);
    rig.answer(second, &b);
    rig.now += ms(1);
    let (conn, job) = rig.send();
    rig.now += ms(20);
    rig.step(TargetEvent::Tick);
    assert_eq!(probes(&rig.effects).len(), 1);
    assert_eq!(closes(&rig.effects), []);
    rig.health(Some(health(HealthStatus::Ok, BOOT)));
    assert_eq!(
        ended_jobs(&rig.effects),
        [(job.id, failed(Verdict::MayHaveRun))]
    );
    let mut closed = closes(&rig.effects);
    closed.sort();
    assert!(closed.contains(&conn));
    assert_eq!(closed, [first.min(second), first.max(second)]);
    assert!(codes(&rig.effects).contains(&204));
}

/// Guards F9: a request that is sent again after the loss of a connection must
/// not wait on one that was open, but unused, when connections were lost.
#[test]
fn a_job_that_needs_a_new_connection_uses_no_idle_one() {
    let mut rig = Rig::ready(2);
    let (first, a) = rig.send();
    let b = rig.submit();
    let unused = connects(&rig.effects)[0];
    rig.step(TargetEvent::Cancel(b.id));
    rig.step(TargetEvent::Connected(unused));
    rig.answer(first, &a);
    let job = Job { fresh_connection: true, ..rig.job() };
    rig.step(TargetEvent::Submit(job.clone()));
    assert_eq!(sends(&rig.effects), []);
    let new = connects(&rig.effects)[0];
    rig.step(TargetEvent::Connected(new));
    assert_eq!(sends(&rig.effects), [(new, job.clone())]);
    rig.answer(new, &job);
    // Other jobs may use the idle ones.
    let (conn, _) = rig.send();
    assert!([first, unused, new].contains(&conn));
}

/// Guards F9: when connections of several targets are lost together, each
/// further one that is found by a request costs a retry. A single one says
/// nothing of other targets.
#[test]
fn idle_connections_of_all_targets_are_closed_after_a_shared_loss() {
    let mut rig = Rig::with_target(2);
    let ids = [1, 2, 3, 4];
    rig.step(TargetEvent::Configure(ids.map(|id| spec(id, 2)).to_vec()));
    let report = health(HealthStatus::Ok, BOOT);
    let answered =
        |id| TargetEvent::Health(TargetId(id), Some(report.clone()));
    let mut conns = Vec::new();
    for id in ids {
        rig.step(answered(id));
        let (conn, job) = rig.send_to(id);
        rig.answer(conn, &job);
        conns.push(conn);
    }
    rig.now += ms(1);
    let (first, _) = rig.send_to(1);
    let (second, _) = rig.send_to(2);
    assert_eq!([first, second], [conns[0], conns[1]]);
    // The connection to the fourth target is used meanwhile.
    rig.now += ms(5);
    let (used, job) = rig.send_to(4);
    rig.answer(used, &job);
    rig.now += ms(200);
    rig.step(TargetEvent::Tick);
    assert_eq!(probes(&rig.effects), [TargetId(1), TargetId(2)]);
    rig.step(answered(1));
    assert_eq!(closes(&rig.effects), [conns[0]]);
    rig.step(answered(2));
    assert_eq!(closes(&rig.effects), [conns[1], conns[2]]);
}

/// Guards H2: a request whose answer is only slow must not be abandoned while
/// most of the time until its deadline is left.
#[test]
fn a_slow_answer_gets_half_of_its_time() {
    let mut rig = Rig::new(TargetOptions {
        fleet_is_new: true,
        ..TargetOptions::default()
    });
    rig.step(TargetEvent::Configure(vec![spec(1, 1)]));
    rig.health(Some(health(HealthStatus::Ok, BOOT)));
    rig.warm_up();
    let (_, job) = rig.send();
    let half = job.deadline.since(rig.now) / 2;
    assert_eq!(ended_jobs(&rig.advance(half - ms(1))), []);
    let given_up = (job.id, failed(Verdict::MayHaveRun));
    assert_eq!(ended_jobs(&rig.advance(ms(2))), [given_up]);
}

/// Guards against a straggler that never appears slow because a hedge always
/// wins and its requests are cancelled.
#[test]
fn a_cancelled_request_counts_as_slow() {
    let mut rig = Rig::ready(1);
    let before = rig.report().latency_us;
    for _ in 0..8 {
        let (_, job) = rig.send();
        rig.now += ms(15);
        rig.step(TargetEvent::Cancel(job.id));
        rig.advance(ms(2_000));
    }
    assert!(rig.report().latency_us > 2 * before);
}

/// Guards against requests that are abandoned although their target is down
/// or only slow, so that the connection is not at fault.
#[test]
fn a_connection_is_not_closed_as_silent_unless_a_probe_succeeds() {
    let mut rig = Rig::ready(2);
    let (conn, job) = rig.send();
    rig.now += ms(20);
    rig.step(TargetEvent::Tick);
    rig.health(None);
    assert_eq!(
        (ended_jobs(&rig.effects), closes(&rig.effects)),
        (vec![], vec![])
    );
    rig.now += ms(15);
    rig.step(TargetEvent::Received(conn));
    assert_eq!(probes(&rig.advance(ms(19))).len(), 0);
    assert_eq!(ended_jobs(rig.answer(conn, &job)).len(), 1);
    // The silence timeout of a target that is slower than expected grows with
    // each attempt, so that its answers arrive eventually.
    let waits: Vec<Duration> = (0..3)
        .map(|_| {
            let (_, job) = rig.send();
            let sent_at = rig.now;
            while !ended_jobs(&rig.effects).iter().any(|d| d.0 == job.id) {
                rig.effects = rig.advance(ms(1));
            }
            let wait = rig.now.since(sent_at);
            rig.advance(ms(30));
            wait
        })
        .collect();
    assert!(waits[1] > waits[0] * 3 / 2 && waits[2] > waits[1] * 3 / 2);
}

/// Guards H7: a request that must not be repeated must not be lost on a
/// connection that was idle for long.
#[test]
fn a_job_that_must_not_be_repeated_gets_a_fresh_connection() {
    let mut rig = Rig::ready(1);
    let old = rig.send();
    rig.answer(old.0, &old.1);
    rig.advance(ms(5_001));
    let mut job = rig.job();
    job.repeatable = false;
    rig.step(TargetEvent::Submit(job.clone()));
    assert_eq!(sends(&rig.effects), []);
    let (conn, sent) = rig.open_all().remove(0);
    assert_eq!(sent.id, job.id);
    assert_ne!(conn, old.0);
    // A repeatable job uses the old one.
    rig.answer(conn, &sent);
    rig.advance(ms(5_001));
    rig.submit();
    assert_eq!(sends(&rig.effects).len(), 1);
}

/// Guards H4 and H8: targets that are leaving or in a zone that was taken out
/// get no new jobs, and their running jobs finish.
#[test]
fn no_new_work_for_a_target_that_is_out_leaving_or_given_up() {
    let change = |f: fn(&mut TargetSpec)| {
        let mut spec = spec(1, 1);
        f(&mut spec);
        TargetEvent::Configure(vec![spec])
    };
    let leaving = Some(health(HealthStatus::Leaving, BOOT));
    for stop in [
        change(|spec| spec.zone_out = true),
        change(|spec| spec.role = HomeRole::None),
        TargetEvent::Configure(vec![]),
        TargetEvent::Health(TargetId(1), leaving),
        TargetEvent::PlatformLeaving(TargetId(1), true),
    ] {
        let mut rig = Rig::ready(1);
        let (conn, running) = rig.send();
        let queued = rig.submit();
        rig.step(stop);
        assert_eq!(ended_jobs(&rig.effects), [(queued.id, JobOutcome::Shed)]);
        let refused = rig.submit();
        assert_eq!(ended_jobs(&rig.effects), [(refused.id, JobOutcome::Shed)]);
        let ended = ended_jobs(rig.answer(conn, &running));
        assert!(matches!(ended[0].1, JobOutcome::Answered { .. }));
    }
    // Targets are cold after their zone, or they themselves, have returned.
    let mut rig = Rig::ready(2);
    rig.step(change(|spec| spec.zone_out = true));
    rig.step(change(|_| {}));
    assert_eq!(rig.state(), TargetState::Cold);
    rig.step(TargetEvent::PlatformLeaving(TargetId(1), true));
    assert_eq!((rig.state(), rig.report().limit), (TargetState::Leaving, 0));
    rig.step(TargetEvent::PlatformLeaving(TargetId(1), false));
    assert_eq!((rig.state(), rig.report().limit), (TargetState::Cold, 1));
}

/// Guards against former homes that keep connections to a target open.
#[test]
fn idle_connections_are_closed_when_the_home_moves_and_after_a_while() {
    let mut rig = Rig::ready(1);
    let (conn, job) = rig.send();
    rig.answer(conn, &job);
    rig.step(TargetEvent::Configure(vec![]));
    assert_eq!(closes(&rig.effects), [conn]);
    assert_eq!(rig.targets.next_deadline(), None);
    let mut rig = Rig::ready(1);
    let (conn, job) = rig.send();
    rig.answer(conn, &job);
    assert_eq!(closes(&rig.advance(ms(29_999))), []);
    assert_eq!(closes(&rig.advance(ms(1))), [conn]);
}

/// Guards against more requests than slots while the former home may still
/// send.
#[test]
fn a_new_home_keeps_to_the_limit_of_a_standby_for_a_second() {
    let configured =
        |role| TargetEvent::Configure(vec![TargetSpec { role, ..spec(1, 4) }]);
    let mut rig = Rig::ready(4);
    rig.step(configured(HomeRole::Standby));
    let sent: Vec<_> = (0..4)
        .flat_map(|_| {
            rig.submit();
            rig.open_all()
        })
        .collect();
    assert_eq!(sent.len(), 2);
    rig.step(configured(HomeRole::Home));
    assert_eq!(rig.report().limit, 2);
    rig.advance(ms(999));
    assert_eq!(rig.report().limit, 2);
    rig.advance(ms(1));
    assert_eq!(rig.report().limit, 4);
}

/// Guards against connection storms on a target that is down.
#[test]
fn a_target_that_refuses_connections_is_retried_with_backoff() {
    let mut rig = Rig::ready(1);
    let (conn, running) = rig.send();
    let closed = CloseReason::MayHaveSent;
    rig.step(TargetEvent::ConnClosed(conn, closed));
    assert_eq!(
        ended_jobs(&rig.effects),
        [(running.id, failed(Verdict::MayHaveRun))]
    );
    rig.advance(ms(30));
    let job = rig.submit();
    let mut conn = connects(&rig.effects)[0];
    let mut pauses = Vec::new();
    for i in 0..8 {
        rig.step(TargetEvent::ConnectFailed(conn));
        let shed = (job.id, JobOutcome::Shed);
        assert_eq!(ended_jobs(&rig.effects).contains(&shed), i == 0);
        assert_eq!(rig.state(), TargetState::Down);
        let from = rig.now;
        let mut opened = Vec::new();
        while opened.is_empty() {
            opened = connects(&rig.advance(ms(1)));
        }
        assert_eq!(opened.len(), 1);
        conn = opened[0];
        pauses.push(rig.now.since(from));
    }
    assert!(pauses[0] >= ms(50) && pauses[0] <= ms(101), "{pauses:?}");
    assert!(pauses[7] >= ms(2_500) && pauses[7] <= ms(5_001), "{pauses:?}");
    rig.step(TargetEvent::Connected(conn));
    assert_eq!((rig.state(), rig.report().limit), (TargetState::Cold, 1));
}

/// Guards against one report message to the other instances per job.
#[test]
fn reports_are_sent_at_once_for_state_and_limit_but_else_twice_a_second() {
    let mut rig = Rig::ready(1);
    rig.advance(ms(1_000));
    let mut reports = 0;
    for _ in 0..200 {
        rig.serve(ms(5));
        let is_report =
            |e: &&TargetEffect| matches!(e, TargetEffect::Report(_));
        reports += rig.effects.iter().filter(is_report).count();
        reports += rig.advance(ms(5)).iter().filter(is_report).count();
    }
    assert!((2..=5).contains(&reports), "{reports} in two seconds");
    rig.step(TargetEvent::PlatformLeaving(TargetId(1), true));
    let is_report = |e: &TargetEffect| matches!(e, TargetEffect::Report(_));
    assert!(rig.effects.iter().any(is_report));
}

/// Guards H3: a target that lost every connection may have restarted, and
/// must not get its full load before it has answered.
#[test]
fn a_target_without_connections_gets_one_request_until_it_answers() {
    let mut rig = Rig::ready(2);
    let (conn, _) = rig.send();
    rig.step(TargetEvent::ConnClosed(conn, CloseReason::MayHaveSent));
    assert_eq!(rig.report().limit, 1);
    rig.advance(ms(30));
    rig.serve(ms(5));
    assert_eq!(rig.report().limit, 2);
}

/// Guards F10: half of the connections that a target accepts are left to
/// another home.
#[test]
fn at_most_half_of_the_connections_are_opened() {
    let mut rig = Rig::ready(4);
    let spec = TargetSpec { connections: 4, ..spec(1, 4) };
    rig.step(TargetEvent::Configure(vec![spec]));
    for _ in 0..4 {
        rig.submit();
        rig.open_all();
    }
    assert_eq!((rig.report().running, rig.report().queued), (2, 2));
}
