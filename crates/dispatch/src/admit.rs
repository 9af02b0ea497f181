//! Admission: a task is taken on only if it can be expected to end in time.

use crate::limits::blocking_limit;
use crate::place::RESERVATION_DELAY;
use crate::targets::Allocation;
use crate::tasks::TaskRow;
use crate::timers::Timer;
use crate::{Dispatch, EntryKey, Refusal, TaskKey, TaskSpec};
use mangogw_model::{Code, Time};
use smallvec::SmallVec;
use std::time::Duration;

/// The part of the time to its deadline that a task may be expected to wait, by class.
const MAX_WAIT_FRACTION: [f64; 3] = [0.25, 0.3, 0.5];
/// The least part of its targets that a class can count on, whatever the classes above do.
const MIN_CLASS_FRACTION: f64 = 0.05;
/// The quantile of run times that has to fit before a deadline.
const ADMISSION_QUANTILE: f64 = 0.1;
/// How far below a prediction a task may stay before anything was learned: declared times are off by up to 5 times.
const UNLEARNED_LOW_LOG2: f32 = -2.4;
/// The shortest wait worth telling a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// What a supply of no targets is refused with.
const NO_TARGETS_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What can be expected of a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Forecast {
    /// Until it starts, in microseconds.
    pub(crate) wait: f64,
    /// From start to end at the best, in microseconds.
    pub(crate) run: f64,
}

impl Dispatch {
    /// Takes a task on, or refuses it at once.
    ///
    /// # Errors
    /// A [`Refusal`] whose outcome is always `not-run`.
    pub fn admit(&mut self, now: Time, work: TaskSpec) -> Result<TaskKey, Refusal> {
        if self.pools_stale {
            self.rebuild_pools();
        }
        self.check_admission(now, &work)?;
        let row = &mut self.entries[work.entry];
        row.retries.earn(row.entry.retry.budget);
        row.hedges.earn(row.entry.hedge.budget * crate::hedge::HEDGE_BUDGET_FACTORS[row.entry.class.index()]);
        row.tasks += 1;
        row.demand(&work.needs);
        let size = row.sizes.predict(work.needs.estimate_ms);
        let weight = size.exp2() * row.sizes.mean_ratio();
        let task = self.tasks.insert(TaskRow {
            work,
            size,
            weight,
            tries: 0,
            run_code: None,
            sub_queue: None,
            attempts: SmallVec::new(),
            avoid: None,
        });
        let entry = &self.entries[work.entry];
        self.pools[entry.pool].arrival_rate[entry.entry.class.index()].push(now, f64::from(weight));
        self.timers.push(work.deadline, Timer::Deadline(task));
        if !self.try_start(now, task) {
            self.enqueue(task);
            self.preempt_batch(now, task);
            if work.needs.cores > 1 || work.needs.accelerators > 0 {
                self.timers.push(now + RESERVATION_DELAY, Timer::PlacementTimeout(task));
            }
        }
        Ok(task)
    }

    /// What can be expected of a task of an entry with a predicted `size`.
    pub(crate) fn forecast(&mut self, now: Time, entry: EntryKey, size: f32) -> Forecast {
        self.update_supply(now, entry);
        let row = &self.entries[entry];
        let class = row.entry.class.index();
        let pool = &self.pools[row.pool];
        let rank = &self.queue.classes[class];
        let share = &rank.owners[row.owner];
        let weight = share.weight.max(1);
        let weights = if share.sub_queues.is_empty() { rank.total_weight + weight } else { rank.total_weight };
        let own = (share.work * f64::from(weights) / f64::from(weight)).min(pool.work[class]);
        let above: f64 = pool.work[..class].iter().sum();
        let taken: f64 = pool.arrival_rate[..class].iter().map(|flow| flow.rate(now) / 1e6).sum();
        let whole = f64::from(row.supply.total()).max(1e-9);
        let left = (whole - taken).max(whole * MIN_CLASS_FRACTION);
        let fastest = row.supply.fastest();
        let low = row.sizes.spread.quantile(ADMISSION_QUANTILE, UNLEARNED_LOW_LOG2);
        Forecast { wait: (above + own) / left, run: f64::from((size + low - fastest).exp2()) }
    }

