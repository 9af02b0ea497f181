//! Times that the dispatch of jobs goes by.

use std::time::Duration;

/// Bounds that targets and clients are told or promised.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The longest lease that a target grants.
    pub lease: Duration,
    /// A target takes at most so long to stop a run.
    pub stop: Duration,
    /// The tasks of a gang wait so long for each other.
    pub gang: Duration,
    /// Ended jobs stay known for so long.
    pub keep: Duration,
    /// A task away from its data takes so many times as long.
    pub far: f64,
    /// The steady clock and the wall clock of this host read zero and this many Unix milliseconds at once.
    pub wall: u64,
}

impl Settings {
    /// What runs under a lease that is renewed no more is over after so long, by the slowest clock.
    ///
    /// ```
    /// use mangogw_jobs::Settings;
    /// assert_eq!(Settings::default().outlived().as_millis(), 1100);
    /// ```
    pub fn outlived(&self) -> Duration {
        self.lease + self.lease / 20 + self.stop
    }
}

impl Default for Settings {
    /// The bounds of the deployments of today.
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(1),
            stop: Duration::from_millis(50),
            gang: Duration::from_secs(3),
            keep: Duration::from_mins(2),
            far: 3.0,
            wall: 0,
        }
    }
}
