//! Tests of evacuations of zones in the ledger and on the board.

use indexmap::{IndexMap, IndexSet};
use mangogw_jobs::{
    ApplyStatus, Board, Command, JobEnd, JobId, JobSpec, Ledger, Listing, Order, OrderKind, Outcome, Output, Queue,
    QueueSet, Resources, Settings, Step, StoredJob, Submission, TargetReport, TargetState,
};
use mangogw_model::{Time, Zone};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Layout of a snapshot before there were evacuations.
#[derive(Debug, Serialize)]
struct OldLedger {
    queue_set: Option<Arc<QueueSet>>,
    targets: IndexMap<String, TargetReport>,
    jobs: IndexMap<JobId, StoredJob>,
    absent_targets: IndexSet<String>,
}

fn report(id: &str, zone: &str) -> TargetReport {
    TargetReport {
        id: id.to_owned(),
        incarnation: 1,
        sequence: 1,
        pool: "pool".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: Zone::from(zone),
        labels: Vec::new(),
        resources: Resources { cpu: 16_000, memory: 32_000, accelerators: 0 },
        state: TargetState::Ready,
    }
}

fn evacuate(zone: &str, active: bool, seen: u64) -> Command {
    Command::Evacuate { zone: Zone::from(zone), active, seen }
}

fn step(count: u32, cpu: u64, estimate: u64) -> Step {
    Step { count, need: Resources { cpu, memory: 1, accelerators: 0 }, estimate, ..Step::default() }
}

fn filled_ledger() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.apply(&Command::Install(Arc::new(QueueSet { version: mangogw_model::Version(7), ..QueueSet::default() })));
    ledger.apply(&Command::ReportTarget(report("w1", "a")));
    ledger.apply(&Command::ReportTarget(report("w2", "b")));
    ledger.apply(&Command::MarkAbsent { id: "w2".to_owned(), incarnation: 1 });
    let spec = Arc::new(JobSpec { steps: vec![step(3, 2000, 60)], ..JobSpec::default() });
    ledger.apply(&Command::StoreJob { id: JobId(5), spec, queue: "q".to_owned(), attempts: 2, accepted_ms: 9 });
    ledger
}

#[test]
fn snapshots_of_the_earlier_layout_are_read_and_written() {
    let ledger = filled_ledger();
    let Ledger { queue_set, targets, jobs, absent_targets, .. } = ledger.clone();
    let old = postcard::to_stdvec(&OldLedger { queue_set, targets, jobs, absent_targets }).unwrap();
    assert_eq!(Ledger::decode(&old).unwrap(), ledger);
    assert_eq!(ledger.encode().unwrap(), old, "without evacuations a snapshot is as before");
    // The empty ledger of the earlier version, and its entry `Expire(5)`.
    assert_eq!(Ledger::decode(&[0, 0, 0, 0]).unwrap(), Ledger::default());
    assert_eq!(postcard::from_bytes::<Command>(&[7, 5]).unwrap(), Command::Expire(5));
}

#[test]
fn snapshots_hold_evacuations_and_those_that_were_taken_back() {
    let mut ledger = filled_ledger();
    ledger.apply(&evacuate("a", true, 0));
    ledger.apply(&evacuate("b", true, 1));
    ledger.apply(&evacuate("b", false, 2));
    let bytes = ledger.encode().unwrap();
    let read = Ledger::decode(&bytes).unwrap();
    assert_eq!(read, ledger);
    assert_eq!((read.evacuations.revision(), read.evacuations.is_active(&Zone::from("a"))), (3, true));
    assert!(!read.evacuations.is_active(&Zone::from("b")));
    for length in 1..bytes.len() {
        // A part is refused, or it is one that the earlier version may have written.
        if let Ok(part) = Ledger::decode(&bytes[..length]) {
            assert!(part.evacuations.is_empty(), "{length} bytes");
        }
    }
}

