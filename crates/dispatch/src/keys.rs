//! Queries for the keys of entries and the announcements of targets.

use crate::{Dispatch, EntryKey, TargetKey};
use mangogw_model::Announcement;

impl Dispatch {
    /// Returns the keys of all entries of the installed catalogue.
    ///
    /// ```
    /// use mangogw_dispatch::{Dispatch, Settings};
    /// assert_eq!(Dispatch::open(Settings::default()).entry_keys().count(), 0);
    /// ```
    pub fn entry_keys(&self) -> impl Iterator<Item = EntryKey> {
        self.names.values().copied()
    }

    /// Returns the last announcement of a target, or `None` if the target is not known.
    pub fn announcement(&self, key: TargetKey) -> Option<&Announcement> {
        self.targets.get(key).map(|row| &row.announcement)
    }
}
