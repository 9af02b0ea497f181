//! Active jobs and the state of their tasks.

use crate::job::MAX_TASKS;
use crate::{Deadlines, JobId, JobSpec, Queue, StoredJob, TargetKey, TaskId};
use indexmap::IndexMap;
use mangogw_model::Time;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::Duration;

slotmap::new_key_type! {
    /// Key of a job on the board.
    pub(crate) struct JobKey;
}

/// Active job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) payload: Arc<str>,
    pub(crate) queue: String,
    pub(crate) pool: String,
    pub(crate) attempts: u32,
    pub(crate) arrived: Time,
    pub(crate) deadlines: Deadlines,
    /// Instant until which the client waits; `None` if it gave none.
    pub(crate) deadline: Option<Time>,
    pub(crate) stored: bool,
    /// True if no earlier leader received the job, so that none of its tasks can be running.
    pub(crate) first_attempt: bool,
    /// Number of runs of its tasks that have started or may have; those that were surely refused don't count.
    pub(crate) runs: u32,
    /// Time of the first start of a task by this leader.
    pub(crate) first_start: Option<Time>,
    /// Numbers under which answers to clients are due.
    pub(crate) recipients: SmallVec<[u64; 1]>,
    /// Occurrences that have begun.
    pub(crate) occurrences: IndexMap<u32, Occurrence>,
    /// Number of the next occurrence to begin.
    pub(crate) next_occurrence: u32,
}

/// One repetition of all steps.
#[derive(Debug, Default)]
pub(crate) struct Occurrence {
    pub(crate) steps: Vec<StepTasks>,
}

/// Tasks of one step.
#[derive(Debug, Default)]
pub(crate) struct StepTasks {
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks that are not done.
    pub(crate) remaining: u32,
    /// Tasks that wait for a target; the last one starts first.
    pub(crate) waiting: Vec<u32>,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) failures: u32,
    pub(crate) checkpoint: String,
    /// Target of the last failed run.
    pub(crate) avoid: Option<TargetKey>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum TaskState {
    #[default]
    Waiting,
    /// A run of the task is, or may be, on the target.
    Placed(TargetKey),
    /// An end as done is not recorded in the log yet.
    RecordingDone,
    /// Number of failed runs that are not recorded in the log yet.
    RecordingFailures(u32),
    Done,
}

impl Job {
    pub(crate) fn new(
        id: JobId,
        spec: Arc<JobSpec>,
        queue: &Queue,
        arrived: Time,
        deadlines: Deadlines,
        stored: bool,
    ) -> Self {
        Self {
            id,
            payload: Arc::from(spec.payload.as_str()),
            spec,
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            attempts: queue.attempts.max(1),
            arrived,
            deadlines,
            deadline: None,
            stored,
            first_attempt: false,
            runs: 0,
            first_start: None,
            recipients: SmallVec::new(),
            occurrences: IndexMap::new(),
            next_occurrence: 0,
        }
    }

    /// Restores finished tasks and failure counts of a stored job from the ledger.
    pub(crate) fn restore_progress(&mut self, stored_job: &StoredJob) {
        let occurrences: Vec<u32> = stored_job.done.keys().map(|(occurrence, _)| *occurrence).collect();
        for occurrence in occurrences.into_iter().chain(stored_job.failures.keys().map(|(occurrence, ..)| *occurrence))
        {
            let spec = Arc::clone(&self.spec);
            self.occurrences.entry(occurrence).or_insert_with(|| Occurrence::new(&spec));
            self.runs = self.runs.max(1);
        }
        for ((occurrence, step), done) in &stored_job.done {
            for index in done {
                let id = TaskId { job: self.id, occurrence: *occurrence, step: *step, index: *index };
                self.remove_waiting(id);
                self.mark_done(id);
                if stored_job.is_gang_done(*occurrence, *step) {
                    self.complete_gang(id);
                }
            }
        }
        for ((occurrence, step, index), (count, _)) in &stored_job.failures {
            let id = TaskId { job: self.id, occurrence: *occurrence, step: *step, index: *index };
            if let Some(task) = self.task_mut(id) {
                task.failures = *count;
            }
        }
    }

    /// Begins the occurrences that are due, and returns true if there was one. `wall_offset` is the Unix time, in
    /// milliseconds, at the zero of `now`. An occurrence waits while those before it have [`MAX_TASKS`] unfinished
    /// tasks or more, which bounds the memory of a job whose occurrences are all due.
    pub(crate) fn begin_occurrences(&mut self, wall_offset: u64, now: Time) -> bool {
        let mut begun = false;
        while self.next_occurrence < self.spec.occurrences()
            && self.due(self.next_occurrence, wall_offset) <= now
            && self.unfinished_tasks() < MAX_TASKS
        {
            let spec = Arc::clone(&self.spec);
            self.occurrences.entry(self.next_occurrence).or_insert_with(|| Occurrence::new(&spec));
            self.next_occurrence += 1;
            begun = true;
        }
        begun
    }

