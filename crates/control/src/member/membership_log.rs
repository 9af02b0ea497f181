//! Log lines on the members of the control group and their changes.

use indexmap::IndexMap;
use mangogw_model::{HostId, Time};
use mangogw_store::{FolderId, Index, Members, MembershipChange, Raft, Refusal, host_list};
use std::time::Duration;

/// Interval at which a change of the members that is tried again and again, or refused, is logged.
const CHANGE_PERIOD: Duration = Duration::from_secs(5);
/// Time after which a request to join counts as the first of its host again.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// What has been logged of the members and their changes.
#[derive(Debug, Default)]
pub(super) struct MembershipLog {
    /// Index of the entry that set the members in the last line, and whether it was applied.
    members: Option<(Index, bool)>,
    /// Changes that were logged since the members last changed: decided ones, without a refusal, and refused ones.
    changes: Vec<(MembershipChange, Option<Refusal>, Time)>,
    /// Time of the last request of each host and folder to join.
    joins: IndexMap<(HostId, FolderId), Time>,
}

impl MembershipLog {
    /// Logs the members in force if they are new, and once more when the entry that set them is applied.
    pub(super) fn log_members(&mut self, raft: &Raft, applied: Index) {
        let index = raft.last_change_index();
        let committed = index <= applied;
        if self.members == Some((index, committed)) {
            return;
        }
        self.members = Some((index, committed));
        self.changes.clear();
        let (status, members) = (raft.status(), raft.members());
        log::info!(
            index = index.0, committed, term = status.term.0, voters = host_list(members.voters.keys()),
            learners = host_list(members.learners.keys()), standing = standing(members, status.host, status.folder_id);
            "member: members of the control group"
        );
    }

    /// Logs a change of the members that the leader has decided.
    pub(super) fn log_change(&mut self, now: Time, change: MembershipChange, members: &Members) {
        if self.is_due(now, change, None) {
            log::info!(
                change:?, voters = members.voters.len(), learners = members.learners.len();
                "member: changing the members"
            );
        }
    }

    /// Logs that the replicated log has refused a change of the members, or that its outcome is unknown.
    pub(super) fn log_refused(&mut self, now: Time, change: MembershipChange, why: Refusal) {
        if self.is_due(now, change, Some(why)) {
            log::info!(change:?, why:?; "member: a change of the members was refused");
        }
    }

    /// Logs the first request of a host to join, at the leader.
    pub(super) fn log_join(&mut self, now: Time, host: HostId, folder_id: FolderId, members: &Members) {
        self.joins.retain(|_, at| now - *at < JOIN_TIMEOUT);
        if self.joins.insert((host, folder_id), now).is_none() {
            log::info!(
                host = host.0, standing = standing(members, host, folder_id);
                "member: host asks to join the control group"
            );
        }
    }

    /// Forgets the requests that an earlier leadership of this host has logged.
    pub(super) fn on_leading(&mut self) {
        self.joins.clear();
    }

    fn is_due(&mut self, now: Time, change: MembershipChange, why: Option<Refusal>) -> bool {
        self.changes.retain(|(.., at)| now - *at < CHANGE_PERIOD);
        let due = !self.changes.iter().any(|(other, refusal, _)| (*other, *refusal) == (change, why));
        if due {
            self.changes.push((change, why, now));
        }
        due
    }
}

/// Returns how a host with a data folder stands in the group.
fn standing(members: &Members, host: HostId, folder_id: FolderId) -> &'static str {
    match (members.voters.get(&host), members.learners.get(&host)) {
        (Some(known), _) if *known == folder_id => "voter",
        (_, Some(known)) if *known == folder_id => "learner",
        _ => "outside",
    }
}
