//! Verification of an exported audit trail without access to the control state.

use crate::audit::{ChainError, ChainHash};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Range and hashes of a verified export.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExportSummary {
    /// Position of the first record; 0 if there is none.
    pub first_seq: u64,
    /// Position of the last record; 0 if there is none.
    pub last_seq: u64,
    /// Hash of the record before the first, as hexadecimal digits; empty if there are no records.
    pub previous_hash: String,
    /// Hash of the last record, as hexadecimal digits, to compare with the control group's audit head; empty if there
    /// are no records.
    pub hash: String,
}

/// One parsed line; the record stays unparsed text, since the hash runs over its bytes.
#[derive(Deserialize)]
struct RawLine<'a> {
    prev: String,
    hash: String,
    #[serde(borrow)]
    record: &'a RawValue,
}

/// The field of a record that the verification reads.
#[derive(Deserialize)]
struct Position {
    seq: u64,
}

/// Verifies that an unfiltered export of JSON lines misses no record between its first and last, and that no record was
/// changed.
///
/// # Errors
///
/// Returns the first line that is malformed or does not follow from the line before it.
///
/// ```
/// use mangogw_catalogue::verify_export;
///
/// assert_eq!(verify_export("").expect("empty export").last_seq, 0);
/// assert!(verify_export("{}").is_err());
/// ```
pub fn verify_export(text: &str) -> Result<ExportSummary, ChainError> {
    let mut export = ExportSummary::default();
    for (number, line) in (1..).zip(text.lines()) {
        let fault = |reason: &str| ChainError { line: number, reason: reason.to_owned() };
        let raw = serde_json::from_str::<RawLine<'_>>(line).map_err(|error| fault(&error.to_string()))?;
        let seq = serde_json::from_str::<Position>(raw.record.get()).map_err(|error| fault(&error.to_string()))?.seq;
        let prev = parse_hash(&raw.prev).ok_or_else(|| fault("the hash before it is no hash"))?;
        if number == 1 {
            export = ExportSummary {
                first_seq: seq,
                last_seq: seq.wrapping_sub(1),
                previous_hash: raw.prev.clone(),
                hash: raw.prev.clone(),
            };
        }
        match () {
            () if seq != export.last_seq.wrapping_add(1) => return Err(fault("records are missing before it")),
            () if raw.prev != export.hash => return Err(fault("it does not follow from the record before it")),
            () if prev.next(raw.record.get()).to_string() != raw.hash => return Err(fault("the record was changed")),
            () => {}
        }
        export.last_seq = seq;
        export.hash = raw.hash;
    }
    Ok(export)
}

fn parse_hash(text: &str) -> Option<ChainHash> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(ChainHash::from_bytes(bytes))
}
