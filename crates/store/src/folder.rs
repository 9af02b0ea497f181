//! The durable store: a data folder with the identity, log segments and snapshots of one host.

use crate::disk::{Disk, DiskFile, FolderDisk};
use crate::error::{AlreadyOwnedSnafu, DamagedSnafu, EarlierWriteFailedSnafu, EmptySnafu, IoSnafu, OutOfOrderSnafu};
use crate::files::{self, Identity};
use crate::frame::{Record, encode_frame, encode_segment_header, encode_sync_marker, read_segment};
use crate::replay::{Replay, ReplayResult};
use crate::{DurableState, HardState, Index, LogEntry, Op, Snapshot, StoreError, Write, WriteId};
use snafu::{ResultExt, ensure};
use std::collections::BTreeMap;
use std::path::Path;

/// Size of a log segment at which the next write starts a new one.
const SEGMENT_BYTES: usize = 4 * 1024 * 1024;
/// Snapshots kept: the newest and the one before, which is removed only after the next one has been read back.
const MAX_SNAPSHOTS: usize = 2;

/// A data folder that is open for writing.
///
/// All calls block on the file system; run them on a separate thread.
#[derive(Debug)]
pub struct Folder<D: Disk = FolderDisk> {
    disk: D,
    identity: Identity,
    file: D::File,
    /// Number of the newest segment.
    segment_number: u64,
    /// Length of the newest segment in bytes.
    segment_length: usize,
    next_frame: u64,
    state: HardState,
    /// Index of the last entry in each segment, by segment number.
    segments: BTreeMap<u64, Index>,
    /// Names of the snapshot files, by the index of the last entry in each.
    snapshots: BTreeMap<Index, String>,
    /// Size of a segment in bytes at which the next write starts a new one.
    segment_limit: usize,
    /// Id of the last write that was accepted.
    last_write: WriteId,
    failed: bool,
}

impl Folder {
    /// Opens the data folder at `path`.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{DurableState, Folder, FolderDisk, FolderId};
    ///
    /// let temp = tempfile::tempdir()?;
    /// assert!(Folder::open(temp.path()).unwrap_err().is_empty());
    /// let stored = DurableState::joining(HostId(4), FolderId(0x5eed));
    /// drop(Folder::create(FolderDisk::open(temp.path())?, &stored)?);
    /// let (folder, again) = Folder::open(temp.path())?;
    /// assert_eq!(again, stored);
    /// # drop(folder);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    /// [`StoreError::Empty`] if the folder is new: then call [`Folder::create`] with [`DurableState::joining`] under a
    /// new host id, or with [`DurableState::bootstrap`]. Any other error needs an operator.
    pub fn open(path: impl AsRef<Path>) -> Result<(Self, DurableState), StoreError> {
        Self::open_disk(FolderDisk::open(path)?)
    }
}

impl<D: Disk> Folder<D> {
    /// Creates the data folder on `disk` for the host of `stored`, which owns it from then on.
    ///
    /// # Errors
    /// [`StoreError::AlreadyOwned`] if the folder already belongs to a host; [`StoreError::Damaged`] if it holds a log
    /// without an identity; [`StoreError::Io`] if a file operation fails.
    pub fn create(disk: D, stored: &DurableState) -> Result<Self, StoreError> {
        match files::read_identity(&disk)? {
            Some(identity) => return AlreadyOwnedSnafu { host: identity.host.0 }.fail(),
            None => files::remove_partial_creation(&disk)?,
        }
        let identity = Identity { host: stored.host, folder_id: stored.folder_id };
        let mut snapshots = BTreeMap::new();
        if let Some(snapshot) = &stored.snapshot {
            snapshots.insert(snapshot.meta.id.index, files::write_snapshot(&disk, snapshot)?);
        }
        let (name, tail) = (files::segment_name(1), stored.entries.last());
        let records = records_of(stored);
        let head = encode_frame(1, stored.folder_id, &records);
        let bytes =
            [encode_segment_header(1, stored.folder_id, 1), head, encode_sync_marker(1, stored.folder_id)].concat();
        let file = files::write_atomic(&disk, &name, &bytes)?;
        files::write_identity(&disk, identity)?;
        let segments = BTreeMap::from([(1, tail.map_or(Index(0), |entry| entry.id.index))]);
        let (length, state) = (bytes.len(), stored.hard_state);
        Ok(Self {
            disk,
            identity,
            file,
            segment_number: 1,
            segment_length: length,
            next_frame: 2,
            state,
            segments,
            snapshots,
            segment_limit: SEGMENT_BYTES,
            last_write: WriteId(0),
            failed: false,
        })
    }

