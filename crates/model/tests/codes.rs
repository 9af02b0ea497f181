//! Guards against documentation of result codes that differs from the table in the code.
//!
//! `MANGOGW_WRITE_CODES=1` rewrites the page.

use mangogw_model::Code;
use std::fmt::Write;
use std::path::Path;

fn render_page() -> String {
    let mut page = String::from(
        "# Result codes\n\nEvery answer of a host carries `Mangogw-Code` and `Mangogw-Outcome`. `not-run` is said only \
         where nothing of the\nsubmission has started or will start; where that can't be told, the outcome is `unknown`.\n\n\
         | code | outcome | status | meaning | what to do |\n|---|---|---|---|---|\n",
    );
    for code in Code::ALL {
        let (number, outcome, status) = (code.number(), code.outcome(), code.status());
        writeln!(page, "| {number} | {outcome} | {status} | {} | {} |", code.title(), code.advice()).unwrap();
    }
    page
}

#[test]
fn codes_page_matches_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CODES.md");
    if std::env::var_os("MANGOGW_WRITE_CODES").is_some() {
        std::fs::write(&path, render_page()).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), render_page(), "run with MANGOGW_WRITE_CODES=1");
}

#[test]
fn code_numbers_round_trip() {
    for code in Code::ALL {
        assert_eq!(Code::from_number(code.number()), Some(*code));
        let text = serde_json::to_string(code).unwrap();
        assert_eq!(text, code.number().to_string());
        assert_eq!(serde_json::from_str::<Code>(&text).unwrap(), *code);
    }
    serde_json::from_str::<Code>("1").unwrap_err();
}
