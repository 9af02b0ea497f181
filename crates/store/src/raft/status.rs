//! What operators and the shell see of a member.

use super::Raft;
use crate::{FolderId, GroupId, Index, Members, Role, Term};
use mangogw_model::HostId;

/// The state of this member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This host.
    pub host: HostId,
    /// The birth of its data folder.
    pub folder_id: FolderId,
    /// Its group, or 0.
    pub group: GroupId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader it knows.
    pub leader: Option<HostId>,
    /// The last entry of its log.
    pub last: Index,
    /// The last entry it knows to be committed.
    pub commit: Index,
    /// The last entry handed out.
    pub applied: Index,
    /// The last entry of its snapshot.
    pub snapshot: Index,
    /// Bytes of log in memory.
    pub log_bytes: usize,
    /// Messages dropped since they came from another group or a replaced data folder.
    pub foreign_messages: u64,
    /// The members.
    pub members: Members,
    /// The other members, if this host leads.
    pub peers: Vec<PeerStatus>,
}

/// What a leader knows of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// The member.
    pub host: HostId,
    /// Its synced log agrees up to here.
    pub matched: Index,
    /// True if it answers within the election timeout.
    pub alive: bool,
    /// True if it could be made a voter now.
    pub caught_up: bool,
}

impl Raft {
    /// What the member is in the group.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// The term.
    pub const fn term(&self) -> Term {
        self.term
    }

    /// The leader, if one is known.
    pub const fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// The last entry that was handed out to be applied, once this member leads and has handed out all that was
    /// committed before.
    pub fn leader_applied_index(&self) -> Option<Index> {
        self.committed_in_term().then_some(self.applied)
    }

    /// The state of this member.
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
