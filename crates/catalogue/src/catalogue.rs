//! The catalogue: all entries and owners under one version number.

use crate::delta::Edit;
use crate::digest::Digest;
use crate::fault::{Fault, Faults};
use crate::{json, read, toml_text};
use indexmap::IndexMap;
use mangogw_model::{Entry, EntryName, Owner, Team, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum number of entries in a catalogue.
pub const MAX_ENTRIES: usize = 10_000;

/// Maximum number of owners in a catalogue.
pub const MAX_OWNERS: usize = 1_000;

/// Maximum length of a catalogue text, in bytes; longer texts are rejected unread.
pub const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// All entries and owners under one version number, each ordered by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Parts")]
pub struct Catalogue {
    pub(crate) version: Version,
    pub(crate) owners: IndexMap<Owner, Team>,
    pub(crate) entries: IndexMap<EntryName, Arc<Entry>>,
    #[serde(skip)]
    digest: Digest,
}

/// A decoded catalogue that has not been validated yet.
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
    /// Parses a complete catalogue from TOML.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, with line, column and reason.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let catalogue = Catalogue::parse("version = 3\n[owners.gates]\nweight = 2\n").expect("valid catalogue");
    /// assert_eq!(catalogue.version().0, 3);
    /// ```
    pub fn parse(text: &str) -> Result<Self, Faults> {
        check_length(text)?;
        let (tree, errors) = toml_text::read(text);
        read::read(text, &tree, &errors)
    }

    /// Parses a complete catalogue from JSON of the same structure.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, with line, column and reason.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let faults = Catalogue::parse_json("{\"owners\":\n {\"gates\": 7}}").expect_err("7 is not a table");
    /// assert_eq!(faults.iter().next().map(|fault| (fault.line, fault.column)), Some((2, 12)));
    /// ```
    pub fn parse_json(text: &str) -> Result<Self, Faults> {
        check_length(text)?;
        let (tree, errors) = json::read(text);
        read::read(text, &tree, &errors)
    }

    /// Version of the catalogue.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// All entries, ordered by name.
    pub const fn entries(&self) -> &IndexMap<EntryName, Arc<Entry>> {
        &self.entries
    }

    /// All owners, ordered by name.
    pub const fn owners(&self) -> &IndexMap<Owner, Team> {
        &self.owners
    }

    /// Returns the entry with this name, or `None` if the catalogue has none.
    pub fn entry(&self, name: &EntryName) -> Option<&Arc<Entry>> {
        self.entries.get(name)
    }

    /// Returns the weight and quota of the owner with this name, or `None` if the catalogue has none.
    pub fn owner(&self, name: &Owner) -> Option<&Team> {
        self.owners.get(name)
    }

    /// Digest of the contents; the version does not enter it.
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

    /// Inserts, replaces or removes an entry, and returns the edit that undoes the operation.
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

    /// Inserts, replaces or removes an owner, and returns the edit that undoes the operation.
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

/// Parses one entry from TOML, with its fields at the top level.
///
/// # Errors
///
/// Returns every fault of the text. Whether the owner exists is checked later, when the entry is put into a catalogue.
///
/// ```
/// let entry = mangogw_catalogue::parse_entry("owner = \"gates\"\n").expect("valid entry");
/// assert_eq!(entry.owner.as_str(), "gates");
/// ```
pub fn parse_entry(text: &str) -> Result<Entry, Faults> {
    check_length(text)?;
    let (tree, errors) = toml_text::read(text);
    read::read_entry(text, &tree, &errors)
}

/// Parses one entry from JSON.
///
/// # Errors
///
/// Returns every fault of the text. Whether the owner exists is checked later, when the entry is put into a catalogue.
///
/// ```
/// let entry = mangogw_catalogue::parse_entry_json("{\"owner\": \"gates\"}").expect("valid entry");
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
