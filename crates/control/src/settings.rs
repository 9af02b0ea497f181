//! Settings of a [`ControlHost`](crate::ControlHost).

use mangogw_model::{HostId, Zone};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a [`ControlHost`](crate::ControlHost).
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Id of this host.
    pub host: HostId,
    /// Random seed that differs between the starts of a host.
    pub seed: u64,
    /// Port on which hosts listen for each other, the same on all hosts.
    pub port: u16,
    /// Addresses at which the control group is looked for at the start; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Availability zones of the deployment; if empty, those of its targets.
    pub zones: Vec<Zone>,
    /// Processor of this host, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Highest number of targets to which the leader sends its orders itself. With more, other hosts forward them.
    pub direct_targets: usize,
    /// Number of voters that the control group grows to if there are enough hosts.
    pub voters: usize,
    /// Bounds for the dispatch of jobs. Their wall clock is used by the whole host.
    pub jobs: mangogw_jobs::Settings,
    /// Time that the sender of a call waits for the reply if the call states none.
    pub reply_timeout: Duration,
    /// Time after which clients send a call without a reply again.
    pub resend_delay: Duration,
}

/// Upper bound of the host timeout: five leader queries.
const MAX_HOST_TIMEOUT: Duration = Duration::from_millis(800);
/// Host timeout as a fraction of the resend delay. The rest of the delay is for stopping the runs of a lost host.
const HOST_TIMEOUT_RATIO: f64 = 0.6;
/// Time between the end of the last lease of the group and the first start in an isolated zone.
const ISOLATION_MARGIN: Duration = Duration::from_millis(100);

impl Settings {
    /// Returns the time without messages from a host, or without a leader for the host, after which the host and its
    /// clients are lost. Their runs are stopped before the clients send again.
    pub fn host_timeout(&self) -> Duration {
        MAX_HOST_TIMEOUT.min(self.resend_delay.mul_f64(HOST_TIMEOUT_RATIO))
    }

    /// Returns the silence of a host at the end of a leadership up to which the runs for its clients need no stop: were the
    /// host lost with its last message, its clients would send again only after the last lease of that leadership.
    pub(crate) fn harmless_silence(&self) -> Duration {
        self.resend_delay.saturating_sub(self.jobs.lease_expiry())
    }

    /// Returns the time without a leader after which a host uses an isolated zone. Before it is over, the leader has
    /// dropped the calls of the lost host, and their runs are stopped or have lost their lease by the slowest clock.
    pub fn isolation_timeout(&self) -> Duration {
        self.host_timeout() + self.jobs.lease_expiry() + ISOLATION_MARGIN
    }
}
