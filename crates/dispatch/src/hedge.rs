//! Hedging: starts a second attempt of a task that is late, or whose target is lost, silent or slow.

use crate::eject::EjectionReason;
use crate::place::PlacementRequest;
use crate::targets::TargetRow;
use crate::tasks::Phase;
use crate::timers::Timer;
use crate::{Dispatch, RepeatPolicy, TargetKey};
use mangogw_model::{Class, Time};
use std::time::Duration;

/// Factor on the hedge budget of an entry, by class.
pub(crate) const HEDGE_BUDGET_FACTORS: [f64; 3] = [1.0, 0.5, 0.25];
/// A target counts as silent if the probability that all its attempts run this long on a healthy target is below this.
const SILENCE_PROBABILITY: f32 = 1e-6;
/// Minimum number of expected answers before a target can be found slow.
const MIN_EXPECTED_ANSWERS: f32 = 20.0;
/// A target is slow if the expected answers exceed the received ones by this factor.
const SLOW_ANSWER_RATIO: f32 = 5.0;
/// Time during which the late tasks of a slow target may use the retry budget for second attempts.
const SLOW_PERIOD: Duration = Duration::from_secs(10);
/// Number of samples that the learned speed of a slow target counts for afterwards.
const SLOW_MAX_SAMPLES: u32 = 4;
/// Minimum time until an overdue attempt is checked again.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Result of an attempt to start a hedge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HedgeOutcome {
    /// The second attempt was started.
    Sent,
    /// No target has capacity, or the retry budget is used up for now.
    NoCapacity,
    /// A second attempt is not allowed, or not at this time.
    Denied,
}

impl Dispatch {
    /// Handles an attempt that has run longer than expected: past the hedge quantile of its entry, or past half of the
    /// time of an urgent task.
    pub(crate) fn check_overdue(&mut self, now: Time, serial: u64) {
        let Some(row) = self.attempts.get_mut(&serial).filter(|row| row.phase != Phase::Stopping) else { return };
        let (target, age) = (row.target, now - row.started);
        self.check_responsiveness(now, target, serial);
        if self.attempts.contains_key(&serial) && self.start_hedge(now, serial) != HedgeOutcome::Sent {
            self.timers.push(now + (age / 2).max(MIN_RECHECK_INTERVAL), Timer::Overdue(serial));
        }
    }

    /// Ejects a target that has become silent, and marks one that answers too slowly.
    fn check_responsiveness(&mut self, now: Time, key: TargetKey, late: u64) {
        let Some(target) = self.targets.get(key).filter(|row| !row.health.is_ejected() && row.lease > now) else {
            return;
        };
        let last_response = target.health.last_response;
        let running = target.attempts.iter().filter_map(|serial| self.attempts.get(serial));
        let (mut probability, mut work, mut count) = (1.0, 0.0, 0.0);
        for row in running.filter(|row| row.phase == Phase::Running) {
            let speed = self.speed_at(key, row.entry);
            let log = run_time_log2(now, row.started) - (row.size - speed) - self.speed_margin_at(key, row.entry);
            probability *= if row.started > last_response {
                self.entries[row.entry].sizes.errors.fraction_above(log)
            } else {
                1.0
            };
            work += row.charge / speed.exp2();
            count += 1.0;
        }
        match () {
            () if probability < SILENCE_PROBABILITY => self.eject(now, key, EjectionReason::Silent),
            () if !target.health.is_slow(now) && self.is_lagging(now, target, late, count * count / work) => {
                self.mark_slow(now, key);
            }
            () => {}
        }
    }

    /// True if far fewer answers came since the late attempt started than the expected `rate` per microsecond gives.
    fn is_lagging(&self, now: Time, target: &TargetRow, late: u64, rate: f32) -> bool {
        let Some(row) = self.attempts.get(&late).filter(|row| row.phase == Phase::Running) else { return false };
        let is_learned = self.entries.get(row.entry).is_some_and(|entry| entry.speeds.is_learned(target.id));
        let expected = (now - row.started).as_micros() as f32 * rate;
        let received = target.answers.wrapping_sub(row.start_answers) as f32;
        is_learned && expected >= MIN_EXPECTED_ANSWERS && received * SLOW_ANSWER_RATIO < expected
    }

    /// Learns the speed of a slow target from its running attempts, and hedges those that may be repeated.
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

    /// Starts a second attempt beside `serial` if it is allowed, the budget covers it and another target has capacity.
    pub(crate) fn start_hedge(&mut self, now: Time, serial: u64) -> HedgeOutcome {
        let Some(row) = self.attempts.get(&serial) else { return HedgeOutcome::Denied };
        let (key, entry) = (row.task, row.entry);
        let Some(task) = self.tasks.get(key) else { return HedgeOutcome::Denied };
        let uses_retries = self
            .targets
            .get(row.target)
            .is_none_or(|row| row.health.is_ejected() || row.health.is_slow(now) || row.lease <= now);
        // Once half of its time has passed, an urgent task may use the retry budget: later there is no time for another
        // try.
        let is_pressing = row.class == Class::Urgent && task.spec.deadline - now <= now - row.started;
        let uses_retries = uses_retries || is_pressing;
        let entry = &self.entries[entry];
        let has_budget = if uses_retries { entry.retries.has_try() } else { entry.hedges.has_try() };
        if task.spec.repeat != RepeatPolicy::Allowed
            || task.attempts.len() != 1
            || u32::from(task.tries) >= entry.entry.retry.tries
            || row.phase != Phase::Running
        {
            return HedgeOutcome::Denied;
        }
        if !has_budget {
            return if uses_retries { HedgeOutcome::NoCapacity } else { HedgeOutcome::Denied };
        }
        let request = PlacementRequest { avoid: Some(row.target), ..self.placement_request(key) };
        let (size, entry) = (row.size, row.entry);
        let is_blocked = {
            let row = &self.entries[entry];
            crate::limits::blocking_limit(&row.entry, &row.share, &row.allocated, &request.needs).is_some()
        };
        let Some(target) = self.best_target(now, &request).filter(|_| !is_blocked) else {
            return HedgeOutcome::NoCapacity;
        };
        let run = (size - self.speed_at(target, entry)).exp2();
        if now + Duration::from_micros(run as u64) > self.tasks[key].spec.deadline {
            return HedgeOutcome::Denied;
        }
        let row = &mut self.entries[entry];
        if uses_retries {
            self.waste.retries += u64::from(row.retries.spend());
        } else {
            self.waste.hedges += u64::from(row.hedges.spend());
        }
        self.start(now, key, target, true);
        HedgeOutcome::Sent
    }
}

/// Returns the base-2 logarithm of the time since the start, in microseconds.
fn run_time_log2(now: Time, started: Time) -> f32 {
    ((now - started).as_micros().max(1) as f32).log2()
}
