//! Plan of a load: all calls with their times, drawn before the load starts.

use super::Settings;
use mangogw_model::EntryName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Share of the tasks in jobs that run for [`LONG_TASK_FACTOR`] times the mean.
const LONG_TASK_SHARE: f64 = 0.02;
/// Run time of long tasks as a multiple of the mean.
const LONG_TASK_FACTOR: f64 = 10.0;
/// Rate in a burst as a multiple of the rate between bursts.
const BURST_FACTOR: f64 = 10.0;
/// Share of the time during which bursts run.
const BURST_SHARE: f64 = 0.05;
/// Time from the start of one burst to the next, in seconds.
const BURST_PERIOD_S: f64 = 2.0;

/// Pattern in which calls arrive.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ArrivalPattern {
    /// Independent arrivals at a constant rate.
    #[default]
    Poisson,
    /// Independent arrivals at a constant rate, with short bursts of ten times the rate.
    Burst,
}

/// Time of a call since the start of the load.
pub type ArrivalOffset = Duration;

/// All calls of a load, ordered by time.
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
    /// Draws the calls of a load; equal settings give equal plans.
    pub fn draw(settings: &Settings) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let mut calls = Vec::new();
        let mut offset_s = 0.0;
        loop {
            let rate = settings.rate * settings.pattern.factor(offset_s);
            offset_s += -(1.0 - rng.random::<f64>()).ln() / rate;
            if offset_s >= settings.duration.as_secs_f64() {
                return Self { calls };
            }
            let kind = CallKind::draw(settings, &mut rng);
            calls.push(Call { offset: Duration::from_secs_f64(offset_s), kind });
        }
    }

    /// Returns the number of calls.
    pub const fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns true if there are no calls.
    pub const fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

impl ArrivalPattern {
    /// Returns the rate `offset_s` seconds after the start, as a multiple of the mean rate between bursts.
    fn factor(self, offset_s: f64) -> f64 {
        match self {
            Self::Burst if (offset_s % BURST_PERIOD_S) < BURST_PERIOD_S * BURST_SHARE => BURST_FACTOR,
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

/// Draws a run time in milliseconds: 0.5 to 1.5 times the mean, and [`LONG_TASK_FACTOR`] times longer for a share
/// `long_share` of the tasks.
fn run_time(settings: &Settings, long_share: f64, rng: &mut Pcg64Mcg) -> f64 {
    let mean = settings.mean_runtime.as_secs_f64() * 1e3;
    let factor = if rng.random::<f64>() < long_share { LONG_TASK_FACTOR } else { 1.0 };
    mean * factor * (0.5 + rng.random::<f64>())
}
