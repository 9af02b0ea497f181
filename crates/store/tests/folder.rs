//! The data folder under crashes, failing disks and damaged files.

#[expect(dead_code, reason = "each test file uses a part of the fakes")]
mod fake;

use fake::disk::FakeDisk;
use mangogw_model::HostId;
use mangogw_store::{
    Disk, DurableState, Folder, FolderDisk, FolderId, GroupId, HardState, Index, LogEntry, LogId, Members, Op, Payload,
    Snapshot, StoreError, Term, Write, WriteId,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::path::Path;

const SEGMENT_BYTES: usize = 600;
/// Length of the marker after each frame, which proves that the frame was synced.
const SYNC_MARKER_BYTES: usize = 16;

fn bootstrap_state() -> DurableState {
    let (host, folder_id) = (HostId(1), FolderId(11));
    DurableState::bootstrap(host, folder_id, GroupId(7), Members::from_voters([(host, folder_id)]), "first".into())
}

/// Reference implementation: applies an operation to the state in memory.
fn apply(stored: &mut DurableState, op: &Op) {
    match op {
        Op::State(state) => stored.hard_state = *state,
        Op::Truncate(from) => stored.entries.retain(|entry| entry.id.index < *from),
        Op::Append(entries) => stored.entries.extend(entries.iter().cloned()),
        Op::Compact(snapshot) => {
            stored.entries.retain(|entry| entry.id.index > snapshot.meta.id.index);
            stored.snapshot = Some(snapshot.clone());
        }
        Op::Install(snapshot) => {
            stored.entries.clear();
            stored.snapshot = Some(snapshot.clone());
        }
    }
}

fn apply_all(stored: &DurableState, ops: &[Op]) -> DurableState {
    let mut next = stored.clone();
    for op in ops {
        apply(&mut next, op);
    }
    next
}

/// Returns `stored` as the folder restores it: the snapshot raises the commit index and the term.
fn as_reopened(mut stored: DurableState) -> DurableState {
    let base = stored.base();
    stored.hard_state.commit = stored.hard_state.commit.max(base.index);
    if stored.hard_state.term < base.term {
        stored.hard_state.term = base.term;
        stored.hard_state.vote = None;
    }
    stored
}

/// Returns `count` random writes, in an order in which a voter could issue them.
fn random_writes(seed: u64, count: u64) -> Vec<Write> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut stored = bootstrap_state();
    let mut term = Term(1);
    let write = |id| {
        let last = stored.entries.last().map_or(stored.base(), |entry| entry.id);
        let mut ops = Vec::new();
        let mut next = last.index.next();
        match rng.random_range(0..20) {
            0 | 1 if stored.entries.len() > 2 => {
                next = stored.entries[stored.entries.len() - 2].id.index;
                ops.push(Op::Truncate(next));
                term = term.next();
            }
            2 if !stored.entries.is_empty() => {
                let at = stored.entries[rng.random_range(0..stored.entries.len())].id;
                ops.push(Op::Compact(Snapshot::new(at, stored.members(), format!("state at {at:?}").into())));
            }
            3 => {
                term = term.next();
                let at = LogId { term, index: Index(last.index.0 + rng.random_range(3..40)) };
                ops.push(Op::Install(Snapshot::new(at, stored.members(), format!("leader at {at:?}").into())));
                next = at.index.next();
            }
            _ => {}
        }
        let entries = (0..rng.random_range(1..4)).map(|offset| LogEntry {
            id: LogId { term, index: Index(next.0 + offset) },
            payload: Payload::Command(vec![id as u8; rng.random_range(0..60)].into()),
        });
        ops.push(Op::Append(entries.collect()));
        ops.push(Op::State(HardState { group: GroupId(7), term, vote: None, commit: stored.base().index }));
        stored = apply_all(&stored, &ops);
        Write { id: WriteId(id), ops }
    };
    (1..=count).map(write).collect()
}

fn open(disk: &FakeDisk) -> (Folder<FakeDisk>, DurableState) {
    let (folder, stored) = Folder::open_disk(disk.clone()).expect("a crash never damages the folder");
    (folder.with_segment_bytes(SEGMENT_BYTES), stored)
}

