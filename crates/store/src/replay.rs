//! Replays the records of all log segments into the hard state and the entries that they result in.

use crate::frame::Record;
use crate::{HardState, Index, LogEntry, LogId, Snapshot};

/// Hard state and entries after the records replayed so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) state: HardState,
    entries: Vec<LogEntry>,
}

/// Content of a data folder, from its log and its newest snapshot.
#[derive(Debug)]
pub(crate) struct ReplayResult {
    pub(crate) state: HardState,
    /// The entries after the snapshot.
    pub(crate) entries: Vec<LogEntry>,
    /// Base to reset the log to. Set if a crash came after a leader's snapshot was written, before the log was reset.
    pub(crate) reset: Option<LogId>,
}

impl Replay {
    /// Replays one record. The error describes why it does not follow the records before.
    pub(crate) fn push(&mut self, record: Record) -> Result<(), String> {
        match record {
            Record::State(state) => self.state = state,
            Record::Truncate(from) => {
                let keep = self.entries.partition_point(|entry| entry.id.index < from);
                self.entries.truncate(keep);
            }
            Record::Append(entries) => return self.append(entries),
            Record::Reset(_) => self.entries.clear(),
        }
        Ok(())
    }

    fn append(&mut self, entries: Vec<LogEntry>) -> Result<(), String> {
        for entry in entries {
            match self.entries.last() {
                Some(last) if last.id.index.next() != entry.id.index => {
                    return Err(format!("entry {} follows entry {}", entry.id.index, last.id.index));
                }
                _ => self.entries.push(entry),
            }
        }
        Ok(())
    }

    /// Returns the index of the last entry, or 0 without entries.
    pub(crate) fn last(&self) -> Index {
        self.entries.last().map_or(Index(0), |entry| entry.id.index)
    }

    /// Combines the replayed records with the newest snapshot. The error names the entries that are missing.
    pub(crate) fn finish(mut self, snapshot: Option<&Snapshot>) -> Result<ReplayResult, String> {
        let base = snapshot.map(|snapshot| snapshot.meta.id).unwrap_or_default();
        let first = self.entries.first().map_or(Index(0), |entry| entry.id.index);
        if self.last() > base.index && first > base.index.next() {
            return Err(format!("entries {} to {} are missing", base.index.next(), first.prev()));
        }
        let reset = !self.entries.is_empty() && (self.last() < base.index || self.replaced(base));
        if reset {
            self.entries.clear();
        }
        let keep = self.entries.partition_point(|entry| entry.id.index <= base.index);
        self.entries.drain(..keep);
        if self.state.term < base.term {
            self.state.term = base.term;
            self.state.vote = None;
        }
        self.state.commit = self.state.commit.max(base.index);
        Ok(ReplayResult { state: self.state, entries: self.entries, reset: reset.then_some(base) })
    }

    /// Returns true if the snapshot came from a leader and the log has not been reset to it yet.
    fn replaced(&self, base: LogId) -> bool {
        self.entries.iter().find(|entry| entry.id.index == base.index).is_some_and(|entry| entry.id.term != base.term)
    }
}
