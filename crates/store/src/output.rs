//! Outputs of the state machine, which the caller carries out.

use crate::{GroupId, Payload};
use crate::{Index, LogEntry, LogId, Message, Snapshot, Tag, Term, WriteId};
use bytes::Bytes;
use mangogw_model::HostId;
use serde::{Deserialize, Serialize};

/// An action for the caller. The outputs of one drain must be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message, which may be lost, delayed, duplicated and reordered.
    Send {
        /// The receiving host.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Write and sync the operations, then call [`Raft::on_synced`](crate::Raft::on_synced); other outputs need not
    /// wait for the write.
    Write(Write),
    /// Replace the applied state by the snapshot.
    Restore(Snapshot),
    /// Apply committed entries in order.
    Apply {
        /// Committed entries in log order.
        entries: Vec<AppliedEntry>,
    },
    /// Answer a read from the state applied so far.
    ReadReady {
        /// Tag of the read.
        tag: Tag,
        /// Index of the entry up to which the state is known to be current.
        index: Index,
    },
    /// A proposal, read, transfer or change was refused; no other answer follows.
    Refused {
        /// Tag of the refused request.
        tag: Tag,
        /// Reason of the refusal.
        why: Refusal,
        /// The leader to ask instead, if one is known.
        leader: Option<HostId>,
    },
    /// The target of a leadership transfer has been told to campaign.
    Transferred {
        /// Tag of the transfer.
        tag: Tag,
    },
    /// The role, the term or the known leader changed.
    Role {
        /// Role of this host.
        role: Role,
        /// Current term of this host.
        term: Term,
        /// The leader, if one is known.
        leader: Option<HostId>,
    },
    /// A snapshot is due: pass the applied state to [`Raft::compact`](crate::Raft::compact).
    Compact {
        /// Index of the last entry applied.
        index: Index,
    },
}

/// A committed entry to apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedEntry {
    /// Term and index of the entry.
    pub id: LogId,
    /// Content of the entry.
    pub payload: Payload,
    /// Tag of the proposal or change that created the entry, if this host created it since it became leader.
    pub tag: Option<Tag>,
}

impl AppliedEntry {
    /// Returns the command; `None` for a blank entry or a change of the members.
    pub fn command(&self) -> Option<&Bytes> {
        match &self.payload {
            Payload::Command(command) => Some(command),
            _ => None,
        }
    }
}

/// Operations to write and sync in order. A crash before the sync may leave any prefix of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Id to pass to `on_synced`.
    pub id: WriteId,
    /// The operations, in order.
    pub ops: Vec<Op>,
}

/// An operation on the durable state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Replace the hard state.
    State(HardState),
    /// Drop the entries from this index on.
    Truncate(Index),
    /// Append entries.
    Append(Vec<LogEntry>),
    /// Store a snapshot of this host's applied state; the entries that it covers are no longer needed.
    Compact(Snapshot),
    /// Replace the snapshot and the log by a snapshot received from the leader.
    Install(Snapshot),
}

impl Op {
    /// Returns the approximate size of the operation in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::State(_) | Self::Truncate(_) => 0,
            Self::Append(entries) => entries.iter().map(LogEntry::size).sum(),
            Self::Compact(snapshot) | Self::Install(snapshot) => snapshot.data.len(),
        }
    }
}

/// Durable state of a host apart from its log and snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Id of the group, or 0 while the host belongs to none.
    pub group: GroupId,
    /// Current term.
    pub term: Term,
    /// Host that this host voted for in the current term.
    pub vote: Option<HostId>,
    /// A commit index; the group may have committed more since.
    pub commit: Index,
}

/// Role of a host in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one to be elected.
    Follower,
    /// Runs a pre-vote: asks whether a campaign could win.
    PreCandidate,
    /// Campaigns to become leader.
    Candidate,
    /// Leads the group.
    Leader,
    /// Takes no part until it is opened again, because a write failed or its log contradicts the log of the group.
    Failed,
}

/// Reason why a proposal, read, transfer or change was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// This host does not lead; nothing was done.
    NotLeader,
    /// Leadership was lost and the outcome is unknown: the proposal may or may not be committed. Send it again under
    /// the same idempotency key.
    Unsure,
    /// Too many bytes wait to be committed or synced, or too many reads wait; nothing was done.
    Busy,
    /// A transfer of leadership is in progress; nothing was done.
    Transferring,
    /// Another change is in progress, or the leader has not committed an entry of its term yet; nothing was done.
    ChangePending,
    /// The change or transfer does not fit the current members; nothing was done.
    BadChange,
    /// The learner, or the target of the transfer, has not caught up; nothing was done.
    NotCaughtUp,
    /// No quorum of voters would be alive after the change; nothing was done.
    NoQuorum,
    /// The leader can't demote or remove itself; transfer leadership first. Nothing was done.
    Leading,
    /// This host has failed, see [`Role::Failed`]; a proposal may or may not be committed.
    Failed,
}
