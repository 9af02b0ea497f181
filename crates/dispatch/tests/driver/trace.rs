//! Traces: when tasks come, how large they are, what they declare, and the targets they meet.

use super::{Fault, Outcome};
use mangogw_model::{Class, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// One of the two deployments.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub targets: usize,
    pub slots: usize,
    /// One way, to a target in the same zone.
    pub near: Duration,
    /// One way, on top of it to another zone.
    pub far: Duration,
}

pub const CANDLE_DESK: Deployment = Deployment {
    name: "candle-desk",
    targets: 50,
    slots: 8,
    near: Duration::from_micros(250),
    far: Duration::from_millis(1),
};

pub const FOLDPLAN: Deployment = Deployment { name: "foldplan", far: Duration::from_micros(500), ..CANDLE_DESK };

/// One kind of traffic.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub owner: &'static str,
    pub class: Class,
    pub weight: u32,
    /// The part of the capacity it asks for.
    pub load: f64,
    /// One of so many tasks takes several seconds; 0: none does.
    pub long: u32,
    pub deadline: Duration,
}

/// All traffic in one stream, with deadlines that never bind.
pub const PLAIN_STREAM: Stream =
    Stream { owner: "team", class: Class::Normal, weight: 1, load: 0.7, long: 50, deadline: Duration::from_mins(10) };

#[derive(Debug, Clone, Copy)]
pub struct FakeTarget {
    pub speed: f64,
    pub slots: usize,
    pub zone: usize,
    pub fault: Option<(Time, Fault)>,
}

#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Time,
    pub stream: usize,
    /// Its run time on a target of speed 1, in microseconds.
    pub size: f64,
    /// What it declares, in milliseconds.
    pub hint: u64,
}

#[derive(Debug, Clone)]
pub struct Trace {
    pub seed: u64,
    pub deployment: Deployment,
    pub streams: Vec<Stream>,
    pub targets: Vec<FakeTarget>,
    pub arrivals: Vec<Arrival>,
    /// What came before it is not measured: targets and speeds are not known yet.
    pub warm: Time,
    /// The last arrival.
    pub last: Time,
    pub end: Time,
}

/// The mean of `2^x` for `x` even from 0 to 3, over the speed in the middle.
const MEDIAN_SPEED: f64 = 2.828_427;

