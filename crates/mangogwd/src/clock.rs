//! The only place that reads clocks and draws seeds.

use mangogw_model::Time;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A monotonic clock whose origin is its own start. It goes on while the machine is suspended, since leases do.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// A clock that starts now.
    ///
    /// ```
    /// let clock = mangogwd::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { origin: boot_time() }
    }

    /// The time since the start.
    pub fn now(&self) -> Time {
        Time::ZERO + boot_time().saturating_sub(self.origin)
    }
}

/// The time since the machine was started, suspended or not.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Milliseconds since the Unix epoch.
///
/// ```
/// assert!(mangogwd::clock::unix_millis() > 1_600_000_000_000);
/// ```
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
