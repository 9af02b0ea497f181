//! Tests of printing, parsing, diffs, digests and deltas of a catalogue.

use crate::support::{any_entry, any_set, catalogue, for_each_seed};
use mangogw_catalogue::{
    Action, Catalogue, Delta, Edit, InstallError, InstallOutcome, parse_entry, parse_entry_json, print_entry,
};
use mangogw_model::{Entry, Team, Version};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Builds the catalogue of an `Apply` action from TOML text, as a caller would write it.
fn from_set(version: u64, set: &Action) -> Catalogue {
    let Action::Apply { owners, entries } = set else { panic!("expected an Apply action") };
    let mut text = format!("version = {version}\n");
    for (name, team) in owners {
        text.extend([format!("[owners.{name}]\nweight = {}\n", team.weight)]);
    }
    for (name, entry) in entries {
        text.extend([format!("[entries.{name}]\n"), print_entry(entry)]);
    }
    Catalogue::parse(&text).expect("valid catalogue")
}

#[test]
fn printing_and_parsing_are_inverse() {
    for_each_seed(50, 4_096, |u| {
        let catalogue = from_set(u.int_in_range(0..=u64::MAX >> 1)?, &any_set(u)?);
        assert_eq!(Catalogue::parse(&catalogue.to_toml()), Ok(catalogue.clone()));
        assert_eq!(Catalogue::parse_json(&catalogue.to_json()), Ok(catalogue.clone()));
        assert_eq!(Catalogue::parse(&catalogue.to_toml()).expect("valid catalogue").digest(), catalogue.digest());
        let entry = any_entry(u)?;
        assert_eq!(parse_entry(&print_entry(&entry)), Ok(entry.clone()));
        assert_eq!(parse_entry_json(&serde_json::to_string(&entry).expect("serializable as JSON")), Ok(entry));
        Ok(())
    });
}

#[test]
fn order_of_text_does_not_affect_catalogue() {
    let one = Catalogue::parse("[owners.a]\n[owners.b]\n[entries.x]\nowner='a'\n[entries.c]\nowner='b'")
        .expect("valid catalogue");
    let two = Catalogue::parse("[entries.c]\nowner='b'\n[entries.x]\nowner='a'\n[owners.b]\n[owners.a]")
        .expect("valid catalogue");
    assert_eq!(one.to_toml(), two.to_toml());
    assert_eq!(one.digest(), two.digest());
}

/// Collects the dotted paths of all leaves of a JSON value.
fn collect_leaf_paths(path: &str, value: &serde_json::Value, into: &mut Vec<String>) {
    match value.as_object() {
        Some(table) => {
            table.iter().for_each(|(name, inner)| collect_leaf_paths(&format!("{path}.{name}"), inner, into));
        }
        None => into.push(path.trim_start_matches('.').to_owned()),
    }
}

#[test]
fn field_tables_list_every_model_field() {
    let list = |value: serde_json::Value| {
        let mut paths = Vec::new();
        collect_leaf_paths("", &value, &mut paths);
        paths.sort();
        paths
    };
    let reported = |fields: Vec<mangogw_catalogue::FieldInfo>| {
        let mut paths = fields.into_iter().map(|field| field.path).collect::<Vec<_>>();
        paths.sort();
        paths
    };
    let entry = serde_json::to_value(Entry::default()).expect("serializable as JSON");
    let team = serde_json::to_value(Team::default()).expect("serializable as JSON");
    assert_eq!(reported(mangogw_catalogue::entry_fields()), list(entry));
    assert_eq!(reported(mangogw_catalogue::owner_fields()), list(team));
}

#[test]
fn defaults_are_within_bounds() {
    let text = "[owners.gates]\n[entries.gate-scan]\nowner = \"gates\"\n";
    let catalogue = Catalogue::parse(text).expect("valid catalogue");
    assert_eq!(catalogue.check(), Ok(()));
}

#[test]
fn diff_shows_changed_fields() {
    let old = Catalogue::parse("[owners.a]\n[entries.x]\nowner='a'\n[entries.y]\nowner='a'").expect("valid catalogue");
    let text =
        "[owners.a]\nquota.cores=4\n[entries.x]\nowner='a'\nlimits.rate=5\nclass='urgent'\n[entries.z]\nowner='a'";
    let new = Catalogue::parse(text).expect("valid catalogue");
    let shown = old.diff(&new).to_string();
    let lines = shown.lines().collect::<Vec<_>>();
    assert_eq!(lines[0], "~ owners.a: quota.cores 0 -> 4");
    assert_eq!(lines[1], "~ entries.x: class \"normal\" -> \"urgent\", limits.rate 0 -> 5");
    assert!(lines[2].starts_with("- entries.y: owner = \"a\""), "{shown}");
    assert!(lines[3].starts_with("+ entries.z: owner = \"a\""), "{shown}");
    assert!(new.diff(&new).is_empty());
}

