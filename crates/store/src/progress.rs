//! Replication progress of each other member, as tracked by the leader.

use crate::{Index, Snapshot};
use mangogw_model::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Mode in which entries are sent to a member.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// One message at a time, until the last entry on which the logs agree is known.
    Probe {
        /// True while an answer is outstanding.
        waiting: bool,
    },
    /// Up to `max_inflight` messages in flight.
    Replicate,
    /// A snapshot, chunk by chunk.
    Snapshot {
        /// The snapshot being sent, even if the leader has taken a newer one since.
        snapshot: Snapshot,
        /// Bytes that the member has received.
        offset: u64,
    },
}

/// Replication progress of one member.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Index up to which the member's synced log agrees with the leader's.
    pub(crate) matched: Index,
    /// Index of the next entry to send.
    pub(crate) next: Index,
    pub(crate) state: ProgressState,
    /// Index of the last entry in each message in flight.
    pub(crate) inflight: VecDeque<Index>,
    /// Last commit index sent to the member.
    pub(crate) sent_commit: Index,
    /// Last round of reads that the member confirmed.
    pub(crate) confirmed_round: u64,
    /// Time of the last message from the member in this term.
    pub(crate) last_contact: Time,
    /// Time for which the member counts as alive after `last_contact`.
    pub(crate) liveness_timeout: Duration,
    /// Time when entries or a chunk were last sent to the member, or entries newly acknowledged by it.
    pub(crate) last_activity: Time,
}

impl Progress {
    pub(crate) fn new(next: Index, now: Time, liveness_timeout: Duration) -> Self {
        Self {
            matched: Index(0),
            next,
            state: ProgressState::Probe { waiting: false },
            inflight: VecDeque::new(),
            sent_commit: Index(0),
            confirmed_round: 0,
            last_contact: now,
            liveness_timeout,
            last_activity: now,
        }
    }

    /// Returns true if the member was heard from within its liveness timeout.
    pub(crate) fn alive(&self, now: Time) -> bool {
        now - self.last_contact < self.liveness_timeout
    }

    /// Returns to probing from `next`, but no earlier than the entry after `matched`.
    pub(crate) fn probe(&mut self, next: Index) {
        self.next = next.max(self.matched.next());
        self.state = ProgressState::Probe { waiting: false };
        self.inflight.clear();
    }

    /// Records that the member's log agrees up to `index`; returns true if `matched` rose.
    pub(crate) fn advance(&mut self, index: Index, now: Time) -> bool {
        let advanced = index > self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        while self.inflight.front().is_some_and(|last| *last <= self.matched) {
            self.inflight.pop_front();
        }
        if advanced {
            self.last_activity = now;
        }
        advanced
    }
}
