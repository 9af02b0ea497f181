//! What is learned from tasks that ran: sizes, the worth of declared times, and the speed of targets.
//!
//! All of it is kept as base-2 logarithms: the size of a task is `log2` of its run time in microseconds on a target of
//! speed 1, the speed of a target is `log2` of how much faster than that it is.

use crate::bits::BitSet;

/// Speed steps for each doubling.
const STEPS_PER_DOUBLING: f32 = 8.0;
/// Speeds told apart: from 16 times faster to 16 times slower than average.
pub(crate) const SPEED_STEPS: usize = 64;
/// Samples after which a learned speed is believed.
const MIN_SPEED_SAMPLES: u32 = 12;
/// Doublings by which the speed of a target that is not known yet may be off.
const UNLEARNED_MARGIN_LOG2: f32 = 3.0;
/// Doublings by which a single sample of a speed may well be too low.
const OPTIMISM_LOG2: f32 = 2.0;
/// One of so many samples is forgotten at each fading.
const DECAY_DIVISOR: u32 = 16;
/// The step of a target that is not in the index.
const NO_STEP: u8 = u8::MAX;
/// The size of a task of which nothing is known: 0.3 s.
const DEFAULT_SIZE_LOG2: f32 = 18.2;
/// The smallest weight of a new sample, so that old ones fade.
const MIN_SAMPLE_WEIGHT: f32 = 0.005;
/// The furthest a sample may pull, in doublings.
const MAX_PULL_LOG2: f32 = 2.0;

/// A robust running centre of samples: each pulls by a bounded amount.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RobustMean {
    /// Where it stands.
    pub(crate) value: f32,
    /// Samples seen since it was last told to forget.
    pub(crate) count: u32,
}

impl RobustMean {
    /// Takes a sample.
    pub(crate) fn push(&mut self, sample: f32) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / self.count as f32).max(MIN_SAMPLE_WEIGHT);
        let pull = sample - self.value;
        // The first sample stands for itself; there is nothing yet to be robust against.
        self.value += weight * if self.count == 1 { pull } else { pull.clamp(-MAX_PULL_LOG2, MAX_PULL_LOG2) };
    }
}

/// Quarter doublings of a [`ErrorHistogram`], from `2^-8` to `2^8`.
const HISTOGRAM_CELLS: usize = 64;
/// Samples after which the older ones count half.
const HALVING_SAMPLES: f32 = 4096.0;
/// Samples below which quantiles are not trusted.
const MIN_QUANTILE_SAMPLES: f32 = 32.0;

/// The distribution of actual over predicted sizes.
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
    fn push(&mut self, log: f32) {
        let cell = ((log + 8.0) * 4.0).clamp(0.0, (HISTOGRAM_CELLS - 1) as f32) as usize;
        self.counts[cell] += 1.0;
        self.total += 1.0;
        if self.total >= HALVING_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }

    /// The share of tasks whose ratio is above `log`; past what was seen it falls with the third power.
    pub(crate) fn fraction_above(&self, log: f32) -> f32 {
        if self.total < MIN_QUANTILE_SAMPLES {
            return 1.0;
        }
        let cell = ((log + 8.0) * 4.0).clamp(0.0, (HISTOGRAM_CELLS - 1) as f32) as usize;
        let above: f32 = self.counts[cell + 1..].iter().sum();
        let least = 1.0 / (self.total + 8.0);
        if above > 0.0 {
            return (above / self.total).max(least);
        }
        let top = self.counts.iter().rposition(|&count| count > 0.0).map_or(4.0, |at| (at + 1) as f32 / 4.0 - 8.0);
        least * (-3.0 * (log - top).max(0.0)).exp2()
    }

    /// The logarithm of the ratio below which a share `q` of tasks stay; `fallback` until enough was seen.
    pub(crate) fn quantile(&self, q: f64, fallback: f32) -> f32 {
        if self.total < MIN_QUANTILE_SAMPLES {
            return fallback;
        }
        let goal = self.total * q as f32;
        let mut sum = 0.0;
        let cell = self.counts.iter().position(|count| {
            sum += count;
            sum >= goal
        });
        (cell.unwrap_or(HISTOGRAM_CELLS - 1) + 1) as f32 / 4.0 - 8.0
    }
}