/// Builds the delta between two versions independently of `Control::delta`.
fn delta(from: &Catalogue, to: &Catalogue) -> Delta {
    let mut delta = Delta { from: from.version(), to: to.version(), digest: to.digest(), ..Delta::default() };
    let old = from.entries().iter().map(|(name, entry)| (name.clone(), Arc::clone(entry))).collect::<BTreeMap<_, _>>();
    let new = to.entries().iter().map(|(name, entry)| (name.clone(), Arc::clone(entry))).collect::<BTreeMap<_, _>>();
    for name in old.keys().chain(new.keys().filter(|name| !old.contains_key(*name))) {
        if old.get(name) != new.get(name) {
            delta.entries.push(Edit { name: name.clone(), value: new.get(name).cloned() });
        }
    }
    for (name, team) in to.owners().iter().filter(|(name, team)| from.owner(name) != Some(*team)) {
        delta.owners.push(Edit { name: name.clone(), value: Some(team.clone()) });
    }
    delta
}

#[test]
fn deltas_match_full_copy() {
    for_each_seed(50, 8_192, |u| {
        let versions = (1..=4).map(|version| Ok(from_set(version, &any_set(u)?)));
        let versions = versions.collect::<arbitrary::Result<Vec<_>>>()?;
        let mut copy = versions[0].clone();
        for pair in versions.windows(2) {
            let installed = copy.install(&delta(&pair[0], &pair[1])).expect("delta starts at the copy's version");
            assert_eq!(installed, InstallOutcome::Updated(pair[1].version()));
            assert_eq!(copy, pair[1]);
        }
        let mut full = Catalogue::default();
        full.install(&Delta::full(&versions[3])).expect("full delta on an empty catalogue");
        assert_eq!(full, copy);
        Ok(())
    });
}

#[test]
fn install_ignores_older_versions_and_reports_gaps() {
    let [one, two, three] = [1, 2, 3].map(|count| {
        let text = catalogue(count).to_toml().replace("version = 0", &format!("version = {count}"));
        Catalogue::parse(&text).expect("valid catalogue")
    });
    let mut copy = one.clone();
    let gap = copy.install(&delta(&two, &three)).expect_err("version 2 is missing");
    assert!(matches!(gap, InstallError::Gap { current: Version(1), base: Version(2) }), "{gap}");
    assert_eq!(copy, one);
    copy.install(&delta(&one, &three)).expect("delta from version 1 to 3");
    assert_eq!(
        copy.install(&delta(&one, &two)).expect("older delta is ignored"),
        InstallOutcome::Unchanged(Version(3))
    );
    assert_eq!(
        copy.install(&Delta::full(&two)).expect("older delta is ignored"),
        InstallOutcome::Unchanged(Version(3))
    );
    assert_eq!(
        copy.install(&Delta::full(&three)).expect("delta of the same version is ignored"),
        InstallOutcome::Unchanged(Version(3))
    );
    assert_eq!(copy, three);
}

#[test]
fn diverged_delta_leaves_catalogue_unchanged() {
    let mut copy = catalogue(3);
    let before = copy.clone();
    let next =
        Catalogue::parse(&catalogue(5).to_toml().replace("version = 0", "version = 1")).expect("valid catalogue");
    let mut wrong = delta(&copy, &next);
    wrong.entries.pop();
    let weight = Team { weight: 9, ..Team::default() };
    wrong.owners = vec![
        Edit { name: "gates".into(), value: Some(weight) },
        Edit { name: "tally".into(), value: None },
        Edit { name: "new".into(), value: Some(Team::default()) },
    ];
    assert!(matches!(copy.install(&wrong), Err(InstallError::Diverged { to: Version(1) })));
    assert_eq!(copy, before);
    let mut faulty = delta(&copy, &next);
    faulty.entries[0].name = "NOT A NAME".into();
    assert!(matches!(copy.install(&faulty), Err(InstallError::Faulty { .. })));
    let mut faulty = Delta::full(&next);
    faulty.owners.clear();
    assert!(matches!(copy.install(&faulty), Err(InstallError::Faulty { .. })));
    assert_eq!(copy, before);
    assert_eq!(copy.digest(), before.digest());
}

#[test]
fn full_delta_repairs_diverged_copy() {
    let right = catalogue(4);
    let mut copy = catalogue(3);
    assert_eq!(
        copy.install(&Delta::full(&right)).expect("full delta repairs the copy"),
        InstallOutcome::Updated(right.version())
    );
    assert_eq!(copy, right);
}
