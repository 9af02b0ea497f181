//! Table of targets: allocated capacity, health, and an index of the targets with free cores.

use crate::bits::BitSet;
use crate::eject::Health;
use crate::speed::RobustMean;
use crate::{EntryKey, TargetKey};
use indexmap::IndexMap;
use mangogw_model::{Announcement, Kind, Needs, Rack, TargetName, Time, Usage};
use slotmap::SlotMap;

/// Number of steps of free cores: none needed, 1, 2, 4 ... 1,024.
const CORE_STEPS: usize = 12;

/// Capacity held by tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Allocation {
    pub(crate) tasks: u32,
    pub(crate) cores: u32,
    pub(crate) memory: u64,
    pub(crate) accelerators: u32,
}

impl Allocation {
    pub(crate) fn add(&mut self, needs: &Needs) {
        self.tasks += 1;
        self.cores += needs.cores;
        self.memory += needs.memory_mb;
        self.accelerators += needs.accelerators;
    }

    pub(crate) fn sub(&mut self, needs: &Needs) {
        self.tasks -= 1;
        self.cores -= needs.cores;
        self.memory -= needs.memory_mb;
        self.accelerators -= needs.accelerators;
    }
}

/// State of one target.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) announcement: Announcement,
    /// Dense number of the target, its index in bit sets.
    pub(crate) id: u32,
    /// Index of its rack in [`Targets::racks`].
    pub(crate) rack: u32,
    pub(crate) lease: Time,
    pub(crate) announced_at: Time,
    pub(crate) leaving: bool,
    pub(crate) allocated: Allocation,
    /// Maximum number of concurrent tasks now; at most the announced slots.
    pub(crate) limit: u32,
    pub(crate) health: Health,
    /// Speed over all entries.
    pub(crate) speed: RobustMean,
    /// Speed over the current window of samples.
    pub(crate) recent_speed: RobustMean,
    pub(crate) entries: Vec<EntryKey>,
    /// True if some entry that the target serves may be repeated.
    pub(crate) repeatable: bool,
    /// Number of answers received, wrapping.
    pub(crate) answers: u32,
    /// Number of running batch attempts.
    batch_count: u32,
    /// Serial numbers of the attempts on the target.
    pub(crate) attempts: Vec<u64>,
    /// Serial numbers of the attempts that are throttled or checkpointed.
    pub(crate) preempted: Vec<u64>,
    pub(crate) usage: Option<(Time, Usage)>,
    /// Task that the target is reserved for, because the task did not fit into the free capacity of any target.
    pub(crate) reserved: Option<crate::TaskKey>,
}

impl TargetRow {
    /// True if `needs` fit beside the allocated capacity, with a core left for each free accelerator.
    pub(crate) fn fits(&self, needs: &Needs) -> bool {
        self.fits_beside(&self.allocated, needs) && self.leaves_cores(needs)
    }

    /// True if `needs` fit beside `held`.
    pub(crate) fn fits_beside(&self, held: &Allocation, needs: &Needs) -> bool {
        let capacity = &self.announcement.capacity;
        held.tasks < self.max_tasks()
            && capacity.cores.saturating_sub(held.cores) >= needs.cores
            && capacity.memory_mb.saturating_sub(held.memory) >= needs.memory_mb
            && capacity.accelerators.saturating_sub(held.accelerators) >= needs.accelerators
    }

    /// Returns the maximum number of concurrent tasks, also limited by the connections.
    fn max_tasks(&self) -> u32 {
        if self.announcement.connections == 0 { self.limit } else { self.limit.min(self.announcement.connections) }
    }

    /// True if the supply may include the target: it is not leaving, lapsed or ejected.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        !self.leaving && self.lease > now && !self.health.is_ejected()
    }

    /// True if a task without accelerators leaves a core for each free accelerator.
    fn leaves_cores(&self, needs: &Needs) -> bool {
        let capacity = &self.announcement.capacity;
        let idle = capacity.accelerators.saturating_sub(self.allocated.accelerators);
        needs.accelerators > 0
            || needs.cores == 0
            || idle == 0
            || idle >= capacity.cores
            || capacity.cores.saturating_sub(self.allocated.cores) >= needs.cores + idle
    }

    /// True if the target may be given one more task at `now`.
    pub(crate) fn accepts_task(&self, now: Time) -> bool {
        !self.leaving
            && self.lease > now
            && self.reserved.is_none()
            && self.allocated.tasks < self.max_tasks()
            && self.health.admits(now, self.allocated.tasks)
    }

    fn core_step(&self) -> usize {
        let cores = self.announcement.capacity.cores.saturating_sub(self.allocated.cores);
        match cores {
            0 => 1,
            _ => (2 + cores.ilog2() as usize).min(CORE_STEPS),
        }
    }
}

