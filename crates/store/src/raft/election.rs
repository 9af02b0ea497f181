//! Elections: pre-vote, vote, and the lease during which votes against a live leader are refused.

use super::Raft;
use super::sync_queue::DeferredAction;
use crate::progress::Progress;
use crate::{Body, GroupId, LogId, Payload, Refusal, Role, Term};
use mangogw_model::HostId;
use std::collections::BTreeMap;

impl Raft {
    /// Starts a pre-vote: asks the voters whether a campaign could win, without raising the term.
    pub(super) fn start_pre_vote(&mut self) {
        self.set_role(Role::PreCandidate, None);
        self.granted.clear();
        let last = self.last_id();
        for peer in self.voting_peers() {
            self.send_as(peer, self.term.next(), Body::PreVote { last });
        }
        self.on_pre_vote_granted(self.host, self.term.next());
    }

    pub(super) fn on_pre_vote(&mut self, from: HostId, term: Term, last: LogId) {
        let granted = term > self.term && last >= self.last_id() && !self.in_lease();
        let answer_term = if granted { term } else { self.term };
        self.send_as(from, answer_term, Body::PreVoteAnswer { granted });
    }

    pub(super) fn on_pre_vote_granted(&mut self, from: HostId, term: Term) {
        if self.role == Role::PreCandidate && term == self.term.next() && self.count_grant(from) {
            self.start_election(false);
        }
    }

    /// Starts a campaign in the next term. The vote requests are sent after this host's vote for itself is synced.
    pub(super) fn start_election(&mut self, transfer: bool) {
        self.term = self.term.next();
        self.vote = Some(self.host);
        self.state_dirty = true;
        self.granted.clear();
        self.set_role(Role::Candidate, None);
        let last = self.last_id();
        for peer in self.voting_peers() {
            self.send_synced(peer, Body::Vote { last, transfer });
        }
        self.after_sync(DeferredAction::OwnVote(self.term));
    }

    pub(super) fn on_vote(&mut self, from: HostId, last: LogId) {
        let free = self.vote.is_none() && self.leader.is_none() || self.vote == Some(from);
        let granted = free && last >= self.last_id() && matches!(self.role, Role::Follower | Role::PreCandidate);
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.state_dirty = true;
        }
        if granted {
            self.reset_election_deadline();
        }
        self.send_synced(from, Body::VoteAnswer { granted });
    }

    pub(super) fn on_vote_answer(&mut self, from: HostId, granted: bool) {
        if granted && self.role == Role::Candidate {
            self.count_vote(from);
        }
    }

    pub(super) fn count_vote(&mut self, from: HostId) {
        if self.count_grant(from) {
            self.become_leader();
        }
    }

    /// Counts a granted vote or pre-vote; returns true once a quorum has granted.
    fn count_grant(&mut self, from: HostId) -> bool {
        if self.members().is_voter(from) {
            self.granted.insert(from);
        }
        self.granted.len() >= self.members().quorum()
    }

    /// Returns true if this host is a voter with the data folder that the group knows. An emptied folder under an old
    /// host id may receive a log that lists the id as a voter, but it has lost the votes that the old folder held.
    pub(super) fn may_vote(&self) -> bool {
        self.members().voters.get(&self.host) == Some(&self.folder_id)
    }

    fn become_leader(&mut self) {
        let next = self.last_id().index.next();
        let progress = |peer| (peer, Progress::new(next, self.now, self.liveness_timeout(peer)));
        self.progress = self.peers().into_iter().map(progress).collect();
        self.term_start = next;
        // Synced entries of earlier terms count again once the blank entry that follows them is synced.
        self.synced_index = self.log.base().index;
        self.heartbeat_due = self.now;
        self.learner_due = self.now;
        self.set_role(Role::Leader, Some(self.host));
        self.append_as_leader(Payload::Blank, None);
    }

    /// Follows `leader` in the current term.
    pub(super) fn follow(&mut self, leader: HostId, group: GroupId) {
        if self.group == GroupId(0) {
            self.group = group;
            self.state_dirty = true;
        }
        if self.role != Role::Follower || self.leader != Some(leader) {
            self.set_role(Role::Follower, Some(leader));
        }
        self.leader_contact = self.now;
        self.reset_election_deadline();
    }

    /// Returns true if this host, which may not vote, has heard nothing from the leader that it names for so long that
    /// the voters may have elected another.
    pub(super) fn misses_leader(&self) -> bool {
        self.leader.is_some() && self.now - self.leader_contact >= self.settings.learner_timeout()
    }

    /// Names no leader any more until one sends a message. Voters do so when they start a pre-vote.
    pub(super) fn forget_leader(&mut self) {
        log::info!(
            host = self.host.0, term = self.term.0, leader = self.leader.map(|host| host.0);
            "store: the leader is silent; this host can't vote and waits for the next one"
        );
        self.set_role(Role::Follower, None);
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<HostId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.state_dirty = true;
        }
        self.set_role(Role::Follower, leader);
    }

    fn set_role(&mut self, role: Role, leader: Option<HostId>) {
        if self.role == Role::Leader && role != Role::Leader {
            self.progress = BTreeMap::new();
            self.leader = leader;
            self.refuse_all(Refusal::Unsure);
        }
        self.role = role;
        self.leader = leader;
        self.reset_election_deadline();
        self.report_role();
    }

    pub(super) fn reset_election_deadline(&mut self) {
        self.election_deadline = self.now + self.random_timeout();
    }

    /// Returns true if this host leads or has heard from a leader within the shortest election timeout.
    pub(super) fn in_lease(&self) -> bool {
        match self.role {
            Role::Leader => true,
            _ => self.leader.is_some() && self.now - self.leader_contact < self.settings.election,
        }
    }

    /// Answers a message of an earlier term, so that the sender learns the current term.
    pub(super) fn on_stale_message(&mut self, from: HostId, body: &Body) {
        match body {
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Commit { .. } | Body::Chunk { .. } => {
                self.send_synced(from, Body::HeartbeatAnswer { round: 0 });
            }
            Body::Vote { .. } => self.send_synced(from, Body::VoteAnswer { granted: false }),
            _ => {}
        }
    }

    /// Steps down if no quorum of voters has answered within the shortest election timeout.
    pub(super) fn check_quorum(&mut self) {
        if self.live_voters(self.members()) < self.members().quorum() {
            log::warn!(
                host = self.host.0, term = self.term.0;
                "store: no quorum of voters answered within the election timeout; stepping down"
            );
            self.set_role(Role::Follower, None);
        }
    }

    pub(super) fn voting_peers(&self) -> Vec<HostId> {
        self.members().voters.keys().copied().filter(|host| *host != self.host).collect()
    }

    pub(super) fn peers(&self) -> Vec<HostId> {
        self.members().peers(self.host).collect()
    }
}
