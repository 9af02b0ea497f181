//! What targets say: announcements, heartbeats, leaving, usage; and the end of leases.

use crate::targets::TargetRow;
use crate::timers::Timer;
use crate::{AttemptReport, Dispatch, EntryKey, TargetKey};
use mangogw_model::{Announcement, Code, Incarnation, TargetName, Time, Usage};
use std::time::Duration;

/// How long a silent target is remembered after its lease.
const LAPSED_RETENTION: Duration = Duration::from_mins(5);

impl Dispatch {
    /// Takes an announcement: a new target, or a later word of a known one. A new life loses what the old one ran.
    ///
    /// # Errors
    /// [`Code::StaleIncarnation`] if a later life of the target is known.
    pub fn announce(&mut self, now: Time, said: &Announcement) -> Result<TargetKey, Code> {
        let key = match self.targets.names.get(&said.name).copied() {
            Some(key) if self.targets.rows[key].announcement.incarnation > said.incarnation => {
                return Err(Code::StaleIncarnation);
            }
            Some(key) if self.targets.rows[key].announcement.incarnation == said.incarnation => {
                self.update_target(now, key, said);
                key
            }
            Some(key) => {
                self.end_incarnation(now, key);
                self.add_target(now, said)
            }
            None => self.add_target(now, said),
        };
        self.fill_target(now, key);
        self.start_for_target(now, key);
        Ok(key)
    }

    /// Renews the lease of a target.
    ///
    /// # Errors
    /// [`Code::UnknownTarget`] or [`Code::StaleIncarnation`].
    pub fn heartbeat(&mut self, now: Time, name: &TargetName, life: Incarnation) -> Result<(), Code> {
        let lease = now + self.settings.lease;
        let key = self.target_key(name)?;
        let row = &mut self.targets.rows[key];
        if row.announcement.incarnation != life {
            return Err(Code::StaleIncarnation);
        }
        let lapsed = row.lease <= now;
        row.lease = lease;
        if lapsed {
            self.mark_supply_stale(key);
            self.timers.push(lease, Timer::Lease(key));
            self.fill_target(now, key);
            self.start_for_target(now, key);
        }
        Ok(())
    }

    /// Gives a target no more work.
    ///
    /// # Errors
    /// [`Code::UnknownTarget`].
    pub fn leave(&mut self, now: Time, name: &TargetName) -> Result<(), Code> {
        let key = self.target_key(name)?;
        self.targets.rows[key].leaving = true;
        self.unreserve(now, key);
        self.targets.refresh(now, key);
        self.mark_supply_stale(key);
        Ok(())
    }

    /// Takes a usage report, dated back by its age. One older than the last, or of another life, is dropped.
    ///
    /// # Errors
    /// [`Code::UnknownTarget`] or [`Code::StaleIncarnation`].
    pub fn record_usage(&mut self, now: Time, name: &TargetName, usage: &Usage) -> Result<(), Code> {
        let key = self.target_key(name)?;
        let row = &mut self.targets.rows[key];
        if row.announcement.incarnation != usage.incarnation {
            return Err(Code::StaleIncarnation);
        }
        let age = Duration::from_millis(usage.age_ms);
        let at = Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        if row.usage.as_ref().is_none_or(|(last, _)| *last < at) {
            row.usage = Some((at, usage.clone()));
        }
        Ok(())
    }

    fn target_key(&self, name: &TargetName) -> Result<TargetKey, Code> {
        self.targets.names.get(name).copied().ok_or(Code::UnknownTarget)
    }

    /// A target that was not known.
    fn add_target(&mut self, now: Time, said: &Announcement) -> TargetKey {
        let lease = now + self.settings.lease;
        let (id, rack) = (self.targets.free_id(), self.targets.rack(&said.rack));
        let row = TargetRow::new(said, id, rack, now, lease);
        let key = self.targets.insert(row);
        self.timers.push(lease, Timer::Lease(key));
        self.link_entries(now, key);
        key
    }

