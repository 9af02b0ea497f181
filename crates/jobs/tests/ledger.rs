//! Tests of the replicated state.

use mangogw_jobs::{
    Command, EndRecord, JobId, JobSpec, Ledger, Phase, Resources, RunNumber, Step, TargetReport, TargetState, TaskId,
};
use mangogw_model::Zone;
use std::sync::Arc;

fn accepted(attempts: u32) -> (Ledger, TaskId) {
    let mut ledger = Ledger::default();
    let id = JobId(7);
    let spec = JobSpec { steps: vec![Step { count: 1, ..Step::default() }], ..JobSpec::default() };
    let spec = Arc::new(spec);
    ledger.apply(&Command::StoreJob { id, spec, queue: "q".to_owned(), attempts, accepted_ms: 1 });
    (ledger, TaskId { job: id, ..TaskId::default() })
}

fn failed(task: TaskId, run: u64) -> Command {
    Command::RecordEnds(vec![EndRecord { task, run: RunNumber(run), done: false, recorded_ms: 5 }])
}

/// Guards against a failure that counts twice: the same failed end was listed to the next leader, which recorded it
/// again (fuzz of the group, seed 1120).
#[test]
fn a_failed_run_counts_once_however_often_it_is_recorded() {
    let (mut ledger, task) = accepted(2);
    ledger.apply(&failed(task, 11));
    ledger.apply(&failed(task, 11));
    assert_eq!(ledger.jobs[&task.job].ended, None);
    let applied = ledger.apply(&failed(task, 12));
    assert_eq!(applied.ended_jobs, [(task.job, Phase::Failed)]);
}

#[test]
fn a_cancel_after_the_end_changes_nothing() {
    let (mut ledger, task) = accepted(1);
    ledger.apply(&Command::RecordEnds(vec![EndRecord { task, run: RunNumber(1), done: true, recorded_ms: 5 }]));
    ledger.apply(&Command::Cancel { id: task.job, canceled_ms: 6 });
    assert_eq!(ledger.jobs[&task.job].ended, Some((Phase::Completed, 5)));
}

#[test]
fn a_job_sent_again_stays_one_job() {
    let (mut ledger, task) = accepted(1);
    ledger.apply(&Command::RecordEnds(vec![EndRecord { task, run: RunNumber(1), done: true, recorded_ms: 5 }]));
    let spec = Arc::new(JobSpec::default());
    ledger.apply(&Command::StoreJob { id: task.job, spec, queue: "q".to_owned(), attempts: 1, accepted_ms: 9 });
    assert_eq!(ledger.jobs[&task.job].ended, Some((Phase::Completed, 5)));
}

#[test]
fn ended_jobs_are_forgotten_and_others_are_not() {
    let (mut ledger, task) = accepted(1);
    ledger.apply(&Command::Expire(100));
    assert!(ledger.jobs.contains_key(&task.job));
    ledger.apply(&Command::RecordEnds(vec![EndRecord { task, run: RunNumber(1), done: true, recorded_ms: 5 }]));
    ledger.apply(&Command::Expire(100));
    assert!(ledger.jobs.is_empty());
}

fn report(incarnation: u64, sequence: u64, state: TargetState) -> Command {
    Command::ReportTarget(TargetReport {
        id: "w1".to_owned(),
        incarnation,
        sequence,
        pool: "p".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: Zone::from("a"),
        labels: Vec::new(),
        resources: Resources::default(),
        state,
    })
}

/// Guards against a next leader that does not know a target that has left and may still run tasks, or that takes a late
/// report of it for new.
#[test]
fn a_target_that_has_left_stays_known_until_it_is_removed() {
    let left = |incarnation| Command::TargetLeft { id: "w1".to_owned(), incarnation };
    let mut ledger = Ledger::default();
    ledger.apply(&report(5, 3, TargetState::Ready));
    ledger.apply(&left(4));
    assert_eq!(ledger.targets["w1"].state, TargetState::Ready, "a late deregistration of an earlier incarnation");
    ledger.apply(&left(5));
    ledger.apply(&report(5, 2, TargetState::Ready));
    ledger.apply(&report(5, 4, TargetState::Draining));
    assert_eq!(ledger.targets["w1"].state, TargetState::Left, "late reports");
    ledger.apply(&Command::MarkAbsent { id: "w1".to_owned(), incarnation: 5 });
    ledger.apply(&report(5, 5, TargetState::Draining));
    assert!(ledger.absent_targets.contains("w1"));
    ledger.apply(&report(5, 6, TargetState::Ready));
    assert_eq!(
        ledger.targets["w1"].state,
        TargetState::Ready,
        "it reports to be in use after an unnamed deregistration"
    );
    assert!(ledger.absent_targets.is_empty());
    ledger.apply(&left(6));
    let known = &ledger.targets["w1"];
    assert_eq!((known.incarnation, known.state), (6, TargetState::Left), "a later incarnation that has not reported");
    ledger.apply(&report(5, 7, TargetState::Ready));
    ledger.apply(&report(6, 1, TargetState::Draining));
    assert_eq!(ledger.targets["w1"].state, TargetState::Left, "late reports");
    ledger.apply(&Command::RemoveTarget { id: "w1".to_owned(), incarnation: 6 });
    assert!(ledger.targets.is_empty());
}

/// Guards against leaders that wait at each takeover for a target whose later incarnation was known from answers alone and
/// is absent.
#[test]
fn a_later_incarnation_that_is_absent_makes_its_target_absent() {
    let absent = |incarnation| Command::MarkAbsent { id: "w1".to_owned(), incarnation };
    let mut ledger = Ledger::default();
    ledger.apply(&report(5, 3, TargetState::Ready));
    ledger.apply(&absent(4));
    assert!(ledger.absent_targets.is_empty(), "an earlier incarnation");
    ledger.apply(&absent(6));
    assert!(ledger.absent_targets.contains("w1"));
    ledger.apply(&report(6, 1, TargetState::Ready));
    assert!(ledger.absent_targets.is_empty());
}

/// Guards against a target that is in use again after it has left, because its only report was late.
#[test]
fn a_late_report_does_not_bring_back_a_target_that_has_left() {
    let mut ledger = Ledger::default();
    ledger.apply(&report(5, 3, TargetState::Ready));
    ledger.apply(&Command::TargetLeft { id: "w1".to_owned(), incarnation: 6 });
    ledger.apply(&report(6, 1, TargetState::Ready));
    assert_eq!(ledger.targets["w1"].state, TargetState::Left);
}
