//! Tests of the board with a few targets whose outcomes are given one by one.

use mangogw_jobs::{
    ActiveRun, Board, Command, EndRecord, EndedRun, JobEnd, JobId, JobSpec, Ledger, Listing, Order, OrderKind, Outcome,
    Output, Queue, QueueSet, Refused, Resources, RunEnd, RunNumber, Settings, Step, Submission, TargetReport,
    TargetState, TaskId,
};
use mangogw_model::{Time, Zone};
use std::sync::Arc;
use std::time::Duration;

const RESOURCES: Resources = Resources { cpu: 16_000, memory: 32_000, accelerators: 0 };

struct Harness {
    board: Board,
    queue: Queue,
    now: Time,
}

fn report(id: &str) -> TargetReport {
    TargetReport {
        id: id.to_owned(),
        incarnation: 1,
        sequence: 1,
        pool: "pool".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: Zone::from("a"),
        labels: Vec::new(),
        resources: RESOURCES,
        state: TargetState::Ready,
    }
}

fn listing(clock: u64) -> Listing {
    Listing { incarnation: Some(1), clock, ..Listing::default() }
}

impl Harness {
    fn open(ids: &[&str]) -> Self {
        let queue = Queue { name: "q".to_owned(), pool: "pool".to_owned(), attempts: 2, slack: 60, ..Queue::default() };
        let set = QueueSet { queues: vec![queue.clone()], ..QueueSet::default() };
        let ledger = Ledger { queue_set: Some(Arc::new(set)), ..Ledger::default() };
        let now = Time::from_millis(1000);
        let mut harness = Self { board: Board::open(Settings::default(), 3, &ledger, now), queue, now };
        for id in ids {
            harness.board.on_report(now, &report(id));
        }
        for order in harness.orders() {
            harness.answer_listing(&order, listing(500));
        }
        harness
    }

    fn orders(&mut self) -> Vec<Order> {
        let order = |output| match output {
            Output::Order(order) => Some(order),
            _ => None,
        };
        self.board.drain(self.now).into_iter().filter_map(order).collect()
    }

    fn starts(&mut self) -> Vec<Order> {
        let starts = self.orders();
        starts.into_iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).collect()
    }

    fn answer_listing(&mut self, order: &Order, listing: Listing) {
        self.board.on_outcome(self.now, order, self.now, Outcome::Listed(listing));
    }

    /// Returns the jobs that have been refused since the last call, in order.
    fn refused(&mut self) -> Vec<u64> {
        let refused = |output| match output {
            Output::Answer { reply_to, end: JobEnd::Refused(_) } => Some(reply_to),
            _ => None,
        };
        let mut refused: Vec<u64> = self.board.drain(self.now).into_iter().filter_map(refused).collect();
        refused.sort_unstable();
        refused
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.board.on_tick(self.now);
    }

    fn submit(&mut self, id: u64, count: u32, cpu: u64, timeout_ms: u64) {
        self.admit(id, count, cpu, timeout_ms, true);
    }

    /// Submits a job that an earlier leader may have had.
    fn resubmit(&mut self, id: u64, count: u32, cpu: u64, timeout_ms: u64) {
        self.admit(id, count, cpu, timeout_ms, false);
    }

    fn admit(&mut self, id: u64, count: u32, cpu: u64, timeout_ms: u64, first_attempt: bool) {
        let step =
            Step { count, need: Resources { cpu, memory: 1, accelerators: 0 }, estimate: 100, ..Step::default() };
        let spec = Arc::new(JobSpec { steps: vec![step], transient: true, ..JobSpec::default() });
        let deadline = Some(self.now + Duration::from_millis(timeout_ms));
        let submission = Submission { id: JobId(id), spec, deadline, reply_to: id, first_attempt };
        self.board.admit(self.now, submission, &self.queue);
    }
}

fn run_of(order: &Order) -> (mangogw_jobs::TaskId, RunNumber) {
    match &order.kind {
        OrderKind::Start { task, run, .. } | OrderKind::Stop { task, run } => (*task, *run),
        OrderKind::Renew { .. } => panic!("a renewal has no run"),
    }
}

#[test]
fn resources_are_never_allocated_twice() {
    let mut harness = Harness::open(&["w1"]);
    harness.submit(1, 5, 6000, 5000);
    assert_eq!(harness.starts().len(), 2, "two of 6 cores on 16");
    harness.submit(2, 1, 6000, 5000);
    assert!(harness.starts().is_empty());
}

#[test]
fn nothing_starts_before_a_target_has_listed_its_runs() {
    let mut harness = Harness::open(&[]);
    harness.board.on_report(harness.now, &report("w1"));
    harness.submit(1, 1, 6000, 5000);
    let orders = harness.orders();
    assert!(orders.iter().all(|order| matches!(order.kind, OrderKind::Renew { .. })));
    harness.answer_listing(&orders[0], listing(500));
    assert_eq!(harness.starts().len(), 1);
}

/// Guards against a new leader that starts nothing for a lease while a zone is cut off: only jobs that an earlier
/// leader may have had must wait for its targets.
#[test]
fn a_first_attempt_does_not_wait_for_unlisted_targets() {
    let mut harness = Harness::open(&[]);
    let targets = ["w1", "w2"].map(|id| (id.to_owned(), report(id))).into_iter().collect();
    let queues = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
    let ledger = Ledger { queue_set: Some(Arc::new(queues)), targets, ..Ledger::default() };
    harness.board = Board::open(Settings::default(), 4, &ledger, harness.now);
    harness.submit(1, 1, 6000, 5000);
    harness.resubmit(2, 1, 6000, 5000);
    let renewals = harness.orders();
    let renewal = |id: &str| renewals.iter().find(|order| order.id == id).expect("it is renewed").clone();
    harness.answer_listing(&renewal("w1"), listing(500));
    assert_eq!(harness.starts().iter().map(|order| run_of(order).0.job).collect::<Vec<_>>(), [JobId(1)]);
    harness.advance(50);
    assert!(harness.starts().is_empty(), "w2 may run the other job");
    harness.answer_listing(&renewal("w2"), listing(500));
    assert_eq!(harness.starts().iter().map(|order| run_of(order).0.job).collect::<Vec<_>>(), [JobId(2)]);
}

/// Guards against one start too many: a target listed the last failure that a task had left to a new leader, which
/// started the task again before that failure was recorded (fuzz of the group, seed 2045).
#[test]
fn a_task_does_not_start_before_its_failure_is_recorded() {
    let mut harness = Harness::open(&[]);
    let id = JobId(9);
    let step =
        Step { count: 1, need: Resources { cpu: 6000, ..Resources::default() }, estimate: 100, ..Step::default() };
    let spec = Arc::new(JobSpec { steps: vec![step], ..JobSpec::default() });
    let targets = [("w1".to_owned(), report("w1"))].into_iter().collect();
    let queues = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
    let mut ledger = Ledger { queue_set: Some(Arc::new(queues)), targets, ..Ledger::default() };
    ledger.apply(&Command::StoreJob { id, spec, queue: "q".to_owned(), attempts: 2, accepted_ms: 0 });
    harness.board = Board::open(Settings::default(), 4, &ledger, harness.now);
    let renewal = harness.orders().remove(0);
    let task = TaskId { job: id, ..TaskId::default() };
    let ended = |number, run| EndedRun { number, task, run, run_end: RunEnd::Failed, checkpoint: String::new() };
    let ended = vec![ended(1, RunNumber::new(3, 1)), ended(2, RunNumber::new(3, 2))];
    harness.answer_listing(&renewal, Listing { ended, ..listing(600) });
    let outputs = harness.board.drain(harness.now);
    assert!(outputs.iter().any(|output| matches!(output, Output::RecordEnds { .. })), "{outputs:?}");
    let starts = |output: &Output| matches!(output, Output::Order(Order { kind: OrderKind::Start { .. }, .. }));
    assert!(!outputs.iter().any(starts), "{outputs:?}");
}

/// Guards against a lost end: while a failure of a task waited to be recorded, an end as done that another target
/// listed was dropped, and the task started again (fuzz of the group, seed 5020).
#[test]
fn an_end_is_recorded_beside_an_unrecorded_failure() {
    let mut harness = Harness::open(&[]);
    let id = JobId(9);
    let step =
        Step { count: 1, need: Resources { cpu: 6000, ..Resources::default() }, estimate: 100, ..Step::default() };
    let spec = Arc::new(JobSpec { steps: vec![step], ..JobSpec::default() });
    let targets = ["w1", "w2"].map(|id| (id.to_owned(), report(id))).into_iter().collect();
    let queues = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
    let mut ledger = Ledger { queue_set: Some(Arc::new(queues)), targets, ..Ledger::default() };
    ledger.apply(&Command::StoreJob { id, spec, queue: "q".to_owned(), attempts: 3, accepted_ms: 0 });
    harness.board = Board::open(Settings::default(), 4, &ledger, harness.now);
    let renewals = harness.orders();
    let task = TaskId { job: id, ..TaskId::default() };
    let mut records = Vec::new();
    for (renewal, run, run_end) in [(&renewals[0], 1, RunEnd::Failed), (&renewals[1], 2, RunEnd::Done)] {
        let ended = EndedRun { number: 1, task, run: RunNumber::new(3, run), run_end, checkpoint: String::new() };
        harness.answer_listing(renewal, Listing { ended: vec![ended], ..listing(600) });
        records.extend(harness.board.drain(harness.now).into_iter().filter_map(|output| match output {
            Output::RecordEnds { target, numbers, records } => Some((target, numbers, records)),
            _ => None,
        }));
    }
    let done: Vec<bool> = records.iter().flat_map(|(_, _, records)| records.iter().map(|record| record.done)).collect();
    assert_eq!(done, [false, true]);
    for (target, numbers, records) in &records {
        harness.board.on_ends_recorded(harness.now, *target, numbers, records);
        assert!(harness.starts().is_empty(), "it is done");
    }
}

/// Opens the board of a new leader with one target and a stored job of `count` tasks, which the earlier leader has
/// started.
fn take_over(count: u32) -> (Harness, Order) {
    let mut harness = Harness::open(&[]);
    let need = Resources { cpu: 1000, ..Resources::default() };
    let step = Step { count, need, estimate: 100, ..Step::default() };
    let spec = Arc::new(JobSpec { steps: vec![step], ..JobSpec::default() });
    let targets = [("w1".to_owned(), report("w1"))].into_iter().collect();
    let queues = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
    let mut ledger = Ledger { queue_set: Some(Arc::new(queues)), targets, ..Ledger::default() };
    let job = Command::StoreJob { id: JobId(9), spec, queue: "q".to_owned(), attempts: 2, accepted_ms: 0 };
    ledger.apply(&job);
    harness.board = Board::open(Settings::default(), 4, &ledger, harness.now);
    let renewal = harness.orders().remove(0);
    (harness, renewal)
}

/// Returns the end as done of a task of the job of [`take_over`], whose number is one above its index.
fn done(index: u32, run: RunNumber) -> EndedRun {
    let task = TaskId { job: JobId(9), index, ..TaskId::default() };
    EndedRun { number: u64::from(index) + 1, task, run, run_end: RunEnd::Done, checkpoint: String::new() }
}

