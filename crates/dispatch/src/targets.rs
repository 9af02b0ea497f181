//! The table of targets: what each holds, how it fares, and which have room.

use crate::bits::BitSet;
use crate::eject::Health;
use crate::speed::RobustMean;
use crate::{EntryKey, TargetKey};
use indexmap::IndexMap;
use mangogw_model::{Announcement, Kind, Needs, Rack, TargetName, Time, Usage};
use slotmap::SlotMap;

/// Steps of free cores: none asked, 1, 2, 4 ... 1,024.
const CORE_STEPS: usize = 12;

/// What tasks hold of a target.
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

/// One target.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) announcement: Announcement,
    /// The dense number that bit sets know it by.
    pub(crate) id: u32,
    /// The position of its rack in the table of racks.
    pub(crate) rack: u32,
    pub(crate) lease: Time,
    pub(crate) announced_at: Time,
    pub(crate) leaving: bool,
    pub(crate) allocated: Allocation,
    /// Tasks it may hold at once now; at most its slots.
    pub(crate) limit: u32,
    pub(crate) health: Health,
    /// Its speed over all entries.
    pub(crate) speed: RobustMean,
    /// Its speed of late.
    pub(crate) recent_speed: RobustMean,
    pub(crate) entries: Vec<EntryKey>,
    /// True if some entry it serves may be tried more than once.
    pub(crate) repeatable: bool,
    /// Answers it has given.
    pub(crate) answers: u32,
    /// Batch attempts it holds.
    batch: u32,
    /// Serial numbers of its attempts.
    pub(crate) attempts: Vec<u64>,
    /// Those that are set aside or slowed down.
    pub(crate) preempted: Vec<u64>,
    pub(crate) usage: Option<(Time, Usage)>,
    /// A task too large for what is free anywhere, for which it is kept clear.
    pub(crate) reserved: Option<crate::TaskKey>,
}

impl TargetRow {
    /// True if it can hold `needs` beside what it holds and keep a core for each free accelerator.
    pub(crate) fn fits(&self, needs: &Needs) -> bool {
        self.fits_beside(&self.allocated, needs) && self.leaves_cores(needs)
    }

    /// True if it can hold `needs` beside `held`.
    pub(crate) fn fits_beside(&self, held: &Allocation, needs: &Needs) -> bool {
        let all = &self.announcement.capacity;
        held.tasks < self.max_tasks()
            && all.cores.saturating_sub(held.cores) >= needs.cores
            && all.memory_mb.saturating_sub(held.memory) >= needs.memory_mb
            && all.accelerators.saturating_sub(held.accelerators) >= needs.accelerators
    }

    /// Tasks it may hold at once.
    fn max_tasks(&self) -> u32 {
        if self.announcement.connections == 0 { self.limit } else { self.limit.min(self.announcement.connections) }
    }

    /// True if work can be planned for it.
    pub(crate) fn usable(&self, now: Time) -> bool {
        !self.leaving && self.lease > now && !self.health.is_ejected()
    }

    /// True if a task without accelerators leaves a core for each free accelerator.
    fn leaves_cores(&self, needs: &Needs) -> bool {
        let all = &self.announcement.capacity;
        let idle = all.accelerators.saturating_sub(self.allocated.accelerators);
        needs.accelerators > 0
            || needs.cores == 0
            || idle == 0
            || idle >= all.cores
            || all.cores.saturating_sub(self.allocated.cores) >= needs.cores + idle
    }

    /// True if it may be given one more task at `now`.
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
    /// A target that announced itself at `now`, with number `id` in rack `rack`.
    pub(crate) fn new(said: &Announcement, id: u32, rack: u32, now: Time, lease: Time) -> Self {
        Self {
            id,
            rack,
            lease,
            announced_at: now,
            leaving: false,
            allocated: Allocation::default(),
            limit: said.capacity.slots,
            health: Health::default(),
            speed: RobustMean::default(),
            recent_speed: RobustMean::default(),
            entries: Vec::new(),
            repeatable: false,
            answers: 0,
            batch: 0,
            attempts: Vec::new(),
            preempted: Vec::new(),
            usage: None,
            reserved: None,
            announcement: said.clone(),
        }
    }
}

/// All targets.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    pub(crate) rows: SlotMap<TargetKey, TargetRow>,
    pub(crate) names: IndexMap<TargetName, TargetKey>,
    /// By dense number.
    pub(crate) keys: Vec<Option<TargetKey>>,
    pub(crate) racks: IndexMap<Rack, RackRow>,
    free_ids: Vec<u32>,
    /// The workers that hold batch attempts.
    pub(crate) batch: BitSet,
    /// The targets with room for a task, by steps of free cores.
    core_sets: [BitSet; CORE_STEPS],
    /// The step each target stands in; 0 is none.
    core_steps: Vec<u8>,
}

/// What is known of a rack.
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

    /// The row behind a dense number.
    pub(crate) fn by_id(&self, id: u32) -> Option<(TargetKey, &TargetRow)> {
        let key = self.keys.get(id as usize).copied().flatten()?;
        Some((key, &self.rows[key]))
    }

    /// A dense number that no target has.
    pub(crate) fn free_id(&mut self) -> u32 {
        self.free_ids.pop().unwrap_or(self.keys.len() as u32)
    }

    /// The position of a rack; it gains a target.
    pub(crate) fn rack(&mut self, rack: &Rack) -> u32 {
        let slot = self.racks.entry(rack.clone());
        let at = slot.index();
        slot.or_default().targets += 1;
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

    /// Counts a batch attempt of a target in or out.
    pub(crate) fn count_batch(&mut self, key: TargetKey, more: bool) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.batch = if more { row.batch + 1 } else { row.batch - 1 };
        self.batch.set(row.id, row.batch > 0 && row.announcement.kind == Kind::Worker);
    }

    /// Takes a target out for good.
    pub(crate) fn remove(&mut self, key: TargetKey) -> Option<TargetRow> {
        let row = self.rows.remove(key)?;
        self.set_core_step(row.id, 0);
        self.batch.set(row.id, false);
        self.keys[row.id as usize] = None;
        self.free_ids.push(row.id);
        self.names.shift_remove(&row.announcement.name);
        self.racks[row.rack as usize].targets -= 1;
        Some(row)
    }

    /// Brings the sets of targets with room up to date.
    pub(crate) fn refresh(&mut self, now: Time, key: TargetKey) {
        let Some(row) = self.rows.get(key) else { return };
        let (id, level) = (row.id, if row.accepts_task(now) { row.core_step() } else { 0 });
        self.set_core_step(id, level as u8);
    }

    /// The targets with room and at least about so many free cores; an exact check has to follow.
    pub(crate) fn with_cores(&self, cores: u32) -> &BitSet {
        let at = if cores == 0 { 0 } else { 1 + cores.ilog2() as usize };
        &self.core_sets[at.min(CORE_STEPS - 1)]
    }

    fn set_core_step(&mut self, id: u32, fresh: u8) {
        let old = std::mem::replace(&mut self.core_steps[id as usize], fresh);
        let (low, high) = (old.min(fresh), old.max(fresh));
        for at in low..high {
            self.core_sets[usize::from(at)].set(id, fresh > old);
        }
    }
}
