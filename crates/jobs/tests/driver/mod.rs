//! Simulation of one board whose targets answer at once. Arrivals and true run times come from a fixed seed; the board
//! knows only estimates of the run times.

use mangogw_jobs::{
    ActiveRun, Board, EndedRun, JobEnd, JobId, JobSpec, Ledger, Listing, Order, OrderKind, Outcome, Output, Queue,
    QueueSet, Resources, RunEnd, RunNumber, Settings, Step, Submission, TargetReport, TargetState, TaskId,
};
use mangogw_model::{Time, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which a client waits.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);

/// Kind of jobs: number of tasks, milliseconds of work per task, and jobs per second at a load of 1.
pub type JobKind = (u32, u64, f64);

/// Targets and jobs of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub targets: usize,
    /// Processor capacity and time ratio of the targets, assigned in rotation.
    pub target_kinds: Vec<(u64, f64)>,
    pub job_kinds: Vec<JobKind>,
    /// Lowest and highest processor need of a task, in thousandths of a core.
    pub cpu: (u64, u64),
    /// True if the number of tasks and the work of a kind differ from job to job.
    pub varied: bool,
    pub troubles: Vec<Trouble>,
}

/// Fault of some targets for some seconds.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    /// First second, and the second before which it is over.
    pub seconds: (f64, f64),
    /// Lowest and highest place of a target among all, as a share.
    pub targets: (f64, f64),
    pub kind: TroubleKind,
}

#[derive(Debug, Clone, Copy)]
pub enum TroubleKind {
    /// Runs take so many times as long.
    Slow(f64),
    /// Runs fail after 5 ms.
    Fail,
}

struct SimulatedRun {
    task: TaskId,
    run: RunNumber,
    began: Time,
    ends: Time,
    run_end: RunEnd,
}

impl SimulatedRun {
    fn percent(&self, now: Time) -> u32 {
        let length = (self.ends - self.began).as_secs_f64().max(0.001);
        ((now - self.began).as_secs_f64() / length * 100.0) as u32
    }
}

#[derive(Default)]
struct Worker {
    /// Place of the target among all.
    index: usize,
    time_ratio: f64,
    runs: Vec<SimulatedRun>,
    ended_count: u64,
    ended: Vec<EndedRun>,
    renewal: Option<(Order, Time, Time)>,
}

struct Arrival {
    at: Time,
    kind: usize,
    goal: Duration,
    work: f64,
}

/// Results of the jobs that arrived within a period.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub timely: usize,
    pub late: usize,
    pub refused: usize,
    /// Jobs dropped after a start, because their clients wait no longer.
    pub dropped: usize,
    /// Jobs that ended as failed.
    pub failed: usize,
    /// Refused jobs that had waited for more than a quarter of their goal.
    pub held: usize,
}

impl Tally {
    pub const fn count(&self) -> usize {
        self.timely + self.late + self.refused + self.dropped + self.failed
    }

    /// Returns the counts in thousandths of all jobs.
    pub fn share(&self) -> Self {
        let part = |count: usize| count * 1000 / self.count().max(1);
        Self {
            timely: part(self.timely),
            late: part(self.late),
            refused: part(self.refused),
            dropped: part(self.dropped),
            failed: part(self.failed),
            held: part(self.held),
        }
    }

    pub const fn plus(self, other: Self) -> Self {
        Self {
            timely: self.timely + other.timely,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            dropped: self.dropped + other.dropped,
            failed: self.failed + other.failed,
            held: self.held + other.held,
        }
    }

    /// Returns the number of answers in time, where a late answer counts as a fifth.
    pub const fn score(&self) -> usize {
        self.timely + self.late / 5
    }
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct ReplayResult {
    /// Results of the jobs, by the second of their arrival.
    pub seconds: Vec<Tally>,
    /// Results of the jobs, by their kind.
    pub kinds: Vec<Tally>,
    /// Time spent in the board, by second.
    pub board_time: Vec<Duration>,
    pub starts: usize,
}

impl ReplayResult {
    /// Returns the served worth in thousandths of all, where each kind is worth the same in total and a late answer a
    /// fifth: the mean over the kinds, and the least of them.
    pub fn worth(&self) -> (usize, usize) {
        let scores: Vec<usize> = self.kinds.iter().map(|tally| tally.share().score()).collect();
        (scores.iter().sum::<usize>() / scores.len().max(1), scores.iter().copied().min().unwrap_or(0))
    }

    pub fn total(&self) -> Tally {
        self.total_since(0)
    }