/// Records the ends that the board has listed, and returns the orders that follow.
fn record_ends(harness: &mut Harness) -> Vec<Order> {
    let outputs = harness.board.drain(harness.now);
    for output in &outputs {
        if let Output::RecordEnds { target, numbers, records } = output {
            harness.board.on_ends_recorded(harness.now, *target, numbers, records);
        }
    }
    let mut orders = harness.orders();
    orders.extend(outputs.into_iter().filter_map(|output| match output {
        Output::Order(order) => Some(order),
        _ => None,
    }));
    orders
}

/// Guards against tasks that run twice after a change of the leader: a target lists its ends a part at a time, and a new
/// leader took a task for not started whose end was not among the first.
#[test]
fn nothing_starts_before_a_truncated_list_of_ends_is_whole() {
    let (mut harness, mut renewal) = take_over(6);
    let run = RunNumber::new(3, 1);
    for first in [0, 2] {
        let ended = vec![done(first, run), done(first + 1, run)];
        harness.answer_listing(&renewal, Listing { ended, truncated: true, ..listing(600) });
        let orders = record_ends(&mut harness);
        assert!(!orders.iter().any(|order| matches!(order.kind, OrderKind::Start { .. })), "{orders:?}");
        let seen = u64::from(first) + 2;
        let next = |order: &Order| matches!(order.kind, OrderKind::Renew { seen: acked, .. } if acked == seen);
        renewal = orders.into_iter().find(next).expect("the rest is asked for once these are recorded");
    }
    harness.answer_listing(&renewal, Listing { ended: vec![done(4, run)], ..listing(610) });
    let starts: Vec<_> = harness.starts().iter().map(|order| run_of(order).0.index).collect();
    assert_eq!(starts, [5], "the only task that has not ended");
}

/// Guards against tasks that run twice under one leader: a run that is not listed as active counted as lost though its
/// end was not listed yet.
#[test]
fn a_run_is_not_lost_while_its_end_may_be_listed_later() {
    let (mut harness, renewal) = take_over(3);
    harness.answer_listing(&renewal, listing(600));
    let (starts, renewals): (Vec<_>, Vec<_>) =
        harness.orders().into_iter().partition(|order| matches!(order.kind, OrderKind::Start { .. }));
    assert_eq!(starts.len(), 3);
    for start in &starts {
        harness.board.on_outcome(harness.now, start, harness.now, Outcome::Done { clock: 610 });
    }
    let ends: Vec<_> = starts.iter().map(run_of).map(|(task, run)| done(task.index, run)).collect();
    let end_of = |index: usize| {
        let end = ends.iter().find(|end| end.number == index as u64 + 1);
        end.expect("each task was started").clone()
    };
    harness.answer_listing(&renewals[0], listing(605));
    harness.advance(150);
    let mut renewal = harness.orders().remove(0);
    for index in 0..2 {
        harness.answer_listing(&renewal, Listing { ended: vec![end_of(index)], truncated: true, ..listing(760) });
        harness.advance(10);
        let orders = record_ends(&mut harness);
        assert!(!orders.iter().any(|order| matches!(order.kind, OrderKind::Start { .. })), "{orders:?}");
        let next = |order: &Order| matches!(order.kind, OrderKind::Renew { .. });
        renewal = orders.into_iter().find(next).expect("the rest is asked for once this is recorded");
    }
    harness.answer_listing(&renewal, Listing { ended: vec![end_of(2)], ..listing(790) });
    assert!(record_ends(&mut harness).iter().all(|order| matches!(order.kind, OrderKind::Renew { .. })));
}

/// Guards against jobs without an answer in an isolated zone: it acknowledges no end of the group's jobs, so a target
/// with many of them would never list the end of a run of the zone.
#[test]
fn an_isolated_zone_starts_nothing_where_it_would_not_see_the_end() {
    let mut harness = Harness::open(&[]);
    let targets = [("w1".to_owned(), report("w1"))].into_iter().collect();
    let queues = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
    let ledger = Ledger { queue_set: Some(Arc::new(queues)), targets, ..Ledger::default() };
    harness.board = Board::open_isolated(Settings::default(), 1025, &ledger, &Zone::from("a"), harness.now);
    let renewal = harness.orders().remove(0);
    let ended = vec![done(0, RunNumber::new(1024, 1)), done(1, RunNumber::new(1024, 2))];
    harness.answer_listing(&renewal, Listing { ended, truncated: true, ..listing(600) });
    harness.submit(1, 1, 6000, 5000);
    assert!(harness.starts().is_empty());
}

/// Guards against the loss of ends of the group's jobs: only the group may record them, so the board of an isolated
/// zone must leave them on the target.
#[test]
fn an_isolated_zone_records_no_end_of_an_unknown_job() {
    let mut harness = Harness::open(&[]);
    let targets = [("w1".to_owned(), report("w1"))].into_iter().collect();
    let queues = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
    let ledger = Ledger { queue_set: Some(Arc::new(queues)), targets, ..Ledger::default() };
    harness.board = Board::open_isolated(Settings::default(), 1025, &ledger, &Zone::from("a"), harness.now);
    let renewal = harness.orders().remove(0);
    let ended = |number, job, run_end| {
        let (task, run) = (TaskId { job: JobId(job), ..TaskId::default() }, RunNumber::new(1024, number));
        EndedRun { number, task, run, run_end, checkpoint: String::new() }
    };
    let ends = vec![ended(1, 7, RunEnd::Lapsed), ended(2, 8, RunEnd::Done), ended(3, 9, RunEnd::Lapsed)];
    harness.answer_listing(&renewal, Listing { ended: ends, ..listing(600) });
    harness.submit(1, 1, 6000, 5000);
    let orders = harness.orders();
    assert!(orders.iter().any(|order| matches!(order.kind, OrderKind::Start { .. })), "it serves: {orders:?}");
    harness.advance(60);
    let renewals: Vec<_> = orders.into_iter().chain(harness.orders()).map(|order| order.kind).collect();
    let seen = |kind: &OrderKind| matches!(kind, OrderKind::Renew { seen, .. } if *seen > 1);
    assert!(
        renewals.iter().any(|kind| matches!(kind, OrderKind::Renew { .. })) && !renewals.iter().any(seen),
        "{renewals:?}"
    );
}

