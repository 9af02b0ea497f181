//! Settings of a station.

use mangogw_model::{HostId, Zone};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a station.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This host.
    pub host: HostId,
    /// Random; differs between lives of a host.
    pub seed: u64,
    /// The port that hosts listen on for each other, the same on all.
    pub port: u16,
    /// Hosts of the control group to begin with; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The zone of this host.
    pub zone: Zone,
    /// The processor of this host, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Up to so many targets the leader tells them itself; beyond, other hosts carry its orders.
    pub direct_targets: usize,
    /// Voters that the group grows to, if there are so many hosts.
    pub voters: usize,
    /// Bounds for the dispatch of jobs. Its wall clock counts for the whole station.
    pub jobs: mangogw_jobs::Settings,
    /// The longest time between a call and its answer that its sender waits for, where it does not say.
    pub reply_timeout: Duration,
    /// Clients without an answer send again after so long.
    pub resend_delay: Duration,
}

/// A host that has said or heard nothing for so long is lost at the latest: five greetings.
const MAX_HOST_TIMEOUT: Duration = Duration::from_millis(800);
/// The part of the time until clients send again in which a silent host is lost. The rest is for stopping what runs.
const HOST_TIMEOUT_RATIO: f64 = 0.6;
/// Between the last lease of what the group runs and the first start of an island.
const ISOLATION_MARGIN: Duration = Duration::from_millis(100);

impl Settings {
    /// A host that has said or heard nothing for so long is lost, and its clients with it: what runs for them is
    /// stopped before they send again.
    pub fn host_timeout(&self) -> Duration {
        MAX_HOST_TIMEOUT.min(self.resend_delay.mul_f64(HOST_TIMEOUT_RATIO))
    }

    /// A host that has heard no leader for so long uses an island. A leader drops its calls once it is lost; what runs
    /// for them is stopped, or has lost its lease by the slowest clock, before this time is over.
    pub fn isolation_timeout(&self) -> Duration {
        self.host_timeout() + self.jobs.lease_expiry() + ISOLATION_MARGIN
    }
}
