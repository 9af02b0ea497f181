//! What a data folder gives back when it is opened.

use crate::{Birth, GroupId, HardState, Index, LogEntry, LogId, Members, Snapshot, Term};
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

    /// The members as of the snapshot.
    pub fn members(&self) -> Members {
        self.snapshot.as_ref().map(|snapshot| snapshot.meta.members.clone()).unwrap_or_default()
    }

    /// The entry that the log starts after.
    pub fn base(&self) -> LogId {
        self.snapshot.as_ref().map(|snapshot| snapshot.meta.id).unwrap_or_default()
    }
}
