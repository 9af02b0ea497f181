//! Single decisions: what is refused and why, who goes first, which targets are trusted, what is set aside.

mod fixture;

use fixture::{Fixture, target, worker};
use mangogw_dispatch::{Action, AttemptReport, EjectionReason, End, LimitShare, RepeatPolicy, TargetState};
use mangogw_model::{Class, Code, Entry, Hedge, Incarnation, Limits, Needs, Outcome, Quota, Retry, Time, Usage};
use std::time::Duration;

const LONG: Duration = Duration::from_mins(1);

fn entry(owner: &str, class: Class) -> Entry {
    Entry { owner: owner.into(), class, repeatable: true, ..Entry::default() }
}

#[test]
fn larger_than_any_target_ever_is_refused_for_good() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&worker("w", "r", 8));
    let refusal = f.admit("e", Needs { cores: 9, ..Needs::default() }, LONG).expect_err("it never fits");
    assert_eq!((refusal.code, refusal.wait), (Code::NeverFits, None));
    // A target that left was still announced: waiting may help.
    f.core.leave(f.now, &"w".into()).expect("it is known");
    f.pass(Duration::from_millis(50));
    let refusal = f.admit("e", Needs { cores: 8, ..Needs::default() }, LONG).expect_err("none is there");
    assert_eq!(refusal.code, Code::NoTargets);
    assert!(refusal.wait.is_some_and(|wait| !wait.is_zero()));
}

#[test]
fn what_is_over_the_whole_quota_is_refused() {
    let quota = Quota { cores: 4, ..Quota::default() };
    let mut f = Fixture::open(&[("e", Entry { quota, ..entry("o", Class::Normal) })]);
    f.announce(&worker("w", "r", 8));
    let refusal = f.admit("e", Needs { cores: 5, ..Needs::default() }, LONG).expect_err("over the quota");
    assert_eq!(refusal.code, Code::QuotaExceeded);
    // What is within it waits its turn.
    let needs = Needs { cores: 3, ..Needs::default() };
    f.admit("e", needs, LONG).expect("within the quota");
    f.admit("e", needs, LONG).expect("it waits");
    assert_eq!(f.starts().len(), 1);
    f.answer_all();
    assert_eq!(f.starts().len(), 1);
}

#[test]
fn a_full_queue_tells_how_long_to_wait() {
    let limits = Limits { queue: 3, ..Limits::default() };
    let mut f = Fixture::open(&[("e", Entry { limits, ..entry("o", Class::Normal) })]);
    f.announce(&target("t", 1));
    for _ in 0..4 {
        f.admit("e", Needs::default(), LONG).expect("one runs, three wait");
    }
    let refusal = f.admit("e", Needs::default(), LONG).expect_err("the queue is full");
    assert_eq!(refusal.code, Code::QueueFull);
    assert!(refusal.wait.is_some_and(|wait| wait > Duration::from_millis(50) && wait < LONG));
}

#[test]
fn rates_are_shared_and_refusals_name_the_next_token() {
    let limits = Limits { rate: 10, burst: 4, ..Limits::default() };
    let mut f = Fixture::open(&[("e", Entry { limits, ..entry("o", Class::Normal) })]);
    f.announce(&target("t", 100));
    let key = f.entry("e");
    f.core.set_limit_share(f.now, key, LimitShare { rate: 0.5, ..LimitShare::WHOLE });
    let taken = (0..10).filter(|_| f.admit("e", Needs::default(), LONG).is_ok()).count();
    assert_eq!(taken, 2, "half of the burst");
    let refusal = f.admit("e", Needs::default(), LONG).expect_err("no token is left");
    assert_eq!(refusal.code, Code::RateLimited);
    f.pass(refusal.wait.expect("waiting helps"));
    f.admit("e", Needs::default(), LONG).expect("the wait was honest");
}

