//! Opens or creates the data folder of a host, and writes it in a thread of its own.

use mangogw_catalogue::Token;
use mangogw_model::HostId;
use mangogw_store::{Disk, DurableState, Folder, FolderDisk, FolderId, GroupId, Members, StoreError, Write, WriteId};
use snafu::{ResultExt, Snafu};
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// File in the data folder that holds the first administrator's token.
const TOKEN_FILE: &str = "admin.token";

/// Time between a failed write and opening the folder again, and between two attempts to open it.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Reason why the data folder can't be used.
#[derive(Debug, Snafu)]
pub enum BadFolder {
    /// The folder can't be created, read or written.
    #[snafu(display("--data {}: {source}; check that the folder exists, is writable and is not in use", path.display()))]
    Io {
        /// Path of the folder or file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The contents of the folder can't be used.
    #[snafu(display("--data {}: {source}", path.display()))]
    Store {
        /// Path of the folder.
        path: PathBuf,
        /// Fault found in the contents.
        source: StoreError,
    },
    /// The folder belongs to another host.
    #[snafu(display("--data {}: the folder belongs to host {found}, not to --host-id {requested}", path.display()))]
    Foreign {
        /// Path of the folder.
        path: PathBuf,
        /// Host that the folder belongs to.
        found: HostId,
        /// Host given by `--host-id`.
        requested: HostId,
    },
}

/// Way in which a host with a new folder becomes a member of a control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootstrapMode {
    /// Founds a group.
    NewGroup,
    /// Waits until the group of its peers adds it as a member.
    JoinGroup,
}

/// Open data folder and its contents.
#[derive(Debug)]
pub struct OpenedFolder {
    /// Folder to write to; `None` keeps the state in memory only.
    pub folder: Option<Folder>,
    /// State that was read from the folder.
    pub stored: DurableState,
    /// Token of the first administrator; `None` on a host that joins a group.
    pub token: Option<Token>,
}

/// Opens the folder at `path`, or creates it.
///
/// # Errors
/// [`BadFolder`], which names the fault and the remedy.
pub fn open(path: &Path, host: HostId, bootstrap_mode: BootstrapMode) -> Result<OpenedFolder, BadFolder> {
    let (folder, stored) = open_or_create(path, || new_state(host, bootstrap_mode))?;
    if stored.host != host {
        return ForeignSnafu { path, found: stored.host, requested: host }.fail();
    }
    let token = if bootstrap_mode == BootstrapMode::NewGroup { Some(read_or_create_token(path)?) } else { None };
    Ok(OpenedFolder { folder: Some(folder), stored, token })
}

/// Opens the folder at `path`, or creates it with the state that `initial_state` returns. That state names the host
/// that the folder belongs to.
///
/// # Errors
/// [`BadFolder`], which names the fault and the remedy.
pub fn open_or_create(
    path: &Path,
    initial_state: impl FnOnce() -> std::io::Result<DurableState>,
) -> Result<(Folder, DurableState), BadFolder> {
    fs::create_dir_all(path).context(IoSnafu { path })?;
    match Folder::open(path) {
        Ok(opened) => Ok(opened),
        Err(StoreError::Empty) => {
            let stored = initial_state().context(IoSnafu { path })?;
            let disk = FolderDisk::open(path).context(StoreSnafu { path })?;
            let folder = Folder::create(disk, &stored).context(StoreSnafu { path })?;
            log::info!(host = stored.host.0, path = path.display().to_string(); "disk: created a new data folder");
            Ok((folder, stored))
        }
        Err(source) => Err(BadFolder::Store { path: path.to_owned(), source }),
    }
}

/// Returns the state of a new control group with one member, stored in memory only.
///
/// # Errors
/// Error of the operating system if random numbers can't be read.
pub fn in_memory(host: HostId) -> std::io::Result<OpenedFolder> {
    Ok(OpenedFolder { folder: None, stored: new_state(host, BootstrapMode::NewGroup)?, token: Some(random_token()?) })
}

fn new_state(host: HostId, bootstrap_mode: BootstrapMode) -> std::io::Result<DurableState> {
    let folder_id = FolderId(random_id()?);
    Ok(match bootstrap_mode {
        BootstrapMode::JoinGroup => DurableState::joining(host, folder_id),
        BootstrapMode::NewGroup => {
            let members = Members::from_voters([(host, folder_id)]);
            DurableState::bootstrap(host, folder_id, GroupId(random_id()?), members, bytes::Bytes::new())
        }
    })
}

fn read_or_create_token(path: &Path) -> Result<Token, BadFolder> {
    let file = path.join(TOKEN_FILE);
    let stored = fs::read_to_string(&file).ok().and_then(|text| text.trim().parse().ok());
    if let Some(token) = stored {
        return Ok(token);
    }
    let token = random_token().context(IoSnafu { path: &file })?;
    write_private(&file, &token.to_text()).context(IoSnafu { path: &file })?;
    log::info!(file = file.display().to_string(); "disk: wrote the token of the first administrator");
    Ok(token)
}

