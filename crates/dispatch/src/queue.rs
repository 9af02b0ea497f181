//! Waiting tasks: by class, then by owner in weighted fair order, then earliest deadline first.

use crate::{EntryKey, TaskKey};
use indexmap::IndexMap;
use mangogw_model::{Class, Needs, Time};
use slotmap::SlotMap;
use std::collections::BTreeSet;

slotmap::new_key_type! {
    /// The waiting tasks of one entry that need about the same.
    pub(crate) struct SubQueueKey;
}

/// Steps of memory that share a line, in megabytes.
const MEMORY_STEP_MB: u64 = 256;
/// Placements a class may be passed over while it waits, before it is served once.
const MAX_PASSED_OVER: u32 = 20;
/// Units of fair-share time for each microsecond of work.
const VTIME_UNITS_PER_US: f64 = 16.0;

/// Where a task stands in its line: by deadline, then by arrival.
pub(crate) type QueuePosition = (Time, TaskKey);

/// The waiting tasks of one entry that need about the same.
#[derive(Debug)]
pub(crate) struct SubQueue {
    pub(crate) entry: EntryKey,
    pub(crate) owner: usize,
    pub(crate) class: Class,
    pub(crate) tasks: BTreeSet<QueuePosition>,
}

/// An owner's share of one class.
#[derive(Debug, Default)]
pub(crate) struct OwnerQueue {
    /// The work it was given, over its weight.
    pub(crate) virtual_time: u64,
    pub(crate) weight: u32,
    /// Lines with waiting tasks.
    pub(crate) sub_queues: Vec<SubQueueKey>,
    /// Waiting work in microseconds at speed 1.
    pub(crate) work: f64,
}

/// One class.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    /// By owner.
    pub(crate) owners: Vec<OwnerQueue>,
    /// Owners with waiting tasks, least served first.
    pub(crate) active: BTreeSet<(u64, usize)>,
    /// The clock of the owner served last.
    floor: u64,
    /// Placements of other classes since it was served, while it waited.
    passed_over: u32,
    pub(crate) waiting: usize,
    /// The weights of the owners with waiting tasks.
    pub(crate) total_weight: u32,
}

/// What a line is found by.
type SubQueueIndexKey = (EntryKey, u32, u64, u32);

/// All waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) sub_queues: SlotMap<SubQueueKey, SubQueue>,
    index: IndexMap<SubQueueIndexKey, SubQueueKey, foldhash::fast::FixedState>,
    pub(crate) classes: [ClassQueue; 3],
}

impl Queue {
    /// Sets the weight of an owner in a class.
    pub(crate) fn set_weight(&mut self, class: Class, owner: usize, weight: u32) {
        let rank = &mut self.classes[class.index()];
        if owner >= rank.owners.len() {
            rank.owners.resize_with(owner + 1, OwnerQueue::default);
        }
        let share = &mut rank.owners[owner];
        if !share.sub_queues.is_empty() {
            rank.total_weight = rank.total_weight - share.weight.max(1) + weight.max(1);
        }
        share.weight = weight;
    }

    /// Puts a task in; gives back its line.
    pub(crate) fn push(
        &mut self,
        entry: EntryKey,
        owner: usize,
        class: Class,
        needs: &Needs,
        place: QueuePosition,
        work: f64,
    ) -> SubQueueKey {
        let key = self.line(entry, owner, class, needs);
        let line = &mut self.sub_queues[key];
        line.tasks.insert(place);
        let rank = &mut self.classes[class.index()];
        rank.waiting += 1;
        let share = &mut rank.owners[owner];
        share.work += work;
        if line.tasks.len() == 1 {
            if share.sub_queues.is_empty() {
                share.virtual_time = share.virtual_time.max(rank.floor);
                rank.active.insert((share.virtual_time, owner));
                rank.total_weight += share.weight.max(1);
            }
            share.sub_queues.push(key);
        }
        key
    }

    /// Takes a task out.
    pub(crate) fn remove(&mut self, key: SubQueueKey, place: QueuePosition, work: f64) {
        let line = &mut self.sub_queues[key];
        if !line.tasks.remove(&place) {
            return;
        }
        let rank = &mut self.classes[line.class.index()];
        rank.waiting -= 1;
        let share = &mut rank.owners[line.owner];
        share.work = (share.work - work).max(0.0);
        if line.tasks.is_empty() {
            share.sub_queues.retain(|&other| other != key);
            if share.sub_queues.is_empty() {
                share.work = 0.0;
                rank.active.remove(&(share.virtual_time, line.owner));
                rank.total_weight -= share.weight.max(1);
            }
        }
        if rank.waiting == 0 {
            rank.passed_over = 0;
        }
    }

    /// Charges an owner for work, or gives some back.
    pub(crate) fn charge(&mut self, class: Class, owner: usize, work: f64) {
        let rank = &mut self.classes[class.index()];
        let share = &mut rank.owners[owner];
        let units = (work.abs() * VTIME_UNITS_PER_US / f64::from(share.weight.max(1))) as u64;
        let fresh = if work < 0.0 { share.virtual_time.saturating_sub(units) } else { share.virtual_time + units };
        if !share.sub_queues.is_empty() {
            rank.active.remove(&(share.virtual_time, owner));
            rank.active.insert((fresh, owner));
        }
        share.virtual_time = fresh;
    }

    /// The classes in the order in which a free place is offered to them.
    pub(crate) fn class_order(&self) -> [Class; 3] {
        let [urgent, normal, batch] = Class::ALL;
        match &self.classes {
            [_, _, late] if late.passed_over >= MAX_PASSED_OVER && late.waiting > 0 => [batch, urgent, normal],
            [_, late, _] if late.passed_over >= MAX_PASSED_OVER && late.waiting > 0 => [normal, urgent, batch],
            _ => Class::ALL,
        }
    }

    /// Notes that a task of `class` and `owner` was placed.
    pub(crate) fn record_placement(&mut self, class: Class, owner: usize) {
        for (at, rank) in self.classes.iter_mut().enumerate() {
            match at.cmp(&class.index()) {
                std::cmp::Ordering::Greater if rank.waiting > 0 => rank.passed_over += 1,
                std::cmp::Ordering::Equal => rank.passed_over = 0,
                _ => {}
            }
        }
        let rank = &mut self.classes[class.index()];
        rank.floor = rank.floor.max(rank.owners[owner].virtual_time);
    }

    /// Drops lines that have stood empty.
    pub(crate) fn prune(&mut self) {
        let lines = &mut self.sub_queues;
        self.index.retain(|_, key| {
            let keep = !lines[*key].tasks.is_empty();
            if !keep {
                lines.remove(*key);
            }
            keep
        });
    }

    fn line(&mut self, entry: EntryKey, owner: usize, class: Class, needs: &Needs) -> SubQueueKey {
        let shape = (entry, needs.cores, needs.memory_mb.div_ceil(MEMORY_STEP_MB), needs.accelerators);
        let fresh = || SubQueue { entry, owner, class, tasks: BTreeSet::new() };
        match self.index.get(&shape) {
            Some(&key) if self.sub_queues[key].owner == owner && self.sub_queues[key].class == class => key,
            _ => {
                let key = self.sub_queues.insert(fresh());
                self.index.insert(shape, key);
                key
            }
        }
    }
}
