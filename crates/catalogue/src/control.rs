//! The replicated control state, and how commands of the log change it.

use crate::audit::{AuditHead, AuditQuery, AuditRecord, AuditTrail, ChainError, ExportLine};
use crate::audit_limiter::AuditLimiter;
use crate::catalogue::Catalogue;
use crate::change::Change;
use crate::command::{self, Action, Caller, Command, DecodeError, Reply};
use crate::delta::{Delta, Edit};
use crate::plan::{Plan, Refusal};
use crate::reply_cache::{CacheLookup, ReplyCache};
use crate::token::{self, Principal, Role, Session, Shift, StoredToken, TokenId, TokenView};
use indexmap::IndexMap;
use mangogw_model::{Code, Version};
use serde::{Deserialize, Serialize};

/// Format number of a snapshot, stored as its first byte.
const SNAPSHOT_FORMAT: u8 = 1;

/// Maximum length of a snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 256 * 1024 * 1024;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Maximum length of a reply's detail, in bytes; longer ones are truncated, since replies are cached.
const MAX_DETAIL_BYTES: usize = 1_024;

/// Principal of a host that issues the first token.
pub(crate) const BOOTSTRAP_PRINCIPAL: &str = "bootstrap";

/// Principal of an attempt without a valid token.
pub(crate) const ANONYMOUS_PRINCIPAL: &str = "nobody";

/// Limits on what the control state retains; part of the state, so that all replicas retain the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionLimits {
    /// Maximum number of audit records.
    pub audit_records: usize,
    /// Maximum number of changes in all audit records together; one replaced catalogue may count for many.
    pub audit_changes: u64,
    /// Maximum number of replies cached under idempotency keys.
    pub cached_replies: usize,
    /// Time for which a reply is cached, in milliseconds.
    pub reply_ttl_ms: u64,
    /// Maximum number of tokens, including expired and revoked ones.
    pub tokens: usize,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        Self {
            audit_records: 50_000,
            audit_changes: 100_000,
            cached_replies: 50_000,
            reply_ttl_ms: 24 * 3_600_000,
            tokens: 4_096,
        }
    }
}

/// The replicated control state; equal logs produce equal states, byte for byte.
///
/// ```
/// use mangogw_catalogue::{Action, Caller, Command, Control, Role, Token};
/// use mangogw_model::Code;
///
/// let mut control = Control::default();
/// let token = Token::from_random(1, [7; 32]);
/// let (id, hash) = (token.id(), token.hash());
/// let issue = Action::Issue { id, hash, name: "ana".into(), role: Role::Administrator, expires_ms: 9_000 };
/// let reply = control.apply(1, &Command::new(1_000, Caller::Bootstrap, issue));
/// assert_eq!(reply.code, Code::Answered);
/// assert_eq!(control.authenticate(&token.to_text(), 2_000).expect("valid token").principal.name, "ana");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Control {
    pub(crate) limits: RetentionLimits,
    index: u64,
    pub(crate) catalogue: Catalogue,
    pub(crate) shift: Shift,
    pub(crate) tokens: IndexMap<TokenId, StoredToken>,
    replies: ReplyCache,
    pub(crate) trail: AuditTrail,
    refusal_limiters: IndexMap<String, AuditLimiter>,
}

