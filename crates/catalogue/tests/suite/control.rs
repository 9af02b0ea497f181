//! Tests of the control state: edits, idempotency keys, roles, tokens, rollback, deltas and limits on refusals.

use crate::support::{
    ADMIN_TOKEN, FIRST_TEAM_TOKEN, OTHER_ADMIN_TOKEN, START_MS, VIEWER_TOKEN, command, entry, issue, put, seeded, token,
};
use mangogw_catalogue::{
    Action, AuditQuery, Caller, Catalogue, Command, Control, Delta, RetentionLimits, Role, Token, TokenId,
};
use mangogw_model::{Code, Key, Version};

const GATES_TOKEN: u128 = FIRST_TEAM_TOKEN;
const MARSHALS_TOKEN: u128 = FIRST_TEAM_TOKEN + 1;

/// A control state that applies commands at consecutive log indexes.
struct ControlLog {
    control: Control,
}

impl ControlLog {
    fn new() -> Self {
        Self { control: seeded(Control::default()) }
    }

    fn apply(&mut self, command: &Command) -> mangogw_catalogue::Reply {
        self.control.apply(self.control.index() + 1, command)
    }

    fn code(&mut self, id: u128, base: u64, action: Action) -> Code {
        self.apply(&command(id, Some(base), action)).code
    }

    fn version(&self) -> u64 {
        self.control.catalogue().version().0
    }
}

fn keyed(command: Command, key: &str) -> Command {
    Command { key: Some(Key::from(key)), ..command }
}

#[test]
fn one_of_concurrent_edits_wins() {
    let mut log = ControlLog::new();
    let first = log.apply(&command(ADMIN_TOKEN, Some(1), put("gate-scan", entry("gates"))));
    let second = log.apply(&command(OTHER_ADMIN_TOKEN, Some(1), put("gate-scan", entry("tally"))));
    assert_eq!((first.code, first.version), (Code::Answered, Version(2)));
    assert_eq!((second.code, second.version), (Code::LostRace, Version(2)));
    assert_eq!(log.control.catalogue().entry(&"gate-scan".into()).expect("entry exists").owner.as_str(), "gates");
}

#[test]
fn edit_without_version_or_with_later_version_is_refused() {
    let mut log = ControlLog::new();
    assert_eq!(log.apply(&command(ADMIN_TOKEN, None, put("route", entry("marshals")))).code, Code::NeedsVersion);
    assert_eq!(log.code(ADMIN_TOKEN, 2, put("route", entry("marshals"))), Code::LostRace);
    assert_eq!(log.version(), 1);
}

#[test]
fn resend_gets_cached_reply() {
    let mut log = ControlLog::new();
    let change = keyed(command(ADMIN_TOKEN, Some(1), put("route", entry("marshals"))), "k1");
    let first = log.apply(&change);
    let later = Command { at_ms: START_MS + 60_000, from: "elsewhere".into(), ..change.clone() };
    assert_eq!(log.apply(&later), first);
    let records = log.control.retained_counts().0;
    log.control = Control::decode(&log.control.encode()).expect("valid snapshot");
    assert_eq!(log.apply(&later), first);
    assert_eq!((log.version(), log.control.retained_counts().0), (2, records));
}

#[test]
fn refusals_are_cached_and_keys_are_per_principal() {
    let mut log = ControlLog::new();
    let change = keyed(command(ADMIN_TOKEN, Some(0), put("route", entry("marshals"))), "k1");
    let lost = log.apply(&change);
    assert_eq!(lost.code, Code::LostRace);
    assert_eq!(log.code(ADMIN_TOKEN, 1, put("recount", entry("tally"))), Code::Answered);
    assert_eq!(log.apply(&change), lost, "the reply keeps the version of the first attempt");
    let others = keyed(command(OTHER_ADMIN_TOKEN, Some(2), put("route", entry("marshals"))), "k1");
    assert_eq!(log.apply(&others).code, Code::Answered);
}

