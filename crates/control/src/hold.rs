//! Decides what becomes of jobs while their leader does not answer: which are held, for how long, in which order they
//! go to the leader that answers next, and when the clients of the others may come back.
//!
//! The load pattern is a stream of short jobs at the moment in which the leader dies, freezes or is cut off. It is known
//! to be lost only half a second later; what is sent to it until then can't be told from what it has started, and ends
//! as unclear although nothing ever ran.

use mangogw_jobs::JobSpec;
use mangogw_model::Time;
use std::time::Duration;

/// Time without a message of the leader after which the next job takes a leader query along.
const PROBE_DELAY: Duration = Duration::from_millis(50);
/// Time without a message of the leader after a leader query from which on the leader is quiet. An answer takes one
/// round trip of 1 to 5 ms and the work of the leader between two of its inputs.
const QUIET_TIMEOUT: Duration = Duration::from_millis(100);
/// Part of its run time that a job can wait and still be in time, and a constant part. The host of a client does not
/// know the goal of the queue.
const USEFUL_WAIT_RATIO: f64 = 0.5;
const MIN_USEFUL_WAIT: Duration = Duration::from_millis(60);
/// Held jobs that a host sends in one tick to a leader that answers again, as a number and as a part of all that it
/// holds: all hosts find the leader at the same moment.
const MIN_RELEASED: usize = 4;
const RELEASED_PART: usize = 4;
/// Shortest and longest time after which a client refused for lack of a leader may retry.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// What a host knows of whether its leader still answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Contact {
    /// Time of the last message of the leader.
    heard: Time,
    /// Time of the first leader query since then; `None` if there was none.
    asked: Option<Time>,
}

impl Contact {
    pub(crate) const fn new(now: Time) -> Self {
        Self { heard: now, asked: None }
    }

    pub(crate) fn on_asked(&mut self, now: Time) {
        self.asked.get_or_insert(now);
    }

    /// Returns true if the leader should be asked together with the next job.
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        self.asked.is_none() && now - self.heard >= PROBE_DELAY
    }

    /// Returns true if the leader owes an answer for so long that what is sent to it now may never arrive.
    pub(crate) fn is_quiet(&self, now: Time) -> bool {
        self.asked.is_some_and(|asked| now - asked >= QUIET_TIMEOUT)
    }

    /// Returns the time since the last message of the leader.
    pub(crate) fn silence(&self, now: Time) -> Duration {
        now - self.heard
    }
}

/// Returns the time for which a job is worth holding before it is sent to a leader.
pub(crate) fn useful_wait(spec: &JobSpec) -> Duration {
    let path = Duration::from_millis(spec.critical_path()).as_secs_f64();
    Duration::try_from_secs_f64(path * USEFUL_WAIT_RATIO).unwrap_or(Duration::MAX).saturating_add(MIN_USEFUL_WAIT)
}

/// A job that was not sent to any leader, or only to hosts that have not executed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HeldJob {
    /// Last instant at which the job can go to a leader and still be in time.
    pub(crate) latest_start: Time,
    pub(crate) serial: u64,
}

/// Returns which of the held jobs go to a leader that answers now: those that can be in time, the one with the least
/// time to spare first, a few at a time.
pub(crate) fn released(now: Time, mut held: Vec<HeldJob>) -> Vec<HeldJob> {
    held.retain(|job| now < job.latest_start);
    held.sort_unstable();
    held.truncate(MIN_RELEASED.max(held.len().div_ceil(RELEASED_PART)));
    held
}

/// Returns the time after which the client of a job that was refused for lack of a leader may retry. The longer there
/// was no leader, the longer it is likely to take; jobs that are refused at the same moment come back spread over as
/// long again. Whole seconds, as the header that carries it.
pub(crate) fn retry_delay(leaderless: Duration, serial: u64) -> Duration {
    let base = Duration::from_secs(leaderless.as_secs()).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    base + Duration::from_secs(serial % (base.as_secs() + 1))
}
