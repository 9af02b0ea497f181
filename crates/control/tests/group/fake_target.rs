//! A fake target with its own clock, a lease and a fencing token. It enforces its resources only if it is told to, and
//! lists ended runs, a few at a time, until they are recorded.

use mangogw_jobs::{
    ActiveRun, Denial, EndedRun, Listing, Outcome, Resources, RunEnd, RunNumber, TargetReport, TargetState, TaskId,
};
use mangogw_model::{Time, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

pub const LEASE_MS: u64 = 1000;
/// Number of ends that a target lists at a time.
const MAX_LISTED_ENDS: usize = 4;
const STOP_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug, Clone)]
pub struct FakeRun {
    pub task: TaskId,
    pub run: RunNumber,
    pub need: Resources,
    pub began: Time,
    pub ends: Option<Time>,
    pub run_end: RunEnd,
}

#[derive(Debug)]
pub struct FakeTarget {
    pub report: TargetReport,
    pub alive: bool,
    origin: Time,
    /// Speed of its clock in thousandths of real time, 980 to 1000.
    rate: u64,
    token: u64,
    lease_end: u64,
    pub runs: Vec<FakeRun>,
    barred_runs: BTreeMap<TaskId, RunNumber>,
    pub ended: Vec<EndedRun>,
    /// Highest number of an end after which the lease has lapsed.
    last_lapsed: u64,
    end_count: u64,
    /// Refuses starts that its resources do not fit, as it may run what its leader does not know of.
    pub checks_room: bool,
}

/// An event on a target that the oracle checks.
#[derive(Debug, Clone)]
pub enum TargetEvent {
    Started {
        task: TaskId,
        run: RunNumber,
    },
    Ended {
        task: TaskId,
        number: u64,
        run_end: RunEnd,
    },
    /// Ends that were recorded. Those whose lease lapsed between the end and its record don't count and are left out.
    Recorded {
        numbers: Vec<u64>,
    },
}

impl FakeTarget {
    pub fn new(index: usize, incarnation: u64, now: Time, rate: u64) -> Self {
        let report = TargetReport {
            id: format!("w{index}"),
            incarnation,
            sequence: 1,
            pool: "pool".to_owned(),
            address: format!("10.9.0.{}:80", index + 1).parse().unwrap(),
            zone: Zone::from(["a", "b", "c"][index % 3]),
            labels: vec!["kind".to_owned(), format!("rack-{}", index / 4)],
            resources: Resources { cpu: 16_000, memory: 32_000, accelerators: 0 },
            state: TargetState::Ready,
        };
        Self {
            report,
            alive: true,
            origin: now,
            rate,
            token: 0,
            lease_end: 0,
            runs: Vec::new(),
            barred_runs: BTreeMap::new(),
            ended: Vec::new(),
            last_lapsed: 0,
            end_count: 0,
            checks_room: false,
        }
    }

    pub fn clock(&self, now: Time) -> u64 {
        (now - self.origin).as_millis() as u64 * self.rate / 1000
    }

    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        self.runs.iter().for_each(|run| used += run.need);
        used
    }

    /// Ends the runs that are over by `now`, or all if the lease has lapsed.
    pub fn advance(&mut self, now: Time) -> Vec<TargetEvent> {
        let lapsed = self.clock(now) > self.lease_end;
        if lapsed {
            self.last_lapsed = self.end_count;
        }
        let mut events = Vec::new();
        for run in std::mem::take(&mut self.runs) {
            let run_end = match run.ends {
                Some(ends) if ends <= now => Some(run.run_end),
                _ if lapsed => Some(RunEnd::Lapsed),
                _ => None,
            };
            match run_end {
                None => self.runs.push(run),
                Some(run_end) => events.push(self.end(run.task, run.run, run_end)),
            }
        }
        events
    }

    fn end(&mut self, task: TaskId, run: RunNumber, run_end: RunEnd) -> TargetEvent {
        self.end_count += 1;
        let barred = self.barred_runs.entry(task).or_default();
        *barred = run.max(*barred);
        self.ended.push(EndedRun { number: self.end_count, task, run, run_end, checkpoint: String::new() });
        TargetEvent::Ended { task, number: self.end_count, run_end }
    }

    pub fn start(
        &mut self,
        now: Time,
        token: u64,
        until: u64,
        begin: FakeRun,
        events: &mut Vec<TargetEvent>,
    ) -> Outcome {
        let clock = self.clock(now);
        let denied = |why| Outcome::Denied { why, clock: Some(clock) };
        if token < self.token {
            return denied(Denial::Fenced);
        }
        self.token = token;
        if clock > until {
            return denied(Denial::Late);
        }
        self.lease_end = self.lease_end.max(until.min(clock + LEASE_MS));
        if self.runs.iter().any(|run| run.task == begin.task && run.run == begin.run) {
            return Outcome::Done { clock };
        }
        let higher = self.runs.iter().any(|run| run.task == begin.task && run.run > begin.run);
        if higher || self.barred_runs.get(&begin.task).is_some_and(|barred| begin.run <= *barred) {
            return denied(Denial::Old);
        }
        let mut used = self.used();
        used += begin.need;
        if self.checks_room && !self.report.resources.can_fit(&used) {
            return denied(Denial::Room);
        }
        events.push(TargetEvent::Started { task: begin.task, run: begin.run });
        self.runs.push(begin);
        Outcome::Done { clock }
    }

    pub fn stop(&mut self, now: Time, token: u64, task: TaskId, number: RunNumber) -> Outcome {
        let clock = self.clock(now);
        if token < self.token {
            return Outcome::Denied { why: Denial::Fenced, clock: Some(clock) };
        }
        self.token = token;
        match self.runs.iter_mut().find(|run| run.task == task && run.run <= number) {
            Some(run) => {
                run.ends = Some(now + STOP_DELAY);
                run.run_end = RunEnd::Stopped;
            }
            None => {
                let barred = self.barred_runs.entry(task).or_default();
                *barred = number.max(*barred);
            }
        }
        Outcome::Done { clock }
    }

    pub fn renew(
        &mut self,
        now: Time,
        token: u64,
        until: Option<u64>,
        up_to: u64,
        events: &mut Vec<TargetEvent>,
    ) -> Outcome {
        let clock = self.clock(now);
        if token < self.token {
            return Outcome::Denied { why: Denial::Fenced, clock: Some(clock) };
        }
        self.token = token;
        if let Some(until) = until.filter(|until| *until >= clock) {
            self.lease_end = self.lease_end.max(until.min(clock + LEASE_MS));
        }
        // The acknowledgement may be meant for an earlier incarnation, so it says nothing about ends that are still to come.
        if self.ended.iter().any(|end| end.number <= up_to) {
            let counts = |number: &u64| *number <= up_to && *number > self.last_lapsed;
            let numbers = self.ended.iter().map(|end| end.number).filter(counts).collect();
            self.ended.retain(|end| end.number > up_to);
            events.push(TargetEvent::Recorded { numbers });
        }
        self.list(now)
    }

    pub fn list(&self, now: Time) -> Outcome {
        let percent = |run: &FakeRun| {
            run.ends.map_or(0, |ends| {
                let whole = (ends - run.began).as_micros().max(1);
                ((now - run.began).as_micros() * 100 / whole).min(99) as u32
            })
        };
        let running = self.runs.iter().map(|run| ActiveRun {
            task: run.task,
            run: run.run,
            checkpoint: String::new(),
            percent: percent(run),
        });
        Outcome::Listed(Listing {
            incarnation: Some(self.report.incarnation),
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            truncated: self.ended.len() >= MAX_LISTED_ENDS,
        })
    }
}
