//! Rules for single targets: limits, connections, answers and trust.

mod target_support;

use primrosemast_core::{target::*, time::Time, verdict::Verdict};
use target_support::*;

/// Guards against jobs that are lost between submission and answer.
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

/// Guards against work for a target whose caller no longer waits, and
/// against a refusal as "not run" of a job that was sent.
#[test]
fn deadlines_expire_queued_jobs_and_give_up_sent_ones() {
    let mut rig = Rig::with_target(1);
    let (conn, sent) = rig.send();
    let queued = rig.submit();
    let effects = rig.pass(ms(1_000));
    let failed = JobOutcome::Failed { verdict: Verdict::MayHaveRun };
    let ends = dones(&effects);
    assert!(ends.contains(&(queued.id, JobOutcome::Expired)), "{ends:?}");
    assert!(ends.contains(&(sent.id, failed)), "{ends:?}");
    assert!(closes(&effects).contains(&conn));
    let mut late = rig.job();
    late.deadline = Time::ZERO;
    let id = late.id;
    rig.step(TargetEvent::Submit(late));
    assert_eq!(dones(&rig.effects), [(id, JobOutcome::Expired)]);
}

/// Guards against more requests at a target than it has slots.
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
