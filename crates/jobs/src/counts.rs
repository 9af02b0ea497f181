//! Counters of a board.

use std::ops::Add;

/// Counters of a board since it was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Starts of runs that were ordered.
    pub starts: u64,
    /// Starts that got no answer.
    pub unsure: u64,
    /// Starts that a target refused.
    pub denied: u64,
    /// Orders that another incarnation of their target answered.
    pub replaced: u64,
    /// Renewals sent to targets.
    pub renewals: u64,
    /// Renewals that returned no list of runs.
    pub missed_renewals: u64,
    /// Jobs answered as completed.
    pub completed: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs refused before any of their tasks had started.
    pub refused: u64,
    /// Jobs dropped because no client waits for them any more.
    pub dropped: u64,
}

impl Add for Counts {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            starts: self.starts + rhs.starts,
            unsure: self.unsure + rhs.unsure,
            denied: self.denied + rhs.denied,
            replaced: self.replaced + rhs.replaced,
            renewals: self.renewals + rhs.renewals,
            missed_renewals: self.missed_renewals + rhs.missed_renewals,
            completed: self.completed + rhs.completed,
            failed: self.failed + rhs.failed,
            refused: self.refused + rhs.refused,
            dropped: self.dropped + rhs.dropped,
        }
    }
}
