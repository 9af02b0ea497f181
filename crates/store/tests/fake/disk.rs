//! An in-memory disk that loses unsynced data in a crash and can inject faults.

use mangogw_store::{Disk, DiskFile};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Debug, Default, Clone)]
struct Content {
    bytes: Vec<u8>,
    /// Bytes that are durable, counted from the start.
    synced: usize,
}

type Inode = Rc<RefCell<Content>>;

#[derive(Debug, Clone)]
enum DirectoryOp {
    Link(String, Inode),
    Unlink(String),
}

#[derive(Debug, Default)]
struct State {
    /// The directory as the store sees it.
    names: BTreeMap<String, Inode>,
    /// The directory as of the last sync.
    durable: BTreeMap<String, Inode>,
    /// Directory operations since the last sync.
    pending: Vec<DirectoryOp>,
    /// Operations that still succeed, after which all fail; `None` for no limit.
    ops_left: Option<u64>,
    /// Number of operations so far, so that a test can crash at each of them.
    ops: u64,
    /// True if syncs return success without making anything durable.
    ignores_sync: bool,
}

/// A handle to the disk; clones share it.
#[derive(Debug, Clone, Default)]
pub struct FakeDisk(Rc<RefCell<State>>);

/// A file of a [`FakeDisk`].
#[derive(Debug)]
pub struct FakeFile(Rc<RefCell<State>>, Inode);

impl State {
    fn count_op(&mut self) -> io::Result<()> {
        self.ops += 1;
        match &mut self.ops_left {
            Some(0) => Err(io::Error::other("no space left on device (injected)")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn apply_op(&mut self, op: DirectoryOp) {
        apply(&mut self.names, &op);
        self.pending.push(op);
    }
}

fn apply(names: &mut BTreeMap<String, Inode>, op: &DirectoryOp) {
    match op {
        DirectoryOp::Link(name, inode) => names.insert(name.clone(), Rc::clone(inode)),
        DirectoryOp::Unlink(name) => names.remove(name),
    };
}

impl FakeDisk {
    /// Fails every operation after the next `ops`; `None` ends the failures.
    pub fn fail_after(&self, ops: Option<u64>) {
        self.0.borrow_mut().ops_left = ops;
    }

    /// Returns the number of operations so far.
    pub fn ops(&self) -> u64 {
        self.0.borrow().ops
    }

    /// Makes all later syncs return success without making anything durable.
    pub fn ignore_syncs(&self) {
        self.0.borrow_mut().ignores_sync = true;
    }

    /// Simulates a power failure: unsynced data is lost, torn or kept at random.
    pub fn crash(&self, rng: &mut Pcg64Mcg) {
        let mut state = self.0.borrow_mut();
        let kept = rng.random_range(0..=state.pending.len());
        let pending = std::mem::take(&mut state.pending);
        for op in &pending[..kept] {
            apply(&mut state.durable, op);
        }
        state.names = state.durable.clone();
        state.ops_left = None;
        for inode in state.names.values() {
            tear_unsynced(&mut inode.borrow_mut(), rng);
        }
    }

    /// Flips one bit in the byte at `at`.
    pub fn corrupt_byte(&self, name: &str, at: usize) {
        self.0.borrow().names[name].borrow_mut().bytes[at] ^= 0x40;
    }

    /// Truncates a file to `length` bytes.
    pub fn truncate(&self, name: &str, length: usize) {
        self.0.borrow().names[name].borrow_mut().bytes.truncate(length);
    }

    /// Returns the length of a file in bytes.
    pub fn length(&self, name: &str) -> usize {
        self.0.borrow().names[name].borrow().bytes.len()
    }

    /// Returns an independent copy of the disk, with all content durable and no faults.
    pub fn copy(&self) -> Self {
        let state = self.0.borrow();
        let names =
            state.names.iter().map(|(name, inode)| (name.clone(), Rc::new(RefCell::new(inode.borrow().clone()))));
        let names: BTreeMap<_, _> = names.collect();
        Self(Rc::new(RefCell::new(State { durable: names.clone(), names, ..State::default() })))
    }
}

/// Truncates the unsynced part at a random position and, in half of the cases, zeroes up to 64 bytes of the rest.
fn tear_unsynced(content: &mut Content, rng: &mut Pcg64Mcg) {
    let (synced, length) = (content.synced, content.bytes.len());
    content.bytes.truncate(rng.random_range(synced..=length));
    if content.bytes.len() > synced && rng.random_bool(0.5) {
        let from = rng.random_range(synced..content.bytes.len());
        let to = content.bytes.len().min(from + 64);
        content.bytes[from..to].fill(0);
    }
    content.synced = content.bytes.len();
}

impl Disk for FakeDisk {
    type File = FakeFile;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.0.borrow();
        let inode = state.names.get(name).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        let bytes = inode.borrow().bytes.clone();
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<FakeFile> {
        let mut state = self.0.borrow_mut();
        state.count_op()?;
        let inode = Inode::default();
        state.apply_op(DirectoryOp::Link(name.to_owned(), Rc::clone(&inode)));
        Ok(FakeFile(Rc::clone(&self.0), inode))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_op()?;
        let inode = state.names.get(from).cloned().ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        state.apply_op(DirectoryOp::Link(to.to_owned(), inode));
        state.apply_op(DirectoryOp::Unlink(from.to_owned()));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_op()?;
        state.apply_op(DirectoryOp::Unlink(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_op()?;
        if !state.ignores_sync {
            state.pending.clear();
            state.durable = state.names.clone();
        }
        Ok(())
    }
}

impl DiskFile for FakeFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let failed = self.0.borrow_mut().count_op();
        // A write that fails may still have written a part of the bytes.
        let part = if failed.is_ok() { bytes.len() } else { bytes.len() / 2 };
        self.1.borrow_mut().bytes.extend_from_slice(&bytes[..part]);
        failed
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.borrow_mut().count_op()?;
        let mut content = self.1.borrow_mut();
        if !self.0.borrow().ignores_sync {
            content.synced = content.bytes.len();
        }
        Ok(())
    }
}
