//! The tasks a host has handed to its dispatch core, with what the core does not need to know.

use crate::effect::{Answer, Caller};
use bytes::Bytes;
use mangogw_dispatch::TaskKey;
use mangogw_model::{EntryName, Key, TaskIndex, Time};
use slotmap::SecondaryMap;

/// Who waits for the end of a task.
#[derive(Debug, Clone)]
pub(crate) enum Origin {
    /// A caller of this host.
    Caller(Caller),
    /// A job of this host.
    Job,
}

/// One task in the hands of the dispatch core.
#[derive(Debug)]
pub(crate) struct Unit {
    pub origin: Origin,
    pub entry: EntryName,
    pub key: Key,
    pub index: TaskIndex,
    pub body: Bytes,
    pub deadline: Time,
    pub limit: u64,
    pub answer: Option<Answer>,
}

pub(crate) type Units = SecondaryMap<TaskKey, Unit>;
