//! Log entries, and the part of the log that is held in memory.

use crate::{Index, LogId, Members, Term};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content: the first entry that a leader appends in its term.
    Blank,
    /// A command whose bytes the log does not interpret.
    Command(Bytes),
    /// The members of the group from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term and index of the entry.
    pub id: LogId,
    /// Content of the entry.
    pub payload: Payload,
}

/// Bytes of an entry apart from its command, roughly.
const ENTRY_OVERHEAD_BYTES: usize = 32;

impl LogEntry {
    /// Returns the approximate size of the entry in bytes, in memory and on the wire.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Blank => ENTRY_OVERHEAD_BYTES,
            Payload::Command(command) => ENTRY_OVERHEAD_BYTES + command.len(),
            Payload::Members(members) => ENTRY_OVERHEAD_BYTES * (1 + members.voters.len() + members.learners.len()),
        }
    }
}

/// The entries after `base`; the entries up to and including `base` are covered by a snapshot.
#[derive(Debug)]
pub(crate) struct Log {
    base: LogId,
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

/// Result of [`Log::merge`].
#[derive(Debug)]
pub(crate) struct MergeOutcome {
    /// Index up to which the log now agrees with the leader's.
    pub(crate) matched: Index,
    /// Index from which entries were dropped, because they conflicted with the leader's.
    pub(crate) dropped: Option<Index>,
    /// Entries that were appended.
    pub(crate) added: Vec<LogEntry>,
}

impl Log {
    pub(crate) fn new(base: LogId, entries: Vec<LogEntry>) -> Self {
        let bytes = entries.iter().map(LogEntry::size).sum();
        Self { base, entries: entries.into(), bytes }
    }

    pub(crate) fn base(&self) -> LogId {
        self.base
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn last(&self) -> LogId {
        self.entries.back().map_or(self.base, |entry| entry.id)
    }

    /// Returns the term of the entry at `index`; `None` if the log does not hold the entry.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        match index {
            _ if index == self.base.index => Some(self.base.term),
            _ => self.get(index).map(|entry| entry.id.term),
        }
    }

    pub(crate) fn get(&self, index: Index) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.id.index, self.last().index.next(), "the log has no gaps");
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Returns entries from `from` on, up to `max_bytes` in total, but at least one if there is any.
    pub(crate) fn batch(&self, from: Index, max_bytes: usize) -> Vec<LogEntry> {
        let mut size = 0;
        self.range(from, self.last().index)
            .take_while(|entry| {
                let first = size == 0;
                size += entry.size();
                first || size <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// Returns the entries from `from` to `to`, both included, that the log holds.
    pub(crate) fn range(&self, from: Index, to: Index) -> impl DoubleEndedIterator<Item = &LogEntry> {
        let skip = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        let end = to.0.saturating_sub(self.base.index.0) as usize;
        self.entries.range(skip.min(self.entries.len())..end.clamp(skip.min(self.entries.len()), self.entries.len()))
    }

    /// Returns the last entry at or before `from` whose term is at most `term`, or the base: the next entry to probe.
    pub(crate) fn find_conflict(&self, from: Index, term: Term) -> LogId {
        let mut index = from.min(self.last().index);
        while index > self.base.index && self.term(index).is_some_and(|own| own > term) {
            index = index.prev();
        }
        LogId { term: self.term(index).unwrap_or_default(), index }
    }

    /// Merges a leader's entries, which follow `prev`, into the log. `None` if the log does not hold `prev`.
    pub(crate) fn merge(&mut self, prev: LogId, entries: Vec<LogEntry>) -> Option<MergeOutcome> {
        // A `prev` before the base needs no check: those entries are committed and agree with every leader's.
        if prev.index > self.base.index && self.term(prev.index) != Some(prev.term) {
            return None;
        }
        if prev.index == self.base.index && prev.term != self.base.term {
            return None;
        }
        let matched = entries.last().map_or(prev.index, |entry| entry.id.index).max(self.base.index);
        let held =
            |entry: &LogEntry| entry.id.index <= self.base.index || self.term(entry.id.index) == Some(entry.id.term);
        let added: Vec<_> = entries.into_iter().skip_while(held).collect();
        let dropped = added.first().map(|entry| entry.id.index).filter(|first| *first <= self.last().index);
        if let Some(from) = dropped {
            self.truncate(from);
        }
        for entry in &added {
            self.push(entry.clone());
        }
        Some(MergeOutcome { matched, dropped, added })
    }

    fn truncate(&mut self, from: Index) {
        while self.last().index >= from && self.last().index > self.base.index {
            self.bytes -= self.entries.pop_back().map_or(0, |entry| entry.size());
        }
    }

    /// Returns the base that leaves at most `count` entries and `bytes` bytes in the log up to `index`.
    pub(crate) fn tail_base(&self, index: Index, count: u64, bytes: usize) -> Index {
        let mut size = 0;
        let kept = self.range(self.base.index.next(), index).rev().take(count as usize).take_while(|entry| {
            size += entry.size();
            size <= bytes
        });
        Index(index.0 - kept.count() as u64)
    }

    /// Drops the entries up to `index`; the last one dropped becomes the base.
    pub(crate) fn trim(&mut self, index: Index) {
        while self.base.index < index {
            let Some(entry) = self.entries.pop_front() else { return };
            self.bytes -= entry.size();
            self.base = entry.id;
        }
    }

    /// Drops all entries; the log continues after `base`.
    pub(crate) fn reset(&mut self, base: LogId) {
        *self = Self::new(base, Vec::new());
    }
}
