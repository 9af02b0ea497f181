//! Deltas between versions of a catalogue, and their installation, which never lowers the version.

use crate::catalogue::Catalogue;
use crate::change::{Change, Diff};
use crate::check;
use crate::digest::Digest;
use crate::fault::Faults;
use indexmap::IndexMap;
use mangogw_model::{Entry, EntryName, Owner, Team, Version};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// New value of one record, or its removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit<N, T> {
    /// Name of the record.
    pub name: N,
    /// New value; absent if the record is removed.
    pub value: Option<T>,
}

/// Edits that bring a catalogue at any version from `from` up to `to`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Lowest version on which the delta can be installed.
    pub from: Version,
    /// Version after the installation.
    pub to: Version,
    /// True if the delta holds all records, so that it can be installed on any lower version.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Digest of the catalogue at `to`.
    pub digest: Digest,
    /// Owners that were added, replaced or deleted.
    pub owners: Vec<Edit<Owner, Team>>,
    /// Entries that were added, replaced or deleted.
    pub entries: Vec<Edit<EntryName, Arc<Entry>>>,
}

/// Outcome of an installation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The catalogue was updated to this version.
    Updated(Version),
    /// The catalogue was already at the delta's version or a higher one, and stays at this version.
    Unchanged(Version),
}

/// Reason why a delta was not installed; the catalogue is unchanged.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum InstallError {
    /// Versions in between are missing; request a delta from `current`.
    #[snafu(display("the delta begins at version {base}, the catalogue is at {current}"))]
    Gap {
        /// Version of the catalogue.
        current: Version,
        /// Lowest version on which the delta can be installed.
        base: Version,
    },
    /// The result differs from the sender's catalogue; request a full delta.
    #[snafu(display("version {to} came out different from the sender's"))]
    Diverged {
        /// Version after the delta.
        to: Version,
    },
    /// The delta contains invalid records.
    #[snafu(display("the delta has faults: {faults}"))]
    Faulty {
        /// Faults of the records.
        faults: Faults,
    },
}

impl Delta {
    /// Creates a full delta with all records of `catalogue`.
    ///
    /// ```
    /// use mangogw_catalogue::{Catalogue, Delta, InstallOutcome};
    ///
    /// let source = Catalogue::parse("version = 4\n[owners.gates]\n").expect("valid catalogue");
    /// let mut copy = Catalogue::default();
    /// let installed = copy.install(&Delta::full(&source)).expect("installs on every lower version");
    /// assert_eq!(installed, InstallOutcome::Updated(source.version()));
    /// assert_eq!(copy, source);
    /// ```
    pub fn full(catalogue: &Catalogue) -> Self {
        let mut delta = Self::collect(&Catalogue::default().diff(catalogue).0);
        delta.full = true;
        delta.finish(Version::default(), catalogue)
    }

    /// Merges `changes` into a delta from `from` to `catalogue`; the last change of each record wins.
    pub(crate) fn merge(from: Version, changes: &[Change], catalogue: &Catalogue) -> Self {
        Self::collect(changes).finish(from, catalogue)
    }

    /// Checks the names and bounds of the records; a missing owner is detected by the digest instead.
    fn check(&self) -> Result<(), Faults> {
        let mut faults = Faults::default();
        for edit in &self.owners {
            edit.value.iter().for_each(|team| check::check_record(&mut faults, edit.name.as_str(), team));
        }
        for edit in &self.entries {
            edit.value.iter().for_each(|entry| check::check_record(&mut faults, edit.name.as_str(), entry.as_ref()));
        }
        faults.into_result()
    }

    fn finish(mut self, from: Version, catalogue: &Catalogue) -> Self {
        self.from = from;
        self.to = catalogue.version();
        self.digest = catalogue.digest();
        self
    }

    fn collect(changes: &[Change]) -> Self {
        let mut owners = IndexMap::new();
        let mut entries = IndexMap::new();
        for change in changes {
            match change {
                Change::Owner { name, after, .. } => drop(owners.insert(name.clone(), after.clone())),
                Change::Entry { name, after, .. } => drop(entries.insert(name.clone(), after.clone())),
                Change::Shift { .. } | Change::Token { .. } => {}
            }
        }
        Self { owners: edits(owners), entries: edits(entries), ..Self::default() }
    }
}

