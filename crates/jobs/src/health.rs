//! What the runs on a target say about it: how fast it is, and whether it can be trusted.

use mangogw_model::Time;
use std::time::Duration;

/// Failures in a row after which a target gets no work: tasks of today fail by their own fault in 2 of 1000 runs, so
/// two in a row are the target's fault with near certainty.
const FAILURES_BEFORE_EJECTION: u32 = 2;
/// A target that was taken out gets one run to try after so long; it doubles with each try that fails.
const EJECTION_TIME: Duration = Duration::from_millis(1500);
/// The longest rest.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// The weight of the newest run in the learned pace.
const NEWEST_RUN_WEIGHT: f64 = 0.25;
/// Paces outside of this range are taken for accidents of one run.
const TIME_RATIO_RANGE: std::ops::RangeInclusive<f64> = 0.2..=12.0;

/// A running judgement of one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Run time over expected run time, learned; 1 before the first run.
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
    /// Run time over expected run time.
    pub const fn time_ratio(&self) -> f64 {
        self.time_ratio
    }

    /// Starts from what targets of its kind have shown.
    pub const fn set_initial_ratio(&mut self, time_ratio: f64) {
        if self.runs == 0 {
            self.time_ratio = time_ratio;
        }
    }

    /// A run took `ratio` times as long as expected.
    ///
    /// ```
    /// let mut health = mangogw_jobs::Health::default();
    /// health.record_run(3.0);
    /// assert!(health.time_ratio() > 2.0, "the first run says most");
    /// ```
    pub fn record_run(&mut self, ratio: f64) {
        let ratio = ratio.clamp(*TIME_RATIO_RANGE.start(), *TIME_RATIO_RANGE.end());
        let weight = if self.runs == 0 { 0.6 } else { NEWEST_RUN_WEIGHT };
        self.time_ratio += weight * (ratio - self.time_ratio);
        self.runs = self.runs.saturating_add(1);
        self.record_success();
    }

    /// A run did its work, however long it took.
    pub const fn record_success(&mut self) {
        *self = Self { failures: 0, ejection_time: EJECTION_TIME, ejected_until: None, probing: false, ..*self };
    }

    /// A run failed, stood still, or was refused.
    pub fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_EJECTION || self.probing {
            self.ejected_until = Some(now + self.ejection_time);
            self.ejection_time = (2 * self.ejection_time).min(MAX_EJECTION_TIME);
            self.probing = false;
        }
    }

    /// A run stood still: the target is taken out at once.
    pub fn record_stall(&mut self, now: Time) {
        self.failures = FAILURES_BEFORE_EJECTION;
        self.record_failure(now);
    }

    /// True if it may be given a run, beside `busy` others.
    ///
    /// ```
    /// use mangogw_model::Time;
    /// let mut health = mangogw_jobs::Health::default();
    /// health.record_failure(Time::ZERO);
    /// assert!(health.may_run(Time::ZERO, 3));
    /// health.record_failure(Time::ZERO);
    /// assert!(!health.may_run(Time::ZERO, 0));
    /// assert!(health.may_run(Time::from_millis(1600), 0), "one run to try");
    /// assert!(!health.may_run(Time::from_millis(1600), 1));
    /// ```
    pub fn may_run(&self, now: Time, busy: usize) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && busy == 0,
        }
    }

    /// True if it is on trial or out.
    pub const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// It was given a run.
    pub const fn record_start(&mut self) {
        self.probing = self.ejected_until.is_some();
    }
}