impl Trace {
    /// Draws a trace of `seconds` after `warm` seconds.
    pub fn open(seed: u64, deployment: Deployment, streams: &[Stream], warm: u64, seconds: u64) -> Self {
        let mut draw = Pcg64Mcg::seed_from_u64(seed);
        let many = deployment.targets;
        let targets: Vec<_> = (0..many)
            .map(|at| FakeTarget {
                // Spread evenly over 1 to 8, whatever the seed, relative to the one in the middle.
                speed: 8f64.powf(((at * 7) % many) as f64 / (many - 1) as f64) / MEDIAN_SPEED,
                slots: deployment.slots,
                zone: at % 3,
                fault: None,
            })
            .collect();
        let capacity: f64 = targets.iter().map(|row| row.speed * row.slots as f64).sum();
        let warm = Time::from_millis(warm * 1_000);
        let last = warm + Duration::from_secs(seconds);
        let mut arrivals = Vec::new();
        for (at, stream) in streams.iter().enumerate() {
            let rate = stream.load * capacity / (mean_size(stream) / 1e6);
            let mut now = 0.0;
            loop {
                now -= (1.0 - draw.random::<f64>()).ln() / rate;
                let time = Time::from_micros((now * 1e6) as u64);
                if time > last {
                    break;
                }
                let long = stream.long > 0 && draw.random_range(0..stream.long) == 0;
                let size = if long { draw.random_range(2e6..6e6) } else { 50e3 * 20f64.powf(draw.random::<f64>()) };
                let hint = size / 1e3 * 0.2 * 25f64.powf(draw.random::<f64>());
                arrivals.push(Arrival { at: time, stream: at, size, hint: (hint as u64).max(1) });
            }
        }
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.stream));
        let end = last + Duration::from_mins(2);
        Self { seed, deployment, streams: streams.to_vec(), targets, arrivals, warm, last, end }
    }

    /// What all targets together do in a second, in seconds of speed 1.
    pub fn capacity(&self) -> f64 {
        self.targets.iter().map(|row| row.speed * row.slots as f64).sum()
    }

    /// Lets targets misbehave from `at` on.
    pub fn with_faults(mut self, at: Time, faults: &[(usize, Fault)]) -> Self {
        for &(target, fault) in faults {
            self.targets[target].fault = Some((at, fault));
        }
        self
    }

    pub fn fault(&self, target: u32, now: Time) -> Option<Fault> {
        self.targets[target as usize].fault.filter(|(at, _)| *at <= now).map(|(_, fault)| fault)
    }

    pub fn delay(&self, target: u32) -> Duration {
        let far = if self.targets[target as usize].zone == 0 { Duration::ZERO } else { self.deployment.far };
        self.deployment.near + far
    }

    /// How long a task runs on a target; `None` if it is never heard of again.
    pub fn run_time(&self, target: u32, task: u32, now: Time) -> Option<Duration> {
        let slower = match self.fault(target, now) {
            Some(Fault::Silent) => return None,
            Some(Fault::Slow(times)) => times,
            _ => 1.0,
        };
        let speed = self.targets[target as usize].speed;
        Some(Duration::from_micros((self.arrivals[task as usize].size / speed * slower) as u64))
    }

    /// The least time in which a task can be answered.
    pub fn ideal(&self, task: u32) -> f64 {
        let fastest = self.targets.iter().map(|row| row.speed).fold(0.0, f64::max);
        self.arrivals[task as usize].size / fastest + 2.0 * self.deployment.near.as_micros() as f64
    }

    /// The tasks that are measured.
    pub fn measured(&self) -> impl Iterator<Item = u32> {
        let from = self.arrivals.partition_point(|arrival| arrival.at < self.warm);
        from as u32..self.arrivals.len() as u32
    }

    /// Response time over the ideal, sorted, of the measured tasks that were answered.
    pub fn slowdowns(&self, out: &Outcome) -> Vec<f64> {
        let mut list: Vec<_> = self
            .measured()
            .filter_map(|task| {
                let (end, answered) = out.ends[task as usize]?;
                let took = (end - self.arrivals[task as usize].at).as_micros() as f64;
                answered.then(|| took / self.ideal(task))
            })
            .collect();
        list.sort_by(f64::total_cmp);
        list
    }

    /// A central queue that knows every run time and every speed, binds each task to the place where it ends first, and
    /// knows in hindsight how many of the fastest targets it had best used: of all numbers tried, the one with the least
    /// p99 of the slowdown.
    pub fn omniscient(&self) -> Outcome {
        let many = self.targets.len();
        let tried = (many / 5..=many).rev().step_by((many / 12).max(1));
        let outcomes = tried.map(|used| self.central(used));
        let worst = |out: &Outcome| quantile(&self.slowdowns(out), 0.99);
        outcomes.min_by(|one, two| worst(one).total_cmp(&worst(two))).expect("there are targets")
    }

    /// A central queue that knows all and uses so many of the fastest targets.
    fn central(&self, used: usize) -> Outcome {
        let mut order: Vec<_> = (0..self.targets.len()).collect();
        order.sort_by(|&a, &b| self.targets[b].speed.total_cmp(&self.targets[a].speed));
        let groups = order.into_iter().take(used);
        // For each target, when its places are free, the earliest first.
        let mut targets: Vec<(usize, f64, BinaryHeap<Reverse<u64>>)> = groups
            .map(|at| {
                let delay = self.delay(at as u32).as_micros() as f64;
                (at, delay, std::iter::repeat_n(Reverse(0), self.targets[at].slots).collect())
            })
            .collect();
        let ends = self.arrivals.iter().map(|arrival| {
            let now = arrival.at.as_micros() as f64;
            let end = |at: usize, delay: f64, places: &BinaryHeap<Reverse<u64>>| {
                let free = places.peek().map_or(0.0, |Reverse(free)| *free as f64);
                free.max(now + delay) + arrival.size / self.targets[at].speed
            };
            let (at, delay, places) = targets
                .iter_mut()
                .min_by(|a, b| (end(a.0, a.1, &a.2) + a.1).total_cmp(&(end(b.0, b.1, &b.2) + b.1)))
                .expect("there are targets");
            let end = end(*at, *delay, places);
            places.pop();
            places.push(Reverse(end as u64));
            Some((Time::from_micros((end + *delay) as u64), true))
        });
        Outcome { ends: ends.collect(), ..Outcome::default() }
    }
}

/// The mean size of a stream's tasks in microseconds.
fn mean_size(stream: &Stream) -> f64 {
    let short = 950e3 / 20f64.ln();
    match stream.long {
        0 => short,
        long => short + (4e6 - short) / f64::from(long),
    }
}

/// The value below which a share `q` of a sorted list stays.
pub fn quantile(sorted: &[f64], q: f64) -> f64 {
    let at = (sorted.len() as f64 * q) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}
