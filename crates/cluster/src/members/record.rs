//! What is known of one host, and which of two claims about it wins.

use mangogw_model::{HostId, Incarnation, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How a host describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its identity.
    pub id: HostId,
    /// Rises each time its process starts.
    pub incarnation: Incarnation,
    /// Where hosts reach it.
    pub address: SocketAddr,
    /// Where callers and targets reach it.
    pub http_address: SocketAddr,
    /// The zone it stands in.
    pub zone: Zone,
    /// True if it votes in the control group.
    pub voter: bool,
}

/// The state of a host in the eyes of others. A later state wins over an earlier one of the same life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer, and has time to object.
    Suspect,
    /// It did not object.
    Dead,
    /// It said that it leaves.
    Left,
}

/// A claim about a host. Claims are ordered: a later life wins, then a later objection, then a later status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The host.
    pub host: Host,
    /// How often the host objected to being suspected in this life.
    pub refutations: u32,
    /// Its state.
    pub status: Status,
}

impl MemberRecord {
    /// The position in the order of claims.
    pub(crate) const fn rank(&self) -> (Incarnation, u32, Status) {
        (self.host.incarnation, self.refutations, self.status)
    }

    /// True if this claim wins over `other`.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// True while the host counts as a member.
    pub(crate) const fn is_member(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}
