//! What came of attempts: room is given back, speeds are learned, targets are judged, tasks end or go on.

use crate::eject::EjectionReason;
use crate::hedge::HedgeOutcome;
use crate::speed::RobustMean;
use crate::tasks::{AttemptRow, Phase};
use crate::timers::Timer;
use crate::{Action, AttemptReport, Dispatch, End, EntryKey, Refusal, RepeatPolicy, TargetKey, TaskKey};
use mangogw_model::{AttemptId, Code, Time};
use std::time::Duration;

/// Sends of one task that targets may turn down.
const MAX_SENDS: u8 = 16;
/// Doublings from the average beyond which no target is told apart.
const MAX_SPEED_LOG2: f32 = 4.0;
/// Samples after which the speed of late is compared with the learned one.
const WINDOW_SAMPLES: u32 = 48;
/// Doublings by which a speed must have changed to be learned anew.
const RELEARN_LOG2: f32 = 0.7;
/// Doublings by which a target must have slowed down to be given fewer tasks at once.
const SLOWDOWN_LOG2: f32 = 1.0;
/// The part of its slots that a slow target keeps at least.
const MIN_LIMIT_DIVISOR: u32 = 4;
/// How long a task waits for another target than the one that turned it down.
const OTHER_TARGET_WAIT: Duration = Duration::from_millis(20);

impl Dispatch {
    /// Takes what the shell saw of an attempt. A second report on one attempt, or one of another host, is dropped.
    pub fn report(&mut self, now: Time, attempt: AttemptId, report: AttemptReport) {
        if attempt.host() != self.settings.host || attempt.incarnation() != self.settings.incarnation {
            self.waste.crossed += 1;
            return;
        }
        match report {
            AttemptReport::Throttled | AttemptReport::Checkpointed | AttemptReport::Declined => {
                self.record_preemption(now, attempt.serial(), report);
            }
            _ => self.close_attempt(now, attempt.serial(), report),
        }
    }

    /// Cancels a task. One that may be running is told to stop; one that was not started costs no message.
    pub fn cancel(&mut self, now: Time, task: TaskKey) {
        let Some(row) = self.tasks.get(task) else { return };
        let started = !row.attempts.is_empty() || row.run_code.is_some();
        let code = if started { Code::CancelledRunning } else { Code::Cancelled };
        self.end_task(now, task, End::Refused(code.into()));
    }

    /// Cancels many tasks, each at constant cost.
    pub fn cancel_all(&mut self, now: Time, tasks: impl IntoIterator<Item = TaskKey>) {
        for task in tasks {
            self.cancel(now, task);
        }
    }

    /// Ends an attempt.
    pub(crate) fn close_attempt(&mut self, now: Time, serial: u64, report: AttemptReport) {
        let Some(row) = self.attempts.swap_remove(&serial) else {
            self.waste.late += u64::from(report == AttemptReport::Answered);
            return;
        };
        self.release(now, serial, &row);
        self.learn_speed(now, &row, report);
        self.update_health(now, serial, &row, report);
        let mine = self.tasks.get_mut(row.task).is_some_and(|task| {
            let before = task.attempts.len();
            task.attempts.retain(|other| *other != serial);
            task.attempts.len() < before
        });
        if mine {
            self.resolve_task(now, serial, &row, report);
        } else {
            self.waste.late += u64::from(report == AttemptReport::Answered);
        }
        self.fill_target(now, row.target);
        self.start_limited(now, row.entry);
    }

    /// Starts what waited for a bound of an entry.
    pub(crate) fn start_limited(&mut self, now: Time, entry: EntryKey) {
        let bound = self.entries.get(entry).is_some_and(|row| {
            let quota = &row.entry.quota;
            row.waiting > 0
                && (row.entry.limits.concurrency > 0
                    || quota.cores > 0
                    || quota.memory_mb > 0
                    || quota.accelerators > 0)
        });
        if bound {
            self.start_waiting(now, entry);
        }
    }

    /// Ends a task: it leaves the queue, and what runs of it is stopped.
    pub(crate) fn end_task(&mut self, now: Time, task: TaskKey, end: End) {
        self.dequeue(task);
        let Some(row) = self.tasks.remove(task) else { return };
        self.entries[row.work.entry].tasks -= 1;
        for serial in row.attempts {
            self.stop_attempt(now, serial);
        }
        self.actions.push(Action::End { task, end });
    }

