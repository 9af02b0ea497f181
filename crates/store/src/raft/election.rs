//! Elections: pre-vote, vote, and the lease during which votes against a live leader are refused.

use super::Raft;
use super::sync_queue::DeferredAction;
use crate::progress::Progress;
use crate::{Body, GroupId, LogId, Payload, Refusal, Role, Term, host_list};
use mangogw_model::{HostId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval at which elections that fail in the same way are logged.
const LOG_PERIOD: Duration = Duration::from_secs(5);
/// Reason for which this host refuses a vote or a pre-vote.
pub(super) const IN_LEASE: &str = "the lease of a leader is in force";

/// The pre-votes and campaigns of this host that ended without a quorum.
#[derive(Debug, Default)]
pub(super) struct FailedElections {
    count: u64,
    /// Term for which the current or last one was started.
    term: Term,
    /// Role, granting and refusing voters in the last log line, with its time.
    logged: Option<(Role, BTreeSet<HostId>, BTreeSet<HostId>, Time)>,
}

impl Raft {
    /// Starts a pre-vote: asks the voters whether a campaign could win, without raising the term.
    pub(super) fn start_pre_vote(&mut self) {
        self.set_role(Role::PreCandidate, None);
        self.granted.clear();
        self.refused.clear();
        self.failed_elections.term = self.term.next();
        let last = self.last_id();
        for peer in self.voting_peers() {
            self.send_as(peer, self.term.next(), Body::PreVote { last });
        }
        self.on_pre_vote_granted(self.host, self.term.next());
    }

    pub(super) fn on_pre_vote(&mut self, from: HostId, term: Term, last: LogId) {
        let refusal = match term {
            _ if term <= self.term => Some("its term is not later"),
            _ if last < self.last_id() => Some("its log is shorter"),
            _ if self.in_lease() => Some(IN_LEASE),
            _ => None,
        };
        if let Some(reason) = refusal {
            self.log_refusal(from, term, reason);
        }
        let granted = refusal.is_none();
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
        self.refused.clear();
        self.failed_elections.term = self.term;
        self.set_role(Role::Candidate, None);
        let last = self.last_id();
        for peer in self.voting_peers() {
            self.send_synced(peer, Body::Vote { last, transfer });
        }
        self.after_sync(DeferredAction::OwnVote(self.term));
    }

    pub(super) fn on_vote(&mut self, from: HostId, last: LogId) {
        let free = self.vote.is_none() && self.leader.is_none() || self.vote == Some(from);
        let refusal = match self.role {
            _ if !free => Some("this host has voted or knows a leader in this term"),
            _ if last < self.last_id() => Some("its log is shorter"),
            Role::Follower | Role::PreCandidate => None,
            _ => Some("this host is a candidate itself"),
        };
        if let Some(reason) = refusal {
            self.log_refusal(from, self.term, reason);
        }
        let granted = refusal.is_none();
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

    /// Notes that a voter has refused the current vote or pre-vote.
    pub(super) fn count_refusal(&mut self, from: HostId, body: &Body) {
        let refused = match body {
            Body::PreVoteAnswer { granted } => !granted && self.role == Role::PreCandidate,
            Body::VoteAnswer { granted } => !granted && self.role == Role::Candidate,
            _ => false,
        };
        if refused && self.members().is_voter(from) {
            self.refused.insert(from);
        }
    }

    /// Logs that this host refuses a vote or a pre-vote.
    pub(super) fn log_refusal(&self, from: HostId, term: Term, reason: &str) {
        log::debug!(
            host = self.host.0, from = from.0, term = term.0, own_term = self.term.0, reason;
            "store: refused a vote or a pre-vote"
        );
    }

    /// Returns the number of pre-votes and campaigns of this host that ended without a quorum.
    pub const fn failed_elections(&self) -> u64 {
        self.failed_elections.count
    }

    /// Counts and logs the end of a pre-vote or campaign without a quorum: at once if it differs from the last one, else
    /// every `LOG_PERIOD`.
    fn on_election_failed(&mut self) {
        self.failed_elections.count += 1;
        let known = self.failed_elections.logged.as_ref().is_some_and(|(role, granted, refused, at)| {
            *role == self.role && (granted, refused) == (&self.granted, &self.refused) && self.now - *at < LOG_PERIOD
        });
        if known {
            return;
        }
        let (voters, last) = (&self.members().voters, self.last_id());
        let silent = voters.keys().filter(|host| !self.granted.contains(host) && !self.refused.contains(host));
        log::warn!(
            host = self.host.0, role:? = self.role, term = self.failed_elections.term.0, granted = host_list(&self.granted),
            refused = host_list(&self.refused), silent = host_list(silent), needed = self.members().quorum(),
            last_term = last.term.0, last_index = last.index.0, failed = self.failed_elections.count;
            "store: an election ended without a quorum of voters"
        );
        self.failed_elections.logged = Some((self.role, self.granted.clone(), self.refused.clone(), self.now));
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

    pub(super) fn set_role(&mut self, role: Role, leader: Option<HostId>) {
        match (self.role, role) {
            (Role::PreCandidate, Role::Candidate) | (Role::Candidate, Role::Leader) => {}
            (Role::PreCandidate | Role::Candidate, _) => self.on_election_failed(),
            _ => {}
        }
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
