//! Jobs at work and their tasks.

use crate::{JobId, JobSpec, Kept, Queue, TargetKey, TaskId, Timing};
use indexmap::IndexMap;
use mangogw_model::Time;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::Duration;

slotmap::new_key_type! {
    /// A job on the board.
    pub(crate) struct JobKey;
}

/// A job at work.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) payload: Arc<str>,
    pub(crate) queue: String,
    pub(crate) pool: String,
    pub(crate) attempts: u32,
    pub(crate) arrived: Time,
    pub(crate) timing: Timing,
    pub(crate) patience: Option<Time>,
    pub(crate) stored: bool,
    /// No earlier leader had it, so that nothing of it runs anywhere.
    pub(crate) fresh: bool,
    pub(crate) started: bool,
    /// When its first task was started here.
    pub(crate) first_start: Option<Time>,
    pub(crate) askers: SmallVec<[u64; 1]>,
    /// Occurrences at work.
    pub(crate) turns: IndexMap<u32, Turn>,
    /// The next occurrence that has not begun.
    pub(crate) next_turn: u32,
}

/// One occurrence of the steps.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    pub(crate) steps: Vec<Group>,
}

/// The tasks of one step.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) tasks: Vec<Task>,
    /// Tasks that are not done.
    pub(crate) left: u32,
    /// Tasks that wait for a target, the last goes first.
    pub(crate) waiting: Vec<u32>,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) failures: u32,
    pub(crate) checkpoint: String,
    /// The target of its last failed run.
    pub(crate) avoid: Option<TargetKey>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum TaskState {
    #[default]
    Waiting,
    /// A run of it is, or may be, on the target.
    On(TargetKey),
    /// An end `done` of it waits to be noted.
    Noting,
    /// So many failed runs of it wait to be noted.
    Failing(u32),
    Done,
}

impl Job {
    pub(crate) fn new(
        id: JobId,
        spec: Arc<JobSpec>,
        queue: &Queue,
        arrived: Time,
        timing: Timing,
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
            timing,
            patience: None,
            stored,
            fresh: false,
            started: false,
            first_start: None,
            askers: SmallVec::new(),
            turns: IndexMap::new(),
            next_turn: 0,
        }
    }

    /// Takes over what the ledger knows of a stored job.
    pub(crate) fn recall(&mut self, kept: &Kept) {
        let turns: Vec<u32> = kept.done.keys().map(|(turn, _)| *turn).collect();
        for turn in turns.into_iter().chain(kept.failures.keys().map(|(turn, ..)| *turn)) {
            let spec = Arc::clone(&self.spec);
            self.turns.entry(turn).or_insert_with(|| Turn::new(&spec));
            self.started = true;
        }
        for ((turn, step), done) in &kept.done {
            for index in done {
                let id = TaskId { job: self.id, turn: *turn, step: *step, index: *index };
                self.take_waiting(id);
                self.finish(id);
            }
        }
        for ((turn, step, index), (count, _)) in &kept.failures {
            let id = TaskId { job: self.id, turn: *turn, step: *step, index: *index };
            if let Some(task) = self.task_mut(id) {
                task.failures = *count;
            }
        }
    }

    /// Begins the occurrences that are due; `wall` is the Unix millisecond of the zero of `now`.
    pub(crate) fn begin(&mut self, wall: u64, now: Time) -> bool {
        let mut begun = false;
        while self.next_turn < self.spec.turns() && self.due(self.next_turn, wall) <= now {
            let spec = Arc::clone(&self.spec);
            self.turns.entry(self.next_turn).or_insert_with(|| Turn::new(&spec));
            self.next_turn += 1;
            begun = true;
        }
        begun
    }

    fn due(&self, turn: u32, wall: u64) -> Time {
        Time::ZERO + Duration::from_millis(self.spec.due(turn).saturating_sub(wall))
    }

    pub(crate) fn group_mut(&mut self, id: TaskId) -> Option<&mut Group> {
        self.turns.get_mut(&id.turn)?.steps.get_mut(id.step as usize)
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.group_mut(id)?.tasks.get_mut(id.index as usize)
    }

    /// Takes a task out of those that wait. False if it does not wait.
    pub(crate) fn take_waiting(&mut self, id: TaskId) -> bool {
        let Some(group) = self.group_mut(id) else { return false };
        let waits = group.tasks.get(id.index as usize).is_some_and(|task| task.state == TaskState::Waiting);
        if waits {
            group.waiting.retain(|index| *index != id.index);
        }
        waits
    }

    pub(crate) fn put_back(&mut self, id: TaskId) {
        if let Some(group) = self.group_mut(id) {
            group.waiting.push(id.index);
        }
    }

    /// Counts a task as done.
    pub(crate) fn finish(&mut self, id: TaskId) {
        let Some(group) = self.group_mut(id) else { return };
        let Some(task) = group.tasks.get_mut(id.index as usize) else { return };
        if task.state != TaskState::Done {
            task.state = TaskState::Done;
            group.left -= 1;
        }
    }

    /// True if the steps before this one are done.
    pub(crate) fn is_open(&self, turn: u32, step: usize) -> bool {
        let Some(state) = self.turns.get(&turn) else { return false };
        let done = |on: &u32| state.steps.get(*on as usize).is_some_and(|group| group.left == 0);
        self.spec.steps[step].after.iter().all(done)
    }

    /// True if every task of every occurrence is done.
    pub(crate) fn is_whole(&self) -> bool {
        let whole = |turn: &Turn| turn.steps.iter().all(|group| group.left == 0);
        self.next_turn >= self.spec.turns() && self.turns.values().all(whole)
    }

    /// The longest chain of work that is not done, in milliseconds.
    pub(crate) fn work_left(&self) -> u64 {
        match self.turns.last() {
            Some((_, turn)) if self.spec.steps.len() > 1 => {
                let mut ends: Vec<u64> = Vec::with_capacity(turn.steps.len());
                for (step, group) in self.spec.steps.iter().zip(&turn.steps) {
                    let start = step.after.iter().filter_map(|on| ends.get(*on as usize)).max().copied().unwrap_or(0);
                    ends.push(start + if group.left == 0 { 0 } else { step.estimate });
                }
                ends.into_iter().max().unwrap_or(0)
            }
            _ => self.spec.chain(),
        }
    }

    /// Tasks that may be on a target.
    pub(crate) fn placed(&self) -> Vec<(TaskId, TargetKey)> {
        let mut placed = Vec::new();
        for (turn, state) in &self.turns {
            for (step, group) in state.steps.iter().enumerate() {
                for (index, task) in group.tasks.iter().enumerate() {
                    if let TaskState::On(target) = task.state {
                        let id = TaskId { job: self.id, turn: *turn, step: step as u32, index: index as u32 };
                        placed.push((id, target));
                    }
                }
            }
        }
        placed
    }
}

impl Turn {
    fn new(spec: &JobSpec) -> Self {
        let group = |count: u32| Group {
            tasks: vec![Task::default(); count as usize],
            left: count,
            waiting: (0..count).rev().collect(),
        };
        Self { steps: spec.steps.iter().map(|step| group(step.count)).collect() }
    }
}
