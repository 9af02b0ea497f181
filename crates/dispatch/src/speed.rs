//! Learned values: sizes of tasks, reliability of declared times, and speeds of targets.
//!
//! All values are base-2 logarithms. The size of a task is the `log2` of its run time in microseconds on a target of
//! speed 1; the speed of a target is the `log2` of the factor by which it is faster than that.

use crate::bits::BitSet;

const STEPS_PER_DOUBLING: f32 = 8.0;
/// Number of speed steps: from 16 times faster to 16 times slower than average.
pub(crate) const SPEED_STEPS: usize = 64;
/// Number of samples after which a learned speed is trusted.
const MIN_SPEED_SAMPLES: u32 = 12;
/// Doublings by which the speed of a target with few samples may be wrong.
const UNLEARNED_MARGIN_LOG2: f32 = 3.0;
/// Doublings by which a speed known from a single sample may be too low.
const OPTIMISM_LOG2: f32 = 2.0;
/// Each decay drops one in this number of samples from the count.
const DECAY_DIVISOR: u32 = 16;
/// Step of a target that is not in the index.
const NO_STEP: u8 = u8::MAX;
/// Size of a task without a declared time and without samples: 0.3 s.
const DEFAULT_SIZE_LOG2: f32 = 18.2;
/// Minimum weight of a new sample, so that old samples lose their influence.
const MIN_SAMPLE_WEIGHT: f32 = 0.005;
/// Maximum distance from the mean that a sample counts with, in doublings.
const MAX_PULL_LOG2: f32 = 2.0;

/// Running mean that is robust against outliers: the influence of each sample is bounded.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RobustMean {
    pub(crate) value: f32,
    /// Number of samples, reduced when older samples should count less.
    pub(crate) count: u32,
}

impl RobustMean {
    /// Adds a sample.
    pub(crate) fn push(&mut self, sample: f32) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / self.count as f32).max(MIN_SAMPLE_WEIGHT);
        let offset = sample - self.value;
        // The first sample sets the mean; there is nothing yet to compare it with.
        self.value += weight * if self.count == 1 { offset } else { offset.clamp(-MAX_PULL_LOG2, MAX_PULL_LOG2) };
    }
}

/// Number of cells of an [`ErrorHistogram`]: quarters of a doubling from `2^-8` to `2^8`.
const HISTOGRAM_CELLS: usize = 64;
/// Number of samples after which the weight of the older ones is halved.
const HALVING_SAMPLES: f32 = 4096.0;
/// Number of samples below which quantiles are not used.
const MIN_QUANTILE_SAMPLES: f32 = 32.0;

/// Histogram of the ratio of actual to predicted sizes.
#[derive(Debug, Clone)]
pub(crate) struct ErrorHistogram {
    counts: [f32; HISTOGRAM_CELLS],
    total: f32,
}

impl Default for ErrorHistogram {
    fn default() -> Self {
        Self { counts: [0.0; HISTOGRAM_CELLS], total: 0.0 }
    }
}

impl ErrorHistogram {
    fn push(&mut self, log2: f32) {
        let cell = ((log2 + 8.0) * 4.0).clamp(0.0, (HISTOGRAM_CELLS - 1) as f32) as usize;
        self.counts[cell] += 1.0;
        self.total += 1.0;
        if self.total >= HALVING_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }

    /// Returns the fraction of tasks whose ratio has a logarithm above `log2`. Beyond the largest observed ratio, the
    /// fraction falls with the third power of the ratio.
    pub(crate) fn fraction_above(&self, log2: f32) -> f32 {
        if self.total < MIN_QUANTILE_SAMPLES {
            return 1.0;
        }
        let cell = ((log2 + 8.0) * 4.0).clamp(0.0, (HISTOGRAM_CELLS - 1) as f32) as usize;
        let above: f32 = self.counts[cell + 1..].iter().sum();
        let floor = 1.0 / (self.total + 8.0);
        if above > 0.0 {
            return (above / self.total).max(floor);
        }
        let top = self.counts.iter().rposition(|&count| count > 0.0).map_or(4.0, |at| (at + 1) as f32 / 4.0 - 8.0);
        floor * (-3.0 * (log2 - top).max(0.0)).exp2()
    }

    /// Returns the logarithm of the ratio that a fraction `q` of the tasks do not exceed, or `fallback` with too few
    /// samples.
    pub(crate) fn quantile(&self, q: f64, fallback: f32) -> f32 {
        if self.total < MIN_QUANTILE_SAMPLES {
            return fallback;
        }
        let rank = self.total * q as f32;
        let mut sum = 0.0;
        let cell = self.counts.iter().position(|count| {
            sum += count;
            sum >= rank
        });
        (cell.unwrap_or(HISTOGRAM_CELLS - 1) + 1) as f32 / 4.0 - 8.0
    }
}

