//! Start of waiting tasks: order of the jobs, choice of the target.

use super::table::{JobKey, TaskState};
use super::{Board, OrderKind, RunState};
use crate::placement::{
    accepts_runs, expected_millis, has_required_label, is_below_limit, required_resources, stall_timeout,
};
use crate::policy::{ESTIMATE_MARGIN, PriorityClass, Rank};
use crate::target::{Run, Target};
use crate::{Resources, RunNumber, Step, TargetKey, TaskId};
use mangogw_model::Time;
use std::sync::Arc;
use std::time::Duration;

/// Weight of processor capacity that would stay free but fit no further task of the same size, as a share of the run
/// time: of equally fast targets the one that is filled best is chosen.
const FRAGMENTATION_WEIGHT: f64 = 0.05;

/// Maximum number of jobs considered in one pass: more than can start between two inputs, as 48 targets have room for
/// 110 tasks.
const MAX_JOBS_PER_PASS: usize = 128;

/// Number of waiting jobs from which on jobs that can only be late are refused; fewer can start between two inputs.
pub(super) const EARLY_REFUSAL_MIN_JOBS: usize = 8;

/// Delay from which on the start of a whole step is logged.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(20);

impl Board {
    /// Starts waiting tasks in the order of their ranks, as far as resources allow. While a target of earlier leaders
    /// has not listed its runs, only first attempts are started, because other jobs may run there.
    pub(super) fn start_waiting(&mut self, now: Time) {
        if self.waiting.is_empty() {
            return;
        }
        let min_need = self.min_need();
        let usable = |target: &Target| accepts_runs(target, now) && target.free().can_fit(&min_need);
        let mut open: Vec<TargetKey> =
            self.targets.iter().filter(|(_, target)| usable(target)).map(|(key, _)| key).collect();
        if open.is_empty() {
            return;
        }
        let conflicting = self.conflicting_tasks();
        for (_, key) in self.ranked_jobs(now) {
            if open.is_empty() {
                return;
            }
            self.start_job(now, key, &mut open, &min_need, &conflicting);
        }
    }

    /// Returns the tasks, sorted, that must not start because a run of them may go on: an orphan, or a run that is
    /// being stopped or whose last order got no answer.
    fn conflicting_tasks(&self) -> Vec<TaskId> {
        let conflict =
            |(task, run): (&TaskId, &Run)| matches!(run.state, RunState::Stopping | RunState::Unsure).then_some(*task);
        let mut tasks = Vec::new();
        for target in self.targets.values() {
            tasks.extend(target.runs.iter().filter_map(conflict));
            tasks.extend(target.orphans.keys());
        }
        tasks.sort_unstable();
        tasks
    }

    /// Returns, for each resource, the least that any waiting task needs.
    fn min_need(&self) -> Resources {
        let steps = self.waiting.iter().flat_map(|key| &self.jobs[*key].spec.steps).map(required_resources);
        let least = |a: Resources, b: Resources| Resources {
            cpu: a.cpu.min(b.cpu),
            memory: a.memory.min(b.memory),
            accelerators: a.accelerators.min(b.accelerators),
        };
        steps.reduce(least).unwrap_or_default()
    }

    fn ranked_jobs(&self, now: Time) -> Vec<(Rank, JobKey)> {
        let rank = |key: &JobKey| {
            let job = &self.jobs[*key];
            (job.deadlines.rank(now, Duration::from_millis(job.remaining_path())), *key)
        };
        let settled = self.unlisted.is_empty();
        let may_start = |key: &&JobKey| settled || self.jobs[**key].first_attempt;
        let mut order: Vec<_> = self.waiting.iter().filter(may_start).map(rank).collect();
        // Of a long backlog only the first jobs can start.
        if order.len() > MAX_JOBS_PER_PASS {
            order.select_nth_unstable(MAX_JOBS_PER_PASS);
            order.truncate(MAX_JOBS_PER_PASS);
        }
        order.sort_unstable();
        order
    }

