//! Points in time for the state machines.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// Point in time, in microseconds since an origin that the surrounding process chooses.
///
/// State machines receive the current `Time` as an argument and read no clock.
///
/// ```
/// use mangogw_model::Time;
/// use std::time::Duration;
///
/// let start = Time::from_micros(1_000);
/// let later = start + Duration::from_millis(2);
/// assert_eq!(later - start, Duration::from_millis(2));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Time(u64);

impl Time {
    /// Origin of the time scale.
    pub const ZERO: Self = Self(0);
    /// Later than any time that occurs.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time `micros` microseconds after the origin.
    ///
    /// ```
    /// assert_eq!(mangogw_model::Time::from_micros(7).as_micros(), 7);
    /// ```
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the time `millis` milliseconds after the origin, at most [`Time::MAX`].
    ///
    /// ```
    /// assert_eq!(mangogw_model::Time::from_millis(7).as_micros(), 7_000);
    /// ```
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    ///
    /// ```
    /// assert_eq!(mangogw_model::Time::from_millis(1).as_micros(), 1_000);
    /// ```
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, rhs: Duration) {
        *self = *self + rhs;
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(rhs.0))
    }
}
