//! The rules that no fault may break, checked only with what targets and clients see.

use mangogw_control::Reply;
use mangogw_jobs::{JobId, Phase, Resources, RunEnd, RunNumber, TaskId};
use mangogw_model::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// Time after the acknowledged cancellation of a job after which none of its tasks may start.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct TaskLog {
    /// Active runs by target index and incarnation.
    active: BTreeMap<(usize, u64), RunNumber>,
    starts: Vec<Time>,
    /// Ends `done` and `failed`: time, target index, incarnation, and number of the end there.
    done: Vec<(Time, usize, u64, u64)>,
    failed: Vec<(Time, usize, u64, u64)>,
}

#[derive(Debug, Default)]
pub struct JobLog {
    pub stored: bool,
    pub attempts: u32,
    pub sent: u32,
    pub first_sent: Option<Time>,
    pub replies: Vec<Reply>,
    pub accepted: Option<Time>,
    pub canceled: Option<Time>,
    pub cancel_sent: bool,
}

#[derive(Debug, Default)]
pub struct Oracle {
    tasks: BTreeMap<TaskId, TaskLog>,
    pub jobs: BTreeMap<JobId, JobLog>,
    recorded: BTreeSet<(usize, u64, u64)>,
    /// Acknowledged versions of the queue set, each with the time of its acknowledgement.
    pub acked_versions: Vec<(Time, u64)>,
    pub violations: Vec<String>,
    pub starts: u64,
    /// Time and target of each start.
    pub start_times: Vec<(Time, usize)>,
    /// Time and target of each end of a run that was stopped or lost its lease.
    pub broken: Vec<(Time, usize)>,
}

impl Oracle {
    pub fn started(
        &mut self,
        now: Time,
        target: (usize, u64),
        task: TaskId,
        run: RunNumber,
        used: Resources,
        resources: Resources,
    ) {
        self.starts += 1;
        self.start_times.push((now, target.0));
        log::debug!(now = now.as_micros() / 1000, task:%, run = run.0, worker:? = target; "oracle: started");
        if !resources.can_fit(&used) {
            self.violation(now, &format!("LIMIT: {task} on worker {target:?}: {used:?} of {resources:?}"));
        }
        let stored = self.jobs.get(&task.job).map(|job| (job.stored, job.canceled));
        let log = self.tasks.entry(task).or_default();
        log.starts.push(now);
        let others: Vec<_> = log.active.keys().copied().filter(|at| *at != target).collect();
        log.active.insert(target, run);
        if !others.is_empty() {
            self.violation(now, &format!("TWICE: {task} starts on {target:?} and runs on {others:?}"));
        }
        match stored {
            None => self.violation(now, &format!("UNASKED: {task}")),
            Some((_, Some(canceled))) if now - canceled > CANCEL_TIMEOUT => {
                self.violation(now, &format!("UNASKED: {task} starts after its cancel"));
            }
            Some(_) => {}
        }
    }

    pub fn ended(&mut self, now: Time, target: (usize, u64), task: TaskId, number: u64, run_end: RunEnd) {
        log::debug!(now = now.as_micros() / 1000, task:%, number, worker:? = target, how:? = run_end; "oracle: ended");
        let log = self.tasks.entry(task).or_default();
        log.active.remove(&target);
        match run_end {
            RunEnd::Done => log.done.push((now, target.0, target.1, number)),
            RunEnd::Failed => log.failed.push((now, target.0, target.1, number)),
            RunEnd::Stopped | RunEnd::Lapsed => self.broken.push((now, target.0)),
            _ => {}
        }
    }

    /// Returns the number of active runs.
    pub fn running(&self) -> usize {
        self.tasks.values().map(|log| log.active.len()).sum()
    }

    /// Returns the number of active runs on the targets of a zone of `zones`.
    pub fn running_in(&self, zone: usize, zones: usize) -> usize {
        let active = self.tasks.values().flat_map(|log| log.active.keys());
        active.filter(|(target, _)| target % zones == zone).count()
    }

