//! Settings of the consensus.

use std::time::Duration;

/// Settings of the consensus; the same on every host of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How often a leader says that it is alive.
    pub heartbeat_interval: Duration,
    /// How often it says so to learners, which wait for no election.
    pub learner_heartbeat: Duration,
    /// The shortest election timeout; each is drawn between this and twice this. A leader that hears from no quorum
    /// for this long steps down.
    pub election: Duration,
    /// How long the leader waits for an answer before it sends entries or a chunk again.
    pub retry_timeout: Duration,
    /// Bytes of entries in one message.
    pub message_bytes: usize,
    /// Messages in flight to one host.
    pub max_inflight: usize,
    /// Bytes that may wait to be committed, and bytes that may wait for the disk.
    pub pending_bytes: usize,
    /// Reads that may wait for their round.
    pub pending_reads: usize,
    /// Bytes of one piece of a snapshot.
    pub chunk_bytes: usize,
    /// Bytes applied after which a snapshot is due, and most bytes of entries kept in memory behind it.
    pub log_bytes: usize,
    /// Most entries kept in memory behind a snapshot, for hosts that are a little late.
    pub tail_entries: u64,
    /// Entries a learner may be behind when it is made a voter.
    pub learner_lag: u64,
    /// The seed of the election timeouts; differs on every host.
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
