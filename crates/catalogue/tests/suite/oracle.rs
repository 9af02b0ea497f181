//! Reference implementation of the control state that stores every version in full.

use crate::support::{ADMIN_TOKEN, FIRST_TEAM_TOKEN, OTHER_ADMIN_TOKEN, START_MS, TEAMS, VIEWER_TOKEN, token};
use mangogw_catalogue::{Action, Caller, Command, Reply, Role};
use mangogw_model::{Code, Entry, Team, Version};
use std::collections::BTreeMap;

/// Contents of one version of the catalogue.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CatalogueSet {
    pub owners: BTreeMap<String, Team>,
    pub entries: BTreeMap<String, Entry>,
}

/// A token without its secret.
#[derive(Debug, Clone)]
struct TokenHolder {
    name: String,
    role: Role,
    ends_ms: u64,
    revoked: bool,
}

/// A cached reply to a command with an idempotency key.
#[derive(Debug)]
struct CachedReply {
    who: String,
    key: String,
    at_ms: u64,
    body: String,
    reply: Reply,
}

/// Expected result of a command.
#[derive(Debug, PartialEq)]
pub enum ExpectedReply {
    /// The command is a resend: it gets this cached reply and changes nothing.
    Resent(Reply),
    /// The command is executed or refused, with this result code.
    Code(Code),
}

/// Reference control state.
#[derive(Debug)]
pub struct Oracle {
    pub versions: Vec<CatalogueSet>,
    pub shift: bool,
    tokens: BTreeMap<u128, TokenHolder>,
    replies: Vec<CachedReply>,
    ttl_ms: u64,
    max_replies: usize,
    /// True if the last command was cached under its key and its reply is not recorded yet.
    awaits_reply: bool,
}

impl Oracle {
    /// Returns the same state as `support::seeded`.
    pub fn seeded(ttl_ms: u64, max_replies: usize) -> Self {
        let holder = |name: &str, role| TokenHolder {
            name: name.to_owned(),
            role,
            ends_ms: START_MS + 1_000_000_000,
            revoked: false,
        };
        let mut tokens = BTreeMap::from([
            (ADMIN_TOKEN, holder("ana", Role::Administrator)),
            (OTHER_ADMIN_TOKEN, holder("bo", Role::Administrator)),
            (VIEWER_TOKEN, holder("viv", Role::Viewer)),
        ]);
        for (id, team) in (FIRST_TEAM_TOKEN..).zip(TEAMS) {
            tokens.insert(id, holder(&format!("{team}-desk"), Role::Team(team.into())));
        }
        let owners = TEAMS.map(|team| (team.to_owned(), Team::default())).into();
        let first = CatalogueSet { owners, ..CatalogueSet::default() };
        Self {
            versions: vec![CatalogueSet::default(), first],
            shift: false,
            tokens,
            replies: Vec::new(),
            ttl_ms,
            max_replies,
            awaits_reply: false,
        }
    }

    pub fn version(&self) -> u64 {
        self.versions.len() as u64 - 1
    }

    pub fn current(&self) -> &CatalogueSet {
        self.versions.last().expect("at least one version")
    }

    pub fn token_ids(&self) -> Vec<u128> {
        self.tokens.keys().copied().collect()
    }

    /// Applies `command` and returns its expected result.
    pub fn apply(&mut self, command: &Command) -> ExpectedReply {
        while self.replies.first().is_some_and(|cached| cached.at_ms + self.ttl_ms < command.at_ms) {
            self.replies.remove(0);
        }
        self.awaits_reply = false;
        let Some(holder) = self.holder(command) else {
            return ExpectedReply::Code(match command.action {
                Action::Refused { code, .. } => code,
                _ => Code::Unauthorized,
            });
        };
        let body = format!("{:?} {:?}", command.base, command.action);
        let key = command.key.as_ref().map(ToString::to_string);
        let known = self.replies.iter().find(|cached| cached.who == holder.name && Some(&cached.key) == key.as_ref());
        match known {
            Some(cached) if cached.body == body => return ExpectedReply::Resent(cached.reply.clone()),
            Some(_) => return ExpectedReply::Code(Code::KeyReused),
            None => {}
        }
        let code = self.expected_code(&holder, command);
        if let Some(key) = key.filter(|_| code != Code::Forbidden) {
            let reply = Reply { code, version: Version::default(), detail: String::new() };
            self.awaits_reply = true;
            self.replies.push(CachedReply { who: holder.name, key, at_ms: command.at_ms, body, reply });
            if self.replies.len() > self.max_replies {
                self.replies.remove(0);
            }
        }
        ExpectedReply::Code(code)
    }

    /// Records the reply to the last command, so that the reply to a resend can be compared with it.
    pub fn record_reply(&mut self, given: &Reply) {
        if let Some(cached) = self.replies.last_mut().filter(|_| self.awaits_reply) {
            cached.reply = given.clone();
        }
    }

    fn holder(&self, command: &Command) -> Option<TokenHolder> {
        match command.caller {
            Caller::Anonymous => None,
            Caller::Bootstrap => {
                let role = Role::Administrator;
                Some(TokenHolder { name: "bootstrap".into(), role, ends_ms: u64::MAX, revoked: false })
            }
            Caller::Token(id) => {
                let live = |holder: &&TokenHolder| !holder.revoked && command.at_ms < holder.ends_ms;
                self.tokens.get(&id.0).filter(live).cloned()
            }
        }
    }

