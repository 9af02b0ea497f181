//! The files of a data folder: names, formats, and atomic writes that leave the old or the new file after a crash.

use crate::disk::{Disk, DiskFile};
use crate::error::{DamagedSnafu, FormatSnafu, IoSnafu};
use crate::frame::{FORMAT_VERSION, read_u32, read_u64};
use crate::{FolderId, Index, Snapshot, SnapshotMeta, StoreError};
use mangogw_model::HostId;
use snafu::ResultExt;
use std::collections::BTreeMap;

const IDENTITY_FILE: &str = "identity";
const IDENTITY_MAGIC: &[u8; 8] = b"mgwhost\n";
const IDENTITY_BYTES: usize = 32;
const SNAPSHOT_MAGIC: &[u8; 8] = b"mgwsnap\n";
/// Bytes before the metadata in a snapshot file: magic, format version, length and CRC-32 of the metadata.
const SNAPSHOT_HEADER_BYTES: usize = 20;
const TEMP_SUFFIX: &str = ".tmp";
const SEGMENT_SUFFIX: &str = ".log";
const SNAPSHOT_SUFFIX: &str = ".snap";

/// The host that owns a data folder, and the id of the folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) host: HostId,
    pub(crate) folder_id: FolderId,
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("{number:012}{SEGMENT_SUFFIX}")
}

pub(crate) fn remove<D: Disk>(disk: &D, name: &str) -> Result<(), StoreError> {
    disk.remove(name).context(IoSnafu { operation: "remove", file: name })
}

/// Writes a file atomically: writes and syncs a temporary file, renames it to `name`, and syncs the folder.
pub(crate) fn write_atomic<D: Disk>(disk: &D, name: &str, bytes: &[u8]) -> Result<D::File, StoreError> {
    let temp = format!("{name}{TEMP_SUFFIX}");
    let mut file = disk.create(&temp).context(IoSnafu { operation: "create", file: &temp })?;
    file.append(bytes).context(IoSnafu { operation: "write", file: &temp })?;
    file.sync().context(IoSnafu { operation: "sync", file: &temp })?;
    disk.rename(&temp, name).context(IoSnafu { operation: "rename", file: &temp })?;
    disk.sync_folder().context(IoSnafu { operation: "sync", file: "the folder" })?;
    Ok(file)
}

fn list<D: Disk>(disk: &D) -> Result<Vec<String>, StoreError> {
    let mut names = disk.list().context(IoSnafu { operation: "list", file: "the folder" })?;
    names.sort_unstable();
    Ok(names)
}

/// Removes temporary files that a crash left behind.
pub(crate) fn remove_temp_files<D: Disk>(disk: &D) -> Result<(), StoreError> {
    for name in list(disk)?.iter().filter(|name| name.ends_with(TEMP_SUFFIX)) {
        remove(disk, name)?;
    }
    Ok(())
}

/// Returns the numbers of all log segments in ascending order.
pub(crate) fn list_segments<D: Disk>(disk: &D) -> Result<Vec<u64>, StoreError> {
    let number = |name: &String| name.strip_suffix(SEGMENT_SUFFIX)?.parse().ok();
    Ok(list(disk)?.iter().filter_map(number).collect())
}

/// Returns the names of all snapshot files, by the index of the last entry in each.
pub(crate) fn list_snapshots<D: Disk>(disk: &D) -> Result<BTreeMap<Index, String>, StoreError> {
    let index = |name: String| Some((Index(name.strip_suffix(SNAPSHOT_SUFFIX)?.parse().ok()?), name));
    Ok(list(disk)?.into_iter().filter_map(index).collect())
}

/// Rejects a folder with a log but no identity file: a folder counts as new only if nothing was ever committed to it.
pub(crate) fn reject_orphan_log<D: Disk>(disk: &D) -> Result<(), StoreError> {
    let segments = list_segments(disk)?;
    let has_data = match segments.as_slice() {
        [] => false,
        // An interrupted creation leaves segment 1 complete, because it is written before the identity file.
        [1] => read_u64(&read(disk, &segment_name(1))?, 16) != 1 || list_snapshots(disk)?.len() > 1,
        _ => true,
    };
    if has_data {
        return DamagedSnafu { file: IDENTITY_FILE, offset: 0u64, problem: "the folder holds a log but no identity" }
            .fail();
    }
    Ok(())
}

