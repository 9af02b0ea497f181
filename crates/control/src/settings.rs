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
    pub share: u32,
    /// Up to so many targets the leader tells them itself; beyond, other hosts carry its orders.
    pub direct: usize,
    /// Voters that the group grows to, if there are so many hosts.
    pub voters: usize,
    /// Bounds for the dispatch of jobs. Its wall clock counts for the whole station.
    pub jobs: mangogw_jobs::Settings,
    /// The longest time between a call and its answer that its sender waits for, where it does not say.
    pub patience: Duration,
}
