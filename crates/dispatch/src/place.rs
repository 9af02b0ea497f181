//! Placement: the best free target for a task, and the best waiting task for a free target.

use crate::limits::blocking_limit;
use crate::queue::SubQueueKey;
use crate::speed::{TARGET_CATEGORIES, speed_of};
use crate::targets::TargetRow;
use crate::tasks::{AttemptRow, Phase};
use crate::timers::Timer;
use crate::{Action, Dispatch, EntryKey, RepeatPolicy, TargetKey, TaskKey};
use mangogw_model::{AttemptId, Class, Needs, Time};
use std::time::Duration;

/// What a task without accelerators pays on a target that has some.
const ACCELERATOR_MISUSE_FACTOR: f32 = 1.5;
/// Equal targets looked at to spread the tasks of a job.
const MAX_SPREAD_CANDIDATES: usize = 4;
/// How old a sum of supply may get, and how old it must be before it is summed up anew.
const MAX_SUPPLY_AGE: Duration = Duration::from_millis(500);
/// How long a sum of supply stands although it is out of date.
const MIN_SUPPLY_AGE: Duration = Duration::from_millis(20);
/// A queue that takes more than so many run times counts as long: then the first in line takes any target.
const LONG_QUEUE_RUNS: f64 = 2.0;
/// The part of what comes in that the wait for faster targets is reckoned with. With all of it slower targets take part
/// in every ripple: p99 over the reference 1.18 to 1.23 on the worst seed, with 0.8 1.13, with 0.7 1.18.
const ARRIVAL_RATE_FACTOR: f32 = 0.8;
/// The chance of missing the deadline above which another task takes the place, if that is safer there.
const MAX_MISS_PROBABILITY: f32 = 0.01;
/// How long a task that fits nowhere waits before a target is kept clear for it.
pub(crate) const RESERVATION_DELAY: Duration = Duration::from_millis(200);