#[test]
fn what_cannot_end_in_time_is_refused_at_once() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Urgent))]);
    f.announce(&target("t", 1));
    for _ in 0..100 {
        f.admit("e", Needs::default(), LONG).expect("it is taken");
        f.pass(Duration::from_millis(100));
        f.answer_all();
    }
    for _ in 0..100 {
        // One is expected to take 100 ms: the first few end within 2 s.
        let _ = f.admit("e", Needs::default(), Duration::from_secs(2));
    }
    let refusal = f.admit("e", Needs::default(), Duration::from_secs(2)).expect_err("the queue is too long");
    assert_eq!((refusal.code, refusal.code.outcome()), (Code::NoCapacity, Outcome::NotRun));
    let refused = refusal.wait.expect("waiting helps");
    assert!(refused < Duration::from_secs(2));
    // Each that was taken ends in time.
    while f.core.live_tasks() > 0 {
        f.pass(Duration::from_millis(100));
        f.answer_all();
    }
    assert!(f.ends().iter().all(|end| matches!(end, End::Answered(_))), "one was taken and late");
}

#[test]
fn urgent_goes_first_and_batch_is_not_starved() {
    let mut f = Fixture::open(&[("u", entry("o", Class::Urgent)), ("b", entry("o", Class::Batch))]);
    f.announce(&target("t", 1));
    for _ in 0..60 {
        f.admit("b", Needs::default(), LONG * 10).expect("it waits");
        f.admit("u", Needs::default(), LONG * 10).expect("it waits");
    }
    let mut order = Vec::new();
    while f.core.live_tasks() > 0 {
        order.extend(f.starts().into_iter().map(|(task, ..)| f.entry_name(task)));
        f.answer_all();
    }
    let first_batch = order.iter().skip(1).position(|name| name == "b").expect("batch is served");
    assert!((10..=25).contains(&first_batch), "batch waited for {first_batch}");
    let urgent = order.iter().take(50).filter(|name| *name == "u").count();
    assert!(urgent >= 45, "only {urgent} of the first 50 were urgent");
}

#[test]
fn the_earliest_deadline_goes_first() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("t", 1));
    f.admit("e", Needs::default(), LONG).expect("it runs");
    let late = f.admit("e", Needs::default(), LONG).expect("it waits");
    let early = f.admit("e", Needs::default(), LONG / 2).expect("it waits");
    f.starts();
    f.answer_all();
    assert_eq!(f.starts()[0].0, early);
    f.answer_all();
    assert_eq!(f.starts()[0].0, late);
}

#[test]
fn a_not_repeatable_task_starts_once_unless_it_did_not_start() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("a", 4));
    f.announce(&target("b", 4));
    f.repeat = RepeatPolicy::Never;
    f.admit("e", Needs::default(), LONG).expect("it runs");
    let (_, attempt, first) = f.starts()[0];
    f.report(attempt, AttemptReport::NotStarted);
    let (_, attempt, second) = f.starts()[0];
    assert_ne!(first, second, "it went back to the target that turned it down");
    f.report(attempt, AttemptReport::Failed);
    assert!(f.starts().is_empty());
    assert_eq!(f.ends(), [End::Refused(Code::TargetFailed.into())]);
}

#[test]
fn retries_stay_within_their_budget() {
    let retry = Retry { tries: 3, budget: 0.1 };
    let mut f = Fixture::open(&[("e", Entry { retry, ..entry("o", Class::Normal) })]);
    for at in 0..20 {
        f.announce(&target(&format!("t{at}"), 8));
    }
    let mut starts = 0;
    for round in 0..200 {
        f.admit("e", Needs::default(), LONG).expect("it is taken");
        f.pass(Duration::from_millis(5));
        // Every second task fails wherever it runs.
        let report = if round % 2 == 0 { AttemptReport::Failed } else { AttemptReport::Answered };
        let mut open = f.starts();
        while let Some((_, attempt, _)) = open.pop() {
            starts += 1;
            f.report(attempt, report);
            open.extend(f.starts());
        }
    }
    assert!(starts <= 200 + 20, "{starts} starts for 200 tasks with a budget of 0.1");
    assert!(starts >= 200 + 15, "{starts} starts: retries were not used");
}

