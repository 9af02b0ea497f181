//! Messages between the hosts of a group, and snapshots.

use crate::{FolderId, GroupId, Index, LogEntry, LogId, Members, Term};
use bytes::Bytes;
use mangogw_model::HostId;
use serde::{Deserialize, Serialize};

/// A message from one host of the group to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Id of the sender's group, or 0 while the sender belongs to none.
    pub group: GroupId,
    /// Id of the sender's data folder.
    pub folder_id: FolderId,
    /// Id of the host that the message is meant for. Another one may have taken its address meanwhile.
    pub to: HostId,
    /// Term of the sender; in a pre-vote, the term in which the sender would campaign.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender, without raising the term.
    PreVote {
        /// Last entry in the log of the sender.
        last: LogId,
    },
    /// Answers a pre-vote. If granted, the term of the message is that of the request.
    PreVoteAnswer {
        /// True if the sender would vote for the receiver.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Last entry in the log of the candidate.
        last: LogId,
        /// True if the leader requested the campaign to transfer its leadership.
        transfer: bool,
    },
    /// Answers a vote request.
    VoteAnswer {
        /// True if the sender voted for the receiver; the vote is synced.
        granted: bool,
    },
    /// Carries entries from the leader.
    Append {
        /// The entry before the first one in the message.
        prev: LogId,
        /// The leader's commit index.
        commit: Index,
        /// The entries, which may be empty.
        entries: Vec<LogEntry>,
    },
    /// Acknowledges entries: the log of the sender agrees with the leader's, and is synced, up to `index`.
    Matched {
        /// Index of the last entry that agrees.
        index: Index,
    },
    /// Rejects entries: the log of the sender does not hold the `prev` of the [`Body::Append`].
    Rejected {
        /// Index of the `prev` that was rejected.
        prev: Index,
        /// Last entry of the sender at which the logs may agree.
        hint: LogId,
    },
    /// Shows that the leader is alive.
    Heartbeat {
        /// The leader's commit index, limited to the entries that the receiver has acknowledged.
        commit: Index,
        /// The newest round of reads, which the answer confirms.
        round: u64,
    },
    /// Announces a higher commit index when there are no entries to send. Not answered.
    Commit {
        /// The leader's commit index, limited to the entries that the receiver has acknowledged.
        commit: Index,
    },
    /// Answers a heartbeat.
    HeartbeatAnswer {
        /// The round of the heartbeat, or 0 in an answer to a message of an earlier term.
        round: u64,
    },
    /// Carries one chunk of a snapshot.
    Chunk {
        /// Metadata of the snapshot.
        meta: SnapshotMeta,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// The bytes of the chunk.
        data: Bytes,
    },
    /// Reports how much of a snapshot the sender has received.
    ChunkAnswer {
        /// Last entry in the snapshot.
        id: LogId,
        /// Bytes that the sender has received, counted from the start.
        offset: u64,
    },
    /// Tells the receiver to campaign at once, because the leader transfers its leadership.
    TimeoutNow,
}

impl Body {
    /// Returns true if the message answers a leader or candidate, and so may count for a quorum.
    ///
    /// ```
    /// assert!(mangogw_store::Body::HeartbeatAnswer { round: 1 }.is_answer());
    /// assert!(!mangogw_store::Body::TimeoutNow.is_answer());
    /// ```
    pub const fn is_answer(&self) -> bool {
        matches!(
            self,
            Self::PreVoteAnswer { .. }
                | Self::VoteAnswer { .. }
                | Self::Matched { .. }
                | Self::Rejected { .. }
                | Self::HeartbeatAnswer { .. }
                | Self::ChunkAnswer { .. }
        )
    }
}

/// Metadata of a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry in the snapshot.
    pub id: LogId,
    /// Members as of that entry.
    pub members: Members,
    /// Length of the data in bytes.
    pub bytes: u64,
    /// CRC-32 of the data.
    pub crc: u32,
}

/// The applied state as of one entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Metadata of the snapshot.
    pub meta: SnapshotMeta,
    /// The applied state, whose bytes the log does not interpret.
    pub data: Bytes,
}

impl Snapshot {
    /// Returns a snapshot of the applied state `data` as of entry `id`.
    ///
    /// ```
    /// use mangogw_store::{LogId, Members, Snapshot};
    /// let snapshot = Snapshot::new(LogId::default(), Members::default(), "state".into());
    /// assert!(snapshot.is_intact());
    /// ```
    pub fn new(id: LogId, members: Members, data: Bytes) -> Self {
        let crc = crc32fast::hash(&data);
        Self { meta: SnapshotMeta { id, members, bytes: data.len() as u64, crc }, data }
    }

    /// Returns true if the length and the CRC-32 of the data match the metadata.
    pub fn is_intact(&self) -> bool {
        self.data.len() as u64 == self.meta.bytes && crc32fast::hash(&self.data) == self.meta.crc
    }
}
