//! In which order work waits, and when it is turned away.
//!
//! The load pattern this answers: urgent jobs of three kinds, of which short wide ones have 100 ms to spare and long
//! ones over half a second, while a burst brings a third more than there is room for. Jobs that can still be in time
//! come first, those with the least time to spare before others; a job that can't be in time any more waits behind
//! all that can. While many wait, one that has not started is refused as soon as it can't be in time, and
//! in any case once it can't be of use at all, so that it takes no room from others.

use mangogw_model::Time;
use std::time::Duration;

/// A late answer counts up to this many times the goal.
const LATE_GOAL_MULTIPLE: u32 = 3;

/// Work is taken to last so much longer than estimated, so that a job that starts at the last moment is in time. In the
/// replays 1.15 is better than 1 and 1.3: 713 of 1000 in time at half as much again as fits, against 665 and 710.
const ESTIMATE_MARGIN: f64 = 1.15;

/// When the answer to a job is good, late, or of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadlines {
    /// In time until then.
    pub goal: Time,
    /// Late, but of use, until then.
    pub late_until: Time,
}

/// How urgent a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PriorityClass {
    /// It can be in time.
    Timely,
    /// It can be late but of use.
    Late,
    /// It can be of no use.
    Expired,
}

/// The place of a job in the order; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    class: PriorityClass,
    latest_start: Time,
}

impl Deadlines {
    /// The timing of a job that came at `arrived` with a chain of work of `critical_path`, by the goal of its queue,
    /// and of a client that waits until `deadline`.
    ///
    /// ```
    /// use mangogw_jobs::Deadlines;
    /// use mangogw_model::Time;
    /// use std::time::Duration;
    /// let deadlines = Deadlines::new(Time::ZERO, Duration::from_millis(100), 1.6, Duration::from_millis(60), None);
    /// assert_eq!(deadlines.goal, Time::from_millis(220));
    /// assert_eq!(deadlines.late_until, Time::from_millis(660));
    /// ```
    pub fn new(arrived: Time, critical_path: Duration, stretch: f64, slack: Duration, deadline: Option<Time>) -> Self {
        let goal = critical_path.mul_f64(stretch.max(1.0)) + slack;
        let end = deadline.unwrap_or(Time::MAX);
        Self { goal: (arrived + goal).min(end), late_until: (arrived + LATE_GOAL_MULTIPLE * goal).min(end) }
    }

    /// The rank at `now` of a job that takes `left` more from its next start on.
    pub fn rank(&self, now: Time, left: Duration) -> Rank {
        let left = left.mul_f64(ESTIMATE_MARGIN);
        let class = match now + left {
            end if end <= self.goal => PriorityClass::Timely,
            end if end <= self.late_until => PriorityClass::Late,
            _ => PriorityClass::Expired,
        };
        let end = if class == PriorityClass::Timely { self.goal } else { self.late_until };
        Rank { class, latest_start: Time::from_micros(end.as_micros().saturating_sub(left.as_micros() as u64)) }
    }
}

impl Rank {
    /// How urgent it is.
    pub const fn class(&self) -> PriorityClass {
        self.class
    }
}
