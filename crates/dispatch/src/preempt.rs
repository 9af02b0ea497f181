//! Room for urgent and for large tasks: targets kept clear, batch work slowed down or set aside and resumed.

use crate::bits::ones;
use crate::limits::blocking_limit;
use crate::speed::TARGET_CATEGORIES;
use crate::targets::{Allocation, TargetRow};
use crate::tasks::Phase;
use crate::timers::Timer;
use crate::{Action, AttemptReport, Dispatch, TargetKey, TaskKey};
use mangogw_model::{Class, Kind, Needs, Time};
use std::time::Duration;

/// One of so many targets may be kept clear at once.
const TARGETS_PER_RESERVATION: usize = 8;
/// Workers looked at for one urgent task.
const MAX_WORKERS_TRIED: u32 = 32;
/// How long a target is kept clear for one task.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(2);

impl Dispatch {
    /// Frees a worker for an urgent task that found none, by slowing batch work down or setting it aside.
    pub(crate) fn preempt_batch(&mut self, now: Time, task: TaskKey) {
        let seek = self.placement_request(task);
        let entry = &self.entries[seek.entry];
        if entry.entry.class != Class::Urgent
            || self.targets.batch.is_empty()
            || !self.may_reserve()
            || blocking_limit(&entry.entry, &entry.share, &entry.allocated, &seek.needs).is_some()
            || self.best_target(now, &seek).is_some()
        {
            return;
        }
        let (mut plan, mut tried) = (None, 0);
        'search: for flavour in 0..TARGET_CATEGORIES {
            for step in ones(entry.speeds.used_steps[flavour]) {
                let set = entry.speeds.step_members(flavour, step as usize);
                let hit = set.find_common(&self.targets.batch, self.cursor, |id| {
                    plan =
                        self.targets.by_id(id).and_then(|(key, row)| self.plan_preemption(now, key, row, &seek.needs));
                    tried += 1;
                    plan.is_some() || tried >= MAX_WORKERS_TRIED
                });
                if hit.is_some() || tried >= MAX_WORKERS_TRIED {
                    break 'search;
                }
            }
        }
        let Some((key, serials, phase)) = plan else { return };
        self.reserve_target(now, key, task);
        for serial in serials {
            self.preempt_attempt(serial, key, phase);
        }
    }

    /// The batch attempts whose room would be enough on a worker, and what to ask of them.
    fn plan_preemption(
        &self,
        now: Time,
        key: TargetKey,
        row: &TargetRow,
        needs: &Needs,
    ) -> Option<(TargetKey, Vec<u64>, Phase)> {
        if row.announcement.kind != Kind::Worker
            || row.reserved.is_some()
            || !row.usable(now)
            || !row.announcement.capacity.holds(needs)
        {
            return None;
        }
        let free = |held: &Allocation| row.fits_beside(held, needs);
        let batch = || {
            row.attempts
                .iter()
                .rev()
                .filter_map(|serial| Some((*serial, self.attempts.get(serial)?)))
                .filter(|(_, attempt)| attempt.class == Class::Batch && attempt.phase == Phase::Running)
        };
        let mut slowed = row.allocated;
        let mut serials = Vec::new();
        for (serial, attempt) in batch() {
            slowed.cores -= attempt.needs.cores;
            serials.push(serial);
            if free(&slowed) {
                return Some((key, serials, Phase::Throttling));
            }
        }
        let mut aside = row.allocated;
        serials.clear();
        for (serial, attempt) in batch() {
            aside.sub(&attempt.needs);
            serials.push(serial);
            if free(&aside) {
                return Some((key, serials, Phase::Checkpointing));
            }
        }
        None
    }

    fn preempt_attempt(&mut self, serial: u64, target: TargetKey, phase: Phase) {
        let attempt = self.attempt_id(serial);
        let Some(row) = self.attempts.get_mut(&serial) else { return };
        row.phase = phase;
        row.was_preempted = true;
        match phase {
            Phase::Throttling => {
                self.waste.throttles += 1;
                self.actions.push(Action::Throttle { attempt, target });
            }
            _ => {
                self.waste.checkpoints += 1;
                self.actions.push(Action::Checkpoint { attempt, target });
            }
        }
    }

    /// A target has done, or won't do, what it was asked to.
    pub(crate) fn record_preemption(&mut self, now: Time, serial: u64, report: AttemptReport) {
        let Some(row) = self.attempts.get_mut(&serial) else { return };
        let (target, entry, old) = (row.target, row.entry, row.needs);
        let phase = match (report, row.phase) {
            (AttemptReport::Throttled, Phase::Throttling) => Phase::Throttled,
            (AttemptReport::Checkpointed, Phase::Checkpointing) => Phase::Checkpointed,
            (AttemptReport::Declined, Phase::Throttling | Phase::Checkpointing) => Phase::Running,
            _ => return,
        };
        row.phase = phase;
        let slow = Needs { cores: 0, ..old };
        if phase == Phase::Throttled {
            row.needs = slow;
        }
        let entry = &mut self.entries[entry].allocated;
        let Some(held) = self.targets.get_mut(target) else { return };
        if phase != Phase::Running {
            entry.sub(&old);
            held.allocated.sub(&old);
            held.preempted.push(serial);
        }
        if phase == Phase::Throttled {
            entry.add(&slow);
            held.allocated.add(&slow);
        }
        self.fill_target(now, target);
    }

    /// Lets slowed and parked attempts go on where there is room and no urgent work waits.
    pub(crate) fn resume_preempted(&mut self, now: Time, target: TargetKey) {
        let Some(row) = self.targets.get(target) else { return };
        if row.preempted.is_empty() || row.reserved.is_some() || row.lease <= now || self.queue.classes[0].waiting > 0 {
            return;
        }
        for serial in row.preempted.clone() {
            let row = &mut self.targets.rows[target];
            let Some(attempt) = self.attempts.get_mut(&serial) else { continue };
            let mut held = row.allocated;
            let free = match attempt.phase {
                Phase::Throttled => {
                    held.sub(&attempt.needs);
                    row.fits_beside(&held, &attempt.full_needs)
                }
                Phase::Checkpointed => row.fits_beside(&held, &attempt.full_needs),
                _ => false,
            };
            if !free {
                continue;
            }
            held.add(&attempt.full_needs);
            row.allocated = held;
            row.preempted.retain(|other| *other != serial);
            let entry = &mut self.entries[attempt.entry].allocated;
            if attempt.phase == Phase::Throttled {
                entry.sub(&attempt.needs);
            }
            entry.add(&attempt.full_needs);
            attempt.needs = attempt.full_needs;
            attempt.phase = Phase::Running;
            self.waste.resumes += 1;
            let attempt = self.attempt_id(serial);
            self.actions.push(Action::Resume { attempt, target });
        }
        self.targets.refresh(now, target);
    }

    /// Keeps a target clear for a task that is too large for what is free anywhere.
    pub(crate) fn reserve_for(&mut self, now: Time, task: TaskKey) {
        if !self.may_reserve() {
            return;
        }
        let row = &self.tasks[task];
        let speeds = &self.entries[row.work.entry].speeds;
        let fit = |row: &TargetRow, needs: &Needs| {
            row.usable(now) && row.reserved.is_none() && row.announcement.capacity.holds(needs) && speeds.serves(row.id)
        };
        if self.targets.rows.values().any(|row| row.reserved == Some(task)) {
            return;
        }
        let rows = self.targets.rows.iter().filter(|(_, target)| fit(target, &row.work.needs));
        if let Some(key) = rows.min_by_key(|(_, row)| (row.allocated.cores, row.allocated.tasks)).map(|(key, _)| key) {
            self.reserve_target(now, key, task);
        }
    }

    fn may_reserve(&self) -> bool {
        (self.reserved as usize) < self.targets.rows.len().div_ceil(TARGETS_PER_RESERVATION)
    }

    fn reserve_target(&mut self, now: Time, key: TargetKey, task: TaskKey) {
        self.targets.rows[key].reserved = Some(task);
        self.reserved += 1;
        self.targets.refresh(now, key);
        self.timers.push(now + RESERVATION_TIMEOUT, Timer::Reservation(key, task));
    }

    /// Starts the task that a target is kept clear for, once it fits.
    pub(crate) fn start_reserved(&mut self, now: Time, key: TargetKey) {
        let Some(row) = self.targets.get(key) else { return };
        let Some(task) = row.reserved else { return };
        let Some(work) =
            self.tasks.get(task).filter(|row| row.sub_queue.is_some() && row.work.deadline > now).map(|row| row.work)
        else {
            return self.unreserve(now, key);
        };
        let entry = &self.entries[work.entry];
        let bound = blocking_limit(&entry.entry, &entry.share, &entry.allocated, &work.needs).is_some();
        if !bound && row.usable(now) && row.fits_beside(&row.allocated, &work.needs) {
            self.unreserve(now, key);
            self.start(now, task, key, false);
        }
    }

    /// Gives a target that was kept clear back to all.
    pub(crate) fn unreserve(&mut self, now: Time, key: TargetKey) {
        let Some(row) = self.targets.get_mut(key) else { return };
        if row.reserved.take().is_some() {
            self.reserved -= 1;
            self.targets.refresh(now, key);
        }
    }

    /// A target was kept clear long enough.
    pub(crate) fn expire_reservation(&mut self, now: Time, key: TargetKey, task: TaskKey) {
        if self.targets.get(key).is_some_and(|row| row.reserved == Some(task)) {
            self.unreserve(now, key);
            self.fill_target(now, key);
        }
    }
}
