//! Deterministic simulation of targets with fixed delays and one event heap, for policies that place tasks.
//! The network itself is not modelled.

pub mod baselines;
pub mod core;
pub mod trace;

use mangogw_model::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;
use trace::Trace;

/// Output of a policy: a message to a target, or the end of a task.
#[derive(Debug, Clone, Copy)]
pub enum Order {
    Start {
        task: u32,
        attempt: u64,
        target: u32,
    },
    Stop {
        attempt: u64,
        target: u32,
    },
    /// End of a task; `answered` is false for a refusal or a failure.
    End {
        task: u32,
        answered: bool,
    },
}

/// Result of an attempt, as reported by its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    Answered,
    Failed,
}

/// Strategy that places tasks on targets.
pub trait Policy {
    /// Places a task of the trace that arrived, or queues it.
    fn on_arrival(&mut self, now: Time, trace: &Trace, task: u32);
    /// Takes the result of an attempt that its target reported.
    fn on_reply(&mut self, now: Time, attempt: u64, target: u32, result: AttemptResult);
    fn tick(&mut self, now: Time);
    /// Returns the time of the next tick that the policy needs, `None` for none.
    fn next_wakeup(&self) -> Option<Time>;
    /// Takes the orders that are due.
    fn take_orders(&mut self) -> Vec<Order>;
    /// Returns the number of wasted messages: those that an ideal policy does not send.
    fn wasted_messages(&self) -> u64;
}

/// Fault of a target from a given time on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Fails each task after `FAILURE_DELAY`.
    Fails,
    /// Multiplies the run times by this factor.
    Slow(f64),
    /// Accepts tasks and never answers.
    Silent,
}

/// Event of the simulation; the order of the variants decides between events at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Target, task and attempt of a start message.
    StartArrives(u32, u32, u64),
    /// Target and attempt of a stop message.
    StopArrives(u32, u64),
    /// Target and attempt that ends there.
    Done(u32, u64),
    /// Target, attempt, and whether the attempt was answered.
    ResultArrives(u32, u64, bool),
    /// Task that arrives at the policy.
    TaskArrives(u32),
    Wake,
}

/// State of a simulated target, with its running and queued tasks as pairs of attempt and task.
#[derive(Debug, Default)]
struct TargetSim {
    running: Vec<(u64, u32)>,
    queue: VecDeque<(u64, u32)>,
    /// Starts that arrived after the fault began.
    fault_starts: u32,
    /// Largest number of tasks that ran at the same time.
    max_running: usize,
}

/// Result of a policy on a trace.
#[derive(Debug, Default)]
pub struct Outcome {
    /// End time by task, and whether the task was answered; `None` if the task did not end.
    pub ends: Vec<Option<(Time, bool)>>,
    /// Starts that arrived at targets, by task.
    pub starts: Vec<u32>,
    /// Wasted messages: those that an ideal policy does not send.
    pub wasted_messages: u64,
    /// Target and time of the last start that arrived, by task.
    pub last_start: Vec<(u32, Time)>,
    /// Starts that arrived after the fault began, by target.
    pub fault_starts: Vec<u32>,
    /// Times of the starts that arrived after the fault began, by target.
    pub fault_times: Vec<Vec<Time>>,
    /// Largest number of tasks that ran at the same time, by target.
    pub max_running: Vec<usize>,
}

impl Outcome {
    /// Returns the result before the first event of a trace.
    fn empty(trace: &Trace) -> Self {
        Self {
            ends: vec![None; trace.arrivals.len()],
            starts: vec![0; trace.arrivals.len()],
            last_start: vec![(0, Time::ZERO); trace.arrivals.len()],
            fault_starts: vec![0; trace.targets.len()],
            fault_times: vec![Vec::new(); trace.targets.len()],
            ..Self::default()
        }
    }
}

