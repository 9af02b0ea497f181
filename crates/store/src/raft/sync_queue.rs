//! What waits until a write is synced.

use super::Raft;
use crate::{Body, Index, Message, Output, Role, Snapshot, Term, WriteId};
use mangogw_model::HostId;
use std::collections::VecDeque;

/// Something that must not happen before a write is synced.
#[derive(Debug)]
pub(super) enum DeferredAction {
    /// A vote, an acknowledgement or a campaign.
    Send(HostId, Message),
    /// This host's vote for itself.
    OwnVote(Term),
    /// The leader's own log up to an entry.
    OwnLog(Term, Index),
    /// A leader's snapshot that replaces the applied state.
    Restore(Snapshot),
}

/// Writes in flight, and what waits for them.
#[derive(Debug, Default)]
pub(super) struct SyncQueue {
    issued: WriteId,
    synced: WriteId,
    queue: VecDeque<(WriteId, DeferredAction)>,
    /// Writes that are not synced, with their bytes.
    unsynced: VecDeque<(WriteId, usize)>,
    unsynced_bytes: usize,
}

impl SyncQueue {
    /// The id of the next write, which takes `bytes`.
    pub(super) fn issue(&mut self, bytes: usize) -> WriteId {
        self.issued = self.issued.next();
        self.unsynced.push_back((self.issued, bytes));
        self.unsynced_bytes += bytes;
        self.issued
    }

    /// Bytes that wait for the disk.
    pub(super) fn unsynced_bytes(&self) -> usize {
        self.unsynced_bytes
    }

    /// What waited for the writes up to `id`, in order.
    pub(super) fn release(&mut self, id: WriteId) -> Vec<DeferredAction> {
        self.synced = self.synced.max(id);
        let synced = self.synced;
        while let Some((_, bytes)) = self.unsynced.pop_front_if(|(id, _)| *id <= synced) {
            self.unsynced_bytes -= bytes;
        }
        let count = self.queue.iter().take_while(|(need, _)| *need <= synced).count();
        self.queue.drain(..count).map(|(_, action)| action).collect()
    }
}

impl Raft {
    /// Does `action` once everything written so far is synced.
    pub(super) fn after_sync(&mut self, action: DeferredAction) {
        let open = !self.ops.is_empty() || self.state_dirty;
        let need = if open { self.sync_queue.issued.next() } else { self.sync_queue.issued };
        match action {
            action if need <= self.sync_queue.synced => self.run_deferred(action),
            action => self.sync_queue.queue.push_back((need, action)),
        }
    }

    /// Sends `body` once everything written so far is synced.
    pub(super) fn send_synced(&mut self, to: HostId, body: Body) {
        let message = Message { group: self.group, folder_id: self.folder_id, term: self.term, body };
        self.after_sync(DeferredAction::Send(to, message));
    }

    pub(super) fn run_deferred(&mut self, action: DeferredAction) {
        match action {
            DeferredAction::Send(to, message) => self.outputs.push(Output::Send { to, message }),
            DeferredAction::OwnVote(term) if term == self.term && self.role == Role::Candidate => {
                self.count_vote(self.host);
            }
            DeferredAction::OwnLog(term, index) if term == self.term && self.role == Role::Leader => {
                self.synced_index = self.synced_index.max(index);
                self.advance_commit();
            }
            DeferredAction::Restore(snapshot) => self.on_installed(snapshot),
            DeferredAction::OwnVote(_) | DeferredAction::OwnLog(..) => {}
        }
    }
}
