//! Run times learned from the runs of each queue, and the expected times of tasks that follow from them.
//!
//! Everything is held in logarithms, because run times of a kind and errors of estimates are factors. What a run took is
//! first divided by the time ratio of its target, so that queues learn of work and targets of speed. The state is that of
//! one leadership: the ledger does not hold it, and the next leader starts from the estimates.

use crate::health::Deviation;
use crate::{JobId, JobSpec, QueueSet, TaskId};
use indexmap::IndexMap;
use smallvec::SmallVec;
use std::sync::Arc;

/// Steps of a queue of which run times are learned; the tasks of later ones are expected to take what clients say.
const MAX_STEPS: usize = 16;
/// Number of jobs over which the learned values are averaged.
const MEMORY_JOBS: f64 = 400.0;
/// Jobs of which the run times must be known before anything follows from them.
const MIN_JOBS: u32 = 50;
/// Share of the squared error of the estimates below which that of the learned times is worth their use.
const USE_BELOW: f64 = 0.75;
/// The same share above which they are used no longer.
const USE_UNTIL: f64 = 0.9;
/// Standard deviations beyond which a value counts as one from the tail.
const TAIL_DEVIATIONS: f64 = 2.5;
/// Standard deviations from its usual value up to which an estimate is taken for one of usual work that is partly an error.
const USUAL_DEVIATIONS: f64 = 2.0;
/// Standard deviations from which on an estimate tells of work in the tail, and holds alone.
const UNUSUAL_DEVIATIONS: f64 = 3.0;
/// Least standard deviation of the logarithm of run times.
const MIN_SPREAD: f64 = 0.02;
/// Standard deviation of the logarithm of run times that is assumed before any is known.
const INITIAL_SPREAD: f64 = 0.5;
/// Weight of the newest job in the tail in the typical ratio of those.
const NEWEST_TAIL_WEIGHT: f64 = 0.05;
/// Share of unforeseen jobs that is assumed before any of several tasks is known.
const INITIAL_UNFORESEEN: f64 = 0.01;
/// Share of unforeseen jobs from which on a single long run does not tell of a slow target.
const MIN_UNFORESEEN: f64 = 0.005;
/// Least ratio of run time to expected time.
const MIN_RATIO: f64 = 1e-3;

/// Mean and variance of the last values, which values from the tail change no more than those at its begin.
#[derive(Debug, Clone, Copy)]
struct Moments {
    mean: f64,
    variance: f64,
}

/// Run times of the tasks of one step of a queue.
#[derive(Debug, Clone, Copy)]
struct StepTimes {
    jobs: u32,
    /// Logarithms of the estimates.
    estimate: Moments,
    /// Logarithms of the work of jobs, in milliseconds on a target of time ratio 1.
    work: Moments,
    /// Mean product of the deviations of both.
    covariance: f64,
    /// Variance of the logarithm of the work of a task around that of its job.
    uneven: f64,
    /// Mean squared errors of the logarithms of the estimates, and of the learned times.
    errors: (f64, f64),
    /// Share of the jobs whose work was in the tail.
    tail_share: f64,
    /// Logarithm of the typical ratio of the work of those to the median.
    tail_log: f64,
    /// Share of the jobs of several tasks that all took far longer than expected.
    unforeseen: f64,
    used: bool,
}

/// Work of the tasks of one step of a job that have ended: logarithms of milliseconds on a target of time ratio 1.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SeenWork {
    pub(crate) runs: u32,
    mean: f64,
    squares: f64,
}

/// Work of the ended tasks of a job, by step.
pub(crate) type SeenSteps = SmallVec<[SeenWork; 1]>;

/// Run times of all queues.
///
/// The load pattern is urgent work that fills the targets while the estimates of clients are far off, so that jobs that
/// would be in time are taken for late ones, and late ones for jobs in time.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunTimes {
    queues: IndexMap<String, Vec<StepTimes>>,
}

impl Moments {
    const fn new(mean: f64) -> Self {
        Self { mean, variance: INITIAL_SPREAD * INITIAL_SPREAD }
    }

    fn spread(&self) -> f64 {
        self.variance.sqrt().max(MIN_SPREAD)
    }

    /// Returns the deviation of a value from the mean, at most that at which the tail begins.
    fn deviation(&self, value: f64) -> f64 {
        let limit = TAIL_DEVIATIONS * self.spread();
        (value - self.mean).clamp(-limit, limit)
    }

