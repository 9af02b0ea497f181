//! The format of a log segment: a header, then one frame and one sync marker for each group commit.
//!
//! `docs/design/store-format.md` describes the layout.

use crate::error::{DamagedSnafu, FormatSnafu};
use crate::{FolderId, HardState, Index, LogEntry, LogId, StoreError};
use serde::{Deserialize, Serialize};

/// Format version of all files in a data folder.
pub(crate) const FORMAT_VERSION: u32 = 1;
pub(crate) const SEGMENT_HEADER_BYTES: usize = 28;
pub(crate) const FRAME_HEADER_BYTES: usize = 24;

const SEGMENT_MAGIC: &[u8; 8] = b"mgwlog\r\n";
const FRAME_MAGIC: &[u8; 4] = b"mgwf";
const SYNC_MARKER_MAGIC: &[u8; 4] = b"mgwm";
const SYNC_MARKER_BYTES: usize = 16;

/// An operation on the log or the hard state, as stored in a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// Replaces the hard state.
    State(HardState),
    /// Drops the entries from this index on.
    Truncate(Index),
    /// Appends entries.
    Append(Vec<LogEntry>),
    /// Drops all entries; the log continues after this one.
    Reset(LogId),
}

/// Encodes the header of segment `number`, whose first frame has the number `first`.
pub(crate) fn encode_segment_header(number: u64, folder_id: FolderId, first: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(SEGMENT_HEADER_BYTES);
    bytes.extend_from_slice(SEGMENT_MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(number as u32).to_le_bytes());
    bytes.extend_from_slice(&first.to_le_bytes());
    let crc = salted_crc(&bytes, folder_id);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes
}

/// Encodes a frame: header and payload.
pub(crate) fn encode_frame(number: u64, folder_id: FolderId, records: &[Record]) -> Vec<u8> {
    let payload = postcard::to_stdvec(records).expect("records always encode as postcard");
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend_from_slice(FRAME_MAGIC);
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    let crc = salted_crc(&bytes, folder_id);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// Encodes the sync marker that is appended, without a further sync, after frame `number` has been synced. An invalid
/// frame that is followed by its marker is damaged, not a torn tail.
pub(crate) fn encode_sync_marker(number: u64, folder_id: FolderId) -> Vec<u8> {
    let mut bytes = SYNC_MARKER_MAGIC.to_vec();
    bytes.extend_from_slice(&number.to_le_bytes());
    let crc = salted_crc(&bytes, folder_id);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes
}

/// A segment as read from the disk.
#[derive(Debug)]
pub(crate) struct Segment {
    /// Records of each valid frame.
    pub(crate) frames: Vec<Vec<Record>>,
    /// Number of the frame that would come next.
    pub(crate) next_frame: u64,
    /// Bytes up to the end of the last valid frame and its sync marker.
    pub(crate) valid_bytes: usize,
}

/// Reads a segment. Only the newest one may have a torn tail, and not in its header or first frame: these are synced
/// before the segment gets its name.
pub(crate) fn read_segment(file: &str, bytes: &[u8], folder_id: FolderId, newest: bool) -> Result<Segment, StoreError> {
    let damaged = |offset: usize, problem: &str| DamagedSnafu { file, offset: offset as u64, problem }.fail();
    let first = match parse_header(bytes, folder_id) {
        Some(first) => first,
        None if bytes.len() >= 12 && &bytes[..8] == SEGMENT_MAGIC && read_u32(bytes, 8) != FORMAT_VERSION => {
            return FormatSnafu { file, found: read_u32(bytes, 8), known: FORMAT_VERSION }.fail();
        }
        None => return damaged(0, "the header is not valid"),
    };
    let mut segment = Segment { frames: Vec::new(), next_frame: first, valid_bytes: SEGMENT_HEADER_BYTES };
    while segment.valid_bytes < bytes.len() {
        let rest = &bytes[segment.valid_bytes..];
        match parse_frame(rest, folder_id) {
            Some((number, records, size)) if number == segment.next_frame => {
                segment.frames.push(records);
                segment.next_frame += 1;
                segment.valid_bytes += size;
            }
            Some(_) => return damaged(segment.valid_bytes, "a frame is out of order"),
            None if rest.starts_with(&encode_sync_marker(segment.next_frame - 1, folder_id)) => {
                segment.valid_bytes += SYNC_MARKER_BYTES;
            }
            // A torn tail: the last group commit was not synced, so nothing that depends on it was acknowledged.
            None if newest && !segment.frames.is_empty() && !segment.was_synced(rest, folder_id) => break,
            None => return damaged(segment.valid_bytes, "a frame that was synced is not valid"),
        }
    }
    if segment.frames.is_empty() {
        return damaged(SEGMENT_HEADER_BYTES, "the first frame is missing");
    }
    Ok(segment)
}

fn parse_header(bytes: &[u8], folder_id: FolderId) -> Option<u64> {
    let header = bytes.get(..SEGMENT_HEADER_BYTES)?;
    let valid = &header[..8] == SEGMENT_MAGIC
        && read_u32(header, 8) == FORMAT_VERSION
        && read_u32(header, 24) == salted_crc(&header[..24], folder_id);
    valid.then(|| read_u64(header, 16))
}

fn parse_frame(bytes: &[u8], folder_id: FolderId) -> Option<(u64, Vec<Record>, usize)> {
    let header = bytes.get(..FRAME_HEADER_BYTES)?;
    if &header[..4] != FRAME_MAGIC || read_u32(header, 20) != salted_crc(&header[..20], folder_id) {
        return None;
    }
    let size = FRAME_HEADER_BYTES + read_u32(header, 12) as usize;
    let payload = bytes.get(FRAME_HEADER_BYTES..size)?;
    if crc32fast::hash(payload) != read_u32(header, 16) {
        return None;
    }
    let records = postcard::from_bytes(payload).ok()?;
    Some((read_u64(header, 4), records, size))
}

impl Segment {
    /// Returns true if `rest` holds the sync marker of the next frame, or a later frame or marker. Any of them proves
    /// that the frame was synced, because frames are synced one at a time, each with the marker of the one before.
    fn was_synced(&self, rest: &[u8], folder_id: FolderId) -> bool {
        let found = |at: usize| match &rest[at..] {
            tail if tail.starts_with(FRAME_MAGIC) => {
                parse_frame(tail, folder_id).is_some_and(|(number, ..)| number > self.next_frame)
            }
            tail if tail.starts_with(SYNC_MARKER_MAGIC) => {
                parse_sync_marker(tail, folder_id).is_some_and(|number| number >= self.next_frame)
            }
            _ => false,
        };
        (0..rest.len()).any(found)
    }
}

fn parse_sync_marker(bytes: &[u8], folder_id: FolderId) -> Option<u64> {
    let bytes = bytes.get(..SYNC_MARKER_BYTES)?;
    (read_u32(bytes, 12) == salted_crc(&bytes[..12], folder_id)).then(|| read_u64(bytes, 4))
}

/// Returns the CRC-32 of `bytes`, salted with the folder id so that data of another folder is not valid in this one.
fn salted_crc(bytes: &[u8], folder_id: FolderId) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&folder_id.0.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

pub(crate) fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().expect("a slice of four bytes"))
}

pub(crate) fn read_u64(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().expect("a slice of eight bytes"))
}