#[test]
fn orders_that_come_late_undo_nothing() {
    let mut ledger = Ledger::default();
    let mut apply = |command| ledger.apply(&command).status;
    assert_eq!(apply(evacuate("a", false, 0)), ApplyStatus::Unchanged, "an end without a start");
    assert_eq!(apply(evacuate("a", true, 0)), ApplyStatus::Outdated, "a start that has not seen that end");
    assert_eq!(apply(evacuate("a", true, 1)), ApplyStatus::Changed);
    assert_eq!(apply(evacuate("a", true, 0)), ApplyStatus::Unchanged, "sent again after a lost acknowledgement");
    assert_eq!(
        apply(evacuate("a", false, 2)),
        ApplyStatus::Outdated,
        "on its way while the start was acknowledged again"
    );
    assert_eq!(apply(evacuate("a", false, 3)), ApplyStatus::Changed);
    assert_eq!(apply(evacuate("a", true, 3)), ApplyStatus::Outdated, "on its way while the end was ordered");
    assert_eq!(apply(evacuate("b", true, 0)), ApplyStatus::Changed, "zones don't hold each other up");
    assert_eq!(apply(evacuate("a", true, 4)), ApplyStatus::Changed, "sent again after the end");
    assert_eq!(apply(evacuate("a", false, 5)), ApplyStatus::Outdated, "an end that has not seen that");
}

/// A board with targets `a1`, `a2` in zone a and `b1`, `b2` in zone b, each with room for two tasks.
struct Harness {
    board: Board,
    ledger: Ledger,
    queue: Queue,
    now: Time,
}

impl Harness {
    fn open() -> Self {
        let queue = Queue { name: "q".to_owned(), pool: "pool".to_owned(), attempts: 2, slack: 60, ..Queue::default() };
        let set = QueueSet { queues: vec![queue.clone()], ..QueueSet::default() };
        let ledger = Ledger { queue_set: Some(Arc::new(set)), ..Ledger::default() };
        let now = Time::from_millis(1000);
        let mut harness = Self { board: Board::open(Settings::default(), 3, &ledger, now), ledger, queue, now };
        for (id, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")] {
            harness.board.on_report(now, &report(id, zone));
        }
        harness.list();
        harness
    }

    /// Answers all renewals with empty lists, and returns the orders to start.
    fn list(&mut self) -> Vec<Order> {
        let mut starts = Vec::new();
        for output in self.board.drain(self.now) {
            match output {
                Output::Order(order) if matches!(order.kind, OrderKind::Renew { .. }) => {
                    let listing = Listing { incarnation: Some(1), clock: 500, ..Listing::default() };
                    self.board.on_outcome(self.now, &order, self.now, Outcome::Listed(listing));
                }
                Output::Order(order) => starts.push(order),
                _ => {}
            }
        }
        starts
    }

    fn orders(&mut self) -> Vec<Order> {
        let order = |output| match output {
            Output::Order(order) => Some(order),
            _ => None,
        };
        self.board.drain(self.now).into_iter().filter_map(order).collect()
    }

    fn order(&mut self, zone: &str, active: bool) {
        let seen = self.ledger.evacuations.revision();
        self.ledger.apply(&evacuate(zone, active, seen));
        self.board.evacuate(&self.ledger.evacuations);
    }

    fn submit(&mut self, id: u64, steps: Vec<Step>) {
        let spec = Arc::new(JobSpec { steps, transient: true, ..JobSpec::default() });
        let deadline = Some(self.now + Duration::from_secs(9));
        let submission = Submission { id: JobId(id), spec, deadline, reply_to: id, first_attempt: true };
        self.board.admit(self.now, submission, &self.queue);
    }
}

fn zones(orders: &[Order]) -> Vec<&str> {
    let mut zones: Vec<&str> = orders.iter().map(|order| order.zone.as_str()).collect();
    zones.sort_unstable();
    zones
}

#[test]
fn targets_of_an_evacuated_zone_get_no_runs_until_it_is_taken_back() {
    let mut harness = Harness::open();
    harness.order("a", true);
    harness.submit(1, vec![step(8, 8000, 100)]);
    assert_eq!(zones(&harness.list()), ["b"; 4]);
    // A target that reports again, or is new in the zone, changes nothing.
    harness.board.on_report(harness.now, &TargetReport { sequence: 2, ..report("a1", "a") });
    harness.board.on_report(harness.now, &report("a3", "a"));
    harness.list();
    assert!(harness.list().is_empty());
    harness.order("a", false);
    assert_eq!(zones(&harness.list()), ["a"; 4]);
}

