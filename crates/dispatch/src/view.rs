//! What operators, metrics and the routing between hosts see of a core.

use crate::{Dispatch, EjectionReason, EntryKey, TargetKey};
use mangogw_model::{Time, Usage};
use std::time::Duration;

/// The state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It takes work.
    Open,
    /// It takes few tasks until it has answered one.
    Unproven,
    /// It is out, but for one probe at a time.
    Ejected(EjectionReason),
    /// It said that it leaves.
    Leaving,
    /// Its lease has ended.
    Lapsed,
}

impl TargetState {
    /// The word in views and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Unproven => "unproven",
            Self::Ejected(_) => "ejected",
            Self::Leaving => "leaving",
            Self::Lapsed => "lapsed",
        }
    }
}

/// One target as operators see it.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Its key.
    pub key: TargetKey,
    /// Its state.
    pub state: TargetState,
    /// Since when: of an ejected target the ejection, else its first announcement in this life.
    pub state_since: Time,
    /// Tasks it holds.
    pub running: u32,
    /// Cores they hold.
    pub cores: u32,
    /// Tasks it may hold at once now; fewer than its slots if it has slowed down.
    pub limit: u32,
    /// Attempts that are slowed down or set aside.
    pub preempted: u32,
    /// How many times faster than the average target it is.
    pub speed: f32,
    /// What is left of its lease.
    pub lease: Duration,
    /// Failures since its last answer.
    pub failures: u32,
    /// When the next probe may leave, if it is ejected.
    pub next_probe: Option<Time>,
    /// The last usage report, and the time it speaks of.
    pub usage: Option<(Time, Usage)>,
}

/// One entry as operators and other hosts see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryView {
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Places of its usable targets.
    pub slots: u32,
    /// Free places of its usable targets; other entries may take them.
    pub free_slots: u32,
    /// How long a task that came now would wait.
    pub expected_wait: Duration,
}

/// Messages and work beside one start for each task, since the core was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Waste {
    /// Tries after a failed one, and beside one on a lost target.
    pub retries: u64,
    /// Second attempts beside a late one.
    pub hedges: u64,
    /// Second attempts that were not needed, or made the first one so.
    pub lost_hedges: u64,
    /// Starts that were turned down.
    pub unsent: u64,
    /// Stops.
    pub stops: u64,
    /// Throttles.
    pub throttles: u64,
    /// Checkpoints.
    pub checkpoints: u64,
    /// Resumes.
    pub resumes: u64,
    /// Tasks that were sent as probes; they count among the starts of their tasks too.
    pub probes: u64,
    /// Answers that came after their task had ended.
    pub late: u64,
    /// Reports on attempts of another host or life.
    pub crossed: u64,
    /// Tasks whose deadline passed.
    pub expired: u64,
    /// Targets taken out.
    pub ejections: u64,
}

impl Waste {
    /// Messages that a faultless run does without.
    ///
    /// ```
    /// use mangogw_dispatch::Waste;
    /// assert_eq!(Waste { retries: 2, stops: 1, ..Waste::default() }.messages(), 3);
    /// ```
    pub const fn messages(&self) -> u64 {
        self.retries
            + self.hedges
            + self.unsent
            + self.stops
            + self.throttles
            + self.checkpoints
            + self.resumes
            + self.late
            + self.crossed
    }
}

impl Dispatch {
    /// Every target as operators see it.
    pub fn target_views(&self, now: Time) -> impl Iterator<Item = TargetView> {
        self.targets.names.values().map(move |&key| self.view(now, key))
    }

    /// One target as operators see it.
    pub fn target_view(&self, now: Time, key: TargetKey) -> Option<TargetView> {
        self.targets.get(key).map(|_| self.view(now, key))
    }

    /// One entry as operators and other hosts see it.
    pub fn entry_view(&mut self, now: Time, key: EntryKey) -> Option<EntryView> {
        let size = self.entries.get(key)?.sizes.predict(0);
        if self.pools_stale {
            self.rebuild_pools();
        }
        let expected_wait = self.forecast(now, key, size).wait;
        let row = &self.entries[key];
        let open = self.targets.rows.values().filter(|target| target.usable(now) && row.speeds.serves(target.id));
        let free_slots = open.map(|target| target.limit.saturating_sub(target.allocated.tasks)).sum();
        let expected_wait =
            if row.supply.slots == 0 { Duration::MAX } else { Duration::from_micros(expected_wait as u64) };
        Some(EntryView {
            waiting: row.waiting,
            running: row.allocated.tasks,
            slots: row.supply.slots,
            free_slots,
            expected_wait,
        })
    }

    /// What was sent beside one start for each task.
    pub const fn waste(&self) -> Waste {
        self.waste
    }

    /// Tasks that wait or run.
    pub fn live_tasks(&self) -> usize {
        self.tasks.len()
    }

    fn view(&self, now: Time, key: TargetKey) -> TargetView {
        let row = &self.targets.rows[key];
        let out = row.health.ejection;
        TargetView {
            key,
            state: match out {
                _ if row.leaving => TargetState::Leaving,
                _ if row.lease <= now => TargetState::Lapsed,
                Some(out) => TargetState::Ejected(out.reason),
                None if row.health.proven => TargetState::Open,
                None => TargetState::Unproven,
            },
            state_since: out.map_or(row.announced_at, |out| out.ejected_at),
            running: row.allocated.tasks,
            cores: row.allocated.cores,
            limit: row.limit,
            preempted: row.preempted.len() as u32,
            speed: row.speed.value.exp2(),
            lease: row.lease - now,
            failures: row.health.failures,
            next_probe: out.map(|out| out.next_probe),
            usage: row.usage.clone(),
        }
    }
}
