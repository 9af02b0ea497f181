//! Record of one host, and the order that decides which of two records supersedes the other.

use mangogw_model::{HostId, Incarnation, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Description of a host by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Id of the host.
    pub id: HostId,
    /// Increases each time the process of the host starts.
    pub incarnation: Incarnation,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Address for callers and targets.
    pub http_address: SocketAddr,
    /// Availability zone of the host.
    pub zone: Zone,
    /// True if the host votes in the control group.
    pub voter: bool,
}

/// Status of a host as seen by others. A later variant supersedes an earlier one of the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// The host answers.
    Alive,
    /// The host did not answer, and has time to refute.
    Suspect,
    /// The host did not refute the suspicion.
    Dead,
    /// The host announced that it leaves.
    Left,
}

/// Record of a host. Records are ordered by incarnation, then by number of refutations, then by status; the later one
/// supersedes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Host as it described itself in this incarnation.
    pub host: Host,
    /// Number of suspicions that the host refuted in this incarnation.
    pub refutations: u32,
    /// Status of the host.
    pub status: Status,
}

impl MemberRecord {
    /// Returns the position in the order of records.
    pub(crate) const fn rank(&self) -> (Incarnation, u32, Status) {
        (self.host.incarnation, self.refutations, self.status)
    }

    /// Returns true if this record supersedes `other`.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Returns true while the host counts as a member.
    pub(crate) const fn is_member(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}
