//! Priority classes of traffic.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Priority class of an entry's traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Served first; must be answered before the deadline or refused at once.
    Urgent,
    /// Served after urgent traffic.
    #[default]
    Normal,
    /// Served with the remaining capacity, but never starved.
    Batch,
}

impl Class {
    /// All classes, in the order in which they are served.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Returns the position in [`Class::ALL`].
    ///
    /// ```
    /// assert_eq!(mangogw_model::Class::Normal.index(), 1);
    /// ```
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in catalogues and metrics.
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
