//! The shape of one field of a record: its place, unit, bounds, and how it is read and written.

use crate::tables::{ENTRY_FIELDS, OWNER_FIELDS};
use std::fmt::Write as _;

/// A record that a catalogue holds by name.
pub(crate) trait Record: Default + Clone + PartialEq + 'static {
    /// The table it stands in.
    const TABLE: &'static str;

    /// Its fields, in the order they are printed.
    fn fields() -> &'static [Field<Self>];
}

/// One field; `group` is the inner table it stands in, or empty.
#[derive(Debug)]
pub(crate) struct Field<T: 'static> {
    pub(crate) group: &'static str,
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) description: &'static str,
    pub(crate) value_type: FieldType<T>,
}

/// What a field holds and how it is reached.
#[derive(Debug)]
pub(crate) enum FieldType<T: 'static> {
    /// A whole number from `min` to `max`.
    Count { min: u64, max: u64, get: fn(&T) -> u64, set: fn(&mut T, u64) },
    /// A fraction from `min` to `max`.
    Ratio { min: f64, max: f64, get: fn(&T) -> f64, set: fn(&mut T, f64) },
    /// True or false.
    Flag { get: fn(&T) -> bool, set: fn(&mut T, bool) },
    /// A text that `set` takes or refuses; `allowed` says what it takes.
    Text { allowed: &'static str, get: fn(&T) -> &str, set: fn(&mut T, &str) -> bool },
}

impl<T> Field<T> {
    /// The name with its group, such as `limits.rate`.
    pub(crate) fn path(&self) -> String {
        match self.group {
            "" => self.name.to_owned(),
            group => format!("{group}.{}", self.name),
        }
    }

    /// The value as it stands in TOML.
    pub(crate) fn print(&self, record: &T) -> String {
        match self.value_type {
            FieldType::Count { get, .. } => get(record).to_string(),
            FieldType::Ratio { get, .. } => ratio(get(record)),
            FieldType::Flag { get, .. } => get(record).to_string(),
            FieldType::Text { get, .. } => format!("\"{}\"", get(record)),
        }
    }

    /// What it allows, in words for people.
    pub(crate) fn allowed(&self) -> String {
        let mut text = String::new();
        let done = match self.value_type {
            FieldType::Count { min, max, .. } => write!(text, "{min} to {max}"),
            FieldType::Ratio { min, max, .. } => write!(text, "{min} to {max}"),
            FieldType::Flag { .. } => write!(text, "true or false"),
            FieldType::Text { allowed, .. } => write!(text, "{allowed}"),
        };
        debug_assert!(done.is_ok(), "a String takes every write");
        text
    }

    /// The reason why the value that `record` holds is out of bounds, if it is.
    pub(crate) fn fault(&self, record: &T) -> Option<String> {
        match self.value_type {
            FieldType::Count { min, max, get, .. } if !(min..=max).contains(&get(record)) => {
                Some(format!("{} is out of bounds; it is {}", get(record), self.allowed()))
            }
            FieldType::Ratio { min, max, get, .. } if !(min..=max).contains(&get(record)) => {
                Some(format!("{} is out of bounds; it is {}", get(record), self.allowed()))
            }
            _ => None,
        }
    }

    fn info(&self) -> FieldInfo
    where
        T: Default,
    {
        FieldInfo {
            path: self.path(),
            unit: self.unit,
            description: self.description,
            allowed: self.allowed(),
            default: self.print(&T::default()),
        }
    }
}

/// A fraction that TOML reads as one: always with a point.
fn ratio(value: f64) -> String {
    format!("{value:?}")
}

/// A field as the documentation lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldInfo {
    /// The name with its group, such as `limits.rate`.
    pub path: String,
    /// The unit of its number; empty if it has none.
    pub unit: &'static str,
    /// What it steers.
    pub description: &'static str,
    /// What it allows.
    pub allowed: String,
    /// The value it has when the text names none.
    pub default: String,
}

/// Every field of an entry.
///
/// ```
/// assert!(mangogw_catalogue::entry_fields().iter().any(|field| field.path == "limits.rate"));
/// ```
pub fn entry_fields() -> Vec<FieldInfo> {
    ENTRY_FIELDS.iter().map(Field::info).collect()
}

/// Every field of an owner.
///
/// ```
/// assert!(mangogw_catalogue::owner_fields().iter().any(|field| field.path == "quota.cores"));
/// ```
pub fn owner_fields() -> Vec<FieldInfo> {
    OWNER_FIELDS.iter().map(Field::info).collect()
}
