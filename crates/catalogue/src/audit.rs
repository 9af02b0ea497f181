//! The audit trail: a bounded list of changes and refused attempts, protected by a hash chain.

use crate::change::Change;
use crate::command::code_number;
use bytes::Bytes;
use mangogw_model::{Code, EntryName, Outcome, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::fmt;

/// Maximum length of a text field of a record, in bytes; longer texts are truncated.
const MAX_FIELD_BYTES: usize = 512;

/// One record of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Position in the trail, from 1, without gaps.
    pub seq: u64,
    /// Time at which the leader accepted the command, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the principal.
    pub who: String,
    /// Role of the principal; empty without a valid token.
    pub role: String,
    /// Network address of the caller.
    pub from: String,
    /// Requested action, such as `put`.
    pub verb: String,
    /// Target of the action, such as `entries.gate-scan`.
    pub target: String,
    /// Idempotency key; empty if there was none.
    pub key: String,
    /// Result code of the command.
    #[serde(with = "code_number")]
    pub code: Code,
    /// Version of the catalogue after the command.
    pub version: Version,
    /// Explanation of the result; may be empty.
    pub detail: String,
    /// Number of earlier refused attempts of this principal that were counted but not recorded.
    pub skipped: u64,
    /// Changes with the values before and after; empty if the command was refused.
    pub changes: Vec<Change>,
}

impl AuditRecord {
    /// Returns true if the command was refused.
    pub fn is_refused(&self) -> bool {
        self.code.outcome() != Outcome::Answered
    }

    /// Formats the record as one line of JSON, over which the hash chain runs.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Truncates texts that came from callers to [`MAX_FIELD_BYTES`].
    pub(crate) fn truncate_texts(mut self) -> Self {
        for text in [&mut self.who, &mut self.from, &mut self.target, &mut self.key, &mut self.detail] {
            text.truncate(text.floor_char_boundary(MAX_FIELD_BYTES));
        }
        self
    }
}

/// Hash of a record in the hash chain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainHash([u8; 32]);

impl ChainHash {
    pub(crate) const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the hash of the next record: SHA-256 over the 32 bytes of this hash and the bytes of `json`.
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

/// An encoded record, with the fields that searches read without decoding it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredRecord {
    at_ms: u64,
    version: Version,
    change_count: u32,
    /// True if the command made a new version of the catalogue.
    is_edit: bool,
    hash: ChainHash,
    bytes: Bytes,
}

impl StoredRecord {
    fn record(&self) -> Option<AuditRecord> {
        postcard::from_bytes(&self.bytes).ok()
    }
}

/// The retained part of the audit trail, and the hash of the last dropped record.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AuditTrail {
    dropped: u64,
    anchor: ChainHash,
    change_count: u64,
    records: VecDeque<StoredRecord>,
}

/// Position and hash of the newest record, to compare with an export.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AuditHead {
    /// Position of the newest record; 0 if there is none.
    pub seq: u64,
    /// Hash of the newest record.
    pub hash: ChainHash,
}

/// Position and reason of a break in the hash chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainError {
    /// Line of the export or position in the trail, from 1.
    pub line: u64,
    /// Reason for the break.
    pub reason: String,
}

impl fmt::Display for ChainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for ChainError {}

impl AuditTrail {
    /// Appends a record and sets its `seq`; `is_edit` tells whether the command made a new version of the catalogue.
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

    /// Drops the oldest records until both limits hold; always retains the newest.
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

    /// Returns the changes after version `from`, oldest first, or `None` if some of them were dropped.
    pub(crate) fn changes_since(&self, from: Version, current: Version) -> Option<Vec<Change>> {
        let start = self.records.partition_point(|stored| stored.version <= from);
        let edits = self.records.iter().skip(start).filter(|stored| stored.is_edit);
        let records = edits.map(StoredRecord::record).collect::<Option<Vec<_>>>()?;
        let is_complete = records.len() as u64 == current.0.checked_sub(from.0)?;
        is_complete.then(|| records.into_iter().flat_map(|record| record.changes).collect())
    }

    /// Returns the records that match `query`, oldest first.
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

    /// Returns the records of edits, each of which made a version; newest first.
    pub(crate) fn edits(&self) -> impl Iterator<Item = AuditRecord> {
        self.records.iter().rev().filter(|stored| stored.is_edit).filter_map(StoredRecord::record)
    }

    /// Verifies the position and hash of every record.
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

/// A record with its chain hashes, as written to an export.
#[derive(Debug, Clone, PartialEq)]
pub struct ExportLine {
    /// Hash of the previous record.
    pub prev: ChainHash,
    /// Hash of the record.
    pub hash: ChainHash,
    /// The exported record.
    pub record: AuditRecord,
}

impl fmt::Display for ExportLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, r#"{{"prev":"{}","hash":"{}","record":{}}}"#, self.prev, self.hash, self.record.to_json())
    }
}

/// Filters of a search in the audit trail; a record must match all of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditQuery {
    /// Only records after this position.
    pub after: u64,
    /// Earliest time, inclusive, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Latest time, inclusive, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Only records of this principal.
    pub who: Option<String>,
    /// Only records that target this entry or contain a change of it.
    pub entry: Option<EntryName>,
    /// Only records of refused commands.
    pub refused: bool,
    /// Maximum number of records to return.
    pub limit: usize,
}

impl Default for AuditQuery {
    fn default() -> Self {
        Self { after: 0, since_ms: 0, until_ms: u64::MAX, who: None, entry: None, refused: false, limit: usize::MAX }
    }
}

impl AuditQuery {
    /// Checks the principal, the entry and the refusal; [`AuditTrail::find`] applies position, time and limit.
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
