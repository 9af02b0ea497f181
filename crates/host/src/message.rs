//! What hosts say to each other.

use crate::group::GroupMessage;
use crate::relay::RelayMessage;
use crate::spread::SpreadMessage;
use mangogw_cluster::{grants, members, records, route, shares};
use serde::{Deserialize, Serialize};

/// One message between hosts. It may be lost, delayed, doubled and reordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Of the membership.
    Members(members::Message),
    /// Of the grants of targets.
    Grants(grants::Message),
    /// Of the choice of hosts for tasks.
    Route(route::Message),
    /// Of the submission records.
    Records(records::RecordMessage),
    /// Of the consensus.
    Raft(mangogw_store::Message),
    /// Of the control group with hosts outside of it.
    Group(GroupMessage),
    /// Of the spread of catalogue and ownership table.
    Spread(SpreadMessage),
    /// Of the shares of limits.
    Shares(shares::Message),
    /// Of relayed requests.
    Relay(RelayMessage),
}

impl Message {
    /// The bytes of the message.
    ///
    /// ```
    /// use mangogw_host::Message;
    /// use mangogw_model::EntryName;
    ///
    /// let ask = Message::Route(mangogw_cluster::route::Message::QueryLoads(EntryName::from("gate-scan")));
    /// assert_eq!(Message::decode(&ask.encode()), Some(ask));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        // Only a map of unknown length or a broken writer fails here, and neither occurs.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The message of these bytes; `None` for bytes that are no message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