#[test]
fn a_late_task_is_hedged_and_the_loser_is_stopped() {
    let hedge = Hedge { quantile: 0.95, budget: 1.0 };
    let mut f = Fixture::open(&[("e", Entry { hedge, ..entry("o", Class::Urgent) })]);
    f.announce(&target("a", 1));
    f.announce(&target("b", 1));
    for _ in 0..100 {
        f.admit("e", Needs::default(), LONG).expect("it is taken");
        f.pass(Duration::from_millis(100));
        f.answer_all();
    }
    f.starts();
    f.admit("e", Needs::default(), LONG).expect("it is taken");
    let (_, slow, on) = f.starts()[0];
    f.pass(Duration::from_secs(1));
    let (_, other, elsewhere) = f.starts()[0];
    assert_ne!(on, elsewhere);
    f.ends();
    f.report(other, AttemptReport::Answered);
    assert_eq!(f.ends(), [End::Answered(other)]);
    assert_eq!(f.stops(), [slow]);
    let before = f.core.waste().late;
    f.report(slow, AttemptReport::Answered);
    assert_eq!((f.core.waste().late - before, f.ends().len()), (1, 0), "a late answer is dropped and counted");
}

#[test]
fn a_target_that_fails_everything_is_ejected_and_probed() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    for at in 0..4 {
        f.announce(&target(&format!("t{at}"), 8));
    }
    let bad = f.key("t0");
    let mut sent = Vec::new();
    for _ in 0..4_000 {
        f.pass(Duration::from_millis(5));
        let _ = f.admit("e", Needs::default(), LONG);
        let mut open = f.starts();
        while let Some((_, attempt, on)) = open.pop() {
            sent.extend((on == bad).then_some(f.now));
            f.report(attempt, if on == bad { AttemptReport::Failed } else { AttemptReport::Answered });
            open.extend(f.starts());
        }
    }
    assert_eq!(f.state("t0"), TargetState::Ejected(EjectionReason::Failing));
    assert!(sent.len() > 6, "it was not probed: {sent:?}");
    let apart = sent[4..].windows(2).all(|pair| pair[1] - pair[0] >= Duration::from_secs(1));
    assert!(apart, "more than 5 tasks before it was ejected, or probes overlap: {sent:?}");
    // It is well again: one probe lets it back.
    f.pass(Duration::from_secs(31));
    while f.state("t0") != TargetState::Open {
        f.pass(Duration::from_millis(5));
        f.admit("e", Needs::default(), LONG).expect("it is taken");
        f.answer_all();
    }
}

#[test]
fn no_more_than_half_of_the_targets_are_ejected() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    for at in 0..6 {
        f.announce(&target(&format!("t{at}"), 4));
    }
    for _ in 0..400 {
        f.pass(Duration::from_millis(5));
        let _ = f.admit("e", Needs::default(), LONG);
        f.report_all(AttemptReport::Failed);
    }
    let out = f.core.target_views(f.now).filter(|view| matches!(view.state, TargetState::Ejected(_))).count();
    assert!(out <= 3, "{out} of 6 are out");
}

#[test]
fn a_bad_rack_goes_out_as_a_whole() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    for at in 0..18 {
        f.announce(&worker(&format!("w{at}"), if at < 6 { "bad" } else { "good" }, 4));
    }
    for _ in 0..600 {
        f.pass(Duration::from_millis(2));
        let _ = f.admit("e", Needs { cores: 1, ..Needs::default() }, LONG);
        for (_, attempt, on) in f.starts() {
            let bad = f.core.targets().position(|said| f.key(said.name.as_str()) == on).is_some_and(|at| at < 6);
            f.report(attempt, if bad { AttemptReport::Failed } else { AttemptReport::Answered });
        }
    }
    for view in f.core.target_views(f.now) {
        println!("{view:?}");
    }
    for at in 0..6 {
        assert!(matches!(f.state(&format!("w{at}")), TargetState::Ejected(_)), "w{at} of the bad rack is in use");
    }
    assert!((6..18).all(|at| !matches!(f.state(&format!("w{at}")), TargetState::Ejected(_))));
    let by_rack =
        f.core.target_views(f.now).filter(|view| view.state == TargetState::Ejected(EjectionReason::Rack)).count();
    assert!(by_rack > 0, "each target had to be found out by itself");
}

