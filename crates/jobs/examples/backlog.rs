//! Prints the time that a board of 350 full targets takes for each 10 ms, by the number of jobs that wait.
//!
//! `cargo run --release -p mangogw-jobs --example backlog -- 50000` measures one number; without it 500 and 50,000.

use mangogw_jobs::{
    Board, Command, JobId, JobSpec, Ledger, Listing, OrderKind, Outcome, Output, Queue, QueueSet, Resources, Settings,
    Step, Submission, TargetReport, TargetState,
};
use mangogw_model::{Time, Zone};
use std::sync::Arc;
use std::time::{Duration, Instant};

const TARGETS: usize = 350;
const TICKS: u32 = 100;

fn main() {
    let counts: Vec<u64> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let counts = if counts.is_empty() { vec![500, 50_000] } else { counts };
    for count in counts {
        for stored in [true, false] {
            let millis = measure(count, stored).as_secs_f64() * 1000.0 / f64::from(TICKS);
            println!("{count:6} waiting jobs, stored: {stored:5}: {millis:.3} ms for each 10 ms");
        }
    }
}

fn spec(cpu: u64) -> Arc<JobSpec> {
    let need = Resources { cpu, memory: 64, accelerators: 0 };
    let step = Step { count: 4, need, estimate: 900, ..Step::default() };
    Arc::new(JobSpec { steps: vec![step], ..JobSpec::default() })
}

/// Returns the time spent in the board during all ticks, with `count` waiting jobs on full targets.
fn measure(count: u64, stored: bool) -> Duration {
    let queue = Queue { name: "q".to_owned(), pool: "p".to_owned(), slack: 600_000, ..Queue::default() };
    let set = QueueSet { queues: vec![queue.clone()], ..QueueSet::default() };
    let mut ledger = Ledger { queue_set: Some(Arc::new(set)), ..Ledger::default() };
    let fillers = TARGETS as u64;
    for id in 1..=fillers + if stored { count } else { 0 } {
        let spec = spec(if id <= fillers { 14_000 } else { 20_000 + id % 9_000 });
        ledger.apply(&Command::StoreJob { id: JobId(id), spec, queue: "q".to_owned(), attempts: 2, accepted_ms: 0 });
    }
    let mut now = Time::from_millis(1000);
    let mut board = Board::open(Settings::default(), 1, &ledger, now);
    for index in 0..TARGETS {
        let report = TargetReport {
            id: format!("w{index}"),
            incarnation: 1,
            sequence: 1,
            pool: "p".to_owned(),
            address: "10.0.0.1:80".parse().expect("it is an address"),
            zone: Zone::from("a"),
            labels: Vec::new(),
            resources: Resources { cpu: 64_000, memory: 32_000, accelerators: 0 },
            state: TargetState::Ready,
        };
        board.on_report(now, &report);
    }
    for id in (fillers + 1..=fillers + count).filter(|_| !stored) {
        let spec = Arc::new(JobSpec { transient: true, ..JobSpec::clone(&spec(20_000 + id % 9_000)) });
        let submission = Submission { id: JobId(id), spec, deadline: None, reply_to: id, first_attempt: true };
        board.admit(now, submission, &queue);
    }
    let mut spent = Duration::ZERO;
    for tick in 0..2 * TICKS {
        let begin = Instant::now();
        board.on_tick(now);
        let outputs = board.drain(now);
        // The first ticks fill the targets.
        if tick >= TICKS {
            spent += begin.elapsed();
        }
        let clock = now.as_micros() / 1000;
        for output in outputs {
            let Output::Order(order) = output else { continue };
            match order.kind {
                OrderKind::Start { .. } => board.on_outcome(now, &order, now, Outcome::Done { clock }),
                OrderKind::Renew { .. } if tick == 0 => {
                    let listing = Listing { incarnation: Some(1), clock, ..Listing::default() };
                    board.on_outcome(now, &order, now, Outcome::Listed(listing));
                }
                _ => {}
            }
        }
        now += Duration::from_millis(1);
    }
    spent
}
