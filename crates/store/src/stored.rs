//! What a data folder gives back when it is opened.

use crate::{Birth, GroupId, HardState, Index, LogEntry, LogId, Members, Op, Payload, Snapshot, Term};
use bytes::Bytes;
use mangogw_model::HostId;

/// The entry that a founding state stands for: not 0, so that a host that joins is sent the state.
const FOUNDING: LogId = LogId { term: Term(1), index: Index(1) };

/// The durable state of one host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stored {
    /// The host that the folder belongs to.
    pub host: HostId,
    /// Drawn when the folder was created.
    pub birth: Birth,
    /// The hard state.
    pub state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
}

impl Stored {
    /// A host that belongs to no group yet: it waits to be added as a learner.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{Birth, Stored};
    /// let stored = Stored::joining(HostId(4), Birth(0x5eed));
    /// assert!(stored.members().voters.is_empty());
    /// ```
    pub fn joining(host: HostId, birth: Birth) -> Self {
        Self { host, birth, ..Self::default() }
    }

    /// A host that founds the group `group` with `members`, which must name this host with its birth. `state` is the
    /// applied state that the group starts from, and may be empty.
    ///
    /// Every founder must be handed the same members and state, and none may have belonged to the group before. The
    /// plain way is one founder, with all other hosts joining.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{Birth, GroupId, Members, Stored};
    /// let members = Members::of([(HostId(1), Birth(7))]);
    /// let stored = Stored::founding(HostId(1), Birth(7), GroupId(99), members, Default::default());
    /// assert!(stored.members().votes(HostId(1)));
    /// ```
    pub fn founding(host: HostId, birth: Birth, group: GroupId, members: Members, state: Bytes) -> Self {
        Self {
            host,
            birth,
            state: HardState { group, term: FOUNDING.term, vote: None, commit: FOUNDING.index },
            snapshot: Some(Snapshot::new(FOUNDING, members, state)),
            entries: Vec::new(),
        }
    }

    /// A host that founds a new group, alone, from the state of an older one. Indices and terms go on from there.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{Birth, GroupId, Index, LogId, Members, Snapshot, Stored, Term};
    ///
    /// let id = LogId { term: Term(3), index: Index(41) };
    /// let old = Snapshot::new(id, Members::default(), "state".into());
    /// let stored = Stored::restoring(HostId(9), Birth(5), GroupId(6), &old);
    /// assert_eq!(stored.base().index, Index(42));
    /// ```
    pub fn restoring(host: HostId, birth: Birth, group: GroupId, snapshot: &Snapshot) -> Self {
        let id = LogId { term: snapshot.meta.id.term.next(), index: snapshot.meta.id.index.next() };
        Self {
            host,
            birth,
            state: HardState { group, term: id.term, vote: None, commit: id.index },
            snapshot: Some(Snapshot::new(id, Members::of([(host, birth)]), snapshot.data.clone())),
            entries: Vec::new(),
        }
    }

    /// Makes this host the only voter of a new group `group`, on its own log: the way out when a majority of the
    /// voters is lost for good. All entries that this host holds count as committed; acknowledged changes that only
    /// the lost hosts held are gone. Write the operations to the folder before the state is opened.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{Birth, GroupId, Members, Stored};
    ///
    /// let members = Members::of([(HostId(1), Birth(7)), (HostId(2), Birth(8)), (HostId(3), Birth(9))]);
    /// let mut stored = Stored::founding(HostId(1), Birth(7), GroupId(99), members, Default::default());
    /// let ops = stored.rescue(GroupId(100));
    /// assert_eq!(ops.len(), 2);
    /// assert_eq!(stored.entries.len(), 1);
    /// ```
    pub fn rescue(&mut self, group: GroupId) -> Vec<Op> {
        let last = self.entries.last().map_or(self.base(), |entry| entry.id);
        let id = LogId { term: self.state.term.next(), index: last.index.next() };
        let members = Members::of([(self.host, self.birth)]);
        let entry = LogEntry { id, payload: Payload::Members(members) };
        self.entries.push(entry.clone());
        self.state = HardState { group, term: id.term, vote: Some(self.host), commit: id.index };
        vec![Op::Append(vec![entry]), Op::State(self.state)]
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
