//! Plans the changes of a command and checks the caller's permission, without changing the state.

use crate::catalogue::{Catalogue, MAX_ENTRIES, MAX_OWNERS};
use crate::change::Change;
use crate::check;
use crate::command::{Action, Caller, Command};
use crate::control::{ANONYMOUS_PRINCIPAL, BOOTSTRAP_PRINCIPAL, Control};
use crate::fault::Faults;
use crate::name::{NAME_RULE, valid_name};
use crate::token::{Principal, Role, Shift, TokenId, TokenView};
use indexmap::IndexMap;
use mangogw_model::{Code, Entry, EntryName, Owner, Team, Version};
use std::sync::Arc;

/// Changes of an accepted command, and the detail of its reply.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) changes: Vec<Change>,
    pub(crate) detail: String,
}

/// Result code and detail of a refused command.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) detail: String,
}

impl Refusal {
    pub(crate) fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into() }
    }
}

type Result<T, E = Refusal> = std::result::Result<T, E>;

impl Control {
    /// Returns the changes that `command` makes on behalf of `principal`, or the reason for its refusal.
    pub(crate) fn plan(&self, principal: &Principal, command: &Command) -> Result<Plan> {
        check_role(principal, command)?;
        if command.action.is_edit() {
            self.check_editable(command)?;
        }
        let plan = match &command.action {
            Action::Put { name, entry } => self.put(name, entry)?,
            Action::Delete { name } => self.delete(name)?,
            Action::PutOwner { name, team } => self.put_owner(name, team)?,
            Action::DeleteOwner { name } => self.delete_owner(name)?,
            Action::Apply { owners, entries } => self.plan_apply(owners, entries)?,
            Action::Rollback { to } => self.rollback(*to)?,
            Action::Shift { open } => self.plan_shift(*open, command.at_ms)?,
            Action::Issue { id, name, role, expires_ms, .. } => {
                let principal = Principal { name: name.clone(), role: role.clone() };
                self.issue(*id, TokenView { principal, expires_ms: *expires_ms, revoked_ms: 0 }, command)?
            }
            Action::Revoke { id } => self.revoke(*id, principal, command.at_ms)?,
            Action::Refused { code, description, .. } => return Err(Refusal::new(*code, description.clone())),
        };
        check_ownership(principal, &plan.changes).map(|()| plan)
    }

    /// Refuses an edit while the shift is open, or if it is not based on the current version.
    fn check_editable(&self, command: &Command) -> Result<()> {
        let version = self.catalogue.version();
        match command.base {
            _ if self.shift.open => Err(Refusal::new(Code::ShiftOpen, "the shift is open")),
            None => Err(Refusal::new(Code::NeedsVersion, format!("the catalogue is at version {version}"))),
            Some(base) if base != version => {
                Err(Refusal::new(Code::LostRace, format!("the catalogue is at version {version}, not {base}")))
            }
            Some(_) => Ok(()),
        }
    }

    fn put(&self, name: &EntryName, entry: &Entry) -> Result<Plan> {
        let mut faults = Faults::default();
        self.catalogue.check_entry(&mut faults, name.as_str(), entry);
        faults.into_result().map_err(|faults| invalid_catalogue(&faults))?;
        let before = self.catalogue.entry(name).cloned();
        if before.is_none() && self.catalogue.entries().len() >= MAX_ENTRIES {
            return Err(Refusal::new(Code::TableFull, format!("the catalogue has {MAX_ENTRIES} entries")));
        }
        let change = Change::Entry { name: name.clone(), before, after: Some(Arc::new(entry.clone())) };
        Ok(Plan { changes: vec![change], detail: String::new() })
    }

    fn delete(&self, name: &EntryName) -> Result<Plan> {
        let before = self.catalogue.entry(name).cloned();
        if before.is_none() {
            return Err(Refusal::new(Code::UnknownEntry, format!("there is no entry {name}")));
        }
        Ok(Plan { changes: vec![Change::Entry { name: name.clone(), before, after: None }], detail: String::new() })
    }

    fn put_owner(&self, name: &Owner, team: &Team) -> Result<Plan> {
        let mut faults = Faults::default();
        check::check_record(&mut faults, name.as_str(), team);
        faults.into_result().map_err(|faults| invalid_catalogue(&faults))?;
        let before = self.catalogue.owner(name).cloned();
        if before.is_none() && self.catalogue.owners().len() >= MAX_OWNERS {
            return Err(Refusal::new(Code::TableFull, format!("the catalogue has {MAX_OWNERS} owners")));
        }
        let change = Change::Owner { name: name.clone(), before, after: Some(team.clone()) };
        Ok(Plan { changes: vec![change], detail: String::new() })
    }

    fn delete_owner(&self, name: &Owner) -> Result<Plan> {
        let before = self.catalogue.owner(name).cloned();
        let owned = self.catalogue.entries().iter().find(|(_, entry)| entry.owner == *name);
        match (before, owned) {
            (None, _) => Err(Refusal::new(Code::UnknownEntry, format!("there is no owner {name}"))),
            (Some(_), Some((entry, _))) => {
                Err(Refusal::new(Code::BadCatalogue, format!("the owner {name} still owns {entry}")))
            }
            (before, None) => {
                let change = Change::Owner { name: name.clone(), before, after: None };
                Ok(Plan { changes: vec![change], detail: String::new() })
            }
        }
    }

    fn plan_apply(&self, owners: &IndexMap<Owner, Team>, entries: &IndexMap<EntryName, Arc<Entry>>) -> Result<Plan> {
        let next = Catalogue::from_parts(Version::default(), owners.clone(), entries.clone());
        next.check().map_err(|faults| invalid_catalogue(&faults))?;
        Ok(self.plan_diff(&next))
    }

