//! Waiting tasks, ordered by class, then by owner with weighted fair queuing, then by earliest deadline.

use crate::{EntryKey, TaskKey};
use indexmap::IndexMap;
use mangogw_model::{Class, Needs, Time};
use slotmap::SlotMap;
use std::collections::BTreeSet;

slotmap::new_key_type! {
    /// Key of a [`SubQueue`].
    pub(crate) struct SubQueueKey;
}

/// Memory needs are rounded up to a multiple of this size, so that similar tasks share a sub-queue.
const MEMORY_STEP_MB: u64 = 256;
/// Number of placements of higher classes after which a waiting class is served once.
const MAX_PASSED_OVER: u32 = 20;
/// Units of virtual time per microsecond of work.
const VTIME_UNITS_PER_US: f64 = 16.0;

/// Position of a task in its sub-queue: by deadline, then by key.
pub(crate) type QueuePosition = (Time, TaskKey);

/// Waiting tasks of one entry with about the same needs.
#[derive(Debug)]
pub(crate) struct SubQueue {
    pub(crate) entry: EntryKey,
    pub(crate) owner: usize,
    pub(crate) class: Class,
    pub(crate) tasks: BTreeSet<QueuePosition>,
}

/// Queue state of one owner in one class.
#[derive(Debug, Default)]
pub(crate) struct OwnerQueue {
    /// Work charged to the owner, divided by its weight.
    pub(crate) virtual_time: u64,
    pub(crate) weight: u32,
    /// Sub-queues that have waiting tasks.
    pub(crate) sub_queues: Vec<SubQueueKey>,
    /// Waiting work in microseconds on a target of speed 1.
    pub(crate) work: f64,
}

/// Waiting tasks of one class.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    /// Indexed by owner.
    pub(crate) owners: Vec<OwnerQueue>,
    /// Virtual time and index of the owners with waiting tasks; the least-served owner is first.
    pub(crate) active: BTreeSet<(u64, usize)>,
    /// Virtual time of the last served owner; owners that become active start no lower.
    min_vtime: u64,
    /// Number of placements of higher classes since the class was served, while it had waiting tasks.
    passed_over: u32,
    pub(crate) waiting: usize,
    /// Sum of the weights of the owners with waiting tasks.
    pub(crate) total_weight: u32,
}

/// Entry, cores, memory in steps of [`MEMORY_STEP_MB`], accelerators.
type SubQueueIndexKey = (EntryKey, u32, u64, u32);

/// All waiting tasks, by class and sub-queue.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) sub_queues: SlotMap<SubQueueKey, SubQueue>,
    index: IndexMap<SubQueueIndexKey, SubQueueKey, foldhash::fast::FixedState>,
    pub(crate) classes: [ClassQueue; 3],
}

impl Queue {
    pub(crate) fn set_weight(&mut self, class: Class, owner: usize, weight: u32) {
        let class_queue = &mut self.classes[class.index()];
        if owner >= class_queue.owners.len() {
            class_queue.owners.resize_with(owner + 1, OwnerQueue::default);
        }
        let owner_queue = &mut class_queue.owners[owner];
        if !owner_queue.sub_queues.is_empty() {
            class_queue.total_weight = class_queue.total_weight - owner_queue.weight.max(1) + weight.max(1);
        }
        owner_queue.weight = weight;
    }

    /// Adds a task and returns the key of its sub-queue.
    pub(crate) fn push(
        &mut self,
        entry: EntryKey,
        owner: usize,
        class: Class,
        needs: &Needs,
        position: QueuePosition,
        work: f64,
    ) -> SubQueueKey {
        let key = self.get_or_insert(entry, owner, class, needs);
        let sub_queue = &mut self.sub_queues[key];
        sub_queue.tasks.insert(position);
        let class_queue = &mut self.classes[class.index()];
        class_queue.waiting += 1;
        let owner_queue = &mut class_queue.owners[owner];
        owner_queue.work += work;
        if sub_queue.tasks.len() == 1 {
            if owner_queue.sub_queues.is_empty() {
                owner_queue.virtual_time = owner_queue.virtual_time.max(class_queue.min_vtime);
                class_queue.active.insert((owner_queue.virtual_time, owner));
                class_queue.total_weight += owner_queue.weight.max(1);
            }
            owner_queue.sub_queues.push(key);
        }
        key
    }

