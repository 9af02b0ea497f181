//! Second attempts beside a first one that is late, or whose target is lost or silent.

use crate::eject::EjectionReason;
use crate::place::PlacementRequest;
use crate::targets::TargetRow;
use crate::tasks::Phase;
use crate::timers::Timer;
use crate::{Dispatch, RepeatPolicy, TargetKey};
use mangogw_model::{Class, Time};
use std::time::Duration;

/// The part of an entry's hedge budget that counts, by class.
pub(crate) const HEDGE_BUDGET_FACTORS: [f64; 3] = [1.0, 0.5, 0.25];
/// How unlikely it must be that healthy attempts run so long, all of them, for a target to be taken for silent.
const SILENCE_PROBABILITY: f32 = 1e-6;
/// Answers that must have been expected of a target before it can be found slow.
const MIN_EXPECTED_ANSWERS: f32 = 20.0;
/// It is slow if so many times more answers were expected than came.
const SLOW_ANSWER_RATIO: f32 = 5.0;
/// How long a target that has slowed down has its tasks tried elsewhere once they are late.
const SLOW_PERIOD: Duration = Duration::from_secs(10);
/// Samples that what was learned of such a target counts for.
const SLOW_MAX_SAMPLES: u32 = 4;
/// The shortest time after which an attempt is looked at again.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// What became of a second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HedgeOutcome {
    /// It left.
    Sent,
    /// No target has room, or the budget of retries is used up for now.
    NoCapacity,
    /// It is not allowed, or not now.
    Denied,
}

impl Dispatch {
    /// An attempt has run longer than such tasks do.
    pub(crate) fn overdue(&mut self, now: Time, serial: u64) {
        let Some(row) = self.attempts.get_mut(&serial).filter(|row| row.phase != Phase::Stopping) else { return };
        let (target, age) = (row.target, now - row.started);
        self.check_responsiveness(now, target, serial);
        if self.attempts.contains_key(&serial) && self.start_hedge(now, serial) != HedgeOutcome::Sent {
            self.timers.push(now + (age / 2).max(MIN_RECHECK_INTERVAL), Timer::Overdue(serial));
        }
    }

    /// Takes a target out that has gone silent, and tries the tasks of one that has slowed down elsewhere.
    fn check_responsiveness(&mut self, now: Time, key: TargetKey, late: u64) {
        let Some(target) = self.targets.get(key).filter(|row| !row.health.is_ejected() && row.lease > now) else {
            return;
        };
        let heard = target.health.last_response;
        let running = target.attempts.iter().filter_map(|serial| self.attempts.get(serial));
        let (mut chance, mut work, mut count) = (1.0, 0.0, 0.0);
        for row in running.filter(|row| row.phase == Phase::Running) {
            let speed = self.speed_at(key, row.entry);
            let log = run_time_log2(now, row.started) - (row.size - speed) - self.speed_margin_at(key, row.entry);
            chance *= if row.started > heard { self.entries[row.entry].sizes.spread.fraction_above(log) } else { 1.0 };
            work += row.charge / speed.exp2();
            count += 1.0;
        }
        match () {
            () if chance < SILENCE_PROBABILITY => self.eject(now, key, EjectionReason::Silent),
            () if !target.health.is_slow(now) && self.is_lagging(now, target, late, count * count / work) => {
                self.mark_slow(now, key);
            }
            () => {}
        }
    }

    /// True if far fewer answers came since a late attempt started than the expected `rate`, in a microsecond.
    fn is_lagging(&self, now: Time, target: &TargetRow, late: u64, rate: f32) -> bool {
        let Some(row) = self.attempts.get(&late).filter(|row| row.phase == Phase::Running) else { return false };
        let settled = self.entries.get(row.entry).is_some_and(|entry| entry.speeds.is_learned(target.id));
        let expected = (now - row.started).as_micros() as f32 * rate;
        let came = target.answers.wrapping_sub(row.start_answers) as f32;
        settled && expected >= MIN_EXPECTED_ANSWERS && came * SLOW_ANSWER_RATIO < expected
    }

