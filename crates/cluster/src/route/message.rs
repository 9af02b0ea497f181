//! What hosts tell each other about their load.

use super::Load;
use mangogw_model::{EntryName, HostId};
use serde::{Deserialize, Serialize};

/// A message of the relay protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The load of the sender; at most [`MAX_ROWS`](super::MAX_ROWS) rows. Also rides on the answers to relayed tasks.
    Loads(Vec<LoadRow>),
    /// A host of another zone asks who has room for an entry.
    QueryLoads(EntryName),
    /// The answer: the hosts of the sender's zone with the most room.
    Offers {
        /// The entry.
        entry: EntryName,
        /// The hosts and their loads; at most [`MAX_OFFERS`](super::MAX_OFFERS).
        hosts: Vec<(HostId, Load)>,
    },
}

/// The load of a host for one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The entry.
    pub entry: EntryName,
    /// The load.
    pub load: Load,
}