    /// A later word of the same life.
    fn update_target(&mut self, now: Time, key: TargetKey, said: &Announcement) {
        let lease = now + self.settings.lease;
        let row = &mut self.targets.rows[key];
        let lapsed = row.lease <= now;
        let moved = row.announcement.entries != said.entries || row.announcement.zone != said.zone;
        row.limit =
            if row.announcement.capacity.slots == said.capacity.slots { row.limit } else { said.capacity.slots };
        let rack = std::mem::replace(&mut row.announcement, said.clone()).rack;
        row.lease = lease;
        row.leaving = false;
        let (old, out) = (row.rack, u32::from(row.health.is_ejected()));
        if rack != said.rack {
            let fresh = self.targets.rack(&said.rack);
            self.targets.rows[key].rack = fresh;
            self.targets.racks[old as usize].targets -= 1;
            self.targets.racks[old as usize].ejected -= out;
            self.targets.racks[fresh as usize].ejected += out;
        }
        if lapsed {
            self.timers.push(lease, Timer::Lease(key));
        }
        if moved {
            self.link_entries(now, key);
        }
        self.mark_supply_stale(key);
    }

    /// The process of a target started anew: what the old one ran is lost.
    fn end_incarnation(&mut self, now: Time, key: TargetKey) {
        let row = &mut self.targets.rows[key];
        row.leaving = true;
        // Nothing that is set aside there may be resumed while the rest is given up.
        row.lease = now;
        self.targets.refresh(now, key);
        let lost = self.targets.rows[key].attempts.clone();
        for serial in lost {
            self.close_attempt(now, serial, AttemptReport::Lost);
        }
        self.remove_target(now, key);
    }

    /// Takes a target out of every table.
    fn remove_target(&mut self, now: Time, key: TargetKey) {
        self.unreserve(now, key);
        let Some(row) = self.targets.remove(key) else { return };
        self.targets.racks[row.rack as usize].ejected -= u32::from(row.health.is_ejected());
        for entry in row.entries {
            let entry = &mut self.entries[entry];
            entry.speeds.remove(row.id);
            entry.supply.stale = true;
        }
    }

    /// Matches a target with the entries it serves.
    fn link_entries(&mut self, now: Time, key: TargetKey) {
        let row = &mut self.targets.rows[key];
        let (id, old) = (row.id, std::mem::take(&mut row.entries));
        let names = row.announcement.entries.clone();
        let fresh: Vec<_> = names.iter().filter_map(|name| self.names.get(name).copied()).collect();
        for entry in old {
            self.entries[entry].speeds.remove(id);
            self.entries[entry].supply.stale = true;
        }
        for entry in fresh {
            self.link_entry(now, key, entry);
        }
        self.pools_stale = true;
    }

    /// Notes that a target serves an entry.
    pub(crate) fn link_entry(&mut self, now: Time, key: TargetKey, entry: EntryKey) {
        let row = &mut self.targets.rows[key];
        if row.entries.contains(&entry) {
            return;
        }
        row.entries.push(entry);
        let near = self.settings.zone.as_str().is_empty() || row.announcement.zone == self.settings.zone;
        let flavour = u8::from(!near) * 2 + u8::from(row.announcement.capacity.accelerators > 0);
        let entry = &mut self.entries[entry];
        row.repeatable |= entry.entry.repeatable;
        entry.record_capacity(&row.announcement.capacity);
        entry.speeds.insert(row.id, flavour, row.speed.value);
        entry.supply.stale = true;
        self.targets.refresh(now, key);
    }

    /// The lease of a target may have ended.
    pub(crate) fn expire_lease(&mut self, now: Time, key: TargetKey) {
        let Some(row) = self.targets.get(key) else { return };
        let (lease, held) = (row.lease, row.attempts.len());
        match () {
            () if lease > now => self.timers.push(lease, Timer::Lease(key)),
            () if now - lease >= LAPSED_RETENTION && held == 0 => self.remove_target(now, key),
            () => {
                self.targets.refresh(now, key);
                self.unreserve(now, key);
                self.mark_supply_stale(key);
                self.hedge_target(now, key);
                self.timers.push(now + LAPSED_RETENTION, Timer::Lease(key));
            }
        }
    }

    /// Notes that the supply of a target's entries has changed.
    pub(crate) fn mark_supply_stale(&mut self, key: TargetKey) {
        let Some(row) = self.targets.rows.get(key) else { return };
        for &entry in &row.entries {
            self.entries[entry].supply.stale = true;
        }
    }

    /// Offers a target with room to entries whose tasks wait for another reason than a lack of it.
    fn start_for_target(&mut self, now: Time, key: TargetKey) {
        let Some(row) = self.targets.get(key) else { return };
        let waiting: Vec<_> = row.entries.iter().copied().filter(|&entry| self.entries[entry].waiting > 0).collect();
        for entry in waiting {
            self.start_waiting(now, entry);
        }
    }
}
