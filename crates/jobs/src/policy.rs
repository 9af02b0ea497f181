//! Order in which jobs wait, and the deadlines by which they are refused.
//!
//! The policy is meant for urgent jobs of three kinds, of which short wide ones have 100 ms to spare and long ones over
//! half a second, and for bursts that exceed the capacity by a third. Jobs that can still be in time come first, those
//! with the least time to spare before others; jobs that can't be in time any more wait behind them. While many jobs
//! wait, one that has not started is refused as soon as it can't be in time, and in any case once it can be of no use,
//! so that it takes no resources from others.

use mangogw_model::Time;
use std::time::Duration;

/// Multiple of the response-time goal up to which a late answer is of use.
const LATE_GOAL_MULTIPLE: u32 = 3;

/// Factor on the estimate of the remaining work, so that a job that starts at the last moment is in time. At 1.5 times
/// the capacity 713 of 1000 jobs are in time with 1.15, 665 with 1, and 710 with 1.3.
pub(crate) const ESTIMATE_MARGIN: f64 = 1.15;

/// Instants until which the answer to a job is in time, and until which it is of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadlines {
    /// Instant until which an answer is in time.
    pub goal: Time,
    /// Instant until which an answer is late but of use.
    pub late_until: Time,
}

/// Class of a job by what it can still reach; earlier classes go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PriorityClass {
    /// The job can be in time.
    Timely,
    /// The job can be late but of use.
    Late,
    /// The job can be of no use.
    Expired,
}

/// Rank of a job among those that wait; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    class: PriorityClass,
    latest_start: Time,
}

impl Deadlines {
    /// Returns the deadlines of a job that arrived at `arrived`. The goal of its queue is `stretch` times the critical
    /// path plus `slack`; the client waits until `deadline`.
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
        let path = critical_path.as_secs_f64() * stretch.max(1.0);
        let goal = Duration::try_from_secs_f64(path).unwrap_or(Duration::MAX).saturating_add(slack);
        let late = goal.saturating_mul(LATE_GOAL_MULTIPLE);
        Self { goal: arrived + goal, late_until: arrived + late }.until(deadline.unwrap_or(Time::MAX))
    }

    /// Returns the deadlines of the same job for a client that waits until `end` at most.
    ///
    /// ```
    /// use mangogw_jobs::Deadlines;
    /// use mangogw_model::Time;
    /// use std::time::Duration;
    /// let deadlines = Deadlines::new(Time::ZERO, Duration::from_millis(100), 1.6, Duration::from_millis(60), None);
    /// assert_eq!(deadlines.until(Time::from_millis(300)).goal, Time::from_millis(220));
    /// assert_eq!(deadlines.until(Time::from_millis(300)).late_until, Time::from_millis(300));
    /// ```
    #[must_use]
    pub fn until(self, end: Time) -> Self {
        Self { goal: self.goal.min(end), late_until: self.late_until.min(end) }
    }

    /// Returns the rank at `now` of a job that needs `left` from its next start to its end.
    pub fn rank(&self, now: Time, left: Duration) -> Rank {
        let left = Duration::try_from_secs_f64(left.as_secs_f64() * ESTIMATE_MARGIN).unwrap_or(Duration::MAX);
        let class = match now + left {
            end if end <= self.goal => PriorityClass::Timely,
            end if end <= self.late_until => PriorityClass::Late,
            _ => PriorityClass::Expired,
        };
        let end = if class == PriorityClass::Timely { self.goal } else { self.late_until };
        Rank { class, latest_start: Time::ZERO + (end - Time::ZERO).saturating_sub(left) }
    }
}

impl Rank {
    /// Returns the last instant at which the job can start and still reach what its class says.
    pub const fn latest_start(&self) -> Time {
        self.latest_start
    }

    /// Returns the class of the job.
    pub const fn class(&self) -> PriorityClass {
        self.class
    }
}
