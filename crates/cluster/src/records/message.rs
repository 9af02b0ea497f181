//! Messages between the records of two hosts, and what they carry.

use crate::ownership::{Holder, RangeId};
use bytes::Bytes;
use mangogw_model::{Code, EntryName, Incarnation, Key, Needs, TaskIndex, Time};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The SHA-256 of a submission's body, or any digest that tells bodies apart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyDigest(pub [u8; 32]);

/// One task of a submission.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// What the target gets.
    pub body: Bytes,
    /// What it needs.
    pub needs: Needs,
}

/// What a submission asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionSpec {
    /// The catalogue entry.
    pub entry: EntryName,
    /// Tells this body from others under the same key.
    pub digest: BodyDigest,
    /// The tasks in order.
    pub tasks: Vec<Task>,
}

/// How one task ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The whole answer of the target.
    Answered {
        /// The status it answered with.
        status: u16,
        /// The answer.
        body: Bytes,
    },
    /// It started and ended without an answer.
    Failed(Code),
    /// It may have started; nothing more will be known.
    Unknown(Code),
    /// The target said that it did not start it, or no byte of it was written: it may be placed again.
    NotStarted,
    /// It was never started and is given up.
    Refused(Code),
}

impl TaskEnd {
    /// True where the task may have run.
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::Answered { .. } | Self::Failed(_) | Self::Unknown(_))
    }
}

/// How a submission ended. It is decided once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionEnd {
    /// Every task was answered; status and body in task order.
    Complete(Vec<(u16, Bytes)>),
    /// At least one was not; no answer is shown.
    Failed {
        /// Why.
        code: Code,
        /// The task that made it fail.
        failed_task: Option<TaskIndex>,
    },
}

/// A message to the records of another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordMessage {
    /// The life of the sender.
    pub from: Incarnation,
    /// The life of the receiver that it is meant for; every other life drops it.
    pub to: Incarnation,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Entry host to owner: a caller's request.
    Request {
        /// The request, unique in the life of the entry host.
        request_id: u64,
        /// Every request below it is settled.
        floor: u64,
        /// The key.
        key: Key,
        /// What the caller wants.
        request: RecordRequest,
    },
    /// Owner to entry host.
    Reply {
        /// The request.
        request_id: u64,
        /// The owner's answer.
        reply: OwnerReply,
    },
    /// Owner to follower: the next step of one record.
    Step(ReplicatedStep),
    /// Follower to owner: it has this step and all before it.
    StepAck {
        /// The range.
        range: RangeId,
        /// The epoch of the owner.
        epoch: u64,
        /// The record.
        key: Key,
        /// The last step it has.
        serial: u64,
    },
    /// Owner to follower: asks for leases.
    Renew {
        /// When it was sent, by the owner's clock.
        sent: Time,
        /// Ranges and their epochs.
        ranges: Vec<(RangeId, u64)>,
    },
    /// Follower to owner: grants them.
    RenewAck {
        /// The time in the request.
        sent: Time,
        /// Ranges and their epochs.
        ranges: Vec<(RangeId, u64)>,
    },
    /// New owner to a prior holder: help no epoch below this one, and hand the records over.
    Seal {
        /// The range.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// The first record wanted, by position.
        cursor: u32,
    },
    /// Prior holder to new owner.
    SealReply {
        /// The range.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// Some of the records.
        page: Page,
    },
    /// A later life of a prior holder to the new owner: the records it had are gone.
    RecordsLost {
        /// The range.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// The life that is over.
        incarnation: Incarnation,
    },
    /// New owner to its follower: the records it starts from.
    Sync {
        /// The range.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// The holders of that epoch.
        holders: Vec<Holder>,
        /// Some of the records.
        page: Page,
    },
    /// Follower to new owner: it has the records up to this one.
    SyncAck {
        /// The range.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// The next record it wants; none if it has all.
        next: Option<u32>,
    },
    /// Owner to another host: start this task there.
    Assign {
        /// Unique in the life of the owner.
        serial: u64,
        /// Every assignment to this host below it is settled.
        floor: u64,
        /// The task.
        task: AssignedTask,
    },
    /// The other host has the assignment.
    AssignAck {
        /// The assignment.
        serial: u64,
    },
    /// A host that started a task to the owner of its record.
    ReportEnd {
        /// The record.
        key: Key,
        /// The task.
        task: TaskIndex,
        /// The assignment, and who made it; none for a task started by a former owner.
        assignment: Option<(Holder, u64)>,
        /// How it ended.
        end: TaskEnd,
    },
    /// Owner to that host: the end is recorded.
    ReportAck {
        /// The record.
        key: Key,
        /// The task.
        task: TaskIndex,
        /// As in the message it answers.
        assignment: Option<(Holder, u64)>,
        /// Every assignment to this host below it is settled.
        floor: u64,
    },
}

