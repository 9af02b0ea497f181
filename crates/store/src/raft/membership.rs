//! Membership changes, one host at a time.

use super::Raft;
use crate::progress::{Progress, ProgressState};
use crate::{Index, Members, MembershipChange, Payload, Refusal, Role, Tag};
use mangogw_model::{HostId, Time};
use std::time::Duration;

impl Raft {
    /// Changes the members by one step. The answer is an [`Output::Apply`](crate::Output::Apply) with `tag`, or an
    /// [`Output::Refused`](crate::Output::Refused).
    ///
    /// A learner becomes a voter only after it has caught up, so that no quorum depends on a host without the log. To
    /// replace a host: add the new one as a learner, remove the lost one, promote the learner.
    pub fn change_membership(&mut self, now: Time, change: MembershipChange, tag: Tag) {
        self.advance(now);
        if self.role != Role::Leader {
            return self.refuse_role(tag);
        }
        match self.validate_change(change) {
            Ok(members) => self.append_members(members, tag),
            Err(why) => self.refuse(tag, why),
        }
    }

    fn validate_change(&self, change: MembershipChange) -> Result<Members, Refusal> {
        let next = self.members().with_change(change).ok_or(Refusal::BadChange)?;
        match change {
            _ if self.pending_transfer.is_some() => Err(Refusal::Transferring),
            _ if !self.committed_in_term() || self.last_change_index() > self.commit => Err(Refusal::ChangePending),
            MembershipChange::Demote(host) | MembershipChange::Remove(host) if host == self.host => {
                Err(Refusal::Leading)
            }
            MembershipChange::Promote(host) if !self.caught_up(host) => Err(Refusal::NotCaughtUp),
            _ if self.live_voters(&next) < next.quorum() => Err(Refusal::NoQuorum),
            _ => Ok(next),
        }
    }

    fn append_members(&mut self, members: Members, tag: Tag) {
        let next = self.last_id().index.next();
        self.append_as_leader(Payload::Members(members), Some(tag));
        let peers = self.peers();
        self.progress.retain(|host, _| peers.contains(host));
        for peer in peers {
            let (now, liveness_timeout) = (self.now, self.liveness_timeout(peer));
            let progress = self.progress.entry(peer).or_insert_with(|| Progress::new(next, now, liveness_timeout));
            // A new voter may last have answered within the longer timeout of a learner, so its timeout restarts now.
            if progress.liveness_timeout != liveness_timeout {
                progress.liveness_timeout = liveness_timeout;
                progress.last_contact = now;
            }
        }
    }

    /// Returns how long a member counts as alive after its last message.
    pub(super) fn liveness_timeout(&self, host: HostId) -> Duration {
        match self.members().is_voter(host) {
            true => self.settings.election,
            false => self.settings.learner_timeout(),
        }
    }

    /// Returns the index of the last entry that changed the members.
    pub fn last_change_index(&self) -> Index {
        self.membership_history.last().map_or(Index(0), |(index, _)| *index)
    }

    /// Returns true if `host` is alive and its synced log is at most `learner_lag` entries behind this leader's.
    pub(super) fn caught_up(&self, host: HostId) -> bool {
        let last = self.last_id().index.0;
        self.progress.get(&host).is_some_and(|progress| {
            matches!(progress.state, ProgressState::Replicate)
                && progress.matched >= self.term_start
                && progress.matched.0 + self.settings.learner_lag >= last
                && progress.alive(self.now)
        })
    }

    /// Returns how many voters of `members` were heard from within their liveness timeout, this host included.
    pub(super) fn live_voters(&self, members: &Members) -> usize {
        let live = |host: &HostId| match self.progress.get(host) {
            _ if *host == self.host => true,
            Some(progress) => progress.alive(self.now),
            None => false,
        };
        members.voters.keys().filter(|host| live(host)).count()
    }
}
