//! Report of a load: counts and quantiles of its results.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use mangogw_model::{Code, JobState};
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Factor from samples to the integers of the histogram, which therefore holds thousandths.
const HISTOGRAM_SCALE: f64 = 1_000.0;

/// Counts and samples collected while a load runs.
#[derive(Debug, Default)]
pub(super) struct Tally {
    slowdowns: Vec<f64>,
    added_ms: Vec<f64>,
    codes: IndexMap<u16, u64>,
    jobs: IndexMap<&'static str, u64>,
    job_slowdowns: Vec<f64>,
    lost: u64,
    wrong: u64,
}

/// Results of a load.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Seconds from the start of the load to the last answer.
    pub seconds: f64,
    /// Number of single requests that were answered.
    pub answered: u64,
    /// Number of calls without any response.
    pub lost: u64,
    /// Number of answers that were partial or belonged to another call; any value but 0 is a fault.
    pub wrong: u64,
    /// Number of responses by result code.
    pub codes: IndexMap<u16, u64>,
    /// Number of jobs by state.
    pub jobs: IndexMap<&'static str, u64>,
    /// Response time of single requests divided by their run time.
    pub slowdown: Quantiles,
    /// Response time of single requests minus their run time, in milliseconds.
    pub added_ms: Quantiles,
    /// Response time of jobs divided by the run time of their longest task at speed 1.
    pub job_slowdown: Quantiles,
    /// Messages other than the one start of each task, per answered request and complete job.
    pub wasted: f64,
}

/// Quantiles of one measured quantity.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

impl Tally {
    pub(super) const fn count_lost(&mut self) {
        self.lost += 1;
    }

    pub(super) fn count_code(&mut self, code: u16) {
        *self.codes.entry(code).or_default() += 1;
    }

    pub(super) fn record_answer(&mut self, elapsed: Duration, runtime_ms: f64, is_correct: bool) {
        let elapsed = elapsed.as_secs_f64() * 1e3;
        self.slowdowns.push(elapsed / runtime_ms);
        self.added_ms.push(elapsed - runtime_ms);
        self.wrong += u64::from(!is_correct);
    }

    pub(super) fn record_job(&mut self, elapsed: Duration, state: JobState, longest_ms: f64, is_correct: bool) {
        let name = match state {
            JobState::Running => "running",
            JobState::Complete => "complete",
            JobState::Failed => "failed",
        };
        *self.jobs.entry(name).or_default() += 1;
        self.wrong += u64::from(!is_correct);
        if state == JobState::Complete {
            self.job_slowdowns.push(elapsed.as_secs_f64() * 1e3 / longest_ms);
        }
    }

    pub(super) fn report(self, elapsed: Duration, wasted_messages: u64) -> Report {
        let answered = self.slowdowns.len() as u64;
        let done = answered + self.jobs.get("complete").copied().unwrap_or(0);
        Report {
            seconds: elapsed.as_secs_f64(),
            answered,
            lost: self.lost,
            wrong: self.wrong,
            codes: self.codes,
            jobs: self.jobs,
            slowdown: Quantiles::from_samples(&self.slowdowns),
            added_ms: Quantiles::from_samples(&self.added_ms),
            job_slowdown: Quantiles::from_samples(&self.job_slowdowns),
            wasted: if done == 0 { 0.0 } else { wasted_messages as f64 / done as f64 },
        }
    }
}

impl Quantiles {
    /// Returns the quantiles of samples; samples below 0 count as 0.
    ///
    /// ```
    /// use mangogw::load::Quantiles;
    /// let quantiles = Quantiles::from_samples(&[1.0, 2.0, 3.0]);
    /// assert!((quantiles.p50 - 2.0).abs() < 0.01);
    /// ```
    pub fn from_samples(samples: &[f64]) -> Self {
        // Three significant digits are always valid for a histogram.
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Self::default() };
        for sample in samples {
            // `record` lets the histogram grow with its values, which `saturating_record` does not.
            if histogram.record((sample.max(0.0) * HISTOGRAM_SCALE) as u64).is_err() {
                return Self::default();
            }
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / HISTOGRAM_SCALE;
        Self { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p50 {:.3}  p99 {:.3}  p99.9 {:.3}", self.p50, self.p99, self.p999)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "answered      {} in {:.1} s", self.answered, self.seconds)?;
        for (state, count) in &self.jobs {
            writeln!(f, "jobs          {count} {state}")?;
        }
        writeln!(f, "lost          {}", self.lost)?;
        writeln!(f, "wrong         {}", self.wrong)?;
        writeln!(f, "slowdown      {}", self.slowdown)?;
        writeln!(f, "added ms      {}", self.added_ms)?;
        writeln!(f, "job slowdown  {}", self.job_slowdown)?;
        writeln!(f, "wasted        {:.4} messages for each completed request", self.wasted)?;
        for (number, count) in &self.codes {
            let title = Code::from_number(*number).map_or("", Code::title);
            writeln!(f, "code {number}     {count} {title}")?;
        }
        Ok(())
    }
}
