//! The log as it is held in memory.

use crate::{Index, LogId, Members, Term};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader.
    Blank,
    /// A command, opaque to the log.
    Command(Bytes),
    /// The members from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The position and the term.
    pub id: LogId,
    /// What it carries.
    pub payload: Payload,
}

/// Bytes an entry takes beside its command.
const ENTRY_OVERHEAD_BYTES: usize = 32;

impl LogEntry {
    /// Bytes it takes in memory and on the wire, roughly.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Blank => ENTRY_OVERHEAD_BYTES,
            Payload::Command(command) => ENTRY_OVERHEAD_BYTES + command.len(),
            Payload::Members(members) => ENTRY_OVERHEAD_BYTES * (1 + members.voters.len() + members.learners.len()),
        }
    }
}

/// The entries after `base`; `base` itself is in a snapshot.
#[derive(Debug)]
pub(crate) struct Log {
    base: LogId,
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

/// What [`Log::merge`] did.
#[derive(Debug)]
pub(crate) struct MergeOutcome {
    /// The entries now agree with the leader up to here.
    pub(crate) matched: Index,
    /// Entries from here on were dropped.
    pub(crate) dropped: Option<Index>,
    /// Entries that are new.
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

    /// The term at `index`, if the log still holds it.
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

    /// Entries from `from` on, up to `max_bytes` yet at least one.
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

    /// The entries from `from` to `to`, both included.
    pub(crate) fn range(&self, from: Index, to: Index) -> impl DoubleEndedIterator<Item = &LogEntry> {
        let skip = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        let end = to.0.saturating_sub(self.base.index.0) as usize;
        self.entries.range(skip.min(self.entries.len())..end.clamp(skip.min(self.entries.len()), self.entries.len()))
    }

    /// The entry at or before `from` whose term is at most `term`: the next place to probe.
    pub(crate) fn find_conflict(&self, from: Index, term: Term) -> LogId {
        let mut index = from.min(self.last().index);
        while index > self.base.index && self.term(index).is_some_and(|own| own > term) {
            index = index.prev();
        }
        LogId { term: self.term(index).unwrap_or_default(), index }
    }

    /// Takes in a leader's entries after `prev`. `None` if the log does not hold `prev`.
    pub(crate) fn merge(&mut self, prev: LogId, entries: Vec<LogEntry>) -> Option<MergeOutcome> {
        // What the base covers is committed and agrees with every leader.
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

    /// The index before the last entries up to `index` that are at most `count` and at most `bytes`.
    pub(crate) fn tail_base(&self, index: Index, count: u64, bytes: usize) -> Index {
        let mut size = 0;
        let kept = self.range(self.base.index.next(), index).rev().take(count as usize).take_while(|entry| {
            size += entry.size();
            size <= bytes
        });
        Index(index.0 - kept.count() as u64)
    }

    /// Drops the entries up to `index`, which becomes the base.
    pub(crate) fn trim(&mut self, index: Index) {
        while self.base.index < index {
            let Some(entry) = self.entries.pop_front() else { return };
            self.bytes -= entry.size();
            self.base = entry.id;
        }
    }

    /// Drops everything; the log goes on after `base`.
    pub(crate) fn reset(&mut self, base: LogId) {
        *self = Self::new(base, Vec::new());
    }
}
