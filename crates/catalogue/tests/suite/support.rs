//! Fixtures and generators shared by the test files.

use arbtest::arbtest;
use mangogw_catalogue::{Action, Caller, Catalogue, Command, Control, Role, Token};
use mangogw_model::{Class, Code, Entry, EntryName, Owner, Team, Version};
use std::sync::Arc;

/// Runs a property on seeds 1 to `count`; `MANGOGW_FUZZ_FIRST` and `MANGOGW_FUZZ_SEEDS` override the first and the last
/// seed.
pub fn for_each_seed(
    count: u64,
    bytes: u64,
    property: impl Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    let more = std::env::var("MANGOGW_FUZZ_SEEDS").ok().and_then(|text| text.parse().ok());
    let first = std::env::var("MANGOGW_FUZZ_FIRST").ok().and_then(|text| text.parse().ok());
    for seed in first.unwrap_or(1)..=more.unwrap_or(count) {
        arbtest(&property).seed((seed << 32) | bytes).run();
    }
}

pub const TEAMS: [&str; 3] = ["gates", "marshals", "tally"];
pub const ENTRIES: [&str; 6] = ["gate-scan", "route", "wick-count", "recount", "reseat", "map-tiles"];

/// Token ids of the principals of a seeded state: two administrators, a viewer, and one holder per team from
/// `FIRST_TEAM_TOKEN` on.
pub const ADMIN_TOKEN: u128 = 1;
pub const OTHER_ADMIN_TOKEN: u128 = 2;
pub const VIEWER_TOKEN: u128 = 3;
pub const FIRST_TEAM_TOKEN: u128 = 4;

/// Time of the commands that build a seeded state, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_700_000_000_000;

pub fn token(id: u128) -> Token {
    Token::from_random(id, [id as u8; 32])
}

pub fn issue(id: u128, name: &str, role: Role) -> Action {
    let token = token(id);
    Action::Issue { id: token.id(), hash: token.hash(), name: name.into(), role, expires_ms: START_MS + 1_000_000_000 }
}

pub fn command(id: u128, base: Option<u64>, action: Action) -> Command {
    let caller = Caller::Token(token(id).id());
    Command { base: base.map(Version), from: "127.0.0.1:9".into(), ..Command::new(START_MS, caller, action) }
}

/// Returns `control` with the principals above and an owner for each team, at version 1.
pub fn seeded(control: Control) -> Control {
    let mut control = control;
    let mut commands = vec![
        Command::new(START_MS, Caller::Bootstrap, issue(ADMIN_TOKEN, "ana", Role::Administrator)),
        command(ADMIN_TOKEN, None, issue(OTHER_ADMIN_TOKEN, "bo", Role::Administrator)),
        command(ADMIN_TOKEN, None, issue(VIEWER_TOKEN, "viv", Role::Viewer)),
    ];
    for (id, team) in (FIRST_TEAM_TOKEN..).zip(TEAMS) {
        commands.push(command(ADMIN_TOKEN, None, issue(id, &format!("{team}-desk"), Role::Team(team.into()))));
    }
    let owners = TEAMS.map(|team| (Owner::from(team), Team::default()));
    commands.push(command(ADMIN_TOKEN, Some(0), Action::Apply { owners: owners.into(), entries: [].into() }));
    for (index, command) in (1..).zip(&commands) {
        assert_eq!(control.apply(index, command).code, Code::Answered, "{command:?}");
    }
    control
}

pub fn entry(owner: &str) -> Entry {
    Entry { owner: owner.into(), ..Entry::default() }
}

pub fn put(name: &str, entry: Entry) -> Action {
    Action::Put { name: name.into(), entry: Box::new(entry) }
}

/// Returns a catalogue of `count` entries, assigned to the teams in rotation.
pub fn catalogue(count: usize) -> Catalogue {
    let mut text = String::new();
    for team in TEAMS {
        text.extend([format!("[owners.{team}]\n")]);
    }
    for index in 0..count {
        text.extend([format!("[entries.e{index}]\nowner = \"{}\"\n", TEAMS[index % TEAMS.len()])]);
    }
    Catalogue::parse(&text).expect("valid catalogue")
}

/// Generates an entry that is valid in every catalogue with the teams above.
pub fn any_entry(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Entry> {
    let mut entry = entry(u.choose(&TEAMS)?);
    entry.class = *u.choose(&Class::ALL)?;
    entry.repeatable = u.arbitrary()?;
    entry.deadline_ms = u.int_in_range(1..=86_400_000)?;
    entry.weight = u.int_in_range(1..=1_000)?;
    entry.limits.rate = u.int_in_range(0..=10_000_000)?;
    entry.limits.queue = u.int_in_range(0..=1_000_000)?;
    entry.quota.memory_mb = u.int_in_range(0..=100_000_000_000)?;
    entry.retry.budget = f64::from(u.int_in_range(0_u32..=1_000)?) / 1_000.0;
    entry.hedge.budget = if entry.repeatable { f64::from(u.int_in_range(0_u32..=500)?) / 1_000.0 } else { 0.0 };
    entry.hedge.quantile = 0.5 + f64::from(u.int_in_range(0_u32..=499)?) / 1_000.0;
    Ok(entry)
}

/// Generates an `Apply` action with the teams above and some of the entries.
pub fn any_set(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Action> {
    let mut owners = indexmap::IndexMap::new();
    let mut entries = indexmap::IndexMap::new();
    for team in TEAMS {
        let weight = u.int_in_range(1..=3)?;
        owners.insert(Owner::from(team), Team { weight, ..Team::default() });
    }
    for name in ENTRIES {
        if u.arbitrary()? {
            entries.insert(EntryName::from(name), Arc::new(any_entry(u)?));
        }
    }
    Ok(Action::Apply { owners, entries })
}
