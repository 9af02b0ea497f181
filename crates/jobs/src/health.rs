//! Health of a target, learned from its runs: speed, consecutive failures, and ejection.

use mangogw_model::Time;
use std::time::Duration;

/// Consecutive failures after which a target is ejected. Tasks fail by their own fault in 2 of 1000 runs, so two in a
/// row are almost certainly the fault of the target.
const FAILURES_BEFORE_EJECTION: u32 = 2;
/// Time after which an ejected target gets one run as a probe; doubles with each failed probe.
const EJECTION_TIME: Duration = Duration::from_millis(1500);
/// Longest time between ejection and the next probe.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// Weight of the newest run in the learned time ratio.
const NEWEST_RUN_WEIGHT: f64 = 0.25;
/// Range to which the time ratio of a run is clamped, because values outside are accidents of one run.
const TIME_RATIO_RANGE: std::ops::RangeInclusive<f64> = 0.2..=12.0;

/// Health of one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Learned ratio of run time to expected run time; 1 before the first run.
    time_ratio: f64,
    runs: u32,
    failures: u32,
    ejection_time: Duration,
    ejected_until: Option<Time>,
    probing: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            time_ratio: 1.0,
            runs: 0,
            failures: 0,
            ejection_time: EJECTION_TIME,
            ejected_until: None,
            probing: false,
        }
    }
}

impl Health {
    /// Returns the learned ratio of run time to expected run time.
    pub const fn time_ratio(&self) -> f64 {
        self.time_ratio
    }

    /// Sets the ratio to start from, unless a run has been recorded.
    pub const fn set_initial_ratio(&mut self, time_ratio: f64) {
        if self.runs == 0 {
            self.time_ratio = time_ratio;
        }
    }

    /// Records a successful run that took `ratio` times as long as expected.
    ///
    /// ```
    /// let mut health = mangogw_jobs::Health::default();
    /// health.record_run(3.0);
    /// assert!(health.time_ratio() > 2.0, "the first run weighs most");
    /// ```
    pub fn record_run(&mut self, ratio: f64) {
        let ratio = ratio.clamp(*TIME_RATIO_RANGE.start(), *TIME_RATIO_RANGE.end());
        let weight = if self.runs == 0 { 0.6 } else { NEWEST_RUN_WEIGHT };
        self.time_ratio += weight * (ratio - self.time_ratio);
        self.runs = self.runs.saturating_add(1);
        self.record_success();
    }

    /// Records a successful run without its time, and ends an ejection.
    pub const fn record_success(&mut self) {
        *self = Self { failures: 0, ejection_time: EJECTION_TIME, ejected_until: None, probing: false, ..*self };
    }

    /// Records a run that failed, stalled, or was refused.
    pub fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_EJECTION || self.probing {
            self.ejected_until = Some(now + self.ejection_time);
            self.ejection_time = (2 * self.ejection_time).min(MAX_EJECTION_TIME);
            self.probing = false;
        }
    }

    /// Records a stalled run, which ejects the target at once.
    pub fn record_stall(&mut self, now: Time) {
        self.failures = FAILURES_BEFORE_EJECTION;
        self.record_failure(now);
    }

    /// Returns true if the target may be given a run beside `busy` others; an ejected target gets a single probe.
    ///
    /// ```
    /// use mangogw_model::Time;
    /// let mut health = mangogw_jobs::Health::default();
    /// health.record_failure(Time::ZERO);
    /// assert!(health.may_run(Time::ZERO, 3));
    /// health.record_failure(Time::ZERO);
    /// assert!(!health.may_run(Time::ZERO, 0));
    /// assert!(health.may_run(Time::from_millis(1600), 0), "one run as a probe");
    /// assert!(!health.may_run(Time::from_millis(1600), 1));
    /// ```
    pub fn may_run(&self, now: Time, busy: usize) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && busy == 0,
        }
    }

    /// Returns true if the target is ejected, which includes the time of a probe.
    pub const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records the start of a run, which is a probe if the target is ejected.
    pub const fn record_start(&mut self) {
        self.probing = self.ejected_until.is_some();
    }
}
