//! What the records ask their host to do.

use super::message::{AssignedTask, Body, RecordMessage, SubmissionEnd, SubmissionSpec};
use crate::ownership::{Command, Holder};
use mangogw_model::{Code, HostId, Key, TaskIndex, Time};
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;

/// Names a caller's request on its entry host; it comes back with the reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

/// The answer to a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It is recorded and has not ended.
    Running {
        /// The number of its tasks.
        total: u32,
    },
    /// It has ended; every reader gets this same verdict.
    Ended(Arc<SubmissionEnd>),
    /// It is refused. Where the code's outcome is `not-run`, this request started nothing and will not.
    Refused(Code),
}

/// Something the host has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send the message to a host. It may be lost, doubled, late or out of order.
    Send {
        /// Where to.
        to: HostId,
        /// The message.
        message: RecordMessage,
    },
    /// This host owns the record and may place these tasks: each on its own targets, behind
    /// [`Records::try_start`](super::Records::try_start), or on another host by
    /// [`Records::assign`](super::Records::assign).
    Run {
        /// The record.
        key: Key,
        /// The work.
        spec: Arc<SubmissionSpec>,
        /// The positions of the tasks.
        tasks: Range<u32>,
        /// When the submission expires.
        deadline: Time,
    },
    /// Another host assigned this task: place it on this host's targets, behind
    /// [`Records::try_start`](super::Records::try_start).
    Place {
        /// The task.
        task: AssignedTask,
        /// When it expires.
        deadline: Time,
    },
    /// Start nothing more of this submission, and stop what runs.
    Stop {
        /// The record.
        key: Key,
    },
    /// Answer a caller.
    Reply {
        /// The caller's request.
        tag: Tag,
        /// The answer.
        reply: Reply,
    },
    /// A submission that this host owns has ended, on every holder.
    Ended {
        /// The record.
        key: Key,
    },
    /// Propose the command to the control group. It is proposed again until it takes effect.
    Propose(Command),
}

/// Collects what goes out. Messages to this host itself come back by [`Outbox::next_local`].
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

/// The position of a task as a number.
pub(super) const fn task_number(task: TaskIndex) -> u32 {
    task.0
}
