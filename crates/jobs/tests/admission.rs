//! Cases of admission under shortage on a board and in the decision: who must not be refused, and who at once.

use mangogw_jobs::{
    Board, Candidate, Command, Deviation, Health, JobEnd, JobId, JobSpec, Ledger, Listing, OrderKind, Outcome, Output,
    Queue, QueueSet, Resources, Room, Settings, Shortage, Step, Submission, TargetReport, TargetState,
};
use mangogw_model::{Time, Zone};
use std::sync::Arc;
use std::time::Duration;

struct Harness {
    board: Board,
    queue: Queue,
    now: Time,
}

fn report(id: String) -> TargetReport {
    TargetReport {
        id,
        incarnation: 1,
        sequence: 1,
        pool: "pool".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: Zone::from("a"),
        labels: Vec::new(),
        resources: Resources { cpu: 16_000, memory: 32_000, accelerators: 0 },
        state: TargetState::Ready,
    }
}

impl Harness {
    fn open(targets: usize) -> Self {
        let queue = Queue {
            name: "q".to_owned(),
            pool: "pool".to_owned(),
            attempts: 2,
            slack: 60,
            stretch: 1.6,
            ..Queue::default()
        };
        let set = QueueSet { queues: vec![queue.clone()], ..QueueSet::default() };
        let ledger = Ledger { queue_set: Some(Arc::new(set)), ..Ledger::default() };
        let now = Time::from_millis(1000);
        let mut harness = Self { board: Board::open(Settings::default(), 3, &ledger, now), queue, now };
        for id in 0..targets {
            harness.board.on_report(now, &report(format!("w{id}")));
        }
        for output in harness.board.drain(now) {
            if let Output::Order(order) = output {
                let listing = Listing { incarnation: Some(1), clock: 500, ..Listing::default() };
                harness.board.on_outcome(now, &order, now, Outcome::Listed(listing));
            }
        }
        harness
    }

    fn admit(&mut self, id: u64, count: u32, cpu: u64, estimate: u64, timeout: u64) {
        let need = Resources { cpu, memory: 1, accelerators: 0 };
        let steps = vec![Step { count, need, estimate, ..Step::default() }];
        let spec = Arc::new(JobSpec { steps, transient: true, ..JobSpec::default() });
        let deadline = Some(self.now + Duration::from_millis(timeout));
        let submission = Submission { id: JobId(id), spec, deadline, reply_to: id, first_attempt: true };
        self.board.admit(self.now, submission, &self.queue.clone());
    }

    /// Ticks for some time and returns the refused with the time of the refusal, and the number of starts.
    fn run(&mut self, millis: u64) -> (Vec<(u64, u64)>, usize) {
        let (mut refused, mut starts) = (Vec::new(), 0);
        let from = self.now;
        for at in 0..=millis / 10 {
            if at > 0 {
                self.now += Duration::from_millis(10);
                self.board.on_tick(self.now);
            }
            for output in self.board.drain(self.now) {
                match output {
                    Output::Answer { reply_to, end: JobEnd::Refused(_) } => {
                        refused.push((reply_to, (self.now - from).as_millis() as u64));
                    }
                    Output::Order(order) if matches!(order.kind, OrderKind::Start { .. }) => starts += 1,
                    _ => {}
                }
            }
        }
        (refused, starts)
    }
}

/// A job that can't be done by the deadline of its client, known at arrival, while no target is free.
#[test]
fn a_hopeless_job_is_refused_at_once() {
    let mut harness = Harness::open(1);
    harness.admit(1, 1, 16_000, 1400, 100_000);
    assert_eq!(harness.run(0).1, 1);
    harness.admit(2, 1, 16_000, 2000, 1500);
    let (refused, _) = harness.run(600);
    assert_eq!(refused, [(2, 10)]);
}

/// Half of the targets are busy; jobs arrive between two passes, all of which would start at once.
#[test]
fn a_job_that_has_room_is_not_refused() {
    let mut harness = Harness::open(200);
    harness.admit(1, 110, 16_000, 1400, 100_000);
    assert_eq!(harness.run(10).1, 110, "one task on each of 110 targets");
    harness.now += Duration::from_millis(9);
    drop(harness.board.drain(harness.now));
    for id in 2..=31 {
        harness.now += Duration::from_micros(20);
        harness.admit(id, 2, 16_000, 300, 1500);
        drop(harness.board.drain(harness.now));
    }
    harness.now += Duration::from_micros(400);
    harness.board.on_tick(harness.now);
    let refused = harness.board.counts().refused;
    assert_eq!(refused, 0, "90 targets are free and 60 tasks wait");
}

/// Stored work that can't be in time whatever is refused.
#[test]
fn stored_work_displaces_none_that_goes_first() {
    let mut shortage = Shortage::default();
    let urgent = shortage.arrive(Time::ZERO, "urgent", "pool", 0, 10.0);
    let bulk = shortage.arrive(Time::ZERO, "bulk", "pool", 1, 1000.0);
    let job = |key, lane, start, work, refusable| Candidate {
        key,
        lane,
        latest_start: Time::from_millis(start),
        work,
        size: work,
        refusable,
    };
    let mut candidates: Vec<_> = (0..5).map(|key| job(key, urgent, 100, 1.0, true)).collect();
    candidates.extend((10..20).map(|key| job(key, bulk, 1000, 1000.0, false)));
    assert_eq!(shortage.choose(Time::ZERO, Room { rate: 1.0 }, &candidates), []);
}

