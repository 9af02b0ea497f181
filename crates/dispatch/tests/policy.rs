//! Tests of single decisions of the core: admission, order, retries and hedges, ejection, leases, cancellation,
//! preemption and placement.

mod fixture;

use fixture::{Fixture, target, worker};
use mangogw_dispatch::{Action, AttemptReport, EjectionReason, End, LimitShare, RepeatPolicy, TargetState};
use mangogw_model::{Class, Code, Entry, Hedge, Incarnation, Limits, Needs, Outcome, Quota, Retry, Time, Usage};
use std::time::Duration;

/// Time to the deadline of a task that ends well before it.
const LONG_DEADLINE: Duration = Duration::from_mins(1);

fn entry(owner: &str, class: Class) -> Entry {
    Entry { owner: owner.into(), class, repeatable: true, ..Entry::default() }
}

/// Guards against a retry time for a task that no announced target can hold, and against a refusal for good while the
/// only target that can hold the task is absent.
#[test]
fn task_larger_than_any_announced_target_is_refused_without_retry() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&worker("w", "r", 8));
    let refusal =
        f.admit("e", Needs { cores: 9, ..Needs::default() }, LONG_DEADLINE).expect_err("no target has 9 cores");
    assert_eq!((refusal.code, refusal.retry_after), (Code::NeverFits, None));
    // A target that left may come back, so the refusal carries a retry time.
    f.core.leave(f.now, &"w".into()).expect("the target is known");
    f.advance(Duration::from_millis(50));
    let refusal =
        f.admit("e", Needs { cores: 8, ..Needs::default() }, LONG_DEADLINE).expect_err("the only target has left");
    assert_eq!(refusal.code, Code::NoTargets);
    assert!(refusal.retry_after.is_some_and(|wait| !wait.is_zero()));
}

/// Guards against queueing a task whose needs exceed the quota: it would wait until its deadline.
#[test]
fn task_larger_than_the_quota_is_refused() {
    let quota = Quota { cores: 4, ..Quota::default() };
    let mut f = Fixture::open(&[("e", Entry { quota, ..entry("o", Class::Normal) })]);
    f.announce(&worker("w", "r", 8));
    let refusal =
        f.admit("e", Needs { cores: 5, ..Needs::default() }, LONG_DEADLINE).expect_err("5 cores exceed the quota of 4");
    assert_eq!(refusal.code, Code::QuotaExceeded);
    // Tasks within the quota wait until it has room.
    let needs = Needs { cores: 3, ..Needs::default() };
    f.admit("e", needs, LONG_DEADLINE).expect("3 cores are within the quota");
    f.admit("e", needs, LONG_DEADLINE).expect("the task waits");
    assert_eq!(f.starts().len(), 1);
    f.answer_all();
    assert_eq!(f.starts().len(), 1);
}

/// Guards against a full queue that refuses without a usable retry time.
#[test]
fn full_queue_refuses_with_a_retry_time() {
    let limits = Limits { queue: 3, ..Limits::default() };
    let mut f = Fixture::open(&[("e", Entry { limits, ..entry("o", Class::Normal) })]);
    f.announce(&target("t", 1));
    for _ in 0..4 {
        f.admit("e", Needs::default(), LONG_DEADLINE).expect("one runs, three wait");
    }
    let refusal = f.admit("e", Needs::default(), LONG_DEADLINE).expect_err("the queue is full");
    assert_eq!(refusal.code, Code::QueueFull);
    assert!(refusal.retry_after.is_some_and(|wait| wait > Duration::from_millis(50) && wait < LONG_DEADLINE));
}

