//! Ownership table: which hosts hold the records of which keys.
//!
//! The table is a deterministic state machine that every host applies from the replicated log of the control group. A
//! key belongs to one range. A range has holders: the owner first, then its followers. A change of holders increases
//! the epoch, and the new holders may act only after `MarkReady`, which confirms that all of them have every record of
//! the last ready holders.
//!
//! ```
//! use mangogw_cluster::ownership::{Command, Ownership, Peer};
//! use mangogw_model::{HostId, Incarnation};
//!
//! let peers = [1, 2].map(|host| Peer::new(HostId(host), Incarnation(1), "regina-a".into()));
//! let mut table = Ownership::default();
//! for index in 1..=3 {
//!     for command in table.plan(&peers) {
//!         table.apply(index, &command);
//!     }
//! }
//! let range = table.locate(&"order-17".into()).unwrap();
//! assert_eq!(table.range(range).unwrap().holders.len(), 2);
//! ```

mod command;
mod plan;
mod range;

pub use command::{BadCommand, Command};
pub use range::{Holder, KeyRange, Peer, RangeId};

use mangogw_model::{Key, Zone};
use range::hash_key;
use serde::{Deserialize, Serialize};

/// Separates the zone of a pinned key from the rest of the key.
const ZONE_SEPARATOR: char = ':';

/// Table of ranges and their holders.
///
/// `GET /v1/ownership` returns it as JSON: the JSON names are part of the operators' API.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    #[serde(rename = "index")]
    applied_index: u64,
    #[serde(rename = "hashed")]
    hashed_ranges: u32,
    #[serde(rename = "pinned")]
    pinned_ranges: u32,
    zones: Vec<Zone>,
    ranges: Vec<KeyRange>,
}

impl Ownership {
    /// Returns the log index of the last command applied; 0 before the first.
    pub const fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns every range with its id, in the order of the ids.
    pub fn ranges(&self) -> impl Iterator<Item = (RangeId, &KeyRange)> {
        self.ranges.iter().enumerate().map(|(at, range)| (RangeId(at as u32), range))
    }

    /// Returns the range with this id; `None` if there is none.
    pub fn range(&self, id: RangeId) -> Option<&KeyRange> {
        self.ranges.get(id.0 as usize)
    }

    /// Returns the zone whose keys the range holds; `None` for a range of hashed keys.
    pub fn zone(&self, id: RangeId) -> Option<&Zone> {
        let at = id.0.checked_sub(self.hashed_ranges)?;
        self.zones.get((at / self.pinned_ranges.max(1)) as usize)
    }

    /// Returns the range that `key` belongs to; `None` if the table has no range for it.
    ///
    /// A key with a colon is pinned to the zone before the colon. If the table does not know the zone there is no
    /// range: if such keys were hashed until their zone is added, two hosts could own one key.
    ///
    /// ```
    /// use mangogw_cluster::ownership::{Command, Ownership};
    ///
    /// let mut table = Ownership::default();
    /// table.apply(1, &Command::Initialize { hashed_ranges: 4, pinned_ranges: 2, zones: vec!["regina-a".into()] });
    /// let pinned = table.locate(&"regina-a:17".into()).unwrap();
    /// assert_eq!(table.zone(pinned), Some(&"regina-a".into()));
    /// let hashed = table.locate(&"order-17".into()).unwrap();
    /// assert_eq!(table.zone(hashed), None);
    /// assert_eq!(table.locate(&"atlantis:17".into()), None);
    /// ```
    pub fn locate(&self, key: &Key) -> Option<RangeId> {
        let digest = hash_key(key.as_str().as_bytes());
        let slot = |count: u32| digest.checked_rem(u64::from(count)).map(|slot| slot as u32);
        match key.as_str().split_once(ZONE_SEPARATOR) {
            Some((zone, _)) => {
                let zone = self.zones.iter().position(|known| known.as_str() == zone)? as u32;
                Some(RangeId(self.hashed_ranges + zone * self.pinned_ranges + slot(self.pinned_ranges)?))
            }
            None => slot(self.hashed_ranges).map(RangeId),
        }
    }

    /// Applies the command at `index` of the log. A command whose epoch is not the current one has no effect.
    pub fn apply(&mut self, index: u64, command: &Command) {
        self.applied_index = self.applied_index.max(index);
        match command {
            Command::Initialize { hashed_ranges, pinned_ranges, zones } if self.hashed_ranges == 0 => {
                self.initialize(*hashed_ranges, *pinned_ranges, zones);
            }
            Command::Initialize { .. } => {}
            Command::AddZone { zone } => self.add_zone(zone),
            Command::Assign { range, epoch, holders } => {
                if let Some(range) = self.range_at_epoch(*range, *epoch).filter(|_| !holders.is_empty()) {
                    range.assign(holders.clone());
                }
            }
            Command::MarkReady { range, epoch } => {
                if let Some(range) = self.range_at_epoch(*range, *epoch) {
                    range.mark_ready();
                }
            }
            Command::ForgetPrior { range, epoch } => {
                if let Some(range) = self.range_at_epoch(*range, *epoch).filter(|range| !range.ready) {
                    range.forget_prior();
                }
            }
        }
    }

    /// Encodes the table for the snapshot of the control group.
    ///
    /// ```
    /// use mangogw_cluster::ownership::Ownership;
    ///
    /// let table = Ownership::default();
    /// assert_eq!(Ownership::restore(&table.snapshot()).unwrap(), table);
    /// ```
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding the ownership table can't fail")
    }

    /// Decodes a table from the bytes of [`Ownership::snapshot`].
    ///
    /// # Errors
    ///
    /// [`BadCommand`] if the bytes are not a valid table.
    pub fn restore(bytes: &[u8]) -> Result<Self, BadCommand> {
        postcard::from_bytes(bytes).map_err(|_error| BadCommand)
    }

    fn initialize(&mut self, hashed_ranges: u32, pinned_ranges: u32, zones: &[Zone]) {
        self.hashed_ranges = hashed_ranges.max(1);
        self.pinned_ranges = pinned_ranges.max(1);
        self.ranges = vec![KeyRange::default(); self.hashed_ranges as usize];
        for zone in zones {
            self.add_zone(zone);
        }
    }

    /// Adds the ranges of a zone, unless the table has them.
    fn add_zone(&mut self, zone: &Zone) {
        if self.hashed_ranges == 0 || self.zones.contains(zone) {
            return;
        }
        self.zones.push(zone.clone());
        let count = self.ranges.len() + self.pinned_ranges as usize;
        self.ranges.resize(count, KeyRange::default());
    }

    fn range_at_epoch(&mut self, id: RangeId, epoch: u64) -> Option<&mut KeyRange> {
        self.ranges.get_mut(id.0 as usize).filter(|range| range.epoch == epoch)
    }
}
