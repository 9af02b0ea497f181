//! Rate limit on audit records of refused attempts; attempts above the limit are only counted.

use serde::{Deserialize, Serialize};

/// Number of refused attempts that one principal can have recorded in a burst.
const BURST_RECORDS: u64 = 60;

/// Time after which one more attempt may be recorded, in milliseconds.
const REFILL_PERIOD_MS: u64 = 1_000;

/// Token bucket that counts the attempts it does not admit.
///
/// The control state has one limiter per principal. Each host has another one in front of the log, so that a flood of
/// requests without a valid token costs the log one command a second.
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
    /// Returns true if a refused attempt at this time is to be recorded; otherwise counts the attempt as skipped.
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

    /// Adds attempts that another limiter did not admit.
    pub const fn add_skipped(&mut self, count: u64) {
        self.skipped = self.skipped.saturating_add(count);
    }

    /// Number of skipped attempts that no record has reported yet.
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the number of skipped attempts and resets the count to 0.
    pub const fn take_skipped(&mut self) -> u64 {
        std::mem::replace(&mut self.skipped, 0)
    }
}
