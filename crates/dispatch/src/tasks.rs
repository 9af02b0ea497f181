//! Tables of tasks and attempts.

use crate::queue::SubQueueKey;
use crate::{Refusal, TargetKey, TaskKey, TaskSpec};
use mangogw_model::{Class, Code, Needs, Time};
use smallvec::SmallVec;

/// State of a waiting or running task.
#[derive(Debug)]
pub(crate) struct TaskRow {
    pub(crate) spec: TaskSpec,
    /// Predicted size, a logarithm as in [`crate::speed`].
    pub(crate) size: f32,
    /// Predicted work for the queue, in microseconds on a target of speed 1.
    pub(crate) weight: f32,
    /// Number of starts sent so far.
    pub(crate) tries: u8,
    /// Code of the last attempt that may have run.
    pub(crate) run_code: Option<Code>,
    /// Sub-queue that the task waits in.
    pub(crate) sub_queue: Option<SubQueueKey>,
    /// Serial numbers of the running attempts.
    pub(crate) attempts: SmallVec<[u64; 2]>,
    /// Target that last failed or rejected the task.
    pub(crate) avoid: Option<TargetKey>,
}

impl TaskRow {
    /// Returns the refusal for a task that ends now. A code with outcome `not-run` is used only if no attempt can have
    /// run.
    pub(crate) fn refusal(&self, unstarted: Code, running: Code) -> Refusal {
        match self.run_code {
            _ if !self.attempts.is_empty() => running.into(),
            Some(code) => code.into(),
            None => unstarted.into(),
        }
    }
}

/// State of one attempt of a task on a target.
#[derive(Debug)]
pub(crate) struct AttemptRow {
    pub(crate) task: TaskKey,
    pub(crate) target: TargetKey,
    pub(crate) entry: crate::EntryKey,
    pub(crate) owner: usize,
    pub(crate) class: Class,
    pub(crate) job: u64,
    /// Failure domain of the target; the tasks of a job are spread over these.
    pub(crate) domain: u32,
    /// Capacity held now; less than [`AttemptRow::full_needs`] while the attempt is throttled.
    pub(crate) needs: Needs,
    /// Needs of the task.
    pub(crate) full_needs: Needs,
    /// Declared run time in milliseconds, 0 if none.
    pub(crate) hint: u64,
    /// Predicted size, as in [`TaskRow::size`].
    pub(crate) size: f32,
    /// Work charged to the owner at the start, in microseconds on a target of speed 1.
    pub(crate) charge: f32,
    pub(crate) started: Time,
    pub(crate) phase: Phase,
    /// Number of answers that the target had given when the attempt started.
    pub(crate) start_answers: u32,
    /// True for a second attempt beside another.
    pub(crate) hedge: bool,
    /// True if the attempt was checkpointed, and so holds no capacity, when it was told to stop.
    pub(crate) was_checkpointed: bool,
    /// True once the attempt was asked to throttle or checkpoint; its run time is then not learned from.
    pub(crate) was_preempted: bool,
}

/// Phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The attempt runs.
    Running,
    /// The target was told to slow the attempt down.
    Throttling,
    /// The attempt runs slowly and holds no cores.
    Throttled,
    /// The target was told to checkpoint the attempt.
    Checkpointing,
    /// The attempt is suspended and holds no capacity.
    Checkpointed,
    /// The target was told to stop the attempt; its answer is no longer needed.
    Stopping,
}
