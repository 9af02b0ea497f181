//! Faults of a catalogue, with the place and the reason of each.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The most faults that one reading reports; the rest are counted.
const MAX_FAULTS: usize = 1_000;

/// One fault of a catalogue text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The line, from 1; 0 if the fault belongs to no line.
    pub line: u32,
    /// The column in characters, from 1; 0 if the fault belongs to no line.
    pub column: u32,
    /// The field, such as `entries.gate-scan.limits.rate`; empty for the whole text.
    pub path: String,
    /// What is wrong and what is allowed.
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

/// Every fault of a catalogue, in the order of the text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    list: Vec<Fault>,
    more: u64,
}

impl Faults {
    /// The faults, first line first.
    ///
    /// ```
    /// use mangogw_catalogue::Catalogue;
    ///
    /// let faults = Catalogue::parse("colour = 1\nshape = 2").expect_err("no such fields");
    /// assert_eq!(faults.iter().count(), 2);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.list.iter()
    }

    /// The number of faults beyond those that are listed.
    pub const fn unlisted(&self) -> u64 {
        self.more
    }

    /// True if there is no fault.
    pub const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(crate) fn add(&mut self, fault: Fault) {
        match self.list.len() {
            MAX_FAULTS.. => self.more += 1,
            _ => self.list.push(fault),
        }
    }

    /// The faults in the order of the text, if there are any.
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

/// Turns byte offsets into lines and columns.
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

    /// The line and the column of the character at `offset`, both from 1.
    pub(crate) fn line_column(&self, offset: usize) -> (u32, u32) {
        let offset = self.text.floor_char_boundary(offset.min(self.text.len()));
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        (line as u32, column as u32)
    }
}
