//! Tests of the audit trail: contents of records, hash chain, bounds, search and export.

use crate::support::{ADMIN_TOKEN, FIRST_TEAM_TOKEN, START_MS, command, entry, put, seeded};
use mangogw_catalogue::{Action, AuditQuery, Control, RetentionLimits, verify_export};
use mangogw_model::Code;
use sha2::{Digest, Sha256};

/// Returns a control state after `count` edits of one entry, one per second.
fn control_after_edits(limits: RetentionLimits, count: u64) -> Control {
    let mut control = seeded(Control::new(limits));
    for step in 0..count {
        let mut entry = entry("gates");
        entry.limits.rate = step as u32;
        let mut command = command(ADMIN_TOKEN, Some(step + 1), put("gate-scan", entry));
        command.at_ms = START_MS + step * 1_000;
        assert_eq!(control.apply(100 + step, &command).code, Code::Answered);
    }
    control
}

fn export(control: &Control, query: &AuditQuery) -> Vec<String> {
    control.audit(query).map(|line| line.to_string()).collect()
}

#[test]
fn audit_record_holds_caller_change_and_outcome() {
    let mut control = control_after_edits(RetentionLimits::default(), 2);
    let refused = command(FIRST_TEAM_TOKEN + 1, Some(3), Action::Delete { name: "gate-scan".into() });
    assert_eq!(control.apply(200, &refused).code, Code::Forbidden);
    let query = AuditQuery { entry: Some("gate-scan".into()), ..AuditQuery::default() };
    let records = control.audit(&query).map(|line| line.record).collect::<Vec<_>>();
    assert_eq!(records.len(), 3);
    let changed = &records[1];
    assert_eq!((changed.who.as_str(), changed.role.as_str()), ("ana", "administrator"));
    assert_eq!((changed.at_ms, changed.from.as_str()), (START_MS + 1_000, "127.0.0.1:9"));
    assert_eq!((changed.verb.as_str(), changed.target.as_str()), ("put", "entries.gate-scan"));
    assert_eq!(changed.changes[0].to_string(), "~ entries.gate-scan: limits.rate 0 -> 1");
    let refusal = &records[2];
    assert_eq!((refusal.who.as_str(), refusal.code, refusal.changes.len()), ("marshals-desk", Code::Forbidden, 0));
    assert!(refusal.detail.contains("entries.gate-scan"), "{}", refusal.detail);
}

#[test]
fn trail_holds_no_secret() {
    let control = control_after_edits(RetentionLimits::default(), 1);
    let text = export(&control, &AuditQuery::default()).join("\n");
    let secret = hex::encode([ADMIN_TOKEN as u8; 32]);
    assert!(text.contains("tokens."));
    assert!(!text.contains(&secret) && !text.contains("hash\":["), "{text}");
}

#[test]
fn searches_by_time_principal_position_and_outcome() {
    let mut control = control_after_edits(RetentionLimits::default(), 10);
    control.apply(200, &command(FIRST_TEAM_TOKEN, Some(0), put("gate-scan", entry("gates"))));
    let count = |query: AuditQuery| control.audit(&query).count();
    let all = AuditQuery::default();
    assert_eq!(count(AuditQuery { since_ms: START_MS + 3_000, until_ms: START_MS + 5_000, ..all.clone() }), 3);
    assert_eq!(count(AuditQuery { who: Some("gates-desk".into()), ..all.clone() }), 1);
    assert_eq!(count(AuditQuery { refused: true, ..all.clone() }), 1);
    assert_eq!(count(AuditQuery { limit: 4, ..all.clone() }), 4);
    let rest = AuditQuery { after: 15, ..all };
    assert_eq!(control.audit(&rest).map(|line| line.record.seq).collect::<Vec<_>>(), [16, 17, 18]);
}

#[test]
fn audit_trail_is_bounded_by_records_and_changes() {
    let control = control_after_edits(RetentionLimits { audit_records: 8, ..RetentionLimits::default() }, 100);
    assert_eq!(control.retained_counts().0, 8);
    assert_eq!(control.verify_audit().expect("valid audit trail").seq, 107);
    let lines = export(&control, &AuditQuery::default());
    let export = verify_export(&lines.join("\n")).expect("valid export");
    assert_eq!((export.first_seq, export.last_seq), (100, 107));
    let control = control_after_edits(RetentionLimits { audit_changes: 3, ..RetentionLimits::default() }, 100);
    assert_eq!(control.retained_counts().0, 3);
    control.verify_audit().expect("valid audit trail");
}