    /// Returns the results of the jobs that arrived from the given second on.
    pub fn total_since(&self, second: usize) -> Tally {
        self.seconds[second..].iter().fold(Tally::default(), |a, b| a.plus(*b))
    }
}

pub struct Replay {
    scenario: Scenario,
    board: Board,
    now: Time,
    rng: Pcg64Mcg,
    workers: BTreeMap<String, Worker>,
    arrivals: BTreeMap<u64, Arrival>,
    result: ReplayResult,
}

impl Replay {
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let set = QueueSet { queues: vec![queue()], ..QueueSet::default() };
        let ledger = Ledger { queue_set: Some(Arc::new(set)), ..Ledger::default() };
        let now = Time::from_millis(1);
        let mut board = Board::open(Settings::default(), 1, &ledger, now);
        let mut workers = BTreeMap::new();
        for index in 0..scenario.targets {
            let id = format!("w{index}");
            let (cpu, time_ratio) = scenario.target_kinds[index % scenario.target_kinds.len()];
            let report = TargetReport {
                id: id.clone(),
                incarnation: 1,
                sequence: 1,
                pool: "pool".to_owned(),
                address: "10.0.0.1:80".parse().unwrap(),
                zone: Zone::from("a"),
                labels: vec![format!("kind-{}", index % scenario.target_kinds.len())],
                resources: Resources { cpu, memory: 32_000, accelerators: 0 },
                state: TargetState::Ready,
            };
            board.on_report(now, &report);
            workers.insert(id, Worker { index, time_ratio, ..Worker::default() });
        }
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { scenario, board, now, rng, workers, arrivals: BTreeMap::new(), result: ReplayResult::default() }
    }

    /// Runs the given load for each second, and then no new jobs until all have ended.
    pub fn run(mut self, loads: &[f64]) -> ReplayResult {
        let end = self.now + Duration::from_secs(loads.len() as u64);
        let mut next: Vec<Time> = self.scenario.job_kinds.iter().map(|_| self.now).collect();
        let mut id = 0;
        while self.now < end + Duration::from_secs(8) {
            let load = loads.get((self.now.as_micros() / 1_000_000) as usize).copied().unwrap_or_default();
            for (kind, due) in next.iter_mut().enumerate() {
                while self.now >= *due && self.now < end {
                    let rate = (self.scenario.job_kinds[kind].2 * load).max(1e-3);
                    *due += Duration::from_secs_f64(-self.rng.random::<f64>().max(1e-9).ln() / rate);
                    id += 1;
                    self.submit(id, kind);
                }
            }
            self.step();
            self.now += Duration::from_millis(1);
        }
        for arrival in std::mem::take(&mut self.arrivals).into_values() {
            assert!(self.now - arrival.at > CLIENT_TIMEOUT, "a job has no answer");
            self.record(&arrival, |tally| tally.dropped += 1);
        }
        self.result
    }

    fn record(&mut self, arrival: &Arrival, count: impl Fn(&mut Tally)) {
        let second = (arrival.at.as_micros() / 1_000_000) as usize;
        for (tallies, at) in [(&mut self.result.seconds, second), (&mut self.result.kinds, arrival.kind)] {
            if tallies.len() <= at {
                tallies.resize(at + 1, Tally::default());
            }
            count(&mut tallies[at]);
        }
    }

    /// Returns a random factor around 1; `by` is the standard deviation of its logarithm.
    fn random_factor(&mut self, by: f64) -> f64 {
        (by * (self.rng.random::<f64>() + self.rng.random::<f64>() - 1.0) * 2.45).exp()
    }

    fn submit(&mut self, id: u64, kind: usize) {
        let (mut count, work, _) = self.scenario.job_kinds[kind];
        let mut work = work as f64;
        if self.scenario.varied {
            work *= self.random_factor(0.4);
            count = (f64::from(count) * self.random_factor(0.4)).round().max(1.0) as u32;
        }
        let estimate = match self.scenario.varied {
            true => work * self.random_factor(0.4),
            false => work * f64::from(self.rng.random_range(70..140)) / 100.0,
        };
        let (min, max) = self.scenario.cpu;
        let cpu = if min == max { min } else { self.rng.random_range(min..=max) };
        let need = Resources { cpu, memory: 64, accelerators: 0 };
        let step = Step { count, need, estimate: estimate as u64, ..Step::default() };
        let spec = Arc::new(JobSpec { steps: vec![step], transient: true, ..JobSpec::default() });
        let goal = Duration::from_millis((work * 1.6) as u64 + 60);
        self.arrivals.insert(id, Arrival { at: self.now, kind, goal, work });
        let deadline = Some(self.now + CLIENT_TIMEOUT);
        let submission = Submission { id: JobId(id), spec, deadline, reply_to: id, first_attempt: true };
        self.timed(|board, now| board.admit(now, submission, &queue()));
    }

    /// Passes an input to the board and adds the time that the board takes.
    fn timed<T>(&mut self, input: impl FnOnce(&mut Board, Time) -> T) -> T {
        let begin = Instant::now();
        let out = input(&mut self.board, self.now);
        let second = (self.now.as_micros() / 1_000_000) as usize;
        if self.result.board_time.len() <= second {
            self.result.board_time.resize(second + 1, Duration::ZERO);
        }
        self.result.board_time[second] += begin.elapsed();
        out
    }

