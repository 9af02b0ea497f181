//! Settings of the Raft state machine.

use std::time::Duration;

/// Consecutive heartbeats that a learner may miss.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Settings of the Raft state machine; all but `seed` are the same on every host of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Interval of a leader's heartbeats to voters.
    pub heartbeat_interval: Duration,
    /// Interval of a leader's heartbeats to learners; longer, because learners start no elections.
    pub learner_heartbeat: Duration,
    /// Shortest election timeout; each timeout is drawn between this and twice this. A leader that hears from no quorum
    /// for this long steps down.
    pub election: Duration,
    /// Time after which the leader resends entries or a snapshot chunk that were not answered.
    pub retry_timeout: Duration,
    /// Maximum bytes of entries in one message; a single larger entry is still sent.
    pub message_bytes: usize,
    /// Maximum number of messages with entries in flight to one host.
    pub max_inflight: usize,
    /// Bytes of entries, uncommitted on the leader or unsynced on any host, from which no more entries are accepted.
    pub pending_bytes: usize,
    /// Maximum number of reads that wait for a round of heartbeats.
    pub pending_reads: usize,
    /// Maximum bytes of one snapshot chunk.
    pub chunk_bytes: usize,
    /// Bytes of applied entries after which a snapshot is due, and maximum bytes of entries that are kept in memory
    /// although the snapshot covers them.
    pub log_bytes: usize,
    /// Maximum number of entries kept in memory although the snapshot covers them, so that hosts that are slightly
    /// behind need no snapshot.
    pub tail_entries: u64,
    /// Maximum number of entries that a learner may be behind when it becomes a voter.
    pub learner_lag: u64,
    /// Seed of the random election timeouts; must differ on every host.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            learner_heartbeat: Duration::from_secs(1),
            election: Duration::from_millis(400),
            retry_timeout: Duration::from_millis(200),
            message_bytes: 256 * 1024,
            max_inflight: 64,
            pending_bytes: 4 * 1024 * 1024,
            pending_reads: 10_000,
            chunk_bytes: 256 * 1024,
            log_bytes: 4 * 1024 * 1024,
            tail_entries: 10_000,
            learner_lag: 100,
            seed: 0,
        }
    }
}

impl Settings {
    /// Returns the time without messages after which a learner and its leader count each other as lost. In this time the
    /// voters have elected another leader, if they could.
    ///
    /// ```
    /// use mangogw_store::Settings;
    /// use std::time::Duration;
    ///
    /// let settings = Settings { learner_heartbeat: Duration::from_millis(50), ..Settings::default() };
    /// assert_eq!(settings.learner_timeout(), 2 * settings.election);
    /// ```
    pub fn learner_timeout(&self) -> Duration {
        (MAX_MISSED_HEARTBEATS * self.learner_heartbeat).max(2 * self.election)
    }
}
