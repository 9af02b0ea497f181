//! Snapshots: taken from the applied state of this host, or received from the leader in chunks.

use super::Raft;
use super::sync_queue::DeferredAction;
use crate::progress::ProgressState;
use crate::{Body, Index, LogEntry, LogId, Members, Op, Output, Snapshot, SnapshotMeta};
use bytes::Bytes;
use mangogw_model::{HostId, Time};

/// A snapshot from the leader of which some chunks have arrived.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
    /// True once the snapshot is complete and is being written.
    writing: bool,
}

impl Raft {
    /// Stores `data`, the applied state as of `index`, as a snapshot, so that the log up to `index` can be dropped.
    /// Ignored if there is a snapshot as new or if `index` is not applied yet.
    pub fn compact(&mut self, now: Time, index: Index, data: Bytes) {
        self.advance(now);
        self.compacting = false;
        let usable = index > self.snapshot_index() && index <= self.applied;
        let Some(term) = self.log.term(index).filter(|_| usable) else { return };
        let snapshot = Snapshot::new(LogId { term, index }, self.members_at(index), data);
        self.ops.push(Op::Compact(snapshot.clone()));
        self.snapshot = Some(snapshot);
        self.applied_bytes = self.log.range(index.next(), self.applied).map(LogEntry::size).sum();
        let tail = self.log.tail_base(index, self.settings.tail_entries, self.settings.log_bytes);
        self.trim_log(tail);
    }

    fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(Index(0), |snapshot| snapshot.meta.id.index)
    }

    fn members_at(&self, index: Index) -> Members {
        let found = self.membership_history.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, members)| members.clone()).unwrap_or_default()
    }

    fn trim_log(&mut self, index: Index) {
        self.log.trim(index);
        let base = self.log.base().index;
        let keep = self.membership_history.iter().rposition(|(at, _)| *at <= base).unwrap_or(0);
        self.membership_history.drain(..keep);
    }

    /// Asks the caller for a snapshot once the bytes applied since the last one reach `log_bytes`.
    pub(super) fn request_compaction(&mut self) {
        if self.applied_bytes >= self.settings.log_bytes && !self.compacting {
            self.compacting = true;
            self.outputs.push(Output::Compact { index: self.applied });
        }
    }

    /// Starts to send the snapshot to a member that needs entries which this log no longer holds.
    pub(super) fn start_snapshot(&mut self, peer: HostId) {
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&peer) else { return };
        match (&progress.state, &self.snapshot) {
            (ProgressState::Snapshot { .. }, _) => {}
            (_, Some(snapshot)) if progress.alive(now) => {
                progress.state = ProgressState::Snapshot { snapshot: snapshot.clone(), offset: 0 };
                progress.inflight.clear();
                self.send_chunk(peer);
            }
            _ => {}
        }
    }

    pub(super) fn send_chunk(&mut self, peer: HostId) {
        let now = self.now;
        let size = self.settings.chunk_bytes as u64;
        let Some(progress) = self.progress.get_mut(&peer) else { return };
        let ProgressState::Snapshot { snapshot, offset } = &progress.state else { return };
        let end = (offset + size).min(snapshot.meta.bytes);
        let data = snapshot.data.slice(*offset as usize..end as usize);
        let body = Body::Chunk { meta: snapshot.meta.clone(), offset: *offset, data };
        progress.last_activity = now;
        self.send(peer, body);
    }

    pub(super) fn on_chunk(&mut self, from: HostId, meta: SnapshotMeta, offset: u64, data: &Bytes) {
        let id = meta.id;
        // The log already agrees with the leader up to the end of the snapshot.
        if id.index <= self.commit || self.log.term(id.index) == Some(id.term) {
            self.commit_to(id.index);
            return self.send_synced(from, Body::Matched { index: id.index });
        }
        let same = self.incoming_snapshot.as_ref().is_some_and(|incoming| incoming.meta == meta);
        let mut incoming = match self.incoming_snapshot.take() {
            Some(incoming) if same => incoming,
            _ => IncomingSnapshot { meta, data: Vec::new(), writing: false },
        };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        let received = incoming.data.len() as u64;
        if received == incoming.meta.bytes && !incoming.writing {
            return self.install(from, incoming);
        }
        self.incoming_snapshot = Some(incoming);
        self.send(from, Body::ChunkAnswer { id, offset: received });
    }

    fn install(&mut self, from: HostId, mut incoming: IncomingSnapshot) {
        let snapshot = Snapshot { meta: incoming.meta.clone(), data: std::mem::take(&mut incoming.data).into() };
        if !snapshot.is_intact() {
            log::error!(from = from.0; "store: checksum mismatch in a received snapshot; requesting it again");
            return self.send(from, Body::ChunkAnswer { id: snapshot.meta.id, offset: 0 });
        }
        let id = snapshot.meta.id;
        self.log.reset(id);
        self.membership_history = vec![(id.index, snapshot.meta.members.clone())];
        self.commit = id.index;
        self.ops.push(Op::Install(snapshot.clone()));
        self.snapshot = Some(snapshot.clone());
        self.after_sync(DeferredAction::Restore(snapshot));
        self.send_synced(from, Body::Matched { index: id.index });
    }

    /// Replaces the applied state by the leader's snapshot, which is now synced, unless the state is as new.
    pub(super) fn on_installed(&mut self, snapshot: Snapshot) {
        if snapshot.meta.id.index > self.applied {
            self.applied = snapshot.meta.id.index;
            self.applied_bytes = 0;
            self.outputs.push(Output::Restore(snapshot));
        }
        self.apply();
    }

    pub(super) fn on_chunk_answer(&mut self, from: HostId, id: LogId, received: u64) {
        let Some(progress) = self.record_contact(from) else { return };
        match &mut progress.state {
            ProgressState::Snapshot { snapshot, offset }
                if snapshot.meta.id == id && received <= snapshot.meta.bytes =>
            {
                // An unchanged offset answers a chunk that arrived twice; sending the next chunk again would repeat it.
                let changed = *offset != received;
                *offset = received;
                if changed {
                    self.send_chunk(from);
                }
            }
            _ => {}
        }
    }
}
