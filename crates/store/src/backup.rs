//! Backups: a snapshot saved to a file, and a new group restored from it.

use crate::disk::FolderDisk;
use crate::error::IoSnafu;
use crate::files;
use crate::{DurableState, Folder, FolderId, GroupId, Snapshot, StoreError};
use mangogw_model::HostId;
use snafu::ResultExt;
use std::fs::{self, File};
use std::io::Write as _;
use std::path::Path;

/// A snapshot that is kept in a file outside the data folder, as `mangogw snapshot` saves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backup {
    /// The applied state, with the last entry applied and the members as of that entry.
    pub snapshot: Snapshot,
}

impl Backup {
    /// Saves the backup atomically to a new file: writes and syncs a temporary file, then renames it.
    ///
    /// ```
    /// use mangogw_store::{Backup, LogId, Members, Snapshot};
    ///
    /// let temp = tempfile::tempdir()?;
    /// let file = temp.path().join("monday.backup");
    /// let backup = Backup { snapshot: Snapshot::new(LogId::default(), Members::default(), "state".into()) };
    /// backup.save(&file)?;
    /// assert_eq!(Backup::load(&file)?, backup);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    /// [`StoreError::Io`] if a file operation fails or the file already exists.
    pub fn save(&self, path: impl AsRef<Path>) -> Result<(), StoreError> {
        let path = path.as_ref();
        let temp = path.with_added_extension("tmp");
        let io = |operation| IoSnafu { operation, file: path.display().to_string() };
        let exists = || Err(std::io::Error::from(std::io::ErrorKind::AlreadyExists));
        if path.exists() {
            return exists().context(io("replace"));
        }
        let mut file = File::create(&temp).context(io("create"))?;
        file.write_all(&files::encode_snapshot(&self.snapshot)).context(io("write"))?;
        file.sync_all().context(io("sync"))?;
        fs::rename(&temp, path).context(io("rename"))?;
        let folder = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(folder).and_then(|folder| folder.sync_all()).context(io("sync the folder of"))
    }

    /// Reads a backup and verifies its checksums.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] with the offset, [`StoreError::Format`] or [`StoreError::Io`].
    pub fn load(path: impl AsRef<Path>) -> Result<Self, StoreError> {
        let name = path.as_ref().display().to_string();
        let bytes = fs::read(path).context(IoSnafu { operation: "read", file: &name })?;
        Ok(Self { snapshot: files::decode_snapshot(&name, bytes)? })
    }

    /// Bootstraps a new group of one voter from the backup, in the empty data folder at `path`. The caller draws
    /// `group` and `folder_id` at random; terms and indices continue from those of the backup.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{Backup, Folder, FolderId, GroupId, LogId, Members, Snapshot};
    ///
    /// let temp = tempfile::tempdir()?;
    /// let backup = Backup { snapshot: Snapshot::new(LogId::default(), Members::default(), "state".into()) };
    /// drop(backup.restore(temp.path(), HostId(9), FolderId(5), GroupId(6))?);
    /// let (_, stored) = Folder::open(temp.path())?;
    /// assert!(stored.members().is_voter(HostId(9)));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    /// [`StoreError::AlreadyOwned`] if the folder already belongs to a host, and the other errors of
    /// [`FolderDisk::open`] and [`Folder::create`].
    pub fn restore(
        self,
        path: impl AsRef<Path>,
        host: HostId,
        folder_id: FolderId,
        group: GroupId,
    ) -> Result<Folder, StoreError> {
        Folder::create(FolderDisk::open(path)?, &DurableState::from_backup(host, folder_id, group, &self.snapshot))
    }
}
