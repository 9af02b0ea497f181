//! Messages between the records of two hosts, and the types they carry.

use crate::ownership::{Holder, RangeId};
use bytes::Bytes;
use mangogw_model::{Code, EntryName, Incarnation, Key, Needs, TaskIndex, Time};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// SHA-256 of a submission's body, or another digest that differs for different bodies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyDigest(pub [u8; 32]);

/// One task of a submission.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Body that is sent to the target.
    pub body: Bytes,
    /// Resources that the task needs.
    pub needs: Needs,
}

/// The work of a submission.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionSpec {
    /// Name of the catalogue entry.
    pub entry: EntryName,
    /// Digest that detects another body under the same key.
    pub digest: BodyDigest,
    /// Tasks of the submission, in the order of their indexes.
    pub tasks: Vec<Task>,
}

/// End of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The target sent a complete answer.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// The task started and ended without an answer.
    Failed(Code),
    /// The task may have started; its end will never be known.
    Unknown(Code),
    /// The target reported that it did not start the task, or no byte of it was written: it may be placed again.
    NotStarted,
    /// The task was never started and is abandoned.
    Refused(Code),
}

impl TaskEnd {
    /// Returns true if the task may have run.
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::Answered { .. } | Self::Failed(_) | Self::Unknown(_))
    }
}

/// End of a submission. It is decided once and never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionEnd {
    /// Every task was answered; status and body in task order.
    Complete(Vec<(u16, Bytes)>),
    /// At least one task was not answered; no answers are returned.
    Failed {
        /// Reason of the failure.
        code: Code,
        /// The task that caused the failure; `None` if the reason is not a task.
        failed_task: Option<TaskIndex>,
    },
}

/// A message to the records of another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordMessage {
    /// Incarnation of the sender.
    pub from: Incarnation,
    /// Incarnation of the intended receiver; other incarnations do not act on the message.
    pub to: Incarnation,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Entry host to owner: a caller's request.
    Request {
        /// Number of the request, unique within the incarnation of the entry host.
        request_id: u64,
        /// All requests with lower numbers are settled.
        floor: u64,
        /// Key of the submission.
        key: Key,
        /// The caller's request.
        request: RecordRequest,
    },
    /// Owner to entry host: the reply to a request.
    Reply {
        /// Number of the request.
        request_id: u64,
        /// The owner's reply.
        reply: OwnerReply,
    },
    /// Owner to follower: the next step of one record.
    Step(ReplicatedStep),
    /// Follower to owner: this step and all earlier ones are applied.
    StepAck {
        /// Range of the record keys.
        range: RangeId,
        /// The epoch of the owner.
        epoch: u64,
        /// Key of the record.
        key: Key,
        /// Serial of the last step applied.
        serial: u64,
    },
    /// Owner to follower: requests leases.
    Renew {
        /// Time at which it was sent, by the owner's clock.
        sent: Time,
        /// Ranges with their epochs.
        ranges: Vec<(RangeId, u64)>,
    },
    /// Follower to owner: grants leases.
    RenewAck {
        /// `sent` of the request.
        sent: Time,
        /// Ranges with their epochs.
        ranges: Vec<(RangeId, u64)>,
    },
    /// New owner to a prior holder: accept no steps and grant no leases for lower epochs, and send the records.
    Seal {
        /// Range of the record keys.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// Position of the first record wanted.
        cursor: u32,
    },
    /// Prior holder to new owner: a page of records.
    SealReply {
        /// Range of the record keys.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// A part of the records.
        page: Page,
    },
    /// Later incarnation of a prior holder to the new owner: the records are lost.
    RecordsLost {
        /// Range of the record keys.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// New owner to its follower: the records that the epoch starts with.
    Sync {
        /// Range of the record keys.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// The holders of that epoch.
        holders: Vec<Holder>,
        /// A part of the records.
        page: Page,
    },
    /// Follower to new owner: acknowledges copied records.
    SyncAck {
        /// Range of the record keys.
        range: RangeId,
        /// The epoch of the new owner.
        epoch: u64,
        /// Position of the next record wanted; `None` if the copy is complete.
        next: Option<u32>,
    },
    /// Owner to another host: start this task.
    Assign {
        /// Serial of the assignment, unique within the incarnation of the owner.
        serial: u64,
        /// All assignments to the receiver with lower serials are settled.
        floor: u64,
        /// Task to start, with the key and deadline of its submission.
        task: AssignedTask,
    },
    /// Assigned host to owner: acknowledges the assignment.
    AssignAck {
        /// Serial of the assignment.
        serial: u64,
    },
    /// Host that started a task to the owner of the record: the task ended.
    ReportEnd {
        /// Key of the record.
        key: Key,
        /// Index of the task that ended.
        task: TaskIndex,
        /// Owner that assigned the task, and serial; `None` for a task started by a former owner.
        assignment: Option<(Holder, u64)>,
        /// How the task ended.
        end: TaskEnd,
    },
    /// Owner to the reporting host: the end is recorded.
    ReportAck {
        /// Key of the record.
        key: Key,
        /// Index of the task whose end is recorded.
        task: TaskIndex,
        /// `assignment` of the report.
        assignment: Option<(Holder, u64)>,
        /// All assignments to the receiver with lower serials are settled.
        floor: u64,
    },
}