impl TargetRow {
    /// Creates the row of a target that announced itself at `now`, with number `id` in rack `rack`.
    pub(crate) fn new(announcement: &Announcement, id: u32, rack: u32, now: Time, lease: Time) -> Self {
        Self {
            id,
            rack,
            lease,
            announced_at: now,
            leaving: false,
            allocated: Allocation::default(),
            limit: announcement.capacity.slots,
            health: Health::default(),
            speed: RobustMean::default(),
            recent_speed: RobustMean::default(),
            entries: Vec::new(),
            repeatable: false,
            answers: 0,
            batch_count: 0,
            attempts: Vec::new(),
            preempted: Vec::new(),
            usage: None,
            reserved: None,
            announcement: announcement.clone(),
        }
    }
}

/// All targets, with their indexes.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    pub(crate) rows: SlotMap<TargetKey, TargetRow>,
    pub(crate) names: IndexMap<TargetName, TargetKey>,
    /// Keys by dense number; `None` if the number is free.
    pub(crate) keys: Vec<Option<TargetKey>>,
    pub(crate) racks: IndexMap<Rack, RackRow>,
    free_ids: Vec<u32>,
    /// Workers that run batch attempts.
    pub(crate) batch_workers: BitSet,
    /// Targets that accept a task, by steps of free cores; a target is in the sets of all steps below its own.
    core_sets: [BitSet; CORE_STEPS],
    /// Step of free cores by dense number; 0 if the target accepts no task.
    core_steps: Vec<u8>,
}

/// Number of targets of a rack, and how many of them are ejected.
#[derive(Debug, Default)]
pub(crate) struct RackRow {
    pub(crate) targets: u32,
    pub(crate) ejected: u32,
}

impl Targets {
    pub(crate) fn get(&self, key: TargetKey) -> Option<&TargetRow> {
        self.rows.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetRow> {
        self.rows.get_mut(key)
    }

    /// Returns the target with a dense number.
    pub(crate) fn by_id(&self, id: u32) -> Option<(TargetKey, &TargetRow)> {
        let key = self.keys.get(id as usize).copied().flatten()?;
        Some((key, &self.rows[key]))
    }

    /// Returns a dense number that no target has.
    pub(crate) fn free_id(&mut self) -> u32 {
        self.free_ids.pop().unwrap_or(self.keys.len() as u32)
    }

    /// Adds a target to a rack and returns the index of the rack.
    pub(crate) fn add_to_rack(&mut self, rack: &Rack) -> u32 {
        let entry = self.racks.entry(rack.clone());
        let at = entry.index();
        entry.or_default().targets += 1;
        at as u32
    }

    pub(crate) fn insert(&mut self, row: TargetRow) -> TargetKey {
        let (id, name) = (row.id as usize, row.announcement.name.clone());
        let key = self.rows.insert(row);
        if id >= self.keys.len() {
            self.keys.resize(id + 1, None);
            self.core_steps.resize(id + 1, 0);
        }
        self.keys[id] = Some(key);
        self.names.insert(name, key);
        key
    }

    /// Counts a batch attempt that was started, or one that has ended.
    pub(crate) fn count_batch(&mut self, key: TargetKey, started: bool) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.batch_count = if started { row.batch_count + 1 } else { row.batch_count - 1 };
        self.batch_workers.set(row.id, row.batch_count > 0 && row.announcement.kind == Kind::Worker);
    }

    /// Removes a target and frees its dense number.
    pub(crate) fn remove(&mut self, key: TargetKey) -> Option<TargetRow> {
        let row = self.rows.remove(key)?;
        self.set_core_step(row.id, 0);
        self.batch_workers.set(row.id, false);
        self.keys[row.id as usize] = None;
        self.free_ids.push(row.id);
        self.names.shift_remove(&row.announcement.name);
        self.racks[row.rack as usize].targets -= 1;
        Some(row)
    }

    /// Updates the index of free cores for a target.
    pub(crate) fn refresh(&mut self, now: Time, key: TargetKey) {
        let Some(row) = self.rows.get(key) else { return };
        let (id, step) = (row.id, if row.accepts_task(now) { row.core_step() } else { 0 });
        self.set_core_step(id, step as u8);
    }

    /// Returns the targets that accept a task and have about this number of free cores; the caller must check the exact
    /// capacity.
    pub(crate) fn with_cores(&self, cores: u32) -> &BitSet {
        let at = if cores == 0 { 0 } else { 1 + cores.ilog2() as usize };
        &self.core_sets[at.min(CORE_STEPS - 1)]
    }

    fn set_core_step(&mut self, id: u32, new: u8) {
        let old = std::mem::replace(&mut self.core_steps[id as usize], new);
        let (low, high) = (old.min(new), old.max(new));
        for at in low..high {
            self.core_sets[usize::from(at)].set(id, new > old);
        }
    }
}
