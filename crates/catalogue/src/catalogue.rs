//! The catalogue: every entry and every owner, versioned as one.

use crate::delta::Edit;
use crate::digest::Digest;
use crate::fault::{Fault, Faults};
use crate::{json, read, toml_text};
use indexmap::IndexMap;
use mangogw_model::{Entry, EntryName, Owner, Team, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The most entries a catalogue holds.
pub const MAX_ENTRIES: usize = 10_000;

/// The most owners a catalogue holds.
pub const MAX_OWNERS: usize = 1_000;

/// The longest text that is read as a catalogue, in bytes.
pub const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// Every entry and every owner, versioned as one and ordered by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Parts")]
pub struct Catalogue {
    pub(crate) version: Version,
    pub(crate) owners: IndexMap<Owner, Team>,
    pub(crate) entries: IndexMap<EntryName, Arc<Entry>>,
    #[serde(skip)]
    digest: Digest,
}

/// A catalogue as it comes from bytes, before it is checked.
#[derive(Debug, Deserialize)]
struct Parts {
    version: Version,
    owners: IndexMap<Owner, Team>,
    entries: IndexMap<EntryName, Arc<Entry>>,
}

impl TryFrom<Parts> for Catalogue {
    type Error = Faults;

    fn try_from(parts: Parts) -> Result<Self, Faults> {
        let catalogue = Self::from_parts(parts.version, parts.owners, parts.entries);
        catalogue.check()?;
        Ok(catalogue)
    }
}

impl Catalogue {
    /// Reads a whole set from TOML.
    ///
    /// # Errors
    ///
    /// Every fault of the text, with line, column and reason.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let catalogue = Catalogue::parse("version = 3\n[owners.gates]\nweight = 2\n").expect("it has no faults");
    /// assert_eq!(catalogue.version().0, 3);
    /// ```
    pub fn parse(text: &str) -> Result<Self, Faults> {
        check_length(text)?;
        let (tree, errors) = toml_text::read(text);
        read::read(text, &tree, &errors)
    }

    /// Reads a whole set from JSON of the same shape.
    ///
    /// # Errors
    ///
    /// Every fault of the text, with line, column and reason.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let faults = Catalogue::parse_json("{\"owners\":\n {\"gates\": 7}}").expect_err("7 is no table");
    /// assert_eq!(faults.iter().next().map(|fault| (fault.line, fault.column)), Some((2, 12)));
    /// ```
    pub fn parse_json(text: &str) -> Result<Self, Faults> {
        check_length(text)?;
        let (tree, errors) = json::read(text);
        read::read(text, &tree, &errors)
    }

    /// The version of the whole.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Every entry, ordered by name.
    pub const fn entries(&self) -> &IndexMap<EntryName, Arc<Entry>> {
        &self.entries
    }

    /// Every owner, ordered by name.
    pub const fn owners(&self) -> &IndexMap<Owner, Team> {
        &self.owners
    }

    /// The entry of this name.
    pub fn entry(&self, name: &EntryName) -> Option<&Arc<Entry>> {
        self.entries.get(name)
    }

    /// The owner of this name.
    pub fn owner(&self, name: &Owner) -> Option<&Team> {
        self.owners.get(name)
    }

    /// The digest of the contents; the version is no part of it.
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    pub(crate) fn from_parts(
        version: Version,
        mut owners: IndexMap<Owner, Team>,
        mut entries: IndexMap<EntryName, Arc<Entry>>,
    ) -> Self {
        owners.sort_unstable_keys();
        entries.sort_unstable_keys();
        let mut digest = Digest::default();
        owners.iter().for_each(|(name, team)| digest.add(name.as_str(), team));
        entries.iter().for_each(|(name, entry)| digest.add(name.as_str(), entry.as_ref()));
        Self { version, owners, entries, digest }
    }

    /// Puts or removes an entry; the result undoes it.
    pub(crate) fn set_entry(&mut self, edit: &Edit<EntryName, Arc<Entry>>) -> Edit<EntryName, Arc<Entry>> {
        let name = edit.name.clone();
        let old = match &edit.value {
            Some(entry) => {
                self.digest.add(name.as_str(), entry.as_ref());
                self.entries.insert_sorted(name.clone(), Arc::clone(entry)).1
            }
            None => self.entries.shift_remove(&name),
        };
        if let Some(old) = &old {
            self.digest.remove(name.as_str(), old.as_ref());
        }
        Edit { name, value: old }
    }

    /// Puts or removes an owner; the result undoes it.
    pub(crate) fn set_owner(&mut self, edit: &Edit<Owner, Team>) -> Edit<Owner, Team> {
        let name = edit.name.clone();
        let old = match &edit.value {
            Some(team) => {
                self.digest.add(name.as_str(), team);
                self.owners.insert_sorted(name.clone(), team.clone()).1
            }
            None => self.owners.shift_remove(&name),
        };
        if let Some(old) = &old {
            self.digest.remove(name.as_str(), old);
        }
        Edit { name, value: old }
    }
}

/// Reads one entry from TOML, with the fields at the top level.
///
/// # Errors
///
/// Every fault of the text. Whether its owner has a quota is checked when it is put into a catalogue.
///
/// ```
/// let entry = mangogw_catalogue::parse_entry("owner = \"gates\"\n").expect("it has no faults");
/// assert_eq!(entry.owner.as_str(), "gates");
/// ```
pub fn parse_entry(text: &str) -> Result<Entry, Faults> {
    check_length(text)?;
    let (tree, errors) = toml_text::read(text);
    read::read_entry(text, &tree, &errors)
}

/// Reads one entry from JSON.
///
/// # Errors
///
/// Every fault of the text. Whether its owner has a quota is checked when it is put into a catalogue.
///
/// ```
/// let entry = mangogw_catalogue::parse_entry_json("{\"owner\": \"gates\"}").expect("it has no faults");
/// assert_eq!(entry.owner.as_str(), "gates");
/// ```
pub fn parse_entry_json(text: &str) -> Result<Entry, Faults> {
    check_length(text)?;
    let (tree, errors) = json::read(text);
    read::read_entry(text, &tree, &errors)
}

fn check_length(text: &str) -> Result<(), Faults> {
    if text.len() <= MAX_TEXT_BYTES {
        return Ok(());
    }
    let reason = format!("the text has {} bytes; it may have {MAX_TEXT_BYTES}", text.len());
    let mut faults = Faults::default();
    faults.add(Fault { line: 0, column: 0, path: String::new(), reason });
    Err(faults)
}
