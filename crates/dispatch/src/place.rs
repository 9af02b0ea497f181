//! Placement: chooses the best free target for a task, and the best waiting task for a free target.

use crate::limits::blocking_limit;
use crate::queue::SubQueueKey;
use crate::speed::{TARGET_CATEGORIES, speed_of};
use crate::targets::TargetRow;
use crate::tasks::{AttemptRow, Phase};
use crate::timers::Timer;
use crate::{Action, Dispatch, EntryKey, RepeatPolicy, TargetKey, TaskKey};
use mangogw_model::{AttemptId, Class, Needs, Time};
use std::time::Duration;

/// Factor on the cost of a task without accelerators on a target that has some.
const ACCELERATOR_MISUSE_FACTOR: f32 = 1.5;
/// Maximum number of equal targets compared to spread the tasks of a job.
const MAX_SPREAD_CANDIDATES: usize = 4;
/// Age at which an up-to-date supply is recomputed.
const MAX_SUPPLY_AGE: Duration = Duration::from_millis(500);
/// Minimum age at which a stale supply is recomputed.
const MIN_SUPPLY_AGE: Duration = Duration::from_millis(20);
/// If the queue takes longer than this number of run times, its first task takes any target.
const LONG_QUEUE_RUNS: f64 = 2.0;
/// Fraction of the arrival rate that is assumed to use the faster targets. At 1.0, slower targets join in every short
/// burst: p99 over the reference is 1.18 to 1.23 on the worst seed, against 1.13 with 0.8 and 1.18 with 0.7.
const ARRIVAL_RATE_FACTOR: f32 = 0.8;
/// Probability of missing the deadline above which another task takes the slot, if that task is below it.
const MAX_MISS_PROBABILITY: f32 = 0.01;
/// Time that a task waits without a fitting target before a target is reserved for it.
pub(crate) const RESERVATION_DELAY: Duration = Duration::from_millis(200);

/// Properties of a task that decide which targets are eligible.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementRequest {
    pub(crate) entry: EntryKey,
    pub(crate) needs: Needs,
    pub(crate) size: f32,
    pub(crate) repeat: RepeatPolicy,
    pub(crate) job: u64,
    pub(crate) avoid: Option<TargetKey>,
}

impl Dispatch {
    pub(crate) fn placement_request(&self, task: TaskKey) -> PlacementRequest {
        let row = &self.tasks[task];
        PlacementRequest {
            entry: row.spec.entry,
            needs: row.spec.needs,
            size: row.size,
            repeat: row.spec.repeat,
            job: row.spec.job,
            avoid: row.avoid,
        }
    }

