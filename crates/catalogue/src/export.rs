//! Verifies an exported audit trail without the state it came from.

use crate::audit::{ChainError, ChainHash};
use serde::Deserialize;
use serde_json::value::RawValue;

/// What a whole and unchanged export holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExportSummary {
    /// The position of the first record; 0 if there is none.
    pub first_seq: u64,
    /// The position of the last record; 0 if there is none.
    pub last_seq: u64,
    /// The hash of the record before the first, as hexadecimal digits.
    pub previous_hash: String,
    /// The hash of the last record, as hexadecimal digits; compare it with the head of the control group.
    pub hash: String,
}

/// One line as it stands; the record stays text, since the hash runs over its bytes.
#[derive(Deserialize)]
struct RawLine<'a> {
    prev: String,
    hash: String,
    #[serde(borrow)]
    record: &'a RawValue,
}

/// The part of a record that the chain needs.
#[derive(Deserialize)]
struct Position {
    seq: u64,
}

/// Checks an export of JSON lines without filters: no record is missing between the first and the last, none is
/// changed.
///
/// # Errors
///
/// The first line that does not follow from the one before it.
///
/// ```
/// use mangogw_catalogue::verify_export;
///
/// assert_eq!(verify_export("").expect("nothing is whole").last_seq, 0);
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