/// Refusing others can't help a job behind stored work that alone takes all of its spare time.
#[test]
fn none_is_displaced_for_a_job_that_has_no_room_either_way() {
    let mut shortage = Shortage::default();
    let bulk = shortage.arrive(Time::ZERO, "bulk", "pool", 3, 10.0);
    let urgent = shortage.arrive(Time::ZERO, "urgent", "pool", 0, 10.0);
    let job = |key, lane, start, work, refusable| Candidate {
        key,
        lane,
        latest_start: Time::from_millis(start),
        work,
        size: work,
        refusable,
    };
    let candidates = [
        job(1, bulk, 99, 1.0, true),
        job(2, bulk, 99, 1.0, true),
        job(3, bulk, 100, 500.0, false),
        job(4, urgent, 101, 1.0, true),
    ];
    let refused: Vec<_> = shortage.choose(Time::ZERO, Room { rate: 1.0 }, &candidates).iter().map(|r| r.key).collect();
    assert_eq!(refused, [4]);
}

/// One client with a wrong estimate.
#[test]
fn one_huge_estimate_starves_no_lane() {
    let mut shortage = Shortage::default();
    let now = Time::ZERO;
    let mut lanes = Vec::new();
    for at in 0..2000 {
        for queue in ["a", "b"] {
            lanes.push(shortage.arrive(now, queue, "pool", 0, 100.0 + f64::from(at % 10) * 40.0));
        }
    }
    shortage.arrive(now, "a", "pool", 0, u64::MAX as f64);
    let later = Time::from_millis(30_000);
    let mut refused = [0, 0];
    for round in 0..200 {
        let now = later + Duration::from_millis(round * 10);
        let candidates: Vec<_> = (0..40)
            .map(|key| {
                let work = 100.0 + f64::from(key % 10) * 40.0;
                let lane = shortage.arrive(now, if key < 20 { "a" } else { "b" }, "pool", 0, work);
                let latest_start = now + Duration::from_millis(300);
                Candidate { key, lane, latest_start, work: 10.0, size: work, refusable: true }
            })
            .collect();
        for refusal in shortage.choose(now, Room { rate: 1.0 }, &candidates) {
            refused[usize::from(refusal.key >= 20)] += 1;
            let job = &candidates[refusal.key as usize];
            shortage.record_refusal(now, job.lane, job.size);
        }
    }
    assert!(refused[0] < 3 * refused[1].max(1), "{refused:?}");
}

/// A takeover in which one target has not listed its runs, with a backlog of an earlier leader and one job that this
/// leader stored.
#[test]
fn a_first_attempt_starts_during_a_takeover_behind_a_backlog() {
    let harness = Harness::open(0);
    let queues = QueueSet { queues: vec![harness.queue.clone()], ..QueueSet::default() };
    let targets = (0..2).map(|id| (format!("w{id}"), report(format!("w{id}")))).collect();
    let mut ledger = Ledger { queue_set: Some(Arc::new(queues)), targets, ..Ledger::default() };
    let stored = |id: u64| {
        let need = Resources { cpu: 1000, memory: 1, accelerators: 0 };
        let spec = Arc::new(JobSpec {
            steps: vec![Step { count: 1, need, estimate: 100, ..Step::default() }],
            ..JobSpec::default()
        });
        Command::StoreJob { id: JobId(id), spec, queue: "q".to_owned(), attempts: 2, accepted_ms: 0 }
    };
    for id in 1..=1500 {
        ledger.apply(&stored(id));
    }
    let mut board = Board::open(Settings::default(), 4, &ledger, harness.now);
    let mut now = harness.now;
    for output in board.drain(now) {
        if let Output::Order(order) = output
            && order.id == "w0"
        {
            let listing = Listing { incarnation: Some(1), clock: 500, ..Listing::default() };
            board.on_outcome(now, &order, now, Outcome::Listed(listing));
        }
    }
    let mut later = Ledger::default();
    later.apply(&stored(2000));
    board.restore(now, JobId(2000), &later.jobs[&JobId(2000)], true);
    let mut started = false;
    for _ in 0..40 {
        now += Duration::from_millis(10);
        board.on_tick(now);
        for output in board.drain(now) {
            if let Output::Order(order) = output {
                started |= matches!(order.kind, OrderKind::Start { task, .. } if task.job == JobId(2000));
            }
        }
    }
    assert!(board.is_taking_over());
    assert!(started);
}

/// A long run and then a short one, of two jobs: neither confirms the other.
#[test]
fn odd_runs_of_opposite_sign_confirm_nothing() {
    let mut health = Health::default();
    health.record_deviation(Deviation { log_ratio: 2.0, spread: 0.3, may_be_long: true, job: JobId(1) });
    health.record_deviation(Deviation { log_ratio: -2.0, spread: 0.3, may_be_long: true, job: JobId(2) });
    assert!((health.time_ratio() - 1.0).abs() < 1e-9, "{}", health.time_ratio());
}
