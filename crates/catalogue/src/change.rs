//! What a command changed: the value before and the value after.

use crate::field::Record;
use crate::print::inline;
use crate::token::{Shift, TokenId, TokenView};
use mangogw_model::{Entry, EntryName, Owner, Team};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// One change; a missing `before` is an addition, a missing `after` a removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// An entry.
    Entry {
        /// Its name.
        name: EntryName,
        /// What stood there.
        before: Option<Arc<Entry>>,
        /// What stands there now.
        after: Option<Arc<Entry>>,
    },
    /// An owner with its quota.
    Owner {
        /// Its name.
        name: Owner,
        /// What stood there.
        before: Option<Team>,
        /// What stands there now.
        after: Option<Team>,
    },
    /// The state of the shift.
    Shift {
        /// The state until then.
        before: Shift,
        /// The state from then on.
        after: Shift,
    },
    /// A token.
    Token {
        /// Its public id.
        id: TokenId,
        /// What was known of it.
        before: Option<TokenView>,
        /// What is known of it now.
        after: Option<TokenView>,
    },
}

impl Change {
    /// The change that undoes this one.
    #[must_use]
    pub(crate) fn reversed(self) -> Self {
        match self {
            Self::Entry { name, before, after } => Self::Entry { name, before: after, after: before },
            Self::Owner { name, before, after } => Self::Owner { name, before: after, after: before },
            Self::Shift { before, after } => Self::Shift { before: after, after: before },
            Self::Token { id, before, after } => Self::Token { id, before: after, after: before },
        }
    }

    /// The name of what changed.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let new = Catalogue::parse("[owners.gates]\n").expect("it has no faults");
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

/// The fields that differ, each as `name old -> new`.
fn fields<T: Record>(before: &T, after: &T) -> Vec<String> {
    let differs = |field: &&crate::field::Field<T>| field.print(before) != field.print(after);
    let show =
        |field: &crate::field::Field<T>| format!("{} {} -> {}", field.path(), field.print(before), field.print(after));
    T::fields().iter().filter(differs).map(show).collect()
}

/// The changes that lead from one catalogue to another, owners first, names in order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Diff(pub(crate) Vec<Change>);

impl Diff {
    /// The changes.
    pub fn iter(&self) -> impl Iterator<Item = &Change> {
        self.0.iter()
    }

    /// True if nothing differs.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|change| writeln!(f, "{change}"))
    }
}
