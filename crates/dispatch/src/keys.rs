//! Looking things up by their keys, and the keys themselves.

use crate::{Dispatch, EntryKey, TargetKey};
use mangogw_model::Announcement;

impl Dispatch {
    /// The entries of the catalogue in force.
    ///
    /// ```
    /// use mangogw_dispatch::{Dispatch, Settings};
    /// assert_eq!(Dispatch::open(Settings::default()).entry_keys().count(), 0);
    /// ```
    pub fn entry_keys(&self) -> impl Iterator<Item = EntryKey> {
        self.names.values().copied()
    }

    /// What a target said of itself.
    pub fn announcement(&self, key: TargetKey) -> Option<&Announcement> {
        self.targets.get(key).map(|row| &row.announcement)
    }
}
