//! What a host shows of itself, for metrics.

use mangogw_jobs::Counts;

/// A host at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostMetrics {
    /// A leader or an island takes its calls.
    pub ready: bool,
    /// It leads the control group.
    pub is_leader: bool,
    /// It leads an island.
    pub isolated: bool,
    /// The term of the control group; 0 on hosts that are not of it.
    pub term: u64,
    /// The version of the queues; 0 on hosts that are not of the control group.
    pub version: u64,
    /// Voters of the control group, as this host knows it.
    pub voters: usize,
    /// Stored jobs that are known.
    pub stored: usize,
    /// Calls of this host's clients that have no answer yet.
    pub calls: usize,
    /// Targets that it leads,
    pub targets: usize,
    /// and those of them that have listed what they run.
    pub confirmed: usize,
    /// Jobs at work under it,
    pub jobs: usize,
    /// and those of them with tasks that wait for a target.
    pub waiting: usize,
    /// What was done under its leaderships so far.
    pub counts: Counts,
}
