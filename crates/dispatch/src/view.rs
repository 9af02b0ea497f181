//! Views of the core's state for operators, metrics and the routing between hosts.

use crate::{Dispatch, EjectionReason, EntryKey, TargetKey};
use mangogw_model::{Time, Usage};
use std::time::Duration;

/// State of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts tasks.
    Open,
    /// The target is given only few tasks until its first answer.
    Unproven,
    /// The target is ejected and is given one probe at a time.
    Ejected(EjectionReason),
    /// The target has announced that it leaves.
    Leaving,
    /// The lease of the target has ended.
    Lapsed,
}

impl TargetState {
    /// Returns the name used in views and metrics.
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

/// State of one target for operators.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Key of the target.
    pub key: TargetKey,
    /// State of the target.
    pub state: TargetState,
    /// Time of the ejection if the target is ejected, else of the first announcement of this incarnation.
    pub state_since: Time,
    /// Number of tasks that hold capacity.
    pub running: u32,
    /// Number of cores that these tasks hold.
    pub cores: u32,
    /// Maximum number of concurrent tasks now; fewer than the slots if the target has slowed down.
    pub limit: u32,
    /// Number of attempts that are throttled or checkpointed.
    pub preempted: u32,
    /// Factor by which the target is faster than the average target.
    pub speed: f32,
    /// Time left until the lease ends; zero once it has ended.
    pub lease: Duration,
    /// Number of failures since the last answer.
    pub failures: u32,
    /// Time from which the next probe may be sent, or `None` if the target is not ejected.
    pub next_probe: Option<Time>,
    /// Last usage report and the time at which it was taken, or `None` if there is none.
    pub usage: Option<(Time, Usage)>,
}

/// State of one entry for operators and other hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryView {
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of slots of its usable targets.
    pub slots: u32,
    /// Number of free slots of its usable targets; other entries may take them.
    pub free_slots: u32,
    /// Expected wait of a task that arrives now, or [`Duration::MAX`] without usable targets.
    pub expected_wait: Duration,
}

/// Counts of wasted messages since the core was created: repeated and rejected starts, other orders to targets, late
/// answers, and reports for another host or incarnation; further, counts of the events behind them.
///
/// [`Waste::messages`] adds up all but `lost_hedges`, `probes`, `expired` and `ejections`, which are no messages beyond
/// one start for each task or are in another count. Reports of a throttled or checkpointed attempt are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Waste {
    /// Retries after a failed attempt, and second attempts for tasks on lost, ejected or slow targets and for urgent
    /// tasks past half of their time.
    pub retries: u64,
    /// Second attempts beside a late one.
    pub hedges: u64,
    /// Second attempts that were not needed, or that made the first attempt useless.
    pub lost_hedges: u64,
    /// Starts that targets rejected or that were not sent.
    pub unsent: u64,
    /// Stop messages to targets, for attempts that had not ended when their task ended.
    pub stops: u64,
    /// Throttle messages to targets, to make room for tasks of a higher class.
    pub throttles: u64,
    /// Checkpoint messages to targets, to make room for tasks of a higher class.
    pub checkpoints: u64,
    /// Resume messages to targets, for throttled or checkpointed attempts.
    pub resumes: u64,
    /// Starts that served as probes of ejected targets; they are also counted as starts of their tasks.
    pub probes: u64,
    /// Answers that arrived after their task had ended.
    pub late: u64,
    /// Reports on attempts of another host or incarnation.
    pub crossed: u64,
    /// Tasks whose deadline passed.
    pub expired: u64,
    /// Ejections of targets, without deferred ones.
    pub ejections: u64,
}

impl Waste {
    /// Returns the number of wasted messages: the sum of all counts but `lost_hedges`, `probes`, `expired` and
    /// `ejections`.
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
    /// Returns the views of all known targets.
    pub fn target_views(&self, now: Time) -> impl Iterator<Item = TargetView> {
        self.targets.names.values().map(move |&key| self.view(now, key))
    }

    /// Returns the view of a target, or `None` if the target is not known.
    pub fn target_view(&self, now: Time, key: TargetKey) -> Option<TargetView> {
        self.targets.get(key).map(|_| self.view(now, key))
    }

    /// Returns the view of an entry, or `None` if the key is not valid.
    pub fn entry_view(&mut self, now: Time, key: EntryKey) -> Option<EntryView> {
        let size = self.entries.get(key)?.sizes.predict(0);
        if self.pools_stale {
            self.rebuild_pools();
        }
        let expected_wait = self.forecast(now, key, size).wait;
        let row = &self.entries[key];
        let usable = self.targets.rows.values().filter(|target| target.is_usable(now) && row.speeds.serves(target.id));
        let free_slots = usable.map(|target| target.limit.saturating_sub(target.allocated.tasks)).sum();
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

    /// Returns the counts of messages and work beyond one start for each task.
    pub const fn waste(&self) -> Waste {
        self.waste
    }

    /// Returns the number of waiting and running tasks.
    pub fn live_tasks(&self) -> usize {
        self.tasks.len()
    }

    fn view(&self, now: Time, key: TargetKey) -> TargetView {
        let row = &self.targets.rows[key];
        let ejection = row.health.ejection;
        TargetView {
            key,
            state: match ejection {
                _ if row.leaving => TargetState::Leaving,
                _ if row.lease <= now => TargetState::Lapsed,
                Some(ejection) => TargetState::Ejected(ejection.reason),
                None if row.health.proven => TargetState::Open,
                None => TargetState::Unproven,
            },
            state_since: ejection.map_or(row.announced_at, |ejection| ejection.ejected_at),
            running: row.allocated.tasks,
            cores: row.allocated.cores,
            limit: row.limit,
            preempted: row.preempted.len() as u32,
            speed: row.speed.value.exp2(),
            lease: row.lease - now,
            failures: row.health.failures,
            next_probe: ejection.map(|ejection| ejection.next_probe),
            usage: row.usage.clone(),
        }
    }
}
