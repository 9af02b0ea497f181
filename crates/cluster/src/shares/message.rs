//! What hosts say about the limits they use.

use mangogw_model::{EntryName, Owner};
use serde::{Deserialize, Serialize};

/// What a limit bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// Starts a second.
    Rate,
    /// Tasks running at once.
    Concurrency,
    /// Cores held at once.
    Cores,
    /// Memory held at once, in megabytes.
    Memory,
    /// Accelerators held at once.
    Accelerators,
}

/// Whom a limit bounds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// All entries of a team.
    Owner(Owner),
    /// One entry.
    Entry(EntryName),
}

/// A limit that all hosts share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limit {
    /// Whom it bounds.
    pub scope: Scope,
    /// What it bounds.
    pub resource: Resource,
}

impl Resource {
    /// True if it can't be split below one.
    pub(super) const fn is_integral(self) -> bool {
        !matches!(self, Self::Rate)
    }
}

/// The id of a limit in messages: 48 bits of a hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LimitId(pub(super) u64);

/// One limit in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRow {
    /// The limit.
    pub id: LimitId,
    /// The amount that is wanted on top of the fixed part.
    pub demand: u64,
    /// How long before this report the report was sent whose answer holds now, in milliseconds; 0 is none.
    pub age_ms: u32,
}

/// A message of the shares protocol. Amounts are in thousandths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What a host wants of limits whose home is the receiver.
    Report {
        /// When it was sent, in milliseconds of the sender's clock; echoed in the answer.
        sent_ms: u64,
        /// The limits.
        rows: Vec<ReportRow>,
    },
    /// What the host may use until [`LEASE_DURATION`](super::LEASE_DURATION) after it sent the report.
    Lease {
        /// The `sent_ms` of the report.
        sent_ms: u64,
        /// The amounts, in the order of the report; `None`: the receiver is not the home.
        amounts: Vec<Option<u64>>,
    },
    /// Another host needs what the receiver holds too much of: report this limit now.
    Recall(LimitId),
}