/// Model of the sizes of one entry's tasks, with a regression on the declared times.
#[derive(Debug, Clone, Default)]
pub(crate) struct SizeModel {
    mean_size: RobustMean,
    weight: f32,
    hint_mean: f32,
    size_mean: f32,
    /// Mean of the squared hints.
    hint_square: f32,
    /// Mean of the products of hint and size.
    hint_size: f32,
    mean_ratio: f32,
    /// Ratio of actual to predicted size.
    pub(crate) errors: ErrorHistogram,
}

impl SizeModel {
    /// Returns the predicted size of a task with a declared time of `hint` milliseconds, 0 if none was declared.
    pub(crate) fn predict(&self, hint: u64) -> f32 {
        match (hint, self.mean_size.count) {
            (0, 0) => DEFAULT_SIZE_LOG2,
            (_, 0) => millis_log2(hint),
            (0, _) => self.mean_size.value,
            _ => self.regression(millis_log2(hint)),
        }
    }

    /// True once enough tasks were observed to trust the model.
    pub(crate) fn is_trained(&self) -> bool {
        self.mean_size.count as f32 >= MIN_QUANTILE_SAMPLES
    }

    /// Returns the mean ratio of actual to predicted run times.
    pub(crate) fn mean_ratio(&self) -> f32 {
        if self.weight < MIN_QUANTILE_SAMPLES { 1.0 } else { self.mean_ratio.clamp(0.25, 16.0) }
    }

    /// Adds the size of a completed task.
    pub(crate) fn push(&mut self, hint: u64, size: f32) {
        let predicted = self.predict(hint);
        let error = size - predicted;
        self.errors.push(error);
        self.mean_size.push(size);
        if hint > 0 {
            let x = millis_log2(hint);
            let y = predicted + error.clamp(-2.0 * MAX_PULL_LOG2, 2.0 * MAX_PULL_LOG2);
            let decay = (self.weight / (self.weight + 1.0)).min(1.0 - MIN_SAMPLE_WEIGHT / 4.0);
            self.weight = self.weight * decay + 1.0;
            let weight = 1.0 / self.weight;
            self.hint_mean += weight * (x - self.hint_mean);
            self.size_mean += weight * (y - self.size_mean);
            self.hint_square += weight * (x * x - self.hint_square);
            self.hint_size += weight * (x * y - self.hint_size);
        } else {
            self.weight = (self.weight + 1.0).min(1.0 / MIN_SAMPLE_WEIGHT);
        }
        let weight = (1.0 / self.weight.max(1.0)).max(MIN_SAMPLE_WEIGHT / 4.0);
        self.mean_ratio += weight * (error.exp2().min(64.0) - self.mean_ratio);
    }

    /// Shifts all sizes by `shift` doublings.
    pub(crate) fn shift(&mut self, shift: f32) {
        self.mean_size.value += shift;
        self.hint_size += shift * self.hint_mean;
        self.size_mean += shift;
    }

    /// Returns the regression of sizes on declared times. The slope is limited to 0 (declared times say nothing) to 1
    /// (exact).
    fn regression(&self, x: f32) -> f32 {
        if self.weight < MIN_QUANTILE_SAMPLES {
            return f32::midpoint(x, self.mean_size.value);
        }
        let variance = self.hint_square - self.hint_mean * self.hint_mean;
        let slope = if variance < 0.01 { 0.0 } else { (self.hint_size - self.hint_mean * self.size_mean) / variance };
        self.size_mean + slope.clamp(0.0, 1.0) * (x - self.hint_mean)
    }
}

/// Targets that serve one entry, indexed by learned speed.
#[derive(Debug, Clone)]
pub(crate) struct SpeedIndex {
    steps: Vec<u8>,
    categories: Vec<u8>,
    estimates: Vec<RobustMean>,
    sets: [Vec<BitSet>; TARGET_CATEGORIES],
    /// Number of targets that serve the entry.
    pub(crate) members: u32,
    /// For each category, a bit mask of the steps that have members.
    pub(crate) used_steps: [u64; TARGET_CATEGORIES],
}

/// Categories of targets that are searched separately: in this zone or another, with or without accelerators.
pub(crate) const TARGET_CATEGORIES: usize = 4;

impl Default for SpeedIndex {
    fn default() -> Self {
        let sets = || vec![BitSet::default(); SPEED_STEPS];
        Self {
            steps: Vec::new(),
            categories: Vec::new(),
            estimates: Vec::new(),
            members: 0,
            sets: [sets(), sets(), sets(), sets()],
            used_steps: [0; TARGET_CATEGORIES],
        }
    }
}

impl SpeedIndex {
    /// True if target `id` serves the entry.
    pub(crate) fn serves(&self, id: u32) -> bool {
        self.steps.get(id as usize).is_some_and(|&step| step != NO_STEP)
    }

