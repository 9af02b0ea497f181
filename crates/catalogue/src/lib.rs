//! The catalogue of entries and owners, changes to it, and the control state that the control group replicates.
//!
//! This crate does no I/O and reads no clock: callers pass in bytes and the current time.
//!
//! ```
//! use mangogw_catalogue::Catalogue;
//!
//! let text = r#"
//! [owners.gates]
//!
//! [entries.gate-scan]
//! owner = "gates"
//! class = "urgent"
//! deadline_ms = 800
//! "#;
//! let catalogue = Catalogue::parse(text).expect("valid catalogue");
//! assert_eq!(catalogue.entry(&"gate-scan".into()).expect("entry exists").deadline_ms, 800);
//!
//! let faults = Catalogue::parse("[entries.gate-scan]\ndeadline_ms = 0\n").expect_err("two faults");
//! assert_eq!(faults.to_string().lines().count(), 2, "missing owner, and a deadline out of bounds");
//! ```

mod audit;
mod audit_limiter;
mod catalogue;
mod change;
mod check;
mod command;
mod control;
mod delta;
mod digest;
mod export;
mod fault;
mod field;
mod json;
mod name;
mod node;
mod plan;
mod print;
mod read;
mod reply_cache;
mod tables;
mod token;
mod toml_text;

pub use audit::{AuditHead, AuditQuery, AuditRecord, ChainError, ChainHash, ExportLine};
pub use audit_limiter::AuditLimiter;
pub use catalogue::{Catalogue, MAX_ENTRIES, MAX_OWNERS, MAX_TEXT_BYTES, parse_entry, parse_entry_json};
pub use change::{Change, Diff};
pub use command::{Action, Caller, Command, DecodeError, MAX_COMMAND_BYTES, Reply};
pub use control::{Control, MAX_KEY_BYTES, MAX_SNAPSHOT_BYTES, RetentionLimits};
pub use delta::{Delta, Edit, InstallError, InstallOutcome};
pub use digest::Digest;
pub use export::{ExportSummary, verify_export};
pub use fault::{Fault, Faults};
pub use field::{FieldInfo, entry_fields, owner_fields};
pub use name::{MAX_NAME_BYTES, NAME_RULE, valid_name};
pub use print::print_entry;
pub use token::{BadToken, Principal, Role, Session, Shift, Token, TokenHash, TokenId, TokenView};
