//! The tasks in a host's dispatch core, with the data that the core does not need.

use crate::effect::{Answer, Caller};
use bytes::Bytes;
use mangogw_dispatch::TaskKey;
use mangogw_model::{EntryName, HostId, Key, Needs, TaskIndex, Time};
use slotmap::SecondaryMap;

/// The requester that waits for the outcome of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller of this host.
    Caller(Caller),
    /// The record of a submission whose tasks this host may start.
    Record,
    /// Another host that relayed the task here.
    Peer { host: HostId, serial: u64 },
}

/// A task, before and while it is in the dispatch core.
#[derive(Debug, Clone)]
pub(crate) struct HostTask {
    pub origin: Origin,
    pub entry: EntryName,
    pub key: Key,
    pub index: TaskIndex,
    pub needs: Needs,
    pub body: Bytes,
    pub deadline: Time,
    pub repeatable: bool,
    pub max_answer: u64,
    pub started: Option<Time>,
    pub answer: Option<Answer>,
}

pub(crate) type HostTasks = SecondaryMap<TaskKey, HostTask>;
