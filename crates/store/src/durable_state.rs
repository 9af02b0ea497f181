//! What a data folder gives back when it is opened.

use crate::{FolderId, GroupId, HardState, Index, LogEntry, LogId, Members, Op, Payload, Snapshot, Term};
use bytes::Bytes;
use mangogw_model::HostId;

/// The entry that a founding state stands for: not 0, so that a host that joins is sent the state.
const BOOTSTRAP_ENTRY: LogId = LogId { term: Term(1), index: Index(1) };

/// The durable state of one host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The host that the folder belongs to.
    pub host: HostId,
    /// Drawn when the folder was created.
    pub folder_id: FolderId,
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
}

impl DurableState {
    /// A host that belongs to no group yet: it waits to be added as a learner.
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

    /// A host that founds the group `group` with `members`, which must name this host with its birth. `state` is the
    /// applied state that the group starts from, and may be empty.
    ///
    /// Every founder must be handed the same members and state, and none may have belonged to the group before. The
    /// plain way is one founder, with all other hosts joining.
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

    /// A host that founds a new group, alone, from the state of an older one. Indices and terms go on from there.
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

    /// Makes this host the only voter of a new group `group`, on its own log: the way out when a majority of the
    /// voters is lost for good. All entries that this host holds count as committed; acknowledged changes that only
    /// the lost hosts held are gone. Write the operations to the folder before the state is opened.
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

    /// The members as of the snapshot.
    pub fn members(&self) -> Members {
        self.snapshot.as_ref().map(|snapshot| snapshot.meta.members.clone()).unwrap_or_default()
    }

    /// The entry that the log starts after.
    pub fn base(&self) -> LogId {
        self.snapshot.as_ref().map(|snapshot| snapshot.meta.id).unwrap_or_default()
    }
}
