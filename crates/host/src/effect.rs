//! The effects that a host returns for the shell to carry out, and the types of its replies.

use crate::message::Message;
use crate::operate::OperatorReply;
use bytes::Bytes;
use mangogw_cluster::grants::Grant;
use mangogw_dispatch::{AttemptReport, Refusal, TaskKey};
use mangogw_model::{AttemptId, Code, EntryName, JobView, Key, TaskIndex, Time};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies an open request; assigned by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// An action for the shell to carry out.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Reply to an open request.
    Reply {
        /// The request to reply to.
        caller: Caller,
        /// Reply to the caller.
        reply: Reply,
    },
    /// Send a task to a target.
    Start(TaskStart),
    /// Send a message to another host, without delivery guarantee.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Close the connection to a host; later messages use a new connection.
    Reconnect {
        /// Address of the host.
        to: SocketAddr,
    },
    /// Write and sync to disk, then call `Host::on_synced`, or `Host::on_write_failed`.
    Write(mangogw_store::Write),
    /// End the process.
    Halt {
        /// The reason, for the log.
        reason: &'static str,
    },
    /// Tell a target to stop an attempt.
    Stop {
        /// Id of the attempt, as sent with its start.
        attempt: AttemptId,
        /// Address of the target that runs it.
        address: SocketAddr,
    },
    /// Tell a target to slow an attempt down.
    Throttle {
        /// Id of the attempt, as sent with its start.
        attempt: AttemptId,
        /// Address of the target that runs it.
        address: SocketAddr,
    },
    /// Tell a target to resume an attempt that was throttled or checkpointed.
    Resume {
        /// Id of the attempt, as sent with its start.
        attempt: AttemptId,
        /// Address of the target that holds it.
        address: SocketAddr,
    },
    /// Tell a target to save the state of an attempt and suspend it.
    Checkpoint {
        /// Id of the attempt, as sent with its start.
        attempt: AttemptId,
        /// Address of the target that runs it.
        address: SocketAddr,
    },
}

/// A task to be sent to a target.
#[derive(Debug, Clone)]
pub struct TaskStart {
    /// The task; passed back to the host with the outcome.
    pub task_key: TaskKey,
    /// The id of this attempt.
    pub attempt: AttemptId,
    /// Address of the target.
    pub address: SocketAddr,
    /// The entry that the task belongs to.
    pub entry: EntryName,
    /// The key of the submission that the task belongs to.
    pub key: Key,
    /// The position of the task in its submission.
    pub index: TaskIndex,
    /// Payload of the task, which is sent to the target.
    pub body: Bytes,
    /// Time by which the answer must have arrived.
    pub deadline: Time,
    /// Largest answer that is accepted, in bytes.
    pub max_answer: u64,
}

/// The complete answer of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The content type; `None` if the target sent none.
    pub content_type: Option<String>,
    /// Body of the target's answer.
    pub body: Bytes,
}

/// Outcome of an attempt, as observed by the shell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer.
    Answer(Answer),
    /// Any other result: a failure, or the reaction to a throttle or checkpoint order.
    Report(AttemptReport),
}

/// Reply to an open request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The answer of a target.
    Answer {
        /// The key of the submission.
        key: Key,
        /// The target's answer.
        answer: Answer,
    },
    /// The request ended without an answer.
    Refused(Refused),
    /// The state of a job.
    Job(JobView),
    /// The lease of a target that announced itself.
    Lease(Lease),
    /// The reply to an operator's call.
    Operator(OperatorReply),
    /// The request was carried out; the reply has no content.
    Done,
}

/// The lease of a target and the interval at which it renews the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Interval at which the target sends heartbeats.
    pub heartbeat: Duration,
    /// Time from a heartbeat to the end of the lease.
    pub duration: Duration,
    /// The grant that the target sends back with its next heartbeat; `None` if there is none.
    pub grant: Option<Grant>,
}

/// The reason why a request ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Code of the reason.
    pub code: Code,
    /// The key of the submission; `None` before it has one.
    pub key: Option<Key>,
    /// Human-readable details of this case.
    pub detail: String,
    /// Time to wait before a retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refused {
    /// Creates a refusal with human-readable details, without key or retry time.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, key: None, detail: detail.into(), retry_after: None }
    }

    /// Returns the refusal with the key of its submission.
    #[must_use]
    pub fn with_key(mut self, key: Key) -> Self {
        self.key = Some(key);
        self
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            code: refusal.code,
            key: None,
            detail: refusal.code.title().to_owned(),
            retry_after: refusal.retry_after,
        }
    }
}