    /// Starts the waiting tasks of one job, as far as they fit on the `open` targets.
    fn start_job(
        &mut self,
        now: Time,
        key: JobKey,
        open: &mut Vec<TargetKey>,
        min_need: &Resources,
        conflicting: &[TaskId],
    ) {
        let job = &self.jobs[key];
        let spec = Arc::clone(&job.spec);
        let ready_steps: Vec<(u32, usize)> = job
            .occurrences
            .iter()
            .flat_map(|(occurrence, state)| (0..state.steps.len()).map(move |step| (*occurrence, step)))
            .filter(|(occurrence, step)| {
                !job.occurrences[occurrence].steps[*step].waiting.is_empty() && job.is_step_ready(*occurrence, *step)
            })
            .collect();
        for (occurrence, step) in ready_steps {
            let gang = spec.steps[step].gang;
            let waiting = self.jobs[key].occurrences[&occurrence].steps[step].waiting.clone();
            // Members of a gang start together or not at all.
            let missing = gang && waiting.len() < spec.steps[step].count as usize;
            if missing || gang && !self.fits_gang(key, occurrence, step, &waiting, open, now) {
                continue;
            }
            let number = self.next_number();
            let time_limit = if gang { f64::INFINITY } else { self.time_limit(now, key, step) };
            let mut begun = Vec::new();
            for index in waiting.into_iter().rev() {
                let task = TaskId { job: self.jobs[key].id, occurrence, step: step as u32, index };
                // A run of the task may still be stopping, such as one of an earlier submission of the same job.
                if conflicting.binary_search(&task).is_ok() {
                    continue;
                }
                let Some(target) = self.choose_target(key, task, time_limit, open) else { break };
                let number = if gang { number } else { self.next_number() };
                self.start_run(now, key, task, target, number);
                begun.push(target);
                if !accepts_runs(&self.targets[target], now) || !self.targets[target].free().can_fit(min_need) {
                    open.retain(|other| *other != target);
                }
            }
            self.log_starts(now, key, step, &begun);
        }
        let job = &self.jobs[key];
        if job.occurrences.values().all(|occurrence| occurrence.steps.iter().all(|group| group.waiting.is_empty())) {
            self.waiting.swap_remove(&key);
        }
    }

    fn log_starts(&self, now: Time, key: JobKey, step: usize, begun: &[TargetKey]) {
        let job = &self.jobs[key];
        // A step that starts as a whole and at once is covered by the log line of the answer.
        if begun.is_empty()
            || begun.len() == job.spec.steps[step].count as usize && now - job.arrived < MIN_LOGGED_DELAY
        {
            return;
        }
        let targets: Vec<&str> = begun.iter().map(|target| self.targets[*target].report.id.as_str()).collect();
        let (waited, wide) = ((now - job.arrived).as_millis() as u64, job.spec.steps[step].count);
        log::info!(job:% = job.id, step, started = begun.len(), wide, waited, targets:?; "board: tasks started");
    }

    /// Returns true if all waiting tasks of a gang fit on the `open` targets at once.
    fn fits_gang(
        &self,
        key: JobKey,
        occurrence: u32,
        step: usize,
        waiting: &[u32],
        open: &[TargetKey],
        now: Time,
    ) -> bool {
        let job = &self.jobs[key];
        let step_spec = &job.spec.steps[step];
        let size = required_resources(step_spec);
        let task = |index| TaskId { job: job.id, occurrence, step: step as u32, index };
        let fits = |target: &TargetKey| {
            let target = &self.targets[*target];
            let usable =
                target.report.pool == job.pool && has_required_label(target, step_spec) && accepts_runs(target, now);
            if !usable || !is_below_limit(target, step_spec, task(0)) {
                return 0;
            }
            let free = target.free();
            let by_cpu = free.cpu.checked_div(size.cpu).unwrap_or(u64::MAX);
            let by_memory = free.memory.checked_div(size.memory).unwrap_or(u64::MAX);
            let by_accelerator = free.accelerators.checked_div(size.accelerators).unwrap_or(u64::MAX);
            let target_limit = if step_spec.target_limit == 0 { u64::MAX } else { u64::from(step_spec.target_limit) };
            by_cpu.min(by_memory).min(by_accelerator).min(target_limit).min(waiting.len() as u64)
        };
        open.iter().map(fits).sum::<u64>() >= waiting.len() as u64
    }

    fn next_number(&mut self) -> RunNumber {
        self.starts += 1;
        RunNumber::new(self.token, self.starts)
    }

    /// Returns the expected run time, in milliseconds, up to which a task of the step that starts now ends in time for
    /// its job; infinite if the job can't be in time any more, so that any target will do.
    fn time_limit(&self, now: Time, key: JobKey, step: usize) -> f64 {
        let job = &self.jobs[key];
        let path = job.remaining_path();
        if job.deadlines.rank(now, Duration::from_millis(path)).class() != PriorityClass::Timely {
            return f64::INFINITY;
        }
        let spec = &job.spec.steps[step];
        let later_steps = path.saturating_sub(spec.estimate) as f64;
        let limit = (job.deadlines.goal - now).as_secs_f64() * 1000.0 / ESTIMATE_MARGIN - later_steps;
        if self.fastest_millis(now, &job.pool, spec) <= limit { limit } else { f64::INFINITY }
    }

