//! Baseline policies for comparison. All but the shared FIFO queue tasks at the targets.

use super::trace::Trace;
use super::{AttemptResult, Order, Policy};
use mangogw_model::Time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of hosts that accept tasks; each host counts only its own tasks.
const HOSTS: usize = 6;
/// Interval at which hosts refresh their counts of other hosts' tasks.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum tries of a task.
const MAX_TRIES: u8 = 3;

/// Rule by which a baseline policy selects a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    Random,
    RoundRobin,
    /// The target with the fewest tasks in flight of the host itself.
    LeastInFlight,
    /// The less loaded of two random targets, by counts up to `REFRESH_INTERVAL` old.
    TwoChoices,
    /// One queue for all hosts; a target with a free slot takes the first task.
    SharedFifo,
}

impl Baseline {
    pub const ALL: [Self; 5] =
        [Self::Random, Self::RoundRobin, Self::LeastInFlight, Self::TwoChoices, Self::SharedFifo];

    pub const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least in flight, local knowledge",
            Self::TwoChoices => "two choices, stale knowledge",
            Self::SharedFifo => "one shared FIFO",
        }
    }
}

/// Policy that places tasks by a fixed rule.
#[derive(Debug)]
pub struct BaselinePolicy {
    baseline: Baseline,
    rng: Pcg64Mcg,
    slots: Vec<usize>,
    /// Tasks in flight by host, then by target.
    local: Vec<Vec<u32>>,
    /// Tasks in flight of all hosts by target, as of the last refresh.
    known: Vec<u32>,
    /// Time of the next refresh.
    refresh: Time,
    /// Target of the last round-robin start, by host.
    last_targets: Vec<usize>,
    queue: VecDeque<u32>,
    /// Task and host by attempt.
    attempts: Vec<(u32, usize)>,
    /// Tries so far, by task.
    tries: Vec<u8>,
    orders: Vec<Order>,
    wasted_messages: u64,
}

impl BaselinePolicy {
    pub fn open(baseline: Baseline, trace: &Trace) -> Self {
        let count = trace.targets.len();
        Self {
            baseline,
            rng: Pcg64Mcg::seed_from_u64(trace.seed),
            slots: trace.targets.iter().map(|row| row.slots).collect(),
            local: vec![vec![0; count]; HOSTS],
            known: vec![0; count],
            refresh: Time::ZERO,
            last_targets: (0..HOSTS).map(|host| host * count / HOSTS).collect(),
            queue: VecDeque::new(),
            attempts: Vec::new(),
            tries: vec![0; trace.arrivals.len()],
            orders: Vec::new(),
            wasted_messages: 0,
        }
    }

    fn place(&mut self, now: Time, task: u32) {
        let host = task as usize % HOSTS;
        let count = self.slots.len();
        let target = match self.baseline {
            Baseline::Random => self.rng.random_range(0..count),
            Baseline::RoundRobin => {
                self.last_targets[host] = (self.last_targets[host] + 1) % count;
                self.last_targets[host]
            }
            Baseline::LeastInFlight => {
                let from = self.rng.random_range(0..count);
                let order = (0..count).map(|at| (at + from) % count);
                order.min_by_key(|&at| self.local[host][at]).unwrap_or(0)
            }
            Baseline::TwoChoices => {
                self.refresh_counts(now);
                let (first, second) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
                if self.known[first] <= self.known[second] { first } else { second }
            }
            Baseline::SharedFifo => {
                self.queue.push_back(task);
                return self.start_shared();
            }
        };
        self.send(task, target);
    }

    /// Refreshes the counts of all hosts once they are due; each target sends one message to each host.
    fn refresh_counts(&mut self, now: Time) {
        if now < self.refresh {
            return;
        }
        self.refresh = now + REFRESH_INTERVAL;
        for at in 0..self.known.len() {
            self.known[at] = self.local.iter().map(|counts| counts[at]).sum();
        }
        self.wasted_messages += (self.known.len() * HOSTS) as u64;
    }

    /// Starts tasks of the shared queue while targets have free slots.
    fn start_shared(&mut self) {
        let count = self.slots.len();
        while let Some(&task) = self.queue.front() {
            let from = self.rng.random_range(0..count);
            let free = |at: &usize| self.local[0][*at] < self.slots[*at] as u32;
            let Some(target) = (0..count).map(|at| (at + from) % count).find(free) else { return };
            self.queue.pop_front();
            self.send(task, target);
        }
    }

    fn send(&mut self, task: u32, target: usize) {
        let host = if self.baseline == Baseline::SharedFifo { 0 } else { task as usize % HOSTS };
        self.local[host][target] += 1;
        self.tries[task as usize] += 1;
        self.attempts.push((task, host));
        let attempt = self.attempts.len() as u64 - 1;
        self.orders.push(Order::Start { task, attempt, target: target as u32 });
    }
}

impl Policy for BaselinePolicy {
    fn on_arrival(&mut self, now: Time, _trace: &Trace, task: u32) {
        self.place(now, task);
    }

    fn on_reply(&mut self, now: Time, attempt: u64, target: u32, result: AttemptResult) {
        let (task, host) = self.attempts[attempt as usize];
        self.local[host][target as usize] -= 1;
        match result {
            AttemptResult::Answered => self.orders.push(Order::End { task, answered: true }),
            AttemptResult::Failed if self.tries[task as usize] < MAX_TRIES => {
                self.wasted_messages += 1;
                self.place(now, task);
            }
            AttemptResult::Failed => {
                self.wasted_messages += 1;
                self.orders.push(Order::End { task, answered: false });
            }
        }
        if self.baseline == Baseline::SharedFifo {
            self.start_shared();
        }
    }

    fn tick(&mut self, _now: Time) {}

    fn next_wakeup(&self) -> Option<Time> {
        None
    }

    fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    fn wasted_messages(&self) -> u64 {
        self.wasted_messages
    }
}
