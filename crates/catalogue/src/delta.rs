//! Deltas between versions, and their installation, which only ever goes up.

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

/// The new state of one record; without a value it is removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit<N, T> {
    /// The name of the record.
    pub name: N,
    /// The record, unless it is removed.
    pub value: Option<T>,
}

/// What leads from every version from `from` up to `to` itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The lowest version it can be installed on.
    pub from: Version,
    /// The version it leads to.
    pub to: Version,
    /// True if it holds every record, so that it can be installed on any lower version.
    #[serde(rename = "whole")]
    pub full: bool,
    /// The digest of the catalogue at `to`.
    pub digest: Digest,
    /// Owners that differ.
    pub owners: Vec<Edit<Owner, Team>>,
    /// Entries that differ.
    pub entries: Vec<Edit<EntryName, Arc<Entry>>>,
}

/// What an installation did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The catalogue is now at this version.
    Updated(Version),
    /// The catalogue was at that version or a higher one; nothing changed.
    Unchanged(Version),
}

/// Why a delta was not installed; the catalogue is as before.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum InstallError {
    /// Versions between are missing: ask for a delta from `current`.
    #[snafu(display("the delta begins at version {base}, the catalogue is at {current}"))]
    Gap {
        /// The version of the catalogue.
        current: Version,
        /// The version the delta begins at.
        base: Version,
    },
    /// The result differs from the sender's catalogue: ask for a whole one.
    #[snafu(display("version {to} came out different from the sender's"))]
    Diverged {
        /// The version the delta leads to.
        to: Version,
    },
    /// The delta holds records that no catalogue may hold.
    #[snafu(display("the delta has faults: {faults}"))]
    Faulty {
        /// Every fault.
        faults: Faults,
    },
}

impl Delta {
    /// A delta that holds all of `catalogue`.
    ///
    /// ```
    /// use mangogw_catalogue::{Catalogue, Delta, InstallOutcome};
    ///
    /// let source = Catalogue::parse("version = 4\n[owners.gates]\n").expect("it has no faults");
    /// let mut copy = Catalogue::default();
    /// let installed = copy.install(&Delta::full(&source)).expect("it fits every lower version");
    /// assert_eq!(installed, InstallOutcome::Updated(source.version()));
    /// assert_eq!(copy, source);
    /// ```
    pub fn full(catalogue: &Catalogue) -> Self {
        let mut delta = Self::collect(&Catalogue::default().diff(catalogue).0);
        delta.full = true;
        delta.finish(Version::default(), catalogue)
    }

    /// The delta of `changes`, of which the last for each record counts, up to `catalogue`.
    pub(crate) fn merge(from: Version, changes: &[Change], catalogue: &Catalogue) -> Self {
        Self::collect(changes).finish(from, catalogue)
    }

    /// Checks the names and bounds of the records it holds; whose owner is missing shows in the digest.
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
    /// The changes that lead from `self` to `other`.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let old = Catalogue::parse("[owners.gates]\n").expect("it has no faults");
    /// let new = Catalogue::parse("[owners.gates]\nweight = 3\n").expect("it has no faults");
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

    /// Installs a delta if it leads up from here; nothing is changed otherwise.
    ///
    /// # Errors
    ///
    /// A gap, a result that differs from the sender's, or faults.
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
        let done = if delta.full { self.replace(delta) } else { self.apply_edits(delta) };
        done.map(|()| InstallOutcome::Updated(delta.to))
    }

    /// Takes every record of a whole delta in place of what stood here.
    fn replace(&mut self, delta: &Delta) -> Result<(), InstallError> {
        let owners = delta.owners.iter().filter_map(|edit| Some((edit.name.clone(), edit.value.clone()?)));
        let entries = delta.entries.iter().filter_map(|edit| Some((edit.name.clone(), edit.value.clone()?)));
        let next = Self::from_parts(delta.to, owners.collect(), entries.collect());
        next.check().map_err(|faults| InstallError::Faulty { faults })?;
        snafu::ensure!(next.digest() == delta.digest, DivergedSnafu { to: delta.to });
        *self = next;
        Ok(())
    }

    /// Makes the edits in place, and undoes them if the result differs from the sender's.
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

    /// True if a whole delta of the same version replaces contents that are not what they should be.
    fn needs_repair(&self, delta: &Delta) -> bool {
        delta.full && delta.digest != self.digest()
    }
}

/// The names of two ordered maps, ordered, each once.
fn names<'a, N: Ord, T>(a: &'a IndexMap<N, T>, b: &'a IndexMap<N, T>) -> Vec<&'a N> {
    let mut names = a.keys().chain(b.keys()).collect::<Vec<_>>();
    names.sort_unstable();
    names.dedup();
    names
}