#[test]
fn a_lapsed_or_leaving_target_gets_nothing_and_its_repeatable_tasks_move() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("a", 1));
    for _ in 0..20 {
        // Earns a retry.
        f.admit("e", Needs::default(), LONG).expect("it is taken");
        f.pass(Duration::from_millis(10));
        f.answer_all();
    }
    f.admit("e", Needs::default(), LONG).expect("it runs on a");
    let (_, _, on) = f.starts()[0];
    f.announce(&target("b", 1));
    f.announce(&target("c", 1));
    f.mute = vec!["a"];
    f.core.leave(f.now, &"c".into()).expect("it is known");
    f.pass(Duration::from_secs(5));
    let starts = f.starts();
    assert_eq!(starts.len(), 1, "the task of the lapsed target was not moved");
    assert_eq!((on, starts[0].2), (f.key("a"), f.key("b")));
    assert_eq!(f.state("a"), TargetState::Lapsed);
}

#[test]
fn a_new_life_loses_what_the_old_one_ran() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("a", 1));
    f.repeat = RepeatPolicy::Never;
    f.admit("e", Needs::default(), LONG).expect("it runs");
    f.admit("e", Needs::default(), LONG).expect("it waits");
    let (_, lost, _) = f.starts()[0];
    let mut said = target("a", 1);
    said.incarnation = Incarnation(2);
    f.announce(&said);
    assert_eq!(f.ends(), [End::Refused(Code::TargetLost.into())]);
    assert_eq!(f.starts().len(), 1, "the one that waited runs on the new life");
    f.report(lost, AttemptReport::Answered);
    assert!(f.ends().is_empty());
    said.incarnation = Incarnation(1);
    assert_eq!(f.core.announce(f.now, &said), Err(Code::StaleIncarnation));
    assert_eq!(f.core.heartbeat(f.now, &"a".into(), Incarnation(1)), Err(Code::StaleIncarnation));
}

#[test]
fn a_wave_of_cancellations_sends_nothing_for_what_did_not_start() {
    let limits = Limits { queue: 200_000, ..Limits::default() };
    let mut f = Fixture::open(&[("e", Entry { limits, ..entry("o", Class::Batch) })]);
    f.announce(&target("s", 5));
    f.announce(&target("t", 5));
    let hour = Duration::from_hours(100);
    let tasks: Vec<_> = (0..100_000).map(|_| f.admit("e", Needs::default(), hour).expect("it is taken")).collect();
    assert_eq!(f.starts().len(), 10);
    f.core.cancel_all(f.now, tasks);
    assert_eq!(f.stops().len(), 10);
    assert!(f.starts().is_empty());
    let ends = f.ends();
    let not_run = ends.iter().filter(|end| **end == End::Refused(Code::Cancelled.into())).count();
    assert_eq!((ends.len(), not_run), (100_000, 99_990));
    assert_eq!(f.core.live_tasks(), 0);
}

#[test]
fn a_stopped_attempt_holds_its_slot_until_it_is_heard_of() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&target("t", 1));
    let task = f.admit("e", Needs::default(), LONG).expect("it runs");
    f.admit("e", Needs::default(), LONG).expect("it waits");
    f.starts();
    f.core.cancel(f.now, task);
    let stopped = f.stops()[0];
    assert!(f.starts().is_empty(), "the slot was given away too early");
    f.report(stopped, AttemptReport::Failed);
    assert_eq!(f.starts().len(), 1);
    assert_eq!(f.state("t"), TargetState::Unproven, "a stopped task speaks not against its target");
}