/// Guards against a host that spends more than its share of a rate limit, and against a retry time before the next
/// token.
#[test]
fn rate_limit_follows_the_share_and_refusals_give_the_next_token_time() {
    let limits = Limits { rate: 10, burst: 4, ..Limits::default() };
    let mut f = Fixture::open(&[("e", Entry { limits, ..entry("o", Class::Normal) })]);
    f.announce(&target("t", 100));
    let key = f.entry("e");
    f.core.set_limit_share(f.now, key, LimitShare { rate: 0.5, ..LimitShare::WHOLE });
    let admitted = (0..10).filter(|_| f.admit("e", Needs::default(), LONG_DEADLINE).is_ok()).count();
    assert_eq!(admitted, 2, "the share is half of the burst of 4");
    let refusal = f.admit("e", Needs::default(), LONG_DEADLINE).expect_err("the burst is used up");
    assert_eq!(refusal.code, Code::RateLimited);
    f.advance(refusal.retry_after.expect("the refusal carries a retry time"));
    f.admit("e", Needs::default(), LONG_DEADLINE).expect("a token is free after the retry time");
}

/// Guards against admitting tasks whose expected wait is beyond their deadline: they would time out in the queue.
#[test]
fn task_that_cannot_meet_its_deadline_is_refused_at_admission() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Urgent))]);
    f.announce(&target("t", 1));
    for _ in 0..100 {
        f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task is admitted");
        f.advance(Duration::from_millis(100));
        f.answer_all();
    }
    for _ in 0..100 {
        // A task takes 100 ms, so only the first few can end within 2 s.
        let _ = f.admit("e", Needs::default(), Duration::from_secs(2));
    }
    let refusal = f.admit("e", Needs::default(), Duration::from_secs(2)).expect_err("the queue is too long");
    assert_eq!((refusal.code, refusal.code.outcome()), (Code::NoCapacity, Outcome::NotRun));
    let retry_after = refusal.retry_after.expect("the refusal carries a retry time");
    assert!(retry_after < Duration::from_secs(2));
    // Every admitted task is answered before its deadline.
    while f.core.live_tasks() > 0 {
        f.advance(Duration::from_millis(100));
        f.answer_all();
    }
    assert!(f.ends().iter().all(|end| matches!(end, End::Answered(_))), "an admitted task missed its deadline");
}

/// Guards against batch tasks that never start while urgent tasks wait, and against batch tasks that take the slots of
/// urgent ones.
#[test]
fn urgent_tasks_go_first_without_starving_batch_tasks() {
    let mut f = Fixture::open(&[("u", entry("o", Class::Urgent)), ("b", entry("o", Class::Batch))]);
    f.announce(&target("t", 1));
    for _ in 0..60 {
        f.admit("b", Needs::default(), LONG_DEADLINE * 10).expect("the task waits");
        f.admit("u", Needs::default(), LONG_DEADLINE * 10).expect("the task waits");
    }
    let mut order = Vec::new();
    while f.core.live_tasks() > 0 {
        order.extend(f.starts().into_iter().map(|(task, ..)| f.entry_name(task)));
        f.answer_all();
    }
    let first_batch = order.iter().skip(1).position(|name| name == "b").expect("a batch task starts");
    assert!((10..=25).contains(&first_batch), "the first batch task waited for {first_batch} starts");
    let urgent = order.iter().take(50).filter(|name| *name == "u").count();
    assert!(urgent >= 45, "only {urgent} of the first 50 were urgent");
}

/// Guards against first-in-first-out order among waiting tasks of one entry.
#[test]
fn waiting_task_with_the_earliest_deadline_starts_first() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("t", 1));
    f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task starts");
    let late = f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task waits");
    let early = f.admit("e", Needs::default(), LONG_DEADLINE / 2).expect("the task waits");
    f.starts();
    f.answer_all();
    assert_eq!(f.starts()[0].0, early);
    f.answer_all();
    assert_eq!(f.starts()[0].0, late);
}

