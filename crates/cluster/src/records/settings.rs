//! Settings of the records of one host.

use mangogw_model::{HostId, Incarnation, Zone};
use std::time::Duration;

/// Time for which an owner may act on one lease of a follower.
const LEASE_DURATION: Duration = Duration::from_secs(1);
/// Time for which a record is kept after its submission ended.
const RETENTION: Duration = Duration::from_mins(2);
/// Longest deadline of a submission.
const MAX_DEADLINE: Duration = Duration::from_mins(2);
/// Time for which an entry host looks for the owner of a key.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of tasks that may start before the followers have recorded the next ones.
const WINDOW_TASKS: u32 = 64;
/// Maximum size of the records of a host as owner and follower, in bytes.
const MAX_BYTES: usize = 256 * 1024 * 1024;
/// Approximate size of the records in one takeover message, in bytes.
const PAGE_BYTES: usize = 256 * 1024;

/// Settings of the records of one host.
///
/// ```
/// use mangogw_cluster::records::Settings;
/// use mangogw_model::{HostId, Incarnation};
///
/// let settings = Settings::new(HostId(1), Incarnation(7), "regina-a".into());
/// assert_eq!(settings.window_tasks, 64);
/// ```
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this host.
    pub host: HostId,
    /// Incarnation of the process; higher than all earlier ones.
    pub incarnation: Incarnation,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Seed of the jitter of lease renewals.
    pub seed: u64,
    /// Time for which an owner may act on one lease of a follower.
    pub lease_duration: Duration,
    /// Time for which a record is kept after its submission ended; resubmissions get the first answer until then.
    pub retention: Duration,
    /// Longest deadline of a submission; longer ones are shortened to it.
    pub max_deadline: Duration,
    /// Time for which an entry host looks for the owner of a key before it refuses the request.
    pub owner_timeout: Duration,
    /// Number of tasks that may start before the followers have recorded the next ones.
    pub window_tasks: u32,
    /// Maximum size of the records on this host, in bytes; new submissions above it are refused.
    pub max_bytes: usize,
    /// Approximate size of the records in one takeover message, in bytes.
    pub page_bytes: usize,
}

impl Settings {
    /// Creates the settings of `host` in `incarnation`, with the default times and limits.
    pub const fn new(host: HostId, incarnation: Incarnation, zone: Zone) -> Self {
        Self {
            host,
            incarnation,
            zone,
            seed: host.0,
            lease_duration: LEASE_DURATION,
            retention: RETENTION,
            max_deadline: MAX_DEADLINE,
            owner_timeout: OWNER_TIMEOUT,
            window_tasks: WINDOW_TASKS,
            max_bytes: MAX_BYTES,
            page_bytes: PAGE_BYTES,
        }
    }

    /// Returns how long a follower keeps a lease: a tenth longer than the owner, which covers clock rates that differ
    /// by up to 9 %.
    pub(super) fn follower_lease(&self) -> Duration {
        self.lease_duration + self.lease_duration / 10
    }

    /// Returns how long after the loss of all records one of their submissions can still be resubmitted.
    pub(super) fn unseen_wait(&self) -> Duration {
        (self.max_deadline + self.retention).mul_f64(1.1)
    }
}
