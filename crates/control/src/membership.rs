//! Membership of the control group: new hosts join as learners, caught-up learners become voters, and lost voters are
//! replaced by them.
//!
//! A silent voter is removed only once its successor votes, so that the group never has fewer voters than its settings ask
//! for because one of them was slow to come back. With one voter more, for that moment, it bears as many losses. A voter
//! whose disk is lost never votes again. It is removed first: that leaves the quorum as it is or lowers it, and no host is
//! counted as two voters.

use crate::identity::ip_of;
use indexmap::IndexMap;
use mangogw_model::{HostId, Time};
use mangogw_store::{FolderId, MembershipChange, Raft, Role, Status};
use std::time::Duration;

/// Interval at which the members are checked.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time without contact after which a voter is replaced if another host can do so. A voter that comes back later joins
/// again as a learner, so that a shorter time than a restart costs only a few log entries.
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
        let silence = |host: &HostId| self.silent_since.get(host).map_or(Duration::ZERO, |since| now - *since);
        // A silent host has lost its disk if another id is in use at its address.
        let silent = |host: &HostId| self.silent_since.contains_key(host);
        let disk_lost = |host: &HostId| {
            let in_use = |other: &HostId| ip_of(*other) == ip_of(*host) && !silent(other);
            let ids = members.voters.keys().chain(members.learners.keys()).chain(self.joining.keys());
            silent(host) && ids.copied().any(|other| in_use(&other))
        };
        let lost = members
            .voters
            .keys()
            .filter(|host| **host != status.host && (disk_lost(host) || silence(host) >= VOTER_TIMEOUT))
            .max_by_key(|host| (disk_lost(host), silence(host)));
        let is_listed = |host: &HostId| members.voters.keys().any(|voter| ip_of(*voter) == ip_of(*host));
        let ready = status
            .peers
            .iter()
            .find(|peer| peer.caught_up && members.learners.contains_key(&peer.host) && !is_listed(&peer.host));
        let hosts = members.voters.keys().chain(members.learners.keys()).filter(|host| !disk_lost(host)).count();
        let (voters, desired) = (members.voters.len(), self.desired_voters(hosts));
        match (ready, lost) {
            (_, Some(voter)) if disk_lost(voter) || voters > desired => Some(MembershipChange::Remove(*voter)),
            (Some(peer), Some(_)) if voters <= desired => Some(MembershipChange::Promote(peer.host)),
            (Some(peer), None) if voters < desired => Some(MembershipChange::Promote(peer.host)),
            // The lost voter came back before it was removed.
            (_, None) if voters > self.max_voters => {
                let other = members.voters.keys().rfind(|host| **host != status.host);
                other.map(|host| MembershipChange::Demote(*host))
            }
            _ => self
                .joining
                .first()
                .map(|(host, (folder_id, _))| MembershipChange::AddLearner(*host, *folder_id))
                .or_else(|| {
                    let mut learners = members.learners.keys();
                    let dead = learners.find(|host| disk_lost(host) || silence(host) >= LEARNER_TIMEOUT);
                    dead.map(|host| MembershipChange::Remove(*host))
                }),
        }
    }

    /// Returns the largest odd number of voters that `hosts` hosts and `max_voters` allow.
    fn desired_voters(&self, hosts: usize) -> usize {
        let most = self.max_voters.min(hosts);
        if most.is_multiple_of(2) { most.saturating_sub(1).max(1) } else { most }
    }
}