    /// Returns the jobs first sent in a span of time that ended as unclear although none of their tasks had started.
    pub fn unclear_without_a_start(&self, sent: Range<Time>) -> Vec<JobId> {
        let started = |id: &JobId| self.tasks.keys().any(|task| task.job == *id);
        let jobs = self.jobs.iter().filter(|(_, job)| job.first_sent.is_some_and(|at| sent.contains(&at)));
        let unclear = jobs.filter(|(id, job)| job.replies.contains(&Reply::Unclear) && !started(id));
        unclear.map(|(id, _)| *id).collect()
    }

    /// Removes the runs of a target's incarnation that has crashed.
    pub fn on_crash(&mut self, target: (usize, u64)) {
        self.tasks.values_mut().for_each(|log| log.active.retain(|at, _| *at != target));
    }

    pub fn recorded(&mut self, target: (usize, u64), numbers: Vec<u64>) {
        self.recorded.extend(numbers.into_iter().map(|number| (target.0, target.1, number)));
    }

    pub fn violation(&mut self, now: Time, text: &str) {
        self.violations.push(format!("{} ms: {text}", now.as_micros() / 1000));
    }

    pub fn fetched(&mut self, now: Time, sent: Time, version: u64) {
        let least = self.acked_versions.iter().filter(|(at, _)| *at <= sent).map(|(_, version)| *version).max();
        if least.is_some_and(|least| version < least) {
            self.violation(now, &format!("CONFIG: version {version} read after {least:?} was acknowledged"));
        }
    }

    /// Checks the rules that need the whole history. `replies` holds the last read of each accepted job.
    pub fn check_final(&mut self, now: Time, replies: &BTreeMap<JobId, Reply>) {
        let is_recorded = |end: &&(Time, usize, u64, u64)| self.recorded.contains(&(end.1, end.2, end.3));
        let mut violations = Vec::new();
        let mut started = BTreeSet::new();
        for (task, log) in &self.tasks {
            started.insert(task.job);
            let Some(job) = self.jobs.get(&task.job).filter(|job| job.stored) else { continue };
            let done = log.done.iter().filter(is_recorded).map(|end| end.0).min();
            if let Some(done) = done
                && log.starts.iter().any(|start| *start > done)
            {
                violations.push(format!("TWICE: {task} starts after a done end that was noted"));
            }
            let mut failed: Vec<Time> = log.failed.iter().filter(is_recorded).map(|end| end.0).collect();
            failed.sort_unstable();
            if let Some(last) = failed.get(job.attempts.max(1) as usize - 1)
                && log.starts.iter().any(|start| start > last)
            {
                violations.push(format!("BUDGET: {task} starts after {} failed runs", job.attempts));
            }
        }
        for (id, job) in &self.jobs {
            let refused = |reply: &Reply| matches!(reply, Reply::Refused { .. } | Reply::NoQueue);
            if started.contains(id) && job.replies.len() as u32 == job.sent && job.replies.iter().all(refused) {
                violations.push(format!("REFUSED: {id} ran, and all its {} sends were turned away", job.sent));
            }
            if job.accepted.is_some() {
                match replies.get(id) {
                    Some(Reply::State(Phase::Completed)) => {}
                    Some(Reply::State(Phase::Canceled)) if job.cancel_sent => {}
                    Some(Reply::State(Phase::Failed)) if self.failed_out(*id, job.attempts) => {}
                    other => violations.push(format!("LOST: {id} is shown as {other:?}")),
                }
            }
        }
        for violation in violations {
            self.violation(now, &violation);
        }
    }

    fn failed_out(&self, id: JobId, attempts: u32) -> bool {
        self.tasks.iter().any(|(task, log)| task.job == id && log.failed.len() as u32 >= attempts.max(1))
    }
}
