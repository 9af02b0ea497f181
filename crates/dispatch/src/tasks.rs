//! The tables of tasks and attempts.

use crate::queue::SubQueueKey;
use crate::{Refusal, TargetKey, TaskKey, TaskSpec};
use mangogw_model::{Class, Code, Needs, Time};
use smallvec::SmallVec;

/// A task that is waiting or running.
#[derive(Debug)]
pub(crate) struct TaskRow {
    pub(crate) work: TaskSpec,
    /// Its predicted size, as in [`crate::speed`].
    pub(crate) size: f32,
    /// What it counts for in the queue, in microseconds at speed 1.
    pub(crate) weight: f32,
    /// Starts that have left.
    pub(crate) tries: u8,
    /// Set once an attempt may have run.
    pub(crate) run_code: Option<Code>,
    /// Where it waits.
    pub(crate) sub_queue: Option<SubQueueKey>,
    /// The attempts under way, by serial number.
    pub(crate) attempts: SmallVec<[u64; 2]>,
    /// The target that failed it last.
    pub(crate) avoid: Option<TargetKey>,
}

impl TaskRow {
    /// The refusal that is true of it: `not-run` codes only if no attempt can have run.
    pub(crate) fn refusal(&self, unstarted: Code, running: Code) -> Refusal {
        match self.run_code {
            _ if !self.attempts.is_empty() => running.into(),
            Some(code) => code.into(),
            None => unstarted.into(),
        }
    }
}

/// One try on one target.
#[derive(Debug)]
pub(crate) struct AttemptRow {
    pub(crate) task: TaskKey,
    pub(crate) target: TargetKey,
    pub(crate) entry: crate::EntryKey,
    pub(crate) owner: usize,
    pub(crate) class: Class,
    pub(crate) job: u64,
    /// What the tasks of the job are spread over.
    pub(crate) domain: u32,
    /// What it holds now; less than the task asked for while it is throttled.
    pub(crate) needs: Needs,
    /// What the task asked for.
    pub(crate) full_needs: Needs,
    pub(crate) hint: u64,
    pub(crate) size: f32,
    /// What the owner was charged.
    pub(crate) charge: f32,
    pub(crate) started: Time,
    pub(crate) phase: Phase,
    /// The answers its target had given when it started.
    pub(crate) start_answers: u32,
    /// True for the second of two.
    pub(crate) hedge: bool,
    /// True if it was set aside, and so holds nothing, when it was told to stop.
    pub(crate) was_checkpointed: bool,
    /// True once it was slowed or set aside; its run time then teaches nothing.
    pub(crate) was_preempted: bool,
}

/// What was last asked of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// To run.
    Running,
    /// To slow down.
    Throttling,
    /// It slowed down.
    Throttled,
    /// To be set aside.
    Checkpointing,
    /// It is set aside and holds nothing.
    Checkpointed,
    /// To stop; its answer is no longer wanted.
    Stopping,
}
