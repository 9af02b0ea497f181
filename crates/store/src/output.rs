//! What the state machine asks its caller to do.

use crate::{GroupId, Payload};
use crate::{Index, LogEntry, LogId, Message, Snapshot, Tag, Term, WriteId};
use bytes::Bytes;
use mangogw_model::HostId;
use serde::{Deserialize, Serialize};

/// One thing to do. The outputs of a drain are carried out in their order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost, delayed, doubled and reordered.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Write and sync, then call `on_synced`; other outputs need not wait for it.
    Write(Write),
    /// Replace the applied state by this one.
    Restore(Snapshot),
    /// Apply committed entries, in order.
    Apply {
        /// The entries.
        entries: Vec<AppliedEntry>,
    },
    /// A read may be answered from the state applied so far.
    ReadReady {
        /// The read.
        tag: Tag,
        /// The state is current as of this entry.
        index: Index,
    },
    /// A proposal, read, transfer or change will get no other answer.
    Refused {
        /// What was refused.
        tag: Tag,
        /// The reason.
        why: Refusal,
        /// The leader to ask instead, if one is known.
        leader: Option<HostId>,
    },
    /// A transfer of leadership was sent off to its target.
    Transferred {
        /// The transfer.
        tag: Tag,
    },
    /// The role, the term or the known leader changed.
    Role {
        /// The role.
        role: Role,
        /// The term.
        term: Term,
        /// The leader, if one is known.
        leader: Option<HostId>,
    },
    /// The log has grown long: hand in the applied state by `compact`.
    Compact {
        /// The last entry applied.
        index: Index,
    },
}

/// A committed entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedEntry {
    /// The position and the term.
    pub id: LogId,
    /// What it carries.
    pub payload: Payload,
    /// The proposal or change it stems from, if it was made here.
    pub tag: Option<Tag>,
}

impl AppliedEntry {
    /// The command, if it carries one.
    pub fn command(&self) -> Option<&Bytes> {
        match &self.payload {
            Payload::Command(command) => Some(command),
            _ => None,
        }
    }
}

/// Operations that become durable together, or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Handed back to `on_synced`.
    pub id: WriteId,
    /// What to write, in order.
    pub ops: Vec<Op>,
}

/// One operation on the durable state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Replace the hard state.
    State(HardState),
    /// Drop the entries from here on.
    Truncate(Index),
    /// Append entries.
    Append(Vec<LogEntry>),
    /// Keep a snapshot of this host's own state; entries before it are no longer needed.
    Compact(Snapshot),
    /// Replace snapshot and log by a snapshot of the leader.
    Install(Snapshot),
}

impl Op {
    /// Bytes it takes, roughly.
    pub fn size(&self) -> usize {
        match self {
            Self::State(_) | Self::Truncate(_) => 0,
            Self::Append(entries) => entries.iter().map(LogEntry::size).sum(),
            Self::Compact(snapshot) | Self::Install(snapshot) => snapshot.data.len(),
        }
    }
}

/// What a host must not forget beside its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The group, or 0 before the host belongs to one.
    pub group: GroupId,
    /// The term.
    pub term: Term,
    /// Whom this host voted for in the term.
    pub vote: Option<HostId>,
    /// A commit index, maybe an old one.
    pub commit: Index,
}

/// What a host is in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether a campaign could win.
    PreCandidate,
    /// Campaigns.
    Candidate,
    /// Leads.
    Leader,
    /// Its disk failed, or its log contradicts the group's: it takes no part until it is opened again.
    Failed,
}

/// Why something was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// This host does not lead; nothing was done.
    NotLeader,
    /// Leadership was lost: the proposal may or may not take hold. Send it again under the same idempotency key.
    Unsure,
    /// Too much is waiting to be committed; nothing was done.
    Busy,
    /// Leadership is being handed over; nothing was done.
    Transferring,
    /// Another change is under way, or the leader is too new; nothing was done.
    ChangePending,
    /// The change does not apply to the members; nothing was done.
    BadChange,
    /// The learner or target has not caught up; nothing was done.
    NotCaughtUp,
    /// The change would leave no quorum of live voters; nothing was done.
    NoQuorum,
    /// The leader can't remove itself: transfer first; nothing was done.
    Leading,
    /// The disk failed; a proposal may or may not take hold.
    Failed,
}
