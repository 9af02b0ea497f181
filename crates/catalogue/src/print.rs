//! Prints a catalogue as canonical TOML: all fields in the order of the field tables, records sorted by name.

use crate::catalogue::Catalogue;
use crate::field::{Field, Record};
use mangogw_model::Entry;
use std::fmt;

impl Catalogue {
    /// Formats the catalogue as TOML; [`Catalogue::parse`] is the inverse.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let catalogue = Catalogue::parse("[owners.gates]\n").expect("valid catalogue");
    /// assert_eq!(Catalogue::parse(&catalogue.to_toml()), Ok(catalogue));
    /// ```
    pub fn to_toml(&self) -> String {
        self.to_string()
    }

    /// Formats the catalogue as JSON; [`Catalogue::parse_json`] is the inverse.
    ///
    /// ```
    /// assert!(mangogw_catalogue::Catalogue::default().to_json().starts_with("{\"version\":0"));
    /// ```
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl fmt::Display for Catalogue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "version = {}", self.version)?;
        for (name, team) in &self.owners {
            table(f, name.as_str(), team)?;
        }
        for (name, entry) in &self.entries {
            table(f, name.as_str(), entry.as_ref())?;
        }
        Ok(())
    }
}

/// Formats one entry as TOML with its fields at the top level; [`crate::parse_entry`] is the inverse.
///
/// ```
/// use mangogw_catalogue::{parse_entry, print_entry};
///
/// let entry = parse_entry("owner = \"gates\"\n").expect("valid catalogue");
/// assert_eq!(parse_entry(&print_entry(&entry)), Ok(entry));
/// ```
pub fn print_entry(entry: &Entry) -> String {
    lines(entry).join("\n") + "\n"
}

/// Formats the fields of a record on one line, as a diff shows them.
pub(crate) fn inline<T: Record>(record: &T) -> String {
    lines(record).join(", ")
}

fn table<T: Record>(f: &mut fmt::Formatter<'_>, name: &str, record: &T) -> fmt::Result {
    writeln!(f, "\n[{}.{name}]", T::TABLE)?;
    lines(record).iter().try_for_each(|line| writeln!(f, "{line}"))
}

/// Formats a record as one line per field outside a group and one line per group.
fn lines<T: Record>(record: &T) -> Vec<String> {
    let same = |a: &Field<T>, b: &Field<T>| !a.group.is_empty() && a.group == b.group;
    T::fields().chunk_by(same).map(|fields| line(fields, record)).collect()
}

fn line<T: Record>(fields: &[Field<T>], record: &T) -> String {
    let pairs = fields.iter().map(|field| format!("{} = {}", field.name, field.print(record)));
    let pairs = pairs.collect::<Vec<_>>().join(", ");
    match fields[0].group {
        "" => pairs,
        group => format!("{group} = {{ {pairs} }}"),
    }
}
