//! What a client hands in.

use crate::Resources;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Bytes of the longest payload.
const MAX_PAYLOAD_BYTES: usize = 4000;
/// Tasks of the largest job: ten times the largest that is expected (660).
const MAX_TASKS: u64 = 6600;

/// Tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// How many.
    pub count: u32,
    /// What each needs.
    pub need: Resources,
    /// The client's estimate of a run, in milliseconds; may be far off.
    pub estimate: u64,
    /// Steps that must be done first.
    pub depends_on: Vec<u32>,
    /// The tasks work only together.
    pub gang: bool,
    /// The tasks belong on one rack.
    pub colocate: bool,
    /// A label that the target must have.
    pub label: Option<String>,
    /// The rack that the data is on.
    pub rack: Option<String>,
    /// At most so many tasks of the step on one target; 0 for no limit.
    pub target_limit: u32,
    /// The tasks write checkpoints.
    pub checkpoints: bool,
    /// Its need is not counted against the room of a target.
    pub ignores_cpu: bool,
}

/// A job as its client describes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Handed to each task.
    pub payload: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// The job is not stored; its answer is its end.
    pub transient: bool,
    /// The tasks run until the job is cancelled.
    pub endless: bool,
    /// How often the steps run; 0 for once, at once.
    pub times: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_due: u64,
    /// Between two occurrences, in milliseconds.
    pub interval: u64,
}

/// How far a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The client cancelled it.
    Canceled,
}

/// Why a job can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BadJob {
    /// The payload is too long.
    #[snafu(display("the payload has {bytes} bytes, at most {MAX_PAYLOAD_BYTES} are taken"))]
    PayloadTooLong {
        /// Its length.
        bytes: usize,
    },
    /// The job has no step, or a step has no task.
    #[snafu(display("a job has one step or more, a step one task or more"))]
    NoTasks,
    /// The job has too many tasks.
    #[snafu(display("{tasks} tasks, at most {MAX_TASKS} are taken"))]
    TooManyTasks {
        /// How many.
        tasks: u64,
    },
    /// A step names one that does not come before it.
    #[snafu(display("step {step} depends on step {dependency}, which does not come before it"))]
    StepOrder {
        /// The step.
        step: usize,
        /// What it names.
        dependency: u32,
    },
}

impl JobSpec {
    /// Checks what can be checked without knowing queues and targets.
    ///
    /// # Errors
    /// [`BadJob`] with the first fault.
    ///
    /// ```
    /// use mangogw_jobs::{BadJob, JobSpec};
    /// assert_eq!(JobSpec::default().check(), Err(BadJob::NoTasks));
    /// ```
    pub fn check(&self) -> Result<(), BadJob> {
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let order = self.steps.iter().enumerate().find_map(|(at, step)| {
            step.depends_on.iter().find(|dependency| **dependency as usize >= at).map(|dependency| (at, *dependency))
        });
        match order {
            _ if self.payload.len() > MAX_PAYLOAD_BYTES => Err(BadJob::PayloadTooLong { bytes: self.payload.len() }),
            _ if self.steps.is_empty() || self.steps.iter().any(|step| step.count == 0) => Err(BadJob::NoTasks),
            _ if tasks > MAX_TASKS => Err(BadJob::TooManyTasks { tasks }),
            Some((step, dependency)) => Err(BadJob::StepOrder { step, dependency }),
            None => Ok(()),
        }
    }

    /// The longest chain of estimates through the steps, in milliseconds.
    ///
    /// ```
    /// use mangogw_jobs::{JobSpec, Step};
    /// let first = Step { count: 1, estimate: 50, ..Step::default() };
    /// let second = Step { estimate: 30, depends_on: vec![0], ..first.clone() };
    /// let job = JobSpec { steps: vec![first.clone(), second, first], ..JobSpec::default() };
    /// assert_eq!(job.critical_path(), 80);
    /// ```
    pub fn critical_path(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step
                .depends_on
                .iter()
                .filter_map(|dependency| ends.get(*dependency as usize))
                .max()
                .copied()
                .unwrap_or(0);
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// How often the steps run.
    pub const fn occurrences(&self) -> u32 {
        if self.times == 0 { 1 } else { self.times }
    }

    /// When an occurrence is due, in Unix milliseconds; 0 for at once.
    pub const fn due(&self, occurrence: u32) -> u64 {
        if self.times == 0 { 0 } else { self.first_due + occurrence as u64 * self.interval }
    }
}
