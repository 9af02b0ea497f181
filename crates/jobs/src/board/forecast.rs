//! Forecast of the wait for room, by which jobs are refused that would start too late behind those that go first.
//!
//! The load pattern is a burst beyond what the targets can take: without a forecast each job waits until it has become
//! late, and is refused only then.

use super::Board;
use super::table::{Job, JobKey};
use crate::placement::{accepts_runs, required_resources};
use crate::policy::PriorityClass;
use crate::target::Target;
use crate::{Resources, Step, TargetState};
use indexmap::{IndexMap, IndexSet};
use mangogw_model::Time;
use std::time::Duration;

/// Share of the resources of a pool in use below which its jobs wait for something else than room, such as the lists of
/// runs after a takeover.
const MIN_BUSY_SHARE: f64 = 0.5;

/// Factor on the forecast wait, since jobs that arrive later may go first and targets may be lost.
const WAIT_MARGIN: f64 = 1.3;

/// Resources of the targets of a pool that may be given runs, and what is in use of them.
#[derive(Debug, Clone, Copy, Default)]
struct PoolLoad {
    /// Targets that report to be ready, whether they may be given runs now or not.
    known: usize,
    targets: usize,
    total: Resources,
    /// Resources in use, in targets of mean size.
    busy: f64,
    /// Milliseconds of work that the pool does in a millisecond, in targets of mean size.
    rate: f64,
    /// Milliseconds of work of the jobs that go first, in targets of mean size.
    ahead: f64,
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
    /// Returns the jobs without a start that can be in time now, but not after the wait behind the jobs of their pool
    /// that rank before them. Jobs that are returned do not count as waiting before others. Returns none during a
    /// takeover, since the room of targets that have not listed their runs yet is unknown.
    pub(super) fn jobs_without_room(&self, now: Time) -> IndexSet<JobKey> {
        if !self.unlisted.is_empty() {
            return IndexSet::new();
        }
        let mut loads = self.pool_loads(now);
        let rank = |key: &JobKey| {
            let job = &self.jobs[*key];
            (job.deadlines.rank(now, Duration::from_millis(job.remaining_path())), *key)
        };
        let mut order: Vec<_> = self.waiting.iter().map(rank).collect();
        order.sort_unstable();
        let mut without_room = IndexSet::new();
        for (rank, key) in order {
            let job = &self.jobs[key];
            let Some(load) = loads.get_mut(job.pool.as_str()).filter(|load| load.is_full()) else { continue };
            let spare = (rank.latest_start() - now).as_secs_f64() * 1000.0;
            let refusable = !job.stored && !job.is_started() && rank.class() == PriorityClass::Timely;
            match WAIT_MARGIN * load.ahead / load.rate > spare {
                true if refusable => drop(without_room.insert(key)),
                _ => load.ahead += waiting_work(job, load),
            }
        }
        without_room
    }

    fn pool_loads(&self, now: Time) -> IndexMap<&str, PoolLoad> {
        let usable = || self.targets.values().filter(|target| accepts_runs(target, now));
        let mut loads: IndexMap<&str, PoolLoad> = IndexMap::new();
        let is_known = |target: &&Target| {
            target.report.state == TargetState::Ready && target.absent_since.is_none() && !target.evacuated
        };
        for target in self.targets.values().filter(is_known) {
            loads.entry(target.report.pool.as_str()).or_default().known += 1;
        }
        for target in usable() {
            let load = loads.entry(target.report.pool.as_str()).or_default();
            load.targets += 1;
            load.total += target.report.resources;
        }
        for target in usable() {
            let Some(load) = loads.get_mut(target.report.pool.as_str()) else { continue };
            let share = load.share(&target.used);
            load.busy += share;
            load.rate += share / target.health.time_ratio();
        }
        loads
    }
}

/// Returns the work of the tasks of a job that wait for room, in milliseconds of targets of mean size.
fn waiting_work(job: &Job, load: &PoolLoad) -> f64 {
    let work =
        |waiting: usize, step: &Step| waiting as f64 * load.share(&required_resources(step)) * step.estimate as f64;
    let of_occurrence = |(occurrence, state): (&u32, &super::table::Occurrence)| -> f64 {
        let steps = state.steps.iter().zip(&job.spec.steps).enumerate();
        let ready = steps.filter(|(index, _)| job.is_step_ready(*occurrence, *index));
        ready.map(|(_, (group, step))| work(group.waiting.len(), step)).sum()
    };
    job.occurrences.iter().map(of_occurrence).sum()
}
