//! Which targets are trusted: ejection after failures, and the way back by one probe at a time.

use mangogw_model::Time;
use std::time::Duration;

/// Tasks a target may fail or leave unanswered in a row before it is ejected.
pub(crate) const STRIKES: u32 = 5;
/// The share of failures among the last answers above which a target is ejected.
const FAILING: f32 = 0.6;
/// How many answers that share looks back on, about.
const MEMORY: f32 = 16.0;
/// The wait before the first probe.
const FIRST_WAIT: Duration = Duration::from_secs(1);
/// The longest wait between probes.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// A target that stays well for so long starts again from the first wait.
const CALM: Duration = Duration::from_mins(1);

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
    pub(crate) strikes: u32,
    /// True once it has answered in this life.
    pub(crate) proven: bool,
    /// Set while it is out.
    pub(crate) out: Option<Out>,
    /// The last time it answered anything, a failure included.
    pub(crate) heard: Time,
    /// Until when its tasks are tried elsewhere once they are late.
    pub(crate) slow_until: Time,
    /// The serial of the last attempt that failed.
    failed: u64,
    /// Times it was ejected without a calm stretch between.
    bouts: u32,
    back: Time,
    failing: f32,
    seen: f32,
}

/// The state of a target that is out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Out {
    pub(crate) why: EjectionReason,
    pub(crate) since: Time,
    /// When the next probe may leave.
    pub(crate) until: Time,
    /// The serial of the probe that is under way.
    pub(crate) probe: Option<u64>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            strikes: 0,
            proven: false,
            out: None,
            heard: Time::ZERO,
            slow_until: Time::ZERO,
            failed: 0,
            bouts: 0,
            back: Time::ZERO,
            failing: 0.0,
            seen: 0.0,
        }
    }
}

impl Health {
    /// True if it may be given a task beside `held` others.
    pub(crate) fn admits(&self, now: Time, held: u32) -> bool {
        match self.out {
            Some(out) => out.probe.is_none() && out.until <= now,
            None if self.proven && self.strikes == 0 => true,
            None => self.strikes + held < STRIKES,
        }
    }

    /// True if it has slowed down of late.
    pub(crate) fn slow(&self, now: Time) -> bool {
        self.slow_until > now
    }

    /// True while only probes are sent.
    pub(crate) const fn probing(&self) -> bool {
        self.out.is_some()
    }

    /// Takes a whole answer of attempt `serial`. True if that lets it back.
    pub(crate) fn answered(&mut self, now: Time, serial: u64) -> bool {
        self.heard = now;
        // An answer to a task from before the last failed one says nothing of the target as it is now.
        if serial > self.failed {
            self.proven = true;
            self.strikes = 0;
        }
        self.seen = (self.seen + 1.0).min(MEMORY);
        self.failing *= 1.0 - 1.0 / MEMORY;
        match self.out {
            // Answers of attempts from before it was ejected prove nothing, unless it was only silent.
            Some(out) if out.probe == Some(serial) || out.why != EjectionReason::Failing => {
                self.out = None;
                self.proven = false;
                self.failing = 0.0;
                self.seen = 0.0;
                self.back = now;
                true
            }
            _ => false,
        }
    }

    /// Takes a failure of attempt `serial`. True if it should be ejected.
    pub(crate) fn failed(&mut self, now: Time, serial: u64, draw: f64) -> bool {
        self.strikes += 1;
        self.failed = self.failed.max(serial);
        self.seen = (self.seen + 1.0).min(MEMORY);
        self.failing += (1.0 - self.failing) / MEMORY.min(self.seen.max(1.0) + 4.0);
        match self.out {
            Some(out) if out.probe == Some(serial) => {
                self.bouts += 1;
                self.out = Some(Out { probe: None, until: now + self.wait(draw), ..out });
                false
            }
            Some(_) => false,
            None => self.strikes >= STRIKES || self.seen >= MEMORY && self.failing > FAILING,
        }
    }

    /// Takes the end of an attempt that says nothing of the target.
    pub(crate) fn neither(&mut self, now: Time, serial: u64) {
        self.heard = now;
        if let Some(out) = self.out.as_mut().filter(|out| out.probe == Some(serial)) {
            out.probe = None;
            out.until = now;
        }
    }

    /// True if there is any sign against it.
    pub(crate) fn suspect(&self) -> bool {
        self.out.is_none() && (self.strikes > 0 || !self.proven)
    }

    /// Puts it out.
    pub(crate) fn eject(&mut self, now: Time, why: EjectionReason, draw: f64) {
        if now - self.back > CALM {
            self.bouts = 0;
        }
        self.bouts += 1;
        self.out = Some(Out { why, since: now, until: now + self.wait(draw), probe: None });
    }

    /// Lets it off with a short pause, where too many are out already.
    pub(crate) fn spare(&mut self, now: Time) {
        self.strikes = STRIKES - 1;
        self.heard = now;
    }

    /// Exponential, with up to a quarter of jitter so that targets ejected together are not probed together.
    fn wait(&self, draw: f64) -> Duration {
        let doubled = FIRST_WAIT.saturating_mul(1 << self.bouts.saturating_sub(1).min(5));
        doubled.min(LONGEST_WAIT).mul_f64(1.0 + draw / 4.0)
    }
}
