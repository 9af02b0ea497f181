//! Plays traces of jobs against one board whose targets answer at once. Arrivals and run times come from a fixed seed;
//! the run times are the true ones, of which the board has only estimates.

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

/// How long a client waits.
const PATIENCE: Duration = Duration::from_secs(6);

/// Tasks, milliseconds of work, and jobs a second of a kind, at a load of 1.
pub type Kind = (u32, u64, f64);

/// What is played.
#[derive(Debug, Clone)]
pub struct Scene {
    pub targets: usize,
    /// Room and run time over work of each target, in turn.
    pub makes: Vec<(u64, f64)>,
    pub kinds: Vec<Kind>,
    /// The least and the most that a task needs, in thousandths of a core.
    pub cpu: (u64, u64),
    /// True where widths and works of a kind differ from job to job.
    pub varied: bool,
}

struct Live {
    task: TaskId,
    run: RunNumber,
    ends: Time,
}

#[derive(Default)]
struct Worker {
    time_ratio: f64,
    live: Vec<Live>,
    count: u64,
    ended: Vec<EndedRun>,
    renewal: Option<(Order, Time, Time)>,
}

struct Came {
    at: Time,
    goal: Duration,
    work: f64,
}

/// What became of the jobs that came within a stretch of time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub timely: usize,
    pub late: usize,
    pub refused: usize,
    /// Dropped after a start, because its client waits no longer.
    pub lost: usize,
}

impl Tally {
    pub const fn count(&self) -> usize {
        self.timely + self.late + self.refused + self.lost
    }

    /// In thousandths of all that came.
    pub fn share(&self) -> Self {
        let part = |count: usize| count * 1000 / self.count().max(1);
        Self { timely: part(self.timely), late: part(self.late), refused: part(self.refused), lost: part(self.lost) }
    }

    /// A late answer is worth a fifth of one in time.
    pub const fn worth(&self) -> usize {
        self.timely + self.late / 5
    }
}

/// What came of a trace.
#[derive(Debug, Default)]
pub struct Played {
    /// By the second in which jobs came.
    pub seconds: Vec<Tally>,
    /// Processor time that the board took, by second.
    pub spent: Vec<Duration>,
    pub starts: usize,
}

impl Played {
    pub fn all(&self) -> Tally {
        self.from(0)
    }

    /// Of the jobs that came from the given second on.
    pub fn from(&self, second: usize) -> Tally {
        self.seconds[second..].iter().fold(Tally::default(), |a, b| Tally {
            timely: a.timely + b.timely,
            late: a.late + b.late,
            refused: a.refused + b.refused,
            lost: a.lost + b.lost,
        })
    }
}

pub struct Replay {
    scene: Scene,
    board: Board,
    now: Time,
    rng: Pcg64Mcg,
    workers: BTreeMap<String, Worker>,
    came: BTreeMap<u64, Came>,
    played: Played,
}

impl Replay {
    pub fn new(seed: u64, scene: Scene) -> Self {
        let set = QueueSet { queues: vec![queue()], ..QueueSet::default() };
        let ledger = Ledger { queue_set: Some(Arc::new(set)), ..Ledger::default() };
        let now = Time::from_millis(1);
        let mut board = Board::open(Settings::default(), 1, &ledger, now);
        let mut workers = BTreeMap::new();
        for index in 0..scene.targets {
            let id = format!("w{index}");
            let (cpu, time_ratio) = scene.makes[index % scene.makes.len()];
            let report = TargetReport {
                id: id.clone(),
                incarnation: 1,
                sequence: 1,
                pool: "pool".to_owned(),
                address: "10.0.0.1:80".parse().unwrap(),
                zone: Zone::from("a"),
                labels: vec![format!("kind-{}", index % scene.makes.len())],
                resources: Resources { cpu, memory: 32_000, accelerators: 0 },
                state: TargetState::Ready,
            };
            board.on_report(now, &report);
            workers.insert(id, Worker { time_ratio, ..Worker::default() });
        }
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { scene, board, now, rng, workers, came: BTreeMap::new(), played: Played::default() }
    }

    /// Plays a load for each second, and then nothing until all is done.
    pub fn play(mut self, loads: &[f64]) -> Played {
        let end = self.now + Duration::from_secs(loads.len() as u64);
        let mut next: Vec<Time> = self.scene.kinds.iter().map(|_| self.now).collect();
        let mut id = 0;
        while self.now < end + Duration::from_secs(8) {
            let load = loads.get((self.now.as_micros() / 1_000_000) as usize).copied().unwrap_or_default();
            for (kind, due) in next.iter_mut().enumerate() {
                while self.now >= *due && self.now < end {
                    let rate = (self.scene.kinds[kind].2 * load).max(1e-3);
                    *due += Duration::from_secs_f64(-self.rng.random::<f64>().max(1e-9).ln() / rate);
                    id += 1;
                    self.submit(id, kind);
                }
            }
            self.turn();
            self.now += Duration::from_millis(1);
        }
        for came in std::mem::take(&mut self.came).into_values() {
            assert!(self.now - came.at > PATIENCE, "a job has no answer");
            self.tally(came.at).lost += 1;
        }
        self.played
    }

    fn tally(&mut self, came: Time) -> &mut Tally {
        let second = (came.as_micros() / 1_000_000) as usize;
        if self.played.seconds.len() <= second {
            self.played.seconds.resize(second + 1, Tally::default());
        }
        &mut self.played.seconds[second]
    }

