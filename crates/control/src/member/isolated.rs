//! A member that leads an isolated zone, and a leader of the group that supersedes one.

use super::Member;
use crate::isolated_zone::token_of;
use mangogw_jobs::{Board, TargetReport};
use mangogw_model::{Time, Zone};
use mangogw_store::Role;

impl Member {
    /// Returns the fencing token of the isolated zone that this member leads, if it does.
    pub(crate) fn isolated_token(&self) -> Option<u64> {
        self.board.as_ref().filter(|_| self.isolated).map(Board::token)
    }

    /// Returns true if a target has accepted a later fencing token than the board's.
    pub(crate) fn is_fenced(&self) -> bool {
        self.board.as_ref().is_some_and(Board::is_fenced)
    }

    /// Starts to lead this member's zone as an isolated zone.
    pub(crate) fn open_isolated(&mut self, now: Time, token: u64) {
        let zone = &self.settings.zone;
        log::info!(
            zone:%, token, version = self.ledger.queue_version().0;
            "member: serving this zone as an isolated zone"
        );
        self.board = Some(Board::open_isolated(self.settings.jobs.clone(), token, &self.ledger, zone, now));
        self.isolated = true;
    }

    /// Stops leading the isolated zone. Its runs are taken over by the next leader or end with their leases. Hosts
    /// learn of it from the answer to their next leader query and keep their calls open, since these may have started.
    pub(crate) fn close_isolated(&mut self, now: Time) {
        log::info!(calls = self.by_call_id.len(); "member: stopped serving this zone as an isolated zone");
        self.close_board(now);
    }

    /// Passes a target's report to the board of an isolated zone. The group receives it from the target later.
    pub(crate) fn on_isolated_report(&mut self, now: Time, report: &TargetReport) {
        if let Some(board) = self.board.as_mut().filter(|board| self.isolated && board.has_target(report)) {
            board.on_report(now, report);
        }
    }

    /// Supersedes the isolated zone that a host has used. Returns false if the zone's token is above that of this term:
    /// its runs are unknown here, so the host must not be served, and this leader hands over leadership.
    pub(crate) fn supersede_isolated(&mut self, now: Time, zone: &Zone, isolated_token: u64) -> bool {
        if isolated_token == 0 || self.raft.role() != Role::Leader {
            return true;
        }
        if isolated_token > token_of(self.raft.term().0) {
            log::warn!(
                zone:%, island = isolated_token;
                "member: an isolated zone has a later token; handing over leadership"
            );
            self.end_term(now);
            return false;
        }
        if self.superseded.entry(zone.clone()).or_default().insert(isolated_token) {
            log::info!(zone:%, island = isolated_token; "member: superseding the leader of an isolated zone");
            self.reclaim_zone(now, zone);
        }
        true
    }

    fn reclaim_zone(&mut self, now: Time, zone: &Zone) {
        // A board that opens later reclaims all superseded zones at once.
        if let Some(board) = &mut self.board {
            board.reclaim_zone(now, zone);
        }
    }

    /// Reclaims the targets of all zones that were superseded before the board was open.
    pub(super) fn reclaim_zones(&mut self, now: Time) {
        for zone in self.superseded.keys().cloned().collect::<Vec<_>>() {
            self.reclaim_zone(now, &zone);
        }
    }
}
