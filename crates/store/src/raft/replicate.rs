//! Replication: the leader's entries to the other members.

use super::hold::Held;
use super::{Raft, members_of};
use crate::progress::{Flow, Progress};
use crate::{Body, Index, LogEntry, LogId, Op, Payload, Role, Tag};
use mangogw_model::HostId;

impl Raft {
    /// Appends an entry of this leader. It is sent and written at the next drain.
    pub(super) fn lead_entry(&mut self, payload: Payload, tag: Option<Tag>) {
        let id = LogId { term: self.term, index: self.last_id().index.next() };
        let entry = LogEntry { id, payload };
        self.tags.extend(tag.map(|tag| (id.index, tag)));
        self.pending.push_back((id.index, entry.size()));
        self.pending_bytes += entry.size();
        self.append(vec![entry]);
        self.after_sync(Held::OwnLog(self.term, id.index));
    }

    fn append(&mut self, entries: Vec<LogEntry>) {
        for entry in &entries {
            self.history.extend(members_of(entry));
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

    /// Sends every member what is new to it.
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
        match &mut progress.flow {
            Flow::Probe { waiting } if !*waiting => {
                *waiting = true;
                self.send_append(peer);
                sent = true;
            }
            Flow::Replicate => {
                while self.progress[&peer].next <= last && self.progress[&peer].inflight.len() < max_inflight {
                    self.send_append(peer);
                    sent = true;
                }
            }
            _ => return,
        }
        if !sent {
            self.tell_commit(peer);
        }
    }

    /// Tells a member how far its log is committed, if that is news.
    fn tell_commit(&mut self, peer: HostId) {
        let Some(progress) = self.progress.get_mut(&peer) else { return };
        let commit = progress.matched.min(self.commit);
        if commit > progress.commit {
            progress.commit = commit;
            self.send(peer, Body::Commit { commit });
        }
    }

    /// Sends one message of entries.
    fn send_append(&mut self, peer: HostId) {
        let Some(progress) = self.progress.get_mut(&peer) else { return };
        let before = progress.next.prev();
        let Some(term) = self.log.term(before) else { return };
        let prev = LogId { term, index: before };
        let entries = self.log.batch(progress.next, self.settings.message_bytes);
        if let Some(entry) = entries.last() {
            progress.next =
                if matches!(progress.flow, Flow::Replicate) { entry.id.index.next() } else { progress.next };
            progress.inflight.push_back(entry.id.index);
        }
        progress.commit = self.commit;
        progress.moved = self.now;
        self.send(peer, Body::Append { prev, commit: self.commit, entries });
    }

    pub(super) fn on_append(&mut self, from: HostId, prev: LogId, commit: Index, entries: Vec<LogEntry>) {
        // Not answered: the leader sends it again.
        if self.disk_is_behind() {
            return;
        }
        let Some(merge) = self.log.merge(prev, entries) else {
            let hint = self.log.probe(prev.index.prev(), prev.term);
            return self.send(from, Body::Rejected { prev: prev.index, hint });
        };
        if let Some(index) = merge.dropped {
            if index <= self.commit {
                return self.fail("a leader overwrites what is committed");
            }
            self.history.retain(|(at, _)| *at < index);
            self.ops.push(Op::Truncate(index));
        }
        self.history.extend(merge.added.iter().filter_map(members_of));
        self.write_entries(merge.added);
        self.send_synced(from, Body::Matched { index: merge.matched });
        self.commit_to(commit.min(merge.matched));
    }

    pub(super) fn on_matched(&mut self, from: HostId, index: Index) {
        let now = self.now;
        if self.role == Role::Leader && index > self.last_id().index {
            return self.fail("a member acknowledges what was never sent");
        }
        let Some(progress) = self.heard_from(from) else { return };
        let news = progress.advance(index, now);
        match progress.flow {
            Flow::Probe { .. } => {
                progress.probe(index.next());
                progress.flow = Flow::Replicate;
            }
            Flow::Snapshot { ref snapshot, .. } if index >= snapshot.meta.id.index => progress.flow = Flow::Replicate,
            _ => {}
        }
        if news {
            self.advance_commit();
            self.try_handover();
        }
    }

    pub(super) fn on_rejected(&mut self, from: HostId, prev: Index, hint: LogId) {
        let place = self.log.probe(hint.index, hint.term).index.next();
        let Some(progress) = self.heard_from(from) else { return };
        match progress.flow {
            // An answer to an earlier message: what it says is known to be out of date.
            _ if prev <= progress.matched => {}
            Flow::Probe { .. } if prev != progress.next.prev() => {}
            Flow::Probe { .. } | Flow::Replicate => progress.probe(place),
            Flow::Snapshot { .. } => {}
        }
    }

    /// The progress of a member that spoke in this term, if this host leads.
    pub(super) fn heard_from(&mut self, from: HostId) -> Option<&mut Progress> {
        let now = self.now;
        let progress = self.progress.get_mut(&from)?;
        progress.heard = now;
        Some(progress)
    }

    pub(super) fn tick_leader(&mut self) {
        self.check_quorum();
        if self.role != Role::Leader {
            return;
        }
        self.tick_handover();
        self.retry();
        if self.now >= self.beat {
            self.beat_voters();
        }
        if self.now >= self.learner_beat {
            self.learner_beat = self.now + self.settings.learner_heartbeat;
            let learners = self.members().learners.keys().copied().collect();
            self.beat(learners);
        }
    }

    /// Sends again what was not answered in time, to members that answer heartbeats.
    fn retry(&mut self) {
        let (now, wait) = (self.now, self.settings.retry_timeout);
        let mut chunks = Vec::new();
        let due = |progress: &Progress| now - progress.moved >= wait && progress.alive(now);
        for (peer, progress) in self.progress.iter_mut().filter(|(_, progress)| due(progress)) {
            match progress.flow {
                Flow::Probe { ref mut waiting } => *waiting = false,
                Flow::Replicate if !progress.inflight.is_empty() => progress.probe(progress.matched.next()),
                Flow::Replicate => {}
                Flow::Snapshot { .. } => chunks.push(*peer),
            }
        }
        for peer in chunks {
            self.send_chunk(peer);
        }
    }

    /// Sends a heartbeat to every voter; it confirms the newest round of reads.
    pub(super) fn beat_voters(&mut self) {
        self.beat = self.now + self.settings.heartbeat_interval;
        self.beat(self.voting_peers());
    }

    fn beat(&mut self, peers: Vec<HostId>) {
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
        let Some(progress) = self.heard_from(from) else { return };
        progress.round = progress.round.max(round);
        self.ready_reads();
    }
}