fn edits<N, T>(map: IndexMap<N, Option<T>>) -> Vec<Edit<N, T>> {
    map.into_iter().map(|(name, value)| Edit { name, value }).collect()
}

impl Catalogue {
    /// Returns the changes that turn `self` into `other`.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let old = Catalogue::parse("[owners.gates]\n").expect("valid catalogue");
    /// let new = Catalogue::parse("[owners.gates]\nweight = 3\n").expect("valid catalogue");
    /// assert_eq!(old.diff(&new).to_string(), "~ owners.gates: weight 1 -> 3\n");
    /// ```
    pub fn diff(&self, other: &Self) -> Diff {
        let mut changes = Vec::new();
        for name in names(&self.owners, &other.owners) {
            let (before, after) = (self.owners.get(name).cloned(), other.owners.get(name).cloned());
            changes.extend((before != after).then(|| Change::Owner { name: name.clone(), before, after }));
        }
        for name in names(&self.entries, &other.entries) {
            let (before, after) = (self.entries.get(name).cloned(), other.entries.get(name).cloned());
            changes.extend((before != after).then(|| Change::Entry { name: name.clone(), before, after }));
        }
        Diff(changes)
    }

    /// Installs a delta that raises the version, or a full delta that repairs a diverged copy of the same version.
    ///
    /// # Errors
    ///
    /// Returns an error on a version gap, a result that differs from the sender's, or invalid records; the catalogue is
    /// then unchanged.
    pub fn install(&mut self, delta: &Delta) -> Result<InstallOutcome, InstallError> {
        let fits = delta.full || delta.from <= self.version;
        match () {
            () if delta.to < self.version => return Ok(InstallOutcome::Unchanged(self.version)),
            () if delta.to == self.version && !self.needs_repair(delta) => {
                return Ok(InstallOutcome::Unchanged(self.version));
            }
            () if !fits => return GapSnafu { current: self.version, base: delta.from }.fail(),
            () => {}
        }
        let installed = if delta.full { self.replace(delta) } else { self.apply_edits(delta) };
        installed.map(|()| InstallOutcome::Updated(delta.to))
    }

    /// Replaces the contents with the records of a full delta.
    fn replace(&mut self, delta: &Delta) -> Result<(), InstallError> {
        let owners = delta.owners.iter().filter_map(|edit| Some((edit.name.clone(), edit.value.clone()?)));
        let entries = delta.entries.iter().filter_map(|edit| Some((edit.name.clone(), edit.value.clone()?)));
        let next = Self::from_parts(delta.to, owners.collect(), entries.collect());
        next.check().map_err(|faults| InstallError::Faulty { faults })?;
        snafu::ensure!(next.digest() == delta.digest, DivergedSnafu { to: delta.to });
        *self = next;
        Ok(())
    }

    /// Applies the edits in place, and undoes them if the result differs from the sender's.
    fn apply_edits(&mut self, delta: &Delta) -> Result<(), InstallError> {
        delta.check().map_err(|faults| InstallError::Faulty { faults })?;
        let owners = delta.owners.iter().map(|edit| self.set_owner(edit)).collect::<Vec<_>>();
        let entries = delta.entries.iter().map(|edit| self.set_entry(edit)).collect::<Vec<_>>();
        if self.digest() == delta.digest {
            self.version = delta.to;
            return Ok(());
        }
        for edit in entries.iter().rev() {
            self.set_entry(edit);
        }
        for edit in owners.iter().rev() {
            self.set_owner(edit);
        }
        DivergedSnafu { to: delta.to }.fail()
    }

    /// Returns true if a full delta of the same version should replace contents with a different digest.
    fn needs_repair(&self, delta: &Delta) -> bool {
        delta.full && delta.digest != self.digest()
    }
}

/// Returns the names of both maps, sorted and without duplicates.
fn names<'a, N: Ord, T>(a: &'a IndexMap<N, T>, b: &'a IndexMap<N, T>) -> Vec<&'a N> {
    let mut names = a.keys().chain(b.keys()).collect::<Vec<_>>();
    names.sort_unstable();
    names.dedup();
    names
}
