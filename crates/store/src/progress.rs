//! What a leader knows of each other member.

use crate::{Index, Snapshot};
use mangogw_model::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// How entries are sent to a member.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// One message at a time, until the logs are known to agree somewhere.
    Probe {
        /// True while an answer is awaited.
        waiting: bool,
    },
    /// Many messages in flight.
    Replicate,
    /// A snapshot, piece by piece.
    Snapshot {
        /// The snapshot; the leader may make newer ones meanwhile.
        snapshot: Snapshot,
        /// Bytes that the member holds.
        offset: u64,
    },
}

/// What a leader knows of one other member.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The member's synced log agrees up to here.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    /// How entries are sent.
    pub(crate) state: ProgressState,
    /// The last entry of each message in flight.
    pub(crate) inflight: VecDeque<Index>,
    /// The commit index it was told.
    pub(crate) sent_commit: Index,
    /// The last round of reads it confirmed.
    pub(crate) confirmed_round: u64,
    /// When it was last heard from in this term.
    pub(crate) last_contact: Time,
    /// How long it counts as alive after it was heard from.
    pub(crate) liveness_timeout: Duration,
    /// When something was last sent to it or acknowledged by it, save heartbeats.
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

    /// True if it was heard from of late.
    pub(crate) fn alive(&self, now: Time) -> bool {
        now - self.last_contact < self.liveness_timeout
    }

    /// Starts over one message at a time, after what is known to agree.
    pub(crate) fn probe(&mut self, next: Index) {
        self.next = next.max(self.matched.next());
        self.state = ProgressState::Probe { waiting: false };
        self.inflight.clear();
    }

    /// The member's log agrees up to `index`. True if that is news.
    pub(crate) fn advance(&mut self, index: Index, now: Time) -> bool {
        let news = index > self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        while self.inflight.front().is_some_and(|last| *last <= self.matched) {
            self.inflight.pop_front();
        }
        if news {
            self.last_activity = now;
        }
        news
    }
}
