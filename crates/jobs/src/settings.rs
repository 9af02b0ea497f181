//! Times that the dispatch of jobs goes by.

use std::time::Duration;

/// Bounds that targets and clients are told or promised.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The longest lease that a target grants.
    pub lease: Duration,
    /// A target takes at most so long to stop a run.
    pub stop_timeout: Duration,
    /// The tasks of a gang wait so long for each other.
    pub gang_timeout: Duration,
    /// Ended jobs stay known for so long.
    pub job_retention: Duration,
    /// A task away from its data takes so many times as long.
    pub remote_factor: f64,
    /// The steady clock and the wall clock of this host read zero and this many Unix milliseconds at once.
    pub wall_offset: u64,
}

impl Settings {
    /// What runs under a lease that is renewed no more is over after so long, by the slowest clock.
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
    /// The bounds of the deployments of today.
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
