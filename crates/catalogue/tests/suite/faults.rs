//! Tests of the faults reported for invalid catalogues; the first line of each file in `tests/faults` lists the faults
//! expected for the rest of the file.

use mangogw_catalogue::{Catalogue, Fault};
use std::fs;
use std::path::Path;

/// An expected fault, written as `LINE:COLUMN PATH REASON` in the first line of a file.
///
/// Faults are separated by `; `; `-` stands for no path.
#[derive(Debug)]
struct Expected {
    line: u32,
    column: u32,
    path: String,
    reason: String,
}

impl Expected {
    fn parse(text: &str) -> Self {
        let (place, rest) = text.split_once(' ').expect("a position and a path");
        let (line, column) = place.split_once(':').expect("a line and a column");
        let (path, reason) = rest.split_once("  ").or_else(|| rest.split_once(' ')).expect("a path and a reason");
        let number = |text: &str| text.parse().expect("a number");
        let path = if path == "-" { "" } else { path };
        Self { line: number(line), column: number(column), path: path.into(), reason: reason.into() }
    }

    fn matches(&self, fault: &Fault) -> bool {
        let same_position = (self.line, self.column) == (fault.line, fault.column);
        same_position && self.path == fault.path && fault.reason.contains(&self.reason)
    }
}

fn check(name: &str, text: &str) {
    let first = text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix("# "))
        .expect("first line is a comment with the expected faults");
    let expected = first.split("; ").map(Expected::parse).collect::<Vec<_>>();
    let faults = Catalogue::parse(text).expect_err(name);
    let found = faults.iter().collect::<Vec<_>>();
    let matches = expected.len() == found.len() && expected.iter().zip(&found).all(|(want, fault)| want.matches(fault));
    assert!(matches, "{name}: expected {expected:#?}, found\n{faults}");
}

#[test]
fn fault_files_report_expected_faults() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/faults");
    let mut files = 0;
    for item in fs::read_dir(folder).expect("directory tests/faults") {
        let path = item.expect("directory entry").path();
        let text = fs::read_to_string(&path).expect("UTF-8 file");
        check(&path.display().to_string(), &text);
        files += 1;
    }
    assert!(files >= 9, "only {files} files");
}

/// Returns the faults of a JSON text as `line:column path`.
fn json_faults(text: &str) -> Vec<String> {
    let faults = Catalogue::parse_json(text).expect_err("invalid catalogue");
    faults.iter().map(|fault| format!("{}:{} {}", fault.line, fault.column, fault.path)).collect()
}

#[test]
fn json_faults_have_line_column_and_path() {
    let text = r#"{
  "owners": {"gates": {"weight": 0}},
  "entries": {
    "gate-scan": {"owner": "gates", "limits" : {"rate": -4, "qeue": 1}},
    "a\"b": {}, "route": {"owner": "gates", "owner": "gates"},
    "tally": {"owner": "tally", "hedge": {"budget": 1e-1}}
  },
  "shape": null
}"#;
    let expected = [
        "2:34 owners.gates.weight",
        "4:57 entries.gate-scan.limits.rate",
        "4:61 entries.gate-scan.limits.qeue",
        "5:5 entries.a\"b",
        "5:45 entries.route.owner",
        "6:5 entries.tally.hedge.budget",
        "6:5 entries.tally.owner",
        "8:3 shape",
    ];
    assert_eq!(json_faults(text), expected);
}

#[test]
fn invalid_json_reports_position() {
    assert_eq!(json_faults("{\n  \"owners\": {\n    \"gates\" 7}}"), ["3:13 "]);
    assert_eq!(json_faults(""), ["1:1 "]);
    assert_eq!(json_faults("[1]"), ["1:1 "]);
    assert_eq!(json_faults(&"{\"owners\":".repeat(500)).len(), 1);
}

#[test]
fn deep_or_long_text_is_refused() {
    let deep = format!("owners = {}{}", "[".repeat(100_000), "]".repeat(100_000));
    Catalogue::parse(&deep).expect_err("text nests too deeply");
    let long = " ".repeat(mangogw_catalogue::MAX_TEXT_BYTES + 1);
    let faults = Catalogue::parse(&long).expect_err("text is too long");
    assert_eq!(faults.iter().next().map(|fault| fault.line), Some(0));
}

#[test]
fn fault_list_is_bounded() {
    let text = (0..5_000).map(|index| format!("field-{index} = 1")).collect::<Vec<_>>().join("\n");
    let faults = Catalogue::parse(&text).expect_err("unknown fields");
    assert_eq!((faults.iter().count(), faults.unlisted()), (1_000, 4_000));
}

#[test]
fn long_names_are_truncated() {
    let long = "ä".repeat(100_000);
    let text = format!("\"{long}\" = 1\n[entries.\"{long}\"]\n[entries.a]\nowner = \"{long}\"\n");
    let faults = Catalogue::parse(&text).expect_err("invalid names");
    assert_eq!(faults.iter().count(), 3);
    assert!(faults.iter().all(|fault| fault.path.len() <= 512 && fault.reason.len() <= 512));
}

#[test]
fn too_many_records_are_refused() {
    let owners = (0..=mangogw_catalogue::MAX_OWNERS).map(|index| format!("[owners.t{index}]"));
    let owners = owners.collect::<Vec<_>>().join("\n");
    let faults = Catalogue::parse(&owners).expect_err("too many owners");
    assert_eq!(faults.iter().map(|fault| (fault.line, fault.path.as_str())).collect::<Vec<_>>(), [(1_001, "owners")]);
}
