//! Table of entries: settings, capacity held by their tasks, and learned values.

use crate::bits::BitSet;
use crate::limits::{Budget, LimitShare, TokenBucket};
use crate::speed::{SPEED_STEPS, SizeModel, SpeedIndex};
use crate::targets::{Allocation, TargetRow};
use mangogw_model::{Capacity, Entry, EntryName, Needs, Time};

/// State of one entry.
#[derive(Debug)]
pub(crate) struct EntryRow {
    pub(crate) name: EntryName,
    pub(crate) entry: Entry,
    /// False once the catalogue no longer has the entry.
    pub(crate) live: bool,
    pub(crate) owner: usize,
    /// Index of the pool of entries that share targets.
    pub(crate) pool: usize,
    pub(crate) share: LimitShare,
    pub(crate) tokens: TokenBucket,
    pub(crate) retries: Budget,
    pub(crate) hedges: Budget,
    pub(crate) allocated: Allocation,
    pub(crate) waiting: u32,
    /// Number of waiting and running tasks.
    pub(crate) tasks: u32,
    pub(crate) sizes: SizeModel,
    pub(crate) speeds: SpeedIndex,
    /// Targets that failed tasks of this entry since its last answer.
    pub(crate) failed_targets: FailedTargets,
    /// Capacity of the usable targets.
    pub(crate) supply: Supply,
    /// Largest capacities announced so far; none of them contains another.
    pub(crate) largest: Vec<Capacity>,
    /// Mean needs of the tasks: cores, memory in megabytes, accelerators.
    demand: [f32; 3],
}

/// Weight of the newest task in the mean needs of an entry.
const DEMAND_SAMPLE_WEIGHT: f32 = 1.0 / 64.0;

/// Targets that failed tasks of an entry since its last answer.
#[derive(Debug, Default)]
pub(crate) struct FailedTargets {
    targets: BitSet,
    count: u32,
}

impl FailedTargets {
    /// Records an answer, or a failure if `bad`, of target `id`.
    pub(crate) fn push(&mut self, id: u32, failed: bool) {
        match failed {
            true if !self.targets.contains(id) => {
                self.targets.set(id, true);
                self.count += 1;
            }
            false if self.count > 0 => *self = Self::default(),
            _ => {}
        }
    }

    /// True if more than half of `many` targets failed, in which case the tasks are at fault and not the targets.
    pub(crate) const fn is_entry_fault(&self, targets: u32) -> bool {
        self.count * 2 > targets
    }
}

/// Combined capacity of the usable targets of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Supply {
    /// Time of the last computation.
    pub(crate) computed_at: Time,
    pub(crate) stale: bool,
    /// Capacity of the targets at least as fast as each step: microseconds of work at speed 1 per microsecond.
    pub(crate) cumulative: [f32; SPEED_STEPS],
    pub(crate) slots: u32,
    /// Speed of the fastest target.
    pub(crate) fastest: f32,
}

impl Default for Supply {
    fn default() -> Self {
        Self { computed_at: Time::ZERO, stale: true, cumulative: [0.0; SPEED_STEPS], slots: 0, fastest: 0.0 }
    }
}

impl Supply {
    /// Returns the capacity of all targets, in the unit of [`Supply::cumulative`].
    pub(crate) fn total(&self) -> f32 {
        self.cumulative[SPEED_STEPS - 1]
    }

    pub(crate) const fn fastest(&self) -> f32 {
        self.fastest
    }
}

impl EntryRow {
    pub(crate) fn open(name: EntryName, entry: Entry, owner: usize) -> Self {
        Self {
            name,
            entry,
            live: true,
            owner,
            pool: 0,
            share: LimitShare::default(),
            tokens: TokenBucket::default(),
            retries: Budget::default(),
            hedges: Budget::default(),
            allocated: Allocation::default(),
            waiting: 0,
            tasks: 0,
            sizes: SizeModel::default(),
            speeds: SpeedIndex::default(),
            failed_targets: FailedTargets::default(),
            supply: Supply::default(),
            largest: Vec::new(),
            demand: [0.0; 3],
        }
    }

    /// Updates the mean needs with those of a task.
    pub(crate) fn record_demand(&mut self, needs: &Needs) {
        let needed = [needs.cores as f32, needs.memory_mb as f32, needs.accelerators as f32];
        for (mean, needed) in self.demand.iter_mut().zip(needed) {
            *mean += (needed - *mean) * DEMAND_SAMPLE_WEIGHT;
        }
    }

    /// Returns the number of average tasks that a target can run at a time.
    pub(crate) fn task_slots(&self, row: &TargetRow) -> f32 {
        let total = &row.announcement.capacity;
        let capacity = [total.cores as f32, total.memory_mb as f32, total.accelerators as f32];
        let limits = capacity
            .iter()
            .zip(&self.demand)
            .filter(|(_, needed)| **needed > 0.0)
            .map(|(capacity, needed)| capacity / needed);
        limits.fold(row.limit as f32, f32::min)
    }

    /// Records the capacity of a target with slots if no known one contains it.
    pub(crate) fn record_capacity(&mut self, capacity: &Capacity) {
        let within = |small: &Capacity, large: &Capacity| {
            small.cores <= large.cores && small.memory_mb <= large.memory_mb && small.accelerators <= large.accelerators
        };
        if capacity.slots == 0 || self.largest.iter().any(|known| within(capacity, known)) {
            return;
        }
        self.largest.retain(|known| !within(known, capacity));
        self.largest.push(*capacity);
    }

    /// True if some target announced so far could hold `needs`.
    pub(crate) fn ever_fits(&self, needs: &Needs) -> bool {
        self.largest.iter().any(|capacity| capacity.holds(needs))
    }
}