#[test]
fn urgent_work_frees_a_worker_and_batch_work_resumes() {
    for (cores, memory) in [(8, 100), (8, 3_000)] {
        let mut f = Fixture::open(&[("u", entry("o", Class::Urgent)), ("b", entry("o", Class::Batch))]);
        f.announce(&worker("w", "r", 8));
        let needs = Needs { cores, memory_mb: memory, ..Needs::default() };
        f.admit("b", needs, LONG).expect("it runs");
        let (_, batch, _) = f.starts()[0];
        let urgent = f.admit("u", needs, LONG).expect("it waits");
        let asked: Vec<_> = f.actions();
        // Two tasks fit the memory only in the first round: then slowing down is enough.
        let report = match asked[..] {
            [Action::Throttle { attempt, .. }] if memory == 100 && attempt == batch => AttemptReport::Throttled,
            [Action::Checkpoint { attempt, .. }] if memory == 3_000 && attempt == batch => AttemptReport::Checkpointed,
            _ => panic!("{asked:?}"),
        };
        f.report(batch, report);
        let starts = f.starts();
        assert_eq!(starts[0].0, urgent);
        f.report(starts[0].1, AttemptReport::Answered);
        let resumed =
            f.actions().iter().any(|action| matches!(action, Action::Resume { attempt, .. } if *attempt == batch));
        assert!(resumed, "batch work was not resumed");
        assert!(f.starts().is_empty(), "it was started again");
        f.report(batch, AttemptReport::Answered);
        assert!(f.ends().contains(&End::Answered(batch)));
    }
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&worker("w", "r", 8));
    let small = Needs { cores: 1, ..Needs::default() };
    for _ in 0..8 {
        f.admit("e", small, LONG).expect("it runs");
    }
    let large = f.admit("e", Needs { cores: 8, ..Needs::default() }, LONG * 2).expect("it waits");
    let mut running: std::collections::VecDeque<_> = f.starts().into();
    for _ in 0..400 {
        f.pass(Duration::from_millis(10));
        f.admit("e", small, LONG).expect("it is taken");
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

#[test]
fn tasks_of_a_job_are_spread_over_racks() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    for at in 0..12 {
        f.announce(&worker(&format!("w{at}"), ["r0", "r1", "r2"][at / 4], 8));
    }
    f.job = 7;
    for _ in 0..6 {
        f.admit("e", Needs { cores: 1, ..Needs::default() }, LONG).expect("it runs");
    }
    let mut racks = [0; 3];
    for (_, _, on) in f.starts() {
        let at = (0..12).find(|at| f.key(&format!("w{at}")) == on).expect("it is a known target");
        racks[at / 4] += 1;
    }
    assert_eq!(racks, [2, 2, 2]);
}

#[test]
fn accelerators_are_not_stranded() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    let mut rich = worker("rich", "r", 4);
    rich.capacity.accelerators = 2;
    f.announce(&rich);
    f.announce(&worker("plain", "r", 4));
    let needs = Needs { cores: 1, ..Needs::default() };
    for _ in 0..8 {
        f.admit("e", needs, LONG).expect("it is taken");
    }
    let on_plain = f.starts().iter().filter(|(_, _, on)| *on == f.key("plain")).count();
    assert_eq!(on_plain, 4, "plain workers are taken first");
    let task = f.admit("e", Needs { accelerators: 1, ..needs }, LONG).expect("it fits");
    assert_eq!(f.starts().iter().map(|start| start.0).collect::<Vec<_>>(), [task], "no core was left for it");
}

#[test]
fn usage_reports_are_dated_back_and_late_ones_dropped() {
    let mut f = Fixture::open(&[("e", entry("o", Class::Normal))]);
    f.announce(&worker("w", "r", 8));
    f.pass(Duration::from_secs(3));
    let usage = |age_ms, cores| Usage { incarnation: Incarnation(1), age_ms, cores, memory_mb: 1, accelerators: 0 };
    f.core.record_usage(f.now, &"w".into(), &usage(1_000, 2.0)).expect("it is known");
    f.core.record_usage(f.now, &"w".into(), &usage(2_000, 5.0)).expect("it is known");
    let view = f.core.target_view(f.now, f.key("w")).expect("it is known");
    let (at, kept) = view.usage.expect("it was reported");
    assert_eq!((at, kept.cores), (Time::from_micros(f.now.as_micros() - 1_000_000), 2.0));
}
