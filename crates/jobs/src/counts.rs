//! Counters of a board.

use crate::RefusalReason;
use std::ops::Add;
use std::time::Duration;

/// Upper bounds of the ages at refusal that are counted apart, in milliseconds; older ones are counted last.
pub const REFUSAL_AGE_BOUNDS_MILLIS: [u64; 6] = [10, 30, 100, 300, 1000, 3000];

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
    /// These, by reason: no room, displaced, late, expired.
    pub refused_by_reason: [u32; 4],
    /// These, by their age at refusal, within [`REFUSAL_AGE_BOUNDS_MILLIS`] and beyond.
    pub refused_by_age: [u32; REFUSAL_AGE_BOUNDS_MILLIS.len() + 1],
    /// Sum of these ages, in milliseconds.
    pub refusal_age: u64,
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
            refused_by_reason: add(self.refused_by_reason, rhs.refused_by_reason),
            refused_by_age: add(self.refused_by_age, rhs.refused_by_age),
            refusal_age: self.refusal_age + rhs.refusal_age,
            dropped: self.dropped + rhs.dropped,
        }
    }
}

fn add<const N: usize>(a: [u32; N], b: [u32; N]) -> [u32; N] {
    std::array::from_fn(|at| a[at] + b[at])
}

impl Counts {
    /// Counts the reason of a refusal and the age of the job.
    pub(crate) fn record_refusal(&mut self, reason: RefusalReason, age: Duration) {
        self.refused_by_reason[reason as usize] += 1;
        let millis = age.as_millis() as u64;
        let bucket = REFUSAL_AGE_BOUNDS_MILLIS.iter().take_while(|bound| millis > **bound).count();
        self.refused_by_age[bucket] += 1;
        self.refusal_age += millis;
    }
}
