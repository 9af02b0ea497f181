//! The catalogue: every entry and every owner, versioned as one.

use crate::fault::{Fault, Faults};
use crate::{json, read, toml_text};
use indexmap::IndexMap;
use mangogw_model::{Entry, EntryName, Owner, Team, Version};
use std::sync::Arc;

/// The most entries a catalogue holds.
pub const MAX_ENTRIES: usize = 10_000;

/// The most owners a catalogue holds.
pub const MAX_OWNERS: usize = 1_000;

/// The longest text that is read as a catalogue, in bytes.
pub const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// Every entry and every owner, versioned as one and ordered by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalogue {
    pub(crate) version: Version,
    pub(crate) owners: IndexMap<Owner, Team>,
    pub(crate) entries: IndexMap<EntryName, Arc<Entry>>,
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
        bounded(text)?;
        let (tree, flaws) = toml_text::read(text);
        read::read(text, &tree, &flaws)
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
        bounded(text)?;
        let (tree, flaws) = json::read(text);
        read::read(text, &tree, &flaws)
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

    pub(crate) fn from_parts(
        version: Version,
        owners: impl Iterator<Item = (Owner, Team)>,
        entries: impl Iterator<Item = (EntryName, Entry)>,
    ) -> Self {
        let mut owners = owners.collect::<IndexMap<_, _>>();
        let mut entries = entries.map(|(name, entry)| (name, Arc::new(entry))).collect::<IndexMap<_, _>>();
        owners.sort_keys();
        entries.sort_keys();
        Self { version, owners, entries }
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
    bounded(text)?;
    let (tree, flaws) = toml_text::read(text);
    read::read_entry(text, &tree, &flaws)
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
    bounded(text)?;
    let (tree, flaws) = json::read(text);
    read::read_entry(text, &tree, &flaws)
}

fn bounded(text: &str) -> Result<(), Faults> {
    if text.len() <= MAX_TEXT_BYTES {
        return Ok(());
    }
    let reason = format!("the text has {} bytes; it may have {MAX_TEXT_BYTES}", text.len());
    let mut faults = Faults::default();
    faults.add(Fault { line: 0, column: 0, path: String::new(), reason });
    Err(faults)
}