    /// Tells the target of an attempt to stop it. It keeps its room until it is heard of, or the lease time is over.
    pub(crate) fn stop_attempt(&mut self, now: Time, serial: u64) {
        let Some(row) = self.attempts.get_mut(&serial) else { return };
        let target = row.target;
        row.was_checkpointed |= row.phase == Phase::Checkpointed;
        row.phase = Phase::Stopping;
        let attempt = self.attempt_id(serial);
        self.actions.push(Action::Stop { attempt, target });
        self.waste.stops += 1;
        self.timers.push(now + self.settings.lease, Timer::StopTimeout(serial));
    }

    /// The id of an attempt of this core.
    pub(crate) fn attempt_id(&self, serial: u64) -> AttemptId {
        AttemptId::new(self.settings.host, self.settings.incarnation, serial)
    }

    /// Gives back what an attempt held.
    fn release(&mut self, now: Time, serial: u64, row: &AttemptRow) {
        let holds = row.phase != Phase::Checkpointed && !row.was_checkpointed;
        let entry = &mut self.entries[row.entry];
        if holds {
            entry.allocated.sub(&row.needs);
        }
        self.uncount_in_domain(row);
        let Some(target) = self.targets.get_mut(row.target) else { return };
        if holds {
            target.allocated.sub(&row.needs);
        }
        target.attempts.retain(|other| *other != serial);
        target.preempted.retain(|other| *other != serial);
        if let Some(out) = target.health.ejection.as_mut().filter(|out| out.probe_serial == Some(serial)) {
            // Judged below if it failed or was answered; a probe that came to nothing frees the way for the next.
            out.next_probe = out.next_probe.max(now);
        }
        if row.class == mangogw_model::Class::Batch {
            self.targets.count_batch(row.target, false);
        }
    }

    /// Takes an attempt out of the count of its job.
    fn uncount_in_domain(&mut self, row: &AttemptRow) {
        let domain = row.domain;
        if let Some(places) = self.jobs.get_mut(&row.job) {
            places.iter_mut().filter(|(at, _)| *at == domain).for_each(|(_, count)| *count = count.saturating_sub(1));
            places.retain(|(_, count)| *count > 0);
            if places.is_empty() {
                self.jobs.swap_remove(&row.job);
            }
        }
    }

    /// Learns from an answer; a failure, however fast, teaches nothing of speed.
    fn learn_speed(&mut self, now: Time, row: &AttemptRow, report: AttemptReport) {
        let Some(target) = self.targets.rows.get_mut(row.target) else { return };
        let entry = &mut self.entries[row.entry];
        let ran = ((now - row.started).as_micros().max(1) as f32).log2();
        if !entry.speeds.serves(target.id) || row.was_preempted {
            return;
        }
        let speed = entry.speeds.speed(target.id);
        let sample = (row.size - ran).clamp(-MAX_SPEED_LOG2, MAX_SPEED_LOG2);
        match row.phase {
            // It ran at least so long: that can only show that the target is slower than thought.
            Phase::Stopping if sample < speed => {}
            Phase::Running if report == AttemptReport::Answered => entry.sizes.push(row.hint, ran + speed),
            _ => return,
        }
        target.recent_speed.push(sample);
        let turn = target.recent_speed.count >= WINDOW_SAMPLES;
        let drift = target.recent_speed.value - target.speed.value;
        let forget = turn && drift.abs() > RELEARN_LOG2 && target.speed.count > 2 * WINDOW_SAMPLES;
        if turn {
            target.limit =
                adjusted_limit(target.limit, target.announcement.capacity.slots, if forget { drift } else { 0.0 });
            target.recent_speed = RobustMean::default();
        }
        if forget {
            target.speed.count = target.speed.count.min(WINDOW_SAMPLES / 2);
        }
        entry.speeds.push(target.id, sample, target.speed, forget);
        target.speed.push(sample);
    }

