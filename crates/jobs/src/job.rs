//! Jobs as clients describe them.

use crate::Resources;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a payload.
const MAX_PAYLOAD_BYTES: usize = 4000;
/// Maximum number of tasks of a job: ten times the largest that is expected (660).
pub const MAX_TASKS: u64 = 6600;

/// Group of equal tasks of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks of the step.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Estimate of the run time by the client, in milliseconds; may be far off.
    pub estimate: u64,
    /// Positions of the steps that must be done first.
    pub depends_on: Vec<u32>,
    /// True if the tasks work only together.
    pub gang: bool,
    /// True if the tasks belong on one rack.
    pub colocate: bool,
    /// Label that the target must have; `None` for any target.
    pub label: Option<String>,
    /// Rack that holds the data; `None` for none.
    pub rack: Option<String>,
    /// Maximum number of tasks of the step on one target; 0 for no limit.
    pub target_limit: u32,
    /// True if the tasks write checkpoints.
    pub checkpoints: bool,
    /// True if the processor need of the tasks is not counted against the capacity of a target.
    pub ignores_cpu: bool,
}

/// Job as its client describes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Payload that is passed to each task.
    pub payload: String,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// True if the job is not stored, and its client is answered when it ends.
    pub transient: bool,
    /// True if the tasks run until the job is cancelled.
    pub endless: bool,
    /// Number of occurrences; 0 for one that is due at once.
    pub times: u32,
    /// Due time of the first occurrence, in Unix milliseconds.
    pub first_due: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval: u64,
}

/// Progress of a job.
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
    /// The client has cancelled the job.
    Canceled,
}

/// Reason for which a job is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BadJob {
    /// The payload is too long.
    #[snafu(display("the payload has {bytes} bytes, at most {MAX_PAYLOAD_BYTES} are taken"))]
    PayloadTooLong {
        /// Length of the payload.
        bytes: usize,
    },
    /// The job has no step, or a step has no task.
    #[snafu(display("a job has one step or more, a step one task or more"))]
    NoTasks,
    /// The job has too many tasks.
    #[snafu(display("{tasks} tasks, at most {MAX_TASKS} are taken"))]
    TooManyTasks {
        /// Number of tasks of the job.
        tasks: u64,
    },
    /// A step depends on one that does not come before it.
    #[snafu(display("step {step} depends on step {dependency}, which does not come before it"))]
    StepOrder {
        /// Position of the step.
        step: usize,
        /// Position of the step that it depends on.
        dependency: u32,
    },
}

impl JobSpec {
    /// Checks everything that does not depend on queues and targets.
    ///
    /// # Errors
    /// [`BadJob`] with the first fault found.
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

    /// Returns the sum of the estimates on the critical path through the steps, in milliseconds.
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
            ends.push(start.saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the bytes of memory that the job takes, about.
    ///
    /// ```
    /// use mangogw_jobs::{JobSpec, Step};
    /// let job = JobSpec { payload: "p".repeat(100), steps: vec![Step::default(); 10], ..JobSpec::default() };
    /// assert!(job.size() >= 100 + 10 * size_of::<Step>());
    /// ```
    pub fn size(&self) -> usize {
        let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let size = |step: &Step| {
            size_of::<Step>() + step.depends_on.len() * size_of::<u32>() + text(&step.label) + text(&step.rack)
        };
        size_of::<Self>() + self.payload.len() + self.steps.iter().map(size).sum::<usize>()
    }

    /// Returns the number of occurrences, at least 1.
    pub const fn occurrences(&self) -> u32 {
        if self.times == 0 { 1 } else { self.times }
    }

    /// Returns the due time of an occurrence, in Unix milliseconds; 0 if it is due at once.
    pub const fn due(&self, occurrence: u32) -> u64 {
        match self.times {
            0 => 0,
            _ => self.first_due.saturating_add((occurrence as u64).saturating_mul(self.interval)),
        }
    }
}
