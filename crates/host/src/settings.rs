//! What a host is opened with.

use mangogw_model::{HostId, Incarnation, Zone};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// What a host is opened with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The id of the host.
    pub host: HostId,
    /// The life of the host; rises with every start of its process.
    pub incarnation: Incarnation,
    /// The zone it stands in.
    pub zone: Zone,
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Where callers and targets reach it.
    pub http: SocketAddr,
    /// Addresses of hosts to join at.
    pub seeds: Vec<SocketAddr>,
    /// True if it never has peers.
    pub single_host: bool,
    /// The seed of every draw it makes.
    pub seed: u64,
    /// The Unix time in milliseconds at the origin of the host's clock.
    pub wall_offset: u64,
    /// One way between hosts of a zone.
    pub zone_delay: Duration,
    /// One way between zones.
    pub remote_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            host: HostId(1),
            incarnation: Incarnation(1),
            zone: "zone-1".into(),
            address: nowhere,
            http: nowhere,
            seeds: Vec::new(),
            single_host: false,
            seed: 1,
            wall_offset: 0,
            zone_delay: Duration::from_micros(250),
            remote_delay: Duration::from_millis(1),
        }
    }
}
