//! Catalogue entries: the only thing operators steer the system by.

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
    /// The team that owns it.
    pub owner: Owner,
    /// The priority of its traffic.
    pub class: Class,
    /// True if a request may run more than once.
    pub repeatable: bool,
    /// The deadline of a request that brings none, in milliseconds.
    pub deadline_ms: u64,
    /// The share against other owners of the same class.
    pub weight: u32,
    /// Bounds on its traffic.
    pub limits: Limits,
    /// Bounds on what it may hold at once; 0 is no bound.
    pub quota: Quota,
    /// When a failed request may be tried again.
    pub retry: Retry,
    /// When a slow request may be tried a second time beside the first.
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
    /// The deadline of a request that brings none.
    ///
    /// ```
    /// let entry = mangogw_model::Entry::default();
    /// assert_eq!(entry.deadline().as_secs(), 10);
    /// ```
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Bounds on the traffic of an entry; the whole system shares them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests and tasks a second; 0 is no bound.
    pub rate: u32,
    /// How many may come at once on top of the rate.
    pub burst: u32,
    /// Requests and tasks running at once; 0 is no bound.
    pub concurrency: u32,
    /// Requests and tasks waiting at once, on each host.
    pub queue: u32,
    /// Bytes of a request body.
    pub body_bytes: u64,
    /// Bytes of an answer.
    pub answer_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { rate: 0, burst: 100, concurrency: 0, queue: 10_000, body_bytes: 256 * 1024, answer_bytes: 1024 * 1024 }
    }
}

/// Resources the tasks of an entry may hold at once; 0 is no bound.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quota {
    /// Cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

/// When a failed request may be tried again. Used only where the entry is repeatable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// Tries of one request, the first included.
    pub tries: u32,
    /// Retries for each request of the entry, on average.
    pub budget: f64,
}

impl Default for Retry {
    fn default() -> Self {
        Self { tries: 3, budget: 0.1 }
    }
}

/// When a slow request may be tried a second time. Used only where the entry is repeatable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hedge {
    /// The quantile of the run time after which a hedge is sent.
    pub quantile: f64,
    /// Hedges for each request of the entry, on average; 0 sends none.
    pub budget: f64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self { quantile: 0.99, budget: 0.0 }
    }
}

/// What a team may use, all its entries together; changed by administrators only.
///
/// ```
/// assert_eq!(mangogw_model::Team::default().weight, 1);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// The share against other teams of the same class.
    pub weight: u32,
    /// Bounds on what its tasks may hold at once; 0 is no bound.
    pub quota: Quota,
}

impl Default for Team {
    fn default() -> Self {
        Self { weight: 1, quota: Quota::default() }
    }
}
