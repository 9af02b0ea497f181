//! Reads a catalogue or an entry from a syntax tree, and collects every fault.

use crate::catalogue::{Catalogue, MAX_ENTRIES, MAX_OWNERS};
use crate::check::{cross_faults, missing_owner_reason};
use crate::fault::{Fault, Faults, LineIndex};
use crate::field::{Field, FieldType, Record};
use crate::name::{NAME_RULE, valid_name};
use crate::node::{Member, Node, SyntaxError, Value};
use indexmap::IndexMap;
use mangogw_model::{Entry, EntryName, Owner, Team, Version};
use std::sync::Arc;

/// Maximum length of a fault's path and of its reason, in bytes; names in an invalid text have no length limit.
const MAX_FAULT_TEXT_BYTES: usize = 512;

/// A parsed record, with the offset of its name and its node in the tree.
struct ParsedRecord<'n, T> {
    offset: usize,
    node: &'n Node,
    record: T,
}

/// State of reading one text.
struct Reader<'a> {
    lines: LineIndex<'a>,
    faults: Faults,
}

/// Reads the catalogue in `tree`, or returns every fault.
pub(crate) fn read(text: &str, tree: &Node, errors: &[SyntaxError]) -> Result<Catalogue, Faults> {
    let mut reader = Reader { lines: LineIndex::new(text), faults: Faults::default() };
    for error in errors {
        reader.fault(error.offset, "", error.reason.clone());
    }
    let catalogue = reader.root(tree, errors.is_empty());
    reader.faults.into_result().map(|()| catalogue)
}

/// Reads a single entry from its own tree, or returns every fault.
pub(crate) fn read_entry(text: &str, tree: &Node, errors: &[SyntaxError]) -> Result<Entry, Faults> {
    let mut reader = Reader { lines: LineIndex::new(text), faults: Faults::default() };
    for error in errors {
        reader.fault(error.offset, "", error.reason.clone());
    }
    let entry = reader.record::<Entry>("", tree);
    if errors.is_empty() {
        reader.check_cross_fields("", &ParsedRecord { offset: tree.offset, node: tree, record: entry.clone() });
    }
    reader.faults.into_result().map(|()| entry)
}

