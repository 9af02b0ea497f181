//! What goes into and comes out of the core.

use crate::{TargetKey, TaskKey};
use mangogw_model::{AttemptId, Code};
use std::time::Duration;

/// Something the shell has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the task to the target.
    Start {
        /// The task.
        task: TaskKey,
        /// The id of this try.
        attempt: AttemptId,
        /// Where to.
        target: TargetKey,
    },
    /// Tell the target to stop the attempt.
    Stop {
        /// The id of the try.
        attempt: AttemptId,
        /// Where it runs.
        target: TargetKey,
    },
    /// Tell the target to slow the attempt down.
    Throttle {
        /// The id of the try.
        attempt: AttemptId,
        /// Where it runs.
        target: TargetKey,
    },
    /// Tell the target to write the attempt's state down and set it aside.
    Checkpoint {
        /// The id of the try.
        attempt: AttemptId,
        /// Where it runs.
        target: TargetKey,
    },
    /// Tell the target to go on with an attempt that was slowed down or set aside. This is no second start.
    Resume {
        /// The id of the try.
        attempt: AttemptId,
        /// Where it is.
        target: TargetKey,
    },
    /// The task has ended; its key is no longer valid.
    End {
        /// The task.
        task: TaskKey,
        /// How.
        end: End,
    },
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With the answer of this attempt.
    Answered(AttemptId),
    /// Without an answer.
    Refused(Refusal),
}

/// A task that ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// How long to wait before trying again, where that helps.
    pub wait: Option<Duration>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self { code, wait: None }
    }
}

/// What the shell saw of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptReport {
    /// A whole answer came.
    Answered,
    /// The target answered that it failed.
    Failed,
    /// The answer was cut short.
    Truncated,
    /// The answer was over the limit of the entry.
    TooLarge,
    /// The target said it did not start it, or no byte of it was written.
    NotStarted,
    /// It may have started and nothing more is known.
    Lost,
    /// The target has slowed it down, as told by [`Action::Throttle`].
    Throttled,
    /// The target has written its state down and set it aside, as told by [`Action::Checkpoint`].
    Checkpointed,
    /// The target can't slow it down or set it aside; it runs on as before.
    Declined,
}
