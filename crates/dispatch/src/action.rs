//! Actions that the core asks of the shell, and the reports that the shell returns.

use crate::{TargetKey, TaskKey};
use mangogw_model::{AttemptId, Code};
use std::time::Duration;

/// Action for the shell to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the task to the target.
    Start {
        /// Task to start.
        task: TaskKey,
        /// Id of the new attempt.
        attempt: AttemptId,
        /// Target that the task is sent to.
        target: TargetKey,
    },
    /// Tell the target to stop the attempt.
    Stop {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Target that runs the attempt.
        target: TargetKey,
    },
    /// Tell the target to slow the attempt down.
    Throttle {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Target that runs the attempt.
        target: TargetKey,
    },
    /// Tell the target to write a checkpoint of the attempt and to suspend it.
    Checkpoint {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Target that runs the attempt.
        target: TargetKey,
    },
    /// Tell the target to continue an attempt that was throttled or checkpointed. This does not count as a second
    /// start.
    Resume {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Target that holds the attempt.
        target: TargetKey,
    },
    /// The task has ended; its key is no longer valid.
    End {
        /// Task that ended.
        task: TaskKey,
        /// Result of the task.
        end: End,
    },
}

/// Result of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The task ended with the answer of this attempt.
    Answered(AttemptId),
    /// The task ended without an answer.
    Refused(Refusal),
}

/// Reason why a task ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Code of the reason.
    pub code: Code,
    /// Time to wait before a retry, or `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self { code, retry_after: None }
    }
}

/// Result of an attempt or of a request to its target, as seen by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptReport {
    /// The target returned a complete answer.
    Answered,
    /// The target answered that the task failed.
    Failed,
    /// The answer was truncated.
    Truncated,
    /// The answer exceeds the limit of the entry.
    TooLarge,
    /// The target rejected the task, or no byte of the request was written.
    NotStarted,
    /// The attempt may have started, and nothing more is known.
    Lost,
    /// The target has slowed the attempt down, as asked by [`Action::Throttle`].
    Throttled,
    /// The target has written a checkpoint and suspended the attempt, as asked by [`Action::Checkpoint`].
    Checkpointed,
    /// The target can't throttle or checkpoint the attempt; the attempt runs on as before.
    Declined,
}
