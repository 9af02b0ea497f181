//! The data folder against crashes, failing disks and damage.

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
/// Bytes after a frame that say that it was synced.
const SYNC_MARKER_BYTES: usize = 16;

fn bootstrap_state() -> DurableState {
    let (host, folder_id) = (HostId(1), FolderId(11));
    DurableState::bootstrap(host, folder_id, GroupId(7), Members::from_voters([(host, folder_id)]), "first".into())
}

/// The naive version: applies an operation to what is stored.
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

/// The same folder seen by its host: a snapshot carries its commit index and term with it.
fn as_reopened(mut stored: DurableState) -> DurableState {
    let base = stored.base();
    stored.hard_state.commit = stored.hard_state.commit.max(base.index);
    if stored.hard_state.term < base.term {
        stored.hard_state.term = base.term;
        stored.hard_state.vote = None;
    }
    stored
}

/// A random script of writes that a voter could ask for.
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

#[test]
fn a_crash_at_any_operation_keeps_what_was_synced() {
    let writes = random_writes(5, 300);
    let run = |disk: &FakeDisk, writes: &[Write]| -> usize {
        let Ok((folder, _)) = Folder::open_disk(disk.clone()) else { return 0 };
        let mut folder = folder.with_segment_bytes(SEGMENT_BYTES);
        writes.iter().take_while(|write| folder.write(std::slice::from_ref(write)).is_ok()).count()
    };
    let fresh = FakeDisk::default();
    drop(Folder::create(fresh.clone(), &bootstrap_state()).unwrap());
    let whole = fresh.copy();
    assert_eq!(run(&whole, &writes), writes.len());
    let operations = whole.ops();
    assert!(operations > 800, "{operations}");
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for at in 0..operations {
        let disk = fresh.copy();
        disk.fail_after(Some(at));
        let done = run(&disk, &writes);
        disk.crash(&mut rng);
        let (_, found) = open(&disk);
        let synced = writes[..done].iter().fold(bootstrap_state(), |stored, write| apply_all(&stored, &write.ops));
        let failed = writes.get(done).map_or(&[][..], |write| &write.ops);
        let may_be = (0..=failed.len()).any(|part| as_reopened(apply_all(&synced, &failed[..part])) == found);
        assert!(may_be, "a crash at operation {at}, after {done} writes, left another state");
        // A second crash while it opens again, then on to the end.
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

#[test]
fn a_creation_cut_short_leaves_an_empty_folder() {
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

/// A folder of several segments, a snapshot and its files.
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

#[test]
fn damage_is_refused_with_file_and_offset() {
    let (disk, names) = populated_disk();
    let logs: Vec<_> = names.iter().filter(|name| is_log(name)).collect();
    let newest_snapshot = names.iter().rfind(|name| is_snapshot(name)).unwrap();
    assert!(logs.len() >= 2, "{names:?}");
    let whole = Folder::open_disk(disk.copy()).unwrap().1;
    let mut tried = 0;
    for name in names.iter().filter(|name| *name != *logs.last().unwrap()) {
        for at in (0..disk.length(name)).step_by(3) {
            let copy = disk.copy();
            copy.corrupt_byte(name, at);
            let refused = match Folder::open_disk(copy) {
                Err(StoreError::Damaged { file, offset, .. }) => file == *name && offset as usize <= at,
                Err(StoreError::Format { file, .. }) => file == *name && (8..12).contains(&at),
                // An older snapshot is not read while the newest is whole.
                Ok((_, stored)) => is_snapshot(name) && name != newest_snapshot && stored == whole,
                Err(_) => false,
            };
            assert!(refused, "byte {at} of {name}");
            tried += 1;
        }
    }
    assert!(tried > 200, "{tried}");
}

#[test]
fn damage_to_anything_synced_is_refused_to_the_last_frame() {
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
            // The mark after the last frame: nothing is lost with it.
            Ok((_, stored)) => {
                assert!(at >= end - SYNC_MARKER_BYTES && stored.entries.len() == 10, "byte {at} of {end}");
            }
        }
    }
    // Cut within the last frame, its mark is gone too: that is what a crash before the sync leaves.
    let copy = disk.copy();
    copy.truncate(name, end - SYNC_MARKER_BYTES - 5);
    assert_eq!(Folder::open_disk(copy).unwrap().1.entries.len(), 9);
}

#[test]
fn a_missing_file_is_refused() {
    let (disk, names) = populated_disk();
    let logs: Vec<_> = names.iter().filter(|name| is_log(name)).collect();
    let (newest, middle) = (logs[logs.len() - 1], logs[logs.len() - 2]);
    for name in [middle, "identity"] {
        let copy = disk.copy();
        copy.remove(name).unwrap();
        let error = Folder::open_disk(copy.clone()).expect_err(name);
        assert!(matches!(error, StoreError::Damaged { .. }), "{name}: {error}");
        assert!(Folder::create(copy, &bootstrap_state()).is_err(), "a folder with a log is never taken for a new one");
    }
    assert!(newest > middle);
    // The snapshot before the newest is kept, and the log from there on: together they still hold everything.
    let whole = Folder::open_disk(disk.copy()).unwrap().1;
    disk.remove(names.iter().rfind(|name| is_snapshot(name)).unwrap()).unwrap();
    let older = Folder::open_disk(disk).unwrap().1;
    assert!(older.base() < whole.base() && older.entries.ends_with(&whole.entries));
}

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

#[test]
fn one_process_holds_the_folder_and_no_old_id_is_taken_up_again() {
    let temp = tempfile::tempdir().unwrap();
    let folder = Folder::create(FolderDisk::open(temp.path()).unwrap(), &bootstrap_state()).unwrap();
    assert!(matches!(Folder::open(temp.path()), Err(StoreError::Locked { .. })));
    drop(folder);
    let again = Folder::create(FolderDisk::open(temp.path()).unwrap(), &bootstrap_state());
    assert!(matches!(again, Err(StoreError::AlreadyOwned { host: 1 })));
    let file = temp.path().join("identity");
    assert!(FolderDisk::open(&file).is_err(), "a file is no folder");
    for name in std::fs::read_dir(temp.path()).unwrap() {
        std::fs::remove_file(name.unwrap().path()).unwrap();
    }
    assert!(Folder::open(temp.path()).unwrap_err().is_empty(), "an emptied folder does not pass for the old host");
}
