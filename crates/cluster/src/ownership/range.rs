//! Ranges of keys and the hosts that hold their records.

use mangogw_model::{HostId, Incarnation, Zone};
use serde::{Deserialize, Serialize};

/// Id of a range of keys: its position in the table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RangeId(pub u32);

/// One incarnation of one host. A restarted host has lost its records and is another holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Host that holds the records.
    pub host: HostId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

impl Holder {
    /// Creates the holder for `incarnation` of `host`.
    pub const fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self { host, incarnation }
    }
}

/// A live host as seen by the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Id and incarnation of the host.
    pub holder: Holder,
    /// Availability zone of the host.
    pub zone: Zone,
    /// True if the host is shutting down and hands its ranges over.
    pub leaving: bool,
}

impl Peer {
    /// Creates a live host that is not leaving.
    pub const fn new(host: HostId, incarnation: Incarnation, zone: Zone) -> Self {
        Self { holder: Holder::new(host, incarnation), zone, leaving: false }
    }
}

/// Holders of the records of a range.
///
/// `GET /v1/ownership` returns them as JSON: the JSON names are part of the operators' API.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// Increases with each change of holders; 0 before the first.
    pub epoch: u64,
    /// The owner, then its followers.
    pub holders: Vec<Holder>,
    /// True once every holder has every record of the last ready holders.
    pub ready: bool,
    /// The last ready holders while `ready` is false; each of them has every record.
    #[serde(rename = "prior")]
    pub prior_holders: Vec<Holder>,
    /// True if some records may be lost.
    #[serde(rename = "lost")]
    pub records_lost: bool,
}

impl KeyRange {
    /// Returns the owner; `None` before the first assignment.
    pub fn owner(&self) -> Option<Holder> {
        self.holders.first().copied()
    }

    /// Returns true if `holder` is a current holder or one of the last ready holders.
    pub fn includes(&self, holder: Holder) -> bool {
        self.holders.contains(&holder) || self.prior_holders.contains(&holder)
    }

    pub(super) fn assign(&mut self, holders: Vec<Holder>) {
        let former = std::mem::replace(&mut self.holders, holders);
        if self.ready {
            self.prior_holders = former;
        }
        self.ready = false;
        self.epoch += 1;
    }

    pub(super) fn mark_ready(&mut self) {
        self.ready = true;
        self.prior_holders.clear();
        self.records_lost = false;
    }

    pub(super) fn forget_prior(&mut self) {
        self.prior_holders.clear();
        self.records_lost = true;
    }
}

/// Hashes a key by FNV-1a with a final mix; the result must be the same on every host and in every version.
pub(super) fn hash_key(bytes: &[u8]) -> u64 {
    let folded = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum: u64, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3));
    mix(folded)
}

/// Returns the rendezvous score of a host for a range; the host with the highest score is preferred.
pub(super) fn score(range: RangeId, host: HostId) -> u64 {
    mix(mix(host.0 ^ 0x9e37_79b9_7f4a_7c15).wrapping_add(u64::from(range.0)))
}

/// The finalizer of splitmix64.
const fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
