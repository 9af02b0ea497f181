//! Messages of the membership protocol.

use super::MemberRecord;
use mangogw_model::{HostId, Incarnation, Zone};
use serde::{Deserialize, Serialize};

/// A message of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The sender introduces itself.
    Join {
        /// Record of the sender.
        record: MemberRecord,
        /// True if the sender wants all records in return.
        want_all: bool,
    },
    /// Requests an `Ack`.
    Ping {
        /// Returned in the answer.
        serial: u64,
        /// Records and ages that the sender passes on.
        gossip: Gossip,
    },
    /// The answer to a `Ping`.
    Ack {
        /// The serial of the `Ping`.
        serial: u64,
        /// Records and ages that the sender passes on.
        gossip: Gossip,
    },
    /// Requests a ping of `subject` on behalf of the sender.
    Probe {
        /// Returned in the answer.
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
        /// Incarnation that answered.
        incarnation: Incarnation,
    },
    /// Digest of each zone; answered with the `Records` of the zones whose digests differ.
    Digests(Vec<(Zone, u64)>),
    /// Member records, which the receiver merges into its own.
    Records {
        /// Records that may be newer than those of the receiver.
        records: Vec<MemberRecord>,
        /// True if the receiver should send back records of these zones that are newer or missing here.
        want_reply: bool,
    },
}

/// Part of every `Ping` and `Ack`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Digest of all members that the sender knows.
    pub digest: u64,
    /// Recently changed records, at most [`MAX_GOSSIP_RECORDS`](super::MAX_GOSSIP_RECORDS).
    pub records: Vec<MemberRecord>,
    /// Time since the last contact of the sender, or a host of its zone, with each other zone, in milliseconds; only on
    /// pings inside a zone.
    pub zone_ages: Vec<(Zone, u32)>,
}