/// Runs a policy on a trace. Panics if a task ends twice or the simulation ends before the last arrival.
pub fn run(trace: &Trace, policy: &mut impl Policy) -> Outcome {
    let mut events = BinaryHeap::new();
    let mut targets: Vec<TargetSim> = trace.targets.iter().map(|_| TargetSim::default()).collect();
    let mut out = Outcome::empty(trace);
    let push = |events: &mut BinaryHeap<_>, at: Time, event| events.push(Reverse((at, event)));
    let mut next = 0;
    push(&mut events, Time::ZERO, Event::Wake);
    if let Some(first) = trace.arrivals.first() {
        push(&mut events, first.at, Event::TaskArrives(0));
    }
    let mut armed = None;
    while let Some(Reverse((now, event))) = events.pop() {
        if now > trace.end {
            break;
        }
        match event {
            Event::TaskArrives(task) => {
                policy.on_arrival(now, trace, task);
                next = task + 1;
                if let Some(arrival) = trace.arrivals.get(next as usize) {
                    push(&mut events, arrival.at, Event::TaskArrives(next));
                }
            }
            Event::StartArrives(target, task, attempt) => {
                out.starts[task as usize] += 1;
                out.last_start[task as usize] = (target, now);
                let fault = trace.fault(target, now);
                if fault.is_some() {
                    out.fault_starts[target as usize] += 1;
                    out.fault_times[target as usize].push(now);
                }
                let sim = &mut targets[target as usize];
                match fault {
                    Some(Fault::Fails) => {
                        push(
                            &mut events,
                            now + FAILURE_DELAY + trace.delay(target),
                            Event::ResultArrives(target, attempt, false),
                        );
                    }
                    _ if sim.running.len() < trace.targets[target as usize].slots => {
                        begin_task(trace, sim, &mut events, now, target, attempt, task);
                    }
                    _ => sim.queue.push_back((attempt, task)),
                }
            }
            Event::Done(target, attempt) => {
                let sim = &mut targets[target as usize];
                let before = sim.running.len();
                sim.running.retain(|(other, _)| *other != attempt);
                if sim.running.len() < before {
                    push(&mut events, now + trace.delay(target), Event::ResultArrives(target, attempt, true));
                    start_queued(trace, sim, &mut events, now, target);
                }
            }
            Event::StopArrives(target, attempt) => {
                let sim = &mut targets[target as usize];
                let before = sim.running.len() + sim.queue.len();
                sim.running.retain(|(other, _)| *other != attempt);
                sim.queue.retain(|(other, _)| *other != attempt);
                let stopped = sim.running.len() + sim.queue.len() < before;
                if stopped && trace.fault(target, now) != Some(Fault::Silent) {
                    push(&mut events, now + trace.delay(target), Event::ResultArrives(target, attempt, false));
                }
                start_queued(trace, sim, &mut events, now, target);
            }
            Event::ResultArrives(target, attempt, ok) => {
                policy.on_reply(now, attempt, target, if ok { AttemptResult::Answered } else { AttemptResult::Failed });
            }
            Event::Wake => {
                armed = None;
                policy.tick(now);
            }
        }
        for order in policy.take_orders() {
            match order {
                Order::Start { task, attempt, target } => {
                    push(&mut events, now + trace.delay(target), Event::StartArrives(target, task, attempt));
                }
                Order::Stop { attempt, target } => {
                    push(&mut events, now + trace.delay(target), Event::StopArrives(target, attempt));
                }
                Order::End { task, answered } => {
                    assert!(out.ends[task as usize].is_none(), "task {task} ended twice");
                    out.ends[task as usize] = Some((now, answered));
                }
            }
        }
        match policy.next_wakeup().map(|at| at.max(now)) {
            Some(at) if armed.is_none_or(|armed| at < armed) => {
                armed = Some(at);
                push(&mut events, at, Event::Wake);
            }
            _ => {}
        }
    }
    assert_eq!(next as usize, trace.arrivals.len(), "the simulation ended before the last arrival");
    out.wasted_messages = policy.wasted_messages();
    out.max_running = targets.iter().map(|sim| sim.max_running).collect();
    out
}

/// Time that a target with [`Fault::Fails`] takes to fail a task.
const FAILURE_DELAY: Duration = Duration::from_millis(1);

/// Starts a task on a target that has a free slot.
fn begin_task(
    trace: &Trace,
    sim: &mut TargetSim,
    events: &mut BinaryHeap<Reverse<(Time, Event)>>,
    now: Time,
    target: u32,
    attempt: u64,
    task: u32,
) {
    sim.running.push((attempt, task));
    sim.max_running = sim.max_running.max(sim.running.len());
    let run_time = trace.run_time(target, task, now);
    if let Some(run_time) = run_time {
        events.push(Reverse((now + run_time, Event::Done(target, attempt))));
    }
}

/// Starts queued tasks of a target until its slots are taken.
fn start_queued(
    trace: &Trace,
    sim: &mut TargetSim,
    events: &mut BinaryHeap<Reverse<(Time, Event)>>,
    now: Time,
    target: u32,
) {
    while sim.running.len() < trace.targets[target as usize].slots {
        let Some((attempt, task)) = sim.queue.pop_front() else { return };
        begin_task(trace, sim, events, now, target, attempt, task);
    }
}