    /// Removes a task; does nothing if it is not in the sub-queue.
    pub(crate) fn remove(&mut self, key: SubQueueKey, position: QueuePosition, work: f64) {
        let sub_queue = &mut self.sub_queues[key];
        if !sub_queue.tasks.remove(&position) {
            return;
        }
        let class_queue = &mut self.classes[sub_queue.class.index()];
        class_queue.waiting -= 1;
        let owner_queue = &mut class_queue.owners[sub_queue.owner];
        owner_queue.work = (owner_queue.work - work).max(0.0);
        if sub_queue.tasks.is_empty() {
            owner_queue.sub_queues.retain(|&other| other != key);
            if owner_queue.sub_queues.is_empty() {
                owner_queue.work = 0.0;
                class_queue.active.remove(&(owner_queue.virtual_time, sub_queue.owner));
                class_queue.total_weight -= owner_queue.weight.max(1);
            }
        }
        if class_queue.waiting == 0 {
            class_queue.passed_over = 0;
        }
    }

    /// Charges an owner for work in microseconds, or refunds it if `work` is negative.
    pub(crate) fn charge(&mut self, class: Class, owner: usize, work: f64) {
        let class_queue = &mut self.classes[class.index()];
        let owner_queue = &mut class_queue.owners[owner];
        let vtime = (work.abs() * VTIME_UNITS_PER_US / f64::from(owner_queue.weight.max(1))) as u64;
        let new_vtime =
            if work < 0.0 { owner_queue.virtual_time.saturating_sub(vtime) } else { owner_queue.virtual_time + vtime };
        if !owner_queue.sub_queues.is_empty() {
            class_queue.active.remove(&(owner_queue.virtual_time, owner));
            class_queue.active.insert((new_vtime, owner));
        }
        owner_queue.virtual_time = new_vtime;
    }

    /// Returns the classes in the order in which a free slot is offered to them.
    pub(crate) fn class_order(&self) -> [Class; 3] {
        let [urgent, normal, batch] = Class::ALL;
        match &self.classes {
            [_, _, starved] if starved.passed_over >= MAX_PASSED_OVER && starved.waiting > 0 => [batch, urgent, normal],
            [_, starved, _] if starved.passed_over >= MAX_PASSED_OVER && starved.waiting > 0 => [normal, urgent, batch],
            _ => Class::ALL,
        }
    }

    /// Records that a task of `class` and `owner` was placed.
    pub(crate) fn record_placement(&mut self, class: Class, owner: usize) {
        for (at, class_queue) in self.classes.iter_mut().enumerate() {
            match at.cmp(&class.index()) {
                std::cmp::Ordering::Greater if class_queue.waiting > 0 => class_queue.passed_over += 1,
                std::cmp::Ordering::Equal => class_queue.passed_over = 0,
                _ => {}
            }
        }
        let class_queue = &mut self.classes[class.index()];
        class_queue.min_vtime = class_queue.min_vtime.max(class_queue.owners[owner].virtual_time);
    }

    /// Removes the empty sub-queues.
    pub(crate) fn prune(&mut self) {
        let sub_queues = &mut self.sub_queues;
        self.index.retain(|_, key| {
            let keep = !sub_queues[*key].tasks.is_empty();
            if !keep {
                sub_queues.remove(*key);
            }
            keep
        });
    }

    fn get_or_insert(&mut self, entry: EntryKey, owner: usize, class: Class, needs: &Needs) -> SubQueueKey {
        let index_key = (entry, needs.cores, needs.memory_mb.div_ceil(MEMORY_STEP_MB), needs.accelerators);
        let new_sub_queue = || SubQueue { entry, owner, class, tasks: BTreeSet::new() };
        match self.index.get(&index_key) {
            Some(&key) if self.sub_queues[key].owner == owner && self.sub_queues[key].class == class => key,
            _ => {
                let key = self.sub_queues.insert(new_sub_queue());
                self.index.insert(index_key, key);
                key
            }
        }
    }
}