    /// Opens the data folder on `disk`. A torn tail of the log is cut off; damage elsewhere is an error.
    ///
    /// # Errors
    /// As [`Folder::open`].
    pub fn open_disk(disk: D) -> Result<(Self, DurableState), StoreError> {
        let Some(identity) = files::read_identity(&disk)? else {
            files::reject_orphan_log(&disk)?;
            return EmptySnafu.fail();
        };
        files::remove_temp_files(&disk)?;
        let snapshots = files::list_snapshots(&disk)?;
        let snapshot = match snapshots.last_key_value() {
            Some((_, name)) => Some(files::read_snapshot(&disk, name)?),
            None => None,
        };
        let RecoveredLog { replay, segments, mut newest } = read_log(&disk, identity)?;
        let name = files::segment_name(newest.number);
        let ReplayResult { state, entries, reset } = match replay.finish(snapshot.as_ref()) {
            Ok(found) => found,
            Err(problem) => return DamagedSnafu { file: name, offset: 0u64, problem }.fail(),
        };
        if let Some(base) = reset {
            newest.push(identity, &[Record::Reset(base)]);
        }
        newest.mark_synced(identity);
        // Rewritten, because bytes just read from the newest segment may not be durable if an earlier sync failed.
        let file = files::write_atomic(&disk, &name, &newest.bytes)?;
        let folder = Self {
            file,
            identity,
            segment_number: newest.number,
            segment_length: newest.bytes.len(),
            next_frame: newest.next_frame,
            state,
            segments,
            snapshots,
            segment_limit: SEGMENT_BYTES,
            last_write: WriteId(0),
            failed: false,
            disk,
        };
        let stored =
            DurableState { host: identity.host, folder_id: identity.folder_id, hard_state: state, snapshot, entries };
        Ok((folder, stored))
    }

    /// Opens the folder again after a failed write, from what the disk holds now. The folder takes writes again if that
    /// succeeds, from [`WriteId`] 1 on, for a [`Raft`](crate::Raft) that is opened from the returned state.
    ///
    /// # Errors
    /// As [`Folder::open`]; the folder then still takes no writes.
    pub fn reopen(&mut self) -> Result<DurableState, StoreError>
    where
        D: Clone,
    {
        self.failed = true;
        let (folder, stored) = Self::open_disk(self.disk.clone())?;
        *self = Self { segment_limit: self.segment_limit, ..folder };
        Ok(stored)
    }

    /// Writes and syncs all operations of `writes` in order, with as few syncs as possible.
    ///
    /// # Errors
    /// After any error the disk may hold all, some or none of the writes. The folder rejects all later writes until it
    /// is opened again; report the error to the state machine by [`Raft::on_failed`](crate::Raft::on_failed).
    pub fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        ensure!(!self.failed, EarlierWriteFailedSnafu);
        let result = self.check_order(writes).and_then(|()| self.write_all(writes));
        self.failed = result.is_err();
        result
    }

    /// Rejects writes that are out of order, which would corrupt the log.
    fn check_order(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        for write in writes {
            ensure!(write.id > self.last_write, OutOfOrderSnafu { id: write.id.0, previous: self.last_write.0 });
            self.last_write = write.id;
        }
        Ok(())
    }

    fn write_all(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        let mut records = Vec::new();
        for op in writes.iter().flat_map(|write| &write.ops) {
            match op {
                Op::State(state) => records.push(Record::State(*state)),
                Op::Truncate(from) => records.push(Record::Truncate(*from)),
                Op::Append(entries) => records.push(Record::Append(entries.clone())),
                Op::Compact(snapshot) => {
                    self.append_frame(&std::mem::take(&mut records))?;
                    self.store_snapshot(snapshot)?;
                }
                Op::Install(snapshot) => {
                    self.append_frame(&std::mem::take(&mut records))?;
                    self.store_snapshot(snapshot)?;
                    records.push(Record::Reset(snapshot.meta.id));
                }
            }
        }
        self.append_frame(&records)
    }

    /// Appends one frame, syncs it, then appends its sync marker.
    fn append_frame(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.segment_length >= self.segment_limit {
            self.rotate()?;
        }
        let bytes = encode_frame(self.next_frame, self.identity.folder_id, records);
        let file = files::segment_name(self.segment_number);
        self.file.append(&bytes).context(IoSnafu { operation: "append to", file: &file })?;
        self.file.sync().context(IoSnafu { operation: "sync", file: &file })?;
        let marker = encode_sync_marker(self.next_frame, self.identity.folder_id);
        self.file.append(&marker).context(IoSnafu { operation: "append to", file: &file })?;
        self.segment_length += bytes.len() + marker.len();
        self.next_frame += 1;
        self.track_records(records);
        Ok(())
    }

    fn track_records(&mut self, records: &[Record]) {
        let last = self.segments.entry(self.segment_number).or_default();
        for record in records {
            match record {
                Record::State(state) => self.state = *state,
                Record::Append(entries) => {
                    *last = (*last).max(entries.last().map_or(Index(0), |entry| entry.id.index));
                }
                Record::Truncate(_) | Record::Reset(_) => {}
            }
        }
    }

    /// Starts a new segment. Its first frame repeats the hard state, so that older segments can be removed.
    fn rotate(&mut self) -> Result<(), StoreError> {
        // The last sync marker was appended after the sync of its frame.
        self.file.sync().context(IoSnafu { operation: "sync", file: files::segment_name(self.segment_number) })?;
        let (number, folder_id) = (self.segment_number + 1, self.identity.folder_id);
        let head = encode_frame(self.next_frame, folder_id, &[Record::State(self.state)]);
        let bytes = [
            encode_segment_header(number, folder_id, self.next_frame),
            head,
            encode_sync_marker(self.next_frame, folder_id),
        ]
        .concat();
        self.file = files::write_atomic(&self.disk, &files::segment_name(number), &bytes)?;
        self.segment_number = number;
        self.segment_length = bytes.len();
        self.next_frame += 1;
        self.segments.insert(number, Index(0));
        Ok(())
    }

    /// Writes a snapshot, verifies it by reading it back, then removes older snapshots and the segments that only they
    /// need.
    fn store_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let name = files::write_snapshot(&self.disk, snapshot)?;
        files::read_snapshot(&self.disk, &name)?;
        self.snapshots.insert(snapshot.meta.id.index, name);
        while self.snapshots.len() > MAX_SNAPSHOTS {
            let Some((_, old)) = self.snapshots.pop_first() else { break };
            files::remove(&self.disk, &old)?;
        }
        let kept = self.snapshots.first_key_value().map_or(Index(0), |(index, _)| *index);
        while let Some(oldest) = self.segments.first_entry() {
            if *oldest.key() == self.segment_number || *oldest.get() > kept {
                break;
            }
            files::remove(&self.disk, &files::segment_name(*oldest.key()))?;
            oldest.remove();
        }
        self.disk.sync_folder().context(IoSnafu { operation: "sync", file: "the folder" })
    }

    /// Sets the size at which the next write starts a new log segment to `bytes` instead of 4 MiB.
    #[must_use]
    pub fn with_segment_bytes(self, bytes: usize) -> Self {
        Self { segment_limit: bytes, ..self }
    }

    /// Closes the folder and returns the disk it was opened on.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

