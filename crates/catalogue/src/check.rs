//! Validates decoded values from the log or the wire, whose faults have no position in a text.

use crate::catalogue::{Catalogue, MAX_ENTRIES, MAX_OWNERS};
use crate::fault::{Fault, Faults};
use crate::field::Record;
use crate::name::{NAME_RULE, valid_name};
use mangogw_model::{Entry, Team};

impl Catalogue {
    /// Validates all names, bounds and owner references, and the number of records.
    ///
    /// # Errors
    ///
    /// Returns every fault, without line and column.
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

    /// Validates one entry, including that its owner is in this catalogue.
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

/// Validates the name of a record and the bounds of its fields.
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

/// Returns a missing owner and faults that involve several fields of one entry, as pairs of field and reason.
pub(crate) fn cross_faults(entry: &Entry) -> impl Iterator<Item = (&'static str, &'static str)> {
    let owner = entry.owner.as_str().is_empty().then_some(("owner", "the entry names no owner"));
    let hedged = entry.hedge.budget > 0.0 && !entry.repeatable;
    let hedge = hedged.then_some(("hedge.budget", "only a repeatable entry can be hedged"));
    owner.into_iter().chain(hedge)
}

/// Reason of the fault for an entry whose owner is not in the catalogue.
pub(crate) fn missing_owner_reason(owner: &str) -> String {
    format!("the owner \"{owner}\" has no quota; add [owners.{owner}]")
}

fn check_count(faults: &mut Faults, table: &str, len: usize, max_count: usize) {
    if len > max_count {
        faults.add(fault(table.to_owned(), format!("there are more than {max_count}")));
    }
}

fn fault(path: String, reason: impl Into<String>) -> Fault {
    Fault { line: 0, column: 0, path, reason: reason.into() }
}