#[test]
fn runs_in_an_evacuated_zone_go_on_and_are_renewed() {
    let mut harness = Harness::open();
    harness.submit(1, vec![step(8, 8000, 100)]);
    let starts = harness.list();
    assert_eq!(zones(&starts), ["a", "a", "a", "a", "b", "b", "b", "b"]);
    for order in &starts {
        harness.board.on_outcome(harness.now, order, harness.now, Outcome::Done { clock: 500 });
    }
    harness.order("a", true);
    harness.now += Duration::from_millis(300);
    harness.board.on_tick(harness.now);
    let orders = harness.orders();
    assert!(orders.iter().all(|order| matches!(order.kind, OrderKind::Renew { until: Some(_), .. })), "{orders:?}");
    assert!(zones(&orders).contains(&"a"), "{orders:?}");
}

#[test]
fn a_gang_that_needs_the_evacuated_zone_waits_as_a_whole() {
    let mut harness = Harness::open();
    harness.order("a", true);
    harness.submit(1, vec![Step { gang: true, ..step(6, 8000, 100) }]);
    assert!(harness.list().is_empty(), "no part of the gang starts");
    harness.submit(2, vec![Step { gang: true, ..step(4, 8000, 100) }]);
    assert_eq!(zones(&harness.list()), ["b"; 4], "a smaller one fits beside it");
    harness.order("a", false);
    assert!(harness.list().is_empty(), "four of six would fit");
}

#[test]
fn a_start_that_was_refused_in_the_zone_is_made_elsewhere() {
    let mut harness = Harness::open();
    harness.order("b", true);
    harness.submit(1, vec![step(2, 8000, 100)]);
    let starts = harness.list();
    assert_eq!(zones(&starts), ["a", "a"]);
    harness.order("a", true);
    harness.order("b", false);
    for order in &starts {
        let denied = Outcome::Denied { why: mangogw_jobs::Denial::Late, clock: Some(500) };
        harness.board.on_outcome(harness.now, order, harness.now, denied);
    }
    let again = harness.list();
    assert!(!again.is_empty() && again.iter().all(|order| order.zone.as_str() == "b"), "{again:?}");
}

#[test]
fn a_board_opens_with_the_evacuations_of_the_ledger() {
    let mut ledger = Harness::open().ledger;
    for (id, zone) in [("a1", "a"), ("b1", "b")] {
        ledger.apply(&Command::ReportTarget(report(id, zone)));
    }
    ledger.apply(&evacuate("a", true, 0));
    let now = Time::from_millis(1000);
    let zone = Zone::from("a");
    let boards = [
        Board::open(Settings::default(), 3, &ledger, now),
        Board::open_isolated(Settings::default(), 3, &ledger, &zone, now),
    ];
    for (board, expected) in boards.into_iter().zip([vec!["b", "b"], Vec::new()]) {
        let queue = ledger.queue_set.as_ref().unwrap().queues[0].clone();
        let mut harness = Harness { board, ledger: ledger.clone(), queue, now };
        harness.submit(1, vec![step(4, 8000, 100)]);
        harness.list();
        assert_eq!(zones(&harness.list()), expected);
    }
}

/// Guards against jobs that wait in vain for the room of an evacuated zone.
#[test]
fn jobs_without_room_beside_an_evacuated_zone_are_refused() {
    let mut harness = Harness::open();
    harness.order("a", true);
    (1..=30).for_each(|id| harness.submit(id, vec![step(2, 8000, 100)]));
    harness.list();
    harness.now += Duration::from_millis(10);
    harness.board.on_tick(harness.now);
    let refused = |output: &Output| matches!(output, Output::Answer { end: JobEnd::Refused(_), .. });
    let refused = harness.board.drain(harness.now).iter().filter(|output| refused(output)).count();
    assert!(refused >= 20, "{refused} of 30 refused, room for 2 at a time");
}