    fn record(&mut self, weight: f64, value: f64) {
        let deviation = self.deviation(value);
        self.mean += weight * deviation;
        self.variance += weight * (deviation * deviation - self.variance);
    }
}

impl SeenWork {
    fn record(&mut self, log_work: f64) {
        self.runs = self.runs.saturating_add(1);
        let deviation = log_work - self.mean;
        self.mean += deviation / f64::from(self.runs);
        self.squares += deviation * (log_work - self.mean);
    }
}

impl StepTimes {
    fn new(log_estimate: f64) -> Self {
        Self {
            jobs: 0,
            estimate: Moments::new(log_estimate),
            work: Moments::new(log_estimate),
            covariance: 0.0,
            uneven: INITIAL_SPREAD * INITIAL_SPREAD,
            errors: (0.0, 0.0),
            tail_share: 0.0,
            tail_log: 0.0,
            unforeseen: INITIAL_UNFORESEEN,
            used: false,
        }
    }

    /// Returns the logarithm of the expected work of a task with this estimate: the estimate, drawn towards the median of
    /// the queue by the part of its deviation that is error.
    fn expected(&self, log_estimate: f64) -> f64 {
        let predicts = (self.covariance / self.estimate.variance.max(MIN_SPREAD * MIN_SPREAD)).clamp(0.0, 1.0);
        let (deviation, spread) = (log_estimate - self.estimate.mean, self.estimate.spread());
        let usual = deviation.clamp(-USUAL_DEVIATIONS * spread, USUAL_DEVIATIONS * spread);
        let beyond = (UNUSUAL_DEVIATIONS - deviation.abs() / spread) / (UNUSUAL_DEVIATIONS - USUAL_DEVIATIONS);
        log_estimate - (1.0 - predicts) * usual * beyond.clamp(0.0, 1.0)
    }

    /// Returns the deviation of a run whose logarithm of run time over expected time is `log_ratio`, where `seen` is the
    /// work of other tasks of the job and `log_expected` what was expected of them: a job that is long everywhere makes no
    /// target slow.
    fn deviation(&self, log_ratio: f64, log_expected: f64, seen: &SeenWork, job: JobId) -> Deviation {
        let (error, uneven) = (self.errors.1, self.uneven.max(MIN_SPREAD * MIN_SPREAD));
        let (runs, shift) = (f64::from(seen.runs), seen.mean - log_expected);
        let (trust, left) = match seen.runs {
            0 => (0.0, error),
            // The work of the job is in the tail, of which its own tasks tell more than the queue.
            _ if shift.abs() > TAIL_DEVIATIONS * (error + uneven).sqrt() => (1.0, uneven / runs),
            _ => (error * runs / (error * runs + uneven), error * uneven / (error * runs + uneven)),
        };
        let shift = if seen.runs == 0 { 0.0 } else { shift };
        Deviation {
            log_ratio: log_ratio - trust * shift,
            spread: (left + uneven).sqrt(),
            may_be_long: self.unforeseen >= MIN_UNFORESEEN,
            job,
        }
    }

    /// Records the work of a job, and returns true if that is worth a line in the log.
    fn record(&mut self, log_estimate: f64, seen: &SeenWork) -> bool {
        self.jobs = self.jobs.saturating_add(1);
        let weight = 1.0 / f64::from(self.jobs).min(MEMORY_JOBS);
        let limit = TAIL_DEVIATIONS * self.work.spread();
        let (of_estimate, of_learned) = (seen.mean - log_estimate, seen.mean - self.expected(log_estimate));
        let beyond = seen.mean - self.work.mean;
        let is_tail = self.jobs > MIN_JOBS && beyond > limit;
        self.tail_share += weight * (f64::from(u8::from(is_tail)) - self.tail_share);
        if is_tail {
            let weight = if self.tail_log == 0.0 { 1.0 } else { NEWEST_TAIL_WEIGHT };
            self.tail_log += weight * (beyond - self.tail_log);
        }
        let square = |error: f64| error.clamp(-limit, limit).powi(2);
        self.errors.0 += weight * (square(of_estimate) - self.errors.0);
        self.errors.1 += weight * (square(of_learned) - self.errors.1);
        let product = self.estimate.deviation(log_estimate) * self.work.deviation(seen.mean);
        self.covariance += weight * (product - self.covariance);
        self.estimate.record(weight, log_estimate);
        self.work.record(weight, seen.mean);
        if seen.runs > 1 {
            let sample = seen.squares / f64::from(seen.runs - 1);
            // One slow target does not make all tasks of a job slow.
            let unforeseen = of_learned > limit && sample.sqrt() < limit;
            self.unforeseen += weight * (f64::from(u8::from(unforeseen)) - self.unforeseen);
            let most = TAIL_DEVIATIONS * TAIL_DEVIATIONS * self.uneven.max(MIN_SPREAD * MIN_SPREAD);
            self.uneven += weight * (sample.min(most) - self.uneven);
        }
        let share = self.errors.1 / self.errors.0.max(MIN_SPREAD * MIN_SPREAD);
        let before = self.used;
        self.used = self.jobs >= MIN_JOBS && share < if before { USE_UNTIL } else { USE_BELOW };
        self.used != before || self.jobs >= MIN_JOBS && self.jobs.is_power_of_two()
    }