#[test]
fn export_verification_detects_gaps_and_edits() {
    let control = control_after_edits(RetentionLimits::default(), 10);
    let lines = export(&control, &AuditQuery::default());
    let verify = |lines: &[String]| verify_export(&lines.join("\n"));
    let summary = verify(&lines).expect("valid export");
    let head = control.audit_head();
    assert_eq!((summary.first_seq, summary.last_seq, summary.hash), (1, head.seq, head.hash.to_string()));
    for at in 1..lines.len() - 1 {
        let mut gap = lines.clone();
        gap.remove(at);
        assert_eq!(verify(&gap).expect_err("a record is missing").line, at as u64 + 1);
    }
    for at in 0..lines.len() {
        let mut edited = lines.clone();
        edited[at] = edited[at].replace("\"ana\"", "\"eve\"").replace("\"bootstrap\"", "\"eve\"");
        assert_eq!(verify(&edited).expect_err("a record was changed").line, at as u64 + 1);
    }
    let mut swapped = lines.clone();
    swapped.swap(4, 5);
    assert_eq!(verify(&swapped).expect_err("two records are swapped").line, 5);
    let cut = verify(&lines[..lines.len() - 1]).expect("a truncated export is valid in itself");
    assert_ne!(cut.hash, head.hash.to_string(), "but its hash differs from the audit head");
}

/// Builds an export line for `record` after the hash `prev`, with a valid hash, as a forger would.
fn forge_line(prev: &str, record: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(hex::decode(prev).expect("hash as hexadecimal digits"));
    hash.update(record);
    let hash = hex::encode(hash.finalize());
    format!("{{\"prev\":\"{prev}\",\"hash\":\"{hash}\",\"record\":{record}}}")
}

fn split_line(line: &str) -> (String, String, String) {
    let digits = |name: &str| {
        let start = line.find(name).expect("field name in the line") + name.len();
        line[start..start + 64].to_owned()
    };
    let record = &line[line.find("\"record\":").expect("record in the line") + 9..line.len() - 1];
    (digits("\"prev\":\""), digits("\"hash\":\""), record.to_owned())
}

#[test]
fn forged_lines_with_valid_hashes_are_detected() {
    let control = control_after_edits(RetentionLimits::default(), 10);
    let lines = export(&control, &AuditQuery::default());
    let (prev, _, record) = split_line(&lines[5]);
    assert_eq!(forge_line(&prev, &record), lines[5], "forge_line builds lines as the export does");
    let mut changed = lines.clone();
    changed[5] = forge_line(&prev, &record.replace("\"ana\"", "\"eve\""));
    assert_eq!(verify_export(&changed.join("\n")).expect_err("the next line does not follow").line, 7);
    // One record is omitted and all later hashes are recomputed; the gap in the positions reveals it.
    let mut chained = lines[..5].to_vec();
    let (_, mut last, _) = split_line(&lines[4]);
    for line in &lines[6..] {
        let line = forge_line(&last, &split_line(line).2);
        last = split_line(&line).1;
        chained.push(line);
    }
    assert_eq!(verify_export(&chained.join("\n")).expect_err("gap in the positions").line, 6);
}

/// Returns `bytes` with every `from` replaced by `to`.
fn replace_bytes(bytes: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for at in 0..bytes.len().saturating_sub(from.len()) {
        if bytes[at..].starts_with(from) {
            bytes[at..at + to.len()].copy_from_slice(to);
        }
    }
    bytes
}

#[test]
fn changed_record_in_state_is_detected() {
    let mut control = seeded(Control::default());
    let mut change = command(ADMIN_TOKEN, Some(1), put("gate-scan", entry("gates")));
    change.from = "192.0.2.77:1".into();
    control.apply(100, &change);
    let bytes = control.encode();
    control.verify_audit().expect("valid audit trail");
    let damaged =
        Control::decode(&replace_bytes(&bytes, b"192.0.2.77:1", b"192.0.2.78:1")).expect("decodable snapshot");
    assert_eq!(damaged.verify_audit().expect_err("an address was changed").line, 8);
}

#[test]
fn consecutive_exports_join_by_hash() {
    let mut control = control_after_edits(RetentionLimits { audit_records: 10, ..RetentionLimits::default() }, 10);
    let first = export(&control, &AuditQuery::default());
    let before = verify_export(&first.join("\n")).expect("valid export");
    control.apply(200, &command(ADMIN_TOKEN, Some(11), put("route", entry("gates"))));
    let query = AuditQuery { after: before.last_seq, ..AuditQuery::default() };
    let rest = verify_export(&export(&control, &query).join("\n")).expect("valid export");
    assert_eq!((rest.first_seq, rest.previous_hash), (before.last_seq + 1, before.hash));
}

#[test]
fn long_texts_of_callers_are_truncated() {
    let mut control = seeded(Control::default());
    let mut long = command(ADMIN_TOKEN, Some(1), put("gate-scan", entry("gates")));
    long.from = "ä".repeat(10_000);
    control.apply(100, &long);
    let description = "x".repeat(1_000_000);
    let refused = command(ADMIN_TOKEN, None, Action::Refused { code: Code::BadRequest, description, skipped: 0 });
    let reply = control.apply(101, &refused);
    assert!(reply.detail.len() <= 1_024);
    let query = AuditQuery { after: 7, ..AuditQuery::default() };
    assert!(export(&control, &query).iter().all(|line| line.len() < 3_000));
    control.verify_audit().expect("valid audit trail");
}
