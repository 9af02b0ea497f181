//! Runs that are stopped, requeued, found as orphans, or adopted from an earlier leader.

use super::Board;
use super::table::{JobKey, TaskState};
use super::tick::ORPHAN_GRACE_PERIOD;
use crate::placement::{expected_millis, required_resources, stall_timeout};
use crate::target::{Denial, ORDER_TIMEOUT, Order, OrderKind, OrphanRun, Outcome, Run, RunState};
use crate::{RunEnd, RunNumber, TargetKey, TaskId};
use mangogw_model::Time;

/// Run that goes on under its lease after the leadership that started it, and that no later leader knows to be its own.
#[derive(Debug, Clone, PartialEq)]
pub struct LeasedRun {
    /// Order to stop the run, under the fencing token of that leadership.
    pub stop: Order,
    /// Numbers under which answers to the clients of its job are due; empty if nobody waits for it.
    pub recipients: Vec<u64>,
    /// Time of the first stop if nobody waits for the run.
    pub stop_at: Time,
}

impl Board {
    /// Returns the runs whose clients only this leadership knows: those of jobs that are not stored, and those that it stops
    /// or has found without a job. Runs of stored jobs are in the ledger, which the next leader has.
    pub fn leased_runs(&self, now: Time) -> Vec<LeasedRun> {
        let mut leased = Vec::new();
        for (key, target) in &self.targets {
            let stop = |task: &TaskId, run| self.order_to(key, OrderKind::Stop { task: *task, run });
            for (task, run) in &target.runs {
                let job = self.by_job.get(&task.job).map(|job| &self.jobs[*job]);
                let (recipients, stop_at) = match job {
                    Some(job) if job.stored => continue,
                    Some(job) => (job.recipients.to_vec(), now),
                    // The target has answered that it stops the run.
                    None if run.state == RunState::Stopping && run.started_at.is_some() => continue,
                    None if run.state == RunState::Stopping => (Vec::new(), run.sent + ORDER_TIMEOUT),
                    None => (Vec::new(), now),
                };
                leased.push(LeasedRun { stop: stop(task, run.number), recipients, stop_at });
            }
            for (task, orphan) in &target.orphans {
                let stop_at = orphan.stop_sent.map_or(orphan.found + ORPHAN_GRACE_PERIOD, |sent| sent + ORDER_TIMEOUT);
                leased.push(LeasedRun { stop: stop(task, orphan.run), recipients: Vec::new(), stop_at });
            }
        }
        leased
    }