    /// About 1, spread by `by` either way.
    fn around(&mut self, by: f64) -> f64 {
        (by * (self.rng.random::<f64>() + self.rng.random::<f64>() - 1.0) * 2.45).exp()
    }

    fn submit(&mut self, id: u64, kind: usize) {
        let (mut count, work, _) = self.scene.kinds[kind];
        let mut work = work as f64;
        if self.scene.varied {
            work *= self.around(0.4);
            count = (f64::from(count) * self.around(0.4)).round().max(1.0) as u32;
        }
        let estimate = match self.scene.varied {
            true => work * self.around(0.4),
            false => work * f64::from(self.rng.random_range(70..140)) / 100.0,
        };
        let (least, most) = self.scene.cpu;
        let cpu = if least == most { least } else { self.rng.random_range(least..=most) };
        let need = Resources { cpu, memory: 64, accelerators: 0 };
        let step = Step { count, need, estimate: estimate as u64, ..Step::default() };
        let spec = Arc::new(JobSpec { steps: vec![step], transient: true, ..JobSpec::default() });
        let goal = Duration::from_millis((work * 1.6) as u64 + 60);
        self.came.insert(id, Came { at: self.now, goal, work });
        let deadline = Some(self.now + PATIENCE);
        let submission = Submission { id: JobId(id), spec, deadline, reply_to: id, first_attempt: true };
        self.board(|board, now| board.admit(now, submission, &queue()));
    }

    /// Gives the board an input and counts the time that it takes.
    fn board<T>(&mut self, input: impl FnOnce(&mut Board, Time) -> T) -> T {
        let began = Instant::now();
        let out = input(&mut self.board, self.now);
        let second = (self.now.as_micros() / 1_000_000) as usize;
        if self.played.spent.len() <= second {
            self.played.spent.resize(second + 1, Duration::ZERO);
        }
        self.played.spent[second] += began.elapsed();
        out
    }

    fn turn(&mut self) {
        let now = self.now;
        if now.as_micros().is_multiple_of(10_000) {
            self.board(Board::on_tick);
        }
        let mut outcomes = Vec::new();
        for worker in self.workers.values_mut() {
            let (over, live): (Vec<_>, Vec<_>) =
                std::mem::take(&mut worker.live).into_iter().partition(|run| run.ends <= now);
            worker.live = live;
            for run in over {
                worker.count += 1;
                let Live { task, run, .. } = run;
                let number = worker.count;
                worker.ended.push(EndedRun { number, task, run, run_end: RunEnd::Done, checkpoint: String::new() });
            }
            let due = worker.renewal.take_if(|(_, _, until)| !worker.ended.is_empty() || now >= *until);
            if let Some((order, asked, _)) = due {
                let percent = (now.as_micros() / 10_000 % 100) as u32;
                let running = |run: &Live| ActiveRun { task: run.task, run: run.run, percent, ..ActiveRun::default() };
                let listing = Listing {
                    incarnation: Some(1),
                    clock: now.as_micros() / 1000,
                    running: worker.live.iter().map(running).collect(),
                    ended: worker.ended.clone(),
                };
                outcomes.push((order, asked, Outcome::Listed(listing)));
            }
        }
        for (order, asked, outcome) in outcomes {
            self.board(|board, now| board.on_outcome(now, &order, asked, outcome));
        }
        for output in self.board(Board::drain) {
            match output {
                Output::Order(order) => self.carry(&order),
                Output::Answer { reply_to, end } => self.answer(reply_to, end),
                Output::RecordEnds { .. } | Output::Propose(_) => {
                    panic!("nothing is stored, no target leaves")
                }
            }
        }
    }

    fn carry(&mut self, order: &Order) {
        let now = self.now;
        let clock = now.as_micros() / 1000;
        let worker = self.workers.get_mut(&order.id).expect("workers only");
        match order.kind.clone() {
            OrderKind::Start { task, run, .. } => {
                let work = self.came.get(&task.job.0).map_or(1.0, |came| came.work);
                let uneven = f64::from(self.rng.random_range(80..121)) / 100.0;
                let length = work * uneven * worker.time_ratio;
                worker.live.push(Live { task, run, ends: now + Duration::from_millis(length as u64) });
                self.played.starts += 1;
                self.board(|board, now| board.on_outcome(now, order, now, Outcome::Done { clock }));
            }
            OrderKind::Stop { task, .. } => {
                worker.live.iter_mut().filter(|live| live.task == task).for_each(|live| live.ends = now);
                self.board(|board, now| board.on_outcome(now, order, now, Outcome::Done { clock }));
            }
            OrderKind::Renew { seen, wait, .. } => {
                worker.ended.retain(|end| end.number > seen);
                worker.renewal = Some((order.clone(), now, now + wait));
            }
        }
    }

    fn answer(&mut self, reply_to: u64, end: JobEnd) {
        let came = self.came.remove(&reply_to).expect("each job is answered once");
        let timely = self.now - came.at <= came.goal;
        assert!(!self.board.has_job(JobId(reply_to)), "an answered job is gone");
        let tally = self.tally(came.at);
        match end {
            JobEnd::Completed if timely => tally.timely += 1,
            JobEnd::Completed => tally.late += 1,
            JobEnd::Failed => panic!("nothing fails here"),
            JobEnd::Refused(_) => tally.refused += 1,
        }
    }
}

fn queue() -> Queue {
    Queue { name: "q".to_owned(), pool: "pool".to_owned(), attempts: 2, stretch: 1.6, slack: 60, ..Queue::default() }
}