/// Guards against running a non-repeatable task twice. Only the report "not started" allows another start, on another
/// target.
#[test]
fn non_repeatable_task_is_restarted_only_if_it_did_not_start() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("a", 4));
    f.announce(&target("b", 4));
    f.repeat = RepeatPolicy::Never;
    f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task starts");
    let (_, attempt, first) = f.starts()[0];
    f.report(attempt, AttemptReport::NotStarted);
    let (_, attempt, second) = f.starts()[0];
    assert_ne!(first, second, "the task went back to the target that did not start it");
    f.report(attempt, AttemptReport::Failed);
    assert!(f.starts().is_empty());
    assert_eq!(f.ends(), [End::Refused(Code::TargetFailed.into())]);
}

/// Guards against a retry storm: with half of the tasks failing everywhere, retries stay within a tenth of the tasks.
#[test]
fn retries_stay_within_their_budget() {
    let retry = Retry { tries: 3, budget: 0.1 };
    let mut f = Fixture::open(&[("e", Entry { retry, ..entry("o", Class::Normal) })]);
    for at in 0..20 {
        f.announce(&target(&format!("t{at}"), 8));
    }
    let mut starts = 0;
    for round in 0..200 {
        f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task is admitted");
        f.advance(Duration::from_millis(5));
        // Every second task fails on each target.
        let report = if round % 2 == 0 { AttemptReport::Failed } else { AttemptReport::Answered };
        let mut running = f.starts();
        while let Some((_, attempt, _)) = running.pop() {
            starts += 1;
            f.report(attempt, report);
            running.extend(f.starts());
        }
    }
    assert!(starts <= 200 + 20, "{starts} starts for 200 tasks with a budget of 0.1");
    assert!(starts >= 200 + 15, "{starts} starts for 200 tasks: too few retries");
}

/// Guards against a slow attempt that delays its task, a losing attempt that keeps running, and a late answer that ends
/// the task a second time.
#[test]
fn late_task_is_hedged_and_the_losing_attempt_is_stopped() {
    let hedge = Hedge { quantile: 0.95, budget: 1.0 };
    let mut f = Fixture::open(&[("e", Entry { hedge, ..entry("o", Class::Urgent) })]);
    f.announce(&target("a", 1));
    f.announce(&target("b", 1));
    for _ in 0..100 {
        f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task is admitted");
        f.advance(Duration::from_millis(100));
        f.answer_all();
    }
    f.starts();
    f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task is admitted");
    let (_, slow, first) = f.starts()[0];
    f.advance(Duration::from_secs(1));
    let (_, backup, second) = f.starts()[0];
    assert_ne!(first, second);
    f.ends();
    f.report(backup, AttemptReport::Answered);
    assert_eq!(f.ends(), [End::Answered(backup)]);
    assert_eq!(f.stops(), [slow]);
    let before = f.core.waste().late;
    f.report(slow, AttemptReport::Answered);
    assert_eq!((f.core.waste().late - before, f.ends().len()), (1, 0), "the late answer is dropped and counted once");
}

/// Guards against a failing target that keeps getting tasks, against overlapping probes, and against a recovered target
/// that stays ejected.
#[test]
fn target_that_fails_every_task_is_ejected_and_probed() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    for at in 0..4 {
        f.announce(&target(&format!("t{at}"), 8));
    }
    let bad = f.key("t0");
    let mut sent = Vec::new();
    for _ in 0..4_000 {
        f.advance(Duration::from_millis(5));
        let _ = f.admit("e", Needs::default(), LONG_DEADLINE);
        let mut running = f.starts();
        while let Some((_, attempt, on)) = running.pop() {
            sent.extend((on == bad).then_some(f.now));
            f.report(attempt, if on == bad { AttemptReport::Failed } else { AttemptReport::Answered });
            running.extend(f.starts());
        }
    }
    assert_eq!(f.state("t0"), TargetState::Ejected(EjectionReason::Failing));
    assert!(sent.len() > 6, "the ejected target got no probes: {sent:?}");
    let spaced = sent[4..].windows(2).all(|pair| pair[1] - pair[0] >= Duration::from_secs(1));
    assert!(spaced, "more than 5 tasks before the ejection, or probes overlap: {sent:?}");
    // The target has recovered: one answered probe ends the ejection.
    f.advance(Duration::from_secs(31));
    while f.state("t0") != TargetState::Open {
        f.advance(Duration::from_millis(5));
        f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task is admitted");
        f.answer_all();
    }
}