/// Returns a token made of random numbers of the operating system.
///
/// # Errors
/// Error of the operating system if random numbers can't be read.
pub fn random_token() -> std::io::Result<Token> {
    let (mut id, mut secret) = ([0; 16], [0; 32]);
    fill_random(&mut id)?;
    fill_random(&mut secret)?;
    Ok(Token::from_random(u128::from_le_bytes(id), secret))
}

fn write_private(file: &Path, text: &str) -> std::io::Result<()> {
    use std::io::Write as _;
    use std::os::unix::fs::OpenOptionsExt;
    let mut out = fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(file)?;
    writeln!(out, "{text}")?;
    out.sync_all()
}

/// Returns a random number of the operating system that is never 0.
///
/// # Errors
/// Error of the operating system if random numbers can't be read.
pub fn random_id() -> std::io::Result<u64> {
    let mut bytes = [0; 8];
    fill_random(&mut bytes)?;
    // The store reads 0 as "none".
    Ok(u64::from_le_bytes(bytes) | 1)
}

/// Fills `bytes` with random numbers of the operating system.
fn fill_random(bytes: &mut [u8]) -> std::io::Result<()> {
    fs::File::open("/dev/urandom")?.read_exact(bytes)
}

/// Event of a data folder, in the order in which it happened.
#[derive(Debug)]
pub enum DiskEvent {
    /// All writes up to and including this one are durable.
    Synced(WriteId),
    /// A write failed; the folder takes no further writes.
    Failed,
    /// The folder takes writes again, through a new queue. Writes in the earlier queue are dropped.
    Reopened {
        /// State that was read from the disk.
        stored: DurableState,
        /// Queue of the writes from now on.
        writes: Sender<Write>,
    },
}

/// Starts the thread that writes `folder`, and returns the queue of writes. Queued writes are written as one batch, and
/// `report` is called with the result of each batch. After a failed write the folder is opened again as soon as the disk
/// allows it.
///
/// # Errors
/// Error of the operating system if the thread can't be started.
pub fn spawn<D>(folder: Folder<D>, report: impl Fn(DiskEvent) + Send + 'static) -> std::io::Result<Sender<Write>>
where
    D: Disk<File: Send> + Clone + Send + 'static,
{
    let (sender, receiver) = channel();
    thread::Builder::new().name("disk".to_owned()).spawn(move || run(folder, receiver, report))?;
    Ok(sender)
}

/// Writes the folder until the host has been dropped, or until its contents can't be used.
fn run<D: Disk + Clone>(mut folder: Folder<D>, mut queue: Receiver<Write>, report: impl Fn(DiskEvent)) {
    while let Err(error) = write_queued(&mut folder, &queue, &report) {
        log::error!(error:%; "disk: failed to write the data folder; this host leaves the control group for now");
        report(DiskEvent::Failed);
        let Some(stored) = reopen(&mut folder, &queue) else { return };
        let (writes, receiver) = channel();
        queue = receiver;
        report(DiskEvent::Reopened { stored, writes });
    }
}

/// Writes the queue in batches. Returns once the host has been dropped.
fn write_queued<D: Disk>(
    folder: &mut Folder<D>,
    queue: &Receiver<Write>,
    report: &impl Fn(DiskEvent),
) -> Result<(), StoreError> {
    while let Ok(first) = queue.recv() {
        let mut batch = vec![first];
        batch.extend(queue.try_iter());
        folder.write(&batch)?;
        batch.last().into_iter().for_each(|last| report(DiskEvent::Synced(last.id)));
    }
    Ok(())
}

/// Opens the folder again, however long the disk refuses that. Drops the queued writes, which belong to the state before
/// the failure. Returns `None` once the host has been dropped, or if the contents can't be used.
fn reopen<D: Disk + Clone>(folder: &mut Folder<D>, queue: &Receiver<Write>) -> Option<DurableState> {
    loop {
        let due = Instant::now() + REOPEN_INTERVAL;
        loop {
            match queue.recv_timeout(due.saturating_duration_since(Instant::now())) {
                Ok(_dropped) => {}
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => return None,
            }
        }
        match folder.reopen() {
            Ok(stored) => {
                log::info!(host = stored.host.0; "disk: opened the data folder again");
                return Some(stored);
            }
            Err(error) if error.is_io() => log::warn!(error:%; "disk: the data folder can't be opened again yet"),
            Err(error) => {
                log::error!(error:%; "disk: the data folder can't be used; this host stays out of the control group");
                return None;
            }
        }
    }
}
