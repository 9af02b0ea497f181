//! Calls of operators and the replies to them.

use mangogw_catalogue::{Action, AuditQuery, Reply as Changed};
use mangogw_model::{Code, EntryName, HostId, Key, Version};
use serde::{Deserialize, Serialize};

/// A call of an operator, answered by the leader of the control group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The bearer token; empty if none was given.
    pub token: String,
    /// The address of the client that made the call.
    pub client_address: String,
    /// Operation that the operator requests.
    pub kind: CallKind,
}

/// The operation that an operator requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallKind {
    /// A change of the control state.
    Change {
        /// The idempotency key; `None` if the operator gave none.
        key: Option<Key>,
        /// The catalogue version that the change is based on; `None` if the operator gave none.
        base: Option<Version>,
        /// Change to apply to the control state.
        action: Box<Action>,
    },
    /// A linearizable read of the control state.
    Read(ControlQuery),
    /// Removes a host from the control group.
    Remove(HostId),
    /// Transfers the leadership of the control group to this host.
    Transfer(HostId),
}

/// A query of the control state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlQuery {
    /// The whole catalogue, as JSON or TOML.
    Catalogue {
        /// True for TOML, false for JSON.
        toml: bool,
        /// An earlier version; `None` for the current one.
        version: Option<Version>,
    },
    /// One entry, as JSON.
    Entry(EntryName),
    /// The records of changes that created versions, newest first.
    History,
    /// The audit trail, as JSON lines.
    Audit(Box<AuditQuery>),
    /// The tokens without their secrets.
    Tokens,
    /// The state of the shift.
    Shift,
    /// The leader, term and members of the control group.
    Group,
    /// The ownership table.
    Ownership,
}

/// Reply to an operator's call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// Result of a change.
    Changed(Changed),
    /// Result of a read, as JSON, JSON lines or TOML.
    Read {
        /// The version of the catalogue.
        version: Version,
        /// Result as text in the requested format.
        body: String,
    },
    /// The call was carried out; the reply has no content.
    Done,
    /// The call was refused.
    Refused {
        /// Code of the reason.
        code: Code,
        /// Human-readable details of this case.
        detail: String,
    },
}

impl OperatorReply {
    /// Creates a refusal with human-readable details.
    pub fn refused(code: Code, detail: impl Into<String>) -> Self {
        Self::Refused { code, detail: detail.into() }
    }
}