    fn rollback(&self, to: Version) -> Result<Plan> {
        let unknown = || Refusal::new(Code::UnknownVersion, format!("version {to} is not in the history"));
        let next = self.catalogue_at(to).ok_or_else(unknown)?;
        Ok(self.plan_diff(&next))
    }

    fn plan_diff(&self, next: &Catalogue) -> Plan {
        let changes = self.catalogue.diff(next).0;
        let detail = format!("{} changes", changes.len());
        Plan { changes, detail }
    }

    fn plan_shift(&self, open: bool, now_ms: u64) -> Result<Plan> {
        if self.shift.open == open {
            return Err(Refusal::new(Code::ShiftState, format!("the shift is {}", self.shift)));
        }
        let after = Shift { open, since_ms: now_ms };
        Ok(Plan { changes: vec![Change::Shift { before: self.shift.clone(), after }], detail: String::new() })
    }

    fn issue(&self, id: TokenId, view: TokenView, command: &Command) -> Result<Plan> {
        let name = view.principal.name.as_str();
        let team = match &view.principal.role {
            Role::Team(owner) => owner.as_str(),
            Role::Administrator | Role::Viewer => "none",
        };
        match () {
            () if command.caller == Caller::Bootstrap && !self.can_bootstrap(&view, command.at_ms) => {
                return Err(Refusal::new(Code::Forbidden, "there is an administrator's token"));
            }
            () if !valid_name(name) || !valid_name(team) => return Err(Refusal::new(Code::BadRequest, NAME_RULE)),
            () if [ANONYMOUS_PRINCIPAL, BOOTSTRAP_PRINCIPAL].contains(&name) => {
                return Err(Refusal::new(Code::BadRequest, format!("the name {name} is reserved")));
            }
            () if view.expires_ms <= command.at_ms => {
                return Err(Refusal::new(Code::BadRequest, "the token would be expired"));
            }
            () if self.tokens.contains_key(&id) => {
                return Err(Refusal::new(Code::BadRequest, format!("the id {id} was used before")));
            }
            () => {}
        }
        let mut changes = self.plan_eviction(command.at_ms)?;
        changes.push(Change::Token { id, before: None, after: Some(view) });
        Ok(Plan { changes, detail: id.to_string() })
    }

    /// Returns true if the host itself may issue this token: only an administrator's, and only while none is valid.
    fn can_bootstrap(&self, view: &TokenView, now_ms: u64) -> bool {
        let is_live = |view: &TokenView| view.principal.role == Role::Administrator && view.is_live(now_ms);
        view.principal.role == Role::Administrator && !self.tokens().any(|(_, view)| is_live(view))
    }

    /// Returns the removal of the oldest expired or revoked token if the table is full; refuses if there is none.
    fn plan_eviction(&self, now_ms: u64) -> Result<Vec<Change>> {
        if self.tokens.len() < self.limits.tokens {
            return Ok(Vec::new());
        }
        let removable = self.tokens().find(|(_, view)| !view.is_live(now_ms));
        let full = || Refusal::new(Code::TableFull, format!("there are {} tokens; revoke some", self.tokens.len()));
        let (id, view) = removable.ok_or_else(full)?;
        Ok(vec![Change::Token { id, before: Some(view.clone()), after: None }])
    }

    /// Plans the revocation of a token; only administrators may revoke tokens of other principals.
    fn revoke(&self, id: TokenId, principal: &Principal, now_ms: u64) -> Result<Plan> {
        let Some(stored) = self.tokens.get(&id) else {
            return Err(Refusal::new(Code::UnknownToken, format!("there is no token {id}")));
        };
        if principal.role != Role::Administrator && *principal != stored.view.principal {
            return Err(Refusal::new(Code::Forbidden, "the token is another's"));
        }
        let before = stored.view.clone();
        let revoked_ms = if before.revoked_ms == 0 { now_ms.max(1) } else { before.revoked_ms };
        let after = TokenView { revoked_ms, ..before.clone() };
        let change = Change::Token { id, before: Some(before), after: Some(after) };
        Ok(Plan { changes: vec![change], detail: id.to_string() })
    }
}

/// Checks that the role permits the action; [`check_ownership`] checks the owner of the changed entries.
fn check_role(principal: &Principal, command: &Command) -> Result<()> {
    let action = &command.action;
    let allowed = match (&command.caller, &principal.role) {
        (Caller::Bootstrap, _) => matches!(action, Action::Issue { .. }),
        (_, Role::Administrator) => true,
        (_, Role::Team(_)) => action.is_edit() || matches!(action, Action::Revoke { .. } | Action::Refused { .. }),
        (_, Role::Viewer) => matches!(action, Action::Revoke { .. } | Action::Refused { .. }),
    };
    let refusal = || Refusal::new(Code::Forbidden, format!("{} may not {}", principal.role, action.verb()));
    allowed.then_some(()).ok_or_else(refusal)
}

/// Allows a team to change only entries that it owns before and after the change, and never owners or their quotas.
fn check_ownership(principal: &Principal, changes: &[Change]) -> Result<()> {
    let Role::Team(team) = &principal.role else { return Ok(()) };
    let own = |entry: &Arc<Entry>| entry.owner == *team;
    let foreign = changes.iter().find(|change| match change {
        Change::Entry { before, after, .. } => !before.iter().chain(after).all(own),
        Change::Token { .. } => false,
        Change::Owner { .. } | Change::Shift { .. } => true,
    });
    match foreign {
        None => Ok(()),
        Some(change) => Err(Refusal::new(Code::Forbidden, format!("{} is not the team's", change.target()))),
    }
}

fn invalid_catalogue(faults: &Faults) -> Refusal {
    Refusal::new(Code::BadCatalogue, faults.to_string())
}