/// Guards against targets that are suspected after a single lost answer: with one answer in twenty lost, half of the
/// targets were suspected at a time.
/// Guards against a second run of a task whose run was adopted from a target that reported after the takeover had begun.
#[test]
fn an_adopted_run_goes_on_until_its_lease_is_over() {
    let mut harness = Harness::open(&["w1"]);
    harness.board.on_report(harness.now, &report("w2"));
    harness.resubmit(1, 1, 16_000, 60_000);
    let task = TaskId { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    for order in harness.orders() {
        match order.kind {
            OrderKind::Start { .. } => harness.finish(&order, Outcome::Replaced { incarnation: None, received: false }),
            _ => {
                let run = RunNumber::new(2, 1);
                let running =
                    [task, TaskId { index: 7, ..task }].map(|task| ActiveRun { task, run, ..ActiveRun::default() });
                harness.answer_listing(&order, Listing { running: running.to_vec(), ..listing(500) });
            }
        }
    }
    harness.advance(10);
    harness.board.on_report(harness.now, &report("w3"));
    for order in harness.orders() {
        if order.id == "w3" {
            harness.answer_listing(&order, listing(500));
        }
    }
    harness.advance(10);
    assert!(harness.starts().is_empty(), "the adopted run goes on");
}

#[test]
fn one_missed_renewal_does_not_make_a_target_suspected() {
    let mut harness = Harness::open(&["w1"]);
    harness.submit(1, 1, 6000, 5000);
    let renewal =
        harness.orders().into_iter().find(|order| matches!(order.kind, OrderKind::Renew { .. })).expect("it is busy");
    harness.board.on_outcome(harness.now, &renewal, harness.now, Outcome::Unsure);
    harness.submit(2, 1, 6000, 5000);
    let orders = harness.orders();
    assert!(
        orders.iter().any(|order| matches!(order.kind, OrderKind::Start { .. })),
        "only the answer may be lost: {orders:?}"
    );
    let renewal =
        orders.iter().find(|order| matches!(order.kind, OrderKind::Renew { .. })).expect("it is renewed again at once");
    harness.board.on_outcome(harness.now, renewal, harness.now, Outcome::Unsure);
    harness.submit(3, 1, 3000, 5000);
    assert!(harness.starts().is_empty(), "two renewals without an answer");
}

/// Guards against a slow takeover: with 5 of 100 answers lost, a takeover took a second because the renewals of
/// unlisted targets were not repeated at once.
#[test]
fn an_unlisted_target_is_renewed_again_at_once() {
    let mut harness = Harness::open(&[]);
    let targets = [("w1".to_owned(), report("w1"))].into_iter().collect();
    harness.board = Board::open(Settings::default(), 4, &Ledger { targets, ..Ledger::default() }, harness.now);
    for _ in 0..3 {
        let renewal = harness.orders().remove(0);
        let sent_at = harness.now;
        harness.now += Duration::from_millis(150);
        harness.board.on_outcome(harness.now, &renewal, sent_at, Outcome::Unsure);
    }
    assert_eq!(harness.orders().len(), 1, "the renewal must be repeated 450 ms after the first one");
}

/// Guards against two runs of one task: a job was dropped and sent again while its run was still stopping (fuzz of the
/// group, seed 1135).
#[test]
fn a_job_sent_again_waits_for_its_stopping_run() {
    let mut harness = Harness::open(&["w1", "w2"]);
    harness.submit(1, 1, 6000, 50);
    let first = harness.orders();
    let (task, run) = run_of(first.iter().find(|order| matches!(order.kind, OrderKind::Start { .. })).unwrap());
    harness.advance(60);
    let orders = harness.orders();
    assert!(orders.iter().any(|order| matches!(order.kind, OrderKind::Stop { .. })), "{orders:?}");
    harness.submit(1, 1, 6000, 5000);
    assert!(harness.starts().is_empty(), "the first run may still be active");
    let renewal = first.iter().find(|order| matches!(order.kind, OrderKind::Renew { .. })).cloned();
    let ended = EndedRun { number: 1, task, run, run_end: RunEnd::Stopped, checkpoint: String::new() };
    let renewal = renewal.expect("a busy target is renewed");
    harness.answer_listing(&renewal, Listing { ended: vec![ended], ..listing(600) });
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn an_unsure_start_holds_its_resources_until_it_is_stopped() {
    let mut harness = Harness::open(&["w1"]);
    harness.submit(1, 1, 16_000, 5000);
    let orders = harness.orders();
    let start =
        orders.iter().find(|order| matches!(order.kind, OrderKind::Start { .. })).expect("there is room").clone();
    harness.advance(20);
    harness.board.on_outcome(harness.now, &start, harness.now, Outcome::Unsure);
    let renewal =
        orders.iter().find(|order| matches!(order.kind, OrderKind::Renew { .. })).expect("it is renewed").clone();
    let sent_at = harness.now;
    harness.advance(5);
    harness.board.on_outcome(harness.now, &renewal, sent_at, Outcome::Listed(listing(530)));
    let orders = harness.orders();
    let stop =
        orders.iter().find(|order| matches!(order.kind, OrderKind::Stop { .. })).expect("the run is stopped").clone();
    assert_eq!(run_of(&stop), run_of(&start));
    harness.advance(5);
    harness.board.on_outcome(harness.now, &stop, harness.now, Outcome::Done { clock: 540 });
    harness.advance(5);
    let renewal =
        orders.into_iter().chain(harness.orders()).find(|order| matches!(order.kind, OrderKind::Renew { .. }));
    let sent_at = harness.now;
    harness.advance(5);
    harness.board.on_outcome(harness.now, &renewal.expect("renewed again"), sent_at, Outcome::Listed(listing(550)));
    assert_eq!(harness.starts().len(), 1, "the task starts again once its first run can't start any more");
}

/// Guards against a far too long stall timeout: an end that was listed seconds late raised the time ratio of the
/// target, so that a stalled run there was awaited for half a minute (fuzz of the group, seed 1281).
#[test]
fn a_stalled_run_is_stopped_despite_late_listings() {
    let mut harness = Harness::open(&["w1"]);
    harness.submit(1, 1, 6000, 60_000);
    let orders = harness.orders();
    let (task, run) = run_of(orders.iter().find(|order| matches!(order.kind, OrderKind::Start { .. })).unwrap());
    let start = orders.iter().find(|order| matches!(order.kind, OrderKind::Start { .. })).unwrap().clone();
    harness.board.on_outcome(harness.now, &start, harness.now, Outcome::Done { clock: 500 });
    let renewal = orders.iter().find(|order| matches!(order.kind, OrderKind::Renew { .. })).unwrap().clone();
    harness.board.on_outcome(harness.now, &renewal, harness.now, Outcome::Unsure);
    harness.now += Duration::from_millis(900);
    harness.board.on_tick(harness.now);
    let renewal = harness.orders().into_iter().find(|order| matches!(order.kind, OrderKind::Renew { .. })).unwrap();
    let ended = EndedRun { number: 1, task, run, run_end: RunEnd::Done, checkpoint: String::new() };
    harness.answer_listing(&renewal, Listing { ended: vec![ended], ..listing(1400) });
    harness.submit(2, 1, 6000, 60_000);
    let orders = harness.orders();
    let (task, run) = run_of(orders.iter().find(|order| matches!(order.kind, OrderKind::Start { .. })).unwrap());
    let mut renewal = orders.iter().find(|order| matches!(order.kind, OrderKind::Renew { .. })).cloned();
    let mut stopped = false;
    for step in 0..8 {
        let running = ActiveRun { task, run, ..ActiveRun::default() };
        if let Some(renewal) = renewal.take() {
            harness.answer_listing(&renewal, Listing { running: vec![running], ..listing(1400 + step * 200) });
        }
        harness.advance(200);
        let orders = harness.orders();
        stopped |= orders.iter().any(|order| matches!(order.kind, OrderKind::Stop { .. }));
        renewal = orders.into_iter().find(|order| matches!(order.kind, OrderKind::Renew { .. }));
    }
    assert!(stopped, "a run of 100 ms without progress for 1.6 seconds must be stopped");
}

#[test]
fn an_expired_job_is_refused_before_its_first_start() {
    let mut harness = Harness::open(&["w1"]);
    harness.submit(1, 1, 16_000, 60_000);
    assert_eq!(harness.starts().len(), 1);
    harness.submit(2, 1, 16_000, 60_000);
    let mut ends = Vec::new();
    for _ in 0..100 {
        harness.advance(10);
        ends.extend(harness.board.drain(harness.now).into_iter().filter_map(|output| match output {
            Output::Answer { reply_to, end } => Some((reply_to, end)),
            _ => None,
        }));
    }
    assert_eq!(ends, [(2, JobEnd::Refused(Refused { wait: Duration::from_secs(1) }))]);
}

/// Guards against a job on a target on which it is late, although a faster one has room soon.
#[test]
fn a_job_waits_for_a_target_on_which_it_is_in_time() {
    let mut harness = Harness::open(&["far"]);
    let near = TargetReport { labels: vec!["r1".to_owned()], ..report("near") };
    harness.board.on_report(harness.now, &near);
    for order in harness.orders() {
        harness.answer_listing(&order, listing(500));
    }
    // Away from its data, each task takes three times as long.
    let need = Resources { cpu: 6000, memory: 1, accelerators: 0 };
    let step = Step { count: 3, need, estimate: 100, rack: Some("r1".to_owned()), ..Step::default() };
    let spec = Arc::new(JobSpec { steps: vec![step], transient: true, ..JobSpec::default() });
    let submission = Submission { id: JobId(1), spec, deadline: None, reply_to: 1, first_attempt: true };
    harness.board.admit(harness.now, submission, &harness.queue);
    let targets: Vec<String> = harness.starts().into_iter().map(|order| order.id).collect();
    assert_eq!(targets, ["near", "near"], "room for the third task on the other target only");
    harness.advance(60);
    let targets: Vec<String> = harness.starts().into_iter().map(|order| order.id).collect();
    assert_eq!(targets, ["far"], "the job can't be in time any more, so any target will do");
}

/// Guards against jobs that are held until they are late: what goes first takes the room for longer than they can wait.
#[test]
fn jobs_without_room_in_time_are_refused_at_the_next_tick() {
    let mut harness = Harness::open(&["w1"]);
    (1..=12).for_each(|id| harness.submit(id, 1, 6000, 5000));
    assert_eq!(harness.starts().len(), 2, "two of 6 cores on 16");
    // Ten jobs wait. Each can wait for 45 ms, and each takes the room that is in use for another 50 ms.
    harness.advance(10);
    assert_eq!(harness.refused(), (4..=12).collect::<Vec<_>>(), "the first one has room in time");
}

/// Guards against a new leader that refuses most jobs at once, since the first targets that have listed their runs are
/// full, while the others are about to.
#[test]
fn a_takeover_refuses_no_jobs_for_lack_of_room() {
    let ids: Vec<String> = (1..=20).map(|id| format!("w{id}")).collect();
    for earlier_leader in [true, false] {
        let mut harness = Harness::open(&[]);
        if earlier_leader {
            let targets = ids.iter().map(|id| (id.clone(), report(id))).collect();
            let queues = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
            let ledger = Ledger { queue_set: Some(Arc::new(queues)), targets, ..Ledger::default() };
            harness.board = Board::open(Settings::default(), 4, &ledger, harness.now);
        } else {
            for id in &ids {
                harness.board.on_report(harness.now, &report(id));
            }
        }
        (1..=40).for_each(|id| harness.submit(id, 1, 6000, 5000));
        let renewals = harness.orders();
        harness.answer_listing(&renewals[0], listing(500));
        assert_eq!(harness.starts().len(), 2, "one target has room for two");
        harness.advance(10);
        assert_eq!(harness.refused(), [], "the others are about to have room");
        for renewal in &renewals[1..] {
            harness.answer_listing(renewal, listing(510));
        }
        assert_eq!(harness.starts().len(), 38);
    }
}

/// Guards against a new leader that refuses what it could start as soon as its targets have listed their runs.
#[test]
fn jobs_that_wait_for_lists_of_runs_are_not_refused_for_lack_of_room() {
    let mut harness = Harness::open(&[]);
    harness.board.on_report(harness.now, &report("w1"));
    (1..=12).for_each(|id| harness.submit(id, 1, 6000, 5000));
    harness.advance(10);
    assert_eq!(harness.refused(), []);
}

/// Guards against members of a gang that are started again one by one as they end, and so never run at the same time.
#[test]
fn members_of_a_gang_start_together_again() {
    let mut harness = Harness::open(&["w1", "w2"]);
    let need = Resources { cpu: 9000, memory: 1, accelerators: 0 };
    let step = Step { count: 2, need, estimate: 100, gang: true, ..Step::default() };
    let spec = Arc::new(JobSpec { steps: vec![step], transient: true, ..JobSpec::default() });
    harness.board.admit(
        harness.now,
        Submission { id: JobId(1), spec, deadline: None, reply_to: 1, first_attempt: true },
        &harness.queue,
    );
    let orders = harness.orders();
    let starts: Vec<_> = orders.iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).collect();
    let runs: Vec<_> = starts.iter().map(|order| run_of(order)).collect();
    assert!(runs.len() == 2 && runs[0].1 == runs[1].1, "one run for all members: {runs:?}");
    let renewal = |id: &str| {
        let is_it = |order: &&Order| matches!(order.kind, OrderKind::Renew { .. }) && order.id == id;
        orders.iter().find(is_it).expect("a busy target is renewed").clone()
    };
    let ended = |at: usize, run_end| EndedRun {
        number: 1,
        task: runs[at].0,
        run: runs[at].1,
        run_end,
        checkpoint: String::new(),
    };
    let (first, second) = (renewal(&starts[0].id), renewal(&starts[1].id));
    harness.answer_listing(&first, Listing { ended: vec![ended(0, RunEnd::Broken)], ..listing(600) });
    let next = harness.orders();
    let stops: Vec<_> = next.iter().filter(|order| matches!(order.kind, OrderKind::Stop { .. })).map(run_of).collect();
    assert_eq!(stops, [runs[1]], "the other member must be stopped before the first starts again");
    assert!(!next.iter().any(|order| matches!(order.kind, OrderKind::Start { .. })));
    harness.answer_listing(&second, Listing { ended: vec![ended(1, RunEnd::Stopped)], ..listing(600) });
    let again: Vec<_> = harness.starts().iter().map(run_of).collect();
    assert!(again.len() == 2 && again[0].1 == again[1].1 && again[0].1 > runs[0].1, "{again:?}");
}

#[test]
fn a_later_token_ends_the_orders_of_this_one() {
    let mut harness = Harness::open(&["w1"]);
    harness.submit(1, 1, 6000, 5000);
    let start = harness.starts().remove(0);
    let denied = Outcome::Denied { why: mangogw_jobs::Denial::Fenced, clock: Some(510) };
    harness.board.on_outcome(harness.now, &start, harness.now, denied);
    harness.submit(2, 1, 6000, 5000);
    harness.advance(500);
    assert!(harness.board.is_fenced() && harness.orders().is_empty());
}

/// Guards against work that is given up or started again because a target was only silent for a while: nothing moves
/// before the lease is surely over, and a target that answers in time keeps its run.
#[test]
fn a_silent_target_keeps_its_runs_until_the_lease_is_surely_over() {
    for silence in [500, 900, 2000] {
        let mut harness = Harness::open(&["w1", "w2"]);
        harness.submit(1, 1, 6000, 60_000);
        let orders = harness.orders();
        let start = orders.iter().find(|order| matches!(order.kind, OrderKind::Start { .. })).unwrap().clone();
        harness.board.on_outcome(harness.now, &start, harness.now, Outcome::Done { clock: 500 });
        let (task, run) = run_of(&start);
        let is_renewal = |order: &&Order| matches!(order.kind, OrderKind::Renew { .. }) && order.id == start.id;
        let mut renewal = orders.iter().find(is_renewal).cloned();
        let (mut starts, mut stops) = (Vec::new(), 0);
        for _ in 0..silence / 10 {
            harness.advance(10);
            if let Some(unanswered) = renewal.take() {
                harness.board.on_outcome(harness.now, &unanswered, harness.now, Outcome::Unsure);
            }
            for order in harness.orders() {
                match order.kind {
                    OrderKind::Start { .. } => starts.push((harness.now, order.id)),
                    OrderKind::Stop { .. } => stops += 1,
                    OrderKind::Renew { .. } if order.id == start.id => renewal = Some(order),
                    OrderKind::Renew { .. } => harness.answer_listing(&order, listing(500)),
                }
            }
        }
        let over = Time::from_millis(1000) + Settings::default().lease;
        assert!(starts.iter().all(|(at, id)| *at >= over && *id != start.id), "{silence}: {starts:?}");
        assert_eq!((starts.len(), stops), (usize::from(silence > 1100), 0), "{silence}");
        if silence < 1000 {
            let running = vec![ActiveRun { task, run, percent: 40, ..ActiveRun::default() }];
            let renewal = renewal.unwrap_or_else(|| {
                harness.advance(100);
                harness.orders().into_iter().find(|order| order.id == start.id).expect("it is asked again")
            });
            harness.answer_listing(&renewal, Listing { running, ..listing(500 + silence) });
            harness.advance(10);
            assert!(harness.starts().is_empty(), "{silence}: the run goes on where it is");
        }
    }
}

/// Guards against work that is run again, or called not run, because the answer to its start was lost.
#[test]
fn a_run_whose_start_had_no_answer_counts_once() {
    let mut harness = Harness::open(&["w1", "w2"]);
    harness.submit(1, 1, 6000, 60_000);
    let orders = harness.orders();
    let order_of = |is_it: fn(&OrderKind) -> bool| orders.iter().find(|order| is_it(&order.kind)).unwrap().clone();
    let start = order_of(|kind| matches!(kind, OrderKind::Start { .. }));
    let (task, run) = run_of(&start);
    let renewal = orders.iter().find(|order| order.id == start.id && order.kind != start.kind).unwrap().clone();
    harness.advance(100);
    harness.board.on_outcome(harness.now, &start, harness.now, Outcome::Unsure);
    assert!(harness.starts().is_empty());
    let ended = vec![EndedRun { number: 1, task, run, run_end: RunEnd::Done, checkpoint: String::new() }];
    harness.answer_listing(&renewal, Listing { ended, ..listing(600) });
    let outputs = harness.board.drain(harness.now);
    let answers: Vec<_> = outputs.iter().filter(|output| matches!(output, Output::Answer { .. })).collect();
    assert_eq!(answers, [&Output::Answer { reply_to: 1, end: JobEnd::Completed }]);
    assert!(!outputs.iter().any(|output| matches!(output, Output::Order(Order { kind: OrderKind::Start { .. }, .. }))));
    harness.submit(1, 1, 6000, 60_000);
    let again = harness.board.drain(harness.now);
    assert_eq!(again, [Output::Answer { reply_to: 1, end: JobEnd::Completed }], "sent again, it gets the same answer");
}

/// Guards against a target that has left and is in use again, because one of its reports was delayed on its way.
#[test]
fn a_target_that_has_left_gets_nothing_after_a_delayed_report() {
    let mut harness = Harness::open(&["w1"]);
    harness.board.on_target_left(harness.now, "w1", 1);
    harness.board.on_report(harness.now, &report("w1"));
    harness.submit(1, 1, 6000, 5000);
    for _ in 0..300 {
        harness.advance(10);
        for order in harness.orders() {
            assert!(matches!(order.kind, OrderKind::Renew { .. }), "{order:?}");
            let denied = Outcome::Denied { why: mangogw_jobs::Denial::Unreached, clock: None };
            harness.board.on_outcome(harness.now, &order, harness.now, denied);
        }
    }
}

/// Guards against a task that runs twice because the target of its run has deregistered, got no acknowledgement, and
/// works on: the task starts elsewhere only when its run has ended or the lease is over.
#[test]
fn a_run_on_a_target_that_has_left_holds_its_task() {
    let mut harness = Harness::open(&["w1"]);
    harness.submit(1, 1, 6000, 60_000);
    let (starts, renewals): (Vec<_>, Vec<_>) =
        harness.orders().into_iter().partition(|order| matches!(order.kind, OrderKind::Start { .. }));
    let (task, run) = run_of(&starts[0]);
    harness.board.on_outcome(harness.now, &starts[0], harness.now, Outcome::Done { clock: 510 });
    let running = vec![ActiveRun { task, run, ..ActiveRun::default() }];
    harness.answer_listing(&renewals[0], Listing { running, ..listing(510) });
    harness.board.on_report(harness.now, &report("w2"));
    harness.board.on_target_left(harness.now, "w1", 1);
    let mut answers = true;
    let mut silent_since = None;
    for step in 0..400 {
        harness.advance(10);
        for order in harness.orders() {
            match (order.id.as_str(), &order.kind) {
                ("w2", OrderKind::Start { .. }) => {
                    let since: Time = silent_since.expect("the task starts elsewhere while w1 says that it runs");
                    assert!(harness.now - since >= Duration::from_millis(900), "after {:?}", harness.now - since);
                    return;
                }
                ("w1", OrderKind::Renew { .. }) if answers => {
                    let running = vec![ActiveRun { task, run, percent: step / 2, ..ActiveRun::default() }];
                    harness.answer_listing(&order, Listing { running, ..listing(510 + u64::from(step) * 10) });
                }
                ("w1", OrderKind::Renew { .. }) => {
                    harness.board.on_outcome(harness.now, &order, harness.now, Outcome::Unsure);
                }
                (_, OrderKind::Renew { .. }) => harness.answer_listing(&order, listing(500 + u64::from(step) * 10)),
                (_, kind) => panic!("{} gets {kind:?}", order.id),
            }
        }
        if step == 200 {
            answers = false;
            silent_since = Some(harness.now);
        }
    }
    panic!("the task is never started again");
}

/// Guards against runs that start elsewhere because a deregistration was delayed until the target was there again.
#[test]
fn a_late_deregistration_does_not_concern_a_later_incarnation() {
    let mut harness = Harness::open(&["w1"]);
    let again = TargetReport { incarnation: 2, ..report("w1") };
    harness.board.on_report(harness.now, &again);
    let renewals = harness.orders();
    harness.answer_listing(&renewals[0], Listing { incarnation: Some(2), ..listing(10) });
    harness.board.on_target_left(harness.now, "w1", 1);
    harness.submit(1, 1, 6000, 5000);
    assert_eq!(harness.starts().len(), 1, "the later incarnation is in use");
}

/// Guards against targets that have left and are never forgotten, and against late reports that find them forgotten.
#[test]
fn a_target_that_has_left_is_forgotten_after_a_minute() {
    let mut harness = Harness::open(&["w1"]);
    harness.board.on_target_left(harness.now, "w1", 1);
    for _ in 0..59 {
        harness.advance(1000);
        let draining = TargetReport { sequence: 9, state: TargetState::Draining, ..report("w1") };
        harness.board.on_report(harness.now, &draining);
    }
    assert_eq!(harness.board.target_count(), 1);
    harness.advance(2000);
    assert_eq!(harness.board.target_count(), 0);
    let outputs = harness.board.drain(harness.now);
    let removal = Output::Propose(Command::RemoveTarget { id: "w1".to_owned(), incarnation: 1 });
    assert!(outputs.contains(&removal), "{outputs:?}");
}

/// Guards against stored jobs that stand still after a change of the leader: an end that is recorded for one member of a
/// gang stands for all, for the next leader as for the one that recorded it.
#[test]
fn a_gang_that_has_ended_is_done_for_the_next_leader_too() {
    let mut harness = Harness::open(&[]);
    let id = JobId(9);
    let need = Resources { cpu: 1000, ..Resources::default() };
    let gang = Step { count: 3, need, estimate: 100, gang: true, ..Step::default() };
    let last = Step { count: 1, need, estimate: 100, depends_on: vec![0], ..Step::default() };
    let spec = Arc::new(JobSpec { steps: vec![gang, last], ..JobSpec::default() });
    let targets = [("w1".to_owned(), report("w1"))].into_iter().collect();
    let queues = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
    let mut ledger = Ledger { queue_set: Some(Arc::new(queues)), targets, ..Ledger::default() };
    ledger.apply(&Command::StoreJob { id, spec, queue: "q".to_owned(), attempts: 1, accepted_ms: 0 });
    let member = |index| TaskId { job: id, index, ..TaskId::default() };
    let record = |index, done| {
        let (task, run) = (member(index), RunNumber::new(3, 1));
        Command::RecordEnds(vec![EndRecord { task, run, done, recorded_ms: 1 }])
    };
    ledger.apply(&record(1, true));
    ledger.apply(&record(2, false));
    assert!(ledger.jobs[&id].is_done(member(0)));
    assert_eq!(ledger.jobs[&id].ended, None, "a failure of a member after the end of its gang");
    harness.board = Board::open(Settings::default(), 4, &ledger, harness.now);
    let renewal = harness.orders().remove(0);
    harness.answer_listing(&renewal, listing(600));
    let starts: Vec<_> = harness.starts().iter().map(|order| run_of(order).0).collect();
    assert_eq!(starts, [TaskId { step: 1, ..member(0) }]);
}

/// Guards against a stored job that stands still for good because its queue was not in force at a change of the leader.
#[test]
fn a_job_goes_on_when_its_queue_is_in_force_again() {
    let mut harness = Harness::open(&[]);
    let targets = [("w1".to_owned(), report("w1"))].into_iter().collect();
    let mut ledger = Ledger { queue_set: Some(Arc::default()), targets, ..Ledger::default() };
    let need = Resources { cpu: 1000, ..Resources::default() };
    let spec = JobSpec { steps: vec![Step { count: 1, need, estimate: 100, ..Step::default() }], ..JobSpec::default() };
    let (id, queue) = (JobId(9), "q".to_owned());
    ledger.apply(&Command::StoreJob { id, spec: Arc::new(spec), queue, attempts: 2, accepted_ms: 0 });
    harness.board = Board::open(Settings::default(), 5, &ledger, harness.now);
    let renewal = harness.orders().remove(0);
    harness.answer_listing(&renewal, listing(600));
    assert!(harness.starts().is_empty(), "no queue sends it anywhere");
    let set = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
    harness.board.install(&Arc::new(set));
    assert_eq!(harness.board.pending_jobs("q"), 1);
    assert_eq!(harness.starts().len(), 1);
}

impl Harness {
    /// Opens a board with targets `w1` and `w2`, starts a job of one task, and returns its start.
    fn start_one() -> (Self, Order) {
        let mut harness = Self::open(&["w1", "w2"]);
        harness.submit(1, 1, 16_000, 60_000);
        let orders = harness.orders();
        let start = orders.into_iter().find(|order| matches!(order.kind, OrderKind::Start { .. })).unwrap();
        (harness, start)
    }

    /// Opens a board that takes targets `w1` and `w2` over from an earlier leader.
    fn take_over_two() -> Self {
        let Self { queue, now, .. } = Self::open(&[]);
        let set = QueueSet { queues: vec![queue.clone()], ..QueueSet::default() };
        let targets = ["w1", "w2"].into_iter().map(|id| (id.to_owned(), report(id))).collect();
        let ledger = Ledger { queue_set: Some(Arc::new(set)), targets, ..Ledger::default() };
        Self { board: Board::open(Settings::default(), 4, &ledger, now), queue, now }
    }

    fn finish(&mut self, order: &Order, outcome: Outcome) {
        self.board.on_outcome(self.now, order, self.now, outcome);
    }

    /// Returns the open renewal of a target among `orders`.
    fn renewal_of(orders: &[Order], id: &str, incarnation: u64) -> Option<Order> {
        let is_it = |order: &&Order| {
            matches!(order.kind, OrderKind::Renew { .. }) && (order.id.as_str(), order.incarnation) == (id, incarnation)
        };
        orders.iter().find(is_it).cloned()
    }
}

fn later(id: &str) -> TargetReport {
    TargetReport { incarnation: 2, ..report(id) }
}

fn later_listing(clock: u64) -> Listing {
    Listing { incarnation: Some(2), ..listing(clock) }
}

fn is_start(order: &Order) -> bool {
    matches!(order.kind, OrderKind::Start { .. })
}

/// Guards against a second run of a task whose start was meant for an earlier incarnation of a target and carried out by
/// the later one.
#[test]
fn a_run_on_a_later_incarnation_goes_on() {
    let (mut harness, start) = Harness::start_one();
    let (task, run) = run_of(&start);
    harness.finish(&start, Outcome::Replaced { incarnation: Some(2), received: true });
    let orders = harness.orders();
    assert!(!orders.iter().any(is_start), "the run may go on at the later incarnation");
    let renewal =
        Harness::renewal_of(&orders, &start.id, 2).expect("the later incarnation is asked for its runs at once");
    let running = ActiveRun { task, run, ..ActiveRun::default() };
    harness.answer_listing(&renewal, Listing { running: vec![running], ..later_listing(10) });
    harness.advance(10);
    let orders = harness.orders();
    assert!(orders.iter().all(|order| matches!(order.kind, OrderKind::Renew { .. })), "{orders:?}");
    let renewal = Harness::renewal_of(&orders, &start.id, 2).expect("a busy target is renewed");
    let ended = EndedRun { number: 1, task, run, run_end: RunEnd::Done, checkpoint: String::new() };
    harness.answer_listing(&renewal, Listing { ended: vec![ended], ..later_listing(110) });
    let answer = Output::Answer { reply_to: 1, end: JobEnd::Completed };
    assert!(harness.board.drain(harness.now).contains(&answer));
}

/// Guards against a second run of a task whose start had no answer when a later incarnation of the target became known:
/// the start may still reach it.
#[test]
fn a_start_without_an_answer_is_barred_from_a_later_incarnation() {
    for reported in [true, false] {
        let (mut harness, start) = Harness::start_one();
        if reported {
            harness.board.on_report(harness.now, &later(&start.id));
        } else {
            let renewal =
                Order { kind: OrderKind::Renew { until: None, seen: 0, wait: Duration::ZERO }, ..start.clone() };
            harness.finish(&renewal, Outcome::Replaced { incarnation: Some(2), received: true });
        }
        let orders = harness.orders();
        assert!(!orders.iter().any(is_start), "the start may still arrive");
        let renewal = Harness::renewal_of(&orders, &start.id, 2).unwrap();
        harness.now += Duration::from_millis(5);
        harness.answer_listing(&renewal, later_listing(10));
        let orders = harness.orders();
        let is_stop = |order: &&Order| matches!(order.kind, OrderKind::Stop { .. });
        let stop = orders.iter().find(is_stop).expect("a stop keeps the run from starting").clone();
        assert_eq!((stop.id.as_str(), stop.incarnation, run_of(&stop)), (start.id.as_str(), 2, run_of(&start)));
        assert!(!orders.iter().any(is_start));
        // The outcome of the start comes late, and changes nothing.
        harness.finish(&start, Outcome::Unsure);
        harness.finish(&stop, Outcome::Done { clock: 12 });
        let (renewal, sent_at) = (Harness::renewal_of(&orders, &start.id, 2).unwrap(), harness.now);
        harness.now += Duration::from_millis(5);
        harness.board.on_outcome(harness.now, &renewal, sent_at, Outcome::Listed(later_listing(15)));
        let orders = harness.orders();
        assert!(!orders.iter().any(is_start), "a list that was asked for before the stop proves nothing");
        let renewal = Harness::renewal_of(&orders, &start.id, 2).unwrap();
        harness.now += Duration::from_millis(5);
        harness.answer_listing(&renewal, later_listing(20));
        assert_eq!(harness.starts().len(), 1, "the run can't start there any more");
    }
}

/// Guards against a second run, and against a task that waits for ever, when the later incarnation is cut off before it
/// has listed its runs.
#[test]
fn a_task_waits_for_the_lease_of_a_later_incarnation_that_is_silent() {
    let (mut harness, start) = Harness::start_one();
    harness.finish(&start, Outcome::Replaced { incarnation: Some(2), received: true });
    let mut waited = Duration::ZERO;
    loop {
        let orders = harness.orders();
        if orders.iter().any(is_start) {
            break;
        }
        for order in orders {
            let unanswered = order.id == start.id;
            harness.finish(&order, if unanswered { Outcome::Unsure } else { Outcome::Listed(listing(500)) });
        }
        harness.advance(10);
        waited += Duration::from_millis(10);
        assert!(waited < Duration::from_secs(3), "the task must run again once the lease is over");
    }
    assert!(waited >= Settings::default().lease, "{waited:?}: the run may go on for a whole lease");
}

/// Guards against work that waits for nothing: an order that was never sent starts no run.
#[test]
fn a_start_that_was_not_sent_holds_no_task() {
    let (mut harness, start) = Harness::start_one();
    harness.finish(&start, Outcome::Replaced { incarnation: Some(2), received: false });
    let starts = harness.starts();
    assert_eq!((starts.len(), starts[0].id == start.id), (1, false));
}

/// Guards against work that waits for nothing: what surely ran on an earlier incarnation ended with it.
#[test]
fn a_run_of_an_earlier_incarnation_starts_again_at_once() {
    let (mut harness, start) = Harness::start_one();
    harness.finish(&start, Outcome::Done { clock: 500 });
    harness.board.on_report(harness.now, &later(&start.id));
    let starts = harness.starts();
    assert_eq!((starts.len(), starts[0].id == start.id), (1, false));
}

/// Guards against a next leader that takes an answer of a later incarnation for a list of what runs there.
#[test]
fn a_takeover_waits_for_the_list_of_a_later_incarnation() {
    let mut harness = Harness::take_over_two();
    harness.resubmit(1, 1, 6000, 60_000);
    let orders = harness.orders();
    let (one, two) = (Harness::renewal_of(&orders, "w1", 1).unwrap(), Harness::renewal_of(&orders, "w2", 1).unwrap());
    harness.answer_listing(&two, listing(500));
    harness.finish(&one, Outcome::Replaced { incarnation: Some(2), received: true });
    let orders = harness.orders();
    assert!(!orders.iter().any(is_start), "the earlier leader may have started the job on the later incarnation");
    let renewal = Harness::renewal_of(&orders, "w1", 2).unwrap();
    let task = TaskId { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    let running = ActiveRun { task, run: RunNumber::new(3, 1), ..ActiveRun::default() };
    harness.answer_listing(&renewal, Listing { running: vec![running], ..later_listing(10) });
    assert!(harness.starts().is_empty() && !harness.board.is_taking_over(), "the run is adopted");
}

fn run_until_start(
    harness: &mut Harness,
    id: &str,
    limit: Duration,
    mut each: impl FnMut(&mut Harness, Duration),
) -> Duration {
    let mut waited = Duration::ZERO;
    loop {
        let orders = harness.orders();
        if orders.iter().any(is_start) {
            return waited;
        }
        for order in orders {
            let silent = order.id == id;
            harness.finish(&order, if silent { Outcome::Unsure } else { Outcome::Listed(listing(500)) });
        }
        harness.advance(10);
        waited += Duration::from_millis(10);
        each(harness, waited);
        if waited > limit {
            return waited;
        }
    }
}

/// Guards against a second run while a start that arrived after the report of a later incarnation, which is then cut off,
/// holds its lease.
#[test]
fn a_start_on_the_way_is_waited_for_from_its_arrival() {
    let (mut harness, start) = Harness::start_one();
    harness.board.on_report(harness.now, &later(&start.id));
    let arrival = Duration::from_millis(100);
    let waited = run_until_start(&mut harness, &start.id, Duration::from_secs(4), |_, _| {});
    let settings = Settings::default();
    let over = arrival + settings.lease + settings.lease / 50;
    assert!(waited >= over, "started elsewhere after {waited:?}; the first run goes on until {over:?}");
}

/// Guards against a second run of a task whose start had no answer, arrived late at a later incarnation of its target and
/// goes on there, while that one is silent and the lease on the clock of the earlier one is over.
#[test]
fn a_start_without_an_answer_holds_its_task_for_its_lease_on_an_unknown_incarnation() {
    let (mut harness, start) = Harness::start_one();
    harness.finish(&start, Outcome::Unsure);
    let arrival = Duration::from_millis(300);
    let waited = run_until_start(&mut harness, &start.id, Duration::from_secs(4), |_, _| {});
    let settings = Settings::default();
    let over = arrival + settings.lease + settings.lease / 50;
    assert!(waited >= over, "started elsewhere after {waited:?}; the first run goes on until {over:?}");
    assert!(waited < Duration::from_secs(2), "{waited:?}: no lease goes on for so long");
}

/// Guards against work that waits for nothing: a run that its target has confirmed ends with its lease there.
#[test]
fn a_confirmed_run_holds_its_task_for_its_lease_only() {
    let (mut harness, start) = Harness::start_one();
    harness.finish(&start, Outcome::Done { clock: 500 });
    let waited = run_until_start(&mut harness, &start.id, Duration::from_secs(4), |_, _| {});
    let settings = Settings::default();
    assert!(waited >= settings.lease && waited <= settings.lease_expiry() + settings.lease / 10, "{waited:?}");
}

/// Guards against a task that waits for a later incarnation on which its run can't be.
#[test]
fn a_stopped_run_that_was_confirmed_holds_no_task() {
    let (mut harness, start) = Harness::start_one();
    harness.finish(&start, Outcome::Done { clock: 500 });
    harness.orders();
    let mut stop = None;
    for _ in 0..300 {
        harness.advance(10);
        for order in harness.orders() {
            match order.kind {
                OrderKind::Stop { .. } => stop = Some(order),
                OrderKind::Renew { .. } if order.id == start.id => {
                    let (task, run) = run_of(&start);
                    let running = ActiveRun { task, run, ..ActiveRun::default() };
                    harness.answer_listing(
                        &order,
                        Listing { running: vec![running], ..listing(500 + (harness.now.as_micros() / 1000 - 1000)) },
                    );
                }
                _ => harness.finish(&order, Outcome::Listed(listing(500))),
            }
        }
        if stop.is_some() {
            break;
        }
    }
    let stop = stop.expect("stalled");
    harness.finish(&stop, Outcome::Done { clock: 2000 });
    harness.board.on_report(harness.now, &later(&start.id));
    let waited = run_until_start(&mut harness, &start.id, Duration::from_secs(4), |_, _| {});
    assert_eq!(waited, Duration::ZERO);
}

/// Guards against a task that waits for as long as its target starts again every second, silent to orders.
#[test]
fn a_target_that_restarts_again_and_again_does_not_hold_a_task() {
    let (mut harness, start) = Harness::start_one();
    harness.finish(&start, Outcome::Replaced { incarnation: Some(2), received: true });
    let id = start.id.clone();
    let mut next = 3;
    let waited = run_until_start(&mut harness, &id.clone(), Duration::from_secs(10), |harness, waited| {
        if waited.as_millis() % 1000 == 0 && waited < Duration::from_secs(8) {
            harness.board.on_report(harness.now, &TargetReport { incarnation: next, ..report(&id) });
            next += 1;
        }
    });
    assert!(waited < Duration::from_secs(3), "{waited:?}");
}

/// Guards against a takeover that lasts as long as one target starts again every second, silent to orders.
#[test]
fn a_takeover_ends_beside_a_target_that_restarts_again_and_again() {
    let mut harness = Harness::take_over_two();
    harness.queue.slack = 60_000;
    harness.resubmit(1, 1, 6000, 60_000);
    let mut next = 2;
    let waited = run_until_start(&mut harness, "w1", Duration::from_secs(10), |harness, waited| {
        if waited.as_millis() % 1000 == 0 && waited < Duration::from_secs(8) {
            harness.board.on_report(harness.now, &TargetReport { incarnation: next, ..report("w1") });
            next += 1;
        }
    });
    assert!(waited < Duration::from_secs(3), "{waited:?}");
}

/// Guards against a target that stays unused after the first report of a later incarnation that has answered before.
#[test]
fn a_first_report_with_the_number_0_makes_the_target_usable() {
    let (mut harness, start) = Harness::start_one();
    harness.finish(&start, Outcome::Replaced { incarnation: Some(2), received: false });
    for order in harness.orders() {
        if order.id == start.id && !is_start(&order) {
            harness.answer_listing(&order, later_listing(10));
        }
    }
    harness.board.on_report(harness.now, &TargetReport { sequence: 0, ..later(&start.id) });
    harness.advance(500);
    for order in harness.orders() {
        if order.id == start.id && !is_start(&order) {
            harness.answer_listing(&order, later_listing(510));
        }
    }
    harness.submit(2, 1, 16_000, 60_000);
    assert_eq!(harness.starts().len(), 1);
}

/// Guards against a gang that waits for a later incarnation on which none of its runs can be.
#[test]
fn a_gang_of_which_one_start_was_not_sent_starts_again_at_once() {
    let mut harness = Harness::open(&["w1", "w2"]);
    let step = Step {
        count: 2,
        gang: true,
        need: Resources { cpu: 1000, memory: 1, accelerators: 0 },
        estimate: 100,
        ..Step::default()
    };
    let spec = Arc::new(JobSpec { steps: vec![step], transient: true, ..JobSpec::default() });
    let deadline = Some(harness.now + Duration::from_mins(1));
    let submission = Submission { id: JobId(1), spec, deadline, reply_to: 1, first_attempt: true };
    let queue = harness.queue.clone();
    harness.board.admit(harness.now, submission, &queue);
    let starts = harness.starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[0].id, starts[1].id);
    harness.finish(&starts[0], Outcome::Done { clock: 500 });
    harness.finish(&starts[1], Outcome::Replaced { incarnation: Some(2), received: false });
    let waited = run_until_start(&mut harness, &starts[0].id, Duration::from_secs(4), |_, _| {});
    assert_eq!(waited, Duration::ZERO);
}

/// Returns the milliseconds until the next start, after two starts had `outcome` at a target that then lists at once.
fn wait_after_two(outcome: &Outcome) -> u64 {
    let mut harness = Harness::open(&["w1"]);
    harness.queue.slack = 60_000;
    harness.submit(1, 2, 1000, 60_000);
    for order in harness.orders() {
        if is_start(&order) {
            harness.finish(&order, outcome.clone());
        } else {
            harness.answer_listing(&order, listing(500));
        }
    }
    let mut waited = 0;
    while waited < 9000 {
        let orders = harness.orders();
        if orders.iter().any(is_start) {
            break;
        }
        for order in orders {
            let clock = 500 + harness.now.as_micros() / 1000 - 1000;
            match order.kind {
                OrderKind::Renew { .. } => {
                    harness.board.on_outcome(harness.now, &order, harness.now, Outcome::Listed(listing(clock)));
                }
                _ => harness.finish(&order, Outcome::Done { clock }),
            }
        }
        harness.advance(10);
        waited += 10;
    }
    waited
}

/// Guards against targets that get no runs for seconds because they were slow to identify themselves.
#[test]
fn two_starts_not_written_in_time_do_not_eject_a_target() {
    let unidentified = wait_after_two(&Outcome::Denied { why: mangogw_jobs::Denial::Unidentified, clock: None });
    let unsure = wait_after_two(&Outcome::Unsure);
    assert!(unidentified <= unsure, "{unidentified} ms, {unsure} ms when the outcome is unknown");
}

/// Guards against work that waits for nothing: the first of several starts that were not sent replaces their target.
#[test]
fn starts_that_were_not_sent_hold_no_tasks() {
    let mut harness = Harness::open(&["w1", "w2"]);
    harness.submit(1, 3, 4000, 60_000);
    let starts = harness.starts();
    assert!(starts.len() == 3 && starts.iter().all(|start| start.id == starts[0].id));
    for start in &starts {
        harness.finish(start, Outcome::Replaced { incarnation: Some(2), received: false });
    }
    let again = harness.starts();
    assert_eq!(again.len(), 3, "tasks start elsewhere at once");
}

/// Guards against a task that waits for as long as a target is silent on which a run of it was found and stopped.
#[test]
fn a_stopped_orphan_run_holds_its_task_no_longer_than_its_lease() {
    let mut harness = Harness::open(&["w1", "w2"]);
    harness.queue.slack = 60_000;
    let task = TaskId { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    let running = ActiveRun { task, run: RunNumber::new(2, 1), ..ActiveRun::default() };
    harness.board.reclaim_zone(harness.now, &Zone::from("a"));
    for order in harness.orders() {
        let running = if order.id == "w1" { vec![running.clone()] } else { Vec::new() };
        harness.answer_listing(&order, Listing { running, ..listing(500) });
    }
    for _ in 0..70 {
        harness.advance(10);
        for order in harness.orders() {
            let listed = |running| Outcome::Listed(Listing { running, ..listing(500) });
            match order.kind {
                OrderKind::Renew { .. } if order.id == "w1" => harness.finish(&order, listed(vec![running.clone()])),
                OrderKind::Renew { .. } => harness.finish(&order, listed(Vec::new())),
                _ => harness.finish(&order, Outcome::Unsure),
            }
        }
    }
    harness.resubmit(1, 1, 16_000, 60_000);
    let waited = run_until_start(&mut harness, "w1", Duration::from_secs(5), |_, _| {});
    assert!(waited < Duration::from_secs(3), "{waited:?}");
}

/// Submits a job whose starts all have the given outcome, and returns whether it is refused before its client leaves.
fn is_refused_after(outcome: &Outcome) -> bool {
    let mut harness = Harness::open(&["w1"]);
    harness.submit(1, 2, 6000, 600);
    for _ in 0..59 {
        for output in harness.board.drain(harness.now) {
            match output {
                Output::Answer { reply_to: 1, end } => return matches!(end, JobEnd::Refused(_)),
                Output::Order(order) if is_start(&order) => harness.finish(&order, outcome.clone()),
                Output::Order(order) => harness.finish(&order, Outcome::Listed(listing(500))),
                _ => {}
            }
        }
        harness.advance(10);
    }
    false
}

/// Guards against a client that is told that its job may have run, though its targets took none of the starts.
#[test]
fn a_job_of_which_no_start_was_taken_is_refused() {
    use mangogw_jobs::Denial;
    for why in [Denial::Unidentified, Denial::Unreached, Denial::Room, Denial::Late, Denial::Unwell] {
        assert!(is_refused_after(&Outcome::Denied { why, clock: None }), "{why:?}");
    }
    assert!(!is_refused_after(&Outcome::Unsure), "a start without an answer may have been carried out");
    assert!(!is_refused_after(&Outcome::Denied { why: Denial::Old, clock: None }), "the target knows the run");
}

/// Guards against a refusal of a job that runs: a start for an earlier submission of it was refused late.
#[test]
fn a_late_refusal_of_an_earlier_submission_leaves_the_job_started() {
    let refusal = Outcome::Denied { why: mangogw_jobs::Denial::Unidentified, clock: None };
    let mut harness = Harness::open(&["w1"]);
    harness.submit(1, 2, 6000, 600);
    let starts = harness.starts();
    harness.finish(&starts[0], Outcome::Done { clock: 500 });
    harness.board.on_disconnected(harness.now, 1);
    let stopped = run_of(&starts[0]);
    let ended =
        EndedRun { number: 1, task: stopped.0, run: stopped.1, run_end: RunEnd::Stopped, checkpoint: String::new() };
    let renewal = Order { kind: OrderKind::Renew { until: None, seen: 0, wait: Duration::ZERO }, ..starts[0].clone() };
    harness.finish(&renewal, Outcome::Listed(Listing { ended: vec![ended], ..listing(500) }));
    harness.submit(1, 2, 6000, 600);
    let again = harness.starts();
    assert_eq!(again.len(), 1, "the other task waits for its earlier start");
    harness.finish(&again[0], Outcome::Unsure);
    harness.finish(&starts[1], refusal.clone());
    for _ in 0..59 {
        for output in harness.board.drain(harness.now) {
            match output {
                Output::Answer { end, .. } => panic!("{end:?}, though a run of it may go on"),
                Output::Order(order) if is_start(&order) => harness.finish(&order, refusal.clone()),
                Output::Order(order) => harness.finish(&order, Outcome::Unsure),
                _ => {}
            }
        }
        harness.advance(10);
    }
}

/// Plays a board against one target that answers each call after `round_trip`, if its time limit allows that. Returns the
/// time until the first start is answered; `None` after two seconds.
fn wait_for_slow_target(round_trip: Duration) -> Option<Duration> {
    let mut harness = Harness::open(&[]);
    harness.queue.slack = 60_000;
    harness.board.on_report(harness.now, &report("w1"));
    harness.submit(1, 1, 6000, 60_000);
    let begun = harness.now;
    let mut open: Vec<(Time, Order, Time)> = Vec::new();
    while harness.now - begun < Duration::from_secs(2) {
        for order in harness.orders() {
            let took = round_trip.min(Duration::from_millis(order.time_limit));
            open.push((harness.now + took, order, harness.now));
        }
        harness.advance(10);
        let now = harness.now;
        let (due, rest) = open.into_iter().partition(|(at, ..)| *at <= now);
        open = rest;
        for (_, order, sent_at) in due {
            let clock = 500 + (now - begun).as_millis() as u64;
            let outcome = match order.kind {
                _ if round_trip > Duration::from_millis(order.time_limit) => Outcome::Unsure,
                OrderKind::Renew { .. } => Outcome::Listed(listing(clock)),
                OrderKind::Start { .. } => return Some(now - begun),
                OrderKind::Stop { .. } => Outcome::Done { clock },
            };
            harness.board.on_outcome(now, &order, sent_at, outcome);
        }
    }
    None
}

/// Guards against a target that gets no runs because it is slow to answer, and so counts as silent.
#[test]
fn a_target_that_is_slow_to_answer_gets_runs() {
    for millis in [5, 100, 200, 280] {
        let waited = wait_for_slow_target(Duration::from_millis(millis));
        assert!(waited.is_some(), "{millis} ms");
    }
    // Each renewal needs room in a lease beside one that is lost.
    assert_eq!(wait_for_slow_target(Duration::from_millis(500)), None);
}

/// Guards against a fast target that is slow to be suspected because it was slow once.
#[test]
fn the_time_limit_of_calls_follows_the_last_answer() {
    let mut harness = Harness::open(&["w1"]);
    let mut limits = Vec::new();
    for round_trip in [200, 5] {
        harness.submit(limits.len() as u64 + 1, 1, 1, 60_000);
        let start = harness.starts().remove(0);
        limits.push(start.time_limit);
        let sent_at = harness.now;
        harness.advance(round_trip);
        harness.board.on_outcome(harness.now, &start, sent_at, Outcome::Done { clock: 500 + round_trip });
    }
    harness.submit(3, 1, 1, 60_000);
    limits.push(harness.starts()[0].time_limit);
    assert_eq!(limits, [150, 300, 150]);
}

/// Plays the load of `review/6`: an idle target has restarted and not reported yet when a job comes that fills all targets.
/// The starts that were meant for the earlier incarnation are carried out by the later one if `received`. Returns the
/// longest time for which a run of a task was given out beside another one that went on.
fn overlap_after_restart(received: bool) -> Duration {
    const WORK: Duration = Duration::from_millis(900);
    let ids = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
    let mut harness = Harness::open(&ids);
    harness.queue.slack = 60_000;
    harness.submit(1, 15, 6800, 60_000);
    let begun = harness.now;
    // Runs that go on, with the target and the time of their start.
    let mut active: Vec<(TaskId, RunNumber, String, Time)> = Vec::new();
    let (mut ended, mut overlap) = (Vec::new(), Duration::ZERO);
    let mut restarted = None;
    while harness.now - begun < Duration::from_secs(5) {
        let now = harness.now;
        let clock = 500 + (now - begun).as_millis() as u64;
        for (task, run, id, _) in active.extract_if(.., |(.., at)| now - *at >= WORK) {
            let number = ended.len() as u64 + 1;
            ended.push((id, EndedRun { number, task, run, run_end: RunEnd::Done, checkpoint: String::new() }));
        }
        for output in harness.board.drain(now) {
            let order = match output {
                Output::Answer { end, .. } => {
                    assert_eq!(end, JobEnd::Completed);
                    return overlap;
                }
                Output::Order(order) => order,
                _ => continue,
            };
            if is_start(&order) {
                let (task, run) = run_of(&order);
                let earlier = order.incarnation == 1 && *restarted.get_or_insert_with(|| order.id.clone()) == order.id;
                if !earlier || received {
                    let others = active.iter().filter(|(other, ..)| *other == task);
                    overlap = others.map(|(.., at)| WORK.saturating_sub(now - *at)).fold(overlap, Duration::max);
                    active.push((task, run, order.id.clone(), now));
                }
                let replaced = Outcome::Replaced { incarnation: Some(2), received };
                harness.finish(&order, if earlier { replaced } else { Outcome::Done { clock } });
            } else if matches!(order.kind, OrderKind::Renew { .. }) {
                let of_target = active.iter().filter(|(.., id, _)| *id == order.id);
                let running =
                    of_target.map(|(task, run, ..)| ActiveRun { task: *task, run: *run, ..ActiveRun::default() });
                let listing = Listing {
                    incarnation: Some(order.incarnation),
                    clock,
                    running: running.collect(),
                    ended: ended.iter().filter(|(id, _)| *id == order.id).map(|(_, end)| end.clone()).collect(),
                    truncated: false,
                };
                harness.finish(&order, Outcome::Listed(listing));
            }
        }
        if now - begun == Duration::from_millis(450) {
            harness.board.on_report(now, &later(restarted.as_ref().expect("a target has got a start")));
        }
        harness.advance(10);
    }
    panic!("the job has no answer");
}

/// Guards against tasks that run twice because their target restarted under its id and its later incarnation carried out
/// starts that were meant for the earlier one (`review/6`).
#[test]
fn tasks_of_a_target_that_restarts_between_two_reports_run_once() {
    assert_eq!((overlap_after_restart(true), overlap_after_restart(false)), (Duration::ZERO, Duration::ZERO));
}

/// Returns the time from the return of a silent target, 1.9 s after two starts there, until it is given a run again.
fn wait_after_silence(both_confirmed: bool) -> Duration {
    let mut harness = Harness::open(&["w1"]);
    harness.queue.slack = 60_000;
    harness.submit(1, 2, 6000, 60_000);
    let (starts, others): (Vec<Order>, Vec<Order>) = harness.orders().into_iter().partition(is_start);
    harness.finish(&starts[0], Outcome::Done { clock: 500 });
    harness.finish(&starts[1], if both_confirmed { Outcome::Done { clock: 500 } } else { Outcome::Unsure });
    for order in others {
        harness.finish(&order, Outcome::Unsure);
    }
    for _ in 0..190 {
        for order in harness.orders() {
            harness.finish(&order, Outcome::Unsure);
        }
        harness.advance(10);
    }
    let mut waited = Duration::ZERO;
    while waited < Duration::from_secs(8) {
        for order in harness.orders() {
            if is_start(&order) {
                return waited;
            }
            harness.finish(&order, Outcome::Listed(listing(500 + harness.now.as_micros() / 1000 - 1000)));
        }
        harness.advance(10);
        waited += Duration::from_millis(10);
    }
    waited
}

/// Guards against a target that gets no runs after a silence because that counts as two failures in a row: the leases of
/// its answered and of its unanswered runs end one after the other.
#[test]
fn a_silence_with_an_unanswered_start_does_not_eject_its_target() {
    let (answered, unanswered) = (wait_after_silence(true), wait_after_silence(false));
    assert!(unanswered <= answered, "{unanswered:?}, and {answered:?} if all starts were answered");
}

/// Lets a time pass in which no target answers, and returns the number of starts.
fn stay_silent(harness: &mut Harness, millis: u64) -> usize {
    let mut starts = 0;
    for _ in 0..millis / 10 {
        for order in harness.orders() {
            starts += usize::from(is_start(&order));
            harness.finish(&order, Outcome::Unsure);
        }
        harness.advance(10);
    }
    starts
}

/// Lets a time pass in which target `w1` is back, answers at once, lists `ended` and works on what it starts. Returns its
/// starts.
fn answer_for(harness: &mut Harness, millis: u64, ended: &[EndedRun]) -> Vec<Order> {
    harness.board.on_report(harness.now, &report("w1"));
    let mut starts: Vec<Order> = Vec::new();
    for _ in 0..millis / 10 {
        let elapsed = harness.now.as_micros() / 1000 - 1000;
        for order in harness.orders() {
            let active = |start: &Order| {
                let (task, run) = run_of(start);
                ActiveRun { task, run, percent: elapsed as u32 / 10, ..ActiveRun::default() }
            };
            let is_active = |start: &&Order| !ended.iter().any(|end| (end.task, end.run) == run_of(start));
            let listing = Listing {
                incarnation: Some(order.incarnation),
                running: starts.iter().filter(is_active).map(active).collect(),
                ended: ended.to_vec(),
                ..listing(500 + elapsed)
            };
            let outcome = match order.kind {
                OrderKind::Renew { .. } => Outcome::Listed(listing),
                _ => Outcome::Done { clock: 500 + elapsed },
            };
            harness.finish(&order, outcome);
            if is_start(&order) {
                starts.push(order);
            }
        }
        harness.advance(10);
    }
    starts
}

/// Outcomes of two starts at a target that then is silent.
fn outcomes_before_silence() -> [[Outcome; 2]; 5] {
    let done = || Outcome::Done { clock: 500 };
    let unreached = || Outcome::Denied { why: mangogw_jobs::Denial::Unreached, clock: None };
    [
        [done(), done()],
        [done(), Outcome::Unsure],
        [Outcome::Unsure, Outcome::Unsure],
        [done(), unreached()],
        [unreached(), unreached()],
    ]
}

/// Opens a board with a target and three tasks, and plays a silence there of at least 50 ms. The starts of two tasks have
/// these outcomes, that of the third, 50 ms later, has none. The open renewal is answered before if `listed` is true.
fn silence_after(outcomes: &[Outcome], listed: bool, millis: u64) -> Harness {
    let mut harness = Harness::open(&["w1"]);
    harness.queue.slack = 60_000;
    harness.submit(1, 2, 5000, 60_000);
    let (starts, others): (Vec<Order>, Vec<Order>) = harness.orders().into_iter().partition(is_start);
    for order in others {
        harness.finish(&order, if listed { Outcome::Listed(listing(500)) } else { Outcome::Unsure });
    }
    for (start, outcome) in starts.iter().zip(outcomes) {
        harness.finish(start, outcome.clone());
    }
    stay_silent(&mut harness, 50);
    harness.submit(2, 1, 5000, 60_000);
    stay_silent(&mut harness, millis - 50);
    harness
}

/// Guards against a target that gets no runs after a silence whose runs are given up one after the other.
#[test]
fn a_silence_counts_once_whenever_its_runs_are_given_up() {
    for millis in [1200, 1500, 1720, 1900, 4000, 20_000] {
        for (outcomes, listed) in
            outcomes_before_silence().iter().flat_map(|outcomes| [(outcomes, false), (outcomes, true)])
        {
            let mut harness = silence_after(outcomes, listed, millis);
            let starts = answer_for(&mut harness, 1000, &[]).len();
            assert_eq!(starts, 3, "all tasks run there again: {millis} ms, {outcomes:?}, {listed}");
        }
    }
}

/// Guards against a silence that counts again because the target is back while it still holds a run, which is given up
/// before the next lease there.
#[test]
fn a_run_that_is_given_up_after_a_silence_belongs_to_it() {
    let (mut harness, renewal) = take_over(1);
    harness.queue.slack = 60_000;
    harness.answer_listing(&renewal, listing(500));
    harness.submit(1, 2, 5000, 60_000);
    let (starts, others): (Vec<Order>, Vec<Order>) = harness.orders().into_iter().partition(is_start);
    assert_eq!(starts.len(), 3);
    for start in &starts {
        let is_unanswered = run_of(start).0 == TaskId { job: JobId(1), ..TaskId::default() };
        harness.finish(start, if is_unanswered { Outcome::Unsure } else { Outcome::Done { clock: 500 } });
    }
    for order in others {
        harness.finish(&order, Outcome::Unsure);
    }
    stay_silent(&mut harness, 1550);
    let stored = starts.iter().map(run_of).find(|(task, _)| task.job == JobId(9)).unwrap();
    let ended = vec![done(0, stored.1)];
    // The end is not recorded, so the next renewal is sent late.
    for _ in 0..20 {
        for order in harness.orders() {
            assert!(matches!(order.kind, OrderKind::Renew { .. }), "{order:?}");
            harness.answer_listing(&order, Listing { ended: ended.clone(), truncated: true, ..listing(2100) });
        }
        harness.advance(10);
    }
    let again = answer_for(&mut harness, 1000, &ended);
    assert_eq!(again.len(), 2, "{again:?}");
}

/// Guards against a later incarnation that gets no runs after a silence, whether it has listed its runs before or not.
#[test]
fn a_silence_of_a_later_incarnation_counts_once() {
    for (millis, listed) in [1200, 1750, 1900, 4000].into_iter().flat_map(|millis| [(millis, false), (millis, true)]) {
        let mut harness = Harness::open(&["w1"]);
        harness.queue.slack = 60_000;
        harness.submit(1, 3, 5000, 60_000);
        let starts = harness.starts();
        harness.finish(&starts[0], Outcome::Done { clock: 500 });
        harness.finish(&starts[1], Outcome::Unsure);
        harness.finish(&starts[2], Outcome::Replaced { incarnation: Some(2), received: true });
        if listed {
            let orders = harness.orders();
            let renewal = Harness::renewal_of(&orders, "w1", 2).unwrap();
            let (task, run) = run_of(&starts[1]);
            let running = vec![ActiveRun { task, run, ..ActiveRun::default() }];
            harness.answer_listing(&renewal, Listing { running, ..later_listing(10) });
        }
        harness.board.on_report(harness.now, &later("w1"));
        stay_silent(&mut harness, millis);
        let starts = answer_for(&mut harness, 1000, &[]).len();
        assert_eq!(starts, 3, "{millis} ms, {listed}");
    }
}

/// The same where a later incarnation is known in the midst of a silence, and is silent too.
#[test]
fn a_silence_over_two_incarnations_ejects_neither() {
    for (outcomes, millis) in outcomes_before_silence().iter().flat_map(|all| [(all, 300), (all, 1200), (all, 1900)]) {
        let mut harness = silence_after(outcomes, false, millis);
        harness.board.on_report(harness.now, &later("w1"));
        stay_silent(&mut harness, 1900);
        assert_eq!(answer_for(&mut harness, 1000, &[]).len(), 3, "{millis} ms, {outcomes:?}");
    }
}

/// Guards against a silence that counts again when the targets of a zone are taken over meanwhile.
#[test]
fn a_silence_counts_once_beside_a_takeover() {
    for outcomes in outcomes_before_silence() {
        for millis in [500, 1200, 1900] {
            let mut harness = silence_after(&outcomes, false, millis);
            harness.board.reclaim_zone(harness.now, &Zone::from("a"));
            stay_silent(&mut harness, 1900);
            assert_eq!(answer_for(&mut harness, 1000, &[]).len(), 3, "{millis} ms, {outcomes:?}");
        }
    }
    let (mut harness, renewal) = take_over(2);
    harness.finish(&renewal, Outcome::Unsure);
    stay_silent(&mut harness, 1900);
    harness.board.reclaim_zone(harness.now, &Zone::from("a"));
    stay_silent(&mut harness, 1900);
    assert_eq!(answer_for(&mut harness, 1000, &[]).len(), 2);
}

/// Guards against a target that gets runs as before though it falls silent again and again.
#[test]
fn two_silences_eject_a_target() {
    for (outcomes, listed) in
        outcomes_before_silence().iter().flat_map(|outcomes| [(outcomes, false), (outcomes, true)])
    {
        for millis in [1200, 1900, 4000] {
            let mut harness = silence_after(outcomes, listed, millis);
            assert_eq!(answer_for(&mut harness, 1000, &[]).len(), 3);
            // The second failure is recorded 1.03 s after the last lease; the target is ejected for 1.5 s.
            stay_silent(&mut harness, 1500);
            assert_eq!(answer_for(&mut harness, 900, &[]).len(), 0, "{millis} ms, {outcomes:?}, {listed}");
            assert_eq!(answer_for(&mut harness, 500, &[]).len(), 1, "a probe: {millis} ms, {outcomes:?}, {listed}");
        }
    }
}

/// The same where a run is held over both silences, with a moment between them.
#[test]
fn two_silences_close_to_each_other_eject_a_target() {
    let mut harness = silence_after(&[Outcome::Done { clock: 500 }, Outcome::Unsure], false, 1200);
    assert_eq!(stay_silent(&mut harness, 10), 0);
    answer_for(&mut harness, 130, &[]);
    stay_silent(&mut harness, 1500);
    assert_eq!(answer_for(&mut harness, 900, &[]).len(), 0);
}

/// The same where the last lease of the target came with a start alone.
#[test]
fn a_silence_after_a_start_counts() {
    let (mut harness, renewal) = take_over(1);
    harness.finish(&renewal, Outcome::Unsure);
    harness.queue.slack = 60_000;
    stay_silent(&mut harness, 1900);
    harness.advance(800);
    let renewal = harness.orders().remove(0);
    harness.answer_listing(&renewal, Listing { ended: vec![done(0, RunNumber::new(3, 1))], ..listing(3200) });
    let open = record_ends(&mut harness);
    harness.submit(1, 2, 5000, 60_000);
    let starts = harness.orders();
    assert!(starts.iter().all(is_start), "{starts:?}");
    for start in &starts {
        harness.finish(start, Outcome::Done { clock: 3200 });
    }
    for order in open {
        harness.finish(&order, Outcome::Unsure);
    }
    stay_silent(&mut harness, 1500);
    assert_eq!(answer_for(&mut harness, 900, &[]).len(), 0);
}

/// Guards against a target that is used though no start there can be written.
#[test]
fn unreached_starts_between_listings_eject_a_target() {
    let unreached = Outcome::Denied { why: mangogw_jobs::Denial::Unreached, clock: None };
    let mut harness = Harness::open(&["w1"]);
    harness.queue.slack = 60_000;
    harness.submit(1, 1, 5000, 60_000);
    let mut refused = Vec::new();
    for _ in 0..100 {
        let elapsed = harness.now.as_micros() / 1000 - 1000;
        for order in harness.orders() {
            if is_start(&order) {
                refused.push(elapsed);
                harness.finish(&order, unreached.clone());
            } else {
                harness.answer_listing(&order, listing(500 + elapsed));
            }
        }
        harness.advance(10);
    }
    assert_eq!(refused.len(), 2, "{refused:?}");
}

/// Guards against runs that a target is given while a silence goes on, and against a task that never runs elsewhere.
#[test]
fn a_silence_that_never_ends_moves_a_task_once() {
    for outcome in [Outcome::Done { clock: 500 }, Outcome::Unsure] {
        let (mut harness, start) = Harness::start_one();
        harness.finish(&start, outcome);
        let mut moved = Vec::new();
        for _ in 0..3000 {
            for order in harness.orders() {
                let elapsed = harness.now.as_micros() / 1000 - 1000;
                let running = moved.iter().map(run_of).map(|(task, run)| ActiveRun {
                    task,
                    run,
                    percent: elapsed as u32 / 10,
                    ..ActiveRun::default()
                });
                let listing = Listing { running: running.collect(), ..listing(500 + elapsed) };
                let silent = order.id == start.id;
                match order.kind {
                    _ if silent => harness.finish(&order, Outcome::Unsure),
                    OrderKind::Renew { .. } => harness.answer_listing(&order, listing),
                    _ => harness.finish(&order, Outcome::Done { clock: 500 + elapsed }),
                }
                if is_start(&order) {
                    moved.push(order);
                }
            }
            harness.advance(10);
        }
        assert_eq!(moved.iter().map(|order| order.id == start.id).collect::<Vec<_>>(), [false]);
    }
}

/// Guards against a target that fails its runs and gets more of them, with and without a silence before.
#[test]
fn a_target_that_fails_its_runs_is_ejected() {
    let failed = |start: &Order, number| {
        let (task, run) = run_of(start);
        EndedRun { number, task, run, run_end: RunEnd::Failed, checkpoint: String::new() }
    };
    let mut harness = silence_after(&[Outcome::Done { clock: 500 }, Outcome::Unsure], false, 1900);
    let starts = answer_for(&mut harness, 1000, &[]);
    assert_eq!(answer_for(&mut harness, 1400, &[failed(&starts[0], 1)]).len(), 0, "a silence and a failed run");
    let mut harness = Harness::open(&["w1"]);
    harness.queue.slack = 60_000;
    harness.submit(1, 3, 5000, 60_000);
    let starts = answer_for(&mut harness, 20, &[]);
    let ended: Vec<_> = starts.iter().zip(1..).map(|(start, number)| failed(start, number)).collect();
    assert_eq!(answer_for(&mut harness, 1400, &ended[..2]).len(), 0, "two failed runs");
}

/// Guards against jobs that are known not to end in time, and wait on: their client is answered earlier than it asked for.
#[test]
fn a_job_is_refused_once_it_can_not_end_by_its_shortened_deadline() {
    let mut harness = Harness::open(&[]);
    harness.queue.slack = 60_000;
    harness.submit(1, 1, 1000, 60_000);
    harness.submit(2, 1, 1000, 60_000);
    harness.board.shorten(1, harness.now + Duration::from_secs(1));
    harness.advance(850);
    assert_eq!(harness.refused(), []);
    harness.advance(50);
    assert_eq!(harness.refused(), [1]);
}

/// Guards against a job that ends for the client of a host that stops, though another client waits for it elsewhere.
#[test]
fn a_shortened_job_goes_on_for_a_client_that_waits_longer() {
    for joins_first in [false, true] {
        let mut harness = Harness::open(&[]);
        harness.queue.slack = 60_000;
        harness.submit(1, 1, 1000, 60_000);
        let queue = harness.queue.clone();
        let join = |harness: &mut Harness| {
            let spec = Arc::new(JobSpec { steps: vec![Step::default()], transient: true, ..JobSpec::default() });
            let deadline = Some(harness.now + Duration::from_mins(1));
            let submission = Submission { id: JobId(1), spec, deadline, reply_to: 7, first_attempt: false };
            harness.board.admit(harness.now, submission, &queue);
        };
        if joins_first {
            join(&mut harness);
        }
        harness.board.shorten(1, harness.now + Duration::from_secs(1));
        if !joins_first {
            join(&mut harness);
        }
        harness.advance(5000);
        assert_eq!(harness.refused(), [], "joins first: {joins_first}");
    }
}
