//! Planner: the commands that the leader of the control group should propose.

use super::range::score;
use super::{Command, Holder, KeyRange, Ownership, Peer, RangeId};
use mangogw_model::Zone;

/// Number of ranges of hashed keys in a new table.
const HASHED_RANGES: u32 = 32;
/// Number of ranges of each zone in a new table.
const PINNED_RANGES: u32 = 8;
/// Number of holders of a range, if there are enough hosts.
const REPLICAS: usize = 2;
/// Maximum number of ranges that are moved at once only for balance.
const MAX_MOVES: usize = 4;

impl Ownership {
    /// Returns the commands that adapt the table to the live hosts.
    ///
    /// The leader of the control group calls it periodically and proposes the returned commands. A command that is
    /// proposed twice, or by two leaders, takes effect once. A wrong view of the live hosts costs time, never safety.
    pub fn plan(&self, peers: &[Peer]) -> Vec<Command> {
        if self.hashed_ranges == 0 {
            return self.initial_commands(peers);
        }
        let zones = self.new_zones(peers).into_iter().map(|zone| Command::AddZone { zone });
        let repairs = self.ranges().filter_map(|(id, range)| self.repair(id, range, peers));
        let commands: Vec<Command> = zones.chain(repairs).collect();
        let settled = commands.is_empty() && self.ranges.iter().all(|range| range.ready);
        if settled { self.balance(peers) } else { commands }
    }

    fn initial_commands(&self, peers: &[Peer]) -> Vec<Command> {
        if peers.is_empty() {
            return Vec::new();
        }
        vec![Command::Initialize {
            hashed_ranges: HASHED_RANGES,
            pinned_ranges: PINNED_RANGES,
            zones: self.new_zones(peers),
        }]
    }

    fn new_zones(&self, peers: &[Peer]) -> Vec<Zone> {
        let mut zones: Vec<Zone> = peers.iter().map(|peer| peer.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| !self.zones.contains(zone));
        zones
    }

    /// Returns a command that replaces dead holders and adds missing ones, if the range needs it.
    fn repair(&self, id: RangeId, range: &KeyRange, peers: &[Peer]) -> Option<Command> {
        let candidates = self.candidates(id, peers);
        let alive = |holder: &Holder| candidates.iter().any(|peer| peer.holder == *holder);
        let complete = range.holders.len() >= REPLICAS.min(candidates.len()) && range.holders.iter().all(alive);
        if candidates.is_empty() || (complete && !range.holders.is_empty()) {
            return None;
        }
        let current = if range.ready { &range.holders } else { &range.prior_holders };
        let owner = current.iter().copied().find(alive).unwrap_or(candidates[0].holder);
        Some(Command::Assign { range: id, epoch: range.epoch, holders: self.choose_holders(id, owner, &candidates) })
    }

    /// Returns commands that move some ranges to the hosts with the highest scores.
    fn balance(&self, peers: &[Peer]) -> Vec<Command> {
        let moves = self.ranges().filter_map(|(id, range)| {
            let candidates = self.candidates(id, peers);
            let holders = self.choose_holders(id, candidates.first()?.holder, &candidates);
            (holders != range.holders).then_some(Command::Assign { range: id, epoch: range.epoch, holders })
        });
        moves.take(MAX_MOVES).collect()
    }

    /// Returns the hosts that may hold the range, highest score first. Pinned ranges never leave their zone.
    fn candidates<'a>(&self, id: RangeId, peers: &'a [Peer]) -> Vec<&'a Peer> {
        let zone = self.zone(id);
        let mut candidates: Vec<&Peer> =
            peers.iter().filter(|peer| !peer.leaving && zone.is_none_or(|zone| *zone == peer.zone)).collect();
        candidates.sort_by_key(|peer| std::cmp::Reverse((score(id, peer.holder.host), peer.holder)));
        candidates
    }

    /// Returns `owner` and its followers. Followers in another zone come first if the range may leave the zone.
    fn choose_holders(&self, id: RangeId, owner: Holder, candidates: &[&Peer]) -> Vec<Holder> {
        let owner_zone = candidates.iter().find(|peer| peer.holder == owner).map(|peer| &peer.zone);
        let mut others: Vec<&&Peer> = candidates.iter().filter(|peer| peer.holder != owner).collect();
        if self.zone(id).is_none() {
            others.sort_by_key(|peer| Some(&peer.zone) == owner_zone);
        }
        let followers = others.into_iter().map(|peer| peer.holder).take(REPLICAS - 1);
        std::iter::once(owner).chain(followers).collect()
    }
}
