//! What is due later. Timers are never taken out; one that no longer applies does nothing when it fires.

use crate::{TargetKey, TaskKey};
use mangogw_model::Time;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Something to look at when its time comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A target was kept clear for a task long enough.
    Reservation(TargetKey, TaskKey),
    /// The lease of a target ends.
    Lease(TargetKey),
    /// A target may be probed.
    Probe(TargetKey),
    /// A stopped attempt should have been heard of.
    StopTimeout(u64),
    /// The deadline of a task.
    Deadline(TaskKey),
    /// An attempt has run longer than such tasks do.
    Overdue(u64),
    /// A task has waited long enough for a better target.
    PlacementTimeout(TaskKey),
}

/// All timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Time, Timer)>>,
}

impl Timers {
    pub(crate) fn push(&mut self, at: Time, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// The next timer due at `now`.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Timer> {
        self.next().filter(|&at| at <= now)?;
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// When the next one is due.
    pub(crate) fn next(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }

    /// Drops timers that no longer apply.
    pub(crate) fn prune(&mut self, mut live: impl FnMut(&Timer) -> bool) {
        self.heap.retain(|Reverse((_, timer))| live(timer));
    }
}
