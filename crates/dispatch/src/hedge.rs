//! Second attempts beside a first one that is late, or whose target is lost or silent.

use crate::eject::EjectionReason;
use crate::place::Seek;
use crate::targets::TargetRow;
use crate::tasks::Phase;
use crate::timers::Timer;
use crate::{Dispatch, RepeatPolicy, TargetKey};
use mangogw_model::{Class, Time};
use std::time::Duration;

/// The part of an entry's hedge budget that counts, by class.
pub(crate) const BY_CLASS: [f64; 3] = [1.0, 0.5, 0.25];
/// How unlikely it must be that healthy attempts run so long, all of them, for a target to be taken for silent.
const CHANCE: f32 = 1e-6;
/// Answers that must have been expected of a target before it can be found slow.
const EXPECTED: f32 = 20.0;
/// It is slow if so many times more answers were expected than came.
const LAG: f32 = 5.0;
/// How long a target that has slowed down has its tasks tried elsewhere once they are late.
const SLOW: Duration = Duration::from_secs(10);
/// Samples that what was learned of such a target counts for.
const FORGOTTEN: u32 = 4;
/// The shortest time after which an attempt is looked at again.
const AGAIN: Duration = Duration::from_millis(20);
/// What became of a second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Second {
    /// It left.
    Sent,
    /// No target has room, or the budget of retries is used up for now.
    NoRoom,
    /// It is not allowed, or not now.
    Denied,
}

impl Dispatch {
    /// An attempt has run longer than such tasks do.
    pub(crate) fn overdue(&mut self, now: Time, serial: u64) {
        let Some(row) = self.attempts.get_mut(&serial).filter(|row| row.phase != Phase::Stopping) else { return };
        let (target, age) = (row.target, now - row.started);
        self.listen(now, target, serial);
        if self.attempts.contains_key(&serial) && self.second(now, serial) != Second::Sent {
            self.timers.push(now + (age / 2).max(AGAIN), Timer::Overdue(serial));
        }
    }

    /// Takes a target out that has gone silent, and tries the tasks of one that has slowed down elsewhere.
    fn listen(&mut self, now: Time, key: TargetKey, late: u64) {
        let Some(target) = self.targets.get(key).filter(|row| !row.health.probing() && row.lease > now) else { return };
        let heard = target.health.heard;
        let running = target.attempts.iter().filter_map(|serial| self.attempts.get(serial));
        let (mut chance, mut work, mut count) = (1.0, 0.0, 0.0);
        for row in running.filter(|row| row.phase == Phase::Running) {
            let speed = self.speed_at(key, row.entry);
            let log = ran(now, row.started) - (row.size - speed) - self.doubt_at(key, row.entry);
            chance *= if row.started > heard { self.entries[row.entry].sizes.spread.beyond(log) } else { 1.0 };
            work += row.charge / speed.exp2();
            count += 1.0;
        }
        match () {
            () if chance < CHANCE => self.eject(now, key, EjectionReason::Silent),
            () if !target.health.slow(now) && self.lags(now, target, late, count * count / work) => {
                self.slowed(now, key);
            }
            () => {}
        }
    }

    /// True if far fewer answers came since a late attempt started than the expected `rate`, in a microsecond.
    fn lags(&self, now: Time, target: &TargetRow, late: u64, rate: f32) -> bool {
        let Some(row) = self.attempts.get(&late).filter(|row| row.phase == Phase::Running) else { return false };
        let settled = self.entries.get(row.entry).is_some_and(|entry| entry.speeds.settled(target.id));
        let expected = (now - row.started).as_micros() as f32 * rate;
        let came = target.answers.wrapping_sub(row.seen) as f32;
        settled && expected >= EXPECTED && came * LAG < expected
    }

    /// Learns the speed of a target anew from what still runs there, and rescues what it may.
    fn slowed(&mut self, now: Time, key: TargetKey) {
        let Some(target) = self.targets.rows.get_mut(key) else { return };
        target.health.slow_until = now + SLOW;
        target.speed.count = target.speed.count.min(FORGOTTEN);
        for serial in &target.attempts {
            let Some(row) = self.attempts.get(serial).filter(|row| row.phase == Phase::Running) else { continue };
            let speeds = &mut self.entries[row.entry].speeds;
            let sample = row.size - ran(now, row.started);
            if speeds.serves(target.id) && sample < speeds.speed(target.id) {
                speeds.push(target.id, sample, target.speed, true);
                target.speed.push(sample);
            }
        }
        self.stale(key);
        self.rescue(now, key);
    }

    fn doubt_at(&self, key: TargetKey, entry: crate::EntryKey) -> f32 {
        let (row, target) = (&self.entries[entry], &self.targets.rows[key]);
        if row.speeds.serves(target.id) { row.speeds.doubt(target.id) } else { 0.0 }
    }

    fn speed_at(&self, key: TargetKey, entry: crate::EntryKey) -> f32 {
        let (row, target) = (&self.entries[entry], &self.targets.rows[key]);
        if row.speeds.serves(target.id) { row.speeds.speed(target.id) } else { 0.0 }
    }

    /// Sends a second attempt beside `serial`, if that is allowed, paid for, and there is room elsewhere.
    pub(crate) fn second(&mut self, now: Time, serial: u64) -> Second {
        let Some(row) = self.attempts.get(&serial) else { return Second::Denied };
        let (key, entry) = (row.task, row.entry);
        let Some(task) = self.tasks.get(key) else { return Second::Denied };
        let bad = self
            .targets
            .get(row.target)
            .is_none_or(|row| row.health.probing() || row.health.slow(now) || row.lease <= now);
        // Past the half of its time an urgent task may use retries: later there is no time for a second try.
        let pressing = row.class == Class::Urgent && task.work.deadline - now <= now - row.started;
        let bad = bad || pressing;
        let entry = &self.entries[entry];
        let paid = if bad { entry.retries.there() } else { entry.hedges.there() };
        if task.work.repeat != RepeatPolicy::Allowed
            || task.attempts.len() != 1
            || u32::from(task.tries) >= entry.entry.retry.tries
            || row.phase != Phase::Running
        {
            return Second::Denied;
        }
        if !paid {
            return if bad { Second::NoRoom } else { Second::Denied };
        }
        let seek = Seek { avoid: Some(row.target), ..self.seek(key) };
        let (size, entry) = (row.size, row.entry);
        let blocked = {
            let row = &self.entries[entry];
            crate::limits::blocked(&row.entry, &row.share, &row.held, &seek.needs).is_some()
        };
        let Some(target) = self.best(now, &seek).filter(|_| !blocked) else { return Second::NoRoom };
        let run = (size - self.speed_at(target, entry)).exp2();
        if now + Duration::from_micros(run as u64) > self.tasks[key].work.deadline {
            return Second::Denied;
        }
        let row = &mut self.entries[entry];
        if bad {
            self.waste.retries += u64::from(row.retries.spend());
        } else {
            self.waste.hedges += u64::from(row.hedges.spend());
        }
        self.start(now, key, target, true);
        Second::Sent
    }
}

/// How long an attempt has run, as the logarithm of microseconds.
fn ran(now: Time, started: Time) -> f32 {
    ((now - started).as_micros().max(1) as f32).log2()
}
