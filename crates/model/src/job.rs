//! Jobs and their results in the form that callers read.

use crate::{Code, Key, Outcome, TaskIndex};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// Resources that a task requests. They are hints, corrected by the measured use of earlier runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Needs {
    /// Number of cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Estimated run time in milliseconds; 0 means unknown.
    pub estimate_ms: u64,
}

/// State of a job. It leaves `Running` once and is final afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Tasks are waiting or running.
    Running,
    /// All tasks were answered.
    Complete,
    /// At least one task was not answered; the view then contains no answers.
    Failed,
}

/// View of a job with all of its answers or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Key of the submission.
    pub key: Key,
    /// State of the job.
    pub state: JobState,
    /// Number of tasks.
    pub total: u32,
    /// Outcome; `None` until the job has ended.
    pub outcome: Option<Outcome>,
    /// Number of the result code; `None` until the job has ended.
    pub code: Option<u16>,
    /// Task that caused the failure, if one did.
    pub culprit: Option<TaskIndex>,
    /// Answers in task order; empty unless the job is complete.
    pub tasks: Vec<TaskView>,
}

/// Answer of one task of a complete job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// HTTP status of the target's answer.
    pub status: u16,
    /// Body of the answer, in base64.
    pub body_base64: String,
}

impl TaskView {
    /// Builds the view of an answer from its status and body.
    ///
    /// ```
    /// assert_eq!(mangogw_model::TaskView::new(200, b"b").body_base64, "Yg==");
    /// ```
    pub fn new(status: u16, body: &[u8]) -> Self {
        Self { status, body_base64: STANDARD.encode(body) }
    }
}

impl JobView {
    /// Builds the view of a job that is still running.
    ///
    /// ```
    /// use mangogw_model::{JobState, JobView};
    /// assert_eq!(JobView::running("k".into(), 3).state, JobState::Running);
    /// ```
    pub const fn running(key: Key, total: u32) -> Self {
        Self { key, state: JobState::Running, total, outcome: None, code: None, culprit: None, tasks: Vec::new() }
    }

    /// Builds the view of a job that failed with `code` because of `culprit`.
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

    /// Builds the view of a complete job; `tasks` are the answers in task order.
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
