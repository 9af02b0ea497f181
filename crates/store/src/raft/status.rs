//! The state of a member as reported to operators and to the caller.

use super::Raft;
use crate::{FolderId, GroupId, Index, Members, Role, Term};
use mangogw_model::{HostId, Time};

/// The state of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Id of this host.
    pub host: HostId,
    /// Id of this host's data folder.
    pub folder_id: FolderId,
    /// Id of the group, or 0 while this host belongs to none.
    pub group: GroupId,
    /// Role of this host.
    pub role: Role,
    /// Current term of this host.
    pub term: Term,
    /// Leader of the current term, if this host knows one.
    pub leader: Option<HostId>,
    /// Index of the last entry in the log.
    pub last: Index,
    /// Index of the last entry that this host knows to be committed.
    pub commit: Index,
    /// Index of the last entry that was output to be applied.
    pub applied: Index,
    /// Index of the last entry covered by the newest snapshot, or 0 without a snapshot.
    pub snapshot: Index,
    /// Bytes of log entries in memory.
    pub log_bytes: usize,
    /// Messages dropped because they were meant for another host, came from another group or a replaced data folder, or
    /// because this host has failed.
    pub foreign_messages: u64,
    /// The members as of the last entry of the log.
    pub members: Members,
    /// The other members; empty unless this host leads.
    pub peers: Vec<PeerStatus>,
}

/// The state of another member as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// Id of the member.
    pub host: HostId,
    /// Index up to which the member's synced log agrees with the leader's.
    pub matched: Index,
    /// True if the member was heard from within the election timeout; a learner, within three learner heartbeats.
    pub alive: bool,
    /// True if the member's log is close enough to the leader's for it to become a voter.
    pub caught_up: bool,
}

impl Raft {
    /// Returns the role of this member.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader of the current term, if this member knows one.
    pub const fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// Returns the time of the last message from the leader, which is now if this member leads. Without a leader, it is
    /// the time of an earlier leader's last message.
    pub fn leader_heard(&self) -> Time {
        if self.role == Role::Leader { self.now } else { self.leader_contact }
    }

    /// Returns the index of the last entry that was output to be applied; `None` until this member leads and has output
    /// all entries that earlier leaders committed.
    pub fn leader_applied_index(&self) -> Option<Index> {
        self.committed_in_term().then_some(self.applied)
    }

    /// Returns the state of this member.
    ///
    /// ```
    /// use mangogw_model::{HostId, Time};
    /// use mangogw_store::{DurableState, FolderId, Raft, Role, Settings};
    ///
    /// let raft = Raft::open(Settings::default(), DurableState::joining(HostId(4), FolderId(1)), Time::ZERO);
    /// assert_eq!(raft.status().role, Role::Follower);
    /// ```
    pub fn status(&self) -> Status {
        Status {
            host: self.host,
            folder_id: self.folder_id,
            group: self.group,
            role: self.role,
            term: self.term,
            leader: self.leader,
            last: self.last_id().index,
            commit: self.commit,
            applied: self.applied,
            snapshot: self.snapshot.as_ref().map(|snapshot| snapshot.meta.id.index).unwrap_or_default(),
            log_bytes: self.log.bytes(),
            foreign_messages: self.foreign_messages,
            members: self.members().clone(),
            peers: self.progress.keys().map(|host| self.peer_status(*host)).collect(),
        }
    }

    fn peer_status(&self, host: HostId) -> PeerStatus {
        let progress = &self.progress[&host];
        PeerStatus { host, matched: progress.matched, alive: progress.alive(self.now), caught_up: self.caught_up(host) }
    }
}
