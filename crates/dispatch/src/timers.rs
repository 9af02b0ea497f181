//! Timers by due time. They are never cancelled; a timer that no longer applies has no effect when it fires.

use crate::{TargetKey, TaskKey};
use mangogw_model::Time;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Event that a timer fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The reservation of a target for a task times out.
    Reservation(TargetKey, TaskKey),
    /// The lease of a target ends, or a lapsed target may be removed.
    Lease(TargetKey),
    /// An ejected target may be probed.
    Probe(TargetKey),
    /// A stopped attempt should have been reported by now.
    StopTimeout(u64),
    /// The deadline of a task passes.
    Deadline(TaskKey),
    /// An attempt has run longer than expected.
    Overdue(u64),
    /// A task has waited long enough for a faster target.
    PlacementTimeout(TaskKey),
}

/// All timers, the earliest first.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Time, Timer)>>,
}

impl Timers {
    pub(crate) fn push(&mut self, at: Time, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Removes and returns the next timer that is due at `now`.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Timer> {
        self.next().filter(|&at| at <= now)?;
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// Returns the due time of the next timer.
    pub(crate) fn next(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }

    /// Drops the timers that `live` rejects.
    pub(crate) fn prune(&mut self, mut live: impl FnMut(&Timer) -> bool) {
        self.heap.retain(|Reverse((_, timer))| live(timer));
    }
}