    fn unfinished_tasks(&self) -> u64 {
        let groups = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        groups.map(|group| u64::from(group.remaining)).sum()
    }

    fn due(&self, occurrence: u32, wall_offset: u64) -> Time {
        Time::ZERO + Duration::from_millis(self.spec.due(occurrence).saturating_sub(wall_offset))
    }

    /// Returns true if a task of the job has run or may have.
    pub(crate) const fn is_started(&self) -> bool {
        self.runs > 0
    }

    pub(crate) fn step_mut(&mut self, id: TaskId) -> Option<&mut StepTasks> {
        self.occurrences.get_mut(&id.occurrence)?.steps.get_mut(id.step as usize)
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id)?.tasks.get_mut(id.index as usize)
    }

    /// Removes a task from the waiting tasks of its step. Returns false if it does not wait.
    pub(crate) fn remove_waiting(&mut self, id: TaskId) -> bool {
        let Some(group) = self.step_mut(id) else { return false };
        let waits = group.tasks.get(id.index as usize).is_some_and(|task| task.state == TaskState::Waiting);
        if waits {
            group.waiting.retain(|index| *index != id.index);
        }
        waits
    }

    pub(crate) fn requeue(&mut self, id: TaskId) {
        if let Some(group) = self.step_mut(id) {
            group.waiting.push(id.index);
        }
    }

    /// Marks a task as done.
    pub(crate) fn mark_done(&mut self, id: TaskId) {
        let Some(group) = self.step_mut(id) else { return };
        let Some(task) = group.tasks.get_mut(id.index as usize) else { return };
        if task.state != TaskState::Done {
            task.state = TaskState::Done;
            group.remaining -= 1;
        }
    }

    /// Marks all tasks of a gang as done: one end stands for all of them.
    pub(crate) fn complete_gang(&mut self, id: TaskId) {
        let count = self.spec.steps.get(id.step as usize).map_or(0, |step| step.count);
        for index in 0..count {
            let member = TaskId { index, ..id };
            self.remove_waiting(member);
            self.mark_done(member);
        }
    }

    /// Returns true if all steps that this step depends on are done.
    pub(crate) fn is_step_ready(&self, occurrence: u32, step: usize) -> bool {
        let Some(state) = self.occurrences.get(&occurrence) else { return false };
        let done = |dependency: &u32| state.steps.get(*dependency as usize).is_some_and(|group| group.remaining == 0);
        self.spec.steps[step].depends_on.iter().all(done)
    }

    /// Returns true if every task of every occurrence is done.
    pub(crate) fn is_complete(&self) -> bool {
        let complete = |occurrence: &Occurrence| occurrence.steps.iter().all(|group| group.remaining == 0);
        self.next_occurrence >= self.spec.occurrences() && self.occurrences.values().all(complete)
    }

    /// Returns the length of the critical path through the steps of the last occurrence that are not done, in
    /// milliseconds.
    pub(crate) fn remaining_path(&self) -> u64 {
        match self.occurrences.last() {
            Some((_, occurrence)) if self.spec.steps.len() > 1 => {
                let mut ends: Vec<u64> = Vec::with_capacity(occurrence.steps.len());
                for (step, group) in self.spec.steps.iter().zip(&occurrence.steps) {
                    let start = step
                        .depends_on
                        .iter()
                        .filter_map(|dependency| ends.get(*dependency as usize))
                        .max()
                        .copied()
                        .unwrap_or(0);
                    ends.push(start.saturating_add(if group.remaining == 0 { 0 } else { step.estimate }));
                }
                ends.into_iter().max().unwrap_or(0)
            }
            _ => self.spec.critical_path(),
        }
    }

    /// Returns the tasks that are or may be on a target, with that target.
    pub(crate) fn placed(&self) -> Vec<(TaskId, TargetKey)> {
        let mut placed = Vec::new();
        for (occurrence, state) in &self.occurrences {
            for (step, group) in state.steps.iter().enumerate() {
                for (index, task) in group.tasks.iter().enumerate() {
                    if let TaskState::Placed(target) = task.state {
                        let id =
                            TaskId { job: self.id, occurrence: *occurrence, step: step as u32, index: index as u32 };
                        placed.push((id, target));
                    }
                }
            }
        }
        placed
    }
}

impl Occurrence {
    fn new(spec: &JobSpec) -> Self {
        let group = |count: u32| StepTasks {
            tasks: vec![Task::default(); count as usize],
            remaining: count,
            waiting: (0..count).rev().collect(),
        };
        Self { steps: spec.steps.iter().map(|step| group(step.count)).collect() }
    }
}
