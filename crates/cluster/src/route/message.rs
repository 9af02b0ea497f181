//! Messages about the load of hosts.

use super::Load;
use mangogw_model::{EntryName, HostId};
use serde::{Deserialize, Serialize};

/// A message of the relay protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Load of the sender, at most [`MAX_ROWS`](super::MAX_ROWS) rows; also sent with the answers to relayed tasks.
    Loads(Vec<LoadRow>),
    /// Asks which hosts of the receiver's zone have room for an entry.
    QueryLoads(EntryName),
    /// The answer to `QueryLoads`: the hosts of the sender's zone with the shortest expected wait.
    Offers {
        /// Entry that was asked for.
        entry: EntryName,
        /// Hosts with their loads, at most [`MAX_OFFERS`](super::MAX_OFFERS).
        hosts: Vec<(HostId, Load)>,
    },
}

/// Load of a host for one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// Entry that the load belongs to.
    pub entry: EntryName,
    /// Load of the sender for the entry.
    pub load: Load,
}
