//! The thread that writes the data folder, and the identity kept in it.

use mangogw_catalogue::Token;
use mangogw_model::HostId;
use mangogw_store::{DurableState, Folder, FolderDisk, FolderId, GroupId, Members, StoreError, Write, WriteId};
use snafu::{ResultExt, Snafu};
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// The file that holds the first administrator's token.
const TOKEN_FILE: &str = "admin.token";

/// Why the data folder can't be used.
#[derive(Debug, Snafu)]
pub enum BadFolder {
    /// The folder can't be made, read or written.
    #[snafu(display("--data {}: {source}; check that the folder exists, is writable and is not in use", path.display()))]
    Io {
        /// The folder or file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// What the folder holds can't be used.
    #[snafu(display("--data {}: {source}", path.display()))]
    Store {
        /// The folder.
        path: PathBuf,
        /// What is wrong.
        source: StoreError,
    },
    /// The folder belongs to another host.
    #[snafu(display("--data {}: the folder belongs to host {found}, not to --host-id {requested}", path.display()))]
    Foreign {
        /// The folder.
        path: PathBuf,
        /// The host it belongs to.
        found: HostId,
        /// The host that was asked for.
        requested: HostId,
    },
}

/// How a host takes part in the control group when its folder is new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootstrapMode {
    /// It founds a group.
    NewGroup,
    /// It waits to be taken into the group that its peers belong to.
    JoinGroup,
}

/// An open data folder with what it holds.
#[derive(Debug)]
pub struct OpenedFolder {
    /// The folder; none keeps the state in memory only.
    pub folder: Option<Folder>,
    /// What it holds.
    pub stored: DurableState,
    /// The first administrator's token.
    pub token: Option<Token>,
}

/// Opens the folder at `path`, or makes a new one.
///
/// # Errors
/// [`BadFolder`], which says what is wrong and what to do.
pub fn open(path: &Path, host: HostId, bootstrap_mode: BootstrapMode) -> Result<OpenedFolder, BadFolder> {
    let (folder, stored) = open_or_create(path, || new(host, bootstrap_mode))?;
    if stored.host != host {
        return ForeignSnafu { path, found: stored.host, requested: host }.fail();
    }
    let token = if bootstrap_mode == BootstrapMode::NewGroup { Some(token(path)?) } else { None };
    Ok(OpenedFolder { folder: Some(folder), stored, token })
}

/// Opens the folder at `path`; a new one begins with what `first` gives. The host that the folder belongs to is kept
/// in it.
///
/// # Errors
/// [`BadFolder`], which says what is wrong and what to do.
pub fn open_or_create(
    path: &Path,
    first: impl FnOnce() -> std::io::Result<DurableState>,
) -> Result<(Folder, DurableState), BadFolder> {
    fs::create_dir_all(path).context(IoSnafu { path })?;
    match Folder::open(path) {
        Ok(held) => Ok(held),
        Err(StoreError::Empty) => {
            let stored = first().context(IoSnafu { path })?;
            let disk = FolderDisk::open(path).context(StoreSnafu { path })?;
            let folder = Folder::create(disk, &stored).context(StoreSnafu { path })?;
            log::info!(host = stored.host.0, path = path.display().to_string(); "disk: new data folder");
            Ok((folder, stored))
        }
        Err(source) => Err(BadFolder::Store { path: path.to_owned(), source }),
    }
}

/// A group of one that lives in memory only.
///
/// # Errors
/// What the system said when random numbers were drawn.
pub fn in_memory(host: HostId) -> std::io::Result<OpenedFolder> {
    Ok(OpenedFolder { folder: None, stored: new(host, BootstrapMode::NewGroup)?, token: Some(random_token()?) })
}

fn new(host: HostId, bootstrap_mode: BootstrapMode) -> std::io::Result<DurableState> {
    let birth = FolderId(random_id()?);
    Ok(match bootstrap_mode {
        BootstrapMode::JoinGroup => DurableState::joining(host, birth),
        BootstrapMode::NewGroup => {
            let members = Members::from_voters([(host, birth)]);
            DurableState::bootstrap(host, birth, GroupId(random_id()?), members, bytes::Bytes::new())
        }
    })
}

fn token(path: &Path) -> Result<Token, BadFolder> {
    let file = path.join(TOKEN_FILE);
    let kept = fs::read_to_string(&file).ok().and_then(|text| text.trim().parse().ok());
    if let Some(token) = kept {
        return Ok(token);
    }
    let token = random_token().context(IoSnafu { path: &file })?;
    write_private(&file, &token.to_text()).context(IoSnafu { path: &file })?;
    log::info!(file = file.display().to_string(); "disk: the first administrator's token was written");
    Ok(token)
}

/// A token of random numbers of the system.
///
/// # Errors
/// What the system said.
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

/// A number of random bits of the system, never 0.
///
/// # Errors
/// What the system said.
pub fn random_id() -> std::io::Result<u64> {
    let mut bytes = [0; 8];
    fill_random(&mut bytes)?;
    // 0 stands for "none" in the store.
    Ok(u64::from_le_bytes(bytes) | 1)
}

/// Random numbers from the system.
fn fill_random(bytes: &mut [u8]) -> std::io::Result<()> {
    fs::File::open("/dev/urandom")?.read_exact(bytes)
}

/// What became of writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStatus {
    /// Everything up to this write is durable.
    UpTo(WriteId),
    /// The folder can't be written any more.
    Failed,
}

/// Starts the thread that writes `folder`. Writes that wait are written together; `done` hears of each batch.
///
/// # Errors
/// What the system said when the thread was started.
pub fn spawn(mut folder: Folder, done: impl Fn(WriteStatus) + Send + 'static) -> std::io::Result<Sender<Write>> {
    let (sender, receiver) = channel();
    thread::Builder::new().name("disk".to_owned()).spawn(move || {
        while let Some(batch) = next_batch(&receiver) {
            let last = batch.last().map(|write| write.id);
            match (folder.write(&batch), last) {
                (Ok(()), Some(last)) => done(WriteStatus::UpTo(last)),
                (Ok(()), None) => {}
                (Err(error), _) => {
                    log::error!(error:%; "disk: the data folder can't be written; this host left the control group");
                    return done(WriteStatus::Failed);
                }
            }
        }
    })?;
    Ok(sender)
}

/// The next write and all that wait behind it; none once the host is gone.
fn next_batch(receiver: &Receiver<Write>) -> Option<Vec<Write>> {
    let mut batch = vec![receiver.recv().ok()?];
    batch.extend(receiver.try_iter());
    Some(batch)
}