/// Guards against the ejection of all targets when every task fails.
#[test]
fn at_most_half_of_the_targets_are_ejected() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    for at in 0..6 {
        f.announce(&target(&format!("t{at}"), 4));
    }
    for _ in 0..400 {
        f.advance(Duration::from_millis(5));
        let _ = f.admit("e", Needs::default(), LONG_DEADLINE);
        f.report_all(AttemptReport::Failed);
    }
    let ejected = f.core.target_views(f.now).filter(|view| matches!(view.state, TargetState::Ejected(_))).count();
    assert!(ejected <= 3, "{ejected} of 6 targets are ejected");
}

/// Guards against ejecting the targets of a failing rack one at a time, which costs several failed tasks each.
#[test]
fn targets_of_a_failing_rack_are_ejected_together() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    for at in 0..18 {
        f.announce(&worker(&format!("w{at}"), if at < 6 { "bad" } else { "good" }, 4));
    }
    for _ in 0..600 {
        f.advance(Duration::from_millis(2));
        let _ = f.admit("e", Needs { cores: 1, ..Needs::default() }, LONG_DEADLINE);
        for (_, attempt, on) in f.starts() {
            let bad = f.core.targets().position(|row| f.key(row.name.as_str()) == on).is_some_and(|at| at < 6);
            f.report(attempt, if bad { AttemptReport::Failed } else { AttemptReport::Answered });
        }
    }
    for view in f.core.target_views(f.now) {
        println!("{view:?}");
    }
    for at in 0..6 {
        assert!(
            matches!(f.state(&format!("w{at}")), TargetState::Ejected(_)),
            "w{at} of the failing rack is not ejected"
        );
    }
    assert!((6..18).all(|at| !matches!(f.state(&format!("w{at}")), TargetState::Ejected(_))));
    let by_rack =
        f.core.target_views(f.now).filter(|view| view.state == TargetState::Ejected(EjectionReason::Rack)).count();
    assert!(by_rack > 0, "no target was ejected because of its rack");
}

/// Guards against starts on a target whose lease lapsed or that left, and against a repeatable task that stays on the
/// lapsed target.
#[test]
fn lapsed_or_leaving_target_gets_no_tasks_and_its_repeatable_tasks_move() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("a", 1));
    for _ in 0..20 {
        // Answers fill the retry budget.
        f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task is admitted");
        f.advance(Duration::from_millis(10));
        f.answer_all();
    }
    f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task starts on a");
    let (_, _, on) = f.starts()[0];
    f.announce(&target("b", 1));
    f.announce(&target("c", 1));
    f.silent = vec!["a"];
    f.core.leave(f.now, &"c".into()).expect("the target is known");
    f.advance(Duration::from_secs(5));
    let starts = f.starts();
    assert_eq!(starts.len(), 1, "the task of the lapsed target was not moved");
    assert_eq!((on, starts[0].2), (f.key("a"), f.key("b")));
    assert_eq!(f.state("a"), TargetState::Lapsed);
}

