//! The only place that reads clocks and draws seeds.

use mangogw_model::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock whose origin is its own start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    ///
    /// ```
    /// let clock = mangogwd::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The time since the start.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }
}

/// Milliseconds since the Unix epoch.
///
/// ```
/// assert!(mangogwd::clock::unix_millis() > 1_600_000_000_000);
/// ```
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
