//! Random traces (arrival times, sizes and declared run times of tasks, and targets with their speeds and faults), and
//! the omniscient central queue that serves as the ideal.

use super::{Fault, Outcome};
use mangogw_model::{Class, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Targets and network delays of a simulated deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub targets: usize,
    pub slots: usize,
    /// One-way delay to a target in the same zone.
    pub near: Duration,
    /// Additional one-way delay to a target in another zone.
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

/// Traffic of one owner and class.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub owner: &'static str,
    pub class: Class,
    pub weight: u32,
    /// Offered load as a fraction of the capacity of all targets.
    pub load: f64,
    /// One in `long_divisor` tasks runs for several seconds; 0 for none.
    pub long_divisor: u32,
    pub deadline: Duration,
}

/// Stream that makes up all traffic of a trace, with deadlines that never bind.
pub const PLAIN_STREAM: Stream = Stream {
    owner: "team",
    class: Class::Normal,
    weight: 1,
    load: 0.7,
    long_divisor: 50,
    deadline: Duration::from_mins(10),
};

/// Properties of a simulated target.
#[derive(Debug, Clone, Copy)]
pub struct FakeTarget {
    /// Speed relative to the median target.
    pub speed: f64,
    pub slots: usize,
    pub zone: usize,
    /// Fault and the time at which it begins.
    pub fault: Option<(Time, Fault)>,
}

/// Task of a trace, with its arrival time.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Time,
    pub stream: usize,
    /// Run time on a target of speed 1, in microseconds.
    pub size: f64,
    /// Declared run time, in milliseconds.
    pub hint: u64,
}

/// Targets and arrivals of one simulation.
#[derive(Debug, Clone)]
pub struct Trace {
    pub seed: u64,
    pub deployment: Deployment,
    pub streams: Vec<Stream>,
    pub targets: Vec<FakeTarget>,
    pub arrivals: Vec<Arrival>,
    /// End of the warm-up; earlier arrivals are not measured, as targets and speeds are not known yet.
    pub warmup_end: Time,
    /// Time after which no task arrives.
    pub last_arrival: Time,
    /// End of the simulation.
    pub end: Time,
}

/// Median of `2^x` for `x` uniform from 0 to 3.
const MEDIAN_SPEED: f64 = 2.828_427;