/// The sizes of the tasks of one entry, and how far declared times can be believed.
#[derive(Debug, Clone, Default)]
pub(crate) struct SizeModel {
    plain: RobustMean,
    weight: f32,
    hint: f32,
    size: f32,
    square: f32,
    cross: f32,
    mean: f32,
    /// Actual over predicted.
    pub(crate) spread: ErrorHistogram,
}

impl SizeModel {
    /// The predicted size of a task with a declared time of `hint` milliseconds (0: none).
    pub(crate) fn predict(&self, hint: u64) -> f32 {
        match (hint, self.plain.count) {
            (0, 0) => DEFAULT_SIZE_LOG2,
            (_, 0) => log_millis(hint),
            (0, _) => self.plain.value,
            _ => self.line(log_millis(hint)),
        }
    }

    /// True once enough tasks were seen to go by.
    pub(crate) fn is_trained(&self) -> bool {
        self.plain.count as f32 >= MIN_QUANTILE_SAMPLES
    }

    /// The mean of actual over predicted run times.
    pub(crate) fn mean_ratio(&self) -> f32 {
        if self.weight < MIN_QUANTILE_SAMPLES { 1.0 } else { self.mean.clamp(0.25, 16.0) }
    }

    /// Takes the size of a task that ran to its end.
    pub(crate) fn push(&mut self, hint: u64, size: f32) {
        let predicted = self.predict(hint);
        let error = size - predicted;
        self.spread.push(error);
        self.plain.push(size);
        if hint > 0 {
            let x = log_millis(hint);
            let y = predicted + error.clamp(-2.0 * MAX_PULL_LOG2, 2.0 * MAX_PULL_LOG2);
            let keep = (self.weight / (self.weight + 1.0)).min(1.0 - MIN_SAMPLE_WEIGHT / 4.0);
            self.weight = self.weight * keep + 1.0;
            let share = 1.0 / self.weight;
            self.hint += share * (x - self.hint);
            self.size += share * (y - self.size);
            self.square += share * (x * x - self.square);
            self.cross += share * (x * y - self.cross);
        } else {
            self.weight = (self.weight + 1.0).min(1.0 / MIN_SAMPLE_WEIGHT);
        }
        let share = (1.0 / self.weight.max(1.0)).max(MIN_SAMPLE_WEIGHT / 4.0);
        self.mean += share * (error.exp2().min(64.0) - self.mean);
    }

    /// Moves every size by `shift` doublings.
    pub(crate) fn shift(&mut self, shift: f32) {
        self.plain.value += shift;
        self.cross += shift * self.hint;
        self.size += shift;
    }

    /// The regression of sizes on declared times, with a slope between "worthless" and "exact".
    fn line(&self, x: f32) -> f32 {
        if self.weight < MIN_QUANTILE_SAMPLES {
            return f32::midpoint(x, self.plain.value);
        }
        let variance = self.square - self.hint * self.hint;
        let slope = if variance < 0.01 { 0.0 } else { (self.cross - self.hint * self.size) / variance };
        self.size + slope.clamp(0.0, 1.0) * (x - self.hint)
    }
}

/// The targets that serve one entry, by learned speed.
#[derive(Debug, Clone)]
pub(crate) struct SpeedIndex {
    steps: Vec<u8>,
    categories: Vec<u8>,
    estimates: Vec<RobustMean>,
    sets: [Vec<BitSet>; TARGET_CATEGORIES],
    /// Targets that serve the entry.
    pub(crate) members: u32,
    /// For each flavour, the steps that have members.
    pub(crate) used_steps: [u64; TARGET_CATEGORIES],
}

