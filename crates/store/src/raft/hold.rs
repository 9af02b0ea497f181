//! What waits until a write is synced.

use super::Raft;
use crate::{Body, Index, Message, Output, Role, Snapshot, Term, WriteId};
use mangogw_model::HostId;
use std::collections::VecDeque;

/// Something that must not happen before a write is synced.
#[derive(Debug)]
pub(super) enum Held {
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
pub(super) struct Hold {
    issued: WriteId,
    synced: WriteId,
    queue: VecDeque<(WriteId, Held)>,
    /// Writes that are not synced, with their bytes.
    open: VecDeque<(WriteId, usize)>,
    open_bytes: usize,
}

impl Hold {
    /// The id of the next write, which takes `bytes`.
    pub(super) fn issue(&mut self, bytes: usize) -> WriteId {
        self.issued = self.issued.next();
        self.open.push_back((self.issued, bytes));
        self.open_bytes += bytes;
        self.issued
    }

    /// Bytes that wait for the disk.
    pub(super) fn open_bytes(&self) -> usize {
        self.open_bytes
    }

    /// What waited for the writes up to `id`, in order.
    pub(super) fn release(&mut self, id: WriteId) -> Vec<Held> {
        self.synced = self.synced.max(id);
        let synced = self.synced;
        while let Some((_, bytes)) = self.open.pop_front_if(|(id, _)| *id <= synced) {
            self.open_bytes -= bytes;
        }
        let count = self.queue.iter().take_while(|(need, _)| *need <= synced).count();
        self.queue.drain(..count).map(|(_, held)| held).collect()
    }
}

impl Raft {
    /// Does `held` once everything written so far is synced.
    pub(super) fn after_sync(&mut self, held: Held) {
        let open = !self.ops.is_empty() || self.state_dirty;
        let need = if open { self.hold.issued.next() } else { self.hold.issued };
        match held {
            held if need <= self.hold.synced => self.on_held(held),
            held => self.hold.queue.push_back((need, held)),
        }
    }

    /// Sends `body` once everything written so far is synced.
    pub(super) fn send_synced(&mut self, to: HostId, body: Body) {
        let message = Message { group: self.group, folder_id: self.folder_id, term: self.term, body };
        self.after_sync(Held::Send(to, message));
    }

    pub(super) fn on_held(&mut self, held: Held) {
        match held {
            Held::Send(to, message) => self.outputs.push(Output::Send { to, message }),
            Held::OwnVote(term) if term == self.term && self.role == Role::Candidate => self.count_vote(self.host),
            Held::OwnLog(term, index) if term == self.term && self.role == Role::Leader => {
                self.own = self.own.max(index);
                self.advance_commit();
            }
            Held::Restore(snapshot) => self.on_installed(snapshot),
            Held::OwnVote(_) | Held::OwnLog(..) => {}
        }
    }
}