#[test]
fn reused_key_with_different_change_is_refused() {
    let mut log = ControlLog::new();
    log.apply(&keyed(command(ADMIN_TOKEN, Some(1), put("route", entry("marshals"))), "k1"));
    let other = keyed(command(ADMIN_TOKEN, Some(2), put("route", entry("gates"))), "k1");
    assert_eq!(log.apply(&other).code, Code::KeyReused);
    let too_long = keyed(command(ADMIN_TOKEN, Some(2), put("route", entry("gates"))), &"k".repeat(129));
    assert_eq!(log.apply(&too_long).code, Code::BadHeader);
    assert_eq!(log.version(), 2);
}

#[test]
fn reply_cache_is_bounded_in_time_and_number() {
    let limits = RetentionLimits { cached_replies: 2, reply_ttl_ms: 1_000, ..RetentionLimits::default() };
    let mut log = ControlLog { control: seeded(Control::new(limits)) };
    let change = |version: u64, key: &str, at_ms: u64| {
        let command = command(ADMIN_TOKEN, Some(version), put("route", entry("marshals")));
        Command { at_ms, ..keyed(command, key) }
    };
    assert_eq!(log.apply(&change(1, "a", START_MS)).code, Code::Answered);
    assert_eq!(log.apply(&change(1, "a", START_MS + 1_000)).code, Code::Answered);
    assert_eq!(
        log.apply(&change(1, "a", START_MS + 1_001)).code,
        Code::LostRace,
        "evicted from the cache, but not applied twice"
    );
    log.apply(&change(2, "b", START_MS + 1_002));
    log.apply(&change(3, "c", START_MS + 1_003));
    assert_eq!(log.control.retained_counts().1, 2);
}

#[test]
fn edits_are_refused_during_shift() {
    let mut log = ControlLog::new();
    assert_eq!(log.code(GATES_TOKEN, 1, Action::Shift { open: true }), Code::Forbidden);
    assert_eq!(log.code(ADMIN_TOKEN, 1, Action::Shift { open: true }), Code::Answered);
    assert_eq!(log.code(ADMIN_TOKEN, 1, Action::Shift { open: true }), Code::ShiftState);
    let owners = [("gates".into(), mangogw_model::Team::default())];
    let edits = [
        put("route", entry("marshals")),
        Action::Delete { name: "route".into() },
        Action::Rollback { to: Version(0) },
        Action::PutOwner { name: "gates".into(), team: mangogw_model::Team::default() },
        Action::DeleteOwner { name: "gates".into() },
        Action::Apply { owners: owners.into(), entries: [].into() },
    ];
    for edit in edits {
        assert_eq!(log.code(ADMIN_TOKEN, 1, edit.clone()), Code::ShiftOpen, "{edit:?}");
    }
    assert_eq!(
        log.code(ADMIN_TOKEN, 1, issue(40, "new", Role::Viewer)),
        Code::Answered,
        "issuing a token is not an edit"
    );
    assert_eq!(log.code(ADMIN_TOKEN, 1, Action::Shift { open: false }), Code::Answered);
    assert_eq!(log.code(ADMIN_TOKEN, 1, put("route", entry("marshals"))), Code::Answered);
}

#[test]
fn teams_change_only_their_own_entries() {
    let mut log = ControlLog::new();
    assert_eq!(log.code(GATES_TOKEN, 1, put("gate-scan", entry("gates"))), Code::Answered);
    assert_eq!(
        log.code(MARSHALS_TOKEN, 2, put("gate-scan", entry("marshals"))),
        Code::Forbidden,
        "takes over an entry of another team"
    );
    assert_eq!(
        log.code(GATES_TOKEN, 2, put("gate-scan", entry("marshals"))),
        Code::Forbidden,
        "gives its entry to another team"
    );
    assert_eq!(log.code(MARSHALS_TOKEN, 2, Action::Delete { name: "gate-scan".into() }), Code::Forbidden);
    assert_eq!(log.code(MARSHALS_TOKEN, 2, put("route", entry("gates"))), Code::Forbidden);
    assert_eq!(log.code(VIEWER_TOKEN, 2, put("route", entry("marshals"))), Code::Forbidden);
    assert_eq!(log.code(GATES_TOKEN, 2, Action::Delete { name: "gate-scan".into() }), Code::Answered);
    let team = mangogw_model::Team::default();
    assert_eq!(log.code(GATES_TOKEN, 3, Action::PutOwner { name: "gates".into(), team }), Code::Forbidden);
    assert_eq!(log.code(GATES_TOKEN, 3, Action::DeleteOwner { name: "gates".into() }), Code::Forbidden);
    assert_eq!(log.code(GATES_TOKEN, 3, issue(50, "friend", Role::Administrator)), Code::Forbidden);
}

