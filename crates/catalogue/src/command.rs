//! Commands of the replicated log, replies to them, and their encoding.

use crate::token::{Role, TokenHash, TokenId};
use indexmap::IndexMap;
use mangogw_model::{Code, Entry, EntryName, Key, Owner, Team, Version};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use std::sync::Arc;

/// Format number of an encoded command, stored as its first byte.
const COMMAND_FORMAT: u8 = 1;

/// Maximum length of an encoded command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 8 * 1024 * 1024;

/// One command of the replicated log.
///
/// ```
/// use mangogw_catalogue::{Action, Caller, Command};
///
/// let command = Command::new(1_000, Caller::Bootstrap, Action::Shift { open: true });
/// assert_eq!(Command::decode(&command.encode()).expect("valid command"), command);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Time at which the leader accepted the command, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Caller that issued the command.
    pub caller: Caller,
    /// Network address of the caller; empty if unknown.
    pub from: String,
    /// Idempotency key, if the caller sent one.
    pub key: Option<Key>,
    /// Catalogue version that the edit is based on, from `If-Match`.
    pub base: Option<Version>,
    /// Action that the caller requested.
    pub action: Action,
}

/// Caller of a command; the leader has checked the secret, and the state checks that the token is still valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// A caller without a valid token; the command only records the refused attempt.
    Anonymous,
    /// The host itself, which issues the first administrator's token.
    Bootstrap,
    /// Holder of this token.
    Token(TokenId),
}

/// Requested action of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Adds or replaces one entry.
    Put {
        /// Name of the entry.
        name: EntryName,
        /// New contents of the entry.
        entry: Box<Entry>,
    },
    /// Deletes one entry.
    Delete {
        /// Name of the entry.
        name: EntryName,
    },
    /// Adds or replaces one owner with its quota.
    PutOwner {
        /// Name of the owner.
        name: Owner,
        /// Weight and quota of the owner.
        team: Team,
    },
    /// Deletes one owner that has no entry.
    DeleteOwner {
        /// Name of the owner.
        name: Owner,
    },
    /// Replaces all owners and entries at once.
    Apply {
        /// Owners after the command; others are deleted.
        owners: IndexMap<Owner, Team>,
        /// Entries after the command; others are deleted.
        entries: IndexMap<EntryName, Arc<Entry>>,
    },
    /// Restores the contents of an earlier version as a new version.
    Rollback {
        /// Version to restore.
        to: Version,
    },
    /// Opens or closes the shift.
    Shift {
        /// True to open it.
        open: bool,
    },
    /// Issues a token.
    Issue {
        /// Public id of the token.
        id: TokenId,
        /// Salted hash of the secret.
        hash: TokenHash,
        /// Name of the holder.
        name: String,
        /// Role of the holder.
        role: Role,
        /// Expiry time, in milliseconds since the Unix epoch.
        expires_ms: u64,
    },
    /// Revokes a token.
    Revoke {
        /// Public id of the token.
        id: TokenId,
    },
    /// Records an attempt that was refused before it reached the log.
    Refused {
        /// Result code of the refusal, encoded as its number.
        #[serde(with = "code_number")]
        code: Code,
        /// The attempted action and the reason for the refusal.
        description: String,
        /// Number of earlier refused attempts that were not sent to the log.
        skipped: u64,
    },
}

impl Action {
    /// Name of the action in the audit trail.
    pub const fn verb(&self) -> &'static str {
        match self {
            Self::Put { .. } => "put",
            Self::Delete { .. } => "delete",
            Self::PutOwner { .. } => "put-owner",
            Self::DeleteOwner { .. } => "delete-owner",
            Self::Apply { .. } => "apply",
            Self::Rollback { .. } => "rollback",
            Self::Shift { open: true } => "shift-open",
            Self::Shift { open: false } => "shift-close",
            Self::Issue { .. } => "issue",
            Self::Revoke { .. } => "revoke",
            Self::Refused { .. } => "refused",
        }
    }

    /// Target of the action in the audit trail, such as `entries.gate-scan`.
    pub fn target(&self) -> String {
        match self {
            Self::Put { name, .. } | Self::Delete { name } => format!("entries.{name}"),
            Self::PutOwner { name, .. } | Self::DeleteOwner { name } => format!("owners.{name}"),
            Self::Apply { .. } => "catalogue".to_owned(),
            Self::Rollback { to } => format!("version {to}"),
            Self::Shift { .. } => "shift".to_owned(),
            Self::Issue { id, .. } | Self::Revoke { id } => format!("tokens.{id}"),
            Self::Refused { description, .. } => description.clone(),
        }
    }

    /// Returns true if the action changes the catalogue.
    pub(crate) const fn is_edit(&self) -> bool {
        !matches!(self, Self::Shift { .. } | Self::Issue { .. } | Self::Revoke { .. } | Self::Refused { .. })
    }
}

