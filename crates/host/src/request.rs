//! What callers and targets ask of a host.

use crate::operate::Call;
use bytes::Bytes;
use mangogw_cluster::grants::{Echo, Target};
use mangogw_model::{Announcement, EntryName, Key, Needs, Usage};
use std::time::Duration;

/// One request to a host.
#[derive(Debug, Clone)]
pub enum HostRequest {
    /// Run one request and answer with the target's answer.
    Run {
        /// The entry it belongs to.
        entry: EntryName,
        /// The key, where the caller gave one.
        key: Option<Key>,
        /// How long the caller waits, where it said so.
        timeout: Option<Duration>,
        /// The payload.
        body: Bytes,
    },
    /// Take a job on.
    Submit(JobRequest),
    /// Read a job, waiting up to `wait` for its end.
    Read {
        /// The key of the job.
        key: Key,
        /// How long to wait for the end.
        wait: Duration,
    },
    /// Cancel a job.
    Cancel {
        /// The key of the job.
        key: Key,
    },
    /// A target announces itself, or says that it is alive.
    Announce {
        /// What it says of itself.
        announcement: Announcement,
        /// The grant it holds.
        echo: Option<Echo>,
    },
    /// A target takes no new work.
    Leave {
        /// The target.
        target: Target,
    },
    /// A target reports its usage.
    Usage {
        /// The target.
        target: Target,
        /// The report.
        usage: Usage,
    },
    /// An operator's call.
    Operate(Call),
}

/// A job to take on.
#[derive(Debug, Clone)]
pub struct JobRequest {
    /// The entry all tasks belong to.
    pub entry: EntryName,
    /// The key, where the caller gave one.
    pub key: Option<Key>,
    /// How long the caller gives the whole job, where it said so.
    pub timeout: Option<Duration>,
    /// The tasks in order.
    pub tasks: Vec<TaskRequest>,
}

/// One task of a job.
#[derive(Debug, Clone)]
pub struct TaskRequest {
    /// The payload.
    pub body: Bytes,
    /// What it says it needs.
    pub needs: Needs,
}

impl HostRequest {
    /// A request without a key and with the deadline of its entry.
    pub fn run(entry: &str, body: &'static [u8]) -> Self {
        Self::Run { entry: entry.into(), key: None, timeout: None, body: Bytes::from_static(body) }
    }
}
