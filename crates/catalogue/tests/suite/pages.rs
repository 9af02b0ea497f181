//! Tests that the example catalogues are valid and that the documentation lists every field.

use mangogw_catalogue::{Catalogue, FieldInfo, entry_fields, owner_fields};
use mangogw_model::{Class, Entry};
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

fn file(path: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn example(path: &str) -> Catalogue {
    let catalogue = Catalogue::parse(&file(path)).unwrap_or_else(|faults| panic!("{path}:\n{faults}"));
    assert_eq!(Catalogue::parse(&catalogue.to_toml()), Ok(catalogue.clone()), "{path}");
    catalogue
}

fn entry(catalogue: &Catalogue, name: &str) -> Arc<Entry> {
    Arc::clone(catalogue.entry(&name.into()).unwrap_or_else(|| panic!("no entry {name} in the example catalogue")))
}

#[test]
fn candle_desk_catalogue_is_valid() {
    let catalogue = example("examples/candle-desk/catalogue.toml");
    assert_eq!(entry(&catalogue, "gate-scan").class, Class::Urgent);
    assert!(!entry(&catalogue, "gate-scan").repeatable);
    assert!(entry(&catalogue, "marshal-route").repeatable);
    assert!(!entry(&catalogue, "wick-tally").repeatable, "a tally must not run twice");
}

#[test]
fn foldplan_catalogue_is_valid() {
    let catalogue = example("examples/foldplan/catalogue.toml");
    for name in ["paper-grade-switch", "handle-patch"] {
        assert!(!entry(&catalogue, name).repeatable, "{name} must not run twice");
    }
    assert!(catalogue.entries().values().all(|entry| entry.hedge.budget == 0.0), "no hedges to slow targets");
}

/// Formats the row of a field as in the table of `docs/CONFIGURATION.md`.
fn row(field: &FieldInfo) -> String {
    let FieldInfo { path, unit, allowed, default, description } = field;
    format!("| `{path}` | {unit} | `{default}` | {allowed} | {description} |")
}

#[test]
fn page_lists_every_field_with_unit_default_and_bounds() {
    let page = file("docs/CONFIGURATION.md");
    let missing =
        entry_fields().into_iter().chain(owner_fields()).map(|field| row(&field)).filter(|row| !page.contains(row));
    let missing = missing.collect::<Vec<_>>();
    assert!(missing.is_empty(), "docs/CONFIGURATION.md lacks these rows:\n{}", missing.join("\n"));
}