    /// Returns the eligible free target with the lowest cost.
    pub(crate) fn best_target(&self, now: Time, request: &PlacementRequest) -> Option<TargetKey> {
        let speeds = &self.entries[request.entry].speeds;
        let candidates = self.targets.with_cores(request.needs.cores);
        if candidates.is_empty() {
            return None;
        }
        let mut best: Option<(f32, TargetKey)> = None;
        for category in 0..TARGET_CATEGORIES {
            if request.needs.accelerators > 0 && category & 1 == 0 {
                continue;
            }
            for step in crate::bits::ones(speeds.used_steps[category]) {
                let cost = self.cost(request, category, speed_of(step as usize));
                if best.is_some_and(|(lowest, _)| lowest <= cost) {
                    break;
                }
                let set = speeds.step_members(category, step as usize);
                let (mut found, mut least, mut tried) = (None, u32::MAX, 0);
                let _ = set.find_common(candidates, self.cursor, |id| match self.targets.by_id(id) {
                    Some((key, row)) if is_eligible(now, row, key, request) => {
                        let job_tasks = if request.job == 0 { 0 } else { self.job_tasks_near(request.job, row) };
                        if job_tasks < least {
                            (found, least) = (Some(key), job_tasks);
                        }
                        tried += 1;
                        job_tasks == 0 || tried >= MAX_SPREAD_CANDIDATES
                    }
                    _ => false,
                });
                if let Some(key) = found {
                    best = Some((cost, key));
                    break;
                }
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the expected run time in microseconds, plus the extra cost of the target's category.
    fn cost(&self, request: &PlacementRequest, category: usize, speed: f32) -> f32 {
        let run = (request.size - speed).exp2();
        let misuse = if category & 1 == 1 && request.needs.accelerators == 0 { ACCELERATOR_MISUSE_FACTOR } else { 1.0 };
        let zone_rtt = if category & 2 == 2 { self.settings.zone_rtt.as_micros() as f32 } else { 0.0 };
        run * misuse + zone_rtt
    }

    /// Returns the number of tasks of a job that run in the failure domain of a target.
    fn job_tasks_near(&self, job: u64, row: &TargetRow) -> u32 {
        let domain = failure_domain(row);
        let rows = self.jobs.get(&job).into_iter().flatten();
        rows.filter(|(other, _)| *other == domain).map(|(_, count)| *count).sum()
    }

    /// True if a task should start now on the free target `id` instead of waiting for a faster one, with `ahead`
    /// microseconds of work before it in the queue. This holds if arriving work nearly uses up the faster targets, or
    /// if the wait would cost more than the faster run saves.
    pub(crate) fn should_start_now(&self, now: Time, entry: EntryKey, size: f32, id: u32, ahead: f64) -> bool {
        let row = &self.entries[entry];
        let step = row.speeds.step(id);
        let faster = if step == 0 { 0.0 } else { row.supply.cumulative[step - 1] };
        if faster <= 0.0 {
            return true;
        }
        let arrivals: f64 = self.pools[row.pool].arrival_rate.iter().map(|rate| rate.rate(now) / 1e6).sum();
        self.ends_sooner(entry, size, id, ahead, arrivals as f32 * ARRIVAL_RATE_FACTOR)
    }

    /// True if a task ends earlier on target `id` than after waiting for any faster target. The work ahead of it is
    /// done by the capacity that the faster targets have left beside the arriving work, `arrivals`.
    fn ends_sooner(&self, entry: EntryKey, size: f32, id: u32, ahead: f64, arrivals: f32) -> bool {
        let row = &self.entries[entry];
        let here = (size - row.speeds.optimistic_speed(id)).exp2();
        let own_step = row.speeds.step(id);
        let used = row.speeds.used_steps.iter().fold(0, |all, steps| all | steps);
        let faster = used & ((1u64 << own_step) - 1);
        let ahead = ahead as f32 + size.exp2();
        crate::bits::ones(faster).all(|step| {
            let spare = row.supply.cumulative[step as usize] - arrivals;
            spare <= 0.0 || ahead / spare + (size - speed_of(step as usize)).exp2() >= here
        })
    }

    /// Starts a new or retried task if a target should take it now.
    pub(crate) fn try_start(&mut self, now: Time, task: TaskKey) -> bool {
        let request = self.placement_request(task);
        let row = &self.entries[request.entry];
        if blocking_limit(&row.entry, &row.share, &row.allocated, &request.needs).is_some() {
            return false;
        }
        if self.tasks[task].spec.deadline <= now {
            return false;
        }
        let Some(target) = self.best_target(now, &request) else { return false };
        let row = &self.entries[request.entry];
        let ahead: f64 = self.pools[row.pool].work[..=row.entry.class.index()].iter().sum();
        let id = self.targets.rows[target].id;
        if self.should_start_now(now, request.entry, request.size, id, ahead) {
            self.start(now, task, target, false);
            return true;
        }
        let here = (request.size - self.entries[request.entry].speeds.optimistic_speed(id)).exp2();
        self.timers.push(now + Duration::from_micros(here as u64), Timer::PlacementTimeout(task));
        false
    }

    /// Starts a task on any eligible target, since it has waited long enough for a better one.
    pub(crate) fn start_anywhere(&mut self, now: Time, task: TaskKey) {
        let Some(row) = self.tasks.get(task).filter(|row| row.sub_queue.is_some() && row.spec.deadline > now) else {
            return;
        };
        let needs = row.spec.needs;
        let request = PlacementRequest { avoid: None, ..self.placement_request(task) };
        let entry = &self.entries[request.entry];
        let retry_at = now + RESERVATION_DELAY;
        match self.best_target(now, &request) {
            _ if blocking_limit(&entry.entry, &entry.share, &entry.allocated, &needs).is_some() => {}
            Some(target) => return self.start(now, task, target, false),
            None if needs.cores > 1 || needs.accelerators > 0 => self.reserve_for(now, task),
            None => return,
        }
        self.timers.push(retry_at, Timer::PlacementTimeout(task));
    }

    /// Starts waiting tasks of an entry on free targets, after one of its limits was relaxed.
    pub(crate) fn start_waiting(&mut self, now: Time, entry: EntryKey) {
        self.update_supply(now, entry);
        let row = &self.entries[entry];
        if row.waiting == 0 {
            return;
        }
        let owner_queue = &self.queue.classes[row.entry.class.index()].owners[row.owner];
        let sub_queues: Vec<_> = owner_queue
            .sub_queues
            .iter()
            .copied()
            .filter(|&sub_queue| self.queue.sub_queues[sub_queue].entry == entry)
            .collect();
        for sub_queue in sub_queues {
            while let Some(&(_, task)) =
                self.queue.sub_queues.get(sub_queue).and_then(|sub_queue| sub_queue.tasks.first())
            {
                if !self.try_start(now, task) {
                    break;
                }
            }
        }
    }

    /// Starts waiting tasks on a target while it has free capacity.
    pub(crate) fn fill_target(&mut self, now: Time, target: TargetKey) {
        self.targets.refresh(now, target);
        self.start_reserved(now, target);
        while self.targets.get(target).is_some_and(|row| row.accepts_task(now)) {
            let Some(task) = self.next_task(now, target) else { break };
            self.start(now, task, target, false);
        }
        self.resume_preempted(now, target);
    }

    /// Chooses the waiting task that a free target starts next.
    fn next_task(&mut self, now: Time, target: TargetKey) -> Option<TaskKey> {
        for class in self.queue.class_order() {
            if self.queue.classes[class.index()].waiting == 0 {
                continue;
            }
            while let Some(sub_queue) = self.next_sub_queue(now, target, class) {
                let head = self.queue.sub_queues[sub_queue].tasks.first().map(|&(_, task)| task)?;
                if self.drop_infeasible(now, head) {
                    continue;
                }
                match self.choose_task(now, target, class, sub_queue) {
                    None => break,
                    found => return found,
                }
            }
        }
        None
    }

    /// Returns the sub-queue of a class that a target serves next: of the least-served owner, the one with the earliest
    /// deadline.
    fn next_sub_queue(&self, now: Time, target: TargetKey, class: Class) -> Option<SubQueueKey> {
        let class_queue = &self.queue.classes[class.index()];
        let row = &self.targets.rows[target];
        class_queue.active.iter().find_map(|&(_, owner)| {
            let sub_queues = class_queue.owners[owner].sub_queues.iter().copied();
            sub_queues
                .filter_map(|key| {
                    let sub_queue = &self.queue.sub_queues[key];
                    let entry = &self.entries[sub_queue.entry];
                    let &(deadline, task) = sub_queue.tasks.first()?;
                    let request = PlacementRequest { avoid: None, ..self.placement_request(task) };
                    let is_startable = entry.speeds.serves(row.id)
                        && is_eligible(now, row, target, &request)
                        && blocking_limit(&entry.entry, &entry.share, &entry.allocated, &request.needs).is_none();
                    is_startable.then_some((deadline, key))
                })
                .min()
                .map(|(_, key)| key)
        })
    }

    /// Returns the first or the last task of a sub-queue, or `None` if both should wait for faster targets.
    fn choose_task(&mut self, now: Time, target: TargetKey, class: Class, sub_queue: SubQueueKey) -> Option<TaskKey> {
        let entry = self.queue.sub_queues[sub_queue].entry;
        self.update_supply(now, entry);
        let row = &self.entries[entry];
        let tasks = &self.queue.sub_queues[sub_queue].tasks;
        let (&(_, first), &(_, last)) = (tasks.first()?, tasks.last()?);
        let id = self.targets.rows[target].id;
        let work = &self.pools[row.pool].work;
        let above: f64 = work[..class.index()].iter().sum();
        let total = above + work[class.index()];
        let size = |task: TaskKey| self.tasks[task].size;
        let fits = |task: TaskKey| is_eligible(now, &self.targets.rows[target], target, &self.placement_request(task));
        let safer = || {
            self.miss_probability(now, first, id) > MAX_MISS_PROBABILITY
                && self.miss_probability(now, last, id) <= MAX_MISS_PROBABILITY
                && fits(last)
        };
        match () {
            () if self.should_start_now(now, entry, size(first), id, above) && !safer() => Some(first),
            () if !self.should_start_now(now, entry, size(last), id, total) => None,
            () if self.should_start_now(now, entry, size(first), id, total / LONG_QUEUE_RUNS) && !safer() => {
                Some(first)
            }
            () => fits(last).then_some(last),
        }
    }

    /// Returns the probability that a task started on a target now misses its deadline.
    fn miss_probability(&self, now: Time, task: TaskKey, id: u32) -> f32 {
        let row = &self.tasks[task];
        let entry = &self.entries[row.spec.entry];
        let left = ((row.spec.deadline - now).as_micros().max(1) as f32).log2();
        if entry.sizes.is_trained() {
            entry.sizes.errors.fraction_above(left - (row.size - entry.speeds.optimistic_speed(id)))
        } else {
            0.0
        }
    }

    /// Starts an attempt of a task on a target.
    pub(crate) fn start(&mut self, now: Time, task: TaskKey, target: TargetKey, hedge: bool) {
        self.dequeue(task);
        self.serial += 1;
        let serial = self.serial;
        let attempt = AttemptId::new(self.settings.host, self.settings.incarnation, serial);
        let row = &mut self.tasks[task];
        row.tries = row.tries.saturating_add(1);
        row.attempts.push(serial);
        let (spec, size, charge) = (row.spec, row.size, row.weight);
        let entry = &mut self.entries[spec.entry];
        let (owner, class) = (entry.owner, entry.entry.class);
        entry.allocated.add(&spec.needs);
        self.queue.charge(class, owner, f64::from(charge));
        self.queue.record_placement(class, owner);
        let target_row = &mut self.targets.rows[target];
        target_row.allocated.add(&spec.needs);
        target_row.attempts.push(serial);
        if let Some(ejection) = target_row.health.ejection.as_mut() {
            ejection.probe_serial = Some(serial);
            self.waste.probes += 1;
        }
        if spec.job != 0 {
            count_in_domain(self.jobs.entry(spec.job).or_default(), failure_domain(target_row));
        }
        self.cursor = target_row.id + 1;
        if class == Class::Batch {
            self.targets.count_batch(target, true);
        }
        let target_row = &self.targets.rows[target];
        let error = entry.sizes.errors.quantile(entry.entry.hedge.quantile, UNLEARNED_HIGH_LOG2);
        let expected = (size + error - entry.speeds.speed(target_row.id)).exp2();
        let mut delay = Duration::from_micros(expected as u64);
        if class == Class::Urgent {
            delay = delay.min((spec.deadline - now) / 2);
        }
        self.timers.push(now + delay, Timer::Overdue(serial));
        self.attempts.insert(
            serial,
            AttemptRow {
                task,
                target,
                entry: spec.entry,
                owner,
                class,
                job: spec.job,
                domain: failure_domain(target_row),
                needs: spec.needs,
                full_needs: spec.needs,
                hint: spec.needs.estimate_ms,
                size,
                charge,
                started: now,
                phase: Phase::Running,
                hedge,
                start_answers: target_row.answers,
                was_checkpointed: false,
                was_preempted: false,
            },
        );
        self.targets.refresh(now, target);
        self.actions.push(Action::Start { task, attempt, target });
    }

    /// Recomputes the supply of an entry if it is old, or if it is stale and not recent.
    pub(crate) fn update_supply(&mut self, now: Time, entry: EntryKey) {
        let row = &mut self.entries[entry];
        let age = now - row.supply.computed_at;
        let max_age = if row.supply.stale { MIN_SUPPLY_AGE } else { MAX_SUPPLY_AGE };
        let empty = row.supply.stale && row.supply.slots == 0;
        if !empty && row.supply.computed_at != Time::ZERO && age < max_age {
            return;
        }
        let (mut sum, mut slots) = (0.0, 0);
        for step in 0..crate::speed::SPEED_STEPS {
            for category in 0..TARGET_CATEGORIES {
                if row.speeds.used_steps[category] >> step & 1 == 0 {
                    continue;
                }
                for id in row.speeds.step_members(category, step).iter() {
                    let Some((_, target)) = self.targets.by_id(id) else { continue };
                    let capacity = if target.is_usable(now) { row.task_slots(target) } else { 0.0 };
                    if capacity > 0.0 && slots == 0 {
                        row.supply.fastest = row.speeds.optimistic_speed(id);
                    }
                    sum += capacity * row.speeds.optimistic_speed(id).exp2();
                    slots += capacity.ceil() as u32;
                }
            }
            row.supply.cumulative[step] = sum;
        }
        row.supply.slots = slots;
        row.supply.stale = false;
        row.supply.computed_at = now.max(Time::from_micros(1));
    }
}

/// Doublings by which a task may exceed its predicted size before the entry has samples.
const UNLEARNED_HIGH_LOG2: f32 = 4.0;

/// True if a target with free capacity may run the requested task.
fn is_eligible(now: Time, row: &TargetRow, key: TargetKey, request: &PlacementRequest) -> bool {
    let probe = row.health.is_ejected();
    row.lease > now
        && row.fits(&request.needs)
        && request.avoid != Some(key)
        && (!probe || request.repeat == RepeatPolicy::Allowed || !row.repeatable)
}

/// Returns the failure domain over which the tasks of a job are spread: the rack, or the target itself if it has no
/// rack.
pub(crate) fn failure_domain(row: &TargetRow) -> u32 {
    match row.announcement.rack.as_str() {
        "" => row.id | 1 << 31,
        _ => row.rack,
    }
}

fn count_in_domain(rows: &mut crate::dispatch::DomainCounts, domain: u32) {
    match rows.iter_mut().find(|(other, _)| *other == domain) {
        Some((_, count)) => *count += 1,
        None => rows.push((domain, 1)),
    }
}
