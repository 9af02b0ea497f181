//! Jobs as callers see them.

use crate::{Code, Key, Outcome, TaskIndex};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// What a task says it needs; hints, corrected by what ran.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Needs {
    /// Cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Run time in milliseconds; 0 is not known.
    pub estimate_ms: u64,
}

/// The state of a job. It leaves `Running` once and never changes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Tasks are waiting or running.
    Running,
    /// Every task was answered.
    Complete,
    /// At least one task was not answered; no answer is shown.
    Failed,
}

/// A job as a reader sees it: all answers or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The key of the submission.
    pub key: Key,
    /// The state.
    pub state: JobState,
    /// The number of tasks.
    pub total: u32,
    /// The outcome, once the job has ended.
    pub outcome: Option<Outcome>,
    /// The number of the code it ended with.
    pub code: Option<u16>,
    /// The task that made it fail.
    pub culprit: Option<TaskIndex>,
    /// The answers in task order; empty unless the job is complete.
    pub tasks: Vec<TaskView>,
}

/// The answer of one task of a complete job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// The status the target answered with.
    pub status: u16,
    /// The answer, in base64.
    pub body_base64: String,
}

impl TaskView {
    /// The view of an answer.
    ///
    /// ```
    /// assert_eq!(mangogw_model::TaskView::new(200, b"b").body_base64, "Yg==");
    /// ```
    pub fn new(status: u16, body: &[u8]) -> Self {
        Self { status, body_base64: STANDARD.encode(body) }
    }
}

impl JobView {
    /// A job that is still running.
    ///
    /// ```
    /// use mangogw_model::{JobState, JobView};
    /// assert_eq!(JobView::running("k".into(), 3).state, JobState::Running);
    /// ```
    pub const fn running(key: Key, total: u32) -> Self {
        Self { key, state: JobState::Running, total, outcome: None, code: None, culprit: None, tasks: Vec::new() }
    }

    /// A job that failed with `code` because of `culprit`.
    ///
    /// ```
    /// use mangogw_model::{Code, JobView, Outcome};
    /// let view = JobView::failed("k".into(), 3, Code::TargetFailed, None);
    /// assert_eq!(view.outcome, Some(Outcome::Failed));
    /// ```
    pub const fn failed(key: Key, total: u32, code: Code, culprit: Option<TaskIndex>) -> Self {
        Self {
            key,
            state: JobState::Failed,
            total,
            outcome: Some(code.outcome()),
            code: Some(code.number()),
            culprit,
            tasks: Vec::new(),
        }
    }

    /// A complete job with its answers in task order.
    ///
    /// ```
    /// use mangogw_model::{JobState, JobView};
    /// assert_eq!(JobView::complete("k".into(), Vec::new()).state, JobState::Complete);
    /// ```
    pub fn complete(key: Key, tasks: Vec<TaskView>) -> Self {
        Self {
            key,
            state: JobState::Complete,
            total: tasks.len() as u32,
            outcome: Some(Outcome::Answered),
            code: Some(Code::Answered.number()),
            culprit: None,
            tasks,
        }
    }
}
