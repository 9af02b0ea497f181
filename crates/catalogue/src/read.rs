//! Reads a catalogue from a tree, and collects every fault on the way.

use crate::catalogue::{Catalogue, MAX_ENTRIES, MAX_OWNERS};
use crate::check::{cross_faults, no_quota};
use crate::fault::{Fault, Faults, Places};
use crate::field::{Field, Record, Rule};
use crate::name::{NAME_RULE, valid_name};
use crate::node::{Flaw, Member, Node, Value};
use indexmap::IndexMap;
use mangogw_model::{Entry, EntryName, Owner, Team, Version};
use std::sync::Arc;

/// The longest path and the longest reason of a fault, in bytes; names in a faulty text may be of any length.
const MAX_PART_BYTES: usize = 512;

/// A record that was read, with the offset of its name and the node it was read from.
struct Found<'n, T> {
    at: usize,
    node: &'n Node,
    record: T,
}

/// One reading of one text.
struct Reader<'a> {
    places: Places<'a>,
    faults: Faults,
}

/// The catalogue that `tree` describes, or every fault it has.
pub(crate) fn read(text: &str, tree: &Node, flaws: &[Flaw]) -> Result<Catalogue, Faults> {
    let mut reader = Reader { places: Places::new(text), faults: Faults::default() };
    for flaw in flaws {
        reader.fault(flaw.at, "", flaw.reason.clone());
    }
    let catalogue = reader.root(tree, flaws.is_empty());
    reader.faults.into_result().map(|()| catalogue)
}

/// One entry from a tree of its own, or every fault it has.
pub(crate) fn read_entry(text: &str, tree: &Node, flaws: &[Flaw]) -> Result<Entry, Faults> {
    let mut reader = Reader { places: Places::new(text), faults: Faults::default() };
    for flaw in flaws {
        reader.fault(flaw.at, "", flaw.reason.clone());
    }
    let entry = reader.record::<Entry>("", tree);
    if flaws.is_empty() {
        reader.entry("", &Found { at: tree.at, node: tree, record: entry.clone() });
    }
    reader.faults.into_result().map(|()| entry)
}

