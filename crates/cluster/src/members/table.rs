//! Table of known hosts, and the queue of records to pass on as gossip.

use super::{Host, MemberRecord, Status};
use crate::hash;
use indexmap::IndexMap;
use mangogw_model::{HostId, Time, Zone};

/// Maximum number of records in the gossip of one message.
pub const MAX_GOSSIP_RECORDS: usize = 6;

/// State of another host as seen by this one.
#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    /// The record that supersedes all others so far.
    pub record: MemberRecord,
    /// Time of the last contact with this incarnation.
    pub last_contact: Option<Time>,
    /// Time at which the record got its status.
    pub status_since: Time,
    /// Time until which the host counts as unreachable: pings on the open and on a new connection were not answered.
    pub unreachable_until: Time,
}

/// Result of merging a record.
#[derive(Debug)]
pub(crate) enum MergeResult {
    /// The known record is the same or newer.
    Stale,
    /// The host was not known.
    New,
    /// The record replaced this one.
    Replaced(MemberRecord),
}

/// All hosts, this one included.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    peers: IndexMap<HostId, PeerState>,
    gossip_queue: IndexMap<HostId, u32>,
}

impl MemberTable {
    pub(crate) fn get(&self, id: HostId) -> Option<&PeerState> {
        self.peers.get(&id)
    }

    /// Returns the state of a host, to change the parts that only this host knows.
    pub(crate) fn get_mut(&mut self, id: HostId) -> Option<&mut PeerState> {
        self.peers.get_mut(&id)
    }

    /// Returns all hosts, in the order in which they became known.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Stores `record` and queues it as gossip if it supersedes the known one.
    pub(crate) fn merge(&mut self, now: Time, record: &MemberRecord) -> MergeResult {
        let id = record.host.id;
        let merge = match self.peers.get_mut(&id) {
            None => {
                self.peers.insert(
                    id,
                    PeerState {
                        record: record.clone(),
                        last_contact: None,
                        status_since: now,
                        unreachable_until: Time::ZERO,
                    },
                );
                MergeResult::New
            }
            Some(peer) if record.supersedes(&peer.record) => {
                let restarted = record.host.incarnation > peer.record.host.incarnation;
                peer.last_contact = peer.last_contact.filter(|_| !restarted);
                peer.unreachable_until = if restarted { Time::ZERO } else { peer.unreachable_until };
                peer.status_since = now;
                MergeResult::Replaced(std::mem::replace(&mut peer.record, record.clone()))
            }
            Some(_) => return MergeResult::Stale,
        };
        self.queue_gossip(id);
        merge
    }

    /// Queues the record of `id` as gossip for the next messages.
    pub(crate) fn queue_gossip(&mut self, id: HostId) {
        let copies = 3 + self.peers.len().max(1).ilog2();
        self.gossip_queue.insert(id, copies);
    }

    /// Returns the gossip for the next message, least spread records first.
    pub(crate) fn next_gossip(&mut self) -> Vec<MemberRecord> {
        let mut due: Vec<(u32, HostId)> = self.gossip_queue.iter().map(|(&id, &left)| (left, id)).collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        due.truncate(MAX_GOSSIP_RECORDS);
        for &(left, id) in &due {
            match left {
                1 => _ = self.gossip_queue.swap_remove(&id),
                _ => _ = self.gossip_queue.insert(id, left - 1),
            }
        }
        due.iter().filter_map(|(_, id)| self.peers.get(id)).map(|peer| peer.record.clone()).collect()
    }

    /// Removes hosts that died or left before `limit`.
    pub(crate) fn remove_ended(&mut self, limit: Time) {
        self.peers.retain(|_, peer| peer.record.is_member() || peer.status_since > limit);
    }

    /// Returns the digest of the members of all zones or of one.
    pub(crate) fn digest(&self, zone: Option<&Zone>) -> u64 {
        self.peers
            .values()
            .filter(|peer| peer.record.is_member() && zone.is_none_or(|zone| peer.record.host.zone == *zone))
            .map(|peer| fingerprint(&peer.record))
            .fold(0, u64::wrapping_add)
    }

    /// Returns the digest of each zone that has records.
    pub(crate) fn digests(&self) -> Vec<(Zone, u64)> {
        let mut zones: Vec<Zone> = self.peers.values().map(|peer| peer.record.host.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().map(|zone| (zone.clone(), self.digest(Some(&zone)))).collect()
    }

    /// Returns the members of `zone`, in a fixed order.
    pub(crate) fn members<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = &'a Host> {
        self.peers
            .values()
            .filter(move |peer| peer.record.is_member() && peer.record.host.zone == *zone)
            .map(|peer| &peer.record.host)
    }

    pub(crate) fn with_status(&self, status: Status) -> Vec<HostId> {
        self.peers.values().filter(|peer| peer.record.status == status).map(|peer| peer.record.host.id).collect()
    }
}

/// Returns the part of one member in a digest.
fn fingerprint(record: &MemberRecord) -> u64 {
    let incarnation = hash::mix(record.host.id.0 ^ hash::mix(record.host.incarnation.0));
    hash::mix(incarnation ^ u64::from(record.refutations))
}
