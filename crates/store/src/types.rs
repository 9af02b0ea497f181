//! The numbers of the replicated log, each with a type of its own.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! u64_newtypes {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// The number before, or 0.
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
    /// Drawn at random when a data folder is created: tells a replaced disk from the one it replaces.
    FolderId,
    /// Drawn at random when a group is founded; messages of another group are dropped. 0 is none yet.
    GroupId,
    /// A position in the log; the first entry has index 1.
    Index,
    /// Names a proposal, read, transfer or change in the outputs; picked by the caller.
    Tag,
    /// An election term.
    Term,
    /// Names a write; rises by one with each.
    WriteId,
}

/// The term and index of an entry. The order is that of "at least as up to date as".
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
    /// The term in which a leader made the entry.
    pub term: Term,
    /// Its position.
    pub index: Index,
}
