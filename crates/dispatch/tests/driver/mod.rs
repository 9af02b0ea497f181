//! A small deterministic driver: fake targets, fixed delays, one event heap. It is no model of a network.

pub mod core;
pub mod rivals;
pub mod trace;

use mangogw_model::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;
use trace::Trace;

/// What a policy wants done.
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
    /// The task ended; true with an answer, false without.
    End {
        task: u32,
        answered: bool,
    },
}

/// What a target says of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    Answered,
    Failed,
}

/// A way to place tasks.
pub trait Policy {
    fn arrive(&mut self, now: Time, trace: &Trace, task: u32);
    fn hear(&mut self, now: Time, attempt: u64, target: u32, said: AttemptResult);
    fn tick(&mut self, now: Time);
    /// When it wants to be ticked.
    fn wake(&self) -> Option<Time>;
    fn orders(&mut self) -> Vec<Order>;
    /// Messages that a perfect policy does without.
    fn wasted(&self) -> u64;
}

/// How a target misbehaves from some time on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// It fails each task at once.
    Fails,
    /// It runs so many times slower.
    Slow(f64),
    /// It takes tasks and never answers.
    Silent,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    StartArrives(u32, u32, u64),
    StopArrives(u32, u64),
    Done(u32, u64),
    ResultArrives(u32, u64, bool),
    TaskArrives(u32),
    Wake,
}

#[derive(Debug, Default)]
struct TargetSim {
    running: Vec<(u64, u32)>,
    queue: VecDeque<(u64, u32)>,
    /// Tasks that reached it since it began to misbehave.
    since: u32,
    /// Tasks it ran at once at most.
    most: usize,
}

/// What became of a trace.
#[derive(Debug, Default)]
pub struct Outcome {
    /// By task: when it ended, and if with an answer.
    pub ends: Vec<Option<(Time, bool)>>,
    /// By task: the starts that reached targets.
    pub starts: Vec<u32>,
    pub wasted: u64,
    /// By task: the last target it reached, and when.
    pub last: Vec<(u32, Time)>,
    /// By target: the tasks that reached it after it began to misbehave.
    pub bad: Vec<u32>,
    /// By target: the time of each of them.
    pub bad_times: Vec<Vec<Time>>,
    /// By target: tasks at once at most.
    pub most: Vec<usize>,
}

impl Outcome {
    /// Of a trace that has not begun.
    fn blank(trace: &Trace) -> Self {
        Self {
            ends: vec![None; trace.arrivals.len()],
            starts: vec![0; trace.arrivals.len()],
            last: vec![(0, Time::ZERO); trace.arrivals.len()],
            bad: vec![0; trace.targets.len()],
            bad_times: vec![Vec::new(); trace.targets.len()],
            ..Self::default()
        }
    }
}

/// Runs a policy over a trace.
pub fn run(trace: &Trace, policy: &mut impl Policy) -> Outcome {
    let mut events = BinaryHeap::new();
    let mut fakes: Vec<TargetSim> = trace.targets.iter().map(|_| TargetSim::default()).collect();
    let mut out = Outcome::blank(trace);
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
                policy.arrive(now, trace, task);
                next = task + 1;
                if let Some(arrival) = trace.arrivals.get(next as usize) {
                    push(&mut events, arrival.at, Event::TaskArrives(next));
                }
            }
            Event::StartArrives(target, task, attempt) => {
                out.starts[task as usize] += 1;
                out.last[task as usize] = (target, now);
                let fault = trace.fault(target, now);
                if fault.is_some() {
                    out.bad[target as usize] += 1;
                    out.bad_times[target as usize].push(now);
                }
                let fake = &mut fakes[target as usize];
                match fault {
                    Some(Fault::Fails) => {
                        push(
                            &mut events,
                            now + FAST + trace.delay(target),
                            Event::ResultArrives(target, attempt, false),
                        );
                    }
                    _ if fake.running.len() < trace.targets[target as usize].slots => {
                        begin(trace, fake, &mut events, now, target, attempt, task);
                    }
                    _ => fake.queue.push_back((attempt, task)),
                }
            }
            Event::Done(target, attempt) => {
                let fake = &mut fakes[target as usize];
                let before = fake.running.len();
                fake.running.retain(|(other, _)| *other != attempt);
                if fake.running.len() < before {
                    push(&mut events, now + trace.delay(target), Event::ResultArrives(target, attempt, true));
                    follow(trace, fake, &mut events, now, target);
                }
            }
            Event::StopArrives(target, attempt) => {
                let fake = &mut fakes[target as usize];
                let before = fake.running.len() + fake.queue.len();
                fake.running.retain(|(other, _)| *other != attempt);
                fake.queue.retain(|(other, _)| *other != attempt);
                let stopped = fake.running.len() + fake.queue.len() < before;
                if stopped && trace.fault(target, now) != Some(Fault::Silent) {
                    push(&mut events, now + trace.delay(target), Event::ResultArrives(target, attempt, false));
                }
                follow(trace, fake, &mut events, now, target);
            }
            Event::ResultArrives(target, attempt, whole) => {
                policy.hear(now, attempt, target, if whole { AttemptResult::Answered } else { AttemptResult::Failed });
            }
            Event::Wake => {
                armed = None;
                policy.tick(now);
            }
        }
        for order in policy.orders() {
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
        match policy.wake().map(|at| at.max(now)) {
            Some(at) if armed.is_none_or(|armed| at < armed) => {
                armed = Some(at);
                push(&mut events, at, Event::Wake);
            }
            _ => {}
        }
    }
    assert_eq!(next as usize, trace.arrivals.len(), "the trace was cut short");
    out.wasted = policy.wasted();
    out.most = fakes.iter().map(|fake| fake.most).collect();
    out
}

/// How long a target takes to fail a task.
const FAST: Duration = Duration::from_millis(1);

fn begin(
    trace: &Trace,
    fake: &mut TargetSim,
    events: &mut BinaryHeap<Reverse<(Time, Event)>>,
    now: Time,
    target: u32,
    attempt: u64,
    task: u32,
) {
    fake.running.push((attempt, task));
    fake.most = fake.most.max(fake.running.len());
    let ran = trace.run_time(target, task, now);
    if let Some(ran) = ran {
        events.push(Reverse((now + ran, Event::Done(target, attempt))));
    }
}

fn follow(
    trace: &Trace,
    fake: &mut TargetSim,
    events: &mut BinaryHeap<Reverse<(Time, Event)>>,
    now: Time,
    target: u32,
) {
    while fake.running.len() < trace.targets[target as usize].slots {
        let Some((attempt, task)) = fake.queue.pop_front() else { return };
        begin(trace, fake, events, now, target, attempt, task);
    }
}
