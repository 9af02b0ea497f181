//! Membership of the control group: new hosts join as learners, caught-up learners become voters, and lost voters are
//! removed in favour of them.

use crate::identity::ip_of;
use indexmap::IndexMap;
use mangogw_model::{HostId, Time};
use mangogw_store::{FolderId, MembershipChange, Raft, Role, Status};
use std::time::Duration;

/// Interval at which the members are checked.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time without contact after which a voter is removed if another host can replace it. A restart takes 1 to 2 s.
const VOTER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time without contact after which a learner, or a host that has asked to join, is removed.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// State from which the leader chooses the next membership change.
#[derive(Debug)]
pub(crate) struct Membership {
    max_voters: usize,
    last_check: Time,
    joining: IndexMap<HostId, (FolderId, Time)>,
    silent_since: IndexMap<HostId, Time>,
}

impl Membership {
    pub(crate) fn new(max_voters: usize, now: Time) -> Self {
        Self { max_voters, last_check: now, joining: IndexMap::new(), silent_since: IndexMap::new() }
    }

    pub(crate) fn on_join(&mut self, now: Time, host: HostId, folder_id: FolderId) {
        self.joining.insert(host, (folder_id, now));
    }

    /// Returns the next membership change, if one is due.
    pub(crate) fn due_change(&mut self, now: Time, raft: &Raft) -> Option<MembershipChange> {
        if now - self.last_check < CHECK_PERIOD || raft.role() != Role::Leader {
            return None;
        }
        self.last_check = now;
        self.choose_change(now, &raft.status())
    }

    fn choose_change(&mut self, now: Time, status: &Status) -> Option<MembershipChange> {
        let members = &status.members;
        self.joining.retain(|host, (_, at)| members.folder_id(*host).is_none() && now - *at < LEARNER_TIMEOUT);
        self.silent_since.retain(|host, _| status.peers.iter().any(|peer| peer.host == *host && !peer.alive));
        for peer in status.peers.iter().filter(|peer| !peer.alive) {
            self.silent_since.entry(peer.host).or_insert(now);
        }
        let silent =
            |host: &HostId, least: Duration| self.silent_since.get(host).is_some_and(|since| now - *since >= least);
        let replaced = |host: &HostId| {
            let same = |other: &HostId| *other != *host && ip_of(*other) == ip_of(*host);
            members.learners.keys().chain(self.joining.keys()).any(same)
        };
        let ready = status.peers.iter().find(|peer| peer.caught_up && members.learners.contains_key(&peer.host));
        let full = members.voters.len() >= self.desired_voters(status);
        let replaceable = |host: &&HostId| **host != status.host && (replaced(host) || silent(host, VOTER_TIMEOUT));
        match (ready, members.voters.keys().find(replaceable)) {
            (Some(peer), None) if !full => Some(MembershipChange::Promote(peer.host)),
            (Some(_), Some(voter)) => Some(MembershipChange::Remove(*voter)),
            (None, Some(voter)) if replaced(voter) && self.joining.is_empty() && members.learners.is_empty() => {
                Some(MembershipChange::Remove(*voter))
            }
            _ => self
                .joining
                .first()
                .map(|(host, (folder_id, _))| MembershipChange::AddLearner(*host, *folder_id))
                .or_else(|| {
                    members
                        .learners
                        .keys()
                        .find(|host| silent(host, LEARNER_TIMEOUT))
                        .map(|host| MembershipChange::Remove(*host))
                }),
        }
    }

    /// Returns the largest odd number of voters that the hosts and `max_voters` allow.
    fn desired_voters(&self, status: &Status) -> usize {
        let hosts = status.members.voters.len() + status.members.learners.len();
        let most = self.max_voters.min(hosts);
        if most.is_multiple_of(2) { most.saturating_sub(1).max(1) } else { most }
    }
}
