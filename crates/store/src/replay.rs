//! Puts the records of all segments together.

use crate::frame::Record;
use crate::{HardState, Index, LogEntry, LogId, Snapshot};

/// The state that the records add up to.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) state: HardState,
    entries: Vec<LogEntry>,
}

/// What a folder was found to hold.
#[derive(Debug)]
pub(crate) struct ReplayResult {
    pub(crate) state: HardState,
    /// The entries after the snapshot.
    pub(crate) entries: Vec<LogEntry>,
    /// Set if a crash came between a leader's snapshot and the reset of the log to it.
    pub(crate) reset: Option<LogId>,
}

impl Replay {
    /// Takes in one record. The error says what is wrong with it.
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

    /// The last entry.
    pub(crate) fn last(&self) -> Index {
        self.entries.last().map_or(Index(0), |entry| entry.id.index)
    }

    /// What the records and `snapshot` add up to. The error says what is missing.
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

    /// True if the snapshot was taken over from a leader and the log was not yet reset to it.
    fn replaced(&self, base: LogId) -> bool {
        self.entries.iter().find(|entry| entry.id.index == base.index).is_some_and(|entry| entry.id.term != base.term)
    }
}
