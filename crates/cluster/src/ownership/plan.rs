//! Which changes the leader of the control group should propose.

use super::range::score;
use super::{Command, Holder, KeyRange, Ownership, Peer, RangeId};
use mangogw_model::Zone;

/// Ranges of hashed keys in a new table.
const HASHED_RANGES: u32 = 32;
/// Ranges of each zone in a new table.
const PINNED_RANGES: u32 = 8;
/// Holders of a range, where there are hosts enough.
const REPLICAS: usize = 2;
/// Ranges moved at once only to even out the load.
const MAX_MOVES: usize = 4;

impl Ownership {
    /// The commands that bring the table in line with the live hosts.
    ///
    /// The leader of the control group calls it now and then and proposes what it returns. A command that is
    /// proposed twice, or by two leaders, takes effect once. A wrong view of who is alive costs time, never safety.
    pub fn plan(&self, peers: &[Peer]) -> Vec<Command> {
        if self.hashed_ranges == 0 {
            return self.initial_commands(peers);
        }
        let zones = self.new_zones(peers).into_iter().map(|zone| Command::AddZone { zone });
        let repairs = self.ranges().filter_map(|(id, range)| self.repair(id, range, peers));
        let commands: Vec<Command> = zones.chain(repairs).collect();
        let calm = commands.is_empty() && self.ranges.iter().all(|range| range.ready);
        if calm { self.balance(peers) } else { commands }
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

    /// Replaces holders that are gone, and adds those that are missing.
    fn repair(&self, id: RangeId, range: &KeyRange, peers: &[Peer]) -> Option<Command> {
        let fit = self.candidates(id, peers);
        let alive = |holder: &Holder| fit.iter().any(|peer| peer.holder == *holder);
        let whole = range.holders.len() >= REPLICAS.min(fit.len()) && range.holders.iter().all(alive);
        if fit.is_empty() || (whole && !range.holders.is_empty()) {
            return None;
        }
        let holding = if range.ready { &range.holders } else { &range.prior_holders };
        let owner = holding.iter().copied().find(alive).unwrap_or(fit[0].holder);
        Some(Command::Assign { range: id, epoch: range.epoch, holders: self.choose_holders(id, owner, &fit) })
    }

    /// Moves some ranges to the hosts that rank first for them.
    fn balance(&self, peers: &[Peer]) -> Vec<Command> {
        let moves = self.ranges().filter_map(|(id, range)| {
            let fit = self.candidates(id, peers);
            let holders = self.choose_holders(id, fit.first()?.holder, &fit);
            (holders != range.holders).then_some(Command::Assign { range: id, epoch: range.epoch, holders })
        });
        moves.take(MAX_MOVES).collect()
    }

    /// The hosts that may hold the range, best first. Pinned ranges never leave their zone.
    fn candidates<'a>(&self, id: RangeId, peers: &'a [Peer]) -> Vec<&'a Peer> {
        let zone = self.zone(id);
        let mut fit: Vec<&Peer> =
            peers.iter().filter(|peer| !peer.leaving && zone.is_none_or(|zone| *zone == peer.zone)).collect();
        fit.sort_by_key(|peer| std::cmp::Reverse((score(id, peer.holder.host), peer.holder)));
        fit
    }

    /// `owner`, then its followers: in another zone first, where the range may leave the zone.
    fn choose_holders(&self, id: RangeId, owner: Holder, fit: &[&Peer]) -> Vec<Holder> {
        let home = fit.iter().find(|peer| peer.holder == owner).map(|peer| &peer.zone);
        let mut rest: Vec<&&Peer> = fit.iter().filter(|peer| peer.holder != owner).collect();
        if self.zone(id).is_none() {
            rest.sort_by_key(|peer| Some(&peer.zone) == home);
        }
        let followers = rest.into_iter().map(|peer| peer.holder).take(REPLICAS - 1);
        std::iter::once(owner).chain(followers).collect()
    }
}
