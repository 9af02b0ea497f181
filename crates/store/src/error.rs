//! Errors of the durable store.

use snafu::Snafu;
use std::io;

/// Errors of opening, reading or writing the durable store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// A file operation failed.
    #[snafu(display("store: can't {operation} {file}: {source}"))]
    Io {
        /// The operation, as a verb for the error text.
        operation: &'static str,
        /// Name or path of the file.
        file: String,
        /// The error of the file system.
        source: io::Error,
    },
    /// Another process has locked the data folder.
    #[snafu(display("store: {folder} is in use by another process; stop it or use another folder"))]
    Locked {
        /// Path of the folder.
        folder: String,
    },
    /// A file or the log does not hold what was synced.
    #[snafu(display(
        "store: {file} is damaged at byte {offset}: {problem}; keep the folder aside and replace this host by a new one"
    ))]
    Damaged {
        /// Name or path of the file.
        file: String,
        /// Offset in bytes at which the damage starts.
        offset: u64,
        /// What is wrong with the content.
        problem: String,
    },
    /// A file has a format version that this release does not read.
    #[snafu(display("store: {file} has format version {found}; this release reads version {known}"))]
    Format {
        /// Name or path of the file.
        file: String,
        /// Format version of the file.
        found: u32,
        /// Format version that this release reads.
        known: u32,
    },
    /// The data folder holds no identity file: the folder is new, or its disk was replaced.
    #[snafu(display("store: the folder is empty; a host whose disk was lost joins under a new id"))]
    Empty,
    /// The data folder already belongs to a host.
    #[snafu(display("store: the folder already belongs to host {host}"))]
    AlreadyOwned {
        /// Id of that host.
        host: u64,
    },
    /// Writes were submitted out of order: the outputs of the state machine were not carried out in order.
    #[snafu(display("store: write {id} was handed in after write {previous}"))]
    OutOfOrder {
        /// Id of the rejected write.
        id: u64,
        /// Id of the last write accepted before it.
        previous: u64,
    },
    /// An earlier write failed, so the content of the disk is unknown until the folder is opened again.
    #[snafu(display("store: an earlier write failed and the folder was not opened again"))]
    EarlierWriteFailed,
}

impl StoreError {
    /// Returns true if the disk refused an operation, which it may carry out later.
    pub const fn is_io(&self) -> bool {
        matches!(self, Self::Io { .. })
    }

    /// Returns true if the error is [`StoreError::Empty`].
    pub const fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }
}
