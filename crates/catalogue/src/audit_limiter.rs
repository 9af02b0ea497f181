//! Bounds how many refused tries are recorded; the rest are counted.

use serde::{Deserialize, Serialize};

/// Refused tries recorded at once, for one principal.
const BURST_RECORDS: u64 = 60;

/// The time after which one more is recorded, in milliseconds.
const REFILL_PERIOD_MS: u64 = 1_000;

/// A token bucket that counts what it holds back.
///
/// The control state has one for each principal. The shell keeps one of its own in front of the log, so that a flood
/// of requests without a valid token costs the log one command a second.
///
/// ```
/// use mangogw_catalogue::AuditLimiter;
///
/// let mut limiter = AuditLimiter::default();
/// let admitted = (0..1_000).filter(|_| limiter.admit(5)).count();
/// assert_eq!(admitted, 60);
/// assert_eq!(limiter.take_skipped(), 940);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLimiter {
    used: u64,
    refilled_ms: u64,
    skipped: u64,
}

impl AuditLimiter {
    /// True if a refused try at this time is to be recorded; it is counted otherwise.
    pub fn admit(&mut self, now_ms: u64) -> bool {
        let earned = now_ms.saturating_sub(self.refilled_ms) / REFILL_PERIOD_MS;
        if earned > 0 {
            self.used = self.used.saturating_sub(earned);
            self.refilled_ms += earned * REFILL_PERIOD_MS;
        }
        let free = self.used < BURST_RECORDS;
        if free {
            self.used += 1;
        } else {
            self.add_skipped(1);
        }
        free
    }

    /// Adds tries that were held back elsewhere.
    pub const fn add_skipped(&mut self, count: u64) {
        self.skipped = self.skipped.saturating_add(count);
    }

    /// The tries held back and not yet told.
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// The same, and begins to count from 0 again.
    pub const fn take_skipped(&mut self) -> u64 {
        std::mem::replace(&mut self.skipped, 0)
    }
}
