//! Actions that are deferred until a write is synced.

use super::Raft;
use crate::{Body, Index, Message, Output, Role, Snapshot, Term, WriteId};
use mangogw_model::HostId;
use std::collections::VecDeque;

/// An action that must not run before a write is synced.
#[derive(Debug)]
pub(super) enum DeferredAction {
    /// Send a vote, an acknowledgement or a vote request.
    Send(HostId, Message),
    /// Count this host's vote for itself in the term.
    OwnVote(Term),
    /// Count the log of this host, leader in the term, as synced up to the index.
    OwnLog(Term, Index),
    /// Replace the applied state by a snapshot received from the leader.
    Restore(Snapshot),
}

/// Writes that are not synced yet, and the actions that wait for them.
#[derive(Debug, Default)]
pub(super) struct SyncQueue {
    issued: WriteId,
    synced: WriteId,
    queue: VecDeque<(WriteId, DeferredAction)>,
    /// Writes that are not synced, each with its size in bytes.
    unsynced: VecDeque<(WriteId, usize)>,
    unsynced_bytes: usize,
}

impl SyncQueue {
    /// Returns the id for the next write, of `bytes` bytes.
    pub(super) fn issue(&mut self, bytes: usize) -> WriteId {
        self.issued = self.issued.next();
        self.unsynced.push_back((self.issued, bytes));
        self.unsynced_bytes += bytes;
        self.issued
    }

    /// Returns the bytes of all writes that are not synced.
    pub(super) fn unsynced_bytes(&self) -> usize {
        self.unsynced_bytes
    }

    /// Marks the writes up to `id` as synced and returns the actions that waited for them, in order.
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
    /// Runs `action` once everything written so far is synced.
    pub(super) fn after_sync(&mut self, action: DeferredAction) {
        let unwritten = !self.ops.is_empty() || self.state_dirty;
        let need = if unwritten { self.sync_queue.issued.next() } else { self.sync_queue.issued };
        match action {
            action if need <= self.sync_queue.synced => self.run_deferred(action),
            action => self.sync_queue.queue.push_back((need, action)),
        }
    }

    /// Sends `body` once everything written so far is synced.
    pub(super) fn send_synced(&mut self, to: HostId, body: Body) {
        let message = Message { group: self.group, folder_id: self.folder_id, to, term: self.term, body };
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