/// A step of one record, as it goes to a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedStep {
    /// The range.
    pub range: RangeId,
    /// The epoch of the owner.
    pub epoch: u64,
    /// The record.
    pub key: Key,
    /// The number of the step; a follower takes them in order.
    pub serial: u64,
    /// What changes.
    pub step: Step,
}

/// What a caller wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordRequest {
    /// Run it, unless it was submitted before.
    Submit {
        /// The work.
        spec: Arc<SubmissionSpec>,
        /// How long until its deadline.
        time_left: Duration,
        /// How long to wait for its end.
        wait: Duration,
        /// True if the key was minted by the sender for this very request and was never sent.
        first_attempt: bool,
    },
    /// Tell how it stands.
    Read {
        /// How long to wait for its end.
        wait: Duration,
    },
    /// Start nothing more of it.
    Cancel,
}

/// What the owner tells an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerReply {
    /// It can't act now; ask again.
    Busy,
    /// The submission is recorded.
    Recorded {
        /// The number of its tasks.
        total: u32,
    },
    /// The wait is over and it still runs.
    Running {
        /// The number of its tasks.
        total: u32,
    },
    /// It has ended.
    Ended(Arc<SubmissionEnd>),
    /// It is refused, for good.
    Refused(Code),
}

/// A change of one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The record begins; tasks below `window_end` may start once every follower has it.
    Open {
        /// The work.
        spec: Arc<SubmissionSpec>,
        /// How long until its deadline.
        time_left: Duration,
        /// The window.
        window_end: u32,
    },
    /// Tasks ended, and more may start.
    ExtendWindow {
        /// The window.
        window_end: u32,
        /// Ends since the last step.
        ends: Vec<(u32, TaskEnd)>,
    },
    /// The submission ended.
    Close {
        /// Ends since the last step.
        ends: Vec<(u32, TaskEnd)>,
        /// Why it failed; none if it is complete.
        failed: Option<(Code, Option<TaskIndex>)>,
    },
}

/// Some records of a range, in the order of the source.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The position of the first.
    pub cursor: u32,
    /// The position after the last; none if there are no more.
    pub next: Option<u32>,
    /// True from a former owner: what it did not start, it never will.
    pub from_owner: bool,
    /// How long unseen keys must still be refused.
    pub unseen_wait: Duration,
    /// The records.
    pub snapshots: Vec<RecordSnapshot>,
}

/// A whole record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// The key.
    pub key: Key,
    /// The work; without tasks once it ended.
    pub spec: Arc<SubmissionSpec>,
    /// The number of tasks.
    pub total: u32,
    /// How long until its deadline.
    pub time_left: Duration,
    /// The last step.
    pub serial: u64,
    /// Tasks below it may have started.
    pub window_end: u32,
    /// Tasks below it that provably did not and will not, by the word of a former owner.
    pub not_started: Vec<u32>,
    /// The ends of tasks.
    pub ends: Vec<(u32, TaskEnd)>,
    /// How it ended, and how long ago.
    pub submission_end: Option<(Arc<SubmissionEnd>, Duration)>,
}

/// A task to start on another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedTask {
    /// The record.
    pub key: Key,
    /// The position in it.
    pub index: TaskIndex,
    /// The catalogue entry.
    pub entry: EntryName,
    /// The task.
    pub task: Task,
    /// How long until the deadline.
    pub time_left: Duration,
}
