//! A member that leads an island, and a leader that overrules one.

use super::Member;
use crate::isolated_zone::token_of;
use mangogw_jobs::{Board, TargetReport};
use mangogw_model::{Time, Zone};
use mangogw_store::Role;

impl Member {
    /// The token of the island that this member leads.
    pub(crate) fn isolated_token(&self) -> Option<u64> {
        self.board.as_ref().filter(|_| self.isolated).map(Board::token)
    }

    /// True if a target has seen a later token than that of the board.
    pub(crate) fn is_fenced(&self) -> bool {
        self.board.as_ref().is_some_and(Board::is_fenced)
    }

    /// Leads an island of this member's zone.
    pub(crate) fn open_isolated(&mut self, now: Time, token: u64) {
        let zone = &self.settings.zone;
        log::info!(zone:%, token, version = self.ledger.queue_version().0; "member: an island is open");
        self.board = Some(Board::open_isolated(self.settings.jobs.clone(), token, &self.ledger, zone, now));
        self.isolated = true;
    }

    /// Leads the island no more. What runs there is taken over by the next leader, or its leases end. Hosts hear of it
    /// with the answer to their next greeting; they don't take their calls back, since these may have begun.
    pub(crate) fn close_isolated(&mut self) {
        log::info!(calls = self.by_call_id.len(); "member: the island is closed");
        self.close_board();
    }

    /// Takes what a target says of itself on an island. The group hears it from the target itself, later.
    pub(crate) fn on_isolated_report(&mut self, now: Time, report: &TargetReport) {
        if let Some(board) = self.board.as_mut().filter(|board| self.isolated && board.has_target(report)) {
            board.on_report(now, report);
        }
    }

    /// A host says which island it has used. False if it must not be served now: what runs on the island is not known
    /// to this leader, which gives up its term if it can't overrule the token of the island in it.
    pub(crate) fn supersede_isolated(&mut self, now: Time, zone: &Zone, isolated_token: u64) -> bool {
        if isolated_token == 0 || self.raft.role() != Role::Leader {
            return true;
        }
        if isolated_token > token_of(self.raft.term().0) {
            log::warn!(zone:%, island = isolated_token; "member: an island has a later token; giving up the lead");
            self.step_down(now);
            return false;
        }
        if self.superseded.insert(zone.clone(), isolated_token) != Some(isolated_token) {
            log::info!(zone:%, island = isolated_token; "member: overruling an island");
            self.reclaim_zone(now, zone);
        }
        true
    }

    fn reclaim_zone(&mut self, now: Time, zone: &Zone) {
        // A board that opens later does so for every island that is known by then.
        if let Some(board) = &mut self.board {
            board.reclaim_zone(now, zone);
        }
    }

    /// Takes over again what islands had before the board was open.
    pub(super) fn reclaim_zones(&mut self, now: Time) {
        for zone in self.superseded.keys().cloned().collect::<Vec<_>>() {
            self.reclaim_zone(now, &zone);
        }
    }
}
