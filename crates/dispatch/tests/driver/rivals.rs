//! Other ways to place tasks, for comparison. All but one queue at the targets.

use super::trace::Trace;
use super::{AttemptResult, Order, Policy};
use mangogw_model::Time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;

/// Entry hosts; each knows of its own tasks only.
const HOSTS: usize = 6;
/// How old what is known of other hosts' tasks gets.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Tries of one task.
const MAX_TRIES: u8 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    Random,
    RoundRobin,
    /// The fewest tasks in flight, as the one host knows it.
    LeastInFlight,
    /// The better of two drawn targets, by counts that are refreshed now and then.
    TwoChoices,
    /// One queue for all; a target takes the first task when it has room.
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

#[derive(Debug)]
pub struct BaselinePolicy {
    way: Baseline,
    draw: Pcg64Mcg,
    slots: Vec<usize>,
    /// By host, then target: tasks in flight.
    local: Vec<Vec<u32>>,
    /// By target, as of the last refresh.
    known: Vec<u32>,
    refresh: Time,
    turn: Vec<usize>,
    queue: VecDeque<u32>,
    attempts: Vec<(u32, usize)>,
    tries: Vec<u8>,
    orders: Vec<Order>,
    wasted: u64,
}

impl BaselinePolicy {
    pub fn open(way: Baseline, trace: &Trace) -> Self {
        let many = trace.targets.len();
        Self {
            way,
            draw: Pcg64Mcg::seed_from_u64(trace.seed),
            slots: trace.targets.iter().map(|row| row.slots).collect(),
            local: vec![vec![0; many]; HOSTS],
            known: vec![0; many],
            refresh: Time::ZERO,
            turn: (0..HOSTS).map(|host| host * many / HOSTS).collect(),
            queue: VecDeque::new(),
            attempts: Vec::new(),
            tries: vec![0; trace.arrivals.len()],
            orders: Vec::new(),
            wasted: 0,
        }
    }

    fn place(&mut self, now: Time, task: u32) {
        let host = task as usize % HOSTS;
        let many = self.slots.len();
        let target = match self.way {
            Baseline::Random => self.draw.random_range(0..many),
            Baseline::RoundRobin => {
                self.turn[host] = (self.turn[host] + 1) % many;
                self.turn[host]
            }
            Baseline::LeastInFlight => {
                let from = self.draw.random_range(0..many);
                let order = (0..many).map(|at| (at + from) % many);
                order.min_by_key(|&at| self.local[host][at]).unwrap_or(0)
            }
            Baseline::TwoChoices => {
                self.learn(now);
                let (one, two) = (self.draw.random_range(0..many), self.draw.random_range(0..many));
                if self.known[one] <= self.known[two] { one } else { two }
            }
            Baseline::SharedFifo => {
                self.queue.push_back(task);
                return self.pull();
            }
        };
        self.send(task, target);
    }

    /// Brings the counts up to date; each target tells each host.
    fn learn(&mut self, now: Time) {
        if now < self.refresh {
            return;
        }
        self.refresh = now + REFRESH_INTERVAL;
        for at in 0..self.known.len() {
            self.known[at] = self.local.iter().map(|counts| counts[at]).sum();
        }
        self.wasted += (self.known.len() * HOSTS) as u64;
    }

    fn pull(&mut self) {
        let many = self.slots.len();
        while let Some(&task) = self.queue.front() {
            let from = self.draw.random_range(0..many);
            let free = |at: &usize| self.local[0][*at] < self.slots[*at] as u32;
            let Some(target) = (0..many).map(|at| (at + from) % many).find(free) else { return };
            self.queue.pop_front();
            self.send(task, target);
        }
    }

    fn send(&mut self, task: u32, target: usize) {
        let host = if self.way == Baseline::SharedFifo { 0 } else { task as usize % HOSTS };
        self.local[host][target] += 1;
        self.tries[task as usize] += 1;
        self.attempts.push((task, host));
        let attempt = self.attempts.len() as u64 - 1;
        self.orders.push(Order::Start { task, attempt, target: target as u32 });
    }
}

impl Policy for BaselinePolicy {
    fn arrive(&mut self, now: Time, _trace: &Trace, task: u32) {
        self.place(now, task);
    }

    fn hear(&mut self, now: Time, attempt: u64, target: u32, said: AttemptResult) {
        let (task, host) = self.attempts[attempt as usize];
        self.local[host][target as usize] -= 1;
        match said {
            AttemptResult::Answered => self.orders.push(Order::End { task, answered: true }),
            AttemptResult::Failed if self.tries[task as usize] < MAX_TRIES => {
                self.wasted += 1;
                self.place(now, task);
            }
            AttemptResult::Failed => {
                self.wasted += 1;
                self.orders.push(Order::End { task, answered: false });
            }
        }
        if self.way == Baseline::SharedFifo {
            self.pull();
        }
    }

    fn tick(&mut self, _now: Time) {}

    fn wake(&self) -> Option<Time> {
        None
    }

    fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    fn wasted(&self) -> u64 {
        self.wasted
    }
}