/// Kinds of targets that are searched apart: in this zone or another, without or with accelerators.
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

    /// Adds a target with what is known of its speed.
    pub(crate) fn insert(&mut self, id: u32, flavour: u8, speed: f32) {
        let at = id as usize;
        if at >= self.steps.len() {
            self.steps.resize(at + 1, NO_STEP);
            self.categories.resize(at + 1, 0);
            self.estimates.resize(at + 1, RobustMean::default());
        }
        self.move_to_step(id, NO_STEP);
        self.categories[at] = flavour;
        self.estimates[at] = RobustMean { value: speed, count: 0 };
        self.move_to_step(id, step(optimistic(self.estimates[at])));
    }

    /// Takes a target out.
    pub(crate) fn remove(&mut self, id: u32) {
        if self.serves(id) {
            self.move_to_step(id, NO_STEP);
        }
    }

    /// The learned speed.
    pub(crate) fn speed(&self, id: u32) -> f32 {
        self.estimates[id as usize].value
    }

    /// The speed it may well have: the learned one and more, the less it was tried.
    pub(crate) fn optimistic_speed(&self, id: u32) -> f32 {
        optimistic(self.estimates[id as usize])
    }

    /// Trusts what was learned a little less, so that targets that are no longer tried get their turn again.
    pub(crate) fn decay(&mut self) {
        for id in 0..self.steps.len() as u32 {
            if self.serves(id) {
                let pair = &mut self.estimates[id as usize];
                pair.count -= pair.count / DECAY_DIVISOR;
                let fresh = step(optimistic(*pair));
                self.move_to_step(id, fresh);
            }
        }
    }

    /// The step of a target; 0 is the fastest.
    pub(crate) fn step(&self, id: u32) -> usize {
        usize::from(self.steps[id as usize])
    }

    /// The targets of a flavour in a step.
    pub(crate) fn step_members(&self, flavour: usize, step: usize) -> &BitSet {
        &self.sets[flavour][step]
    }

    /// True if the learned speed of a target is believed.
    pub(crate) fn is_learned(&self, id: u32) -> bool {
        self.serves(id) && self.estimates[id as usize].count >= MIN_SPEED_SAMPLES
    }

    /// How many doublings the learned speed may be off.
    pub(crate) fn speed_margin(&self, id: u32) -> f32 {
        if self.is_learned(id) { 0.0 } else { UNLEARNED_MARGIN_LOG2 }
    }

    /// Takes a sample of a target's speed; `forget` makes it count as if little was known.
    pub(crate) fn push(&mut self, id: u32, sample: f32, prior: RobustMean, forget: bool) {
        let pair = &mut self.estimates[id as usize];
        if pair.count == 0 {
            // What other entries taught about the target counts for a few samples.
            *pair = RobustMean { value: prior.value, count: prior.count.min(8) };
        }
        if forget {
            pair.count = pair.count.min(8);
        }
        pair.push(sample);
        let fresh = step(optimistic(*pair));
        if fresh != self.steps[id as usize] {
            self.move_to_step(id, fresh);
        }
    }

    /// Moves every learned speed by `shift` doublings.
    pub(crate) fn shift(&mut self, shift: f32) {
        for id in 0..self.steps.len() as u32 {
            if self.serves(id) && self.estimates[id as usize].count > 0 {
                self.estimates[id as usize].value += shift;
                self.move_to_step(id, step(optimistic(self.estimates[id as usize])));
            }
        }
    }

    fn move_to_step(&mut self, id: u32, fresh: u8) {
        let at = id as usize;
        let flavour = usize::from(self.categories[at]);
        if self.steps[at] != NO_STEP {
            let old = usize::from(self.steps[at]);
            self.sets[flavour][old].set(id, false);
            if self.sets[flavour][old].is_empty() {
                self.used_steps[flavour] &= !(1 << old);
            }
        }
        self.members += u32::from(fresh != NO_STEP);
        self.members -= u32::from(self.steps[at] != NO_STEP);
        self.steps[at] = fresh;
        if fresh != NO_STEP {
            self.sets[flavour][usize::from(fresh)].set(id, true);
            self.used_steps[flavour] |= 1 << fresh;
        }
    }
}

fn optimistic(pair: RobustMean) -> f32 {
    pair.value + OPTIMISM_LOG2 / ((pair.count + 1) as f32).sqrt()
}

/// The step of a speed.
fn step(speed: f32) -> u8 {
    ((SPEED_STEPS as f32 / 2.0 - speed * STEPS_PER_DOUBLING).round()).clamp(0.0, (SPEED_STEPS - 1) as f32) as u8
}

/// The speed in the middle of a step.
pub(crate) fn speed_of(step: usize) -> f32 {
    (SPEED_STEPS as f32 / 2.0 - step as f32) / STEPS_PER_DOUBLING
}

/// The size of so many milliseconds at speed 1.
fn log_millis(millis: u64) -> f32 {
    (millis as f32 * 1000.0).log2()
}
