//! Who belongs to the group.

use crate::Birth;
use mangogw_model::HostId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most voters a group may have: five, and one more while one of them is being replaced.
pub const MAX_VOTERS: usize = 6;

/// The members of the group, each with the birth of its data folder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Hosts that vote and count for a quorum.
    pub voters: BTreeMap<HostId, Birth>,
    /// Hosts that receive the log and do not count.
    pub learners: BTreeMap<HostId, Birth>,
}

/// One step of a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A host joins without a vote. Its data folder must be new.
    AddLearner(HostId, Birth),
    /// A learner that has caught up becomes a voter.
    Promote(HostId),
    /// A host leaves. A leader must hand over first.
    Remove(HostId),
}

impl Members {
    /// A group of these voters.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{Birth, Members};
    ///
    /// let members = Members::of([(HostId(1), Birth(11)), (HostId(2), Birth(12)), (HostId(3), Birth(13))]);
    /// assert_eq!(members.quorum(), 2);
    /// ```
    pub fn of(voters: impl IntoIterator<Item = (HostId, Birth)>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeMap::new() }
    }

    /// The number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// True if `host` votes.
    pub fn votes(&self, host: HostId) -> bool {
        self.voters.contains_key(&host)
    }

    /// The birth that the group knows `host` by.
    pub fn birth(&self, host: HostId) -> Option<Birth> {
        self.voters.get(&host).or_else(|| self.learners.get(&host)).copied()
    }

    /// All members but `own`, voters first.
    pub fn peers(&self, own: HostId) -> impl Iterator<Item = HostId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied().filter(move |host| *host != own)
    }

    /// The members after `change`; `None` if it does not apply to these members.
    ///
    /// ```
    /// use mangogw_model::HostId;
    /// use mangogw_store::{Birth, Change, Members};
    ///
    /// let one = Members::of([(HostId(1), Birth(11))]);
    /// let two = one.after(Change::AddLearner(HostId(2), Birth(12))).unwrap();
    /// assert!(two.after(Change::Promote(HostId(2))).unwrap().votes(HostId(2)));
    /// assert_eq!(one.after(Change::Promote(HostId(2))), None);
    /// assert_eq!(two.after(Change::AddLearner(HostId(1), Birth(99))), None);
    /// ```
    pub fn after(&self, change: Change) -> Option<Self> {
        let mut next = self.clone();
        match change {
            Change::AddLearner(host, birth) if self.birth(host).is_none() => {
                next.learners.insert(host, birth);
            }
            Change::Promote(host) if self.voters.len() < MAX_VOTERS => {
                let birth = next.learners.remove(&host)?;
                next.voters.insert(host, birth);
            }
            Change::Remove(host) if self.birth(host).is_some() => {
                next.voters.remove(&host);
                next.learners.remove(&host);
            }
            _ => return None,
        }
        (!next.voters.is_empty()).then_some(next)
    }
}
