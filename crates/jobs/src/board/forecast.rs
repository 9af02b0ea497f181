//! Forecast of the wait for room, by which jobs are refused that would start too late behind those that go first.
//!
//! The load pattern is a burst beyond what the targets can take: without a forecast each job waits until it has become
//! late, and is refused only then.

use super::Board;
use super::table::{Job, JobKey};
use crate::placement::{accepts_runs, required_resources};
use crate::policy::{PriorityClass, Rank};
use crate::shortage::{Candidate, Lane, RefusalReason, Room};
use crate::target::Target;
use crate::{Resources, Step, TargetState};
use indexmap::IndexMap;
use mangogw_model::Time;

/// Share of the resources of a pool in use below which its jobs wait for something else than room, such as the lists of
/// runs after a takeover.
const MIN_BUSY_SHARE: f64 = 0.5;

/// Waiting work, in milliseconds of its pool, from which on the pool is short of room: what it takes from one decision to
/// the next.
const SHORT_BACKLOG_MILLIS: f64 = 10.0;

/// Number of jobs that a decision looks at for each target of the pool: more than can be in time together.
const JOBS_PER_TARGET: usize = 8;
/// Least number of jobs that a decision looks at.
const MIN_JOBS: usize = 256;

/// Loads of the pools with waiting jobs.
pub(super) type PoolLoads = IndexMap<String, PoolLoad>;

/// Resources of the targets of a pool that may be given runs, and what is in use of them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PoolLoad {
    /// Targets that report to be ready, whether they may be given runs now or not.
    known: usize,
    targets: usize,
    total: Resources,
    /// Targets without a run, in targets of mean size.
    idle: f64,
    /// Resources in use, in targets of mean size.
    busy: f64,
    /// Milliseconds of work that the pool does in a millisecond, in targets of mean size.
    rate: f64,
}

impl PoolLoad {
    /// Returns the part of a target of mean size that `need` takes, by the resource of which it takes most.
    fn share(&self, need: &Resources) -> f64 {
        let part = |need: u64, total: u64| need as f64 * self.targets as f64 / total.max(1) as f64;
        part(need.cpu, self.total.cpu)
            .max(part(need.memory, self.total.memory))
            .max(part(need.accelerators, self.total.accelerators))
    }

    fn is_full(&self) -> bool {
        self.busy >= MIN_BUSY_SHARE * self.known as f64 && self.rate > 0.0
    }
}

impl Board {
    /// Returns the jobs to refuse now, each with the reason and the queue that was preferred: those that can't be in time
    /// together with the others of their pool, and late ones while others wait that can be in time. Jobs of a pool whose
    /// room is unknown, as in a takeover, are taken to have room.
    pub(super) fn jobs_without_room(&self, now: Time, loads: &PoolLoads) -> Vec<(JobKey, RefusalReason, Option<Lane>)> {
        let mut over = Vec::new();
        let settled = self.unlisted.is_empty();
        for pool in self.backlog.pools() {
            let Some(load) = loads.get(pool.as_str()) else { continue };
            let most = (JOBS_PER_TARGET * load.targets).max(MIN_JOBS);
            let candidate = |(rank, key): (Rank, JobKey)| {
                let job = &self.jobs[key];
                let (lane, work) = (job.lane, waiting_work(job, load));
                let (size, refusable) = (job.spec.work(), job.is_refusable());
                Candidate { key, lane, latest_start: rank.latest_start(), work, size, refusable }
            };
            // Those that arrived since the last pass and start on idle targets at the next one.
            let mut idle = load.idle;
            let starts_at_once = |(_, key): &(Rank, JobKey)| {
                idle -= waiting_share(&self.jobs[*key], load);
                idle >= 0.0
            };
            let timely = self.backlog.of_class(pool, PriorityClass::Timely, most).skip_while(starts_at_once);
            let candidates: Vec<Candidate<JobKey>> = timely.map(candidate).collect();
            let mut backlog: f64 = candidates.iter().map(|job| job.work).sum();
            if settled && load.is_full() {
                for refusal in self.shortage.choose(now, Room { rate: load.rate }, &candidates) {
                    backlog -= refusal.work;
                    over.push((refusal.key, refusal.reason, Some(refusal.preferred)));
                }
            }
            let short = load.is_full() && backlog > SHORT_BACKLOG_MILLIS * load.rate;
            if short || !settled && !candidates.is_empty() {
                let late = self.backlog.of_class(pool, PriorityClass::Late, most).map(|(_, key)| key);
                let late = late.filter(|key| self.jobs[*key].is_refusable());
                over.extend(late.map(|key| (key, RefusalReason::Late, None)));
            }
        }
        over
    }

    /// Returns the time, in milliseconds, that the pool needs for the waiting tasks of a job.
    pub(super) fn pool_millis(&self, loads: &PoolLoads, key: JobKey) -> f64 {
        let job = &self.jobs[key];
        let Some(load) = loads.get(job.pool.as_str()).filter(|load| load.rate > 0.0) else { return 0.0 };
        waiting_work(job, load) / load.rate
    }

    pub(super) fn pool_loads(&self, now: Time) -> PoolLoads {
        let usable = || self.targets.values().filter(|target| accepts_runs(target, now));
        let mut loads = PoolLoads::new();
        for pool in self.backlog.pools() {
            loads.insert(pool.clone(), PoolLoad::default());
        }
        let is_known = |target: &&Target| {
            target.report.state == TargetState::Ready && target.absent_since.is_none() && !target.evacuated
        };
        for target in self.targets.values().filter(is_known) {
            if let Some(load) = loads.get_mut(&target.report.pool) {
                load.known += 1;
            }
        }
        for target in usable() {
            let Some(load) = loads.get_mut(&target.report.pool) else { continue };
            load.targets += 1;
            load.total += target.report.resources;
        }
        for target in usable() {
            let Some(load) = loads.get_mut(&target.report.pool) else { continue };
            if target.runs.is_empty() {
                load.idle += load.share(&target.report.resources);
            }
            let share = load.share(&target.used);
            load.busy += share;
            load.rate += share / target.health.time_ratio();
        }
        loads
    }
}

/// Returns the work of the tasks of a job that wait for room, in milliseconds of targets of mean size.
fn waiting_work(job: &Job, load: &PoolLoad) -> f64 {
    sum_waiting(job, |waiting, step| waiting * load.share(&required_resources(step)) * step.estimate as f64)
}

/// Returns the room that the tasks of a job wait for, in targets of mean size.
fn waiting_share(job: &Job, load: &PoolLoad) -> f64 {
    sum_waiting(job, |waiting, step| waiting * load.share(&required_resources(step)))
}

/// Sums `of_step` over the steps that are ready, with the number of their tasks that wait.
fn sum_waiting(job: &Job, of_step: impl Fn(f64, &Step) -> f64) -> f64 {
    let of_occurrence = |(occurrence, state): (&u32, &super::table::Occurrence)| -> f64 {
        let steps = state.steps.iter().zip(&job.spec.steps).enumerate();
        let ready = steps.filter(|(index, _)| job.is_step_ready(*occurrence, *index));
        ready.map(|(_, (group, step))| of_step(group.waiting.len() as f64, step)).sum()
    };
    job.occurrences.iter().map(of_occurrence).sum()
}
