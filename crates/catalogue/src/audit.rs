//! The audit trail: every change and every refused try, chained by hashes and bounded.

use crate::change::Change;
use crate::command::code_number;
use bytes::Bytes;
use mangogw_model::{Code, EntryName, Outcome, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::fmt;

/// The longest text a record holds in one field, in bytes; longer ones are cut.
const MAX_FIELD_BYTES: usize = 512;

/// One record of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The position in the trail, from 1, without gaps.
    pub seq: u64,
    /// When the leader took the command, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The principal.
    pub who: String,
    /// Its role.
    pub role: String,
    /// The address it came from.
    pub from: String,
    /// What was asked.
    pub verb: String,
    /// What it was about.
    pub target: String,
    /// The idempotency key; empty if there was none.
    pub key: String,
    /// What became of it.
    #[serde(with = "code_number")]
    pub code: Code,
    /// The version of the catalogue afterwards.
    pub version: Version,
    /// More about the outcome.
    pub detail: String,
    /// Refused tries of this principal before this record that were counted, not recorded.
    pub skipped: u64,
    /// What changed, with the values before and after; empty if it was refused.
    pub changes: Vec<Change>,
}

impl AuditRecord {
    /// True if the try was refused.
    pub fn is_refused(&self) -> bool {
        self.code.outcome() != Outcome::Answered
    }

    /// The record as one line of JSON; the hash chain runs over these.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Cuts texts that came from outside to a bounded length.
    pub(crate) fn truncate_texts(mut self) -> Self {
        for text in [&mut self.who, &mut self.from, &mut self.target, &mut self.key, &mut self.detail] {
            text.truncate(text.floor_char_boundary(MAX_FIELD_BYTES));
        }
        self
    }
}

/// A link of the hash chain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainHash([u8; 32]);

impl ChainHash {
    pub(crate) const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The link of `json` behind this one: SHA-256 over the 32 bytes of this link and the bytes of the line.
    #[must_use]
    pub(crate) fn next(self, json: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(self.0);
        hash.update(json);
        Self(hash.finalize().into())
    }
}

impl fmt::Display for ChainHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// A record at rest: encoded, with what searches need beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredRecord {
    at_ms: u64,
    version: Version,
    change_count: u32,
    /// True if the record made its version.
    is_edit: bool,
    hash: ChainHash,
    bytes: Bytes,
}

impl StoredRecord {
    fn record(&self) -> Option<AuditRecord> {
        postcard::from_bytes(&self.bytes).ok()
    }
}

/// The newest part of the trail, and the hash of the record before it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AuditTrail {
    dropped: u64,
    anchor: ChainHash,
    change_count: u64,
    records: VecDeque<StoredRecord>,
}

/// The newest record of a trail, to compare with an export.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AuditHead {
    /// The position of the newest record; 0 if there is none.
    pub seq: u64,
    /// Its hash.
    pub hash: ChainHash,
}

/// Where a hash chain is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainError {
    /// The line of the export or the position in the trail, from 1.
    pub line: u64,
    /// What is wrong there.
    pub reason: String,
}

impl fmt::Display for ChainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for ChainError {}

impl AuditTrail {
    /// Adds a record, whose `seq` is set here; `edit` tells whether it made its version.
    pub(crate) fn push(&mut self, record: AuditRecord, is_edit: bool) {
        let record = AuditRecord { seq: self.head().seq + 1, ..record }.truncate_texts();
        let hash = self.head().hash.next(&record.to_json());
        let change_count = record.changes.len() as u32;
        let bytes = postcard::to_stdvec(&record).unwrap_or_default().into();
        self.change_count += u64::from(change_count);
        self.records.push_back(StoredRecord {
            at_ms: record.at_ms,
            version: record.version,
            change_count,
            is_edit,
            hash,
            bytes,
        });
    }

    /// Drops the oldest records until both bounds hold; the newest stays.
    pub(crate) fn trim(&mut self, max_records: usize, max_changes: u64) {
        while self.records.len() > 1 && (self.records.len() > max_records || self.change_count > max_changes) {
            let Some(stored) = self.records.pop_front() else { return };
            self.dropped += 1;
            self.anchor = stored.hash;
            self.change_count -= u64::from(stored.change_count);
        }
    }

