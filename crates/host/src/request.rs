//! Requests of callers, targets and operators to a host.

use crate::operate::Call;
use bytes::Bytes;
use mangogw_cluster::grants::{Echo, Target};
use mangogw_model::{Announcement, EntryName, Incarnation, Key, Needs, Usage};
use std::time::Duration;

/// One request to a host.
#[derive(Debug, Clone)]
pub enum HostRequest {
    /// Run a single request and reply with the target's answer.
    Run {
        /// The entry that the request belongs to.
        entry: EntryName,
        /// The idempotency key; `None` if the caller gave none.
        key: Option<Key>,
        /// Time that the caller waits; `None` for the deadline of the entry.
        timeout: Option<Duration>,
        /// Payload of the request, which is sent to the target.
        body: Bytes,
    },
    /// Submit a job.
    Submit(JobRequest),
    /// Read a job, waiting up to `wait` for its end.
    Read {
        /// The key of the job.
        key: Key,
        /// Longest time to wait for the end.
        wait: Duration,
    },
    /// Cancel a job.
    Cancel {
        /// The key of the job.
        key: Key,
    },
    /// A target announces itself or sends a heartbeat.
    Announce {
        /// The target's description of itself.
        announcement: Announcement,
        /// The grant that the target holds; `None` if it holds none.
        echo: Option<Echo>,
    },
    /// A target leaves: it accepts no new work.
    Leave {
        /// Target that leaves.
        target: Target,
        /// Incarnation that leaves; `None` for the one that is known when the request arrives.
        incarnation: Option<Incarnation>,
    },
    /// A target reports its resource usage.
    Usage {
        /// Target that sent the report.
        target: Target,
        /// Resource usage, as the target reported it.
        usage: Usage,
    },
    /// An operator's call.
    Operate(Call),
}

/// A job to submit.
#[derive(Debug, Clone)]
pub struct JobRequest {
    /// The entry that all tasks belong to.
    pub entry: EntryName,
    /// The key; `None` if the caller gave none.
    pub key: Option<Key>,
    /// Time for the whole job; `None` for the deadline of the entry.
    pub timeout: Option<Duration>,
    /// The tasks in order.
    pub tasks: Vec<TaskRequest>,
}

/// One task of a job.
#[derive(Debug, Clone)]
pub struct TaskRequest {
    /// Payload of the task, which is sent to the target.
    pub body: Bytes,
    /// The resources that the task declares to need.
    pub needs: Needs,
}

impl HostRequest {
    /// Creates a single request without a key and with the deadline of its entry.
    pub fn run(entry: &str, body: &'static [u8]) -> Self {
        Self::Run { entry: entry.into(), key: None, timeout: None, body: Bytes::from_static(body) }
    }
}
