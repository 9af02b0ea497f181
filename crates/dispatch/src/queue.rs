//! Waiting tasks: by class, then by owner in weighted fair order, then earliest deadline first.

use crate::{EntryKey, TaskKey};
use indexmap::IndexMap;
use mangogw_model::{Class, Needs, Time};
use slotmap::SlotMap;
use std::collections::BTreeSet;

slotmap::new_key_type! {
    /// The waiting tasks of one entry that need about the same.
    pub(crate) struct LineKey;
}

/// Steps of memory that share a line, in megabytes.
const MEMORY_STEP: u64 = 256;
/// Placements a class may be passed over while it waits, before it is served once.
const PATIENCE: u32 = 20;
/// Units of fair-share time for each microsecond of work.
const FINE: f64 = 16.0;

/// Where a task stands in its line: by deadline, then by arrival.
pub(crate) type Place = (Time, TaskKey);

/// The waiting tasks of one entry that need about the same.
#[derive(Debug)]
pub(crate) struct Line {
    pub(crate) entry: EntryKey,
    pub(crate) owner: usize,
    pub(crate) class: Class,
    pub(crate) tasks: BTreeSet<Place>,
}

/// An owner's share of one class.
#[derive(Debug, Default)]
pub(crate) struct Share {
    /// The work it was given, over its weight.
    pub(crate) clock: u64,
    pub(crate) weight: u32,
    /// Lines with waiting tasks.
    pub(crate) lines: Vec<LineKey>,
    /// Waiting work in microseconds at speed 1.
    pub(crate) work: f64,
}

/// One class.
#[derive(Debug, Default)]
pub(crate) struct Rank {
    /// By owner.
    pub(crate) shares: Vec<Share>,
    /// Owners with waiting tasks, least served first.
    pub(crate) active: BTreeSet<(u64, usize)>,
    /// The clock of the owner served last.
    floor: u64,
    /// Placements of other classes since it was served, while it waited.
    passed: u32,
    pub(crate) waiting: usize,
    /// The weights of the owners with waiting tasks.
    pub(crate) weights: u32,
}

/// What a line is found by.
type Shape = (EntryKey, u32, u64, u32);

/// All waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) lines: SlotMap<LineKey, Line>,
    shapes: IndexMap<Shape, LineKey, foldhash::fast::FixedState>,
    pub(crate) ranks: [Rank; 3],
}

impl Queue {
    /// Sets the weight of an owner in a class.
    pub(crate) fn weigh(&mut self, class: Class, owner: usize, weight: u32) {
        let rank = &mut self.ranks[class.index()];
        if owner >= rank.shares.len() {
            rank.shares.resize_with(owner + 1, Share::default);
        }
        let share = &mut rank.shares[owner];
        if !share.lines.is_empty() {
            rank.weights = rank.weights - share.weight.max(1) + weight.max(1);
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
        place: Place,
        work: f64,
    ) -> LineKey {
        let key = self.line(entry, owner, class, needs);
        let line = &mut self.lines[key];
        line.tasks.insert(place);
        let rank = &mut self.ranks[class.index()];
        rank.waiting += 1;
        let share = &mut rank.shares[owner];
        share.work += work;
        if line.tasks.len() == 1 {
            if share.lines.is_empty() {
                share.clock = share.clock.max(rank.floor);
                rank.active.insert((share.clock, owner));
                rank.weights += share.weight.max(1);
            }
            share.lines.push(key);
        }
        key
    }

    /// Takes a task out.
    pub(crate) fn remove(&mut self, key: LineKey, place: Place, work: f64) {
        let line = &mut self.lines[key];
        if !line.tasks.remove(&place) {
            return;
        }
        let rank = &mut self.ranks[line.class.index()];
        rank.waiting -= 1;
        let share = &mut rank.shares[line.owner];
        share.work = (share.work - work).max(0.0);
        if line.tasks.is_empty() {
            share.lines.retain(|&other| other != key);
            if share.lines.is_empty() {
                share.work = 0.0;
                rank.active.remove(&(share.clock, line.owner));
                rank.weights -= share.weight.max(1);
            }
        }
        if rank.waiting == 0 {
            rank.passed = 0;
        }
    }

    /// Charges an owner for work, or gives some back.
    pub(crate) fn charge(&mut self, class: Class, owner: usize, work: f64) {
        let rank = &mut self.ranks[class.index()];
        let share = &mut rank.shares[owner];
        let units = (work.abs() * FINE / f64::from(share.weight.max(1))) as u64;
        let fresh = if work < 0.0 { share.clock.saturating_sub(units) } else { share.clock + units };
        if !share.lines.is_empty() {
            rank.active.remove(&(share.clock, owner));
            rank.active.insert((fresh, owner));
        }
        share.clock = fresh;
    }

    /// The classes in the order in which a free place is offered to them.
    pub(crate) fn order(&self) -> [Class; 3] {
        let [urgent, normal, batch] = Class::ALL;
        match &self.ranks {
            [_, _, late] if late.passed >= PATIENCE && late.waiting > 0 => [batch, urgent, normal],
            [_, late, _] if late.passed >= PATIENCE && late.waiting > 0 => [normal, urgent, batch],
            _ => Class::ALL,
        }
    }

    /// Notes that a task of `class` and `owner` was placed.
    pub(crate) fn served(&mut self, class: Class, owner: usize) {
        for (at, rank) in self.ranks.iter_mut().enumerate() {
            match at.cmp(&class.index()) {
                std::cmp::Ordering::Greater if rank.waiting > 0 => rank.passed += 1,
                std::cmp::Ordering::Equal => rank.passed = 0,
                _ => {}
            }
        }
        let rank = &mut self.ranks[class.index()];
        rank.floor = rank.floor.max(rank.shares[owner].clock);
    }

    /// Drops lines that have stood empty.
    pub(crate) fn prune(&mut self) {
        let lines = &mut self.lines;
        self.shapes.retain(|_, key| {
            let keep = !lines[*key].tasks.is_empty();
            if !keep {
                lines.remove(*key);
            }
            keep
        });
    }

    fn line(&mut self, entry: EntryKey, owner: usize, class: Class, needs: &Needs) -> LineKey {
        let shape = (entry, needs.cores, needs.memory_mb.div_ceil(MEMORY_STEP), needs.accelerators);
        let fresh = || Line { entry, owner, class, tasks: BTreeSet::new() };
        match self.shapes.get(&shape) {
            Some(&key) if self.lines[key].owner == owner && self.lines[key].class == class => key,
            _ => {
                let key = self.lines.insert(fresh());
                self.shapes.insert(shape, key);
                key
            }
        }
    }
}
