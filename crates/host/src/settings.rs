//! Settings of a host.

use mangogw_model::{HostId, Incarnation, Zone};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Settings that a host is opened with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The id of the host.
    pub host: HostId,
    /// The incarnation of the host; increases with every start of its process.
    pub incarnation: Incarnation,
    /// The availability zone of the host.
    pub zone: Zone,
    /// Address at which other hosts reach this one.
    pub address: SocketAddr,
    /// Address at which callers and targets reach this host.
    pub http: SocketAddr,
    /// Addresses of hosts through which to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// True if the host never has peers.
    pub single_host: bool,
    /// Seed of the host's random numbers.
    pub seed: u64,
    /// Unix time in milliseconds at the origin of the host's clock.
    pub wall_offset: u64,
    /// One-way network delay between hosts of a zone.
    pub zone_delay: Duration,
    /// One-way network delay between zones.
    pub remote_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        let unbound = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            host: HostId(1),
            incarnation: Incarnation(1),
            zone: "zone-1".into(),
            address: unbound,
            http: unbound,
            seeds: Vec::new(),
            single_host: false,
            seed: 1,
            wall_offset: 0,
            zone_delay: Duration::from_micros(250),
            remote_delay: Duration::from_millis(1),
        }
    }
}
