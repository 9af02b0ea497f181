//! Values of a host for its metrics.

use mangogw_jobs::{Counts, Evacuations};

/// Values of a host at one instant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostMetrics {
    /// True if a leader of the group or of an isolated zone takes the calls of this host.
    pub ready: bool,
    /// True if the host leads the control group.
    pub is_leader: bool,
    /// True if the host leads an isolated zone.
    pub isolated: bool,
    /// Term of the control group; 0 on hosts that are no member.
    pub term: u64,
    /// Version of the queue set; 0 on hosts that are no member of the control group.
    pub version: u64,
    /// Number of voters of the control group, as far as this host knows.
    pub voters: usize,
    /// Number of voters that the control group grows to if there are enough hosts.
    pub max_voters: usize,
    /// Number of learners of the control group, as far as this host knows.
    pub learners: usize,
    /// True if the host is a voter of the control group.
    pub is_voter: bool,
    /// True if the host knows a leader of the control group.
    pub leader_known: bool,
    /// Number of changes of the members that the host has applied since its start.
    pub membership_changes: u64,
    /// Number of the host's pre-votes and campaigns that ended without a quorum.
    pub failed_elections: u64,
    /// Evacuations in the ledger; none on hosts that are no member of the control group.
    pub evacuations: Evacuations,
    /// Latest revision of the evacuations that the host has seen.
    pub seen_evacuations: u64,
    /// Number of stored jobs in the ledger.
    pub stored: usize,
    /// Number of calls of this host's clients that have no reply yet.
    pub calls: usize,
    /// Number of targets on the board of this host.
    pub targets: usize,
    /// Number of targets whose runs the board holds a current list of.
    pub confirmed: usize,
    /// Number of jobs at work on the board.
    pub jobs: usize,
    /// Number of these jobs with tasks that wait for a target.
    pub waiting: usize,
    /// Number of jobs that wait at this host for a leader that answers.
    pub held: usize,
    /// Number of calls refused at this host for lack of a leader; nothing has executed them.
    pub calls_refused: u64,
    /// Number of calls that ended without a reply although a leader may have executed them.
    pub calls_unclear: u64,
    /// Sum of the counts of all boards of this host.
    pub counts: Counts,
}
