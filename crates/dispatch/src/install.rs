//! The catalogue in force.

use crate::entries::EntryRow;
use crate::{Dispatch, EntryKey};
use indexmap::IndexMap;
use mangogw_model::{Entry, EntryName, Time};

impl Dispatch {
    /// Makes `entries` the catalogue in force. Entries that are gone take no more work; tasks of theirs go on.
    pub fn install(&mut self, now: Time, entries: &IndexMap<EntryName, Entry>) {
        self.names.retain(|name, key| {
            let keep = entries.contains_key(name);
            self.entries[*key].live = keep;
            keep
        });
        for (name, entry) in entries {
            match self.names.get(name) {
                Some(&key) => self.update_entry(key, entry),
                None => self.add_entry(now, name, entry),
            }
        }
        self.remove_unused_entries();
        self.rebuild_pools();
        let keys: Vec<_> = self.names.values().copied().collect();
        for key in keys {
            self.start_waiting(now, key);
        }
    }

    /// The position of an owner.
    fn owner(&mut self, entry: &Entry) -> usize {
        let slot = self.owners.entry(entry.owner.clone());
        let at = slot.index();
        slot.or_default();
        at
    }

    fn add_entry(&mut self, now: Time, name: &EntryName, entry: &Entry) {
        let owner = self.owner(entry);
        let key = self.entries.insert(EntryRow::open(name.clone(), entry.clone(), owner));
        self.names.insert(name.clone(), key);
        self.queue.set_weight(entry.class, owner, entry.weight);
        let serving: Vec<_> = self
            .targets
            .rows
            .iter()
            .filter(|(_, row)| row.announcement.entries.contains(name))
            .map(|(key, _)| key)
            .collect();
        for target in serving {
            self.link_entry(now, target, key);
        }
    }

    /// Puts new settings in force; waiting tasks move where the new class and owner put them.
    fn update_entry(&mut self, key: EntryKey, entry: &Entry) {
        let owner = self.owner(entry);
        let waiting: Vec<_> = match &self.entries[key] {
            row if row.entry.class == entry.class && row.owner == owner => Vec::new(),
            row => self.queue.sub_queues.values().filter(|line| line.entry == key && line.owner == row.owner).collect(),
        }
        .into_iter()
        .flat_map(|line| line.tasks.iter().map(|&(_, task)| task))
        .collect();
        for &task in &waiting {
            self.dequeue(task);
        }
        let row = &mut self.entries[key];
        row.entry = entry.clone();
        row.owner = owner;
        self.queue.set_weight(entry.class, owner, entry.weight);
        for task in waiting {
            self.enqueue(task);
        }
    }

    /// Drops entries that are gone from the catalogue and have no task left.
    fn remove_unused_entries(&mut self) {
        let entries = &mut self.entries;
        entries.retain(|_, row| row.live || row.tasks > 0 || row.allocated.tasks > 0);
        for row in self.targets.rows.values_mut() {
            row.entries.retain(|key| entries.contains_key(*key));
        }
    }

    /// Groups entries that share targets, and sums up their waiting work again.
    pub(crate) fn rebuild_pools(&mut self) {
        self.pools_stale = false;
        let keys: Vec<_> = self.entries.keys().collect();
        for (at, &key) in keys.iter().enumerate() {
            self.entries[key].pool = at;
        }
        let mut roots: Vec<usize> = (0..keys.len()).collect();
        for row in self.targets.rows.values() {
            for pair in row.entries.windows(2) {
                let (one, two) = (self.entries[pair[0]].pool, self.entries[pair[1]].pool);
                let (one, two) = (root(&mut roots, one), root(&mut roots, two));
                roots[one.max(two)] = one.min(two);
            }
        }
        self.pools.clear();
        self.pools.resize_with(keys.len(), Default::default);
        for &key in &keys {
            let row = &mut self.entries[key];
            row.pool = root(&mut roots, row.pool);
            row.supply.stale = true;
        }
        for line in self.queue.sub_queues.values() {
            let pool = &mut self.pools[self.entries[line.entry].pool];
            let work: f64 = line.tasks.iter().map(|&(_, task)| f64::from(self.tasks[task].weight)).sum();
            pool.work[line.class.index()] += work;
        }
    }
}

/// The first of the group that `at` belongs to.
fn root(roots: &mut [usize], mut at: usize) -> usize {
    while roots[at] != at {
        roots[at] = roots[roots[at]];
        at = roots[at];
    }
    at
}
