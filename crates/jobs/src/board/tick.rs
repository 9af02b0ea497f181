//! Timeouts of targets, runs and jobs, and the start of occurrences that are due.

use super::start::EARLY_REFUSAL_MIN_JOBS;
use super::table::JobKey;
use super::{Board, JOB_END_RETENTION, JobEnd, Output, RETRY_AFTER, Refused};
use crate::policy::PriorityClass;
use crate::target::{Run, RunState};
use crate::{Command, TargetKey, TargetState, TaskId};
use indexmap::IndexSet;
use mangogw_model::Time;
use std::time::Duration;

/// Time after which an orphan run of an earlier leader is stopped. Entry hosts submit open jobs to a new leader within
/// 300 ms.
pub(super) const ORPHAN_GRACE_PERIOD: Duration = Duration::from_millis(600);
/// Time without a report or an answer after which a target is absent. Targets report every 1.5 s.
const ABSENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an absent target is removed. No zone is expected to be cut off for longer than an hour.
const ABSENT_RETENTION: Duration = Duration::from_hours(2);
/// The same for a target that has left: longer than a report may be delayed.
const LEFT_RETENTION: Duration = Duration::from_mins(1);

impl Board {
    /// Handles everything that depends on time alone; to be called every 10 ms.
    pub fn on_tick(&mut self, now: Time) {
        self.expire_targets(now);
        self.expire_orphans(now);
        self.mark_absent(now);
        self.stop_stalled(now);
        self.update_fastest(now);
        self.expire_jobs(now);
        self.begin_occurrences(now);
        self.unmatched_ends.retain(|_, (_, at)| now - *at < JOB_END_RETENTION);
        self.recent_ends.retain(|_, (_, at)| now - *at < JOB_END_RETENTION);
        self.dirty = true;
    }

    /// Ends the runs on targets whose lease has surely expired without a renewal, and records one failure of each. A start
    /// without an answer may have arrived at a later incarnation that is not known yet, and have its lease there.
    fn expire_targets(&mut self, now: Time) {
        let longest = self.longest_hold();
        let is_over = |run: &Run| run.confirmed || run.moved_at.is_some() || now - run.begun >= longest;
        let expired: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(key, target)| {
                now >= target.expires && (!target.runs.is_empty() || self.unlisted.contains_key(key))
            })
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.unlisted.swap_remove(&key);
            let target = &mut self.targets[key];
            let over = target.runs.iter().filter(|(_, run)| is_over(run));
            let tasks: Vec<TaskId> = over.map(|(task, _)| *task).collect();
            if !target.record_silence(now, target.lease_begun) && tasks.is_empty() {
                continue;
            }
            let held = target.runs.len() - tasks.len();
            log::info!(
                target = target.report.id, runs = tasks.len(), held;
                "board: lease of a silent target expired"
            );
            for task in tasks {
                self.targets[key].remove_run(&task);
                self.requeue_task(now, key, task);
            }
            self.suspect_target(now, key, "lease expired");
        }
    }

    /// Forgets orphan runs whose lease has surely expired. Only this board can have renewed it since they were listed.
    fn expire_orphans(&mut self, now: Time) {
        let lease = self.settings.lease_expiry();
        for target in self.targets.values_mut() {
            let expires = target.expires;
            target.orphans.retain(|_, orphan| now < expires.max(orphan.listed + lease));
        }
    }

    /// Marks targets as absent that can't run anything any more, so that a later leader does not wait for them: those that
    /// neither report nor answer, and those that have left. They stay in the ledger for a while, since an isolated zone
    /// may use silent ones, and late reports of those that have left must meet a record of that.
    fn mark_absent(&mut self, now: Time) {
        let mut removed = Vec::new();
        for (key, target) in &mut self.targets {
            let left = target.report.state == TargetState::Left;
            let retention = if left { LEFT_RETENTION } else { ABSENT_RETENTION };
            match target.absent_since {
                Some(since) if now - since >= retention => removed.push(key),
                None if target.is_gone(now, ABSENT_TIMEOUT) => {
                    target.absent_since = Some(now);
                    let (id, incarnation) = (target.report.id.clone(), target.report.incarnation);
                    log::info!(target = id, born = incarnation, left; "board: target absent");
                    self.outputs.push(Output::Propose(Command::MarkAbsent { id, incarnation }));
                }
                _ => {}
            }
        }
        for key in removed {
            self.lose_target(now, key, "absent for too long");
        }
    }

    /// Stops runs that make no progress, so that their tasks start on other targets.
    fn stop_stalled(&mut self, now: Time) {
        let mut stalled: Vec<(TargetKey, TaskId)> = Vec::new();
        for (key, target) in self.targets.iter().filter(|(_, target)| target.confirmed) {
            for (task, run) in target.runs.iter().filter(|(_, run)| run.state == RunState::Running) {
                if now - run.last_progress >= run.stall_timeout && !self.is_endless(*task) {
                    stalled.push((key, *task));
                }
            }
        }
        for (key, task) in stalled {
            let target = &mut self.targets[key];
            target.health.record_stall(now);
            log::info!(task:%, target = target.report.id; "board: run stalled; stopping it");
            self.stop_run(now, key, task);
        }
    }

    fn is_endless(&self, task: TaskId) -> bool {
        self.by_job.get(&task.job).is_some_and(|key| self.jobs[*key].spec.endless)
    }

    /// Refuses jobs that have not started and can be of no use any more, or will have no room in time, and drops those
    /// whose client waits no longer.
    fn expire_jobs(&mut self, now: Time) {
        let crowded = self.waiting.len() >= EARLY_REFUSAL_MIN_JOBS;
        let without_room = if crowded { self.jobs_without_room(now) } else { IndexSet::new() };
        let over: Vec<(JobKey, bool)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.stored)
            .filter_map(|(key, job)| {
                let left = Duration::from_millis(job.remaining_path());
                let class = job.deadlines.rank(now, left).class();
                let refused = !job.is_started()
                    && (class == PriorityClass::Expired
                        || crowded && class == PriorityClass::Late
                        || without_room.contains(&key));
                let timed_out = job.deadline.is_some_and(|deadline| now >= deadline);
                (refused || timed_out).then_some((key, job.is_started()))
            })
            .collect();
        for (key, started) in over {
            if started {
                log::info!(job:% = self.jobs[key].id; "board: job dropped; the deadline of its client has passed");
                self.counts.dropped += 1;
                self.drop_job(now, key);
            } else {
                self.answer(now, key, JobEnd::Refused(Refused { wait: RETRY_AFTER }));
            }
        }
    }

    /// Begins the occurrences that are due.
    fn begin_occurrences(&mut self, now: Time) {
        let wall_offset = self.settings.wall_offset;
        for (key, job) in &mut self.jobs {
            if job.next_occurrence < job.spec.occurrences() && job.begin_occurrences(wall_offset, now) {
                self.waiting.insert(key);
            }
        }
    }
}