/// Guards against loss or damage of synced writes: crashes the disk at every file operation of a run of 300 writes. The
/// reopened folder must hold all synced writes and at most a prefix of the failed one.
#[test]
fn a_crash_at_any_operation_keeps_all_synced_writes() {
    let writes = random_writes(5, 300);
    let run = |disk: &FakeDisk, writes: &[Write]| -> usize {
        let Ok((folder, _)) = Folder::open_disk(disk.clone()) else { return 0 };
        let mut folder = folder.with_segment_bytes(SEGMENT_BYTES);
        writes.iter().take_while(|write| folder.write(std::slice::from_ref(write)).is_ok()).count()
    };
    let initial = FakeDisk::default();
    drop(Folder::create(initial.clone(), &bootstrap_state()).unwrap());
    let faultless = initial.copy();
    assert_eq!(run(&faultless, &writes), writes.len());
    let operations = faultless.ops();
    assert!(operations > 800, "{operations}");
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for at in 0..operations {
        let disk = initial.copy();
        disk.fail_after(Some(at));
        let done = run(&disk, &writes);
        disk.crash(&mut rng);
        let (_, found) = open(&disk);
        let synced = writes[..done].iter().fold(bootstrap_state(), |stored, write| apply_all(&stored, &write.ops));
        let failed = writes.get(done).map_or(&[][..], |write| &write.ops);
        let is_prefix = (0..=failed.len()).any(|part| as_reopened(apply_all(&synced, &failed[..part])) == found);
        assert!(
            is_prefix,
            "after a crash at operation {at}, after {done} writes, the folder holds an unexpected state"
        );
        // Crashes again while the folder is reopened, then opens it and writes one more entry.
        disk.fail_after(Some(at % 7));
        drop(Folder::open_disk(disk.clone()));
        disk.crash(&mut rng);
        let (mut folder, again) = open(&disk);
        assert_eq!(again, found);
        let tail = again.entries.last().map_or(again.base(), |entry| entry.id);
        let entry = LogEntry { id: LogId { index: tail.index.next(), ..tail }, payload: Payload::Blank };
        folder.write(&[Write { id: WriteId(1), ops: vec![Op::Append(vec![entry])] }]).unwrap();
        assert_eq!(open(&disk).1.entries.len(), found.entries.len() + 1, "crash at {at}");
    }
}

/// A crash at each file operation of the creation leaves a folder that is either complete or still counts as empty.
#[test]
fn an_interrupted_creation_leaves_an_empty_folder() {
    for at in 0..20 {
        let disk = FakeDisk::default();
        disk.fail_after(Some(at));
        let created = Folder::create(disk.clone(), &bootstrap_state()).is_ok();
        disk.crash(&mut Pcg64Mcg::seed_from_u64(at));
        match Folder::open_disk(disk.clone()) {
            Ok((_, stored)) => assert_eq!(stored, bootstrap_state()),
            Err(error) => assert!(error.is_empty() && !created, "{error}"),
        }
        if !created {
            let again = Folder::create(disk, &bootstrap_state());
            assert!(matches!(again, Ok(_) | Err(StoreError::AlreadyOwned { .. })));
        }
    }
}

/// Guards against later writes being acknowledged on top of a write that the disk may have lost.
#[test]
fn a_failed_write_stops_the_folder() {
    let disk = FakeDisk::default();
    let mut folder = Folder::create(disk.clone(), &bootstrap_state()).unwrap();
    let writes = random_writes(3, 2);
    disk.fail_after(Some(0));
    assert!(matches!(folder.write(&writes[..1]), Err(StoreError::Io { .. })));
    disk.fail_after(None);
    assert!(
        matches!(folder.write(&writes[1..]), Err(StoreError::EarlierWriteFailed)),
        "the disk may have lost the first write"
    );
}

fn is_log(name: &str) -> bool {
    Path::new(name).extension().is_some_and(|extension| extension == "log")
}

fn is_snapshot(name: &str) -> bool {
    Path::new(name).extension().is_some_and(|extension| extension == "snap")
}