/// Returns an `Apply` action with the catalogue of `control`, in whose text `from` is replaced by `to`.
fn edited(control: &Control, from: &str, to: &str) -> Action {
    let text = control.catalogue().to_toml();
    assert!(text.contains(from), "{text}");
    let catalogue = Catalogue::parse(&text.replace(from, to)).expect("valid catalogue");
    Action::Apply { owners: catalogue.owners().clone(), entries: catalogue.entries().clone() }
}

#[test]
fn team_set_may_change_only_own_entries() {
    let mut log = ControlLog::new();
    assert_eq!(log.code(ADMIN_TOKEN, 1, put("gate-scan", entry("gates"))), Code::Answered);
    assert_eq!(log.code(ADMIN_TOKEN, 2, put("route", entry("marshals"))), Code::Answered);
    let own = edited(&log.control, "[entries.gate-scan]", "[entries.gate-scan-2]");
    assert_eq!(log.code(GATES_TOKEN, 3, own), Code::Answered);
    let others = edited(&log.control, "[entries.route]", "[entries.route-2]");
    assert_eq!(log.code(GATES_TOKEN, 4, others), Code::Forbidden);
    let quota = edited(&log.control, "weight = 1\nquota", "weight = 9\nquota");
    assert_eq!(log.code(GATES_TOKEN, 4, quota.clone()), Code::Forbidden);
    assert_eq!(log.code(ADMIN_TOKEN, 4, quota), Code::Answered);
}

#[test]
fn apply_is_atomic() {
    let mut log = ControlLog::new();
    let before = log.control.catalogue().clone();
    let entries = [("route", "marshals"), ("recount", "nobody-known")];
    let entries = entries.map(|(name, owner)| (name.into(), entry(owner).into())).into();
    let reply = log.apply(&command(ADMIN_TOKEN, Some(1), Action::Apply { owners: before.owners().clone(), entries }));
    assert_eq!(reply.code, Code::BadCatalogue);
    assert!(reply.detail.contains("entries.recount.owner"), "{}", reply.detail);
    assert_eq!(log.control.catalogue(), &before);
}

#[test]
fn invalid_entries_and_unknown_names_are_refused() {
    let mut log = ControlLog::new();
    let mut zero = entry("gates");
    zero.deadline_ms = 0;
    assert_eq!(log.code(ADMIN_TOKEN, 1, put("gate-scan", zero)), Code::BadCatalogue);
    assert_eq!(log.code(ADMIN_TOKEN, 1, put("Gate", entry("gates"))), Code::BadCatalogue);
    assert_eq!(log.code(ADMIN_TOKEN, 1, put("gate-scan", entry("strangers"))), Code::BadCatalogue);
    assert_eq!(log.code(ADMIN_TOKEN, 1, Action::Delete { name: "gate-scan".into() }), Code::UnknownEntry);
    assert_eq!(log.code(ADMIN_TOKEN, 1, Action::DeleteOwner { name: "strangers".into() }), Code::UnknownEntry);
    log.code(ADMIN_TOKEN, 1, put("gate-scan", entry("gates")));
    assert_eq!(log.code(ADMIN_TOKEN, 2, Action::DeleteOwner { name: "gates".into() }), Code::BadCatalogue);
}

#[test]
fn rollback_makes_new_version() {
    let mut log = ControlLog::new();
    log.code(ADMIN_TOKEN, 1, put("gate-scan", entry("gates")));
    let old = log.control.catalogue().clone();
    log.code(ADMIN_TOKEN, 2, put("route", entry("marshals")));
    log.code(ADMIN_TOKEN, 3, Action::Delete { name: "gate-scan".into() });
    assert_eq!(log.code(ADMIN_TOKEN, 4, Action::Rollback { to: Version(2) }), Code::Answered);
    assert_eq!(log.version(), 5);
    assert_eq!(log.control.catalogue().entries(), old.entries());
    assert_eq!(log.control.catalogue().digest(), old.digest());
    assert_eq!(log.code(ADMIN_TOKEN, 5, Action::Rollback { to: Version(9) }), Code::UnknownVersion);
    let made = log.control.history().map(|record| record.version.0).collect::<Vec<_>>();
    assert_eq!(made, [5, 4, 3, 2, 1]);
}