    fn log(&self, queue: &str, step: usize) {
        let millis = self.work.mean.exp() as u64;
        let (spread, uneven) = (self.work.spread(), self.uneven.sqrt());
        let (estimates, learned) = (self.errors.0.sqrt(), self.errors.1.sqrt());
        let (tail, tail_ratio, unforeseen) = (self.tail_share, self.tail_log.exp(), self.unforeseen);
        log::info!(
            queue, step, jobs = self.jobs, millis, spread, uneven, estimates, learned, tail, tail_ratio, unforeseen,
            used = self.used;
            "board: run times learned"
        );
    }
}

impl RunTimes {
    /// Forgets the queues that are not in the set.
    pub(crate) fn retain(&mut self, set: &QueueSet) {
        self.queues.retain(|name, _| set.queues.iter().any(|queue| queue.name == *name));
        for queue in &set.queues {
            self.queues.entry(queue.name.clone()).or_default();
        }
    }

    /// Returns the steps of a job with the expected run times of their tasks in place of the estimates of its client, where
    /// more is known than these.
    pub(crate) fn expect(&self, spec: &Arc<JobSpec>, queue: &str) -> Arc<JobSpec> {
        let mut spec = Arc::clone(spec);
        let known = self.queues.get(queue).map_or(&[][..], Vec::as_slice);
        for (step, times) in known.iter().enumerate().take(spec.steps.len()).filter(|(_, times)| times.used) {
            let estimate = &mut Arc::make_mut(&mut spec).steps[step].estimate;
            *estimate = times.expected(log_millis(*estimate as f64)).exp().round() as u64;
        }
        spec
    }

    /// Notes the work of a run of a task that took `ratio` times as long as expected, and returns its deviation; `None` if
    /// nothing better than the estimates is known.
    pub(crate) fn note_run(
        &self,
        queue: &str,
        spec: &JobSpec,
        seen: &mut SeenSteps,
        task: TaskId,
        ratio: f64,
    ) -> Option<Deviation> {
        let step = task.step as usize;
        let estimate = spec.steps.get(step).filter(|_| step < MAX_STEPS)?.estimate;
        if seen.len() <= step {
            seen.resize(step + 1, SeenWork::default());
        }
        let (log_expected, log_ratio) = (log_millis(estimate as f64), ratio.max(MIN_RATIO).ln());
        let times = self.queues.get(queue).and_then(|steps| steps.get(step)).filter(|times| times.used);
        let deviation = times.map(|times| times.deviation(log_ratio, log_expected, &seen[step], task.job));
        seen[step].record(log_expected + log_ratio);
        deviation
    }

    /// Learns from a job that has ended, whose client estimated the tasks of each step at `estimates` milliseconds.
    pub(crate) fn record_job(&mut self, queue: &str, estimates: &[u64], seen: &[SeenWork]) {
        let Some(steps) = self.queues.get_mut(queue) else { return };
        for (step, (estimate, seen)) in estimates.iter().zip(seen).enumerate().take(MAX_STEPS) {
            let log_estimate = log_millis(*estimate as f64);
            if steps.len() <= step {
                steps.push(StepTimes::new(log_estimate));
            }
            if seen.runs > 0 && steps[step].record(log_estimate, seen) {
                steps[step].log(queue, step);
            }
        }
    }
}

/// Returns the logarithm of a time in milliseconds.
fn log_millis(millis: f64) -> f64 {
    millis.max(1.0).ln()
}
