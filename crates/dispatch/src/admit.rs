//! Admission: accepts a task only if it is expected to end before its deadline.

use crate::limits::blocking_limit;
use crate::place::RESERVATION_DELAY;
use crate::targets::Allocation;
use crate::tasks::TaskRow;
use crate::timers::Timer;
use crate::{Dispatch, EntryKey, Refusal, TaskKey, TaskSpec};
use mangogw_model::{Code, Time};
use smallvec::SmallVec;
use std::time::Duration;

/// Maximum expected wait as a fraction of the time to the deadline, by class.
const MAX_WAIT_FRACTION: [f64; 3] = [0.25, 0.3, 0.5];
/// Minimum fraction of the supply that a class can count on, whatever the load of higher classes.
const MIN_CLASS_FRACTION: f64 = 0.05;
/// Quantile of run times that must fit before the deadline.
const ADMISSION_QUANTILE: f64 = 0.1;
/// Doublings by which a task may fall short of its predicted size before the entry has samples: declared times are
/// wrong by a factor of up to 5.
const UNLEARNED_LOW_LOG2: f32 = -2.4;
/// Shortest retry time reported to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry time reported if an entry has no usable targets.
const NO_TARGETS_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Expected times of a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Forecast {
    /// Time until the start, in microseconds.
    pub(crate) wait: f64,
    /// Shortest time from start to end that can be expected, in microseconds.
    pub(crate) run: f64,
}

impl Dispatch {
    /// Accepts a task and starts or queues it, or refuses it at once.
    ///
    /// # Errors
    /// A [`Refusal`] with a code whose outcome is always `not-run`.
    pub fn admit(&mut self, now: Time, spec: TaskSpec) -> Result<TaskKey, Refusal> {
        if self.pools_stale {
            self.rebuild_pools();
        }
        self.check_admission(now, &spec)?;
        let row = &mut self.entries[spec.entry];
        row.retries.earn(row.entry.retry.budget);
        row.hedges.earn(row.entry.hedge.budget * crate::hedge::HEDGE_BUDGET_FACTORS[row.entry.class.index()]);
        row.tasks += 1;
        row.record_demand(&spec.needs);
        let size = row.sizes.predict(spec.needs.estimate_ms);
        let weight = size.exp2() * row.sizes.mean_ratio();
        let task = self.tasks.insert(TaskRow {
            spec,
            size,
            weight,
            tries: 0,
            run_code: None,
            sub_queue: None,
            attempts: SmallVec::new(),
            avoid: None,
        });
        let entry = &self.entries[spec.entry];
        self.pools[entry.pool].arrival_rate[entry.entry.class.index()].push(now, f64::from(weight));
        self.timers.push(spec.deadline, Timer::Deadline(task));
        if !self.try_start(now, task) {
            self.enqueue(task);
            self.preempt_batch(now, task);
            if spec.needs.cores > 1 || spec.needs.accelerators > 0 {
                self.timers.push(now + RESERVATION_DELAY, Timer::PlacementTimeout(task));
            }
        }
        Ok(task)
    }

    /// Returns the expected times of a task of an entry with a predicted `size`.
    pub(crate) fn forecast(&mut self, now: Time, entry: EntryKey, size: f32) -> Forecast {
        self.update_supply(now, entry);
        let row = &self.entries[entry];
        let class = row.entry.class.index();
        let pool = &self.pools[row.pool];
        let class_queue = &self.queue.classes[class];
        let owner_queue = &class_queue.owners[row.owner];
        let weight = owner_queue.weight.max(1);
        let total_weight = if owner_queue.sub_queues.is_empty() {
            class_queue.total_weight + weight
        } else {
            class_queue.total_weight
        };
        let own_work = (owner_queue.work * f64::from(total_weight) / f64::from(weight)).min(pool.work[class]);
        let work_above: f64 = pool.work[..class].iter().sum();
        let rate_above: f64 = pool.arrival_rate[..class].iter().map(|rate| rate.rate(now) / 1e6).sum();
        let supply = f64::from(row.supply.total()).max(1e-9);
        let left = (supply - rate_above).max(supply * MIN_CLASS_FRACTION);
        let fastest = row.supply.fastest();
        let low_error = row.sizes.errors.quantile(ADMISSION_QUANTILE, UNLEARNED_LOW_LOG2);
        Forecast { wait: (work_above + own_work) / left, run: f64::from((size + low_error - fastest).exp2()) }
    }