impl Reader<'_> {
    fn fault(&mut self, offset: usize, path: &str, reason: impl Into<String>) {
        let (line, column) = self.lines.line_column(offset);
        let mut fault = Fault { line, column, path: path.to_owned(), reason: reason.into() };
        fault.path.truncate(fault.path.floor_char_boundary(MAX_FAULT_TEXT_BYTES));
        fault.reason.truncate(fault.reason.floor_char_boundary(MAX_FAULT_TEXT_BYTES));
        self.faults.add(fault);
    }

    /// `is_complete` is false if the text has syntax errors; records missing from the tree may then be in the text.
    fn root(&mut self, tree: &Node, is_complete: bool) -> Catalogue {
        let mut version = Version::default();
        let mut owners = IndexMap::new();
        let mut entries = IndexMap::new();
        for member in self.members("", tree) {
            match (member.name.as_str(), &member.node.value) {
                ("version", Value::Count(number)) => version = Version(*number),
                ("version", other) => self.mismatch(member.node.offset, "version", "a whole number", other),
                (Team::TABLE, _) => owners = self.records::<Team>(&member.node, MAX_OWNERS),
                (Entry::TABLE, _) => entries = self.records::<Entry>(&member.node, MAX_ENTRIES),
                (name, _) => self.unknown(member.offset, name, "version, owners and entries"),
            }
        }
        for (name, found) in entries.iter().filter(|_| is_complete) {
            self.check_cross_fields(&format!("entries.{name}"), found);
            self.check_owner(name, found, &owners);
        }
        let owners = owners.into_iter().map(|(name, found)| (Owner::from(name), found.record));
        let entries = entries.into_iter().map(|(name, found)| (EntryName::from(name), Arc::new(found.record)));
        Catalogue::from_parts(version, owners.collect(), entries.collect())
    }

    fn check_owner(
        &mut self,
        name: &str,
        found: &ParsedRecord<'_, Entry>,
        owners: &IndexMap<String, ParsedRecord<'_, Team>>,
    ) {
        let owner = found.record.owner.as_str();
        match owner {
            "" => {}
            _ if owners.contains_key(owner) => {}
            _ => self.fault(found.offset, &format!("entries.{name}.owner"), missing_owner_reason(owner)),
        }
    }

    /// Reports a missing owner and faults that involve several fields of one entry.
    fn check_cross_fields(&mut self, path: &str, found: &ParsedRecord<'_, Entry>) {
        // An owner that is set but invalid already has its own fault.
        let reported = |field: &str| field == "owner" && has_member(found.node, field);
        for (field, reason) in cross_faults(&found.record).filter(|(field, _)| !reported(field)) {
            self.fault(found.offset, &join(path, field), reason);
        }
    }

    fn records<'n, T: Record>(&mut self, node: &'n Node, max_count: usize) -> IndexMap<String, ParsedRecord<'n, T>> {
        let mut records = IndexMap::new();
        for member in self.members(T::TABLE, node) {
            let path = join(T::TABLE, &member.name);
            match () {
                () if !valid_name(&member.name) => self.fault(member.offset, &path, NAME_RULE),
                () if records.len() >= max_count => {
                    self.fault(member.offset, T::TABLE, format!("there are more than {max_count}"));
                    break;
                }
                () => {
                    let record = self.record(&path, &member.node);
                    records.insert(
                        member.name.clone(),
                        ParsedRecord { offset: member.offset, node: &member.node, record },
                    );
                }
            }
        }
        records
    }

    fn record<T: Record>(&mut self, path: &str, node: &Node) -> T {
        let mut record = T::default();
        for member in self.members(path, node) {
            let inner = join(path, &member.name);
            let field = T::fields().iter().find(|field| field.group.is_empty() && field.name == member.name);
            match field {
                Some(field) => self.field(&inner, field, &member.node, &mut record),
                None if is_group::<T>(&member.name) => self.group(&inner, member, &mut record),
                None => self.unknown(member.offset, &inner, &field_names::<T>("")),
            }
        }
        record
    }

    fn group<T: Record>(&mut self, path: &str, group: &Member, record: &mut T) {
        for member in self.members(path, &group.node) {
            let inner = join(path, &member.name);
            let field = T::fields().iter().find(|field| field.group == group.name && field.name == member.name);
            match field {
                Some(field) => self.field(&inner, field, &member.node, record),
                None => self.unknown(member.offset, &inner, &field_names::<T>(&group.name)),
            }
        }
    }

    fn field<T: Record>(&mut self, path: &str, field: &Field<T>, node: &Node, record: &mut T) {
        match (&field.value_type, &node.value) {
            (FieldType::Count { min, max, set, .. }, Value::Count(number)) if (min..=max).contains(&number) => {
                set(record, *number);
            }
            (FieldType::Ratio { min, max, set, .. }, Value::Ratio(number)) if (min..=max).contains(&number) => {
                // Adding 0.0 turns -0.0 into 0.0, so that equal fractions have equal bytes.
                set(record, *number + 0.0);
            }
            (FieldType::Ratio { min, max, set, .. }, Value::Count(number))
                if (min..=max).contains(&&(*number as f64)) =>
            {
                set(record, *number as f64);
            }
            (FieldType::Flag { set, .. }, Value::Flag(flag)) => set(record, *flag),
            (FieldType::Text { set, .. }, Value::Text(text)) if set(record, text) => {}
            (FieldType::Count { .. } | FieldType::Ratio { .. }, Value::Count(number)) => {
                self.out_of_bounds(path, field, node.offset, number);
            }
            (FieldType::Ratio { .. }, Value::Ratio(number)) => self.out_of_bounds(path, field, node.offset, number),
            (FieldType::Text { .. }, Value::Text(text)) => {
                self.fault(node.offset, path, format!("\"{text}\" is not allowed; it is {}", field.allowed()));
            }
            (_, other) => self.mismatch(node.offset, path, &field.allowed(), other),
        }
    }

    fn out_of_bounds<T>(&mut self, path: &str, field: &Field<T>, offset: usize, number: &impl std::fmt::Display) {
        self.fault(offset, path, format!("{number} is out of bounds; it is {}", field.allowed()));
    }

    fn mismatch(&mut self, offset: usize, path: &str, wanted: &str, found: &Value) {
        self.fault(offset, path, format!("it is {wanted}, not {}", found.kind()));
    }

    fn unknown(&mut self, offset: usize, path: &str, known: &str) {
        self.fault(offset, path, format!("there is no such field; there are {known}"));
    }

    /// Returns the members of a table, the last one of each name, and reports duplicate names.
    fn members<'n>(&mut self, path: &str, node: &'n Node) -> Vec<&'n Member> {
        let Value::Table(members) = &node.value else {
            self.mismatch(node.offset, path, "a table", &node.value);
            return Vec::new();
        };
        let mut once = IndexMap::with_capacity(members.len());
        for member in members {
            if once.insert(member.name.as_str(), member).is_some() {
                self.fault(member.offset, &join(path, &member.name), "it stands here twice");
            }
        }
        once.into_values().collect()
    }
}

fn has_member(node: &Node, name: &str) -> bool {
    matches!(&node.value, Value::Table(members) if members.iter().any(|member| member.name == name))
}

fn is_group<T: Record>(name: &str) -> bool {
    !name.is_empty() && T::fields().iter().any(|field| field.group == name)
}

/// Lists the names allowed in a group, for the reason of a fault.
fn field_names<T: Record>(group: &str) -> String {
    let mut names = Vec::new();
    for field in T::fields() {
        let name = match field.group {
            inner if inner == group => field.name,
            inner if group.is_empty() => inner,
            _ => continue,
        };
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names.join(", ")
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    }
}
