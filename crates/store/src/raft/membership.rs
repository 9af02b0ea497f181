//! Membership changes, one host at a time.

use super::Raft;
use crate::progress::{Flow, Progress};
use crate::{Index, Members, MembershipChange, Payload, Refusal, Role, Tag};
use mangogw_model::{HostId, Time};
use std::time::Duration;

/// Heartbeats in a row that a learner may miss.
const LEARNER_BEATS: u32 = 3;

impl Raft {
    /// Changes the members by one step. It is answered by an `Apply` that carries `tag`, or by `Refused`.
    ///
    /// A learner becomes a voter only once it has caught up, so that the group never counts on a log that is not
    /// there. To replace a host: add the new one as a learner, remove the lost one, promote the learner.
    pub fn change_membership(&mut self, now: Time, change: MembershipChange, tag: Tag) {
        self.advance(now);
        if self.role != Role::Leader {
            return self.refuse_role(tag);
        }
        match self.judge(change) {
            Ok(members) => self.lead_members(members, tag),
            Err(why) => self.refuse(tag, why),
        }
    }

    fn judge(&self, change: MembershipChange) -> Result<Members, Refusal> {
        let next = self.members().with_change(change).ok_or(Refusal::BadChange)?;
        match change {
            _ if self.handover.is_some() => Err(Refusal::Transferring),
            _ if !self.settled() || self.changed_at() > self.commit => Err(Refusal::ChangePending),
            MembershipChange::Remove(host) if host == self.host => Err(Refusal::Leading),
            MembershipChange::Promote(host) if !self.caught_up(host) => Err(Refusal::NotCaughtUp),
            _ if self.live_voters(&next) < next.quorum() => Err(Refusal::NoQuorum),
            _ => Ok(next),
        }
    }

    fn lead_members(&mut self, members: Members, tag: Tag) {
        let next = self.last_id().index.next();
        self.lead_entry(Payload::Members(members), Some(tag));
        let peers = self.peers();
        self.progress.retain(|host, _| peers.contains(host));
        for peer in peers {
            let (now, patience) = (self.now, self.patience(peer));
            let progress = self.progress.entry(peer).or_insert_with(|| Progress::new(next, now, patience));
            // A learner that becomes a voter answered within its longer time.
            if progress.patience != patience {
                progress.patience = patience;
                progress.heard = now;
            }
        }
    }

    /// How long a member counts as alive after it was heard from.
    pub(super) fn patience(&self, host: HostId) -> Duration {
        if self.members().is_voter(host) {
            return self.settings.election;
        }
        LEARNER_BEATS * self.settings.learner_heartbeat
    }

    /// The entry that last changed the members.
    fn changed_at(&self) -> Index {
        self.history.last().map_or(Index(0), |(index, _)| *index)
    }

    /// True if `host` holds nearly the whole log, synced, and answers.
    pub(super) fn caught_up(&self, host: HostId) -> bool {
        let last = self.last_id().index.0;
        self.progress.get(&host).is_some_and(|progress| {
            matches!(progress.flow, Flow::Replicate)
                && progress.matched >= self.first
                && progress.matched.0 + self.settings.learner_lag >= last
                && progress.alive(self.now)
        })
    }

    /// The voters of `members` that were heard from within the election timeout, this host included.
    pub(super) fn live_voters(&self, members: &Members) -> usize {
        let live = |host: &HostId| match self.progress.get(host) {
            _ if *host == self.host => true,
            Some(progress) => progress.alive(self.now),
            None => false,
        };
        members.voters.keys().filter(|host| live(host)).count()
    }
}