/// Guards against attempts of an earlier incarnation that stay open after a restart of the target, and against
/// announcements and heartbeats of that incarnation.
#[test]
fn new_incarnation_ends_the_attempts_of_the_old_one() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("a", 1));
    f.repeat = RepeatPolicy::Never;
    f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task starts");
    f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task waits");
    let (_, lost, _) = f.starts()[0];
    let mut announcement = target("a", 1);
    announcement.incarnation = Incarnation(2);
    f.announce(&announcement);
    assert_eq!(f.ends(), [End::Refused(Code::TargetLost.into())]);
    assert_eq!(f.starts().len(), 1, "the waiting task starts on the new incarnation");
    f.report(lost, AttemptReport::Answered);
    assert!(f.ends().is_empty());
    announcement.incarnation = Incarnation(1);
    assert_eq!(f.core.announce(f.now, &announcement), Err(Code::StaleIncarnation));
    assert_eq!(f.core.heartbeat(f.now, &"a".into(), Incarnation(1)), Err(Code::StaleIncarnation));
}

/// Guards against stop messages or starts for queued tasks when 100,000 tasks are cancelled at once.
#[test]
fn mass_cancellation_sends_stops_only_for_started_tasks() {
    let limits = Limits { queue: 200_000, ..Limits::default() };
    let mut f = Fixture::open(&[("e", Entry { limits, ..entry("o", Class::Batch) })]);
    f.announce(&target("s", 5));
    f.announce(&target("t", 5));
    let timeout = Duration::from_hours(100);
    let tasks: Vec<_> =
        (0..100_000).map(|_| f.admit("e", Needs::default(), timeout).expect("the task is admitted")).collect();
    assert_eq!(f.starts().len(), 10);
    f.core.cancel_all(f.now, tasks);
    assert_eq!(f.stops().len(), 10);
    assert!(f.starts().is_empty());
    let ends = f.ends();
    let not_run = ends.iter().filter(|end| **end == End::Refused(Code::Cancelled.into())).count();
    assert_eq!((ends.len(), not_run), (100_000, 99_990));
    assert_eq!(f.core.live_tasks(), 0);
}

/// Guards against over-commitment: a stopped attempt may still run until the target reports its end.
#[test]
fn stopped_attempt_holds_its_slot_until_its_end_is_reported() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("t", 1));
    let task = f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task starts");
    f.admit("e", Needs::default(), LONG_DEADLINE).expect("the task waits");
    f.starts();
    f.core.cancel(f.now, task);
    let stopped = f.stops()[0];
    assert!(f.starts().is_empty(), "the slot was reused before the stopped attempt ended");
    f.report(stopped, AttemptReport::Failed);
    assert_eq!(f.starts().len(), 1);
    assert_eq!(f.state("t"), TargetState::Unproven, "a stopped attempt counted as a failure of its target");
}

/// Guards against urgent tasks that wait for batch tasks, and against preempted batch tasks that start anew.
#[test]
fn urgent_task_preempts_a_batch_task_that_resumes_afterwards() {
    for (cores, memory) in [(8, 100), (8, 3_000)] {
        let mut f = Fixture::open(&[("u", entry("o", Class::Urgent)), ("b", entry("o", Class::Batch))]);
        f.announce(&worker("w", "r", 8));
        let needs = Needs { cores, memory_mb: memory, ..Needs::default() };
        f.admit("b", needs, LONG_DEADLINE).expect("the task starts");
        let (_, batch, _) = f.starts()[0];
        let urgent = f.admit("u", needs, LONG_DEADLINE).expect("the task waits");
        let requests: Vec<_> = f.actions();
        // Only in the first round do both tasks fit the memory, so that throttling is enough.
        let report = match requests[..] {
            [Action::Throttle { attempt, .. }] if memory == 100 && attempt == batch => AttemptReport::Throttled,
            [Action::Checkpoint { attempt, .. }] if memory == 3_000 && attempt == batch => AttemptReport::Checkpointed,
            _ => panic!("expected one throttle or checkpoint request for the batch attempt: {requests:?}"),
        };
        f.report(batch, report);
        let starts = f.starts();
        assert_eq!(starts[0].0, urgent);
        f.report(starts[0].1, AttemptReport::Answered);
        let resumed =
            f.actions().iter().any(|action| matches!(action, Action::Resume { attempt, .. } if *attempt == batch));
        assert!(resumed, "the batch attempt was not resumed");
        assert!(f.starts().is_empty(), "the batch task was started again");
        f.report(batch, AttemptReport::Answered);
        assert!(f.ends().contains(&End::Answered(batch)));
    }
}

