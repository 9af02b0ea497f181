//! Faults of a catalogue, each with its line, column, path and reason.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of faults listed per text; further ones are only counted.
const MAX_FAULTS: usize = 1_000;

/// One fault of a catalogue text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Line number, from 1; 0 if the fault has no position in a text.
    pub line: u32,
    /// Column in characters, from 1; 0 if the fault has no position in a text.
    pub column: u32,
    /// Path of the field, such as `entries.gate-scan.limits.rate`; empty for the whole text.
    pub path: String,
    /// What is wrong, and which values are allowed.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.path.as_str()) {
            (0, "") => write!(f, "{}", self.reason),
            (0, path) => write!(f, "{path}: {}", self.reason),
            (line, "") => write!(f, "line {line}, column {}: {}", self.column, self.reason),
            (line, path) => write!(f, "line {line}, column {}: {path}: {}", self.column, self.reason),
        }
    }
}

/// Faults of a catalogue, in the order of the text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    list: Vec<Fault>,
    more: u64,
}

impl Faults {
    /// Listed faults, in the order of the text.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let faults = Catalogue::parse("colour = 1\nshape = 2").expect_err("unknown fields");
    /// assert_eq!(faults.iter().count(), 2);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.list.iter()
    }

    /// Number of faults that were counted but not listed.
    pub const fn unlisted(&self) -> u64 {
        self.more
    }

    /// Returns true if there are no faults.
    pub const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(crate) fn add(&mut self, fault: Fault) {
        match self.list.len() {
            MAX_FAULTS.. => self.more += 1,
            _ => self.list.push(fault),
        }
    }

    /// Returns `Ok` if there are no faults, else the faults sorted in the order of the text.
    pub(crate) fn into_result(mut self) -> Result<(), Self> {
        if self.is_empty() {
            return Ok(());
        }
        self.list.sort_by_key(|fault| (fault.line, fault.column));
        Err(self)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.list {
            writeln!(f, "{fault}")?;
        }
        match self.more {
            0 => Ok(()),
            more => writeln!(f, "and {more} more"),
        }
    }
}

impl std::error::Error for Faults {}

/// Converts byte offsets into line and column numbers.
#[derive(Debug)]
pub(crate) struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let starts = std::iter::once(0).chain(ends.map(|(at, _)| at + 1)).collect();
        Self { text, starts }
    }

    /// Returns the line and column of the character at byte `offset`, both from 1.
    pub(crate) fn line_column(&self, offset: usize) -> (u32, u32) {
        let offset = self.text.floor_char_boundary(offset.min(self.text.len()));
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        (line as u32, column as u32)
    }
}
