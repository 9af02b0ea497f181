//! The replicated log of the control group: Raft as published, as a state machine without I/O, and its durable store.
//!
//! # Structure
//!
//! - [`Raft`] is the state machine. Its inputs are [`Raft::on_message`], [`Raft::on_tick`], [`Raft::on_synced`],
//!   [`Raft::on_failed`], [`Raft::propose`], [`Raft::read`], [`Raft::change_membership`], [`Raft::transfer`] and
//!   [`Raft::compact`]. After each input, or after a batch of them, [`Raft::drain`] returns the [`Output`]s to carry
//!   out in order.
//! - [`Folder`] stores [`Write`]s. It blocks, so it runs on a separate thread that takes all waiting writes, calls
//!   [`Folder::write`] once, then passes the id of the last write to [`Raft::on_synced`], or calls [`Raft::on_failed`].
//!   After that, [`Folder::reopen`] returns the state to open a new [`Raft`] from.
//! - [`Message`]s are plain `serde` data. They may be lost, delayed, duplicated and reordered.
//!
//! The caller must keep to these rules:
//!
//! - Carry out the outputs of one drain in order; [`Output::Send`] need not wait for an earlier [`Output::Write`].
//! - [`Output::Restore`] replaces the applied state; [`Output::Apply`] adds to it. A proposal is answered when its
//!   [`Tag`] comes back in an [`AppliedEntry`], or by [`Output::Refused`].
//! - [`Refusal::Unsure`] means that the outcome is unknown: the proposal may still be committed. The applied state
//!   detects duplicates by the idempotency key in the command.
//! - On [`Output::Compact`], pass the applied state and the index of its last entry to [`Raft::compact`].
//! - A host whose folder is [`StoreError::Empty`] joins with [`DurableState::joining`] under a host id that was never
//!   used. The group identifies members by host id and [`FolderId`]; answers of a host with an old id and a new folder
//!   are dropped.
//!
//! # Example
//!
//! A group of one voter with a data folder on the file system:
//!
//! ```
//! use mangogw_model::{HostId, Time};
//! use mangogw_store::{DurableState, Folder, FolderDisk, FolderId, GroupId, Members, Output, Raft, Settings, Tag};
//!
//! let temp = tempfile::tempdir()?;
//! let (host, folder_id) = (HostId(1), FolderId(0x1234));
//! let members = Members::from_voters([(host, folder_id)]);
//! let stored = DurableState::bootstrap(host, folder_id, GroupId(77), members, Default::default());
//! let mut folder = Folder::create(FolderDisk::open(temp.path())?, &stored)?;
//! let mut raft = Raft::open(Settings::default(), stored, Time::ZERO);
//!
//! let mut state = Vec::new();
//! for step in 1..10 {
//!     let now = Time::from_millis(step * 10);
//!     raft.on_tick(now);
//!     if step == 5 {
//!         raft.propose(now, "set limit 7".into(), Tag(1));
//!     }
//!     for output in raft.drain() {
//!         match output {
//!             Output::Write(write) => {
//!                 folder.write(std::slice::from_ref(&write))?;
//!                 raft.on_synced(now, write.id);
//!             }
//!             Output::Apply { entries } => state.extend(entries.iter().filter_map(|entry| entry.command().cloned())),
//!             _ => {}
//!         }
//!     }
//! }
//! assert_eq!(state, ["set limit 7"]);
//!
//! drop(folder);
//! let (_, stored) = Folder::open(temp.path())?;
//! assert_eq!(stored.entries.len(), 2, "the leader's blank entry and the command");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod backup;
mod disk;
mod durable_state;
mod error;
mod files;
mod folder;
mod frame;
mod log;
mod members;
mod message;
mod output;
mod progress;
mod raft;
mod replay;
mod settings;
mod types;

pub use backup::Backup;
pub use disk::{Disk, DiskFile, FolderDisk};
pub use durable_state::DurableState;
pub use error::StoreError;
pub use folder::Folder;
pub use log::{LogEntry, Payload};
pub use members::{MAX_VOTERS, Members, MembershipChange, host_list};
pub use message::{Body, Message, Snapshot, SnapshotMeta};
pub use output::{AppliedEntry, HardState, Op, Output, Refusal, Role, Write};
pub use raft::{PeerStatus, Raft, Status};
pub use settings::Settings;
pub use types::{FolderId, GroupId, Index, LogId, Tag, Term, WriteId};
