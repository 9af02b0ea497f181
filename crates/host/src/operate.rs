//! What operators ask, and what they are told.

use mangogw_catalogue::{Action, AuditQuery, Reply as Changed};
use mangogw_model::{Code, EntryName, HostId, Key, Version};
use serde::{Deserialize, Serialize};

/// A call of an operator. It is answered by the leader of the control group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The bearer token; empty if none was given.
    pub token: String,
    /// The address it came from.
    pub client_address: String,
    /// What is asked.
    pub kind: CallKind,
}

/// What an operator asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallKind {
    /// A change of the control state.
    Change {
        /// The idempotency key.
        key: Option<Key>,
        /// The version it is based on.
        base: Option<Version>,
        /// The change.
        action: Box<Action>,
    },
    /// A read of the control state, current as of the call.
    Read(ControlQuery),
    /// Removes a host from the control group.
    Remove(HostId),
    /// Hands the lead of the control group to this host.
    Transfer(HostId),
}

/// What can be read of the control state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlQuery {
    /// The whole catalogue, as JSON or TOML.
    Catalogue {
        /// True for TOML.
        toml: bool,
        /// An earlier version; the current one if missing.
        version: Option<Version>,
    },
    /// One entry, as JSON.
    Entry(EntryName),
    /// The records that made versions, newest first.
    History,
    /// The audit trail, as JSON lines.
    Audit(Box<AuditQuery>),
    /// The tokens, without secrets.
    Tokens,
    /// Whether a shift is open.
    Shift,
    /// The control group.
    Group,
    /// The ownership table.
    Ownership,
}

/// What an operator is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// What became of a change.
    Changed(Changed),
    /// What was read: JSON, JSON lines or TOML.
    Read {
        /// The version of the catalogue.
        version: Version,
        /// The text.
        body: String,
    },
    /// It is done.
    Done,
    /// It was refused.
    Refused {
        /// Why.
        code: Code,
        /// What is wrong in this case.
        detail: String,
    },
}

impl OperatorReply {
    /// A refusal with a detail for people.
    pub fn refused(code: Code, detail: impl Into<String>) -> Self {
        Self::Refused { code, detail: detail.into() }
    }
}
