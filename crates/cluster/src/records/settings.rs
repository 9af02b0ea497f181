//! What a host's records are opened with.

use mangogw_model::{HostId, Incarnation, Zone};
use std::time::Duration;

/// How long an owner may act on one grant of a follower.
const LEASE_DURATION: Duration = Duration::from_secs(1);
/// How long a record is kept after its submission ended.
const RETENTION: Duration = Duration::from_mins(2);
/// The longest deadline of a submission.
const MAX_DEADLINE: Duration = Duration::from_mins(2);
/// How long an entry host looks for the home of a key.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Tasks that may start before the followers hear of the next ones.
const WINDOW_TASKS: u32 = 64;
/// Bytes of records that a host holds as owner and follower.
const MAX_BYTES: usize = 256 * 1024 * 1024;
/// Bytes of records in one message of a takeover, about.
const PAGE_BYTES: usize = 256 * 1024;

/// What a host's records are opened with.
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
    /// This host.
    pub host: HostId,
    /// The life of its process; higher than in every life before.
    pub incarnation: Incarnation,
    /// The zone it stands in.
    pub zone: Zone,
    /// Spreads renewals in time.
    pub seed: u64,
    /// How long an owner may act on one grant of a follower.
    pub lease_duration: Duration,
    /// How long a record is kept after its submission ended; resubmits get the first answer that long.
    pub retention: Duration,
    /// The longest deadline of a submission; longer ones are cut to it.
    pub max_deadline: Duration,
    /// How long an entry host looks for the home of a key before it refuses.
    pub owner_timeout: Duration,
    /// Tasks that may start before the followers hear of the next ones.
    pub window_tasks: u32,
    /// Bytes of records that this host holds; above it new submissions are refused.
    pub max_bytes: usize,
    /// Bytes of records in one message of a takeover, about.
    pub page_bytes: usize,
}

impl Settings {
    /// The settings of `host` in its life `incarnation`, with the usual times and bounds.
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

    /// How long a follower keeps its word: a tenth longer than the owner counts, so that clocks whose rates differ
    /// by up to 9 % are covered.
    pub(super) fn follower_lease(&self) -> Duration {
        self.lease_duration + self.lease_duration / 10
    }

    /// How long after the loss of all records a submission of theirs can still be resubmitted.
    pub(super) fn unseen_wait(&self) -> Duration {
        (self.max_deadline + self.retention).mul_f64(1.1)
    }
}
