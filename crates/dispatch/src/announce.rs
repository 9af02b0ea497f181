//! Messages from targets: announcements, heartbeats, departures and usage reports; and the expiry of leases.

use crate::targets::TargetRow;
use crate::timers::Timer;
use crate::{AttemptReport, Dispatch, EntryKey, TargetKey};
use mangogw_model::{Announcement, Code, Incarnation, TargetName, Time, Usage};
use std::time::Duration;

/// Time after the end of its lease for which a target is kept.
const LAPSED_RETENTION: Duration = Duration::from_mins(5);

impl Dispatch {
    /// Handles an announcement of a new or known target. A new incarnation ends all attempts of the earlier one as
    /// lost.
    ///
    /// # Errors
    /// [`Code::StaleIncarnation`] if a later incarnation of the target is known.
    pub fn announce(&mut self, now: Time, announcement: &Announcement) -> Result<TargetKey, Code> {
        let key = match self.targets.names.get(&announcement.name).copied() {
            Some(key) if self.targets.rows[key].announcement.incarnation > announcement.incarnation => {
                return Err(Code::StaleIncarnation);
            }
            Some(key) if self.targets.rows[key].announcement.incarnation == announcement.incarnation => {
                self.update_target(now, key, announcement);
                key
            }
            Some(key) => {
                self.end_incarnation(now, key);
                self.add_target(now, announcement)
            }
            None => self.add_target(now, announcement),
        };
        self.fill_target(now, key);
        self.start_for_target(now, key);
        Ok(key)
    }

    /// Renews the lease of a target.
    ///
    /// # Errors
    /// [`Code::UnknownTarget`], or [`Code::StaleIncarnation`] if `incarnation` is not the one of the last announcement.
    pub fn heartbeat(&mut self, now: Time, name: &TargetName, incarnation: Incarnation) -> Result<(), Code> {
        let lease = now + self.settings.lease;
        let key = self.target_key(name)?;
        let row = &mut self.targets.rows[key];
        if row.announcement.incarnation != incarnation {
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

    /// Stops giving work to a target.
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

    /// Stores a usage report under the time it was taken, which is `now` minus its age. A report that is not newer than
    /// the stored one is dropped.
    ///
    /// # Errors
    /// [`Code::UnknownTarget`], or [`Code::StaleIncarnation`] if the report is of another incarnation.
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

    fn add_target(&mut self, now: Time, announcement: &Announcement) -> TargetKey {
        let lease = now + self.settings.lease;
        let (id, rack) = (self.targets.free_id(), self.targets.add_to_rack(&announcement.rack));
        let row = TargetRow::new(announcement, id, rack, now, lease);
        let key = self.targets.insert(row);
        self.timers.push(lease, Timer::Lease(key));
        self.link_entries(now, key);
        key
    }

    /// Applies a repeated announcement of the current incarnation.
    fn update_target(&mut self, now: Time, key: TargetKey, announcement: &Announcement) {
        let lease = now + self.settings.lease;
        let row = &mut self.targets.rows[key];
        let lapsed = row.lease <= now;
        let relink = row.announcement.entries != announcement.entries || row.announcement.zone != announcement.zone;
        row.limit = if row.announcement.capacity.slots == announcement.capacity.slots {
            row.limit
        } else {
            announcement.capacity.slots
        };
        let old_rack = std::mem::replace(&mut row.announcement, announcement.clone()).rack;
        row.lease = lease;
        row.leaving = false;
        let (old, ejected) = (row.rack, u32::from(row.health.is_ejected()));
        if old_rack != announcement.rack {
            let new = self.targets.add_to_rack(&announcement.rack);
            self.targets.rows[key].rack = new;
            self.targets.racks[old as usize].targets -= 1;
            self.targets.racks[old as usize].ejected -= ejected;
            self.targets.racks[new as usize].ejected += ejected;
        }
        if lapsed {
            self.timers.push(lease, Timer::Lease(key));
        }
        if relink {
            self.link_entries(now, key);
        }
        self.mark_supply_stale(key);
    }

    /// Removes a target whose process has restarted; the attempts of the old incarnation are lost.
    fn end_incarnation(&mut self, now: Time, key: TargetKey) {
        let row = &mut self.targets.rows[key];
        row.leaving = true;
        // The lease ends now, so that no checkpointed attempt is resumed while the others are closed.
        row.lease = now;
        self.targets.refresh(now, key);
        let lost = self.targets.rows[key].attempts.clone();
        for serial in lost {
            self.close_attempt(now, serial, AttemptReport::Lost);
        }
        self.remove_target(now, key);
    }

    /// Removes a target from all tables.
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

    /// Links a target to the entries in its announcement.
    fn link_entries(&mut self, now: Time, key: TargetKey) {
        let row = &mut self.targets.rows[key];
        let (id, old) = (row.id, std::mem::take(&mut row.entries));
        let names = row.announcement.entries.clone();
        let served: Vec<_> = names.iter().filter_map(|name| self.names.get(name).copied()).collect();
        for entry in old {
            self.entries[entry].speeds.remove(id);
            self.entries[entry].supply.stale = true;
        }
        for entry in served {
            self.link_entry(now, key, entry);
        }
        self.pools_stale = true;
    }

    /// Records that a target serves an entry.
    pub(crate) fn link_entry(&mut self, now: Time, key: TargetKey, entry: EntryKey) {
        let row = &mut self.targets.rows[key];
        if row.entries.contains(&entry) {
            return;
        }
        row.entries.push(entry);
        let is_local = self.settings.zone.as_str().is_empty() || row.announcement.zone == self.settings.zone;
        let category = u8::from(!is_local) * 2 + u8::from(row.announcement.capacity.accelerators > 0);
        let entry = &mut self.entries[entry];
        row.repeatable |= entry.entry.repeatable;
        entry.record_capacity(&row.announcement.capacity);
        entry.speeds.insert(row.id, category, row.speed.value);
        entry.supply.stale = true;
        self.targets.refresh(now, key);
    }

    /// Handles the timer of a target's lease: the lease may have ended, been renewed, or ended long enough ago to
    /// remove the target.
    pub(crate) fn expire_lease(&mut self, now: Time, key: TargetKey) {
        let Some(row) = self.targets.get(key) else { return };
        let (lease, running) = (row.lease, row.attempts.len());
        match () {
            () if lease > now => self.timers.push(lease, Timer::Lease(key)),
            () if now - lease >= LAPSED_RETENTION && running == 0 => self.remove_target(now, key),
            () => {
                self.targets.refresh(now, key);
                self.unreserve(now, key);
                self.mark_supply_stale(key);
                self.hedge_target(now, key);
                self.timers.push(now + LAPSED_RETENTION, Timer::Lease(key));
            }
        }
    }

    /// Marks the supply of all entries that a target serves as stale.
    pub(crate) fn mark_supply_stale(&mut self, key: TargetKey) {
        let Some(row) = self.targets.rows.get(key) else { return };
        for &entry in &row.entries {
            self.entries[entry].supply.stale = true;
        }
    }

    /// Starts waiting tasks of the entries that a target serves, including those that wait for another reason than
    /// capacity.
    fn start_for_target(&mut self, now: Time, key: TargetKey) {
        let Some(row) = self.targets.get(key) else { return };
        let waiting: Vec<_> = row.entries.iter().copied().filter(|&entry| self.entries[entry].waiting > 0).collect();
        for entry in waiting {
            self.start_waiting(now, entry);
        }
    }
}