    /// Orders a target to stop a run, which holds its resources until its end is listed.
    pub(super) fn stop_run(&mut self, now: Time, key: TargetKey, task: TaskId) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let Some(run) = target.runs.get_mut(&task) else { return };
        if run.state == RunState::Stopping {
            return;
        }
        run.state = RunState::Stopping;
        run.sent = now;
        run.started_at = None;
        let kind = OrderKind::Stop { task, run: run.number };
        self.order(key, kind);
    }

    /// Moves a run that may be active to a later incarnation of its target. Its lease was given on the clock of the earlier
    /// one, so the later one does not refuse its start as late.
    pub(super) fn move_run(&mut self, now: Time, from: TargetKey, to: TargetKey, task: TaskId, run: &Run) {
        let moved_at = run.moved_at.or(Some(now));
        let run = Run { state: RunState::Unsure, started_at: None, lease_end: u64::MAX, moved_at, ..run.clone() };
        self.targets[to].insert_run(task, run);
        let job = self.by_job.get(&task.job).copied();
        if let Some(placed) = job.and_then(|key| self.jobs[key].task_mut(task))
            && placed.state == TaskState::Placed(from)
        {
            placed.state = TaskState::Placed(to);
        }
    }

    /// Returns a task to the waiting tasks, after its run on the target has ended without completing it.
    pub(super) fn requeue_task(&mut self, now: Time, target: TargetKey, id: TaskId) {
        let Some(key) = self.by_job.get(&id.job).copied() else { return };
        let job = &mut self.jobs[key];
        let Some(task) = job.task_mut(id) else { return };
        if task.state == TaskState::Placed(target) {
            task.state = TaskState::Waiting;
            job.requeue(id);
            self.waiting.insert(key);
            self.dirty = true;
            log::debug!(task:% = id, now = now.as_micros(); "board: task requeued");
            self.stop_gang(now, key, id);
        }
    }

    /// Returns a task to the waiting tasks, after the order to start its run on the target had this outcome, a refusal.
    pub(super) fn requeue_refused(&mut self, now: Time, target: TargetKey, id: TaskId, outcome: &Outcome) {
        let Some(key) = self.by_job.get(&id.job).copied() else { return };
        let job = &mut self.jobs[key];
        // The run may be of an earlier submission of the job.
        let placed = job.task_mut(id).is_some_and(|task| task.state == TaskState::Placed(target));
        // A target that calls a run old may have ended or stopped it itself.
        if placed && !matches!(outcome, Outcome::Denied { why: Denial::Old, .. }) {
            job.runs = job.runs.saturating_sub(1);
        }
        self.requeue_task(now, target, id);
    }

    /// Stops the other members of a gang, which work only together and restart together.
    pub(super) fn stop_gang(&mut self, now: Time, key: JobKey, id: TaskId) {
        let job = &self.jobs[key];
        if !job.spec.steps.get(id.step as usize).is_some_and(|step| step.gang) {
            return;
        }
        let same = |(other, _): &(TaskId, TargetKey)| (other.occurrence, other.step) == (id.occurrence, id.step);
        for (member, target) in job.placed().into_iter().filter(same) {
            self.stop_run(now, target, member);
        }
    }

    pub(super) fn add_orphan(&mut self, key: TargetKey, task: TaskId, run: RunNumber, now: Time) {
        let target = &mut self.targets[key];
        let new = OrphanRun { run, found: now, listed: now, stop_sent: None };
        let orphan = target.orphans.entry(task).or_insert_with(|| new.clone());
        orphan.listed = now;
        if orphan.run < run {
            *orphan = new;
        }
    }

    /// Adopts the runs and ends of a job that were listed before the board knew the job.
    pub(super) fn adopt_runs(&mut self, now: Time, key: JobKey) {
        let id = self.jobs[key].id;
        let found: Vec<_> = self
            .targets
            .iter()
            .flat_map(|(at, target)| target.orphans.iter().map(move |(task, orphan)| (at, *task, orphan.clone())))
            .filter(|(_, task, orphan)| task.job == id && orphan.stop_sent.is_none())
            .collect();
        for (at, task, orphan) in found {
            if self.adopt_run(now, at, task, orphan.run, 0) {
                self.targets[at].orphans.swap_remove(&task);
            }
        }
        let ends: Vec<_> =
            self.unmatched_ends.iter().filter(|(task, _)| task.job == id).map(|(t, end)| (*t, end.0)).collect();
        for (task, run_end) in ends {
            self.unmatched_ends.swap_remove(&task);
            if run_end == RunEnd::Done {
                self.complete_task(now, task);
            }
        }
    }

    /// Adopts a listed run as the run of its waiting task. Returns false if the task is unknown or does not wait.
    pub(super) fn adopt_run(&mut self, now: Time, at: TargetKey, id: TaskId, number: RunNumber, percent: u32) -> bool {
        let Some(key) = self.by_job.get(&id.job).copied() else { return false };
        let job = &mut self.jobs[key];
        let Some(step) = job.spec.steps.get(id.step as usize).cloned() else { return false };
        if !job.remove_waiting(id) {
            return false;
        }
        job.runs += 1;
        job.task_mut(id).expect("a waiting task is in the table of its job").state = TaskState::Placed(at);
        let expected = expected_millis(&self.targets[at], &step, self.settings.remote_factor);
        let run = Run {
            number,
            need: required_resources(&step),
            state: RunState::Running,
            begun: now,
            sent: now,
            confirmed: true,
            moved_at: None,
            started_at: None,
            lease_end: 0,
            percent,
            last_progress: now,
            expected,
            stall_timeout: stall_timeout(&step, expected, self.settings.gang_timeout),
        };
        let expires = now + self.settings.lease_expiry();
        let target = &mut self.targets[at];
        target.expires = target.expires.max(expires);
        target.insert_run(id, run);
        log::info!(task:% = id, run = number.0, target = target.report.id; "board: run adopted");
        true
    }
}
