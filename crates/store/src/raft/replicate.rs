//! Replication of the leader's entries to the other members, with retries and heartbeats.

use super::sync_queue::DeferredAction;
use super::{Raft, members_of};
use crate::progress::{Progress, ProgressState};
use crate::{Body, Index, LogEntry, LogId, Op, Payload, Role, Tag};
use mangogw_model::HostId;

impl Raft {
    /// Appends an entry as the leader. The entry is sent and written at the next drain.
    pub(super) fn append_as_leader(&mut self, payload: Payload, tag: Option<Tag>) {
        let id = LogId { term: self.term, index: self.last_id().index.next() };
        let entry = LogEntry { id, payload };
        self.tags.extend(tag.map(|tag| (id.index, tag)));
        self.pending.push_back((id.index, entry.size()));
        self.pending_bytes += entry.size();
        self.append(vec![entry]);
        self.after_sync(DeferredAction::OwnLog(self.term, id.index));
    }

    fn append(&mut self, entries: Vec<LogEntry>) {
        for entry in &entries {
            self.membership_history.extend(members_of(entry));
            self.log.push(entry.clone());
        }
        self.write_entries(entries);
    }

    fn write_entries(&mut self, entries: Vec<LogEntry>) {
        match self.ops.last_mut() {
            _ if entries.is_empty() => {}
            Some(Op::Append(batch)) => batch.extend(entries),
            _ => self.ops.push(Op::Append(entries)),
        }
    }

    /// Sends each member the entries and the commit index that it lacks.
    pub(super) fn flush(&mut self) {
        for peer in self.peers() {
            self.flush_peer(peer);
        }
    }

    fn flush_peer(&mut self, peer: HostId) {
        let (last, base) = (self.last_id().index, self.log.base().index);
        let Some(progress) = self.progress.get_mut(&peer) else { return };
        if progress.next <= base {
            return self.start_snapshot(peer);
        }
        let max_inflight = self.settings.max_inflight;
        let mut sent = false;
        match &mut progress.state {
            ProgressState::Probe { waiting } if !*waiting => {
                *waiting = true;
                self.send_append(peer);
                sent = true;
            }
            ProgressState::Replicate => {
                while self.progress[&peer].next <= last && self.progress[&peer].inflight.len() < max_inflight {
                    self.send_append(peer);
                    sent = true;
                }
            }
            _ => return,
        }
        if !sent {
            self.send_commit(peer);
        }
    }

    /// Sends a member the commit index, as far as its log agrees, if it rose since the last message.
    fn send_commit(&mut self, peer: HostId) {
        let Some(progress) = self.progress.get_mut(&peer) else { return };
        let commit = progress.matched.min(self.commit);
        if commit > progress.sent_commit {
            progress.sent_commit = commit;
            self.send(peer, Body::Commit { commit });
        }
    }

    /// Sends one message with the next entries.
    fn send_append(&mut self, peer: HostId) {
        let Some(progress) = self.progress.get_mut(&peer) else { return };
        let index = progress.next.prev();
        let Some(term) = self.log.term(index) else { return };
        let prev = LogId { term, index };
        let entries = self.log.batch(progress.next, self.settings.message_bytes);
        if let Some(entry) = entries.last() {
            progress.next =
                if matches!(progress.state, ProgressState::Replicate) { entry.id.index.next() } else { progress.next };
            progress.inflight.push_back(entry.id.index);
        }
        progress.sent_commit = self.commit;
        progress.last_activity = self.now;
        self.send(peer, Body::Append { prev, commit: self.commit, entries });
    }

    pub(super) fn on_append(&mut self, from: HostId, prev: LogId, commit: Index, entries: Vec<LogEntry>) {
        // Dropped without an answer; the leader sends the entries again after its retry timeout.
        if self.disk_is_behind() {
            return;
        }
        let Some(merge) = self.log.merge(prev, entries) else {
            let hint = self.log.find_conflict(prev.index.prev(), prev.term);
            return self.send(from, Body::Rejected { prev: prev.index, hint });
        };
        if let Some(index) = merge.dropped {
            if index <= self.commit {
                return self.fail("a leader tried to overwrite committed entries");
            }
            self.membership_history.retain(|(at, _)| *at < index);
            self.ops.push(Op::Truncate(index));
        }
        self.membership_history.extend(merge.added.iter().filter_map(members_of));
        self.write_entries(merge.added);
        self.send_synced(from, Body::Matched { index: merge.matched });
        self.commit_to(commit.min(merge.matched));
    }