/// Returns a disk with several segments and snapshots, and the names of its files.
fn populated_disk() -> (FakeDisk, Vec<String>) {
    let disk = FakeDisk::default();
    let mut folder = Folder::create(disk.clone(), &bootstrap_state()).unwrap().with_segment_bytes(SEGMENT_BYTES);
    folder.write(&random_writes(8, 60)).unwrap();
    for write in random_writes(8, 90).split_off(60) {
        folder.write(&[write]).unwrap();
    }
    let names = disk.list().unwrap();
    (disk, names)
}

/// Guards against damage that goes unnoticed: flips a bit in every third byte of every file but the newest segment.
#[test]
fn damage_is_reported_with_file_and_offset() {
    let (disk, names) = populated_disk();
    let logs: Vec<_> = names.iter().filter(|name| is_log(name)).collect();
    let newest_snapshot = names.iter().rfind(|name| is_snapshot(name)).unwrap();
    assert!(logs.len() >= 2, "{names:?}");
    let intact = Folder::open_disk(disk.copy()).unwrap().1;
    let mut tried = 0;
    for name in names.iter().filter(|name| *name != *logs.last().unwrap()) {
        for at in (0..disk.length(name)).step_by(3) {
            let copy = disk.copy();
            copy.corrupt_byte(name, at);
            let reported = match Folder::open_disk(copy) {
                Err(StoreError::Damaged { file, offset, .. }) => file == *name && offset as usize <= at,
                Err(StoreError::Format { file, .. }) => file == *name && (8..12).contains(&at),
                // The older snapshot is not read while the newest is intact.
                Ok((_, stored)) => is_snapshot(name) && name != newest_snapshot && stored == intact,
                Err(_) => false,
            };
            assert!(reported, "byte {at} of {name}");
            tried += 1;
        }
    }
    assert!(tried > 200, "{tried}");
}

/// Guards against synced frames being dropped as a torn tail: flips a bit in every byte of the newest segment.
#[test]
fn damage_to_any_synced_frame_is_reported() {
    let disk = FakeDisk::default();
    let mut folder = Folder::create(disk.clone(), &bootstrap_state()).unwrap();
    let name = "000000000001.log";
    let mut end = 0;
    for number in 1..=10 {
        let id = LogId { term: Term(1), index: Index(number + 1) };
        let entry = LogEntry { id, payload: Payload::Command(vec![b'm'; 30].into()) };
        folder.write(&[Write { id: WriteId(number), ops: vec![Op::Append(vec![entry])] }]).unwrap();
        end = disk.length(name);
    }
    drop(folder);
    for at in 0..end {
        let copy = disk.copy();
        copy.corrupt_byte(name, at);
        match Folder::open_disk(copy) {
            Err(StoreError::Damaged { file, offset, .. }) => {
                assert!(file == name && offset as usize <= at, "byte {at}");
            }
            Err(StoreError::Format { .. }) => assert!((8..12).contains(&at)),
            Err(error) => panic!("byte {at}: {error}"),
            // Damage to the sync marker after the last frame loses no entry.
            Ok((_, stored)) => {
                assert!(at >= end - SYNC_MARKER_BYTES && stored.entries.len() == 10, "byte {at} of {end}");
            }
        }
    }
    // A cut within the last frame removes its sync marker too, which is what a crash before the sync leaves.
    let copy = disk.copy();
    copy.truncate(name, end - SYNC_MARKER_BYTES - 5);
    assert_eq!(Folder::open_disk(copy).unwrap().1.entries.len(), 9);
}

/// Guards against opening a folder, or creating a new one over it, when a segment or the identity file is missing.
#[test]
fn a_missing_file_is_reported() {
    let (disk, names) = populated_disk();
    let logs: Vec<_> = names.iter().filter(|name| is_log(name)).collect();
    let (newest, middle) = (logs[logs.len() - 1], logs[logs.len() - 2]);
    for name in [middle, "identity"] {
        let copy = disk.copy();
        copy.remove(name).unwrap();
        let error = Folder::open_disk(copy.clone()).expect_err(name);
        assert!(matches!(error, StoreError::Damaged { .. }), "{name}: {error}");
        assert!(Folder::create(copy, &bootstrap_state()).is_err(), "a folder that holds a log must not count as new");
    }
    assert!(newest > middle);
    // The older snapshot and the log after it still hold all entries if the newest snapshot is missing.
    let intact = Folder::open_disk(disk.copy()).unwrap().1;
    disk.remove(names.iter().rfind(|name| is_snapshot(name)).unwrap()).unwrap();
    let older = Folder::open_disk(disk).unwrap().1;
    assert!(older.base() < intact.base() && older.entries.ends_with(&intact.entries));
}

