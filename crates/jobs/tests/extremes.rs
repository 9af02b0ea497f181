//! Inputs at the ends of their ranges: none may end the process, none may take resources without a bound.

use mangogw_jobs::{
    Board, Command, Deadlines, JobId, JobSpec, Ledger, Listing, OrderKind, Outcome, Output, Queue, QueueSet,
    RemoteClock, Resources, Settings, Step, Submission, TargetReport, TargetState,
};
use mangogw_model::{Time, Zone};
use std::sync::Arc;
use std::time::Duration;

/// Numbers that arithmetic on milliseconds, thousandths of a core or occurrences may overflow with.
const EXTREMES: [u64; 5] = [0, 1, 1 << 53, u64::MAX / 1000, u64::MAX];

fn report(id: &str, size: u64) -> TargetReport {
    TargetReport {
        id: id.to_owned(),
        incarnation: 1,
        sequence: size,
        pool: "pool".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: Zone::from("a"),
        labels: Vec::new(),
        resources: Resources { cpu: size, memory: size, accelerators: size },
        state: TargetState::Ready,
    }
}

fn queue(stretch: f64, slack: u64) -> Queue {
    Queue { name: "q".to_owned(), pool: "pool".to_owned(), attempts: u32::MAX, stretch, slack, ..Queue::default() }
}

#[test]
fn deadlines_of_any_numbers_are_ordered() {
    for path in EXTREMES.map(Duration::from_millis) {
        for slack in EXTREMES.map(Duration::from_millis) {
            for stretch in [f64::NEG_INFINITY, -1.0, 0.0, 1.6, 1e300, f64::MAX, f64::INFINITY, f64::NAN] {
                let deadlines = Deadlines::new(Time::from_millis(5), path, stretch, slack, None);
                assert!(deadlines.goal <= deadlines.late_until, "{path:?} {slack:?} {stretch}");
                assert!(deadlines.goal >= Time::from_millis(5) + slack, "{path:?} {slack:?} {stretch}");
                _ = deadlines.rank(Time::from_millis(7), path);
            }
        }
    }
}

#[test]
fn clock_bounds_of_any_reading_are_ordered() {
    for reading in EXTREMES {
        let clock = RemoteClock::new(reading, Time::from_millis(1), Time::from_millis(2));
        assert!(clock.min_reading(Time::from_millis(1000)) >= reading);
        assert!(EXTREMES.iter().all(|other| clock.surely_past(*other) > Time::from_millis(2)));
    }
}

/// Guards against a leader, and each one after it, that ends over a job or queue with numbers that overflow.
#[test]
fn a_board_works_on_with_jobs_and_targets_of_any_size() {
    let mut id = 0;
    for size in EXTREMES {
        for stretch in [0.0, 1e300] {
            let queue = queue(stretch, size);
            let set = QueueSet { queues: vec![queue.clone()], ..QueueSet::default() };
            let ledger = Ledger { queue_set: Some(Arc::new(set)), ..Ledger::default() };
            let mut now = Time::from_millis(1000);
            let settings = Settings { wall_offset: 1_700_000_000_000, ..Settings::default() };
            let mut board = Board::open(settings, 3, &ledger, now);
            board.on_report(now, &report("odd", size));
            board.on_report(now, &report("sound", 16_000));
            for estimate in EXTREMES {
                let need = Resources { cpu: size.min(8000), memory: 1, accelerators: 0 };
                let step = Step { count: 2, need, estimate, ..Step::default() };
                let second = Step { depends_on: vec![0], ..step.clone() };
                let spec = JobSpec { steps: vec![step, second], transient: true, ..JobSpec::default() };
                let deadline = Some(now + Duration::from_millis(size));
                id += 1;
                let submission =
                    Submission { id: JobId(id), spec: Arc::new(spec), deadline, reply_to: id, first_attempt: true };
                board.admit(now, submission, &queue);
            }
            for _ in 0..50 {
                now += Duration::from_millis(10);
                board.on_tick(now);
                for output in board.drain(now) {
                    let Output::Order(order) = output else { continue };
                    let outcome = match order.kind {
                        OrderKind::Renew { .. } => {
                            Outcome::Listed(Listing { incarnation: Some(1), clock: size, ..Listing::default() })
                        }
                        _ => Outcome::Done { clock: size },
                    };
                    board.on_outcome(now, &order, now, outcome);
                }
            }
        }
    }
}

/// Guards against a job that fills the memory of every leader in turn: all its occurrences are due at once.
#[test]
fn occurrences_that_are_all_due_begin_as_others_end() {
    let step = Step { count: 100, need: Resources { cpu: 1, ..Resources::default() }, ..Step::default() };
    for (first_due, interval) in [(0, 0), (0, 1), (1 << 53, 0), (u64::MAX, u64::MAX)] {
        let spec = JobSpec { steps: vec![step.clone()], times: u32::MAX, first_due, interval, ..JobSpec::default() };
        spec.check().unwrap();
        let set = QueueSet { queues: vec![queue(1.6, 60)], ..QueueSet::default() };
        let mut ledger = Ledger { queue_set: Some(Arc::new(set)), ..Ledger::default() };
        let command = Command::StoreJob {
            id: JobId(1),
            spec: Arc::new(spec),
            queue: "q".to_owned(),
            attempts: 1,
            accepted_ms: 0,
        };
        ledger.apply(&command);
        let settings = Settings { wall_offset: 1_700_000_000_000, ..Settings::default() };
        let mut board = Board::open(settings, 3, &ledger, Time::from_millis(1));
        board.on_report(Time::from_millis(1), &report("w1", 1_000_000));
        let mut starts = 0;
        for tick in 0..20 {
            let now = Time::from_millis(10 * tick);
            board.on_tick(now);
            for output in board.drain(now) {
                let Output::Order(order) = output else { continue };
                starts += usize::from(matches!(order.kind, OrderKind::Start { .. }));
                let listing = Listing { incarnation: Some(1), clock: 10 * tick, ..Listing::default() };
                if matches!(order.kind, OrderKind::Renew { .. }) {
                    board.on_outcome(now, &order, now, Outcome::Listed(listing));
                }
            }
        }
        let due = first_due == 0;
        assert!(if due { (6500..=6700).contains(&starts) } else { starts == 0 }, "{first_due} {interval}: {starts}");
    }
}