fn records_of(stored: &DurableState) -> Vec<Record> {
    let entries: Vec<LogEntry> = stored.entries.clone();
    vec![Record::Append(entries), Record::State(stored.hard_state)]
}

/// The newest segment as read from the disk.
#[derive(Debug)]
struct NewestSegment {
    number: u64,
    next_frame: u64,
    bytes: Vec<u8>,
}

impl NewestSegment {
    fn push(&mut self, identity: Identity, records: &[Record]) {
        self.bytes.extend_from_slice(&encode_frame(self.next_frame, identity.folder_id, records));
        self.next_frame += 1;
    }

    /// Appends the sync marker of the last frame: the segment is renamed into place only after it is synced.
    fn mark_synced(&mut self, identity: Identity) {
        let marker = encode_sync_marker(self.next_frame - 1, identity.folder_id);
        if !self.bytes.ends_with(&marker) {
            self.bytes.extend_from_slice(&marker);
        }
    }
}

/// The log as read from all segments.
#[derive(Debug)]
struct RecoveredLog {
    replay: Replay,
    segments: BTreeMap<u64, Index>,
    newest: NewestSegment,
}

fn read_log<D: Disk>(disk: &D, identity: Identity) -> Result<RecoveredLog, StoreError> {
    let numbers = files::list_segments(disk)?;
    let mut replay = Replay::default();
    let mut segments = BTreeMap::new();
    let mut newest: Option<NewestSegment> = None;
    for number in &numbers {
        let name = files::segment_name(*number);
        let bytes = disk.read(&name).context(IoSnafu { operation: "read", file: &name })?;
        let segment = read_segment(&name, &bytes, identity.folder_id, Some(number) == numbers.last())?;
        let expected = newest.as_ref().map(|previous| previous.next_frame);
        let found = segment.next_frame - segment.frames.len() as u64;
        if expected.is_some_and(|expected| expected != found) {
            let problem = format!("it begins with frame {found}; the segment before ends elsewhere");
            return DamagedSnafu { file: name, offset: 0u64, problem }.fail();
        }
        for record in segment.frames.into_iter().flatten() {
            if let Err(problem) = replay.push(record) {
                return DamagedSnafu { file: name, offset: 0u64, problem }.fail();
            }
        }
        segments.insert(*number, replay.last());
        let bytes = bytes[..segment.valid_bytes].to_vec();
        newest = Some(NewestSegment { number: *number, next_frame: segment.next_frame, bytes });
    }
    match newest {
        Some(newest) => Ok(RecoveredLog { replay, segments, newest }),
        None => DamagedSnafu { file: files::segment_name(1), offset: 0u64, problem: "no log segment is left" }.fail(),
    }
}
