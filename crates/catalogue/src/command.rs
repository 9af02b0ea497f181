//! The commands of the replicated log and the answers to them.

use crate::token::{Role, TokenHash, TokenId};
use indexmap::IndexMap;
use mangogw_model::{Code, Entry, EntryName, Key, Owner, Team, Version};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use std::sync::Arc;

/// The format that commands are written in; it stands before each.
const COMMAND_FORMAT: u8 = 1;

/// The longest encoded command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 8 * 1024 * 1024;

/// One command of the replicated log.
///
/// ```
/// use mangogw_catalogue::{Action, Caller, Command};
///
/// let command = Command::new(1_000, Caller::Bootstrap, Action::Shift { open: true });
/// assert_eq!(Command::decode(&command.encode()).expect("it is whole"), command);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// When the leader took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who asks.
    pub caller: Caller,
    /// The address it came from.
    pub from: String,
    /// The idempotency key, if it has one.
    pub key: Option<Key>,
    /// The version it is based on, from `If-Match`.
    pub base: Option<Version>,
    /// What is asked.
    pub action: Action,
}

/// Who asks for a change. The leader has checked the secret; the state checks that the token still stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// Nobody with a valid token; only to record the try.
    Anonymous,
    /// The host itself, to issue the first administrator's token.
    Bootstrap,
    /// The holder of this token.
    Token(TokenId),
}

/// What is asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Puts one entry.
    Put {
        /// Its name.
        name: EntryName,
        /// The entry.
        entry: Box<Entry>,
    },
    /// Deletes one entry.
    Delete {
        /// Its name.
        name: EntryName,
    },
    /// Puts one owner with its quota.
    PutOwner {
        /// Its name.
        name: Owner,
        /// Its weight and quota.
        team: Team,
    },
    /// Deletes one owner that has no entry.
    DeleteOwner {
        /// Its name.
        name: Owner,
    },
    /// Replaces the whole set at once.
    Apply {
        /// Every owner.
        owners: IndexMap<Owner, Team>,
        /// Every entry.
        entries: IndexMap<EntryName, Arc<Entry>>,
    },
    /// Makes an earlier version the new one.
    Rollback {
        /// The earlier version.
        to: Version,
    },
    /// Opens or closes the shift.
    Shift {
        /// True to open it.
        open: bool,
    },
    /// Issues a token.
    Issue {
        /// Its public part.
        id: TokenId,
        /// The salted hash of its secret.
        hash: TokenHash,
        /// The name of its holder.
        name: String,
        /// What its holder may do.
        role: Role,
        /// When it ends, in milliseconds since the Unix epoch.
        expires_ms: u64,
    },
    /// Revokes a token.
    Revoke {
        /// Its public part.
        id: TokenId,
    },
    /// Records a try that was refused before it came here.
    Refused {
        /// The number of the code it was refused with.
        #[serde(with = "code_number")]
        code: Code,
        /// What was tried and why it was refused.
        description: String,
        /// Tries that were held back before this one.
        skipped: u64,
    },
}

impl Action {
    /// The word the audit trail has for it.
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

    /// What it is about.
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

    /// True if it changes the catalogue.
    pub(crate) const fn is_edit(&self) -> bool {
        !matches!(self, Self::Shift { .. } | Self::Issue { .. } | Self::Revoke { .. } | Self::Refused { .. })
    }
}

/// The answer to a command; a resend gets the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// What became of it.
    #[serde(with = "code_number")]
    pub code: Code,
    /// The version of the catalogue after it.
    pub version: Version,
    /// More about it, for people; may be empty.
    pub detail: String,
}

/// Why bytes are no command or no snapshot.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum DecodeError {
    /// There are more bytes than allowed.
    #[snafu(display("there are {bytes} bytes; at most {limit} are allowed"))]
    TooLong {
        /// How many there are.
        bytes: usize,
        /// How many are allowed.
        limit: usize,
    },
    /// There are none.
    #[snafu(display("there are no bytes"))]
    Empty,
    /// A format this program does not know.
    #[snafu(display("the format is {found}; this program reads {supported}"))]
    Format {
        /// The format found.
        found: u8,
        /// The format it reads.
        supported: u8,
    },
    /// The bytes are damaged.
    #[snafu(display("the bytes are damaged: {source}"))]
    Damaged {
        /// What the decoder said.
        source: postcard::Error,
    },
    /// Bytes are left over.
    #[snafu(display("{bytes} bytes are left over"))]
    LeftOver {
        /// How many.
        bytes: usize,
    },
}

impl Command {
    /// A command without key and base.
    pub const fn new(at_ms: u64, caller: Caller, action: Action) -> Self {
        Self { at_ms, caller, from: String::new(), key: None, base: None, action }
    }

    /// The bytes of the command.
    pub fn encode(&self) -> Vec<u8> {
        encode(COMMAND_FORMAT, self)
    }

    /// The command of these bytes.
    ///
    /// # Errors
    ///
    /// Why they are no command.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        decode(COMMAND_FORMAT, MAX_COMMAND_BYTES, bytes)
    }
}

/// A value behind the number of its format.
pub(crate) fn encode<T: Serialize>(format: u8, value: &T) -> Vec<u8> {
    // Only a map of unknown length or a broken writer fails here, and neither occurs.
    postcard::to_extend(value, vec![format]).unwrap_or_default()
}

/// The value of bytes that `encode` gave.
pub(crate) fn decode<T: for<'de> Deserialize<'de>>(format: u8, limit: usize, bytes: &[u8]) -> Result<T, DecodeError> {
    snafu::ensure!(bytes.len() <= limit, TooLongSnafu { bytes: bytes.len(), limit });
    let (found, rest) = bytes.split_first().context(EmptySnafu)?;
    snafu::ensure!(*found == format, FormatSnafu { found: *found, supported: format });
    let (value, left) = postcard::take_from_bytes(rest).context(DamagedSnafu)?;
    snafu::ensure!(left.is_empty(), LeftOverSnafu { bytes: left.len() });
    Ok(value)
}

/// Result codes by their number, which, unlike their place in the table, never changes.
pub(crate) mod code_number {
    use super::{Code, Deserialize, Deserializer, Serialize, Serializer};
    use serde::de::Error;

    #[expect(clippy::trivially_copy_pass_by_ref, reason = "serde hands a reference over")]
    pub(crate) fn serialize<S: Serializer>(code: &Code, serializer: S) -> Result<S::Ok, S::Error> {
        code.number().serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Code, D::Error> {
        let number = u16::deserialize(deserializer)?;
        Code::from_number(number).ok_or_else(|| D::Error::custom("no such result code"))
    }
}
