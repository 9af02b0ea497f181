//! Linearizable reads: a round of heartbeats confirms that this host still leads.

use super::{Raft, quorum_value};
use crate::{Index, Output, Refusal, Role, Tag};
use mangogw_model::Time;
use std::collections::VecDeque;

/// Reads that wait until a round of heartbeats confirms the leader.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    /// Number of the last round started.
    round: u64,
    /// Reads that wait for the next round to start.
    queued: Vec<Tag>,
    /// Reads whose round has started, each with the round and the commit index at its start.
    waiting: VecDeque<(u64, Index, Tag)>,
}

impl ReadQueue {
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    pub(super) fn clear(&mut self) -> Vec<Tag> {
        let waiting = self.waiting.drain(..).map(|(_, _, tag)| tag);
        self.queued.drain(..).chain(waiting).collect()
    }
}

impl Raft {
    /// Requests a read. The answer is an [`Output::ReadReady`] once the applied state holds every change that was
    /// acknowledged before the call, or an [`Output::Refused`].
    pub fn read(&mut self, now: Time, tag: Tag) {
        self.advance(now);
        let waiting = self.reads.queued.len() + self.reads.waiting.len();
        match self.role {
            Role::Leader if waiting >= self.settings.pending_reads => self.refuse(tag, Refusal::Busy),
            Role::Leader => self.reads.queued.push(tag),
            _ => self.refuse_role(tag),
        }
    }

    /// Starts a round of heartbeats for the reads that were requested since the last round.
    pub(super) fn flush_reads(&mut self) {
        if self.reads.queued.is_empty() || !self.committed_in_term() {
            return;
        }
        self.reads.round += 1;
        let (round, commit) = (self.reads.round, self.commit);
        let queued = std::mem::take(&mut self.reads.queued);
        self.reads.waiting.extend(queued.into_iter().map(|tag| (round, commit, tag)));
        self.send_voter_heartbeats();
        self.complete_reads();
    }

    /// Answers the reads whose round a quorum of voters has confirmed.
    pub(super) fn complete_reads(&mut self) {
        let confirmed = |host| match host {
            _ if host == self.host => self.reads.round,
            _ => self.progress.get(&host).map_or(0, |progress| progress.confirmed_round),
        };
        let rounds = self.members().voters.keys().copied().map(confirmed).collect();
        let Some(round) = quorum_value(rounds, self.members().quorum()) else { return };
        while let Some((_, index, tag)) = self.reads.waiting.pop_front_if(|(need, ..)| *need <= round) {
            self.outputs.push(Output::ReadReady { tag, index });
        }
    }
}