    /// Learns the speed of a target anew from what still runs there, and rescues what it may.
    fn mark_slow(&mut self, now: Time, key: TargetKey) {
        let Some(target) = self.targets.rows.get_mut(key) else { return };
        target.health.slow_until = now + SLOW_PERIOD;
        target.speed.count = target.speed.count.min(SLOW_MAX_SAMPLES);
        for serial in &target.attempts {
            let Some(row) = self.attempts.get(serial).filter(|row| row.phase == Phase::Running) else { continue };
            let speeds = &mut self.entries[row.entry].speeds;
            let sample = row.size - run_time_log2(now, row.started);
            if speeds.serves(target.id) && sample < speeds.speed(target.id) {
                speeds.push(target.id, sample, target.speed, true);
                target.speed.push(sample);
            }
        }
        self.mark_supply_stale(key);
        self.hedge_target(now, key);
    }

    fn speed_margin_at(&self, key: TargetKey, entry: crate::EntryKey) -> f32 {
        let (row, target) = (&self.entries[entry], &self.targets.rows[key]);
        if row.speeds.serves(target.id) { row.speeds.speed_margin(target.id) } else { 0.0 }
    }

    fn speed_at(&self, key: TargetKey, entry: crate::EntryKey) -> f32 {
        let (row, target) = (&self.entries[entry], &self.targets.rows[key]);
        if row.speeds.serves(target.id) { row.speeds.speed(target.id) } else { 0.0 }
    }

    /// Sends a second attempt beside `serial`, if that is allowed, paid for, and there is room elsewhere.
    pub(crate) fn start_hedge(&mut self, now: Time, serial: u64) -> HedgeOutcome {
        let Some(row) = self.attempts.get(&serial) else { return HedgeOutcome::Denied };
        let (key, entry) = (row.task, row.entry);
        let Some(task) = self.tasks.get(key) else { return HedgeOutcome::Denied };
        let bad = self
            .targets
            .get(row.target)
            .is_none_or(|row| row.health.is_ejected() || row.health.is_slow(now) || row.lease <= now);
        // Past the half of its time an urgent task may use retries: later there is no time for a second try.
        let pressing = row.class == Class::Urgent && task.work.deadline - now <= now - row.started;
        let bad = bad || pressing;
        let entry = &self.entries[entry];
        let paid = if bad { entry.retries.has_try() } else { entry.hedges.has_try() };
        if task.work.repeat != RepeatPolicy::Allowed
            || task.attempts.len() != 1
            || u32::from(task.tries) >= entry.entry.retry.tries
            || row.phase != Phase::Running
        {
            return HedgeOutcome::Denied;
        }
        if !paid {
            return if bad { HedgeOutcome::NoCapacity } else { HedgeOutcome::Denied };
        }
        let seek = PlacementRequest { avoid: Some(row.target), ..self.placement_request(key) };
        let (size, entry) = (row.size, row.entry);
        let blocked = {
            let row = &self.entries[entry];
            crate::limits::blocking_limit(&row.entry, &row.share, &row.allocated, &seek.needs).is_some()
        };
        let Some(target) = self.best_target(now, &seek).filter(|_| !blocked) else { return HedgeOutcome::NoCapacity };
        let run = (size - self.speed_at(target, entry)).exp2();
        if now + Duration::from_micros(run as u64) > self.tasks[key].work.deadline {
            return HedgeOutcome::Denied;
        }
        let row = &mut self.entries[entry];
        if bad {
            self.waste.retries += u64::from(row.retries.spend());
        } else {
            self.waste.hedges += u64::from(row.hedges.spend());
        }
        self.start(now, key, target, true);
        HedgeOutcome::Sent
    }
}

/// How long an attempt has run, as the logarithm of microseconds.
fn run_time_log2(now: Time, started: Time) -> f32 {
    ((now - started).as_micros().max(1) as f32).log2()
}