    pub(crate) fn head(&self) -> AuditHead {
        let hash = self.records.back().map_or(self.anchor, |stored| stored.hash);
        AuditHead { seq: self.dropped + self.records.len() as u64, hash }
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// The changes that led up from `from`, oldest first; nothing if some are no longer held.
    pub(crate) fn changes_since(&self, from: Version, current: Version) -> Option<Vec<Change>> {
        let start = self.records.partition_point(|stored| stored.version <= from);
        let edits = self.records.iter().skip(start).filter(|stored| stored.is_edit);
        let records = edits.map(StoredRecord::record).collect::<Option<Vec<_>>>()?;
        let whole = records.len() as u64 == current.0.checked_sub(from.0)?;
        whole.then(|| records.into_iter().flat_map(|record| record.changes).collect())
    }

    /// The records that `query` asks for, oldest first.
    pub(crate) fn find<'a>(&'a self, query: &'a AuditQuery) -> impl Iterator<Item = ExportLine> + 'a {
        let first = query.after.saturating_sub(self.dropped) as usize;
        let times = query.since_ms..=query.until_ms;
        let records =
            self.records.iter().enumerate().skip(first).filter(move |(_, stored)| times.contains(&stored.at_ms));
        records
            .filter_map(|(at, stored)| {
                Some(ExportLine { prev: self.previous_hash(at), hash: stored.hash, record: stored.record()? })
            })
            .filter(|line| query.matches(&line.record))
            .take(query.limit)
    }

    /// The records that made versions, newest first.
    pub(crate) fn edits(&self) -> impl Iterator<Item = AuditRecord> {
        self.records.iter().rev().filter(|stored| stored.is_edit).filter_map(StoredRecord::record)
    }

    /// Checks every record and every link.
    pub(crate) fn verify(&self) -> Result<AuditHead, ChainError> {
        let mut hash = self.anchor;
        for (seq, stored) in (self.dropped + 1..).zip(&self.records) {
            let fault = |reason: &str| ChainError { line: seq, reason: reason.to_owned() };
            let record = stored.record().ok_or_else(|| fault("the record can't be read"))?;
            hash = hash.next(&record.to_json());
            match () {
                () if record.seq != seq => return Err(fault("the position is not the next one")),
                () if hash != stored.hash => return Err(fault("the record does not fit its hash")),
                () => {}
            }
        }
        Ok(self.head())
    }

    fn previous_hash(&self, at: usize) -> ChainHash {
        at.checked_sub(1).and_then(|at| self.records.get(at)).map_or(self.anchor, |stored| stored.hash)
    }
}

/// A record with its links, as an export holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct ExportLine {
    /// The hash of the record before it.
    pub prev: ChainHash,
    /// The hash of the record.
    pub hash: ChainHash,
    /// The record.
    pub record: AuditRecord,
}

impl fmt::Display for ExportLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, r#"{{"prev":"{}","hash":"{}","record":{}}}"#, self.prev, self.hash, self.record.to_json())
    }
}

/// What a search of the trail asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditQuery {
    /// Only records behind this position.
    pub after: u64,
    /// Only from this time on, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Only up to this time, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Only of this principal.
    pub who: Option<String>,
    /// Only about this entry, alone or in a whole set.
    pub entry: Option<EntryName>,
    /// Only refused tries.
    pub refused: bool,
    /// At most this many.
    pub limit: usize,
}

impl Default for AuditQuery {
    fn default() -> Self {
        Self { after: 0, since_ms: 0, until_ms: u64::MAX, who: None, entry: None, refused: false, limit: usize::MAX }
    }
}

impl AuditQuery {
    /// True if a record is asked for; position, time and number are looked at elsewhere.
    fn matches(&self, record: &AuditRecord) -> bool {
        let who = self.who.as_ref().is_none_or(|who| *who == record.who);
        let entry = self.entry.as_ref().is_none_or(|entry| concerns_entry(record, entry));
        who && entry && (!self.refused || record.is_refused())
    }
}

fn concerns_entry(record: &AuditRecord, entry: &EntryName) -> bool {
    let changed = |change: &Change| matches!(change, Change::Entry { name, .. } if name == entry);
    record.target == format!("entries.{entry}") || record.changes.iter().any(changed)
}
