//! Priority classes.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The priority of an entry's traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Served first; must be answered in time or refused at once.
    Urgent,
    /// Served after urgent traffic.
    #[default]
    Normal,
    /// Served with what is left, yet never starved.
    Batch,
}

impl Class {
    /// All classes, first served first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// The position in [`Class::ALL`].
    ///
    /// ```
    /// assert_eq!(mangogw_model::Class::Normal.index(), 1);
    /// ```
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The name used in catalogues and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
