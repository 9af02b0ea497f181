//! Fuzz test that applies random commands to `Control` and to the reference implementation, and compares both.

use crate::oracle::{CatalogueSet, ExpectedReply, Oracle, issue_for};
use crate::support::{ENTRIES, START_MS, TEAMS, any_entry, any_set, for_each_seed, put, seeded};
use arbtest::arbitrary::{Result, Unstructured};
use mangogw_catalogue::{
    Action, AuditQuery, Caller, Catalogue, Change, Command, Control, RetentionLimits, TokenId, verify_export,
};
use mangogw_catalogue::{Reply, Role};
use mangogw_model::{Code, Key, Team, Version};
use std::collections::{BTreeMap, BTreeSet};

const REPLY_TTL_MS: u64 = 2_000;
const MAX_CACHED_REPLIES: usize = 12;

/// Both states, a copy of the catalogue that is updated by deltas, and the commands sent with their replies.
struct Simulation {
    control: Control,
    oracle: Oracle,
    copy: Catalogue,
    now_ms: u64,
    sent: Vec<Command>,
    replies: Vec<Reply>,
    /// Number of commands that were not answered as resends.
    expected_tries: u64,
}

impl Simulation {
    fn new() -> Self {
        let limits = RetentionLimits {
            reply_ttl_ms: REPLY_TTL_MS,
            cached_replies: MAX_CACHED_REPLIES,
            ..RetentionLimits::default()
        };
        let control = seeded(Control::new(limits));
        let expected_tries = control.audit_head().seq;
        let copy = control.catalogue().clone();
        let oracle = Oracle::seeded(REPLY_TTL_MS, MAX_CACHED_REPLIES);
        Self { control, oracle, copy, now_ms: START_MS, sent: Vec::new(), replies: Vec::new(), expected_tries }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        // The clock of a new leader may be slightly behind that of the old one.
        self.now_ms = (self.now_ms + u.int_in_range(0..=300)?) - u.int_in_range(0..=40)?;
        match u.int_in_range(0..=19)? {
            0 => self.control = Control::decode(&self.control.encode()).expect("valid snapshot"),
            1 => self.install_delta(),
            2 if !self.sent.is_empty() => {
                let command = u.choose(&self.sent)?.clone();
                self.send(Command { at_ms: self.now_ms, ..command });
            }
            _ => {
                let command = self.command(u)?;
                self.send(command);
            }
        }
        Ok(())
    }

    fn send(&mut self, command: Command) {
        let expected = self.oracle.apply(&command);
        let index = self.control.index() + 1;
        let before = self.control.catalogue().version();
        let reply = self.control.apply(index, &command);
        let after = self.control.catalogue().version();
        match expected {
            ExpectedReply::Resent(first) => {
                assert_eq!((&reply, after), (&first, before), "a resend of {command:?}");
            }
            ExpectedReply::Code(code) => {
                assert_eq!(reply.code, code, "{command:?}: {}", reply.detail);
                assert_eq!(reply.version, after);
                self.oracle.record_reply(&reply);
                self.expected_tries += 1;
            }
        }
        assert_eq!(after.0, self.oracle.version());
        assert!(after.0 == before.0 || after.0 == before.0 + 1, "{before} to {after}");
        assert_eq!(self.control.shift().open, self.oracle.shift);
        assert_eq!(&set(self.control.catalogue()), self.oracle.current());
        self.sent.push(command);
        self.replies.push(reply);
    }

    /// Updates the copy to the current version by a delta, from any earlier version.
    fn install_delta(&mut self) {
        let delta = self.control.delta(self.copy.version());
        self.copy.install(&delta).expect("delta starts at the copy's version");
        assert_eq!(&self.copy, self.control.catalogue());
    }

    fn command(&self, u: &mut Unstructured<'_>) -> Result<Command> {
        let caller = match u.int_in_range(0..=24)? {
            0 => Caller::Anonymous,
            1 => Caller::Bootstrap,
            2 => Caller::Token(TokenId(999)),
            3..=10 => Caller::Token(TokenId(crate::support::ADMIN_TOKEN)),
            _ => Caller::Token(TokenId(*u.choose(&self.oracle.token_ids())?)),
        };
        let current = self.oracle.version();
        let base = match u.int_in_range(0..=9)? {
            0 => None,
            1 => Some(current.saturating_sub(1)),
            2 => Some(u.int_in_range(0..=current + 1)?),
            _ => Some(current),
        };
        let key = u.ratio(1, 3)?.then(|| u.int_in_range(0..=20)).transpose()?;
        let key = key.map(|number: u8| Key::from(format!("key-{number}")));
        let action = self.action(u)?;
        Ok(Command { base: base.map(Version), key, ..Command::new(self.now_ms, caller, action) })
    }

