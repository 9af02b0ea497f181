//! Rate limits, concurrency limits, quotas and budgets of one entry.

use crate::targets::Allocation;
use mangogw_model::{Code, Entry, Needs, Time};
use std::time::Duration;

/// Maximum number of tries that a budget accumulates.
const MAX_SAVED_TRIES: f64 = 10.0;

/// Shares of an entry's limits that this host may use, from 0 to 1.
///
/// ```
/// use mangogw_dispatch::LimitShare;
/// assert_eq!(LimitShare::WHOLE.rate, 1.0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Share of the rate and the burst.
    pub rate: f64,
    /// Share of the concurrency limit.
    pub concurrency: f64,
    /// Share of the quotas of cores, memory and accelerators.
    pub quota: f64,
}

impl LimitShare {
    /// All limits in full.
    pub const WHOLE: Self = Self { rate: 1.0, concurrency: 1.0, quota: 1.0 };
}

impl Default for LimitShare {
    fn default() -> Self {
        Self::WHOLE
    }
}

/// Token bucket of a rate limit.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    level: f64,
    refilled_at: Time,
    started: bool,
}

impl TokenBucket {
    /// Takes a token, or returns the time until one is available, at most 60 s.
    pub(crate) fn take(&mut self, now: Time, rate: f64, burst: f64) -> Result<(), Duration> {
        let burst = burst.max(1.0);
        let gained = (now - self.refilled_at).as_secs_f64() * rate;
        self.level = if self.started { (self.level + gained).min(burst) } else { burst };
        self.started = true;
        self.refilled_at = now;
        if self.level < 1.0 {
            let wait = if rate > 0.0 { (1.0 - self.level) / rate } else { 60.0 };
            return Err(Duration::from_secs_f64(wait.min(60.0)));
        }
        self.level -= 1.0;
        Ok(())
    }
}

/// Budget of extra tries (retries or hedges), earned by requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Budget(f64);

impl Budget {
    /// Adds the fraction of a try that one request earns.
    pub(crate) fn earn(&mut self, fraction: f64) {
        self.0 = (self.0 + fraction.max(0.0)).min(MAX_SAVED_TRIES);
    }

    /// True if at least one try is available.
    pub(crate) fn has_try(self) -> bool {
        self.0 >= 1.0
    }

    /// Spends one try. Returns false if none is available.
    pub(crate) fn spend(&mut self) -> bool {
        let available = self.0 >= 1.0;
        if available {
            self.0 -= 1.0;
        }
        available
    }
}

/// Returns this host's share of a limit, rounded down but at least 1; a limit of 0 means no limit.
fn scaled(limit: u64, share: f64) -> Option<u64> {
    (limit > 0).then(|| ((limit as f64 * share).floor() as u64).max(1))
}

/// Returns the limit that prevents one more task from starting now beside those that hold `held`.
pub(crate) fn blocking_limit(entry: &Entry, share: &LimitShare, held: &Allocation, needs: &Needs) -> Option<Code> {
    let is_over =
        |limit: u64, share: f64, held: u64, needed: u64| scaled(limit, share).is_some_and(|max| held + needed > max);
    let quota = &entry.quota;
    match () {
        () if is_over(entry.limits.concurrency.into(), share.concurrency, held.tasks.into(), 1) => {
            Some(Code::ConcurrencyLimited)
        }
        () if is_over(quota.cores.into(), share.quota, held.cores.into(), needs.cores.into())
            || is_over(quota.memory_mb, share.quota, held.memory, needs.memory_mb)
            || is_over(quota.accelerators.into(), share.quota, held.accelerators.into(), needs.accelerators.into()) =>
        {
            Some(Code::QuotaExceeded)
        }
        () => None,
    }
}