impl Trace {
    /// Generates a trace with a measured part of `seconds` seconds after a warm-up of `warmup` seconds.
    pub fn open(seed: u64, deployment: Deployment, streams: &[Stream], warmup: u64, seconds: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let count = deployment.targets;
        let targets: Vec<_> = (0..count)
            .map(|at| FakeTarget {
                // Speeds are log-uniform from 1 to 8 for every seed, relative to the median.
                speed: 8f64.powf(((at * 7) % count) as f64 / (count - 1) as f64) / MEDIAN_SPEED,
                slots: deployment.slots,
                zone: at % 3,
                fault: None,
            })
            .collect();
        let capacity: f64 = targets.iter().map(|row| row.speed * row.slots as f64).sum();
        let warmup_end = Time::from_millis(warmup * 1_000);
        let last_arrival = warmup_end + Duration::from_secs(seconds);
        let mut arrivals = Vec::new();
        for (at, stream) in streams.iter().enumerate() {
            let rate = stream.load * capacity / (mean_size(stream) / 1e6);
            let mut now = 0.0;
            loop {
                now -= (1.0 - rng.random::<f64>()).ln() / rate;
                let time = Time::from_micros((now * 1e6) as u64);
                if time > last_arrival {
                    break;
                }
                let long = stream.long_divisor > 0 && rng.random_range(0..stream.long_divisor) == 0;
                let size = if long { rng.random_range(2e6..6e6) } else { 50e3 * 20f64.powf(rng.random::<f64>()) };
                let hint = size / 1e3 * 0.2 * 25f64.powf(rng.random::<f64>());
                arrivals.push(Arrival { at: time, stream: at, size, hint: (hint as u64).max(1) });
            }
        }
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.stream));
        let end = last_arrival + Duration::from_mins(2);
        Self { seed, deployment, streams: streams.to_vec(), targets, arrivals, warmup_end, last_arrival, end }
    }

    /// Returns the work that all targets together do in a second, in seconds at speed 1.
    pub fn capacity(&self) -> f64 {
        self.targets.iter().map(|row| row.speed * row.slots as f64).sum()
    }

    /// Adds faults of targets, by number, that begin at `at`.
    pub fn with_faults(mut self, at: Time, faults: &[(usize, Fault)]) -> Self {
        for &(target, fault) in faults {
            self.targets[target].fault = Some((at, fault));
        }
        self
    }

    /// Returns the fault of a target at `now`, `None` while it works.
    pub fn fault(&self, target: u32, now: Time) -> Option<Fault> {
        self.targets[target as usize].fault.filter(|(at, _)| *at <= now).map(|(_, fault)| fault)
    }

    /// Returns the one-way delay to a target.
    pub fn delay(&self, target: u32) -> Duration {
        let far = if self.targets[target as usize].zone == 0 { Duration::ZERO } else { self.deployment.far };
        self.deployment.near + far
    }

    /// Returns the run time of a task on a target, `None` if the target is silent and never reports the end.
    pub fn run_time(&self, target: u32, task: u32, now: Time) -> Option<Duration> {
        let factor = match self.fault(target, now) {
            Some(Fault::Silent) => return None,
            Some(Fault::Slow(factor)) => factor,
            _ => 1.0,
        };
        let speed = self.targets[target as usize].speed;
        Some(Duration::from_micros((self.arrivals[task as usize].size / speed * factor) as u64))
    }

    /// Returns the least possible response time of a task, in microseconds.
    pub fn ideal(&self, task: u32) -> f64 {
        let fastest = self.targets.iter().map(|row| row.speed).fold(0.0, f64::max);
        self.arrivals[task as usize].size / fastest + 2.0 * self.deployment.near.as_micros() as f64
    }

    /// Returns the tasks that arrive after the warm-up, by number.
    pub fn measured(&self) -> impl Iterator<Item = u32> {
        let from = self.arrivals.partition_point(|arrival| arrival.at < self.warmup_end);
        from as u32..self.arrivals.len() as u32
    }

    /// Returns the slowdowns (response time over the ideal) of the measured tasks that were answered, sorted.
    pub fn slowdowns(&self, out: &Outcome) -> Vec<f64> {
        let mut list: Vec<_> = self
            .measured()
            .filter_map(|task| {
                let (end, answered) = out.ends[task as usize]?;
                let response_time = (end - self.arrivals[task as usize].at).as_micros() as f64;
                answered.then(|| response_time / self.ideal(task))
            })
            .collect();
        list.sort_by(f64::total_cmp);
        list
    }

    /// Simulates a central queue that knows all run times and speeds and binds each task to the slot where it ends
    /// first. The queue uses only the fastest targets, in the number, of all tried, that gives the least p99 slowdown.
    pub fn omniscient(&self) -> Outcome {
        let count = self.targets.len();
        let tried = (count / 5..=count).rev().step_by((count / 12).max(1));
        let outcomes = tried.map(|used| self.central_queue(used));
        let p99 = |out: &Outcome| quantile(&self.slowdowns(out), 0.99);
        outcomes.min_by(|a, b| p99(a).total_cmp(&p99(b))).expect("the trace has targets")
    }

    /// Simulates the omniscient central queue on the `used` fastest targets.
    fn central_queue(&self, used: usize) -> Outcome {
        let mut order: Vec<_> = (0..self.targets.len()).collect();
        order.sort_by(|&a, &b| self.targets[b].speed.total_cmp(&self.targets[a].speed));
        let fastest = order.into_iter().take(used);
        // Each target with its delay in microseconds and the times at which its slots become free, earliest first.
        let mut targets: Vec<(usize, f64, BinaryHeap<Reverse<u64>>)> = fastest
            .map(|at| {
                let delay = self.delay(at as u32).as_micros() as f64;
                (at, delay, std::iter::repeat_n(Reverse(0), self.targets[at].slots).collect())
            })
            .collect();
        let ends = self.arrivals.iter().map(|arrival| {
            let now = arrival.at.as_micros() as f64;
            let end = |at: usize, delay: f64, slots: &BinaryHeap<Reverse<u64>>| {
                let free = slots.peek().map_or(0.0, |Reverse(free)| *free as f64);
                free.max(now + delay) + arrival.size / self.targets[at].speed
            };
            let (at, delay, slots) = targets
                .iter_mut()
                .min_by(|a, b| (end(a.0, a.1, &a.2) + a.1).total_cmp(&(end(b.0, b.1, &b.2) + b.1)))
                .expect("the trace has targets");
            let end = end(*at, *delay, slots);
            slots.pop();
            slots.push(Reverse(end as u64));
            Some((Time::from_micros((end + *delay) as u64), true))
        });
        Outcome { ends: ends.collect(), ..Outcome::default() }
    }
}

/// Returns the mean task size of a stream, in microseconds.
fn mean_size(stream: &Stream) -> f64 {
    let short = 950e3 / 20f64.ln();
    match stream.long_divisor {
        0 => short,
        divisor => short + (4e6 - short) / f64::from(divisor),
    }
}

/// Returns the `q` quantile of a sorted list, NaN if the list is empty.
pub fn quantile(sorted: &[f64], q: f64) -> f64 {
    let at = (sorted.len() as f64 * q) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}