    /// Refuses a task that can't run, can't run in time or exceeds a limit.
    fn check_admission(&mut self, now: Time, spec: &TaskSpec) -> Result<(), Refusal> {
        let row = self.entries.get(spec.entry).filter(|row| row.live).ok_or(Code::UnknownEntry)?;
        let time_left = (spec.deadline - now).as_micros() as f64;
        if spec.deadline <= now {
            return Err(Code::Expired.into());
        }
        if row.largest.is_empty() {
            return Err(refuse_with_retry(Code::NoTargets, NO_TARGETS_RETRY_AFTER));
        }
        if !row.ever_fits(&spec.needs) {
            return Err(Code::NeverFits.into());
        }
        let class = row.entry.class;
        let size = row.sizes.predict(spec.needs.estimate_ms);
        let is_trained = row.sizes.is_trained();
        if blocking_limit(&row.entry, &row.share, &Allocation::default(), &spec.needs).is_some() {
            return Err(Code::QuotaExceeded.into());
        }
        let forecast = self.forecast(now, spec.entry, size);
        let row = &self.entries[spec.entry];
        if row.supply.slots == 0 {
            return Err(refuse_with_retry(Code::NoTargets, NO_TARGETS_RETRY_AFTER));
        }
        if row.waiting >= row.entry.limits.queue {
            let code = blocking_limit(&row.entry, &row.share, &row.allocated, &spec.needs).unwrap_or(Code::QueueFull);
            return Err(refuse_with_retry(code, retry_micros(forecast.wait / f64::from(row.waiting.max(1)) * 8.0)));
        }
        let late = forecast.wait - (time_left - forecast.run) * MAX_WAIT_FRACTION[class.index()];
        if late > 0.0 && (is_trained || forecast.run < time_left && forecast.wait > 0.0) {
            // If the run time alone exceeds the deadline, a later retry does not help.
            let retry_after = (forecast.run < time_left).then(|| retry_micros(late));
            return Err(Refusal { code: Code::NoCapacity, retry_after });
        }
        self.take_token(now, spec.entry)
    }

    fn take_token(&mut self, now: Time, entry: EntryKey) -> Result<(), Refusal> {
        let row = &mut self.entries[entry];
        let (rate, burst) = (f64::from(row.entry.limits.rate), f64::from(row.entry.limits.burst));
        match rate {
            0.0 => Ok(()),
            _ => row
                .tokens
                .take(now, rate * row.share.rate, burst * row.share.rate)
                .map_err(|retry_after| refuse_with_retry(Code::RateLimited, retry_after)),
        }
    }

    /// Adds a task to the queue.
    pub(crate) fn enqueue(&mut self, task: TaskKey) {
        let row = &mut self.tasks[task];
        let entry = &mut self.entries[row.spec.entry];
        let (class, position) = (entry.entry.class, (row.spec.deadline, task));
        let work = f64::from(row.weight);
        row.sub_queue = Some(self.queue.push(row.spec.entry, entry.owner, class, &row.spec.needs, position, work));
        entry.waiting += 1;
        self.pools[entry.pool].work[class.index()] += work;
    }

    /// Removes a task from the queue if it is there.
    pub(crate) fn dequeue(&mut self, task: TaskKey) {
        let row = &mut self.tasks[task];
        let Some(sub_queue) = row.sub_queue.take() else { return };
        let entry = &mut self.entries[row.spec.entry];
        let class = self.queue.sub_queues[sub_queue].class;
        let work = f64::from(row.weight);
        self.queue.remove(sub_queue, (row.spec.deadline, task), work);
        entry.waiting -= 1;
        let left = &mut self.pools[entry.pool].work[class.index()];
        *left = if self.queue.classes[class.index()].waiting == 0 { 0.0 } else { (*left - work).max(0.0) };
    }
}

fn refuse_with_retry(code: Code, retry_after: Duration) -> Refusal {
    Refusal { code, retry_after: Some(retry_after.max(MIN_RETRY_AFTER)) }
}

fn retry_micros(count: f64) -> Duration {
    Duration::from_micros(count.max(0.0) as u64).max(MIN_RETRY_AFTER)
}