    fn step(&mut self) {
        let now = self.now;
        if now.as_micros().is_multiple_of(10_000) {
            self.timed(Board::on_tick);
        }
        let mut outcomes = Vec::new();
        for worker in self.workers.values_mut() {
            let (ended, active): (Vec<_>, Vec<_>) =
                std::mem::take(&mut worker.runs).into_iter().partition(|run| run.ends <= now);
            worker.runs = active;
            for run in ended {
                worker.ended_count += 1;
                let SimulatedRun { task, run, run_end, .. } = run;
                let number = worker.ended_count;
                worker.ended.push(EndedRun { number, task, run, run_end, checkpoint: String::new() });
            }
            let due = worker.renewal.take_if(|(_, _, until)| !worker.ended.is_empty() || now >= *until);
            if let Some((order, sent_at, _)) = due {
                let running = |run: &SimulatedRun| ActiveRun {
                    task: run.task,
                    run: run.run,
                    percent: run.percent(now),
                    ..ActiveRun::default()
                };
                let listing = Listing {
                    incarnation: Some(1),
                    clock: now.as_micros() / 1000,
                    running: worker.runs.iter().map(running).collect(),
                    ended: worker.ended.clone(),
                    truncated: false,
                };
                outcomes.push((order, sent_at, Outcome::Listed(listing)));
            }
        }
        for (order, sent_at, outcome) in outcomes {
            self.timed(|board, now| board.on_outcome(now, &order, sent_at, outcome));
        }
        for output in self.timed(Board::drain) {
            match output {
                Output::Order(order) => self.execute(&order),
                Output::Answer { reply_to, end } => self.answer(reply_to, end),
                Output::RecordEnds { .. } | Output::Propose(_) => {
                    panic!("a board without stored jobs and leaving targets must not write to the log")
                }
            }
        }
    }

    fn execute(&mut self, order: &Order) {
        let now = self.now;
        let clock = now.as_micros() / 1000;
        let worker = self.workers.get_mut(&order.id).expect("orders go to known workers only");
        match order.kind.clone() {
            OrderKind::Start { task, run, .. } => {
                let work = self.arrivals.get(&task.job.0).map_or(1.0, |arrival| arrival.work);
                let uneven = f64::from(self.rng.random_range(80..121)) / 100.0;
                let place = worker.index as f64 / self.scenario.targets as f64;
                let second = now.as_micros() as f64 / 1e6;
                let within = |range: (f64, f64), at: f64| range.0 <= at && at < range.1;
                let mut trouble = self.scenario.troubles.iter();
                let trouble = trouble.find(|it| within(it.seconds, second) && within(it.targets, place));
                let (length, run_end) = match trouble.map(|it| it.kind) {
                    Some(TroubleKind::Slow(factor)) => (work * uneven * worker.time_ratio * factor, RunEnd::Done),
                    Some(TroubleKind::Fail) => (5.0, RunEnd::Failed),
                    None => (work * uneven * worker.time_ratio, RunEnd::Done),
                };
                let ends = now + Duration::from_millis(length as u64);
                worker.runs.push(SimulatedRun { task, run, began: now, ends, run_end });
                self.result.starts += 1;
                self.timed(|board, now| board.on_outcome(now, order, now, Outcome::Done { clock }));
            }
            OrderKind::Stop { task, .. } => {
                worker.runs.iter_mut().filter(|run| run.task == task).for_each(|run| {
                    (run.ends, run.run_end) = (now, RunEnd::Stopped);
                });
                self.timed(|board, now| board.on_outcome(now, order, now, Outcome::Done { clock }));
            }
            OrderKind::Renew { seen, wait, .. } => {
                worker.ended.retain(|end| end.number > seen);
                worker.renewal = Some((order.clone(), now, now + wait));
            }
        }
    }

    fn answer(&mut self, reply_to: u64, end: JobEnd) {
        let arrival = self.arrivals.remove(&reply_to).expect("each job is answered once");
        let timely = self.now - arrival.at <= arrival.goal;
        assert!(!self.board.has_job(JobId(reply_to)), "the board must remove an answered job");
        let held = self.now - arrival.at > arrival.goal / 4;
        let may_fail = self.scenario.troubles.iter().any(|trouble| matches!(trouble.kind, TroubleKind::Fail));
        self.record(&arrival, |tally| match end {
            JobEnd::Completed if timely => tally.timely += 1,
            JobEnd::Completed => tally.late += 1,
            JobEnd::Failed if may_fail => tally.failed += 1,
            JobEnd::Failed => panic!("no run of this simulation fails"),
            JobEnd::Refused(_) => {
                tally.refused += 1;
                tally.held += usize::from(held);
            }
        });
    }
}

fn queue() -> Queue {
    Queue { name: "q".to_owned(), pool: "pool".to_owned(), attempts: 2, stretch: 1.6, slack: 60, ..Queue::default() }
}