#[test]
fn delta_is_full_once_trail_is_trimmed() {
    let limits = RetentionLimits { audit_records: 5, ..RetentionLimits::default() };
    let mut log = ControlLog { control: seeded(Control::new(limits)) };
    let mut copy = log.control.catalogue().clone();
    for version in 1..=4 {
        log.code(ADMIN_TOKEN, version, put(&format!("e{version}"), entry("gates")));
    }
    let delta = log.control.delta(copy.version());
    assert_eq!((delta.full, delta.entries.len()), (false, 4));
    copy.install(&delta).expect("delta starts at the copy's version");
    assert_eq!(&copy, log.control.catalogue());
    assert!(log.control.delta(log.control.catalogue().version()).entries.is_empty());
    for _ in 0..5 {
        log.code(ADMIN_TOKEN, 0, put("late", entry("gates")));
    }
    assert!(log.control.delta(Version(1)).full, "records of refusals evicted the changes");
    assert!(log.control.catalogue_at(Version(1)).is_none());
    assert_eq!(log.control.delta(Version(1)), Delta::full(log.control.catalogue()));
}

#[test]
fn tokens_are_authenticated_revoked_and_expire() {
    let mut log = ControlLog::new();
    let text = token(GATES_TOKEN).to_text();
    let session = log.control.authenticate(&text, START_MS).expect("valid token");
    assert_eq!(session.principal.role, Role::Team("gates".into()));
    let wrong = Token::from_random(GATES_TOKEN, [0; 32]).to_text();
    let unknown = Token::from_random(999, [0; 32]).to_text();
    for bad in [wrong.as_str(), unknown.as_str(), "", "mgw_1_2", &text[1..], &format!("{text}0"), &format!("{text}_")] {
        assert_eq!(log.control.authenticate(bad, START_MS), Err(Code::Unauthorized), "{bad}");
    }
    assert_eq!(log.control.authenticate(&text, START_MS + 1_000_000_000), Err(Code::Unauthorized), "expired");
    let revoke = |id: u128| Action::Revoke { id: token(id).id() };
    assert_eq!(log.code(MARSHALS_TOKEN, 1, revoke(GATES_TOKEN)), Code::Forbidden);
    assert_eq!(log.code(GATES_TOKEN, 1, revoke(GATES_TOKEN)), Code::Answered, "own token");
    assert_eq!(log.control.authenticate(&text, START_MS), Err(Code::Unauthorized), "revoked");
    assert_eq!(
        log.code(GATES_TOKEN, 1, put("gate-scan", entry("gates"))),
        Code::Unauthorized,
        "token revoked before the command was applied"
    );
    assert_eq!(log.code(ADMIN_TOKEN, 1, revoke(777)), Code::UnknownToken);
}

#[test]
fn expired_reserved_or_reused_tokens_are_refused() {
    let mut log = ControlLog::new();
    let expired = |id| match issue(id, "late", Role::Viewer) {
        Action::Issue { id, hash, name, role, .. } => Action::Issue { id, hash, name, role, expires_ms: START_MS },
        other => other,
    };
    assert_eq!(log.code(ADMIN_TOKEN, 1, expired(60)), Code::BadRequest);
    assert_eq!(log.code(ADMIN_TOKEN, 1, issue(GATES_TOKEN, "again", Role::Viewer)), Code::BadRequest);
    assert_eq!(log.code(ADMIN_TOKEN, 1, issue(61, "bootstrap", Role::Viewer)), Code::BadRequest);
    assert_eq!(log.code(ADMIN_TOKEN, 1, issue(61, "nobody", Role::Viewer)), Code::BadRequest);
    assert_eq!(log.code(ADMIN_TOKEN, 1, issue(61, "No Name", Role::Viewer)), Code::BadRequest);
    assert_eq!(log.code(ADMIN_TOKEN, 1, issue(61, "x", Role::Team("No Team".into()))), Code::BadRequest);
}