    fn expected_code(&mut self, holder: &TokenHolder, command: &Command) -> Code {
        let is_admin = holder.role == Role::Administrator;
        let is_bootstrap = command.caller == Caller::Bootstrap;
        let is_edit = matches!(
            command.action,
            Action::Put { .. }
                | Action::Delete { .. }
                | Action::PutOwner { .. }
                | Action::DeleteOwner { .. }
                | Action::Apply { .. }
                | Action::Rollback { .. }
        );
        match &command.action {
            Action::Issue { .. } if !is_admin => return Code::Forbidden,
            Action::Issue { .. } => {}
            _ if is_bootstrap => return Code::Forbidden,
            Action::Shift { .. } if !is_admin => return Code::Forbidden,
            _ if is_edit && holder.role == Role::Viewer => return Code::Forbidden,
            _ => {}
        }
        if is_edit {
            return self.edit(holder, command);
        }
        match &command.action {
            Action::Shift { open } if *open == self.shift => Code::ShiftState,
            Action::Shift { open } => {
                self.shift = *open;
                Code::Answered
            }
            Action::Issue { id, name, role, expires_ms, .. } => {
                let live = |holder: &TokenHolder| holder.role == Role::Administrator && !holder.revoked;
                let exists = self.tokens.values().any(|holder| live(holder) && command.at_ms < holder.ends_ms);
                match () {
                    () if is_bootstrap && (*role != Role::Administrator || exists) => Code::Forbidden,
                    () if self.tokens.contains_key(&id.0) => Code::BadRequest,
                    () => {
                        let (name, role) = (name.clone(), role.clone());
                        self.tokens.insert(id.0, TokenHolder { name, role, ends_ms: *expires_ms, revoked: false });
                        Code::Answered
                    }
                }
            }
            Action::Revoke { id } => match self.tokens.get_mut(&id.0) {
                None => Code::UnknownToken,
                Some(token) if !is_admin && (&token.name, &token.role) != (&holder.name, &holder.role) => {
                    Code::Forbidden
                }
                Some(token) => {
                    token.revoked = true;
                    Code::Answered
                }
            },
            Action::Refused { code, .. } => *code,
            other => panic!("expected an action that is not an edit, got {other:?}"),
        }
    }

    fn edit(&mut self, holder: &TokenHolder, command: &Command) -> Code {
        match command.base {
            _ if self.shift => return Code::ShiftOpen,
            None => return Code::NeedsVersion,
            Some(base) if base.0 != self.version() => return Code::LostRace,
            Some(_) => {}
        }
        let next = match self.next(&command.action) {
            Ok(next) => next,
            Err(code) => return code,
        };
        if !is_permitted(&holder.role, &command.action, self.current(), &next) {
            return Code::Forbidden;
        }
        self.versions.push(next);
        Code::Answered
    }

    fn next(&self, action: &Action) -> Result<CatalogueSet, Code> {
        let mut next = self.current().clone();
        match action {
            Action::Put { name, entry } => {
                next.entries.insert(name.to_string(), (**entry).clone());
            }
            Action::Delete { name } => {
                next.entries.remove(name.as_str()).ok_or(Code::UnknownEntry)?;
            }
            Action::PutOwner { name, team } => {
                next.owners.insert(name.to_string(), team.clone());
            }
            Action::DeleteOwner { name } => {
                next.owners.remove(name.as_str()).ok_or(Code::UnknownEntry)?;
            }
            Action::Apply { owners, entries } => {
                next.owners = owners.iter().map(|(name, team)| (name.to_string(), team.clone())).collect();
                next.entries = entries.iter().map(|(name, entry)| (name.to_string(), (**entry).clone())).collect();
            }
            Action::Rollback { to } => {
                next = self.versions.get(to.0 as usize).cloned().ok_or(Code::UnknownVersion)?;
            }
            other => panic!("expected an edit, got {other:?}"),
        }
        let owned = |entry: &Entry| next.owners.contains_key(entry.owner.as_str()) && entry.deadline_ms > 0;
        if next.entries.values().all(owned) { Ok(next) } else { Err(Code::BadCatalogue) }
    }
}

/// Checks ownership: an action on one record needs its ownership even if it changes nothing; a set needs the ownership
/// of the records that differ.
fn is_permitted(role: &Role, action: &Action, old: &CatalogueSet, new: &CatalogueSet) -> bool {
    let Role::Team(team) = role else { return true };
    let own = |entry: Option<&Entry>| entry.is_none_or(|entry| entry.owner == *team);
    let both = |name: &str| own(old.entries.get(name)) && own(new.entries.get(name));
    let same = |name: &str| old.entries.get(name) == new.entries.get(name);
    match action {
        Action::PutOwner { .. } | Action::DeleteOwner { .. } => false,
        Action::Put { name, .. } | Action::Delete { name } => both(name.as_str()),
        _ => {
            let mut names = old.entries.keys().chain(new.entries.keys());
            old.owners == new.owners && names.all(|name| same(name) || both(name))
        }
    }
}

/// Returns an action that issues a token with this id and role.
pub fn issue_for(id: u128, role: Role) -> Action {
    let token = token(id);
    Action::Issue {
        id: token.id(),
        hash: token.hash(),
        name: format!("holder-{id}"),
        role,
        expires_ms: START_MS + 1_000_000_000,
    }
}
