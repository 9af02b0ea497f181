//! What the runs on a target say about it: how fast it is, and whether it can be trusted.

use mangogw_model::Time;
use std::time::Duration;

/// Failures in a row after which a target gets no work: tasks of today fail by their own fault in 2 of 1000 runs, so
/// two in a row are the target's fault with near certainty.
const STRIKES: u32 = 2;
/// A target that was taken out gets one run to try after so long; it doubles with each try that fails.
const REST: Duration = Duration::from_millis(1500);
/// The longest rest.
const MAX_REST: Duration = Duration::from_secs(8);
/// The weight of the newest run in the learned pace.
const FRESH: f64 = 0.25;
/// Paces outside of this range are taken for accidents of one run.
const PACES: std::ops::RangeInclusive<f64> = 0.2..=12.0;

/// A running judgement of one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Run time over expected run time, learned; 1 before the first run.
    pace: f64,
    runs: u32,
    strikes: u32,
    rest: Duration,
    out: Option<Time>,
    trying: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self { pace: 1.0, runs: 0, strikes: 0, rest: REST, out: None, trying: false }
    }
}

impl Health {
    /// Run time over expected run time.
    pub const fn pace(&self) -> f64 {
        self.pace
    }

    /// Starts from what targets of its kind have shown.
    pub const fn assume(&mut self, pace: f64) {
        if self.runs == 0 {
            self.pace = pace;
        }
    }

    /// A run took `ratio` times as long as expected.
    ///
    /// ```
    /// let mut health = mangogw_jobs::Health::default();
    /// health.done(3.0);
    /// assert!(health.pace() > 2.0, "the first run says most");
    /// ```
    pub fn done(&mut self, ratio: f64) {
        let ratio = ratio.clamp(*PACES.start(), *PACES.end());
        let weight = if self.runs == 0 { 0.6 } else { FRESH };
        self.pace += weight * (ratio - self.pace);
        self.runs = self.runs.saturating_add(1);
        self.served();
    }

    /// A run did its work, however long it took.
    pub const fn served(&mut self) {
        *self = Self { strikes: 0, rest: REST, out: None, trying: false, ..*self };
    }

    /// A run failed, stood still, or was refused.
    pub fn strike(&mut self, now: Time) {
        self.strikes += 1;
        if self.strikes >= STRIKES || self.trying {
            self.out = Some(now + self.rest);
            self.rest = (2 * self.rest).min(MAX_REST);
            self.trying = false;
        }
    }

    /// A run stood still: the target is taken out at once.
    pub fn stall(&mut self, now: Time) {
        self.strikes = STRIKES;
        self.strike(now);
    }

    /// True if it may be given a run, beside `busy` others.
    ///
    /// ```
    /// use mangogw_model::Time;
    /// let mut health = mangogw_jobs::Health::default();
    /// health.strike(Time::ZERO);
    /// assert!(health.may_run(Time::ZERO, 3));
    /// health.strike(Time::ZERO);
    /// assert!(!health.may_run(Time::ZERO, 0));
    /// assert!(health.may_run(Time::from_millis(1600), 0), "one run to try");
    /// assert!(!health.may_run(Time::from_millis(1600), 1));
    /// ```
    pub fn may_run(&self, now: Time, busy: usize) -> bool {
        match self.out {
            None => true,
            Some(until) => now >= until && busy == 0,
        }
    }

    /// True if it is on trial or out.
    pub const fn is_out(&self) -> bool {
        self.out.is_some()
    }

    /// It was given a run.
    pub const fn try_run(&mut self) {
        self.trying = self.out.is_some();
    }
}
