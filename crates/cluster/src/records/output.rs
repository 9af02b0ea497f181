//! Outputs of the records, which their host carries out.

use super::message::{AssignedTask, Body, RecordMessage, SubmissionEnd, SubmissionSpec};
use crate::ownership::{Command, Holder};
use mangogw_model::{Code, HostId, Key, TaskIndex, Time};
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;

/// Identifies a caller's request on its entry host; the reply carries it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

/// The answer to a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The submission is recorded and has not ended.
    Running {
        /// Number of tasks of the submission.
        total: u32,
    },
    /// The submission has ended; every reader gets this same result.
    Ended(Arc<SubmissionEnd>),
    /// The request is refused. If the code's outcome is `not-run`, this request started nothing and will not.
    Refused(Code),
}

/// An action for the host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send the message to a host. It may be lost, duplicated, delayed or reordered.
    Send {
        /// Host that receives the message.
        to: HostId,
        /// The message.
        message: RecordMessage,
    },
    /// This host owns the record and may place these tasks: each on a target of this host after
    /// [`Records::try_start`](super::Records::try_start), or on another host by
    /// [`Records::assign`](super::Records::assign).
    Run {
        /// Key of the record.
        key: Key,
        /// Work of the submission.
        spec: Arc<SubmissionSpec>,
        /// Indexes of the tasks.
        tasks: Range<u32>,
        /// Time at which the submission expires.
        deadline: Time,
    },
    /// Another host assigned this task: place it on a target of this host after
    /// [`Records::try_start`](super::Records::try_start).
    Place {
        /// Task to place, with the key of its submission.
        task: AssignedTask,
        /// Time at which the task expires.
        deadline: Time,
    },
    /// Start no further task of this submission, and stop the running ones.
    Stop {
        /// Key of the record.
        key: Key,
    },
    /// Answer a caller.
    Reply {
        /// Tag that the caller's request was given.
        tag: Tag,
        /// Answer to the caller.
        reply: Reply,
    },
    /// A submission that this host owns has ended, and every holder has recorded the end.
    Ended {
        /// Key of the record.
        key: Key,
    },
    /// Propose the command to the control group. It is proposed again until it takes effect.
    Propose(Command),
}

/// Collects outputs. Messages from this host to itself are returned by [`Outbox::next_local`].
#[derive(Debug)]
pub(super) struct Outbox {
    me: Holder,
    out: Vec<Output>,
    local: VecDeque<Body>,
}

impl Outbox {
    pub(super) const fn new(me: Holder) -> Self {
        Self { me, out: Vec::new(), local: VecDeque::new() }
    }

    pub(super) fn send(&mut self, to: Holder, body: Body) {
        if to == self.me {
            return self.local.push_back(body);
        }
        let message = RecordMessage { from: self.me.incarnation, to: to.incarnation, body };
        self.out.push(Output::Send { to: to.host, message });
    }

    pub(super) fn push(&mut self, output: Output) {
        self.out.push(output);
    }

    pub(super) fn next_local(&mut self) -> Option<Body> {
        self.local.pop_front()
    }

    pub(super) fn drain(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }
}

/// Returns the index of a task as a number.
pub(super) const fn task_number(task: TaskIndex) -> u32 {
    task.0
}
