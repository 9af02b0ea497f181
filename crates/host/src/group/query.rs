//! Queries of operators on the state of the control group, and their access check.

use super::Group;
use crate::operate::{ControlQuery, OperatorReply};
use mangogw_catalogue::{ExportLine, Role, Session};
use mangogw_model::{Code, HostId};
use serde::Serialize;

impl<T: Clone> Group<T> {
    pub(super) fn run_query(&self, query: &ControlQuery) -> OperatorReply {
        let control = &self.state.control;
        let version = control.catalogue().version();
        let body = match query {
            ControlQuery::Catalogue { toml, version } => {
                let catalogue = match version {
                    None => Some(control.catalogue().clone()),
                    Some(version) => control.catalogue_at(*version),
                };
                catalogue.map(|catalogue| if *toml { catalogue.to_toml() } else { catalogue.to_json() })
            }
            ControlQuery::Entry(name) => control.catalogue().entry(name).map(|entry| json(entry.as_ref())),
            ControlQuery::History => Some(json(&control.history().collect::<Vec<_>>())),
            ControlQuery::Audit(audit_query) => Some(json_lines(control.audit(audit_query))),
            ControlQuery::Tokens => Some(json(&control.tokens().collect::<Vec<_>>())),
            ControlQuery::Shift => Some(json(control.shift())),
            ControlQuery::Group => Some(self.group_json()),
            ControlQuery::Ownership => Some(json(&self.state.table)),
        };
        match body {
            Some(body) => OperatorReply::Read { version, body },
            None => OperatorReply::refused(Code::UnknownEntry, "there is no such entry or version"),
        }
    }

    fn group_json(&self) -> String {
        let status = self.raft.status();
        let group = GroupView {
            leader: status.leader,
            term: status.term.0,
            commit: status.commit.0,
            voters: status.members.voters.keys().copied().collect(),
            learners: status.members.learners.keys().copied().collect(),
            silent: status.peers.iter().filter(|peer| !peer.alive).map(|peer| peer.host).collect(),
        };
        json(&group)
    }
}

/// The JSON reply to [`ControlQuery::Group`].
#[derive(Debug, Serialize)]
struct GroupView {
    leader: Option<HostId>,
    term: u64,
    commit: u64,
    voters: Vec<HostId>,
    learners: Vec<HostId>,
    silent: Vec<HostId>,
}

fn json_lines(export: impl Iterator<Item = ExportLine>) -> String {
    let lines: Vec<String> = export.map(|line| line.to_string()).collect();
    lines.join("\n")
}

fn json<T: Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Returns the refusal of a query that the session may not run: only administrators read the tokens.
pub(super) fn access_error(query: &ControlQuery, session: &Session) -> Option<OperatorReply> {
    let admin_only = matches!(query, ControlQuery::Tokens);
    let allowed = session.principal.role == Role::Administrator;
    (admin_only && !allowed).then(|| OperatorReply::refused(Code::Forbidden, "only an administrator reads the tokens"))
}