    /// Refuses what can't run, can't run in time, or is over a bound.
    fn check_admission(&mut self, now: Time, work: &TaskSpec) -> Result<(), Refusal> {
        let row = self.entries.get(work.entry).filter(|row| row.live).ok_or(Code::UnknownEntry)?;
        let slack = (work.deadline - now).as_micros() as f64;
        if work.deadline <= now {
            return Err(Code::Expired.into());
        }
        if row.largest.is_empty() {
            return Err(refuse_with_retry(Code::NoTargets, NO_TARGETS_RETRY_AFTER));
        }
        if !row.ever_fits(&work.needs) {
            return Err(Code::NeverFits.into());
        }
        let class = row.entry.class;
        let size = row.sizes.predict(work.needs.estimate_ms);
        let known = row.sizes.is_trained();
        if blocking_limit(&row.entry, &row.share, &Allocation::default(), &work.needs).is_some() {
            return Err(Code::QuotaExceeded.into());
        }
        let forecast = self.forecast(now, work.entry, size);
        let row = &self.entries[work.entry];
        if row.supply.slots == 0 {
            return Err(refuse_with_retry(Code::NoTargets, NO_TARGETS_RETRY_AFTER));
        }
        if row.waiting >= row.entry.limits.queue {
            let code = blocking_limit(&row.entry, &row.share, &row.allocated, &work.needs).unwrap_or(Code::QueueFull);
            return Err(refuse_with_retry(code, retry_micros(forecast.wait / f64::from(row.waiting.max(1)) * 8.0)));
        }
        let late = forecast.wait - (slack - forecast.run) * MAX_WAIT_FRACTION[class.index()];
        if late > 0.0 && (known || forecast.run < slack && forecast.wait > 0.0) {
            // Where the run alone is too long, waiting does not help.
            let wait = (forecast.run < slack).then(|| retry_micros(late));
            return Err(Refusal { code: Code::NoCapacity, wait });
        }
        self.take_token(now, work.entry)
    }

    fn take_token(&mut self, now: Time, entry: EntryKey) -> Result<(), Refusal> {
        let row = &mut self.entries[entry];
        let (rate, burst) = (f64::from(row.entry.limits.rate), f64::from(row.entry.limits.burst));
        match rate {
            0.0 => Ok(()),
            _ => row
                .tokens
                .take(now, rate * row.share.rate, burst * row.share.rate)
                .map_err(|wait| refuse_with_retry(Code::RateLimited, wait)),
        }
    }

    /// Puts a task where it waits.
    pub(crate) fn enqueue(&mut self, task: TaskKey) {
        let row = &mut self.tasks[task];
        let entry = &mut self.entries[row.work.entry];
        let (class, place) = (entry.entry.class, (row.work.deadline, task));
        let work = f64::from(row.weight);
        row.sub_queue = Some(self.queue.push(row.work.entry, entry.owner, class, &row.work.needs, place, work));
        entry.waiting += 1;
        self.pools[entry.pool].work[class.index()] += work;
    }

    /// Takes a waiting task out of the queue.
    pub(crate) fn dequeue(&mut self, task: TaskKey) {
        let row = &mut self.tasks[task];
        let Some(line) = row.sub_queue.take() else { return };
        let entry = &mut self.entries[row.work.entry];
        let class = self.queue.sub_queues[line].class;
        let work = f64::from(row.weight);
        self.queue.remove(line, (row.work.deadline, task), work);
        entry.waiting -= 1;
        let left = &mut self.pools[entry.pool].work[class.index()];
        *left = if self.queue.classes[class.index()].waiting == 0 { 0.0 } else { (*left - work).max(0.0) };
    }
}

fn refuse_with_retry(code: Code, wait: Duration) -> Refusal {
    Refusal { code, wait: Some(wait.max(MIN_RETRY_AFTER)) }
}

fn retry_micros(count: f64) -> Duration {
    Duration::from_micros(count.max(0.0) as u64).max(MIN_RETRY_AFTER)
}
