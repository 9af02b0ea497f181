//! The calls of a load, drawn before it starts.

use super::Settings;
use mangogw_model::EntryName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The part of the tasks of jobs that run for several times the mean.
const LONG_TASK_SHARE: f64 = 0.02;
/// How many times the mean those run.
const LONG_TASK_FACTOR: f64 = 10.0;
/// How many times the rate a burst has.
const BURST_FACTOR: f64 = 10.0;
/// The part of the time that bursts take.
const BURST_SHARE: f64 = 0.05;
/// The time from one burst to the next.
const BURST_PERIOD_S: f64 = 2.0;

/// How calls arrive.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ArrivalPattern {
    /// Independently, at a constant rate.
    #[default]
    Poisson,
    /// The same, with short bursts of ten times the rate.
    Burst,
}

/// A time at which a call arrives.
pub type ArrivalOffset = Duration;

/// Every call of a load, by time.
#[derive(Debug)]
pub struct Plan {
    pub(super) calls: Vec<Call>,
}

#[derive(Debug)]
pub(super) struct Call {
    pub offset: ArrivalOffset,
    pub kind: CallKind,
}

#[derive(Debug)]
pub(super) enum CallKind {
    Run { entry: EntryName, runtime_ms: f64 },
    Job { entry: EntryName, runtimes_ms: Vec<f64>, resubmit: bool, cancel: bool },
}

impl Plan {
    /// Draws the calls of a load; equal settings draw equal plans.
    pub fn draw(settings: &Settings) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let mut calls = Vec::new();
        let mut at = 0.0;
        loop {
            let rate = settings.rate * settings.pattern.factor(at);
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= settings.duration.as_secs_f64() {
                return Self { calls };
            }
            let kind = CallKind::draw(settings, &mut rng);
            calls.push(Call { offset: Duration::from_secs_f64(at), kind });
        }
    }

    /// The number of calls.
    pub const fn len(&self) -> usize {
        self.calls.len()
    }

    /// True if there are none.
    pub const fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

impl ArrivalPattern {
    /// The rate at a time, as a multiple of the mean rate between bursts.
    fn factor(self, at: f64) -> f64 {
        match self {
            Self::Burst if (at % BURST_PERIOD_S) < BURST_PERIOD_S * BURST_SHARE => BURST_FACTOR,
            Self::Poisson | Self::Burst => 1.0,
        }
    }
}

impl CallKind {
    fn draw(settings: &Settings, rng: &mut Pcg64Mcg) -> Self {
        let is_job = rng.random::<f64>() < settings.job_share;
        match &settings.job_entry {
            Some(entry) if is_job => Self::Job {
                entry: entry.clone(),
                runtimes_ms: (0..settings.tasks).map(|_| run_time(settings, LONG_TASK_SHARE, rng)).collect(),
                resubmit: rng.random::<f64>() < settings.resubmit_share,
                cancel: rng.random::<f64>() < settings.cancel_share,
            },
            _ => Self::Run {
                entry: settings.entries[rng.random_range(0..settings.entries.len())].clone(),
                runtime_ms: run_time(settings, 0.0, rng),
            },
        }
    }
}

/// A run time in milliseconds: half to one and a half of the mean, and a part `long` that is much longer.
fn run_time(settings: &Settings, long: f64, rng: &mut Pcg64Mcg) -> f64 {
    let mean = settings.mean_runtime.as_secs_f64() * 1e3;
    let factor = if rng.random::<f64>() < long { LONG_TASK_FACTOR } else { 1.0 };
    mean * factor * (0.5 + rng.random::<f64>())
}
