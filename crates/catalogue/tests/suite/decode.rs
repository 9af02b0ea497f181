//! Tests that decoders and parsers return a value or an error for any input, and never panic.

use crate::support::{ADMIN_TOKEN, any_entry, any_set, catalogue, command, for_each_seed, put, seeded};
use arbtest::arbitrary::{Result, Unstructured};
use mangogw_catalogue::{
    Action, Catalogue, Command, Control, Delta, MAX_COMMAND_BYTES, Token, TokenId, parse_entry, parse_entry_json,
    verify_export,
};

/// Returns `bytes` with one to six random mutations: changed, inserted, truncated or duplicated bytes.
fn mutated(u: &mut Unstructured<'_>, bytes: &[u8]) -> Result<Vec<u8>> {
    let mut bytes = bytes.to_vec();
    for _ in 0..u.int_in_range(1..=6)? {
        let at = u.choose_index(bytes.len().max(1))?;
        match u.int_in_range(0..=3)? {
            0 if !bytes.is_empty() => bytes[at] = u.arbitrary()?,
            1 if !bytes.is_empty() => bytes.truncate(at),
            2 => bytes.insert(at.min(bytes.len()), u.arbitrary()?),
            _ => {
                let tail = bytes[at.min(bytes.len())..].to_vec();
                bytes.extend(tail);
            }
        }
    }
    Ok(bytes)
}

#[test]
fn commands_round_trip() {
    for_each_seed(50, 4_096, |u| {
        for action in [put("route", any_entry(u)?), any_set(u)?, Action::Revoke { id: TokenId(u.arbitrary()?) }] {
            let command = Command { at_ms: u.arbitrary()?, ..command(ADMIN_TOKEN, u.arbitrary()?, action) };
            assert_eq!(Command::decode(&command.encode()).expect("valid command"), command);
        }
        Ok(())
    });
}

#[test]
fn damaged_commands_do_not_panic() {
    for_each_seed(200, 4_096, |u| {
        let mut control = seeded(Control::default());
        let bytes = command(ADMIN_TOKEN, Some(1), any_set(u)?).encode();
        for index in 100..110 {
            // A mutated command that still decodes must not panic when applied either.
            if let Ok(command) = Command::decode(&mutated(u, &bytes)?) {
                control.apply(index, &command);
            }
        }
        Ok(())
    });
}

#[test]
fn damaged_snapshots_do_not_panic() {
    let mut control = seeded(Control::default());
    for index in 100..120 {
        let version = control.catalogue().version().0;
        let mut command =
            command(ADMIN_TOKEN, Some(version), put(&format!("e{index}"), crate::support::entry("gates")));
        command.key = Some(format!("k{index}").into());
        control.apply(index, &command);
    }
    let bytes = control.encode();
    for_each_seed(200, 2_048, |u| {
        if let Ok(mut decoded) = Control::decode(&mutated(u, &bytes)?) {
            drop(decoded.verify_audit());
            drop(decoded.catalogue_at(mangogw_model::Version(3)));
            decoded.apply(u64::MAX, &command(ADMIN_TOKEN, Some(4), put("route", crate::support::entry("gates"))));
        }
        Ok(())
    });
}

#[test]
fn random_bytes_do_not_panic() {
    for_each_seed(200, 512, |u| {
        let bytes = u.bytes(u.len())?;
        drop(Command::decode(bytes));
        drop(Control::decode(bytes));
        drop(Command::decode(&[&[1], bytes].concat()));
        drop(Control::decode(&[&[1], bytes].concat()));
        let text = String::from_utf8_lossy(bytes);
        drop(Catalogue::parse(&text));
        drop(Catalogue::parse_json(&text));
        drop(verify_export(&text));
        drop(text.parse::<Token>());
        Ok(())
    });
}

#[test]
fn damaged_texts_parse_or_report_positions() {
    let toml = catalogue(3).to_toml();
    let json = catalogue(3).to_json();
    let entry = mangogw_catalogue::print_entry(&crate::support::entry("gates"));
    for_each_seed(300, 512, |u| {
        let text = String::from_utf8_lossy(&mutated(u, toml.as_bytes())?).into_owned();
        let lines = text.lines().count() as u32 + 1;
        if let Err(faults) = Catalogue::parse(&text) {
            assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.line) && fault.column > 0), "{faults}");
        }
        let text = String::from_utf8_lossy(&mutated(u, json.as_bytes())?).into_owned();
        if let Err(faults) = Catalogue::parse_json(&text) {
            assert!(faults.iter().all(|fault| fault.line > 0 && fault.column > 0), "{faults}");
        }
        drop(parse_entry(&String::from_utf8_lossy(&mutated(u, entry.as_bytes())?)));
        drop(parse_entry_json(&text));
        Ok(())
    });
}

#[test]
fn forged_lengths_allocate_no_memory() {
    // An Apply command (action 4) whose length field claims 2^60 owners, without any owner.
    let mut bytes = command(ADMIN_TOKEN, None, Action::Apply { owners: [].into(), entries: [].into() }).encode();
    bytes.truncate(bytes.len() - 2);
    bytes.extend([0xff; 8]);
    bytes.push(0x0f);
    Command::decode(&bytes).expect_err("the owners are missing");
    let long = Command::decode(&vec![1; MAX_COMMAND_BYTES + 1]).expect_err("command is too long");
    assert!(long.to_string().contains("at most"), "{long}");
}

#[test]
fn unknown_formats_and_trailing_bytes_are_refused() {
    let mut bytes = command(ADMIN_TOKEN, None, Action::Shift { open: true }).encode();
    bytes.push(0);
    assert!(Command::decode(&bytes).expect_err("trailing byte").to_string().contains("left over"));
    bytes.pop();
    bytes[0] = 9;
    assert!(Command::decode(&bytes).expect_err("format 9").to_string().contains("format is 9"));
    Command::decode(&[]).expect_err("empty input");
}

#[test]
fn deltas_round_trip_through_json() {
    let delta = Delta::full(&catalogue(5));
    let text = serde_json::to_string(&delta).expect("serializable as JSON");
    assert_eq!(serde_json::from_str::<Delta>(&text).expect("valid delta"), delta);
}
