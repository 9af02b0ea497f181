//! How the control group keeps its number of voters: new hosts come in as learners, caught-up learners become voters,
//! and voters that are gone make room for them.

use crate::identity::ip_of;
use indexmap::IndexMap;
use mangogw_model::{HostId, Time};
use mangogw_store::{FolderId, MembershipChange, Raft, Role, Status};
use std::time::Duration;

/// The members are looked at so often.
const PERIOD: Duration = Duration::from_millis(100);
/// A voter that has been silent for so long makes room, if another host can take its place. A restart takes 1 to 2 s.
const GONE: Duration = Duration::from_millis(2500);
/// A learner that has been silent for so long is forgotten.
const LOST: Duration = Duration::from_secs(10);

/// What a leader knows of hosts that come and go.
#[derive(Debug)]
pub(crate) struct Growth {
    voters: usize,
    looked: Time,
    joining: IndexMap<HostId, (FolderId, Time)>,
    silent: IndexMap<HostId, Time>,
}

impl Growth {
    pub(crate) fn new(voters: usize, now: Time) -> Self {
        Self { voters, looked: now, joining: IndexMap::new(), silent: IndexMap::new() }
    }

    pub(crate) fn on_join(&mut self, now: Time, host: HostId, birth: FolderId) {
        self.joining.insert(host, (birth, now));
    }

    /// The next change of the members, if one is due.
    pub(crate) fn change(&mut self, now: Time, raft: &Raft) -> Option<MembershipChange> {
        if now - self.looked < PERIOD || raft.role() != Role::Leader {
            return None;
        }
        self.looked = now;
        self.judge(now, &raft.status())
    }

    fn judge(&mut self, now: Time, status: &Status) -> Option<MembershipChange> {
        let members = &status.members;
        self.joining.retain(|host, (_, at)| members.folder_id(*host).is_none() && now - *at < LOST);
        self.silent.retain(|host, _| status.peers.iter().any(|peer| peer.host == *host && !peer.alive));
        for peer in status.peers.iter().filter(|peer| !peer.alive) {
            self.silent.entry(peer.host).or_insert(now);
        }
        let silent = |host: &HostId, least: Duration| self.silent.get(host).is_some_and(|since| now - *since >= least);
        let replaced = |host: &HostId| {
            let same = |other: &HostId| *other != *host && ip_of(*other) == ip_of(*host);
            members.learners.keys().chain(self.joining.keys()).any(same)
        };
        let ready = status.peers.iter().find(|peer| peer.caught_up && members.learners.contains_key(&peer.host));
        let full = members.voters.len() >= self.wanted(status);
        let gone = |host: &&HostId| **host != status.host && (replaced(host) || silent(host, GONE));
        match (ready, members.voters.keys().find(gone)) {
            (Some(peer), None) if !full => Some(MembershipChange::Promote(peer.host)),
            (Some(_), Some(voter)) => Some(MembershipChange::Remove(*voter)),
            (None, Some(voter)) if replaced(voter) && self.joining.is_empty() && members.learners.is_empty() => {
                Some(MembershipChange::Remove(*voter))
            }
            _ => self.joining.first().map(|(host, (birth, _))| MembershipChange::AddLearner(*host, *birth)).or_else(
                || members.learners.keys().find(|host| silent(host, LOST)).map(|host| MembershipChange::Remove(*host)),
            ),
        }
    }

    /// An odd number of voters, as far as there are hosts.
    fn wanted(&self, status: &Status) -> usize {
        let hosts = status.members.voters.len() + status.members.learners.len();
        let most = self.voters.min(hosts);
        if most.is_multiple_of(2) { most.saturating_sub(1).max(1) } else { most }
    }
}
