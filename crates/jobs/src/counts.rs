//! What a board has done so far.

use std::ops::Add;

/// How often each thing happened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Runs ordered.
    pub starts: u64,
    /// Starts that got no answer.
    pub unsure: u64,
    /// Starts that a target refused.
    pub denied: u64,
    /// Looks at targets.
    pub renewals: u64,
    /// Looks that told nothing.
    pub missed_renewals: u64,
    /// Jobs answered as completed.
    pub completed: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs turned away before anything of them had started.
    pub refused: u64,
    /// Jobs dropped since nobody waits for them any more.
    pub dropped: u64,
}

impl Add for Counts {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            starts: self.starts + rhs.starts,
            unsure: self.unsure + rhs.unsure,
            denied: self.denied + rhs.denied,
            renewals: self.renewals + rhs.renewals,
            missed_renewals: self.missed_renewals + rhs.missed_renewals,
            completed: self.completed + rhs.completed,
            failed: self.failed + rhs.failed,
            refused: self.refused + rhs.refused,
            dropped: self.dropped + rhs.dropped,
        }
    }
}