/// Reply to a command; a resend with the same idempotency key gets the same reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Result code of the command.
    #[serde(with = "code_number")]
    pub code: Code,
    /// Version of the catalogue after the command.
    pub version: Version,
    /// Explanation for operators; may be empty.
    pub detail: String,
}

/// Reason why bytes could not be decoded as a command or a snapshot.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum DecodeError {
    /// The input is longer than allowed.
    #[snafu(display("there are {bytes} bytes; at most {limit} are allowed"))]
    TooLong {
        /// Length of the input, in bytes.
        bytes: usize,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The input is empty.
    #[snafu(display("there are no bytes"))]
    Empty,
    /// The format number is unknown to this program.
    #[snafu(display("the format is {found}; this program reads {supported}"))]
    Format {
        /// Format number in the input.
        found: u8,
        /// Format number that this program reads.
        supported: u8,
    },
    /// The input is corrupt.
    #[snafu(display("the bytes are damaged: {source}"))]
    Damaged {
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The input continues after the encoded value.
    #[snafu(display("{bytes} bytes are left over"))]
    LeftOver {
        /// Number of bytes after the value.
        bytes: usize,
    },
}

impl Command {
    /// Creates a command without source address, idempotency key and base version.
    pub const fn new(at_ms: u64, caller: Caller, action: Action) -> Self {
        Self { at_ms, caller, from: String::new(), key: None, base: None, action }
    }

    /// Encodes the command.
    pub fn encode(&self) -> Vec<u8> {
        encode(COMMAND_FORMAT, self)
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// Returns the reason if the bytes are not exactly one valid command.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        decode(COMMAND_FORMAT, MAX_COMMAND_BYTES, bytes)
    }
}

/// Encodes `value`, preceded by the format number.
pub(crate) fn encode<T: Serialize>(format: u8, value: &T) -> Vec<u8> {
    // Encoding fails only for a map of unknown length or a failing writer; neither occurs here.
    postcard::to_extend(value, vec![format]).unwrap_or_default()
}

/// Decodes a value that [`encode`] wrote; rejects more than `limit` bytes, another format, and trailing bytes.
pub(crate) fn decode<T: for<'de> Deserialize<'de>>(format: u8, limit: usize, bytes: &[u8]) -> Result<T, DecodeError> {
    snafu::ensure!(bytes.len() <= limit, TooLongSnafu { bytes: bytes.len(), limit });
    let (found, rest) = bytes.split_first().context(EmptySnafu)?;
    snafu::ensure!(*found == format, FormatSnafu { found: *found, supported: format });
    let (value, left) = postcard::take_from_bytes(rest).context(DamagedSnafu)?;
    snafu::ensure!(left.is_empty(), LeftOverSnafu { bytes: left.len() });
    Ok(value)
}

/// Encodes a result code as its number, which never changes, unlike its position in the table of codes.
pub(crate) mod code_number {
    use super::{Code, Deserialize, Deserializer, Serialize, Serializer};
    use serde::de::Error;

    #[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
    pub(crate) fn serialize<S: Serializer>(code: &Code, serializer: S) -> Result<S::Ok, S::Error> {
        code.number().serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Code, D::Error> {
        let number = u16::deserialize(deserializer)?;
        Code::from_number(number).ok_or_else(|| D::Error::custom("no such result code"))
    }
}