    /// Returns the expected run time of a task of the step on the fastest target that it may ever be given, in
    /// milliseconds; infinite if there is none.
    fn fastest_millis(&self, now: Time, pool: &str, step: &Step) -> f64 {
        match self.fastest.get(pool) {
            Some(ratio) if step.label.is_none() && step.rack.is_none() => step.estimate as f64 * ratio,
            _ => {
                let fits = |target: &&Target| {
                    target.report.pool == pool && has_required_label(target, step) && accepts_runs(target, now)
                };
                let times = self.targets.values().filter(fits);
                let times = times.map(|target| expected_millis(target, step, self.settings.remote_factor));
                times.fold(f64::INFINITY, f64::min)
            }
        }
    }

    /// Updates the lowest time ratio of the targets of each pool that may be given runs.
    pub(super) fn update_fastest(&mut self, now: Time) {
        self.fastest.values_mut().for_each(|ratio| *ratio = f64::INFINITY);
        for target in self.targets.values().filter(|target| accepts_runs(target, now)) {
            let ratio = target.health.time_ratio();
            match self.fastest.get_mut(&target.report.pool) {
                Some(fastest) => *fastest = fastest.min(ratio),
                None => drop(self.fastest.insert(target.report.pool.clone(), ratio)),
            }
        }
        self.fastest.retain(|_, ratio| ratio.is_finite());
    }

    /// Returns the target with the lowest expected run time for the task, weighted by fragmentation and by a recent
    /// failure of the task there; `None` if no target has room and is fast enough for `time_limit`.
    fn choose_target(&self, key: JobKey, task: TaskId, time_limit: f64, open: &[TargetKey]) -> Option<TargetKey> {
        let job = &self.jobs[key];
        let step = &job.spec.steps[task.step as usize];
        let size = required_resources(step);
        let avoid = job.occurrences[&task.occurrence].steps[task.step as usize].tasks[task.index as usize].avoid;
        let cost = |at: &TargetKey| {
            let target = &self.targets[*at];
            let fits =
                target.report.pool == job.pool && has_required_label(target, step) && target.free().can_fit(&size);
            if !fits || !is_below_limit(target, step, task) {
                return None;
            }
            let time = expected_millis(target, step, self.settings.remote_factor);
            if time > time_limit {
                return None;
            }
            let leftover = target.free().saturating_sub(&size).cpu % size.cpu.max(1);
            let waste = FRAGMENTATION_WEIGHT * leftover as f64 / target.report.resources.cpu.max(1) as f64;
            let penalty = if avoid == Some(*at) { 2.0 } else { 1.0 };
            Some((time * penalty * (1.0 + waste), *at))
        };
        open.iter().filter_map(cost).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, at)| at)
    }

    fn start_run(&mut self, now: Time, key: JobKey, id: TaskId, at: TargetKey, number: RunNumber) {
        let lease = self.settings.lease.as_millis() as u64;
        let job = &mut self.jobs[key];
        let step = &job.spec.steps[id.step as usize];
        let target = &mut self.targets[at];
        let Some(clock) = target.clock else { return };
        let expected = expected_millis(target, step, self.settings.remote_factor);
        // No longer than one lease, because the next leader waits for one lease only.
        let until = clock.min_reading(now).saturating_add(lease);
        target.grant_lease(now, until);
        target.health.record_start();
        self.counts.starts += 1;
        let run = Run {
            number,
            need: required_resources(step),
            state: RunState::Starting,
            begun: now,
            sent: now,
            confirmed: false,
            moved_at: None,
            started_at: None,
            lease_end: until,
            percent: 0,
            last_progress: now,
            expected,
            stall_timeout: stall_timeout(step, expected, self.settings.gang_timeout),
        };
        target.insert_run(id, run);
        target.next_renewal = target.next_renewal.min(now);
        job.remove_waiting(id);
        job.runs += 1;
        job.first_start.get_or_insert(now);
        let payload = Arc::clone(&job.payload);
        let task = job.task_mut(id).expect("a waiting task is in the table of its job");
        task.state = TaskState::Placed(at);
        let checkpoint = task.checkpoint.clone();
        self.order(at, OrderKind::Start { task: id, run: number, payload, until, checkpoint });
        self.dirty = true;
    }
}
