//! What hosts of the group say to each other.

use crate::{FolderId, GroupId, Index, LogEntry, LogId, Members, Term};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message of one host of the group to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The group of the sender.
    pub group: GroupId,
    /// The birth of the sender's data folder.
    pub folder_id: FolderId,
    /// The term of the sender; for a pre-vote, the term it would campaign in.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a campaign could win.
    PreVote {
        /// The last entry of the sender.
        last: LogId,
    },
    /// The answer to a pre-vote. If granted, the term is that of the request.
    PreVoteAnswer {
        /// True if the sender would vote for it.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The last entry of the candidate.
        last: LogId,
        /// True if the leader itself asked for the campaign.
        transfer: bool,
    },
    /// The answer to a vote request.
    VoteAnswer {
        /// True if the sender voted for it; its vote is synced.
        granted: bool,
    },
    /// Entries from the leader.
    Append {
        /// The entry before the first one sent.
        prev: LogId,
        /// The leader's commit index.
        commit: Index,
        /// The entries; may be empty.
        entries: Vec<LogEntry>,
    },
    /// The log of the sender agrees with the leader's up to `index`, and is synced up to there.
    Matched {
        /// The last entry that agrees.
        index: Index,
    },
    /// The log of the sender does not hold the entry before the first one sent.
    Rejected {
        /// The index that was not held.
        prev: Index,
        /// Where the logs may agree.
        hint: LogId,
    },
    /// The leader is alive.
    Heartbeat {
        /// The commit index, as far as the receiver's log agrees.
        commit: Index,
        /// The round of reads it confirms.
        round: u64,
    },
    /// More is committed, and nothing else is to be sent. It is not answered.
    Commit {
        /// The commit index, as far as the receiver's log agrees.
        commit: Index,
    },
    /// The answer to a heartbeat.
    HeartbeatAnswer {
        /// The round of the heartbeat.
        round: u64,
    },
    /// A piece of a snapshot.
    Chunk {
        /// The snapshot.
        meta: SnapshotMeta,
        /// The position of the piece in bytes.
        offset: u64,
        /// The piece.
        data: Bytes,
    },
    /// How much of a snapshot the sender holds.
    ChunkAnswer {
        /// The last entry in the snapshot.
        id: LogId,
        /// Bytes held from the start.
        offset: u64,
    },
    /// Asks the receiver to campaign at once, since the leader hands over to it.
    TimeoutNow,
}

impl Body {
    /// True if it answers a leader or candidate, and so may count for a quorum.
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

/// What a snapshot stands for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The last entry in it.
    pub id: LogId,
    /// The members as of that entry.
    pub members: Members,
    /// Its length in bytes.
    pub bytes: u64,
    /// The CRC-32 of its bytes.
    pub crc: u32,
}

/// The applied state as of one entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// What it stands for.
    pub meta: SnapshotMeta,
    /// The state, opaque to the log.
    pub data: Bytes,
}

impl Snapshot {
    /// The state `data` as of entry `id`.
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

    /// True if the bytes are those that the meta data names.
    pub fn is_intact(&self) -> bool {
        self.data.len() as u64 == self.meta.bytes && crc32fast::hash(&self.data) == self.meta.crc
    }
}
