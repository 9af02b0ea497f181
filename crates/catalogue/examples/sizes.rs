//! Measures the control state: `cargo run --release -p mangogw-catalogue --example sizes -- ENTRIES CHANGES`.
//!
//! Prints the times of an edit and of its delta to a copy, the size and times of a snapshot, and the resident memory.

use mangogw_catalogue::{Action, Caller, Catalogue, Command, Control, Delta, Role, Token, TokenId};
use mangogw_model::{Code, Entry, EntryName, Key, Version};
use std::time::{Duration, Instant};

/// Length of a day of the larger installation, over which the edits are spread evenly, in milliseconds.
const DAY_MS: u64 = 24 * 3_600_000;

/// Number of teams among which the entries are divided.
const TEAM_COUNT: usize = 450;

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>().expect("a number"));
    let entries = args.next().unwrap_or(1_000);
    let changes = args.next().unwrap_or(40_000);
    let before = resident_kb();
    let mut control = Control::default();
    let admin = first_token(&mut control);
    let text = catalogue(entries);
    let started = Instant::now();
    let set = Catalogue::parse(&text).expect("valid catalogue");
    println!("parse of {} bytes: {:?}", text.len(), started.elapsed());
    let apply = Action::Apply { owners: set.owners().clone(), entries: set.entries().clone() };
    let apply = Command { base: Some(Version(0)), ..Command::new(1, Caller::Token(admin), apply) };
    println!("command of the whole set: {} bytes", apply.encode().len());
    let started = Instant::now();
    assert_eq!(control.apply(2, &apply).code, Code::Answered);
    println!("apply of the whole set: {:?}", started.elapsed());
    measure_changes(&mut control, admin, entries, changes);
    println!("memory held, the copy and the times included: {} KB", resident_kb().saturating_sub(before));
    measure_snapshot(&control);
    println!("memory with a snapshot under way: {} KB", resident_kb().saturating_sub(before));
}

fn first_token(control: &mut Control) -> TokenId {
    let token = Token::from_random(1, [1; 32]);
    let (id, hash) = (token.id(), token.hash());
    let issue = Action::Issue { id, hash, name: "ana".into(), role: Role::Administrator, expires_ms: u64::MAX };
    assert_eq!(control.apply(1, &Command::new(1, Caller::Bootstrap, issue)).code, Code::Answered);
    id
}

fn catalogue(entries: usize) -> String {
    let owners = (0..TEAM_COUNT).map(|team| format!("[owners.team-{team}]\nquota = {{ cores = 800 }}"));
    let entry = |index| format!("[entries.entry-{index}]\nowner = \"team-{}\"\nlimits.rate = 100", index % TEAM_COUNT);
    owners.chain((0..entries).map(entry)).collect::<Vec<_>>().join("\n")
}

fn measure_changes(control: &mut Control, admin: TokenId, entries: usize, changes: usize) {
    let mut copy = control.catalogue().clone();
    let mut applied = Vec::with_capacity(changes);
    let mut installed = Vec::with_capacity(changes);
    let (mut bytes, mut delta_bytes) = (0, 0);
    for step in 0..changes {
        let command = change(control, admin, (step * 7_919) % entries, step, changes);
        let started = Instant::now();
        let reply = control.apply(step as u64 + 3, &command);
        applied.push(started.elapsed());
        assert_eq!(reply.code, Code::Answered);
        let started = Instant::now();
        let delta = control.delta(copy.version());
        copy.install(&delta).expect("delta starts at the copy's version");
        installed.push(started.elapsed());
        bytes += command.encode().len();
        delta_bytes += postcard::to_stdvec(&delta).expect("encodable delta").len();
    }
    assert_eq!(&copy, control.catalogue());
    println!("changes: {changes}, command {} bytes, delta {} bytes", bytes / changes, delta_bytes / changes);
    print_times("apply", &mut applied);
    print_times("delta and install", &mut installed);
}

fn change(control: &Control, admin: TokenId, index: usize, step: usize, changes: usize) -> Command {
    let name = EntryName::from(format!("entry-{index}"));
    let mut entry = Entry::clone(control.catalogue().entry(&name).expect("entry exists"));
    entry.limits.rate = 100 + step as u32;
    let at_ms = DAY_MS * step as u64 / changes as u64;
    Command {
        key: Some(Key::from(format!("change-{step}"))),
        base: Some(control.catalogue().version()),
        from: "10.0.0.1:40000".into(),
        ..Command::new(at_ms, Caller::Token(admin), Action::Put { name, entry: Box::new(entry) })
    }
}

fn measure_snapshot(control: &Control) {
    let started = Instant::now();
    let bytes = control.encode();
    let encode = started.elapsed();
    let started = Instant::now();
    let decoded = Control::decode(&bytes).expect("valid snapshot");
    println!("snapshot: {} bytes, encode {encode:?}, decode {:?}", bytes.len(), started.elapsed());
    assert!(&decoded == control, "decoded snapshot differs from the state");
    drop(decoded);
    let started = Instant::now();
    control.verify_audit().expect("valid audit trail");
    let (records, answers) = control.retained_counts();
    println!("audit: {records} records, verify {:?}; answers: {answers}", started.elapsed());
    let json = serde_json::to_vec(&Delta::full(control.catalogue())).expect("serializable as JSON");
    println!("whole delta as JSON: {} bytes", json.len());
}

fn print_times(label: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let mean = times.iter().sum::<Duration>() / times.len() as u32;
    println!("{label}: mean {mean:?}, p50 {:?}, p99 {:?}, max {:?}", at(0.5), at(0.99), at(1.0));
}

/// Returns the resident memory of this process in kilobytes; 0 if the system does not provide it.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}
