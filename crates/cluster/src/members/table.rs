//! The table of hosts, and the claims that still have to be passed on.

use super::{Host, MemberRecord, Status};
use crate::hash;
use indexmap::IndexMap;
use mangogw_model::{HostId, Time, Zone};

/// Claims on one message.
pub const MAX_GOSSIP_RECORDS: usize = 6;

/// One host as this host sees it.
#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    /// The claim that won so far.
    pub record: MemberRecord,
    /// When anything was last heard from this life of it.
    pub last_contact: Option<Time>,
    /// Since when the record has its status.
    pub status_since: Time,
    /// Until when no message is expected to arrive there: pings on the open and on a fresh connection went unanswered.
    pub unreachable_until: Time,
}

/// What became of a claim.
#[derive(Debug)]
pub(crate) enum MergeResult {
    /// A better one was known.
    Stale,
    /// The host was not known.
    New,
    /// It replaced this one.
    Replaced(MemberRecord),
}

/// All hosts, this one included.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    peers: IndexMap<HostId, PeerState>,
    gossip_queue: IndexMap<HostId, u32>,
}

impl MemberTable {
    /// The host `id`.
    pub(crate) fn get(&self, id: HostId) -> Option<&PeerState> {
        self.peers.get(&id)
    }

    /// The host `id`, to change what this host alone knows of it.
    pub(crate) fn get_mut(&mut self, id: HostId) -> Option<&mut PeerState> {
        self.peers.get_mut(&id)
    }

    /// All hosts, in the order in which they were met.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Takes `record` in if it beats what is known.
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
                let reborn = record.host.incarnation > peer.record.host.incarnation;
                peer.last_contact = peer.last_contact.filter(|_| !reborn);
                peer.unreachable_until = if reborn { Time::ZERO } else { peer.unreachable_until };
                peer.status_since = now;
                MergeResult::Replaced(std::mem::replace(&mut peer.record, record.clone()))
            }
            Some(_) => return MergeResult::Stale,
        };
        self.queue_gossip(id);
        merge
    }

    /// Passes the claim about `id` on with the next messages.
    pub(crate) fn queue_gossip(&mut self, id: HostId) {
        let copies = 3 + self.peers.len().max(1).ilog2();
        self.gossip_queue.insert(id, copies);
    }

    /// The claims that ride on the next message, least spread first.
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

    /// Forgets hosts that ended before `limit`.
    pub(crate) fn remove_ended(&mut self, limit: Time) {
        self.peers.retain(|_, peer| peer.record.is_member() || peer.status_since > limit);
    }

    /// The digest of the members, in all zones or one.
    pub(crate) fn digest(&self, zone: Option<&Zone>) -> u64 {
        self.peers
            .values()
            .filter(|peer| peer.record.is_member() && zone.is_none_or(|zone| peer.record.host.zone == *zone))
            .map(|peer| fingerprint(&peer.record))
            .fold(0, u64::wrapping_add)
    }

    /// The digest of each zone that has records.
    pub(crate) fn digests(&self) -> Vec<(Zone, u64)> {
        let mut zones: Vec<Zone> = self.peers.values().map(|peer| peer.record.host.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().map(|zone| (zone.clone(), self.digest(Some(&zone)))).collect()
    }

    /// The members of `zone`, in a fixed order.
    pub(crate) fn members<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = &'a Host> {
        self.peers
            .values()
            .filter(move |peer| peer.record.is_member() && peer.record.host.zone == *zone)
            .map(|peer| &peer.record.host)
    }

    /// Hosts with status `status`.
    pub(crate) fn with_status(&self, status: Status) -> Vec<HostId> {
        self.peers.values().filter(|peer| peer.record.status == status).map(|peer| peer.record.host.id).collect()
    }
}

/// The part of a digest that stands for one member.
fn fingerprint(record: &MemberRecord) -> u64 {
    let incarnation = hash::mix(record.host.id.0 ^ hash::mix(record.host.incarnation.0));
    hash::mix(incarnation ^ u64::from(record.refutations))
}