    /// Charges the owner for what ran, and judges the target.
    fn update_health(&mut self, now: Time, serial: u64, row: &AttemptRow, report: AttemptReport) {
        let draw = self.random_unit();
        let entry = &mut self.entries[row.entry];
        let unsent = report == AttemptReport::NotStarted;
        if let Some(target) = self.targets.get(row.target) {
            let speed = if entry.speeds.serves(target.id) { entry.speeds.speed(target.id) } else { 0.0 };
            let real = (now - row.started).as_micros() as f64 * f64::from(speed.exp2());
            let owed = if unsent { 0.0 } else { real };
            self.queue.charge(row.class, row.owner, owed - f64::from(row.charge));
        }
        let bad = matches!(report, AttemptReport::Failed | AttemptReport::Truncated);
        let own_fault = bad && entry.failed.is_entry_fault(entry.speeds.members);
        if let Some(target) = self.targets.get(row.target).filter(|_| bad || report == AttemptReport::Answered) {
            entry.failed.push(target.id, bad);
        }
        let blameless = row.phase == Phase::Stopping && report != AttemptReport::Lost || own_fault;
        let Some(target) = self.targets.get_mut(row.target) else { return };
        match report {
            AttemptReport::Answered | AttemptReport::TooLarge => {
                target.answers = target.answers.wrapping_add(1);
                if target.health.record_answer(now, serial) {
                    self.readmit(row.target);
                }
            }
            _ if blameless => target.health.record_neutral(now, serial),
            _ => {
                if target.health.record_failure(now, serial, draw) {
                    self.eject(now, row.target, EjectionReason::Failing);
                } else if let Some(out) = target.health.ejection {
                    self.timers.push(out.next_probe, Timer::Probe(row.target));
                }
            }
        }
    }

    /// Decides what a closed attempt means for its task.
    fn resolve_task(&mut self, now: Time, serial: u64, row: &AttemptRow, report: AttemptReport) {
        let task = row.task;
        let state = &mut self.tasks[task];
        if report == AttemptReport::Answered {
            self.waste.lost_hedges += u64::from(row.hedge || !state.attempts.is_empty());
            return self.end_task(now, task, End::Answered(self.attempt_id(serial)));
        }
        let code = match report {
            AttemptReport::Truncated => Some(Code::AnswerCut),
            AttemptReport::TooLarge => Some(Code::AnswerTooLarge),
            AttemptReport::Lost => Some(Code::TargetLost),
            AttemptReport::NotStarted => None,
            _ => Some(Code::TargetFailed),
        };
        state.run_code = code.or(state.run_code);
        state.avoid = Some(row.target);
        match code {
            _ if !state.attempts.is_empty() && report != AttemptReport::TooLarge => {}
            None if state.run_code.is_none() => {
                self.waste.unsent += 1;
                if state.tries < MAX_SENDS {
                    self.retry(now, task);
                } else {
                    self.end_task(now, task, End::Refused(Code::NoCapacity.into()));
                }
            }
            _ if report != AttemptReport::TooLarge && self.spend_retry(task) => {
                self.waste.retries += 1;
                self.retry(now, task);
            }
            code => {
                let code = code.or(self.tasks[task].run_code).unwrap_or(Code::TargetFailed);
                self.end_task(now, task, End::Refused(Refusal::from(code)));
            }
        }
    }

    /// True if one more try is allowed; it is then paid for.
    fn spend_retry(&mut self, task: TaskKey) -> bool {
        let row = &self.tasks[task];
        let entry = &mut self.entries[row.work.entry];
        row.work.repeat == RepeatPolicy::Allowed
            && u32::from(row.tries) < entry.entry.retry.tries
            && entry.retries.spend()
    }

    /// Puts a task up for another target.
    fn retry(&mut self, now: Time, task: TaskKey) {
        if !self.try_start(now, task) {
            self.enqueue(task);
            self.timers.push(now + OTHER_TARGET_WAIT, Timer::PlacementTimeout(task));
        }
    }