    fn action(&self, u: &mut Unstructured<'_>) -> Result<Action> {
        let name = u.choose(&ENTRIES)?;
        let owner = u.choose(&["gates", "marshals", "tally", "ghosts"])?;
        Ok(match u.int_in_range(0..=29)? {
            0 => Action::Shift { open: true },
            1..=3 => Action::Shift { open: false },
            4..=6 => Action::Delete { name: (*name).into() },
            7 => any_set(u)?,
            8..=9 => Action::Rollback { to: Version(u.int_in_range(0..=self.oracle.version() + 1)?) },
            10 => Action::PutOwner {
                name: (*owner).into(),
                team: Team { weight: u.int_in_range(1..=9)?, ..Team::default() },
            },
            11 => Action::DeleteOwner { name: (*owner).into() },
            12 => issue_for(u.int_in_range(1..=40)?, role(u)?),
            13 => Action::Revoke { id: TokenId(u.int_in_range(2..=40)?) },
            14 => Action::Refused { code: Code::BadCatalogue, description: "PUT: faults".into(), skipped: 0 },
            15 => {
                let mut entry = any_entry(u)?;
                entry.deadline_ms = 0;
                put(name, entry)
            }
            16 => {
                let mut entry = any_entry(u)?;
                entry.owner = "strangers".into();
                put(name, entry)
            }
            _ => put(name, any_entry(u)?),
        })
    }

    fn finish(&mut self) {
        self.install_delta();
        self.check_audit();
        self.check_winners();
        self.check_versions();
        self.check_replay();
    }

    /// Checks that every command is recorded or counted, the hash chain is valid, and the recorded changes add up to
    /// the current catalogue.
    fn check_audit(&self) {
        let lines = self.control.audit(&AuditQuery::default()).map(|line| line.to_string()).collect::<Vec<_>>();
        let records = self.control.audit(&AuditQuery::default()).map(|line| line.record).collect::<Vec<_>>();
        let reported = records.iter().map(|record| record.skipped).sum::<u64>();
        assert_eq!(records.len() as u64 + reported + self.control.skipped_refusals(), self.expected_tries);
        let head = self.control.verify_audit().expect("valid audit trail");
        let export = verify_export(&(lines.join("\n") + "\n")).expect("valid export");
        assert_eq!((export.last_seq, export.hash), (head.seq, head.hash.to_string()));
        let mut set = CatalogueSet::default();
        for change in records.into_iter().flat_map(|record| record.changes) {
            match change {
                Change::Entry { name, before, after } => {
                    assert_eq!(set.entries.get(name.as_str()), before.as_deref());
                    replace(&mut set.entries, name.as_str(), after.as_deref().cloned());
                }
                Change::Owner { name, before, after } => {
                    assert_eq!(set.owners.get(name.as_str()), before.as_ref());
                    replace(&mut set.owners, name.as_str(), after);
                }
                Change::Shift { .. } | Change::Token { .. } => {}
            }
        }
        assert_eq!(&set, self.oracle.current());
    }

    /// Checks that each version was made by exactly one change.
    fn check_winners(&self) {
        let mut made = BTreeSet::new();
        for record in self.control.history() {
            assert!(made.insert(record.version), "version {} was made twice", record.version);
        }
        assert_eq!(made.len() as u64, self.oracle.version());
    }

    fn check_versions(&self) {
        for (version, set) in (0..).zip(&self.oracle.versions).step_by(9) {
            let catalogue =
                self.control.catalogue_at(Version(version)).expect("audit trail reaches back to the version");
            assert_eq!(&self::set(&catalogue), set, "version {version}");
        }
    }

    /// Checks that replaying the log gives the same bytes and replies, and that a snapshot with the rest of the log
    /// gives the same bytes.
    fn check_replay(&self) {
        let limits = self.control.limits().clone();
        let mut replay = seeded(Control::new(limits));
        let mut half = None;
        for (at, (command, reply)) in self.sent.iter().zip(&self.replies).enumerate() {
            if at == self.sent.len() / 2 {
                half = Some(Control::decode(&replay.encode()).expect("valid snapshot"));
            }
            let command = Command::decode(&command.encode()).expect("valid command");
            assert_eq!(&replay.apply(replay.index() + 1, &command), reply);
        }
        assert!(replay == self.control, "the replay differs");
        assert!(replay.encode() == self.control.encode(), "the bytes of the replay differ");
        let Some(mut half) = half else { return };
        for command in &self.sent[self.sent.len() / 2..] {
            half.apply(half.index() + 1, command);
        }
        assert!(half.encode() == self.control.encode(), "the snapshot with the rest of the log differs");
    }
}

fn role(u: &mut Unstructured<'_>) -> Result<Role> {
    Ok(match u.int_in_range(0..=2)? {
        0 => Role::Administrator,
        1 => Role::Viewer,
        _ => Role::Team((*u.choose(&TEAMS)?).into()),
    })
}

fn replace<T>(map: &mut BTreeMap<String, T>, name: &str, value: Option<T>) {
    match value {
        Some(value) => drop(map.insert(name.to_owned(), value)),
        None => drop(map.remove(name)),
    }
}

fn set(catalogue: &Catalogue) -> CatalogueSet {
    let owners = catalogue.owners().iter().map(|(name, team)| (name.to_string(), team.clone()));
    let entries = catalogue.entries().iter().map(|(name, entry)| (name.to_string(), (**entry).clone()));
    CatalogueSet { owners: owners.collect(), entries: entries.collect() }
}

#[test]
fn control_matches_oracle() {
    for_each_seed(40, 8_000, |u| {
        let mut simulation = Simulation::new();
        while !u.is_empty() {
            simulation.step(u)?;
        }
        assert!(simulation.sent.len() > 100, "only {} commands", simulation.sent.len());
        simulation.finish();
        Ok(())
    });
}
