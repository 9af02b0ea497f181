//! Load of a host for one entry, and the expected wait of a task there.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Combined load of the targets of one host that serve an entry.
///
/// ```
/// use mangogw_cluster::route::Load;
/// use std::time::Duration;
///
/// let busy = Load { slots: 4, free: 0, queued: 3, run_us: 100_000, next_us: 80_000 };
/// assert_eq!(busy.expected_wait(0), Duration::from_millis(100));
/// assert_eq!(Load { free: 1, queued: 0, ..busy }.expected_wait(0), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of tasks that the targets can run at once.
    pub slots: u32,
    /// Number of free slots.
    pub free: u32,
    /// Number of tasks that wait for a slot.
    pub queued: u32,
    /// Mean run time of a task, in microseconds; 0 if not known.
    pub run_us: u32,
    /// Expected run time on the target that gets the next task, in microseconds; 0 if not known.
    pub next_us: u32,
}

impl Load {
    /// Returns the expected wait for a slot after `ahead` other tasks that the load does not count; [`Duration::MAX`]
    /// without slots.
    pub fn expected_wait(&self, ahead: u32) -> Duration {
        let waiting = (u64::from(self.queued) + u64::from(ahead) + 1).saturating_sub(u64::from(self.free));
        match self.slots {
            0 => Duration::MAX,
            slots => Duration::from_micros(waiting * u64::from(self.run()) / u64::from(slots)),
        }
    }

    /// Returns the expected time to the end of a task after `ahead` other tasks that the load does not count.
    pub fn expected_finish(&self, ahead: u32) -> Duration {
        self.expected_wait(ahead).saturating_add(self.next_run())
    }

    /// Returns the expected run time of the next task.
    pub(super) const fn next_run(&self) -> Duration {
        let next = if self.next_us == 0 { self.run() } else { self.next_us };
        Duration::from_micros(next as u64)
    }

    /// Returns how many tasks can be added after `ahead` others before the wait reaches `limit`.
    pub(super) fn spare_tasks(&self, ahead: u32, limit: Duration) -> u64 {
        let run = u64::from(self.run().max(1));
        let within = limit.as_micros() as u64 * u64::from(self.slots) / run;
        (within + u64::from(self.free)).saturating_sub(u64::from(self.queued) + u64::from(ahead))
    }

    /// Returns the mean run time in microseconds, or the default if it is not known.
    const fn run(&self) -> u32 {
        if self.run_us == 0 { DEFAULT_RUN_US } else { self.run_us }
    }
}

/// Run time assumed for a task without known run times, in microseconds.
const DEFAULT_RUN_US: u32 = 200_000;