/// Removes the files that an interrupted creation left behind.
pub(crate) fn remove_partial_creation<D: Disk>(disk: &D) -> Result<(), StoreError> {
    reject_orphan_log(disk)?;
    remove_temp_files(disk)?;
    for number in list_segments(disk)? {
        remove(disk, &segment_name(number))?;
    }
    for name in list_snapshots(disk)?.values() {
        remove(disk, name)?;
    }
    Ok(())
}

fn read<D: Disk>(disk: &D, name: &str) -> Result<Vec<u8>, StoreError> {
    disk.read(name).context(IoSnafu { operation: "read", file: name })
}

pub(crate) fn write_identity<D: Disk>(disk: &D, identity: Identity) -> Result<(), StoreError> {
    let mut bytes = IDENTITY_MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&identity.host.0.to_le_bytes());
    bytes.extend_from_slice(&identity.folder_id.0.to_le_bytes());
    let crc = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&crc.to_le_bytes());
    write_atomic(disk, IDENTITY_FILE, &bytes).map(drop)
}

pub(crate) fn read_identity<D: Disk>(disk: &D) -> Result<Option<Identity>, StoreError> {
    if !list(disk)?.iter().any(|name| name == IDENTITY_FILE) {
        return Ok(None);
    }
    let bytes = read(disk, IDENTITY_FILE)?;
    check_format(IDENTITY_FILE, &bytes, *IDENTITY_MAGIC)?;
    if bytes.len() != IDENTITY_BYTES || crc32fast::hash(&bytes[..28]) != read_u32(&bytes, 28) {
        return DamagedSnafu { file: IDENTITY_FILE, offset: 0u64, problem: "the checksum does not match" }.fail();
    }
    Ok(Some(Identity { host: HostId(read_u64(&bytes, 12)), folder_id: FolderId(read_u64(&bytes, 20)) }))
}

fn check_format(file: &str, bytes: &[u8], magic: [u8; 8]) -> Result<(), StoreError> {
    match bytes {
        _ if bytes.len() < 12 || bytes[..8] != magic => {
            DamagedSnafu { file, offset: 0u64, problem: "the header is not valid" }.fail()
        }
        _ if read_u32(bytes, 8) != FORMAT_VERSION => {
            FormatSnafu { file, found: read_u32(bytes, 8), known: FORMAT_VERSION }.fail()
        }
        _ => Ok(()),
    }
}

/// Encodes a snapshot as the content of a snapshot file.
pub(crate) fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let meta = postcard::to_stdvec(&snapshot.meta).expect("snapshot metadata always encodes as postcard");
    let mut bytes = SNAPSHOT_MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(meta.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&meta).to_le_bytes());
    bytes.extend_from_slice(&meta);
    bytes.extend_from_slice(&snapshot.data);
    bytes
}

/// Decodes the content of the snapshot file `file`; the name is only used in errors.
pub(crate) fn decode_snapshot(file: &str, bytes: Vec<u8>) -> Result<Snapshot, StoreError> {
    check_format(file, &bytes, *SNAPSHOT_MAGIC)?;
    let damaged = |offset: usize, problem: &str| DamagedSnafu { file, offset: offset as u64, problem }.fail();
    if bytes.len() < SNAPSHOT_HEADER_BYTES {
        return damaged(12, "the header is cut");
    }
    let end = SNAPSHOT_HEADER_BYTES + read_u32(&bytes, 12) as usize;
    let meta = bytes.get(SNAPSHOT_HEADER_BYTES..end).filter(|meta| crc32fast::hash(meta) == read_u32(&bytes, 16));
    let Some(meta) = meta.and_then(|meta| postcard::from_bytes::<SnapshotMeta>(meta).ok()) else {
        return damaged(12, "the meta data is not valid");
    };
    let snapshot = Snapshot { meta, data: bytes::Bytes::from(bytes).slice(end..) };
    if !snapshot.is_intact() {
        return damaged(end, "the checksum of the state does not match");
    }
    Ok(snapshot)
}

/// Writes a snapshot file and returns its name.
pub(crate) fn write_snapshot<D: Disk>(disk: &D, snapshot: &Snapshot) -> Result<String, StoreError> {
    let name = format!("{:020}{SNAPSHOT_SUFFIX}", snapshot.meta.id.index.0);
    write_atomic(disk, &name, &encode_snapshot(snapshot))?;
    Ok(name)
}

pub(crate) fn read_snapshot<D: Disk>(disk: &D, name: &str) -> Result<Snapshot, StoreError> {
    decode_snapshot(name, read(disk, name)?)
}
