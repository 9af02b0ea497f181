//! Advances the commit index and hands out committed entries.

use super::{Raft, quorum_value};
use crate::{AppliedEntry, Index, LogEntry, Output, Role, Tag};

impl Raft {
    /// Commits the entries that a quorum of voters has synced, if the last of them is of this leader's term.
    pub(super) fn advance_commit(&mut self) {
        let synced = |host| match host {
            _ if host == self.host => self.synced_index,
            _ => self.progress.get(&host).map_or(Index(0), |progress| progress.matched),
        };
        let values = self.members().voters.keys().copied().map(synced).collect();
        match quorum_value(values, self.members().quorum()) {
            Some(index) if index >= self.term_start => self.commit_to(index),
            _ => {}
        }
    }

    pub(super) fn commit_to(&mut self, index: Index) {
        let index = index.min(self.last_id().index);
        if index <= self.commit {
            return;
        }
        self.commit = index;
        while let Some((_, size)) = self.pending.pop_front_if(|(at, _)| *at <= index) {
            self.pending_bytes -= size;
        }
        self.apply();
        if self.role == Role::Leader {
            self.complete_reads();
        }
    }

    /// Outputs the committed entries that have not been output yet.
    pub(super) fn apply(&mut self) {
        // A snapshot from the leader is still being written and must be restored first.
        if self.applied < self.log.base().index {
            return;
        }
        let entries: Vec<_> = self.log.range(self.applied.next(), self.commit).cloned().collect();
        let Some(last) = entries.last() else { return };
        self.applied = last.id.index;
        self.applied_bytes += entries.iter().map(LogEntry::size).sum::<usize>();
        let entries = entries
            .into_iter()
            .map(|entry| AppliedEntry { id: entry.id, payload: entry.payload, tag: self.take_tag(entry.id.index) })
            .collect();
        self.outputs.push(Output::Apply { entries });
        self.request_compaction();
    }

    fn take_tag(&mut self, index: Index) -> Option<Tag> {
        self.tags.pop_front_if(|(at, _)| *at == index).map(|(_, tag)| tag)
    }

    /// Returns true once this leader has committed an entry of its term; from then on its commit index covers all
    /// entries that earlier leaders committed.
    pub(super) fn committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.commit >= self.term_start
    }
}
