//! What a host wants done.

use crate::message::Message;
use crate::operate::OperatorReply;
use bytes::Bytes;
use mangogw_cluster::grants::Grant;
use mangogw_dispatch::{AttemptReport, Refusal, TaskKey};
use mangogw_model::{AttemptId, Code, EntryName, JobView, Key, TaskIndex, Time};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The shell's handle of an open request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// Something the shell has to do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Answer an open request.
    Reply {
        /// Whose.
        caller: Caller,
        /// The answer.
        reply: Reply,
    },
    /// Send a task to a target.
    Start(TaskStart),
    /// Send a message to another host; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Drop the connection to this host; what follows goes out on a new one.
    Reconnect {
        /// The host.
        to: SocketAddr,
    },
    /// Write and sync, then call `on_synced`, or `on_failed`.
    Write(mangogw_store::Write),
    /// The process must end.
    Halt {
        /// Why, for the log.
        reason: &'static str,
    },
    /// Tell a target to stop an attempt.
    Stop {
        /// The attempt.
        attempt: AttemptId,
        /// Where it runs.
        address: SocketAddr,
    },
    /// Tell a target to slow an attempt down.
    Throttle {
        /// The attempt.
        attempt: AttemptId,
        /// Where it runs.
        address: SocketAddr,
    },
    /// Tell a target to go on with an attempt that was slowed down or set aside.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// Where it is.
        address: SocketAddr,
    },
    /// Tell a target to write an attempt's state down and set it aside.
    Checkpoint {
        /// The attempt.
        attempt: AttemptId,
        /// Where it runs.
        address: SocketAddr,
    },
}

/// A task on its way to a target.
#[derive(Debug, Clone)]
pub struct TaskStart {
    /// The task, handed back with what was seen of it.
    pub task_key: TaskKey,
    /// The id of this try.
    pub attempt: AttemptId,
    /// Where to.
    pub address: SocketAddr,
    /// The entry it belongs to.
    pub entry: EntryName,
    /// The submission it belongs to.
    pub key: Key,
    /// Its position in the submission.
    pub index: TaskIndex,
    /// The payload.
    pub body: Bytes,
    /// When its answer must be back.
    pub deadline: Time,
    /// Bytes of the longest answer that is taken.
    pub max_answer: u64,
}

/// A target's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, where the target gave one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// What the shell saw of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Answer(Answer),
    /// Something else.
    Report(AttemptReport),
}

/// The answer to an open request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The answer of a target.
    Answer {
        /// The submission.
        key: Key,
        /// The target's answer.
        answer: Answer,
    },
    /// There is no answer, and why.
    Refused(Refused),
    /// A job.
    Job(JobView),
    /// A target's lease.
    Lease(Lease),
    /// What an operator is told.
    Operator(OperatorReply),
    /// It is done; nothing more to say.
    Done,
}

/// How long a target is trusted, and how often it has to report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Between heartbeats.
    pub heartbeat: Duration,
    /// From a heartbeat to the end of trust.
    pub duration: Duration,
    /// The grant to send back with the next heartbeat.
    pub grant: Option<Grant>,
}

/// A request that ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub code: Code,
    /// The submission, once it has a key.
    pub key: Option<Key>,
    /// What is wrong in this case.
    pub detail: String,
    /// How long to wait before trying again, where that helps.
    pub retry_after: Option<Duration>,
}

impl Refused {
    /// A refusal with a detail for people.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, key: None, detail: detail.into(), retry_after: None }
    }

    /// The same refusal with the key of its submission.
    #[must_use]
    pub fn with_key(mut self, key: Key) -> Self {
        self.key = Some(key);
        self
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self { code: refusal.code, key: None, detail: refusal.code.title().to_owned(), retry_after: refusal.wait }
    }
}