    /// Takes a target out, unless too many are out already.
    pub(crate) fn eject(&mut self, now: Time, key: TargetKey, why: EjectionReason) {
        let draw = self.random_unit();
        let spared = !self.can_eject(now, key);
        let row = &mut self.targets.rows[key];
        if spared {
            return row.health.defer_ejection(now);
        }
        row.health.eject(now, why, draw);
        let until = row.health.ejection.map_or(now, |out| out.next_probe);
        let rack = row.rack as usize;
        self.targets.racks[rack].ejected += 1;
        self.timers.push(until, Timer::Probe(key));
        self.waste.ejections += 1;
        self.unreserve(now, key);
        self.targets.refresh(now, key);
        self.mark_supply_stale(key);
        self.hedge_target(now, key);
        self.eject_rack(now, rack, why);
    }

    /// Takes the rest of a rack out once most of it is.
    fn eject_rack(&mut self, now: Time, rack: usize, why: EjectionReason) {
        let Some((name, row)) = self.targets.racks.get_index(rack) else { return };
        if why == EjectionReason::Rack || name.as_str().is_empty() || row.targets < 3 || row.ejected * 2 < row.targets {
            return;
        }
        let rest: Vec<_> = self
            .targets
            .rows
            .iter()
            .filter(|(_, row)| row.rack as usize == rack && row.health.is_suspected())
            .map(|(key, _)| key)
            .collect();
        for key in rest {
            self.eject(now, key, EjectionReason::Rack);
        }
    }

    /// True if every entry that a target serves keeps at least half of its targets without it.
    fn can_eject(&self, now: Time, key: TargetKey) -> bool {
        self.targets.rows[key].entries.iter().all(|&entry| {
            let (mut all, mut out) = (0, 1);
            for (_, row) in self.targets.rows.iter().filter(|(_, row)| row.entries.contains(&entry)) {
                if !row.leaving && row.lease > now {
                    all += 1;
                    out += u32::from(row.health.is_ejected());
                }
            }
            out * 2 <= all
        })
    }

    fn readmit(&mut self, key: TargetKey) {
        let rack = self.targets.rows[key].rack as usize;
        self.targets.racks[rack].ejected -= 1;
        self.mark_supply_stale(key);
    }

    /// Tries the tasks that run on a target that is lost or silent elsewhere, where they may be.
    pub(crate) fn hedge_target(&mut self, now: Time, key: TargetKey) {
        let serials = self.targets.rows[key].attempts.clone();
        for serial in serials {
            if self.start_hedge(now, serial) == HedgeOutcome::NoCapacity {
                self.timers.push(now + OTHER_TARGET_WAIT, Timer::Overdue(serial));
            }
        }
    }

    /// Brings the learned speeds back around 1, so that sizes and speeds can't drift apart together.
    pub(crate) fn centre_speeds(&mut self) {
        self.align_speeds();
        let (mut sum, mut count) = (0.0, 0.0);
        for row in self.targets.rows.values().filter(|row| row.speed.count > 0) {
            sum += row.speed.value;
            count += 1.0;
        }
        let shift: f32 = if count > 0.0 { -sum / count } else { 0.0 };
        if shift.abs() < 0.25 {
            return;
        }
        self.targets.rows.values_mut().filter(|row| row.speed.count > 0).for_each(|row| row.speed.value += shift);
        for row in self.entries.values_mut() {
            row.speeds.shift(shift);
            row.sizes.shift(shift);
            row.supply.stale = true;
        }
    }

    /// Brings the speeds learned by each entry to the common scale, so that owners are charged alike.
    fn align_speeds(&mut self) {
        for entry in self.entries.values_mut() {
            let (mut sum, mut count) = (0.0, 0.0);
            for row in self.targets.rows.values().filter(|row| entry.speeds.is_learned(row.id)) {
                sum += row.speed.value - entry.speeds.speed(row.id);
                count += 1.0;
            }
            let shift: f32 = if count > 0.0 { sum / count } else { 0.0 };
            if shift.abs() > 0.02 {
                entry.speeds.shift(shift);
                entry.sizes.shift(shift);
            }
        }
    }
}

/// The tasks a target may hold at once, after its speed has changed by `drift` doublings.
fn adjusted_limit(limit: u32, slots: u32, drift: f32) -> u32 {
    match drift {
        _ if drift < -SLOWDOWN_LOG2 => (limit * 3 / 4).max(slots.div_ceil(MIN_LIMIT_DIVISOR)),
        _ => (limit + 1).min(slots),
    }
}
