//! File operations in one folder, behind a trait so that tests can inject faults.

use crate::StoreError;
use crate::error::{IoSnafu, LockedSnafu};
use snafu::ResultExt;
use std::fmt::Debug;
use std::fs::{self, File, TryLockError};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The file operations that the store needs, all in one folder. Names are file names without a path.
pub trait Disk: Debug {
    /// A file that is open for appending.
    type File: DiskFile;

    /// Returns the names of all files in the folder, in any order.
    ///
    /// # Errors
    /// Any error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the whole content of a file.
    ///
    /// # Errors
    /// Any error of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file; replaces an existing file of that name.
    ///
    /// # Errors
    /// Any error of the file system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file; replaces an existing file of the new name.
    ///
    /// # Errors
    /// Any error of the file system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Any error of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// Any error of the file system.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A file that is open for appending.
pub trait DiskFile: Debug {
    /// Appends bytes, which are durable only after `sync`.
    ///
    /// # Errors
    /// Any error of the file system.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content durable.
    ///
    /// # Errors
    /// Any error of the file system. After an error the unsynced content must be treated as lost.
    fn sync(&mut self) -> io::Result<()>;
}

const LOCK_FILE: &str = "lock";

/// A folder of the file system, locked against other processes until this value and its clones are dropped.
#[derive(Debug, Clone)]
pub struct FolderDisk {
    path: PathBuf,
    _lock: Arc<File>,
}

impl FolderDisk {
    /// Opens and locks the folder; creates it if it does not exist.
    ///
    /// ```
    /// let temp = tempfile::tempdir()?;
    /// let disk = mangogw_store::FolderDisk::open(temp.path())?;
    /// assert!(mangogw_store::FolderDisk::open(temp.path()).is_err(), "locked");
    /// # drop(disk);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    /// [`StoreError::Locked`] if another process holds the lock; [`StoreError::Io`] if the folder or its lock file
    /// can't be created or locked.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, StoreError> {
        let path = path.as_ref().to_owned();
        fs::create_dir_all(&path).context(IoSnafu { operation: "create folder", file: path.display().to_string() })?;
        let file = path.join(LOCK_FILE);
        let io = IoSnafu { operation: "lock", file: file.display().to_string() };
        let lock = File::options().create(true).truncate(false).write(true).open(&file).context(io.clone())?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path, _lock: Arc::new(lock) }),
            Err(TryLockError::WouldBlock) => LockedSnafu { folder: path.display().to_string() }.fail(),
            Err(TryLockError::Error(error)) => Err(error).context(io),
        }
    }
}

impl Disk for FolderDisk {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()));
        names.collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl DiskFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
