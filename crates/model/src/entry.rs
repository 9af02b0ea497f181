//! Catalogue entries and team settings. Operators control the system only through the catalogue.

use crate::{Class, Owner};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One entry of the catalogue.
///
/// ```
/// use mangogw_model::{Class, Entry};
///
/// let entry = Entry::default();
/// assert_eq!(entry.class, Class::Normal);
/// assert!(!entry.repeatable);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Entry {
    /// Team that owns the entry.
    pub owner: Owner,
    /// Priority class of the entry's traffic.
    pub class: Class,
    /// True if a request of the entry may run more than once.
    pub repeatable: bool,
    /// Default deadline of requests that set none, in milliseconds.
    pub deadline_ms: u64,
    /// Scheduling weight relative to other owners in the same class.
    pub weight: u32,
    /// Limits on the entry's traffic.
    pub limits: Limits,
    /// Limits on the resources that the entry's running tasks hold together; 0 means unlimited.
    pub quota: Quota,
    /// Retry policy for failed requests.
    pub retry: Retry,
    /// Hedging policy: when a second attempt of a slow request runs in parallel with the first.
    pub hedge: Hedge,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            owner: Owner::default(),
            class: Class::Normal,
            repeatable: false,
            deadline_ms: 10_000,
            weight: 1,
            limits: Limits::default(),
            quota: Quota::default(),
            retry: Retry::default(),
            hedge: Hedge::default(),
        }
    }
}

impl Entry {
    /// Returns the default deadline of requests that set none.
    ///
    /// ```
    /// let entry = mangogw_model::Entry::default();
    /// assert_eq!(entry.deadline().as_secs(), 10);
    /// ```
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Limits on the traffic of an entry, over the whole system unless stated otherwise.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests and tasks per second; 0 means unlimited.
    pub rate: u32,
    /// Number of requests and tasks that may arrive at once above the rate.
    pub burst: u32,
    /// Maximum number of concurrent requests and tasks; 0 means unlimited.
    pub concurrency: u32,
    /// Maximum number of queued requests and tasks on each host.
    pub queue: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of an answer, in bytes.
    pub answer_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { rate: 0, burst: 100, concurrency: 0, queue: 10_000, body_bytes: 256 * 1024, answer_bytes: 1024 * 1024 }
    }
}

/// Limits on the resources that concurrent tasks of an entry or team hold together; 0 means unlimited.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quota {
    /// Number of cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Retry policy for failed requests. Applies only to repeatable entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// Maximum number of attempts of one request, including the first.
    pub tries: u32,
    /// Maximum number of retries per request of the entry, on average.
    pub budget: f64,
}

impl Default for Retry {
    fn default() -> Self {
        Self { tries: 3, budget: 0.1 }
    }
}

/// Hedging policy for slow requests. Applies only to repeatable entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hedge {
    /// Quantile of the run time, from 0 to 1, after which a hedge is sent.
    pub quantile: f64,
    /// Maximum number of hedges per request of the entry, on average; 0 disables hedging.
    pub budget: f64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self { quantile: 0.99, budget: 0.0 }
    }
}

/// Weight and quota of a team, over all its entries. Only administrators may change them.
///
/// ```
/// assert_eq!(mangogw_model::Team::default().weight, 1);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Scheduling weight relative to other teams in the same class.
    pub weight: u32,
    /// Limits on the resources that the team's running tasks hold together; 0 means unlimited.
    pub quota: Quota,
}

impl Default for Team {
    fn default() -> Self {
        Self { weight: 1, quota: Quota::default() }
    }
}
