//! Settings of the scheduler.

use std::time::Duration;

/// Bounds that targets keep or that clients are promised.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Longest lease that a target grants.
    pub lease: Duration,
    /// Longest time that a target takes to stop a run.
    pub stop_timeout: Duration,
    /// Time for which the tasks of a gang wait for each other.
    pub gang_timeout: Duration,
    /// Time for which ended jobs are kept.
    pub job_retention: Duration,
    /// Factor on the run time of a task that is not on the rack of its data.
    pub remote_factor: f64,
    /// Unix time, in milliseconds, at which the steady clock of this host read zero.
    pub wall_offset: u64,
}

impl Settings {
    /// Returns the time after which a run whose lease is renewed no more is surely over, by the slowest clock.
    ///
    /// ```
    /// use mangogw_jobs::Settings;
    /// assert_eq!(Settings::default().lease_expiry().as_millis(), 1100);
    /// ```
    pub fn lease_expiry(&self) -> Duration {
        self.lease + self.lease / 20 + self.stop_timeout
    }
}

impl Default for Settings {
    /// Returns the bounds of the current deployments.
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(1),
            stop_timeout: Duration::from_millis(50),
            gang_timeout: Duration::from_secs(3),
            job_retention: Duration::from_mins(2),
            remote_factor: 3.0,
            wall_offset: 0,
        }
    }
}
