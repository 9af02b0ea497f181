//! Description of one field of a record: path, unit, bounds, getter and setter.

use crate::tables::{ENTRY_FIELDS, OWNER_FIELDS};
use std::fmt::Write as _;

/// A record that a catalogue stores by name: an entry or an owner.
pub(crate) trait Record: Default + Clone + PartialEq + 'static {
    /// Name of the top-level table that holds records of this type.
    const TABLE: &'static str;

    /// Fields of the record, in printing order.
    fn fields() -> &'static [Field<Self>];
}

/// One field; `group` is the inner table that contains the field, or empty.
#[derive(Debug)]
pub(crate) struct Field<T: 'static> {
    pub(crate) group: &'static str,
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) description: &'static str,
    pub(crate) value_type: FieldType<T>,
}

/// Type and bounds of a field, with its getter and setter.
#[derive(Debug)]
pub(crate) enum FieldType<T: 'static> {
    /// A whole number from `min` to `max`.
    Count { min: u64, max: u64, get: fn(&T) -> u64, set: fn(&mut T, u64) },
    /// A fraction from `min` to `max`.
    Ratio { min: f64, max: f64, get: fn(&T) -> f64, set: fn(&mut T, f64) },
    /// True or false.
    Flag { get: fn(&T) -> bool, set: fn(&mut T, bool) },
    /// A text; `set` returns false if it rejects the value, and `allowed` describes the accepted values.
    Text { allowed: &'static str, get: fn(&T) -> &str, set: fn(&mut T, &str) -> bool },
}

impl<T> Field<T> {
    /// Name with its group, such as `limits.rate`.
    pub(crate) fn path(&self) -> String {
        match self.group {
            "" => self.name.to_owned(),
            group => format!("{group}.{}", self.name),
        }
    }

    /// Formats the value as TOML.
    pub(crate) fn print(&self, record: &T) -> String {
        match self.value_type {
            FieldType::Count { get, .. } => get(record).to_string(),
            FieldType::Ratio { get, .. } => ratio(get(record)),
            FieldType::Flag { get, .. } => get(record).to_string(),
            FieldType::Text { get, .. } => format!("\"{}\"", get(record)),
        }
    }

    /// Describes the allowed values, for faults and documentation.
    pub(crate) fn allowed(&self) -> String {
        let mut text = String::new();
        let written = match self.value_type {
            FieldType::Count { min, max, .. } => write!(text, "{min} to {max}"),
            FieldType::Ratio { min, max, .. } => write!(text, "{min} to {max}"),
            FieldType::Flag { .. } => write!(text, "true or false"),
            FieldType::Text { allowed, .. } => write!(text, "{allowed}"),
        };
        debug_assert!(written.is_ok(), "writing to a String cannot fail");
        text
    }

    /// Returns the reason if the field's value in `record` is out of bounds.
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

/// Formats a fraction with a decimal point, so that TOML does not read it as an integer.
fn ratio(value: f64) -> String {
    format!("{value:?}")
}

/// Description of a field, as the documentation lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldInfo {
    /// Name with its group, such as `limits.rate`.
    pub path: String,
    /// Unit of a number; empty if the field has none.
    pub unit: &'static str,
    /// What the field controls.
    pub description: &'static str,
    /// Allowed values, in words.
    pub allowed: String,
    /// Value used when the text does not set the field, formatted as TOML.
    pub default: String,
}

/// Describes every field of an entry.
///
/// ```
/// assert!(mangogw_catalogue::entry_fields().iter().any(|field| field.path == "limits.rate"));
/// ```
pub fn entry_fields() -> Vec<FieldInfo> {
    ENTRY_FIELDS.iter().map(Field::info).collect()
}

/// Describes every field of an owner.
///
/// ```
/// assert!(mangogw_catalogue::owner_fields().iter().any(|field| field.path == "quota.cores"));
/// ```
pub fn owner_fields() -> Vec<FieldInfo> {
    OWNER_FIELDS.iter().map(Field::info).collect()
}
