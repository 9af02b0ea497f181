//! Second attempts beside a first one that is late, or whose target is lost or silent.

use crate::eject::Reason;
use crate::place::Seek;
use crate::tasks::Phase;
use crate::timers::Timer;
use crate::{Dispatch, Repeat, TargetKey};
use mangogw_model::Time;
use std::time::Duration;

/// The part of an entry's hedge budget that counts, by class.
pub(crate) const BY_CLASS: [f64; 3] = [1.0, 0.5, 0.25];
/// How unlikely it must be that healthy attempts run so long, all of them, for a target to be taken for silent.
const CHANCE: f32 = 1e-6;
/// The shortest time after which an attempt is looked at again.
const AGAIN: Duration = Duration::from_millis(20);
/// What became of a second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Second {
    /// It left.
    Sent,
    /// No target has room.
    NoRoom,
    /// It is not allowed, or not now.
    Denied,
}

impl Dispatch {
    /// An attempt has run longer than such tasks do.
    pub(crate) fn overdue(&mut self, now: Time, serial: u64) {
        let Some(row) = self.attempts.get_mut(&serial).filter(|row| row.phase != Phase::Stopping) else { return };
        let (target, ran) = (row.target, now - row.started);
        self.listen(now, target);
        if self.attempts.contains_key(&serial) && self.second(now, serial) != Second::Sent {
            self.timers.push(now + (ran / 2).max(AGAIN), Timer::Overdue(serial));
        }
    }

    /// Takes a target out that has gone silent: attempts are late, and it has answered nothing since they started.
    fn listen(&mut self, now: Time, key: TargetKey) {
        let Some(target) = self.targets.get(key).filter(|row| !row.health.probing() && row.lease > now) else { return };
        let unheard = target.attempts.iter().filter_map(|serial| self.attempts.get(serial));
        let unheard = unheard.filter(|row| row.phase == Phase::Running && row.started > target.health.heard);
        let chance: f32 = unheard
            .map(|row| {
                let usual = row.size - self.speed_at(key, row.entry);
                let ran = ((now - row.started).as_micros().max(1) as f32).log2();
                self.entries[row.entry].sizes.spread.beyond(ran - usual - self.doubt_at(key, row.entry))
            })
            .product();
        if chance < CHANCE {
            self.eject(now, key, Reason::Silent);
        }
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
        let bad = self.targets.get(row.target).is_none_or(|row| row.health.probing() || row.lease <= now);
        let entry = &self.entries[entry];
        let paid = if bad { entry.retries.there() } else { entry.hedges.there() };
        if task.work.repeat != Repeat::Allowed
            || task.attempts.len() != 1
            || u32::from(task.tries) >= entry.entry.retry.tries
            || !paid
            || row.phase != Phase::Running
        {
            return Second::Denied;
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
