//! Installation of a new catalogue.

use crate::entries::EntryRow;
use crate::{Dispatch, EntryKey};
use indexmap::IndexMap;
use mangogw_model::{Entry, EntryName, Time};

impl Dispatch {
    /// Installs the catalogue `entries`. Removed entries accept no more tasks; their existing tasks continue.
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

    /// Returns the index of an owner, and adds the owner if it is new.
    fn owner_index(&mut self, entry: &Entry) -> usize {
        let slot = self.owners.entry(entry.owner.clone());
        let at = slot.index();
        slot.or_default();
        at
    }

    fn add_entry(&mut self, now: Time, name: &EntryName, entry: &Entry) {
        let owner = self.owner_index(entry);
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

    /// Applies new settings to an entry, and requeues its waiting tasks if class or owner changed.
    fn update_entry(&mut self, key: EntryKey, entry: &Entry) {
        let owner = self.owner_index(entry);
        let waiting: Vec<_> = match &self.entries[key] {
            row if row.entry.class == entry.class && row.owner == owner => Vec::new(),
            row => self
                .queue
                .sub_queues
                .values()
                .filter(|sub_queue| sub_queue.entry == key && sub_queue.owner == row.owner)
                .collect(),
        }
        .into_iter()
        .flat_map(|sub_queue| sub_queue.tasks.iter().map(|&(_, task)| task))
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

    /// Removes entries that are no longer in the catalogue and have no tasks or running attempts.
    fn remove_unused_entries(&mut self) {
        let entries = &mut self.entries;
        entries.retain(|_, row| row.live || row.tasks > 0 || row.allocated.tasks > 0);
        for row in self.targets.rows.values_mut() {
            row.entries.retain(|key| entries.contains_key(*key));
        }
    }

    /// Groups entries that share targets into pools, and recomputes the waiting work of each pool.
    pub(crate) fn rebuild_pools(&mut self) {
        self.pools_stale = false;
        let keys: Vec<_> = self.entries.keys().collect();
        for (at, &key) in keys.iter().enumerate() {
            self.entries[key].pool = at;
        }
        let mut roots: Vec<usize> = (0..keys.len()).collect();
        for row in self.targets.rows.values() {
            for pair in row.entries.windows(2) {
                let (a, b) = (self.entries[pair[0]].pool, self.entries[pair[1]].pool);
                let (a, b) = (root(&mut roots, a), root(&mut roots, b));
                roots[a.max(b)] = a.min(b);
            }
        }
        self.pools.clear();
        self.pools.resize_with(keys.len(), Default::default);
        for &key in &keys {
            let row = &mut self.entries[key];
            row.pool = root(&mut roots, row.pool);
            row.supply.stale = true;
        }
        for sub_queue in self.queue.sub_queues.values() {
            let pool = &mut self.pools[self.entries[sub_queue.entry].pool];
            let work: f64 = sub_queue.tasks.iter().map(|&(_, task)| f64::from(self.tasks[task].weight)).sum();
            pool.work[sub_queue.class.index()] += work;
        }
    }
}

/// Returns the root of the group that `at` belongs to, and shortens the path to it.
fn root(roots: &mut [usize], mut at: usize) -> usize {
    while roots[at] != at {
        roots[at] = roots[roots[at]];
        at = roots[at];
    }
    at
}