/// Guards against a task for all 8 cores that never starts because small tasks take each core that becomes free.
#[test]
fn large_task_is_not_starved_by_small_ones() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&worker("w", "r", 8));
    let small = Needs { cores: 1, ..Needs::default() };
    for _ in 0..8 {
        f.admit("e", small, LONG_DEADLINE).expect("the task starts");
    }
    let large = f.admit("e", Needs { cores: 8, ..Needs::default() }, LONG_DEADLINE * 2).expect("the task waits");
    let mut running: std::collections::VecDeque<_> = f.starts().into();
    for _ in 0..400 {
        f.advance(Duration::from_millis(10));
        f.admit("e", small, LONG_DEADLINE).expect("the task is admitted");
        if let Some((_, attempt, _)) = running.pop_front() {
            f.report(attempt, AttemptReport::Answered);
        }
        for start in f.starts() {
            if start.0 == large {
                return;
            }
            running.push_back(start);
        }
    }
    panic!("the large task never started");
}

/// Guards against placing a job in one failure domain.
#[test]
fn tasks_of_a_job_are_spread_over_racks() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    for at in 0..12 {
        f.announce(&worker(&format!("w{at}"), ["r0", "r1", "r2"][at / 4], 8));
    }
    f.job = 7;
    for _ in 0..6 {
        f.admit("e", Needs { cores: 1, ..Needs::default() }, LONG_DEADLINE).expect("the task starts");
    }
    let mut racks = [0; 3];
    for (_, _, on) in f.starts() {
        let at = (0..12).find(|at| f.key(&format!("w{at}")) == on).expect("the task started on an announced worker");
        racks[at / 4] += 1;
    }
    assert_eq!(racks, [2, 2, 2]);
}

/// Guards against accelerators that no task can use because plain tasks hold all cores of their worker.
#[test]
fn accelerators_keep_a_core_for_tasks_that_need_them() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    let mut accelerated = worker("rich", "r", 4);
    accelerated.capacity.accelerators = 2;
    f.announce(&accelerated);
    f.announce(&worker("plain", "r", 4));
    let needs = Needs { cores: 1, ..Needs::default() };
    for _ in 0..8 {
        f.admit("e", needs, LONG_DEADLINE).expect("the task is admitted");
    }
    let on_plain = f.starts().iter().filter(|(_, _, on)| *on == f.key("plain")).count();
    assert_eq!(on_plain, 4, "plain workers are used first");
    let task = f.admit("e", Needs { accelerators: 1, ..needs }, LONG_DEADLINE).expect("the worker has accelerators");
    assert_eq!(
        f.starts().iter().map(|start| start.0).collect::<Vec<_>>(),
        [task],
        "the accelerator task did not start: no core was left"
    );
}

/// Guards against usage dated by arrival instead of measurement, and against an older report that replaces a newer one.
#[test]
fn usage_reports_are_backdated_and_older_ones_dropped() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&worker("w", "r", 8));
    f.advance(Duration::from_secs(3));
    let usage = |age_ms, cores| Usage { incarnation: Incarnation(1), age_ms, cores, memory_mb: 1, accelerators: 0 };
    f.core.record_usage(f.now, &"w".into(), &usage(1_000, 2.0)).expect("the target is known");
    f.core.record_usage(f.now, &"w".into(), &usage(2_000, 5.0)).expect("the target is known");
    let view = f.core.target_view(f.now, f.key("w")).expect("the target is known");
    let (measured_at, latest) = view.usage.expect("usage was reported");
    assert_eq!((measured_at, latest.cores), (Time::from_micros(f.now.as_micros() - 1_000_000), 2.0));
}
