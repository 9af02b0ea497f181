//! Errors of the durable store.

use snafu::Snafu;
use std::io;

/// Why the store can't be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The file system refused.
    #[snafu(display("store: can't {operation} {file}: {source}"))]
    Io {
        /// The operation.
        operation: &'static str,
        /// The file.
        file: String,
        /// The reason.
        source: io::Error,
    },
    /// Another process holds the folder.
    #[snafu(display("store: {folder} is in use by another process; stop it or use another folder"))]
    Locked {
        /// The folder.
        folder: String,
    },
    /// A file does not hold what was synced to it.
    #[snafu(display(
        "store: {file} is damaged at byte {offset}: {problem}; keep the folder aside and replace this host by a new one"
    ))]
    Damaged {
        /// The file.
        file: String,
        /// Where the damage begins, in bytes.
        offset: u64,
        /// What is wrong.
        problem: String,
    },
    /// A file of a format that this release does not know.
    #[snafu(display("store: {file} has format version {found}; this release reads version {known}"))]
    Format {
        /// The file.
        file: String,
        /// Its version.
        found: u32,
        /// The version of this release.
        known: u32,
    },
    /// The folder holds no identity: it is new, or its disk was replaced.
    #[snafu(display("store: the folder is empty; a host whose disk was lost joins under a new id"))]
    Empty,
    /// The folder already belongs to a host.
    #[snafu(display("store: the folder already belongs to host {host}"))]
    AlreadyOwned {
        /// The host.
        host: u64,
    },
    /// Writes were handed in out of order: outputs of the state machine were not carried out in order.
    #[snafu(display("store: write {id} was handed in after write {previous}"))]
    OutOfOrder {
        /// The write.
        id: u64,
        /// The write before it.
        previous: u64,
    },
    /// An earlier write failed; what the disk holds is not known until the folder is opened again.
    #[snafu(display("store: an earlier write failed; restart once the disk is mended"))]
    EarlierWriteFailed,
}

impl StoreError {
    /// True if the folder is new or was emptied.
    pub const fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }
}
