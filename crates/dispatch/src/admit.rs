//! Admission: a task is taken on only if it can be expected to end in time.

use crate::limits::blocked;
use crate::place::CLEARING;
use crate::targets::Held;
use crate::tasks::TaskRow;
use crate::timers::Timer;
use crate::{Dispatch, EntryKey, Refusal, TaskKey, TaskSpec};
use mangogw_model::{Code, Time};
use smallvec::SmallVec;
use std::time::Duration;

/// The part of the time to its deadline that a task may be expected to wait, by class.
const WAITING: [f64; 3] = [0.25, 0.3, 0.5];
/// The least part of its targets that a class can count on, whatever the classes above do.
const LEAST: f64 = 0.05;
/// The quantile of run times that has to fit before a deadline.
const HOPE: f64 = 0.1;
/// How far below a prediction a task may stay before anything was learned: declared times are off by up to 5 times.
const DOUBT: f32 = -2.4;
/// The shortest wait worth telling a caller.
const SHORTEST: Duration = Duration::from_millis(50);
/// What a supply of no targets is refused with.
const ABSENCE: Duration = Duration::from_secs(2);

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
        if self.scattered {
            self.group();
        }
        self.check(now, &work)?;
        let row = &mut self.entries[work.entry];
        row.retries.earn(row.entry.retry.budget);
        row.hedges.earn(row.entry.hedge.budget * crate::hedge::BY_CLASS[row.entry.class.index()]);
        row.tasks += 1;
        row.demand(&work.needs);
        let size = row.sizes.predict(work.needs.estimate_ms);
        let weight = size.exp2() * row.sizes.excess();
        let task = self.tasks.insert(TaskRow {
            work,
            size,
            weight,
            tries: 0,
            ran: None,
            line: None,
            attempts: SmallVec::new(),
            avoid: None,
        });
        let entry = &self.entries[work.entry];
        self.pools[entry.pool].flow[entry.entry.class.index()].push(now, f64::from(weight));
        self.timers.push(work.deadline, Timer::Deadline(task));
        if !self.offer(now, task) {
            self.enqueue(task);
            self.relieve(now, task);
            if work.needs.cores > 1 || work.needs.accelerators > 0 {
                self.timers.push(now + CLEARING, Timer::Patience(task));
            }
        }
        Ok(task)
    }

    /// What can be expected of a task of an entry with a predicted `size`.
    pub(crate) fn forecast(&mut self, now: Time, entry: EntryKey, size: f32) -> Forecast {
        self.supply(now, entry);
        let row = &self.entries[entry];
        let class = row.entry.class.index();
        let pool = &self.pools[row.pool];
        let rank = &self.queue.ranks[class];
        let share = &rank.shares[row.owner];
        let weight = share.weight.max(1);
        let weights = if share.lines.is_empty() { rank.weights + weight } else { rank.weights };
        let own = (share.work * f64::from(weights) / f64::from(weight)).min(pool.work[class]);
        let above: f64 = pool.work[..class].iter().sum();
        let taken: f64 = pool.flow[..class].iter().map(|flow| flow.rate(now) / 1e6).sum();
        let whole = f64::from(row.supply.whole()).max(1e-9);
        let left = (whole - taken).max(whole * LEAST);
        let fastest = row.supply.fastest();
        let low = row.sizes.spread.quantile(HOPE, DOUBT);
        Forecast { wait: (above + own) / left, run: f64::from((size + low - fastest).exp2()) }
    }

    /// Refuses what can't run, can't run in time, or is over a bound.
    fn check(&mut self, now: Time, work: &TaskSpec) -> Result<(), Refusal> {
        let row = self.entries.get(work.entry).filter(|row| row.live).ok_or(Code::UnknownEntry)?;
        let slack = (work.deadline - now).as_micros() as f64;
        if work.deadline <= now {
            return Err(Code::Expired.into());
        }
        if row.largest.is_empty() {
            return Err(wait_for(Code::NoTargets, ABSENCE));
        }
        if !row.ever_fits(&work.needs) {
            return Err(Code::NeverFits.into());
        }
        let class = row.entry.class;
        let size = row.sizes.predict(work.needs.estimate_ms);
        let known = row.sizes.known();
        if blocked(&row.entry, &row.share, &Held::default(), &work.needs).is_some() {
            return Err(Code::QuotaExceeded.into());
        }
        let forecast = self.forecast(now, work.entry, size);
        let row = &self.entries[work.entry];
        if row.supply.slots == 0 {
            return Err(wait_for(Code::NoTargets, ABSENCE));
        }
        if row.waiting >= row.entry.limits.queue {
            let code = blocked(&row.entry, &row.share, &row.held, &work.needs).unwrap_or(Code::QueueFull);
            return Err(wait_for(code, micros(forecast.wait / f64::from(row.waiting.max(1)) * 8.0)));
        }
        let late = forecast.wait - (slack - forecast.run) * WAITING[class.index()];
        if late > 0.0 && (known || forecast.run < slack && forecast.wait > 0.0) {
            // Where the run alone is too long, waiting does not help.
            let wait = (forecast.run < slack).then(|| micros(late));
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
                .map_err(|wait| wait_for(Code::RateLimited, wait)),
        }
    }

    /// Puts a task where it waits.
    pub(crate) fn enqueue(&mut self, task: TaskKey) {
        let row = &mut self.tasks[task];
        let entry = &mut self.entries[row.work.entry];
        let (class, place) = (entry.entry.class, (row.work.deadline, task));
        let work = f64::from(row.weight);
        row.line = Some(self.queue.push(row.work.entry, entry.owner, class, &row.work.needs, place, work));
        entry.waiting += 1;
        self.pools[entry.pool].work[class.index()] += work;
    }

    /// Takes a waiting task out of the queue.
    pub(crate) fn unqueue(&mut self, task: TaskKey) {
        let row = &mut self.tasks[task];
        let Some(line) = row.line.take() else { return };
        let entry = &mut self.entries[row.work.entry];
        let class = self.queue.lines[line].class;
        let work = f64::from(row.weight);
        self.queue.remove(line, (row.work.deadline, task), work);
        entry.waiting -= 1;
        let left = &mut self.pools[entry.pool].work[class.index()];
        *left = if self.queue.ranks[class.index()].waiting == 0 { 0.0 } else { (*left - work).max(0.0) };
    }
}

fn wait_for(code: Code, wait: Duration) -> Refusal {
    Refusal { code, wait: Some(wait.max(SHORTEST)) }
}

fn micros(count: f64) -> Duration {
    Duration::from_micros(count.max(0.0) as u64).max(SHORTEST)
}
