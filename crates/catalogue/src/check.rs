//! Checks typed values, which have no place in a text: what came over the log or the wire.

use crate::catalogue::{Catalogue, MAX_ENTRIES, MAX_OWNERS};
use crate::fault::{Fault, Faults};
use crate::field::Record;
use crate::name::{NAME_RULE, valid_name};
use mangogw_model::{Entry, Team};

impl Catalogue {
    /// Checks every name, bound and owner.
    ///
    /// # Errors
    ///
    /// Every fault, without lines.
    ///
    /// ```
    /// assert_eq!(mangogw_catalogue::Catalogue::default().check(), Ok(()));
    /// ```
    pub fn check(&self) -> Result<(), Faults> {
        let mut faults = Faults::default();
        check_count(&mut faults, Entry::TABLE, self.entries.len(), MAX_ENTRIES);
        check_count(&mut faults, Team::TABLE, self.owners.len(), MAX_OWNERS);
        for (name, team) in &self.owners {
            check_record(&mut faults, name.as_str(), team);
        }
        for (name, entry) in &self.entries {
            self.check_entry(&mut faults, name.as_str(), entry);
        }
        faults.into_result()
    }

    /// Checks one entry against this catalogue's owners.
    pub(crate) fn check_entry(&self, faults: &mut Faults, name: &str, entry: &Entry) {
        check_record(faults, name, entry);
        for (field, reason) in cross_faults(entry) {
            faults.add(fault(format!("{}.{name}.{field}", Entry::TABLE), reason));
        }
        if !entry.owner.as_str().is_empty() && !self.owners.contains_key(&entry.owner) {
            faults.add(fault(format!("{}.{name}.owner", Entry::TABLE), missing_owner_reason(entry.owner.as_str())));
        }
    }
}

/// Checks the name of a record and the bounds of its fields.
pub(crate) fn check_record<T: Record>(faults: &mut Faults, name: &str, record: &T) {
    if !valid_name(name) {
        faults.add(fault(T::TABLE.to_owned(), NAME_RULE));
    }
    for field in T::fields() {
        if let Some(reason) = field.fault(record) {
            faults.add(fault(format!("{}.{name}.{}", T::TABLE, field.path()), reason));
        }
    }
}

/// Faults that lie between the fields of one entry, by field.
pub(crate) fn cross_faults(entry: &Entry) -> impl Iterator<Item = (&'static str, &'static str)> {
    let owner = entry.owner.as_str().is_empty().then_some(("owner", "the entry names no owner"));
    let hedged = entry.hedge.budget > 0.0 && !entry.repeatable;
    let hedge = hedged.then_some(("hedge.budget", "only a repeatable entry can be hedged"));
    owner.into_iter().chain(hedge)
}

/// The reason of an entry whose owner is not in the catalogue.
pub(crate) fn missing_owner_reason(owner: &str) -> String {
    format!("the owner \"{owner}\" has no quota; add [owners.{owner}]")
}

fn check_count(faults: &mut Faults, table: &str, len: usize, most: usize) {
    if len > most {
        faults.add(fault(table.to_owned(), format!("there are more than {most}")));
    }
}

fn fault(path: String, reason: impl Into<String>) -> Fault {
    Fault { line: 0, column: 0, path, reason: reason.into() }
}