impl Reader<'_> {
    fn fault(&mut self, at: usize, path: &str, reason: impl Into<String>) {
        let (line, column) = self.places.at(at);
        let mut fault = Fault { line, column, path: path.to_owned(), reason: reason.into() };
        fault.path.truncate(fault.path.floor_char_boundary(MAX_PART_BYTES));
        fault.reason.truncate(fault.reason.floor_char_boundary(MAX_PART_BYTES));
        self.faults.add(fault);
    }

    /// `whole` is false if the syntax has flaws; then what is missing may only be hidden by them.
    fn root(&mut self, tree: &Node, whole: bool) -> Catalogue {
        let mut version = Version::default();
        let mut owners = IndexMap::new();
        let mut entries = IndexMap::new();
        for member in self.members("", tree) {
            match (member.name.as_str(), &member.node.value) {
                ("version", Value::Count(number)) => version = Version(*number),
                ("version", other) => self.mismatch(member.node.at, "version", "a whole number", other),
                (Team::TABLE, _) => owners = self.records::<Team>(&member.node, MAX_OWNERS),
                (Entry::TABLE, _) => entries = self.records::<Entry>(&member.node, MAX_ENTRIES),
                (name, _) => self.unknown(member.at, name, "version, owners and entries"),
            }
        }
        for (name, found) in entries.iter().filter(|_| whole) {
            self.entry(&format!("entries.{name}"), found);
            self.owned(name, found, &owners);
        }
        let owners = owners.into_iter().map(|(name, found)| (Owner::from(name), found.record));
        let entries = entries.into_iter().map(|(name, found)| (EntryName::from(name), Arc::new(found.record)));
        Catalogue::from_parts(version, owners.collect(), entries.collect())
    }

    fn owned(&mut self, name: &str, found: &Found<'_, Entry>, owners: &IndexMap<String, Found<'_, Team>>) {
        let owner = found.record.owner.as_str();
        match owner {
            "" => {}
            _ if owners.contains_key(owner) => {}
            _ => self.fault(found.at, &format!("entries.{name}.owner"), no_quota(owner)),
        }
    }

    /// Faults that lie between the fields of one entry.
    fn entry(&mut self, path: &str, found: &Found<'_, Entry>) {
        // An owner that is there and not taken has a fault of its own.
        let told = |field: &str| field == "owner" && has(found.node, field);
        for (field, reason) in cross_faults(&found.record).filter(|(field, _)| !told(field)) {
            self.fault(found.at, &join(path, field), reason);
        }
    }

    fn records<'n, T: Record>(&mut self, node: &'n Node, most: usize) -> IndexMap<String, Found<'n, T>> {
        let mut records = IndexMap::new();
        for member in self.members(T::TABLE, node) {
            let path = join(T::TABLE, &member.name);
            match () {
                () if !valid_name(&member.name) => self.fault(member.at, &path, NAME_RULE),
                () if records.len() >= most => {
                    self.fault(member.at, T::TABLE, format!("there are more than {most}"));
                    break;
                }
                () => {
                    let record = self.record(&path, &member.node);
                    records.insert(member.name.clone(), Found { at: member.at, node: &member.node, record });
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
                None => self.unknown(member.at, &inner, &names::<T>("")),
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
                None => self.unknown(member.at, &inner, &names::<T>(&group.name)),
            }
        }
    }

    fn field<T: Record>(&mut self, path: &str, field: &Field<T>, node: &Node, record: &mut T) {
        match (&field.rule, &node.value) {
            (Rule::Count { min, max, set, .. }, Value::Count(number)) if (min..=max).contains(&number) => {
                set(record, *number);
            }
            (Rule::Ratio { min, max, set, .. }, Value::Ratio(number)) if (min..=max).contains(&number) => {
                // The sum of -0.0 and 0.0 is 0.0, so that equal fractions have equal bytes.
                set(record, *number + 0.0);
            }
            (Rule::Ratio { min, max, set, .. }, Value::Count(number)) if (min..=max).contains(&&(*number as f64)) => {
                set(record, *number as f64);
            }
            (Rule::Flag { set, .. }, Value::Flag(flag)) => set(record, *flag),
            (Rule::Text { set, .. }, Value::Text(text)) if set(record, text) => {}
            (Rule::Count { .. } | Rule::Ratio { .. }, Value::Count(number)) => {
                self.out_of_bounds(path, field, node.at, number);
            }
            (Rule::Ratio { .. }, Value::Ratio(number)) => self.out_of_bounds(path, field, node.at, number),
            (Rule::Text { .. }, Value::Text(text)) => {
                self.fault(node.at, path, format!("\"{text}\" is not allowed; it is {}", field.allowed()));
            }
            (_, other) => self.mismatch(node.at, path, &field.allowed(), other),
        }
    }

    fn out_of_bounds<T>(&mut self, path: &str, field: &Field<T>, at: usize, number: &impl std::fmt::Display) {
        self.fault(at, path, format!("{number} is out of bounds; it is {}", field.allowed()));
    }

    fn mismatch(&mut self, at: usize, path: &str, wanted: &str, found: &Value) {
        self.fault(at, path, format!("it is {wanted}, not {}", found.kind()));
    }

    fn unknown(&mut self, at: usize, path: &str, known: &str) {
        self.fault(at, path, format!("there is no such field; there are {known}"));
    }

    /// The members of a table, each name once.
    fn members<'n>(&mut self, path: &str, node: &'n Node) -> Vec<&'n Member> {
        let Value::Table(members) = &node.value else {
            self.mismatch(node.at, path, "a table", &node.value);
            return Vec::new();
        };
        let mut once = IndexMap::with_capacity(members.len());
        for member in members {
            if once.insert(member.name.as_str(), member).is_some() {
                self.fault(member.at, &join(path, &member.name), "it stands here twice");
            }
        }
        once.into_values().collect()
    }
}

fn has(node: &Node, name: &str) -> bool {
    matches!(&node.value, Value::Table(members) if members.iter().any(|member| member.name == name))
}

fn is_group<T: Record>(name: &str) -> bool {
    !name.is_empty() && T::fields().iter().any(|field| field.group == name)
}

/// The names that may stand in a group, for people.
fn names<T: Record>(group: &str) -> String {
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
