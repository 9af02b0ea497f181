//! Changes made by a command, each with the value before and after, and the diff of two catalogues.

use crate::field::Record;
use crate::print::inline;
use crate::token::{Shift, TokenId, TokenView};
use mangogw_model::{Entry, EntryName, Owner, Team};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// One change; `before` is absent for an addition, `after` for a removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Change of an entry.
    Entry {
        /// Name of the entry.
        name: EntryName,
        /// Entry before the change; absent if it was added.
        before: Option<Arc<Entry>>,
        /// Entry after the change; absent if it was removed.
        after: Option<Arc<Entry>>,
    },
    /// Change of an owner.
    Owner {
        /// Name of the owner.
        name: Owner,
        /// Weight and quota before the change; absent if the owner was added.
        before: Option<Team>,
        /// Weight and quota after the change; absent if the owner was removed.
        after: Option<Team>,
    },
    /// The shift was opened or closed.
    Shift {
        /// Shift state before the change.
        before: Shift,
        /// Shift state after the change.
        after: Shift,
    },
    /// A token was issued, revoked or removed.
    Token {
        /// Public id of the token.
        id: TokenId,
        /// Holder and expiry before the change; absent if the token was issued.
        before: Option<TokenView>,
        /// Holder and expiry after the change; absent if the token was removed.
        after: Option<TokenView>,
    },
}

impl Change {
    /// Returns the change that undoes this one.
    #[must_use]
    pub(crate) fn reversed(self) -> Self {
        match self {
            Self::Entry { name, before, after } => Self::Entry { name, before: after, after: before },
            Self::Owner { name, before, after } => Self::Owner { name, before: after, after: before },
            Self::Shift { before, after } => Self::Shift { before: after, after: before },
            Self::Token { id, before, after } => Self::Token { id, before: after, after: before },
        }
    }

    /// Path of the changed object, such as `entries.gate-scan`.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let new = Catalogue::parse("[owners.gates]\n").expect("valid catalogue");
    /// let changes = Catalogue::default().diff(&new);
    /// assert_eq!(changes.iter().next().map(|change| change.target()), Some("owners.gates".to_owned()));
    /// ```
    pub fn target(&self) -> String {
        match self {
            Self::Entry { name, .. } => format!("{}.{name}", Entry::TABLE),
            Self::Owner { name, .. } => format!("{}.{name}", Team::TABLE),
            Self::Shift { .. } => "shift".to_owned(),
            Self::Token { id, .. } => format!("tokens.{id}"),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let target = self.target();
        match self {
            Self::Entry { before, after, .. } => record(f, &target, before.as_deref(), after.as_deref()),
            Self::Owner { before, after, .. } => record(f, &target, before.as_ref(), after.as_ref()),
            Self::Shift { before, after } => write!(f, "~ {target}: {before} -> {after}"),
            Self::Token { before, after, .. } => match (before, after) {
                (_, Some(after)) => write!(f, "+ {target}: {after}"),
                (Some(before), None) => write!(f, "- {target}: {before}"),
                (None, None) => write!(f, "  {target}"),
            },
        }
    }
}

fn record<T: Record>(f: &mut fmt::Formatter<'_>, target: &str, before: Option<&T>, after: Option<&T>) -> fmt::Result {
    match (before, after) {
        (None, Some(after)) => write!(f, "+ {target}: {}", inline(after)),
        (Some(before), None) => write!(f, "- {target}: {}", inline(before)),
        (Some(before), Some(after)) => write!(f, "~ {target}: {}", fields(before, after).join(", ")),
        (None, None) => write!(f, "  {target}"),
    }
}

/// Lists the fields that differ, each as `name old -> new`.
fn fields<T: Record>(before: &T, after: &T) -> Vec<String> {
    let differs = |field: &&crate::field::Field<T>| field.print(before) != field.print(after);
    let show =
        |field: &crate::field::Field<T>| format!("{} {} -> {}", field.path(), field.print(before), field.print(after));
    T::fields().iter().filter(differs).map(show).collect()
}

/// Changes that turn one catalogue into another: owners first, then entries, each ordered by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Diff(pub(crate) Vec<Change>);

impl Diff {
    /// Changes in the order in which they are printed.
    pub fn iter(&self) -> impl Iterator<Item = &Change> {
        self.0.iter()
    }

    /// Returns true if the catalogues are equal.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|change| writeln!(f, "{change}"))
    }
}
