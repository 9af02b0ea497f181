//! The table of entries: settings, what their tasks hold, and what was learned of them.

use crate::bits::BitSet;
use crate::limits::{Budget, LimitShare, TokenBucket};
use crate::speed::{SPEED_STEPS, SizeModel, SpeedIndex};
use crate::targets::{Allocation, TargetRow};
use mangogw_model::{Capacity, Entry, EntryName, Needs, Time};

/// One entry.
#[derive(Debug)]
pub(crate) struct EntryRow {
    pub(crate) name: EntryName,
    pub(crate) entry: Entry,
    /// False once it is gone from the catalogue.
    pub(crate) live: bool,
    pub(crate) owner: usize,
    /// The group of entries that share targets with it.
    pub(crate) pool: usize,
    pub(crate) share: LimitShare,
    pub(crate) tokens: TokenBucket,
    pub(crate) retries: Budget,
    pub(crate) hedges: Budget,
    pub(crate) allocated: Allocation,
    pub(crate) waiting: u32,
    /// Tasks waiting or running.
    pub(crate) tasks: u32,
    pub(crate) sizes: SizeModel,
    pub(crate) speeds: SpeedIndex,
    /// The targets that failed its tasks since it was last answered.
    pub(crate) failed: FailedTargets,
    /// What the targets in use can do.
    pub(crate) supply: Supply,
    /// The largest targets ever announced for it; none of them holds another.
    pub(crate) largest: Vec<Capacity>,
    /// What its tasks ask for on average: cores, memory in megabytes, accelerators.
    demand: [f32; 3],
}

/// The weight of the last task in what an entry asks for on average.
const DEMAND_SAMPLE_WEIGHT: f32 = 1.0 / 64.0;

/// The targets that failed the tasks of an entry since it was last answered.
#[derive(Debug, Default)]
pub(crate) struct FailedTargets {
    targets: BitSet,
    count: u32,
}

impl FailedTargets {
    /// Takes an answer or a failure of target `id`.
    pub(crate) fn push(&mut self, id: u32, bad: bool) {
        match bad {
            true if !self.targets.contains(id) => {
                self.targets.set(id, true);
                self.count += 1;
            }
            false if self.count > 0 => *self = Self::default(),
            _ => {}
        }
    }

    /// True if more than half of `many` targets failed it: then it is the tasks that are bad.
    pub(crate) const fn is_entry_fault(&self, many: u32) -> bool {
        self.count * 2 > many
    }
}

/// What the usable targets of an entry can do together.
#[derive(Debug, Clone)]
pub(crate) struct Supply {
    /// When it was last summed up.
    pub(crate) at: Time,
    pub(crate) stale: bool,
    /// Work a second of targets at least as fast as each step, in seconds of speed 1.
    pub(crate) cumulative: [f32; SPEED_STEPS],
    pub(crate) slots: u32,
    /// The speed of the fastest.
    pub(crate) fastest: f32,
}

impl Default for Supply {
    fn default() -> Self {
        Self { at: Time::ZERO, stale: true, cumulative: [0.0; SPEED_STEPS], slots: 0, fastest: 0.0 }
    }
}

impl Supply {
    /// Work a second of all targets.
    pub(crate) fn total(&self) -> f32 {
        self.cumulative[SPEED_STEPS - 1]
    }

    /// The speed of the fastest target.
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
            failed: FailedTargets::default(),
            supply: Supply::default(),
            largest: Vec::new(),
            demand: [0.0; 3],
        }
    }

    /// Takes what a task asks for into account.
    pub(crate) fn demand(&mut self, needs: &Needs) {
        let asked = [needs.cores as f32, needs.memory_mb as f32, needs.accelerators as f32];
        for (mean, asked) in self.demand.iter_mut().zip(asked) {
            *mean += (asked - *mean) * DEMAND_SAMPLE_WEIGHT;
        }
    }

    /// How many average tasks a target holds at once.
    pub(crate) fn places(&self, row: &TargetRow) -> f32 {
        let all = &row.announcement.capacity;
        let have = [all.cores as f32, all.memory_mb as f32, all.accelerators as f32];
        let bounds = have.iter().zip(&self.demand).filter(|(_, asked)| **asked > 0.0).map(|(have, asked)| have / asked);
        bounds.fold(row.limit as f32, f32::min)
    }

    /// Remembers the size of a target.
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

    /// True if some target ever announced could hold it.
    pub(crate) fn ever_fits(&self, needs: &Needs) -> bool {
        self.largest.iter().any(|capacity| capacity.holds(needs))
    }
}
