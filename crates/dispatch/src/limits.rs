//! Rates, concurrency, quotas and budgets of one entry.

use crate::targets::Allocation;
use mangogw_model::{Code, Entry, Needs, Time};
use std::time::Duration;

/// Extra tries an idle budget may hold.
const MAX_SAVED_TRIES: f64 = 10.0;

/// The part of an entry's limits that this host may use, from 0 to 1.
///
/// ```
/// use mangogw_dispatch::LimitShare;
/// assert_eq!(LimitShare::WHOLE.rate, 1.0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Of the rate and the burst.
    pub rate: f64,
    /// Of the concurrency.
    pub concurrency: f64,
    /// Of the quota of cores, memory and accelerators.
    pub quota: f64,
}

impl LimitShare {
    /// All of it.
    pub const WHOLE: Self = Self { rate: 1.0, concurrency: 1.0, quota: 1.0 };
}

impl Default for LimitShare {
    fn default() -> Self {
        Self::WHOLE
    }
}

/// A token bucket.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    level: f64,
    refilled_at: Time,
    opened: bool,
}

impl TokenBucket {
    /// Takes a token, or says how long until there is one.
    pub(crate) fn take(&mut self, now: Time, rate: f64, burst: f64) -> Result<(), Duration> {
        let burst = burst.max(1.0);
        let gained = (now - self.refilled_at).as_secs_f64() * rate;
        self.level = if self.opened { (self.level + gained).min(burst) } else { burst };
        self.opened = true;
        self.refilled_at = now;
        if self.level < 1.0 {
            let wait = if rate > 0.0 { (1.0 - self.level) / rate } else { 60.0 };
            return Err(Duration::from_secs_f64(wait.min(60.0)));
        }
        self.level -= 1.0;
        Ok(())
    }
}

/// Extra tries earned by requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Budget(f64);

impl Budget {
    /// Earns what one request brings.
    pub(crate) fn earn(&mut self, part: f64) {
        self.0 = (self.0 + part.max(0.0)).min(MAX_SAVED_TRIES);
    }

    /// True if a try is there.
    pub(crate) fn has_try(self) -> bool {
        self.0 >= 1.0
    }

    /// Spends one try if it is there.
    pub(crate) fn spend(&mut self) -> bool {
        let there = self.0 >= 1.0;
        if there {
            self.0 -= 1.0;
        }
        there
    }
}

/// A bound scaled to this host's share; 0 is none, and a bound never becomes 0.
fn scaled(bound: u64, share: f64) -> Option<u64> {
    (bound > 0).then(|| ((bound as f64 * share).floor() as u64).max(1))
}

/// The bound that keeps a task of an entry that holds `held` from starting now.
pub(crate) fn blocking_limit(entry: &Entry, share: &LimitShare, held: &Allocation, needs: &Needs) -> Option<Code> {
    let over = |bound: u64, part: f64, held: u64, more: u64| scaled(bound, part).is_some_and(|all| held + more > all);
    let quota = &entry.quota;
    match () {
        () if over(entry.limits.concurrency.into(), share.concurrency, held.tasks.into(), 1) => {
            Some(Code::ConcurrencyLimited)
        }
        () if over(quota.cores.into(), share.quota, held.cores.into(), needs.cores.into())
            || over(quota.memory_mb, share.quota, held.memory, needs.memory_mb)
            || over(quota.accelerators.into(), share.quota, held.accelerators.into(), needs.accelerators.into()) =>
        {
            Some(Code::QuotaExceeded)
        }
        () => None,
    }
}
