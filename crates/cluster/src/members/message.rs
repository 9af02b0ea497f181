//! The messages of the membership protocol.

use super::MemberRecord;
use mangogw_model::{HostId, Incarnation, Zone};
use serde::{Deserialize, Serialize};

/// A message of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The life of the sender.
    pub incarnation: Incarnation,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A host introduces itself.
    Join {
        /// The sender.
        record: MemberRecord,
        /// True if it wants all records in return.
        want_all: bool,
    },
    /// Answer with an `Ack`.
    Ping {
        /// Echoed in the answer.
        serial: u64,
        /// What the sender knows.
        gossip: Gossip,
    },
    /// The answer to a `Ping`.
    Ack {
        /// The serial of the `Ping`.
        serial: u64,
        /// What the sender knows.
        gossip: Gossip,
    },
    /// Ping `subject` on behalf of the sender.
    Probe {
        /// Echoed in the answer.
        serial: u64,
        /// The host to ping.
        subject: HostId,
    },
    /// The answer to a `Probe`: the host answered.
    ProbeAck {
        /// The serial of the `Probe`.
        serial: u64,
        /// The host that answered.
        subject: HostId,
        /// The life in which it answered.
        incarnation: Incarnation,
    },
    /// The digest of each zone; answered with `Records` of the zones whose digests differ.
    Digests(Vec<(Zone, u64)>),
    /// Claims.
    Records {
        /// The claims.
        records: Vec<MemberRecord>,
        /// True if the receiver should send back claims of these zones that beat or extend them.
        want_reply: bool,
    },
}

/// What rides on every `Ping` and `Ack`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The digest of all records of the sender.
    pub digest: u64,
    /// Fresh claims, at most [`MAX_GOSSIP_RECORDS`](super::MAX_GOSSIP_RECORDS).
    pub records: Vec<MemberRecord>,
    /// How long ago the sender, or a host of its zone, last heard from each other zone, in milliseconds;
    /// on pings inside a zone only.
    pub zone_ages: Vec<(Zone, u32)>,
}
