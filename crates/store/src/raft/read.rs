//! Reads that are known to be current: a round of heartbeats confirms the leader.

use super::{Raft, quorum_value};
use crate::{Index, Output, Refusal, Role, Tag};
use mangogw_model::Time;
use std::collections::VecDeque;

/// Reads that wait for a round of heartbeats.
#[derive(Debug, Default)]
pub(super) struct Reads {
    round: u64,
    /// Reads that wait for the next round.
    fresh: Vec<Tag>,
    /// Reads, each with its round and the commit index at its start.
    waiting: VecDeque<(u64, Index, Tag)>,
}

impl Reads {
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    pub(super) fn clear(&mut self) -> Vec<Tag> {
        let waiting = self.waiting.drain(..).map(|(_, _, tag)| tag);
        self.fresh.drain(..).chain(waiting).collect()
    }
}

impl Raft {
    /// Asks for a read. It is answered by `ReadReady` once the applied state is known to hold every change that was
    /// acknowledged before the call, or by `Refused`.
    pub fn read(&mut self, now: Time, tag: Tag) {
        self.advance(now);
        let waiting = self.reads.fresh.len() + self.reads.waiting.len();
        match self.role {
            Role::Leader if waiting >= self.settings.pending_reads => self.refuse(tag, Refusal::Busy),
            Role::Leader => self.reads.fresh.push(tag),
            _ => self.refuse_role(tag),
        }
    }

    /// Starts a round for the reads that came since the last one.
    pub(super) fn flush_reads(&mut self) {
        if self.reads.fresh.is_empty() || !self.settled() {
            return;
        }
        self.reads.round += 1;
        let (round, commit) = (self.reads.round, self.commit);
        let fresh = std::mem::take(&mut self.reads.fresh);
        self.reads.waiting.extend(fresh.into_iter().map(|tag| (round, commit, tag)));
        self.beat_voters();
        self.ready_reads();
    }

    /// Answers the reads whose round a quorum has confirmed.
    pub(super) fn ready_reads(&mut self) {
        let confirmed = |host| match host {
            _ if host == self.host => self.reads.round,
            _ => self.progress.get(&host).map_or(0, |progress| progress.round),
        };
        let rounds = self.members().voters.keys().copied().map(confirmed).collect();
        let Some(round) = quorum_value(rounds, self.members().quorum()) else { return };
        while let Some((_, index, tag)) = self.reads.waiting.pop_front_if(|(need, ..)| *need <= round) {
            self.outputs.push(Output::ReadReady { tag, index });
        }
    }
}
