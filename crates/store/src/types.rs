//! Number types of the replicated log.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! u64_newtypes {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// Returns the previous number, or 0 for 0.
            #[must_use]
            pub const fn prev(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

u64_newtypes! {
    /// Id of a data folder, drawn at random when it is created. Tells a replacement disk from the disk it replaces.
    FolderId,
    /// Id of a group, drawn at random when it is bootstrapped; 0 before a host belongs to one. Messages of other groups
    /// are dropped.
    GroupId,
    /// Index of a log entry; the first entry has index 1.
    Index,
    /// Identifies a proposal, read, transfer or change in the outputs; chosen by the caller.
    Tag,
    /// Number of an election term.
    Term,
    /// Id of a write; increases by one with each write.
    WriteId,
}

/// The term and index of a log entry. Compares by term, then index: the log with the greater last entry is more up to
/// date.
///
/// ```
/// use mangogw_store::{Index, LogId, Term};
///
/// let long = LogId { term: Term(1), index: Index(9) };
/// let late = LogId { term: Term(2), index: Index(3) };
/// assert!(late > long);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogId {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}