    /// Adds a target with an initial estimate of its speed.
    pub(crate) fn insert(&mut self, id: u32, category: u8, speed: f32) {
        let at = id as usize;
        if at >= self.steps.len() {
            self.steps.resize(at + 1, NO_STEP);
            self.categories.resize(at + 1, 0);
            self.estimates.resize(at + 1, RobustMean::default());
        }
        self.move_to_step(id, NO_STEP);
        self.categories[at] = category;
        self.estimates[at] = RobustMean { value: speed, count: 0 };
        self.move_to_step(id, step_of(optimistic(self.estimates[at])));
    }

    pub(crate) fn remove(&mut self, id: u32) {
        if self.serves(id) {
            self.move_to_step(id, NO_STEP);
        }
    }

    pub(crate) fn speed(&self, id: u32) -> f32 {
        self.estimates[id as usize].value
    }

    /// Returns the learned speed plus a margin that shrinks with the number of samples.
    pub(crate) fn optimistic_speed(&self, id: u32) -> f32 {
        optimistic(self.estimates[id as usize])
    }

    /// Reduces the number of samples of each speed, so that targets that are no longer used are tried again.
    pub(crate) fn decay(&mut self) {
        for id in 0..self.steps.len() as u32 {
            if self.serves(id) {
                let estimate = &mut self.estimates[id as usize];
                estimate.count -= estimate.count / DECAY_DIVISOR;
                let new_step = step_of(optimistic(*estimate));
                self.move_to_step(id, new_step);
            }
        }
    }

    /// Returns the speed step of a target; 0 is the fastest.
    pub(crate) fn step(&self, id: u32) -> usize {
        usize::from(self.steps[id as usize])
    }

    /// Returns the targets of a category in a step.
    pub(crate) fn step_members(&self, category: usize, step: usize) -> &BitSet {
        &self.sets[category][step]
    }

    /// True if there are enough samples to trust the learned speed of a target.
    pub(crate) fn is_learned(&self, id: u32) -> bool {
        self.serves(id) && self.estimates[id as usize].count >= MIN_SPEED_SAMPLES
    }

    /// Returns the number of doublings by which the learned speed may be wrong.
    pub(crate) fn speed_margin(&self, id: u32) -> f32 {
        if self.is_learned(id) { 0.0 } else { UNLEARNED_MARGIN_LOG2 }
    }

    /// Adds a sample of a target's speed; `forget` limits the count of earlier samples first, so that the new one
    /// weighs more.
    pub(crate) fn push(&mut self, id: u32, sample: f32, prior: RobustMean, forget: bool) {
        let estimate = &mut self.estimates[id as usize];
        if estimate.count == 0 {
            // The speed learned from other entries counts for at most 8 samples.
            *estimate = RobustMean { value: prior.value, count: prior.count.min(8) };
        }
        if forget {
            estimate.count = estimate.count.min(8);
        }
        estimate.push(sample);
        let new_step = step_of(optimistic(*estimate));
        if new_step != self.steps[id as usize] {
            self.move_to_step(id, new_step);
        }
    }

    /// Shifts all learned speeds by `shift` doublings.
    pub(crate) fn shift(&mut self, shift: f32) {
        for id in 0..self.steps.len() as u32 {
            if self.serves(id) && self.estimates[id as usize].count > 0 {
                self.estimates[id as usize].value += shift;
                self.move_to_step(id, step_of(optimistic(self.estimates[id as usize])));
            }
        }
    }

    fn move_to_step(&mut self, id: u32, new_step: u8) {
        let at = id as usize;
        let category = usize::from(self.categories[at]);
        if self.steps[at] != NO_STEP {
            let old = usize::from(self.steps[at]);
            self.sets[category][old].set(id, false);
            if self.sets[category][old].is_empty() {
                self.used_steps[category] &= !(1 << old);
            }
        }
        self.members += u32::from(new_step != NO_STEP);
        self.members -= u32::from(self.steps[at] != NO_STEP);
        self.steps[at] = new_step;
        if new_step != NO_STEP {
            self.sets[category][usize::from(new_step)].set(id, true);
            self.used_steps[category] |= 1 << new_step;
        }
    }
}

fn optimistic(estimate: RobustMean) -> f32 {
    estimate.value + OPTIMISM_LOG2 / ((estimate.count + 1) as f32).sqrt()
}

/// Returns the step of a speed.
fn step_of(speed: f32) -> u8 {
    ((SPEED_STEPS as f32 / 2.0 - speed * STEPS_PER_DOUBLING).round()).clamp(0.0, (SPEED_STEPS - 1) as f32) as u8
}

/// Returns the speed in the middle of a step.
pub(crate) fn speed_of(step: usize) -> f32 {
    (SPEED_STEPS as f32 / 2.0 - step as f32) / STEPS_PER_DOUBLING
}

/// Returns the size of a task that takes `millis` milliseconds on a target of speed 1.
fn millis_log2(millis: u64) -> f32 {
    (millis as f32 * 1000.0).log2()
}
