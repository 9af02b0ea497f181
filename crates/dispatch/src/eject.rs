//! Which targets are trusted: ejection after failures, and the way back by one probe at a time.

use mangogw_model::Time;
use std::time::Duration;

/// Tasks a target may fail or leave unanswered in a row before it is ejected.
pub(crate) const FAILURES_BEFORE_EJECTION: u32 = 5;
/// The share of failures among the last answers above which a target is ejected.
const MAX_FAILURE_RATE: f32 = 0.6;
/// How many answers that share looks back on, about.
const RATE_WINDOW_ANSWERS: f32 = 16.0;
/// The wait before the first probe.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// The longest wait between probes.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// A target that stays well for so long starts again from the first wait.
const BACKOFF_RESET_TIME: Duration = Duration::from_mins(1);

/// Why a target is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// It failed task after task.
    Failing,
    /// It no longer answers, though its heartbeats come.
    Silent,
    /// Most of its rack is out.
    Rack,
}

impl EjectionReason {
    /// The word in views and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Silent => "silent",
            Self::Rack => "rack",
        }
    }
}

/// How far a target is trusted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Health {
    /// Failures since the last answer.
    pub(crate) failures: u32,
    /// True once it has answered in this life.
    pub(crate) proven: bool,
    /// Set while it is out.
    pub(crate) ejection: Option<Ejection>,
    /// The last time it answered anything, a failure included.
    pub(crate) last_response: Time,
    /// Until when its tasks are tried elsewhere once they are late.
    pub(crate) slow_until: Time,
    /// The serial of the last attempt that failed.
    failed: u64,
    /// Times it was ejected without a calm stretch between.
    ejections: u32,
    readmitted_at: Time,
    failure_rate: f32,
    samples: f32,
}

/// The state of a target that is out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Ejection {
    pub(crate) reason: EjectionReason,
    pub(crate) ejected_at: Time,
    /// When the next probe may leave.
    pub(crate) next_probe: Time,
    /// The serial of the probe that is under way.
    pub(crate) probe_serial: Option<u64>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            proven: false,
            ejection: None,
            last_response: Time::ZERO,
            slow_until: Time::ZERO,
            failed: 0,
            ejections: 0,
            readmitted_at: Time::ZERO,
            failure_rate: 0.0,
            samples: 0.0,
        }
    }
}

impl Health {
    /// True if it may be given a task beside `held` others.
    pub(crate) fn admits(&self, now: Time, held: u32) -> bool {
        match self.ejection {
            Some(out) => out.probe_serial.is_none() && out.next_probe <= now,
            None if self.proven && self.failures == 0 => true,
            None => self.failures + held < FAILURES_BEFORE_EJECTION,
        }
    }

    /// True if it has slowed down of late.
    pub(crate) fn is_slow(&self, now: Time) -> bool {
        self.slow_until > now
    }

    /// True while only probes are sent.
    pub(crate) const fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Takes a whole answer of attempt `serial`. True if that lets it back.
    pub(crate) fn record_answer(&mut self, now: Time, serial: u64) -> bool {
        self.last_response = now;
        // An answer to a task from before the last failed one says nothing of the target as it is now.
        if serial > self.failed {
            self.proven = true;
            self.failures = 0;
        }
        self.samples = (self.samples + 1.0).min(RATE_WINDOW_ANSWERS);
        self.failure_rate *= 1.0 - 1.0 / RATE_WINDOW_ANSWERS;
        match self.ejection {
            // Answers of attempts from before it was ejected prove nothing, unless it was only silent.
            Some(out) if out.probe_serial == Some(serial) || out.reason != EjectionReason::Failing => {
                self.ejection = None;
                self.proven = false;
                self.failure_rate = 0.0;
                self.samples = 0.0;
                self.readmitted_at = now;
                true
            }
            _ => false,
        }
    }

    /// Takes a failure of attempt `serial`. True if it should be ejected.
    pub(crate) fn record_failure(&mut self, now: Time, serial: u64, draw: f64) -> bool {
        self.failures += 1;
        self.failed = self.failed.max(serial);
        self.samples = (self.samples + 1.0).min(RATE_WINDOW_ANSWERS);
        self.failure_rate += (1.0 - self.failure_rate) / RATE_WINDOW_ANSWERS.min(self.samples.max(1.0) + 4.0);
        match self.ejection {
            Some(out) if out.probe_serial == Some(serial) => {
                self.ejections += 1;
                self.ejection =
                    Some(Ejection { probe_serial: None, next_probe: now + self.ejection_time(draw), ..out });
                false
            }
            Some(_) => false,
            None => {
                self.failures >= FAILURES_BEFORE_EJECTION
                    || self.samples >= RATE_WINDOW_ANSWERS && self.failure_rate > MAX_FAILURE_RATE
            }
        }
    }

    /// Takes the end of an attempt that says nothing of the target.
    pub(crate) fn record_neutral(&mut self, now: Time, serial: u64) {
        self.last_response = now;
        if let Some(out) = self.ejection.as_mut().filter(|out| out.probe_serial == Some(serial)) {
            out.probe_serial = None;
            out.next_probe = now;
        }
    }

    /// True if there is any sign against it.
    pub(crate) fn is_suspected(&self) -> bool {
        self.ejection.is_none() && (self.failures > 0 || !self.proven)
    }

    /// Puts it out.
    pub(crate) fn eject(&mut self, now: Time, reason: EjectionReason, draw: f64) {
        if now - self.readmitted_at > BACKOFF_RESET_TIME {
            self.ejections = 0;
        }
        self.ejections += 1;
        self.ejection =
            Some(Ejection { reason, ejected_at: now, next_probe: now + self.ejection_time(draw), probe_serial: None });
    }

    /// Lets it off with a short pause, where too many are out already.
    pub(crate) fn defer_ejection(&mut self, now: Time) {
        self.failures = FAILURES_BEFORE_EJECTION - 1;
        self.last_response = now;
    }

    /// Exponential, with up to a quarter of jitter so that targets ejected together are not probed together.
    fn ejection_time(&self, draw: f64) -> Duration {
        let doubled = BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.saturating_sub(1).min(5));
        doubled.min(MAX_EJECTION_TIME).mul_f64(1.0 + draw / 4.0)
    }
}