    pub(super) fn on_matched(&mut self, from: HostId, index: Index) {
        let now = self.now;
        if self.role == Role::Leader && index > self.last_id().index {
            return self.fail("a member acknowledged an entry beyond the end of the leader's log");
        }
        let Some(progress) = self.record_contact(from) else { return };
        let advanced = progress.advance(index, now);
        match progress.state {
            ProgressState::Probe { .. } => {
                progress.probe(index.next());
                progress.state = ProgressState::Replicate;
            }
            ProgressState::Snapshot { ref snapshot, .. } if index >= snapshot.meta.id.index => {
                progress.state = ProgressState::Replicate;
            }
            _ => {}
        }
        if advanced {
            self.advance_commit();
            self.try_transfer();
        }
    }

    pub(super) fn on_rejected(&mut self, from: HostId, prev: Index, hint: LogId) {
        let next = self.log.find_conflict(hint.index, hint.term).index.next();
        let Some(progress) = self.record_contact(from) else { return };
        match progress.state {
            // Out of date: the member has since acknowledged `prev`.
            _ if prev <= progress.matched => {}
            ProgressState::Probe { .. } if prev != progress.next.prev() => {}
            ProgressState::Probe { .. } | ProgressState::Replicate => progress.probe(next),
            ProgressState::Snapshot { .. } => {}
        }
    }

    /// Records a message from a member in this term and returns the member's progress; `None` unless this host leads.
    pub(super) fn record_contact(&mut self, from: HostId) -> Option<&mut Progress> {
        let now = self.now;
        let progress = self.progress.get_mut(&from)?;
        progress.last_contact = now;
        Some(progress)
    }

    pub(super) fn tick_leader(&mut self) {
        self.check_quorum();
        if self.role != Role::Leader {
            return;
        }
        self.tick_transfer();
        self.retry();
        if self.now >= self.heartbeat_due {
            self.send_voter_heartbeats();
        }
        if self.now >= self.learner_due {
            self.learner_due = self.now + self.settings.learner_heartbeat;
            let learners = self.members().learners.keys().copied().collect();
            self.send_heartbeats(learners);
        }
    }

    /// Resends what was not answered within the retry timeout, but only to members that answer heartbeats.
    fn retry(&mut self) {
        let (now, timeout) = (self.now, self.settings.retry_timeout);
        let mut chunks = Vec::new();
        let due = |progress: &Progress| now - progress.last_activity >= timeout && progress.alive(now);
        for (peer, progress) in self.progress.iter_mut().filter(|(_, progress)| due(progress)) {
            match progress.state {
                ProgressState::Probe { ref mut waiting } => *waiting = false,
                ProgressState::Replicate if !progress.inflight.is_empty() => progress.probe(progress.matched.next()),
                ProgressState::Replicate => {}
                ProgressState::Snapshot { .. } => chunks.push(*peer),
            }
        }
        for peer in chunks {
            self.send_chunk(peer);
        }
    }

    /// Sends a heartbeat to every other voter; the answers confirm the newest round of reads.
    pub(super) fn send_voter_heartbeats(&mut self) {
        self.heartbeat_due = self.now + self.settings.heartbeat_interval;
        self.send_heartbeats(self.voting_peers());
    }

    fn send_heartbeats(&mut self, peers: Vec<HostId>) {
        let round = self.reads.round();
        for peer in peers {
            let Some(progress) = self.progress.get(&peer) else { continue };
            let commit = progress.matched.min(self.commit);
            self.send(peer, Body::Heartbeat { commit, round });
        }
    }

    pub(super) fn on_heartbeat(&mut self, from: HostId, commit: Index, round: u64) {
        self.commit_to(commit);
        self.send(from, Body::HeartbeatAnswer { round });
    }

    pub(super) fn on_heartbeat_answer(&mut self, from: HostId, round: u64) {
        let Some(progress) = self.record_contact(from) else { return };
        progress.confirmed_round = progress.confirmed_round.max(round);
        self.complete_reads();
    }
}