/// Guards against a folder that grows without limit: 3,000 writes leave 2 snapshots and fewer than 60 files.
#[test]
fn the_folder_stays_bounded() {
    let disk = FakeDisk::default();
    let mut folder = Folder::create(disk.clone(), &bootstrap_state()).unwrap().with_segment_bytes(SEGMENT_BYTES);
    for write in random_writes(4, 3_000) {
        folder.write(&[write]).unwrap();
    }
    let names = disk.list().unwrap();
    assert!(names.iter().filter(|name| is_snapshot(name)).count() == 2, "{names:?}");
    assert!(names.len() < 60, "{names:?}");
}

/// Guards against two processes on one folder, and against a host that resumes its old id on an emptied folder.
#[test]
fn the_folder_is_locked_and_its_host_id_is_not_reused() {
    let temp = tempfile::tempdir().unwrap();
    let folder = Folder::create(FolderDisk::open(temp.path()).unwrap(), &bootstrap_state()).unwrap();
    assert!(matches!(Folder::open(temp.path()), Err(StoreError::Locked { .. })));
    drop(folder);
    let again = Folder::create(FolderDisk::open(temp.path()).unwrap(), &bootstrap_state());
    assert!(matches!(again, Err(StoreError::AlreadyOwned { host: 1 })));
    let file = temp.path().join("identity");
    assert!(FolderDisk::open(&file).is_err(), "a file must not open as a folder");
    for name in std::fs::read_dir(temp.path()).unwrap() {
        std::fs::remove_file(name.unwrap().path()).unwrap();
    }
    assert!(Folder::open(temp.path()).unwrap_err().is_empty(), "an emptied folder must not open as the old host");
}

/// Guards against a host that stays out of its group for good after its disk was full for a moment: once the disk takes
/// writes again, the folder opens with all that was synced, and takes writes again.
#[test]
fn a_folder_reopens_after_a_failed_write() {
    let writes = random_writes(5, 30);
    for at in 0..90 {
        let disk = FakeDisk::default();
        let mut folder = Folder::create(disk.clone(), &bootstrap_state()).unwrap().with_segment_bytes(SEGMENT_BYTES);
        disk.fail_after(Some(at));
        let done = writes.iter().take_while(|write| folder.write(std::slice::from_ref(write)).is_ok()).count();
        assert!(done < writes.len(), "operation {at} of the writes fails");
        assert!(folder.reopen().is_err_and(|error| error.is_io()), "the disk still refuses writes");
        assert!(matches!(folder.write(&writes[done..]), Err(StoreError::EarlierWriteFailed)));
        disk.fail_after(None);
        let stored = folder.reopen().unwrap();
        let synced = writes[..done].iter().fold(bootstrap_state(), |stored, write| apply_all(&stored, &write.ops));
        let failed = &writes[done].ops;
        let is_prefix = (0..=failed.len()).any(|part| as_reopened(apply_all(&synced, &failed[..part])) == stored);
        assert!(is_prefix, "operation {at} failed after {done} writes; the folder holds an unexpected state");
        let tail = stored.entries.last().map_or(stored.base(), |entry| entry.id);
        let entry = LogEntry { id: LogId { index: tail.index.next(), ..tail }, payload: Payload::Blank };
        folder.write(&[Write { id: WriteId(1), ops: vec![Op::Append(vec![entry])] }]).unwrap();
        drop(folder);
        disk.crash(&mut Pcg64Mcg::seed_from_u64(at));
        assert_eq!(open(&disk).1.entries.len(), stored.entries.len() + 1, "operation {at} failed");
    }
}
