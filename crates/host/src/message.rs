//! The messages between hosts and their encoding.

use crate::group::GroupMessage;
use crate::relay::RelayMessage;
use crate::spread::SpreadMessage;
use mangogw_cluster::{grants, members, records, route, shares};
use serde::{Deserialize, Serialize};

/// A message between hosts. It may be lost, delayed, duplicated or reordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Message of the membership protocol.
    Members(members::Message),
    /// Message about grants of targets.
    Grants(grants::Message),
    /// Message of the router, which chooses the host for a task.
    Route(route::Message),
    /// Message about submission records.
    Records(records::RecordMessage),
    /// Message of the Raft consensus.
    Raft(mangogw_store::Message),
    /// Message between the control group and hosts outside of it.
    Group(GroupMessage),
    /// Message that distributes the catalogue and the ownership table.
    Spread(SpreadMessage),
    /// Message about shares of cluster-wide limits.
    Shares(shares::Message),
    /// Message about a relayed request.
    Relay(RelayMessage),
}

impl Message {
    /// Encodes the message.
    ///
    /// ```
    /// use mangogw_host::Message;
    /// use mangogw_model::EntryName;
    ///
    /// let query = Message::Route(mangogw_cluster::route::Message::QueryLoads(EntryName::from("gate-scan")));
    /// assert_eq!(Message::decode(&query.encode()), Some(query));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        // Encoding fails only for a sequence or map of unknown length or a failing writer; neither occurs here.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