/// What is looked for.
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
    /// What `task` looks for.
    pub(crate) fn placement_request(&self, task: TaskKey) -> PlacementRequest {
        let row = &self.tasks[task];
        PlacementRequest {
            entry: row.work.entry,
            needs: row.work.needs,
            size: row.size,
            repeat: row.work.repeat,
            job: row.work.job,
            avoid: row.avoid,
        }
    }

    /// The free target on which it would end first.
    pub(crate) fn best_target(&self, now: Time, seek: &PlacementRequest) -> Option<TargetKey> {
        let speeds = &self.entries[seek.entry].speeds;
        let room = self.targets.with_cores(seek.needs.cores);
        if room.is_empty() {
            return None;
        }
        let mut best: Option<(f32, TargetKey)> = None;
        for flavour in 0..TARGET_CATEGORIES {
            if seek.needs.accelerators > 0 && flavour & 1 == 0 {
                continue;
            }
            for step in crate::bits::ones(speeds.used_steps[flavour]) {
                let cost = self.cost(seek, flavour, speed_of(step as usize));
                if best.is_some_and(|(least, _)| least <= cost) {
                    break;
                }
                let set = speeds.step_members(flavour, step as usize);
                let (mut found, mut least, mut tried) = (None, u32::MAX, 0);
                let _ = set.find_common(room, self.cursor, |id| match self.targets.by_id(id) {
                    Some((key, row)) if is_eligible(now, row, key, seek) => {
                        let crowd = if seek.job == 0 { 0 } else { self.job_tasks_near(seek.job, row) };
                        if crowd < least {
                            (found, least) = (Some(key), crowd);
                        }
                        tried += 1;
                        crowd == 0 || tried >= MAX_SPREAD_CANDIDATES
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

    /// The expected run time in microseconds, and what the flavour of the target adds to it.
    fn cost(&self, seek: &PlacementRequest, flavour: usize, speed: f32) -> f32 {
        let run = (seek.size - speed).exp2();
        let misuse = if flavour & 1 == 1 && seek.needs.accelerators == 0 { ACCELERATOR_MISUSE_FACTOR } else { 1.0 };
        let zone_rtt = if flavour & 2 == 2 { self.settings.zone_rtt.as_micros() as f32 } else { 0.0 };
        run * misuse + zone_rtt
    }

    /// The tasks of a job that run where a target stands.
    fn job_tasks_near(&self, job: u64, row: &TargetRow) -> u32 {
        let place = failure_domain(row);
        let rows = self.jobs.get(&job).into_iter().flatten();
        rows.filter(|(at, _)| *at == place).map(|(_, count)| *count).sum()
    }

    /// True if a task should start on a free target now rather than wait for a faster one, with `ahead` microseconds of
    /// work before it in the queue: because the faster ones are nearly taken up by what comes in, or because the wait
    /// for them would cost more than it gains.
    pub(crate) fn should_start_now(&self, now: Time, entry: EntryKey, size: f32, id: u32, ahead: f64) -> bool {
        let row = &self.entries[entry];
        let step = row.speeds.step(id);
        let faster = if step == 0 { 0.0 } else { row.supply.cumulative[step - 1] };
        if faster <= 0.0 {
            return true;
        }
        let flow: f64 = self.pools[row.pool].arrival_rate.iter().map(|flow| flow.rate(now) / 1e6).sum();
        self.ends_sooner(entry, size, id, ahead, flow as f32 * ARRIVAL_RATE_FACTOR)
    }

    /// True if a task ends earlier here than on each faster target, its wait included: the work before it is done with
    /// what the faster ones have to spare beside the `flow` that comes in.
    fn ends_sooner(&self, entry: EntryKey, size: f32, id: u32, ahead: f64, flow: f32) -> bool {
        let row = &self.entries[entry];
        let here = (size - row.speeds.optimistic_speed(id)).exp2();
        let own = row.speeds.step(id);
        let used = row.speeds.used_steps.iter().fold(0, |all, steps| all | steps);
        let faster = used & ((1u64 << own) - 1);
        let ahead = ahead as f32 + size.exp2();
        crate::bits::ones(faster).all(|step| {
            let spare = row.supply.cumulative[step as usize] - flow;
            spare <= 0.0 || ahead / spare + (size - speed_of(step as usize)).exp2() >= here
        })
    }

    /// Starts a task that came or came back, if there is a target for it now.
    pub(crate) fn try_start(&mut self, now: Time, task: TaskKey) -> bool {
        let seek = self.placement_request(task);
        let row = &self.entries[seek.entry];
        if blocking_limit(&row.entry, &row.share, &row.allocated, &seek.needs).is_some() {
            return false;
        }
        if self.tasks[task].work.deadline <= now {
            return false;
        }
        let Some(target) = self.best_target(now, &seek) else { return false };
        let row = &self.entries[seek.entry];
        let ahead: f64 = self.pools[row.pool].work[..=row.entry.class.index()].iter().sum();
        let id = self.targets.rows[target].id;
        if self.should_start_now(now, seek.entry, seek.size, id, ahead) {
            self.start(now, task, target, false);
            return true;
        }
        let here = (seek.size - self.entries[seek.entry].speeds.optimistic_speed(id)).exp2();
        self.timers.push(now + Duration::from_micros(here as u64), Timer::PlacementTimeout(task));
        false
    }

    /// A task has waited long enough for a better target; it takes any.
    pub(crate) fn start_anywhere(&mut self, now: Time, task: TaskKey) {
        let Some(row) = self.tasks.get(task).filter(|row| row.sub_queue.is_some() && row.work.deadline > now) else {
            return;
        };
        let needs = row.work.needs;
        let seek = PlacementRequest { avoid: None, ..self.placement_request(task) };
        let entry = &self.entries[seek.entry];
        let again = now + RESERVATION_DELAY;
        match self.best_target(now, &seek) {
            _ if blocking_limit(&entry.entry, &entry.share, &entry.allocated, &needs).is_some() => {}
            Some(target) => return self.start(now, task, target, false),
            None if needs.cores > 1 || needs.accelerators > 0 => self.reserve_for(now, task),
            None => return,
        }
        self.timers.push(again, Timer::PlacementTimeout(task));
    }

    /// Starts what waits of an entry on what is free, after one of its bounds was eased.
    pub(crate) fn start_waiting(&mut self, now: Time, entry: EntryKey) {
        self.update_supply(now, entry);
        let row = &self.entries[entry];
        if row.waiting == 0 {
            return;
        }
        let share = &self.queue.classes[row.entry.class.index()].owners[row.owner];
        let lines: Vec<_> =
            share.sub_queues.iter().copied().filter(|&line| self.queue.sub_queues[line].entry == entry).collect();
        for line in lines {
            while let Some(&(_, task)) = self.queue.sub_queues.get(line).and_then(|line| line.tasks.first()) {
                if !self.try_start(now, task) {
                    break;
                }
            }
        }
    }

    /// Gives a target what waits, as long as it has room.
    pub(crate) fn fill_target(&mut self, now: Time, target: TargetKey) {
        self.targets.refresh(now, target);
        self.start_reserved(now, target);
        while self.targets.get(target).is_some_and(|row| row.accepts_task(now)) {
            let Some(task) = self.next_task(now, target) else { break };
            self.start(now, task, target, false);
        }
        self.resume_preempted(now, target);
    }

    /// The task that a free target takes next.
    fn next_task(&mut self, now: Time, target: TargetKey) -> Option<TaskKey> {
        for class in self.queue.class_order() {
            if self.queue.classes[class.index()].waiting == 0 {
                continue;
            }
            while let Some(line) = self.next_sub_queue(now, target, class) {
                let head = self.queue.sub_queues[line].tasks.first().map(|&(_, task)| task)?;
                if self.drop_infeasible(now, head) {
                    continue;
                }
                match self.choose_task(now, target, class, line) {
                    None => break,
                    found => return found,
                }
            }
        }
        None
    }

    /// The line of a class that a target serves next: of the owner served least, the one with the earliest deadline.
    fn next_sub_queue(&self, now: Time, target: TargetKey, class: Class) -> Option<SubQueueKey> {
        let rank = &self.queue.classes[class.index()];
        let row = &self.targets.rows[target];
        rank.active.iter().find_map(|&(_, owner)| {
            let lines = rank.owners[owner].sub_queues.iter().copied();
            lines
                .filter_map(|key| {
                    let line = &self.queue.sub_queues[key];
                    let entry = &self.entries[line.entry];
                    let &(deadline, task) = line.tasks.first()?;
                    let seek = PlacementRequest { avoid: None, ..self.placement_request(task) };
                    let fit = entry.speeds.serves(row.id)
                        && is_eligible(now, row, target, &seek)
                        && blocking_limit(&entry.entry, &entry.share, &entry.allocated, &seek.needs).is_none();
                    fit.then_some((deadline, key))
                })
                .min()
                .map(|(_, key)| key)
        })
    }

    /// The first or the last of a line, or none if all of them do better to wait.
    fn choose_task(&mut self, now: Time, target: TargetKey, class: Class, line: SubQueueKey) -> Option<TaskKey> {
        let entry = self.queue.sub_queues[line].entry;
        self.update_supply(now, entry);
        let row = &self.entries[entry];
        let tasks = &self.queue.sub_queues[line].tasks;
        let (&(_, first), &(_, last)) = (tasks.first()?, tasks.last()?);
        let id = self.targets.rows[target].id;
        let work = &self.pools[row.pool].work;
        let above: f64 = work[..class.index()].iter().sum();
        let whole = above + work[class.index()];
        let size = |task: TaskKey| self.tasks[task].size;
        let fits = |task: TaskKey| is_eligible(now, &self.targets.rows[target], target, &self.placement_request(task));
        let safer = || {
            self.miss_probability(now, first, id) > MAX_MISS_PROBABILITY
                && self.miss_probability(now, last, id) <= MAX_MISS_PROBABILITY
                && fits(last)
        };
        match () {
            () if self.should_start_now(now, entry, size(first), id, above) && !safer() => Some(first),
            () if !self.should_start_now(now, entry, size(last), id, whole) => None,
            () if self.should_start_now(now, entry, size(first), id, whole / LONG_QUEUE_RUNS) && !safer() => {
                Some(first)
            }
            () => fits(last).then_some(last),
        }
    }

    /// The chance that a task started on a target now misses its deadline.
    fn miss_probability(&self, now: Time, task: TaskKey, id: u32) -> f32 {
        let row = &self.tasks[task];
        let entry = &self.entries[row.work.entry];
        let left = ((row.work.deadline - now).as_micros().max(1) as f32).log2();
        if entry.sizes.is_trained() {
            entry.sizes.spread.fraction_above(left - (row.size - entry.speeds.optimistic_speed(id)))
        } else {
            0.0
        }
    }

    /// Sends a task to a target.
    pub(crate) fn start(&mut self, now: Time, task: TaskKey, target: TargetKey, hedge: bool) {
        self.dequeue(task);
        self.serial += 1;
        let serial = self.serial;
        let attempt = AttemptId::new(self.settings.host, self.settings.incarnation, serial);
        let row = &mut self.tasks[task];
        row.tries = row.tries.saturating_add(1);
        row.attempts.push(serial);
        let (work, size, charge) = (row.work, row.size, row.weight);
        let entry = &mut self.entries[work.entry];
        let (owner, class) = (entry.owner, entry.entry.class);
        entry.allocated.add(&work.needs);
        self.queue.charge(class, owner, f64::from(charge));
        self.queue.record_placement(class, owner);
        let to = &mut self.targets.rows[target];
        to.allocated.add(&work.needs);
        to.attempts.push(serial);
        if let Some(out) = to.health.ejection.as_mut() {
            out.probe_serial = Some(serial);
            self.waste.probes += 1;
        }
        if work.job != 0 {
            count_in_domain(self.jobs.entry(work.job).or_default(), failure_domain(to));
        }
        self.cursor = to.id + 1;
        if class == Class::Batch {
            self.targets.count_batch(target, true);
        }
        let to = &self.targets.rows[target];
        let late = entry.sizes.spread.quantile(entry.entry.hedge.quantile, UNLEARNED_HIGH_LOG2);
        let usual = (size + late - entry.speeds.speed(to.id)).exp2();
        let mut look = Duration::from_micros(usual as u64);
        if class == Class::Urgent {
            look = look.min((work.deadline - now) / 2);
        }
        self.timers.push(now + look, Timer::Overdue(serial));
        self.attempts.insert(
            serial,
            AttemptRow {
                task,
                target,
                entry: work.entry,
                owner,
                class,
                job: work.job,
                domain: failure_domain(to),
                needs: work.needs,
                full_needs: work.needs,
                hint: work.needs.estimate_ms,
                size,
                charge,
                started: now,
                phase: Phase::Running,
                hedge,
                start_answers: to.answers,
                was_checkpointed: false,
                was_preempted: false,
            },
        );
        self.targets.refresh(now, target);
        self.actions.push(Action::Start { task, attempt, target });
    }

    /// Sums up what the targets of an entry can do, unless that was done of late.
    pub(crate) fn update_supply(&mut self, now: Time, entry: EntryKey) {
        let row = &mut self.entries[entry];
        let age = now - row.supply.at;
        let fresh = if row.supply.stale { MIN_SUPPLY_AGE } else { MAX_SUPPLY_AGE };
        let empty = row.supply.stale && row.supply.slots == 0;
        if !empty && row.supply.at != Time::ZERO && age < fresh {
            return;
        }
        let (mut sum, mut slots) = (0.0, 0);
        for step in 0..crate::speed::SPEED_STEPS {
            for flavour in 0..TARGET_CATEGORIES {
                if row.speeds.used_steps[flavour] >> step & 1 == 0 {
                    continue;
                }
                for id in row.speeds.step_members(flavour, step).iter() {
                    let Some((_, target)) = self.targets.by_id(id) else { continue };
                    let held = if target.usable(now) { row.places(target) } else { 0.0 };
                    if held > 0.0 && slots == 0 {
                        row.supply.fastest = row.speeds.optimistic_speed(id);
                    }
                    sum += held * row.speeds.optimistic_speed(id).exp2();
                    slots += held.ceil() as u32;
                }
            }
            row.supply.cumulative[step] = sum;
        }
        row.supply.slots = slots;
        row.supply.stale = false;
        row.supply.at = now.max(Time::from_micros(1));
    }
}

/// How far above its prediction a task is late before anything was learned.
const UNLEARNED_HIGH_LOG2: f32 = 4.0;

/// True if a target with room can take what is looked for.
fn is_eligible(now: Time, row: &TargetRow, key: TargetKey, seek: &PlacementRequest) -> bool {
    let probe = row.health.is_ejected();
    row.lease > now
        && row.fits(&seek.needs)
        && seek.avoid != Some(key)
        && (!probe || seek.repeat == RepeatPolicy::Allowed || !row.repeatable)
}

/// What tasks of a job are spread over: racks, or targets that stand in none.
pub(crate) fn failure_domain(row: &TargetRow) -> u32 {
    match row.announcement.rack.as_str() {
        "" => row.id | 1 << 31,
        _ => row.rack,
    }
}

fn count_in_domain(rows: &mut crate::dispatch::DomainCounts, place: u32) {
    match rows.iter_mut().find(|(at, _)| *at == place) {
        Some((_, count)) => *count += 1,
        None => rows.push((place, 1)),
    }
}