/// A step of one record, as sent to a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedStep {
    /// Range of the record keys.
    pub range: RangeId,
    /// The epoch of the owner.
    pub epoch: u64,
    /// Key of the record.
    pub key: Key,
    /// Serial of the step; a follower applies steps in order.
    pub serial: u64,
    /// Change of the record.
    pub step: Step,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordRequest {
    /// Run the submission, unless it was submitted before.
    Submit {
        /// Work of the submission.
        spec: Arc<SubmissionSpec>,
        /// Time left until the deadline.
        time_left: Duration,
        /// Maximum time to wait for the end.
        wait: Duration,
        /// True if the sender generated the key for this request and never sent it before.
        first_attempt: bool,
    },
    /// Return the state of the submission.
    Read {
        /// Maximum time to wait for the end.
        wait: Duration,
    },
    /// Start no further task of the submission.
    Cancel,
}

/// Reply of the owner to an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerReply {
    /// The owner can't act now; send the request again.
    Busy,
    /// The submission is recorded.
    Recorded {
        /// Number of tasks of the submission.
        total: u32,
    },
    /// The wait is over and the submission is still running.
    Running {
        /// Number of tasks of the submission.
        total: u32,
    },
    /// The submission has ended.
    Ended(Arc<SubmissionEnd>),
    /// The request is refused for good.
    Refused(Code),
}

/// A change of one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Opens the record; tasks below `window_end` may start once every follower has applied it.
    Open {
        /// Work of the submission.
        spec: Arc<SubmissionSpec>,
        /// Time left until the deadline.
        time_left: Duration,
        /// Tasks with a lower index may start.
        window_end: u32,
    },
    /// Records task ends and extends the window.
    ExtendWindow {
        /// Tasks with a lower index may start.
        window_end: u32,
        /// Task ends since the last step.
        ends: Vec<(u32, TaskEnd)>,
    },
    /// Ends the submission.
    Close {
        /// Task ends since the last step.
        ends: Vec<(u32, TaskEnd)>,
        /// Reason and task of a failure; `None` if it is complete.
        failed: Option<(Code, Option<TaskIndex>)>,
    },
}

/// A part of the records of a range, in the order of the source.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Position of the first record.
    pub cursor: u32,
    /// Position after the last record; `None` if there are no more.
    pub next: Option<u32>,
    /// True if a former owner sent it: tasks that it did not start will never be started by it.
    pub from_owner: bool,
    /// Time for which unknown keys must still be refused.
    pub unseen_wait: Duration,
    /// Snapshots of the records.
    pub snapshots: Vec<RecordSnapshot>,
}

/// Complete copy of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// Key of the submission.
    pub key: Key,
    /// Work of the submission; without tasks once it has ended.
    pub spec: Arc<SubmissionSpec>,
    /// Number of tasks of the submission.
    pub total: u32,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Serial of the last step.
    pub serial: u64,
    /// Tasks with a lower index may have started.
    pub window_end: u32,
    /// Tasks below `window_end` that did not start and will not, as reported by a former owner.
    pub not_started: Vec<u32>,
    /// Task ends, by index.
    pub ends: Vec<(u32, TaskEnd)>,
    /// End of the submission and time since then; `None` if it is running.
    pub submission_end: Option<(Arc<SubmissionEnd>, Duration)>,
}

/// A task assigned to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedTask {
    /// Key of the record.
    pub key: Key,
    /// Index of the task in the submission.
    pub index: TaskIndex,
    /// Name of the catalogue entry.
    pub entry: EntryName,
    /// Body and needs of the task.
    pub task: Task,
    /// Time left until the deadline.
    pub time_left: Duration,
}
