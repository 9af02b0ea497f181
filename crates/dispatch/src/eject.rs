//! Health of targets: ejection after failures, and readmission through one probe at a time.

use mangogw_model::Time;
use std::time::Duration;

/// Number of consecutive failed or unanswered tasks after which a target is ejected.
pub(crate) const FAILURES_BEFORE_EJECTION: u32 = 5;
/// Fraction of failures among the recent answers above which a target is ejected.
const MAX_FAILURE_RATE: f32 = 0.6;
/// Approximate number of recent answers that the failure rate covers.
const RATE_WINDOW_ANSWERS: f32 = 16.0;
/// Time from the first ejection to the first probe.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Upper bound of the ejection time, without jitter.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Time that a readmitted target must stay healthy for the back-off to start again from the shortest time.
const BACKOFF_RESET_TIME: Duration = Duration::from_mins(1);

/// Reason for the ejection of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// The target failed several tasks in a row, or too large a fraction of them.
    Failing,
    /// The target no longer answers, although its heartbeats arrive.
    Silent,
    /// At least half of the targets of its rack are ejected.
    Rack,
}

impl EjectionReason {
    /// Returns the name used in views and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Silent => "silent",
            Self::Rack => "rack",
        }
    }
}

/// Health of a target, as seen in the results of its attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Health {
    /// Number of failures since the last answer.
    pub(crate) failures: u32,
    /// True once the target has answered since its start or its last readmission.
    pub(crate) proven: bool,
    /// Set while the target is ejected.
    pub(crate) ejection: Option<Ejection>,
    /// Time of the last response, including failures.
    pub(crate) last_response: Time,
    /// Time until which late tasks of the target are also tried elsewhere.
    pub(crate) slow_until: Time,
    /// Serial number of the latest attempt that failed.
    last_failed: u64,
    /// Number of ejections and failed probes without a healthy period of [`BACKOFF_RESET_TIME`] between them.
    ejections: u32,
    readmitted_at: Time,
    failure_rate: f32,
    samples: f32,
}

/// State of an ejected target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Ejection {
    pub(crate) reason: EjectionReason,
    pub(crate) ejected_at: Time,
    /// Time from which the next probe may be sent.
    pub(crate) next_probe: Time,
    /// Serial number of the probe that is running.
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
            last_failed: 0,
            ejections: 0,
            readmitted_at: Time::ZERO,
            failure_rate: 0.0,
            samples: 0.0,
        }
    }
}

impl Health {
    /// True if the target may be given a task beside the `held` ones.
    pub(crate) fn admits(&self, now: Time, held: u32) -> bool {
        match self.ejection {
            Some(ejection) => ejection.probe_serial.is_none() && ejection.next_probe <= now,
            None if self.proven && self.failures == 0 => true,
            None => self.failures + held < FAILURES_BEFORE_EJECTION,
        }
    }

    pub(crate) fn is_slow(&self, now: Time) -> bool {
        self.slow_until > now
    }

    pub(crate) const fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Records the answer of attempt `serial`. Returns true if it ends the ejection.
    pub(crate) fn record_answer(&mut self, now: Time, serial: u64) -> bool {
        self.last_response = now;
        // The answer of an attempt older than the last failed one does not show the current state of the target.
        if serial > self.last_failed {
            self.proven = true;
            self.failures = 0;
        }
        self.samples = (self.samples + 1.0).min(RATE_WINDOW_ANSWERS);
        self.failure_rate *= 1.0 - 1.0 / RATE_WINDOW_ANSWERS;
        match self.ejection {
            // After an ejection for failures only the probe counts: answers of older attempts prove nothing.
            Some(ejection) if ejection.probe_serial == Some(serial) || ejection.reason != EjectionReason::Failing => {
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

    /// Records a failure of attempt `serial`. Returns true if the target should be ejected.
    pub(crate) fn record_failure(&mut self, now: Time, serial: u64, draw: f64) -> bool {
        self.failures += 1;
        self.last_failed = self.last_failed.max(serial);
        self.samples = (self.samples + 1.0).min(RATE_WINDOW_ANSWERS);
        self.failure_rate += (1.0 - self.failure_rate) / RATE_WINDOW_ANSWERS.min(self.samples.max(1.0) + 4.0);
        match self.ejection {
            Some(ejection) if ejection.probe_serial == Some(serial) => {
                self.ejections += 1;
                self.ejection =
                    Some(Ejection { probe_serial: None, next_probe: now + self.ejection_time(draw), ..ejection });
                false
            }
            Some(_) => false,
            None => {
                self.failures >= FAILURES_BEFORE_EJECTION
                    || self.samples >= RATE_WINDOW_ANSWERS && self.failure_rate > MAX_FAILURE_RATE
            }
        }
    }

    /// Records the end of an attempt that says nothing about the health of the target.
    pub(crate) fn record_neutral(&mut self, now: Time, serial: u64) {
        self.last_response = now;
        if let Some(ejection) = self.ejection.as_mut().filter(|ejection| ejection.probe_serial == Some(serial)) {
            ejection.probe_serial = None;
            ejection.next_probe = now;
        }
    }

    /// True if the target is in use, but has failed since its last answer or has not answered yet.
    pub(crate) fn is_suspected(&self) -> bool {
        self.ejection.is_none() && (self.failures > 0 || !self.proven)
    }

    /// Ejects the target; `draw` (0 to 1) sets the jitter.
    pub(crate) fn eject(&mut self, now: Time, reason: EjectionReason, draw: f64) {
        if now - self.readmitted_at > BACKOFF_RESET_TIME {
            self.ejections = 0;
        }
        self.ejections += 1;
        self.ejection =
            Some(Ejection { reason, ejected_at: now, next_probe: now + self.ejection_time(draw), probe_serial: None });
    }

    /// Keeps the target in use, since too many are ejected already; its next failure asks for the ejection again.
    pub(crate) fn defer_ejection(&mut self, now: Time) {
        self.failures = FAILURES_BEFORE_EJECTION - 1;
        self.last_response = now;
    }

    /// Returns the exponential back-off, with up to a quarter of jitter so that targets ejected together are not probed
    /// together.
    fn ejection_time(&self, draw: f64) -> Duration {
        let doubled = BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.saturating_sub(1).min(5));
        doubled.min(MAX_EJECTION_TIME).mul_f64(1.0 + draw / 4.0)
    }
}
