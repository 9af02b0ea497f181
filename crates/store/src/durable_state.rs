//! The durable state of one host, as read when its data folder is opened.

use crate::{FolderId, GroupId, HardState, Index, LogEntry, LogId, Members, Op, Payload, Snapshot, Term};
use bytes::Bytes;
use mangogw_model::HostId;

/// Last entry covered by the snapshot of a new group. Its index is not 0, so that hosts that join receive the snapshot.
const BOOTSTRAP_ENTRY: LogId = LogId { term: Term(1), index: Index(1) };

/// The durable state of one host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Id of the host that owns the data folder.
    pub host: HostId,
    /// Id of the data folder, drawn at random when it was created.
    pub folder_id: FolderId,
    /// Group, term, vote and commit index.
    pub hard_state: HardState,
    /// The newest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl DurableState {
    /// Returns the state of a host that belongs to no group yet and waits to be added as a learner.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{DurableState, FolderId};
    /// let stored = DurableState::joining(HostId(4), FolderId(0x5eed));
    /// assert!(stored.members().voters.is_empty());
    /// ```
    pub fn joining(host: HostId, folder_id: FolderId) -> Self {
        Self { host, folder_id, ..Self::default() }
    }

    /// Returns the state of a host that bootstraps the new group `group` with `members`, which must hold this host with
    /// `folder_id`. `state` is the initial applied state and may be empty.
    ///
    /// All hosts that bootstrap a group must use the same members and state, and none may have belonged to the group
    /// before. The simplest way is to bootstrap one host and let all others join.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{DurableState, FolderId, GroupId, Members};
    /// let members = Members::from_voters([(HostId(1), FolderId(7))]);
    /// let stored = DurableState::bootstrap(HostId(1), FolderId(7), GroupId(99), members, Default::default());
    /// assert!(stored.members().is_voter(HostId(1)));
    /// ```
    pub fn bootstrap(host: HostId, folder_id: FolderId, group: GroupId, members: Members, state: Bytes) -> Self {
        Self {
            host,
            folder_id,
            hard_state: HardState { group, term: BOOTSTRAP_ENTRY.term, vote: None, commit: BOOTSTRAP_ENTRY.index },
            snapshot: Some(Snapshot::new(BOOTSTRAP_ENTRY, members, state)),
            entries: Vec::new(),
        }
    }

    /// Returns the state of a host that bootstraps a new group, as its only voter, from a snapshot of an older group.
    /// Terms and indices continue from those of the snapshot.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{DurableState, FolderId, GroupId, Index, LogId, Members, Snapshot, Term};
    ///
    /// let id = LogId { term: Term(3), index: Index(41) };
    /// let old = Snapshot::new(id, Members::default(), "state".into());
    /// let stored = DurableState::from_backup(HostId(9), FolderId(5), GroupId(6), &old);
    /// assert_eq!(stored.base().index, Index(42));
    /// ```
    pub fn from_backup(host: HostId, folder_id: FolderId, group: GroupId, snapshot: &Snapshot) -> Self {
        let id = LogId { term: snapshot.meta.id.term.next(), index: snapshot.meta.id.index.next() };
        Self {
            host,
            folder_id,
            hard_state: HardState { group, term: id.term, vote: None, commit: id.index },
            snapshot: Some(Snapshot::new(id, Members::from_voters([(host, folder_id)]), snapshot.data.clone())),
            entries: Vec::new(),
        }
    }

    /// Makes this host the only voter of a new group `group` that continues its log, for use when a majority of the
    /// voters is permanently lost. All entries of this host then count as committed; acknowledged changes that only the
    /// lost hosts stored are gone.
    ///
    /// Returns the operations to write to the data folder before the state is opened.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{DurableState, FolderId, GroupId, Members};
    ///
    /// let voters = [(HostId(1), FolderId(7)), (HostId(2), FolderId(8)), (HostId(3), FolderId(9))];
    /// let members = Members::from_voters(voters);
    /// let mut stored = DurableState::bootstrap(HostId(1), FolderId(7), GroupId(99), members, Default::default());
    /// let ops = stored.force_new_group(GroupId(100));
    /// assert_eq!(ops.len(), 2);
    /// assert_eq!(stored.entries.len(), 1);
    /// ```
    pub fn force_new_group(&mut self, group: GroupId) -> Vec<Op> {
        let last = self.entries.last().map_or(self.base(), |entry| entry.id);
        let id = LogId { term: self.hard_state.term.next(), index: last.index.next() };
        let members = Members::from_voters([(self.host, self.folder_id)]);
        let entry = LogEntry { id, payload: Payload::Members(members) };
        self.entries.push(entry.clone());
        self.hard_state = HardState { group, term: id.term, vote: Some(self.host), commit: id.index };
        vec![Op::Append(vec![entry]), Op::State(self.hard_state)]
    }

    /// Returns the members as of the snapshot, or no members without a snapshot.
    pub fn members(&self) -> Members {
        self.snapshot.as_ref().map(|snapshot| snapshot.meta.members.clone()).unwrap_or_default()
    }

    /// Returns the last entry of the snapshot, which the log starts after.
    pub fn base(&self) -> LogId {
        self.snapshot.as_ref().map(|snapshot| snapshot.meta.id).unwrap_or_default()
    }
}
