//! Clocks of the system: monotonic time for the host, and wall time, from which seeds are drawn too.

use mangogw_model::Time;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Monotonic clock that counts from its start. It keeps running while the machine is suspended, because leases expire
/// meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Returns a clock that starts now.
    ///
    /// ```
    /// let clock = mangogwd::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { origin: boot_time() }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> Time {
        Time::ZERO + boot_time().saturating_sub(self.origin)
    }
}

/// Returns the time since the machine was booted, including time in suspension.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the milliseconds since the Unix epoch, or 0 if the system clock is set to an earlier time.
///
/// ```
/// assert!(mangogwd::clock::unix_millis() > 1_600_000_000_000);
/// ```
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
