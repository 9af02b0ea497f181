//! Bounds on the clock of a target.

use mangogw_model::Time;
use std::time::Duration;

/// Maximum drift of a clock in percent, slow or fast; 2 is the bound of the platform.
const MAX_DRIFT_PERCENT: u64 = 2;

/// Bounds on the clock of a target, in its own milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemoteClock {
    reading: u64,
    sent: Time,
    received: Time,
}

impl RemoteClock {
    /// Creates the bounds of a clock that showed `reading`, in milliseconds, at some moment between `sent` and
    /// `received`.
    pub const fn new(reading: u64, sent: Time, received: Time) -> Self {
        Self { reading, sent, received }
    }

    /// Returns the least that the clock can show at `now`, in milliseconds.
    ///
    /// ```
    /// use mangogw_jobs::RemoteClock;
    /// use mangogw_model::Time;
    /// let clock = RemoteClock::new(500, Time::from_millis(10), Time::from_millis(12));
    /// assert_eq!(clock.min_reading(Time::from_millis(112)), 598);
    /// ```
    pub fn min_reading(&self, now: Time) -> u64 {
        let passed = (now - self.received).as_millis() as u64;
        self.reading.saturating_add(passed - passed.div_ceil(100 / MAX_DRIFT_PERCENT))
    }

    /// Returns the instant from which on the clock surely shows more than `reading` milliseconds.
    ///
    /// ```
    /// use mangogw_jobs::RemoteClock;
    /// use mangogw_model::Time;
    /// let clock = RemoteClock::new(500, Time::from_millis(10), Time::from_millis(12));
    /// assert!(clock.surely_past(1500) > Time::from_millis(1030));
    /// ```
    pub fn surely_past(&self, reading: u64) -> Time {
        let ahead = reading.saturating_sub(self.reading).saturating_add(1);
        let drift = ahead.saturating_mul(MAX_DRIFT_PERCENT) / (100 - MAX_DRIFT_PERCENT);
        self.received + Duration::from_millis(ahead.saturating_add(drift).saturating_add(1))
    }

    /// Returns the one of the two that was received later.
    #[must_use]
    pub fn newer(self, other: Self) -> Self {
        if other.received >= self.received { other } else { self }
    }
}
