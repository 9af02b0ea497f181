//! Limits, and the messages about their use.

use mangogw_model::{EntryName, Owner};
use serde::{Deserialize, Serialize};

/// Resource that a limit bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// Starts per second.
    Rate,
    /// Tasks running at the same time.
    Concurrency,
    /// Cores in use at the same time.
    Cores,
    /// Memory in use at the same time, in megabytes.
    Memory,
    /// Accelerators in use at the same time.
    Accelerators,
}

/// Owner or entry that a limit applies to.
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
    /// Owner or entry that it applies to.
    pub scope: Scope,
    /// Resource that it bounds.
    pub resource: Resource,
}

impl Resource {
    /// Returns true if the resource can't be split into parts below one.
    pub(super) const fn is_integral(self) -> bool {
        !matches!(self, Self::Rate)
    }
}

/// Id of a limit in messages: 48 bits of a hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LimitId(pub(super) u64);

/// One limit in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRow {
    /// Id of the limit.
    pub id: LimitId,
    /// Demand in addition to the fixed part, in thousandths.
    pub demand: u64,
    /// Time between the report whose answer is in force and this one, in milliseconds; 0 if there is none.
    pub age_ms: u32,
}

/// A message of the shares protocol. Amounts are in thousandths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Demand of a host for limits whose home is the receiver.
    Report {
        /// Time at which it was sent, in milliseconds of the sender's clock; returned in the answer.
        sent_ms: u64,
        /// One row for each limit.
        rows: Vec<ReportRow>,
    },
    /// Amounts that the host may use until [`LEASE_DURATION`](super::LEASE_DURATION) after it sent the report.
    Lease {
        /// The `sent_ms` of the report.
        sent_ms: u64,
        /// Amounts in the order of the report; `None` if the host that answers is not the home of the limit.
        amounts: Vec<Option<u64>>,
    },
    /// The receiver holds more than its part and another host needs it: report this limit now.
    Recall(LimitId),
}