#[test]
fn host_issues_admin_token_only_while_none_is_valid() {
    let mut control = Control::default();
    let mut bootstrap =
        |index, at_ms, action| control.apply(index, &Command::new(at_ms, Caller::Bootstrap, action)).code;
    assert_eq!(bootstrap(1, START_MS, issue(9, "viv", Role::Viewer)), Code::Forbidden);
    assert_eq!(bootstrap(2, START_MS, Action::Shift { open: true }), Code::Forbidden);
    assert_eq!(bootstrap(3, START_MS, issue(ADMIN_TOKEN, "ana", Role::Administrator)), Code::Answered);
    assert_eq!(bootstrap(4, START_MS, issue(OTHER_ADMIN_TOKEN, "bo", Role::Administrator)), Code::Forbidden);
    let expired = START_MS + 2_000_000_000;
    let late = Action::Issue {
        id: TokenId(70),
        hash: token(70).hash(),
        name: "cy".into(),
        role: Role::Administrator,
        expires_ms: expired + 1,
    };
    assert_eq!(bootstrap(5, expired, late), Code::Answered, "the only administrator's token has expired");
}

#[test]
fn full_token_table_evicts_expired_tokens() {
    let mut log =
        ControlLog { control: seeded(Control::new(RetentionLimits { tokens: 7, ..RetentionLimits::default() })) };
    assert_eq!(log.code(ADMIN_TOKEN, 1, issue(80, "a", Role::Viewer)), Code::Answered);
    assert_eq!(log.code(ADMIN_TOKEN, 1, issue(81, "b", Role::Viewer)), Code::TableFull);
    assert_eq!(log.code(ADMIN_TOKEN, 1, Action::Revoke { id: token(VIEWER_TOKEN).id() }), Code::Answered);
    assert_eq!(log.code(ADMIN_TOKEN, 1, issue(81, "b", Role::Viewer)), Code::Answered);
    assert_eq!(log.control.tokens().count(), 7);
}

#[test]
fn unauthenticated_flood_does_not_fill_trail() {
    let mut log = ControlLog::new();
    let before = log.control.retained_counts().0;
    let refused =
        |skipped| Action::Refused { code: Code::Unauthorized, description: "PUT /v1/catalogue/x".into(), skipped };
    for at_ms in START_MS..START_MS + 10_000 {
        let reply = log.apply(&Command::new(at_ms, Caller::Anonymous, refused(0)));
        assert_eq!(reply.code, Code::Unauthorized);
    }
    let recorded = log.control.retained_counts().0 - before;
    assert_eq!(recorded, 60 + 9, "a burst of 60, then one a second");
    let reported = log.control.audit(&AuditQuery::default()).map(|line| line.record.skipped).sum::<u64>();
    assert_eq!(
        reported + log.control.skipped_refusals() + recorded as u64,
        10_000,
        "every attempt is recorded or counted"
    );
    log.apply(&Command::new(START_MS + 60_000, Caller::Anonymous, refused(5)));
    let query = AuditQuery::default();
    let last = log.control.audit(&query).last().expect("audit record").record;
    assert_eq!((last.who.as_str(), last.skipped + reported), ("nobody", 10_000 - recorded as u64 + 5));
}

#[test]
fn flood_of_one_principal_does_not_limit_others() {
    let mut log = ControlLog::new();
    for _ in 0..1_000 {
        assert_eq!(log.code(VIEWER_TOKEN, 1, put("route", entry("marshals"))), Code::Forbidden);
    }
    assert_eq!(log.code(MARSHALS_TOKEN, 1, put("gate-scan", entry("gates"))), Code::Forbidden);
    let of = |who: &str| AuditQuery { who: Some(who.into()), refused: true, ..AuditQuery::default() };
    assert_eq!(log.control.audit(&of("viv")).count(), 60);
    assert_eq!(log.control.audit(&of("marshals-desk")).count(), 1);
    assert_eq!(log.control.skipped_refusals(), 940);
}

#[test]
fn log_index_is_applied_once() {
    let mut log = ControlLog::new();
    let index = log.control.index();
    let before = log.control.clone();
    let reply = log.control.apply(index, &command(ADMIN_TOKEN, Some(1), put("route", entry("marshals"))));
    assert_eq!(reply.code, Code::Internal);
    assert_eq!(log.control, before);
}
