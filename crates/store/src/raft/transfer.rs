//! Transfer of leadership to another voter.

use super::Raft;
use crate::{Body, Output, Refusal, Role, Tag};
use mangogw_model::{HostId, Time};

/// A transfer of leadership in progress.
#[derive(Debug)]
pub(super) struct Transfer {
    to: HostId,
    tag: Tag,
    deadline: Time,
    /// True once the target was told to campaign.
    sent: bool,
}

impl Raft {
    /// Transfers leadership to the voter `to`. Proposals are refused during the transfer, which is canceled after the
    /// shortest election timeout; `tag` is then refused if the target did not catch up.
    pub fn transfer(&mut self, now: Time, to: HostId, tag: Tag) {
        self.advance(now);
        match self.role {
            Role::Leader if self.pending_transfer.is_some() => self.refuse(tag, Refusal::Transferring),
            Role::Leader if to == self.host || !self.members().is_voter(to) => self.refuse(tag, Refusal::BadChange),
            Role::Leader => {
                let deadline = self.now + self.settings.election;
                self.pending_transfer = Some(Transfer { to, tag, deadline, sent: false });
                self.try_transfer();
            }
            _ => self.refuse_role(tag),
        }
    }

    /// Ends this leadership. As the only voter, this host campaigns at its next tick and leads in a later term.
    pub fn resign(&mut self, now: Time) {
        self.advance(now);
        if self.role == Role::Leader {
            self.set_role(Role::Follower, None);
            if self.members().voters.len() == 1 {
                self.election_deadline = self.now;
            }
        }
    }

    /// Tells the target of the transfer to campaign, once its log matches this leader's log to the end.
    pub(super) fn try_transfer(&mut self) {
        let last = self.last_id().index;
        let matches = |to| self.progress.get(&to).is_some_and(|progress| progress.matched == last);
        match &mut self.pending_transfer {
            Some(Transfer { to, tag, sent, .. }) if !*sent && matches(*to) => {
                *sent = true;
                let (to, tag) = (*to, *tag);
                self.send(to, Body::TimeoutNow);
                self.outputs.push(Output::Transferred { tag });
            }
            _ => {}
        }
    }

    pub(super) fn tick_transfer(&mut self) {
        let expired = self.pending_transfer.take_if(|transfer| self.now >= transfer.deadline);
        if let Some(Transfer { tag, sent: false, .. }) = expired {
            self.refuse(tag, Refusal::NotCaughtUp);
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: HostId) {
        if self.leader == Some(from) && self.may_vote() {
            self.start_election(true);
        }
    }
}
