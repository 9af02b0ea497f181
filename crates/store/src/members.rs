//! Membership of the group.

use crate::FolderId;
use mangogw_model::HostId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of voters in a group: five, plus one while one of them is being replaced.
pub const MAX_VOTERS: usize = 6;

/// The members of the group, each with the id of its data folder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Hosts that vote and count for a quorum.
    pub voters: BTreeMap<HostId, FolderId>,
    /// Hosts that receive the log but don't vote or count for a quorum.
    pub learners: BTreeMap<HostId, FolderId>,
}

/// A single-step change of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a host without a vote. Its data folder must be new.
    AddLearner(HostId, FolderId),
    /// Makes a learner that has caught up a voter.
    Promote(HostId),
    /// Makes a voter a learner. A leader must transfer its leadership first.
    Demote(HostId),
    /// Removes a host. A leader must transfer its leadership first.
    Remove(HostId),
}

/// Returns the ids of hosts as text for a field of a log line.
///
/// ```
/// use mangogw_model::HostId;
/// assert_eq!(mangogw_store::host_list(&[HostId(1), HostId(7)]), "1,7");
/// ```
pub fn host_list<'a>(hosts: impl IntoIterator<Item = &'a HostId>) -> String {
    let ids: Vec<String> = hosts.into_iter().map(|host| host.0.to_string()).collect();
    ids.join(",")
}

impl Members {
    /// Returns a membership of these voters, without learners.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{FolderId, Members};
    ///
    /// let voters = [(HostId(1), FolderId(11)), (HostId(2), FolderId(12)), (HostId(3), FolderId(13))];
    /// let members = Members::from_voters(voters);
    /// assert_eq!(members.quorum(), 2);
    /// ```
    pub fn from_voters(voters: impl IntoIterator<Item = (HostId, FolderId)>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeMap::new() }
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns true if `host` is a voter.
    pub fn is_voter(&self, host: HostId) -> bool {
        self.voters.contains_key(&host)
    }

    /// Returns the id of the data folder of `host`; `None` if `host` is no member.
    pub fn folder_id(&self, host: HostId) -> Option<FolderId> {
        self.voters.get(&host).or_else(|| self.learners.get(&host)).copied()
    }

    /// Returns all members except `own`, voters first.
    pub fn peers(&self, own: HostId) -> impl Iterator<Item = HostId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied().filter(move |host| *host != own)
    }

    /// Returns the members after `change`; `None` if `change` does not fit these members.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{FolderId, Members, MembershipChange};
    ///
    /// let one = Members::from_voters([(HostId(1), FolderId(11))]);
    /// let two = one.with_change(MembershipChange::AddLearner(HostId(2), FolderId(12))).unwrap();
    /// assert!(two.with_change(MembershipChange::Promote(HostId(2))).unwrap().is_voter(HostId(2)));
    /// assert_eq!(one.with_change(MembershipChange::Promote(HostId(2))), None);
    /// assert_eq!(two.with_change(MembershipChange::Demote(HostId(2))), None);
    /// assert_eq!(two.with_change(MembershipChange::AddLearner(HostId(1), FolderId(99))), None);
    /// ```
    pub fn with_change(&self, change: MembershipChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(host, folder_id) if self.folder_id(host).is_none() => {
                next.learners.insert(host, folder_id);
            }
            MembershipChange::Promote(host) if self.voters.len() < MAX_VOTERS => {
                let folder_id = next.learners.remove(&host)?;
                next.voters.insert(host, folder_id);
            }
            MembershipChange::Demote(host) => {
                let folder_id = next.voters.remove(&host)?;
                next.learners.insert(host, folder_id);
            }
            MembershipChange::Remove(host) if self.folder_id(host).is_some() => {
                next.voters.remove(&host);
                next.learners.remove(&host);
            }
            _ => return None,
        }
        (!next.voters.is_empty()).then_some(next)
    }
}