impl Control {
    /// Creates an empty state with these retention limits.
    pub fn new(limits: RetentionLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Applies the command at `index` of the log; does nothing if the index was applied before, and returns
    /// `Internal`.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        if index <= self.index {
            return self.reply(Code::Internal, "this index of the log was applied before");
        }
        self.index = index;
        self.replies.expire(command.at_ms, self.limits.reply_ttl_ms);
        let Some(principal) = self.principal(command) else {
            return self.refuse_anonymous(command);
        };
        match self.cached_reply(&principal, command) {
            Ok(Some(reply)) => reply,
            Ok(None) => {
                let result = self.plan(&principal, command);
                self.finish(&principal, command, result)
            }
            Err(refusal) => self.refuse(&principal, command, &refusal),
        }
    }

    /// Returns the session of a bearer token.
    ///
    /// # Errors
    ///
    /// Returns `Unauthorized` if the token is malformed, unknown, expired or revoked.
    pub fn authenticate(&self, text: &str, now_ms: u64) -> Result<Session, Code> {
        token::authenticate(&self.tokens, text, now_ms)
    }

    /// Current catalogue.
    pub const fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Current shift state.
    pub const fn shift(&self) -> &Shift {
        &self.shift
    }

    /// Log index of the last applied command; 0 if there is none.
    pub const fn index(&self) -> u64 {
        self.index
    }

    /// Retention limits of the state.
    pub const fn limits(&self) -> &RetentionLimits {
        &self.limits
    }

    /// All tokens, oldest first.
    pub fn tokens(&self) -> impl Iterator<Item = (TokenId, &TokenView)> {
        self.tokens.iter().map(|(id, stored)| (*id, &stored.view))
    }

    /// Returns the catalogue at `version`, or `None` if the audit trail no longer holds every change since.
    pub fn catalogue_at(&self, version: Version) -> Option<Catalogue> {
        let changes = self.trail.changes_since(version, self.catalogue.version())?;
        let mut catalogue = self.catalogue.clone();
        for change in changes.into_iter().rev() {
            catalogue.apply_change(&change.reversed());
        }
        catalogue.version = version;
        Some(catalogue)
    }

    /// Returns the delta from version `from` to the current one; a full delta if the audit trail no longer reaches back
    /// to `from`.
    pub fn delta(&self, from: Version) -> Delta {
        match self.trail.changes_since(from, self.catalogue.version()) {
            Some(changes) => Delta::merge(from, &changes, &self.catalogue),
            None => Delta::full(&self.catalogue),
        }
    }

    /// Audit records of edits, each of which made a version; newest first.
    pub fn history(&self) -> impl Iterator<Item = AuditRecord> {
        self.trail.edits()
    }

    /// Returns the audit records that match `query`, oldest first, with their chain hashes.
    pub fn audit<'a>(&'a self, query: &'a AuditQuery) -> impl Iterator<Item = ExportLine> + 'a {
        self.trail.find(query)
    }

    /// Position and hash of the newest audit record.
    pub fn audit_head(&self) -> AuditHead {
        self.trail.head()
    }

    /// Number of audit records and of cached replies.
    pub fn retained_counts(&self) -> (usize, usize) {
        (self.trail.len(), self.replies.len())
    }

    /// Verifies the hash chain of the retained audit trail.
    ///
    /// # Errors
    ///
    /// Returns the position of the first invalid record, with the reason.
    pub fn verify_audit(&self) -> Result<AuditHead, ChainError> {
        self.trail.verify()
    }

    /// Number of refused attempts that were not recorded and are not yet reported in the `skipped` field of a record.
    pub fn skipped_refusals(&self) -> u64 {
        self.refusal_limiters.values().map(AuditLimiter::skipped).sum()
    }

    /// Encodes the state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        command::encode(SNAPSHOT_FORMAT, self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the reason if the bytes are not exactly one valid snapshot.
    ///
    /// ```
    /// use mangogw_catalogue::Control;
    ///
    /// let control = Control::default();
    /// assert_eq!(Control::decode(&control.encode()).expect("valid snapshot"), control);
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        command::decode(SNAPSHOT_FORMAT, MAX_SNAPSHOT_BYTES, bytes)
    }

    fn principal(&self, command: &Command) -> Option<Principal> {
        match command.caller {
            Caller::Anonymous => None,
            Caller::Bootstrap => Some(Principal { name: BOOTSTRAP_PRINCIPAL.to_owned(), role: Role::Administrator }),
            Caller::Token(id) => {
                let stored = self.tokens.get(&id)?;
                stored.view.is_live(command.at_ms).then(|| stored.view.principal.clone())
            }
        }
    }

    /// Returns the cached reply if the command is a resend under its idempotency key.
    fn cached_reply(&self, principal: &Principal, command: &Command) -> Result<Option<Reply>, Refusal> {
        let Some(key) = &command.key else { return Ok(None) };
        if !(1..=MAX_KEY_BYTES).contains(&key.as_str().len()) {
            return Err(Refusal::new(Code::BadHeader, format!("Idempotency-Key has 1 to {MAX_KEY_BYTES} bytes")));
        }
        match self.replies.find(&principal.name, key, command) {
            CacheLookup::Miss => Ok(None),
            CacheLookup::Hit(reply) => Ok(Some(reply.clone())),
            CacheLookup::Conflict => Err(Refusal::new(Code::KeyReused, "another change was sent under this key")),
        }
    }

    fn finish(&mut self, principal: &Principal, command: &Command, result: Result<Plan, Refusal>) -> Reply {
        let reply = match result {
            Ok(plan) => self.commit(principal, command, plan),
            Err(refusal) => self.refuse(principal, command, &refusal),
        };
        match &command.key {
            Some(key) if reply.code != Code::Forbidden => {
                self.replies.insert(&principal.name, key, command, &reply, self.limits.cached_replies);
            }
            _ => {}
        }
        reply
    }

    fn commit(&mut self, principal: &Principal, command: &Command, plan: Plan) -> Reply {
        for change in &plan.changes {
            self.apply_change(change, command);
        }
        let is_edit = command.action.is_edit();
        self.catalogue.version.0 += u64::from(is_edit);
        let reply = self.reply(Code::Answered, &plan.detail);
        let skipped = self.refusal_limiters.get_mut(&principal.name).map_or(0, AuditLimiter::take_skipped);
        let record = record(principal, command, &reply, skipped, plan.changes);
        self.trail.push(record, is_edit);
        self.trail.trim(self.limits.audit_records, self.limits.audit_changes);
        reply
    }

    fn apply_change(&mut self, change: &Change, command: &Command) {
        match (change, &command.action) {
            (Change::Entry { .. } | Change::Owner { .. }, _) => self.catalogue.apply_change(change),
            (Change::Shift { after, .. }, _) => self.shift = after.clone(),
            (Change::Token { id, after: Some(view), .. }, Action::Issue { hash, .. }) => {
                self.tokens.insert(*id, StoredToken { hash: *hash, view: view.clone() });
            }
            (Change::Token { id, after: Some(view), .. }, _) => {
                self.tokens.entry(*id).and_modify(|stored| stored.view = view.clone());
            }
            (Change::Token { id, after: None, .. }, _) => self.remove_token(*id),
        }
    }

    /// Removes a token, and the refusal limiter of its principal if the principal has no other token.
    fn remove_token(&mut self, id: TokenId) {
        self.tokens.shift_remove(&id);
        let tokens = &self.tokens;
        let named = |name: &String| tokens.values().any(|stored| stored.view.principal.name == *name);
        self.refusal_limiters
            .retain(|name, _| name == ANONYMOUS_PRINCIPAL || name == BOOTSTRAP_PRINCIPAL || named(name));
    }

    /// Refuses an attempt without a valid token.
    fn refuse_anonymous(&mut self, command: &Command) -> Reply {
        let anonymous = Principal { name: ANONYMOUS_PRINCIPAL.to_owned(), role: Role::Viewer };
        let refusal = match &command.action {
            Action::Refused { code, description, .. } => Refusal::new(*code, description.clone()),
            _ => Refusal::new(Code::Unauthorized, "the token is unknown, expired or revoked"),
        };
        self.refuse(&anonymous, command, &refusal)
    }

    fn refuse(&mut self, principal: &Principal, command: &Command, refusal: &Refusal) -> Reply {
        let reply = self.reply(refusal.code, &refusal.detail);
        let limiter = self.refusal_limiters.entry(principal.name.clone()).or_default();
        if let Action::Refused { skipped, .. } = command.action {
            limiter.add_skipped(skipped);
        }
        if limiter.admit(command.at_ms) {
            let skipped = limiter.take_skipped();
            let record = record(principal, command, &reply, skipped, Vec::new());
            self.trail.push(record, false);
            self.trail.trim(self.limits.audit_records, self.limits.audit_changes);
        }
        reply
    }

    fn reply(&self, code: Code, detail: &str) -> Reply {
        let detail = detail[..detail.floor_char_boundary(MAX_DETAIL_BYTES)].to_owned();
        Reply { code, version: self.catalogue.version(), detail }
    }
}

impl Catalogue {
    /// Applies a change of an entry or an owner; ignores changes that do not concern the catalogue.
    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Entry { name, after, .. } => {
                self.set_entry(&Edit { name: name.clone(), value: after.clone() });
            }
            Change::Owner { name, after, .. } => {
                self.set_owner(&Edit { name: name.clone(), value: after.clone() });
            }
            Change::Shift { .. } | Change::Token { .. } => {}
        }
    }
}

fn record(principal: &Principal, command: &Command, reply: &Reply, skipped: u64, changes: Vec<Change>) -> AuditRecord {
    AuditRecord {
        seq: 0,
        at_ms: command.at_ms,
        who: principal.name.clone(),
        role: if principal.name == ANONYMOUS_PRINCIPAL { String::new() } else { principal.role.to_string() },
        from: command.from.clone(),
        verb: command.action.verb().to_owned(),
        target: command.action.target(),
        key: command.key.as_ref().map_or_else(String::new, ToString::to_string),
        code: reply.code,
        version: reply.version,
        detail: reply.detail.clone(),
        skipped,
        changes,
    }
}
